"""One stand-in's listening address: open, shut (refused), or silent (as a machine that has vanished)."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable

from eiderhub.emulator.http import Exchange, ServerConnection

BACKLOG = 256
FILLERS = 4  # connections that fill a silent door's queue, so that no other comes up


class Door:
    """An address within 127/8 whose port was the system's choice, and stays the same."""

    def __init__(
        self,
        host: str,
        serve: Callable[[Exchange], None],
        clock: Callable[[], int],
        on_open: Callable[[], None] = lambda: None,
    ) -> None:
        self.host = host
        self.port = 0
        self._serve = serve
        self._clock = clock
        self._on_open = on_open
        self._server: asyncio.Server | None = None
        self._silent: list[socket.socket] = []
        self.connections: set[ServerConnection] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def open(self) -> None:
        self._end_silence()
        if self._server is None:
            self._server = await asyncio.get_running_loop().create_server(
                lambda: ServerConnection(self._serve, self._clock, self.connections, self._on_open),
                self.host,
                self.port,
                backlog=BACKLOG,
                reuse_address=True,
            )
            if not self._server.sockets:  # uvloop says nothing where no socket could be made
                raise OSError(errno.EMFILE, "no descriptor is left for a listening address")
            self.port = self._server.sockets[0].getsockname()[1]

    def shut(self, reset: bool = True) -> None:
        """New connections are refused; those that are open are reset, or left as they are."""
        self._end_silence()
        if self._server is not None:
            self._server.close()
            self._server = None
        if reset:
            for connection in list(self.connections):
                connection.reset()

    def silence(self) -> None:
        """New connections never come up. Whoever serves must leave what comes on open ones unanswered."""
        self.shut(reset=False)
        listener = socket.socket()
        self._silent.append(listener)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((self.host, self.port))
            listener.listen(0)
            for _ in range(FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                self._silent.append(filler)
                with contextlib.suppress(BlockingIOError):
                    filler.connect((self.host, self.port))
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            # The address lingers: refused is the next best thing to silent.

    def _end_silence(self) -> None:
        for each in self._silent:
            each.close()
        self._silent.clear()
