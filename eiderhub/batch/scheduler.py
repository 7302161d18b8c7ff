"""How many items each sidecar is given: a window that grows with what it finishes and falls when it refuses.

Pure. A refusal of a sidecar's admission says that live traffic leaves no room there.
"""

from __future__ import annotations

START_WINDOW, LEAST_WINDOW, MOST_WINDOW = 6.0, 1.0, 64.0
GROW = 0.5  # per item that was finished while the window was in use
SHRINK = 0.7  # what a refusal leaves of the window
PAUSE_S = 0.15  # a sidecar that refused is left alone for so long


class Worker:
    """One sidecar that runs items."""

    def __init__(self, node: str, zone: str) -> None:
        self.node = node
        self.zone = zone
        self.window = START_WINDOW
        self.running = 0
        self.paused_until = 0.0

    def free(self, now: float) -> float:
        """How many more items it may be given."""
        return self.window - self.running if now >= self.paused_until else 0.0


class Scheduler:
    def __init__(self) -> None:
        self.workers: dict[str, Worker] = {}

    def join(self, node: str, zone: str, running: int) -> None:
        worker = self.workers[node] = Worker(node, zone)
        worker.running = running

    def leave(self, node: str) -> None:
        self.workers.pop(node, None)

    def choose(self, now: float) -> Worker | None:
        """The sidecar with the most room; None where none has any."""
        best: Worker | None = None
        for worker in self.workers.values():
            if worker.free(now) >= 1.0 and (best is None or worker.free(now) > best.free(now)):
                best = worker
        return best

    def given(self, worker: Worker) -> None:
        worker.running += 1

    def finished(self, node: str) -> None:
        worker = self.workers.get(node)
        if worker is None:
            return
        if worker.running >= worker.window - 1:
            worker.window = min(MOST_WINDOW, worker.window + GROW)
        worker.running = max(0, worker.running - 1)

    def returned(self, now: float, node: str, refused: bool) -> None:
        worker = self.workers.get(node)
        if worker is None:
            return
        worker.running = max(0, worker.running - 1)
        if refused and now >= worker.paused_until:
            worker.window = max(LEAST_WINDOW, worker.window * SHRINK)
            worker.paused_until = now + PAUSE_S
