"""Changes of records at a steady rate, and how long each takes until it is in force."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import numpy as np

from eiderhub.address import Address
from eiderhub.http1 import NoReplyError
from eiderhub.registry import api
from eiderhub.registry.client import RegistryClient, RequestRefusedError
from eiderhub.scale.hollow import Change, Settle, Settled, delay_ms
from eiderhub.scale.plan import Seat
from eiderhub.scale.topology import Topology

LINES = 16
WRITE_S = 2.0  # an operator waits so long


@dataclass(slots=True)
class Written:
    """What came of changes."""

    tried: int = 0
    failed: int = 0
    made: list[Change] = field(default_factory=list)


class Writer:
    """An operator who drains records and takes it back, by turns; each call leaves when it is due."""

    def __init__(self, address: Address, seats: Sequence[Seat], seed: int) -> None:
        self._lines = [RegistryClient(address) for _ in range(LINES)]
        self._seats = seats
        self._rng = random.Random(seed)
        self._busy: set[asyncio.Task[None]] = set()
        self.written = Written()

    async def write(self, rate: float, seconds: float) -> None:
        """An even number of changes; returns when the last of them is answered or given up."""
        begun = time.monotonic()
        seat = self._seats[0]
        for number in range(2 * max(1, int(rate * seconds / 2))):
            due = begun + number / rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if not number % 2:
                seat = self._rng.choice(self._seats)
            task = asyncio.create_task(self._turn(self._lines[number % LINES], seat, bool(number % 2)))
            self._busy.add(task)
            task.add_done_callback(self._busy.discard)
        if self._busy:
            await asyncio.gather(*self._busy)
        await asyncio.sleep(max(0.0, begun + seconds - time.monotonic()))

    async def _turn(self, line: RegistryClient, seat: Seat, undo: bool) -> None:
        self.written.tried += 1
        call = api.RecordRequest(service=seat.service, id=seat.id, undo=undo)
        try:
            done = await line.post(api.DRAIN_PATH, call, api.WriteResponse, WRITE_S)
        except (NoReplyError, RequestRefusedError):
            self.written.failed += 1
            return
        self.written.made.append(Change(seat.service, done.version, time.monotonic()))

    def close(self) -> None:
        for task in self._busy:
            task.cancel()
        for line in self._lines:
            line.close()


async def settled(topology: Topology, made: list[Change]) -> tuple[list[float], int]:
    """For each change and each sidecar that follows it, milliseconds until in force; and how many miss it."""
    found: list[Settled] = await topology.each("/settle", Settle(made), Settled)
    delays = [delay for one in found for each in one.delays_ms for delay in each]
    missing = sum(one.missing for one in found)
    for real in topology.reals:
        moments = np.array(real.in_force, dtype=float).reshape(-1, 2)
        real.in_force = real.in_force[-1:]
        for change in made:
            if change.service == real.seat.follows:
                delay = delay_ms(moments, change)
                if delay is None:
                    missing += 1
                else:
                    delays.append(delay)
    return delays, missing


def spread(delays: list[float]) -> dict[str, float]:
    """Percentiles, in milliseconds."""
    if not delays:
        return {}
    p50, p99, last = np.percentile(delays, [50, 99, 100])
    return {"p50": round(float(p50), 2), "p99": round(float(p99), 2), "last": round(float(last), 2)}
