"""Runs one replica on the event loop: connections to other members, timer ticks, and waiting for commits."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import picologging as logging

from eiderhub import address
from eiderhub.control.messages import Hello, NodeRecord
from eiderhub.coordination.commits import CommitOutcome, CommitQueue
from eiderhub.coordination.membership import GroupHealth
from eiderhub.coordination.messages import ReplicaMessage, Write
from eiderhub.coordination.replication import Replica
from eiderhub.coordination.roster import Roster, address_of
from eiderhub.coordination.store import StoreFailed, WriteRejected
from eiderhub.coordination.wire import OWN_SUPPORT, Feature, WireSupport
from eiderhub.transport.frame_connection import Connection, connect
from eiderhub.transport.frames import Message

TICK_INTERVAL_S = 0.05
RECONNECT_DELAY_S = 0.2
HEALTH_CHECK_INTERVAL_S = 1.0  # between checks of how many losses the group bears
GROUP_COMMIT_DELAY_S = 0.003  # writes that arrive within this time share one sync

log = logging.getLogger("group")


class CommitOutcomeUnknown(Exception):
    """The write may or may not survive the change of primary."""


class NotPrimary(Exception):
    """This replica is not the primary; nothing was written."""


class OutboundLink:
    """The connection for all messages to one address; it is reopened whenever it is lost."""

    def __init__(self, driver: GroupDriver, target: str) -> None:
        self.driver = driver
        self.target = target
        self.connection: Connection | None = None
        self.peer_support: WireSupport | None = None  # declared by the peer on any connection so far
        self._closed = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        host, port = address.parse_host_port(self.target)
        while True:
            connection = await connect(self, host, port)
            if connection is not None:
                self._closed.clear()
                self.connection = connection
                connection.send(Hello(self.driver.node, OWN_SUPPORT))
                self.driver.on_link_open(self)
                if not connection.closed:
                    await self._closed.wait()
                self.connection = None
            await asyncio.sleep(RECONNECT_DELAY_S)

    def on_message(self, connection: Connection, message: Message) -> None:
        """Handle the peer's `Hello`; replicas send everything else on their own outbound connections."""
        if isinstance(message, Hello):
            connection.peer_zone = message.node.zone
            connection.peer_support = self.peer_support = message.support

    def stop(self) -> None:
        """Close the connection and do not reopen it."""
        self.task.cancel()
        if self.connection is not None:
            self.connection.close()

    def on_closed(self, connection: Connection) -> None:
        self.connection = None
        self._closed.set()


