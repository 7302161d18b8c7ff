"""`ottercleat demo`: a deployment, some seconds of traffic and trouble, and a table."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import click
from rich.console import Console

from eiderhub.cli import playing, screen
from eiderhub.cli.options import MOST_SECONDS, of_a_day
from eiderhub.emulator.deployment import DeploymentError
from eiderhub.world import scenario as scenarios
from eiderhub.world.day import draw


@click.command("demo")
@click.option(
    "--scenario", default="demo", show_default=True, help="A scenario's name, or the path of its file."
)
@click.option(
    "--seconds",
    type=click.FloatRange(0, MOST_SECONDS, min_open=True),
    help="Length of the day, instead of the scenario's.",
)
@of_a_day
@click.option("--list", "listed", is_flag=True, help="List the scenarios that come with the package.")
def command(
    scenario: str,
    seconds: float | None,
    seed: int,
    json_file: str | None,
    logs: Path | None,
    command: str | None,
    real_lists: bool,
    listed: bool,
) -> int:
    """Play a deployment on loopback and print what came of it.

    Real sidecar processes stand in front of endpoints, discovery and clients that the emulator plays. Exit
    status 0 means that the four rules held, 1 that one was broken, or that the run ended early.
    """
    if listed:
        for name in scenarios.shipped():
            click.echo(f"{name:16} {scenarios.load(name).about}")
        return 0
    screen.check_writable(json_file)
    day = draw(scenarios.load(scenario), seed, Path(scenario).stem)
    if seconds is not None:
        day = dataclasses.replace(day, length_us=int(seconds * 1e6))
    out = Console(stderr=json_file == "-")
    try:
        result, interrupted = playing.run(lambda: playing.play(day, playing.split(command), logs, real_lists))
    except DeploymentError as error:  # it never began
        screen.show_crash(str(error), error.tail, Console(stderr=True))
        return 1
    screen.write_json(json_file, result.document())
    screen.show_result(result, out)
    if interrupted:
        click.echo("ottercleat: interrupted; the figures are of what had ended by then", err=True)
    return 0 if result.held and not interrupted else 1
