"""The list service's core against a plain model, and what its leases are worth."""

from __future__ import annotations

import itertools
import random
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from eiderhub.interface import Readiness
from eiderhub.registry.core import FLAP_MOST, PAUSE_US, Core, Decision, S, Told
from eiderhub.registry.records import Entry, Gone, Group, Key, Put, Record, Tombstone, Why
from eiderhub.registry.watches import EACH_US, GATHER_US, Watches

GROUP = Group("shop", "front")
LEASE_US = 3 * S


def record(name: str, owner: str = "", started: int = 0, lease: bool = True, zone: str = "a") -> Record:
    entry = Entry(instance_id=name, host_port="127.0.0.1:80", zone=zone, started_at_ms=started)
    lease_ms = LEASE_US // 1000 if lease else None
    return Record(service="shop", tier="front", entry=entry, owner=owner or name, lease_ms=lease_ms)


def key(name: str) -> Key:
    return Key("shop", "front", name)


def carry_out(core: Core, now_us: int, decision: Decision) -> int:
    """The status that a caller gets."""
    if decision.change is not None:
        core.apply(now_us, decision.change)
    return 200 if decision.refusal is None else decision.refusal.status


class Follower:
    """Keeps a list by asking for what is new."""

    def __init__(self) -> None:
        self.after: int | None = None
        self.rows: dict[str, Entry] = {}

    def ask(self, core: Core) -> None:
        span = core.span(GROUP, self.after)
        assert span.version >= (self.after or 0)
        if span.whole:
            self.rows.clear()
        for one in span.entries:
            if isinstance(one, Tombstone):
                self.rows.pop(one.entry.instance_id, None)
            else:
                self.rows[one.entry.instance_id] = one.entry
        self.after = span.version


class Against(RuleBasedStateMachine):
    """Processes of three ids come, renew, drain, fall silent and are removed; the service restarts."""

    processes: Bundle[tuple[str, str, int]] = Bundle("processes")

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.core = Core(random.Random(1), history=8)
        self.core.apply(0, self.core.open(0))
        self.rows: dict[str, tuple[str, int, Readiness]] = {}  # the model: id -> owner, start, lifecycle
        self.drained: dict[str, str] = {}  # id -> the owner that an operator drained
        self.banned: set[str] = set()  # owners that were removed or replaced
        self.followers = [Follower(), Follower()]
        self.version = 0
        self.owners = 0

    @rule(target=processes, name=st.sampled_from("xyz"), started=st.integers(1, 5))
    def begin(self, name: str, started: int) -> tuple[str, str, int]:
        self.owners += 1
        return name, f"owner{self.owners}", started

    @rule(process=processes)
    def put(self, process: tuple[str, str, int]) -> None:
        name, owner, started = process
        status = carry_out(self.core, self.now, self.core.put(self.now, record(name, owner, started)))
        held = self.rows.get(name)
        if status != 200:
            assert status in (409, 410, 429)
            # A process alone on its id is refused only for what it has done before.
            assert held is not None or owner in self.banned or status in (429, 410)
            return
        assert owner not in self.banned
        if held is not None and held[0] != owner:
            assert started > held[1]  # only a later start takes an id over
            self.banned.add(held[0])
        drained = self.drained.get(name) == owner  # an operator's word outlasts an expiry
        self.rows[name] = (owner, started, Readiness.DRAINING if drained else Readiness.READY)
        if not drained:
            self.drained.pop(name, None)

    @rule(process=processes)
    def renew(self, process: tuple[str, str, int]) -> None:
        name, owner, _ = process
        refusal = self.core.renew(self.now, key(name), owner)
        assert (refusal is None) == (name in self.rows and self.rows[name][0] == owner)

    @rule(name=st.sampled_from("xyz"))
    def operator_drains(self, name: str) -> None:
        status = carry_out(self.core, self.now, self.core.drain(self.now, key(name), None))
        assert (status == 200) == (name in self.rows)
        if status == 200:
            self.drained[name] = self.rows[name][0]
            self.rows[name] = (*self.rows[name][:2], Readiness.DRAINING)

    @rule(name=st.sampled_from("xyz"))
    def operator_removes(self, name: str) -> None:
        there = name in self.rows
        carry_out(self.core, self.now, self.core.remove(self.now, key(name), None))
        if there:
            self.banned.add(self.rows.pop(name)[0])

    @rule(name=st.sampled_from("xyz"), version=st.integers(0, 30))
    def conditional(self, name: str, version: int) -> None:
        known = self.core.records.get(key(name))
        decision = self.core.remove(self.now, key(name), None, if_version=version)
        if known is None or known.version != version:
            assert decision.change is None
        self.core.withdraw([decision.change] if decision.change else [])

    @rule(process=processes, fails=st.booleans())
    def disk_fails(self, process: tuple[str, str, int], fails: bool) -> None:
        before = self.core.image()
        decision = self.core.put(self.now, record(*process))
        self.core.withdraw([decision.change] if decision.change else [])
        assert self.core.image() == before

    @rule(steps=st.integers(1, 16))
    def time_passes(self, steps: int) -> None:
        for _ in range(steps):
            self.now += S // 4
            changes, _ = self.core.look(self.now)
            for change in changes:
                self.core.apply(self.now, change)
                if isinstance(change, Gone):
                    assert change.why is Why.EXPIRED
                    del self.rows[change.id]

    @rule()
    def restart(self) -> None:
        image = self.core.image()
        after = self.core.version
        self.core = Core(random.Random(self.core.version), history=8)
        self.core.restore(self.now, image)
        self.core.apply(self.now, self.core.open(self.now))
        # Who was up to date has nothing to fetch: a fleet comes back at once.
        assert not self.core.span(GROUP, after).whole and not self.core.span(GROUP, after).entries

    @rule(number=st.integers(0, 1))
    def follow(self, number: int) -> None:
        self.followers[number].ask(self.core)
        listed = {name: entry.lifecycle for name, entry in self.followers[number].rows.items()}
        assert listed == {name: row[2] for name, row in self.rows.items()}

    @invariant()
    def versions_rise_and_the_list_is_the_model(self) -> None:
        assert self.core.version >= self.version
        self.version = self.core.version
        found = {
            k.id: (r.owner, r.entry.started_at_ms, r.entry.lifecycle) for k, r in self.core.records.items()
        }
        assert found == self.rows
        assert not self.core.pending
        assert self.core.ready == sum(row[2] is Readiness.READY for row in self.rows.values())


