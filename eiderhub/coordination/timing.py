"""Timeouts and size of a group."""

from __future__ import annotations

from typing import NamedTuple


class Timing(NamedTuple):
    """Durations in seconds. The lease must be shorter than the minimum election timeout."""

    heartbeat: float = 0.1
    lease: float = 0.35
    election_timeout_min: float = 0.45
    election_timeout_spread: float = 0.25
    initial_election_timeout: float = 0.1  # mean, for a replica that started recently
    replace_after: float = 1.5  # a member that is silent for this long is replaced or removed
    pre_vote_window: float = 0.15  # while answers to a pre-vote are expected
    absent_after: float = 4.0  # an auxiliary replica then takes the place of a silent member
    transfer_timeout: float = 1.5  # a planned transfer of leadership is abandoned after this long
    auxiliary_election_delay: float = 0.3  # added to the election timeouts of an auxiliary replica


class GroupSize(NamedTuple):
    """The intended number of members of a group."""

    target: int | None = None  # number of live members; None: every replica that asks to join
    min_live: int = 3  # members needed to bear the tolerated losses; what remains after a removal


def copies_needed(tolerated_losses: int) -> int:
    """Number of members with which a group keeps its majority after this many losses."""
    return 2 * tolerated_losses + 1


def losses_borne(members: int, live: int) -> int:
    """How many more live members a group may lose at once and keep its majority; negative: it has none."""
    return live - majority(members)


def tolerated_losses(needed: int) -> int:
    """The losses that a group of the needed size bears: the inverse of `copies_needed`."""
    return (needed - 1) // 2


def majority(members: int) -> int:
    """The smallest number that is more than half of the members."""
    return members // 2 + 1
