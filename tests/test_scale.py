"""Scale runs: what a plan holds and refuses, what is counted, and small runs with real processes."""

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
from eiderhub.scale.changes import spread
from eiderhub.scale.counts import CountingLoop, Tally, Told, peak, since, together
from eiderhub.scale.faults import Course
from eiderhub.scale.hollow import EMPTIED, WENT_BACK, Change, delay_ms, digest
from eiderhub.scale.plan import (
    Asked,
    Bears,
    Plan,
    TooLarge,
    admitted,
    memory_mb,
    plan,
    seated,
    smaller,
    too_much,
)
from eiderhub.scale.result import HOLLOW, MAIN, REAL, Phase, Result
from eiderhub.scale.run import Run

FLEET = read_fleet(Path(__file__).resolve().parents[1] / "deploy" / "fleet.toml")
ROOMY = Bears(memory_mb=1e6, descriptors=1_000_000, ports=1_000_000)
PATIENCE_S = 120.0  # a test that waits longer for an event has failed


# --- the plan ---


@pytest.mark.parametrize("hollow", [3, 60, 250, 2000])
def test_all_records_and_all_watchers_have_a_place(hollow: int) -> None:
    made = plan(FLEET, Asked(hollow, real=2))
    assert len(made.hollow) == hollow and len(made.real) == 2
    assert len({seat.id for seat in made.seats}) == hollow + 2
    for service, size in made.sizes.items():
        assert sum(seat.service == service for seat in made.seats) == size
        callers = [seat for seat in made.seats if seat.follows == service]
        assert sorted(seat.rank for seat in callers) == list(range(len(callers)))
        assert all(seat.balancers == len(callers) for seat in callers)
    for seat in made.seats:
        assert seat.zone in made.regions[seat.region]
        assert made.followers_of(seat.region)[0] in made.followers


def test_the_whole_fleet_keeps_its_sizes_and_regions() -> None:
    made = plan(FLEET, Asked(FLEET.endpoints))
    assert list(made.sizes.values()) == FLEET.service_sizes()
    assert made.followers == list(FLEET.regions)
    zones = [sum(seat.zone == zone for seat in made.seats) for zone in FLEET.zone_names()]
    assert max(zones) - min(zones) <= 1


def test_a_seed_gives_the_same_plan_and_another_one_another() -> None:
    assert plan(FLEET, Asked(200, seed=3)) == plan(FLEET, Asked(200, seed=3))
    assert plan(FLEET, Asked(200, seed=3)).seats != plan(FLEET, Asked(200, seed=4)).seats


def test_sidecars_ask_their_own_follower_and_then_another() -> None:
    made = plan(FLEET, Asked(400))
    firsts = [made.followers_of(region)[0] for region in made.regions]
    assert sorted(firsts) == sorted(made.followers)
    assert all(len(set(made.followers_of(region))) == 2 for region in made.regions)


@pytest.mark.parametrize(
    ("asked", "bears", "words"),
    [
        (Asked(0), ROOMY, "--hollow 0: at least 3"),
        (Asked(-5), ROOMY, "--hollow -5: at least 3"),
        (Asked(10, real=-1), ROOMY, "--real -1: at least 0"),
        (Asked(10, followers=8), ROOMY, "--followers 8: at most 7"),
        (Asked(500), ROOMY._replace(memory_mb=1000), "MB of memory"),
        (Asked(2000), ROOMY._replace(descriptors=1000), "descriptors in the main list service"),
        (Asked(4000), ROOMY._replace(ports=5000), "ports"),
        (Asked(50, real=400), ROOMY, "--real 400: it would take"),
    ],
)
def test_what_does_not_fit_is_refused_in_one_line(asked: Asked, bears: Bears, words: str) -> None:
    with pytest.raises(TooLarge) as refused:
        admitted(FLEET, asked, bears)
    assert words in str(refused.value)
    assert "\n" not in str(refused.value)


