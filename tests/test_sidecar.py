"""The sidecar over loopback sockets: what callers and endpoints receive, and what they never may."""

from __future__ import annotations

import asyncio
import gc
import io
import json
import logging
import signal
import socket
import time
from pathlib import Path
from typing import Any

import pytest
import structlog
from structlog.testing import capture_logs

from eiderhub.address import Address
from eiderhub.interface import ListForm, Outcome, Readiness
from eiderhub.sidecar import caller as calling
from eiderhub.sidecar import discovery, server, upstream
from eiderhub.sidecar import host as hosting
from eiderhub.sidecar import process as program
from eiderhub.sidecar.bodies import Source
from eiderhub.sidecar.clock import Alarm, now_us
from eiderhub.sidecar.config import load
from eiderhub.sidecar.discovery import parse_endpoint_list
from eiderhub.sidecar.host import Request
from eiderhub.sidecar.lifecycle import Intake
from eiderhub.sidecar.logs import Form, RateLimiter, configure
from eiderhub.sidecar.metrics import RequestMetrics
from eiderhub.sidecar.upstream import Attempt, Receiver, Response, Upstream
from tests.sidecar_support import (
    LONG_S,
    SETUP,
    Client,
    FakeServer,
    Sidecar,
    discovery_response,
    instance_entry,
    next_request_at_any,
    run,
    start_process,
)


class InProcessCaller:
    """A caller in the test process; records the statuses of its answers."""

    def __init__(self) -> None:
        self.statuses: asyncio.Queue[int] = asyncio.Queue()

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.statuses.put_nowait(status)

    def start_streaming(self, head: Response, source: Source) -> Receiver:
        raise AssertionError("no streamed answer is expected here")

    finish = abort_answer = lambda self: None

    def has_disconnected(self) -> bool:
        return False


def request_from(caller: InProcessCaller, class_name: str = "pay") -> Request:
    """Build a request as the server passes it to the host, which appends the deadline to its head."""
    head = b"POST /pay HTTP/1.1\r\nHost: e\r\nReq-Id: d1\r\nContent-Length: 0\r\n"
    return Request(caller, class_name, "acme", None, now_us(), 2_000_000, head, b"")


# --- forwarding ---


def test_request_and_answer_are_forwarded_unchanged() -> None:
    # All times are longer than any pause of this process: the attempt must not end before it is answered.
    long_us = int(LONG_S * 1e6)
    times = {"AimUs": long_us, "DeadlineUs": long_us, "DedupWindowUs": 2 * long_us}
    categories = [{**each, **times} if each["Name"] == "hold" else each for each in SETUP["Categories"]]

    async def test() -> None:
        async with Sidecar(Categories=categories) as sidecar:
            client = await sidecar.client()
            sent_us = now_us()
            client.send("hold", deadline_ms=60_000, body=b"\x00\x01two", request_id="00aa")
            received = await sidecar.endpoints[0].next_request()
            elapsed_ms = (now_us() - sent_us) / 1000
            assert received.message.start_line == "POST /hold/a?b=1 HTTP/1.1"
            assert received.message.headers["host"] == "service.internal"
            assert received.message.headers["req-id"] == "00aa"
            assert received.message.headers["idempotency-key"] == "k1"
            remaining_ms = int(received.message.headers["req-deadline-ms"])  # 40 ms are kept for the answer
            assert 59_960 - elapsed_ms - 1 <= remaining_ms <= 59_960
            assert received.message.body == b"\x00\x01two"
            received.reply(200, b"\x00answer", "Content-Type: a/b")
            answer = await client.read_answer()
            assert (answer.status, answer.body) == (200, b"\x00answer")
            assert answer.headers["content-type"] == "a/b"

    run(test())


