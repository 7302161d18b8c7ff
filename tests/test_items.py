"""An accepted item is held by somebody who works on it, or waits to be given to one: docs/incidents/lost-item.md.

On real sockets, with the real storage service and item runners: nothing here knows how they agree.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.items_support import bench, listed, until


def test_item_given_back_while_a_session_opens_is_run_again(tmp_path: Path) -> None:
    """The sidecar has announced the item; the primary's answer is on its way when the attempt fails."""

    async def test() -> None:
        async with bench(tmp_path) as made:
            sidecar = await made.sidecar("edge-0")
            assert await sidecar.submit("job", "a") == 202
            await until(lambda: "a" in sidecar.admission.calls, "the item at the sidecar")
            sidecar.wire.open.clear()
            before = sidecar.wire.sessions
            sidecar.wire.cut()
            await until(lambda: sidecar.wire.sessions > before, "another session opens")
            await until(lambda: made.storage.service._connections, "the primary has taken it")
            sidecar.admission.refuse("a")
            sidecar.wire.open.set()
            await until(lambda: "a" in sidecar.admission.calls, "the item is given out again")
            sidecar.admission.finish("a")
            await listed(sidecar, "job", "a")

    asyncio.run(test())
