"""Core of the list service: a comparison with a simple model, lease expiry, watches."""

from __future__ import annotations

import itertools
import random
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from eiderhub.interface import Readiness
from eiderhub.registry.core import MAX_REGISTRATIONS, MAX_TICK_GAP_US, US_PER_S, Core, Decision, LogEvent
from eiderhub.registry.records import Entry, Gone, Group, Key, Put, Record, RemovalReason, Tombstone
from eiderhub.registry.watches import COALESCE_DELAY_US, INTERVAL_PER_WATCH_US, Watches

GROUP = Group("shop", "front")
LEASE_US = 3 * US_PER_S


def record(name: str, owner: str = "", start_ms: int = 0, has_lease: bool = True, zone: str = "a") -> Record:
    entry = Entry(instance_id=name, host_port="127.0.0.1:80", zone=zone, started_at_ms=start_ms)
    lease_ms = LEASE_US // 1000 if has_lease else None
    return Record(service="shop", tier="front", entry=entry, owner=owner or name, lease_ms=lease_ms)


def key(name: str) -> Key:
    return Key("shop", "front", name)


def apply_decision(core: Core, now_us: int, decision: Decision) -> int:
    """Apply the change, if any; returns the HTTP status that a caller gets."""
    if decision.change is not None:
        core.apply(now_us, decision.change)
    return 200 if decision.refusal is None else decision.refusal.status


class Follower:
    """A client that keeps its list up to date by requesting updates."""

    def __init__(self) -> None:
        self.after: int | None = None
        self.entry_by_id: dict[str, Entry] = {}

    def poll(self, core: Core) -> None:
        update = core.update_since(GROUP, self.after)
        assert update.version >= (self.after or 0)
        if update.is_full:
            self.entry_by_id.clear()
        for item in update.items:
            if isinstance(item, Tombstone):
                self.entry_by_id.pop(item.entry.instance_id, None)
            else:
                self.entry_by_id[item.entry.instance_id] = item.entry
        self.after = update.version


