"""Measures the processor time and memory of balancing decisions by the length of the endpoint list.

The balancer has no input or output of its own and is driven with a simulated clock. Processor time is that of
this process, minus the cost of reading the processor clock.
"""

from __future__ import annotations

import asyncio
import gc
import heapq
import shutil
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, Literal

import msgspec

from eiderhub.address import Address
from eiderhub.balancer import Balancer
from eiderhub.emulator.processes import Process, create_temporary_folder, reserve_port
from eiderhub.interface import Endpoint, ListForm, Outcome, Readiness
from eiderhub.scale.data_path_bench import (
    DEADLINE_MS,
    READY_TIMEOUT_S,
    REQUEST_CLASS,
    PathError,
    sidecar_settings,
    start_backends,
    start_sidecar,
    stop_processes,
)
from eiderhub.settings import settings_from

SIZES = (15, 150, 1500, 15_000)
ZONES = ("a", "b", "c")
REPEATS = 3
WARM_UP_S, MEASURED_S = 2, 5  # of the simulated clock
INSTANTS_PER_S = 20  # the first call of each instant also pays for timed work due since the previous one
CALLS_PER_INSTANT = 6  # in each instant, one after another
SERVICE_US = 1000
FULL_LIST_REPEATS = 5
SETTLE_S = 2.0  # after the sidecar listens; its first watch has been answered by then
ReportProgress = Callable[[float, str], None]


class Sample(msgspec.Struct, frozen=True):
    """One repetition at one list size. Times are microseconds of processor time."""

    size: int  # endpoints in the list
    order_us: float  # one request decided, sent and answered; mean
    delta_us: float  # a delta that changes one endpoint; mean
    whole_list_us: float  # a full list; mean
    timers_us: float  # timed work of one second, in timers or in the call that performs it; mean
    bytes_per_endpoint: float  # held by the balancer, including the list entry
    refused: int  # calls without an attempt; the other figures are valid only if it is 0


class Memory(msgspec.Struct, frozen=True):
    """Resident memory of a real sidecar with a list of `size` endpoints and no calls."""

    size: int
    mb: float


