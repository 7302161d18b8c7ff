"""Measures the data path: the latency that a real sidecar adds to a call and the processor time of a call.

The load is open-loop: each call is sent at its due time, whether or not earlier calls have ended, and its
latency counts from that time. A run has three legs, which differ only in the hop between caller and endpoint:
a sidecar, a relay that only copies bytes, and none (direct).
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import shutil
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Literal

import msgspec
import numpy as np

from eiderhub.address import Address
from eiderhub.emulator.clock import Clock
from eiderhub.emulator.load import Pattern, require_loopback, schedule
from eiderhub.emulator.outgoing_request import OutgoingRequest, classify_status, render_request
from eiderhub.emulator.processes import (
    Process,
    Usage,
    child_environment,
    create_temporary_folder,
    reserve_port,
)
from eiderhub.http1 import ConnectionPool, NoReplyError, Reply, fetch
from eiderhub.interface import Effect
from eiderhub.scale.backends import EndpointCounts, ListenAddresses, full_list
from eiderhub.scale.precise_timers import NS_PER_S, PreciseTimers
from eiderhub.world.clients import End

REQUEST_CLASS = "look"
DEADLINE_MS = 2000
START_DELAY_NS = 20_000_000  # from the start of a run to its first call
WARM_UP_S = 2.0  # to open connections and to fill the sidecar's statistics before calls are counted
IDLE_S = 4.0  # length of the measurement of an idle sidecar
READY_TIMEOUT_S = 20.0  # for a process to start to listen
TERMINATE_TIMEOUT_S = 5.0  # between SIGTERM and SIGKILL
DESCRIPTOR_LIMIT = 4096
CONN_IDLE_US = 5_000_000  # the sidecar's setting
VERSION = 1
LEGS = ("sidecar", "relay", "direct")
ReportProgress = Callable[[float, str], None]


class LatencyPercentiles(msgspec.Struct, frozen=True):
    """Latency percentiles in milliseconds, or differences of percentiles, which may be negative."""

    p50_ms: float
    p99_ms: float
    p999_ms: float

    def minus(self, other: LatencyPercentiles) -> LatencyPercentiles:
        """Returns the difference of each percentile, this one's minus the other's."""
        pairs = zip(msgspec.structs.astuple(self), msgspec.structs.astuple(other), strict=True)
        return LatencyPercentiles(*(round(a - b, 3) for a, b in pairs))


class Leg(msgspec.Struct, frozen=True):
    """Calls of one leg by outcome; `times` are latencies of served calls, counted from their due times."""

    sent: int
    served: int
    refused: int
    failed: int  # error responses, broken connections, time-outs, failed connects
    times: LatencyPercentiles | None  # None if no call was served


class PathFigures(msgspec.Struct, frozen=True):
    """Latency that targets add to calls, from calls through them and direct calls in the same run."""

    rate: float  # calls a second, on each leg
    seconds: float
    seed: int
    target: Leg
    direct: Leg
    added: LatencyPercentiles | None
    late: LatencyPercentiles  # lateness of the callers' own timers


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """Results for one call rate."""

    rate: float  # calls a second, on each of the three legs
    seconds: float
    sidecar: Leg
    relay: Leg
    direct: Leg
    over_direct: LatencyPercentiles | None  # the sidecar's percentiles minus those of direct calls
    over_relay: LatencyPercentiles | None
    sidecar_cpu_us_per_call: float  # includes its timers and background work
    relay_cpu_us_per_call: float
    sidecar_cpu_share: float  # of a core
    connections: dict[str, int]  # opened at endpoints, by leg
    connections_per_1000: dict[str, float]
    late: LatencyPercentiles  # lateness of the callers' own timers
    endpoints_late_p99_ms: float  # lateness of the timers that delay responses


class RelayResult(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one run of `ottercleat bench relay`."""

    kind: Literal["relay"] = "relay"
    version: Literal[1] = 1
    revision: str  # of the sidecar
    machine: str
    measured: str
    settings: dict[str, float | int | str]
    idle_cpu_us_per_s: float  # of the sidecar, with its endpoint list and no calls
    memory_mb: float  # of the sidecar, at the end of the run
    steps: list[Step]


class PathError(Exception):
    """A process of the measurement did not start or has ended; the message has the last lines of its log."""


