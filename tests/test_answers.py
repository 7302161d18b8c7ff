"""Each response goes to the request that it belongs to, and a non-idempotent request is sent once.

The tests use real sockets, and each forces the race that it covers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from eiderhub.control.errors import ErrorKind
from eiderhub.dataplane import endpoint_connections
from eiderhub.http1 import ConnectionPool, Reply
from tests.endpoint_support import (
    AdmissionHarness,
    EndpointRequest,
    Script,
    ScriptedEndpoint,
    answer_ok,
    make_route,
)

NON_IDEMPOTENT = make_route("non_idempotent")
STREAM = "text/event-stream"
LONG_S = 60.0  # for a time limit that must not end anything during a test


@pytest.fixture(autouse=True)
def long_connect_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep a pause of the test's own process from ending a connect, which takes no time on loopback."""
    monkeypatch.setattr(endpoint_connections, "CONNECT_TIMEOUT_S", LONG_S)


def run_bounded(test: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(30.0):
            await test()

    asyncio.run(bounded())


@pytest.mark.parametrize("extra_size", [0, 1, 20, 60, 10_000])
def test_second_response_in_the_same_read_does_not_change_the_first(extra_size: int) -> None:
    """The second response's headers were added to the first's (fault `garble` with `how = extra`)."""

    async def respond_twice(request: EndpointRequest) -> None:
        extra = request.answer(b"second", Response_Signature="other", Request_Id="another")
        request.send(request.answer(b"first") + extra[: extra_size or len(extra)])

    async def test() -> None:
        harness = AdmissionHarness(ScriptedEndpoint("e1", respond_twice))
        await harness.start(NON_IDEMPOTENT)
        for number in range(4):
            sink = await harness.request(f"q{number}")
            assert (sink.status, sink.body) == (200, b"first")
            assert sink.signatures() == [f"e1.q{number}".encode()]
        assert harness.endpoints[0].connection_count == 4  # no connection with extra data was reused
        harness.stop()

    run_bounded(test)


def test_trailers_are_not_added_to_the_headers() -> None:
    async def send_trailers(request: EndpointRequest) -> None:
        head = request.answer(b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        request.send(head + b"2\r\nok\r\n0\r\nResponse-Signature: other\r\nKeep-Alive: timeout=0\r\n\r\n")

    async def test() -> None:
        harness = AdmissionHarness(ScriptedEndpoint("e1", send_trailers))
        await harness.start(NON_IDEMPOTENT)
        sink = await harness.request("q1")
        assert (sink.body, sink.signatures()) == (b"ok", [b"e1.q1"])
        harness.stop()

    run_bounded(test)


def test_interim_response_is_not_taken_for_the_final_one() -> None:
    async def send_interim_first(request: EndpointRequest) -> None:
        request.send(
            b"HTTP/1.1 103 Early Hints\r\nResponse-Signature: early\r\n\r\n" + request.answer(b"final")
        )

    async def test() -> None:
        harness = AdmissionHarness(ScriptedEndpoint("e1", send_interim_first))
        await harness.start(NON_IDEMPOTENT)
        sink = await harness.request("q1")
        assert (sink.body, sink.signatures()) == (b"final", [b"e1.q1"])
        harness.stop()

    run_bounded(test)


@pytest.mark.parametrize("stray", ["other id", "no id", "no id, failure", "no id, not executed"])
def test_late_second_response_is_not_taken_for_the_next_requests_response(stray: str) -> None:
    """The stray response arrives after the next request was written to the connection."""
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
        harness = AdmissionHarness(ScriptedEndpoint("e1", script), ScriptedEndpoint("e2", script))
        await harness.start(NON_IDEMPOTENT)
        assert (await harness.request("q0")).body == b"first"
        used = next(e for e in harness.endpoints if e.requests)
        harness.admission.update_endpoints([used.record])  # so that the next request reuses its connection
        sink = await harness.request("q1")
        assert sink.body != b"stray"
        assert sink.refusal is ErrorKind.FAILED
        assert harness.run_count("q1") == 1
        assert used.connection_count == 1
        harness.stop()

    run_bounded(test)


def test_error_without_an_id_on_a_new_connection_is_forwarded() -> None:
    async def script(request: EndpointRequest) -> None:
        request.send(request.answer(b"bad", status=400, Request_Id=""))

    async def test() -> None:
        harness = AdmissionHarness(ScriptedEndpoint("e1", script))
        await harness.start(NON_IDEMPOTENT)
        assert (await harness.request("q1")).status == 400
        harness.stop()

    run_bounded(test)


async def reset_connection(request: EndpointRequest) -> None:
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


@pytest.mark.parametrize(
    "script", [reset_connection, reset_in_headers, reset_in_body, send_invalid_http, answer_500]
)
def test_non_idempotent_request_reaches_one_endpoint_whatever_it_does(script: Script) -> None:
    async def test() -> None:
        harness = AdmissionHarness(ScriptedEndpoint("e1", script), ScriptedEndpoint("e2", script))
        await harness.start(NON_IDEMPOTENT)
        for number in range(6):
            sink = await harness.request(f"q{number}")
            assert harness.run_count(f"q{number}") == 1
            # Neither outcome guarantees that the request has not run.
            assert sink.refusal is ErrorKind.FAILED or sink.status == 500
            assert sink.end_count == 1
        harness.stop()

    run_bounded(test)


def test_non_idempotent_request_is_not_retried_if_its_endpoint_never_answers() -> None:
    async def test() -> None:
        harness = AdmissionHarness(ScriptedEndpoint("e1", never_answer), ScriptedEndpoint("e2", never_answer))
        await harness.start(make_route("non_idempotent", timeout_ms=300.0))
        sink = await harness.request("q1")
        assert sink.refusal is ErrorKind.UNCERTAIN
        assert harness.run_count("q1") == 1
        harness.stop()

    run_bounded(test)


def test_response_at_the_deadline_gives_one_end() -> None:
    """The endpoint responds as the deadline passes, in either order; nothing is retried."""

    async def respond_late(request: EndpointRequest) -> None:
        await asyncio.sleep(0.15)
        request.send(request.answer())

    async def test() -> None:
        harness = AdmissionHarness(ScriptedEndpoint("e1", respond_late), ScriptedEndpoint("e2", respond_late))
        await harness.start(make_route("non_idempotent", timeout_ms=150.0))
        for number in range(10):
            sink = await harness.request(f"q{number}")
            assert sink.end_count == 1
            assert harness.run_count(f"q{number}") == 1
            assert sink.body == b"ok" or sink.refusal is ErrorKind.UNCERTAIN
        harness.stop()

    run_bounded(test)


@pytest.mark.parametrize(("status", "fields"), [(503, {"Not_Executed": "full"}), (421, {})])
def test_request_that_was_not_executed_is_retried_on_another_endpoint(
    status: int, fields: dict[str, str]
) -> None:
    async def reject(request: EndpointRequest) -> None:
        request.send(request.answer(b"", status=status, Response_Signature="", **fields))

    async def test() -> None:
        harness = AdmissionHarness(ScriptedEndpoint("e1", reject), ScriptedEndpoint("e2", answer_ok))
        await harness.start(NON_IDEMPOTENT)
        for number in range(6):
            sink = await harness.request(f"q{number}")
            assert sink.body == b"ok" or sink.refusal is ErrorKind.NOT_READY
            assert harness.endpoints[1].requests.count(f"q{number}") <= 1
        assert harness.endpoints[1].requests
        harness.stop()

    run_bounded(test)


def test_request_is_not_retried_if_its_reused_connection_closes_after_it_was_written() -> None:
    """The endpoint reads the request and closes: the sender can't tell this from an idle close before it."""

    async def script(request: EndpointRequest) -> None:
        if request.id.startswith("first"):
            request.send(request.answer(b"first", Keep_Alive="timeout=60"))
        else:
            request.writer.close()

    async def test() -> None:
        harness = AdmissionHarness(ScriptedEndpoint("e1", script), ScriptedEndpoint("e2", script))
        await harness.start(NON_IDEMPOTENT)
        for number in range(6):
            await harness.request(f"first{number}")
            sink = await harness.request(f"q{number}")
            assert sink.refusal is ErrorKind.FAILED
            assert harness.run_count(f"q{number}") == 1
        harness.stop()

    run_bounded(test)


def test_idle_connection_closed_by_the_endpoint_is_not_reused() -> None:
    """The kernel has the close, but the event loop has not processed it when the next request is sent."""

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
        harness = AdmissionHarness(ScriptedEndpoint("e1", script))
        await harness.start(NON_IDEMPOTENT)
        await harness.request("q0")
        sock = closer[0].get_extra_info("socket")
        sock.shutdown(2)  # the event loop does not run between this and the next request
        sink = await harness.request("q1")
        assert sink.body == b"ok"
        assert harness.run_count("q1") == 1
        harness.stop()

    run_bounded(test)


def test_stream_that_is_not_resumable_is_not_resumed_elsewhere() -> None:
    async def truncated(request: EndpointRequest) -> None:
        head = request.answer(b"", Content_Type=STREAM).replace(
            b"Content-Length: 0", b"Transfer-Encoding: chunked"
        )
        request.send(head + b"10\r\nid: 0\ndata: a\n\n\r\n"[: 5 + 16])
        await request.writer.drain()
        request.reset()

    async def test() -> None:
        harness = AdmissionHarness(ScriptedEndpoint("e1", truncated), ScriptedEndpoint("e2", truncated))
        await harness.start(make_route("streaming"))
        for number in range(4):
            sink = await harness.request(f"q{number}")
            assert not sink.complete
            assert harness.run_count(f"q{number}") == 1
        harness.stop()

    run_bounded(test)


class RecordingAsker:
    """Implements `http1.ReplyHandler`; records the replies of an exchange and its end."""

    def __init__(self) -> None:
        self.replies: list[Reply] = []
        self.ended = asyncio.Event()

    def on_written(self) -> None:
        """Does nothing."""

    def on_reply(self, reply: Reply) -> None:
        self.replies.append(reply)
        self.ended.set()

    def on_broken(self, first: bool) -> None:
        self.ended.set()

    def on_unreachable(self) -> None:
        self.ended.set()


async def ask_pool(pool: ConnectionPool, name: str) -> RecordingAsker:
    asker = RecordingAsker()
    pool.send(f"POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: {name}\r\n\r\n".encode(), asker)
    await asker.ended.wait()
    return asker


@pytest.mark.parametrize("extra_size", [0, 1, 20, 60, 10_000])
def test_list_service_client_gives_a_second_response_to_no_other_caller(extra_size: int) -> None:
    """`http1.ClientConnection` must handle the fault `garble` with `how = extra` as the data plane does."""

    async def respond_twice(request: EndpointRequest) -> None:
        extra = request.answer(b"second", Response_Signature="other", Request_Id="another")
        request.send(request.answer(b"first") + extra[: extra_size or len(extra)])

    async def test() -> None:
        endpoint = ScriptedEndpoint("e1", respond_twice)
        await endpoint.start()
        host, port = endpoint.address.split(":")
        pool = ConnectionPool(host, int(port), LONG_S)
        for number in range(4):
            made = await ask_pool(pool, f"q{number}")
            assert [reply.body for reply in made.replies] == [b"first"]
            assert made.replies[0].headers[b"response-signature"] == f"e1.q{number}".encode()
            assert made.replies[0].headers[b"request-id"] == f"q{number}".encode()
            assert len(pool.idle) == len(set(pool.idle))
        pool.close()
        endpoint.stop()

    run_bounded(test)


def test_list_service_client_reuses_a_connection_after_complete_responses() -> None:
    async def test() -> None:
        endpoint = ScriptedEndpoint("e1", answer_ok)
        await endpoint.start()
        host, port = endpoint.address.split(":")
        pool = ConnectionPool(host, int(port), LONG_S)
        for number in range(4):
            made = await ask_pool(pool, f"q{number}")
            assert [reply.status for reply in made.replies] == [200]
        assert endpoint.connection_count == 1
        pool.close()
        endpoint.stop()

    run_bounded(test)


def test_pending_calls_get_a_response_when_the_process_exits() -> None:
    async def wait_forever(request: EndpointRequest) -> None:
        await asyncio.Event().wait()

    async def test() -> None:
        harness = AdmissionHarness(ScriptedEndpoint("e1", wait_forever))
        await harness.start(NON_IDEMPOTENT)
        sink = harness.send("q1")
        await harness.endpoints[0].request_received.wait()
        harness.admission.time_out_all()
        assert (sink.refusal, sink.end_count) == (ErrorKind.UNCERTAIN, 1)
        assert not harness.admission.busy
        harness.stop()

    run_bounded(test)
