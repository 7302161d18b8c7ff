"""Turns measured runs into slopes: straight lines through them, none of whose parts is below zero.

Each figure of a process (processor time, bytes, memory) is taken to be a sum of counts, each times its own
price. Prices come from least squares over all runs, each weighed by its own figure, so that the smallest run
counts as much as the largest. A price that would be negative is none: its count is left out, and the rest is
solved again. Counts that the runs can't tell apart share one price, which is said.
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
from eiderhub.scale.decisions import DecisionsResult, Sample
from eiderhub.scale.path import RelayResult
from eiderhub.scale.result import FOLLOWER, HOLLOW, MAIN, Phase, Result, Role

LEAST = 1e-4  # of the largest figure: smaller ones, such as 0, are weighed as if they were so large
SAME = 1e-6  # columns that differ by no more than this part are the same
FLEET_RATE = 116.0  # calls a second and endpoint, where nothing else is said
STEADY = ("calm", "changes")  # phases; a fill has starts of processes in it
CHANGES = "changes"
RETURN = "follower-killed"  # the fault after which a follower's sidecars come back to it
CONSTANT = ""  # the driver of what is there always


class Observation(NamedTuple):
    """One run's figure, and how much of each driver went into it."""

    run: str
    drivers: Mapping[str, float]
    amount: float


class Line(NamedTuple):
    """Prices by driver. `spread` is the largest residual, as a share of its run's own figure."""

    prices: dict[str, float]
    spread: float
    sizes: dict[str, tuple[float, float]]  # by driver: the least and the most of it that a run had
    runs: list[str]
    merged: dict[str, str]  # drivers without a price, and the one that bears theirs as well

    def at(self, drivers: Mapping[str, float]) -> float:
        return sum(price * drivers.get(name, 0.0) for name, price in self.prices.items())


class FitError(Exception):
    """What is missing, in one line."""


ROUNDING = 1e-9  # a price that comes to a smaller part of every run's amount is the solver's rounding


def _non_negative(matrix: np.ndarray, amounts: np.ndarray) -> np.ndarray:
    """Least squares; a column priced below 0 is left out, the worst first, and the rest solved anew."""
    kept = list(range(matrix.shape[1]))
    while kept:
        found = np.linalg.lstsq(matrix[:, kept], amounts, rcond=None)[0]
        worst = int(np.argmin(found))
        if found[worst] >= 0:
            prices = np.zeros(matrix.shape[1])
            prices[kept] = found
            prices[prices * np.max(np.abs(matrix), axis=0) < ROUNDING] = 0.0
            return prices
        del kept[worst]
    return np.zeros(matrix.shape[1])


def _apart(matrix: np.ndarray) -> tuple[list[int], dict[int, int]]:
    """Columns that tell something of their own; and for each other one, the one that it goes with."""
    kept: list[int] = []
    merged: dict[int, int] = {}
    for column in range(matrix.shape[1]):
        values = matrix[:, column]
        if not np.any(values):
            continue  # nothing of it was ever seen
        if kept:
            others = matrix[:, kept]
            part, *_ = np.linalg.lstsq(others, values, rcond=None)
            if np.linalg.norm(values - others @ part) <= SAME * np.linalg.norm(values):
                alike = np.abs(part) * np.linalg.norm(others, axis=0)
                merged[column] = kept[int(np.argmax(alike))]
                continue
        kept.append(column)
    return kept, merged


