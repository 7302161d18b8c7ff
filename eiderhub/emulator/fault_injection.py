"""Fault injection: carries out each kind of event on a deployment's sockets and processes."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from eiderhub.emulator import management_client
from eiderhub.emulator.clock import Clock
from eiderhub.emulator.discovery import DiscoveryBackend
from eiderhub.emulator.endpoint_servers import EndpointServer
from eiderhub.emulator.processes import Process, SupervisedSidecar
from eiderhub.world.day import Day, Event
from eiderhub.world.front_balancer import FrontBalancer
from eiderhub.world.network import CutDirection, Network
from eiderhub.world.scenario import TroubleKind

REPLACEMENT_DRAIN_S = 3.0  # time for an endpoint to complete its requests before it is replaced
RESTART_DELAY_S = 0.5  # between the end of a process and the start of the next one
MIN_DOWNTIME_S = 1.0  # for endpoints that crash
KILL_RESTART_DELAY_S = 1.0  # until the platform restarts a killed sidecar
# SIGKILL follows SIGTERM after the longest deadline, limited to MAX_STOP_WAIT_S, plus STOP_MARGIN_S.
MAX_STOP_WAIT_S = 3.0
STOP_MARGIN_S = 0.7
UPGRADE_READY_TIMEOUT_S = 6.0  # for a new version to report that it is ready
ACTIVATION_TIMEOUT_S = 2.0  # for a sidecar that returns from standby to report that it is ready
STATUS_POLL_INTERVAL_S = 0.1


class FaultTarget(Protocol):
    """The parts of a deployment that the fault injector uses."""

    day: Day
    clock: Clock
    network: Network
    front: FrontBalancer
    discovery: DiscoveryBackend
    endpoints: dict[str, EndpointServer]
    sidecars: dict[str, SupervisedSidecar]

    def start_sidecar(self, name: str) -> Process:
        """Start a process of this sidecar."""

    def kill_sidecar(self, name: str) -> list[Process]:
        """Kill all processes of this sidecar."""

    def sidecar_of_endpoint(self, endpoint: str) -> str | None:
        """The name of the sidecar that belongs to this endpoint, if there is one."""

    async def wait_until_ready(self, name: str) -> None:
        """Wait until this sidecar reports ready."""
        ...

    async def is_ready(self, name: str) -> bool:
        """Whether this sidecar reports ready."""
        ...

    def add_note(self, text: str) -> None:
        """Add a note to the result."""


class FaultInjector:
    """Runs the events of a scenario against a deployment."""

    def __init__(self, target: FaultTarget) -> None:
        self._target = target
        longest_deadline_s = (
            max((request_class.deadline_us for request_class in target.day.request_classes), default=0) / 1e6
        )
        self._stop_timeout_s = min(MAX_STOP_WAIT_S, longest_deadline_s) + STOP_MARGIN_S
        self._handlers: dict[TroubleKind, Callable[[Event], Coroutine[Any, Any, None]]] = {
            TroubleKind.BURST: self._do_nothing,  # part of the generated arrivals
            TroubleKind.SHARED_SLOW: self._slow_all_endpoints,
            TroubleKind.HANG: self._hang_endpoints,
            TroubleKind.PAUSES: self._pause_endpoints,
            TroubleKind.RELEASE: self._replace_endpoints,
            TroubleKind.DEATH: self._kill_endpoints,
            TroubleKind.ZONE_LOST: self._take_zones_down,
            TroubleKind.REGION_LOST: self._take_zones_down,
            TroubleKind.ZONE_CUT: self._partition_zones,
            TroubleKind.REGION_CUT: self._partition_zones,
            TroubleKind.ZONE_CUT_ONE_WAY: self._partition_zones,
            TroubleKind.ZONE_FLAP: self._flap_zones,
            TroubleKind.ZONE_GREY: self._degrade_zones,
            TroubleKind.CALLERS_MOVE: self._move_callers,
            TroubleKind.DISCOVERY_DOWN: self._take_discovery_down,
            TroubleKind.DISCOVERY_STALLS: self._stall_discovery,
            TroubleKind.RESTART: self._restart_sidecars,
            TroubleKind.KILL: self._kill_sidecars,
            TroubleKind.RELOAD: self._reload_sidecars,
            TroubleKind.UPGRADE: self._upgrade_sidecars,
            TroubleKind.STANDBY: self._set_standby,
            TroubleKind.REGISTRY_KILLED: self._fault_list_service,
            TroubleKind.REGISTRY_PAUSED: self._fault_list_service,
            TroubleKind.REGISTRY_CUT: self._fault_list_service,
            TroubleKind.REGISTRY_EMPTIED: self._fault_list_service,
            TroubleKind.REGISTRY_STORM: self._fault_list_service,
        }

    async def run_event(self, event: Event) -> None:
        """Wait for the start of an event and carry it out to its end."""
        await self._sleep_until(event.at_us)
        await self._handlers[event.kind](event)

    async def _sleep_until(self, when_us: int) -> None:
        await asyncio.sleep(max(0, when_us - self._target.clock.now_us()) / 1e6)

    async def _spread_evenly(
        self, event: Event, names: tuple[str, ...], action: Callable[[str], Coroutine[Any, Any, None]]
    ) -> None:
        """Start the action for each name, spread evenly over the event's duration, and wait for all."""
        step_us = (event.until_us - event.at_us) // max(1, len(names))
        async with asyncio.TaskGroup() as group:
            for i, name in enumerate(names):
                await self._sleep_until(event.at_us + i * step_us)
                group.create_task(action(name))

    async def _do_nothing(self, event: Event) -> None: ...

    # --- endpoints ---

    async def _slow_all_endpoints(self, event: Event) -> None:
        for factor, until_us in ((event.size, event.until_us), (1.0, event.until_us)):
            for endpoint_server in self._target.endpoints.values():
                endpoint_server.endpoint.set_slowdown(self._target.clock.now_us(), factor)
                endpoint_server.advance()
            await self._sleep_until(until_us)

    async def _hang_endpoints(self, event: Event) -> None:
        for name in event.endpoints:
            endpoint_server = self._target.endpoints[name]
            endpoint_server.endpoint.hang(self._target.clock.now_us(), event.until_us)
            endpoint_server.advance()

    async def _pause_endpoints(self, event: Event) -> None:
        rng = self._target.day.rng(f"pauses at {event.at_us}")
        length_us = int(event.size * 1000)

        async def pause_repeatedly(name: str) -> None:
            endpoint_server = self._target.endpoints[name]
            at_us = event.at_us + int(rng.uniform(0, event.every_us))
            while at_us < event.until_us:
                await self._sleep_until(at_us)
                endpoint_server.endpoint.pause(self._target.clock.now_us(), at_us + length_us)
                endpoint_server.advance()
                at_us += int(event.every_us * rng.uniform(0.5, 1.5))

        await asyncio.gather(*(pause_repeatedly(name) for name in event.endpoints))

    async def _replace_endpoints(self, event: Event) -> None:
        await self._spread_evenly(event, event.endpoints, self._replace_endpoint)

    async def _replace_endpoint(self, name: str) -> None:
        target = self._target
        endpoint_server = target.endpoints[name]
        endpoint_server.endpoint.drain(target.clock.now_us())
        target.discovery.endpoint_draining(name)
        await asyncio.sleep(REPLACEMENT_DRAIN_S)
        self._stop_endpoint(name, silent=False)
        await asyncio.sleep(RESTART_DELAY_S)
        await self._start_endpoint(name)

    async def _kill_endpoints(self, event: Event) -> None:
        for name in event.endpoints:
            self._stop_endpoint(name, silent=False)
        await asyncio.sleep(MIN_DOWNTIME_S)
        await self._sleep_until(event.until_us)
        await asyncio.gather(*(self._start_endpoint(name) for name in event.endpoints))

    async def _take_zones_down(self, event: Event) -> None:
        for name in event.endpoints:
            self._stop_endpoint(name, silent=True)
        await self._sleep_until(event.until_us)
        await asyncio.gather(*(self._start_endpoint(name) for name in event.endpoints))

    def _stop_endpoint(self, name: str, silent: bool) -> None:
        """Stop an endpoint and kill the sidecar that belongs to it."""
        target = self._target
        target.endpoints[name].terminate(silent)
        sidecar_name = target.sidecar_of_endpoint(name)
        if sidecar_name is not None:
            target.kill_sidecar(sidecar_name)
        target.discovery.endpoint_stopped(name, silent)

    async def _start_endpoint(self, name: str) -> None:
        """Start a new endpoint process under the same ID, after its sidecar has reported ready."""
        target = self._target
        sidecar_name = target.sidecar_of_endpoint(name)
        if sidecar_name is not None:
            for process in list(target.sidecars[sidecar_name].processes):
                await process.exited.wait()
            target.start_sidecar(sidecar_name)
            await target.wait_until_ready(sidecar_name)
        endpoint_server = target.endpoints[name]
        await endpoint_server.start()
        assert endpoint_server.endpoint.started_us is not None
        target.discovery.endpoint_started(name, endpoint_server.endpoint.started_us)

    # --- the network and discovery ---

    async def _partition_zones(self, event: Event) -> None:
        await self._partition_until(event, event.until_us)

    async def _partition_until(self, event: Event, until_us: int) -> None:
        network = self._target.network
        partition = network.cut(event.zones, CutDirection(event.how) if event.how else CutDirection.BOTH)
        await self._apply_partitions()
        await self._sleep_until(until_us)
        network.remove_cut(partition)
        await self._apply_partitions()

    async def _apply_partitions(self) -> None:
        """Apply the network's current partitions to the connections of endpoints and list service."""
        for endpoint_server in self._target.endpoints.values():
            await endpoint_server.apply_network()
        await self._target.discovery.apply_network(self._target.network)

    async def _flap_zones(self, event: Event) -> None:
        at_us = event.at_us
        while at_us < event.until_us:
            await self._sleep_until(at_us)
            await self._partition_until(event, min(at_us + event.every_us // 2, event.until_us))
            at_us += event.every_us

    async def _degrade_zones(self, event: Event) -> None:
        endpoint_servers = [
            endpoint_server
            for endpoint_server in self._target.endpoints.values()
            if endpoint_server.plan.zone in event.zones
        ]
        for factor, error_rate, until_us in (
            (event.size, event.part, event.until_us),
            (1.0, 0.0, event.until_us),
        ):
            for endpoint_server in endpoint_servers:
                endpoint_server.endpoint.set_slowdown(self._target.clock.now_us(), factor)
                endpoint_server.endpoint.set_error_share(error_rate)
                endpoint_server.advance()
            await self._sleep_until(until_us)

    async def _move_callers(self, event: Event) -> None:
        self._target.front.redirect(event.zone, event.target_zone)
        await self._sleep_until(event.until_us)
        self._target.front.redirect(event.zone, None)

    async def _take_discovery_down(self, event: Event) -> None:
        for unavailable in (True, False):
            self._target.discovery.set_unavailable(unavailable)
            if unavailable:
                await self._sleep_until(event.until_us)

    async def _stall_discovery(self, event: Event) -> None:
        self._target.discovery.set_stalled(True)
        await self._sleep_until(event.until_us)
        self._target.discovery.set_stalled(False)

    async def _fault_list_service(self, event: Event) -> None:
        await self._target.discovery.run_registry_event(event, self._sleep_until)

    # --- sidecars ---

    async def _restart_sidecars(self, event: Event) -> None:
        async def restart(name: str) -> None:
            for process in list(self._target.sidecars[name].processes):
                await self._stop_process(process)
            await asyncio.sleep(RESTART_DELAY_S)
            self._target.start_sidecar(name)

        await self._spread_evenly(event, event.sidecars, restart)

    async def _stop_process(self, process: Process) -> None:
        """Send SIGTERM, and SIGKILL if the process has not exited after the stop timeout."""
        process.terminate()
        try:
            async with asyncio.timeout(self._stop_timeout_s):
                await process.exited.wait()
        except TimeoutError:
            self._target.add_note(
                f"{process.name} had not exited {self._stop_timeout_s:.1f} s after SIGTERM and was killed"
            )
            process.kill()
            await process.exited.wait()

    async def _kill_sidecars(self, event: Event) -> None:
        killed = [process for name in event.sidecars for process in self._target.kill_sidecar(name)]
        await asyncio.gather(*(process.exited.wait() for process in killed))
        await asyncio.sleep(KILL_RESTART_DELAY_S)
        for name in event.sidecars:
            self._target.start_sidecar(name)

    async def _reload_sidecars(self, event: Event) -> None:
        for sidecar in self._target.sidecars.values():
            await self._target.discovery.change_address(sidecar)
            sidecar.write_config(self._target.discovery.current_list(sidecar.plan)[0], event.at_us)
            for process in sidecar.processes:
                process.send_signal(signal.SIGHUP)

    async def _upgrade_sidecars(self, event: Event) -> None:
        async def upgrade(name: str) -> None:
            old_processes = list(self._target.sidecars[name].processes)
            new_process = self._target.start_sidecar(name)
            if not await self._reports_ready(name, UPGRADE_READY_TIMEOUT_S):
                self._target.add_note(
                    f"{name}: new version not ready within {UPGRADE_READY_TIMEOUT_S:g} s; process killed"
                )
                new_process.kill()
                return
            for process in old_processes:
                await self._stop_process(process)

        await self._spread_evenly(event, event.sidecars, upgrade)

    async def _reports_ready(self, name: str, timeout_s: float) -> bool:
        sidecar = self._target.sidecars[name]
        host, _, port = sidecar.management.rpartition(":")
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while loop.time() < deadline_s:
            try:
                if (await management_client.call(host, int(port), "status")).startswith("OK"):
                    return True
            except management_client.ManagementCallError:
                pass  # the management port is not open yet
            await asyncio.sleep(STATUS_POLL_INTERVAL_S)
        return False

    async def _set_standby(self, event: Event) -> None:
        for command in ("standby", "active"):
            for name in event.sidecars:
                host, _, port = self._target.sidecars[name].management.rpartition(":")
                try:
                    reply = await management_client.call(host, int(port), command)
                except management_client.ManagementCallError as error:
                    reply = f"ERR {error}"
                if not reply.startswith("OK"):
                    self._target.add_note(f"{name}: {command}: {reply}")
            if command == "standby":
                await self._sleep_until(event.until_us)
        for name in event.sidecars:
            if not await self._reports_ready(name, ACTIVATION_TIMEOUT_S):
                self._target.add_note(
                    f"{name}: not ready {ACTIVATION_TIMEOUT_S:g} s after its return from standby"
                )
