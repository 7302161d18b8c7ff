"""Messages between the replicas of a group, and the parts of the state that they carry."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

from eiderhub.coordination.forms import FIRST_FORMAT


class Position(NamedTuple):
    """Identifies a state: the version rises by one with each update; the epoch is that of its primary."""

    epoch: int
    version: int


class Staged(NamedTuple):
    """How much of a snapshot a replica has staged: the keys up to `through` of the state at `position`."""

    position: Position
    through: str


class Write(Struct, array_like=True, frozen=True):
    """The new value of one key; None removes the key."""

    key: str
    value: bytes | None


class Update(Struct, array_like=True, frozen=True):
    """Writes that take effect atomically."""

    position: Position
    writes: list[Write]


class Replicate(Struct, tag=True, frozen=True):
    """Primary to replica: updates that follow `previous`; a heartbeat if there are none."""

    epoch: int
    previous: Position
    updates: list[Update]
    committed: int  # version
    sent_at: float  # primary's clock, in seconds; echoed in the reply
    staged: bool = False  # a snapshot transfer is running: `previous` may be the staged position


class SnapshotChunk(Struct, tag=True, frozen=True):
    """Primary to replica: the entries after the key `after`, up to and including `through`, at `position`.

    Updates that the primary makes between two chunks are sent between them.
    """

    epoch: int
    position: Position
    after: str  # empty in the first chunk
    through: str
    entries: list[Write]
    last: bool
    committed: int
    sent_at: float


class Replicated(Struct, tag=True, frozen=True, omit_defaults=True):
    """Replica to primary: what it has synced. `gap`: the message did not follow its state."""

    epoch: int
    position: Position
    sent_at: float
    gap: bool = False
    staged: Staged | None = None
    reads_form: int = FIRST_FORMAT  # newest record format that the replica's program reads


class RequestEpoch(Struct, tag=True, frozen=True):
    """Candidate to witnesses. A trial (pre-vote) only asks whether the epoch would be granted."""

    epoch: int
    position: Position
    trial: bool
    transfer: bool = False  # the current primary is transferring its leadership
    unled: bool = False  # every member has reported that it follows no primary: no lease can be valid


class EpochAnswer(Struct, tag=True, frozen=True):
    """Witness to candidate: the vote."""

    epoch: int  # that was requested
    granted: bool
    trial: bool
    highest: int  # newest epoch that the witness knows
    young: bool = False  # refused only because the replica started recently


class TakeOver(Struct, tag=True, frozen=True):
    """Primary to its chosen successor: request the next epoch now."""

    epoch: int


ReplicaMessage = Replicate | SnapshotChunk | Replicated | RequestEpoch | EpochAnswer | TakeOver
REPLICA_MESSAGES = (Replicate, SnapshotChunk, Replicated, RequestEpoch, EpochAnswer, TakeOver)
