"""Races between two events, on real sockets: the test delays one until the other is in a kernel buffer.

What a test writes with a plain `send` is in the kernel buffer before the event loop runs again, so the
sidecar acts without having read it. docs/crossings.md lists all races.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import select
import socket
from typing import Any

import pytest

from eiderhub.interface import ListForm, Outcome
from eiderhub.sidecar import caller as calling
from eiderhub.sidecar import lifecycle, upstream
from eiderhub.sidecar import process as program
from eiderhub.sidecar.caller import CallerConnection
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.discovery import parse_endpoint_list
from eiderhub.sidecar.lifecycle import Intake
from eiderhub.sidecar.metrics import RequestMetrics
from eiderhub.sidecar.upstream import Attempt, Upstream
from tests.sidecar_support import (
    SETUP,
    FakeServer,
    Sidecar,
    discovery_response,
    instance_entry,
    next_request_at_any,
    run,
    wait_until_settled,
)

ZERO_LINGER = b"\x01\0\0\0\0\0\0\0"  # SO_LINGER with a timeout of zero: close sends a reset


def http_request(
    number: int, class_name: str = "pay", body: bytes = b"x", *headers: str, deadline_ms: int = 60_000
) -> bytes:
    lines = [
        f"{'GET' if class_name == 'look' else 'POST'} /{class_name}/a HTTP/1.1",
        "Host: a",
        f"Req-Id: raw{number}",
    ]
    lines += ["Req-Owner: acme", f"Req-Deadline-Ms: {deadline_ms}", *headers]
    if class_name == "hold":
        lines.append("Idempotency-Key: k1")
    if class_name != "look":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body if class_name != "look" else b"")


class RawPeer:
    """A peer whose every byte the test sends and reads itself."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.sock.setblocking(False)

    @classmethod
    def connect(cls, sidecar: Sidecar, receive_bytes: int = 0) -> RawPeer:
        sock = socket.socket()
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.connect(("127.0.0.1", sidecar.port))
        return cls(sock)

    def send(self, data: bytes) -> None:
        """Put data into the kernel buffer at once, without running the event loop."""
        assert self.sock.send(data) == len(data)

    async def read(self, max_bytes: int = 1 << 16) -> bytes:
        return await asyncio.get_running_loop().sock_recv(self.sock, max_bytes)

    async def read_to_end(self) -> bytes:
        """Read up to end of stream; a reset raises."""
        data = b""
        while more := await self.read():
            data += more
        return data

    async def read_response(self) -> bytes:
        """Read one response with a Content-Length: its head and body."""
        data = b""
        while b"\r\n\r\n" not in data:
            data += await self._read_some()
        head, _, body = data.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        while len(body) < length:
            body += await self._read_some()
        return head + b"\r\n\r\n" + body

    async def _read_some(self) -> bytes:
        data = await self.read()
        if not data:
            raise EOFError
        return data

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        self.sock.close()


async def accepted_callers(sidecar: Sidecar, count: int = 1) -> list[CallerConnection]:
    """Wait until the sidecar has accepted `count` connections, and return its side of them."""
    while len(sidecar.server.callers) < count:
        await asyncio.sleep(0)
    return list(sidecar.server.callers)


async def wait_until(condition: Any) -> None:
    while not condition():
        await asyncio.sleep(0.001)


# --- closing a connection on which the caller is sending ---


def test_last_response_reaches_slow_caller_despite_unread_input() -> None:
    """Closing a socket with unread input resets it, which discards data the caller has not received yet."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = RawPeer.connect(sidecar, receive_bytes=4096)
            (caller,) = await accepted_callers(sidecar)
            client.send(http_request(1, "pay", b"x", "Connection: close"))
            asked = await sidecar.endpoints[0].next_request()
            caller.transport.pause_reading()  # later input stays in the kernel buffer
            client.send(http_request(2))
            asked.reply(200, b"a" * 60_000)
            await wait_until(lambda: caller.current is None)
            caller.transport.resume_reading()
            answer = await client.read_to_end()
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert answer.endswith(b"\r\n\r\n" + b"a" * 60_000)
            assert sidecar.host.last_serial == 1  # input after the last request is ignored

    run(test())


def test_request_in_kernel_buffer_when_idle_connection_closes_is_answered() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = RawPeer.connect(sidecar)
            await accepted_callers(sidecar)
            sidecar.server.intake = Intake.LAST
            client.send(http_request(1))
            sidecar.server.close_idle(0.0)  # the request has not been read yet
            (await sidecar.endpoints[0].next_request()).reply()
            answer = await client.read_to_end()
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert b"\r\nConnection: close\r\n" in answer

    run(test())


@pytest.mark.parametrize("closes", ["idle", "no request"])
def test_request_racing_with_close_gets_eof_and_is_not_forwarded(closes: str) -> None:
    """The caller retries such a request elsewhere: if it also ran here, it would run twice."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = RawPeer.connect(sidecar)
            (caller,) = await accepted_callers(sidecar)
            if closes == "idle":
                sidecar.server.close_idle(0.0)
            else:
                caller.check_timeouts(caller.read_deadline_us)
            client.send(http_request(1))
            assert await client.read_to_end() == b""  # end of stream, and no reset
            assert sidecar.host.last_serial == 0
            client.sock.close()
            await wait_until(lambda: not sidecar.server.callers)
            assert sidecar.endpoints[0].connections == 0

    run(test())


