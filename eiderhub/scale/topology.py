"""Starts, calls, measures and ends the processes of a scale run and the proxies between them."""

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
from eiderhub.emulator.fault_proxy import FaultProxy, ProxyMode
from eiderhub.emulator.processes import Process, create_temporary_folder, reserve_port
from eiderhub.http1 import NoReplyError
from eiderhub.registry import api
from eiderhub.registry.client import RegistryClient
from eiderhub.registry.settings import FollowSettings, RegisterSettings
from eiderhub.scale.backends import ListenAddresses
from eiderhub.scale.data_path_bench import sidecar_settings
from eiderhub.scale.hollow import Empty, ProcessConfig, Snapshot
from eiderhub.scale.plan import Plan, SidecarSpec
from eiderhub.scale.services import (
    HOST,
    READY_TIMEOUT_S,
    ListService,
    ProcessEndedError,
    end_processes,
    spawn,
)
from eiderhub.scale.traffic import (
    TrafficCounter,
    TrafficCounts,
    process_usage,
    running_counting_loop,
    sum_counts,
)
from eiderhub.sidecar.config import Bounds, Document

CALL_TIMEOUT_S = 600.0  # for calls whose duration grows with the number of sidecars
AFTER_PATTERN = re.compile(rb"^GET /discovery/hosts\?(?:[^ ]*&)?after=(\d+)[& ]")
MAX_REAL_SOCKETS = 4096
T = TypeVar("T", bound=msgspec.Struct)


class RoleProcesses:
    """The processes of one role."""

    def __init__(self, processes: list[Process]) -> None:
        self.processes = processes

    def cost(self) -> tuple[float, float]:
        """Return the processor seconds and the resident MB of those that are running."""
        costs = [process_usage(process.pid) for process in self.processes if not process.exited.is_set()]
        return sum(cpu_s for cpu_s, _ in costs), sum(memory_mb for _, memory_mb in costs)


class HollowProcess:
    """One process of hollow sidecars."""

    def __init__(
        self, number: int, config: ProcessConfig, reserved_socket: socket.socket, folder: Path
    ) -> None:
        self._reserved_socket = reserved_socket
        self.config = config
        self.client = RegistryClient(Address(*reserved_socket.getsockname()))
        path = folder / f"hollow-{number}.json"
        path.write_bytes(msgspec.json.encode(config))
        self.process = spawn(
            f"hollow-{number}", [sys.executable, "-B", "-m", "eiderhub.scale.hollow", str(path)], folder
        )

    async def call(
        self, path: str, request: msgspec.Struct, response_type: type[T], wait_s: float = CALL_TIMEOUT_S
    ) -> T:
        """Send a request to the process and return its response.

        Raises:
            NoReplyError: the process does not answer.
            RequestRefusedError: the process refuses the request.
            ProcessEndedError: the process has ended.
        """
        response = asyncio.ensure_future(self.client.post(path, request, response_type, wait_s))
        process_end = asyncio.ensure_future(self.process.exited.wait())
        try:
            await asyncio.wait([response, process_end], return_when=asyncio.FIRST_COMPLETED)
            if not response.done():
                raise ProcessEndedError(self.process)
            return response.result()
        finally:
            response.cancel()
            process_end.cancel()

    def close(self) -> None:
        """Close the client and release the control address."""
        self.client.close()
        self._reserved_socket.close()


