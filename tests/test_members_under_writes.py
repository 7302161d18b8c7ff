"""Membership changes finish within a bound under continuous writes; docs/control-guarantees.md, point 3."""

from __future__ import annotations

import pytest

from eiderhub.coordination.replication import Replica
from tests.model import writes
from tests.model.history import InvariantViolation
from tests.model.seeds import Patch, patched
from tests.model.world import CONTROL_OF_THREE, STORAGE, World
from tests.test_model import set_small_sizes

SEEDS = 20
RANDOM_SCHEDULES = 10


def _requires_all_writes_committed(self: Replica, now: float) -> bool:
    return self.all_committed(now)


def _requires_newest_committed_write(self: Replica, identity: str) -> bool:
    peer = self._peers.get(identity)
    synced_position = peer.synced_position if peer is not None else None
    return identity == self.identity or (
        synced_position is not None and synced_position.version >= self.committed
    )


def _requires_newest_write(self: Replica, now: float, identity: str) -> bool:
    peer = self._peers.get(identity)
    return (
        peer is not None
        and peer.synced_position == self.position
        and now - peer.last_heard_at < self.timing.lease
    )


@pytest.fixture(autouse=True)
def use_small_sizes() -> None:
    set_small_sizes()


def test_replacement_joins_within_the_bound() -> None:
    for seed in range(SEEDS):
        assert 0.0 < writes.replaced_under_writes(World(seed, CONTROL_OF_THREE)) < writes.REPLACEMENT_BOUND_S


def test_slow_machine_joins_within_the_bound() -> None:
    for seed in range(SEEDS):
        world = World(seed, CONTROL_OF_THREE)
        assert writes.slow_machine_joins_under_writes(world) < writes.REPLACEMENT_BOUND_S


def test_retiring_primary_is_removed_within_the_bound() -> None:
    for seed in range(SEEDS):
        assert writes.retired_under_writes(World(seed, STORAGE)) < writes.REPLACEMENT_BOUND_S


def test_random_membership_changes() -> None:
    for seed in range(RANDOM_SCHEDULES):
        writes.random_changes_under_writes(World(seed, CONTROL_OF_THREE))


@pytest.mark.parametrize(
    ("schedule", "patches"),
    [
        (writes.replaced_under_writes, ((Replica, "_may_change_members", _requires_all_writes_committed),)),
        (writes.slow_machine_joins_under_writes, ((Replica, "synced", _requires_newest_committed_write),)),
        (writes.retired_under_writes, ((Replica, "_can_succeed", _requires_newest_write),)),
    ],
    ids=["membership change requires all writes committed", "learner requires the newest committed write",
         "successor requires the newest write"],
)  # fmt: skip
def test_waiting_for_a_pause_in_writes_breaks_the_bound(schedule: object, patches: tuple[Patch, ...]) -> None:
    """Each stricter condition, injected as a fault, is not met in time under continuous writes."""
    assert callable(schedule)
    shape = STORAGE if schedule is writes.retired_under_writes else CONTROL_OF_THREE
    with patched(patches), pytest.raises(InvariantViolation):
        for seed in range(SEEDS):
            schedule(World(seed, shape))
