"""Every planted fault is found within a bounded number of seeds."""

from __future__ import annotations

import inspect

import pytest

from tests.model import losses, named, schedules, traces
from tests.model.planted import FAULTS, PlantedFault
from tests.test_five_points import CASES, play
from tests.test_losses_model import set_loss_sizes
from tests.test_model import set_small_sizes

MAX_SEEDS = 150
LOSS_SCHEDULES = {schedule.__name__: schedule for schedule in losses.LOSS_SCHEDULES}
SHAPES = {schedule.__name__: shape for schedule, shape in CASES}


def run(fault: PlantedFault, seed: int) -> None:
    """Play the schedule or trace that should find the fault once.

    Raises:
        AssertionError: the fault is found.
    """
    name = fault.found_by
    if hasattr(traces, name):
        trace = getattr(traces, name)
        trace(*([fault.disk()] if inspect.signature(trace).parameters else []))
    elif name in LOSS_SCHEDULES:
        set_loss_sizes()
        losses.play(seed, LOSS_SCHEDULES[name], disk=fault.disk)
    elif hasattr(named, name):
        play(getattr(named, name), SHAPES[name], seed, fault)
    else:
        schedules.play(seed, getattr(schedules, name), fault.disk)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_planted_fault_is_found(fault: PlantedFault) -> None:
    set_small_sizes()
    seeds = 1 if hasattr(traces, fault.found_by) else MAX_SEEDS
    for seed in range(seeds):
        try:
            with fault.planted():
                run(fault, seed)
        except AssertionError:
            return
    raise AssertionError(f"{fault.found_by} does not find it in {seeds} seeds: {fault.name}")


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_no_violation_without_the_planted_fault(fault: PlantedFault) -> None:
    set_small_sizes()
    run(PlantedFault(fault.name, fault.point, fault.found_by), 1)


def test_planted_faults_have_unique_names() -> None:
    assert len({fault.name for fault in FAULTS}) == len(FAULTS)
