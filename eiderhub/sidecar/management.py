"""The management protocol for operators: each connection carries one command line and one answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from eiderhub.sidecar.lifecycle import Lifecycle

MAX_CONNECTIONS = 12  # concurrent; descriptors are reserved for them
RESERVED_DESCRIPTORS = 20  # held by the process for other purposes than connections
MAX_LINE_BYTES = 256
LINE_TIMEOUT_S = 5.0  # to receive a complete line
CLOSE_DELAY_S = 0.5  # time for the client to read the answer: closing over unread input would reset it
BACKLOG = 128


class ManagementServer:
    """Listens for management connections and executes their commands."""

    def __init__(self, lifecycle: Lifecycle, metric_lines: Callable[[], list[str]]) -> None:
        self._lifecycle = lifecycle
        self._metric_lines = metric_lines
        self.connections: dict[ManagementConnection, None] = {}  # open connections, oldest first
        self._commands: dict[str, Callable[[], str]] = {
            "status": self._status,
            "stats": self._stats,
            "standby": lambda: self._transition_result(lifecycle.enter_standby()),
            "active": lambda: self._transition_result(lifecycle.leave_standby()),
        }

    async def bind(self, host: str, port: int) -> None:
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: ManagementConnection(self), host, port, backlog=BACKLOG
        )

    def close(self) -> None:
        self.listener.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def on_connected(self, connection: ManagementConnection) -> None:
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            next(iter(self.connections)).transport.abort()

    def execute(self, line: bytes) -> str:
        try:
            name = line.decode("ascii").strip()
        except UnicodeDecodeError:
            return "ERR the call is no plain text"
        command = self._commands.get(name)
        if command is None:
            return f"ERR unknown call; there are {', '.join(self._commands)}"
        return command()

    def _status(self) -> str:
        answer = "OK" if self._lifecycle.is_serving else "ERR"
        return f"{answer} {self._lifecycle.phase.value}"

    def _stats(self) -> str:
        return "\n".join(["OK", *self._metric_lines(), "END"])

    def _transition_result(self, succeeded: bool) -> str:
        return f"{'OK' if succeeded else 'ERR'} {self._lifecycle.phase.value}"


class ManagementConnection(asyncio.Protocol):
    """One management connection."""

    def __init__(self, management: ManagementServer) -> None:
        self._management = management
        self._received = b""
        self._answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A cast, not `isinstance`: uvloop's transports don't subclass asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self._timer = asyncio.get_running_loop().call_later(
            LINE_TIMEOUT_S, self._answer, "ERR no whole line came in time"
        )
        self._management.on_connected(self)

    def data_received(self, data: bytes) -> None:
        if self._answered:
            return
        self._received += data
        line, newline, _ = self._received.partition(b"\n")
        if len(line) > MAX_LINE_BYTES:
            self._answer("ERR the line is too long")
        elif newline:
            self._answer(self._management.execute(line))

    def eof_received(self) -> bool:
        if self._answered or not self._received:
            return False
        self._answer("ERR the line has no end")
        return True  # keep the transport open to send the answer; the timer closes it

    def connection_lost(self, exc: Exception | None) -> None:
        self._answered = True
        self._timer.cancel()
        self._management.connections.pop(self, None)

    def _answer(self, text: str) -> None:
        if self._answered:
            return
        self._answered = True
        self._received = b""
        self._timer.cancel()
        self.transport.write(text.encode() + b"\n")
        self.transport.write_eof()
        self._timer = asyncio.get_running_loop().call_later(CLOSE_DELAY_S, self.transport.abort)
