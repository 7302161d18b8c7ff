"""Discovery as a deployment sees it: the interface, and its implementation by the simulated registry.

`services.Services` implements the same interface with real list service processes.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

from eiderhub.emulator.clock import Clock
from eiderhub.emulator.processes import Station
from eiderhub.emulator.roster import Roster
from eiderhub.world.day import Event, Post
from eiderhub.world.judge import Judge
from eiderhub.world.network import Network
from eiderhub.world.registry import Listing, Registry

Until = Callable[[int], Awaitable[None]]  # waits for a time of the day, in microseconds
AddressOf = Callable[[str, str], str]  # an endpoint's address for a sidecar, given the names of both


class Lists(Protocol):
    """The operations of discovery that a deployment and its troubles use."""

    async def open(self) -> None:
        """Start serving; returns once all endpoints are listed."""

    async def reach(self, station: Station) -> None:
        """Set the address at which a sidecar reaches discovery."""

    async def move(self, station: Station) -> None:
        """Give the sidecar a new discovery address; the old one is closed soon after."""

    def known(self, post: Post) -> tuple[dict[str, object], Listing]:
        """The sidecar's present endpoint list, as a discovery response and as the world's `Listing`."""

    def begun(self) -> None:
        """The clock has been restarted for the day."""

    def came_up(self, endpoint: str, started_us: int) -> None:
        """An endpoint has started."""
        ...

    def drains(self, endpoint: str) -> None:
        """An endpoint drains."""
        ...

    def gone(self, endpoint: str, silent: bool = False) -> None:
        """An endpoint has stopped; a silent one cannot report that itself."""
        ...

    def set_down(self, down: bool) -> None:
        """Make discovery unavailable, or available again."""
        ...

    def stall(self, on: bool) -> None:
        """Break off responses partway through, or stop doing so."""

    async def rejoin(self, network: Network) -> None:
        """Apply a change of the network between zones."""

    async def befall(self, event: Event, until: Until) -> None:
        """Play a trouble of the list service, from now until the end of the event."""

    async def close(self) -> None: ...


class SimulatedDiscovery:
    """The simulated registry, whose responses are late or missing as the scenario specifies."""

    def __init__(self, registry: Registry, clock: Clock, judge: Judge, address_of: AddressOf) -> None:
        self._registry = registry
        self._clock = clock
        self._server = Roster(registry, clock, judge, address_of)
        self._attached_count = 0

    async def open(self) -> None: ...

    async def reach(self, station: Station) -> None:
        number, self._attached_count = self._attached_count, self._attached_count + 1
        station.discovery = await self._server.open(station.post, f"127.8.{number // 200}.{1 + number % 200}")

    async def move(self, station: Station) -> None:
        station.discovery = await self._server.move(station.post)

    def known(self, post: Post) -> tuple[dict[str, object], Listing]:
        listing = self._registry.whole(post.tier)
        return self._server.document(post, listing), listing

    def begun(self) -> None:
        self._server.moved()

    def came_up(self, endpoint: str, started_us: int) -> None:
        self._registry.came_up(self._clock.now_us(), endpoint, started_us)
        self._server.moved()

    def drains(self, endpoint: str) -> None:
        self._registry.drains(self._clock.now_us(), endpoint)
        self._server.moved()

    def gone(self, endpoint: str, silent: bool = False) -> None:
        self._registry.gone(self._clock.now_us(), endpoint, silent)
        self._server.moved()

    def set_down(self, down: bool) -> None:
        self._registry.set_down(self._clock.now_us(), down)
        self._server.moved()

    def stall(self, on: bool) -> None:
        self._registry.stalling = on

    async def rejoin(self, network: Network) -> None:
        """Nothing to do: the simulated registry is in no zone, and always reachable."""

    async def befall(self, event: Event, until: Until) -> None:
        """Be down during the event: there are no processes, connections or disk to disturb."""
        self.set_down(True)
        await until(event.until_us)
        self.set_down(False)

    async def close(self) -> None:
        self._server.close()
