"""Drives one replica over sockets: connections to the other members, ticks, and who waits for a commit."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import picologging as logging

from eiderhub import address
from eiderhub.control.messages import Hello, NodeRecord
from eiderhub.coordination.commits import CommitQueue, Fate
from eiderhub.coordination.messages import ReplicaMessage, Write
from eiderhub.coordination.replication import Replica
from eiderhub.coordination.roster import Roster, address_of
from eiderhub.coordination.store import StoreFailed
from eiderhub.coordination.wire import OWN_SUPPORT, WireSupport
from eiderhub.transport.frames import Message
from eiderhub.transport.framing import Connection, connect

TICK_S = 0.05
RECONNECT_S = 0.2
FLUSH_S = 0.003  # writes that come within so long are made durable together

log = logging.getLogger("group")


class CommitUnknown(Exception):
    """The write may or may not outlive this primary."""


class NotPrimary(Exception):
    """Nothing was written: this replica does not lead."""


class Link:
    """A connection that is opened again and again to one address, for what we send there."""

    def __init__(self, group: GroupDriver, target: str) -> None:
        self.group = group
        self.target = target
        self.connection: Connection | None = None
        self._ended = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        host, port = address.parse(self.target)
        while True:
            connection = await connect(self, host, port)
            if connection is not None:
                self._ended.clear()
                self.connection = connection
                connection.send(Hello(self.group.node, OWN_SUPPORT))
                self.group.on_link_open(self)
                if not connection.closed:
                    await self._ended.wait()
                self.connection = None
            await asyncio.sleep(RECONNECT_S)

    def on_message(self, connection: Connection, message: Message) -> None:
        """The other side only says its name."""
        if isinstance(message, Hello):
            connection.peer_zone = message.node.zone
            connection.support = message.support

    def on_closed(self, connection: Connection) -> None:
        self.connection = None
        self._ended.set()


class GroupDriver:
    """Runs a replica. `on_change` is called after each step in which role, epoch or commit may have moved."""

    def __init__(self, replica: Replica, node: NodeRecord, on_change: Callable[[], None]) -> None:
        self.replica = replica
        self.node = node
        self.roster = Roster(node.identity, node.zone)
        self._on_change = on_change
        self._links: dict[str, Link] = {}  # by address
        self._incoming: dict[str, Connection] = {}  # by identity
        self._logged_members: frozenset[str] = frozenset()
        self._told_unreadable = False
        self._writes: list[Write] = []
        self._waiting: list[asyncio.Future[None]] = []  # for the writes that are not proposed yet
        self._commits: CommitQueue[asyncio.Future[None]] = CommitQueue(replica)
        self._flush: asyncio.TimerHandle | None = None
        self._ticker = asyncio.get_running_loop().create_task(self._tick())

    @staticmethod
    def now() -> float:
        """Danger: the event loop's own clock stands still within a turn, in which a process may be frozen."""
        return time.monotonic()

    def stop(self) -> None:
        """Tick no more, and open no more connections."""
        self._ticker.cancel()
        for link in self._links.values():
            link.task.cancel()

    # --- what the program asks ---

    def leads(self) -> bool:
        return self.replica.leads(self.now())

    def settled(self) -> bool:
        """Whether all of the primary's state is committed."""
        return self.replica.settled(self.now())

    def know(self, target: str) -> None:
        """A replica may listen at this address."""
        if target != address_of(self.replica.identity) and target not in self._links:
            self._links[target] = Link(self, target)

    async def write(self, writes: list[Write]) -> None:
        """Returns once the writes are committed.

        Raises:
            NotPrimary: nothing was written.
            CommitUnknown: the primary's role was lost meanwhile.
        """
        await self.commit(lambda: writes)

    async def settle(self) -> None:
        """Returns once all that this primary's tables hold now is committed in its epoch.

        Raises:
            NotPrimary: this replica does not lead.
            CommitUnknown: the primary's role was lost meanwhile.
        """
        await self.commit(list)

    async def commit(self, change: Callable[[], list[Write]]) -> None:
        """Change a table; returns once what that writes, and all that was written before, is committed.

        `change` is called only while this replica leads, and what it returns is gathered in the same turn.
        From there on it is written, or the epoch ends, and with it the table: no table is ever ahead of the
        store within an epoch.

        Raises:
            NotPrimary: nothing was changed, or the epoch has ended.
            CommitUnknown: the primary's role was lost meanwhile.
        """
        if not self.leads():
            raise NotPrimary
        try:
            writes = change()
        except Exception:
            self._resign()  # the table may have changed in part
            raise
        if not writes and not self._waiting and self.settled():
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if writes or self._waiting:
            self._gather(writes, future)
        else:
            self._commits.add(self.replica.position, future)
        await future

    def _gather(self, writes: list[Write], future: asyncio.Future[None]) -> None:
        self._writes += writes
        self._waiting.append(future)
        if self._flush is None:
            self._flush = asyncio.get_running_loop().call_later(FLUSH_S, self._propose)

    def _resign(self) -> None:
        self.replica.resign(self.now())
        self._after()

    def _propose(self) -> None:
        self._flush = None
        writes, self._writes = self._writes, []
        waiting, self._waiting = self._waiting, []
        try:
            if not self.leads():
                raise NotPrimary
            position = self.replica.propose(self.now(), writes)
        except NotPrimary:
            # Danger: those who wait have changed their tables already. Tables are loaded anew in a new epoch.
            self.replica.resign(self.now())
            self._fail(waiting, NotPrimary())
        except StoreFailed as error:
            log.error("write failed, stepping down: %s", error)
            self._fail(waiting, CommitUnknown())
        else:
            for future in waiting:
                self._commits.add(position, future)
        self._after()

    @staticmethod
    def _fail(waiting: list[asyncio.Future[None]], error: Exception) -> None:
        for future in waiting:
            if not future.done():
                future.set_exception(error)

    # --- connections ---

    def on_link_open(self, link: Link) -> None:
        known = self.replica.members | set(self._incoming)
        for identity in sorted(known):
            if address_of(identity) == link.target:
                self.replica.connected(self.now(), identity)
        self._after()

    def greeted(self, connection: Connection, node: NodeRecord, support: WireSupport) -> None:
        """Another replica has connected to us."""
        for identity in [i for i in self._incoming if address_of(i) == address_of(node.identity)]:
            del self._incoming[identity]
        self._incoming[node.identity] = connection
        connection.peer_zone = node.zone
        connection.support = support
        self.roster.greeted(node.identity, node.name, node.zone)
        connection.send(Hello(self.node, OWN_SUPPORT))
        self.know(address_of(node.identity))

    def received(self, sender: str, message: ReplicaMessage) -> None:
        self.replica.receive(self.now(), sender, message)
        self._after()

    def lost(self, identity: str, connection: Connection) -> None:
        if self._incoming.get(identity) is connection:
            del self._incoming[identity]
            self.roster.lost(identity)

    # --- time ---

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.tend_members()
            self.replica.tick(self.now())
            self._after()

    def tend_members(self) -> None:
        for member in self.replica.members:
            self.know(address_of(member))
        self.roster.tend(self.replica)

    def flush(self) -> None:
        """Send what the replica has left to be sent."""
        self._after()

    def _after(self) -> None:
        """Send what the replica wants sent, and tell of what may have changed, until no more comes of it."""
        self._send_all()
        self._resolve()
        self._tell_unreadable()
        if self.replica.members != self._logged_members:
            self._logged_members = self.replica.members
            log.info("members %s", " ".join(sorted(self._logged_members)))
        self._on_change()
        if self.replica.outbox:
            self._after()

    def _tell_unreadable(self) -> None:
        form = self.replica.unreadable_form
        if form is not None and not self._told_unreadable:
            self._told_unreadable = True
            log.error("the group writes records of form %d, which this program does not read: start a newer "
                      "program", form)  # fmt: skip

    def _send_all(self) -> None:
        outbox, self.replica.outbox = self.replica.outbox, []
        for outgoing in outbox:
            link = self._links.get(address_of(outgoing.recipient))
            if link is not None and link.connection is not None:
                link.connection.send(outgoing.message)

    def _resolve(self) -> None:
        for future, fate in self._commits.take():
            if future.done():
                continue
            if fate is Fate.COMMITTED:
                future.set_result(None)
            else:
                future.set_exception(CommitUnknown())
