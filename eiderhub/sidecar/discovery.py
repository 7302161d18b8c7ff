"""Discovery: lists of endpoints, and the watch on their changes."""

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

WAIT_MS = 30_000  # a watch waits so long at most: discovery works through its calls in turn, so few are best
# Danger: a watch that has fallen silent looks like one that has nothing to tell, until its wait is over. So
# it waits for half the time after which we would count as told had we not asked, and part of that at random.
WAIT_SHARE = 0.5
WAIT_FROM = 0.8  # at least this part: the watches of a fleet that starts at once must not come back in step
# Danger: after a silence, a call that waits as long as usual may fall into it again and not show it. Until
# one is answered they wait for no more than this where lists are pushed: what they missed is told within 6 s
# of its end. Where they are asked for, a call that is given up sooner loses its turn at a busy discovery.
SUSPECT_WAIT_MS = 2_500
PATIENCE_S = 1.0  # an answer may be late by so much: what it had to tell counts as told a second later
GAP_S = 0.75  # a list that has begun may stand still for so long
MOST_LIST_S = 3.5  # and take so long as a whole: another call must still be in time
CONNECT_S = 2.0
MOST_LIST = 8 << 20  # bytes
ASK_AGAIN_S = 0.2  # a call that said nothing is repeated within so long: a fleet's come back out of step
CROSSING_US = 100_000  # an end that comes so soon after a call on a kept connection was on its way before
# First and longest wait after a failure, where nobody else decides on it. Danger: what is pushed counts as
# told from the moment that discovery is back.
PUSH_BACKOFF_S = (0.05, 0.15)
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
        if not 0 < int(port) < 1 << 16:
            raise ValueError(f"{self.host_port}: no port has this number")
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


class DiscoveryResponse(Struct, frozen=True, kw_only=True):
    """A list in discovery's form."""

    generation: int
    reset: bool  # whether the list is whole
    instances: list[Instance]
    unreadable: int = 0  # entries that were left out

    def listing(self) -> Listing:
        entries = [instance.listed() for instance in self.instances]
        return Listing(self.generation, self.reset, entries, self.unreadable)


class UnreadResponse(Struct, frozen=True, kw_only=True):
    """A list whose entries are still to be read."""

    generation: int
    reset: bool
    instances: list[Any]


class Listed(NamedTuple):
    """One entry: the endpoint as the module knows it, and where it listens."""

    endpoint: Endpoint
    host: str
    port: int


class Listing(NamedTuple):
    generation: int
    whole: bool
    entries: list[Listed]
    unreadable: int = 0


def read_listing(body: bytes) -> Listing:
    """Read an answer of discovery.

    Raises:
        ValueError: where it is no list; nothing of it may be used then.
    """
    try:
        return msgspec.json.decode(body, type=DiscoveryResponse).listing()
    except (ValueError, OverflowError):
        return _sifted(msgspec.json.decode(body, type=UnreadResponse))


def readable(document: Any) -> bool:
    """Whether an entry can be read."""
    try:
        msgspec.convert(document, Instance).listed()
    except (ValueError, OverflowError):
        return False
    return True


def _sifted(response: UnreadResponse) -> Listing:
    """A list of which some entries can't be read: they cost only themselves.

    One whose id can be read gets nothing new, as one that drains: whatever it says, it does not say ready.
    """
    entries: list[Listed] = []
    bad: list[Exception] = []
    for document in response.instances:
        try:
            entries.append(msgspec.convert(document, Instance).listed())
        except (ValueError, OverflowError) as error:
            bad.append(error)
            fields = document if isinstance(document, dict) else {}
            name, zone = fields.get("instanceId"), fields.get("zone")
            if isinstance(name, str):
                told = zone if isinstance(zone, str) else ""
                entries.append(Listed(Endpoint(name, told, "", -1, Readiness.DRAINING), "", 0))
    if response.reset and bad and len(bad) == len(response.instances):
        raise ValueError(f"no entry can be read: {bad[0]}")
    if bad:
        log.warning("entries of a list can't be read", entries=len(bad), first=str(bad[0]))
    return Listing(response.generation, response.reset, entries)


class Busy(ValueError):
    """Discovery refuses: it has too much to do."""


class Call:
    """One call to discovery on one connection, up to its answer."""

    def __init__(self, connection: Connection, patience_s: float, on_kept: bool) -> None:
        self.on_kept = on_kept  # the connection had carried calls before
        self.sent_us = now_us()
        self.answer: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self.began = False  # something of the answer has come
        self._connection = connection
        self._patience_s = patience_s
        self._gap: asyncio.TimerHandle | None = None

    async def wait(self) -> Response:
        """The whole answer.

        Raises:
            TimeoutError: it did not begin, or stood still, or did not end in time.
            ConnectionResetError: the connection ended.
        """
        self._connection.on_moved = self._moved
        try:
            async with asyncio.timeout(self._patience_s) as self._patience:
                return await self.answer
        finally:
            self._connection.on_moved = None
            self._mind_gap(False)

    def _moved(self) -> None:
        """More has come: from an answer's first byte on only a gap, or its whole length, ends the wait."""
        if self.answer.done():
            return
        if not self.began:
            self.began = True
            self._patience.reschedule(asyncio.get_running_loop().time() + MOST_LIST_S)
        self._mind_gap(True)

    def _mind_gap(self, on: bool) -> None:
        if self._gap is not None:
            self._gap.cancel()
        self._gap = asyncio.get_running_loop().call_later(GAP_S, self._stalled) if on else None

    def _stalled(self) -> None:
        self.end(TimeoutError("the list stands still"))

    def end(self, error: Exception) -> None:
        if not self.answer.done():
            self.answer.set_exception(error)