def latency_percentiles(latencies_ns: Sequence[int]) -> LatencyPercentiles | None:
    """Returns None if there are no latencies."""
    if not len(latencies_ns):
        return None
    p50, p99, p999 = np.percentile(latencies_ns, [50, 99, 99.9]) / 1e6
    return LatencyPercentiles(round(float(p50), 3), round(float(p99), 3), round(float(p999), 3))


def difference(one: Leg, other: Leg) -> LatencyPercentiles | None:
    """Returns the differences of the percentiles, or None if one of the legs served no call."""
    return one.times.minus(other.times) if one.times is not None and other.times is not None else None


def due_times(leg_count: int, rate: float, seconds: float, seed: int) -> tuple[np.ndarray, np.ndarray]:
    """Returns the due times of calls in ns from the start, ascending, and the leg number of each call.

    Each leg has its own Poisson process: calls of several legs at the same time would delay each other.
    """
    due_s_by_leg = [
        schedule(Pattern.POISSON, [rate], seconds, seed * MAX_LEGS + leg) for leg in range(leg_count)
    ]
    leg_numbers = np.repeat(np.arange(leg_count), [len(each) for each in due_s_by_leg])
    all_due_s = np.concatenate(due_s_by_leg)
    order = np.argsort(all_due_s, kind="stable")
    return (all_due_s[order] * NS_PER_S).astype(np.int64), leg_numbers[order]


MAX_LEGS = 16


class _LegCalls:
    """Connection pools and call outcomes of one leg."""

    def __init__(self, targets: Sequence[tuple[str, int]]) -> None:
        self.pools = [ConnectionPool(require_loopback(host), port) for host, port in targets]
        self.request_count = 0
        self.outcomes: Counter[End] = Counter()
        self.latencies_ns: list[int] = []

    def next_pool(self) -> ConnectionPool:
        self.request_count += 1
        return self.pools[self.request_count % len(self.pools)]

    def result(self) -> Leg:
        served, refused = self.outcomes[End.SERVED], self.outcomes[End.REFUSED]
        sent = self.outcomes.total()
        return Leg(sent, served, refused, sent - served - refused, latency_percentiles(self.latencies_ns))

    def reset(self) -> None:
        self.outcomes = Counter()
        self.latencies_ns = []


class _Call(OutgoingRequest):
    """One call; counts its outcome in its leg."""

    def __init__(self, callers: Callers, leg: _LegCalls, number: int, due_ns: int) -> None:
        self._callers = callers
        self._leg = leg
        self._due_ns = due_ns
        request_id = f"{callers.run_id:08x}{number:08x}"
        data = render_request(request_id, REQUEST_CLASS, Effect.IDEMPOTENT, DEADLINE_MS, None, None, b"")
        super().__init__(callers.clock, leg.next_pool(), data, callers.clock.now_us() + DEADLINE_MS * 1000)

    def classify_reply(self, reply: Reply) -> End:
        return classify_status(reply.status)

    def should_resend(self, first: bool) -> bool:
        return not first  # a reused connection may have been closed before it read the request

    def on_finished(self, end: End, reply: Reply | None) -> None:
        if end is End.SERVED:
            self._leg.latencies_ns.append(time.monotonic_ns() - self._due_ns)
        self._leg.outcomes[end] += 1
        self._callers.on_call_ended()


