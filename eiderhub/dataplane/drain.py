"""Decides which requests a draining sidecar still accepts: those that can finish before the process exits.

Performs no I/O; callers pass the time. Clients keep using their open connections until the process exits, so
requests arrive throughout the drain.
"""

from __future__ import annotations

MIN_DRAIN_S = 2.6  # new connections stop after two failed readiness checks, one second apart
EXIT_MARGIN_S = 1.2  # the process exits this long before the platform kills it
IDLE_PERIOD_S = 0.3  # without requests or pending work, after which a draining sidecar exits


class Drain:
    """The drain of one sidecar, started by SIGTERM; all times are in seconds on one monotonic clock."""

    def __init__(self, started_at: float, grace_s: float) -> None:
        self._accepts_all_until = started_at + min(MIN_DRAIN_S, grace_s / 2)
        self._exits_at = started_at + grace_s - EXIT_MARGIN_S

    def accepts(self, now: float, max_duration_s: float) -> bool:
        """Whether to accept a request that may take `max_duration_s`; a rejected one is never executed."""
        return now < self._accepts_all_until or now + max_duration_s <= self._exits_at

    def is_over(self, now: float, nothing_pending: bool, last_request_at: float) -> bool:
        """Whether the process should exit now."""
        idle = nothing_pending and now > self._accepts_all_until and now - last_request_at > IDLE_PERIOD_S
        return idle or now >= self._exits_at
