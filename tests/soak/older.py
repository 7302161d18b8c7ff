"""Run a program as one of wire version 1: `python -m tests.soak.older ROLE`.

The program does not declare its support of the wire format, and closes a connection on a message or a
compressed frame that only later versions have, as programs of wire version 1 did.
"""

from __future__ import annotations

import runpy
import sys

from eiderhub.coordination import wire

# Must precede the import of any other module that uses these values.
wire.OWN_SUPPORT = wire.DEFAULT_SUPPORT
wire.WIRE_VERSION = wire.DEFAULT_WIRE_VERSION

from eiderhub.transport import frames  # noqa: E402
from eiderhub.transport.frames import DEFLATED_FLAG, LENGTH_PREFIX, FrameError, Message, UnknownMessage  # noqa: E402
from eiderhub.transport.wire_counts import FrameFault  # noqa: E402

_decode_frame = frames.decode_frame


def decode_frame(buffer: bytearray, start: int, end: int) -> Message | UnknownMessage:
    """Decode a frame as a program of wire version 1.

    Raises:
        FrameError: wire version 1 has no such frame.
    """
    if LENGTH_PREFIX.unpack_from(buffer, start)[0] & DEFLATED_FLAG:
        raise FrameError(FrameFault.OVERSIZED)
    message = _decode_frame(buffer, start, end)
    if isinstance(message, UnknownMessage) or type(message) in frames.REQUIRED_FEATURE:
        raise FrameError(FrameFault.INVALID, str(message))
    return message


if __name__ == "__main__":
    frames.decode_frame = decode_frame
    role = sys.argv.pop(1)
    runpy.run_module(f"eiderhub.programs.{role}", run_name="__main__")
