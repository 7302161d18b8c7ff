"""Who runs which item: the storage primary's sessions with sidecars, compared with what they hold.

Pure: it is told the time and what arrives, and leaves what is to be sent in `outbox`. Nothing is judged once
and for all: a sidecar that has gone is looked for until its items have been taken back, and what a sidecar
says that it holds is compared with the table again and again. So each item of a committed job is, within the
bounds of docs/control-guarantees.md, held by a sidecar that says so, or waits to be given out.
"""

from __future__ import annotations

from enum import Enum
from itertools import islice
from typing import NamedTuple

from eiderhub.batch.jobs import Item, ItemState, JobTable
from eiderhub.batch.messages import (
    SILENT_S,
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
from eiderhub.batch.scheduler import Round, Scheduler
from eiderhub.batch.turns import LateStarts, Turns, is_safe
from eiderhub.batch.workers import Standing
from eiderhub.coordination.messages import Write
from eiderhub.coordination.wire import OWN_SUPPORT

# While a job moves nowhere, sidecars not answered lately are asked so often to probe an endpoint.
PROBE_S = 0.5
RETURN_S = 0.8  # sidecars have so long to announce what they run, after a new primary or a lost session


class Why(Enum):
    """Why items were taken back from a sidecar."""

    NOT_HELD = "does not hold"
    GONE = "is gone with"


class Repair(NamedTuple):
    """Items that were taken back from a sidecar; for the log."""

    node: str
    why: Why
    items: list[ItemKey]


class Session:
    """One sidecar's session with this primary."""

    __slots__ = ("heard_at", "node", "orders")

    def __init__(self, node: str, now: float) -> None:
        self.node = node
        self.heard_at = now
        self.orders = 0  # `RunItem`s sent


class Outgoing(NamedTuple):
    session: Session
    message: BatchMessage


class Dispatcher:
    """Of one storage node, while it leads."""

    def __init__(self, table: JobTable) -> None:
        self.table = table
        self.scheduler = Scheduler(table.load_of)
        self.outbox: list[Outgoing] = []
        self.repairs: list[Repair] = []
        self._sessions: dict[str, Session] = {}  # by node
        self._gone: dict[str, float] = {}  # nodes without a session, and when their items are taken back
        self._epoch = 0
        self._give_from = 0.0
        self._late_starts = LateStarts()
        self._next_probes = 0.0

    def begin(self, now: float, epoch: int) -> None:
        """Lead a new epoch: the table is what the store holds, and sidecars say what they hold."""
        self.table.load()
        self.scheduler.reset()
        self._epoch = epoch
        self._gone.clear()
        self._give_from = now + RETURN_S

    def _send(self, session: Session, message: BatchMessage) -> None:
        self.outbox.append(Outgoing(session, message))

    # --- sessions ---

    def open(self, now: float, message: WorkerOpen) -> Session:
        """A sidecar has opened a session; an earlier one of its name is not heard any more."""
        session = Session(message.node, now)
        self._sessions[message.node] = session
        self._gone.pop(message.node, None)
        self._send(session, WorkerAccepted(self._epoch, OWN_SUPPORT))
        self.scheduler.join(now, message.node, message.zone, message.reach)
        for item in self.table.running_at(message.node):
            item.order = 0  # of an earlier session
        self._compare(session, 0, message.running)
        return session

    def is_current(self, session: Session) -> bool:
        return self._sessions.get(session.node) is session

    def closed(self, now: float, session: Session) -> None:
        """The session is over; its sidecar may come back."""
        if self.is_current(session):
            del self._sessions[session.node]
            self.scheduler.leave(session.node)
            self._gone[session.node] = now + RETURN_S

    def report(self, now: float, session: Session, message: WorkerReport) -> None:
        """A sidecar says what it holds."""
        if not self.is_current(session):
            return
        session.heard_at = now
        if message.answered:
            self.scheduler.answered(now, session.node)
        self.scheduler.routes_by(session.node, message.generation)
        self._compare(session, message.received, message.held)
        self._send(session, WorkerReported())

    def _compare(self, session: Session, received: int, named: list[ItemKey]) -> None:
        """Have the table and the sidecar hold the same, but for orders that it had not read when it spoke."""
        held = set(named)
        read = [item for item in self.table.running_at(session.node) if item.order <= received]
        self._take_back(session.node, Why.NOT_HELD, [item for item in read if item.key not in held])
        for key in named:
            if not self.table.announced(session.node, key):
                self._send(session, CancelItem(key))

    def silent(self, now: float) -> list[Session]:
        """Sessions whose sidecars have said nothing for too long; they are to be closed."""
        return [s for s in self._sessions.values() if now - s.heard_at > SILENT_S]

    def tick(self, now: float) -> None:
        """Let time pass, while this node leads: take back what sidecars ran that have not come back."""
        for node in self.table.running_nodes():
            if node not in self._sessions:
                self._gone.setdefault(node, now + RETURN_S)
        for node in [node for node, until in self._gone.items() if now >= until]:
            del self._gone[node]
            self._take_back(node, Why.GONE, self.table.running_at(node))
        if now >= self._next_probes:
            self._next_probes = now + PROBE_S
            self._ask_for_probes(now)

    def _ask_for_probes(self, now: float) -> None:
        """Where a job moves nowhere, have sidecars find out whether they reach endpoints."""
        moving = self.table.jobs_at(self.scheduler.moving())
        if all(is_safe(now, job, moving) for job in self.table.open_jobs()):
            return
        for session in self._sessions.values():
            if not self.scheduler.was_answered_lately(now, session.node):
                self._send(session, ProbeEndpoints())

    def _take_back(self, node: str, why: Why, items: list[Item]) -> None:
        for item in items:
            self._release(item)
        if items:
            self.repairs.append(Repair(node, why, [item.key for item in items]))

    # --- items ---

    def _release(self, item: Item) -> None:
        self.scheduler.released(item.key)
        self.table.release(item)

    def give_out(self, now: float, wall: float) -> None:
        """Have as many items run as there is room for."""
        if now < self._give_from:
            return
        round_ = self.scheduler.round(now)
        if not round_.has_room:
            return
        turns = Turns(now, wall, self.scheduler.run_s, self.table, self.scheduler.moving())
        for job in turns.idle(self._late_starts):
            for item in islice(job.runnable(), 1):
                if self._give(now, wall, item, round_, turns):
                    self._late_starts.started(ahead=turns.is_ahead(job))
        for job in turns.in_order():
            for item in list(job.runnable()):
                if not self._give(now, wall, item, round_, turns):
                    break
                self._late_starts.started(ahead=False)
            if not round_.has_room:
                return

    def _give(self, now: float, wall: float, item: Item, round_: Round, turns: Turns) -> bool:
        """Give an item out, if there is a sidecar for it."""
        failures = self.scheduler.failures(item.key)
        worker = round_.choose(item.job.record.route, failures, turns.is_safe(item.job))
        if worker is None:
            return False
        session = self._sessions[worker.node]
        tries = self.scheduler.tries(item.key)
        order = self.table.start(wall, item, worker.node, session.orders + 1, tries)
        session.orders += 1
        round_.given(worker)
        if worker.standing is Standing.MOVING:
            turns.note_moving(item.job)
        self.scheduler.given(now, item.key, worker)
        self._send(session, order)
        return True

    def started(self, now: float, session: Session, key: ItemKey) -> None:
        """An item's first event has come."""
        item = self.table.find(key)
        if item is not None and item.node == session.node:
            item.job.begun += 1
            item.job.moved_at = now
            self.scheduler.started(now, session.node, key)

    def finish(self, now: float, session: Session, message: ItemFinished) -> list[Write]:
        """A sidecar has an item's result; what to write, nothing where it has been taken before."""
        item = self.table.find(message.key)
        node = item.node if item is not None else ""
        if node == session.node:
            self.scheduler.finished(now, node, message.key)
        writes = self.table.finish(message.key, message.succeeded, message.text)
        if item is not None and writes:
            item.job.moved_at = now
            self.scheduler.forget(message.key)
            if node not in ("", session.node):
                self._cancel(node, message.key)
        return writes

    def stored(self, session: Session, key: ItemKey) -> bool:
        """An item's result is committed; whether readers have something new."""
        news = self.table.listed(key)
        self._send(session, ItemStored(key))
        return news

    def returned(self, now: float, session: Session, message: ItemReturned) -> None:
        """A sidecar does not run an item any more."""
        if not self.is_current(session):
            return
        item = self.table.returned(session.node, message.key, message.errors, message.progress)
        if item is not None:
            route = item.job.record.route
            self.scheduler.returned(now, session.node, message.key, route, message.reason)
            if message.errors:
                self.scheduler.answered(now, session.node)

    def cancel_job(self, job_id: str) -> None:
        """The job's end is committed: nobody runs its items any more."""
        job = self.table.jobs.get(job_id)
        for item in job.items.values() if job is not None else ():
            self.scheduler.forget(item.key)
            if item.state is ItemState.RUNNING:
                node = item.node
                self._release(item)
                self._cancel(node, item.key)

    def _cancel(self, node: str, key: ItemKey) -> None:
        session = self._sessions.get(node)
        if session is not None:
            self._send(session, CancelItem(key))