class CoreModel(RuleBasedStateMachine):
    """Processes with three ids register, renew, drain, fall silent and are removed; the service restarts."""

    processes: Bundle[tuple[str, str, int]] = Bundle("processes")

    def __init__(self) -> None:
        super().__init__()
        self.now_us = 0
        self.core = Core(random.Random(1), max_history=8)
        self.core.apply(0, self.core.open_branch(0))
        self.expected: dict[str, tuple[str, int, Readiness]] = {}  # the model: id -> owner, start, lifecycle
        self.drained_owners: dict[str, str] = {}  # id -> owner that was drained by an operator
        self.barred_owners: set[str] = set()  # owners that were removed or replaced
        self.followers = [Follower(), Follower()]
        self.version = 0
        self.owner_count = 0

    @rule(target=processes, name=st.sampled_from("xyz"), start_ms=st.integers(1, 5))
    def new_process(self, name: str, start_ms: int) -> tuple[str, str, int]:
        self.owner_count += 1
        return name, f"owner{self.owner_count}", start_ms

    @rule(process=processes)
    def put(self, process: tuple[str, str, int]) -> None:
        name, owner, start_ms = process
        status = apply_decision(
            self.core, self.now_us, self.core.put(self.now_us, record(name, owner, start_ms))
        )
        holder = self.expected.get(name)
        if status != 200:
            assert status in (409, 410, 429)
            # If nobody holds the id, only an earlier removal or too many registrations lead to a rejection.
            assert holder is not None or owner in self.barred_owners or status in (429, 410)
            return
        assert owner not in self.barred_owners
        if holder is not None and holder[0] != owner:
            assert start_ms > holder[1]  # only a later start takes an id over
            self.barred_owners.add(holder[0])
        is_drained = self.drained_owners.get(name) == owner  # an operator's drain outlasts an expiry
        self.expected[name] = (owner, start_ms, Readiness.DRAINING if is_drained else Readiness.READY)
        if not is_drained:
            self.drained_owners.pop(name, None)

    @rule(process=processes)
    def renew(self, process: tuple[str, str, int]) -> None:
        name, owner, _ = process
        refusal = self.core.renew(self.now_us, key(name), owner)
        assert (refusal is None) == (name in self.expected and self.expected[name][0] == owner)

    @rule(name=st.sampled_from("xyz"))
    def operator_drains(self, name: str) -> None:
        status = apply_decision(self.core, self.now_us, self.core.drain(self.now_us, key(name), None))
        assert (status == 200) == (name in self.expected)
        if status == 200:
            self.drained_owners[name] = self.expected[name][0]
            self.expected[name] = (*self.expected[name][:2], Readiness.DRAINING)

    @rule(name=st.sampled_from("xyz"))
    def operator_removes(self, name: str) -> None:
        is_listed = name in self.expected
        apply_decision(self.core, self.now_us, self.core.remove(self.now_us, key(name), None))
        if is_listed:
            self.barred_owners.add(self.expected.pop(name)[0])

    @rule(name=st.sampled_from("xyz"), version=st.integers(0, 30))
    def conditional_remove(self, name: str, version: int) -> None:
        current = self.core.records.get(key(name))
        decision = self.core.remove(self.now_us, key(name), None, if_version=version)
        if current is None or current.version != version:
            assert decision.change is None
        self.core.discard_pending([decision.change] if decision.change else [])

    @rule(process=processes, fails=st.booleans())
    def disk_fails(self, process: tuple[str, str, int], fails: bool) -> None:
        image_before = self.core.image()
        decision = self.core.put(self.now_us, record(*process))
        self.core.discard_pending([decision.change] if decision.change else [])
        assert self.core.image() == image_before

    @rule(steps=st.integers(1, 16))
    def time_passes(self, steps: int) -> None:
        for _ in range(steps):
            self.now_us += US_PER_S // 4
            changes, _ = self.core.decide_expiries(self.now_us)
            for change in changes:
                self.core.apply(self.now_us, change)
                if isinstance(change, Gone):
                    assert change.why is RemovalReason.EXPIRED
                    del self.expected[change.id]

    @rule()
    def restart(self) -> None:
        image = self.core.image()
        version_before = self.core.version
        self.core = Core(random.Random(self.core.version), max_history=8)
        self.core.restore(self.now_us, image)
        self.core.apply(self.now_us, self.core.open_branch(self.now_us))
        # An up-to-date client has nothing to fetch, so a whole fleet can reconnect without a burst of lists.
        assert (
            not self.core.update_since(GROUP, version_before).is_full
            and not self.core.update_since(GROUP, version_before).items
        )

    @rule(number=st.integers(0, 1))
    def poll(self, number: int) -> None:
        self.followers[number].poll(self.core)
        listed = {name: entry.lifecycle for name, entry in self.followers[number].entry_by_id.items()}
        assert listed == {name: row[2] for name, row in self.expected.items()}

    @invariant()
    def versions_increase_and_records_match_the_model(self) -> None:
        assert self.core.version >= self.version
        self.version = self.core.version
        found = {
            k.id: (r.owner, r.entry.started_at_ms, r.entry.lifecycle) for k, r in self.core.records.items()
        }
        assert found == self.expected
        assert not self.core.pending
        assert self.core.ready_count == sum(row[2] is Readiness.READY for row in self.expected.values())


TestCoreModel = CoreModel.TestCase
TestCoreModel.settings = settings(max_examples=120, stateful_step_count=40, deadline=None)


# --- leases over time ---


class LeaseTimeline:
    """Processes in two zones renew like real owners; the service ends due leases four times a second."""

    def __init__(self, count: int = 12) -> None:
        self.core = Core(random.Random(3))
        self.core.apply(0, self.core.open_branch(0))
        self.now_us = 0
        self.names = [f"e{i}" for i in range(count)]
        self.silent_names: set[str] = set()
        self.next_renewal_us: dict[str, int] = {}
        self.expired_at_s: dict[str, float] = {}  # by name
        self.events: list[LogEvent] = []
        rng = random.Random(5)
        for i, name in enumerate(self.names):
            assert (
                apply_decision(self.core, 0, self.core.put(0, record(name, start_ms=1, zone="ab"[i % 2])))
                == 200
            )
            self.next_renewal_us[name] = int(rng.uniform(0, LEASE_US / 3))

    def run(self, seconds: float, is_running: bool = True) -> None:
        end_us = self.now_us + int(seconds * US_PER_S)
        while self.now_us < end_us:
            self.now_us += US_PER_S // 4
            for name in self.names:
                if name not in self.silent_names and self.next_renewal_us[name] <= self.now_us and is_running:
                    if self.core.renew(self.now_us, key(name), name) is not None:  # it registers again
                        apply_decision(
                            self.core, self.now_us, self.core.put(self.now_us, record(name, start_ms=1))
                        )
                    self.next_renewal_us[name] = self.now_us + LEASE_US // 3
            if is_running:
                self.end_due_leases()

    def end_due_leases(self) -> None:
        changes, new_events = self.core.decide_expiries(self.now_us)
        self.events += new_events
        for change in changes:
            self.core.apply(self.now_us, change)
            if isinstance(change, Gone):
                self.expired_at_s[change.id] = self.now_us / US_PER_S


