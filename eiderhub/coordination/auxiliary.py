"""Auxiliary replicas: members of a group on machines that do not run the group's own program.

A group keeps a majority after t losses only with 2t+1 members, and only then does a committed write have
more than t copies. Where a group has fewer replicas of its own, its primary recruits auxiliary ones. They
store the whole state and vote like any other member. They cannot serve the group's clients, so they stand for
election later than the others and transfer leadership to one of the others as soon as it has caught up.

An auxiliary replica is recognized by its identity, which is created together with its disk.
"""

from __future__ import annotations

IDENTITY_PREFIX = "auxiliary-"


def auxiliary_identity(unique_name: str, address: str) -> str:
    """The identity of a new auxiliary replica that listens at the address."""
    return f"{IDENTITY_PREFIX}{unique_name}@{address}"


def is_auxiliary(identity: str) -> bool:
    return identity.startswith(IDENTITY_PREFIX)
