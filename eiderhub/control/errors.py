"""The closed list of error kinds, and the one table that turns a kind into an answer."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class ErrorKind(Enum):
    INVALID = "invalid"  # the call can't be carried out as it stands
    STALE_VERSION = "stale version"  # another version is in place
    UNKNOWN = "unknown"  # there is no such thing
    TOO_FEW = "too few left"
    NO_ROOM = "no room"  # a quota is used up
    NOT_READY = "not ready"  # nothing was done; another node may do it
    UNCERTAIN = "uncertain"  # it may have been done
    FAILED = "failed"  # an endpoint failed, and it may have run


STATUS = {
    ErrorKind.INVALID: 400,
    ErrorKind.STALE_VERSION: 412,
    ErrorKind.UNKNOWN: 404,
    ErrorKind.TOO_FEW: 409,
    ErrorKind.NO_ROOM: 429,
    ErrorKind.NOT_READY: 503,
    ErrorKind.UNCERTAIN: 504,
    ErrorKind.FAILED: 502,
}


class Refusal(NamedTuple):
    """Why something was not done."""

    kind: ErrorKind
    why: str

    @property
    def status(self) -> int:
        return STATUS[self.kind]
