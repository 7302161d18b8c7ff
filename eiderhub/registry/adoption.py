"""Which lists a client of the list service adopts, and when it calls again. No I/O and no clock of its own.

Tests ensure that a client never returns to an older list of the same service; that an empty list, or one
much smaller than the list in use, is adopted only after a second source confirms it or a set time has passed;
and that endpoints marked as draining are drained at once.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from eiderhub.interface import Readiness
from eiderhub.registry.records import Entry, ZoneShare

US_PER_S = 1_000_000
MIN_READY_FRACTION = 0.5  # of the ready endpoints in use; a smaller list has to be confirmed
CONFIRMATION_US = 10 * US_PER_S  # a smaller list is adopted after it has been received for this long
BASE_BACKOFF_US, MAX_BACKOFF_US = 100_000, 8 * US_PER_S  # the first and the longest delay
MAX_FLEET_CALLS_PER_S = 500.0  # of all clients together, when they reconnect after an outage
RETURN_TO_NEAREST_US = 30 * US_PER_S  # after this long on another address the nearest one is tried again


class ZoneData(NamedTuple):
    """Regions and zone orders, which come with each list."""

    regions: Mapping[str, str] = {}
    orders: tuple[ZoneShare, ...] = ()

    def shares_at(self, unix_ms: int) -> dict[str, float]:
        """Shares of zones with an order in force; orders expire even without the list service."""
        return {order.zone: order.share for order in self.orders if order.until_ms > unix_ms}

    def next_expiry_ms(self, unix_ms: int) -> int | None:
        """When the next order expires."""
        return min((o.until_ms for o in self.orders if o.until_ms > unix_ms), default=None)


class ListAnswer(NamedTuple):
    """A list, or changes to one, as the list service answered."""

    source: str  # address that answered
    identity: str  # of the list service
    branch: str
    continues_ours: bool  # whether the service has the version that we sent in its history
    version: int
    is_full: bool
    entries: Sequence[Entry]
    zone_data: ZoneData = ZoneData()


class AdoptionResult(NamedTuple):
    """What was adopted of an answer."""

    adopted: bool
    is_full: bool  # whether `entries` is the whole list in use
    entries: Sequence[Entry]  # changed entries for users of the list
    reason: str = ""  # why it was not adopted, or what is unusual about it
    zone_data_changed: bool = False  # whether regions or zone orders changed


@dataclass(slots=True)
class _UnconfirmedList:
    """A smaller list that is not confirmed yet."""

    identity: str
    since_us: int
    sources: set[str] = field(default_factory=set)


class ShrinkGuard:
    """Keeps the recent numbers of ready endpoints, and holds back lists that have far fewer."""

    def __init__(
        self, min_ready_fraction: float = MIN_READY_FRACTION, confirmation_us: int = CONFIRMATION_US
    ) -> None:
        self._min_ready_fraction = min_ready_fraction
        self._confirmation_us = confirmation_us
        self._unconfirmed: _UnconfirmedList | None = None
        self._ready_counts: deque[tuple[int, int]] = deque()  # (time, ready endpoints) of adopted lists

    def recent_maximum(self, now_us: int) -> int:
        """The most ready endpoints in recent lists, so that many small losses count as a large one."""
        while len(self._ready_counts) > 1 and self._ready_counts[1][0] < now_us - self._confirmation_us:
            self._ready_counts.popleft()
        return max((ready for _, ready in self._ready_counts), default=0)

    def accepts(self, now_us: int, ready_count: int, identity: str, source: str) -> bool:
        """Whether a list with so many ready endpoints may be adopted now.

        A smaller list stays unconfirmed until one has been recorded as adopted.
        """
        reference_count = self.recent_maximum(now_us)
        if reference_count == 0 or (
            ready_count > 0 and ready_count >= self._min_ready_fraction * reference_count
        ):
            return True
        if self._unconfirmed is None or self._unconfirmed.identity != identity:
            self._unconfirmed = _UnconfirmedList(identity, now_us)
        self._unconfirmed.sources.add(source)
        return (
            len(self._unconfirmed.sources) > 1 or now_us - self._unconfirmed.since_us >= self._confirmation_us
        )

    def record_adopted(self, now_us: int, ready_count: int) -> None:
        self._unconfirmed = None
        while self._ready_counts and self._ready_counts[-1][1] <= ready_count:
            self._ready_counts.pop()  # superseded by a later, larger count
        self._ready_counts.append((now_us, ready_count))

    @property
    def has_unconfirmed(self) -> bool:
        return self._unconfirmed is not None


class AdoptedList:
    """The list in use by a client."""

    def __init__(
        self, min_ready_fraction: float = MIN_READY_FRACTION, confirmation_us: int = CONFIRMATION_US
    ) -> None:
        self.identity = ""
        self.branch = ""
        self.version = 0
        self.entries: dict[str, Entry] = {}
        self.zone_data = ZoneData()
        self._shrink_guard = ShrinkGuard(min_ready_fraction, confirmation_us)

    def load(
        self,
        now_us: int,
        identity: str,
        branch: str,
        version: int,
        entries: Sequence[Entry],
        zone_data: ZoneData,
    ) -> None:
        """Use a list that was stored earlier."""
        self.identity, self.branch, self.version, self.zone_data = identity, branch, version, zone_data
        self.entries = {entry.instance_id: entry for entry in entries}
        self._shrink_guard.record_adopted(now_us, _count_ready(self.entries))

    @property
    def has_unconfirmed(self) -> bool:
        return self._shrink_guard.has_unconfirmed

    def consider(self, now_us: int, answer: ListAnswer) -> AdoptionResult:
        same_service = answer.identity == self.identity
        if same_service and answer.version < self.version:
            reason = f"version {answer.version} is older than {self.version}, which is in use"
            return AdoptionResult(False, False, (), reason)
        if not answer.is_full and not (same_service and answer.continues_ours):
            return AdoptionResult(False, False, (), "changes to a list that this client does not have")
        new_entries = {} if answer.is_full else dict(self.entries)
        for entry in answer.entries:
            if entry.lifecycle is Readiness.GONE:
                new_entries.pop(entry.instance_id, None)
            else:
                new_entries[entry.instance_id] = entry
        ready_count = _count_ready(new_entries)
        if not self._shrink_guard.accepts(now_us, ready_count, answer.identity, answer.source):
            # Draining endpoints are adopted all the same: that is safe if the list is wrong.
            draining_entries = [
                entry
                for entry in answer.entries
                if entry.lifecycle is Readiness.DRAINING and entry.instance_id in self.entries
            ]
            self.entries.update((entry.instance_id, entry) for entry in draining_entries)
            reason = (
                f"{ready_count} ready endpoints where {self._shrink_guard.recent_maximum(now_us)} were in use"
            )
            return AdoptionResult(False, False, draining_entries, reason)
        reason = ""
        if self.identity and not (same_service and answer.continues_ours):
            reason = "another service, or one whose store was set back"
        self.identity, self.branch, self.version = answer.identity, answer.branch, answer.version
        self.entries = new_entries
        self._shrink_guard.record_adopted(now_us, ready_count)
        zone_data_changed, self.zone_data = answer.zone_data != self.zone_data, answer.zone_data
        return AdoptionResult(True, answer.is_full, answer.entries, reason, zone_data_changed)


def _count_ready(entries: Mapping[str, Entry]) -> int:
    return sum(entry.lifecycle is Readiness.READY for entry in entries.values())


class FleetBackoff:
    """Delay after a failure: backoff with full jitter, and a limit on the call rate of the whole fleet."""

    def __init__(
        self,
        rng: random.Random,
        base_us: int = BASE_BACKOFF_US,
        max_us: int = MAX_BACKOFF_US,
        max_fleet_calls_per_s: float = MAX_FLEET_CALLS_PER_S,
    ) -> None:
        self._rng = rng
        self._base_us = base_us
        self._max_us = max_us
        self._max_fleet_calls_per_s = max_fleet_calls_per_s
        self._failures = 0
        self.caller_count = 1  # clients of the service, from its latest answer

    def record_answer(self, caller_count: int | None) -> None:
        self._failures = 0
        if caller_count is not None:
            self.caller_count = max(1, caller_count)

    def spread_us(self) -> int:
        """If every client waits a random part of this, half on average, the fleet stays within the limit."""
        return int(2 * self.caller_count / self._max_fleet_calls_per_s * US_PER_S)

    def record_failure(self) -> int:
        """Count a failure; returns the microseconds until the next call."""
        backoff_us = min(self._max_us, self._base_us << min(self._failures, 20))
        self._failures += 1
        return int(self._rng.uniform(0, max(backoff_us, self.spread_us())))


class AddressSelector:
    """Chooses an address, nearest first: the next after a failure, the nearest again after a while."""

    def __init__(self, count: int, return_us: int = RETURN_TO_NEAREST_US) -> None:
        self.index = 0
        self._count = count
        self._return_us = return_us
        self._away_since_us: int | None = None

    def record_failure(self, now_us: int) -> None:
        self.index = (self.index + 1) % self._count
        self._away_since_us = now_us if self.index else None

    def record_answer(self, now_us: int) -> None:
        if self._away_since_us is not None and now_us - self._away_since_us >= self._return_us:
            self.index, self._away_since_us = 0, None

    def use_next(self) -> None:
        """Ask another address, to confirm an answer."""
        self.index = (self.index + 1) % self._count
        if self.index == 0:
            self._away_since_us = None