def test_connections_to_endpoints_are_reused() -> None:
    """Guards against a new connection for each attempt, which cost a fifth of the result."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            for _ in range(3):
                client.send()
                received = await sidecar.endpoints[0].next_request()
                received.reply()
                assert (await client.read_answer()).status == 200
            assert sidecar.endpoints[0].connections == 1

    run(test())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            for i in range(3):
                client.send(body=b"%d" % i)
            for _ in range(3):
                received = await sidecar.endpoints[0].next_request()
                received.reply(200, received.message.body)
            assert [(await client.read_answer()).body for _ in range(3)] == [b"0", b"1", b"2"]

    run(test())


def test_pipelined_request_is_answered_while_draining() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(body=b"0")
            client.send(body=b"1")
            received = await sidecar.endpoints[0].next_request()
            sidecar.server.intake = Intake.LAST
            received.reply(200, received.message.body)
            received = await sidecar.endpoints[0].next_request()
            received.reply(200, received.message.body)
            assert [(await client.read_answer()).body for _ in range(2)] == [b"0", b"1"]
            assert await client.reader.read() == b""

    run(test())


def test_upgrade_is_ignored_and_request_gets_one_answer() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send("look", Connection="Upgrade", Upgrade="websocket")
            received = await sidecar.endpoints[0].next_request()
            assert "upgrade" not in received.message.headers
            received.reply()
            answer = await client.read_answer()
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            assert await client.reader.read() == b""

    run(test())


# --- outcomes of attempts ---


async def send_one_request(sidecar: Sidecar, class_name: str = "pay") -> Any:
    """Send one request; return it as it arrived at an endpoint, and the client."""
    client = await sidecar.client()
    client.send(class_name)
    return await next_request_at_any(sidecar), client


@pytest.mark.parametrize("status", [500, 503, 504, 429, 404])
def test_error_after_which_unsafe_request_may_have_run_gives_502_without_retry(status: int) -> None:
    """Rule 2: an endpoint's own 503 must not reach the client, which would take it that a retry is safe."""

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            received, client = await send_one_request(sidecar)
            received.reply(status, b"")
            assert (await client.read_answer()).status == 502
            assert all(fake.requests.empty() for fake in sidecar.endpoints)

    run(test())


@pytest.mark.parametrize("status", [503, 504])
def test_declined_request_is_retried_at_another_endpoint(status: int) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            received, client = await send_one_request(sidecar)
            received.reply(status, b"", "Srv-Declined: 1")
            (await next_request_at_any(sidecar)).reply()
            assert (await client.read_answer()).status == 200

    run(test())


def test_request_with_refused_connection_is_retried_at_another_endpoint() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            sidecar.endpoints[0].server.close()
            await sidecar.endpoints[0].server.wait_closed()
            for _ in range(8):  # each goes to an endpoint chosen at random
                client = await sidecar.client()
                client.send()
                (await sidecar.endpoints[1].next_request()).reply()
                assert (await client.read_answer()).status == 200

    run(test())


@pytest.mark.parametrize("sent", ["nothing", "head", "body"])
def test_truncated_answer_to_unsafe_request_gives_502_without_retry(sent: str) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            received, client = await send_one_request(sidecar)
            if sent != "nothing":
                received.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n")
            if sent == "body":
                received.writer.write(b"\r\nhalf")
            received.writer.close()
            assert (await client.read_answer()).status == 502
            assert all(fake.requests.empty() for fake in sidecar.endpoints)

    run(test())


def test_silent_endpoint_times_out_and_its_late_answer_is_discarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        monkeypatch.setattr(hosting, "ANSWER_MARGIN_US", 1_800_000)  # leaves enough time on a slow machine
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            started_s = time.monotonic()
            client.send(deadline_ms=2000)
            received = await sidecar.endpoints[0].next_request()
            answer = await client.read_answer()
            assert answer.status == 504
            assert time.monotonic() - started_s < 1.5
            received.reply(200, b"late")
            client.send(deadline_ms=8000)
            fresh = await sidecar.endpoints[0].next_request()
            assert fresh.connection != received.connection
            fresh.reply(200, b"fresh")
            assert (await client.read_answer()).body == b"fresh"

    run(test())


def test_reset_counts_as_failed_connect_only_before_the_last_byte_is_sent() -> None:
    async def test() -> None:
        for size, expected in ((16 << 20, Outcome.CONNECT_FAILED), (16, Outcome.RESET)):
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            ended: asyncio.Queue[Outcome] = asyncio.Queue()
            upstream = Upstream(0, int(LONG_S * 1e6), 4, RequestMetrics(()))
            upstream.set_endpoint("e", "127.0.0.1", listener.getsockname()[1], 0)

            def on_end(
                _: Attempt, outcome: Outcome, __: Response | None, ended: asyncio.Queue[Outcome] = ended
            ) -> None:
                ended.put_nowait(outcome)

            upstream.send(Attempt(0, "e", lambda *_, size=size: b"x" * size, on_end))
            peer, _ = await asyncio.get_running_loop().sock_accept(listener)
            assert await asyncio.get_running_loop().sock_recv(peer, 16)  # the first bytes have arrived
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            peer.close()
            assert await ended.get() is expected
            assert upstream.open_connections == 0
            listener.close()

    run(test())


