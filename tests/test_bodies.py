"""Request and answer bodies of all sizes and framings, on loopback sockets."""

from __future__ import annotations

import asyncio
import socket

import pytest

from eiderhub.sidecar import caller as calling
from eiderhub.sidecar import upstream
from eiderhub.sidecar.bodies import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    READ_BUFFER_BYTES,
    FramingError,
    buffer_limit,
    parse_framing,
)
from tests.sidecar_support import Client, Sidecar, run

LARGE_BODY = bytes(range(256)) * 4096  # 1 MiB: far above the buffer limit
REQUEST_HEADERS = b"Host: a\r\nReq-Id: %s\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n"


def post(request_id: bytes, body: bytes, *headers: bytes, request_target: bytes = b"/pay/a?b=1") -> bytes:
    lines = b"".join(header + b"\r\n" for header in headers)
    length = b"" if headers and headers[0].startswith(b"Transfer") else b"Content-Length: %d\r\n" % len(body)
    return b"POST %s HTTP/1.1\r\n%s%s%s\r\n%s" % (
        request_target,
        REQUEST_HEADERS % request_id,
        length,
        lines,
        body,
    )


def chunked(body: bytes, size: int, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    pieces = [body[i : i + size] for i in range(0, len(body), size)]
    chunks = b"".join(b"%x%s\r\n%s\r\n" % (len(p), extension, p) for p in pieces)
    return chunks + b"0\r\n" + trailer + b"\r\n"


class RawEndpoint:
    """An endpoint on raw sockets, for which the test reads and writes the bytes."""

    def __init__(self) -> None:
        self.connections: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()

    async def start(self, sidecar: Sidecar) -> RawEndpoint:
        fake = sidecar.endpoints[0]
        host, _, port = fake.address.rpartition(":")
        fake.server.close()
        await fake.server.wait_closed()
        self.server = await asyncio.start_server(
            lambda r, w: self.connections.put_nowait((r, w)), host, int(port), limit=1 << 25
        )
        return self

    async def next_request(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, bytes]:
        """Return the next connection and the head of its request."""
        reader, writer = await self.connections.get()
        return reader, writer, await reader.readuntil(b"\r\n\r\n")


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        assert await reader.readexactly(2) == b"\r\n"
    assert await reader.readline() == b"\r\n"
    return body


# --- requests ---


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_large_body_is_forwarded_while_it_is_received(form: str) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            endpoint = await RawEndpoint().start(sidecar)
            client = await sidecar.client()
            raw_request = (
                post(b"1", LARGE_BODY)
                if form == "length"
                else post(b"1", chunked(LARGE_BODY, 5000), b"Transfer-Encoding: chunked")
            )
            client.writer.write(raw_request[:-1000])
            reader, writer, head = await endpoint.next_request()  # before the last byte is sent
            assert sidecar.host.figures.backend_calls == sidecar.host.figures.inflight == 0
            client.writer.write(raw_request[-1000:])
            if form == "length":
                assert b"Content-Length: %d\r\n" % len(LARGE_BODY) in head
                assert await reader.readexactly(len(LARGE_BODY)) == LARGE_BODY
            else:
                assert b"Transfer-Encoding: chunked\r\n" in head
                assert await read_chunked(reader) == LARGE_BODY
            assert b"Req-Deadline-Ms: 60000\r\n" in head or b"Req-Deadline-Ms: 59960\r\n" in head
            while not sidecar.host.figures.inflight:
                await asyncio.sleep(0)
            assert sidecar.host.figures.backend_calls == 1
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            answer = await client.read_answer()
            assert (answer.status, answer.body) == (200, b"ok")
            assert "connection" not in answer.headers
            assert (await call_counts(sidecar))["success"] == 1

    run(test())


async def call_counts(sidecar: Sidecar) -> dict[str, int]:
    figures = sidecar.host.figures
    return {"success": figures.success["pay"], "busy": figures.busy["pay"], "failure": figures.failure["pay"]}


def test_endpoint_that_does_not_read_applies_backpressure_to_the_caller() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            endpoint = await RawEndpoint().start(sidecar)
            client = await sidecar.client()
            client.writer.transport.set_write_buffer_limits(high=0)
            size = MAX_BODY_BYTES
            client.writer.write(
                post(b"1", b"")[:-2].replace(b"Content-Length: 0", b"Content-Length: %d" % size) + b"\r\n"
            )
            _, writer = await endpoint.connections.get()
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            sent = 0
            block = bytes(1 << 16)
            while sent < size:
                client.writer.write(block)
                sent += len(block)
                try:
                    async with asyncio.timeout(0.5):
                        await client.writer.drain()
                except TimeoutError:
                    break
            assert sent < size  # backpressure: the sidecar has not read the rest into memory
            (caller,) = sidecar.server.callers
            assert caller.transport.get_write_buffer_size() == 0
            assert caller.read_deadline_us == 0  # and the caller is not timed out
            writer.transport.abort()
            assert (await client.read_answer()).status == 503  # not written completely, so it never ran

    run(test())


def test_stalled_or_truncated_body_ends_its_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(calling, "READ_TIMEOUT_S", 0.2)
    monkeypatch.setattr(calling, "BODY_START_TIMEOUT_S", 0.2)

    async def test() -> None:
        async with Sidecar() as sidecar:
            endpoint = await RawEndpoint().start(sidecar)
            for damage in ("stall", "framing", "close"):
                client = await sidecar.client()
                if damage == "framing":
                    client.writer.write(
                        post(b"1", chunked(LARGE_BODY, 5000)[:-5] + b"zz\r\n", b"Transfer-Encoding: chunked")
                    )
                else:
                    client.writer.write(post(b"1", LARGE_BODY)[:-10])
                reader, _, _ = await endpoint.next_request()
                if damage == "close":
                    client.writer.transport.abort()
                elif damage == "stall":
                    while (caller := next(iter(sidecar.server.callers))).read_deadline_us == 0:
                        await asyncio.sleep(0.01)
                    caller.check_timeouts(caller.read_deadline_us)
                    assert (await client.read_answer()).status == 408
                else:
                    assert (await client.read_answer()).status == 400
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await reader.readexactly(2 * len(LARGE_BODY))
                while sidecar.host.requests:
                    await asyncio.sleep(0.01)
            assert sidecar.host.figures.backend_calls == 0
            assert sidecar.host.figures.inflight == 0
            assert not sidecar.host.balancer.calls

    run(test())


def test_refused_large_body_is_read_to_its_end_so_that_the_caller_sees_the_answer() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=0) as sidecar:
            client = await sidecar.client()
            client.writer.write(post(b"1", LARGE_BODY)[:-10])
            answer = await client.read_answer()
            assert (answer.status, answer.headers["connection"]) == (503, "close")
            client.writer.write(LARGE_BODY[-10:])
            assert await client.reader.read() == b""
            assert await call_counts(sidecar) == {"success": 0, "busy": 1, "failure": 0}

    run(test())


