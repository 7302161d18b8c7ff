"""The world's machines: properties that hold for any order of events."""

from __future__ import annotations

import dataclasses
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderhub.documents import DocumentError
from eiderhub.interface import Readiness
from eiderhub.world import scenario as scenarios
from eiderhub.world.clients import End, Errand, arrivals, patience_us, retry_us
from eiderhub.world.day import Day, S, draw
from eiderhub.world.endpoint import Answer, Call, Endpoint, Fell, Offer, State, Work
from eiderhub.world.front import Front
from eiderhub.world.judge import Fate, Judge
from eiderhub.world.processor import Processor
from eiderhub.world.registry import Delivery, Listing, Registry


def day(name: str = "calm", seed: int = 3) -> Day:
    return draw(scenarios.load(name), seed, name)


# --- the processor ---


@given(
    cores=st.integers(1, 4),
    steps=st.lists(
        st.tuples(
            st.integers(0, 5000),
            st.sampled_from(["add", "speed", "remove"]),
            st.integers(0, 4000),
            st.integers(0, 3),
        ),
        max_size=40,
    ),
)
def test_processor_gives_each_job_its_work_and_no_more_than_it_has(
    cores: int, steps: list[tuple[int, str, int, int]]
) -> None:
    processor, now, lacking = Processor(cores), 0, dict[int, float]()
    asked = given_up = capacity = 0.0
    for serial, (wait, what, work, speed) in enumerate(steps):
        capacity += wait * processor.speed * cores
        now += wait
        for job in processor.ended(now):
            assert isinstance(job, int)
            del lacking[job]
        if what == "add":
            processor.add(now, serial, work)
            lacking[serial] = work
            asked += work
        elif what == "speed":
            processor.set_speed(now, float(speed))
        elif lacking:
            job = min(lacking)
            given_up += processor.remove(now, job)
            del lacking[job]
    processor.set_speed(now, 1.0)
    left = sum(processor.remove(now, job) for job in sorted(lacking))
    assert asked - given_up - left <= capacity + 1 + len(steps)  # rounding to microseconds


@given(st.lists(st.integers(1, 9000), min_size=1, max_size=20), st.integers(1, 4))
def test_processor_ends_everything_at_the_moments_it_names(works: list[int], cores: int) -> None:
    processor = Processor(cores)
    for job, work in enumerate(works):
        processor.add(0, job, work)
    ends, now = [], 0
    while (due := processor.next_us()) is not None:
        assert due >= now
        now = due
        ended = processor.ended(now)
        assert ended  # a moment at which nothing ends would have a host wait in a circle
        ends += ended
    assert [works[int(str(job))] for job in ends] == sorted(works)
    assert now >= max(works) and now >= sum(works) / cores - len(works)


# --- endpoints ---


def endpoint(**changes: Any) -> Endpoint:
    base = day()
    plan = dataclasses.replace(base.plans[0], error_rate=0.0, choke=None, **changes)
    return Endpoint(plan, base.rng("test"))


def ended(machine: Endpoint, until_us: int) -> list[tuple[int, Any]]:
    """Everything it says up to then; calls to the next tier are served at once."""
    said, now = [], 0
    while (due := machine.next_us(now)) is not None and due <= until_us:
        now = due
        for each in machine.advance(now):
            said.append((now, each))
            if isinstance(each, Call):
                machine.called(now, each.token, served=True)
    return said


@given(count=st.integers(0, 40), slots=st.integers(1, 8), queue=st.integers(0, 8))
def test_endpoint_holds_its_slots_and_queue_and_answers_each_request_once(
    count: int, slots: int, queue: int
) -> None:
    machine = endpoint(slots=slots, queue=queue)
    offers = Counter(machine.offer(0, Work(i, 1000.0, i % 3), True) for i in range(count))
    assert offers[Offer.TAKEN] == min(count, slots + queue)
    assert offers[Offer.DECLINED] == count - offers[Offer.TAKEN]
    answers = Counter(said.token for _, said in ended(machine, 60 * S) if isinstance(said, Answer))
    assert answers == dict.fromkeys(range(offers[Offer.TAKEN]), 1)
    assert machine.in_work == 0


