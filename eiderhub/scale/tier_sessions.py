"""Hollow sidecars of the tier in one process: the real session and subscription code, without a data path.

    python -m eiderhub.scale.tier_sessions FILE

FILE is a `Crowd` in JSON. A line of JSON goes to standard output for each configuration that has come to be
in force at all of its sidecars, and one when all sessions stand again after they were lost.
"""

from __future__ import annotations

import asyncio
import random
import resource
import sys
import time
from pathlib import Path

import msgspec
import uvloop
from msgspec import Struct

from eiderhub.control.distribution import Tables
from eiderhub.control.messages import NodeRecord
from eiderhub.transport.control_session import ControlSession, control_candidates

LOOK_S = 0.02
OPENING_S = 0.002  # between two sessions' starts


class Crowd(Struct):
    """What one process is told."""

    first: int  # number of its first sidecar
    count: int
    zones: list[str]
    seeds: list[str]  # control nodes' addresses


class InForce(Struct, tag=True):
    """One generation is in force at all sidecars of this process; times of day in seconds."""

    generation: int
    times: list[float]


class Standing(Struct, tag=True):
    """All sessions are told that what they have is fresh, after `lost` of them were not."""

    at: float
    lost: int


class Used(Struct, tag=True):
    """Processor seconds and peak memory of this process so far."""

    processor_s: float
    peak_mb: float


Line = InForce | Standing | Used


class HollowSidecar:
    """One session, and when each generation came to be in force."""

    def __init__(self, crowd: Crowd, number: int) -> None:
        self.tables = Tables()
        self.times: dict[int, float] = {}
        zone = crowd.zones[number % len(crowd.zones)]
        rng = random.Random(number)
        node = NodeRecord(f"hollow-{number}", "edge", zone)

        def candidates() -> list[str]:
            return control_candidates(self.tables, crowd.seeds, zone, rng.shuffle)

        self.session = ControlSession(node, self.tables, candidates, self._on_update)

    def _on_update(self) -> None:
        self.times.setdefault(self.tables.configuration.generation, time.time())


def say(line: Line) -> None:
    print(msgspec.json.encode(line).decode(), flush=True)


async def serve(crowd: Crowd) -> None:
    sidecars: list[HollowSidecar] = []
    for number in range(crowd.first, crowd.first + crowd.count):
        sidecars.append(HollowSidecar(crowd, number))
        await asyncio.sleep(OPENING_S)
    told, standing, next_use = 0, False, 0.0
    while True:
        await asyncio.sleep(LOOK_S)
        generation = min(s.tables.configuration.generation for s in sidecars)
        if generation > told:
            told = generation
            # A sidecar that skipped a generation had a newer one at that moment.
            say(
                InForce(generation, [min(t for g, t in s.times.items() if g >= generation) for s in sidecars])
            )
        lost = sum(not s.session.is_fresh() for s in sidecars)
        if (lost == 0) != standing:
            standing = lost == 0
            say(Standing(time.time(), lost))
        if time.monotonic() >= next_use:
            next_use = time.monotonic() + 1.0
            usage = resource.getrusage(resource.RUSAGE_SELF)
            say(Used(usage.ru_utime + usage.ru_stime, usage.ru_maxrss / 1024))


if __name__ == "__main__":
    uvloop.run(serve(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Crowd)))
