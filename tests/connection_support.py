"""A connection whose bytes are kept, with a handler that keeps what came."""

from __future__ import annotations

import asyncio

from eiderhub.coordination.wire import OWN_SUPPORT, WireSupport
from eiderhub.transport.frames import Message
from eiderhub.transport.framing import Connection


class Collected:
    """A handler that keeps what came."""

    def __init__(self) -> None:
        self.messages: list[Message] = []
        self.closed = False

    def on_message(self, connection: Connection, message: Message) -> None:
        self.messages.append(message)

    def on_closed(self, connection: Connection) -> None:
        self.closed = True


class Wire(asyncio.Transport):
    """Keeps what was written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += bytes(data)

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        """Nothing: there is no socket."""


async def connection_to(zone: str, support: WireSupport = OWN_SUPPORT) -> tuple[Connection, Wire, Collected]:
    handler = Collected()
    connection = Connection(handler)
    wire = Wire()
    connection._transport = wire
    connection.peer_zone = zone
    connection.support = support
    return connection, wire, handler
