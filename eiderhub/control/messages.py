"""Messages of sessions with control nodes."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct


class TableVersion(NamedTuple):
    """Orders the states of a table that is rebuilt by each primary."""

    epoch: int
    number: int


class NodeRecord(Struct, array_like=True, frozen=True):
    """A process that has a session."""

    name: str
    role: str  # edge, control or storage
    zone: str
    identity: str = ""  # of its replica, where it has one: id@host:port


class EndpointRecord(Struct, array_like=True, frozen=True):
    """One entry of the platform's list."""

    id: str
    service: str
    address: str
    zone: str
    ready: bool
    capacity: int


class Retirement(Struct, array_like=True, frozen=True):
    """A storage node that is to be emptied."""

    node: str
    identity: str  # of its replica
    done: bool


class Hello(Struct, tag=True, frozen=True):
    """First message of a connection between replicas."""

    node: NodeRecord


class SessionOpen(Struct, tag=True, frozen=True):
    """First message of a session with a control node."""

    node: NodeRecord


class SessionPing(Struct, tag=True, frozen=True):
    """Keeps a session alive and acknowledges what has been applied."""

    generation: int  # of the configuration in force
    endpoints: TableVersion
    nodes: TableVersion
    spending: TableVersion = TableVersion(0, 0)
    attached: list[NodeRecord] = []  # sessions that a control node holds for the primary
    group: list[str] = []  # members of the storage group, from its primary
    group_synced: bool = False  # whether all of them have all that is committed


class SessionPong(Struct, tag=True, frozen=True):
    """`fresh`: what this session is told is what the primary has now."""

    fresh: bool


class ConfigurationUpdate(Struct, tag=True, frozen=True):
    generation: int
    document: bytes  # JSON


class EndpointsUpdate(Struct, tag=True, frozen=True):
    version: TableVersion
    endpoints: list[EndpointRecord]


class ConfigurationDelta(Struct, tag=True, frozen=True):
    """What changed from one generation to the next, as a patch."""

    base: int
    generation: int
    patch: bytes  # JSON, in the form of the operator's PATCH


class EndpointsDelta(Struct, tag=True, frozen=True):
    base: TableVersion
    version: TableVersion
    changed: list[EndpointRecord]
    removed: list[str]  # ids


class NodesUpdate(Struct, tag=True, frozen=True):
    """Who is there: control and storage nodes by name, sidecars by their number alone."""

    version: TableVersion
    nodes: list[NodeRecord]
    sidecars: int
    storage_group: list[str]  # the members that it was founded with; empty: not founded
    retirements: list[Retirement]


class SpendingUpdate(Struct, tag=True, frozen=True):
    """The tenants whose spending cap has run out."""

    version: TableVersion
    exhausted: list[str]


class LeaseRequest(Struct, tag=True, frozen=True):
    """A process asks for tokens of a tenant's cap; below 0: it gives so many back, and no answer is due."""

    origin: str  # set by the control node that passes it on to the primary
    tenant: str
    tokens: int


class LeaseAnswer(Struct, tag=True, frozen=True):
    origin: str
    tenant: str
    tokens: int
    exhausted: bool


TableUpdate = (
    ConfigurationUpdate | ConfigurationDelta | EndpointsUpdate | EndpointsDelta | NodesUpdate | SpendingUpdate
)
SessionMessage = Hello | SessionOpen | SessionPing | SessionPong | TableUpdate | LeaseRequest | LeaseAnswer
