"""A connection without a socket, with a transport and a handler that record what they are given."""

from __future__ import annotations

import asyncio

from eiderhub.coordination.wire import OWN_SUPPORT, WireSupport
from eiderhub.transport.frame_connection import Connection
from eiderhub.transport.frames import Message


class RecordingHandler:
    """Records received messages and the end of the connection."""

    def __init__(self) -> None:
        self.messages: list[Message] = []
        self.closed = False

    def on_message(self, connection: Connection, message: Message) -> None:
        self.messages.append(message)

    def on_closed(self, connection: Connection) -> None:
        self.closed = True


class RecordingTransport(asyncio.Transport):
    """Records the bytes written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += bytes(data)

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        """Does nothing, since there is no socket."""


async def connection_to(
    zone: str, support: WireSupport = OWN_SUPPORT
) -> tuple[Connection, RecordingTransport, RecordingHandler]:
    handler = RecordingHandler()
    connection = Connection(handler)
    transport = RecordingTransport()
    connection._transport = transport
    connection.peer_zone = zone
    connection.peer_support = support
    return connection, transport, handler
