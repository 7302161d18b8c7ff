"""Capacity model: skew, sums, units, exceeded budgets and the sizes they break at, and the command."""

from __future__ import annotations

import json
import sys
import tomllib
from collections.abc import Collection
from pathlib import Path
from typing import Any

import msgspec
import pytest
import tomli_w
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from eiderhub.capacity import model, table
from eiderhub.capacity.fleet import Fleet, apportion, proportional
from eiderhub.capacity.model import CORES, CUT_REGION_DELAY, FOLLOWER, MAIN, MEMORY, PATH, SIDECAR
from eiderhub.capacity.slopes import SLOPE_DEFINITIONS, Slope, Slopes
from eiderhub.cli.__main__ import main
from eiderhub.documents import convert, load_document
from eiderhub.registry import adoption, client, core, follower, watches
from eiderhub.registry.config import Limits
from eiderhub.registry.settings import FollowSettings, RegisterSettings

ROOT = Path(__file__).parent.parent
FLEET = ROOT / "deploy" / "fleet.toml"
SLOPES_FILE = ROOT / "docs" / "capacity" / "slopes.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- capacity -->\n", "<!-- end -->"

# Example values, round so that they cannot be mistaken for measurements.
FIXED = {"us": 100.0, "ms": 0.1, "bytes": 1000.0, "mb": 50.0}
PER = {"us": 10.0, "ms": 0.01, "bytes": 100.0, "mb": 0.001}


def example_slopes(**fixed: float) -> Slopes:
    """Slopes of round numbers; `fixed` overrides fixed parts, by slope name with _ in place of the dot."""
    names = {name.replace(".", "_"): name for name in SLOPE_DEFINITIONS}
    overrides = {names[name]: value for name, value in fixed.items()}
    slopes = {
        name: Slope(
            unit=unit,
            fixed=overrides.get(name, FIXED[unit]),
            per=dict.fromkeys(drivers, PER[unit]),
            spread=0.1,
            sizes=dict.fromkeys(drivers, (1.0, 1000.0)),
            runs=["invented"],
        )
        for name, (unit, drivers, _) in SLOPE_DEFINITIONS.items()
    }
    return Slopes(revision="none", machine="invented", measured="never", slopes=slopes)


def zero_cost_slopes() -> Slopes:
    """Slopes that are all zero."""
    slopes = {
        name: Slope(unit=unit, fixed=0.0, spread=0.0, runs=["invented"])
        for name, (unit, _, _) in SLOPE_DEFINITIONS.items()
    }
    return Slopes(revision="none", machine="invented", measured="never", slopes=slopes)


def single_cost_slopes(name: str, fixed: float, **per: float) -> Slopes:
    """Slopes that are zero except for one."""
    slopes = dict(zero_cost_slopes().slopes)
    slopes[name] = structs.replace(slopes[name], fixed=fixed, per=per)
    return structs.replace(zero_cost_slopes(), slopes=slopes)


def default_fleet() -> Fleet:
    document, human_format = load_document(FLEET)
    return convert(document, Fleet, str(FLEET), human_format)


def compute_moments(fleet: Fleet, slopes: Slopes) -> model.Moments:
    return model.moments(fleet, model.Costs(slopes))


# --- skew ---


def test_default_fleet_matches_the_operators_figures() -> None:
    fleet = default_fleet()
    assert (fleet.endpoints, fleet.services, fleet.calls_per_s, fleet.depth) == (19_000, 1_300, 2.2e6, 21)
    assert len(fleet.regions) == 7 and len(fleet.zone_names()) == 19 and fleet.control.machines == 21
    assert fleet.budget.added_ms == 0.51 and fleet.budget.in_force_s == 16
    assert (fleet.budget.sidecar_cores, fleet.budget.sidecar_memory_mb) == (0.01, 128)
    assert fleet.budget.sidecar_bytes_per_s == 7000
    assert (fleet.day.configuration, fleet.day.machines_failed, fleet.day.replaced) == (10_000, 65, 1_300)
    assert set(fleet.region_by_zone) == set(fleet.zone_names())
    assert set(fleet.region_by_zone.values()) == set(fleet.regions)


