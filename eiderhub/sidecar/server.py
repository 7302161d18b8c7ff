"""The server for callers: connection limits, validation of requests and the readiness check `/up`."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import structlog

from eiderhub.interface import Effect, RequestClass
from eiderhub.sidecar.bodies import MAX_BUFFERED_BYTES
from eiderhub.sidecar.caller import SHUTTING_DOWN, CallerConnection, IncomingRequest, RequestRejected
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.host import Host, Request
from eiderhub.sidecar.lifecycle import Intake, Lifecycle
from eiderhub.sidecar.upstream import HOP_BY_HOP

MAX_DEADLINE_MS = 3_600_000
TIMEOUT_CHECK_INTERVAL_S = 0.25
BACKLOG = 1024
FAILURE_LOG_INTERVAL_S = 5.0  # how often failure reasons are logged
MAX_FAILURE_REASONS = 20  # distinct reasons in one log line
FIRST_REQUEST_GRACE_S = 1.0  # a connection whose first request takes longer may be closed to make room
EXTRA_CONNECTIONS = 8  # accepted above the limit, to be answered with 503
OVERLOAD_RETRY_AFTER = b"1"  # seconds, as the value of Retry-After
NOT_FORWARDED = HOP_BY_HOP | {b"req-deadline-ms"}  # set for each attempt
log = structlog.get_logger()


class Server:
    """Accepts callers' connections and validates their requests."""

    def __init__(self, host: Host, max_connections: int, buffer_limit: int = MAX_BUFFERED_BYTES) -> None:
        self.host = host
        self.buffer_limit = buffer_limit  # bytes of a body per connection, in either direction
        self.max_connections = max_connections
        self.callers: dict[CallerConnection, None] = {}  # least recently served first
        self.open_request_ids: set[bytes] = set()
        self.classes = {c.name.encode(): c for c in host.settings.classes}
        self.tenants = {t.name for t in host.settings.tenants}
        self.intake = Intake.OPEN
        self._failure_counts: dict[str, int] = {}  # by reason, since the last log line
        self._accepting: set[asyncio.Future[Any]] = set()  # from the accept queue of the closed listener
        self.lifecycle = Lifecycle(self, host.endpoints_known.is_set)

    async def bind(self, host: str, port: int, inherited: socket.socket | None = None) -> None:
        """Bind the address or use the inherited socket; connections queue until serving starts."""
        self._socket = inherited or _bound_socket(host, port)
        self.listener = await asyncio.get_running_loop().create_server(
            self._connection, backlog=BACKLOG, start_serving=False, sock=self._socket
        )
        self._inherited = inherited is not None

    def _connection(self) -> CallerConnection:
        return CallerConnection(self)

    def on_connected(self, caller: CallerConnection) -> None:
        self.callers[caller] = None
        if len(self.callers) > self.max_connections:
            self._close_excess(caller)

    def on_answered(self, caller: CallerConnection) -> None:
        """Mark the connection as the most recently served: it is the last to be closed to make room."""
        if self.callers.pop(caller, caller) is None:
            self.callers[caller] = None

    def _close_excess(self, newest: CallerConnection) -> None:
        """Close an idle connection or, if there is none, one whose first request is slow to arrive.

        The closed connection is removed from `callers` at once, as the event loop reports its end only later.
        If it were still listed, each new connection would select it again and be refused.
        """
        before = now_us() - int(FIRST_REQUEST_GRACE_S * 1e6)
        closing = next((c for c in self.callers if c.can_close() and c is not newest), None)
        closing = closing or next(
            (c for c in self.callers if c.receiving_first_request and c.idle_since_us < before), None
        )
        if closing is None and len(self.callers) > self.max_connections + EXTRA_CONNECTIONS:
            closing = newest  # keep descriptors free for other uses
        if closing is not None:
            del self.callers[closing]
            self.count_failure("closed to make room")
            closing.transport.abort()  # no answer is due there, and the descriptor is needed now

    def on_disconnected(self, caller: CallerConnection) -> None:
        self.callers.pop(caller, None)

    def release_id(self, request_id: bytes) -> None:
        self.open_request_ids.discard(request_id)

    def count_failure(self, reason: str) -> None:
        if reason in self._failure_counts or len(self._failure_counts) < MAX_FAILURE_REASONS:
            self._failure_counts[reason] = self._failure_counts.get(reason, 0) + 1

    async def log_failures(self) -> None:
        """Periodically log the reasons for refused requests and closed connections, in one line."""
        while True:
            await asyncio.sleep(FAILURE_LOG_INTERVAL_S)
            if self._failure_counts:
                log.info("callers turned away", reasons=dict(sorted(self._failure_counts.items())))
                self._failure_counts.clear()

    async def watch_timeouts(self) -> None:
        """Periodically time out callers that don't send or don't read."""
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now = now_us()
            for caller in list(self.callers):
                caller.check_timeouts(now)

    def close_idle(self, idle_s: float) -> None:
        before = now_us() - int(idle_s * 1e6)
        for caller in list(self.callers):
            if caller.idle_since_us <= before and caller.can_close():
                caller.half_close()

    def shut_down(self) -> None:
        """On process exit: reject incomplete requests and close idle connections."""
        for caller in list(self.callers):
            caller.shut_down()

    def stop_listening(self) -> None:
        """Stop accepting connections, after accepting those already in the kernel's queue.

        Closing the last descriptor of a listening socket resets the queued connections, even those that hold
        complete requests. An inherited socket stays open in another process, which accepts them.
        """
        while not self._inherited and (accepted := _accept_pending(self._socket)) is not None:
            connecting = asyncio.get_running_loop().connect_accepted_socket(self._connection, accepted)
            task = asyncio.ensure_future(connecting)
            self._accepting.add(task)
            task.add_done_callback(self._on_accepted)
        self.listener.close()

    def _on_accepted(self, task: asyncio.Future[Any]) -> None:
        self._accepting.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.warning("a caller was lost as it came", reason=str(error))

    def has_connections(self) -> bool:
        return bool(self.callers or self._accepting)

    # --- validating a request ---

    def admit(self, caller: CallerConnection, incoming: IncomingRequest) -> Request | None:
        """Return the request to serve, or None if it has already been answered."""
        if incoming.rejection is not None:
            raise incoming.rejection
        if _path(incoming.url) == b"/up":
            self._answer_readiness(caller, incoming)
            return None
        request_class = self._find_class(incoming)
        if self.intake is Intake.NONE:
            raise RequestRejected(503, SHUTTING_DOWN)
        request = self._build_request(caller, incoming, request_class)
        if len(self.callers) > self.max_connections:
            caller.keep_alive = False
            self.host.figures.count_answer(request_class.name, 503)
            self.count_failure("503 too many connections")
            # Safe to retry: no endpoint has seen the request.
            caller.answer(503, [(b"Retry-After", OVERLOAD_RETRY_AFTER)], b"")
            return None
        return request

    def check_head(self, incoming: IncomingRequest) -> None:
        """Check a request whose body has not been received yet.

        Raises:
            RequestRejected: with the reason.
        """
        request_class = self._find_class(incoming)
        fields = {name.lower(): value for name, value in incoming.headers}
        _check_method(incoming.method, request_class, fields)
        self._tenant(fields)

    def _find_class(self, incoming: IncomingRequest) -> RequestClass:
        path = _path(incoming.url)
        request_class = self.classes.get(path[1:].partition(b"/")[0]) if path[:1] == b"/" else None
        if request_class is None:
            raise RequestRejected(404, "no such class")
        return request_class

    def _answer_readiness(self, caller: CallerConnection, incoming: IncomingRequest) -> None:
        if incoming.method != b"GET":
            raise RequestRejected(405, "GET only")
        caller.answer(200 if self.lifecycle.is_serving else 503, [], b"")

    def _build_request(
        self, caller: CallerConnection, incoming: IncomingRequest, request_class: RequestClass
    ) -> Request:
        fields: dict[bytes, bytes] = {}
        lines = [b"%s %s HTTP/1.1\r\n" % (incoming.method, _origin_form(incoming.url))]
        for name, value in incoming.headers:
            key = name.lower()
            if key in fields and (key.startswith(b"req-") or key == b"idempotency-key"):
                raise RequestRejected(400, f"{key.decode('latin-1')}: given twice")
            fields[key] = value
            if key not in NOT_FORWARDED:
                lines.append(b"%s: %s\r\n" % (name, value))
        if b"host" not in fields:  # optional in HTTP/1.0, required in the HTTP/1.1 request to the endpoint
            lines.append(b"Host: endpoint\r\n")
        _check_method(incoming.method, request_class, fields)
        request_id = fields.get(b"req-id", b"")
        if not _is_token(request_id):
            raise RequestRejected(400, "req-id: missing or bad")
        deadline_ms = _parse_number(fields, b"req-deadline-ms", MAX_DEADLINE_MS)
        if deadline_ms is None:
            raise RequestRejected(400, "req-deadline-ms: missing")
        if fields.get(b"req-retry", b"1") not in (b"0", b"1"):
            raise RequestRejected(400, "req-retry: bad value")
        hint_us = _parse_number(fields, b"req-cost", 1 << 50)
        tenant = self._tenant(fields)
        if request_id in self.open_request_ids:
            # Two requests would share an id, and endpoints could not tell their attempts apart.
            raise RequestRejected(409, "req-id: this request is open")
        upload = incoming.upload
        length = len(incoming.body) if upload is None else upload.length
        if length is None:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        elif length or request_class.effect is not Effect.IDEMPOTENT:
            lines.append(b"Content-Length: %d\r\n" % length)
        return Request(
            caller,
            request_class.name,
            tenant,
            hint_us,
            incoming.arrived_us,
            deadline_ms * 1000,
            b"".join(lines),
            incoming.body if upload is None else upload,
            request_id,
        )

    def _tenant(self, fields: dict[bytes, bytes]) -> str | None:
        """The tenant. Unknown names are rejected: each would get a budget of its own, and memory for it."""
        if not self.tenants:
            return None
        owner = fields.get(b"req-owner", b"").decode("latin-1")
        if owner not in self.tenants:
            raise RequestRejected(400, "req-owner: missing or unknown")
        return owner