class DecisionsResult(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one run of `ottercleat bench decisions`."""

    kind: Literal["decisions"] = "decisions"
    version: Literal[1] = 1
    revision: str
    machine: str
    measured: str
    settings: dict[str, float | int | str]
    samples: list[Sample]
    memory: list[Memory]


class _Host:
    """The balancer's host: records its attempts, refusals and timers."""

    def __init__(self) -> None:
        self.last_attempt: tuple[str, str] | None = None
        self.attempts = 0
        self.refused = 0
        self.now_us = 0
        self.timers: list[tuple[int, str]] = []

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        self.last_attempt = call, endpoint
        self.attempts += 1

    def shed(self, call: str, wait_us: int) -> None:
        self.refused += 1

    def surrender(self, call: str) -> None:
        self.refused += 1

    def timer(self, delay_us: int, mark: str) -> None:
        heapq.heappush(self.timers, (self.now_us + delay_us, mark))

    def cancel(self, call: str, attempt: int) -> None: ...

    def watch(self, on: bool) -> None: ...

    def close_idle(self, endpoint: str) -> None: ...

    def write_log(self, text: str, **fields: str | int | float) -> None: ...


def endpoints(size: int) -> list[Endpoint]:
    """Returns ready endpoints, distributed evenly over the zones."""
    return [
        Endpoint(f"e{n}", ZONES[n % len(ZONES)], "m", n // len(ZONES) % 4, Readiness.READY)
        for n in range(size)
    ]


def _clock_read_cost_ns() -> float:
    """Returns the processor time of one interval measurement, which reads the clock twice."""
    start_ns = time.process_time_ns()
    for _ in range(1000):
        time.process_time_ns()
    return (time.process_time_ns() - start_ns) / 1000


class _Driver:
    """Drives one balancer with calls, timers and lists, and measures the processor time of each."""

    def __init__(self, size: int, callers: int, seed: int) -> None:
        settings: dict[str, Any] = {**sidecar_settings(), "Balancers": callers, "Localities": list(ZONES)}
        self._host = _Host()
        self._balancer = Balancer(settings_from(settings), seed, self._host)
        self._entries = endpoints(size)
        self._call_count = 0
        self._clock_cost_ns = _clock_read_cost_ns()
        self._balancer.start(0)
        self._balancer.discovery(0, ListForm.FULL, self._entries)

    def _measure_ns(self, event: Callable[..., None], *values: Any) -> float:
        start_ns = time.process_time_ns()
        event(self._host.now_us, *values)
        return time.process_time_ns() - start_ns - self._clock_cost_ns

    def _run_call(self) -> float:
        """Runs one request, which takes SERVICE_US of simulated time; returns its processor time in ns."""
        host, balancer = self._host, self._balancer
        self._call_count += 1
        call = f"{self._call_count:016x}"
        host.last_attempt = None
        used_ns = self._measure_ns(balancer.order, call, REQUEST_CLASS, None, DEADLINE_MS * 1000, None)
        host.now_us += SERVICE_US
        if host.last_attempt is not None:
            reply_arguments = (call, 0, host.last_attempt[1], SERVICE_US, True, Outcome.OK)
            used_ns += self._measure_ns(balancer.reply, *reply_arguments)
        return used_ns

    def _run_timers(self) -> float:
        """Fires all due timers; returns their processor time in ns."""
        used_ns = 0.0
        while self._host.timers and self._host.timers[0][0] <= self._host.now_us:
            _, mark = heapq.heappop(self._host.timers)
            used_ns += self._measure_ns(self._balancer.wake, mark)
        return used_ns

    def run_second(self) -> tuple[float, float]:
        """Runs calls for one simulated second.

        Returns in ns of processor time the mean of a call, without the first of each instant, and timed work.
        """
        host = self._host
        first_calls_ns = other_calls_ns = timers_ns = 0.0
        for _ in range(INSTANTS_PER_S):
            next_us = host.now_us + 1_000_000 // INSTANTS_PER_S
            timers_ns += self._run_timers()
            first_calls_ns += self._run_call()
            other_calls_ns += sum(self._run_call() for _ in range(CALLS_PER_INSTANT - 1))
            host.now_us = max(host.now_us, next_us)
        mean_call_ns = other_calls_ns / (INSTANTS_PER_S * (CALLS_PER_INSTANT - 1))
        return mean_call_ns, max(0.0, timers_ns + first_calls_ns - INSTANTS_PER_S * mean_call_ns)

    def apply_delta(self, number: int) -> float:
        """Drains an endpoint (even number) or makes it ready again (odd); returns the processor ns."""
        entry = self._entries[number // 2 % len(self._entries)]
        readiness = Readiness.READY if number % 2 else Readiness.DRAINING
        return self._measure_ns(
            self._balancer.discovery, ListForm.DELTA, [entry._replace(readiness=readiness)]
        )

    def apply_full_list(self) -> float:
        """Applies the same full list again; returns the processor time in ns."""
        return self._measure_ns(self._balancer.discovery, ListForm.FULL, list(self._entries))

    @property
    def refused(self) -> int:
        """Calls that the balancer refused."""
        return self._host.refused

    @property
    def attempts(self) -> int:
        """Attempts that the balancer sent."""
        return self._host.attempts

    @property
    def open_calls(self) -> int:
        """Calls that have not ended in the balancer."""
        return len(self._balancer.calls)


def memory_bytes_per_endpoint(size: int, callers: int) -> float:
    """Returns the balancer's memory with a list of `size` endpoints minus that with none, per endpoint."""
    tracemalloc.start()
    try:
        growth_bytes = []
        for count in (0, size) * 2:  # the first pass is discarded: it includes one-time allocations
            gc.collect()
            before_bytes = tracemalloc.get_traced_memory()[0]
            driver = _Driver(count, callers, 1)
            gc.collect()
            growth_bytes.append(tracemalloc.get_traced_memory()[0] - before_bytes)
            del driver
        return (growth_bytes[3] - growth_bytes[2]) / size
    finally:
        tracemalloc.stop()


def measure_sample(size: int, callers: int, seed: int) -> Sample:
    """Runs one repetition with a new balancer, `size` endpoints and `callers` sidecars on the list."""
    driver = _Driver(size, callers, seed)
    for _ in range(WARM_UP_S):
        driver.run_second()
    gc.collect()
    seconds = []
    deltas = []
    for number in range(MEASURED_S):
        seconds.append(driver.run_second())
        deltas += [driver.apply_delta(2 * number), driver.apply_delta(2 * number + 1)]
    full_lists = [driver.apply_full_list() for _ in range(FULL_LIST_REPEATS)]

    def mean_us(values: Sequence[float]) -> float:
        return round(sum(values) / len(values) / 1000, 2)

    return Sample(
        size=size,
        order_us=mean_us([order_ns for order_ns, _ in seconds]),
        delta_us=mean_us(deltas),
        whole_list_us=mean_us(full_lists),
        timers_us=mean_us([timers_ns for _, timers_ns in seconds]),
        bytes_per_endpoint=round(memory_bytes_per_endpoint(size, callers), 1),
        refused=driver.refused,
    )


def run(
    sizes: Sequence[int], repeats: int, callers: int | None, seed: int, report_progress: ReportProgress
) -> list[Sample]:
    """Measures all sizes in turn, `repeats` times over, so that drift of the machine shows as spread.

    `callers` is the number of sidecars that follow the list; None stands for the number of its endpoints.
    """
    samples = []
    for repeat in range(repeats):
        for number, size in enumerate(sizes):
            report_progress((repeat + number / len(sizes)) / repeats, f"{size} endpoints")
            samples.append(measure_sample(size, callers or size, seed + repeat))
    return sorted(samples, key=lambda each: each.size)


async def measure_memory(sizes: Sequence[int], seed: int, report_progress: ReportProgress) -> list[Memory]:
    """Measures the memory of real sidecars, one process after another, SETTLE_S after each listens.

    Raises:
        PathError: a sidecar did not start to listen.
    """
    results = []
    for number, size in enumerate(sizes):
        report_progress(number / len(sizes), f"a sidecar with {size} endpoints")
        folder = create_temporary_folder()
        reserved_socket = reserve_port("127.0.0.1")
        processes: list[Process] = []
        try:
            process, backends = await start_backends(folder, "discovery", "endpoints", "1", "1", "0")
            processes.append(process)
            assert backends.discovery is not None
            address = Address(*reserved_socket.getsockname())
            # Nothing listens on these addresses; the sidecar gets no calls that would reach them.
            addresses = [Address(f"127.9.{n // 250}.{1 + n % 250}", 1) for n in range(size)]
            sidecar = start_sidecar(folder, address, backends.discovery, addresses, seed)
            processes.append(sidecar)
            await _wait_until_listening(sidecar, address)
            await asyncio.sleep(SETTLE_S)
            results.append(Memory(size, round(sidecar.measure()[1], 2)))
        finally:
            await stop_processes(processes)
            reserved_socket.close()
            shutil.rmtree(folder, ignore_errors=True)
    return results


async def _wait_until_listening(process: Process, address: Address) -> None:
    started_s = time.monotonic()
    while True:
        try:
            _, writer = await asyncio.open_connection(*address)
        except OSError:
            if process.exited.is_set() or time.monotonic() - started_s > READY_TIMEOUT_S:
                raise PathError(
                    "\n".join(["the sidecar did not start to listen", *process.read_log_tail()])
                ) from None
            await asyncio.sleep(0.02)
        else:
            writer.close()
            return
