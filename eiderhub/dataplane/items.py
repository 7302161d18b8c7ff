"""Runs batch items on a sidecar: the session with the storage group's primary, and the items' execution."""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import picologging as logging

from eiderhub import address
from eiderhub.batch.item_tracker import ItemTracker, OrderResult
from eiderhub.batch.messages import (
    Answer,
    BatchMessage,
    CancelItem,
    EndJob,
    ItemFinished,
    ItemKey,
    ItemReturned,
    ItemStored,
    ProbeEndpoints,
    Progress,
    ReadBody,
    ReadResults,
    Redirect,
    ReturnReason,
    RunItem,
    Submit,
    WorkerAccepted,
    WorkerReported,
)
from eiderhub.control.errors import HTTP_STATUS, ErrorKind
from eiderhub.dataplane.admission import BATCH_TENANT, Admission, Call
from eiderhub.dataplane.endpoint_connections import Headers
from eiderhub.dataplane.events import NO_EVENT_ID, Event
from eiderhub.dataplane.response_verdict import UNPROCESSABLE_STATUS
from eiderhub.dataplane.routes import Route
from eiderhub.metric_lines import metric_line
from eiderhub.request_head import HOST_FIELD, UnsendableRequest, item_head
from eiderhub.transport.frame_connection import Connection, connect
from eiderhub.transport.frames import Message
from eiderhub.transport.tasks import TaskSet

RECONNECT_DELAY_S = 0.1
ACCEPT_TIMEOUT_S = 0.6  # a storage node that has not accepted the session by then is not the primary
CALL_TIMEOUT_S = 1.6  # for a session, and then for the primary's response, whose absence is UNCERTAIN
IDLE_METRIC_AFTER_S = 4.0  # items without progress for this long get a metric of their own
ITEM_TIMEOUT_S = 60.0  # limit of an item's execution on this sidecar
MAX_TOKENS = 10**12  # of a Token-Usage header; more are counted as so many
MAX_TEXT_BYTES = 4 << 20  # of an item's result; every store can hold one, and a message many
CHECK_INTERVAL_S = 0.25  # of items and the session
# An item without progress for this long is returned. An endpoint whose machine has lost power sends neither
# data nor a reset, and would otherwise hold the item for ITEM_TIMEOUT_S.
ITEM_IDLE_TIMEOUT_S = 4.0
# An item that no endpoint has accepted is returned after more than this many consecutive checks, or after its
# latency objective if that is longer: the balancer may hold a call for a part of the objective. Checks are
# counted instead of seconds because a process that was suspended has responses to read before it can judge.
MIN_QUEUED_CHECKS = 3
# An item that was sent and has no event yet is returned once this sidecar has received nothing from any
# endpoint for this many latency objectives, counted in consecutive checks: the sidecar is probably cut off
# from endpoints that others can reach. The limit doubles with each earlier try of the item without progress,
# because waiting is the only choice where all endpoints are slow.
NO_DATA_OBJECTIVES, MIN_NO_DATA_CHECKS, MAX_CHECKS = 2.0, 4, int(ITEM_IDLE_TIMEOUT_S / CHECK_INTERVAL_S)


log = logging.getLogger("items")


class Router(Protocol):
    """Gives the service that executes an item."""

    def route_for(self, name: str) -> tuple[Route, Admission] | None: ...

    def routes_to(self, name: str, admission: Admission) -> bool:
        """Whether the route currently leads to that service."""

    def response_count(self) -> int:
        """Events and responses that this sidecar has received from endpoints."""

    async def reaches_endpoint(self) -> bool:
        """Whether a randomly chosen endpoint accepts a connection."""


# Replaces what the primary has of an item, so that its next run begins at the first event.
NO_PROGRESS = Progress(NO_EVENT_ID, [])


def started_progress(order: RunItem) -> Progress | None:
    """What earlier runs of the item have received; None if it has to be run from its first event."""
    return None if order.progress == NO_PROGRESS else order.progress


