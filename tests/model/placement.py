"""Where items go while sidecars reach no endpoint, or refuse: the product's dispatcher in virtual time.

The product's are the job table, the dispatcher and the scheduler. What stands in for the rest: sidecars that
each reach endpoints in some spans of time and not in others, and give back what they can't move as the real
ones do; endpoints with so many places; live calls that end before the items do. Sessions do not break here:
`tests/model/items.py` has that.

The bound is that of docs/control-guarantees.md, point 6; the operators' own is longer.
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
from tests.model.items import Broken
from tests.model.placement_plan import FOR_GOOD, NEW_ROUTE, ROUTE, Lot, Plan
from tests.model.placement_sidecar import (
    FIRST_EVENT_S,
    MOST_RUN_S,
    QUEUE_SILENCE_S,
    RUN_S,
    SILENT_ATTEMPT_S,
    ModelSidecar,
)

DISPATCH_S, LOOK_S = 0.02, 0.1
SETTLE_S = 1.0  # a new primary gives sidecars nearly so long to say what they hold
WAY_S = 0.003  # of one message
# The bound: from the moment at which a sidecar reaches endpoints, and all that was sent into the dark has
# come back, each open lot has an item at an endpoint at least every so many seconds while these are under
# half full; and so much later nine tenths of what fits are done.
SERVED_S, DONE_S, DONE_SHARE = 2.0, 10.0, 0.9
FULL_SHARE = 0.5
USED_SHARE = 0.5  # of the room of sidecars that reach endpoints, in what "fits" within DONE_S


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
        self.dispatcher.scheduler.set_endpoints(plan.endpoints, plan.places)
        self._epoch = 0
        self._served: dict[str, float] = {}  # when a lot last had an item at an endpoint
        self._accepted: dict[str, float] = {}
        self.listed = 0
        self.given = 0  # `RunItem`s sent
        self.sidecars = [ModelSidecar(self, f"s{n}", each) for n, each in enumerate(plan.sidecars)]
        self._by_name = {sidecar.name: sidecar for sidecar in self.sidecars}
        self._lead()
        for when in plan.new_primaries:
            self.timeline.at(when, self._lead)
        for lot in plan.lots:
            self.timeline.at(lot.at, partial(self._submit, lot))
        self._tick()

    # --- the primary ---

    def _lead(self) -> None:
        self._epoch += 1
        self.dispatcher.begin(self.timeline.now, self._epoch)
        for sidecar in self.sidecars:
            sidecar.open()
        self._flush()

    def _submit(self, lot: Lot) -> None:
        requests = [
            {"id": f"{lot.name}i{n}", "path": "/", "tokens": 1, "body": base64.b64encode(b"b").decode()}
            for n in range(lot.items)
        ]
        terms = BatchLimits(lot.route, lot.window_s, FOR_GOOD, 3, 0.0)
        body = msgspec.json.encode({"requests": requests})
        made = self.table.submit(self.timeline.now, lot.name, terms, body)
        assert not isinstance(made, Refusal)
        self._write(made)
        self.table.mark_committed(lot.name)
        self._accepted[lot.name] = self.timeline.now

    def _write(self, writes: list[Write]) -> None:
        if writes:
            self._store.apply([Update(Position(1, self._store.position.version + 1), writes)])

    def tell(self, call: Callable[..., None]) -> None:
        """A sidecar's message reaches the primary, if that still leads its session."""
        epoch = self._epoch

        def arrive() -> None:
            if self._epoch == epoch:
                call(now=self.timeline.now)
                self.dispatcher.assign_items(self.timeline.now, self.timeline.now)
                self._flush()

        self.timeline.after(WAY_S, arrive)

    def finish(self, sidecar: ModelSidecar, message: ItemFinished) -> None:
        session = sidecar.session
        assert session is not None

        def take(now: float) -> None:
            self._write(self.dispatcher.finish_item(now, session, message))
            self.listed += self.dispatcher.result_committed(session, message.key)

        self.tell(take)

    def _tick(self) -> None:
        now = self.timeline.now
        self.dispatcher.tick(now)
        self.dispatcher.assign_items(now, now)
        self._flush()
        self.timeline.after(DISPATCH_S, self._tick)

    def _flush(self) -> None:
        outbox, self.dispatcher.outbox = self.dispatcher.outbox, []
        for session, message in outbox:
            sidecar = self._by_name[session.node]
            self.given += isinstance(message, RunItem)
            if sidecar.session is session:
                self.timeline.after(WAY_S, partial(sidecar.receive, message))

    # --- endpoints ---

    def filled(self) -> float:
        """The share of the endpoints' places that is taken."""
        items = sum(len(sidecar.at_endpoint) for sidecar in self.sidecars)
        lives = any(self.timeline.now < sidecar.plan.live_until for sidecar in self.sidecars)
        return items / self.plan.places + (self.plan.live_places if lives else 0.0)

    def has_place(self) -> bool:
        return self.filled() < 1.0

    def note_served(self, key: ItemKey) -> None:
        self._served[key.job] = self.timeline.now

    # --- the bound ---

    def open_lots(self) -> list[str]:
        return [job.record.id for job in self.table.open_jobs()]

    def _note_running(self) -> None:
        for sidecar in self.sidecars:
            for key in sidecar.at_endpoint:
                self.note_served(key)

    def well_from(self) -> float:
        """When the bound begins to count, at the first sidecar that can run items.

        What was sent into the dark, or to a sidecar that refuses since then, has come back by then, from a
        second one too. A new primary gives sidecars a while to say what they hold.
        """
        dark = [span.start + SILENT_ATTEMPT_S for s in self.sidecars for span in s.plan.dark]
        refusing = [span.start for s in self.sidecars for span in s.plan.refusing]
        ends = [start + QUEUE_SILENCE_S for start in dark + refusing]
        ends += [when + SETTLE_S for when in (0.0, *self.plan.new_primaries)]
        settled = max(ends, default=0.0)
        return min(self._able_from(sidecar, settled) for sidecar in self.sidecars)

    @staticmethod
    def _able_from(sidecar: ModelSidecar, settled: float) -> float:
        spans = (*sidecar.plan.dark, *sidecar.plan.refusing)
        return max([settled, sidecar.plan.knows_new_route_from, *(s.end for s in spans if s.end > settled)])

    def fitting(self, start: float, until: float) -> float:
        """How many items the sidecars that reach endpoints can do in that span, by a half of their room.

        One that is begun so late that it may take until after its end does not count.
        """
        until -= FIRST_EVENT_S + MOST_RUN_S
        seconds = sum(
            sidecar.plan.room * max(0.0, until - max(start, self._able_from(sidecar, start)))
            for sidecar in self.sidecars
        )
        return USED_SHARE * min(seconds, self.plan.places * (until - start)) / (FIRST_EVENT_S + RUN_S)

    def play(self) -> None:
        """Raises:
        Broken: names the seed and what does not hold.
        """
        well_from = self.well_from()
        self.timeline.run_until(well_from)
        waiting = sum(len(job.items) - job.assigned_positions for job in self.table.open_jobs())
        listed_before = self.listed
        until = well_from + DONE_S
        while self.timeline.now < until:
            self.timeline.run_until(self.timeline.now + LOOK_S)
            self._note_running()
            self._check_lots(well_from)
        fits = min(waiting, self.fitting(well_from, until))
        done = self.listed - listed_before
        if done < DONE_SHARE * fits:
            raise Broken(f"{self.seed}: {done} done in {DONE_S:g} s of {waiting} that wait, {fits:.0f} fit")

    def _has_room(self, route: str) -> bool:
        """Whether endpoints are under half full, and so are the sidecars that reach them by that route."""
        able = [s for s in self.sidecars if s.is_able(self.timeline.now) and s.knows(route)]
        used = sum(len(sidecar.at_endpoint) for sidecar in able)
        room = sum(sidecar.plan.room for sidecar in able)
        return self.filled() < FULL_SHARE and used < FULL_SHARE * room

    def _check_lots(self, well_from: float) -> None:
        now = self.timeline.now
        has_room = {route: self._has_room(route) for route in (ROUTE, NEW_ROUTE)}
        for lot in self.open_lots():
            if not has_room[self.table.jobs[lot].record.route]:
                self._served[lot] = now  # the span begins anew
                continue
            since = max(well_from, self._accepted[lot], self._served.get(lot, 0.0))
            if now - since > SERVED_S:
                raise Broken(
                    f"{self.seed}: {lot} has had nothing at an endpoint for {now - since:.1f} s "
                    f"at {now:.1f} s; these are {self.filled():.2f} full, well since {well_from:.1f} s"
                )
