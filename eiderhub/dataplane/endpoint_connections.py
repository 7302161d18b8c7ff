"""HTTP/1.1 client connections to endpoints: a keep-alive pool with one exchange at a time per connection.

A request is written once, to one connection. A failure reports whether the request may have been sent, as
precisely as the socket allows: a request that was certainly not sent may be retried on another endpoint.

The status and headers of a response are delivered together and never change afterwards. Bytes after the end
of a response belong to no request: they are not parsed, and the connection is closed. Requests with the same
id do not share a connection: a late second response to one could not be told from that to the next.
"""

from __future__ import annotations

import asyncio
import select
from collections import deque
from typing import Protocol, cast

import httptools

from eiderhub import address
from eiderhub.request_head import OPTIONAL_WHITESPACE

KEEP_ALIVE_SHARE = 0.6  # of the endpoint's keep-alive timeout for which we reuse an idle connection
DEFAULT_KEEP_ALIVE_S = 2.0  # keep-alive timeout of an endpoint that does not send one
CONNECT_TIMEOUT_S = 0.3
MAX_HEAD_BYTES = 64 << 10
MAX_IDLE_CONNECTIONS = 64  # per endpoint
REMEMBERED_IDS = 16  # of the latest requests on a connection; a second response comes soon after the first

Headers = tuple[tuple[bytes, bytes], ...]


class ResponseListener(Protocol):
    """Receives the response to one request."""

    def on_head(self, status: int, headers: Headers, reused: bool) -> None:
        """`reused`: the connection has carried an earlier request."""

    def on_data(self, data: bytes) -> None: ...

    def on_end(self) -> None:
        """The response is complete."""

    def on_failed(self, may_have_been_sent: bool) -> None:
        """The response will not complete; `may_have_been_sent`: the endpoint may have the request."""


