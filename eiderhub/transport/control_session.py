"""A process's session with a control node.

The session is reconnected when it is lost or its data becomes stale, moves to a control node of the process's
own zone once one is available, and applies the table updates that it receives.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

import picologging as logging

from eiderhub import address
from eiderhub.control.distribution import Tables
from eiderhub.control.freshness import MAX_TABLE_AGE_S, Freshness
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
from eiderhub.transport.frame_connection import Connection, connect
from eiderhub.transport.frames import Message

PING_INTERVAL_S = 0.25
RECONNECT_DELAY_S = 0.1
SAME_ZONE_CHECK_INTERVAL_S = 1.0  # between attempts to move a session to a node of the own zone
# A node whose session was closed as stale is tried last for this long, and is not preferred for its zone.
STALE_NODE_BACKOFF_S = 10.0
UPDATE_RETRY_DELAY_S = 0.2  # before tables whose application failed are applied again

log = logging.getLogger("session")


class ControlSession:
    """Keeps one session with a control node open for as long as the process runs.

    `candidates` returns the addresses of control nodes in order of preference. `fill_ping` adds the fields
    that only the caller knows to each ping. `on_update` applies the newest tables; it is called again if it
    raises.
    """

    def __init__(
        self,
        node: NodeRecord,
        tables: Tables,
        candidates: Callable[[], list[str]],
        on_update: Callable[[], None],
        fill_ping: Callable[[SessionPing], SessionPing] = lambda ping: ping,
        on_lease_answer: Callable[[LeaseAnswer], None] = lambda answer: None,
        on_load: Callable[[Mapping[str, int]], None] = lambda calls: None,
    ) -> None:
        self._node = node
        self._tables = tables
        self._candidates = candidates
        self._on_update = on_update
        self._fill_ping = fill_ping
        self._on_lease_answer = on_lease_answer
        self._on_load = on_load
        self._closed = asyncio.Event()
        self._update_scheduled = False
        self._stale_at: dict[str, float] = {}  # time at which its session was closed as stale, by address
        self.freshness = Freshness()
        self.connection: Connection | None = None
        self.task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: LeaseRequest) -> bool:
        """Send a message to the control node; returns False if there is no session."""
        if self.connection is None:
            return False
        self.connection.send(message)
        return True

    def is_fresh(self) -> bool:
        return self.freshness.is_fresh(time.monotonic())

    async def _run(self) -> None:
        while True:
            for target in self._ordered_targets():
                host, port = address.parse_host_port(target)
                connection = await connect(self, host, port)
                while connection is not None:
                    connection, target = await self._run_session(connection, target)
            await asyncio.sleep(RECONNECT_DELAY_S)

    def _ordered_targets(self) -> list[str]:
        """The candidates, with those that were recently stale at the end."""
        now = time.monotonic()
        return sorted(self._candidates(), key=lambda target: self._recently_stale(now, target))

    def _recently_stale(self, now: float, target: str) -> bool:
        return now - self._stale_at.get(target, float("-inf")) < STALE_NODE_BACKOFF_S

    async def _run_session(self, connection: Connection, target: str) -> tuple[Connection | None, str]:
        """Run one session until it ends.

        Returns the connection to a node of the own zone that replaces it, if there is one, and its address.
        """
        opened_at = time.monotonic()
        self._closed.clear()
        self.connection = connection
        connection.peer_zone = zone_of(self._tables, target)
        connection.send(SessionOpen(self._node, OWN_SUPPORT))
        search = _SameZoneSearch(self, opened_at)
        while not connection.closed:
            connection.send(self._build_ping())
            try:
                async with asyncio.timeout(PING_INTERVAL_S):
                    await self._closed.wait()
            except TimeoutError:
                pass
            now = time.monotonic()
            is_stale = now - self.freshness.last_current_at(opened_at) > MAX_TABLE_AGE_S
            if is_stale:
                self._stale_at[target] = now
            if is_stale or target not in self._candidates():
                connection.close()
            connection.peer_zone = zone_of(self._tables, target)
            search.poll(now, self._same_zone_target(now, target))
            if search.replacement is not None and not connection.closed:
                connection.close()
                return search.replacement, search.target
        self.connection = None
        search.stop()
        return None, target

    def _same_zone_target(self, now: float, target: str) -> str:
        """The preferred control node if it is in the own zone and `target` is not; otherwise empty.

        A node that was recently stale is excluded: one that is partitioned from the other nodes still accepts
        sessions, but has no new data for them.
        """
        preferred = next(iter(self._candidates()), target)
        if self._recently_stale(now, preferred):
            return ""
        preferred_zone, current_zone = zone_of(self._tables, preferred), zone_of(self._tables, target)
        return preferred if current_zone and preferred_zone == self._node.zone != current_zone else ""

    def _build_ping(self) -> SessionPing:
        tables = self._tables
        ping = SessionPing(
            tables.known_generation,
            tables.endpoints.version,
            tables.nodes.version,
            tables.spending.version,
            sent_at=time.monotonic(),
        )
        return self._fill_ping(ping)

    def on_message(self, connection: Connection, message: Message) -> None:
        if connection is not self.connection:
            return
        if isinstance(message, SessionAccepted):
            connection.peer_support = message.support
        elif isinstance(message, SessionPong):
            self.freshness.record_answer(message.sent_at, message.age_s)
        elif isinstance(message, LeaseAnswer):
            self._on_lease_answer(message)
        elif isinstance(message, LoadUpdate):
            self._on_load(message.calls)
        elif isinstance(message, TableUpdate):
            if self._tables.lacks_base_of(message):
                connection.close()  # the next session starts from the version that this process has
                return
            applied = self._tables.apply(message)
            if self._tables.needs_whole:
                log.error("configuration delta could not be applied; requesting the full configuration")
                connection.close()
            elif applied and not self._update_scheduled:
                # Updates of one event loop iteration are applied together: only the newest state counts.
                self._update_scheduled = True
                asyncio.get_running_loop().call_soon(self._notify_update)

    def _notify_update(self) -> None:
        """Apply the newest tables, and retry after a delay if that fails.

        Without the retry old routes could stay in use for long, since the next update may be far off.
        """
        self._update_scheduled = False
        try:
            self._on_update()
        except Exception as error:
            log.error("applying the newest tables failed, will retry: %r", error)
            self._update_scheduled = True
            asyncio.get_running_loop().call_later(UPDATE_RETRY_DELAY_S, self._notify_update)

    def on_closed(self, connection: Connection) -> None:
        if connection is self.connection:
            self._closed.set()


class _SameZoneSearch:
    """Connects to a control node of the own zone in the background, while the current session continues."""

    def __init__(self, session: ControlSession, now: float) -> None:
        self._session = session
        self._next_attempt_at = now + SAME_ZONE_CHECK_INTERVAL_S
        self._task: asyncio.Task[Connection | None] | None = None
        self.target = ""
        self.replacement: Connection | None = None

    def poll(self, now: float, target: str) -> None:
        """Collect a finished attempt or start a new one; `target` is the address to try, empty if none."""
        if self._task is not None and self._task.done():
            self.replacement, self._task = self._task.result(), None
        elif self._task is None and target and now >= self._next_attempt_at:
            self._next_attempt_at = now + SAME_ZONE_CHECK_INTERVAL_S
            self.target = target
            host, port = address.parse_host_port(target)
            self._task = asyncio.get_running_loop().create_task(connect(self._session, host, port))

    def stop(self) -> None:
        """Close the connection that was found, or the one that a pending attempt still opens."""
        if self.replacement is not None:
            self.replacement.close()
        if self._task is not None:
            self._task.add_done_callback(_close_result)


def _close_result(task: asyncio.Task[Connection | None]) -> None:
    connection = None if task.cancelled() else task.result()
    if connection is not None:
        connection.close()


def zone_of(tables: Tables, target: str) -> str:
    """The zone of the control or storage node that listens at this address; empty if unknown."""
    for node in tables.nodes.nodes:
        if node.identity.partition("@")[2] == target:
            return node.zone
    return ""


def control_candidates(
    tables: Tables, seeds: list[str], zone: str, shuffle: Callable[[list[str]], None]
) -> list[str]:
    """Addresses of control nodes: own zone first, then other zones, then seeds that are not listed."""
    same_zone: list[str] = []
    other_zones: list[str] = []
    for node in tables.nodes.nodes:
        if node.role == "control" and node.identity:
            (same_zone if node.zone == zone else other_zones).append(node.identity.partition("@")[2])
    remaining_seeds = [seed for seed in seeds if seed not in same_zone and seed not in other_zones]
    shuffle(other_zones)
    shuffle(remaining_seeds)
    return same_zone + other_zones + remaining_seeds