def test_each_assumption_is_marked_on_its_line() -> None:
    """Each line not given by the operators is marked as assumed or as a default, unless it is a name."""
    given = {"endpoints", "services", "calls_per_s", "depth", "machines", "name"}
    given |= {"machines_failed", "replaced", "configuration", "racks_lost", "added_ms", "in_force_s"}
    given |= {"sidecar_cores", "sidecar_memory_mb", "sidecar_bytes_per_s"}
    shares = {"of_services", "of_endpoints", "of_followed"}  # "All three shares are assumed"
    text = FLEET.read_text(encoding="utf-8")
    assert "All three shares are assumed" in text
    section = ""
    for line in text.splitlines():
        if line.startswith("["):
            section = line.partition("#")[0].strip()
        key, equals, rest = line.partition(" = ")
        if not equals or key.startswith("#") or section in ("[regions]", "[list_service]"):
            continue
        known = key in given | shares and (section, key) != ("[follow]", "services")
        assert known or "assumed" in rest or "the default of" in rest, line


@st.composite
def fleets(draw: st.DrawFn) -> Fleet:
    """Consistent fleets of any size."""
    fleet = default_fleet()
    zones = draw(st.integers(1, 8))
    services = draw(st.integers(3, 2_000))
    endpoints = draw(st.integers(max(zones, services), 100_000))
    weights = [draw(st.integers(1, 50)) for _ in range(9)]
    service_classes = [
        structs.replace(
            row,
            of_services=weights[i] / sum(weights[:3]),
            of_endpoints=weights[3 + i] / sum(weights[3:6]),
            of_followed=weights[6 + i] / sum(weights[6:]),
        )
        for i, row in enumerate(fleet.sizes)
    ]
    return structs.replace(
        fleet,
        endpoints=endpoints,
        services=services,
        regions={"a": [f"z{i}" for i in range(zones)]},
        largest_zone=min(1.0, 1.5 / zones),
        sizes=service_classes,
        follow=structs.replace(fleet.follow, services=draw(st.integers(1, services))),
        year=structs.replace(fleet.year, endpoints_per_rack=1),
    )


@given(fleets())
@settings(max_examples=60, deadline=None, derandomize=True)
def test_service_sizes_and_callers_add_up_to_the_fleet(fleet: Fleet) -> None:
    sizes, callers = fleet.service_sizes(), fleet.caller_counts()
    assert len(sizes) == len(callers) == fleet.services
    assert sum(sizes) == fleet.endpoints and sizes == sorted(sizes, reverse=True) and sizes[-1] >= 1
    assert sum(callers) == fleet.endpoints * fleet.follow.services
    assert min(callers) >= 0 and max(callers) <= fleet.endpoints
    kinds = fleet.service_classes()
    assert sum(service_class.services for service_class in kinds) == fleet.services
    assert sum(service_class.services * service_class.size for service_class in kinds) == pytest.approx(
        fleet.endpoints
    )
    assert sum(service_class.followed for service_class in kinds) == pytest.approx(fleet.follow.services)
    for service_class in kinds:
        assert service_class.followed <= service_class.services * (1 + 1e-9)
        assert service_class.services * service_class.callers == pytest.approx(
            service_class.followed * fleet.endpoints
        )


def test_default_fleet_skew_is_applied() -> None:
    fleet = default_fleet()
    sizes, callers = fleet.service_sizes(), fleet.caller_counts()
    assert sum(sizes[:13]) == 3_800 and sizes[0] == 293 and sizes[-1] == 5
    assert callers[0] > 0.9 * fleet.endpoints and callers[-1] < 0.01 * fleet.endpoints


