"""What the storage primary knows of each sidecar that runs items: its window, and how it is judged.

Pure. A window grows with what a sidecar finishes and falls when it refuses. Standing says what came last: an
item that moved there, or one that it gave back. It counts in evidence, not in time: whatever shows that
endpoints answer a sidecar ends what was held against it.
"""

from __future__ import annotations

from enum import IntEnum

from eiderhub.batch.messages import Reach

START_WINDOW, LEAST_WINDOW, MOST_WINDOW = 6.0, 1.0, 64.0
GROW = 0.5  # per item that was finished while the window was in use
SHRINK = 0.7  # what a refusal leaves of the window
PAUSE_S = 0.1  # a sidecar that refused is left alone for so long
STUCK_PAUSE_S, MOST_STUCK_PAUSE_S = 0.5, 2.0  # one that is stuck; doubled each time, up to
TESTED_S = 2.0  # a sidecar at which an item began so lately is given more than one at a time
# An answer of endpoints that is no older says that they can be reached; longer than between two reports.
ANSWERED_LATELY_S = 1.25
NEVER = float("-inf")


class Standing(IntEnum):
    """How likely a sidecar is to move an item, by what came last; the likeliest first."""

    MOVING = 0  # it has moved items, and given none back since
    ANSWERED = 1  # endpoints have answered it since it last gave an item back
    UNKNOWN = 2  # nothing is known of it
    RETURNING = 3  # it has given an item back, and nothing is known of it since
    STUCK = 4  # the same, and that item had not been taken by any endpoint


class Worker:
    """One sidecar that runs items."""

    def __init__(self, node: str, zone: str, window: float) -> None:
        self.node = node
        self.zone = zone
        self.window = window
        self.standing = Standing.UNKNOWN
        self.stopping = False  # it takes no items any more
        self.begun = 0  # items there that have begun
        self._generation = 0  # of the configuration by which it routes, as it last told
        self._unknown_routes: set[str] = set()  # to that configuration
        self._moved_at = NEVER
        self._returned_at = NEVER
        self._answered_at = NEVER  # when endpoints are known to have answered calls of its
        self._stuck_at = NEVER  # when it last gave one back that it could not move
        self._refused_until = 0.0
        self._stuck_until = 0.0
        self._times_stuck = 0  # in a row, with nothing moved between

    def _judge(self) -> None:
        """Find the standing, after something has become known."""
        if NEVER < self._returned_at > self._answered_at:
            stuck = self._stuck_at == self._returned_at
            self.standing = Standing.STUCK if stuck else Standing.RETURNING
        elif NEVER < self._moved_at >= self._returned_at:
            self.standing = Standing.MOVING
        else:
            self.standing = Standing.UNKNOWN if self._answered_at == NEVER else Standing.ANSWERED

    @property
    def moved_at(self) -> float:
        """When an item last began there."""
        return self._moved_at

    @property
    def answered_at(self) -> float:
        """When endpoints are last known to have answered a call of its."""
        return self._answered_at

    @property
    def returned_at(self) -> float:
        """When it last gave an item back."""
        return self._returned_at

    def is_paused(self, now: float, wanted: bool = False) -> bool:
        """Whether it is given nothing for a while; `wanted`: no sidecar is known to do better."""
        return now < self._refused_until or (now < self._stuck_until and not wanted)

    def moves_now(self, now: float) -> bool:
        """Whether items are known to move there at this time."""
        return self.begun > 0 or now - self._moved_at <= TESTED_S

    def is_cut_off(self, now: float) -> bool:
        """Whether it has given an item back, and no endpoint is known to have answered it of late."""
        return self.standing >= Standing.RETURNING and not self.was_answered_lately(now)

    def was_answered_lately(self, now: float) -> bool:
        """Whether endpoints are known to answer it now."""
        return now - self._answered_at <= ANSWERED_LATELY_S

    def is_tested(self, now: float) -> bool:
        """Whether it moves items, or did lately: refusals alone may mean that it is full."""
        return self.standing is Standing.MOVING or now - self._moved_at <= TESTED_S

    def free(self, now: float, running: int, wanted: bool = False, share: float = 0.0) -> float:
        """How many more items it may be given: one beside those that have begun, unless it is tested.

        `share`: what one that moves items may have at least, however often it refused.
        """
        if self.stopping or self.is_paused(now, wanted):
            return 0.0
        if not self.is_tested(now):
            return min(self.window, self.begun + LEAST_WINDOW) - running
        return max(self.window, share if self.standing is Standing.MOVING else 0.0) - running

    def knows(self, route: str) -> bool:
        """Whether it may know a route."""
        return route not in self._unknown_routes

    def lacks(self, route: str) -> None:
        """It does not know a route."""
        self._unknown_routes.add(route)

    def routes_by(self, generation: int) -> None:
        """It routes by that generation of the configuration now."""
        if generation != self._generation:
            self._generation = generation
            self._unknown_routes.clear()

    def opened(self, now: float, reach: Reach, running: int) -> None:
        """It has opened a session, and says what it knows of itself; `running`: items that it has."""
        if reach is Reach.UNANSWERED:
            self._returned_at = now
        elif reach is Reach.ANSWERED:
            self._answered_at = now
            self._moved_at = now if running else NEVER
        self._judge()

    def moved(self, now: float) -> None:
        """An item has begun there."""
        self._moved_at = now
        self._times_stuck = 0
        self.answered(now)

    def answered(self, now: float) -> None:
        """Endpoints have answered calls of its, live ones perhaps."""
        self._answered_at = now
        self._stuck_until = 0.0
        self._judge()

    def failed(self, now: float) -> None:
        """It has given an item back; items that come back together are one sign."""
        self._returned_at = now
        self._judge()

    def refused(self, now: float) -> None:
        """It had no room: live traffic leaves none, unless it reaches no endpoint."""
        self.failed(now)
        if now >= self._refused_until:
            if self.was_answered_lately(now):
                self.window = max(LEAST_WINDOW, self.window * SHRINK)
            self._refused_until = now + PAUSE_S

    def stuck(self, now: float) -> None:
        """It could not move an item."""
        self._stuck_at = now
        self.failed(now)
        if now >= self._stuck_until:
            pause_s = min(STUCK_PAUSE_S * 2**self._times_stuck, MOST_STUCK_PAUSE_S)
            self._times_stuck += 1
            self._stuck_until = now + pause_s

    def grow(self) -> None:
        """It has done an item while its window was in use."""
        self.window = min(MOST_WINDOW, self.window + GROW)