def test_connect_without_response_times_out() -> None:
    async def test() -> None:
        full = socket.create_server(("127.0.0.1", 0), backlog=0)
        fillers = [socket.socket() for _ in range(3)]
        for filler in fillers:  # fill the backlog, so that the next handshake gets no answer
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        upstream = Upstream(0, 100_000, 4, RequestMetrics(()))
        upstream.set_endpoint("e", "127.0.0.1", full.getsockname()[1], 0)
        ended: asyncio.Queue[Outcome] = asyncio.Queue()
        upstream.send(Attempt(0, "e", lambda *_: b"x", lambda _, outcome, __: ended.put_nowait(outcome)))
        assert await ended.get() is Outcome.CONNECT_FAILED
        for sock in (full, *fillers):
            sock.close()

    run(test())


def test_closed_idle_connection_is_not_reused() -> None:
    """The close may be unread in the kernel while the event loop runs a callback.

    A request sent on the connection would end in a reset after which it may have run.
    """

    async def test() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        loop = asyncio.get_running_loop()
        upstream = Upstream(0, 1_000_000, 4, RequestMetrics(()))
        upstream.set_endpoint("e", "127.0.0.1", listener.getsockname()[1], 0)
        ended: asyncio.Queue[Outcome] = asyncio.Queue()

        def send() -> None:
            upstream.send(Attempt(0, "e", lambda *_: b"x", lambda _, outcome, __: ended.put_nowait(outcome)))

        async def serve() -> socket.socket:
            peer, _ = await loop.sock_accept(listener)
            await loop.sock_recv(peer, 16)
            await loop.sock_sendall(peer, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return peer

        send()
        peer = await serve()
        assert await ended.get() is Outcome.OK
        peer.close()
        send()  # without an iteration of the event loop in between
        (await serve()).close()
        assert await ended.get() is Outcome.OK
        listener.close()

    run(test())


def test_idle_connections_are_closed_before_the_endpoint_closes_them() -> None:
    async def test() -> None:
        async with Sidecar(Allowed={**SETUP["Allowed"], "ConnIdleUs": 300_000}) as sidecar:
            client = await sidecar.client()
            client.send()
            (await sidecar.endpoints[0].next_request()).reply()
            await client.read_answer()
            assert await sidecar.endpoints[0].disconnects.get() == 0
            assert sidecar.host.upstream.open_connections == 0

    run(test())


def test_connections_to_endpoints_stay_within_their_limit() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2, sockets=2) as sidecar:  # allows one connection in total
            client = await sidecar.client()
            reached: set[int] = set()
            while len(reached) < 2:
                client.send()
                received = await next_request_at_any(sidecar)
                received.reply()
                await client.read_answer()
                reached.add(next(i for i, f in enumerate(sidecar.endpoints) if received.writer in f.writers))
                assert sidecar.host.upstream.open_connections == 1

    run(test())


# --- callers ---


def test_client_disconnect_cancels_the_attempt() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(deadline_ms=3_000_000)  # so that no attempt times out during the test
            await sidecar.endpoints[0].next_request()
            client.writer.close()
            assert await sidecar.endpoints[0].disconnects.get() == 0
            assert not sidecar.host.requests
            assert not sidecar.host.balancer.calls

    run(test())


def test_rejection_comes_before_the_deadline_and_has_retry_after() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=0) as sidecar:
            started_s = time.monotonic()
            answer = await (await sidecar.client()).send_and_read("look", deadline_ms=3000)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert time.monotonic() - started_s < 2.0

    run(test())


HEAD = "POST /pay HTTP/1.1\r\nHost: a\r\n"
BAD_INPUT = [
    ("malformed", "nonsense\r\n\r\n", 400, True),
    ("long headers", HEAD + "A: " + "x" * 20_000 + "\r\n\r\n", 431, True),
    ("long body", HEAD + "Req-Id: 1\r\nContent-Length: 40000000\r\n\r\n" + "x" * 4_000_000, 413, True),
    ("unknown path", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 404, False),
    ("unknown class", "GET /stare HTTP/1.1\r\nHost: a\r\n\r\n", 404, False),
]


@pytest.mark.parametrize(
    ("raw", "status", "closes"), [b[1:] for b in BAD_INPUT], ids=[b[0] for b in BAD_INPUT]
)
def test_bad_input_gets_an_error_and_is_not_forwarded(raw: str, status: int, closes: bool) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.writer.write(raw.encode())
            assert (await client.read_answer()).status == status
            if closes:
                assert await client.reader.read() == b""
            else:
                client.send()
                (await sidecar.endpoints[0].next_request()).reply()
                assert (await client.read_answer()).status == 200
            assert sidecar.host.last_serial == (0 if closes else 1)
            assert sidecar.endpoints[0].requests.empty()

    run(test())


