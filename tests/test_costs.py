"""Tests of the cost measurements: fitted lines, the call schedule, and small runs checked by their counts."""

from __future__ import annotations

import asyncio
import json
import random
import shutil
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import pytest
import uvloop
from click.testing import CliRunner

from eiderhub.address import Address
from eiderhub.capacity.slopes import SLOPE_DEFINITIONS, Slopes
from eiderhub.cli import costs
from eiderhub.cli.bench import command as bench
from eiderhub.documents import DocumentError
from eiderhub.emulator.processes import create_temporary_folder, reserve_port
from eiderhub.http1 import ConnectionPool, fetch
from eiderhub.scale import backends, data_path_bench, decisions_bench, result, slope_fit
from eiderhub.scale.precise_timers import PreciseTimers
from eiderhub.scale.slope_fit import CONSTANT, Observation

# --- fitted lines ---


def make_observations(
    coefficients: dict[str, float], driver_rows: list[dict[str, float]]
) -> list[Observation]:
    return [
        Observation(f"run{n}", row, sum(coefficients[name] * count for name, count in row.items()))
        for n, row in enumerate(driver_rows)
    ]


def test_fit_recovers_known_coefficients() -> None:
    coefficients = {CONSTANT: 40.0, "endpoint": 0.25, "entry": 7.0}
    rng = random.Random(3)
    rows = [
        {CONSTANT: 1.0, "endpoint": size, "entry": rng.uniform(0, 90)} for size in (15, 150, 1500, 15_000)
    ]
    line = slope_fit.solve(make_observations(coefficients, rows), tuple(coefficients))
    assert line.coefficients == pytest.approx(coefficients)
    assert line.spread < 1e-9
    assert line.sizes["endpoint"] == (15, 15_000)
    assert CONSTANT not in line.sizes
    assert line.runs == ["run0", "run1", "run2", "run3"]
    assert line.merged == {}


def test_runs_are_weighted_by_their_own_amounts() -> None:
    """Without weights, the residual of the largest run would change the fixed part by more than 100%."""
    rows = [{CONSTANT: 1.0, "endpoint": size} for size in (15, 150, 1500, 15_000)]
    run_observations = make_observations({CONSTANT: 20.0, "endpoint": 2.0}, rows)
    run_observations[-1] = run_observations[-1]._replace(amount=run_observations[-1].amount * 1.05)
    line = slope_fit.solve(run_observations, (CONSTANT, "endpoint"))
    assert line.coefficients[CONSTANT] == pytest.approx(20.0, rel=0.15)
    assert 0.01 < line.spread < 0.05


def test_negative_coefficients_are_excluded_and_the_rest_is_fitted_again() -> None:
    rows = [{CONSTANT: 1.0, "endpoint": size} for size in (10.0, 100.0, 1000.0)]
    falling = [Observation(f"run{n}", row, 100.0 - n) for n, row in enumerate(rows)]
    line = slope_fit.solve(falling, (CONSTANT, "endpoint"))
    assert line.coefficients["endpoint"] == 0.0
    assert line.coefficients[CONSTANT] == pytest.approx(99.0, rel=0.01)
    rng = np.random.default_rng(5)
    for _ in range(50):
        matrix, amounts = rng.uniform(0, 1, (6, 4)), rng.uniform(-1, 1, 6)
        names = ("a", "b", "c", "d")
        rows = [dict(zip(names, map(float, row), strict=True)) for row in matrix]
        random_observations = [
            Observation("run", row, float(y)) for row, y in zip(rows, amounts, strict=True)
        ]
        assert min(slope_fit.solve(random_observations, names).coefficients.values()) >= 0


def test_spread_is_the_largest_relative_residual() -> None:
    run_observations = [
        Observation(f"run{n}", {CONSTANT: 1.0}, amount) for n, amount in enumerate((90.0, 100.0, 110.0))
    ]
    line = slope_fit.solve(run_observations, (CONSTANT,))
    fixed = line.coefficients[CONSTANT]
    assert line.spread == pytest.approx(max(abs(fixed - y) / y for y in (90.0, 100.0, 110.0)))
    assert line.spread > 0.08


