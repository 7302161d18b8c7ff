"""Runs an emulated scenario with a progress display, and shuts it down cleanly on Ctrl-C."""

from __future__ import annotations

import asyncio
import shlex
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

import uvloop

from eiderhub.cli.console_output import progress
from eiderhub.emulator.clients import ScenarioClients
from eiderhub.emulator.deployment import Deployment, DeploymentError, Result
from eiderhub.emulator.processes import cancel_on_signals
from eiderhub.world.day import Day

T = TypeVar("T")


def run_cancellable(main: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine on uvloop; the first Ctrl-C or SIGTERM cancels it.

    Only the first one does, so that the clean-up that follows is not interrupted.

    Raises:
        KeyboardInterrupt: the coroutine was cancelled before it had a result.
    """

    async def start() -> T:
        cancel_on_signals()
        return await main()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            return runner.run(start())
        except asyncio.CancelledError:
            raise KeyboardInterrupt from None


def split_command(command: str | None) -> list[str] | None:
    return shlex.split(command) if command else None


def progress_text(clients: ScenarioClients) -> str:
    return f"{clients.finished_count} ended, {clients.served_count} served, {len(clients.in_flight)} open"


async def run_scenario(
    day: Day, command: list[str] | None, logs: Path | None, real_lists: bool = False
) -> tuple[Result, bool]:
    """Run one scenario to its end; returns the result, and whether the run was interrupted."""
    interrupted = False
    failure: DeploymentError | None = None
    deployment = Deployment(day, command, logs, real_registry=real_lists)
    with progress(day.name) as report_progress:
        report_progress(0.0, f"starting {len(day.sidecar_plans)} sidecars")
        async with deployment:
            try:
                await deployment.run(
                    lambda fraction, clients: report_progress(fraction, progress_text(clients))
                )
            except DeploymentError as error:
                failure = error
            except asyncio.CancelledError:
                interrupted = True
            result = deployment.result(failure)
    return result, interrupted
