"""Simulates the placement of items in virtual time while sidecars reach no endpoint or refuse items.

The job table, the dispatcher and the scheduler are those of the product. The rest is modelled: sidecars that
reach endpoints in some spans of time only, and return items without progress as the real ones do; endpoints
with a limited number of slots; live calls that end before the items do. Sessions do not break in this model;
`tests/model/items.py` covers that.

The bound is that of docs/control-guarantees.md, point 6; the bound that operators require is longer.
"""

from __future__ import annotations

import base64
import random
from collections.abc import Callable
from functools import partial

import msgspec

from eiderhub.batch.dispatch import Dispatcher
from eiderhub.batch.jobs import BatchLimits, JobTable
from eiderhub.batch.messages import ItemFinished, ItemKey, RunItem
from eiderhub.control.errors import Refusal
from eiderhub.coordination.messages import Position, Update, Write
from eiderhub.storage.store import MemoryStore
from tests.model.clock import Timeline
from tests.model.items import InvariantViolation
from tests.model.placement_plan import FOREVER_S, NEW_ROUTE, ROUTE, JobPlan, Plan
from tests.model.placement_sidecar import (
    MAX_RUN_S,
    MEAN_FIRST_EVENT_S,
    MEAN_RUN_S,
    QUEUE_TIMEOUT_S,
    SILENT_ATTEMPT_TIMEOUT_S,
    ModelSidecar,
)

DISPATCH_INTERVAL_S, CHECK_INTERVAL_S = 0.02, 0.1
TAKEOVER_S = 1.0  # longer than a new primary waits for sidecars to announce their items
MESSAGE_DELAY_S = 0.003
# The bound counts from the time at which a sidecar reaches endpoints and all items that were assigned to
# sidecars without endpoints have been returned. From then on each open job has an item at an endpoint at
# least every MAX_UNSERVED_S while less than BUSY_SHARE of the slots is in use, and COMPLETION_S later
# COMPLETED_SHARE of the items that fit are finished.
MAX_UNSERVED_S, COMPLETION_S, COMPLETED_SHARE = 2.0, 10.0, 0.9
BUSY_SHARE = 0.5
USABLE_SHARE = 0.5  # share of the slots of able sidecars that counts in `fitting_item_count`


