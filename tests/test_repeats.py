"""What may be repeated: each kind of request runs as often as its kind allows, whatever answers are lost.

See docs/incidents/repeated-at-most-once.md.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from typing import Any

import pytest

from eiderhub.control.configuration import Change, decide, parse
from eiderhub.control.errors import HTTP_STATUS, ErrorKind
from eiderhub.dataplane.routes import Route, RouteTable
from tests.endpoint_support import SERVICE, AdmissionHarness, EndpointRequest, ScriptedEndpoint

KINDS = ("idempotent", "non_idempotent", "streaming", None)  # None: the route names no kind
FLAGS = (True, False, None)
REQUESTS = 6
LOSS_RATE = 0.6
REFUSALS = {HTTP_STATUS[ErrorKind.NOT_READY], HTTP_STATUS[ErrorKind.NO_ROOM]}


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
    """Send requests whose answers are lost at random; the runs and the last status of each."""
    rng = random.Random(seed)

    async def run_and_lose(request: EndpointRequest) -> None:
        if rng.random() < LOSS_RATE:
            request.reset()
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
            assert not any(runs[name] and statuses[name] in REFUSALS for name in runs)
    assert not repeatable or most > 1


def test_every_kind_that_repeats_finds_the_planted_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: `resumable` makes every kind repeatable, as before."""
    monkeypatch.setattr(Route, "repeatable", property(lambda route: route.resumable))
    with pytest.raises(AssertionError):
        test_requests_run_as_often_as_their_kind_allows("non_idempotent", True)
