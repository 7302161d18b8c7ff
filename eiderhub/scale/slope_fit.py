"""Fits measured runs to slopes: linear functions with coefficients that are not negative.

Each amount of a process (processor time, bytes, memory) is modelled as a sum of drivers, each multiplied by
its coefficient. Coefficients are fitted by least squares over all runs. A run is weighted by the inverse of
its own amount, so that the smallest run counts as much as the largest. A driver whose coefficient would be
negative is removed and the others are fitted again. Drivers that are collinear in the runs share one
coefficient, and a note says so.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import numpy as np

from eiderhub.capacity.slopes import SLOPE_DEFINITIONS, Slope, Slopes
from eiderhub.documents import DocumentError, Fault
from eiderhub.scale.data_path_bench import RelayResult
from eiderhub.scale.decisions_bench import DecisionsResult, Sample
from eiderhub.scale.result import FOLLOWER, HOLLOW, MAIN, Phase, Result, Role

MIN_WEIGHT_SHARE = 1e-4  # of the largest amount; smaller amounts, such as 0, get the weight of this one
COLLINEAR_TOLERANCE = 1e-6  # relative residual up to which a column is a combination of others
FLEET_RATE_PER_S = 116.0  # default, in calls a second for each endpoint
MEASURED_PHASES = ("calm", "changes")  # without the fill phase, which includes process starts
CHANGES_PHASE = "changes"
RETURN_FAULT = "follower-killed"  # the fault after which sidecars return to their follower
CONSTANT = ""  # name of the driver of the fixed part


class Observation(NamedTuple):
    """An amount measured in one run, with the values of its drivers."""

    run: str
    drivers: Mapping[str, float]
    amount: float


class FittedLine(NamedTuple):
    """Coefficients by driver. `spread` is the largest residual as a share of its own run's amount."""

    coefficients: dict[str, float]
    spread: float
    sizes: dict[str, tuple[float, float]]  # by driver: its smallest and largest value in the runs
    runs: list[str]
    # Drivers without a coefficient of their own, and the driver whose coefficient includes theirs.
    merged: dict[str, str]

    def evaluate(self, drivers: Mapping[str, float]) -> float:
        """Returns the amount that the line predicts for these drivers."""
        return sum(coefficient * drivers.get(name, 0.0) for name, coefficient in self.coefficients.items())


class FitError(Exception):
    """The runs do not suffice for a fit; the message says in one line which result is missing."""


ROUNDING_SHARE = 1e-9  # of a run's amount; a coefficient with a smaller part in every run is set to 0


def _non_negative_least_squares(matrix: np.ndarray, amounts: np.ndarray) -> np.ndarray:
    """Least squares; the column with the lowest negative coefficient is removed, repeatedly."""
    columns = list(range(matrix.shape[1]))
    while columns:
        solution = np.linalg.lstsq(matrix[:, columns], amounts, rcond=None)[0]
        lowest = int(np.argmin(solution))
        if solution[lowest] >= 0:
            coefficients = np.zeros(matrix.shape[1])
            coefficients[columns] = solution
            coefficients[coefficients * np.max(np.abs(matrix), axis=0) < ROUNDING_SHARE] = 0.0
            return coefficients
        del columns[lowest]
    return np.zeros(matrix.shape[1])


def _independent_columns(matrix: np.ndarray) -> tuple[list[int], dict[int, int]]:
    """Returns the independent columns, and for each dependent column the one that contributes most to it."""
    independent: list[int] = []
    merged: dict[int, int] = {}
    for column in range(matrix.shape[1]):
        values = matrix[:, column]
        if not np.any(values):
            continue  # absent from all runs
        if independent:
            others = matrix[:, independent]
            combination, *_ = np.linalg.lstsq(others, values, rcond=None)
            if np.linalg.norm(values - others @ combination) <= COLLINEAR_TOLERANCE * np.linalg.norm(values):
                contributions = np.abs(combination) * np.linalg.norm(others, axis=0)
                merged[column] = independent[int(np.argmax(contributions))]
                continue
        independent.append(column)
    return independent, merged


