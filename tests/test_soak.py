"""Short soaks of the real programs: troubles in series that overlap, and an account of all that was taken."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.soak.run import Shape, Soak

SHAPE = Shape(seconds=10.0, finish_s=60.0)  # no verdict hangs on how busy the machine is


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nothing_that_was_taken_is_lost(tmp_path: Path, seed: int) -> None:
    async def test() -> Soak:
        soak = Soak(seed, tmp_path, SHAPE)
        await soak.play()
        return soak

    soak = asyncio.run(test())
    assert soak.account.broken == [], "\n".join(soak.log)
    assert len(soak.account.requests) > 100
    assert any(lot.accepted for lot in soak.account.lots.values())
