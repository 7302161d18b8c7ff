"""The voting rules of a replica's witness: whether a candidate is granted the epoch that it requests.

The witness stores only the epoch that it granted last. Each condition is needed for safety:

* an epoch is granted once, to a candidate whose state is at least as recent as that of this replica;
* it is not granted while this replica follows a primary or is one itself, because a lease that it has
  confirmed may still be valid;
* it is not granted within one lease time of the replica's start, because the replica does not know what it
  confirmed before, unless every member has reported that it follows no primary.
"""

from __future__ import annotations

from typing import NamedTuple

from eiderhub.coordination.messages import Position, RequestEpoch
from eiderhub.coordination.timing import Timing


class WitnessView(NamedTuple):
    """What the witness knows about its replica at one point in time."""

    epoch: int
    position: Position
    since_primary_message_s: float | None  # None: it follows no primary
    leads: bool
    uptime_s: float  # since the replica's start


class Decision(NamedTuple):
    granted: bool
    recently_started: bool  # refused only because the replica started recently


REFUSED = Decision(granted=False, recently_started=False)


def is_recently_started(view: WitnessView, timing: Timing) -> bool:
    """Whether a lease that this replica confirmed before its start may still be valid."""
    return view.uptime_s < timing.lease


def is_new_epoch(view: WitnessView, request: RequestEpoch) -> bool:
    return request.epoch > view.epoch


def is_up_to_date(view: WitnessView, request: RequestEpoch) -> bool:
    """Whether the candidate's state is at least as recent as that of this replica."""
    return request.position >= view.position


def has_live_primary(view: WitnessView, timing: Timing) -> bool:
    """Whether this replica leads, or a lease that it has confirmed may still be valid."""
    follows_live_primary = (
        view.since_primary_message_s is not None
        and view.since_primary_message_s < timing.election_timeout_min
    )
    return follows_live_primary or view.leads


def decide(view: WitnessView, request: RequestEpoch, timing: Timing) -> Decision:
    """Whether the requested epoch is granted; for a trial, whether it would be."""
    no_active_lease = request.transfer or not has_live_primary(view, timing)
    eligible = is_new_epoch(view, request) and is_up_to_date(view, request) and no_active_lease
    granted = eligible and (request.unled or not is_recently_started(view, timing))
    return Decision(granted, eligible and not granted)
