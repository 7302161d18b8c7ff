"""Evaluation of a day: checks the four rules, and computes the score.

It is based on the true state of the deployment, and shares no code with the balancer under test.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any

import numpy as np

from eiderhub.interface import Effect, Group, Readiness
from eiderhub.world.clients import ClientRequest, End
from eiderhub.world.day import Day, EndpointPlan, RequestClassPlan
from eiderhub.world.discovery import EndpointList, Entry
from eiderhub.world.endpoint import ColdOverload

SOCKET_SLACK_US = 50_000  # added to each time limit, because sockets delay what is observed
# The crash of a cold endpoint is a breach when at least this share of the work that caused it came from
# senders that had the endpoint's start time from discovery.
INFORMED_WORK_SHARE = 2 / 3
WINDOW_STEP_US = 1_000_000
MAX_BREACHES = 100  # stored with their texts; all are counted
FAILED_CALL_FACTOR = 4  # extends `ask_every_s` after a failed call to discovery


class Rule(Enum):
    """The rules that a balancer must keep."""

    NO_DROPPED_REQUEST = "no dropped request"
    EFFECT_ONCE = "each effect once"
    SAFE_DRAIN = "safe drain"
    CAREFUL_FAIL_BACK = "careful fail-back"


@dataclass(frozen=True, slots=True)
class Breach:
    """One violation of a rule."""

    rule: Rule
    at_us: int
    what: str


class InterruptedOutcome(Enum):
    """The outcome of a request whose connection ended before its answer was complete."""

    LOST = "lost"
    UNREAD = "unread"  # the sidecar closed an idle connection meanwhile: the client sends the request again
    FAILED = "failed"


@dataclass(slots=True)
class _Attempt:
    """One attempt of a sidecar at an endpoint."""

    plan: EndpointPlan
    at_us: int
    never_ran: bool = False
    open: bool = True


@dataclass(slots=True)
class _Request:
    """One request that a sidecar has received, with its attempts."""

    sidecar: str
    request_class: RequestClassPlan
    ended: bool = False
    attempts: list[_Attempt] = field(default_factory=list)


@dataclass(slots=True)
class _SidecarView:
    """The state of discovery that one sidecar has received."""

    # By endpoint: when the sidecar received that it drains or has ended.
    leaving_since_us: dict[str, int] = field(default_factory=dict)
    started_us: dict[str, int | None] = field(default_factory=dict)
    last_call_us: int = 0
    last_call_failed: bool = False
    call_open: bool = False


@dataclass(slots=True)
class OutcomeCounts:
    """Requests of one request class or tenant, counted by outcome, and their worth."""

    asked: int = 0
    served: int = 0
    late: int = 0  # served after the class's target latency
    refused: int = 0
    failed: int = 0
    worth: float = 0.0  # gained
    wanted: float = 0.0  # worth of all requests, if each was served in time

    @property
    def share(self) -> float:
        """The gained share of the worth; 1 without requests."""
        return self.worth / self.wanted if self.wanted else 1.0


@dataclass(slots=True)
class Evaluation:
    """The result of a day. Shares are gained shares of the requests' worth."""

    score: float  # 0 where a rule is broken
    goodput: float  # weighted sum of `whole`, `worst_window`, `worst_class` and `worst_tenant`
    whole: float
    worst_window: float
    worst_window_at_s: float
    worst_class: float
    worst_tenant: float
    deductions: dict[str, float]
    classes: dict[str, OutcomeCounts]
    tenants: dict[str, OutcomeCounts]
    latency_ms: dict[str, float]  # p50, p90, p99 of the served requests, from the first try on
    tries_per_request: float
    attempts_per_request: float  # of front sidecars, per request that they received
    cross_zone_calls: int
    cross_region_calls: int  # part of `cross_zone_calls`
    declined: int
    fallen: int
    breaches: dict[str, int]
    first_breaches: list[str]
    timeline: list[tuple[float, float]]  # by second of arrival: worth of the requests, gained worth

    @property
    def rules_kept(self) -> bool:
        """Whether no rule was broken."""
        return not self.breaches

    def document(self) -> dict[str, Any]:
        """Return the result as a JSON document."""
        return asdict(self)