def solve(observations: Sequence[Observation], drivers: Sequence[str]) -> FittedLine:
    """Fits the coefficients of these drivers. A driver that is 0 in all runs has the coefficient 0.

    Raises:
        FitError: there are no observations.
    """
    if not observations:
        raise FitError("no runs")
    matrix = np.array([[each.drivers.get(name, 0.0) for name in drivers] for each in observations])
    amounts = np.array([each.amount for each in observations])
    floor = MIN_WEIGHT_SHARE * float(np.max(np.abs(amounts)))
    weights = np.maximum(np.abs(amounts), floor) if floor > 0 else np.ones(len(amounts))
    rows = matrix / weights[:, None]
    independent, merged = _independent_columns(rows)
    coefficients = np.zeros(len(drivers))
    if independent:
        coefficients[independent] = _non_negative_least_squares(rows[:, independent], amounts / weights)
    residuals = np.abs(matrix @ coefficients - amounts) / weights
    return FittedLine(
        {name: float(coefficient) for name, coefficient in zip(drivers, coefficients, strict=True)},
        float(np.max(residuals)),
        {
            name: (float(np.min(column)), float(np.max(column)))
            for name, column in zip(drivers, matrix.T, strict=True)
            if name != CONSTANT
        },
        sorted({each.run for each in observations}),
        {drivers[dropped]: drivers[substitute] for dropped, substitute in merged.items()},
    )


# --- input ---


@dataclass
class Runs:
    """Results by the names of their files."""

    scale: dict[str, Result] = field(default_factory=dict)
    relay: dict[str, RelayResult] = field(default_factory=dict)
    decisions: dict[str, DecisionsResult] = field(default_factory=dict)


def read(paths: Sequence[Path]) -> Runs:
    """Reads results of `ottercleat bench scale`, `relay` and `decisions`, which differ in their fields.

    Raises:
        DocumentError: a file can't be read or is not such a result, or two files have the same name.
    """
    runs = Runs()
    for path in paths:
        if path.name in {*runs.scale, *runs.relay, *runs.decisions}:
            raise DocumentError(str(path), [Fault("", "a second file with this name; rename one")])
        try:
            data = path.read_bytes()
            document: Any = msgspec.json.decode(data)
            kind = (
                document.get("kind", "scale" if "phases" in document else "")
                if isinstance(document, dict)
                else ""
            )
            if kind == "relay":
                runs.relay[path.name] = msgspec.convert(document, RelayResult)
            elif kind == "decisions":
                runs.decisions[path.name] = msgspec.convert(document, DecisionsResult)
            elif kind == "scale":
                runs.scale[path.name] = msgspec.convert(document, Result)
            else:
                reason = "not a result of `ottercleat bench scale`, `relay` or `decisions`"
                raise DocumentError(str(path), [Fault("", reason)])
        except OSError as error:
            raise DocumentError(str(path), [Fault("", error.strerror or "can't be read")]) from None
        except msgspec.MsgspecError as error:
            raise DocumentError(str(path), [Fault("", f"not a valid result: {error}")]) from None
    return runs


# --- drivers and amounts of each role ---

Drivers = Callable[[Result, Phase, str], dict[str, float]]


def _main_drivers(run: Result, phase: Phase, role: str) -> dict[str, float]:
    records = phase.roles[role].records
    return {
        "second": phase.seconds,
        "write": phase.writes,
        "renewal": phase.renewals,
        "feed": phase.changes * run.settings.followers,
        "second and record": phase.seconds * records,
        "write and record": phase.writes * records,
    }


def _follower_drivers(_: Result, phase: Phase, role: str) -> dict[str, float]:
    counts = phase.roles[role]
    return {
        "second": phase.seconds,
        "change": phase.changes,
        "answer": counts.answers,
        "entry": counts.entries,
    }


def _hollow_drivers(run: Result, phase: Phase, _: str) -> dict[str, float]:
    """Counts the hollow sidecars' share of the traffic, assuming that each sidecar has an equal share."""
    hollow_share = run.settings.hollow / max(1, run.watchers)
    return {
        "watcher second": run.settings.hollow * phase.seconds,
        "answer": phase.watch_answers * hollow_share,
        "entry": phase.entries_told * hollow_share,
        "renewal": phase.renewals * hollow_share,
    }


def _memory_drivers(_: Result, phase: Phase, role: str) -> dict[str, float]:
    return {CONSTANT: 1.0, "record": phase.roles[role].records, "connection": phase.roles[role].connections}


def _cpu_us(role: Role) -> float:
    return role.cpu_s * 1e6


def _bytes(role: Role) -> float:
    return float(role.bytes_in + role.bytes_out)