def test_collinear_drivers_share_a_coefficient_and_are_reported() -> None:
    rows = [{"write": n, "feed": 7 * n, "second": 10.0} for n in (20.0, 40.0, 80.0)]
    coefficients = {"write": 100.0, "feed": 10.0, "second": 5.0}
    line = slope_fit.solve(make_observations(coefficients, rows), tuple(coefficients))
    assert line.merged == {"feed": "write"}
    assert line.coefficients["write"] == pytest.approx(170.0)
    assert line.coefficients["feed"] == 0.0
    assert line.coefficients["second"] == pytest.approx(5.0)


def test_driver_absent_from_all_runs_has_coefficient_zero() -> None:
    line = slope_fit.solve([Observation("run", {"second": 2.0}, 6.0)], ("second", "write"))
    assert line.coefficients == pytest.approx({"second": 3.0, "write": 0.0})
    assert line.merged == {}
    with pytest.raises(slope_fit.FitError):
        slope_fit.solve([], ("second",))


# --- complete documents ---

COEFFICIENTS: dict[str, dict[str, float]] = {  # microseconds, bytes, MB
    "main": {"second": 900.0, "write": 400.0, "renewal": 120.0, "feed": 60.0},
    "follower": {"second": 700.0, "change": 90.0, "answer": 80.0, "entry": 3.0},
    "hollow": {"watcher second": 200.0, "answer": 150.0, "entry": 5.0, "renewal": 110.0},
    "traffic": {"answer": 500.0, "entry": 220.0, "renewal": 330.0},
    "memory": {CONSTANT: 30.0, "record": 0.002, "connection": 0.02},
}
DELTA_US = (10.0, 2.0)  # processor time of a delta: fixed part, and for each endpoint
FEED_BYTES, FEED_IDLE_BYTES = 300.0, 40.0
MEAN_LIST = 15.0


def cost_of(name: str, counts: dict[str, float]) -> float:
    return sum(COEFFICIENTS[name][count] * amount for count, amount in counts.items())