def test_large_body_is_not_retried() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            endpoint = await RawEndpoint().start(sidecar)
            client = await sidecar.client()
            client.writer.write(post(b"1", LARGE_BODY))
            reader, writer, _ = await endpoint.next_request()
            await reader.readexactly(len(LARGE_BODY))
            writer.write(b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            assert (await client.read_answer()).status == 503
            assert endpoint.connections.empty()

    run(test())


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"Content-Length: 5\r\nTransfer-Encoding: chunked", 400),
        (b"Content-Length: 5\r\nContent-Length: 6", 400),
        (b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", 400),
        (b"Transfer-Encoding: gzip, chunked", 501),
        (b"Content-Length: +5", 400),
        (b"Content-Length: %d" % (MAX_BODY_BYTES + 1), 413),
    ],
)
def test_ambiguous_framing_is_refused(head: bytes, status: int) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.writer.write(
                b"POST /pay HTTP/1.1\r\n" + REQUEST_HEADERS % b"1" + head + b"\r\n\r\n0\r\n\r\n"
            )
            assert (await client.read_answer()).status == status
            assert await client.reader.read() == b""
            assert sidecar.host.last_serial == 0

    run(test())


REQUEST_FORMS = {
    "chunks with extensions and trailers": (
        post(b"1", chunked(b"hello", 2, b";a=b", b"Req-Id: 9\r\nX: 1\r\n"), b"Transfer-Encoding: chunked"),
        b"hello",
    ),
    "absolute form": (post(b"1", b"hi", request_target=b"http://service.internal:80/pay/a?b=1"), b"hi"),
    "white space around values": (
        post(b"1 \t", b"hi").replace(b"acme", b"  acme ").replace(b"60000", b"60000\t"),
        b"hi",
    ),
    "pipelined": (post(b"1", b"one") + post(b"2", b"two"), b"one"),
    "blank lines before": (b"\r\n" + post(b"1", b"hi"), b"hi"),
    "expect": (post(b"1", b"hi", b"Expect: 100-continue"), b"hi"),
}


