"""Drives one replica over sockets: connections to the other members, ticks, and who waits for a commit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import picologging as logging

from eiderhub import address
from eiderhub.control.messages import Hello, NodeRecord
from eiderhub.coordination.messages import ReplicaMessage, Write
from eiderhub.coordination.replication import Replica, Role, StoreFailed
from eiderhub.transport.framing import Connection, Message, connect

TICK_S = 0.05
RECONNECT_S = 0.2
FLUSH_S = 0.003  # writes that come within so long are made durable together

log = logging.getLogger("group")


class CommitUnknown(Exception):
    """The write may or may not outlive this primary."""


class NotPrimary(Exception):
    """Nothing was written: this replica does not lead."""


def address_of(identity: str) -> str:
    """Where the replica of this identity listens."""
    return identity.partition("@")[2]


class Link:
    """A connection that is opened again and again to one address, for what we send there."""

    def __init__(self, group: GroupDriver, target: str) -> None:
        self.group = group
        self.target = target
        self.connection: Connection | None = None
        self.identity = ""  # of the replica that listens there, once it has said so
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        host, port = address.parse(self.target)
        while True:
            connection = await connect(self, host, port)
            if connection is not None:
                self.connection = connection
                connection.send(Hello(self.group.node))
                self.group.on_link_open(self)
                await self._closed(connection)
            await asyncio.sleep(RECONNECT_S)

    async def _closed(self, connection: Connection) -> None:
        self._ended = asyncio.Event()
        if not connection.closed:
            await self._ended.wait()

    def on_message(self, connection: Connection, message: Message) -> None:
        """Nothing is sent this way but the other side's name."""
        if isinstance(message, Hello):
            self.identity = message.node.identity

    def on_closed(self, connection: Connection) -> None:
        self.connection = None
        if hasattr(self, "_ended"):
            self._ended.set()


class GroupDriver:
    """Runs a replica. `on_change` is called after each step in which role, epoch or commit may have moved."""

    def __init__(self, replica: Replica, node: NodeRecord, on_change: Callable[[], None]) -> None:
        self.replica = replica
        self.node = node
        self.retired: set[str] = set()  # identities that must not be members
        self._on_change = on_change
        self._links: dict[str, Link] = {}  # by address
        self._incoming: dict[str, Connection] = {}  # by identity
        self._zones = {node.identity: node.zone}
        self._logged_members: frozenset[str] = frozenset()
        self._writes: list[Write] = []
        self._waiting: list[asyncio.Future[None]] = []  # for the writes that are not proposed yet
        self._proposed: list[tuple[int, int, asyncio.Future[None]]] = []  # epoch, version
        self._flush: asyncio.TimerHandle | None = None
        self._ticker = asyncio.get_running_loop().create_task(self._tick())

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def stop(self) -> None:
        """Tick no more, and open no more connections."""
        self._ticker.cancel()
        for link in self._links.values():
            link.task.cancel()

    # --- what the program asks ---

    def leads(self) -> bool:
        return self.replica.leads(self.now())

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
        if not self.leads():
            raise NotPrimary
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._writes += writes
        self._waiting.append(future)
        if self._flush is None:
            self._flush = asyncio.get_running_loop().call_later(FLUSH_S, self._propose)
        await future

    def _propose(self) -> None:
        self._flush = None
        writes, self._writes = self._writes, []
        waiting, self._waiting = self._waiting, []
        try:
            if not self.leads():
                raise NotPrimary
            position = self.replica.propose(self.now(), writes)
        except NotPrimary:
            self._fail(waiting, NotPrimary())
        except StoreFailed as error:
            log.error("write failed, stepping down: %s", error)
            self._fail(waiting, CommitUnknown())
        else:
            self._proposed += [(position.epoch, position.version, future) for future in waiting]
        self._after()

    @staticmethod
    def _fail(waiting: list[asyncio.Future[None]], error: Exception) -> None:
        for future in waiting:
            if not future.done():
                future.set_exception(error)

    # --- connections ---

    def on_link_open(self, link: Link) -> None:
        for identity in list(self._peers_at(link.target)):
            self.replica.connected(self.now(), identity)
        self._after()

    def _peers_at(self, target: str) -> set[str]:
        known = self.replica.members | set(self._incoming)
        return {identity for identity in known if address_of(identity) == target}

    def greeted(self, connection: Connection, node: NodeRecord) -> None:
        """Another replica has connected to us; whoever was at its address before is gone."""
        for identity in [i for i in self._incoming if address_of(i) == address_of(node.identity)]:
            del self._incoming[identity]
        self._incoming[node.identity] = connection
        self._zones[node.identity] = node.zone
        connection.send(Hello(self.node))
        self.know(address_of(node.identity))

    def received(self, sender: str, message: ReplicaMessage) -> None:
        self.replica.receive(self.now(), sender, message)
        self._after()

    def lost(self, identity: str, connection: Connection) -> None:
        if self._incoming.get(identity) is connection:
            del self._incoming[identity]

    # --- time ---

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.tend_members()
            self.replica.tick(self.now())
            self._after()

    def tend_members(self) -> None:
        """Tell the replica who wants to belong, and who must not."""
        for member in self.replica.members:
            self.know(address_of(member))
        if self.replica.role is not Role.PRIMARY:
            return
        for identity in self.retired:
            if identity in self.replica.members:
                self.replica.expel(identity)
        present = {address_of(identity): identity for identity in self._incoming}
        for member in self.replica.members:
            if present.get(address_of(member), member) != member:
                self.replica.expel(member)  # its disk is gone, and another has taken its place
        wanting = [i for i in self._incoming if i not in self.retired and i not in self.replica.members]
        self.replica.candidates = sorted(wanting, key=self._zone_rank)

    def _zone_rank(self, identity: str) -> tuple[bool, str]:
        """Candidates from zones that have no member come first."""
        covered = {self._zones.get(member, "") for member in self.replica.members - self.retired}
        return self._zones.get(identity, "") in covered, identity

    def flush(self) -> None:
        """Send what the replica has left to be sent."""
        self._after()

    def _after(self) -> None:
        outbox, self.replica.outbox = self.replica.outbox, []
        for outgoing in outbox:
            link = self._links.get(address_of(outgoing.recipient))
            if link is not None and link.connection is not None:
                link.connection.send(outgoing.message)
        self._resolve()
        if self.replica.members != self._logged_members:
            self._logged_members = self.replica.members
            log.info("members %s", " ".join(sorted(self._logged_members)))
        self._on_change()

    def _resolve(self) -> None:
        replica = self.replica
        if not self._proposed:
            return
        leads = replica.role is Role.PRIMARY
        rest = []
        for epoch, version, future in self._proposed:
            if future.done():
                continue
            if not leads or epoch != replica.epoch:
                future.set_exception(CommitUnknown())
            elif version <= replica.committed:
                future.set_result(None)
            else:
                rest.append((epoch, version, future))
        self._proposed = rest
