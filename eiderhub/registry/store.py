"""The list service's store: a log of changes and snapshots in one folder. Knows nothing of what they mean.

    log-00000000000000000001       frames from this sequence number on; the newest is appended to
    snapshot-00000000000000004096  one frame: all that there was at this number
    lock                           held by the process that has the folder open

A frame is a head of four little-endian numbers and a payload (JSON):

    length: u32 of the payload   sequence: u64   group: u64   checksum: u64, xxh3 of both and the payload

Frames are appended and synced in groups; `group` is the number of the group's first frame. What a crash
leaves of a group that was never synced, and so never acknowledged, is cut off at the next opening; a bad
frame that a *later* group follows was once good: that is damage, and nothing is served from it.

Invariants: a sequence that `append` has returned for is there after any crash; versions follow each other
without a gap; at every moment some snapshot and the logs after it hold everything.
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

HEAD = struct.Struct("<IQQQ")
MAGIC = b"ottercleat list 1\n"  # of each file
MOST_PAYLOAD = 256 << 20
LOG, SNAPSHOT, PART, LOCK = "log-", "snapshot-", ".part", "lock"
ROLL_BYTES = 16 << 20  # a log longer than this is worth a snapshot


class StoreError(Exception):
    """A store that can't be used, with the file and what is wrong with it."""


class Frame(NamedTuple):
    sequence: int
    payload: bytes


