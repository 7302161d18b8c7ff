"""What stands around a sidecar under measurement, in other processes: endpoints, discovery, a bare relay.

    python -m eiderhub.scale.backends endpoints FILE SETS COUNT SERVICE_US
    python -m eiderhub.scale.backends relay FILE HOST:PORT...

Each listens on loopback, writes `Places` to FILE once it does, and ends on SIGTERM or with who started it.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import cast
from urllib.parse import parse_qs, urlsplit

import msgspec
import numpy as np
import uvloop

from eiderhub.address import Address, parse_host_port
from eiderhub.http1 import Exchange, ServerConnection
from eiderhub.scale.alarms import Alarms

HOST = "127.0.0.1"
BACKLOG = 1024
ANSWER = b"y" * 200
GENERATION = 1  # of discovery's list, which never changes
MOST_WAIT_MS = 60_000
LOOK_S = 0.5  # how often a process looks whether who started it still lives


class Places(msgspec.Struct, frozen=True):
    """Where a process listens."""

    sets: list[list[Address]]  # of endpoints, alike; a relay has one set
    figures: Address | None = None  # answers `Counts`
    discovery: Address | None = None  # lists the first set


class Counts(msgspec.Struct, frozen=True):
    """Of endpoints, since they began, by set."""

    accepted: list[int]  # connections
    answered: list[int]  # requests
    late_p99_ms: float  # of the timers behind answers


def instance(number: int, address: Address) -> dict[str, object]:
    """An endpoint as discovery lists it; up for long."""
    return {
        "instanceId": f"e{number}",
        "hostPort": str(address),
        "zone": "a",
        "machineType": "m",
        "cell": 0,
        "lifecycle": "ready",
        "weight": 1.0,
        "startedAtMs": 0,
    }


def listing(addresses: Sequence[Address]) -> dict[str, object]:
    """A whole list in discovery's form."""
    entries = [instance(number, address) for number, address in enumerate(addresses)]
    return {"generation": GENERATION, "reset": True, "instances": entries}


class _Endpoints:
    def __init__(self, sets: int, service_us: int) -> None:
        self._service_ns = service_us * 1000
        self._alarms = Alarms()
        self._accepted = [0] * sets
        self._answered = [0] * sets
        self._connections: set[ServerConnection] = set()
        self._whole = b""

    async def open(self, count: int) -> Places:
        """`count` endpoints in each set."""
        sets = []
        for number in range(len(self._accepted)):
            serve = partial(self._serve, number)
            opened = partial(self._opened, number)
            sets.append([await self._listen(serve, opened) for _ in range(count)])
        self._whole = msgspec.json.encode(listing(sets[0]))
        return Places(sets, await self._listen(self._figures), await self._listen(self._list))

    async def _listen(
        self,
        serve: Callable[[Exchange], None],
        opened: Callable[[ServerConnection], None] = lambda _: None,
    ) -> Address:
        def connection() -> ServerConnection:
            return ServerConnection(serve, lambda: 0, self._connections, opened)

        loop = asyncio.get_running_loop()
        server = await loop.create_server(connection, HOST, 0, backlog=BACKLOG)
        return Address(HOST, server.sockets[0].getsockname()[1])

    def _opened(self, number: int, _: ServerConnection) -> None:
        self._accepted[number] += 1

    def _serve(self, number: int, exchange: Exchange) -> None:
        if self._service_ns:
            self._alarms.at(time.monotonic_ns() + self._service_ns, self._answer, number, exchange)
        else:
            self._answer(number, exchange)

    def _answer(self, number: int, exchange: Exchange) -> None:
        self._answered[number] += not exchange.finished
        exchange.respond(200, ANSWER)

    def _figures(self, exchange: Exchange) -> None:
        late = self._alarms.late_ns
        late_ms = round(float(np.percentile(late, 99)) / 1e6, 3) if late else 0.0
        self._alarms.late_ns = []
        exchange.respond(200, msgspec.json.encode(Counts(self._accepted, self._answered, late_ms)))

    def _list(self, exchange: Exchange) -> None:
        query = parse_qs(urlsplit(exchange.url.decode("latin-1")).query)
        if "after" not in query:
            exchange.respond(200, self._whole)
            return
        wait_ms = min(MOST_WAIT_MS, int(query.get("wait_ms", ["0"])[0]))
        nothing = msgspec.json.encode({"generation": GENERATION, "reset": False, "instances": []})
        asyncio.get_running_loop().call_later(wait_ms / 1000, exchange.respond, 200, nothing)


class _Half(asyncio.Protocol):
    """One side of a relayed connection; bytes that come before the other is up wait for it."""

    def __init__(self, other: _Half | None = None, to: Address | None = None) -> None:
        self._other = other
        self._to = to
        self._early: list[bytes] = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self._to is not None:
            self._other = far = _Half(self)
            self._task = asyncio.get_running_loop().create_task(self._connect(far, self._to))
        elif self._other is not None:
            self._other.flush(self.transport)

    async def _connect(self, far: _Half, to: Address) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: far, to.host, to.port)
        except OSError:
            if self.transport is not None:
                self.transport.abort()

    def flush(self, to: asyncio.Transport) -> None:
        for data in self._early:
            to.write(data)
        self._early.clear()
        if self.transport is None or self.transport.is_closing():
            to.close()

    def data_received(self, data: bytes) -> None:
        if self._other is not None and self._other.transport is not None:
            self._other.transport.write(data)
        else:
            self._early.append(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._other is not None and self._other.transport is not None:
            self._other.transport.close()


async def _relay(targets: list[Address]) -> Places:
    loop = asyncio.get_running_loop()
    addresses = []
    for target in targets:
        server = await loop.create_server(partial(_Half, None, target), HOST, 0, backlog=BACKLOG)
        addresses.append(Address(HOST, server.sockets[0].getsockname()[1]))
    return Places([addresses])


async def _serve(arguments: list[str]) -> None:
    parent = os.getppid()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    what, file, *rest = arguments
    if what == "endpoints":
        sets, count, service_us = (int(text) for text in rest)
        places = await _Endpoints(sets, service_us).open(count)
    else:
        places = await _relay([parse_host_port(text) for text in rest])
    beside = Path(file + ".part")
    beside.write_bytes(msgspec.json.encode(places))
    beside.replace(file)
    while not stop.is_set() and os.getppid() == parent:
        try:
            async with asyncio.timeout(LOOK_S):
                await stop.wait()
        except TimeoutError:
            pass


def main() -> int:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(sys.argv[1:]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
