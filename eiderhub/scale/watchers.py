"""Runs watchers of the list service in a process of their own, so that their load does not slow it down.

    python -m eiderhub.scale.watchers ADDRESS COUNT FILE

They watch until SIGTERM; then a `History` of the versions that each of them received is written to FILE.
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

WATCH_WAIT_MS = 20_000
MAX_CONCURRENT_FIRST_CALLS = 25  # limited because the answer to a first call is the full list
RETRY_DELAY_S = 0.1  # after a first call that was not answered in time
TIMER_PROBE_INTERVAL_S = 0.05  # interval at which the lateness of timers is sampled


class History(msgspec.Struct, frozen=True):
    """Versions received by the watchers of one process. Times are seconds of the system's monotonic clock."""

    told: list[list[tuple[float, int]]]  # for each watcher: time, version received
    late_ms: float  # lateness of the process's own timers, 99th percentile


class WatchClient:
    """One watcher with a connection of its own."""

    def __init__(self, address: Address, follow: FollowSettings) -> None:
        self.address = address
        self.follow = follow
        self.client = RegistryClient(address)
        self.version = 0
        self.answers = 0

    async def fetch(self, wait_ms: int, known_branch: str = "") -> None:
        """Fetch the list, or wait for a change of it. Raises NoReplyError or RequestRefusedError."""
        reply = await fetch_list(self.client, self.follow, self.version or None, known_branch, wait_ms)
        self.version = reply.list_answer.version
        self.answers += 1


async def fetch_first_lists(watchers: list[WatchClient]) -> None:
    """Connect all watchers and fetch their first lists. The caller must set a time limit."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_FIRST_CALLS)

    async def connect(watcher: WatchClient) -> None:
        async with limit:
            answers_before = watcher.answers
            while watcher.answers == answers_before:
                try:
                    await watcher.fetch(0)
                except NoReplyError:  # the service is busy with the others' lists
                    await asyncio.sleep(RETRY_DELAY_S)

    await asyncio.gather(*(connect(watcher) for watcher in watchers))


async def watch(address: Address, count: int) -> History:
    """Run `count` watchers until SIGTERM."""
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    watchers = [WatchClient(address, FollowSettings(addresses=[str(address)])) for _ in range(count)]
    histories: list[list[tuple[float, int]]] = [[] for _ in watchers]
    lateness_ms: list[float] = []

    async def follow(watcher: WatchClient, history: list[tuple[float, int]]) -> None:
        while True:
            await watcher.fetch(WATCH_WAIT_MS)
            history.append((time.monotonic(), watcher.version))

    async def probe_timers() -> None:
        while True:
            due_s = time.monotonic() + TIMER_PROBE_INTERVAL_S
            await asyncio.sleep(TIMER_PROBE_INTERVAL_S)
            lateness_ms.append((time.monotonic() - due_s) * 1000)

    await fetch_first_lists(watchers)
    tasks = [
        asyncio.create_task(follow(*watcher_and_history))
        for watcher_and_history in zip(watchers, histories, strict=True)
    ]
    tasks.append(asyncio.create_task(probe_timers()))
    stopped = asyncio.create_task(stop.wait())
    await asyncio.wait([stopped, *tasks], return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        if task.done():
            task.result()  # raises if a watcher failed: the figures would be wrong
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for watcher in watchers:
        watcher.client.close()
    return History(histories, round(float(np.percentile(lateness_ms, 99)), 1) if lateness_ms else 0.0)


def main() -> int:
    """Run the process."""
    address, count, path = sys.argv[1:]
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        history = runner.run(watch(parse_host_port(address), int(count)))
    Path(path).write_bytes(msgspec.json.encode(history))
    return 0


if __name__ == "__main__":
    sys.exit(main())
