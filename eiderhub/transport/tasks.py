"""Tasks that nobody waits for: kept from being collected, and their faults logged and acted on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import picologging as logging

log = logging.getLogger("tasks")


class TaskSet:
    """The tasks of one program that are under way."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def start(self, coroutine: Coroutine[Any, Any, None], on_fault: Callable[[], None]) -> None:
        """Run it; `on_fault` is called where it raises: whoever waits for what it does must hear of that."""

        def ended(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            if not task.cancelled() and (error := task.exception()) is not None:
                log.error("a task failed: %r", error)
                on_fault()

        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(ended)
