"""Endpoints of a soak: they answer streams and whole bodies, fail at random, and note what they ran."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from tests.http_requests import read_request

EVENTS = 4
EVENT_S = 0.01  # between events, on the mean
POISON = "p"  # an item whose id ends so can't be done by any endpoint
RESET_SHARE, ERROR_SHARE, HANG_SHARE, FULL_SHARE = 0.01, 0.02, 0.004, 0.01


class Runs:
    """What all endpoints together have run, by request id."""

    def __init__(self) -> None:
        self.count: Counter[str] = Counter()
        self.spoiled: set[str] = set()  # an endpoint failed, broke off or hung while it worked on it
        self.signatures: dict[str, set[str]] = {}

    def begin(self, request_id: str, identity: str) -> str:
        self.count[request_id] += 1
        signature = f"{identity}.{request_id}"
        self.signatures.setdefault(request_id, set()).add(signature)
        return signature


def text_of(request_id: str) -> str:
    """The whole text of an item, or of a stream."""
    return "\n".join(f"{request_id} {number}" for number in range(EVENTS))


class Endpoint:
    """One endpoint; the same address serves one identity."""

    def __init__(self, identity: str, runs: Runs, rng: random.Random) -> None:
        self.identity = identity
        self._runs = runs
        self._rng = rng
        self._open: dict[asyncio.StreamWriter, str] = {}  # connections, and what runs on each

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def crash(self) -> None:
        """Be gone at once."""
        self._server.close()
        for writer, request_id in list(self._open.items()):
            self._runs.spoiled.add(request_id)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open[writer] = ""
        try:
            while True:
                headers = await read_request(reader)
                self._open[writer] = headers.get("request-id", "")
                if not await self._answer(headers, writer):
                    await reader.read()  # it hangs for as long as its caller waits
                    return
                self._open[writer] = ""
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            del self._open[writer]
            writer.close()

    async def _answer(self, headers: dict[str, str], writer: asyncio.StreamWriter) -> bool:
        """Answer a request; false where nothing ever comes."""
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.identity) != self.identity:
            self._whole(writer, request_id, 421, b"", "")
            return True
        if self._rng.random() < FULL_SHARE:
            self._whole(writer, request_id, 503, b"", "Not-Executed: full\r\n")
            return True
        signature = self._runs.begin(request_id, self.identity)
        drawn = self._rng.random()
        if request_id.endswith(POISON):
            self._whole(writer, request_id, 422, b"", f"Response-Signature: {signature}\r\n")
        elif drawn < ERROR_SHARE:
            self._runs.spoiled.add(request_id)
            self._whole(writer, request_id, 500, b"", f"Response-Signature: {signature}\r\n")
        elif drawn < ERROR_SHARE + RESET_SHARE:
            self._runs.spoiled.add(request_id)
            writer.transport.abort()
        elif drawn < ERROR_SHARE + RESET_SHARE + HANG_SHARE:
            self._runs.spoiled.add(request_id)
            return False
        elif request_id.startswith("whole"):
            await asyncio.sleep(self._rng.expovariate(1 / EVENT_S))
            body = text_of(request_id).encode()
            self._whole(writer, request_id, 200, body, f"Response-Signature: {signature}\r\n")
        else:
            await self._stream(headers, writer, request_id, signature)
        return True

    @staticmethod
    def _whole(writer: asyncio.StreamWriter, request_id: str, status: int, body: bytes, more: str) -> None:
        head = f"HTTP/1.1 {status} S\r\nRequest-Id: {request_id}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async def _stream(
        self, headers: dict[str, str], writer: asyncio.StreamWriter, request_id: str, signature: str
    ) -> None:
        lines = [
            "HTTP/1.1 200 OK", "Content-Type: text/event-stream", f"Request-Id: {request_id}",
            f"Response-Signature: {signature}", "Transfer-Encoding: chunked",
        ]  # fmt: skip
        writer.write("".join(f"{line}\r\n" for line in lines).encode() + b"\r\n")
        for number in range(int(headers.get("last-event-id", -1)) + 1, EVENTS):
            await asyncio.sleep(self._rng.expovariate(1 / EVENT_S))
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
