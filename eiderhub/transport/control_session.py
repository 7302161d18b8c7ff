"""A process's session with a control node: kept up, moved when it goes stale, and what it tells applied."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

import picologging as logging

from eiderhub import address
from eiderhub.control.distribution import Tables
from eiderhub.control.freshness import FRESH_S, Freshness
from eiderhub.control.messages import (
    LeaseAnswer,
    LeaseRequest,
    LoadUpdate,
    NodeRecord,
    SessionAccepted,
    SessionOpen,
    SessionPing,
    SessionPong,
    TableUpdate,
)
from eiderhub.coordination.wire import OWN_SUPPORT
from eiderhub.transport.frames import Message
from eiderhub.transport.framing import Connection, connect

PING_S = 0.25
RETRY_S = 0.1
NEARER_S = 1.0  # a session with a node of another zone looks so often for one of its own
STALE_AGAIN_S = 10.0  # a node that a session left since it told nothing new is no nearer one for so long
UPDATE_AGAIN_S = 0.2  # tables that could not be put in force are tried again so much later

log = logging.getLogger("session")


class ControlSession:
    """`candidates` gives the addresses of control nodes in the order in which they are to be tried."""

    def __init__(
        self,
        node: NodeRecord,
        tables: Tables,
        candidates: Callable[[], list[str]],
        on_update: Callable[[], None],
        describe: Callable[[SessionPing], SessionPing] = lambda ping: ping,
        on_lease: Callable[[LeaseAnswer], None] = lambda answer: None,
        on_load: Callable[[Mapping[str, int]], None] = lambda calls: None,
    ) -> None:
        self._node = node
        self._tables = tables
        self._candidates = candidates
        self._on_update = on_update
        self._describe = describe
        self._on_lease = on_lease
        self._on_load = on_load
        self._ended = asyncio.Event()
        self._update_due = False
        self._stale_at: dict[str, float] = {}  # when a session was left for that, by target
        self.freshness = Freshness()
        self.connection: Connection | None = None
        self.task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: LeaseRequest) -> bool:
        """Pass a message on; false where there is no session."""
        if self.connection is None:
            return False
        self.connection.send(message)
        return True

    def fresh(self) -> bool:
        return self.freshness.is_fresh(time.monotonic())

    async def _run(self) -> None:
        while True:
            for target in self._targets():
                host, port = address.parse(target)
                connection = await connect(self, host, port)
                while connection is not None:
                    connection, target = await self._keep(connection, target)
            await asyncio.sleep(RETRY_S)

    def _targets(self) -> list[str]:
        """The candidates, those last that lately told nothing new."""
        now = time.monotonic()
        return sorted(self._candidates(), key=lambda target: self._was_stale(now, target))

    def _was_stale(self, now: float, target: str) -> bool:
        return now - self._stale_at.get(target, float("-inf")) < STALE_AGAIN_S

    async def _keep(self, connection: Connection, target: str) -> tuple[Connection | None, str]:
        """Keep a session up; returns the connection that it was left for, if any, and its target."""
        opened = time.monotonic()
        self._ended.clear()
        self.connection = connection
        connection.peer_zone = zone_of(self._tables, target)
        connection.send(SessionOpen(self._node, OWN_SUPPORT))
        search = _NearerSearch(self, opened)
        while not connection.closed:
            connection.send(self._ping())
            try:
                async with asyncio.timeout(PING_S):
                    await self._ended.wait()
            except TimeoutError:
                pass
            now = time.monotonic()
            stale = now - self.freshness.silent_since(opened) > FRESH_S
            if stale:
                self._stale_at[target] = now
            if stale or target not in self._candidates():
                connection.close()
            connection.peer_zone = zone_of(self._tables, target)
            search.look(now, self._nearer_than(now, target))
            if search.found is not None and not connection.closed:
                connection.close()
                return search.found, search.target
        self.connection = None
        search.end()
        return None, target

    def _nearer_than(self, now: float, target: str) -> str:
        """A control node of the own zone, where the target is in another; empty: there is none.

        Danger: one that is cut off from the others takes sessions and tells them nothing.
        """
        first = next(iter(self._candidates()), target)
        if self._was_stale(now, first):
            return ""
        here, there = zone_of(self._tables, first), zone_of(self._tables, target)
        return first if there and here == self._node.zone != there else ""

    def _ping(self) -> SessionPing:
        tables = self._tables
        ping = SessionPing(
            tables.known_generation,
            tables.endpoints.version,
            tables.nodes.version,
            tables.spending.version,
            sent_at=time.monotonic(),
        )
        return self._describe(ping)

    def on_message(self, connection: Connection, message: Message) -> None:
        if connection is not self.connection:
            return
        if isinstance(message, SessionAccepted):
            connection.support = message.support
        elif isinstance(message, SessionPong):
            self.freshness.answered(message.sent_at, message.age_s)
        elif isinstance(message, LeaseAnswer):
            self._on_lease(message)
        elif isinstance(message, LoadUpdate):
            self._on_load(message.calls)
        elif isinstance(message, TableUpdate):
            if self._tables.lacks_base_of(message):
                connection.close()  # the next session begins with what is here
                return
            applied = self._tables.apply(message)
            if self._tables.needs_whole:
                log.error("a change of the configuration could not be applied; the whole is asked for")
                connection.close()
            elif applied and not self._update_due:
                # Told once for all that has come by now: only the newest state is put in force.
                self._update_due = True
                asyncio.get_running_loop().call_soon(self._tell_update)

    def _tell_update(self) -> None:
        """Have the newest tables put in force; where that fails, again after a while."""
        self._update_due = False
        try:
            self._on_update()
        except Exception as error:  # Danger: nothing else may come for long, and old routes would stay
            log.error("the newest tables could not be put in force: %r", error)
            self._update_due = True
            asyncio.get_running_loop().call_later(UPDATE_AGAIN_S, self._tell_update)

    def on_closed(self, connection: Connection) -> None:
        if connection is self.connection:
            self._ended.set()


class _NearerSearch:
    """Opens a connection to a nearer control node beside a session, which goes on meanwhile."""

    def __init__(self, session: ControlSession, now: float) -> None:
        self._session = session
        self._next = now + NEARER_S
        self._task: asyncio.Task[Connection | None] | None = None
        self.target = ""
        self.found: Connection | None = None

    def look(self, now: float, target: str) -> None:
        """Go on with the search; `target` is the nearer node, empty where there is none."""
        if self._task is not None and self._task.done():
            self.found, self._task = self._task.result(), None
        elif self._task is None and target and now >= self._next:
            self._next = now + NEARER_S
            self.target = target
            host, port = address.parse(target)
            self._task = asyncio.get_running_loop().create_task(connect(self._session, host, port))

    def end(self) -> None:
        """The session has ended; a connection that comes up later is not wanted."""
        if self.found is not None:
            self.found.close()
        if self._task is not None:
            self._task.add_done_callback(_close_found)


def _close_found(task: asyncio.Task[Connection | None]) -> None:
    connection = None if task.cancelled() else task.result()
    if connection is not None:
        connection.close()


def zone_of(tables: Tables, target: str) -> str:
    """The zone of the control or storage node that listens at this address; empty: it is not known."""
    for node in tables.nodes.nodes:
        if node.identity.partition("@")[2] == target:
            return node.zone
    return ""


def control_candidates(
    tables: Tables, seeds: list[str], zone: str, shuffle: Callable[[list[str]], None]
) -> list[str]:
    """Addresses of control nodes: those of the own zone first, then the others, then the seeds."""
    near: list[str] = []
    far: list[str] = []
    for node in tables.nodes.nodes:
        if node.role == "control" and node.identity:
            (near if node.zone == zone else far).append(node.identity.partition("@")[2])
    rest = [seed for seed in seeds if seed not in near and seed not in far]
    shuffle(far)
    shuffle(rest)
    return near + far + rest
