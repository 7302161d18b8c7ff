"""A storage node: replicates the batch state; as primary it accepts jobs, assigns items, stores results."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Mapping

import msgspec
import picologging as logging

from eiderhub import address
from eiderhub.batch.dispatch import Dispatcher, WorkerSession
from eiderhub.batch.jobs import BatchLimits, JobTable
from eiderhub.batch.messages import (
    ItemFinished,
    ItemKey,
    ItemReturned,
    ItemStarted,
    Redirect,
    WorkerOpen,
    WorkerReport,
)
from eiderhub.batch.progress import ProgressMonitor
from eiderhub.control.distribution import Tables
from eiderhub.control.freshness import MAX_TABLE_AGE_S
from eiderhub.control.messages import LeaseRequest, NodeRecord, SessionPing, StorageReport
from eiderhub.coordination.roster import address_of
from eiderhub.coordination.timing import GroupSize, copies_needed
from eiderhub.dataplane.routes import RouteTable
from eiderhub.metric_lines import metric_line
from eiderhub.programs.batch_calls import BatchCall, BatchCalls
from eiderhub.programs.dead_letters import DeadLetterTask
from eiderhub.programs.replica_host import ReplicaHost, health_metric_lines
from eiderhub.programs.settings import TierSettings
from eiderhub.storage.store import LmdbStore
from eiderhub.transport.control_session import ControlSession, control_candidates
from eiderhub.transport.frame_connection import Connection
from eiderhub.transport.frames import Message
from eiderhub.transport.group import CommitOutcomeUnknown, NotPrimary
from eiderhub.transport.spending import SpendingClient
from eiderhub.transport.tasks import TaskSet
from eiderhub.transport.traffic import TRAFFIC
from eiderhub.transport.wire_counts import WIRE_COUNTS

DISPATCH_INTERVAL_S = 0.02
ERROR_PAUSE_S = 1.0  # after an unexpected exception in the dispatch loop
MAX_STORE_FRACTION = 0.85  # of the store, for jobs and the expected results of all accepted items
PROGRESS_CHECK_INTERVAL_S = 1.0  # between checks for items without progress
STUCK_LOG_INTERVAL_S = 5.0  # between log lines about items without progress

log = logging.getLogger("storage")


class StorageService:
    def __init__(self, settings: TierSettings, store: LmdbStore, node: NodeRecord) -> None:
        self._settings = settings
        self._store = store
        self._node = node
        self._rng = random.Random(node.identity)
        self.tables = Tables()
        self._routes: RouteTable | None = None
        replicas_needed = copies_needed(settings.fault_tolerance)
        self._host = ReplicaHost(
            store,
            node,
            self._rng,
            GroupSize(replicas_needed, replicas_needed),
            self._on_replica_change,
            settings.catch_up_s,
        )
        self.group = self._host.group
        self.group.roster.prefers_same_zones = not settings.zone_fault_tolerance
        self._jobs = JobTable(store)
        self._dispatcher = Dispatcher(self._jobs)
        self._progress_monitor = ProgressMonitor()
        self._next_progress_check = 0.0
        self._batch_endpoints: frozenset[str] = frozenset()  # of services of batch routes
        self._next_stuck_log = 0.0
        self._sessions: dict[Connection, WorkerSession] = {}
        self._connections: dict[WorkerSession, Connection] = {}
        self._epoch = 0
        self._leading_since = 0.0
        self._spending = SpendingClient(self._send_lease_request)
        self._session = ControlSession(
            node,
            self.tables,
            self._control_nodes,
            self._on_tables,
            self._complete_ping,
            self._spending.on_lease_answer,
            self._on_load,
        )
        self._batch_calls = BatchCalls(
            self._jobs,
            self.group,
            self._spending,
            self._limits_for,
            self._has_space,
            self._assign_items,
            self._on_job_ended,
        )
        self._tasks = TaskSet()
        self._dead_letters = DeadLetterTask(
            self._jobs, self.group, self._known_routes, self._on_dead_letter, settings.status_ttl_s
        )
        loop = asyncio.get_running_loop()
        self._loops = [
            loop.create_task(self._dispatch_forever()),
            loop.create_task(self._dead_letters.run_forever()),
        ]

    def _now(self) -> float:
        return self.group.now()

    def _control_nodes(self) -> list[str]:
        port = self._settings.first_port
        seeds = [f"{address.parse_host_port(s).host}:{port}" for s in self._settings.seeds]
        return control_candidates(self.tables, seeds, self._settings.zone, self._rng.shuffle)

    def _send_lease_request(self, request: LeaseRequest) -> bool:
        return self._session.send(request)

    def _complete_ping(self, ping: SessionPing) -> SessionPing:
        replica = self.group.replica
        if not replica.membership_committed(self._now()):
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
        self._update_endpoints()
        if self._routes is not None:
            self._spending.set_tenants(self._routes.tenants, self.tables.spending.exhausted)
        for node in nodes.nodes:
            if node.role == "storage" and node.identity:
                self.group.ensure_link(address_of(node.identity))
        founding_members = nodes.storage_group
        if self._node.identity in founding_members and self._store.is_empty:
            self.group.replica.bootstrap(founding_members)
        orders = nodes.retirements
        self.group.roster.retired = frozenset(i for order in orders for i in order.identities)
        self.group.roster.retired_nodes = frozenset(order.node for order in orders if not order.done)

    def _update_endpoints(self) -> None:
        """Update the endpoints that run items: those of the services of batch routes."""
        if self._routes is None:
            return
        batch_routes = [route for route in self._routes.by_name.values() if route.kind == "batch"]
        services = {name for route in batch_routes for name, _ in route.services}
        ready = [e for e in self.tables.endpoints.endpoints if e.ready and e.service in services]
        self._batch_endpoints = frozenset(e.id for e in ready)
        self._dispatcher.scheduler.set_endpoints(len(ready), sum(e.capacity for e in ready))

    def _on_load(self, calls: Mapping[str, int]) -> None:
        """Apply the number of calls that all sidecars have in flight, by endpoint."""
        batch_calls = sum(count for endpoint, count in calls.items() if endpoint in self._batch_endpoints)
        self._dispatcher.scheduler.update_load(self._now(), batch_calls)

    # --- connections ---

    def on_message(self, connection: Connection, message: Message) -> None:
        if self._host.on_message(connection, message):
            return
        if not self.group.leads():
            connection.send(Redirect(self.group.replica.primary or ""))
        elif isinstance(message, WorkerOpen):
            self._open_session(connection, message)
        elif isinstance(message, BatchCall):
            self._tasks.start(self._answer_call(connection, message), connection.close)
        else:
            self._on_worker_message(connection, message)

    def _open_session(self, connection: Connection, message: WorkerOpen) -> None:
        session = self._dispatcher.open_session(self._now(), message)
        self._sessions[connection] = session
        connection.peer_zone = message.zone
        connection.peer_support = message.support
        self._connections[session] = connection
        self._send_outbox()

    def _on_worker_message(self, connection: Connection, message: Message) -> None:
        """Handle a sidecar's message about its items."""
        session = self._sessions.get(connection)
        if session is None:
            return
        if isinstance(message, WorkerReport):
            self._dispatcher.report(self._now(), session, message)
            self._send_outbox()
        elif isinstance(message, ItemStarted):
            self._dispatcher.item_started(self._now(), session, message.key)
            self._assign_items()
        elif isinstance(message, ItemFinished):
            self._tasks.start(self._finish_item(session, message), connection.close)
        elif isinstance(message, ItemReturned):
            self._dispatcher.item_returned(self._now(), session, message)
            if message.errors:
                self._tasks.start(self._commit_error_counts(message.key.job), connection.close)
            self._assign_items()

    def on_closed(self, connection: Connection) -> None:
        self._host.on_closed(connection)
        session = self._sessions.pop(connection, None)
        if session is not None:
            self._connections.pop(session, None)
            self._dispatcher.session_closed(self._now(), session)

    def _send_outbox(self) -> None:
        """Send the dispatcher's pending messages and log the items that it has reclaimed."""
        outbox, self._dispatcher.outbox = self._dispatcher.outbox, []
        for session, message in outbox:
            connection = self._connections.get(session)
            if connection is not None:
                connection.send(message)
        reclaimed, self._dispatcher.reclaimed = self._dispatcher.reclaimed, []
        for node, reason, items in reclaimed:
            log.info("%s %s %d items; queued again: %s ...", node, reason.value, len(items), items[0])

    # --- primary ---

    def _on_replica_change(self) -> None:
        replica = self.group.replica
        if replica.epoch != self._epoch and self.group.leads():
            self._epoch = replica.epoch
            self._leading_since = self._now()
            self._dispatcher.begin(self._now(), replica.epoch)
            self._batch_calls.begin_epoch(replica.epoch)
            log.info("leads epoch %d with %d jobs", replica.epoch, len(self._jobs.jobs))
        if not self.group.leads() and self._connections and replica.primary != self._node.identity:
            for connection in list(self._connections.values()):
                connection.send(Redirect(replica.primary or ""))
                connection.close()

    # --- calls ---

    async def _answer_call(self, connection: Connection, message: BatchCall) -> None:
        connection.send(await self._batch_calls.handle(message))

    def _limits_for(self, name: str) -> BatchLimits | None:
        if self._routes is None or (route := self._routes.by_name.get(name)) is None:
            return None
        return BatchLimits(
            name,
            route.window_ms / 1000,
            route.retention_s,
            route.max_attempts,
            route.max_queued_tokens,
            self._routes.max_header_bytes,
        )

    def _has_space(self, body_bytes: int) -> bool:
        """Whether the store has room for the body and all expected results.

        A primary whose writes fail steps down, and the next one would have just as little space.
        """
        needed = self._store.used_bytes + body_bytes + self._jobs.expected_bytes()
        return needed < MAX_STORE_FRACTION * self._store.limit_bytes

    def _on_job_ended(self, job: str) -> None:
        self._dispatcher.cancel_job(job)
        self._send_outbox()

    # --- items ---

    async def _finish_item(self, session: WorkerSession, message: ItemFinished) -> None:
        try:
            await self.group.commit(lambda: self._dispatcher.finish_item(self._now(), session, message))
        except (NotPrimary, CommitOutcomeUnknown):
            return  # the sidecar reports it again, here or to the next primary
        if self._dispatcher.result_committed(session, message.key):
            self._batch_calls.notify_readers(message.key.job)
        self._send_outbox()
        self._assign_items()

    async def _commit_error_counts(self, job: str) -> None:
        """Replicate the failure counts of a job's items, so that the next primary has them."""
        try:
            await self.group.commit(lambda: self._jobs.error_writes(job))
        except (NotPrimary, CommitOutcomeUnknown):
            return

    async def _dispatch_forever(self) -> None:
        while True:
            await asyncio.sleep(DISPATCH_INTERVAL_S)
            try:
                self._run_due_work()
            except Exception as error:  # the task must go on, or no item would be assigned again
                log.error("dispatch loop failed: %r", error)
                await asyncio.sleep(ERROR_PAUSE_S)

    def _run_due_work(self) -> None:
        """Update the roster, and run the periodic work of the primary."""
        self.group.roster.retirements_known = self._session.is_fresh()
        if not self.group.leads():
            return
        now = self._now()
        self._dispatcher.tick(now)
        for session in self._dispatcher.timed_out_sessions(now):
            log.info("session of %s timed out: no message received", session.node)
            self._connections[session].close()
        self._send_outbox()
        self._assign_items()
        self._check_progress()

    def _check_progress(self) -> None:
        """Check for items without progress and log a warning for on-call staff."""
        now = self._now()
        if now < self._next_progress_check:
            return
        self._next_progress_check = now + PROGRESS_CHECK_INTERVAL_S
        self._progress_monitor.refresh(now, time.time(), self._jobs)
        summary = self._progress_monitor.summary(now)
        if summary and now >= self._next_stuck_log:
            self._next_stuck_log = now + STUCK_LOG_INTERVAL_S
            log.warning("%s; %s", summary, self._dispatcher.scheduler.status(now))

    def metrics(self) -> list[str]:
        """Metrics of this node, one per line."""
        replica = self.group.replica
        lines = [
            f"leads {self.group.leads():d}",
            f"epoch {replica.epoch}",
            f"version {replica.version_or_zero}",
            f"store_broken {self._store.broken:d}",
            f"committed {replica.committed}",
            f"form {replica.record_format}",
            f"store_used_bytes {self._store.used_bytes}",
            f"store_limit_bytes {self._store.limit_bytes}",
            *TRAFFIC.metric_lines(),
            *WIRE_COUNTS.metric_lines(),
        ]
        if not self.group.leads():
            return lines
        lines += health_metric_lines(self.group.replica.health(self._now()))
        lines += [f"jobs {len(self._jobs.jobs)}", f"sessions {len(self._connections)}"]
        scheduler_status = self._dispatcher.scheduler.status(self._now())
        lines += [
            f"sidecars_paused {scheduler_status.paused}",
            f"sidecars_full {scheduler_status.full}",
            f"sidecars_stuck {scheduler_status.stuck}",
        ]
        lines += [f'items_returned{{reason="{r.value}"}} {n}' for r, n in scheduler_status.returns.items()]
        for worker in self._dispatcher.scheduler.workers.values():
            lines.append(metric_line("window", f"{worker.window:.1f}", node=worker.node))
        return lines + self._progress_monitor.metric_lines(self._now())

    def _assign_items(self) -> None:
        if self.group.leads():
            self._dispatcher.assign_items(self._now(), time.time())
            self._send_outbox()

    # --- dead letters ---

    def _known_routes(self) -> set[str] | None:
        """Return the names of the active routes, or None if they are not known for certain.

        An earlier primary may have accepted a job for a new route that is not known here yet. A table that
        is fresh was current at some time within the freshness bound. Once this node has been primary for
        longer than that bound, the table therefore includes every route known to earlier primaries.
        """
        leading_long_enough = self._now() - self._leading_since > MAX_TABLE_AGE_S
        if self._routes is None or not leading_long_enough or not self._session.is_fresh():
            return None
        return set(self._routes.by_name)

    def _on_dead_letter(self, key: ItemKey) -> None:
        """Handle an item whose dead letter is committed."""
        self._dispatcher.scheduler.forget(key)
        if self._jobs.mark_result_committed(key):
            self._batch_calls.notify_readers(key.job)

    async def stop(self) -> None:
        await self._host.stop()
