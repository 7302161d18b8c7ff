"""What a fleet needs: skew, sums, units, what breaks and at which size, and the command around it."""

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
from eiderhub.capacity.model import CORES, CUT_OFF, FOLLOWER, MAIN, MEMORY, PATH, SIDECAR
from eiderhub.capacity.slopes import KNOWN, Slope, Slopes
from eiderhub.cli.__main__ import main
from eiderhub.documents import convert, load_document
from eiderhub.registry import adoption, client, core, follower, watches
from eiderhub.registry.config import Limits
from eiderhub.registry.settings import FollowSettings, RegisterSettings

ROOT = Path(__file__).parent.parent
FLEET = ROOT / "deploy" / "fleet.toml"
MEASURED = ROOT / "docs" / "capacity" / "slopes.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- capacity -->\n", "<!-- end -->"

# Invented, and round so that it shows: no measurement.
FIXED = {"us": 100.0, "ms": 0.1, "bytes": 1000.0, "mb": 50.0}
PER = {"us": 10.0, "ms": 0.01, "bytes": 100.0, "mb": 0.001}


def invented(**fixed: float) -> Slopes:
    """Slopes of round numbers; `fixed` replaces a slope's fixed part, its name with _ for the dot."""
    names = {name.replace(".", "_"): name for name in KNOWN}
    told = {names[name]: value for name, value in fixed.items()}
    slopes = {
        name: Slope(
            unit=unit,
            fixed=told.get(name, FIXED[unit]),
            per=dict.fromkeys(drivers, PER[unit]),
            spread=0.1,
            sizes=dict.fromkeys(drivers, (1.0, 1000.0)),
            runs=["invented"],
        )
        for name, (unit, drivers, _) in KNOWN.items()
    }
    return Slopes(revision="none", machine="invented", measured="never", slopes=slopes)


def free() -> Slopes:
    """Nothing costs anything."""
    found = {
        name: Slope(unit=unit, fixed=0.0, spread=0.0, runs=["invented"])
        for name, (unit, _, _) in KNOWN.items()
    }
    return Slopes(revision="none", machine="invented", measured="never", slopes=found)


def costing(name: str, fixed: float, **per: float) -> Slopes:
    """Only this costs anything."""
    slopes = dict(free().slopes)
    slopes[name] = structs.replace(slopes[name], fixed=fixed, per=per)
    return structs.replace(free(), slopes=slopes)


def stated() -> Fleet:
    document, people = load_document(FLEET)
    return convert(document, Fleet, str(FLEET), people)


def moments(fleet: Fleet, slopes: Slopes) -> model.Moments:
    return model.moments(fleet, model.Costs(slopes))


# --- skew ---


def test_the_stated_fleet_is_the_operators() -> None:
    fleet = stated()
    assert (fleet.endpoints, fleet.services, fleet.calls_per_s, fleet.depth) == (19_000, 1_300, 2.2e6, 21)
    assert len(fleet.regions) == 7 and len(fleet.zone_names()) == 19 and fleet.control.machines == 21
    assert fleet.budget.added_ms == 0.51 and fleet.budget.in_force_s == 16
    assert (fleet.budget.sidecar_cores, fleet.budget.sidecar_memory_mb) == (0.01, 128)
    assert fleet.budget.sidecar_bytes_per_s == 7000
    assert (fleet.day.configuration, fleet.day.machines_failed, fleet.day.replaced) == (10_000, 65, 1_300)
    assert set(fleet.region_of) == set(fleet.zone_names())
    assert set(fleet.region_of.values()) == set(fleet.regions)


def test_each_assumption_is_marked_on_its_line() -> None:
    """What the operators' figures give; all else is assumed, follows from the code, or is a name."""
    theirs = {"endpoints", "services", "calls_per_s", "depth", "machines", "name"}
    theirs |= {"machines_failed", "replaced", "configuration", "racks_lost", "added_ms", "in_force_s"}
    theirs |= {"sidecar_cores", "sidecar_memory_mb", "sidecar_bytes_per_s"}
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
        known = key in theirs | shares and (section, key) != ("[follow]", "services")
        assert known or "assumed" in rest or "the default of" in rest, line


