"""The witness of a replica: whether a candidate may have the epoch that it asks for.

It stores the epoch that it granted last and nothing else. Each condition is one that safety needs:

* an epoch is granted once, to a candidate that has all that this replica has;
* not while this replica follows a primary, or leads itself: a lease may run that it has confirmed;
* not within a lease of its own start, when it does not know what it confirmed before, unless every member has
  said that it follows nobody.
"""

from __future__ import annotations

from typing import NamedTuple

from eiderhub.coordination.messages import Position, RequestEpoch
from eiderhub.coordination.timing import Timing


class WitnessView(NamedTuple):
    """What the witness knows of its replica at this moment."""

    epoch: int
    position: Position
    followed_for: float | None  # seconds since the primary was heard; None: it follows nobody
    leads: bool
    age: float  # seconds since the replica's start


class Verdict(NamedTuple):
    granted: bool
    young: bool  # only the time since the start keeps it from granting


def is_young(view: WitnessView, timing: Timing) -> bool:
    """Whether a primary that this replica answered before its start may still have its lease."""
    return view.age < timing.lease


def is_new_epoch(view: WitnessView, request: RequestEpoch) -> bool:
    return request.epoch > view.epoch


def has_all(view: WitnessView, request: RequestEpoch) -> bool:
    """Whether the candidate has all that this replica has."""
    return request.position >= view.position


def is_led(view: WitnessView, timing: Timing) -> bool:
    """Whether a lease may run that this replica has confirmed, or its own."""
    follows = view.followed_for is not None and view.followed_for < timing.election_least
    return follows or view.leads


def judge(view: WitnessView, request: RequestEpoch, timing: Timing) -> Verdict:
    """Whether the epoch is granted, or would be."""
    free = request.transfer or not is_led(view, timing)
    willing = is_new_epoch(view, request) and has_all(view, request) and free
    granted = willing and (request.unled or not is_young(view, timing))
    return Verdict(granted, willing and not granted)
