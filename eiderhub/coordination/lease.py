"""The primary's lease: it leads for as long as a majority has answered a heartbeat that it sent lately.

Times are those at which heartbeats were sent, not those at which answers came: a primary that was frozen
finds answers in its buffers which say nothing of the time since.
"""

from __future__ import annotations

from collections.abc import Collection

from eiderhub.coordination.timing import Timing, majority


class Lease:
    """Of one primary in one epoch."""

    def __init__(self, identity: str, timing: Timing) -> None:
        self._identity = identity
        self._timing = timing
        self._confirmed: dict[str, float] = {}  # sent time of the newest heartbeat that each member answered

    def confirm(self, member: str, sent_at: float) -> None:
        """A member has answered what was sent then."""
        self._confirmed[member] = max(self._confirmed.get(member, 0.0), sent_at)

    def majority_heard(self, members: Collection[str]) -> float:
        """When the latest heartbeat was sent that a majority, the primary included, has answered."""
        others = sorted((self._confirmed.get(m, 0.0) for m in members if m != self._identity), reverse=True)
        needed = majority(len(members)) - (self._identity in members)
        if needed <= 0:
            return float("inf")
        return others[needed - 1] if needed <= len(others) else 0.0

    def end(self, members: Collection[str]) -> float:
        """Until when the primary leads, if it hears nothing more."""
        return self.majority_heard(members) + self._timing.lease
