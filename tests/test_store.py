"""The LMDB store: what survives a restart, and how it handles a full or failing disk."""

from __future__ import annotations

import random
import subprocess
import sys
import textwrap
from collections.abc import Callable
from mmap import PAGESIZE
from pathlib import Path
from typing import Any

import pytest

from eiderhub.coordination.messages import (
    Position,
    Replicate,
    Replicated,
    RequestEpoch,
    Staged,
    Update,
    Write,
)
from eiderhub.coordination.replication import Replica
from eiderhub.coordination.store import INITIAL_POSITION, StoreFailed
from eiderhub.storage.store import FILE_NAME, REOPEN_INTERVAL_S, LmdbStore, StoreUnusable

DISK_MB = 16.0


def update(version: int, *writes: Write) -> Update:
    return Update(Position(1, version), list(writes))


def test_state_position_and_epoch_survive_a_restart(tmp_path: Path) -> None:
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    store.apply([update(1, Write("a", b"1"), Write("b", b"2")), update(2, Write("a", None))])
    store.grant(7)
    store.grant(3)  # an older epoch changes nothing
    store.close()
    reopened = LmdbStore(tmp_path, DISK_MB, "other@h:1")
    assert (reopened.identity, reopened.created) == ("id@h:1", False)
    assert (reopened.position, reopened.epoch) == (Position(1, 2), 7)
    assert reopened.entries() == [Write("b", b"2")]


def test_used_bytes_exclude_freed_space(tmp_path: Path) -> None:
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    used_before = store.used_bytes
    store.apply([update(1, Write("a", b"x" * 1_000_000))])
    assert store.used_bytes >= used_before + 1_000_000
    store.apply([update(2, Write("a", None))])
    assert store.used_bytes <= used_before + 4096
    assert store.limit_bytes == int(DISK_MB * 0.9) << 20


@pytest.mark.parametrize(
    "pages", [b"", bytes(PAGESIZE), bytes(8 * PAGESIZE)], ids=["empty", "a page", "zeros"]
)
def test_store_whose_first_sync_never_came_is_begun_again(tmp_path: Path, pages: bytes) -> None:
    """Guards against a program that ends at each start, as power was lost while its store was made."""
    (tmp_path / FILE_NAME).write_bytes(pages)
    store = LmdbStore(tmp_path, DISK_MB, "new@h:1")
    assert (store.identity, store.created, store.position) == ("new@h:1", True, INITIAL_POSITION)
    store.apply([update(1, Write("a", b"1"))])
    store.close()
    assert LmdbStore(tmp_path, DISK_MB, "other@h:1").entries() == [Write("a", b"1")]


