"""HTTP/1.1 server connections and a client connection pool on asyncio.

httptools parses the messages. This module dispatches requests and replies, decides when a connection is
reused, and enforces size limits.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple, Protocol, cast

import httptools

DESCRIPTOR_LIMIT_ERRNOS = (errno.EMFILE, errno.ENFILE)  # out of file descriptors: this process, this machine
ZERO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: closing sends a reset
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
MAX_HEAD_BYTES = 64 * 1024  # request target and headers
MAX_PIPELINED_REQUESTS = 16  # received while an earlier request is still being answered
MAX_RESPONSE_BODY_BYTES = 64 << 20


def render_head(status: int, headers: list[tuple[bytes, bytes]], length: int) -> bytes:
    lines = [b"HTTP/1.1 %d %s" % (status, REASON_PHRASES[status])]
    lines += [b"%s: %s" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\nContent-Length: %d\r\n\r\n" % length


def render_response(status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    return render_head(status, headers, len(body)) + body


class ConnectionLimits(NamedTuple):
    """Limits for each client connection."""

    max_body_bytes: int = 1 << 20  # request body
    max_unsent_bytes: int = 4 << 20  # write buffer size above which the client counts as slow
    write_timeout_s: float = 0.0  # a slow client must empty the write buffer within this time; 0: no limit


class Exchange:
    """A request received by a server. It is answered at most once; the client may disconnect before that."""

    __slots__ = (
        "_connection",
        "body",
        "finished",
        "headers",
        "is_first",
        "keep_alive",
        "method",
        "on_disconnect",
        "started_us",
        "url",
    )  # fmt: skip

    def __init__(self, connection: ServerConnection, is_first: bool, started_us: int) -> None:
        self._connection = connection
        self.method = b""
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.is_first = is_first  # whether it is the first request on its connection
        self.started_us = started_us  # time at which its first byte arrived
        self.keep_alive = True  # whether the connection stays open after the response
        self.finished = False  # whether it was answered or the client disconnected
        self.on_disconnect: Callable[[Exchange], None] | None = None

    def respond(self, status: int, body: bytes = b"", *headers: tuple[bytes, bytes]) -> None:
        if self.finished:
            return
        lines = list(headers) if self.keep_alive else [*headers, (b"Connection", b"close")]
        # The body is written separately: one body may be shared by many responses and must not be copied.
        self._connection.transport.write(render_head(status, lines, len(body)))
        if body:
            self._connection.transport.write(body)
        self._connection.finish_exchange(self)

    def write(self, data: bytes) -> None:
        if not self.finished:
            self._connection.transport.write(data)

    def reset(self) -> None:
        if not self.finished:
            self._connection.reset()


class ServerConnection(asyncio.Protocol):
    """A server's side of one client connection."""

    def __init__(
        self,
        serve: Callable[[Exchange], None],
        clock: Callable[[], int],
        connections: set[ServerConnection],
        on_open: Callable[[ServerConnection], None] = lambda _: None,
        limits: ConnectionLimits | None = None,
    ) -> None:
        self._limits = limits or ConnectionLimits()
        self._pipelined: deque[Exchange] = deque()  # received while an earlier request is being answered
        self._incoming: Exchange | None = None
        self._head_bytes = 0
        self._write_timer: asyncio.TimerHandle | None = None
        self._serve = serve
        self._clock = clock
        self._connections = connections
        self._on_open = on_open
        self._parser = httptools.HttpRequestParser(self)
        self._current: Exchange | None = None
        self._request_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # No isinstance check: uvloop's transports do not derive from asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)
        if self._limits.write_timeout_s:
            self.transport.set_write_buffer_limits(high=self._limits.max_unsent_bytes, low=0)
        self._connections.add(self)
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.transport.is_closing():
                self.refuse(400)

    def refuse(self, status: int, *headers: tuple[bytes, bytes]) -> None:
        """Send an error response that belongs to no particular request, and close the connection."""
        self.transport.write(render_response(status, [*headers, (b"Connection", b"close")], b""))
        self.transport.close()

    def pause_writing(self) -> None:
        if self._limits.write_timeout_s and self._write_timer is None:
            loop = asyncio.get_running_loop()
            self._write_timer = loop.call_later(self._limits.write_timeout_s, self.transport.abort)

    def resume_writing(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.resume_writing()
        self._connections.discard(self)
        self._pipelined.clear()
        exchange, self._current = self._current, None
        if exchange is not None:
            exchange.finished = True
            if exchange.on_disconnect is not None:
                exchange.on_disconnect(exchange)

    def finish_exchange(self, exchange: Exchange) -> None:
        exchange.finished = True
        if self._current is exchange:
            self._current = None
        if not exchange.keep_alive:
            self.transport.close()
        elif self._pipelined and self._current is None:
            asyncio.get_running_loop().call_soon(self._serve_next)

    def _serve_next(self) -> None:
        if self._pipelined and self._current is None and not self.transport.is_closing():
            self._current = self._pipelined.popleft()
            self._serve(self._current)

    def reset(self) -> None:
        sock: Any = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        self.transport.abort()

    # --- parser callbacks ---

    def on_message_begin(self) -> None:
        self._incoming = Exchange(self, self._request_count == 0, self._clock())
        self._request_count += 1
        self._head_bytes = 0

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self.refuse(431)
            raise ValueError("request head too long")

    def on_url(self, url: bytes) -> None:
        self._add_head_bytes(len(url))
        if self._incoming is not None:
            self._incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._add_head_bytes(len(name) + len(value))
        if self._incoming is not None:
            self._incoming.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        if self._incoming is not None:
            self._incoming.body += body
            if len(self._incoming.body) > self._limits.max_body_bytes:
                self.refuse(413)
                raise ValueError("request body too long")

    def on_message_complete(self) -> None:
        exchange, self._incoming = self._incoming, None
        if exchange is None or self.transport.is_closing():
            return
        exchange.method = self._parser.get_method()
        exchange.keep_alive = self._parser.should_keep_alive()
        if self._current is not None:
            if len(self._pipelined) >= MAX_PIPELINED_REQUESTS:
                self.transport.abort()
            self._pipelined.append(exchange)
            return
        self._current = exchange
        self._serve(exchange)


class Reply:
    """A complete HTTP response."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: dict[bytes, bytes], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def retry_after_us(self) -> int:
        try:
            return int(float(self.headers.get(b"retry-after", b"0")) * 1e6)
        except (ValueError, OverflowError):
            return 0


class ReplyHandler(Protocol):
    """Receives the outcome of a request: exactly one of reply, broken connection or unreachable server."""

    def on_written(self) -> None:
        """The request has been written to an established connection."""

    def on_reply(self, reply: Reply) -> None: ...

    def on_broken(self, first: bool) -> None:
        """The connection ended before the reply was complete.

        `first`: this was the first request on the connection.
        """

    def on_unreachable(self) -> None: ...


class ClientConnection(asyncio.Protocol):
    """A client's side of a connection; it carries one request at a time."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._handler: ReplyHandler | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._request_count = 0
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._reply: Reply | None = None  # complete; delivered once all received data is parsed
        self._keep_alive = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._pool.open.add(self)

    def send(self, data: bytes, handler: ReplyHandler) -> None:
        self._handler = handler
        self._request_count += 1
        self.transport.write(data)
        handler.on_written()

    def close(self) -> None:
        """Abort the connection without calling the handler."""
        self._handler = None
        self._pool.remove(self)
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._handler is None:  # data without a request
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._reply is None:
                self.transport.abort()
                return
            self._keep_alive = False  # bytes after a complete response belong to no request
        if self._reply is not None:
            self._complete(self._reply)

    def _complete(self, reply: Reply) -> None:
        handler, self._handler, self._reply = self._handler, None, None
        if self._keep_alive:
            self._pool.idle.append(self)
        else:
            self._pool.remove(self)
            self.transport.close()
        if handler is not None:
            handler.on_reply(reply)

    def connection_lost(self, exc: Exception | None) -> None:
        self._pool.remove(self)
        handler, self._handler = self._handler, None
        if handler is not None:
            handler.on_broken(self._request_count == 1)

    # --- parser callbacks ---

    def on_message_begin(self) -> None:
        if self._reply is not None:
            raise ValueError("unexpected bytes after a complete response")
        self._headers, self._body, self._body_bytes = {}, [], 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > MAX_RESPONSE_BODY_BYTES:
            raise ValueError("response body too long")
        self._body.append(body)

    def on_message_complete(self) -> None:
        reply = Reply(self._parser.get_status_code(), self._headers, b"".join(self._body))
        if reply.status >= 200:  # 1xx responses are interim: the final one follows
            self._reply = reply
            self._keep_alive = self._parser.should_keep_alive()


class PendingRequest:
    """A request that has not ended yet and can be cancelled."""

    __slots__ = ("connection", "is_cancelled")

    def __init__(self) -> None:
        self.connection: ClientConnection | None = None
        self.is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True
        if self.connection is not None:
            self.connection.close()


class ConnectionPool:
    """Persistent connections to one address; a new one is opened when all are busy."""

    def __init__(self, host: str, port: int, connect_timeout_s: float = 1.0) -> None:
        self.host = host
        self.port = port
        self.idle: list[ClientConnection] = []
        self.open: set[ClientConnection] = set()
        self._connect_timeout_s = connect_timeout_s
        self._connecting: set[asyncio.Task[None]] = set()

    def send(self, data: bytes, handler: ReplyHandler, new_connection: bool = False) -> PendingRequest:
        """Send a request, if asked to on a new connection. Its outcome is never reported within this call."""
        pending = PendingRequest()
        if self.idle and not new_connection:
            pending.connection = self.idle.pop()
            pending.connection.send(data, handler)
        else:
            task = asyncio.get_running_loop().create_task(self._connect(data, handler, pending))
            self._connecting.add(task)
            task.add_done_callback(self._on_connect_done)
        return pending

    def _on_connect_done(self, task: asyncio.Task[None]) -> None:
        self._connecting.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            context = {"message": f"cannot connect to {self.host}:{self.port}", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)

    async def _connect(self, data: bytes, handler: ReplyHandler, pending: PendingRequest) -> None:
        connection = ClientConnection(self)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await loop.create_connection(lambda: connection, self.host, self.port)
        except (OSError, TimeoutError) as error:
            if isinstance(error, OSError) and error.errno in DESCRIPTOR_LIMIT_ERRNOS:
                raise  # a local descriptor shortage does not mean that the server is unreachable
            if not pending.is_cancelled:
                handler.on_unreachable()
            return
        if pending.is_cancelled:
            if not connection.transport.is_closing():
                self.idle.append(connection)
            return
        pending.connection = connection
        connection.send(data, handler)

    def remove(self, connection: ClientConnection) -> None:
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self) -> None:
        for task in self._connecting:
            task.cancel()
        for connection in list(self.open):
            connection.close()


class NoReplyError(Exception):
    """A request got no complete reply; the message gives the reason."""


class _FetchHandler:
    """Resolves a future with the outcome of one request."""

    def __init__(self) -> None:
        self.future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()

    def _fail(self, reason: str) -> None:
        if not self.future.done():
            self.future.set_exception(NoReplyError(reason))

    def on_written(self) -> None: ...

    def on_reply(self, reply: Reply) -> None:
        if not self.future.done():
            self.future.set_result(reply)

    def on_broken(self, first: bool) -> None:
        self._fail("connection lost before the reply was complete")

    def on_unreachable(self) -> None:
        self._fail("could not connect")


async def fetch(pool: ConnectionPool, data: bytes, timeout_s: float, new_connection: bool = False) -> Reply:
    """Send a request and wait for its reply.

    Raises:
        NoReplyError: timed out, could not connect, or lost the connection.
    """
    handler = _FetchHandler()
    pending = pool.send(data, handler, new_connection)
    try:
        async with asyncio.timeout(timeout_s):
            return await handler.future
    except TimeoutError:
        raise NoReplyError(f"no reply within {timeout_s:.3g} s") from None
    finally:
        if not handler.future.done() or handler.future.cancelled() or handler.future.exception() is not None:
            pending.cancel()
