"""Runs many hollow sidecars in one process: the real client code and decisions, without the data path.

    python -m eiderhub.scale.hollow FILE

FILE is a `ProcessConfig` in JSON. The process is controlled by JSON requests over HTTP to its control
address; the paths are listed in `SidecarHost`.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import gc
import os
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import structlog
import xxhash
from msgspec import Struct

from eiderhub.address import parse_host_port
from eiderhub.balancer import Balancer
from eiderhub.documents import convert
from eiderhub.http1 import ConnectionLimits, Exchange, ServerConnection
from eiderhub.interface import ListForm, Settings
from eiderhub.registry.client import Registration, build_record, now_us
from eiderhub.registry.records import Entry
from eiderhub.registry.settings import FollowSettings, RegisterSettings
from eiderhub.scale.plan import SidecarSpec
from eiderhub.scale.traffic import CountingLoop, TrafficCounts, running_counting_loop
from eiderhub.settings import Setup
from eiderhub.sidecar.clock import Alarm
from eiderhub.sidecar.discovery import ListedEndpoint
from eiderhub.sidecar.registry_watcher import RegistryWatcher

MAX_CONCURRENT_STARTS = 16  # registrations or first list requests in progress at the same time
TIMER_PROBE_INTERVAL_S = 0.02  # interval at which the lateness of timers is sampled
MAX_BODY_BYTES = 64 << 20
# Uptime that the sidecars registered in the fill phase report, so that they count as warm.
INITIAL_UPTIME_MS = 3_600_000
log = structlog.get_logger()
# Warnings that are counted by their text; the registry client logs the first two itself.
RECORD_LOST = "the list service has no record of this endpoint; registering again"
SERVICE_UNANSWERED = "the list service does not answer"
RENEWAL_UNANSWERED = f"{SERVICE_UNANSWERED} a registration"
LIST_EMPTIED = "a list became empty"
LIST_REVERTED = "a list went back"


class SidecarState(enum.Enum):
    """Lifecycle of a hollow sidecar. After `ENDED` the list service may keep its record for one lease."""

    NEW = "new"  # not registered yet
    ALIVE = "held"  # registers and renews its lease
    ENDED = "ended"


class ProcessConfig(Struct, frozen=True, kw_only=True):
    """Configuration of one process of hollow sidecars."""

    control: str  # address of the control server
    seats: list[SidecarSpec]
    main: dict[str, list[str]]  # by region: addresses at which sidecars register
    followers: dict[str, list[str]]  # by region: addresses from which lists are fetched, the nearest first
    endpoint: str  # address shared by the endpoints of all sidecars
    regions: dict[str, list[str]]  # zones by region
    settings: dict[str, Any]  # of the sidecars, in the form of their TOML file
    lease_ms: int
    wait_s: float
    calls_per_s: float
    seed: int


class Empty(Struct, frozen=True):
    """A request or response without content."""


class Change(Struct, frozen=True, array_like=True):
    """One change of a service's list."""

    service: str
    version: int
    acknowledged_s: float  # time of the acknowledgement on the machine's monotonic clock


class DelaysRequest(Struct, frozen=True):
    """Request for the delays after which changes were in force."""

    changes: list[Change]


class DelaysResponse(Struct, frozen=True):
    """For each change, the delay until it was in force at each sidecar that follows that list."""

    delays_ms: list[list[float]]
    missing: int  # pairs of a change and a sidecar that never adopted it


class CompareRequest(Struct, frozen=True):
    """Request to compare the sidecars' lists with those of the main service."""

    digests: dict[str, str]  # `list_digest` by service


class CompareResponse(Struct, frozen=True):
    """Result of a comparison of lists."""

    differ: int  # sidecars whose list differs
    lists: int  # lists compared
    last_change_s: float  # time of the last list update of any sidecar, on the monotonic clock


class SidecarIds(Struct, frozen=True):
    """Sidecars that a request applies to."""

    ids: list[str]


class ReplaceRequest(Struct, frozen=True):
    """Sidecars to shut down gracefully, each with its replacement."""

    pairs: list[tuple[str, SidecarSpec]]


class Snapshot(Struct, frozen=True):
    """Counts since the start of the process; `late_ms` and buckets: since the previous snapshot."""

    connections: dict[str, TrafficCounts]  # traffic by address
    said: dict[str, int]  # number of warnings by text
    held: int  # sidecars that are alive and registered
    listed: int  # sidecars that are alive and have received a list
    late_ms: list[float]  # lateness of timers: 50th and 99th percentile, maximum; empty without samples
    lists: int  # list updates passed to the decisions


