"""Simulated disks: loss of power, a full disk, and a disk that does not sync its writes."""

from __future__ import annotations

import copy
from collections.abc import Iterable

from eiderhub.coordination.messages import Staged, Update, Write
from eiderhub.coordination.store import StoreFailed
from eiderhub.storage.store import MemoryStore


class Disk(MemoryStore):
    """A disk that syncs every call before it returns; all writes fail while `full` is set."""

    full = False

    def _check(self) -> None:
        if self.full:
            raise StoreFailed("no space left")

    def grant(self, epoch: int) -> None:
        self._check()
        super().grant(epoch)

    def apply(self, updates: list[Update]) -> None:
        self._check()
        super().apply(updates)

    def stage(self, entries: Iterable[Write], staged: Staged, first: bool) -> None:
        self._check()
        super().stage(entries, staged, first)

    def stage_updates(self, updates: list[Update]) -> None:
        self._check()
        super().stage_updates(updates)

    def install_staged(self) -> None:
        self._check()
        super().install_staged()

    def lose_power(self) -> None:
        """Drop unsynced data; this disk has none."""


class UnsyncedDisk(Disk):
    """A planted fault: calls return before they are durable; every third call syncs the earlier ones."""

    def __init__(self) -> None:
        super().__init__()
        self._durable = copy.deepcopy(self.__dict__)
        self._calls = 0

    def _check(self) -> None:
        super()._check()
        self._calls += 1
        if self._calls % 3 == 0:
            state = {k: v for k, v in self.__dict__.items() if not k.startswith("_durable")}
            self._durable = copy.deepcopy(state)

    def lose_power(self) -> None:
        durable = self._durable
        self.__dict__.update(copy.deepcopy(durable))
        self._durable = durable