class RunningItem:
    """One item that this sidecar runs; implements admission's `ResponseSink`."""

    def __init__(self, runner: ItemRunner, order: RunItem) -> None:
        self._runner = runner
        self.key = order.key
        earlier = started_progress(order)
        self.texts: list[str] = list(earlier.texts) if earlier is not None else []
        self._text_bytes = sum(len(text.encode()) for text in self.texts)
        self._started = False
        self.last_progress_at = runner.now()
        self._no_data_checks = 0  # consecutive checks without data from any endpoint
        self._queued_checks = 0  # consecutive checks at which no endpoint had the item
        self._tries = order.tries
        self.call: Call | None = None
        self.admission: Admission | None = None

    def begin(self, headers: Headers) -> None:
        """Does nothing: only the events' data is collected."""

    def event(self, event: Event) -> None:
        self.last_progress_at = self._runner.now()
        if not self._started:
            self._started = True
            self._runner.on_item_started(self)
        if event.has_output:
            self.texts.append(event.data)
            self._text_bytes += len(event.raw_bytes)
            if self._text_bytes > MAX_TEXT_BYTES:
                self._runner.give_up_oversized(self)

    def finish(self) -> None:
        self._runner.on_item_ended(ItemFinished(self.key, True, "\n".join(self.texts)))

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        if status == UNPROCESSABLE_STATUS:
            self._runner.on_item_ended(ItemFinished(self.key, False, ""))
        else:
            self._runner.return_item(self, ReturnReason.FAILED)

    def abort(self) -> None:
        self._runner.return_item(self, ReturnReason.FAILED)

    def refuse(self, kind: ErrorKind, retry_after_us: int) -> None:
        refused = kind is ErrorKind.NOT_READY
        self._runner.return_item(self, ReturnReason.REFUSED if refused else ReturnReason.FAILED)

    @property
    def started(self) -> bool:
        """Whether this sidecar has received an event of the item."""
        return self._started

    def check_stalled(self, no_data: bool) -> bool:
        """Count a check; returns whether the item is stalled and has to be returned.

        `no_data`: this sidecar has received nothing from any endpoint since the last check.
        """
        if self._started:
            return False
        self._no_data_checks = self._no_data_checks + 1 if no_data else 0
        self._queued_checks = 0 if self.at_endpoint else self._queued_checks + 1
        if self.at_endpoint:
            return self._no_data_checks > self._max_no_data_checks()
        return self._queued_checks > self._max_queued_checks()

    def _objective_s(self) -> float:
        return self.call.route.slo_ms / 1000 if self.call is not None else 0.0

    def _max_no_data_checks(self) -> int:
        base_checks = max(
            MIN_NO_DATA_CHECKS, math.ceil(NO_DATA_OBJECTIVES * self._objective_s() / CHECK_INTERVAL_S)
        )
        return min(base_checks << self._tries, MAX_CHECKS)

    def _max_queued_checks(self) -> int:
        """Consecutive checks at which no endpoint has the item before it counts as stalled."""
        return min(max(MIN_QUEUED_CHECKS, int(self._objective_s() / CHECK_INTERVAL_S)), MAX_CHECKS)

    @property
    def at_endpoint(self) -> bool:
        """Whether an endpoint has the item."""
        return self.call is not None and self.call.current_attempt is not None

    @property
    def state_text(self) -> str:
        """What the item waits for, for operators."""
        if self.call is None or self.call.current_attempt is None:
            return "waits for an endpoint"
        return f"at {self.call.current_attempt.endpoint}"

    def progress(self) -> Progress | None:
        """What to continue from elsewhere; None if there is nothing to continue from."""
        if self.call is None or self.call.resume_point == NO_EVENT_ID:
            return None
        if self.call.continuation_refused:
            return NO_PROGRESS  # a run from the first event needs no continuation
        return Progress(self.call.resume_point, self.texts)

    def return_message(self, reason: ReturnReason) -> ItemReturned:
        errors = self.call.server_errors if self.call else 0
        return ItemReturned(self.key, reason, errors, self.progress())


