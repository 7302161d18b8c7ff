"""A storage node: replicates the batch state; as primary it takes jobs, has items run, lists results."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Mapping

import msgspec
import picologging as logging

from eiderhub import address
from eiderhub.batch.dispatch import Dispatcher, Session
from eiderhub.batch.jobs import BatchTerms, JobTable
from eiderhub.batch.messages import (
    ItemFinished,
    ItemKey,
    ItemReturned,
    ItemStarted,
    Redirect,
    WorkerOpen,
    WorkerReport,
)
from eiderhub.batch.progress import ProgressWatch
from eiderhub.control.distribution import Tables
from eiderhub.control.freshness import FRESH_S
from eiderhub.control.messages import LeaseRequest, NodeRecord, SessionPing, StorageReport
from eiderhub.coordination.roster import address_of
from eiderhub.coordination.timing import GroupSize, copies_needed
from eiderhub.dataplane.routes import RouteTable
from eiderhub.programs.batch_calls import BatchCall, BatchCalls
from eiderhub.programs.dead_letters import DeadLetters
from eiderhub.programs.replica_host import ReplicaHost
from eiderhub.programs.settings import TierSettings
from eiderhub.storage.store import LmdbStore
from eiderhub.transport.control_session import ControlSession, control_candidates
from eiderhub.transport.frames import Message
from eiderhub.transport.framing import Connection
from eiderhub.transport.group import CommitUnknown, NotPrimary
from eiderhub.transport.spending import Spending
from eiderhub.transport.tasks import TaskSet
from eiderhub.transport.traffic import TRAFFIC
from eiderhub.transport.wire_counts import WIRE_COUNTS

DISPATCH_S = 0.02
FAULT_PAUSE_S = 1.0  # after a fault of the program itself, before the dispatcher goes on
SPACE_SHARE = 0.85  # of the store that jobs and the results of all that was taken may come to need
PROGRESS_S = 1.0  # how often it is looked for items that do not move
STUCK_LOG_S = 5.0  # how often they are logged

log = logging.getLogger("storage")


class StorageService:
    def __init__(self, settings: TierSettings, store: LmdbStore, node: NodeRecord) -> None:
        self._settings = settings
        self._store = store
        self._node = node
        self._rng = random.Random(node.identity)
        self.tables = Tables()
        self._routes: RouteTable | None = None
        least = copies_needed(settings.fault_tolerance)
        self._host = ReplicaHost(
            store, node, self._rng, GroupSize(least, least), self._on_change, settings.catch_up_s
        )
        self.group = self._host.group
        self.group.roster.gathers = not settings.zones_lost
        self._jobs = JobTable(store)
        self._dispatch = Dispatcher(self._jobs)
        self._progress = ProgressWatch()
        self._next_progress = 0.0
        self._item_endpoints: frozenset[str] = frozenset()  # that run items
        self._next_stuck_log = 0.0
        self._sessions: dict[Connection, Session] = {}
        self._connections: dict[Session, Connection] = {}
        self._epoch = 0
        self._led_since = 0.0
        self._spending = Spending(self._ask_for_lease)
        self._session = ControlSession(
            node,
            self.tables,
            self._candidates,
            self._on_tables,
            self._describe,
            self._spending.answered,
            self._on_load,
        )
        self._calls = BatchCalls(
            self._jobs,
            self.group,
            self._spending,
            self._terms,
            self._has_space,
            self._give_out,
            self._job_ended,
        )
        self._tasks = TaskSet()
        self._dead_letters = DeadLetters(
            self._jobs, self.group, self._known_routes, self._buried, settings.status_ttl_s
        )
        loop = asyncio.get_running_loop()
        self._loops = [
            loop.create_task(self._dispatch_forever()),
            loop.create_task(self._dead_letters.run_forever()),
        ]

    def _now(self) -> float:
        return self.group.now()

    def _candidates(self) -> list[str]:
        port = self._settings.first_port
        seeds = [f"{address.parse(s).host}:{port}" for s in self._settings.seeds]
        return control_candidates(self.tables, seeds, self._settings.zone, self._rng.shuffle)

    def _ask_for_lease(self, request: LeaseRequest) -> bool:
        return self._session.send(request)

    def _describe(self, ping: SessionPing) -> SessionPing:
        replica = self.group.replica
        if not replica.members_settled(self._now()):
            return ping
        members = sorted(replica.members)
        synced = all(replica.synced(member) for member in members)
        return msgspec.structs.replace(ping, group=StorageReport(members, sorted(replica.barred), synced))

    def _on_tables(self) -> None:
        configuration, nodes = self.tables.configuration, self.tables.nodes
        if configuration.generation and (
            self._routes is None or self._routes.generation != configuration.generation
        ):
            self._routes = RouteTable(configuration.generation, configuration.document)
        self._follow_endpoints()
        if self._routes is not None:
            self._spending.follow(self._routes.tenants, self.tables.spending.exhausted)
        for node in nodes.nodes:
            if node.role == "storage" and node.identity:
                self.group.know(address_of(node.identity))
        founded = nodes.storage_group
        if self._node.identity in founded and self._store.is_empty:
            self.group.replica.bootstrap(founded)
        orders = nodes.retirements
        self.group.roster.retired = frozenset(i for order in orders for i in order.identities)
        self.group.roster.retired_names = frozenset(order.node for order in orders if not order.done)

    def _follow_endpoints(self) -> None:
        """Count the endpoints that run items: those of the services that batch routes lead to."""
        if self._routes is None:
            return
        batch = [route for route in self._routes.by_name.values() if route.kind == "batch"]
        services = {name for route in batch for name, _ in route.services}
        ready = [e for e in self.tables.endpoints.endpoints if e.ready and e.service in services]
        self._item_endpoints = frozenset(e.id for e in ready)
        self._dispatch.scheduler.follow(len(ready), sum(e.capacity for e in ready))

    def _on_load(self, calls: Mapping[str, int]) -> None:
        """What all sidecars have out at endpoints."""
        counted = sum(count for endpoint, count in calls.items() if endpoint in self._item_endpoints)
        self._dispatch.scheduler.follow_load(self._now(), counted)

    # --- connections ---

    def on_message(self, connection: Connection, message: Message) -> None:
        if self._host.on_message(connection, message):
            return
        if not self.group.leads():
            connection.send(Redirect(self.group.replica.primary or ""))
        elif isinstance(message, WorkerOpen):
            self._open(connection, message)
        elif isinstance(message, BatchCall):
            self._tasks.start(self._answer(connection, message), connection.close)
        else:
            self._on_worker(connection, message)

    def _open(self, connection: Connection, message: WorkerOpen) -> None:
        session = self._dispatch.open(self._now(), message)
        self._sessions[connection] = session
        connection.peer_zone = message.zone
        connection.support = message.support
        self._connections[session] = connection
        self._flush()

    def _on_worker(self, connection: Connection, message: Message) -> None:
        """What a sidecar tells of its items."""
        session = self._sessions.get(connection)
        if session is None:
            return
        if isinstance(message, WorkerReport):
            self._dispatch.report(self._now(), session, message)
            self._flush()
        elif isinstance(message, ItemStarted):
            self._dispatch.started(self._now(), session, message.key)
            self._give_out()
        elif isinstance(message, ItemFinished):
            self._tasks.start(self._finish(session, message), connection.close)
        elif isinstance(message, ItemReturned):
            self._dispatch.returned(self._now(), session, message)
            if message.errors:
                self._tasks.start(self._keep_errors(message.key.job), connection.close)
            self._give_out()

    def on_closed(self, connection: Connection) -> None:
        self._host.on_closed(connection)
        session = self._sessions.pop(connection, None)
        if session is not None:
            self._connections.pop(session, None)
            self._dispatch.closed(self._now(), session)

    def _flush(self) -> None:
        """Send what the dispatcher wants sent, and log what it has put right."""
        outbox, self._dispatch.outbox = self._dispatch.outbox, []
        for session, message in outbox:
            connection = self._connections.get(session)
            if connection is not None:
                connection.send(message)
        repairs, self._dispatch.repairs = self._dispatch.repairs, []
        for node, why, items in repairs:
            log.info("%s %s %d items, they wait again: %s ...", node, why.value, len(items), items[0])

    # --- leading ---

    def _on_change(self) -> None:
        replica = self.group.replica
        if replica.epoch != self._epoch and self.group.leads():
            self._epoch = replica.epoch
            self._led_since = self._now()
            self._dispatch.begin(self._now(), replica.epoch)
            self._calls.begin(replica.epoch)
            log.info("leads epoch %d with %d jobs", replica.epoch, len(self._jobs.jobs))
        if not self.group.leads() and self._connections and replica.primary != self._node.identity:
            for connection in list(self._connections.values()):
                connection.send(Redirect(replica.primary or ""))
                connection.close()

    # --- calls ---

    async def _answer(self, connection: Connection, message: BatchCall) -> None:
        connection.send(await self._calls.answer(message))

    def _terms(self, name: str) -> BatchTerms | None:
        route = self._routes.by_name.get(name) if self._routes else None
        if route is None:
            return None
        return BatchTerms(
            name, route.window_ms / 1000, route.retention_s, route.max_attempts, route.max_queued_tokens
        )

    def _has_space(self, body_bytes: int) -> bool:
        """Danger: a primary whose writes fail steps down, for one that has just as little space."""
        needed = self._store.used_bytes + body_bytes + self._jobs.expected_bytes()
        return needed < SPACE_SHARE * self._store.limit_bytes

    def _job_ended(self, job: str) -> None:
        self._dispatch.cancel_job(job)
        self._flush()

    # --- items ---

    async def _finish(self, session: Session, message: ItemFinished) -> None:
        try:
            await self.group.commit(lambda: self._dispatch.finish(self._now(), session, message))
        except (NotPrimary, CommitUnknown):
            return  # the sidecar tells it again, here or to the next primary
        if self._dispatch.stored(session, message.key):
            self._calls.tell_readers(message.key.job)
        self._flush()
        self._give_out()

    async def _keep_errors(self, job: str) -> None:
        """Have the next primary know how often a job's items have failed."""
        try:
            await self.group.commit(lambda: self._jobs.errors(job))
        except (NotPrimary, CommitUnknown):
            return

    async def _dispatch_forever(self) -> None:
        while True:
            await asyncio.sleep(DISPATCH_S)
            try:
                self._tend()
            except Exception as error:  # Danger: were this task to end, no item would ever be given out again
                log.error("the dispatcher failed: %r", error)
                await asyncio.sleep(FAULT_PAUSE_S)

    def _tend(self) -> None:
        """What is due now, if this node leads."""
        self.group.roster.informed = self._session.fresh()
        if not self.group.leads():
            return
        now = self._now()
        self._dispatch.tick(now)
        for session in self._dispatch.silent(now):
            log.info("%s has said nothing for too long", session.node)
            self._connections[session].close()
        self._flush()
        self._give_out()
        self._watch_progress()

    def _watch_progress(self) -> None:
        """Look for items that do not move, and tell on-call staff."""
        now = self._now()
        if now < self._next_progress:
            return
        self._next_progress = now + PROGRESS_S
        self._progress.look(now, time.time(), self._jobs)
        summary = self._progress.summary(now)
        if summary and now >= self._next_stuck_log:
            self._next_stuck_log = now + STUCK_LOG_S
            log.warning("%s; %s", summary, self._dispatch.scheduler.placement(now))

    def metrics(self) -> list[str]:
        """The figures of this node, one a line."""
        replica = self.group.replica
        lines = [
            f"leads {self.group.leads():d}",
            f"epoch {replica.epoch}",
            f"version {replica.told_version}",
            f"store_broken {self._store.broken:d}",
            f"committed {replica.committed}",
            f"form {replica.form}",
            f"store_used_bytes {self._store.used_bytes}",
            f"store_limit_bytes {self._store.limit_bytes}",
            *TRAFFIC.lines(),
            *WIRE_COUNTS.lines(),
        ]
        if not self.group.leads():
            return lines
        lines += [f"jobs {len(self._jobs.jobs)}", f"sessions {len(self._connections)}"]
        placement = self._dispatch.scheduler.placement(self._now())
        lines += [
            f"sidecars_paused {placement.paused}",
            f"sidecars_full {placement.full}",
            f"sidecars_stuck {placement.stuck}",
        ]
        lines += [f'items_returned{{reason="{r.value}"}} {n}' for r, n in placement.returns.items()]
        for worker in self._dispatch.scheduler.workers.values():
            lines.append(f'window{{node="{worker.node}"}} {worker.window:.1f}')
        return lines + self._progress.lines(self._now())

    def _give_out(self) -> None:
        if self.group.leads():
            self._dispatch.give_out(self._now(), time.time())
            self._flush()

    # --- dead letters ---

    def _known_routes(self) -> set[str] | None:
        """The routes in force; None: this node can't be sure of them.

        Danger: an earlier primary may have taken a job for a route that is new, and not known here yet. What
        is fresh now was current after this node began to lead, once it has led for longer than that.
        """
        led_long = self._now() - self._led_since > FRESH_S
        if self._routes is None or not led_long or not self._session.fresh():
            return None
        return set(self._routes.by_name)

    def _buried(self, key: ItemKey) -> None:
        """An item is committed as a dead letter."""
        self._dispatch.scheduler.forget(key)
        if self._jobs.listed(key):
            self._calls.tell_readers(key.job)

    async def stop(self) -> None:
        await self._host.stop()
