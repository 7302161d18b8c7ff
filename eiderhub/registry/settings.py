"""Settings `[registry]` and `[register]` of a sidecar's TOML file; both are off by default."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from eiderhub.address import AddressText
from eiderhub.registry.field_types import MAX_VIEWS, LeaseMs, Name, NameOrEmpty

Addresses = Annotated[list[AddressText], Meta(min_length=1, max_length=32)]
Seconds = Annotated[float, Meta(gt=0, le=1e7)]


class FollowSettings(Struct, frozen=True, kw_only=True):
    """`[registry]`: take endpoint lists from the list service of this project."""

    addresses: Addresses  # in order of preference, the nearest first
    service: Name = "default"
    tier: Name = "default"
    view: NameOrEmpty = ""  # the network over which endpoints are reached
    keep: str | None = None  # file that stores the last list, used at a start when no address answers
    keep_for_s: Seconds = 3600.0  # maximum age of the stored list
    wait_s: Annotated[float, Meta(ge=0.1, le=50)] = 10.0  # long-poll time-out
    # A list with less than this fraction of the recent ready endpoints needs confirmation.
    much_smaller: Annotated[float, Meta(ge=0, le=1)] = 0.5
    believe_s: Seconds = 10.0  # after this time such a list is adopted without confirmation
    calls_per_s: Seconds = 500.0  # limit over all clients when they reconnect after an outage


class RegisterSettings(Struct, frozen=True, kw_only=True):
    """`[register]`: the local endpoint that this sidecar registers."""

    id: Name
    address: AddressText  # where the endpoint listens
    # Addresses of the list service; empty: those of [registry].
    addresses: Annotated[list[AddressText], Meta(max_length=32)] = []
    service: Name = "default"
    tier: Name = "default"
    zone: NameOrEmpty = ""
    region: NameOrEmpty = ""  # of the zone
    machine_type: NameOrEmpty = ""
    cell: Annotated[int, Meta(ge=-1, le=1 << 31)] = 0
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    views: Annotated[dict[Name, AddressText], Meta(max_length=MAX_VIEWS)] = {}
    # Health check path, must answer GET with 200; empty: accepting a connection is enough.
    alive: Annotated[str, Meta(pattern="^(/[!-~]*)?$", description="a path")] = ""
    alive_every_s: Annotated[float, Meta(ge=0.05, le=60)] = 0.5
    lease_ms: LeaseMs = 3000
