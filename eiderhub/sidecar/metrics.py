"""Request counters for operators; reading them has no side effects."""

from __future__ import annotations

from collections.abc import Iterable


class RequestMetrics:
    """Counts of requests and attempts since the process started."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.success = dict.fromkeys(classes, 0)
        self.busy = dict.fromkeys(self.success, 0)
        self.failure = dict.fromkeys(self.success, 0)
        self.inflight = 0  # requests received completely and not yet answered
        self.backend_calls = 0  # attempts whose request has been written completely

    def count_answer(self, request_class: str, status: int) -> None:
        """Count a final answer by its status; an aborted answer is counted as a failure."""
        if status == 200:
            self.success[request_class] += 1
        elif status in (429, 503):
            self.busy[request_class] += 1
        else:
            self.failure[request_class] += 1

    def metric_lines(self, hosts_listed: int, hosts_down: int) -> list[str]:
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
