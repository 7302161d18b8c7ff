"""Calls in flight to each endpoint, summed over all sidecars.

Performs no I/O; holds the state of one control node. Each sidecar reports its calls in flight with its pings
and receives the sum of all others. Control nodes do the same: a backup reports the sum of its sessions to the
primary and receives the sum of all other nodes. Reports expire: without recent ones a node uses only the
calls of its own sessions.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Hashable, Mapping
from typing import NamedTuple

REPORT_TTL_S = 1.0  # four ping intervals
MAX_ENDPOINTS_PER_UPDATE = 64  # endpoints; those in the session's zone come first
TOTALS_TTL_S = 0.05  # a sum over all sessions is reused: in a large fleet it takes a millisecond


class _Report(NamedTuple):
    at: float
    calls: Mapping[str, int]


class LoadTable:
    """Calls in flight by endpoint: of this node's sessions, and of other nodes as the primary reported."""

    def __init__(self) -> None:
        self._reports: dict[Hashable, _Report] = {}
        self._local_total: Counter[str] = Counter()  # sum of `_reports`
        self._remote = _Report(float("-inf"), {})
        self._zone_totals: dict[str, _Report] = {}  # sums over all nodes, limited for sessions of a zone

    def report(self, now: float, session: Hashable, calls: Mapping[str, int]) -> None:
        """Replace the report of a session of this node: its calls in flight by endpoint."""
        self.remove(session)
        self._reports[session] = _Report(now, {e: n for e, n in calls.items() if n > 0})
        self._local_total.update(self._reports[session].calls)

    def remove(self, session: Hashable) -> None:
        """Remove the report of a session that has ended or reports anew."""
        report = self._reports.pop(session, None)
        if report is None:
            return
        for endpoint, calls in report.calls.items():
            self._local_total[endpoint] -= calls
            if self._local_total[endpoint] <= 0:
                del self._local_total[endpoint]

    def report_remote(self, now: float, calls: Mapping[str, int]) -> None:
        """Replace the report of the primary: the calls in flight of all other nodes' sessions."""
        self._remote = _Report(now, calls)

    def local(self, now: float) -> dict[str, int]:
        """Calls in flight of this node's sessions, after removing expired reports."""
        for session in [s for s, report in self._reports.items() if now - report.at > REPORT_TTL_S]:
            self.remove(session)
        return dict(self._local_total)

    def total(self, now: float) -> dict[str, int]:
        """Calls in flight of the sessions of all nodes."""
        calls = Counter(self.local(now))
        if now - self._remote.at <= REPORT_TTL_S:
            calls.update(self._remote.calls)
        return dict(calls)

    def total_excluding(self, now: float, session: Hashable) -> dict[str, int]:
        """Calls in flight of all sessions but this one, for all endpoints."""
        return self._subtract_session(session, self.total(now))

    def zone_total_excluding(
        self, now: float, session: Hashable, zone: str, zone_of: Callable[[str], str]
    ) -> dict[str, int]:
        """Calls in flight of all sessions but this one, limited to what one update to its zone may carry."""
        totals = self._zone_totals.get(zone)
        if totals is None or now - totals.at > TOTALS_TTL_S:
            totals = self._zone_totals[zone] = _Report(now, _limit_to_update(self.total(now), zone, zone_of))
        return self._subtract_session(session, totals.calls)

    def _subtract_session(self, session: Hashable, calls: Mapping[str, int]) -> dict[str, int]:
        remaining = {endpoint: count for endpoint, count in calls.items() if count > 0}
        report = self._reports.get(session)
        for endpoint, count in report.calls.items() if report is not None else ():
            if endpoint in remaining:
                remaining[endpoint] -= count
                if remaining[endpoint] <= 0:
                    del remaining[endpoint]
        return remaining


def _limit_to_update(calls: dict[str, int], zone: str, zone_of: Callable[[str], str]) -> dict[str, int]:
    """Limit the endpoints to what one update may carry, those in the zone first."""
    if len(calls) <= MAX_ENDPOINTS_PER_UPDATE:
        return calls
    ordered = sorted(calls, key=lambda endpoint: zone_of(endpoint) != zone)
    return {endpoint: calls[endpoint] for endpoint in ordered[:MAX_ENDPOINTS_PER_UPDATE]}
