"""Documents: every fault is reported, and unknown keys and nulls in the platform's JSON are tolerated."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderhub.documents import DocumentError, convert
from eiderhub.registry.settings import FollowSettings, RegisterSettings
from eiderhub.sidecar.config import Document, load, read_document
from tests.sidecar_support import SETUP

EXAMPLE = Path(__file__).parent.parent / "deploy" / "sidecar.toml"
INVALID_VALUES = {  # key in a document of the platform's format: a value that is invalid for it
    "seed": "xyz",
    "listen": "nowhere",
    "limits.sockets": 0,
    "limits.memory_mb": "much",
    "settings.Balancers": 0,
    "settings.Categories[0].AimUs": -1,
    "settings.Categories[1].Effect": "magic",
    "settings.Allowed.MaxAttempts": 1.5,
    "settings.Rules.ColdFrom": 0,
    "settings.Parties[0].QuotaPerS": -2,
}


def document() -> dict[str, Any]:
    result: dict[str, Any] = json.loads(
        json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETUP})
    )
    return result


def set_value(target: dict[str, Any], path: str, value: Any) -> None:
    *parents, last = path.replace("[", ".").replace("]", "").split(".")
    container: Any = target
    for step in parents:
        container = container[int(step)] if isinstance(container, list) else container.setdefault(step, {})
    container[last] = value


@given(st.sets(st.sampled_from(sorted(INVALID_VALUES))))
def test_exactly_the_faults_of_a_document_are_reported(paths: set[str]) -> None:
    invalid = document()
    for key_path in paths:
        set_value(invalid, key_path, INVALID_VALUES[key_path])
    try:
        convert(invalid, Document)
        found = set()
    except DocumentError as error:
        found = {fault.path for fault in error.faults}
    assert found == paths


arbitrary_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=6,
)


@given(st.dictionaries(st.text(min_size=1, max_size=8).map("Unknown".__add__), arbitrary_json, max_size=3))
def test_unknown_keys_and_nulls_in_platform_format_are_ignored(extra: dict[str, Any]) -> None:
    extended = document()
    expected = convert(extended, Document).settings.settings()
    extended.update(extra)
    extended["settings"].update(extra)
    extended["settings"]["Categories"][0].update(extra)
    extended["management"] = extended["settings"]["Rules"] = extended["settings"]["Rank"] = None
    assert convert(extended, Document).settings.settings() == expected


@given(arbitrary_json)
def test_arbitrary_document_is_rejected_with_document_error(arbitrary: Any) -> None:
    for human_format in (False, True):
        with pytest.raises(DocumentError) as caught:
            convert(arbitrary, Document, "FILE", human_format)
        assert all(line.startswith("FILE: ") for line in caught.value.fault_lines())


def test_example_file_is_valid_and_lists_existing_options_with_their_defaults(tmp_path: Path) -> None:
    config = load({"GW_CONFIG": str(EXAMPLE)})
    assert config.settings.classes and config.known.entries and config.tier
    text = EXAMPLE.read_text(encoding="utf-8")
    path = tmp_path / "mine.toml"
    with_defaults, options = re.subn(r"^# (\w+ = )", r"\1", text, flags=re.M)
    path.write_text(with_defaults, encoding="utf-8")
    assert options >= 3  # optional keys are commented out in the example with their defaults
    assert read_document(str(path)) == read_document(str(EXAMPLE))
    # Optional tables are commented out, also with their defaults.
    with_tables, _ = re.subn(r"^#   ", "", text, flags=re.M)
    path.write_text(with_tables, encoding="utf-8")
    found = read_document(str(path))
    assert found.registry is not None and found.register is not None
    defaults = RegisterSettings(id=found.register.id, address=found.register.address)
    assert found.register == defaults
    assert found.registry == FollowSettings(addresses=found.registry.addresses, keep=found.registry.keep)
    # In the platform's format these tables are ignored.
    path = path.with_suffix(".json")
    path.write_bytes(msgspec.json.encode(found))
    assert b'"registry"' in path.read_bytes() and read_document(str(path)).registry is None
    path = path.with_suffix(".toml")
    path.write_text(text.replace("aim_us", "aim_su", 1), encoding="utf-8")
    with pytest.raises(DocumentError) as caught:
        read_document(str(path))
    assert (
        f"{path}: settings.categories[0].aim_su: unknown key; did you mean aim_us?"
        in caught.value.fault_lines()
    )
