"""Endpoints of a soak: they answer with streams or whole bodies, fail at random, and log each execution."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from tests.http_requests import read_request

EVENTS_PER_STREAM = 4
MEAN_EVENT_INTERVAL_S = 0.01  # between events of a stream
POISON_SUFFIX = "p"  # no endpoint can process an item whose id has this suffix
BREAK_SHARE = 0.03  # of events at which a stream breaks off, with odd answers
COMMENT_SHARE = 0.2  # of events that a comment precedes, with odd answers
UNPROVEN_SHARE = 0.01  # of executions that are answered like requests that have not run, with odd answers
UNPROVEN_STATUSES = (408, 429, 503)
REPEAT_SHARE, MEAN_REPEAT_DELAY_S = 0.5, 0.02  # of answers of 500 that come a second time, with odd answers
EMPTY_STREAM = 0
ODD_STATUSES = (EMPTY_STREAM, 200, 204, 301, 307, 400, 404, 410, 413, 500, 502, 504)
RESET_SHARE, ERROR_SHARE, HANG_SHARE, NOT_EXECUTED_SHARE = 0.01, 0.02, 0.004, 0.01


class ExecutionLog:
    """The executions of all endpoints together, by request id."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.failed: set[str] = set()  # an endpoint failed, closed the connection or hung during execution
        self.server_errors: Counter[str] = Counter()  # answers of 500
        self.signatures: dict[str, set[str]] = {}

    def record_start(self, request_id: str, identity: str) -> str:
        """Record an execution and return the signature of its response."""
        self.counts[request_id] += 1
        signature = f"{identity}.{request_id}"
        self.signatures.setdefault(request_id, set()).add(signature)
        return signature


def item_text(request_id: str) -> str:
    """The complete text of the result of an item or a stream."""
    return "\n".join(f"{request_id} {number}" for number in range(EVENTS_PER_STREAM))


class Endpoint:
    """One endpoint on its own address, with its own identity."""

    def __init__(
        self, identity: str, executions: ExecutionLog, rng: random.Random, odd_share: float = 0.0
    ) -> None:
        self.identity = identity
        self._odd_share = odd_share  # of continuations that get an answer that is no continuation
        self._executions = executions
        self._rng = rng
        # By connection: the id of the request in progress, or empty.
        self._requests: dict[asyncio.StreamWriter, str] = {}
        self._repeats: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer, request_id in list(self._requests.items()):
            self._executions.failed.add(request_id)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._requests[writer] = ""
        try:
            while True:
                headers = await read_request(reader)
                self._requests[writer] = headers.get("request-id", "")
                if not await self._answer(headers, writer):
                    await reader.read()  # the request hangs until the caller closes the connection
                    return
                self._requests[writer] = ""
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            del self._requests[writer]
            writer.close()

    async def _answer(self, headers: dict[str, str], writer: asyncio.StreamWriter) -> bool:
        """Answer a request; false if it is never to be answered."""
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.identity) != self.identity:
            self._write_response(writer, request_id, 421, b"", "")
            return True
        if self._rng.random() < NOT_EXECUTED_SHARE:
            self._write_response(writer, request_id, 503, b"", "Not-Executed: full\r\n")
            return True
        signature = self._executions.record_start(request_id, self.identity)
        draw = self._rng.random()
        if "last-event-id" in headers and self._rng.random() < self._odd_share:
            self._executions.failed.add(request_id)
            self._write_odd_continuation(writer, request_id, signature)
        elif request_id.endswith(POISON_SUFFIX):
            self._write_response(writer, request_id, 422, b"", f"Response-Signature: {signature}\r\n")
        elif self._odd_share and self._rng.random() < UNPROVEN_SHARE:
            self._executions.failed.add(request_id)
            status = self._rng.choice(UNPROVEN_STATUSES)
            self._write_response(writer, request_id, status, b"", f"Response-Signature: {signature}\r\n")
        elif draw < ERROR_SHARE:
            self._executions.failed.add(request_id)
            self._executions.server_errors[request_id] += 1
            self._write_response(writer, request_id, 500, b"", f"Response-Signature: {signature}\r\n")
            if self._odd_share and self._rng.random() < REPEAT_SHARE:
                self._repeats.add(asyncio.create_task(self._repeat_error(writer, request_id, signature)))
        elif draw < ERROR_SHARE + RESET_SHARE:
            self._executions.failed.add(request_id)
            writer.transport.abort()
        elif draw < ERROR_SHARE + RESET_SHARE + HANG_SHARE:
            self._executions.failed.add(request_id)
            return False
        elif request_id.startswith("whole"):
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_EVENT_INTERVAL_S))
            body = item_text(request_id).encode()
            self._write_response(writer, request_id, 200, body, f"Response-Signature: {signature}\r\n")
        else:
            await self._write_stream(headers, writer, request_id, signature)
        return True

    async def _repeat_error(self, writer: asyncio.StreamWriter, request_id: str, signature: str) -> None:
        """Give an answer a second time, in whatever is in progress on the connection by then."""
        await asyncio.sleep(self._rng.expovariate(1 / MEAN_REPEAT_DELAY_S))
        if writer in self._requests:
            self._executions.failed.add(self._requests[writer])
            self._write_response(writer, request_id, 500, b"", f"Response-Signature: {signature}\r\n")

    def _write_odd_continuation(self, writer: asyncio.StreamWriter, request_id: str, signature: str) -> None:
        """Answer the request for the rest of a stream with anything but that, a 422 excepted."""
        status = self._rng.choice(ODD_STATUSES)
        self._executions.server_errors[request_id] += status == 500
        fields = f"Response-Signature: {signature}\r\n"
        if status == EMPTY_STREAM:
            status, fields = 200, fields + "Content-Type: text/event-stream\r\n"
        self._write_response(writer, request_id, status, b"", fields)

    @staticmethod
    def _write_response(
        writer: asyncio.StreamWriter, request_id: str, status: int, body: bytes, extra_headers: str
    ) -> None:
        head = (
            f"HTTP/1.1 {status} S\r\nRequest-Id: {request_id}\r\n{extra_headers}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)

    async def _write_stream(
        self, headers: dict[str, str], writer: asyncio.StreamWriter, request_id: str, signature: str
    ) -> None:
        lines = [
            "HTTP/1.1 200 OK", "Content-Type: text/event-stream", f"Request-Id: {request_id}",
            f"Response-Signature: {signature}", "Transfer-Encoding: chunked",
        ]  # fmt: skip
        writer.write("".join(f"{line}\r\n" for line in lines).encode() + b"\r\n")
        for number in range(int(headers.get("last-event-id", -1)) + 1, EVENTS_PER_STREAM):
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_EVENT_INTERVAL_S))
            if self._odd_share and number and self._rng.random() < BREAK_SHARE:
                self._executions.failed.add(request_id)
                writer.transport.abort()
                return
            if self._odd_share and request_id.startswith("i") and self._rng.random() < COMMENT_SHARE:
                writer.write(b"8\r\n: ping\n\n\r\n")
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
