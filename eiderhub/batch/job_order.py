"""The order in which jobs get their items assigned.

Performs no I/O; one `JobOrder` serves one assignment round.

Jobs that can still meet their deadline come first, by earliest deadline; late jobs follow: if late jobs ran
first, all jobs after them would become late too. That order alone would starve a late job for as long as the
others fill the windows. So each job without recent progress first gets one item assigned ahead of all others,
the longest idle first; late jobs may use only a part of all starts in this way.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from eiderhub.batch.jobs import Job, JobTable

IDLE_PRIORITY_S = 1.0  # a job without progress for this long is served first
LATE_START_SHARE = 0.25  # share of all starts that idle late jobs may take ahead of jobs in time
MAX_LATE_STARTS = 8.0  # upper bound of the unused budget


def is_progressing(now: float, job: Job, progressing_jobs: set[str]) -> bool:
    """Whether a job makes progress.

    Args:
        now: Current time.
        job: The job.
        progressing_jobs: Ids of jobs that have items at sidecars that make progress.
    """
    return job.record.id in progressing_jobs or now - job.progressed_at <= IDLE_PRIORITY_S


class LateStartBudget:
    """How many items of idle late jobs may be assigned ahead of jobs in time; retained across rounds."""

    def __init__(self) -> None:
        self._credit = MAX_LATE_STARTS

    @property
    def available(self) -> bool:
        return self._credit >= 1.0

    def record_start(self, overtaking: bool) -> None:
        """Count an assigned item; `overtaking`: it is of a late job and went ahead of jobs in time."""
        self._credit = (
            self._credit - 1.0 if overtaking else min(MAX_LATE_STARTS, self._credit + LATE_START_SHARE)
        )


class JobOrder:
    """Job order of one round; `progressing_nodes` are the sidecars that make progress with items."""

    def __init__(
        self,
        now: float,
        wall_time: float,
        mean_run_s: float,
        table: JobTable,
        progressing_nodes: Iterable[str],
    ) -> None:
        self._now = now
        self._wall_time = wall_time
        self._jobs = [job for job in table.jobs_by_priority(wall_time, mean_run_s) if job.waiting_count]
        self._progressing_jobs = table.jobs_at(progressing_nodes)
        self._any_in_time = any(not self._is_late(job) for job in self._jobs)

    def waiting_jobs(self) -> list[Job]:
        """All jobs that have waiting items, in the order of their priority."""
        return self._jobs

    def idle_jobs(self, late_start_budget: LateStartBudget) -> Iterator[Job]:
        """Jobs without recent progress, the longest idle first; late ones only within their budget."""
        jobs = [job for job in self._jobs if not self.is_progressing(job)]
        for job in sorted(jobs, key=lambda job: job.progressed_at):
            if late_start_budget.available or not self.overtakes(job):
                yield job

    def overtakes(self, job: Job) -> bool:
        """Whether the job is late while others are in time."""
        return self._any_in_time and self._is_late(job)

    def _is_late(self, job: Job) -> bool:
        return job.due_at < self._wall_time

    def is_progressing(self, job: Job) -> bool:
        """Whether the job makes progress, or has an item at a sidecar that does."""
        return is_progressing(self._now, job, self._progressing_jobs)

    def mark_progressing(self, job: Job) -> None:
        """An item of the job has been assigned to a sidecar that makes progress."""
        self._progressing_jobs.add(job.record.id)
