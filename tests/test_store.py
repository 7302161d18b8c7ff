"""The lmdb store: what it keeps over a restart, and what a full disk does to it."""

from __future__ import annotations

import subprocess
import sys
import textwrap
from pathlib import Path

import pytest

from eiderhub.coordination.messages import Position, Staged, Update, Write
from eiderhub.coordination.store import NOWHERE
from eiderhub.storage.store import LmdbStore, StoreUnusable

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
