"""Calls in flight by endpoint, shared by all sidecars: sums, what is old, and what the draws make of them."""

from __future__ import annotations

import asyncio

import pytest

from eiderhub.control.load import KEPT_S, MOST_TOLD, SUMMED_S, LoadTable
from eiderhub.dataplane.activity import (
    CONGESTION_LOAD,
    CONGESTION_UTILIZATION,
    LOAD_PER_STREAM,
    EndpointActivity,
)
from eiderhub.dataplane.admission import MIN_LOCAL_ENDPOINTS, PEER_CALLS_TTL_US
from tests.engine_support import AdmissionHarness, EndpointRequest, ScriptedEndpoint, make_route


def test_each_session_hears_what_all_others_have_out() -> None:
    table = LoadTable()
    table.report(0.0, "s1", {"a": 2, "b": 1})
    table.report(0.1, "s2", {"a": 1})
    assert table.own(0.2) == {"a": 3, "b": 1}
    assert table.others(0.2, "s1") == {"a": 1}
    assert table.others(0.2, "s2") == {"a": 2, "b": 1}
    assert table.others(0.2, "new") == {"a": 3, "b": 1}


def test_a_report_takes_the_place_of_the_one_before() -> None:
    table = LoadTable()
    table.report(0.0, "s1", {"a": 2})
    table.report(0.2, "s1", {"b": 1})
    assert table.own(0.2) == {"b": 1}
    table.forget("s1")
    table.forget("s1")
    assert table.own(0.2) == {}


def test_what_a_session_said_long_ago_does_not_count() -> None:
    table = LoadTable()
    table.report(0.0, "s1", {"a": 2})
    table.report(0.5, "s2", {"a": 1})
    assert table.others(KEPT_S + 0.1, "new") == {"a": 1}


def test_what_the_primary_told_of_other_nodes_is_added_while_it_is_fresh() -> None:
    table = LoadTable()
    table.report(0.0, "s1", {"a": 1})
    table.heard_elsewhere(0.0, {"a": 4, "c": 2})
    assert table.others(0.1, "s1") == {"a": 4, "c": 2}
    assert table.own(0.1) == {"a": 1}
    assert table.others(KEPT_S + 0.1, "s1") == {}


def test_absurd_counts_of_a_session_say_nothing() -> None:
    table = LoadTable()
    table.report(0.0, "s1", {"a": -5, "b": 0, "c": 1})
    assert table.others(0.1, "s2") == {"c": 1}


def test_an_update_of_a_large_fleet_tells_of_the_own_zone_first() -> None:
    calls = {f"e{number}": 1 for number in range(3 * MOST_TOLD)}
    zones = {endpoint: "near" if int(endpoint[1:]) % 3 == 0 else "far" for endpoint in calls}
    table = LoadTable()
    table.report(0.0, "s1", calls)
    told = table.nearest(0.0, "s2", "near", zones.__getitem__)
    assert len(told) == MOST_TOLD
    assert all(zones[endpoint] == "near" for endpoint in told)
    assert table.nearest(0.0, "s1", "near", zones.__getitem__) == {}


def test_a_sum_over_all_sessions_is_made_anew_after_a_while() -> None:
    table = LoadTable()
    table.report(0.0, "s1", {"a": 1})
    assert table.nearest(0.0, "s2", "z", str) == {"a": 1}
    table.report(0.01, "s1", {"a": 3})
    assert table.nearest(0.02, "s2", "z", str) == {"a": 1}
    assert table.nearest(SUMMED_S + 0.01, "s2", "z", str) == {"a": 3}


def test_calls_go_where_other_sidecars_have_few_until_that_is_old() -> None:
    async def test() -> None:
        crowded, idle = ScriptedEndpoint("i-0"), ScriptedEndpoint("i-1")
        bench = AdmissionHarness(crowded, idle)
        await bench.start(make_route("idempotent"))
        bench.admission.follow_others({"i-0": 8})
        for number in range(20):
            await bench.request(f"fresh{number}")
        assert len(crowded.requests) <= 2  # where a draw takes the same endpoint twice
        balancer = bench.admission._balancer
        assert balancer is not None
        states = balancer.endpoints
        assert states["i-0"].weight < states["i-1"].weight
        bench.admission._peer_calls_at_us -= PEER_CALLS_TTL_US + 1
        await bench.request("old")
        assert states["i-0"].weight == states["i-1"].weight
        bench.stop()

    asyncio.run(test())


