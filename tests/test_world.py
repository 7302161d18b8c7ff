"""The simulated surroundings of sidecars: properties that hold for any order of events."""

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
from eiderhub.world.clients import ClientRequest, End, draw_requests, next_try_us, try_timeout_us
from eiderhub.world.day import US_PER_S, Day, draw_day
from eiderhub.world.discovery import Delivery, EndpointList, Registry
from eiderhub.world.endpoint import (
    ColdOverload,
    Endpoint,
    EndpointRequest,
    NextTierCall,
    Offer,
    RequestEnded,
    State,
)
from eiderhub.world.evaluation import Evaluator, InterruptedOutcome
from eiderhub.world.front_balancer import FrontBalancer
from eiderhub.world.processor import Processor


def day(name: str = "calm", seed: int = 3) -> Day:
    return draw_day(scenarios.load(name), seed, name)


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
def test_processor_serves_no_more_work_than_its_capacity(
    cores: int, steps: list[tuple[int, str, int, int]]
) -> None:
    processor, now_us, unfinished = Processor(cores), 0, dict[int, float]()
    added_us = removed_us = capacity_us = 0.0
    for serial, (wait_us, action, work_us, speed) in enumerate(steps):
        capacity_us += wait_us * processor.speed * cores
        now_us += wait_us
        for job in processor.finished(now_us):
            assert isinstance(job, int)
            del unfinished[job]
        if action == "add":
            processor.add(now_us, serial, work_us)
            unfinished[serial] = work_us
            added_us += work_us
        elif action == "speed":
            processor.set_speed(now_us, float(speed))
        elif unfinished:
            job = min(unfinished)
            removed_us += processor.remove(now_us, job)
            del unfinished[job]
    processor.set_speed(now_us, 1.0)
    remaining_us = sum(processor.remove(now_us, job) for job in sorted(unfinished))
    assert added_us - removed_us - remaining_us <= capacity_us + 1 + len(steps)  # rounding to microseconds


@given(st.lists(st.integers(1, 9000), min_size=1, max_size=20), st.integers(1, 4))
def test_processor_finishes_jobs_at_the_times_that_next_us_returns(works_us: list[int], cores: int) -> None:
    processor = Processor(cores)
    for job, work_us in enumerate(works_us):
        processor.add(0, job, work_us)
    finished_jobs, now_us = [], 0
    while (due_us := processor.next_us()) is not None:
        assert due_us >= now_us
        now_us = due_us
        newly_finished = processor.finished(now_us)
        assert newly_finished  # otherwise a host would call again and again at the same time
        finished_jobs += newly_finished
    assert [works_us[int(str(job))] for job in finished_jobs] == sorted(works_us)
    assert now_us >= max(works_us) and now_us >= sum(works_us) / cores - len(works_us)


# --- endpoints ---


def endpoint(**changes: Any) -> Endpoint:
    base_day = day()
    plan = dataclasses.replace(base_day.endpoint_plans[0], error_rate=0.0, choke=None, **changes)
    return Endpoint(plan, base_day.rng("test"))


def run_until(simulated: Endpoint, until_us: int) -> list[tuple[int, Any]]:
    """Advance to this time, and return the outputs; calls to the next tier are served immediately."""
    outputs, now_us = [], 0
    while (due_us := simulated.next_us(now_us)) is not None and due_us <= until_us:
        now_us = due_us
        for output in simulated.advance(now_us):
            outputs.append((now_us, output))
            if isinstance(output, NextTierCall):
                simulated.call_ended(now_us, output.token, served=True)
    return outputs


@given(count=st.integers(0, 40), slots=st.integers(1, 8), queue=st.integers(0, 8))
def test_endpoint_fills_its_slots_and_queue_and_answers_each_request_once(
    count: int, slots: int, queue: int
) -> None:
    simulated = endpoint(slots=slots, queue=queue)
    offers = Counter(simulated.offer(0, EndpointRequest(i, 1000.0, i % 3), True) for i in range(count))
    assert offers[Offer.TAKEN] == min(count, slots + queue)
    assert offers[Offer.DECLINED] == count - offers[Offer.TAKEN]
    answers = Counter(
        output.token for _, output in run_until(simulated, 60 * US_PER_S) if isinstance(output, RequestEnded)
    )
    assert answers == dict.fromkeys(range(offers[Offer.TAKEN]), 1)
    assert simulated.in_flight == 0