def scale_run(
    watchers: int, followers: int, seed: int, fault: str = "none", changes: int | None = None
) -> result.Result:
    """A scale result whose amounts are computed from COEFFICIENTS."""
    rng = random.Random(seed)
    phases = []
    for name, seconds in (("calm", 20.0), ("changes", 30.0)):
        in_force = {
            percentile: k * (50.0 + 0.1 * watchers) for k, percentile in enumerate(("p50", "p99", "last"), 1)
        }
        writes = 0 if name == "calm" else (changes or rng.randint(200, 400))
        renewals = int(watchers * seconds / 10) + rng.randint(0, 30)
        answers = int(watchers * seconds / 20) + writes * 15 + rng.randint(0, 50)
        entries = writes * 15 + rng.randint(0, 40)
        roles: dict[str, result.Role] = {}
        main = {"second": seconds, "write": writes, "renewal": renewals, "feed": writes * followers}
        traffic: dict[str, float] = {"answer": answers, "entry": entries, "renewal": renewals}
        memory = {CONSTANT: 1.0, "record": 3 * watchers, "connection": watchers + rng.randint(0, 99)}
        total_feed_bytes = FEED_BYTES * writes * followers + FEED_IDLE_BYTES * followers * seconds
        roles["main"] = result.Role(
            processes=1,
            cpu_s=cost_of("main", main) / 1e6,
            memory_mb=cost_of("memory", memory),
            records=3 * watchers,
            connections=int(memory["connection"]),
        )
        for number in range(followers):
            follower_counts = {
                "second": seconds,
                "change": writes,
                "answer": answers // followers,
                "entry": entries // followers,
            }
            follower_memory = {
                CONSTANT: 1.0,
                "record": 3 * watchers,
                "connection": watchers // followers + number,
            }
            roles[f"follower-r{number}"] = result.Role(
                processes=1,
                cpu_s=cost_of("follower", follower_counts) / 1e6,
                memory_mb=cost_of("memory", follower_memory),
                answers=answers // followers,
                entries=entries // followers,
                records=3 * watchers,
                connections=watchers // followers + number,
            )
        decisions_us = (DELTA_US[0] + DELTA_US[1] * MEAN_LIST) * min(answers, entries)
        roles["hollow"] = result.Role(
            processes=4,
            cpu_s=(cost_of("hollow", {**traffic, "watcher second": watchers * seconds}) + decisions_us) / 1e6,
            memory_mb=100.0,
            bytes_in=int(cost_of("traffic", traffic)),
        )
        roles["run"] = result.Role(processes=1, cpu_s=0.1, memory_mb=50.0)
        phases.append(
            result.Phase(
                name=name,
                seconds=seconds,
                changes=writes,
                writes=writes,
                renewals=renewals,
                watch_answers=answers,
                entries_told=entries,
                feed_answers=writes * followers,
                feed_bytes=int(total_feed_bytes),
                roles=roles,
                in_force_ms=in_force if writes else {},
            )
        )
    fault_result = result.Fault(
        name=fault,
        touched=watchers // followers,
        writes_tried=0,
        writes_failed=0,
        renewals_failed=0,
        lost_wrongly=0,
        agree_s=5.0,
        back_s=1.0 + 0.002 * (watchers // followers),
        agreed=True,
        peak_per_100ms={},
        least_records=0,
    )
    return result.Result(
        revision="abc1234",
        machine=result.Machine(cores=8, memory_mb=16000, python="3.11", system="Linux"),
        settings=result.Settings(
            fleet="fleet.toml", hollow=watchers, real=0, seconds=30.0, fault=fault, fault_s=10.0, services=9,
            followers=followers, hollow_processes=4, lease_ms=30_000, wait_s=20.0, changes_per_s=10.0,
            mean_list=MEAN_LIST, largest_service=50, most_watched=100,
        ),
        seed=seed, watchers=watchers, records=3 * watchers, fill_s=1.0, late_ms=1.0, phases=phases,
        agreed=True, fault=None if fault == "none" else fault_result,
    )  # fmt: skip


def leg(p99_ms: float) -> data_path_bench.Leg:
    return data_path_bench.Leg(1000, 1000, 0, 0, data_path_bench.LatencyPercentiles(0.5, p99_ms, p99_ms))


def relay_run() -> data_path_bench.RelayResult:
    steps = [
        data_path_bench.Step(
            rate=rate,
            seconds=10.0,
            sidecar=msgspec.structs.replace(leg(1.0 + added), sent=int(rate * 10)),
            relay=leg(1.1),
            direct=leg(1.0),
            over_direct=data_path_bench.LatencyPercentiles(0.2, added, added),
            over_relay=data_path_bench.LatencyPercentiles(0.1, added, added),
            sidecar_cpu_us_per_call=300.0 + 5000.0 / rate,
            relay_cpu_us_per_call=40.0,
            sidecar_cpu_share=0.1,
            connections={},
            connections_per_1000={},
            late=data_path_bench.LatencyPercentiles(0.1, 0.1, 0.1),
            endpoints_late_p99_ms=0.1,
        )
        for rate, added in ((116.0, 0.4), (400.0, 0.7))
    ]
    return data_path_bench.RelayResult(
        revision="abc1234", machine="8 cores", measured="2030-01-01", settings={}, idle_cpu_us_per_s=2500.0,
        memory_mb=30.0, steps=steps,
    )  # fmt: skip


def decisions_run() -> decisions_bench.DecisionsResult:
    return decisions_bench.DecisionsResult(
        revision="abc1234",
        machine="8 cores",
        measured="2030-01-02",
        settings={},
        samples=[
            decisions_bench.Sample(
                size=size,
                order_us=20.0 + 0.001 * size,
                delta_us=DELTA_US[0] + DELTA_US[1] * size,
                whole_list_us=15.0 + 3.0 * size,
                timers_us=100.0 + 4.0 * size,
                bytes_per_endpoint=900.0,
                refused=0,
            )
            for size in (15, 150, 1500)
        ],
        memory=[decisions_bench.Memory(size, 29.0 + 0.003 * size) for size in (15, 150, 1500)],
    )


def write_results(folder: Path, **documents: Any) -> list[Path]:
    paths = []
    for name, document in documents.items():
        file = folder / f"{name}.json"
        file.write_bytes(msgspec.json.encode(document))
        paths.append(file)
    return paths


def write_all_runs(folder: Path) -> list[Path]:
    return write_results(
        folder,
        a=scale_run(250, 3, 1),
        b=scale_run(500, 7, 2),
        c=scale_run(1000, 7, 3),
        d=scale_run(500, 3, 4, "follower-killed"),
        e=scale_run(1000, 3, 5, "follower-killed"),
        relay=relay_run(),
        decisions=decisions_run(),
    )


def test_slopes_of_synthetic_runs_match_their_coefficients(tmp_path: Path) -> None:
    fitted = slope_fit.Fit(slope_fit.read(write_all_runs(tmp_path)))
    fitted_slopes = fitted.slopes().slopes
    assert fitted.notes == []
    expected: dict[str, tuple[float, dict[str, float]]] = {
        "decisions.order": (20.0, {"endpoint": 0.001}),
        "decisions.delta": (DELTA_US[0], {"endpoint": DELTA_US[1]}),
        "decisions.whole_list": (15.0, {"endpoint": 3.0}),
        "decisions.timers": (100.0, {"endpoint": 4.0}),
        "path.call": (300.0, {}),
        "path.added_p99": (0.4, {}),
        "sidecar.idle": (2500.0, {}),
        "sidecar.answer": (150.0, {"entry": 5.0}),
        "sidecar.answer_bytes": (500.0, {"entry": 220.0}),
        "sidecar.renewal": (110.0, {}),
        "sidecar.renewal_bytes": (330.0, {}),
        "sidecar.memory": (29.0, {"endpoint": 0.003}),
        "main.idle": (900.0, {"record": 0.0}),
        "main.write": (400.0, {"record": 0.0}),
        "main.renewal": (120.0, {}),
        "main.feed": (60.0, {}),
        "main.feed_bytes": (FEED_BYTES, {}),
        "main.memory": (30.0, {"record": 0.002, "connection": 0.02}),
        "follower.idle": (700.0, {}),
        "follower.change": (90.0, {}),
        "follower.answer": (80.0, {"entry": 3.0}),
        "follower.memory": (30.0, {"record": 0.002, "connection": 0.02}),
        "spread.p50": (50.0, {"watcher": 0.1}),
        "spread.p99": (100.0, {"watcher": 0.2}),
        "spread.last": (150.0, {"watcher": 0.3}),
        "return.last": (1000.0, {"watcher": 2.0}),
    }
    assert fitted_slopes.keys() == expected.keys() == SLOPE_DEFINITIONS.keys()
    for name, (fixed, per) in expected.items():
        slope = fitted_slopes[name]
        assert slope.unit == SLOPE_DEFINITIONS[name][0], name
        assert slope.fixed == pytest.approx(fixed, rel=0.02), name
        assert slope.per == pytest.approx(per, rel=0.02), name
        assert slope.spread < 0.02, name
        assert slope.runs, name
        assert slope.sizes.keys() == slope.per.keys(), name
    assert fitted_slopes["spread.p99"].sizes["watcher"] == (250, 1000)


def test_main_service_slopes_are_fitted_per_record(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """If a slope has records as a driver, the cost of a write or second is proportional to their number."""
    record_second_us, record_write_us = 0.5, 0.05
    runs = []
    for number, (watchers, followers) in enumerate(((250, 3), (500, 7), (1000, 7), (2000, 3)), 1):
        run = scale_run(watchers, followers, number)
        phases = []
        for phase in run.phases:
            main = phase.roles["main"]
            extra_us = main.records * (record_second_us * phase.seconds + record_write_us * phase.writes)
            roles = {**phase.roles, "main": msgspec.structs.replace(main, cpu_s=main.cpu_s + extra_us / 1e6)}
            phases.append(msgspec.structs.replace(phase, roles=roles))
        runs.append(msgspec.structs.replace(run, phases=phases))
    fitted = slope_fit.Fit(
        slope_fit.read(write_results(tmp_path, **{f"n{n}": run for n, run in enumerate(runs)}))
    )
    record_counts = tuple(f"{count} and record" for count in ("second", "write"))
    with monkeypatch.context() as without_records:
        without_records.setattr(slope_fit, "RECORD_COUNTS", ())
        without_records.setattr(slope_fit, "MAIN_COUNTS", ("second", "write", "renewal", "feed"))
        plain = slope_fit.Fit(slope_fit.read(list(tmp_path.glob("*.json")))).role_line("main cpu")
    monkeypatch.setattr(slope_fit, "RECORD_COUNTS", record_counts)
    monkeypatch.setattr(slope_fit, "MAIN_COUNTS", ("second", "write", "renewal", "feed", *record_counts))
    fitted_slopes = fitted._service_slopes()
    assert fitted_slopes["main.idle"].per == pytest.approx({"record": record_second_us}, rel=0.02)
    assert fitted_slopes["main.write"].per == pytest.approx({"record": record_write_us}, rel=0.02)
    assert fitted_slopes["main.write"].fixed == pytest.approx(400.0, rel=0.02)
    assert fitted_slopes["main.write"].sizes == {"record": (750, 6000)}
    assert fitted_slopes["main.write"].spread < 0.01 < plain.spread  # without record drivers no line fits


def test_revision_is_read_from_the_checkout_root_only(tmp_path: Path) -> None:
    assert costs.revision(tmp_path) == "unknown"
    git = ["git", "-c", "user.name=n", "-c", "user.email=n@localhost", "-C", str(tmp_path)]
    package = tmp_path / "eiderhub"
    package.mkdir()
    (package / "a.py").touch()
    for arguments in (["init", "-q"], ["add", "."], ["commit", "-q", "-m", "first"]):
        subprocess.run([*git, *arguments], check=True, capture_output=True, timeout=30)
    clean = costs.revision(tmp_path)
    assert clean.isalnum()
    assert costs.revision(package) == "unknown"  # a folder inside a checkout is not its root
    (package / "a.py").write_text("x = 1\n", encoding="utf-8")
    assert costs.revision(tmp_path) == clean + "+"


def test_slopes_document_matches_its_schema(tmp_path: Path) -> None:
    out = tmp_path / "slopes.json"
    arguments = ["slopes", *map(str, write_all_runs(tmp_path)), "-o", str(out)]
    done = CliRunner().invoke(bench, arguments, standalone_mode=False)
    assert done.return_value == 0, done.output
    document = msgspec.json.decode(out.read_bytes(), type=Slopes)
    assert document.measured == "2030-01-02"
    assert document.revision == "abc1234"
    assert document.settings["lease_ms"] == 30_000


def test_prediction_for_a_larger_size_matches_its_run(tmp_path: Path) -> None:
    runs = slope_fit.read(
        write_results(tmp_path, **{f"n{n}": scale_run(n, 3, n, changes=300) for n in (250, 500, 1000)})
    )
    predicted = slope_fit.Fit(runs).predict(4000)
    measured = slope_fit.outcome(scale_run(4000, 3, 9, changes=300))
    assert predicted.keys() == measured.keys()
    exact = [
        "main memory mb",
        "follower memory mb",
        *(f"in force {percentile} ms" for percentile in ("p50", "p99", "last")),
    ]
    for name in exact:
        assert predicted[name] == pytest.approx(measured[name], rel=0.02), name
    for name in ("main cpu share", "follower cpu share", "hollow cpu share", "hollow bytes per s"):
        # Renewals and answers of the runs are random.
        assert predicted[name] == pytest.approx(measured[name], rel=0.05), name


def test_outcome_is_printed_beside_the_prediction(tmp_path: Path) -> None:
    runs = write_results(tmp_path, a=scale_run(250, 3, 1), b=scale_run(500, 3, 2))
    large = write_results(tmp_path, large=scale_run(1000, 3, 3))[0]
    arguments = ["slopes", *map(str, runs), "--outcome", str(large)]
    done = CliRunner().invoke(bench, arguments, standalone_mode=False)
    assert done.return_value == 0, done.output
    assert "1000 watchers" in done.output and "outcome" in done.output
    done = CliRunner().invoke(bench, ["slopes", *map(str, [*runs, large]), "--outcome", str(large)])
    assert done.exit_code == 2 and "leave it out" in done.output


@pytest.mark.parametrize(
    ("left_out", "expected_text"),
    [
        (("a", "b", "c", "d", "e"), "bench scale"),
        (("relay",), "bench relay"),
        (("decisions",), "bench decisions"),
        (("d", "e"), "return.last"),
    ],
)
def test_missing_input_is_reported_in_one_line(
    tmp_path: Path, left_out: tuple[str, ...], expected_text: str
) -> None:
    arguments = [str(each) for each in write_all_runs(tmp_path) if each.stem not in left_out]
    out = tmp_path / "slopes.json"
    done = run_command("slopes", *arguments, "-o", str(out))
    assert done.returncode == 2
    errors = [line for line in done.stderr.splitlines() if line.startswith("Error")]
    assert len(errors) == 1 and expected_text in errors[0]
    assert not out.exists()


def test_a_single_call_rate_is_rejected(tmp_path: Path) -> None:
    single_rate = relay_run()
    single_rate = msgspec.structs.replace(single_rate, steps=single_rate.steps[:1])
    paths = [each for each in write_all_runs(tmp_path) if each.stem != "relay"]
    fitted = slope_fit.Fit(slope_fit.read([*paths, *write_results(tmp_path, one=single_rate)]))
    with pytest.raises(slope_fit.FitError, match="two rates"):
        fitted.slopes()


@pytest.mark.parametrize("text", ["", "[1]", "{}", '{"kind": "relay"}', '{"phases": 3}', '{"kind": 4}'])
def test_invalid_result_file_is_reported(tmp_path: Path, text: str) -> None:
    file = tmp_path / "odd.json"
    file.write_text(text, encoding="utf-8")
    with pytest.raises(DocumentError) as error:
        slope_fit.read([file])
    assert len(error.value.fault_lines()) == 1 and str(file) in error.value.fault_lines()[0]
    done = run_command("slopes", str(file))
    assert done.returncode == 2 and str(file) in done.stderr and "Traceback" not in done.stderr


def test_missing_result_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(DocumentError, match=r"none\.json"):
        slope_fit.read([tmp_path / "none.json"])


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "eiderhub.cli", "bench", *arguments],
        capture_output=True,
        text=True,
        timeout=120,
    )


