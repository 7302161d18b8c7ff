"""What ends a stream that has begun: only a stream with the rest of its events completes it.

See docs/incidents/continuation-refused.md.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import Callable
from pathlib import Path

import pytest

from eiderhub.control.errors import ErrorKind
from eiderhub.dataplane import admission
from eiderhub.dataplane.endpoint_connections import Headers
from eiderhub.dataplane.response_verdict import UNPROCESSABLE_STATUS, CallProgress, Response, Verdict
from eiderhub.dataplane.routes import Route
from eiderhub.storage.store import UNLIMITED_BYTES
from tests.endpoint_support import (
    TIMEOUT_S,
    AdmissionHarness,
    EndpointRequest,
    RecordingSink,
    Script,
    ScriptedEndpoint,
    make_route,
)
from tests.items_support import running_harness, wait_for_results

EVENTS = 5
SMALL_STORE_BYTES = 24 << 20  # takes results of up to a fifth of it
SEEDS = range(40)
STATUSES = (201, 204, 301, 304, 307, 400, 404, 409, 410, 413, UNPROCESSABLE_STATUS, 429, 500, 502, 503, 504)
STREAM_HEAD = (
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    "Request-Id: {id}\r\nResponse-Signature: s\r\n\r\n"
)


class EndSink(RecordingSink):
    """Tells how a call has ended."""

    end = ""

    def finish(self) -> None:
        self.end = "finished"
        super().finish()

    def abort(self) -> None:
        self.end = "aborted"
        super().abort()

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        self.end = f"answered {status}"
        super().answer(status, headers, body)

    def refuse(self, kind: ErrorKind, retry_after_us: int) -> None:
        self.end = f"refused {kind.value}"
        super().refuse(kind, retry_after_us)


def stream(request: EndpointRequest, *events: str, end: bytes = b"0\r\n\r\n") -> bytes:
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(each), each.encode()) for each in events)
    return STREAM_HEAD.format(id=request.id).encode() + chunks + end


def event(number: int) -> str:
    return f"id: {number}\ndata: {number}\n\n"


Continuation = Callable[[EndpointRequest, int], bytes]  # given the first event that is missing


def plain(status: int, **fields: str) -> Continuation:
    return lambda request, first: request.answer(b"no", status, **fields)


CONTINUATIONS: dict[str, Continuation] = {
    "whole": lambda request, first: stream(request, *map(event, range(first, EVENTS))),
    "success that is no stream": plain(200),
    "unsigned success": plain(200, Response_Signature=""),
    "empty stream": lambda request, first: stream(request),
    "comments alone": lambda request, first: stream(request, ": ping\n\n"),
    "events without ids": lambda request, first: stream(request, *["data: x\n\n"] * (EVENTS - first)),
    "another run from its start": lambda request, first: stream(request, *map(event, range(EVENTS))),
    "a gap": lambda request, first: stream(request, *map(event, range(first + 1, EVENTS))),
    "ends in an event": lambda request, first: stream(request, *map(event, range(first, 4)), "id: 4\nda"),
    "cut": lambda request, first: stream(request, event(first), end=b""),
    **{f"status {status}": plain(status) for status in STATUSES},
}  # fmt: skip


class Endpoints:
    """Endpoints that cut the first run after some events and answer each further one as drawn."""

    def __init__(self, cut_after: int, continuations: list[str]) -> None:
        self._cut_after = cut_after
        self._remaining = list(continuations)
        self.answered: list[str] = []

    async def serve(self, request: EndpointRequest) -> None:
        last = int(request.headers.get("last-event-id", "-1"))
        if last < 0:
            request.send(stream(request, *map(event, range(self._cut_after)), end=b""))
            request.writer.close()
            return
        name = self._remaining.pop(0) if self._remaining else "whole"
        self.answered.append(name)
        request.send(CONTINUATIONS[name](request, last + 1))
        if name == "cut":
            request.writer.close()


async def run_call(route: Route, serve: Script) -> EndSink:
    """Run one call to its end."""
    harness = AdmissionHarness(*(ScriptedEndpoint(f"i-{n}", serve) for n in range(4)))
    await harness.start(route)
    sink = EndSink()
    harness.submit("a", sink)
    async with asyncio.timeout(TIMEOUT_S):
        await sink.ended.wait()
    harness.stop()
    return sink


def check_end(sink: EndSink, endpoints: Endpoints, is_item: bool) -> None:
    """Completed means every event, once; the only other last word is a 422 to an item."""
    numbers = [each.id for each in sink.events if each.id >= 0]
    assert numbers == list(range(len(numbers)))
    assert sink.end_count == 1
    unprocessable = f"status {UNPROCESSABLE_STATUS}" in endpoints.answered
    if sink.end == "finished":
        assert len(numbers) == EVENTS
        assert endpoints.answered[-1] == "whole"
    elif is_item and unprocessable:
        assert sink.end == f"answered {UNPROCESSABLE_STATUS}"
    else:
        assert sink.end == "aborted"


def play(seed: int, is_item: bool) -> EndSink:
    rng = random.Random(seed)
    endpoints = Endpoints(rng.randrange(1, EVENTS), rng.choices(list(CONTINUATIONS), k=2))
    route = make_route("batch" if is_item else "streaming", max_attempts=rng.choice((2, 3)), resumable=True)
    sink = asyncio.run(run_call(route, endpoints.serve))
    check_end(sink, endpoints, is_item)
    return sink


@pytest.mark.parametrize("is_item", [True, False], ids=["item", "live"])
def test_stream_is_complete_only_with_every_event_whatever_its_continuation_gets(is_item: bool) -> None:
    """Guards against an answer to a continuation that is taken for the end of the stream."""
    ends = {play(seed, is_item).end for seed in SEEDS}
    assert {"finished", "aborted"} <= ends


@pytest.mark.parametrize("name", CONTINUATIONS)
@pytest.mark.parametrize("is_item", [True, False], ids=["item", "live"])
def test_each_answer_to_a_continuation(name: str, is_item: bool) -> None:
    """Guards against each kind of answer being taken for the end of the stream."""

    async def test() -> None:
        endpoints = Endpoints(2, [name] * 3)
        route = make_route("batch" if is_item else "streaming", max_attempts=2, resumable=True)
        sink = await run_call(route, endpoints.serve)
        check_end(sink, endpoints, is_item)
        unprocessable = is_item and name == f"status {UNPROCESSABLE_STATUS}"
        expected = (
            "finished"
            if name == "whole"
            else f"answered {UNPROCESSABLE_STATUS}"
            if unprocessable
            else "aborted"
        )
        assert sink.end == expected

    asyncio.run(test())


def _ends_every_stream(response: Response, call: CallProgress) -> Verdict:
    """As before: whatever is no server error is the end."""
    return Verdict.COMPLETED if call.begun and response.status < 500 else Verdict.FAILED


def _empty_is_whole(response: Response, call: CallProgress) -> Verdict:
    return Verdict.COMPLETED if response.is_stream else Verdict.FAILED


@pytest.mark.parametrize("fault", [_ends_every_stream, _empty_is_whole])
def test_property_finds_a_planted_verdict(
    monkeypatch: pytest.MonkeyPatch, fault: Callable[[Response, CallProgress], Verdict]
) -> None:
    """Planted: an answer ends the stream that has begun, an empty stream completes one."""
    monkeypatch.setattr(admission, "judge", fault)
    with pytest.raises(AssertionError):
        for seed in SEEDS:
            play(seed, is_item=True)


@pytest.mark.parametrize(
    ("kind", "resumable"), [("idempotent", False), ("streaming", False), ("non_idempotent", True)]
)
def test_stream_that_may_not_be_resumed_is_cut(kind: str, resumable: bool) -> None:
    """Guards against a continuation where the route allows none."""
    endpoints = Endpoints(2, [])
    sink = asyncio.run(run_call(make_route(kind, max_attempts=3, resumable=resumable), endpoints.serve))
    assert (sink.end, endpoints.answered) == ("aborted", [])


def test_stream_without_ids_is_not_started_again_behind_its_first_events() -> None:
    """Guards against pieces of two runs in one stream."""
    runs = itertools.count()

    async def serve(request: EndpointRequest) -> None:
        next(runs)
        request.send(stream(request, "data: a\n\n", end=b""))
        request.writer.close()

    sink = asyncio.run(run_call(make_route("streaming", max_attempts=3, resumable=True), serve))
    assert (sink.end, len(sink.events), next(runs)) == ("aborted", 1, 1)


@pytest.mark.parametrize(
    "media_type",
    ["text/event-stream", "Text/Event-Stream", "text/event-stream; charset=utf-8", "TEXT/EVENT-STREAM;a=b"],
)
@pytest.mark.parametrize("is_item", [True, False], ids=["item", "live"])
def test_stream_is_known_by_its_media_type_in_any_case(media_type: str, is_item: bool) -> None:
    """Guards against a stream that is taken for a plain body: held back, and no result of an item."""

    async def serve(request: EndpointRequest) -> None:
        answer = stream(request, *map(event, range(EVENTS)))
        request.send(answer.replace(b"text/event-stream", media_type.encode()))

    sink = asyncio.run(run_call(make_route("batch" if is_item else "streaming"), serve))
    assert (sink.end, [each.id for each in sink.events]) == ("finished", list(range(EVENTS)))


@pytest.mark.parametrize("kind", ["streaming", "idempotent", "non_idempotent"])
def test_stream_without_a_signature_is_no_success(kind: str) -> None:
    """Guards against a success that lacks the endpoint's signature."""

    async def serve(request: EndpointRequest) -> None:
        request.send(stream(request, *map(event, range(EVENTS))).replace(b"Response-Signature: s\r\n", b""))

    sink = asyncio.run(run_call(make_route(kind, resumable=True), serve))
    assert (sink.end, sink.events) == (f"refused {ErrorKind.FAILED.value}", [])