class Callers:
    """Open-loop load on one or more legs; connections stay open between runs of the load."""

    def __init__(self, targets_by_leg: Mapping[str, Sequence[tuple[str, int]]]) -> None:
        if len(targets_by_leg) > MAX_LEGS:
            raise ValueError(f"{len(targets_by_leg)} legs exceed the limit of {MAX_LEGS}")
        self.calls_by_leg = {name: _LegCalls(targets) for name, targets in targets_by_leg.items()}
        self.clock = Clock()
        self.run_id = os.getpid() & 0xFFFF
        self._timers = PreciseTimers()
        self._open_calls = 0
        self._all_ended = asyncio.Event()

    async def run_load(
        self, rate: float, seconds: float, seed: int
    ) -> tuple[dict[str, Leg], LatencyPercentiles]:
        """Sends calls at this rate on each leg and waits until all have ended.

        Returns the result of each leg and the lateness of the callers' own timers.

        Raises:
            ValueError: the rate and length give more calls than a run may have.
        """
        due_ns, leg_numbers = due_times(len(self.calls_by_leg), rate, seconds, seed)
        leg_calls = list(self.calls_by_leg.values())
        for leg in leg_calls:
            leg.reset()
        self.run_id += 1 << 16  # call ids differ from those of the previous run
        self._timers.lateness_ns = []
        self._all_ended.clear()
        self._open_calls = len(due_ns)
        start_ns = time.monotonic_ns() + START_DELAY_NS

        def send(number: int) -> None:
            if number + 1 < len(due_ns):
                self._timers.call_at(start_ns + int(due_ns[number + 1]), send, number + 1)
            _Call(self, leg_calls[leg_numbers[number]], number, start_ns + int(due_ns[number]))

        if self._open_calls:
            self._timers.call_at(start_ns + int(due_ns[0]), send, 0)
            await self._all_ended.wait()
        lateness = latency_percentiles(self._timers.lateness_ns) or LatencyPercentiles(0.0, 0.0, 0.0)
        return {name: leg.result() for name, leg in self.calls_by_leg.items()}, lateness

    def on_call_ended(self) -> None:
        """Counts down the open calls of the current run."""
        self._open_calls -= 1
        if not self._open_calls:
            self._all_ended.set()

    def close(self) -> None:
        """Closes the timers and all connections."""
        self._timers.close()
        self.clock.stop()
        for leg in self.calls_by_leg.values():
            for pool in leg.pools:
                pool.close()


async def measure(
    targets: Sequence[tuple[str, int]],
    direct: Sequence[tuple[str, int]],
    rate: float,
    seconds: float,
    seed: int,
) -> PathFigures:
    """Measures the latency that `targets` (sidecars) add to calls, compared with direct calls to endpoints.

    `rate` is in calls a second on each of the two legs; a leg uses its addresses in turn. All addresses are
    on loopback.

    Raises:
        ValueError: an address is not on loopback, or the run would have too many calls.
    """
    callers = Callers({"target": targets, "direct": direct})
    try:
        legs, lateness = await callers.run_load(rate, seconds, seed)
    finally:
        callers.close()
    target_leg, direct_leg = legs["target"], legs["direct"]
    return PathFigures(
        rate, seconds, seed, target_leg, direct_leg, difference(target_leg, direct_leg), lateness
    )


def cpu_ns(pid: int) -> int:
    """Returns the user and system time of all current threads of a process."""
    total_ns = 0
    for schedstat in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        with contextlib.suppress(OSError):  # the thread has ended since
            total_ns += int(schedstat.read_text().split()[0])
    return total_ns


def sidecar_settings() -> dict[str, object]:
    """Sidecar settings with one idempotent request class, one zone, no tenants and no hedges."""
    return {
        "Categories": [
            {
                "Name": REQUEST_CLASS,
                "AimUs": 1_000_000,
                "DeadlineUs": DEADLINE_MS * 1000,
                "Effect": "idempotent",
            }
        ],
        "Allowed": {"MaxAttempts": 3, "ConnIdleUs": CONN_IDLE_US, "ConnectTimeoutUs": 250_000},
        "Discovery": "ask",
        "MyZone": "a",
        "Tiers": ["one"],
    }


def start_sidecar(
    folder: Path,
    address: Address,
    discovery: Address,
    endpoints: Sequence[Address],
    seed: int,
    root: Path | None = None,
) -> Process:
    """Starts a sidecar with these endpoints the way the platform does; its files are written to `folder`.

    `root` is the root of another checkout, whose sidecar is started instead of this one's.
    """
    document = {
        "name": "bench",
        "listen": str(address),
        "discovery": str(discovery),
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": DESCRIPTOR_LIMIT},
        "known": full_list(endpoints),
        "settings": sidecar_settings(),
    }
    path = folder / "config.json"
    path.write_bytes(msgspec.json.encode(document))
    temporary = folder / "tmp"
    temporary.mkdir(exist_ok=True)
    sidecar_environment = {
        key: value for key, value in child_environment().items() if not key.startswith("GW_")
    }
    sidecar_environment |= {"GW_CONFIG": str(path), "TMPDIR": str(temporary)}
    if root is not None:
        sidecar_environment["PYTHONPATH"] = str(root)
    # -P keeps the working directory out of the module path: it may contain another checkout.
    command = [sys.executable, "-P", "-B", "-m", "eiderhub.sidecar"]
    log = folder / "sidecar.log"
    return Process(
        "sidecar", command, sidecar_environment, log, DESCRIPTOR_LIMIT, None, Usage(), lambda *_: None
    )