@st.composite
def fleets(draw: st.DrawFn) -> Fleet:
    """Coherent fleets of any size."""
    fleet = stated()
    zones = draw(st.integers(1, 8))
    services = draw(st.integers(3, 2_000))
    endpoints = draw(st.integers(max(zones, services), 100_000))
    weights = [draw(st.integers(1, 50)) for _ in range(9)]
    rows = [
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
        sizes=rows,
        follow=structs.replace(fleet.follow, services=draw(st.integers(1, services))),
        year=structs.replace(fleet.year, endpoints_per_rack=1),
    )


@given(fleets())
@settings(max_examples=60, deadline=None, derandomize=True)
def test_skew_sums_to_the_fleet(fleet: Fleet) -> None:
    sizes, callers = fleet.service_sizes(), fleet.caller_counts()
    assert len(sizes) == len(callers) == fleet.services
    assert sum(sizes) == fleet.endpoints and sizes == sorted(sizes, reverse=True) and sizes[-1] >= 1
    assert sum(callers) == fleet.endpoints * fleet.follow.services
    assert min(callers) >= 0 and max(callers) <= fleet.endpoints
    kinds = fleet.kinds()
    assert sum(kind.services for kind in kinds) == fleet.services
    assert sum(kind.services * kind.size for kind in kinds) == pytest.approx(fleet.endpoints)
    assert sum(kind.followed for kind in kinds) == pytest.approx(fleet.follow.services)
    for kind in kinds:
        assert kind.followed <= kind.services * (1 + 1e-9)
        assert kind.services * kind.callers == pytest.approx(kind.followed * fleet.endpoints)


def test_the_skew_is_the_one_that_is_stated() -> None:
    fleet = stated()
    sizes, callers = fleet.service_sizes(), fleet.caller_counts()
    assert sum(sizes[:13]) == 3_800 and sizes[0] == 293 and sizes[-1] == 5
    assert callers[0] > 0.9 * fleet.endpoints and callers[-1] < 0.01 * fleet.endpoints