def test_stream_without_a_signature_does_not_continue_one_that_has() -> None:
    """Guards against bytes of another sender within a signed answer."""

    async def serve(request: EndpointRequest) -> None:
        last = int(request.headers.get("last-event-id", "-1"))
        if last < 0:
            request.send(stream(request, event(0), end=b""))
            request.writer.close()
        else:
            rest = stream(request, *map(event, range(last + 1, EVENTS)))
            request.send(rest.replace(b"Response-Signature: s\r\n", b""))

    sink = asyncio.run(run_call(make_route("streaming", resumable=True), serve))
    assert (sink.end, len(sink.events)) == ("aborted", 1)


REFUSED_CONTINUATIONS = (
    "status 404", "status 410", "status 204", "status 307", "success that is no stream", "empty stream",
    "comments alone", "events without ids", "another run from its start", "a gap",
)  # fmt: skip


async def run_item(folder: Path, serve: Script, store_bytes: int = UNLIMITED_BYTES) -> str:
    """Run an item, at a sidecar of a real storage service, until it is listed as succeeded; its text."""
    async with running_harness(folder) as harness:
        harness.storage.store.limit_bytes = store_bytes
        sidecar = await harness.add_sidecar("edge-0")
        endpoints = AdmissionHarness(*(ScriptedEndpoint(f"i-{n}", serve) for n in range(2)))
        await endpoints.start(make_route("batch", max_attempts=2, resumable=True))
        sidecar.route_for = lambda name: (endpoints.route, endpoints.admission)  # type: ignore[method-assign]
        assert await sidecar.submit("job", "a") == 202
        await wait_for_results(sidecar, "job", "a")
        (result,) = json.loads((await sidecar.runner.read("job", 0, 0)).body)["results"]
        endpoints.stop()
    assert result["state"] == "succeeded"
    return str(result["text"])


