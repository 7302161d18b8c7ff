"""How many calls are out to each endpoint over all sidecars, as their sessions last told.

Pure; of one control node. Each sidecar says with its pings what it has out, and is answered with what all
others have. Between control nodes it is the same: a backup tells the primary the sum of its own sessions, and
hears that of all others. What is old says nothing: who hears nothing new goes by its own calls alone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Hashable, Mapping
from typing import NamedTuple

KEPT_S = 1.0  # what a session said counts for so long; four pings
MOST_TOLD = 64  # endpoints that one update tells of: those of the session's own zone come first
SUMMED_S = 0.05  # a sum over all sessions is used for so long: in a large fleet it takes a millisecond


class _Report(NamedTuple):
    at: float
    calls: Mapping[str, int]


class LoadTable:
    """Calls by endpoint: of the sessions of this node, and of those of other nodes as the primary told."""

    def __init__(self) -> None:
        self._reports: dict[Hashable, _Report] = {}
        self._total: Counter[str] = Counter()  # of all reports
        self._elsewhere = _Report(float("-inf"), {})
        self._sums: dict[str, _Report] = {}  # over all nodes, what sessions of one zone may be told

    def report(self, now: float, session: Hashable, calls: Mapping[str, int]) -> None:
        """A session says how many calls it has out to each endpoint."""
        self.forget(session)
        self._reports[session] = _Report(now, {e: n for e, n in calls.items() if n > 0})
        self._total.update(self._reports[session].calls)

    def forget(self, session: Hashable) -> None:
        """A session has ended, or says something new."""
        report = self._reports.pop(session, None)
        if report is None:
            return
        for endpoint, calls in report.calls.items():
            self._total[endpoint] -= calls
            if self._total[endpoint] <= 0:
                del self._total[endpoint]

    def heard_elsewhere(self, now: float, calls: Mapping[str, int]) -> None:
        """The primary has told what the sessions of all other nodes have out."""
        self._elsewhere = _Report(now, calls)

    def own(self, now: float) -> dict[str, int]:
        """What the sessions of this node have out."""
        for session in [s for s, report in self._reports.items() if now - report.at > KEPT_S]:
            self.forget(session)
        return dict(self._total)

    def all(self, now: float) -> dict[str, int]:
        """What the sessions of all nodes have out."""
        calls = Counter(self.own(now))
        if now - self._elsewhere.at <= KEPT_S:
            calls.update(self._elsewhere.calls)
        return dict(calls)

    def others(self, now: float, session: Hashable) -> dict[str, int]:
        """What all but this session have out, of all endpoints."""
        return self._without(session, self.all(now))

    def nearest(
        self, now: float, session: Hashable, zone: str, zone_of: Callable[[str], str]
    ) -> dict[str, int]:
        """What all but this session have out, of the endpoints that a session of its zone is told of."""
        told = self._sums.get(zone)
        if told is None or now - told.at > SUMMED_S:
            told = self._sums[zone] = _Report(now, _first(self.all(now), zone, zone_of))
        return self._without(session, told.calls)

    def _without(self, session: Hashable, calls: Mapping[str, int]) -> dict[str, int]:
        left = {endpoint: count for endpoint, count in calls.items() if count > 0}
        report = self._reports.get(session)
        for endpoint, count in report.calls.items() if report is not None else ():
            if endpoint in left:
                left[endpoint] -= count
                if left[endpoint] <= 0:
                    del left[endpoint]
        return left


def _first(calls: dict[str, int], zone: str, zone_of: Callable[[str], str]) -> dict[str, int]:
    """Those that one update tells of."""
    if len(calls) <= MOST_TOLD:
        return calls
    found = sorted(calls, key=lambda endpoint: zone_of(endpoint) != zone)
    return {endpoint: calls[endpoint] for endpoint in found[:MOST_TOLD]}
