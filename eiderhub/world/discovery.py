"""Discovery: the published lists of endpoints, the delay of their changes, and the processing of calls."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, replace
from enum import Enum

from eiderhub.interface import Readiness
from eiderhub.world.day import Day, draw_value


@dataclass(frozen=True, slots=True)
class Entry:
    """One endpoint in a list of discovery."""

    id: str
    tier: int
    zone: str
    kind: str
    cell: int
    lifecycle: Readiness
    started_us: int | None  # None: before the day started
    generation: int = 0


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A list of the endpoints of a tier, or the changes since an earlier generation."""

    generation: int
    full: bool
    entries: tuple[Entry, ...]


class Delivery(Enum):
    """How much of an answer the caller receives."""

    WHOLE = "whole"
    BREAKS_OFF = "breaks off"  # the connection ends within the list
    STALLS = "stalls"  # no more bytes after a part of the list, and the connection stays open


@dataclass(frozen=True, slots=True)
class CallResult:
    """The result of a call; without a listing the call has failed."""

    call_id: int
    listing: EndpointList | None
    delivery: Delivery = Delivery.WHOLE


@dataclass(slots=True)
class _Call:
    """A call in the queue, in service or waiting as a watch."""

    call_id: int
    tier: int
    after_generation: int | None
    wait_until_us: int  # end of a watch without changes
    queued_us: int


