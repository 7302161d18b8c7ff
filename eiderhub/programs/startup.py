"""Startup shared by all programs of the tier: command line, logging, signals and the event loop."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from collections.abc import Awaitable, Callable

import picologging as logging
import uvloop

from eiderhub.documents import DocumentError
from eiderhub.programs.settings import TierSettings, load
from eiderhub.transport.traffic import TRAFFIC

USAGE_EXIT_STATUS = 2


def run_command_line(main: Callable[..., None]) -> None:
    """Call a program's main function with the command-line arguments, if there are any."""
    if len(sys.argv) == 1:
        main()
        return
    import defopt  # late: the platform passes no arguments, and startup is faster without this import

    defopt.run(main)


def configure_logging(node_name: str) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(f"%(created)f {node_name} %(name)s %(levelname)s %(message)s"))
    root = logging.getLogger()
    root.addHandler(handler)
    root.setLevel(logging.INFO)


def run(
    serve: Callable[[TierSettings, asyncio.Event, asyncio.Event], Awaitable[None]], settings_file: str | None
) -> None:
    """Run `serve` with the settings, a stop event (SIGTERM, SIGINT) and a reload event (SIGHUP)."""
    try:
        settings = load(settings_file)
    except DocumentError as error:
        print(error, file=sys.stderr)
        raise SystemExit(USAGE_EXIT_STATUS) from None
    configure_logging(settings.node_name)
    TRAFFIC.zone = settings.zone
    gc.freeze()

    async def main() -> None:
        stop, reload = asyncio.Event(), asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, reload.set)
        await serve(settings, stop, reload)

    uvloop.run(main())
