"""The data path: the time that a real sidecar adds to a call, and the processor time that a call costs it.

Calls leave when they are due, whatever has become of those before (open loop), and their time runs from then.
They go in turn through a sidecar, through a relay that only passes bytes on, and straight to endpoints, all
in the same run: what differs between the three is the hop.
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
from eiderhub.emulator.asking import Asking, end_of, render
from eiderhub.emulator.clock import Clock
from eiderhub.emulator.load import Pattern, loopback, schedule
from eiderhub.emulator.processes import Process, Usage, claim, environment, new_folder
from eiderhub.http1 import ConnectionPool, NoReplyError, Reply, fetch
from eiderhub.interface import Effect
from eiderhub.scale.alarms import NS, Alarms
from eiderhub.scale.backends import Counts, Places, listing
from eiderhub.world.clients import End

CLASS = "look"
DEADLINE_MS = 2000
SOON_NS = 20_000_000  # the first call is due no sooner
WARM_S = 2.0  # connections come up, and the sidecar learns, before calls count
IDLE_S = 4.0  # in which a sidecar with nothing to do is watched
READY_S = 20.0  # for a process to listen
END_S = 5.0  # after SIGTERM; then SIGKILL
DESCRIPTORS = 4096
CONN_IDLE_US = 5_000_000  # the sidecar's setting
VERSION = 1
LEGS = ("sidecar", "relay", "direct")
Tell = Callable[[float, str], None]


class Times(msgspec.Struct, frozen=True):
    """Percentiles, in milliseconds. As a difference of two, they may be below 0."""

    p50_ms: float
    p99_ms: float
    p999_ms: float

    def less(self, other: Times) -> Times:
        """By how much each percentile lies above the other's."""
        pairs = zip(msgspec.structs.astuple(self), msgspec.structs.astuple(other), strict=True)
        return Times(*(round(a - b, 3) for a, b in pairs))


class Leg(msgspec.Struct, frozen=True):
    """Calls that went one way, by how they ended; times are of those served, from when they were due."""

    sent: int
    served: int
    refused: int
    failed: int  # answered as failed, broken off, not answered in time, not connected
    times: Times | None  # none: nothing was served


