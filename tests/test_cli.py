"""The command line: exit statuses, and error messages without a traceback."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path

import jsonschema
import pytest

from eiderhub.cli.__main__ import COMMANDS, main
from eiderhub.emulator.management_client import parse_counters

ROOT = Path(__file__).parent.parent
EXAMPLE = str(ROOT / "deploy" / "sidecar.toml")


def run_command(monkeypatch: pytest.MonkeyPatch, *words: str) -> int:
    monkeypatch.setattr(sys, "argv", ["ottercleat", *words])
    return main()


@pytest.mark.parametrize(
    ("words", "message"),
    [
        (["demmo"], "did you mean demo?"),
        (["demo", "--sead", "1"], "--seed"),
        (["demo", "--scenario", "clam"], "did you mean calm?"),
        (["demo", "--scenario", "missing.toml"], "missing.toml: No such file"),
        (["demo", "--seconds", "-1"], "--seconds"),
        (["demo", "--json", "no/such/folder/x.json"], "no folder"),
        (["emulate"], "SCENARIO"),
        (["load", "127.0.0.1:1"], "--class NAME:EFFECT"),
        (["load", "10.0.0.1:80", "--class", "a"], "loopback"),
        (["load", "127.0.0.1", "--class", "a"], "address:port"),
        (["load", "127.0.0.1:1", "--class", "a:magic"], "idempotent"),
        (["load", "127.0.0.1:1", "--class", "a", "--steps", "5,x"], "--steps"),
        (["load", "127.0.0.1:1", "--class", "a", "--steps", "5", "--rate", "5"], "one of them"),
        (["ctl", "127.0.0.1:1", "stand"], "standby"),
        (["run", "--config", "missing.toml"], "missing.toml: No such file"),
        (["config", "check", "missing.json"], "missing.json: No such file"),
    ],
)
def test_usage_error_exits_with_2_and_no_traceback(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], words: list[str], message: str
) -> None:
    assert run_command(monkeypatch, *words) == 2
    out, err = capfd.readouterr()
    assert message in err and "Traceback" not in err and out == ""


def test_unanswered_calls_exit_with_1(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    assert run_command(monkeypatch, "ctl", "127.0.0.1:1", "status") == 1
    assert "127.0.0.1:1: " in capfd.readouterr().err
    assert run_command(monkeypatch, "load", "127.0.0.1:1", "--class", "a", "--seconds", "0.1") == 1
    assert "nothing was served" in capfd.readouterr().out


def test_config_check_show_and_schema_agree(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    assert run_command(monkeypatch, "config", "check", EXAMPLE) == 0
    capfd.readouterr()
    assert run_command(monkeypatch, "config", "show", EXAMPLE) == 0
    shown = capfd.readouterr().out
    path = tmp_path / "shown.toml"
    path.write_text(shown, encoding="utf-8")
    assert run_command(monkeypatch, "config", "show", str(path)) == 0
    assert capfd.readouterr().out == shown  # reading the output back loses nothing and adds nothing
    assert run_command(monkeypatch, "config", "schema") == 0
    schema = json.loads(capfd.readouterr().out)
    jsonschema.validate(tomllib.loads(shown), schema)
    invalid = tomllib.loads(shown)
    invalid["settings"]["categories"][0]["aim_us"] = 0
    with pytest.raises(jsonschema.ValidationError):
        jsonschema.validate(invalid, schema)


def test_command_modules_are_imported_lazily() -> None:
    program = "import sys, eiderhub.cli.__main__; print(*sys.modules)"
    completed = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    imported = set(completed.stdout.split())
    assert not {f"eiderhub.cli.{name}" for name in COMMANDS} & imported
    assert not {"numpy", "rich", "uvloop"} & imported


def test_figures_parses_a_stats_answer() -> None:
    assert parse_counters("OK\nsvc.inflight=3\nsvc.calls.a.success=12\nEND") == {
        "svc.inflight": 3,
        "svc.calls.a.success": 12,
    }
