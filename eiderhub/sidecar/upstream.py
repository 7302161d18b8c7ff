"""HTTP/1.1 connections to endpoints: keep-alive pools, and the outcome of each attempt.

Requests are never resent transparently: an attempt is written to one connection, once. Its outcome is
reported as precisely as the socket allows, since a request that certainly has not run may be retried.
"""

from __future__ import annotations

import asyncio
import select
from bisect import insort
from collections.abc import Callable, Coroutine
from functools import partial
from typing import NamedTuple, Protocol, cast

import httptools
import structlog

from eiderhub.interface import Outcome
from eiderhub.sidecar.bodies import (
    LAST_CHUNK,
    MAX_BUFFERED_BYTES,
    READ_BUFFER_BYTES,
    STALL_TIMEOUT_S,
    Framing,
    Headers,
    Upload,
    encode_chunk,
    parse_framing,
)
from eiderhub.sidecar.clock import Alarm, now_us
from eiderhub.sidecar.metrics import RequestMetrics

IDLE_TIMEOUT_FRACTION = 0.85  # connections are kept idle for this fraction of the endpoint's idle timeout
DEFAULT_ENDPOINT_IDLE_US = 5_000_000  # the endpoint's idle timeout where the settings give none
# An endpoint may send a duplicate response up to 3 ms after the first, and nothing in it identifies its
# request: on a connection that has been reused meanwhile it would be taken for the response to the next
# request. A connection is "settled" if it is new or has been idle for this long after a response.
SETTLE_US = 5_000
# Settled connections idle for less than this are used round-robin, which keeps all of them open; with the
# most recently used always first, the others would reach the idle timeout. At loads that leave connections
# idle for longer, 99 calls in 100 find a settled one anyway.
ROUND_ROBIN_MAX_IDLE_US = 1_000_000
# A spare connection is opened once more than this ratio of calls, over about this many, found none settled.
MAX_UNSETTLED_RATIO, UNSETTLED_WINDOW_CALLS = 0.01, 200
SWEEP_INTERVAL_S = 0.25
OUTCOME_LOG_INTERVAL_S = 5.0  # interval at which attempt outcomes are logged
STREAMING_DELAY_S = 0.05  # a response of unknown length that takes longer than this is streamed to the caller
MAX_HEADER_BYTES = 64 * 1024  # of a response
MAX_ERROR_BODY_BYTES = 1 << 20  # error bodies are read up to this size so that the connection stays usable

# Hop-by-hop headers, which must not be forwarded: RFC 9110, section 7.6.1.
HOP_BY_HOP = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding",
        b"upgrade", b"content-length", b"expect",
    )
)  # fmt: skip
log = structlog.get_logger()


class Response(NamedTuple):
    """A response; `body` is empty where the body is streamed."""

    status: int
    headers: Headers
    body: bytes
    framing: Framing = Framing(None, False)


class Receiver(Protocol):
    """Consumer of a streamed response body."""

    @property
    def congested(self) -> bool: ...

    def forward(self, data: bytes) -> None: ...


class ConnectionOwner(Protocol):
    """Creator of a connection, notified of its events."""

    def on_written(self, connection: Connection) -> None:
        """The last byte of the request has been written."""

    def on_stream_start(self, connection: Connection, head: Response) -> Receiver | None:
        """Return the consumer of a response too large or slow to buffer; None rejects the response."""

    def on_response(self, connection: Connection, response: Response, reusable: bool) -> None: ...

    def on_lost(self, connection: Connection) -> None: ...


