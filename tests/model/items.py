"""Simulates batch items in virtual time under random schedules of faults.

The job table, the dispatcher and the item trackers are those of the product. The rest is modelled: a store
that commits in order and with a delay, and may lose uncommitted writes when the epoch ends; ordered links
that break or stop delivering, and whose two ends detect this at different times; sidecars whose attempts end
with random outcomes.
"""

from __future__ import annotations

import base64
import random
from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import NamedTuple

import msgspec

from eiderhub.batch.dispatch import Dispatcher, ReclaimReason, WorkerSession
from eiderhub.batch.item_tracker import ItemTracker, OrderResult
from eiderhub.batch.job_ids import JOB_PREFIX, RESULT_PREFIX
from eiderhub.batch.jobs import BatchLimits, JobTable, ResultRecord
from eiderhub.batch.messages import (
    BatchMessage,
    CancelItem,
    ItemFinished,
    ItemKey,
    ItemReturned,
    ItemStarted,
    ItemStored,
    ProbeEndpoints,
    Redirect,
    ReturnReason,
    RunItem,
    WorkerAccepted,
    WorkerOpen,
    WorkerReport,
)
from eiderhub.control.errors import Refusal
from eiderhub.coordination.messages import Position, Update, Write
from eiderhub.storage.store import MemoryStore
from tests.model.clock import Timeline

SIDECAR_COUNT = 4
ENDPOINT_COUNT, ENDPOINT_SLOTS = 40, 80
JOB_LIMITS = BatchLimits("lots", 10.0, 1_000.0, 3, 0.0)
ACCEPT_TIMEOUT_S = 0.6
RECONNECT_INTERVAL_S = 0.1
SESSION_TICK_S = 0.25
SILENT_ATTEMPT_TIMEOUT_S = 4.0
QUEUE_TIMEOUT_S = 1.0  # for an item that no endpoint accepts
READ_INTERVAL_S = 0.5
LATE_CHECK_SHARE = 0.02  # share of repeated lease checks that happen after the lease has ended
FAULT_PERIOD_S = 15.0  # at the start of each schedule
RECOVERY_PERIOD_S = 30.0  # after the fault period; all items must have a result at its end
MAX_DELAY_S = 0.02
MAX_CLOSE_NOTICE_S = 2.0  # until an end detects that its connection has broken
# An item is left idle if, in the recovery period, no endpoint has worked on it for MAX_ITEM_IDLE_S and no
# result at all has been committed for RECENT_RESULT_S.
MAX_ITEM_IDLE_S, RECENT_RESULT_S = 5.0, 3.0
MAX_FAULT_S = 5.0  # longest duration of a temporary fault; none remains this long after the fault period
IDLE_CHECK_INTERVAL_S = 0.25


class InvariantViolation(AssertionError):
    """An invariant of the model does not hold."""