@given(st.lists(st.sampled_from(["hang", "pause", "slow", "cancel", "die"]), max_size=6))
def test_whatever_befalls_an_endpoint_nothing_is_answered_twice_or_after_its_end(troubles: list[str]) -> None:
    machine = endpoint()
    for i in range(10):
        machine.offer(0, Work(i, 50_000.0, 0), True)
    gone: set[int] = set()
    for i, trouble in enumerate(troubles):
        at = (i + 1) * 1000
        if trouble == "hang":
            machine.hang(at, at + S)
        elif trouble == "pause":
            machine.pause(at, at + S // 2)
        elif trouble == "slow":
            machine.slow(at, 2.0)
        elif trouble == "cancel":
            machine.cancel(at, i)
            gone.add(i)
        else:
            machine.die(at)
            gone.update(range(10))
    answers = Counter(said.token for _, said in ended(machine, 60 * S))
    assert all(count == 1 for count in answers.values())
    assert not gone & {int(str(token)) for token in answers}
    assert len(answers) + len(gone) == 10


@given(part=st.floats(0.1, 4.0))
def test_cold_endpoint_falls_over_only_past_its_budget(part: float) -> None:
    machine = endpoint(slots=10_000)
    machine.die(0)
    machine.start(0)
    plan = machine.plan
    budget = plan.fall_factor * plan.capacity * plan.cold_from * plan.fall_us + 500_000
    count = 200
    offers = [machine.offer(0, Work(i, part * budget / count, 0), True) for i in range(count)]
    fell = [said for said in machine.advance(0) if isinstance(said, Fell)]
    assert bool(fell) == (Offer.REFUSED in offers) == (part > 1.0001) or abs(part - 1) < 0.001
    if fell:
        assert machine.state is State.DOWN
        assert fell[0].told_us == pytest.approx(fell[0].work_us)


# --- discovery ---


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["drains", "gone", "came_up", "down", "up"]),
            st.integers(0, 3),
            st.integers(0, 4000),
        ),
        max_size=25,
    )
)
def test_who_follows_the_changes_ends_with_the_truth(changes: list[tuple[str, int, int]]) -> None:
    registry, now = Registry(day()), 0
    known: dict[str, Readiness] = {}
    generation: int | None = None

    def apply(listing: Listing) -> None:
        if listing.whole:
            known.clear()
        for entry in listing.entries:
            known[entry.id] = entry.lifecycle
            if entry.lifecycle is Readiness.GONE:
                del known[entry.id]

    def ask(after: int | None) -> int | None:
        nonlocal now
        ticket = registry.ask(now, 0, after, 0)
        while True:
            for told in registry.advance(now):
                if told.ticket == ticket:
                    if told.listing is None:
                        return after
                    assert told.delivery is Delivery.WHOLE
                    apply(told.listing)
                    return told.listing.generation
            due = registry.next_us(now)
            assert due is not None
            now = max(now + 1, due)

    for what, number, wait_ms in changes:
        now += wait_ms * 1000
        name = f"gateway-{number}"
        if what in ("down", "up"):
            registry.set_down(now, what == "down")
        elif what == "came_up":
            registry.came_up(now, name, now)
        elif what == "drains":
            registry.drains(now, name)
        else:
            registry.gone(now, name)
        generation = ask(generation)
    registry.set_down(now, False)
    now += 60 * S
    registry.advance(now)
    ask(generation)
    truth = {e.id: e.lifecycle for e in registry.entries.values() if e.tier == 0}
    assert known == {name: state for name, state in truth.items() if state is not Readiness.GONE}


# --- clients and the front ---


