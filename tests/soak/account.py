"""Checks at the end of a soak: each request is answered once, each item has one result, changes persist."""

from __future__ import annotations

from typing import Any, NamedTuple

from tests.soak.clients import Outcome, Reply
from tests.soak.endpoints import POISON_SUFFIX, ExecutionLog, item_text
from tests.tier_support import route

ITEM_ATTEMPTS = route("lots")["max_attempts"]  # answers of 500 before an item may be a dead letter
CLOSE_RACE_S = 0.25  # a request that is sent less than this before a close may cross with it
INTERRUPTION_MARGIN_S = 6.0  # before and after an interruption, in which lost requests are excused


class Request(NamedTuple):
    """One live request.

    Kinds are `once` (not idempotent), `whole` (idempotent) and `live` (a stream that can be resumed).
    """

    id: str
    kind: str
    edge: str
    sent_at: float
    ended_at: float
    reply: Reply


class BatchJob:
    """One batch job from the view of its client."""

    def __init__(self, job_id: str, items: list[str]) -> None:
        self.id = job_id
        self.items = items
        self.accepted = False
        self.cancelled = False  # its client has requested its end
        self.always_refused = True  # each submission got an answer that excludes execution
        self.results: dict[int, tuple[str, str, str]] = {}  # id, state and text by position


class Interruption(NamedTuple):
    """A time in which a sidecar was killed or suspended; lost requests near it are excused."""

    edge: str
    started_at: float
    ended_at: float


class Account:
    """Records the requests, jobs and changes of a soak and checks them at its end."""

    def __init__(self, executions: ExecutionLog) -> None:
        self._executions = executions
        self.requests: list[Request] = []
        self.jobs: dict[str, BatchJob] = {}
        self.interruptions: list[Interruption] = []
        self.changes: dict[int, dict[str, Any]] = {}  # documents sent, by generation
        self.acknowledged_generation = 0  # the newest one
        self.violations: list[str] = []

    def add_violation(self, text: str) -> None:
        self.violations.append(text)

    # --- requests ---

    def check_requests(self) -> None:
        for request in self.requests:
            self._check_request(request)

    def _check_request(self, request: Request) -> None:
        run_count = self._executions.counts[request.id]
        reply = request.reply
        name = f"{request.kind} {request.id} at {request.edge}"
        if request.kind == "once" and run_count > 1:
            self.add_violation(f"TWICE: {name} ran {run_count} times")
        if reply.outcome is Outcome.UNANSWERED and not self._excused(request):
            self.add_violation(f"LOST: {name} has no answer, its connection is still open")
        elif reply.outcome is Outcome.CUT:
            self._check_cut(request, name, run_count)
        elif reply.outcome is Outcome.ANSWERED:
            self._check_answer(request, name, run_count)

    def _check_cut(self, request: Request, name: str, run_count: int) -> None:
        if request.id in self._executions.failed or self._excused(request):
            return
        if run_count:
            self.add_violation(f"LOST: {name} was cut while an endpoint worked on it")
        elif request.ended_at - request.sent_at > CLOSE_RACE_S:
            self.add_violation(
                f"LOST: {name} was cut {request.ended_at - request.sent_at:.2f} s after it was sent"
            )

    def _excused(self, request: Request) -> bool:
        return any(
            interruption.edge == request.edge
            and interruption.started_at - INTERRUPTION_MARGIN_S < request.ended_at
            and request.sent_at < interruption.ended_at + INTERRUPTION_MARGIN_S
            for interruption in self.interruptions
        )

    def _check_answer(self, request: Request, name: str, run_count: int) -> None:
        reply = request.reply
        signature = reply.headers.get("response-signature", "")
        if reply.status == 200:
            if signature not in self._executions.signatures.get(request.id, ()):
                self.add_violation(f"MIXED: {name} has the signature {signature!r}")
            if reply.body != expected_body(request):
                self.add_violation(f"MIXED: {name} got {reply.body[:60]!r}")
        elif reply.status in (429, 503, 408, 421) and request.kind == "once" and run_count:
            self.add_violation(f"REFUSED: {name} was answered {reply.status} and ran")
        elif reply.status in (400, 404):
            self.add_violation(f"DENIED: {name} was answered {reply.status}")

    # --- jobs ---

    def record_page(self, job: BatchJob, start: int, results: list[dict[str, str]]) -> None:
        """Record the results that a client has read; results that were read before must be the same."""
        for position, result in enumerate(results, start):
            result_read = (result["id"], result["state"], result["text"])
            earlier = job.results.setdefault(position, result_read)
            if earlier != result_read:
                self.add_violation(f"TWICE: {job.id} {position} was {earlier[:2]}, is {result_read[:2]}")

    def check_jobs(self) -> None:
        for job in self.jobs.values():
            items_run = [item for item in job.items if self._executions.counts[item]]
            if not job.accepted:
                if job.always_refused and items_run:
                    self.add_violation(
                        f"REFUSED: {job.id} was refused at each submission, but {len(items_run)} items ran"
                    )
                continue
            self._check_job(job)

    def _check_job(self, job: BatchJob) -> None:
        listed = [item for item, _, _ in job.results.values()]
        if len(set(listed)) < len(listed):
            self.add_violation(f"TWICE: items of {job.id} are listed at two positions")
        missing = set(job.items) - set(listed)
        if missing and not job.cancelled:
            self.add_violation(
                f"LOST: {len(missing)} of {len(job.items)} items of {job.id}: {sorted(missing)[:3]}"
            )
        for item, state, text in job.results.values():
            if state == "succeeded" and text != item_text(item):
                self.add_violation(f"MIXED: {item} of {job.id} has the text {text[:60]!r}")
            if state == "dead_letter" and not item.endswith(POISON_SUFFIX) and not job.cancelled:
                errors = self._executions.server_errors[item]
                if errors < ITEM_ATTEMPTS:
                    self.add_violation(
                        f"MIXED: {item} of {job.id} is a dead letter after {errors} answers of 500"
                    )

    # --- changes ---

    def check_configuration(self, found: dict[str, Any] | None) -> None:
        if found is None:
            self.add_violation("CONFIG: the configuration can't be read")
            return
        generation = found["generation"]
        if generation < self.acknowledged_generation:
            self.add_violation(
                f"LOST: generation {self.acknowledged_generation} was acknowledged, "
                f"generation {generation} is stored"
            )
        elif found != self.changes.get(generation):
            self.add_violation(f"CONFIG: generation {generation} differs from the document that was sent")


def expected_body(request: Request) -> bytes:
    """The body of a successful response."""
    if request.kind == "live":
        lines = item_text(request.id).split("\n")
        return b"".join(f"id: {n}\ndata: {line}\n\n".encode() for n, line in enumerate(lines))
    return item_text(request.id).encode()
