"""A page of a program's own figures, as text, for on-call staff: one name and value a line."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from eiderhub.http1 import Exchange, ServerConnection

PATH = b"/metrics"
TEXT_HEADER = (b"Content-Type", b"text/plain; charset=utf-8")


class MetricsConnection(ServerConnection):
    """A connection of somebody who looks."""

    def __init__(self, lines: Callable[[], list[str]], connections: set[ServerConnection]) -> None:
        super().__init__(self._answer, lambda: 0, connections)
        self._lines = lines

    def _answer(self, exchange: Exchange) -> None:
        if exchange.url.partition(b"?")[0] != PATH:
            exchange.answer(404)
            return
        body = "".join(f"{line}\n" for line in self._lines())
        exchange.answer(200, body.encode(), TEXT_HEADER)


async def serve_metrics(lines: Callable[[], list[str]], host: str, port: int) -> None:
    """Listen for as long as the program runs."""
    connections: set[ServerConnection] = set()
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: MetricsConnection(lines, connections), host, port)
