"""Clients of a soak: they use a connection until the sidecar ends it, and record the outcome of each call."""

from __future__ import annotations

import asyncio
import time
from enum import Enum
from typing import NamedTuple

ANSWER_TIMEOUT_S = 20.0  # a call without an answer or the end of its connection by then counts as lost


class Outcome(Enum):
    """How a call ended for its client."""

    ANSWERED = "answered"
    CUT = "the connection ended before the answer did"
    REFUSED = "no connection came up"
    UNANSWERED = "nothing came, and the connection stayed"


class Reply(NamedTuple):
    """The outcome of a call and, as far as it was received, its response."""

    outcome: Outcome
    status: int = 0
    headers: dict[str, str] = {}  # noqa: RUF012
    body: bytes = b""
    reused: bool = False  # the connection had been used by an earlier call


class Connection:
    """A persistent connection to a sidecar; it is opened again after the sidecar has ended it."""

    def __init__(self, host: str, port: int) -> None:
        self._host, self._port = host, port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(self, method: str, path: str, body: bytes = b"", **headers: str) -> Reply:
        """Send a request on the open connection, or on a new one, and wait for its outcome."""
        reused = self._streams is not None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                if self._streams is None:
                    try:
                        self._streams = await asyncio.open_connection(self._host, self._port)
                    except OSError:
                        return Reply(Outcome.REFUSED)
                return await self._send_request(*self._streams, method, path, body, headers, reused)
        except TimeoutError:
            self.close()
            return Reply(Outcome.UNANSWERED)

    async def _send_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        reused: bool,
    ) -> Reply:
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        status = 0
        response_headers: dict[str, str] = {}
        try:
            writer.write("".join(f"{line}\r\n" for line in lines).encode("latin-1") + b"\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            first, *rest = head.rstrip("\r\n").split("\r\n")
            status = int(first.split()[1])
            response_headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in rest)}
            response_body = await self._read_body(reader, response_headers)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.close()
            return Reply(Outcome.CUT, status, response_headers, b"", reused)
        if response_headers.get("connection", "").lower() == "close":
            self.close()
        return Reply(Outcome.ANSWERED, status, response_headers, response_body, reused)

    @staticmethod
    async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
        if headers.get("transfer-encoding") != "chunked":
            return await reader.readexactly(int(headers.get("content-length", 0)))
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return body

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


def now() -> float:
    """Monotonic time in seconds."""
    return time.monotonic()
