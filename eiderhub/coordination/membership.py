"""Membership changes of a group: one at a time, each a replicated write like any other.

The primary replicates to a replica that asks to join (a learner) and makes it a member once it has all
committed writes. It removes members that are leaving or silent, as long as enough members remain and the
live ones have all committed writes. A replica that leaves permanently is barred: the write that removes it
also adds it to the identities that no primary of the group will ever admit again.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

import msgspec

from eiderhub.coordination.auxiliary import is_auxiliary
from eiderhub.coordination.messages import Write
from eiderhub.coordination.timing import GroupSize, losses_borne, majority, tolerated_losses

MEMBERS_KEY = "group/members"
BARRED_KEY = "group/barred"


def encode_identities(identities: Collection[str]) -> bytes:
    return msgspec.json.encode(sorted(identities))


def decode_identities(value: bytes | None) -> frozenset[str]:
    return frozenset(msgspec.json.decode(value, type=list[str])) if value else frozenset()


class GroupView(NamedTuple):
    """What the primary knows about its group at one point in time."""

    identity: str  # the primary's own
    members: frozenset[str]
    barred: frozenset[str]
    retiring: frozenset[str]  # must leave permanently
    replaced: frozenset[str]  # their disks are lost
    silent: frozenset[str]  # members without a reply for too long
    synced: Callable[[str], bool]  # whether a replica has all committed writes
    heard: Callable[[str], bool]  # whether a replica has replied within the lease time
    absent: frozenset[str] = frozenset()  # silent members that are not expected back soon
    withdrawn: frozenset[str] = frozenset()  # auxiliary members that their machines no longer offer to run
    allows_auxiliary: bool = True  # whether every connected program knows auxiliary replicas

    @property
    def leaving(self) -> frozenset[str]:
        return self.barred | self.retiring | self.replaced

    @property
    def live(self) -> frozenset[str]:
        """Members that are neither leaving nor silent."""
        return self.members - self.leaving - self.silent

    @property
    def dead(self) -> frozenset[str]:
        """Members that do not reply, or whose disk is lost."""
        return self.members & (self.silent | self.replaced)


class GroupHealth(NamedTuple):
    """How many losses a group bears now, as known to its primary."""

    members: int
    live: int
    losses_borne: int  # live members that may be lost at once without losing the majority
    losses_to_bear: int  # that the deployment asks for

    @property
    def sufficient(self) -> bool:
        return self.losses_borne >= self.losses_to_bear


def health(view: GroupView, size: GroupSize) -> GroupHealth:
    members, live = len(view.members), len(view.members - view.dead)
    return GroupHealth(members, live, losses_borne(members, live), tolerated_losses(size.min_live))


class MembershipChange(NamedTuple):
    members: frozenset[str]
    barred: frozenset[str]

    def writes(self, view: GroupView) -> list[Write]:
        """The writes that make the change; `view` is the group before it."""
        result = []
        if self.members != view.members:
            result.append(Write(MEMBERS_KEY, encode_identities(self.members)))
        if self.barred != view.barred:
            result.append(Write(BARRED_KEY, encode_identities(self.barred)))
        return result


def may_admit(view: GroupView, learner: str) -> bool:
    """Whether a learner may become a member: it has all committed writes and replies."""
    return learner not in view.leaving and view.synced(learner) and view.heard(learner)


def all_live_synced(view: GroupView) -> bool:
    return all(view.synced(member) for member in view.live)


def may_remove(view: GroupView, size: GroupSize) -> bool:
    """Whether any member may be removed: enough live ones remain, each with all committed writes."""
    return len(view.live) >= size.min_live and all_live_synced(view)


def removable_dead(view: GroupView, size: GroupSize) -> frozenset[str]:
    """The dead members that may be removed although fewer live ones than needed remain.

    Otherwise each repaired loss would leave a dead member, until the live ones are no majority. While the
    needed number of members remains, their majority is more than the tolerated losses. A smaller group lets
    go only of identities whose disk is lost, where that lowers the majority, and of auxiliary replicas whose
    machines no longer run them.
    """
    if not all_live_synced(view):
        return frozenset()
    members = len(view.members)
    if members > size.min_live:
        return view.dead
    lowers_majority = majority(members - 1) < majority(members)
    lost = view.members & view.replaced if lowers_majority else frozenset()
    return lost | (view.dead & view.withdrawn)


def dismissed(view: GroupView) -> frozenset[str]:
    """The auxiliary members that must go because a program is connected that would keep them like any other.

    Programs of the landing before never replace an auxiliary member that is lost. None is removed where the
    live members would not be a majority without it.
    """
    if view.allows_auxiliary or not all_live_synced(view):
        return frozenset()
    members = frozenset(member for member in view.members if is_auxiliary(member))
    needed = majority(len(view.members) - 1)
    return members if len(view.live) > needed else members & view.dead


def has_surplus(view: GroupView, size: GroupSize) -> bool:
    """Whether the group has enough members without one of its auxiliary ones.

    A member that has missed a heartbeat may be lost already, and an auxiliary one must not go before that is
    known.
    """
    surely_live = [member for member in view.live if view.heard(member)]
    return len(surely_live) > size.min_live and all_live_synced(view)


def removable(view: GroupView, size: GroupSize) -> list[str]:
    """The members that may be removed now; those whose disk is lost come first, auxiliary ones last."""
    members = view.members - view.live if may_remove(view, size) else removable_dead(view, size)
    members |= dismissed(view)
    if not members and has_surplus(view, size):
        members = frozenset(member for member in view.live if is_auxiliary(member))
    return sorted(members - {view.identity}, key=lambda member: (member not in view.replaced, member))


def next_change(view: GroupView, learners: Collection[str], size: GroupSize) -> MembershipChange | None:
    """The next membership change, if one is due."""
    unbarred_outsiders = view.retiring - view.members - view.barred
    if unbarred_outsiders:
        return MembershipChange(view.members, view.barred | unbarred_outsiders)
    for learner in sorted(learners):
        if learner not in view.members and may_admit(view, learner):
            return MembershipChange(view.members | {learner}, view.barred)
    for member in removable(view, size):
        return MembershipChange(view.members - {member}, view.barred | (view.retiring & {member}))
    return None


def shortage(view: GroupView, size: GroupSize) -> int:
    """How many auxiliary replicas the group lacks.

    A member that is not auxiliary counts for some time while it is away: it asks to join by itself when it
    returns, or its successor does. An auxiliary one that is away has to be replaced by the primary.
    """
    if not view.allows_auxiliary:
        return 0
    expected = {member for member in view.members - view.absent if not is_auxiliary(member)}
    return max(0, size.min_live - len(view.live | expected))


def lacks_auxiliary(view: GroupView, learners: Collection[str], size: GroupSize) -> bool:
    """Whether the group has to recruit another auxiliary replica."""
    return shortage(view, size) > sum(is_auxiliary(learner) for learner in learners)


def needs_learner(view: GroupView, learners: Collection[str], size: GroupSize) -> bool:
    return size.target is None or len(view.live) + len(learners) < size.target


def next_learner(
    view: GroupView,
    learners: Collection[str],
    join_candidates: Collection[str],
    failed_at: Mapping[str, float],
    recruits: bool = False,
) -> str | None:
    """The replica to start as a learner next, from those that ask to join.

    An auxiliary one is started only if the group `recruits` such replicas, and after all others. One that
    never catches up, for example because its disk is full, must not keep all others out: a replica that has
    recently failed as a learner is tried last.
    """
    for candidate in sorted(join_candidates, key=lambda c: (is_auxiliary(c), failed_at.get(c, 0.0))):
        if is_auxiliary(candidate) and not recruits:
            continue
        if candidate not in view.members and candidate not in view.leaving and candidate not in learners:
            return candidate
    return None
