"""HTTP endpoint for a process's metrics as plain text, one name and value per line."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from eiderhub.http1 import Exchange, ServerConnection

METRICS_PATH = b"/metrics"
CONTENT_TYPE_HEADER = (b"Content-Type", b"text/plain; charset=utf-8")


class MetricsConnection(ServerConnection):
    """Serves `GET /metrics`; other paths get 404."""

    def __init__(self, metric_lines: Callable[[], list[str]], connections: set[ServerConnection]) -> None:
        super().__init__(self._answer, lambda: 0, connections)
        self._metric_lines = metric_lines

    def _answer(self, exchange: Exchange) -> None:
        if exchange.url.partition(b"?")[0] != METRICS_PATH:
            exchange.respond(404)
            return
        body = "".join(f"{line}\n" for line in self._metric_lines())
        exchange.respond(200, body.encode(), CONTENT_TYPE_HEADER)


async def serve_metrics(metric_lines: Callable[[], list[str]], host: str, port: int) -> None:
    """Start listening; the server runs until the process ends."""
    connections: set[ServerConnection] = set()
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: MetricsConnection(metric_lines, connections), host, port)