class RealSidecar:
    """One real sidecar. Its traffic with the list service goes through proxies, where it is counted."""

    def __init__(self, spec: SidecarSpec, endpoint: Address) -> None:
        self.spec = spec
        self.endpoint = endpoint
        self.counters: dict[str, TrafficCounter] = {}  # by the target's name
        self.adoptions: list[tuple[float, int]] = []  # time, version that the next watch names
        self.proxies: dict[str, FaultProxy] = {}  # by the target's name
        self.reserved_sockets = [reserve_port(HOST), reserve_port(HOST)]
        self.listen, self.management = (
            Address(*reserved_socket.getsockname()) for reserved_socket in self.reserved_sockets
        )
        self.process: Process | None = None
        self._answer_tails: dict[tuple[object, str], bytes] = {}

    async def open_proxy(self, name: str, target: Address) -> None:
        """Open the proxy to a service; `name` is `main` or the follower's region."""
        counter = self.counters[name] = TrafficCounter()

        def watch(connection: object, outgoing: bool, data: bytes) -> None:
            if outgoing:
                counter.count_sent(data)
                if match := AFTER_PATTERN.match(data):
                    self.adoptions.append((time.monotonic(), int(match[1])))
            else:
                key = (connection, name)
                self._answer_tails[key] = counter.count_received(data, self._answer_tails.get(key, b""))

        self.proxies[name] = FaultProxy(HOST, lambda: target, watch)
        await self.proxies[name].open()

    def read_traffic(self) -> dict[str, TrafficCounts]:
        """Return the sidecar's traffic by the role of the service, and reset the buckets."""
        traffic_by_target = {
            name: msgspec.structs.replace(counter.take_counts(), open=len(self.proxies[name].connections))
            for name, counter in self.counters.items()
        }
        return {
            name if name == "main" else f"follower-{name}": traffic
            for name, traffic in traffic_by_target.items()
        }

    def close(self) -> None:
        """Close the proxies and release the sidecar's addresses."""
        for proxy in self.proxies.values():
            proxy.close()
        for reserved_socket in self.reserved_sockets:
            reserved_socket.close()


