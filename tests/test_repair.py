"""Times of repair follow the deployment's bound, or the program says that they do not."""

from __future__ import annotations

import shutil
from functools import partial
from pathlib import Path

import pytest

from eiderhub.coordination.messages import Position, Staged, Update, Write
from eiderhub.coordination.repair import copy_bytes_per_s, judge, repair_time, timing_for
from eiderhub.coordination.timing import Timing
from eiderhub.storage.store import LmdbStore
from tests.model.schedules import LEADS_WITHIN_S, serve
from tests.model.world import CONTROL_OF_THREE, World
from tests.test_model import set_small_sizes

LINK_MBPS = 600.0
SEEDS = 12


@pytest.mark.parametrize(
    ("catch_up_s", "silence_s"), [(60.0, 1.5), (6.0, 1.5), (4.7, 1.5), (3.0, 0.96), (2.0, 0.9), (0.1, 0.9)]
)
def test_silence_that_ends_membership_follows_the_bound(catch_up_s: float, silence_s: float) -> None:
    timing = timing_for(catch_up_s)
    assert timing.replace_after == pytest.approx(silence_s)
    assert timing._replace(replace_after=1.5) == Timing()


def test_the_line_says_up_to_what_state_a_repair_is_in_time() -> None:
    kept, line = judge(4.7, timing_for(4.7), LINK_MBPS, 10_000_000)
    assert kept and line == "repairs keep bounds.catch_up_s 4.7 up to a state of 270 MB"
    kept, line = judge(4.7, timing_for(4.7), LINK_MBPS, 300_000_000)
    assert not kept and "not kept: a repair takes 5.1 s with a state of 300 MB" in line
    kept, line = judge(1.0, timing_for(1.0), LINK_MBPS, 0)
    assert not kept and line == "bounds.catch_up_s 1 is not kept: a repair takes 1.2 s at least"
    assert len(line.splitlines()) == 1


def test_the_largest_state_is_the_one_that_takes_all_of_the_time() -> None:
    time, speed = repair_time(Timing()), copy_bytes_per_s(LINK_MBPS)
    largest = time.max_state_bytes(4.7, speed)
    assert time.total_s(largest, speed) == pytest.approx(4.7)
    assert copy_bytes_per_s(0.0) == copy_bytes_per_s(10_000.0) > speed


def has_leader(world: World) -> bool:
    return world.leader() is not None


@pytest.mark.parametrize("catch_up_s", [3.0, 4.7])
def test_the_next_loss_is_borne_once_the_bound_has_passed(catch_up_s: float) -> None:
    """A replacement begins as a backup is lost; the primary is lost as soon as the new machine counts."""
    set_small_sizes()
    for seed in range(SEEDS):
        world = World(seed, CONTROL_OF_THREE, timing=timing_for(catch_up_s))
        world.run(2.0)
        world.run_until(partial(has_leader, world), LEADS_WITHIN_S, "a leader")
        lost = next(m for m in world.machines.values() if m is not world.leader())
        made = world.replace(lost)
        made.start()
        world.run(catch_up_s)
        leader = world.leader()
        assert leader is not None
        leader.remove()
        world.run_until(partial(has_leader, world), LEADS_WITHIN_S, "another leader")
        world.introduce()
        serve(world)


def test_a_store_that_is_nearly_full_is_copied_to_an_empty_machine(tmp_path: Path) -> None:
    """To 0.9 of what it may grow to; jobs are refused from 0.85 on."""
    disk_mb = 24.0
    source = LmdbStore(tmp_path / "source", disk_mb, "a@h:1")
    size, version = 100_000, 0
    while source.used_bytes < 0.9 * source.limit_bytes:
        version += 1
        source.apply([Update(Position(1, version), [Write(f"job/{version:05d}", bytes(size))])])
    target = LmdbStore(tmp_path / "target", disk_mb, "b@h:2")
    after, last = "", False
    while not last:
        chunk = source.chunk(after, 512 << 10)
        target.stage(chunk.entries, Staged(source.position, chunk.through), first=not after)
        after, last = chunk.through, chunk.last
    target.install_staged()
    assert target.position == source.position
    assert target.entries() == source.entries()
    assert target.used_bytes >= 0.9 * target.limit_bytes
    shutil.rmtree(tmp_path / "source")
    target.apply([Update(Position(2, version + 1), [Write("job/00001", None)])])  # it goes on
