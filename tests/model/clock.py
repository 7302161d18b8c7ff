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


MOST_EVENTS = 400_000  # of one run


class RunAway(AssertionError):
    """Events breed events without end."""


class Timeline:
    def __init__(self) -> None:
        self.now = 0.0
        self._played = 0
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
            self._played += 1
            if self._played > MOST_EVENTS:
                raise RunAway(f"{MOST_EVENTS} events by {self.now:.2f} s")
            event.call()
        self.now = end


class Clock(NamedTuple):
    """A machine's steady clock: it starts anywhere and runs a little fast or slow."""

    offset: float
    rate: float

    def read(self, now: float) -> float:
        return self.offset + now * self.rate