async def start_backends(folder: Path, name: str, *arguments: str) -> tuple[Process, ListenAddresses]:
    """Starts a process of eiderhub.scale.backends and waits until it listens.

    `arguments` are those of the module without FILE.

    Raises:
        PathError: the process ended, or did not listen in time.
    """
    file = folder / f"{name}.places"
    command = [sys.executable, "-B", "-m", "eiderhub.scale.backends", arguments[0], str(file), *arguments[1:]]
    log = folder / f"{name}.log"
    process = Process(
        name, command, child_environment(), log, DESCRIPTOR_LIMIT, None, Usage(), lambda *_: None
    )
    started_s = time.monotonic()
    while not file.exists():
        if process.exited.is_set() or time.monotonic() - started_s > READY_TIMEOUT_S:
            await stop_processes([process])
            raise PathError("\n".join([f"{name} did not start to listen", *process.read_log_tail()]))
        await asyncio.sleep(0.01)
    return process, msgspec.json.decode(file.read_bytes(), type=ListenAddresses)


async def stop_processes(processes: Sequence[Process]) -> None:
    """Sends SIGTERM, and after TERMINATE_TIMEOUT_S SIGKILL to processes that have not ended."""
    for process in processes:
        process.terminate()
    for process in processes:
        try:
            async with asyncio.timeout(TERMINATE_TIMEOUT_S):
                await process.exited.wait()
        except TimeoutError:
            process.kill()
            await process.exited.wait()


