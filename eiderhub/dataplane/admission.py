"""Admission control of one service: executes the actions of the balancer and reports their outcomes to it.

The balancer makes the load-balancing decisions. This module only enforces what the protocol limits: a call's
deadline, and the endpoints on which it may run.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Mapping, Sequence
from functools import partial
from typing import Protocol

import picologging as logging

from eiderhub.balancer import Balancer
from eiderhub.control.errors import ErrorKind
from eiderhub.control.messages import EndpointRecord
from eiderhub.dataplane.activity import EndpointActivity
from eiderhub.dataplane.endpoint_connections import EndpointPool, Exchange, Headers
from eiderhub.dataplane.events import NO_EVENT_ID, Event, EventParser, is_event_stream
from eiderhub.dataplane.response_verdict import (
    FIRST_ERROR_STATUS,
    CallProgress,
    Response,
    Verdict,
    accepts_stream,
    judge,
)
from eiderhub.dataplane.routes import Route
from eiderhub.interface import (
    Effect,
    Endpoint,
    Limits,
    ListForm,
    Memory,
    Outcome,
    PoolMemory,
    Readiness,
    RequestClass,
    Ring,
    Settings,
    Tenant,
)
from eiderhub.request_head import field_line, is_identifier
from eiderhub.sidecar.clock import Alarm, now_us
from eiderhub.transport.traffic import TRAFFIC

MIN_CREDIT, CREDIT_PER_PRIORITY = 0.1, 0.35  # credit of a class, 1.0 at the highest priority (0)
# Target latency given to the balancer, relative to the objective. The balancer infers stress from half of its
# target on, and with long prompts a first event takes that much of its objective even on a healthy endpoint.
AIM_FACTOR = 1.6
LATE_SHARE = 0.3  # value of a late response relative to one in time: late calls are served if there is room
MAX_RETRY_AFTER_US = 400_000
INITIAL_CAPACITY_SHARE = 1.0  # initial concurrency limit of all sidecars together, of an endpoint's capacity
INITIAL_LATENCY_SHARE = 0.12  # initial estimate of the median latency, as a share of the target
# Share of other zones' capacity that this zone may use: all of it, because the calls in flight of all
# sidecars are known and decide which calls go to another zone.
REMOTE_PART = 1.0
# With fewer ready endpoints in its own zone, a sidecar treats the endpoints of all zones as one zone.
# Otherwise too few endpoints would process all prompts of a burst in this zone, while others process none.
MIN_LOCAL_ENDPOINTS = 5
MAX_ATTEMPTS = 3  # per call, including attempts that an endpoint rejected
MAX_BODY_BYTES = 1 << 20  # of a response that is not a stream
DEFAULT_TENANT = "default"
BATCH_TENANT = "batch"
TOKENS_PER_ITEM = 1_000  # for converting a token quota to a rate of items
NOT_EXECUTED_HEADER, SIGNATURE_HEADER = b"not-executed", b"response-signature"
INTERNAL_ERROR_STATUS = 500
# What the balancer is told of an attempt, and whether the endpoint may have executed it.
OUTCOMES = {
    Verdict.COMPLETED: (Outcome.OK, True),
    Verdict.ANSWERED: (Outcome.OK, True),
    Verdict.FAILED: (Outcome.ERROR, True),
    Verdict.NOT_EXECUTED: (Outcome.FULL, False),
    Verdict.WRONG_INSTANCE: (Outcome.CONNECT_FAILED, False),
}
PEER_CALLS_TTL_US = 1_000_000  # age at which a report of other sidecars' calls is ignored

log = logging.getLogger("admission")


def class_name(route: Route) -> str:
    """The balancer's class of this route; routes that differ in nothing else share a class."""
    return f"{route.kind}/{route.priority}/{route.slo_ms:g}/{route.timeout_ms:g}/{route.repeatable:d}"