@pytest.mark.parametrize("name", REFUSED_CONTINUATIONS)
def test_item_whose_continuation_is_refused_everywhere_is_run_from_its_start(
    tmp_path: Path, name: str
) -> None:
    """Guards against an item that is asked for the rest of its text for ever, or ends without it."""
    first_runs = itertools.count()

    async def serve(request: EndpointRequest) -> None:
        last = int(request.headers.get("last-event-id", "-1"))
        if last >= 0:
            request.send(CONTINUATIONS[name](request, last + 1))
        elif next(first_runs) == 0:
            request.send(stream(request, *map(event, range(2)), end=b""))
            request.writer.close()
        else:
            request.send(stream(request, *map(event, range(EVENTS))))

    assert asyncio.run(run_item(tmp_path, serve)) == "\n".join(map(str, range(EVENTS)))


# What an endpoint gives before it breaks off, so that no Last-Event-Id says where to go on.
UNRESUMABLE_STARTS = {
    "an event without an id": (event(0), "data: x\n\n"),
    "an id that is too large": (f"id: {1 << 64}\ndata: 0\n\n", f"id: {(1 << 64) + 1}\ndata: 1\n\n"),
    "an id of many digits": ("id: " + "9" * 5000 + "\ndata: 0\n\n",),
}


class BreaksOffOnce:
    """Endpoints that break off the first run after a start, and then run the whole stream."""

    def __init__(self, *start: str) -> None:
        self._start = start
        self.asked: list[str] = []  # the Last-Event-Id of each run

    async def serve(self, request: EndpointRequest) -> None:
        self.asked.append(request.headers.get("last-event-id", ""))
        if len(self.asked) == 1:
            request.send(stream(request, *self._start, end=b""))
            request.writer.close()
        else:
            last = int(self.asked[-1] or -1)
            request.send(stream(request, *map(event, range(last + 1, EVENTS))))


