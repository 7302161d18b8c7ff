"""Changes records at a constant rate and measures the time until each change is in force at the sidecars."""

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
from eiderhub.scale.hollow import Change, DelaysRequest, DelaysResponse, delay_ms
from eiderhub.scale.plan import SidecarSpec
from eiderhub.scale.topology import Topology

CONNECTIONS = 16
WRITE_TIMEOUT_S = 2.0  # that of an operator's call


@dataclass(slots=True)
class WriteResults:
    """Counts of attempted and failed writes, and the acknowledged changes."""

    attempted: int = 0
    failed: int = 0
    acknowledged: list[Change] = field(default_factory=list)


class Writer:
    """An operator who alternately drains a record and undoes it; each call is sent at its due time."""

    def __init__(self, address: Address, specs: Sequence[SidecarSpec], seed: int) -> None:
        self._clients = [RegistryClient(address) for _ in range(CONNECTIONS)]
        self._specs = specs
        self._rng = random.Random(seed)
        self._pending: set[asyncio.Task[None]] = set()
        self.results = WriteResults()

    async def write(self, rate: float, seconds: float) -> None:
        """Sends an even number of changes; returns after `seconds`, once the last one has ended."""
        start_s = time.monotonic()
        spec = self._specs[0]
        for number in range(2 * max(1, int(rate * seconds / 2))):
            due_s = start_s + number / rate
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            if not number % 2:
                spec = self._rng.choice(self._specs)
            task = asyncio.create_task(
                self._send_change(self._clients[number % CONNECTIONS], spec, bool(number % 2))
            )
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)
        if self._pending:
            await asyncio.gather(*self._pending)
        await asyncio.sleep(max(0.0, start_s + seconds - time.monotonic()))

    async def _send_change(self, client: RegistryClient, spec: SidecarSpec, undo: bool) -> None:
        self.results.attempted += 1
        request = api.RecordRequest(service=spec.service, id=spec.id, undo=undo)
        try:
            response = await client.post(api.DRAIN_PATH, request, api.WriteResponse, WRITE_TIMEOUT_S)
        except (NoReplyError, RequestRefusedError):
            self.results.failed += 1
            return
        self.results.acknowledged.append(Change(spec.service, response.version, time.monotonic()))

    def close(self) -> None:
        """Cancels pending changes and closes the connections."""
        for task in self._pending:
            task.cancel()
        for client in self._clients:
            client.close()


async def propagation_delays(topology: Topology, changes: list[Change]) -> tuple[list[float], int]:
    """Collects the propagation delays of changes.

    Returns the milliseconds from each change's acknowledgement until it is in force at each sidecar that
    follows its service, and the number of sidecars' changes that are not in force.
    """
    responses: list[DelaysResponse] = await topology.call_each(
        "/settle", DelaysRequest(changes), DelaysResponse
    )
    delays = [
        delay for response in responses for change_delays in response.delays_ms for delay in change_delays
    ]
    missing = sum(response.missing for response in responses)
    for sidecar in topology.real_sidecars:
        adoptions = np.array(sidecar.adoptions, dtype=float).reshape(-1, 2)
        sidecar.adoptions = sidecar.adoptions[-1:]
        for change in changes:
            if change.service == sidecar.spec.follows:
                delay = delay_ms(adoptions, change)
                if delay is None:
                    missing += 1
                else:
                    delays.append(delay)
    return delays, missing


def delay_percentiles(delays: list[float]) -> dict[str, float]:
    """Returns percentiles in milliseconds; empty without delays."""
    if not delays:
        return {}
    p50, p99, last = np.percentile(delays, [50, 99, 100])
    return {"p50": round(float(p50), 2), "p99": round(float(p99), 2), "last": round(float(last), 2)}
