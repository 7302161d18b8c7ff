"""A replica that is a little behind, over restarts too, is sent what has changed, not the whole state."""

from __future__ import annotations

from pathlib import Path

import pytest

from eiderhub.coordination import tail
from eiderhub.coordination.catch_up import Peer
from eiderhub.coordination.messages import Position, Staged, Update, Write
from eiderhub.coordination.replication import Replica
from eiderhub.coordination.store import ReplicaStore
from eiderhub.coordination.tail import MAX_KEYS_PER_ENTRY, ChangedKeys, changed_since
from eiderhub.storage.store import LmdbStore, MemoryStore
from tests.model.schedules import recover, serve
from tests.model.world import CONTROL_OF_THREE, World

SEEDS = 12
KEPT_UPDATES = 24
DISK_MB = 16.0


def at(version: int, epoch: int = 1) -> Position:
    return Position(epoch, version)


def test_the_way_from_a_state_to_the_present_one_is_followed_back() -> None:
    steps = [ChangedKeys(at(1), at(2), ["a", "b"]), ChangedKeys(at(2), at(5, 3), ["b", "c"])]
    assert changed_since(steps, at(5, 3), at(5, 3)) == []
    assert changed_since(steps, at(2), at(5, 3)) == ["b", "c"]
    assert set(changed_since(steps, at(1), at(5, 3)) or []) == {"a", "b", "c"}
    assert changed_since(steps, at(2, 2), at(5, 3)) is None  # a state of another past
    assert changed_since(steps, at(0), at(5, 3)) is None  # too long ago
    assert changed_since([ChangedKeys(at(1), at(1), ["a"])], at(0), at(1)) is None  # no way round in a circle


def test_an_update_of_many_keys_is_not_kept() -> None:
    writes = [Write(f"k{number}", b"") for number in range(MAX_KEYS_PER_ENTRY + 1)]
    assert tail.step(at(1), [Update(at(2), writes)]) is None
    assert tail.step(at(1), [Update(at(2), writes[1:])]) is not None


@pytest.fixture(params=["memory", "lmdb"])
def store(request: pytest.FixtureRequest, tmp_path: Path) -> ReplicaStore:
    return MemoryStore() if request.param == "memory" else LmdbStore(tmp_path, DISK_MB, "id@h:1")


def test_a_store_tells_what_has_changed_as_it_is_now(store: ReplicaStore) -> None:
    store.apply([Update(at(1), [Write("a", b"1"), Write("b", b"1")])])
    store.apply([Update(at(2), [Write("a", b"2")]), Update(at(3), [Write("c", b"3")])])
    store.apply([Update(at(4, 2), [Write("b", None)])])
    assert store.changed_since(at(4, 2)) == []
    assert store.changed_since(at(3)) == [Write("b", None)]
    assert {w.key: w.value for w in store.changed_since(at(1)) or []} == {"a": b"2", "b": None, "c": b"3"}
    assert store.changed_since(at(2)) is None  # no state that was ever told: two updates came together
    store.stage([Write("z", b"9")], Staged(at(9, 5), "z"), first=True)
    store.install_staged()
    assert store.changed_since(at(3)) is None
    store.apply([Update(at(10, 5), [Write("y", b"1")])])
    assert store.changed_since(at(9, 5)) == [Write("y", b"1")]


def test_only_the_newest_updates_are_kept(store: ReplicaStore) -> None:
    kept = tail.KEPT_UPDATES
    for version in range(1, 3 * kept):
        store.apply([Update(at(version), [Write(f"k{version}", b"v")])])
    newest = 3 * kept - 1
    assert len(store.changed_since(at(newest - kept)) or []) == kept
    assert store.changed_since(at(newest - kept - 1)) is None


def test_what_has_changed_is_known_over_a_restart(tmp_path: Path) -> None:
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    store.apply([Update(at(1), [Write("a", b"1")])])
    store.apply([Update(at(2), [Write("b", b"2")])])
    store.close()
    again = LmdbStore(tmp_path, DISK_MB)
    assert again.changed_since(at(1)) == [Write("b", b"2")]


def test_large_values_are_left_to_a_snapshot(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tail, "MOST_BYTES", 100)
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    store.apply([Update(at(1), [Write("a", b"1")])])
    store.apply([Update(at(2), [Write("a", b"x" * 200)])])
    assert store.changed_since(at(1)) is None


@pytest.fixture(autouse=True)
def kept_updates(monkeypatch: pytest.MonkeyPatch) -> None:
    """As many as in service, whatever another test has set."""
    monkeypatch.setattr(tail, "KEPT_UPDATES", KEPT_UPDATES)


def lose_all_power(seed: int) -> int:
    """A backup misses some changes, then everybody loses power; how many snapshots are begun after that."""
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
    began: list[str] = []
    begin_snapshot = Replica._start_snapshot

    def counted(self: Replica, now: float, identity: str, peer: Peer, staged: Staged | None) -> None:
        began.append(identity)
        begin_snapshot(self, now, identity, peer, staged)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Replica, "_start_snapshot", counted)
        recover(world)
    serve(world)
    return len(began)


def test_after_a_loss_of_all_power_a_backup_is_sent_what_it_lacks() -> None:
    assert [lose_all_power(seed) for seed in range(SEEDS)] == [0] * SEEDS


def test_without_the_kept_keys_it_is_sent_the_whole_state(monkeypatch: pytest.MonkeyPatch) -> None:
    """As it was before."""
    monkeypatch.setattr(MemoryStore, "changed_since", lambda self, position: None)
    assert sum(lose_all_power(seed) for seed in range(SEEDS)) > 0
