"""Plans of the placement model: what each sidecar will meet, and which lots come; some are drawn."""

from __future__ import annotations

import random
from enum import Enum
from typing import NamedTuple

ROUTE, NEW_ROUTE = "lots", "lots of a route that was added"
FOR_GOOD = 1e9
SIZES = (4, 30, 170)  # sidecars
MOST_REFUSING = 0.5  # share of sidecars that refuse though endpoints are well


class Span(NamedTuple):
    """From the first moment, up to the second."""

    start: float
    end: float

    def holds(self, now: float) -> bool:
        return self.start <= now < self.end


class Failing(Enum):
    """What becomes of an item at a sidecar that reaches no endpoint."""

    STUCK = "held, and given back as stuck"
    REFUSED = "held by the decisions for a part of its objective, and refused"
    FAILED = "three connections do not come up"


class SidecarPlan(NamedTuple):
    """What one sidecar will meet; spans do not overlap within a kind."""

    dark: tuple[Span, ...] = ()  # no endpoint can be reached
    refusing: tuple[Span, ...] = ()  # endpoints are well, its admission has no room
    refuses_after_s: float = 0.3
    failing: Failing = Failing.STUCK
    room: int = 8  # items at endpoints at once
    live_until: float = 0.0  # endpoints answer its live calls until then, while it is not dark
    knows_new_route_from: float = 0.0  # an item of that route is refused at once before


class Lot(NamedTuple):
    name: str
    items: int
    at: float
    window_s: float = 8.0
    route: str = ROUTE


class Plan(NamedTuple):
    """One run: everything that is drawn before it begins."""

    sidecars: tuple[SidecarPlan, ...]
    lots: tuple[Lot, ...]
    places: int  # of all endpoints together
    endpoints: int = 24
    live_places: float = 0.0  # taken by live calls, as a share, until the sidecars' `live_until`
    new_primaries: tuple[float, ...] = ()
    long_items: bool = True


def _ends(rng: random.Random, count: int, dark_until: float) -> list[float]:
    """When each sidecar reaches endpoints again; one of them always does."""
    how = rng.choice(["together", "one by one", "one first", "some never"])
    if how == "together":
        return [dark_until] * count
    if how == "one by one":
        spread = rng.uniform(0.5, 8.0)
        return [dark_until + rng.random() * spread for _ in range(count)]
    if how == "one first":
        later = dark_until + rng.uniform(0.5, 6.0)
        return [dark_until] + [later] * (count - 1)
    never = rng.uniform(0.1, 0.8)
    return [dark_until] + [FOR_GOOD if rng.random() < never else dark_until for _ in range(count - 1)]


def draw(seed: int) -> Plan:
    """A plan, drawn from its seed alone."""
    rng = random.Random(seed)
    count = rng.choices(SIZES, [4, 3, 1])[0]
    dark_from = rng.uniform(0.0, 4.0)
    dark_s = rng.choice([0.0, rng.uniform(0.5, 4.0), rng.uniform(8.0, 20.0)])
    ends = _ends(rng, count, dark_from + dark_s)
    live = rng.choice([0.0, rng.uniform(2.0, 30.0)])
    refuse_share = rng.choice([0.0, rng.uniform(0.0, MOST_REFUSING)])
    unknowing_share = rng.choice([0.0, 0.0, rng.random()])
    room, most_items = rng.choice([4, 8, 24]), rng.choice([1, 60, 60])
    sidecars = []
    for number in range(count):
        steady = number == 0  # one runs items as soon as it reaches endpoints
        dark = (Span(dark_from, ends[number]),) if dark_s else ()
        refuses = not steady and rng.random() < refuse_share
        refusing = (Span(dark_from, dark_from + dark_s + rng.uniform(0.0, 20.0)),) if refuses else ()
        unknowing = not steady and rng.random() < unknowing_share
        sidecars.append(
            SidecarPlan(
                dark,
                refusing,
                rng.choice([0.3, 0.5]),
                rng.choice(list(Failing)),
                room,
                live,
                FOR_GOOD if unknowing else 0.0,
            )
        )
    lots = tuple(
        Lot(
            f"j{n}",
            rng.randint(1, most_items),
            rng.uniform(0.0, dark_from + dark_s),
            rng.choice([1.0, 8.0]),
            rng.choice([ROUTE, NEW_ROUTE]),
        )
        for n in range(rng.choice([3, 10, 25]))
    )
    primaries = tuple(rng.uniform(0.0, dark_from + dark_s) for _ in range(rng.choice([0, 0, 1, 3])))
    places = max(16, count * rng.choice([4, 12]))
    return Plan(tuple(sidecars), lots, places, max(2, places // 8), rng.choice([0.0, 0.3]), primaries)