def test_incomplete_request_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(calling, "READ_TIMEOUT_S", 0.05)
        monkeypatch.setattr(server, "TIMEOUT_CHECK_INTERVAL_S", 0.02)
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            assert await ready(client) == 200
            watch = asyncio.create_task(sidecar.server.watch_timeouts())
            client.writer.write(HEAD.encode())
            assert (await client.read_answer()).status == 408
            assert await client.reader.read() == b""
            watch.cancel()

    run(test())


@pytest.mark.parametrize(
    ("class_name", "changes", "status"),
    [
        ("pay", {"Req_Id": ""}, 400),
        ("pay", {"Req_Id": "a b"}, 400),
        ("pay", {"Req_Deadline_Ms": ""}, 400),
        ("pay", {"Req_Deadline_Ms": "-5"}, 400),
        ("pay", {"Req_Deadline_Ms": "soon"}, 400),
        ("pay", {"Req_Deadline_Ms": "9" * 30}, 400),
        ("pay", {"Req_Owner": ""}, 400),
        ("pay", {"Req_Owner": "stranger"}, 400),
        ("pay", {"Req_Cost": "much"}, 400),
        ("pay", {"Req_Retry": "yes"}, 400),
        ("hold", {"Idempotency_Key": ""}, 400),
    ],
)
def test_bad_headers_get_an_error_and_are_not_forwarded(
    class_name: str, changes: dict[str, str], status: int
) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            assert (await client.send_and_read(class_name, **changes)).status == status
            assert sidecar.host.last_serial == 0
            assert sidecar.endpoints[0].connections == 0

    run(test())


def test_method_must_match_the_request_class() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.writer.write(
                b"GET /pay HTTP/1.1\r\nReq-Id: 1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 9\r\n\r\n"
            )
            assert (await client.read_answer()).status == 405
            assert sidecar.host.last_serial == 0

    run(test())


def test_id_of_a_pending_request_is_rejected() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            first, second = await sidecar.client(), await sidecar.client()
            first.send(request_id="0a")
            received = await sidecar.endpoints[0].next_request()
            assert (await second.send_and_read(request_id="0a")).status == 409
            received.reply()
            assert (await first.read_answer()).status == 200
            second.send(request_id="0a")
            (await sidecar.endpoints[0].next_request()).reply()
            assert (await second.read_answer()).status == 200

    run(test())


def test_caller_that_sends_nothing_is_closed_and_one_that_sent_a_request_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """TERMS: a caller that sends no request must be closed within 3 s.

    Guards against such callers keeping their connections, which count towards the limit.
    """
    assert calling.READ_TIMEOUT_S + server.TIMEOUT_CHECK_INTERVAL_S < 3.0

    async def test() -> None:
        monkeypatch.setattr(calling, "READ_TIMEOUT_S", 0.3)
        monkeypatch.setattr(server, "TIMEOUT_CHECK_INTERVAL_S", 0.01)
        async with Sidecar() as sidecar:
            kept = await sidecar.client()
            kept.send()
            (await sidecar.endpoints[0].next_request()).reply()
            assert (await kept.read_answer()).status == 200
            silent = await sidecar.client()
            watch = asyncio.create_task(sidecar.server.watch_timeouts())
            assert await silent.reader.read() == b""
            monkeypatch.setattr(calling, "READ_TIMEOUT_S", 10.0)
            kept.send()
            (await sidecar.endpoints[0].next_request()).reply()
            assert (await kept.read_answer()).status == 200
            watch.cancel()

    run(test())


def test_callers_over_the_limit_replace_idle_ones_and_get_503_while_all_are_busy() -> None:
    async def test() -> None:
        async with Sidecar(max_callers=1) as sidecar:
            idle = await sidecar.client()
            await ready(idle)
            busy = await sidecar.client()
            assert await idle.reader.read() == b""
            busy.send()
            received = await sidecar.endpoints[0].next_request()
            extra = await sidecar.client()
            answer = await extra.send_and_read()
            assert (answer.status, answer.headers["connection"]) == (503, "close")
            received.reply()
            assert (await busy.read_answer()).status == 200

    run(test())