def test_a_sidecar_tells_the_calls_that_it_has_out() -> None:
    async def test() -> None:
        bench = AdmissionHarness(ScriptedEndpoint("i-0"))
        await bench.start(make_route("idempotent"))
        sink = bench.send("a")
        assert bench.admission.calls_out() == {"i-0": 1}
        await sink.ended.wait()
        assert bench.admission.calls_out() == {}
        bench.stop()

    asyncio.run(test())


def _two_zone_harness() -> AdmissionHarness:
    return AdmissionHarness(
        *(ScriptedEndpoint(f"near-{number}") for number in range(5)),
        *(ScriptedEndpoint(f"far-{number}", zone="y") for number in range(5)),
    )


def _remote_request_count(bench: AdmissionHarness) -> int:
    return sum(len(e.requests) for e in bench.endpoints if e.zone == "y")


def test_calls_stay_in_the_zone_while_its_endpoints_have_places() -> None:
    async def test() -> None:
        bench = _two_zone_harness()
        await bench.start(make_route("idempotent"))
        bench.admission.follow_others(
            dict.fromkeys([e.identity for e in bench.endpoints if e.zone == "z"], 2)
        )
        for number in range(20):
            await bench.request(f"r{number}")
        assert _remote_request_count(bench) == 0
        bench.stop()

    asyncio.run(test())


def test_calls_go_to_another_zone_where_it_is_much_emptier() -> None:
    async def test() -> None:
        bench = _two_zone_harness()
        await bench.start(make_route("idempotent"))
        bench.admission.follow_others(
            dict.fromkeys([e.identity for e in bench.endpoints if e.zone == "z"], 7)
        )
        for number in range(20):
            await bench.request(f"r{number}")
        assert _remote_request_count(bench) == 20
        bench.stop()

    asyncio.run(test())


def test_calls_stay_in_a_full_zone_where_others_are_as_full() -> None:
    async def test() -> None:
        bench = _two_zone_harness()
        await bench.start(make_route("idempotent"))
        bench.admission.follow_others(dict.fromkeys([e.identity for e in bench.endpoints], 7))
        for number in range(20):
            await bench.request(f"r{number}")
        assert _remote_request_count(bench) == 0
        bench.stop()

    asyncio.run(test())


@pytest.mark.parametrize(
    "told",
    ["0,0,8", "-5,-1,8", "999999999999999999999,0,8", "nan,inf,8", "a,b", "", "7", "1e400,0,8", "0,0,0"],
)
def test_what_an_endpoint_tells_of_its_load_harms_nothing(told: str) -> None:
    """The draws go by calls that sidecars have out, which no endpoint can forge."""

    async def boast(request: EndpointRequest) -> None:
        request.send(request.answer(load=told))

    async def test() -> None:
        liar, honest = ScriptedEndpoint("i-0", boast), ScriptedEndpoint("i-1")
        bench = AdmissionHarness(liar, honest)
        await bench.start(make_route("idempotent"))
        bench.admission.follow_others({"i-0": 8})
        for number in range(20):
            sink = await bench.request(f"r{number}")
            assert sink.status == 200
        assert len(liar.requests) <= 2
        bench.admission.follow_others({})
        await bench.request("last")
        balancer = bench.admission._balancer
        assert balancer is not None
        assert balancer.endpoints["i-0"].weight == balancer.endpoints["i-1"].weight
        bench.stop()

    asyncio.run(test())


def test_few_endpoints_in_the_zone_are_no_ring_of_their_own() -> None:
    async def test() -> None:
        near = [ScriptedEndpoint(f"near-{number}") for number in range(MIN_LOCAL_ENDPOINTS - 1)]
        bench = AdmissionHarness(*near, *(ScriptedEndpoint(f"far-{number}", zone="y") for number in range(8)))
        await bench.start(make_route("idempotent"))
        for number in range(40):
            await bench.request(f"r{number}")
        assert _remote_request_count(bench) > 0
        bench.stop()

    asyncio.run(test())


def test_calls_of_others_weigh_little_while_places_are_free_and_much_where_they_run_out() -> None:
    activity = EndpointActivity()
    idle, some, half = (activity.load(0, others, 24) for others in (0, 2, 12))
    full = activity.load(0, 24, 24)
    assert some - idle == pytest.approx(2 * LOAD_PER_STREAM)
    assert half - idle < 1.0 < CONGESTION_LOAD * (1.0 - CONGESTION_UTILIZATION) < full - half
    assert activity.load(0, 24, 0) == pytest.approx(1.0 + 24 * LOAD_PER_STREAM)
