"""Named schedules for points 1 to 4 of docs/control-guarantees.md.

tests/test_planted_faults.py shows which faults they find.
Point 5, answers that reach the wrong caller and calls that are sent twice, is in tests/test_answers.py.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.model import named
from tests.model.disk import Disk
from tests.model.history import InvariantViolation
from tests.model.planted import PlantedFault
from tests.model.world import (
    CONTROL,
    CONTROL_OF_THREE,
    CONTROL_TOO_SMALL,
    SMALLEST_CONTROL_TOO_SMALL,
    STORAGE,
    STORAGE_TOO_SMALL,
    Shape,
    World,
)
from tests.test_model import set_small_sizes

SEEDS = 12

Schedule = Callable[[World], None]
CASES: list[tuple[Schedule, Shape]] = [
    (named.cut_off_for_twenty_seconds, CONTROL),
    (named.frozen_successor, CONTROL_OF_THREE),
    (named.restarted_witnesses, CONTROL_OF_THREE),
    (named.restarted_between, CONTROL_OF_THREE),
    (named.late_answers, CONTROL_OF_THREE),
    (named.woken_backup, CONTROL),
    (named.races_with_lost_answers, CONTROL),
    (named.loss_right_after_replacement, CONTROL_OF_THREE),
    (named.loss_right_after_repair, CONTROL_OF_THREE),
    (named.two_join_while_cut, CONTROL_OF_THREE),
    (named.disk_lost_while_another_is_down, CONTROL_OF_THREE),
    (named.learner_with_full_disk, CONTROL_OF_THREE),
    (named.empty_disk_votes, CONTROL_OF_THREE),
    (named.disks_lost_in_turn, SMALLEST_CONTROL_TOO_SMALL),
    (named.disks_lost_in_turn, STORAGE_TOO_SMALL),
    (named.disks_lost_in_turn, CONTROL_TOO_SMALL),
    (named.retiring_machine_loses_its_disk, STORAGE),
    (named.restarted_after_many_changes, CONTROL),
]


def play(schedule: Schedule, shape: Shape, seed: int, fault: PlantedFault | None = None) -> None:
    """Play one named schedule with one seed, under a planted fault's disk if one is given."""
    set_small_sizes()
    disk = fault.disk if fault is not None else Disk
    world = World(seed, shape, answer_loss_rate=0.5, disk=disk)
    try:
        schedule(world)
    except InvariantViolation as error:
        raise InvariantViolation(f"{schedule.__name__} --seed {seed}: {error}; {world.trace}") from error


@pytest.mark.parametrize(("schedule", "shape"), CASES)
def test_schedule_violates_no_invariant(schedule: Schedule, shape: Shape) -> None:
    for seed in range(SEEDS):
        play(schedule, shape, seed)


@pytest.mark.parametrize("shape", [CONTROL_TOO_SMALL, SMALLEST_CONTROL_TOO_SMALL, STORAGE_TOO_SMALL])
def test_group_that_is_too_small_outlives_any_number_of_repaired_losses(shape: Shape) -> None:
    """Guards against dead identities that add up, one with each repaired loss, until no majority is left."""
    set_small_sizes()
    for seed in range(SEEDS):
        world = World(seed, shape)
        named.disks_lost_in_turn(world)
        leader = world.leader()
        assert leader is not None and leader.process is not None
        running = {machine.identity for machine in world.machines.values()}
        assert len(leader.process.replica.members - running) <= 1


@pytest.mark.parametrize(("sidecars", "seeds"), [(30, 6), (170, 2)])
def test_change_reaches_every_sidecar_though_the_primary_that_acknowledged_it_is_lost(
    sidecars: int, seeds: int
) -> None:
    """Sessions move to other machines during the run, among them those with the lost machine."""
    set_small_sizes()
    for seed in range(seeds):
        shape = (CONTROL, CONTROL_OF_THREE)[seed % 2]
        assert named.confirmed_and_lost(World(seed, shape, answer_loss_rate=0.5), sidecars) > 0.0
