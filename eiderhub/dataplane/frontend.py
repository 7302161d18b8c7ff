"""The sidecar's HTTP front end: client connections, client exchanges and the readiness endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from eiderhub.control.errors import HTTP_STATUS, ErrorKind
from eiderhub.dataplane.endpoint_connections import Headers
from eiderhub.dataplane.events import Event
from eiderhub.http1 import REASON_PHRASES, ConnectionLimits, Exchange, ServerConnection
from eiderhub.request_head import OPTIONAL_WHITESPACE

HOP_BY_HOP_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"content-length", b"trailer", b"upgrade")
)
LAST_CHUNK = b"0\r\n\r\n"
MAX_UNSENT_BYTES = 1 << 20  # of responses that a client has not read yet
SLOW_READER_TIMEOUT_S = 5.0  # the connection is closed if the client stays above that limit for this long
MAX_REQUEST_BODY_BYTES = 8 << 20


class ClientExchange(Exchange):
    """A client's request and the response to it; `ClientSink` adapts it to admission's `ResponseSink`."""

    __slots__ = ("client_address", "held_s", "response_started")

    def __init__(
        self, connection: FrontendConnection, first: bool, first_us: int, client_address: str
    ) -> None:
        super().__init__(connection, first, first_us)
        self.client_address = client_address
        self.response_started = False
        self.held_s = 0.0  # time spent waiting before the request was submitted to admission

    def begin(self, headers: Headers) -> None:
        self.response_started = True
        lines = [b"HTTP/1.1 200 OK"]
        lines += [b"%s: %s" % pair for pair in headers if pair[0].lower() not in HOP_BY_HOP_HEADERS]
        lines.append(b"Transfer-Encoding: chunked")
        if not self.keep_alive:
            lines.append(b"Connection: close")
        self.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def event(self, event: Event) -> None:
        self.write(b"%x\r\n%s\r\n" % (len(event.raw_bytes), event.raw_bytes))

    def finish(self) -> None:
        if not self.finished:
            self.write(LAST_CHUNK)
            self._connection.finish_exchange(self)

    def abort(self) -> None:
        """Close the connection, which shows the client that the response is incomplete."""
        if not self.finished:
            self.finished = True
            self._connection.transport.close()

    def forward_response(self, status: int, headers: Headers, body: bytes) -> None:
        forwarded = [pair for pair in headers if pair[0].lower() not in HOP_BY_HOP_HEADERS]
        if status in REASON_PHRASES:
            self.respond(status, body, *forwarded)
        else:
            self.refuse(ErrorKind.FAILED, 0)

    def refuse(self, kind: ErrorKind, retry_after_us: int) -> None:
        if retry_after_us:
            self.respond(HTTP_STATUS[kind], b"", (b"Retry-After", b"%.3f" % (retry_after_us / 1e6)))
        else:
            self.respond(HTTP_STATUS[kind])


class ClientSink:
    """Adapts a client exchange to `ResponseSink`, whose `answer` forwards an endpoint's response."""

    __slots__ = ("_exchange",)

    def __init__(self, exchange: ClientExchange) -> None:
        self._exchange = exchange

    def begin(self, headers: Headers) -> None:
        self._exchange.begin(headers)

    def event(self, event: Event) -> None:
        self._exchange.event(event)

    def finish(self) -> None:
        self._exchange.finish()

    def abort(self) -> None:
        self._exchange.abort()

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        self._exchange.forward_response(status, headers, body)

    def refuse(self, kind: ErrorKind, retry_after_us: int) -> None:
        self._exchange.refuse(kind, retry_after_us)


class RefundingSink(ClientSink):
    """The sink of a prepaid call: `refund` is called once if the call is refused and never runs."""

    __slots__ = ("_refund",)

    def __init__(self, exchange: ClientExchange, refund: Callable[[], None]) -> None:
        super().__init__(exchange)
        self._refund = refund

    def refuse(self, kind: ErrorKind, retry_after_us: int) -> None:
        if kind is ErrorKind.NOT_READY:
            self._refund()
        super().refuse(kind, retry_after_us)


class RequestHandler(Protocol):
    """Processes client requests."""

    @property
    def draining(self) -> bool: ...

    def serve(self, exchange: ClientExchange) -> None: ...


class FrontendConnection(ServerConnection):
    """A client connection."""

    def __init__(self, handler: RequestHandler, connections: set[ServerConnection]) -> None:
        loop = asyncio.get_running_loop()
        bounds = ConnectionLimits(
            max_body_bytes=MAX_REQUEST_BODY_BYTES,
            max_unsent_bytes=MAX_UNSENT_BYTES,
            write_timeout_s=SLOW_READER_TIMEOUT_S,
        )
        super().__init__(self._serve_request, lambda: int(loop.time() * 1e6), connections, limits=bounds)
        self._handler = handler
        self._client_address = ""
        self._head_complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        self._client_address = str(peer[0]) if peer else ""

    def on_message_begin(self) -> None:
        self._incoming = ClientExchange(self, self._request_count == 0, self._clock(), self._client_address)
        self._request_count += 1
        self._head_bytes = 0
        self._head_complete = False

    def on_headers_complete(self) -> None:
        self._head_complete = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; the values of a repeated one are one list (RFC 9110, section 5.3).

        Fields of the trailer section, which follow the body, are dropped: they change no header.
        """
        if self._head_complete:
            return
        value = value.strip(OPTIONAL_WHITESPACE)
        earlier = self._incoming.headers.get(name.lower()) if self._incoming is not None else None
        if earlier is not None:
            if name.lower() == b"host":
                self.refuse(400)
                raise ValueError("request for two hosts")
            value = b"%s, %s" % (earlier, value)
        super().on_header(name, value)

    def _serve_request(self, exchange: Exchange) -> None:
        assert isinstance(exchange, ClientExchange)
        if self._handler.draining:
            exchange.keep_alive = False
        self._handler.serve(exchange)

    @property
    def idle(self) -> bool:
        return self._current is None and self._incoming is None


class ReadinessConnection(ServerConnection):
    """Answers the platform's readiness checks."""

    def __init__(self, is_ready: Callable[[], bool], connections: set[ServerConnection]) -> None:
        super().__init__(self._answer, lambda: 0, connections)
        self._is_ready = is_ready

    def _answer(self, exchange: Exchange) -> None:
        exchange.respond(200 if self._is_ready() else 503)