# --- data path ---


def test_call_schedule_is_deterministic_for_a_seed() -> None:
    due_ns, legs = data_path_bench.due_times(3, 116.0, 5.0, 7)
    due_again_ns, legs_again = data_path_bench.due_times(3, 116.0, 5.0, 7)
    assert np.array_equal(due_ns, due_again_ns) and np.array_equal(legs, legs_again)
    assert np.all(np.diff(due_ns) >= 0)
    assert set(legs) == {0, 1, 2}
    other_due_ns, _ = data_path_bench.due_times(3, 116.0, 5.0, 8)
    assert not np.array_equal(due_ns, other_due_ns)
    for leg_number in range(3):  # each leg has its own Poisson process with this rate
        leg_due_ns = due_ns[legs == leg_number]
        assert abs(len(leg_due_ns) - 580) < 5 * 580**0.5
        assert not np.intersect1d(leg_due_ns, due_ns[legs == (leg_number + 1) % 3]).size


def test_timers_fire_in_order_and_never_early() -> None:
    async def check() -> list[tuple[str, int]]:
        timers = PreciseTimers()
        fired: list[tuple[str, int]] = []
        done = asyncio.Event()
        now_ns = time.monotonic_ns()
        due_ns = {"c": now_ns + 3_000_000, "a": now_ns - 5, "b": now_ns + 1_500_000, "d": now_ns + 3_000_001}
        for name, when_ns in due_ns.items():
            timers.call_at(
                when_ns, lambda name=name: fired.append((name, time.monotonic_ns() - due_ns[name]))
            )
        timers.call_at(now_ns + 4_000_000, done.set)
        async with asyncio.timeout(10):
            await done.wait()
        timers.close()
        timers.close()  # a second call has no effect
        assert len(timers.lateness_ns) == 5 and min(timers.lateness_ns) >= 0
        return fired

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        fired = runner.run(check())
    assert [name for name, _ in fired] == ["a", "b", "c", "d"]
    assert all(delay_ns >= 0 for _, delay_ns in fired)


