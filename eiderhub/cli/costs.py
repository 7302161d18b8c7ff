"""`ottercleat bench relay`, `decisions`, `slopes`: cost of calls and decisions, and lines fitted to it."""

from __future__ import annotations

import os
import platform
import statistics
import subprocess
import time
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from eiderhub.cli import console_output, runner

MAX_SEED = 2**32 - 1
MAX_SECONDS = 600.0
MAX_LIST_SIZE = 100_000


def revision(root: Path) -> str:
    """Git revision of the checkout at `root`.

    `+` is appended if its package has uncommitted changes. The result is `unknown` if `root` is not the
    top folder of a git checkout.
    """

    def git(*arguments: str) -> str:
        command = ["git", "-C", str(root), *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=True, timeout=10).stdout.strip()

    try:
        repository_root = Path(git("rev-parse", "--show-toplevel")).resolve()
        if repository_root != root.resolve():
            return "unknown"
        dirty = git("status", "--porcelain", "--", "eiderhub")
        return git("rev-parse", "--short", "HEAD") + ("+" if dirty else "")
    except (OSError, subprocess.SubprocessError):
        return "unknown"


def machine_description() -> str:
    """Processor model, core count and Python version; deliberately without the host name."""
    model = platform.machine()
    try:
        for line in Path("/proc/cpuinfo").read_text(encoding="utf-8").splitlines():
            if line.startswith("model name"):
                model = line.partition(":")[2].strip()
                break
    except OSError:
        pass
    return f"{model}, {os.cpu_count()} cores, Python {platform.python_version()}"


def own_checkout() -> Path:
    return Path(__file__).resolve().parents[2]


@click.command()
@click.option(
    "--rate",
    "rates",
    type=click.FloatRange(1, 5000),
    multiple=True,
    help="Calls per second on each path; may be repeated.  [default: 116, 400]",
)
@click.option("--seconds", type=click.FloatRange(0.1, MAX_SECONDS), default=12.0, show_default=True)
@click.option("--endpoints", type=click.IntRange(1, 500), default=8, show_default=True)
@click.option(
    "--service-us",
    type=click.IntRange(0, 1_000_000),
    default=1000,
    show_default=True,
    help="Service time of an endpoint per call.",
)
@click.option("--seed", type=click.IntRange(0, MAX_SEED), default=1, show_default=True)
@click.option(
    "--sidecar",
    type=click.Path(path_type=Path),
    metavar="DIR",
    help="Checkout whose sidecar is measured.",
)
@click.option(
    "--revision", "named", metavar="TEXT", help="Name of that checkout's revision, if it is not in git."
)
@click.option("--json", "json_file", metavar="FILE", help="Write all figures there; - for standard output.")
def relay(
    rates: tuple[float, ...],
    seconds: float,
    endpoints: int,
    service_us: int,
    seed: int,
    sidecar: Path | None,
    named: str | None,
    json_file: str | None,
) -> int:
    """Compare calls through a sidecar with the same calls through a plain relay and with direct ones.

    Exit status 1 if a call through the sidecar was not served.
    """
    from eiderhub.scale.data_path_bench import PathError, RelayBench

    console_output.check_writable(json_file)
    if sidecar is not None and not (sidecar / "eiderhub" / "sidecar" / "__main__.py").is_file():
        raise click.UsageError(f"--sidecar {sidecar}: not a checkout; name the folder that holds eiderhub/")
    root = (sidecar or own_checkout()).resolve()
    bench = RelayBench(
        rates or (116.0, 400.0), seconds, seed, endpoints, service_us, root if sidecar else None
    )
    with console_output.progress("relay") as report_progress:
        try:
            result = runner.run_cancellable(
                lambda: bench.run(report_progress, named or revision(root), machine_description())
            )
        except PathError as error:
            raise click.ClickException(str(error)) from None
    document: dict[str, Any] = msgspec.to_builtins(result)
    console_output.write_json(json_file, document)
    console = Console(stderr=json_file == "-")
    console.print(_relay_table(document), highlight=False)
    console.print(
        f"{result.revision}; sidecar idle {result.idle_cpu_us_per_s:g} us/s, {result.memory_mb:g} MB; "
        f"{endpoints} endpoints, {service_us} us each call",
        highlight=False,
    )
    return 0 if all(step.sidecar.served == step.sidecar.sent for step in result.steps) else 1


