"""`ottercleat demo`: runs an emulated deployment with traffic and faults, and prints a table of results."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import click
from rich.console import Console

from eiderhub.cli import console_output, runner
from eiderhub.cli.options import MAX_SECONDS, deployment_options
from eiderhub.emulator.deployment import DeploymentError
from eiderhub.world import scenario as scenarios
from eiderhub.world.day import draw_day


@click.command("demo")
@click.option(
    "--scenario", default="demo", show_default=True, help="Name of a scenario, or path of its file."
)
@click.option(
    "--seconds",
    type=click.FloatRange(0, MAX_SECONDS, min_open=True),
    help="Length of the run, instead of the scenario's.",
)
@deployment_options
@click.option("--list", "listed", is_flag=True, help="List the bundled scenarios.")
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
    """Run an emulated deployment on loopback and print the result.

    The sidecars are real processes; the emulator provides endpoints, discovery and clients. Exit status 0
    means that the four rules held, 1 that one was broken or that the run ended early.
    """
    if listed:
        for name in scenarios.shipped():
            click.echo(f"{name:16} {scenarios.load(name).about}")
        return 0
    console_output.check_writable(json_file)
    day = draw_day(scenarios.load(scenario), seed, Path(scenario).stem)
    if seconds is not None:
        day = dataclasses.replace(day, length_us=int(seconds * 1e6))
    console = Console(stderr=json_file == "-")
    try:
        result, interrupted = runner.run_cancellable(
            lambda: runner.run_scenario(day, runner.split_command(command), logs, real_lists)
        )
    except DeploymentError as error:  # the run did not start
        console_output.print_crash(str(error), error.log_tail, Console(stderr=True))
        return 1
    console_output.write_json(json_file, result.document())
    console_output.print_result(result, console)
    if interrupted:
        click.echo("ottercleat: interrupted; the figures cover only what had ended by then", err=True)
    return 0 if result.passed and not interrupted else 1