@given(st.integers(0, 10_000), st.lists(st.integers(1, 100), min_size=1, max_size=6))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_parts_keep_their_bounds_and_sum(total: int, weights: list[int]) -> None:
    least, most = [total // (2 * len(weights))] * len(weights), [total] * len(weights)
    parts = apportion(total, weights, least, most)
    assert sum(parts) == total and all(low <= part for low, part in zip(least, parts, strict=True))
    exact = proportional(total, weights, least, most)
    assert all(abs(a - b) <= 1 + 1e-6 for a, b in zip(parts, exact, strict=True))


# --- monotone ---


def grown(fleet: Fleet, key: str, by: float) -> Fleet:
    """The fleet with more of what `key` (a path in the file) counts."""
    table_name, _, name = key.rpartition(".")
    if not table_name:
        value = getattr(fleet, name)
        return structs.replace(fleet, **{name: type(value)(value * by)})
    part = getattr(fleet, table_name)
    value = getattr(part, name)
    return structs.replace(fleet, **{table_name: structs.replace(part, **{name: type(value)(value * by)})})


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


def all_not_less(small: model.Moments, large: model.Moments, but: Collection[str] = ()) -> None:
    for before, after in ((small.calm, large.calm), (small.hour, large.hour)):
        for key, amount in before.items():
            assert key[0] in but or after[key] >= amount * (1 - 1e-9), key
    for key, (amount, event) in small.minute.items():
        assert key[0] in but or large.minute[key][0] >= amount * (1 - 1e-9), (key, event)


@pytest.mark.parametrize("key", LOADS)
@given(by=st.floats(1.0, 20.0), endpoints=st.integers(1_300, 60_000))
@settings(max_examples=15, deadline=None, derandomize=True)
def test_nothing_falls_as_a_count_grows(key: str, by: float, endpoints: int) -> None:
    fleet = stated().sized(endpoints)
    # More endpoints with the same calls are fewer calls for each: that alone falls.
    but = {PATH} if key == "endpoints" else set()
    all_not_less(moments(fleet, invented()), moments(grown(fleet, key, by), invented()), but)


@given(st.lists(st.integers(1_300, 400_000), min_size=2, max_size=2))
@settings(max_examples=40, deadline=None, derandomize=True)
def test_nothing_falls_as_the_fleet_grows(sizes: list[int]) -> None:
    small, large = sorted(sizes)
    all_not_less(moments(stated().sized(small), invented()), moments(stated().sized(large), invented()))


@pytest.mark.parametrize("name", sorted(KNOWN))
def test_each_slope_counts_and_raises_something(name: str) -> None:
    """None is asked for and left out; and dearer never makes anything cheaper."""
    dear = invented(**{name.replace(".", "_"): 50 * FIXED[KNOWN[name][0]]})
    if name == "decisions.order":  # its fixed part is in path.call already
        slope = structs.replace(dear.slopes[name], per={"endpoint": 500.0})
        dear = structs.replace(dear, slopes=dear.slopes | {name: slope})
    before, after = moments(stated(), invented()), moments(stated(), dear)
    all_not_less(before, after)
    assert before != after


# --- sums and units ---


def test_renewals_are_counted_at_the_main_process_alone() -> None:
    fleet, slopes = stated(), costing("main.renewal", 100.0)
    found = moments(fleet, slopes)
    renewals = fleet.endpoints / (fleet.follow.lease_s / 3 * 0.9)  # a second, 21,111
    assert found.calm[MAIN, CORES] == pytest.approx(renewals * 100e-6)
    assert found.calm[FOLLOWER, CORES] == found.calm[SIDECAR, CORES] == 0
    longer = structs.replace(fleet, follow=structs.replace(fleet.follow, lease_s=30.0))
    assert moments(longer, slopes).calm[MAIN, CORES] == pytest.approx(renewals * 10e-6)


def test_each_change_is_told_to_each_follower() -> None:
    fleet = stated()
    day = structs.replace(fleet.day, configuration=86_400, replaced=0, machines_failed=0, releases=0)
    found = moments(structs.replace(fleet, day=day), costing("main.feed", 1000.0))
    # One change a second to 21 followers, and each follower's call that waits in vain.
    assert found.calm[MAIN, CORES] == pytest.approx((21 + 21) * 1000e-6)


def test_a_change_costs_decisions_by_the_list_it_is_in() -> None:
    fleet = stated()
    day = structs.replace(fleet.day, configuration=0, replaced=0, machines_failed=0, releases=86_400)
    found = moments(structs.replace(fleet, day=day), costing("decisions.delta", 0.0, endpoint=1.0))
    # A release a second of a mean service: of its 14.6 endpoints each is written three times.
    per_endpoint = 3 * (fleet.endpoints / fleet.services) / fleet.endpoints
    by_hand = sum(kind.followed * kind.size * per_endpoint * kind.size for kind in fleet.kinds())
    assert found.calm[SIDECAR, CORES] == pytest.approx(by_hand / 1e6)


def test_a_sidecar_of_tens_of_services_is_as_many_watches() -> None:
    fleet = stated()
    shape = model.Shape(fleet)
    assert shape.lists == pytest.approx(30)
    assert shape.follower_sidecars == pytest.approx(19_000 * (0.08 + 2 * 0.92 / 18) / 3)
    found = moments(fleet, free())
    assert found.calm[FOLLOWER, "watches"] == pytest.approx(30 * shape.follower_sidecars)
    # All of them together: what followers have is what sidecars follow, were all regions alike.
    assert sum(kind.services * kind.callers for kind in shape.kinds) == pytest.approx(19_000 * 30)


def test_the_minute_says_which_event_is_the_largest() -> None:
    found = moments(stated(), invented())
    shape, costs = model.Shape(stated()), model.Costs(invented())
    shares = {name: work_of(shape, costs, 60.0) for name, work_of in model.events_of(stated()).items()}
    writes = {name: work.writes for name, work in shares.items()}
    assert writes[model.ZONE_LOST] == pytest.approx(0.08 * 19_000)
    assert writes[model.RELEASE] == pytest.approx(3 * 3_800 / 13 / 5)  # a minute of five
    assert writes[model.RACK_LOST] == pytest.approx(40)
    assert max(writes, key=lambda name: writes[name]) == model.REGION_BACK
    assert found.minute[MAIN, CORES][1] == model.REGION_BACK
    assert found.minute[MAIN, "records"] == (19_000, "")  # the same in all
    assert shares[model.ZONE_STARTS].entries > shares[model.ZONE_LOST].entries  # whole lists


def test_what_never_happens_is_not_counted() -> None:
    fleet = stated()
    calm = structs.replace(fleet, year=structs.replace(fleet.year, zones_lost=0, regions_cut=0, racks_lost=0))
    assert set(model.events_of(calm)) == {model.RELEASE, model.ZONE_STARTS}
    assert CUT_OFF not in moments(calm, free()).hour


def test_a_region_cut_off_is_told_no_sooner_than_it_is_back() -> None:
    found = model.capacity(stated(), free())
    (cut,) = (one for one in found.figures if (one.role, one.resource) == CUT_OFF)
    # And then as long as a list's watches may not be told again: 0.1 ms for each.
    thin = model.Shape(stated(), away=1)
    assert cut.hour == pytest.approx(240 + 1e-4 * thin.follower_sidecars)
    assert cut.calm is None and cut.holds is False
    assert cut.breaks_from == found.looked_at[0]


def test_a_process_that_is_behind_tells_later() -> None:
    key = (FOLLOWER, "until in force at the last")
    quick, slow = moments(stated(), free()), moments(stated(), costing("main.renewal", 100.0))
    assert quick.calm[key] == 0 and quick.minute[key][0] < 1
    assert slow.calm[key] == pytest.approx((slow.calm[MAIN, CORES] - 1) * 3600)
    busy = slow.minute[MAIN, CORES][0]
    assert busy > 2 and slow.minute[key][0] == pytest.approx((busy - 1) * 60, abs=1)


def test_calls_wait_for_decisions_only_where_these_are_over_one_in_a_hundred() -> None:
    key = (PATH, "added to a call, 99 in 100")
    fleet = stated()
    idle = costing("decisions.whole_list", 1e-6)
    assert moments(fleet, idle).minute[key][0] == 0
    whole_us = 1e6  # a second for each of thirty lists: half of a minute that a zone's sidecars start in
    busy = moments(fleet, costing("decisions.whole_list", whole_us))
    assert busy.calm[key] == 0
    added, event = busy.minute[key]
    assert added == pytest.approx(1000 * (1 - 0.01 / 0.5)) and event == model.ZONE_STARTS


def test_units_are_the_figures_own() -> None:
    found = {(one.role, one.resource): one for one in model.capacity(stated(), invented()).figures}
    assert found[SIDECAR, CORES].unit == "cores" and found[SIDECAR, MEMORY].unit == "MB"
    assert found[SIDECAR, "bytes"].unit == "bytes/s"
    assert found[FOLLOWER, "until in force at the last"].unit == "s"
    assert found[PATH, "added to a call, 99 in 100"].unit == "ms"
    assert found[SIDECAR, MEMORY].calm == pytest.approx(50 + 0.001 * model.Shape(stated()).listed)
    # 0.01 ms for each watcher that one follower tells, and 0.1 ms: in seconds.
    told = model.Shape(stated()).follower_sidecars
    last = moments(stated(), costing("spread.last", 0.1, watcher=0.01)).calm
    assert last[FOLLOWER, "until in force at the last"] == pytest.approx((0.1 + 0.01 * told) / 1000)
    assert found[PATH, "tries at the bottom, all levels retrying"].calm == pytest.approx(7.4, abs=0.01)


def test_the_model_has_the_codes_own_constants() -> None:
    assert model.RENEW_PART == client.RENEW_INTERVAL_FRACTION
    assert model.WAIT_PART == (client.MIN_WAIT_FRACTION + 1) / 2
    assert (model.GATHER_US, model.EACH_US) == (watches.COALESCE_DELAY_US, watches.INTERVAL_PER_WATCH_US)
    assert model.FEED_WAIT_S == follower.FEED_WAIT_MS / 1000
    assert model.HISTORY == Limits().history == core.MAX_HISTORY_CHANGES
    fleet, follow = stated(), FollowSettings(addresses=["127.0.0.1:1"])
    register = RegisterSettings(id="a", address="127.0.0.1:1")
    assert fleet.follow.lease_s * 1000 == register.lease_ms
    assert fleet.follow.watch_wait_s == follow.wait_s
    assert fleet.follow.calls_per_s == follow.calls_per_s == adoption.MAX_FLEET_CALLS_PER_S
    limits = Limits()
    assert (fleet.list_service.callers, fleet.list_service.watches) == (limits.callers, limits.watches)
    assert fleet.list_service.records == limits.records


# --- what breaks ---


def test_each_budget_breaks_at_the_size_that_is_said() -> None:
    fleet, slopes = stated(), invented()
    found = model.capacity(fleet, slopes)
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
            return model.worst(moments(fleet.sized(endpoints), slopes), key)

        assert one.worst[0] == worst(fleet.endpoints)
        if one.breaks_from is None:
            assert worst(high) <= one.budget
            continue
        assert worst(one.breaks_from) > one.budget
        if one.breaks_from > low:
            assert worst(one.breaks_from - 1) <= one.budget
        assert one.holds == (one.breaks_from > fleet.endpoints)
    # All kinds of verdict are among them, so that each is judged above.
    assert seen >= {(False, False, True), (False, False, False), (True, False, False)}


def test_the_size_at_which_renewals_fill_the_main_process() -> None:
    found = model.capacity(stated(), costing("main.renewal", 100.0))
    (one,) = (one for one in found.figures if (one.role, one.resource) == (MAIN, CORES))
    # 1.11 renewals a second and endpoint, 100 us each: 9,000 of them are a core; with a region's refused
    # renewals in the same minute somewhat sooner.
    minute = 1 / 0.9 + (0.08 + 2 * 0.92 / 18) / 60
    assert one.breaks_from == int(1e4 / minute) + 1
    assert one.holds is False and one.event == model.REGION_BACK


def test_a_main_process_that_goes_along_all_leases_breaks_sooner() -> None:
    """Where idling and writing were measured to grow with the records: a slope may go by them."""
    for name in ("main.idle", "main.write"):
        costs = model.Costs(costing(name, 100.0))
        flat = model.moments(stated(), costs).minute[MAIN, CORES][0]
        costs.slopes = costs.slopes | {name: structs.replace(costs.slopes[name], per={"record": 1.0})}
        along = model.moments(stated(), costs).minute[MAIN, CORES][0]
        assert along == pytest.approx(flat * (100 + 19_000) / 100)


def test_main_connections_break_at_the_bound_on_callers() -> None:
    found = {(one.role, one.resource): one for one in model.capacity(stated(), free()).figures}
    assert found[MAIN, "connections"].breaks_from == 5000 - 21 + 1
    assert found[FOLLOWER, "watches"].holds is False


@given(st.integers(1, 1000), st.integers(0, 1000), st.integers(0, 1100))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_the_first_break_is_found(low: int, more: int, at: int) -> None:
    found = model.first_break(lambda size: size >= at, low, low + more)
    assert found == (max(low, at) if at <= low + more else None)


def test_what_was_used_beyond_its_measurement_is_said() -> None:
    found = model.capacity(stated(), invented())
    beyond = {(one.slope, one.driver) for one in found.used if one.beyond}
    assert ("main.memory", "record") in beyond  # 19,000, measured up to 1,000
    assert ("decisions.delta", "endpoint") not in beyond  # 292
    for one in found.used:
        assert one.driver in KNOWN[one.slope][1]


# --- tables ---


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (0, "0"), (0.0000123, "0.0000123"), (0.0116, "0.0116"), (1, "1"), (14.615, "14.6"), (99.96, "100"),
        (292.3, "292"), (999.6, "1,000"), (17_538.46, "17,538"), (1e9, "1,000,000,000"), (0.5100001, "0.51"),
    ],
)  # fmt: skip
def test_numbers_are_plain(value: float, text: str) -> None:
    assert table.number(value) == text