class Connection(asyncio.BufferedProtocol):
    """One outgoing HTTP/1.1 connection; it carries one exchange at a time."""

    # Shared by all connections: data read is processed before the next read.
    _buffer = bytearray(READ_BUFFER_BYTES)

    def __init__(self, owner: ConnectionOwner, max_buffered_bytes: int) -> None:
        self.owner = owner
        self.max_buffered_bytes = max_buffered_bytes  # of a response body
        self.attempt: Attempt | None = None
        self.busy = False
        self.written = False  # the last byte of the request has been handed to the kernel
        self.lost = False
        self.idle_since = 0  # when it connected, or when its last response was complete
        self.request_count = 0  # requests written to it
        self.last_progress_us = 0  # when data last arrived, or flow control last changed
        self.on_progress: Callable[[], None] | None = None  # called when response data arrives
        self.congested = False  # the send buffer is full: the endpoint does not read fast enough
        self._upload: Upload | None = None
        self._receiver: Receiver | None = None
        self._paused = False
        self._streaming_timer: asyncio.TimerHandle | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._reset()

    def _reset(self) -> None:
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._received_bytes = 0
        self._keep_alive = False
        self._framing: Framing | None = None  # set once the response headers are complete
        self._response: Response | None = None

    # --- the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # `cast` rather than `isinstance`: uvloop's transports do not inherit from asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        # With a high-water mark of zero, `pause_writing` is called whenever the kernel accepts only a part.
        self.transport.set_write_buffer_limits(high=0)
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def stale(self) -> bool:
        """Whether an idle connection has anything to read: end of stream, or unsolicited data.

        Guards against writing a non-idempotent request to a connection whose close the event loop has not
        processed yet.
        """
        return self.lost or bool(self._poll.poll(0))

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._buffer

    def eof_received(self) -> bool:
        framing = self._framing
        ends_with_connection = framing is not None and framing.length is None and not framing.chunked
        if ends_with_connection and self.busy and not self.lost:
            self._complete(self._build_response())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        # The parser refers back to this object. Breaking the cycle keeps closed connections from
        # accumulating until a full garbage collection.
        del self._parser
        self.on_progress = None
        self._detach_bodies()
        if not self.lost:
            self.lost = True
            self.owner.on_lost(self)

    def close(self) -> None:
        """Abort the exchange: data that still arrives on this connection is discarded."""
        if not self.lost:
            self.lost = True
            self._detach_bodies()
            self.transport.abort()

    def _detach_bodies(self) -> None:
        """Stop streaming in both directions."""
        self._receiver = None
        upload, self._upload = self._upload, None
        if upload is not None and not self.written:
            upload.discard()
        if self._streaming_timer is not None:
            self._streaming_timer.cancel()
            self._streaming_timer = None

    def buffer_updated(self, nbytes: int) -> None:
        if self.lost:
            return
        if not self.busy:  # unsolicited data
            self.fail()
            return
        self.last_progress_us = now_us()
        if self.on_progress is not None:
            self.on_progress()
        try:
            self._parser.feed_data(memoryview(self._buffer)[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fail()
            return
        if self.lost:
            return
        if self._response is not None and self._response.status == 200 and not self.written:
            # An endpoint starts processing at the last byte: this is a late response to an earlier request.
            self.fail()
        elif self._response is not None:
            self._complete(self._response)
        elif self._body and self._streaming_timer is None and self._framing and self._framing.length is None:
            self._streaming_timer = asyncio.get_running_loop().call_later(
                STREAMING_DELAY_S, self._stream_slow_response
            )

    def fail(self) -> None:
        if not self.lost:
            self.close()
            self.owner.on_lost(self)

    def _complete(self, response: Response) -> None:
        reusable = self._keep_alive and self.written
        self.busy = False
        self._detach_bodies()
        self._reset()
        if not reusable:
            self.close()
        elif self._paused:
            self._paused = False
            self.transport.resume_reading()
        self.owner.on_response(self, response, reusable)

    # --- the request ---

    def send(self, data: bytes, upload: Upload | None = None) -> None:
        self.busy = True
        self.written = False
        self.request_count += 1
        self._upload = upload
        self.transport.write(data)  # calls `pause_writing` synchronously if the kernel accepts only a part
        if upload is not None:
            upload.attach(self)
        else:
            self._check_written()

    def forward(self, data: bytes) -> None:
        if self._upload is not None:
            self.transport.write(data if self._upload.length is not None else encode_chunk(data))

    def end_body(self) -> None:
        if self._upload is not None and self._upload.length is None:
            self.transport.write(LAST_CHUNK)
        self._check_written()

    def _check_written(self) -> None:
        """Report the request as written once its last byte has been handed to the kernel."""
        body_complete = self._upload is None or self._upload.complete
        if self.busy and body_complete and not self.congested and not self.written and not self.lost:
            self.written = True
            self._upload = None
            self.owner.on_written(self)

    def pause_writing(self) -> None:
        self.congested = True
        self.last_progress_us = now_us()
        if self._upload is not None:
            self._upload.update_flow_control()

    def resume_writing(self) -> None:
        self.congested = False
        if self._upload is not None:
            self._upload.update_flow_control()
        self._check_written()

    # --- streamed responses ---

    def update_flow_control(self) -> None:
        """Pause or resume reading according to the receiver's backpressure."""
        pause = self._receiver is not None and self._receiver.congested
        if pause != self._paused and not self.lost:
            self._paused = pause
            self.last_progress_us = now_us()
            if pause:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def stalled(self, now: int) -> bool:
        """Whether a body transfer has waited too long on the endpoint."""
        waits_on_endpoint = self._upload is not None and self.congested
        waits_on_endpoint = waits_on_endpoint or (self._receiver is not None and not self._paused)
        return waits_on_endpoint and now - self.last_progress_us > STALL_TIMEOUT_S * 1e6

    def _stream_slow_response(self) -> None:
        self._streaming_timer = None
        is_ok = self._parser.get_status_code() == 200 if not self.lost else False
        if is_ok and self._receiver is None and self._body and not self._start_streaming():
            self.fail()

    def _start_streaming(self) -> bool:
        """Start streaming: forward the data received so far, then the rest as it arrives.

        Refused before the request is written completely, as in `buffer_updated`.
        """
        if not self.written:
            return False
        head = self._build_response()
        receiver = self.owner.on_stream_start(self, head._replace(body=b""))
        if receiver is None or self.lost:
            return False
        self._receiver = receiver
        self._body = []
        if head.body:
            receiver.forward(head.body)
        return True

    def _build_response(self) -> Response:
        status = self._parser.get_status_code()
        return Response(status, self._headers, b"".join(self._body), self._framing or Framing(None, False))

    # --- parser callbacks ---

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._framing is None:  # later headers are trailers, which are not forwarded
            self._headers.append((name, value.strip(b" \t")))
            self._received_bytes += len(name) + len(value)
            if self._received_bytes > MAX_HEADER_BYTES:
                raise ValueError("response headers too large")

    def on_headers_complete(self) -> None:
        self._framing = parse_framing(self._headers)
        self._received_bytes = 0

    def on_body(self, body: bytes) -> None:
        if self._receiver is not None:
            self._receiver.forward(body)
            return
        self._received_bytes += len(body)
        length = self._framing.length if self._framing else None
        if max(self._received_bytes, length or 0) <= self.max_buffered_bytes:
            self._body.append(body)
        elif self._parser.get_status_code() == 200:
            self._body.append(body)
            if not self._start_streaming():
                raise ValueError("response too large to buffer, and no receiver accepts a stream")
        elif self._received_bytes > MAX_ERROR_BODY_BYTES:
            raise ValueError("error response body too large")
        # Error bodies are not forwarded, so data beyond the buffer limit is discarded.

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200:  # interim response
            self._headers, self._body, self._received_bytes, self._framing = [], [], 0, None
            return
        if self._response is not None:
            raise ValueError("second response to one request")
        # Read here because the parser's value is valid only while it is at this message.
        self._keep_alive = self._parser.should_keep_alive()
        self._response = self._build_response()


class Attempt:
    """One attempt to serve a request at one endpoint. It ends exactly once, with a call of `on_end`."""

    __slots__ = (
        "alarm", "build_request", "connection", "deadline_us", "ended", "endpoint", "may_have_run", "number",
        "on_end", "on_stream_start", "sent_us", "timeout_us", "upload", "write_deadline",
    )  # fmt: skip

    def __init__(
        self,
        number: int,
        endpoint: str,
        build_request: Callable[[Attempt, int], bytes | None],
        on_end: Callable[[Attempt, Outcome, Response | None], None],
        on_stream_start: Callable[[Attempt, Response], Receiver | None] = lambda *_: None,
        upload: Upload | None = None,
    ) -> None:
        self.number = number
        self.endpoint = endpoint
        self.build_request = build_request  # called just before writing; None means that it must not be sent
        self.on_end = on_end
        self.on_stream_start = on_stream_start
        self.upload = upload  # the request body, where it is streamed
        self.timeout_us = 0  # 0: limited only by the request's deadline
        self.deadline_us = 0  # 0: not known yet
        self.sent_us = now_us()
        self.connection: Connection | None = None
        self.alarm: Alarm | None = None
        self.write_deadline: Alarm | None = None  # the attempt is aborted if not completely written by then
        self.may_have_run = False  # it was written completely, and the endpoint has not declined it
        self.ended = False

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        if self.ended:
            return
        self.ended = True
        for alarm in (self.alarm, self.write_deadline):
            if alarm is not None:
                alarm.cancel()
        self.alarm = self.write_deadline = None  # breaks reference cycles
        self.on_end(self, outcome, response)

    def update_flow_control(self) -> None:
        if self.connection is not None:
            self.connection.update_flow_control()

    def set_write_deadline(self, deadline_us: int) -> None:
        """Abort the attempt, at whatever stage, if its last byte has not been written by `deadline_us`."""
        self.write_deadline = Alarm(deadline_us, self._on_write_deadline)

    def _on_write_deadline(self) -> None:
        if not self.may_have_run:
            self.abort(Outcome.NOT_SENT)

    def abort(self, outcome: Outcome) -> None:
        """End the attempt and close its connection, so that a late response cannot reach another request."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.attempt = None
            connection.owner.on_lost(connection)
            connection.close()
        self.end(outcome)


class SettleWait:
    """An attempt waiting for a connection to settle, or for a new connection to open before that."""

    __slots__ = ("alarm", "attempt", "connection")

    def __init__(
        self, attempt: Attempt, connection: Connection, on_settled: Callable[[SettleWait], None]
    ) -> None:
        self.attempt = attempt
        self.connection = connection
        self.alarm = Alarm(connection.idle_since + SETTLE_US, partial(on_settled, self))


class Pool:
    """The connections to one process of an endpoint. See SETTLE_US for what "settled" means."""

    def __init__(self, upstream: Upstream, host: str, port: int, launched_us: int) -> None:
        self.upstream = upstream
        self.host = host
        self.port = port
        self.launched_us = launched_us
        self.ready = True
        self.idle: list[Connection] = []  # ordered by `idle_since`, the most recently used last
        self.settle_waits: list[SettleWait] = []
        self.connecting_spare = False  # a connection that belongs to no attempt is being opened
        # Calls that found no settled connection, decaying exponentially over about UNSETTLED_WINDOW_CALLS.
        self._unsettled = 0.0
        # The fewest settled connections that any call in this period has left unused.
        self._min_spare_count: int | None = None
        self._period_start_us = 0

    def acquire_settled(self) -> Connection | None:
        """Take a settled connection: round-robin among those idle for less than ROUND_ROBIN_MAX_IDLE_US.

        If there is none, the most recently used one, so that the others reach the idle timeout.
        """
        now = now_us()
        self._unsettled *= 1 - 1 / UNSETTLED_WINDOW_CALLS
        settled = [c for c in self.idle if not c.request_count or c.idle_since <= now - SETTLE_US]
        found = None
        while settled and found is None:
            index = next(
                (i for i, c in enumerate(settled) if c.idle_since > now - ROUND_ROBIN_MAX_IDLE_US), -1
            )
            connection = settled.pop(index)
            self.idle.remove(connection)
            if not connection.stale():
                found = connection
            else:
                connection.close()
                self.upstream.open_connections -= 1
        spare_count = len(settled)
        self._min_spare_count = (
            spare_count if self._min_spare_count is None else min(spare_count, self._min_spare_count)
        )
        return found

    def acquire_unsettled(self) -> Connection | None:
        """Take the connection that settles soonest, to wait for it; called when none is settled."""
        return self.idle.pop(0) if self.idle else None

    def record_unsettled(self) -> bool:
        """Count a call that found no settled connection; return whether a spare one should be opened."""
        self._unsettled += 1
        if self.connecting_spare or self._unsettled <= MAX_UNSETTLED_RATIO * UNSETTLED_WINDOW_CALLS:
            return False
        self._unsettled = 0.0
        return True

    def trim(self, now: int, interval_us: int) -> None:
        """Close the connections that no call needed in the last period, but for one.

        Without this, round-robin use would keep them open forever.
        """
        if now - self._period_start_us < interval_us:
            return
        for _ in range(min((self._min_spare_count or 0) - 1, len(self.idle))):
            self.idle.pop(0).close()
            self.upstream.open_connections -= 1
        self._min_spare_count, self._period_start_us = None, now

    def close_idle(self, used_before_us: int | None = None) -> None:
        while self.idle and (used_before_us is None or self.idle[0].idle_since < used_before_us):
            self.idle.pop(0).close()
            self.upstream.open_connections -= 1
            self._min_spare_count = (
                max(0, self._min_spare_count - 1) if self._min_spare_count else self._min_spare_count
            )

    def retire(self) -> None:
        """The process drains or is gone: attempts in progress may finish, and no new ones start."""
        self.ready = False
        self.close_idle()

    # --- connection events ---

    def on_written(self, connection: Connection) -> None:
        self.upstream.figures.backend_calls += 1
        if connection.attempt is not None:
            connection.attempt.may_have_run = True
            if connection.attempt.upload is not None:
                connection.attempt.sent_us = now_us()  # the endpoint starts processing at the last byte

    def on_stream_start(self, connection: Connection, head: Response) -> Receiver | None:
        attempt = connection.attempt
        if attempt is None or head.status != 200:
            return None
        self.upstream.streaming_connections.add(connection)
        return attempt.on_stream_start(attempt, head)

    def on_response(self, connection: Connection, response: Response, reusable: bool) -> None:
        attempt, connection.attempt = connection.attempt, None
        self.upstream.streaming_connections.discard(connection)
        connection.idle_since = now_us()
        if reusable:
            self.release(connection)
        else:
            self.upstream.open_connections -= 1
        if attempt is not None:
            attempt.connection = None
            outcome = classify(response)
            attempt.may_have_run = outcome is not Outcome.FULL
            self.upstream.handling_response = True
            try:
                attempt.end(outcome, response)
            finally:
                self.upstream.handling_response = False

    def on_lost(self, connection: Connection) -> None:
        self.upstream.open_connections -= 1
        self.upstream.streaming_connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        attempt, connection.attempt = connection.attempt, None
        if attempt is not None:
            attempt.connection = None
            self.upstream.count_event("broken fresh" if connection.request_count == 1 else "broken reused")
            # An endpoint starts processing at the last byte, so a partially written request has not run.
            attempt.end(Outcome.RESET if connection.written else Outcome.CONNECT_FAILED)

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool.

        An unused one keeps its `idle_since`, because its endpoint's idle timeout has not restarted either.
        """
        if self.ready:
            insort(self.idle, connection, key=lambda each: each.idle_since)
        else:
            connection.close()
            self.upstream.open_connections -= 1


def classify(response: Response) -> Outcome:
    """Map a response to an outcome; a 503 or 504 without `Srv-Declined: 1` is an error that may have run."""
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504):
        for name, value in response.headers:
            if name.lower() == b"srv-declined" and value == b"1":
                return Outcome.FULL
    return Outcome.ERROR


class Upstream:
    """All pools, and the limit on their total number of connections."""

    def __init__(
        self,
        idle_us: int,
        connect_timeout_us: int,
        max_connections: int,
        figures: RequestMetrics,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        self.idle_timeout_us = int(IDLE_TIMEOUT_FRACTION * (idle_us or DEFAULT_ENDPOINT_IDLE_US))
        self.connect_timeout_s = connect_timeout_us / 1e6
        self.max_connections = max_connections
        self.figures = figures
        self.max_buffered_bytes = max_buffered_bytes  # of a response body, per connection
        # Connections that stream a body in either direction.
        self.streaming_connections: set[Connection] = set()
        self.open_connections = 0  # connections that are open or being opened
        self.handling_response = False  # a response is being handled; queued requests may be sent meanwhile
        self.pools: dict[str, Pool] = {}
        self._connecting: set[asyncio.Task[None]] = set()
        self._event_counts: dict[str, int] = {}  # since they were last logged
        self._unsettled = 0  # attempts since then that found no settled connection

    def count_event(self, event: str) -> None:
        self._event_counts[event] = self._event_counts.get(event, 0) + 1

    async def log_outcomes(self) -> None:
        """Periodically log the outcomes of attempts and how their connections were obtained."""
        while True:
            await asyncio.sleep(OUTCOME_LOG_INTERVAL_S)
            if self._event_counts:
                idle_connections = sum(len(pool.idle) for pool in self.pools.values())
                event_counts = dict(sorted(self._event_counts.items()))
                unsettled, self._unsettled = self._unsettled, 0
                log.info(
                    "attempts",
                    outcomes=event_counts,
                    connections=self.open_connections,
                    idle=idle_connections,
                    unsettled=unsettled,
                )
                self._event_counts.clear()

    async def sweep(self) -> None:
        """Close idle connections before their endpoints do, since such a close may race with a request.

        Also fails connections whose streamed body has stalled at the endpoint.
        """
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = now_us()
            for pool in self.pools.values():
                pool.close_idle(now - self.idle_timeout_us)
                pool.trim(now, self.idle_timeout_us)
            for connection in [c for c in self.streaming_connections if c.stalled(now)]:
                stalled_endpoint = connection.attempt.endpoint if connection.attempt is not None else None
                log.warning(
                    "a body was broken off", reason="the endpoint made no progress", endpoint=stalled_endpoint
                )
                connection.fail()

    def set_endpoint(self, endpoint: str, host: str, port: int, launched_us: int) -> None:
        """Add a ready endpoint, or replace its pool if its address or process has changed.

        Connections to the previous process then belong to a pool that is not ready, and are not reused.
        """
        pool = self.pools.get(endpoint)
        if pool is not None and (pool.host, pool.port, pool.launched_us) != (host, port, launched_us):
            pool.retire()
            pool = None
        if pool is None:
            pool = self.pools[endpoint] = Pool(self, host, port, launched_us)
        pool.ready = True

    def retire(self, endpoint: str) -> None:
        pool = self.pools.get(endpoint)
        if pool is not None:
            pool.retire()

    def close_idle(self, endpoint: str) -> None:
        pool = self.pools.get(endpoint)
        if pool is not None:
            pool.close_idle()

    def send(self, attempt: Attempt) -> None:
        """Start an attempt. It never ends within this call, as the balancer is still in its own call."""
        pool = self.pools.get(attempt.endpoint)
        loop = asyncio.get_running_loop()
        if pool is None or not pool.ready:
            loop.call_soon(attempt.end, Outcome.CONNECT_FAILED)
            return
        connection = pool.acquire_settled()
        if connection is not None:
            self._write(attempt, connection, pool)
        elif (connection := pool.acquire_unsettled()) is not None:
            self._unsettled += 1
            pool.settle_waits.append(SettleWait(attempt, connection, partial(self._on_settled, pool)))
            # Where requests queue, each response lets the next one be sent at once, when none is settled.
            # Opening a spare connection for those would cost a handshake each time.
            if (
                not self.handling_response
                and self.open_connections < self.max_connections
                and pool.record_unsettled()
            ):
                pool.connecting_spare = True
                self._start_connecting("prepared", self._connect_spare(pool))
        elif self.open_connections < self.max_connections or self._close_oldest_idle():
            self._start_connecting("opened", self._connect_and_write(attempt, pool))
        else:
            log.warning("no connection", reason="connection limit reached", endpoint=attempt.endpoint)
            loop.call_soon(attempt.end, Outcome.CONNECT_FAILED)

    def set_max_connections(self, max_connections: int) -> None:
        """Change the connection limit. Excess idle connections are closed; busy ones stay until they end."""
        self.max_connections = max_connections
        while self.open_connections > max_connections and self._close_oldest_idle():
            pass

    def _close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest."""
        pools = [pool for pool in self.pools.values() if pool.idle]
        if not pools:
            return False
        oldest = min(pools, key=lambda pool: pool.idle[0].idle_since)
        oldest.idle.pop(0).close()
        self.open_connections -= 1
        return True

    def _start_connecting(self, event: str, coroutine: Coroutine[None, None, None]) -> None:
        self.open_connections += 1
        self.count_event(event)
        task = asyncio.get_running_loop().create_task(coroutine)
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _open_connection(self, pool: Pool) -> Connection | None:
        """Open a connection to the pool's process; None if that fails or the connection is lost at once."""
        connection = Connection(pool, self.max_buffered_bytes)
        try:
            # A host that is gone sends no refusal, so the handshake needs a timeout.
            async with asyncio.timeout(self.connect_timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, pool.host, pool.port)
        except (OSError, TimeoutError, ValueError, OverflowError):  # the last two: invalid host or port
            self.open_connections -= 1
            return None
        if connection.lost:  # `on_lost` has counted it
            return None
        connection.idle_since = now_us()
        return connection

    async def _connect_and_write(self, attempt: Attempt, pool: Pool) -> None:
        connection = await self._open_connection(pool)
        if connection is None:
            attempt.end(Outcome.CONNECT_FAILED)
        else:
            self._write_or_release(attempt, connection, pool)

    async def _connect_spare(self, pool: Pool) -> None:
        """Open a spare connection; the attempt that has waited longest for one to settle takes it."""
        connection = await self._open_connection(pool)
        pool.connecting_spare = False
        if connection is None:
            return
        if not pool.settle_waits:
            pool.release(connection)
            return
        wait = pool.settle_waits.pop(0)
        wait.alarm.cancel()
        if not wait.connection.lost:
            pool.release(wait.connection)
        self._write_or_release(wait.attempt, connection, pool)

    def _on_settled(self, pool: Pool, wait: SettleWait) -> None:
        """Use the connection that the attempt has waited for, unless it closed or received data meanwhile."""
        pool.settle_waits.remove(wait)
        attempt, connection = wait.attempt, wait.connection
        if connection.stale() and not connection.lost:
            connection.fail()
        if not connection.lost:
            self._write_or_release(attempt, connection, pool)
        elif not attempt.ended:
            self.send(attempt)

    def _write_or_release(self, attempt: Attempt, connection: Connection, pool: Pool) -> None:
        if attempt.ended:  # aborted meanwhile: the connection is open and can serve the next attempt
            pool.release(connection)
        elif not pool.ready:  # the endpoint began to drain while the connection opened or settled
            pool.release(connection)
            attempt.end(Outcome.CONNECT_FAILED)
        else:
            self._write(attempt, connection, pool)

    def _write(self, attempt: Attempt, connection: Connection, pool: Pool) -> None:
        now = now_us()
        deadline_passed = attempt.write_deadline is not None and now >= attempt.write_deadline.due_us
        data = None if deadline_passed else attempt.build_request(attempt, now)
        if data is None:
            pool.release(connection)
            asyncio.get_running_loop().call_soon(attempt.end, Outcome.NOT_SENT)
            return
        connection.attempt = attempt
        attempt.connection = connection
        if attempt.upload is not None:
            self.streaming_connections.add(connection)
        connection.send(data, attempt.upload)
