"""The real list service in a deployment: its processes, wires to them, and endpoints' registrations."""

from __future__ import annotations

import asyncio
import contextlib
import json
import shutil
import signal
import sys
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import httptools
import msgspec
import structlog
import tomli_w

from eiderhub.address import Address
from eiderhub.emulator.clock import Clock
from eiderhub.emulator.lists import AddressOf, Until
from eiderhub.emulator.processes import DeploymentError, Process, Station, Usage, claim, environment
from eiderhub.emulator.wires import How, Wire
from eiderhub.http1 import NoReplyError
from eiderhub.interface import Readiness
from eiderhub.registry import api
from eiderhub.registry.adoption import AdoptionResult
from eiderhub.registry.client import (
    ListWatch,
    Registration,
    RegistryClient,
    RequestRefusedError,
    decode_reply,
)
from eiderhub.registry.records import DiscoveryResponse, Entry, Record
from eiderhub.registry.settings import FollowSettings
from eiderhub.world import registry as world
from eiderhub.world.day import Day, Event, Plan, Post
from eiderhub.world.judge import Judge
from eiderhub.world.network import Network
from eiderhub.world.scenario import TroubleKind

SERVICE = "emulated"
FOLLOWERS = 2
LEASE_MS = 3000
DESCRIPTORS = 4096
READY_S = 20.0  # for the service to list all endpoints
ASK_S = 0.05
MOVED_S = 1.5  # after a move, connections to the old addresses are closed
WAIT_S = 5.0  # of the sidecars' watches
HOWS = {how.value: how for how in How}


@dataclass(slots=True)
class _Server:
    """One process's place, the same after a restart."""

    name: str
    folder: Path
    address: Address
    follow: list[str]
    usage: Usage = field(default_factory=Usage)
    process: Process | None = None

    @property
    def store(self) -> Path:
        return self.folder / "store"

    def start(self, on_end: Callable[[Process, int], None]) -> None:
        self.folder.mkdir(exist_ok=True)
        document: dict[str, Any] = {"listen": str(self.address), "limits": {"settle_s": 1.0}}
        document |= {"follow": self.follow} if self.follow else {"store": str(self.store)}
        path = self.folder / "registry.toml"
        path.write_text(tomli_w.dumps(document), encoding="utf-8")
        command = [sys.executable, "-B", "-m", "eiderhub.cli", "registry", "serve", "--config", str(path)]
        log = self.folder / "log"
        self.process = Process(self.name, command, environment(), log, DESCRIPTORS, None, self.usage, on_end)

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None:
            self.process.send(number)

    async def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            await self.process.ended.wait()


class _Tap:
    """Reads along what one connection to the service carries: calls, and the lists that are answered."""

    def __init__(self, told: Callable[[DiscoveryResponse | None], None]) -> None:
        self._told = told
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []

    def feed(self, data: bytes) -> None:
        with contextlib.suppress(httptools.HttpParserError):
            self._parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        body, self._body = b"".join(self._body), []
        self._told(
            msgspec.json.decode(body, type=DiscoveryResponse)
            if self._parser.get_status_code() == 200
            else None
        )


