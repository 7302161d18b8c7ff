"""Lists items that will never run as dead letters and purges old jobs, on the storage primary.

It runs as a task of its own, since its commits may block for as long as a backup is unreachable and items
must be assigned meanwhile.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import picologging as logging

from eiderhub.batch.jobs import JobTable
from eiderhub.batch.messages import ItemKey
from eiderhub.coordination.messages import Write
from eiderhub.transport.group import CommitOutcomeUnknown, GroupDriver, NotPrimary

CHECK_INTERVAL_S = 0.5  # between searches for dead letters
MAX_PURGED_JOBS = 10  # at each search; above the rate at which jobs arrive
ERROR_PAUSE_S = 1.0  # after an unexpected exception

log = logging.getLogger("storage")


class DeadLetterTask:
    """Runs on each storage node; does nothing unless the node is primary.

    `known_routes` returns the names of the active routes, or None if they are not known for certain.
    `on_dead_letter` is called for each item once its dead letter is committed.
    """

    def __init__(
        self,
        jobs: JobTable,
        group: GroupDriver,
        known_routes: Callable[[], set[str] | None],
        on_dead_letter: Callable[[ItemKey], None],
        status_ttl_s: float,
    ) -> None:
        self._jobs = jobs
        self._group = group
        self._known_routes = known_routes
        self._on_dead_letter = on_dead_letter
        self._status_ttl_s = status_ttl_s

    async def run_forever(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            try:
                if self._group.leads():
                    await self._list_dead_letters()
                    await self._purge_ended_jobs()
            except (NotPrimary, CommitOutcomeUnknown):
                pass  # the next primary does the rest
            except Exception as error:  # the task must go on, or such items would wait forever
                log.error("could not list dead letters: %r", error)
                await asyncio.sleep(ERROR_PAUSE_S)

    async def _list_dead_letters(self) -> None:
        """List all current dead letters in one commit."""
        if not self._jobs.undeliverable_items(time.time(), self._known_routes()):
            return
        keys: list[ItemKey] = []

        def change() -> list[Write]:
            # Evaluated again, since the table may have changed before the write.
            items = self._jobs.undeliverable_items(time.time(), self._known_routes())
            keys.extend(item.key for item in items)
            return [write for key in keys for write in self._jobs.finish(key, False, "")]

        await self._group.commit(change)
        if keys:
            log.info("dead letters: %d items, the first %s of job %s", len(keys), keys[0].item, keys[0].job)
        for key in keys:
            self._on_dead_letter(key)

    async def _purge_ended_jobs(self) -> None:
        """Remove jobs whose status retention has expired, each in a commit of its own."""
        for _ in range(MAX_PURGED_JOBS):
            purged: list[Write] = []

            def change(purged: list[Write] = purged) -> list[Write]:
                purged += self._jobs.purge_expired(time.time(), self._status_ttl_s)
                return purged

            await self._group.commit(change)
            if not purged:
                return
