"""Assigns items to sidecars, and reconciles the job table with the items that the sidecars report.

Performs no I/O: callers pass the time and messages, and send what is put in `outbox`. Every check is
repeated: a disconnected sidecar is tracked until its items have been reclaimed, and each report of a sidecar
is compared with the table. So within the bounds of docs/control-guarantees.md each item of a committed job is
held by a sidecar that reports it, or waits to be assigned.
"""

from __future__ import annotations

from enum import Enum
from itertools import islice
from typing import NamedTuple

from eiderhub.batch.job_order import JobOrder, LateStartBudget, is_progressing
from eiderhub.batch.jobs import Item, ItemState, JobTable
from eiderhub.batch.messages import (
    SESSION_TIMEOUT_S,
    BatchMessage,
    CancelItem,
    ItemFinished,
    ItemKey,
    ItemReturned,
    ItemStored,
    ProbeEndpoints,
    WorkerAccepted,
    WorkerOpen,
    WorkerReport,
    WorkerReported,
)
from eiderhub.batch.scheduler import AssignmentRound, Scheduler
from eiderhub.batch.workers import WorkerHealth
from eiderhub.coordination.messages import Write
from eiderhub.coordination.wire import OWN_SUPPORT

# While a job makes no progress, sidecars without a recent endpoint answer are asked this often to probe one.
PROBE_INTERVAL_S = 0.5
RECONNECT_GRACE_S = 0.8  # time to announce running items after a new primary or a lost session


class ReclaimReason(Enum):
    """Why items were reclaimed from a sidecar."""

    NOT_HELD = "does not hold"
    DISCONNECTED = "is gone with"


class ReclaimedItems(NamedTuple):
    """Items that were reclaimed from a sidecar; for the log."""

    node: str
    reason: ReclaimReason
    items: list[ItemKey]


class WorkerSession:
    """One sidecar's session with this primary."""

    __slots__ = ("last_message_at", "node", "orders_sent")

    def __init__(self, node: str, now: float) -> None:
        self.node = node
        self.last_message_at = now
        self.orders_sent = 0  # number of `RunItem` messages


class OutgoingMessage(NamedTuple):
    session: WorkerSession
    message: BatchMessage


