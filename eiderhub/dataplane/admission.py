"""Admission of one service: carries out what the decisions ask for, and tells them what became of it.

It decides nothing itself but what PROTOCOL bounds: the time a call may take, and the endpoints it may run on.
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
from eiderhub.dataplane.engine import EnginePool, Exchange, Headers
from eiderhub.dataplane.events import Event, EventParser
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
from eiderhub.sidecar.clock import Alarm, now_us
from eiderhub.transport.traffic import TRAFFIC

NO_EVENT = -1
LOWEST_CREDIT, PRIORITY_STEP = 0.1, 0.35  # worth of a class by its priority, against the highest
# What the decisions take to be the latency aimed at, against the objective: they see stress from half of it
# on, and a first event takes that much of its objective where prompts are long and nothing is amiss.
AIM_FACTOR = 1.6
LATE_SHARE = 0.3  # what a late answer is taken to be worth: it is served, if room is left
MOST_RETRY_AFTER_US = 400_000
START_SHARE = 1.0  # of an endpoint's places that all sidecars together begin with
START_MEDIAN = 0.12  # latency as a share of the objective that a new sidecar takes to be usual
REMOTE_PART = 1.0  # of other zones' capacity: what all sidecars have out is known, and decides who crosses
# Ready endpoints in the own zone from which on they are a ring of their own. Danger: fewer read all prompts
# of the zone's clumps of arrivals, while those of other zones have none to read.
LEAST_NEAR = 5
MAX_ATTEMPTS = 3  # sends of one call, those that were turned away included
MOST_BODY = 1 << 20  # of an answer that is no stream
DEFAULT_TENANT = "default"
BATCH_TENANT = "batch"
ITEM_TOKENS = 1_000  # of a batch item, where a quota in tokens is turned into calls
NOT_EXECUTED = b"not-executed"
OTHERS_KEPT_US = 1_000_000  # what other sidecars have out counts for so long after it was told

log = logging.getLogger("admission")


def class_name(route: Route) -> str:
    """Routes of one name are one class to the decisions."""
    return f"{route.kind}/{route.priority}/{route.slo_ms:g}/{route.timeout_ms:g}/{route.repeatable:d}"


def request_class(route: Route) -> RequestClass:
    credit = max(LOWEST_CREDIT, 1.0 - PRIORITY_STEP * route.priority)
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
    """The bucket of a batch route's items: what may wait there has to be served within its window."""
    per_s = route.max_queued_tokens / ITEM_TOKENS / (route.window_ms / 1000)
    return Tenant(f"{BATCH_TENANT} {route.name}", quota_per_s=per_s)


class Sink(Protocol):
    """Who wants a call's answer: told of exactly one end."""

    def begin(self, headers: Headers) -> None:
        """A stream begins; its events follow, then `finish` or `break_off`."""

    def event(self, event: Event) -> None: ...

    def finish(self) -> None: ...

    def break_off(self) -> None: ...

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """An endpoint's own answer that is no stream."""

    def refuse(self, kind: ErrorKind, retry_after_us: int) -> None:
        """None came; NOT_READY: the call has not run and never will."""


class Call:
    """One request that admission owes an end for."""

    __slots__ = (
        "alarm", "attempts", "balancer", "begun", "current", "due_us", "errors", "exchange", "final", "head",
        "key", "last_event", "ran", "request_id", "response", "route", "sink", "tenant", "tokens",
    )  # fmt: skip

    def __init__(
        self,
        key: str,
        route: Route,
        request_id: bytes,
        head: tuple[bytes, bytes],
        due_us: int,
        tenant: str,
        tokens: tuple[int, int],
        sink: Sink,
    ) -> None:
        self.key = key
        self.route = route
        self.request_id = request_id
        self.head = head  # request line and headers; body
        self.due_us = due_us
        self.tenant = tenant
        self.tokens = tokens  # of the prompt, and the most out
        self.sink = sink
        self.balancer: Balancer | None = None
        self.alarm: asyncio.TimerHandle | None = None
        self.attempts = 0
        self.current: Attempt | None = None  # the attempt that is under way
        self.exchange: Exchange | None = None
        self.last_event = NO_EVENT
        self.begun = False
        self.ran = 0  # attempts that may have run
        self.errors = 0  # answers of 500
        self.final = False  # no attempt may follow the one under way: its route leads elsewhere now
        self.response: tuple[int, Headers, bytes] | None = None  # an endpoint's failure, to be passed on

    @property
    def traffic_kind(self) -> str:
        """What its bytes to and from endpoints are counted as."""
        return "item" if self.route.kind == "batch" else "request"


