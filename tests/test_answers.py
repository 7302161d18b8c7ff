"""Each answer reaches the request that it belongs to, and what may not be repeated is sent once.

Real sockets; each test forces the crossing that it is about.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from eiderhub.control.errors import ErrorKind
from eiderhub.http1 import Pool, Reply
from tests.engine_support import (
    AdmissionHarness,
    EndpointRequest,
    Script,
    ScriptedEndpoint,
    answer_ok,
    make_route,
)

NON_IDEMPOTENT = make_route("non_idempotent")
STREAM = "text/event-stream"


def run_bounded(test: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(30.0):
            await test()

    asyncio.run(bounded())


@pytest.mark.parametrize("cut", [0, 1, 20, 60, 10_000])
def test_second_answer_in_the_same_read_adds_nothing_to_the_first(cut: int) -> None:
    """Recorded: `garble` with `how = extra`. The second answer's headers came to stand in the first's."""

    async def twice(request: EndpointRequest) -> None:
        extra = request.answer(b"second", Response_Signature="other", Request_Id="another")
        request.send(request.answer(b"first") + extra[: cut or len(extra)])

    async def test() -> None:
        bench = AdmissionHarness(ScriptedEndpoint("e1", twice))
        await bench.start(NON_IDEMPOTENT)
        for number in range(4):
            sink = await bench.request(f"q{number}")
            assert (sink.status, sink.body) == (200, b"first")
            assert sink.signatures() == [f"e1.q{number}".encode()]
        assert bench.endpoints[0].connection_count == 4  # none that brought more was used again
        bench.stop()

    run_bounded(test)


def test_headers_after_the_head_belong_to_no_answer() -> None:
    """Trailers of a chunked answer are no part of its head."""

    async def trailing(request: EndpointRequest) -> None:
        head = request.answer(b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        request.send(head + b"2\r\nok\r\n0\r\nResponse-Signature: other\r\nKeep-Alive: timeout=0\r\n\r\n")

    async def test() -> None:
        bench = AdmissionHarness(ScriptedEndpoint("e1", trailing))
        await bench.start(NON_IDEMPOTENT)
        sink = await bench.request("q1")
        assert (sink.body, sink.signatures()) == (b"ok", [b"e1.q1"])
        bench.stop()

    run_bounded(test)


def test_interim_answer_is_not_taken_for_the_final_one() -> None:
    async def interim(request: EndpointRequest) -> None:
        request.send(
            b"HTTP/1.1 103 Early Hints\r\nResponse-Signature: early\r\n\r\n" + request.answer(b"final")
        )

    async def test() -> None:
        bench = AdmissionHarness(ScriptedEndpoint("e1", interim))
        await bench.start(NON_IDEMPOTENT)
        sink = await bench.request("q1")
        assert (sink.body, sink.signatures()) == (b"final", [b"e1.q1"])
        bench.stop()

    run_bounded(test)


@pytest.mark.parametrize("stray", ["other id", "no id", "no id, failure", "no id, not executed"])
def test_late_second_answer_in_the_next_requests_slot_is_not_its_answer(stray: str) -> None:
    """The stray answer comes when the next request has been written to the connection."""
    fields = {
        "other id": {"Request_Id": "q0"},
        "no id": {"Request_Id": ""},
        "no id, failure": {"Request_Id": "", "Response_Signature": ""},
        "no id, not executed": {"Request_Id": "", "Response_Signature": "", "Not_Executed": "full"},
    }[stray]
    status = 503 if "failure" in stray or "executed" in stray else 200

    async def script(request: EndpointRequest) -> None:
        if request.id == "q0":
            request.send(request.answer(b"first", Keep_Alive="timeout=60"))
        else:
            request.send(request.answer(b"stray", status=status, **fields))

    async def test() -> None:
        bench = AdmissionHarness(ScriptedEndpoint("e1", script), ScriptedEndpoint("e2", script))
        await bench.start(NON_IDEMPOTENT)
        assert (await bench.request("q0")).body == b"first"
        used = next(e for e in bench.endpoints if e.requests)
        bench.admission.follow_endpoints([used.record])  # so that its kept connection carries the next
        sink = await bench.request("q1")
        assert sink.body != b"stray"
        assert sink.refusal is ErrorKind.FAILED
        assert bench.run_count("q1") == 1
        assert used.connection_count == 1
        bench.stop()

    run_bounded(test)


def test_failure_without_an_id_on_a_new_connection_is_the_endpoints() -> None:
    async def script(request: EndpointRequest) -> None:
        request.send(request.answer(b"bad", status=400, Request_Id=""))

    async def test() -> None:
        bench = AdmissionHarness(ScriptedEndpoint("e1", script))
        await bench.start(NON_IDEMPOTENT)
        assert (await bench.request("q1")).status == 400
        bench.stop()

    run_bounded(test)


async def reset(request: EndpointRequest) -> None:
    request.reset()


async def reset_in_headers(request: EndpointRequest) -> None:
    request.send(b"HTTP/1.1 200 OK\r\nRequest-")
    await request.writer.drain()
    request.reset()


async def reset_in_body(request: EndpointRequest) -> None:
    request.send(request.answer(b"whole")[:-2])
    await request.writer.drain()
    request.reset()


async def send_invalid_http(request: EndpointRequest) -> None:
    request.send(b"\x00\x01 this is no answer\r\n\r\n")


async def answer_500(request: EndpointRequest) -> None:
    request.send(request.answer(b"", status=500))


async def never_answer(request: EndpointRequest) -> None:
    await asyncio.Event().wait()


@pytest.mark.parametrize("script", [reset, reset_in_headers, reset_in_body, send_invalid_http, answer_500])
def test_what_may_not_be_repeated_reaches_one_endpoint_whatever_it_does(script: Script) -> None:
    async def test() -> None:
        bench = AdmissionHarness(ScriptedEndpoint("e1", script), ScriptedEndpoint("e2", script))
        await bench.start(NON_IDEMPOTENT)
        for number in range(6):
            sink = await bench.request(f"q{number}")
            assert bench.run_count(f"q{number}") == 1
            assert sink.refusal is ErrorKind.FAILED or sink.status == 500  # neither is a promise
            assert sink.end_count == 1
        bench.stop()

    run_bounded(test)


def test_mute_endpoint_is_not_replaced_by_another_for_what_may_not_be_repeated() -> None:
    async def test() -> None:
        bench = AdmissionHarness(ScriptedEndpoint("e1", never_answer), ScriptedEndpoint("e2", never_answer))
        await bench.start(make_route("non_idempotent", timeout_ms=300.0))
        sink = await bench.request("q1")
        assert sink.refusal is ErrorKind.UNCERTAIN
        assert bench.run_count("q1") == 1
        bench.stop()

    run_bounded(test)


def test_timer_that_crosses_the_answer_gives_one_end() -> None:
    """The answer leaves as the time runs out, in either order; nothing is sent again."""

    async def late(request: EndpointRequest) -> None:
        await asyncio.sleep(0.15)
        request.send(request.answer())

    async def test() -> None:
        bench = AdmissionHarness(ScriptedEndpoint("e1", late), ScriptedEndpoint("e2", late))
        await bench.start(make_route("non_idempotent", timeout_ms=150.0))
        for number in range(10):
            sink = await bench.request(f"q{number}")
            assert sink.end_count == 1
            assert bench.run_count(f"q{number}") == 1
            assert sink.body == b"ok" or sink.refusal is ErrorKind.UNCERTAIN
        bench.stop()

    run_bounded(test)


@pytest.mark.parametrize(("status", "fields"), [(503, {"Not_Executed": "full"}), (421, {})])
def test_request_that_surely_did_not_run_goes_to_another_endpoint(
    status: int, fields: dict[str, str]
) -> None:
    async def turn_away(request: EndpointRequest) -> None:
        request.send(request.answer(b"", status=status, Response_Signature="", **fields))

    async def test() -> None:
        bench = AdmissionHarness(ScriptedEndpoint("e1", turn_away), ScriptedEndpoint("e2", answer_ok))
        await bench.start(NON_IDEMPOTENT)
        for number in range(6):
            sink = await bench.request(f"q{number}")
            assert sink.body == b"ok" or sink.refusal is ErrorKind.NOT_READY
            assert bench.endpoints[1].requests.count(f"q{number}") <= 1
        assert bench.endpoints[1].requests
        bench.stop()

    run_bounded(test)


def test_kept_connection_that_closes_as_the_request_leaves_is_no_reason_to_send_it_again() -> None:
    """The endpoint reads the request and closes: to the sender it looks like a close that crossed it."""

    async def script(request: EndpointRequest) -> None:
        if request.id.startswith("first"):
            request.send(request.answer(b"first", Keep_Alive="timeout=60"))
        else:
            request.writer.close()

    async def test() -> None:
        bench = AdmissionHarness(ScriptedEndpoint("e1", script), ScriptedEndpoint("e2", script))
        await bench.start(NON_IDEMPOTENT)
        for number in range(6):
            await bench.request(f"first{number}")
            sink = await bench.request(f"q{number}")
            assert sink.refusal is ErrorKind.FAILED
            assert bench.run_count(f"q{number}") == 1
        bench.stop()

    run_bounded(test)


def test_kept_connection_that_has_closed_is_not_written_to() -> None:
    """The close is in the kernel; the event loop has not come to it when the next request leaves."""

    async def test() -> None:
        closed = asyncio.Event()

        async def script(request: EndpointRequest) -> None:
            if request.id == "q0":
                request.send(request.answer(b"first", Keep_Alive="timeout=60"))
                closer.append(request.writer)
            else:
                request.send(request.answer())
            closed.set()

        closer: list[asyncio.StreamWriter] = []
        bench = AdmissionHarness(ScriptedEndpoint("e1", script))
        await bench.start(NON_IDEMPOTENT)
        await bench.request("q0")
        sock = closer[0].get_extra_info("socket")
        sock.shutdown(2)  # no turn of the loop between this and the next request
        sink = await bench.request("q1")
        assert sink.body == b"ok"
        assert bench.run_count("q1") == 1
        bench.stop()

    run_bounded(test)


def test_stream_that_may_not_be_resumed_is_not_taken_up_elsewhere() -> None:
    async def half(request: EndpointRequest) -> None:
        head = request.answer(b"", Content_Type=STREAM).replace(
            b"Content-Length: 0", b"Transfer-Encoding: chunked"
        )
        request.send(head + b"10\r\nid: 0\ndata: a\n\n\r\n"[: 5 + 16])
        await request.writer.drain()
        request.reset()

    async def test() -> None:
        bench = AdmissionHarness(ScriptedEndpoint("e1", half), ScriptedEndpoint("e2", half))
        await bench.start(make_route("streaming"))
        for number in range(4):
            sink = await bench.request(f"q{number}")
            assert not sink.complete
            assert bench.run_count(f"q{number}") == 1
        bench.stop()

    run_bounded(test)


class RecordingAsker:
    """Implements `http1.Asker`: notes the one end of an exchange."""

    def __init__(self) -> None:
        self.replies: list[Reply] = []
        self.ended = asyncio.Event()

    def on_written(self) -> None:
        """Nothing."""

    def on_reply(self, reply: Reply) -> None:
        self.replies.append(reply)
        self.ended.set()

    def on_broken(self, first: bool) -> None:
        self.ended.set()

    def on_unreachable(self) -> None:
        self.ended.set()


async def ask_pool(pool: Pool, name: str) -> RecordingAsker:
    asker = RecordingAsker()
    pool.ask(f"POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: {name}\r\n\r\n".encode(), asker)
    await asker.ended.wait()
    return asker


@pytest.mark.parametrize("cut", [0, 1, 20, 60, 10_000])
def test_second_answer_reaches_no_other_caller_of_the_list_services_client(cut: int) -> None:
    """The same shape as `garble` with `how = extra`, in `http1.ClientConnection`: found by reading."""

    async def twice(request: EndpointRequest) -> None:
        extra = request.answer(b"second", Response_Signature="other", Request_Id="another")
        request.send(request.answer(b"first") + extra[: cut or len(extra)])

    async def test() -> None:
        endpoint = ScriptedEndpoint("e1", twice)
        await endpoint.start()
        host, port = endpoint.address.split(":")
        pool = Pool(host, int(port))
        for number in range(4):
            made = await ask_pool(pool, f"q{number}")
            assert [reply.body for reply in made.replies] == [b"first"]
            assert made.replies[0].headers[b"response-signature"] == f"e1.q{number}".encode()
            assert made.replies[0].headers[b"request-id"] == f"q{number}".encode()
            assert len(pool.idle) == len(set(pool.idle))
        pool.close()
        endpoint.stop()

    run_bounded(test)


def test_connection_whose_answers_are_whole_is_used_again_by_the_list_services_client() -> None:
    async def test() -> None:
        endpoint = ScriptedEndpoint("e1", answer_ok)
        await endpoint.start()
        host, port = endpoint.address.split(":")
        pool = Pool(host, int(port))
        for number in range(4):
            made = await ask_pool(pool, f"q{number}")
            assert [reply.status for reply in made.replies] == [200]
        assert endpoint.connection_count == 1
        pool.close()
        endpoint.stop()

    run_bounded(test)


def test_whoever_waits_at_the_end_of_the_process_is_answered() -> None:
    async def silent(request: EndpointRequest) -> None:
        await asyncio.Event().wait()

    async def test() -> None:
        bench = AdmissionHarness(ScriptedEndpoint("e1", silent))
        await bench.start(NON_IDEMPOTENT)
        sink = bench.send("q1")
        await bench.endpoints[0].request_received.wait()
        bench.admission.end_all()
        assert (sink.refusal, sink.end_count) == (ErrorKind.UNCERTAIN, 1)
        assert not bench.admission.busy
        bench.stop()

    run_bounded(test)
