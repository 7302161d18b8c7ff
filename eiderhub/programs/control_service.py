"""A control node: replicates the control state, serves the operator, streams tables to sessions."""

from __future__ import annotations

import asyncio
import itertools
import random
from http import HTTPStatus
from typing import NamedTuple

import msgspec
import picologging as logging
from result import Err, Result

from eiderhub import address
from eiderhub.control import configuration
from eiderhub.control.configuration import CURRENT_KEY, TAKEN_PREFIX, Accepted, Change, Document
from eiderhub.control.distribution import Subscriber, Tables
from eiderhub.control.errors import ErrorKind, Refusal
from eiderhub.control.messages import (
    ConfigurationUpdate,
    EndpointRecord,
    EndpointsUpdate,
    Hello,
    LeaseAnswer,
    LeaseRequest,
    NodeRecord,
    NodesUpdate,
    Retirement,
    SessionOpen,
    SessionPing,
    SessionPong,
    SpendingUpdate,
    TableVersion,
)
from eiderhub.control.platform import PlatformReader, PlatformUnavailable
from eiderhub.control.sessions import SessionTable
from eiderhub.control.spending import LEASED_PREFIX, SpendingLedger, tenants_of
from eiderhub.coordination.messages import (
    EpochAnswer,
    InstallSnapshot,
    Replicate,
    Replicated,
    RequestEpoch,
    TakeOver,
    Write,
)
from eiderhub.coordination.replication import GroupSize, Replica, copies_needed
from eiderhub.programs.settings import TierSettings
from eiderhub.storage.store import LmdbStore
from eiderhub.transport.control_session import ControlSession
from eiderhub.transport.framing import Connection, Message
from eiderhub.transport.group import CommitUnknown, GroupDriver, NotPrimary, address_of
from eiderhub.transport.operator_calls import Call, Reply

REPLICA_MESSAGES = (Replicate, InstallSnapshot, Replicated, RequestEpoch, EpochAnswer, TakeOver)
PUBLISH_S = 0.1  # how often the session table is looked at for changes
SETTLE_S = 1.2  # a new primary waits so long for sessions to come back before it publishes who is there
FOUND_S = 1.0  # the storage group is founded once as many of its nodes have been there for so long
FOUND_ANYWAY_S = 5.0
LIST_PARTS = 3.0  # the platform's list is read so often within the time that draining may take to be told
GROUP_KEY = "storage/group"
KNOWN_PREFIX = "storage/known/"
RETIRE_PREFIX = "retire/"
SESSIONS_KEY = "sessions"
TRANSFER_WAIT_S = 0.4  # a planned transfer is over by then

log = logging.getLogger("control")


def spread_over_zones(nodes: list[NodeRecord]) -> list[NodeRecord]:
    """The nodes in an order that takes one of each zone in turn."""
    turns: dict[str, int] = {}
    ranked = []
    for node in sorted(nodes, key=lambda n: n.name):
        turns[node.zone] = turns.get(node.zone, 0) + 1
        ranked.append((turns[node.zone], node.zone, node))
    return [node for _, _, node in sorted(ranked, key=lambda r: r[:2])]


class Session(NamedTuple):
    node: NodeRecord
    subscriber: Subscriber


class NodeStatus(msgspec.Struct):
    name: str
    role: str
    zone: str


class Status(msgspec.Struct):
    """The answer to `GET /status`."""

    node: str
    leads: bool
    epoch: int
    version: int
    generation: int
    primary: str
    members: list[str]
    sidecars: int
    nodes: list[NodeStatus]


class RetireRecord(msgspec.Struct):
    identity: str
    done: bool


