"""The server side of one caller's connection: parses requests and writes their answers in order."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
from enum import Enum
from http import HTTPStatus
from typing import Any, Protocol, cast

import httptools
import structlog

from eiderhub.sidecar.bodies import (
    LAST_CHUNK,
    MAX_BODY_BYTES,
    READ_BUFFER_BYTES,
    STALL_TIMEOUT_S,
    FramingError,
    Headers,
    Source,
    Upload,
    encode_chunk,
    parse_framing,
)
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.host import Host, Request
from eiderhub.sidecar.lifecycle import Intake
from eiderhub.sidecar.upstream import HOP_BY_HOP, Response

MAX_HEAD_BYTES = 16 * 1024
# To receive a request, from connecting or its first byte; the terms require an end within 3 s.
READ_TIMEOUT_S = 2.5
BODY_START_TIMEOUT_S = 1.5  # at least, from a complete head to the first byte of the body
MIN_BODY_BYTES_PER_S = 48_000  # minimum rate of a body: slow clients send 64 kB, with pauses
PARSE_BYTES = 2048  # bytes parsed at a time if a read may hold many pipelined requests, which then wait
# A read with at most this many heads is parsed at once. In parts, a body would be forwarded in parts, too.
MAX_HEADS_PER_PARSE = 8
HALF_CLOSE_WAIT_S = 1.0  # after half-closing, how long to read input while waiting for the caller to close
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
ZERO_LINGER = struct.pack("ii", 1, 0)  # closing with this SO_LINGER value resets the connection
log = structlog.get_logger()


class ConnectionStage(Enum):
    """The stage of a connection; it never returns to an earlier one."""

    OPEN = 1  # reading requests
    NO_MORE_INPUT = 2  # no more input is parsed; accepted requests are still answered
    DISCARDING = 3  # the rest of a body is read and dropped, so that the caller reads its answer
    HALF_CLOSED = 4  # our side is closed; input is dropped until the caller closes
    CLOSED = 5


SHUTTING_DOWN = "the sidecar ends"  # the reason given to callers
READING_STAGES = (ConnectionStage.OPEN, ConnectionStage.DISCARDING)


class RequestRejected(Exception):
    """An invalid or refused request, answered without involving the balancer or an endpoint."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class IncomingRequest:
    """A request as received, or the reason why it is rejected."""

    __slots__ = (
        "arrived_us", "body", "expects_continue", "headers", "http_1_1", "keep_alive", "method", "rejection",
        "upload", "url",
    )  # fmt: skip

    def __init__(self, rejection: RequestRejected | None = None) -> None:
        self.method = b""
        self.url = b""
        self.headers: Headers = []
        self.body = b""
        self.upload: Upload | None = None  # the body, if it is forwarded while it is received
        self.http_1_1 = True
        self.keep_alive = False
        self.expects_continue = False  # `Expect: 100-continue`: the caller waits before sending the body
        self.arrived_us = 0
        self.rejection = rejection


class CallerServer(Protocol):
    """What caller connections need of the server: shared state and the admission of requests."""

    host: Host
    buffer_limit: int  # bytes of a body, in either direction
    intake: Intake
    open_request_ids: set[bytes]  # ids of the requests not yet answered

    def on_connected(self, caller: CallerConnection) -> None: ...

    def on_answered(self, caller: CallerConnection) -> None:
        """An answer has been written to this connection."""

    def on_disconnected(self, caller: CallerConnection) -> None: ...

    def release_id(self, request_id: bytes) -> None:
        """The request with this id has ended."""

    def count_failure(self, reason: str) -> None:
        """Count a refused request or a closed connection under this reason."""

    def check_head(self, incoming: IncomingRequest) -> None:
        """Check a request whose body has not been received yet.

        Raises:
            RequestRejected: with the reason.
        """

    def admit(self, caller: CallerConnection, incoming: IncomingRequest) -> Request | None:
        """Return the request to serve, or None if it has already been answered."""


