"""Changes of a group's membership: one at a time, each a write like any other.

The primary teaches a replica that wants to belong (a learner), makes it a member once it has all that is
committed, and removes members that leave or are silent, as long as enough live ones have all that is
committed. A replica that is to leave for good is barred: the write that removes it also names it among those
that no primary of the group will ever admit again.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

import msgspec

from eiderhub.coordination.messages import Write
from eiderhub.coordination.timing import GroupSize

MEMBERS_KEY = "group/members"
BARRED_KEY = "group/barred"


def encode_identities(identities: Collection[str]) -> bytes:
    return msgspec.json.encode(sorted(identities))


def decode_identities(value: bytes | None) -> frozenset[str]:
    return frozenset(msgspec.json.decode(value, type=list[str])) if value else frozenset()


class GroupView(NamedTuple):
    """What the primary knows of its group at one moment."""

    identity: str  # the primary's own
    members: frozenset[str]
    barred: frozenset[str]
    retiring: frozenset[str]  # must leave for good
    replaced: frozenset[str]  # their disks are gone
    silent: frozenset[str]  # members not heard of for too long
    synced: Callable[[str], bool]  # whether a replica has all that is committed
    heard: Callable[[str], bool]  # whether a replica has answered within a lease

    @property
    def leaving(self) -> frozenset[str]:
        return self.barred | self.retiring | self.replaced

    @property
    def live(self) -> frozenset[str]:
        """Members that stay and answer."""
        return self.members - self.leaving - self.silent


class MembershipChange(NamedTuple):
    members: frozenset[str]
    barred: frozenset[str]

    def writes(self, view: GroupView) -> list[Write]:
        """What makes the change; `view` is the group before it."""
        made = []
        if self.members != view.members:
            made.append(Write(MEMBERS_KEY, encode_identities(self.members)))
        if self.barred != view.barred:
            made.append(Write(BARRED_KEY, encode_identities(self.barred)))
        return made


def may_admit(view: GroupView, learner: str) -> bool:
    """Whether a learner becomes a member: it has all that is committed, and answers."""
    return learner not in view.leaving and view.synced(learner) and view.heard(learner)


def may_remove(view: GroupView, size: GroupSize) -> bool:
    """Whether a member may go: enough live ones remain, and each has all that is committed."""
    return len(view.live) >= size.least and all(view.synced(member) for member in view.live)


def next_change(view: GroupView, learners: Collection[str], size: GroupSize) -> MembershipChange | None:
    """The next change of membership, where one is due."""
    outsiders = view.retiring - view.members - view.barred
    if outsiders:
        return MembershipChange(view.members, view.barred | outsiders)
    for learner in sorted(learners):
        if learner not in view.members and may_admit(view, learner):
            return MembershipChange(view.members | {learner}, view.barred)
    if may_remove(view, size):
        for member in sorted(view.members - view.live - {view.identity}):
            return MembershipChange(view.members - {member}, view.barred | (view.retiring & {member}))
    return None


def wants_learner(view: GroupView, learners: Collection[str], size: GroupSize) -> bool:
    return size.target is None or len(view.live) + len(learners) < size.target


def next_learner(
    view: GroupView, learners: Collection[str], candidates: Collection[str], given_up: Mapping[str, float]
) -> str | None:
    """The first of those that want to belong.

    Danger: one that never catches up, its disk being full, must not keep all others out: whoever was given up
    lately goes to the end of the line.
    """
    for candidate in sorted(candidates, key=lambda c: given_up.get(c, 0.0)):
        if candidate not in view.members and candidate not in view.leaving and candidate not in learners:
            return candidate
    return None