class Evaluator:
    """Records the events of a day as they happen, checks the rules, and evaluates the day at its end."""

    def __init__(self, day: Day) -> None:
        self._day = day
        self._requests: dict[str, _Request] = {}
        self._views: dict[str, _SidecarView] = {}
        self._breaches: list[Breach] = []
        self._breach_counts: Counter[Rule] = Counter()
        self.client_requests: list[ClientRequest] = []
        self._region_of_zone = day.regions
        self._tier_of_sidecar = {plan.name: plan.tier for plan in day.sidecar_plans}
        self._counters: Counter[str] = Counter()
        # By endpoint: when discovery published that it drains or has ended.
        self._published_leaving_us: dict[str, int] = {}

    # --- clients ---

    def add_client_request(self, request: ClientRequest) -> None:
        """Record a request of a client, at its arrival."""
        self.client_requests.append(request)

    # --- rule 1 (no dropped request), and refusals ---

    def request_sent(self, request_id: str, sidecar: str, request_class: RequestClassPlan) -> None:
        """Record that a request has been written completely to a sidecar."""
        request = self._requests.get(request_id)
        if request is None:
            request = self._requests[request_id] = _Request(sidecar, request_class)
            self._counters["taken by front"] += self._tier_of_sidecar.get(sidecar) == 0
        request.sidecar, request.ended = sidecar, False  # may be a second sending

    def answer_received(self, now_us: int, request_id: str, status: int, produced: bool) -> None:
        """Record a complete answer; `produced`: an endpoint produced its body for this request."""
        request = self._requests[request_id]
        request.ended = True
        if status == 200 and not produced:
            self._add_breach(
                Rule.NO_DROPPED_REQUEST, now_us, f"{request_id}: no endpoint produced its answer"
            )
        if status in (429, 503):
            self._check_refusal(now_us, request_id, request)

    def _check_refusal(self, now_us: int, request_id: str, request: _Request) -> None:
        spec = request.request_class.spec
        repeatable = spec.effect is Effect.IDEMPOTENT
        repeatable = repeatable or (spec.effect is Effect.DEDUPLICATED and spec.group is Group.ALL)
        if not repeatable and any(not attempt.never_ran for attempt in request.attempts):
            self._add_breach(
                Rule.EFFECT_ONCE, now_us, f"{request.sidecar} refused {request_id}, which may have run"
            )

    def connection_ended(self, now_us: int, request_id: str, first: bool, killed: bool) -> InterruptedOutcome:
        """Record that a connection ended before the answer was complete, and return the request's outcome.

        `first`: the request was the first one on the connection; `killed`: the scenario killed the sidecar.
        """
        request = self._requests[request_id]
        request.ended = True
        if killed:
            return InterruptedOutcome.FAILED
        if not request.attempts:
            return InterruptedOutcome.FAILED if first else InterruptedOutcome.UNREAD
        self._add_breach(Rule.NO_DROPPED_REQUEST, now_us, f"{request.sidecar} lost {request_id}")
        return InterruptedOutcome.LOST

    def client_gave_up(self, request_id: str) -> None:
        """Record that the client has closed the request's connection."""
        self._requests[request_id].ended = True

    def forget(self, request_ids: Iterable[str]) -> None:
        """Drop the records of requests for which no further event is possible."""
        for request_id in request_ids:
            self._requests.pop(request_id, None)

    # --- rules 2 (each effect once) and 3 (safe drain): attempts ---

    def attempt_arrived(
        self, now_us: int, first_byte_us: int, request_id: str, sidecar: str, plan: EndpointPlan
    ) -> bool:
        """Record an attempt that has arrived completely; False where no client sent such a request."""
        request = self._requests.get(request_id)
        if request is None or request.sidecar != sidecar:
            self._add_breach(
                Rule.EFFECT_ONCE, now_us, f"{sidecar} sent {request_id[:40]!r}, which no client sent"
            )
            return False
        self._counters["attempts by front"] += self._tier_of_sidecar.get(sidecar) == 0
        self._check_repeat(now_us, request_id, request, plan)
        leaving_since_us = self._leaving_since_us(now_us, sidecar, plan.id)
        grace_us = int(self._day.scenario.rules.drain_grace_ms * 1000) + SOCKET_SLACK_US
        if leaving_since_us is not None and first_byte_us - leaving_since_us > grace_us:
            late_ms = (first_byte_us - leaving_since_us) // 1000
            self._add_breach(
                Rule.SAFE_DRAIN,
                now_us,
                f"{sidecar} sent to {plan.id} {late_ms} ms after it was informed of its end",
            )
        request.attempts.append(_Attempt(plan, now_us))
        return True

    def _check_repeat(self, now_us: int, request_id: str, request: _Request, plan: EndpointPlan) -> None:
        spec = request.request_class.spec
        earlier = [attempt for attempt in request.attempts if not attempt.never_ran]
        if not earlier:
            return
        if not self._day.scenario.allowed.second_copies and any(attempt.open for attempt in earlier):
            self._add_breach(Rule.EFFECT_ONCE, now_us, f"{request_id} has two attempts in flight")
        if spec.effect is Effect.AT_MOST_ONCE:
            self._add_breach(
                Rule.EFFECT_ONCE, now_us, f"{request.sidecar} sent {request_id} again, which may have run"
            )
        elif spec.effect is Effect.DEDUPLICATED:
            first = earlier[0]
            same_group = spec.group is Group.ALL or (
                (first.plan.zone == plan.zone) if spec.group is Group.ZONE else (first.plan.cell == plan.cell)
            )
            if not same_group:
                self._add_breach(
                    Rule.EFFECT_ONCE, now_us, f"{request.sidecar} sent {request_id} to another group"
                )
            elif now_us - first.at_us > spec.window_ms * 1000 + SOCKET_SLACK_US:
                self._add_breach(
                    Rule.EFFECT_ONCE, now_us, f"{request.sidecar} sent {request_id} past its window"
                )

    def attempt_ended(self, request_id: str, plan: EndpointPlan, never_ran: bool) -> None:
        """Record the outcome of the newest open attempt at this endpoint."""
        request = self._requests.get(request_id)
        for attempt in reversed(request.attempts if request else []):
            if attempt.plan is plan and attempt.open:
                attempt.open = False
                attempt.never_ran = never_ran
                self._counters["declined"] += never_ran
                return

    def call_made(self, one_zone: str, other_zone: str) -> None:
        """Count a call between two zones, where it crosses a zone or region border."""
        self._counters["cross-zone"] += one_zone != other_zone
        self._counters["cross-region"] += self._region_of_zone.get(one_zone) != self._region_of_zone.get(
            other_zone
        )

    # --- discovery as the sidecars receive it ---

    def sidecar_started(self, now_us: int, sidecar: str, listing: EndpointList) -> None:
        """Record that a sidecar starts with this list and no other state."""
        self._views[sidecar] = _SidecarView(last_call_us=now_us)
        self.list_received(now_us, sidecar, listing)

    def list_requested(self, now_us: int, sidecar: str) -> None:
        """Record a sidecar's call to discovery."""
        view = self._views.setdefault(sidecar, _SidecarView())
        view.last_call_us, view.call_open = now_us, True

    def list_received(self, now_us: int, sidecar: str, listing: EndpointList | None) -> None:
        """Record the end of a sidecar's call to discovery; without a listing the call has failed."""
        view = self._views.setdefault(sidecar, _SidecarView())
        view.call_open, view.last_call_us, view.last_call_failed = False, now_us, listing is None
        if listing is None:
            return
        listed_ids = set()
        for entry in listing.entries:
            listed_ids.add(entry.id)
            if entry.lifecycle is Readiness.READY:
                view.leaving_since_us.pop(entry.id, None)
                view.started_us[entry.id] = entry.started_us
            else:
                view.leaving_since_us.setdefault(entry.id, now_us)
        if listing.full:
            for missing_id in view.started_us.keys() - listed_ids:
                view.leaving_since_us.setdefault(missing_id, now_us)

    def knows_start(self, sidecar: str, endpoint_id: str, started_us: int | None) -> bool:
        """Return whether the sidecar has received this start time of the endpoint."""
        if started_us is None:
            return True
        view = self._views.get(sidecar)
        return view is not None and view.started_us.get(endpoint_id) == started_us

    def entry_published(self, now_us: int, entry: Entry) -> None:
        """Record that discovery has published a change."""
        if entry.lifecycle is Readiness.READY:
            self._published_leaving_us.pop(entry.id, None)
        else:
            self._published_leaving_us.setdefault(entry.id, now_us)

    def _leaving_since_us(self, now_us: int, sidecar: str, endpoint_id: str) -> int | None:
        """Since when the sidecar knows, or is taken to know, that the endpoint accepts no new requests."""
        view = self._views.get(sidecar)
        if view is None:
            return None
        known_since_us = view.leaving_since_us.get(endpoint_id)
        published_us = self._published_leaving_us.get(endpoint_id)
        if known_since_us is not None or published_us is None or view.call_open:
            return known_since_us
        # A sidecar that makes no call for this time is taken to know what was published before it.
        max_silence_us = int(self._day.scenario.rules.ask_every_s * 1e6) * (
            FAILED_CALL_FACTOR if view.last_call_failed else 1
        )
        assumed_since_us = max(published_us, view.last_call_us) + max_silence_us
        return assumed_since_us if assumed_since_us <= now_us else None

    # --- rule 4 (careful fail-back) ---

    def cold_overload(self, now_us: int, endpoint_id: str, overload: ColdOverload) -> None:
        """Record the crash of a cold endpoint; a breach where informed senders caused it."""
        self._counters["fallen"] += 1
        if overload.informed_work_us >= INFORMED_WORK_SHARE * overload.work_us:
            self._add_breach(
                Rule.CAREFUL_FAIL_BACK, now_us, f"{endpoint_id} was overloaded while it was cold"
            )

    def _add_breach(self, rule: Rule, now_us: int, description: str) -> None:
        self._breach_counts[rule] += 1
        if len(self._breaches) < MAX_BREACHES:
            self._breaches.append(Breach(rule, now_us, description))

    # --- the result ---

    def evaluate(self, wasted_work_us: float, choked_share: float) -> Evaluation:
        """Evaluate the day.

        Args:
            wasted_work_us: work that endpoints did for requests whose sender no longer waited.
            choked_share: share of the endpoints that were choked at some time.
        """
        day, scoring = self._day, self._day.scenario.goal
        ended = [request for request in self.client_requests if request.end is not None]
        worst_share, worst_start_us = _worst_window(
            ended, day.length_us, int(scoring.window_s * 1e6), scoring.over_share_worth
        )
        classes = {
            request_class.name: _count_outcomes(
                (request for request in ended if request.request_class is request_class),
                scoring.over_share_worth,
            )
            for request_class in day.request_classes
        }
        tenants = {
            tenant.name: _count_outcomes(
                (request for request in ended if request.tenant == tenant.name), scoring.over_share_worth
            )
            for tenant in day.tenants
        }
        total = _count_outcomes(ended, scoring.over_share_worth)
        shares_within_quota = [
            _count_outcomes(
                (request for request in ended if request.tenant == tenant.name and request.within_quota),
                scoring.over_share_worth,
            ).share
            for tenant in day.tenants
        ]
        worst_class = min((row.share for row in classes.values()), default=1.0)
        worst_tenant = min(shares_within_quota, default=1.0)
        goodput = (
            scoring.whole * total.share
            + scoring.worst_window * worst_share
            + scoring.worst_class * worst_class
            + scoring.worst_tenant * worst_tenant
        )
        demanded_work_us = day.work_factor * sum(request.work_us for request in ended)
        request_count = max(1, len(ended))
        unserved = [request for request in ended if not request.served and request.ended_us is not None]
        late_worth = sum(
            _full_worth(request, 1.0) for request in unserved if _is_late(request, request.ended_us or 0)
        )
        deductions = {
            "late": scoring.late_fail * min(1.0, late_worth / total.wanted if total.wanted else 0.0),
            "waste": scoring.waste * min(1.0, wasted_work_us / demanded_work_us if demanded_work_us else 0.0),
            "cross-zone": scoring.cross_zone * min(1.0, self._counters["cross-zone"] / request_count),
            "cross-region": scoring.cross_region * min(1.0, self._counters["cross-region"] / request_count),
            "choke": scoring.choke * choked_share,
        }
        score = 0.0 if self._breach_counts else max(0.0, goodput - sum(deductions.values()))
        taken = max(1, self._counters["taken by front"])
        return Evaluation(
            score=score,
            goodput=goodput,
            whole=total.share,
            worst_window=worst_share,
            worst_window_at_s=worst_start_us / 1e6,
            worst_class=worst_class,
            worst_tenant=worst_tenant,
            deductions=deductions,
            classes=classes,
            tenants=tenants,
            latency_ms=_latency_percentiles(ended),
            tries_per_request=sum(request.tries for request in ended) / request_count,
            attempts_per_request=self._counters["attempts by front"] / taken,
            cross_zone_calls=self._counters["cross-zone"],
            cross_region_calls=self._counters["cross-region"],
            declined=self._counters["declined"],
            fallen=self._counters["fallen"],
            breaches={rule.value: count for rule, count in self._breach_counts.items()},
            timeline=_timeline(ended, day.length_us, scoring.over_share_worth),
            first_breaches=[
                f"{breach.at_us / 1e6:.2f} s: {breach.rule.value}: {breach.what}"
                for breach in self._breaches[:20]
            ],
        )


