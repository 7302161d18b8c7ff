"""Endpoints on sockets; each listens on a separate address per sidecar, which identifies the caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from eiderhub.emulator.clock import Clock
from eiderhub.emulator.listeners import Listener
from eiderhub.http1 import Exchange
from eiderhub.interface import Effect
from eiderhub.world.clients import draw_call_count, draw_endpoint_work_us
from eiderhub.world.day import Day, EndpointPlan, RequestClassPlan, SidecarPlan
from eiderhub.world.endpoint import (
    ColdOverload,
    DedupGroup,
    Endpoint,
    EndpointRequest,
    NextTierCall,
    Offer,
    RequestEnded,
    State,
)
from eiderhub.world.evaluation import Evaluator
from eiderhub.world.network import Network

MIN_DELAY_US = 300  # shorter delays are skipped: the lateness of a timer would exceed them
DECLINED_HEADER = (b"Srv-Declined", b"1")


@dataclass(frozen=True, slots=True)
class RequestInfo:
    """What the emulator knows about a request id, whether its own client or an external one sent it."""

    request_class: RequestClassPlan
    work_us: float  # of the whole client request, from which each tier's work is derived
    tenant: str | None
    idempotency_key: str | None
    deadline_us: int


class RequestTable:
    """All requests of the day by id, and the response bodies that endpoints have produced for them."""

    def __init__(self) -> None:
        self._requests: dict[bytes, RequestInfo] = {}
        self._bodies: dict[bytes, set[bytes]] = {}
        self._serial = 0

    def register(self, request: RequestInfo) -> str:
        """Register a request; returns its new id of 16 hexadecimal digits."""
        self._serial += 1
        request_id = f"{(self._serial * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF:016x}"
        self._requests[request_id.encode()] = request
        return request_id

    def find(self, request_id: bytes) -> RequestInfo | None:
        return self._requests.get(request_id)

    def add(self, request_id: bytes, request: RequestInfo) -> None:
        """Register a request of an external client under the id that it has."""
        self._requests[request_id] = request

    def remove_expired(self, before_us: int) -> list[str]:
        """Remove the requests whose deadline was before this time; returns their ids."""
        expired = [
            request_id for request_id, request in self._requests.items() if request.deadline_us < before_us
        ]
        for request_id in expired:
            del self._requests[request_id]
            self._bodies.pop(request_id, None)
        return [request_id.decode("latin-1") for request_id in expired]

    def create_body(self, request_id: bytes, endpoint: str) -> bytes:
        """Create and record the body of an endpoint's response to the request."""
        body = request_id + b" " + endpoint.encode()
        self._bodies.setdefault(request_id, set()).add(body)
        return body

    def has_body(self, request_id: str, body: bytes) -> bool:
        """Whether an endpoint has produced this body for this request."""
        return body in self._bodies.get(request_id.encode(), ())


class _Attempt:
    """An attempt that has reached an endpoint."""

    __slots__ = ("cancel_call", "exchange", "request", "request_id", "sidecar_plan")

    def __init__(
        self, exchange: Exchange, sidecar_plan: SidecarPlan, request: RequestInfo, request_id: bytes
    ) -> None:
        self.exchange = exchange
        self.sidecar_plan = sidecar_plan
        self.request = request
        self.request_id = request_id
        self.cancel_call: Callable[[], None] | None = None  # cancels its call to the next tier


# Registers a request of an external client at the front; returns None if it is not a valid one.
AdoptRequest = Callable[[Exchange, SidecarPlan], RequestInfo | None]
# Calls the next tier for an endpoint and later reports whether it was served; returns its cancel function.
CallNextTier = Callable[[EndpointPlan, RequestInfo, Callable[[bool], None]], Callable[[], None]]


