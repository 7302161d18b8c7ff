"""What a replica asks of its durable state."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from eiderhub.coordination.messages import Position, Staged, Update, Write

NOWHERE = Position(0, 0)


class StoreFailed(Exception):
    """The state could not be made durable; nothing of the call has taken effect."""


class Chunk(NamedTuple):
    """A part of the state, in the order of its keys."""

    entries: list[Write]
    through: str  # the last key that it covers
    last: bool  # nothing follows it


class ReplicaStore(Protocol):
    """Durable state of one replica. Each method returns once its effect would outlive a loss of power.

    A snapshot that arrives in chunks is kept beside the state, and takes its place in one step.

    Raises:
        StoreFailed: nothing has changed.
    """

    @property
    def epoch(self) -> int: ...

    @property
    def position(self) -> Position: ...

    @property
    def staged(self) -> Staged | None:
        """How much of a snapshot has arrived, where one is on its way."""

    def grant(self, epoch: int) -> None: ...

    def apply(self, updates: list[Update]) -> None: ...

    def get(self, key: str) -> bytes | None: ...

    def chunk(self, after: str, most_bytes: int) -> Chunk:
        """The entries behind a key, as many as fit; at least one where there is any."""

    def changed_since(self, position: Position) -> list[Write] | None:
        """The present values of all that has changed since the state was at that position.

        None: it is not known, or more than is worth sending in place of a snapshot.
        """

    def stage(self, entries: Iterable[Write], staged: Staged, first: bool) -> None:
        """Keep a chunk of a snapshot; the first one replaces any other snapshot."""

    def stage_updates(self, updates: list[Update]) -> None:
        """Keep updates that came while the snapshot is on its way."""

    def install_staged(self) -> None:
        """Put the snapshot in the place of the state."""
