"""Upgrades over two landings in virtual time: nobody gets a state that its program does not read."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from eiderhub.coordination import replication
from eiderhub.coordination.forms import FIRST_FORMAT, RecordFormats, next_format
from eiderhub.coordination.replication import Replica
from tests.model import upgrades
from tests.model.history import Broken
from tests.model.schedules import play
from tests.model.seeds import Patch, broken_by, patched
from tests.model.world import CONTROL, CONTROL_OF_THREE, STORAGE, World
from tests.test_model import set_small_sizes

SEEDS = 12
DRAWN = 400
Schedule = Callable[[World], None]
NAMED: list[Schedule] = [
    upgrades.upgraded_over_two_landings, upgrades.upgraded_at_once, upgrades.stale_program_joins,
]  # fmt: skip


def run(schedule: Schedule, seed: int) -> None:
    set_small_sizes()
    schedule(World(seed, (CONTROL, CONTROL_OF_THREE, STORAGE)[seed % 3]))


def play_drawn(seed: int) -> None:
    """One drawn schedule of upgrades.

    Raises:
        items.Broken: as all models' seeds are told of.
    """
    from tests.model import items

    set_small_sizes()
    try:
        play(seed, upgrades.upgrades)
    except Broken as error:
        raise items.Broken(str(error)) from error


@pytest.mark.parametrize("schedule", NAMED)
def test_named_upgrade_breaks_nothing(schedule: Schedule) -> None:
    for seed in range(SEEDS):
        run(schedule, seed)


def test_no_drawn_upgrade_breaks_what_must_hold() -> None:
    assert broken_by(play_drawn, 0, DRAWN, 25) == []


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
    ids=["a record in the new format too early", "a format that is not read is taken",
         "the format rises early"],
)  # fmt: skip
def test_planted_fault_is_found(schedule: Schedule, patches: tuple[Patch, ...]) -> None:
    with patched(patches), pytest.raises((Broken, AssertionError)):
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
def test_format_rises_once_each_member_reads_it(
    current: int, own: RecordFormats, members: list[int], expected: int | None
) -> None:
    assert next_format(current, own, members) == expected
    assert FIRST_FORMAT == 1