@pytest.mark.parametrize("form", REQUEST_FORMS)
def test_every_request_form_is_parsed_at_any_split(form: str) -> None:
    raw, body = REQUEST_FORMS[form]

    async def test() -> None:
        async with Sidecar() as sidecar:
            fake = sidecar.endpoints[0]
            for split in range(1, len(raw)):
                client = await sidecar.client()
                client.writer.write(raw[:split])
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                client.writer.write(raw[split:])
                bodies = [body] if form != "pipelined" else [b"one", b"two"]
                for expected in bodies:
                    request = await fake.next_request()
                    assert request.message.start_line == "POST /pay/a?b=1 HTTP/1.1"
                    assert request.message.body == expected
                    assert "x" not in request.message.headers
                    assert request.message.headers["req-id"] in "12"
                    request.reply(200, expected)
                    answer = await client.read_answer()
                    if answer.status == 100:
                        answer = await client.read_answer()
                    assert (answer.status, answer.body) == (200, expected)
                client.writer.close()

    run(test())


def test_expect_continue_is_answered_with_100_or_with_the_rejection() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            raw_request = post(b"1", LARGE_BODY, b"Expect: 100-continue")
            client = await sidecar.client()
            client.writer.write(raw_request[: -len(LARGE_BODY)])
            assert (await client.read_answer()).status == 100
            client.writer.write(LARGE_BODY)
            request = await sidecar.endpoints[0].next_request()
            assert request.message.body == LARGE_BODY
            request.reply()
            assert (await client.read_answer()).status == 200
            client = await sidecar.client()
            client.writer.write(raw_request[: -len(LARGE_BODY)].replace(b"acme", b"none"))
            assert (await client.read_answer()).status == 400

    run(test())


def test_chunked_answer_to_an_http_1_0_caller_ends_with_its_connection() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            endpoint = await RawEndpoint().start(sidecar)
            client = await sidecar.client()
            client.writer.write(post(b"1", b"x").replace(b"HTTP/1.1", b"HTTP/1.0"))
            _, writer, _ = await endpoint.next_request()
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(LARGE_BODY, 9000))
            answer = await client.reader.read()
            head, _, body = answer.partition(b"\r\n\r\n")
            assert body == LARGE_BODY
            assert b"Transfer-Encoding" not in head

    run(test())


# --- answers ---


ANSWER_FORMS = {
    "length": b"Content-Length: %d\r\n\r\n%s" % (len(LARGE_BODY), LARGE_BODY),
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LARGE_BODY, 70_000, b";x=y", b"T: 1\r\n"),
    "close": b"\r\n" + LARGE_BODY,
}


async def read_answer(client: Client, form: str) -> bytes:
    head = await client.reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    if form == "length":
        assert b"Content-Length: %d\r\n" % len(LARGE_BODY) in head
        return await client.reader.readexactly(len(LARGE_BODY))
    assert b"Transfer-Encoding: chunked" in head
    return await read_chunked(client.reader)


@pytest.mark.parametrize("form", ANSWER_FORMS)
def test_large_answer_is_forwarded_before_it_is_complete(form: str) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            endpoint = await RawEndpoint().start(sidecar)
            client = await sidecar.client()
            client.send()
            reader, writer, _ = await endpoint.next_request()
            raw_answer = b"HTTP/1.1 103 Early\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + ANSWER_FORMS[form]
            writer.write(raw_answer[:-20])
            while sidecar.host.figures.success["pay"] or not client.reader._buffer:  # type: ignore[attr-defined]
                await asyncio.sleep(0.01)
            assert sidecar.host.figures.inflight == 1
            assert sidecar.host.balancer.endpoints["s-0"].in_flight == 0  # the endpoint has finished its work
            writer.write(raw_answer[-20:])
            if form == "close":
                writer.close()
            assert await read_answer(client, form) == LARGE_BODY
            assert await call_counts(sidecar) == {"success": 1, "busy": 0, "failure": 0}
            assert not sidecar.host.requests and not sidecar.host.balancer.calls
            client.send()  # the caller's connection can be reused
            if form == "close":
                reader, writer, _ = await endpoint.next_request()
            else:
                await reader.readuntil(b"\r\n\r\n")  # and so can the endpoint's
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            assert (await client.read_answer()).status == 200

    run(test())


