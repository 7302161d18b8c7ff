"""What many open streams cost a server: a thread for each by cheroot, or all on one event loop.

    python -m eiderhub.scale.frontends cheroot|loop --streams 400

Both serve the same events over loopback; the process that serves tells its processor time and memory, the one
that reads tells how late events come.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import Any

import uvloop

from eiderhub.dataplane.events import Event, EventParser
from eiderhub.dataplane.frontend import ClientExchange, FrontendConnection
from eiderhub.http1 import ServerConnection

EVENTS, PAUSE_S = 30, 0.1
PORT = 18377
HOST = "127.0.0.1"


def event(number: int) -> bytes:
    """An event that tells when it was made, by the machine's steady clock."""
    return f"id: {number}\ndata: {time.monotonic_ns()}\n\n".encode()


def serve_by_threads(streams: int) -> None:
    from cheroot import wsgi

    def application(environ: dict[str, Any], start_response: Any) -> Iterator[bytes]:
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        for number in range(EVENTS):
            yield event(number)
            time.sleep(PAUSE_S)

    server = wsgi.Server((HOST, PORT), application, numthreads=streams, max=streams, request_queue_size=1024)
    server.prepare()
    print("up", flush=True)
    server.serve()


class Loop:
    draining = False

    def serve(self, exchange: ClientExchange) -> None:
        exchange.begin(((b"Content-Type", b"text/event-stream"),))
        self._next(exchange, 0)

    def _next(self, exchange: ClientExchange, number: int) -> None:
        if number == EVENTS:
            exchange.finish()
            return
        exchange.event(Event(event(number), number, ""))
        asyncio.get_running_loop().call_later(PAUSE_S, self._next, exchange, number + 1)


async def serve_on_loop() -> None:
    connections: set[ServerConnection] = set()
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: FrontendConnection(Loop(), connections), HOST, PORT, backlog=1024)
    print("up", flush=True)
    await loop.create_future()


async def read_one(late_ms: list[float]) -> None:
    reader, writer = await asyncio.open_connection(HOST, PORT)
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    parser = EventParser()
    seen = 0
    while seen < EVENTS:
        data = await reader.read(65536)
        if not data:
            return
        now = time.monotonic_ns()
        start = data.find(b"id: ")
        for found in parser.feed(data[start:] if start >= 0 else b""):
            made = found.data.split("\r")[0]
            seen += 1
            if made.isdigit():
                late_ms.append((now - int(made)) / 1e6)
    writer.close()


async def read_all(streams: int) -> list[float]:
    late_ms: list[float] = []
    async with asyncio.TaskGroup() as group:
        for _ in range(streams):
            group.create_task(read_one(late_ms))
    return sorted(late_ms)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("kind", choices=("cheroot", "loop"))
    parser.add_argument("--streams", type=int, default=400)
    parser.add_argument("--serve", action="store_true", help=argparse.SUPPRESS)
    words = parser.parse_args()
    if words.serve:
        if words.kind == "cheroot":
            serve_by_threads(words.streams)
        uvloop.run(serve_on_loop())
    command = [sys.executable, "-m", "eiderhub.scale.frontends", words.kind, "--streams", str(words.streams)]
    server = subprocess.Popen([*command, "--serve"], stdout=subprocess.PIPE)
    assert server.stdout is not None
    server.stdout.readline()
    late_ms = uvloop.run(read_all(words.streams))
    server.kill()
    _, _, usage = os.wait4(server.pid, 0)
    server.returncode = 0
    figures = {
        "kind": words.kind,
        "streams": words.streams,
        "events": len(late_ms),
        "late_ms_p50": round(late_ms[len(late_ms) // 2], 2),
        "late_ms_p99": round(late_ms[int(0.99 * (len(late_ms) - 1))], 2),
        "processor_s": round(usage.ru_utime + usage.ru_stime, 2),
        "peak_mb": round(usage.ru_maxrss / 1024, 1),
    }
    print(json.dumps(figures))


if __name__ == "__main__":
    resource.setrlimit(
        resource.RLIMIT_NOFILE, (4096, max(4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    )
    main()
