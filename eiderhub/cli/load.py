"""`ottercleat load`: sends open-loop traffic to addresses on loopback."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click
import numpy as np
from rich.console import Console
from rich.table import Table

from eiderhub.cli import console_output, runner
from eiderhub.cli.options import MAX_SECONDS, MAX_SEED, AddressType
from eiderhub.emulator import load as loads
from eiderhub.emulator.clock import MAX_LATENESS_P99_MS
from eiderhub.interface import Effect
from eiderhub.sidecar.config import read_document
from eiderhub.world.clients import End

MAX_RATE_PER_S = 50_000


class RequestClassType(click.ParamType[loads.RequestClass]):
    """A request class, written NAME[:EFFECT[:SHARE]]."""

    name = "class"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> loads.RequestClass:
        if isinstance(value, loads.RequestClass):
            return value
        name, _, rest = str(value).partition(":")
        effect, _, share = rest.partition(":")
        try:
            return loads.RequestClass(name, Effect(effect or Effect.AT_MOST_ONCE.value), _parse_share(share))
        except ValueError:
            effects = ", ".join(each.value for each in Effect)
            self.fail(f"{value!r} is not NAME[:EFFECT[:SHARE]]; effects are {effects}", param, ctx)


class TenantType(click.ParamType[tuple[str, float]]):
    """A tenant, written NAME[:SHARE]."""

    name = "tenant"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, float]:
        if isinstance(value, tuple):
            return value
        name, _, share = str(value).partition(":")
        try:
            return name, _parse_share(share)
        except ValueError:
            self.fail(f"{value!r} is not NAME[:SHARE]", param, ctx)


def _parse_share(text: str) -> float:
    share = float(text or 1)
    if not 0 < share < 1e9:
        raise ValueError(text)
    return share


@click.command("load")
@click.argument("targets", metavar="ADDRESS...", nargs=-1, required=True, type=AddressType())
@click.option(
    "--rate",
    type=click.FloatRange(0, MAX_RATE_PER_S, min_open=True),
    help="Requests per second.  [default: 50]",
)
@click.option(
    "--seconds",
    type=click.FloatRange(0, MAX_SECONDS, min_open=True),
    help="Length of the run.  [default: 10]",
)
@click.option("--arrivals", type=click.Choice(["poisson", "constant"]), default="poisson", show_default=True)
@click.option("--steps", metavar="R,R,...", help="Consecutive rates, each for an equal share of the run.")
@click.option("--times", type=click.Path(path_type=Path), help="File of send times in seconds, one per line.")
@click.option(
    "--class",
    "shapes",
    multiple=True,
    type=RequestClassType(),
    help="NAME[:EFFECT[:SHARE]]; may be repeated.",
)
@click.option("--tenant", "tenants", multiple=True, type=TenantType(), help="NAME[:SHARE]; may be repeated.")
@click.option(
    "--config", "config", metavar="FILE", help="Use the classes and tenants of a sidecar's configuration."
)
@click.option("--deadline-ms", type=click.IntRange(1, 3_600_000), help="Longest wait for an answer.")
@click.option(
    "--body",
    type=click.IntRange(0, 32 << 20),
    default=200,
    show_default=True,
    help="Size of a request in bytes.",
)
@click.option("--seed", type=click.IntRange(0, MAX_SEED), default=1, show_default=True)
@click.option("--json", "json_file", metavar="FILE", help="Write all figures there; - for standard output.")
@click.option("--hgrm", "hgrm_file", metavar="FILE", help="Write the percentile distribution there.")
def command(
    targets: tuple[tuple[str, int], ...],
    rate: float | None,
    seconds: float | None,
    arrivals: str,
    steps: str | None,
    times: Path | None,
    shapes: tuple[loads.RequestClass, ...],
    tenants: tuple[tuple[str, float], ...],
    config: str | None,
    deadline_ms: int | None,
    body: int,
    seed: int,
    json_file: str | None,
    hgrm_file: str | None,
) -> int:
    """Send requests to each ADDRESS (loopback only) in turn, at their scheduled times.

    Latency is measured from the time at which a request was due. Exit status 1 if nothing was served.
    """
    for path in (json_file, hgrm_file):
        console_output.check_writable(path)
    request_mix = _build_request_mix(shapes, tenants, config, deadline_ms, body)
    due_times = _due_times(rate, seconds, arrivals, steps, times, seed)
    for host, _ in targets:
        try:
            loads.require_loopback(host)
        except ValueError as error:
            raise click.UsageError(str(error)) from None

    async def send() -> tuple[loads.LoadRun, bool]:
        run = loads.LoadRun(targets, due_times, request_mix, seed)
        try:
            with console_output.progress("load") as report_progress:
                await run.run(lambda fraction: report_progress(fraction, _progress_text(run)))
        except asyncio.CancelledError:
            run.stop()
            return run, True
        finally:
            run.close()
        return run, False

    run, interrupted = runner.run_cancellable(send)
    console_output.write_json(json_file, run.document())
    if hgrm_file is not None:
        with open(hgrm_file, "wb") as file:
            run.write_hgrm(file)
    print_result(run, Console(stderr=json_file == "-"))
    if interrupted:
        click.echo("ottercleat: interrupted; the figures cover only what had ended by then", err=True)
    served = sum(part.ends[End.SERVED] for part in run.results.values())
    return 0 if served and not interrupted else 1


def _progress_text(run: loads.LoadRun) -> str:
    served = sum(part.ends[End.SERVED] for part in run.results.values())
    return f"{run.sent} sent, {served} served, {len(run.in_flight)} open"


def _build_request_mix(
    request_classes: tuple[loads.RequestClass, ...],
    tenants: tuple[tuple[str, float], ...],
    config: str | None,
    deadline_ms: int | None,
    body: int,
) -> loads.RequestMix:
    if config is not None:
        settings = read_document(config).settings
        shares_by_class = {request_class.name: request_class.share for request_class in request_classes}
        classes = [
            loads.RequestClass(
                each.name,
                each.effect,
                shares_by_class.get(each.name, 1.0),
                deadline_ms or each.deadline_us // 1000,
                each.aim_us // 1000,
            )
            for each in settings.categories
            if not shares_by_class or each.name in shares_by_class
        ]
        unknown = shares_by_class.keys() - {each.name for each in settings.categories}
        if unknown:
            raise click.UsageError(f"--class {min(unknown)}: {config} has no such class")
        tenants = tenants or tuple((tenant.name, tenant.share or 1.0) for tenant in settings.parties)
        return loads.RequestMix(tuple(classes), tenants, body)
    if not request_classes:
        raise click.UsageError(
            "no request classes given; name them with --class NAME:EFFECT, or with --config FILE"
        )
    effective_deadline_ms = deadline_ms or loads.DEFAULT_DEADLINE_MS
    classes_with_deadline = tuple(
        loads.RequestClass(
            request_class.name, request_class.effect, request_class.share, effective_deadline_ms
        )
        for request_class in request_classes
    )
    return loads.RequestMix(classes_with_deadline, tenants, body)


def _due_times(
    rate: float | None, seconds: float | None, arrivals: str, steps: str | None, times: Path | None, seed: int
) -> np.ndarray:
    if sum(value is not None for value in (rate, steps, times)) > 1:
        raise click.UsageError("--rate, --steps and --times exclude one another; give only one of them")
    if times is not None:
        if seconds is not None:
            raise click.UsageError("--times sets the length of the run; leave --seconds out")
        return loads.read_due_times(times)
    seconds = seconds or 10.0
    try:
        if steps is not None:
            return loads.schedule(loads.Pattern.STEPS, list(loads.parse_rates(steps)), seconds, seed)
        return loads.schedule(loads.Pattern(arrivals), [rate or 50.0], seconds, seed)
    except ValueError as error:
        raise click.UsageError(f"--steps or --rate: {error}") from None


def print_result(run: loads.LoadRun, console: Console) -> None:
    figures = run.document()
    console.print(
        f"{figures['sent']} of {figures['due']} requests in {figures['seconds']:g} s: "
        f"{figures['offered_per_s']:g}/s offered, {figures['goodput_per_s']:g}/s served in time",
        highlight=False,
    )
    table = Table(show_edge=False, pad_edge=False)
    table.add_column("class", overflow="fold")
    for column in ("sent", "served", "late", "refused", "failed", "unanswered"):
        table.add_column(column, justify="right")
    for name, row in figures["classes"].items():
        unanswered = row[End.GIVEN_UP.value] + row[End.BROKEN.value] + row[End.UNREACHABLE.value]
        counts = (row["sent"], row["served"], row["late"], row["refused"], row["failed"], unanswered)
        table.add_row(name, *(str(count) for count in counts))
    console.print(table)
    answers = ", ".join(f"{status} ({count})" for status, count in figures["statuses"].items())
    console.print(f"answers by status: {answers or 'none came'}", highlight=False)
    latency = "  ".join(f"{name} {value:.1f}" for name, value in figures["latency_ms"].items())
    console.print(f"latency in ms: {latency or 'nothing was served'}", highlight=False)
    lateness = figures["lateness_ms"]
    warning = " THE FIGURES ARE IN DOUBT" if lateness["p99"] > MAX_LATENESS_P99_MS else ""
    console.print(
        f"the generator was late by p50 {lateness['p50']} ms, p99 {lateness['p99']} ms{warning}",
        highlight=False,
    )
