"""The network between zones: the delay of a message, and whether it is delivered."""

from __future__ import annotations

import enum
from collections.abc import Collection
from dataclasses import dataclass

import numpy as np

from eiderhub.world.day import Day


class CutDirection(enum.Enum):
    """The direction of the messages that a cut drops, seen from the zones that are cut off."""

    BOTH = "both"
    IN = "in"  # messages to these zones
    OUT = "out"  # messages from these zones


@dataclass(frozen=True, slots=True, eq=False)
class Cut:
    """A network partition: these zones are cut off from the others, not from each other."""

    zones: frozenset[str]
    direction: CutDirection


class Network:
    """One-way delays between zones, and network partitions."""

    def __init__(self, day: Day) -> None:
        self._day = day
        self._rng = day.rng("network")
        self._regions = day.regions
        self._cuts: list[Cut] = []

    def cut(self, zones: Collection[str], direction: CutDirection = CutDirection.BOTH) -> Cut:
        """Cut these zones off from the others, until the returned cut is removed."""
        new_cut = Cut(frozenset(zones), direction)
        self._cuts.append(new_cut)
        return new_cut

    def remove_cut(self, cut: Cut) -> None:
        """Remove a cut."""
        self._cuts.remove(cut)

    def delivers(self, sender: str, receiver: str) -> bool:
        """Return whether messages are delivered; otherwise they are lost without an error to the sender."""
        for cut in self._cuts:
            if (sender in cut.zones) != (receiver in cut.zones):
                blocked = CutDirection.OUT if sender in cut.zones else CutDirection.IN
                if cut.direction in (CutDirection.BOTH, blocked):
                    return False
        return True

    def can_connect(self, one_zone: str, other_zone: str) -> bool:
        """Return whether a connection between two zones can be established: both directions must be open."""
        return self.delivers(one_zone, other_zone) and self.delivers(other_zone, one_zone)

    def one_way_us(self, sender: str, receiver: str) -> int:
        """Draw the one-way delay of a message, with jitter."""
        base_us = self._day.same_zone_us
        if sender != receiver:
            same_region = self._regions.get(sender) == self._regions.get(receiver)
            base_us = self._day.cross_zone_us if same_region else self._day.cross_region_us
        return int(base_us * (1 + self._day.jitter * float(self._rng.random())))


def draw_lognormal(rng: np.random.Generator, mean: float, variation: float, count: int) -> np.ndarray:
    """Draw lognormal values with this mean and this coefficient of variation."""
    if variation <= 0:
        return np.full(count, mean)
    log_variance = np.log1p(variation * variation)
    values: np.ndarray = rng.lognormal(np.log(mean) - log_variance / 2, np.sqrt(log_variance), count)
    return values
