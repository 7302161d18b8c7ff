"""One endpoint: its slots and queue, its speed, and the faults that it can have."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

import numpy as np

from eiderhub.interface import Effect, Group
from eiderhub.world.day import Day, EndpointPlan
from eiderhub.world.processor import Processor

OVERLOAD_SLACK_US = 500_000  # of work: the random excess over its budget that a cold endpoint bears
WARM_UP_STEP_US = 100_000  # interval at which the speed of an endpoint is updated while it warms up
# An endpoint that warms up by work is warm after this share of the work that a warm one can do in `cold_us`.
WARM_UP_WORK_SHARE = 0.5


class Offer(Enum):
    """The immediate outcome of a request that arrives at an endpoint."""

    TAKEN = "taken"
    DECLINED = "declined"  # rejected by the endpoint: it has not run and will not run
    REFUSED = "refused"  # no process listens


class RequestEnded(NamedTuple):
    """Output: a request has ended at this endpoint."""

    token: Hashable
    served: bool


class NextTierCall(NamedTuple):
    """Output: a request calls the next tier; it keeps its slot until the host reports the outcome."""

    token: Hashable


class ColdOverload(NamedTuple):
    """Output: a cold endpoint crashed because it was sent too much work within the overload window."""

    work_us: float
    informed_work_us: float  # the part of it from senders that had the endpoint's start time from discovery


Output = RequestEnded | NextTierCall | ColdOverload


class State(Enum):
    """The state of an endpoint's process."""

    UP = "up"
    DRAINING = "draining"  # it completes the requests that it has and declines new ones
    DOWN = "down"


class DedupGroup:
    """The idempotency keys that the endpoints of one group have served, with the times."""

    def __init__(self, window_us: int) -> None:
        self.window_us = window_us
        self._served: dict[str, int] = {}

    def served_recently(self, now_us: int, key: str) -> bool:
        """Return whether the key was served within the window."""
        served_us = self._served.get(key)
        return served_us is not None and now_us - served_us <= self.window_us

    def record(self, now_us: int, key: str) -> None:
        """Record a served key, and evict the expired ones."""
        # Ordered by time: the first ones are the oldest.
        for old_key in list(self._served):
            if now_us - self._served[old_key] <= self.window_us:
                break
            del self._served[old_key]
        self._served.pop(key, None)
        self._served[key] = now_us


@dataclass(slots=True, eq=False)
class EndpointRequest:
    """One request at an endpoint."""

    token: Hashable
    work_us: float  # work of this endpoint alone, in microseconds of a core of speed 1
    calls_left: int  # calls to the next tier that it has still to make
    key: str | None = None
    dedup: DedupGroup | None = None  # suppresses repeats of the key
    awaiting_call: bool = False
    running: bool = False
    parts: int = field(init=False)

    def __post_init__(self) -> None:
        self.parts = self.calls_left + 1  # equal parts of the work before, between and after the calls


def dedup_groups(day: Day) -> dict[tuple[str, str], DedupGroup]:
    """Return the group that records served keys, by endpoint id and name of a deduplicated request class."""
    groups: dict[tuple[str, int, str], DedupGroup] = {}
    groups_by_endpoint = {}
    for request_class in day.request_classes:
        spec = request_class.spec
        if spec.effect is not Effect.DEDUPLICATED:
            continue
        for plan in day.endpoint_plans:
            scope = {Group.ALL: "", Group.ZONE: plan.zone, Group.CELL: str(plan.cell)}[spec.group]
            group = groups.setdefault(
                (request_class.name, plan.tier, scope), DedupGroup(int(spec.window_ms * 1000))
            )
            groups_by_endpoint[plan.id, request_class.name] = group
    return groups_by_endpoint


