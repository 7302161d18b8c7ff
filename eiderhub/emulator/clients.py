"""Callers of sidecars: the scenario's clients, through the front, and endpoints that call the next tier."""

from __future__ import annotations

from collections.abc import Callable

from eiderhub.emulator.clock import Clock
from eiderhub.emulator.endpoint_servers import RequestInfo, RequestTable
from eiderhub.emulator.outgoing_request import OutgoingRequest, classify_status, render_request
from eiderhub.http1 import ConnectionPool, Reply
from eiderhub.world.clients import ClientRequest, End, next_try_us, try_timeout_us
from eiderhub.world.day import Day, SidecarPlan
from eiderhub.world.evaluation import Evaluator, InterruptedOutcome
from eiderhub.world.front_balancer import FrontBalancer

REQUEST_BODY = b"x" * 200


class Target:
    """One sidecar and the connection pool that its callers share."""

    def __init__(self, sidecar_plan: SidecarPlan, host: str, port: int) -> None:
        self.sidecar_plan = sidecar_plan
        self.pool = ConnectionPool(host, port)
        self.killed = False  # its last process was killed: lost requests are not counted against it


class Try(OutgoingRequest):
    """One try: a request to one sidecar, whose progress and outcome are reported to the evaluator."""

    def __init__(
        self,
        clock: Clock,
        evaluator: Evaluator,
        requests: RequestTable,
        target: Target,
        request: RequestInfo,
        timeout_us: int,
        is_retry: bool,
        on_finished: Callable[[End, int], None],
    ) -> None:
        self._evaluator = evaluator
        self._requests = requests
        self._target = target
        self._request = request
        self._on_finished = on_finished
        self._written = False
        self.request_id = requests.register(request)
        data = render_request(
            self.request_id,
            request.request_class.name,
            request.request_class.spec.effect,
            max(1, timeout_us // 1000),
            request.tenant,
            request.idempotency_key,
            REQUEST_BODY,
            is_retry,
        )
        super().__init__(clock, target.pool, data, clock.now_us() + timeout_us)

    def on_written(self) -> None:
        self._written = True
        self._evaluator.request_sent(
            self.request_id, self._target.sidecar_plan.name, self._request.request_class
        )

    def classify_reply(self, reply: Reply) -> End:
        produced = self._requests.has_body(self.request_id, reply.body)
        self._evaluator.answer_received(self.clock.now_us(), self.request_id, reply.status, produced)
        end = classify_status(reply.status)
        return End.FAILED if end is End.SERVED and not produced else end

    def should_resend(self, first: bool) -> bool:
        return (
            self._evaluator.connection_ended(self.clock.now_us(), self.request_id, first, self._target.killed)
            is InterruptedOutcome.UNREAD
        )

    def on_cancelled(self) -> None:
        if self._written:
            self._evaluator.client_gave_up(self.request_id)

    def on_finished(self, end: End, reply: Reply | None) -> None:
        self._on_finished(end, reply.retry_after_us if reply is not None else 0)


class ScenarioClients:
    """The scenario's clients; each client request is tried, and retried, until it has an outcome."""

    def __init__(
        self,
        day: Day,
        clock: Clock,
        evaluator: Evaluator,
        requests: RequestTable,
        front: FrontBalancer,
        targets: dict[str, Target],
    ) -> None:
        self._day = day
        self._clock = clock
        self._evaluator = evaluator
        self._requests = requests
        self._front = front
        self._targets = targets
        self.in_flight: set[ClientRequest] = set()
        self.tries_in_flight: dict[ClientRequest, Try] = {}
        self.finished_count = 0
        self.served_count = 0

    def start(self, client_request: ClientRequest) -> None:
        """Send the client request's first try."""
        self.in_flight.add(client_request)
        self._evaluator.add_client_request(client_request)
        self._start_try(client_request)

    def _has_idle_connection(self, sidecar_name: str) -> bool:
        return bool(self._targets[sidecar_name].pool.idle)

    def _start_try(self, client_request: ClientRequest) -> None:
        now_us = self._clock.now_us()
        client_request.tries += 1
        sidecar_name = self._front.choose(now_us, client_request.zone, self._has_idle_connection)
        timeout_us = try_timeout_us(self._day, client_request, now_us)
        if sidecar_name is None:
            self._on_try_finished(client_request, End.UNREACHABLE, 0)
            return
        request = RequestInfo(
            client_request.request_class,
            client_request.work_us,
            client_request.tenant,
            client_request.key,
            now_us + timeout_us,
        )
        self.tries_in_flight[client_request] = Try(
            self._clock,
            self._evaluator,
            self._requests,
            self._targets[sidecar_name],
            request,
            timeout_us,
            client_request.tries > 1 and self._day.scenario.clients.marks_retry,
            lambda end, retry_after_us: self._on_try_finished(client_request, end, retry_after_us),
        )

    def _on_try_finished(self, client_request: ClientRequest, end: End, retry_after_us: int) -> None:
        now_us = self._clock.now_us()
        self.tries_in_flight.pop(client_request, None)
        client_request.try_ends.append(end)
        retry_at_us = next_try_us(self._day, client_request, now_us, end, retry_after_us)
        if retry_at_us is not None:
            self._clock.call_at(retry_at_us, self._start_try, client_request)
            return
        client_request.ended_us, client_request.end = now_us, end
        self.in_flight.discard(client_request)
        self.finished_count += 1
        self.served_count += client_request.served
