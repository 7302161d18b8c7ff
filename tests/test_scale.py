"""Scale runs: plans and their refusal, counters, and small runs with real processes."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
import numpy as np
import pytest

from eiderhub.cli.capacity import read_fleet
from eiderhub.registry.records import Entry
from eiderhub.scale import result as results
from eiderhub.scale.faults import FaultRun
from eiderhub.scale.hollow import LIST_EMPTIED, LIST_REVERTED, Change, delay_ms, list_digest
from eiderhub.scale.plan import (
    MachineCapacity,
    Plan,
    RunRequest,
    RunTooLargeError,
    assign_sidecars,
    find_excess,
    make_admitted_plan,
    make_plan,
    memory_mb,
    scale_down,
)
from eiderhub.scale.record_writer import delay_percentiles
from eiderhub.scale.result import HOLLOW, MAIN, REAL, Phase, Result
from eiderhub.scale.run import Run
from eiderhub.scale.traffic import (
    CountingLoop,
    TrafficCounter,
    TrafficCounts,
    counts_between,
    peak_calls,
    sum_counts,
)

FLEET = read_fleet(Path(__file__).resolve().parents[1] / "deploy" / "fleet.toml")
LARGE_MACHINE = MachineCapacity(memory_mb=1e6, descriptors=1_000_000, ports=1_000_000)
TEST_TIMEOUT_S = 120.0


# --- the plan ---


@pytest.mark.parametrize("hollow", [3, 60, 250, 2000])
def test_plan_assigns_every_record_and_every_watcher(hollow: int) -> None:
    run_plan = make_plan(FLEET, RunRequest(hollow, real=2))
    assert len(run_plan.hollow) == hollow and len(run_plan.real) == 2
    assert len({spec.id for spec in run_plan.seats}) == hollow + 2
    for service, size in run_plan.sizes.items():
        assert sum(spec.service == service for spec in run_plan.seats) == size
        callers = [spec for spec in run_plan.seats if spec.follows == service]
        assert sorted(spec.rank for spec in callers) == list(range(len(callers)))
        assert all(spec.balancers == len(callers) for spec in callers)
    for spec in run_plan.seats:
        assert spec.zone in run_plan.regions[spec.region]
        assert run_plan.followers_of(spec.region)[0] in run_plan.followers


def test_plan_of_the_whole_fleet_has_its_sizes_and_regions() -> None:
    run_plan = make_plan(FLEET, RunRequest(FLEET.endpoints))
    assert list(run_plan.sizes.values()) == FLEET.service_sizes()
    assert run_plan.followers == list(FLEET.regions)
    sidecars_per_zone = [sum(spec.zone == zone for spec in run_plan.seats) for zone in FLEET.zone_names()]
    assert max(sidecars_per_zone) - min(sidecars_per_zone) <= 1


def test_equal_seeds_give_equal_plans_and_different_seeds_different_plans() -> None:
    assert make_plan(FLEET, RunRequest(200, seed=3)) == make_plan(FLEET, RunRequest(200, seed=3))
    assert make_plan(FLEET, RunRequest(200, seed=3)).seats != make_plan(FLEET, RunRequest(200, seed=4)).seats


def test_sidecars_use_their_own_follower_first_and_then_another() -> None:
    run_plan = make_plan(FLEET, RunRequest(400))
    first_followers = [run_plan.followers_of(region)[0] for region in run_plan.regions]
    assert sorted(first_followers) == sorted(run_plan.followers)
    assert all(len(set(run_plan.followers_of(region))) == 2 for region in run_plan.regions)


@pytest.mark.parametrize(
    ("run_request", "capacity", "message"),
    [
        (RunRequest(0), LARGE_MACHINE, "--hollow 0: at least 3"),
        (RunRequest(-5), LARGE_MACHINE, "--hollow -5: at least 3"),
        (RunRequest(10, real=-1), LARGE_MACHINE, "--real -1: at least 0"),
        (RunRequest(10, followers=8), LARGE_MACHINE, "--followers 8: at most 7"),
        (RunRequest(500), LARGE_MACHINE._replace(memory_mb=1000), "MB of memory"),
        (RunRequest(2000), LARGE_MACHINE._replace(descriptors=1000), "descriptors in the main list service"),
        (RunRequest(4000), LARGE_MACHINE._replace(ports=5000), "ports"),
        (RunRequest(50, real=400), LARGE_MACHINE, "--real 400: requires"),
    ],
)
def test_run_that_does_not_fit_is_refused_with_a_one_line_error(
    run_request: RunRequest, capacity: MachineCapacity, message: str
) -> None:
    with pytest.raises(RunTooLargeError) as error:
        make_admitted_plan(FLEET, run_request, capacity)
    assert message in str(error.value)
    assert "\n" not in str(error.value)


def test_refusal_names_the_largest_size_that_fits() -> None:
    capacity = MachineCapacity(memory_mb=2000, descriptors=20_000, ports=28_000)
    with pytest.raises(RunTooLargeError, match="MB of memory") as error:
        make_admitted_plan(FLEET, RunRequest(19_000), capacity)
    largest = int(str(error.value).split("--hollow ")[2].split(" ")[0])
    assert len(make_admitted_plan(FLEET, RunRequest(largest), capacity).hollow) == largest
    assert find_excess(make_plan(FLEET, RunRequest(largest + 1)), capacity, cut=False)


def test_memory_estimate_grows_with_the_number_of_sidecars() -> None:
    base_mb = memory_mb(make_plan(FLEET, RunRequest(250)))
    assert memory_mb(make_plan(FLEET, RunRequest(300))) > base_mb
    assert memory_mb(make_plan(FLEET, RunRequest(250, real=1))) > base_mb


# --- counters ---


def test_calls_bytes_and_entries_are_counted_across_chunks() -> None:
    counter = TrafficCounter()
    counter.count_sent(b"GET /discovery/hosts?after=7&wait_ms=9 HTTP/1.1\r\nHost: a:1\r\n\r\n")
    counter.count_sent(b"POST /registry/renew HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}")
    counter.count_sent(b"more of a body")
    body = b'[{"instanceId":"a"},{"instanceId":"b"}]'
    for split in range(len(body)):
        tail = counter.count_received(body[:split], b"")
        counter.count_received(body[split:], tail)
    traffic = counter.take_counts()
    assert traffic.calls == {"list": 1, "renew": 1}
    assert traffic.bytes_in == len(body) ** 2
    assert traffic.entries == 2 * len(body)
    assert sum(traffic.buckets.values()) == 2
    assert counter.take_counts().buckets == {}, "buckets are reset when they are read"


def test_counts_can_be_added_and_subtracted() -> None:
    first = TrafficCounts({"list": 3}, 10, 20, 1, 2, 1, {5: 2, 6: 1})
    second = TrafficCounts({"list": 1, "renew": 4}, 1, 2, 0, 1, 1, {6: 4})
    total = sum_counts([first, second])
    assert total == TrafficCounts({"list": 4, "renew": 4}, 11, 22, 1, 3, 2, {5: 2, 6: 5})
    assert counts_between(total, first).calls == {"list": 1, "renew": 4}
    assert peak_calls(total.buckets) == 5
    assert peak_calls(total.buckets, since_s=0.7) == 0


def test_change_is_in_force_once_its_version_or_a_later_one_is_adopted() -> None:
    adoptions = np.array([[1.0, 3], [2.0, 7], [3.0, 9]])
    assert delay_ms(adoptions, Change("s", 5, 1.5)) == 500.0
    assert delay_ms(adoptions, Change("s", 9, 1.0)) == 2000.0
    assert delay_ms(adoptions, Change("s", 3, 4.0)) == 0.0, "in force before the acknowledgement"
    assert delay_ms(adoptions, Change("s", 10, 1.0)) is None
    assert delay_ms(adoptions[:0], Change("s", 1, 1.0)) is None


def test_percentiles_without_changes_are_empty() -> None:
    assert delay_percentiles([]) == {}
    assert delay_percentiles([3.0, 1.0, 2.0]) == {"p50": 2.0, "p99": 2.98, "last": 3.0}


def test_list_digest_does_not_depend_on_the_order() -> None:
    first = Entry(instance_id="a", host_port="127.0.0.1:1")
    second = Entry(instance_id="b", host_port="127.0.0.1:1")
    assert list_digest({"a": first, "b": second}) == list_digest({"b": second, "a": first})
    restarted = msgspec.structs.replace(second, started_at_ms=5)
    assert list_digest({"a": first, "b": second}) != list_digest({"a": first, "b": restarted})


# --- runs ---


def make_one_list_plan(run_request: RunRequest) -> Plan:
    """Plan in which all sidecars follow the largest list, in the same two regions: only the sizes differ."""
    run_plan = assign_sidecars(scale_down(FLEET, run_request.hollow + run_request.real, 2), run_request)
    service = max(run_plan.sizes, key=lambda name: run_plan.sizes[name])
    specs = [
        msgspec.structs.replace(spec, follows=service, rank=rank, balancers=len(run_plan.seats))
        for rank, spec in enumerate(run_plan.seats)
    ]
    return msgspec.structs.replace(run_plan, seats=specs, wait_s=1.0)


def execute(run_plan: Plan, seconds: float, fault: str = "none", fault_s: float = 1.0) -> Result:
    run = Run(run_plan, seconds, 1, 20.0, fault, fault_s)

    async def bounded() -> Result:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await run.run(lambda share, text: None, "fleet.toml")

    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        return runner.run(bounded())


@pytest.fixture(scope="module")
def small_run() -> Result:
    return execute(make_one_list_plan(RunRequest(100, real=2, lease_s=3.0)), 4.0)


@pytest.fixture(scope="module")
def large_run() -> Result:
    return execute(make_one_list_plan(RunRequest(300, lease_s=3.0)), 4.0)


def test_all_sidecars_end_with_the_main_services_lists(small_run: Result, large_run: Result) -> None:
    for run in (small_run, large_run):
        assert run.agreed
        assert run.records == run.watchers
        changes = run.phase("changes")
        assert changes.changes == changes.writes == 40
        delays_ms = {name: changes.in_force_ms[name] for name in ("p50", "p99", "last")}
        assert 0 <= delays_ms["p50"] <= delays_ms["p99"] <= delays_ms["last"]


def ratio(amount: float, count: int) -> float:
    assert count > 0
    return amount / count


def test_cost_of_a_renewal_does_not_depend_on_the_fleet_size(small_run: Result, large_run: Result) -> None:
    small, large = (run.phase("calm").roles[HOLLOW] for run in (small_run, large_run))
    bytes_each = [ratio(role.main_bytes, role.renewals) for role in (small, large)]
    assert abs(bytes_each[0] - bytes_each[1]) < 12, "ids of sidecars differ in length by a few digits"
    for run in (small_run, large_run):
        calm = run.phase("calm")
        assert calm.changes == calm.writes == 0
        assert calm.renewals == calm.roles[MAIN].renewals
        assert calm.roles[MAIN].calls == calm.renewals + calm.feed_answers


def test_watch_answers_send_a_change_once_for_any_list_length(small_run: Result, large_run: Result) -> None:
    for run in (small_run, large_run):
        calm, changes = run.phase("calm"), run.phase("changes")
        assert calm.entries_told == 0
        # A sidecar that follows the list receives a change at most once, alone or along with the next one.
        assert 0 < changes.entries_told <= changes.in_force_pairs
    small, large = (run.phase("calm") for run in (small_run, large_run))
    bytes_each = [ratio(phase.roles[HOLLOW].follower_bytes, phase.watch_answers) for phase in (small, large)]
    assert abs(bytes_each[0] - bytes_each[1]) < 0.1 * bytes_each[0]
    small, large = (run.phase("changes") for run in (small_run, large_run))
    # Two followers; their long polls that end without a change count as well.
    assert ratio(small.feed_answers, small.changes) < 3 * 2
    assert ratio(large.feed_answers, large.changes) < 3 * 2


def nearly_equal(first: float, second: float) -> bool:
    return abs(first - second) <= 0.1 * max(first, second)


def test_hollow_sidecar_has_the_same_traffic_as_a_real_one(small_run: Result) -> None:
    calm = small_run.phase("calm")
    hollow, real = calm.roles[HOLLOW], calm.roles[REAL]
    assert nearly_equal(ratio(hollow.main_bytes, hollow.renewals), ratio(real.main_bytes, real.renewals))
    assert nearly_equal(
        ratio(hollow.follower_bytes, hollow.answers), ratio(real.follower_bytes, real.answers)
    )
    assert hollow.calls == hollow.renewals + hollow.answers
    assert real.calls == real.renewals + real.answers
    changes = small_run.phase("changes")
    hollow, real = changes.roles[HOLLOW], changes.roles[REAL]
    assert nearly_equal(ratio(hollow.entries, hollow.records), ratio(real.entries, real.records))
    for role in (hollow, real):
        assert role.connections >= 2 * role.records, "one to the main service, one to a follower"


def test_real_sidecars_serve_calls_during_the_run(small_run: Result, large_run: Result) -> None:
    assert large_run.added is None
    assert small_run.added is not None
    assert small_run.added.calls > 0


def test_result_is_read_back_as_written(small_run: Result, tmp_path: Path) -> None:
    path = tmp_path / "run.json"
    path.write_bytes(msgspec.json.encode(small_run))
    assert results.read(path) == small_run
    assert small_run.phase("changes").name == "changes"
    with pytest.raises(KeyError):
        small_run.phase("none")


def counts_are_not_negative(phase: Phase) -> bool:
    counts = [(role.calls, role.bytes_in, role.bytes_out) for role in phase.roles.values()]
    return all(count >= 0 for each in counts for count in each)


@pytest.mark.parametrize("fault", ["release", "zone-lost", "region-cut", "follower-killed", "main-killed"])
def test_after_a_fault_all_are_there_and_agree(fault: str) -> None:
    run_plan = make_plan(FLEET, RunRequest(90, lease_s=4.0))
    result = execute(msgspec.structs.replace(run_plan, wait_s=1.0), 1.0, fault, 4.0)
    assert result.agreed
    assert result.fault is not None and result.fault.name == fault
    assert result.records == 90
    assert result.fault.touched > 0
    assert result.fault.writes_tried > 0
    assert counts_are_not_negative(result.phase(fault))
    assert not [note for note in result.fault.notes if LIST_EMPTIED in note or LIST_REVERTED in note]
    if fault == "zone-lost":
        assert result.fault.least_records == 90 - result.fault.touched
        assert result.fault.lost_wrongly == 0
    if fault in ("region-cut", "main-killed"):
        assert result.fault.writes_failed > 0, "the main service can't be reached"
    if fault in ("follower-killed", "main-killed"):
        assert result.fault.lost_wrongly == 0


def test_least_records_include_the_counts_that_a_fault_waits_for() -> None:
    """Guards against a minimum that was seen only by the fault's own calls, between two polls."""

    async def status(timeout_s: float) -> Any:
        return SimpleNamespace(records=80)

    topology: Any = SimpleNamespace(main=SimpleNamespace(status=status))
    fault_run = FaultRun(topology, make_plan(FLEET, RunRequest(90)), 1.0, 1)
    assert asyncio.run(fault_run.wait_for_records(80, 0.0))
    assert fault_run.least_records == 80


