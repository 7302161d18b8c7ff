"""`ottercleat bench`: measures the cost of parts of the program on this machine."""

from __future__ import annotations

import asyncio
import dataclasses
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec
import uvloop
from rich.console import Console
from rich.table import Table

from eiderhub.cli import console_output, costs
from eiderhub.cli.options import MAX_SEED

if TYPE_CHECKING:
    from eiderhub.scale.result import Result

DEFAULT_FLEET = Path(__file__).resolve().parents[2] / "deploy" / "fleet.toml"


@click.group("bench")
def command() -> None:
    """Measure parts of the program on this machine."""


for _subcommand in (costs.relay, costs.decisions, costs.slopes):
    command.add_command(_subcommand)


@command.command()
@click.option("--watchers", type=click.IntRange(1, 20_000), default=1000, show_default=True)
@click.option("--records", type=click.IntRange(1, 50_000), default=3000, show_default=True)
@click.option(
    "--rate", type=click.FloatRange(1, 5000), default=100.0, show_default=True, help="Changes per second."
)
@click.option("--seconds", type=click.FloatRange(1, 600), default=10.0, show_default=True)
@click.option(
    "--entries",
    type=click.IntRange(1, 2_000_000),
    default=100_000,
    show_default=True,
    help="Entries in the log.",
)
@click.option(
    "--processes",
    type=click.IntRange(1, 64),
    default=4,
    show_default=True,
    help="Processes that run the watchers.",
)
@click.option("--json", "json_file", metavar="FILE", help="Write all figures there; - for standard output.")
def registry(
    watchers: int,
    records: int,
    rate: float,
    seconds: float,
    entries: int,
    processes: int,
    json_file: str | None,
) -> int:
    """Measure the list service: changes to many watchers, synced writes, a reconnect storm, a restart."""
    from eiderhub.scale.registry_bench import Bench

    console_output.check_writable(json_file)
    bench = Bench(watchers, records, rate, seconds, entries, processes)
    with (
        console_output.progress("registry") as report_progress,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        result = runner.run(bench.run(report_progress))
    document: dict[str, Any] = dataclasses.asdict(result)
    console_output.write_json(json_file, document)
    table = Table(box=None, show_header=False, pad_edge=False)
    for name, value in document.items():
        table.add_row(name.replace("_", " "), f"{value:g}" if isinstance(value, float) else str(value))
    Console(stderr=json_file == "-").print(table, highlight=False)
    return 0


FAULTS = ("none", "release", "zone-lost", "region-cut", "follower-killed", "main-killed")


@command.command()
@click.option("--fleet", "fleet_file", metavar="FILE", help="Fleet file to use instead of deploy/fleet.toml.")
@click.option(
    "--hollow", type=int, default=250, show_default=True, help="Hollow sidecars, without a data path."
)
@click.option("--real", type=int, default=0, show_default=True, help="Real sidecar processes, in addition.")
@click.option(
    "--seconds", type=click.FloatRange(1, 3600), default=20.0, show_default=True, help="Length of each phase."
)
@click.option("--fault", type=click.Choice(FAULTS), default="none", show_default=True)
@click.option(
    "--fault-seconds",
    type=click.FloatRange(1, 600),
    default=60.0,
    show_default=True,
    help="Length of the fault.",
)
@click.option("--followers", type=click.IntRange(1, 64), help="Followers; by default one per region.")
@click.option(
    "--lease", "lease_s", type=click.FloatRange(0.5, 600), help="Lease in seconds, instead of the fleet's."
)
@click.option("--seed", type=click.IntRange(0, MAX_SEED), default=1, show_default=True)
@click.option("--json", "json_file", metavar="FILE", help="Write all figures there; - for standard output.")
def scale(
    fleet_file: str | None,
    hollow: int,
    real: int,
    seconds: float,
    fault: str,
    fault_seconds: float,
    followers: int | None,
    lease_s: float | None,
    seed: int,
    json_file: str | None,
) -> int:
    """Measure the list service with many sidecars, hollow and real: idle, under changes, and during a fault.

    A hollow sidecar runs the real client code (watch, adopted list, registration, decisions) over real
    connections; only the data path is left out. A run is refused if it does not fit into half of the
    machine's memory, its file descriptors and its ports.
    """
    from eiderhub.cli.capacity import read_fleet
    from eiderhub.http1 import NoReplyError
    from eiderhub.registry.client import RequestRefusedError
    from eiderhub.scale.plan import RunRequest, RunTooLargeError, make_admitted_plan
    from eiderhub.scale.run import Run, machine_capacity
    from eiderhub.scale.services import ProcessEndedError
    from eiderhub.scale.traffic import CountingLoop

    console_output.check_writable(json_file)
    path = Path(fleet_file) if fleet_file else DEFAULT_FLEET
    fleet = read_fleet(path)
    try:
        request = RunRequest(hollow, real, seed, lease_s, followers)
        plan = make_admitted_plan(fleet, request, machine_capacity(), fault == "region-cut")
    except RunTooLargeError as error:
        raise click.ClickException(str(error)) from None
    run = Run(plan, seconds, seed, fleet.calls_per_s / fleet.endpoints, fault, fault_seconds)
    try:
        with (
            console_output.progress("scale") as report_progress,
            asyncio.Runner(loop_factory=CountingLoop) as runner,
        ):
            result = runner.run(run.run(report_progress, path.name, costs.revision(costs.own_checkout())))
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None
    except (ProcessEndedError, NoReplyError, RequestRefusedError, TimeoutError) as error:
        print(f"ottercleat: the run ended early: {str(error) or type(error).__name__}", file=sys.stderr)
        return 1
    console_output.write_json(json_file, msgspec.to_builtins(result))
    _print_scale_result(result, Console(stderr=json_file == "-"))
    return 0


PHASE_COLUMNS = ("phase", "role", "cpu s", "MB", "calls", "kB in", "kB out", "open", "peak")


def _print_scale_result(result: Result, console: Console) -> None:
    """Print one table row per phase and role, then the effects of the fault."""
    settings = result.settings
    console.print(
        f"{settings.hollow} hollow and {settings.real} real sidecars, {settings.followers} followers, "
        f"{settings.services} services; filled in {result.fill_s:g} s; timers late by {result.late_ms:g} ms",
        highlight=False,
    )
    table = Table(box=None, pad_edge=False, padding=(0, 1, 0, 0))
    for column in PHASE_COLUMNS:
        table.add_column(column, justify="left" if column in PHASE_COLUMNS[:2] else "right", no_wrap=True)
    for phase in result.phases:
        for name, role in phase.roles.items():
            counts = (
                role.calls,
                round(role.bytes_in / 1000),
                round(role.bytes_out / 1000),
                role.connections,
                role.peak_per_100ms,
            )
            table.add_row(
                phase.name, name, f"{role.cpu_s:.3f}", f"{role.memory_mb:.0f}", *(str(n) for n in counts)
            )
    console.print(table, highlight=False)
    console.print("open: connections at the end; peak: the most calls in 100 ms", highlight=False)
    for phase in result.phases:
        line = f"{phase.name}: {phase.seconds:g} s, {phase.changes} changes, {phase.renewals} renewals, "
        line += f"{phase.watch_answers} answers with {phase.entries_told} entries"
        if phase.in_force_ms:
            delays = (f"{name} {ms:g} ms" for name, ms in phase.in_force_ms.items())
            line += f"; in force after {', '.join(delays)}"
        console.print(line, highlight=False)
    if result.added is not None:
        added = result.added
        line = f"added to a call: p50 {added.added_ms['p50']:g} ms, p99 {added.added_ms['p99']:g} ms"
        console.print(f"{line} ({added.calls} calls, {added.unserved} not served)", highlight=False)
    fault = result.fault
    if fault is not None:
        lines = [
            f"{fault.name}: {fault.touched} sidecars; {fault.writes_failed} of {fault.writes_tried} writes "
            f"and {fault.renewals_failed} renewals failed; {fault.lost_wrongly} records lost wrongly",
            f"all agree {fault.agree_s:g} s after its end" if fault.agreed else "not all agree at the end",
            "most calls in 100 ms: " + ", ".join(f"{k} {n}" for k, n in fault.peak_per_100ms.items()),
            *fault.notes,
        ]
        for line in lines:
            console.print(line, highlight=False, markup=False)
    for warning in result.in_doubt:
        console.print(f"IN DOUBT: {warning}", highlight=False, markup=False)