class PathFigures(msgspec.Struct, frozen=True):
    """What targets add to a call, beside the same calls with nothing in between."""

    rate: float  # calls a second, each way
    seconds: float
    seed: int
    target: Leg
    direct: Leg
    added: Times | None
    late: Times  # of the callers' own timers


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One rate."""

    rate: float  # calls a second, each of the three ways
    seconds: float
    sidecar: Leg
    relay: Leg
    direct: Leg
    over_direct: Times | None  # the sidecar's percentiles less those of direct calls
    over_relay: Times | None
    sidecar_cpu_us_per_call: float  # with its timers and all else that it did meanwhile
    relay_cpu_us_per_call: float
    sidecar_cpu_share: float  # of a core
    connections: dict[str, int]  # opened at endpoints, by the way of the calls
    connections_per_1000: dict[str, float]
    late: Times  # of the callers' own timers
    endpoints_late_p99_ms: float  # of the timers behind answers


class RelayResult(msgspec.Struct, frozen=True, kw_only=True):
    """A run of `ottercleat bench relay`."""

    kind: Literal["relay"] = "relay"
    version: Literal[1] = 1
    revision: str  # the sidecar's
    machine: str
    measured: str
    settings: dict[str, float | int | str]
    idle_cpu_us_per_s: float  # of the sidecar, with its list and no calls
    memory_mb: float  # of the sidecar, at the end
    steps: list[Step]


class PathError(Exception):
    """A process that the measurement needs did not come up, with the last lines of its log."""


def times_of(latencies_ns: Sequence[int]) -> Times | None:
    if not len(latencies_ns):
        return None
    p50, p99, p999 = np.percentile(latencies_ns, [50, 99, 99.9]) / 1e6
    return Times(round(float(p50), 3), round(float(p99), 3), round(float(p999), 3))


def difference(one: Leg, other: Leg) -> Times | None:
    """None where one of them served nothing."""
    return one.times.less(other.times) if one.times is not None and other.times is not None else None


def due_times(legs: int, rate: float, seconds: float, seed: int) -> tuple[np.ndarray, np.ndarray]:
    """When calls are due, in ns from the beginning, rising; and which way each goes.

    Each way has a Poisson process of its own: calls that were due together would wait for each other.
    """
    due = [schedule(Pattern.POISSON, [rate], seconds, seed * LEGS_MOST + leg) for leg in range(legs)]
    ways = np.repeat(np.arange(legs), [len(each) for each in due])
    together = np.concatenate(due)
    order = np.argsort(together, kind="stable")
    return (together[order] * NS).astype(np.int64), ways[order]


LEGS_MOST = 16


class _Way:
    """The connections and the calls of one leg."""

    def __init__(self, targets: Sequence[tuple[str, int]]) -> None:
        self.pools = [ConnectionPool(loopback(host), port) for host, port in targets]
        self.turn = 0
        self.ends: Counter[End] = Counter()
        self.latencies_ns: list[int] = []

    def pool(self) -> ConnectionPool:
        self.turn += 1
        return self.pools[self.turn % len(self.pools)]

    def leg(self) -> Leg:
        served, refused = self.ends[End.SERVED], self.ends[End.REFUSED]
        sent = self.ends.total()
        return Leg(sent, served, refused, sent - served - refused, times_of(self.latencies_ns))

    def forget(self) -> None:
        self.ends = Counter()
        self.latencies_ns = []


class _Call(Asking):
    """One call on its way."""

    def __init__(self, callers: Callers, way: _Way, number: int, due_ns: int) -> None:
        self._callers = callers
        self._way = way
        self._due_ns = due_ns
        name = f"{callers.run:08x}{number:08x}"
        data = render(name, CLASS, Effect.IDEMPOTENT, DEADLINE_MS, None, None, b"")
        super().__init__(callers.clock, way.pool(), data, callers.clock.now_us() + DEADLINE_MS * 1000)

    def meaning(self, reply: Reply) -> End:
        return end_of(reply.status)

    def crossed(self, first: bool) -> bool:
        return not first  # a kept connection's close

    def ended(self, end: End, reply: Reply | None) -> None:
        if end is End.SERVED:
            self._way.latencies_ns.append(time.monotonic_ns() - self._due_ns)
        self._way.ends[end] += 1
        self._callers.ended()


class Callers:
    """Open-loop callers of one or more ways; their connections are kept from one play to the next."""

    def __init__(self, ways: Mapping[str, Sequence[tuple[str, int]]]) -> None:
        if len(ways) > LEGS_MOST:
            raise ValueError(f"{len(ways)} ways are more than {LEGS_MOST}")
        self.ways = {name: _Way(targets) for name, targets in ways.items()}
        self.clock = Clock()
        self.run = os.getpid() & 0xFFFF
        self._alarms = Alarms()
        self._open = 0
        self._done = asyncio.Event()

    async def play(self, rate: float, seconds: float, seed: int) -> tuple[dict[str, Leg], Times]:
        """Calls at this rate each way; returns once all have ended, with the callers' own lateness.

        Raises:
            ValueError: more calls than a run may have.
        """
        due_ns, ways = due_times(len(self.ways), rate, seconds, seed)
        each = list(self.ways.values())
        for way in each:
            way.forget()
        self.run += 1 << 16  # ids differ from those of the play before
        self._alarms.late_ns = []
        self._done.clear()
        self._open = len(due_ns)
        begun_ns = time.monotonic_ns() + SOON_NS

        def send(number: int) -> None:
            if number + 1 < len(due_ns):
                self._alarms.at(begun_ns + int(due_ns[number + 1]), send, number + 1)
            _Call(self, each[ways[number]], number, begun_ns + int(due_ns[number]))

        if self._open:
            self._alarms.at(begun_ns + int(due_ns[0]), send, 0)
            await self._done.wait()
        late = times_of(self._alarms.late_ns) or Times(0.0, 0.0, 0.0)
        return {name: way.leg() for name, way in self.ways.items()}, late

    def ended(self) -> None:
        self._open -= 1
        if not self._open:
            self._done.set()

    def close(self) -> None:
        self._alarms.close()
        self.clock.stop()
        for way in self.ways.values():
            for pool in way.pools:
                pool.close()


async def measure(
    targets: Sequence[tuple[str, int]],
    direct: Sequence[tuple[str, int]],
    rate: float,
    seconds: float,
    seed: int,
) -> PathFigures:
    """What `targets` (sidecars) add to calls that reach `direct` (endpoints) without them.

    `rate` is in calls a second each of the two ways, over all addresses of it in turn; all are on loopback.

    Raises:
        ValueError: an address that is not loopback, or more calls than a run may have.
    """
    callers = Callers({"target": targets, "direct": direct})
    try:
        legs, late = await callers.play(rate, seconds, seed)
    finally:
        callers.close()
    target, straight = legs["target"], legs["direct"]
    return PathFigures(rate, seconds, seed, target, straight, difference(target, straight), late)


def cpu_ns(pid: int) -> int:
    """Processor time of all threads that a process has now; in user and system mode."""
    used = 0
    for each in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        with contextlib.suppress(OSError):  # a thread that has just ended
            used += int(each.read_text().split()[0])
    return used


def sidecar_settings() -> dict[str, object]:
    """One class of calls that may be repeated, one zone, no tenants, no second copies."""
    return {
        "Categories": [
            {"Name": CLASS, "AimUs": 1_000_000, "DeadlineUs": DEADLINE_MS * 1000, "Effect": "idempotent"}
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
    known: Sequence[Address],
    seed: int,
    root: Path | None = None,
) -> Process:
    """A sidecar with these endpoints, as the platform starts one; its files lie in `folder`.

    `root` is of another checkout, whose sidecar it is then.
    """
    document = {
        "name": "bench",
        "listen": str(address),
        "discovery": str(discovery),
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": DESCRIPTORS},
        "known": listing(known),
        "settings": sidecar_settings(),
    }
    path = folder / "config.json"
    path.write_bytes(msgspec.json.encode(document))
    temporary = folder / "tmp"
    temporary.mkdir(exist_ok=True)
    environ = {key: value for key, value in environment().items() if not key.startswith("GW_")}
    environ |= {"GW_CONFIG": str(path), "TMPDIR": str(temporary)}
    if root is not None:
        environ["PYTHONPATH"] = str(root)
    # With -P: the working directory, which -m puts first, may hold a checkout as well.
    command = [sys.executable, "-P", "-B", "-m", "eiderhub.sidecar"]
    log = folder / "sidecar.log"
    return Process("sidecar", command, environ, log, DESCRIPTORS, None, Usage(), lambda *_: None)


async def start_backends(folder: Path, name: str, *arguments: str) -> tuple[Process, Places]:
    """Stand-ins as a process, once it listens; `arguments` as eiderhub.scale.backends has them, less FILE.

    Raises:
        PathError: it ended, or did not listen in time.
    """
    file = folder / f"{name}.places"
    command = [sys.executable, "-B", "-m", "eiderhub.scale.backends", arguments[0], str(file), *arguments[1:]]
    log = folder / f"{name}.log"
    process = Process(name, command, environment(), log, DESCRIPTORS, None, Usage(), lambda *_: None)
    begun = time.monotonic()
    while not file.exists():
        if process.ended.is_set() or time.monotonic() - begun > READY_S:
            await end([process])
            raise PathError("\n".join([f"{name} did not come up", *process.tail()]))
        await asyncio.sleep(0.01)
    return process, msgspec.json.decode(file.read_bytes(), type=Places)


async def end(processes: Sequence[Process]) -> None:
    """SIGTERM, and SIGKILL to what has not ended by then."""
    for process in processes:
        process.terminate()
    for process in processes:
        try:
            async with asyncio.timeout(END_S):
                await process.ended.wait()
        except TimeoutError:
            process.kill()
            await process.ended.wait()


@contextlib.contextmanager
def _no_collections() -> Iterator[None]:
    """A full collection in the callers' process would be taken for the target's slowness."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


