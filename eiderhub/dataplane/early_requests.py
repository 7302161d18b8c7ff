"""Buffer for requests that arrive before the first configuration, bounded in time, count and size.

Performs no I/O; callers pass the time. Requests are processed as soon as the first configuration and endpoint
list have arrived. A request held longer than its limit is refused as not executed, so that clients can retry.
"""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

MAX_HOLD_S = 1.0
HOLD_TIMEOUT_SHARE = 1 / 3  # of the client's timeout
MAX_REQUESTS = 400
MAX_BYTES = 8 << 20

T = TypeVar("T")


class HeldRequest(NamedTuple, Generic[T]):
    request: T
    held_since: float  # seconds, on the caller's clock
    expires_at: float
    size_bytes: int


class EarlyRequests(Generic[T]):
    """The held requests of one sidecar, in order of arrival."""

    def __init__(self) -> None:
        self._held: dict[int, HeldRequest[T]] = {}  # keyed by id(request)
        self._bytes = 0
        self.held_total = 0  # requests held since the start
        self.expired_total = 0  # of these, requests that reached their time limit

    def __len__(self) -> int:
        return len(self._held)

    def hold(self, now: float, request: T, size_bytes: int, timeout_s: float) -> bool:
        """Hold a request whose client allows `timeout_s`; returns False if there is no room for it."""
        if len(self._held) >= MAX_REQUESTS or self._bytes + size_bytes > MAX_BYTES:
            return False
        expires_at = now + min(MAX_HOLD_S, HOLD_TIMEOUT_SHARE * timeout_s)
        self._held[id(request)] = HeldRequest(request, now, expires_at, size_bytes)
        self._bytes += size_bytes
        self.held_total += 1
        return True

    def remove(self, request: T) -> bool:
        """Stop holding a request; returns False if it was not held."""
        held = self._held.pop(id(request), None)
        if held is None:
            return False
        self._bytes -= held.size_bytes
        return True

    def take_expired(self, now: float) -> list[T]:
        """Remove and return the requests past their time limit; the caller refuses them."""
        expired = [held.request for held in self._held.values() if now >= held.expires_at]
        for request in expired:
            self.remove(request)
        self.expired_total += len(expired)
        return expired

    def take_all(self) -> list[HeldRequest[T]]:
        """Remove and return all held requests; the caller processes them."""
        requests = list(self._held.values())
        self._held.clear()
        self._bytes = 0
        return requests
