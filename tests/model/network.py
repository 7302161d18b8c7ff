"""Simulated connections between machines: ordered and delayed, with partitions and connection failures.

A partition drops packets without an error. Messages sent during one arrive late if it heals before the send
timeout, and are lost otherwise. Messages in flight when a connection breaks may still arrive, also after
those of a newer connection.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from tests.model.clock import Timeline

MIN_DELAY_S = 0.0005
MEAN_DELAYS_S = (0.002, 0.002, 0.01, 0.03)  # each run uses one of them
SEND_TIMEOUT_S = 1.5  # a connection is closed after this time without an acknowledgement
RECONNECT_S = 0.2
RETRANSMIT_INTERVAL_S = 0.1
KEEPALIVE_TIMEOUT_S = 3.0  # a connection is closed after this time without an answer to probes


class Port(Protocol):
    """An end of a connection: a machine, whose process may be down or frozen."""

    address: str

    @property
    def listening(self) -> bool: ...

    @property
    def powered(self) -> bool: ...

    def deliver(self, call: Callable[[], None]) -> None:
        """Run a call in the process, once that is not frozen."""


class Network:
    """Delays and partitions between the machines."""

    def __init__(self, timeline: Timeline, rng: random.Random) -> None:
        self.timeline = timeline
        self.rng = rng
        self._mean_delay_s = rng.choice(MEAN_DELAYS_S)
        self._cut: set[tuple[str, str]] = set()  # (source, target)
        self._added_delay_s: dict[str, float] = {}  # by address, in each direction

    def cut(self, sources: set[str], targets: set[str], one_way: bool = False) -> None:
        """Drop all messages from `sources` to `targets`, and in the other direction unless `one_way`."""
        for source in sources:
            for target in targets - sources:
                self._cut.add((source, target))
                if not one_way:
                    self._cut.add((target, source))

    def heal(self) -> None:
        """Remove all partitions."""
        self._cut.clear()

    def is_reachable(self, source: str, target: str) -> bool:
        return (source, target) not in self._cut

    def slow_down(self, address: str, added_s: float) -> None:
        """Add a delay to all messages to and from an address."""
        self._added_delay_s[address] = added_s

    def delay(self, source: str = "", target: str = "") -> float:
        """Draw the delay of one message in seconds."""
        added = self._added_delay_s.get(source, 0.0) + self._added_delay_s.get(target, 0.0)
        return MIN_DELAY_S + added + self.rng.expovariate(1.0 / self._mean_delay_s)


class Link:
    """One connection, which only the side that opened it sends on.

    `is_target_up` returns whether the process at the other end still runs.
    """

    def __init__(
        self,
        network: Network,
        source: Port,
        target: Port,
        is_target_up: Callable[[], bool],
        receive: Callable[[Any], None],
    ) -> None:
        self._network = network
        self._is_target_up = is_target_up
        self._source = source
        self._target = target
        self._receive = receive
        self._last_arrival = 0.0  # arrival time of the last message sent
        self._unsent: deque[tuple[Any, float]] = (
            deque()
        )  # messages delayed by a partition, with their send times
        self._silent_since = network.timeline.now
        self.open = True

    def send(self, message: Any) -> None:
        """Send a message; delay it while the connection is cut, and close a connection without a target."""
        if not self.open:
            return
        if self._unsent or self._is_cut():
            if not self._unsent:
                self._network.timeline.after(RETRANSMIT_INTERVAL_S, self._retransmit)
            self._unsent.append((message, self._network.timeline.now))
        elif not self._is_target_up():
            self.close()  # connection reset
        else:
            self._transmit(message)

    def close(self) -> None:
        """Close the connection and drop its delayed messages."""
        self.open = False
        self._unsent.clear()

    def probe(self) -> None:
        """Keep-alive: close a connection whose other process has stopped or which is cut for too long."""
        now = self._network.timeline.now
        if not self._is_cut():
            self._silent_since = now
            if not self._is_target_up():
                self.close()
        elif now - self._silent_since > KEEPALIVE_TIMEOUT_S:
            self.close()

    def _is_cut(self) -> bool:
        reachable = self._network.is_reachable(self._source.address, self._target.address)
        return not reachable or not self._target.powered

    def _retransmit(self) -> None:
        if not self.open or not self._unsent:
            return
        timeline = self._network.timeline
        if timeline.now - self._unsent[0][1] > SEND_TIMEOUT_S or (
            not self._is_cut() and not self._is_target_up()
        ):
            self.close()
        elif self._is_cut():
            timeline.after(RETRANSMIT_INTERVAL_S, self._retransmit)
        else:
            while self._unsent:
                self._transmit(self._unsent.popleft()[0])

    def _transmit(self, message: Any) -> None:
        timeline = self._network.timeline
        self._last_arrival = max(
            self._last_arrival, timeline.now + self._network.delay(self._source.address, self._target.address)
        )
        timeline.at(self._last_arrival, lambda: self._target.deliver(lambda: self._receive(message)))

    @property
    def can_connect(self) -> bool:
        """Whether a new connection can be established."""
        forward = self._network.is_reachable(self._source.address, self._target.address)
        backward = self._network.is_reachable(self._target.address, self._source.address)
        return self._target.listening and forward and backward