# Work over all records is proportional to their number, if the slope has records as a driver.
RECORD_COUNTS = tuple(
    f"{count} and record"
    for count, name in (("second", "main.idle"), ("write", "main.write"))
    if "record" in SLOPE_DEFINITIONS[name][1]
)
MAIN_COUNTS = ("second", "write", "renewal", "feed", *RECORD_COUNTS)
FOLLOWER_COUNTS = ("second", "change", "answer", "entry")
HOLLOW_COUNTS = ("answer", "entry", "renewal", "watcher second")
HOLLOW_TRAFFIC_COUNTS = ("answer", "entry", "renewal")
MEMORY_COUNTS = (CONSTANT, "record", "connection")


def _observations(
    runs: Mapping[str, Result],
    role: str,
    amount: Callable[[Role], float],
    drivers: Drivers,
    phases: Sequence[str] = MEASURED_PHASES,
) -> list[Observation]:
    """Returns one observation for each process of the role in each of the phases."""
    return [
        Observation(name, drivers(run, phase, process), amount(phase.roles[process]))
        for name, run in runs.items()
        for phase in run.phases
        if phase.name in phases
        for process in phase.roles
        if process == role or process.startswith(role + "-")
    ]


def _sidecar_cpu_by_rate(result: RelayResult) -> list[tuple[float, float]]:
    """Returns for each step the calls a second and the sidecar's processor time in microseconds a second."""
    return [
        (step.rate, step.sidecar_cpu_us_per_call * step.sidecar.sent / step.seconds) for step in result.steps
    ]


