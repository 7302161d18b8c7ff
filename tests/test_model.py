"""Schedules of trouble for the control group, with operators, readers and sidecars, in virtual time.

`OTTERCLEAT_SCHEDULES` says how many are played; each is drawn from its seed alone.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

import pytest

from eiderhub.coordination import catch_up, recent_changes, replication
from tests.model.history import Broken
from tests.model.schedules import SCHEDULES, play

COUNT = int(os.environ.get("OTTERCLEAT_SCHEDULES", "10000"))
FIRST = int(os.environ.get("OTTERCLEAT_FIRST_SEED", "0"))
BLOCK = 50
SMALL_CHUNK_BYTES = 120  # so that the small state of a schedule takes several chunks
SHORT_HISTORY = 4
SHORT_TAIL = 1  # so that snapshots are needed often


def set_small_sizes() -> None:
    setattr(replication, "CHUNK_BYTES", SMALL_CHUNK_BYTES)  # noqa: B010
    catch_up.HISTORY_UPDATES = SHORT_HISTORY
    recent_changes.RETAINED_ENTRIES = SHORT_TAIL


def play_block(first: int) -> list[str]:
    """What a block of seeds has broken; each schedule takes its turn."""
    set_small_sizes()
    found = []
    for seed in range(first, first + BLOCK):
        try:
            play(seed, SCHEDULES[seed % len(SCHEDULES)])
        except Broken as error:
            found.append(str(error))
    return found


@pytest.fixture
def pool() -> Iterator[ProcessPoolExecutor]:
    with ProcessPoolExecutor(os.cpu_count()) as made:
        yield made


def test_no_schedule_breaks_what_must_hold(pool: ProcessPoolExecutor) -> None:
    blocks = range(FIRST, FIRST + COUNT, BLOCK)
    found = [each for block in pool.map(play_block, blocks) for each in block]
    assert not found, "\n".join(found[:5])


def test_schedule_is_the_same_each_time() -> None:
    first, second = play(7, SCHEDULES[1]), play(7, SCHEDULES[1])
    assert first.trace == second.trace
    assert first.history.acknowledgements.keys() == second.history.acknowledgements.keys()
