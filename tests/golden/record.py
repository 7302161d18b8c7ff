"""Records the data that the programs of a revision write: `python -m tests.golden.record REVISION`."""

from __future__ import annotations

import gzip
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from functools import partial
from pathlib import Path
from typing import Any

import defopt

from tests.tier_support import FAILING_PREFIX, Tier, document, route, wait_until

GOLDEN_FOLDER = Path(__file__).parent
MESSAGE_MODULES = {
    "coordination": "eiderhub/coordination/messages.py",
    "control": "eiderhub/control/messages.py",
    "batch": "eiderhub/batch/messages.py",
}
# Not in the oldest revisions.
SUPPORT_MODULES = ("eiderhub/coordination/wire.py", "eiderhub/coordination/forms.py")
RECORDS = {
    "eiderhub.batch.jobs": ["ItemRecord", "JobRecord", "ResultRecord"],
    "eiderhub.control.retirement": ["RetireOrder"],
}
PRINT_RECORDS = """
import importlib, inspect
print("from __future__ import annotations\\n\\nimport msgspec\\nfrom msgspec import Struct")
for module, names in {records!r}.items():
    for name in names:
        print("\\n\\n" + inspect.getsource(getattr(importlib.import_module(module), name)).rstrip())
"""
ITEMS = ["i1", "i2", "i3"]
CAP_TOKENS = 1_000_000


def source_of(revision: str, folder: Path) -> Path:
    """Extract the packages of a revision into a new folder and return it."""
    archive = subprocess.run(["git", "archive", revision, "eiderhub"], check=True, capture_output=True).stdout
    folder.mkdir(parents=True)
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive, check=True)
    return folder


def _run_python(source: Path, *arguments: str) -> str:
    environment = os.environ | {"PYTHONPATH": str(source)}
    result = subprocess.run(
        [sys.executable, *arguments], cwd=source, env=environment, check=True, capture_output=True
    )
    return result.stdout.decode()


def _write_definitions(source: Path, target: Path) -> None:
    """Write the source text of the definitions of messages and records."""
    for name, file in MESSAGE_MODULES.items():
        shutil.copy(source / file, target / f"{name}.txt")
    for file in SUPPORT_MODULES:
        if (source / file).exists():
            shutil.copy(source / file, target / (Path(file).stem + ".txt"))
    (target / "records.txt").write_text(_run_python(source, "-c", PRINT_RECORDS.format(records=RECORDS)))


def _configurations() -> tuple[dict[str, Any], dict[str, Any]]:
    """Two generations of a configuration with a tenant under a spending cap."""
    documents = [document(generation, route("paid", "idempotent", resumable=False)) for generation in (1, 2)]
    for each in documents:
        each["tenants"] = [{"name": "payer", "routes": ["paid"], "spending_cap_tokens": CAP_TOKENS}]
    documents[1]["routes"][0]["timeout_ms"] = 21_000
    return documents[0], documents[1]


def _result_count(tier: Tier, job: str) -> int:
    """The number of results of a job."""
    page = tier.results(tier.with_role("edge")[0], job)
    return len(page["results"]) if page is not None else 0


def _write_records(tier: Tier) -> None:
    """Make the tier write each kind of record: two generations, jobs, a spending lease, a retirement.

    One job is completed, one is in progress with an item in the dead letters, and one is ended.
    """
    first, second = _configurations()
    assert tier.put_configuration(first, 0) == 200
    tier.wait_ready()
    assert tier.put_configuration(second, 1) == 200
    edge = tier.with_role("edge")[0]
    wait_until(
        lambda: tier.send_request(edge, "/paid/x", "paid-1", tokens=50)[0] == 200,
        "a request charged to the tenant",
    )
    wait_until(lambda: tier.submit(edge, "job-done", ITEMS) == 202, "the first job accepted")
    wait_until(lambda: _result_count(tier, "job-done") == len(ITEMS), "the first job completed")
    for endpoint in tier.endpoints:
        endpoint.may_continue.clear()  # no further item is finished
    wait_until(
        lambda: tier.submit(edge, "job-open", [*ITEMS, f"{FAILING_PREFIX}-1"]) == 202,
        "the second job accepted",
    )
    wait_until(lambda: _result_count(tier, "job-open") == 1, "an item of the second job in the dead letters")
    wait_until(lambda: tier.submit(edge, "job-ended", ITEMS) == 202, "the third job accepted")
    ended = partial(tier.call, edge, "frontend", "DELETE", "/lots/job-ended", Host="tier.example")
    wait_until(lambda: ended()[0] == 200, "the third job ended")
    spare = tier.with_role("storage")[-1].name
    wait_until(
        lambda: tier.operator_call("POST", f"/retire/{spare}", b"{}")[0] == 200, "a retirement ordered"
    )


def _write_stores(source: Path, target: Path) -> None:
    """Write the stores of one control node and one storage node, after a planned stop."""
    with tempfile.TemporaryDirectory() as folder:
        tier = Tier(Path(folder), storage=4)
        for program in tier.programs:
            program.package_folder = source
        try:
            tier.start()
            _write_records(tier)
            leaders = [tier.primary("control"), tier.primary("storage")]
            for role in ("edge", "storage", "control"):
                for program in tier.with_role(role):
                    program.stop(signal.SIGTERM)
        finally:
            tier.close()
        for leader in leaders:
            store = Path(folder) / f"data-{leader.name}" / "replica.lmdb"
            (target / f"{leader.role}.lmdb.gz").write_bytes(gzip.compress(store.read_bytes(), 9, mtime=0))


def record(revision: str) -> None:
    """Record the data that the programs of a revision write.

    :param revision: a commit; the folder is named after its short hash
    """
    short = ["git", "rev-parse", "--short=7", f"{revision}^{{commit}}"]
    name = subprocess.run(short, check=True, capture_output=True, text=True).stdout.strip()
    target = GOLDEN_FOLDER / f"landing-{name}"
    target.mkdir()
    with tempfile.TemporaryDirectory() as folder:
        source = source_of(revision, Path(folder) / "source")
        _write_definitions(source, target)
        shutil.copy(GOLDEN_FOLDER / "samples.py", source / "samples.py")
        (target / "frames.json").write_text(_run_python(source, "samples.py"))
        _write_stores(source, target)


if __name__ == "__main__":
    defopt.run(record)
