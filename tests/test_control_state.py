"""Freshness, retirement, the desk, and a state that many changes have passed through."""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

import pytest

from eiderhub.batch.jobs import BatchTerms, JobTable
from eiderhub.control import configuration, retirement
from eiderhub.control.configuration import FORGOTTEN_KEY, TAKEN_PREFIX, Change
from eiderhub.control.desk import Desk, Outcome
from eiderhub.control.freshness import FRESH_S, Freshness
from eiderhub.control.messages import NodeRecord, StorageReport
from eiderhub.control.retirement import RetireOrder
from eiderhub.coordination.messages import Position, Staged, Update, Write
from eiderhub.coordination.replication import Replica
from eiderhub.coordination.store import NOWHERE
from eiderhub.coordination.timing import GroupSize
from eiderhub.storage.store import LmdbStore, MemoryStore
from tests.model.actors import document

# --- freshness ---


def test_answer_that_is_read_late_says_nothing_of_the_time_since() -> None:
    freshness = Freshness()
    freshness.answered(sent_at=10.0, age_s=0.0)  # read when the process wakes, twenty seconds later
    assert freshness.age(10.5) == 0.5
    assert freshness.age(30.0) is None


def test_age_of_what_the_answerer_knows_is_added() -> None:
    freshness = Freshness()
    freshness.answered(sent_at=10.0, age_s=0.6)
    assert freshness.age(10.2) == pytest.approx(0.8)
    assert not freshness.is_fresh(10.0 - 0.6 + FRESH_S)


def test_node_that_cannot_vouch_changes_nothing() -> None:
    freshness = Freshness()
    freshness.answered(sent_at=10.0, age_s=None)
    assert freshness.age(10.0) is None


# --- retirement ---

OLD, NEW, OTHER = "old@h1:1", "new@h1:1", "other@h2:1"
ORDER = RetireOrder([OLD])


def report(members: list[str], barred: list[str], synced: bool = True) -> StorageReport:
    return StorageReport(members, barred, synced)


@pytest.mark.parametrize(
    ("told", "empty"),
    [
        (report([OTHER], [OLD]), True),
        (report([OTHER], []), False),  # a later primary could admit it
        (report([OTHER, OLD], [OLD]), False),
        (report([OTHER, NEW], [OLD]), False),  # it came back with another disk, and belongs again
        (report([OTHER], [OLD], synced=False), False),
    ],
)
def test_machine_is_empty_once_the_group_has_barred_it(told: StorageReport, empty: bool) -> None:
    assert retirement.is_empty(ORDER, told) is empty


def test_disk_that_is_lost_meanwhile_retires_too() -> None:
    node = NodeRecord("m1", "storage", "z", NEW)
    order = retirement.next_state("m1", ORDER, [node], report([OTHER], [OLD]))
    assert order == RetireOrder([OLD, NEW])
    order = retirement.next_state("m1", order, [node], report([OTHER], [OLD]))
    assert not order.done
    assert retirement.next_state("m1", order, [node], report([OTHER], [OLD, NEW])).done


def test_second_machine_under_a_name_is_an_order_of_its_own() -> None:
    done = RetireOrder([OLD], done=True)
    assert retirement.is_repeat(done, OLD)
    assert not retirement.is_repeat(done, NEW)
    assert retirement.is_repeat(ORDER, NEW)  # the same machine, still under way


# --- the desk ---


def alone(store: Any) -> Replica:
    """The only member of its group, and its primary."""
    replica = Replica("a@1", store, 0.0, random.Random(1), GroupSize(None, 1))
    replica.bootstrap(["a@1"])
    replica.tick(5.0)
    replica.tick(6.0)
    assert replica.settled(6.0)
    return replica


def order(desk: Desk[str], base: int, generation: int, author: str) -> tuple[Change, Outcome]:
    change = Change(base, False, document(generation, author, base))
    return change, send(desk, change)


def send(desk: Desk[str], change: Change) -> Outcome:
    desk.submit(change, "caller")
    (answer,) = desk.step(6.0)
    return answer.outcome


def test_one_of_two_changes_on_a_version_wins_and_both_may_be_sent_again() -> None:
    store = MemoryStore()
    desk: Desk[str] = Desk(alone(store), store)
    won, first = order(desk, 0, 1, "ann")
    lost, second = order(desk, 0, 1, "ben")
    assert (first, second) == (Outcome.ACKNOWLEDGED, Outcome.REFUSED)
    assert order(desk, 1, 2, "ann")[1] is Outcome.ACKNOWLEDGED
    assert send(desk, won) is Outcome.ACKNOWLEDGED
    assert send(desk, lost) is Outcome.REFUSED


def test_desk_of_a_replica_that_does_not_lead_answers_and_tells_nothing() -> None:
    store = MemoryStore()
    replica = Replica("a@1", store, 0.0, random.Random(1))
    replica.bootstrap(["a@1", "b@2", "c@3"])
    desk: Desk[str] = Desk(replica, store)
    assert order(desk, 0, 1, "ann")[1] is Outcome.NOT_PRIMARY
    assert desk.newest(6.0) is None


