"""Admission across route changes, and with timers that fire early: each call still ends.

A call that an earlier balancer holds would never end if that balancer got no more endpoint updates or timers.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from eiderhub.control.errors import ErrorKind
from eiderhub.dataplane.admission import Admission, Call
from eiderhub.dataplane.routes import Route, RouteTable
from eiderhub.request_head import request_head
from tests.endpoint_support import (
    SERVICE,
    TIMEOUT_S,
    AdmissionHarness,
    EndpointRequest,
    RecordingSink,
    ScriptedEndpoint,
    make_route,
)

ROUTE_CHANGES = 6
ITEM_TIME_US = 60_000_000
TIMER_ADVANCE_S = 0.005


def batch_route(timeout_ms: int) -> Route:
    """A batch route; each time-out gives another request class, and so another balancer."""
    document = {
        "routes": [
            {"name": "lots", "host": "h", "path_prefix": "/l/", "route_kind": "batch", "backend": SERVICE,
             "timeout_ms": timeout_ms, "slo_ms": 100},
        ],
        "backends": [{"name": SERVICE, "engine": {"capacity": 4}}],
    }  # fmt: skip
    return RouteTable(1, document).by_name["lots"]


def make_item_call(admission: Admission, route: Route, name: str, sink: RecordingSink) -> Call:
    headers = [(b"Host", b"h"), (b"Request-Id", name.encode())]
    head = (request_head(b"POST", b"/l/x", headers, b""), b"")
    due_us = admission.now_us() + ITEM_TIME_US
    return Call(f"item {name}", route, name.encode(), head, due_us, "batch lots", (10, 10), sink)


def make_admission() -> Admission:
    return Admission(SERVICE, 4, "z", random.Random(1), {})


@pytest.mark.parametrize("changes", [0, 1, ROUTE_CHANGES])
def test_held_call_ends_in_time_after_route_changes(changes: int) -> None:
    async def test() -> None:
        admission, sink = make_admission(), RecordingSink()
        route = batch_route(1_000)
        admission.update_routes([route], 4)
        admission.submit(make_item_call(admission, route, "a", sink))
        assert sink.end_count == 0
        for number in range(changes):
            admission.update_routes([batch_route(2_000 + number)], 4)
        async with asyncio.timeout(TIMEOUT_S):
            await sink.ended.wait()
        assert sink.end_count == 1
        assert not admission.busy

    asyncio.run(test())


def test_held_call_is_sent_to_an_endpoint_added_after_route_changes() -> None:
    async def test() -> None:
        endpoint, admission, sink = ScriptedEndpoint("i-1"), make_admission(), RecordingSink()
        await endpoint.start()
        route = batch_route(1_000)
        admission.update_routes([route], 4)
        admission.submit(make_item_call(admission, route, "a", sink))
        for number in range(ROUTE_CHANGES):
            admission.update_routes([batch_route(2_000 + number)], 4)
        admission.update_endpoints([endpoint.record])
        async with asyncio.timeout(TIMEOUT_S):
            await sink.ended.wait()
        assert endpoint.requests == ["a"]
        endpoint.stop()

    asyncio.run(test())


def test_route_changes_leave_no_unused_balancers() -> None:
    async def test() -> None:
        admission = make_admission()
        for number in range(200):
            admission.update_routes([batch_route(1_000 + number)], 4)
        metrics = dict(admission.metrics())
        assert metrics["instances"] == 1
        assert admission._balancer is not None
        assert len(admission._balancer.classes) == 1

    asyncio.run(test())


@pytest.fixture
def timers_fire_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fire event loop timers early; a loop with millisecond resolution does so by up to one millisecond."""
    call_later = asyncio.BaseEventLoop.call_later

    def early(loop: asyncio.BaseEventLoop, delay: float, *args: Any, **kwargs: Any) -> asyncio.TimerHandle:
        return call_later(loop, max(0.0, delay - TIMER_ADVANCE_S), *args, **kwargs)

    monkeypatch.setattr(asyncio.BaseEventLoop, "call_later", early)


@pytest.mark.usefixtures("timers_fire_early")
def test_held_call_ends_in_time_if_timers_fire_early() -> None:
    """The balancer requests one wake-up and ignores an earlier one, so an early timer must not reach it."""

    async def test() -> None:
        admission, sink = make_admission(), RecordingSink()
        route = batch_route(1_000)
        admission.update_routes([route], 4)
        admission.submit(make_item_call(admission, route, "a", sink))
        async with asyncio.timeout(TIMEOUT_S):
            await sink.ended.wait()
        assert sink.refusal is ErrorKind.NOT_READY
        assert not admission.busy

    asyncio.run(test())


@pytest.mark.parametrize("final", [False, True])
def test_call_whose_route_has_changed_service_gets_no_further_attempt(final: bool) -> None:
    async def test() -> None:
        endpoints_tried: list[str] = []

        async def fail_first(request: EndpointRequest) -> None:
            endpoints_tried.append(request.endpoint.identity)
            if len(endpoints_tried) == 1:
                call.no_further_attempts = final
                request.reset()
            else:
                request.send(request.answer())

        harness = AdmissionHarness(*(ScriptedEndpoint(f"i-{number}", fail_first) for number in range(3)))
        await harness.start(make_route("idempotent"))
        sink = RecordingSink()
        call = make_item_call(harness.admission, harness.route, "a", sink)
        harness.admission.submit(call)
        async with asyncio.timeout(TIMEOUT_S):
            await sink.ended.wait()
        assert len(endpoints_tried) == (1 if final else 2)
        assert sink.refusal is (ErrorKind.FAILED if final else None)
        assert not harness.admission.busy
        harness.stop()

    asyncio.run(test())
