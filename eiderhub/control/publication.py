"""What a control node tells its sessions, and when it may tell it.

Pure. The primary tells what it has while it leads; a backup relays what the primary told it, for as long as
that is fresh. A node that has not been in contact with a majority, or with a primary that has, tells nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from eiderhub.control.distribution import Subscriber, Tables
from eiderhub.control.freshness import Freshness
from eiderhub.control.messages import SessionPing, SessionPong, TableUpdate


class Publication:
    """`leads` says whether this node leads with the tables of its own epoch, at a moment."""

    def __init__(self, tables: Tables, freshness: Freshness, leads: Callable[[float], bool]) -> None:
        self._tables = tables
        self._freshness = freshness
        self._leads = leads

    def age(self, now: float) -> float | None:
        """Seconds since what this node has was what the primary had; None: it must not be told."""
        return 0.0 if self._leads(now) else self._freshness.age(now)

    def pending(self, now: float, subscriber: Subscriber) -> list[TableUpdate]:
        """What the session lacks, where it may be told now."""
        return subscriber.pending(self._tables) if self.age(now) is not None else []

    def answer(
        self, now: float, subscriber: Subscriber, ping: SessionPing
    ) -> list[TableUpdate | SessionPong]:
        """What to send for a ping: what the session lacks comes before the answer that vouches for it."""
        subscriber.acknowledge(ping)
        return [*self.pending(now, subscriber), SessionPong(ping.sent_at, self.age(now))]
