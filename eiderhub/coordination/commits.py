"""Writes that a caller waits for: committed in the epoch that proposed them, or of unknown outcome."""

from __future__ import annotations

from enum import Enum
from typing import Generic, NamedTuple, TypeVar

from eiderhub.coordination.messages import Position
from eiderhub.coordination.replication import Replica, Role

T = TypeVar("T")


class CommitOutcome(Enum):
    COMMITTED = "committed"
    UNKNOWN = "unknown"  # the write may or may not survive a change of primary


class _PendingWrite(NamedTuple, Generic[T]):
    position: Position
    waiter: T


class CommitQueue(Generic[T]):
    """The pending writes of one replica; each outcome is returned once."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._pending: list[_PendingWrite[T]] = []

    def add(self, position: Position, waiter: T) -> None:
        """Track a write that this replica has proposed at the position."""
        self._pending.append(_PendingWrite(position, waiter))

    def take_resolved(self) -> list[tuple[T, CommitOutcome]]:
        """Remove and return the waiters whose outcome is now known."""
        if not self._pending:
            return []
        resolved: list[tuple[T, CommitOutcome]] = []
        unresolved = []
        for write in self._pending:
            outcome = self._outcome(write.position)
            if outcome is None:
                unresolved.append(write)
            else:
                resolved.append((write.waiter, outcome))
        self._pending = unresolved
        return resolved

    def _outcome(self, position: Position) -> CommitOutcome | None:
        if not self._leads_epoch(position.epoch):
            return CommitOutcome.UNKNOWN
        return CommitOutcome.COMMITTED if position.version <= self._replica.committed else None

    def _leads_epoch(self, epoch: int) -> bool:
        return self._replica.role is Role.PRIMARY and epoch == self._replica.epoch
