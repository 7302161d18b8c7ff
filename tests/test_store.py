"""The lmdb store: what it keeps over a restart, and what a full disk does to it."""

from __future__ import annotations

import random
import subprocess
import sys
import textwrap
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
from eiderhub.coordination.store import NOWHERE, StoreFailed
from eiderhub.storage.store import TRY_AGAIN_S, LmdbStore, StoreUnusable

DISK_MB = 16.0


def update(version: int, *writes: Write) -> Update:
    return Update(Position(1, version), list(writes))


def test_state_position_and_epoch_outlive_a_restart(tmp_path: Path) -> None:
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    store.apply([update(1, Write("a", b"1"), Write("b", b"2")), update(2, Write("a", None))])
    store.grant(7)
    store.grant(3)  # an older one changes nothing
    store.close()
    again = LmdbStore(tmp_path, DISK_MB, "other@h:1")
    assert (again.identity, again.created) == ("id@h:1", False)
    assert (again.position, again.epoch) == (Position(1, 2), 7)
    assert again.entries() == [Write("b", b"2")]


def test_store_tells_what_its_state_takes_without_what_is_free_again(tmp_path: Path) -> None:
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    before = store.used_bytes
    store.apply([update(1, Write("a", b"x" * 1_000_000))])
    assert store.used_bytes >= before + 1_000_000
    store.apply([update(2, Write("a", None))])
    assert store.used_bytes <= before + 4096
    assert store.limit_bytes == int(DISK_MB * 0.9) << 20


def test_snapshot_replaces_all(tmp_path: Path) -> None:
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    store.apply([update(1, Write("old", b"1"))])
    store.stage([Write("new", b"2"), Write("new/1", b"3")], Staged(Position(4, 9), "new/1"), first=True)
    store.install_staged()
    assert store.position == Position(4, 9)
    assert dict(store.scan("new")) == {"new": b"2", "new/1": b"3"}
    assert store.get("old") is None


def test_empty_store_begins_nowhere(tmp_path: Path) -> None:
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    assert (store.position, store.epoch, store.created) == (NOWHERE, 0, True)


def test_reading_needs_a_store(tmp_path: Path) -> None:
    with pytest.raises(StoreUnusable, match="there is no store"):
        LmdbStore(tmp_path, DISK_MB, read_only=True)


def test_file_that_is_no_store_is_refused(tmp_path: Path) -> None:
    (tmp_path / "replica.lmdb").write_bytes(b"x" * 8192)
    with pytest.raises(StoreUnusable):
        LmdbStore(tmp_path, DISK_MB, "id@h:1")


class BrokenDisk:
    """An environment that writes and cannot sync."""

    def __init__(self, environment: Any) -> None:
        self._environment = environment

    def __getattr__(self, name: str) -> Any:
        return getattr(self._environment, name)

    def sync(self, force: bool) -> None:
        raise OSError("the disk does not answer")


def test_a_store_that_fails_twice_tells_no_position_until_it_could_be_opened_anew(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = [100.0]
    monkeypatch.setattr("eiderhub.storage.store.time.monotonic", lambda: clock[0])
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    store.apply([update(1, Write("a", b"1"))])
    replica = Replica("id@h:1", store, 0.0, random.Random(1))
    monkeypatch.setattr(store, "_environment", BrokenDisk(store._environment))
    opened = store._open

    def fails() -> None:
        raise OSError("no such device")

    monkeypatch.setattr(store, "_open", fails)
    with pytest.raises(StoreFailed, match="the disk does not answer"):
        store.apply([update(2, Write("a", b"2"))])
    assert store.broken and not store.is_empty and (store.used_bytes, replica.told_version) == (0, 0)
    replica.receive(1.0, "p@h:2", Replicate(1, Position(1, 2), [], 2, 1.0))
    replica.receive(1.0, "p@h:2", RequestEpoch(7, Position(1, 9), False))
    assert replica.outbox == []  # what it has is not known: it neither acknowledges nor votes
    for call in (lambda: store.position, lambda: store.staged, lambda: store.grant(9)):
        with pytest.raises(StoreFailed, match="no such device"):
            call()
    monkeypatch.setattr(store, "_open", opened)
    with pytest.raises(StoreFailed):
        store.grant(9)  # not tried again at once
    clock[0] += TRY_AGAIN_S
    assert store.position in (Position(1, 1), Position(1, 2)) and not store.broken
    replica.receive(2.0, "p@h:2", Replicate(1, store.position, [], 1, 2.0))
    assert [type(each.message) for each in replica.outbox] == [Replicated]


FULL_DISK = """
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


def test_full_disk_loses_nothing_and_takes_writes_again_once_there_is_room(tmp_path: Path) -> None:
    command = [sys.executable, "-c", textwrap.dedent(FULL_DISK), str(tmp_path)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr
