"""The figures that operators read: plain counters, written where things end. Reading changes nothing."""

from __future__ import annotations

from collections.abc import Iterable


class Figures:
    """What has come of requests and attempts since the process began."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.success = dict.fromkeys(classes, 0)
        self.busy = dict.fromkeys(self.success, 0)
        self.failure = dict.fromkeys(self.success, 0)
        self.inflight = 0  # requests that came whole and have not ended
        self.backend_calls = 0  # attempts written whole

    def ended(self, grade: str, status: int) -> None:
        """A request of this class ended with this answer; one that was broken off counts as failed."""
        if status == 200:
            self.success[grade] += 1
        elif status in (429, 503):
            self.busy[grade] += 1
        else:
            self.failure[grade] += 1

    def lines(self, hosts_listed: int, hosts_down: int) -> list[str]:
        lines = [
            f"svc.calls.{grade}.{name}={counts[grade]}"
            for grade in self.success
            for name, counts in (("success", self.success), ("busy", self.busy), ("failure", self.failure))
        ]
        return [
            *lines,
            f"svc.backend_calls={self.backend_calls}",
            f"svc.inflight={self.inflight}",
            f"svc.hosts_listed={hosts_listed}",
            f"svc.hosts_down={hosts_down}",
        ]
