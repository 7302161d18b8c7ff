"""Batch items on a sidecar: the session with the storage group's primary, items run through admission."""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from collections.abc import Callable, Sequence
from typing import Protocol

import picologging as logging

from eiderhub import address
from eiderhub.batch.ledger import ItemLedger, Order
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
from eiderhub.control.errors import STATUS, ErrorKind
from eiderhub.dataplane.admission import BATCH_TENANT, NO_EVENT, Admission, Call
from eiderhub.dataplane.engine import Headers
from eiderhub.dataplane.events import Event
from eiderhub.dataplane.frontend import request_head
from eiderhub.dataplane.routes import Route
from eiderhub.transport.frames import Message
from eiderhub.transport.framing import Connection, connect
from eiderhub.transport.tasks import TaskSet

RETRY_S = 0.1
ACCEPT_S = 0.6  # a storage node that has not taken the session by then does not lead
CALL_S = 1.6  # a call that no primary has answered by then is uncertain
STUCK_S = 4.0  # an item that has not moved for so long is named among the figures
NEVER_DONE = 422
ITEM_TIME_S = 60.0  # an item's attempt on this sidecar takes no longer
TEND_S = 0.25  # how often items and the session are looked at
# An item that has not moved for so long is given back. Danger: an endpoint whose machine has lost its power
# says nothing, and would hold the item for the time above.
ITEM_SILENCE_S = 4.0
# So is one that no endpoint has taken at so many looks in a row, or for its objective, if that is more: the
# decisions hold a call for a part of it. Looks, not seconds: a process that was frozen has answers to read.
LEAST_QUEUE_LOOKS = 3
# So are those that have been sent and not begun, once no endpoint has said anything to this sidecar for so
# many objectives, at so many looks in a row: it reaches none, and others may. For twice as long with each
# time that the item has failed to move before: where endpoints are slow everywhere, one has to wait.
STILL_OBJECTIVES, LEAST_STILL_LOOKS, MOST_STILL_LOOKS = 2.0, 4, int(ITEM_SILENCE_S / TEND_S)


log = logging.getLogger("items")


class Router(Protocol):
    """Where an item is run."""

    def route_for(self, name: str) -> tuple[Route, Admission] | None: ...

    def leads_to(self, name: str, admission: Admission) -> bool:
        """Whether the route, as it is in force now, leads to that service."""

    def answers(self) -> int:
        """How often any endpoint has said anything to this sidecar."""

    async def reaches_endpoint(self) -> bool:
        """Whether an endpoint, drawn by chance, takes a connection."""


