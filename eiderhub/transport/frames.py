"""Frame format: a four-byte big-endian length, then one tagged message in msgpack.

Larger messages to another zone are deflated if that makes them smaller and the peer supports it, because
traffic between zones is billed. The highest bit of the length marks a deflated body.
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

LENGTH_PREFIX = struct.Struct(">I")
MAX_MESSAGE_BYTES = 64 << 20  # after inflation
DEFLATED_FLAG = 1 << 31  # flag in the length field
DEFLATE_THRESHOLD_BYTES = 300
DEFLATE_LEVEL = 1

# The feature that a peer must have declared before it is sent a message of this type. All other types belong
# to wire version 1.
REQUIRED_FEATURE: dict[type, Feature] = {
    LoadUpdate: Feature.SHARED_LOAD,
    SessionAccepted: Feature.SESSION_ACCEPTED,
}

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


class _Tagged(msgspec.Struct):
    """Decodes only the type name of any message."""

    type: str


_decode_tag = msgspec.msgpack.Decoder(_Tagged).decode
KNOWN_TYPES = frozenset(
    str(message_type.__struct_config__.tag)
    for union in (ReplicaMessage, SessionMessage, BatchMessage)
    for message_type in union.__args__
)


class UnknownMessage(NamedTuple):
    """A message whose type this program does not know."""

    kind: str


class FrameError(Exception):
    """A frame that cannot be decoded into a message."""

    def __init__(self, fault: FrameFault, detail: str = "") -> None:
        super().__init__(f"{fault.value}: {detail}" if detail else fault.value)
        self.fault = fault


def can_send(support: WireSupport, message: Message) -> bool:
    """Whether a peer with this declared support may be sent the message."""
    required = REQUIRED_FEATURE.get(type(message))
    return required is None or support.includes(required)


def encode_frame(message: Message, deflate: bool) -> bytes:
    """The frame of a message."""
    body = _encode(message)
    flag = 0
    if deflate and len(body) >= DEFLATE_THRESHOLD_BYTES:
        compressed = zlib.compress(body, DEFLATE_LEVEL)
        if len(compressed) < len(body):
            flag, body = DEFLATED_FLAG, compressed
    return LENGTH_PREFIX.pack(flag | len(body)) + body


def frame_end(buffer: bytearray, start: int) -> int | None:
    """The end offset of the frame that starts at `start`; None if the frame is not complete yet.

    Raises:
        FrameError: the length exceeds `MAX_MESSAGE_BYTES`.
    """
    if len(buffer) - start < LENGTH_PREFIX.size:
        return None
    size = LENGTH_PREFIX.unpack_from(buffer, start)[0] & ~DEFLATED_FLAG
    if size > MAX_MESSAGE_BYTES:
        raise FrameError(FrameFault.OVERSIZED, f"{size} bytes")
    end: int = start + LENGTH_PREFIX.size + size
    return end if end <= len(buffer) else None


def decode_frame(buffer: bytearray, start: int, end: int) -> Message | UnknownMessage:
    """Decode a complete frame.

    Raises:
        FrameError: the body cannot be inflated, is not a message, or has invalid fields.
    """
    body = memoryview(buffer)[start + LENGTH_PREFIX.size : end].tobytes()
    if LENGTH_PREFIX.unpack_from(buffer, start)[0] & DEFLATED_FLAG:
        body = _inflate(body)
    try:
        return _decode(body)
    except msgspec.ValidationError as error:
        return _unknown_message(body, error)
    except msgspec.DecodeError as error:
        raise FrameError(FrameFault.MALFORMED, str(error)) from None


def _inflate(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        inflated = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise FrameError(FrameFault.DEFLATE, str(error)) from None
    if not decompressor.eof:
        raise FrameError(FrameFault.DEFLATE, "truncated, or larger than the limit when inflated")
    return inflated


def _unknown_message(body: bytes, error: msgspec.ValidationError) -> UnknownMessage:
    """Return the type name of a well-formed message whose type is unknown.

    Raises:
        FrameError: the body has no type name, or that of a known type whose fields are invalid.
    """
    try:
        kind = _decode_tag(body).type
    except msgspec.DecodeError:
        raise FrameError(FrameFault.MALFORMED, str(error)) from None
    if kind in KNOWN_TYPES:
        raise FrameError(FrameFault.INVALID, f"{kind}: {error}") from None
    return UnknownMessage(kind)
