"""HTTP message bodies: framing, buffering limits and forwarding between connections."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple, Protocol

MAX_BODY_BYTES: Final = 32 * 1024 * 1024
MAX_BUFFERED_BYTES: Final = 64 * 1024  # bodies up to this size are buffered completely and may be retried
MIN_BUFFERED_BYTES: Final = 16 * 1024
BUFFER_MEMORY_FRACTION: Final = 0.2  # of the memory limit, for the body buffers of all connections
READ_BUFFER_BYTES: Final = 32 * 1024
STALL_TIMEOUT_S: Final = 15.0  # a peer that makes no progress on a body for this long is dropped

Headers = list[tuple[bytes, bytes]]


class FramingError(Exception):
    """The end of a message is ambiguous; forwarding it would allow request smuggling."""


class Framing(NamedTuple):
    """How a body is delimited: by length, chunked, or (neither) by the end of the connection."""

    length: int | None
    chunked: bool


def parse_framing(headers: Headers) -> Framing:
    """Return the framing given by the headers; the parser has already rejected contradictory headers."""
    length, chunked = None, False
    for name, value in headers:
        if len(name) not in (14, 17):  # fast path: this runs for every message
            continue
        key = name.lower()
        if key == b"content-length":
            length = int(value)
        elif key == b"transfer-encoding":
            if value.lower() != b"chunked":
                raise FramingError("a transfer coding that is not known here")
            chunked = True
    return Framing(length, chunked)


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK: Final = b"0\r\n\r\n"


def buffer_limit(memory_bytes: int, connections: int) -> int:
    """The body bytes that one connection may buffer, so that all stay within their part of the memory."""
    return min(
        MAX_BUFFERED_BYTES,
        max(MIN_BUFFERED_BYTES, int(BUFFER_MEMORY_FRACTION * memory_bytes / max(1, connections))),
    )


class Source(Protocol):
    """The side that a body is read from."""

    def update_flow_control(self) -> None:
        """Pause or resume reading, depending on whether the receiving side is congested."""


class Sink(Protocol):
    """The side that a body is written to."""

    @property
    def congested(self) -> bool: ...

    def forward(self, data: bytes) -> None: ...

    def end_body(self) -> None: ...


class Upload:
    """A request body that is forwarded while it is received; it can't be retried once forwarding starts."""

    __slots__ = (
        "_buffered",
        "_buffered_bytes",
        "_sink",
        "_source",
        "buffer_limit",
        "complete",
        "discarded",
        "forwarding_started",
        "length",
    )  # fmt: skip

    def __init__(
        self, length: int | None, buffer_limit: int, source: Source, buffered: Iterable[bytes] = ()
    ) -> None:
        self.length = length  # None: chunked
        self.buffer_limit = buffer_limit
        self.complete = False  # the last byte has been received
        self.forwarding_started = False  # part of it may have been forwarded
        self.discarded = False  # the rest is read and dropped
        self._source = source
        self._buffered = list(buffered)
        self._buffered_bytes = sum(map(len, self._buffered))
        self._sink: Sink | None = None

    @property
    def congested(self) -> bool:
        if self.discarded:
            return False
        return self._sink.congested if self._sink is not None else self._buffered_bytes >= self.buffer_limit

    def feed(self, data: bytes) -> None:
        if self._sink is not None:
            self._sink.forward(data)
        elif not self.discarded:
            self._buffered.append(data)
            self._buffered_bytes += len(data)

    def finish(self) -> None:
        self.complete = True
        if self._sink is not None:
            self._sink.end_body()

    def attach(self, sink: Sink) -> None:
        """Forward what is buffered to the sink, then the rest as it is received."""
        self.forwarding_started = True
        self._sink = sink
        buffered, self._buffered, self._buffered_bytes = self._buffered, [], 0
        for data in buffered:
            sink.forward(data)
        if self.complete:
            sink.end_body()
        self.update_flow_control()

    def discard(self) -> None:
        self.discarded = True
        self._sink = None
        self._buffered, self._buffered_bytes = [], 0
        self.update_flow_control()

    def update_flow_control(self) -> None:
        if not self.complete:
            self._source.update_flow_control()
