"""Discovery: what it tells of the endpoints, how late, and how it works through its calls."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, replace
from enum import Enum

from eiderhub.interface import Readiness
from eiderhub.world.day import Day, pick


@dataclass(frozen=True, slots=True)
class Entry:
    """One endpoint as discovery has it."""

    id: str
    tier: int
    zone: str
    kind: str
    cell: int
    lifecycle: Readiness
    started_us: int | None  # time of the day; None: long ago
    generation: int = 0


@dataclass(frozen=True, slots=True)
class Listing:
    generation: int
    whole: bool
    entries: tuple[Entry, ...]


class Delivery(Enum):
    WHOLE = "whole"
    BREAKS_OFF = "breaks off"  # amid the list
    STALLS = "stalls"  # amid the list, for good


@dataclass(frozen=True, slots=True)
class Told:
    """The answer to a call. No listing: the call has failed."""

    ticket: int
    listing: Listing | None
    delivery: Delivery = Delivery.WHOLE


@dataclass(slots=True)
class _Ask:
    ticket: int
    tier: int
    after: int | None
    until_us: int  # a watch waits so long for news
    since_us: int  # in the queue


class Registry:
    """Lists of all tiers, one generation count over them; calls queue for `at_once` workers."""

    def __init__(self, day: Day) -> None:
        spec = day.scenario.discovery
        rng = day.rng("registry")
        self._spec = spec
        self._rng = rng
        self._workers = max(1, round(pick(rng, spec.at_once)))
        self._call_us = pick(rng, spec.call_ms) * 1000
        self._line_us = pick(rng, spec.line_us)
        self.generation = 1
        self.news: list[tuple[int, Entry]] = []  # what can be told from then on; for whoever keeps record
        self.down = False
        self.stalling = False
        self.entries = {
            plan.id: Entry(plan.id, plan.tier, plan.zone, plan.kind, plan.cell, Readiness.READY, None, 1)
            for plan in day.plans
        }
        self._coming: list[tuple[int, int, Entry]] = []  # changes that are not told yet: when, in order
        self._serial = 0
        self._queue: deque[_Ask] = deque()
        self._serving: list[tuple[int, int, _Ask]] = []  # until when
        self._watches: dict[int, _Ask] = {}
        self._failed: list[int] = []

    # --- the truth, as it reaches discovery ---

    def came_up(self, now_us: int, endpoint: str, started_us: int) -> None:
        # A process that was not missed yet is known by its start alone.
        self._coming = [
            c for c in self._coming if c[2].id != endpoint or c[2].lifecycle is not Readiness.GONE
        ]
        heapq.heapify(self._coming)
        self._change(now_us, pick(self._rng, self._spec.add_s), endpoint, Readiness.READY, started_us)

    def drains(self, now_us: int, endpoint: str) -> None:
        self._change(now_us, pick(self._rng, self._spec.notice_s), endpoint, Readiness.DRAINING)

    def gone(self, now_us: int, endpoint: str, silent: bool = False) -> None:
        lag = self._spec.silent_s if silent else self._spec.notice_s
        self._change(now_us, pick(self._rng, lag), endpoint, Readiness.GONE)

    def _change(
        self, now_us: int, lag_s: float, endpoint: str, lifecycle: Readiness, started_us: int | None = None
    ) -> None:
        entry = self.entries[endpoint]
        if lifecycle is not Readiness.READY:
            started_us = entry.started_us
        at = now_us + int(lag_s * 1e6)
        # News of one endpoint never overtake each other: an old "gone" must not follow its return.
        at = max([at, *(when + 1 for when, _, other in self._coming if other.id == endpoint)])
        self._serial += 1
        heapq.heappush(
            self._coming, (at, self._serial, replace(entry, lifecycle=lifecycle, started_us=started_us))
        )

    # --- calls ---

    def ask(self, now_us: int, tier: int, after: int | None, wait_us: int) -> int:
        """A call for a tier's list: whole, or a watch on what is newer than `after`. Returns its ticket."""
        self._serial += 1
        ask = _Ask(self._serial, tier, after, now_us + wait_us, now_us)
        if self.down:
            self._failed.append(ask.ticket)
        elif after is not None and after >= self._newest(tier) and wait_us > 0:
            self._watches[ask.ticket] = ask
        else:
            self._queue.append(ask)
            self._assign(now_us)
        return ask.ticket

    def hang_up(self, ticket: int) -> None:
        """The caller is gone; work on its answer goes on."""
        self._watches.pop(ticket, None)

    def set_down(self, now_us: int, down: bool) -> None:
        self.advance_to(now_us)
        self.down = down
        if down:  # watches end as well
            self._failed += [ask.ticket for _, _, ask in sorted(self._serving)]
            self._failed += [ask.ticket for ask in self._queue]
            self._failed += list(self._watches)
            self._serving.clear()
            self._queue.clear()
            self._watches.clear()

    def _newest(self, tier: int) -> int:
        return max((e.generation for e in self.entries.values() if e.tier == tier), default=0)

    def whole(self, tier: int) -> Listing:
        """All that a tier has now."""
        rows = self.entries.values()
        present = tuple(e for e in rows if e.tier == tier and e.lifecycle is not Readiness.GONE)
        return Listing(self.generation, True, present)

    def _listing(self, ask: _Ask) -> Listing:
        if ask.after is None or ask.after <= 0 or ask.after > self.generation:
            return self.whole(ask.tier)
        rows = self.entries.values()
        changed = tuple(e for e in rows if e.tier == ask.tier and e.generation > ask.after)
        return Listing(self.generation, False, changed)

    def _assign(self, now_us: int) -> None:
        """Give free workers the calls that have waited longest."""
        while self._queue and len(self._serving) < self._workers:
            ask = self._queue.popleft()
            if now_us - ask.since_us > self._spec.timeout_ms * 1000:
                self._failed.append(ask.ticket)
                continue
            lines = len(self._listing(ask).entries)
            done = now_us + int(self._call_us + self._line_us * lines)
            heapq.heappush(self._serving, (done, ask.ticket, ask))

    # --- time ---

    def advance_to(self, now_us: int) -> None:
        """Apply the changes that are due, and wake the watches that they concern."""
        while self._coming and self._coming[0][0] <= now_us:
            _, _, entry = heapq.heappop(self._coming)
            self.generation += 1
            self.entries[entry.id] = replace(entry, generation=self.generation)
            self.news.append((now_us, entry))
            for ticket in [t for t, ask in self._watches.items() if ask.tier == entry.tier]:
                self._wake(now_us, ticket)

    def _wake(self, now_us: int, ticket: int) -> None:
        ask = self._watches.pop(ticket)
        ask.since_us = now_us
        self._queue.append(ask)

    def advance(self, now_us: int) -> list[Told]:
        """The answers that are due by now."""
        self.advance_to(now_us)
        for ticket in [t for t, ask in self._watches.items() if ask.until_us <= now_us]:
            self._wake(now_us, ticket)
        told = []
        while True:
            self._assign(now_us)
            if not self._serving or self._serving[0][0] > now_us:
                break
            _, ticket, ask = heapq.heappop(self._serving)
            delivery = Delivery.WHOLE
            if self.stalling and self._rng.random() < 0.7:
                delivery = Delivery.STALLS if self._rng.random() < 0.5 else Delivery.BREAKS_OFF
            told.append(Told(ticket, self._listing(ask), delivery))
        told += [Told(ticket, None) for ticket in self._failed]
        self._failed.clear()
        return told

    def next_us(self, now_us: int) -> int | None:
        if self._failed:
            return now_us
        moments = [when for when, _, _ in self._coming[:1]]
        moments += [done for done, _, _ in self._serving[:1]]
        moments += [ask.until_us for ask in self._watches.values()]
        return max(now_us, min(moments)) if moments else None
