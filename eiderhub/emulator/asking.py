"""One request, from its sending to its end: its patience, and the one time that it may be sent again."""

from __future__ import annotations

import asyncio

from eiderhub.emulator.clock import Clock
from eiderhub.http1 import ConnectionPool, Reply
from eiderhub.interface import Effect
from eiderhub.world.clients import End


def render(
    name: str,
    grade: str,
    effect: Effect,
    deadline_ms: int,
    tenant: str | None,
    key: str | None,
    body: bytes,
    repeat: bool = False,
) -> bytes:
    """A request as PROTOCOL has it; what is safe to repeat has no body."""
    idempotent = effect is Effect.IDEMPOTENT
    lines = [
        f"{'GET' if idempotent else 'POST'} /{grade} HTTP/1.1",
        "Host: service.internal",
        f"Req-Id: {name}",
        f"Req-Deadline-Ms: {deadline_ms}",
    ]
    if tenant is not None:
        lines.append(f"Req-Owner: {tenant}")
    if key is not None:
        lines.append(f"Idempotency-Key: {key}")
    if repeat:
        lines.append("Req-Retry: 1")
    if not idempotent:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (b"" if idempotent else body)


def end_of(status: int) -> End:
    """PROTOCOL's table of what a sidecar answers."""
    if status == 200:
        return End.SERVED
    return End.REFUSED if status in (429, 503) else End.FAILED


class Asking:
    """Who asks says what an answer means, and hears of one end."""

    def __init__(self, clock: Clock, pool: ConnectionPool, data: bytes, until_us: int) -> None:
        self.clock = clock
        self.until_us = until_us
        self._pool = pool
        self._data = data
        self._over = False
        self._resent = False
        self._alarm = clock.at(until_us, self._give_up)
        self._ticket = pool.send(data, self)

    # --- for who asks to say ---

    def meaning(self, reply: Reply) -> End:
        """How a whole answer ends the request."""
        raise NotImplementedError

    def crossed(self, first: bool) -> bool:
        """The connection ended without an answer: did that cross the request, unread, on its way?

        Then it is sent once more on a new connection. `first`: the connection had carried nothing before.
        """
        raise NotImplementedError

    def ended(self, end: End, reply: Reply | None) -> None:
        raise NotImplementedError

    def left(self) -> None:
        """The connection was closed: nobody waits for the answer any more."""

    # --- its course ---

    def drop(self) -> None:
        """Nobody waits for it any more, and nobody is told of its end."""
        self._over = True
        self._alarm.cancel()
        self._ticket.cancel()
        self.left()

    def _give_up(self) -> None:
        """The time for it is over: its caller closes the connection and goes."""
        if not self._over:
            self.drop()
            self.ended(End.GIVEN_UP, None)

    def _end(self, end: End, reply: Reply | None = None) -> None:
        if not self._over:
            self._over = True
            self._alarm.cancel()
            self.ended(end, reply)

    def on_written(self) -> None: ...

    def on_reply(self, reply: Reply) -> None:
        self._end(self.meaning(reply), reply)

    def on_broken(self, first: bool) -> None:
        if self.crossed(first) and not self._resent and self.clock.now_us() < self.until_us:
            self._resent = True
            asyncio.get_running_loop().call_soon(self._resend)
        else:
            self._end(End.BROKEN)

    def _resend(self) -> None:
        if not self._over:
            self._ticket = self._pool.send(self._data, self, new_connection=True)

    def on_unreachable(self) -> None:
        self._end(End.UNREACHABLE)