class ControlService:
    def __init__(self, settings: TierSettings, store: LmdbStore, node: NodeRecord) -> None:
        self._settings = settings
        self._store = store
        self._node = node
        self._rng = random.Random(node.identity)
        self.tables = Tables()
        self._sessions: dict[Connection, Session] = {}
        self._replicas: dict[Connection, NodeRecord] = {}
        self._table = SessionTable()
        self._least = copies_needed(settings.fault_tolerance)
        size = GroupSize(target=None, least=self._least)
        replica = Replica(node.identity, store, asyncio.get_running_loop().time(), self._rng, size)
        self.group = GroupDriver(replica, node, self._on_change)
        for seed in self._seeds():
            self.group.know(seed)
        self._epoch = 0  # the last one that this node has led
        self._led_since = 0.0
        self._number = 0
        self._config_lock = asyncio.Lock()
        self._storage_seen: tuple[int, float, float] = (0, 0.0, 0.0)  # count, since, first seen
        self._storage_primary: SessionPing | None = None
        self._founding = False
        self._reader = PlatformReader(settings.platform) if settings.platform else None
        self._ledger = SpendingLedger()
        self._leasing: set[asyncio.Future[None]] = set()
        self._passed_on: dict[str, tuple[Connection, str]] = {}  # lease requests on their way to the primary
        self._serial = itertools.count(1)
        self._session = ControlSession(
            node, self.tables, self._primary_address, self._push, self._describe, self._on_lease_answer
        )
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._publish()), loop.create_task(self._read_list())]

    def _seeds(self) -> list[str]:
        return [f"{address.parse(s).host}:{self._settings.first_port}" for s in self._settings.seeds]

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    # --- connections ---

    def on_message(self, connection: Connection, message: Message) -> None:
        if isinstance(message, Hello):
            self._replicas[connection] = message.node
            self.group.greeted(connection, message.node)
        elif isinstance(message, SessionOpen):
            self._sessions[connection] = Session(message.node, Subscriber())
        elif isinstance(message, SessionPing):
            self._on_ping(connection, message)
        elif isinstance(message, LeaseRequest):
            task = asyncio.ensure_future(self._lease(connection, message))
            self._leasing.add(task)
            task.add_done_callback(self._leasing.discard)
        elif isinstance(message, REPLICA_MESSAGES) and connection in self._replicas:
            self.group.received(self._replicas[connection].identity, message)

    def on_closed(self, connection: Connection) -> None:
        node = self._replicas.pop(connection, None)
        if node is not None:
            self.group.lost(node.identity, connection)
        self._sessions.pop(connection, None)

    def _on_ping(self, connection: Connection, ping: SessionPing) -> None:
        session = self._sessions.get(connection)
        if session is None:
            return
        now = self._now()
        self._table.heard(now, session.node)
        if session.node.role == "control":
            self._table.report(now, session.node.identity, ping.attached)
        if ping.group:
            self._storage_primary = ping
        session.subscriber.acknowledge(ping)
        connection.send(SessionPong(self._fresh()))
        self._push_to(connection, session)

    def _fresh(self) -> bool:
        """Whether what this node tells its sessions is what the primary has."""
        return self.group.leads() or self._session.fresh()

    def _primary_address(self) -> list[str]:
        primary = self.group.replica.primary
        if primary is None or primary == self._node.identity:
            return []
        return [address_of(primary)]

    def _describe(self, ping: SessionPing) -> SessionPing:
        """A backup reports its sessions, and the storage group's state, to the primary."""
        attached = [n for n in self._table.own(self._now()) if n.role != "control"]
        told = self._storage_primary
        group, synced = (told.group, told.group_synced) if told else ([], False)
        self._storage_primary = None
        return msgspec.structs.replace(ping, attached=attached, group=group, group_synced=synced)

    def _push(self) -> None:
        for connection, session in list(self._sessions.items()):
            self._push_to(connection, session)

    def _push_to(self, connection: Connection, session: Session) -> None:
        if self._fresh():
            for update in session.subscriber.pending(self.tables):
                connection.send(update)

    # --- leading ---

    def _on_change(self) -> None:
        replica = self.group.replica
        if replica.epoch != self._epoch and self.group.leads():
            self._epoch = replica.epoch
            self._led_since = self._now()
            self._number = 0
            self._storage_seen = (0, 0.0, 0.0)
            self._storage_primary = None
            log.info("leads epoch %d from version %d", replica.epoch, replica.position.version)
            self._restore_sessions()
            self._ledger.load(dict(self._store.scan(LEASED_PREFIX)))
            self._apply_configuration()

    def _restore_sessions(self) -> None:
        """Begin with the session table as the last primary replicated it."""
        value = self._store.get(SESSIONS_KEY)
        if value is not None:
            nodes, sidecars = msgspec.json.decode(value, type=tuple[list[NodeRecord], int])
            self._table.restore(self._now(), nodes, sidecars)
            self._publish_nodes()

    def _apply_configuration(self) -> None:
        body = self._store.get(CURRENT_KEY)
        if body is not None:
            generation = configuration.read(body).unwrap()["generation"]
            if self.tables.apply(ConfigurationUpdate(generation, body)):
                self._push()
            self._ledger.follow(tenants_of(configuration.read(body).unwrap()))
            self._publish_spending()

    # --- spending ---

    async def _lease(self, connection: Connection, request: LeaseRequest) -> None:
        """Lease tokens of a tenant's cap, or pass the request on to who leads."""
        if not self.group.leads():
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
        return TableVersion(self._epoch, self._number)

    async def _publish(self) -> None:
        while True:
            await asyncio.sleep(PUBLISH_S)
            try:
                if self.group.leads() and self._now() - self._led_since > SETTLE_S:
                    await self._tend_storage()
                    if self._publish_nodes():
                        published = (self.tables.nodes.nodes, self.tables.nodes.sidecars)
                        await self.group.write([Write(SESSIONS_KEY, msgspec.json.encode(published))])
            except (NotPrimary, CommitUnknown):
                pass

    def _publish_nodes(self) -> bool:
        """Tell the sessions who is there, where that has changed."""
        nodes = self._table.named(self._now())
        sidecars = self._table.sidecars(self._now())
        if self._node not in nodes:
            nodes = [*nodes, self._node]
        founded = self._founded()
        retirements = [
            Retirement(name, record.identity, record.done) for name, record in self._retirements().items()
        ]
        current = self.tables.nodes
        made = NodesUpdate(current.version, nodes, sidecars, founded, retirements)
        if made != current:
            self.tables.apply(msgspec.structs.replace(made, version=self._next_version()))
            self._push()
            return True
        return False

    async def _read_list(self) -> None:
        """The primary alone reads the platform's list."""
        pause = self._settings.drain_ms / 1000 / LIST_PARTS
        while True:
            if not self.group.leads() or self._reader is None:
                await asyncio.sleep(PUBLISH_S)
                continue
            started, epoch = self._now(), self._epoch
            try:
                listed = await asyncio.to_thread(self._reader.read)
            except PlatformUnavailable as error:
                log.warning("the platform's list could not be read: %s", error)
            else:
                if self.group.leads() and self._epoch == epoch:
                    self._listed(listed)
            await asyncio.sleep(max(0.05, pause - (self._now() - started)))

    def _listed(self, listed: list[EndpointRecord]) -> None:
        if listed != self.tables.endpoints.endpoints or self.tables.endpoints.version.epoch != self._epoch:
            self.tables.apply(EndpointsUpdate(self._next_version(), listed))
            self._push()

    # --- the storage group ---

    def _founded(self) -> list[str]:
        value = self._store.get(GROUP_KEY)
        return msgspec.json.decode(value, type=list[str]) if value else []

    def _retirements(self) -> dict[str, RetireRecord]:
        return {
            key[len(RETIRE_PREFIX) :]: msgspec.json.decode(value, type=RetireRecord)
            for key, value in self._store.scan(RETIRE_PREFIX)
        }

    def _storage_nodes(self) -> list[NodeRecord]:
        return [n for n in self._table.all(self._now()) if n.role == "storage" and n.identity]

    async def _tend_storage(self) -> None:
        nodes = self._storage_nodes()
        known = [
            Write(KNOWN_PREFIX + n.name, n.identity.encode())
            for n in nodes
            if self._store.get(KNOWN_PREFIX + n.name) != n.identity.encode()
        ]
        if known:
            await self.group.write(known)
        if not self._founded():
            await self._found(nodes)
        told = self._storage_primary
        if told is not None and told.group and told.group_synced:
            for name, record in self._retirements().items():
                if not record.done and record.identity not in told.group:
                    done = msgspec.json.encode(RetireRecord(record.identity, True))
                    await self.group.write([Write(RETIRE_PREFIX + name, done)])
                    log.info("storage node %s is empty", name)

    async def _found(self, nodes: list[NodeRecord]) -> None:
        """Name the storage group's first members, once."""
        now = self._now()
        count, since, first = self._storage_seen
        if len(nodes) != count:
            self._storage_seen = (len(nodes), now, first or now)
            return
        enough = len(nodes) >= self._least
        if nodes and now - since > FOUND_S and (enough or now - first > FOUND_ANYWAY_S):
            founders = spread_over_zones(nodes)[: self._least]
            members = msgspec.json.encode(sorted(n.identity for n in founders))
            await self.group.write([Write(GROUP_KEY, members)])
            log.info("founded the storage group with %d of %d nodes", len(founders), len(nodes))

    # --- the operator's API ---

    async def handle(self, call: Call) -> Reply:
        if call.path == "/status" and call.method == "GET":
            return self._status()
        if not self.group.leads():
            return self._elsewhere(call)
        if call.path == "/config":
            if call.method == "GET":
                return self._current()
            if call.method in ("PUT", "PATCH"):
                # Carried through though its caller gives up: what is committed must be distributed.
                return await asyncio.shield(asyncio.ensure_future(self._change(call)))
        elif call.path.startswith("/retire/"):
            name = call.path.removeprefix("/retire/")
            if call.method == "GET":
                return self._retire_state(name)
            if call.method == "POST":
                return await self._retire(name)
        return Reply(HTTPStatus.NOT_FOUND)

    def _status(self) -> Reply:
        """What this node knows, whether it leads or not."""
        replica = self.group.replica
        status = Status(
            node=self._node.name,
            leads=self.group.leads(),
            epoch=replica.epoch,
            version=replica.position.version,
            generation=self.tables.configuration.generation,
            primary=replica.primary or "",
            members=sorted(replica.members),
            sidecars=self.tables.nodes.sidecars,
            nodes=[NodeStatus(n.name, n.role, n.zone) for n in self.tables.nodes.nodes],
        )
        return Reply(HTTPStatus.OK, msgspec.json.encode(status))

    def _elsewhere(self, call: Call) -> Reply:
        primary = self.group.replica.primary
        if primary is None or primary == self._node.identity:
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE)
        host = address.parse(address_of(primary)).host
        port = address.parse(self._settings.control).port
        return Reply(HTTPStatus.TEMPORARY_REDIRECT, location=f"http://{host}:{port}{call.path}")

    def _current(self) -> Reply:
        body = self._store.get(CURRENT_KEY)
        if body is None:
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE)
        told = self.tables.configuration
        return Reply(HTTPStatus.OK, told.encoded() if told.generation else body)

    async def _change(self, call: Call) -> Reply:
        base = call.base.strip().strip('"')
        if not base.isdigit():
            return self._refused(Refusal(ErrorKind.INVALID, "If-Match: must be a generation"))
        found = configuration.read(call.body)
        if isinstance(found, Err):
            return self._refused(found.err_value)
        change = Change(int(base), call.method == "PATCH", call.body)
        async with self._config_lock:
            if not self.group.leads():
                return self._elsewhere(call)
            decided = self._decide(change, found.ok_value)
            if isinstance(decided, Err):
                return self._refused(decided.err_value)
            accepted = decided.ok_value
            if accepted.writes:
                try:
                    await self.group.write(accepted.writes)
                except NotPrimary:
                    return Reply(HTTPStatus.SERVICE_UNAVAILABLE)
                except CommitUnknown:
                    return Reply(HTTPStatus.GATEWAY_TIMEOUT)
                self._apply_configuration()
                log.info("configuration %d is in force", accepted.generation)
            return Reply(HTTPStatus.OK)

    def _decide(self, change: Change, document: Document) -> Result[Accepted, Refusal]:
        body = self._store.get(CURRENT_KEY)
        current = configuration.read(body).unwrap() if body is not None else None
        taken = self._store.get(f"{TAKEN_PREFIX}{document.get('generation')}")
        return configuration.decide(current, taken, change, document)

    def _refused(self, refusal: Refusal) -> Reply:
        return Reply(refusal.status, msgspec.json.encode({"error": refusal.kind.value, "why": refusal.why}))

    def _retire_state(self, name: str) -> Reply:
        record = self._retirements().get(name)
        if record is None:
            return Reply(HTTPStatus.NOT_FOUND)
        state = "succeeded" if record.done else "in_progress"
        return Reply(HTTPStatus.OK, msgspec.json.encode({"state": state}))

    async def _retire(self, name: str) -> Reply:
        if name in self._retirements():
            return Reply(HTTPStatus.OK)
        identity = self._store.get(KNOWN_PREFIX + name)
        if identity is None:
            return Reply(HTTPStatus.NOT_FOUND)
        gone = {record.identity for record in self._retirements().values()} | {identity.decode()}
        left = [n for n in self._storage_nodes() if n.identity not in gone]
        if len(left) < self._least:
            return self._refused(Refusal(ErrorKind.TOO_FEW, f"{len(left)} would remain"))
        record = msgspec.json.encode(RetireRecord(identity.decode(), False))
        try:
            await self.group.write([Write(RETIRE_PREFIX + name, record)])
        except (NotPrimary, CommitUnknown):
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE)
        log.info("storage node %s is to be emptied", name)
        return Reply(HTTPStatus.OK)

    async def stop(self) -> None:
        """Hand leadership over, where another can take it."""
        if self.group.replica.transfer(self._now()):
            self.group.flush()
            await asyncio.sleep(TRANSFER_WAIT_S)
