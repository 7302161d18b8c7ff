"""A control node: replicates the control state, keeps sessions and streams tables to them."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Mapping
from typing import NamedTuple

import msgspec
import picologging as logging

from eiderhub import address
from eiderhub.control import retirement
from eiderhub.control.distribution import Subscriber, Tables
from eiderhub.control.kept_list import provisional_list, writes_of
from eiderhub.control.load import LoadTable
from eiderhub.control.messages import (
    EndpointRecord,
    EndpointsUpdate,
    LeaseAnswer,
    LeaseRequest,
    LoadUpdate,
    NodeRecord,
    NodesUpdate,
    SessionAccepted,
    SessionOpen,
    SessionPing,
    SpendingUpdate,
    TableVersion,
)
from eiderhub.control.platform import PlatformReader, PlatformUnavailable
from eiderhub.control.publication import Publication
from eiderhub.control.sessions import SIDECAR, SessionTable
from eiderhub.control.spending import LEASED_PREFIX, SpendingLedger, tenants_of
from eiderhub.coordination.messages import Write
from eiderhub.coordination.roster import address_of
from eiderhub.coordination.timing import GroupSize, copies_needed
from eiderhub.coordination.wire import OWN_SUPPORT
from eiderhub.programs.operator_service import OperatorService
from eiderhub.programs.replica_host import ReplicaHost
from eiderhub.programs.settings import TierSettings
from eiderhub.programs.storage_tending import StorageTending
from eiderhub.storage.store import LmdbStore
from eiderhub.transport.control_session import ControlSession
from eiderhub.transport.frames import Message
from eiderhub.transport.framing import Connection
from eiderhub.transport.group import CommitUnknown, NotPrimary
from eiderhub.transport.traffic import TRAFFIC
from eiderhub.transport.wire_counts import WIRE_COUNTS

PUBLISH_S = 0.1  # how often the session table is looked at for changes
SETTLE_S = 1.2  # a new primary waits so long for sessions to come back before it publishes who is there
LIST_PARTS = 3.0  # the platform's list is read so often within the time that draining may take to be told
SESSIONS_KEY = "sessions"

log = logging.getLogger("control")


class Session(NamedTuple):
    node: NodeRecord
    subscriber: Subscriber


class ControlService:
    def __init__(self, settings: TierSettings, store: LmdbStore, node: NodeRecord) -> None:
        self._settings = settings
        self._store = store
        self._node = node
        self._rng = random.Random(node.identity)
        self.tables = Tables()
        self._sessions: dict[Connection, Session] = {}
        self._table = SessionTable()
        self._load = LoadTable()
        self._zones: dict[str, str] = {}  # by endpoint, of the list of that version
        self._zones_version = self.tables.endpoints.version
        least = copies_needed(settings.fault_tolerance)
        self._host = ReplicaHost(
            store, node, self._rng, GroupSize(None, least), self._on_change, settings.catch_up_s
        )
        self.group = self._host.group
        self._storage = StorageTending(self.group, store, least, gathers=not settings.zones_lost)
        control_port = address.parse(settings.control).port
        self.operator = OperatorService(
            node, self.group, store, self.tables, control_port, least, self._storage_nodes
        )
        self._led_since = 0.0
        self._number = 0
        self._reader = PlatformReader(settings.platform) if settings.platform else None
        self._ledger = SpendingLedger()
        self._leasing: set[asyncio.Future[None]] = set()
        self._passed_on: dict[str, tuple[Connection, str]] = {}  # lease requests on their way to the primary
        self._serial = itertools.count(1)
        self._session = ControlSession(
            node,
            self.tables,
            self._primary_address,
            self._push,
            self._describe,
            self._on_lease_answer,
            self._on_load,
        )
        self._publication = Publication(
            self.tables, self._session.freshness, self.group.replica, self.operator.desk
        )
        for seed in self._seeds():
            self.group.know(seed)
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._publish()), loop.create_task(self._read_list())]

    def _seeds(self) -> list[str]:
        return [f"{address.parse(s).host}:{self._settings.first_port}" for s in self._settings.seeds]

    def _now(self) -> float:
        return self.group.now()

    # --- connections ---

    def on_message(self, connection: Connection, message: Message) -> None:
        if self._host.on_message(connection, message):
            return
        if isinstance(message, SessionOpen):
            self._open(connection, message)
        elif isinstance(message, SessionPing):
            self._on_ping(connection, message)
        elif isinstance(message, LeaseRequest):
            task = asyncio.ensure_future(self._lease(connection, message))
            self._leasing.add(task)
            task.add_done_callback(self._leasing.discard)

    def _open(self, connection: Connection, message: SessionOpen) -> None:
        self._sessions[connection] = Session(message.node, Subscriber())
        connection.peer_zone = message.node.zone
        connection.support = message.support
        connection.send(SessionAccepted(OWN_SUPPORT))

    def on_closed(self, connection: Connection) -> None:
        self._host.on_closed(connection)
        self._sessions.pop(connection, None)
        self._load.forget(connection)

    def _on_ping(self, connection: Connection, ping: SessionPing) -> None:
        session = self._sessions.get(connection)
        if session is None:
            return
        now = self._now()
        self._table.heard(now, session.node)
        if session.node.role == "control":
            self._table.report(now, session.node.identity, ping.attached)
        if ping.group is not None:
            self._storage.report = ping.group
        for message in self._publication.answer(now, session.subscriber, ping):
            connection.send(message)
        self._load.report(now, connection, ping.calls)
        self._tell_load(now, connection, session.node)

    def _tell_load(self, now: float, connection: Connection, node: NodeRecord) -> None:
        """Tell a session what all others have out: a sidecar of what is near, all others of everything."""
        if node.role == SIDECAR:
            calls = self._load.nearest(now, connection, node.zone, self._zone_of_endpoint)
        else:
            calls = self._load.others(now, connection)
        connection.send(LoadUpdate(calls))

    def _zone_of_endpoint(self, endpoint: str) -> str:
        version = self.tables.endpoints.version
        if version != self._zones_version:
            self._zones_version = version
            self._zones = {record.id: record.zone for record in self.tables.endpoints.endpoints}
        return self._zones.get(endpoint, "")

    def _on_load(self, calls: Mapping[str, int]) -> None:
        self._load.heard_elsewhere(self._now(), calls)

    def _primary_address(self) -> list[str]:
        primary = self.group.replica.primary
        if primary is None or primary == self._node.identity:
            return []
        return [address_of(primary)]

    def _describe(self, ping: SessionPing) -> SessionPing:
        """A backup reports its sessions, their calls, and the storage group's state to the primary."""
        attached = [n for n in self._table.own(self._now()) if n.role != "control"]
        report, self._storage.report = self._storage.report, None
        calls = self._load.own(self._now())
        return msgspec.structs.replace(ping, attached=attached, group=report, calls=calls)

    def _push(self) -> None:
        for connection, session in list(self._sessions.items()):
            self._push_to(connection, session)

    def _push_to(self, connection: Connection, session: Session) -> None:
        for update in self._publication.pending(self._now(), session.subscriber):
            connection.send(update)

    # --- leading ---

    def _on_change(self) -> None:
        self.operator.step()
        now = self._now()
        if self._publication.begin(now):
            replica = self.group.replica
            self._led_since = now
            self._number = 0
            self._storage.begin()
            log.info("leads epoch %d from version %d", replica.epoch, replica.position.version)
            self._restore_sessions()
            self._restore_list()
            self._ledger.load(dict(self._store.scan(LEASED_PREFIX)))
            self._on_configuration()
        elif self._publication.follow(now) is not None:
            self._on_configuration()

    def _leads(self) -> bool:
        """Whether this node leads, with the state of its own epoch."""
        return self._publication.leads(self._now())

    def _storage_nodes(self) -> list[NodeRecord]:
        return [n for n in self._table.all(self._now()) if n.role == "storage" and n.identity]

    def _restore_sessions(self) -> None:
        """Begin with the session table as the last primary replicated it."""
        value = self._store.get(SESSIONS_KEY)
        if value is not None:
            nodes, sidecars = msgspec.json.decode(value, type=tuple[list[NodeRecord], int])
            self._table.restore(self._now(), nodes, sidecars)
            self._publish_nodes()

    def _restore_list(self) -> None:
        """After a loss of all, begin with the kept list, before the platform has been asked."""
        listed = provisional_list(self._store, self.tables.endpoints)
        if listed is not None:
            self.tables.apply(EndpointsUpdate(self._next_version(), listed))
            self._push()

    def _on_configuration(self) -> None:
        """The newest committed configuration is another one."""
        current = self.tables.configuration
        self._push()
        if current.generation:
            log.info("configuration %d is in force", current.generation)
            self._ledger.follow(tenants_of(current.document))
            self._publish_spending()

    # --- spending ---

    async def _lease(self, connection: Connection, request: LeaseRequest) -> None:
        """Lease tokens of a tenant's cap, or pass the request on to who leads."""
        if not self._leads():
            origin = f"{self._node.name} {next(self._serial)}"
            if self._session.send(msgspec.structs.replace(request, origin=origin)):
                self._passed_on[origin] = (connection, request.origin)
            return
        try:
            if request.tokens < 0:
                await self.group.write(self._ledger.give_back(request.tenant, -request.tokens))
                self._publish_spending()
                return
            leased = self._ledger.lease(request.tenant, request.tokens)
            if leased.writes:
                await self.group.write(leased.writes)
        except (NotPrimary, CommitUnknown):
            return  # it asks again; what may have been leased counts as spent
        connection.send(LeaseAnswer(request.origin, request.tenant, leased.tokens, leased.exhausted))
        self._publish_spending()

    def _on_lease_answer(self, answer: LeaseAnswer) -> None:
        found = self._passed_on.pop(answer.origin, None)
        if found is not None:
            connection, origin = found
            connection.send(msgspec.structs.replace(answer, origin=origin))

    def _publish_spending(self) -> None:
        """Have every process stop taking the work of tenants whose cap has run out."""
        exhausted = self._ledger.exhausted()
        if exhausted != self.tables.spending.exhausted:
            self.tables.apply(SpendingUpdate(self._next_version(), exhausted))
            self._push()
            log.info("spending caps that have run out: %s", ", ".join(exhausted) or "none")

    def _next_version(self) -> TableVersion:
        self._number += 1
        return TableVersion(self._publication.epoch, self._number)

    async def _publish(self) -> None:
        while True:
            await asyncio.sleep(PUBLISH_S)
            try:
                if self._leads() and self._now() - self._led_since > SETTLE_S:
                    await self._storage.tend(self._storage_nodes(), self.operator.orders())
                    await self.group.commit(self._publish_nodes)
            except (NotPrimary, CommitUnknown):
                pass
            except Exception as error:  # Danger: without this task nobody would hear of new nodes
                log.error("nodes could not be published: %r", error)

    def _publish_nodes(self) -> list[Write]:
        """Tell the sessions who is there, where that has changed; what the next primary is to begin with."""
        nodes = self._table.named(self._now())
        sidecars = self._table.sidecars(self._now())
        if self._node not in nodes:
            own = (self._node.name, self._node.role)
            nodes = [*(node for node in nodes if (node.name, node.role) != own), self._node]
        retirements = retirement.published(self.operator.orders())
        current = self.tables.nodes
        versions = self._table.wire_versions(self._now(), self._node)
        made = NodesUpdate(current.version, nodes, sidecars, self._storage.founders(), retirements, versions)
        if made != current:
            self.tables.apply(msgspec.structs.replace(made, version=self._next_version()))
            self._push()
            return [Write(SESSIONS_KEY, msgspec.json.encode((nodes, sidecars)))]
        return []

    async def _read_list(self) -> None:
        """The primary alone reads the platform's list."""
        pause = self._settings.drain_ms / 1000 / LIST_PARTS
        while True:
            if not self._leads() or self._reader is None:
                await asyncio.sleep(PUBLISH_S)
                continue
            started, epoch = self._now(), self._publication.epoch
            try:
                listed = await asyncio.to_thread(self._reader.read)
            except PlatformUnavailable as error:
                log.warning("the platform's list could not be read: %s", error)
            else:
                if self._leads() and self._publication.epoch == epoch:
                    self._listed(listed)
                    await self._keep_list(listed)
            await asyncio.sleep(max(0.05, pause - (self._now() - started)))

    def _listed(self, listed: list[EndpointRecord]) -> None:
        current = self.tables.endpoints
        if listed != current.endpoints or current.version.epoch != self._publication.epoch:
            self.tables.apply(EndpointsUpdate(self._next_version(), listed))
            self._push()

    async def _keep_list(self, listed: list[EndpointRecord]) -> None:
        writes = writes_of(self._store, listed)
        try:
            if writes:
                await self.group.write(writes)
        except (NotPrimary, CommitUnknown) as error:
            log.info("the list is not kept: %r", error)

    def metrics(self) -> list[str]:
        """The figures of this node, one a line."""
        replica = self.group.replica
        return [
            f"leads {self._leads():d}",
            f"epoch {replica.epoch}",
            f"version {replica.told_version}",
            f"store_broken {self._store.broken:d}",
            f"committed {replica.committed}",
            f"form {replica.form}",
            f"generation {self.tables.configuration.generation}",
            *(f'wire_processes{{version="{v}"}} {n}' for v, n in self.tables.nodes.wire_versions.items()),
            f"endpoints {len(self.tables.endpoints.endpoints)}",
            f"nodes {len(self.tables.nodes.nodes)}",
            *TRAFFIC.lines(),
            *WIRE_COUNTS.lines(),
        ]

    async def stop(self) -> None:
        await self._host.stop()
