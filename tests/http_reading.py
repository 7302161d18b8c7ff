"""Requests as endpoints of tests read them from a connection."""

from __future__ import annotations

import asyncio


async def read_request(reader: asyncio.StreamReader) -> dict[str, str]:
    """The headers of the next request, names in lower case, once its body has been read as well.

    Raises:
        asyncio.IncompleteReadError: the connection ended before.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    pairs = [line.split(": ", 1) for line in head.split("\r\n")[1:] if line]
    headers = {name.lower(): value for name, value in pairs}
    await reader.readexactly(int(headers.get("content-length", 0)))
    return headers
