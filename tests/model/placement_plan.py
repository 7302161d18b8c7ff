"""Plans of the placement model: the faults of each sidecar and the jobs of a run, also random ones."""

from __future__ import annotations

import random
from enum import Enum
from typing import NamedTuple

ROUTE, NEW_ROUTE = "lots", "lots-added"
FOREVER_S = 1e9
SIDECAR_COUNTS = (4, 30, 170)
MAX_REFUSING_SHARE = 0.5  # share of sidecars that refuse items although endpoints are reachable


class Span(NamedTuple):
    """A span of time; `end` is not part of it."""

    start: float
    end: float

    def contains(self, now: float) -> bool:
        return self.start <= now < self.end


class FailureMode(Enum):
    """How an item ends at a sidecar that reaches no endpoint."""

    STUCK = "held, and given back as stuck"
    REFUSED = "held by the decisions for a part of its objective, and refused"
    FAILED = "three connections do not come up"


class SidecarPlan(NamedTuple):
    """The faults and the size of one sidecar; spans of one field do not overlap."""

    unreachable: tuple[Span, ...] = ()  # no endpoint can be reached
    refusing: tuple[Span, ...] = ()  # endpoints are reachable, the admission queue is full
    refuses_after_s: float = 0.3
    failure_mode: FailureMode = FailureMode.STUCK
    slots: int = 8  # items at endpoints at once
    live_calls_until: float = 0.0  # endpoints answer its live calls until then, while reachable
    knows_new_route_from: float = 0.0  # before that, items of NEW_ROUTE are returned at once


class JobPlan(NamedTuple):
    """One batch job and the time at which it is submitted."""

    name: str
    item_count: int
    submitted_at: float
    window_s: float = 8.0
    route: str = ROUTE


class Plan(NamedTuple):
    """One run: all that is fixed before it starts."""

    sidecars: tuple[SidecarPlan, ...]
    jobs: tuple[JobPlan, ...]
    endpoint_slots: int  # of all endpoints together
    endpoint_count: int = 24
    live_share: float = 0.0  # share of the slots taken by live calls, until the sidecars' `live_calls_until`
    new_primaries: tuple[float, ...] = ()
    long_items: bool = True


def _recovery_times(rng: random.Random, count: int, unreachable_until: float) -> list[float]:
    """When each sidecar reaches endpoints again; the first one always does."""
    recovery = rng.choice(["together", "one by one", "one first", "some never"])
    if recovery == "together":
        return [unreachable_until] * count
    if recovery == "one by one":
        spread = rng.uniform(0.5, 8.0)
        return [unreachable_until + rng.random() * spread for _ in range(count)]
    if recovery == "one first":
        later = unreachable_until + rng.uniform(0.5, 6.0)
        return [unreachable_until] + [later] * (count - 1)
    unrecovered_share = rng.uniform(0.1, 0.8)
    return [unreachable_until] + [
        FOREVER_S if rng.random() < unrecovered_share else unreachable_until for _ in range(count - 1)
    ]


def draw_plan(seed: int) -> Plan:
    """A random plan; it depends on its seed alone."""
    rng = random.Random(seed)
    count = rng.choices(SIDECAR_COUNTS, [4, 3, 1])[0]
    unreachable_from = rng.uniform(0.0, 4.0)
    unreachable_s = rng.choice([0.0, rng.uniform(0.5, 4.0), rng.uniform(8.0, 20.0)])
    recovery_times = _recovery_times(rng, count, unreachable_from + unreachable_s)
    live_calls_until = rng.choice([0.0, rng.uniform(2.0, 30.0)])
    refuse_share = rng.choice([0.0, rng.uniform(0.0, MAX_REFUSING_SHARE)])
    unknown_route_share = rng.choice([0.0, 0.0, rng.random()])
    slots, max_items = rng.choice([4, 8, 24]), rng.choice([1, 60, 60])
    sidecars = []
    for number in range(count):
        is_first = number == 0  # it runs items as soon as it reaches endpoints
        unreachable = (Span(unreachable_from, recovery_times[number]),) if unreachable_s else ()
        refuses = not is_first and rng.random() < refuse_share
        refusing = (
            (Span(unreachable_from, unreachable_from + unreachable_s + rng.uniform(0.0, 20.0)),)
            if refuses
            else ()
        )
        route_unknown = not is_first and rng.random() < unknown_route_share
        sidecars.append(
            SidecarPlan(
                unreachable,
                refusing,
                rng.choice([0.3, 0.5]),
                rng.choice(list(FailureMode)),
                slots,
                live_calls_until,
                FOREVER_S if route_unknown else 0.0,
            )
        )
    jobs = tuple(
        JobPlan(
            f"j{n}",
            rng.randint(1, max_items),
            rng.uniform(0.0, unreachable_from + unreachable_s),
            rng.choice([1.0, 8.0]),
            rng.choice([ROUTE, NEW_ROUTE]),
        )
        for n in range(rng.choice([3, 10, 25]))
    )
    new_primaries = tuple(
        rng.uniform(0.0, unreachable_from + unreachable_s) for _ in range(rng.choice([0, 0, 1, 3]))
    )
    endpoint_slots = max(16, count * rng.choice([4, 12]))
    return Plan(
        tuple(sidecars),
        jobs,
        endpoint_slots,
        max(2, endpoint_slots // 8),
        rng.choice([0.0, 0.3]),
        new_primaries,
    )
