"""A processor that its jobs share in equal parts, at a speed that may change at any moment."""

from __future__ import annotations

import heapq
from collections.abc import Hashable


class Processor:
    """Processor sharing over `cores`, by virtual service.

    `attained` is the work that each job running since the beginning would have had, in microseconds of a core
    of the yardstick speed. A job ends when it has grown by the job's work; it never uses more than one core.
    """

    def __init__(self, cores: float, speed: float = 1.0) -> None:
        if cores <= 0:
            raise ValueError("cores: must be above 0")
        self.cores = cores
        self.speed = speed  # of one core; 0 stands still
        self.attained = 0.0
        self.now_us = 0
        self._ends: dict[Hashable, tuple[float, int]] = {}
        self._heap: list[tuple[float, int, Hashable]] = []
        self._serial = 0

    def __len__(self) -> int:
        return len(self._ends)

    @property
    def rate(self) -> float:
        """What each job gets in a microsecond."""
        running = len(self._ends)
        return self.speed * min(1.0, self.cores / running) if running else 0.0

    def advance(self, now_us: int) -> None:
        """Give all jobs their service up to now; must come before anything that changes the rate."""
        if now_us > self.now_us:
            self.attained += (now_us - self.now_us) * self.rate
            self.now_us = now_us

    def set_speed(self, now_us: int, speed: float) -> None:
        self.advance(now_us)
        self.speed = speed

    def add(self, now_us: int, job: Hashable, work_us: float) -> None:
        self.advance(now_us)
        self._serial += 1
        end = (self.attained + max(0.0, work_us), self._serial)
        self._ends[job] = end
        heapq.heappush(self._heap, (*end, job))

    def remove(self, now_us: int, job: Hashable) -> float:
        """Take a job out before its end; returns the work that it still lacked."""
        self.advance(now_us)
        end, _ = self._ends.pop(job)
        return max(0.0, end - self.attained)

    def _top(self) -> tuple[float, int, Hashable] | None:
        while self._heap and self._ends.get(self._heap[0][2]) != self._heap[0][:2]:
            heapq.heappop(self._heap)
        return self._heap[0] if self._heap else None

    def ended(self, now_us: int) -> list[Hashable]:
        """The jobs that have had their work by now, in the order of their ends; they run no more."""
        done = []
        while (top := self._top()) is not None:
            # Half a microsecond of work is less than the clock can tell: without this, rounding would have
            # `next_us` name a moment at which nothing ends.
            moment = self._moment(top[0])
            if moment is None or moment > now_us:
                break
            # What ends first frees its share for the others, so service is given end by end.
            self.advance(moment)
            self.attained = max(self.attained, top[0])
            heapq.heappop(self._heap)
            del self._ends[top[2]]
            done.append(top[2])
        self.advance(now_us)
        return done

    def _moment(self, end: float) -> int | None:
        lacking = end - self.attained
        if lacking <= 1e-6:
            return self.now_us
        rate = self.rate
        if rate <= 0:
            return None
        return self.now_us + max(1, round(lacking / rate))

    def next_us(self) -> int | None:
        """When the next job ends if nothing changes; None where nothing runs or all stands still."""
        top = self._top()
        return None if top is None else self._moment(top[0])
