"""Replicas of one group: random fault schedules and single message sequences."""

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


def make_world(seed: int) -> World:
    """Half of the schedules have a group of three members and one spare replica."""
    if seed % 8 >= 4:
        return World(seed, size=GroupSize(3, 3), initial_members=3)
    return World(seed)


def run_with_faults(world: World) -> None:
    world.run(2.0)
    for _ in range(4):
        world.inject_fault()
        world.run(RECOVERY_S)


@pytest.mark.parametrize("block", range(4))
def test_acknowledged_writes_survive_faults_and_one_replica_leads(block: int) -> None:
    for seed in range(block, SCHEDULES, 4):
        world = make_world(seed)
        try:
            run_with_faults(world)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}; {world.injected_faults}") from error
        assert world.acknowledged, f"seed {seed}: no write was acknowledged"
        leaders = [m for m in world.running() if m.replica and m.replica.leads(world.now)]
        assert len(leaders) == 1, f"seed {seed}: {len(leaders)} lead at the end; {world.injected_faults}"


def test_wiped_replica_rejoins_as_a_new_member() -> None:
    world = World(1, loss_rate=0.0, duplication_rate=0.0)
    world.run(2.0)
    leader = next(m for m in world.running() if m.replica and m.replica.leads(world.now))
    old_identity = leader.identity
    world.wipe(leader, 1.0)
    world.run(RECOVERY_S)
    new_leader = next(m for m in world.running() if m.replica and m.replica.leads(world.now))
    assert new_leader.replica is not None
    assert old_identity not in new_leader.replica.members
    assert leader.identity in new_leader.replica.members
    assert world.has_converged() or world.acknowledged


def bootstrapped(identity: str, members: list[str], now: float = 0.0) -> Replica:
    replica = Replica(identity, MemoryStore(), now, random.Random(1), timing=Timing())
    replica.bootstrap(members)
    return replica


MEMBERS = ["a@1", "b@2", "c@3"]


def test_witness_refuses_an_epoch_while_it_follows_a_primary() -> None:
    witness = bootstrapped("b@2", MEMBERS)
    witness.receive(1.0, "a@1", Replicate(2, Position(1, 1), [], 1, 1.0))
    witness.outbox.clear()
    witness.receive(1.2, "c@3", RequestEpoch(3, Position(1, 1), trial=False))
    (sent,) = witness.outbox
    assert sent.message == EpochAnswer(3, False, False, 2)


def test_witness_refuses_a_candidate_whose_state_is_behind() -> None:
    witness = bootstrapped("b@2", MEMBERS)
    witness.store.grant(2)
    witness.receive(1.0, "a@1", Replicate(2, Position(1, 1), [], 1, 1.0))
    witness.receive(1.1, "a@1", Replicate(2, Position(1, 1), [Update(Position(2, 2), [])], 1, 1.1))
    witness.outbox.clear()
    witness.receive(9.0, "c@3", RequestEpoch(3, Position(1, 1), trial=False))
    (sent,) = witness.outbox
    assert isinstance(sent.message, EpochAnswer)
    assert not sent.message.granted


def test_witness_grants_nothing_within_a_lease_time_of_its_start() -> None:
    witness = bootstrapped("b@2", MEMBERS, now=5.0)
    witness.receive(5.1, "c@3", RequestEpoch(2, Position(1, 1), trial=False))
    witness.receive(5.1 + Timing().lease, "c@3", RequestEpoch(2, Position(1, 1), trial=False))
    granted = [sent.message.granted for sent in witness.outbox if isinstance(sent.message, EpochAnswer)]
    assert granted == [False, True]


def elected_primary(now: float) -> Replica:
    primary = bootstrapped("a@1", MEMBERS)
    primary.tick(now)
    primary.receive(now, "b@2", EpochAnswer(2, True, True, 1))
    primary.receive(now, "b@2", EpochAnswer(2, True, False, 2))
    assert primary.role is Role.PRIMARY
    return primary


def test_primary_leads_only_once_its_epoch_is_committed_and_until_its_lease_expires() -> None:
    primary = elected_primary(2.0)
    assert not primary.leads(2.0)
    primary.receive(2.0, "b@2", Replicated(2, Position(1, 1), 2.0))
    primary.receive(2.0, "b@2", Replicated(2, Position(2, 2), 2.0))
    assert primary.leads(2.1)
    assert not primary.leads(2.0 + Timing().lease)  # as a suspended process sees once it resumes


def test_write_is_committed_only_by_a_majority() -> None:
    primary = elected_primary(2.0)
    primary.receive(2.0, "b@2", Replicated(2, Position(1, 1), 2.0))
    primary.receive(2.0, "b@2", Replicated(2, Position(2, 2), 2.0))
    position = primary.propose(2.1, [Write("k", b"v")])
    assert primary.committed < position.version
    primary.receive(2.1, "c@3", Replicated(2, Position(1, 1), 2.0, gap=True))
    assert primary.committed < position.version
    primary.receive(2.1, "b@2", Replicated(2, position, 2.0))
    assert primary.committed == position.version


def test_learner_that_never_catches_up_keeps_no_other_out() -> None:
    """A spare replica with a full disk is first in line to join: the group must not stay at two members."""
    world = World(3, loss_rate=0.0, duplication_rate=0.0, count=5, size=GroupSize(3, 3), initial_members=3)
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