TestAgainst = Against.TestCase
TestAgainst.settings = settings(max_examples=120, stateful_step_count=40, deadline=None)


# --- leases on one time line ---


class Line:
    """Twelve processes in two zones, renewing as owners do, and a service that looks four times a second."""

    def __init__(self, count: int = 12) -> None:
        self.core = Core(random.Random(3))
        self.core.apply(0, self.core.open(0))
        self.now = 0
        self.names = [f"e{i}" for i in range(count)]
        self.silent: set[str] = set()
        self.due: dict[str, int] = {}
        self.gone: dict[str, float] = {}  # when each expired, in seconds
        self.told: list[Told] = []
        rng = random.Random(5)
        for i, name in enumerate(self.names):
            assert carry_out(self.core, 0, self.core.put(0, record(name, started=1, zone="ab"[i % 2]))) == 200
            self.due[name] = int(rng.uniform(0, LEASE_US / 3))

    def run(self, seconds: float, looks: bool = True) -> None:
        until = self.now + int(seconds * S)
        while self.now < until:
            self.now += S // 4
            for name in self.names:
                if name not in self.silent and self.due[name] <= self.now and looks:
                    if self.core.renew(self.now, key(name), name) is not None:  # it registers again
                        carry_out(self.core, self.now, self.core.put(self.now, record(name, started=1)))
                    self.due[name] = self.now + LEASE_US // 3
            if looks:
                self.look()

    def look(self) -> None:
        changes, told = self.core.look(self.now)
        self.told += told
        for change in changes:
            self.core.apply(self.now, change)
            if isinstance(change, Gone):
                self.gone[change.id] = self.now / S


def test_a_single_dead_process_expires_in_its_leases_time_and_a_zone_only_after_one_more() -> None:
    line = Line()
    line.run(5)
    line.silent = {"e0"}
    line.run(4)
    assert set(line.gone) == {"e0"} and line.gone["e0"] <= 5 + LEASE_US / S + 0.25
    assert [t.fields["reason"] for t in line.told if t.event == "expired"] == ["its lease ran out"]
    line.run(3)
    cut = line.now / S
    line.silent |= {name for i, name in enumerate(line.names) if i % 2}  # the whole of zone b
    line.run(5)
    assert set(line.gone) == {"e0"}
    (held,) = [t for t in line.told if t.event == "mass expiry held up"]
    assert held.fields["silent"] == 6 and held.fields["hold_ms"] == LEASE_US // 1000
    line.run(2)
    assert set(line.gone) == {"e0", "e1", "e3", "e5", "e7", "e9", "e11"}
    assert all(cut + LEASE_US / S < line.gone[f"e{i}"] <= cut + 2 * LEASE_US / S + 0.5 for i in (1, 3, 5, 7))


def test_a_zone_that_was_only_cut_off_loses_nobody() -> None:
    line = Line()
    line.run(5)
    line.silent = {name for i, name in enumerate(line.names) if i % 2}
    line.run(LEASE_US / S + 1)
    line.silent = set()
    line.run(10)
    assert line.gone == {} and [t.event for t in line.told] == ["mass expiry held up"]


def test_a_service_that_is_cut_off_from_all_expires_nobody_until_it_hears_again() -> None:
    line = Line()
    line.run(5)
    line.silent = set(line.names)
    line.run(60)
    assert line.gone == {} and [t.event for t in line.told] == ["nothing expires"]
    line.silent = {"e3"}
    heard = line.now / S
    line.run(10)
    assert set(line.gone) == {"e3"} and line.gone["e3"] <= heard + 2 * LEASE_US / S + 0.5


