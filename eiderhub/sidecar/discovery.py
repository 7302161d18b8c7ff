"""Discovery: lists of endpoints, and long polling for their changes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Annotated, Any, NamedTuple

import msgspec
import structlog
from msgspec import Meta, Struct

from eiderhub.interface import Endpoint, ListForm, Readiness
from eiderhub.sidecar.clock import UNIX_OFFSET_US, now_us
from eiderhub.sidecar.upstream import Connection, Response

MAX_POLL_WAIT_MS = 30_000  # discovery serves polls one after another, so few long ones are best
# A long poll that gets no response cannot be told from one without changes until its wait is over. So it
# waits for this fraction of the interval after which changes count as received even without a poll.
POLL_WAIT_FRACTION = 0.5
# Each wait is multiplied by a random factor from here to 1, so that the polls of a fleet whose processes
# start at the same time do not stay synchronized.
MIN_WAIT_JITTER = 0.8
# After a poll without response, the next one may get none either, and a long wait would hide that. Where
# lists are pushed, polls wait no longer than this until one is answered, so that missed changes arrive within
# 6 s of the end of the outage. Where lists are polled, a poll given up sooner would lose its place in the
# queue of a busy discovery, so the wait stays the same.
RECOVERY_WAIT_MS = 2_500
RESPONSE_GRACE_S = 1.0  # a response may be late by this much: its changes count as received one second later
READ_GAP_TIMEOUT_S = 0.75  # longest pause within a response
LIST_READ_TIMEOUT_S = 3.5  # for a complete response; leaves time for another poll
CONNECT_TIMEOUT_S = 2.0
MAX_LIST_BYTES = 8 << 20
RETRY_JITTER_S = 0.2  # longest random delay before a retry, which spreads out the retries of a fleet
# A reused connection that ends this soon after a poll was already being closed when the poll was written.
KEEP_ALIVE_RACE_US = 100_000
# First and longest backoff after a failure where lists are pushed, since the balancer does not poll then.
# Short because pushed changes count as received as soon as discovery is back.
PUSH_BACKOFF_S = (0.05, 0.15)
log = structlog.get_logger()


class Instance(Struct, rename="camel", frozen=True, kw_only=True):
    """One entry of a list, in discovery's format."""

    instance_id: str
    host_port: Annotated[str, Meta(pattern=r"^.+:[0-9]{1,5}$", description="an address:port")]
    lifecycle: Readiness
    zone: str | None = None
    machine_type: str | None = None
    cell: int | None = None
    weight: float | None = None  # taken as 1 where missing or not above 0
    started_at_ms: float | None = None  # Unix time; 0: unknown, long ago

    def to_listed_endpoint(self) -> ListedEndpoint:
        host, _, port = self.host_port.rpartition(":")
        if not 0 < int(port) < 1 << 16:
            raise ValueError(f"{self.host_port}: port out of range")
        host = host.strip("[]")
        started_ms = int(self.started_at_ms or 0)
        weight = self.weight or 1.0
        endpoint = Endpoint(
            id=self.instance_id,
            zone=self.zone or "",
            kind=self.machine_type or "",
            cell=-1 if self.cell is None else self.cell,
            readiness=self.lifecycle,
            weight=weight if weight > 0 else 1.0,
            # The balancer's clock is monotonic, so a start may be negative; 0 stands for unknown.
            launched_us=started_ms * 1000 - UNIX_OFFSET_US or 1 if started_ms else 0,
        )
        return ListedEndpoint(endpoint, host, int(port))


class DiscoveryResponse(Struct, frozen=True, kw_only=True):
    """A list in discovery's format."""

    generation: int
    reset: bool  # whether this is the full list, not a delta
    instances: list[Instance]
    unreadable: int = 0  # number of entries left out because they could not be parsed

    def to_endpoint_list(self) -> EndpointList:
        entries = [instance.to_listed_endpoint() for instance in self.instances]
        return EndpointList(self.generation, self.reset, entries, self.unreadable)


class RawDiscoveryResponse(Struct, frozen=True, kw_only=True):
    """A list whose entries are not parsed yet."""

    generation: int
    reset: bool
    instances: list[Any]


class ListedEndpoint(NamedTuple):
    """One entry of a list: the endpoint as the balancer knows it, and its address."""

    endpoint: Endpoint
    host: str
    port: int


class EndpointList(NamedTuple):
    generation: int
    is_full: bool
    entries: list[ListedEndpoint]
    unreadable: int = 0


def parse_endpoint_list(body: bytes) -> EndpointList:
    """Parse a response body of discovery.

    Raises:
        ValueError: it is not a list; no part of it may be used.
    """
    try:
        return msgspec.json.decode(body, type=DiscoveryResponse).to_endpoint_list()
    except (ValueError, OverflowError):
        return _parse_readable_entries(msgspec.json.decode(body, type=RawDiscoveryResponse))


