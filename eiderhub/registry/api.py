"""HTTP API of the list service for its clients and followers: paths, headers and JSON bodies.

GET  /discovery/hosts[?after&wait_ms&service&tier&view]   list or long poll, as PROTOCOL defines it
POST /registry/put, drain, remove, renew                  write requests
POST /registry/zone                                       set or end an operator's order on a zone
GET  /registry/zones?service                              zones with their endpoint counts and active orders
GET  /registry/feed?after&wait_ms                         changes for followers
GET  /registry/status
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from eiderhub.registry.field_types import Name, NameOrEmpty
from eiderhub.registry.records import Change, Image, Order, Record, Version

PUT_PATH, DRAIN_PATH, REMOVE_PATH, RENEW_PATH = (
    "/registry/put",
    "/registry/drain",
    "/registry/remove",
    "/registry/renew",
)
ZONE_PATH, ZONES_PATH = "/registry/zone", "/registry/zones"
LIST_PATH, FEED_PATH, STATUS_PATH = "/discovery/hosts", "/registry/feed", "/registry/status"
MAX_WAIT_MS = 60_000
MAX_RENEWED_RECORDS = 1000

# Headers of answers. Registry-Branch is also sent by callers, as IDENTITY/BRANCH of the version in `after`.
IDENTITY_HEADER = b"registry-id"
BRANCH_HEADER = b"registry-branch"
CONTINUES_HEADER = b"registry-continues"  # 0: the caller's version is not part of this service's history
AGE_MS_HEADER = b"registry-age-ms"  # upper bound on the age of the list
CALLERS_HEADER = b"registry-callers"  # open connections to the service


class PutRequest(Struct, rename="camel", frozen=True, kw_only=True):
    record: Record
    if_version: Version | None = None


class RecordReference(Struct, rename="camel", frozen=True, kw_only=True):
    """Identifies an existing record. Without an owner the request is an operator's."""

    service: Name = "default"
    tier: Name = "default"
    id: Name
    owner: NameOrEmpty | None = None


class RecordRequest(RecordReference, rename="camel", frozen=True, kw_only=True):
    """Body of drain and remove requests."""

    if_version: Version | None = None
    undo: bool = False  # of a drain


class EndOrderRequest(Struct, rename="camel", frozen=True, kw_only=True):
    """Ends the order on a zone immediately."""

    service: Name = "default"
    zone: Name


class RenewRequest(Struct, rename="camel", frozen=True, kw_only=True):
    records: Annotated[list[RecordReference], Meta(min_length=1, max_length=MAX_RENEWED_RECORDS)]


class ZoneOrderRequest(Struct, rename="camel", frozen=True, kw_only=True):
    """Exactly one of `order` and `over`."""

    order: Order | None = None
    over: EndOrderRequest | None = None
    force: bool = False  # even if some tier has no ready endpoint in another zone

    def __post_init__(self) -> None:
        if (self.order is None) == (self.over is None):
            raise ValueError("exactly one of order and over is required")


class ZoneState(Struct, rename="camel", frozen=True, kw_only=True):
    """Endpoints of one zone, and the active order on it."""

    zone: str
    region: str
    ready: int  # endpoints of all tiers
    listed: int
    order: Order | None = None


class ZonesResponse(Struct, rename="camel", frozen=True, kw_only=True):
    version: int
    age_ms: int
    zones: list[ZoneState]


class WriteResponse(Struct, rename="camel", frozen=True, kw_only=True):
    """Answer to a write request."""

    version: int = 0  # of the record
    why: str = ""  # reason for a refusal; empty on success


class RenewResponse(Struct, rename="camel", frozen=True, kw_only=True):
    """Status and reason of refusal for each record, in the order of the request."""

    statuses: list[int]
    why: list[str]


class FeedResponse(Struct, rename="camel", frozen=True, kw_only=True):
    """Changes after the follower's version, or a full image."""

    identity: str
    version: int
    changes: list[Change] = []
    image: Image | None = None


class StatusResponse(Struct, rename="camel", frozen=True, kw_only=True):
    role: str
    identity: str
    branch: str
    version: int
    records: int
    draining: int
    tombstones: int
    callers: int
    watches: int
    age_ms: int
    main: str  # address of the main service; empty on the main service itself
    writes: int  # changes made durable since the start
    syncs: int
    refused: int  # requests refused because of a limit
    store_failing: str  # reason why writes currently fail
