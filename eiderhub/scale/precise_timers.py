"""Timers with microsecond precision; the event loop's own timers are rounded to whole milliseconds."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import heapq
import os
import time
from collections.abc import Callable
from typing import Any

NS_PER_S = 1_000_000_000
MAX_LATENESS_SAMPLES = 1 << 16  # the oldest are discarded first

_libc = ctypes.CDLL(None, use_errno=True)


class _Timespec(ctypes.Structure):
    _fields_ = (("s", ctypes.c_long), ("ns", ctypes.c_long))


class _TimerSpec(ctypes.Structure):
    _fields_ = (("interval", _Timespec), ("value", _Timespec))


class PreciseTimers:
    """Runs callbacks on the running loop at given times of the system's monotonic clock, in nanoseconds.

    `lateness_ns` has the delay of each callback behind its due time, since the list was last replaced.

    Raises:
        OSError: the timer descriptor can't be created.
    """

    def __init__(self) -> None:
        self.lateness_ns: list[int] = []
        self._heap: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []
        self._sequence = 0
        self._loop = asyncio.get_running_loop()
        flags = os.O_NONBLOCK | os.O_CLOEXEC
        self._timer_fd: int = _libc.timerfd_create(time.CLOCK_MONOTONIC, flags)
        if self._timer_fd < 0:
            raise OSError(ctypes.get_errno(), os.strerror(ctypes.get_errno()))
        self._loop.add_reader(self._timer_fd, self._on_expired)

    def call_at(self, due_ns: int, callback: Callable[..., object], *args: Any) -> None:
        """Schedules the callback; one whose time has passed runs on the next turn of the loop."""
        self._sequence += 1
        heapq.heappush(self._heap, (due_ns, self._sequence, callback, args))
        if self._heap[0][1] == self._sequence:
            self._arm()

    def close(self) -> None:
        """Drops all pending callbacks and closes the descriptor. May be called more than once."""
        self._heap.clear()
        if self._timer_fd >= 0:
            self._loop.remove_reader(self._timer_fd)
            os.close(self._timer_fd)
            self._timer_fd = -1

    def _arm(self) -> None:
        due_ns = max(1, self._heap[0][0])  # 0 disarms the timer; a past time expires at once
        timer_spec = _TimerSpec(_Timespec(0, 0), _Timespec(due_ns // NS_PER_S, due_ns % NS_PER_S))
        _libc.timerfd_settime(self._timer_fd, 1, ctypes.byref(timer_spec), None)  # 1 is TFD_TIMER_ABSTIME

    def _on_expired(self) -> None:
        with contextlib.suppress(BlockingIOError):
            os.read(self._timer_fd, 8)
        while self._heap and (delay_ns := time.monotonic_ns() - self._heap[0][0]) >= 0:
            _, _, callback, args = heapq.heappop(self._heap)
            if len(self.lateness_ns) >= MAX_LATENESS_SAMPLES:
                del self.lateness_ns[: MAX_LATENESS_SAMPLES // 2]
            self.lateness_ns.append(delay_ns)
            callback(*args)
        if self._heap:
            self._arm()
