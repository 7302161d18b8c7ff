"""Upgrades over two releases in virtual time: no program receives a record format that it does not read."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from eiderhub.coordination import replication
from eiderhub.coordination.forms import FIRST_FORMAT, RecordFormats, next_format
from eiderhub.coordination.replication import Replica
from tests.model import upgrades
from tests.model.history import InvariantViolation
from tests.model.schedules import play
from tests.model.seeds import Patch, find_violations, patched
from tests.model.world import CONTROL, CONTROL_OF_THREE, STORAGE, World
from tests.test_model import set_small_sizes

SEEDS = 12
DRAWN_SCHEDULES = 400
Schedule = Callable[[World], None]
NAMED: list[Schedule] = [
    upgrades.upgraded_over_two_releases, upgrades.upgraded_at_once, upgrades.stale_program_joins,
]  # fmt: skip


def run(schedule: Schedule, seed: int) -> None:
    """Play one named schedule; the seed selects the group."""
    set_small_sizes()
    schedule(World(seed, (CONTROL, CONTROL_OF_THREE, STORAGE)[seed % 3]))


def play_drawn(seed: int) -> None:
    """Play one random schedule of upgrades.

    Raises:
        items.InvariantViolation: the error type that tests/model/seeds.py collects.
    """
    from tests.model import items

    set_small_sizes()
    try:
        play(seed, upgrades.random_upgrades)
    except InvariantViolation as error:
        raise items.InvariantViolation(str(error)) from error


@pytest.mark.parametrize("schedule", NAMED)
def test_named_upgrade_violates_no_invariant(schedule: Schedule) -> None:
    for seed in range(SEEDS):
        run(schedule, seed)


def test_no_drawn_upgrade_violates_an_invariant() -> None:
    assert find_violations(play_drawn, 0, DRAWN_SCHEDULES, 25) == []


def _raise_at_once(current: int, own: RecordFormats, members_read: object) -> int | None:
    return current + 1 if own.writes > current else None


FAULTS: list[tuple[Schedule, tuple[Patch, ...]]] = [
    (upgrades.upgraded_at_once, ((replication, "next_format", _raise_at_once),
                                 (Replica, "_reject_unreadable_format", lambda self, message: None))),
    (upgrades.stale_program_joins, ((Replica, "_reject_unreadable_format", lambda self, message: None),)),
    (upgrades.upgraded_at_once, ((replication, "next_format", _raise_at_once),)),
]  # fmt: skip


@pytest.mark.parametrize(
    ("schedule", "patches"), FAULTS,
    ids=["a record in the new format too early", "an unreadable format is accepted",
         "the format is raised early"],
)  # fmt: skip
def test_planted_fault_is_found(schedule: Schedule, patches: tuple[Patch, ...]) -> None:
    with patched(patches), pytest.raises((InvariantViolation, AssertionError)):
        for seed in range(SEEDS):
            run(schedule, seed)


@pytest.mark.parametrize(
    ("current", "own", "members", "expected"),
    [
        (1, RecordFormats(2, 1), [2, 2], None),
        (1, RecordFormats(2, 2), [2, 1], None),
        (1, RecordFormats(2, 2), [2, 3], 2),
        (2, RecordFormats(2, 2), [2, 2], None),
        (1, RecordFormats(4, 3), [4, 4], 2),  # one at a time
        (1, RecordFormats(2, 2), [], 2),
    ],
)
def test_format_is_raised_once_each_member_reads_it(
    current: int, own: RecordFormats, members: list[int], expected: int | None
) -> None:
    assert next_format(current, own, members) == expected
    assert FIRST_FORMAT == 1
