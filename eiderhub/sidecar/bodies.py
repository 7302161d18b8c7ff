"""Bodies on their way from one connection to another, and the bounds on what is held of them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple, Protocol

MOST_BODY: Final = 32 * 1024 * 1024
MOST_KEPT: Final = 64 * 1024  # a body up to this is read whole, and may be sent again
LEAST_KEPT: Final = 16 * 1024
KEPT_SHARE: Final = 0.2  # of the memory, for what all connections together keep
READ_SIZE: Final = 32 * 1024
STALL_S: Final = 15.0  # a peer that neither reads nor writes for so long amid a body has gone

Headers = list[tuple[bytes, bytes]]


class FramingError(Exception):
    """A message whose end can't be told for sure: passed on, it would let requests be smuggled."""


class Framing(NamedTuple):
    """How a message's body ends: by its length, by its last chunk, or (neither) with the connection."""

    length: int | None
    chunked: bool


def framing(headers: Headers) -> Framing:
    """The framing that the headers state; the parser has seen to contradictions between them."""
    length, chunked = None, False
    for name, value in headers:
        if len(name) not in (14, 17):  # this is on the way of every message
            continue
        key = name.lower()
        if key == b"content-length":
            length = int(value)
        elif key == b"transfer-encoding":
            if value.lower() != b"chunked":
                raise FramingError("a transfer coding that is not known here")
            chunked = True
    return Framing(length, chunked)


def frame(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK: Final = b"0\r\n\r\n"


def most_kept(memory_bytes: int, connections: int) -> int:
    """What one connection may hold of a body, so that all of them together stay within their share."""
    return min(MOST_KEPT, max(LEAST_KEPT, int(KEPT_SHARE * memory_bytes / max(1, connections))))


class Source(Protocol):
    """Where a body comes from."""

    def flow(self) -> None:
        """Read on, or stop reading, as the other side takes what comes."""


class Sink(Protocol):
    """Where a body goes."""

    @property
    def congested(self) -> bool: ...

    def pass_on(self, data: bytes) -> None: ...

    def end_body(self) -> None: ...


class Upload:
    """A request's body that is passed on while it comes. Once begun it can't be sent again."""

    __slots__ = ("_held", "_sink", "_size", "_source", "begun", "given_up", "length", "most", "whole")

    def __init__(self, length: int | None, most: int, source: Source, held: Iterable[bytes] = ()) -> None:
        self.length = length  # None: it ends with its last chunk
        self.most = most
        self.whole = False  # its last byte has come
        self.begun = False  # some of it has been passed on
        self.given_up = False  # nobody wants it any more: the rest is read and thrown away
        self._source = source
        self._held = list(held)
        self._size = sum(map(len, self._held))
        self._sink: Sink | None = None

    @property
    def congested(self) -> bool:
        if self.given_up:
            return False
        return self._sink.congested if self._sink is not None else self._size >= self.most

    def feed(self, data: bytes) -> None:
        if self._sink is not None:
            self._sink.pass_on(data)
        elif not self.given_up:
            self._held.append(data)
            self._size += len(data)

    def finish(self) -> None:
        self.whole = True
        if self._sink is not None:
            self._sink.end_body()

    def attach(self, sink: Sink) -> None:
        """Pass on what has come, and from now on what comes."""
        self.begun = True
        self._sink = sink
        held, self._held, self._size = self._held, [], 0
        for data in held:
            sink.pass_on(data)
        if self.whole:
            sink.end_body()
        self.flow()

    def give_up(self) -> None:
        self.given_up = True
        self._sink = None
        self._held, self._size = [], 0
        self.flow()

    def flow(self) -> None:
        if not self.whole:
            self._source.flow()
