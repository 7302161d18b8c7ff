"""HTTP/1.1 for stand-ins: what an endpoint or discovery reads and answers, and what a caller asks.

Parsing is httptools'; here is only who is told what, and when a connection may be used again.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol, cast

import httptools

OUR_LIMIT = (errno.EMFILE, errno.ENFILE)  # no descriptor is left in this process, or on this machine
RESET = struct.pack("ii", 1, 0)  # a linger of no time: closing resets the connection
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def render(status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    lines = [b"HTTP/1.1 %d %s" % (status, REASONS[status])]
    lines += [b"%s: %s" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class Exchange:
    """One request as a server got it; it is answered at most once, and its caller may go before that."""

    __slots__ = ("_connection", "body", "first", "first_us", "gone", "headers", "method", "on_gone", "url")

    def __init__(self, connection: ServerConnection, first: bool, first_us: int) -> None:
        self._connection = connection
        self.method = b""
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.first = first  # on its connection
        self.first_us = first_us  # when its first byte came
        self.gone = False
        self.on_gone: Callable[[Exchange], None] | None = None

    def answer(self, status: int, body: bytes = b"", *headers: tuple[bytes, bytes]) -> None:
        self.write(render(status, list(headers), body))
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
        on_open: Callable[[], None] = lambda: None,
    ) -> None:
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
        self._connections.add(self)
        self._on_open()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.write(render(400, [(b"Connection", b"close")], b""))
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._connections.discard(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.gone = True
            if exchange.on_gone is not None:
                exchange.on_gone(exchange)

    def over(self, exchange: Exchange) -> None:
        if self._exchange is exchange:
            self._exchange = None
        exchange.gone = True

    def reset(self) -> None:
        sock: Any = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.transport.abort()

    # --- the parser's calls ---

    def on_message_begin(self) -> None:
        self._exchange = Exchange(self, self._count == 0, self._clock())
        self._count += 1

    def on_url(self, url: bytes) -> None:
        if self._exchange is not None:
            self._exchange.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._exchange is not None:
            self._exchange.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        if self._exchange is not None:
            self._exchange.body += body

    def on_message_complete(self) -> None:
        if self._exchange is not None:
            self._exchange.method = self._parser.get_method()
            self._serve(self._exchange)


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

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._pool.open.add(self)

    def ask(self, data: bytes, asker: Asker) -> None:
        self._asker = asker
        self._count += 1
        self._headers, self._body = {}, []
        self.transport.write(data)
        asker.on_written()

    def close(self) -> None:
        """Give the exchange up: nobody hears of its end."""
        self._asker = None
        self._pool.forget(self)
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._pool.forget(self)
        asker, self._asker = self._asker, None
        if asker is not None:
            asker.on_broken(self._count == 1)

    # --- the parser's calls ---

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        reply = Reply(self._parser.get_status_code(), self._headers, b"".join(self._body))
        if reply.status < 200:
            self._headers, self._body = {}, []
            return
        asker, self._asker = self._asker, None
        if self._parser.should_keep_alive():
            self._pool.idle.append(self)
        else:
            self._pool.forget(self)
            self.transport.close()
        if asker is not None:
            asker.on_reply(reply)


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