class Fit:
    """All lines that are fitted to a set of runs."""

    def __init__(self, runs: Runs, fleet_rate: float = FLEET_RATE_PER_S) -> None:
        self.runs = runs
        self.fleet_rate = fleet_rate
        self.notes: list[str] = []

    # --- lines of a role ---

    def role_line(self, figure: str) -> FittedLine:
        """Fits one figure of a role.

        `figure` is `main cpu`, `main memory`, `follower cpu`, `follower memory`, `hollow cpu` or
        `hollow bytes`. Processor time is in microseconds, memory in MB.

        Raises:
            FitError: no run has a process of this role.
        """
        definitions = {
            "main cpu": (MAIN, _cpu_us, _main_drivers, MAIN_COUNTS),
            "main memory": (MAIN, _memory_mb, _memory_drivers, MEMORY_COUNTS),
            "follower cpu": (FOLLOWER, _cpu_us, _follower_drivers, FOLLOWER_COUNTS),
            "follower memory": (FOLLOWER, _memory_mb, _memory_drivers, MEMORY_COUNTS),
            "hollow cpu": (HOLLOW, _cpu_us, _hollow_drivers, HOLLOW_COUNTS),
            "hollow bytes": (HOLLOW, _bytes, _hollow_drivers, HOLLOW_TRAFFIC_COUNTS),
        }
        role, amount, drivers, counts = definitions[figure]
        observations = _observations(self.runs.scale, role, amount, drivers)
        if not observations:
            raise FitError(f"no result of `ottercleat bench scale` has a phase calm or changes with {role}")
        return self._note_merged(figure, solve(observations, counts))

    def _note_merged(self, figure: str, line: FittedLine) -> FittedLine:
        for dropped, substitute in line.merged.items():
            one, other = dropped or "the fixed part", substitute or "the fixed part"
            note = f"{figure}: these runs can't distinguish {one} from {other}"
            if note not in self.notes:
                self.notes.append(note)
        return line

    # --- slopes ---

    def slopes(self) -> Slopes:
        """Returns the complete document of slopes.

        Raises:
            FitError: a result is missing; the message names the first.
        """
        for results, command in (
            (self.runs.scale, "scale"),
            (self.runs.relay, "relay"),
            (self.runs.decisions, "decisions"),
        ):
            if not results:
                raise FitError(f"no result of `ottercleat bench {command}`; run it and pass its file")
        all_slopes = (
            self._decision_slopes()
            | self._path_slopes()
            | self._sidecar_slopes()
            | self._service_slopes()
            | self._propagation_slopes()
        )
        first_run = next(iter(self.runs.scale.values()))
        process_results: list[RelayResult | DecisionsResult] = [
            *self.runs.relay.values(),
            *self.runs.decisions.values(),
        ]
        revisions = {each.revision for each in self.runs.scale.values()} | {
            each.revision for each in process_results
        }
        settings: dict[str, float | int | str] = {
            "lease_ms": first_run.settings.lease_ms,
            "wait_s": first_run.settings.wait_s,
            "changes_per_s": first_run.settings.changes_per_s,
            "followers": first_run.settings.followers,
            "fleet_rate": self.fleet_rate,
        }
        settings |= {f"note {number}": note for number, note in enumerate(self.notes, 1)}
        return Slopes(
            revision=", ".join(sorted(revisions)),
            machine=next(iter(self.runs.relay.values())).machine,
            measured=max(each.measured for each in process_results),
            settings=settings,
            slopes={name: all_slopes[name] for name in SLOPE_DEFINITIONS},
        )

    def _decision_slopes(self) -> dict[str, Slope]:
        figures: dict[str, Callable[[Sample], float]] = {
            "decisions.order": lambda each: each.order_us,
            "decisions.delta": lambda each: each.delta_us,
            "decisions.whole_list": lambda each: each.whole_list_us,
            "decisions.timers": lambda each: each.timers_us,
        }
        slopes = {}
        for name, figure in figures.items():
            observations = [
                Observation(run, {CONSTANT: 1.0, "endpoint": sample.size}, figure(sample))
                for run, result in self.runs.decisions.items()
                for sample in result.samples
            ]
            slopes[name] = self._single_driver_slope(name, observations, "endpoint")
        observations = [
            Observation(run, {CONSTANT: 1.0, "endpoint": each.size}, each.mb)
            for run, result in self.runs.decisions.items()
            for each in result.memory
        ]
        slopes["sidecar.memory"] = self._single_driver_slope("sidecar.memory", observations, "endpoint")
        return slopes

    def _single_driver_slope(self, name: str, observations: Sequence[Observation], driver: str) -> Slope:
        """Fits a fixed part and the coefficient of one driver."""
        if not observations:
            raise FitError(f"{name}: none of the given runs has its figures")
        line = self._note_merged(name, solve(observations, (CONSTANT, driver)))
        return _slope(name, line, CONSTANT, {driver: driver})

    def _path_slopes(self) -> dict[str, Slope]:
        calls = [
            Observation(run, {CONSTANT: 1.0, "call": rate}, us)
            for run, result in self.runs.relay.items()
            for rate, us in _sidecar_cpu_by_rate(result)
        ]
        line = solve(calls, (CONSTANT, "call"))
        if line.merged:
            raise FitError("path.call: no result of `ottercleat bench relay` with at least two rates")
        added_latencies = []
        for run, result in self.runs.relay.items():
            for step in result.steps:
                if step.rate == self.fleet_rate and step.over_direct is not None:
                    added_latencies.append(
                        Observation(run, {CONSTANT: 1.0}, max(0.0, step.over_direct.p99_ms))
                    )
        if not added_latencies:
            reason = f"no result of `ottercleat bench relay` has a step at {self.fleet_rate:g} calls/s"
            raise FitError(f"path.added_p99: {reason}")
        idle = [
            Observation(run, {CONSTANT: 1.0}, result.idle_cpu_us_per_s)
            for run, result in self.runs.relay.items()
        ]
        return {
            "path.call": _slope("path.call", line, "call", {}),
            "path.added_p99": _slope("path.added_p99", solve(added_latencies, (CONSTANT,)), CONSTANT, {}),
            "sidecar.idle": _slope("sidecar.idle", solve(idle, (CONSTANT,)), CONSTANT, {}),
        }

    def _sidecar_slopes(self) -> dict[str, Slope]:
        """Cost of list updates: processor time of hollow sidecars minus that of the decisions in it."""
        delta = self._decision_slopes()["decisions.delta"]
        observations = []
        for name, run in self.runs.scale.items():
            delta_us = delta.evaluate({"endpoint": run.settings.mean_list})
            for observation in _observations({name: run}, HOLLOW, _cpu_us, _hollow_drivers):
                # An answer without entries causes no decisions; one with entries is assumed to change one.
                decisions_us = delta_us * min(observation.drivers["answer"], observation.drivers["entry"])
                observations.append(observation._replace(amount=max(0.0, observation.amount - decisions_us)))
        if not observations:
            raise FitError("no result of `ottercleat bench scale` has a phase calm or changes with hollow")
        cpu = self._note_merged("sidecar cpu", solve(observations, HOLLOW_COUNTS))
        traffic = self.role_line("hollow bytes")
        return {
            "sidecar.answer": _slope("sidecar.answer", cpu, "answer", {"entry": "entry"}),
            "sidecar.renewal": _slope("sidecar.renewal", cpu, "renewal", {}),
            "sidecar.answer_bytes": _slope("sidecar.answer_bytes", traffic, "answer", {"entry": "entry"}),
            "sidecar.renewal_bytes": _slope("sidecar.renewal_bytes", traffic, "renewal", {}),
        }

    def _service_slopes(self) -> dict[str, Slope]:
        main, follower = self.role_line("main cpu"), self.role_line("follower cpu")
        memory_drivers = {"record": "record", "connection": "connection"}
        feed_observations = [
            Observation(
                name,
                {
                    "feed": phase.changes * run.settings.followers,
                    "follower second": run.settings.followers * phase.seconds,
                },
                phase.feed_bytes,
            )
            for name, run in self.runs.scale.items()
            for phase in run.phases
            if phase.name in MEASURED_PHASES
        ]
        feed = self._note_merged("feed bytes", solve(feed_observations, ("feed", "follower second")))
        return {
            "main.idle": self._slope_by_record("main.idle", main, "second"),
            "main.write": self._slope_by_record("main.write", main, "write"),
            "main.renewal": _slope("main.renewal", main, "renewal", {}),
            "main.feed": _slope("main.feed", main, "feed", {}),
            "main.feed_bytes": _slope("main.feed_bytes", feed, "feed", {}),
            "main.memory": _slope("main.memory", self.role_line("main memory"), CONSTANT, memory_drivers),
            "follower.idle": _slope("follower.idle", follower, "second", {}),
            "follower.change": _slope("follower.change", follower, "change", {}),
            "follower.answer": _slope("follower.answer", follower, "answer", {"entry": "entry"}),
            "follower.memory": _slope(
                "follower.memory", self.role_line("follower memory"), CONSTANT, memory_drivers
            ),
        }

    def _slope_by_record(self, name: str, main: FittedLine, count: str) -> Slope:
        record_count = f"{count} and record"
        slope = _slope(name, main, count, {"record": record_count} if record_count in RECORD_COUNTS else {})
        if not slope.per:
            return slope
        records = [
            phase.roles[MAIN].records
            for run in self.runs.scale.values()
            for phase in run.phases
            if MAIN in phase.roles
        ]
        return msgspec.structs.replace(slope, sizes={"record": (float(min(records)), float(max(records)))})

    def _propagation_slopes(self) -> dict[str, Slope]:
        slopes = {}
        for percentile in ("p50", "p99", "last"):
            line = self.propagation_line(percentile)
            slopes[f"spread.{percentile}"] = _slope(
                f"spread.{percentile}", line, CONSTANT, {"watcher": "watcher"}
            )
        returns = [
            Observation(name, {CONSTANT: 1.0, "watcher": run.fault.touched}, run.fault.back_s * 1000)
            for name, run in self.runs.scale.items()
            if run.fault is not None and run.fault.name == RETURN_FAULT and run.fault.back_s
        ]
        if not returns:
            raise FitError(f"return.last: no result of `ottercleat bench scale --fault {RETURN_FAULT}`")
        slopes["return.last"] = self._single_driver_slope("return.last", returns, "watcher")
        return slopes

    def propagation_line(self, percentile: str) -> FittedLine:
        """Fits the milliseconds from a change's acknowledgement until it is in force, by number of watchers.

        Raises:
            FitError: no run has a phase `changes`.
        """
        observations = [
            Observation(name, {CONSTANT: 1.0, "watcher": run.watchers}, phase.in_force_ms[percentile])
            for name, run in self.runs.scale.items()
            for phase in run.phases
            if phase.name == CHANGES_PHASE and percentile in phase.in_force_ms
        ]
        if not observations:
            raise FitError(f"spread.{percentile}: no result of `ottercleat bench scale` has a phase changes")
        return self._note_merged(f"spread.{percentile}", solve(observations, (CONSTANT, "watcher")))

    # --- prediction of other sizes ---

    def predict(self, watchers: int) -> dict[str, float]:
        """Predicts the phase `changes` of a run with this number of watchers and the same settings.

        The counts of work of a process are predicted by lines over the number of watchers, and their cost by
        the lines of its role. The names of the figures are those of `outcome`.

        Raises:
            FitError: the runs have fewer than two sizes, or none has a phase `changes`.
        """
        sizes = {run.watchers for run in self.runs.scale.values()}
        if len(sizes) < 2:
            raise FitError("--predict: needs results of `ottercleat bench scale` with at least two sizes")
        predicted = {}
        for role, drivers, counts in (
            (MAIN, _main_drivers, MAIN_COUNTS),
            (FOLLOWER, _follower_drivers, FOLLOWER_COUNTS),
            (HOLLOW, _hollow_drivers, HOLLOW_COUNTS),
        ):
            phase_length_s = self._phase_length_s()
            work_counts = {count: self._expected_count(role, drivers, count, watchers) for count in counts}
            predicted[f"{role} cpu share"] = (
                self.role_line(f"{role} cpu").evaluate(work_counts) / 1e6 / phase_length_s
            )
            if role != HOLLOW:
                memory_counts = {
                    count: self._expected_count(role, _memory_drivers, count, watchers)
                    for count in MEMORY_COUNTS
                }
                predicted[f"{role} memory mb"] = self.role_line(f"{role} memory").evaluate(memory_counts)
        work_counts = {
            count: self._expected_count(HOLLOW, _hollow_drivers, count, watchers)
            for count in HOLLOW_TRAFFIC_COUNTS
        }
        predicted["hollow bytes per s"] = (
            self.role_line("hollow bytes").evaluate(work_counts) / self._phase_length_s()
        )
        for percentile in ("p50", "p99", "last"):
            predicted[f"in force {percentile} ms"] = self.propagation_line(percentile).evaluate(
                {CONSTANT: 1.0, "watcher": watchers}
            )
        return predicted

    def _phase_length_s(self) -> float:
        lengths = [
            phase.seconds
            for run in self.runs.scale.values()
            for phase in run.phases
            if phase.name == CHANGES_PHASE
        ]
        if not lengths:
            raise FitError("--predict: no result of `ottercleat bench scale` has a phase changes")
        return float(np.median(lengths))

    def _expected_count(self, role: str, drivers: Drivers, count: str, watchers: int) -> float:
        """Predicts a count of the phase `changes`, as the mean over the processes of the role."""
        phase_length_s = self._phase_length_s()
        observations = []
        for name, run in self.runs.scale.items():
            process_observations = _observations({name: run}, role, _cpu_us, drivers, (CHANGES_PHASE,))
            if process_observations:
                mean = float(np.mean([each.drivers.get(count, 0.0) for each in process_observations]))
                observations.append(Observation(name, {CONSTANT: 1.0, "watcher": run.watchers}, mean))
        line = solve(observations, (CONSTANT, "watcher"))
        expected = line.evaluate({CONSTANT: 1.0, "watcher": watchers})
        return phase_length_s if count == "second" else expected