def test_a_day_is_its_seed() -> None:
    def drawn(seed: int) -> tuple[Any, ...]:
        made = day("upgrade", seed)
        return made.plans, made.events, [dataclasses.astuple(errand) for errand in arrivals(made)[:200]]

    assert repr(drawn(5)) == repr(drawn(5))
    assert repr(drawn(5)) != repr(drawn(6))


@given(
    end=st.sampled_from(End), tries=st.integers(1, 6), at=st.integers(0, 7 * S), after=st.integers(0, 5 * S)
)
def test_clients_retry_only_what_is_harmless_and_within_their_time(
    end: End, tries: int, at: int, after: int
) -> None:
    made = day()
    for grade in made.grades:
        errand = Errand(0, 0, grade, None, "west", 1.0, None, honours=True, tries=tries)
        when = retry_us(made, errand, at, end, after)
        if when is not None:
            assert end in (End.REFUSED, End.UNREACHABLE)  # neither class of this day repeats anything else
            assert at <= when < errand.due_us and tries <= made.retries
        assert patience_us(made, errand, at) <= errand.due_us - at


def test_front_sends_new_connections_for_a_while_after_a_no_and_then_none() -> None:
    front = Front(day())
    front.answered(0, "front-0", True)
    front.answered(1000, "front-0", False)
    assert front.takes_new(200_000, "front-0")
    assert not front.takes_new(201_001, "front-0")
    front.answered(300_000, "front-0", True)
    assert front.choose(300_000, "north", lambda _: False) == "front-0"  # its own zone has none
    front.silent(400_000, "front-0")
    assert front.takes_new(500_000, "front-0") and not front.takes_new(5 * S, "front-0")


# --- the judge ---


def test_judge_finds_each_broken_rule_and_nothing_in_a_kept_one() -> None:
    made = day()
    bind, quote = made.grades
    first, zone_mate = made.plans[0], made.plans[3]
    stranger = made.plans[1]
    assert first.zone == zone_mate.zone != stranger.zone

    def broken(*moves: tuple[Any, ...], grade: Any = bind) -> list[str]:
        judge = Judge(made)
        judge.knows(0, "front-0", Listing(1, True, tuple(Registry(made).entries.values())))
        judge.taken("r", "front-0", grade)
        for name, *values in moves:
            getattr(judge, name)(*values)
        return list(judge.verdict(0.0, 0.0).breaches)

    to = ("attempt", 10, 10, "r", "front-0")
    declined = ("attempt_ended", "r", first, True)
    failed = ("attempt_ended", "r", first, False)
    assert broken((*to, first), ("answered", 20, "r", 200, True)) == []
    assert broken(("answered", 20, "r", 200, False)) == ["no dropped request"]
    assert broken((*to, first), ("cut_short", 20, "r", True, False)) == ["no dropped request"]
    assert broken((*to, first), ("cut_short", 20, "r", True, True)) == []
    assert broken((*to, first), declined, (*to, stranger), ("answered", 20, "r", 200, True)) == []
    assert broken((*to, first), failed, (*to, zone_mate)) == ["each effect once"]
    assert broken((*to, first), failed, ("answered", 20, "r", 503, False)) == ["each effect once"]
    assert broken((*to, first), declined, ("answered", 20, "r", 503, False)) == []
    assert broken((*to, first), failed, (*to, zone_mate), grade=quote) == []
    assert broken((*to, first), failed, (*to, stranger), grade=quote) == ["each effect once"]
    assert broken(("attempt", 10, 10, "never", "front-0", first)) == ["each effect once"]
    late = ("attempt", 5 * S, 5 * S, "r", "front-0", first)
    leaving = dataclasses.replace(Registry(made).entries[first.id], lifecycle=Readiness.DRAINING)
    assert broken(("told", 3 * S, "front-0", Listing(2, False, (leaving,))), late) == ["safe drain"]
    assert broken(("told", 4 * S, "front-0", Listing(2, False, (leaving,))), late) == []
    # Who neither watches nor asks counts as told after a while.
    silent = ("attempt", 15 * S, 15 * S, "r", "front-0", first)
    assert broken(("listed", 1 * S, leaving), silent) == ["safe drain"]
    assert broken(("listed", 1 * S, leaving), ("asked_list", 2 * S, "front-0"), silent) == []
    assert broken(("fell", 1, first.id, Fell(90.0, 60.0))) == ["careful fail-back"]
    assert broken(("fell", 1, first.id, Fell(90.0, 59.0))) == []
    judge = Judge(made)
    judge.taken("r", "front-0", bind)
    assert judge.cut_short(1, "r", first=False, killed=False) is Fate.UNREAD


