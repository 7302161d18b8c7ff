"""Freshness, retirement, configuration changes, and bounds on the stored state after many changes."""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

import pytest

from eiderhub.batch.jobs import BatchLimits, JobTable
from eiderhub.control import configuration, retirement
from eiderhub.control.change_processor import ChangeOutcome, ChangeProcessor
from eiderhub.control.configuration import CHANGE_DIGEST_PREFIX, LAST_PURGED_KEY, Change
from eiderhub.control.freshness import MAX_TABLE_AGE_S, Freshness
from eiderhub.control.messages import NodeRecord, StorageReport
from eiderhub.control.retirement import RetireOrder
from eiderhub.coordination.messages import Position, Staged, Update, Write
from eiderhub.coordination.replication import Replica
from eiderhub.coordination.store import INITIAL_POSITION
from eiderhub.coordination.timing import GroupSize
from eiderhub.storage.store import LmdbStore, MemoryStore
from tests.model.actors import document

# --- freshness ---


def test_age_counts_from_the_ping_however_late_the_answer_is_read() -> None:
    freshness = Freshness()
    freshness.record_answer(sent_at=10.0, age_s=0.0)  # read after the process was suspended for 20 s
    assert freshness.age(10.5) == 0.5
    assert freshness.age(30.0) is None


def test_age_of_the_answering_nodes_tables_is_added() -> None:
    freshness = Freshness()
    freshness.record_answer(sent_at=10.0, age_s=0.6)
    assert freshness.age(10.2) == pytest.approx(0.8)
    assert not freshness.is_fresh(10.0 - 0.6 + MAX_TABLE_AGE_S)


def test_answer_without_an_age_is_ignored() -> None:
    freshness = Freshness()
    freshness.record_answer(sent_at=10.0, age_s=None)
    assert freshness.age(10.0) is None


# --- retirement ---

OLD, NEW, OTHER = "old@h1:1", "new@h1:1", "other@h2:1"
ORDER = RetireOrder([OLD])


def report(members: list[str], barred: list[str], synced: bool = True) -> StorageReport:
    return StorageReport(members, barred, synced)


@pytest.mark.parametrize(
    ("storage_report", "empty"),
    [
        (report([OTHER], [OLD]), True),
        (report([OTHER], []), False),  # not barred: a later primary could admit it
        (report([OTHER, OLD], [OLD]), False),
        (report([OTHER, NEW], [OLD]), False),  # rejoined with a new disk
        (report([OTHER], [OLD], synced=False), False),
    ],
)
def test_machine_is_empty_once_the_group_has_barred_it(storage_report: StorageReport, empty: bool) -> None:
    assert retirement.is_empty(ORDER, storage_report) is empty


def test_identity_that_replaces_a_lost_disk_is_added_to_the_order() -> None:
    node = NodeRecord("m1", "storage", "z", NEW)
    order = retirement.next_state("m1", ORDER, [node], report([OTHER], [OLD]))
    assert order == RetireOrder([OLD, NEW])
    order = retirement.next_state("m1", order, [node], report([OTHER], [OLD]))
    assert not order.done
    assert retirement.next_state("m1", order, [node], report([OTHER], [OLD, NEW])).done


def test_order_for_another_machine_with_the_same_name_is_not_a_duplicate() -> None:
    done = RetireOrder([OLD], done=True)
    assert retirement.is_duplicate(done, OLD)
    assert not retirement.is_duplicate(done, NEW)
    assert retirement.is_duplicate(ORDER, NEW)  # the same machine, still being drained


# --- configuration changes ---


def single_replica(store: Any) -> Replica:
    """The primary of a group with one member."""
    replica = Replica("a@1", store, 0.0, random.Random(1), GroupSize(None, 1))
    replica.bootstrap(["a@1"])
    replica.tick(5.0)
    replica.tick(6.0)
    assert replica.all_committed(6.0)
    return replica


def submit_change(
    processor: ChangeProcessor[str], base: int, generation: int, author: str
) -> tuple[Change, ChangeOutcome]:
    change = Change(base, False, document(generation, author, base))
    return change, send(processor, change)


def send(processor: ChangeProcessor[str], change: Change) -> ChangeOutcome:
    processor.submit(change, "caller")
    (answer,) = processor.step(6.0)
    return answer.outcome


def test_conflicting_changes_get_the_same_answers_when_sent_again() -> None:
    store = MemoryStore()
    processor: ChangeProcessor[str] = ChangeProcessor(single_replica(store), store)
    accepted, first = submit_change(processor, 0, 1, "ann")
    refused, second = submit_change(processor, 0, 1, "ben")
    assert (first, second) == (ChangeOutcome.ACKNOWLEDGED, ChangeOutcome.REFUSED)
    assert submit_change(processor, 1, 2, "ann")[1] is ChangeOutcome.ACKNOWLEDGED
    assert send(processor, accepted) is ChangeOutcome.ACKNOWLEDGED
    assert send(processor, refused) is ChangeOutcome.REFUSED


def test_replica_that_does_not_lead_rejects_changes_and_reads() -> None:
    store = MemoryStore()
    replica = Replica("a@1", store, 0.0, random.Random(1))
    replica.bootstrap(["a@1", "b@2", "c@3"])
    processor: ChangeProcessor[str] = ChangeProcessor(replica, store)
    assert submit_change(processor, 0, 1, "ann")[1] is ChangeOutcome.NOT_PRIMARY
    assert processor.newest(6.0) is None