class Attempt:
    """One send of a call; listens to its exchange."""

    def __init__(self, admission: Admission, call: Call, number: int, endpoint: str, now_us: int) -> None:
        self._admission = admission
        self._call = call
        self.number = number
        self.endpoint = endpoint
        self.started_us = now_us
        self._first_us = 0
        self._status = 0
        self._headers: Headers = ()
        self._body: list[bytes] = []
        self._size = 0
        self._parser: EventParser | None = None
        self.over = False
        self._activity = admission.activity(endpoint)
        self._activity.sent(call.tokens[0])
        self._crosses = admission.crosses_to(endpoint)

    def on_head(self, status: int, headers: Headers, reused: bool) -> None:
        self._count_received(sum(len(name) + len(value) for name, value in headers))
        named = {name.lower(): value for name, value in headers}
        if not self._is_ours(named.get(b"request-id"), status, reused):
            self._broken()
            return
        self._status, self._headers = status, headers
        if status == 200 and named.get(b"content-type", b"").startswith(b"text/event-stream"):
            self._parser = EventParser()

    def _count_received(self, size: int) -> None:
        if self._crosses:
            TRAFFIC.received(self._call.traffic_kind, size)

    def count_sent(self, size: int) -> None:
        """The request has been written; it is counted where it goes to another zone."""
        if self._crosses:
            TRAFFIC.sent(self._call.traffic_kind, size)

    def _is_ours(self, answered: bytes | None, status: int, reused: bool) -> bool:
        """Whether the answer is to this request: endpoints echo its id.

        A failure without an id is ours where nothing else was ever asked on its connection; anywhere else it
        may be the late second answer to the request before.
        """
        if answered is None:
            return not self._call.request_id or (status >= 300 and not reused)
        return answered == self._call.request_id

    def on_data(self, data: bytes) -> None:
        if self.over:
            return
        self._count_received(len(data))
        if self._parser is None:
            self._size += len(data)
            if self._size > MOST_BODY:
                self._broken()
                return
            self._body.append(data)
            return
        for event in self._parser.feed(data):
            if not self._take(event):
                self._broken()
                return

    def _take(self, event: Event) -> bool:
        call = self._call
        self._admission.answers += 1
        if call.last_event != NO_EVENT and event.id >= 0 and event.id != call.last_event + 1:
            return False
        if event.id >= 0:
            call.last_event = event.id
        now = self._admission.now_us()
        if self._first_us:
            self._activity.event(now)
        else:
            self._first_us = now
            self._activity.began(now, call.tokens[0])
        if not call.begun:
            call.begun = True
            call.sink.begin(self._headers)
        call.sink.event(event)
        return True

    def on_end(self) -> None:
        if self.over:
            return
        self._admission.answers += 1
        named = {name.lower(): value for name, value in self._headers}
        if self._parser is not None:
            if self._parser.partial or not self._call.begun:
                self._broken()
            else:
                self._end(Outcome.OK, True)
        elif NOT_EXECUTED in named:
            self._end(Outcome.FULL, False)
        elif self._status == 421:
            self._end(Outcome.CONNECT_FAILED, False)
        else:
            self._answered(b"response-signature" in named)

    def _answered(self, signed: bool) -> None:
        call = self._call
        body = b"".join(self._body)
        if self._status < 300 and (call.begun or not signed):
            self._broken()
            return
        call.response = (self._status, self._headers, body)
        call.errors += self._status == 500
        final = self._status < 500
        self._end(Outcome.OK if final else Outcome.ERROR, True, final)

    def on_lost(self, written: bool) -> None:
        if not self.over:
            self._end(Outcome.RESET if written else Outcome.CONNECT_FAILED, written)

    def _broken(self) -> None:
        exchange = self._call.exchange
        if exchange is not None:
            exchange.drop()
        self.on_lost(True)

    def left(self) -> None:
        """The endpoint works on it no more, as far as we know."""
        self._activity.ended(self._call.tokens[0], self._first_us > 0)

    def _end(self, outcome: Outcome, ran: bool, final: bool = True) -> None:
        self.over = True
        self.left()
        latency = max(1, (self._first_us or self._admission.now_us()) - self.started_us)
        self._admission.attempt_ended(self._call, self, outcome, ran, latency, final)


