"""Retirement of storage nodes: which orders there are, and when a machine and its disk may be taken away.

Pure. An order names a machine and is kept by the identities of its replica: the one that it had, and any
that comes in its place when its disk is lost before the order is done. It is done when the storage group
itself has committed that it bars each of them and has no member on the machine, and all its members have all
that is committed. What is barred stays so: no later primary of the group can make it a member again.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from eiderhub.control.messages import NodeRecord, Retirement, StorageReport
from eiderhub.coordination.messages import Write
from eiderhub.coordination.roster import address_of

RETIRE_PREFIX = "retire/"


class RetireOrder(msgspec.Struct, frozen=True):
    identities: list[str]
    done: bool = False


def write_order(name: str, order: RetireOrder) -> Write:
    return Write(RETIRE_PREFIX + name, msgspec.json.encode(order))


def read_orders(entries: Iterable[tuple[str, bytes]]) -> dict[str, RetireOrder]:
    """Orders by machine, from the control state."""
    decode = msgspec.json.Decoder(RetireOrder).decode
    return {key.removeprefix(RETIRE_PREFIX): decode(value) for key, value in entries}


def published(orders: Mapping[str, RetireOrder]) -> list[Retirement]:
    return [Retirement(name, order.identities, order.done) for name, order in orders.items()]


def is_repeat(order: RetireOrder | None, identity: str) -> bool:
    """Whether an order for the machine that now has this identity stands already."""
    return order is not None and (not order.done or identity in order.identities)


def is_empty(order: RetireOrder, report: StorageReport) -> bool:
    """Whether the storage group holds nothing on the machine, and never will."""
    places = {address_of(identity) for identity in order.identities}
    barred = set(order.identities) <= set(report.barred)
    absent = places.isdisjoint(address_of(member) for member in report.members)
    return report.synced and barred and absent


def next_state(
    name: str, order: RetireOrder, nodes: Iterable[NodeRecord], report: StorageReport | None
) -> RetireOrder:
    """The order as it stands now; `nodes` are the storage nodes that have sessions."""
    if order.done:
        return order
    new = [n.identity for n in nodes if n.name == name and n.identity not in order.identities]
    if new:
        return RetireOrder(order.identities + new)
    if report is not None and is_empty(order, report):
        return RetireOrder(order.identities, done=True)
    return order