def test_uncommitted_change_is_neither_read_nor_acknowledged_again() -> None:
    store = MemoryStore()
    replica = single_replica(store)
    processor: ChangeProcessor[str] = ChangeProcessor(replica, store)
    change, _ = submit_change(processor, 0, 1, "ann")
    replica._members = frozenset({"a@1", "b@2", "c@3"})  # no quorum: nothing more is committed
    replica._lease.expires_at = lambda members: float("inf")  # type: ignore[method-assign]
    later = Change(1, False, document(2, "ann", 1))
    processor.submit(later, "first")
    processor.submit(later, "again")
    assert processor.step(6.0) == []
    newest = processor.newest(6.0)
    assert newest is not None and newest.generation == 1
    assert store.get(f"{CHANGE_DIGEST_PREFIX}2") == later.digest
    assert change.digest != later.digest


# --- stored state after many changes ---

CHANGES = 5_000
RETAINED, BATCH_SIZE = 400, 50


@pytest.fixture
def few_retained_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(configuration, "RETAINED_CHANGES", RETAINED)
    monkeypatch.setattr(configuration, "PURGE_BATCH", BATCH_SIZE)


def test_state_is_bounded_and_no_accepted_change_is_ever_refused(few_retained_changes: None) -> None:
    store = MemoryStore()
    processor: ChangeProcessor[str] = ChangeProcessor(single_replica(store), store)
    changes = []
    for generation in range(1, CHANGES + 1):
        change, outcome = submit_change(processor, generation - 1, generation, "ann")
        assert outcome is ChangeOutcome.ACKNOWLEDGED
        changes.append(change)
    assert sum(key.startswith(CHANGE_DIGEST_PREFIX) for key in store.data) <= RETAINED + BATCH_SIZE
    last_purged = int(store.get(LAST_PURGED_KEY) or 0)
    assert last_purged >= CHANGES - RETAINED - BATCH_SIZE
    for generation in (1, 2, last_purged, last_purged + 1, CHANGES - 1, CHANGES):
        outcome = send(processor, changes[generation - 1])
        known = generation > last_purged
        assert outcome is (ChangeOutcome.ACKNOWLEDGED if known else ChangeOutcome.UNKNOWN)
    never_accepted = Change(0, False, document(1, "ben", 0))
    assert send(processor, never_accepted) is not ChangeOutcome.ACKNOWLEDGED


def test_next_primary_recognises_the_same_changes(few_retained_changes: None) -> None:
    store = MemoryStore()
    processor: ChangeProcessor[str] = ChangeProcessor(single_replica(store), store)
    changes = [submit_change(processor, g - 1, g, "ann")[0] for g in range(1, RETAINED + 2 * BATCH_SIZE)]
    next_processor: ChangeProcessor[str] = ChangeProcessor(single_replica(store), store)
    last_purged = int(store.get(LAST_PURGED_KEY) or 0)
    assert last_purged
    for generation, change in enumerate(changes, 1):
        expected = ChangeOutcome.ACKNOWLEDGED if generation > last_purged else ChangeOutcome.UNKNOWN
        assert send(next_processor, change) is expected


def test_state_of_many_changes_survives_a_restart_and_a_snapshot(
    tmp_path: Path, few_retained_changes: None
) -> None:
    """One replica restarts with its disk; another starts with an empty disk and receives a snapshot."""
    store = LmdbStore(tmp_path / "a", 32.0, "a@1")
    for version in range(2, CHANGES + 2):
        writes = [
            Write("config/current", b"%d" % version),
            Write(f"{CHANGE_DIGEST_PREFIX}{version}", b"digest"),
        ]
        if version > RETAINED + 1:
            writes.append(Write(f"{CHANGE_DIGEST_PREFIX}{version - RETAINED}", None))
        if version % 100 == 0 or version > CHANGES - 10:
            store.apply([Update(Position(1, version), writes)])
    expected = dict(store.scan(""))
    store.close()
    reopened = LmdbStore(tmp_path / "a", 32.0, "other@1")
    assert dict(reopened.scan("")) == expected
    receiver = LmdbStore(tmp_path / "b", 32.0, "b@2")
    assert receiver.position == INITIAL_POSITION
    after, first = "", True
    while True:
        chunk = reopened.chunk(after, 200)
        receiver.stage(chunk.entries, Staged(reopened.position, chunk.through), first)
        after, first = chunk.through, False
        if chunk.last:
            break
    receiver.install_staged()
    assert dict(receiver.scan("")) == expected
    assert receiver.position == reopened.position


# --- finished batch jobs ---


def test_job_is_purged_after_its_retention_period() -> None:
    store = MemoryStore()
    table = JobTable(store)
    terms = BatchLimits("r", 10.0, 100.0, 2, 0)
    item = {"id": "i", "path": "/", "headers": {}, "body": "", "tokens": 1}
    body = json.dumps({"requests": [item]}).encode()

    def apply_writes(writes: Any) -> None:
        assert isinstance(writes, list)
        if writes:
            store.apply([Update(Position(1, store.position.version + 1), writes)])

    for name, wall_time in (("ended", 0.0), ("open", 0.0), ("young", 100.0)):
        apply_writes(table.submit(wall_time, name, terms, body))
        table.mark_committed(name)
    apply_writes(table.end("ended"))
    apply_writes(table.end("young"))
    assert table.purge_expired(150.0, 120.0) == []
    apply_writes(table.purge_expired(190.0, 120.0))
    assert sorted(table.jobs) == ["open", "young"]
    assert table.purge_expired(190.0, 120.0) == []
    assert not [key for key in store.data if "ended" in key]
