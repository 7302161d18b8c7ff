"""TCP connections that carry framed messages, opened by either side.

A message of an unknown type is counted and skipped, since a newer peer may send it; a frame that cannot be
decoded closes its connection. A peer is sent only the messages that it has declared support for.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol, cast

import picologging as logging

from eiderhub.coordination.wire import DEFAULT_SUPPORT, Feature, WireSupport
from eiderhub.transport import frames
from eiderhub.transport.frames import FrameError, Message, UnknownMessage
from eiderhub.transport.traffic import TRAFFIC
from eiderhub.transport.wire_counts import WIRE_COUNTS

MAX_UNSENT_BYTES = 96 << 20  # a connection whose peer leaves more than this unread is closed
TCP_USER_TIMEOUT_MS = 1500  # the kernel drops a connection whose data is unacknowledged for this long
KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES = 1, 2
CONNECT_TIMEOUT_S = 0.5

log = logging.getLogger("wire")


class ConnectionHandler(Protocol):
    """Receives the messages of a connection, and its end."""

    def on_message(self, connection: Connection, message: Message) -> None: ...

    def on_closed(self, connection: Connection) -> None: ...


class Connection(asyncio.Protocol):
    """One connection; incoming and outgoing connections behave alike."""

    def __init__(
        self, handler: ConnectionHandler, on_open: Callable[[Connection], None] = lambda _: None
    ) -> None:
        self._handler = handler
        self._on_open = on_open
        self._buffer = bytearray()
        self.closed = False
        self.peer_zone = ""  # empty: unknown
        self.peer_support: WireSupport = DEFAULT_SUPPORT  # declared by the peer
        self._unknown_logged = False
        self.last_received_at = asyncio.get_running_loop().time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        # A host that lost power sends no FIN; if we send no data either, only keepalive probes detect it.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        self._on_open(self)

    def send(self, message: Message) -> None:
        if self.closed:
            return
        if not frames.can_send(self.peer_support, message):
            WIRE_COUNTS.count_withheld(type(message).__name__)
            return
        cross_zone = TRAFFIC.is_cross_zone(self.peer_zone)
        frame = frames.encode_frame(
            message, deflate=cross_zone and self.peer_support.includes(Feature.DEFLATE)
        )
        if cross_zone:
            TRAFFIC.count_sent(type(message).__name__, len(frame))
        self._transport.write(frame)
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()

    def data_received(self, data: bytes) -> None:
        self.last_received_at = asyncio.get_running_loop().time()
        self.feed(data)

    def feed(self, data: bytes) -> None:
        """Buffer received bytes and pass each complete message to the handler."""
        buffer = self._buffer
        buffer += data
        start = 0
        try:
            while not self.closed and (end := frames.frame_end(buffer, start)) is not None:
                message = frames.decode_frame(buffer, start, end)
                start = end
                if isinstance(message, UnknownMessage):
                    self._skip_unknown(message)
                else:
                    self._handler.on_message(self, message)
        except FrameError as error:
            WIRE_COUNTS.count_fault(error.fault)
            log.warning("closing the connection to %s: invalid frame: %s", self._peer_name(), error)
            self.close()
            return
        del buffer[:start]

    def _skip_unknown(self, message: UnknownMessage) -> None:
        """Count a message from a newer program and continue with the messages after it; log the first one."""
        WIRE_COUNTS.count_skipped(message.kind)
        if not self._unknown_logged:
            self._unknown_logged = True
            log.warning(
                "%s sends messages of an unknown type, skipping them: %.40s", self._peer_name(), message.kind
            )

    def _peer_name(self) -> str:
        """The remote address, for the log."""
        peer = self._transport.get_extra_info("peername")
        return f"{peer[0]}:{peer[1]}" if peer else "a peer"

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed:
            self.closed = True
            self._handler.on_closed(self)

    def close(self) -> None:
        """Abort the connection; the handler is notified as if the peer had closed it."""
        if not self.closed:
            self.closed = True
            self._transport.abort()
            self._handler.on_closed(self)


async def connect(handler: ConnectionHandler, host: str, port: int) -> Connection | None:
    """Open a connection; None if that fails or times out."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: Connection(handler), host, port
            )
    except (OSError, TimeoutError):
        return None
    return connection
