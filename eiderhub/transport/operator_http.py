"""HTTP server of the operator API, on cheroot.

A worker thread handles each request and waits for the response, which is produced on the event loop.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Awaitable, Callable, Iterable
from concurrent.futures import TimeoutError as FutureTimeout
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote, urlsplit

from cheroot import wsgi

from eiderhub.transport.operator_calls import Call, Reply

WORKER_THREADS = 6
ANSWER_TIMEOUT_S = 3.0
MAX_BODY_BYTES = 32 << 20


def decoded_path(request_uri: str) -> str:
    """The path of a request, percent-decoded as UTF-8."""
    path = request_uri.partition("?")[0]
    if not path.startswith("/"):  # in absolute form
        path = urlsplit(path).path
    return unquote(path, errors="replace")


class OperatorServer:
    """Serves requests until `stop` is called. `handle` runs on the event loop that created the server."""

    def __init__(self, host: str, port: int, handle: Callable[[Call], Awaitable[Reply]]) -> None:
        self._loop = asyncio.get_running_loop()
        self._handle = handle
        self._server = wsgi.Server(
            (host, port), self._application, numthreads=WORKER_THREADS, request_queue_size=128
        )
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, name="operator", daemon=True)
        self._thread.start()

    @property
    def address(self) -> tuple[str, int]:
        """The host and port on which it listens."""
        host, port = self._server.bind_addr
        return host, port

    def stop(self) -> None:
        self._server.stop()

    def _application(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        size = int(environ.get("CONTENT_LENGTH") or 0)
        if size > MAX_BODY_BYTES:
            reply = Reply(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        else:
            body = environ["wsgi.input"].read(size) if size else environ["wsgi.input"].read()
            path = decoded_path(environ["REQUEST_URI"])
            call = Call(environ["REQUEST_METHOD"], path, environ.get("HTTP_IF_MATCH", ""), body)
            reply = self._answer(call)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(reply.body)))]
        if reply.location:
            headers.append(("Location", reply.location))
        start_response(f"{reply.status} {HTTPStatus(reply.status).phrase}", headers)
        return [reply.body]

    def _answer(self, call: Call) -> Reply:
        async def run() -> Reply:
            return await self._handle(call)

        future = asyncio.run_coroutine_threadsafe(run(), self._loop)
        try:
            return future.result(ANSWER_TIMEOUT_S)
        except (FutureTimeout, TimeoutError):
            future.cancel()
            return Reply(HTTPStatus.GATEWAY_TIMEOUT)
