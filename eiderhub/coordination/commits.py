"""Writes that somebody waits for: committed in the epoch in which they were proposed, or of unknown fate."""

from __future__ import annotations

from enum import Enum
from typing import Generic, NamedTuple, TypeVar

from eiderhub.coordination.messages import Position
from eiderhub.coordination.replication import Replica, Role

T = TypeVar("T")


class Fate(Enum):
    COMMITTED = "committed"
    UNKNOWN = "unknown"  # the write may or may not outlive this primary


class _Waiting(NamedTuple, Generic[T]):
    position: Position
    waiter: T


class CommitQueue(Generic[T]):
    """Of one replica. A waiter is told its fate once."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._waiting: list[_Waiting[T]] = []

    def add(self, position: Position, waiter: T) -> None:
        """A write that this replica has proposed at that position."""
        self._waiting.append(_Waiting(position, waiter))

    def take(self) -> list[tuple[T, Fate]]:
        """Those whose fate is known now."""
        if not self._waiting:
            return []
        told: list[tuple[T, Fate]] = []
        rest = []
        for each in self._waiting:
            fate = self._fate(each.position)
            if fate is None:
                rest.append(each)
            else:
                told.append((each.waiter, fate))
        self._waiting = rest
        return told

    def _fate(self, position: Position) -> Fate | None:
        if not self._leads_epoch(position.epoch):
            return Fate.UNKNOWN
        return Fate.COMMITTED if position.version <= self._replica.committed else None

    def _leads_epoch(self, epoch: int) -> bool:
        return self._replica.role is Role.PRIMARY and epoch == self._replica.epoch