class RunningItem:
    """One item that this sidecar runs; implements admission's `Sink`."""

    def __init__(self, runner: ItemRunner, order: RunItem) -> None:
        self._runner = runner
        self.key = order.key
        self.texts: list[str] = list(order.progress.texts) if order.progress else []
        self._started = False
        self.moved_at = runner.now()
        self._still_looks = 0  # in a row, at which endpoints had said nothing to this sidecar
        self._queue_looks = 0  # in a row, at which no endpoint had it
        self._tries = order.tries
        self.call: Call | None = None
        self.admission: Admission | None = None

    def begin(self, headers: Headers) -> None:
        """Nothing: texts are collected."""

    def event(self, event: Event) -> None:
        self.moved_at = self._runner.now()
        if not self._started:
            self._started = True
            self._runner.started(self)
        self.texts.append(event.data)

    def finish(self) -> None:
        self._runner.ended(ItemFinished(self.key, True, "\n".join(self.texts)))

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        if status == NEVER_DONE:
            self._runner.ended(ItemFinished(self.key, False, ""))
        else:
            self._runner.give_back(self, ReturnReason.FAILED)

    def break_off(self) -> None:
        self._runner.give_back(self, ReturnReason.FAILED)

    def refuse(self, kind: ErrorKind, retry_after_us: int) -> None:
        refused = kind is ErrorKind.NOT_READY
        self._runner.give_back(self, ReturnReason.REFUSED if refused else ReturnReason.FAILED)

    @property
    def begun(self) -> bool:
        """Whether an endpoint has said anything of it to this sidecar."""
        return self._started

    def looked_at(self, still: bool) -> bool:
        """Count a look; whether the item is to be given up.

        `still`: endpoints have said nothing to this sidecar since the look before.
        """
        if self._started:
            return False
        self._still_looks = self._still_looks + 1 if still else 0
        self._queue_looks = 0 if self.at_endpoint else self._queue_looks + 1
        if self.at_endpoint:
            return self._still_looks > self._most_still_looks()
        return self._queue_looks > self._most_queue_looks()

    def _objective_s(self) -> float:
        return self.call.route.slo_ms / 1000 if self.call is not None else 0.0

    def _most_still_looks(self) -> int:
        first = max(LEAST_STILL_LOOKS, math.ceil(STILL_OBJECTIVES * self._objective_s() / TEND_S))
        return min(first << self._tries, MOST_STILL_LOOKS)

    def _most_queue_looks(self) -> int:
        """At how many looks in a row no endpoint may have taken it."""
        return min(max(LEAST_QUEUE_LOOKS, int(self._objective_s() / TEND_S)), MOST_STILL_LOOKS)

    @property
    def at_endpoint(self) -> bool:
        """Whether it has been sent to one."""
        return self.call is not None and self.call.current is not None

    @property
    def doing(self) -> str:
        """What it waits for, as on-call staff would say it."""
        if self.call is None or self.call.current is None:
            return "waits for an endpoint"
        return f"at {self.call.current.endpoint}"

    def progress(self) -> Progress | None:
        if self.call is None or self.call.last_event == NO_EVENT:
            return None
        return Progress(self.call.last_event, self.texts)

    def returned(self, reason: ReturnReason) -> ItemReturned:
        errors = self.call.errors if self.call else 0
        return ItemReturned(self.key, reason, errors, self.progress())


