"""A sidecar in the test process on loopback sockets, with fake endpoints and discovery."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest
import uvloop

from eiderhub.address import Address
from eiderhub.settings import settings_from
from eiderhub.sidecar import discovery, upstream
from eiderhub.sidecar.config import Config
from eiderhub.sidecar.discovery import parse_endpoint_list
from eiderhub.sidecar.host import Host
from eiderhub.sidecar.process import UPSTREAM_SOCKETS_FRACTION
from eiderhub.sidecar.server import Server

TEST_TIMEOUT_S = 10.0  # a test that takes longer has failed
LONG_S = 60.0  # for a time limit that must not end anything during a test

SETUP: dict[str, Any] = {
    "Categories": [
        {
            "Name": "look",
            "AimUs": 1_000_000,
            "DeadlineUs": 3_000_000,
            "Effect": "idempotent",
            "LateShare": 0.5,
        },
        {
            "Name": "hold",
            "AimUs": 1_000_000,
            "DeadlineUs": 3_000_000,
            "Effect": "deduplicated",
            "Group": "cell",
            "DedupWindowUs": 2_000_000,
        },
        {
            "Name": "pay",
            "AimUs": 2_000_000,
            "DeadlineUs": 3_000_000,
            "Effect": "at_most_once",
            "LateShare": 0.5,
        },
    ],
    "Allowed": {
        "MaxAttempts": 4,
        "MayCancel": True,
        "RetryAfter": True,
        "ConnIdleUs": 5_000_000,
        # A pause of the process must not end a connect: the request would then reach no endpoint.
        "ConnectTimeoutUs": int(LONG_S * 1e6),
    },
    "Parties": [{"Name": "acme", "Share": 1.0, "QuotaPerS": 1000.0}],
    "Discovery": "ask",
    "MyZone": "a",
    "Tiers": ["one"],
}


def run(test: Coroutine[Any, Any, None], timeout_s: float = TEST_TIMEOUT_S) -> None:
    """Run a test on uvloop, which the sidecar uses in production."""

    async def bounded() -> None:
        async with asyncio.timeout(timeout_s):
            await test

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


def lengthen_poll_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep a pause of the test's own process from ending a poll that the test is about to answer.

    On a busy machine a process may get no processor time for over a second, which exceeds each of these
    limits: the test then writes its answer to a closed connection. A test whose subject is one of them sets a
    short value afterwards.
    """
    for name in ("RESPONSE_GRACE_S", "READ_GAP_TIMEOUT_S", "LIST_READ_TIMEOUT_S", "CONNECT_TIMEOUT_S"):
        monkeypatch.setattr(discovery, name, LONG_S)