class Link:
    """One connection between a sidecar and the primary; messages of each direction stay in order."""

    def __init__(self, world: World, sidecar: SidecarProcess, group: StorageGroup) -> None:
        self._world = world
        self.sidecar = sidecar
        self.group = group
        self.session: WorkerSession | None = None
        self.in_transit: list[BatchMessage] = []  # messages sent to the sidecar, not yet delivered
        self._last_arrivals = {"up": 0.0, "down": 0.0}
        self.delivers = True
        self.open_at_sidecar = self.open_at_group = True

    def _arrival_time(self, direction: str, receiver_free_at: float) -> float:
        now = self._world.timeline.now
        arrival = max(
            self._last_arrivals[direction],
            now + self._world.rng.uniform(0.0005, MAX_DELAY_S),
            receiver_free_at,
        )
        self._last_arrivals[direction] = arrival
        return arrival

    def send_up(self, message: BatchMessage) -> None:
        """Send a message of the sidecar to the primary."""
        if not self.open_at_sidecar:
            return

        def arrive() -> None:
            if self.delivers and self.open_at_group:
                self.group.receive(self, message)

        self._world.timeline.at(self._arrival_time("up", 0.0), arrive)

    def send_down(self, message: BatchMessage) -> None:
        """Send a message of the primary to the sidecar; it waits while the sidecar is frozen."""
        if not self.open_at_group:
            return
        self.in_transit.append(message)

        def arrive() -> None:
            if not self.delivers:
                return
            frozen_until = self.sidecar.frozen_until
            if self._world.timeline.now < frozen_until:
                self._last_arrivals["down"] = max(self._last_arrivals["down"], frozen_until)
                self._world.timeline.at(frozen_until, arrive)
                return
            first = self.in_transit.pop(0)  # not `message`: messages delayed by the freeze keep their order
            if self.open_at_sidecar:
                self.sidecar.receive(self, first)

        self._world.timeline.at(self._arrival_time("down", self.sidecar.frozen_until), arrive)

    def break_connection(self) -> None:
        """Lose the messages in transit; each end detects the break after a random delay."""
        self.delivers = False
        for close in (self.close_at_sidecar, self.close_at_group):
            self._world.timeline.after(self._world.rng.uniform(0.0, MAX_CLOSE_NOTICE_S), close)

    def close_at_sidecar(self) -> None:
        """Close the sidecar's end: it closes the connection itself or detects that it is closed."""
        if self.open_at_sidecar:
            self.open_at_sidecar = False
            self.sidecar.link_closed(self)
            self._world.timeline.at(self._arrival_time("up", 0.0), self.close_at_group)

    def close_at_group(self) -> None:
        """Close the primary's end."""
        if self.open_at_group:
            self.open_at_group = False
            self.group.link_closed(self)
            if self.delivers:
                self._world.timeline.at(self._arrival_time("down", 0.0), self.close_at_sidecar)


class PendingCommit(NamedTuple):
    """Writes that the primary has applied and that no majority has confirmed yet."""

    epoch: int
    writes: list[Write]
    on_commit: Callable[[], None]