def request_class(route: Route) -> RequestClass:
    credit = max(MIN_CREDIT, 1.0 - CREDIT_PER_PRIORITY * route.priority)
    return RequestClass(
        name=class_name(route),
        aim_us=max(1, int(route.slo_ms * 1000 * AIM_FACTOR)),
        deadline_us=max(1, int(route.timeout_ms * 1000)),
        effect=Effect.IDEMPOTENT if route.repeatable else Effect.AT_MOST_ONCE,
        credit=credit,
        late_share=LATE_SHARE,
        streaming=route.kind in ("streaming", "batch"),
    )


def batch_tenant(route: Route) -> Tenant:
    """The rate limit of a batch route's items: a full queue has to be served within its completion window."""
    per_s = route.max_queued_tokens / TOKENS_PER_ITEM / (route.window_ms / 1000)
    return Tenant(f"{BATCH_TENANT} {route.name}", quota_per_s=per_s)


class ResponseSink(Protocol):
    """Receives the response to a call.

    Exactly one of `finish`, `abort` (the stream ended early), `answer` and `refuse` is called, as its end.
    """

    def begin(self, headers: Headers) -> None:
        """A stream starts; its events follow, then `finish` or `abort`."""

    def event(self, event: Event) -> None: ...

    def finish(self) -> None: ...

    def abort(self) -> None: ...

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """An endpoint's response that is not a stream."""

    def refuse(self, kind: ErrorKind, retry_after_us: int) -> None:
        """No endpoint gave a response; NOT_READY guarantees that the call has not run and will not run."""


class Call:
    """One request that has not ended yet."""

    __slots__ = (
        "attempt_count",
        "balancer",
        "continuation_refused",
        "current_attempt",
        "deadline_timer",
        "deadline_us",
        "exchange",
        "has_unnumbered_output",
        "is_item",
        "key",
        "last_event_id",
        "no_further_attempts",
        "possible_runs",
        "request",
        "request_id",
        "response",
        "response_started",
        "route",
        "server_errors",
        "sink",
        "tenant",
        "tokens",
    )  # fmt: skip

    def __init__(
        self,
        key: str,
        route: Route,
        request_id: bytes,
        request: tuple[bytes, bytes],
        deadline_us: int,
        tenant: str,
        tokens: tuple[int, int],
        sink: ResponseSink,
    ) -> None:
        self.key = key
        self.route = route
        self.is_item = route.kind == "batch"
        self.request_id = request_id
        self.request = request  # request line and headers; body
        self.deadline_us = deadline_us
        self.tenant = tenant
        self.tokens = tokens  # of the prompt, and the output limit
        self.sink = sink
        self.balancer: Balancer | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.attempt_count = 0
        self.current_attempt: Attempt | None = None  # the attempt in progress
        self.exchange: Exchange | None = None
        self.last_event_id = NO_EVENT_ID
        self.has_unnumbered_output = False  # events without an id, which no Last-Event-Id accounts for
        self.response_started = False
        self.possible_runs = 0  # attempts that an endpoint may have executed
        self.server_errors = 0  # responses with status 500
        self.no_further_attempts = False  # the route now leads to another service
        self.response: tuple[int, Headers, bytes] | None = None  # the last one that was not a stream
        self.continuation_refused = False  # an endpoint gave no event after `last_event_id`, without failing

    @property
    def progress(self) -> CallProgress:
        return CallProgress(self.response_started, self.is_item, self.is_item or self.route.repeatable)

    @property
    def can_continue(self) -> bool:
        """Whether another attempt may follow: a stream that has begun has to say where it goes on."""
        return not self.response_started or (self.resume_point != NO_EVENT_ID and self.resumes_streams)

    @property
    def resumes_streams(self) -> bool:
        return self.is_item or self.route.resumes_streams

    @property
    def resume_point(self) -> int:
        """The event after which another attempt can continue; NO_EVENT_ID if there is none."""
        return NO_EVENT_ID if self.has_unnumbered_output else self.last_event_id

    @property
    def traffic_kind(self) -> str:
        """The label under which traffic with endpoints is counted."""
        return "item" if self.is_item else "request"