def test_idle_callers_are_closed_in_favour_of_those_with_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against refusing hundreds of callers while most connections are idle."""
    monkeypatch.setattr(server, "FIRST_REQUEST_GRACE_S", 0.0)

    async def test() -> None:
        async with Sidecar(max_callers=4) as sidecar:
            active = await sidecar.client()
            idle_clients = [await sidecar.client() for _ in range(3)]
            for client in idle_clients:
                assert await ready(client) == 200
            assert await ready(active) == 200  # served after them, so it is kept
            # Two connect within one iteration of the event loop and send requests.
            new_sockets = [socket.create_connection(("127.0.0.1", sidecar.port)) for _ in range(2)]
            for sock in new_sockets:
                sock.sendall(b"GET /look/a HTTP/1.1\r\nReq-Id: %d\r\n" % sock.fileno())
                sock.sendall(b"Req-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n\r\n")
            for _ in new_sockets:
                (await sidecar.endpoints[0].next_request()).reply()
            for sock in new_sockets:
                sock.setblocking(False)
                answer = await asyncio.get_running_loop().sock_recv(sock, 100)
                assert answer.startswith(b"HTTP/1.1 200 ")
            assert [await c.reader.read() for c in idle_clients[:2]] == [b"", b""]
            assert sidecar.host.figures.busy["look"] == 0
            incomplete = [await sidecar.client() for _ in range(20)]
            for client in incomplete:  # each sends an incomplete head
                client.writer.write(HEAD.encode())
            while sum(caller.receiving for caller in sidecar.server.callers) < 4:
                await asyncio.sleep(0.01)
            assert len(sidecar.server.callers) <= 4 + server.EXTRA_CONNECTIONS
            late = await sidecar.client()
            late.send("look")
            (await sidecar.endpoints[0].next_request()).reply()
            assert (await late.read_answer()).status == 200
            for sock in new_sockets:
                sock.close()

    run(test())


async def ready(client: Client) -> int:
    client.writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
    return (await client.read_answer()).status


# --- failures of the balancer ---


@pytest.mark.parametrize("event", ["order", "reply"])
def test_exception_in_the_balancer_fails_the_request_and_nothing_else(
    event: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    def broken(*_: Any) -> None:
        raise RuntimeError("broken on purpose")

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            with monkeypatch.context() as patch:
                patch.setattr(sidecar.host.balancer, event, broken)
                client.send()
                if event == "reply":
                    (await sidecar.endpoints[0].next_request()).reply(500)
                assert (await client.read_answer()).status == 500
            client.send()
            (await sidecar.endpoints[0].next_request()).reply()
            assert (await client.read_answer()).status == 200
            assert not sidecar.host.requests

    run(test())


def test_request_that_the_balancer_drops_is_answered_before_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            monkeypatch.setattr(hosting, "ANSWER_MARGIN_US", 1_800_000)
            monkeypatch.setattr(sidecar.host.balancer, "order", lambda *_: None)
            started_s = time.monotonic()
            assert (await (await sidecar.client()).send_and_read(deadline_ms=2000)).status == 504
            assert time.monotonic() - started_s < 1.5

    run(test())


# --- discovery ---


def test_configured_list_is_served_and_polls_continue_from_its_generation() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            assert await ready(await sidecar.client()) == 200
            received = await sidecar.discovery.next_request()
            assert received.message.start_line.startswith("GET /discovery/hosts?after=1&wait_ms=")
            received.reply(200, discovery_response(4, False))
            again = await sidecar.discovery.next_request()
            assert again.message.start_line.startswith("GET /discovery/hosts?after=4&")
            assert again.connection == received.connection

    run(test())


def test_not_ready_before_any_endpoint_is_known() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=0) as sidecar:
            fake = await FakeServer().start()
            client = await sidecar.client()
            assert await ready(client) == 503
            (await sidecar.discovery.next_request()).reply(
                200, discovery_response(2, True, instance_entry("s-9", fake.address))
            )
            await sidecar.discovery.next_request()
            assert await ready(client) == 200

    run(test())


@pytest.mark.parametrize("bad", ["503", "reset", "no list"])
def test_failed_poll_keeps_the_list_and_is_retried(bad: str) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            received = await sidecar.discovery.next_request()
            if bad == "503":
                received.reply(503, b"")
            elif bad == "reset":
                received.reset()
            else:
                received.reply(200, b'{"instances": [{}]}')
            started_s = time.monotonic()
            again = await sidecar.discovery.next_request()
            assert time.monotonic() - started_s > 0.2  # not in a tight loop
            assert again.message.start_line.startswith("GET /discovery/hosts?after=1&")
            client = await sidecar.client()
            client.send()
            (await sidecar.endpoints[0].next_request()).reply()
            assert (await client.read_answer()).status == 200

    run(test())


def test_poll_without_response_is_retried_before_a_change_counts_as_announced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against missed changes: in a large fleet, a third of the sidecars never learned of a release."""
    monkeypatch.setattr(discovery, "RESPONSE_GRACE_S", 0.05)

    async def test() -> None:
        async with Sidecar(Rules={"AskEveryUs": 200_000}) as sidecar:
            first = await sidecar.discovery.next_request()
            assert "wait_ms=0 " in first.message.start_line  # the first poll asks for the present list
            first.reply(200, discovery_response(1, False))
            silent = await sidecar.discovery.next_request()
            assert 80 <= int(silent.message.start_line.split("wait_ms=")[1].split(" ")[0]) <= 100
            again = await sidecar.discovery.next_request()
            assert again.connection != silent.connection
            assert again.message.start_line.startswith("GET /discovery/hosts?after=1&")

    run(test())


