"""Calls in flight by endpoint, shared between sidecars: sums, expiry, and their effect on load balancing."""

from __future__ import annotations

import asyncio

import pytest

from eiderhub.control.load import MAX_ENDPOINTS_PER_UPDATE, REPORT_TTL_S, TOTALS_TTL_S, LoadTable
from eiderhub.dataplane.activity import (
    CONGESTION_LOAD,
    CONGESTION_UTILIZATION,
    LOAD_PER_STREAM,
    EndpointActivity,
)
from eiderhub.dataplane.admission import MIN_LOCAL_ENDPOINTS, PEER_CALLS_TTL_US
from tests.endpoint_support import AdmissionHarness, EndpointRequest, ScriptedEndpoint, make_route


def test_each_session_gets_the_calls_in_flight_of_all_others() -> None:
    table = LoadTable()
    table.report(0.0, "s1", {"a": 2, "b": 1})
    table.report(0.1, "s2", {"a": 1})
    assert table.local(0.2) == {"a": 3, "b": 1}
    assert table.total_excluding(0.2, "s1") == {"a": 1}
    assert table.total_excluding(0.2, "s2") == {"a": 2, "b": 1}
    assert table.total_excluding(0.2, "new") == {"a": 3, "b": 1}


def test_report_replaces_the_previous_one() -> None:
    table = LoadTable()
    table.report(0.0, "s1", {"a": 2})
    table.report(0.2, "s1", {"b": 1})
    assert table.local(0.2) == {"b": 1}
    table.remove("s1")
    table.remove("s1")
    assert table.local(0.2) == {}


def test_old_report_of_a_session_does_not_count() -> None:
    table = LoadTable()
    table.report(0.0, "s1", {"a": 2})
    table.report(0.5, "s2", {"a": 1})
    assert table.total_excluding(REPORT_TTL_S + 0.1, "new") == {"a": 1}


def test_calls_of_other_nodes_are_added_while_the_report_is_fresh() -> None:
    table = LoadTable()
    table.report(0.0, "s1", {"a": 1})
    table.report_remote(0.0, {"a": 4, "c": 2})
    assert table.total_excluding(0.1, "s1") == {"a": 4, "c": 2}
    assert table.local(0.1) == {"a": 1}
    assert table.total_excluding(REPORT_TTL_S + 0.1, "s1") == {}


def test_counts_that_are_not_positive_are_ignored() -> None:
    table = LoadTable()
    table.report(0.0, "s1", {"a": -5, "b": 0, "c": 1})
    assert table.total_excluding(0.1, "s2") == {"c": 1}


def test_size_limited_update_lists_endpoints_of_the_own_zone_first() -> None:
    calls = {f"e{number}": 1 for number in range(3 * MAX_ENDPOINTS_PER_UPDATE)}
    zones = {endpoint: "near" if int(endpoint[1:]) % 3 == 0 else "far" for endpoint in calls}
    table = LoadTable()
    table.report(0.0, "s1", calls)
    listed = table.zone_total_excluding(0.0, "s2", "near", zones.__getitem__)
    assert len(listed) == MAX_ENDPOINTS_PER_UPDATE
    assert all(zones[endpoint] == "near" for endpoint in listed)
    assert table.zone_total_excluding(0.0, "s1", "near", zones.__getitem__) == {}


def test_sum_over_all_sessions_is_cached_for_a_limited_time() -> None:
    table = LoadTable()
    table.report(0.0, "s1", {"a": 1})
    assert table.zone_total_excluding(0.0, "s2", "z", str) == {"a": 1}
    table.report(0.01, "s1", {"a": 3})
    assert table.zone_total_excluding(0.02, "s2", "z", str) == {"a": 1}
    assert table.zone_total_excluding(TOTALS_TTL_S + 0.01, "s2", "z", str) == {"a": 3}


def test_calls_avoid_endpoints_busy_with_peers_calls_until_the_report_expires() -> None:
    async def test() -> None:
        busy, idle = ScriptedEndpoint("i-0"), ScriptedEndpoint("i-1")
        harness = AdmissionHarness(busy, idle)
        await harness.start(make_route("idempotent"))
        harness.admission.update_peer_calls({"i-0": 8})
        for number in range(20):
            await harness.request(f"fresh{number}")
        assert len(busy.requests) <= 2  # where the balancer picks the same endpoint as both candidates
        balancer = harness.admission._balancer
        assert balancer is not None
        states = balancer.endpoints
        assert states["i-0"].weight < states["i-1"].weight
        harness.admission._peer_calls_at_us -= PEER_CALLS_TTL_US + 1
        await harness.request("old")
        assert states["i-0"].weight == states["i-1"].weight
        harness.stop()

    asyncio.run(test())


