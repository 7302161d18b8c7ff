"""Which requests a sidecar that stops still takes: those that it can end before it has to go.

Pure: it is told the time. Clients go on using the connections that they have until the process is gone, so
that requests come for as long as it lives.
"""

from __future__ import annotations

LEAST_DRAIN_S = 2.6  # the platform sends no new connections after two missed looks, a second apart
END_MARGIN_S = 1.2  # before the platform kills what has not stopped
QUIET_S = 0.3  # a sidecar that drains ends once no request has come for so long


class Drain:
    """One sidecar's way to its end, from SIGTERM on; times in seconds of one clock."""

    def __init__(self, began: float, grace_s: float) -> None:
        self._serves_until = began + min(LEAST_DRAIN_S, grace_s / 2)
        self._ends_at = began + grace_s - END_MARGIN_S

    def takes(self, now: float, most_s: float) -> bool:
        """Whether a request that may take so long is taken; any other is promised not to have run."""
        return now < self._serves_until or now + most_s <= self._ends_at

    def is_over(self, now: float, quiet: bool, last_request: float) -> bool:
        """Whether the process ends now."""
        idle = quiet and now > self._serves_until and now - last_request > QUIET_S
        return idle or now >= self._ends_at
