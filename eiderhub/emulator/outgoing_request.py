"""One client request on a connection pool: its deadline, its outcome, and at most one resend."""

from __future__ import annotations

import asyncio

from eiderhub.emulator.clock import Clock
from eiderhub.http1 import ConnectionPool, Reply
from eiderhub.interface import Effect
from eiderhub.world.clients import End


def render_request(
    request_id: str,
    class_name: str,
    effect: Effect,
    deadline_ms: int,
    tenant: str | None,
    idempotency_key: str | None,
    body: bytes,
    is_retry: bool = False,
) -> bytes:
    """Encode a request as PROTOCOL specifies it; idempotent requests are GETs without a body."""
    idempotent = effect is Effect.IDEMPOTENT
    lines = [
        f"{'GET' if idempotent else 'POST'} /{class_name} HTTP/1.1",
        "Host: service.internal",
        f"Req-Id: {request_id}",
        f"Req-Deadline-Ms: {deadline_ms}",
    ]
    if tenant is not None:
        lines.append(f"Req-Owner: {tenant}")
    if idempotency_key is not None:
        lines.append(f"Idempotency-Key: {idempotency_key}")
    if is_retry:
        lines.append("Req-Retry: 1")
    if not idempotent:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (b"" if idempotent else body)


def classify_status(status: int) -> End:
    """Map a sidecar's response status to the outcome of the request, as tabulated in PROTOCOL."""
    if status == 200:
        return End.SERVED
    return End.REFUSED if status in (429, 503) else End.FAILED


class OutgoingRequest:
    """A request that has been sent and has no outcome yet.

    Subclasses interpret the reply and receive exactly one outcome, unless the request is cancelled.
    """

    def __init__(self, clock: Clock, pool: ConnectionPool, data: bytes, deadline_us: int) -> None:
        self.clock = clock
        self.deadline_us = deadline_us
        self._pool = pool
        self._data = data
        self._finished = False
        self._resent = False
        self._timeout = clock.call_at(deadline_us, self._on_timeout)
        self._pending = pool.send(data, self)

    # --- implemented by subclasses ---

    def classify_reply(self, reply: Reply) -> End:
        """Return the outcome of the request, given its complete reply."""
        raise NotImplementedError

    def should_resend(self, first: bool) -> bool:
        """Whether to resend the request once on a new connection, after its connection ended without a reply.

        That is safe if the peer closed the connection before it had read the request. `first`: no earlier
        request had used the connection.
        """
        raise NotImplementedError

    def on_finished(self, end: End, reply: Reply | None) -> None:
        """Receive the outcome; `reply` is None if there was no complete one."""
        raise NotImplementedError

    def on_cancelled(self) -> None:
        """Called after the request was cancelled or timed out and its connection was closed."""

    # --- lifecycle ---

    def cancel(self) -> None:
        """Cancel the request and close its connection, without reporting an outcome."""
        self._finished = True
        self._timeout.cancel()
        self._pending.cancel()
        self.on_cancelled()

    def _on_timeout(self) -> None:
        """Close the connection and report the request as given up."""
        if not self._finished:
            self.cancel()
            self.on_finished(End.GIVEN_UP, None)

    def _finish(self, end: End, reply: Reply | None = None) -> None:
        if not self._finished:
            self._finished = True
            self._timeout.cancel()
            self.on_finished(end, reply)

    def on_written(self) -> None: ...

    def on_reply(self, reply: Reply) -> None:
        self._finish(self.classify_reply(reply), reply)

    def on_broken(self, first: bool) -> None:
        if self.should_resend(first) and not self._resent and self.clock.now_us() < self.deadline_us:
            self._resent = True
            asyncio.get_running_loop().call_soon(self._resend)
        else:
            self._finish(End.BROKEN)

    def _resend(self) -> None:
        if not self._finished:
            self._pending = self._pool.send(self._data, self, new_connection=True)

    def on_unreachable(self) -> None:
        self._finish(End.UNREACHABLE)
