"""Retirement of storage nodes: retire orders, and when a machine and its disk may be removed.

Performs no I/O. An order names a machine and lists the identities of its replica: the one at the time of the
order, and any that replaces it because the disk is lost before the order is done. An order is done once the
storage group has committed that all these identities are barred, no member runs on the machine, and all
members have all committed writes. Barring is permanent: no later primary of the group can admit a barred
identity again.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from eiderhub.control.messages import NodeRecord, Retirement, StorageReport
from eiderhub.coordination.keys import prefixed_key
from eiderhub.coordination.messages import Write
from eiderhub.coordination.roster import address_of, host_of

RETIRE_PREFIX = "retire/"


class RetireOrder(msgspec.Struct, frozen=True):
    identities: list[str]
    done: bool = False
    node: str = ""  # its name, where the key holds only a digest of it


def encode_order(name: str, order: RetireOrder) -> Write:
    key = prefixed_key(RETIRE_PREFIX, name)
    node = "" if key == RETIRE_PREFIX + name else name
    return Write(key, msgspec.json.encode(msgspec.structs.replace(order, node=node)))


def decode_orders(entries: Iterable[tuple[str, bytes]]) -> dict[str, RetireOrder]:
    """Decode the orders in the control state, by machine name."""
    orders = {}
    for key, value in entries:
        order = msgspec.json.decode(value, type=RetireOrder)
        orders[order.node or key.removeprefix(RETIRE_PREFIX)] = order
    return orders


def retirement_records(orders: Mapping[str, RetireOrder]) -> list[Retirement]:
    return [Retirement(name, order.identities, order.done) for name, order in orders.items()]


def is_duplicate(order: RetireOrder | None, identity: str) -> bool:
    """Whether this order already covers the machine that now has this identity.

    A done order covers only the identities that it lists: a new machine may reuse the name.
    """
    return order is not None and (not order.done or identity in order.identities)


def retiring_hosts(orders: Mapping[str, RetireOrder]) -> frozenset[str]:
    """The hosts of all machines with an order that is not done."""
    return frozenset(host_of(i) for order in orders.values() if not order.done for i in order.identities)


def is_empty(order: RetireOrder, report: StorageReport) -> bool:
    """Whether the storage group has no data on the machine and can never place any there again."""
    addresses = {address_of(identity) for identity in order.identities}
    barred = set(order.identities) <= set(report.barred)
    absent = addresses.isdisjoint(address_of(member) for member in report.members)
    return report.synced and barred and absent


def next_state(
    name: str, order: RetireOrder, nodes: Iterable[NodeRecord], report: StorageReport | None
) -> RetireOrder:
    """The order after a report; `nodes` are the storage nodes that have sessions."""
    if order.done:
        return order
    new_identities = [n.identity for n in nodes if n.name == name and n.identity not in order.identities]
    if new_identities:
        return msgspec.structs.replace(order, identities=order.identities + new_identities)
    if report is not None and is_empty(order, report):
        return msgspec.structs.replace(order, done=True)
    return order
