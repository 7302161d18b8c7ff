"""What a sidecar holds of the storage primary's items, and what it still owes the primary.

Pure: it is told the time and what happens, and says what to send. An item leaves the ledger only once the
primary has been told of its end in a session that it has accepted: what ends while there is no session, or
while one opens, is told as soon as the session has been accepted.
"""

from __future__ import annotations

from enum import Enum

from eiderhub.batch.messages import (
    REPORT_S,
    SILENT_S,
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

# Ends that say nothing of the sidecar's way to endpoints.
OF_THE_ITEM_ALONE = (ReturnReason.STOPPING, ReturnReason.ROUTE_MOVED, ReturnReason.UNKNOWN_ROUTE)
TELL_AGAIN_S = 1.0  # a result that has not been stored by then is told again


class Order(Enum):
    """What an order to run an item means to its sidecar."""

    NEW = "new"
    HELD = "held"  # it has the item already, running or ended


class _Held:
    """One item; `outcome` is its end, until the primary has taken it."""

    __slots__ = ("begun", "outcome", "told_at")

    def __init__(self) -> None:
        self.begun = False
        self.outcome: ItemFinished | ItemReturned | None = None
        self.told_at = 0.0


class ItemLedger:
    """Of one sidecar."""

    def __init__(self, node: str, zone: str) -> None:
        self._node = node
        self._zone = zone
        self._held: dict[ItemKey, _Held] = {}
        self._received = 0  # `RunItem`s of this session
        self._heard_at = 0.0
        self._next_report = 0.0
        self._answered = False  # by endpoints, since the last report
        self._reach = Reach.UNKNOWN
        self._generation = 0  # of the configuration by which this sidecar routes
        self._lacked_route = False  # an item was given back for want of its route, by that configuration
        self.accepted = False

    def __len__(self) -> int:
        return len(self._held)

    @property
    def keys(self) -> list[ItemKey]:
        return list(self._held)

    # --- the session ---

    def open(self) -> WorkerOpen:
        """The first message of a new session."""
        self.accepted = False
        self._received = 0
        return WorkerOpen(self._node, self._zone, self.keys, self._reach, OWN_SUPPORT)

    def accept(self, now: float) -> list[BatchMessage]:
        """The primary has taken the session: what has begun, what ended meanwhile, and what is held now."""
        self.accepted = True
        self._heard_at = now
        told: list[BatchMessage] = [ItemStarted(key) for key, held in self._held.items() if held.begun]
        for key in self.keys:
            told += self._tell(now, key)
        return [*told, self._report(now)]

    def end(self) -> None:
        """The session is over."""
        self.accepted = False

    def heard(self, now: float) -> None:
        """The primary has said something."""
        self._heard_at = now

    def endpoints_answered(self) -> None:
        """An endpoint has answered a call of this sidecar."""
        self._answered = True
        self._reach = Reach.ANSWERED

    def probed(self, now: float) -> list[BatchMessage]:
        """An endpoint has answered a probe; what to send: the primary waits for it."""
        self.endpoints_answered()
        return [self._report(now)] if self.accepted else []

    def routes_changed(self, now: float, generation: int) -> list[BatchMessage]:
        """Another configuration is in force; what to send: who lacked a route may have it now."""
        lacked, self._lacked_route = self._lacked_route, False
        self._generation = generation
        return [self._report(now)] if self.accepted and lacked else []

    def is_silent(self, now: float) -> bool:
        """Whether the primary has said nothing for so long that the session is to be ended."""
        return self.accepted and now - self._heard_at > SILENT_S

    def tick(self, now: float) -> list[BatchMessage]:
        """Let time pass: what to tell again, and the report when it is due."""
        if not self.accepted or now < self._next_report:
            return []
        again: list[BatchMessage] = []
        for key, held in list(self._held.items()):
            if held.outcome is not None and now - held.told_at >= TELL_AGAIN_S:
                again += self._tell(now, key)
        return [*again, self._report(now)]

    def _report(self, now: float) -> WorkerReport:
        self._next_report = now + REPORT_S
        answered, self._answered = self._answered, False
        return WorkerReport(self._received, self.keys, answered, self._generation)

    # --- items ---

    def order(self, key: ItemKey) -> Order:
        """The primary has the item run here."""
        self._received += 1
        if key in self._held:
            return Order.HELD
        self._held[key] = _Held()
        return Order.NEW

    def began(self, key: ItemKey) -> list[BatchMessage]:
        """The item's first event has come from an endpoint; what to send."""
        held = self._held.get(key)
        if held is None:
            return []
        held.begun = True
        return [ItemStarted(key)] if self.accepted else []

    def ended(self, now: float, outcome: ItemFinished | ItemReturned) -> list[BatchMessage]:
        """The item has come to its end here; what to send."""
        held = self._held.get(outcome.key)
        if held is None:
            return []
        held.outcome = outcome
        if isinstance(outcome, ItemReturned):
            self._lacked_route |= outcome.reason is ReturnReason.UNKNOWN_ROUTE
            if outcome.reason not in OF_THE_ITEM_ALONE:
                self._reach = Reach.UNANSWERED
        return self._tell(now, outcome.key)

    def _tell(self, now: float, key: ItemKey) -> list[BatchMessage]:
        held = self._held[key]
        if held.outcome is None or not self.accepted:
            return []
        held.told_at = now
        if isinstance(held.outcome, ItemReturned):
            del self._held[key]
        return [held.outcome]

    def forget(self, key: ItemKey) -> None:
        """The primary has stored the item's result, or wants no more of the item."""
        self._held.pop(key, None)
