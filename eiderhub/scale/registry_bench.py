"""Measures the list service: a real process, with watchers on loopback in processes of their own."""

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

from eiderhub.emulator.processes import Process, create_temporary_folder
from eiderhub.http1 import NoReplyError
from eiderhub.interface import Readiness
from eiderhub.registry import api
from eiderhub.registry.adoption import US_PER_S, FleetBackoff
from eiderhub.registry.client import RegistryClient, RequestRefusedError, decode_reply
from eiderhub.registry.records import Branch, Entry, Opened, Put, Record
from eiderhub.registry.settings import FollowSettings
from eiderhub.registry.store import Folder, Store
from eiderhub.scale.services import READY_TIMEOUT_S, ListService, spawn
from eiderhub.scale.traffic import process_usage
from eiderhub.scale.watchers import WATCH_WAIT_MS, History, WatchClient, fetch_first_lists

WRITERS = 64  # concurrent writes while the write rate is measured
WRITE_DURATION_S = 3.0
BACKOFF_BASE_S = 0.1  # backoff without jitter
SETTLE_S = 1.0  # wait after the last change, until its answers have arrived
ReportProgress = Callable[[float, str], None]


@dataclass(slots=True)
class Figures:
    """Results. `last_watcher_*`: from a write's acknowledgement until the last watcher has received it."""

    last_watcher_p50_ms: float = 0.0
    last_watcher_p99_ms: float = 0.0
    changes: int = 0
    answers_per_s: float = 0.0
    service_cpu_share: float = 0.0  # of a core, while the changes are written
    service_memory_mb: float = 0.0
    writes_per_s: float = 0.0  # acknowledged after the sync, 64 writes at a time
    one_write_ms: float = 0.0  # median, one write at a time
    storm_calls_most_per_100ms_with_jitter: int = 0
    storm_calls_most_per_100ms_without: int = 0
    storm_back_s_with_jitter: float = 0.0  # from the restart until all watchers have an answer
    storm_back_s_without: float = 0.0
    restart_s: float = 0.0  # from the start of the process to its first answer
    restart_entries: int = 0
    watcher_processes: int = 0
    watcher_late_ms: float = 0.0  # lateness of their timers: 99th percentile of the worst process