class Services:
    """A main process and its followers. Every connection to them runs over a wire of its own."""

    def __init__(
        self,
        day: Day,
        folder: Path,
        clock: Clock,
        judge: Judge,
        address_of: AddressOf,
        ready: Callable[[str], bool],
        fail: Callable[[BaseException], None],
    ) -> None:
        """`ready`: whether an endpoint takes requests, in truth."""
        self._day = day
        self._clock = clock
        self._judge = judge
        self._address_of = address_of
        self._ready = ready
        self._fail = fail
        self._closing = False
        self._plans: dict[str, Plan] = {plan.id: plan for plan in day.plans}
        self._wire_count = 0
        self._wires: list[Wire] = []  # all there are
        self._ends: dict[Wire, tuple[str, str]] = {}  # the zones of those at both ends
        self._callers: dict[str, list[Wire]] = {}  # those of a sidecar
        self._claims = [claim(f"127.7.0.{1 + number}") for number in range(1 + FOLLOWERS)]
        addresses = [Address(*sock.getsockname()) for sock in self._claims]
        zones = day.scenario.zones  # the processes stand in them by turns, the main one in the first
        self._places = {address: zones[i % len(zones)] for i, address in enumerate(addresses)}
        feeds = [self._wire(addresses[0], zone=self._places[address]) for address in addresses[1:]]
        self._servers = [_Server("registry-0", folder / "registry-0", addresses[0], [])]
        for number, (wire, address) in enumerate(zip(feeds, addresses[1:], strict=True), 1):
            name = f"registry-{number}"
            self._servers.append(_Server(name, folder / name, address, [str(wire.address)]))
        self._log_file = folder / "endpoints.log"
        self._told_of = self._log_file.open("w", encoding="utf-8")
        self._log = structlog.wrap_logger(
            structlog.WriteLogger(self._told_of),
            processors=[structlog.processors.add_log_level, structlog.processors.JSONRenderer()],
        )
        self._registrations: dict[str, Registration] = {}
        self._registrars: dict[str, Wire] = {}
        self._draining: set[str] = set()
        self._started: dict[tuple[str, int], int] = {}  # by endpoint and Unix time: the time of the day
        self._tasks: set[asyncio.Task[None]] = set()
        self._watches = {
            tier: ListWatch(
                self._follow(tier, "", [addresses[0]]), partial(self._listed, tier), logger=self._log
            )
            for tier in range(len(day.scenario.tier))
        }

    def _wire(
        self, target: Address, watch: Callable[[object, bool, bytes], None] | None = None, zone: str = ""
    ) -> Wire:
        """`zone`: of whoever calls by it."""
        number, self._wire_count = self._wire_count, self._wire_count + 1
        wire = Wire(f"127.7.{1 + number // 200}.{1 + number % 200}", lambda: target, watch)
        self._wires.append(wire)
        self._ends[wire] = (zone, self._places[target])
        return wire

    async def rejoin(self, network: Network) -> None:
        """A zone that is cut off is so for the list service's callers as well."""
        for wire, (caller, server) in self._ends.items():
            up, down = network.arrives(caller, server), network.arrives(server, caller)
            how = {(True, True): How.OPEN, (False, True): How.CUT_UP, (True, False): How.CUT_DOWN}
            await wire.turn(how.get((up, down), How.CUT))

    def _tier(self, number: int) -> str:
        return self._day.scenario.tier[number].name

    def _follow(
        self, tier: int, view: str, addresses: list[Address], keep: Path | None = None
    ) -> FollowSettings:
        return FollowSettings(
            addresses=[str(address) for address in addresses],
            service=SERVICE,
            tier=self._tier(tier),
            view=view,
            keep=str(keep) if keep is not None else None,
            wait_s=WAIT_S,
        )

    def _task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._fail(error)

    # --- its life ---

    async def open(self) -> None:
        for wire in self._wires:
            await wire.open()
        for server in self._servers:
            server.start(self._ended)
        await self._until_up(self._servers[0])
        for plan in self._day.plans:
            await self._register(plan.id, 0)
        for watch in self._watches.values():
            watch.start()
        try:
            async with asyncio.timeout(READY_S):
                await self._until_listed()
        except TimeoutError:
            why = f"the list service does not list all endpoints after {READY_S:g} s"
            process = self._servers[0].process
            raise DeploymentError(why, process.tail() if process is not None else []) from None

    async def _until_listed(self) -> None:
        for registration in self._registrations.values():
            await registration.registered.wait()
        version = await self._version(self._servers[0])
        for server in self._servers[1:]:
            while await self._version(server) < version:
                await asyncio.sleep(ASK_S)
        for tier, watch in self._watches.items():
            count = sum(plan.tier == tier for plan in self._day.plans)
            while len(watch.adopted_list.entries) < count:
                await asyncio.sleep(ASK_S)

    async def _version(self, server: _Server) -> int:
        """What it serves; -1 where it does not."""
        line = RegistryClient(server.address)
        try:
            status = decode_reply(await line.get(api.STATUS_PATH, {}, 1.0), api.StatusResponse)
            return status.version if status.branch else -1
        except (NoReplyError, RequestRefusedError):
            return -1
        finally:
            line.close()

    async def _until_up(self, server: _Server) -> None:
        try:
            async with asyncio.timeout(READY_S):
                while await self._version(server) < 0:
                    await asyncio.sleep(ASK_S)
        except TimeoutError:
            tail = server.process.tail() if server.process is not None else []
            raise DeploymentError(f"{server.name}: not ready after {READY_S:g} s", tail) from None

    def _ended(self, process: Process, status: int) -> None:
        if not process.wanted and not self._closing:
            self._fail(DeploymentError(f"{process.name} ended with status {status}", process.tail()))

    async def close(self) -> None:
        self._closing = True
        for task in list(self._tasks):
            task.cancel()
        for watch in self._watches.values():
            watch.stop()
        for registration in self._registrations.values():
            registration.abandon()
        await asyncio.gather(*(server.kill() for server in self._servers))
        self.close_sockets()

    def close_sockets(self) -> None:
        for wire in self._wires:
            wire.close()
        for sock in self._claims:
            sock.close()
        self._told_of.flush()

    def usage(self) -> dict[str, Usage]:
        for server in self._servers:
            if server.process is not None and not server.process.ended.is_set():
                server.process.measure()
        return {server.name: server.usage for server in self._servers}

    def logs(self) -> dict[str, Path]:
        self._told_of.flush()
        return {server.name: server.folder / "log" for server in self._servers} | {
            "endpoints": self._log_file
        }

    # --- the sidecars ---

    async def reach(self, station: Station) -> None:
        post = station.post
        # Followers first, by turns, and the main process last: the nearest stands for what most read from.
        servers = self._servers[1:]
        turn = post.rank % len(servers)
        order = [*servers[turn:], *servers[:turn], self._servers[0]]
        wires = [self._wire(server.address, self._reader(post), post.zone) for server in order]
        for wire in wires:
            await wire.open()
        self._callers[post.name] = wires
        addresses = [wire.address for wire in wires]
        station.discovery = str(addresses[0])
        station.follow = self._follow(post.tier, post.name, addresses, station.folder / "list.json")

    async def move(self, station: Station) -> None:
        old = self._callers[station.post.name]
        await self.reach(station)

        async def close_old() -> None:
            await asyncio.sleep(MOVED_S)
            for wire in old:
                await wire.turn(How.RESET)

        self._task(close_old())

    def _reader(self, post: Post) -> Callable[[object, bool, bytes], None]:
        taps: dict[object, _Tap] = {}

        def seen(link: object, up: bool, data: bytes) -> None:
            if up:
                self._judge.asked_list(self._clock.now_us(), post.name)
                return
            if link not in taps:
                if len(taps) >= 8:  # those of connections that have ended
                    taps.clear()
                taps[link] = _Tap(partial(self._told, post))
            taps[link].feed(data)

        return seen

    def _told(self, post: Post, response: DiscoveryResponse | None) -> None:
        now = self._clock.now_us()
        if response is None:
            self._judge.told(now, post.name, None)
            return
        entries = [self._entry(post.tier, entry) for entry in response.instances]
        if response.reset:
            named = {entry.id for entry in entries}
            entries += [
                world.Entry(p.id, p.tier, p.zone, p.kind, p.cell, Readiness.GONE, None)
                for p in self._day.plans
                if p.tier == post.tier and p.id not in named
            ]
        # Rule 3 is about endpoints that leave. What a service lists wrongly is for the client to see through.
        told = tuple(e for e in entries if e.lifecycle is Readiness.READY or not self._ready(e.id))
        self._judge.told(now, post.name, world.Listing(response.generation, False, told))

    def _entry(self, tier: int, entry: Entry) -> world.Entry:
        started_us = self._started.get((entry.instance_id, entry.started_at_ms))
        return world.Entry(
            entry.instance_id, tier, entry.zone, entry.machine_type, entry.cell, entry.lifecycle, started_us
        )

    def _listed(self, tier: int, verdict: AdoptionResult) -> None:
        """The main process can tell of this from now on."""
        now = self._clock.now_us()
        for entry in verdict.entries:
            found = self._entry(tier, entry)
            if found.lifecycle is Readiness.READY or not self._ready(found.id):
                self._judge.listed(now, found)

    def known(self, post: Post) -> tuple[dict[str, object], world.Listing]:
        belief = self._watches[post.tier].adopted_list
        entries = list(belief.entries.values())
        rows = [
            msgspec.structs.replace(entry, host_port=self._address_of(entry.instance_id, post.name))
            for entry in entries
        ]
        response = DiscoveryResponse(generation=belief.version, reset=True, instances=rows)
        listing = world.Listing(belief.version, True, tuple(self._entry(post.tier, e) for e in entries))
        return json.loads(msgspec.json.encode(response)), listing

    # --- the endpoints ---

    async def _register(self, endpoint: str, started_ms: int) -> None:
        plan = self._plans[endpoint]
        posts = [post.name for post in self._day.tier_posts(plan.tier)]
        views = {name: self._address_of(endpoint, name) for name in posts}
        entry = Entry(
            instance_id=endpoint,
            host_port=views[posts[0]],
            zone=plan.zone,
            machine_type=plan.kind,
            cell=plan.cell,
            started_at_ms=started_ms,
        )
        serial = len(self._started)
        record = Record(
            service=SERVICE,
            tier=self._tier(plan.tier),
            entry=entry,
            owner=f"{endpoint}.{serial}.{started_ms}",
            lease_ms=LEASE_MS,
            views=views,
            region=self._day.regions.get(plan.zone, ""),
        )
        wire = self._registrars.get(endpoint)
        if wire is None:
            wire = self._registrars[endpoint] = self._wire(self._servers[0].address, zone=plan.zone)
            await wire.open()

        async def alive() -> bool:
            return True  # who is registered lives; whoever dies is abandoned

        registration = self._registrations[endpoint] = Registration(
            record, [wire.address], alive, logger=self._log
        )
        registration.start()

    def begun(self) -> None: ...

    def came_up(self, endpoint: str, started_us: int) -> None:
        started_ms = self._clock.unix_ms(started_us)
        self._started[endpoint, started_ms] = started_us
        self._draining.discard(endpoint)
        self._task(self._register(endpoint, started_ms))

    def drains(self, endpoint: str) -> None:
        self._draining.add(endpoint)
        self._task(self._registrations[endpoint].drain())

    def gone(self, endpoint: str, silent: bool = False) -> None:
        registration = self._registrations[endpoint]
        if endpoint in self._draining and not silent:  # an end that was planned is told
            self._task(registration.remove())
        else:
            registration.abandon()

    # --- troubles ---

    def set_down(self, down: bool) -> None:
        self._turn(self._all(), How.RESET if down else How.OPEN)

    def stall(self, on: bool) -> None:
        self._turn(self._all(), How.BROKEN if on else How.OPEN)

    def _all(self) -> list[Wire]:
        return [wire for wires in self._callers.values() for wire in wires]

    def _turn(self, wires: list[Wire], how: How) -> None:
        async def turn() -> None:
            for wire in wires:
                await wire.turn(how)

        self._task(turn())

    async def befall(self, event: Event, until: Until) -> None:
        main = self._servers[0]
        if event.kind is TroubleKind.REGISTRY_PAUSED:
            main.signal(signal.SIGSTOP)
            await until(event.until_us)
            main.signal(signal.SIGCONT)
            return
        if event.kind is TroubleKind.REGISTRY_CUT:
            how = HOWS[event.how or How.CUT.value]
            for wire in self._wires:
                await wire.turn(how)
            await until(event.until_us)
            for wire in self._wires:
                await wire.turn(How.OPEN)
            return
        storm = event.kind is TroubleKind.REGISTRY_STORM
        hit = self._servers if storm else [main]
        await asyncio.gather(*(server.kill() for server in hit))
        if event.kind is TroubleKind.REGISTRY_EMPTIED:
            shutil.rmtree(main.store)
        await until(event.until_us)
        for server in hit:
            server.start(self._ended)
        await asyncio.gather(*(self._until_up(server) for server in hit))
