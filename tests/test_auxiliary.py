"""Auxiliary replicas of the control group: recruits, retirement, and the real programs."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import pytest

from eiderhub.control import retirement
from eiderhub.control.messages import NodeRecord
from eiderhub.control.retirement import RetireOrder
from eiderhub.coordination.auxiliary import auxiliary_identity, is_auxiliary
from eiderhub.coordination.membership import GroupView, lacks_auxiliary, next_change, next_learner
from eiderhub.coordination.replication import Replica, Role
from eiderhub.coordination.roster import RECRUIT_INTERVAL_S, Roster, address_of
from eiderhub.coordination.timing import GroupSize
from eiderhub.coordination.wire import DEFAULT_SUPPORT, OWN_SUPPORT
from eiderhub.programs.auxiliary_service import STORE_FILE_NAME, start_auxiliary
from eiderhub.storage.store import MemoryStore
from eiderhub.transport.frame_connection import Connection
from eiderhub.transport.group import GroupDriver
from tests.items_support import tier_settings
from tests.tier_support import Tier, document, wait_until

FOR_TWO_LOSSES = GroupSize(None, 5)
CONTROL = [f"c{n}@h{n}:1" for n in range(3)]
AUXILIARY = [auxiliary_identity(f"s{n}", f"g{n}:3") for n in range(4)]


def view(
    members: list[str], silent: list[str] | None = None, withdrawn: list[str] | None = None
) -> GroupView:
    return GroupView(
        CONTROL[0], frozenset(members), frozenset(), frozenset(), frozenset(), frozenset(silent or ()),
        lambda identity: True, lambda identity: True, withdrawn=frozenset(withdrawn or ()),
    )  # fmt: skip


def test_recruits_are_spread_over_zones_and_more_are_tried_as_time_passes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a group that waits for one auxiliary replica which cannot be reached."""
    replica = Replica(CONTROL[0], MemoryStore(), 0.0, random.Random(1), FOR_TWO_LOSSES)
    replica.bootstrap(CONTROL[:2])
    monkeypatch.setattr(replica, "auxiliary_shortage", lambda now: 1)
    roster = Roster(CONTROL[0], "z0")
    roster.add_replica(CONTROL[1], "c1", "z1")
    roster.offers = dict(zip(AUXILIARY, ("z0", "z1", "z2", "z1"), strict=True))
    assert roster.recruits(10.0, replica) == [AUXILIARY[2]]
    assert roster.recruits(10.0 + RECRUIT_INTERVAL_S, replica) == [AUXILIARY[2], AUXILIARY[0]]
    monkeypatch.setattr(replica, "auxiliary_shortage", lambda now: 0)
    assert roster.recruits(12.0, replica) == []


def test_auxiliary_candidate_joins_only_if_the_group_lacks_one() -> None:
    candidates = [AUXILIARY[0], CONTROL[2]]
    assert next_learner(view(CONTROL[:2]), [], candidates, {}, recruits=True) == CONTROL[2]
    assert next_learner(view(CONTROL), [], candidates, {}, recruits=True) == AUXILIARY[0]
    assert next_learner(view(CONTROL), [], candidates, {}, recruits=False) is None


def test_silent_auxiliary_leaves_a_small_group_only_if_its_machine_runs_it_no_more() -> None:
    """Guards against a group that is left without a majority when storage programs are put back."""
    members = [*CONTROL, *AUXILIARY[:2]]
    assert next_change(view(members, AUXILIARY[:2]), [], FOR_TWO_LOSSES) is None
    change = next_change(view(members, AUXILIARY[:2], AUXILIARY[:2]), [], FOR_TWO_LOSSES)
    assert change is not None and change.members == frozenset({*CONTROL, AUXILIARY[1]})
    assert next_change(view(members, [], AUXILIARY[:2]), [], FOR_TWO_LOSSES) is None


def test_auxiliary_members_leave_when_a_program_is_connected_that_would_keep_them() -> None:
    """Guards against dead auxiliary members that add up while control nodes are put back by a landing."""
    members = [*CONTROL, *AUXILIARY[:2]]
    mixed = view(members)._replace(allows_auxiliary=False)
    change = next_change(mixed, [], FOR_TWO_LOSSES)
    assert change is not None and change.members == frozenset({*CONTROL, AUXILIARY[1]})
    needed = mixed._replace(silent=frozenset(CONTROL[1:]))
    assert next_change(needed, [], FOR_TWO_LOSSES) is None
    assert not lacks_auxiliary(view(CONTROL)._replace(allows_auxiliary=False), [], FOR_TWO_LOSSES)
    assert lacks_auxiliary(view(CONTROL), [], FOR_TWO_LOSSES)