class StorageGroup:
    """The current primary of each epoch: its job table, its dispatcher and the replicated store."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.store = MemoryStore()  # the primary's own replica: committed and uncommitted writes
        self._committed = MemoryStore()  # the writes that every later primary has
        self.table = JobTable(self.store)
        self.dispatcher = Dispatcher(self.table)
        self.epoch = 1
        self.has_primary = True
        self.lapsed_until = 0.0
        self._links: dict[WorkerSession, Link] = {}
        self._pending: list[PendingCommit] = []
        self._last_commit = 0.0
        self.dispatcher.scheduler.set_endpoints(ENDPOINT_COUNT, ENDPOINT_SLOTS)
        self.dispatcher.begin(0.0, self.epoch)
        self._tick()
        self.read_results()

    def is_primary(self) -> bool:
        """Whether there is a primary and its lease is valid."""
        return self.has_primary and self._world.timeline.now >= self.lapsed_until

    def is_primary_on_recheck(self) -> bool:
        """Whether a second check of the lease succeeds; after a delay of the process it may have ended."""
        return self.is_primary() and self._world.rng.random() >= LATE_CHECK_SHARE

    # --- the store ---

    def commit(self, change: Callable[[], list[Write]], on_commit: Callable[[], None]) -> None:
        """Do as `GroupDriver.commit`: refuse before the change, or commit, or end with the epoch."""
        if not self.is_primary_on_recheck():
            return
        self.append_writes(change(), on_commit)

    def append_writes(self, writes: list[Write], on_commit: Callable[[], None]) -> None:
        """Apply writes to the primary's replica and commit them after a random delay, in order."""
        timeline = self._world.timeline
        self._apply(self.store, writes)
        self._pending.append(PendingCommit(self.epoch, writes, on_commit))
        commit_at = max(self._last_commit, timeline.now + self._world.rng.uniform(0.002, 0.05))
        self._last_commit = commit_at
        timeline.at(commit_at, self._commit_next)

    def _commit_next(self) -> None:
        if not self._pending:
            return
        if self._world.timeline.now < self.lapsed_until:  # no majority confirms until then
            self._world.timeline.at(self.lapsed_until, self._commit_next)
            return
        first = self._pending.pop(0)
        self._apply(self._committed, first.writes)
        first.on_commit()

    def _apply(self, store: MemoryStore, writes: list[Write]) -> None:
        if writes:
            store.apply([Update(Position(self.epoch, store.position.version + 1), writes)])

    def change_epoch(self) -> None:
        """End the epoch; a random number of pending writes survive, and another primary follows later."""
        if not self.has_primary:
            return
        self.has_primary = False
        surviving_count = self._world.rng.randint(0, len(self._pending))
        for pending in self._pending[:surviving_count]:
            self._apply(self._committed, pending.writes)
        self._pending.clear()
        self.store.data = dict(self._committed.data)
        for link in list(self._links.values()):
            link.send_down(Redirect(""))
            link.close_at_group()
        self._world.timeline.after(self._world.rng.uniform(0.1, 1.5), self._start_epoch)

    def _start_epoch(self) -> None:
        self.epoch += 1
        self.has_primary = True
        self.dispatcher.begin(self._world.timeline.now, self.epoch)

    # --- sessions ---

    def receive(self, link: Link, message: BatchMessage) -> None:
        now = self._world.timeline.now
        if not self.is_primary():
            link.send_down(Redirect(""))
            return
        if isinstance(message, WorkerOpen):
            link.session = self.dispatcher.open_session(now, message)
            self._links[link.session] = link
        elif link.session is None:
            return
        elif isinstance(message, WorkerReport):
            self.dispatcher.report(now, link.session, message)
        elif isinstance(message, ItemStarted):
            self.dispatcher.item_started(now, link.session, message.key)
        elif isinstance(message, ItemFinished):
            self._finish(link.session, message)
        elif isinstance(message, ItemReturned):
            self.dispatcher.item_returned(now, link.session, message)
        self.flush()

    def _finish(self, session: WorkerSession, message: ItemFinished) -> None:
        def done() -> None:
            self.dispatcher.result_committed(session, message.key)
            self._world.last_result_at = self._world.timeline.now
            self.flush()

        self.commit(lambda: self.dispatcher.finish_item(self._world.timeline.now, session, message), done)

    def link_closed(self, link: Link) -> None:
        if link.session is not None:
            self._links.pop(link.session, None)
            self.dispatcher.session_closed(self._world.timeline.now, link.session)

    def flush(self) -> None:
        """Send the dispatcher's messages and check the items that it has reclaimed."""
        outbox, self.dispatcher.outbox = self.dispatcher.outbox, []
        for session, message in outbox:
            link = self._links.get(session)
            if link is not None:
                link.send_down(message)
        reclaims, self.dispatcher.reclaimed = self.dispatcher.reclaimed, []
        for node, reason, items in reclaims:
            if reason is ReclaimReason.NOT_HELD:
                self._check_reclaim(node, items)

    def _check_reclaim(self, node: str, items: list[ItemKey]) -> None:
        """Check that items are reclaimed only from a sidecar that neither has them nor will receive them."""
        link = next((each for each in self._links.values() if each.sidecar.name == node), None)
        if link is None or not link.delivers or link.sidecar.link is not link:
            return
        incoming = {message.key for message in link.in_transit if isinstance(message, RunItem)}
        wrongly_reclaimed = [key for key in items if key in incoming or key in link.sidecar.tracker.keys]
        if wrongly_reclaimed:
            raise InvariantViolation(
                f"{self._world.seed}: {wrongly_reclaimed[0]} is reclaimed from {node}, which has it"
            )

    def _tick(self) -> None:
        now = self._world.timeline.now
        if self.is_primary():
            self.dispatcher.tick(now)
            for session in self.dispatcher.timed_out_sessions(now):
                self._links[session].close_at_group()
            self.dispatcher.assign_items(now, now)
            self.flush()
            for item in self.table.undeliverable_items(now, {JOB_LIMITS.route}):
                self._dead_letter(item.key)
        self._world.timeline.after(0.05, self._tick)

    def _dead_letter(self, key: ItemKey) -> None:
        self.commit(partial(self.table.finish, key, False, ""), partial(self._result_listed, key))

    def _result_listed(self, key: ItemKey) -> None:
        self.table.mark_result_committed(key)

    # --- clients ---

    def read_results(self) -> None:
        """Read the results of all jobs as a client; a result that was read once must not change."""
        for job in self.table.jobs if self.is_primary() else ():
            page = self.table.page(job, 0)
            if not isinstance(page, Refusal):
                for position, result in enumerate(page.results):
                    seen = self._world.results_read.setdefault((job, position), result.id)
                    if seen != result.id:
                        raise InvariantViolation(
                            f"{self._world.seed}: {job} {position} was {seen}, is {result.id}"
                        )
        self._world.timeline.after(READ_INTERVAL_S, self.read_results)

    def submit_job(self, job: str, items: list[str]) -> None:
        """Submit a job as a client; refused without a primary, or if the job exists."""
        if not self.is_primary() or job in self.table.jobs:
            return
        requests = [
            {"id": item, "path": "/", "tokens": 1, "body": base64.b64encode(b"b").decode()} for item in items
        ]
        body = msgspec.json.encode({"requests": requests})
        writes = self.table.submit(self._world.timeline.now, job, JOB_LIMITS, body)
        assert not isinstance(writes, Refusal)

        def done() -> None:
            self.table.mark_committed(job)
            self._world.accepted_jobs[job] = set(items)

        self.commit(lambda: writes, done)

    def end_job(self, job: str) -> None:
        """End a committed job as a client."""
        if not self.table.is_committed(job):
            return

        def done() -> None:
            self.dispatcher.cancel_job(job)
            self.flush()

        self._world.ended_jobs.add(job)  # from the request on, no further results are required
        self.commit(lambda: self.table.end(job), done)


