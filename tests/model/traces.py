"""Short traces that each check one safety check of a replica, a queue or a rule with a few messages."""

from __future__ import annotations

import random
from typing import Any

from eiderhub.control import retirement
from eiderhub.control.messages import NodeRecord, StorageReport
from eiderhub.control.retirement import RetireOrder
from eiderhub.coordination import membership
from eiderhub.coordination.auxiliary import auxiliary_identity
from eiderhub.coordination.commit_rule import CommitRule
from eiderhub.coordination.commits import CommitOutcome, CommitQueue
from eiderhub.coordination.membership import GroupView, next_change
from eiderhub.coordination.messages import (
    EpochAnswer,
    Position,
    Replicate,
    Replicated,
    RequestEpoch,
    SnapshotChunk,
    Update,
    Write,
)
from eiderhub.coordination.replication import Replica, Role
from eiderhub.coordination.store import INITIAL_POSITION
from eiderhub.coordination.timing import GroupSize
from eiderhub.storage.store import MemoryStore
from tests.model.disk import Disk

MEMBERS = ["a@1", "b@2", "c@3"]
GENESIS = Position(1, 1)


def backup(identity: str = "b@2") -> Replica:
    """Return a backup of a group of three."""
    replica = Replica(identity, MemoryStore(), 0.0, random.Random(1))
    replica.bootstrap(MEMBERS)
    return replica


def primary(now: float) -> Replica:
    """Elected for epoch 2 by itself and one other member."""
    replica = backup("a@1")
    replica.tick(now)
    replica.receive(now, "b@2", EpochAnswer(2, True, True, 1))
    replica.receive(now, "b@2", EpochAnswer(2, True, False, 2))
    return replica


def outdated_primary_is_not_followed() -> None:
    replica = backup()
    replica.store.grant(3)
    replica.receive(1.0, "a@1", Replicate(2, GENESIS, [Update(Position(2, 2), [])], 1, 1.0))
    assert replica.position == GENESIS
    assert replica.primary is None


def updates_of_another_history_are_not_applied() -> None:
    replica = backup()
    update = Update(Position(3, 2), [])
    replica.receive(1.0, "a@1", Replicate(3, Position(2, 1), [update], 1, 1.0))
    assert replica.position == GENESIS


def state_of_another_history_is_not_counted() -> None:
    replica = primary(2.0)
    replica.receive(2.0, "b@2", Replicated(2, GENESIS, 2.0))
    replica.receive(2.0, "b@2", Replicated(2, Position(1, 2), 2.0))  # another update than that of epoch 2
    assert replica.committed == 0


def chunk_without_its_predecessor_is_refused() -> None:
    replica = Replica("d@4", MemoryStore(), 0.0, random.Random(1))
    chunk = SnapshotChunk(2, Position(2, 5), "k", "l", [Write("l", b"1")], True, 5, 1.0)
    replica.receive(1.0, "a@1", chunk)
    assert replica.position == INITIAL_POSITION


def older_snapshot_changes_nothing() -> None:
    replica = backup()
    replica.receive(1.0, "a@1", Replicate(2, GENESIS, [Update(Position(2, 2), [])], 1, 1.0))
    chunk = SnapshotChunk(2, GENESIS, "", "k", [Write("k", b"old")], True, 1, 1.0)
    replica.receive(1.1, "a@1", chunk)
    assert replica.position == Position(2, 2)


def granted_epoch_outlives_a_loss_of_power(disk: Disk) -> None:
    disk.grant(5)
    disk.lose_power()
    assert disk.epoch == 5


def epoch_is_granted_to_one_candidate_only() -> None:
    replica = backup()
    answers = []
    for candidate in ("a@1", "c@3"):
        replica.receive(2.0, candidate, RequestEpoch(2, GENESIS, trial=False))
        answers += [each.message for each in replica.outbox]
        replica.outbox = []
    assert [answer.granted for answer in answers if isinstance(answer, EpochAnswer)] == [True, False]


def earlier_write_is_not_committed_by_counting() -> None:
    replica = primary(2.0)
    replica.receive(2.0, "b@2", Replicated(2, GENESIS, 2.0))
    assert replica.committed == 0


def primary_of_an_uncommitted_epoch_does_not_lead() -> None:
    replica = primary(2.0)
    replica.receive(2.0, "b@2", Replicated(2, GENESIS, 2.0))
    assert not replica.leads(2.0)