class EndpointServer:
    """One endpoint: its listeners, its attempts, and the simulated endpoint that schedules their work."""

    def __init__(
        self,
        day: Day,
        endpoint: Endpoint,
        sidecar_plans: list[SidecarPlan],
        host: str,
        clock: Clock,
        network: Network,
        evaluator: Evaluator,
        requests: RequestTable,
        dedup_groups: Mapping[tuple[str, str], DedupGroup],
        call_next: CallNextTier,
        on_overload: Callable[[EndpointPlan], None],
        adopt: AdoptRequest,
    ) -> None:
        self.plan = endpoint.plan
        self.endpoint = endpoint
        self._day = day
        self._clock = clock
        self._network = network
        self._evaluator = evaluator
        self._requests = requests
        self._dedup_groups = dedup_groups
        self._call_next = call_next
        self._on_overload = on_overload
        self._adopt = adopt
        self._rng = day.rng(f"machine {self.plan.id}")
        self._attempts: dict[int, _Attempt] = {}
        self._last_token = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_us = 0
        self._blackholed = False
        self.listeners = {
            sidecar_plan.name: Listener(
                host, self._server_for(sidecar_plan), clock.now_us, self._on_connection
            )
            for sidecar_plan in sidecar_plans
        }
        self._zones = {sidecar_plan.name: sidecar_plan.zone for sidecar_plan in sidecar_plans}

    async def open(self) -> None:
        """Start listening for all sidecars."""
        for listener in self.listeners.values():
            await listener.open()

    def _server_for(self, sidecar_plan: SidecarPlan) -> Callable[[Exchange], None]:
        return lambda exchange: self._on_request(sidecar_plan, exchange)

    # --- incoming requests ---

    def _on_connection(self) -> None:
        self.endpoint.handshake(self._clock.now_us())

    def _on_request(self, sidecar_plan: SidecarPlan, exchange: Exchange) -> None:
        """Handle a request whose last byte has been read."""
        now_us = self._clock.now_us()
        if self._blackholed or not self._network.delivers(sidecar_plan.zone, self.plan.zone):
            return  # an unreachable host does not answer
        request_id = exchange.headers.get(b"req-id")
        if request_id is None:
            exchange.respond(404)
            return
        request = self._requests.find(request_id) or self._adopt(exchange, sidecar_plan)
        request_id_text = request_id.decode("latin-1")
        is_expected = self._evaluator.attempt_arrived(
            now_us, exchange.started_us, request_id_text, sidecar_plan.name, self.plan
        )
        if request is None or not is_expected or not _matches_request(exchange, request):
            exchange.respond(400)
            return
        self._evaluator.call_made(sidecar_plan.zone, self.plan.zone)
        delay_us = self._network.one_way_us(sidecar_plan.zone, self.plan.zone)
        if exchange.is_first:  # the simulated connection set-up precedes the first request
            delay_us += int(2 * self.plan.handshake_rtts * delay_us)
        attempt = _Attempt(exchange, sidecar_plan, request, request_id)
        exchange.on_disconnect = lambda _: self._on_disconnect(None, attempt)
        if delay_us < MIN_DELAY_US:
            self._offer(attempt)
        else:
            self._clock.call_at(now_us + delay_us, self._offer, attempt)

    def _offer(self, attempt: _Attempt) -> None:
        if attempt.exchange.finished:
            return
        now_us = self._clock.now_us()
        self._last_token += 1
        token = self._last_token
        request = attempt.request
        call_count = draw_call_count(self._day, self.plan.tier, self._rng)
        own_work_us = draw_endpoint_work_us(self._day, self.plan, request.work_us, self._rng)
        endpoint_request = EndpointRequest(
            token,
            own_work_us,
            call_count,
            request.idempotency_key,
            self._dedup_groups.get((self.plan.id, request.request_class.name)),
        )
        start_known = self._evaluator.knows_start(
            attempt.sidecar_plan.name, self.plan.id, self.endpoint.started_us
        )
        connection_count = sum(len(listener.connections) for listener in self.listeners.values())
        offer = self.endpoint.offer(now_us, endpoint_request, start_known, connection_count)
        if offer is Offer.TAKEN:
            self._attempts[token] = attempt
            attempt.exchange.on_disconnect = lambda _: self._on_disconnect(token, attempt)
        elif offer is Offer.DECLINED:
            self._on_attempt_finished(attempt, never_ran=True)
            self._deliver(attempt, lambda: attempt.exchange.respond(503, b"", DECLINED_HEADER))
        else:
            self._on_attempt_finished(attempt)
            attempt.exchange.reset()
        self.advance()

    def _on_attempt_finished(self, attempt: _Attempt, never_ran: bool = False) -> None:
        """Report the attempt as ended; a later disconnect of its caller has no effect."""
        attempt.exchange.on_disconnect = None
        self._evaluator.attempt_ended(attempt.request_id.decode(), self.plan, never_ran)

    def _on_disconnect(self, token: int | None, attempt: _Attempt) -> None:
        """Handle the disconnect of a sidecar, which cancels its attempt."""
        self._on_attempt_finished(attempt)
        if token is not None and self._attempts.pop(token, None) is not None:
            if attempt.cancel_call is not None:
                attempt.cancel_call()
            self.endpoint.cancel(self._clock.now_us(), token)
            self.advance()

    # --- calls and responses ---

    def advance(self) -> None:
        """Advance the endpoint to the present, carry out its outputs, and set a timer for its next step.

        Must be called after each change of the endpoint's state.
        """
        now_us = self._clock.now_us()
        for output in self.endpoint.advance(now_us):
            if isinstance(output, ColdOverload):
                self._evaluator.cold_overload(now_us, self.plan.id, output)
                self.stop_listening()
                self._on_overload(self.plan)
                continue
            assert isinstance(output.token, int)
            attempt = self._attempts.get(output.token)
            if attempt is None:
                continue
            if isinstance(output, NextTierCall):
                attempt.cancel_call = self._call_next(
                    self.plan,
                    attempt.request,
                    lambda served, t=output.token: self._on_call_finished(t, served),  # type: ignore[misc]
                )
            else:
                self._complete(attempt, output)
        self._set_timer()

    def _set_timer(self) -> None:
        now_us = self._clock.now_us()
        due_us = self.endpoint.next_us(now_us)
        if self._timer is not None:
            if due_us is not None and due_us == self._timer_at_us and due_us > now_us:
                return
            self._timer.cancel()
            self._timer = None
        if due_us is not None:
            self._timer_at_us = due_us
            self._timer = self._clock.call_at(due_us, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.advance()

    def _on_call_finished(self, token: int, served: bool) -> None:
        attempt = self._attempts.get(token)
        if attempt is not None:
            attempt.cancel_call = None
            self.endpoint.call_ended(self._clock.now_us(), token, served)
            self.advance()

    def _complete(self, attempt: _Attempt, answer: RequestEnded) -> None:
        assert isinstance(answer.token, int)
        del self._attempts[answer.token]
        self._on_attempt_finished(attempt)
        if answer.served:
            body = self._requests.create_body(attempt.request_id, self.plan.id)
            self._deliver(attempt, lambda: attempt.exchange.respond(200, body))
        else:
            self._deliver(attempt, lambda: attempt.exchange.respond(500))

    def _deliver(self, attempt: _Attempt, send_answer: Callable[[], None]) -> None:
        """Send an answer with the network's delay; it is lost if the network is cut."""
        if self._blackholed or not self._network.delivers(self.plan.zone, attempt.sidecar_plan.zone):
            return
        delay_us = self._network.one_way_us(self.plan.zone, attempt.sidecar_plan.zone)
        if delay_us < MIN_DELAY_US:
            send_answer()
        else:
            self._clock.call_at(self._clock.now_us() + delay_us, send_answer)

    # --- stops, starts and network changes ---

    def terminate(self, silent: bool = False) -> None:
        """End the endpoint's process; if `silent`, its host vanishes and connections are not even reset."""
        self._cancel_calls()
        self._attempts.clear()
        self.endpoint.crash(self._clock.now_us())
        self._blackholed = silent
        if silent:
            for listener in self.listeners.values():
                listener.blackhole()
        else:
            self.stop_listening()

    def stop_listening(self) -> None:
        """Refuse new connections and reset open ones; attempts and their calls are dropped."""
        self._cancel_calls()
        self._attempts.clear()
        for listener in self.listeners.values():
            listener.stop_listening()

    def _cancel_calls(self) -> None:
        for attempt in self._attempts.values():
            if attempt.cancel_call is not None:
                attempt.cancel_call()
                attempt.cancel_call = None

    async def start(self) -> None:
        """Start a new process on the same addresses, without warm-up."""
        self._blackholed = False
        for listener in self.listeners.values():
            for connection in list(listener.connections):
                connection.reset()
            await listener.open()
        self.endpoint.start(self._clock.now_us())

    async def apply_network(self) -> None:
        """Apply a network change: blackhole the listeners of unreachable sidecars, and reopen the others."""
        if self.endpoint.state is State.DOWN:
            return
        for name, listener in self.listeners.items():
            if self._network.can_connect(self._zones[name], self.plan.zone):
                await listener.open()
            elif not listener.is_blackholed:
                listener.blackhole()

    def close(self) -> None:
        """Cancel the timer and close all listeners."""
        if self._timer is not None:
            self._timer.cancel()
        for listener in self.listeners.values():
            listener.close()


def _matches_request(exchange: Exchange, request: RequestInfo) -> bool:
    """Whether method, path and idempotency key are those that the client sent."""
    idempotent = request.request_class.spec.effect is Effect.IDEMPOTENT
    idempotency_key = exchange.headers.get(b"idempotency-key")
    return (
        exchange.method == (b"GET" if idempotent else b"POST")
        and exchange.url == b"/" + request.request_class.name.encode()
        and idempotency_key
        == (request.idempotency_key.encode() if request.idempotency_key is not None else None)
    )