@pytest.mark.parametrize("end", ["stalls", "breaks off"])
def test_incomplete_list_is_not_applied_and_is_requested_again(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery, "READ_GAP_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with Sidecar(endpoints=2, Rules={"AskEveryUs": 60_000_000}) as sidecar:
            received = await sidecar.discovery.next_request()
            body = discovery_response(2, True, instance_entry("s-0", sidecar.endpoints[0].address))
            received.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            received.writer.write(body[:-1])
            if end == "breaks off":
                received.writer.close()
            again = await sidecar.discovery.next_request()  # long before the requested wait is over
            assert again.message.start_line.startswith("GET /discovery/hosts?after=1&")
            assert again.connection != received.connection
            assert sidecar.host.listed_endpoints == {"s-0", "s-1"}
            again.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            monkeypatch.setattr(discovery, "READ_GAP_TIMEOUT_S", 5.0)
            for part in (body[:10], body[10:20], body[20:]):  # a slow response that keeps arriving
                again.writer.write(part)
                await asyncio.sleep(0.02)
            await sidecar.discovery.next_request()
            assert sidecar.host.listed_endpoints == {"s-0"}

    run(test())


def test_pushed_lists_are_polled_without_a_request_by_the_balancer() -> None:
    async def test() -> None:
        async with Sidecar(Discovery="push") as sidecar:
            (await sidecar.discovery.next_request()).reply(503, b"")
            (await sidecar.discovery.next_request()).reply(200, discovery_response(2, False))
            assert (await sidecar.discovery.next_request()).message.start_line.startswith(
                "GET /discovery/hosts?after=2&"
            )

    run(test())


@pytest.mark.parametrize("reset", [True, False])
def test_draining_or_removed_endpoint_gets_no_new_requests(reset: bool) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            remaining, leaving = sidecar.endpoints
            entries = (
                [instance_entry("s-0", remaining.address)]
                if reset
                else [instance_entry("s-1", leaving.address, "draining")]
            )
            (await sidecar.discovery.next_request()).reply(200, discovery_response(2, reset, *entries))
            await sidecar.discovery.next_request()
            for _ in range(8):
                client = await sidecar.client()
                client.send()
                (await remaining.next_request()).reply()
                assert (await client.read_answer()).status == 200
            assert leaving.connections == 0

    run(test())


@pytest.mark.parametrize("reset", [True, False])
def test_idle_connections_to_a_removed_endpoint_are_closed(reset: bool) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            (await sidecar.endpoints[0].next_request()).reply()
            await client.read_answer()
            started_s = time.monotonic()
            entries = [] if reset else [instance_entry("s-0", sidecar.endpoints[0].address, "gone")]
            (await sidecar.discovery.next_request()).reply(200, discovery_response(2, reset, *entries))
            assert await sidecar.endpoints[0].disconnects.get() == 0
            assert time.monotonic() - started_s < 2.0  # long before it would have been closed as idle

    run(test())


def test_endpoint_that_drains_during_connect_gets_no_request() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            caller = InProcessCaller()
            sidecar.host.accept_request(request_from(caller))
            listed = parse_endpoint_list(
                discovery_response(2, False, instance_entry("s-0", "127.0.0.1:1", "draining"))
            )
            sidecar.host.on_list(ListForm.DELTA, listed.entries)
            assert await caller.statuses.get() == 503
            assert sidecar.endpoints[0].requests.empty()

    run(test())


def test_start_time_of_an_endpoint_is_on_the_monotonic_clock() -> None:
    started_ms = time.time_ns() // 1_000_000 - 2000
    document = discovery_response(1, True, instance_entry("s-0", "127.0.0.1:80", started_ms=started_ms))
    first, second = (parse_endpoint_list(document).entries[0].endpoint for _ in range(2))
    assert first.launched_us == second.launched_us  # a change would look like another restart
    assert abs(now_us() - first.launched_us - 2_000_000) < 1_000_000
    assert first.readiness is Readiness.READY
    long_ago = discovery_response(1, True, instance_entry("s-0", "127.0.0.1:80"))
    assert parse_endpoint_list(long_ago).entries[0].endpoint.launched_us == 0


def test_alarms_never_fire_early() -> None:
    async def test() -> None:
        delays_us: asyncio.Queue[int] = asyncio.Queue()
        for i in range(200):
            due = now_us() + 137 * i
            Alarm(due, lambda due=due: delays_us.put_nowait(now_us() - due))  # type: ignore[misc]
        assert min([await delays_us.get() for _ in range(200)]) >= 0

    run(test())


def test_event_loop_lag_is_logged(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(program, "LAG_SAMPLE_INTERVAL_S", 0.01)
        monkeypatch.setattr(program, "LAG_LOG_INTERVAL_S", 0.02)
        watch = asyncio.create_task(program.watch_lag())
        await asyncio.sleep(0)
        time.sleep(0.1)  # blocks the loop, as a slow handler would
        while not logs:
            await asyncio.sleep(0.01)
        watch.cancel()
        assert logs[0]["event"] == "the event loop was late"
        assert logs[0]["most_ms"] >= 50

    with capture_logs() as logs:
        run(test())


def test_outcomes_of_attempts_are_logged(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            (await sidecar.endpoints[0].next_request()).reply()
            assert (await client.read_answer()).status == 200
            client.send()
            (await sidecar.endpoints[0].next_request()).reset()
            assert (await client.read_answer()).status == 502
            monkeypatch.setattr(upstream, "OUTCOME_LOG_INTERVAL_S", 0.01)
            report = asyncio.create_task(sidecar.host.upstream.log_outcomes())
            while not logs:
                await asyncio.sleep(0.01)
            report.cancel()
            assert logs[0]["event"] == "attempts"
            assert logs[0]["outcomes"] == {"broken reused": 1, "ok": 1, "opened": 1, "reset": 1}
            assert (logs[0]["connections"], logs[0]["idle"]) == (0, 0)

    with capture_logs() as logs:
        run(test())


def test_log_is_rate_limited_json_with_the_count_of_dropped_lines() -> None:
    second = iter([7.0] * 30 + [8.0])
    limiter = RateLimiter(20, lambda: next(second))
    stream = io.StringIO()
    try:
        configure({"name": "n0", "tier": "one"}, Form.JSON, stream=stream)
        structlog.configure(processors=[limiter, *structlog.get_config()["processors"][1:]])
        for i in range(31):
            structlog.get_logger().info("line", number=i)
    finally:
        structlog.reset_defaults()
        logging.basicConfig(force=True)
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["number"] for line in lines] == [*range(20), 30]
    assert lines[-1]["lines_dropped"] == 10
    assert all((line["name"], line["tier"], line["level"]) == ("n0", "one", "info") for line in lines)


def test_finished_requests_and_connections_are_freed_without_garbage_collection() -> None:
    """Guards against reference cycles.

    They made memory grow during a run of five minutes, in which the oldest generation is never collected.
    """

    def alive() -> int:
        kinds = (calling.CallerConnection, upstream.Connection, Request)
        return sum(type(o) in kinds for o in gc.get_objects())

    async def test() -> None:
        async with Sidecar() as sidecar:
            await sidecar.discovery.next_request()
            gc.collect()
            before = alive()
            for _ in range(3):
                client = await sidecar.client()
                client.send()
                received = await sidecar.endpoints[0].next_request()
                assert alive() >= before + 3  # the caller's connection, its request and the endpoint's
                received.reply(200, b"done", "Connection: close")
                assert (await client.read_answer()).status == 200
                client.writer.close()
            while alive() > before:
                await asyncio.sleep(0.01)

    gc.disable()
    try:
        run(test())
    finally:
        gc.enable()


def test_callers_may_use_open_connections_for_a_while_after_sigterm(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against refusing callers as soon as a rolling restart begins.

    They had no other sidecar then, and a third of them failed.
    """

    async def test() -> None:
        monkeypatch.setattr(program, "DRAIN_MARGIN_S", 1000.0)
        async with Sidecar() as sidecar:
            open_client = await sidecar.client()
            assert await ready(open_client) == 200
            drain = asyncio.create_task(program.drain(sidecar.server.lifecycle, sidecar.server, sidecar.host))
            while await ready(open_client) == 200:
                pass
            for _ in range(2):
                open_client.send()
                (await sidecar.endpoints[0].next_request()).reply()
                answer = await open_client.read_answer()
                assert (answer.status, "connection" in answer.headers) == (200, False)
            drain.cancel()

    run(test())


# --- the process ---


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"settings": {}}, "settings.Categories: missing"),
        ({"settings": SETUP, "listen": "nowhere"}, "listen: must be an address:port"),
        ({"settings": SETUP, "seed": "xyz"}, "seed"),
        ({"settings": SETUP, "known": {"instances": 3}}, "known"),
        ({"settings": SETUP, "limits": {"sockets": 0}}, "limits.sockets"),
        ({"settings": SETUP, "limits": {"memory_mb": -1}}, "limits.memory_mb"),
        ({"settings": SETUP, "management": "nowhere"}, "management"),
    ],
)
def test_bad_configuration_exits_with_one_line_on_stderr(
    tmp_path: Path, changes: dict[str, Any], reason: str, status: int = 2
) -> None:
    process = start_process(tmp_path, changes)
    _, stderr = process.communicate(timeout=20)
    assert process.returncode == status
    assert len(stderr.splitlines()) == 1
    assert reason in stderr


@pytest.mark.parametrize("key", ["listen", "management"])
def test_address_in_use_exits_with_one_line_on_stderr(tmp_path: Path, key: str) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        test_bad_configuration_exits_with_one_line_on_stderr(
            tmp_path, {"settings": SETUP, key: address}, "address already in use", 1
        )


def test_variable_overrides_the_file_and_neither_means_no_listener(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    document = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1", "settings": SETUP}
    path.write_text(json.dumps(document), encoding="utf-8")
    assert load({"GW_CONFIG": str(path)}).management is None
    path.write_text(json.dumps({**document, "management": "127.0.0.1:3"}), encoding="utf-8")
    assert load({"GW_CONFIG": str(path)}).management == Address("127.0.0.1", 3)
    overridden = load({"GW_CONFIG": str(path), "GW_MANAGEMENT": "127.0.0.1:4"})
    assert overridden.management == Address("127.0.0.1", 4)


def test_sigterm_answers_pending_requests_still_accepts_and_exits_with_0(tmp_path: Path) -> None:
    async def test() -> None:
        fake = await FakeServer().start()
        with socket.create_server(("127.0.0.1", 0)) as free:
            address = free.getsockname()
        known = json.loads(discovery_response(1, True, instance_entry("s-0", fake.address)))
        process = start_process(
            tmp_path, {"listen": f"127.0.0.1:{address[1]}", "settings": SETUP, "known": known}
        )
        try:
            assert process.stderr is not None
            while '"serves"' not in await asyncio.to_thread(process.stderr.readline):
                pass
            idle, busy = [Client(*await asyncio.open_connection(*address)) for _ in range(2)]
            assert await ready(idle) == 200
            busy.send()
            received = await fake.next_request()
            process.send_signal(signal.SIGTERM)
            late = Client(*await asyncio.open_connection(*address))
            late.send()
            (await fake.next_request()).reply()
            assert (await late.read_answer()).status == 200
            received.reply()
            assert (await busy.read_answer()).status == 200
            for client in (idle, busy, late):
                assert await client.reader.read() == b""
            assert await asyncio.to_thread(process.wait) == 0
        finally:
            process.kill()
            process.communicate()

    run(test())


def test_sighup_moves_polls_to_the_new_address_without_ending_the_process(tmp_path: Path) -> None:
    """TERMS: a reload may change the discovery address; a sidecar that exits on the signal has crashed."""

    async def test() -> None:
        before, after = await FakeServer().start(), await FakeServer().start()
        changes = {"settings": SETUP, "discovery": before.address}
        process = start_process(tmp_path, changes)
        try:
            assert process.stderr is not None
            (await before.next_request()).reply(
                200, discovery_response(40, True, instance_entry("s-0", "127.0.0.1:1"))
            )
            while '"serves"' not in await asyncio.to_thread(process.stderr.readline):
                pass
            received = await before.next_request()
            path = tmp_path / "config.json"
            valid_document = path.read_text(encoding="utf-8")
            path.write_text("{", encoding="utf-8")
            process.send_signal(signal.SIGHUP)
            while "was not reloaded" not in await asyncio.to_thread(process.stderr.readline):
                pass
            path.write_text(valid_document.replace(before.address, after.address), encoding="utf-8")
            received.reply(200, discovery_response(41, True, instance_entry("s-0", "127.0.0.1:1")))
            await before.next_request()
            process.send_signal(signal.SIGHUP)
            moved = await after.next_request()
            assert moved.message.start_line.startswith("GET /discovery/hosts?after=41&")
            assert await before.disconnects.get() == 0
            assert process.poll() is None
        finally:
            process.kill()
            process.communicate()

    run(test())
