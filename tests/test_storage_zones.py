"""Zones of the storage group's members: as few as possible, unless the loss of a zone must be tolerated."""

from __future__ import annotations

import random

import pytest

from eiderhub.control.messages import NodeRecord
from eiderhub.coordination.replication import Replica
from eiderhub.coordination.roster import Roster
from eiderhub.programs.storage_group import group_by_zone, interleave_zones
from eiderhub.storage.store import MemoryStore

ZONES = ("a", "b", "b", "b", "c", "c")
NODES = [NodeRecord(f"s{n}", "storage", zone, f"i{n}@h{n}:1") for n, zone in enumerate(ZONES)]


def zones_of(nodes: list[NodeRecord]) -> list[str]:
    return [node.zone for node in nodes]


def test_group_by_zone_takes_the_largest_zones_first() -> None:
    assert zones_of(group_by_zone(NODES)) == ["b", "b", "b", "c", "c", "a"]


def test_interleave_zones_takes_one_node_of_each_zone_in_turn() -> None:
    assert zones_of(interleave_zones(NODES))[:3] == ["a", "b", "c"]


@pytest.mark.parametrize(("prefers_same_zones", "expected"), [(True, "i2@h2:1"), (False, "i0@h0:1")])
def test_zone_preference_decides_which_candidate_joins_next(prefers_same_zones: bool, expected: str) -> None:
    own = NODES[1]
    replica = Replica(own.identity, MemoryStore(), 0.0, random.Random(1))
    replica.bootstrap([own.identity])
    roster = Roster(own.identity, own.zone)
    roster.prefers_same_zones = prefers_same_zones
    for node in NODES:
        if node is not own:
            roster.add_replica(node.identity, node.name, node.zone)
    assert roster.join_candidates(replica, set())[0] == expected