def test_a_single_lease_expires_on_time_and_a_silent_zone_one_lease_duration_later() -> None:
    timeline = LeaseTimeline()
    timeline.run(5)
    timeline.silent_names = {"e0"}
    timeline.run(4)
    assert (
        set(timeline.expired_at_s) == {"e0"} and timeline.expired_at_s["e0"] <= 5 + LEASE_US / US_PER_S + 0.25
    )
    assert [t.fields["reason"] for t in timeline.events if t.event == "expired"] == ["lease expired"]
    timeline.run(3)
    partitioned_at_s = timeline.now_us / US_PER_S
    timeline.silent_names |= {name for i, name in enumerate(timeline.names) if i % 2}  # all of zone b
    timeline.run(5)
    assert set(timeline.expired_at_s) == {"e0"}
    (delay,) = [t for t in timeline.events if t.event == "mass expiry delayed"]
    assert delay.fields["silent"] == 6 and delay.fields["hold_ms"] == LEASE_US // 1000
    timeline.run(2)
    assert set(timeline.expired_at_s) == {"e0", "e1", "e3", "e5", "e7", "e9", "e11"}
    assert all(
        partitioned_at_s + LEASE_US / US_PER_S
        < timeline.expired_at_s[f"e{i}"]
        <= partitioned_at_s + 2 * LEASE_US / US_PER_S + 0.5
        for i in (1, 3, 5, 7)
    )


def test_a_zone_that_reconnects_within_the_delay_loses_no_record() -> None:
    timeline = LeaseTimeline()
    timeline.run(5)
    timeline.silent_names = {name for i, name in enumerate(timeline.names) if i % 2}
    timeline.run(LEASE_US / US_PER_S + 1)
    timeline.silent_names = set()
    timeline.run(10)
    assert timeline.expired_at_s == {} and [t.event for t in timeline.events] == ["mass expiry delayed"]


def test_an_isolated_service_expires_no_lease_until_renewals_arrive_again() -> None:
    timeline = LeaseTimeline()
    timeline.run(5)
    timeline.silent_names = set(timeline.names)
    timeline.run(60)
    assert timeline.expired_at_s == {} and [t.event for t in timeline.events] == ["lease expiry suspended"]
    timeline.silent_names = {"e3"}
    reconnected_at_s = timeline.now_us / US_PER_S
    timeline.run(10)
    assert (
        set(timeline.expired_at_s) == {"e3"}
        and timeline.expired_at_s["e3"] <= reconnected_at_s + 2 * LEASE_US / US_PER_S + 0.5
    )


def test_no_lease_expires_because_the_service_was_suspended_or_restarted() -> None:
    timeline = LeaseTimeline()
    timeline.run(5)
    timeline.run(30, is_running=False)  # as by SIGSTOP, until all leases seem to have expired
    timeline.end_due_leases()
    assert [t.event for t in timeline.events] == ["the process stood still; leases extended by the pause"]
    timeline.run(5)
    image = timeline.core.image()
    timeline.core = Core(random.Random(9))
    timeline.core.restore(timeline.now_us, image)
    timeline.run(10)
    assert timeline.expired_at_s == {}
    # A process that died during the pause expires one lease duration after it.
    timeline.silent_names = {"e4"}
    timeline.run(30, is_running=False)
    resumed_at_s = timeline.now_us / US_PER_S
    timeline.run(6)
    assert (
        set(timeline.expired_at_s) == {"e4"}
        and timeline.expired_at_s["e4"] <= resumed_at_s + LEASE_US / US_PER_S + 0.25
    )
    assert MAX_TICK_GAP_US < 30 * US_PER_S


def test_a_flapping_record_makes_a_bounded_number_of_changes() -> None:
    core = Core(random.Random(1))
    first_version, statuses = core.version, []
    for turn in range(100):
        now_us = turn * US_PER_S // 10
        statuses.append(apply_decision(core, now_us, core.put(now_us, record("x", f"o{turn}", turn + 1))))
        apply_decision(core, now_us, core.remove(now_us, key("x"), None))
    assert core.version - first_version <= 2 * MAX_REGISTRATIONS and set(statuses) == {200, 429}
    refusal = core.put(10 * US_PER_S, record("x", "late", 1000)).refusal
    assert refusal is not None and refusal.retry_us > 0
    assert (
        apply_decision(
            core,
            10 * US_PER_S + refusal.retry_us,
            core.put(10 * US_PER_S + refusal.retry_us, record("x", "l", 1000)),
        )
        == 200
    )


