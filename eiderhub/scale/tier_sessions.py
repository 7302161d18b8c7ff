"""Runs hollow sidecars of the tier in one process: real sessions and subscriptions, without a data path.

    python -m eiderhub.scale.tier_sessions FILE

FILE is a `SidecarGroup` in JSON. Reports go to standard output, one line of JSON each: when a configuration
is in force at all sidecars, when sessions are lost or all of them are re-established, and the usage every
second.
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

POLL_INTERVAL_S = 0.02
START_INTERVAL_S = 0.002  # between the starts of two sessions


class SidecarGroup(Struct):
    """Configuration of one process of hollow sidecars."""

    first: int  # number of its first sidecar
    count: int  # number of its sidecars
    zones: list[str]
    seeds: list[str]  # addresses of control nodes


class InForce(Struct, tag=True):
    """A generation is in force at all sidecars of this process."""

    generation: int
    times: list[float]  # for each sidecar, in seconds since the epoch


class Standing(Struct, tag=True):
    """All sessions are established and fresh (`lost` is 0), or no longer (`lost` of them are not)."""

    at: float  # in seconds since the epoch
    lost: int


class Used(Struct, tag=True):
    """Processor time and peak memory of this process so far."""

    processor_s: float
    peak_mb: float


Report = InForce | Standing | Used


class HollowSidecar:
    """One session, and the times at which each generation came into force."""

    def __init__(self, group: SidecarGroup, number: int) -> None:
        self.tables = Tables()
        self.adoption_times: dict[int, float] = {}
        zone = group.zones[number % len(group.zones)]
        rng = random.Random(number)
        node = NodeRecord(f"hollow-{number}", "edge", zone)

        def candidates() -> list[str]:
            return control_candidates(self.tables, group.seeds, zone, rng.shuffle)

        self.session = ControlSession(node, self.tables, candidates, self._on_update)

    def _on_update(self) -> None:
        self.adoption_times.setdefault(self.tables.configuration.generation, time.time())


def print_report(report: Report) -> None:
    """Write one report to standard output."""
    print(msgspec.json.encode(report).decode(), flush=True)


async def serve(group: SidecarGroup) -> None:
    """Start all sidecars of the group, then report until the process is killed."""
    sidecars: list[HollowSidecar] = []
    for number in range(group.first, group.first + group.count):
        sidecars.append(HollowSidecar(group, number))
        await asyncio.sleep(START_INTERVAL_S)
    reported_generation, all_fresh, next_usage_s = 0, False, 0.0
    while True:
        await asyncio.sleep(POLL_INTERVAL_S)
        generation = min(sidecar.tables.configuration.generation for sidecar in sidecars)
        if generation > reported_generation:
            reported_generation = generation
            # A sidecar may skip a generation: then the time of the next newer one counts.
            print_report(
                InForce(
                    generation,
                    [
                        min(time_s for newer, time_s in sidecar.adoption_times.items() if newer >= generation)
                        for sidecar in sidecars
                    ],
                )
            )
        lost = sum(not sidecar.session.is_fresh() for sidecar in sidecars)
        if (lost == 0) != all_fresh:
            all_fresh = lost == 0
            print_report(Standing(time.time(), lost))
        if time.monotonic() >= next_usage_s:
            next_usage_s = time.monotonic() + 1.0
            usage = resource.getrusage(resource.RUSAGE_SELF)
            print_report(Used(usage.ru_utime + usage.ru_stime, usage.ru_maxrss / 1024))


if __name__ == "__main__":
    uvloop.run(serve(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=SidecarGroup)))
