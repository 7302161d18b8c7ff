"""Requests that arrive before the first configuration are held within limits, then processed or refused."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import pytest

from eiderhub.control.errors import ErrorKind
from eiderhub.control.messages import (
    ConfigurationUpdate,
    EndpointRecord,
    EndpointsUpdate,
    LeaseAnswer,
    TableVersion,
)
from eiderhub.dataplane import early_requests
from eiderhub.dataplane.early_requests import (
    HOLD_TIMEOUT_SHARE,
    MAX_BYTES,
    MAX_HOLD_S,
    MAX_REQUESTS,
    EarlyRequests,
)
from eiderhub.dataplane.frontend import ClientExchange
from eiderhub.programs import edge_service
from eiderhub.programs.edge_service import EdgeService
from tests.items_support import tier_settings, wait_until
from tests.test_edge_service import configuration_update
from tests.tier_support import HOST, document

ENDPOINTS = EndpointsUpdate(TableVersion(1, 1), [EndpointRecord("i-1", "svc", "127.0.0.1:1", "z0", True, 8)])


class FakeExchange:
    """Stands in for a client exchange, without a connection."""

    def __init__(self, path: str = "/live/x", timeout_ms: int = 2_000) -> None:
        self.method, self.url, self.body = b"POST", path.encode(), b"prompt"
        self.headers = {b"host": HOST.encode(), b"timeout-ms": b"%d" % timeout_ms, b"request-id": b"r"}
        self.headers[b"token-usage"] = b"40,60"
        self.client_address = "c"
        self.held_s = 0.0
        self.finished = False
        self.on_disconnect: Callable[[Any], None] | None = None
        self.refused: list[tuple[ErrorKind, int]] = []
        self.answered: list[int] = []

    def refuse(self, kind: ErrorKind, retry_after_us: int) -> None:
        self.refused.append((kind, retry_after_us))

    def respond(self, status: int, body: bytes = b"", *headers: tuple[bytes, bytes]) -> None:
        self.answered.append(status)

    def abort(self) -> None:
        raise AssertionError("the sidecar aborted the exchange")

    def disconnect(self) -> None:
        self.finished = True
        if self.on_disconnect is not None:
            self.on_disconnect(self)


def serve_all(service: EdgeService, *requests: FakeExchange) -> None:
    for request in requests:
        service.serve(cast(ClientExchange, request))


def apply_first_tables(service: EdgeService) -> None:
    """Apply the first configuration and endpoint list."""
    service.tables.apply(configuration_update(1))
    service.tables.apply(ENDPOINTS)
    service._on_tables()


# --- limits of the buffer ---


def test_request_is_held_for_a_share_of_its_timeout_up_to_the_limit() -> None:
    held: EarlyRequests[str] = EarlyRequests()
    assert held.hold(10.0, "short", 5, 0.6) and held.hold(10.0, "long", 5, 60.0)
    assert held.take_expired(10.0 + 0.6 * HOLD_TIMEOUT_SHARE - 0.01) == []
    assert held.take_expired(10.0 + 0.6 * HOLD_TIMEOUT_SHARE) == ["short"]
    assert held.take_expired(10.0 + MAX_HOLD_S - 0.01) == []
    assert held.take_expired(10.0 + MAX_HOLD_S) == ["long"]
    assert (len(held), held.held_total, held.expired_total) == (0, 2, 2)


def test_count_and_bytes_are_limited() -> None:
    held: EarlyRequests[object] = EarlyRequests()
    assert held.hold(0.0, large := object(), MAX_BYTES, 1.0)
    assert not held.hold(0.0, object(), 1, 1.0)
    assert held.remove(large) and not held.remove(large)
    kept = [object() for _ in range(MAX_REQUESTS)]
    assert all(held.hold(0.0, each, 1, 1.0) for each in kept)
    assert not held.hold(0.0, object(), 1, 1.0)
    assert [each.request for each in held.take_all()] == kept
    assert held.hold(0.0, object(), MAX_BYTES, 1.0)


# --- the sidecar ---


def test_held_requests_are_processed_once_the_first_configuration_arrives(tmp_path: Path) -> None:
    async def test() -> None:
        service = EdgeService(tier_settings(tmp_path, "edge"))
        live, nowhere, gone = FakeExchange(), FakeExchange("/no/route"), FakeExchange()
        serve_all(service, live, nowhere, gone)
        gone.disconnect()
        service.tables.apply(configuration_update(1))
        service._on_tables()
        assert len(service._early_requests) == 2  # the endpoint list has not arrived
        apply_first_tables(service)
        assert len(service._early_requests) == 0
        assert nowhere.answered == [404] and not live.refused and live.held_s > 0.0
        # The request whose client disconnected was not submitted.
        assert sum(len(a._calls) for a in service._admissions.values()) == 1
        assert not gone.refused and not gone.answered
        serve_all(service, later := FakeExchange())
        assert later.held_s == 0.0 and sum(len(a._calls) for a in service._admissions.values()) == 2
        live.disconnect()
        assert sum(len(a._calls) for a in service._admissions.values()) == 1

    asyncio.run(test())


def test_request_past_its_limit_is_refused_as_not_executed_with_retry_after(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The second request must still be held after a pause of the process for over a second.
    monkeypatch.setattr(early_requests, "MAX_HOLD_S", 60.0)

    async def test() -> None:
        service = EdgeService(tier_settings(tmp_path, "edge"))
        serve_all(service, first := FakeExchange(timeout_ms=3), second := FakeExchange(timeout_ms=60_000))
        await wait_until(lambda: first.refused, "the first is refused")
        assert first.refused == [(ErrorKind.NOT_READY, edge_service.STARTING_RETRY_AFTER_US)]
        assert second.refused == [] and len(service._early_requests) == 1
        monkeypatch.setattr(early_requests, "MAX_REQUESTS", 1)
        serve_all(service, third := FakeExchange())
        assert third.refused == [(ErrorKind.NOT_READY, edge_service.STARTING_RETRY_AFTER_US)]

    asyncio.run(test())


def test_time_held_counts_against_the_clients_timeout(tmp_path: Path) -> None:
    async def test() -> None:
        service = EdgeService(tier_settings(tmp_path, "edge"))
        apply_first_tables(service)
        route = service._routes.by_name["live"] if service._routes is not None else None
        assert route is not None
        request = FakeExchange(timeout_ms=2_000)
        request.held_s = 0.5
        assert edge_service.time_left_s(cast(ClientExchange, request), route) == 1.5

    asyncio.run(test())


def test_request_of_a_client_that_left_while_it_was_charged_is_not_sent_and_is_refunded(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        service = EdgeService(tier_settings(tmp_path, "edge"))
        configuration = document(1)
        configuration["tenants"] = [{"name": "t", "routes": ["live"], "spending_cap_tokens": 10_000}]
        service.tables.apply(ConfigurationUpdate(1, json.dumps(configuration).encode()))
        service.tables.apply(ENDPOINTS)
        service._on_tables()
        service._spending._send = lambda request: True
        serve_all(service, request := FakeExchange())
        await wait_until(lambda: service._spending._pending_leases, "tokens are asked for")
        request.disconnect()
        service._spending.on_lease_answer(LeaseAnswer("", "t", 500, False))
        await wait_until(lambda: not service._tasks, "the request is decided on")
        assert sum(len(a._calls) for a in service._admissions.values()) == 0
        assert request.refused == [] and service._spending._balances.unspent() == {"t": 500}

    asyncio.run(test())


def test_draining_sidecar_refuses_held_requests(tmp_path: Path) -> None:
    async def test() -> None:
        service = EdgeService(tier_settings(tmp_path, "edge"))
        serve_all(service, held := FakeExchange())
        service.drain(8.0)
        serve_all(service, later := FakeExchange())
        stopping = [(ErrorKind.NOT_READY, edge_service.STOPPING_RETRY_AFTER_US)]
        assert held.refused == stopping and later.refused == stopping and len(service._early_requests) == 0

    asyncio.run(test())
