"""Which version of the state is committed, from the versions that the members have synced.

A write needs a majority of the members. Where the group has fewer members than the tolerated losses ask for,
a majority could be just the disks that are lost next. Its writes therefore need one copy more than may be
lost, or the copies of all live members, unless a member stays behind for too long.
"""

from __future__ import annotations

from collections.abc import Sequence

from eiderhub.coordination.timing import majority


class CommitRule:
    """The commit rule of one primary in one epoch."""

    def __init__(self, wanted_copies: int, patience_s: float) -> None:
        self._wanted_copies = wanted_copies
        self._patience_s = patience_s  # the longest wait for copies beyond a majority
        self._waiting_since: float | None = None

    def committed_version(self, now: float, versions: Sequence[int], live: int) -> int:
        """The newest version with enough copies; `versions` has one entry per member, `live` are live."""
        descending = sorted(versions, reverse=True)
        quorum = majority(len(descending))
        majority_version, copied_version = descending[quorum - 1], descending[self._copies(quorum, live) - 1]
        if copied_version == majority_version:
            self._waiting_since = None
            return majority_version
        if self._waiting_since is None:
            self._waiting_since = now
        return majority_version if now - self._waiting_since > self._patience_s else copied_version

    def _copies(self, quorum: int, live: int) -> int:
        """The number of copies to wait for."""
        return max(quorum, min(self._wanted_copies, live))
