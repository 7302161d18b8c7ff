"""The interface of a replica to its durable state."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from eiderhub.coordination.messages import Position, Staged, Update, Write

INITIAL_POSITION = Position(0, 0)


class StoreFailed(Exception):
    """The state could not be made durable; the call has had no effect."""


class WriteRejected(StoreFailed):
    """The store can never take these writes, although its disk is sound; the call has had no effect."""


class Chunk(NamedTuple):
    """A part of the state in key order."""

    entries: list[Write]
    through: str  # the last key that it covers
    last: bool  # whether no entry follows


class ReplicaStore(Protocol):
    """Durable state of one replica. Each method returns once its effect would survive a power failure.

    A snapshot received in chunks is staged separately and replaces the state atomically.

    Raises:
        StoreFailed: the call has changed nothing.
    """

    @property
    def epoch(self) -> int: ...

    @property
    def position(self) -> Position: ...

    @property
    def staged(self) -> Staged | None:
        """How much of a snapshot is staged; None if there is none."""

    def grant(self, epoch: int) -> None: ...

    def check_writes(self, writes: Iterable[Write]) -> None:
        """Check that the store can take these writes.

        Raises:
            WriteRejected: a key has a length that it does not support, or the values are too large.
        """

    def apply(self, updates: list[Update]) -> None: ...

    def get(self, key: str) -> bytes | None: ...

    def chunk(self, after: str, max_bytes: int) -> Chunk:
        """The entries after a key, as many as fit; at least one if there is any."""

    def changed_since(self, position: Position) -> list[Write] | None:
        """The current values of all keys changed since the state was at this position.

        None if they are not known, or too large to be sent instead of a snapshot.
        """

    def stage(self, entries: Iterable[Write], staged: Staged, first: bool) -> None:
        """Stage a chunk of a snapshot; the first one replaces any staged snapshot."""

    def stage_updates(self, updates: list[Update]) -> None:
        """Apply updates to the staged snapshot, received while its transfer is running."""

    def install_staged(self) -> None:
        """Replace the state with the staged snapshot."""
