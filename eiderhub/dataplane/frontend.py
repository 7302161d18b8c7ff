"""The sidecar's listener for clients: each request is routed, taken by admission, and answered once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from eiderhub.control.errors import STATUS, ErrorKind
from eiderhub.dataplane.engine import Headers
from eiderhub.dataplane.events import Event
from eiderhub.http1 import REASONS, Bounds, Exchange, ServerConnection

# Headers that belong to one connection (RFC 9110, 7.6.1), and those that the sidecar writes itself.
NOT_PASSED_ON = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding",
        b"upgrade", b"content-length", b"expect", b"timeout-ms", b"expect-instance",
    )
)  # fmt: skip
HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"content-length", b"trailer", b"upgrade")
)
LAST_CHUNK = b"0\r\n\r\n"
UNSENT_BYTES = 1 << 20  # of answers that a client may leave unread
READER_S = 5.0  # for so long
MOST_REQUEST = 8 << 20


class ClientExchange(Exchange):
    """A client's request; implements admission's `Sink`."""

    __slots__ = ("begun", "client", "held_s")

    def __init__(self, connection: FrontendConnection, first: bool, first_us: int, client: str) -> None:
        super().__init__(connection, first, first_us)
        self.client = client
        self.begun = False
        self.held_s = 0.0  # before anything could be decided on it

    def begin(self, headers: Headers) -> None:
        self.begun = True
        lines = [b"HTTP/1.1 200 OK"]
        lines += [b"%s: %s" % pair for pair in headers if pair[0].lower() not in HOP_BY_HOP]
        lines.append(b"Transfer-Encoding: chunked")
        if not self.keep:
            lines.append(b"Connection: close")
        self.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def event(self, event: Event) -> None:
        self.write(b"%x\r\n%s\r\n" % (len(event.raw), event.raw))

    def finish(self) -> None:
        if not self.gone:
            self.write(LAST_CHUNK)
            self._connection.over(self)

    def break_off(self) -> None:
        """The end of the connection tells that the answer is not whole."""
        if not self.gone:
            self.gone = True
            self._connection.transport.close()

    def answer_from(self, status: int, headers: Headers, body: bytes) -> None:
        kept = [pair for pair in headers if pair[0].lower() not in HOP_BY_HOP]
        if status in REASONS:
            self.answer(status, body, *kept)
        else:
            self.refuse(ErrorKind.FAILED, 0)

    def refuse(self, kind: ErrorKind, retry_after_us: int) -> None:
        if retry_after_us:
            self.answer(STATUS[kind], b"", (b"Retry-After", b"%.3f" % (retry_after_us / 1e6)))
        else:
            self.answer(STATUS[kind])


class ClientSink:
    """Gives an exchange the shape of a sink, whose `answer` is an endpoint's."""

    __slots__ = ("_exchange",)

    def __init__(self, exchange: ClientExchange) -> None:
        self._exchange = exchange

    def begin(self, headers: Headers) -> None:
        self._exchange.begin(headers)

    def event(self, event: Event) -> None:
        self._exchange.event(event)

    def finish(self) -> None:
        self._exchange.finish()

    def break_off(self) -> None:
        self._exchange.break_off()

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        self._exchange.answer_from(status, headers, body)

    def refuse(self, kind: ErrorKind, retry_after_us: int) -> None:
        self._exchange.refuse(kind, retry_after_us)


class PaidSink(ClientSink):
    """The sink of a call that was paid for: `refund` is called once if the call is refused and never runs."""

    __slots__ = ("_refund",)

    def __init__(self, exchange: ClientExchange, refund: Callable[[], None]) -> None:
        super().__init__(exchange)
        self._refund = refund

    def refuse(self, kind: ErrorKind, retry_after_us: int) -> None:
        if kind is ErrorKind.NOT_READY:
            self._refund()
        super().refuse(kind, retry_after_us)


class Server(Protocol):
    """What serves a client's requests."""

    @property
    def draining(self) -> bool: ...

    def serve(self, exchange: ClientExchange) -> None: ...


class FrontendConnection(ServerConnection):
    """A client's connection."""

    def __init__(self, server: Server, connections: set[ServerConnection]) -> None:
        loop = asyncio.get_running_loop()
        bounds = Bounds(body_bytes=MOST_REQUEST, unsent_bytes=UNSENT_BYTES, reader_s=READER_S)
        super().__init__(self._serve_one, lambda: int(loop.time() * 1e6), connections, bounds=bounds)
        self._server = server
        self._client = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        self._client = str(peer[0]) if peer else ""

    def on_message_begin(self) -> None:
        self._reading = ClientExchange(self, self._count == 0, self._clock(), self._client)
        self._count += 1
        self._head = 0

    def _serve_one(self, exchange: Exchange) -> None:
        assert isinstance(exchange, ClientExchange)
        if self._server.draining:
            exchange.keep = False
        self._server.serve(exchange)

    @property
    def idle(self) -> bool:
        return self._exchange is None and self._reading is None


class ReadinessConnection(ServerConnection):
    """Answers the platform's question whether this sidecar takes requests."""

    def __init__(self, ready: Callable[[], bool], connections: set[ServerConnection]) -> None:
        super().__init__(self._answer, lambda: 0, connections)
        self._ready = ready

    def _answer(self, exchange: Exchange) -> None:
        exchange.answer(200 if self._ready() else 503)


def request_head(method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes) -> bytes:
    """Request line and headers for an endpoint, but for those that differ by attempt."""
    lines = [b"%s %s HTTP/1.1\r\n" % (method, target)]
    lines += [b"%s: %s\r\n" % pair for pair in headers.items() if pair[0].lower() not in NOT_PASSED_ON]
    if body or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d\r\n" % len(body))
    return b"".join(lines)