def test_caller_that_keeps_its_side_open_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(calling, "HALF_CLOSE_WAIT_S", 0.05)

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = RawPeer.connect(sidecar)
            await accepted_callers(sidecar)
            sidecar.server.close_idle(0.0)
            assert await client.read_to_end() == b""
            await wait_until(lambda: not sidecar.server.callers)

    run(test())


def test_caller_still_reading_last_response_is_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(calling, "HALF_CLOSE_WAIT_S", 0.02)

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = RawPeer.connect(sidecar, receive_bytes=4096)
            await accepted_callers(sidecar)
            client.send(http_request(1, "pay", b"x", "Connection: close"))
            (await sidecar.endpoints[0].next_request()).reply(200, b"a" * 60_000)
            await wait_until(lambda: not sidecar.host.requests)
            for _ in range(5):  # it sends without reading for longer than the timeout
                client.send(b"more")
                await asyncio.sleep(0.02)
            assert (await client.read_to_end()).endswith(b"a" * 60_000)

    run(test())


def test_eviction_skips_connection_with_request_in_kernel_buffer() -> None:
    async def test() -> None:
        async with Sidecar(max_callers=2) as sidecar:
            requesting, idle = RawPeer.connect(sidecar), RawPeer.connect(sidecar)
            first, second = await accepted_callers(sidecar, 2)
            if first.transport.get_extra_info("peername") != requesting.sock.getsockname():
                requesting, idle = idle, requesting  # `requesting` is the first candidate for eviction
            requesting.send(http_request(1))
            newest = CallerConnection(sidecar.server)  # arrives while the request has not been read yet
            sidecar.server.callers[newest] = None
            sidecar.server._close_excess(newest)
            del sidecar.server.callers[newest]
            assert first in sidecar.server.callers and second not in sidecar.server.callers
            (await sidecar.endpoints[0].next_request()).reply()
            assert (await requesting.read_response()).startswith(b"HTTP/1.1 200 ")
            assert await idle.read_to_end() == b""

    run(test())


# --- callers that disconnect while their request waits ---


@pytest.mark.parametrize("end", ["closes", "resets", "half-closes"])
def test_pipelined_requests_of_disconnected_caller_are_not_forwarded(end: str) -> None:
    """While a request waits behind another, reading is paused, so the event loop reports no disconnect."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = RawPeer.connect(sidecar)
            (caller,) = await accepted_callers(sidecar)
            client.send(http_request(1) + http_request(2) + http_request(3))
            asked = await sidecar.endpoints[0].next_request()
            assert len(caller.pipelined) == 2
            if end == "resets":
                client.reset()
            elif end == "closes":
                client.sock.close()
            else:
                client.sock.shutdown(socket.SHUT_WR)
            asked.reply()
            await wait_until(lambda: not sidecar.server.callers)
            assert sidecar.host.last_serial == 1
            assert not sidecar.host.requests
            assert sidecar.endpoints[0].requests.empty()

    run(test())


def test_disconnect_while_reading_is_paused_is_noticed_before_sending(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first request waits for a connection to open; the caller disconnects before it does."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = RawPeer.connect(sidecar)
            await accepted_callers(sidecar)
            order = sidecar.host.balancer.order

            def ordered(*values: Any) -> None:
                order(*values)  # the connection is being opened, and the second request is not read yet
                client.sock.close()

            monkeypatch.setattr(sidecar.host.balancer, "order", ordered)
            client.send(http_request(1) + http_request(2))
            await wait_until(lambda: sidecar.host.last_serial)
            await wait_until(lambda: not sidecar.server.callers)
            assert not sidecar.host.requests
            assert sidecar.endpoints[0].requests.empty()
            assert sidecar.host.figures.backend_calls == 0

    run(test())


def test_disconnect_while_request_is_held_is_noticed_by_periodic_check() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=0) as sidecar:
            client = RawPeer.connect(sidecar)
            (caller,) = await accepted_callers(sidecar)
            client.send(http_request(1) + http_request(2))
            await wait_until(lambda: caller.pipelined)
            assert sidecar.host.balancer.calls  # held, since there is no endpoint
            client.sock.close()
            caller.check_timeouts(0)
            await wait_until(lambda: not sidecar.server.callers)
            assert not sidecar.host.balancer.calls
            assert sidecar.host.figures.busy["pay"] == 0  # the caller was gone, so this is no refusal

    run(test())


def test_disconnect_during_paused_upload_is_noticed_before_sending() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=0) as sidecar:
            client = RawPeer.connect(sidecar)
            (caller,) = await accepted_callers(sidecar)
            whole = http_request(1, "pay", bytes(200_000), deadline_ms=60_000)
            partial = whole[: sidecar.server.buffer_limit + 20_000]
            client.send(partial)
            await wait_until(lambda: caller._reading_paused)
            client.sock.close()
            endpoint = sidecar.discovery  # any server that would accept the request
            rows = parse_endpoint_list(
                discovery_response(2, True, instance_entry("s-9", endpoint.address))
            ).entries
            before = endpoint.connections
            sidecar.host.on_list(ListForm.FULL, rows)  # the balancer sends the held request
            await wait_until(lambda: not sidecar.server.callers)
            assert endpoint.connections == before
            assert not sidecar.host.requests

    run(test())


# --- shutdown ---


def end_drain_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a drain end at once."""
    monkeypatch.setattr(lifecycle, "ACCEPT_GRACE_S", 0.0)
    monkeypatch.setattr(program, "MAX_DEADLINE_S", 0.0)
    monkeypatch.setattr(program, "DRAIN_MARGIN_S", 0.0)


