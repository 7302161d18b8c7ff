"""Durable state of one replica in an LMDB environment: records, position, and highest granted epoch.

The records are in one of two tables; a snapshot that arrives in chunks is staged in the other. Installing the
snapshot switches the active table and the position in one transaction, so it is atomic.
"""

from __future__ import annotations

import mmap
import os
import struct
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

import lmdb
import msgspec

from eiderhub.coordination import recent_changes
from eiderhub.coordination.forms import FORMAT_KEY, OWN_FORMATS, decode_format
from eiderhub.coordination.keys import MAX_KEY_BYTES
from eiderhub.coordination.messages import Position, Staged, Update, Write
from eiderhub.coordination.store import INITIAL_POSITION, Chunk, StoreFailed, WriteRejected

STORE_VERSION = 1
FILE_NAME = "replica.lmdb"
MAP_SHARE_OF_DISK = 0.9  # part of `disk_mb` for the LMDB map, which holds the state and a staged snapshot
MIN_MAP_BYTES = 4 << 20
UNLIMITED_BYTES = 1 << 40
# Of the map, for the values of one change: LMDB keeps what they replace until the next transaction, and a
# snapshot of the state has to fit beside it.
MAX_WRITE_SHARE = 0.2
VERSION_KEY, IDENTITY_KEY, EPOCH_KEY, POSITION_KEY = b"version", b"identity", b"epoch", b"position"
META_PAGES = 2  # at the start of an LMDB file
LMDB_MAGIC, MAGIC_OFFSET = struct.pack("=I", 0xBEEFC0DE), 16  # in each of them
REOPEN_INTERVAL_S = 1.0  # between attempts to reopen a store after a disk failure
ACTIVE_KEY, STAGED_KEY = b"active", b"staged"
TABLES = (b"data", b"data-b")  # one holds the state, the other a staged snapshot


def _check_writes(writes: Iterable[Write], limit_bytes: int) -> None:
    """Check that a store with this limit can take the writes.

    Raises:
        WriteRejected: it cannot.
    """
    size = 0
    for write in writes:
        if not 0 < len(write.key.encode(errors="surrogatepass")) <= MAX_KEY_BYTES:
            raise WriteRejected(f"key {write.key[:40]!r}... is empty or longer than {MAX_KEY_BYTES} bytes")
        size += len(write.value or b"")
    if size > MAX_WRITE_SHARE * limit_bytes:
        raise WriteRejected(f"{size} bytes are too large for a store of {limit_bytes}")


def _change_slot_key(slot: int) -> bytes:
    return b"tail/%d" % slot


def _change_key(position: Position) -> bytes:
    """The key of the changes that led to a position; slots are reused in a ring."""
    return _change_slot_key(position.version % recent_changes.RETAINED_ENTRIES)


def _was_never_synced(path: Path) -> bool:
    """Whether one of LMDB's two meta pages never reached the disk, which precede everything else.

    The machine lost power before the first sync of the store, so that nothing in it was ever relied on.
    """
    with path.open("rb") as file:
        pages = [file.read(mmap.PAGESIZE) for _ in range(META_PAGES)]
    written = [page for page in pages if any(page)]
    is_lmdb = all(page[MAGIC_OFFSET:].startswith(LMDB_MAGIC) for page in written)
    is_whole = all(len(page) == mmap.PAGESIZE for page in written) and len(written) == META_PAGES
    return is_lmdb and not is_whole


class StoreUnusable(Exception):
    """The environment cannot be opened, or its version or record format is not supported."""


