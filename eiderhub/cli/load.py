"""`ottercleat load`: open-loop traffic against addresses on loopback."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click
import numpy as np
from rich.console import Console
from rich.table import Table

from eiderhub.cli import playing, screen
from eiderhub.cli.options import MOST_SECONDS, MOST_SEED, AddressType
from eiderhub.emulator import load as loads
from eiderhub.emulator.clock import IN_DOUBT_MS
from eiderhub.interface import Effect
from eiderhub.sidecar.config import read_document
from eiderhub.world.clients import End

MOST_RATE = 50_000


class ShapeType(click.ParamType[loads.Shape]):
    """NAME[:EFFECT[:SHARE]]."""

    name = "class"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> loads.Shape:
        if isinstance(value, loads.Shape):
            return value
        name, _, rest = str(value).partition(":")
        effect, _, share = rest.partition(":")
        try:
            return loads.Shape(name, Effect(effect or Effect.AT_MOST_ONCE.value), _share(share))
        except ValueError:
            known = ", ".join(each.value for each in Effect)
            self.fail(f"{value!r} is no NAME[:EFFECT[:SHARE]]; effects are {known}", param, ctx)


class TenantType(click.ParamType[tuple[str, float]]):
    """NAME[:SHARE]."""

    name = "tenant"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, float]:
        if isinstance(value, tuple):
            return value
        name, _, share = str(value).partition(":")
        try:
            return name, _share(share)
        except ValueError:
            self.fail(f"{value!r} is no NAME[:SHARE]", param, ctx)


def _share(text: str) -> float:
    share = float(text or 1)
    if not 0 < share < 1e9:
        raise ValueError(text)
    return share


@click.command("load")
@click.argument("targets", metavar="ADDRESS...", nargs=-1, required=True, type=AddressType())
@click.option(
    "--rate", type=click.FloatRange(0, MOST_RATE, min_open=True), help="Requests a second.  [default: 50]"
)
@click.option(
    "--seconds", type=click.FloatRange(0, MOST_SECONDS, min_open=True), help="How long.  [default: 10]"
)
@click.option("--arrivals", type=click.Choice(["poisson", "constant"]), default="poisson", show_default=True)
@click.option(
    "--steps", metavar="R,R,...", help="Rates one after another, each for an equal part of the time."
)
@click.option(
    "--times", type=click.Path(path_type=Path), help="A file of times to send at, in seconds, one a line."
)
@click.option(
    "--class", "shapes", multiple=True, type=ShapeType(), help="NAME[:EFFECT[:SHARE]], any number of times."
)
@click.option(
    "--tenant", "tenants", multiple=True, type=TenantType(), help="NAME[:SHARE], any number of times."
)
@click.option(
    "--config", "config", metavar="FILE", help="Take classes and tenants from a sidecar's configuration."
)
@click.option("--deadline-ms", type=click.IntRange(1, 3_600_000), help="How long an answer is waited for.")
@click.option(
    "--body", type=click.IntRange(0, 32 << 20), default=200, show_default=True, help="Bytes of a request."
)
@click.option("--seed", type=click.IntRange(0, MOST_SEED), default=1, show_default=True)
@click.option("--json", "json_file", metavar="FILE", help="Write all figures there; - for standard output.")
@click.option("--hgrm", "hgrm_file", metavar="FILE", help="Write the percentile distribution there.")
def command(
    targets: tuple[tuple[str, int], ...],
    rate: float | None,
    seconds: float | None,
    arrivals: str,
    steps: str | None,
    times: Path | None,
    shapes: tuple[loads.Shape, ...],
    tenants: tuple[tuple[str, float], ...],
    config: str | None,
    deadline_ms: int | None,
    body: int,
    seed: int,
    json_file: str | None,
    hgrm_file: str | None,
) -> int:
    """Send requests to each ADDRESS (loopback only) in turn, when they are due.

    Latencies are measured from the moment at which a request was due. Exit status 1 where nothing was served.
    """
    for path in (json_file, hgrm_file):
        screen.check_writable(path)
    mix = _mix(shapes, tenants, config, deadline_ms, body)
    due = _due(rate, seconds, arrivals, steps, times, seed)
    for host, _ in targets:
        try:
            loads.loopback(host)
        except ValueError as error:
            raise click.UsageError(str(error)) from None

    async def send() -> tuple[loads.Load, bool]:
        run = loads.Load(targets, due, mix, seed)
        try:
            with screen.progress("load") as tell:
                await run.run(lambda part: tell(part, _said(run)))
        except asyncio.CancelledError:
            run.stop()
            return run, True
        finally:
            run.close()
        return run, False

    run, interrupted = playing.run(send)
    screen.write_json(json_file, run.document())
    if hgrm_file is not None:
        with open(hgrm_file, "wb") as file:
            run.write_hgrm(file)
    show(run, Console(stderr=json_file == "-"))
    if interrupted:
        click.echo("ottercleat: interrupted; the figures are of what had ended by then", err=True)
    served = sum(part.ends[End.SERVED] for part in run.parts.values())
    return 0 if served and not interrupted else 1


def _said(run: loads.Load) -> str:
    served = sum(part.ends[End.SERVED] for part in run.parts.values())
    return f"{run.sent} sent, {served} served, {len(run.open)} open"


def _mix(
    shapes: tuple[loads.Shape, ...],
    tenants: tuple[tuple[str, float], ...],
    config: str | None,
    deadline_ms: int | None,
    body: int,
) -> loads.Mix:
    if config is not None:
        settings = read_document(config).settings
        told = {shape.name: shape.share for shape in shapes}
        found = [
            loads.Shape(
                each.name,
                each.effect,
                told.get(each.name, 1.0),
                deadline_ms or each.deadline_us // 1000,
                each.aim_us // 1000,
            )
            for each in settings.categories
            if not told or each.name in told
        ]
        unknown = told.keys() - {each.name for each in settings.categories}
        if unknown:
            raise click.UsageError(f"--class {min(unknown)}: {config} has no such class")
        tenants = tenants or tuple((party.name, party.share or 1.0) for party in settings.parties)
        return loads.Mix(tuple(found), tenants, body)
    if not shapes:
        raise click.UsageError("which requests? Name them with --class NAME:EFFECT, or with --config FILE")
    patience = deadline_ms or loads.DEADLINE_MS
    made = tuple(loads.Shape(shape.name, shape.effect, shape.share, patience) for shape in shapes)
    return loads.Mix(made, tenants, body)


def _due(
    rate: float | None, seconds: float | None, arrivals: str, steps: str | None, times: Path | None, seed: int
) -> np.ndarray:
    if sum(value is not None for value in (rate, steps, times)) > 1:
        raise click.UsageError("--rate, --steps and --times are three ways to say the same; give one of them")
    if times is not None:
        if seconds is not None:
            raise click.UsageError("--times says how long the run is; leave --seconds out")
        return loads.recorded(times)
    seconds = seconds or 10.0
    try:
        if steps is not None:
            return loads.schedule(loads.Pattern.STEPS, list(loads.steps(steps)), seconds, seed)
        return loads.schedule(loads.Pattern(arrivals), [rate or 50.0], seconds, seed)
    except ValueError as error:
        raise click.UsageError(f"--steps or --rate: {error}") from None


def show(run: loads.Load, out: Console) -> None:
    figures = run.document()
    out.print(
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
    out.print(table)
    answers = ", ".join(f"{status} ({count})" for status, count in figures["statuses"].items())
    out.print(f"answers by status: {answers or 'none came'}", highlight=False)
    latency = "  ".join(f"{name} {value:.1f}" for name, value in figures["latency_ms"].items())
    out.print(f"latency in ms: {latency or 'nothing was served'}", highlight=False)
    late = figures["lateness_ms"]
    doubt = " THE FIGURES ARE IN DOUBT" if late["p99"] > IN_DOUBT_MS else ""
    out.print(f"the generator was late by p50 {late['p50']} ms, p99 {late['p99']} ms{doubt}", highlight=False)
