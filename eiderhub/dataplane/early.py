"""Requests that reach a sidecar before it knows any route: held for a bounded time, number and size.

Pure: it is told the time. A request is decided on as soon as the first configuration and list are there; past
its bound it is refused at once, with the promise that it has not run.
"""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

HOLD_S = 1.0  # at most
HOLD_SHARE = 1 / 3  # of the time that the request's client allows
MOST_REQUESTS = 400
MOST_BYTES = 8 << 20

T = TypeVar("T")


class Held(NamedTuple, Generic[T]):
    request: T
    since: float  # seconds, of the caller's clock
    until: float
    size: int  # bytes


class EarlyRequests(Generic[T]):
    """Of one sidecar, in the order in which they came."""

    def __init__(self) -> None:
        self._held: dict[int, Held[T]] = {}  # by the request's identity
        self._bytes = 0
        self.total = 0  # that were ever held
        self.refused = 0  # of them, past their bound

    def __len__(self) -> int:
        return len(self._held)

    def hold(self, now: float, request: T, size: int, allowed_s: float) -> bool:
        """Keep a request whose client allows so much time; false: there is no room for it."""
        if len(self._held) >= MOST_REQUESTS or self._bytes + size > MOST_BYTES:
            return False
        until = now + min(HOLD_S, HOLD_SHARE * allowed_s)
        self._held[id(request)] = Held(request, now, until, size)
        self._bytes += size
        self.total += 1
        return True

    def remove(self, request: T) -> bool:
        """Its client has gone, or it is decided on; false: it is not held."""
        held = self._held.pop(id(request), None)
        if held is None:
            return False
        self._bytes -= held.size
        return True

    def overdue(self, now: float) -> list[T]:
        """Those past their bound, which are held no more: they are to be refused."""
        found = [held.request for held in self._held.values() if now >= held.until]
        for request in found:
            self.remove(request)
        self.refused += len(found)
        return found

    def release(self) -> list[Held[T]]:
        """All, which are held no more: they are to be decided on."""
        found = list(self._held.values())
        self._held.clear()
        self._bytes = 0
        return found