class Topology:
    """All processes of one run. Leaving the context ends them and removes their files."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan = plan
        self._seed = seed
        self.folder = create_temporary_folder()
        self.followers: dict[str, ListService] = {}
        self.hollow_processes: list[HollowProcess] = []
        self.real_sidecars: list[RealSidecar] = []
        # `feed REGION`; also `in` and `out NAME` for a region that may be cut off.
        self.proxies: dict[str, FaultProxy] = {}
        self._processes: list[Process] = []
        self._feed_bytes_out = self._feed_bytes_in = 0

    async def __aenter__(self) -> Topology:
        return self

    async def __aexit__(self, *_: object) -> None:
        # Clients first: they would otherwise call services that have ended.
        real_processes = [real.process for real in self.real_sidecars if real.process is not None]
        for process in [
            *real_processes,
            *(hollow.process for hollow in self.hollow_processes),
        ]:
            process.kill()
        for process in [
            *real_processes,
            *(hollow.process for hollow in self.hollow_processes),
        ]:
            await process.exited.wait()
        service_processes = [service.process for service in self.services if service.process is not None]
        await end_processes([*service_processes, *self._processes])
        for proxy in self.proxies.values():
            proxy.close()
        for hollow in self.hollow_processes:
            hollow.close()
        for real in self.real_sidecars:
            real.close()
        for service in self.services:
            service.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def services(self) -> list[ListService]:
        """The main service, once it exists, and all followers."""
        main = [self.main] if hasattr(self, "main") else []
        return [*main, *self.followers.values()]

    # --- start ---

    async def start(self, cut: str = "") -> None:
        """Start all processes but the real sidecars; none of the sidecars registers yet.

        `cut`: region that is connected through proxies, so that it can be cut off.
        """
        await self._start_services()
        await self._start_endpoints()
        if cut:
            await self._open_region_proxies(cut)
        await self._start_hollow(cut)
        for number, spec in enumerate(self.plan.real):
            self.real_sidecars.append(RealSidecar(spec, self.endpoints[1 + number]))

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
            proxy = self.proxies[f"feed {region}"] = FaultProxy(
                HOST, lambda: self.main.address, self._count_feed_bytes
            )
            await proxy.open()
            settings = {"follow": [str(proxy.address)], "limits": limits}
            self.followers[region] = ListService(f"follower-{region}", self.folder, settings)
        await asyncio.gather(*(follower.start() for follower in self.followers.values()))

    def _count_feed_bytes(self, _: object, outgoing: bool, data: bytes) -> None:
        if outgoing:
            self._feed_bytes_out += len(data)
        else:
            self._feed_bytes_in += len(data)

    def feed_bytes(self) -> tuple[int, int]:
        """Return the bytes sent by followers to the main service, and the bytes of its answers."""
        return self._feed_bytes_out, self._feed_bytes_in

    async def _start_endpoints(self) -> None:
        """Start one endpoint for all hollow sidecars, and one for each real sidecar."""
        path = self.folder / "endpoints.json"
        command = [sys.executable, "-B", "-m", "eiderhub.scale.backends", "endpoints", str(path)]
        command += ["1", str(1 + len(self.plan.real)), "0"]
        process = spawn("endpoints", command, self.folder)
        self._processes.append(process)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not path.exists():
                if process.exited.is_set():
                    raise ProcessEndedError(process)
                await asyncio.sleep(0.02)
        self.endpoints = msgspec.json.decode(path.read_bytes(), type=ListenAddresses).sets[0]

    async def _open_region_proxies(self, region: str) -> None:
        """Open proxies from the region's sidecars to services outside, and from outside to its follower."""
        targets = {"main": self.main, **self.followers}
        for name, service in targets.items():
            if name == "main" or name != self._home_follower(region):
                await self._open_proxy(f"out {name}", service)
        await self._open_proxy("in", self.followers[self._home_follower(region)])

    async def _open_proxy(self, name: str, service: ListService) -> None:
        proxy = self.proxies[name] = FaultProxy(HOST, lambda: service.address)
        await proxy.open()

    def _home_follower(self, region: str) -> str:
        return self.plan.followers_of(region)[0]

    def _addresses_from(self, region: str, cut: str) -> tuple[list[str], list[str]]:
        """Return the addresses of the main service and of the followers, as seen by a region's sidecars."""

        def address_of(name: str) -> str:
            service = self.main if name == "main" else self.followers[name]
            if cut and region == cut and name != self._home_follower(cut):
                return str(self.proxies[f"out {name}"].address)
            if cut and region != cut and name == self._home_follower(cut):
                return str(self.proxies["in"].address)
            return str(service.address)

        return [address_of("main")], [address_of(name) for name in self.plan.followers_of(region)]

    async def _start_hollow(self, cut: str) -> None:
        addresses = {region: self._addresses_from(region, cut) for region in self.plan.regions}
        hollow = self.plan.hollow
        for index in range(self.plan.processes):
            reserved_socket = reserve_port(HOST)
            config = ProcessConfig(
                control=str(Address(*reserved_socket.getsockname())),
                seats=hollow[index :: self.plan.processes],
                main={region: main for region, (main, _) in addresses.items()},
                followers={region: followers for region, (_, followers) in addresses.items()},
                endpoint=str(self.endpoints[0]),
                regions=self.plan.regions,
                settings=dict(sidecar_settings()),
                lease_ms=self.plan.lease_ms,
                wait_s=self.plan.wait_s,
                calls_per_s=self.plan.calls_per_s,
                seed=self._seed + index,
            )
            self.hollow_processes.append(HollowProcess(index, config, reserved_socket, self.folder))
        async with asyncio.timeout(READY_TIMEOUT_S):
            for hollow_process in self.hollow_processes:
                while not await self._is_listening(hollow_process):
                    await asyncio.sleep(0.02)

    @staticmethod
    async def _is_listening(hollow_process: HollowProcess) -> bool:
        if hollow_process.process.exited.is_set():
            raise ProcessEndedError(hollow_process.process)
        try:
            await hollow_process.call("/snapshot", Empty(), Snapshot, 10.0)
        except NoReplyError:
            return False
        return True

    async def start_real(self, real: RealSidecar) -> None:
        """Write the configuration of a real sidecar and start it."""
        spec = real.spec
        await real.open_proxy("main", self.main.address)
        followers = self.plan.followers_of(spec.region)
        for name in followers:
            await real.open_proxy(name, self.followers[name].address)
        document = {
            "name": spec.id,
            "listen": str(real.listen),
            "management": str(real.management),
            "seed": f"{self._seed:x}",
            "settings": {
                **sidecar_settings(),
                "MyZone": spec.zone,
                "Rank": spec.rank,
                "Balancers": spec.balancers,
            },
        }
        follow = FollowSettings(
            addresses=[str(real.proxies[name].address) for name in followers],
            service=spec.follows,
            wait_s=self.plan.wait_s,
            calls_per_s=self.plan.calls_per_s,
        )
        register = RegisterSettings(
            id=spec.id,
            address=str(real.endpoint),
            addresses=[str(real.proxies["main"].address)],
            service=spec.service,
            zone=spec.zone,
            region=spec.region,
            lease_ms=self.plan.lease_ms,
        )
        configuration = msgspec.structs.replace(
            convert(document, Document),
            registry=follow,
            register=register,
            regions=self.plan.regions,
            limits=Bounds(sockets=MAX_REAL_SOCKETS),
        )
        folder = self.folder / spec.id
        (folder / "tmp").mkdir(parents=True)
        path = folder / "config.toml"
        path.write_text(tomli_w.dumps(to_human_format(configuration)), encoding="utf-8")
        environment = {"GW_CONFIG": str(path), "TMPDIR": str(folder / "tmp")}
        command = [sys.executable, "-B", "-m", "eiderhub.sidecar"]
        real.process = spawn(f"real-{spec.id}", command, self.folder, environment)

    # --- calls and measurements ---

    async def call_each(self, path: str, request: msgspec.Struct, response_type: type[T]) -> list[T]:
        """Send the same request to all hollow processes. Raises like `HollowProcess.call`."""
        return list(
            await asyncio.gather(
                *(hollow.call(path, request, response_type) for hollow in self.hollow_processes)
            )
        )

    def processes_by_role(self) -> dict[str, RoleProcesses]:
        """Return the processes by role."""
        by_role = {"main": RoleProcesses([self.main.running_process])}
        by_role |= {
            service.name: RoleProcesses([service.running_process]) for service in self.followers.values()
        }
        by_role["hollow"] = RoleProcesses([hollow.process for hollow in self.hollow_processes])
        real_processes = [real.process for real in self.real_sidecars if real.process is not None]
        if real_processes:
            by_role["real"] = RoleProcesses(real_processes)
        return by_role

    async def statuses(self) -> dict[str, api.StatusResponse]:
        """Return the services' statuses by role. Raises NoReplyError or RequestRefusedError."""
        services = self.services
        statuses = await asyncio.gather(*(service.status(30.0) for service in services))
        return {service.name: status for service, status in zip(services, statuses, strict=True)}

    def roles_by_address(self) -> tuple[dict[str, str], dict[str, str]]:
        """Return the roles of the services by address: without proxies, and including proxies."""
        direct = {str(service.address): service.name for service in self.services}
        proxied = {str(proxy.address): direct[str(proxy.target())] for proxy in self.proxies.values()}
        return direct, direct | proxied

    def check_processes(self) -> None:
        """Raise ProcessEndedError if a process has ended that should be running."""
        processes = [
            process
            for role_processes in self.processes_by_role().values()
            for process in role_processes.processes
        ]
        for process in [*processes, *self._processes]:
            if process.exited.is_set() and not process.stop_requested:
                raise ProcessEndedError(process)

    async def set_region_proxies(self, region: str, mode: ProxyMode) -> None:
        """Set the mode of all proxies between the region and the others."""
        feed_proxies = [f"feed {name}" for name in [self._home_follower(region)]]
        for name, proxy in self.proxies.items():
            if name in feed_proxies or not name.startswith("feed "):
                await proxy.set_mode(mode)
        for real in self.real_sidecars:
            for name, proxy in real.proxies.items():
                from_region, to_home_follower = (
                    real.spec.region == region,
                    name == self._home_follower(region),
                )
                if from_region != to_home_follower:
                    await proxy.set_mode(mode)


def read_own_traffic() -> dict[str, TrafficCounts]:
    """Return the traffic of this process by address: its own calls, and those relayed by its proxies."""
    return running_counting_loop().take_counts()


def sum_by_role(traffic: list[dict[str, TrafficCounts]], roles: dict[str, str]) -> dict[str, TrafficCounts]:
    """Sum traffic by the role of its address. Addresses without a role are left out."""
    by_role: dict[str, list[TrafficCounts]] = {}
    for by_address in traffic:
        for address, address_traffic in by_address.items():
            if address in roles:
                by_role.setdefault(roles[address], []).append(address_traffic)
    return {role: sum_counts(role_traffic) for role, role_traffic in by_role.items()}