class RelayBench:
    """A sidecar, a bare relay and endpoints as processes, and callers in this one."""

    def __init__(
        self,
        rates: Sequence[float],
        seconds: float,
        seed: int,
        endpoints: int,
        service_us: int,
        sidecar: Path | None = None,
        warm_s: float = WARM_S,
        idle_s: float = IDLE_S,
    ) -> None:
        self._rates = list(rates)
        self._seconds = seconds
        self._seed = seed
        self._count = endpoints
        self._service_us = service_us
        self._sidecar = sidecar  # the root of another checkout, whose sidecar is measured
        self._warm_s = warm_s
        self._idle_s = idle_s
        self._processes: list[Process] = []

    async def run(self, tell: Tell, revision: str, machine: str) -> RelayResult:
        """Ends its processes and removes their files, whatever happens.

        Raises:
            PathError: a process did not come up, or has ended.
        """
        self._folder = new_folder()
        held = claim("127.0.0.1")
        callers: Callers | None = None
        try:
            tell(0.0, "starting")
            where = await self._start(
                "endpoints", "endpoints", str(len(LEGS)), str(self._count), str(self._service_us)
            )
            direct = where.sets[2]
            bare = await self._start("relay", "relay", *(str(address) for address in where.sets[1]))
            address = Address(*held.getsockname())
            sidecar = await self._start_sidecar(address, where)
            relay = self._processes[1]
            assert where.figures is not None
            self._figures = ConnectionPool(*where.figures)
            tell(0.0, "idle")
            before = cpu_ns(sidecar.pid)
            begun = time.monotonic()
            await asyncio.sleep(self._idle_s)
            idle = (cpu_ns(sidecar.pid) - before) / 1000 / max(1e-9, time.monotonic() - begun)
            callers = Callers({"sidecar": [address], "relay": bare.sets[0], "direct": direct})
            steps = []
            with _no_collections():
                for number, rate in enumerate(self._rates):
                    tell(number / len(self._rates), f"{rate:g} calls a second each way")
                    steps.append(await self._step(callers, rate, sidecar, relay))
            memory_mb = sidecar.measure()[1]
            self._check()
        finally:
            if callers is not None:
                callers.close()
            if hasattr(self, "_figures"):
                self._figures.close()
            await end(self._processes)
            held.close()
            shutil.rmtree(self._folder, ignore_errors=True)
        return RelayResult(
            revision=revision,
            machine=machine,
            measured=time.strftime("%Y-%m-%d"),
            settings={
                "endpoints": self._count,
                "service_us": self._service_us,
                "seed": self._seed,
                "seconds": self._seconds,
                "conn_idle_us": CONN_IDLE_US,
            },
            idle_cpu_us_per_s=round(idle, 1),
            memory_mb=round(memory_mb, 1),
            steps=steps,
        )

    async def _step(self, callers: Callers, rate: float, sidecar: Process, relay: Process) -> Step:
        await callers.play(rate, self._warm_s, self._seed + 1)
        before = await self._counts()
        used = [cpu_ns(process.pid) for process in (sidecar, relay)]
        begun = time.monotonic()
        legs, late = await callers.play(rate, self._seconds, self._seed)
        took_s = time.monotonic() - begun
        sidecar_ns, relay_ns = (
            cpu_ns(process.pid) - was for process, was in zip((sidecar, relay), used, strict=True)
        )
        after = await self._counts()
        self._check()
        opened = [now - was for now, was in zip(after.accepted, before.accepted, strict=True)]
        per_1000 = [1000 * n / max(1, legs[way].sent) for n, way in zip(opened, LEGS, strict=True)]
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
            sidecar_cpu_share=round(sidecar_ns / 1e9 / took_s, 4),
            connections=dict(zip(LEGS, opened, strict=True)),
            connections_per_1000={way: round(n, 2) for way, n in zip(LEGS, per_1000, strict=True)},
            late=late,
            endpoints_late_p99_ms=after.late_p99_ms,
        )

    async def _counts(self) -> Counts:
        reply = await fetch(self._figures, b"GET / HTTP/1.1\r\nHost: figures\r\n\r\n", READY_S)
        return msgspec.json.decode(reply.body, type=Counts)

    # --- processes ---

    async def _start(self, name: str, *arguments: str) -> Places:
        process, places = await start_backends(self._folder, name, *arguments)
        self._processes.append(process)
        return places

    async def _start_sidecar(self, address: Address, where: Places) -> Process:
        assert where.discovery is not None
        process = start_sidecar(
            self._folder, address, where.discovery, where.sets[0], self._seed, self._sidecar
        )
        self._processes.append(process)
        pool = ConnectionPool(*address)
        try:
            async with asyncio.timeout(READY_S):
                for number in range(1_000_000):
                    self._check_one(process)
                    name = f"{number:016x}"
                    asked = render(name, CLASS, Effect.IDEMPOTENT, DEADLINE_MS, None, None, b"")
                    with contextlib.suppress(NoReplyError):
                        if (await fetch(pool, asked, 1.0)).status == 200:
                            return process
                    await asyncio.sleep(0.02)
        except TimeoutError:
            pass
        finally:
            pool.close()
        raise PathError("\n".join([f"the sidecar served nothing within {READY_S:g} s", *process.tail()]))

    def _check_one(self, process: Process) -> None:
        if process.ended.is_set():
            raise PathError("\n".join([f"{process.name} has ended", *process.tail()]))

    def _check(self) -> None:
        for process in self._processes:
            self._check_one(process)
