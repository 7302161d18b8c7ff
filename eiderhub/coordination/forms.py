"""Forms of the replicated state's records: which a program reads, and which a group may write.

A form is a whole number. A program reads all forms up to its newest; a group writes one that each of its
members reads. A landing that brings a new form only reads it, the landing after it writes it: so a member
that is put back by one landing still reads what the group has written. See docs/upgrades.md.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

FORM_KEY = "group/form"
FIRST_FORM = 1


class StateForms(NamedTuple):
    """What one program does."""

    reads: int = FIRST_FORM  # the newest form that it reads
    writes: int = FIRST_FORM  # the newest that it writes, once all members read it


OWN_FORMS = StateForms()


def decode_form(value: bytes | None) -> int:
    """The form that a group writes, as its state says."""
    return int(value) if value else FIRST_FORM


def encode_form(form: int) -> bytes:
    return str(form).encode()


def next_form(current: int, own: StateForms, members_read: Iterable[int]) -> int | None:
    """The form that the primary may go on to, one at a time; None: none.

    Danger: a member that does not read it could not follow, nor lead, nor start again.
    """
    wanted = current + 1
    if wanted > own.writes or any(reads < wanted for reads in members_read):
        return None
    return wanted