@contextlib.contextmanager
def _garbage_collection_disabled() -> Iterator[None]:
    """Collects garbage once and disables collection: a full one would count as latency of the target."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


class RelayBench:
    """Runs a sidecar, a bare relay and endpoints as processes, with the callers in this process."""

    def __init__(
        self,
        rates: Sequence[float],
        seconds: float,
        seed: int,
        endpoint_count: int,
        service_us: int,
        sidecar_root: Path | None = None,
        warm_up_s: float = WARM_UP_S,
        idle_s: float = IDLE_S,
    ) -> None:
        self._rates = list(rates)
        self._seconds = seconds
        self._seed = seed
        self._endpoint_count = endpoint_count
        self._service_us = service_us
        self._sidecar_root = sidecar_root  # root of another checkout, to measure its sidecar
        self._warm_up_s = warm_up_s
        self._idle_s = idle_s
        self._processes: list[Process] = []

    async def run(self, report_progress: ReportProgress, revision: str, machine: str) -> RelayResult:
        """Measures all rates; stops its processes and removes their files also after an error.

        Raises:
            PathError: a process did not start, or has ended.
        """
        self._folder = create_temporary_folder()
        reserved_socket = reserve_port("127.0.0.1")
        callers: Callers | None = None
        try:
            report_progress(0.0, "starting")
            backends = await self._start_backends(
                "endpoints", "endpoints", str(len(LEGS)), str(self._endpoint_count), str(self._service_us)
            )
            direct = backends.sets[2]
            relay_addresses = await self._start_backends(
                "relay", "relay", *(str(address) for address in backends.sets[1])
            )
            address = Address(*reserved_socket.getsockname())
            sidecar = await self._start_sidecar(address, backends)
            relay = self._processes[1]
            assert backends.figures is not None
            self._counts_pool = ConnectionPool(*backends.figures)
            report_progress(0.0, "idle")
            cpu_before_ns = cpu_ns(sidecar.pid)
            started_s = time.monotonic()
            await asyncio.sleep(self._idle_s)
            idle_us_per_s = (
                (cpu_ns(sidecar.pid) - cpu_before_ns) / 1000 / max(1e-9, time.monotonic() - started_s)
            )
            callers = Callers({"sidecar": [address], "relay": relay_addresses.sets[0], "direct": direct})
            steps = []
            with _garbage_collection_disabled():
                for number, rate in enumerate(self._rates):
                    report_progress(number / len(self._rates), f"{rate:g} calls a second on each leg")
                    steps.append(await self._measure_rate(callers, rate, sidecar, relay))
            memory_mb = sidecar.measure()[1]
            self._check_processes()
        finally:
            if callers is not None:
                callers.close()
            if hasattr(self, "_counts_pool"):
                self._counts_pool.close()
            await stop_processes(self._processes)
            reserved_socket.close()
            shutil.rmtree(self._folder, ignore_errors=True)
        return RelayResult(
            revision=revision,
            machine=machine,
            measured=time.strftime("%Y-%m-%d"),
            settings={
                "endpoints": self._endpoint_count,
                "service_us": self._service_us,
                "seed": self._seed,
                "seconds": self._seconds,
                "conn_idle_us": CONN_IDLE_US,
            },
            idle_cpu_us_per_s=round(idle_us_per_s, 1),
            memory_mb=round(memory_mb, 1),
            steps=steps,
        )

    async def _measure_rate(self, callers: Callers, rate: float, sidecar: Process, relay: Process) -> Step:
        await callers.run_load(rate, self._warm_up_s, self._seed + 1)
        counts_before = await self._fetch_counts()
        cpu_before_ns = [cpu_ns(process.pid) for process in (sidecar, relay)]
        started_s = time.monotonic()
        legs, lateness = await callers.run_load(rate, self._seconds, self._seed)
        elapsed_s = time.monotonic() - started_s
        sidecar_ns, relay_ns = (
            cpu_ns(process.pid) - before
            for process, before in zip((sidecar, relay), cpu_before_ns, strict=True)
        )
        counts_after = await self._fetch_counts()
        self._check_processes()
        opened = [
            after - before
            for after, before in zip(counts_after.accepted, counts_before.accepted, strict=True)
        ]
        per_1000 = [1000 * count / max(1, legs[leg].sent) for count, leg in zip(opened, LEGS, strict=True)]
        return Step(
            rate=rate,
            seconds=self._seconds,
            sidecar=legs["sidecar"],
            relay=legs["relay"],
            direct=legs["direct"],
            over_direct=difference(legs["sidecar"], legs["direct"]),
            over_relay=difference(legs["sidecar"], legs["relay"]),
            sidecar_cpu_us_per_call=round(sidecar_ns / 1000 / max(1, legs["sidecar"].sent), 1),
            relay_cpu_us_per_call=round(relay_ns / 1000 / max(1, legs["relay"].sent), 1),
            sidecar_cpu_share=round(sidecar_ns / 1e9 / elapsed_s, 4),
            connections=dict(zip(LEGS, opened, strict=True)),
            connections_per_1000={leg: round(value, 2) for leg, value in zip(LEGS, per_1000, strict=True)},
            late=lateness,
            endpoints_late_p99_ms=counts_after.late_p99_ms,
        )

    async def _fetch_counts(self) -> EndpointCounts:
        reply = await fetch(self._counts_pool, b"GET / HTTP/1.1\r\nHost: figures\r\n\r\n", READY_TIMEOUT_S)
        return msgspec.json.decode(reply.body, type=EndpointCounts)

    # --- processes ---

    async def _start_backends(self, name: str, *arguments: str) -> ListenAddresses:
        process, addresses = await start_backends(self._folder, name, *arguments)
        self._processes.append(process)
        return addresses

    async def _start_sidecar(self, address: Address, backends: ListenAddresses) -> Process:
        assert backends.discovery is not None
        process = start_sidecar(
            self._folder, address, backends.discovery, backends.sets[0], self._seed, self._sidecar_root
        )
        self._processes.append(process)
        pool = ConnectionPool(*address)
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                for number in range(1_000_000):
                    self._check_process(process)
                    request_id = f"{number:016x}"
                    request = render_request(
                        request_id, REQUEST_CLASS, Effect.IDEMPOTENT, DEADLINE_MS, None, None, b""
                    )
                    with contextlib.suppress(NoReplyError):
                        if (await fetch(pool, request, 1.0)).status == 200:
                            return process
                    await asyncio.sleep(0.02)
        except TimeoutError:
            pass
        finally:
            pool.close()
        raise PathError(
            "\n".join(
                [f"the sidecar served no request within {READY_TIMEOUT_S:g} s", *process.read_log_tail()]
            )
        )

    def _check_process(self, process: Process) -> None:
        if process.exited.is_set():
            raise PathError("\n".join([f"{process.name} has ended", *process.read_log_tail()]))

    def _check_processes(self) -> None:
        for process in self._processes:
            self._check_process(process)