async def drain(sidecar: Sidecar) -> None:
    await program.drain(sidecar.server.lifecycle, sidecar.server, sidecar.host)


def test_requests_pipelined_behind_one_failed_by_shutdown_are_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    end_drain_at_once(monkeypatch)

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = RawPeer.connect(sidecar)
            client.send(http_request(1) + http_request(2) + http_request(3))
            await sidecar.endpoints[0].next_request()
            await drain(sidecar)
            received = await client.read_to_end()
            assert re.findall(rb"HTTP/1.1 (\d+)", received) == [b"504", b"503", b"503"]
            assert sidecar.endpoints[0].requests.empty()
            assert sidecar.host.last_serial == 1

    run(test())


@pytest.mark.parametrize("rest_comes", ["after it", "never"])
def test_partially_read_request_at_shutdown_is_refused(
    rest_comes: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    end_drain_at_once(monkeypatch)

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = RawPeer.connect(sidecar)
            (caller,) = await accepted_callers(sidecar)
            whole = http_request(1)
            client.send(whole[:40])
            await wait_until(lambda: caller.receiving)
            drain_task = asyncio.create_task(drain(sidecar))
            await wait_until(lambda: sidecar.server.intake is Intake.NONE)
            if rest_comes == "after it":
                client.send(whole[40:])
            await drain_task
            assert (await client.read_to_end()).startswith(b"HTTP/1.1 503 ")
            assert sidecar.host.last_serial == 0
            assert sidecar.endpoints[0].connections == 0

    run(test())


def test_request_in_kernel_buffer_at_shutdown_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    end_drain_at_once(monkeypatch)

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = RawPeer.connect(sidecar)
            (caller,) = await accepted_callers(sidecar)
            caller.transport.pause_reading()
            client.send(http_request(1))
            drain_task = asyncio.create_task(drain(sidecar))
            await wait_until(lambda: sidecar.server.intake is Intake.NONE)
            caller.transport.resume_reading()
            await drain_task
            assert (await client.read_to_end()).startswith(b"HTTP/1.1 503 ")
            assert sidecar.host.last_serial == 0

    run(test())


def test_callers_in_accept_queue_are_answered_after_listener_closes() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            clients = [RawPeer.connect(sidecar) for _ in range(20)]  # not accepted by the event loop yet
            for number, client in enumerate(clients):
                client.send(http_request(number))
            sidecar.server.stop_listening()
            for _ in clients:
                (await sidecar.endpoints[0].next_request()).reply()
            for client in clients:
                assert (await client.read_response()).startswith(b"HTTP/1.1 200 ")
            with pytest.raises(ConnectionRefusedError):
                RawPeer.connect(sidecar)

    run(test())


# --- endpoints: connections, replaced processes, retries ---


class RawEndpoint:
    """An endpoint whose connections the test accepts, reads and answers itself."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.port: int = self.sock.getsockname()[1]

    async def accept(self) -> RawPeer:
        peer, _ = await asyncio.get_running_loop().sock_accept(self.sock)
        return RawPeer(peer)

    async def accept_and_read(self) -> tuple[RawPeer, bytes]:
        """Accept a connection, and read the first bytes on it."""
        peer = await self.accept()
        return peer, await peer.read()


class AttemptSender:
    """Sends attempts, and records their outcomes."""

    def __init__(self, **settings: int) -> None:
        self.upstream = Upstream(0, settings.get("connect_timeout_us", 5_000_000), 8, RequestMetrics(()))
        self.outcomes: asyncio.Queue[Outcome] = asyncio.Queue()

    def send(self, data: bytes = b"x") -> Attempt:
        attempt = Attempt(0, "e", lambda *_: data, lambda _, outcome, __: self.outcomes.put_nowait(outcome))
        self.upstream.send(attempt)
        return attempt


def endpoint_and_sender() -> tuple[RawEndpoint, AttemptSender]:
    """An endpoint, and a sender of attempts to it."""
    listener, sender = RawEndpoint(), AttemptSender()
    sender.upstream.set_endpoint("e", "127.0.0.1", listener.port, 0)
    return listener, sender


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def idle_connections(count: int) -> tuple[RawEndpoint, AttemptSender, list[RawPeer]]:
    """Open `count` connections that have just become idle; the peers are ordered, oldest first."""
    listener, sender = endpoint_and_sender()
    for _ in range(count):
        sender.send()
    peers = [(await listener.accept_and_read())[0] for _ in range(count)]
    for peer in peers:
        peer.send(OK)
        assert await sender.outcomes.get() is Outcome.OK
    return listener, sender, peers


async def idle_connection() -> tuple[RawEndpoint, AttemptSender, RawPeer]:
    """Open one connection that has just become idle after a response."""
    listener, sender, (peer,) = await idle_connections(1)
    return listener, sender, peer


@pytest.mark.parametrize("what", ["address", "start"])
def test_connection_opened_to_previous_process_is_not_used(what: str) -> None:
    async def test() -> None:
        before, after = RawEndpoint(), RawEndpoint()
        sender = AttemptSender()
        sender.upstream.set_endpoint("e", "127.0.0.1", before.port, 1)
        sender.send()
        await asyncio.sleep(0)  # starts opening the connection
        port = after.port if what == "address" else before.port
        sender.upstream.set_endpoint("e", "127.0.0.1", port, 1 if what == "address" else 2)
        peer = await before.accept()
        assert await sender.outcomes.get() is Outcome.CONNECT_FAILED
        assert await peer.read_to_end() == b""  # closed, with nothing written
        sender.send()
        peer, data = await (after if what == "address" else before).accept_and_read()
        assert data == b"x"
        assert sender.upstream.open_connections == 1

    run(test())


def test_connection_to_replaced_process_is_not_reused() -> None:
    async def test() -> None:
        before, after = RawEndpoint(), RawEndpoint()
        sender = AttemptSender()
        sender.upstream.set_endpoint("e", "127.0.0.1", before.port, 1)
        sender.send()
        old, _ = await before.accept_and_read()
        sender.upstream.set_endpoint("e", "127.0.0.1", after.port, 2)
        old.send(OK)
        assert await sender.outcomes.get() is Outcome.OK  # requests in progress may finish
        assert await old.read_to_end() == b""
        sender.send()
        await after.accept_and_read()
        assert sender.upstream.open_connections == 1

    run(test())


class FullBacklogEndpoint(RawEndpoint):
    """An endpoint whose accept queue is full, so that connections open only when the test accepts them."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self.fillers = [socket.socket() for _ in range(2)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex(self.sock.getsockname())

    async def accept_connection(self) -> RawPeer:
        """Accept the first connection that is not a filler's; its handshake is retried after a second."""
        own = {filler.getsockname()[1] for filler in self.fillers}
        while True:
            peer = await self.accept()
            if peer.sock.getpeername()[1] not in own:
                return peer


def categories_with_window(window_us: int) -> list[dict[str, Any]]:
    hold = {
        **SETUP["Categories"][1],
        "DedupWindowUs": window_us,
        "AimUs": 60_000_000,
        "DeadlineUs": 60_000_000,
    }
    return [SETUP["Categories"][0], hold, SETUP["Categories"][2]]


async def reset_and_replace(sidecar: Sidecar, client: RawPeer, successor: FullBacklogEndpoint) -> None:
    """A request with an idempotency key is reset by its endpoint; the successor accepts no connection yet."""
    client.send(http_request(1, "hold"))
    asked = await sidecar.endpoints[0].next_request()
    rows = [
        instance_entry("s-0", sidecar.endpoints[0].address, "draining"),
        instance_entry("s-9", f"127.0.0.1:{successor.port}"),
    ]
    sidecar.host.on_list(ListForm.DELTA, parse_endpoint_list(discovery_response(2, False, *rows)).entries)
    asked.reset()


def test_retry_whose_connection_opens_after_dedup_window_is_not_sent() -> None:
    limits = {**SETUP["Allowed"], "ConnectTimeoutUs": 9_000_000}

    async def test() -> None:
        async with Sidecar(Allowed=limits, Categories=categories_with_window(400_000)) as sidecar:
            late = FullBacklogEndpoint()
            client = RawPeer.connect(sidecar)
            await reset_and_replace(sidecar, client, late)
            # The retry has started, within the window.
            await wait_until(lambda: sidecar.host.upstream.open_connections)
            # Not 503, since it may have run.
            assert (await client.read_response()).startswith(b"HTTP/1.1 502 ")
            peer = await late.accept_connection()
            sidecar.host.upstream.retire("s-9")
            assert await peer.read_to_end() == b""

    run(test())


def test_retry_not_written_before_dedup_window_ends_is_aborted() -> None:
    async def test() -> None:
        listener, sender = endpoint_and_sender()
        attempt = sender.send(b"x" * (16 << 20))  # more than both kernel buffers hold
        # The deadline starts once bytes have arrived: before, a pause of the process would end the connect.
        peer, first_bytes = await listener.accept_and_read()
        attempt.set_write_deadline(now_us() + 200_000)
        assert await sender.outcomes.get() is Outcome.NOT_SENT
        received_bytes = len(first_bytes)
        with contextlib.suppress(ConnectionResetError):
            while data := await peer.read(1 << 20):
                received_bytes += len(data)
        assert received_bytes < 16 << 20  # incomplete, so it cannot run
        assert sender.upstream.open_connections == 0

    run(test())


def test_retry_sent_within_dedup_window_may_finish_after_it() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2, Categories=categories_with_window(400_000)) as sidecar:
            client = RawPeer.connect(sidecar)
            client.send(http_request(1, "hold"))
            first = await next_request_at_any(sidecar)
            first.reset()
            second = await next_request_at_any(sidecar)
            await asyncio.sleep(0.45)  # the window ends while the endpoint processes it
            second.reply()
            assert (await client.read_response()).startswith(b"HTTP/1.1 200 ")

    run(test())


