"""A snapshot in chunks: installed whole or not at all, resumed, with the writes made meanwhile."""

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
from eiderhub.coordination.store import NOWHERE
from eiderhub.storage.store import LmdbStore
from tests.test_replication import MEMBERS, elected

DISK_MB = 32.0
LEARNER = "d@4"


class Pair:
    """A primary and a replica that knows nothing, with an lmdb store."""

    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch, entries: int = 40) -> None:
        monkeypatch.setattr(replication, "CHUNK_BYTES", 4_000)
        self.now = 2.0
        self.primary = elected(self.now)
        self.primary.receive(self.now, "b@2", Replicated(2, self.primary.position, self.now))
        for number in range(entries):
            self.write(f"key/{number:03d}", b"x" * 1_000)
        self.folder = folder
        self.open()
        self.primary._learners.add(LEARNER)  # taught by the primary, as `_teach` begins it
        self.primary._peers[LEARNER] = Peer(self.now)

    def open(self) -> None:
        """Start the learner's process, with what its disk holds."""
        self.store = LmdbStore(self.folder, DISK_MB, LEARNER)
        self.learner = Replica(LEARNER, self.store, self.now, random.Random(2))

    def restart(self) -> None:
        self.store.close()
        self.open()
        self.primary.connected(self.now, LEARNER)

    def write(self, key: str, value: bytes | None) -> None:
        position = self.primary.propose(self.now, [Write(key, value)])
        self.primary.receive(self.now, "b@2", Replicated(2, position, self.now))

    def exchange(self, stop: Callable[[SnapshotChunk], bool] = lambda chunk: False) -> int:
        """Deliver messages both ways until none is left, or `stop` says so; how many chunks came."""
        chunks = 0
        self.now += 0.01
        self.primary._send_heartbeat(self.now, LEARNER, self.primary._peers[LEARNER])
        while True:
            outbox, self.primary.outbox = self.primary.outbox, []
            mine = [each.message for each in outbox if each.recipient == LEARNER]
            if not mine:
                return chunks
            for message in mine:
                self.learner.receive(self.now, "a@1", message)
                if isinstance(message, SnapshotChunk):
                    chunks += 1
                    assert len(msgspec.msgpack.encode(message)) < 6_000
                    if stop(message):
                        return chunks
            answers, self.learner.outbox = self.learner.outbox, []
            for answer in answers:
                self.primary.receive(self.now, LEARNER, answer.message)

    def same(self) -> bool:
        return dict(self.store.scan("")) == dict(self.primary.store.scan(""))  # type: ignore[attr-defined]


def test_snapshot_comes_in_bounded_chunks_and_is_whole_at_the_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    pair = Pair(tmp_path, monkeypatch)
    assert pair.exchange() >= 10
    assert pair.same()
    assert pair.learner.position == pair.primary.position
    assert pair.store.staged is None


def test_few_chunks_are_on_their_way_at_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    pair = Pair(tmp_path, monkeypatch)
    pair.primary.receive(pair.now, LEARNER, Replicated(2, NOWHERE, pair.now, gap=True))
    chunks = [each for each in pair.primary.outbox if isinstance(each.message, SnapshotChunk)]
    assert len(chunks) == MAX_UNACKNOWLEDGED_CHUNKS


@pytest.mark.parametrize("chunks", range(1, 10))
def test_kill_at_any_chunk_leaves_the_old_state_and_the_rest_follows(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, chunks: int
) -> None:
    pair = Pair(tmp_path, monkeypatch)
    seen: list[str] = []

    def stop(chunk: SnapshotChunk) -> bool:
        seen.append(chunk.through)
        return len(seen) == chunks

    pair.exchange(stop)
    pair.restart()
    assert pair.store.position == NOWHERE
    assert not list(pair.store.scan(""))
    assert pair.store.staged == Staged(pair.primary.position, seen[-1])
    assert pair.exchange() <= 15 - chunks  # it goes on where it broke off
    assert pair.same()


def test_writes_made_while_a_snapshot_is_on_its_way_are_in_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    pair = Pair(tmp_path, monkeypatch)

    def write(chunk: SnapshotChunk) -> bool:
        if chunk.after == "":
            pair.write("key/001", b"changed after it was sent")
            pair.write("key/002", None)
            pair.write("key/039", None)
            pair.write("key/038", b"changed before it is sent")
            pair.write("new", b"1")
        return False

    pair.exchange(write)
    pair.exchange()
    assert pair.same()
    assert pair.learner.position == pair.primary.position


def test_transfer_that_no_update_reaches_any_more_begins_anew(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    pair = Pair(tmp_path, monkeypatch)
    pair.exchange(lambda chunk: chunk.after != "")
    for number in range(600):  # more than the primary remembers
        pair.write("counter", b"%d" % number)
    pair.restart()
    pair.exchange()
    pair.exchange()
    assert pair.same()


def test_two_replicas_learn_at_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    pair = Pair(tmp_path / "one", monkeypatch)
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
    """A primary counts what was synced; a state older than that must not come back."""
    pair = Pair(tmp_path, monkeypatch, entries=2)
    kept: list[SnapshotChunk] = []

    def keep(chunk: SnapshotChunk) -> bool:
        kept.append(chunk)
        return False

    pair.exchange(keep)
    pair.write("newer", b"1")
    pair.exchange()
    position = pair.learner.position
    for chunk in kept:
        pair.learner.receive(pair.now, "a@1", chunk)
    assert pair.learner.position == position
    assert pair.same()


def test_restarted_primary_of_a_store_leads_with_what_was_installed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    pair = Pair(tmp_path, monkeypatch)
    pair.exchange()
    pair.restart()
    assert pair.same()
    assert pair.learner.role is Role.BACKUP
    assert pair.learner.members == frozenset(MEMBERS)


def test_store_refuses_nothing_of_an_older_layout(tmp_path: Path) -> None:
    """A store that never had a snapshot beside it is read as before."""
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    store.apply([Update(Position(1, 1), [Write("a", b"1")])])
    store.close()
    read = LmdbStore(tmp_path, DISK_MB, read_only=True)
    assert dict(read.scan("")) == {"a": b"1"}
    assert read.staged is None
