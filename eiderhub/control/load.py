"""How many calls are out to each endpoint over all sidecars, as their sessions last told.

Pure; of one control node. Each sidecar says with its pings what it has out, and is answered with what all
others have. Between control nodes it is the same: a backup tells the primary the sum of its own sessions, and
hears that of all others. What is old says nothing: who hears nothing new goes by its own calls alone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Mapping
from typing import NamedTuple

KEPT_S = 1.0  # what a session said counts for so long; four pings
MOST_TOLD = 64  # endpoints that one update tells of: those of the session's own zone come first


class _Report(NamedTuple):
    at: float
    calls: Mapping[str, int]


class LoadTable:
    """Calls by endpoint: of the sessions of this node, and of those of other nodes as the primary told."""

    def __init__(self) -> None:
        self._reports: dict[Hashable, _Report] = {}
        self._total: Counter[str] = Counter()  # of all reports
        self._elsewhere = _Report(float("-inf"), {})

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

    def others(self, now: float, session: Hashable) -> dict[str, int]:
        """What all but this session have out."""
        calls = Counter(self.own(now))
        if now - self._elsewhere.at <= KEPT_S:
            calls.update(self._elsewhere.calls)
        report = self._reports.get(session)
        if report is not None:
            calls.subtract(report.calls)
        return {endpoint: count for endpoint, count in calls.items() if count > 0}


def nearest(calls: Mapping[str, int], zones: Mapping[str, str], zone: str) -> dict[str, int]:
    """Those that an update to a session of that zone tells of; `zones`: of the endpoints."""
    found = sorted(calls, key=lambda endpoint: zones.get(endpoint) != zone)
    return {endpoint: calls[endpoint] for endpoint in found[:MOST_TOLD]}
