"""Zone orders: operators' limits on the share of its calls that a zone gets. No I/O and no clock of its own.

Tests ensure that an order expires whatever happens to the system clock, and that the last zone that serves a
tier can't be closed without force.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from eiderhub.interface import Readiness
from eiderhub.registry.records import Group, Key, Order, Ordered, OrderOver, Record


class _ActiveOrder(NamedTuple):
    order: Order
    until_us: int  # monotonic time


class ZoneOrders:
    """The orders in force, at most one for each zone of a service."""

    def __init__(self, unix_offset_us: int) -> None:
        """`unix_offset_us`: Unix time minus monotonic time at the start; later clock steps are ignored."""
        self._offset_us = unix_offset_us
        self._active: dict[Key, _ActiveOrder] = {}

    def unix_ms(self, now_us: int) -> int:
        return (now_us + self._offset_us) // 1000

    def restore(self, now_us: int, orders: Iterable[Order]) -> None:
        self._active = {order.key: self._activate(now_us, order) for order in orders}

    def _activate(self, now_us: int, order: Order) -> _ActiveOrder:
        # A clock set back before a restart, or behind on another machine, must not extend the order.
        remaining_ms = min(order.until_ms - self.unix_ms(now_us), order.for_ms)
        return _ActiveOrder(order, now_us + 1000 * remaining_ms)

    def apply(self, now_us: int, change: Ordered | OrderOver) -> None:
        if isinstance(change, Ordered):
            self._active[change.key] = self._activate(now_us, change.order)
        else:
            self._active.pop(change.key, None)

    def find(self, key: Key) -> Order | None:
        active = self._active.get(key)
        return active.order if active is not None else None

    def all(self) -> list[Order]:
        return [active.order for active in self._active.values()]

    def for_service(self, service: str) -> list[Order]:
        return [held.order for key, held in self._active.items() if key.service == service]

    def expired(self, now_us: int) -> list[Key]:
        """Keys of the orders whose time is over."""
        return [key for key, held in self._active.items() if held.until_us <= now_us]

    def unserved_tiers(self, order: Order, groups: Mapping[Group, Mapping[Key, Record]]) -> list[str]:
        """Tiers that the order would leave without a ready zone that may get calls."""
        if order.share:
            return []
        closed_zones = {one.zone for one in self.for_service(order.service) if not one.share} | {order.zone}
        tiers = []
        for group, records in groups.items():
            if group.service == order.service:
                ready_zones = {r.entry.zone for r in records.values() if r.entry.lifecycle is Readiness.READY}
                if order.zone in ready_zones and ready_zones <= closed_zones:
                    tiers.append(group.tier)
        return tiers
