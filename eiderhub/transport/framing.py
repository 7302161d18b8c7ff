"""Connections that carry framed messages over TCP, opened by either side.

A message of a type that this program does not know is counted and skipped; a frame that no message can be
read from ends its connection. A peer is sent only what it has said that it takes.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol, cast

import picologging as logging

from eiderhub.coordination.wire import UNTOLD, Feature, WireSupport
from eiderhub.transport import frames
from eiderhub.transport.frames import FrameBroken, Message, Unknown
from eiderhub.transport.traffic import TRAFFIC
from eiderhub.transport.wire_counts import WIRE_COUNTS

MOST_UNSENT = 96 << 20  # bytes that a peer may leave unread
UNACKNOWLEDGED_MS = 1500  # a connection whose bytes are not acknowledged for so long is broken
KEEPALIVE_S, KEEPALIVE_PROBES = 1, 2
CONNECT_S = 0.5

log = logging.getLogger("wire")


class Handler(Protocol):
    """Who is told of a connection's messages."""

    def on_message(self, connection: Connection, message: Message) -> None: ...

    def on_closed(self, connection: Connection) -> None: ...


class Connection(asyncio.Protocol):
    """One connection, opened by either side."""

    def __init__(self, handler: Handler, on_open: Callable[[Connection], None] = lambda _: None) -> None:
        self._handler = handler
        self._on_open = on_open
        self._buffer = bytearray()
        self.closed = False
        self.peer_zone = ""  # empty: not known
        self.support: WireSupport = UNTOLD  # what the peer has said that it takes
        self._told_unknown = False  # an unknown message has been logged
        self.heard_at = asyncio.get_running_loop().time()  # when anything came last

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
        # A machine that lost its power says nothing, and where we send nothing either we would never know.
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        self._on_open(self)

    def send(self, message: Message) -> None:
        if self.closed:
            return
        if not frames.takes(self.support, message):
            WIRE_COUNTS.withheld(type(message).__name__)
            return
        crosses = TRAFFIC.crosses(self.peer_zone)
        frame = frames.encoded(message, deflate=crosses and self.support.takes(Feature.DEFLATE))
        if crosses:
            TRAFFIC.sent(type(message).__name__, len(frame))
        self._transport.write(frame)
        if self._transport.get_write_buffer_size() > MOST_UNSENT:
            self.close()

    def data_received(self, data: bytes) -> None:
        self.heard_at = asyncio.get_running_loop().time()
        self.feed(data)

    def feed(self, data: bytes) -> None:
        """Take what has come, and tell the handler of each message that is whole."""
        buffer = self._buffer
        buffer += data
        start = 0
        try:
            while not self.closed and (end := frames.frame_end(buffer, start)) is not None:
                message = frames.decoded(buffer, start, end)
                start = end
                if isinstance(message, Unknown):
                    self._skip(message)
                else:
                    self._handler.on_message(self, message)
        except FrameBroken as error:
            WIRE_COUNTS.broken(error.fault)
            log.warning("%s has sent a frame that cannot be read: %s", self._peer(), error)
            self.close()
            return
        del buffer[:start]

    def _skip(self, message: Unknown) -> None:
        """A newer program's message: it is not for us, and what comes behind it is."""
        WIRE_COUNTS.skipped(message.kind)
        if not self._told_unknown:
            self._told_unknown = True
            log.warning("%s sends messages that are not known here: %.40s", self._peer(), message.kind)

    def _peer(self) -> str:
        """Where the other side is, for the log."""
        name = self._transport.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if name else "a peer"

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed:
            self.closed = True
            self._handler.on_closed(self)

    def close(self) -> None:
        """End it; the handler is told as if the peer had gone."""
        if not self.closed:
            self.closed = True
            self._transport.abort()
            self._handler.on_closed(self)


async def connect(handler: Handler, host: str, port: int) -> Connection | None:
    """A connection, or None where none comes up in time."""
    try:
        async with asyncio.timeout(CONNECT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: Connection(handler), host, port
            )
    except (OSError, TimeoutError):
        return None
    return connection
