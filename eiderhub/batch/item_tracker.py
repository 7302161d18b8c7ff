"""The items that a sidecar holds for the storage primary, and their outcomes that are still to be reported.

Performs no I/O: callers pass the time and events, and send the returned messages. An item is removed only
once its outcome has been sent in a session that the primary has accepted. An outcome that arises without a
session, or while one is opening, is sent as soon as the session is accepted.
"""

from __future__ import annotations

from enum import Enum

from eiderhub.batch.messages import (
    REPORT_INTERVAL_S,
    SESSION_TIMEOUT_S,
    BatchMessage,
    ItemFinished,
    ItemKey,
    ItemReturned,
    ItemStarted,
    Reach,
    ReturnReason,
    WorkerOpen,
    WorkerReport,
)
from eiderhub.coordination.wire import OWN_SUPPORT

# Reasons that do not show whether the sidecar reaches endpoints.
REASONS_UNRELATED_TO_REACH = (ReturnReason.STOPPING, ReturnReason.ROUTE_MOVED, ReturnReason.UNKNOWN_ROUTE)
RESEND_INTERVAL_S = 1.0  # an outcome that the primary has not confirmed as stored is sent again


class OrderResult(Enum):
    """Whether an order to run an item is new to the sidecar."""

    NEW = "new"
    ALREADY_HELD = "held"  # the sidecar has the item already, running or ended


class _HeldItem:
    """One item; `outcome` is set once it has ended."""

    __slots__ = ("outcome", "sent_at", "started")

    def __init__(self) -> None:
        self.started = False
        self.outcome: ItemFinished | ItemReturned | None = None
        self.sent_at = 0.0


class ItemTracker:
    """The items of one sidecar and the state of its session with the primary."""

    def __init__(self, node: str, zone: str) -> None:
        self._node = node
        self._zone = zone
        self._held: dict[ItemKey, _HeldItem] = {}
        self._orders_received = 0  # `RunItem` messages in this session
        self._last_message_at = 0.0
        self._next_report_at = 0.0
        self._answered_since_report = False  # whether an endpoint has answered since the last report
        self._reach = Reach.UNKNOWN
        self._generation = 0  # generation of the routing configuration
        self._missed_route = False  # an item was returned because that configuration lacks its route
        self.accepted = False

    def __len__(self) -> int:
        return len(self._held)

    @property
    def keys(self) -> list[ItemKey]:
        return list(self._held)

    # --- the session ---

    def open_session(self) -> WorkerOpen:
        """Start a new session and return its first message."""
        self.accepted = False
        self._orders_received = 0
        return WorkerOpen(self._node, self._zone, self.keys, self._reach, OWN_SUPPORT)

    def accept_session(self, now: float) -> list[BatchMessage]:
        """The primary has accepted the session; returns started items, outcomes so far and a report."""
        self.accepted = True
        self._last_message_at = now
        messages: list[BatchMessage] = [ItemStarted(key) for key, held in self._held.items() if held.started]
        for key in self.keys:
            messages += self._send_outcome(now, key)
        return [*messages, self._report(now)]

    def end_session(self) -> None:
        """The session has ended."""
        self.accepted = False

    def message_received(self, now: float) -> None:
        """A message of the primary has arrived."""
        self._last_message_at = now

    def endpoint_answered(self) -> None:
        """An endpoint has answered a call of this sidecar."""
        self._answered_since_report = True
        self._reach = Reach.ANSWERED

    def probe_answered(self, now: float) -> list[BatchMessage]:
        """An endpoint has answered a probe; returns the report that the primary waits for."""
        self.endpoint_answered()
        return [self._report(now)] if self.accepted else []

    def routes_changed(self, now: float, generation: int) -> list[BatchMessage]:
        """Set the generation in force; returns a report if the previous one lacked a route."""
        missed, self._missed_route = self._missed_route, False
        self._generation = generation
        return [self._report(now)] if self.accepted and missed else []

    def is_silent(self, now: float) -> bool:
        """Whether the session is to be closed because the primary has sent nothing for too long."""
        return self.accepted and now - self._last_message_at > SESSION_TIMEOUT_S

    def tick(self, now: float) -> list[BatchMessage]:
        """Return the outcomes to send again and the report, once the report is due."""
        if not self.accepted or now < self._next_report_at:
            return []
        resent: list[BatchMessage] = []
        for key, held in list(self._held.items()):
            if held.outcome is not None and now - held.sent_at >= RESEND_INTERVAL_S:
                resent += self._send_outcome(now, key)
        return [*resent, self._report(now)]

    def _report(self, now: float) -> WorkerReport:
        self._next_report_at = now + REPORT_INTERVAL_S
        answered, self._answered_since_report = self._answered_since_report, False
        return WorkerReport(self._orders_received, self.keys, answered, self._generation)

    # --- items ---

    def receive_order(self, key: ItemKey) -> OrderResult:
        """Add an item that the primary has ordered to run here."""
        self._orders_received += 1
        if key in self._held:
            return OrderResult.ALREADY_HELD
        self._held[key] = _HeldItem()
        return OrderResult.NEW

    def mark_started(self, key: ItemKey) -> list[BatchMessage]:
        """The first event of the item has come from an endpoint; returns the messages to send."""
        held = self._held.get(key)
        if held is None:
            return []
        held.started = True
        return [ItemStarted(key)] if self.accepted else []

    def mark_ended(self, now: float, outcome: ItemFinished | ItemReturned) -> list[BatchMessage]:
        """The item has ended here; returns the messages to send."""
        held = self._held.get(outcome.key)
        if held is None:
            return []
        held.outcome = outcome
        if isinstance(outcome, ItemReturned):
            self._missed_route |= outcome.reason is ReturnReason.UNKNOWN_ROUTE
            if outcome.reason not in REASONS_UNRELATED_TO_REACH:
                self._reach = Reach.UNANSWERED
        return self._send_outcome(now, outcome.key)

    def _send_outcome(self, now: float, key: ItemKey) -> list[BatchMessage]:
        held = self._held[key]
        if held.outcome is None or not self.accepted:
            return []
        held.sent_at = now
        if isinstance(held.outcome, ItemReturned):
            del self._held[key]
        return [held.outcome]

    def remove_item(self, key: ItemKey) -> None:
        """Remove an item whose result is stored or which has been cancelled."""
        self._held.pop(key, None)