class Attempt:
    """One attempt of a call; the listener of its exchange."""

    def __init__(self, admission: Admission, call: Call, number: int, endpoint: str, now_us: int) -> None:
        self._admission = admission
        self._call = call
        self.number = number
        self.endpoint = endpoint
        self.started_us = now_us
        self._first_event_us = 0
        self._status = 0
        self._headers: Headers = ()
        self._body: list[bytes] = []
        self._body_size = 0
        self._parser: EventParser | None = None
        self._event_count = 0  # with an id or data
        self._continues = call.last_event_id != NO_EVENT_ID  # asked for the rest of a stream
        self.finished = False
        self._activity = admission.activity(endpoint)
        self._activity.on_sent(call.tokens[0])
        self._is_cross_zone = admission.is_cross_zone(endpoint)

    def on_head(self, status: int, headers: Headers, reused: bool) -> None:
        self._count_received(sum(len(name) + len(value) for name, value in headers))
        headers_by_name = {name.lower(): value for name, value in headers}
        if not self._matches_request(headers_by_name.get(b"request-id"), status, reused):
            self._abort_exchange()
            return
        self._status, self._headers = status, headers
        if status == 200 and is_event_stream(headers_by_name.get(b"content-type", b"")):
            if not accepts_stream(SIGNATURE_HEADER in headers_by_name, self._call.progress):
                self._abort_exchange()
                return
            self._parser = EventParser()

    def _count_received(self, size: int) -> None:
        if self._is_cross_zone:
            TRAFFIC.count_received(self._call.traffic_kind, size)

    def count_sent(self, size: int) -> None:
        """Count the bytes of the request if it goes to another zone."""
        if self._is_cross_zone:
            TRAFFIC.count_sent(self._call.traffic_kind, size)

    def _matches_request(self, response_id: bytes | None, status: int, reused: bool) -> bool:
        """Whether the response belongs to this request: endpoints echo its id.

        An error without an id is accepted only on a connection that has carried no other request. On a reused
        connection it may be a late second response to the previous request.
        """
        if response_id is None:
            return not self._call.request_id or (status >= 300 and not reused)
        return response_id == self._call.request_id

    def on_data(self, data: bytes) -> None:
        if self.finished:
            return
        self._count_received(len(data))
        if self._parser is None:
            self._body_size += len(data)
            if self._body_size > MAX_BODY_BYTES:
                self._abort_exchange()
                return
            self._body.append(data)
            return
        for event in self._parser.feed(data):
            if not self._accept_event(event):
                self._note_refused_continuation()
                self._abort_exchange()
            if self.finished:
                return
        if self._parser.is_oversized:
            self._abort_exchange()

    def _accept_event(self, event: Event) -> bool:
        call = self._call
        self._admission.response_count += 1
        if event.is_numbered:
            if call.last_event_id not in (NO_EVENT_ID, event.id - 1):
                return False
            call.last_event_id = event.id
        elif event.has_output:
            if self._continues:
                return False  # nothing says that it is the next one
            call.has_unnumbered_output = True
        if event.has_output:
            self._event_count += 1
            call.continuation_refused = False
        now = self._admission.now_us()
        if self._first_event_us:
            self._activity.on_event(now)
        else:
            self._first_event_us = now
            self._activity.on_first_event(now, call.tokens[0])
        if not call.response_started:
            call.response_started = True
            call.sink.begin(self._headers)
        call.sink.event(event)
        return True

    def on_end(self) -> None:
        if self.finished:
            return
        self._admission.response_count += 1
        call = self._call
        verdict = judge(self._response(), call.progress)
        if self._parser is None and verdict in (Verdict.ANSWERED, Verdict.FAILED):
            call.response = (self._status, self._headers, b"".join(self._body))
            call.server_errors += self._status == INTERNAL_ERROR_STATUS
        if verdict not in (Verdict.NOT_EXECUTED, Verdict.WRONG_INSTANCE):
            self._note_refused_continuation()
        if verdict is Verdict.BROKEN:
            self._abort_exchange()
        else:
            outcome, may_have_run = OUTCOMES[verdict]
            self._end(outcome, may_have_run, verdict)

    def _response(self) -> Response:
        names = {name.lower() for name, _ in self._headers}
        return Response(
            status=self._status,
            is_stream=self._parser is not None,
            event_count=self._event_count,
            ends_in_event=self._parser is not None and self._parser.has_partial_event,
            signed=SIGNATURE_HEADER in names,
            not_executed=NOT_EXECUTED_HEADER in names,
        )

    def _note_refused_continuation(self) -> None:
        """Note that an endpoint was asked for the rest of a stream and gave none of it, without failing."""
        if self._continues and self._event_count == 0 and self._status < FIRST_ERROR_STATUS:
            self._call.continuation_refused = True

    def on_failed(self, may_have_been_sent: bool) -> None:
        if not self.finished:
            self._end(Outcome.RESET if may_have_been_sent else Outcome.CONNECT_FAILED, may_have_been_sent)

    def _abort_exchange(self) -> None:
        exchange = self._call.exchange
        if exchange is not None:
            exchange.cancel()
        self.on_failed(True)

    def release_load(self) -> None:
        """Remove this attempt from the endpoint's estimated load."""
        self._activity.on_ended(self._call.tokens[0], self._first_event_us > 0)

    def _end(self, outcome: Outcome, may_have_run: bool, verdict: Verdict = Verdict.BROKEN) -> None:
        self.finished = True
        self.release_load()
        latency_us = max(1, (self._first_event_us or self._admission.now_us()) - self.started_us)
        self._admission.on_attempt_ended(self._call, self, outcome, may_have_run, latency_us, verdict)