class CallerConnection(asyncio.BufferedProtocol):
    """One caller's connection; requests are served one at a time, in order."""

    _buffer = bytearray(READ_BUFFER_BYTES)  # shared by all connections: each read is consumed at once

    def __init__(self, server: CallerServer) -> None:
        self.server = server
        self.current: Request | None = None
        self.pipelined: list[IncomingRequest] = []  # pipelined requests, waiting for the current one
        self.keep_alive = True
        self.receiving = False
        self.read_deadline_us = 0  # when the first request, or the one being received, is timed out; 0: never
        self.stage = ConnectionStage.OPEN
        self.congested = False  # the write buffer is full: the caller reads too slowly
        self.write_blocked_since_us = 0
        self.rejection: RequestRejected | None = None
        self._http_1_1 = True  # whether the current request is HTTP/1.1
        self._current_upload: Upload | None = None  # its body, if that is forwarded while it is received
        self._incoming: IncomingRequest | None = None  # the request being received, once its head is complete
        self._answer_source: Source | None = None  # the source of an answer that is being forwarded
        self._answer_chunked = False  # whether that answer is written chunked
        self._reading_paused = False
        self._unparsed = b""  # input read but not yet parsed
        self._last_read_us = 0  # when the last input was read
        self._close_timer: asyncio.TimerHandle | None = None
        self._awaiting_first_answer = True
        self.parser = httptools.HttpRequestParser(self)

    # --- the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A cast, not `isinstance`: uvloop's transports don't subclass asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=self.server.buffer_limit)
        self.idle_since_us = now_us()
        self.read_deadline_us = self.idle_since_us + int(READ_TIMEOUT_S * 1e6)
        self.server.on_connected(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._last_read_us = now_us()
        if not self._unparsed and (nbytes <= PARSE_BYTES or self._count_heads(nbytes) <= MAX_HEADS_PER_PARSE):
            self._parse(memoryview(self._buffer)[:nbytes])
        else:
            self._unparsed += memoryview(self._buffer)[:nbytes]
            self._parse_pending()

    def _count_heads(self, nbytes: int) -> int:
        """An upper bound of the number of request heads that end in this read."""
        return self._buffer.count(b"\n\r\n", 0, nbytes) + self._buffer.count(b"\n\n", 0, nbytes)

    def _parse_pending(self) -> None:
        """Parse pending input until a request has to wait; parsed requests take many times the memory."""
        while self._unparsed and not self.pipelined and self.stage in READING_STAGES:
            part, self._unparsed = self._unparsed[:PARSE_BYTES], self._unparsed[PARSE_BYTES:]
            self._parse(part)
        if self.stage not in READING_STAGES:
            self._unparsed = b""
        self.update_flow_control()

    def _parse(self, data: bytes | memoryview) -> None:
        if self.stage not in READING_STAGES:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request itself is served, and its answer closes the connection.
            self.stage = ConnectionStage.NO_MORE_INPUT
        except httptools.HttpParserError:
            self.stop_reading(self.rejection or RequestRejected(400, "malformed HTTP"))

    def stop_reading(self, rejection: RequestRejected) -> None:
        """Stop parsing input; the rejection is answered in order and closes the connection."""
        if self.stage is ConnectionStage.DISCARDING:
            self.half_close()
        if self.stage is not ConnectionStage.OPEN:
            return
        self.stage = ConnectionStage.NO_MORE_INPUT
        incoming, self._incoming = self._incoming, None
        if incoming is None or incoming.upload is None:
            self._serve_or_queue(IncomingRequest(rejection))
        elif self.current is not None and self.current.upload is incoming.upload:
            self.server.count_failure(f"{rejection.status} {rejection}, amid a body")
            self.server.host.fail_upload(self.current, rejection.status, f"{rejection}\n".encode())
        else:  # it is already in the queue
            incoming.rejection = rejection

    def eof_received(self) -> bool:
        return False  # a half-closed connection counts as closed by the caller

    def connection_lost(self, exc: Exception | None) -> None:
        self.stage = ConnectionStage.CLOSED
        if self._close_timer is not None:
            self._close_timer.cancel()
            self._close_timer = None
        del self.parser  # breaks a reference cycle; such cycles would accumulate until a full collection
        self.pipelined.clear()
        self._unparsed = b""
        self._incoming = self._answer_source = self._current_upload = None
        self.server.on_disconnected(self)
        current = self._release_current()
        if current is not None:
            self.server.host.on_caller_disconnect(current)

    def _release_current(self) -> Request | None:
        """Detach and return the current request, if any."""
        current, self.current = self.current, None
        if current is not None:
            self.server.release_id(current.id)
            self.server.host.figures.inflight -= current.body_complete
        return current

    def update_flow_control(self) -> None:
        """Pause or resume reading, depending on waiting requests and the congestion of the upload."""
        upload = self._incoming.upload if self._incoming is not None else None
        pause = bool(self.pipelined) or (upload is not None and upload.congested)
        if pause == self._reading_paused or self.transport.is_closing():
            return
        self._reading_paused = pause
        if pause:
            self.read_deadline_us = 0  # no timeout: the delay is not the caller's
            self.transport.pause_reading()
        else:
            if self.receiving:
                self.read_deadline_us = now_us() + int(READ_TIMEOUT_S * 1e6)
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        self.congested = True
        self.write_blocked_since_us = now_us()
        if self._answer_source is not None:
            self._answer_source.update_flow_control()

    def resume_writing(self) -> None:
        self.congested = False
        self.write_blocked_since_us = 0
        if self._answer_source is not None:
            self._answer_source.update_flow_control()
        elif self.pipelined:
            self._schedule_next()

    # --- parser callbacks ---

    def on_message_begin(self) -> None:
        self.receiving = True
        self.read_deadline_us = self.read_deadline_us or now_us() + int(READ_TIMEOUT_S * 1e6)
        self._url = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._head_bytes = self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head_bytes(len(name) + len(value))
        if self._incoming is None:  # trailers are dropped: they belong to this hop's chunked coding
            # The parser doesn't strip optional white space after a value.
            self._headers.append((name, value.strip(b" \t")))

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self._reject(RequestRejected(431, "the headers are too long"))

    def on_headers_complete(self) -> None:
        incoming = self._incoming = IncomingRequest()
        incoming.method = self.parser.get_method()
        incoming.url = self._url
        incoming.headers = self._headers
        incoming.http_1_1 = self.parser.get_http_version() == "1.1"
        incoming.keep_alive = incoming.http_1_1 and self.parser.should_keep_alive()
        try:
            length, chunked = parse_framing(self._headers)
        except FramingError as error:
            self._reject(RequestRejected(501, str(error)))
        if length is None and not chunked:
            return
        now = now_us()
        if self.read_deadline_us:
            self.read_deadline_us = max(self.read_deadline_us, now + int(BODY_START_TIMEOUT_S * 1e6))
        if (length or 0) > MAX_BODY_BYTES:
            self._reject(RequestRejected(413, "the body is too long"))
        incoming.expects_continue = incoming.http_1_1 and any(
            len(name) == 6 and name.lower() == b"expect" and value.lower() == b"100-continue"
            for name, value in incoming.headers
        )
        if incoming.expects_continue and self.current is None and not self.pipelined:
            try:
                self._send_continue(incoming)
            except RequestRejected as rejected:
                self._reject(rejected)
        if (length or 0) > self.server.buffer_limit:
            self._start_upload(incoming, length)

    def _send_continue(self, incoming: IncomingRequest) -> None:
        """Ask for the body with `100 Continue` if the head is valid."""
        incoming.expects_continue = False
        self.server.check_head(incoming)
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _start_upload(self, incoming: IncomingRequest, length: int | None) -> None:
        """Serve the request before its body, which is too large to buffer and is forwarded as received."""
        incoming.upload = Upload(length, self.server.buffer_limit, self, self._body)
        incoming.arrived_us = now_us()
        self._body = []
        self._serve_or_queue(incoming)

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self.read_deadline_us:
            now = now_us()
            extended_us = self.read_deadline_us + len(body) * 1_000_000 // MIN_BODY_BYTES_PER_S
            self.read_deadline_us = min(extended_us, now + int(READ_TIMEOUT_S * 1e6))
        if self._body_bytes > MAX_BODY_BYTES:
            self._reject(RequestRejected(413, "the body is too long"))
        incoming = self._incoming
        if incoming is None or self.stage is ConnectionStage.DISCARDING:
            return
        if incoming.upload is not None:
            incoming.upload.feed(body)
            self.update_flow_control()
            return
        self._body.append(body)
        if self._body_bytes > self.server.buffer_limit:
            self._start_upload(incoming, None)

    def _reject(self, rejection: RequestRejected) -> None:
        self.rejection = rejection
        raise rejection

    def on_message_complete(self) -> None:
        self.receiving = False
        self.read_deadline_us = 0
        incoming, self._incoming = self._incoming, None
        if self.stage is ConnectionStage.DISCARDING or incoming is None:
            self.half_close()
            return
        incoming.keep_alive = incoming.keep_alive and not self.parser.should_upgrade()
        if incoming.upload is None:
            incoming.body = b"".join(self._body)
            incoming.arrived_us = self._last_read_us
            self._serve_or_queue(incoming)
            return
        incoming.upload.finish()
        incoming.arrived_us = now_us()
        if self.current is not None and self.current.upload is incoming.upload:
            self.server.host.figures.inflight += 1
            self.server.host.on_body_complete(self.current)

    # --- serving requests in order ---

    @property
    def busy(self) -> bool:
        """Whether a request is being served, is queued or is being received."""
        return (
            self.current is not None
            or bool(self.pipelined)
            or (self.receiving and self.stage in READING_STAGES)
        )

    @property
    def receiving_first_request(self) -> bool:
        """Whether the first request of this connection is still being received."""
        return self._awaiting_first_answer and self.receiving and self.current is None and not self.pipelined

    def can_close(self) -> bool:
        """Whether the connection is idle: no request, no unread input in the kernel and no unsent answer.

        The event loop may not have processed input that has arrived; closing then would reset the connection.
        """
        if self.busy or self.transport.get_write_buffer_size():
            return False
        return self.stage is ConnectionStage.HALF_CLOSED or not self._poll_socket(select.POLLIN)

    def has_disconnected(self) -> bool:
        """Whether the caller has closed the connection; aborts it if the event loop has not noticed yet.

        The event loop doesn't notice while reading is paused, and after a delay it may process timers and
        other connections first.
        """
        if not self.transport.is_closing():
            if not self._poll_socket(select.POLLRDHUP):
                return False
            self.transport.abort()
        return True

    def _poll_socket(self, event: int) -> bool:
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), event)
        return bool(poll.poll(0))

    def _serve_or_queue(self, incoming: IncomingRequest) -> None:
        if self.current is not None or self.pipelined or self.congested:
            self.pipelined.append(incoming)
            self.update_flow_control()
            return
        self._serve(incoming)

    def _serve(self, incoming: IncomingRequest) -> None:
        self.keep_alive = incoming.keep_alive
        self._http_1_1 = incoming.http_1_1
        self._current_upload = incoming.upload
        try:
            request = self.server.admit(self, incoming)
        except RequestRejected as rejected:
            self.server.count_failure(f"{rejected.status} {rejected}")
            self.answer(rejected.status, [], f"{rejected}\n".encode())
            return
        except Exception:
            # The balancer has not seen the request, but its content is unclear: don't declare it not run.
            log.exception(
                "unexpected error while reading a request", target=incoming.url[:200].decode("latin-1")
            )
            self.answer(500, [], b"")
            return
        if request is not None:
            self.current = request
            self.server.open_request_ids.add(request.id)
            self.server.host.figures.inflight += request.body_complete
            self.server.host.accept_request(request)

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer; then close if the caller, its input or a shutdown requires it."""
        lines = self._answer_head_lines(status, headers)
        lines.append(b"Content-Length: %d" % len(body))
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        self._on_answer_complete(status)

    def _answer_head_lines(self, status: int, headers: Headers) -> list[bytes]:
        # Every accepted request is answered, and pipelined requests are accepted: a drain doesn't drop them.
        self.keep_alive = (
            self.keep_alive
            and not self._body_incomplete()
            and (bool(self.pipelined) or self.server.intake is Intake.OPEN)
        )
        lines = [b"HTTP/1.1 %d %s" % (status, REASON_PHRASES[status])]
        lines += [b"%s: %s" % header for header in headers if header[0].lower() not in HOP_BY_HOP]
        if not self.keep_alive:
            lines.append(b"Connection: close")
        return lines

    def _on_answer_complete(self, status: int) -> None:
        self._answer_source = None
        current = self._release_current()
        if current is not None:
            self.server.host.figures.count_answer(current.class_name, status)
        self.idle_since_us = now_us()
        self._awaiting_first_answer = False
        self.server.on_answered(self)
        if self.keep_alive:
            self._schedule_next()
        else:
            self._close_after_answer()

    # --- forwarding an answer while it is received ---

    def start_streaming(self, head: Response, source: Source) -> CallerConnection:
        length = head.framing.length
        self._answer_chunked = length is None and self._http_1_1
        if length is None and not self._http_1_1:
            # HTTP/1.0 has no chunked coding: the end of the connection ends the answer.
            self.keep_alive = False
        lines = self._answer_head_lines(200, head.headers)
        if self._answer_chunked:
            lines.append(b"Transfer-Encoding: chunked")
        elif length is not None:
            lines.append(b"Content-Length: %d" % length)
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n")
        self._answer_source = source
        return self

    def forward(self, data: bytes) -> None:
        self.transport.write(encode_chunk(data) if self._answer_chunked else data)

    def finish(self) -> None:
        if self._answer_chunked:
            self.transport.write(LAST_CHUNK)
        self._on_answer_complete(200)

    def abort_answer(self) -> None:
        """Reset the connection, so that the caller can tell that the answer is incomplete."""
        current = self._release_current()
        if current is None:  # the caller has disconnected
            return
        self.server.host.figures.count_answer(current.class_name, 502)
        self.server.count_failure("answer broken off")
        self._answer_source = None
        self.stage = ConnectionStage.CLOSED
        sock: Any = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        self.transport.abort()

    # --- the next request, or closing the connection ---

    def _schedule_next(self) -> None:
        if self._incoming is not None and self._incoming.expects_continue and not self.pipelined:
            try:
                self._send_continue(self._incoming)
            except RequestRejected as rejected:
                self.stop_reading(rejected)
        if self.pipelined and not self.congested:
            # Deferred: the answer may be written from within a call that still uses the previous request.
            asyncio.get_running_loop().call_soon(self._serve_next)

    def _serve_next(self) -> None:
        if not self.pipelined or self.current is not None or self.congested:
            return
        if self.has_disconnected():
            return
        incoming = self.pipelined.pop(0)
        self._serve(incoming)
        self._parse_pending()

    def _body_incomplete(self) -> bool:
        """Whether the body of the current request is still being received."""
        return self._current_upload is not None and not self._current_upload.complete

    def _close_after_answer(self) -> None:
        """Close the connection, but give the caller time to read the answer.

        A caller may read an answer only after it has sent its whole body, so the rest of a body is read and
        dropped.
        """
        if self._current_upload is not None and self._body_incomplete():
            self._current_upload.discard()
        if self.stage is ConnectionStage.OPEN and self._body_incomplete():
            self.stage = ConnectionStage.DISCARDING
            self.pipelined.clear()
            self.update_flow_control()  # don't parse here: the answer may be written from within the parser
        else:
            self.half_close()

    def half_close(self) -> None:
        """Close our side once everything is written; read and drop input until the caller closes too.

        Closing a socket that has unread input resets the connection, which can discard an answer in transit.
        Requests received from here on are never served: the caller sees the close without an answer and can
        send them again elsewhere.
        """
        if self.stage in (ConnectionStage.HALF_CLOSED, ConnectionStage.CLOSED):
            return
        self.stage = ConnectionStage.HALF_CLOSED
        self.read_deadline_us = 0
        self.pipelined.clear()
        self._unparsed = b""
        self._incoming = None
        self.update_flow_control()
        if not self.transport.is_closing():
            self.transport.write_eof()
            self._schedule_close(now_us() + int(STALL_TIMEOUT_S * 1e6))

    def _schedule_close(self, close_by_us: int) -> None:
        self._close_timer = asyncio.get_running_loop().call_later(
            HALF_CLOSE_WAIT_S, self._close_unless_reading, close_by_us
        )

    def _close_unless_reading(self, close_by_us: int) -> None:
        """Abort a connection that the caller keeps open, unless it is still reading its answer."""
        if self._has_undelivered_output() and now_us() < close_by_us:
            self._schedule_close(close_by_us)
        else:
            self.transport.abort()

    def _has_undelivered_output(self) -> bool:
        """Whether some of the output has not been acknowledged by the caller's host."""
        if self.transport.get_write_buffer_size():
            return True
        unacknowledged = bytearray(4)
        try:
            fcntl.ioctl(self.transport.get_extra_info("socket").fileno(), termios.TIOCOUTQ, unacknowledged)
        except OSError:
            return False  # not supported on this platform
        return any(unacknowledged)

    def shut_down(self) -> None:
        """On process exit: reject an incomplete request or close if idle; queued requests are answered."""
        if self.receiving:
            self.stop_reading(RequestRejected(503, SHUTTING_DOWN))
        elif self.can_close():
            self.half_close()

    def check_timeouts(self, now: int) -> None:
        """Time out callers that don't send or don't read, so that they don't hold descriptors."""
        if self.write_blocked_since_us and now - self.write_blocked_since_us > STALL_TIMEOUT_S * 1e6:
            self.server.count_failure("does not read its answer")
            self.transport.abort()
        elif self._reading_paused and self.has_disconnected():
            pass
        elif self.read_deadline_us and self.stage in READING_STAGES and now >= self.read_deadline_us:
            if self.receiving and self.stage is ConnectionStage.OPEN:  # its answer closes the connection
                self.stop_reading(RequestRejected(408, "the request did not come whole"))
            else:
                discarding = self.stage is ConnectionStage.DISCARDING
                self.server.count_failure(
                    "body stalled after its answer" if discarding else "no request came"
                )
                self.half_close()
