"""One day: a simulated run, with every value that the scenario leaves open drawn from a seed."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

import numpy as np

from eiderhub.world.scenario import (
    DEFAULT_SIZES,
    DEGRADED_ERROR_SHARE,
    ENDPOINT_TROUBLES,
    LOSS_TROUBLES,
    REGION_TROUBLES,
    SIDECAR_TROUBLES,
    ZONE_TROUBLES,
    RequestClassSpec,
    Scenario,
    Tier,
    TroubleKind,
)

US_PER_S = 1_000_000

ValueOrRange = float | tuple[float, ...]


def draw_value(rng: np.random.Generator, setting: ValueOrRange) -> float:
    """Return a fixed value as it is, or draw one uniformly from its range."""
    if isinstance(setting, tuple):
        return float(rng.uniform(setting[0], setting[1]))
    return float(setting)


@dataclass(frozen=True, slots=True)
class ChokePlan:
    """How an endpoint becomes slow after a long backlog, and recovers."""

    at: float  # requests waiting for a core, above which the backlog counts
    over_us: int  # duration of the backlog that starts the choke
    slower: float  # factor
    below: float  # the endpoint is idle with fewer running jobs
    rest_us: int  # idle time that ends the choke
    most_us: int  # longest duration of the choke


@dataclass(frozen=True, slots=True)
class EndpointPlan:
    """The drawn properties of one endpoint. Work is in microseconds of a core of speed 1."""

    id: str
    tier: int
    zone: str
    kind: str
    cell: int
    cores: int
    speed: float
    slots: int  # requests that it processes at a time
    queue: int  # requests that wait for a slot
    crowded_from: float  # number of requests above which all of them slow down
    crowding: float
    cold_from: float  # share of the capacity right after a start
    cold_us: int  # duration of the warm-up
    warm_by_work: bool
    error_rate: float
    cancels_all: bool  # a cancelled request stops also while it runs
    connections: int  # most open connections
    handshake_rtts: float
    handshake_us: float
    choke: ChokePlan | None
    overload_factor: float  # work sent to it, in multiples of its capacity, that crashes it while it is cold
    overload_window_us: int

    @property
    def capacity(self) -> float:
        """Capacity when warm, in cores of speed 1."""
        return self.cores * self.speed


@dataclass(frozen=True, slots=True)
class SidecarPlan:
    """The place of one sidecar in the deployment."""

    name: str
    tier: int  # the tier whose endpoints it sends to
    rank: int  # its index among the sidecars of that tier
    zone: str
    endpoint_id: str | None  # the endpoint that it runs beside; None: a front sidecar
    sidecars_in_tier: int  # number of sidecars of that tier


@dataclass(frozen=True, slots=True)
class RequestClassPlan:
    """A request class with its drawn values."""

    name: str
    share: float  # of all requests
    work_us: float  # mean
    spread: float  # coefficient of variation of the work
    spec: RequestClassSpec

    @property
    def aim_us(self) -> int:
        """Target latency: a later answer has only the class's `late_worth`."""
        return int(self.spec.aim_ms * 1000)

    @property
    def deadline_us(self) -> int:
        """Time from the arrival of a request to its deadline."""
        return int(self.spec.deadline_ms * 1000)


@dataclass(frozen=True, slots=True)
class TenantPlan:
    """A tenant with its quota and its demand."""

    name: str
    share: float
    quota_per_s: float
    demand_per_s: float


@dataclass(frozen=True, slots=True)
class Event:
    """A trouble of the scenario with its drawn values: a fault, or a change of the load or the deployment."""

    kind: TroubleKind
    at_us: int
    until_us: int
    size: float
    every_us: int
    endpoints: tuple[str, ...]
    sidecars: tuple[str, ...]
    zone: str
    how: str = ""
    zones: tuple[str, ...] = ()  # all zones affected
    part: float = 0.0  # share of the calls that fail
    target_zone: str = ""  # the zone whose front sidecars the clients move to

    @property
    def description(self) -> str:
        """A description for reports."""
        targets = ", ".join(self.endpoints or self.sidecars) or self.zone
        if self.target_zone:
            return f"{self.kind.value} of {self.zone} to {self.target_zone}"
        if self.how and not targets:
            return f"{self.kind.value} ({self.how})"
        return f"{self.kind.value}{f' of {targets}' if targets else ''}"