def _relay_table(document: dict[str, Any]) -> Table:
    table = Table(box=None, pad_edge=False)
    table.add_column("")
    for step in document["steps"]:
        table.add_column(f"{step['rate']:g}/s", justify="right")

    def add_row(name: str, values: list[object]) -> None:
        table.add_row(name, *(f"{v:g}" if isinstance(v, float) else str(v) for v in values))

    steps = document["steps"]
    for path_kind in ("sidecar", "relay", "direct"):
        add_row(f"{path_kind}: sent", [step[path_kind]["sent"] for step in steps])
        add_row(
            f"{path_kind}: refused, failed",
            [f"{step[path_kind]['refused']}, {step[path_kind]['failed']}" for step in steps],
        )
        for name in ("p50_ms", "p99_ms", "p999_ms"):
            add_row(
                f"{path_kind}: {name[:-3]} ms",
                [(step[path_kind]["times"] or {}).get(name, "-") for step in steps],
            )
        add_row(
            f"{path_kind}: connections/1000 calls",
            [step["connections_per_1000"][path_kind] for step in steps],
        )
    for baseline in ("direct", "relay"):
        for name in ("p50_ms", "p99_ms", "p999_ms"):
            add_row(
                f"added over {baseline}: {name[:-3]} ms",
                [(step[f"over_{baseline}"] or {}).get(name, "-") for step in steps],
            )
    add_row("sidecar: us of CPU a call", [step["sidecar_cpu_us_per_call"] for step in steps])
    add_row("relay: us of CPU a call", [step["relay_cpu_us_per_call"] for step in steps])
    add_row("callers late by p99 ms", [step["late"]["p99_ms"] for step in steps])
    add_row("endpoints late by p99 ms", [step["endpoints_late_p99_ms"] for step in steps])
    return table


class SizesType(click.ParamType[list[int]]):
    """Comma-separated list sizes N,N,... in any order; duplicates are dropped."""

    name = "sizes"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> list[int]:
        if isinstance(value, list):
            return value
        try:
            sizes = sorted({int(piece) for piece in str(value).split(",")})
        except ValueError:
            sizes = [0]
        if not 1 <= sizes[0] <= sizes[-1] <= MAX_LIST_SIZE:
            reason = f"{value!r}: not a list of sizes; give integers of 1 to {MAX_LIST_SIZE}, such as 15,150"
            self.fail(reason, param, ctx)
        return sizes


@click.command()
@click.option(
    "--sizes",
    type=SizesType(),
    default="15,150,1500,15000",
    show_default=True,
    help="List lengths, in endpoints.",
)
@click.option("--repeats", type=click.IntRange(1, 100), default=3, show_default=True)
@click.option(
    "--callers",
    type=click.IntRange(1, 1_000_000),
    help="Sidecars that follow the list.  [default: as many as endpoints]",
)
@click.option("--seed", type=click.IntRange(0, MAX_SEED), default=1, show_default=True)
@click.option("--json", "json_file", metavar="FILE", help="Write all figures there; - for standard output.")
def decisions(sizes: list[int], repeats: int, callers: int | None, seed: int, json_file: str | None) -> int:
    """Measure the cost of decisions and the memory of a sidecar, by the length of the list.

    Exit status 1 if a call was refused: the figures then do not measure normal decisions.
    """
    from eiderhub.scale import decisions_bench
    from eiderhub.scale.data_path_bench import PathError

    console_output.check_writable(json_file)
    with console_output.progress("decisions") as report_progress:
        samples = decisions_bench.run(
            sizes, repeats, callers, seed, lambda fraction, text: report_progress(fraction / 2, text)
        )
        try:
            memory_samples = runner.run_cancellable(
                lambda: decisions_bench.measure_memory(
                    sizes, seed, lambda fraction, text: report_progress(0.5 + fraction / 2, text)
                )
            )
        except PathError as error:
            raise click.ClickException(str(error)) from None
    settings: dict[str, float | int | str] = {
        "callers": callers or "as many as endpoints",
        "zones": len(decisions_bench.ZONES),
        "seed": seed,
        "repeats": repeats,
        "calls_per_s": decisions_bench.INSTANTS_PER_S * decisions_bench.CALLS_PER_INSTANT,
    }
    result = decisions_bench.DecisionsResult(
        revision=revision(own_checkout()),
        machine=machine_description(),
        measured=time.strftime("%Y-%m-%d"),
        settings=settings,
        samples=samples,
        memory=memory_samples,
    )
    console_output.write_json(json_file, msgspec.to_builtins(result))
    table = Table(box=None, pad_edge=False)
    names = ("endpoints", "order us", "delta us", "whole list us", "timers us/s", "bytes each", "sidecar MB")
    for name in names:
        table.add_column(name, justify="right")
    for size in sizes:
        size_samples = [each for each in samples if each.size == size]
        figures = [
            [getattr(each, name) for each in size_samples]
            for name in ("order_us", "delta_us", "whole_list_us", "timers_us", "bytes_per_endpoint")
        ]
        memory_mb = next(each.mb for each in memory_samples if each.size == size)
        table.add_row(str(size), *(_format_median_and_spread(values) for values in figures), f"{memory_mb:g}")
    console = Console(stderr=json_file == "-")
    console.print(table, highlight=False)
    refused = sum(each.refused for each in samples)
    if refused:
        console.print(
            f"{refused} calls were refused: the figures do not measure normal decisions", highlight=False
        )
    return 1 if refused else 0


