"""Messages of sessions between control nodes and other processes."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

from eiderhub.coordination.wire import DEFAULT_SUPPORT, DEFAULT_WIRE_VERSION, WireSupport


class TableVersion(NamedTuple):
    """The version of a table that each primary rebuilds: ordered by epoch, then by number."""

    epoch: int
    number: int


class NodeRecord(Struct, array_like=True, frozen=True):
    """A process that has a session with a control node."""

    name: str
    role: str  # edge, control or storage
    zone: str
    identity: str = ""  # of its replica, if it has one: id@host:port
    wire_version: int = DEFAULT_WIRE_VERSION
    auxiliary: str = ""  # identity of the auxiliary replica of the control group that it offers to run


class EndpointRecord(Struct, array_like=True, frozen=True):
    """An entry of the platform's endpoint list."""

    id: str
    service: str
    address: str
    zone: str
    ready: bool
    capacity: int


class Retirement(Struct, array_like=True, frozen=True):
    """A storage node that is being drained of data."""

    node: str
    identities: list[str]  # of its replica, and of any that replaced it after a disk loss
    done: bool


class Hello(Struct, tag=True, frozen=True):
    """The first message of each side on a connection between replicas."""

    node: NodeRecord
    support: WireSupport = DEFAULT_SUPPORT


class SessionOpen(Struct, tag=True, frozen=True):
    """The first message of a session with a control node."""

    node: NodeRecord
    support: WireSupport = DEFAULT_SUPPORT


class SessionAccepted(Struct, tag=True, frozen=True):
    """The answer to `SessionOpen`: the control node's wire support. Sent only to peers that support it."""

    support: WireSupport


class StorageReport(Struct, array_like=True, frozen=True):
    """The committed state of the storage group, reported by its primary."""

    members: list[str]
    barred: list[str]  # identities that the group will never admit
    synced: bool  # whether all members have all committed writes


class SessionPing(Struct, tag=True, frozen=True):
    """Keeps a session alive and acknowledges the table versions that have been applied."""

    generation: int  # of the configuration in force
    endpoints: TableVersion
    nodes: TableVersion
    spending: TableVersion = TableVersion(0, 0)
    attached: list[NodeRecord] = []  # nodes with a session at the sending control node
    group: StorageReport | None = None  # from the storage group's primary
    sent_at: float = 0.0  # sender's clock, in seconds; echoed in `SessionPong`
    calls: dict[str, int] = {}  # in flight, by endpoint; a control node sends the sum over its sessions


class SessionPong(Struct, tag=True, frozen=True):
    """Confirms the age of the tables that were sent on this session before this message.

    They are what the primary had `age_s` seconds ago, or newer. None: the control node cannot bound the age.
    """

    sent_at: float  # copied from the ping
    age_s: float | None


class LoadUpdate(Struct, tag=True, frozen=True):
    """Calls in flight of all other processes, by endpoint; endpoints that are not listed have none."""

    calls: dict[str, int]


class ConfigurationUpdate(Struct, tag=True, frozen=True):
    generation: int
    document: bytes  # JSON


class EndpointsUpdate(Struct, tag=True, frozen=True):
    version: TableVersion
    endpoints: list[EndpointRecord]


class ConfigurationDelta(Struct, tag=True, frozen=True):
    """The change from one generation to a later one, as a patch."""

    base: int
    generation: int
    patch: bytes  # JSON, in the format of the operator's PATCH requests


class EndpointsDelta(Struct, tag=True, frozen=True):
    base: TableVersion
    version: TableVersion
    changed: list[EndpointRecord]
    removed: list[str]  # ids


class NodesUpdate(Struct, tag=True, frozen=True):
    """The running processes: control and storage nodes by name, sidecars as a count."""

    version: TableVersion
    nodes: list[NodeRecord]
    sidecars: int
    storage_group: list[str]  # the members that it was bootstrapped with; empty: not yet bootstrapped
    retirements: list[Retirement]
    wire_versions: dict[str, int] = {}  # number of processes by wire version


class SpendingUpdate(Struct, tag=True, frozen=True):
    """The tenants whose spending cap is used up."""

    version: TableVersion
    exhausted: list[str]


class LeaseRequest(Struct, tag=True, frozen=True):
    """Requests tokens of a tenant's cap. A negative number returns tokens, and is not answered."""

    origin: str  # set by the control node that forwards the request to the primary
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
