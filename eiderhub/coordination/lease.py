"""The primary's lease: it leads while a majority has acknowledged a heartbeat sent within the lease time.

The lease counts from when a heartbeat was sent, not from when its acknowledgement arrived: a primary whose
process was suspended finds acknowledgements in its buffers that prove nothing about the time since.
"""

from __future__ import annotations

from collections.abc import Collection

from eiderhub.coordination.timing import Timing, majority


class Lease:
    """The lease of one primary in one epoch."""

    def __init__(self, identity: str, timing: Timing) -> None:
        self._identity = identity
        self._timing = timing
        self._confirmed_at: dict[str, float] = {}  # send time of the newest acknowledged heartbeat

    def confirm(self, member: str, sent_at: float) -> None:
        """A member has acknowledged a message sent at `sent_at`."""
        self._confirmed_at[member] = max(self._confirmed_at.get(member, 0.0), sent_at)

    def majority_confirmed_at(self, members: Collection[str]) -> float:
        """When the latest heartbeat acknowledged by a majority was sent; the primary counts towards it."""
        others_confirmed_at = sorted(
            (self._confirmed_at.get(m, 0.0) for m in members if m != self._identity), reverse=True
        )
        needed = majority(len(members)) - (self._identity in members)
        if needed <= 0:
            return float("inf")
        return others_confirmed_at[needed - 1] if needed <= len(others_confirmed_at) else 0.0

    def expires_at(self, members: Collection[str]) -> float:
        """When the lease expires if no further acknowledgement arrives."""
        return self.majority_confirmed_at(members) + self._timing.lease