def test_tables_are_whole() -> None:
    fleet, slopes = stated(), invented()
    found = model.capacity(fleet, slopes)
    text = table.page(fleet, slopes, found)
    for one in found.figures:
        assert f"| {one.resource}" in text
    assert all(f"| {name} " in text for name in KNOWN)
    for block in text.split("\n\n"):
        lines = block.strip().splitlines()
        if lines[0].startswith("|"):
            assert len({line.count("|") for line in lines}) == 1 and len({len(line) for line in lines}) == 1
    order = [int(line.split("|")[1].replace(",", "")) for line in table.broken(found).splitlines()[2:]]
    assert order == sorted(order) and len(order) == sum(one.holds is False for one in found.figures)


def test_where_all_holds_it_is_said() -> None:
    fleet = stated()
    limits = structs.replace(fleet.list_service, callers=10**7, watches=10**7, records=10**7)
    easy = structs.replace(fleet, list_service=limits, year=structs.replace(fleet.year, regions_cut=0))
    found = model.capacity(easy, free())
    assert table.broken(found) == "Every budget holds."


# --- the command ---


def written(tmp_path: Path, slopes: Slopes | None = None, **changed: Any) -> list[str]:
    """Options with a fleet and slopes in files; `changed`: keys of it, with `__` after their table."""
    document = tomllib.loads(FLEET.read_text(encoding="utf-8"))
    for path, value in changed.items():
        where, _, key = path.rpartition("__")
        part = document[where] if where else document
        if value is None:
            del part[key]
        else:
            part[key] = value
    (tmp_path / "fleet.toml").write_text(tomli_w.dumps(document), encoding="utf-8")
    (tmp_path / "slopes.json").write_bytes(msgspec.json.encode(slopes or invented()))
    return ["--fleet", str(tmp_path / "fleet.toml"), "--slopes", str(tmp_path / "slopes.json")]