def test_the_size_that_a_refusal_names_fits_and_one_more_does_not() -> None:
    bears = Bears(memory_mb=2000, descriptors=20_000, ports=28_000)
    with pytest.raises(TooLarge, match="MB of memory") as refused:
        admitted(FLEET, Asked(19_000), bears)
    fits = int(str(refused.value).split("--hollow ")[2].split(" ")[0])
    assert len(admitted(FLEET, Asked(fits), bears).hollow) == fits
    assert too_much(plan(FLEET, Asked(fits + 1)), bears, cut=False)


def test_more_of_anything_takes_more_memory() -> None:
    least = memory_mb(plan(FLEET, Asked(250)))
    assert memory_mb(plan(FLEET, Asked(300))) > least
    assert memory_mb(plan(FLEET, Asked(250, real=1))) > least


# --- what is counted ---


def test_calls_bytes_and_entries_are_counted_across_pieces() -> None:
    tally = Tally()
    tally.went(b"GET /discovery/hosts?after=7&wait_ms=9 HTTP/1.1\r\nHost: a:1\r\n\r\n")
    tally.went(b"POST /registry/renew HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}")
    tally.went(b"more of a body")
    body = b'[{"instanceId":"a"},{"instanceId":"b"}]'
    for cut in range(len(body)):
        tail = tally.came(body[:cut], b"")
        tally.came(body[cut:], tail)
    told = tally.told()
    assert told.calls == {"list": 1, "renew": 1}
    assert told.bytes_in == len(body) ** 2
    assert told.entries == 2 * len(body)
    assert sum(told.buckets.values()) == 2
    assert tally.told().buckets == {}, "they are taken once"


def test_counts_add_up_and_are_told_apart() -> None:
    one = Told({"list": 3}, 10, 20, 1, 2, 1, {5: 2, 6: 1})
    other = Told({"list": 1, "renew": 4}, 1, 2, 0, 1, 1, {6: 4})
    both = together([one, other])
    assert both == Told({"list": 4, "renew": 4}, 11, 22, 1, 3, 2, {5: 2, 6: 5})
    assert since(both, one).calls == {"list": 1, "renew": 4}
    assert peak(both.buckets) == 5
    assert peak(both.buckets, since_s=0.7) == 0


def test_a_change_is_in_force_once_its_version_or_a_later_one_is() -> None:
    moments = np.array([[1.0, 3], [2.0, 7], [3.0, 9]])
    assert delay_ms(moments, Change("s", 5, 1.5)) == 500.0
    assert delay_ms(moments, Change("s", 9, 1.0)) == 2000.0
    assert delay_ms(moments, Change("s", 3, 4.0)) == 0.0, "in force before the answer came"
    assert delay_ms(moments, Change("s", 10, 1.0)) is None
    assert delay_ms(moments[:0], Change("s", 1, 1.0)) is None


def test_percentiles_of_no_change_are_none() -> None:
    assert spread([]) == {}
    assert spread([3.0, 1.0, 2.0]) == {"p50": 2.0, "p99": 2.98, "last": 3.0}


def test_lists_are_the_same_whatever_their_order() -> None:
    one = Entry(instance_id="a", host_port="127.0.0.1:1")
    other = Entry(instance_id="b", host_port="127.0.0.1:1")
    assert digest({"a": one, "b": other}) == digest({"b": other, "a": one})
    later = msgspec.structs.replace(other, started_at_ms=5)
    assert digest({"a": one, "b": other}) != digest({"a": one, "b": later})


# --- runs ---


def one_list(asked: Asked) -> Plan:
    """All follow the largest list, in the same two regions: sizes differ, and nothing else does."""
    made = seated(smaller(FLEET, asked.hollow + asked.real, 2), asked)
    service = max(made.sizes, key=lambda name: made.sizes[name])
    seats = [
        msgspec.structs.replace(seat, follows=service, rank=rank, balancers=len(made.seats))
        for rank, seat in enumerate(made.seats)
    ]
    return msgspec.structs.replace(made, seats=seats, wait_s=1.0)


