"""What docs/upgrades.md tells operators to do, done with the real programs and commands."""

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

OLDER = "tests.soak.older"
ITEMS = ["a1", "a2"]


@pytest.fixture
def tier(tmp_path: Path) -> Iterator[Tier]:
    """A tier whose programs all speak wire version 1."""
    made = Tier(tmp_path, storage=3, edges=2)
    for program in made.programs:
        program.module = f"{OLDER} {program.role}"
    made.start()
    try:
        yield made
    finally:
        made.close()


def status(tier: Tier) -> dict[str, Any]:
    """As the command prints it for programs, of a control node that runs."""
    for program in tier.with_role("control"):
        done = run_ottercleat("status", f"{program.ip}:{tier.ports['control']}", "--as-json")
        if done.returncode == 0:
            return dict(json.loads(done.stdout))
    return {}


def versions(tier: Tier) -> dict[str, int]:
    return dict(status(tier).get("wire_versions", {}))


def exchange(tier: Tier, program: Program, module: str) -> None:
    """One step of an upgrade: stop as planned, start the other program on the same settings and disk."""
    assert program.stop(signal.SIGTERM) == 0
    program.module = module
    program.start()


def identities(tier: Tier) -> set[str]:
    return {node["name"] for node in status(tier).get("nodes", [])}


def streams(tier: Tier, edge: Program, request_id: str) -> bool:
    return tier.send_request(edge, "/live/x", request_id)[0] == 200


def is_done(tier: Tier, edge: Program, job: str) -> bool:
    page = tier.results(edge, job)
    return page is not None and len(page["results"]) == len(ITEMS)


def served(tier: Tier, job: str) -> None:
    """A request goes through each sidecar and a batch job through one, whatever the versions are."""
    for edge in tier.with_role("edge"):
        wait_until(partial(streams, tier, edge, f"r-{edge.name}-{job}"), f"a stream through {edge.name}")
    edge = tier.with_role("edge")[0]
    wait_until(lambda: tier.submit(edge, job, ITEMS) == 202, f"{job} taken")
    wait_until(lambda: is_done(tier, edge, job), f"{job} done")


def test_one_machine_after_the_other_is_upgraded_and_one_is_put_back(tier: Tier) -> None:
    assert tier.put_configuration(document(1), 0) == 200
    tier.wait_ready()
    count = len(tier.programs)
    old_primary = tier.primary("control")
    for number, program in enumerate(tier.programs):
        exchange(tier, program, f"eiderhub.programs.{program.role}")
        if program.role == "edge":
            wait_until(partial(tier.is_ready, program), f"{program.name} ready")
        if number in (1, 4, 7):  # control, storage and sidecars are of two versions
            served(tier, f"job-{number}")
    assert old_primary.module == "eiderhub.programs.control"
    wait_until(lambda: versions(tier) == {"2": count}, "all speak the new form")
    shown = run_ottercleat("status", f"{tier.with_role('control')[0].ip}:{tier.ports['control']}")
    assert f"wire version 2: {count} processes" in shown.stdout
    exchange(tier, tier.with_role("storage")[0], f"{OLDER} storage")
    wait_until(lambda: versions(tier) == {"1": 1, "2": count - 1}, "one speaks the old form again")
    served(tier, "job-back")
    assert len(identities(tier)) == count - len(tier.with_role("edge"))  # each kept its identity


def test_a_store_is_checked_offline_and_refused_by_a_program_that_cannot_read_it(tier: Tier) -> None:
    assert tier.put_configuration(document(1), 0) == 200
    tier.wait_ready()
    served(tier, "job-1")
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
