"""Tracks how long items and jobs have made no progress, for logs and metrics on jobs that do not finish.

Performs no I/O; reads the job table and never changes it.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from eiderhub.batch.jobs import ItemState, JobTable
from eiderhub.batch.messages import ItemKey
from eiderhub.metric_lines import metric_line

STUCK_ITEM_S = 4.0  # an item is reported once it has been at one sidecar for this long
IDLE_JOB_S = 2.0  # a job is reported once no item of it has started or ended for this long
MAX_REPORTED = 20  # items and jobs in one report


class RunningItemStatus(NamedTuple):
    """An item that is recorded as running at a sidecar."""

    key: ItemKey
    node: str
    since: float  # on the monotonic clock of the caller


class UncommittedJob(NamedTuple):
    """A job with assigned positions whose results are not committed."""

    job: str
    assigned_positions: int
    committed_positions: int
    since: float


class IdleJob(NamedTuple):
    """A job with items to run, and when an item of it last started or ended."""

    job: str
    progress_count: int  # first events and results as of the last refresh
    since: float
    late: bool  # its results were due before the last refresh


class ProgressMonitor:
    """Compares the job table with its earlier state, to find items and jobs without progress."""

    def __init__(self) -> None:
        self._running: dict[ItemKey, RunningItemStatus] = {}
        self._uncommitted: dict[str, UncommittedJob] = {}
        self._jobs: dict[str, IdleJob] = {}
        self.waiting = 0
        self.out_of_attempts = 0  # waiting items that are to become dead letters

    def refresh(self, now: float, wall_time: float, table: JobTable) -> None:
        """Read the table again; `wall_time`: the time of day, for the deadlines of jobs."""
        self._update_idle_jobs(now, wall_time, table)
        running: dict[ItemKey, RunningItemStatus] = {}
        uncommitted: dict[str, UncommittedJob] = {}
        waiting = out_of_attempts = 0
        for job in table.jobs.values():
            if job.assigned_positions > job.committed_positions:
                previous = self._uncommitted.get(job.record.id)
                unchanged = previous is not None and previous[1:3] == (
                    job.assigned_positions,
                    job.committed_positions,
                )
                current = UncommittedJob(job.record.id, job.assigned_positions, job.committed_positions, now)
                uncommitted[job.record.id] = previous if previous is not None and unchanged else current
        for job in table.open_jobs():
            for item in job.items.values():
                if item.state is ItemState.WAITING:
                    waiting += 1
                    out_of_attempts += item.errors >= job.record.max_attempts
                elif item.state is ItemState.RUNNING:
                    status = self._running.get(item.key)
                    if status is None or status.node != item.node:
                        status = RunningItemStatus(item.key, item.node, now)
                    running[item.key] = status
        self._running, self._uncommitted, self.waiting = running, uncommitted, waiting
        self.out_of_attempts = out_of_attempts

    def _update_idle_jobs(self, now: float, wall_time: float, table: JobTable) -> None:
        jobs: dict[str, IdleJob] = {}
        for job in table.open_jobs():
            name, progress_count = job.record.id, job.starts + job.assigned_positions
            previous = self._jobs.get(name)
            since = (
                previous.since if previous is not None and previous.progress_count == progress_count else now
            )
            jobs[name] = IdleJob(name, progress_count, since, wall_time > job.due_at)
        self._jobs = jobs

    def idle_jobs(self, now: float) -> list[IdleJob]:
        """Jobs without progress for too long, the longest first."""
        idle = [idle_job for idle_job in self._jobs.values() if now - idle_job.since >= IDLE_JOB_S]
        return sorted(idle, key=lambda idle_job: idle_job.since)

    def stuck(self, now: float) -> list[RunningItemStatus]:
        """Items that have been at one sidecar for too long, the oldest first."""
        old = [item for item in self._running.values() if now - item.since >= STUCK_ITEM_S]
        return sorted(old, key=lambda item: item.since)

    def uncommitted(self, now: float) -> list[UncommittedJob]:
        """Jobs whose results have been waiting for their commit for too long."""
        return [job for job in self._uncommitted.values() if now - job.since >= STUCK_ITEM_S]

    def summary(self, now: float) -> str:
        """Describe what makes no progress, in one line; empty if nothing is stuck."""
        stuck, uncommitted, idle = self.stuck(now), self.uncommitted(now), self.idle_jobs(now)
        parts = []
        if idle:
            late = sum(idle_job.late for idle_job in idle)
            parts.append(
                f"jobs without progress: {len(idle)}, {late} of them late; longest {idle[0].job} "
                f"for {now - idle[0].since:.1f} s; {self.waiting} items waiting"
            )
        if stuck:
            nodes = Counter(item.node for item in stuck)
            counts = ", ".join(f"{count} at {node}" for node, count in nodes.most_common(3))
            first = stuck[0]
            parts.append(
                f"items running too long: {counts}; oldest {first.key.job} {first.key.item} "
                f"for {now - first.since:.1f} s"
            )
        if uncommitted:
            job = uncommitted[0]
            parts.append(
                f"results not committed: {job.job} {job.committed_positions} of {job.assigned_positions}"
            )
        return "; ".join(parts)

    def metric_lines(self, now: float) -> list[str]:
        """The same as metrics, one per line."""
        nodes = Counter(item.node for item in self._running.values())
        lines = [f"items_waiting {self.waiting}", f"items_out_of_attempts {self.out_of_attempts}"]
        lines += [f"items_running {len(self._running)}", f"jobs_idle {len(self.idle_jobs(now))}"]
        lines += [metric_line("items_running_at", count, node=node) for node, count in sorted(nodes.items())]
        lines += [
            metric_line(
                "item_held_s", f"{now - item.since:.1f}", job=item.key.job, item=item.key.item, node=item.node
            )
            for item in self.stuck(now)[:MAX_REPORTED]
        ]
        lines += [
            metric_line("results_uncommitted", job.assigned_positions - job.committed_positions, job=job.job)
            for job in self.uncommitted(now)[:MAX_REPORTED]
        ]
        lines += [
            metric_line("job_idle_s", f"{now - idle.since:.1f}", job=idle.job, late=f"{idle.late:d}")
            for idle in self.idle_jobs(now)[:MAX_REPORTED]
        ]
        return lines