@given(st.lists(st.sampled_from(["hang", "pause", "slow", "cancel", "crash"]), max_size=6))
def test_endpoint_faults_cause_no_second_answer_and_no_answer_after_a_crash_or_cancel(
    faults: list[str],
) -> None:
    simulated = endpoint()
    for i in range(10):
        simulated.offer(0, EndpointRequest(i, 50_000.0, 0), True)
    lost: set[int] = set()
    for i, fault in enumerate(faults):
        now_us = (i + 1) * 1000
        if fault == "hang":
            simulated.hang(now_us, now_us + US_PER_S)
        elif fault == "pause":
            simulated.pause(now_us, now_us + US_PER_S // 2)
        elif fault == "slow":
            simulated.set_slowdown(now_us, 2.0)
        elif fault == "cancel":
            simulated.cancel(now_us, i)
            lost.add(i)
        else:
            simulated.crash(now_us)
            lost.update(range(10))
    answers = Counter(output.token for _, output in run_until(simulated, 60 * US_PER_S))
    assert all(count == 1 for count in answers.values())
    assert not lost & {int(str(token)) for token in answers}
    assert len(answers) + len(lost) == 10


@given(budget_factor=st.floats(0.1, 4.0))
def test_cold_endpoint_crashes_only_beyond_its_overload_budget(budget_factor: float) -> None:
    simulated = endpoint(slots=10_000)
    simulated.crash(0)
    simulated.start(0)
    plan = simulated.plan
    budget_us = plan.overload_factor * plan.capacity * plan.cold_from * plan.overload_window_us + 500_000
    count = 200
    offers = [
        simulated.offer(0, EndpointRequest(i, budget_factor * budget_us / count, 0), True)
        for i in range(count)
    ]
    overloads = [output for output in simulated.advance(0) if isinstance(output, ColdOverload)]
    assert (
        bool(overloads) == (Offer.REFUSED in offers) == (budget_factor > 1.0001)
        or abs(budget_factor - 1) < 0.001
    )
    if overloads:
        assert simulated.state is State.DOWN
        assert overloads[0].informed_work_us == pytest.approx(overloads[0].work_us)


# --- discovery ---


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["draining", "stopped", "started", "unavailable", "available"]),
            st.integers(0, 3),
            st.integers(0, 4000),
        ),
        max_size=25,
    )
)
def test_following_the_changes_of_discovery_yields_the_current_list(
    changes: list[tuple[str, int, int]],
) -> None:
    registry, now_us = Registry(day()), 0
    received: dict[str, Readiness] = {}
    generation: int | None = None

    def apply(listing: EndpointList) -> None:
        if listing.full:
            received.clear()
        for entry in listing.entries:
            received[entry.id] = entry.lifecycle
            if entry.lifecycle is Readiness.GONE:
                del received[entry.id]

    def call_once(after_generation: int | None) -> int | None:
        nonlocal now_us
        call_id = registry.start_call(now_us, 0, after_generation, 0)
        while True:
            for result in registry.advance(now_us):
                if result.call_id == call_id:
                    if result.listing is None:
                        return after_generation
                    assert result.delivery is Delivery.WHOLE
                    apply(result.listing)
                    return result.listing.generation
            due_us = registry.next_us(now_us)
            assert due_us is not None
            now_us = max(now_us + 1, due_us)

    for change, number, wait_ms in changes:
        now_us += wait_ms * 1000
        endpoint_id = f"gateway-{number}"
        if change in ("unavailable", "available"):
            registry.set_unavailable(now_us, change == "unavailable")
        elif change == "started":
            registry.endpoint_started(now_us, endpoint_id, now_us)
        elif change == "draining":
            registry.endpoint_draining(now_us, endpoint_id)
        else:
            registry.endpoint_stopped(now_us, endpoint_id)
        generation = call_once(generation)
    registry.set_unavailable(now_us, False)
    now_us += 60 * US_PER_S
    registry.advance(now_us)
    call_once(generation)
    expected = {entry.id: entry.lifecycle for entry in registry.entries.values() if entry.tier == 0}
    assert received == {
        endpoint_id: state for endpoint_id, state in expected.items() if state is not Readiness.GONE
    }


# --- clients and the front balancer ---


