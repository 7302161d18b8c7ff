"""Terminal output: progress while a command runs, and tables of its result."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from eiderhub.emulator.clock import MAX_LATENESS_P99_MS
from eiderhub.emulator.deployment import Result
from eiderhub.world.evaluation import Evaluation, OutcomeCounts

PLAIN_PROGRESS_INTERVAL_S = 5.0  # between progress lines when standard error is not a terminal
NARROW_COLUMNS, WIDE_COLUMNS = 54, 72  # terminal widths
ReportProgress = Callable[[float, str], None]


@contextmanager
def progress(title: str) -> Iterator[ReportProgress]:
    """Show progress: a bar on a terminal, plain lines elsewhere.

    The yielded function takes the completed fraction and a text.
    """
    console = Console(stderr=True)
    if not console.is_terminal:
        next_line_at = 0.0

        def report_progress(fraction: float, text: str) -> None:
            nonlocal next_line_at
            if time.monotonic() >= next_line_at:
                next_line_at = time.monotonic() + PLAIN_PROGRESS_INTERVAL_S
                print(f"{title}: {100 * fraction:.0f}% {text}", file=sys.stderr, flush=True)

        yield report_progress
        return
    columns = (
        TextColumn("{task.description}"),
        BarColumn(bar_width=None),
        TextColumn("{task.percentage:>3.0f}%"),
    )
    with Progress(*columns, TimeElapsedColumn(), console=console, transient=True) as bar:
        task = bar.add_task(title, total=1.0)
        yield lambda fraction, text: bar.update(
            task, completed=fraction, description=f"{title} {text}".strip()
        )


def check_writable(path: str | None) -> None:
    """Check before a long run that its result can be written to `path`; raises UsageError if not."""
    if path is None or path == "-":
        return
    folder = Path(path).parent
    if not folder.is_dir():
        raise click.UsageError(f"{path}: there is no folder {folder}")
    if Path(path).is_dir():
        raise click.UsageError(f"{path}: this is a folder; name a file")


def write_json(path: str | None, document: dict[str, Any]) -> None:
    """Write a document to a file, or to standard output if the path is `-`."""
    if path is None:
        return
    text = json.dumps(document, indent=2) + "\n"
    if path == "-":
        click.echo(text, nl=False)
        return
    partial = Path(path + ".part")
    partial.write_text(text, encoding="utf-8")
    partial.replace(path)


def _outcomes_table(evaluation: Evaluation, width: int) -> Table:
    """Requests by outcome; a narrow terminal omits the last column."""
    table = Table(box=None, pad_edge=False, padding=(0, 1 if width < WIDE_COLUMNS else 3, 0, 0))
    table.add_column("", no_wrap=True)
    columns = ["asked", "served", "late", "refused", "failed", "worth"]
    for column in columns if width >= NARROW_COLUMNS else columns[:-1]:
        table.add_column(column, justify="right", no_wrap=True)
    for kind, rows in (("class", evaluation.classes), ("tenant", evaluation.tenants)):
        for name, row in rows.items():
            table.add_row(f"{kind} {name}", *_cells(row)[: len(table.columns) - 1])
    return table


def _cells(row: OutcomeCounts) -> list[str]:
    counts = (row.asked, row.served, row.late, row.refused, row.failed)
    return [*(str(count) for count in counts), f"{row.share:.3f}"]


def _facts_table() -> Table:
    facts = Table(box=None, show_header=False, pad_edge=False, padding=(0, 2, 0, 0))
    facts.add_column(style="bold", no_wrap=True)
    facts.add_column(overflow="fold")
    return facts


def print_result(result: Result, console: Console) -> None:
    """Print one page: the scenario, its results, and whether the figures can be trusted."""
    evaluation = result.verdict
    console.print(
        f"{result.scenario}, seed {result.seed}: {result.seconds:g} s, {result.rate_per_s:.0f} requests/s, "
        f"{result.sidecars} sidecars, {result.endpoints} endpoints",
        highlight=False,
    )
    for event in result.events:
        console.print(f"  {event}", highlight=False)
    console.print()
    console.print(_outcomes_table(evaluation, console.width))
    console.print()
    facts = _facts_table()
    window = result.window_s
    facts.add_row(
        f"worst {window:g} s",
        f"{evaluation.worst_window:.3f} of worth, from {evaluation.worst_window_at_s:.0f} s",
    )
    latency = evaluation.latency_ms
    if latency:
        facts.add_row("latency", "  ".join(f"{name} {value:.0f} ms" for name, value in latency.items()))
    facts.add_row(
        "attempts",
        f"{evaluation.attempts_per_request:.2f} a request, {evaluation.tries_per_request:.2f} tries",
    )
    cross_region = (
        f", {evaluation.cross_region_calls} of them across regions" if evaluation.cross_region_calls else ""
    )
    facts.add_row("across zones", f"{evaluation.cross_zone_calls} calls{cross_region}")
    facts.add_row(
        "endpoints", f"{evaluation.declined} requests declined, {evaluation.fallen} crashes while cold"
    )
    facts.add_row("score", f"{evaluation.score:.3f} (goodput {evaluation.goodput:.3f})")
    lateness = result.lateness_ms
    warning = f"; above {MAX_LATENESS_P99_MS:g} ms: THE FIGURES ARE IN DOUBT" if result.in_doubt else ""
    facts.add_row("emulator late by", f"p50 {lateness['p50']} ms, p99 {lateness['p99']} ms{warning}")
    facts.add_row("sidecars", _resource_usage(result))
    facts.add_row(
        "rules",
        "kept" if evaluation.rules_kept else "[bold]BROKEN[/bold]: " + _format_counts(evaluation.breaches),
    )
    console.print(facts, highlight=False)
    for text in (*evaluation.first_breaches, *result.notes):
        console.print(f"  {text}", highlight=False, markup=False)
    if result.crash is not None:
        print_crash(result.crash, result.crash_log, console)


def print_crash(reason: str, log_tail: list[str], console: Console) -> None:
    console.print(f"the run ended early: {reason}", highlight=False, markup=False)
    for line in log_tail:
        console.print(f"  | {line}", highlight=False, markup=False, soft_wrap=True)


def _resource_usage(result: Result) -> str:
    max_memory_mb = max((used["memory_mb"] for used in result.usage.values()), default=0.0)
    return (
        f"{max_memory_mb:.0f} MB at most, {result.front_cpu_us_per_request:.0f} us of CPU a try at the front"
    )


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} ({count})" for name, count in counts.items())