HALF_WRITTEN: dict[str, Callable[[bytes], bytes]] = {
    "first page lost": lambda data: bytes(PAGESIZE) + data[PAGESIZE:],
    "second page lost": lambda data: data[:PAGESIZE] + bytes(PAGESIZE) + data[2 * PAGESIZE :],
    "one page": lambda data: data[:PAGESIZE],
    "half a page": lambda data: data[: PAGESIZE // 2],
    "one and a half": lambda data: data[: PAGESIZE * 3 // 2],
}


@pytest.mark.parametrize("kept", HALF_WRITTEN.values(), ids=list(HALF_WRITTEN))
def test_store_with_a_part_of_its_first_write_is_begun_again(
    tmp_path: Path, kept: Callable[[bytes], bytes]
) -> None:
    """Guards against a first write of which the disk kept a part."""
    LmdbStore(tmp_path, DISK_MB, "old@h:1").close()
    data = (tmp_path / FILE_NAME).read_bytes()
    (tmp_path / FILE_NAME).write_bytes(kept(data))
    assert LmdbStore(tmp_path, DISK_MB, "new@h:1").identity == "new@h:1"


def test_damaged_store_that_was_synced_is_not_begun_again(tmp_path: Path) -> None:
    """Guards against a store that is thrown away for a fault of its disk."""
    LmdbStore(tmp_path, DISK_MB, "old@h:1").close()
    data = bytearray((tmp_path / FILE_NAME).read_bytes())
    data[: 2 * PAGESIZE] = b"x" * (2 * PAGESIZE)
    (tmp_path / FILE_NAME).write_bytes(data)
    with pytest.raises(StoreUnusable):
        LmdbStore(tmp_path, DISK_MB, "new@h:1")
    assert (tmp_path / FILE_NAME).read_bytes() == bytes(data)


def test_snapshot_replaces_the_whole_state(tmp_path: Path) -> None:
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    store.apply([update(1, Write("old", b"1"))])
    store.stage([Write("new", b"2"), Write("new/1", b"3")], Staged(Position(4, 9), "new/1"), first=True)
    store.install_staged()
    assert store.position == Position(4, 9)
    assert dict(store.scan("new")) == {"new": b"2", "new/1": b"3"}
    assert store.get("old") is None


def test_empty_store_is_at_the_initial_position(tmp_path: Path) -> None:
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    assert (store.position, store.epoch, store.created) == (INITIAL_POSITION, 0, True)


def test_read_only_open_requires_an_existing_store(tmp_path: Path) -> None:
    with pytest.raises(StoreUnusable, match="there is no store"):
        LmdbStore(tmp_path, DISK_MB, read_only=True)


def test_file_that_is_not_a_store_is_refused(tmp_path: Path) -> None:
    (tmp_path / "replica.lmdb").write_bytes(b"x" * 8192)
    with pytest.raises(StoreUnusable):
        LmdbStore(tmp_path, DISK_MB, "id@h:1")


class FailingSyncEnvironment:
    """An LMDB environment whose writes succeed and whose sync fails."""

    def __init__(self, environment: Any) -> None:
        self._environment = environment

    def __getattr__(self, name: str) -> Any:
        return getattr(self._environment, name)

    def sync(self, force: bool) -> None:
        raise OSError("the disk does not answer")


def test_failed_store_reports_no_position_until_it_is_reopened(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = [100.0]
    monkeypatch.setattr("eiderhub.storage.store.time.monotonic", lambda: clock[0])
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    store.apply([update(1, Write("a", b"1"))])
    replica = Replica("id@h:1", store, 0.0, random.Random(1))
    monkeypatch.setattr(store, "_environment", FailingSyncEnvironment(store._environment))
    real_open = store._open

    def failing_open() -> None:
        raise OSError("no such device")

    monkeypatch.setattr(store, "_open", failing_open)
    with pytest.raises(StoreFailed, match="the disk does not answer"):
        store.apply([update(2, Write("a", b"2"))])
    assert store.broken and not store.is_empty and (store.used_bytes, replica.version_or_zero) == (0, 0)
    replica.receive(1.0, "p@h:2", Replicate(1, Position(1, 2), [], 2, 1.0))
    replica.receive(1.0, "p@h:2", RequestEpoch(7, Position(1, 9), False))
    assert replica.outbox == []  # its state is unknown: it neither acknowledges nor votes
    for call in (lambda: store.position, lambda: store.staged, lambda: store.grant(9)):
        with pytest.raises(StoreFailed, match="no such device"):
            call()
    monkeypatch.setattr(store, "_open", real_open)
    with pytest.raises(StoreFailed):
        store.grant(9)  # not retried immediately
    clock[0] += REOPEN_INTERVAL_S
    assert store.position in (Position(1, 1), Position(1, 2)) and not store.broken
    replica.receive(2.0, "p@h:2", Replicate(1, store.position, [], 1, 2.0))
    assert [type(each.message) for each in replica.outbox] == [Replicated]


FULL_DISK_SCRIPT = """
    import resource, signal, sys
    from pathlib import Path
    from eiderhub.coordination.messages import Position, Update, Write
    from eiderhub.coordination.store import StoreFailed
    from eiderhub.storage.store import LmdbStore

    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)  # a write beyond the limit fails, as on a full disk
    store = LmdbStore(Path(sys.argv[1]), 16.0, "id@h:1")
    store.apply([Update(Position(1, 1), [Write("kept", b"1")])])
    size = Path(sys.argv[1], "replica.lmdb").stat().st_size
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (size, hard))
    failed = 0
    for version in (2, 3):
        try:
            store.apply([Update(Position(1, version), [Write("large", b"x" * 500_000)])])
        except StoreFailed:
            failed += 1
    assert failed == 2, failed
    assert store.position == Position(1, 1)
    assert store.get("kept") == b"1" and store.get("large") is None
    resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))
    store.apply([Update(Position(1, 2), [Write("large", b"x" * 500_000)])])
    store.close()
    again = LmdbStore(Path(sys.argv[1]), 16.0, "id@h:1")
    assert again.position == Position(1, 2) and again.get("kept") == b"1"
"""


def test_full_disk_loses_no_data_and_accepts_writes_once_space_is_freed(tmp_path: Path) -> None:
    command = [sys.executable, "-c", textwrap.dedent(FULL_DISK_SCRIPT), str(tmp_path)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert result.returncode == 0, result.stderr
