"""What all programs of the tier do alike: logs, signals, the event loop, and their end."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from collections.abc import Awaitable, Callable

import picologging as logging
import uvloop

from eiderhub.programs.settings import TierSettings, load
from eiderhub.reading import DocumentError
from eiderhub.transport.traffic import TRAFFIC

USAGE_STATUS = 2


def begin(main: Callable[..., None]) -> None:
    """Call a program's main function with the words of the command line, where there are any."""
    if len(sys.argv) == 1:
        main()
        return
    import defopt  # a process that the platform starts has no words, and comes up sooner without it

    defopt.run(main)


def set_up_logs(node: str) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(f"%(created)f {node} %(name)s %(levelname)s %(message)s"))
    root = logging.getLogger()
    root.addHandler(handler)
    root.setLevel(logging.INFO)


def run(
    serve: Callable[[TierSettings, asyncio.Event, asyncio.Event], Awaitable[None]], path: str | None
) -> None:
    """Run a program until SIGTERM; `serve` gets the settings, the stop event and the reload event."""
    try:
        settings = load(path)
    except DocumentError as error:
        print(error, file=sys.stderr)
        raise SystemExit(USAGE_STATUS) from None
    set_up_logs(settings.node_name)
    TRAFFIC.zone = settings.zone
    gc.freeze()

    async def main() -> None:
        stop, reload = asyncio.Event(), asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, reload.set)
        await serve(settings, stop, reload)

    uvloop.run(main())
