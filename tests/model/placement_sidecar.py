"""Sidecars of the placement model: they run items while endpoints are reachable and return the others."""

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
from tests.model.placement_plan import NEW_ROUTE, ROUTE, FailureMode, SidecarPlan

if TYPE_CHECKING:
    from tests.model.placement import PlacementWorld

REPORT_INTERVAL_S = 1.0
MEAN_FIRST_EVENT_S, MEAN_RUN_S = 0.1, 1.5  # exponentially distributed
MAX_RUN_S = 4.0
# Times after which a sidecar returns an item that makes no progress (dataplane/items.py).
QUEUE_TIMEOUT_S, SILENT_ATTEMPT_TIMEOUT_S = 1.0, 4.25
CONNECT_FAILURE_S = 0.9  # until three connection attempts have failed
ADMISSION_HOLD_S = 0.3  # time that an item waits for admission before it is refused
CONNECTION_REUSE_S = 2.0  # open connections to unreachable endpoints are still used during this time


class HeldItem(NamedTuple):
    """An item that the sidecar has; scheduled calls for it are void once its `serial` has changed."""

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
        self._held: dict[ItemKey, HeldItem] = {}
        self._queue: list[ItemKey] = []
        self.at_endpoint: set[ItemKey] = set()
        self._started_keys: set[ItemKey] = set()
        self._unstored: set[ItemKey] = set()  # finished, and not yet confirmed as stored
        self._serial = 0
        self._answered_since_report = False
        self._reach = Reach.UNKNOWN
        for span in plan.unreachable:
            world.timeline.at(span.start, self._lose_endpoints)
            world.timeline.at(span.end, self._start_queued)
        for span in plan.refusing:
            world.timeline.at(span.end, self._start_queued)
        world.timeline.at(world.rng.random() * REPORT_INTERVAL_S, self._report_forever)
        world.timeline.at(plan.knows_new_route_from, self._report)

    def is_unreachable(self, now: float) -> bool:
        return any(span.contains(now) for span in self.plan.unreachable)

    def is_able(self, now: float) -> bool:
        """Whether it would run an item of any route."""
        refuses = any(span.contains(now) for span in self.plan.refusing)
        return not self.is_unreachable(now) and not refuses

    def knows_route(self, route: str) -> bool:
        return route == ROUTE or self._world.timeline.now >= self.plan.knows_new_route_from

    def open(self) -> None:
        """Open a session with a new primary and announce the items that the sidecar has."""
        self._received = 0
        now = self._world.timeline.now
        message = WorkerOpen(self.name, "z", list(self._held), self._reach)
        self.session = self._world.dispatcher.open_session(now, message)
        for key in self._started_keys:
            self._world.dispatcher.item_started(now, self.session, key)

    def _report_forever(self) -> None:
        now = self._world.timeline.now
        if now < self.plan.live_calls_until and not self.is_unreachable(now):
            self._record_answer()
        self._report()
        self._world.timeline.after(REPORT_INTERVAL_S, self._report_forever)

    def _record_answer(self) -> None:
        self._answered_since_report = True
        self._reach = Reach.ANSWERED

    def _report(self) -> None:
        if self.session is None:
            return
        for key in self._unstored:  # sent again until confirmed as stored
            self._world.finish_item(self, ItemFinished(key, True, "text"))
        message = WorkerReport(
            self._received, list(self._held), self._answered_since_report, int(self.knows_route(NEW_ROUTE))
        )
        self._answered_since_report = False
        report = partial(self._world.dispatcher.report, session=self.session, message=message)
        self._world.send_to_primary(report)

    # --- orders ---

    def receive(self, message: BatchMessage) -> None:
        """Handle a message of the primary."""
        if isinstance(message, RunItem):
            self._received += 1
            if message.key not in self._held:
                self._accept(message)
        elif isinstance(message, ProbeEndpoints):
            if not self.is_unreachable(self._world.timeline.now):
                self._record_answer()
                self._report()
        elif isinstance(message, CancelItem | ItemStored):
            self._remove_item(message.key)

    def _accept(self, order: RunItem) -> None:
        self._serial += 1
        self._held[order.key] = HeldItem(order, self._serial)
        if not self.knows_route(order.route):
            self._return_item(order.key, ReturnReason.UNKNOWN_ROUTE)
            return
        self._queue.append(order.key)
        reason, after_s = self._return_reason()
        self._schedule(after_s, order.key, partial(self._return_queued, order.key, reason))
        self._start_queued()

    def _return_reason(self) -> tuple[ReturnReason, float]:
        """Why an item that no endpoint accepts is returned, and after how many seconds."""
        now = self._world.timeline.now
        since = max((span.start for span in self.plan.unreachable if span.contains(now)), default=None)
        if since is None:
            refuses = any(span.contains(now) for span in self.plan.refusing)
            return ReturnReason.REFUSED, self.plan.refuses_after_s if refuses else ADMISSION_HOLD_S
        if now - since < CONNECTION_REUSE_S:
            return ReturnReason.SILENT, SILENT_ATTEMPT_TIMEOUT_S
        if self.plan.failure_mode is FailureMode.FAILED:
            return ReturnReason.FAILED, CONNECT_FAILURE_S
        if self.plan.failure_mode is FailureMode.REFUSED:
            return ReturnReason.REFUSED, self.plan.refuses_after_s
        return ReturnReason.STUCK, QUEUE_TIMEOUT_S

    def _schedule(self, delay_s: float, key: ItemKey, call: Callable[[], None]) -> None:
        serial = self._held[key].serial

        def call_if_held() -> None:
            held = self._held.get(key)
            if held is not None and held.serial == serial:
                call()

        self._world.timeline.after(delay_s, call_if_held)

    def _start_queued(self) -> None:
        """Start queued items while endpoints are reachable and slots are free."""
        now = self._world.timeline.now
        while (
            self._queue
            and self.is_able(now)
            and len(self.at_endpoint) < self.plan.slots
            and self._world.has_free_slot()
        ):
            self._start_item(self._queue.pop(0))

    def _start_item(self, key: ItemKey) -> None:
        world = self._world
        self.at_endpoint.add(key)
        world.record_served(key)
        first_s = world.rng.expovariate(1 / MEAN_FIRST_EVENT_S)
        run_s = min(MAX_RUN_S, world.rng.expovariate(1 / MEAN_RUN_S)) if world.plan.long_items else 0.2
        self._schedule(first_s, key, partial(self._item_started, key))
        self._schedule(first_s + run_s, key, partial(self._item_finished, key))

    def _item_started(self, key: ItemKey) -> None:
        self._started_keys.add(key)
        self._record_answer()
        assert self.session is not None
        self._world.send_to_primary(
            partial(self._world.dispatcher.item_started, session=self.session, key=key)
        )

    def _item_finished(self, key: ItemKey) -> None:
        self.at_endpoint.discard(key)
        self._unstored.add(key)
        self._world.finish_item(self, ItemFinished(key, True, "text"))
        self._start_queued()

    def _return_queued(self, key: ItemKey, reason: ReturnReason) -> None:
        if key in self._queue:
            self._queue.remove(key)
            self._return_item(key, reason)

    def _lose_endpoints(self) -> None:
        """Lose contact with all endpoints: their items are returned as silent after the timeout."""
        for key in list(self.at_endpoint):
            self.at_endpoint.discard(key)
            running = self._held[key]
            self._serial += 1
            self._held[key] = HeldItem(running.order, self._serial)
            self._schedule(
                SILENT_ATTEMPT_TIMEOUT_S, key, partial(self._return_item, key, ReturnReason.SILENT)
            )

    def _return_item(self, key: ItemKey, reason: ReturnReason) -> None:
        self._remove_item(key)
        if reason is not ReturnReason.UNKNOWN_ROUTE:
            self._reach = Reach.UNANSWERED
        assert self.session is not None
        message = ItemReturned(key, reason, 0)
        self._world.send_to_primary(
            partial(self._world.dispatcher.item_returned, session=self.session, message=message)
        )

    def _remove_item(self, key: ItemKey) -> None:
        self._held.pop(key, None)
        self._started_keys.discard(key)
        self._unstored.discard(key)
        self.at_endpoint.discard(key)
        if key in self._queue:
            self._queue.remove(key)