def is_readable(document: Any) -> bool:
    """Whether an entry can be parsed."""
    try:
        msgspec.convert(document, Instance).to_listed_endpoint()
    except (ValueError, OverflowError):
        return False
    return True


def _parse_readable_entries(response: RawDiscoveryResponse) -> EndpointList:
    """Parse a list of which some entries are malformed, without rejecting the others.

    A malformed entry with a readable id is taken as draining, so that its endpoint gets no new requests:
    whatever its state is, it is not known to be ready.
    """
    entries: list[ListedEndpoint] = []
    errors: list[Exception] = []
    for document in response.instances:
        try:
            entries.append(msgspec.convert(document, Instance).to_listed_endpoint())
        except (ValueError, OverflowError) as error:
            errors.append(error)
            fields = document if isinstance(document, dict) else {}
            name, zone = fields.get("instanceId"), fields.get("zone")
            if isinstance(name, str):
                known_zone = zone if isinstance(zone, str) else ""
                entries.append(ListedEndpoint(Endpoint(name, known_zone, "", -1, Readiness.DRAINING), "", 0))
    if response.reset and errors and len(errors) == len(response.instances):
        raise ValueError(f"no entry can be read: {errors[0]}")
    if errors:
        log.warning("entries of a list can't be read", entries=len(errors), first=str(errors[0]))
    return EndpointList(response.generation, response.reset, entries)


class DiscoveryBusyError(ValueError):
    """Discovery refused a poll because it is overloaded."""


class DiscoveryCall:
    """One poll of discovery on one connection, up to its response."""

    def __init__(self, connection: Connection, timeout_s: float, reused_connection: bool) -> None:
        self.reused_connection = reused_connection  # the connection has carried polls before
        self.sent_us = now_us()
        self.response_future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self.response_started = False  # part of the response has arrived
        self._connection = connection
        self._timeout_s = timeout_s
        self._gap_timer: asyncio.TimerHandle | None = None

    async def wait(self) -> Response:
        """Wait for the complete response.

        Raises:
            TimeoutError: it did not start in time, paused for too long, or was not complete in time.
            ConnectionResetError: the connection ended.
        """
        self._connection.on_progress = self._on_progress
        try:
            async with asyncio.timeout(self._timeout_s) as self._timeout:
                return await self.response_future
        finally:
            self._connection.on_progress = None
            self._reset_gap_timer(False)

    def _on_progress(self) -> None:
        """Data has arrived: from the first byte on, the limits are on pauses and on the total time."""
        if self.response_future.done():
            return
        if not self.response_started:
            self.response_started = True
            self._timeout.reschedule(asyncio.get_running_loop().time() + LIST_READ_TIMEOUT_S)
        self._reset_gap_timer(True)

    def _reset_gap_timer(self, rearm: bool) -> None:
        if self._gap_timer is not None:
            self._gap_timer.cancel()
        self._gap_timer = (
            asyncio.get_running_loop().call_later(READ_GAP_TIMEOUT_S, self._on_gap_timeout) if rearm else None
        )

    def _on_gap_timeout(self) -> None:
        self.fail(TimeoutError("the response stalled"))

    def fail(self, error: Exception) -> None:
        if not self.response_future.done():
            self.response_future.set_exception(error)