class Message:
    """A complete HTTP message."""

    def __init__(self, start_line: bytes, headers: dict[str, str], body: bytes) -> None:
        self.start_line = start_line.decode()
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        return int(self.start_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.decode().partition(": ")
        headers[name.lower()] = value
    return Message(start_line, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


class ReceivedRequest:
    """A request received by a fake server; the test decides on the reply."""

    def __init__(self, message: Message, writer: asyncio.StreamWriter, connection: int) -> None:
        self.message = message
        self.writer = writer
        self.connection = connection  # number of the server's connection that it arrived on

    def reply(self, status: int = 200, body: bytes = b"done", *headers: str) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def reset(self) -> None:
        self.writer.transport.abort()


class FakeServer:
    """A server that queues its requests until the test replies."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[ReceivedRequest] = asyncio.Queue()
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        # Numbers of connections closed by the other side.
        self.disconnects: asyncio.Queue[int] = asyncio.Queue()

    async def start(self, port: int = 0) -> FakeServer:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = self.connections
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                self.requests.put_nowait(ReceivedRequest(await read_message(reader), writer, number))
        except (asyncio.IncompleteReadError, ConnectionError):
            self.disconnects.put_nowait(number)
        finally:
            writer.close()

    async def next_request(self) -> ReceivedRequest:
        return await self.requests.get()


def instance_entry(
    endpoint: str, address: str, lifecycle: str = "ready", started_ms: int = 0
) -> dict[str, Any]:
    return {
        "instanceId": endpoint,
        "hostPort": address,
        "zone": "a",
        "machineType": "m",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started_ms,
    }


def discovery_response(generation: int, reset: bool, *entries: dict[str, Any]) -> bytes:
    return json.dumps({"generation": generation, "reset": reset, "instances": entries}).encode()


class Client:
    """A client connection to the sidecar."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.requests_sent = 0

    def send(
        self,
        request_class: str = "pay",
        deadline_ms: int = 2500,
        body: bytes = b"x",
        request_id: str = "",
        **changes: str,
    ) -> None:
        self.requests_sent += 1
        headers = {
            "Host": "service.internal",
            "Req-Id": request_id or f"{id(self):x}{self.requests_sent:04x}",
            "Req-Owner": "acme",
            "Req-Deadline-Ms": str(deadline_ms),
        }
        if request_class == "hold":
            headers["Idempotency-Key"] = "k1"
        if request_class != "look":
            headers["Content-Length"] = str(len(body))
        headers.update({name.replace("_", "-"): value for name, value in changes.items()})
        lines = [f"{'GET' if request_class == 'look' else 'POST'} /{request_class}/a?b=1 HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items() if value]
        self.writer.write(
            "\r\n".join(lines).encode() + b"\r\n\r\n" + (body if request_class != "look" else b"")
        )

    async def read_answer(self) -> Message:
        return await read_message(self.reader)

    async def send_and_read(self, request_class: str = "pay", **values: Any) -> Message:
        self.send(request_class, **values)
        return await self.read_answer()


class Sidecar:
    """A host and a server on an ephemeral port, with fake endpoints and discovery."""

    def __init__(
        self, endpoints: int = 1, sockets: int = 1024, max_callers: int = 500, **settings: Any
    ) -> None:
        self.endpoint_count = endpoints
        self.max_callers = max_callers
        self.sockets = sockets
        self.setup = {**SETUP, **settings}

    async def __aenter__(self) -> Sidecar:
        self.discovery = await FakeServer().start()
        self.endpoints = [await FakeServer().start() for _ in range(self.endpoint_count)]
        entries = [instance_entry(f"s-{i}", fake.address) for i, fake in enumerate(self.endpoints)]
        host, _, port = self.discovery.address.rpartition(":")
        self.config = Config(
            name="n0",
            listen=Address("127.0.0.1", 0),
            discovery=Address(host, int(port)),
            seed=7,
            sockets=self.sockets,
            known=parse_endpoint_list(discovery_response(1, True, *entries)),
            settings=settings_from(self.setup),
        )
        self.host = Host(
            self.config, max(1, int(UPSTREAM_SOCKETS_FRACTION * self.sockets)), self.config.memory_bytes
        )
        self.sweep = asyncio.create_task(self.host.upstream.sweep())
        self.server = Server(self.host, self.max_callers)
        await self.server.bind("127.0.0.1", 0)
        self.host.start()
        await self.server.listener.start_serving()
        self.port = self.server.listener.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self.host.watch(False)
        self.sweep.cancel()
        self.server.listener.close()
        for fake in (self.discovery, *self.endpoints):
            fake.server.close()

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


async def next_request_at_any(sidecar: Sidecar) -> ReceivedRequest:
    """Return the next request at any of the endpoints."""
    tasks = [asyncio.create_task(fake.next_request()) for fake in sidecar.endpoints]
    done, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    return done.pop().result()


async def wait_until_settled() -> None:
    """Wait until a connection may be reused after its last answer."""
    await asyncio.sleep(2 * upstream.SETTLE_US / 1e6)  # timers may fire 1 ms early


def start_process(tmp_path: Path, changes: dict[str, Any]) -> subprocess.Popen[str]:
    document = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f", **changes}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document), encoding="utf-8")
    environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
    return subprocess.Popen(
        [sys.executable, "-m", "eiderhub.sidecar"],
        env={**environ, "GW_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        text=True,
    )
