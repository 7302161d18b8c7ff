"""A replica that is slightly behind is sent the changed keys, not the whole state, also after restarts."""

from __future__ import annotations

from pathlib import Path

import pytest

from eiderhub.coordination import recent_changes
from eiderhub.coordination.catch_up import Peer
from eiderhub.coordination.messages import Position, Staged, Update, Write
from eiderhub.coordination.recent_changes import MAX_KEYS_PER_ENTRY, ChangedKeys, changed_since
from eiderhub.coordination.replication import Replica
from eiderhub.coordination.store import ReplicaStore
from eiderhub.storage.store import LmdbStore, MemoryStore
from tests.model.schedules import recover, serve
from tests.model.world import CONTROL_OF_THREE, World

SEEDS = 12
DEFAULT_RETAINED_ENTRIES = 24
DISK_MB = 16.0


def pos(version: int, epoch: int = 1) -> Position:
    return Position(epoch, version)


def test_entries_are_followed_back_from_the_current_position() -> None:
    entries = [ChangedKeys(pos(1), pos(2), ["a", "b"]), ChangedKeys(pos(2), pos(5, 3), ["b", "c"])]
    assert changed_since(entries, pos(5, 3), pos(5, 3)) == []
    assert changed_since(entries, pos(2), pos(5, 3)) == ["b", "c"]
    assert set(changed_since(entries, pos(1), pos(5, 3)) or []) == {"a", "b", "c"}
    assert changed_since(entries, pos(2, 2), pos(5, 3)) is None  # a position of another history
    assert changed_since(entries, pos(0), pos(5, 3)) is None  # older than all entries
    assert changed_since([ChangedKeys(pos(1), pos(1), ["a"])], pos(0), pos(1)) is None  # a cycle ends


def test_update_of_too_many_keys_gets_no_entry() -> None:
    writes = [Write(f"k{number}", b"") for number in range(MAX_KEYS_PER_ENTRY + 1)]
    assert recent_changes.changed_keys(pos(1), [Update(pos(2), writes)]) is None
    assert recent_changes.changed_keys(pos(1), [Update(pos(2), writes[1:])]) is not None


@pytest.fixture(params=["memory", "lmdb"])
def store(request: pytest.FixtureRequest, tmp_path: Path) -> ReplicaStore:
    return MemoryStore() if request.param == "memory" else LmdbStore(tmp_path, DISK_MB, "id@h:1")


def test_store_returns_current_values_of_changed_keys(store: ReplicaStore) -> None:
    store.apply([Update(pos(1), [Write("a", b"1"), Write("b", b"1")])])
    store.apply([Update(pos(2), [Write("a", b"2")]), Update(pos(3), [Write("c", b"3")])])
    store.apply([Update(pos(4, 2), [Write("b", None)])])
    assert store.changed_since(pos(4, 2)) == []
    assert store.changed_since(pos(3)) == [Write("b", None)]
    assert {w.key: w.value for w in store.changed_since(pos(1)) or []} == {"a": b"2", "b": None, "c": b"3"}
    assert store.changed_since(pos(2)) is None  # never a position: two updates were applied together
    store.stage([Write("z", b"9")], Staged(pos(9, 5), "z"), first=True)
    store.install_staged()
    assert store.changed_since(pos(3)) is None
    store.apply([Update(pos(10, 5), [Write("y", b"1")])])
    assert store.changed_since(pos(9, 5)) == [Write("y", b"1")]


def test_only_the_newest_entries_are_retained(store: ReplicaStore) -> None:
    retained = recent_changes.RETAINED_ENTRIES
    for version in range(1, 3 * retained):
        store.apply([Update(pos(version), [Write(f"k{version}", b"v")])])
    newest = 3 * retained - 1
    assert len(store.changed_since(pos(newest - retained)) or []) == retained
    assert store.changed_since(pos(newest - retained - 1)) is None


def test_changed_keys_survive_a_restart(tmp_path: Path) -> None:
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    store.apply([Update(pos(1), [Write("a", b"1")])])
    store.apply([Update(pos(2), [Write("b", b"2")])])
    store.close()
    reopened = LmdbStore(tmp_path, DISK_MB)
    assert reopened.changed_since(pos(1)) == [Write("b", b"2")]


def test_large_changes_require_a_snapshot(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(recent_changes, "MAX_CHANGED_BYTES", 100)
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    store.apply([Update(pos(1), [Write("a", b"1")])])
    store.apply([Update(pos(2), [Write("a", b"x" * 200)])])
    assert store.changed_since(pos(1)) is None


@pytest.fixture(autouse=True)
def default_retention(monkeypatch: pytest.MonkeyPatch) -> None:
    """Restore the production value, which other tests change."""
    monkeypatch.setattr(recent_changes, "RETAINED_ENTRIES", DEFAULT_RETAINED_ENTRIES)


def snapshots_after_power_failure(seed: int) -> int:
    """Cut off a backup, then power off all machines; return how many snapshots are started after that."""
    world = World(seed, CONTROL_OF_THREE)
    world.run(2.0)
    world.run_until(lambda: world.leader() is not None, 4.0, "a leader")
    leader = world.leader()
    backup = next(m for m in world.machines.values() if m is not leader)
    world.network.cut({backup.address}, set(world.machines) - {backup.address})
    world.run(world.rng.uniform(0.05, 0.3))
    for machine in world.machines.values():
        machine.lose_power()
    world.network.heal()
    for machine in world.machines.values():
        world.timeline.after(world.rng.uniform(0.2, 0.6), machine.start)
    started: list[str] = []
    start_snapshot = Replica._start_snapshot

    def record_snapshot(self: Replica, now: float, identity: str, peer: Peer, staged: Staged | None) -> None:
        started.append(identity)
        start_snapshot(self, now, identity, peer, staged)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Replica, "_start_snapshot", record_snapshot)
        recover(world)
    serve(world)
    return len(started)


def test_backup_is_sent_only_changes_after_a_power_failure() -> None:
    assert [snapshots_after_power_failure(seed) for seed in range(SEEDS)] == [0] * SEEDS


def test_backup_is_sent_a_snapshot_without_the_changed_keys(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the changed keys, some backups need a snapshot, so the test above can fail."""
    monkeypatch.setattr(MemoryStore, "changed_since", lambda self, position: None)
    assert sum(snapshots_after_power_failure(seed) for seed in range(SEEDS)) > 0