def test_duplicate_response_before_next_request_is_sent_is_discarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Checking the connection before a write detects only data that has already arrived."""
    monkeypatch.setattr(upstream, "SETTLE_US", 300_000)

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = RawPeer.connect(sidecar)
            client.send(http_request(1))
            first = await sidecar.endpoints[0].next_request()
            first.reply(200, b"first")
            assert (await client.read_response()).endswith(b"first")
            pool = sidecar.host.upstream.pools["s-0"]
            assert pool.idle
            client.send(http_request(2))
            await wait_until(lambda: not pool.idle)  # reserved until the connection has settled
            first.reply(200, b"first")
            second = await sidecar.endpoints[0].next_request()
            assert second.connection != first.connection
            second.reply(200, b"second")
            assert (await client.read_response()).endswith(b"second")
            assert sidecar.host.upstream.open_connections == 1

    run(test())


@pytest.mark.parametrize("meanwhile", ["attempt aborted", "endpoint drains", "nothing"])
def test_events_while_attempt_waits_for_settling_connection(
    meanwhile: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream, "SETTLE_US", 100_000)

    async def test() -> None:
        _, sender, peer = await idle_connection()
        pool = sender.upstream.pools["e"]
        answered_us = pool.idle[0].idle_since
        attempt = sender.send(b"next")
        assert not pool.idle
        if meanwhile == "attempt aborted":
            attempt.abort(Outcome.CANCELLED)
            assert await sender.outcomes.get() is Outcome.CANCELLED
            await wait_until(lambda: pool.idle)
            assert pool.idle[0].idle_since == answered_us  # unchanged, since it was not used
            assert not _readable(peer.sock)
        elif meanwhile == "endpoint drains":
            sender.upstream.retire("e")
            assert await sender.outcomes.get() is Outcome.CONNECT_FAILED
            assert await peer.read_to_end() == b""
            assert sender.upstream.open_connections == 0
        else:
            assert await peer.read() == b"next"
            assert now_us() - answered_us >= upstream.SETTLE_US
            assert sender.upstream.open_connections == 1

    run(test())


@pytest.mark.parametrize("what", ["HTTP/1.1 2", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"])
def test_unsolicited_bytes_on_idle_connection_close_it(what: str) -> None:
    """A partial status line, or a second response, is in the kernel buffer and has not been read."""

    async def test() -> None:
        listener, sender, peer = await idle_connection()
        await wait_until_settled()
        peer.send(what.encode())
        sender.send(b"next")  # without running the event loop in between
        new_peer, data = await listener.accept_and_read()
        assert data == b"next"
        new_peer.send(OK)
        assert await sender.outcomes.get() is Outcome.OK
        assert sender.upstream.open_connections == 1

    run(test())


def test_settled_connections_are_used_before_new_ones_open(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream, "SETTLE_US", 60_000_000)

    async def test() -> None:
        _, sender, peers = await idle_connections(2)
        sender.upstream.pools["e"].idle[0].idle_since -= 60_000_000  # the first has settled
        sender.send()
        assert await peers[0].read() == b"x"
        assert sender.upstream.open_connections == 2
        for peer in peers[:1]:
            peer.send(OK)
            assert await sender.outcomes.get() is Outcome.OK
        assert sender.upstream.open_connections == 2

    run(test())


# --- availability of settled connections ---


@pytest.mark.parametrize(("turns_us", "order"), [(60_000_000, (0, 1, 2, 0)), (0, (2, 2, 2, 2))])
def test_settled_connections_are_used_round_robin_unless_idle_for_long(
    turns_us: int, order: tuple[int, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream, "ROUND_ROBIN_MAX_IDLE_US", turns_us)

    async def test() -> None:
        _, sender, peers = await idle_connections(3)
        for number in order:
            await wait_until_settled()
            sender.send()
            assert await peers[number].read() == b"x"
            peers[number].send(OK)
            assert await sender.outcomes.get() is Outcome.OK

    run(test())


def test_spare_connection_opens_when_calls_repeatedly_find_none_settled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream, "SETTLE_US", 60_000_000)

    async def test() -> None:
        listener, sender, _ = await idle_connections(3)
        pool = sender.upstream.pools["e"]
        ages = [connection.idle_since for connection in pool.idle]
        for number in range(2):
            sender.send(b"%d" % number)
        await asyncio.sleep(0)
        # Below the ratio that opens a spare connection.
        assert sender.upstream.open_connections == 3 and len(pool.settle_waits) == 2
        sender.send(b"2")
        new_peer, data = await listener.accept_and_read()
        assert data == b"0"  # the attempt that has waited longest gets the new connection
        assert sender.upstream.open_connections == 4 and len(pool.settle_waits) == 2
        # Unchanged, since it was not used.
        assert [connection.idle_since for connection in pool.idle] == ages[:1]
        new_peer.send(OK)
        assert await sender.outcomes.get() is Outcome.OK

    run(test())


def test_queued_calls_released_by_response_open_no_spare_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """A queued call is sent with each response, when none is settled; more connections would not help."""
    monkeypatch.setattr(upstream, "SETTLE_US", 1_000)

    async def test() -> None:
        listener, sender, peer = await idle_connection()
        put_outcome = sender.outcomes.put_nowait

        def next_goes(outcome: Outcome) -> None:
            put_outcome(outcome)
            sender.send()

        monkeypatch.setattr(sender.outcomes, "put_nowait", next_goes)
        sender.send()
        for _ in range(20):
            assert await peer.read() == b"x"
            peer.send(OK)
            assert await sender.outcomes.get() is Outcome.OK
        assert sender.upstream.open_connections == 1 and not _readable(listener.sock)

    run(test())


def test_attempts_keep_waiting_when_spare_connection_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream, "SETTLE_US", 200_000)

    async def test() -> None:
        listener, sender, peers = await idle_connections(3)
        listener.sock.close()
        for _ in peers:
            sender.send(b"later")
        await wait_until(lambda: sender.upstream.open_connections == 4)
        await wait_until(lambda: sender.upstream.open_connections == 3)  # connection refused
        for peer in peers:
            assert await peer.read() == b"later"
            peer.send(OK)
            assert await sender.outcomes.get() is Outcome.OK
        assert sender.upstream.open_connections == 3 and not sender.upstream.pools["e"].connecting_spare

    run(test())


@pytest.mark.parametrize("meanwhile", ["endpoint drains", "attempts aborted"])
def test_events_while_spare_connection_opens(meanwhile: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream, "SETTLE_US", 200_000)

    async def test() -> None:
        listener, sender, _ = await idle_connections(3)
        pool = sender.upstream.pools["e"]
        attempts = [sender.send(b"later") for _ in range(3)]
        assert pool.connecting_spare
        if meanwhile == "endpoint drains":
            sender.upstream.retire("e")
            peer = await listener.accept()
            for _ in attempts:
                assert await sender.outcomes.get() is Outcome.CONNECT_FAILED
            assert await peer.read_to_end() == b""  # nothing was written
            assert sender.upstream.open_connections == 0
        else:
            for attempt in attempts:
                attempt.abort(Outcome.CANCELLED)
                assert await sender.outcomes.get() is Outcome.CANCELLED
            peer = await listener.accept()
            await wait_until(lambda: len(pool.idle) == 4)
            assert sender.upstream.open_connections == 4 and not _readable(peer.sock)
        assert not pool.settle_waits and not pool.connecting_spare

    run(test())


def test_unused_connections_are_closed_except_one() -> None:
    async def test() -> None:
        _, sender, peers = await idle_connections(5)
        pool = sender.upstream.pools["e"]
        pool.trim(1_000, interval_us=1_000)  # starts the first period
        await wait_until_settled()
        sender.send()
        assert await peers[0].read() == b"x"  # the four others are settled and unused
        pool.trim(1_999, interval_us=1_000)
        assert sender.upstream.open_connections == 5
        pool.trim(2_000, interval_us=1_000)
        assert sender.upstream.open_connections == 2 and len(pool.idle) == 1
        peers[0].send(OK)
        assert await sender.outcomes.get() is Outcome.OK
        pool.trim(3_000, interval_us=1_000)
        assert sender.upstream.open_connections == 2  # no call since

    run(test())


# --- interrupted responses, and requests that must not run twice ---


class RawEndpoints:
    """Two raw endpoints behind a sidecar."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.endpoints = [RawEndpoint(), RawEndpoint()]
        rows = [instance_entry(f"s-{i}", f"127.0.0.1:{each.port}") for i, each in enumerate(self.endpoints)]
        sidecar.host.on_list(ListForm.FULL, parse_endpoint_list(discovery_response(2, True, *rows)).entries)

    async def accept(self) -> RawPeer:
        """Accept the next connection at either."""
        tasks = [asyncio.ensure_future(each.accept()) for each in self.endpoints]
        done, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        return done.pop().result()

    def has_new_connection(self) -> bool:
        """Whether another connection waits to be accepted."""
        return any(_readable(each.sock) for each in self.endpoints)


