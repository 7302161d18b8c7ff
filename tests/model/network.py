"""Connections between machines: ordered, delayed, cut, broken; what a frozen process finds when it wakes.

A cut is silent. Bytes sent into it arrive late if it heals before the sender gives the connection up, and are
lost otherwise. What was on its way when a connection broke may still arrive, after what a newer one brought.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from tests.model.clock import Timeline

LEAST_DELAY_S = 0.0005
MEAN_DELAYS_S = (0.002, 0.002, 0.01, 0.03)  # one of them in each run
GIVE_UP_S = 1.5  # a connection whose bytes are not acknowledged for so long is broken
RECONNECT_S = 0.2
RETRANSMIT_S = 0.1
SILENT_S = 3.0  # keep-alive probes that nobody answers end a connection after so long


class Port(Protocol):
    """Where connections end: a machine, whose process may be down or frozen."""

    address: str

    @property
    def listening(self) -> bool: ...

    @property
    def powered(self) -> bool: ...

    def deliver(self, call: Callable[[], None]) -> None:
        """Have the process deal with what has arrived, when it runs."""


class Network:
    def __init__(self, timeline: Timeline, rng: random.Random) -> None:
        self.timeline = timeline
        self.rng = rng
        self._mean_delay_s = rng.choice(MEAN_DELAYS_S)
        self._cut: set[tuple[str, str]] = set()  # from, to
        self._slower_s: dict[str, float] = {}  # by address: added to each way

    def cut(self, sources: set[str], targets: set[str], one_way: bool = False) -> None:
        for source in sources:
            for target in targets - sources:
                self._cut.add((source, target))
                if not one_way:
                    self._cut.add((target, source))

    def heal(self) -> None:
        self._cut.clear()

    def passes(self, source: str, target: str) -> bool:
        return (source, target) not in self._cut

    def slow_down(self, address: str, added_s: float) -> None:
        """All that goes to or from there takes so much longer."""
        self._slower_s[address] = added_s

    def delay(self, source: str = "", target: str = "") -> float:
        added = self._slower_s.get(source, 0.0) + self._slower_s.get(target, 0.0)
        return LEAST_DELAY_S + added + self.rng.expovariate(1.0 / self._mean_delay_s)


class Link:
    """One connection, from the side that opened it, and used by it alone.

    `ends` says whether the process at its other end is still there.
    """

    def __init__(
        self,
        network: Network,
        source: Port,
        target: Port,
        ends: Callable[[], bool],
        receive: Callable[[Any], None],
    ) -> None:
        self._network = network
        self._ends = ends
        self._source = source
        self._target = target
        self._receive = receive
        self._arrives = 0.0  # when what was sent last arrives
        self._held: deque[tuple[Any, float]] = deque()  # what a cut holds up, with its time
        self._silent_since = network.timeline.now
        self.open = True

    def send(self, message: Any) -> None:
        if not self.open:
            return
        if self._held or self._is_cut():
            if not self._held:
                self._network.timeline.after(RETRANSMIT_S, self._retransmit)
            self._held.append((message, self._network.timeline.now))
        elif not self._ends():
            self.close()  # it is reset
        else:
            self._carry(message)

    def close(self) -> None:
        self.open = False
        self._held.clear()

    def probe(self) -> None:
        """Keep-alive: close a connection whose other end has gone, or has said nothing for long."""
        now = self._network.timeline.now
        if not self._is_cut():
            self._silent_since = now
            if not self._ends():
                self.close()
        elif now - self._silent_since > SILENT_S:
            self.close()

    def _is_cut(self) -> bool:
        way = self._network.passes(self._source.address, self._target.address)
        return not way or not self._target.powered

    def _retransmit(self) -> None:
        if not self.open or not self._held:
            return
        timeline = self._network.timeline
        if timeline.now - self._held[0][1] > GIVE_UP_S or (not self._is_cut() and not self._ends()):
            self.close()
        elif self._is_cut():
            timeline.after(RETRANSMIT_S, self._retransmit)
        else:
            while self._held:
                self._carry(self._held.popleft()[0])

    def _carry(self, message: Any) -> None:
        timeline = self._network.timeline
        self._arrives = max(
            self._arrives, timeline.now + self._network.delay(self._source.address, self._target.address)
        )
        timeline.at(self._arrives, lambda: self._target.deliver(lambda: self._receive(message)))

    @property
    def usable(self) -> bool:
        """Whether a new connection would come up."""
        way = self._network.passes(self._source.address, self._target.address)
        back = self._network.passes(self._target.address, self._source.address)
        return self._target.listening and way and back
