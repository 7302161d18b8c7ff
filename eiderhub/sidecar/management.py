"""The operators' calls: one line to a connection, one answer, and the end of the connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from eiderhub.sidecar.lifecycle import Lifecycle

MOST = 12  # connections at a time; their descriptors are set aside
OWN_DESCRIPTORS = 20  # what the process holds besides connections
MOST_LINE = 256  # bytes
WAIT_S = 5.0  # for a whole line
LINGER_S = 0.5  # an answer is read for so long: a close that crosses input would take it away
BACKLOG = 128


class Management:
    """The listener, and what each call does."""

    def __init__(self, lifecycle: Lifecycle, figures: Callable[[], list[str]]) -> None:
        self._lifecycle = lifecycle
        self._figures = figures
        self.waiting: dict[Line, None] = {}  # connections that are open, the oldest first
        self._calls: dict[str, Callable[[], str]] = {
            "status": self._status,
            "stats": self._stats,
            "standby": lambda: self._told(lifecycle.standby()),
            "active": lambda: self._told(lifecycle.active()),
        }

    async def bind(self, host: str, port: int) -> None:
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: Line(self), host, port, backlog=BACKLOG
        )

    def close(self) -> None:
        self.listener.close()
        for line in list(self.waiting):
            line.transport.abort()

    def joined(self, line: Line) -> None:
        self.waiting[line] = None
        if len(self.waiting) > MOST:
            next(iter(self.waiting)).transport.abort()

    def call(self, line: bytes) -> str:
        try:
            name = line.decode("ascii").strip()
        except UnicodeDecodeError:
            return "ERR the call is no plain text"
        found = self._calls.get(name)
        if found is None:
            return f"ERR unknown call; there are {', '.join(self._calls)}"
        return found()

    def _status(self) -> str:
        answer = "OK" if self._lifecycle.takes_clients else "ERR"
        return f"{answer} {self._lifecycle.phase.value}"

    def _stats(self) -> str:
        return "\n".join(["OK", *self._figures(), "END"])

    def _told(self, obeyed: bool) -> str:
        return f"{'OK' if obeyed else 'ERR'} {self._lifecycle.phase.value}"


class Line(asyncio.Protocol):
    """One connection."""

    def __init__(self, management: Management) -> None:
        self._management = management
        self._read = b""
        self._answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not `isinstance`: uvloop's transports only have the shape of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self._timer = asyncio.get_running_loop().call_later(
            WAIT_S, self._answer, "ERR no whole line came in time"
        )
        self._management.joined(self)

    def data_received(self, data: bytes) -> None:
        if self._answered:
            return
        self._read += data
        line, end, _ = self._read.partition(b"\n")
        if len(line) > MOST_LINE:
            self._answer("ERR the line is too long")
        elif end:
            self._answer(self._management.call(line))

    def eof_received(self) -> bool:
        if self._answered or not self._read:
            return False
        self._answer("ERR the line has no end")
        return True  # the answer still leaves; the timer closes

    def connection_lost(self, exc: Exception | None) -> None:
        self._answered = True
        self._timer.cancel()
        self._management.waiting.pop(self, None)

    def _answer(self, text: str) -> None:
        if self._answered:
            return
        self._answered = True
        self._read = b""
        self._timer.cancel()
        self.transport.write(text.encode() + b"\n")
        self.transport.write_eof()
        self._timer = asyncio.get_running_loop().call_later(LINGER_S, self.transport.abort)
