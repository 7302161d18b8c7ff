"""Virtual time: a queue of events ordered by time, and the clock of each machine."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple


class _Event(NamedTuple):
    at: float
    serial: int
    call: Callable[[], None]


MAX_EVENTS = 400_000  # in one run


class TooManyEvents(AssertionError):
    """A run exceeded its limit of events: probably an endless loop of events."""


class Timeline:
    """The event queue and the current virtual time, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._run_count = 0
        self._events: list[_Event] = []
        self._serial = itertools.count()

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a call at a time, or now if that has passed."""
        heapq.heappush(self._events, _Event(max(when, self.now), next(self._serial), call))

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay in seconds."""
        self.at(self.now + delay, call)

    def run_until(self, end: float) -> None:
        """Run all events up to a time.

        Raises:
            TooManyEvents: the run has more than `MAX_EVENTS` events.
        """
        while self._events and self._events[0].at <= end:
            event = heapq.heappop(self._events)
            self.now = event.at
            self._run_count += 1
            if self._run_count > MAX_EVENTS:
                raise TooManyEvents(f"{MAX_EVENTS} events run by {self.now:.2f} s")
            event.call()
        self.now = end


class Clock(NamedTuple):
    """A machine's monotonic clock, with an arbitrary offset and a slight rate error."""

    offset: float
    rate: float

    def read(self, now: float) -> float:
        """Return this clock's reading at a time of the timeline."""
        return self.offset + now * self.rate
