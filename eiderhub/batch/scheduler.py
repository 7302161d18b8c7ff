"""How many items each sidecar is given, and how many endpoints read prompts of items at one moment.

Pure. It counts no items: how many a sidecar runs is the job table's to say. A sidecar's window grows with
what it finishes and falls when it refuses: a refusal of its admission says that live traffic leaves no room
there. Items that have not begun to answer are bounded over all: an endpoint that reads many prompts at once
pauses every stream that it serves.
"""

from __future__ import annotations

from collections.abc import Callable

from eiderhub.batch.messages import ItemKey

START_WINDOW, LEAST_WINDOW, MOST_WINDOW = 6.0, 1.0, 64.0
GROW = 0.5  # per item that was finished while the window was in use
SHRINK = 0.7  # what a refusal leaves of the window
PAUSE_S = 0.1  # a sidecar that refused is left alone for so long
FIRST_RUN_S, RUN_WEIGHT = 1.5, 0.05  # what an item is taken to take at first; weight of the newest
STARTING_PER_ENDPOINT = 1.0  # items that may wait for their first event, for each endpoint
STARTING_S = 0.5  # an item that has not begun by then does not count any more


class Worker:
    """One sidecar that runs items."""

    def __init__(self, node: str, zone: str, window: float) -> None:
        self.node = node
        self.zone = zone
        self.window = window
        self.paused_until = 0.0

    def free(self, now: float, running: int) -> float:
        """How many more items it may be given."""
        return self.window - running if now >= self.paused_until else 0.0


class Scheduler:
    """`running` tells how many items a node is taken to run."""

    def __init__(self, running: Callable[[str], int]) -> None:
        self._running = running
        self.workers: dict[str, Worker] = {}
        self._starting: dict[ItemKey, float] = {}  # when each was given
        self._given: dict[ItemKey, float] = {}
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

    def join(self, node: str, zone: str) -> None:
        self.workers[node] = Worker(node, zone, self._first_window())

    def leave(self, node: str) -> None:
        self.workers.pop(node, None)

    def choose(self, now: float) -> Worker | None:
        """The sidecar with the most room; None where none has any, or enough items begin as it is."""
        for key in [k for k, since in self._starting.items() if now - since > STARTING_S]:
            del self._starting[key]
        if len(self._starting) >= STARTING_PER_ENDPOINT * self._endpoints:
            return None
        best: Worker | None = None
        most = 0.0
        for worker in self.workers.values():
            free = worker.free(now, self._running(worker.node))
            if free >= 1.0 and free > most:
                best, most = worker, free
        return best

    def given(self, now: float, key: ItemKey) -> None:
        self._starting[key] = now
        self._given[key] = now

    def started(self, key: ItemKey) -> None:
        """The item's first event has come."""
        self._starting.pop(key, None)

    def finished(self, now: float, node: str, key: ItemKey) -> None:
        """The node has done the item, which still counts among those that it runs."""
        self._starting.pop(key, None)
        since = self._given.pop(key, None)
        if since is not None:
            self.run_s += RUN_WEIGHT * (now - since - self.run_s)
        worker = self.workers.get(node)
        if worker is None:
            return
        if self._running(node) >= worker.window - 1:
            worker.window = min(MOST_WINDOW, worker.window + GROW)

    def forget(self, key: ItemKey) -> None:
        """The item is nobody's now: its job has ended, or its sidecar has gone."""
        self._starting.pop(key, None)
        self._given.pop(key, None)

    def returned(self, now: float, node: str, key: ItemKey, refused: bool) -> None:
        self.forget(key)
        worker = self.workers.get(node)
        if worker is None:
            return
        if refused and now >= worker.paused_until:
            worker.window = max(LEAST_WINDOW, worker.window * SHRINK)
            worker.paused_until = now + PAUSE_S
