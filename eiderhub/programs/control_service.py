"""A control node: replicates the control state and sends table updates to its sessions."""

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
from eiderhub.control.retirement import RetireOrder
from eiderhub.control.sessions import SIDECAR_ROLE, SessionTable
from eiderhub.control.spending import LEASED_PREFIX, SpendingLedger, capped_tenants
from eiderhub.control.stored_endpoints import endpoint_list_writes, initial_endpoint_list
from eiderhub.coordination.auxiliary import is_auxiliary
from eiderhub.coordination.messages import Write
from eiderhub.coordination.roster import address_of, host_of
from eiderhub.coordination.timing import GroupSize, copies_needed
from eiderhub.coordination.wire import OWN_SUPPORT
from eiderhub.programs.operator_service import OperatorService
from eiderhub.programs.replica_host import ReplicaHost, health_metric_lines
from eiderhub.programs.settings import TierSettings
from eiderhub.programs.storage_group import StorageGroupManager
from eiderhub.storage.store import LmdbStore
from eiderhub.transport.control_session import ControlSession
from eiderhub.transport.frame_connection import Connection
from eiderhub.transport.frames import Message
from eiderhub.transport.group import CommitOutcomeUnknown, NotPrimary
from eiderhub.transport.traffic import TRAFFIC
from eiderhub.transport.wire_counts import WIRE_COUNTS

PUBLISH_INTERVAL_S = 0.1  # between checks of the session table for changes
SESSION_RECONNECT_GRACE_S = 1.2  # for sessions to reconnect to a new primary before it publishes nodes
LIST_READS_PER_DRAIN = 3.0  # reads of the platform's endpoint list within `bounds.drain_ms`
SESSIONS_KEY = "sessions"

log = logging.getLogger("control")


