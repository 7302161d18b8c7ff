"""Callers of the list service in a process of their own: what they cost is not to be taken for its slowness.

    python -m eiderhub.scale.watchers ADDRESS COUNT FILE

They watch until SIGTERM; then FILE has when each of them was told of which version, as `History`.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

import msgspec
import numpy as np
import uvloop

from eiderhub.address import Address, parse_host_port
from eiderhub.http1 import NoReplyError
from eiderhub.registry.client import RegistryClient, fetch_list
from eiderhub.registry.settings import FollowSettings

WATCH_MS = 20_000
TOGETHER = 25  # first calls that are under way at a time: each gets the whole list
AGAIN_S = 0.1  # after one that was not answered in time
TICK_S = 0.05  # how often the lateness of timers is looked at


class History(msgspec.Struct, frozen=True):
    """What one process of watchers saw. Times are seconds of the system's monotonic clock."""

    told: list[list[tuple[float, int]]]  # for each watcher: when, and the version that it had from then on
    late_ms: float  # of the process's own timers, 99th percentile


class Caller:
    """One watcher with a connection of its own."""

    def __init__(self, address: Address, follow: FollowSettings) -> None:
        self.address = address
        self.follow = follow
        self.line = RegistryClient(address)
        self.version = 0
        self.answers = 0

    async def once(self, wait_ms: int, whose: str = "") -> None:
        """Raises NoReplyError or RequestRefusedError."""
        answer = await fetch_list(self.line, self.follow, self.version or None, whose, wait_ms)
        self.version = answer.list_answer.version
        self.answers += 1


async def connect(callers: list[Caller]) -> None:
    """All of them have the list, and a connection each. Whoever calls bounds the time."""
    limit = asyncio.Semaphore(TOGETHER)

    async def first(caller: Caller) -> None:
        async with limit:
            before = caller.answers
            while caller.answers == before:
                try:
                    await caller.once(0)
                except NoReplyError:  # the service is busy with the others' lists
                    await asyncio.sleep(AGAIN_S)

    await asyncio.gather(*(first(caller) for caller in callers))


async def watch(address: Address, count: int) -> History:
    """Watch until SIGTERM."""
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    callers = [Caller(address, FollowSettings(addresses=[str(address)])) for _ in range(count)]
    told: list[list[tuple[float, int]]] = [[] for _ in callers]
    late: list[float] = []

    async def follow(caller: Caller, history: list[tuple[float, int]]) -> None:
        while True:
            await caller.once(WATCH_MS)
            history.append((time.monotonic(), caller.version))

    async def tick() -> None:
        while True:
            due = time.monotonic() + TICK_S
            await asyncio.sleep(TICK_S)
            late.append((time.monotonic() - due) * 1000)

    await connect(callers)
    tasks = [asyncio.create_task(follow(*each)) for each in zip(callers, told, strict=True)]
    tasks.append(asyncio.create_task(tick()))
    stopped = asyncio.create_task(stop.wait())
    await asyncio.wait([stopped, *tasks], return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        if task.done():
            task.result()  # a watcher that failed: the figures would be wrong
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for caller in callers:
        caller.line.close()
    return History(told, round(float(np.percentile(late, 99)), 1) if late else 0.0)


def main() -> int:
    address, count, path = sys.argv[1:]
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        history = runner.run(watch(parse_host_port(address), int(count)))
    Path(path).write_bytes(msgspec.json.encode(history))
    return 0


if __name__ == "__main__":
    sys.exit(main())
