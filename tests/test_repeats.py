"""What may be repeated: each kind of request runs as often as its kind allows, whatever answers are lost.

See docs/incidents/repeated-at-most-once.md.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import Callable
from typing import Any

import pytest

from eiderhub.control.configuration import Change, decide, parse
from eiderhub.control.errors import HTTP_STATUS, ErrorKind
from eiderhub.dataplane import response_verdict
from eiderhub.dataplane.routes import Route, RouteTable
from tests.endpoint_support import SERVICE, AdmissionHarness, EndpointRequest, ScriptedEndpoint

KINDS = ("idempotent", "non_idempotent", "streaming", None)  # None: the route names no kind
FLAGS = (True, False, None)
REQUESTS = 6
LOSS_RATE, UNPROVEN_RATE = 0.4, 0.2
NOT_RUN_STATUSES = (408, 421, 429, 503)  # to a client each promises that its request has not run
UNPROVEN_STATUSES = (408, 429, 503)  # of an endpoint, without Not-Executed


def accepted_route(kind: str | None, resumable: bool | None, **fields: Any) -> Route:
    """A route of a configuration that is answered 200."""
    values = {"route_kind": kind, "resumable": resumable} | fields
    route = {
        "name": "r",
        "host": "h",
        "path_prefix": "/",
        "timeout_ms": 4000,
        "backend": SERVICE,
        "max_attempts": 3,
    }
    route |= {name: value for name, value in values.items() if value is not None}
    document = {"generation": 1, "routes": [route], "backends": [{"name": SERVICE}]}
    body = json.dumps(document).encode()
    assert decide(None, None, 0, Change(0, False, body), parse(body).unwrap()).is_ok()
    return RouteTable(1, document).by_name["r"]


def may_repeat(kind: str | None, resumable: bool | None) -> bool:
    """By the pages: idempotent routes, and streams that may be resumed."""
    return kind == "idempotent" or (kind == "streaming" and resumable is True)


async def play(route: Route, seed: int) -> tuple[dict[str, int], dict[str, int]]:
    """Send requests whose answers are lost or are refusals, at random; the runs and last status of each."""
    rng = random.Random(seed)

    async def run_and_lose(request: EndpointRequest) -> None:
        drawn = rng.random()
        if drawn < LOSS_RATE:
            request.reset()
        elif drawn < LOSS_RATE + UNPROVEN_RATE:
            request.send(request.answer(status=rng.choice(UNPROVEN_STATUSES)))
        else:
            request.send(request.answer())

    harness = AdmissionHarness(*(ScriptedEndpoint(f"i-{n}", run_and_lose) for n in range(4)))
    await harness.start(route)
    names = [f"q{n}" for n in range(REQUESTS)]
    sinks = [await harness.request(name) for name in names]
    harness.stop()
    statuses = {
        name: HTTP_STATUS[sink.refusal] if sink.refusal is not None else sink.status
        for name, sink in zip(names, sinks, strict=True)
    }
    return {name: harness.run_count(name) for name in names}, statuses


@pytest.mark.parametrize(("kind", "resumable"), list(itertools.product(KINDS, FLAGS)))
def test_requests_run_as_often_as_their_kind_allows(kind: str | None, resumable: bool | None) -> None:
    """Guards against a request of a non_idempotent route that runs twice, or is refused after it has run."""
    repeatable = may_repeat(kind, resumable)
    most = 0
    for seed in range(4):
        runs, statuses = asyncio.run(play(accepted_route(kind, resumable), seed))
        most = max(most, *runs.values())
        if not repeatable:
            assert all(count <= 1 for count in runs.values())
            assert not any(runs[name] and statuses[name] in NOT_RUN_STATUSES for name in runs)
    assert not repeatable or most > 1


@pytest.mark.parametrize("status", UNPROVEN_STATUSES)
@pytest.mark.parametrize("kind", ["non_idempotent", "streaming"])
def test_refusal_of_an_endpoint_that_may_have_run_the_request_is_not_passed_on(
    kind: str, status: int
) -> None:
    """Guards against a client that is promised that its request has not run, though it has."""

    async def run_and_refuse(request: EndpointRequest) -> None:
        request.send(request.answer(status=status))

    async def test() -> None:
        harness = AdmissionHarness(*(ScriptedEndpoint(f"i-{n}", run_and_refuse) for n in range(3)))
        await harness.start(accepted_route(kind, None))
        sink = await harness.request("a")
        assert (harness.run_count("a"), sink.refusal, sink.signatures()) == (1, ErrorKind.FAILED, [])
        harness.stop()

    asyncio.run(test())


@pytest.mark.parametrize("status", NOT_RUN_STATUSES)
def test_request_that_an_endpoint_did_not_run_is_refused_as_such(status: int) -> None:
    """Guards against a refusal that is withheld where the endpoint says that it did not run the request."""

    async def refuse(request: EndpointRequest) -> None:
        request.send(request.answer(status=status, Not_Executed="1"))

    async def test() -> None:
        harness = AdmissionHarness(ScriptedEndpoint("i-0", refuse))
        await harness.start(accepted_route("non_idempotent", None))
        assert (await harness.request("a")).refusal is ErrorKind.NOT_READY
        harness.stop()

    asyncio.run(test())


@pytest.mark.parametrize("late", [{"status": 500}, {"status": 422}, {"status": 503, "Not_Executed": "1"}])
def test_second_answer_to_a_run_of_an_item_is_not_taken_for_that_to_its_next_run(
    late: dict[str, Any],
) -> None:
    """Guards against a failure of an item that is counted twice, as its answer came twice."""

    async def test() -> None:
        connections: list[int] = []

        async def serve(request: EndpointRequest) -> None:
            connections.append(id(request.writer))
            is_answered = connections.count(connections[0]) > 1  # its connection has had an answer before
            if len(connections) == 1 or is_answered:
                request.send(request.answer(**late))
            if len(connections) > 1:
                request.send(request.answer())

        harness = AdmissionHarness(ScriptedEndpoint("i-0", serve))
        await harness.start(accepted_route("batch", None))
        await harness.request("a")
        assert (await harness.request("a")).status == 200
        assert (await harness.request("b")).status == 200
        assert connections.count(connections[0]) + connections.count(connections[1]) == 3
        harness.stop()

    asyncio.run(test())


def _resumable_repeats(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Route, "repeatable", property(lambda route: route.resumable))


def _refusals_pass(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(response_verdict, "NOT_RUN_STATUSES", frozenset())


@pytest.mark.parametrize("plant", [_resumable_repeats, _refusals_pass])
def test_property_finds_a_planted_fault(
    monkeypatch: pytest.MonkeyPatch, plant: Callable[[pytest.MonkeyPatch], None]
) -> None:
    """Planted, both as before: `resumable` repeats every kind; a refusal is passed on, run or not."""
    plant(monkeypatch)
    with pytest.raises(AssertionError):
        test_requests_run_as_often_as_their_kind_allows("non_idempotent", True)