def test_small_relay_run_counts_every_call(tmp_path: Path) -> None:
    out = tmp_path / "relay.json"
    done = run_command(
        "relay",
        "--rate",
        "30",
        "--seconds",
        "1",
        "--endpoints",
        "2",
        "--service-us",
        "300",
        "--json",
        str(out),
    )
    assert done.returncode == 0, done.stderr
    relay_result = msgspec.json.decode(out.read_bytes(), type=data_path_bench.RelayResult)
    (step,) = relay_result.steps
    due_ns, legs = data_path_bench.due_times(3, 30.0, 1.0, 1)
    for number, leg_name in enumerate(data_path_bench.LEGS):
        counted: data_path_bench.Leg = getattr(step, leg_name)
        assert counted.sent == counted.served == int(np.sum(legs == number)) > 0, leg_name
        assert counted.refused == counted.failed == 0
        assert counted.times is not None and counted.times.p50_ms >= 0.3  # the endpoints' service time
        # Connections are reused, so that there are at most as many as calls.
        assert 0 <= step.connections[leg_name] <= counted.sent
    assert len(due_ns) == sum(getattr(step, leg_name).sent for leg_name in data_path_bench.LEGS)
    assert step.sidecar_cpu_us_per_call > 0 and step.relay_cpu_us_per_call > 0
    assert step.over_direct is not None and step.over_relay is not None
    assert relay_result.memory_mb > 5 and relay_result.idle_cpu_us_per_s > 0


