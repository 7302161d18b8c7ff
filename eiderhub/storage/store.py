"""One lmdb environment for one replica: its state, how far it has come, and what its witness has granted.

The state is one of two tables; a snapshot that arrives in chunks is staged in the other. Installing it
changes which of them holds, and how far the state has come, in one transaction: whole or not at all.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

import lmdb
import msgspec

from eiderhub.coordination import tail
from eiderhub.coordination.forms import FORM_KEY, OWN_FORMS, decode_form
from eiderhub.coordination.messages import Position, Staged, Update, Write
from eiderhub.coordination.store import NOWHERE, Chunk, StoreFailed

STORE_VERSION = 1
FILE_NAME = "replica.lmdb"
DISK_SHARE = 0.9  # of the disk that the map may take: the state, and a snapshot beside it
LEAST_MAP_BYTES = 8 << 20
UNLIMITED_BYTES = 1 << 40
VERSION_KEY, IDENTITY_KEY, EPOCH_KEY, POSITION_KEY = b"version", b"identity", b"epoch", b"position"
TRY_AGAIN_S = 1.0  # a store that could not be opened anew is tried so often
ACTIVE_KEY, STAGED_KEY = b"active", b"staged"
TABLES = (b"data", b"data-b")  # one holds the state, the other a snapshot that is on its way


def _tail_slot(slot: int) -> bytes:
    return b"tail/%d" % slot


def _tail_key(position: Position) -> bytes:
    """Where the step to a position is kept, in the place of an older one."""
    return _tail_slot(position.version % tail.KEPT_UPDATES)


class StoreUnusable(Exception):
    """The environment can't be opened, or another program version wrote it."""


