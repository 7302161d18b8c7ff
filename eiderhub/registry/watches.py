"""Long polls for changes of a group: when each is answered. No I/O and no clock of its own."""

from __future__ import annotations

import heapq
from typing import Generic, NamedTuple, TypeVar

from eiderhub.registry.records import Group

COALESCE_DELAY_US = 5_000  # delay after a change, so that further changes are answered with it
INTERVAL_PER_WATCH_US = 100  # pause between answers to a group, for each of its watches: the time they take
T = TypeVar("T")


class Watch(NamedTuple):
    """One waiting call."""

    ticket: int
    group: Group
    deadline_us: int


class Watches(Generic[T]):
    """All waiting calls. The watches of a changed group are answered together, a little later.

    `T` is the host's handle of a call. A call for which a change is already there waits for the next answers
    as well: its host adds it and reports the change again.
    """

    def __init__(self) -> None:
        self._last_ticket = 0
        self._callers: dict[int, T] = {}
        self._waiting: dict[Group, dict[int, Watch]] = {}
        self._deadlines: list[tuple[int, int, Group]] = []
        self._answer_times: dict[Group, int] = {}  # when each changed group is answered
        self._last_answered: dict[Group, tuple[int, int]] = {}  # time and count of the last answers

    def __len__(self) -> int:
        return len(self._callers)

    def add(self, caller: T, group: Group, deadline_us: int) -> int:
        self._last_ticket += 1
        watch = Watch(self._last_ticket, group, deadline_us)
        self._callers[watch.ticket] = caller
        self._waiting.setdefault(group, {})[watch.ticket] = watch
        if len(self._deadlines) > 2 * len(self._callers) + 64:  # most are of watches answered before
            self._deadlines = [each for each in self._deadlines if each[1] in self._callers]
            heapq.heapify(self._deadlines)
        heapq.heappush(self._deadlines, (deadline_us, watch.ticket, group))
        return watch.ticket

    def remove(self, ticket: int, group: Group) -> None:
        self._callers.pop(ticket, None)
        self._remove_from_group(ticket, group)

    def _remove_from_group(self, ticket: int, group: Group) -> None:
        waiting = self._waiting.get(group, {})
        waiting.pop(ticket, None)
        if not waiting:  # groups come from callers' queries: keep no empty ones
            self._waiting.pop(group, None)

    def waiting_groups(self, service: str) -> list[Group]:
        """The groups of a service that have watches."""
        return [group for group in self._waiting if group.service == service]

    def mark_changed(self, now_us: int, group: Group) -> None:
        if group not in self._answer_times:
            # Most of the watches just answered are about to return, so they count as well.
            last_us, last_count = self._last_answered.get(group, (now_us, 0))
            interval_us = INTERVAL_PER_WATCH_US * max(
                last_count, len(self._waiting.get(group, ())) if last_count else 0
            )
            self._answer_times[group] = max(now_us + COALESCE_DELAY_US, last_us + interval_us)

    def take_due(self, now_us: int) -> list[T]:
        """Remove and return the calls to answer now: their group changed, or their wait is over."""
        callers: list[T] = []
        for group in [group for group, when in self._answer_times.items() if when <= now_us]:
            del self._answer_times[group]
            waiting = self._waiting.pop(group, {})
            self._last_answered[group] = (now_us, len(waiting))
            for ticket in waiting:
                callers.append(self._callers.pop(ticket))
        while self._deadlines and (
            self._deadlines[0][0] <= now_us or self._deadlines[0][1] not in self._callers
        ):
            _, ticket, group = heapq.heappop(self._deadlines)
            if ticket in self._callers:
                callers.append(self._callers.pop(ticket))
                self._remove_from_group(ticket, group)
        return callers

    def next_due_us(self) -> int | None:
        due_times = [*self._answer_times.values(), *(until for until, _, _ in self._deadlines[:1])]
        return min(due_times, default=None)
