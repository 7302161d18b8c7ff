"""Admission through changes of the configuration: no call is left with decisions that nobody wakes."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from eiderhub.control.errors import ErrorKind
from eiderhub.dataplane.admission import Admission, Call
from eiderhub.dataplane.frontend import request_head
from eiderhub.dataplane.routes import Route, RouteTable
from tests.engine_support import (
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
    """A change of the time-out makes another class."""
    document = {
        "routes": [
            {"name": "lots", "host": "h", "path_prefix": "/l/", "route_kind": "batch", "backend": SERVICE,
             "timeout_ms": timeout_ms, "slo_ms": 100},
        ],
        "backends": [{"name": SERVICE, "engine": {"capacity": 4}}],
    }  # fmt: skip
    return RouteTable(1, document).by_name["lots"]


def make_item_call(admission: Admission, route: Route, name: str, sink: RecordingSink) -> Call:
    head = (request_head(b"POST", b"/l/x", {b"Host": b"h", b"Request-Id": name.encode()}, b""), b"")
    due_us = admission.now_us() + ITEM_TIME_US
    return Call(f"item {name}", route, name.encode(), head, due_us, "batch lots", (10, 10), sink)


def make_admission() -> Admission:
    return Admission(SERVICE, 4, "z", random.Random(1), {})


@pytest.mark.parametrize("changes", [0, 1, ROUTE_CHANGES])
def test_held_call_is_ended_in_time_whatever_changes_meanwhile(changes: int) -> None:
    async def test() -> None:
        made, sink = make_admission(), RecordingSink()
        route = batch_route(1_000)
        made.follow_routes([route], 4)
        made.order(make_item_call(made, route, "a", sink))
        assert sink.end_count == 0
        for number in range(changes):
            made.follow_routes([batch_route(2_000 + number)], 4)
        async with asyncio.timeout(TIMEOUT_S):
            await sink.ended.wait()
        assert sink.end_count == 1
        assert not made.busy

    asyncio.run(test())


def test_held_call_is_sent_to_an_endpoint_that_comes_after_many_changes() -> None:
    async def test() -> None:
        endpoint, made, sink = ScriptedEndpoint("i-1"), make_admission(), RecordingSink()
        await endpoint.start()
        route = batch_route(1_000)
        made.follow_routes([route], 4)
        made.order(make_item_call(made, route, "a", sink))
        for number in range(ROUTE_CHANGES):
            made.follow_routes([batch_route(2_000 + number)], 4)
        made.follow_endpoints([endpoint.record])
        async with asyncio.timeout(TIMEOUT_S):
            await sink.ended.wait()
        assert endpoint.requests == ["a"]
        endpoint.stop()

    asyncio.run(test())


def test_what_is_kept_does_not_grow_with_the_number_of_changes() -> None:
    async def test() -> None:
        made = make_admission()
        for number in range(200):
            made.follow_routes([batch_route(1_000 + number)], 4)
        figures = dict(made.figures())
        assert figures["instances"] == 1
        assert made._balancer is not None
        assert len(made._balancer.classes) == 1

    asyncio.run(test())


@pytest.fixture
def timers_fire_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """A loop that counts whole milliseconds may call back up to one too early; here it is a few."""
    call_later = asyncio.BaseEventLoop.call_later

    def early(loop: asyncio.BaseEventLoop, delay: float, *words: Any, **fields: Any) -> asyncio.TimerHandle:
        return call_later(loop, max(0.0, delay - TIMER_ADVANCE_S), *words, **fields)

    monkeypatch.setattr(asyncio.BaseEventLoop, "call_later", early)


@pytest.mark.usefixtures("timers_fire_early")
def test_held_call_is_ended_in_time_though_timers_come_early() -> None:
    """The decisions ask to be woken once, and look at nothing before that time."""

    async def test() -> None:
        made, sink = make_admission(), RecordingSink()
        route = batch_route(1_000)
        made.follow_routes([route], 4)
        made.order(make_item_call(made, route, "a", sink))
        async with asyncio.timeout(TIMEOUT_S):
            await sink.ended.wait()
        assert sink.refusal is ErrorKind.NOT_READY
        assert not made.busy

    asyncio.run(test())


@pytest.mark.parametrize("final", [False, True])
def test_call_whose_route_has_moved_gets_no_further_attempt(final: bool) -> None:
    async def test() -> None:
        asked: list[str] = []

        async def fail_first(request: EndpointRequest) -> None:
            asked.append(request.endpoint.identity)
            if len(asked) == 1:
                call.final = final
                request.reset()
            else:
                request.send(request.answer())

        bench = AdmissionHarness(*(ScriptedEndpoint(f"i-{number}", fail_first) for number in range(3)))
        await bench.start(make_route("idempotent"))
        sink = RecordingSink()
        call = make_item_call(bench.admission, bench.route, "a", sink)
        bench.admission.order(call)
        async with asyncio.timeout(TIMEOUT_S):
            await sink.ended.wait()
        assert len(asked) == (1 if final else 2)
        assert sink.refusal is (ErrorKind.FAILED if final else None)
        assert not bench.admission.busy
        bench.stop()

    asyncio.run(test())
