"""Connections between processes run over wires, which can be cut, slow, reset, or break off answers."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
from collections import deque
from collections.abc import Callable
from typing import cast

from eiderhub.address import Address
from eiderhub.emulator.doors import BACKLOG, unlisten
from eiderhub.emulator.processes import claim
from eiderhub.http1 import ZERO_LINGER

SLOW_S = 0.4  # one way, on a slow wire
MOST_HELD = 1 << 20  # bytes on their way on one connection; then its sender waits


class How(enum.Enum):
    """What a wire does to what is sent."""

    OPEN = "open"
    CUT = "cut"  # nothing arrives, either way, until it is mended; new connections get no answer
    CUT_UP = "cut-up"  # nothing arrives from the caller
    CUT_DOWN = "cut-down"  # nothing comes back to the caller
    SLOW = "slow"  # everything arrives late
    RESET = "reset"  # connections are reset, and new ones refused
    BROKEN = "broken-off"  # each answer breaks off in its midst


UP_HELD = (How.CUT, How.CUT_UP)
DOWN_HELD = (How.CUT, How.CUT_DOWN)


class _End(asyncio.Protocol):
    """One side of a connection over a wire."""

    def __init__(self, link: _Link, up: bool) -> None:
        self.link = link
        self.up = up  # whether what is read here goes up, to the target
        self.transport: asyncio.Transport | None = None
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not `isinstance`: uvloop's transports only have the shape of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.link.joined(self)

    def data_received(self, data: bytes) -> None:
        self.link.came(self, data)

    def eof_received(self) -> bool:
        self.link.ended(self, reset=False)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.link.ended(self, reset=exc is not None)

    def pause_writing(self) -> None:
        other = self.link.other(self).transport
        if other is not None:
            with contextlib.suppress(RuntimeError):
                other.pause_reading()

    def resume_writing(self) -> None:
        other = self.link.other(self).transport
        if other is not None:
            with contextlib.suppress(RuntimeError):
                other.resume_reading()


class _Link:
    """One connection over a wire. What can't go on now is held, in order, as TCP would send it again."""

    def __init__(self, wire: Wire) -> None:
        self.wire = wire
        self.near = _End(self, up=True)
        self.far = _End(self, up=False)
        self._held: dict[bool, list[bytes | None]] = {True: [], False: []}  # None: the end of the sending
        self._late: dict[bool, deque[tuple[float, bytes | None]]] = {True: deque(), False: deque()}
        self._connecting: asyncio.Task[None] | None = None
        self.over = False

    def other(self, end: _End) -> _End:
        return self.far if end is self.near else self.near

    def joined(self, end: _End) -> None:
        if end is self.near:
            self.wire.links.add(self)
        self.flow()

    def came(self, end: _End, data: bytes) -> None:
        self.wire.seen(self, end.up, data)
        self._hold(end, data)

    def ended(self, end: _End, reset: bool) -> None:
        other = self.other(end)
        gone = end.lost and (other.lost or other.transport is None)
        if gone or (reset and not self.wire.held(end.up)):
            self.abort()
        else:
            self._hold(end, None)

    def _hold(self, end: _End, data: bytes | None) -> None:
        if self.over:
            return
        late = self._late[end.up]
        if self.wire.how is How.SLOW or late:  # what comes after late pieces waits behind them
            loop = asyncio.get_running_loop()
            late.append((loop.time() + (SLOW_S if self.wire.how is How.SLOW else 0.0), data))
            if len(late) == 1:
                loop.call_at(late[0][0], self._arrive, end.up)
        elif self.wire.how is How.BROKEN and not end.up and data:
            self._write(self.near, data[: len(data) // 2])
            asyncio.get_running_loop().call_soon(self.abort)
        else:
            self._pass(end.up, data)

    def _arrive(self, up: bool) -> None:
        late = self._late[up]
        loop = asyncio.get_running_loop()
        while late and late[0][0] <= loop.time() + 0.001:
            self._pass(up, late.popleft()[1])
        if late and not self.over:
            loop.call_at(late[0][0], self._arrive, up)

    def _pass(self, up: bool, data: bytes | None) -> None:
        held = self._held[up]
        held.append(data)
        self.flow()
        if sum(len(each) for each in held if each is not None) > MOST_HELD:
            sender = self.near if up else self.far
            if sender.transport is not None:
                with contextlib.suppress(RuntimeError):
                    sender.transport.pause_reading()

    def flow(self) -> None:
        """Send on what may go."""
        if self.over:
            return
        if self.far.transport is None:
            if self._connecting is None and not self.wire.held(True):
                self._connecting = asyncio.get_running_loop().create_task(self._connect())
            return
        for up, target in ((True, self.far), (False, self.near)):
            if not self.wire.held(up):
                held, self._held[up] = self._held[up], []
                for data in held:
                    self._write(target, data)
                sender = (self.near if up else self.far).transport
                if sender is not None and held:
                    with contextlib.suppress(RuntimeError):
                        sender.resume_reading()

    def _write(self, end: _End, data: bytes | None) -> None:
        if end.transport is None or end.lost:
            return
        if data is None:
            end.transport.close()
        else:
            end.transport.write(data)

    async def _connect(self) -> None:
        target = self.wire.target()
        try:
            await asyncio.get_running_loop().create_connection(lambda: self.far, target.host, target.port)
        except OSError:
            self.abort()

    def abort(self) -> None:
        """Reset both sides."""
        self.over = True
        self.wire.links.discard(self)
        if self._connecting is not None and not self._connecting.done():
            self._connecting.cancel()
        for end in (self.near, self.far):
            if end.transport is not None and not end.lost:
                sock = end.transport.get_extra_info("socket")
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
                end.transport.abort()


class Wire:
    """A listening address whose connections go on to a target, as `how` says."""

    def __init__(
        self,
        host: str,
        target: Callable[[], Address],
        watch: Callable[[object, bool, bytes], None] | None = None,
    ) -> None:
        """`watch` sees what goes over it: on which connection, whether up, and the bytes."""
        self._claim = claim(host)
        self.address = Address(host, int(self._claim.getsockname()[1]))
        self.target = target
        self.how = How.OPEN
        self.links: set[_Link] = set()
        self._watch = watch
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        if self._server is None:
            self._server = await asyncio.get_running_loop().create_server(
                lambda: _Link(self).near,
                self.address.host,
                self.address.port,
                backlog=BACKLOG,
                reuse_address=True,
            )

    async def turn(self, how: How) -> None:
        """From now on it does this; mended, it delivers what was held."""
        self.how = how
        if how is How.RESET:
            self.reset()
            self._shut()
        else:
            await self.open()
        for link in list(self.links):
            link.flow()

    def reset(self) -> None:
        """Reset what is open; new connections are as before."""
        for link in list(self.links):
            link.abort()

    def held(self, up: bool) -> bool:
        return self.how in (UP_HELD if up else DOWN_HELD)

    def seen(self, link: _Link, up: bool, data: bytes) -> None:
        if self._watch is not None:
            self._watch(link, up, data)

    def _shut(self) -> None:
        if self._server is not None:
            for listener in self._server.sockets:
                unlisten(listener.fileno())
            self._server.close()
            self._server = None

    def close(self) -> None:
        self._shut()
        self.reset()
        self._claim.close()
