"""The monotonic clock in integer microseconds, and timers that never fire early."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

# Unix time minus monotonic time, taken once. If it were computed for every list, a step of the system clock
# would shift the endpoints' start times and look like a restart of each endpoint.
UNIX_OFFSET_US = (time.time_ns() - time.monotonic_ns()) // 1000


def now_us() -> int:
    return time.monotonic_ns() // 1000


class Alarm:
    """Calls back once the clock has reached `due_us`.

    The event loop rounds times to whole milliseconds, so a plain `call_later` may fire up to 1 ms early, when
    the balancer's deadline has not been reached yet.
    """

    __slots__ = ("_callback", "_handle", "due_us")

    def __init__(self, due_us: int, callback: Callable[[], object]) -> None:
        self.due_us = due_us
        self._callback = callback
        self._schedule()

    def _schedule(self) -> None:
        delay = max(0, self.due_us - now_us()) / 1e6
        self._handle = asyncio.get_running_loop().call_later(delay + 0.0005, self._on_timer)

    def _on_timer(self) -> None:
        if now_us() < self.due_us:
            self._schedule()
        else:
            self._callback()

    def cancel(self) -> None:
        self._handle.cancel()
