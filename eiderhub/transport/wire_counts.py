"""Counters of messages that were skipped or withheld, and of frames that could not be decoded.

There is one instance per process, shared by all connections.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

MAX_KINDS = 32  # kinds of unknown messages that are counted under their own name
OTHER_KIND = "other"  # label of all further kinds
MAX_KIND_LENGTH = 40


class FrameFault(Enum):
    """Why a frame closed its connection."""

    OVERSIZED = "oversized"  # longer than the maximum message size
    DEFLATE = "deflate"  # marked as deflated, but not valid, or inflates beyond the maximum message size
    MALFORMED = "malformed"  # not a tagged message
    INVALID = "invalid"  # known message type with a missing field, or one of the wrong type


class WireCounts:
    """Counters by kind of message or by fault."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Clear all counts."""
        self._skipped: Counter[str] = Counter()
        self._withheld: Counter[str] = Counter()
        self._faults: Counter[FrameFault] = Counter()

    def count_skipped(self, kind: str) -> None:
        """Count a message of an unknown type.

        The type name is untrusted input from a peer, so its characters, its length and the number of distinct
        labels in the metrics are limited.
        """
        label = kind[:MAX_KIND_LENGTH] if kind.isidentifier() else OTHER_KIND
        if label not in self._skipped and len(self._skipped) >= MAX_KINDS:
            label = OTHER_KIND
        self._skipped[label] += 1

    def count_withheld(self, kind: str) -> None:
        """Count a message that was not sent because the peer has not declared support for it."""
        self._withheld[kind] += 1

    def count_fault(self, fault: FrameFault) -> None:
        """Count a frame that closed its connection."""
        self._faults[fault] += 1

    def metric_lines(self) -> list[str]:
        """The counters as lines of `GET /metrics`."""
        lines = [f'wire_messages_skipped{{kind="{k}"}} {n}' for k, n in sorted(self._skipped.items())]
        lines += [f'wire_messages_withheld{{kind="{k}"}} {n}' for k, n in sorted(self._withheld.items())]
        return lines + [f'wire_frames_broken{{fault="{f.value}"}} {n}' for f, n in self._faults.items()]


WIRE_COUNTS = WireCounts()
