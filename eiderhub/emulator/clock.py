"""The day's clock, and how late the emulator itself is: its figures are worth what its timers are."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import numpy as np

IN_DOUBT_MS = 20.0  # figures of a run whose own 99th percentile of lateness is above this are in doubt


class Clock:
    """Microseconds since the day began; callbacks at given moments."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._origin_ns = time.monotonic_ns()
        self._late_us: list[int] = []
        self._stopped = False
        # Unix time of the day's beginning: discovery tells start times in it.
        self._unix_origin_ms = time.time_ns() // 1_000_000

    def begin(self) -> None:
        """The day begins now."""
        self._origin_ns = time.monotonic_ns()
        self._unix_origin_ms = time.time_ns() // 1_000_000
        self._late_us.clear()

    def now_us(self) -> int:
        return (time.monotonic_ns() - self._origin_ns) // 1000

    def unix_ms(self, day_us: int | None) -> int:
        """A time of the day as Unix time; 0 for long ago."""
        return 0 if day_us is None else self._unix_origin_ms + day_us // 1000

    def at(self, when_us: int, callback: Callable[..., object], *args: Any) -> asyncio.TimerHandle:
        delay = max(0, when_us - self.now_us()) / 1e6
        return self._loop.call_later(delay, self._ring, when_us, callback, args)

    def stop(self) -> None:
        """The day is over: nothing more is called back."""
        self._stopped = True

    def _ring(self, when_us: int, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        if self._stopped:
            return
        self._late_us.append(max(0, self.now_us() - when_us))
        callback(*args)

    def lateness_ms(self) -> dict[str, float]:
        """By how much timers were late: median, 99th percentile, worst."""
        if not self._late_us:
            return {"p50": 0.0, "p99": 0.0, "max": 0.0}
        p50, p99, worst = np.percentile(self._late_us, [50, 99, 100]) / 1000
        return {"p50": round(float(p50), 2), "p99": round(float(p99), 2), "max": round(float(worst), 2)}
