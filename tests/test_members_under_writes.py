"""Changes of members come within a bound though writes never rest; docs/control-guarantees.md, point 3."""

from __future__ import annotations

import pytest

from eiderhub.coordination.replication import Replica
from tests.model import writes
from tests.model.history import Broken
from tests.model.seeds import Patch, patched
from tests.model.world import CONTROL_OF_THREE, STORAGE, World
from tests.test_model import set_small_sizes

SEEDS = 20
DRAWN = 10


def _settled_alone(self: Replica, now: float) -> bool:
    return self.settled(now)


def _has_all_that_is_committed(self: Replica, identity: str) -> bool:
    peer = self._peers.get(identity)
    matched = peer.synced_position if peer is not None else None
    return identity == self.identity or (matched is not None and matched.version >= self.committed)


def _successor_must_have_all(self: Replica, now: float, identity: str) -> bool:
    peer = self._peers.get(identity)
    return (
        peer is not None
        and peer.synced_position == self.position
        and now - peer.last_heard_at < self.timing.lease
    )


@pytest.fixture(autouse=True)
def small_sizes() -> None:
    set_small_sizes()


def test_a_replacement_belongs_within_its_bound() -> None:
    for seed in range(SEEDS):
        assert 0.0 < writes.replaced_under_writes(World(seed, CONTROL_OF_THREE)) < writes.REPLACED_WITHIN_S


def test_a_slow_machine_belongs_within_the_bound() -> None:
    for seed in range(SEEDS):
        world = World(seed, CONTROL_OF_THREE)
        assert writes.slow_machine_joins_under_writes(world) < writes.REPLACED_WITHIN_S


def test_a_primary_that_retires_is_empty_within_the_bound() -> None:
    for seed in range(SEEDS):
        assert writes.retired_under_writes(World(seed, STORAGE)) < writes.REPLACED_WITHIN_S


def test_members_change_as_drawn() -> None:
    for seed in range(DRAWN):
        writes.drawn_under_writes(World(seed, CONTROL_OF_THREE))


@pytest.mark.parametrize(
    ("schedule", "patches"),
    [
        (writes.replaced_under_writes, ((Replica, "_may_change_members", _settled_alone),)),
        (writes.slow_machine_joins_under_writes, ((Replica, "synced", _has_all_that_is_committed),)),
        (writes.retired_under_writes, ((Replica, "_can_succeed", _successor_must_have_all),)),
    ],
    ids=["a change waits for a moment without writes", "a learner must have the newest write",
         "a successor must have the newest write"],
)  # fmt: skip
def test_each_wait_for_a_quiet_moment_breaks_the_bound(schedule: object, patches: tuple[Patch, ...]) -> None:
    """Planted faults: what each of them was before."""
    assert callable(schedule)
    shape = STORAGE if schedule is writes.retired_under_writes else CONTROL_OF_THREE
    with patched(patches), pytest.raises(Broken):
        for seed in range(SEEDS):
            schedule(World(seed, shape))
