"""The storage primary's view of each sidecar that runs items: its concurrency window and its health.

Performs no I/O; callers pass the time. The window grows as the sidecar finishes items and shrinks when it
refuses them. Health follows the latest evidence, an item that started there or one that was returned, and
does not recover with time alone: any sign that endpoints answer the sidecar clears earlier failures.
"""

from __future__ import annotations

from enum import IntEnum

from eiderhub.batch.messages import Reach

INITIAL_WINDOW, MIN_WINDOW, MAX_WINDOW = 6.0, 1.0, 64.0
WINDOW_INCREMENT = 0.5  # per item finished while the window is fully used
WINDOW_DECREASE_FACTOR = 0.7  # applied on a refusal
REFUSAL_PAUSE_S = 0.1  # a sidecar gets no items for this long after a refusal
INITIAL_STUCK_PAUSE_S, MAX_STUCK_PAUSE_S = 0.5, 2.0  # after a stuck item; doubles each time
PROVEN_S = 2.0  # a sidecar that started an item within this time gets more than one at a time
# An endpoint answer within this time means that endpoints are reachable; longer than the report interval.
REACHABLE_S = 1.25
NEVER = float("-inf")


class WorkerHealth(IntEnum):
    """How likely a sidecar is to make progress with an item, by its latest event; most likely first."""

    PROGRESSING = 0  # it has started items and returned none since
    REACHABLE = 1  # endpoints have answered it since it last returned an item
    UNKNOWN = 2  # no evidence yet
    FAILING = 3  # it has returned an item, and no endpoint is known to have answered it since
    STUCK = 4  # as FAILING, and the last item was returned as stuck


class Worker:
    """One sidecar that runs items."""

    def __init__(self, node: str, zone: str, window: float) -> None:
        self.node = node
        self.zone = zone
        self.window = window
        self.health = WorkerHealth.UNKNOWN
        self.stopping = False  # it is shutting down and accepts no more items
        self.started_items = 0  # running items whose first event has arrived
        self._generation = 0  # last reported generation of its routing configuration
        self._unknown_routes: set[str] = set()  # routes missing in that configuration
        self._last_start_at = NEVER
        self._last_return_at = NEVER
        self._last_answer_at = NEVER  # when endpoints last answered one of its calls
        self._last_stuck_at = NEVER  # when it last returned an item as stuck
        self._refusal_pause_until = 0.0
        self._stuck_pause_until = 0.0
        self._consecutive_stalls = 0  # without an item started in between

    def _update_health(self) -> None:
        """Recompute the health from the times of the latest events."""
        if NEVER < self._last_return_at > self._last_answer_at:
            stuck = self._last_stuck_at == self._last_return_at
            self.health = WorkerHealth.STUCK if stuck else WorkerHealth.FAILING
        elif NEVER < self._last_start_at >= self._last_return_at:
            self.health = WorkerHealth.PROGRESSING
        else:
            self.health = WorkerHealth.UNKNOWN if self._last_answer_at == NEVER else WorkerHealth.REACHABLE

    @property
    def last_start_at(self) -> float:
        """When an item last started there."""
        return self._last_start_at

    @property
    def last_answer_at(self) -> float:
        """When an endpoint is last known to have answered one of its calls."""
        return self._last_answer_at

    @property
    def last_return_at(self) -> float:
        """When it last returned an item."""
        return self._last_return_at

    def is_paused(self, now: float, ignore_stuck_pause: bool = False) -> bool:
        """Whether it gets no items at present.

        Args:
            now: Current time.
            ignore_stuck_pause: Set while no sidecar makes progress, so that each one keeps being tried.
        """
        return now < self._refusal_pause_until or (now < self._stuck_pause_until and not ignore_stuck_pause)

    def is_progressing(self, now: float) -> bool:
        """Whether items are running there or one started recently."""
        return self.started_items > 0 or now - self._last_start_at <= PROVEN_S

    def is_unreachable(self, now: float) -> bool:
        """Whether it has returned an item, and no endpoint is known to have answered it recently."""
        return self.health >= WorkerHealth.FAILING and not self.is_reachable(now)

    def is_reachable(self, now: float) -> bool:
        """Whether an endpoint has answered it within `REACHABLE_S`."""
        return now - self._last_answer_at <= REACHABLE_S

    def is_proven(self, now: float) -> bool:
        """Whether it makes progress or recently did; a refusal after that may just mean that it is full."""
        return self.health is WorkerHealth.PROGRESSING or now - self._last_start_at <= PROVEN_S

    def free_slots(
        self, now: float, running: int, ignore_stuck_pause: bool = False, min_window: float = 0.0
    ) -> float:
        """How many more items may be assigned to it.

        A sidecar that is not proven gets one item besides those that have started.

        Args:
            now: Current time.
            running: Number of items that it runs.
            ignore_stuck_pause: See `is_paused`.
            min_window: Lower bound of the window while it makes progress, regardless of refusals.
        """
        if self.stopping or self.is_paused(now, ignore_stuck_pause):
            return 0.0
        if not self.is_proven(now):
            return min(self.window, self.started_items + MIN_WINDOW) - running
        return max(self.window, min_window if self.health is WorkerHealth.PROGRESSING else 0.0) - running

    def may_know_route(self, route: str) -> bool:
        """Whether the route is not known to be missing there."""
        return route not in self._unknown_routes

    def record_unknown_route(self, route: str) -> None:
        """Note that its configuration does not have the route."""
        self._unknown_routes.add(route)

    def set_generation(self, generation: int) -> None:
        """Note the generation of its configuration; a new one may have the missing routes."""
        if generation != self._generation:
            self._generation = generation
            self._unknown_routes.clear()

    def session_opened(self, now: float, reach: Reach, running: int) -> None:
        """Set the initial health from what a sidecar with `running` items reports as its session opens."""
        if reach is Reach.UNANSWERED:
            self._last_return_at = now
        elif reach is Reach.ANSWERED:
            self._last_answer_at = now
            self._last_start_at = now if running else NEVER
        self._update_health()

    def record_start(self, now: float) -> None:
        """An item has started there."""
        self._last_start_at = now
        self._consecutive_stalls = 0
        self.record_answer(now)

    def record_answer(self, now: float) -> None:
        """Endpoints have answered its calls, which may be live ones; this also ends a stuck pause."""
        self._last_answer_at = now
        self._stuck_pause_until = 0.0
        self._update_health()

    def record_return(self, now: float) -> None:
        """It has returned an item; several returned together have the effect of one."""
        self._last_return_at = now
        self._update_health()

    def record_refusal(self, now: float) -> None:
        """It had no room for an item.

        The window shrinks only while endpoints are reachable: otherwise the refusal does not show that live
        traffic fills the sidecar. Refusals within one pause count once.
        """
        self.record_return(now)
        if now >= self._refusal_pause_until:
            if self.is_reachable(now):
                self.window = max(MIN_WINDOW, self.window * WINDOW_DECREASE_FACTOR)
            self._refusal_pause_until = now + REFUSAL_PAUSE_S

    def record_stall(self, now: float) -> None:
        """It has returned an item that made no progress; returns within one pause count once."""
        self._last_stuck_at = now
        self.record_return(now)
        if now >= self._stuck_pause_until:
            pause_s = min(INITIAL_STUCK_PAUSE_S * 2**self._consecutive_stalls, MAX_STUCK_PAUSE_S)
            self._consecutive_stalls += 1
            self._stuck_pause_until = now + pause_s

    def grow_window(self) -> None:
        """Enlarge the window: an item finished while it was fully used."""
        self.window = min(MAX_WINDOW, self.window + WINDOW_INCREMENT)