class LmdbStore:
    """Implements `ReplicaStore`. A call returns once its effect has been synced."""

    def __init__(
        self,
        folder: Path,
        disk_mb: float,
        identity: str = "",
        read_only: bool = False,
        reads_form: int = OWN_FORMS.reads,
    ) -> None:
        """`identity` is for a new store; one that exists keeps its own.

        One that a newer program has written in a form that this one does not read is refused before anything
        is written.

        Raises:
            StoreUnusable: there is none to read, or it can't be opened.
        """
        path = self._path = folder / FILE_NAME
        self._reads_form = reads_form
        self._failure: str | None = None  # why the state can't be told
        self._next_try = 0.0  # when the environment is opened anew
        self.created = not path.exists()
        if self.created and read_only:
            raise StoreUnusable(f"{path}: there is no store")
        if not read_only:
            folder.mkdir(parents=True, exist_ok=True)
        self._map_bytes = max(LEAST_MAP_BYTES, int(disk_mb * DISK_SHARE) << 20)
        self._read_only = read_only
        try:
            if not self.created:
                self._refuse_newer()
            self._open()
            if self.created:
                self._initialise(folder, identity)
        except (lmdb.Error, OSError, msgspec.DecodeError) as error:
            raise StoreUnusable(f"{path}: {error}") from error

    def _refuse_newer(self) -> None:
        """Look, without writing, whether this program reads what is there.

        Raises:
            StoreUnusable: it does not.
        """
        with lmdb.open(str(self._path), subdir=False, max_dbs=3, lock=False, readonly=True) as environment:
            try:
                meta = environment.open_db(b"meta", create=False)
                with environment.begin() as transaction:
                    version = int(transaction.get(VERSION_KEY, db=meta) or STORE_VERSION)
                    active = int(transaction.get(ACTIVE_KEY, db=meta) or 0)
                data = environment.open_db(TABLES[active], create=False)
            except lmdb.NotFoundError:
                return  # made, and never finished
            with environment.begin() as transaction:
                form = decode_form(transaction.get(FORM_KEY.encode(), db=data))
        if version != STORE_VERSION:
            raise StoreUnusable(
                f"{self._path}: store version {version}; this program reads {STORE_VERSION}: start the "
                "program that wrote it"
            )
        if form > self._reads_form:
            raise StoreUnusable(
                f"{self._path}: records of form {form}; this program reads up to {self._reads_form}: start a "
                "newer program"
            )

    def _open(self) -> None:
        self._environment = lmdb.open(
            str(self._path),
            subdir=False,
            map_size=self._map_bytes,
            max_dbs=3,
            lock=False,
            readonly=self._read_only,
        )
        self._meta = self._environment.open_db(b"meta", create=not self._read_only)
        first = self._environment.open_db(TABLES[0], create=not self._read_only)
        try:
            second = self._environment.open_db(TABLES[1], create=not self._read_only)
        except lmdb.NotFoundError:  # an older store that is opened for reading has one table
            second = first
        self._tables = [first, second]
        self._read()

    def _reopen(self) -> None:
        """After a write that failed lmdb takes no more until the environment is opened anew."""
        self._environment.close()
        self._open()
        self._environment.sync(True)  # what is there may be new and not durable yet; it is told as durable

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
            self.identity = (transaction.get(IDENTITY_KEY, db=self._meta) or b"").decode()
            self._epoch = int(transaction.get(EPOCH_KEY, db=self._meta) or 0)
            position = transaction.get(POSITION_KEY, db=self._meta)
            self._position = msgspec.json.decode(position, type=Position) if position else NOWHERE
            self._active = int(transaction.get(ACTIVE_KEY, db=self._meta) or 0)
            staged = transaction.get(STAGED_KEY, db=self._meta)
            self._staged = msgspec.json.decode(staged, type=Staged) if staged else None

    @property
    def limit_bytes(self) -> int:
        """What the store may grow to."""
        return self._map_bytes

    @property
    def broken(self) -> bool:
        """Whether the state can't be told, since the disk has failed twice and was not opened anew since."""
        return self._failure is not None

    @property
    def is_empty(self) -> bool:
        """Whether it holds no state for certain."""
        return not self.broken and self._position == NOWHERE

    @property
    def used_bytes(self) -> int:
        """What the state takes: whole pages, without those that are free again; 0 while it can't be told."""
        if self.broken:
            return 0
        with self._environment.begin() as transaction:
            state = transaction.stat(self._data)
        pages = state["branch_pages"] + state["leaf_pages"] + state["overflow_pages"]
        return int(pages * state["psize"])

    @property
    def _data(self) -> lmdb._Database:
        """The table that holds the state."""
        return self._tables[self._active]

    @property
    def _staging(self) -> lmdb._Database:
        """The table that a snapshot is kept in until it is whole."""
        return self._tables[1 - self._active]

    @property
    def epoch(self) -> int:
        return self._epoch

    @property
    def position(self) -> Position:
        """How far the state has come.

        Raises:
            StoreFailed: it is not known what is durable.
        """
        self._require()
        return self._position

    @property
    def staged(self) -> Staged | None:
        """How much of a snapshot has arrived.

        Raises:
            StoreFailed: it is not known what is durable.
        """
        self._require()
        return self._staged

    def grant(self, epoch: int) -> None:
        if epoch > self._epoch:
            with self._transaction() as transaction:
                transaction.put(EPOCH_KEY, str(epoch).encode(), db=self._meta)
            self._epoch = epoch

    def apply(self, updates: list[Update]) -> None:
        position = updates[-1].position
        step = tail.step(self.position, updates)
        with self._transaction() as transaction:
            for update in updates:
                self._put(transaction, self._data, update.writes)
            if step is not None:
                transaction.put(_tail_key(position), msgspec.msgpack.encode(step), db=self._meta)
            transaction.put(POSITION_KEY, msgspec.json.encode(position), db=self._meta)
        self._position = position

    def changed_since(self, position: Position) -> list[Write] | None:
        with self._environment.begin() as transaction:
            kept = (transaction.get(_tail_slot(slot), db=self._meta) for slot in range(tail.KEPT_UPDATES))
            steps = [msgspec.msgpack.decode(value, type=tail.ChangedKeys) for value in kept if value]
            keys = tail.changed_since(steps, position, self.position)
            if keys is None:
                return None
            values = [(key, transaction.get(key.encode(), db=self._data)) for key in keys]
        writes = [Write(key, None if value is None else bytes(value)) for key, value in values]
        size = sum(len(write.key) + len(write.value or b"") for write in writes)
        return writes if size <= tail.MOST_BYTES else None

    def stage(self, entries: Iterable[Write], staged: Staged, first: bool) -> None:
        with self._transaction() as transaction:
            if first:
                transaction.drop(self._staging, delete=False)
            self._put(transaction, self._staging, entries)
            transaction.put(STAGED_KEY, msgspec.json.encode(staged), db=self._meta)
        self._staged = staged

    def stage_updates(self, updates: list[Update]) -> None:
        if self._staged is None:
            return
        staged = Staged(updates[-1].position, self._staged.through)
        self.stage([write for update in updates for write in update.writes], staged, first=False)

    def install_staged(self) -> None:
        if self._staged is None:
            return
        position, active = self._staged.position, 1 - self._active
        with self._transaction() as transaction:
            transaction.drop(self._data, delete=False)
            transaction.put(ACTIVE_KEY, str(active).encode(), db=self._meta)
            transaction.put(POSITION_KEY, msgspec.json.encode(position), db=self._meta)
            transaction.delete(STAGED_KEY, db=self._meta)
        self._position, self._active, self._staged = position, active, None

    @contextmanager
    def _transaction(self) -> Iterator[lmdb.Transaction]:
        """A transaction that is durable when it ends.

        Raises:
            StoreFailed: nothing has changed.
        """
        self._require()
        try:
            with self._environment.begin(write=True) as transaction:
                yield transaction
            self._environment.sync(True)
        except (lmdb.Error, OSError) as error:
            self._failure = str(error)
            self._try_again()
            raise StoreFailed(str(error)) from error

    def _require(self) -> None:
        """See to it that what is told is durable.

        Raises:
            StoreFailed: it is not, and opening the environment anew has failed too, now or a moment ago.
        """
        if self._failure is not None and time.monotonic() >= self._next_try:
            self._try_again()
        if self._failure is not None:
            raise StoreFailed(self._failure)

    def _try_again(self) -> None:
        """Open the environment anew; where that fails nothing is told until it is tried again."""
        try:
            self._reopen()
        except (lmdb.Error, OSError, msgspec.DecodeError) as error:
            self._failure = str(error)
            self._next_try = time.monotonic() + TRY_AGAIN_S
        else:
            self._failure = None

    @staticmethod
    def _put(transaction: lmdb.Transaction, table: lmdb._Database, writes: Iterable[Write]) -> None:
        for write in writes:
            key = write.key.encode()
            if write.value is None:
                transaction.delete(key, db=table)
            else:
                transaction.put(key, write.value, db=table)

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

    def chunk(self, after: str, most_bytes: int) -> Chunk:
        entries: list[Write] = []
        size = 0
        with self._environment.begin() as transaction, transaction.cursor(db=self._data) as cursor:
            found = cursor.set_range(after.encode())
            if found and after and cursor.key() == after.encode():
                found = cursor.next()
            while found:
                write = Write(cursor.key().decode(), bytes(cursor.value()))
                size += len(write.key) + len(cursor.value())
                if entries and size > most_bytes:
                    break
                entries.append(write)
                found = cursor.next()
        return Chunk(entries, entries[-1].key if entries else after, not found)

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
        self._staged: tuple[Staged, dict[str, bytes]] | None = None
        self._tail: dict[int, tail.ChangedKeys] = {}
        self.limit_bytes = UNLIMITED_BYTES
        self.broken = False

    @property
    def used_bytes(self) -> int:
        """What the state takes."""
        return sum(len(value) for value in self.data.values())

    def grant(self, epoch: int) -> None:
        self.epoch = max(self.epoch, epoch)

    def apply(self, updates: list[Update]) -> None:
        step = tail.step(self.position, updates)
        if step is not None:
            self._tail[step.position.version % tail.KEPT_UPDATES] = step
        for update in updates:
            self._put(self.data, update.writes)
            self.position = update.position

    def changed_since(self, position: Position) -> list[Write] | None:
        keys = tail.changed_since(self._tail.values(), position, self.position)
        return None if keys is None else [Write(key, self.data.get(key)) for key in keys]

    @property
    def staged(self) -> Staged | None:
        return self._staged[0] if self._staged else None

    def stage(self, entries: Iterable[Write], staged: Staged, first: bool) -> None:
        data = {} if first or self._staged is None else self._staged[1]
        self._put(data, entries)
        self._staged = (staged, data)

    def stage_updates(self, updates: list[Update]) -> None:
        if self._staged is not None:
            staged, data = self._staged
            for update in updates:
                self._put(data, update.writes)
            self._staged = (Staged(updates[-1].position, staged.through), data)

    def install_staged(self) -> None:
        if self._staged is not None:
            staged, self.data = self._staged
            self.position = staged.position
            self._staged = None

    @staticmethod
    def _put(data: dict[str, bytes], writes: Iterable[Write]) -> None:
        for write in writes:
            if write.value is None:
                data.pop(write.key, None)
            else:
                data[write.key] = write.value

    def get(self, key: str) -> bytes | None:
        return self.data.get(key)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        return ((key, self.data[key]) for key in sorted(self.data) if key.startswith(prefix))

    def chunk(self, after: str, most_bytes: int) -> Chunk:
        entries: list[Write] = []
        size = 0
        for key in sorted(key for key in self.data if key > after):
            size += len(key) + len(self.data[key])
            if entries and size > most_bytes:
                return Chunk(entries, entries[-1].key, False)
            entries.append(Write(key, self.data[key]))
        return Chunk(entries, entries[-1].key if entries else after, True)
