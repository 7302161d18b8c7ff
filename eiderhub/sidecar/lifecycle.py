"""The life of the process: whether it takes clients, and the one way in which it is emptied.

`/up`, the management calls and SIGTERM all ask or tell this object, so that they can never disagree.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from eiderhub.sidecar.clock import now_us

ACCEPT_S = 0.6  # new connections are welcome for so long: the front sends some for up to 0.4 s after a no
LEAVE_S = 1.5  # an operator's drain closes idle connections from here on: none may be held for 4 s
QUIET_S = 0.2  # a connection idle for less may have a request on its way, as one that has just come up
STEP_S = 0.02  # how often a drain looks at the connections
FLUSH_S = 0.1  # for the last bytes to leave


class Phase(Enum):
    STARTING = "starting"
    SERVING = "serving"
    STANDBY = "standby"
    STOPPING = "stopping"


class Intake(Enum):
    """What becomes of requests that come."""

    OPEN = "taken"
    LAST = "taken, and the answer is the last of its connection"
    NONE = "refused: nobody would be here to answer"


class Callers(Protocol):
    """The callers' connections, as far as a drain concerns them."""

    intake: Intake

    def close_idle(self, quiet_s: float) -> None:
        """Close the connections that have been idle for so long."""

    def stop_listening(self) -> None: ...

    def any_left(self) -> bool: ...


class Lifecycle:
    """Starting, serving, standby, stopping."""

    def __init__(self, callers: Callers, can_serve: Callable[[], bool]) -> None:
        self._callers = callers
        self._can_serve = can_serve  # whether a list has named endpoints
        self._emptied = False  # by the operator
        self._stopping = False
        self._drain: asyncio.Task[None] | None = None

    @property
    def phase(self) -> Phase:
        if self._stopping:
            return Phase.STOPPING
        if self._emptied:
            return Phase.STANDBY
        return Phase.SERVING if self._can_serve() else Phase.STARTING

    @property
    def takes_clients(self) -> bool:
        return self.phase is Phase.SERVING

    def standby(self) -> bool:
        """Empty the sidecar; repeating it changes nothing. No only once the process is to end."""
        if self._stopping:
            return False
        if not self._emptied:
            self._emptied = True
            self._drain = asyncio.get_running_loop().create_task(self._leave(ACCEPT_S, LEAVE_S))
        return True

    def active(self) -> bool:
        """Take clients again, however far a drain has come."""
        if self._stopping:
            return False
        self._emptied = False
        self._call_off()
        self._callers.intake = Intake.OPEN
        return True

    async def stop(self, keep_s: float, end_s: float, successor: bool = False) -> None:
        """Empty the sidecar for good: connections stay open for `keep_s`, and all is over by `end_s`.

        A successor takes what is new at once, so each answer sends its caller there.
        Danger: in a rolling restart the others may not be back yet, and who is turned away has nowhere to go.
        """
        self._stopping = True
        self._call_off()
        end_us = now_us() + int(end_s * 1e6)
        accept_s = 0.0 if successor else ACCEPT_S
        use_s = 0.0 if successor else max(ACCEPT_S, keep_s)
        drain = asyncio.get_running_loop().create_task(self._leave(use_s, max(use_s, keep_s)))
        await asyncio.sleep(accept_s)
        self._callers.stop_listening()
        while self._callers.any_left() and now_us() < end_us:
            await asyncio.sleep(STEP_S)
        drain.cancel()
        self._callers.intake = Intake.NONE

    async def _leave(self, keep_s: float, idle_s: float) -> None:
        """Answers are last ones after `keep_s`; idle connections go after `idle_s`."""
        await asyncio.sleep(keep_s)
        self._callers.intake = Intake.LAST
        await asyncio.sleep(max(0.0, idle_s - keep_s))
        while True:
            self._callers.close_idle(QUIET_S)
            await asyncio.sleep(STEP_S)

    def _call_off(self) -> None:
        if self._drain is not None:
            self._drain.cancel()
            self._drain = None