def solve(observations: Sequence[Observation], drivers: Sequence[str]) -> Line:
    """Prices of these drivers. One that no run had any of costs 0.

    Raises:
        FitError: there is nothing to go by.
    """
    if not observations:
        raise FitError("no runs")
    matrix = np.array([[each.drivers.get(name, 0.0) for name in drivers] for each in observations])
    amounts = np.array([each.amount for each in observations])
    floor = LEAST * float(np.max(np.abs(amounts)))
    weights = np.maximum(np.abs(amounts), floor) if floor > 0 else np.ones(len(amounts))
    rows = matrix / weights[:, None]
    kept, merged = _apart(rows)
    prices = np.zeros(len(drivers))
    if kept:
        prices[kept] = _non_negative(rows[:, kept], amounts / weights)
    residuals = np.abs(matrix @ prices - amounts) / weights
    return Line(
        {name: float(price) for name, price in zip(drivers, prices, strict=True)},
        float(np.max(residuals)),
        {
            name: (float(np.min(column)), float(np.max(column)))
            for name, column in zip(drivers, matrix.T, strict=True)
            if name != CONSTANT
        },
        sorted({each.run for each in observations}),
        {drivers[lost]: drivers[bearer] for lost, bearer in merged.items()},
    )


# --- what there is to go by ---


@dataclass
class Runs:
    """Results, by the names of their files."""

    scale: dict[str, Result] = field(default_factory=dict)
    relay: dict[str, RelayResult] = field(default_factory=dict)
    decisions: dict[str, DecisionsResult] = field(default_factory=dict)


def read(paths: Sequence[Path]) -> Runs:
    """Results of `ottercleat bench scale`, `relay` and `decisions`, told apart by their form.

    Raises:
        DocumentError: a file that can't be read or is none of these, or two of one name.
    """
    runs = Runs()
    for path in paths:
        if path.name in {*runs.scale, *runs.relay, *runs.decisions}:
            raise DocumentError(str(path), [Fault("", "a second file of this name; rename one")])
        try:
            data = path.read_bytes()
            found: Any = msgspec.json.decode(data)
            kind = found.get("kind", "scale" if "phases" in found else "") if isinstance(found, dict) else ""
            if kind == "relay":
                runs.relay[path.name] = msgspec.convert(found, RelayResult)
            elif kind == "decisions":
                runs.decisions[path.name] = msgspec.convert(found, DecisionsResult)
            elif kind == "scale":
                runs.scale[path.name] = msgspec.convert(found, Result)
            else:
                why = "no result of `ottercleat bench scale`, `relay` or `decisions`"
                raise DocumentError(str(path), [Fault("", why)])
        except OSError as error:
            raise DocumentError(str(path), [Fault("", error.strerror or "can't be read")]) from None
        except msgspec.MsgspecError as error:
            raise DocumentError(str(path), [Fault("", f"no result: {error}")]) from None
    return runs


# --- roles: what a process of it costs, by what it had to do ---

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
    told = phase.roles[role]
    return {
        "second": phase.seconds,
        "change": phase.changes,
        "answer": told.answers,
        "entry": told.entries,
    }


def _hollow_drivers(run: Result, phase: Phase, _: str) -> dict[str, float]:
    """The real ones' part is left out, as if each sidecar had heard as much."""
    part = run.settings.hollow / max(1, run.watchers)
    return {
        "watcher second": run.settings.hollow * phase.seconds,
        "answer": phase.watch_answers * part,
        "entry": phase.entries_told * part,
        "renewal": phase.renewals * part,
    }


def _memory_drivers(_: Result, phase: Phase, role: str) -> dict[str, float]:
    return {CONSTANT: 1.0, "record": phase.roles[role].records, "connection": phase.roles[role].connections}


def _cpu_us(role: Role) -> float:
    return role.cpu_s * 1e6


def _bytes(role: Role) -> float:
    return float(role.bytes_in + role.bytes_out)


# What goes along all records goes by them, where the slope has them as a driver.
BY_RECORD = tuple(
    f"{count} and record"
    for count, name in (("second", "main.idle"), ("write", "main.write"))
    if "record" in SLOPE_DEFINITIONS[name][1]
)
MAIN_COUNTS = ("second", "write", "renewal", "feed", *BY_RECORD)
FOLLOWER_COUNTS = ("second", "change", "answer", "entry")
HOLLOW_COUNTS = ("answer", "entry", "renewal", "watcher second")
HOLLOW_BYTES = ("answer", "entry", "renewal")
MEMORY_COUNTS = (CONSTANT, "record", "connection")