class ItemRunner:
    """Keeps a session with the primary and runs its items.

    `candidates` returns the addresses of storage nodes.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        router: Router,
        candidates: Callable[[], list[str]],
        zone_of: Callable[[str], str] = lambda target: "",
    ) -> None:
        self._router = router
        self._candidates = candidates
        self._zone_of = zone_of  # of a node, by its address
        self._items: dict[ItemKey, RunningItem] = {}  # running here
        self._tracker = ItemTracker(node, zone)
        self._connection: Connection | None = None
        self._primary_hint = ""
        self._session_changed = asyncio.Event()
        self._calls: dict[int, asyncio.Future[Answer]] = {}
        self._call_numbers = itertools.count(1)
        self._item_numbers = itertools.count(1)
        self._session_ready = asyncio.Event()  # set while a primary has accepted the session
        self._last_response_count = 0  # of the router, at the last check
        self._probes = TaskSet()
        self.stopping = False
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self._run_forever()), loop.create_task(self._check_forever())]

    def stop(self) -> None:
        """Stop running the session and its checks."""
        for task in self.tasks:
            task.cancel()

    @staticmethod
    def now() -> float:
        """The current time; loop.time() does not advance while a callback runs."""
        return time.monotonic()

    def metrics(self) -> list[str]:
        """One metric per line: the items held here, and each item without progress for a long time."""
        now = self.now()
        lines = [
            f"session {self._tracker.accepted:d}",
            f"items_held {len(self._tracker)}",
            f"items_running {len(self._items)}",
        ]
        for item in self._items.values():
            if now - item.last_progress_at >= IDLE_METRIC_AFTER_S:
                idle_s, key = f"{now - item.last_progress_at:.1f}", item.key
                lines.append(
                    metric_line("item_idle_s", idle_s, job=key.job, item=key.item, doing=item.state_text)
                )
        return lines

    # --- the session ---

    async def _run_forever(self) -> None:
        while True:
            try:
                await self._connect_to_primary()
            except Exception as error:  # without this task no session would ever be opened again
                log.error("session with the storage group failed: %r", error)
                await asyncio.sleep(RECONNECT_DELAY_S)

    async def _connect_to_primary(self) -> None:
        """Try the storage nodes in turn, starting with the one that a redirect named as the primary."""
        hint, self._primary_hint = self._primary_hint, ""
        targets = ([hint] if hint else []) + [t for t in self._candidates() if t != hint]
        for target in targets:
            host, port = address.parse_host_port(target)
            connection = await connect(self, host, port)
            if connection is not None:
                connection.peer_zone = self._zone_of(target)
                await self._run_session(connection)
            if self._primary_hint:
                return
        await asyncio.sleep(RECONNECT_DELAY_S)

    async def _run_session(self, connection: Connection) -> None:
        self._connection = connection
        self._session_changed.clear()
        connection.send(self._tracker.open_session())
        try:
            async with asyncio.timeout(ACCEPT_TIMEOUT_S):
                await self._session_changed.wait()
        except TimeoutError:
            pass
        if self._tracker.accepted and not connection.closed:
            await self._wait_until_closed(connection)
        self._connection = None
        connection.close()
        for future in self._calls.values():
            if not future.done():
                future.set_result(Answer(0, HTTP_STATUS[ErrorKind.UNCERTAIN]))
        self._calls.clear()

    async def _wait_until_closed(self, connection: Connection) -> None:
        while not connection.closed:
            self._session_changed.clear()
            await self._session_changed.wait()

    def on_message(self, connection: Connection, message: Message) -> None:
        if connection is not self._connection:
            return
        self._tracker.message_received(self.now())
        if isinstance(message, WorkerAccepted):
            connection.peer_support = message.support
            self._on_accepted()
        elif isinstance(message, Redirect):
            self._primary_hint = message.primary.partition("@")[2]
            connection.close()
        elif isinstance(message, RunItem):
            self._start_item(message)
        elif isinstance(message, CancelItem):
            self._cancel_item(message.key)
        elif isinstance(message, ItemStored):
            self._tracker.remove_item(message.key)
        elif isinstance(message, ProbeEndpoints):
            if not self._probes:
                self._probes.start(self._probe(), lambda: None)
        elif isinstance(message, Answer):
            future = self._calls.pop(message.call, None)
            if future is not None and not future.done():
                future.set_result(message)
        else:
            assert isinstance(message, WorkerReported)

    def _on_accepted(self) -> None:
        """The primary has accepted the session."""
        self._send(self._tracker.accept_session(self.now()))
        self._session_ready.set()
        self._session_changed.set()

    def on_closed(self, connection: Connection) -> None:
        if connection is self._connection:
            self._tracker.end_session()
            self._session_ready.clear()
            self._session_changed.set()

    def _send(self, messages: Sequence[BatchMessage]) -> None:
        for message in messages:
            if self._connection is not None:
                self._connection.send(message)

    async def _check_forever(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            try:
                self._check()
            except Exception as error:  # without this task no limit on an item's waiting time would apply
                log.error("check of items and session failed: %r", error)

    def _check(self) -> None:
        """Send a report when it is due, close a silent session, and return items without progress."""
        now = self.now()
        responses = self._router.response_count()
        no_data, self._last_response_count = responses == self._last_response_count, responses
        if not no_data:
            self._tracker.endpoint_answered()
        if self._connection is not None:
            if self._tracker.is_silent(now):
                self._connection.close()
            else:
                self._send(self._tracker.tick(now))
        for item in list(self._items.values()):
            reason = self._return_reason(now, item, no_data)
            if reason is not None:
                log.info(
                    "%s %s returned for lack of progress, %s", item.key.job, item.key.item, item.state_text
                )
                self.return_item(item, reason)
                if item.call is not None and item.admission is not None:
                    item.admission.time_out(item.call)

    async def _probe(self) -> None:
        """Check whether an endpoint can be reached, and report it if so."""
        if await self._router.reaches_endpoint():
            self._send(self._tracker.probe_answered(self.now()))

    @staticmethod
    def _return_reason(now: float, item: RunningItem, no_data: bool) -> ReturnReason | None:
        """Why an item without progress has to be returned; None if it does not."""
        idle_s = now - item.last_progress_at
        if item.check_stalled(no_data):
            return ReturnReason.STUCK
        return ReturnReason.SILENT if idle_s >= ITEM_IDLE_TIMEOUT_S else None

    # --- items ---

    def on_routes_changed(self, generation: int) -> None:
        """Apply a new configuration: items that its routes no longer send to the same service are returned.

        An item that an endpoint has already finishes its attempt there, but gets no further one.
        """
        self._send(self._tracker.routes_changed(self.now(), generation))
        for item in list(self._items.values()):
            if item.call is None or item.admission is None:
                continue
            if self._router.routes_to(item.call.route.name, item.admission):
                continue
            if item.at_endpoint:
                item.call.no_further_attempts = True
            else:
                item.admission.abandon(item.call)
                self.return_item(item, ReturnReason.ROUTE_MOVED)

    def _start_item(self, order: RunItem) -> None:
        if self._tracker.receive_order(order.key) is OrderResult.ALREADY_HELD:
            return  # the next report lists the item, or its end is sent again
        item = RunningItem(self, order)
        self._items[order.key] = item
        if self.stopping:
            self.return_item(item, ReturnReason.STOPPING)
            return
        found = self._router.route_for(order.route)
        if found is None:
            self.return_item(item, ReturnReason.UNKNOWN_ROUTE)
            return
        route, admission = found
        try:
            head = item_head(order.key.item, order.path, order.headers, route.host, order.body)
        except UnsendableRequest as error:
            self._end_unsendable_item(item, error)
            return
        due_us = admission.now_us() + int(ITEM_TIMEOUT_S * 1e6)
        tenant = f"{BATCH_TENANT} {route.name}"
        tokens = token_usage(header_value(order.headers, "Token-Usage"))
        request_id = order.key.item.encode()
        call = Call(
            f"item {next(self._item_numbers)}",
            route,
            request_id,
            (head, order.body),
            due_us,
            tenant,
            tokens,
            item,
        )
        call.is_item = True  # also if its route is of another kind by now
        progress = started_progress(order)
        if progress is not None:
            call.last_event_id = progress.last_event
            call.response_started = True
        call.possible_runs = order.errors
        item.call, item.admission = call, admission
        admission.submit(call)

    def _end_unsendable_item(self, item: RunningItem, error: UnsendableRequest) -> None:
        """End an item of which no request can be made, as one that no endpoint can ever run.

        The primary refuses such items. One may be in a store since before it did, or come from an older one.
        """
        log.warning("%s %s cannot be sent to an endpoint: %s", item.key.job, item.key.item, error)
        if error.field == HOST_FIELD:
            self.return_item(item, ReturnReason.UNKNOWN_ROUTE)
        else:
            self.on_item_ended(ItemFinished(item.key, False, ""))

    def _cancel_item(self, key: ItemKey) -> None:
        self._tracker.remove_item(key)
        item = self._items.pop(key, None)
        if item is not None and item.call is not None and item.admission is not None:
            item.admission.abandon(item.call)

    def on_item_started(self, item: RunningItem) -> None:
        self._send(self._tracker.mark_started(item.key))

    def on_item_ended(self, outcome: ItemFinished | ItemReturned) -> None:
        """Record and report that an item has finished or is returned."""
        if self._items.pop(outcome.key, None) is not None:
            self._send(self._tracker.mark_ended(self.now(), outcome))

    def return_item(self, item: RunningItem, reason: ReturnReason) -> None:
        self.on_item_ended(item.return_message(reason))

    def give_up_oversized(self, item: RunningItem) -> None:
        """Return an item whose text is too large to be stored; its next run begins at the first event."""
        log.warning("%s %s: its text is over %d bytes", item.key.job, item.key.item, MAX_TEXT_BYTES)
        if item.call is not None and item.admission is not None:
            item.admission.abandon(item.call)
        errors = item.call.server_errors if item.call is not None else 0
        self.on_item_ended(ItemReturned(item.key, ReturnReason.FAILED, errors, NO_PROGRESS))

    def return_all_items(self) -> None:
        """Return all items as the sidecar stops, with their progress, so that other sidecars resume them."""
        self.stopping = True
        for item in list(self._items.values()):
            if item.call is not None and item.admission is not None:
                item.admission.abandon(item.call)
                self.return_item(item, ReturnReason.STOPPING)

    @property
    def unstored(self) -> int:
        """Number of items whose end the primary has not stored."""
        return len(self._tracker)

    # --- calls to the primary ---

    async def submit(self, job: str, route: str, body: bytes) -> Answer:
        return await self._call(lambda number: Submit(number, job, route, body), CALL_TIMEOUT_S)

    async def read(self, job: str, start: int, wait_ms: int) -> Answer:
        return await self._call(
            lambda number: ReadResults(number, job, start, wait_ms), CALL_TIMEOUT_S + wait_ms / 1000
        )

    async def body(self, job: str, item: str) -> Answer:
        return await self._call(lambda number: ReadBody(number, job, item), CALL_TIMEOUT_S)

    async def end(self, job: str) -> Answer:
        return await self._call(lambda number: EndJob(number, job), CALL_TIMEOUT_S)

    async def _call(
        self, make_message: Callable[[int], Submit | ReadResults | ReadBody | EndJob], timeout_s: float
    ) -> Answer:
        """The primary's answer; NOT_READY if the call was not sent, UNCERTAIN if it was not answered."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._session_ready.wait()
        except TimeoutError:
            return Answer(0, HTTP_STATUS[ErrorKind.NOT_READY])
        if self._connection is None:
            return Answer(0, HTTP_STATUS[ErrorKind.NOT_READY])
        number = next(self._call_numbers)
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._calls[number] = future
        self._connection.send(make_message(number))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return Answer(0, HTTP_STATUS[ErrorKind.UNCERTAIN])
        finally:
            self._calls.pop(number, None)


def header_value(headers: Mapping[str, str], name: str) -> str:
    """The value of a header, in whatever case its name is written; empty if it is missing."""
    return next((value for key, value in headers.items() if key.lower() == name.lower()), "")


def token_usage(header: str) -> tuple[int, int]:
    """Prompt tokens and the output limit of a Token-Usage header; zeros if it is missing or invalid."""
    prompt, _, max_output = header.partition(",")
    try:
        return _clamped_tokens(int(prompt)), _clamped_tokens(int(max_output))
    except ValueError:
        return 0, 0


def _clamped_tokens(tokens: int) -> int:
    """A number of tokens that sums and messages can hold."""
    return min(max(0, tokens), MAX_TOKENS)
