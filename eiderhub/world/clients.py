"""Clients: the arrival times of their requests, and their retries."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import numpy as np

from eiderhub.interface import Effect, Group
from eiderhub.world.day import Day, EndpointPlan, RequestClassPlan
from eiderhub.world.network import draw_lognormal
from eiderhub.world.scenario import TroubleKind

LOAD_WAVES_PER_DAY = 1.5  # periods of the sine wave of the load
ATTEMPT_WORK_VARIATION = 0.2  # coefficient of variation of the work between attempts of one request


class End(Enum):
    """The outcome of one try of a client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    GIVEN_UP = "given up"  # the client's time-out for it expired
    BROKEN = "broken"  # the connection ended before the answer was complete
    UNREACHABLE = "unreachable"  # no connection could be established


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request of a client, and the tries that it makes for it."""

    number: int
    arrival_us: int
    request_class: RequestClassPlan
    tenant: str | None
    zone: str
    work_us: float  # each call to a tier takes the tier's share of it
    key: str | None  # idempotency key, for deduplicated classes
    honours_retry_after: bool
    within_quota: bool = True
    tries: int = 0
    ended_us: int | None = None
    end: End | None = None
    try_ends: list[End] = field(default_factory=list)

    @property
    def deadline_us(self) -> int:
        """The time at which the client gives up for good."""
        return self.arrival_us + self.request_class.deadline_us

    @property
    def served(self) -> bool:
        """Whether the request was served."""
        return self.end is End.SERVED


def draw_requests(day: Day) -> list[ClientRequest]:
    """Draw all requests of the day, in the order of their arrival.

    The load is open loop: arrivals do not depend on earlier answers.
    """
    rng = day.rng("arrivals")
    peak_per_s = day.rate_per_s * (1 + day.swing)
    for event in day.events:
        if event.kind is TroubleKind.BURST:
            peak_per_s *= max(1.0, event.size)
    count = int(rng.poisson(peak_per_s * day.length_us / 1e6))
    arrivals_us = np.sort(rng.uniform(0, day.length_us, count))
    arrivals_us = arrivals_us[rng.uniform(0, peak_per_s, count) < _rate_per_s(day, arrivals_us)]
    class_indices = rng.choice(
        len(day.request_classes),
        size=len(arrivals_us),
        p=[request_class.share for request_class in day.request_classes],
    )
    zone_indices = rng.choice(len(day.zone_weights), size=len(arrivals_us), p=day.zone_weights)
    demands_per_s = np.array([tenant_plan.demand_per_s for tenant_plan in day.tenants])
    tenant_indices = (
        rng.choice(len(demands_per_s), size=len(arrivals_us), p=demands_per_s / demands_per_s.sum())
        if len(demands_per_s)
        else None
    )
    class_work_us = [
        draw_lognormal(rng, request_class.work_us, request_class.spread, len(arrivals_us))
        for request_class in day.request_classes
    ]
    honours_retry_after = rng.random(len(arrivals_us)) < day.retry_after_share
    quotas = {tenant_plan.name: TokenBucket(tenant_plan.quota_per_s) for tenant_plan in day.tenants}
    requests = []
    for i, arrival_us in enumerate(arrivals_us):
        request_class = day.request_classes[int(class_indices[i])]
        tenant = day.tenants[int(tenant_indices[i])].name if tenant_indices is not None else None
        requests.append(
            ClientRequest(
                number=i,
                arrival_us=int(arrival_us),
                request_class=request_class,
                tenant=tenant,
                zone=day.scenario.zones[int(zone_indices[i])],
                work_us=float(class_work_us[int(class_indices[i])][i]),
                key=f"{day.seed:08x}{i:08x}" if request_class.spec.effect is Effect.DEDUPLICATED else None,
                honours_retry_after=bool(honours_retry_after[i]),
                within_quota=tenant is None or quotas[tenant].try_take(int(arrival_us)),
            )
        )
    return requests


def _rate_per_s(day: Day, times_us: np.ndarray) -> np.ndarray:
    """The mean arrival rate of requests (first tries) at these times."""
    wave = np.sin(2 * np.pi * LOAD_WAVES_PER_DAY * times_us / day.length_us)
    rate: np.ndarray = day.rate_per_s * (1 + day.swing * wave)
    for event in day.events:
        if event.kind is TroubleKind.BURST:
            rate = np.where((times_us >= event.at_us) & (times_us < event.until_us), rate * event.size, rate)
    return rate


class TokenBucket:
    """A tenant's quota: refilled continuously, with a burst of one second's tokens."""

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._refilled_us = 0

    def try_take(self, now_us: int) -> bool:
        """Take a token; returns whether there was one."""
        self._tokens = min(
            self._rate_per_s, self._tokens + (now_us - self._refilled_us) * self._rate_per_s / 1e6
        )
        self._refilled_us = now_us
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def try_timeout_us(day: Day, request: ClientRequest, now_us: int) -> int:
    """The time-out of a try that starts now."""
    return min(int(day.try_share * request.request_class.deadline_us), request.deadline_us - now_us)


def next_try_us(day: Day, request: ClientRequest, now_us: int, end: End, retry_after_us: int) -> int | None:
    """The time of the client's next try after this outcome; None where it does not retry."""
    if end is End.SERVED or request.tries > day.retries:
        return None
    spec = request.request_class.spec
    repeatable = spec.effect is Effect.IDEMPOTENT
    if spec.effect is Effect.DEDUPLICATED and spec.group is Group.ALL:
        repeatable = now_us - request.arrival_us < spec.window_ms * 1000
    if not repeatable and end not in (End.REFUSED, End.UNREACHABLE):
        return None
    wait_us = day.backoff_us
    if request.honours_retry_after and retry_after_us > 0:
        wait_us = min(retry_after_us, int(day.scenario.allowed.max_retry_after_ms * 1000))
    retry_at_us = now_us + wait_us
    return retry_at_us if retry_at_us < request.deadline_us else None


def draw_endpoint_work_us(
    day: Day, plan: EndpointPlan, request_work_us: float, rng: np.random.Generator
) -> float:
    """Draw an endpoint's own work for one request, in microseconds of a core of speed 1."""
    share = day.scenario.tier[plan.tier].work
    return float(request_work_us * share * draw_lognormal(rng, 1.0, ATTEMPT_WORK_VARIATION, 1)[0])


def draw_call_count(day: Day, tier: int, rng: np.random.Generator) -> int:
    """Draw the number of calls that a request at this tier makes to the next one."""
    mean_calls = day.calls_to_next_tier[tier]
    return int(mean_calls) + int(rng.random() < mean_calls - int(mean_calls))
