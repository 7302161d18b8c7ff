"""What this process could not take of its peers, or did not send them: figures for on-call staff.

One instance for the whole process, as for traffic between zones.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

MOST_NAMES = 32  # of unknown messages that are counted by name
OTHER = "other"  # all further names together
MOST_NAME_LENGTH = 40


class FrameFault(Enum):
    """Why a frame ends its connection."""

    OVERSIZED = "oversized"  # longer than a message may be
    DEFLATE = "deflate"  # it says that it is deflated, and is not, or inflates to more than a message may be
    MALFORMED = "malformed"  # no message at all
    INVALID = "invalid"  # a message of a known type that lacks a field, or has one of another type


class WireCounts:
    """Counts by kind of message, or by fault."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget all counts."""
        self._skipped: Counter[str] = Counter()
        self._withheld: Counter[str] = Counter()
        self._faults: Counter[FrameFault] = Counter()

    def skipped(self, kind: str) -> None:
        """A message of a type that this program does not know has come.

        Danger: the name comes from a peer, and a page of figures must stay short.
        """
        name = kind[:MOST_NAME_LENGTH] if kind.isidentifier() else OTHER
        if name not in self._skipped and len(self._skipped) >= MOST_NAMES:
            name = OTHER
        self._skipped[name] += 1

    def withheld(self, kind: str) -> None:
        """A message was not sent, since the peer has not said that it takes it."""
        self._withheld[kind] += 1

    def broken(self, fault: FrameFault) -> None:
        """A frame has ended its connection."""
        self._faults[fault] += 1

    def lines(self) -> list[str]:
        """The figures, one a line, for `GET /metrics`."""
        lines = [f'wire_messages_skipped{{kind="{k}"}} {n}' for k, n in sorted(self._skipped.items())]
        lines += [f'wire_messages_withheld{{kind="{k}"}} {n}' for k, n in sorted(self._withheld.items())]
        return lines + [f'wire_frames_broken{{fault="{f.value}"}} {n}' for f, n in self._faults.items()]


WIRE_COUNTS = WireCounts()