def waiter_of_an_earlier_epoch_gets_unknown() -> None:
    replica = primary(2.0)
    replica.receive(2.0, "b@2", Replicated(2, GENESIS, 2.0))
    replica.receive(2.0, "b@2", Replicated(2, Position(2, 2), 2.0))
    queue: CommitQueue[str] = CommitQueue(replica)
    queue.add(GENESIS, "waiter")
    assert queue.take_resolved() == [("waiter", CommitOutcome.UNKNOWN)]


def _view(**changed: Any) -> GroupView:
    view = GroupView(
        "a@1", frozenset([*MEMBERS, "d@4"]), frozenset(), frozenset(), frozenset(), frozenset({"d@4"}),
        lambda identity: True, lambda identity: True,
    )  # fmt: skip
    return view._replace(**changed)


def member_is_removed_only_once_others_are_synced() -> None:
    behind = _view(synced=lambda identity: identity != "c@3")
    assert membership.may_remove(_view(), GroupSize(None, 3))
    assert not membership.may_remove(behind, GroupSize(None, 3))


def small_group_commits_with_more_copies_than_may_be_lost() -> None:
    """Two disks may be lost at once, and two of the three members have synced version 7."""
    rule = CommitRule(3, patience_s=1.5)
    assert rule.committed_version(10.0, [7, 7, 4], live=3) == 4
    assert rule.committed_version(11.0, [8, 7, 4], live=3) == 4
    assert rule.committed_version(11.2, [8, 7, 7], live=3) == 7  # it has caught up, and the wait starts anew
    assert rule.committed_version(12.8, [9, 9, 7], live=3) == 7
    assert rule.committed_version(14.4, [10, 9, 7], live=3) == 9  # the third stays behind for too long
    assert rule.committed_version(14.5, [11, 11, 7], live=2) == 11  # it is silent
    assert rule.committed_version(14.6, [12, 12, 12, 7, 7], live=5) == 12


def simultaneous_candidates_do_not_block_each_other() -> None:
    """Two replicas whose pre-votes cross; where every remaining member must vote, one has to give way.

    Guards against a group that has lost as many members as it bears, and finds no leader for seconds.
    """
    names = ["a@1", "b@2", "c@3", "d@4", "e@5"]
    replicas = {name: Replica(name, MemoryStore(), 0.0, random.Random(1)) for name in names[:3]}
    for replica in replicas.values():
        replica.bootstrap(names)
    for name in ("a@1", "b@2"):
        replicas[name].tick(10.0)
    for _ in range(8):
        sent = [(name, each) for name, replica in replicas.items() for each in replica.outbox]
        for replica in replicas.values():
            replica.outbox = []
        for sender, outgoing in sent:
            if outgoing.recipient in replicas:
                replicas[outgoing.recipient].receive(10.01, sender, outgoing.message)
    assert [name for name, replica in replicas.items() if replica.role is Role.PRIMARY] == ["b@2"]


def auxiliary_stays_while_a_member_is_unheard() -> None:
    """Four members where three are needed; the auxiliary one may go only if all four are surely live."""
    auxiliary = auxiliary_identity("s", "g:3")
    members = frozenset([*MEMBERS, auxiliary])
    complete = _view(members=members, silent=frozenset())
    unheard = complete._replace(heard=lambda identity: identity != "c@3")
    assert next_change(unheard, [], GroupSize(None, 3)) is None
    change = next_change(complete, [], GroupSize(None, 3))
    assert change is not None and change.members == frozenset(MEMBERS)


def barred_replica_is_never_admitted() -> None:
    barred = _view(barred=frozenset({"e@5"}))
    assert membership.may_admit(_view(), "e@5")
    assert not membership.may_admit(barred, "e@5")


def machine_is_empty_once_barred() -> None:
    order = RetireOrder(["x@9"])
    assert retirement.is_empty(order, StorageReport(MEMBERS, ["x@9"], True))
    assert not retirement.is_empty(order, StorageReport(MEMBERS, [], True))


def machine_is_empty_only_once_others_are_synced() -> None:
    order = RetireOrder(["x@9"])
    assert not retirement.is_empty(order, StorageReport(MEMBERS, ["x@9"], False))


def second_disk_of_a_machine_retires_too() -> None:
    node = NodeRecord("m", "storage", "z", "y@9")
    report = StorageReport(MEMBERS, ["x@9"], True)
    assert retirement.next_state("m", RetireOrder(["x@9"]), [node], report) == RetireOrder(["x@9", "y@9"])