@pytest.mark.parametrize(
    ("first", "second", "status"),
    [
        (record("x", "a", 5), record("x", "b", 6), 200),  # a later start takes the id over
        (record("x", "a", 5), record("x", "b", 5), 409),  # the holder keeps it
        (record("x", "a", 5), record("x", "b", 4), 409),
        (record("x", "a", 0, has_lease=False), record("x", "b", 0), 200),  # no lease holds it
    ],
)
def test_one_id_registered_by_two_processes(first: Record, second: Record, status: int) -> None:
    core = Core(random.Random(1))
    assert apply_decision(core, 0, core.put(0, first)) == 200
    assert apply_decision(core, 1, core.put(1, second)) == status
    renewal_refusal = core.renew(2, key("x"), "a")
    assert (renewal_refusal is None) == (status == 409)
    if (
        status == 200 and first.entry.started_at_ms
    ):  # late calls of the replaced process don't restore its record
        assert apply_decision(core, 3, core.put(3, first)) == 409
        apply_decision(core, 4, core.remove(4, key("x"), "b"))
        assert apply_decision(core, 5, core.put(5, first)) == 410


def test_a_store_restored_to_an_older_state_skips_the_lost_versions_after_a_lease_duration() -> None:
    core = Core(random.Random(1))
    core.apply(0, core.open_branch(0))
    apply_decision(core, 0, core.put(0, record("x", start_ms=1)))
    old_image = core.image()
    for turn in range(20):
        apply_decision(core, 0, core.drain(0, key("x"), None, undo=bool(turn % 2)))
    before_loss = core.version, core.branch
    core = Core(random.Random(2))
    core.restore(0, old_image)
    core.apply(0, core.open_branch(0))
    assert not core.contains_version(before_loss[1], before_loss[0]) and core.contains_version(
        before_loss[1], old_image.version
    )
    core.report_lost_version("another", 1 << 20)
    core.report_lost_version(core.identity, before_loss[0])
    versions: list[int] = []
    for quarter in range(50):
        core.renew(quarter * US_PER_S // 4, key("x"), "x")
        for change in core.decide_expiries(quarter * US_PER_S // 4)[0]:
            core.apply(quarter * US_PER_S // 4, change)
            versions.append(change.version)
    assert versions == [before_loss[0] + 1] and not core.contains_version(before_loss[1], before_loss[0])
    assert core.update_since(
        GROUP, before_loss[0]
    ).is_full  # the history has no changes for the lost versions


def test_watches_are_answered_once_for_many_changes_and_no_more_often_than_all_can_be() -> None:
    watches: Watches[int] = Watches()
    for caller in range(1000):
        watches.add(caller, GROUP, 60 * US_PER_S)
    removed_ticket = watches.add(-1, GROUP, 60 * US_PER_S)
    watches.remove(removed_ticket, GROUP)
    timed_ticket = watches.add(-2, Group("other", "tier"), US_PER_S // 2)
    rounds: list[tuple[int, list[int]]] = []
    for now_us in range(0, US_PER_S, 1000):
        if now_us % 10_000 == 0:
            watches.mark_changed(now_us, GROUP)
        due = watches.take_due(now_us)
        if due:
            rounds.append((now_us, due))
            for caller in due:
                if caller >= 0:
                    watches.add(caller, GROUP, 60 * US_PER_S)
    assert sum(due.count(-2) for _, due in rounds) == 1 and timed_ticket
    group_rounds = [(now, [caller for caller in due if caller >= 0]) for now, due in rounds if due != [-2]]
    assert all(sorted(due) == list(range(1000)) for _, due in group_rounds)
    round_times = [now for now, _ in group_rounds]
    assert round_times[0] == COALESCE_DELAY_US
    assert all(b - a >= 1000 * INTERVAL_PER_WATCH_US for a, b in itertools.pairwise(round_times))
    assert len(round_times) >= 8


def test_a_change_out_of_order_is_rejected() -> None:
    core = Core(random.Random(1))
    change: Any = core.put(0, record("x")).change
    assert isinstance(change, Put)
    core.apply(0, change)
    with pytest.raises(ValueError, match="does not follow"):
        core.apply(0, change)