class ItemRunner:
    """Keeps the session; `candidates` gives the addresses of storage nodes."""

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
        self._zone_of = zone_of  # by address
        self._items: dict[ItemKey, RunningItem] = {}  # that run
        self._ledger = ItemLedger(node, zone)
        self._connection: Connection | None = None
        self._hint = ""
        self._changed = asyncio.Event()
        self._calls: dict[int, asyncio.Future[Answer]] = {}
        self._numbers = itertools.count(1)
        self._up = asyncio.Event()  # set while a primary has taken the session
        self._answers = 0  # of endpoints, at the last look
        self._probes = TaskSet()
        self.stopping = False
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self._run()), loop.create_task(self._tend_forever())]

    def stop(self) -> None:
        """Open no more sessions."""
        for task in self.tasks:
            task.cancel()

    @staticmethod
    def now() -> float:
        """Danger: the event loop's own clock stands still within a turn."""
        return time.monotonic()

    def metrics(self) -> list[str]:
        """What this sidecar holds, one figure a line; items without a move for long are named."""
        now = self.now()
        lines = [
            f"session {self._ledger.accepted:d}",
            f"items_held {len(self._ledger)}",
            f"items_running {len(self._items)}",
        ]
        for item in self._items.values():
            if now - item.moved_at >= STUCK_S:
                lines.append(
                    f'item_idle_s{{job="{item.key.job}",item="{item.key.item}",doing="{item.doing}"}} '
                    f"{now - item.moved_at:.1f}"
                )
        return lines

    # --- the session ---

    async def _run(self) -> None:
        while True:
            try:
                await self._find_primary()
            except Exception as error:  # Danger: without this task there would never be a session again
                log.error("the session with the storage group failed: %r", error)
                await asyncio.sleep(RETRY_S)

    async def _find_primary(self) -> None:
        """Try the storage nodes in turn, the one that was named as the primary first."""
        hint, self._hint = self._hint, ""
        targets = ([hint] if hint else []) + [t for t in self._candidates() if t != hint]
        for target in targets:
            host, port = address.parse(target)
            connection = await connect(self, host, port)
            if connection is not None:
                connection.peer_zone = self._zone_of(target)
                await self._keep(connection)
            if self._hint:
                return
        await asyncio.sleep(RETRY_S)

    async def _keep(self, connection: Connection) -> None:
        self._connection = connection
        self._changed.clear()
        connection.send(self._ledger.open())
        try:
            async with asyncio.timeout(ACCEPT_S):
                await self._changed.wait()
        except TimeoutError:
            pass
        if self._ledger.accepted and not connection.closed:
            await self._until_closed(connection)
        self._connection = None
        connection.close()
        for future in self._calls.values():
            if not future.done():
                future.set_result(Answer(0, STATUS[ErrorKind.UNCERTAIN]))
        self._calls.clear()

    async def _until_closed(self, connection: Connection) -> None:
        while not connection.closed:
            self._changed.clear()
            await self._changed.wait()

    def on_message(self, connection: Connection, message: Message) -> None:
        if connection is not self._connection:
            return
        self._ledger.heard(self.now())
        if isinstance(message, WorkerAccepted):
            connection.support = message.support
            self._accepted()
        elif isinstance(message, Redirect):
            self._hint = message.primary.partition("@")[2]
            connection.close()
        elif isinstance(message, RunItem):
            self._start(message)
        elif isinstance(message, CancelItem):
            self._cancel(message.key)
        elif isinstance(message, ItemStored):
            self._ledger.forget(message.key)
        elif isinstance(message, ProbeEndpoints):
            if not self._probes:
                self._probes.start(self._probe(), lambda: None)
        elif isinstance(message, Answer):
            future = self._calls.pop(message.call, None)
            if future is not None and not future.done():
                future.set_result(message)
        else:
            assert isinstance(message, WorkerReported)

    def _accepted(self) -> None:
        """A primary has taken the session."""
        self._send(self._ledger.accept(self.now()))
        self._up.set()
        self._changed.set()

    def on_closed(self, connection: Connection) -> None:
        if connection is self._connection:
            self._ledger.end()
            self._up.clear()
            self._changed.set()

    def _send(self, messages: Sequence[BatchMessage]) -> None:
        for message in messages:
            if self._connection is not None:
                self._connection.send(message)

    async def _tend_forever(self) -> None:
        while True:
            await asyncio.sleep(TEND_S)
            try:
                self._tend()
            except Exception as error:  # Danger: without this task nothing would bound what an item waits for
                log.error("items could not be tended: %r", error)

    def _tend(self) -> None:
        """Report when it is due; end a session that is silent, and attempts in which nothing moves."""
        now = self.now()
        answers = self._router.answers()
        still, self._answers = answers == self._answers, answers
        if not still:
            self._ledger.endpoints_answered()
        if self._connection is not None:
            if self._ledger.is_silent(now):
                self._connection.close()
            else:
                self._send(self._ledger.tick(now))
        for item in list(self._items.values()):
            reason = self._why_to_give_back(now, item, still)
            if reason is not None:
                log.info("%s %s has not moved, %s; given back", item.key.job, item.key.item, item.doing)
                self.give_back(item, reason)
                if item.call is not None and item.admission is not None:
                    item.admission.time_out(item.call)

    async def _probe(self) -> None:
        """Find out whether endpoints can be reached."""
        if await self._router.reaches_endpoint():
            self._send(self._ledger.probed(self.now()))

    @staticmethod
    def _why_to_give_back(now: float, item: RunningItem, still: bool) -> ReturnReason | None:
        """Why an item has been here for too long; None: it has not."""
        idle_s = now - item.moved_at
        if item.looked_at(still):
            return ReturnReason.STUCK
        return ReturnReason.SILENT if idle_s >= ITEM_SILENCE_S else None

    # --- items ---

    def routes_changed(self, generation: int) -> None:
        """Another configuration is in force: what has not been sent by the one before is not to be."""
        self._send(self._ledger.routes_changed(self.now(), generation))
        for item in list(self._items.values()):
            if item.call is None or item.admission is None:
                continue
            if self._router.leads_to(item.call.route.name, item.admission):
                continue
            if item.at_endpoint:
                item.call.final = True
            else:
                item.admission.abandon(item.call)
                self.give_back(item, ReturnReason.ROUTE_MOVED)

    def _start(self, order: RunItem) -> None:
        if self._ledger.order(order.key) is Order.HELD:
            return  # the next report tells that it is here, or its end is told again
        item = RunningItem(self, order)
        self._items[order.key] = item
        if self.stopping:
            self.give_back(item, ReturnReason.STOPPING)
            return
        found = self._router.route_for(order.route)
        if found is None:
            self.give_back(item, ReturnReason.UNKNOWN_ROUTE)
            return
        route, admission = found
        headers = {name.encode(): value.encode() for name, value in order.headers.items()}
        headers[b"Host"] = route.host.encode()
        headers[b"Request-Id"] = order.key.item.encode()
        head = request_head(b"POST", order.path.encode(), headers, order.body)
        due_us = admission.now_us() + int(ITEM_TIME_S * 1e6)
        tenant = f"{BATCH_TENANT} {route.name}"
        tokens = token_usage(order.headers.get("Token-Usage", ""))
        request_id = order.key.item.encode()
        name = f"item {order.key.job} {order.key.item}"
        call = Call(name, route, request_id, (head, order.body), due_us, tenant, tokens, item)
        if order.progress is not None:
            call.last_event = order.progress.last_event
            call.begun = True
        call.ran = order.errors
        item.call, item.admission = call, admission
        admission.order(call)

    def _cancel(self, key: ItemKey) -> None:
        self._ledger.forget(key)
        item = self._items.pop(key, None)
        if item is not None and item.call is not None and item.admission is not None:
            item.admission.abandon(item.call)

    def started(self, item: RunningItem) -> None:
        self._send(self._ledger.began(item.key))

    def ended(self, outcome: ItemFinished | ItemReturned) -> None:
        """An item runs here no more."""
        if self._items.pop(outcome.key, None) is not None:
            self._send(self._ledger.ended(self.now(), outcome))

    def give_back(self, item: RunningItem, reason: ReturnReason) -> None:
        self.ended(item.returned(reason))

    def return_all(self) -> None:
        """The sidecar stops: others go on with what has come so far."""
        self.stopping = True
        for item in list(self._items.values()):
            if item.call is not None and item.admission is not None:
                item.admission.abandon(item.call)
                self.give_back(item, ReturnReason.STOPPING)

    @property
    def unstored(self) -> int:
        """Items whose end the primary has not taken."""
        return len(self._ledger)

    # --- calls ---

    async def submit(self, job: str, route: str, body: bytes) -> Answer:
        return await self._call(lambda number: Submit(number, job, route, body), CALL_S)

    async def read(self, job: str, start: int, wait_ms: int) -> Answer:
        return await self._call(
            lambda number: ReadResults(number, job, start, wait_ms), CALL_S + wait_ms / 1000
        )

    async def body(self, job: str, item: str) -> Answer:
        return await self._call(lambda number: ReadBody(number, job, item), CALL_S)

    async def end(self, job: str) -> Answer:
        return await self._call(lambda number: EndJob(number, job), CALL_S)

    async def _call(
        self, make: Callable[[int], Submit | ReadResults | ReadBody | EndJob], wait_s: float
    ) -> Answer:
        """The primary's answer; NOT_READY where none was asked, UNCERTAIN where it did not answer."""
        try:
            async with asyncio.timeout(wait_s):
                await self._up.wait()
        except TimeoutError:
            return Answer(0, STATUS[ErrorKind.NOT_READY])
        if self._connection is None:
            return Answer(0, STATUS[ErrorKind.NOT_READY])
        number = next(self._numbers)
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._calls[number] = future
        self._connection.send(make(number))
        try:
            async with asyncio.timeout(wait_s):
                return await future
        except TimeoutError:
            return Answer(0, STATUS[ErrorKind.UNCERTAIN])
        finally:
            self._calls.pop(number, None)


def token_usage(text: str) -> tuple[int, int]:
    """Tokens of the prompt and the most out; zeros where the header tells nothing."""
    prompt, _, out = text.partition(",")
    try:
        return max(0, int(prompt)), max(0, int(out))
    except ValueError:
        return 0, 0