def test_change_that_is_written_and_not_committed_is_neither_read_nor_acknowledged_again() -> None:
    store = MemoryStore()
    replica = alone(store)
    desk: Desk[str] = Desk(replica, store)
    change, _ = order(desk, 0, 1, "ann")
    replica._members = frozenset({"a@1", "b@2", "c@3"})  # from here on nothing is committed
    replica._lease.end = lambda members: float("inf")  # type: ignore[method-assign]
    later = Change(1, False, document(2, "ann", 1))
    desk.submit(later, "first")
    desk.submit(later, "again")
    assert desk.step(6.0) == []
    newest = desk.newest(6.0)
    assert newest is not None and newest.generation == 1
    assert store.get(f"{TAKEN_PREFIX}2") == later.digest
    assert change.digest != later.digest


# --- a state that many changes have passed through ---

CHANGES = 5_000
KEPT, PURGED = 400, 50


@pytest.fixture
def short_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(configuration, "KEPT_CHANGES", KEPT)
    monkeypatch.setattr(configuration, "PURGED_CHANGES", PURGED)


def test_state_stays_bounded_and_no_change_that_was_taken_is_ever_refused(short_memory: None) -> None:
    store = MemoryStore()
    desk: Desk[str] = Desk(alone(store), store)
    changes = []
    for generation in range(1, CHANGES + 1):
        change, outcome = order(desk, generation - 1, generation, "ann")
        assert outcome is Outcome.ACKNOWLEDGED
        changes.append(change)
    assert sum(key.startswith(TAKEN_PREFIX) for key in store.data) <= KEPT + PURGED
    forgotten = int(store.get(FORGOTTEN_KEY) or 0)
    assert forgotten >= CHANGES - KEPT - PURGED
    for generation in (1, 2, forgotten, forgotten + 1, CHANGES - 1, CHANGES):
        outcome = send(desk, changes[generation - 1])
        known = generation > forgotten
        assert outcome is (Outcome.ACKNOWLEDGED if known else Outcome.UNKNOWN)
    lost = Change(0, False, document(1, "ben", 0))
    assert send(desk, lost) is not Outcome.ACKNOWLEDGED


def test_desk_of_the_next_epoch_remembers_the_same_changes(short_memory: None) -> None:
    store = MemoryStore()
    desk: Desk[str] = Desk(alone(store), store)
    changes = [order(desk, g - 1, g, "ann")[0] for g in range(1, KEPT + 2 * PURGED)]
    again: Desk[str] = Desk(alone(store), store)
    forgotten = int(store.get(FORGOTTEN_KEY) or 0)
    assert forgotten
    for generation, change in enumerate(changes, 1):
        expected = Outcome.ACKNOWLEDGED if generation > forgotten else Outcome.UNKNOWN
        assert send(again, change) is expected


def test_thousands_of_changes_then_restart_wipe_and_a_snapshot(tmp_path: Path, short_memory: None) -> None:
    """One replica restarts on its disk, another begins with none and is sent the whole state."""
    store = LmdbStore(tmp_path / "a", 32.0, "a@1")
    for version in range(2, CHANGES + 2):
        writes = [Write("config/current", b"%d" % version), Write(f"{TAKEN_PREFIX}{version}", b"digest")]
        if version > KEPT + 1:
            writes.append(Write(f"{TAKEN_PREFIX}{version - KEPT}", None))
        if version % 100 == 0 or version > CHANGES - 10:
            store.apply([Update(Position(1, version), writes)])
    kept = dict(store.scan(""))
    store.close()
    again = LmdbStore(tmp_path / "a", 32.0, "other@1")
    assert dict(again.scan("")) == kept
    wiped = LmdbStore(tmp_path / "b", 32.0, "b@2")
    assert wiped.position == NOWHERE
    after, first = "", True
    while True:
        chunk = again.chunk(after, 200)
        wiped.stage(chunk.entries, Staged(again.position, chunk.through), first)
        after, first = chunk.through, False
        if chunk.last:
            break
    wiped.install_staged()
    assert dict(wiped.scan("")) == kept
    assert wiped.position == again.position


# --- finished batch jobs ---


def test_job_is_forgotten_once_nobody_may_ask_for_it() -> None:
    store = MemoryStore()
    table = JobTable(store)
    terms = BatchTerms("r", 10.0, 100.0, 2, 0)
    item = {"id": "i", "path": "/", "headers": {}, "body": "", "tokens": 1}
    body = json.dumps({"requests": [item]}).encode()

    def keep(writes: Any) -> None:
        assert isinstance(writes, list)
        if writes:
            store.apply([Update(Position(1, store.position.version + 1), writes)])

    for name, wall in (("ended", 0.0), ("open", 0.0), ("young", 100.0)):
        keep(table.submit(wall, name, terms, body))
        table.accepted(name)
    keep(table.end("ended"))
    keep(table.end("young"))
    assert table.purge(150.0, 120.0) == []
    keep(table.purge(190.0, 120.0))
    assert sorted(table.jobs) == ["open", "young"]
    assert table.purge(190.0, 120.0) == []
    assert not [key for key in store.data if "ended" in key]
