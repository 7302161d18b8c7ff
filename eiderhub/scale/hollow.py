"""Many hollow sidecars in one process: the real client code and decisions, without the data path.

    python -m eiderhub.scale.hollow FILE

FILE is a `Part`. Whoever runs it calls at its address, in JSON over HTTP: what to do, and what came of it.
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
from eiderhub.scale.counts import CountingLoop, Told, counting
from eiderhub.scale.plan import Seat
from eiderhub.settings import Setup
from eiderhub.sidecar.clock import Alarm
from eiderhub.sidecar.discovery import ListedEndpoint
from eiderhub.sidecar.registry_watcher import RegistryWatcher

TOGETHER = 16  # registrations or first lists that are under way at a time
TICK_S = 0.02  # how often the lateness of timers is looked at
MOST_BODY = 64 << 20
UP_MS = 3_600_000  # sidecars of the fill have been up for so long: they are warm
log = structlog.get_logger()
# What is counted of what client code says.
LOST = "the list service does not have us; registering again"
UNANSWERED = "the list service does not answer"
UNRENEWED = f"{UNANSWERED} a registration"
EMPTIED = "a list became empty"
WENT_BACK = "a list went back"


class State(enum.Enum):
    """A sidecar's life. Its record may outlive it by a lease."""

    NEW = "new"  # nothing of it is known to the list service
    HELD = "held"  # it registers, and renews
    ENDED = "ended"


class Part(Struct, frozen=True, kw_only=True):
    """What one process holds."""

    control: str  # where it is called
    seats: list[Seat]
    main: dict[str, list[str]]  # by region: where sidecars register
    followers: dict[str, list[str]]  # by region: whom they ask for lists, the nearest first
    endpoint: str  # where all their endpoints listen
    regions: dict[str, list[str]]
    settings: dict[str, Any]  # of the sidecars, as TOML has them
    lease_ms: int
    wait_s: float
    calls_per_s: float
    seed: int


class Nothing(Struct, frozen=True):
    """A call or an answer that has nothing to say."""


class Change(Struct, frozen=True, array_like=True):
    """One change of a service's list."""

    service: str
    version: int
    acknowledged_s: float  # of the machine's monotonic clock


class Settle(Struct, frozen=True):
    changes: list[Change]


class Settled(Struct, frozen=True):
    """For each change, how long it took to be in force at each sidecar that follows that list."""

    delays_ms: list[list[float]]
    missing: int  # pairs of a change and a sidecar that it has never reached


class Compare(Struct, frozen=True):
    """What the main service has: a digest for each list."""

    digests: dict[str, str]


class Compared(Struct, frozen=True):
    differ: int  # sidecars whose list is another one
    lists: int
    last_change_s: float  # when any of them last had news, on the monotonic clock


class Which(Struct, frozen=True):
    """Sidecars by name."""

    ids: list[str]


class Replace(Struct, frozen=True):
    """Sidecars to end in good order, each with who takes its place."""

    pairs: list[tuple[str, Seat]]


class Snapshot(Struct, frozen=True):
    """What the process has counted since its start; `late_ms` and buckets since the last look."""

    connections: dict[str, Told]
    said: dict[str, int]  # what the client code warned of, and how often
    held: int  # sidecars that live and are registered
    listed: int  # that have a list
    late_ms: list[float]
    lists: int  # news that the decisions have been told of


def digest(entries: Mapping[str, Entry]) -> str:
    """Of a list's endpoints and their states, whatever their order."""
    rows = sorted(f"{e.instance_id} {e.lifecycle.value} {e.started_at_ms}" for e in entries.values())
    return xxhash.xxh3_64_hexdigest("\n".join(rows).encode())


class Actions:
    """What the decisions ask of their host: timers alone, as no calls come."""

    def __init__(self, sidecar: Hollow) -> None:
        self._sidecar = sidecar

    def timer(self, delay_us: int, mark: str) -> None:
        Alarm(now_us() + delay_us, lambda: self._sidecar.wake(mark))

    def watch(self, on: bool) -> None:
        self._sidecar.following.set_enabled(on)

    def write_log(self, text: str, **fields: str | int | float) -> None:
        """Nobody reads it."""

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        raise AssertionError("no calls come")

    def cancel(self, call: str, attempt: int) -> None:
        raise AssertionError("no calls come")

    def shed(self, call: str, wait_us: int) -> None:
        raise AssertionError("no calls come")

    def surrender(self, call: str) -> None:
        raise AssertionError("no calls come")

    def close_idle(self, endpoint: str) -> None:
        """There are no connections to endpoints."""


