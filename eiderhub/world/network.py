"""The network between zones: how long a message takes, and whether it arrives."""

from __future__ import annotations

import numpy as np

from eiderhub.world.day import Day


class Network:
    """One-way delays. A zone that is cut off still talks within itself."""

    def __init__(self, day: Day) -> None:
        self._day = day
        self._rng = day.rng("network")
        self._cut: dict[str, int] = {}

    def cut(self, zone: str) -> None:
        self._cut[zone] = self._cut.get(zone, 0) + 1

    def heal(self, zone: str) -> None:
        self._cut[zone] -= 1

    def reaches(self, one: str, other: str) -> bool:
        """Whether what is sent arrives; where not, it falls silent rather than being refused."""
        return one == other or not (self._cut.get(one) or self._cut.get(other))

    def one_way_us(self, one: str, other: str) -> int:
        base = self._day.same_us if one == other else self._day.cross_us
        return int(base * (1 + self._day.jitter * float(self._rng.random())))


def spread(rng: np.random.Generator, mean: float, variation: float, count: int) -> np.ndarray:
    """Lognormal figures of this mean and coefficient of variation."""
    if variation <= 0:
        return np.full(count, mean)
    sigma2 = np.log1p(variation * variation)
    drawn: np.ndarray = rng.lognormal(np.log(mean) - sigma2 / 2, np.sqrt(sigma2), count)
    return drawn