class EndpointConnection(asyncio.Protocol):
    def __init__(self, pool: EndpointPool) -> None:
        self._pool = pool
        self._listener: ResponseListener | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._reset_response()
        self.request_count = 0  # requests written to this connection
        self._recent_ids: deque[bytes] = deque(maxlen=REMEMBERED_IDS)
        self.reusable_until = 0.0
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def is_usable(self, now: float) -> bool:
        """Whether a request may be written: the socket has no unexpected data and no end of file to read."""
        return not self.closed and now < self.reusable_until and not self._poll.poll(0)

    def has_carried(self, request_id: bytes) -> bool:
        """Whether one of the latest requests on this connection had this id."""
        return request_id in self._recent_ids

    def send(self, request_id: bytes, request: bytes, listener: ResponseListener) -> None:
        self._listener = listener
        self._reset_response()
        self.request_count += 1
        self._recent_ids.append(request_id)
        self._transport.write(request)

    def _reset_response(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._head_complete = False
        self._is_framed = False  # the response has a Content-Length or Transfer-Encoding
        self._finished = False
        self._keep_alive = False
        self._keep_alive_s = DEFAULT_KEEP_ALIVE_S

    def close(self) -> None:
        """Close the connection without notifying the listener of its exchange."""
        self._listener = None
        if not self.closed:
            self.closed = True
            self._transport.abort()
            self._pool.discard(self)

    def _fail(self) -> None:
        listener, self._listener = self._listener, None
        self.close()
        if listener is not None:
            listener.on_failed(True)

    def data_received(self, data: bytes) -> None:
        if self.closed:
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
            self._keep_alive = False
        if self._finished:
            self._finish_exchange()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed:
            self._fail()

    def _finish_exchange(self) -> None:
        listener, self._listener = self._listener, None
        keep_alive = self._keep_alive and self._keep_alive_s > 0
        self._reset_response()
        if keep_alive and not self.closed:
            self._pool.release(self, self._keep_alive_s * KEEP_ALIVE_SHARE)
        else:
            self.close()
        if listener is not None:
            listener.on_end()

    # --- httptools parser callbacks ---

    def on_message_begin(self) -> None:
        if self._finished:
            raise ValueError("bytes after the end of the response")

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError("response headers exceed the size limit")
        if self._head_complete:
            return  # a trailer field
        self._headers.append((name, value.strip(OPTIONAL_WHITESPACE)))
        lower = name.lower()
        if lower in (b"content-length", b"transfer-encoding"):
            self._is_framed = True
        elif lower == b"keep-alive":
            self._keep_alive_s = _keep_alive_timeout_s(value)

    def on_headers_complete(self) -> None:
        if self._is_interim():
            return
        self._head_complete = True
        if self._listener is not None:
            self._listener.on_head(
                self._parser.get_status_code(), tuple(self._headers), self.request_count > 1
            )

    def on_body(self, body: bytes) -> None:
        if self._listener is not None:
            self._listener.on_data(body)

    def on_message_complete(self) -> None:
        if self._is_interim():
            self._reset_response()
            return
        if not self._is_framed and self._parser.get_status_code() not in (204, 304):
            raise ValueError("response has neither Content-Length nor Transfer-Encoding")
        self._finished = True
        self._keep_alive = self._parser.should_keep_alive()

    def _is_interim(self) -> bool:
        """Whether this is a 1xx response, which the final response follows."""
        return bool(self._parser.get_status_code() < 200)


def _keep_alive_timeout_s(value: bytes) -> float:
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.lower() == b"timeout" and text.isdigit():
            return float(text)
    return DEFAULT_KEEP_ALIVE_S


class Exchange:
    """Handle of a request to an endpoint, for cancelling it."""

    def __init__(self) -> None:
        self._connection: EndpointConnection | None = None
        self.cancelled = False

    def attach(self, connection: EndpointConnection) -> None:
        self._connection = connection

    def cancel(self) -> None:
        if self.cancelled:
            return
        self.cancelled = True
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class EndpointPool:
    """The connections to one endpoint."""

    def __init__(self, target: str) -> None:
        host, port = address.parse_host_port(target)
        self._host, self._port = host, port
        self._idle_connections: list[EndpointConnection] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        self.connect_attempts = 0

    def send(self, request_id: bytes, request: bytes, listener: ResponseListener) -> Exchange:
        """Send a request; the listener is never called before this returns."""
        exchange = Exchange()
        connection = self._take_idle(request_id)
        if connection is not None:
            exchange.attach(connection)
            connection.send(request_id, request, _CancellableListener(listener, exchange))
            return exchange
        connecting = self._connect_and_send(request_id, request, listener, exchange)
        task = asyncio.get_running_loop().create_task(connecting)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return exchange

    def _take_idle(self, request_id: bytes) -> EndpointConnection | None:
        """The last used of the idle connections to which a request with this id may be written."""
        now = asyncio.get_running_loop().time()
        for connection in reversed(list(self._idle_connections)):
            if not connection.is_usable(now):
                connection.close()
            elif not connection.has_carried(request_id):
                self._idle_connections.remove(connection)
                return connection
        return None

    async def can_connect(self) -> bool:
        """Whether the endpoint accepts a connection, which is pooled for the next request."""
        connection = await self._open_connection()
        if connection is None:
            return False
        self.release(connection, DEFAULT_KEEP_ALIVE_S * KEEP_ALIVE_SHARE)
        return True

    async def _open_connection(self) -> EndpointConnection | None:
        """Open a connection; None on an error or after CONNECT_TIMEOUT_S."""
        self.connect_attempts += 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: EndpointConnection(self), self._host, self._port
                )
        except (OSError, TimeoutError):
            return None
        return connection

    async def _connect_and_send(
        self, request_id: bytes, request: bytes, listener: ResponseListener, exchange: Exchange
    ) -> None:
        connection = await self._open_connection()
        if connection is None:
            if not exchange.cancelled:
                listener.on_failed(False)
        elif exchange.cancelled:
            self.release(connection, DEFAULT_KEEP_ALIVE_S * KEEP_ALIVE_SHARE)
        elif connection.closed:
            listener.on_failed(False)
        else:
            exchange.attach(connection)
            connection.send(request_id, request, _CancellableListener(listener, exchange))

    def release(self, connection: EndpointConnection, reuse_for_s: float) -> None:
        if self._closed or len(self._idle_connections) >= MAX_IDLE_CONNECTIONS or connection.closed:
            connection.close()
            return
        connection.reusable_until = asyncio.get_running_loop().time() + reuse_for_s
        self._idle_connections.append(connection)

    def discard(self, connection: EndpointConnection) -> None:
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)

    def close_idle(self) -> None:
        for connection in list(self._idle_connections):
            connection.close()

    def close(self) -> None:
        """Close idle connections and pool no more: the endpoint was removed. Running exchanges continue."""
        self._closed = True
        self.close_idle()


class _CancellableListener:
    """Forwards the callbacks of an exchange until it has ended or was cancelled."""

    __slots__ = ("_exchange", "_listener")

    def __init__(self, listener: ResponseListener, exchange: Exchange) -> None:
        self._listener = listener
        self._exchange = exchange

    def on_head(self, status: int, headers: Headers, reused: bool) -> None:
        if not self._exchange.cancelled:
            self._listener.on_head(status, headers, reused)

    def on_data(self, data: bytes) -> None:
        if not self._exchange.cancelled:
            self._listener.on_data(data)

    def on_end(self) -> None:
        if not self._exchange.cancelled:
            self._exchange.cancelled = True
            self._listener.on_end()

    def on_failed(self, may_have_been_sent: bool) -> None:
        if not self._exchange.cancelled:
            self._exchange.cancelled = True
            self._listener.on_failed(may_have_been_sent)
