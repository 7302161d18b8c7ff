"""What the list service holds and is told: records, the changes to them, and the bounds on both."""

from __future__ import annotations

import enum
from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

from eiderhub.address import AddressText
from eiderhub.interface import Readiness
from eiderhub.registry.names import MIN_ORDER_MS, MOST_ORDER_MS, MOST_VIEWS, Lease, Name, NameOrNone

Version = Annotated[int, Meta(ge=0)]


class Entry(Struct, rename="camel", frozen=True, kw_only=True):
    """An endpoint as PROTOCOL lists it."""

    instance_id: Name
    host_port: AddressText
    zone: NameOrNone = ""
    machine_type: NameOrNone = ""
    cell: Annotated[int, Meta(ge=-1, le=1 << 31)] = 0
    lifecycle: Readiness = Readiness.READY
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    started_at_ms: Annotated[int, Meta(ge=0, le=1 << 53)] = 0  # Unix time; 0: long ago


class ZoneShare(Struct, rename="camel", frozen=True, kw_only=True):
    """What operators let a zone have, as lists tell it."""

    zone: str
    share: float
    until_ms: int  # Unix time


class DiscoveryResponse(Struct, rename="camel", frozen=True, kw_only=True, omit_defaults=True):
    """A list in discovery's form: whole, or what has changed. The rest is told whole, where there is any."""

    generation: int
    reset: bool
    instances: list[Entry]
    regions: dict[str, str] = {}  # by zone
    orders: list[ZoneShare] = []


class Group(NamedTuple):
    """Whose list it is: the endpoints of a tier of a service."""

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
    """An entry, whose it is, and where it listens for those who reach it over other networks."""

    service: Name = "default"
    tier: Name = "default"
    entry: Entry
    owner: NameOrNone = ""  # a token of the process that renews it; none: nobody does
    lease_ms: Lease | None = None  # None: it stays until it is removed
    region: NameOrNone = ""  # that its zone is in
    views: Annotated[dict[Name, AddressText], Meta(max_length=MOST_VIEWS)] = {}
    drained: bool = False  # by an operator: its owner's own word does not undo that
    version: Version = 0  # of its last change

    @property
    def key(self) -> Key:
        return Key(self.service, self.tier, self.entry.instance_id)


class Why(enum.Enum):
    """Why a record has gone."""

    REMOVED = "removed"  # by its owner or an operator: that process does not come back
    EXPIRED = "expired"  # its lease ran out: it may be there all the same, and come back


class Tombstone(Struct, rename="camel", frozen=True, kw_only=True):
    """What is left of a record that has gone."""

    service: str
    tier: str
    entry: Entry  # as it was last, but gone
    owner: str
    why: Why
    version: int
    drained: bool = False

    @property
    def key(self) -> Key:
        return Key(self.service, self.tier, self.entry.instance_id)


class Order(Struct, rename="camel", frozen=True, kw_only=True):
    """What operators let a zone of a service have, until it ends by itself."""

    service: Name = "default"
    zone: Name
    share: Annotated[float, Meta(ge=0, le=1)] = 0.0  # of the calls that it would get
    for_ms: Annotated[int, Meta(ge=MIN_ORDER_MS, le=MOST_ORDER_MS)]
    until_ms: Annotated[int, Meta(ge=0)] = 0  # Unix time; the service tells it
    version: Version = 0

    @property
    def key(self) -> Key:
        return zone_key(self.service, self.zone)


def zone_key(service: str, zone: str) -> Key:
    """No record's: those have a tier."""
    return Key(service, "", zone)


class Branch(Struct, rename="camel", frozen=True, kw_only=True):
    """One opening of the store: its versions begin after `after`."""

    name: str
    after: int


# --- changes: what the log holds ---


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
    why: Why

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
    """Tombstones of up to this version are dropped."""

    version: int
    up_to: int


Change = Opened | Put | Gone | Forgotten | Ordered | OrderOver


class Image(Struct, frozen=True, kw_only=True):
    """All that the service holds: a snapshot, and what a follower is told at first."""

    identity: str
    version: int
    lineage: list[Branch]
    records: list[Record]
    tombstones: list[Tombstone]
    orders: list[Order] = []
