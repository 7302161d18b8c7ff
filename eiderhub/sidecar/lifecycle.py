"""The lifecycle of the process: whether it serves clients, and how its connections are drained.

`/up`, the management commands and SIGTERM all use this object, so they always agree on the state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from eiderhub.sidecar.clock import now_us

# Accept connections for this long: the front sends some up to 0.4 s after `/up` turns 503.
ACCEPT_GRACE_S = 0.6
IDLE_CLOSE_DELAY_S = 1.5  # standby closes idle connections after this: none may stay open for 4 s
MIN_IDLE_S = 0.2  # a connection idle for less, such as a new one, may have a request in transit
DRAIN_POLL_INTERVAL_S = 0.02
FLUSH_DELAY_S = 0.1  # time for the last bytes to be sent


class Phase(Enum):
    STARTING = "starting"
    SERVING = "serving"
    STANDBY = "standby"
    STOPPING = "stopping"


class Intake(Enum):
    """How new requests are handled."""

    OPEN = "taken"
    LAST = "taken, and the answer is the last of its connection"
    NONE = "refused: nobody would be here to answer"


class CallerConnections(Protocol):
    """The part of the server that a drain needs."""

    intake: Intake

    def close_idle(self, idle_s: float) -> None:
        """Close the connections that have been idle for at least this long."""

    def stop_listening(self) -> None: ...

    def has_connections(self) -> bool: ...


class Lifecycle:
    """Tracks the phase of the process and runs the drain."""

    def __init__(self, callers: CallerConnections, can_serve: Callable[[], bool]) -> None:
        self._callers = callers
        self._can_serve = can_serve  # whether any endpoint list has named endpoints
        self._in_standby = False  # set by the operator
        self._stopping = False
        self._drain_task: asyncio.Task[None] | None = None

    @property
    def phase(self) -> Phase:
        if self._stopping:
            return Phase.STOPPING
        if self._in_standby:
            return Phase.STANDBY
        return Phase.SERVING if self._can_serve() else Phase.STARTING

    @property
    def is_serving(self) -> bool:
        return self.phase is Phase.SERVING

    def enter_standby(self) -> bool:
        """Drain into standby. Idempotent; returns False only when the process is stopping."""
        if self._stopping:
            return False
        if not self._in_standby:
            self._in_standby = True
            self._drain_task = asyncio.get_running_loop().create_task(
                self._drain_connections(ACCEPT_GRACE_S, IDLE_CLOSE_DELAY_S)
            )
        return True

    def leave_standby(self) -> bool:
        """Serve clients again, at any stage of a drain; returns False only when the process is stopping."""
        if self._stopping:
            return False
        self._in_standby = False
        self._cancel_drain()
        self._callers.intake = Intake.OPEN
        return True

    async def stop(self, keep_open_s: float, finish_s: float, successor: bool = False) -> None:
        """Drain before exit: keep idle connections for `keep_open_s`, and finish within `finish_s`.

        With a successor, which accepts new connections at once, every answer closes its connection. Without
        one, connections must not be closed early: in a rolling restart the other sidecars may not be running
        again yet, and callers would have nowhere to go.
        """
        self._stopping = True
        self._cancel_drain()
        finish_by_us = now_us() + int(finish_s * 1e6)
        accept_s = 0.0 if successor else ACCEPT_GRACE_S
        serve_s = 0.0 if successor else max(ACCEPT_GRACE_S, keep_open_s)
        drain = asyncio.get_running_loop().create_task(
            self._drain_connections(serve_s, max(serve_s, keep_open_s))
        )
        await asyncio.sleep(accept_s)
        self._callers.stop_listening()
        while self._callers.has_connections() and now_us() < finish_by_us:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        drain.cancel()
        self._callers.intake = Intake.NONE

    async def _drain_connections(self, last_answers_after_s: float, close_idle_after_s: float) -> None:
        """Close connections with their answers after the first delay, and idle ones after the second."""
        await asyncio.sleep(last_answers_after_s)
        self._callers.intake = Intake.LAST
        await asyncio.sleep(max(0.0, close_idle_after_s - last_answers_after_s))
        while True:
            self._callers.close_idle(MIN_IDLE_S)
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def _cancel_drain(self) -> None:
        if self._drain_task is not None:
            self._drain_task.cancel()
            self._drain_task = None
