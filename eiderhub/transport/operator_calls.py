"""Requests and responses of the operator API, independent of the HTTP server."""

from __future__ import annotations

from typing import NamedTuple


class Call(NamedTuple):
    method: str
    path: str
    if_match: str  # value of the If-Match header; empty if absent
    body: bytes


class Reply(NamedTuple):
    status: int
    body: bytes = b""
    location: str = ""
