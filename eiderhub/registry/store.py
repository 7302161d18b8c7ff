"""Store of the list service: a log of changes and snapshots in one folder, with opaque payloads.

    log-00000000000000000001       frames from this sequence number on; the newest log is appended to
    snapshot-00000000000000004096  one frame: the whole state at this sequence number
    lock                           locked by the process that has the folder open

A frame is a header of four little-endian numbers and a payload (JSON):

    length: u32 of the payload   sequence: u64   group: u64   checksum: u64, xxh3 of sequence, group, payload

Frames are appended and synced in groups; `group` is the sequence number of the group's first frame. The
remains of a group that was not synced before a crash, and so never acknowledged, are cut off at the next
opening. A bad frame before a valid frame of a later group was valid once: the log is damaged, and opening
it fails.

Invariants: what `append` has returned for survives any crash; sequence numbers have no gaps; at every moment
some snapshot and the logs after it hold the whole state.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import struct
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple, Protocol

import xxhash

HEADER = struct.Struct("<IQQQ")
FILE_MAGIC = b"ottercleat list 1\n"  # at the start of each file
MAX_PAYLOAD_BYTES = 256 << 20
LOG_PREFIX, SNAPSHOT_PREFIX, PARTIAL_SUFFIX, LOCK_NAME = "log-", "snapshot-", ".part", "lock"
SNAPSHOT_LOG_BYTES = 16 << 20  # a longer log is replaced by a snapshot


class StoreError(Exception):
    """The store can't be used; the message names the file and the fault."""


class Frame(NamedTuple):
    sequence: int
    payload: bytes


