"""The real list service in a deployment: its processes, proxies to them, and endpoint registrations."""

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
from eiderhub.emulator.discovery import AddressLookup, WaitUntil
from eiderhub.emulator.fault_proxy import FaultProxy, ProxyMode
from eiderhub.emulator.processes import (
    DeploymentError,
    Process,
    SupervisedSidecar,
    Usage,
    child_environment,
    reserve_port,
)
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
from eiderhub.world import discovery as world
from eiderhub.world.day import Day, EndpointPlan, Event, SidecarPlan
from eiderhub.world.evaluation import Evaluator
from eiderhub.world.network import Network
from eiderhub.world.scenario import TroubleKind

SERVICE_NAME = "emulated"
FOLLOWER_COUNT = 2
LEASE_MS = 3000
DESCRIPTOR_LIMIT = 4096
READY_TIMEOUT_S = 20.0  # for a process to serve, and for the service to list all endpoints
POLL_INTERVAL_S = 0.05
OLD_ADDRESS_CLOSE_DELAY_S = 1.5  # from a move until connections to the old addresses are reset
LONG_POLL_S = 5.0  # of every watch
MODES_BY_VALUE = {mode.value: mode for mode in ProxyMode}


@dataclass(slots=True)
class _ServiceNode:
    """One process of the list service; its folder and address stay the same over restarts."""

    name: str
    folder: Path
    address: Address
    main_addresses: list[str]
    usage: Usage = field(default_factory=Usage)
    process: Process | None = None

    @property
    def store(self) -> Path:
        return self.folder / "store"

    def start(self, on_exit: Callable[[Process, int], None]) -> None:
        self.folder.mkdir(exist_ok=True)
        document: dict[str, Any] = {"listen": str(self.address), "limits": {"settle_s": 1.0}}
        document |= {"follow": self.main_addresses} if self.main_addresses else {"store": str(self.store)}
        config_path = self.folder / "registry.toml"
        config_path.write_text(tomli_w.dumps(document), encoding="utf-8")
        command = [
            sys.executable,
            "-B",
            "-m",
            "eiderhub.cli",
            "registry",
            "serve",
            "--config",
            str(config_path),
        ]
        log_path = self.folder / "log"
        self.process = Process(
            self.name, command, child_environment(), log_path, DESCRIPTOR_LIMIT, None, self.usage, on_exit
        )

    def send_signal(self, signal_number: signal.Signals) -> None:
        if self.process is not None:
            self.process.send_signal(signal_number)

    async def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            await self.process.exited.wait()


class _AnswerParser:
    """Parses the responses on one proxied connection and passes each list on.

    `on_answer` is called with the list, or with None for a response whose status is not 200.
    """

    def __init__(self, on_answer: Callable[[DiscoveryResponse | None], None]) -> None:
        self._on_answer = on_answer
        self._parser = httptools.HttpResponseParser(self)
        self._body_parts: list[bytes] = []

    def feed(self, data: bytes) -> None:
        with contextlib.suppress(httptools.HttpParserError):
            self._parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self._body_parts.append(body)

    def on_message_complete(self) -> None:
        body, self._body_parts = b"".join(self._body_parts), []
        self._on_answer(
            msgspec.json.decode(body, type=DiscoveryResponse)
            if self._parser.get_status_code() == 200
            else None
        )