def list_digest(entries: Mapping[str, Entry]) -> str:
    """Return a digest of a list's endpoints and their states, independent of their order."""
    rows = sorted(f"{e.instance_id} {e.lifecycle.value} {e.started_at_ms}" for e in entries.values())
    return xxhash.xxh3_64_hexdigest("\n".join(rows).encode())


class HollowActions:
    """Host actions for a hollow sidecar's decisions. Only timers and the watch work: there are no calls."""

    def __init__(self, sidecar: HollowSidecar) -> None:
        self._sidecar = sidecar

    def timer(self, delay_us: int, mark: str) -> None:
        """Wake the decisions with `mark` after the delay."""
        Alarm(now_us() + delay_us, lambda: self._sidecar.wake(mark))

    def watch(self, on: bool) -> None:
        """Start or stop the watch of the list."""
        self._sidecar.watcher.set_enabled(on)

    def write_log(self, text: str, **fields: str | int | float) -> None:
        """Discard the log line."""

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        raise AssertionError("a hollow sidecar has no calls")

    def cancel(self, call: str, attempt: int) -> None:
        raise AssertionError("a hollow sidecar has no calls")

    def shed(self, call: str, wait_us: int) -> None:
        raise AssertionError("a hollow sidecar has no calls")

    def surrender(self, call: str) -> None:
        raise AssertionError("a hollow sidecar has no calls")

    def close_idle(self, endpoint: str) -> None:
        """Do nothing: there are no connections to endpoints."""


class HollowSidecar:
    """One hollow sidecar: renews its record's lease and passes the list that it follows to its decisions."""

    def __init__(self, config: ProcessConfig, spec: SidecarSpec, settings: Settings) -> None:
        self.spec = spec
        self.state = SidecarState.NEW
        self._config = config
        self._settings = dataclasses.replace(
            settings, zone=spec.zone, rank=spec.rank, balancers=spec.balancers
        )
        follow_settings = FollowSettings(
            addresses=config.followers[spec.region],
            service=spec.follows,
            wait_s=config.wait_s,
            calls_per_s=config.calls_per_s,
        )
        self.watcher = RegistryWatcher(follow_settings, self._on_list, self._on_steering)
        self.adoptions: list[tuple[float, int]] = []  # time, version passed to the decisions
        self.list_received = asyncio.Event()
        self.list_updates = 0
        self.balancer = Balancer(self._settings, config.seed ^ hash_name(spec.id), HollowActions(self))
        self.registration: Registration | None = None

    def register(self, started_ms: int) -> Registration:
        """Start the registration; doesn't wait for its acknowledgement."""
        spec, config = self.spec, self._config
        register_settings = RegisterSettings(
            id=spec.id,
            address=config.endpoint,
            service=spec.service,
            zone=spec.zone,
            region=spec.region,
            lease_ms=config.lease_ms,
        )
        addresses = [parse_host_port(text) for text in config.main[spec.region]]
        self.registration = Registration(
            build_record(register_settings, started_ms), addresses, _always_alive
        )
        self.state = SidecarState.ALIVE
        self.registration.start()
        return self.registration

    def follow(self) -> None:
        """Start the decisions with an empty list, then the watch, in the order of a real sidecar's start."""
        self.balancer.start(now_us())
        self._on_list(ListForm.CACHED, [])
        self.watcher.set_enabled(True)

    def abandon(self) -> None:
        """Stop without draining or removing the record, like a killed process."""
        if self.registration is not None:
            self.registration.abandon()
        self.watcher.watch.stop()
        self.state = SidecarState.ENDED

    async def shut_down(self) -> None:
        """Shut down gracefully: drain the endpoint, remove its record, and stop the watch."""
        if self.registration is not None:
            await self.registration.drain()
            await self.registration.remove()
        self.watcher.watch.stop()
        self.state = SidecarState.ENDED

    def wake(self, mark: str) -> None:
        """Pass an expired timer to the decisions while the sidecar is alive."""
        if self.state is SidecarState.ALIVE:
            self.balancer.wake(now_us(), mark)

    def _on_steering(self, shares: Mapping[str, float], regions: Mapping[str, str]) -> None:
        self.balancer.steer(now_us(), shares, {**regions, **self._settings.regions})

    def _on_list(self, form: ListForm, entries: list[ListedEndpoint]) -> None:
        self.balancer.discovery(now_us(), form, [entry.endpoint for entry in entries])
        if form is ListForm.CACHED:
            return
        self.list_updates += 1
        if not self.watcher.watch.adopted_list.entries:
            log.warning(LIST_EMPTIED, id=self.spec.id)
        version = self.watcher.watch.adopted_list.version
        if self.adoptions and version < self.adoptions[-1][1]:
            log.warning(LIST_REVERTED, id=self.spec.id)
        self.adoptions.append((time.monotonic(), version))
        self.list_received.set()


