"""Repair times meet the deployment's catch-up bound, or the log line says that they do not."""

from __future__ import annotations

import shutil
from functools import partial
from pathlib import Path

import pytest

from eiderhub.coordination.messages import Position, Staged, Update, Write
from eiderhub.coordination.repair import check_catch_up_bound, copy_bytes_per_s, repair_time, timing_for
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
def test_replacement_timeout_follows_the_catch_up_bound(catch_up_s: float, silence_s: float) -> None:
    timing = timing_for(catch_up_s)
    assert timing.replace_after == pytest.approx(silence_s)
    assert timing._replace(replace_after=1.5) == Timing()


def test_log_line_gives_the_largest_state_that_is_repaired_in_time() -> None:
    is_met, line = check_catch_up_bound(4.7, timing_for(4.7), LINK_MBPS, 10_000_000)
    assert is_met and line == "repairs keep bounds.catch_up_s 4.7 up to a state of 270 MB"
    is_met, line = check_catch_up_bound(4.7, timing_for(4.7), LINK_MBPS, 300_000_000)
    assert not is_met and "not kept: a repair takes 5.1 s with a state of 300 MB" in line
    is_met, line = check_catch_up_bound(1.0, timing_for(1.0), LINK_MBPS, 0)
    assert not is_met and line == "bounds.catch_up_s 1 is not kept: a repair takes 1.2 s at least"
    assert len(line.splitlines()) == 1


def test_largest_state_uses_exactly_the_allowed_time() -> None:
    repair, bytes_per_s = repair_time(Timing()), copy_bytes_per_s(LINK_MBPS)
    max_bytes = repair.max_state_bytes(4.7, bytes_per_s)
    assert repair.total_s(max_bytes, bytes_per_s) == pytest.approx(4.7)
    assert copy_bytes_per_s(0.0) == copy_bytes_per_s(10_000.0) > bytes_per_s


def has_leader(world: World) -> bool:
    return world.leader() is not None


@pytest.mark.parametrize("catch_up_s", [3.0, 4.7])
def test_next_loss_is_tolerated_once_the_bound_has_passed(catch_up_s: float) -> None:
    """A backup is lost and replaced; the primary is lost as soon as the new machine should count."""
    set_small_sizes()
    for seed in range(SEEDS):
        world = World(seed, CONTROL_OF_THREE, timing=timing_for(catch_up_s))
        world.run(2.0)
        world.run_until(partial(has_leader, world), LEADS_WITHIN_S, "a leader")
        lost = next(m for m in world.machines.values() if m is not world.leader())
        replacement = world.replace(lost)
        replacement.start()
        world.run(catch_up_s)
        leader = world.leader()
        assert leader is not None
        leader.remove()
        world.run_until(partial(has_leader, world), LEADS_WITHIN_S, "another leader")
        world.update_machine_lists()
        serve(world)


def test_nearly_full_store_is_copied_to_an_empty_machine(tmp_path: Path) -> None:
    """Filled to 0.9 of its limit; new jobs are refused from 0.85 on."""
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
    target.apply([Update(Position(2, version + 1), [Write("job/00001", None)])])  # the copy accepts writes
