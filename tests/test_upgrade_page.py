"""The procedures of docs/upgrades.md, carried out with the real programs and commands."""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from eiderhub.coordination.forms import FORMAT_KEY
from eiderhub.coordination.messages import Position, Update, Write
from eiderhub.storage.store import LmdbStore
from tests.test_tier_commands import run_ottercleat
from tests.tier_support import Program, Tier, document, wait_until

OLDER_MODULE = "tests.soak.older"
ITEMS = ["a1", "a2"]


@pytest.fixture
def tier(tmp_path: Path) -> Iterator[Tier]:
    """A tier whose programs all speak wire version 1."""
    started_tier = Tier(tmp_path, storage=3, edges=2)
    for program in started_tier.programs:
        program.module = f"{OLDER_MODULE} {program.role}"
    started_tier.start()
    try:
        yield started_tier
    finally:
        started_tier.close()


def status(tier: Tier) -> dict[str, Any]:
    """The status of the tier as JSON, from the first control node that answers."""
    for program in tier.with_role("control"):
        result = run_ottercleat("status", f"{program.ip}:{tier.ports['control']}", "--as-json")
        if result.returncode == 0:
            return dict(json.loads(result.stdout))
    return {}


def wire_versions(tier: Tier) -> dict[str, int]:
    return dict(status(tier).get("wire_versions", {}))


def replace_program(tier: Tier, program: Program, module: str) -> None:
    """One step of an upgrade: a planned stop, then the other program on the same settings and disk."""
    assert program.stop(signal.SIGTERM) == 0
    program.module = module
    program.start()


def node_names(tier: Tier) -> set[str]:
    return {node["name"] for node in status(tier).get("nodes", [])}


def is_stream_served(tier: Tier, edge: Program, request_id: str) -> bool:
    return tier.send_request(edge, "/live/x", request_id)[0] == 200


def is_job_done(tier: Tier, edge: Program, job: str) -> bool:
    page = tier.results(edge, job)
    return page is not None and len(page["results"]) == len(ITEMS)


def check_traffic(tier: Tier, job: str) -> None:
    """Check that each sidecar serves a request and one sidecar a batch job."""
    for edge in tier.with_role("edge"):
        wait_until(
            partial(is_stream_served, tier, edge, f"r-{edge.name}-{job}"), f"a stream through {edge.name}"
        )
    edge = tier.with_role("edge")[0]
    wait_until(lambda: tier.submit(edge, job, ITEMS) == 202, f"{job} accepted")
    wait_until(lambda: is_job_done(tier, edge, job), f"{job} done")


def test_programs_are_upgraded_one_by_one_and_one_is_downgraded(tier: Tier) -> None:
    assert tier.put_configuration(document(1), 0) == 200
    tier.wait_ready()
    count = len(tier.programs)
    old_primary = tier.primary("control")
    for number, program in enumerate(tier.programs):
        replace_program(tier, program, f"eiderhub.programs.{program.role}")
        if program.role == "edge":
            wait_until(partial(tier.is_ready, program), f"{program.name} ready")
        if number in (1, 4, 7):  # after programs of each role: control, storage and sidecars
            check_traffic(tier, f"job-{number}")
    assert old_primary.module == "eiderhub.programs.control"
    wait_until(lambda: wire_versions(tier) == {"2": count}, "all programs use wire version 2")
    shown = run_ottercleat("status", f"{tier.with_role('control')[0].ip}:{tier.ports['control']}")
    assert f"wire version 2: {count} processes" in shown.stdout
    replace_program(tier, tier.with_role("storage")[0], f"{OLDER_MODULE} storage")
    wait_until(
        lambda: wire_versions(tier) == {"1": 1, "2": count - 1}, "one program uses wire version 1 again"
    )
    check_traffic(tier, "job-back")
    assert len(node_names(tier)) == count - len(tier.with_role("edge"))  # each node has kept its identity


def test_store_is_checked_offline_and_refused_by_a_program_that_cannot_read_it(tier: Tier) -> None:
    assert tier.put_configuration(document(1), 0) == 200
    tier.wait_ready()
    check_traffic(tier, "job-1")
    node = tier.with_role("storage")[0]
    assert node.stop(signal.SIGTERM) == 0
    folder = Path(tier.folder) / f"data-{node.name}"
    checked = run_ottercleat("store-check", str(folder))
    assert checked.returncode == 0 and "entries" in checked.stdout
    store = LmdbStore(folder, 64.0)
    position = store.position
    store.apply([Update(Position(position.epoch, position.version + 1), [Write(FORMAT_KEY, b"2")])])
    store.close()
    before = (folder / "replica.lmdb").read_bytes()
    node.module = "eiderhub.programs.storage"
    node.start()
    assert node.process is not None
    assert node.process.wait(30) == 1
    assert node.count_logged("records of form 2; this program reads up to 1: start a newer program") == 1
    assert (folder / "replica.lmdb").read_bytes() == before