class Admission:
    """Implements the balancer's `Actions` for one service."""

    def __init__(
        self, service: str, capacity: int, zone: str, rng: random.Random, regions: Mapping[str, str]
    ) -> None:
        self._service = service
        self._capacity = capacity
        self._zone = zone
        self._regions = regions  # by zone
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._calls: dict[str, Call] = {}
        self._pools: dict[str, EndpointPool] = {}
        self._activities: dict[str, EndpointActivity] = {}
        self._records: list[EndpointRecord] = []
        self._zones: dict[str, str] = {}  # by endpoint
        self._capacities: dict[str, int] = {}  # concurrent calls by endpoint; 0 if unknown
        self._peer_calls: Mapping[str, int] = {}  # calls in flight of other sidecars, by endpoint
        self._peer_calls_at_us = -PEER_CALLS_TTL_US
        self._classes: dict[str, RequestClass] = {}
        self._tenants: dict[str, Tenant] = {}  # of batch routes
        self._fleet = (0, 1)  # rank, sidecars
        self._seeded = False
        self._balancer: Balancer | None = None  # used for new calls
        self._balancers: list[Balancer] = []  # the current one, and earlier ones that still have calls
        self.refused_count = 0
        self.response_count = 0  # events and responses received from endpoints

    @staticmethod
    def now_us() -> int:
        return now_us()  # not loop.time(), which does not advance while a callback runs

    @property
    def busy(self) -> bool:
        """Whether any call has not ended."""
        return bool(self._calls)

    def metrics(self) -> list[tuple[str, int]]:
        """Metrics of this service; `instances` counts the balancers in use."""
        return [
            ("calls", len(self._calls)),
            ("calls_held", sum(balancer.queue.count for balancer in self._balancers)),
            ("instances", len(self._balancers)),
            ("endpoints", len(self._records)),
            ("sweep_overdue_ms", self._sweep_overdue_us(self.now_us()) // 1000),
        ]

    def _sweep_overdue_us(self, now_us: int) -> int:
        """How late the most overdue sweep of a hold queue is; 0 if none is overdue."""
        return max((max(0, now_us - b.sweep_at) for b in self._balancers if b.sweep_at >= 0), default=0)

    def is_cross_zone(self, endpoint: str) -> bool:
        """Whether traffic to the endpoint leaves this zone."""
        return TRAFFIC.is_cross_zone(self._zones.get(endpoint, ""))

    def activity(self, endpoint: str) -> EndpointActivity:
        return self._activities.setdefault(endpoint, EndpointActivity())

    def _update_weights(self, balancer: Balancer, now_us: int) -> None:
        """Make the balancer compare two candidates by estimated load, not only by its calls in flight."""
        peer_calls = self._peer_calls if now_us - self._peer_calls_at_us <= PEER_CALLS_TTL_US else {}
        for identity, state in balancer.endpoints.items():
            activity = self._activities.get(identity)
            if activity is not None:
                capacity = self._capacities.get(identity, 0)
                calls_from_peers = peer_calls.get(identity, 0)
                state.weight = (state.in_flight + 1) / activity.load(now_us, calls_from_peers, capacity)
                state.usage = (
                    (calls_from_peers + activity.calls_in_flight + 1) / capacity if capacity else 0.0
                )

    def calls_in_flight(self) -> dict[str, int]:
        """This sidecar's calls in flight by endpoint, without endpoints that have none."""
        return {
            identity: a.calls_in_flight for identity, a in self._activities.items() if a.calls_in_flight > 0
        }

    def update_peer_calls(self, calls: Mapping[str, int]) -> None:
        """Set the calls in flight of all other sidecars, by endpoint."""
        self._peer_calls = calls
        self._peer_calls_at_us = self.now_us()
        for balancer in self._active_balancers():
            if balancer.queue.count:
                self._update_weights(balancer, self._peer_calls_at_us)

    # --- updates from the control plane ---

    def update_routes(self, routes: Sequence[Route], capacity: int) -> None:
        """Set the routes to this service; new request classes or tenants need a new balancer."""
        self._capacity = capacity
        routes_by_class = {class_name(route): route for route in routes}
        classes = {name: request_class(route) for name, route in routes_by_class.items()}
        tenants = {route.name: batch_tenant(route) for route in routes if route.kind == "batch"}
        if classes.items() <= self._classes.items() and tenants.items() <= self._tenants.items():
            return
        self._classes = classes
        self._tenants = tenants
        self._replace_balancer()

    def update_fleet(self, rank: int, sidecars: int) -> None:
        if (rank, sidecars) == self._fleet:
            return
        self._fleet = (rank, sidecars)
        for balancer in self._active_balancers():
            balancer.settings = dataclasses.replace(balancer.settings, rank=rank, balancers=sidecars)
            balancer.discovery(self.now_us(), ListForm.DELTA, [])

    def update_endpoints(self, records: list[EndpointRecord]) -> None:
        # Requests name the endpoint in a header; one whose id fits in none cannot be sent anything.
        records = [record for record in records if is_identifier(record.id.encode())]
        if records == self._records:
            return
        self._records = records
        listed = {record.id: record for record in records}
        self._zones = {record.id: record.zone for record in records}
        self._capacities = {record.id: record.capacity or self._capacity for record in records}
        for identity in [i for i in self._pools if i not in listed]:
            self._pools.pop(identity).close()
            self._activities.pop(identity, None)
        for record in records:
            if record.id not in self._pools:
                self._pools[record.id] = EndpointPool(record.address)
                self.activity(record.id)  # before the first call: other sidecars may have calls in flight
        for balancer in self._active_balancers():
            balancer.discovery(self.now_us(), ListForm.FULL, self._balancer_endpoints())
        self._seed_balancer()

    def _active_balancers(self) -> list[Balancer]:
        """The balancers in use, the newest last; an earlier one is dropped once it has no calls.

        Each of them must receive endpoint updates and timers, or the calls in its hold queue would never end.
        """
        self._balancers = [b for b in self._balancers if b.calls or b is self._balancer]
        return self._balancers

    def _balancer_endpoints(self) -> list[Endpoint]:
        local_ready = sum(r.ready and r.zone == self._zone for r in self._records)
        separate_zones = local_ready >= MIN_LOCAL_ENDPOINTS
        return [
            Endpoint(
                r.id,
                r.zone if separate_zones else self._zone,
                "",
                0,
                Readiness.READY if r.ready else Readiness.DRAINING,
            )
            for r in self._records
        ]

    def _replace_balancer(self) -> None:
        rank, sidecars = self._fleet
        settings = Settings(
            classes=tuple(self._classes.values()),
            rank=rank,
            balancers=sidecars,
            zone=self._zone,
            regions=self._regions,
            remote_part=REMOTE_PART,
            zone_verdicts=False,
            tenants=(Tenant(DEFAULT_TENANT), *self._tenants.values()),
            limits=Limits(
                max_attempts=MAX_ATTEMPTS,
                max_retry_after_us=MAX_RETRY_AFTER_US,
                may_cancel=True,
                retry_after=True,
            ),
        )
        now = self.now_us()
        old, new = self._balancer, Balancer(settings, self._rng.randrange(1 << 30), self)
        new.start(now)
        new.discovery(now, ListForm.FULL, self._balancer_endpoints())
        if old is not None:
            new.restore(now, old.learned_state(now))
        self._balancer = new
        self._balancers = [*self._active_balancers(), new]
        self._seed_balancer()

    def _seed_balancer(self) -> None:
        """Seed the first balancer's concurrency limits from the configured endpoint capacity."""
        if self._balancer is None or self._seeded or not self._records:
            return
        self._seeded = True
        initial = PoolMemory(
            1.0, self._capacity * INITIAL_CAPACITY_SHARE, INITIAL_LATENCY_SHARE, INITIAL_LATENCY_SHARE
        )
        self._balancer.restore(self.now_us(), Memory([initial] * len(Ring), []))

    async def reaches_endpoint(self) -> bool:
        """Whether a randomly chosen endpoint accepts a connection."""
        pools = list(self._pools.values())
        return bool(pools) and await self._rng.choice(pools).can_connect()

    def submit(self, call: Call) -> None:
        """Admit a call; its sink is notified of the end, possibly before this returns."""
        if self._balancer is None:
            call.sink.refuse(ErrorKind.NOT_READY, MAX_RETRY_AFTER_US)
            return
        now = self.now_us()
        self._calls[call.key] = call
        call.balancer = self._balancer
        call.deadline_timer = self._loop.call_later(
            max(0.0, (call.deadline_us - now) / 1e6), self.time_out, call
        )
        self._update_weights(self._balancer, now)
        prompt, max_output = call.tokens
        hint_us = prompt * 10 + max_output * 100
        self._balancer.order(
            now, call.key, class_name(call.route), call.tenant, call.deadline_us - now, hint_us
        )

    def abandon(self, call: Call) -> None:
        """Cancel a call whose client has disconnected, without notifying the sink."""
        if self._close_call(call):
            assert call.balancer is not None
            call.balancer.expired(self.now_us(), call.key)
            self._drop_attempt(call, Outcome.CANCELLED)

    def time_out(self, call: Call) -> None:
        """End a call at its deadline; an attempt in progress counts as unanswered by its endpoint."""
        if not self._close_call(call):
            return
        assert call.balancer is not None
        may_have_run = call.possible_runs > 0 or call.current_attempt is not None
        call.balancer.expired(self.now_us(), call.key)
        self._drop_attempt(call, Outcome.TIMEOUT)
        if call.response_started:
            call.sink.abort()
        else:
            call.sink.refuse(ErrorKind.UNCERTAIN if may_have_run else ErrorKind.NOT_READY, 0)

    def time_out_all(self) -> None:
        """End all calls as the process exits: clients get a response instead of a closed connection."""
        for call in list(self._calls.values()):
            self.time_out(call)

    def _drop_attempt(self, call: Call, outcome: Outcome) -> None:
        """Cancel the attempt in progress and report its outcome to the balancer."""
        attempt, call.current_attempt = call.current_attempt, None
        if attempt is None or call.balancer is None:
            return
        attempt.finished = True
        attempt.release_load()
        if call.exchange is not None:
            call.exchange.cancel()
        now = self.now_us()
        spent_us = max(1, now - attempt.started_us)
        call.balancer.reply(now, call.key, attempt.number, attempt.endpoint, spent_us, True, outcome)

    def _close_call(self, call: Call) -> bool:
        """Mark a call as ended; returns False if it had ended already."""
        if self._calls.pop(call.key, None) is None:
            return False
        if call.deadline_timer is not None:
            call.deadline_timer.cancel()
        return True

    # --- outcomes of attempts ---

    def on_attempt_ended(
        self,
        call: Call,
        attempt: Attempt,
        outcome: Outcome,
        may_have_run: bool,
        latency_us: int,
        verdict: Verdict,
    ) -> None:
        balancer = call.balancer
        assert balancer is not None
        call.current_attempt = None
        call.possible_runs += may_have_run
        succeeded = outcome is Outcome.OK
        if succeeded and self._close_call(call):
            if verdict is Verdict.COMPLETED:
                call.sink.finish()
            elif call.response is not None:
                call.sink.answer(*call.response)
        attempts_exhausted = (
            call.no_further_attempts
            or not call.can_continue
            or (may_have_run and call.possible_runs >= call.route.max_attempts)
        )
        if not succeeded and attempts_exhausted and call.key in self._calls:
            self._fail_call(call)
        still_open = call.key in self._calls
        balancer.reply(
            self.now_us(), call.key, attempt.number, attempt.endpoint, latency_us, not still_open, outcome
        )

    def _fail_call(self, call: Call) -> None:
        """End a call that may not be attempted again."""
        if not self._close_call(call):
            return
        if call.response_started:
            call.sink.abort()
        elif call.response is not None:
            call.sink.answer(*call.response)
        else:
            call.sink.refuse(ErrorKind.FAILED, 0)

    # --- the balancer's actions ---

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        pending = self._calls.get(call)
        if pending is None:
            return
        now = self.now_us()
        attempt = Attempt(self, pending, pending.attempt_count, endpoint, now)
        pending.attempt_count += 1
        pending.current_attempt = attempt
        pool = self._pools.get(endpoint)
        if pool is None:
            self._loop.call_soon(attempt.on_failed, False)
            return
        head, body = pending.request
        parts = [head, field_line(b"Expect-Instance", endpoint.encode())]
        parts.append(field_line(b"Timeout-Ms", b"%d" % max(1, (pending.deadline_us - now) // 1000)))
        if pending.last_event_id != NO_EVENT_ID:
            parts.append(field_line(b"Last-Event-Id", b"%d" % pending.last_event_id))
        parts.append(b"\r\n")
        parts.append(body)
        data = b"".join(parts)
        attempt.count_sent(len(data))
        pending.exchange = pool.send(pending.request_id, data, attempt)

    def cancel(self, call: str, attempt: int) -> None:
        """Does nothing: the exchange is cancelled when its call ends."""

    def shed(self, call: str, wait_us: int) -> None:
        pending = self._calls.get(call)
        if pending is None:
            return
        self.refused_count += 1
        # A refusal guarantees that the call has not run, so a call that may have run is failed instead.
        if (
            pending.response_started
            or pending.response is not None
            or (pending.possible_runs and not pending.route.repeatable)
        ):
            self._fail_call(pending)
        elif self._close_call(pending):
            pending.sink.refuse(ErrorKind.NOT_READY, wait_us)

    def surrender(self, call: str) -> None:
        pending = self._calls.get(call)
        if pending is not None:
            self._fail_call(pending)

    def timer(self, delay_us: int, mark: str) -> None:
        # Event loop timers may fire up to one millisecond early. The balancer ignores a wake-up before the
        # requested time and does not request another, so an early timer would stop it for good.
        Alarm(self.now_us() + delay_us, partial(self._wake, mark))

    def _wake(self, mark: str) -> None:
        for balancer in self._active_balancers():
            balancer.wake(self.now_us(), mark)

    def watch(self, on: bool) -> None:
        """Does nothing: the control plane pushes the endpoint list."""

    def close_idle(self, endpoint: str) -> None:
        pool = self._pools.get(endpoint)
        if pool is not None:
            pool.close_idle()

    def write_log(self, text: str, **fields: str | int | float) -> None:
        """Log the balancer's periodic state; other lines are dropped."""
        if text == "state":
            fields |= {"sweep_overdue_ms": self._sweep_overdue_us(self.now_us()) // 1000}
            log.info("%s: %s", self._service, ", ".join(f"{k} {v}" for k, v in fields.items()))
