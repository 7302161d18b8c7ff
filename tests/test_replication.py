"""The replicas of one group under seeded schedules of trouble, and single traces."""

from __future__ import annotations

import os
import random

import pytest

from eiderhub.coordination.messages import (
    EpochAnswer,
    Position,
    Replicate,
    Replicated,
    RequestEpoch,
    Update,
    Write,
)
from eiderhub.coordination.replication import Replica, Role
from eiderhub.coordination.timing import GroupSize, Timing
from eiderhub.storage.store import MemoryStore
from tests.replication_support import World

SCHEDULES = int(os.environ.get("OTTERCLEAT_SCHEDULES", "60"))
RECOVERY_S = 6.0


def world_of(seed: int) -> World:
    """Every other schedule has a group of three members and one spare replica."""
    if seed % 8 >= 4:
        return World(seed, size=GroupSize(3, 3), members=3)
    return World(seed)


def play(world: World) -> None:
    world.run(2.0)
    for _ in range(4):
        world.fault()
        world.run(RECOVERY_S)


@pytest.mark.parametrize("block", range(4))
def test_acknowledged_writes_outlive_trouble_and_one_replica_leads(block: int) -> None:
    for seed in range(block, SCHEDULES, 4):
        world = world_of(seed)
        try:
            play(world)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}; {world.faults}") from error
        assert world.acknowledged, f"seed {seed}: nothing was ever acknowledged"
        leaders = [m for m in world.running() if m.replica and m.replica.leads(world.now)]
        assert len(leaders) == 1, f"seed {seed}: {len(leaders)} lead in the end; {world.faults}"


def test_wiped_replica_comes_back_as_a_member_of_its_own() -> None:
    world = World(1, loss=0.0, repeat=0.0)
    world.run(2.0)
    leader = next(m for m in world.running() if m.replica and m.replica.leads(world.now))
    before = leader.identity
    world.wipe(leader, 1.0)
    world.run(RECOVERY_S)
    now = next(m for m in world.running() if m.replica and m.replica.leads(world.now))
    assert now.replica is not None
    assert before not in now.replica.members
    assert leader.identity in now.replica.members
    assert world.settled() or world.acknowledged


def founded(identity: str, members: list[str], now: float = 0.0) -> Replica:
    replica = Replica(identity, MemoryStore(), now, random.Random(1), timing=Timing())
    replica.bootstrap(members)
    return replica


MEMBERS = ["a@1", "b@2", "c@3"]


def test_witness_refuses_an_epoch_while_it_hears_a_primary() -> None:
    witness = founded("b@2", MEMBERS)
    witness.receive(1.0, "a@1", Replicate(2, Position(1, 1), [], 1, 1.0))
    witness.outbox.clear()
    witness.receive(1.2, "c@3", RequestEpoch(3, Position(1, 1), trial=False))
    (sent,) = witness.outbox
    assert sent.message == EpochAnswer(3, False, False, 2)


def test_witness_refuses_a_candidate_that_lacks_what_it_has() -> None:
    witness = founded("b@2", MEMBERS)
    witness.store.grant(2)
    witness.receive(1.0, "a@1", Replicate(2, Position(1, 1), [], 1, 1.0))
    witness.receive(1.1, "a@1", Replicate(2, Position(1, 1), [Update(Position(2, 2), [])], 1, 1.1))
    witness.outbox.clear()
    witness.receive(9.0, "c@3", RequestEpoch(3, Position(1, 1), trial=False))
    (sent,) = witness.outbox
    assert isinstance(sent.message, EpochAnswer)
    assert not sent.message.granted


def test_witness_grants_nothing_within_a_lease_of_its_start() -> None:
    witness = founded("b@2", MEMBERS, now=5.0)
    witness.receive(5.1, "c@3", RequestEpoch(2, Position(1, 1), trial=False))
    witness.receive(5.1 + Timing().lease, "c@3", RequestEpoch(2, Position(1, 1), trial=False))
    granted = [sent.message.granted for sent in witness.outbox if isinstance(sent.message, EpochAnswer)]
    assert granted == [False, True]


def elected(now: float) -> Replica:
    primary = founded("a@1", MEMBERS)
    primary.tick(now)
    primary.receive(now, "b@2", EpochAnswer(2, True, True, 1))
    primary.receive(now, "b@2", EpochAnswer(2, True, False, 2))
    assert primary.role is Role.PRIMARY
    return primary


def test_primary_leads_only_once_its_epoch_is_committed_and_while_its_lease_runs() -> None:
    primary = elected(2.0)
    assert not primary.leads(2.0)
    primary.receive(2.0, "b@2", Replicated(2, Position(1, 1), 2.0))
    primary.receive(2.0, "b@2", Replicated(2, Position(2, 2), 2.0))
    assert primary.leads(2.1)
    assert not primary.leads(2.0 + Timing().lease)  # as one that was frozen finds out


def test_write_is_committed_by_a_majority_alone() -> None:
    primary = elected(2.0)
    primary.receive(2.0, "b@2", Replicated(2, Position(1, 1), 2.0))
    primary.receive(2.0, "b@2", Replicated(2, Position(2, 2), 2.0))
    position = primary.propose(2.1, [Write("k", b"v")])
    assert primary.committed < position.version
    primary.receive(2.1, "c@3", Replicated(2, Position(1, 1), 2.0, gap=True))
    assert primary.committed < position.version
    primary.receive(2.1, "b@2", Replicated(2, position, 2.0))
    assert primary.committed == position.version


def test_learner_that_never_catches_up_keeps_no_other_out() -> None:
    """Recorded: a spare whose disk was full stood first, and the group stayed at two copies."""
    world = World(3, loss=0.0, repeat=0.0, count=5, size=GroupSize(3, 3), members=3)
    world.machines["m3"].store.full = True
    world.run(2.0)
    lost = next(
        m
        for m in world.running()
        if m.address in ("m0", "m1", "m2") and m.replica and not m.replica.leads(world.now)
    )
    world.stop(lost, 60.0)
    world.run(RECOVERY_S)
    leader = next(m for m in world.running() if m.replica and m.replica.leads(world.now))
    assert leader.replica is not None
    assert "id4@m4" in leader.replica.members