def _bound_socket(host: str, port: int) -> socket.socket:
    """Bind a socket to the address without listening."""
    family, kind, _, _, address = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)[0]
    sock = socket.socket(family, kind)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
    except OSError as error:
        sock.close()
        reason = (error.strerror or str(error)).lower()
        raise OSError(error.errno, f"can't listen on {host}:{port}: {reason}") from None
    return sock


def _accept_pending(listener: socket.socket) -> socket.socket | None:
    try:
        return listener.accept()[0]
    except OSError:  # the queue is empty, or no descriptor is left
        return None


def _origin_form(url: bytes) -> bytes:
    """Path and query of a request target, which may be in absolute form."""
    scheme, found, rest = url.partition(b"://")
    if not found or scheme.lower() not in (b"http", b"https"):
        return url
    end = min((index for index in (rest.find(b"/"), rest.find(b"?")) if index >= 0), default=len(rest))
    target = rest[end:]
    return target if target.startswith(b"/") else b"/" + target


def _path(url: bytes) -> bytes:
    return _origin_form(url).partition(b"?")[0]


def _check_method(method: bytes, request_class: RequestClass, fields: dict[bytes, bytes]) -> None:
    if method != (b"GET" if request_class.effect is Effect.IDEMPOTENT else b"POST"):
        raise RequestRejected(405, "the method does not fit the class")
    if request_class.effect is Effect.DEDUPLICATED and not fields.get(b"idempotency-key"):
        raise RequestRejected(400, "idempotency-key: missing")


def _is_token(value: bytes) -> bool:
    return 0 < len(value) <= 128 and all(0x21 <= byte <= 0x7E for byte in value)


def _parse_number(fields: dict[bytes, bytes], key: bytes, maximum: int) -> int | None:
    text = fields.get(key)
    if text is None:
        return None
    if not text.isdigit() or len(text) > 18 or int(text) > maximum:
        raise RequestRejected(400, f"{key.decode()}: no number within its range")
    return int(text)
