"""What a control node sends to its sessions, and when it may send it.

Performs no I/O. The primary sends its tables while it leads; a backup relays the tables that it received from
the primary while they are fresh. A node without recent contact to a majority, or to a primary with such
contact, sends nothing.
"""

from __future__ import annotations

from typing import Any

from eiderhub.control.change_processor import ChangeProcessor, CommittedConfiguration
from eiderhub.control.distribution import Subscriber, Tables
from eiderhub.control.freshness import Freshness
from eiderhub.control.messages import ConfigurationUpdate, SessionPing, SessionPong, TableUpdate
from eiderhub.coordination.replication import Replica


class Publication:
    """Publishes the tables of one control node.

    `change_processor` has the committed configuration, `freshness` belongs to the session with the primary.
    """

    def __init__(
        self, tables: Tables, freshness: Freshness, replica: Replica, change_processor: ChangeProcessor[Any]
    ) -> None:
        self._tables = tables
        self._freshness = freshness
        self._replica = replica
        self._change_processor = change_processor
        self._epoch = 0  # the last epoch that this node led
        self._published: CommittedConfiguration | None = None  # configuration published in `_epoch`

    @property
    def epoch(self) -> int:
        """The last epoch that this node led and built tables for."""
        return self._epoch

    def leads(self, now: float) -> bool:
        """Whether this node leads and its tables belong to the current epoch."""
        return self._replica.leads(now) and self._epoch == self._replica.epoch

    def begin_epoch(self, now: float) -> bool:
        """Start publishing a new epoch if this node leads one; returns whether it does."""
        if self._epoch == self._replica.epoch or not self._change_processor.leads(now):
            return False
        self._epoch = self._replica.epoch
        self._published = None
        self.publish_newest(now)
        return True

    def publish_newest(self, now: float) -> CommittedConfiguration | None:
        """Put the newest committed configuration into the tables; returns it if it is new in this epoch."""
        newest = self._change_processor.newest(now) if self.leads(now) else None
        if newest is None or newest == self._published:
            return None
        self._published = newest
        self._tables.apply(ConfigurationUpdate(newest.generation, newest.body))
        return newest

    def age(self, now: float) -> float | None:
        """The age in seconds of this node's tables behind the primary's; None if they must not be sent."""
        return 0.0 if self.leads(now) else self._freshness.age(now)

    def next_updates(self, now: float, subscriber: Subscriber) -> list[TableUpdate]:
        """The updates that the session lacks, if this node may send them now."""
        return subscriber.next_updates(self._tables) if self.age(now) is not None else []

    def answer(
        self, now: float, subscriber: Subscriber, ping: SessionPing
    ) -> list[TableUpdate | SessionPong]:
        """The messages that answer a ping.

        Updates precede the pong, which confirms the age of everything that was sent before it.
        """
        subscriber.acknowledge(ping)
        return [*self.next_updates(now, subscriber), SessionPong(ping.sent_at, self.age(now))]
