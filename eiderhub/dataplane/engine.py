"""Connections to endpoints: kept ones, new ones, one exchange at a time on each, and how each ended.

A request is written once, to one connection. What is told of its end is as fine as the socket allows: a
request that has surely not left may be sent elsewhere.

An answer's head is handed over whole and never changes afterwards. Bytes that follow a whole answer belong to
no request: they are never parsed, and their connection is closed.
"""

from __future__ import annotations

import asyncio
import select
from typing import Protocol, cast

import httptools

from eiderhub import address

KEEP_SHARE = 0.6  # of the time that an endpoint keeps an idle connection, how long we use it
KEEP_S = 2.0  # that time, where it is not told
CONNECT_S = 0.3
MOST_HEAD = 64 << 10
MOST_IDLE = 64  # idle connections kept to one endpoint

Headers = tuple[tuple[bytes, bytes], ...]


class Listener(Protocol):
    """Who made a request of an endpoint."""

    def on_head(self, status: int, headers: Headers, reused: bool) -> None:
        """`reused`: the connection has carried another request before."""

    def on_data(self, data: bytes) -> None: ...

    def on_end(self) -> None:
        """The whole answer has come."""

    def on_lost(self, written: bool) -> None:
        """No whole answer will come; `written`: the request may have reached the endpoint."""


class EngineConnection(asyncio.Protocol):
    def __init__(self, pool: EnginePool) -> None:
        self._pool = pool
        self._listener: Listener | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._reset()
        self.exchanges = 0  # requests written to it
        self.idle_until = 0.0
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def usable(self, now: float) -> bool:
        """Whether a request may be written: nothing has come that nobody asked for, its end included."""
        return not self.lost and now < self.idle_until and not self._poll.poll(0)

    def ask(self, data: bytes, listener: Listener) -> None:
        self._listener = listener
        self._reset()
        self.exchanges += 1
        self._transport.write(data)

    def _reset(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._head_whole = False
        self._has_end = False  # whether the answer's framing tells where it ends
        self._finished = False
        self._keep = False
        self._keep_s = KEEP_S

    def close(self) -> None:
        """Give the exchange up; its listener hears no more."""
        self._listener = None
        if not self.lost:
            self.lost = True
            self._transport.abort()
            self._pool.forget(self)

    def _fail(self) -> None:
        listener, self._listener = self._listener, None
        self.close()
        if listener is not None:
            listener.on_lost(True)

    def data_received(self, data: bytes) -> None:
        if self.lost:
            return
        if self._listener is None or self._finished:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._finished:
                self._fail()
                return
            self._keep = False
        if self._finished:
            self._complete()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.lost:
            self._fail()

    def _complete(self) -> None:
        listener, self._listener = self._listener, None
        keep = self._keep and self._keep_s > 0
        self._reset()
        if keep and not self.lost:
            self._pool.release(self, self._keep_s * KEEP_SHARE)
        else:
            self.close()
        if listener is not None:
            listener.on_end()

    # --- the parser's calls ---

    def on_message_begin(self) -> None:
        if self._finished:
            raise ValueError("bytes after a whole answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MOST_HEAD:
            raise ValueError("the head is too long")
        if self._head_whole:
            return  # a trailer
        self._headers.append((name, value))
        lower = name.lower()
        if lower in (b"content-length", b"transfer-encoding"):
            self._has_end = True
        elif lower == b"keep-alive":
            self._keep_s = _keep_alive(value)

    def on_headers_complete(self) -> None:
        if self._is_interim():
            return
        self._head_whole = True
        if self._listener is not None:
            self._listener.on_head(self._parser.get_status_code(), tuple(self._headers), self.exchanges > 1)

    def on_body(self, body: bytes) -> None:
        if self._listener is not None:
            self._listener.on_data(body)

    def on_message_complete(self) -> None:
        if self._is_interim():
            self._reset()
            return
        if not self._has_end and self._parser.get_status_code() not in (204, 304):
            raise ValueError("an answer without an end")
        self._finished = True
        self._keep = self._parser.should_keep_alive()

    def _is_interim(self) -> bool:
        """Whether it is a 1xx answer: the final one follows."""
        return bool(self._parser.get_status_code() < 200)


def _keep_alive(value: bytes) -> float:
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.lower() == b"timeout" and text.isdigit():
            return float(text)
    return KEEP_S


class Exchange:
    """A request that was made of an endpoint; it may be given up."""

    def __init__(self) -> None:
        self._connection: EngineConnection | None = None
        self.dropped = False

    def attach(self, connection: EngineConnection) -> None:
        self._connection = connection

    def drop(self) -> None:
        if self.dropped:
            return
        self.dropped = True
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class EnginePool:
    """Connections to one endpoint."""

    def __init__(self, target: str) -> None:
        host, port = address.parse(target)
        self._host, self._port = host, port
        self._idle: list[EngineConnection] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        self.opened = 0

    def ask(self, data: bytes, listener: Listener) -> Exchange:
        """Send a request; the listener hears nothing within this call."""
        exchange = Exchange()
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.usable(now):
                exchange.attach(connection)
                connection.ask(data, _Once(listener, exchange))
                return exchange
            connection.close()
        task = asyncio.get_running_loop().create_task(self._connect(data, listener, exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return exchange

    async def reach(self) -> bool:
        """Whether the endpoint takes a connection; it is kept for the next request."""
        connection = await self._open()
        if connection is None:
            return False
        self.release(connection, KEEP_S * KEEP_SHARE)
        return True

    async def _open(self) -> EngineConnection | None:
        """A new connection; None: none has come up in time."""
        self.opened += 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_S):
                _, connection = await loop.create_connection(
                    lambda: EngineConnection(self), self._host, self._port
                )
        except (OSError, TimeoutError):
            return None
        return connection

    async def _connect(self, data: bytes, listener: Listener, exchange: Exchange) -> None:
        connection = await self._open()
        if connection is None:
            if not exchange.dropped:
                listener.on_lost(False)
        elif exchange.dropped:
            self.release(connection, KEEP_S * KEEP_SHARE)
        elif connection.lost:
            listener.on_lost(False)
        else:
            exchange.attach(connection)
            connection.ask(data, _Once(listener, exchange))

    def release(self, connection: EngineConnection, keep_s: float) -> None:
        if self._closed or len(self._idle) >= MOST_IDLE or connection.lost:
            connection.close()
            return
        connection.idle_until = asyncio.get_running_loop().time() + keep_s
        self._idle.append(connection)

    def forget(self, connection: EngineConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)

    def close_idle(self) -> None:
        for connection in list(self._idle):
            connection.close()

    def close(self) -> None:
        """The endpoint has left: exchanges under way go on, none is kept."""
        self._closed = True
        self.close_idle()


class _Once:
    """Passes an exchange's events on until it is given up or has ended."""

    __slots__ = ("_exchange", "_listener")

    def __init__(self, listener: Listener, exchange: Exchange) -> None:
        self._listener = listener
        self._exchange = exchange

    def on_head(self, status: int, headers: Headers, reused: bool) -> None:
        if not self._exchange.dropped:
            self._listener.on_head(status, headers, reused)

    def on_data(self, data: bytes) -> None:
        if not self._exchange.dropped:
            self._listener.on_data(data)

    def on_end(self) -> None:
        if not self._exchange.dropped:
            self._exchange.dropped = True
            self._listener.on_end()

    def on_lost(self, written: bool) -> None:
        if not self._exchange.dropped:
            self._exchange.dropped = True
            self._listener.on_lost(written)
