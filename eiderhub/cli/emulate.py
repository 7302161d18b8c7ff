"""`ottercleat emulate`: keeps an emulated deployment running, as a target for other tools."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from eiderhub.cli import console_output, runner
from eiderhub.cli.options import deployment_options
from eiderhub.emulator.deployment import Deployment, DeploymentError, Result
from eiderhub.world import scenario as scenarios
from eiderhub.world.day import Day, draw_day


@click.command("emulate")
@click.argument("scenario")
@click.option("--traffic", is_flag=True, help="Also run the scenario's clients, once.")
@deployment_options
def command(
    scenario: str,
    seed: int,
    traffic: bool,
    json_file: str | None,
    logs: Path | None,
    command: str | None,
    real_lists: bool,
) -> int:
    """Start the deployment of SCENARIO (a name, or a TOML file), print its addresses, and keep it running.

    The scenario's faults happen at their times; Ctrl-C ends everything. Point `ottercleat load` at a
    front sidecar, and `ottercleat ctl` at its management address.
    """
    console_output.check_writable(json_file)
    day = draw_day(scenarios.load(scenario), seed, Path(scenario).stem)
    console = Console(stderr=json_file == "-")
    try:
        result = runner.run_cancellable(
            lambda: _run_until_stopped(day, runner.split_command(command), logs, traffic, real_lists, console)
        )
    except DeploymentError as error:
        console_output.print_crash(str(error), error.log_tail, Console(stderr=True))
        return 1
    console_output.write_json(json_file, result.document())
    if traffic or result.crash is not None or not result.verdict.rules_kept:
        console_output.print_result(result, console)
    return 0 if result.passed else 1


async def _run_until_stopped(
    day: Day,
    command: list[str] | None,
    logs: Path | None,
    traffic: bool,
    real_lists: bool,
    console: Console,
) -> Result:
    failure: DeploymentError | None = None
    deployment = Deployment(day, command, logs, serve_external=True, real_registry=real_lists)
    click.echo(
        f"starting {len(day.sidecar_plans)} sidecars and {len(day.endpoint_plans)} endpoints", err=True
    )
    async with deployment:
        print_addresses(deployment, console)
        with contextlib.suppress(asyncio.CancelledError):
            try:
                if traffic:
                    with console_output.progress(day.name) as report_progress:
                        await deployment.run(
                            lambda fraction, clients: report_progress(fraction, runner.progress_text(clients))
                        )
                else:
                    deployment.start_troubles()
                click.echo("up until Ctrl-C", err=True)
                await deployment.wait_for_failure()
            except DeploymentError as error:
                failure = error
        return deployment.result(failure)


def print_addresses(deployment: Deployment, console: Console) -> None:
    table = Table(show_edge=False, pad_edge=False)
    for column in ("sidecar", "zone", "listens", "management"):
        table.add_column(column, overflow="fold")
    for name, sidecar in deployment.sidecars.items():
        if sidecar.plan.endpoint_id is None:
            table.add_row(name, sidecar.plan.zone, f"{sidecar.host}:{sidecar.port}", sidecar.management)
    console.print(table)
    first = next(iter(deployment.sidecars.values()))
    hint = f"ottercleat load {first.host}:{first.port} --config {first.config_path}"
    console.print(hint, soft_wrap=True, highlight=False)
