"""The operator's configuration: parsing, validation, patches, races between changes, and repeated changes."""

from __future__ import annotations

import json
import random
from typing import Any

import msgspec
import pytest
from result import Err, Ok

from eiderhub.control import configuration
from eiderhub.control.configuration import Accepted, Change, Document
from eiderhub.control.errors import ErrorKind
from eiderhub.dataplane.admission import batch_tenant, request_class
from eiderhub.dataplane.routes import RouteTable


def route(name: str = "r", **fields: Any) -> Document:
    defaults = {
        "name": name, "host": "h.example", "path_prefix": f"/{name}/", "timeout_ms": 1000, "backend": "s"
    }  # fmt: skip
    return defaults | fields


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
    ("generation is not a number", document(2) | {"generation": "2"}),
]


@pytest.mark.parametrize(("why", "body"), INVALID, ids=[why for why, _ in INVALID])
def test_invalid_configuration_is_refused(why: str, body: Document) -> None:
    assert decide(document(1), 1, body) is ErrorKind.INVALID


@pytest.mark.parametrize(
    "body", [b'{"generation":1,"rou', b"", b"[]", b'{"generation":1,"generation":2}', b"\xff"]
)
def test_malformed_body_is_refused(body: bytes) -> None:
    assert isinstance(configuration.parse(body), Err)


def test_first_configuration_has_base_0() -> None:
    assert isinstance(decide(None, 0, document(4)), Accepted)
    assert decide(None, 3, document(4)) is ErrorKind.STALE_VERSION


def test_only_one_of_two_changes_to_the_same_generation_is_accepted() -> None:
    first = decide(document(1), 1, document(2))
    assert isinstance(first, Accepted)
    assert decide(document(2), 1, document(3)) is ErrorKind.STALE_VERSION
    assert decide(document(2), 1, document(2, route("other"))) is ErrorKind.STALE_VERSION


def test_accepted_change_is_acknowledged_again_whatever_the_current_generation() -> None:
    body = document(2)
    taken = Change(1, False, json.dumps(body).encode()).digest
    assert decide(document(2), 1, body, taken) == Accepted(2, [])
    assert decide(document(9), 1, body, taken) == Accepted(2, [])


def test_same_body_with_another_base_is_a_different_change() -> None:
    body = document(2)
    taken = Change(0, False, json.dumps(body).encode()).digest
    assert decide(document(2), 1, body, taken) is ErrorKind.STALE_VERSION


def test_patch_adds_replaces_and_removes_items_and_keeps_unknown_keys() -> None:
    current = document(1, route("a"), route("b"), route("c", note="kept")) | {"extra": 1}
    patch = {
        "generation": 2,
        "upsert": {"routes": [route("b", timeout_ms=5), route("d")]},
        "remove": {"routes": ["a", "nowhere"]},
    }
    body = configuration.apply_patch(current, patch).unwrap()
    assert [(r["name"], r["timeout_ms"]) for r in body["routes"]] == [("b", 5), ("c", 1000), ("d", 1000)]
    assert body["routes"][1]["note"] == "kept"
    assert body["extra"] == 1
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
def test_patch_that_results_in_an_invalid_configuration_is_refused(patch: Document) -> None:
    assert decide(document(1), 1, patch, patch=True) is ErrorKind.INVALID


def test_patch_without_a_current_configuration_is_refused() -> None:
    assert decide(None, 0, {"generation": 2}, patch=True) is ErrorKind.INVALID


def body_with(raw: str) -> bytes:
    """A configuration document with this literal text as a weight."""
    template = document(2, route(weighted_backends=[{"backend": "s", "weight": "HERE"}]))
    return json.dumps(template).replace('"HERE"', raw).encode()


UNREADABLE = {
    "NaN": body_with("NaN"),
    "Infinity": body_with("Infinity"),
    "-Infinity": body_with("-Infinity"),
    "a number out of range for a double": body_with("1e999"),
    "an integer out of range for a double": body_with("1" + "0" * 400),
    "a lone surrogate": json.dumps(document(2, route(host="\ud800"))).encode(),
    "a lone surrogate in a key": json.dumps(document(2) | {"\udc00": 1}).encode(),
    "UTF-16": json.dumps(document(2)).encode("utf-16"),
    "UTF-32": json.dumps(document(2)).encode("utf-32"),
    "bytes after the document": json.dumps(document(2)).encode() + b"}",
    "deep nesting": b"[" * 100_000,
}


