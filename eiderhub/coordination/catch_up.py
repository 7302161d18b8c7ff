"""How a primary brings another replica up to date: with recent updates or with a snapshot sent in chunks.

A snapshot is not taken at one point in time. Its chunks are read as they are sent, in key order, and the
updates made in the meantime are sent between them over the same ordered connection. The replica applies both
to its staged copy, so that after the last chunk it holds the primary's state at that chunk's position. An
interrupted transfer is resumed if the primary still has the updates made since the staged position.
"""

from __future__ import annotations

from collections import deque

from eiderhub.coordination.forms import FIRST_FORMAT
from eiderhub.coordination.messages import Position, Replicated, Staged, Update
from eiderhub.coordination.store import Chunk

HISTORY_UPDATES = 512  # recent updates retained in memory for replicas that are slightly behind
CHUNK_BYTES = 512 << 10  # of snapshot data in one message
MAX_UNACKNOWLEDGED_CHUNKS = 4  # in flight to one replica


class History:
    """The most recent updates that a primary made in its epoch."""

    def __init__(self, initial_position: Position) -> None:
        self._initial_position = initial_position  # at the start of the epoch
        self._first_version = initial_position.version + 1
        self._updates: deque[Update] = deque(maxlen=HISTORY_UPDATES)

    def add(self, update: Update) -> None:
        self._updates.append(update)

    def contains(self, position: Position) -> bool:
        """Whether the primary has been at this position, as far as the retained updates show."""
        return self._index_of(position) is not None

    def since(self, position: Position) -> list[Update] | None:
        """The updates that follow a position; None if it is unknown or too old."""
        index = self._index_of(position)
        return None if index is None else list(self._updates)[index + 1 :]

    def _index_of(self, position: Position) -> int | None:
        """Index of the update that led to the position; -1 if the epoch started at it."""
        if not self._updates:
            return -1 if position == self._initial_position else None
        first = self._updates[0].position.version
        if position == self._initial_position and first == self._first_version:
            return -1
        index = position.version - first
        if not 0 <= index < len(self._updates) or self._updates[index].position != position:
            return None
        return index


class SnapshotTransfer:
    """The progress of sending a snapshot to one replica."""

    __slots__ = ("_last_sent_at", "_unacknowledged", "finished", "through")

    def __init__(self, resumed: Staged | None) -> None:
        self.through = resumed.through if resumed else ""  # last key that has been sent
        self.finished = False  # whether the last chunk has been sent
        self._last_sent_at = 0.0
        self._unacknowledged: deque[str] = deque()  # last key of each chunk in flight

    @property
    def can_send(self) -> bool:
        return not self.finished and len(self._unacknowledged) < MAX_UNACKNOWLEDGED_CHUNKS

    def record_sent(self, now: float, chunk: Chunk) -> None:
        self._last_sent_at = now
        self.through = chunk.through
        self.finished = chunk.last
        self._unacknowledged.append(chunk.through)

    def lost_chunk(self, reply: Replicated) -> bool:
        """Whether a reply to a message sent after all chunks shows that one of them did not arrive."""
        through = reply.staged.through if reply.staged is not None else None
        return reply.sent_at > self._last_sent_at and through != self.through

    def record_acknowledged(self, through: str) -> None:
        """The replica has staged all keys up to `through`."""
        while self._unacknowledged and self._unacknowledged[0] <= through:
            self._unacknowledged.popleft()


class Peer:
    """What a primary knows about another replica."""

    __slots__ = (
        "catch_up_sent_at", "has_replied", "last_heard_at", "readable_format", "sent_position",
        "snapshot_transfer", "synced_position",
    )  # fmt: skip

    def __init__(self, now: float) -> None:
        self.catch_up_sent_at = 0.0  # when missing updates or a snapshot were last sent to it
        self.has_replied = False  # in this epoch
        self.last_heard_at = now  # when its last reply arrived
        self.synced_position: Position | None = None  # as reported in this epoch
        self.readable_format = FIRST_FORMAT  # newest record format that it has reported
        self.sent_position: Position | None = None  # sent on this connection; None: unknown
        self.snapshot_transfer: SnapshotTransfer | None = None

    def reset_connection(self) -> None:
        """Discard what was recorded as sent on the previous connection: it may be lost."""
        self.sent_position = None
        self.snapshot_transfer = None
        self.readable_format = FIRST_FORMAT  # a different program version may be running there now
