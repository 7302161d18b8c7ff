"""Data of the list service: records, changes to them, and the limits of their fields."""

from __future__ import annotations

import enum
from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

from eiderhub.address import AddressText
from eiderhub.interface import Readiness
from eiderhub.registry.field_types import MAX_ORDER_MS, MAX_VIEWS, MIN_ORDER_MS, LeaseMs, Name, NameOrEmpty

Version = Annotated[int, Meta(ge=0)]


class Entry(Struct, rename="camel", frozen=True, kw_only=True):
    """An endpoint in the form of the discovery protocol."""

    instance_id: Name
    host_port: AddressText
    zone: NameOrEmpty = ""
    machine_type: NameOrEmpty = ""
    cell: Annotated[int, Meta(ge=-1, le=1 << 31)] = 0
    lifecycle: Readiness = Readiness.READY
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    started_at_ms: Annotated[int, Meta(ge=0, le=1 << 53)] = 0  # Unix time; 0: unknown, long ago


class ZoneShare(Struct, rename="camel", frozen=True, kw_only=True):
    """A zone order in force, as it is sent in a list: the share of its calls that the zone gets."""

    zone: str
    share: float
    until_ms: int  # Unix time


class DiscoveryResponse(Struct, rename="camel", frozen=True, kw_only=True, omit_defaults=True):
    """A list in the form of discovery: with `reset` all entries, else the changed ones.

    Regions and orders are always complete; they are left out if there are none.
    """

    generation: int
    reset: bool
    instances: list[Entry]
    regions: dict[str, str] = {}  # by zone
    orders: list[ZoneShare] = []


class Group(NamedTuple):
    """The endpoints of one tier of a service; each group has a list of its own."""

    service: str
    tier: str


class Key(NamedTuple):
    service: str
    tier: str
    id: str

    @property
    def group(self) -> Group:
        return Group(self.service, self.tier)


class Record(Struct, rename="camel", frozen=True, kw_only=True):
    """An entry with its group, its owner, and its addresses in other networks (views)."""

    service: Name = "default"
    tier: Name = "default"
    entry: Entry
    owner: NameOrEmpty = ""  # token of the process that renews it; empty if nobody does
    lease_ms: LeaseMs | None = None  # None: listed until it is removed
    region: NameOrEmpty = ""  # of its zone
    views: Annotated[dict[Name, AddressText], Meta(max_length=MAX_VIEWS)] = {}
    drained: bool = False  # by an operator; the owner can't undo it
    version: Version = 0  # of its last change

    @property
    def key(self) -> Key:
        return Key(self.service, self.tier, self.entry.instance_id)


class RemovalReason(enum.Enum):
    """Why a record was removed from the list."""

    REMOVED = "removed"  # by its owner or an operator: that process can't register again
    EXPIRED = "expired"  # its lease expired: the process may still run and register again


class Tombstone(Struct, rename="camel", frozen=True, kw_only=True):
    """Remains of a removed record, until it is forgotten."""

    service: str
    tier: str
    entry: Entry  # the last one, with lifecycle GONE
    owner: str
    why: RemovalReason
    version: int
    drained: bool = False

    @property
    def key(self) -> Key:
        return Key(self.service, self.tier, self.entry.instance_id)


class Order(Struct, rename="camel", frozen=True, kw_only=True):
    """A zone order: an operator's limit on the calls of a zone of a service, until it expires."""

    service: Name = "default"
    zone: Name
    share: Annotated[float, Meta(ge=0, le=1)] = 0.0  # of the calls that it would get without the order
    for_ms: Annotated[int, Meta(ge=MIN_ORDER_MS, le=MAX_ORDER_MS)]
    until_ms: Annotated[int, Meta(ge=0)] = 0  # Unix time; set by the service
    version: Version = 0

    @property
    def key(self) -> Key:
        return zone_key(self.service, self.zone)


def zone_key(service: str, zone: str) -> Key:
    """The key of a zone order. Its tier is empty, so it differs from the key of every record."""
    return Key(service, "", zone)


class Branch(Struct, rename="camel", frozen=True, kw_only=True):
    """The versions of one opening of the store; they begin after version `after`."""

    name: str
    after: int


# --- changes, as they are stored in the log ---


class Opened(Struct, frozen=True, kw_only=True, tag="opened"):
    version: int
    branch: Branch


class Put(Struct, frozen=True, kw_only=True, tag="put"):
    version: int
    record: Record


class Gone(Struct, frozen=True, kw_only=True, tag="gone"):
    version: int
    service: str
    tier: str
    id: str
    why: RemovalReason

    @property
    def key(self) -> Key:
        return Key(self.service, self.tier, self.id)


class Ordered(Struct, frozen=True, kw_only=True, tag="ordered"):
    version: int
    order: Order

    @property
    def key(self) -> Key:
        return self.order.key


class OrderOver(Struct, frozen=True, kw_only=True, tag="order-over"):
    version: int
    service: str
    zone: str

    @property
    def key(self) -> Key:
        return zone_key(self.service, self.zone)


class Forgotten(Struct, frozen=True, kw_only=True, tag="forgotten"):
    """Tombstones up to version `up_to` are dropped."""

    version: int
    up_to: int


Change = Opened | Put | Gone | Forgotten | Ordered | OrderOver


class Image(Struct, frozen=True, kw_only=True):
    """The whole state of the service, for snapshots and for a follower's first read."""

    identity: str
    version: int
    lineage: list[Branch]
    records: list[Record]
    tombstones: list[Tombstone]
    orders: list[Order] = []