def test_sidecar_reports_its_calls_in_flight() -> None:
    async def test() -> None:
        harness = AdmissionHarness(ScriptedEndpoint("i-0"))
        await harness.start(make_route("idempotent"))
        sink = harness.send("a")
        assert harness.admission.calls_in_flight() == {"i-0": 1}
        await sink.ended.wait()
        assert harness.admission.calls_in_flight() == {}
        harness.stop()

    asyncio.run(test())


def _two_zone_harness() -> AdmissionHarness:
    return AdmissionHarness(
        *(ScriptedEndpoint(f"near-{number}") for number in range(5)),
        *(ScriptedEndpoint(f"far-{number}", zone="y") for number in range(5)),
    )


def _remote_request_count(harness: AdmissionHarness) -> int:
    return sum(len(e.requests) for e in harness.endpoints if e.zone == "y")


def test_calls_stay_in_the_zone_while_its_endpoints_have_capacity() -> None:
    async def test() -> None:
        harness = _two_zone_harness()
        await harness.start(make_route("idempotent"))
        harness.admission.update_peer_calls(
            dict.fromkeys([e.identity for e in harness.endpoints if e.zone == "z"], 2)
        )
        for number in range(20):
            await harness.request(f"r{number}")
        assert _remote_request_count(harness) == 0
        harness.stop()

    asyncio.run(test())


def test_calls_go_to_another_zone_that_is_much_less_loaded() -> None:
    async def test() -> None:
        harness = _two_zone_harness()
        await harness.start(make_route("idempotent"))
        harness.admission.update_peer_calls(
            dict.fromkeys([e.identity for e in harness.endpoints if e.zone == "z"], 7)
        )
        for number in range(20):
            await harness.request(f"r{number}")
        assert _remote_request_count(harness) == 20
        harness.stop()

    asyncio.run(test())


def test_calls_stay_in_a_full_zone_if_other_zones_are_as_full() -> None:
    async def test() -> None:
        harness = _two_zone_harness()
        await harness.start(make_route("idempotent"))
        harness.admission.update_peer_calls(dict.fromkeys([e.identity for e in harness.endpoints], 7))
        for number in range(20):
            await harness.request(f"r{number}")
        assert _remote_request_count(harness) == 0
        harness.stop()

    asyncio.run(test())


@pytest.mark.parametrize(
    "load_header",
    ["0,0,8", "-5,-1,8", "999999999999999999999,0,8", "nan,inf,8", "a,b", "", "7", "1e400,0,8", "0,0,0"],
)
def test_load_header_of_an_endpoint_is_ignored(load_header: str) -> None:
    """Load balancing uses the sidecars' own calls in flight, which no endpoint can forge."""

    async def report_load(request: EndpointRequest) -> None:
        request.send(request.answer(load=load_header))

    async def test() -> None:
        forging, honest = ScriptedEndpoint("i-0", report_load), ScriptedEndpoint("i-1")
        harness = AdmissionHarness(forging, honest)
        await harness.start(make_route("idempotent"))
        harness.admission.update_peer_calls({"i-0": 8})
        for number in range(20):
            sink = await harness.request(f"r{number}")
            assert sink.status == 200
        assert len(forging.requests) <= 2
        harness.admission.update_peer_calls({})
        await harness.request("last")
        balancer = harness.admission._balancer
        assert balancer is not None
        assert balancer.endpoints["i-0"].weight == balancer.endpoints["i-1"].weight
        harness.stop()

    asyncio.run(test())


def test_zone_with_few_endpoints_is_merged_with_other_zones() -> None:
    async def test() -> None:
        near = [ScriptedEndpoint(f"near-{number}") for number in range(MIN_LOCAL_ENDPOINTS - 1)]
        harness = AdmissionHarness(
            *near, *(ScriptedEndpoint(f"far-{number}", zone="y") for number in range(8))
        )
        await harness.start(make_route("idempotent"))
        for number in range(40):
            await harness.request(f"r{number}")
        assert _remote_request_count(harness) > 0
        harness.stop()

    asyncio.run(test())


def test_peers_calls_add_little_load_until_the_endpoint_is_congested() -> None:
    activity = EndpointActivity()
    idle, some, half = (activity.load(0, peer_calls, 24) for peer_calls in (0, 2, 12))
    full = activity.load(0, 24, 24)
    assert some - idle == pytest.approx(2 * LOAD_PER_STREAM)
    assert half - idle < 1.0 < CONGESTION_LOAD * (1.0 - CONGESTION_UTILIZATION) < full - half
    assert activity.load(0, 24, 0) == pytest.approx(1.0 + 24 * LOAD_PER_STREAM)
