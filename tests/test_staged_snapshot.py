"""Snapshots sent in chunks: installed atomically, resumed, and including writes made in the meantime."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from eiderhub.coordination import replication
from eiderhub.coordination.catch_up import MAX_UNACKNOWLEDGED_CHUNKS, Peer
from eiderhub.coordination.messages import Position, Replicated, SnapshotChunk, Staged, Update, Write
from eiderhub.coordination.replication import Replica, Role
from eiderhub.coordination.store import INITIAL_POSITION
from eiderhub.storage.store import LmdbStore
from tests.test_replication import MEMBERS, elected_primary

DISK_MB = 32.0
LEARNER = "d@4"


class PrimaryAndLearner:
    """A primary and an empty learner with an LMDB store."""

    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch, entries: int = 40) -> None:
        monkeypatch.setattr(replication, "CHUNK_BYTES", 4_000)
        self.now = 2.0
        self.primary = elected_primary(self.now)
        self.primary.receive(self.now, "b@2", Replicated(2, self.primary.position, self.now))
        for number in range(entries):
            self.commit_write(f"key/{number:03d}", b"x" * 1_000)
        self.folder = folder
        self.start_learner()
        self.primary._learners.add(LEARNER)  # as `_add_learner` does
        self.primary._peers[LEARNER] = Peer(self.now)

    def start_learner(self) -> None:
        """Start the learner's process from its store."""
        self.store = LmdbStore(self.folder, DISK_MB, LEARNER)
        self.learner = Replica(LEARNER, self.store, self.now, random.Random(2))

    def restart_learner(self) -> None:
        self.store.close()
        self.start_learner()
        self.primary.on_connected(self.now, LEARNER)

    def commit_write(self, key: str, value: bytes | None) -> None:
        position = self.primary.propose(self.now, [Write(key, value)])
        self.primary.receive(self.now, "b@2", Replicated(2, position, self.now))

    def exchange_messages(self, stop: Callable[[SnapshotChunk], bool] = lambda chunk: False) -> int:
        """Deliver messages until none is left or `stop` returns true; return the number of chunks."""
        chunks = 0
        self.now += 0.01
        self.primary._send_heartbeat(self.now, LEARNER, self.primary._peers[LEARNER])
        while True:
            outbox, self.primary.outbox = self.primary.outbox, []
            for_learner = [each.message for each in outbox if each.recipient == LEARNER]
            if not for_learner:
                return chunks
            for message in for_learner:
                self.learner.receive(self.now, "a@1", message)
                if isinstance(message, SnapshotChunk):
                    chunks += 1
                    assert len(msgspec.msgpack.encode(message)) < 6_000
                    if stop(message):
                        return chunks
            answers, self.learner.outbox = self.learner.outbox, []
            for answer in answers:
                self.primary.receive(self.now, LEARNER, answer.message)

    def has_same_state(self) -> bool:
        return dict(self.store.scan("")) == dict(self.primary.store.scan(""))  # type: ignore[attr-defined]