def _observed(
    runs: Mapping[str, Result],
    role: str,
    amount: Callable[[Role], float],
    drivers: Drivers,
    phases: Sequence[str] = STEADY,
) -> list[Observation]:
    """One observation for each process of the role in each of the phases."""
    return [
        Observation(name, drivers(run, phase, each), amount(phase.roles[each]))
        for name, run in runs.items()
        for phase in run.phases
        if phase.name in phases
        for each in phase.roles
        if each == role or each.startswith(role + "-")
    ]


def _steps(result: RelayResult) -> list[tuple[float, float]]:
    """Calls a second, and microseconds of the sidecar's processor time a second."""
    return [
        (step.rate, step.sidecar_cpu_us_per_call * step.sidecar.sent / step.seconds) for step in result.steps
    ]


class Fit:
    """All lines through some runs."""

    def __init__(self, runs: Runs, fleet_rate: float = FLEET_RATE) -> None:
        self.runs = runs
        self.fleet_rate = fleet_rate
        self.notes: list[str] = []

    # --- the lines of a role, as they are observed ---

    def role(self, what: str) -> Line:
        """`main cpu`, `main memory`, `follower cpu`, `follower memory`, `hollow cpu`, `hollow bytes`.

        Processor time in microseconds, memory in MB.

        Raises:
            FitError: no run has such a process.
        """
        found = {
            "main cpu": (MAIN, _cpu_us, _main_drivers, MAIN_COUNTS),
            "main memory": (MAIN, _memory_mb, _memory_drivers, MEMORY_COUNTS),
            "follower cpu": (FOLLOWER, _cpu_us, _follower_drivers, FOLLOWER_COUNTS),
            "follower memory": (FOLLOWER, _memory_mb, _memory_drivers, MEMORY_COUNTS),
            "hollow cpu": (HOLLOW, _cpu_us, _hollow_drivers, HOLLOW_COUNTS),
            "hollow bytes": (HOLLOW, _bytes, _hollow_drivers, HOLLOW_BYTES),
        }
        role, amount, drivers, counts = found[what]
        observations = _observed(self.runs.scale, role, amount, drivers)
        if not observations:
            raise FitError(f"no result of `ottercleat bench scale` has a phase calm or changes with {role}")
        return self._noted(what, solve(observations, counts))

    def _noted(self, what: str, line: Line) -> Line:
        for lost, bearer in line.merged.items():
            one, other = lost or "the fixed part", bearer or "the fixed part"
            note = f"{what}: these runs can't tell {one} from {other}"
            if note not in self.notes:
                self.notes.append(note)
        return line

    # --- slopes ---

    def slopes(self) -> Slopes:
        """A whole document.

        Raises:
            FitError: names the first thing that is missing.
        """
        for held, command in (
            (self.runs.scale, "scale"),
            (self.runs.relay, "relay"),
            (self.runs.decisions, "decisions"),
        ):
            if not held:
                raise FitError(f"no result of `ottercleat bench {command}`; run it, and name its file here")
        found = self._decisions() | self._path() | self._sidecar() | self._service() | self._in_force()
        first = next(iter(self.runs.scale.values()))
        small: list[RelayResult | DecisionsResult] = [
            *self.runs.relay.values(),
            *self.runs.decisions.values(),
        ]
        revisions = {each.revision for each in self.runs.scale.values()} | {each.revision for each in small}
        settings: dict[str, float | int | str] = {
            "lease_ms": first.settings.lease_ms,
            "wait_s": first.settings.wait_s,
            "changes_per_s": first.settings.changes_per_s,
            "followers": first.settings.followers,
            "fleet_rate": self.fleet_rate,
        }
        settings |= {f"note {number}": note for number, note in enumerate(self.notes, 1)}
        return Slopes(
            revision=", ".join(sorted(revisions)),
            machine=next(iter(self.runs.relay.values())).machine,
            measured=max(each.measured for each in small),
            settings=settings,
            slopes={name: found[name] for name in SLOPE_DEFINITIONS},
        )

    def _decisions(self) -> dict[str, Slope]:
        figures: dict[str, Callable[[Sample], float]] = {
            "decisions.order": lambda each: each.order_us,
            "decisions.delta": lambda each: each.delta_us,
            "decisions.whole_list": lambda each: each.whole_list_us,
            "decisions.timers": lambda each: each.timers_us,
        }
        found = {}
        for name, figure in figures.items():
            observations = [
                Observation(run, {CONSTANT: 1.0, "endpoint": sample.size}, figure(sample))
                for run, result in self.runs.decisions.items()
                for sample in result.samples
            ]
            found[name] = self._by_one(name, observations, "endpoint")
        observations = [
            Observation(run, {CONSTANT: 1.0, "endpoint": each.size}, each.mb)
            for run, result in self.runs.decisions.items()
            for each in result.memory
        ]
        found["sidecar.memory"] = self._by_one("sidecar.memory", observations, "endpoint")
        return found

    def _by_one(self, name: str, observations: Sequence[Observation], driver: str) -> Slope:
        """A fixed part, and so much for one of a driver."""
        if not observations:
            raise FitError(f"{name}: no run that is named has its figures")
        line = self._noted(name, solve(observations, (CONSTANT, driver)))
        return _slope(name, line, CONSTANT, {driver: driver})

    def _path(self) -> dict[str, Slope]:
        calls = [
            Observation(run, {CONSTANT: 1.0, "call": rate}, us)
            for run, result in self.runs.relay.items()
            for rate, us in _steps(result)
        ]
        line = solve(calls, (CONSTANT, "call"))
        if line.merged:
            raise FitError("path.call: no result of `ottercleat bench relay` with two rates at least")
        added = []
        for run, result in self.runs.relay.items():
            for step in result.steps:
                if step.rate == self.fleet_rate and step.over_direct is not None:
                    added.append(Observation(run, {CONSTANT: 1.0}, max(0.0, step.over_direct.p99_ms)))
        if not added:
            why = f"no result of `ottercleat bench relay` has a step at {self.fleet_rate:g} calls/s"
            raise FitError(f"path.added_p99: {why}")
        idle = [
            Observation(run, {CONSTANT: 1.0}, result.idle_cpu_us_per_s)
            for run, result in self.runs.relay.items()
        ]
        return {
            "path.call": _slope("path.call", line, "call", {}),
            "path.added_p99": _slope("path.added_p99", solve(added, (CONSTANT,)), CONSTANT, {}),
            "sidecar.idle": _slope("sidecar.idle", solve(idle, (CONSTANT,)), CONSTANT, {}),
        }

    def _sidecar(self) -> dict[str, Slope]:
        """What hearing of changes costs: a hollow sidecar's time, less that of the decisions in it."""
        delta = self._decisions()["decisions.delta"]
        observations = []
        for name, run in self.runs.scale.items():
            in_an_answer = delta.evaluate({"endpoint": run.settings.mean_list})
            for each in _observed({name: run}, HOLLOW, _cpu_us, _hollow_drivers):
                # An answer without news decides nothing; one with news is taken to change one entry.
                decided = in_an_answer * min(each.drivers["answer"], each.drivers["entry"])
                observations.append(each._replace(amount=max(0.0, each.amount - decided)))
        if not observations:
            raise FitError("no result of `ottercleat bench scale` has a phase calm or changes with hollow")
        cpu = self._noted("sidecar cpu", solve(observations, HOLLOW_COUNTS))
        heard = self.role("hollow bytes")
        return {
            "sidecar.answer": _slope("sidecar.answer", cpu, "answer", {"entry": "entry"}),
            "sidecar.renewal": _slope("sidecar.renewal", cpu, "renewal", {}),
            "sidecar.answer_bytes": _slope("sidecar.answer_bytes", heard, "answer", {"entry": "entry"}),
            "sidecar.renewal_bytes": _slope("sidecar.renewal_bytes", heard, "renewal", {}),
        }

    def _service(self) -> dict[str, Slope]:
        main, follower = self.role("main cpu"), self.role("follower cpu")
        by_both = {"record": "record", "connection": "connection"}
        fed = [
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
            if phase.name in STEADY
        ]
        feed = self._noted("feed bytes", solve(fed, ("feed", "follower second")))
        return {
            "main.idle": self._by_record("main.idle", main, "second"),
            "main.write": self._by_record("main.write", main, "write"),
            "main.renewal": _slope("main.renewal", main, "renewal", {}),
            "main.feed": _slope("main.feed", main, "feed", {}),
            "main.feed_bytes": _slope("main.feed_bytes", feed, "feed", {}),
            "main.memory": _slope("main.memory", self.role("main memory"), CONSTANT, by_both),
            "follower.idle": _slope("follower.idle", follower, "second", {}),
            "follower.change": _slope("follower.change", follower, "change", {}),
            "follower.answer": _slope("follower.answer", follower, "answer", {"entry": "entry"}),
            "follower.memory": _slope("follower.memory", self.role("follower memory"), CONSTANT, by_both),
        }

    def _by_record(self, name: str, main: Line, count: str) -> Slope:
        together = f"{count} and record"
        slope = _slope(name, main, count, {"record": together} if together in BY_RECORD else {})
        if not slope.per:
            return slope
        records = [
            p.roles[MAIN].records for run in self.runs.scale.values() for p in run.phases if MAIN in p.roles
        ]
        return msgspec.structs.replace(slope, sizes={"record": (float(min(records)), float(max(records)))})

    def _in_force(self) -> dict[str, Slope]:
        found = {}
        for part in ("p50", "p99", "last"):
            line = self.in_force(part)
            found[f"spread.{part}"] = _slope(f"spread.{part}", line, CONSTANT, {"watcher": "watcher"})
        returns = [
            Observation(name, {CONSTANT: 1.0, "watcher": run.fault.touched}, run.fault.back_s * 1000)
            for name, run in self.runs.scale.items()
            if run.fault is not None and run.fault.name == RETURN and run.fault.back_s
        ]
        if not returns:
            raise FitError(f"return.last: no result of `ottercleat bench scale --fault {RETURN}`")
        found["return.last"] = self._by_one("return.last", returns, "watcher")
        return found

    def in_force(self, part: str) -> Line:
        """Milliseconds from a change's acknowledgement to its being in force, by watchers.

        Raises:
            FitError: no run has changes.
        """
        observations = [
            Observation(name, {CONSTANT: 1.0, "watcher": run.watchers}, phase.in_force_ms[part])
            for name, run in self.runs.scale.items()
            for phase in run.phases
            if phase.name == CHANGES and part in phase.in_force_ms
        ]
        if not observations:
            raise FitError(f"spread.{part}: no result of `ottercleat bench scale` has a phase changes")
        return self._noted(f"spread.{part}", solve(observations, (CONSTANT, "watcher")))

    # --- a size that was not fitted ---

    def predict(self, watchers: int) -> dict[str, float]:
        """The phase `changes` of a run with so many watchers, same settings; names as `outcome` has.

        What a process has to do is itself a line through the runs, by watchers; what that costs, another.

        Raises:
            FitError: too few runs, or none with changes.
        """
        sizes = {run.watchers for run in self.runs.scale.values()}
        if len(sizes) < 2:
            raise FitError("--predict: results of `ottercleat bench scale` of two sizes at least are needed")
        found = {}
        for role, drivers, counts in (
            (MAIN, _main_drivers, MAIN_COUNTS),
            (FOLLOWER, _follower_drivers, FOLLOWER_COUNTS),
            (HOLLOW, _hollow_drivers, HOLLOW_COUNTS),
        ):
            seconds = self._length_s()
            did = {count: self._expected(role, drivers, count, watchers) for count in counts}
            found[f"{role} cpu share"] = self.role(f"{role} cpu").at(did) / 1e6 / seconds
            if role != HOLLOW:
                held = {
                    count: self._expected(role, _memory_drivers, count, watchers) for count in MEMORY_COUNTS
                }
                found[f"{role} memory mb"] = self.role(f"{role} memory").at(held)
        did = {count: self._expected(HOLLOW, _hollow_drivers, count, watchers) for count in HOLLOW_BYTES}
        found["hollow bytes per s"] = self.role("hollow bytes").at(did) / self._length_s()
        for part in ("p50", "p99", "last"):
            found[f"in force {part} ms"] = self.in_force(part).at({CONSTANT: 1.0, "watcher": watchers})
        return found

    def _length_s(self) -> float:
        lengths = [p.seconds for run in self.runs.scale.values() for p in run.phases if p.name == CHANGES]
        if not lengths:
            raise FitError("--predict: no result of `ottercleat bench scale` has a phase changes")
        return float(np.median(lengths))

    def _expected(self, role: str, drivers: Drivers, count: str, watchers: int) -> float:
        """How much of a count a process of the role has in the phase, on the mean of its processes."""
        length_s = self._length_s()
        observations = []
        for name, run in self.runs.scale.items():
            own = _observed({name: run}, role, _cpu_us, drivers, (CHANGES,))
            if own:
                mean = float(np.mean([each.drivers.get(count, 0.0) for each in own]))
                observations.append(Observation(name, {CONSTANT: 1.0, "watcher": run.watchers}, mean))
        line = solve(observations, (CONSTANT, "watcher"))
        found = line.at({CONSTANT: 1.0, "watcher": watchers})
        return length_s if count == "second" else found