@pytest.mark.parametrize("start", UNRESUMABLE_STARTS.values(), ids=list(UNRESUMABLE_STARTS))
def test_item_that_cannot_be_resumed_is_run_from_its_start(tmp_path: Path, start: tuple[str, ...]) -> None:
    """Guards against pieces of two runs in one text, and an id that no message can hold."""
    endpoints = BreaksOffOnce(*start)
    assert asyncio.run(run_item(tmp_path, endpoints.serve)) == "\n".join(map(str, range(EVENTS)))
    assert endpoints.asked == ["", ""]


@pytest.mark.parametrize("start", UNRESUMABLE_STARTS.values(), ids=list(UNRESUMABLE_STARTS))
def test_live_stream_that_cannot_be_resumed_is_cut(start: tuple[str, ...]) -> None:
    """Guards against pieces of two runs in one answer."""
    endpoints = BreaksOffOnce(*start)
    sink = asyncio.run(run_call(make_route("streaming", resumable=True), endpoints.serve))
    assert (sink.end, len(sink.events), endpoints.asked) == ("aborted", len(start), [""])


def test_comments_are_no_part_of_the_text_of_an_item(tmp_path: Path) -> None:
    """Guards against a text with line feeds that no event has."""

    async def serve(request: EndpointRequest) -> None:
        events = itertools.chain(*((": ping\n\n", event(n), "retry: 9\n\n") for n in range(EVENTS)))
        request.send(stream(request, *events))

    assert asyncio.run(run_item(tmp_path, serve)) == "\n".join(map(str, range(EVENTS)))


def oversized_text(request: EndpointRequest) -> bytes:
    events = (f"id: {number}\ndata: {'x' * (1 << 20)}\n\n" for number in range(6))
    return stream(request, *events)


def oversized_event(request: EndpointRequest) -> bytes:
    return stream(request, f"id: 0\ndata: {'x' * (6 << 20)}\n\n")


@pytest.mark.parametrize("oversized", [oversized_text, oversized_event])
def test_item_whose_text_no_store_can_hold_is_run_again(
    tmp_path: Path, oversized: Callable[[EndpointRequest], bytes]
) -> None:
    """Guards against a result that the store refuses: each storage primary in turn steps down for it."""
    runs = itertools.count()

    async def serve(request: EndpointRequest) -> None:
        is_first = next(runs) == 0
        request.send(oversized(request) if is_first else stream(request, *map(event, range(EVENTS))))

    text = asyncio.run(run_item(tmp_path, serve, SMALL_STORE_BYTES))
    assert text == "\n".join(map(str, range(EVENTS)))
