"""A listening address that can accept connections, refuse them, or leave them unanswered like a lost host."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
from collections.abc import Callable
from typing import Any

from eiderhub.emulator.processes import reserve_port
from eiderhub.http1 import Exchange, ServerConnection

BACKLOG_CONNECTIONS = 256
# Connections that fill the backlog of a blackholed address, so that no other is established.
BACKLOG_FILLERS = 4


class Listener:
    """A listening address in 127/8; the operating system chooses its port, which then stays the same."""

    def __init__(
        self,
        host: str,
        serve: Callable[[Exchange], None],
        clock: Callable[[], int],
        on_connection: Callable[[], None] = lambda: None,
    ) -> None:
        self.host = host
        self.port = 0
        self._reservation: socket.socket | None = None  # keeps the port reserved while nothing listens on it
        self._serve = serve
        self._clock = clock
        self._on_connection = on_connection
        self._server: asyncio.Server | None = None
        self._blackhole_sockets: list[socket.socket] = []
        self.connections: set[ServerConnection] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    def listening_sockets(self) -> list[Any]:
        """The sockets that listen on the address at present, whether it is served or blackholed."""
        return [*(self._server.sockets if self._server is not None else ()), *self._blackhole_sockets[:1]]

    async def open(self) -> None:
        """Accept connections, on the same port each time.

        Raises:
            OSError: no listening socket could be created.
        """
        self._end_blackhole()
        if self._reservation is None:
            self._reservation = reserve_port(self.host)
            self.port = self._reservation.getsockname()[1]
        if self._server is None:
            self._server = await asyncio.get_running_loop().create_server(
                lambda: ServerConnection(
                    self._serve, self._clock, self.connections, lambda _: self._on_connection()
                ),
                self.host,
                self.port,
                backlog=BACKLOG_CONNECTIONS,
                reuse_address=True,
            )
            if not self._server.sockets:  # uvloop reports no error if it could not create a socket
                raise OSError(errno.EMFILE, "no file descriptor left for a listening socket")

    def stop_listening(self, reset: bool = True) -> None:
        """Refuse new connections; open ones are reset, or left open if `reset` is false."""
        self._end_blackhole()
        if self._server is not None:
            for listener in self._server.sockets:
                shut_down_listener(listener.fileno())
            self._server.close()
            self._server = None
        if reset:
            for connection in list(self.connections):
                connection.reset()

    def close(self) -> None:
        """Stop listening, reset all connections and release the port."""
        self.stop_listening()
        if self._reservation is not None:
            self._reservation.close()
            self._reservation = None

    @property
    def is_blackholed(self) -> bool:
        return bool(self._blackhole_sockets)

    def blackhole(self) -> None:
        """Let new connections time out, as with a host that has vanished.

        Open connections stay open: the server must leave requests on them unanswered.
        """
        self.stop_listening(reset=False)
        listener = socket.socket()
        self._blackhole_sockets.append(listener)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((self.host, self.port))
            listener.listen(0)
            for _ in range(BACKLOG_FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                self._blackhole_sockets.append(filler)
                with contextlib.suppress(BlockingIOError):
                    filler.connect((self.host, self.port))
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            # The address is still in use by connections that are closing: refuse connections instead.

    def _end_blackhole(self) -> None:
        for sock in self._blackhole_sockets:
            shut_down_listener(sock.fileno())
            sock.close()
        self._blackhole_sockets.clear()


def shut_down_listener(fileno: int) -> None:
    """Stop listening at once, even if another process holds the same socket.

    A process that is being started holds copies of all our descriptors until the system has closed them on
    exec, which can be shortly after the call that starts it has returned. Closing our descriptor alone would
    leave the address in use until then.
    """
    with socket.socket(fileno=os.dup(fileno)) as sock, contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