@given(st.integers(0, 10_000), st.lists(st.integers(1, 100), min_size=1, max_size=6))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_apportioned_parts_respect_bounds_and_total(total: int, weights: list[int]) -> None:
    least, most = [total // (2 * len(weights))] * len(weights), [total] * len(weights)
    parts = apportion(total, weights, least, most)
    assert sum(parts) == total and all(low <= part for low, part in zip(least, parts, strict=True))
    exact = proportional(total, weights, least, most)
    assert all(abs(a - b) <= 1 + 1e-6 for a, b in zip(parts, exact, strict=True))


# --- monotonicity ---


def with_increased(fleet: Fleet, key: str, factor: float) -> Fleet:
    """The fleet with the value at `key` (a dotted path in the file) multiplied by a factor."""
    table_name, _, name = key.rpartition(".")
    if not table_name:
        value = getattr(fleet, name)
        return structs.replace(fleet, **{name: type(value)(value * factor)})
    section = getattr(fleet, table_name)
    value = getattr(section, name)
    return structs.replace(
        fleet, **{table_name: structs.replace(section, **{name: type(value)(value * factor)})}
    )


LOADS = [
    "endpoints",
    "calls_per_s",
    "busiest",
    "depth",
    "follow.services",
    "day.configuration",
    "day.configuration_peak",
    "day.machines_failed",
    "day.replaced",
    "day.endpoints_per_machine",
    "day.releases",
    "year.region_cut_s",
    "year.endpoints_per_rack",
]


def assert_none_decreases(
    small: model.Moments, large: model.Moments, except_roles: Collection[str] = ()
) -> None:
    for before, after in ((small.calm, large.calm), (small.hour, large.hour)):
        for key, amount in before.items():
            assert key[0] in except_roles or after[key] >= amount * (1 - 1e-9), key
    for key, (amount, event) in small.minute.items():
        assert key[0] in except_roles or large.minute[key][0] >= amount * (1 - 1e-9), (key, event)


@pytest.mark.parametrize("key", LOADS)
@given(by=st.floats(1.0, 20.0), endpoints=st.integers(1_300, 60_000))
@settings(max_examples=15, deadline=None, derandomize=True)
def test_no_amount_decreases_as_an_input_increases(key: str, by: float, endpoints: int) -> None:
    fleet = default_fleet().scaled_to(endpoints)
    # With the same total calls, more endpoints have fewer calls each; no other amount decreases.
    but = {PATH} if key == "endpoints" else set()
    assert_none_decreases(
        compute_moments(fleet, example_slopes()),
        compute_moments(with_increased(fleet, key, by), example_slopes()),
        but,
    )


@given(st.lists(st.integers(1_300, 400_000), min_size=2, max_size=2))
@settings(max_examples=40, deadline=None, derandomize=True)
def test_no_amount_decreases_as_the_fleet_grows(sizes: list[int]) -> None:
    small, large = sorted(sizes)
    assert_none_decreases(
        compute_moments(default_fleet().scaled_to(small), example_slopes()),
        compute_moments(default_fleet().scaled_to(large), example_slopes()),
    )


@pytest.mark.parametrize("name", sorted(SLOPE_DEFINITIONS))
def test_each_slope_is_used_and_raises_an_amount(name: str) -> None:
    """Every slope is used, and a higher cost never lowers an amount."""
    costlier = example_slopes(**{name.replace(".", "_"): 50 * FIXED[SLOPE_DEFINITIONS[name][0]]})
    if name == "decisions.order":  # its fixed part is already included in path.call
        slope = structs.replace(costlier.slopes[name], per={"endpoint": 500.0})
        costlier = structs.replace(costlier, slopes=costlier.slopes | {name: slope})
    before, after = (
        compute_moments(default_fleet(), example_slopes()),
        compute_moments(default_fleet(), costlier),
    )
    assert_none_decreases(before, after)
    assert before != after


# --- sums and units ---


def test_renewals_are_counted_only_at_the_main_process() -> None:
    fleet, slopes = default_fleet(), single_cost_slopes("main.renewal", 100.0)
    found = compute_moments(fleet, slopes)
    renewals = fleet.endpoints / (fleet.follow.lease_s / 3 * 0.9)  # 21,111 per second
    assert found.calm[MAIN, CORES] == pytest.approx(renewals * 100e-6)
    assert found.calm[FOLLOWER, CORES] == found.calm[SIDECAR, CORES] == 0
    longer = structs.replace(fleet, follow=structs.replace(fleet.follow, lease_s=30.0))
    assert compute_moments(longer, slopes).calm[MAIN, CORES] == pytest.approx(renewals * 10e-6)


def test_each_change_is_sent_to_each_follower() -> None:
    fleet = default_fleet()
    day = structs.replace(fleet.day, configuration=86_400, replaced=0, machines_failed=0, releases=0)
    found = compute_moments(structs.replace(fleet, day=day), single_cost_slopes("main.feed", 1000.0))
    # One change per second to each of 21 followers, and one feed call per follower that returns no change.
    assert found.calm[MAIN, CORES] == pytest.approx((21 + 21) * 1000e-6)


def test_decision_cost_of_a_change_depends_on_its_list_length() -> None:
    fleet = default_fleet()
    day = structs.replace(fleet.day, configuration=0, replaced=0, machines_failed=0, releases=86_400)
    found = compute_moments(
        structs.replace(fleet, day=day), single_cost_slopes("decisions.delta", 0.0, endpoint=1.0)
    )
    # One release per second of an average service, which writes each of its 14.6 endpoints three times.
    per_endpoint = 3 * (fleet.endpoints / fleet.services) / fleet.endpoints
    expected_us = sum(
        service_class.followed * service_class.size * per_endpoint * service_class.size
        for service_class in fleet.service_classes()
    )
    assert found.calm[SIDECAR, CORES] == pytest.approx(expected_us / 1e6)


def test_a_sidecar_has_one_watch_per_followed_service() -> None:
    fleet = default_fleet()
    shape = model.FleetShape(fleet)
    assert shape.lists_per_sidecar == pytest.approx(30)
    assert shape.follower_sidecars == pytest.approx(19_000 * (0.08 + 2 * 0.92 / 18) / 3)
    found = compute_moments(fleet, zero_cost_slopes())
    assert found.calm[FOLLOWER, "watches"] == pytest.approx(30 * shape.follower_sidecars)
    # In total, sidecars that follow a list add up to lists that sidecars follow.
    assert sum(
        service_class.services * service_class.callers for service_class in shape.service_classes
    ) == pytest.approx(19_000 * 30)


def test_busiest_minute_names_its_largest_event() -> None:
    found = compute_moments(default_fleet(), example_slopes())
    shape, costs = model.FleetShape(default_fleet()), model.Costs(example_slopes())
    workloads = {
        name: work_of(shape, costs, 60.0) for name, work_of in model.event_workloads(default_fleet()).items()
    }
    writes = {name: work.writes for name, work in workloads.items()}
    assert writes[model.ZONE_LOST] == pytest.approx(0.08 * 19_000)
    assert writes[model.RELEASE] == pytest.approx(3 * 3_800 / 13 / 5)  # one minute of a release of five
    assert writes[model.RACK_LOST] == pytest.approx(40)
    assert max(writes, key=lambda name: writes[name]) == model.REGION_BACK
    assert found.minute[MAIN, CORES][1] == model.REGION_BACK
    assert found.minute[MAIN, "records"] == (19_000, "")  # the same for all events
    # Full lists.
    assert workloads[model.ZONE_RECONNECTS].follower_entries > workloads[model.ZONE_LOST].follower_entries


def test_events_that_never_occur_are_not_counted() -> None:
    fleet = default_fleet()
    without_rare_events = structs.replace(
        fleet, year=structs.replace(fleet.year, zones_lost=0, regions_cut=0, racks_lost=0)
    )
    assert set(model.event_workloads(without_rare_events)) == {model.RELEASE, model.ZONE_RECONNECTS}
    assert CUT_REGION_DELAY not in compute_moments(without_rare_events, zero_cost_slopes()).hour


def test_a_cut_region_receives_changes_only_after_it_reconnects() -> None:
    found = model.compute_capacity(default_fleet(), zero_cost_slopes())
    (figure,) = (one for one in found.figures if (one.role, one.resource) == CUT_REGION_DELAY)
    # After the cut, the minimum interval between notifications is 0.1 ms per watch.
    reduced_shape = model.FleetShape(default_fleet(), unavailable_machines=1)
    assert figure.hour == pytest.approx(240 + 1e-4 * reduced_shape.follower_sidecars)
    assert figure.calm is None and figure.holds is False
    assert figure.breaks_from == found.looked_at[0]


def test_an_overloaded_process_delays_notifications() -> None:
    key = (FOLLOWER, "until in force at the last")
    idle, overloaded = (
        compute_moments(default_fleet(), zero_cost_slopes()),
        compute_moments(default_fleet(), single_cost_slopes("main.renewal", 100.0)),
    )
    assert idle.calm[key] == 0 and idle.minute[key][0] < 1
    assert overloaded.calm[key] == pytest.approx((overloaded.calm[MAIN, CORES] - 1) * 3600)
    cores = overloaded.minute[MAIN, CORES][0]
    assert cores > 2 and overloaded.minute[key][0] == pytest.approx((cores - 1) * 60, abs=1)


def test_decisions_add_latency_only_above_one_percent_of_the_time() -> None:
    key = (PATH, "added to a call, 99 in 100")
    fleet = default_fleet()
    idle = single_cost_slopes("decisions.whole_list", 1e-6)
    assert compute_moments(fleet, idle).minute[key][0] == 0
    whole_us = 1e6  # one second for each of 30 lists is half of the minute in which a zone's sidecars start
    busy = compute_moments(fleet, single_cost_slopes("decisions.whole_list", whole_us))
    assert busy.calm[key] == 0
    added, event = busy.minute[key]
    assert added == pytest.approx(1000 * (1 - 0.01 / 0.5)) and event == model.ZONE_RECONNECTS


def test_figures_have_their_units() -> None:
    found = {
        (one.role, one.resource): one
        for one in model.compute_capacity(default_fleet(), example_slopes()).figures
    }
    assert found[SIDECAR, CORES].unit == "cores" and found[SIDECAR, MEMORY].unit == "MB"
    assert found[SIDECAR, "bytes"].unit == "bytes/s"
    assert found[FOLLOWER, "until in force at the last"].unit == "s"
    assert found[PATH, "added to a call, 99 in 100"].unit == "ms"
    assert found[SIDECAR, MEMORY].calm == pytest.approx(
        50 + 0.001 * model.FleetShape(default_fleet()).endpoints_per_sidecar
    )
    # 0.1 ms plus 0.01 ms per watcher of the follower, in seconds.
    watchers = model.FleetShape(default_fleet()).follower_sidecars
    last = compute_moments(default_fleet(), single_cost_slopes("spread.last", 0.1, watcher=0.01)).calm
    assert last[FOLLOWER, "until in force at the last"] == pytest.approx((0.1 + 0.01 * watchers) / 1000)
    assert found[PATH, "tries at the bottom, all levels retrying"].calm == pytest.approx(7.4, abs=0.01)


def test_model_constants_match_the_implementation() -> None:
    assert model.RENEW_INTERVAL_FRACTION == client.RENEW_INTERVAL_FRACTION
    assert model.MEAN_WAIT_FRACTION == (client.MIN_WAIT_FRACTION + 1) / 2
    assert (model.COALESCE_DELAY_US, model.INTERVAL_PER_WATCH_US) == (
        watches.COALESCE_DELAY_US,
        watches.INTERVAL_PER_WATCH_US,
    )
    assert model.FEED_WAIT_S == follower.FEED_WAIT_MS / 1000
    assert model.MAX_HISTORY_CHANGES == Limits().history == core.MAX_HISTORY_CHANGES
    fleet, follow = default_fleet(), FollowSettings(addresses=["127.0.0.1:1"])
    register = RegisterSettings(id="a", address="127.0.0.1:1")
    assert fleet.follow.lease_s * 1000 == register.lease_ms
    assert fleet.follow.watch_wait_s == follow.wait_s
    assert fleet.follow.calls_per_s == follow.calls_per_s == adoption.MAX_FLEET_CALLS_PER_S
    limits = Limits()
    assert (fleet.list_service.callers, fleet.list_service.watches) == (limits.callers, limits.watches)
    assert fleet.list_service.records == limits.records


# --- exceeded budgets ---


def test_each_budget_breaks_at_the_reported_size() -> None:
    fleet, slopes = default_fleet(), example_slopes()
    found = model.compute_capacity(fleet, slopes)
    low, high = found.looked_at
    assert low == 1_300
    seen = set()
    for one in found.figures:
        key = (one.role, one.resource)
        if one.budget is None:
            assert one.breaks_from is None and one.holds is None
            continue
        seen.add((one.holds, one.breaks_from is None, one.breaks_from == low))

        def worst(endpoints: int, key: tuple[str, str] = key) -> float:
            return model.worst_amount(compute_moments(fleet.scaled_to(endpoints), slopes), key)

        assert one.worst[0] == worst(fleet.endpoints)
        if one.breaks_from is None:
            assert worst(high) <= one.budget
            continue
        assert worst(one.breaks_from) > one.budget
        if one.breaks_from > low:
            assert worst(one.breaks_from - 1) <= one.budget
        assert one.holds == (one.breaks_from > fleet.endpoints)
    # Every service_class of verdict occurs, so that the checks above cover each.
    assert seen >= {(False, False, True), (False, False, False), (True, False, False)}


def test_size_at_which_renewals_saturate_the_main_process() -> None:
    found = model.compute_capacity(default_fleet(), single_cost_slopes("main.renewal", 100.0))
    (figure,) = (one for one in found.figures if (one.role, one.resource) == (MAIN, CORES))
    # 1.11 renewals per second and endpoint at 100 us each: 9,000 endpoints use one core, and slightly fewer
    # with a region's refused renewals in the same minute.
    renewals_per_endpoint = 1 / 0.9 + (0.08 + 2 * 0.92 / 18) / 60
    assert figure.breaks_from == int(1e4 / renewals_per_endpoint) + 1
    assert figure.holds is False and figure.event == model.REGION_BACK


def test_costs_per_record_raise_the_main_process_load() -> None:
    """The slopes of idling and of writes may depend on the number of records."""
    for name in ("main.idle", "main.write"):
        costs = model.Costs(single_cost_slopes(name, 100.0))
        without_records = model.moments(default_fleet(), costs).minute[MAIN, CORES][0]
        costs.slopes = costs.slopes | {name: structs.replace(costs.slopes[name], per={"record": 1.0})}
        with_records = model.moments(default_fleet(), costs).minute[MAIN, CORES][0]
        assert with_records == pytest.approx(without_records * (100 + 19_000) / 100)


def test_main_connections_break_at_the_callers_limit() -> None:
    found = {
        (one.role, one.resource): one
        for one in model.compute_capacity(default_fleet(), zero_cost_slopes()).figures
    }
    assert found[MAIN, "connections"].breaks_from == 5000 - 21 + 1
    assert found[FOLLOWER, "watches"].holds is False


@given(st.integers(1, 1000), st.integers(0, 1000), st.integers(0, 1100))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_the_first_break_is_found(low: int, more: int, at: int) -> None:
    found = model.first_break(lambda size: size >= at, low, low + more)
    assert found == (max(low, at) if at <= low + more else None)


def test_use_beyond_the_measured_range_is_reported() -> None:
    found = model.compute_capacity(default_fleet(), example_slopes())
    beyond = {(one.slope, one.driver) for one in found.used if one.extrapolated}
    assert ("main.memory", "record") in beyond  # used at 19,000, measured up to 1,000
    assert ("decisions.delta", "endpoint") not in beyond  # used at 292
    for one in found.used:
        assert one.driver in SLOPE_DEFINITIONS[one.slope][1]


# --- tables ---


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (0, "0"), (0.0000123, "0.0000123"), (0.0116, "0.0116"), (1, "1"), (14.615, "14.6"), (99.96, "100"),
        (292.3, "292"), (999.6, "1,000"), (17_538.46, "17,538"), (1e9, "1,000,000,000"), (0.5100001, "0.51"),
    ],
)  # fmt: skip
def test_number_format(value: float, text: str) -> None:
    assert table.format_number(value) == text


