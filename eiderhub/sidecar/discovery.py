"""Discovery: lists of endpoints, and the watch on their changes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Annotated, NamedTuple

import msgspec
import structlog
from msgspec import Meta, Struct

from eiderhub.interface import Endpoint, ListForm, Readiness
from eiderhub.sidecar.clock import UNIX_OFFSET_US
from eiderhub.sidecar.upstream import Connection, Response

WAIT_MS = 30_000  # a watch waits so long at most: discovery works through its calls in turn, so few are best
# Danger: a watch that has fallen silent looks like one that has nothing to tell, until its wait is over. So
# it waits for half the time after which we would count as told had we not asked, and part of that at random.
WAIT_SHARE = 0.5
WAIT_FROM = 0.8  # at least this part: the watches of a fleet that starts at once must not come back in step
PATIENCE_S = 1.0  # an answer may be late by so much: what it had to tell counts as told a second later
GAP_S = 0.75  # a list that has begun may stand still for so long
MOST_LIST_S = 5.0  # and take so long as a whole
CONNECT_S = 2.0
MOST_LIST = 8 << 20  # bytes
PUSH_BACKOFF_S = (0.25, 4.0)  # first and longest wait after a failure, where nobody else decides on it
log = structlog.get_logger()


class Instance(Struct, rename="camel", frozen=True, kw_only=True):
    """One entry in discovery's form."""

    instance_id: str
    host_port: Annotated[str, Meta(pattern=r"^.+:[0-9]{1,5}$", description="an address:port")]
    lifecycle: Readiness
    zone: str | None = None
    machine_type: str | None = None
    cell: int | None = None
    weight: float | None = None  # 1 where it is not told, or not above 0
    started_at_ms: float | None = None  # Unix time; 0: long ago

    def listed(self) -> Listed:
        host, _, port = self.host_port.rpartition(":")
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
            # The module's clock is monotonic, so a start may lie before its zero.
            launched_us=started_ms * 1000 - UNIX_OFFSET_US or 1 if started_ms else 0,
        )
        return Listed(endpoint, host, int(port))


class Roll(Struct, frozen=True, kw_only=True):
    """A list in discovery's form."""

    generation: int
    reset: bool  # whether the list is whole
    instances: list[Instance]

    def listing(self) -> Listing:
        return Listing(self.generation, self.reset, [instance.listed() for instance in self.instances])


class Listed(NamedTuple):
    """One entry: the endpoint as the module knows it, and where it listens."""

    endpoint: Endpoint
    host: str
    port: int


class Listing(NamedTuple):
    generation: int
    whole: bool
    entries: list[Listed]


def read_listing(body: bytes) -> Listing:
    """Read an answer of discovery.

    Raises:
        ValueError: where it is no list; nothing of it may be used then.
    """
    return msgspec.json.decode(body, type=Roll).listing()


class Watcher:
    """Keeps one watch open while it is on; a failure ends it, and the module decides when to ask again."""

    def __init__(
        self,
        host: str,
        port: int,
        generation: int,
        persist: bool,
        ask_every_us: int,
        deliver: Callable[[ListForm, list[Listed]], None],
    ) -> None:
        self.host = host
        self.port = port
        self.generation = generation
        self.persist = persist  # lists are pushed: nobody asks again, so the watch itself goes on
        self.wait_ms = min(WAIT_MS, int(WAIT_SHARE * ask_every_us / 1000) or WAIT_MS)
        self.deliver = deliver
        self._task: asyncio.Task[None] | None = None
        self._connection: Connection | None = None
        self._answer: asyncio.Future[Response] | None = None
        self._gap: asyncio.TimerHandle | None = None

    def turn(self, on: bool) -> None:
        if on and self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())
        elif not on and self._task is not None:
            self._task.cancel()
            self._task = None
            self._hang_up()  # its answer would come in for the next watch

    def move(self, host: str, port: int) -> None:
        """Discovery answers elsewhere from now on: watch there at once, whatever backoff is under way."""
        self.turn(False)
        self.host, self.port = host, port
        self.turn(True)

    async def _run(self) -> None:
        wait, most = PUSH_BACKOFF_S
        while True:
            try:
                listing = await self._ask()
            except Exception as error:  # whatever it is, the list must not stay as it is for good
                log.warning("discovery failed", reason=str(error) or type(error).__name__)
                self._hang_up()
                if not self.persist:
                    self._task = None
                    self.deliver(ListForm.FAILED, [])
                    return
                await asyncio.sleep(wait * random.uniform(0.5, 1.5))
                wait = min(2 * wait, most)
                continue
            wait = PUSH_BACKOFF_S[0]
            self.generation = listing.generation
            self.deliver(ListForm.FULL if listing.whole else ListForm.DELTA, listing.entries)

    async def _ask(self) -> Listing:
        loop = asyncio.get_running_loop()
        if self._connection is None or self._connection.lost:
            fresh = Connection(self, MOST_LIST)
            async with asyncio.timeout(CONNECT_S):
                await loop.create_connection(lambda: fresh, self.host, self.port)
            fresh.on_moved = self._moved
            self._connection = fresh
        self._answer = loop.create_future()
        wait_ms = int(self.wait_ms * random.uniform(WAIT_FROM, 1.0))
        path = f"/discovery/hosts?after={self.generation}&wait_ms={wait_ms}"
        self._connection.send(f"GET {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n\r\n".encode())
        try:
            async with asyncio.timeout(wait_ms / 1000 + PATIENCE_S) as self._patience:
                response = await self._answer
        finally:
            self._mind_gap(False)
        if response.status != 200:
            raise ValueError(f"answered {response.status}")
        return read_listing(response.body)

    def _moved(self) -> None:
        """More has come: from an answer's first byte on only a gap, or its whole length, ends the wait."""
        if self._answer is None or self._answer.done():
            return
        if self._gap is None:
            self._patience.reschedule(asyncio.get_running_loop().time() + MOST_LIST_S)
        self._mind_gap(True)

    def _mind_gap(self, on: bool) -> None:
        if self._gap is not None:
            self._gap.cancel()
        self._gap = asyncio.get_running_loop().call_later(GAP_S, self._stalled) if on else None

    def _stalled(self) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(TimeoutError("the list stands still"))

    def _hang_up(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def on_written(self, connection: Connection) -> None:
        pass  # a call to discovery is no attempt

    def on_large(self, connection: Connection, head: Response) -> None:
        return None  # a list is read whole or not at all

    def on_response(self, connection: Connection, response: Response, reusable: bool) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(response)

    def on_lost(self, connection: Connection) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(ConnectionResetError("the connection ended"))
