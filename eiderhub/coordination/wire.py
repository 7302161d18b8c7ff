"""What a process says that it speaks, so that nobody is sent what it does not take.

The first message of each connection carries a `WireSupport`. A process that says nothing is of wire version 1
and is sent the messages of that version alone. How a message or a record may change: docs/upgrades.md.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

WIRE_VERSION = 2
UNTOLD_VERSION = 1  # of a process that says nothing of its version


class Feature(Enum):
    """What a process may take beyond wire version 1."""

    DEFLATE = "deflate"  # frames that are deflated, as a bit of their length says
    SHARED_LOAD = "shared-load"  # `LoadUpdate`
    SESSION_ACCEPTED = "session-accepted"  # `SessionAccepted`, with what the control node speaks


class WireSupport(Struct, array_like=True, frozen=True):
    """What one process speaks. Names of features that this program does not know are skipped."""

    version: int = UNTOLD_VERSION
    features: list[str] = []

    def takes(self, feature: Feature) -> bool:
        """Whether the process may be sent that; no version before the second has features."""
        return self.version > UNTOLD_VERSION and feature.value in self.features


UNTOLD = WireSupport()
OWN_SUPPORT = WireSupport(WIRE_VERSION, [feature.value for feature in Feature])