class Bench:
    """One measurement of the list service: restart, writes, watchers, and a reconnect storm."""

    def __init__(
        self,
        watchers: int,
        records: int,
        changes_per_s: float,
        seconds: float,
        log_entries: int,
        processes: int,
    ) -> None:
        self._watcher_count = watchers
        self._watchers_per_process = [
            len(part) for part in np.array_split(np.arange(watchers), min(processes, watchers))
        ]
        self._record_count = records
        self._changes_per_s = changes_per_s
        self._seconds = seconds
        self._log_entries = log_entries
        self.figures = Figures()

    async def run(self, report_progress: ReportProgress) -> Figures:
        """Run all measurements. Always ends its processes and removes its files."""
        folder = create_temporary_folder()
        self._folder = folder
        limits = {
            "callers": 2 * self._watcher_count + 100,
            "watches": self._watcher_count + 100,
            "records": 1_000_000,
            "settle_s": 0.0,
        }
        self._service = ListService("registry", folder, {"limits": limits})
        self._address = self._service.address
        self._follow = FollowSettings(addresses=[str(self._address)])
        self._watcher_processes: list[Process] = []
        self._storm_clients: list[WatchClient] = []
        try:
            report_progress(0.0, "restart from a long log")
            await self._measure_restart(folder)
            report_progress(0.2, "writes")
            await self._fill()
            await self._measure_writes()
            report_progress(0.4, f"{self._watcher_count} watchers")
            await self._measure_watchers()
            report_progress(0.7, "reconnect storm")
            await self._measure_reconnect_storm()
            report_progress(1.0, "done")
        finally:
            for watcher in self._storm_clients:
                watcher.client.close()
            for process in self._watcher_processes:
                process.kill()
                await process.exited.wait()
            await self._service.stop()
            self._service.close()
            shutil.rmtree(folder, ignore_errors=True)
        return self.figures

    # --- measurements ---

    async def _measure_restart(self, folder: Path) -> None:
        """Measure the start from a log of many changes to few records, like the log after a long release."""
        store_folder = Folder(folder / "long")
        store = Store(store_folder)
        branch = Opened(version=1, branch=Branch(name="bench", after=0))
        changes: list[Opened | Put] = [branch]
        changes += [
            Put(version=number, record=_record(number % self._record_count, version=number))
            for number in range(2, self._log_entries + 1)
        ]
        store.append([msgspec.json.encode(change) for change in changes])
        store_folder.close()
        self.figures.restart_entries = self._log_entries
        self.figures.restart_s = await self._service.start(folder / "long")
        await self._service.stop()
        await self._service.start()

    async def _fill(self) -> None:
        """Put all records, with one client per writer."""
        clients = [RegistryClient(self._address) for _ in range(WRITERS)]
        await asyncio.gather(
            *(
                self._put_all(client, range(index, self._record_count, WRITERS))
                for index, client in enumerate(clients)
            )
        )
        self._write_clients = clients

    async def _put_all(self, client: RegistryClient, numbers: range) -> None:
        for number in numbers:
            await client.post(api.PUT_PATH, api.PutRequest(record=_record(number)), api.WriteResponse, 30.0)

    async def _measure_writes(self) -> None:
        """Measure the rate of concurrent writes, then the time of single writes."""
        counts = [0] * WRITERS
        end_s = time.monotonic() + WRITE_DURATION_S

        async def write(index: int) -> None:
            while time.monotonic() < end_s:
                await self._toggle_drain(self._write_clients[index], index, counts[index])
                counts[index] += 1

        await asyncio.gather(*(write(index) for index in range(WRITERS)))
        self.figures.writes_per_s = round(sum(counts) / WRITE_DURATION_S, 1)
        times_ms = []
        for toggle in range(100):
            started_s = time.monotonic()
            await self._toggle_drain(self._write_clients[0], 0, toggle + counts[0])
            times_ms.append((time.monotonic() - started_s) * 1000)
        self.figures.one_write_ms = round(float(np.median(times_ms)), 2)

    async def _toggle_drain(self, client: RegistryClient, number: int, toggle: int) -> int:
        """Drain a record, or end its drain if `toggle` is odd; returns the version of the change."""
        request = api.RecordRequest(id=f"e{number}", undo=bool(toggle % 2))
        return (await client.post(api.DRAIN_PATH, request, api.WriteResponse, 30.0)).version

    def _watcher_file(self, number: int) -> Path:
        return self._folder / f"watchers-{number}.json"

    async def _status(self) -> api.StatusResponse:
        return decode_reply(await self._write_clients[0].get(api.STATUS_PATH, {}, 30.0), api.StatusResponse)

    async def _start_watchers(self) -> None:
        """Start the watchers in processes of their own; returns once all of them watch."""
        for number, count in enumerate(self._watchers_per_process):
            command = [sys.executable, "-B", "-m", "eiderhub.scale.watchers", str(self._address)]
            command += [str(count), str(self._watcher_file(number))]
            self._watcher_processes.append(spawn(f"watchers-{number}", command, self._folder))
        async with asyncio.timeout(READY_TIMEOUT_S):
            await self._wait_until_watching()

    async def _wait_until_watching(self) -> None:
        """Wait until every watcher has a watch open at the service."""
        while (await self._status()).watches < self._watcher_count:
            for process in self._watcher_processes:
                if process.exited.is_set():
                    raise RuntimeError(f"{process.name} has ended: {process.read_log_tail()}")
            await asyncio.sleep(0.05)

    async def _collect_histories(self, version: int) -> list[History]:
        """End the watchers, once all have had time to receive `version`, and return their histories."""
        await asyncio.sleep(SETTLE_S)
        await self._wait_until_watching()
        for process in self._watcher_processes:
            process.terminate()
        histories = []
        for number, process in enumerate(self._watcher_processes):
            await process.exited.wait()
            histories.append(msgspec.json.decode(self._watcher_file(number).read_bytes(), type=History))
        behind = sum(
            versions[-1][1] < version if versions else True
            for history in histories
            for versions in history.told
        )
        if behind:
            raise RuntimeError(f"{behind} watchers never received version {version}")
        return histories

    async def _measure_watchers(self) -> None:
        """Write changes at a steady rate, and measure the delay until the last watcher has received each."""
        await self._start_watchers()
        acknowledged: list[tuple[int, float]] = []  # version, time
        cpu_before_s = process_usage(self._service.running_process.pid)[0]
        started_s = time.monotonic()
        toggle_counts: dict[int, int] = {}
        change_count = int(self._changes_per_s * self._seconds)
        pending: set[asyncio.Task[None]] = set()

        async def change(index: int) -> None:
            record_number = WRITERS + index % max(1, self._record_count - WRITERS)
            toggle_counts[record_number] = toggle_counts.get(record_number, 0) + 1
            version = await self._toggle_drain(
                self._write_clients[index % WRITERS], record_number, toggle_counts[record_number] - 1
            )
            acknowledged.append((version, time.monotonic()))

        for index in range(change_count):
            due_s = started_s + index / self._changes_per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            task = asyncio.create_task(change(index))
            pending.add(task)
            task.add_done_callback(pending.discard)
        await asyncio.gather(*pending)
        elapsed_s = time.monotonic() - started_s
        self.figures.service_cpu_share = round(
            (process_usage(self._service.running_process.pid)[0] - cpu_before_s) / elapsed_s, 3
        )
        self.figures.service_memory_mb = round(process_usage(self._service.running_process.pid)[1], 1)
        histories = await self._collect_histories(max(version for version, _ in acknowledged))
        received = [watcher for history in histories for watcher in history.told]
        answers = sum(
            started_s <= at_s <= started_s + elapsed_s for watcher in received for at_s, _ in watcher
        )
        self.figures.answers_per_s = round(answers / elapsed_s, 1)
        delays_ms = [1000 * delay_s for delay_s in _delays_s(acknowledged, received)]
        self.figures.last_watcher_p50_ms, self.figures.last_watcher_p99_ms = (
            round(float(value), 1) for value in np.percentile(delays_ms, [50, 99])
        )
        self.figures.changes = change_count
        self.figures.watcher_processes = len(histories)
        self.figures.watcher_late_ms = max(history.late_ms for history in histories)

    async def _measure_reconnect_storm(self) -> None:
        """Kill and restart the service; measure how the watchers reconnect, with and without jitter."""
        self._storm_clients = [WatchClient(self._address, self._follow) for _ in range(self._watcher_count)]
        for jitter in (True, False):
            for watcher in self._storm_clients:
                watcher.client.close()
                watcher.client = RegistryClient(self._address)
            await fetch_first_lists(self._storm_clients)
            call_times: list[float] = []
            answer_times: list[float] = []
            tasks = [
                asyncio.create_task(self._reconnect(watcher, jitter, call_times, answer_times))
                for watcher in self._storm_clients
            ]
            await asyncio.sleep(0.5)  # until all watches are open
            await self._service.stop()
            stopped_s = time.monotonic()
            await asyncio.sleep(1.0)
            await self._service.start()
            restarted_s = time.monotonic()
            await asyncio.gather(*tasks)
            calls_since_stop = np.array([at_s for at_s in call_times if at_s >= stopped_s])
            most_calls = (
                int(np.bincount(((calls_since_stop - stopped_s) * 10).astype(int)).max())
                if len(calls_since_stop)
                else 0
            )
            reconnect_s = round(max(answer_times) - restarted_s, 2)
            if jitter:
                self.figures.storm_calls_most_per_100ms_with_jitter = most_calls
                self.figures.storm_back_s_with_jitter = reconnect_s
            else:
                self.figures.storm_calls_most_per_100ms_without = most_calls
                self.figures.storm_back_s_without = reconnect_s

    async def _reconnect(
        self, watcher: WatchClient, jitter: bool, call_times: list[float], answer_times: list[float]
    ) -> None:
        backoff = FleetBackoff(random.Random(len(self._storm_clients) + id(watcher)))
        backoff.record_answer(len(self._storm_clients))
        watching = True
        for attempt in range(100):
            try:
                if watching:
                    await watcher.fetch(WATCH_WAIT_MS)
                else:
                    call_times.append(time.monotonic())
                    await watcher.fetch(0)
                    answer_times.append(time.monotonic())
                    return
            except (NoReplyError, RequestRefusedError):
                watching = False
                wait_s = (
                    backoff.record_failure() / US_PER_S if jitter else BACKOFF_BASE_S * 2 ** min(attempt, 6)
                )
                await asyncio.sleep(wait_s)


def _delays_s(acknowledged: list[tuple[int, float]], watchers: list[list[tuple[float, int]]]) -> list[float]:
    """Return, for each change, the seconds until every watcher had received its version or a later one."""
    versions = np.array([version for version, _ in acknowledged])
    last_received = np.zeros(len(versions))
    for watcher in watchers:
        times_s = np.array([at_s for at_s, _ in watcher])
        reached = np.maximum.accumulate(np.array([version for _, version in watcher]))
        indexes = np.searchsorted(reached, versions)
        last_received = np.maximum(last_received, times_s[np.minimum(indexes, len(times_s) - 1)])
    return [
        max(0.0, float(at_s - acknowledged_s))
        for at_s, (_, acknowledged_s) in zip(last_received, acknowledged, strict=True)
    ]


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
