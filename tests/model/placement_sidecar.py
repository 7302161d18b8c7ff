"""Sidecars of the placement model: they run items while they reach endpoints, and give the others back."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from eiderhub.batch.dispatch import WorkerSession
from eiderhub.batch.messages import (
    BatchMessage,
    CancelItem,
    ItemFinished,
    ItemKey,
    ItemReturned,
    ItemStored,
    ProbeEndpoints,
    Reach,
    ReturnReason,
    RunItem,
    WorkerOpen,
    WorkerReport,
)
from tests.model.placement_plan import NEW_ROUTE, ROUTE, Failing, SidecarPlan

if TYPE_CHECKING:
    from tests.model.placement import PlacementWorld

REPORT_S = 1.0
FIRST_EVENT_S, RUN_S = 0.1, 1.5  # of an item at an endpoint, on the mean
MOST_RUN_S = 4.0
# What a sidecar does with an item that it can't move (dataplane/items.py).
QUEUE_SILENCE_S, SILENT_ATTEMPT_S = 1.0, 4.25
THREE_CONNECTS_S = 0.9
HOLD_S = 0.3  # the decisions hold an item for which there is no room
SILENT_FOR_S = 2.0  # kept connections to endpoints that have gone dark are used for so long


class Running(NamedTuple):
    order: RunItem
    serial: int


class ModelSidecar:
    """One sidecar with an open session."""

    def __init__(self, world: PlacementWorld, name: str, plan: SidecarPlan) -> None:
        self._world = world
        self.name = name
        self.plan = plan
        self.session: WorkerSession | None = None
        self._received = 0
        self._held: dict[ItemKey, Running] = {}
        self._queue: list[ItemKey] = []
        self.at_endpoint: set[ItemKey] = set()
        self._begun: set[ItemKey] = set()
        self._done: set[ItemKey] = set()  # and not stored
        self._serial = 0
        self._answered = False
        self._reach = Reach.UNKNOWN
        for span in plan.dark:
            world.timeline.at(span.start, self._goes_dark)
            world.timeline.at(span.end, self._sends)
        for span in plan.refusing:
            world.timeline.at(span.end, self._sends)
        world.timeline.at(world.rng.random() * REPORT_S, self._report_forever)
        world.timeline.at(plan.knows_new_route_from, self._report)

    def is_dark(self, now: float) -> bool:
        return any(span.holds(now) for span in self.plan.dark)

    def is_able(self, now: float) -> bool:
        """Whether it would run an item of any route."""
        refuses = any(span.holds(now) for span in self.plan.refusing)
        return not self.is_dark(now) and not refuses

    def knows(self, route: str) -> bool:
        return route == ROUTE or self._world.timeline.now >= self.plan.knows_new_route_from

    def open(self) -> None:
        self._received = 0
        now = self._world.timeline.now
        message = WorkerOpen(self.name, "z", list(self._held), self._reach)
        self.session = self._world.dispatcher.open_session(now, message)
        for key in self._begun:
            self._world.dispatcher.item_started(now, self.session, key)

    def _report_forever(self) -> None:
        now = self._world.timeline.now
        if now < self.plan.live_until and not self.is_dark(now):
            self._note_answer()
        self._report()
        self._world.timeline.after(REPORT_S, self._report_forever)

    def _note_answer(self) -> None:
        self._answered = True
        self._reach = Reach.ANSWERED

    def _report(self) -> None:
        if self.session is None:
            return
        for key in self._done:  # told again until it is stored
            self._world.finish(self, ItemFinished(key, True, "text"))
        message = WorkerReport(self._received, list(self._held), self._answered, int(self.knows(NEW_ROUTE)))
        self._answered = False
        report = partial(self._world.dispatcher.report, session=self.session, message=message)
        self._world.tell(report)

    # --- orders ---

    def receive(self, message: BatchMessage) -> None:
        if isinstance(message, RunItem):
            self._received += 1
            if message.key not in self._held:
                self._take(message)
        elif isinstance(message, ProbeEndpoints):
            if not self.is_dark(self._world.timeline.now):
                self._note_answer()
                self._report()
        elif isinstance(message, CancelItem | ItemStored):
            self._forget(message.key)

    def _take(self, order: RunItem) -> None:
        self._serial += 1
        self._held[order.key] = Running(order, self._serial)
        if not self.knows(order.route):
            self._give_back(order.key, ReturnReason.UNKNOWN_ROUTE)
            return
        self._queue.append(order.key)
        reason, after_s = self._patience()
        self._later(after_s, order.key, partial(self._give_up, order.key, reason))
        self._sends()

    def _patience(self) -> tuple[ReturnReason, float]:
        """How an item ends that no endpoint takes, and when."""
        now = self._world.timeline.now
        since = max((span.start for span in self.plan.dark if span.holds(now)), default=None)
        if since is None:
            refuses = any(span.holds(now) for span in self.plan.refusing)
            return ReturnReason.REFUSED, self.plan.refuses_after_s if refuses else HOLD_S
        if now - since < SILENT_FOR_S:
            return ReturnReason.SILENT, SILENT_ATTEMPT_S
        if self.plan.failing is Failing.FAILED:
            return ReturnReason.FAILED, THREE_CONNECTS_S
        if self.plan.failing is Failing.REFUSED:
            return ReturnReason.REFUSED, self.plan.refuses_after_s
        return ReturnReason.STUCK, QUEUE_SILENCE_S

    def _later(self, delay_s: float, key: ItemKey, call: Callable[[], None]) -> None:
        serial = self._held[key].serial

        def due() -> None:
            held = self._held.get(key)
            if held is not None and held.serial == serial:
                call()

        self._world.timeline.after(delay_s, due)

    def _sends(self) -> None:
        """Send what waits, as far as there is room."""
        now = self._world.timeline.now
        while (
            self._queue
            and self.is_able(now)
            and len(self.at_endpoint) < self.plan.room
            and self._world.has_place()
        ):
            self._send(self._queue.pop(0))

    def _send(self, key: ItemKey) -> None:
        world = self._world
        self.at_endpoint.add(key)
        world.note_served(key)
        first_s = world.rng.expovariate(1 / FIRST_EVENT_S)
        run_s = min(MOST_RUN_S, world.rng.expovariate(1 / RUN_S)) if world.plan.long_items else 0.2
        self._later(first_s, key, partial(self._started, key))
        self._later(first_s + run_s, key, partial(self._finished, key))

    def _started(self, key: ItemKey) -> None:
        self._begun.add(key)
        self._note_answer()
        assert self.session is not None
        self._world.tell(partial(self._world.dispatcher.item_started, session=self.session, key=key))

    def _finished(self, key: ItemKey) -> None:
        self.at_endpoint.discard(key)
        self._done.add(key)
        self._world.finish(self, ItemFinished(key, True, "text"))
        self._sends()

    def _give_up(self, key: ItemKey, reason: ReturnReason) -> None:
        if key in self._queue:
            self._queue.remove(key)
            self._give_back(key, reason)

    def _goes_dark(self) -> None:
        """What was at endpoints is cut off, or silent."""
        for key in list(self.at_endpoint):
            self.at_endpoint.discard(key)
            running = self._held[key]
            self._serial += 1
            self._held[key] = Running(running.order, self._serial)
            self._later(SILENT_ATTEMPT_S, key, partial(self._give_back, key, ReturnReason.SILENT))

    def _give_back(self, key: ItemKey, reason: ReturnReason) -> None:
        self._forget(key)
        if reason is not ReturnReason.UNKNOWN_ROUTE:
            self._reach = Reach.UNANSWERED
        assert self.session is not None
        message = ItemReturned(key, reason, 0)
        self._world.tell(partial(self._world.dispatcher.item_returned, session=self.session, message=message))

    def _forget(self, key: ItemKey) -> None:
        self._held.pop(key, None)
        self._begun.discard(key)
        self._done.discard(key)
        self.at_endpoint.discard(key)
        if key in self._queue:
            self._queue.remove(key)