@pytest.mark.parametrize("form", ["length", "chunks", "close"])
def test_truncated_answer_resets_the_connection_of_the_caller(form: str) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            endpoint = await RawEndpoint().start(sidecar)
            client = await sidecar.client()
            client.send()
            _, writer, _ = await endpoint.next_request()
            writer.write(b"HTTP/1.1 200 OK\r\n" + ANSWER_FORMS[form][:-20])
            await client.reader.readuntil(b"\r\n\r\n")
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            writer.transport.abort()
            with pytest.raises(ConnectionResetError):
                while await client.reader.read(1 << 16):
                    pass
            assert await call_counts(sidecar) == {"success": 0, "busy": 0, "failure": 1}
            assert endpoint.connections.empty()  # a partly forwarded answer is not retried
            assert not sidecar.host.requests and not sidecar.host.balancer.calls

    run(test())


def test_caller_that_does_not_read_applies_backpressure_to_the_endpoint() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            endpoint = await RawEndpoint().start(sidecar)
            client = await sidecar.client()
            client.send()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            _, writer, _ = await endpoint.next_request()
            writer.transport.set_write_buffer_limits(high=0)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MAX_BODY_BYTES)
            sent = 0
            block = bytes(1 << 16)
            while sent < MAX_BODY_BYTES:
                writer.write(block)
                sent += len(block)
                try:
                    async with asyncio.timeout(0.5):
                        await writer.drain()
                except TimeoutError:
                    break
            assert sent < MAX_BODY_BYTES
            (caller,) = sidecar.server.callers
            assert caller.congested
            assert (
                caller.transport.get_write_buffer_size()
                <= sidecar.server.buffer_limit + READ_BUFFER_BYTES + 20
            )
            client.writer.transport.abort()
            while sidecar.host.requests:
                await asyncio.sleep(0.01)
            assert sidecar.host.upstream.open_connections == 0
            assert not sidecar.host.upstream.streaming_connections

    run(test())


def test_endpoint_that_stalls_during_an_answer_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            endpoint = await RawEndpoint().start(sidecar)
            client = await sidecar.client()
            client.send()
            _, writer, _ = await endpoint.next_request()
            writer.write(b"HTTP/1.1 200 OK\r\n" + ANSWER_FORMS["length"][:-20])
            await client.reader.readuntil(b"\r\n\r\n")
            monkeypatch.setattr(upstream, "STALL_TIMEOUT_S", 0.05)  # checked by the periodic sweep
            with pytest.raises(ConnectionResetError):
                while await client.reader.read(1 << 16):
                    pass

    run(test())


def test_large_error_response_becomes_502() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            endpoint = await RawEndpoint().start(sidecar)
            client = await sidecar.client()
            client.send()
            _, writer, _ = await endpoint.next_request()
            writer.write(
                b"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(LARGE_BODY[:500_000], 9000)
            )
            assert (await client.read_answer()).status == 502

    run(test())


# --- limits ---


def test_buffer_limit_is_a_fraction_of_the_memory() -> None:
    assert buffer_limit(1 << 40, 10) == MAX_BUFFERED_BYTES
    assert 500 * buffer_limit(80 << 20, 500) <= 0.2 * (80 << 20)


def test_unknown_transfer_coding_is_a_framing_error() -> None:
    assert parse_framing([(b"Content-Length", b"7")]) == (7, False)
    assert parse_framing([(b"transfer-encoding", b"Chunked")]) == (None, True)
    assert parse_framing([]) == (None, False)
    with pytest.raises(FramingError):
        parse_framing([(b"Transfer-Encoding", b"gzip")])