class Dispatcher:
    """The dispatcher of one storage node, in use while the node is the primary."""

    def __init__(self, table: JobTable) -> None:
        self.table = table
        self.scheduler = Scheduler(table.running_count)
        self.outbox: list[OutgoingMessage] = []
        self.reclaimed: list[ReclaimedItems] = []
        self._sessions: dict[str, WorkerSession] = {}  # by node
        # Nodes without a session, and when their items are reclaimed.
        self._disconnected: dict[str, float] = {}
        self._epoch = 0
        self._assign_from = 0.0
        self._late_start_budget = LateStartBudget()
        self._next_probe_at = 0.0

    def begin(self, now: float, epoch: int) -> None:
        """Start a new epoch: reload the table from the store; sidecars then announce their items."""
        self.table.load()
        self.scheduler.reset()
        self._epoch = epoch
        self._disconnected.clear()
        self._assign_from = now + RECONNECT_GRACE_S

    def _send(self, session: WorkerSession, message: BatchMessage) -> None:
        self.outbox.append(OutgoingMessage(session, message))

    # --- sessions ---

    def open_session(self, now: float, message: WorkerOpen) -> WorkerSession:
        """A sidecar has opened a session; it replaces an earlier session of that name."""
        session = WorkerSession(message.node, now)
        self._sessions[message.node] = session
        self._disconnected.pop(message.node, None)
        self._send(session, WorkerAccepted(self._epoch, OWN_SUPPORT))
        self.scheduler.add_worker(now, message.node, message.zone, message.reach)
        for item in self.table.running_at(message.node):
            item.order_number = 0  # sent in an earlier session
        self._reconcile(session, 0, message.running)
        return session

    def is_current(self, session: WorkerSession) -> bool:
        return self._sessions.get(session.node) is session

    def session_closed(self, now: float, session: WorkerSession) -> None:
        """The session has ended; its sidecar may reconnect within the grace period."""
        if self.is_current(session):
            del self._sessions[session.node]
            self.scheduler.remove_worker(session.node)
            self._disconnected[session.node] = now + RECONNECT_GRACE_S

    def report(self, now: float, session: WorkerSession, message: WorkerReport) -> None:
        """A sidecar reports the items that it holds."""
        if not self.is_current(session):
            return
        session.last_message_at = now
        if message.answered:
            self.scheduler.endpoint_answered(now, session.node)
        self.scheduler.set_generation(session.node, message.generation)
        self._reconcile(session, message.received, message.held)
        self._send(session, WorkerReported())

    def _reconcile(self, session: WorkerSession, received: int, announced: list[ItemKey]) -> None:
        """Make the table and the sidecar agree, except for orders that it had not yet received."""
        held = set(announced)
        expected = [item for item in self.table.running_at(session.node) if item.order_number <= received]
        self._reclaim(
            session.node, ReclaimReason.NOT_HELD, [item for item in expected if item.key not in held]
        )
        for key in announced:
            if not self.table.confirm_running(session.node, key):
                self._send(session, CancelItem(key))

    def timed_out_sessions(self, now: float) -> list[WorkerSession]:
        """Sessions to be closed because their sidecars have sent nothing for too long."""
        return [s for s in self._sessions.values() if now - s.last_message_at > SESSION_TIMEOUT_S]

    def tick(self, now: float) -> None:
        """Reclaim the items of sidecars that have not reconnected in time, and request probes when due."""
        for node in self.table.running_nodes():
            if node not in self._sessions:
                self._disconnected.setdefault(node, now + RECONNECT_GRACE_S)
        for node in [node for node, reclaim_at in self._disconnected.items() if now >= reclaim_at]:
            del self._disconnected[node]
            self._reclaim(node, ReclaimReason.DISCONNECTED, self.table.running_at(node))
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL_S
            self._request_probes(now)

    def _request_probes(self, now: float) -> None:
        """If a job makes no progress, have sidecars check whether they reach endpoints."""
        progressing_jobs = self.table.jobs_at(self.scheduler.progressing_nodes())
        if all(is_progressing(now, job, progressing_jobs) for job in self.table.open_jobs()):
            return
        for session in self._sessions.values():
            if not self.scheduler.is_reachable(now, session.node):
                self._send(session, ProbeEndpoints())

    def _reclaim(self, node: str, reason: ReclaimReason, items: list[Item]) -> None:
        for item in items:
            self._requeue(item)
        if items:
            self.reclaimed.append(ReclaimedItems(node, reason, [item.key for item in items]))

    # --- items ---

    def _requeue(self, item: Item) -> None:
        self.scheduler.item_unassigned(item.key)
        self.table.requeue(item)

    def assign_items(self, now: float, wall_time: float) -> None:
        """Assign as many waiting items as the sidecars have free slots for."""
        if now < self._assign_from:
            return
        round_ = self.scheduler.new_round(now)
        if not round_.has_free_slots:
            return
        job_order = JobOrder(
            now, wall_time, self.scheduler.mean_run_s, self.table, self.scheduler.progressing_nodes()
        )
        for job in job_order.idle_jobs(self._late_start_budget):
            for item in islice(self.table.runnable(job), 1):
                if self._assign(now, wall_time, item, round_, job_order):
                    self._late_start_budget.record_start(overtaking=job_order.overtakes(job))
        for job in job_order.waiting_jobs():
            for item in list(self.table.runnable(job)):
                if not self._assign(now, wall_time, item, round_, job_order):
                    break
                self._late_start_budget.record_start(overtaking=False)
            if not round_.has_free_slots:
                return

    def _assign(
        self, now: float, wall_time: float, item: Item, round_: AssignmentRound, job_order: JobOrder
    ) -> bool:
        """Assign an item; returns whether there was a sidecar for it."""
        returns = self.scheduler.item_returns(item.key)
        worker = round_.choose(item.job.record.route, returns, job_order.is_progressing(item.job))
        if worker is None:
            return False
        session = self._sessions[worker.node]
        stalls = self.scheduler.stall_count(item.key)
        order = self.table.start(wall_time, item, worker.node, session.orders_sent + 1, stalls)
        session.orders_sent += 1
        round_.record_assignment(worker)
        if worker.health is WorkerHealth.PROGRESSING:
            job_order.mark_progressing(item.job)
        self.scheduler.item_assigned(now, item.key, worker)
        self._send(session, order)
        return True

    def item_started(self, now: float, session: WorkerSession, key: ItemKey) -> None:
        """The first event of an item has arrived at a sidecar."""
        item = self.table.find(key)
        if item is not None and item.node == session.node:
            item.job.starts += 1
            item.job.progressed_at = now
            self.scheduler.item_started(now, session.node, key)

    def finish_item(self, now: float, session: WorkerSession, message: ItemFinished) -> list[Write]:
        """A sidecar has the result of an item; returns the writes, none if there is a result already."""
        item = self.table.find(message.key)
        node = item.node if item is not None else ""
        if node == session.node:
            self.scheduler.item_finished(now, node, message.key)
        writes = self.table.finish(message.key, message.succeeded, message.text)
        if item is not None and writes:
            item.job.progressed_at = now
            self.scheduler.forget(message.key)
            if node not in ("", session.node):
                self._cancel(node, message.key)
        return writes

    def result_committed(self, session: WorkerSession, key: ItemKey) -> bool:
        """The result of an item is committed; returns whether readers have something new."""
        newly_committed = self.table.mark_result_committed(key)
        self._send(session, ItemStored(key))
        return newly_committed

    def item_returned(self, now: float, session: WorkerSession, message: ItemReturned) -> None:
        """A sidecar no longer runs an item."""
        if not self.is_current(session):
            return
        item = self.table.item_returned(session.node, message.key, message.errors, message.progress)
        if item is not None:
            route = item.job.record.route
            self.scheduler.item_returned(now, session.node, message.key, route, message.reason)
            if message.errors:
                self.scheduler.endpoint_answered(now, session.node)

    def cancel_job(self, job_id: str) -> None:
        """The end of the job is committed: cancel its items."""
        job = self.table.jobs.get(job_id)
        for item in job.items.values() if job is not None else ():
            self.scheduler.forget(item.key)
            if item.state is ItemState.RUNNING:
                node = item.node
                self._requeue(item)
                self._cancel(node, item.key)

    def _cancel(self, node: str, key: ItemKey) -> None:
        session = self._sessions.get(node)
        if session is not None:
            self._send(session, CancelItem(key))
