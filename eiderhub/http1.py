"""HTTP/1.1 for the list service and stand-ins: what a server reads and answers, and what a caller asks.

Parsing is httptools'; here is only who is told what, when a connection is used again, and what is too much.
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

OUR_LIMIT = (errno.EMFILE, errno.ENFILE)  # no descriptor is left in this process, or on this machine
RESET = struct.pack("ii", 1, 0)  # a linger of no time: closing resets the connection
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
MOST_HEAD = 64 * 1024  # bytes of a request's target and headers
MOST_QUEUED = 16  # requests that a caller may send before their turn
MOST_ANSWER = 64 << 20  # bytes of an answer's body


def head(status: int, headers: list[tuple[bytes, bytes]], length: int) -> bytes:
    lines = [b"HTTP/1.1 %d %s" % (status, REASONS[status])]
    lines += [b"%s: %s" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\nContent-Length: %d\r\n\r\n" % length


def render(status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    return head(status, headers, len(body)) + body


class Bounds(NamedTuple):
    """What one caller may take."""

    body_bytes: int = 1 << 20  # of a request
    unsent_bytes: int = 4 << 20  # of answers that the caller has not read yet
    reader_s: float = 0.0  # for so long, and no longer, it may leave them; 0: for ever


class Exchange:
    """One request as a server got it; it is answered at most once, and its caller may go before that."""

    __slots__ = (
        "_connection", "body", "first", "first_us", "gone", "headers", "keep", "method", "on_gone", "url",
    )  # fmt: skip

    def __init__(self, connection: ServerConnection, first: bool, first_us: int) -> None:
        self._connection = connection
        self.method = b""
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.first = first  # on its connection
        self.first_us = first_us  # when its first byte came
        self.keep = True  # whether the connection goes on after the answer
        self.gone = False
        self.on_gone: Callable[[Exchange], None] | None = None

    def answer(self, status: int, body: bytes = b"", *headers: tuple[bytes, bytes]) -> None:
        if self.gone:
            return
        lines = list(headers) if self.keep else [*headers, (b"Connection", b"close")]
        # Two writes: the body may be many callers', and is not copied for each.
        self._connection.transport.write(head(status, lines, len(body)))
        if body:
            self._connection.transport.write(body)
        self._connection.over(self)

    def write(self, data: bytes) -> None:
        if not self.gone:
            self._connection.transport.write(data)

    def reset(self) -> None:
        if not self.gone:
            self._connection.reset()


class ServerConnection(asyncio.Protocol):
    """One caller's connection to a stand-in."""

    def __init__(
        self,
        serve: Callable[[Exchange], None],
        clock: Callable[[], int],
        connections: set[ServerConnection],
        on_open: Callable[[ServerConnection], None] = lambda _: None,
        bounds: Bounds | None = None,
    ) -> None:
        self._bounds = bounds or Bounds()
        self._waiting: deque[Exchange] = deque()  # that came before their turn
        self._reading: Exchange | None = None
        self._head = 0
        self._slow: asyncio.TimerHandle | None = None
        self._serve = serve
        self._clock = clock
        self._connections = connections
        self._on_open = on_open
        self._parser = httptools.HttpRequestParser(self)
        self._exchange: Exchange | None = None
        self._count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not `isinstance`: uvloop's transports only have the shape of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        if self._bounds.reader_s:
            self.transport.set_write_buffer_limits(high=self._bounds.unsent_bytes, low=0)
        self._connections.add(self)
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.transport.is_closing():
                self.refuse(400)

    def refuse(self, status: int, *headers: tuple[bytes, bytes]) -> None:
        """An answer to no request in particular, and the end of the connection."""
        self.transport.write(render(status, [*headers, (b"Connection", b"close")], b""))
        self.transport.close()

    def pause_writing(self) -> None:
        if self._bounds.reader_s and self._slow is None:
            loop = asyncio.get_running_loop()
            self._slow = loop.call_later(self._bounds.reader_s, self.transport.abort)

    def resume_writing(self) -> None:
        if self._slow is not None:
            self._slow.cancel()
            self._slow = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.resume_writing()
        self._connections.discard(self)
        self._waiting.clear()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.gone = True
            if exchange.on_gone is not None:
                exchange.on_gone(exchange)

    def over(self, exchange: Exchange) -> None:
        exchange.gone = True
        if self._exchange is exchange:
            self._exchange = None
        if not exchange.keep:
            self.transport.close()
        elif self._waiting and self._exchange is None:
            asyncio.get_running_loop().call_soon(self._next)

    def _next(self) -> None:
        if self._waiting and self._exchange is None and not self.transport.is_closing():
            self._exchange = self._waiting.popleft()
            self._serve(self._exchange)

    def reset(self) -> None:
        sock: Any = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.transport.abort()

    # --- the parser's calls ---

    def on_message_begin(self) -> None:
        self._reading = Exchange(self, self._count == 0, self._clock())
        self._count += 1
        self._head = 0

    def _more_head(self, size: int) -> None:
        self._head += size
        if self._head > MOST_HEAD:
            self.refuse(431)
            raise ValueError("the head is too long")

    def on_url(self, url: bytes) -> None:
        self._more_head(len(url))
        if self._reading is not None:
            self._reading.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._more_head(len(name) + len(value))
        if self._reading is not None:
            self._reading.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        if self._reading is not None:
            self._reading.body += body
            if len(self._reading.body) > self._bounds.body_bytes:
                self.refuse(413)
                raise ValueError("the body is too long")

    def on_message_complete(self) -> None:
        exchange, self._reading = self._reading, None
        if exchange is None or self.transport.is_closing():
            return
        exchange.method = self._parser.get_method()
        exchange.keep = self._parser.should_keep_alive()
        if self._exchange is not None:
            if len(self._waiting) >= MOST_QUEUED:
                self.transport.abort()
            self._waiting.append(exchange)
            return
        self._exchange = exchange
        self._serve(exchange)