def _readable(sock: socket.socket) -> bool:
    return bool(select.select([sock], [], [], 0)[0])


@pytest.mark.parametrize(
    "moment", ["nothing read", "partial read", "all read", "partial status line", "partial body"]
)
def test_non_idempotent_request_is_not_retried_after_reset(moment: str) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            peers = RawEndpoints(sidecar)
            client = RawPeer.connect(sidecar)
            client.send(http_request(1))
            peer = await peers.accept()
            if moment != "nothing read":
                await peer.read(20 if moment == "partial read" else 1 << 16)
            if moment.startswith("partial ") and moment != "partial read":
                partial = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok"
                peer.send(partial[:9] if moment == "partial status line" else partial)
            peer.reset()
            assert (await client.read_response()).startswith(b"HTTP/1.1 502 ")
            assert not peers.has_new_connection()
            assert not sidecar.host.requests

    run(test())


def test_non_idempotent_request_is_retried_after_refused_connection() -> None:
    """A refused connection means that nothing ran, so the request must not fail because of it."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            peers = RawEndpoints(sidecar)
            peers.endpoints[0].sock.close()
            for number in range(6):  # each selects its endpoint at random
                client = RawPeer.connect(sidecar)
                client.send(http_request(number))
                peer = await peers.endpoints[1].accept()
                assert (await peer.read()).startswith(b"POST /pay/a")
                peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
                assert (await client.read_response()).endswith(b"ok")

    run(test())


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize(
    "moment", ["at once", "before streaming", "while streaming", "while the caller reads nothing"]
)
def test_reset_response_without_length_is_never_complete(
    version: str, moment: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Only a regular end of stream completes such a response, a reset never does."""
    if moment != "while streaming":
        monkeypatch.setattr(upstream, "STREAMING_DELAY_S", 60.0)

    async def test() -> None:
        async with Sidecar() as sidecar:
            peers = RawEndpoints(sidecar)
            client = RawPeer.connect(sidecar, receive_bytes=4096)
            client.send(http_request(1).replace(b"HTTP/1.1", b"HTTP/" + version.encode()))
            peer = await peers.accept()
            await peer.read()
            peer.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
            if moment == "before streaming":
                await wait_until(lambda: _body_has_come(sidecar))
            elif moment == "while streaming":
                assert (await client.read()).startswith(b"HTTP/1.1 200 ")
            elif moment == "while the caller reads nothing":
                with contextlib.suppress(BlockingIOError):
                    while True:  # until both kernel buffers are full: the sidecar has stopped reading
                        peer.sock.send(b"x" * 65536)
                        await asyncio.sleep(0)
                await wait_until(lambda: any(c._paused for c in sidecar.host.upstream.streaming_connections))
            peer.reset()
            if moment in ("at once", "before streaming"):
                assert (await client.read_response()).startswith(b"HTTP/1.1 502 ")
                assert not sidecar.host.requests
                return
            received = b""
            broken = False
            try:
                while more := await client.read():
                    received += more
            except ConnectionResetError:
                broken = True
            assert broken and not received.endswith(b"0\r\n\r\n")  # the caller can tell that it is incomplete
            assert not sidecar.host.requests

    run(test())


