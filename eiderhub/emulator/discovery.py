"""Discovery as a deployment sees it: the interface, and its implementation by the simulated registry.

`list_service.RealListService` implements the same interface with real list service processes.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

from eiderhub.emulator.clock import Clock
from eiderhub.emulator.discovery_server import DiscoveryServer
from eiderhub.emulator.processes import SupervisedSidecar
from eiderhub.world.day import Event, SidecarPlan
from eiderhub.world.discovery import EndpointList, Registry
from eiderhub.world.evaluation import Evaluator
from eiderhub.world.network import Network

WaitUntil = Callable[[int], Awaitable[None]]  # waits for a time of the day, in microseconds
AddressLookup = Callable[[str, str], str]  # an endpoint's address for a sidecar, given the names of both


class DiscoveryBackend(Protocol):
    """The operations of discovery that a deployment and its troubles use."""

    async def open(self) -> None:
        """Start serving; returns once all endpoints are listed."""

    async def attach(self, sidecar: SupervisedSidecar) -> None:
        """Set the address at which a sidecar reaches discovery."""

    async def change_address(self, sidecar: SupervisedSidecar) -> None:
        """Give the sidecar a new discovery address; the old one is closed soon after."""

    def current_list(self, sidecar_plan: SidecarPlan) -> tuple[dict[str, object], EndpointList]:
        """The sidecar's present endpoint list, as a discovery response and as the world's `EndpointList`."""

    def on_day_started(self) -> None:
        """The clock has been restarted for the day."""

    def endpoint_started(self, endpoint: str, started_us: int) -> None:
        """An endpoint has started."""
        ...

    def endpoint_draining(self, endpoint: str) -> None:
        """An endpoint drains."""
        ...

    def endpoint_stopped(self, endpoint: str, silent: bool = False) -> None:
        """An endpoint has stopped; a silent one cannot report that itself."""
        ...

    def set_unavailable(self, unavailable: bool) -> None:
        """Make discovery unavailable, or available again."""
        ...

    def set_stalled(self, stalled: bool) -> None:
        """Break off responses partway through, or stop doing so."""

    async def apply_network(self, network: Network) -> None:
        """Apply a change of the network between zones."""

    async def run_registry_event(self, event: Event, until: WaitUntil) -> None:
        """Run a trouble of the list service from now until the end of the event."""

    async def close(self) -> None: ...


class SimulatedDiscovery:
    """The simulated registry, whose responses are late or missing as the scenario specifies."""

    def __init__(
        self, registry: Registry, clock: Clock, evaluator: Evaluator, address_of: AddressLookup
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._server = DiscoveryServer(registry, clock, evaluator, address_of)
        self._attached_count = 0

    async def open(self) -> None: ...

    async def attach(self, sidecar: SupervisedSidecar) -> None:
        number, self._attached_count = self._attached_count, self._attached_count + 1
        sidecar.discovery = await self._server.open_listener(
            sidecar.plan, f"127.8.{number // 200}.{1 + number % 200}"
        )

    async def change_address(self, sidecar: SupervisedSidecar) -> None:
        sidecar.discovery = await self._server.move_listener(sidecar.plan)

    def current_list(self, sidecar_plan: SidecarPlan) -> tuple[dict[str, object], EndpointList]:
        listing = self._registry.full_listing(sidecar_plan.tier)
        return self._server.list_document(sidecar_plan, listing), listing

    def on_day_started(self) -> None:
        self._server.answer_due_calls()

    def endpoint_started(self, endpoint: str, started_us: int) -> None:
        self._registry.endpoint_started(self._clock.now_us(), endpoint, started_us)
        self._server.answer_due_calls()

    def endpoint_draining(self, endpoint: str) -> None:
        self._registry.endpoint_draining(self._clock.now_us(), endpoint)
        self._server.answer_due_calls()

    def endpoint_stopped(self, endpoint: str, silent: bool = False) -> None:
        self._registry.endpoint_stopped(self._clock.now_us(), endpoint, silent)
        self._server.answer_due_calls()

    def set_unavailable(self, unavailable: bool) -> None:
        self._registry.set_unavailable(self._clock.now_us(), unavailable)
        self._server.answer_due_calls()

    def set_stalled(self, stalled: bool) -> None:
        self._registry.stalling = stalled

    async def apply_network(self, network: Network) -> None:
        """Nothing to do: the simulated registry is in no zone, and always reachable."""

    async def run_registry_event(self, event: Event, until: WaitUntil) -> None:
        """Be unavailable during the event: there are no processes, connections or disk to disturb."""
        self.set_unavailable(True)
        await until(event.until_us)
        self.set_unavailable(False)

    async def close(self) -> None:
        self._server.close()