@pytest.mark.parametrize("why", UNREADABLE)
def test_body_that_violates_rfc_8259_is_refused(why: str) -> None:
    assert isinstance(configuration.parse(UNREADABLE[why]), Err)


def test_byte_order_mark_is_ignored() -> None:
    assert configuration.parse(b"\xef\xbb\xbf" + json.dumps(document(2)).encode()) == Ok(document(2))


KNOWN, UNKNOWN = {"backend": "s", "weight": 1}, {"backend": "other", "weight": 0}
FORBIDDEN: list[tuple[str, Document]] = [
    ("an unknown backend beside weights", document(2, route(backend="other", weighted_backends=[KNOWN]))),
    ("an unknown backend of weight 0", document(2, route(weighted_backends=[KNOWN, UNKNOWN]))),
    ("a generation that is not an integer", document(2) | {"generation": 2.5}),
    ("a generation that is true", document(2) | {"generation": True}),
    ("a generation beyond 64 bits", document(2) | {"generation": 1 << 70}),
]


@pytest.mark.parametrize(("why", "body"), FORBIDDEN, ids=[why for why, _ in FORBIDDEN])
def test_forbidden_references_and_generations_are_refused(why: str, body: Document) -> None:
    assert decide(document(1), 1, body) is ErrorKind.INVALID


EXTREMES: dict[str, Document] = {
    "times": route(timeout_ms=1e308, slo_ms=1e-300, retention_s=1e308, completion_window_ms=1e308),
    "weights": route(weighted_backends=[{"backend": "s", "weight": 1e308}] * 2),
    "integers": route(priority=10**300, max_attempts=10**300, max_queued_tokens=10**300),
    "smallest weight": route(weighted_backends=[{"backend": "s", "weight": 5e-324}]),
    "a batch route": route(route_kind="batch", max_queued_tokens=1e308, completion_window_ms=1e-300),
}


@pytest.mark.parametrize("what", EXTREMES)
def test_extreme_values_that_are_accepted_can_be_served(what: str) -> None:
    """An accepted configuration that no process can load would come into force nowhere."""
    body = document(2, EXTREMES[what])
    body["backends"] = [{"name": "s", "max_connections": 10**300, "engine": {"capacity": 10**300}}]
    body["tenants"] = [{"name": "t", "routes": ["r"], "spending_cap_tokens": 10**300}]
    assert isinstance(decide(document(1), 1, body), Accepted)
    table = RouteTable(2, body)
    found = table.by_name["r"]
    assert found.choose_service(random.Random(1)) == "s"
    request_class(found)
    batch_tenant(found)
    msgspec.msgpack.encode([tenant.cap_tokens for tenant in table.tenants.values()])
    assert msgspec.msgpack.encode(table.services["s"].capacity)


@pytest.mark.parametrize("routes", [20, 400])
def test_only_changed_items_are_validated(routes: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Validating all routes of a large configuration for each change would let the primary's lease expire."""
    current = document(1, *(route(f"r{number}") for number in range(routes)))
    checked: list[int] = []
    original_schema_errors = configuration.schema_errors

    def counting_schema_errors(body: Document) -> Any:
        checked.append(sum(len(body.get(kind, [])) for kind in configuration.NAMED_LISTS))
        return original_schema_errors(body)

    monkeypatch.setattr(configuration, "schema_errors", counting_schema_errors)
    patch = {"generation": 2, "upsert": {"routes": [route("r7", timeout_ms=5), route("new")]}}
    assert isinstance(decide(current, 1, patch, patch=True), Accepted)
    assert checked == [2]
    whole = document(2, *(route(f"r{number}", timeout_ms=1000 + (number == 3)) for number in range(routes)))
    assert isinstance(decide(current, 1, whole), Accepted)
    assert checked == [2, 1]


def test_schema_error_path_refers_to_the_full_document() -> None:
    routes = [route(f"r{number}") for number in range(9)]
    change = Change(1, False, b"")
    body = document(2, *routes[:7], route("r7", timeout_ms=-1), *routes[8:])
    refused = configuration.decide(document(1, *routes), None, 0, change, body)
    assert isinstance(refused, Err)
    assert refused.err_value.reason.startswith("$.routes[7].timeout_ms")