def _body_has_come(sidecar: Sidecar) -> bool:
    attempts = [attempt for each in sidecar.host.requests.values() for attempt in each.attempts]
    return any(attempt.connection is not None and attempt.connection._body for attempt in attempts)


# --- many callers, and unusual input ---


def test_requests_of_callers_disconnecting_in_a_burst_are_not_forwarded() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=0) as sidecar:
            clients = [RawPeer.connect(sidecar) for _ in range(40)]
            stays = RawPeer.connect(sidecar)
            for number, client in enumerate([*clients, stays]):
                client.send(http_request(number))
            # All held, since there is no endpoint.
            await wait_until(lambda: len(sidecar.host.balancer.calls) == 41)
            for number, client in enumerate(clients):
                if number % 2:
                    client.sock.close()
                else:
                    client.reset()
            await wait_until(lambda: len(sidecar.host.balancer.calls) == 1)
            fake = await FakeServer().start()
            rows = [instance_entry("s-9", fake.address)]
            sidecar.host.on_list(
                ListForm.FULL, parse_endpoint_list(discovery_response(2, True, *rows)).entries
            )
            asked = await fake.next_request()
            assert asked.message.headers["req-id"] == "raw40"
            asked.reply()
            assert (await stays.read_response()).startswith(b"HTTP/1.1 200 ")
            assert fake.requests.empty()

    run(test())


