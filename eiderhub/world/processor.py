"""A processor that its jobs share equally, with a speed that may change at any time."""

from __future__ import annotations

import heapq
from collections.abc import Hashable


class Processor:
    """Processor sharing over `cores`, computed by virtual time.

    `attained_work_us` is the work that a job running since time 0 would have received, in microseconds of a
    core of speed 1. A job finishes when `attained_work_us` has grown by the job's work since it was added.
    A job never uses more than one core.
    """

    def __init__(self, cores: float, speed: float = 1.0) -> None:
        if cores <= 0:
            raise ValueError("cores: must be above 0")
        self.cores = cores
        self.speed = speed  # of one core; 0: no job makes progress
        self.attained_work_us = 0.0
        self.now_us = 0
        self._finish_keys: dict[Hashable, tuple[float, int]] = {}
        self._heap: list[tuple[float, int, Hashable]] = []
        self._serial = 0

    def __len__(self) -> int:
        return len(self._finish_keys)

    @property
    def rate(self) -> float:
        """The work that each job receives in a microsecond."""
        running = len(self._finish_keys)
        return self.speed * min(1.0, self.cores / running) if running else 0.0

    def advance(self, now_us: int) -> None:
        """Account the service of all jobs up to now; must be called before anything that changes the rate."""
        if now_us > self.now_us:
            self.attained_work_us += (now_us - self.now_us) * self.rate
            self.now_us = now_us

    def set_speed(self, now_us: int, speed: float) -> None:
        """Change the speed of the cores from now on."""
        self.advance(now_us)
        self.speed = speed

    def add(self, now_us: int, job: Hashable, work_us: float) -> None:
        """Start a job."""
        self.advance(now_us)
        self._serial += 1
        finish_key = (self.attained_work_us + max(0.0, work_us), self._serial)
        self._finish_keys[job] = finish_key
        heapq.heappush(self._heap, (*finish_key, job))

    def remove(self, now_us: int, job: Hashable) -> float:
        """Remove a job before it finishes; returns its remaining work."""
        self.advance(now_us)
        finish_work_us, _ = self._finish_keys.pop(job)
        return max(0.0, finish_work_us - self.attained_work_us)

    def _first_to_finish(self) -> tuple[float, int, Hashable] | None:
        """The top of the heap, without the entries of jobs that were removed."""
        while self._heap and self._finish_keys.get(self._heap[0][2]) != self._heap[0][:2]:
            heapq.heappop(self._heap)
        return self._heap[0] if self._heap else None

    def finished(self, now_us: int) -> list[Hashable]:
        """Remove the jobs that have finished by now; returns them in the order of their finish times."""
        finished_jobs = []
        while (first := self._first_to_finish()) is not None:
            # Compared as the rounded time that `next_us` returns: half a microsecond of work is below the
            # resolution of the clock, and otherwise `next_us` could return a time at which no job finishes.
            finish_us = self._finish_us(first[0])
            if finish_us is None or finish_us > now_us:
                break
            # A job that finishes leaves its share to the others, so service is accounted finish by finish.
            self.advance(finish_us)
            self.attained_work_us = max(self.attained_work_us, first[0])
            heapq.heappop(self._heap)
            del self._finish_keys[first[2]]
            finished_jobs.append(first[2])
        self.advance(now_us)
        return finished_jobs

    def _finish_us(self, finish_work_us: float) -> int | None:
        remaining_work_us = finish_work_us - self.attained_work_us
        if remaining_work_us <= 1e-6:
            return self.now_us
        rate = self.rate
        if rate <= 0:
            return None
        return self.now_us + max(1, round(remaining_work_us / rate))

    def next_us(self) -> int | None:
        """The time at which the next job finishes if nothing changes; None without jobs or at speed 0."""
        first = self._first_to_finish()
        return None if first is None else self._finish_us(first[0])
