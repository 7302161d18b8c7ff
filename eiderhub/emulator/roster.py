"""Discovery on sockets: the registry's lists in PROTOCOL's form, at one address for each sidecar"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import msgspec

from eiderhub.emulator.clock import Clock
from eiderhub.emulator.doors import Door
from eiderhub.http1 import Exchange, render_response
from eiderhub.world.day import Post
from eiderhub.world.judge import Judge
from eiderhub.world.registry import Delivery, Listing, Registry, Told

MOST_WAIT_MS = 60_000
MOVED_S = 1.5  # after a move, connections to the old address are closed


class Roster:
    """Hosts a `Registry`; `address_of` says where an endpoint listens for a sidecar."""

    def __init__(
        self,
        registry: Registry,
        clock: Clock,
        judge: Judge,
        address_of: Callable[[str, str], str],
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._judge = judge
        self._address_of = address_of
        self._asked: dict[int, tuple[Post, Exchange]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self.doors: dict[str, Door] = {}
        self._old: list[Door] = []

    async def open(self, post: Post, host: str) -> str:
        """The address at which this sidecar asks."""
        door = Door(host, lambda exchange: self._came(post, exchange), self._clock.now_us)
        await door.open()
        self.doors[post.name] = door
        return door.address

    async def move(self, post: Post) -> str:
        """A new address for it; the old one takes no new connections and soon closes those it has."""
        old = self.doors[post.name]
        old.shut(reset=False)
        self._old.append(old)
        self._clock.at(self._clock.now_us() + int(MOVED_S * 1e6), old.shut)
        return await self.open(post, old.host)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        for door in (*self.doors.values(), *self._old):
            door.close()

    def document(self, post: Post, listing: Listing) -> dict[str, object]:
        """A list in discovery's form."""
        return {
            "generation": listing.generation,
            "reset": listing.whole,
            "instances": [
                {
                    "instanceId": entry.id,
                    "hostPort": self._address_of(entry.id, post.name),
                    "zone": entry.zone,
                    "machineType": entry.kind,
                    "cell": entry.cell,
                    "lifecycle": entry.lifecycle.value,
                    "weight": 1.0,
                    "startedAtMs": self._clock.unix_ms(entry.started_us) if entry.started_us else 0,
                }
                for entry in listing.entries
            ],
        }

    # --- calls ---

    def _came(self, post: Post, exchange: Exchange) -> None:
        now = self._clock.now_us()
        target = urlsplit(exchange.url.decode("latin-1"))
        if target.path != "/discovery/hosts" or exchange.method != b"GET":
            exchange.respond(404)
            return
        query = parse_qs(target.query)
        try:
            after = int(query["after"][0]) if "after" in query else None
            wait_ms = min(MOST_WAIT_MS, max(0, int(query.get("wait_ms", ["0"])[0])))
        except ValueError:
            exchange.respond(400)
            return
        self._judge.asked_list(now, post.name)
        ticket = self._registry.ask(now, post.tier, after, wait_ms * 1000)
        self._asked[ticket] = (post, exchange)
        exchange.on_disconnect = lambda _: self._hung_up(ticket)
        self.moved()

    def _hung_up(self, ticket: int) -> None:
        self._asked.pop(ticket, None)
        self._registry.hang_up(ticket)

    def moved(self) -> None:
        """Answer what is due, and look again when the registry next has something."""
        now = self._clock.now_us()
        for told in self._registry.advance(now):
            asked = self._asked.pop(told.ticket, None)
            if asked is not None:
                self._tell(now, *asked, told)
        for when, entry in self._registry.news:
            self._judge.listed(when, entry)
        self._registry.news.clear()
        if self._timer is not None:
            self._timer.cancel()
        due = self._registry.next_us(now)
        self._timer = self._clock.at(due, self.moved) if due is not None else None

    def _tell(self, now: int, post: Post, exchange: Exchange, told: Told) -> None:
        exchange.on_disconnect = None
        if told.listing is None:
            self._judge.told(now, post.name, None)
            exchange.respond(503)
            return
        body = msgspec.json.encode(self.document(post, told.listing))
        if told.delivery is Delivery.WHOLE:
            self._judge.told(now, post.name, told.listing)
            exchange.respond(200, body)
            return
        self._judge.told(now, post.name, None)
        answer = render_response(200, [], body)
        exchange.write(answer[: len(answer) - len(body) // 2 - 1])
        if told.delivery is Delivery.BREAKS_OFF:
            exchange.reset()