def played(made: Plan, seconds: float, fault: str = "none", fault_s: float = 1.0) -> Result:
    run = Run(made, seconds, 1, 20.0, fault, fault_s)

    async def bounded() -> Result:
        async with asyncio.timeout(PATIENCE_S):
            return await run.run(lambda part, text: None, "fleet.toml")

    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        return runner.run(bounded())


@pytest.fixture(scope="module")
def small() -> Result:
    return played(one_list(Asked(100, real=2, lease_s=3.0)), 4.0)


@pytest.fixture(scope="module")
def larger() -> Result:
    return played(one_list(Asked(300, lease_s=3.0)), 4.0)


def test_all_end_with_the_main_services_lists(small: Result, larger: Result) -> None:
    for run in (small, larger):
        assert run.agreed
        assert run.records == run.watchers
        changes = run.phase("changes")
        assert changes.changes == changes.writes == 40
        pairs = {name: changes.in_force_ms[name] for name in ("p50", "p99", "last")}
        assert 0 <= pairs["p50"] <= pairs["p99"] <= pairs["last"]


def per(amount: float, count: int) -> float:
    assert count > 0
    return amount / count


def test_renewals_cost_calls_and_bytes_that_do_not_go_by_size(small: Result, larger: Result) -> None:
    one, other = (run.phase("calm").roles[HOLLOW] for run in (small, larger))
    bytes_each = [per(role.main_bytes, role.renewals) for role in (one, other)]
    assert abs(bytes_each[0] - bytes_each[1]) < 12, "names of sidecars differ by a few digits"
    for run in (small, larger):
        calm = run.phase("calm")
        assert calm.changes == calm.writes == 0
        assert calm.renewals == calm.roles[MAIN].renewals
        assert calm.roles[MAIN].calls == calm.renewals + calm.feed_answers


def test_an_answer_to_a_watch_tells_a_change_once_whatever_the_lists_length(
    small: Result, larger: Result
) -> None:
    for run in (small, larger):
        calm, changes = run.phase("calm"), run.phase("changes")
        assert calm.entries_told == 0
        # Each change is told to each sidecar that follows it: at most once, or along with the next one.
        assert 0 < changes.entries_told <= changes.in_force_pairs
    one, other = (run.phase("calm") for run in (small, larger))
    bytes_each = [per(phase.roles[HOLLOW].follower_bytes, phase.watch_answers) for phase in (one, other)]
    assert abs(bytes_each[0] - bytes_each[1]) < 0.1 * bytes_each[0]
    one, other = (run.phase("changes") for run in (small, larger))
    assert per(one.feed_answers, one.changes) < 3 * 2  # followers, with their calls that wait in vain
    assert per(other.feed_answers, other.changes) < 3 * 2


def alike(one: float, other: float) -> bool:
    return abs(one - other) <= 0.1 * max(one, other)


def test_a_hollow_sidecar_asks_as_a_real_one_does(small: Result) -> None:
    calm = small.phase("calm")
    hollow, real = calm.roles[HOLLOW], calm.roles[REAL]
    assert alike(per(hollow.main_bytes, hollow.renewals), per(real.main_bytes, real.renewals))
    assert alike(per(hollow.follower_bytes, hollow.answers), per(real.follower_bytes, real.answers))
    assert hollow.calls == hollow.renewals + hollow.answers
    assert real.calls == real.renewals + real.answers
    changes = small.phase("changes")
    hollow, real = changes.roles[HOLLOW], changes.roles[REAL]
    assert alike(per(hollow.entries, hollow.records), per(real.entries, real.records))
    for role in (hollow, real):
        assert role.connections >= 2 * role.records, "one to the main service, one to a follower"


def test_real_sidecars_serve_calls_beside_the_run(small: Result, larger: Result) -> None:
    assert larger.added is None
    assert small.added is not None
    assert small.added.calls > 0


def test_a_result_is_read_back_as_it_was_written(small: Result, tmp_path: Path) -> None:
    path = tmp_path / "run.json"
    path.write_bytes(msgspec.json.encode(small))
    assert results.read(path) == small
    assert small.phase("changes").name == "changes"
    with pytest.raises(KeyError):
        small.phase("none")


