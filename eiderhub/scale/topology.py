"""The processes of a scale run and the wires between them: started, called, measured, and ended."""

from __future__ import annotations

import asyncio
import re
import shutil
import socket
import sys
import time
from pathlib import Path
from typing import TypeVar

import msgspec
import tomli_w

from eiderhub.address import Address
from eiderhub.documents import convert, to_human_format
from eiderhub.emulator.processes import Process, claim, new_folder
from eiderhub.emulator.wires import How, Wire
from eiderhub.http1 import NoReplyError
from eiderhub.registry import api
from eiderhub.registry.client import RegistryClient
from eiderhub.registry.settings import FollowSettings, RegisterSettings
from eiderhub.scale.backends import Places
from eiderhub.scale.counts import Tally, Told, cost, counting, together
from eiderhub.scale.hollow import Nothing, Part, Snapshot
from eiderhub.scale.path import sidecar_settings
from eiderhub.scale.plan import Plan, Seat
from eiderhub.scale.services import HOST, READY_S, Ended, ListService, end, spawn
from eiderhub.sidecar.config import Bounds, Document

LONG_S = 600.0  # for what grows with the number of sidecars
AFTER = re.compile(rb"^GET /discovery/hosts\?(?:[^ ]*&)?after=(\d+)[& ]")
REAL_SOCKETS = 4096
T = TypeVar("T", bound=msgspec.Struct)


class Placed:
    """The processes of one role."""

    def __init__(self, processes: list[Process]) -> None:
        self.processes = processes

    def cost(self) -> tuple[float, float]:
        found = [cost(process.pid) for process in self.processes if not process.ended.is_set()]
        return sum(cpu for cpu, _ in found), sum(memory for _, memory in found)


class Group:
    """One process of hollow sidecars."""

    def __init__(self, number: int, part: Part, held: socket.socket, folder: Path) -> None:
        self._held = held
        self.part = part
        self.line = RegistryClient(Address(*held.getsockname()))
        path = folder / f"hollow-{number}.json"
        path.write_bytes(msgspec.json.encode(part))
        self.process = spawn(
            f"hollow-{number}", [sys.executable, "-B", "-m", "eiderhub.scale.hollow", str(path)], folder
        )

    async def call(self, path: str, call: msgspec.Struct, kind: type[T], wait_s: float = LONG_S) -> T:
        """Raises Unanswered or Refused; Ended where its process has."""
        asking = asyncio.ensure_future(self.line.post(path, call, kind, wait_s))
        ending = asyncio.ensure_future(self.process.ended.wait())
        try:
            await asyncio.wait([asking, ending], return_when=asyncio.FIRST_COMPLETED)
            if not asking.done():
                raise Ended(self.process)
            return asking.result()
        finally:
            asking.cancel()
            ending.cancel()

    def close(self) -> None:
        self.line.close()
        self._held.close()


class Real:
    """One real sidecar; all that it says to the list service goes over wires, where it is counted."""

    def __init__(self, seat: Seat, endpoint: Address) -> None:
        self.seat = seat
        self.endpoint = endpoint
        self.tallies: dict[str, Tally] = {}  # by the target's name
        self.in_force: list[tuple[float, int]] = []  # when it has said which version it has
        self.wires: dict[str, Wire] = {}  # by the target's name
        self.held = [claim(HOST), claim(HOST)]
        self.listen, self.management = (Address(*each.getsockname()) for each in self.held)
        self.process: Process | None = None
        self._tails: dict[tuple[object, str], bytes] = {}

    async def wire(self, name: str, target: Address) -> None:
        tally = self.tallies[name] = Tally()

        def watch(link: object, up: bool, data: bytes) -> None:
            if up:
                tally.went(data)
                if found := AFTER.match(data):
                    self.in_force.append((time.monotonic(), int(found[1])))
            else:
                place = (link, name)
                self._tails[place] = tally.came(data, self._tails.get(place, b""))

        self.wires[name] = Wire(HOST, lambda: target, watch)
        await self.wires[name].open()

    def told(self) -> dict[str, Told]:
        """What it has said, by the role of whom to; buckets begin anew."""
        found = {
            name: msgspec.structs.replace(tally.told(), open=len(self.wires[name].links))
            for name, tally in self.tallies.items()
        }
        return {name if name == "main" else f"follower-{name}": told for name, told in found.items()}

    def close(self) -> None:
        for wire in self.wires.values():
            wire.close()
        for held in self.held:
            held.close()


