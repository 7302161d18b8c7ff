"""A live request's headers reach the endpoint as its client sent them, each once.

See docs/incidents/smuggled-request.md.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from eiderhub.control.messages import ConfigurationUpdate, EndpointsUpdate, TableVersion
from eiderhub.dataplane.frontend import FrontendConnection
from eiderhub.programs.edge_service import EdgeService
from tests.endpoint_support import EndpointRequest, ScriptedEndpoint
from tests.items_support import TIMEOUT_S, tier_settings

DOCUMENT = {
    "generation": 1,
    "routes": [{"name": "r", "host": "h", "path_prefix": "/r/", "timeout_ms": 5000, "backend": "svc"}],
    "backends": [{"name": "svc"}],
}


NO_BODY = "Content-Length: 0\r\n\r\n"


async def exchange(folder: Path, *lines: str, rest: str = NO_BODY) -> tuple[int, list[dict[str, str]]]:
    """The status that a client gets, and the headers that the endpoint has read."""
    seen: list[dict[str, str]] = []

    async def serve(request: EndpointRequest) -> None:
        seen.append(request.headers)
        request.send(request.answer())

    endpoint = ScriptedEndpoint("i-1", serve)
    await endpoint.start()
    service = EdgeService(tier_settings(folder, "edge"))
    service.tables.apply(ConfigurationUpdate(1, json.dumps(DOCUMENT).encode()))
    service.tables.apply(EndpointsUpdate(TableVersion(1, 1), [endpoint.record]))
    service._on_tables()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: FrontendConnection(service, set()), "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
    writer.write(("\r\n".join(lines) + "\r\n" + rest).encode())
    async with asyncio.timeout(TIMEOUT_S):
        status = int((await reader.readline()).split()[1])
    writer.close()
    server.close()
    endpoint.stop()
    return status, seen


def send(folder: Path, *lines: str, rest: str = NO_BODY) -> tuple[int, list[dict[str, str]]]:
    return asyncio.run(exchange(folder, *lines, rest=rest))


def test_repeated_header_is_passed_on_whole(tmp_path: Path) -> None:
    """Guards against a list in two lines, as Prefix-Hash may be, of which only the last line is passed on."""
    status, seen = send(
        tmp_path, "POST /r/x HTTP/1.1", "Host: h", "Request-Id: a", "Prefix-Hash: 1:5", "prefix-hash: 2:6"
    )
    assert status == 200
    assert [headers["prefix-hash"] for headers in seen] == ["1:5, 2:6"]


def test_endpoint_gets_one_last_event_id(tmp_path: Path) -> None:
    """Guards against the sidecar's Last-Event-Id beside the client's own: an endpoint would join the two."""
    status, seen = send(tmp_path, "POST /r/x HTTP/1.1", "Host: h", "Request-Id: a ", "Last-Event-Id: 7")
    assert status == 200
    assert [(headers["last-event-id"], headers["request-id"]) for headers in seen] == [("7", "a")]


def test_request_for_two_hosts_is_refused(tmp_path: Path) -> None:
    """Guards against a request that is routed by one host and sent with another (RFC 9112, section 3.2)."""
    status, seen = send(tmp_path, "POST /r/x HTTP/1.1", "Host: h", "Request-Id: a", "Host: other")
    assert (status, seen) == (400, [])


def test_target_that_is_no_path_is_refused(tmp_path: Path) -> None:
    """Guards against a fragment in a target, which endpoints may drop from the path."""
    status, seen = send(tmp_path, "POST /r/x#y HTTP/1.1", "Host: h", "Request-Id: a")
    assert (status, seen) == (400, [])


def test_trailer_changes_no_header(tmp_path: Path) -> None:
    """Guards against a field behind the body that takes the place of the request's id or host."""
    trailers = "Request-Id: b\r\nHost: other\r\nX: 1\r\n"
    rest = f"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n{trailers}\r\n"
    status, seen = send(tmp_path, "POST /r/x HTTP/1.1", "Host: h", "Request-Id: a", rest=rest)
    assert status == 200
    assert [(headers["request-id"], headers["host"], "x" in headers) for headers in seen] == [
        ("a", "h", False)
    ]
