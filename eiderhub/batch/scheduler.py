"""Which sidecar gets an item, how many items each gets, and how many endpoints read prompts of items at once.

Pure. It counts no items: how many a sidecar runs is the job table's to say. A sidecar's window grows with
what it finishes and falls when it refuses: a refusal of its admission says that live traffic leaves no room
there. Items that have not begun to answer are bounded over all: an endpoint that reads many prompts at once
pauses every stream that it serves.

Room says nothing of what a sidecar can reach: one that moves nothing has the most room. So a sidecar that
gives items back unmoved gets single ones, ever later, until one moves there; and an item that failed to move
goes next to a sidecar that endpoints have answered since it last was stuck, if there is one, in turn.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from eiderhub.batch.messages import ItemKey, ReturnReason

START_WINDOW, LEAST_WINDOW, MOST_WINDOW = 6.0, 1.0, 64.0
GROW = 0.5  # per item that was finished while the window was in use
SHRINK = 0.7  # what a refusal leaves of the window
PAUSE_S = 0.1  # a sidecar that refused is left alone for so long
STUCK_PAUSE_S, MOST_STUCK_PAUSE_S = 1.0, 8.0  # one that is stuck; doubled each time, up to
FIRST_RUN_S, RUN_WEIGHT = 1.5, 0.05  # what an item is taken to take at first; weight of the newest
STARTING_PER_ENDPOINT = 1.0  # items that may wait for their first event, for each endpoint
STARTING_S = 0.5  # an item that has not begun by then does not count any more
NEVER = float("-inf")


class Worker:
    """One sidecar that runs items."""

    def __init__(self, node: str, zone: str, window: float) -> None:
        self.node = node
        self.zone = zone
        self.window = window
        self.paused_until = 0.0
        self.answered_at = NEVER  # when endpoints are known to have answered calls of its
        self.stuck_at = NEVER  # when it last gave one back that it could not move
        self._times_stuck = 0  # in a row, with nothing moved between

    def free(self, now: float, running: int) -> float:
        """How many more items it may be given."""
        return self.window - running if now >= self.paused_until else 0.0

    @property
    def proven(self) -> bool:
        """Whether endpoints have answered it since it last was stuck."""
        return self.answered_at > self.stuck_at

    def moved(self, now: float) -> None:
        """An item has begun or ended there."""
        self.answered_at = now
        self._times_stuck = 0

    def refused(self, now: float) -> None:
        """Its admission had no room; items that are refused together are one sign."""
        if now >= self.paused_until:
            self.window = max(LEAST_WINDOW, self.window * SHRINK)
            self.paused_until = now + PAUSE_S

    def stuck(self, now: float) -> None:
        """It could not move an item; items that come back together are one sign."""
        self.stuck_at = now
        if now >= self.paused_until:
            pause_s = min(STUCK_PAUSE_S * 2**self._times_stuck, MOST_STUCK_PAUSE_S)
            self._times_stuck += 1
            self.window = LEAST_WINDOW
            self.paused_until = now + pause_s


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


class Scheduler:
    """`running` tells how many items a node is taken to run."""

    def __init__(self, running: Callable[[str], int]) -> None:
        self._running = running
        self.workers: dict[str, Worker] = {}
        self._starting: dict[ItemKey, float] = {}  # when each was given
        self._given: dict[ItemKey, float] = {}
        # Where each has failed to move since it last moved, and when.
        self._tried: dict[ItemKey, dict[str, float]] = {}
        self._returns: Counter[ReturnReason] = Counter()
        self.run_s = FIRST_RUN_S  # that an item takes, on the mean of late
        self._endpoints = 1
        self._places = 0

    def follow(self, endpoints: int, places: int) -> None:
        """How many endpoints there are, and how many requests all of them work on at once."""
        self._endpoints = max(1, endpoints)
        self._places = places

    def _first_window(self) -> float:
        share = self._places / 2 / max(1, len(self.workers) + 1)
        return min(MOST_WINDOW, max(START_WINDOW, share))

    def reset(self) -> None:
        """Nothing is given out: another table has taken the place of the one before."""
        self._starting.clear()
        self._given.clear()
        self._tried.clear()
        self._returns.clear()

    def placement(self, now: float) -> Placement:
        """What sidecars there are, and what they have given back."""
        workers = self.workers.values()
        return Placement(
            sidecars=len(workers),
            paused=sum(now < worker.paused_until for worker in workers),
            full=sum(worker.window - self._running(worker.node) < 1.0 for worker in workers),
            stuck=sum(worker.stuck_at > worker.answered_at for worker in workers),
            returns=dict(self._returns),
        )

    def join(self, node: str, zone: str) -> None:
        self.workers[node] = Worker(node, zone, self._first_window())

    def leave(self, node: str) -> None:
        self.workers.pop(node, None)

    # --- choosing ---

    def tries(self, key: ItemKey) -> int:
        """At how many sidecars the item has failed to move since it last moved."""
        return len(self._tried.get(key, ()))

    def has_room(self, now: float) -> bool:
        """Whether any item may be given out now."""
        return self._few_begin(now) and any(self._is_open(now, worker) for worker in self.workers.values())

    def choose(self, now: float, key: ItemKey) -> Worker | None:
        """The sidecar that is to run the item; None: it waits."""
        if not self._few_begin(now):
            return None
        candidates = [worker for worker in self.workers.values() if self._is_open(now, worker)]
        tried = self._tried.get(key)
        if not tried:
            return self._roomiest(now, candidates)
        if any(worker.proven for worker in self.workers.values()):
            # Worth waiting for: they have room again soon.
            return self._least_recently_tried([worker for worker in candidates if worker.proven], tried)
        if any(node not in tried for node in self.workers):
            return self._roomiest(now, [worker for worker in candidates if worker.node not in tried])
        return self._least_recently_tried(candidates, tried)

    def _few_begin(self, now: float) -> bool:
        """Whether another item may wait for its first event."""
        for key in [k for k, since in self._starting.items() if now - since > STARTING_S]:
            del self._starting[key]
        return len(self._starting) < STARTING_PER_ENDPOINT * self._endpoints

    def _is_open(self, now: float, worker: Worker) -> bool:
        return worker.free(now, self._running(worker.node)) >= 1.0

    def _roomiest(self, now: float, workers: list[Worker]) -> Worker | None:
        def room(worker: Worker) -> float:
            return worker.free(now, self._running(worker.node))

        return max(workers, key=room, default=None)

    @staticmethod
    def _least_recently_tried(workers: list[Worker], tried: dict[str, float]) -> Worker | None:
        """Where the item has never been, or was longest ago; of those the one that was answered last."""
        return min(
            workers, key=lambda worker: (tried.get(worker.node, NEVER), -worker.answered_at), default=None
        )

    # --- what becomes of items ---

    def given(self, now: float, key: ItemKey) -> None:
        self._starting[key] = now
        self._given[key] = now

    def started(self, now: float, node: str, key: ItemKey) -> None:
        """The item's first event has come from an endpoint of this node's."""
        self._starting.pop(key, None)
        self._tried.pop(key, None)
        worker = self.workers.get(node)
        if worker is not None:
            worker.moved(now)

    def answered(self, now: float, node: str) -> None:
        """Endpoints have answered calls of this node's, live ones perhaps."""
        worker = self.workers.get(node)
        if worker is not None:
            worker.answered_at = now

    def finished(self, now: float, node: str, key: ItemKey) -> None:
        """The node has done the item, which still counts among those that it runs."""
        since = self._given.get(key)
        if since is not None:
            self.run_s += RUN_WEIGHT * (now - since - self.run_s)
        self.forget(key)
        worker = self.workers.get(node)
        if worker is None:
            return
        worker.moved(now)
        if self._running(node) >= worker.window - 1:
            worker.window = min(MOST_WINDOW, worker.window + GROW)

    def forget(self, key: ItemKey) -> None:
        """The item needs no sidecar any more: it is done, or its job has ended."""
        self.released(key)
        self._tried.pop(key, None)

    def released(self, key: ItemKey) -> None:
        """No sidecar runs the item now."""
        self._starting.pop(key, None)
        self._given.pop(key, None)

    def returned(self, now: float, node: str, key: ItemKey, reason: ReturnReason) -> None:
        """The node has given the item back."""
        self.released(key)
        self._returns[reason] += 1
        if reason in (ReturnReason.SILENT, ReturnReason.STUCK, ReturnReason.FAILED):
            self._tried.setdefault(key, {})[node] = now
        worker = self.workers.get(node)
        if worker is None:
            return
        if reason in (ReturnReason.STUCK, ReturnReason.STOPPING):
            worker.stuck(now)
        elif reason in (ReturnReason.REFUSED, ReturnReason.SILENT):
            worker.refused(now)
