"""Lists items that nobody will run any more, and forgets jobs that are long over; on the storage primary.

Its commits may wait for as long as a backup is away. So it has a task of its own: items are given out
meanwhile.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import picologging as logging

from eiderhub.batch.jobs import JobTable
from eiderhub.batch.messages import ItemKey
from eiderhub.coordination.messages import Write
from eiderhub.transport.group import CommitUnknown, GroupDriver, NotPrimary

LOOK_S = 0.5  # how often dead letters are looked for
FAULT_PAUSE_S = 1.0  # after a fault of the program itself

log = logging.getLogger("storage")


class DeadLetters:
    """Of one storage node; does nothing unless it leads.

    `routes` gives the names of the routes in force, None where they are not known for certain. `listed` is
    called for each item once its end is committed.
    """

    def __init__(
        self,
        jobs: JobTable,
        group: GroupDriver,
        routes: Callable[[], set[str] | None],
        listed: Callable[[ItemKey], None],
        status_ttl_s: float,
    ) -> None:
        self._jobs = jobs
        self._group = group
        self._routes = routes
        self._listed = listed
        self._status_ttl_s = status_ttl_s

    async def run_forever(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            try:
                if self._group.leads():
                    await self._bury()
                    await self._purge()
            except (NotPrimary, CommitUnknown):
                pass  # the next primary does what is left
            except Exception as error:  # Danger: were this task to end, such items would wait with nobody
                log.error("dead letters could not be listed: %r", error)
                await asyncio.sleep(FAULT_PAUSE_S)

    async def _bury(self) -> None:
        """List all items that are dead letters now, in one commit."""
        if not self._jobs.hopeless(time.time(), self._routes()):
            return
        buried: list[ItemKey] = []

        def change() -> list[Write]:
            items = self._jobs.hopeless(time.time(), self._routes())  # as things stand when it is written
            buried.extend(item.key for item in items)
            return [write for key in buried for write in self._jobs.finish(key, False, "")]

        await self._group.commit(change)
        for key in buried:
            self._listed(key)

    async def _purge(self) -> None:
        """Forget one job that is long over."""
        await self._group.commit(lambda: self._jobs.purge(time.time(), self._status_ttl_s))