class Hollow:
    """One hollow sidecar: it keeps its record alive, and follows one list into its decisions."""

    def __init__(self, part: Part, seat: Seat, settings: Settings) -> None:
        self.seat = seat
        self.state = State.NEW
        self._part = part
        self._settings = dataclasses.replace(
            settings, zone=seat.zone, rank=seat.rank, balancers=seat.balancers
        )
        follow = FollowSettings(
            addresses=part.followers[seat.region],
            service=seat.follows,
            wait_s=part.wait_s,
            calls_per_s=part.calls_per_s,
        )
        self.following = RegistryWatcher(follow, self._on_list, self._on_steering)
        self.in_force: list[tuple[float, int]] = []  # when which version was in the decisions
        self.listed = asyncio.Event()
        self.lists = 0
        self.balancer = Balancer(self._settings, part.seed ^ hash_of(seat.id), Actions(self))
        self.registration: Registration | None = None

    def register(self, started_ms: int) -> Registration:
        seat, part = self.seat, self._part
        told = RegisterSettings(
            id=seat.id,
            address=part.endpoint,
            service=seat.service,
            zone=seat.zone,
            region=seat.region,
            lease_ms=part.lease_ms,
        )
        addresses = [parse_host_port(text) for text in part.main[seat.region]]
        self.registration = Registration(build_record(told, started_ms), addresses, _alive)
        self.state = State.HELD
        self.registration.start()
        return self.registration

    def follow(self) -> None:
        """As a sidecar starts: the decisions first, with an empty list, then the watch."""
        self.balancer.start(now_us())
        self._on_list(ListForm.CACHED, [])
        self.following.set_enabled(True)

    def abandon(self) -> None:
        """As if its process had been killed."""
        if self.registration is not None:
            self.registration.abandon()
        self.following.watch.stop()
        self.state = State.ENDED

    async def leave(self) -> None:
        """In good order: it drains, and then its record goes."""
        if self.registration is not None:
            await self.registration.drain()
            await self.registration.remove()
        self.following.watch.stop()
        self.state = State.ENDED

    def wake(self, mark: str) -> None:
        if self.state is State.HELD:
            self.balancer.wake(now_us(), mark)

    def _on_steering(self, shares: Mapping[str, float], regions: Mapping[str, str]) -> None:
        self.balancer.steer(now_us(), shares, {**regions, **self._settings.regions})

    def _on_list(self, form: ListForm, entries: list[ListedEndpoint]) -> None:
        self.balancer.discovery(now_us(), form, [entry.endpoint for entry in entries])
        if form is ListForm.CACHED:
            return
        self.lists += 1
        if not self.following.watch.adopted_list.entries:
            log.warning(EMPTIED, id=self.seat.id)
        version = self.following.watch.adopted_list.version
        if self.in_force and version < self.in_force[-1][1]:
            log.warning(WENT_BACK, id=self.seat.id)
        self.in_force.append((time.monotonic(), version))
        self.listed.set()


async def _alive() -> bool:
    return True


