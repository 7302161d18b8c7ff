"""Measures the cost of many open streams: cheroot with one thread for each, or all on one event loop.

    python -m eiderhub.scale.frontends cheroot|loop --streams 400

Both serve the same events over loopback. The result has the processor time and memory of the serving process,
and the lateness of events in the reading process.
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

EVENT_COUNT, EVENT_INTERVAL_S = 30, 0.1
PORT = 18377
HOST = "127.0.0.1"


def render_event(number: int) -> bytes:
    """Returns an event whose data is its creation time on the monotonic clock."""
    return f"id: {number}\ndata: {time.monotonic_ns()}\n\n".encode()


def serve_with_threads(streams: int) -> None:
    """Serves with cheroot and one thread for each stream, until killed."""
    from cheroot import wsgi

    def application(environ: dict[str, Any], start_response: Any) -> Iterator[bytes]:
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        for number in range(EVENT_COUNT):
            yield render_event(number)
            time.sleep(EVENT_INTERVAL_S)

    server = wsgi.Server((HOST, PORT), application, numthreads=streams, max=streams, request_queue_size=1024)
    server.prepare()
    print("up", flush=True)
    server.serve()


class EventService:
    """Sends the events of each stream from the event loop."""

    draining = False

    def serve(self, exchange: ClientExchange) -> None:
        """Starts the event stream of a request."""
        exchange.begin(((b"Content-Type", b"text/event-stream"),))
        self._send_event(exchange, 0)

    def _send_event(self, exchange: ClientExchange, number: int) -> None:
        if number == EVENT_COUNT:
            exchange.finish()
            return
        exchange.event(Event(render_event(number), number, ""))
        asyncio.get_running_loop().call_later(EVENT_INTERVAL_S, self._send_event, exchange, number + 1)


async def serve_on_loop() -> None:
    """Serves all streams on the running loop, until killed."""
    connections: set[ServerConnection] = set()
    loop = asyncio.get_running_loop()
    await loop.create_server(
        lambda: FrontendConnection(EventService(), connections), HOST, PORT, backlog=1024
    )
    print("up", flush=True)
    await loop.create_future()


async def read_stream(late_ms: list[float]) -> None:
    """Reads one stream to its end and appends the lateness of its events."""
    reader, writer = await asyncio.open_connection(HOST, PORT)
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    parser = EventParser()
    event_count = 0
    while event_count < EVENT_COUNT:
        data = await reader.read(65536)
        if not data:
            return
        now_ns = time.monotonic_ns()
        start = data.find(b"id: ")
        for event in parser.feed(data[start:] if start >= 0 else b""):
            created_ns = event.data.split("\r")[0]
            event_count += 1
            if created_ns.isdigit():
                late_ms.append((now_ns - int(created_ns)) / 1e6)
    writer.close()


async def read_streams(streams: int) -> list[float]:
    """Reads all streams at the same time; returns the lateness of their events in ms, ascending."""
    late_ms: list[float] = []
    async with asyncio.TaskGroup() as group:
        for _ in range(streams):
            group.create_task(read_stream(late_ms))
    return sorted(late_ms)


def main() -> None:
    """Starts the server process, reads its streams and prints the figures as JSON."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("kind", choices=("cheroot", "loop"))
    parser.add_argument("--streams", type=int, default=400)
    parser.add_argument("--serve", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.serve:
        if options.kind == "cheroot":
            serve_with_threads(options.streams)
        uvloop.run(serve_on_loop())
    command = [
        sys.executable,
        "-m",
        "eiderhub.scale.frontends",
        options.kind,
        "--streams",
        str(options.streams),
    ]
    server = subprocess.Popen([*command, "--serve"], stdout=subprocess.PIPE)
    assert server.stdout is not None
    server.stdout.readline()
    late_ms = uvloop.run(read_streams(options.streams))
    server.kill()
    _, _, usage = os.wait4(server.pid, 0)
    server.returncode = 0
    figures = {
        "kind": options.kind,
        "streams": options.streams,
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