def called(monkeypatch: pytest.MonkeyPatch, *words: str) -> int:
    monkeypatch.setattr(sys, "argv", ["ottercleat", "capacity", *words])
    return main()


def test_the_command_prints_the_tables_and_the_same_as_data(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    options = written(tmp_path)
    file = tmp_path / "figures.json"
    assert called(monkeypatch, *options, "--json", str(file)) == 1  # budgets break
    out, err = capfd.readouterr()
    fleet, slopes = stated(), invented()
    assert out == table.page(fleet, slopes, model.capacity(fleet, slopes)) and err == ""
    document = json.loads(file.read_text(encoding="utf-8"))
    assert len(document["figures"]) == len(model.capacity(fleet, slopes).figures)
    assert {one["holds"] for one in document["figures"]} == {True, False, None}
    assert called(monkeypatch, *options, "--json", "-") == 1
    assert json.loads(capfd.readouterr().out) == document


def test_a_fleet_whose_budgets_hold_is_status_0(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    limits = {"callers": 10**7, "watches": 10**7, "records": 10**7}
    options = written(tmp_path, free(), list_service=limits, year__regions_cut=0)
    assert called(monkeypatch, *options) == 0
    assert "Every budget holds." in capfd.readouterr().out


SIZES = [
    {"name": "a", "of_services": 0.5, "of_endpoints": 0.5, "of_followed": 0.5},
    {"name": "b", "of_services": 0.5, "of_endpoints": 0.4, "of_followed": 0.5},
]


@pytest.mark.parametrize(
    ("changed", "said"),
    [
        ({"endpoints": 0}, "endpoints: must be a whole number >= 1"),
        ({"endpoints": 10**9}, "endpoints: must be a whole number <= 10000000"),
        ({"endpoints": "many"}, "endpoints: must be a whole number"),
        ({"services": 0}, "services: must be a whole number >= 1"),
        ({"services": 20_000}, "services: 20000 services for 19000 endpoints; each needs one"),
        ({"endpoints": 10, "services": 10}, "regions: 19 zones for 10 endpoints; at most"),
        ({"regions": {}}, "regions: there is none; write one a line"),
        ({"regions": {"north": ["n1"], "south": []}}, "regions.south: has no zone; name its zones, or leave"),
        ({"regions": {"north": ["n1"], "south": ["n1"]}}, "regions.south: zone n1 stands in north and in"),
        ({"regions": {"north": ["n1", "n1"]}}, "regions.north: zone n1 stands in north twice; leave"),
        ({"sizes": SIZES}, "sizes: the shares of_endpoints add up to 0.9; they must add up to 1"),
        ({"sizes": [SIZES[0] | {"name": "b"}, SIZES[1]]}, "sizes: two rows are named b; rename one"),
        ({"sizes": []}, "sizes: must be a list of length >= 1"),
        ({"sizes": [SIZES[0] | {"of_services": 0}]}, "sizes[0].of_services: must be"),
        ({"sizes": [SIZES[0] | {"of_calls": 0.5}]}, "sizes[0].of_calls: unknown key"),
        ({"services": 2, "follow__services": 1}, "sizes: 3 rows for 2 services; each row needs one"),
        ({"follow__services": 1_400}, "follow.services: 1400 lists to follow where there are 1300 services"),
        ({"largest_zone": 0.01}, "largest_zone: 19 zones can't all be that small; at least 0.0526"),
        ({"control__machines": 6}, "control.machines: 6 for 7 regions; each needs one"),
        ({"control__away": 3}, "control.away: a region has 3 control machines; at most 2"),
        ({"year__endpoints_per_rack": 20_000}, "year.endpoints_per_rack: more than the 19000 endpoints"),
        ({"follow__lease_s": 0}, "follow.lease_s: must be"),
        ({"follow__lease_s": float("nan")}, "follow.lease_s: must be"),
        ({"calls_per_s": float("inf")}, "calls_per_s: must be"),
        ({"depth": None}, "depth: missing"),
        ({"release__shares": 1.0}, "release.shares: unknown key; did you mean share?"),
        ({"budget__added_ms": -1}, "budget.added_ms: must be"),
    ],
)  # fmt: skip
def test_a_fleet_that_contradicts_itself_is_one_line(
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
    tmp_path: Path,
    changed: dict[str, Any],
    said: str,
) -> None:
    options = written(tmp_path, **changed)
    assert called(monkeypatch, *options) == 2
    out, err = capfd.readouterr()
    assert out == "" and err.count("\n") == 1, err
    assert f"{options[1]}: {said}" in err


def test_all_faults_of_a_fleet_are_said(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    assert called(monkeypatch, *written(tmp_path, endpoints=0, follow__lease_s=-1, depth=None)) == 2
    err = capfd.readouterr().err
    assert err.count("\n") == 3
    assert all(f"fleet.toml: {key}: " in err for key in ("endpoints", "follow.lease_s", "depth"))


def plain(slopes: Slopes) -> dict[str, Any]:
    found = msgspec.to_builtins(slopes)
    assert isinstance(found, dict)
    return found


def _with(name: str, **changed: Any) -> dict[str, Any]:
    document = plain(invented())
    one = document["slopes"][name]
    one.update(changed)
    document["slopes"][name] = {key: value for key, value in one.items() if value is not None}
    return document


def _named(name: str) -> dict[str, Any]:
    document = plain(invented())
    document["slopes"][name] = document["slopes"]["main.feed"]
    return document


def _without(name: str) -> dict[str, Any]:
    document = plain(invented())
    del document["slopes"][name]
    return document


@pytest.mark.parametrize(
    ("document", "said"),
    [
        (_without("main.feed"), "slopes.main.feed: missing; measure it with `ottercleat bench`"),
        (_with("main.feed", unit="ms"), "slopes.main.feed.unit: must be 'us'"),
        (_with("main.feed", per={"mile": 1.0}), "slopes.main.feed.per.mile: it goes by nothing"),
        (_with("decisions.delta", per={"entry": 1.0}), "slopes.decisions.delta.per.entry: it goes by"),
        (_with("main.feed", fixed=-1), "slopes.main.feed.fixed: must be"),
        (_with("main.feed", fixed="dear"), "slopes.main.feed.fixed: must be a number"),
        (_with("main.feed", fixed=None), "slopes.main.feed.fixed: missing"),
        (_with("main.feed", runs=[]), "slopes.main.feed.runs: must be a list of length >= 1"),
        (_with("main.feed", colour="red"), "slopes.main.feed.colour: unknown key"),
        (_named("main.fed"), "slopes.main.fed: no such slope; leave it out"),
        (plain(invented()) | {"slopes": {"main.feed": 1}}, "slopes.main.feed: must be a table, not 1"),
        (plain(invented()) | {"slopes": []}, "slopes: must be a table"),
        ({"slopes": {}}, "revision: missing"),
        ([], "must be a table"),
        (None, "must be a table"),
    ],
)  # fmt: skip
def test_slopes_of_another_form_are_one_line(
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
    tmp_path: Path,
    document: Any,
    said: str,
) -> None:
    options = written(tmp_path)
    Path(options[3]).write_text(json.dumps(document), encoding="utf-8")
    assert called(monkeypatch, *options) == 2
    out, err = capfd.readouterr()
    assert out == "" and "Traceback" not in err
    assert f"{options[3]}: {said}" in err


def test_files_that_are_missing_or_no_documents_are_one_line(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    fleet, slopes = written(tmp_path)[1::2]
    broken = tmp_path / "broken.json"
    broken.write_text('{"slopes": ', encoding="utf-8")
    for options, said in (
        (["--fleet", "none.toml", "--slopes", slopes], "none.toml: no such file; name another with --fleet"),
        (["--fleet", fleet, "--slopes", "none.json"], "none.json: no such file; measure them with"),
        (["--fleet", str(tmp_path), "--slopes", slopes], f"{tmp_path}: Is a directory"),
        (["--fleet", fleet, "--slopes", str(broken)], f"{broken}: no JSON: "),
        (["--fleet", str(broken), "--slopes", slopes], f"{broken}: no JSON: "),
        (["--fleet", fleet, "--slopes", slopes, "--json", "no/such/x.json"], "there is no folder no/such"),
        (["--flet", fleet], "No such option"),
    ):
        assert called(monkeypatch, *options) == 2
        out, err = capfd.readouterr()
        assert out == "" and said in err and "Traceback" not in err


def test_without_options_it_takes_the_repositorys_own_files(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    from eiderhub.cli import capacity

    (tmp_path / "deploy").mkdir()
    monkeypatch.setattr(capacity, "REPOSITORY", tmp_path)
    assert called(monkeypatch) == 2
    assert f"{tmp_path / capacity.FLEET}: no such file; name another" in capfd.readouterr().err
    (tmp_path / capacity.FLEET).write_bytes(FLEET.read_bytes())
    assert called(monkeypatch) == 2
    assert f"{tmp_path / capacity.SLOPES}: no such file; measure them" in capfd.readouterr().err


def test_the_page_has_what_the_command_prints(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """Both of the repository's own files; paste the output between the markers after a change."""
    assert MEASURED.is_file(), f"{MEASURED}: missing; measure it with `ottercleat bench slopes`"
    assert called(monkeypatch) in (0, 1)
    text = PAGE.read_text(encoding="utf-8")
    assert text.count(BEGIN) == 1 and text.count(END) == 1
    assert text.partition(BEGIN)[2].partition(END)[0] == capfd.readouterr().out