def counts_are_whole(phase: Phase) -> bool:
    counts = [(role.calls, role.bytes_in, role.bytes_out) for role in phase.roles.values()]
    return all(count >= 0 for each in counts for count in each)


@pytest.mark.parametrize("fault", ["release", "zone-lost", "region-cut", "follower-killed", "main-killed"])
def test_after_a_fault_all_are_there_and_agree(fault: str) -> None:
    made = plan(FLEET, Asked(90, lease_s=4.0))
    found = played(msgspec.structs.replace(made, wait_s=1.0), 1.0, fault, 4.0)
    assert found.agreed
    assert found.fault is not None and found.fault.name == fault
    assert found.records == 90
    assert found.fault.touched > 0
    assert found.fault.writes_tried > 0
    assert counts_are_whole(found.phase(fault))
    assert not [note for note in found.fault.notes if EMPTIED in note or WENT_BACK in note]
    if fault == "zone-lost":
        assert found.fault.least_records == 90 - found.fault.touched
        assert found.fault.lost_wrongly == 0
    if fault in ("region-cut", "main-killed"):
        assert found.fault.writes_failed > 0, "nobody takes them"
    if fault in ("follower-killed", "main-killed"):
        assert found.fault.lost_wrongly == 0


def test_the_least_records_are_those_of_any_look() -> None:
    """The watcher looks four times a second: a fault that waits for a count may see it in between."""

    async def status(wait_s: float) -> Any:
        return SimpleNamespace(records=80)

    topology: Any = SimpleNamespace(main=SimpleNamespace(status=status))
    course = Course(topology, plan(FLEET, Asked(90)), 1.0, 1)
    assert asyncio.run(course.records_are(80, 0.0))
    assert course.least_records == 80


# --- the command ---


def command(*words: str) -> list[str]:
    return [sys.executable, "-m", "eiderhub.cli", "bench", "scale", *words]


@pytest.mark.parametrize(
    ("words", "told"),
    [
        (["--hollow", "0"], "--hollow 0: at least 3"),
        (["--hollow", "100000000"], "fits"),
        (["--hollow", "50", "--real", "5000"], "take fewer real ones"),
        (["--hollow", "10", "--fault", "region-cut"], "two followers"),
        (["--fleet", "nowhere.toml"], "nowhere.toml"),
    ],
)
def test_bad_input_is_one_line_and_status_2(words: list[str], told: str) -> None:
    ended = subprocess.run(command(*words), capture_output=True, text=True, timeout=PATIENCE_S, check=False)
    assert ended.returncode == 2
    assert told in ended.stderr
    assert len(ended.stderr.strip().splitlines()) == 1
    assert ended.stdout == ""


def children(pid: int) -> list[int]:
    found = []
    for each in Path("/proc").iterdir():
        if each.name.isdigit():
            try:
                fields = (each / "stat").read_text().rpartition(")")[2].split()
            except OSError:
                continue
            if int(fields[1]) == pid and fields[0] != "Z":
                found.append(int(each.name))
    return found


def starts(pid: int) -> str:
    """Which start of a process this is; nothing where there is none."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[19]
    except OSError:
        return ""


def test_ctrl_c_leaves_no_process() -> None:
    run = subprocess.Popen(
        command("--hollow", "60", "--real", "1", "--seconds", "600"),
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )
    try:
        until = time.monotonic() + PATIENCE_S
        while len(started := children(run.pid)) < 6:  # main, two followers, endpoints, hollow, real
            assert run.poll() is None and time.monotonic() < until
            time.sleep(0.05)
        had = {pid: starts(pid) for pid in started}
        os.kill(run.pid, signal.SIGINT)
        _, said = run.communicate(timeout=PATIENCE_S)
    finally:
        run.kill()
        run.wait()
    assert run.returncode == 1
    assert said.strip().splitlines()[-1] == "ottercleat: interrupted"
    assert [pid for pid, start in had.items() if start and starts(pid) == start] == []