class PlacementWorld:
    """One run of a plan."""

    def __init__(self, plan: Plan, seed: int = 0) -> None:
        self.plan = plan
        self.seed = seed
        self.rng = random.Random(seed)
        self.timeline = Timeline()
        self._store = MemoryStore()
        self.table = JobTable(self._store)
        self.dispatcher = Dispatcher(self.table)
        self.dispatcher.scheduler.set_endpoints(plan.endpoint_count, plan.endpoint_slots)
        self._epoch = 0
        self._last_served: dict[str, float] = {}  # by job: when an item of it was last at an endpoint
        self._accepted_at: dict[str, float] = {}
        self.result_count = 0
        self.orders_sent = 0  # `RunItem` messages
        self.sidecars = [ModelSidecar(self, f"s{n}", each) for n, each in enumerate(plan.sidecars)]
        self._by_name = {sidecar.name: sidecar for sidecar in self.sidecars}
        self._start_epoch()
        for start in plan.new_primaries:
            self.timeline.at(start, self._start_epoch)
        for job in plan.jobs:
            self.timeline.at(job.submitted_at, partial(self._submit, job))
        self._tick()

    # --- the primary ---

    def _start_epoch(self) -> None:
        self._epoch += 1
        self.dispatcher.begin(self.timeline.now, self._epoch)
        for sidecar in self.sidecars:
            sidecar.open()
        self._flush()

    def _submit(self, job: JobPlan) -> None:
        requests = [
            {"id": f"{job.name}i{n}", "path": "/", "tokens": 1, "body": base64.b64encode(b"b").decode()}
            for n in range(job.item_count)
        ]
        limits = BatchLimits(job.route, job.window_s, FOREVER_S, 3, 0.0)
        body = msgspec.json.encode({"requests": requests})
        writes = self.table.submit(self.timeline.now, job.name, limits, body)
        assert not isinstance(writes, Refusal)
        self._write(writes)
        self.table.mark_committed(job.name)
        self._accepted_at[job.name] = self.timeline.now

    def _write(self, writes: list[Write]) -> None:
        if writes:
            self._store.apply([Update(Position(1, self._store.position.version + 1), writes)])

    def send_to_primary(self, call: Callable[..., None]) -> None:
        """Deliver a sidecar's message to the primary, unless the epoch has changed by then."""
        epoch = self._epoch

        def arrive() -> None:
            if self._epoch == epoch:
                call(now=self.timeline.now)
                self.dispatcher.assign_items(self.timeline.now, self.timeline.now)
                self._flush()

        self.timeline.after(MESSAGE_DELAY_S, arrive)

    def finish_item(self, sidecar: ModelSidecar, message: ItemFinished) -> None:
        """Send the result of an item to the primary, which stores it at once."""
        session = sidecar.session
        assert session is not None

        def apply_result(now: float) -> None:
            self._write(self.dispatcher.finish_item(now, session, message))
            self.result_count += self.dispatcher.result_committed(session, message.key)

        self.send_to_primary(apply_result)

    def _tick(self) -> None:
        now = self.timeline.now
        self.dispatcher.tick(now)
        self.dispatcher.assign_items(now, now)
        self._flush()
        self.timeline.after(DISPATCH_INTERVAL_S, self._tick)

    def _flush(self) -> None:
        outbox, self.dispatcher.outbox = self.dispatcher.outbox, []
        for session, message in outbox:
            sidecar = self._by_name[session.node]
            self.orders_sent += isinstance(message, RunItem)
            if sidecar.session is session:
                self.timeline.after(MESSAGE_DELAY_S, partial(sidecar.receive, message))

    # --- endpoints ---

    def used_share(self) -> float:
        """The share of the endpoints' slots that is in use."""
        items = sum(len(sidecar.at_endpoint) for sidecar in self.sidecars)
        has_live_calls = any(self.timeline.now < sidecar.plan.live_calls_until for sidecar in self.sidecars)
        return items / self.plan.endpoint_slots + (self.plan.live_share if has_live_calls else 0.0)

    def has_free_slot(self) -> bool:
        return self.used_share() < 1.0

    def record_served(self, key: ItemKey) -> None:
        """Record that an item of the job is at an endpoint now."""
        self._last_served[key.job] = self.timeline.now

    # --- the bound ---

    def open_jobs(self) -> list[str]:
        return [job.record.id for job in self.table.open_jobs()]

    def _record_running(self) -> None:
        for sidecar in self.sidecars:
            for key in sidecar.at_endpoint:
                self.record_served(key)

    def bound_start(self) -> float:
        """When the bound starts to count: when the first sidecar can run items.

        Items that were assigned to sidecars that reach no endpoint, or that refuse items, have been returned
        by then, also by a second such sidecar. A new primary waits for sidecars to announce their items.
        """
        unreachable_ends = [
            span.start + SILENT_ATTEMPT_TIMEOUT_S for s in self.sidecars for span in s.plan.unreachable
        ]
        refusal_starts = [span.start for s in self.sidecars for span in s.plan.refusing]
        ends = [start + QUEUE_TIMEOUT_S for start in unreachable_ends + refusal_starts]
        ends += [takeover + TAKEOVER_S for takeover in (0.0, *self.plan.new_primaries)]
        settled_at = max(ends, default=0.0)
        return min(self._able_since(sidecar, settled_at) for sidecar in self.sidecars)

    @staticmethod
    def _able_since(sidecar: ModelSidecar, settled_at: float) -> float:
        spans = (*sidecar.plan.unreachable, *sidecar.plan.refusing)
        return max(
            [settled_at, sidecar.plan.knows_new_route_from, *(s.end for s in spans if s.end > settled_at)]
        )

    def fitting_item_count(self, start: float, until: float) -> float:
        """How many items able sidecars can finish in that span with USABLE_SHARE of their slots.

        Items that start so late that they may end after `until` do not count.
        """
        until -= MEAN_FIRST_EVENT_S + MAX_RUN_S
        seconds = sum(
            sidecar.plan.slots * max(0.0, until - max(start, self._able_since(sidecar, start)))
            for sidecar in self.sidecars
        )
        return (
            USABLE_SHARE
            * min(seconds, self.plan.endpoint_slots * (until - start))
            / (MEAN_FIRST_EVENT_S + MEAN_RUN_S)
        )

    def play(self) -> None:
        """Run the plan until the bound can be checked.

        Raises:
            InvariantViolation: the bound does not hold; the message has the seed.
        """
        bound_start = self.bound_start()
        self.timeline.run_until(bound_start)
        waiting = sum(len(job.items) - job.assigned_positions for job in self.table.open_jobs())
        earlier_results = self.result_count
        until = bound_start + COMPLETION_S
        while self.timeline.now < until:
            self.timeline.run_until(self.timeline.now + CHECK_INTERVAL_S)
            self._record_running()
            self._check_jobs(bound_start)
        fitting = min(waiting, self.fitting_item_count(bound_start, until))
        new_results = self.result_count - earlier_results
        if new_results < COMPLETED_SHARE * fitting:
            raise InvariantViolation(
                f"{self.seed}: {new_results} finished in {COMPLETION_S:g} s of {waiting} unassigned, "
                f"{fitting:.0f} fit"
            )

    def _has_room(self, route: str) -> bool:
        """Whether endpoints, and the able sidecars that know the route, use less than BUSY_SHARE of slots."""
        able = [s for s in self.sidecars if s.is_able(self.timeline.now) and s.knows_route(route)]
        used_slots = sum(len(sidecar.at_endpoint) for sidecar in able)
        slots = sum(sidecar.plan.slots for sidecar in able)
        return self.used_share() < BUSY_SHARE and used_slots < BUSY_SHARE * slots

    def _check_jobs(self, bound_start: float) -> None:
        now = self.timeline.now
        has_room = {route: self._has_room(route) for route in (ROUTE, NEW_ROUTE)}
        for job in self.open_jobs():
            if not has_room[self.table.jobs[job].record.route]:
                self._last_served[job] = now  # the time without service starts anew
                continue
            idle_since = max(bound_start, self._accepted_at[job], self._last_served.get(job, 0.0))
            if now - idle_since > MAX_UNSERVED_S:
                raise InvariantViolation(
                    f"{self.seed}: {job} has had no item at an endpoint for {now - idle_since:.1f} s "
                    f"at {now:.1f} s; endpoints use {self.used_share():.2f} of their slots, "
                    f"the bound counts from {bound_start:.1f} s"
                )