class Admission:
    """Implements the decisions' `Actions` for one service."""

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
        self._pools: dict[str, EnginePool] = {}
        self._activities: dict[str, EndpointActivity] = {}
        self._records: list[EndpointRecord] = []
        self._zones: dict[str, str] = {}  # by endpoint
        self._places: dict[str, int] = {}  # that each endpoint works on at once; 0: not known
        self._others: Mapping[str, int] = {}  # calls that other sidecars have out, by endpoint
        self._others_at = -OTHERS_KEPT_US
        self._classes: dict[str, RequestClass] = {}
        self._tenants: dict[str, Tenant] = {}  # of batch routes
        self._fleet = (0, 1)  # rank, sidecars
        self._primed = False
        self._balancer: Balancer | None = None  # that decides on new calls
        self._balancers: list[Balancer] = []  # that one, and earlier ones for as long as they have calls
        self.refused = 0
        self.answers = 0  # events and answers of endpoints

    @staticmethod
    def now_us() -> int:
        return now_us()  # the loop's own clock stands still while a callback runs

    @property
    def busy(self) -> bool:
        """Whether it owes anybody an end."""
        return bool(self._calls)

    def figures(self) -> list[tuple[str, int]]:
        """Calls that are owed an end, and the instances of the decisions that still decide on some."""
        return [
            ("calls", len(self._calls)),
            ("calls_held", sum(balancer.queue.count for balancer in self._balancers)),
            ("instances", len(self._balancers)),
            ("endpoints", len(self._records)),
            ("sweep_overdue_ms", self._sweep_overdue_us(self.now_us()) // 1000),
        ]

    def _sweep_overdue_us(self, now: int) -> int:
        """For how long the look at held calls that is due longest has been due; 0: none is."""
        return max((max(0, now - b.sweep_at) for b in self._balancers if b.sweep_at >= 0), default=0)

    def crosses_to(self, endpoint: str) -> bool:
        """Whether what is sent to the endpoint leaves this zone."""
        return TRAFFIC.crosses(self._zones.get(endpoint, ""))

    def activity(self, endpoint: str) -> EndpointActivity:
        return self._activities.setdefault(endpoint, EndpointActivity())

    def _weigh(self, balancer: Balancer, now: int) -> None:
        """Have the two draws compare what the endpoints look like now, not only how many calls are out."""
        others = self._others if now - self._others_at <= OTHERS_KEPT_US else {}
        for identity, state in balancer.endpoints.items():
            activity = self._activities.get(identity)
            if activity is not None:
                places = self._places.get(identity, 0)
                elsewhere = others.get(identity, 0)
                state.weight = (state.in_flight + 1) / activity.load(now, elsewhere, places)
                state.taken = (elsewhere + activity.calls + 1) / places if places else 0.0

    def calls_out(self) -> dict[str, int]:
        """Calls that are out now, by endpoint; those that have none are left out."""
        return {identity: a.calls for identity, a in self._activities.items() if a.calls > 0}

    def follow_others(self, calls: Mapping[str, int]) -> None:
        """The calls that all other sidecars have out, by endpoint."""
        self._others = calls
        self._others_at = self.now_us()
        for balancer in self._deciding():
            if balancer.queue.count:
                self._weigh(balancer, self._others_at)

    # --- what is told to it ---

    def follow_routes(self, routes: Sequence[Route], capacity: int) -> None:
        """The routes that lead here now: new classes need a new instance of the decisions."""
        self._capacity = capacity
        one_of_each = {class_name(route): route for route in routes}
        classes = {name: request_class(route) for name, route in one_of_each.items()}
        tenants = {route.name: batch_tenant(route) for route in routes if route.kind == "batch"}
        if classes.items() <= self._classes.items() and tenants.items() <= self._tenants.items():
            return
        self._classes = classes
        self._tenants = tenants
        self._rebuild()

    def follow_fleet(self, rank: int, sidecars: int) -> None:
        if (rank, sidecars) == self._fleet:
            return
        self._fleet = (rank, sidecars)
        for balancer in self._deciding():
            balancer.settings = dataclasses.replace(balancer.settings, rank=rank, balancers=sidecars)
            balancer.discovery(self.now_us(), ListForm.DELTA, [])

    def follow_endpoints(self, records: list[EndpointRecord]) -> None:
        if records == self._records:
            return
        self._records = records
        known = {record.id: record for record in records}
        self._zones = {record.id: record.zone for record in records}
        self._places = {record.id: record.capacity or self._capacity for record in records}
        for identity in [i for i in self._pools if i not in known]:
            self._pools.pop(identity).close()
            self._activities.pop(identity, None)
        for record in records:
            if record.id not in self._pools:
                self._pools[record.id] = EnginePool(record.address)
                self.activity(record.id)  # known before the first call: others may have some out
        for balancer in self._deciding():
            balancer.discovery(self.now_us(), ListForm.FULL, self._entries())
        self._prime()

    def _deciding(self) -> list[Balancer]:
        """The instances that decide on any call, the newest last; earlier ones go once they have none.

        Danger: one that is not told of endpoints, or gets no timers, keeps the calls that it holds for good.
        """
        self._balancers = [b for b in self._balancers if b.calls or b is self._balancer]
        return self._balancers

    def _entries(self) -> list[Endpoint]:
        near = sum(r.ready and r.zone == self._zone for r in self._records)
        by_zone = near >= LEAST_NEAR
        return [
            Endpoint(
                r.id,
                r.zone if by_zone else self._zone,
                "",
                0,
                Readiness.READY if r.ready else Readiness.DRAINING,
            )
            for r in self._records
        ]

    def _rebuild(self) -> None:
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
                max_retry_after_us=MOST_RETRY_AFTER_US,
                may_cancel=True,
                retry_after=True,
            ),
        )
        now = self.now_us()
        old, new = self._balancer, Balancer(settings, self._rng.randrange(1 << 30), self)
        new.start(now)
        new.discovery(now, ListForm.FULL, self._entries())
        if old is not None:
            new.recall(now, old.learned(now))
        self._balancer = new
        self._balancers = [*self._deciding(), new]
        self._prime()

    def _prime(self) -> None:
        """Begin with the places that the configuration says the endpoints have, and learn from there."""
        if self._balancer is None or self._primed or not self._records:
            return
        self._primed = True
        start = PoolMemory(1.0, self._capacity * START_SHARE, START_MEDIAN, START_MEDIAN)
        self._balancer.recall(self.now_us(), Memory([start] * len(Ring), []))

    async def reaches_endpoint(self) -> bool:
        """Whether an endpoint, drawn by chance, takes a connection."""
        pools = list(self._pools.values())
        return bool(pools) and await self._rng.choice(pools).reach()

    def order(self, call: Call) -> None:
        """Take a call; its sink hears of its end, perhaps within this call."""
        if self._balancer is None:
            call.sink.refuse(ErrorKind.NOT_READY, MOST_RETRY_AFTER_US)
            return
        now = self.now_us()
        self._calls[call.key] = call
        call.balancer = self._balancer
        call.alarm = self._loop.call_later(max(0.0, (call.due_us - now) / 1e6), self.time_out, call)
        self._weigh(self._balancer, now)
        prompt, out = call.tokens
        hint = prompt * 10 + out * 100
        self._balancer.order(now, call.key, class_name(call.route), call.tenant, call.due_us - now, hint)

    def abandon(self, call: Call) -> None:
        """Its client has gone: nobody hears of its end."""
        if self._close(call):
            assert call.balancer is not None
            call.balancer.expired(self.now_us(), call.key)
            self._drop_attempt(call, Outcome.CANCELLED)

    def time_out(self, call: Call) -> None:
        """Its time is up: an attempt that is under way counts as one that its endpoint has not answered."""
        if not self._close(call):
            return
        assert call.balancer is not None
        may_have_run = call.ran > 0 or call.current is not None
        call.balancer.expired(self.now_us(), call.key)
        self._drop_attempt(call, Outcome.TIMEOUT)
        if call.begun:
            call.sink.break_off()
        else:
            call.sink.refuse(ErrorKind.UNCERTAIN if may_have_run else ErrorKind.NOT_READY, 0)

    def end_all(self) -> None:
        """The process ends: whoever waits is told so, rather than find the connection closed."""
        for call in list(self._calls.values()):
            self.time_out(call)

    def _drop_attempt(self, call: Call, outcome: Outcome) -> None:
        """Nobody waits for the attempt that is under way any more."""
        attempt, call.current = call.current, None
        if attempt is None or call.balancer is None:
            return
        attempt.over = True
        attempt.left()
        if call.exchange is not None:
            call.exchange.drop()
        now = self.now_us()
        spent = max(1, now - attempt.started_us)
        call.balancer.reply(now, call.key, attempt.number, attempt.endpoint, spent, True, outcome)

    def _close(self, call: Call) -> bool:
        """The call has its end; false where it has had one."""
        if self._calls.pop(call.key, None) is None:
            return False
        if call.alarm is not None:
            call.alarm.cancel()
        return True

    # --- what an attempt tells ---

    def attempt_ended(
        self, call: Call, attempt: Attempt, outcome: Outcome, ran: bool, latency_us: int, final: bool
    ) -> None:
        balancer = call.balancer
        assert balancer is not None
        call.current = None
        call.ran += ran
        done = outcome is Outcome.OK
        if done and self._close(call):
            if call.begun:
                call.sink.finish()
            elif call.response is not None:
                call.sink.answer(*call.response)
        spent = call.final or (ran and call.ran >= call.route.max_attempts)
        if not done and spent and call.key in self._calls:
            self._give_up(call)
        open_still = call.key in self._calls
        balancer.reply(
            self.now_us(), call.key, attempt.number, attempt.endpoint, latency_us, not open_still, outcome
        )

    def _give_up(self, call: Call) -> None:
        """No further attempt is allowed."""
        if not self._close(call):
            return
        if call.begun:
            call.sink.break_off()
        elif call.response is not None:
            call.sink.answer(*call.response)
        else:
            call.sink.refuse(ErrorKind.FAILED, 0)

    # --- the decisions' actions ---

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        made = self._calls.get(call)
        if made is None:
            return
        now = self.now_us()
        attempt = Attempt(self, made, made.attempts, endpoint, now)
        made.attempts += 1
        made.current = attempt
        pool = self._pools.get(endpoint)
        if pool is None:
            self._loop.call_soon(attempt.on_lost, False)
            return
        head, body = made.head
        lines = [head, b"Expect-Instance: %s\r\n" % endpoint.encode()]
        lines.append(b"Timeout-Ms: %d\r\n" % max(1, (made.due_us - now) // 1000))
        if made.last_event != NO_EVENT:
            lines.append(b"Last-Event-Id: %d\r\n" % made.last_event)
        lines.append(b"\r\n")
        lines.append(body)
        data = b"".join(lines)
        attempt.count_sent(len(data))
        made.exchange = pool.ask(data, attempt)

    def cancel(self, call: str, attempt: int) -> None:
        """Nothing: the exchange of a call that has ended is dropped with it."""

    def shed(self, call: str, wait_us: int) -> None:
        made = self._calls.get(call)
        if made is None:
            return
        self.refused += 1
        # Danger: a refusal promises that the call never ran; one that may have run is given up.
        if made.begun or made.response is not None or (made.ran and not made.route.repeatable):
            self._give_up(made)
        elif self._close(made):
            made.sink.refuse(ErrorKind.NOT_READY, wait_us)

    def surrender(self, call: str) -> None:
        made = self._calls.get(call)
        if made is not None:
            self._give_up(made)

    def timer(self, delay_us: int, mark: str) -> None:
        # Danger: the loop's own timers may come up to a millisecond early. The decisions look at nothing
        # before their time and ask only once: a timer that comes early would be their last.
        Alarm(self.now_us() + delay_us, partial(self._wake, mark))

    def _wake(self, mark: str) -> None:
        for balancer in self._deciding():
            balancer.wake(self.now_us(), mark)

    def watch(self, on: bool) -> None:
        """Nothing: the list is told by the control plane."""

    def close_idle(self, endpoint: str) -> None:
        pool = self._pools.get(endpoint)
        if pool is not None:
            pool.close_idle()

    def write_log(self, text: str, **fields: str | int | float) -> None:
        """What bears on calls' fates, every few seconds."""
        if text == "state":
            fields |= {"sweep_overdue_ms": self._sweep_overdue_us(self.now_us()) // 1000}
            log.info("%s: %s", self._service, ", ".join(f"{k} {v}" for k, v in fields.items()))
