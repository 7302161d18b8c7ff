"""Whatever configuration is answered 200, each sidecar and storage node applies it and the next one."""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path
from typing import Any
from urllib.parse import quote

import pytest

from eiderhub.control.configuration import Change, decide, parse
from eiderhub.control.messages import ConfigurationUpdate, EndpointRecord, EndpointsUpdate, TableVersion
from eiderhub.control.spending import SpendingLedger, capped_tenants
from eiderhub.dataplane import routes
from eiderhub.programs.edge_service import EdgeService
from tests.items_support import Storage, tier_settings

SEEDS = range(150)
ODD_VALUES: tuple[Any, ...] = (
    None,
    True,
    False,
    0,
    1,
    -1,
    5.0,
    0.5,
    1e-300,
    1e300,
    10**300,
    "",
    "x",
    "7",
    [],
    {},
    [1],
    {"a": 1},
    "é",
    "a\r\nX: 1",
)
FIELDS = {
    "routes": (
        "host",
        "path_prefix",
        "route_kind",
        "timeout_ms",
        "slo_ms",
        "priority",
        "max_attempts",
        "session_affinity",
        "resumable",
        "gap_aim_ms",
        "completion_window_ms",
        "retention_s",
        "max_queued_tokens",
        "weighted_backends",
        "note",
    ),
    "backends": ("health_path", "max_connections", "protocol", "tls", "engine", "note"),
    "engine": ("capacity", "kv_capacity_tokens", "kv_token_bytes", "link_mbps", "stride", "models"),
    "limits": ("max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms", "note"),
    "tenants": ("routes", "spending_cap_tokens", "note"),
}


def drawn_configuration(rng: random.Random, generation: int) -> dict[str, Any]:
    """A configuration that is valid but for an odd value of a field or two."""
    route = {
        "name": "r",
        "host": "h",
        "path_prefix": "/r/",
        "route_kind": rng.choice(("streaming", "batch", "idempotent")),
        "timeout_ms": 1000,
        "backend": "s",
    }
    engine: dict[str, Any] = {"capacity": 4, "kv_capacity_tokens": 1000}
    parts: dict[str, dict[str, Any]] = {
        "routes": route,
        "engine": engine,
        "backends": {"name": "s", "engine": engine},
        "limits": {"max_header_bytes": 16384},
        "tenants": {"name": "t", "routes": ["r"], "spending_cap_tokens": 1000},
    }
    for _ in range(rng.randrange(3)):
        part = rng.choice(list(parts))
        parts[part][rng.choice(FIELDS[part])] = rng.choice(ODD_VALUES)
    document: dict[str, Any] = {"generation": generation, "limits": parts["limits"]}
    return document | {name: [parts[name]] for name in ("routes", "backends", "tenants")}


def accepted(document: dict[str, Any]) -> bytes | None:
    """The configuration as it is stored if it is answered 200."""
    body = json.dumps(document).encode()
    parsed = parse(body)
    if parsed.is_err():
        return None
    decision = decide(None, None, 0, Change(0, False, body), parsed.unwrap())
    return (decision.unwrap().writes[0].value or b"") if decision.is_ok() else None


def play(folder: Path) -> int:
    """Apply one configuration after the other at a sidecar and a storage node; how many were answered 200."""
    count = 0
    service = EdgeService(tier_settings(folder, "edge"))
    storage = Storage(folder)
    service.tables.apply(
        EndpointsUpdate(TableVersion(1, 1), [EndpointRecord("i", "s", "127.0.0.1:1", "z0", True, 4)])
    )
    for seed in SEEDS:
        generation = seed + 2
        body = accepted(drawn_configuration(random.Random(seed), generation))
        if body is None:
            continue
        count += 1
        for applying in (service, storage.service):
            applying.tables.apply(ConfigurationUpdate(generation, body))
            applying._on_tables()
            assert applying._routes is not None and applying._routes.generation == generation
        storage.service._limits_for("r")
        ledger = SpendingLedger()
        ledger.set_tenants(capped_tenants(json.loads(body)))
        assert all(isinstance(ledger.lease("t", 1).tokens, int) for _ in range(2))
    storage.service.group.stop()
    return count


async def run(folder: Path) -> int:
    return play(folder)


def test_whatever_configuration_is_acknowledged_is_applied(tmp_path: Path) -> None:
    """Guards against a value that is acknowledged and then applied by no process."""
    assert len(SEEDS) / 4 < asyncio.run(run(tmp_path)) < len(SEEDS)


ROUTE = {"name": "r", "host": "h", "path_prefix": "/r/", "timeout_ms": 1000, "backend": "s"}


def route_table(*entries: dict[str, Any]) -> routes.RouteTable:
    """The table of a configuration with these routes, which is answered 200."""
    document = {"generation": 1, "routes": list(entries), "backends": [{"name": "s"}]}
    assert accepted(document) is not None
    return routes.RouteTable(1, document)


HOSTS = ("h", "Nony24.Example", "h:8080", "[::1]", "[::1]:8080", "münchen.example")
PREFIXES = ("/", "/a/", "/é/", "/a b/", "/a%20b/", "/a//b/", "/A/")


@pytest.mark.parametrize("host", HOSTS)
@pytest.mark.parametrize("prefix", PREFIXES)
def test_request_for_the_host_and_prefix_of_an_acknowledged_route_finds_it(host: str, prefix: str) -> None:
    """Guards against a route that is acknowledged and answered 404 to whatever a client may send."""
    table = route_table(ROUTE | {"host": host, "path_prefix": prefix})
    path = quote(prefix, safe="/%") + "x"  # as a client has to send it
    has_port = host.rpartition("]")[2].count(":") > 0
    for header in (host, host.upper(), host if has_port else f"{host}:80"):
        assert table.find(header, path) is table.by_name["r"]
    assert table.find("other", path) is table.find(f"x{host}", path) is None


def test_two_routes_with_one_prefix_in_two_forms_are_refused() -> None:
    """Guards against a route that is acknowledged and never found, as another one has its requests."""
    forms = [ROUTE | {"name": prefix, "path_prefix": prefix} for prefix in ("/é/", "/%C3%A9/")]
    document = {"generation": 1, "routes": forms, "backends": [{"name": "s"}]}
    assert accepted(document) is None


def test_host_with_a_port_has_routes_of_its_own() -> None:
    """Guards against a request for one port that a route of another one takes."""
    table = route_table(*(ROUTE | {"name": name, "host": name} for name in ("h", "h:81")))
    found = [table.find(header, "/r/x") for header in ("h", "h:80", "h:81")]
    assert [each and each.name for each in found] == ["h", "h", "h:81"]


def test_planted_conversion_is_found(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: a value of any type is converted as a number."""
    monkeypatch.setattr(routes, "number_or", lambda value, default: value)
    with pytest.raises((TypeError, AssertionError)):
        asyncio.run(run(tmp_path))
