"""Whose items are given out next. Pure; one instance serves one round.

Jobs that can still be in time come first, the one that is due first in front; what is late follows. Danger:
were what is late already run first, all that comes after it would be late too. But order alone leaves a late
job without an endpoint for as long as the others fill the windows. So each job of which nothing has moved for
a while has one item given out before all others, the longest idle first; late ones for a part of all starts.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from eiderhub.batch.jobs import Job, JobTable

IDLE_S = 1.0  # a job of which nothing has moved for so long is served first
LATE_SHARE = 0.25  # of all starts, that late jobs which are idle may take before those in time
MOST_LATE_STARTS = 8.0  # that they save up


def is_safe(now: float, job: Job, moving: set[str]) -> bool:
    """Whether something of the job moves, or is where items move; `moving`: jobs that have items there."""
    return job.record.id in moving or now - job.moved_at <= IDLE_S


class LateStarts:
    """How many items of idle late jobs may be given out before jobs in time; outlives the rounds."""

    def __init__(self) -> None:
        self._saved = MOST_LATE_STARTS

    @property
    def any(self) -> bool:
        return self._saved >= 1.0

    def started(self, ahead: bool) -> None:
        """An item was given out; `ahead`: one of a late job, before others that are in time."""
        self._saved = self._saved - 1.0 if ahead else min(MOST_LATE_STARTS, self._saved + LATE_SHARE)


class Turns:
    """`moving` are the sidecars that move items."""

    def __init__(self, now: float, wall: float, run_s: float, table: JobTable, moving: Iterable[str]) -> None:
        self._now = now
        self._wall = wall
        self._jobs = [job for job in table.in_order(wall, run_s) if job.waiting_count]
        self._moving = table.jobs_at(moving)
        self._any_in_time = any(not self._is_late(job) for job in self._jobs)

    def in_order(self) -> list[Job]:
        """All jobs that have items waiting."""
        return self._jobs

    def idle(self, late_starts: LateStarts) -> Iterator[Job]:
        """Those of which nothing has moved for a while, the longest idle first."""
        jobs = [job for job in self._jobs if not self.is_safe(job)]
        for job in sorted(jobs, key=lambda job: job.moved_at):
            if late_starts.any or not self.is_ahead(job):
                yield job

    def is_ahead(self, job: Job) -> bool:
        """Whether the job is late, and would go before others that are in time."""
        return self._any_in_time and self._is_late(job)

    def _is_late(self, job: Job) -> bool:
        return job.due_at < self._wall

    def is_safe(self, job: Job) -> bool:
        """Whether something of the job moves, or is where items move."""
        return is_safe(self._now, job, self._moving)

    def note_moving(self, job: Job) -> None:
        """An item of the job has been given to a sidecar that moves items."""
        self._moving.add(job.record.id)