def test_tables_are_complete_and_aligned() -> None:
    fleet, slopes = default_fleet(), example_slopes()
    found = model.compute_capacity(fleet, slopes)
    text = table.render_page(fleet, slopes, found)
    for one in found.figures:
        assert f"| {one.resource}" in text
    assert all(f"| {name} " in text for name in SLOPE_DEFINITIONS)
    for block in text.split("\n\n"):
        lines = block.strip().splitlines()
        if lines[0].startswith("|"):
            assert len({line.count("|") for line in lines}) == 1 and len({len(line) for line in lines}) == 1
    order = [
        int(line.split("|")[1].replace(",", ""))
        for line in table.broken_budgets_table(found).splitlines()[2:]
    ]
    assert order == sorted(order) and len(order) == sum(one.holds is False for one in found.figures)


def test_message_when_every_budget_holds() -> None:
    fleet = default_fleet()
    limits = structs.replace(fleet.list_service, callers=10**7, watches=10**7, records=10**7)
    unconstrained = structs.replace(
        fleet, list_service=limits, year=structs.replace(fleet.year, regions_cut=0)
    )
    found = model.compute_capacity(unconstrained, zero_cost_slopes())
    assert table.broken_budgets_table(found) == "Every budget holds."


# --- the command ---


def write_options(tmp_path: Path, slopes: Slopes | None = None, **changed: Any) -> list[str]:
    """Write a fleet and slopes to files and return the options that name them.

    Args:
        changed: Values of fleet keys, written as `table__key`; None removes the key.
    """
    document = tomllib.loads(FLEET.read_text(encoding="utf-8"))
    for path, value in changed.items():
        table_key, _, key = path.rpartition("__")
        section = document[table_key] if table_key else document
        if value is None:
            del section[key]
        else:
            section[key] = value
    (tmp_path / "fleet.toml").write_text(tomli_w.dumps(document), encoding="utf-8")
    (tmp_path / "slopes.json").write_bytes(msgspec.json.encode(slopes or example_slopes()))
    return ["--fleet", str(tmp_path / "fleet.toml"), "--slopes", str(tmp_path / "slopes.json")]


