"""Messages of sessions with control nodes."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

from eiderhub.coordination.wire import UNTOLD, UNTOLD_VERSION, WireSupport


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
    wire_version: int = UNTOLD_VERSION


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
    identities: list[str]  # of its replica, and of those that came in its place when its disk was lost
    done: bool


class Hello(Struct, tag=True, frozen=True):
    """First message of a connection between replicas, from either side."""

    node: NodeRecord
    support: WireSupport = UNTOLD


class SessionOpen(Struct, tag=True, frozen=True):
    """First message of a session with a control node."""

    node: NodeRecord
    support: WireSupport = UNTOLD


class SessionAccepted(Struct, tag=True, frozen=True):
    """The control node's answer to `SessionOpen`, where the other side takes it: what the node speaks."""

    support: WireSupport


class StorageReport(Struct, array_like=True, frozen=True):
    """What the storage group's primary tells of its group, all of it committed."""

    members: list[str]
    barred: list[str]  # identities that the group will never admit
    synced: bool  # whether all members have all that is committed


class SessionPing(Struct, tag=True, frozen=True):
    """Keeps a session alive and acknowledges what has been applied."""

    generation: int  # of the configuration in force
    endpoints: TableVersion
    nodes: TableVersion
    spending: TableVersion = TableVersion(0, 0)
    attached: list[NodeRecord] = []  # sessions that a control node holds for the primary
    group: StorageReport | None = None  # from the storage group's primary
    sent_at: float = 0.0  # sender's clock, in seconds; returned with the answer
    calls: dict[str, int] = {}  # that are out now, by endpoint; of a control node: over its own sessions


class SessionPong(Struct, tag=True, frozen=True):
    """What this session has been sent before it is what the primary had `age_s` seconds ago, or newer.

    None: the control node can't tell.
    """

    sent_at: float  # of the ping that it answers
    age_s: float | None


class LoadUpdate(Struct, tag=True, frozen=True):
    """Calls that all other processes have out, by endpoint; those that are not named have none."""

    calls: dict[str, int]


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
    wire_versions: dict[str, int] = {}  # how many processes speak each


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
SessionMessage = (
    Hello | SessionOpen | SessionAccepted | SessionPing | SessionPong | LoadUpdate | TableUpdate
    | LeaseRequest | LeaseAnswer
)  # fmt: skip
