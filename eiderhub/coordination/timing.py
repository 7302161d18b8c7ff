"""Times and sizes of a group."""

from __future__ import annotations

from typing import NamedTuple


class Timing(NamedTuple):
    """Seconds. The lease must be shorter than the least election wait."""

    heartbeat: float = 0.1
    lease: float = 0.35
    election_least: float = 0.45
    election_spread: float = 0.25
    first_election: float = 0.1  # wait of a replica that was started lately, on the mean
    replace_after: float = 1.5  # a member that is silent for so long is replaced or removed
    transfer: float = 1.5  # a planned transfer of leadership is given up after so long


class GroupSize(NamedTuple):
    """How many members a group has."""

    target: int | None = None  # live members that are wanted; None: all that want to belong
    least: int = 3  # no member is removed unless so many live ones remain


def copies_needed(losses: int) -> int:
    """Members of a group that keeps a majority when so many are lost."""
    return 2 * losses + 1


def majority(count: int) -> int:
    """How many of so many members are more than half."""
    return count // 2 + 1