class Endpoint:
    """A simulated endpoint. Each call takes the current time; `advance` returns the outputs up to then.

    The host calls `advance` at the time that `next_us` returns, and may call it at any other time.
    """

    def __init__(self, plan: EndpointPlan, rng: np.random.Generator) -> None:
        self.plan = plan
        self.state = State.UP
        self.started_us: int | None = None  # None: the endpoint is warm
        self.hung_until_us = 0
        self.paused_until_us = 0
        self.slowdown = 1.0  # factor by which faults outside the endpoint slow it down
        self.error_share = 0.0  # share of the requests that end as errors, because of a fault
        self.choked_since_us: int | None = None
        self.was_choked = False
        self.wasted_work_us = 0.0  # work of requests that were cancelled or lost
        self._rng = rng
        self._cpu = Processor(plan.cores, plan.speed)
        self._handshakes = 0
        self._requests: dict[Hashable, EndpointRequest] = {}
        self._queue: deque[EndpointRequest] = deque()
        self._slots_used = 0
        self._backlog_since_us: int | None = None
        self._idle_since_us: int | None = None
        self._work_since_start_us = 0.0
        # Requests that arrived while it was cold: time, work, whether the sender had its start time.
        self._cold_offers: deque[tuple[int, float, bool]] = deque()
        self._cold_work_us = 0.0
        self._cold_informed_work_us = 0.0
        self._outputs: list[Output] = []

    # --- queries ---

    @property
    def in_flight(self) -> int:
        """The number of requests here, queued ones included."""
        return len(self._requests)

    def capacity_share(self, now_us: int) -> float:
        """The share of its full capacity that the endpoint has now; below 1 while it warms up."""
        if self.started_us is None:
            return 1.0
        plan = self.plan
        progress = (now_us - self.started_us) / plan.cold_us
        if plan.warm_by_work:
            progress = max(
                progress, self._work_since_start_us / (WARM_UP_WORK_SHARE * plan.capacity * plan.cold_us)
            )
        if progress >= 1:
            self.started_us = None
            return 1.0
        return plan.cold_from + (1 - plan.cold_from) * max(0.0, progress)

    # --- requests ---

    def offer(
        self, now_us: int, request: EndpointRequest, sender_informed: bool, connections: int = 1
    ) -> Offer:
        """Accept, decline or refuse a request that has arrived completely.

        Args:
            now_us: the current time.
            request: the request.
            sender_informed: whether the sender has the endpoint's start time from discovery.
            connections: open connections at this endpoint.
        """
        if self.state is State.DOWN:
            return Offer.REFUSED
        self._process_finished(now_us)
        if self._check_cold_overload(now_us, request.work_us, sender_informed):
            return Offer.REFUSED
        hung = now_us < self.hung_until_us
        full = self._slots_used >= self.plan.slots and len(self._queue) >= self.plan.queue
        too_many_connections = connections > self.plan.connections
        if self.state is State.DRAINING or too_many_connections or (full and not hung):
            return Offer.DECLINED
        self._requests[request.token] = request
        if (
            request.key is not None
            and request.dedup is not None
            and request.dedup.served_recently(now_us, request.key)
        ):
            # A repeat does not run: the recorded answer is sent again.
            request.calls_left, request.work_us = 0, 0.0
        if self._slots_used < self.plan.slots:
            self._start_request(now_us, request)
        else:
            self._queue.append(request)
        self._update_speed(now_us)
        return Offer.TAKEN

    def handshake(self, now_us: int) -> None:
        """Account the work of a new connection's handshake, which competes with the requests."""
        if self.state is not State.DOWN and self.plan.handshake_us:
            self._process_finished(now_us)
            self._handshakes += 1  # a key per handshake: two may occur in the same microsecond
            self._cpu.add(now_us, ("handshake", self._handshakes), self.plan.handshake_us)

    def call_ended(self, now_us: int, token: Hashable, served: bool) -> None:
        """Record the outcome of a request's call to the next tier."""
        request = self._requests.get(token)
        if request is None or not request.awaiting_call:
            return
        self._process_finished(now_us)
        request.awaiting_call = False
        if served:
            request.calls_left -= 1
            self._run_part(now_us, request)
        else:
            self._end_request(now_us, request, served=False)
        self._update_speed(now_us)

    def cancel(self, now_us: int, token: Hashable) -> None:
        """Cancel a request whose sender no longer waits; depending on the kind, a running one runs on."""
        self._process_finished(now_us)  # may end this request
        request = self._requests.get(token)
        if request is None:
            return
        if request in self._queue:
            self._queue.remove(request)
            del self._requests[token]
        elif self.plan.cancels_all:
            if request.running:
                self._cpu.remove(now_us, token)
            self.wasted_work_us += request.work_us
            self._release_slot(now_us, request)
        else:
            self.wasted_work_us += request.work_us  # it runs on, and its answer is discarded
        self._update_speed(now_us)

    # --- faults and lifecycle ---

    def hang(self, now_us: int, until_us: int) -> None:
        """Accept requests beyond the queue's length, and process none until then."""
        self._process_finished(now_us)
        self.hung_until_us = max(self.hung_until_us, until_us)
        self._update_speed(now_us)

    def pause(self, now_us: int, until_us: int) -> None:
        """Process nothing until then."""
        self._process_finished(now_us)
        self.paused_until_us = max(self.paused_until_us, until_us)
        self._update_speed(now_us)

    def set_slowdown(self, now_us: int, factor: float) -> None:
        """Slow down by this factor from now on; 1 is the normal speed."""
        self._process_finished(now_us)
        self.slowdown = factor
        self._update_speed(now_us)

    def set_error_share(self, share: float) -> None:
        """Let this share of the requests end as errors from now on."""
        self.error_share = share

    def drain(self, now_us: int) -> None:
        """Decline new requests from now on, and complete the present ones."""
        self._process_finished(now_us)
        if self.state is State.UP:
            self.state = State.DRAINING

    def crash(self, now_us: int) -> None:
        """Stop the process at once: all requests are lost, and new ones are refused."""
        self._process_finished(now_us)
        self.state = State.DOWN
        self.wasted_work_us += sum(request.work_us for request in self._requests.values())
        self._requests.clear()
        self._queue.clear()
        self._slots_used = 0
        self._cpu = Processor(self.plan.cores, self.plan.speed)
        self._cpu.advance(now_us)
        self._outputs.clear()
        self._cold_offers.clear()
        self._cold_work_us = self._cold_informed_work_us = 0.0

    def start(self, now_us: int) -> None:
        """Start a new process under the same id; it is cold."""
        self.state = State.UP
        self.started_us = now_us
        self.hung_until_us = self.paused_until_us = 0
        self.choked_since_us = self._backlog_since_us = self._idle_since_us = None
        self._work_since_start_us = 0.0
        self._update_speed(now_us)

    # --- time ---

    def advance(self, now_us: int) -> list[Output]:
        """Return the outputs since the last call, in the order of their times."""
        self._process_finished(now_us)
        self._update_speed(now_us)
        outputs, self._outputs = self._outputs, []
        return outputs

    def next_us(self, now_us: int) -> int | None:
        """The time of the next output or change of speed, if nothing else happens before; None: never."""
        if self._outputs:
            return now_us
        times_us = [self._cpu.next_us()]
        times_us += [until_us for until_us in (self.hung_until_us, self.paused_until_us) if until_us > now_us]
        choke = self.plan.choke
        if choke is not None and self.state is not State.DOWN:
            if self.choked_since_us is not None:
                times_us.append(self.choked_since_us + choke.most_us)
                if self._idle_since_us is not None:
                    times_us.append(self._idle_since_us + choke.rest_us)
            elif self._backlog_since_us is not None:
                times_us.append(self._backlog_since_us + choke.over_us)
        if self.started_us is not None and self.state is not State.DOWN and len(self._cpu):
            times_us.append(now_us + WARM_UP_STEP_US)
        known_times_us = [time_us for time_us in times_us if time_us is not None]
        return max(now_us, min(known_times_us)) if known_times_us else None

    # --- internals ---

    def _process_finished(self, now_us: int) -> None:
        """Process the jobs that the processor has finished by now."""
        while True:
            finished_tokens = self._cpu.finished(now_us)
            if not finished_tokens:
                return
            for token in finished_tokens:
                request = self._requests.get(token)
                if request is not None:  # otherwise the job was a handshake
                    self._part_finished(now_us, request)

    def _part_finished(self, now_us: int, request: EndpointRequest) -> None:
        """Continue a request after a part of its work: with a call to the next tier, or with its end."""
        request.running = False
        part_us = request.work_us / request.parts
        self._work_since_start_us += part_us
        if request.calls_left > 0:
            request.awaiting_call = True
            self._outputs.append(NextTierCall(request.token))
            return
        served = self._rng.random() >= max(self.plan.error_rate, self.error_share)
        if served and request.key is not None and request.dedup is not None:
            request.dedup.record(now_us, request.key)
        self._end_request(now_us, request, served)

    def _end_request(self, now_us: int, request: EndpointRequest, served: bool) -> None:
        self._outputs.append(RequestEnded(request.token, served))
        self._release_slot(now_us, request)

    def _release_slot(self, now_us: int, request: EndpointRequest) -> None:
        """Remove a request, and give its slot to the request that has waited longest."""
        del self._requests[request.token]
        self._slots_used -= 1
        if self._queue and self._slots_used < self.plan.slots:
            self._start_request(now_us, self._queue.popleft())

    def _start_request(self, now_us: int, request: EndpointRequest) -> None:
        self._slots_used += 1
        self._run_part(now_us, request)

    def _run_part(self, now_us: int, request: EndpointRequest) -> None:
        request.running = True
        self._cpu.add(now_us, request.token, request.work_us / request.parts)

    def _update_speed(self, now_us: int) -> None:
        """Set the processor's speed from warm-up, slowdown, choke, number of requests, hangs and pauses."""
        self._update_choke(now_us)
        plan = self.plan
        speed = plan.speed * self.capacity_share(now_us) / self.slowdown
        if self.choked_since_us is not None and plan.choke is not None:
            speed /= plan.choke.slower
        overcrowding = self.in_flight / plan.crowded_from - 1
        if overcrowding > 0:
            speed /= 1 + plan.crowding * overcrowding
        if now_us < self.hung_until_us or now_us < self.paused_until_us:
            speed = 0.0
        if speed != self._cpu.speed:
            self._cpu.set_speed(now_us, speed)

    def _update_choke(self, now_us: int) -> None:
        """Start and end the choke: after an overlong backlog the endpoint is slow for a while.

        The choke starts when more than `at` requests have waited for `over_us`; it ends after `rest_us` with
        fewer than `below` running jobs, and after `most_us` in any case.
        """
        choke = self.plan.choke
        if choke is None:
            return
        waiting = len(self._queue) + max(0, len(self._cpu) - self.plan.cores)
        if self.choked_since_us is not None:
            if len(self._cpu) >= choke.below:
                self._idle_since_us = None
            elif self._idle_since_us is None:
                self._idle_since_us = now_us
            rested = self._idle_since_us is not None and now_us - self._idle_since_us >= choke.rest_us
            if rested or now_us - self.choked_since_us >= choke.most_us:
                self.choked_since_us = self._idle_since_us = self._backlog_since_us = None
        elif waiting > choke.at:
            if self._backlog_since_us is None:
                self._backlog_since_us = now_us
            if now_us - self._backlog_since_us >= choke.over_us:
                self.choked_since_us, self._backlog_since_us, self.was_choked = now_us, None, True
        else:
            self._backlog_since_us = None

    def _check_cold_overload(self, now_us: int, work_us: float, sender_informed: bool) -> bool:
        """Account a request to a cold endpoint, accepted or not; return whether it crashes the endpoint."""
        capacity_share = self.capacity_share(now_us)
        if self.started_us is None:
            self._cold_offers.clear()
            self._cold_work_us = self._cold_informed_work_us = 0.0
            return False
        plan = self.plan
        self._cold_offers.append((now_us, work_us, sender_informed))
        self._cold_work_us += work_us
        self._cold_informed_work_us += work_us * sender_informed
        while self._cold_offers[0][0] < now_us - plan.overload_window_us:
            _, old_us, was_informed = self._cold_offers.popleft()
            self._cold_work_us -= old_us
            self._cold_informed_work_us -= old_us * was_informed
        if (
            self._cold_work_us
            <= plan.overload_factor * plan.capacity * capacity_share * plan.overload_window_us
            + OVERLOAD_SLACK_US
        ):
            return False
        overload = ColdOverload(self._cold_work_us, self._cold_informed_work_us)
        self.crash(now_us)
        self._outputs.append(overload)
        return True