@dataclass(frozen=True, slots=True)
class Day:
    """A scenario with all values drawn: the deployment, the load and the faults of one simulated run."""

    scenario: Scenario
    name: str
    seed: int
    length_us: int
    endpoint_plans: tuple[EndpointPlan, ...]
    sidecar_plans: tuple[SidecarPlan, ...]
    request_classes: tuple[RequestClassPlan, ...]
    tenants: tuple[TenantPlan, ...]
    events: tuple[Event, ...]
    calls_to_next_tier: tuple[float, ...]  # by tier: mean calls of a request
    rate_per_s: float  # mean arrival rate of requests, without bursts and retries
    swing: float  # amplitude of the load's wave, relative to `rate_per_s`
    same_zone_us: int  # one-way network delays
    cross_zone_us: int
    cross_region_us: int
    jitter: float
    zone_weights: tuple[float, ...]
    retries: int
    try_share: float  # of the deadline: a client's time-out for one try
    backoff_us: int
    retry_after_share: float  # of the clients, that honour Retry-After

    def rng(self, stream: str) -> np.random.Generator:
        """Return a random generator for one purpose, so that draws for different purposes are independent."""
        return np.random.default_rng([self.seed, *stream.encode()])

    @property
    def work_factor(self) -> float:
        """A request's work over all tiers, relative to its class's work; deeper tiers get more calls."""
        calls_per_request, factor = 1.0, 0.0
        for tier, calls in zip(self.scenario.tier, self.calls_to_next_tier, strict=True):
            factor += calls_per_request * tier.work
            calls_per_request *= calls
        return factor

    @property
    def regions(self) -> dict[str, str]:
        """Region by zone; empty where the scenario has no regions."""
        return {zone: region for region, zones in self.scenario.regions.items() for zone in zones}

    def sidecar_plans_of(self, tier: int) -> list[SidecarPlan]:
        """Return the sidecars that send to a tier."""
        return [plan for plan in self.sidecar_plans if plan.tier == tier]


def draw_day(scenario: Scenario, seed: int, name: str = "") -> Day:
    """Draw a day from a scenario; the same seed gives the same day."""
    rng = np.random.default_rng([seed, 1])
    length_us = int(draw_value(rng, scenario.seconds) * US_PER_S)
    endpoint_plans = _endpoint_plans(rng, scenario)
    sidecar_plans = _sidecar_plans(scenario, endpoint_plans)
    shares = [draw_value(rng, class_spec.share) for class_spec in scenario.class_]
    request_classes = tuple(
        RequestClassPlan(
            class_spec.name,
            share / sum(shares),
            draw_value(rng, class_spec.work_ms) * 1000,
            draw_value(rng, class_spec.spread),
            class_spec,
        )
        for class_spec, share in zip(scenario.class_, shares, strict=True)
    )
    calls = [draw_value(rng, tier.calls) for tier in scenario.tier]
    capacity_per_s = _capacity_per_s(scenario, endpoint_plans, request_classes, calls)
    rate_per_s = capacity_per_s * draw_value(rng, scenario.load.of_capacity)
    # Quotas are shares of the deployment's capacity, not of the drawn load.
    quota_per_s = capacity_per_s * draw_value(rng, scenario.load.quota_of_capacity)
    tenants = []
    demands = [tenant.share * draw_value(rng, tenant.usage) for tenant in scenario.tenant]
    for tenant, demand in zip(scenario.tenant, demands, strict=True):
        tenants.append(
            TenantPlan(
                tenant.name, tenant.share, quota_per_s * tenant.share, rate_per_s * demand / sum(demands)
            )
        )
    skew = draw_value(rng, scenario.load.zone_skew)
    weights = 1 + skew * rng.uniform(-1, 1, len(scenario.zones))
    day = Day(
        scenario=scenario,
        name=name,
        seed=seed,
        length_us=length_us,
        endpoint_plans=endpoint_plans,
        sidecar_plans=sidecar_plans,
        request_classes=request_classes,
        tenants=tuple(tenants),
        events=tuple(_events(rng, scenario, endpoint_plans, sidecar_plans)),
        calls_to_next_tier=(*calls[1:], 0.0),
        rate_per_s=rate_per_s,
        swing=draw_value(rng, scenario.load.swing),
        same_zone_us=int(draw_value(rng, scenario.network.same_ms) * 1000),
        cross_zone_us=int(draw_value(rng, scenario.network.cross_ms) * 1000),
        cross_region_us=0,
        jitter=draw_value(rng, scenario.network.jitter),
        zone_weights=tuple(float(w) for w in weights / weights.sum()),
        retries=int(draw_value(rng, scenario.clients.retries)),
        try_share=draw_value(rng, scenario.clients.try_share),
        backoff_us=int(draw_value(rng, scenario.clients.backoff_ms) * 1000),
        retry_after_share=draw_value(rng, scenario.clients.honour),
    )
    # Drawn last, so that the other draws of a seed do not depend on it.
    return replace(day, cross_region_us=int(draw_value(rng, scenario.network.region_ms) * 1000))