def test_snapshot_is_sent_in_bounded_chunks_and_is_complete(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    pair = PrimaryAndLearner(tmp_path, monkeypatch)
    assert pair.exchange_messages() >= 10
    assert pair.has_same_state()
    assert pair.learner.position == pair.primary.position
    assert pair.store.staged is None


def test_number_of_chunks_in_flight_is_limited(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    pair = PrimaryAndLearner(tmp_path, monkeypatch)
    pair.primary.receive(pair.now, LEARNER, Replicated(2, INITIAL_POSITION, pair.now, gap=True))
    chunks = [each for each in pair.primary.outbox if isinstance(each.message, SnapshotChunk)]
    assert len(chunks) == MAX_UNACKNOWLEDGED_CHUNKS


@pytest.mark.parametrize("chunks", range(1, 10))
def test_kill_at_any_chunk_leaves_the_old_state_and_the_rest_follows(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, chunks: int
) -> None:
    pair = PrimaryAndLearner(tmp_path, monkeypatch)
    seen: list[str] = []

    def stop(chunk: SnapshotChunk) -> bool:
        seen.append(chunk.through)
        return len(seen) == chunks

    pair.exchange_messages(stop)
    pair.restart_learner()
    assert pair.store.position == INITIAL_POSITION
    assert not list(pair.store.scan(""))
    assert pair.store.staged == Staged(pair.primary.position, seen[-1])
    assert pair.exchange_messages() <= 15 - chunks  # the transfer is resumed
    assert pair.has_same_state()


def test_snapshot_includes_writes_made_during_the_transfer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    pair = PrimaryAndLearner(tmp_path, monkeypatch)

    def write(chunk: SnapshotChunk) -> bool:
        if chunk.after == "":
            pair.commit_write("key/001", b"changed after it was sent")
            pair.commit_write("key/002", None)
            pair.commit_write("key/039", None)
            pair.commit_write("key/038", b"changed before it is sent")
            pair.commit_write("new", b"1")
        return False

    pair.exchange_messages(write)
    pair.exchange_messages()
    assert pair.has_same_state()
    assert pair.learner.position == pair.primary.position


def test_transfer_restarts_if_the_updates_since_are_not_kept(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    pair = PrimaryAndLearner(tmp_path, monkeypatch)
    pair.exchange_messages(lambda chunk: chunk.after != "")
    for number in range(600):  # more than the primary keeps in memory
        pair.commit_write("counter", b"%d" % number)
    pair.restart_learner()
    pair.exchange_messages()
    pair.exchange_messages()
    assert pair.has_same_state()


def test_two_learners_catch_up_concurrently(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    pair = PrimaryAndLearner(tmp_path / "one", monkeypatch)
    other = Replica("e@5", LmdbStore(tmp_path / "two", DISK_MB, "e@5"), pair.now, random.Random(3))
    pair.primary._learners.add("e@5")
    pair.primary._peers["e@5"] = Peer(pair.now)
    pair.primary._send_heartbeats(pair.now)
    replicas = {LEARNER: pair.learner, "e@5": other}
    while any(each.recipient in replicas for each in pair.primary.outbox):
        outbox, pair.primary.outbox = pair.primary.outbox, []
        for each in outbox:
            if each.recipient in replicas:
                replica = replicas[each.recipient]
                replica.receive(pair.now, "a@1", each.message)
                answers, replica.outbox = replica.outbox, []
                for answer in answers:
                    pair.primary.receive(pair.now, each.recipient, answer.message)
    assert pair.learner.position == other.position == pair.primary.position


def test_late_chunk_of_an_old_connection_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A state that the primary counts as synced must not be replaced by an older one."""
    pair = PrimaryAndLearner(tmp_path, monkeypatch, entries=2)
    old_chunks: list[SnapshotChunk] = []

    def collect(chunk: SnapshotChunk) -> bool:
        old_chunks.append(chunk)
        return False

    pair.exchange_messages(collect)
    pair.commit_write("newer", b"1")
    pair.exchange_messages()
    position = pair.learner.position
    for chunk in old_chunks:
        pair.learner.receive(pair.now, "a@1", chunk)
    assert pair.learner.position == position
    assert pair.has_same_state()


def test_restarted_replica_has_the_installed_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    pair = PrimaryAndLearner(tmp_path, monkeypatch)
    pair.exchange_messages()
    pair.restart_learner()
    assert pair.has_same_state()
    assert pair.learner.role is Role.BACKUP
    assert pair.learner.members == frozenset(MEMBERS)


def test_store_without_a_snapshot_table_is_readable(tmp_path: Path) -> None:
    """A store to which no snapshot was ever staged is still readable."""
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    store.apply([Update(Position(1, 1), [Write("a", b"1")])])
    store.close()
    reopened = LmdbStore(tmp_path, DISK_MB, read_only=True)
    assert dict(reopened.scan("")) == {"a": b"1"}
    assert reopened.staged is None
