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
    SessionOpen,
    SessionPing,
    SessionPong,
    TableUpdate,
)
from eiderhub.transport.framing import Connection, Message, connect

PING_S = 0.25
RETRY_S = 0.1
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
            for target in self._candidates():
                host, port = address.parse(target)
                connection = await connect(self, host, port)
                if connection is not None:
                    await self._keep(connection, target)
            await asyncio.sleep(RETRY_S)

    async def _keep(self, connection: Connection, target: str) -> None:
        opened = time.monotonic()
        self._ended.clear()
        self.connection = connection
        connection.peer_zone = zone_of(self._tables, target)
        connection.send(SessionOpen(self._node))
        while not connection.closed:
            connection.send(self._ping())
            try:
                async with asyncio.timeout(PING_S):
                    await self._ended.wait()
            except TimeoutError:
                pass
            stale = time.monotonic() - self.freshness.silent_since(opened) > FRESH_S
            if stale or target not in self._candidates():
                connection.close()
        self.connection = None

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
        if isinstance(message, SessionPong):
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
