"""A call of the operator, and its answer, whatever carries them."""

from __future__ import annotations

from typing import NamedTuple


class Call(NamedTuple):
    method: str
    path: str
    base: str  # the If-Match header
    body: bytes


class Reply(NamedTuple):
    status: int
    body: bytes = b""
    location: str = ""