def test_day_depends_only_on_its_seed() -> None:
    def drawn(seed: int) -> tuple[Any, ...]:
        drawn_day = day("upgrade", seed)
        return (
            drawn_day.endpoint_plans,
            drawn_day.events,
            [dataclasses.astuple(request) for request in draw_requests(drawn_day)[:200]],
        )

    assert repr(drawn(5)) == repr(drawn(5))
    assert repr(drawn(5)) != repr(drawn(6))


@given(
    end=st.sampled_from(End),
    tries=st.integers(1, 6),
    now_us=st.integers(0, 7 * US_PER_S),
    retry_after_us=st.integers(0, 5 * US_PER_S),
)
def test_clients_retry_only_repeatable_requests_within_their_deadline(
    end: End, tries: int, now_us: int, retry_after_us: int
) -> None:
    drawn_day = day()
    for request_class in drawn_day.request_classes:
        request = ClientRequest(
            0, 0, request_class, None, "west", 1.0, None, honours_retry_after=True, tries=tries
        )
        retry_at_us = next_try_us(drawn_day, request, now_us, end, retry_after_us)
        if retry_at_us is not None:
            # both classes of this day may be repeated only after these
            assert end in (
                End.REFUSED,
                End.UNREACHABLE,
            )
            assert now_us <= retry_at_us < request.deadline_us and tries <= drawn_day.retries
        assert try_timeout_us(drawn_day, request, now_us) <= request.deadline_us - now_us


def test_front_stops_sending_new_connections_some_time_after_a_negative_answer() -> None:
    front = FrontBalancer(day())
    front.record_answer(0, "front-0", True)
    front.record_answer(1000, "front-0", False)
    assert front.accepts_connections(200_000, "front-0")
    assert not front.accepts_connections(201_001, "front-0")
    front.record_answer(300_000, "front-0", True)
    assert front.choose(300_000, "north", lambda _: False) == "front-0"  # its own zone has none
    front.record_no_answer(400_000, "front-0")
    assert front.accepts_connections(500_000, "front-0") and not front.accepts_connections(
        5 * US_PER_S, "front-0"
    )


# --- the evaluation ---


def test_evaluation_finds_each_breach_and_none_where_the_rules_are_kept() -> None:
    drawn_day = day()
    bind, quote = drawn_day.request_classes
    first_plan, same_zone_plan = drawn_day.endpoint_plans[0], drawn_day.endpoint_plans[3]
    other_zone_plan = drawn_day.endpoint_plans[1]
    assert first_plan.zone == same_zone_plan.zone != other_zone_plan.zone

    def breaches(*calls: tuple[Any, ...], request_class: Any = bind) -> list[str]:
        evaluator = Evaluator(drawn_day)
        evaluator.sidecar_started(
            0, "front-0", EndpointList(1, True, tuple(Registry(drawn_day).entries.values()))
        )
        evaluator.request_sent("r", "front-0", request_class)
        for name, *values in calls:
            getattr(evaluator, name)(*values)
        return list(evaluator.evaluate(0.0, 0.0).breaches)

    attempt = ("attempt_arrived", 10, 10, "r", "front-0")
    attempt_declined = ("attempt_ended", "r", first_plan, True)
    attempt_failed = ("attempt_ended", "r", first_plan, False)
    assert breaches((*attempt, first_plan), ("answer_received", 20, "r", 200, True)) == []
    assert breaches(("answer_received", 20, "r", 200, False)) == ["no dropped request"]
    assert breaches((*attempt, first_plan), ("connection_ended", 20, "r", True, False)) == [
        "no dropped request"
    ]
    assert breaches((*attempt, first_plan), ("connection_ended", 20, "r", True, True)) == []
    assert (
        breaches(
            (*attempt, first_plan),
            attempt_declined,
            (*attempt, other_zone_plan),
            ("answer_received", 20, "r", 200, True),
        )
        == []
    )
    assert breaches((*attempt, first_plan), attempt_failed, (*attempt, same_zone_plan)) == [
        "each effect once"
    ]
    assert breaches((*attempt, first_plan), attempt_failed, ("answer_received", 20, "r", 503, False)) == [
        "each effect once"
    ]
    assert breaches((*attempt, first_plan), attempt_declined, ("answer_received", 20, "r", 503, False)) == []
    assert (
        breaches((*attempt, first_plan), attempt_failed, (*attempt, same_zone_plan), request_class=quote)
        == []
    )
    assert breaches(
        (*attempt, first_plan), attempt_failed, (*attempt, other_zone_plan), request_class=quote
    ) == ["each effect once"]
    assert breaches(("attempt_arrived", 10, 10, "never", "front-0", first_plan)) == ["each effect once"]
    late_attempt = ("attempt_arrived", 5 * US_PER_S, 5 * US_PER_S, "r", "front-0", first_plan)
    draining_entry = dataclasses.replace(
        Registry(drawn_day).entries[first_plan.id], lifecycle=Readiness.DRAINING
    )
    assert breaches(
        ("list_received", 3 * US_PER_S, "front-0", EndpointList(2, False, (draining_entry,))), late_attempt
    ) == ["safe drain"]
    assert (
        breaches(
            ("list_received", 4 * US_PER_S, "front-0", EndpointList(2, False, (draining_entry,))),
            late_attempt,
        )
        == []
    )
    # A sidecar that makes no call to discovery is taken to know its changes after a while.
    attempt_after_silence = ("attempt_arrived", 15 * US_PER_S, 15 * US_PER_S, "r", "front-0", first_plan)
    assert breaches(("entry_published", 1 * US_PER_S, draining_entry), attempt_after_silence) == [
        "safe drain"
    ]
    assert (
        breaches(
            ("entry_published", 1 * US_PER_S, draining_entry),
            ("list_requested", 2 * US_PER_S, "front-0"),
            attempt_after_silence,
        )
        == []
    )
    assert breaches(("cold_overload", 1, first_plan.id, ColdOverload(90.0, 60.0))) == ["careful fail-back"]
    assert breaches(("cold_overload", 1, first_plan.id, ColdOverload(90.0, 59.0))) == []
    evaluator = Evaluator(drawn_day)
    evaluator.request_sent("r", "front-0", bind)
    assert evaluator.connection_ended(1, "r", first=False, killed=False) is InterruptedOutcome.UNREAD


