"""Error kinds shared by all services, and their HTTP status codes."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

import msgspec


class ErrorKind(Enum):
    INVALID = "invalid"  # the request is malformed or violates a rule
    STALE_VERSION = "stale version"  # the request is based on a version that is not the current one
    UNKNOWN = "unknown"  # the resource does not exist
    TOO_FEW = "too few left"
    TOO_LARGE = "too large"  # the store cannot take it
    NO_ROOM = "no room"  # a quota is exhausted
    NOT_READY = "not ready"  # not attempted; another node may serve the request
    UNCERTAIN = "uncertain"  # the request may have taken effect
    FAILED = "failed"  # an endpoint failed; the request may have run


HTTP_STATUS = {
    ErrorKind.INVALID: 400,
    ErrorKind.STALE_VERSION: 412,
    ErrorKind.UNKNOWN: 404,
    ErrorKind.TOO_FEW: 409,
    ErrorKind.TOO_LARGE: 413,
    ErrorKind.NO_ROOM: 429,
    ErrorKind.NOT_READY: 503,
    ErrorKind.UNCERTAIN: 504,
    ErrorKind.FAILED: 502,
}


class Refusal(NamedTuple):
    """The reason why a request was not carried out."""

    kind: ErrorKind
    reason: str

    @property
    def status(self) -> int:
        return HTTP_STATUS[self.kind]

    def encode(self) -> bytes:
        """The body of the answer that reports it."""
        return msgspec.json.encode({"error": self.kind.value, "why": self.reason})