class RealListService:
    """A main process and its followers. Each caller reaches them through proxies of its own."""

    def __init__(
        self,
        day: Day,
        folder: Path,
        clock: Clock,
        evaluator: Evaluator,
        address_of: AddressLookup,
        accepts_requests: Callable[[str], bool],
        fail: Callable[[BaseException], None],
    ) -> None:
        """`accepts_requests` returns an endpoint's actual state; `fail` ends the run with an error."""
        self._day = day
        self._clock = clock
        self._evaluator = evaluator
        self._address_of = address_of
        self._accepts_requests = accepts_requests
        self._fail = fail
        self._closing = False
        self._plans: dict[str, EndpointPlan] = {plan.id: plan for plan in day.endpoint_plans}
        self._proxy_count = 0
        self._proxies: list[FaultProxy] = []
        self._zones_by_proxy: dict[FaultProxy, tuple[str, str]] = {}  # of the caller and the process
        self._sidecar_proxies: dict[str, list[FaultProxy]] = {}  # by sidecar name
        self._reserved_ports = [reserve_port(f"127.7.0.{1 + index}") for index in range(1 + FOLLOWER_COUNT)]
        addresses = [Address(*sock.getsockname()) for sock in self._reserved_ports]
        zones = day.scenario.zones  # processes are assigned round-robin, the main one to the first zone
        self._zone_by_address = {address: zones[i % len(zones)] for i, address in enumerate(addresses)}
        feed_proxies = [
            self._add_proxy(addresses[0], zone=self._zone_by_address[address]) for address in addresses[1:]
        ]
        self._nodes = [_ServiceNode("registry-0", folder / "registry-0", addresses[0], [])]
        for number, (proxy, address) in enumerate(zip(feed_proxies, addresses[1:], strict=True), 1):
            name = f"registry-{number}"
            self._nodes.append(_ServiceNode(name, folder / name, address, [str(proxy.address)]))
        self._log_path = folder / "endpoints.log"
        self._log_stream = self._log_path.open("w", encoding="utf-8")
        self._logger = structlog.wrap_logger(
            structlog.WriteLogger(self._log_stream),
            processors=[structlog.processors.add_log_level, structlog.processors.JSONRenderer()],
        )
        self._registrations: dict[str, Registration] = {}
        self._registration_proxies: dict[str, FaultProxy] = {}
        self._draining: set[str] = set()
        # Time of the scenario's clock, by endpoint and Unix time in ms.
        self._start_times_us: dict[tuple[str, int], int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._watches = {
            tier: ListWatch(
                self._follow_settings(tier, "", [addresses[0]]),
                partial(self._record_adoption, tier),
                logger=self._logger,
            )
            for tier in range(len(day.scenario.tier))
        }

    def _add_proxy(
        self, target: Address, observer: Callable[[object, bool, bytes], None] | None = None, zone: str = ""
    ) -> FaultProxy:
        """Create a proxy to `target`; `zone` is the zone of the caller that uses it."""
        index, self._proxy_count = self._proxy_count, self._proxy_count + 1
        proxy = FaultProxy(f"127.7.{1 + index // 200}.{1 + index % 200}", lambda: target, observer)
        self._proxies.append(proxy)
        self._zones_by_proxy[proxy] = (zone, self._zone_by_address[target])
        return proxy

    async def apply_network(self, network: Network) -> None:
        """Apply the network partitions between zones to all proxies of the list service."""
        for proxy, (caller_zone, server_zone) in self._zones_by_proxy.items():
            caller_to_server, server_to_caller = (
                network.delivers(caller_zone, server_zone),
                network.delivers(server_zone, caller_zone),
            )
            modes = {
                (True, True): ProxyMode.OPEN,
                (False, True): ProxyMode.CUT_UP,
                (True, False): ProxyMode.CUT_DOWN,
            }
            await proxy.set_mode(modes.get((caller_to_server, server_to_caller), ProxyMode.CUT))

    def _tier_name(self, tier: int) -> str:
        return self._day.scenario.tier[tier].name

    def _follow_settings(
        self, tier: int, view: str, addresses: list[Address], snapshot_path: Path | None = None
    ) -> FollowSettings:
        return FollowSettings(
            addresses=[str(address) for address in addresses],
            service=SERVICE_NAME,
            tier=self._tier_name(tier),
            view=view,
            keep=str(snapshot_path) if snapshot_path is not None else None,
            wait_s=LONG_POLL_S,
        )

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._fail(error)

    # --- start and stop ---

    async def open(self) -> None:
        """Start all processes and register all endpoints; returns once every endpoint is listed.

        Raises:
            DeploymentError: if the service is not ready in time.
        """
        for proxy in self._proxies:
            await proxy.open()
        for node in self._nodes:
            node.start(self._handle_exit)
        await self._wait_until_serving(self._nodes[0])
        for plan in self._day.endpoint_plans:
            await self._register(plan.id, 0)
        for watch in self._watches.values():
            watch.start()
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await self._wait_until_listed()
        except TimeoutError:
            reason = f"the list service does not list all endpoints after {READY_TIMEOUT_S:g} s"
            process = self._nodes[0].process
            raise DeploymentError(reason, process.read_log_tail() if process is not None else []) from None

    async def _wait_until_listed(self) -> None:
        for registration in self._registrations.values():
            await registration.registered.wait()
        main_version = await self._served_version(self._nodes[0])
        for node in self._nodes[1:]:
            while await self._served_version(node) < main_version:
                await asyncio.sleep(POLL_INTERVAL_S)
        for tier, watch in self._watches.items():
            count = sum(plan.tier == tier for plan in self._day.endpoint_plans)
            while len(watch.adopted_list.entries) < count:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _served_version(self, node: _ServiceNode) -> int:
        """The version of the list that a process serves; -1 if it does not serve."""
        client = RegistryClient(node.address)
        try:
            status = decode_reply(await client.get(api.STATUS_PATH, {}, 1.0), api.StatusResponse)
            return status.version if status.branch else -1
        except (NoReplyError, RequestRefusedError):
            return -1
        finally:
            client.close()

    async def _wait_until_serving(self, node: _ServiceNode) -> None:
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while await self._served_version(node) < 0:
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            log_tail = node.process.read_log_tail() if node.process is not None else []
            raise DeploymentError(f"{node.name}: not ready after {READY_TIMEOUT_S:g} s", log_tail) from None

    def _handle_exit(self, process: Process, status: int) -> None:
        if not process.stop_requested and not self._closing:
            self._fail(DeploymentError(f"{process.name} ended with status {status}", process.read_log_tail()))

    async def close(self) -> None:
        """Stop all registrations and watches, kill the processes and close the sockets."""
        self._closing = True
        for task in list(self._tasks):
            task.cancel()
        for watch in self._watches.values():
            watch.stop()
        for registration in self._registrations.values():
            registration.abandon()
        await asyncio.gather(*(node.kill() for node in self._nodes))
        self.close_sockets()

    def close_sockets(self) -> None:
        """Close all proxies, release the reserved ports and flush the log."""
        for proxy in self._proxies:
            proxy.close()
        for sock in self._reserved_ports:
            sock.close()
        self._log_stream.flush()

    def usage(self) -> dict[str, Usage]:
        """Resource usage by process name."""
        for node in self._nodes:
            if node.process is not None and not node.process.exited.is_set():
                node.process.measure()
        return {node.name: node.usage for node in self._nodes}

    def log_paths(self) -> dict[str, Path]:
        """Paths of the log files by name: one per process, and that of the endpoints' registrations."""
        self._log_stream.flush()
        return {node.name: node.folder / "log" for node in self._nodes} | {"endpoints": self._log_path}

    # --- the sidecars ---

    async def attach(self, sidecar: SupervisedSidecar) -> None:
        """Open proxies to the list service for a sidecar, and set its discovery addresses."""
        sidecar_plan = sidecar.plan
        # Followers first, rotated by the sidecar's rank, and the main process last: the first follower
        # stands for the nearest one, from which most sidecars read.
        followers = self._nodes[1:]
        start = sidecar_plan.rank % len(followers)
        nodes = [*followers[start:], *followers[:start], self._nodes[0]]
        proxies = [
            self._add_proxy(node.address, self._traffic_observer(sidecar_plan), sidecar_plan.zone)
            for node in nodes
        ]
        for proxy in proxies:
            await proxy.open()
        self._sidecar_proxies[sidecar_plan.name] = proxies
        addresses = [proxy.address for proxy in proxies]
        sidecar.discovery = str(addresses[0])
        sidecar.follow = self._follow_settings(
            sidecar_plan.tier, sidecar_plan.name, addresses, sidecar.folder / "list.json"
        )

    async def change_address(self, sidecar: SupervisedSidecar) -> None:
        """Give a sidecar new discovery addresses, and reset connections to the old ones after a delay."""
        old_proxies = self._sidecar_proxies[sidecar.plan.name]
        await self.attach(sidecar)

        async def reset_old_proxies() -> None:
            await asyncio.sleep(OLD_ADDRESS_CLOSE_DELAY_S)
            for proxy in old_proxies:
                await proxy.set_mode(ProxyMode.RESET)

        self._start_task(reset_old_proxies())

    def _traffic_observer(self, sidecar_plan: SidecarPlan) -> Callable[[object, bool, bytes], None]:
        parsers: dict[object, _AnswerParser] = {}

        def observe(connection: object, from_caller: bool, data: bytes) -> None:
            if from_caller:
                self._evaluator.list_requested(self._clock.now_us(), sidecar_plan.name)
                return
            if connection not in parsers:
                if len(parsers) >= 8:  # drops the parsers of connections that have ended
                    parsers.clear()
                parsers[connection] = _AnswerParser(partial(self._record_answer, sidecar_plan))
            parsers[connection].feed(data)

        return observe

    def _record_answer(self, sidecar_plan: SidecarPlan, response: DiscoveryResponse | None) -> None:
        now_us = self._clock.now_us()
        if response is None:
            self._evaluator.list_received(now_us, sidecar_plan.name, None)
            return
        entries = [self._world_entry(sidecar_plan.tier, entry) for entry in response.instances]
        if response.reset:
            listed_ids = {entry.id for entry in entries}
            entries += [
                world.Entry(plan.id, plan.tier, plan.zone, plan.kind, plan.cell, Readiness.GONE, None)
                for plan in self._day.endpoint_plans
                if plan.tier == sidecar_plan.tier and plan.id not in listed_ids
            ]
        # Rule 3 concerns endpoints that leave. An entry that is not ready although its endpoint accepts
        # requests is an error of the service, which the client must detect: it is left out.
        consistent = tuple(
            entry
            for entry in entries
            if entry.lifecycle is Readiness.READY or not self._accepts_requests(entry.id)
        )
        self._evaluator.list_received(
            now_us, sidecar_plan.name, world.EndpointList(response.generation, False, consistent)
        )

    def _world_entry(self, tier: int, entry: Entry) -> world.Entry:
        started_us = self._start_times_us.get((entry.instance_id, entry.started_at_ms))
        return world.Entry(
            entry.instance_id, tier, entry.zone, entry.machine_type, entry.cell, entry.lifecycle, started_us
        )

    def _record_adoption(self, tier: int, adoption: AdoptionResult) -> None:
        """Record for the evaluator that the main process lists these changes from now on."""
        now_us = self._clock.now_us()
        for entry in adoption.entries:
            world_entry = self._world_entry(tier, entry)
            if world_entry.lifecycle is Readiness.READY or not self._accepts_requests(world_entry.id):
                self._evaluator.entry_published(now_us, world_entry)

    def current_list(self, sidecar_plan: SidecarPlan) -> tuple[dict[str, object], world.EndpointList]:
        """The current list for a sidecar: as a discovery response, and in the form of the world."""
        adopted_list = self._watches[sidecar_plan.tier].adopted_list
        entries = list(adopted_list.entries.values())
        instances = [
            msgspec.structs.replace(entry, host_port=self._address_of(entry.instance_id, sidecar_plan.name))
            for entry in entries
        ]
        response = DiscoveryResponse(generation=adopted_list.version, reset=True, instances=instances)
        listing = world.EndpointList(
            adopted_list.version,
            True,
            tuple(self._world_entry(sidecar_plan.tier, entry) for entry in entries),
        )
        return json.loads(msgspec.json.encode(response)), listing

    # --- the endpoints ---

    async def _register(self, endpoint: str, started_ms: int) -> None:
        plan = self._plans[endpoint]
        sidecars = [sidecar_plan.name for sidecar_plan in self._day.sidecar_plans_of(plan.tier)]
        addresses_by_sidecar = {name: self._address_of(endpoint, name) for name in sidecars}
        entry = Entry(
            instance_id=endpoint,
            host_port=addresses_by_sidecar[sidecars[0]],
            zone=plan.zone,
            machine_type=plan.kind,
            cell=plan.cell,
            started_at_ms=started_ms,
        )
        serial = len(self._start_times_us)
        record = Record(
            service=SERVICE_NAME,
            tier=self._tier_name(plan.tier),
            entry=entry,
            owner=f"{endpoint}.{serial}.{started_ms}",
            lease_ms=LEASE_MS,
            views=addresses_by_sidecar,
            region=self._day.regions.get(plan.zone, ""),
        )
        proxy = self._registration_proxies.get(endpoint)
        if proxy is None:
            proxy = self._registration_proxies[endpoint] = self._add_proxy(
                self._nodes[0].address, zone=plan.zone
            )
            await proxy.open()

        async def is_alive() -> bool:
            return True  # the registration of an endpoint that crashes is abandoned, see `endpoint_stopped`

        registration = self._registrations[endpoint] = Registration(
            record, [proxy.address], is_alive, logger=self._logger
        )
        registration.start()

    def on_day_started(self) -> None: ...  # the processes run on real time

    def endpoint_started(self, endpoint: str, started_us: int) -> None:
        """Register the new process of an endpoint."""
        started_ms = self._clock.unix_ms(started_us)
        self._start_times_us[endpoint, started_ms] = started_us
        self._draining.discard(endpoint)
        self._start_task(self._register(endpoint, started_ms))

    def endpoint_draining(self, endpoint: str) -> None:
        """Mark an endpoint's record as draining."""
        self._draining.add(endpoint)
        self._start_task(self._registrations[endpoint].drain())

    def endpoint_stopped(self, endpoint: str, silent: bool = False) -> None:
        """Remove the record of an endpoint that drained; otherwise leave it to expire with its lease."""
        registration = self._registrations[endpoint]
        if endpoint in self._draining and not silent:
            self._start_task(registration.remove())
        else:
            registration.abandon()

    # --- faults ---

    def set_unavailable(self, unavailable: bool) -> None:
        """Refuse or accept the sidecars' connections to the list service."""
        self._set_modes(self._all_sidecar_proxies(), ProxyMode.RESET if unavailable else ProxyMode.OPEN)

    def set_stalled(self, stalled: bool) -> None:
        """Truncate the responses to sidecars, or deliver them in full."""
        self._set_modes(self._all_sidecar_proxies(), ProxyMode.TRUNCATED if stalled else ProxyMode.OPEN)

    def _all_sidecar_proxies(self) -> list[FaultProxy]:
        return [proxy for proxies in self._sidecar_proxies.values() for proxy in proxies]

    def _set_modes(self, proxies: list[FaultProxy], mode: ProxyMode) -> None:
        async def set_modes() -> None:
            for proxy in proxies:
                await proxy.set_mode(mode)

        self._start_task(set_modes())

    async def run_registry_event(self, event: Event, until: WaitUntil) -> None:
        """Apply a fault of the list service from now until the end of the event."""
        main = self._nodes[0]
        if event.kind is TroubleKind.REGISTRY_PAUSED:
            main.send_signal(signal.SIGSTOP)
            await until(event.until_us)
            main.send_signal(signal.SIGCONT)
            return
        if event.kind is TroubleKind.REGISTRY_CUT:
            mode = MODES_BY_VALUE[event.how or ProxyMode.CUT.value]
            for proxy in self._proxies:
                await proxy.set_mode(mode)
            await until(event.until_us)
            for proxy in self._proxies:
                await proxy.set_mode(ProxyMode.OPEN)
            return
        is_storm = event.kind is TroubleKind.REGISTRY_STORM
        affected = self._nodes if is_storm else [main]
        await asyncio.gather(*(node.kill() for node in affected))
        if event.kind is TroubleKind.REGISTRY_EMPTIED:
            shutil.rmtree(main.store)
        await until(event.until_us)
        for node in affected:
            node.start(self._handle_exit)
        await asyncio.gather(*(self._wait_until_serving(node) for node in affected))
