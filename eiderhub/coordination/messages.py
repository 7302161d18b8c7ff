"""Messages between the replicas of one group, and the state that they carry."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

from eiderhub.coordination.forms import FIRST_FORM


class Position(NamedTuple):
    """How far a replica's state has come: versions rise by one; the epoch names the primary that wrote it."""

    epoch: int
    version: int


class Staged(NamedTuple):
    """How much of a snapshot a replica has: the state at `position`, of the keys up to `through`."""

    position: Position
    through: str


class Write(Struct, array_like=True, frozen=True):
    """One key's new value; None removes the key."""

    key: str
    value: bytes | None


class Update(Struct, array_like=True, frozen=True):
    """Writes that take effect together."""

    position: Position
    writes: list[Write]


class Replicate(Struct, tag=True, frozen=True):
    """Primary to replica: updates that follow `previous`; without any, a heartbeat."""

    epoch: int
    previous: Position
    updates: list[Update]
    committed: int  # version
    sent_at: float  # primary's clock, in seconds; returned with the answer
    staged: bool = False  # a snapshot is on its way: `previous` may be the staged state


class SnapshotChunk(Struct, tag=True, frozen=True):
    """Primary to replica: the entries behind the key `after`, up to the key `through`, at `position`.

    Updates that the primary makes between two chunks are sent between them.
    """

    epoch: int
    position: Position
    after: str  # empty: the snapshot begins
    through: str
    entries: list[Write]
    last: bool
    committed: int
    sent_at: float


class Replicated(Struct, tag=True, frozen=True, omit_defaults=True):
    """Replica to primary: what it has synced. `gap`: what was sent did not follow what it has."""

    epoch: int
    position: Position
    sent_at: float
    gap: bool = False
    staged: Staged | None = None
    reads_form: int = FIRST_FORM  # newest form of the state that the replica's program reads


class RequestEpoch(Struct, tag=True, frozen=True):
    """Candidate to witnesses. A trial asks whether the epoch would be granted and changes nothing."""

    epoch: int
    position: Position
    trial: bool
    transfer: bool = False  # the primary itself has asked for it
    unled: bool = False  # every member has said that it follows nobody: no lease can run


class EpochAnswer(Struct, tag=True, frozen=True):
    """Witness to candidate."""

    epoch: int  # the one asked for
    granted: bool
    trial: bool
    highest: int  # epoch that the witness knows of
    young: bool = False  # only the time since its start keeps it from granting


class TakeOver(Struct, tag=True, frozen=True):
    """Primary to the replica that is to follow it."""

    epoch: int


ReplicaMessage = Replicate | SnapshotChunk | Replicated | RequestEpoch | EpochAnswer | TakeOver
REPLICA_MESSAGES = (Replicate, SnapshotChunk, Replicated, RequestEpoch, EpochAnswer, TakeOver)