def _endpoint_plans(rng: np.random.Generator, scenario: Scenario) -> tuple[EndpointPlan, ...]:
    return tuple(
        _endpoint_plan(rng, scenario, tier, depth, number)
        for depth, tier in enumerate(scenario.tier)
        for number in range(tier.endpoints)
    )


def _endpoint_plan(
    rng: np.random.Generator, scenario: Scenario, tier: Tier, depth: int, number: int
) -> EndpointPlan:
    # Kinds are assigned by their shares, not at random: two days differ in speeds, not in the mix of kinds.
    cumulative_shares = np.cumsum([kind.share for kind in tier.kind])
    kind = tier.kind[
        int(np.searchsorted(cumulative_shares / cumulative_shares[-1], (number + 0.5) / tier.endpoints))
    ]
    choke = tier.choke
    return EndpointPlan(
        id=f"{tier.name}-{number}",
        tier=depth,
        zone=scenario.zones[number % len(scenario.zones)],
        kind=kind.name,
        cell=number // tier.cell_size,
        cores=kind.cores,
        speed=draw_value(rng, kind.speed),
        slots=max(1, round(draw_value(rng, kind.slots_per_core) * kind.cores)),
        queue=round(draw_value(rng, kind.queue_per_core) * kind.cores),
        crowded_from=draw_value(rng, kind.crowded_from) * kind.cores,
        crowding=draw_value(rng, kind.crowding),
        cold_from=draw_value(rng, kind.cold_from),
        cold_us=int(draw_value(rng, kind.cold_s) * US_PER_S),
        warm_by_work=kind.warm_by == "work",
        error_rate=draw_value(rng, kind.error_rate),
        cancels_all=kind.cancels == "all",
        connections=round(draw_value(rng, tier.connections.per_core) * kind.cores),
        handshake_rtts=draw_value(rng, tier.connections.handshake_rtts),
        handshake_us=draw_value(rng, tier.connections.handshake_us),
        choke=None
        if choke is None
        else ChokePlan(
            at=draw_value(rng, choke.at) * kind.cores,
            over_us=int(draw_value(rng, choke.over_s) * US_PER_S),
            slower=draw_value(rng, choke.slower),
            below=draw_value(rng, choke.below) * kind.cores,
            rest_us=int(draw_value(rng, choke.rest_s) * US_PER_S),
            most_us=int(draw_value(rng, choke.most_s) * US_PER_S),
        ),
        overload_factor=scenario.rules.overload_factor,
        overload_window_us=int(scenario.rules.fall_ms * 1000),
    )


def _sidecar_plans(scenario: Scenario, endpoint_plans: Sequence[EndpointPlan]) -> tuple[SidecarPlan, ...]:
    """Place the front sidecars, and one sidecar beside each endpoint that calls a further tier."""
    front_count = scenario.front.sidecars
    zones = scenario.zones
    sidecar_plans = [
        SidecarPlan(f"front-{i}", 0, i, zones[i % len(zones)], None, front_count) for i in range(front_count)
    ]
    for depth in range(1, len(scenario.tier)):
        caller_plans = [plan for plan in endpoint_plans if plan.tier == depth - 1]
        sidecar_plans += [
            SidecarPlan(f"beside-{plan.id}", depth, i, plan.zone, plan.id, len(caller_plans))
            for i, plan in enumerate(caller_plans)
        ]
    return tuple(sidecar_plans)