class Topology:
    """All processes of one run. Leaving it ends them, and removes their files."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan = plan
        self._seed = seed
        self.folder = new_folder()
        self.followers: dict[str, ListService] = {}
        self.groups: list[Group] = []
        self.reals: list[Real] = []
        self.wires: dict[str, Wire] = {}  # `feed REGION`, and of a region that may be cut
        self._processes: list[Process] = []
        self._fed_out = self._fed_in = 0

    async def __aenter__(self) -> Topology:
        return self

    async def __aexit__(self, *_: object) -> None:
        # First those who would call others that have ended.
        reals = [real.process for real in self.reals if real.process is not None]
        for process in [*reals, *(group.process for group in self.groups)]:
            process.kill()
        for process in [*reals, *(group.process for group in self.groups)]:
            await process.ended.wait()
        services = [service.process for service in self.services if service.process is not None]
        await end([*services, *self._processes])
        for wire in self.wires.values():
            wire.close()
        for group in self.groups:
            group.close()
        for real in self.reals:
            real.close()
        for service in self.services:
            service.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def services(self) -> list[ListService]:
        main = [self.main] if hasattr(self, "main") else []
        return [*main, *self.followers.values()]

    # --- the start ---

    async def start(self, cut: str = "") -> None:
        """All processes run; nobody is registered yet. `cut`: a region whose wires may be cut."""
        await self._start_services()
        await self._start_endpoints()
        if cut:
            await self._wires_of(cut)
        await self._start_hollow(cut)
        for number, seat in enumerate(self.plan.real):
            self.reals.append(Real(seat, self.endpoints[1 + number]))

    async def _start_services(self) -> None:
        sidecars = len(self.plan.seats)
        limits: dict[str, object] = {
            "callers": 2 * sidecars + 200,
            "watches": 2 * sidecars + 200,
            "records": 2 * sidecars + 1000,
            "settle_s": 0.0,
        }
        self.main = ListService("main", self.folder, {"limits": limits})
        await self.main.start()
        for region in self.plan.followers:
            wire = self.wires[f"feed {region}"] = Wire(HOST, lambda: self.main.address, self._feed_watch)
            await wire.open()
            settings = {"follow": [str(wire.address)], "limits": limits}
            self.followers[region] = ListService(f"follower-{region}", self.folder, settings)
        await asyncio.gather(*(follower.start() for follower in self.followers.values()))

    def _feed_watch(self, _: object, up: bool, data: bytes) -> None:
        if up:
            self._fed_out += len(data)
        else:
            self._fed_in += len(data)

    def fed(self) -> tuple[int, int]:
        """Bytes that followers have said to the main service, and its answers'."""
        return self._fed_out, self._fed_in

    async def _start_endpoints(self) -> None:
        """One for all hollow sidecars, and one for each real one."""
        path = self.folder / "endpoints.json"
        command = [sys.executable, "-B", "-m", "eiderhub.scale.backends", "endpoints", str(path)]
        command += ["1", str(1 + len(self.plan.real)), "0"]
        process = spawn("endpoints", command, self.folder)
        self._processes.append(process)
        async with asyncio.timeout(READY_S):
            while not path.exists():
                if process.ended.is_set():
                    raise Ended(process)
                await asyncio.sleep(0.02)
        self.endpoints = msgspec.json.decode(path.read_bytes(), type=Places).sets[0]

    async def _wires_of(self, region: str) -> None:
        """Between the region's sidecars and what they call outside it, and from outside to its follower."""
        targets = {"main": self.main, **self.followers}
        for name, service in targets.items():
            if name == "main" or name != self._home(region):
                await self._wire(f"out {name}", service)
        await self._wire("in", self.followers[self._home(region)])

    async def _wire(self, name: str, service: ListService) -> None:
        wire = self.wires[name] = Wire(HOST, lambda: service.address)
        await wire.open()

    def _home(self, region: str) -> str:
        return self.plan.followers_of(region)[0]

    def _reach(self, region: str, cut: str) -> tuple[list[str], list[str]]:
        """Where sidecars of a region find the main service, and the followers."""

        def at(name: str) -> str:
            service = self.main if name == "main" else self.followers[name]
            if cut and region == cut and name != self._home(cut):
                return str(self.wires[f"out {name}"].address)
            if cut and region != cut and name == self._home(cut):
                return str(self.wires["in"].address)
            return str(service.address)

        return [at("main")], [at(name) for name in self.plan.followers_of(region)]

    async def _start_hollow(self, cut: str) -> None:
        reach = {region: self._reach(region, cut) for region in self.plan.regions}
        hollow = self.plan.hollow
        for number in range(self.plan.processes):
            held = claim(HOST)
            part = Part(
                control=str(Address(*held.getsockname())),
                seats=hollow[number :: self.plan.processes],
                main={region: main for region, (main, _) in reach.items()},
                followers={region: followers for region, (_, followers) in reach.items()},
                endpoint=str(self.endpoints[0]),
                regions=self.plan.regions,
                settings=dict(sidecar_settings()),
                lease_ms=self.plan.lease_ms,
                wait_s=self.plan.wait_s,
                calls_per_s=self.plan.calls_per_s,
                seed=self._seed + number,
            )
            self.groups.append(Group(number, part, held, self.folder))
        async with asyncio.timeout(READY_S):
            for group in self.groups:
                while not await self._listens(group):
                    await asyncio.sleep(0.02)

    @staticmethod
    async def _listens(group: Group) -> bool:
        if group.process.ended.is_set():
            raise Ended(group.process)
        try:
            await group.call("/snapshot", Nothing(), Snapshot, 10.0)
        except NoReplyError:
            return False
        return True

    async def start_real(self, real: Real) -> None:
        """One real sidecar, as its platform would start it."""
        seat = real.seat
        await real.wire("main", self.main.address)
        near = self.plan.followers_of(seat.region)
        for name in near:
            await real.wire(name, self.followers[name].address)
        document = {
            "name": seat.id,
            "listen": str(real.listen),
            "management": str(real.management),
            "seed": f"{self._seed:x}",
            "settings": {
                **sidecar_settings(),
                "MyZone": seat.zone,
                "Rank": seat.rank,
                "Balancers": seat.balancers,
            },
        }
        follow = FollowSettings(
            addresses=[str(real.wires[name].address) for name in near],
            service=seat.follows,
            wait_s=self.plan.wait_s,
            calls_per_s=self.plan.calls_per_s,
        )
        register = RegisterSettings(
            id=seat.id,
            address=str(real.endpoint),
            addresses=[str(real.wires["main"].address)],
            service=seat.service,
            zone=seat.zone,
            region=seat.region,
            lease_ms=self.plan.lease_ms,
        )
        found = msgspec.structs.replace(
            convert(document, Document),
            registry=follow,
            register=register,
            regions=self.plan.regions,
            limits=Bounds(sockets=REAL_SOCKETS),
        )
        folder = self.folder / seat.id
        (folder / "tmp").mkdir(parents=True)
        path = folder / "config.toml"
        path.write_text(tomli_w.dumps(to_human_format(found)), encoding="utf-8")
        environ = {"GW_CONFIG": str(path), "TMPDIR": str(folder / "tmp")}
        command = [sys.executable, "-B", "-m", "eiderhub.sidecar"]
        real.process = spawn(f"real-{seat.id}", command, self.folder, environ)

    # --- what they have said and cost ---

    async def each(self, path: str, call: msgspec.Struct, kind: type[T]) -> list[T]:
        """The same call to all hollow processes. Raises as `Group.call`."""
        return list(await asyncio.gather(*(group.call(path, call, kind) for group in self.groups)))

    def placed(self) -> dict[str, Placed]:
        """Processes by role."""
        found = {"main": Placed([self.main.running])}
        found |= {service.name: Placed([service.running]) for service in self.followers.values()}
        found["hollow"] = Placed([group.process for group in self.groups])
        reals = [real.process for real in self.reals if real.process is not None]
        if reals:
            found["real"] = Placed(reals)
        return found

    async def statuses(self) -> dict[str, api.StatusResponse]:
        """By role. Raises NoReplyError or RequestRefusedError."""
        services = self.services
        asked = await asyncio.gather(*(service.status(30.0) for service in services))
        return {service.name: status for service, status in zip(services, asked, strict=True)}

    def roles(self) -> tuple[dict[str, str], dict[str, str]]:
        """The role of whoever is reached at an address: directly, and directly or over a wire."""
        direct = {str(service.address): service.name for service in self.services}
        wired = {str(wire.address): direct[str(wire.target())] for wire in self.wires.values()}
        return direct, direct | wired

    def check(self) -> None:
        """Raises Ended where a process has that should not have."""
        placed = [process for each in self.placed().values() for process in each.processes]
        for process in [*placed, *self._processes]:
            if process.ended.is_set() and not process.wanted:
                raise Ended(process)

    async def turn(self, region: str, how: How) -> None:
        """What the region's wires do from now on."""
        feeds = [f"feed {name}" for name in [self._home(region)]]
        for name, wire in self.wires.items():
            if name in feeds or not name.startswith("feed "):
                await wire.turn(how)
        for real in self.reals:
            for name, wire in real.wires.items():
                inside, target = real.seat.region == region, name == self._home(region)
                if inside != target:
                    await wire.turn(how)


def ours() -> dict[str, Told]:
    """What this process itself has said, by address: its own calls, and what came to wires for others."""
    return counting().told()


def sum_by_role(told: list[dict[str, Told]], roles: dict[str, str]) -> dict[str, Told]:
    by_role: dict[str, list[Told]] = {}
    for one in told:
        for address, found in one.items():
            if address in roles:
                by_role.setdefault(roles[address], []).append(found)
    return {role: together(found) for role, found in by_role.items()}