class Disk(Protocol):
    """The file operations that a store needs. Every call may raise OSError."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str, data: bytes) -> None:
        """Append to the file; creates it if there is none."""

    def truncate(self, name: str, size: int) -> None: ...

    def sync(self, name: str) -> None:
        """Make the content of the file durable."""

    def sync_directory(self) -> None:
        """Make the creation, renaming and removal of files durable."""

    def replace(self, name: str, new_name: str) -> None: ...

    def remove(self, name: str) -> None: ...


class Folder:
    """A folder of the file system, locked against other processes."""

    def __init__(self, path: Path, create: bool = True, lock: bool = True) -> None:
        """Raises StoreError if another process has the folder open, or it can't be used."""
        self.path = path
        self._files: dict[str, int] = {}
        self._lock: int | None = None
        try:
            if create:
                path.mkdir(parents=True, exist_ok=True)
            elif not path.is_dir():
                raise StoreError(f"{path}: no such store")
            if lock:
                self._lock = os.open(path / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.close()
            raise StoreError(f"{path}: another process has this store open") from None
        except OSError as error:
            self.close()
            raise StoreError(f"{path}: {error.strerror}") from None

    def close(self) -> None:
        for descriptor in (*self._files.values(), self._lock):
            if descriptor is not None:
                os.close(descriptor)
        self._files, self._lock = {}, None

    def _open(self, name: str) -> int:
        if name not in self._files:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            self._files[name] = os.open(self.path / name, flags, 0o644)
        return self._files[name]

    def _close_file(self, name: str) -> None:
        if name in self._files:
            os.close(self._files.pop(name))

    def names(self) -> list[str]:
        return os.listdir(self.path)

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        descriptor, unwritten = self._open(name), memoryview(data)
        while unwritten:
            unwritten = unwritten[os.write(descriptor, unwritten) :]

    def truncate(self, name: str, size: int) -> None:
        os.ftruncate(self._open(name), size)

    def sync(self, name: str) -> None:
        os.fdatasync(self._open(name))

    def sync_directory(self) -> None:
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def replace(self, name: str, new_name: str) -> None:
        self._close_file(name)
        os.replace(self.path / name, self.path / new_name)

    def remove(self, name: str) -> None:
        self._close_file(name)
        os.unlink(self.path / name)


def encode_frame(sequence: int, group: int, payload: bytes) -> bytes:
    return HEADER.pack(len(payload), sequence, group, _checksum(sequence, group, payload)) + payload


def _checksum(sequence: int, group: int, payload: bytes) -> int:
    return int(xxhash.xxh3_64_intdigest(struct.pack("<QQ", sequence, group) + payload))


class _DecodedFrame(NamedTuple):
    """A valid frame and the offset of its end in the file."""

    frame: Frame
    group: int
    end: int


def _decode_frame(data: bytes, offset: int) -> _DecodedFrame | None:
    if offset + HEADER.size > len(data):
        return None
    length, sequence, group, checksum = HEADER.unpack_from(data, offset)
    end = offset + HEADER.size + length
    if length > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[offset + HEADER.size : end]
    if checksum != _checksum(sequence, group, payload):
        return None
    return _DecodedFrame(Frame(sequence, payload), group, end)


def _find_later_group(data: bytes, offset: int, sequence: int) -> int | None:
    """Offset of a valid frame of a group that began after `sequence`; None if there is none."""
    for start in range(offset + 1, len(data) - HEADER.size + 1):
        length, found, group, _ = HEADER.unpack_from(data, start)
        if sequence < group <= found < sequence + (1 << 40) and start + HEADER.size + length <= len(data):
            if _decode_frame(data, start) is not None:
                return start
    return None


class Log(NamedTuple):
    """Content of one log file."""

    name: str
    frames: list[Frame]
    valid_bytes: int  # up to the end of the last valid frame
    torn_bytes: int  # after them, left by a crash


def read_log(name: str, data: bytes, is_newest: bool) -> Log:
    """The frames of a log file.

    Raises:
        StoreError: the log is damaged; the message has the offset. A torn end of the newest log is no damage.
    """
    if not data.startswith(FILE_MAGIC):
        if is_newest and FILE_MAGIC.startswith(data):
            return Log(name, [], 0, len(data))
        raise StoreError(f"{name}: offset 0: not a log of a list service")
    frames: list[Frame] = []
    offset, sequence = len(FILE_MAGIC), _sequence_in_name(name)
    while offset < len(data):
        found = _decode_frame(data, offset)
        if found is None:
            if not is_newest:
                raise StoreError(f"{name}: offset {offset}: damaged, and a later log follows")
            later = _find_later_group(data, offset, sequence)
            if later is not None:
                raise StoreError(
                    f"{name}: offset {offset}: damaged, with valid entries from offset {later} on"
                )
            break
        if found.frame.sequence != sequence:
            raise StoreError(
                f"{name}: offset {offset}: found entry {found.frame.sequence}, expected {sequence}"
            )
        frames.append(found.frame)
        offset, sequence = found.end, sequence + 1
    return Log(name, frames, offset, len(data) - offset)


def _sequence_in_name(name: str) -> int:
    digits = name.rpartition("-")[2]
    return int(digits) if digits.isascii() and digits.isdigit() else -1


def _files_with_prefix(disk: Disk, prefix: str) -> list[str]:
    return sorted(
        n
        for n in disk.names()
        if n.startswith(prefix) and _sequence_in_name(n) >= 0 and PARTIAL_SUFFIX not in n
    )


@dataclass(frozen=True, slots=True)
class Contents:
    """Content of a store."""

    snapshot: Frame | None
    frames: list[Frame]  # after the snapshot, in order
    logs: list[Log]
    warnings: list[str]  # about unfinished files that are skipped or cut off

    @property
    def sequence(self) -> int:
        last = self.frames[-1] if self.frames else self.snapshot
        return last.sequence if last is not None else 0


def read_store(disk: Disk) -> Contents:
    """Read a whole store without changing it.

    Raises:
        StoreError: the store is damaged; the message has the file and the offset.
    """
    snapshot = None
    for name in _files_with_prefix(disk, SNAPSHOT_PREFIX)[-1:]:
        data = disk.read(name)
        found = _decode_frame(data, len(FILE_MAGIC)) if data.startswith(FILE_MAGIC) else None
        if found is None or found.end != len(data) or found.frame.sequence != _sequence_in_name(name):
            raise StoreError(f"{name}: offset 0: damaged snapshot")
        snapshot = found.frame
    sequence = snapshot.sequence if snapshot is not None else 0
    names = _logs_after(disk, sequence)
    logs, frames, warnings = [], [], []
    for name in names:
        log = read_log(name, disk.read(name), is_newest=name == names[-1])
        logs.append(log)
        if log.torn_bytes:
            warnings.append(
                f"{name}: offset {log.valid_bytes}: {log.torn_bytes} bytes left by a crash are cut off"
            )
        for frame in log.frames:
            if frame.sequence <= sequence:
                continue  # covered by the snapshot
            if frame.sequence != sequence + 1:
                raise StoreError(
                    f"{name}: sequence {sequence + 1} is missing; the log goes on with {frame.sequence}"
                )
            frames.append(frame)
            sequence += 1
    if not logs and snapshot is None and any(PARTIAL_SUFFIX in name for name in disk.names()):
        warnings.append("an unfinished snapshot is ignored")
    return Contents(snapshot, frames, logs, warnings)


def _logs_after(disk: Disk, sequence: int) -> list[str]:
    """The logs that may hold frames after this sequence number."""
    names = _files_with_prefix(disk, LOG_PREFIX)
    covered_count = sum(1 for name in names[1:] if _sequence_in_name(name) <= sequence + 1)
    return names[covered_count:]


class Store:
    """An open store. Not thread-safe."""

    def __init__(self, disk: Disk) -> None:
        """Raises StoreError if the store is damaged, OSError if the disk fails."""
        self._disk = disk
        self.contents = read_store(disk)
        self.sequence = self.contents.sequence
        self._has_failed_append = False  # the log may have bytes after its last valid frame
        for name in [name for name in disk.names() if name.endswith(PARTIAL_SUFFIX)]:
            disk.remove(name)
        logs = self.contents.logs
        if logs and logs[-1].valid_bytes:
            self._log_name, self.log_bytes = logs[-1].name, logs[-1].valid_bytes
            if logs[-1].torn_bytes:
                disk.truncate(self._log_name, self.log_bytes)
                disk.sync(self._log_name)
        else:  # no log, or one with an incomplete FILE_MAGIC
            for log in logs[-1:]:
                disk.remove(log.name)
            self._start_log()

    def _start_log(self) -> None:
        self._log_name, self.log_bytes = f"{LOG_PREFIX}{self.sequence + 1:020}", len(FILE_MAGIC)
        if self._log_name in self._disk.names():
            self._disk.truncate(self._log_name, 0)
        self._disk.append(self._log_name, FILE_MAGIC)
        self._disk.sync(self._log_name)
        self._disk.sync_directory()

    def append(self, payloads: Sequence[bytes]) -> int:
        """Append payloads durably as one group; returns the last sequence number.

        Raises:
            OSError: none of the payloads is stored; the call may be repeated.
        """
        self._truncate_failed_append()
        first = self.sequence + 1
        data = b"".join(encode_frame(first + i, first, payload) for i, payload in enumerate(payloads))
        try:
            self._disk.append(self._log_name, data)
            self._disk.sync(self._log_name)
        except OSError:
            # Never retry a failed sync: the kernel may have dropped the data. Truncate, and write it again.
            self._has_failed_append = True
            with contextlib.suppress(OSError):
                self._truncate_failed_append()
            raise
        self.log_bytes += len(data)
        self.sequence += len(payloads)
        return self.sequence

    def _truncate_failed_append(self) -> None:
        if self._has_failed_append:
            self._disk.truncate(self._log_name, self.log_bytes)
            self._has_failed_append = False

    @property
    def needs_snapshot(self) -> bool:
        return self.log_bytes > SNAPSHOT_LOG_BYTES

    def snapshot(self, payload: bytes) -> None:
        """Write a snapshot of the whole state, start a new log, and remove the files that it covers.

        Raises:
            OSError: the content of the store is unchanged; harmless files may be left over.
        """
        self._truncate_failed_append()
        name = f"{SNAPSHOT_PREFIX}{self.sequence:020}"
        partial_name = name + PARTIAL_SUFFIX
        try:
            self._disk.append(partial_name, FILE_MAGIC + encode_frame(self.sequence, self.sequence, payload))
            self._disk.sync(partial_name)
            self._disk.replace(partial_name, name)
            self._disk.sync_directory()
        except OSError:
            with contextlib.suppress(OSError):
                self._disk.remove(partial_name)
            raise
        if self.log_bytes > len(FILE_MAGIC):
            self._start_log()
        for covered_name in self._covered_files():
            self._disk.remove(covered_name)
        self._disk.sync_directory()

    def _covered_files(self) -> Iterator[str]:
        for name in (
            *_files_with_prefix(self._disk, SNAPSHOT_PREFIX)[:-1],
            *_files_with_prefix(self._disk, LOG_PREFIX),
        ):
            if name != self._log_name:
                yield name