class Watch:
    """A watch at one address: its connection, and the call that is out. Once closed it hears nothing more."""

    def __init__(self, host: str, port: int, wait_ms: int, suspect_wait_ms: int) -> None:
        self.host = host
        self.port = port
        self.wait_ms = wait_ms
        self.suspect_wait_ms = suspect_wait_ms  # after a call that fell silent
        self._connection: Connection | None = None
        self._call: Call | None = None
        self._suspect = False  # the latest call fell silent

    async def ask(self, generation: int | None, at_once: bool = False) -> Listing:
        """The changes since then, or the whole list; a call that says nothing is repeated once.

        Danger: what falls silent looks like one with nothing to tell, and what it missed counts as told soon
        after. A kept connection may be closed, rightly, as the next call is written to it. `at_once` asks for
        what there is; it is waited for as long, since a call that is given up has lost its turn.
        """
        try:
            return await self._ask(generation, at_once)
        except (TimeoutError, ConnectionResetError) as error:
            call = self._call
            crossed = call is not None and call.on_kept and now_us() - call.sent_us < CROSSING_US
            if call is None or call.began or not (isinstance(error, TimeoutError) or crossed):
                raise
            log.info("discovery is asked again", reason=str(error) or "no answer")
            self.close()
        await asyncio.sleep(random.uniform(0.0, ASK_AGAIN_S))
        return await self._ask(generation, at_once)

    async def _ask(self, generation: int | None, at_once: bool) -> Listing:
        self._call = None
        kept = self._connection is not None and not self._connection.lost
        if self._connection is None or self._connection.lost:
            self._connection = await self._connect()
        longest_ms = self.suspect_wait_ms if self._suspect else self.wait_ms
        wait_ms = int(longest_ms * random.uniform(WAIT_FROM, 1.0))
        query = "" if generation is None else f"?after={generation}&wait_ms={0 if at_once else wait_ms}"
        patience_s = PATIENCE_S + (wait_ms / 1000 if query else 0.0)
        call = self._call = Call(self._connection, patience_s, kept)
        head = f"GET /discovery/hosts{query} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n\r\n"
        self._connection.send(head.encode())
        try:
            response = await call.wait()
        except TimeoutError:
            self._suspect = True
            raise
        self._suspect = False
        if response.status != 200:
            raise Busy(f"answered {response.status}")
        listing = read_listing(response.body)
        if not query and not listing.whole:
            raise ValueError("not the whole list, which was asked for")
        return listing

    async def _connect(self) -> Connection:
        fresh = Connection(self, MOST_LIST)
        async with asyncio.timeout(CONNECT_S):
            await asyncio.get_running_loop().create_connection(lambda: fresh, self.host, self.port)
        return fresh

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    # --- what the connection tells ---

    def on_written(self, connection: Connection) -> None:
        pass  # a call to discovery is no attempt

    def on_large(self, connection: Connection, head: Response) -> None:
        return None  # a list is read whole or not at all

    def on_response(self, connection: Connection, response: Response, reusable: bool) -> None:
        if self._call is not None and not self._call.answer.done():
            self._call.answer.set_result(response)

    def on_lost(self, connection: Connection) -> None:
        if self._call is not None:
            self._call.end(ConnectionResetError("the connection ended"))


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
        self.heard = asyncio.Event()  # discovery has told what it has, or can't be reached
        self._task: asyncio.Task[None] | None = None
        self._watch: Watch | None = None

    def turn(self, on: bool) -> None:
        if on and self._task is None:
            suspect_wait_ms = SUSPECT_WAIT_MS if self.persist else self.wait_ms
            self._watch = Watch(self.host, self.port, self.wait_ms, suspect_wait_ms)
            self._task = asyncio.get_running_loop().create_task(self._run(self._watch))
        elif not on and self._task is not None:
            self._task.cancel()
            self._task = None
            if self._watch is not None:
                self._watch.close()  # what it still brings belongs to nobody

    def move(self, host: str, port: int) -> None:
        """Discovery answers elsewhere from now on: watch there at once, whatever backoff is under way."""
        self.turn(False)
        self.host, self.port = host, port
        self.turn(True)

    async def _run(self, watch: Watch) -> None:
        wait, most = PUSH_BACKOFF_S
        whole = False  # whether the next call asks for the whole list
        while True:
            try:
                at_once = not self.heard.is_set()  # who starts wants to know
                listing = await watch.ask(None if whole else self.generation, at_once)
                whole = not whole and listing.generation < self.generation
                if whole:
                    log.warning("discovery told of an older list", has=listing.generation, we=self.generation)
                    continue
                self.deliver(ListForm.FULL if listing.whole else ListForm.DELTA, listing.entries)
                self.generation = listing.generation  # not before: what could not be used comes again
                wait = PUSH_BACKOFF_S[0]
                self.heard.set()
            except Exception as error:  # whatever it is, the list must not stay as it is for good
                log.warning("discovery failed", reason=str(error) or type(error).__name__)
                watch.close()
                if not isinstance(error, Busy):
                    self.heard.set()
                if not self.persist:
                    self._task = None
                    self.deliver(ListForm.FAILED, [])
                    return
                await asyncio.sleep(wait * random.uniform(0.5, 1.5))
                wait = min(2 * wait, most)
