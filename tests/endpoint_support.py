"""Scripted endpoints on real sockets, and an admission instance that sends calls to them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from eiderhub.control.errors import ErrorKind
from eiderhub.control.messages import EndpointRecord
from eiderhub.dataplane.admission import Admission, Call
from eiderhub.dataplane.endpoint_connections import Headers
from eiderhub.dataplane.events import Event
from eiderhub.dataplane.routes import Route
from eiderhub.request_head import request_head
from tests.http_requests import read_request

TIMEOUT_S = 20.0
SERVICE = "svc"


class EndpointRequest:
    """One request that an endpoint has read, with methods to respond to it."""

    def __init__(
        self, endpoint: ScriptedEndpoint, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        self.endpoint = endpoint
        self.writer = writer
        self.headers = headers

    @property
    def id(self) -> str:
        return self.headers.get("request-id", "")

    def answer(self, body: bytes = b"ok", status: int = 200, **fields: str) -> bytes:
        """A complete response: signed and with the request's id, unless `fields` override these headers."""
        named = {"Request-Id": self.id, "Response-Signature": f"{self.endpoint.identity}.{self.id}"}
        named |= {name.replace("_", "-"): value for name, value in fields.items()}
        lines = [f"HTTP/1.1 {status} Status"] + [f"{k}: {v}" for k, v in named.items() if v]
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    def reset(self) -> None:
        self.writer.transport.abort()


Script = Callable[[EndpointRequest], Awaitable[None]]


async def answer_ok(request: EndpointRequest) -> None:
    request.send(request.answer())


class ScriptedEndpoint:
    """An endpoint that records each request that it has read completely and passes it to its script."""

    def __init__(self, identity: str, script: Script = answer_ok, zone: str = "z") -> None:
        self.identity = identity
        self.zone = zone
        self.script = script
        self.requests: list[str] = []
        self.connection_count = 0
        self.request_received = asyncio.Event()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        try:
            while True:
                headers = await read_request(reader)
                self.requests.append(headers.get("request-id", ""))
                self.request_received.set()
                await self.script(EndpointRequest(self, writer, headers))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        self._server.close()

    @property
    def record(self) -> EndpointRecord:
        return EndpointRecord(self.identity, SERVICE, self.address, self.zone, True, 8)


class RecordingSink:
    """Implements admission's `ResponseSink`; records the response and the number of ends."""

    def __init__(self) -> None:
        self.ended = asyncio.Event()
        self.status = 0
        self.headers: Headers = ()
        self.body = b""
        self.events: list[Event] = []
        self.refusal: ErrorKind | None = None
        self.complete = False
        self.end_count = 0

    def _end(self) -> None:
        self.end_count += 1
        self.ended.set()

    def begin(self, headers: Headers) -> None:
        self.status, self.headers = 200, headers

    def event(self, event: Event) -> None:
        self.events.append(event)

    def finish(self) -> None:
        self.complete = True
        self._end()

    def abort(self) -> None:
        self._end()

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body
        self.complete = True
        self._end()

    def refuse(self, kind: ErrorKind, retry_after_us: int) -> None:
        self.refusal = kind
        self._end()

    def signatures(self) -> list[bytes]:
        return [value for name, value in self.headers if name.lower() == b"response-signature"]


def make_route(
    kind: str, max_attempts: int = 3, resumable: bool = False, timeout_ms: float = 3000.0
) -> Route:
    services = ((SERVICE, 1.0),)
    return Route(
        "r", "h", "/", kind, timeout_ms, 500.0, 0, max_attempts, resumable, services, 1000.0, 0.0, 0.0
    )


class AdmissionHarness:
    """Admission of one service with scripted endpoints."""

    def __init__(self, *endpoints: ScriptedEndpoint) -> None:
        self.endpoints = endpoints

    async def start(self, route: Route) -> None:
        for endpoint in self.endpoints:
            await endpoint.start()
        self.route = route
        self.admission = Admission(SERVICE, 8, "z", random.Random(1), {})
        self.admission.update_endpoints([endpoint.record for endpoint in self.endpoints])
        self.admission.update_routes([route], 8)

    def send(self, request_id: str) -> RecordingSink:
        sink = RecordingSink()
        self.submit(request_id, sink)
        return sink

    def submit(self, request_id: str, sink: RecordingSink) -> None:
        headers = {b"host": b"h", b"request-id": request_id.encode()}
        head = request_head(b"POST", b"/x", headers.items(), b"body")
        due_us = self.admission.now_us() + int(self.route.timeout_ms * 1000)
        call = Call(request_id, self.route, request_id.encode(), (head, b"body"), due_us, "t", (1, 1), sink)
        self.admission.submit(call)

    async def request(self, request_id: str) -> RecordingSink:
        """Send a request and wait for its end."""
        sink = self.send(request_id)
        async with asyncio.timeout(TIMEOUT_S):
            await sink.ended.wait()
        return sink

    def run_count(self, request_id: str) -> int:
        """How many times endpoints have read the request."""
        return sum(endpoint.requests.count(request_id) for endpoint in self.endpoints)

    def stop(self) -> None:
        self.admission.update_endpoints([])
        for endpoint in self.endpoints:
            endpoint.stop()