def test_evaluation_counts_target_latencies_quotas_and_the_worst_window() -> None:
    drawn_day = day()
    bind, quote = drawn_day.request_classes
    evaluator = Evaluator(drawn_day)
    requests = [
        ClientRequest(0, 0, bind, "acme", "west", 1.0, None, False, ended_us=US_PER_S, end=End.SERVED),
        # after its target latency
        ClientRequest(
            1, 1 * US_PER_S, bind, "acme", "west", 1.0, None, False, ended_us=4 * US_PER_S, end=End.SERVED
        ),
        ClientRequest(
            2, 15 * US_PER_S, quote, "globe", "west", 1.0, None, False, ended_us=16 * US_PER_S, end=End.SERVED
        ),
        ClientRequest(
            3,
            16 * US_PER_S,
            quote,
            "globe",
            "west",
            1.0,
            None,
            False,
            within_quota=False,
            ended_us=17 * US_PER_S,
            end=End.FAILED,
        ),
    ]
    for request in requests:
        evaluator.add_client_request(request)
    evaluation = evaluator.evaluate(0.0, 0.0)
    assert evaluation.classes["bind"].share == 0.5
    assert evaluation.classes["quote"].share == pytest.approx(5 / 5.25)
    assert evaluation.worst_window == 0.0  # the window from 1 s on has only the late request
    assert evaluation.worst_tenant == 0.5  # all requests of `globe` within its quota were served
    assert evaluation.whole == pytest.approx((8 + 5) / (16 + 5.25))
    expected_goodput = 0.25 * evaluation.whole + 0.2 * 0.5 + 0.1 * 0.5
    assert evaluation.goodput == pytest.approx(expected_goodput)


# --- scenarios ---


def test_shipped_scenarios_can_be_drawn_with_all_their_troubles() -> None:
    names = scenarios.shipped()
    assert {"calm", "burst", "hang", "release", "cold-zone", "discovery-down", "upgrade", "drain"} <= set(
        names
    )
    for name in names:
        drawn_day = day(name)
        assert drawn_day.rate_per_s > 10
        assert all(event.at_us < drawn_day.length_us for event in drawn_day.events)
        assert [event.kind.value for event in drawn_day.events] == sorted(
            (trouble.kind.value for trouble in drawn_day.scenario.trouble),
            key=[event.kind.value for event in drawn_day.events].index,
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
def test_all_faults_of_a_scenario_are_reported_together(tmp_path: Path, text: str, faults: list[str]) -> None:
    path = tmp_path / "mine.toml"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(DocumentError) as caught:
        scenarios.load(str(path))
    assert caught.value.fault_lines() == [f"{path}: {fault}" for fault in faults]