def hash_of(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


class Holder:
    """All hollow sidecars of this process, and the calls that tell it what to do."""

    def __init__(self, part: Part, said: Counter[str]) -> None:
        self.part = part
        self._said = said
        setup = convert(part.settings, Setup)
        places = {zone: region for region, zones in part.regions.items() for zone in zones}
        self._settings = dataclasses.replace(setup.settings(), regions=places)
        self.sidecars = {seat.id: self._make(seat) for seat in part.seats}
        self._late: list[float] = []
        self._rng = random.Random(part.seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections: set[ServerConnection] = set()
        self._calls: dict[str, tuple[type[Struct], Callable[[Any], Awaitable[Struct]]]] = {
            "/register": (Nothing, self._register),
            "/follow": (Nothing, self._follow),
            "/snapshot": (Nothing, self._snapshot),
            "/settle": (Settle, self._settle),
            "/compare": (Compare, self._compare),
            "/abandon": (Which, self._abandon),
            "/return": (Which, self._return),
            "/replace": (Replace, self._replace),
        }

    def _make(self, seat: Seat) -> Hollow:
        return Hollow(self.part, seat, self._settings)

    async def serve(self) -> None:
        """Until SIGTERM."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        address = parse_host_port(self.part.control)
        bounds = ConnectionLimits(max_body_bytes=MOST_BODY)
        listener = await loop.create_server(
            lambda: ServerConnection(self._came, now_us, self._connections, limits=bounds),
            address.host,
            address.port,
        )
        ticking = loop.create_task(self._tick(stop))
        await stop.wait()
        ticking.cancel()
        listener.close()
        for sidecar in self.sidecars.values():
            if sidecar.state is State.HELD:
                sidecar.abandon()

    async def _tick(self, stop: asyncio.Event) -> None:
        started_by = os.getppid()
        while True:
            if os.getppid() != started_by:  # who started us has been killed
                stop.set()
            due = time.monotonic() + TICK_S
            await asyncio.sleep(TICK_S)
            self._late.append((time.monotonic() - due) * 1000)

    def _came(self, exchange: Exchange) -> None:
        task = asyncio.get_running_loop().create_task(self._answer(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, exchange: Exchange) -> None:
        kind, call = self._calls[exchange.url.decode("ascii")]
        try:
            found = await call(msgspec.json.decode(exchange.body, type=kind))
        except Exception as error:  # whoever asked must hear of it, or would wait for long
            exchange.respond(500, msgspec.json.encode({"why": f"{type(error).__name__}: {error}"}))
            raise
        exchange.respond(200, msgspec.json.encode(found))

    # --- calls ---

    async def _register(self, _: Nothing) -> Nothing:
        await _bounded(self._put(sidecar) for sidecar in self.sidecars.values())
        return Nothing()

    async def _put(self, sidecar: Hollow) -> None:
        await sidecar.register(time.time_ns() // 1_000_000 - UP_MS).registered.wait()

    async def _follow(self, _: Nothing) -> Nothing:
        await _bounded(self._first(sidecar) for sidecar in self.sidecars.values())
        # What lives from here on need not be walked again: a full collection would hold up every timer.
        gc.collect()
        gc.freeze()
        return Nothing()

    @staticmethod
    async def _first(sidecar: Hollow) -> None:
        sidecar.follow()
        await sidecar.listed.wait()

    async def _snapshot(self, _: Nothing) -> Snapshot:
        late, self._late = self._late, []
        living = [sidecar for sidecar in self.sidecars.values() if sidecar.state is State.HELD]
        return Snapshot(
            connections=counting().told(),
            said=dict(self._said),
            held=sum(s.registration is not None and s.registration.registered.is_set() for s in living),
            listed=sum(sidecar.listed.is_set() for sidecar in living),
            late_ms=[round(float(value), 2) for value in np.percentile(late, [50, 99, 100])] if late else [],
            lists=sum(sidecar.lists for sidecar in self.sidecars.values()),
        )

    async def _settle(self, call: Settle) -> Settled:
        by_service: dict[str, list[np.ndarray[Any, Any]]] = {}
        for sidecar in self.sidecars.values():
            if sidecar.state is State.HELD:
                moments = np.array(sidecar.in_force, dtype=float).reshape(-1, 2)
                by_service.setdefault(sidecar.seat.follows, []).append(moments)
                sidecar.in_force = sidecar.in_force[-1:]
        found: list[list[float]] = []
        missing = 0
        for change in call.changes:
            delays: list[float] = []
            for moments in by_service.get(change.service, ()):
                delay = delay_ms(moments, change)
                if delay is None:
                    missing += 1
                else:
                    delays.append(delay)
            found.append(delays)
        return Settled(found, missing)

    async def _compare(self, call: Compare) -> Compared:
        living = [sidecar for sidecar in self.sidecars.values() if sidecar.state is State.HELD]
        differ = 0
        for turn, sidecar in enumerate(living):
            has = digest(sidecar.following.watch.adopted_list.entries)
            differ += has != call.digests.get(sidecar.seat.follows, digest({}))
            if not turn % 50:
                await asyncio.sleep(0)  # the others' timers go on
        last = max((s.in_force[-1][0] for s in living if s.in_force), default=0.0)
        return Compared(differ, len(living), last)

    async def _abandon(self, call: Which) -> Nothing:
        for name in call.ids:
            if name in self.sidecars:
                self.sidecars[name].abandon()
        return Nothing()

    async def _return(self, call: Which) -> Nothing:
        """New processes in their places, all in the same moment; it is not waited for."""
        for name in call.ids:
            if name in self.sidecars:
                sidecar = self.sidecars[name] = self._make(self.sidecars[name].seat)
                sidecar.register(time.time_ns() // 1_000_000)
                sidecar.follow()
        return Nothing()

    async def _replace(self, call: Replace) -> Nothing:
        for name, seat in call.pairs:
            if name in self.sidecars:
                await self.sidecars[name].leave()
                del self.sidecars[name]
                sidecar = self.sidecars[seat.id] = self._make(seat)
                sidecar.follow()
                await sidecar.register(time.time_ns() // 1_000_000).registered.wait()
        return Nothing()


def delay_ms(moments: np.ndarray[Any, Any], change: Change) -> float | None:
    """From a change's acknowledgement until it was in force; None: it never was.

    `moments`: rows of when, in seconds, and which version.
    """
    place = int(np.searchsorted(moments[:, 1], change.version))
    if place == len(moments):
        return None
    return round(max(0.0, 1000 * float(moments[place, 0] - change.acknowledged_s)), 2)


async def _bounded(work: Any) -> None:
    """All of it, some at a time."""
    waiting = iter(work)

    async def some() -> None:
        for each in waiting:
            await each

    await asyncio.gather(*(some() for _ in range(TOGETHER)))


def _count_what_is_said(said: Counter[str]) -> None:
    def count(_: Any, method: str, event: Any) -> Any:
        if method in ("warning", "error"):
            text = str(event.get("event"))
            # A watch says which address, a registration whose record.
            said[UNRENEWED if text == UNANSWERED and "id" in event else text] += 1
        if method == "error":
            print(event, file=sys.stderr, flush=True)
        raise structlog.DropEvent

    structlog.configure(processors=[count], cache_logger_on_first_use=True)


def main() -> int:
    part = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Part)
    said: Counter[str] = Counter()
    _count_what_is_said(said)
    gc.set_threshold(20_000, 20, 50)  # as a sidecar has it

    async def serve() -> None:
        await Holder(part, said).serve()

    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        runner.run(serve())
    return 0


if __name__ == "__main__":
    sys.exit(main())