async def _always_alive() -> bool:
    return True


def hash_name(name: str) -> int:
    """Return a hash of a name that is the same in every process."""
    return xxhash.xxh3_64_intdigest(name.encode())


class SidecarHost:
    """All hollow sidecars of this process, and the control server."""

    def __init__(self, config: ProcessConfig, warnings: Counter[str]) -> None:
        self.config = config
        self._warnings = warnings
        setup = convert(config.settings, Setup)
        region_by_zone = {zone: region for region, zones in config.regions.items() for zone in zones}
        self._settings = dataclasses.replace(setup.settings(), regions=region_by_zone)
        self.sidecars = {spec.id: self._create(spec) for spec in config.seats}
        self._lateness_ms: list[float] = []
        self._rng = random.Random(config.seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections: set[ServerConnection] = set()
        self._handlers: dict[str, tuple[type[Struct], Callable[[Any], Awaitable[Struct]]]] = {
            "/register": (Empty, self._register),
            "/follow": (Empty, self._follow),
            "/snapshot": (Empty, self._snapshot),
            "/settle": (DelaysRequest, self._settle),
            "/compare": (CompareRequest, self._compare),
            "/abandon": (SidecarIds, self._abandon),
            "/return": (SidecarIds, self._return),
            "/replace": (ReplaceRequest, self._replace),
        }

    def _create(self, spec: SidecarSpec) -> HollowSidecar:
        return HollowSidecar(self.config, spec, self._settings)

    async def serve(self) -> None:
        """Serve control requests until SIGTERM or SIGINT, then abandon all sidecars."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop.set)
        address = parse_host_port(self.config.control)
        limits = ConnectionLimits(max_body_bytes=MAX_BODY_BYTES)
        listener = await loop.create_server(
            lambda: ServerConnection(self._on_request, now_us, self._connections, limits=limits),
            address.host,
            address.port,
        )
        probing = loop.create_task(self._probe_timers(stop))
        await stop.wait()
        probing.cancel()
        listener.close()
        for sidecar in self.sidecars.values():
            if sidecar.state is SidecarState.ALIVE:
                sidecar.abandon()

    async def _probe_timers(self, stop: asyncio.Event) -> None:
        parent_pid = os.getppid()
        while True:
            if os.getppid() != parent_pid:  # the parent process has been killed
                stop.set()
            due_s = time.monotonic() + TIMER_PROBE_INTERVAL_S
            await asyncio.sleep(TIMER_PROBE_INTERVAL_S)
            self._lateness_ms.append((time.monotonic() - due_s) * 1000)

    def _on_request(self, exchange: Exchange) -> None:
        task = asyncio.get_running_loop().create_task(self._respond(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _respond(self, exchange: Exchange) -> None:
        request_type, handler = self._handlers[exchange.url.decode("ascii")]
        try:
            response = await handler(msgspec.json.decode(exchange.body, type=request_type))
        except Exception as error:  # respond in any case: the caller would wait until its timeout
            exchange.respond(500, msgspec.json.encode({"why": f"{type(error).__name__}: {error}"}))
            raise
        exchange.respond(200, msgspec.json.encode(response))

    # --- control requests ---

    async def _register(self, _: Empty) -> Empty:
        await _run_bounded(self._register_one(sidecar) for sidecar in self.sidecars.values())
        return Empty()

    async def _register_one(self, sidecar: HollowSidecar) -> None:
        await sidecar.register(time.time_ns() // 1_000_000 - INITIAL_UPTIME_MS).registered.wait()

    async def _follow(self, _: Empty) -> Empty:
        await _run_bounded(self._follow_one(sidecar) for sidecar in self.sidecars.values())
        # Exclude all objects created so far from collections: a full collection would delay every timer.
        gc.collect()
        gc.freeze()
        return Empty()

    @staticmethod
    async def _follow_one(sidecar: HollowSidecar) -> None:
        sidecar.follow()
        await sidecar.list_received.wait()

    async def _snapshot(self, _: Empty) -> Snapshot:
        lateness_ms, self._lateness_ms = self._lateness_ms, []
        alive = [sidecar for sidecar in self.sidecars.values() if sidecar.state is SidecarState.ALIVE]
        return Snapshot(
            connections=running_counting_loop().take_counts(),
            said=dict(self._warnings),
            held=sum(s.registration is not None and s.registration.registered.is_set() for s in alive),
            listed=sum(sidecar.list_received.is_set() for sidecar in alive),
            late_ms=[round(float(value), 2) for value in np.percentile(lateness_ms, [50, 99, 100])]
            if lateness_ms
            else [],
            lists=sum(sidecar.list_updates for sidecar in self.sidecars.values()),
        )

    async def _settle(self, request: DelaysRequest) -> DelaysResponse:
        by_service: dict[str, list[np.ndarray[Any, Any]]] = {}
        for sidecar in self.sidecars.values():
            if sidecar.state is SidecarState.ALIVE:
                adoptions = np.array(sidecar.adoptions, dtype=float).reshape(-1, 2)
                by_service.setdefault(sidecar.spec.follows, []).append(adoptions)
                sidecar.adoptions = sidecar.adoptions[-1:]
        delays_by_change: list[list[float]] = []
        missing = 0
        for change in request.changes:
            delays: list[float] = []
            for adoptions in by_service.get(change.service, ()):
                delay = delay_ms(adoptions, change)
                if delay is None:
                    missing += 1
                else:
                    delays.append(delay)
            delays_by_change.append(delays)
        return DelaysResponse(delays_by_change, missing)

    async def _compare(self, request: CompareRequest) -> CompareResponse:
        alive = [sidecar for sidecar in self.sidecars.values() if sidecar.state is SidecarState.ALIVE]
        differ = 0
        for index, sidecar in enumerate(alive):
            digest = list_digest(sidecar.watcher.watch.adopted_list.entries)
            differ += digest != request.digests.get(sidecar.spec.follows, list_digest({}))
            if not index % 50:
                await asyncio.sleep(0)  # let timers run
        last_change_s = max((s.adoptions[-1][0] for s in alive if s.adoptions), default=0.0)
        return CompareResponse(differ, len(alive), last_change_s)

    async def _abandon(self, request: SidecarIds) -> Empty:
        for name in request.ids:
            if name in self.sidecars:
                self.sidecars[name].abandon()
        return Empty()

    async def _return(self, request: SidecarIds) -> Empty:
        """Start new sidecars with the same specifications, all at once; doesn't wait until they register."""
        for name in request.ids:
            if name in self.sidecars:
                sidecar = self.sidecars[name] = self._create(self.sidecars[name].spec)
                sidecar.register(time.time_ns() // 1_000_000)
                sidecar.follow()
        return Empty()

    async def _replace(self, request: ReplaceRequest) -> Empty:
        for name, spec in request.pairs:
            if name in self.sidecars:
                await self.sidecars[name].shut_down()
                del self.sidecars[name]
                sidecar = self.sidecars[spec.id] = self._create(spec)
                sidecar.follow()
                await sidecar.register(time.time_ns() // 1_000_000).registered.wait()
        return Empty()


def delay_ms(adoptions: np.ndarray[Any, Any], change: Change) -> float | None:
    """Return the time from a change's acknowledgement until it was in force, or None if it never was.

    `adoptions` has one row for each adopted list: time in seconds, version.
    """
    index = int(np.searchsorted(adoptions[:, 1], change.version))
    if index == len(adoptions):
        return None
    return round(max(0.0, 1000 * float(adoptions[index, 0] - change.acknowledged_s)), 2)


async def _run_bounded(work: Any) -> None:
    """Await all of `work`, at most `MAX_CONCURRENT_STARTS` at the same time."""
    remaining = iter(work)

    async def worker() -> None:
        for awaitable in remaining:
            await awaitable

    await asyncio.gather(*(worker() for _ in range(MAX_CONCURRENT_STARTS)))


def _count_warnings(warnings: Counter[str]) -> None:
    def count(_: Any, method: str, event: Any) -> Any:
        if method in ("warning", "error"):
            text = str(event.get("event"))
            # Watches and registrations log the same text; only a registration adds the id of its record.
            warnings[RENEWAL_UNANSWERED if text == SERVICE_UNANSWERED and "id" in event else text] += 1
        if method == "error":
            print(event, file=sys.stderr, flush=True)
        raise structlog.DropEvent

    structlog.configure(processors=[count], cache_logger_on_first_use=True)


def main() -> int:
    """Run the process whose configuration file is the first argument."""
    config = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ProcessConfig)
    warnings: Counter[str] = Counter()
    _count_warnings(warnings)
    gc.set_threshold(20_000, 20, 50)  # the thresholds of a real sidecar

    async def serve() -> None:
        await SidecarHost(config, warnings).serve()

    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        runner.run(serve())
    return 0


if __name__ == "__main__":
    sys.exit(main())