class LmdbStore:
    """Implements `ReplicaStore`. A method that writes returns once its effect is synced to disk."""

    def __init__(
        self,
        folder: Path,
        disk_mb: float,
        identity: str = "",
        read_only: bool = False,
        readable_format: int = OWN_FORMATS.reads,
        file_name: str = FILE_NAME,
    ) -> None:
        """Open the store in `folder`, or create it with `identity`; an existing store keeps its identity.

        A store that a newer program has written in an unsupported record format is rejected before anything
        is written to it.

        Raises:
            StoreUnusable: there is no store to read, or it cannot be opened or is not supported.
        """
        path = self._path = folder / file_name
        self._readable_format = readable_format
        self._failure: str | None = None  # error of the disk failure that has not been recovered from
        self._next_reopen_at = 0.0
        self.created = not path.exists()
        if self.created and read_only:
            raise StoreUnusable(f"{path}: there is no store")
        if not read_only:
            folder.mkdir(parents=True, exist_ok=True)
            self._remove_if_never_synced()
        self._map_bytes = max(MIN_MAP_BYTES, int(disk_mb * MAP_SHARE_OF_DISK) << 20)
        self._read_only = read_only
        try:
            if not self.created:
                self._check_readable()
            self._open()
            if self.created:
                self._initialize(folder, identity)
        except (lmdb.Error, OSError, msgspec.DecodeError) as error:
            raise StoreUnusable(f"{path}: {error}") from error

    def _remove_if_never_synced(self) -> None:
        """Begin again with an empty store where the first one never came to be.

        Raises:
            StoreUnusable: the disk fails.
        """
        try:
            if not self.created and _was_never_synced(self._path):
                self._path.unlink()
                self.created = True
        except OSError as error:
            raise StoreUnusable(f"{self._path}: {error}") from error

    def _check_readable(self) -> None:
        """Check the store version and the record format without writing.

        Raises:
            StoreUnusable: this program does not support them.
        """
        with lmdb.open(str(self._path), subdir=False, max_dbs=3, lock=False, readonly=True) as environment:
            try:
                meta = environment.open_db(b"meta", create=False)
                with environment.begin() as transaction:
                    version = int(transaction.get(VERSION_KEY, db=meta) or STORE_VERSION)
                    active = int(transaction.get(ACTIVE_KEY, db=meta) or 0)
                data = environment.open_db(TABLES[active], create=False)
            except lmdb.NotFoundError:
                return  # created, but never initialized
            with environment.begin() as transaction:
                record_format = decode_format(transaction.get(FORMAT_KEY.encode(), db=data))
        if version != STORE_VERSION:
            raise StoreUnusable(
                f"{self._path}: store version {version}; this program reads {STORE_VERSION}: start the "
                "program that wrote it"
            )
        if record_format > self._readable_format:
            raise StoreUnusable(
                f"{self._path}: records of form {record_format}; this program reads up to "
                f"{self._readable_format}: start a newer program"
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
        first_table = self._environment.open_db(TABLES[0], create=not self._read_only)
        try:
            second_table = self._environment.open_db(TABLES[1], create=not self._read_only)
        except lmdb.NotFoundError:  # stores of older versions have one table, and none is added when reading
            second_table = first_table
        self._tables = [first_table, second_table]
        self._load_metadata()

    def _reopen(self) -> None:
        """Reopen the environment, which LMDB requires after a failed write before it accepts another."""
        self._environment.close()
        self._open()
        # The state that was just read may not be durable yet, and is reported as durable from here on.
        self._environment.sync(True)

    def _initialize(self, folder: Path, identity: str) -> None:
        self.identity = identity
        with self._environment.begin(write=True) as transaction:
            transaction.put(VERSION_KEY, str(STORE_VERSION).encode(), db=self._meta)
            transaction.put(IDENTITY_KEY, self.identity.encode(), db=self._meta)
        self._environment.sync(True)
        # The new directory entry is durable only once the folder is synced too.
        folder_descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(folder_descriptor)
        finally:
            os.close(folder_descriptor)

    def _load_metadata(self) -> None:
        with self._environment.begin() as transaction:
            version = transaction.get(VERSION_KEY, db=self._meta)
            if version is None:
                self.created = True  # the file exists, but was never initialized
            self.identity = (transaction.get(IDENTITY_KEY, db=self._meta) or b"").decode()
            self._epoch = int(transaction.get(EPOCH_KEY, db=self._meta) or 0)
            position = transaction.get(POSITION_KEY, db=self._meta)
            self._position = msgspec.json.decode(position, type=Position) if position else INITIAL_POSITION
            self._active_index = int(transaction.get(ACTIVE_KEY, db=self._meta) or 0)
            staged = transaction.get(STAGED_KEY, db=self._meta)
            self._staged = msgspec.json.decode(staged, type=Staged) if staged else None

    @property
    def limit_bytes(self) -> int:
        """Maximum size of the store."""
        return self._map_bytes

    @property
    def broken(self) -> bool:
        """Whether the durable state is unknown: a write failed and reopening the environment failed too."""
        return self._failure is not None

    @property
    def is_empty(self) -> bool:
        """Whether the store certainly holds no state; False while it is broken."""
        return not self.broken and self._position == INITIAL_POSITION

    @property
    def used_bytes(self) -> int:
        """Size of the state in whole pages, without freed pages; 0 while the store is broken."""
        if self.broken:
            return 0
        with self._environment.begin() as transaction:
            table_stat = transaction.stat(self._state_table)
        pages = table_stat["branch_pages"] + table_stat["leaf_pages"] + table_stat["overflow_pages"]
        return int(pages * table_stat["psize"])

    @property
    def _state_table(self) -> lmdb._Database:
        """The table that holds the state."""
        return self._tables[self._active_index]

    @property
    def _staging_table(self) -> lmdb._Database:
        """The table in which a snapshot is staged until it is complete."""
        return self._tables[1 - self._active_index]

    @property
    def epoch(self) -> int:
        return self._epoch

    @property
    def position(self) -> Position:
        """Position of the state.

        Raises:
            StoreFailed: it is not known what is durable.
        """
        self._ensure_durable()
        return self._position

    @property
    def staged(self) -> Staged | None:
        """Progress of the staged snapshot, if there is one.

        Raises:
            StoreFailed: it is not known what is durable.
        """
        self._ensure_durable()
        return self._staged

    def grant(self, epoch: int) -> None:
        if epoch > self._epoch:
            with self._transaction() as transaction:
                transaction.put(EPOCH_KEY, str(epoch).encode(), db=self._meta)
            self._epoch = epoch

    def check_writes(self, writes: Iterable[Write]) -> None:
        _check_writes(writes, self.limit_bytes)

    def apply(self, updates: list[Update]) -> None:
        position = updates[-1].position
        change = recent_changes.changed_keys(self.position, updates)
        with self._transaction() as transaction:
            for update in updates:
                self._write_entries(transaction, self._state_table, update.writes)
            if change is not None:
                transaction.put(_change_key(position), msgspec.msgpack.encode(change), db=self._meta)
            transaction.put(POSITION_KEY, msgspec.json.encode(position), db=self._meta)
        self._position = position

    def changed_since(self, position: Position) -> list[Write] | None:
        with self._environment.begin() as transaction:
            slot_values = (
                transaction.get(_change_slot_key(slot), db=self._meta)
                for slot in range(recent_changes.RETAINED_ENTRIES)
            )
            changes = [
                msgspec.msgpack.decode(value, type=recent_changes.ChangedKeys)
                for value in slot_values
                if value
            ]
            keys = recent_changes.changed_since(changes, position, self.position)
            if keys is None:
                return None
            values = [(key, transaction.get(key.encode(), db=self._state_table)) for key in keys]
        writes = [Write(key, None if value is None else bytes(value)) for key, value in values]
        size = sum(len(write.key) + len(write.value or b"") for write in writes)
        return writes if size <= recent_changes.MAX_CHANGED_BYTES else None

    def stage(self, entries: Iterable[Write], staged: Staged, first: bool) -> None:
        with self._transaction() as transaction:
            if first:
                transaction.drop(self._staging_table, delete=False)
            self._write_entries(transaction, self._staging_table, entries)
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
        position, active = self._staged.position, 1 - self._active_index
        with self._transaction() as transaction:
            transaction.drop(self._state_table, delete=False)
            transaction.put(ACTIVE_KEY, str(active).encode(), db=self._meta)
            transaction.put(POSITION_KEY, msgspec.json.encode(position), db=self._meta)
            transaction.delete(STAGED_KEY, db=self._meta)
        self._position, self._active_index, self._staged = position, active, None

    @contextmanager
    def _transaction(self) -> Iterator[lmdb.Transaction]:
        """A write transaction that is synced when it ends.

        Raises:
            WriteRejected: LMDB does not take the write; the state is as before.
            StoreFailed: the write or its sync failed; the state is as before, or was read again from disk.
        """
        self._ensure_durable()
        try:
            with self._environment.begin(write=True) as transaction:
                yield transaction
            self._environment.sync(True)
        except (lmdb.BadValsizeError, lmdb.MapFullError) as error:
            raise WriteRejected(
                str(error)
            ) from error  # the transaction was aborted, the environment is sound
        except (lmdb.Error, OSError) as error:
            self._failure = str(error)
            self._try_reopen()
            raise StoreFailed(str(error)) from error

    def _ensure_durable(self) -> None:
        """Check that the state in memory is durable; after a failure, try to reopen the store.

        Attempts to reopen are at least a second apart.

        Raises:
            StoreFailed: it is not, and reopening the environment has failed too.
        """
        if self._failure is not None and time.monotonic() >= self._next_reopen_at:
            self._try_reopen()
        if self._failure is not None:
            raise StoreFailed(self._failure)

    def _try_reopen(self) -> None:
        """Reopen the environment; if that fails, the store stays broken until the next attempt."""
        try:
            self._reopen()
        except (lmdb.Error, OSError, msgspec.DecodeError) as error:
            self._failure = str(error)
            self._next_reopen_at = time.monotonic() + REOPEN_INTERVAL_S
        else:
            self._failure = None

    @staticmethod
    def _write_entries(transaction: lmdb.Transaction, table: lmdb._Database, writes: Iterable[Write]) -> None:
        for write in writes:
            key = write.key.encode()
            if write.value is None:
                transaction.delete(key, db=table)
            else:
                transaction.put(key, write.value, db=table)

    def get(self, key: str) -> bytes | None:
        encoded = key.encode(errors="surrogatepass")
        if not 0 < len(encoded) <= MAX_KEY_BYTES:
            return None  # no entry can have it
        with self._environment.begin() as transaction:
            value = transaction.get(encoded, db=self._state_table)
            return None if value is None else bytes(value)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """The entries whose keys start with `prefix`, in key order."""
        start = prefix.encode()
        with self._environment.begin() as transaction, transaction.cursor(db=self._state_table) as cursor:
            has_entry = cursor.set_range(start)
            while has_entry and cursor.key().startswith(start):
                yield cursor.key().decode(), bytes(cursor.value())
                has_entry = cursor.next()

    def chunk(self, after: str, max_bytes: int) -> Chunk:
        entries: list[Write] = []
        size = 0
        with self._environment.begin() as transaction, transaction.cursor(db=self._state_table) as cursor:
            has_entry = cursor.set_range(after.encode())
            if has_entry and after and cursor.key() == after.encode():
                has_entry = cursor.next()
            while has_entry:
                write = Write(cursor.key().decode(), bytes(cursor.value()))
                size += len(write.key) + len(cursor.value())
                if entries and size > max_bytes:
                    break
                entries.append(write)
                has_entry = cursor.next()
        return Chunk(entries, entries[-1].key if entries else after, not has_entry)

    def entries(self) -> list[Write]:
        return [Write(key, value) for key, value in self.scan("")]

    def close(self) -> None:
        self._environment.close()


class MemoryStore:
    """Implements `ReplicaStore` in memory, for tests and for replicas that need no durability."""

    def __init__(self) -> None:
        self.epoch = 0
        self.position = INITIAL_POSITION
        self.data: dict[str, bytes] = {}
        self._staged: tuple[Staged, dict[str, bytes]] | None = None
        self._recent_changes: dict[int, recent_changes.ChangedKeys] = {}
        self.limit_bytes = UNLIMITED_BYTES
        self.broken = False

    @property
    def used_bytes(self) -> int:
        """Total size of the values."""
        return sum(len(value) for value in self.data.values())

    def grant(self, epoch: int) -> None:
        self.epoch = max(self.epoch, epoch)

    def check_writes(self, writes: Iterable[Write]) -> None:
        _check_writes(writes, self.limit_bytes)

    def apply(self, updates: list[Update]) -> None:
        change = recent_changes.changed_keys(self.position, updates)
        if change is not None:
            self._recent_changes[change.position.version % recent_changes.RETAINED_ENTRIES] = change
        for update in updates:
            self._write_entries(self.data, update.writes)
            self.position = update.position

    def changed_since(self, position: Position) -> list[Write] | None:
        keys = recent_changes.changed_since(self._recent_changes.values(), position, self.position)
        return None if keys is None else [Write(key, self.data.get(key)) for key in keys]

    @property
    def staged(self) -> Staged | None:
        return self._staged[0] if self._staged else None

    def stage(self, entries: Iterable[Write], staged: Staged, first: bool) -> None:
        data = {} if first or self._staged is None else self._staged[1]
        self._write_entries(data, entries)
        self._staged = (staged, data)

    def stage_updates(self, updates: list[Update]) -> None:
        if self._staged is not None:
            staged, data = self._staged
            for update in updates:
                self._write_entries(data, update.writes)
            self._staged = (Staged(updates[-1].position, staged.through), data)

    def install_staged(self) -> None:
        if self._staged is not None:
            staged, self.data = self._staged
            self.position = staged.position
            self._staged = None

    @staticmethod
    def _write_entries(data: dict[str, bytes], writes: Iterable[Write]) -> None:
        for write in writes:
            if write.value is None:
                data.pop(write.key, None)
            else:
                data[write.key] = write.value

    def get(self, key: str) -> bytes | None:
        return self.data.get(key)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        return ((key, self.data[key]) for key in sorted(self.data) if key.startswith(prefix))

    def chunk(self, after: str, max_bytes: int) -> Chunk:
        entries: list[Write] = []
        size = 0
        for key in sorted(key for key in self.data if key > after):
            size += len(key) + len(self.data[key])
            if entries and size > max_bytes:
                return Chunk(entries, entries[-1].key, False)
            entries.append(Write(key, self.data[key]))
        return Chunk(entries, entries[-1].key if entries else after, True)
