"""Record formats of the replicated state: which ones a program reads, and which one a group may write.

A format is an integer; messages, the store and logs call it `form`. A program reads all formats up to its
newest; a group writes one that every member reads. A release that adds a format only reads it, and the next
release writes it, so that a member rolled back by one release can still read what the group has written. See
docs/upgrades.md.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

FORMAT_KEY = "group/form"
FIRST_FORMAT = 1


class RecordFormats(NamedTuple):
    """The newest record formats that one program supports."""

    reads: int = FIRST_FORMAT
    writes: int = FIRST_FORMAT  # only once all members read it


OWN_FORMATS = RecordFormats()


def decode_format(value: bytes | None) -> int:
    """The format that a group writes, from its replicated state."""
    return int(value) if value else FIRST_FORMAT


def encode_format(record_format: int) -> bytes:
    return str(record_format).encode()


def next_format(current: int, own: RecordFormats, readable_by_members: Iterable[int]) -> int | None:
    """The format that the primary may raise the group to, one step at a time; None if there is none.

    A member that cannot read the new format could no longer follow, lead or restart.
    """
    candidate = current + 1
    if candidate > own.writes or any(reads < candidate for reads in readable_by_members):
        return None
    return candidate