def test_endpoint_connections_are_counted_per_leg() -> None:
    async def check(folder: Path) -> None:
        process, addresses = await data_path_bench.start_backends(
            folder, "endpoints", "endpoints", "2", "3", "0"
        )
        relay, relay_addresses = await data_path_bench.start_backends(
            folder, "relay", "relay", *map(str, addresses.sets[1])
        )
        callers = data_path_bench.Callers({"direct": addresses.sets[0], "relay": relay_addresses.sets[0]})
        try:
            async with asyncio.timeout(30):
                legs, _ = await callers.run_load(60.0, 0.5, 3)
                counts = await fetch_counts(addresses)
                opened = [
                    sum(len(pool.open) for pool in calls.pools) for calls in callers.calls_by_leg.values()
                ]
                legs_again, _ = await callers.run_load(60.0, 0.5, 4)
                counts_again = await fetch_counts(addresses)
        finally:
            callers.close()
            await data_path_bench.stop_processes([relay, process])
        assert legs["direct"].served == legs["direct"].sent == counts.answered[0] > 0
        assert legs["relay"].served == legs["relay"].sent == counts.answered[1] > 0
        # All connections are still open, and each was counted once.
        assert counts.accepted == opened and all(opened)
        assert counts_again.answered[0] == legs["direct"].sent + legs_again["direct"].sent
        assert process.exited.is_set() and relay.exited.is_set()

    async def fetch_counts(addresses: backends.ListenAddresses) -> backends.EndpointCounts:
        assert addresses.figures is not None
        pool = ConnectionPool(*addresses.figures)
        reply = await fetch(pool, b"GET / HTTP/1.1\r\nHost: figures\r\n\r\n", 10.0)
        pool.close()
        return msgspec.json.decode(reply.body, type=backends.EndpointCounts)

    folder = create_temporary_folder()
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(check(folder))
    finally:
        shutil.rmtree(folder)


