"""The command: exit statuses, and one plain line for what a user got wrong."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path

import jsonschema
import pytest

from eiderhub.cli.__main__ import COMMANDS, main
from eiderhub.emulator.operators import figures

ROOT = Path(__file__).parent.parent
EXAMPLE = str(ROOT / "deploy" / "sidecar.toml")


def called(monkeypatch: pytest.MonkeyPatch, *words: str) -> int:
    monkeypatch.setattr(sys, "argv", ["ottercleat", *words])
    return main()


@pytest.mark.parametrize(
    ("words", "said"),
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
def test_wrong_use_is_status_2_and_a_plain_word(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], words: list[str], said: str
) -> None:
    assert called(monkeypatch, *words) == 2
    out, err = capfd.readouterr()
    assert said in err and "Traceback" not in err and out == ""


def test_what_does_not_hold_is_status_1(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    assert called(monkeypatch, "ctl", "127.0.0.1:1", "status") == 1
    assert "127.0.0.1:1: " in capfd.readouterr().err
    assert called(monkeypatch, "load", "127.0.0.1:1", "--class", "a", "--seconds", "0.1") == 1
    assert "nothing was served" in capfd.readouterr().out


def test_config_is_checked_shown_and_fits_its_schema(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    assert called(monkeypatch, "config", "check", EXAMPLE) == 0
    capfd.readouterr()
    assert called(monkeypatch, "config", "show", EXAMPLE) == 0
    shown = capfd.readouterr().out
    path = tmp_path / "shown.toml"
    path.write_text(shown, encoding="utf-8")
    assert called(monkeypatch, "config", "show", str(path)) == 0
    assert capfd.readouterr().out == shown  # nothing is lost, and nothing is added
    assert called(monkeypatch, "config", "schema") == 0
    schema = json.loads(capfd.readouterr().out)
    jsonschema.validate(tomllib.loads(shown), schema)
    wrong = tomllib.loads(shown)
    wrong["settings"]["categories"][0]["aim_us"] = 0
    with pytest.raises(jsonschema.ValidationError):
        jsonschema.validate(wrong, schema)


def test_each_command_is_imported_only_when_called() -> None:
    program = "import sys, eiderhub.cli.__main__; print(*sys.modules)"
    found = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    loaded = set(found.stdout.split())
    assert not {f"eiderhub.cli.{name}" for name in COMMANDS} & loaded
    assert not {"numpy", "rich", "uvloop"} & loaded


def test_figures_are_read_from_an_answer() -> None:
    assert figures("OK\nsvc.inflight=3\nsvc.calls.a.success=12\nEND") == {
        "svc.inflight": 3,
        "svc.calls.a.success": 12,
    }
