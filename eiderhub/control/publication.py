"""What a control node tells its sessions, and when it may tell it.

Pure. The primary tells what it has while it leads; a backup relays what the primary told it, for as long as
that is fresh. A node that has not been in contact with a majority, or with a primary that has, tells nothing.
"""

from __future__ import annotations

from typing import Any

from eiderhub.control.desk import Desk, Newest
from eiderhub.control.distribution import Subscriber, Tables
from eiderhub.control.freshness import Freshness
from eiderhub.control.messages import ConfigurationUpdate, SessionPing, SessionPong, TableUpdate
from eiderhub.coordination.replication import Replica


class Publication:
    """Of one control node: `desk` has what is committed, `freshness` is of the session with the primary."""

    def __init__(self, tables: Tables, freshness: Freshness, replica: Replica, desk: Desk[Any]) -> None:
        self._tables = tables
        self._freshness = freshness
        self._replica = replica
        self._desk = desk
        self._epoch = 0  # the last one that this node has led
        self._published: Newest | None = None  # in that epoch

    @property
    def epoch(self) -> int:
        """The last epoch that this node has led, and whose tables it has."""
        return self._epoch

    def leads(self, now: float) -> bool:
        """Whether this node leads, with the tables of its own epoch."""
        return self._replica.leads(now) and self._epoch == self._replica.epoch

    def begin(self, now: float) -> bool:
        """Whether this node leads an epoch that it has not led before; from now on its tables are of it."""
        if self._epoch == self._replica.epoch or not self._desk.leads(now):
            return False
        self._epoch = self._replica.epoch
        self._published = None
        self.follow(now)
        return True

    def follow(self, now: float) -> Newest | None:
        """Put the newest committed configuration into the tables; it, where it is new to this epoch."""
        newest = self._desk.newest(now) if self.leads(now) else None
        if newest is None or newest == self._published:
            return None
        self._published = newest
        self._tables.apply(ConfigurationUpdate(newest.generation, newest.body))
        return newest

    def age(self, now: float) -> float | None:
        """Seconds since what this node has was what the primary had; None: it must not be told."""
        return 0.0 if self.leads(now) else self._freshness.age(now)

    def pending(self, now: float, subscriber: Subscriber) -> list[TableUpdate]:
        """What the session lacks, where it may be told now."""
        return subscriber.pending(self._tables) if self.age(now) is not None else []

    def answer(
        self, now: float, subscriber: Subscriber, ping: SessionPing
    ) -> list[TableUpdate | SessionPong]:
        """What to send for a ping: what the session lacks comes before the answer that vouches for it."""
        subscriber.acknowledge(ping)
        return [*self.pending(now, subscriber), SessionPong(ping.sent_at, self.age(now))]
