"""How a primary brings a replica to its own state: recent updates, or a snapshot in chunks.

A snapshot is not taken at one moment. Its chunks are read as they are sent, in the order of the keys, and the
updates made meanwhile go between them over the same ordered connection. The replica applies both to what it
stages, so that after the last chunk it has the primary's state at that chunk's position. A transfer goes on
where it broke off if the primary still knows the updates since.
"""

from __future__ import annotations

from collections import deque

from eiderhub.coordination.forms import FIRST_FORM
from eiderhub.coordination.messages import Position, Replicated, Staged, Update
from eiderhub.coordination.store import Chunk

HISTORY_UPDATES = 512  # recent updates kept in memory for replicas that are a little behind
CHUNK_BYTES = 512 << 10  # of a snapshot, in one message
CHUNKS_UNANSWERED = 4  # that a replica may have before it


class History:
    """The updates of one primary in its epoch, the latest of them."""

    def __init__(self, opened_at: Position) -> None:
        self._opened_at = opened_at  # the state that the epoch began with
        self._first_version = opened_at.version + 1
        self._updates: deque[Update] = deque(maxlen=HISTORY_UPDATES)

    def add(self, update: Update) -> None:
        self._updates.append(update)

    def knows(self, position: Position) -> bool:
        """Whether a replica's state there is a state that the primary's has been in."""
        return self._index(position) is not None

    def since(self, position: Position) -> list[Update] | None:
        """The updates that follow a state; None: it is unknown, or too old."""
        index = self._index(position)
        return None if index is None else list(self._updates)[index + 1 :]

    def _index(self, position: Position) -> int | None:
        """Of the update that led to the state; -1: the epoch began with it."""
        if not self._updates:
            return -1 if position == self._opened_at else None
        first = self._updates[0].position.version
        if position == self._opened_at and first == self._first_version:
            return -1
        index = position.version - first
        if not 0 <= index < len(self._updates) or self._updates[index].position != position:
            return None
        return index


class SnapshotTransfer:
    """A snapshot on its way to one replica."""

    __slots__ = ("_sent_at", "_unanswered", "finished", "through")

    def __init__(self, resumed: Staged | None) -> None:
        self.through = resumed.through if resumed else ""  # keys up to here have been sent
        self.finished = False  # the last chunk has been sent
        self._sent_at = 0.0  # when a chunk was sent last
        self._unanswered: deque[str] = deque()  # where the chunks end that were not answered yet

    @property
    def may_send(self) -> bool:
        return not self.finished and len(self._unanswered) < CHUNKS_UNANSWERED

    def sent(self, now: float, chunk: Chunk) -> None:
        self._sent_at = now
        self.through = chunk.through
        self.finished = chunk.last
        self._unanswered.append(chunk.through)

    def is_lost(self, told: Replicated) -> bool:
        """Whether a chunk has not arrived, by an answer to what was sent after all of them."""
        through = told.staged.through if told.staged is not None else None
        return told.sent_at > self._sent_at and through != self.through

    def answered(self, through: str) -> None:
        """The replica has staged the keys up to there."""
        while self._unanswered and self._unanswered[0] <= through:
            self._unanswered.popleft()


class Peer:
    """What a primary knows of another replica."""

    __slots__ = ("caught_up_at", "heard", "matched", "reads_form", "sent", "transfer")

    def __init__(self, now: float) -> None:
        self.caught_up_at = 0.0  # when it was last sent what it lacked
        self.heard = now  # when it answered last
        self.matched: Position | None = None  # synced there, as told in this epoch
        self.reads_form = FIRST_FORM  # newest form of the state that it has said that it reads
        self.sent: Position | None = None  # sent up to here on this connection; None: ask first
        self.transfer: SnapshotTransfer | None = None

    def disconnected(self) -> None:
        """What was sent on the old connection may be lost."""
        self.sent = None
        self.transfer = None
        self.reads_form = FIRST_FORM  # another program may have been started there
