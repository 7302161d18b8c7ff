"""The operator's configuration: what is invalid, how patches apply, who wins a race, what a repeat gets."""

from __future__ import annotations

import json
from typing import Any

import pytest
from result import Err, Ok

from eiderhub.control import configuration
from eiderhub.control.configuration import Accepted, Change, Document
from eiderhub.control.errors import ErrorKind


def route(name: str = "r", **fields: Any) -> Document:
    made = {"name": name, "host": "h.example", "path_prefix": f"/{name}/", "timeout_ms": 1000, "backend": "s"}
    return made | fields


def document(generation: int = 1, *routes: Document) -> Document:
    return {"generation": generation, "routes": list(routes or (route(),)), "backends": [{"name": "s"}]}


def decide(
    current: Document | None, base: int, body: Document, taken: bytes | None = None, patch: bool = False
) -> Accepted | ErrorKind:
    change = Change(base, patch, json.dumps(body).encode())
    decided = configuration.decide(current, taken, 0, change, body)
    return decided.ok_value if isinstance(decided, Ok) else decided.err_value.kind


INVALID: list[tuple[str, Document]] = [
    ("unknown service", document(2, route(backend="other"))),
    ("no service", document(2, {k: v for k, v in route().items() if k != "backend"})),
    ("same host and prefix", document(2, route("a"), route("b", path_prefix="/a/"))),
    ("weights sum to 0", document(2, route(weighted_backends=[{"backend": "s", "weight": 0}]))),
    ("time-out of 0", document(2, route(timeout_ms=0))),
    ("same name", document(2, route(), route(path_prefix="/other/"))),
    ("no routes", {"generation": 2, "backends": []}),
    ("same generation", document(1)),
    ("older generation", document(0)),
    ("generation is no number", document(2) | {"generation": "2"}),
]


@pytest.mark.parametrize(("why", "body"), INVALID, ids=[why for why, _ in INVALID])
def test_invalid_configuration_is_refused(why: str, body: Document) -> None:
    assert decide(document(1), 1, body) is ErrorKind.INVALID


@pytest.mark.parametrize(
    "body", [b'{"generation":1,"rou', b"", b"[]", b'{"generation":1,"generation":2}', b"\xff"]
)
def test_body_that_cannot_be_read_whole_is_refused(body: bytes) -> None:
    assert isinstance(configuration.read(body), Err)


def test_first_configuration_builds_on_0() -> None:
    assert isinstance(decide(None, 0, document(4)), Accepted)
    assert decide(None, 3, document(4)) is ErrorKind.STALE_VERSION


def test_one_of_two_changes_on_the_same_version_wins() -> None:
    first = decide(document(1), 1, document(2))
    assert isinstance(first, Accepted)
    assert decide(document(2), 1, document(3)) is ErrorKind.STALE_VERSION
    assert decide(document(2), 1, document(2, route("other"))) is ErrorKind.STALE_VERSION


def test_change_that_was_taken_is_acknowledged_again_whoever_answers() -> None:
    body = document(2)
    taken = Change(1, False, json.dumps(body).encode()).digest
    assert decide(document(2), 1, body, taken) == Accepted(2, [])
    assert decide(document(9), 1, body, taken) == Accepted(2, [])


def test_same_body_on_another_version_is_another_change() -> None:
    body = document(2)
    taken = Change(0, False, json.dumps(body).encode()).digest
    assert decide(document(2), 1, body, taken) is ErrorKind.STALE_VERSION


def test_patch_puts_in_replaces_and_removes_and_keeps_unknown_keys() -> None:
    current = document(1, route("a"), route("b"), route("c", note="kept")) | {"extra": 1}
    patch = {
        "generation": 2,
        "upsert": {"routes": [route("b", timeout_ms=5), route("d")]},
        "remove": {"routes": ["a", "nowhere"]},
    }
    made = configuration.patched(current, patch).unwrap()
    assert [(r["name"], r["timeout_ms"]) for r in made["routes"]] == [("b", 5), ("c", 1000), ("d", 1000)]
    assert made["routes"][1]["note"] == "kept"
    assert made["extra"] == 1
    assert isinstance(decide(current, 1, patch, patch=True), Accepted)


@pytest.mark.parametrize(
    "patch",
    [
        {"generation": 2, "remove": {"backends": ["s"]}},
        {"generation": 2, "upsert": {"routes": [{"timeout_ms": 1}]}},
        {"generation": 2, "upsert": {"routes": [route("x", path_prefix="/r/")]}},
        {"generation": 2, "upsert": []},
        {"generation": 1},
    ],
)
def test_patch_that_leaves_an_invalid_configuration_is_refused(patch: Document) -> None:
    assert decide(document(1), 1, patch, patch=True) is ErrorKind.INVALID


def test_patch_needs_a_configuration() -> None:
    assert decide(None, 0, {"generation": 2}, patch=True) is ErrorKind.INVALID


def test_unknown_service_beside_weights_is_refused() -> None:
    """A route names it, though nothing is sent there."""
    weights = [{"backend": "s", "weight": 1}]
    body = document(2, route(backend="other", weighted_backends=weights))
    assert decide(document(1), 1, body) is ErrorKind.INVALID
