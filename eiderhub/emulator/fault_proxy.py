"""TCP proxies between processes that inject faults: partitions, delays, resets and truncated responses."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
from collections import deque
from collections.abc import Callable
from typing import cast

from eiderhub.address import Address
from eiderhub.emulator.listeners import BACKLOG_CONNECTIONS, shut_down_listener
from eiderhub.emulator.processes import reserve_port
from eiderhub.http1 import ZERO_LINGER

SLOW_DELAY_S = 0.4  # one way
MAX_HELD_BYTES = 1 << 20  # per connection and direction; above it, reading from the sender pauses


class ProxyMode(enum.Enum):
    """The fault that a proxy applies to its connections."""

    OPEN = "open"  # no fault
    CUT = "cut"  # data is held in both directions until the mode changes; new connections get no response
    CUT_UP = "cut-up"  # data from the caller is held
    CUT_DOWN = "cut-down"  # data to the caller is held
    SLOW = "slow"  # data is delayed by SLOW_DELAY_S in both directions
    RESET = "reset"  # connections are reset and new ones refused
    TRUNCATED = "broken-off"  # half of the next data to the caller is sent, then the connection is reset


MODES_HOLDING_UPSTREAM = (ProxyMode.CUT, ProxyMode.CUT_UP)
MODES_HOLDING_DOWNSTREAM = (ProxyMode.CUT, ProxyMode.CUT_DOWN)


class _Side(asyncio.Protocol):
    """The transport to the caller or to the target of one proxied connection."""

    def __init__(self, connection: _ProxyConnection, reads_upstream: bool) -> None:
        self.connection = connection
        self.reads_upstream = reads_upstream  # whether data read here goes to the target
        self.transport: asyncio.Transport | None = None
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not `isinstance`: uvloop's transports only have the shape of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.connection.handle_connected(self)

    def data_received(self, data: bytes) -> None:
        self.connection.handle_data(self, data)

    def eof_received(self) -> bool:
        self.connection.handle_end(self, reset=False)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.connection.handle_end(self, reset=exc is not None)

    def pause_writing(self) -> None:
        peer_transport = self.connection.other_side(self).transport
        if peer_transport is not None:
            with contextlib.suppress(RuntimeError):
                peer_transport.pause_reading()

    def resume_writing(self) -> None:
        peer_transport = self.connection.other_side(self).transport
        if peer_transport is not None:
            with contextlib.suppress(RuntimeError):
                peer_transport.resume_reading()


class _ProxyConnection:
    """One proxied connection. Data that cannot be forwarded is held in order, as TCP would retransmit it."""

    def __init__(self, proxy: FaultProxy) -> None:
        self.proxy = proxy
        self.caller_side = _Side(self, reads_upstream=True)
        self.target_side = _Side(self, reads_upstream=False)
        # by direction; None: end of the stream
        self._held: dict[bool, list[bytes | None]] = {
            True: [],
            False: [],
        }
        self._delayed: dict[bool, deque[tuple[float, bytes | None]]] = {True: deque(), False: deque()}
        self._connect_task: asyncio.Task[None] | None = None
        self.closed = False

    def other_side(self, side: _Side) -> _Side:
        return self.target_side if side is self.caller_side else self.caller_side

    def handle_connected(self, side: _Side) -> None:
        if side is self.caller_side:
            self.proxy.connections.add(self)
        self.send_held()

    def handle_data(self, side: _Side, data: bytes) -> None:
        self.proxy.observe(self, side.reads_upstream, data)
        self._forward(side, data)

    def handle_end(self, side: _Side, reset: bool) -> None:
        peer = self.other_side(side)
        both_lost = side.lost and (peer.lost or peer.transport is None)
        if both_lost or (reset and not self.proxy.is_held(side.reads_upstream)):
            self.abort()
        else:
            self._forward(side, None)

    def _forward(self, side: _Side, data: bytes | None) -> None:
        if self.closed:
            return
        delayed = self._delayed[side.reads_upstream]
        if self.proxy.mode is ProxyMode.SLOW or delayed:  # data after delayed data must wait for it
            loop = asyncio.get_running_loop()
            delayed.append((loop.time() + (SLOW_DELAY_S if self.proxy.mode is ProxyMode.SLOW else 0.0), data))
            if len(delayed) == 1:
                loop.call_at(delayed[0][0], self._forward_delayed, side.reads_upstream)
        elif self.proxy.mode is ProxyMode.TRUNCATED and not side.reads_upstream and data:
            self._write(self.caller_side, data[: len(data) // 2])
            asyncio.get_running_loop().call_soon(self.abort)
        else:
            self._enqueue(side.reads_upstream, data)

    def _forward_delayed(self, upstream: bool) -> None:
        delayed = self._delayed[upstream]
        loop = asyncio.get_running_loop()
        while delayed and delayed[0][0] <= loop.time() + 0.001:
            self._enqueue(upstream, delayed.popleft()[1])
        if delayed and not self.closed:
            loop.call_at(delayed[0][0], self._forward_delayed, upstream)

    def _enqueue(self, upstream: bool, data: bytes | None) -> None:
        held = self._held[upstream]
        held.append(data)
        self.send_held()
        if sum(len(chunk) for chunk in held if chunk is not None) > MAX_HELD_BYTES:
            sender = self.caller_side if upstream else self.target_side
            if sender.transport is not None:
                with contextlib.suppress(RuntimeError):
                    sender.transport.pause_reading()

    def send_held(self) -> None:
        """Forward the held data in each direction that is not blocked; connect to the target first."""
        if self.closed:
            return
        if self.target_side.transport is None:
            if self._connect_task is None and not self.proxy.is_held(True):
                self._connect_task = asyncio.get_running_loop().create_task(self._connect())
            return
        for upstream, target in ((True, self.target_side), (False, self.caller_side)):
            if not self.proxy.is_held(upstream):
                held, self._held[upstream] = self._held[upstream], []
                for data in held:
                    self._write(target, data)
                sender = (self.caller_side if upstream else self.target_side).transport
                if sender is not None and held:
                    with contextlib.suppress(RuntimeError):
                        sender.resume_reading()

    def _write(self, side: _Side, data: bytes | None) -> None:
        if side.transport is None or side.lost:
            return
        if data is None:
            side.transport.close()
        else:
            side.transport.write(data)

    async def _connect(self) -> None:
        target = self.proxy.target()
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: self.target_side, target.host, target.port
            )
        except OSError:
            self.abort()

    def abort(self) -> None:
        """Reset the connections to the caller and to the target."""
        self.closed = True
        self.proxy.connections.discard(self)
        if self._connect_task is not None and not self._connect_task.done():
            self._connect_task.cancel()
        for side in (self.caller_side, self.target_side):
            if side.transport is not None and not side.lost:
                sock = side.transport.get_extra_info("socket")
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
                side.transport.abort()


class FaultProxy:
    """A listening address that forwards its connections to a target, with the fault given by `mode`."""

    def __init__(
        self,
        host: str,
        target: Callable[[], Address],
        observer: Callable[[object, bool, bytes], None] | None = None,
    ) -> None:
        """`observer` is called with each piece of data: connection, whether it goes to the target, bytes."""
        self._reserved_port = reserve_port(host)
        self.address = Address(host, int(self._reserved_port.getsockname()[1]))
        self.target = target
        self.mode = ProxyMode.OPEN
        self.connections: set[_ProxyConnection] = set()
        self._observer = observer
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Start to listen, if the proxy does not listen already."""
        if self._server is None:
            self._server = await asyncio.get_running_loop().create_server(
                lambda: _ProxyConnection(self).caller_side,
                self.address.host,
                self.address.port,
                backlog=BACKLOG_CONNECTIONS,
                reuse_address=True,
            )

    async def set_mode(self, mode: ProxyMode) -> None:
        """Apply a mode from now on, and forward the held data that it no longer blocks."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            self.reset_connections()
            self._stop_listening()
        else:
            await self.open()
        for connection in list(self.connections):
            connection.send_held()

    def reset_connections(self) -> None:
        """Reset all open connections; new connections are not affected."""
        for connection in list(self.connections):
            connection.abort()

    def is_held(self, upstream: bool) -> bool:
        """Whether the current mode holds data of this direction."""
        return self.mode in (MODES_HOLDING_UPSTREAM if upstream else MODES_HOLDING_DOWNSTREAM)

    def observe(self, connection: _ProxyConnection, upstream: bool, data: bytes) -> None:
        if self._observer is not None:
            self._observer(connection, upstream, data)

    def _stop_listening(self) -> None:
        if self._server is not None:
            for listener in self._server.sockets:
                shut_down_listener(listener.fileno())
            self._server.close()
            self._server = None

    def close(self) -> None:
        """Stop listening, reset all connections and release the port."""
        self._stop_listening()
        self.reset_connections()
        self._reserved_port.close()
