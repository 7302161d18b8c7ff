"""Framed messages over TCP: a length in four bytes, then msgpack of one tagged message.

Larger messages to another zone are deflated, where that makes them smaller: bytes between zones are paid for.
The highest bit of the length says so.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import zlib
from collections.abc import Callable
from typing import Protocol, cast

import msgspec

from eiderhub.batch.messages import BatchMessage
from eiderhub.control.messages import SessionMessage
from eiderhub.coordination.messages import ReplicaMessage
from eiderhub.transport.traffic import TRAFFIC

Message = ReplicaMessage | SessionMessage | BatchMessage

LENGTH = struct.Struct(">I")
MOST_MESSAGE = 64 << 20  # bytes, inflated
DEFLATED = 1 << 31  # in the length
DEFLATE_FROM = 300  # bytes
DEFLATE_LEVEL = 1
MOST_UNSENT = 96 << 20  # bytes that a peer may leave unread
UNACKNOWLEDGED_MS = 1500  # a connection whose bytes are not acknowledged for so long is broken
KEEPALIVE_S, KEEPALIVE_PROBES = 1, 2
CONNECT_S = 0.5

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


def _deflated(data: bytes) -> tuple[int, bytes]:
    """The flag for the length, and what to send."""
    if len(data) >= DEFLATE_FROM:
        smaller = zlib.compress(data, DEFLATE_LEVEL)
        if len(smaller) < len(data):
            return DEFLATED, smaller
    return 0, data


def _inflated(data: bytes) -> bytes:
    """Raises zlib.error: it is no deflated message, or longer than one may be."""
    stream = zlib.decompressobj()
    inflated = stream.decompress(data, MOST_MESSAGE)
    if not stream.eof:
        raise zlib.error("cut short, or too long")
    return inflated


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
        data = _encode(message)
        flag = 0
        if TRAFFIC.crosses(self.peer_zone):
            flag, data = _deflated(data)
            TRAFFIC.sent(type(message).__name__, LENGTH.size + len(data))
        self._transport.write(LENGTH.pack(flag | len(data)) + data)
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
        while len(buffer) - start >= LENGTH.size and not self.closed:
            (told,) = LENGTH.unpack_from(buffer, start)
            size = told & ~DEFLATED
            if size > MOST_MESSAGE:
                self.close()
                return
            end = start + LENGTH.size + size
            if len(buffer) < end:
                break
            try:
                body = memoryview(buffer)[start + LENGTH.size : end].tobytes()
                message = _decode(_inflated(body) if told & DEFLATED else body)
            except (msgspec.DecodeError, zlib.error):
                self.close()
                return
            start = end
            self._handler.on_message(self, message)
        del buffer[:start]

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