def _memory_mb(role: Role) -> float:
    return role.memory_mb


def outcome(run: Result) -> dict[str, float]:
    """What `Fit.predict` says beforehand, as a run has it.

    Raises:
        FitError: it has no phase with changes.
    """
    try:
        phase = run.phase(CHANGES)
    except KeyError:
        raise FitError("the outcome has no phase changes") from None
    followers = [role for name, role in phase.roles.items() if name.startswith(FOLLOWER)]
    found = {}
    for name, roles in (
        (MAIN, [phase.roles[MAIN]]),
        (FOLLOWER, followers),
        (HOLLOW, [phase.roles[HOLLOW]]),
    ):
        found[f"{name} cpu share"] = float(np.mean([role.cpu_s for role in roles])) / phase.seconds
        if name != HOLLOW:
            found[f"{name} memory mb"] = float(np.mean([role.memory_mb for role in roles]))
    found["hollow bytes per s"] = _bytes(phase.roles[HOLLOW]) / phase.seconds
    for part in ("p50", "p99", "last"):
        if part in phase.in_force_ms:
            found[f"in force {part} ms"] = phase.in_force_ms[part]
    return found


def _slope(name: str, line: Line, fixed: str, per: Mapping[str, str]) -> Slope:
    """A known slope out of a line: `fixed` is the line's driver for one, `per` the others by its drivers."""
    return Slope(
        unit=SLOPE_DEFINITIONS[name][0],
        fixed=_figures(line.prices[fixed]),
        per={driver: _figures(line.prices[count]) for driver, count in per.items()},
        spread=round(line.spread, 4),
        sizes={driver: line.sizes[count] for driver, count in per.items()},
        runs=line.runs,
    )


def _figures(value: float) -> float:
    """Six figures are more than any run supports."""
    return float(f"{value:.6g}")
