"""Stand-ins for a sidecar's surroundings, each in a process of its own: endpoints, discovery, a bare relay.

    python -m eiderhub.scale.backends endpoints FILE SETS COUNT SERVICE_US
    python -m eiderhub.scale.backends relay FILE HOST:PORT...

A process listens on loopback, writes its addresses as JSON to FILE once it listens, and ends on SIGTERM or
after its parent process has ended.
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
from eiderhub.scale.precise_timers import PreciseTimers

HOST = "127.0.0.1"
BACKLOG = 1024
RESPONSE_BODY = b"y" * 200
GENERATION = 1  # of the discovery list, which never changes
MAX_WAIT_MS = 60_000
PARENT_CHECK_INTERVAL_S = 0.5


class ListenAddresses(msgspec.Struct, frozen=True):
    """Addresses on which a process listens."""

    sets: list[list[Address]]  # equal sets of endpoints; a relay has one set
    figures: Address | None = None  # serves `EndpointCounts`
    discovery: Address | None = None  # serves a list of the first set


class EndpointCounts(msgspec.Struct, frozen=True):
    """Totals of the endpoints since their start, by set."""

    accepted: list[int]  # connections
    answered: list[int]  # requests
    late_p99_ms: float  # of the timers that delay responses


def instance_entry(number: int, address: Address) -> dict[str, object]:
    """An endpoint in the form of a discovery list; its start time is long past."""
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


def full_list(addresses: Sequence[Address]) -> dict[str, object]:
    """A full list in the form of a discovery response."""
    entries = [instance_entry(number, address) for number, address in enumerate(addresses)]
    return {"generation": GENERATION, "reset": True, "instances": entries}


class _Endpoints:
    def __init__(self, set_count: int, service_us: int) -> None:
        self._service_ns = service_us * 1000
        self._timers = PreciseTimers()
        self._accepted = [0] * set_count
        self._answered = [0] * set_count
        self._connections: set[ServerConnection] = set()
        self._full_list = b""

    async def start(self, count: int) -> ListenAddresses:
        """Starts `count` endpoints in each set, the counts service and the discovery service."""
        sets = []
        for number in range(len(self._accepted)):
            handler = partial(self._serve_request, number)
            on_connection = partial(self._count_connection, number)
            sets.append([await self._listen(handler, on_connection) for _ in range(count)])
        self._full_list = msgspec.json.encode(full_list(sets[0]))
        return ListenAddresses(
            sets, await self._listen(self._serve_counts), await self._listen(self._serve_list)
        )

    async def _listen(
        self,
        handler: Callable[[Exchange], None],
        on_connection: Callable[[ServerConnection], None] = lambda _: None,
    ) -> Address:
        def make_connection() -> ServerConnection:
            return ServerConnection(handler, lambda: 0, self._connections, on_connection)

        loop = asyncio.get_running_loop()
        server = await loop.create_server(make_connection, HOST, 0, backlog=BACKLOG)
        return Address(HOST, server.sockets[0].getsockname()[1])

    def _count_connection(self, set_number: int, _: ServerConnection) -> None:
        self._accepted[set_number] += 1

    def _serve_request(self, set_number: int, exchange: Exchange) -> None:
        if self._service_ns:
            self._timers.call_at(time.monotonic_ns() + self._service_ns, self._respond, set_number, exchange)
        else:
            self._respond(set_number, exchange)

    def _respond(self, set_number: int, exchange: Exchange) -> None:
        self._answered[set_number] += not exchange.finished
        exchange.respond(200, RESPONSE_BODY)

    def _serve_counts(self, exchange: Exchange) -> None:
        delays_ns = self._timers.lateness_ns
        late_p99_ms = round(float(np.percentile(delays_ns, 99)) / 1e6, 3) if delays_ns else 0.0
        self._timers.lateness_ns = []
        exchange.respond(
            200, msgspec.json.encode(EndpointCounts(self._accepted, self._answered, late_p99_ms))
        )

    def _serve_list(self, exchange: Exchange) -> None:
        query = parse_qs(urlsplit(exchange.url.decode("latin-1")).query)
        if "after" not in query:
            exchange.respond(200, self._full_list)
            return
        wait_ms = min(MAX_WAIT_MS, int(query.get("wait_ms", ["0"])[0]))
        empty_delta = msgspec.json.encode({"generation": GENERATION, "reset": False, "instances": []})
        asyncio.get_running_loop().call_later(wait_ms / 1000, exchange.respond, 200, empty_delta)


class _RelaySide(asyncio.Protocol):
    """One side of a relayed connection; buffers received bytes until the other side is connected."""

    def __init__(self, peer: _RelaySide | None = None, target: Address | None = None) -> None:
        self._peer = peer
        self._target = target
        self._buffered: list[bytes] = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self._target is not None:
            self._peer = upstream = _RelaySide(self)
            self._task = asyncio.get_running_loop().create_task(self._connect(upstream, self._target))
        elif self._peer is not None:
            self._peer.flush(self.transport)

    async def _connect(self, upstream: _RelaySide, target: Address) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: upstream, target.host, target.port)
        except OSError:
            if self.transport is not None:
                self.transport.abort()

    def flush(self, destination: asyncio.Transport) -> None:
        """Sends the buffered bytes to the side that has just connected."""
        for data in self._buffered:
            destination.write(data)
        self._buffered.clear()
        if self.transport is None or self.transport.is_closing():
            destination.close()

    def data_received(self, data: bytes) -> None:
        if self._peer is not None and self._peer.transport is not None:
            self._peer.transport.write(data)
        else:
            self._buffered.append(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._peer is not None and self._peer.transport is not None:
            self._peer.transport.close()


async def _relay(targets: list[Address]) -> ListenAddresses:
    loop = asyncio.get_running_loop()
    addresses = []
    for target in targets:
        server = await loop.create_server(partial(_RelaySide, None, target), HOST, 0, backlog=BACKLOG)
        addresses.append(Address(HOST, server.sockets[0].getsockname()[1]))
    return ListenAddresses([addresses])


async def _run(arguments: list[str]) -> None:
    parent = os.getppid()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    role, file, *rest = arguments
    if role == "endpoints":
        set_count, endpoint_count, service_us = (int(text) for text in rest)
        addresses = await _Endpoints(set_count, service_us).start(endpoint_count)
    else:
        addresses = await _relay([parse_host_port(text) for text in rest])
    temporary = Path(file + ".part")
    temporary.write_bytes(msgspec.json.encode(addresses))
    temporary.replace(file)
    while not stop.is_set() and os.getppid() == parent:
        try:
            async with asyncio.timeout(PARENT_CHECK_INTERVAL_S):
                await stop.wait()
        except TimeoutError:
            pass


def main() -> int:
    """Runs the stand-in that the command line names, until it is stopped."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run(sys.argv[1:]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
