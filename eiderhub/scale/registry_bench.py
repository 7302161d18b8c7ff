"""Measures the list service: a real process, and callers on loopback in others."""

from __future__ import annotations

import asyncio
import random
import shutil
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np

from eiderhub.emulator.processes import Process, new_folder
from eiderhub.http1 import NoReplyError
from eiderhub.interface import Readiness
from eiderhub.registry import api
from eiderhub.registry.adoption import US_PER_S, FleetBackoff
from eiderhub.registry.client import RegistryClient, RequestRefusedError, decode_reply
from eiderhub.registry.records import Branch, Entry, Opened, Put, Record
from eiderhub.registry.settings import FollowSettings
from eiderhub.registry.store import Folder, Store
from eiderhub.scale.counts import cost
from eiderhub.scale.services import READY_S, ListService, spawn
from eiderhub.scale.watchers import WATCH_MS, Caller, History, connect

WRITERS = 64  # calls that are under way together when writes are counted
WRITE_S = 3.0
BASE_S = 0.1  # backoff without jitter
SETTLE_S = 1.0  # after the last change: its answers are on their way
Tell = Callable[[float, str], None]


@dataclass(slots=True)
class Figures:
    """Times in milliseconds, from a write's acknowledgement to the last watcher that is told of it."""

    last_watcher_p50_ms: float = 0.0
    last_watcher_p99_ms: float = 0.0
    changes: int = 0
    answers_per_s: float = 0.0
    service_cpu_share: float = 0.0  # of a core, meanwhile
    service_memory_mb: float = 0.0
    writes_per_s: float = 0.0  # each acknowledged once it is synced, 64 at a time
    one_write_ms: float = 0.0  # one at a time, median
    storm_calls_most_per_100ms_with_jitter: int = 0
    storm_calls_most_per_100ms_without: int = 0
    storm_back_s_with_jitter: float = 0.0  # until all watchers have an answer
    storm_back_s_without: float = 0.0
    restart_s: float = 0.0  # from the start of the process to its first answer
    restart_entries: int = 0
    watcher_processes: int = 0
    watcher_late_ms: float = 0.0  # of their own timers, 99th percentile of the worst of them


