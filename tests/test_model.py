"""Random schedules of faults for the control group, with operators, readers and sidecars, in virtual time.

`OTTERCLEAT_SCHEDULES` is the number of schedules; each is determined by its seed.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor

import pytest

from eiderhub.coordination import catch_up, recent_changes, replication
from tests.model.history import InvariantViolation
from tests.model.schedules import SCHEDULES, play

SCHEDULE_COUNT = int(os.environ.get("OTTERCLEAT_SCHEDULES", "10000"))
FIRST_SEED = int(os.environ.get("OTTERCLEAT_FIRST_SEED", "0"))
BLOCK_SIZE = 50
SMALL_CHUNK_BYTES = 120  # so that the small state of a schedule takes several chunks
FEW_HISTORY_UPDATES = 4
FEW_RETAINED_ENTRIES = 1  # so that snapshots are needed often


def set_small_sizes(chunk_bytes: int = SMALL_CHUNK_BYTES) -> None:
    """Reduce the sizes of chunks and histories, so that small states need chunks and snapshots."""
    setattr(replication, "CHUNK_BYTES", chunk_bytes)  # noqa: B010
    catch_up.HISTORY_UPDATES = FEW_HISTORY_UPDATES
    recent_changes.RETAINED_ENTRIES = FEW_RETAINED_ENTRIES


def collect_violations(play_seed: Callable[[int], object], seeds: Iterable[int]) -> list[str]:
    """Play each seed and return the violations."""
    violations = []
    for seed in seeds:
        try:
            play_seed(seed)
        except InvariantViolation as error:
            violations.append(str(error))
    return violations


def play_block(first: int) -> list[str]:
    """Return the violations in a block of seeds, which use the schedules in turn."""
    set_small_sizes()
    return collect_violations(
        lambda seed: play(seed, SCHEDULES[seed % len(SCHEDULES)]), range(first, first + BLOCK_SIZE)
    )


@pytest.fixture
def pool() -> Iterator[ProcessPoolExecutor]:
    with ProcessPoolExecutor(os.cpu_count()) as executor:
        yield executor


def test_no_schedule_violates_an_invariant(pool: ProcessPoolExecutor) -> None:
    blocks = range(FIRST_SEED, FIRST_SEED + SCHEDULE_COUNT, BLOCK_SIZE)
    violations = [each for block in pool.map(play_block, blocks) for each in block]
    assert not violations, "\n".join(violations[:5])


def test_schedule_is_the_same_each_time() -> None:
    first, second = play(7, SCHEDULES[1]), play(7, SCHEDULES[1])
    assert first.trace == second.trace
    assert first.history.acknowledgements.keys() == second.history.acknowledgements.keys()
