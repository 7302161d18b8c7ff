"""Discovery over HTTP: serves the lists of the simulated registry (PROTOCOL), one address per sidecar."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import msgspec

from eiderhub.emulator.clock import Clock
from eiderhub.emulator.listeners import Listener
from eiderhub.http1 import Exchange, render_response
from eiderhub.world.day import SidecarPlan
from eiderhub.world.discovery import CallResult, Delivery, EndpointList, Registry
from eiderhub.world.evaluation import Evaluator

MAX_LONG_POLL_MS = 60_000
OLD_ADDRESS_CLOSE_DELAY_S = 1.5  # from a move until connections to the old address are reset


class DiscoveryServer:
    """Serves a `Registry`; `address_of` returns the address of an endpoint for a given sidecar."""

    def __init__(
        self,
        registry: Registry,
        clock: Clock,
        evaluator: Evaluator,
        address_of: Callable[[str, str], str],
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._evaluator = evaluator
        self._address_of = address_of
        self._pending_calls: dict[int, tuple[SidecarPlan, Exchange]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self.listeners: dict[str, Listener] = {}
        self._replaced_listeners: list[Listener] = []

    async def open_listener(self, sidecar_plan: SidecarPlan, host: str) -> str:
        """Open a listener for this sidecar and return its address."""
        listener = Listener(
            host, lambda exchange: self._handle_call(sidecar_plan, exchange), self._clock.now_us
        )
        await listener.open()
        self.listeners[sidecar_plan.name] = listener
        return listener.address

    async def move_listener(self, sidecar_plan: SidecarPlan) -> str:
        """Open a new address for a sidecar and return it.

        The old address refuses new connections at once; its open connections are reset after
        `OLD_ADDRESS_CLOSE_DELAY_S`.
        """
        replaced = self.listeners[sidecar_plan.name]
        replaced.stop_listening(reset=False)
        self._replaced_listeners.append(replaced)
        self._clock.call_at(
            self._clock.now_us() + int(OLD_ADDRESS_CLOSE_DELAY_S * 1e6), replaced.stop_listening
        )
        return await self.open_listener(sidecar_plan, replaced.host)

    def close(self) -> None:
        """Close all listeners and cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
        for listener in (*self.listeners.values(), *self._replaced_listeners):
            listener.close()

    def list_document(self, sidecar_plan: SidecarPlan, listing: EndpointList) -> dict[str, object]:
        """Convert a list to the JSON document of the discovery protocol."""
        return {
            "generation": listing.generation,
            "reset": listing.full,
            "instances": [
                {
                    "instanceId": entry.id,
                    "hostPort": self._address_of(entry.id, sidecar_plan.name),
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

    def _handle_call(self, sidecar_plan: SidecarPlan, exchange: Exchange) -> None:
        now_us = self._clock.now_us()
        target = urlsplit(exchange.url.decode("latin-1"))
        if target.path != "/discovery/hosts" or exchange.method != b"GET":
            exchange.respond(404)
            return
        query = parse_qs(target.query)
        try:
            after_generation = int(query["after"][0]) if "after" in query else None
            wait_ms = min(MAX_LONG_POLL_MS, max(0, int(query.get("wait_ms", ["0"])[0])))
        except ValueError:
            exchange.respond(400)
            return
        self._evaluator.list_requested(now_us, sidecar_plan.name)
        call_id = self._registry.start_call(now_us, sidecar_plan.tier, after_generation, wait_ms * 1000)
        self._pending_calls[call_id] = (sidecar_plan, exchange)
        exchange.on_disconnect = lambda _: self._handle_disconnect(call_id)
        self.answer_due_calls()

    def _handle_disconnect(self, call_id: int) -> None:
        self._pending_calls.pop(call_id, None)
        self._registry.cancel_call(call_id)

    def answer_due_calls(self) -> None:
        """Send the answers that are due, and schedule the next check for when the registry has more."""
        now_us = self._clock.now_us()
        for answer in self._registry.advance(now_us):
            pending_call = self._pending_calls.pop(answer.call_id, None)
            if pending_call is not None:
                self._send_answer(now_us, *pending_call, answer)
        for known_at_us, entry in self._registry.published:
            self._evaluator.entry_published(known_at_us, entry)
        self._registry.published.clear()
        if self._timer is not None:
            self._timer.cancel()
        due_us = self._registry.next_us(now_us)
        self._timer = self._clock.call_at(due_us, self.answer_due_calls) if due_us is not None else None

    def _send_answer(
        self, now_us: int, sidecar_plan: SidecarPlan, exchange: Exchange, answer: CallResult
    ) -> None:
        exchange.on_disconnect = None
        if answer.listing is None:
            self._evaluator.list_received(now_us, sidecar_plan.name, None)
            exchange.respond(503)
            return
        body = msgspec.json.encode(self.list_document(sidecar_plan, answer.listing))
        if answer.delivery is Delivery.WHOLE:
            self._evaluator.list_received(now_us, sidecar_plan.name, answer.listing)
            exchange.respond(200, body)
            return
        self._evaluator.list_received(now_us, sidecar_plan.name, None)
        response = render_response(200, [], body)
        exchange.write(response[: len(response) - len(body) // 2 - 1])
        if answer.delivery is Delivery.BREAKS_OFF:
            exchange.reset()
