"""Documents: every fault is named, and the platform's JSON is read as it always was."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderhub.reading import DocumentError, convert
from eiderhub.registry.settings import Follow, Register
from eiderhub.sidecar.config import Document, load, read_document
from tests.sidecar_support import SETUP

EXAMPLE = Path(__file__).parent.parent / "deploy" / "sidecar.toml"
PLACES = {  # a key of the platform's document, and a value that it can't have
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
    found: dict[str, Any] = json.loads(
        json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETUP})
    )
    return found


def put(where: dict[str, Any], path: str, value: Any) -> None:
    *steps, last = path.replace("[", ".").replace("]", "").split(".")
    place: Any = where
    for step in steps:
        place = place[int(step)] if isinstance(place, list) else place.setdefault(step, {})
    place[last] = value


@given(st.sets(st.sampled_from(sorted(PLACES))))
def test_all_faults_of_a_document_are_found_and_no_others(places: set[str]) -> None:
    wrong = document()
    for place in places:
        put(wrong, place, PLACES[place])
    try:
        convert(wrong, Document)
        found = set()
    except DocumentError as error:
        found = {fault.path for fault in error.faults}
    assert found == places


junk = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=6,
)


@given(st.dictionaries(st.text(min_size=1, max_size=8).map("Unknown".__add__), junk, max_size=3))
def test_platforms_unknown_keys_and_nulls_change_nothing(extra: dict[str, Any]) -> None:
    told = document()
    plain = convert(told, Document).settings.settings()
    told.update(extra)
    told["settings"].update(extra)
    told["settings"]["Categories"][0].update(extra)
    told["management"] = told["settings"]["Rules"] = told["settings"]["Rank"] = None
    assert convert(told, Document).settings.settings() == plain


@given(junk)
def test_no_document_does_more_than_be_refused(told: Any) -> None:
    for people in (False, True):
        with pytest.raises(DocumentError) as caught:
            convert(told, Document, "FILE", people)
        assert all(line.startswith("FILE: ") for line in caught.value.lines())


def test_example_for_people_is_read_and_names_only_what_exists(tmp_path: Path) -> None:
    config = load({"GW_CONFIG": str(EXAMPLE)})
    assert config.settings.classes and config.known.entries and config.tier
    text = EXAMPLE.read_text(encoding="utf-8")
    path = tmp_path / "mine.toml"
    with_defaults, options = re.subn(r"^# (\w+ = )", r"\1", text, flags=re.M)
    path.write_text(with_defaults, encoding="utf-8")
    assert options >= 3  # keys that the example only mentions: they stand there with their defaults
    assert read_document(str(path)) == read_document(str(EXAMPLE))
    # Tables that are off by default stand there with their defaults, too.
    with_tables, _ = re.subn(r"^#   ", "", text, flags=re.M)
    path.write_text(with_tables, encoding="utf-8")
    found = read_document(str(path))
    assert found.registry is not None and found.register is not None
    least = Register(id=found.register.id, address=found.register.address)
    assert found.register == least
    assert found.registry == Follow(addresses=found.registry.addresses, keep=found.registry.keep)
    # In the platform's form they mean nothing.
    path = path.with_suffix(".json")
    path.write_bytes(msgspec.json.encode(found))
    assert b'"registry"' in path.read_bytes() and read_document(str(path)).registry is None
    path = path.with_suffix(".toml")
    path.write_text(text.replace("aim_us", "aim_su", 1), encoding="utf-8")
    with pytest.raises(DocumentError) as caught:
        read_document(str(path))
    assert f"{path}: settings.categories[0].aim_su: unknown key; did you mean aim_us?" in caught.value.lines()
