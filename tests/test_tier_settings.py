"""The settings file of the tier's programs: parsing, and messages about invalid files."""

from __future__ import annotations

from pathlib import Path

import pytest

from eiderhub.documents import DocumentError
from eiderhub.programs.settings import ENVIRONMENT_VARIABLE, load

VALID_SETTINGS = {
    "node_name": "edge-z-1", "ip": "10.0.0.1", "zone": "z", "region": "r", "zones.z": "r", "zones.y": "r",
    "listen.frontend": "10.0.0.1:80", "port_range": "7720,7735", "seeds": "10.0.0.2:81, 10.0.0.3:81",
    "bootstrap": "true", "limits.disk_mb": "64", "bounds.drain_ms": "3000", "unknown.key": "skipped",
}  # fmt: skip


def write_settings(folder: Path, **changes: str | None) -> str:
    lines = {
        k: v
        for k, v in (VALID_SETTINGS | {k.replace("__", "."): v for k, v in changes.items()}).items()
        if v is not None
    }
    file = folder / "boot.conf"
    file.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
    return str(file)


def test_values_are_converted_and_unknown_keys_ignored(tmp_path: Path) -> None:
    settings = load(write_settings(tmp_path))
    assert (settings.first_port, settings.last_port) == (7720, 7735)
    assert settings.seeds == ["10.0.0.2:81", "10.0.0.3:81"]
    assert settings.zones == {"z": "r", "y": "r"}
    assert settings.bootstrap is True
    assert (settings.control, settings.platform_address) == ("", "")


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"node_name": None}, "node_name: missing"),
        ({"bootstrap": "perhaps"}, "bootstrap: must be bool; it is 'perhaps'"),
        ({"limits__disk_mb": "much"}, "limits.disk_mb: must be float; it is 'much'"),
        ({"port_range": "7720"}, "port_range: must be two ports, such as 7720,7735"),
    ],
)
def test_invalid_value_is_reported_in_one_line_with_file_key_and_expected_type(
    tmp_path: Path, changes: dict[str, str | None], message: str
) -> None:
    file = write_settings(tmp_path, **changes)
    with pytest.raises(DocumentError) as error:
        load(file)
    assert str(error.value) == f"{file}: {message}"


def test_environment_variable_names_the_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv(ENVIRONMENT_VARIABLE, write_settings(tmp_path))
    assert load().node_name == "edge-z-1"
    monkeypatch.delenv(ENVIRONMENT_VARIABLE)
    with pytest.raises(DocumentError, match="names no settings file"):
        load()


def test_malformed_line_is_reported_in_one_line(tmp_path: Path) -> None:
    path = Path(write_settings(tmp_path))
    path.write_text(path.read_text() + "no setting\n")
    with pytest.raises(DocumentError) as raised:
        load(str(path))
    message = str(raised.value)
    assert message.startswith(str(path)) and "'no setting" in message
    assert "\n" not in message