def test_worth_counts_aims_shares_and_the_worst_window() -> None:
    made = day()
    bind, quote = made.grades
    judge = Judge(made)
    errands = [
        Errand(0, 0, bind, "acme", "west", 1.0, None, False, ended_us=S, end=End.SERVED),
        Errand(
            1, 1 * S, bind, "acme", "west", 1.0, None, False, ended_us=4 * S, end=End.SERVED
        ),  # past its aim
        Errand(2, 15 * S, quote, "globe", "west", 1.0, None, False, ended_us=16 * S, end=End.SERVED),
        Errand(
            3,
            16 * S,
            quote,
            "globe",
            "west",
            1.0,
            None,
            False,
            within_share=False,
            ended_us=17 * S,
            end=End.FAILED,
        ),
    ]
    for errand in errands:
        judge.asked(errand)
    verdict = judge.verdict(0.0, 0.0)
    assert verdict.classes["bind"].share == 0.5
    assert verdict.classes["quote"].share == pytest.approx(5 / 5.25)
    assert verdict.worst_window == 0.0  # from 1 s on: the late one alone
    assert verdict.worst_tenant == 0.5  # within its share `globe` was served whole
    assert verdict.whole == pytest.approx((8 + 5) / (16 + 5.25))
    parts = 0.25 * verdict.whole + 0.2 * 0.5 + 0.1 * 0.5
    assert verdict.goodput == pytest.approx(parts)


# --- scenarios ---


def test_shipped_scenarios_can_be_drawn_and_play_what_they_say() -> None:
    names = scenarios.shipped()
    assert {"calm", "burst", "hang", "release", "cold-zone", "discovery-down", "upgrade", "drain"} <= set(
        names
    )
    for name in names:
        made = day(name)
        assert made.rate_per_s > 10
        assert all(event.at_us < made.length_us for event in made.events)
        assert [event.kind.value for event in made.events] == sorted(
            (t.kind.value for t in made.scenario.trouble),
            key=[event.kind.value for event in made.events].index,
        )


@pytest.mark.parametrize(
    ("text", "faults"),
    [
        ('extends = "calm"\nsecnds = 3', ["secnds: unknown key; did you mean seconds?"]),
        ('extends = "clam"', ["extends: no such scenario: 'clam'; did you mean calm?"]),
        (
            'extends = "calm"\nseconds = "long"\n[load]\nof_capacity = [0.7, 0.4]\n'
            '[[trouble]]\nkind = "hng"\nat_s = 1',
            [
                "seconds: must be a number or a range, [lowest, highest]; it is 'long'",
                "load: of_capacity: the range must rise, it is [0.7, 0.4]",
                "trouble[0].kind: impossible value 'hng'; did you mean hang?",
            ],
        ),
        ('extends = "calm"\ntier = []', ["tier: must be a list of length >= 1"]),
        (
            'extends = "calm"\n[[tenant]]\nname = "a"\nshare = 0.9\n[[tenant]]\nname = "b"\nshare = 0.2',
            ["tenant: shares must not add up to more than 1"],
        ),
        ("extends = ", ["no TOML: Invalid value (at end of document)"]),
    ],
)
def test_faults_of_a_scenario_are_named_all_at_once(tmp_path: Path, text: str, faults: list[str]) -> None:
    path = tmp_path / "mine.toml"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(DocumentError) as caught:
        scenarios.load(str(path))
    assert caught.value.fault_lines() == [f"{path}: {fault}" for fault in faults]
