"""Wire version and features that a process advertises, so that it is sent nothing that it does not support.

The first message of each connection carries a `WireSupport`. A process that advertises nothing has wire
version 1 and is sent only messages of that version. How messages and records may change is described in
docs/upgrades.md.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

WIRE_VERSION = 2
DEFAULT_WIRE_VERSION = 1  # of a process that does not advertise its version


class Feature(Enum):
    """Optional features beyond wire version 1."""

    DEFLATE = "deflate"  # deflated frames, marked by a bit of their length
    SHARED_LOAD = "shared-load"  # `LoadUpdate`
    SESSION_ACCEPTED = "session-accepted"  # `SessionAccepted`, with what the control node supports
    AUXILIARY = "auxiliary-members"  # no message: knows auxiliary replicas from other members


class WireSupport(Struct, array_like=True, frozen=True):
    """What one process supports. Unknown feature names are ignored."""

    version: int = DEFAULT_WIRE_VERSION
    features: list[str] = []

    def includes(self, feature: Feature) -> bool:
        """Whether the process supports the feature; wire version 1 has none."""
        return self.version > DEFAULT_WIRE_VERSION and feature.value in self.features


DEFAULT_SUPPORT = WireSupport()
OWN_SUPPORT = WireSupport(WIRE_VERSION, [feature.value for feature in Feature])
