"""Capacity model of the serving tier: its arithmetic, the command and the tables in the page."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from msgspec import structs

from eiderhub.capacity.tier import DAY_S, TierFleet, TierSlopes, compute_rows, render_page
from eiderhub.documents import convert, load_document

REPOSITORY = Path(__file__).parents[1]
FLEET = REPOSITORY / "deploy/tier-fleet.toml"
SLOPES = REPOSITORY / "docs/capacity/tier-slopes.json"


@pytest.fixture
def fleet() -> TierFleet:
    return convert(load_document(FLEET)[0], TierFleet, str(FLEET), human_format=True)


@pytest.fixture
def slopes() -> TierSlopes:
    return convert(load_document(SLOPES)[0], TierSlopes, str(SLOPES), human_format=True)


def test_default_fleet_matches_the_operators_figures(fleet: TierFleet) -> None:
    assert (fleet.sidecars, fleet.endpoints, fleet.accelerators) == (1200, 10_000, 80_000)
    assert (fleet.requests_per_s, fleet.tokens_out_per_s) == (40_000, 13_000_000)
    assert (fleet.items_per_day, fleet.lots_per_day, fleet.largest_lot) == (14_000_000, 2300, 690_000)
    assert (fleet.tenants, fleet.models, fleet.regions, fleet.zones) == (1700, 39, 7, 18)
    assert (fleet.changes_per_day, fleet.control_machines) == (15_000, 21)
    assert (fleet.machines_failed_per_day, fleet.machines_restarted_per_day) == (65, 4400)
    assert (fleet.budget.control_share, fleet.budget.control_mb) == (0.044, 256)
    assert (fleet.budget.control_bytes_per_s, fleet.budget.in_force_s) == (14 * 1024, 15)


def test_the_page_contains_the_output_of_the_command(fleet: TierFleet, slopes: TierSlopes) -> None:
    command = [sys.executable, "-m", "eiderhub.cli", "capacity", "--tier"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.stdout == render_page(fleet, slopes)
    assert done.stdout in (REPOSITORY / "docs/CAPACITY.md").read_text()
    assert done.returncode == int(any(row.holds is False for row in compute_rows(fleet, slopes)))


def test_no_amount_decreases_as_the_fleet_grows(fleet: TierFleet, slopes: TierSlopes) -> None:
    inputs = ("sidecars", "endpoints", "requests_per_s", "items_per_day", "tenants", "changes_per_day")
    for name in inputs:
        grown = structs.replace(fleet, **{name: 2 * getattr(fleet, name)})
        for before, after in zip(compute_rows(fleet, slopes), compute_rows(grown, slopes), strict=True):
            if name == "sidecars" and "requests" in before.what:
                continue  # the same requests are spread over more sidecars
            assert max(after.amounts) >= max(before.amounts), (name, before.role, before.what)


def test_batch_owner_processor_time_follows_from_items_per_day(fleet: TierFleet, slopes: TierSlopes) -> None:
    owner = next(
        row for row in compute_rows(fleet, slopes) if (row.role, row.what) == ("batch owner", "processor")
    )
    assert owner.amounts[0] == pytest.approx(14e6 / DAY_S * slopes.storage_item_us / 1e6)


def test_an_invalid_fleet_gives_an_error_without_traceback(tmp_path: Path) -> None:
    file = tmp_path / "fleet.toml"
    file.write_text(FLEET.read_text().replace("sidecars = 1200", "sidecars = 0"))
    command = [sys.executable, "-m", "eiderhub.cli", "capacity", "--tier", "--fleet", str(file)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.returncode == 2
    assert "sidecars" in done.stderr
    assert "Traceback" not in done.stderr