def test_pipelining_flood_uses_bounded_memory_and_delays_no_other_caller() -> None:
    """32 KiB per connection would hold some 500 requests, each many times larger once parsed."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            floods = [RawPeer.connect(sidecar) for _ in range(20)]
            small = b"GET /look HTTP/1.1\r\nReq-Id: 1\r\n\r\n"
            for number, flood in enumerate(floods):
                flood.send((http_request(number) + small * 1000)[:32768])
            await wait_until(lambda: len([c for c in sidecar.server.callers if c.pipelined]) == 20)
            assert (
                max(len(c.pipelined) for c in sidecar.server.callers) <= calling.PARSE_BYTES // len(small) + 1
            )
            proper = RawPeer.connect(sidecar)
            proper.send(http_request(99))
            for _ in range(21):
                (await next_request_at_any(sidecar)).reply()
            assert (await proper.read_response()).startswith(b"HTTP/1.1 200 ")
            for flood in floods[:10]:
                flood.sock.close()  # while requests wait
            for flood in floods[10:]:
                flood.reset()
            await wait_until(lambda: len(sidecar.server.callers) == 1)
            assert sidecar.host.last_serial == 21

    run(test())


def test_pipelined_requests_larger_than_one_parse_chunk_are_answered_in_order() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = RawPeer.connect(sidecar)
            sizes = (10, 5000, 3, 2048, 9000, 1, 7, 700, 1, 900, 3000)
            bodies = [bytes([65 + number]) * size for number, size in enumerate(sizes)]
            client.send(b"".join(http_request(n, "pay", body) for n, body in enumerate(bodies)))
            for body in bodies:
                asked = await sidecar.endpoints[0].next_request()
                assert asked.message.body == body
                asked.reply(200, body[:7])
                assert (await client.read_response()).endswith(b"\r\n\r\n" + body[:7])
            assert sidecar.server.callers and not next(iter(sidecar.server.callers)).busy

    run(test())


@pytest.mark.parametrize("what", ["head", "body"])
def test_slow_sender_gets_timeout_error(what: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(calling, "READ_TIMEOUT_S", 0.1)
    monkeypatch.setattr(calling, "BODY_START_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = RawPeer.connect(sidecar)
            (caller,) = await accepted_callers(sidecar)
            whole = http_request(1, "pay", b"x" * 2000)
            head = whole.index(b"\r\n\r\n") + 4 if what == "body" else 20
            client.send(whole[:head])
            for place in range(head, len(whole)):
                client.send(whole[place : place + 1])
                await asyncio.sleep(0.005)
                caller.check_timeouts(now_us())
                if caller.stage is not calling.ConnectionStage.OPEN:
                    break
            assert place < len(whole) - 1
            assert (await client.read_response()).startswith(b"HTTP/1.1 408 ")
            assert sidecar.host.last_serial == 0

    run(test())


@pytest.mark.parametrize("length", ["Content-Length: 4", "Content-Length: 200000"])
def test_response_before_request_is_fully_written_is_rejected(length: str) -> None:
    """An endpoint starts processing at the last byte, so this is a late response to an earlier request."""

    async def test() -> None:
        listener, sender = endpoint_and_sender()
        sender.send(b"x" * (16 << 20))  # more than both kernel buffers hold
        peer = await listener.accept()
        await peer.read(16)
        peer.send(f"HTTP/1.1 200 OK\r\n{length}\r\n\r\n".encode() + b"y" * 4)
        if length.endswith("200000"):
            with contextlib.suppress(BlockingIOError):
                peer.send(b"y" * 199_996)
        assert await sender.outcomes.get() is Outcome.CONNECT_FAILED  # it never ran
        assert sender.upstream.open_connections == 0

    run(test())


def test_large_body_from_one_read_is_forwarded_at_once_without_pausing() -> None:
    """Forwarding in pieces interrupts more requests on their way to endpoints, as seen under load."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = RawPeer.connect(sidecar)
            (caller,) = await accepted_callers(sidecar)
            flow, paused = caller.update_flow_control, []

            def noted() -> None:
                flow()
                paused.append(caller._reading_paused)

            caller.update_flow_control = noted  # type: ignore[method-assign]
            whole = http_request(1, "pay", b"x" * (sidecar.server.buffer_limit + 20_000))
            client.send(whole[:20_000])  # less than the buffer limit
            await wait_until(lambda: paused)
            assert len(paused) < 4 and not any(paused)  # in pieces there would be ten
            client.send(whole[20_000:])
            asked = await sidecar.endpoints[0].next_request()
            assert len(asked.message.body) == sidecar.server.buffer_limit + 20_000
            asked.reply()
            assert (await client.read_response()).startswith(b"HTTP/1.1 200 ")

    run(test())


