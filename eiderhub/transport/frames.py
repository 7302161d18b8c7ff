"""Messages as bytes: a length in four bytes, then msgpack of one tagged message.

Larger messages to another zone are deflated, where that makes them smaller and the peer takes it: bytes
between zones are paid for. The highest bit of the length says so.
"""

from __future__ import annotations

import struct
import zlib
from typing import NamedTuple

import msgspec

from eiderhub.batch.messages import BatchMessage
from eiderhub.control.messages import LoadUpdate, SessionAccepted, SessionMessage
from eiderhub.coordination.messages import ReplicaMessage
from eiderhub.coordination.wire import Feature, WireSupport
from eiderhub.transport.wire_counts import FrameFault

Message = ReplicaMessage | SessionMessage | BatchMessage

LENGTH = struct.Struct(">I")
MOST_MESSAGE = 64 << 20  # bytes, inflated
DEFLATED = 1 << 31  # in the length
DEFLATE_FROM = 300  # bytes
DEFLATE_LEVEL = 1

# What a peer must have said before it is sent a message; all others are of wire version 1.
REQUIRED_FEATURE: dict[type, Feature] = {
    LoadUpdate: Feature.SHARED_LOAD,
    SessionAccepted: Feature.SESSION_ACCEPTED,
}

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


class _Tagged(msgspec.Struct):
    """Any message, for the name of its type alone."""

    type: str


_decode_tag = msgspec.msgpack.Decoder(_Tagged).decode
KNOWN_TYPES = frozenset(
    str(each.__struct_config__.tag)
    for union in (ReplicaMessage, SessionMessage, BatchMessage)
    for each in union.__args__
)


class Unknown(NamedTuple):
    """A message of a type that this program does not have."""

    kind: str


class FrameBroken(Exception):
    """A frame that no message can be read from."""

    def __init__(self, fault: FrameFault, why: str = "") -> None:
        super().__init__(f"{fault.value}: {why}" if why else fault.value)
        self.fault = fault


def takes(support: WireSupport, message: Message) -> bool:
    """Whether a peer that has said this may be sent the message."""
    required = REQUIRED_FEATURE.get(type(message))
    return required is None or support.takes(required)


def encoded(message: Message, deflate: bool) -> bytes:
    """The frame of a message."""
    data = _encode(message)
    flag = 0
    if deflate and len(data) >= DEFLATE_FROM:
        smaller = zlib.compress(data, DEFLATE_LEVEL)
        if len(smaller) < len(data):
            flag, data = DEFLATED, smaller
    return LENGTH.pack(flag | len(data)) + data


def frame_end(buffer: bytearray, start: int) -> int | None:
    """Where the frame that begins at `start` ends; None: it is not known yet.

    Raises:
        FrameBroken: it is longer than a message may be.
    """
    if len(buffer) - start < LENGTH.size:
        return None
    size = LENGTH.unpack_from(buffer, start)[0] & ~DEFLATED
    if size > MOST_MESSAGE:
        raise FrameBroken(FrameFault.OVERSIZED, f"{size} bytes")
    end: int = start + LENGTH.size + size
    return end if end <= len(buffer) else None


def decoded(buffer: bytearray, start: int, end: int) -> Message | Unknown:
    """The message of a whole frame.

    Raises:
        FrameBroken: there is none.
    """
    body = memoryview(buffer)[start + LENGTH.size : end].tobytes()
    if LENGTH.unpack_from(buffer, start)[0] & DEFLATED:
        body = _inflated(body)
    try:
        return _decode(body)
    except msgspec.ValidationError as error:
        return _unknown(body, error)
    except msgspec.DecodeError as error:
        raise FrameBroken(FrameFault.MALFORMED, str(error)) from None


def _inflated(data: bytes) -> bytes:
    stream = zlib.decompressobj()
    try:
        inflated = stream.decompress(data, MOST_MESSAGE)
    except zlib.error as error:
        raise FrameBroken(FrameFault.DEFLATE, str(error)) from None
    if not stream.eof:
        raise FrameBroken(FrameFault.DEFLATE, "cut short, or too long")
    return inflated


def _unknown(body: bytes, error: msgspec.ValidationError) -> Unknown:
    """What is well formed and no message that this program knows."""
    try:
        kind = _decode_tag(body).type
    except msgspec.DecodeError:
        raise FrameBroken(FrameFault.MALFORMED, str(error)) from None
    if kind in KNOWN_TYPES:
        raise FrameBroken(FrameFault.INVALID, f"{kind}: {error}") from None
    return Unknown(kind)
