"""The clock of an emulated day, and the lateness of its timers, which limits the accuracy of all figures."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import numpy as np

# The figures of a run are in doubt if the 99th percentile of its own timers' lateness is above this.
MAX_LATENESS_P99_MS = 20.0


class Clock:
    """Measures time in microseconds since the start of the day, and schedules callbacks at such times."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._origin_ns = time.monotonic_ns()
        self._lateness_us: list[int] = []
        self._stopped = False
        # Unix time of the day's start: discovery reports the endpoints' start times as Unix time.
        self._unix_origin_ms = time.time_ns() // 1_000_000

    def start(self) -> None:
        """Restart the day at the present moment, and discard the lateness measured so far."""
        self._origin_ns = time.monotonic_ns()
        self._unix_origin_ms = time.time_ns() // 1_000_000
        self._lateness_us.clear()

    def now_us(self) -> int:
        return (time.monotonic_ns() - self._origin_ns) // 1000

    def unix_ms(self, time_us: int | None) -> int:
        """Convert a time of the day to Unix time in milliseconds; None, a time before the day, becomes 0."""
        return 0 if time_us is None else self._unix_origin_ms + time_us // 1000

    def call_at(self, when_us: int, callback: Callable[..., object], *args: Any) -> asyncio.TimerHandle:
        """Call back at this time of the day, or as soon as possible if it has passed."""
        delay_s = max(0, when_us - self.now_us()) / 1e6
        return self._loop.call_later(delay_s, self._on_timer, when_us, callback, args)

    def stop(self) -> None:
        """End the day: pending callbacks are no longer made."""
        self._stopped = True

    def _on_timer(self, when_us: int, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        if self._stopped:
            return
        self._lateness_us.append(max(0, self.now_us() - when_us))
        callback(*args)

    def lateness_ms(self) -> dict[str, float]:
        """Lateness of the timers: median, 99th percentile and maximum."""
        if not self._lateness_us:
            return {"p50": 0.0, "p99": 0.0, "max": 0.0}
        p50, p99, maximum = np.percentile(self._lateness_us, [50, 99, 100]) / 1000
        return {"p50": round(float(p50), 2), "p99": round(float(p99), 2), "max": round(float(maximum), 2)}