class DiscoveryClient:
    """Long-polls discovery at one address, on one connection. After `close` it receives nothing more."""

    def __init__(self, host: str, port: int, wait_ms: int, recovery_wait_ms: int) -> None:
        self.host = host
        self.port = port
        self.wait_ms = wait_ms
        self.recovery_wait_ms = recovery_wait_ms  # used after a poll without response
        self._connection: Connection | None = None
        self._call: DiscoveryCall | None = None
        self._recovering = False  # the latest poll got no response

    async def poll(self, generation: int | None, immediate: bool = False) -> EndpointList:
        """Get the changes since `generation`, or the full list if it is None.

        A poll without response is retried once, since it cannot be told from one without changes, and the
        changes it missed count as received soon after. So is one whose reused connection was being closed,
        legitimately, as the poll was written. `immediate` asks for an answer without waiting for changes; the
        timeout is the same, since a poll that is given up loses its place in discovery's queue.
        """
        try:
            return await self._poll_once(generation, immediate)
        except (TimeoutError, ConnectionResetError) as error:
            call = self._call
            close_race = (
                call is not None and call.reused_connection and now_us() - call.sent_us < KEEP_ALIVE_RACE_US
            )
            if call is None or call.response_started or not (isinstance(error, TimeoutError) or close_race):
                raise
            log.info("discovery is asked again", reason=str(error) or "no response")
            self.close()
        await asyncio.sleep(random.uniform(0.0, RETRY_JITTER_S))
        return await self._poll_once(generation, immediate)

    async def _poll_once(self, generation: int | None, immediate: bool) -> EndpointList:
        self._call = None
        reused = self._connection is not None and not self._connection.lost
        if self._connection is None or self._connection.lost:
            self._connection = await self._connect()
        max_wait_ms = self.recovery_wait_ms if self._recovering else self.wait_ms
        wait_ms = int(max_wait_ms * random.uniform(MIN_WAIT_JITTER, 1.0))
        query = "" if generation is None else f"?after={generation}&wait_ms={0 if immediate else wait_ms}"
        timeout_s = RESPONSE_GRACE_S + (wait_ms / 1000 if query else 0.0)
        call = self._call = DiscoveryCall(self._connection, timeout_s, reused)
        head = f"GET /discovery/hosts{query} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n\r\n"
        self._connection.send(head.encode())
        try:
            response = await call.wait()
        except TimeoutError:
            self._recovering = True
            raise
        self._recovering = False
        if response.status != 200:
            raise DiscoveryBusyError(f"status {response.status}")
        listing = parse_endpoint_list(response.body)
        if not query and not listing.is_full:
            raise ValueError("the full list was requested, and a delta was returned")
        return listing

    async def _connect(self) -> Connection:
        connection = Connection(self, MAX_LIST_BYTES)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await asyncio.get_running_loop().create_connection(lambda: connection, self.host, self.port)
        return connection

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    # --- connection events ---

    def on_written(self, connection: Connection) -> None:
        pass  # polls are not counted as attempts

    def on_stream_start(self, connection: Connection, head: Response) -> None:
        return None  # lists are never streamed

    def on_response(self, connection: Connection, response: Response, reusable: bool) -> None:
        if self._call is not None and not self._call.response_future.done():
            self._call.response_future.set_result(response)

    def on_lost(self, connection: Connection) -> None:
        if self._call is not None:
            self._call.fail(ConnectionResetError("the connection ended"))


class DiscoveryWatcher:
    """Polls discovery while turned on.

    A failure ends that, and the balancer decides when to turn it on again; with `retry_forever` it goes on.
    """

    def __init__(
        self,
        host: str,
        port: int,
        generation: int,
        retry_forever: bool,
        ask_every_us: int,
        on_list: Callable[[ListForm, list[ListedEndpoint]], None],
    ) -> None:
        self.host = host
        self.port = port
        self.generation = generation
        self.retry_forever = retry_forever  # for pushed lists, where the balancer does not turn it on again
        self.wait_ms = min(
            MAX_POLL_WAIT_MS, int(POLL_WAIT_FRACTION * ask_every_us / 1000) or MAX_POLL_WAIT_MS
        )
        self.on_list = on_list
        self.first_poll_done = asyncio.Event()  # set once discovery has answered or proved unreachable
        self._task: asyncio.Task[None] | None = None
        self._client: DiscoveryClient | None = None

    def set_enabled(self, on: bool) -> None:
        if on and self._task is None:
            recovery_wait_ms = RECOVERY_WAIT_MS if self.retry_forever else self.wait_ms
            self._client = DiscoveryClient(self.host, self.port, self.wait_ms, recovery_wait_ms)
            self._task = asyncio.get_running_loop().create_task(self._run(self._client))
        elif not on and self._task is not None:
            self._task.cancel()
            self._task = None
            if self._client is not None:
                self._client.close()  # a response that still arrives is discarded

    def set_address(self, host: str, port: int) -> None:
        """Switch to another address of discovery at once, even during a backoff."""
        self.set_enabled(False)
        self.host, self.port = host, port
        self.set_enabled(True)

    async def _run(self, client: DiscoveryClient) -> None:
        backoff_s, max_backoff_s = PUSH_BACKOFF_S
        request_full = False  # whether the next poll asks for the full list
        while True:
            try:
                immediate = not self.first_poll_done.is_set()  # the process waits for this when starting
                listing = await client.poll(None if request_full else self.generation, immediate)
                request_full = not request_full and listing.generation < self.generation
                if request_full:
                    log.warning("discovery told of an older list", has=listing.generation, we=self.generation)
                    continue
                self.on_list(ListForm.FULL if listing.is_full else ListForm.DELTA, listing.entries)
                # Only now: a list that could not be applied is requested again.
                self.generation = listing.generation
                backoff_s = PUSH_BACKOFF_S[0]
                self.first_poll_done.set()
            except Exception as error:  # whatever it is, polling must go on, or the list would stay outdated
                log.warning("discovery failed", reason=str(error) or type(error).__name__)
                client.close()
                if not isinstance(error, DiscoveryBusyError):
                    self.first_poll_done.set()
                if not self.retry_forever:
                    self._task = None
                    self.on_list(ListForm.FAILED, [])
                    return
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
                backoff_s = min(2 * backoff_s, max_backoff_s)
