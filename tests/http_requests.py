"""Reads HTTP requests for the test endpoints."""

from __future__ import annotations

import asyncio


async def read_request(reader: asyncio.StreamReader) -> dict[str, str]:
    """Read the next request with its body; return its headers, with names in lower case.

    Raises:
        asyncio.IncompleteReadError: the connection ended before the request was complete.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    pairs = [line.split(": ", 1) for line in head.split("\r\n")[1:] if line]
    headers = {name.lower(): value for name, value in pairs}
    await reader.readexactly(int(headers.get("content-length", 0)))
    return headers