# --- the command ---


def bench_command(*arguments: str) -> list[str]:
    return [sys.executable, "-m", "eiderhub.cli", "bench", "scale", *arguments]


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["--hollow", "0"], "--hollow 0: at least 3"),
        (["--hollow", "100000000"], "fits"),
        (["--hollow", "50", "--real", "5000"], "use fewer real sidecars"),
        (["--hollow", "10", "--fault", "region-cut"], "two followers"),
        (["--fleet", "nowhere.toml"], "nowhere.toml"),
    ],
)
def test_invalid_input_prints_one_line_and_exits_with_status_2(arguments: list[str], message: str) -> None:
    completed = subprocess.run(
        bench_command(*arguments), capture_output=True, text=True, timeout=TEST_TIMEOUT_S, check=False
    )
    assert completed.returncode == 2
    assert message in completed.stderr
    assert len(completed.stderr.strip().splitlines()) == 1
    assert completed.stdout == ""


def child_processes(pid: int) -> list[int]:
    pids = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                fields = (entry / "stat").read_text().rpartition(")")[2].split()
            except OSError:
                continue
            if int(fields[1]) == pid and fields[0] != "Z":
                pids.append(int(entry.name))
    return pids


def start_time(pid: int) -> str:
    """Start time of a process, which identifies it among those with the same pid; empty if it has ended."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[19]
    except OSError:
        return ""


def test_interrupt_leaves_no_process() -> None:
    process = subprocess.Popen(
        bench_command("--hollow", "60", "--real", "1", "--seconds", "600"),
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )
    try:
        deadline_s = time.monotonic() + TEST_TIMEOUT_S
        # Main service, two followers, endpoints, hollow sidecars, real sidecar.
        while len(child_pids := child_processes(process.pid)) < 6:
            assert process.poll() is None and time.monotonic() < deadline_s
            time.sleep(0.05)
        start_times = {pid: start_time(pid) for pid in child_pids}
        os.kill(process.pid, signal.SIGINT)
        _, errors = process.communicate(timeout=TEST_TIMEOUT_S)
    finally:
        process.kill()
        process.wait()
    assert process.returncode == 1
    assert errors.strip().splitlines()[-1] == "ottercleat: interrupted"
    assert [pid for pid, start in start_times.items() if start and start_time(pid) == start] == []