def _is_late(request: ClientRequest, now_us: int) -> bool:
    return now_us - request.arrival_us > request.request_class.aim_us


def _full_worth(request: ClientRequest, over_quota_worth: float) -> float:
    """The worth of a request that is served in time; reduced for requests over the tenant's quota."""
    return request.request_class.spec.worth * (1.0 if request.within_quota else over_quota_worth)


def _gained_worth(request: ClientRequest, over_quota_worth: float) -> float:
    if not request.served or request.ended_us is None:
        return 0.0
    worth = _full_worth(request, over_quota_worth)
    return worth * request.request_class.spec.late_worth if _is_late(request, request.ended_us) else worth


def _count_outcomes(requests: Iterable[ClientRequest], over_quota_worth: float) -> OutcomeCounts:
    row = OutcomeCounts()
    for request in requests:
        row.asked += 1
        row.wanted += _full_worth(request, over_quota_worth)
        row.worth += _gained_worth(request, over_quota_worth)
        if request.served and request.ended_us is not None:
            if _is_late(request, request.ended_us):
                row.late += 1
            else:
                row.served += 1
        elif request.end is End.REFUSED:
            row.refused += 1
        else:
            row.failed += 1
    return row


def _worst_window(
    requests: Sequence[ClientRequest], length_us: int, window_us: int, over_quota_worth: float
) -> tuple[float, int]:
    """The smallest gained share of worth in any window of this length, by arrival, and the window's start."""
    if not requests:
        return 1.0, 0
    arrivals_us = np.array([request.arrival_us for request in requests])
    wanted_sums = np.concatenate(
        ([0.0], np.cumsum([_full_worth(request, over_quota_worth) for request in requests]))
    )
    gained_sums = np.concatenate(
        ([0.0], np.cumsum([_gained_worth(request, over_quota_worth) for request in requests]))
    )
    worst_share, worst_start_us = 1.0, 0
    for start_us in range(0, max(1, length_us - window_us + 1), WINDOW_STEP_US):
        low, high = np.searchsorted(arrivals_us, [start_us, start_us + window_us])
        window_worth = wanted_sums[high] - wanted_sums[low]
        share = float((gained_sums[high] - gained_sums[low]) / window_worth) if window_worth > 0 else 1.0
        if share < worst_share:
            worst_share, worst_start_us = share, start_us
    return worst_share, worst_start_us


def _timeline(
    requests: Iterable[ClientRequest], length_us: int, over_quota_worth: float
) -> list[tuple[float, float]]:
    """Total and gained worth by the second of arrival."""
    seconds = [(0.0, 0.0)] * -(-length_us // 1_000_000)
    for request in requests:
        second = min(len(seconds) - 1, request.arrival_us // 1_000_000)
        wanted, gained = seconds[second]
        seconds[second] = (
            wanted + _full_worth(request, over_quota_worth),
            gained + _gained_worth(request, over_quota_worth),
        )
    return [(round(wanted, 3), round(gained, 3)) for wanted, gained in seconds]


def _latency_percentiles(requests: Sequence[ClientRequest]) -> dict[str, float]:
    latencies_ms = [
        (request.ended_us - request.arrival_us) / 1000
        for request in requests
        if request.served and request.ended_us is not None
    ]
    if not latencies_ms:
        return {}
    return {f"p{p}": round(float(np.percentile(latencies_ms, p)), 1) for p in (50, 90, 99)}
