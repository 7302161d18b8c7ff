"""`ottercleat emulate`: a deployment that stays up, for other tools to be pointed at."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from eiderhub.cli import playing, screen
from eiderhub.cli.options import of_a_day
from eiderhub.emulator.deployment import Deployment, DeploymentError, Result
from eiderhub.world import scenario as scenarios
from eiderhub.world.day import Day, draw


@click.command("emulate")
@click.argument("scenario")
@click.option("--traffic", is_flag=True, help="Play the scenario's clients, too, once.")
@of_a_day
def command(
    scenario: str,
    seed: int,
    traffic: bool,
    json_file: str | None,
    logs: Path | None,
    command: str | None,
    real_lists: bool,
) -> int:
    """Start the deployment of SCENARIO (a name, or a TOML file), print its addresses, and keep it up.

    The scenario's troubles happen at their times; Ctrl-C ends everything. Point `ottercleat load` at a
    front sidecar, and `ottercleat ctl` at its management address.
    """
    screen.check_writable(json_file)
    day = draw(scenarios.load(scenario), seed, Path(scenario).stem)
    out = Console(stderr=json_file == "-")
    try:
        result = playing.run(lambda: _keep_up(day, playing.split(command), logs, traffic, real_lists, out))
    except DeploymentError as error:
        screen.show_crash(str(error), error.tail, Console(stderr=True))
        return 1
    screen.write_json(json_file, result.document())
    if traffic or result.crash is not None or not result.verdict.rules_kept:
        screen.show_result(result, out)
    return 0 if result.held else 1


async def _keep_up(
    day: Day,
    command: list[str] | None,
    logs: Path | None,
    traffic: bool,
    real_lists: bool,
    out: Console,
) -> Result:
    failed: DeploymentError | None = None
    deployment = Deployment(day, command, logs, strangers=True, real_lists=real_lists)
    click.echo(f"starting {len(day.posts)} sidecars and {len(day.plans)} endpoints", err=True)
    async with deployment:
        show_addresses(deployment, out)
        with contextlib.suppress(asyncio.CancelledError):
            try:
                if traffic:
                    with screen.progress(day.name) as tell:
                        await deployment.play(lambda part, outside: tell(part, playing.said(outside)))
                else:
                    deployment.begin_troubles()
                click.echo("up until Ctrl-C", err=True)
                await deployment.until_failure()
            except DeploymentError as error:
                failed = error
        return deployment.result(failed)


def show_addresses(deployment: Deployment, out: Console) -> None:
    table = Table(show_edge=False, pad_edge=False)
    for column in ("sidecar", "zone", "listens", "management"):
        table.add_column(column, overflow="fold")
    for name, station in deployment.stations.items():
        if station.post.owner is None:
            table.add_row(name, station.post.zone, f"{station.host}:{station.port}", station.management)
    out.print(table)
    first = next(iter(deployment.stations.values()))
    hint = f"ottercleat load {first.host}:{first.port} --config {first.config}"
    out.print(hint, soft_wrap=True, highlight=False)
