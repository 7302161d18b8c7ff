"""Short soaks of the real programs under overlapping faults: no accepted request, job or change is lost."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.soak.run import WIRE_1, Soak, SoakSettings

SETTINGS = SoakSettings(seconds=10.0, finish_s=60.0)  # long enough to finish on a busy machine


def play(seed: int, folder: Path, settings: SoakSettings) -> Soak:
    async def test() -> Soak:
        soak = Soak(seed, folder, settings)
        await soak.play()
        return soak

    soak = asyncio.run(test())
    assert soak.account.violations == [], "\n".join(soak.log)
    assert len(soak.account.requests) > 100
    assert any(job.accepted for job in soak.account.jobs.values())
    return soak


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nothing_accepted_is_lost_under_faults(tmp_path: Path, seed: int) -> None:
    play(seed, tmp_path, SETTINGS)


@pytest.mark.parametrize("seed", [31, 32])
def test_nothing_accepted_is_lost_with_any_ids_and_headers(tmp_path: Path, seed: int) -> None:
    """Guards against input that well-behaved clients and endpoints never send."""
    play(seed, tmp_path, SETTINGS._replace(odd_input=True))


@pytest.mark.parametrize("seed", [21, 22])
def test_nothing_acknowledged_is_lost_with_the_tolerated_disks(tmp_path: Path, seed: int) -> None:
    """Guards against acknowledged changes and results that stand on just the disks that are lost next."""
    settings = SETTINGS._replace(seconds=24.0, edges=2, storage=7, tolerated_losses=2, loses_disks=True)
    soak = play(seed, tmp_path, settings)
    assert any("loses its disk" in line for line in soak.log)


@pytest.mark.parametrize("seed", [11, 12])
def test_nothing_accepted_is_lost_during_rolling_upgrades_and_downgrades(tmp_path: Path, seed: int) -> None:
    soak = play(seed, tmp_path, SETTINGS._replace(seconds=16.0, older=WIRE_1))
    assert any("is upgraded" in line for line in soak.log)  # their number depends on the machine