class SidecarProcess:
    """One sidecar: the product's item tracker, and attempts with random outcomes."""

    def __init__(self, world: World, group: StorageGroup, name: str) -> None:
        self._world = world
        self._group = group
        self.name = name
        self.alive = True
        self.frozen_until = 0.0
        self.link: Link | None = None
        self.tracker = ItemTracker(name, "z")
        self._attempts: dict[ItemKey, int] = {}  # serial number of the attempt in flight
        self._progressing: set[ItemKey] = set()  # items that an endpoint is working on
        self._serial = 0
        self.stuck_until = 0.0
        self._maintain_session()

    @property
    def frozen(self) -> bool:
        return self._world.timeline.now < self.frozen_until

    @property
    def stuck(self) -> bool:
        """Whether it accepts items and makes no progress: no endpoint is reachable, or decisions stall."""
        return self._world.timeline.now < self.stuck_until

    def items_in_progress(self) -> list[ItemKey]:
        """The items of this sidecar that endpoints are working on."""
        if not self.alive or self.frozen:
            return []
        return [key for key in self._progressing if key in self._attempts]

    def _schedule(self, delay: float, call: Callable[[], None]) -> None:
        """Call after a delay, later if the process is then frozen, and not if it has ended by then."""
        tracker = self.tracker

        def call_when_running() -> None:
            if self.frozen:
                self._world.timeline.at(self.frozen_until, call_when_running)
            elif self.alive and self.tracker is tracker:
                call()

        self._world.timeline.after(delay, call_when_running)

    def crash(self, resets_connection: bool = True) -> None:
        """End at once; `resets_connection` is false for a loss of power, which the primary can't detect."""
        if self.alive:
            self.alive = False
            self._attempts.clear()
            if self.link is not None:
                self.link.open_at_sidecar = False
                if resets_connection:
                    self.link.break_connection()
                self.link.delivers = False
                self.link = None

    def start(self) -> None:
        """Start again after a crash, without the items held before."""
        if not self.alive:
            self.alive = True
            self.tracker = ItemTracker(self.name, "z")
            self._maintain_session()

    # --- the session ---

    def _maintain_session(self) -> None:
        now = self._world.timeline.now
        if self.link is None:
            self._connect()
        elif self.tracker.is_silent(now):
            self.link.close_at_sidecar()
        else:
            if self._world.stuck_sidecars and not self.stuck:
                self.tracker.endpoint_answered()  # an answer to a live call
            self._send(self.tracker.tick(now))
        self._schedule(RECONNECT_INTERVAL_S if self.link is None else SESSION_TICK_S, self._maintain_session)

    def _connect(self) -> None:
        if self._world.is_unreachable(self) or not self._group.has_primary:
            return
        link = self.link = Link(self._world, self, self._group)
        link.send_up(self.tracker.open_session())

        def give_up() -> None:
            if self.link is link and not self.tracker.accepted:
                link.close_at_sidecar()

        self._schedule(ACCEPT_TIMEOUT_S, give_up)

    def link_closed(self, link: Link) -> None:
        if link is self.link:
            self.link = None
            self.tracker.end_session()

    def receive(self, link: Link, message: BatchMessage) -> None:
        if link is not self.link or not self.alive:
            return
        now = self._world.timeline.now
        self.tracker.message_received(now)
        if isinstance(message, WorkerAccepted):
            self._send(self.tracker.accept_session(now))
        elif isinstance(message, Redirect):
            link.close_at_sidecar()
        elif isinstance(message, RunItem):
            self._run(message)
        elif isinstance(message, CancelItem):
            self.tracker.remove_item(message.key)
            self._attempts.pop(message.key, None)
        elif isinstance(message, ItemStored):
            self.tracker.remove_item(message.key)
        elif isinstance(message, ProbeEndpoints) and not self.stuck:
            self._schedule(
                self._world.rng.uniform(0.001, 0.3), lambda: self._send(self.tracker.probe_answered(now))
            )

    def _send(self, messages: list[BatchMessage]) -> None:
        for message in messages:
            if self.link is not None:
                self.link.send_up(message)

    # --- attempts ---

    def _run(self, order: RunItem) -> None:
        key = order.key
        if self.tracker.receive_order(key) is OrderResult.ALREADY_HELD:
            return
        self._serial += 1
        serial = self._attempts[key] = self._serial
        rng = self._world.rng
        outcome: ItemFinished | ItemReturned = ItemFinished(key, True, "text")
        delay = rng.expovariate(1 / 0.5)
        draw = rng.random()
        self._progressing.discard(key)
        if self.stuck:
            outcome, delay = self._outcome_without_progress(order)
        elif draw < 0.10:
            outcome = ItemReturned(key, ReturnReason.REFUSED, 0)
        elif draw < 0.16:
            outcome = ItemReturned(key, ReturnReason.FAILED, 1)
        elif draw < 0.20 and not self._world.endpoints_are_healthy():
            outcome, delay = ItemReturned(key, ReturnReason.SILENT, 0), SILENT_ATTEMPT_TIMEOUT_S
        else:
            self._progressing.add(key)
            self._schedule(delay / 2, partial(self._item_started, key, serial))

        def ended() -> None:
            if self._attempts.get(key) == serial:
                del self._attempts[key]
                self._progressing.discard(key)
                self._send(self.tracker.mark_ended(self._world.timeline.now, outcome))

        self._schedule(delay, ended)

    def _outcome_without_progress(self, order: RunItem) -> tuple[ItemReturned, float]:
        """The outcome of an item without progress: no endpoint accepts it, or its endpoint sends nothing."""
        if self.items_in_progress() and self._world.rng.random() < 0.5:
            return ItemReturned(order.key, ReturnReason.SILENT, 0), SILENT_ATTEMPT_TIMEOUT_S
        return ItemReturned(order.key, ReturnReason.STUCK, 0), QUEUE_TIMEOUT_S

    def _item_started(self, key: ItemKey, serial: int) -> None:
        """Report the first event of the item."""
        if self._attempts.get(key) == serial:
            self._send(self.tracker.mark_started(key))