class Reply:
    """A whole answer."""

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


class Asker(Protocol):
    """Who asked: told of one end of each exchange."""

    def on_written(self) -> None:
        """A connection is up, and the request has gone out on it."""

    def on_reply(self, reply: Reply) -> None: ...

    def on_broken(self, first: bool) -> None:
        """The connection ended without a whole answer; `first`: it had carried nothing before."""

    def on_unreachable(self) -> None: ...


class ClientConnection(asyncio.Protocol):
    """A connection that we opened: one exchange at a time."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._asker: Asker | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._count = 0
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._reply: Reply | None = None  # whole, until what came with it has been read
        self._keep = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._pool.open.add(self)

    def ask(self, data: bytes, asker: Asker) -> None:
        self._asker = asker
        self._count += 1
        self.transport.write(data)
        asker.on_written()

    def close(self) -> None:
        """Give the exchange up: nobody hears of its end."""
        self._asker = None
        self._pool.forget(self)
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._asker is None:  # nobody has asked for it
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._reply is None:
                self.transport.abort()
                return
            self._keep = False  # bytes behind a whole answer belong to no request
        if self._reply is not None:
            self._complete(self._reply)

    def _complete(self, reply: Reply) -> None:
        asker, self._asker, self._reply = self._asker, None, None
        if self._keep:
            self._pool.idle.append(self)
        else:
            self._pool.forget(self)
            self.transport.close()
        if asker is not None:
            asker.on_reply(reply)

    def connection_lost(self, exc: Exception | None) -> None:
        self._pool.forget(self)
        asker, self._asker = self._asker, None
        if asker is not None:
            asker.on_broken(self._count == 1)

    # --- the parser's calls ---

    def on_message_begin(self) -> None:
        if self._reply is not None:
            raise ValueError("bytes after a whole answer")
        self._headers, self._body, self._size = {}, [], 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > MOST_ANSWER:
            raise ValueError("the answer is too long")
        self._body.append(body)

    def on_message_complete(self) -> None:
        reply = Reply(self._parser.get_status_code(), self._headers, b"".join(self._body))
        if reply.status >= 200:  # others are interim: the final one follows
            self._reply = reply
            self._keep = self._parser.should_keep_alive()


class Ticket:
    """An exchange that is under way: it may be given up."""

    __slots__ = ("connection", "dropped")

    def __init__(self) -> None:
        self.connection: ClientConnection | None = None
        self.dropped = False

    def drop(self) -> None:
        self.dropped = True
        if self.connection is not None:
            self.connection.close()


class Pool:
    """Kept connections to one address; more are opened where all are busy."""

    def __init__(self, host: str, port: int, connect_s: float = 1.0) -> None:
        self.host = host
        self.port = port
        self.idle: list[ClientConnection] = []
        self.open: set[ClientConnection] = set()
        self._connect_s = connect_s
        self._connecting: set[asyncio.Task[None]] = set()

    def ask(self, data: bytes, asker: Asker, fresh: bool = False) -> Ticket:
        """Send a request; `fresh` asks for a new connection. The asker hears of no end within this call."""
        ticket = Ticket()
        if self.idle and not fresh:
            ticket.connection = self.idle.pop()
            ticket.connection.ask(data, asker)
        else:
            task = asyncio.get_running_loop().create_task(self._connect(data, asker, ticket))
            self._connecting.add(task)
            task.add_done_callback(self._connected)
        return ticket

    def _connected(self, task: asyncio.Task[None]) -> None:
        self._connecting.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            told = {"message": f"no connection to {self.host}:{self.port}", "exception": error}
            asyncio.get_running_loop().call_exception_handler(told)

    async def _connect(self, data: bytes, asker: Asker, ticket: Ticket) -> None:
        connection = ClientConnection(self)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_s):
                await loop.create_connection(lambda: connection, self.host, self.port)
        except (OSError, TimeoutError) as error:
            if isinstance(error, OSError) and error.errno in OUR_LIMIT:
                raise  # that says nothing of the other side
            if not ticket.dropped:
                asker.on_unreachable()
            return
        if ticket.dropped:
            if not connection.transport.is_closing():
                self.idle.append(connection)
            return
        ticket.connection = connection
        connection.ask(data, asker)

    def forget(self, connection: ClientConnection) -> None:
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self) -> None:
        for task in self._connecting:
            task.cancel()
        for connection in list(self.open):
            connection.close()


class Unanswered(Exception):
    """A call has brought no whole answer, and why."""


class _Fetch:
    """Who waits for one answer."""

    def __init__(self) -> None:
        self.told: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()

    def _fail(self, why: str) -> None:
        if not self.told.done():
            self.told.set_exception(Unanswered(why))

    def on_written(self) -> None: ...

    def on_reply(self, reply: Reply) -> None:
        if not self.told.done():
            self.told.set_result(reply)

    def on_broken(self, first: bool) -> None:
        self._fail("the connection broke")

    def on_unreachable(self) -> None:
        self._fail("no connection")


async def fetch(pool: Pool, data: bytes, wait_s: float, fresh: bool = False) -> Reply:
    """One request and its answer.

    Raises:
        Unanswered: none came in time, or the connection broke or never came up.
    """
    asker = _Fetch()
    ticket = pool.ask(data, asker, fresh)
    try:
        async with asyncio.timeout(wait_s):
            return await asker.told
    except TimeoutError:
        raise Unanswered(f"no answer within {wait_s:.3g} s") from None
    finally:
        if not asker.told.done() or asker.told.cancelled() or asker.told.exception() is not None:
            ticket.drop()
