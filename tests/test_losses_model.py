"""Losses in turn and at once, with the shapes that deployments have; docs/control-guarantees.md, point 3.

`OTTERCLEAT_LOSS_SCHEDULES` is the number of schedules; each is determined by its seed.
"""

from __future__ import annotations

import os
from concurrent.futures import ProcessPoolExecutor

import pytest

from eiderhub.coordination.auxiliary import is_auxiliary
from tests.model.losses import FOUNDING_S, LOSS_SCHEDULES, expect_leader, play
from tests.model.schedules import CATCH_UP_S, serve
from tests.model.world import (
    CONTROL_OF_FIVE_FOR_TWO,
    CONTROL_OF_FOUR_FOR_TWO,
    CONTROL_OF_THREE_FOR_TWO,
    CONTROL_OF_TWO,
    LARGER_SHAPES,
    Shape,
    World,
)
from tests.test_model import collect_violations, set_small_sizes

SCHEDULE_COUNT = int(os.environ.get("OTTERCLEAT_LOSS_SCHEDULES", "840"))
FIRST_SEED = int(os.environ.get("OTTERCLEAT_FIRST_SEED", "0"))
BLOCK_SIZE = 28
CHUNK_BYTES = 2_000  # the state grows with the length of the schedules, and still takes several chunks
SEEDS = 12


def set_loss_sizes() -> None:
    set_small_sizes(CHUNK_BYTES)


def play_block(first: int) -> list[str]:
    """Return the violations in a block of seeds, which use the shapes and the schedules in turn."""
    set_loss_sizes()
    return collect_violations(
        lambda seed: play(seed, LOSS_SCHEDULES[seed // len(LARGER_SHAPES) % len(LOSS_SCHEDULES)]),
        range(first, first + BLOCK_SIZE),
    )


def test_no_losses_within_the_tolerance_violate_an_invariant() -> None:
    blocks = range(FIRST_SEED, FIRST_SEED + SCHEDULE_COUNT, BLOCK_SIZE)
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        violations = [each for block in pool.map(play_block, blocks) for each in block]
    assert not violations, "\n".join(violations[:5])


@pytest.mark.parametrize("how", ["wipe", "kill", "freeze", "cut"])
@pytest.mark.parametrize("shape", [CONTROL_OF_THREE_FOR_TWO, CONTROL_OF_FOUR_FOR_TWO])
def test_two_control_machines_are_lost_at_once(shape: Shape, how: str) -> None:
    """Guards against a control group of fewer than 2t+1 members, which t losses leave without a majority."""
    set_loss_sizes()
    for seed in range(SEEDS):
        world = World(seed, shape)
        world.run(FOUNDING_S)
        first = world.leader()
        assert first is not None
        second = next(m for m in world.machines.values() if m is not first and not m.auxiliary)
        if how == "cut":
            lost = {first.address, second.address}
            world.network.cut(lost, set(world.machines) - lost)
        else:
            for machine in (first, second):
                getattr(machine, how)()
        world.run(0.5)
        expect_leader(world, "a leader without the two")
        serve(world)


@pytest.mark.parametrize("shape", [CONTROL_OF_TWO, CONTROL_OF_THREE_FOR_TWO, CONTROL_OF_FIVE_FOR_TWO])
def test_group_has_as_many_auxiliary_members_as_it_lacks(shape: Shape) -> None:
    """Guards against auxiliary members that are kept where control nodes are enough, or lost ones kept."""
    set_loss_sizes()
    for seed in range(SEEDS):
        world = World(seed, shape)
        world.run(FOUNDING_S)
        assert auxiliary_count(world) == max(0, shape.size.min_live - shape.machines)
        lost = [m for m in world.machines.values() if m.auxiliary and m.identity in members(world)]
        for machine in lost[:1]:
            machine.remove()
        world.run(CATCH_UP_S)
        assert auxiliary_count(world) == max(0, shape.size.min_live - shape.machines)
        assert all(machine.identity not in members(world) for machine in lost[:1])


def members(world: World) -> frozenset[str]:
    leader = world.leader()
    assert leader is not None and leader.process is not None
    return leader.process.replica.members


def auxiliary_count(world: World) -> int:
    return sum(is_auxiliary(member) for member in members(world))