def test_a_service_that_stood_still_or_restarted_expires_nobody_for_it() -> None:
    line = Line()
    line.run(5)
    line.run(30, looks=False)  # SIGSTOP, and all leases run out
    line.look()
    assert [t.event for t in line.told] == ["stood still: leases run on from here"]
    line.run(5)
    image = line.core.image()
    line.core = Core(random.Random(9))
    line.core.restore(line.now, image)
    line.run(10)
    assert line.gone == {}
    # Who died while it stood still goes in its lease's time after that.
    line.silent = {"e4"}
    line.run(30, looks=False)
    woken = line.now / S
    line.run(6)
    assert set(line.gone) == {"e4"} and line.gone["e4"] <= woken + LEASE_US / S + 0.25
    assert PAUSE_US < 30 * S


def test_a_record_that_flaps_costs_followers_a_bounded_number_of_changes() -> None:
    core = Core(random.Random(1))
    before, statuses = core.version, []
    for turn in range(100):
        now = turn * S // 10
        statuses.append(carry_out(core, now, core.put(now, record("x", f"o{turn}", turn + 1))))
        carry_out(core, now, core.remove(now, key("x"), None))
    assert core.version - before <= 2 * FLAP_MOST and set(statuses) == {200, 429}
    refusal = core.put(10 * S, record("x", "late", 1000)).refusal
    assert refusal is not None and refusal.retry_us > 0
    assert (
        carry_out(
            core, 10 * S + refusal.retry_us, core.put(10 * S + refusal.retry_us, record("x", "l", 1000))
        )
        == 200
    )


@pytest.mark.parametrize(
    ("first", "second", "status"),
    [
        (record("x", "a", 5), record("x", "b", 6), 200),  # a later start takes the id over
        (record("x", "a", 5), record("x", "b", 5), 409),  # who holds it keeps it
        (record("x", "a", 5), record("x", "b", 4), 409),
        (record("x", "a", 0, lease=False), record("x", "b", 0), 200),  # nobody holds it
    ],
)
def test_one_id_from_two_processes(first: Record, second: Record, status: int) -> None:
    core = Core(random.Random(1))
    assert carry_out(core, 0, core.put(0, first)) == 200
    assert carry_out(core, 1, core.put(1, second)) == status
    late = core.renew(2, key("x"), "a")
    assert (late is None) == (status == 409)
    if status == 200 and first.entry.started_at_ms:  # the replaced process's late calls bring nothing back
        assert carry_out(core, 3, core.put(3, first)) == 409
        carry_out(core, 4, core.remove(4, key("x"), "b"))
        assert carry_out(core, 5, core.put(5, first)) == 410


def test_a_store_that_was_set_back_goes_past_what_it_lost_after_a_leases_time() -> None:
    core = Core(random.Random(1))
    core.apply(0, core.open(0))
    carry_out(core, 0, core.put(0, record("x", started=1)))
    old = core.image()
    for turn in range(20):
        carry_out(core, 0, core.drain(0, key("x"), None, undo=bool(turn % 2)))
    had = core.version, core.branch
    core = Core(random.Random(2))
    core.restore(0, old)
    core.apply(0, core.open(0))
    assert not core.continues(had[1], had[0]) and core.continues(had[1], old.version)
    core.ahead("another", 1 << 20)
    core.ahead(core.identity, had[0])
    versions: list[int] = []
    for quarter in range(50):
        core.renew(quarter * S // 4, key("x"), "x")
        for change in core.look(quarter * S // 4)[0]:
            core.apply(quarter * S // 4, change)
            versions.append(change.version)
    assert versions == [had[0] + 1] and not core.continues(had[1], had[0])
    assert core.span(GROUP, had[0]).whole  # what was lost in between can't be told by changes


def test_watches_are_told_once_for_many_changes_and_a_thousand_no_more_often_than_they_can_be() -> None:
    watches: Watches[int] = Watches()
    for caller in range(1000):
        watches.add(caller, GROUP, 60 * S)
    dropped = watches.add(-1, GROUP, 60 * S)
    watches.drop(dropped, GROUP)
    timed = watches.add(-2, Group("other", "tier"), S // 2)
    rounds: list[tuple[int, list[int]]] = []
    for now in range(0, S, 1000):
        if now % 10_000 == 0:
            watches.changed(now, GROUP)
        due = watches.due(now)
        if due:
            rounds.append((now, due))
            for caller in due:
                if caller >= 0:
                    watches.add(caller, GROUP, 60 * S)
    assert sum(due.count(-2) for _, due in rounds) == 1 and timed
    told = [(now, [caller for caller in due if caller >= 0]) for now, due in rounds if due != [-2]]
    assert all(sorted(due) == list(range(1000)) for _, due in told)
    times = [now for now, _ in told]
    assert times[0] == GATHER_US
    assert all(b - a >= 1000 * EACH_US for a, b in itertools.pairwise(times))
    assert len(times) >= 8


def test_a_change_out_of_order_is_refused() -> None:
    core = Core(random.Random(1))
    change: Any = core.put(0, record("x")).change
    assert isinstance(change, Put)
    core.apply(0, change)
    with pytest.raises(ValueError, match="does not follow"):
        core.apply(0, change)
