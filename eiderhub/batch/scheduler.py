"""Chooses the sidecar for each item, and bounds the items per sidecar and the items that are starting.

Performs no I/O; callers pass the time. The number of items that a sidecar runs is not counted here but read
from the job table. Items that wait for their first event are bounded over all sidecars: an endpoint that
reads many prompts at once pauses every stream that it serves.

Free slots alone do not show whether a sidecar reaches endpoints: one that makes no progress has the most free
slots. So sidecars are ranked by their health first (workers.py). Two rules keep an item from being passed
between sidecars that make no progress, and such sidecars from never being tried again:

* Items of a job without progress go only to sidecars that make progress or reach endpoints, and wait for
  these; while no sidecar makes progress, they may go to any.
* Items of a job that makes progress elsewhere may go to any sidecar, so that failing ones are tried again
  without a job that depends on the outcome. While no sidecar makes progress, stuck ones are tried without
  pause.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from eiderhub.batch.messages import ItemKey, Reach, ReturnReason
from eiderhub.batch.workers import INITIAL_WINDOW, MAX_WINDOW, NEVER, Worker, WorkerHealth

# Mean run time of an item before any was measured, and the weight of a new sample in the moving average.
INITIAL_RUN_S, RUN_MEAN_WEIGHT = 1.5, 0.05
MAX_STARTING_PER_ENDPOINT = 1.0  # items that may wait for their first event, per endpoint
# Shares of the total endpoint capacity: the most that items and live calls may use together, and the least
# that items may use, so that jobs make progress under any live load.
MAX_CAPACITY_SHARE, MIN_ITEM_SHARE = 0.75, 0.1
LIVE_DECREASE_WEIGHT = 0.25  # weight of a lower count of live calls; a higher one applies at once
LOAD_VALID_S = 1.5  # a count of live calls expires after this time
STARTING_TIMEOUT_S = 0.5  # an item without a first event by then no longer counts as starting
MAX_NODES_PER_ITEM = 16  # latest sidecars that are remembered for having returned an item


class SchedulerStatus(NamedTuple):
    """Summary of the sidecars, for logs and metrics."""

    sidecars: int
    paused: int  # get no items at present
    full: int  # run as many items as their windows allow
    stuck: int  # last returned an item as stuck, and have not been answered since
    returns: dict[ReturnReason, int]  # items returned in this epoch, by reason

    def __str__(self) -> str:
        returns = ", ".join(f"{reason.value} {count}" for reason, count in self.returns.items())
        return (
            f"{self.sidecars} sidecars, {self.paused} paused, {self.full} full, {self.stuck} stuck; "
            f"returned: {returns or 'none'}"
        )


class NodeReturns(NamedTuple):
    """How often a sidecar has returned an item since the item last made progress, and when it last did."""

    times: int
    last_at: float


NO_RETURNS = NodeReturns(0, NEVER)


class _ItemReturns:
    """Which sidecars have returned an item since it last made progress."""

    __slots__ = ("by_node", "stalls")

    def __init__(self) -> None:
        self.by_node: dict[str, NodeReturns] = {}  # in the order of the last return
        self.stalls = 0  # returns other than refusals

    def add(self, now: float, node: str, refused: bool) -> None:
        previous = self.by_node.pop(node, NO_RETURNS)
        self.by_node[node] = NodeReturns(previous.times + 1, now)
        self.stalls += not refused
        if len(self.by_node) > MAX_NODES_PER_ITEM:
            del self.by_node[next(iter(self.by_node))]


class AssignmentRound:
    """The sidecars with free slots, for one round of assignments.

    Args:
        now: Time of the round.
        free_slots: Free slots of each sidecar that has at least one.
        any_progress: Whether any sidecar makes progress, including those without free slots.
        start_allowance: How many more items may wait for their first event.
        capacity_left: How many more items may run beside the live calls.
    """

    def __init__(
        self,
        now: float,
        free_slots: dict[Worker, float],
        any_progress: bool,
        start_allowance: float,
        capacity_left: float,
    ) -> None:
        self._now = now
        self._free_slots = free_slots
        # The worst health that a job without progress may use.
        self._worst_allowed = WorkerHealth.REACHABLE if any_progress else WorkerHealth.STUCK
        self._any_progress = any_progress
        self._start_allowance = start_allowance
        self._capacity_left = capacity_left

    @property
    def has_free_slots(self) -> bool:
        """Whether any sidecar still has a free slot."""
        return bool(self._free_slots)

    def choose(self, route: str, returns: dict[str, NodeReturns], job_progresses: bool) -> Worker | None:
        """Choose the sidecar that is to run an item; None if it has to wait.

        Each return of the item by a sidecar ranks that sidecar one health level lower for it.

        Args:
            route: Route of the item.
            returns: The sidecars that have returned the item, by node.
            job_progresses: Whether the item's job makes progress elsewhere.
        """
        allowed = [
            worker
            for worker in self._free_slots
            if (job_progresses or worker.health <= self._worst_allowed)
            and self._within_limits(worker)
            and worker.may_know_route(route)
        ]

        def rank(worker: Worker) -> tuple[bool, int, float, float]:
            health = worker.health
            count, last_at = returns.get(worker.node, NO_RETURNS)
            if worker.last_start_at > last_at:
                count = max(0, count - 1)  # other items have started there since
            return (
                health is WorkerHealth.STUCK,
                health + count,
                last_at,
                self._tie_break(worker, job_progresses),
            )

        return min(allowed, key=rank, default=None)

    def _within_limits(self, worker: Worker) -> bool:
        """Whether the limits over all sidecars allow one more item there.

        While no sidecar makes progress, each one is tried regardless of the remaining capacity.
        """
        if worker.is_proven(self._now):
            return min(self._start_allowance, self._capacity_left) > 0
        return self._capacity_left > 0 or not self._any_progress

    def _tie_break(self, worker: Worker, job_progresses: bool) -> float:
        """Order sidecars of equal rank; the lowest value is preferred.

        Progressing ones: most free slots, or the latest start if the item's job makes no progress elsewhere.
        Reachable ones: the latest endpoint answer. Others: the longest time since a return.
        """
        if worker.health is WorkerHealth.PROGRESSING:
            return -self._free_slots[worker] if job_progresses else -worker.last_start_at
        return -worker.last_answer_at if worker.health is WorkerHealth.REACHABLE else worker.last_return_at

    def record_assignment(self, worker: Worker) -> None:
        """Count one more item at a sidecar against the limits of this round."""
        self._capacity_left -= 1
        if worker.is_proven(self._now):
            self._start_allowance -= 1
        self._free_slots[worker] -= 1.0
        if self._free_slots[worker] < 1.0:
            del self._free_slots[worker]


class Scheduler:
    """Assigns items to sidecars; `running_count` returns the number of items that a node runs."""

    def __init__(self, running_count: Callable[[str], int]) -> None:
        self._running_count = running_count
        self.workers: dict[str, Worker] = {}
        self._starting_since: dict[ItemKey, float] = {}  # assignment time of items without a first event
        self._assigned_at: dict[ItemKey, float] = {}
        self._started: dict[ItemKey, Worker] = {}  # items with a first event, and where they run
        self._item_returns: dict[ItemKey, _ItemReturns] = {}
        self._return_counts: Counter[ReturnReason] = Counter()
        self.mean_run_s = INITIAL_RUN_S  # moving average of the run time of an item
        self._endpoints = 1
        self._capacity = 0
        self._live_calls = 0.0  # smoothed number of calls at endpoints, without items
        self._live_calls_at = NEVER

    def set_endpoints(self, endpoints: int, capacity: int) -> None:
        """Set the number of endpoints and the number of requests that they can process at once in total."""
        self._endpoints = max(1, endpoints)
        self._capacity = capacity

    def update_load(self, now: float, calls: int) -> None:
        """Set the calls in flight of all sidecars to the endpoints for items, items included."""
        live = max(0.0, float(calls - self._items_at_endpoints()))
        decreased = live < self._live_calls and now - self._live_calls_at <= LOAD_VALID_S
        self._live_calls += (LIVE_DECREASE_WEIGHT if decreased else 1.0) * (live - self._live_calls)
        self._live_calls_at = now

    def _remaining_capacity(self, now: float) -> float:
        """How many more items may run in the endpoint capacity that live calls leave."""
        if now - self._live_calls_at > LOAD_VALID_S or not self._capacity:
            return float("inf")
        limit = max(MAX_CAPACITY_SHARE * self._capacity - self._live_calls, MIN_ITEM_SHARE * self._capacity)
        return limit - self._items_at_endpoints()

    def _items_at_endpoints(self) -> int:
        """Items known to run at endpoints; one that makes no progress at its sidecar takes no capacity."""
        return len(self._started) + len(self._starting_since)

    def _even_share(self, workers: int) -> float:
        """The initial window per sidecar: an even share of half of the endpoint capacity."""
        return min(MAX_WINDOW, max(INITIAL_WINDOW, self._capacity / 2 / workers))

    def reset(self) -> None:
        """Drop the state of all items: the job table has been reloaded."""
        self._starting_since.clear()
        self._assigned_at.clear()
        self._started.clear()
        for worker in self.workers.values():
            worker.started_items = 0
        self._item_returns.clear()
        self._return_counts.clear()

    def status(self, now: float) -> SchedulerStatus:
        """Summarize the sidecars and the items that they have returned."""
        workers = self.workers.values()
        return SchedulerStatus(
            sidecars=len(workers),
            paused=sum(worker.is_paused(now) for worker in workers),
            full=sum(worker.window - self._running_count(worker.node) < 1.0 for worker in workers),
            stuck=sum(worker.health is WorkerHealth.STUCK for worker in workers),
            returns=dict(self._return_counts),
        )

    def add_worker(self, now: float, node: str, zone: str, reach: Reach) -> None:
        """Add a sidecar that has opened a session; the job table has the items that it runs."""
        self.workers.pop(node, None)
        worker = Worker(node, zone, self._even_share(len(self.workers) + 1))
        worker.session_opened(now, reach, self._running_count(node))
        self.workers[node] = worker

    def remove_worker(self, node: str) -> None:
        self.workers.pop(node, None)

    # --- assignment ---

    def stall_count(self, key: ItemKey) -> int:
        """How often the item was returned, refusals excluded, since it last made progress."""
        returns = self._item_returns.get(key)
        return returns.stalls if returns is not None else 0

    def item_returns(self, key: ItemKey) -> dict[str, NodeReturns]:
        """The sidecars that have returned the item since it last made progress, by node."""
        returns = self._item_returns.get(key)
        return returns.by_node if returns is not None else {}

    def new_round(self, now: float) -> AssignmentRound:
        """Start a round with the sidecars that have free slots now."""
        workers = self.workers.values()
        any_progress = any(worker.is_progressing(now) for worker in workers)
        min_window = self._reachable_share(now)
        free_by_worker: dict[Worker, float] = {}
        for worker in workers:
            # While no sidecar makes progress, stuck ones are tried without pause.
            free = worker.free_slots(
                now,
                self._running_count(worker.node),
                ignore_stuck_pause=not any_progress,
                min_window=min_window,
            )
            if free >= 1.0:
                free_by_worker[worker] = free
        return AssignmentRound(
            now, free_by_worker, any_progress, self._remaining_starts(now), self._remaining_capacity(now)
        )

    def _reachable_share(self, now: float) -> float:
        """The least window of reachable sidecars while most are unreachable and leave their share; else 0.

        A sidecar that is idle or full is not unreachable and leaves no share.
        """
        reachable = sum(not worker.is_unreachable(now) for worker in self.workers.values())
        return self._even_share(reachable) if 0 < reachable < len(self.workers) / 2 else 0.0

    def progressing_nodes(self) -> list[str]:
        """The sidecars that have started items and returned none since."""
        return [w.node for w in self.workers.values() if w.health is WorkerHealth.PROGRESSING]

    def _remaining_starts(self, now: float) -> float:
        """How many more items may wait for their first event."""
        for key in [k for k, since in self._starting_since.items() if now - since > STARTING_TIMEOUT_S]:
            del self._starting_since[key]
        return MAX_STARTING_PER_ENDPOINT * self._endpoints - len(self._starting_since)

    # --- events of items and sidecars ---

    def item_assigned(self, now: float, key: ItemKey, worker: Worker) -> None:
        """The item has been assigned to the sidecar."""
        if worker.is_proven(now):
            self._starting_since[key] = now
        self._assigned_at[key] = now

    def item_started(self, now: float, node: str, key: ItemKey) -> None:
        """The first event of the item has arrived at the node."""
        self._starting_since.pop(key, None)
        self._item_returns.pop(key, None)
        worker = self.workers.get(node)
        if worker is not None and key not in self._started:
            self._started[key] = worker
            worker.started_items += 1
            worker.record_start(now)

    def endpoint_answered(self, now: float, node: str) -> None:
        """Endpoints have answered calls of the node, which may be live ones."""
        worker = self.workers.get(node)
        if worker is not None:
            worker.record_answer(now)

    def is_reachable(self, now: float, node: str) -> bool:
        """Whether endpoints have recently answered calls of the node."""
        worker = self.workers.get(node)
        return worker is not None and worker.is_reachable(now)

    def set_generation(self, node: str, generation: int) -> None:
        """Set the generation of the configuration that the node routes by."""
        worker = self.workers.get(node)
        if worker is not None:
            worker.set_generation(generation)

    def item_finished(self, now: float, node: str, key: ItemKey) -> None:
        """The node has finished the item, which still counts as running there."""
        since = self._assigned_at.get(key)
        if since is not None:
            self.mean_run_s += RUN_MEAN_WEIGHT * (now - since - self.mean_run_s)
        self.item_started(now, node, key)  # no earlier event may have been reported
        self.forget(key)
        worker = self.workers.get(node)
        if worker is None:
            return
        worker.record_answer(now)
        if self._running_count(node) >= worker.window - 1:
            worker.grow_window()

    def forget(self, key: ItemKey) -> None:
        """Drop the state of an item that has finished or whose job has ended."""
        self.item_unassigned(key)
        self._item_returns.pop(key, None)

    def item_unassigned(self, key: ItemKey) -> None:
        """The item no longer runs at any sidecar."""
        worker = self._started.pop(key, None)
        if worker is not None:
            worker.started_items -= 1
        self._starting_since.pop(key, None)
        self._assigned_at.pop(key, None)

    def item_returned(self, now: float, node: str, key: ItemKey, route: str, reason: ReturnReason) -> None:
        """The node has returned an item of the route."""
        self.item_unassigned(key)
        self._return_counts[reason] += 1
        worker = self.workers.get(node)
        if reason is ReturnReason.UNKNOWN_ROUTE:
            if worker is not None:
                worker.record_unknown_route(route)
        elif reason is ReturnReason.STOPPING:
            if worker is not None:
                worker.stopping = True
        elif reason is not ReturnReason.ROUTE_MOVED:
            returns = self._item_returns.setdefault(key, _ItemReturns())
            returns.add(now, node, refused=reason is ReturnReason.REFUSED)
            if worker is not None:
                self._record_return(now, worker, reason)

    @staticmethod
    def _record_return(now: float, worker: Worker, reason: ReturnReason) -> None:
        if reason is ReturnReason.STUCK:
            worker.record_stall(now)
        elif reason is ReturnReason.FAILED:
            worker.record_return(now)
        else:
            worker.record_refusal(now)
