"""Background tasks that nothing awaits.

The set holds references to them, since the event loop holds only weak ones, and reports their exceptions.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import picologging as logging

log = logging.getLogger("tasks")


class TaskSet:
    """The running background tasks of one program."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def start(self, coroutine: Coroutine[Any, Any, None], on_failure: Callable[[], None]) -> None:
        """Run a coroutine; if it raises, `on_failure` must inform whoever depends on its effect."""

        def on_done(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            if not task.cancelled() and (error := task.exception()) is not None:
                log.error("background task failed: %r", error)
                on_failure()

        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(on_done)