def without_offer(node: NodeRecord) -> NodeRecord:
    """The record as published: only control nodes need to know of auxiliary replicas."""
    return msgspec.structs.replace(node, auxiliary="") if node.auxiliary else node


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
        self._session_table = SessionTable()
        self._load_table = LoadTable()
        self._endpoint_zones: dict[str, str] = {}  # by endpoint, for `_endpoint_zones_version`
        self._endpoint_zones_version = self.tables.endpoints.version
        replicas_needed = copies_needed(settings.fault_tolerance)
        self._host = ReplicaHost(
            store,
            node,
            self._rng,
            GroupSize(None, replicas_needed),
            self._on_replica_change,
            settings.catch_up_s,
        )
        self.group = self._host.group
        self._storage_group = StorageGroupManager(
            self.group, store, replicas_needed, prefers_same_zones=not settings.zone_fault_tolerance
        )
        control_port = address.parse_host_port(settings.control).port
        self.operator = OperatorService(
            node, self.group, store, self.tables, control_port, replicas_needed, self._storage_nodes
        )
        self._leading_since = 0.0
        self._last_version_number = 0
        self._platform_reader = (
            PlatformReader(settings.platform_address) if settings.platform_address else None
        )
        self._spending_ledger = SpendingLedger()
        self._lease_tasks: set[asyncio.Future[None]] = set()
        self._forwarded_leases: dict[str, tuple[Connection, str]] = {}  # sent to the primary, by origin
        self._lease_numbers = itertools.count(1)
        self._session = ControlSession(
            node,
            self.tables,
            self._primary_address,
            self._send_updates,
            self._complete_ping,
            self._on_lease_answer,
            self._on_load,
        )
        self._publication = Publication(
            self.tables, self._session.freshness, self.group.replica, self.operator.change_processor
        )
        for seed in self._seed_addresses():
            self.group.ensure_link(seed)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._publish_nodes_forever()),
            loop.create_task(self._poll_platform_forever()),
        ]

    def _seed_addresses(self) -> list[str]:
        return [
            f"{address.parse_host_port(s).host}:{self._settings.first_port}" for s in self._settings.seeds
        ]

    def _now(self) -> float:
        return self.group.now()

    # --- connections ---

    def on_message(self, connection: Connection, message: Message) -> None:
        if self._host.on_message(connection, message):
            return
        if isinstance(message, SessionOpen):
            self._open_session(connection, message)
        elif isinstance(message, SessionPing):
            self._on_ping(connection, message)
        elif isinstance(message, LeaseRequest):
            task = asyncio.ensure_future(self._handle_lease_request(connection, message))
            self._lease_tasks.add(task)
            task.add_done_callback(self._lease_tasks.discard)

    def _open_session(self, connection: Connection, message: SessionOpen) -> None:
        self._sessions[connection] = Session(message.node, Subscriber())
        connection.peer_zone = message.node.zone
        connection.peer_support = message.support
        connection.send(SessionAccepted(OWN_SUPPORT))

    def on_closed(self, connection: Connection) -> None:
        self._host.on_closed(connection)
        self._sessions.pop(connection, None)
        self._load_table.remove(connection)

    def _on_ping(self, connection: Connection, ping: SessionPing) -> None:
        session = self._sessions.get(connection)
        if session is None:
            return
        now = self._now()
        self._session_table.refresh(now, session.node)
        if session.node.role == "control":
            self._session_table.report(now, session.node.identity, ping.attached)
        if ping.group is not None:
            self._storage_group.report = ping.group
        for message in self._publication.answer(now, session.subscriber, ping):
            connection.send(message)
        self._load_table.report(now, connection, ping.calls)
        self._send_load(now, connection, session.node)

    def _send_load(self, now: float, connection: Connection, node: NodeRecord) -> None:
        """Send the calls in flight of all other sessions; sidecars only get those near their zone."""
        if node.role == SIDECAR_ROLE:
            calls = self._load_table.zone_total_excluding(now, connection, node.zone, self._zone_of_endpoint)
        else:
            calls = self._load_table.total_excluding(now, connection)
        connection.send(LoadUpdate(calls))

    def _zone_of_endpoint(self, endpoint: str) -> str:
        version = self.tables.endpoints.version
        if version != self._endpoint_zones_version:
            self._endpoint_zones_version = version
            self._endpoint_zones = {record.id: record.zone for record in self.tables.endpoints.endpoints}
        return self._endpoint_zones.get(endpoint, "")

    def _on_load(self, calls: Mapping[str, int]) -> None:
        self._load_table.report_remote(self._now(), calls)

    def _primary_address(self) -> list[str]:
        primary = self.group.replica.primary
        if primary is None or primary == self._node.identity or is_auxiliary(primary):
            return []
        return [address_of(primary)]

    def _complete_ping(self, ping: SessionPing) -> SessionPing:
        """Add this node's sessions, their calls in flight and the storage group's state to a ping."""
        attached = [n for n in self._session_table.local_nodes(self._now()) if n.role != "control"]
        report, self._storage_group.report = self._storage_group.report, None
        calls = self._load_table.local(self._now())
        return msgspec.structs.replace(ping, attached=attached, group=report, calls=calls)

    def _send_updates(self) -> None:
        for connection, session in list(self._sessions.items()):
            self._send_updates_to(connection, session)

    def _send_updates_to(self, connection: Connection, session: Session) -> None:
        for update in self._publication.next_updates(self._now(), session.subscriber):
            connection.send(update)

    # --- primary ---

    def _on_replica_change(self) -> None:
        self.operator.resolve_changes()
        now = self._now()
        if self._publication.begin_epoch(now):
            replica = self.group.replica
            self._leading_since = now
            self._last_version_number = 0
            self._storage_group.begin_epoch()
            self.group.roster.forget_auxiliaries()
            log.info("leads epoch %d from version %d", replica.epoch, replica.position.version)
            self._restore_sessions()
            self._restore_endpoints()
            self._spending_ledger.load(dict(self._store.scan(LEASED_PREFIX)))
            self._on_configuration()
        elif self._publication.publish_newest(now) is not None:
            self._on_configuration()

    def _leads(self) -> bool:
        """Whether this node is primary and publishes the state of its own epoch."""
        return self._publication.leads(self._now())

    def _storage_nodes(self) -> list[NodeRecord]:
        return [n for n in self._session_table.all_nodes(self._now()) if n.role == "storage" and n.identity]

    def _restore_sessions(self) -> None:
        """Load the session table that the previous primary replicated."""
        value = self._store.get(SESSIONS_KEY)
        if value is not None:
            nodes, sidecars = msgspec.json.decode(value, type=tuple[list[NodeRecord], int])
            self._session_table.restore(self._now(), nodes, sidecars)
            self._publish_nodes()

    def _restore_endpoints(self) -> None:
        """Publish the stored endpoint list if none is known, before the platform has been read.

        That is the case after all control nodes have restarted.
        """
        records = initial_endpoint_list(self._store, self.tables.endpoints)
        if records is not None:
            self.tables.apply(EndpointsUpdate(self._next_version(), records))
            self._send_updates()

    def _on_configuration(self) -> None:
        """Publish a newly committed configuration."""
        current = self.tables.configuration
        self._send_updates()
        if current.generation:
            log.info("configuration %d is active", current.generation)
            self._spending_ledger.set_tenants(capped_tenants(current.document))
            self._publish_spending()

    # --- spending ---

    async def _handle_lease_request(self, connection: Connection, request: LeaseRequest) -> None:
        """Lease tokens of a tenant's spending cap, or forward the request to the primary."""
        if not self._leads():
            origin = f"{self._node.name} {next(self._lease_numbers)}"
            if self._session.send(msgspec.structs.replace(request, origin=origin)):
                self._forwarded_leases[origin] = (connection, request.origin)
            return
        try:
            if request.tokens < 0:
                await self.group.write(self._spending_ledger.return_tokens(request.tenant, -request.tokens))
                self._publish_spending()
                return
            leased = self._spending_ledger.lease(request.tenant, request.tokens)
            if leased.writes:
                await self.group.write(leased.writes)
        except (NotPrimary, CommitOutcomeUnknown):
            return  # the requester retries; tokens that may have been leased count as spent
        connection.send(LeaseAnswer(request.origin, request.tenant, leased.tokens, leased.exhausted))
        self._publish_spending()

    def _on_lease_answer(self, answer: LeaseAnswer) -> None:
        forwarded = self._forwarded_leases.pop(answer.origin, None)
        if forwarded is not None:
            connection, origin = forwarded
            connection.send(msgspec.structs.replace(answer, origin=origin))

    def _publish_spending(self) -> None:
        """Publish the tenants with exhausted caps, so that all processes refuse their work."""
        exhausted = self._spending_ledger.exhausted()
        if exhausted != self.tables.spending.exhausted:
            self.tables.apply(SpendingUpdate(self._next_version(), exhausted))
            self._send_updates()
            log.info("exhausted spending caps: %s", ", ".join(exhausted) or "none")

    def _next_version(self) -> TableVersion:
        self._last_version_number += 1
        return TableVersion(self._publication.epoch, self._last_version_number)

    async def _publish_nodes_forever(self) -> None:
        while True:
            await asyncio.sleep(PUBLISH_INTERVAL_S)
            try:
                if self._leads() and self._now() - self._leading_since > SESSION_RECONNECT_GRACE_S:
                    orders = self.operator.retire_orders()
                    self._update_auxiliaries(orders)
                    await self._storage_group.update(self._storage_nodes(), orders)
                    await self.group.commit(self._publish_nodes)
            except (NotPrimary, CommitOutcomeUnknown):
                pass
            except Exception as error:  # the task must go on, or new nodes would not be published
                log.error("could not publish nodes: %r", error)

    def _update_auxiliaries(self, orders: Mapping[str, RetireOrder]) -> None:
        """Pass the group the auxiliary replicas that storage nodes offer, no longer run or must give up."""
        roster, nodes = self.group.roster, self._storage_nodes()
        retiring = retirement.retiring_hosts(orders)
        founders = set(self._storage_group.founding_members())
        # Machines without batch state come first: they have less to do.
        offering = sorted((n for n in nodes if n.auxiliary), key=lambda n: (n.identity in founders, n.name))
        roster.offers = {n.auxiliary: n.zone for n in offering if host_of(n.auxiliary) not in retiring}
        hosts_without = {host_of(n.identity) for n in nodes if not n.auxiliary}
        members = [member for member in self.group.replica.members if is_auxiliary(member)]
        roster.withdrawn = frozenset(m for m in members if host_of(m) in hosts_without)
        roster.retired = frozenset(i for i in [*members, *roster.offers] if host_of(i) in retiring)

    def _publish_nodes(self) -> list[Write]:
        """Publish the node list if it has changed; return the writes that restore it at the next primary."""
        nodes = self._session_table.named_nodes(self._now())
        sidecars = self._session_table.sidecar_count(self._now())
        if self._node not in nodes:
            own_key = (self._node.name, self._node.role)
            nodes = [*(node for node in nodes if (node.name, node.role) != own_key), self._node]
        retirements = retirement.retirement_records(self.operator.retire_orders())
        current = self.tables.nodes
        version_counts = self._session_table.wire_versions(self._now(), self._node)
        update = NodesUpdate(
            current.version,
            [without_offer(node) for node in nodes],
            sidecars,
            self._storage_group.founding_members(),
            retirements,
            version_counts,
        )
        if update != current:
            self.tables.apply(msgspec.structs.replace(update, version=self._next_version()))
            self._send_updates()
            return [Write(SESSIONS_KEY, msgspec.json.encode((nodes, sidecars)))]
        return []

    async def _poll_platform_forever(self) -> None:
        """Read the platform's endpoint list regularly, on the primary only."""
        interval_s = self._settings.drain_ms / 1000 / LIST_READS_PER_DRAIN
        while True:
            if not self._leads() or self._platform_reader is None:
                await asyncio.sleep(PUBLISH_INTERVAL_S)
                continue
            started_at, epoch = self._now(), self._publication.epoch
            try:
                records = await asyncio.to_thread(self._platform_reader.read)
            except PlatformUnavailable as error:
                log.warning("could not read the platform's endpoint list: %s", error)
            else:
                if self._leads() and self._publication.epoch == epoch:
                    self._publish_endpoints(records)
                    await self._store_endpoints(records)
            await asyncio.sleep(max(0.05, interval_s - (self._now() - started_at)))

    def _publish_endpoints(self, records: list[EndpointRecord]) -> None:
        current = self.tables.endpoints
        if records != current.endpoints or current.version.epoch != self._publication.epoch:
            self.tables.apply(EndpointsUpdate(self._next_version(), records))
            self._send_updates()

    async def _store_endpoints(self, records: list[EndpointRecord]) -> None:
        writes = endpoint_list_writes(self._store, records)
        try:
            if writes:
                await self.group.write(writes)
        except (NotPrimary, CommitOutcomeUnknown) as error:
            log.info("could not store the endpoint list: %r", error)

    def metrics(self) -> list[str]:
        """Metrics of this node, one per line."""
        replica = self.group.replica
        return [
            f"leads {self._leads():d}",
            f"epoch {replica.epoch}",
            f"version {replica.version_or_zero}",
            f"store_broken {self._store.broken:d}",
            f"committed {replica.committed}",
            f"form {replica.record_format}",
            f"generation {self.tables.configuration.generation}",
            *health_metric_lines(replica.health(self._now())),
            *(f'wire_processes{{version="{v}"}} {n}' for v, n in self.tables.nodes.wire_versions.items()),
            f"endpoints {len(self.tables.endpoints.endpoints)}",
            f"nodes {len(self.tables.nodes.nodes)}",
            *TRAFFIC.metric_lines(),
            *WIRE_COUNTS.metric_lines(),
        ]

    async def stop(self) -> None:
        await self._host.stop()