def test_measure_separates_target_and_direct_calls_and_counts_failures() -> None:
    async def check(folder: Path) -> data_path_bench.PathFigures:
        process, addresses = await data_path_bench.start_backends(
            folder, "endpoints", "endpoints", "1", "2", "0"
        )
        reserved_socket = reserve_port("127.0.0.1")  # bound, but not listening
        try:
            async with asyncio.timeout(30):
                return await data_path_bench.measure(
                    [reserved_socket.getsockname()], addresses.sets[0], 50.0, 0.5, 1
                )
        finally:
            reserved_socket.close()
            await data_path_bench.stop_processes([process])

    folder = create_temporary_folder()
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            figures = runner.run(check(folder))
    finally:
        shutil.rmtree(folder)
    assert figures.target.failed == figures.target.sent > 0
    assert figures.target.times is None and figures.added is None
    assert figures.direct.served == figures.direct.sent > 0


def test_measure_rejects_addresses_outside_loopback() -> None:
    async def check() -> None:
        with pytest.raises(ValueError, match="loopback"):
            await data_path_bench.measure([("10.0.0.1", 80)], [("127.0.0.1", 80)], 1.0, 0.1, 1)

    asyncio.run(check())


@pytest.mark.parametrize(
    ("arguments", "expected_text"),
    [
        (("--rate", "0"), "--rate"),
        (("--endpoints", "0"), "--endpoints"),
        (("--service-us", "-1"), "--service-us"),
        (("--sidecar", "/nowhere"), "/nowhere"),
        (("--json", "/nowhere/x.json"), "/nowhere"),
    ],
)
def test_invalid_relay_option_is_reported(arguments: tuple[str, ...], expected_text: str) -> None:
    done = CliRunner().invoke(bench, ["relay", *arguments])
    assert done.exit_code == 2
    assert expected_text in done.output