def test_deadline_of_unparsed_request_counts_from_when_it_was_read() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = RawPeer.connect(sidecar)
            (caller,) = await accepted_callers(sidecar)
            client.send(
                b"".join(http_request(n, "pay", b"x" * 300) for n in range(calling.MAX_HEADS_PER_PARSE + 1))
            )
            asked = await sidecar.endpoints[0].next_request()
            assert caller._unparsed
            read_us = now_us()
            for _ in range(calling.MAX_HEADS_PER_PARSE):
                await asyncio.sleep(0.02)
                asked.reply()
                await client.read_response()
                asked = await sidecar.endpoints[0].next_request()
                assert caller.current is not None
                assert caller.current.deadline_us - caller.current.client_timeout_us <= read_us
            asked.reply()
            await client.read_response()

    run(test())


def test_refused_body_containing_blank_lines_is_read_to_the_end() -> None:
    """The response was sent from a parser callback, which fed the parser its next chunk recursively."""

    async def test() -> None:
        async with Sidecar(max_callers=0) as sidecar:  # so that each request is refused after its headers
            client = RawPeer.connect(sidecar)
            (caller,) = await accepted_callers(sidecar)
            whole = http_request(1, "pay", b"HTTP/1.1 200 OK\r\n\r\n" * 8000)
            client.send(whole[:30_000])
            assert (await client.read_response()).startswith(b"HTTP/1.1 503 ")
            assert caller.stage is calling.ConnectionStage.DISCARDING  # not closed during the body
            await asyncio.get_running_loop().sock_sendall(client.sock, whole[30_000:])
            assert await client.read_to_end() == b""

    run(test())
