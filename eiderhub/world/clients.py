"""Clients: when their requests come, and what they do when a try ends."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import numpy as np

from eiderhub.interface import Effect, Group
from eiderhub.world.day import Day, Grade, Plan
from eiderhub.world.network import spread
from eiderhub.world.scenario import TroubleKind

WAVES = 1.5  # of the slow swing over a day
ATTEMPT_SPREAD = 0.2  # by which two attempts of one request differ in work


class End(Enum):
    """How a try ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    GIVEN_UP = "given up"  # by the client, whose time for it was over
    BROKEN = "broken"  # its connection ended without a whole answer
    UNREACHABLE = "unreachable"  # no connection came up


@dataclass(slots=True, eq=False)
class Errand:
    """What a client wants done: one request and its tries."""

    number: int
    at_us: int
    grade: Grade
    tenant: str | None
    zone: str
    work_us: float  # of which each tier takes its share for each call
    key: str | None
    honours: bool  # whether it follows Retry-After
    within_share: bool = True
    tries: int = 0
    ended_us: int | None = None
    end: End | None = None
    ends: list[End] = field(default_factory=list)

    @property
    def due_us(self) -> int:
        return self.at_us + self.grade.deadline_us

    @property
    def served(self) -> bool:
        return self.end is End.SERVED


def arrivals(day: Day) -> list[Errand]:
    """All first tries of the day, open loop: they come whether or not others were answered."""
    rng = day.rng("arrivals")
    peak = day.rate_per_s * (1 + day.swing)
    for event in day.events:
        if event.kind is TroubleKind.BURST:
            peak *= max(1.0, event.size)
    count = int(rng.poisson(peak * day.length_us / 1e6))
    at = np.sort(rng.uniform(0, day.length_us, count))
    at = at[rng.uniform(0, peak, count) < _rate(day, at)]
    grades = rng.choice(len(day.grades), size=len(at), p=[g.share for g in day.grades])
    zones = rng.choice(len(day.zone_weights), size=len(at), p=day.zone_weights)
    asks = np.array([party.asks_per_s for party in day.parties])
    owners = rng.choice(len(asks), size=len(at), p=asks / asks.sum()) if len(asks) else None
    works = [spread(rng, grade.work_us, grade.spread, len(at)) for grade in day.grades]
    honours = rng.random(len(at)) < day.honour
    shares = {party.name: Quota(party.quota_per_s) for party in day.parties}
    errands = []
    for i, when in enumerate(at):
        grade = day.grades[int(grades[i])]
        tenant = day.parties[int(owners[i])].name if owners is not None else None
        errands.append(
            Errand(
                number=i,
                at_us=int(when),
                grade=grade,
                tenant=tenant,
                zone=day.scenario.zones[int(zones[i])],
                work_us=float(works[int(grades[i])][i]),
                key=f"{day.seed:08x}{i:08x}" if grade.spec.effect is Effect.DEDUPLICATED else None,
                honours=bool(honours[i]),
                within_share=tenant is None or shares[tenant].take(int(when)),
            )
        )
    return errands


def _rate(day: Day, at_us: np.ndarray) -> np.ndarray:
    """First tries a second at these times."""
    wave = np.sin(2 * np.pi * WAVES * at_us / day.length_us)
    rate: np.ndarray = day.rate_per_s * (1 + day.swing * wave)
    for event in day.events:
        if event.kind is TroubleKind.BURST:
            rate = np.where((at_us >= event.at_us) & (at_us < event.until_us), rate * event.size, rate)
    return rate


class Quota:
    """What a tenant may ask for: a second's worth at once, refilled all the time."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._left = per_s
        self._at_us = 0

    def take(self, now_us: int) -> bool:
        self._left = min(self._per_s, self._left + (now_us - self._at_us) * self._per_s / 1e6)
        self._at_us = now_us
        if self._left < 1:
            return False
        self._left -= 1
        return True


def patience_us(day: Day, errand: Errand, now_us: int) -> int:
    """How long a try that begins now is waited for."""
    return min(int(day.try_share * errand.grade.deadline_us), errand.due_us - now_us)


def retry_us(day: Day, errand: Errand, now_us: int, end: End, retry_after_us: int) -> int | None:
    """When the client tries again after this end, if it does."""
    if end is End.SERVED or errand.tries > day.retries:
        return None
    spec = errand.grade.spec
    anyhow = spec.effect is Effect.IDEMPOTENT
    if spec.effect is Effect.DEDUPLICATED and spec.group is Group.ALL:
        anyhow = now_us - errand.at_us < spec.window_ms * 1000
    if not anyhow and end not in (End.REFUSED, End.UNREACHABLE):
        return None
    wait_us = day.backoff_us
    if errand.honours and retry_after_us > 0:
        wait_us = min(retry_after_us, int(day.scenario.allowed.max_retry_after_ms * 1000))
    at = now_us + wait_us
    return at if at < errand.due_us else None


def work_at(day: Day, plan: Plan, errand_work_us: float, rng: np.random.Generator) -> float:
    """An endpoint's own work for one request, in microseconds of a yardstick core."""
    share = day.scenario.tier[plan.tier].work
    return float(errand_work_us * share * spread(rng, 1.0, ATTEMPT_SPREAD, 1)[0])


def calls_at(day: Day, tier: int, rng: np.random.Generator) -> int:
    """How many calls to the next tier a request makes at this one."""
    mean = day.calls[tier]
    return int(mean) + int(rng.random() < mean - int(mean))
