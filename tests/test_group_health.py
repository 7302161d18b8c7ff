"""How many losses a group bears: what its primary reports before the next loss, and logs."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import pytest

from eiderhub.control.messages import NodeRecord
from eiderhub.coordination.membership import GroupHealth, GroupView, health
from eiderhub.coordination.messages import EpochAnswer, Position, Replicated
from eiderhub.coordination.replication import Replica
from eiderhub.coordination.timing import GroupSize
from eiderhub.programs.replica_host import health_metric_lines
from eiderhub.storage.store import MemoryStore
from eiderhub.transport import group
from eiderhub.transport.group import GroupDriver

FOR_TWO_LOSSES = GroupSize(None, 5)


def view(members: str, silent: str = "", replaced: str = "") -> GroupView:
    return GroupView(
        "a", frozenset(members), frozenset(), frozenset(), frozenset(replaced), frozenset(silent),
        lambda identity: True, lambda identity: True,
    )  # fmt: skip


@pytest.mark.parametrize(
    ("members", "silent", "replaced", "losses_borne"),
    [
        ("abcde", "", "", 2),
        ("abcde", "e", "", 1),
        ("abc", "", "", 1),
        ("abcd", "", "", 1),
        ("abcdef", "e", "f", 0),
        ("abc", "bc", "", -1),
    ],
)
def test_dead_members_count_for_the_majority_but_bear_nothing(
    members: str, silent: str, replaced: str, losses_borne: int
) -> None:
    """Guards against a group that bears less than is asked, and says nothing until the loss."""
    found = health(view(members, silent, replaced), FOR_TWO_LOSSES)
    assert (found.losses_borne, found.losses_to_bear) == (losses_borne, 2)
    assert found.sufficient is (losses_borne >= 2)


def test_new_primary_does_not_wait_for_a_member_that_has_never_replied() -> None:
    """Guards against a new tier without a leader until its last seed is up: 1.5 s without a configuration."""
    members = ["a@1", "b@2", "c@3"]
    replica = Replica("a@1", MemoryStore(), 0.0, random.Random(1), FOR_TWO_LOSSES)
    replica.bootstrap(members)
    replica.tick(2.0)
    for trial in (True, False):
        replica.receive(2.0, "b@2", EpochAnswer(2, True, trial, 1))
    replica.receive(2.1, "b@2", Replicated(2, Position(1, 1), 2.0))
    replica.receive(2.2, "b@2", Replicated(2, replica.position, 2.15))
    assert replica.leads(2.2)
    replica.receive(2.3, "c@3", Replicated(2, Position(1, 1), 2.25))
    position = replica.propose(2.3, [])
    replica.receive(2.4, "b@2", Replicated(2, position, 2.35))
    assert replica.committed < position.version  # the third member answers now, and its copy is waited for


def test_only_a_primary_has_metrics_of_its_group() -> None:
    assert health_metric_lines(None) == []
    lines = health_metric_lines(GroupHealth(4, 3, 0, 2))
    assert lines == ["group_members 4", "group_live_members 3", "losses_borne 0", "losses_to_bear 2"]


def test_too_few_members_are_logged_once_and_their_return_too(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []

    def record(text: str, *values: Any) -> None:
        lines.append(text % values)

    async def test() -> None:
        own = "a@127.0.0.1:1"
        replica = Replica(own, MemoryStore(), 0.0, random.Random(1), FOR_TWO_LOSSES)
        driver = GroupDriver(replica, NodeRecord("a", "control", "z", own), lambda: None)
        monkeypatch.setattr(group, "log", SimpleNamespace(warning=record, info=record))
        too_few, enough = GroupHealth(3, 3, 1, 2), GroupHealth(5, 5, 2, 2)
        for number, found in enumerate([enough, too_few, too_few, None, too_few, enough, enough]):
            monkeypatch.setattr(replica, "health", lambda now, found=found: found)
            driver.log_health(number * 1.5)
        driver.stop()

    asyncio.run(test())
    complaint = "the group bears 1 losses, not 2: 3 members, 3 of them live"
    assert lines == [complaint, complaint, "the group bears 2 losses again: 5 members"]