def _format_median_and_spread(values: list[float]) -> str:
    """The median, and half of the range from minimum to maximum as a percentage of the median."""
    median = statistics.median(values)
    return f"{median:.4g} ±{(max(values) - min(values)) / 2 / median:.0%}" if median else f"{median:.4g}"


@click.command()
@click.argument("results", metavar="RESULT.json...", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("-o", "--output", metavar="FILE", help="Write the slopes there; - for standard output.")
@click.option(
    "--rate",
    type=click.FloatRange(1, 5000),
    default=116.0,
    show_default=True,
    help="Calls per second of the fleet.",
)
@click.option(
    "--predict", type=click.IntRange(1, 10_000_000), metavar="N", help="Predict a run with N watchers."
)
@click.option(
    "--outcome",
    type=click.Path(path_type=Path),
    metavar="FILE",
    help="Measured result of that run, for comparison.",
)
def slopes(
    results: tuple[Path, ...],
    output: str | None,
    rate: float,
    predict: int | None,
    outcome: Path | None,
) -> int:
    """Fit lines to results of `bench scale`, `relay` and `decisions`, for `ottercleat capacity`."""
    from eiderhub.scale import slope_fit

    console_output.check_writable(output)
    fitted = slope_fit.Fit(slope_fit.read(results), rate)
    console = Console(stderr=output == "-")
    try:
        if outcome is not None:
            outcome_runs = slope_fit.read([outcome]).scale
            if not outcome_runs:
                raise click.UsageError(f"--outcome {outcome}: not a result of `ottercleat bench scale`")
            run = next(iter(outcome_runs.values()))
            if predict not in (None, run.watchers):
                reason = f"a run of {run.watchers} watchers, not {predict}"
                raise click.UsageError(f"--outcome {outcome}: {reason}")
            if any(path.resolve() == outcome.resolve() for path in results):
                reason = "it is one of the results; leave it out of them"
                raise click.UsageError(f"--outcome {outcome}: {reason}")
            _print_prediction(console, fitted.predict(run.watchers), run.watchers, slope_fit.outcome(run))
        elif predict is not None:
            _print_prediction(console, fitted.predict(predict), predict, {})
        if output is not None or (predict is None and outcome is None):
            document = fitted.slopes()
            console_output.write_json(output, msgspec.to_builtins(document))
            if output != "-":
                console.print(_slopes_table(msgspec.to_builtins(document)), highlight=False)
    except slope_fit.FitError as error:
        raise click.UsageError(str(error)) from None
    for note in fitted.notes:
        click.echo(f"ottercleat: {note}", err=True)
    return 0


def _print_prediction(
    console: Console, predictions: dict[str, float], watchers: int, measured: dict[str, float]
) -> None:
    table = Table(box=None, pad_edge=False)
    table.add_column(f"{watchers} watchers")
    for name in ("predicted", "outcome", "outcome / predicted") if measured else ("predicted",):
        table.add_column(name, justify="right")
    for name, value in predictions.items():
        cells = [f"{value:.4g}"]
        if measured:
            cells.append(f"{measured[name]:.4g}" if name in measured else "-")
            cells.append(f"{measured[name] / value:.3f}" if name in measured and value else "-")
        table.add_row(name, *cells)
    console.print(table, highlight=False)


def _slopes_table(document: dict[str, Any]) -> Table:
    table = Table(box=None, pad_edge=False)
    for name in ("slope", "unit", "fixed", "per", "spread", "runs"):
        table.add_column(name, justify="left" if name in ("slope", "unit", "per") else "right")
    for name, slope in document["slopes"].items():
        per = ", ".join(f"{amount:g} a {driver}" for driver, amount in slope["per"].items())
        row = (
            name,
            slope["unit"],
            f"{slope['fixed']:g}",
            per,
            f"{slope['spread']:.1%}",
            str(len(slope["runs"])),
        )
        table.add_row(*row)
    return table
