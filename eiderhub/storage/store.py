"""One lmdb environment for one replica: its state, how far it has come, and what its witness has granted."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from pathlib import Path

import lmdb
import msgspec

from eiderhub.coordination.messages import Position, Update, Write
from eiderhub.coordination.replication import NOWHERE, StoreFailed

STORE_VERSION = 1
FILE_NAME = "replica.lmdb"
DISK_SHARE = 0.75  # of the disk that the map may take
LEAST_MAP_BYTES = 8 << 20
VERSION_KEY, IDENTITY_KEY, EPOCH_KEY, POSITION_KEY = b"version", b"identity", b"epoch", b"position"


class StoreUnusable(Exception):
    """The environment can't be opened, or another program version wrote it."""


class LmdbStore:
    """Implements `ReplicaStore`. A call returns once its effect has been synced."""

    def __init__(self, folder: Path, disk_mb: float, identity: str = "", read_only: bool = False) -> None:
        """`identity` is for a new store; one that exists keeps its own.

        Raises:
            StoreUnusable: there is none to read, or it can't be opened.
        """
        path = self._path = folder / FILE_NAME
        self.created = not path.exists()
        if self.created and read_only:
            raise StoreUnusable(f"{path}: there is no store")
        if not read_only:
            folder.mkdir(parents=True, exist_ok=True)
        self._map_bytes = max(LEAST_MAP_BYTES, int(disk_mb * DISK_SHARE) << 20)
        self._read_only = read_only
        try:
            self._open()
            if self.created:
                self._initialise(folder, identity)
        except (lmdb.Error, OSError, msgspec.DecodeError) as error:
            raise StoreUnusable(f"{path}: {error}") from error

    def _open(self) -> None:
        self._environment = lmdb.open(
            str(self._path),
            subdir=False,
            map_size=self._map_bytes,
            max_dbs=2,
            lock=False,
            readonly=self._read_only,
        )
        self._meta = self._environment.open_db(b"meta", create=not self._read_only)
        self._data = self._environment.open_db(b"data", create=not self._read_only)
        self._read()

    def _reopen(self) -> None:
        """After a write that failed lmdb takes no more until the environment is opened anew."""
        self._environment.close()
        self._open()

    def _initialise(self, folder: Path, identity: str) -> None:
        self.identity = identity
        with self._environment.begin(write=True) as transaction:
            transaction.put(VERSION_KEY, str(STORE_VERSION).encode(), db=self._meta)
            transaction.put(IDENTITY_KEY, self.identity.encode(), db=self._meta)
        self._environment.sync(True)
        handle = os.open(folder, os.O_RDONLY)  # the new name lasts once its folder is synced
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def _read(self) -> None:
        with self._environment.begin() as transaction:
            version = transaction.get(VERSION_KEY, db=self._meta)
            if version is None:
                self.created = True  # made, and never finished
            elif int(version) != STORE_VERSION:
                raise StoreUnusable(f"store version {int(version)}; this program reads {STORE_VERSION}")
            self.identity = (transaction.get(IDENTITY_KEY, db=self._meta) or b"").decode()
            self._epoch = int(transaction.get(EPOCH_KEY, db=self._meta) or 0)
            position = transaction.get(POSITION_KEY, db=self._meta)
            self._position = msgspec.json.decode(position, type=Position) if position else NOWHERE

    @property
    def epoch(self) -> int:
        return self._epoch

    @property
    def position(self) -> Position:
        return self._position

    def grant(self, epoch: int) -> None:
        if epoch > self._epoch:
            self._commit([], self._position, epoch, clear=False)

    def apply(self, updates: list[Update]) -> None:
        writes = [write for update in updates for write in update.writes]
        self._commit(writes, updates[-1].position, self._epoch, clear=False)

    def install(self, position: Position, entries: Iterable[Write]) -> None:
        self._commit(entries, position, self._epoch, clear=True)

    def _commit(self, writes: Iterable[Write], position: Position, epoch: int, clear: bool) -> None:
        try:
            with self._environment.begin(write=True) as transaction:
                if clear:
                    transaction.drop(self._data, delete=False)
                for write in writes:
                    key = write.key.encode()
                    if write.value is None:
                        transaction.delete(key, db=self._data)
                    else:
                        transaction.put(key, write.value, db=self._data)
                transaction.put(POSITION_KEY, msgspec.json.encode(position), db=self._meta)
                transaction.put(EPOCH_KEY, str(epoch).encode(), db=self._meta)
            self._environment.sync(True)
        except (lmdb.Error, OSError) as error:
            try:
                self._reopen()  # what is there may be the new state, written and not synced
            except (lmdb.Error, OSError) as again:
                raise StoreFailed(f"{error}; {again}") from again
            raise StoreFailed(str(error)) from error
        self._position, self._epoch = position, epoch

    def get(self, key: str) -> bytes | None:
        with self._environment.begin() as transaction:
            value = transaction.get(key.encode(), db=self._data)
            return None if value is None else bytes(value)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """The entries whose keys begin so, in the order of their keys."""
        start = prefix.encode()
        with self._environment.begin() as transaction, transaction.cursor(db=self._data) as cursor:
            found = cursor.set_range(start)
            while found and cursor.key().startswith(start):
                yield cursor.key().decode(), bytes(cursor.value())
                found = cursor.next()

    def entries(self) -> list[Write]:
        return [Write(key, value) for key, value in self.scan("")]

    def close(self) -> None:
        self._environment.close()


class MemoryStore:
    """Implements `ReplicaStore` without a disk, for tests and for replicas that may lose everything."""

    def __init__(self) -> None:
        self.epoch = 0
        self.position = NOWHERE
        self.data: dict[str, bytes] = {}

    def grant(self, epoch: int) -> None:
        self.epoch = max(self.epoch, epoch)

    def apply(self, updates: list[Update]) -> None:
        for update in updates:
            for write in update.writes:
                if write.value is None:
                    self.data.pop(write.key, None)
                else:
                    self.data[write.key] = write.value
            self.position = update.position

    def install(self, position: Position, entries: Iterable[Write]) -> None:
        self.data = {w.key: w.value for w in entries if w.value is not None}
        self.position = position

    def get(self, key: str) -> bytes | None:
        return self.data.get(key)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        return ((key, self.data[key]) for key in sorted(self.data) if key.startswith(prefix))

    def entries(self) -> list[Write]:
        return [Write(key, value) for key, value in sorted(self.data.items())]
