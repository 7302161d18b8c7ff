"""`ottercleat tier`: output and exit statuses."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from eiderhub.coordination.messages import Position, Update, Write
from eiderhub.storage.store import LmdbStore
from tests.tier_support import Tier, document, wait_until

# Answers of control nodes while none is certain to be the primary (docs/control-guarantees.md, "answers
# meanwhile"): a redirect to a former primary, a rejection, and a change that may be active.
# Commands follow one redirect. After each of these answers, the command may be retried.
RETRYABLE_ANSWERS = ("answered 307", "answered 503", "answered 504")


def run_ottercleat(*words: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "eiderhub.cli", "tier", *words]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


def run_until_final(*words: str) -> subprocess.CompletedProcess[str]:
    """Run a command again until it gives a final answer, and return this.

    Guards against a control primary that gets no processor time for a while: its lease ends, and until
    another leads, commands end with status 1 and print nothing.
    """

    def final() -> subprocess.CompletedProcess[str] | None:
        completed = run_ottercleat(*words)
        retryable = completed.returncode == 1 and any(text in completed.stderr for text in RETRYABLE_ANSWERS)
        return None if retryable else completed

    found = wait_until(final, f"a final answer to {words[0]}")
    assert isinstance(found, subprocess.CompletedProcess)
    return found


@pytest.mark.parametrize(
    ("change", "status", "message"),
    [
        ({}, 0, "valid, 2 routes"),
        (
            {"routes": [{"name": "r", "host": "h", "path_prefix": "/r/", "timeout_ms": 0}]},
            1,
            "$.routes[0].timeout_ms",
        ),
        ({"backends": []}, 1, "unknown service"),
    ],
)
def test_config_check(tmp_path: Path, change: dict[str, object], status: int, message: str) -> None:
    file = tmp_path / "c.json"
    file.write_text(json.dumps(document(1) | change))
    completed = run_ottercleat("config-check", str(file))
    assert completed.returncode == status
    assert message in completed.stdout + completed.stderr


def test_store_is_inspected_offline(tmp_path: Path) -> None:
    store = LmdbStore(tmp_path, 16.0, "id@h:1")
    store.apply([Update(Position(2, 5), [Write("config/current", b"{}")])])
    store.close()
    checked = run_ottercleat("store-check", str(tmp_path))
    assert (checked.returncode, checked.stdout.splitlines()[0]) == (
        0,
        "id@h:1: epoch 2, version 5, granted 0",
    )
    assert run_ottercleat("store-show", str(tmp_path)).stdout.split() == ["2", "config/current"]


@pytest.mark.parametrize(
    "words",
    [["store-check", "/nowhere"], ["run", "cook", "/nowhere"], ["run", "edge", "/nowhere"], ["no-such"], []],
)
def test_usage_error_has_status_2_and_no_traceback(words: list[str]) -> None:
    completed = run_ottercleat(*words)
    assert completed.returncode == 2
    assert "Traceback" not in completed.stderr


def test_unreachable_node_is_an_error(tmp_path: Path) -> None:
    completed = run_ottercleat("status", "127.0.0.1:1")
    assert completed.returncode == 1
    assert "no answer" in completed.stderr


def test_operating_a_tier(tmp_path: Path) -> None:
    tier = Tier(tmp_path, storage=4)
    try:
        tier.start()
        file = tmp_path / "c.json"
        file.write_text(json.dumps(document(3)))
        address = f"{tier.with_role('control')[0].ip}:{tier.ports['control']}"
        wait_until(
            lambda: run_ottercleat("config-put", address, str(file), "--base", "0").returncode == 0,
            "a primary",
        )
        assert json.loads(run_until_final("config-get", address).stdout) == document(3)
        repeated = run_until_final("config-put", address, str(file), "--base", "0")
        assert repeated.returncode == 0  # it is already active
        file.write_text(json.dumps(document(4)))
        assert "412" in run_until_final("config-put", address, str(file), "--base", "1").stderr
        node = tier.with_role("storage")[0].name
        wait_until(lambda: run_ottercleat("retire", address, node).returncode == 0, "the retirement accepted")
        wait_until(
            lambda: "succeeded" in run_ottercleat("retire", address, node, "--ask").stdout,
            "the retirement done",
        )
        other = run_until_final("retire", address, tier.with_role("storage")[1].name)
        assert other.returncode == 1
        assert "409" in other.stderr
        status = run_until_final("status", address)
        assert status.returncode == 0
        assert node in status.stdout
    finally:
        tier.close()
