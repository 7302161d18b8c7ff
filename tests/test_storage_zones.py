"""Where the storage group's members are: in few zones, unless the loss of one is to be borne."""

from __future__ import annotations

import random

import pytest

from eiderhub.control.messages import NodeRecord
from eiderhub.coordination.replication import Replica
from eiderhub.coordination.roster import Roster
from eiderhub.programs.storage_tending import gathered_in_zones, spread_over_zones
from eiderhub.storage.store import MemoryStore

ZONES = ("a", "b", "b", "b", "c", "c")
NODES = [NodeRecord(f"s{n}", "storage", zone, f"i{n}@h{n}:1") for n, zone in enumerate(ZONES)]


def zones(nodes: list[NodeRecord]) -> list[str]:
    return [node.zone for node in nodes]


def test_members_are_gathered_in_the_largest_zones() -> None:
    assert zones(gathered_in_zones(NODES)) == ["b", "b", "b", "c", "c", "a"]


def test_members_are_spread_over_all_zones() -> None:
    assert zones(spread_over_zones(NODES))[:3] == ["a", "b", "c"]


@pytest.mark.parametrize(("gathers", "first"), [(True, "i2@h2:1"), (False, "i0@h0:1")])
def test_the_next_member_comes_from_a_zone_with_members_or_without(gathers: bool, first: str) -> None:
    own = NODES[1]
    replica = Replica(own.identity, MemoryStore(), 0.0, random.Random(1))
    replica.bootstrap([own.identity])
    roster = Roster(own.identity, own.zone)
    roster.gathers = gathers
    for node in NODES:
        if node is not own:
            roster.greeted(node.identity, node.name, node.zone)
    assert roster.candidates(replica, set())[0] == first