class Registry:
    """Simulated discovery: the lists of all tiers under one generation number.

    Calls wait in one queue for `at_once` workers.
    """

    def __init__(self, day: Day) -> None:
        spec = day.scenario.discovery
        rng = day.rng("registry")
        self._spec = spec
        self._rng = rng
        self._workers = max(1, round(draw_value(rng, spec.at_once)))
        self._call_us = draw_value(rng, spec.call_ms) * 1000
        self._entry_us = draw_value(rng, spec.line_us)
        self.generation = 1
        self.published: list[tuple[int, Entry]] = []  # log of the published changes, for the host
        self.unavailable = False
        self.stalling = False
        self.entries = {
            plan.id: Entry(plan.id, plan.tier, plan.zone, plan.kind, plan.cell, Readiness.READY, None, 1)
            for plan in day.endpoint_plans
        }
        # Heap of unpublished changes: time of publication, order, entry.
        self._pending: list[tuple[int, int, Entry]] = []
        self._serial = 0
        self._queue: deque[_Call] = deque()
        self._serving: list[tuple[int, int, _Call]] = []  # heap: completion time, call id
        self._watches: dict[int, _Call] = {}
        self._failed: list[int] = []

    # --- changes of endpoints ---

    def endpoint_started(self, now_us: int, endpoint_id: str, started_us: int) -> None:
        """Schedule the publication of an endpoint's start."""
        # Where the end of its former process is still unpublished, only the start is published.
        self._pending = [
            change
            for change in self._pending
            if change[2].id != endpoint_id or change[2].lifecycle is not Readiness.GONE
        ]
        heapq.heapify(self._pending)
        self._schedule_change(
            now_us, draw_value(self._rng, self._spec.add_s), endpoint_id, Readiness.READY, started_us
        )

    def endpoint_draining(self, now_us: int, endpoint_id: str) -> None:
        """Schedule the publication that an endpoint drains."""
        self._schedule_change(
            now_us, draw_value(self._rng, self._spec.notice_s), endpoint_id, Readiness.DRAINING
        )

    def endpoint_stopped(self, now_us: int, endpoint_id: str, silent: bool = False) -> None:
        """Schedule the publication of an endpoint's end; `silent`: it has not deregistered."""
        delay_s = self._spec.silent_s if silent else self._spec.notice_s
        self._schedule_change(now_us, draw_value(self._rng, delay_s), endpoint_id, Readiness.GONE)

    def _schedule_change(
        self,
        now_us: int,
        delay_s: float,
        endpoint_id: str,
        lifecycle: Readiness,
        started_us: int | None = None,
    ) -> None:
        entry = self.entries[endpoint_id]
        if lifecycle is not Readiness.READY:
            started_us = entry.started_us
        publish_us = now_us + int(delay_s * 1e6)
        # Changes of one endpoint stay in order: a delayed end must not be published after a new start.
        publish_us = max(
            [
                publish_us,
                *(pending_us + 1 for pending_us, _, other in self._pending if other.id == endpoint_id),
            ]
        )
        self._serial += 1
        heapq.heappush(
            self._pending,
            (publish_us, self._serial, replace(entry, lifecycle=lifecycle, started_us=started_us)),
        )

    # --- calls ---

    def start_call(self, now_us: int, tier: int, after_generation: int | None, wait_us: int) -> int:
        """Start a call for a tier's list; returns the call's id.

        With `after_generation` and `wait_us` it is a watch: it waits for changes after that generation.
        """
        self._serial += 1
        call = _Call(self._serial, tier, after_generation, now_us + wait_us, now_us)
        if self.unavailable:
            self._failed.append(call.call_id)
        elif (
            after_generation is not None and after_generation >= self._newest_generation(tier) and wait_us > 0
        ):
            self._watches[call.call_id] = call
        else:
            self._queue.append(call)
            self._assign_workers(now_us)
        return call.call_id

    def cancel_call(self, call_id: int) -> None:
        """Drop a watch whose caller has disconnected; a queued call or one in service is still processed."""
        self._watches.pop(call_id, None)

    def set_unavailable(self, now_us: int, unavailable: bool) -> None:
        """Set whether discovery is unavailable: then present and new calls fail."""
        self.apply_changes(now_us)
        self.unavailable = unavailable
        if unavailable:  # watches fail as well
            self._failed += [call.call_id for _, _, call in sorted(self._serving)]
            self._failed += [call.call_id for call in self._queue]
            self._failed += list(self._watches)
            self._serving.clear()
            self._queue.clear()
            self._watches.clear()

    def _newest_generation(self, tier: int) -> int:
        return max((entry.generation for entry in self.entries.values() if entry.tier == tier), default=0)

    def full_listing(self, tier: int) -> EndpointList:
        """Return the full list of a tier."""
        entries = self.entries.values()
        present = tuple(
            entry for entry in entries if entry.tier == tier and entry.lifecycle is not Readiness.GONE
        )
        return EndpointList(self.generation, True, present)

    def _listing(self, call: _Call) -> EndpointList:
        if (
            call.after_generation is None
            or call.after_generation <= 0
            or call.after_generation > self.generation
        ):
            return self.full_listing(call.tier)
        entries = self.entries.values()
        changed = tuple(
            entry for entry in entries if entry.tier == call.tier and entry.generation > call.after_generation
        )
        return EndpointList(self.generation, False, changed)

    def _assign_workers(self, now_us: int) -> None:
        """Give free workers the calls that have waited longest; those past the time-out fail."""
        while self._queue and len(self._serving) < self._workers:
            call = self._queue.popleft()
            if now_us - call.queued_us > self._spec.timeout_ms * 1000:
                self._failed.append(call.call_id)
                continue
            entry_count = len(self._listing(call).entries)
            done_us = now_us + int(self._call_us + self._entry_us * entry_count)
            heapq.heappush(self._serving, (done_us, call.call_id, call))

    # --- time ---

    def apply_changes(self, now_us: int) -> None:
        """Publish the changes that are due, and end the watches of their tiers."""
        while self._pending and self._pending[0][0] <= now_us:
            _, _, entry = heapq.heappop(self._pending)
            self.generation += 1
            self.entries[entry.id] = replace(entry, generation=self.generation)
            self.published.append((now_us, entry))
            for call_id in [watch_id for watch_id, call in self._watches.items() if call.tier == entry.tier]:
                self._end_watch(now_us, call_id)

    def _end_watch(self, now_us: int, call_id: int) -> None:
        call = self._watches.pop(call_id)
        call.queued_us = now_us
        self._queue.append(call)

    def advance(self, now_us: int) -> list[CallResult]:
        """Return the results of the calls that end by now."""
        self.apply_changes(now_us)
        for call_id in [watch_id for watch_id, call in self._watches.items() if call.wait_until_us <= now_us]:
            self._end_watch(now_us, call_id)
        results = []
        while True:
            self._assign_workers(now_us)
            if not self._serving or self._serving[0][0] > now_us:
                break
            _, call_id, call = heapq.heappop(self._serving)
            delivery = Delivery.WHOLE
            if self.stalling and self._rng.random() < 0.7:
                delivery = Delivery.STALLS if self._rng.random() < 0.5 else Delivery.BREAKS_OFF
            results.append(CallResult(call_id, self._listing(call), delivery))
        results += [CallResult(call_id, None) for call_id in self._failed]
        self._failed.clear()
        return results

    def next_us(self, now_us: int) -> int | None:
        """The time at which `advance` has something to do next; None: never, if nothing else happens."""
        if self._failed:
            return now_us
        times_us = [publish_us for publish_us, _, _ in self._pending[:1]]
        times_us += [done_us for done_us, _, _ in self._serving[:1]]
        times_us += [call.wait_until_us for call in self._watches.values()]
        return max(now_us, min(times_us)) if times_us else None