class GroupDriver:
    """Runs a replica; `on_change` is called after each step that may change its role, epoch or commits."""

    def __init__(self, replica: Replica, node: NodeRecord, on_change: Callable[[], None]) -> None:
        self.replica = replica
        self.node = node
        self.roster = Roster(node.identity, node.zone)
        self._on_change = on_change
        self._links: dict[str, OutboundLink] = {}  # by address
        self._incoming: dict[str, Connection] = {}  # by identity
        self._logged_members: frozenset[str] = frozenset()
        self._unreadable_logged = False
        self._logged_health: GroupHealth | None = None
        self._next_health_check_at = 0.0
        self._pending_writes: list[Write] = []
        self._pending_waiters: list[asyncio.Future[None]] = []  # for writes not yet proposed
        self._commits: CommitQueue[asyncio.Future[None]] = CommitQueue(replica)
        self._propose_timer: asyncio.TimerHandle | None = None
        self._tick_task = asyncio.get_running_loop().create_task(self._run_ticks())

    @staticmethod
    def now() -> float:
        """The monotonic clock.

        The event loop's time does not advance within an iteration: after being suspended in one, a process
        could take an expired lease to be valid.
        """
        return time.monotonic()

    def stop(self) -> None:
        """Stop the timer ticks and the outbound connections."""
        self._tick_task.cancel()
        for link in self._links.values():
            link.task.cancel()

    # --- API of the program ---

    def leads(self) -> bool:
        return self.replica.leads(self.now())

    def all_committed(self) -> bool:
        """Whether everything in this primary's state is committed."""
        return self.replica.all_committed(self.now())

    def ensure_link(self, target: str) -> None:
        """Connect to a possible replica at this address, unless it is our own or already has a link."""
        if target != address_of(self.replica.identity) and target not in self._links:
            self._links[target] = OutboundLink(self, target)

    async def write(self, writes: list[Write]) -> None:
        """Return once the writes are committed.

        Raises:
            WriteRejected: the store can never take them; nothing was written.
            NotPrimary: nothing was written.
            CommitOutcomeUnknown: the replica stopped being primary before the commit.
        """
        self.replica.store.check_writes(writes)
        await self.commit(lambda: writes)

    async def wait_all_committed(self) -> None:
        """Return once everything that this primary's tables hold now is committed in its epoch.

        Raises:
            NotPrimary: this replica is not the primary.
            CommitOutcomeUnknown: the replica stopped being primary before the commit.
        """
        await self.commit(list)

    async def commit(self, change: Callable[[], list[Write]]) -> None:
        """Change an in-memory table; return once its writes and all earlier ones are committed.

        `change` is called only while this replica leads, and the writes that it returns are queued in the
        same event loop iteration. They are then either stored, or the epoch ends and the tables are discarded
        with it, so a table is never ahead of the store within an epoch.

        Raises:
            WriteRejected: the store can never take the writes; the epoch has ended.
            NotPrimary: nothing was changed, or the epoch has ended.
            CommitOutcomeUnknown: the replica stopped being primary before the commit.
        """
        if not self.leads():
            raise NotPrimary
        try:
            writes = change()
            # Checked here, so that the writes of others that share the next sync go on.
            self.replica.store.check_writes(writes)
        except Exception:
            self._resign()  # the table may be partly changed
            raise
        if not writes and not self._pending_waiters and self.all_committed():
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if writes or self._pending_waiters:
            self._enqueue(writes, future)
        else:
            self._commits.add(self.replica.position, future)
        await future

    def _enqueue(self, writes: list[Write], future: asyncio.Future[None]) -> None:
        self._pending_writes += writes
        self._pending_waiters.append(future)
        if self._propose_timer is None:
            self._propose_timer = asyncio.get_running_loop().call_later(GROUP_COMMIT_DELAY_S, self._propose)

    def _resign(self) -> None:
        self.replica.resign(self.now())
        self._process_changes()

    def _propose(self) -> None:
        self._propose_timer = None
        writes, self._pending_writes = self._pending_writes, []
        waiters, self._pending_waiters = self._pending_waiters, []
        try:
            if not self.leads():
                raise NotPrimary
            position = self.replica.propose(self.now(), writes)
        except (NotPrimary, WriteRejected) as error:
            # The waiting callers have already changed their tables, which now differ from the store. Tables
            # are loaded from the store in a new epoch, so this one has to end.
            log.warning("nothing was written, stepping down as primary: %r", error)
            self.replica.resign(self.now())
            self._fail_waiters(waiters, NotPrimary())
        except StoreFailed as error:
            log.error("write to the store failed, stepping down as primary: %s", error)
            self._fail_waiters(waiters, CommitOutcomeUnknown())
        else:
            for future in waiters:
                self._commits.add(position, future)
        self._process_changes()

    @staticmethod
    def _fail_waiters(waiters: list[asyncio.Future[None]], error: Exception) -> None:
        for future in waiters:
            if not future.done():
                future.set_exception(error)

    # --- connections ---

    def on_link_open(self, link: OutboundLink) -> None:
        identities = self.replica.members | set(self._incoming)
        for identity in sorted(identities):
            if address_of(identity) == link.target:
                self.replica.on_connected(self.now(), identity)
        self._process_changes()

    def add_replica(self, connection: Connection, node: NodeRecord, support: WireSupport) -> None:
        """Register the incoming connection of a replica and answer its `Hello`.

        It replaces an older identity at the same address, whose connection may stay open after a power loss.
        """
        for identity in [i for i in self._incoming if address_of(i) == address_of(node.identity)]:
            del self._incoming[identity]
        self._incoming[node.identity] = connection
        connection.peer_zone = node.zone
        connection.peer_support = support
        supports_auxiliary = support.includes(Feature.AUXILIARY)
        self.roster.add_replica(node.identity, node.name, node.zone, supports_auxiliary)
        connection.send(Hello(self.node, OWN_SUPPORT))
        if supports_auxiliary or not self._stays_unknown():
            self.ensure_link(address_of(node.identity))

    def _stays_unknown(self) -> bool:
        """Whether this replica must not introduce itself to programs that do not know auxiliary replicas.

        They would admit it like any other, and keep it when it is lost.
        """
        return self.replica.auxiliary and self.replica.identity not in self.replica.members

    def _close_unwanted_links(self) -> None:
        if self._stays_unknown():
            for target, link in list(self._links.items()):
                if link.peer_support is not None and not link.peer_support.includes(Feature.AUXILIARY):
                    link.stop()
                    del self._links[target]

    def on_replica_message(self, sender: str, message: ReplicaMessage) -> None:
        self.replica.receive(self.now(), sender, message)
        self._process_changes()

    def remove_replica(self, identity: str, connection: Connection) -> None:
        if self._incoming.get(identity) is connection:
            del self._incoming[identity]
            self.roster.remove_replica(identity)

    # --- ticks and output ---

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            try:
                self.update_members()
                self.replica.tick(self.now())
                self._process_changes()
                self.log_health(self.now())
            except Exception as error:  # without this task the replica would neither follow nor vote
                log.error("tick of the replica failed: %r", error)
                self.replica.resign(self.now())

    def log_health(self, now: float) -> None:
        """Log when the group, as its primary sees it, begins to bear too few losses, and when that ends."""
        if now < self._next_health_check_at:
            return
        self._next_health_check_at = now + HEALTH_CHECK_INTERVAL_S
        health, earlier = self.replica.health(now), self._logged_health
        self._logged_health = health
        if health is None or health == earlier:
            return
        if not health.sufficient:
            log.warning("the group bears %d losses, not %d: %d members, %d of them live",
                        health.losses_borne, health.losses_to_bear, health.members, health.live)  # fmt: skip
        elif earlier is not None and not earlier.sufficient:
            log.info("the group bears %d losses again: %d members", health.losses_borne, health.members)

    def update_members(self) -> None:
        for member in self.replica.members:
            self.ensure_link(address_of(member))
        self._close_unwanted_links()
        for identity in self.roster.recruits(self.now(), self.replica):
            self.ensure_link(address_of(identity))
        self.roster.update_replica(self.replica)

    def flush(self) -> None:
        """Send the messages in the replica's outbox."""
        self._process_changes()

    def _process_changes(self) -> None:
        """Send the outbox, resolve commits and call `on_change`, until that produces no more messages."""
        self._send_outbox()
        self._resolve_commits()
        self._log_unreadable_format()
        if self.replica.members != self._logged_members:
            self._logged_members = self.replica.members
            log.info("members %s", " ".join(sorted(self._logged_members)))
        self._notify_program()
        if self.replica.outbox:
            self._process_changes()

    def _notify_program(self) -> None:
        """Call `on_change`; if it fails on a primary, end the epoch, since its tables may be incomplete."""
        try:
            self._on_change()
        except Exception as error:
            log.error("could not apply a change of the replica, not leading with it: %r", error)
            self.replica.resign(self.now())

    def _log_unreadable_format(self) -> None:
        record_format = self.replica.unreadable_format
        if record_format is not None and not self._unreadable_logged:
            self._unreadable_logged = True
            log.error("the group writes records of form %d, which this program does not read: start a newer "
                      "program", record_format)  # fmt: skip

    def _send_outbox(self) -> None:
        outbox, self.replica.outbox = self.replica.outbox, []
        for outgoing in outbox:
            link = self._links.get(address_of(outgoing.recipient))
            if link is not None and link.connection is not None:
                link.connection.send(outgoing.message)

    def _resolve_commits(self) -> None:
        for future, outcome in self._commits.take_resolved():
            if future.done():
                continue
            if outcome is CommitOutcome.COMMITTED:
                future.set_result(None)
            else:
                future.set_exception(CommitOutcomeUnknown())
