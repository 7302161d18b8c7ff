"""Clients of a soak: they use open connections until the process is gone, and note how each call ended."""

from __future__ import annotations

import asyncio
import time
from enum import Enum
from typing import NamedTuple

UNANSWERED_S = 20.0  # a call that has neither an answer nor the end of its connection by then is lost


class End(Enum):
    """How a call ended for its client."""

    ANSWERED = "answered"
    CUT = "the connection ended before the answer did"
    REFUSED = "no connection came up"
    UNANSWERED = "nothing came, and the connection stayed"


class Reply(NamedTuple):
    end: End
    status: int = 0
    headers: dict[str, str] = {}  # noqa: RUF012
    body: bytes = b""
    reused: bool = False  # the connection had carried a call before


class Connection:
    """One kept connection to a sidecar; it is opened anew once the sidecar has ended it."""

    def __init__(self, host: str, port: int) -> None:
        self._host, self._port = host, port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(self, method: str, path: str, body: bytes = b"", **headers: str) -> Reply:
        """One call on the connection that is open, or on a new one."""
        reused = self._streams is not None
        try:
            async with asyncio.timeout(UNANSWERED_S):
                if self._streams is None:
                    try:
                        self._streams = await asyncio.open_connection(self._host, self._port)
                    except OSError:
                        return Reply(End.REFUSED)
                return await self._ask(*self._streams, method, path, body, headers, reused)
        except TimeoutError:
            self.close()
            return Reply(End.UNANSWERED)

    async def _ask(
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
        told: dict[str, str] = {}
        try:
            writer.write("".join(f"{line}\r\n" for line in lines).encode() + b"\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            first, *rest = head.rstrip("\r\n").split("\r\n")
            status = int(first.split()[1])
            told = {name.lower(): value for name, value in (line.split(": ", 1) for line in rest)}
            answer = await self._body(reader, told)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.close()
            return Reply(End.CUT, status, told, b"", reused)
        if told.get("connection", "").lower() == "close":
            self.close()
        return Reply(End.ANSWERED, status, told, answer, reused)

    @staticmethod
    async def _body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
        if headers.get("transfer-encoding") != "chunked":
            return await reader.readexactly(int(headers.get("content-length", 0)))
        whole = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            whole += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return whole

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


def now() -> float:
    return time.monotonic()