class Disk(Protocol):
    """A folder of files, as far as a store needs one. Every call may raise OSError."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str, data: bytes) -> None:
        """At its end; makes it where there is none."""

    def truncate(self, name: str, size: int) -> None: ...

    def sync(self, name: str) -> None:
        """What the file holds is durable, once this has returned."""

    def sync_names(self) -> None:
        """What has been made, renamed or removed is durable, once this has returned."""

    def replace(self, name: str, other: str) -> None: ...

    def remove(self, name: str) -> None: ...


class Folder:
    """A real one. At most one process has it open."""

    def __init__(self, path: Path, make: bool = True, lock: bool = True) -> None:
        """Raises StoreError where another process has it open, or it can't be used."""
        self.path = path
        self._files: dict[str, int] = {}
        self._lock: int | None = None
        try:
            if make:
                path.mkdir(parents=True, exist_ok=True)
            elif not path.is_dir():
                raise StoreError(f"{path}: there is no such store")
            if lock:
                self._lock = os.open(path / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
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

    def _forget(self, name: str) -> None:
        if name in self._files:
            os.close(self._files.pop(name))

    def names(self) -> list[str]:
        return os.listdir(self.path)

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        descriptor, rest = self._open(name), memoryview(data)
        while rest:
            rest = rest[os.write(descriptor, rest) :]

    def truncate(self, name: str, size: int) -> None:
        os.ftruncate(self._open(name), size)

    def sync(self, name: str) -> None:
        os.fdatasync(self._open(name))

    def sync_names(self) -> None:
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def replace(self, name: str, other: str) -> None:
        self._forget(name)
        os.replace(self.path / name, self.path / other)

    def remove(self, name: str) -> None:
        self._forget(name)
        os.unlink(self.path / name)


def encode(sequence: int, group: int, payload: bytes) -> bytes:
    return HEAD.pack(len(payload), sequence, group, _checksum(sequence, group, payload)) + payload


def _checksum(sequence: int, group: int, payload: bytes) -> int:
    return int(xxhash.xxh3_64_intdigest(struct.pack("<QQ", sequence, group) + payload))


class _Found(NamedTuple):
    """A good frame in a file."""

    frame: Frame
    group: int
    end: int


def _frame_at(data: bytes, offset: int) -> _Found | None:
    if offset + HEAD.size > len(data):
        return None
    length, sequence, group, checksum = HEAD.unpack_from(data, offset)
    end = offset + HEAD.size + length
    if length > MOST_PAYLOAD or end > len(data):
        return None
    payload = data[offset + HEAD.size : end]
    if checksum != _checksum(sequence, group, payload):
        return None
    return _Found(Frame(sequence, payload), group, end)


def _later_group(data: bytes, offset: int, sequence: int) -> int | None:
    """Where a good frame of a group stands that began after `sequence` was due; None: nowhere."""
    for place in range(offset + 1, len(data) - HEAD.size + 1):
        length, later, group, _ = HEAD.unpack_from(data, place)
        if sequence < group <= later < sequence + (1 << 40) and place + HEAD.size + length <= len(data):
            if _frame_at(data, place) is not None:
                return place
    return None


class Log(NamedTuple):
    """What one log file holds."""

    name: str
    frames: list[Frame]
    good: int  # bytes up to the end of the last good frame
    cut: int  # bytes after them, left by a crash


def read_log(name: str, data: bytes, newest: bool) -> Log:
    """The frames of a log file.

    Raises:
        StoreError: where it is damaged, with the offset. What a crash may leave at the newest's end is none.
    """
    if not data.startswith(MAGIC):
        if newest and MAGIC.startswith(data):
            return Log(name, [], 0, len(data))
        raise StoreError(f"{name}: offset 0: this is no log of a list service")
    frames: list[Frame] = []
    offset, sequence = len(MAGIC), _number(name)
    while offset < len(data):
        found = _frame_at(data, offset)
        if found is None:
            if not newest:
                raise StoreError(f"{name}: offset {offset}: damaged, and a later log follows it")
            later = _later_group(data, offset, sequence)
            if later is not None:
                raise StoreError(
                    f"{name}: offset {offset}: damaged, with good entries from offset {later} on"
                )
            break
        if found.frame.sequence != sequence:
            raise StoreError(
                f"{name}: offset {offset}: entry {found.frame.sequence} stands where {sequence} should"
            )
        frames.append(found.frame)
        offset, sequence = found.end, sequence + 1
    return Log(name, frames, offset, len(data) - offset)


def _number(name: str) -> int:
    digits = name.rpartition("-")[2]
    return int(digits) if digits.isascii() and digits.isdigit() else -1


def _named(disk: Disk, prefix: str) -> list[str]:
    return sorted(n for n in disk.names() if n.startswith(prefix) and _number(n) >= 0 and PART not in n)


@dataclass(frozen=True, slots=True)
class Contents:
    """What a store holds."""

    snapshot: Frame | None
    frames: list[Frame]  # after it, in the order of their versions
    logs: list[Log]
    notes: list[str]  # what was passed over or has to be cut off

    @property
    def sequence(self) -> int:
        last = self.frames[-1] if self.frames else self.snapshot
        return last.sequence if last is not None else 0


def read(disk: Disk) -> Contents:
    """All that a store holds; changes nothing.

    Raises:
        StoreError: where it is damaged, with file and offset.
    """
    snapshot = None
    for name in _named(disk, SNAPSHOT)[-1:]:
        data = disk.read(name)
        found = _frame_at(data, len(MAGIC)) if data.startswith(MAGIC) else None
        if found is None or found.end != len(data) or found.frame.sequence != _number(name):
            raise StoreError(f"{name}: offset 0: this snapshot is damaged")
        snapshot = found.frame
    sequence = snapshot.sequence if snapshot is not None else 0
    names = _uncovered(disk, sequence)
    logs, frames, notes = [], [], []
    for name in names:
        log = read_log(name, disk.read(name), newest=name == names[-1])
        logs.append(log)
        if log.cut:
            notes.append(f"{name}: offset {log.good}: {log.cut} bytes that a crash has left are cut off")
        for frame in log.frames:
            if frame.sequence <= sequence:
                continue  # the snapshot has it
            if frame.sequence != sequence + 1:
                raise StoreError(
                    f"{name}: sequence {sequence + 1} is missing; the log goes on with {frame.sequence}"
                )
            frames.append(frame)
            sequence += 1
    if not logs and snapshot is None and any(PART in name for name in disk.names()):
        notes.append("a snapshot that was never finished is passed over")
    return Contents(snapshot, frames, logs, notes)


def _uncovered(disk: Disk, sequence: int) -> list[str]:
    """The logs that hold anything after this number."""
    names = _named(disk, LOG)
    covered = sum(1 for name in names[1:] if _number(name) <= sequence + 1)
    return names[covered:]


class Store:
    """An open store. Not for two threads at a time."""

    def __init__(self, disk: Disk) -> None:
        """Raises StoreError for damage, OSError where the disk fails."""
        self._disk = disk
        self.contents = read(disk)
        self.sequence = self.contents.sequence
        self._dirty = False  # whether the log may have bytes past its last good frame
        for name in [name for name in disk.names() if name.endswith(PART)]:
            disk.remove(name)
        logs = self.contents.logs
        if logs and logs[-1].good:
            self._name, self.size = logs[-1].name, logs[-1].good
            if logs[-1].cut:
                disk.truncate(self._name, self.size)
                disk.sync(self._name)
        else:  # none, or one whose very head is torn
            for log in logs[-1:]:
                disk.remove(log.name)
            self._begin_log()

    def _begin_log(self) -> None:
        self._name, self.size = f"{LOG}{self.sequence + 1:020}", len(MAGIC)
        if self._name in self._disk.names():
            self._disk.truncate(self._name, 0)
        self._disk.append(self._name, MAGIC)
        self._disk.sync(self._name)
        self._disk.sync_names()

    def append(self, payloads: Sequence[bytes]) -> int:
        """Make these durable under the versions that follow; returns the last one.

        Raises:
            OSError: nothing of them is in the store then, and it may be tried again.
        """
        self._clean()
        first = self.sequence + 1
        data = b"".join(encode(first + i, first, payload) for i, payload in enumerate(payloads))
        try:
            self._disk.append(self._name, data)
            self._disk.sync(self._name)
        except OSError:
            # Never sync again what a sync has failed on: the system may have dropped it. It is written anew.
            self._dirty = True
            with contextlib.suppress(OSError):
                self._clean()
            raise
        self.size += len(data)
        self.sequence += len(payloads)
        return self.sequence

    def _clean(self) -> None:
        if self._dirty:
            self._disk.truncate(self._name, self.size)
            self._dirty = False

    @property
    def worth_a_snapshot(self) -> bool:
        return self.size > ROLL_BYTES

    def snapshot(self, payload: bytes) -> None:
        """Write all that there is now beside the log, begin a new log, and drop what is covered.

        Raises:
            OSError: the store is as it was, but for files that do no harm.
        """
        self._clean()
        name = f"{SNAPSHOT}{self.sequence:020}"
        part = name + PART
        try:
            self._disk.append(part, MAGIC + encode(self.sequence, self.sequence, payload))
            self._disk.sync(part)
            self._disk.replace(part, name)
            self._disk.sync_names()
        except OSError:
            with contextlib.suppress(OSError):
                self._disk.remove(part)
            raise
        if self.size > len(MAGIC):
            self._begin_log()
        for old in self._covered():
            self._disk.remove(old)
        self._disk.sync_names()

    def _covered(self) -> Iterator[str]:
        for name in (*_named(self._disk, SNAPSHOT)[:-1], *_named(self._disk, LOG)):
            if name != self._name:
                yield name