class FaultKind(Enum):
    """Faults that are injected."""

    DISCONNECT = "a connection breaks"
    SILENCE = "a connection carries nothing, and nobody hears of it"
    CRASH = "a sidecar ends and comes back"
    REMOVAL = "a sidecar ends for good"
    FREEZE = "a sidecar stands still"
    LEASE_LAPSE = "the lease lapses for a moment, and the epoch goes on"
    EPOCH_CHANGE = "another primary leads"
    STUCK = "a sidecar moves nothing for a while, or for good"


class World:
    """One run; its schedule depends on the seed alone.

    `stuck_sidecars`: the faults include sidecars that make no progress.
    """

    def __init__(self, seed: int, stuck_sidecars: bool = False) -> None:
        self.seed = seed
        self.stuck_sidecars = stuck_sidecars
        self.rng = random.Random(seed)
        self.timeline = Timeline()
        self.accepted_jobs: dict[str, set[str]] = {}
        self.ended_jobs: set[str] = set()
        self.last_worked_on: dict[ItemKey, float] = {}  # when an endpoint last worked on the item
        self.last_result_at = 0.0
        self.results_read: dict[tuple[str, int], str] = {}  # item ids by job and position, as read by clients
        self._unreachable_until: dict[str, float] = {}
        self.group = StorageGroup(self)
        self.sidecars = [SidecarProcess(self, self.group, f"s{number}") for number in range(SIDECAR_COUNT)]
        self._schedule_events()
        if stuck_sidecars:
            self.timeline.at(FAULT_PERIOD_S + MAX_FAULT_S, self._check_idle_items)

    def is_unreachable(self, sidecar: SidecarProcess) -> bool:
        return self.timeline.now < self._unreachable_until.get(sidecar.name, 0.0)

    def _schedule_events(self) -> None:
        rng = self.rng
        for number in range(12):
            job, count = f"j{number}", rng.randint(1, 25)
            items = [f"{job}i{item}" for item in range(count)]
            for _ in range(3):  # a client repeats a refused submission
                self.timeline.at(rng.uniform(0.5, FAULT_PERIOD_S), partial(self.group.submit_job, job, items))
            if rng.random() < 0.2:
                self.timeline.at(rng.uniform(2.0, FAULT_PERIOD_S), partial(self.group.end_job, job))
        known = [kind for kind in FaultKind if kind is not FaultKind.STUCK]
        kinds = rng.sample(known, rng.randint(2, len(known)))
        for _ in range(rng.randint(8, 30)):
            kind = rng.choice(kinds)
            self.timeline.at(rng.uniform(0.5, FAULT_PERIOD_S), partial(self._inject, kind))
        for _ in range(rng.randint(1, 2 * SIDECAR_COUNT) if self.stuck_sidecars else 0):
            self.timeline.at(rng.uniform(0.5, FAULT_PERIOD_S), partial(self._inject, FaultKind.STUCK))

    def _inject(self, kind: FaultKind) -> None:
        rng, now = self.rng, self.timeline.now
        sidecar = rng.choice(self.sidecars)
        if kind is FaultKind.DISCONNECT and sidecar.link is not None:
            self._unreachable_until[sidecar.name] = now + rng.choice([0.0, 0.0, rng.uniform(0.2, 5.0)])
            sidecar.link.break_connection()
        elif kind is FaultKind.SILENCE and sidecar.link is not None:
            sidecar.link.delivers = False
        elif kind is FaultKind.CRASH:
            sidecar.crash()
            self.timeline.after(rng.uniform(0.1, 4.0), sidecar.start)
        elif kind is FaultKind.REMOVAL and sidecar is not self.sidecars[0]:
            sidecar.crash(resets_connection=rng.random() < 0.5)
        elif kind is FaultKind.FREEZE:
            sidecar.frozen_until = now + rng.uniform(0.1, 5.0)
        elif kind is FaultKind.LEASE_LAPSE:
            self.group.lapsed_until = now + rng.uniform(0.01, 1.0)
        elif kind is FaultKind.EPOCH_CHANGE:
            self.group.change_epoch()
        elif kind is FaultKind.STUCK and sidecar is not self.sidecars[0]:
            sidecar.stuck_until = now + rng.choice(
                [rng.uniform(0.5, MAX_FAULT_S), FAULT_PERIOD_S + RECOVERY_PERIOD_S]
            )

    def endpoints_are_healthy(self) -> bool:
        """Whether no endpoint falls silent: in the recovery period of runs that check for idle items."""
        return self.stuck_sidecars and self.timeline.now >= FAULT_PERIOD_S

    # --- idle items ---

    def _check_idle_items(self) -> None:
        """Check that no item stays without an endpoint while some sidecar could run it."""
        now = self.timeline.now
        able = False
        for sidecar in self.sidecars:
            able |= sidecar.alive and not sidecar.stuck and sidecar.tracker.accepted
            self.last_worked_on.update((key, now) for key in sidecar.items_in_progress())
        idle = now - self.last_result_at > RECENT_RESULT_S
        if able and idle and now > FAULT_PERIOD_S + MAX_FAULT_S + MAX_ITEM_IDLE_S:
            for key in self._open_items():
                if now - self.last_worked_on.get(key, 0.0) > MAX_ITEM_IDLE_S:
                    raise InvariantViolation(
                        f"{self.seed}: {key} is idle at {now:.1f} s, no endpoint works on it"
                    )
        self.timeline.after(IDLE_CHECK_INTERVAL_S, self._check_idle_items)

    def _open_items(self) -> list[ItemKey]:
        found = []
        for job, items in self.accepted_jobs.items():
            open_job = self.group.table.jobs.get(job)
            if open_job is not None and job not in self.ended_jobs:
                found += [
                    ItemKey(job, i) for i in sorted(items) if not open_job.items[i].has_committed_result
                ]
        return found

    # --- checks at the end ---

    def play(self) -> None:
        """Run the schedule to its end and check the results.

        Raises:
            InvariantViolation: an invariant does not hold; the message has the seed.
        """
        self.timeline.run_until(FAULT_PERIOD_S + RECOVERY_PERIOD_S)
        self._check_jobs()
        self._check_reads()
        self._check_sidecars()

    def _check_jobs(self) -> None:
        for job, items in self.accepted_jobs.items():
            if self.group.store.get(JOB_PREFIX + job) is None:
                raise InvariantViolation(f"{self.seed}: {job} was accepted and is not in the store")
            found = list(self.group.store.scan(f"{RESULT_PREFIX}{job}/"))
            positions = [int(key.rpartition("/")[2]) for key, _ in found]
            if positions != list(range(len(found))):
                raise InvariantViolation(f"{self.seed}: {job} has gaps in its positions: {positions}")
            names = [msgspec.msgpack.decode(value, type=ResultRecord).id for _, value in found]
            if len(set(names)) < len(names):
                raise InvariantViolation(f"{self.seed}: an item of {job} is listed twice")
            if job not in self.ended_jobs and set(names) != items:
                raise InvariantViolation(
                    f"{self.seed}: items of {job} have no result: {sorted(items - set(names))}"
                )
            if job not in self.ended_jobs and self.group.table.jobs[job].committed_positions != len(items):
                raise InvariantViolation(f"{self.seed}: results of {job} are not committed")

    def _check_reads(self) -> None:
        for (job, position), item in self.results_read.items():
            page = self.group.table.page(job, position)
            if isinstance(page, Refusal) or not page.results or page.results[0].id != item:
                raise InvariantViolation(
                    f"{self.seed}: {item} was read at {job} {position} and is not there any more"
                )

    def _check_sidecars(self) -> None:
        for sidecar in self.sidecars:
            held_count = len(sidecar.tracker) if sidecar.alive else 0
            if held_count or self.group.table.running_count(sidecar.name):
                recorded_count = self.group.table.running_count(sidecar.name)
                raise InvariantViolation(
                    f"{self.seed}: {sidecar.name} holds {held_count} items, "
                    f"the primary records {recorded_count}"
                )
            if sidecar.alive and not sidecar.tracker.accepted:
                raise InvariantViolation(f"{self.seed}: {sidecar.name} has no session")