def test_sidecar_that_exits_at_start_is_reported(tmp_path: Path) -> None:
    package = tmp_path / "eiderhub" / "sidecar"
    package.mkdir(parents=True)
    (tmp_path / "eiderhub" / "__init__.py").touch()
    (package / "__init__.py").touch()
    (package / "__main__.py").write_text("raise SystemExit('the other checkout')\n", encoding="utf-8")
    done = run_command("relay", "--rate", "10", "--seconds", "0.1", "--sidecar", str(tmp_path))
    assert done.returncode == 2
    assert "sidecar has ended" in done.stderr and "the other checkout" in done.stderr
    assert "Traceback" not in done.stderr


# --- decisions ---


def test_decisions_run_of_small_sizes_reports_all_figures(tmp_path: Path) -> None:
    out = tmp_path / "decisions.json"
    done = run_command("decisions", "--sizes", "30,3", "--repeats", "2", "--json", str(out))
    assert done.returncode == 0, done.stderr
    decisions_result = msgspec.json.decode(out.read_bytes(), type=decisions_bench.DecisionsResult)
    assert [each.size for each in decisions_result.samples] == [3, 3, 30, 30]
    assert [each.size for each in decisions_result.memory] == [3, 30]
    for sample in decisions_result.samples:
        assert sample.refused == 0
        for name in ("order_us", "delta_us", "whole_list_us", "timers_us", "bytes_per_endpoint"):
            assert getattr(sample, name) > 0, name
    assert all(each.mb > 5 for each in decisions_result.memory)


def test_decisions_driver_completes_every_call() -> None:
    driver = decisions_bench._Driver(12, 12, 1)
    for _ in range(3):
        driver.run_second()
    assert driver.refused == 0
    assert driver.attempts == 3 * decisions_bench.INSTANTS_PER_S * decisions_bench.CALLS_PER_INSTANT
    assert not driver.open_calls


@pytest.mark.parametrize("sizes", ["0", "a", "15,-1", "1000000000", ""])
def test_invalid_sizes_option_is_reported(sizes: str) -> None:
    done = CliRunner().invoke(bench, ["decisions", "--sizes", sizes])
    assert done.exit_code == 2
    assert "--sizes" in done.output


def test_sidecar_parses_the_backends_endpoint_list() -> None:
    from eiderhub.sidecar.discovery import parse_endpoint_list

    addresses = [Address("127.0.0.1", 80 + n) for n in range(3)]
    endpoint_list = parse_endpoint_list(json.dumps(backends.full_list(addresses)).encode())
    assert endpoint_list.is_full and endpoint_list.generation == backends.GENERATION
    assert [(each.host, each.port) for each in endpoint_list.entries] == [tuple(each) for each in addresses]
