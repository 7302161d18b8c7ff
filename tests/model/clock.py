"""Virtual time: events in the order of their times, and each machine's own clock."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple


class _Event(NamedTuple):
    at: float
    serial: int
    call: Callable[[], None]


class Timeline:
    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[_Event] = []
        self._serial = itertools.count()

    def at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, _Event(max(when, self.now), next(self._serial), call))

    def after(self, delay: float, call: Callable[[], None]) -> None:
        self.at(self.now + delay, call)

    def run_until(self, end: float) -> None:
        while self._events and self._events[0].at <= end:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.call()
        self.now = end


class Clock(NamedTuple):
    """A machine's steady clock: it starts anywhere and runs a little fast or slow."""

    offset: float
    rate: float

    def read(self, now: float) -> float:
        return self.offset + now * self.rate