def run_command(monkeypatch: pytest.MonkeyPatch, *words: str) -> int:
    monkeypatch.setattr(sys, "argv", ["ottercleat", "capacity", *words])
    return main()


def test_command_prints_tables_and_writes_the_same_figures_as_json(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    options = write_options(tmp_path)
    file = tmp_path / "figures.json"
    assert run_command(monkeypatch, *options, "--json", str(file)) == 1  # budgets break
    out, err = capfd.readouterr()
    fleet, slopes = default_fleet(), example_slopes()
    assert out == table.render_page(fleet, slopes, model.compute_capacity(fleet, slopes)) and err == ""
    document = json.loads(file.read_text(encoding="utf-8"))
    assert len(document["figures"]) == len(model.compute_capacity(fleet, slopes).figures)
    assert {one["holds"] for one in document["figures"]} == {True, False, None}
    assert run_command(monkeypatch, *options, "--json", "-") == 1
    assert json.loads(capfd.readouterr().out) == document


def test_exit_status_is_0_when_every_budget_holds(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    limits = {"callers": 10**7, "watches": 10**7, "records": 10**7}
    options = write_options(tmp_path, zero_cost_slopes(), list_service=limits, year__regions_cut=0)
    assert run_command(monkeypatch, *options) == 0
    assert "Every budget holds." in capfd.readouterr().out


SIZES = [
    {"name": "a", "of_services": 0.5, "of_endpoints": 0.5, "of_followed": 0.5},
    {"name": "b", "of_services": 0.5, "of_endpoints": 0.4, "of_followed": 0.5},
]


@pytest.mark.parametrize(
    ("changed", "expected"),
    [
        ({"endpoints": 0}, "endpoints: must be a whole number >= 1"),
        ({"endpoints": 10**9}, "endpoints: must be a whole number <= 10000000"),
        ({"endpoints": "many"}, "endpoints: must be a whole number"),
        ({"services": 0}, "services: must be a whole number >= 1"),
        ({"services": 20_000},
         "services: 20000 services for 19000 endpoints; each service needs at least one"),
        ({"endpoints": 10, "services": 10}, "regions: 19 zones for 10 endpoints; each zone needs"),
        ({"regions": {}}, "regions: empty; list at least one region"),
        ({"regions": {"north": ["n1"], "south": []}},
         "regions.south: has no zones; list its zones, or remove"),
        ({"regions": {"north": ["n1"], "south": ["n1"]}}, "regions.south: zone n1 is listed in north and in"),
        ({"regions": {"north": ["n1", "n1"]}}, "regions.north: zone n1 is listed in north twice; remove"),
        ({"sizes": SIZES}, "sizes: the shares of_endpoints add up to 0.9; they must add up to 1"),
        ({"sizes": [SIZES[0] | {"name": "b"}, SIZES[1]]}, "sizes: duplicate row name b; rename one"),
        ({"sizes": []}, "sizes: must be a list of length >= 1"),
        ({"sizes": [SIZES[0] | {"of_services": 0}]}, "sizes[0].of_services: must be"),
        ({"sizes": [SIZES[0] | {"of_calls": 0.5}]}, "sizes[0].of_calls: unknown key"),
        ({"services": 2, "follow__services": 1}, "sizes: 3 rows for 2 services; each row needs at least one"),
        ({"follow__services": 1_400},
         "follow.services: 1400 lists followed, but there are only 1300 services"),
        ({"largest_zone": 0.01}, "largest_zone: 19 zones can't all be that small; at least 0.0526"),
        ({"control__machines": 6}, "control.machines: 6 for 7 regions; each region needs at least one"),
        ({"control__away": 3}, "control.away: a region has 3 control machines; must be at most 2"),
        ({"year__endpoints_per_rack": 20_000}, "year.endpoints_per_rack: more than the 19000 endpoints"),
        ({"follow__lease_s": 0}, "follow.lease_s: must be"),
        ({"follow__lease_s": float("nan")}, "follow.lease_s: must be"),
        ({"calls_per_s": float("inf")}, "calls_per_s: must be"),
        ({"depth": None}, "depth: missing"),
        ({"release__shares": 1.0}, "release.shares: unknown key; did you mean share?"),
        ({"budget__added_ms": -1}, "budget.added_ms: must be"),
    ],
)  # fmt: skip
def test_an_invalid_fleet_gives_a_one_line_error(
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
    tmp_path: Path,
    changed: dict[str, Any],
    expected: str,
) -> None:
    options = write_options(tmp_path, **changed)
    assert run_command(monkeypatch, *options) == 2
    out, err = capfd.readouterr()
    assert out == "" and err.count("\n") == 1, err
    assert f"{options[1]}: {expected}" in err


def test_all_faults_of_a_fleet_are_reported(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    assert (
        run_command(monkeypatch, *write_options(tmp_path, endpoints=0, follow__lease_s=-1, depth=None)) == 2
    )
    err = capfd.readouterr().err
    assert err.count("\n") == 3
    assert all(f"fleet.toml: {key}: " in err for key in ("endpoints", "follow.lease_s", "depth"))


def to_builtins(slopes: Slopes) -> dict[str, Any]:
    document = msgspec.to_builtins(slopes)
    assert isinstance(document, dict)
    return document


def _slopes_with(name: str, **changed: Any) -> dict[str, Any]:
    document = to_builtins(example_slopes())
    slope = document["slopes"][name]
    slope.update(changed)
    document["slopes"][name] = {key: value for key, value in slope.items() if value is not None}
    return document


def _slopes_with_extra(name: str) -> dict[str, Any]:
    document = to_builtins(example_slopes())
    document["slopes"][name] = document["slopes"]["main.feed"]
    return document


def _slopes_without(name: str) -> dict[str, Any]:
    document = to_builtins(example_slopes())
    del document["slopes"][name]
    return document


@pytest.mark.parametrize(
    ("document", "expected"),
    [
        (_slopes_without("main.feed"), "slopes.main.feed: missing; measure it with `ottercleat bench`"),
        (_slopes_with("main.feed", unit="ms"), "slopes.main.feed.unit: must be 'us'"),
        (_slopes_with("main.feed", per={"mile": 1.0}),
         "slopes.main.feed.per.mile: unknown driver; allowed: nothing"),
        (_slopes_with("decisions.delta", per={"entry": 1.0}),
         "slopes.decisions.delta.per.entry: unknown driver; allowed"),
        (_slopes_with("main.feed", fixed=-1), "slopes.main.feed.fixed: must be"),
        (_slopes_with("main.feed", fixed="dear"), "slopes.main.feed.fixed: must be a number"),
        (_slopes_with("main.feed", fixed=None), "slopes.main.feed.fixed: missing"),
        (_slopes_with("main.feed", runs=[]), "slopes.main.feed.runs: must be a list of length >= 1"),
        (_slopes_with("main.feed", colour="red"), "slopes.main.feed.colour: unknown key"),
        (_slopes_with_extra("main.fed"), "slopes.main.fed: unknown slope; remove it"),
        (to_builtins(example_slopes()) | {"slopes": {"main.feed": 1}},
         "slopes.main.feed: must be a table, not 1"),
        (to_builtins(example_slopes()) | {"slopes": []}, "slopes: must be a table"),
        ({"slopes": {}}, "revision: missing"),
        ([], "must be a table"),
        (None, "must be a table"),
    ],
)  # fmt: skip
def test_invalid_slopes_give_a_one_line_error(
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
    tmp_path: Path,
    document: Any,
    expected: str,
) -> None:
    options = write_options(tmp_path)
    Path(options[3]).write_text(json.dumps(document), encoding="utf-8")
    assert run_command(monkeypatch, *options) == 2
    out, err = capfd.readouterr()
    assert out == "" and "Traceback" not in err
    assert f"{options[3]}: {expected}" in err


def test_missing_or_malformed_files_give_a_plain_error(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    fleet, slopes = write_options(tmp_path)[1::2]
    broken = tmp_path / "broken.json"
    broken.write_text('{"slopes": ', encoding="utf-8")
    for options, expected in (
        (["--fleet", "none.toml", "--slopes", slopes], "none.toml: no such file; name another with --fleet"),
        (["--fleet", fleet, "--slopes", "none.json"], "none.json: no such file; measure them with"),
        (["--fleet", str(tmp_path), "--slopes", slopes], f"{tmp_path}: Is a directory"),
        (["--fleet", fleet, "--slopes", str(broken)], f"{broken}: no JSON: "),
        (["--fleet", str(broken), "--slopes", slopes], f"{broken}: no JSON: "),
        (["--fleet", fleet, "--slopes", slopes, "--json", "no/such/x.json"], "there is no folder no/such"),
        (["--flet", fleet], "No such option"),
    ):
        assert run_command(monkeypatch, *options) == 2
        out, err = capfd.readouterr()
        assert out == "" and expected in err and "Traceback" not in err


def test_default_files_are_those_of_the_repository(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    from eiderhub.cli import capacity

    (tmp_path / "deploy").mkdir()
    monkeypatch.setattr(capacity, "REPOSITORY", tmp_path)
    assert run_command(monkeypatch) == 2
    assert f"{tmp_path / capacity.DEFAULT_FLEET}: no such file; name another" in capfd.readouterr().err
    (tmp_path / capacity.DEFAULT_FLEET).write_bytes(FLEET.read_bytes())
    assert run_command(monkeypatch) == 2
    assert f"{tmp_path / capacity.DEFAULT_SLOPES}: no such file; measure them" in capfd.readouterr().err


def test_the_page_contains_the_output_of_the_command(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """Both files are those of the repository; after a change, paste the output between the markers."""
    assert SLOPES_FILE.is_file(), f"{SLOPES_FILE}: missing; measure it with `ottercleat bench slopes`"
    assert run_command(monkeypatch) in (0, 1)
    text = PAGE.read_text(encoding="utf-8")
    assert text.count(BEGIN) == 1 and text.count(END) == 1
    assert text.partition(BEGIN)[2].partition(END)[0] == capfd.readouterr().out
