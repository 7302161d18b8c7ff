"""Batch items on a sidecar: the session with the storage group's primary, items run through admission."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable
from typing import Protocol

from eiderhub import address
from eiderhub.batch.messages import (
    Answer,
    CancelItem,
    EndJob,
    ItemFinished,
    ItemKey,
    ItemReturned,
    ItemStarted,
    ItemStored,
    Progress,
    ReadBody,
    ReadResults,
    Redirect,
    RunItem,
    Submit,
    WorkerAccepted,
    WorkerOpen,
)
from eiderhub.control.errors import STATUS, ErrorKind
from eiderhub.dataplane.admission import BATCH_TENANT, NO_EVENT, Admission, Call
from eiderhub.dataplane.engine import Headers
from eiderhub.dataplane.events import Event
from eiderhub.dataplane.frontend import request_head
from eiderhub.dataplane.routes import Route
from eiderhub.transport.framing import Connection, Message, connect

RETRY_S = 0.1
ACCEPT_S = 0.6  # a storage node that has not taken the session by then does not lead
CALL_S = 1.6  # a call that no primary has answered by then is uncertain
STUCK_S = 4.0  # an item that has not moved for so long is named among the figures
NEVER_DONE = 422
ITEM_TIME_S = 60.0  # an item's attempt on this sidecar takes no longer


class Router(Protocol):
    """Where an item is run."""

    def route_for(self, name: str) -> tuple[Route, Admission] | None: ...


class RunningItem:
    """One item that this sidecar runs; implements admission's `Sink`."""

    def __init__(self, runner: ItemRunner, order: RunItem) -> None:
        self._runner = runner
        self.key = order.key
        self.texts: list[str] = list(order.progress.texts) if order.progress else []
        self._started = False
        self.moved_at = runner.now()
        self.call: Call | None = None
        self.admission: Admission | None = None
        self.finished: ItemFinished | None = None  # until the primary has stored it

    def begin(self, headers: Headers) -> None:
        """Nothing: texts are collected."""

    def event(self, event: Event) -> None:
        self.moved_at = self._runner.now()
        if not self._started:
            self._started = True
            self._runner.started(self)
        self.texts.append(event.data)

    def finish(self) -> None:
        self.finished = ItemFinished(self.key, True, "\n".join(self.texts))
        self._runner.ended(self)

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        if status == NEVER_DONE:
            self.finished = ItemFinished(self.key, False, "")
            self._runner.ended(self)
        else:
            self._runner.give_back(self, refused=False)

    def break_off(self) -> None:
        self._runner.give_back(self, refused=False)

    def refuse(self, kind: ErrorKind, retry_after_us: int) -> None:
        self._runner.give_back(self, refused=kind is ErrorKind.NOT_READY)

    @property
    def doing(self) -> str:
        """What it waits for, as on-call staff would say it."""
        if self.finished is not None:
            return "waits to be stored"
        if self.call is None or self.call.current is None:
            return "waits for an endpoint"
        return f"at {self.call.current.endpoint}"

    def progress(self) -> Progress | None:
        if self.call is None or self.call.last_event == NO_EVENT:
            return None
        return Progress(self.call.last_event, self.texts)

    def returned(self, refused: bool) -> ItemReturned:
        errors = self.call.errors if self.call else 0
        return ItemReturned(self.key, refused, errors, self.progress())


class ItemRunner:
    """Keeps the session; `candidates` gives the addresses of storage nodes."""

    def __init__(self, node: str, zone: str, router: Router, candidates: Callable[[], list[str]]) -> None:
        self._node = node
        self._zone = zone
        self._router = router
        self._candidates = candidates
        self._items: dict[ItemKey, RunningItem] = {}
        self._connection: Connection | None = None
        self._accepted = False
        self._hint = ""
        self._changed = asyncio.Event()
        self._calls: dict[int, asyncio.Future[Answer]] = {}
        self._numbers = itertools.count(1)
        self._up = asyncio.Event()  # set while a primary has taken the session
        self.stopping = False
        self.task = asyncio.get_running_loop().create_task(self._run())

    @staticmethod
    def now() -> float:
        """Danger: the event loop's own clock stands still within a turn."""
        return time.monotonic()

    def metrics(self) -> list[str]:
        """What this sidecar holds, one figure a line; items without a move for long are named."""
        now = self.now()
        finished = sum(item.finished is not None for item in self._items.values())
        lines = [
            f"session {self._accepted and self._connection is not None:d}",
            f"items_held {len(self._items)}",
            f"items_unstored {finished}",
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
            hint, self._hint = self._hint, ""
            targets = ([hint] if hint else []) + [t for t in self._candidates() if t != hint]
            for target in targets:
                host, port = address.parse(target)
                connection = await connect(self, host, port)
                if connection is not None:
                    await self._keep(connection)
                if self._hint:
                    break
            else:
                await asyncio.sleep(RETRY_S)

    async def _keep(self, connection: Connection) -> None:
        self._connection = connection
        self._accepted = False
        self._changed.clear()
        connection.send(WorkerOpen(self._node, self._zone, list(self._items)))
        try:
            async with asyncio.timeout(ACCEPT_S):
                await self._changed.wait()
        except TimeoutError:
            pass
        if self._accepted and not connection.closed:
            self._up.set()
            for item in list(self._items.values()):
                if item.finished is not None:
                    connection.send(item.finished)
            await self._until_closed(connection)
        self._up.clear()
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
        if isinstance(message, WorkerAccepted):
            self._accepted = True
            self._changed.set()
        elif isinstance(message, Redirect):
            self._hint = message.primary.partition("@")[2]
            connection.close()
        elif isinstance(message, RunItem):
            self._start(message)
        elif isinstance(message, CancelItem):
            self._cancel(message.key)
        elif isinstance(message, ItemStored):
            self._items.pop(message.key, None)
        elif isinstance(message, Answer):
            future = self._calls.pop(message.call, None)
            if future is not None and not future.done():
                future.set_result(message)

    def on_closed(self, connection: Connection) -> None:
        self._changed.set()

    # --- items ---

    def _start(self, order: RunItem) -> None:
        if order.key in self._items:
            return
        item = RunningItem(self, order)
        self._items[order.key] = item
        found = self._router.route_for(order.route)
        if found is None or self.stopping:
            self.give_back(item, refused=True)
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
        item.call, item.admission = call, admission
        admission.order(call)

    def _cancel(self, key: ItemKey) -> None:
        item = self._items.pop(key, None)
        if item is not None and item.call is not None and item.admission is not None:
            item.admission.abandon(item.call)

    def started(self, item: RunningItem) -> None:
        if self._connection is not None and self._accepted:
            self._connection.send(ItemStarted(item.key))

    def ended(self, item: RunningItem) -> None:
        if self._connection is not None and self._accepted and item.finished is not None:
            self._connection.send(item.finished)

    def give_back(self, item: RunningItem, refused: bool) -> None:
        if self._items.pop(item.key, None) is not None and self._connection is not None and self._accepted:
            self._connection.send(item.returned(refused))

    def return_all(self) -> None:
        """The sidecar stops: others go on with what has come so far."""
        self.stopping = True
        for item in list(self._items.values()):
            if item.finished is None and item.call is not None and item.admission is not None:
                item.admission.abandon(item.call)
                self.give_back(item, refused=False)

    @property
    def unstored(self) -> int:
        return len(self._items)

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
        return int(prompt), int(out)
    except ValueError:
        return 0, 0