def _memory_mb(role: Role) -> float:
    return role.memory_mb


def outcome(run: Result) -> dict[str, float]:
    """Returns the figures of `Fit.predict` as measured in a run.

    Raises:
        FitError: the run has no phase `changes`.
    """
    try:
        phase = run.phase(CHANGES_PHASE)
    except KeyError:
        raise FitError("the outcome has no phase changes") from None
    followers = [role for name, role in phase.roles.items() if name.startswith(FOLLOWER)]
    measured = {}
    for name, roles in (
        (MAIN, [phase.roles[MAIN]]),
        (FOLLOWER, followers),
        (HOLLOW, [phase.roles[HOLLOW]]),
    ):
        measured[f"{name} cpu share"] = float(np.mean([role.cpu_s for role in roles])) / phase.seconds
        if name != HOLLOW:
            measured[f"{name} memory mb"] = float(np.mean([role.memory_mb for role in roles]))
    measured["hollow bytes per s"] = _bytes(phase.roles[HOLLOW]) / phase.seconds
    for percentile in ("p50", "p99", "last"):
        if percentile in phase.in_force_ms:
            measured[f"in force {percentile} ms"] = phase.in_force_ms[percentile]
    return measured


def _slope(name: str, line: FittedLine, fixed: str, per: Mapping[str, str]) -> Slope:
    """Makes a slope of a line; `fixed` and the values of `per` name drivers of the line."""
    return Slope(
        unit=SLOPE_DEFINITIONS[name][0],
        fixed=_round_to_six_digits(line.coefficients[fixed]),
        per={driver: _round_to_six_digits(line.coefficients[count]) for driver, count in per.items()},
        spread=round(line.spread, 4),
        sizes={driver: line.sizes[count] for driver, count in per.items()},
        runs=line.runs,
    )


def _round_to_six_digits(value: float) -> float:
    """Rounds to six digits, which is more precision than any run has."""
    return float(f"{value:.6g}")