def test_roster_knows_whether_all_connected_programs_know_auxiliary_replicas() -> None:
    replica = Replica(CONTROL[0], MemoryStore(), 0.0, random.Random(1), FOR_TWO_LOSSES)
    replica.bootstrap(CONTROL)
    replica.role = Role.PRIMARY
    roster = Roster(CONTROL[0], "z0")
    for identity, supports, allows in ((CONTROL[1], True, True), (CONTROL[2], False, False)):
        roster.add_replica(identity, identity, "z", supports)
        roster.update_replica(replica)
        assert replica.allows_auxiliary is allows
    roster.remove_replica(CONTROL[2])
    roster.update_replica(replica)
    assert replica.allows_auxiliary
    roster.add_replica(CONTROL[2], CONTROL[2], "z", False)
    roster.add_replica(CONTROL[2], CONTROL[2], "z", True)  # upgraded
    roster.update_replica(replica)
    assert replica.allows_auxiliary


def test_auxiliary_replica_is_not_introduced_to_programs_that_do_not_know_such(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        own = AUXILIARY[0]
        replica = Replica(own, MemoryStore(), 0.0, random.Random(1), FOR_TWO_LOSSES)
        driver = GroupDriver(replica, NodeRecord("s0", "auxiliary", "z", own), lambda: None)
        linked: list[str] = []
        monkeypatch.setattr(driver, "ensure_link", linked.append)
        connection = cast(Connection, SimpleNamespace(send=lambda message: None))
        node = NodeRecord("c1", "control", "z", CONTROL[1])
        driver.add_replica(connection, node, DEFAULT_SUPPORT)
        assert linked == []
        driver.add_replica(connection, node, OWN_SUPPORT)
        assert linked == [address_of(CONTROL[1])]
        replica.bootstrap([own, *CONTROL])
        driver.add_replica(connection, node, DEFAULT_SUPPORT)  # a member has to be reached by all
        assert linked == [address_of(CONTROL[1])] * 2
        driver.stop()

    asyncio.run(test())


def test_hosts_of_open_retirements() -> None:
    orders = {"s1": RetireOrder(["x@10.0.0.1:2", "y@10.0.0.1:2"]), "s2": RetireOrder(["z@10.0.0.2:2"], True)}
    assert retirement.retiring_hosts(orders) == frozenset({"10.0.0.1"})


def test_storage_node_starts_without_an_auxiliary_store_that_it_cannot_open(tmp_path: Path) -> None:
    """Guards against a storage node that is away because of a copy which it keeps for another group."""
    settings = tier_settings(tmp_path, "storage")
    assert asyncio.run(start_auxiliary(dataclasses.replace(settings, counts_for_quorum=False))) is None
    (tmp_path / STORE_FILE_NAME).write_bytes(b"no store" * 1000)
    assert asyncio.run(start_auxiliary(settings)) is None


@pytest.fixture
def tier(tmp_path: Path) -> Tier:
    return Tier(tmp_path, storage=6, edges=1, tolerated_losses=2)


def group_members(tier: Tier) -> list[str]:
    """The members of the control group, as its primary names them; none without a primary."""
    for program in tier.with_role("control"):
        if program.process is not None and program.process.poll() is None:
            status, body, _ = tier.call(program, "control", "GET", "/status")
            fields = json.loads(body) if status == 200 else {}
            if fields.get("leads") and fields["losses_borne"] >= fields["losses_to_bear"]:
                return list(fields["members"])
    return []


def test_two_of_three_control_nodes_lose_their_disks_at_once(tier: Tier) -> None:
    """Guards against a control group whose only majority is the machines that are lost: review case 1."""
    try:
        tier.start()
        assert tier.put_configuration(document(5), 0) == 200
        wait_until(lambda: len(group_members(tier)) == 5, "a group that bears two losses")
        assert tier.put_configuration(document(7), 5) == 200
        primary = tier.primary("control")
        lost = [primary, next(p for p in tier.with_role("control") if p is not primary)]
        for program in lost:
            program.lose_disk()
        assert tier.configuration()["generation"] == 7
        assert tier.put_configuration(document(8), 7) == 200
        for program in lost:
            program.start()
        wait_until(
            lambda: sum(not is_auxiliary(member) for member in group_members(tier)) == 3,
            "the control nodes are members again",
        )
        wait_until(lambda: len(group_members(tier)) == 5, "the auxiliary members that are not needed left")
    finally:
        tier.close()


def test_retiring_storage_node_leaves_the_control_group_first(tier: Tier) -> None:
    """Guards against a machine that is taken away with one of the control group's copies."""
    try:
        tier.start()
        assert tier.put_configuration(document(5), 0) == 200
        members = wait_until(lambda: group_members(tier), "a group that bears two losses")
        hosts = {member.partition("@")[2].partition(":")[0] for member in members if is_auxiliary(member)}
        node = next(program for program in tier.with_role("storage") if program.ip in hosts)
        path = f"/retire/{node.name}"
        wait_until(lambda: tier.operator_call("POST", path)[0] == 200, "the order is taken")
        wait_until(lambda: b"succeeded" in tier.operator_call("GET", path)[1], "the machine is empty")
        members = wait_until(lambda: group_members(tier), "a group that bears two losses")
        assert not [member for member in members if node.ip in member]
    finally:
        tier.close()
