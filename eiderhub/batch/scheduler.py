"""Which sidecar gets an item, how many items each gets, and how many endpoints read prompts of items at once.

Pure. It counts no items: how many a sidecar runs is the job table's to say. Items that have not begun to
answer are bounded over all: an endpoint that reads many prompts at once pauses every stream that it serves.

Room says nothing of what a sidecar can reach: one that moves nothing has the most room. So sidecars are taken
by their standing first (workers.py). Two rules keep an item from being passed from one that moves nothing to
the next, and the next from being forgotten:

* A job none of whose items moves is given to the sidecars of the best standing alone, and waits for them.
* A job that has an item at a sidecar that moves items may be given to any, so that those which are stuck are
  tried again without a job that depends on it. Where all are stuck, each is tried all the time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from eiderhub.batch.messages import ItemKey, Reach, ReturnReason
from eiderhub.batch.workers import MOST_WINDOW, NEVER, START_WINDOW, Standing, Worker

FIRST_RUN_S, RUN_WEIGHT = 1.5, 0.05  # what an item is taken to take at first; weight of the newest
STARTING_PER_ENDPOINT = 1.0  # items that may wait for their first event, for each endpoint
# Of all places of the endpoints, the share that items and live calls may take together, and the least that
# items may have: jobs move on, however busy live traffic is.
FILLED_SHARE, LEAST_ITEM_SHARE = 0.75, 0.1
LIVE_FALL = 0.25  # weight of the newest count of live calls, where it is lower; a rise counts at once
LOAD_KEPT_S = 1.5  # a count of live calls says nothing once it is older
STARTING_S = 0.5  # an item that has not begun by then does not count any more
MOST_REMEMBERED = 16  # sidecars at which an item has failed, the latest


class Placement(NamedTuple):
    """What sidecars there are for items; for logs and figures."""

    sidecars: int
    paused: int  # given nothing for a while
    full: int  # that run as many items as their windows allow
    stuck: int  # that no endpoint has answered since they last were stuck
    returns: dict[ReturnReason, int]  # items that were given back, in this epoch

    def __str__(self) -> str:
        returns = ", ".join(f"{reason.value} {count}" for reason, count in self.returns.items())
        return (
            f"{self.sidecars} sidecars, {self.paused} paused, {self.full} full, {self.stuck} stuck; "
            f"given back: {returns or 'none'}"
        )


class Failure(NamedTuple):
    """How often a sidecar has given an item back since that last moved, and when it last did."""

    times: int
    at: float


NO_FAILURE = Failure(0, NEVER)


class _Failures:
    """Where an item has been given back since it last moved."""

    __slots__ = ("by_node", "unmoved")

    def __init__(self) -> None:
        self.by_node: dict[str, Failure] = {}  # the latest last
        self.unmoved = 0  # times that it was not just refused

    def add(self, now: float, node: str, refused: bool) -> None:
        before = self.by_node.pop(node, NO_FAILURE)
        self.by_node[node] = Failure(before.times + 1, now)
        self.unmoved += not refused
        if len(self.by_node) > MOST_REMEMBERED:
            del self.by_node[next(iter(self.by_node))]


class Round:
    """The sidecars with room, for one round of giving items out.

    `some_move`: whether items move at any sidecar, those without room included. `starts`: how many more items
    may wait for their first event. `places`: how many more may run, for what live calls leave.
    """

    def __init__(
        self, now: float, room: dict[Worker, float], some_move: bool, starts: float, places: float
    ) -> None:
        self._now = now
        self._room = room
        self._worst = Standing.ANSWERED if some_move else Standing.STUCK  # that a job may depend on
        self._some_move = some_move
        self._starts = starts
        self._places = places

    @property
    def has_room(self) -> bool:
        """Whether any item may still be given out."""
        return bool(self._room)

    def choose(self, route: str, failures: dict[str, Failure], safe: bool) -> Worker | None:
        """The sidecar that is to run an item; None: it waits.

        `failures`: where it was given back. `safe`: another of its job's items moves. Each time that a
        sidecar has given the item back counts as much as a standing that is lower by one.
        """
        allowed = [
            worker
            for worker in self._room
            if (safe or worker.standing <= self._worst) and self._may_start_at(worker) and worker.knows(route)
        ]

        def rank(worker: Worker) -> tuple[bool, int, float, float]:
            standing = worker.standing
            times, at = failures.get(worker.node, NO_FAILURE)
            if worker.moved_at > at:
                times = max(0, times - 1)  # others have moved there since
            return standing is Standing.STUCK, standing + times, at, self._last_rank(worker, safe)

        return min(allowed, key=rank, default=None)

    def _may_start_at(self, worker: Worker) -> bool:
        """Whether bounds over all sidecars allow one more item there; where nothing moves, each is tried."""
        if worker.is_tested(self._now):
            return min(self._starts, self._places) > 0
        return self._places > 0 or not self._some_move

    def _last_rank(self, worker: Worker, safe: bool) -> float:
        """Among sidecars of one standing.

        Of those that move items the one with the most room, or the one that last moved one where a job
        depends on it; of those that endpoints answer the one that was answered last; of the others the one
        that gave something back longest ago.
        """
        if worker.standing is Standing.MOVING:
            return -self._room[worker] if safe else -worker.moved_at
        return -worker.answered_at if worker.standing is Standing.ANSWERED else worker.returned_at

    def given(self, worker: Worker) -> None:
        """One more item runs there."""
        self._places -= 1
        if worker.is_tested(self._now):
            self._starts -= 1
        self._room[worker] -= 1.0
        if self._room[worker] < 1.0:
            del self._room[worker]


class Scheduler:
    """`running` tells how many items a node is taken to run."""

    def __init__(self, running: Callable[[str], int]) -> None:
        self._running = running
        self.workers: dict[str, Worker] = {}
        self._starting: dict[ItemKey, float] = {}  # when each was given
        self._given: dict[ItemKey, float] = {}
        self._begun: dict[ItemKey, Worker] = {}  # items that have begun, by where they run
        self._failures: dict[ItemKey, _Failures] = {}
        self._returns: Counter[ReturnReason] = Counter()
        self.run_s = FIRST_RUN_S  # that an item takes, on the mean of late
        self._endpoints = 1
        self._places = 0
        self._live = 0.0  # calls that are out beside items, lately
        self._live_at = NEVER

    def follow(self, endpoints: int, places: int) -> None:
        """How many endpoints there are, and how many requests all of them work on at once."""
        self._endpoints = max(1, endpoints)
        self._places = places

    def follow_load(self, now: float, calls: int) -> None:
        """How many calls all sidecars have out to the endpoints that run items, items among them."""
        live = max(0.0, float(calls - self._items_out()))
        falls = live < self._live and now - self._live_at <= LOAD_KEPT_S
        self._live += (LIVE_FALL if falls else 1.0) * (live - self._live)
        self._live_at = now

    def _places_left(self, now: float) -> float:
        """How many more items may run, for what live calls leave of the endpoints' places."""
        if now - self._live_at > LOAD_KEPT_S or not self._places:
            return float("inf")
        most = max(FILLED_SHARE * self._places - self._live, LEAST_ITEM_SHARE * self._places)
        return most - self._items_out()

    def _items_out(self) -> int:
        """Items that run at endpoints, as far as is known; what a sidecar can't move takes no place."""
        return len(self._begun) + len(self._starting)

    def _share(self, sidecars: int) -> float:
        """The window of one of so many sidecars: an even share of half of all places."""
        return min(MOST_WINDOW, max(START_WINDOW, self._places / 2 / sidecars))

    def reset(self) -> None:
        """Nothing is given out: another table has taken the place of the one before."""
        self._starting.clear()
        self._given.clear()
        self._begun.clear()
        for worker in self.workers.values():
            worker.begun = 0
        self._failures.clear()
        self._returns.clear()

    def placement(self, now: float) -> Placement:
        """What sidecars there are, and what they have given back."""
        workers = self.workers.values()
        return Placement(
            sidecars=len(workers),
            paused=sum(worker.is_paused(now) for worker in workers),
            full=sum(worker.window - self._running(worker.node) < 1.0 for worker in workers),
            stuck=sum(worker.standing is Standing.STUCK for worker in workers),
            returns=dict(self._returns),
        )

    def join(self, now: float, node: str, zone: str, reach: Reach) -> None:
        """A sidecar has opened a session; the job table has what it announces."""
        self.workers.pop(node, None)
        worker = Worker(node, zone, self._share(len(self.workers) + 1))
        worker.opened(now, reach, self._running(node))
        self.workers[node] = worker

    def leave(self, node: str) -> None:
        self.workers.pop(node, None)

    # --- choosing ---

    def tries(self, key: ItemKey) -> int:
        """How often the item has failed to move, refusals apart, since it last moved."""
        failures = self._failures.get(key)
        return failures.unmoved if failures is not None else 0

    def failures(self, key: ItemKey) -> dict[str, Failure]:
        """Where the item was given back since it last moved, by node."""
        failures = self._failures.get(key)
        return failures.by_node if failures is not None else {}

    def round(self, now: float) -> Round:
        """The sidecars that have room now."""
        workers = self.workers.values()
        some_move = any(worker.moves_now(now) for worker in workers)
        share = self._share_of_able(now)
        room: dict[Worker, float] = {}
        for worker in workers:
            # Where none is known to do better, each is tried all the time.
            free = worker.free(now, self._running(worker.node), wanted=not some_move, share=share)
            if free >= 1.0:
                room[worker] = free
        return Round(now, room, some_move, self._may_begin(now), self._places_left(now))

    def _share_of_able(self, now: float) -> float:
        """The window that each may have where most are cut off: these leave the others their share.

        0: no such share. One that has nothing to run, or is full, leaves nothing.
        """
        able = sum(not worker.is_cut_off(now) for worker in self.workers.values())
        return self._share(able) if 0 < able < len(self.workers) / 2 else 0.0

    def moving(self) -> list[str]:
        """The sidecars that have moved items, and given none back since."""
        return [w.node for w in self.workers.values() if w.standing is Standing.MOVING]

    def _may_begin(self, now: float) -> float:
        """How many more items may wait for their first event."""
        for key in [k for k, since in self._starting.items() if now - since > STARTING_S]:
            del self._starting[key]
        return STARTING_PER_ENDPOINT * self._endpoints - len(self._starting)

    # --- what becomes of items ---

    def given(self, now: float, key: ItemKey, worker: Worker) -> None:
        """The item runs at that sidecar from now on."""
        if worker.is_tested(now):
            self._starting[key] = now
        self._given[key] = now

    def started(self, now: float, node: str, key: ItemKey) -> None:
        """The item's first event has come from an endpoint of this node's."""
        self._starting.pop(key, None)
        self._failures.pop(key, None)
        worker = self.workers.get(node)
        if worker is not None and key not in self._begun:
            self._begun[key] = worker
            worker.begun += 1
            worker.moved(now)

    def answered(self, now: float, node: str) -> None:
        """Endpoints have answered calls of this node's, live ones perhaps."""
        worker = self.workers.get(node)
        if worker is not None:
            worker.answered(now)

    def was_answered_lately(self, now: float, node: str) -> bool:
        """Whether endpoints are known to answer calls of the node's now."""
        worker = self.workers.get(node)
        return worker is not None and worker.was_answered_lately(now)

    def routes_by(self, node: str, generation: int) -> None:
        """The node routes by that generation of the configuration."""
        worker = self.workers.get(node)
        if worker is not None:
            worker.routes_by(generation)

    def finished(self, now: float, node: str, key: ItemKey) -> None:
        """The node has done the item, which still counts among those that it runs."""
        since = self._given.get(key)
        if since is not None:
            self.run_s += RUN_WEIGHT * (now - since - self.run_s)
        self.started(now, node, key)  # its last events may be all that came
        self.forget(key)
        worker = self.workers.get(node)
        if worker is None:
            return
        worker.answered(now)
        if self._running(node) >= worker.window - 1:
            worker.grow()

    def forget(self, key: ItemKey) -> None:
        """The item needs no sidecar any more: it is done, or its job has ended."""
        self.released(key)
        self._failures.pop(key, None)

    def released(self, key: ItemKey) -> None:
        """No sidecar runs the item now."""
        worker = self._begun.pop(key, None)
        if worker is not None:
            worker.begun -= 1
        self._starting.pop(key, None)
        self._given.pop(key, None)

    def returned(self, now: float, node: str, key: ItemKey, route: str, reason: ReturnReason) -> None:
        """The node has given an item of that route back."""
        self.released(key)
        self._returns[reason] += 1
        worker = self.workers.get(node)
        if reason is ReturnReason.UNKNOWN_ROUTE:
            if worker is not None:
                worker.lacks(route)
        elif reason is ReturnReason.STOPPING:
            if worker is not None:
                worker.stopping = True
        elif reason is not ReturnReason.ROUTE_MOVED:
            failures = self._failures.setdefault(key, _Failures())
            failures.add(now, node, refused=reason is ReturnReason.REFUSED)
            if worker is not None:
                self._judge(now, worker, reason)

    @staticmethod
    def _judge(now: float, worker: Worker, reason: ReturnReason) -> None:
        if reason is ReturnReason.STUCK:
            worker.stuck(now)
        elif reason is ReturnReason.FAILED:
            worker.failed(now)
        else:
            worker.refused(now)
