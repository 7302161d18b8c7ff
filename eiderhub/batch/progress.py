"""How long each item has been as it is: what on-call staff look at when a job does not end.

Pure; a view of the job table, which it never changes.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from eiderhub.batch.jobs import ItemState, JobTable
from eiderhub.batch.messages import ItemKey

STUCK_S = 4.0  # an item that has been at one sidecar for so long is named
IDLE_LOT_S = 2.0  # a job none of whose items has begun or ended for so long is named
MOST_NAMED = 20  # items and jobs in one report


class RunningAt(NamedTuple):
    """An item that a sidecar is taken to run."""

    key: ItemKey
    node: str
    since: float  # on the clock that `look` was told


class Uncommitted(NamedTuple):
    """A job that has given out positions whose results are not committed."""

    job: str
    positions: int
    visible: int
    since: float


class IdleLot(NamedTuple):
    """A job with items to run, none of which has begun or ended for a while."""

    job: str
    moves: int  # first events and results, at the last look
    since: float
    late: bool  # its results were due before the last look


class ProgressWatch:
    """Looks at the table now and then, and remembers since when nothing has moved."""

    def __init__(self) -> None:
        self._running: dict[ItemKey, RunningAt] = {}
        self._uncommitted: dict[str, Uncommitted] = {}
        self._lots: dict[str, IdleLot] = {}
        self.waiting = 0
        self.out_of_attempts = 0  # of those that wait: they are to be listed as dead letters

    def look(self, now: float, wall: float, table: JobTable) -> None:
        """`wall`: the time of day, by which jobs are due."""
        self._look_at_lots(now, wall, table)
        running: dict[ItemKey, RunningAt] = {}
        uncommitted: dict[str, Uncommitted] = {}
        waiting = out_of_attempts = 0
        for job in table.jobs.values():
            if job.positions > job.visible:
                before = self._uncommitted.get(job.record.id)
                same = before is not None and before[1:3] == (job.positions, job.visible)
                made = Uncommitted(job.record.id, job.positions, job.visible, now)
                uncommitted[job.record.id] = before if before is not None and same else made
        for job in table.open_jobs():
            for item in job.items.values():
                if item.state is ItemState.WAITING:
                    waiting += 1
                    out_of_attempts += item.errors >= job.record.max_attempts
                elif item.state is ItemState.RUNNING:
                    known = self._running.get(item.key)
                    if known is None or known.node != item.node:
                        known = RunningAt(item.key, item.node, now)
                    running[item.key] = known
        self._running, self._uncommitted, self.waiting = running, uncommitted, waiting
        self.out_of_attempts = out_of_attempts

    def _look_at_lots(self, now: float, wall: float, table: JobTable) -> None:
        lots: dict[str, IdleLot] = {}
        for job in table.open_jobs():
            name, moves = job.record.id, job.begun + job.positions
            known = self._lots.get(name)
            since = known.since if known is not None and known.moves == moves else now
            lots[name] = IdleLot(name, moves, since, wall > job.due_at)
        self._lots = lots

    def idle_lots(self, now: float) -> list[IdleLot]:
        """Jobs in which nothing has moved for too long, the longest first."""
        idle = [lot for lot in self._lots.values() if now - lot.since >= IDLE_LOT_S]
        return sorted(idle, key=lambda lot: lot.since)

    def stuck(self, now: float) -> list[RunningAt]:
        """Items that have been at one sidecar for too long, the oldest first."""
        old = [item for item in self._running.values() if now - item.since >= STUCK_S]
        return sorted(old, key=lambda item: item.since)

    def unlisted(self, now: float) -> list[Uncommitted]:
        """Jobs whose results have waited for their commit for too long."""
        return [job for job in self._uncommitted.values() if now - job.since >= STUCK_S]

    def summary(self, now: float) -> str:
        """What is stuck, in one line; empty where nothing is."""
        stuck, unlisted, idle = self.stuck(now), self.unlisted(now), self.idle_lots(now)
        parts = []
        if idle:
            late = sum(lot.late for lot in idle)
            parts.append(
                f"jobs without a move: {len(idle)}, {late} of them late; longest {idle[0].job} "
                f"for {now - idle[0].since:.1f} s; {self.waiting} items wait"
            )
        if stuck:
            nodes = Counter(item.node for item in stuck)
            at = ", ".join(f"{count} at {node}" for node, count in nodes.most_common(3))
            first = stuck[0]
            parts.append(
                f"items without an end: {at}; oldest {first.key.job} {first.key.item} "
                f"for {now - first.since:.1f} s"
            )
        if unlisted:
            job = unlisted[0]
            parts.append(f"results not committed: {job.job} {job.visible} of {job.positions}")
        return "; ".join(parts)

    def lines(self, now: float) -> list[str]:
        """The same as figures, one a line."""
        nodes = Counter(item.node for item in self._running.values())
        lines = [f"items_waiting {self.waiting}", f"items_out_of_attempts {self.out_of_attempts}"]
        lines += [f"items_running {len(self._running)}", f"jobs_idle {len(self.idle_lots(now))}"]
        lines += [f'items_running_at{{node="{node}"}} {count}' for node, count in sorted(nodes.items())]
        lines += [
            f'item_held_s{{job="{item.key.job}",item="{item.key.item}",node="{item.node}"}} '
            f"{now - item.since:.1f}"
            for item in self.stuck(now)[:MOST_NAMED]
        ]
        lines += [
            f'results_uncommitted{{job="{job.job}"}} {job.positions - job.visible}'
            for job in self.unlisted(now)[:MOST_NAMED]
        ]
        lines += [
            f'job_idle_s{{job="{lot.job}",late="{lot.late:d}"}} {now - lot.since:.1f}'
            for lot in self.idle_lots(now)[:MOST_NAMED]
        ]
        return lines