class Bench:
    def __init__(
        self, watchers: int, records: int, rate: float, seconds: float, entries: int, processes: int
    ) -> None:
        self._count = watchers
        self._parts = [len(part) for part in np.array_split(np.arange(watchers), min(processes, watchers))]
        self._records = records
        self._rate = rate
        self._seconds = seconds
        self._entries = entries
        self.figures = Figures()

    async def run(self, tell: Tell) -> Figures:
        """All of it; ends its process and removes its files, whatever happens."""
        folder = new_folder()
        self._folder = folder
        limits = {
            "callers": 2 * self._count + 100,
            "watches": self._count + 100,
            "records": 1_000_000,
            "settle_s": 0.0,
        }
        self._service = ListService("registry", folder, {"limits": limits})
        self._address = self._service.address
        self._follow = FollowSettings(addresses=[str(self._address)])
        self._watchers: list[Process] = []
        self._callers: list[Caller] = []
        try:
            tell(0.0, "a log to restart from")
            await self._restart(folder)
            tell(0.2, "writes")
            await self._fill()
            await self._writes()
            tell(0.4, f"{self._count} watchers")
            await self._watch()
            tell(0.7, "a storm of callers")
            await self._storm()
            tell(1.0, "done")
        finally:
            for caller in self._callers:
                caller.line.close()
            for process in self._watchers:
                process.kill()
                await process.ended.wait()
            await self._service.stop()
            self._service.close()
            shutil.rmtree(folder, ignore_errors=True)
        return self.figures

    # --- what is measured ---

    async def _restart(self, folder: Path) -> None:
        """A log of many changes to a few records, as a long release leaves it."""
        opened = Folder(folder / "long")
        store = Store(opened)
        branch = Opened(version=1, branch=Branch(name="bench", after=0))
        changes: list[Opened | Put] = [branch]
        changes += [
            Put(version=n, record=_record(n % self._records, version=n)) for n in range(2, self._entries + 1)
        ]
        store.append([msgspec.json.encode(change) for change in changes])
        opened.close()
        self.figures.restart_entries = self._entries
        self.figures.restart_s = await self._service.start(folder / "long")
        await self._service.stop()
        await self._service.start()

    async def _fill(self) -> None:
        lines = [RegistryClient(self._address) for _ in range(WRITERS)]
        await asyncio.gather(
            *(self._put_all(line, range(i, self._records, WRITERS)) for i, line in enumerate(lines))
        )
        self._writers = lines

    async def _put_all(self, line: RegistryClient, numbers: range) -> None:
        for number in numbers:
            await line.post(api.PUT_PATH, api.PutRequest(record=_record(number)), api.WriteResponse, 30.0)

    async def _writes(self) -> None:
        counts = [0] * WRITERS
        until = time.monotonic() + WRITE_S

        async def write(i: int) -> None:
            while time.monotonic() < until:
                await self._turn(self._writers[i], i, counts[i])
                counts[i] += 1

        await asyncio.gather(*(write(i) for i in range(WRITERS)))
        self.figures.writes_per_s = round(sum(counts) / WRITE_S, 1)
        times = []
        for turn in range(100):
            begun = time.monotonic()
            await self._turn(self._writers[0], 0, turn + counts[0])
            times.append((time.monotonic() - begun) * 1000)
        self.figures.one_write_ms = round(float(np.median(times)), 2)

    async def _turn(self, line: RegistryClient, number: int, turn: int) -> int:
        """One change of this record; returns its version."""
        call = api.RecordRequest(id=f"e{number}", undo=bool(turn % 2))
        return (await line.post(api.DRAIN_PATH, call, api.WriteResponse, 30.0)).version

    def _watcher_file(self, number: int) -> Path:
        return self._folder / f"watchers-{number}.json"

    async def _status(self) -> api.StatusResponse:
        return decode_reply(await self._writers[0].get(api.STATUS_PATH, {}, 30.0), api.StatusResponse)

    async def _start_watchers(self) -> None:
        """In processes of their own; returns once all of them watch."""
        for number, count in enumerate(self._parts):
            command = [sys.executable, "-B", "-m", "eiderhub.scale.watchers", str(self._address)]
            command += [str(count), str(self._watcher_file(number))]
            self._watchers.append(spawn(f"watchers-{number}", command, self._folder))
        async with asyncio.timeout(READY_S):
            await self._until_watched()

    async def _until_watched(self) -> None:
        """All watchers wait for news."""
        while (await self._status()).watches < self._count:
            for process in self._watchers:
                if process.ended.is_set():
                    raise RuntimeError(f"{process.name} has ended: {process.tail()}")
            await asyncio.sleep(0.05)

    async def _histories(self, version: int) -> list[History]:
        """What they were told, once each of them can have had this version."""
        await asyncio.sleep(SETTLE_S)
        await self._until_watched()
        for process in self._watchers:
            process.terminate()
        found = []
        for number, process in enumerate(self._watchers):
            await process.ended.wait()
            found.append(msgspec.json.decode(self._watcher_file(number).read_bytes(), type=History))
        behind = sum(told[-1][1] < version if told else True for each in found for told in each.told)
        if behind:
            raise RuntimeError(f"{behind} watchers were never told of version {version}")
        return found

    async def _watch(self) -> None:
        """Changes at a steady rate; each is told once the last watcher has its version."""
        await self._start_watchers()
        acknowledged: list[tuple[int, float]] = []  # version, when
        before = cost(self._service.running.pid)[0]
        begun = time.monotonic()
        turns: dict[int, int] = {}
        changes = int(self._rate * self._seconds)
        busy: set[asyncio.Task[None]] = set()

        async def change(n: int) -> None:
            number = WRITERS + n % max(1, self._records - WRITERS)
            turns[number] = turns.get(number, 0) + 1
            version = await self._turn(self._writers[n % WRITERS], number, turns[number] - 1)
            acknowledged.append((version, time.monotonic()))

        for n in range(changes):
            due = begun + n / self._rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            task = asyncio.create_task(change(n))
            busy.add(task)
            task.add_done_callback(busy.discard)
        await asyncio.gather(*busy)
        took = time.monotonic() - begun
        self.figures.service_cpu_share = round((cost(self._service.running.pid)[0] - before) / took, 3)
        self.figures.service_memory_mb = round(cost(self._service.running.pid)[1], 1)
        histories = await self._histories(max(version for version, _ in acknowledged))
        told = [one for each in histories for one in each.told]
        answers = sum(begun <= at <= begun + took for one in told for at, _ in one)
        self.figures.answers_per_s = round(answers / took, 1)
        delays = [1000 * delay for delay in _delays(acknowledged, told)]
        self.figures.last_watcher_p50_ms, self.figures.last_watcher_p99_ms = (
            round(float(value), 1) for value in np.percentile(delays, [50, 99])
        )
        self.figures.changes = changes
        self.figures.watcher_processes = len(histories)
        self.figures.watcher_late_ms = max(each.late_ms for each in histories)

    async def _storm(self) -> None:
        """The service is killed under all watchers and started again: how they come back."""
        self._callers = [Caller(self._address, self._follow) for _ in range(self._count)]
        for jitter in (True, False):
            for caller in self._callers:
                caller.line.close()
                caller.line = RegistryClient(self._address)
            await connect(self._callers)
            tried: list[float] = []
            back: list[float] = []
            tasks = [
                asyncio.create_task(self._come_back(caller, jitter, tried, back)) for caller in self._callers
            ]
            await asyncio.sleep(0.5)  # all watch
            await self._service.stop()
            down = time.monotonic()
            await asyncio.sleep(1.0)
            await self._service.start()
            up = time.monotonic()
            await asyncio.gather(*tasks)
            since = np.array([at for at in tried if at >= down])
            most = int(np.bincount(((since - down) * 10).astype(int)).max()) if len(since) else 0
            seconds = round(max(back) - up, 2)
            if jitter:
                self.figures.storm_calls_most_per_100ms_with_jitter = most
                self.figures.storm_back_s_with_jitter = seconds
            else:
                self.figures.storm_calls_most_per_100ms_without = most
                self.figures.storm_back_s_without = seconds

    async def _come_back(self, caller: Caller, jitter: bool, tried: list[float], back: list[float]) -> None:
        pace = FleetBackoff(random.Random(len(self._callers) + id(caller)))
        pace.record_answer(len(self._callers))
        with_watch = True
        for turn in range(100):
            try:
                if with_watch:
                    await caller.once(WATCH_MS)
                else:
                    tried.append(time.monotonic())
                    await caller.once(0)
                    back.append(time.monotonic())
                    return
            except (NoReplyError, RequestRefusedError):
                with_watch = False
                wait_s = pace.record_failure() / US_PER_S if jitter else BASE_S * 2 ** min(turn, 6)
                await asyncio.sleep(wait_s)


def _delays(acknowledged: list[tuple[int, float]], history: list[list[tuple[float, int]]]) -> list[float]:
    """For each change, the seconds until every watcher had been told of its version or a later one."""
    versions = np.array([version for version, _ in acknowledged])
    last = np.zeros(len(versions))
    for one in history:
        times = np.array([at for at, _ in one])
        reached = np.maximum.accumulate(np.array([version for _, version in one]))
        places = np.searchsorted(reached, versions)
        last = np.maximum(last, times[np.minimum(places, len(times) - 1)])
    return [max(0.0, float(at - when)) for at, (_, when) in zip(last, acknowledged, strict=True)]


def _record(number: int, version: int = 0) -> Record:
    entry = Entry(
        instance_id=f"e{number}",
        host_port=f"10.0.{number // 250 % 250}.{number % 250}:7070",
        zone="abc"[number % 3],
        machine_type="full",
        lifecycle=Readiness.READY,
        started_at_ms=version,
    )
    return Record(entry=entry, version=version)