def _capacity_per_s(
    scenario: Scenario,
    endpoint_plans: Sequence[EndpointPlan],
    request_classes: Sequence[RequestClassPlan],
    calls: Sequence[float],
) -> float:
    """The request rate that saturates the tier with the least capacity, when all endpoints are warm."""
    mean_work_us = sum(request_class.share * request_class.work_us for request_class in request_classes)
    tier_capacities_per_s, calls_per_request = [], 1.0
    for depth, tier in enumerate(scenario.tier):
        calls_per_request *= calls[depth] if depth else 1.0
        cores = sum(plan.capacity for plan in endpoint_plans if plan.tier == depth)
        tier_capacities_per_s.append(cores * US_PER_S / (mean_work_us * tier.work * calls_per_request))
    return min(tier_capacities_per_s)


def _events(
    rng: np.random.Generator,
    scenario: Scenario,
    endpoint_plans: Sequence[EndpointPlan],
    sidecar_plans: Sequence[SidecarPlan],
) -> list[Event]:
    events = []
    for trouble in scenario.trouble:
        at_us = int(draw_value(rng, trouble.at_s) * US_PER_S)
        endpoints: list[str] = []
        sidecars: list[str] = []
        zone = trouble.zone or ""
        if trouble.kind in ZONE_TROUBLES and not zone:
            zone = str(rng.choice(scenario.zones))
        zones: tuple[str, ...] = (zone,) if zone else ()
        if trouble.kind in REGION_TROUBLES:
            region = trouble.region or str(rng.choice(list(scenario.regions)))
            zone, zones = region, tuple(scenario.regions[region])
        part, target_zone = 0.0, ""
        if trouble.kind is TroubleKind.ZONE_GREY:
            default_part = DEGRADED_ERROR_SHARE if trouble.size is None else 0.0
            part = default_part if trouble.part is None else draw_value(rng, trouble.part)
        elif trouble.kind is TroubleKind.CALLERS_MOVE:
            target_zone = str(rng.choice([other for other in scenario.zones if other != zone] or [zone]))
        if trouble.kind in LOSS_TROUBLES:
            endpoints = [plan.id for plan in endpoint_plans if plan.zone in zones]
        elif trouble.kind in ENDPOINT_TROUBLES:
            tier = next((i for i, t in enumerate(scenario.tier) if t.name == trouble.tier), 0)
            endpoints = _draw_subset(
                rng, [plan.id for plan in endpoint_plans if plan.tier == tier], trouble.part
            )
        elif trouble.kind in SIDECAR_TROUBLES:
            sidecars = _draw_subset(
                rng, [plan.name for plan in sidecar_plans if plan.endpoint_id is None], trouble.part
            )
        size = trouble.size if trouble.size is not None else DEFAULT_SIZES.get(trouble.kind, 0.0)
        events.append(
            Event(
                kind=trouble.kind,
                at_us=at_us,
                until_us=at_us + int(draw_value(rng, trouble.for_s) * US_PER_S),
                size=draw_value(rng, size),
                every_us=int(draw_value(rng, trouble.every_s) * US_PER_S),
                endpoints=tuple(endpoints),
                sidecars=tuple(sidecars),
                zone=zone,
                how=trouble.how or "",
                zones=zones,
                part=part,
                target_zone=target_zone,
            )
        )
    return sorted(events, key=lambda event: event.at_us)


def _draw_subset(rng: np.random.Generator, names: list[str], part: ValueOrRange | None) -> list[str]:
    """Draw a part of the names, at least one; keeps their order."""
    count = 1 if part is None else max(1, round(draw_value(rng, part) * len(names)))
    chosen = rng.choice(len(names), size=min(count, len(names)), replace=False)
    return [names[i] for i in sorted(int(i) for i in chosen)]
