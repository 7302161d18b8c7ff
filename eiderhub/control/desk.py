"""The primary's desk for changes of the configuration: one at a time, each with one answer.

Pure: it is told the time, and asked for answers after each step of its replica. What it promises:

* a change is acknowledged once it is committed in the epoch of the primary that acknowledges it;
* of two changes on the same version one is taken; a change that was taken is acknowledged again when it is
  sent again, or left without a clear answer, however much has changed since;
* what is read is the newest committed configuration, never one that is written and not committed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from enum import Enum
from typing import Generic, NamedTuple, Protocol, TypeVar

from result import Err, Result

from eiderhub.control import configuration
from eiderhub.control.configuration import CURRENT_KEY, FORGOTTEN_KEY, TAKEN_PREFIX, Accepted, Change
from eiderhub.control.errors import ErrorKind, Refusal
from eiderhub.coordination.commits import CommitQueue, Fate
from eiderhub.coordination.replication import Replica
from eiderhub.coordination.store import StoreFailed

T = TypeVar("T")


class Reader(Protocol):
    """The control state."""

    def get(self, key: str) -> bytes | None: ...

    def scan(self, prefix: str) -> Iterable[tuple[str, bytes]]: ...


class Outcome(Enum):
    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    NOT_PRIMARY = "not primary"  # nothing was done here
    UNKNOWN = "unknown"  # it may be in force, now or later


class Answer(NamedTuple, Generic[T]):
    caller: T
    outcome: Outcome
    refusal: Refusal | None = None


class Newest(NamedTuple):
    """The newest committed configuration."""

    generation: int
    body: bytes  # JSON


class _Order(NamedTuple, Generic[T]):
    change: Change
    caller: T


class Desk(Generic[T]):
    def __init__(self, replica: Replica, reader: Reader) -> None:
        self._replica = replica
        self._reader = reader
        self._epoch = 0  # that `newest` is of
        self._newest: Newest | None = None
        self._document: configuration.Document | None = None  # of `newest`
        self._taken: list[int] = []  # generations whose changes are remembered, rising
        self._queue: deque[_Order[T]] = deque()
        self._under_way: _Order[T] | None = None
        self._commits: CommitQueue[_Order[T]] = CommitQueue(replica)

    def submit(self, change: Change, caller: T) -> None:
        """Take an order; `step` answers it."""
        self._queue.append(_Order(change, caller))

    def newest(self, now: float) -> Newest | None:
        """What a reader may be told; None: this replica does not lead, or there is no configuration."""
        return self._newest if self.leads(now) else None

    def leads(self, now: float) -> bool:
        """Whether the replica leads, and the desk has what its epoch began with."""
        self._follow(now)
        return self._replica.leads(now) and self._is_current()

    def step(self, now: float) -> list[Answer[T]]:
        """Go on with the orders, and tell the answers that are known."""
        self._follow(now)
        answers = self._conclude()
        while self._queue and not self._is_busy():
            answer = self._begin(now, self._queue.popleft())
            if answer is not None:
                answers.append(answer)
            answers += self._conclude()
        return answers

    # --- the state that is committed ---

    def _follow(self, now: float) -> None:
        """Begin a new epoch with what its state holds, all of which is committed."""
        if not self._is_current() and self._replica.settled(now):
            self._epoch = self._replica.epoch
            self._read_newest()
            keys = (key.removeprefix(TAKEN_PREFIX) for key, _ in self._reader.scan(TAKEN_PREFIX))
            self._taken = sorted(int(key) for key in keys)

    def _is_current(self) -> bool:
        return self._epoch == self._replica.epoch

    def _read_newest(self) -> None:
        body = self._reader.get(CURRENT_KEY)
        if body is None:
            self._newest = self._document = None
        elif self._newest is None or self._newest.body != body:
            self._document = configuration.stored(body)
            self._newest = Newest(self._document["generation"], body)

    # --- changes ---

    def _is_busy(self) -> bool:
        """Whether a change is under way: the next one waits for its end."""
        return self._under_way is not None

    def _begin(self, now: float, order: _Order[T]) -> Answer[T] | None:
        if not self.leads(now):
            return Answer(order.caller, Outcome.NOT_PRIMARY)
        decided = self._decide(order.change)
        if isinstance(decided, Err):
            return self._refused(order, decided.err_value)
        accepted = decided.ok_value
        try:
            if accepted.writes:
                position = self._replica.propose(now, accepted.writes)
            else:
                position = self._replica.position
        except StoreFailed:
            return Answer(order.caller, Outcome.UNKNOWN)
        self._under_way = order
        self._commits.add(position, order)
        return None

    def _decide(self, change: Change) -> Result[Accepted, Refusal]:
        found = configuration.read(change.body)
        if isinstance(found, Err):
            return found
        document = found.ok_value
        forgotten = int(self._reader.get(FORGOTTEN_KEY) or 0)
        taken = self._reader.get(f"{TAKEN_PREFIX}{document.get('generation')}")
        decided = configuration.decide(self._document, taken, forgotten, change, document)
        return decided.map(self._with_purge)

    def _with_purge(self, accepted: Accepted) -> Accepted:
        """A change that is taken also makes room for itself among those remembered."""
        return accepted._replace(writes=accepted.writes + configuration.purge(self._taken, accepted))

    @staticmethod
    def _refused(order: _Order[T], refusal: Refusal) -> Answer[T]:
        outcome = Outcome.UNKNOWN if refusal.kind is ErrorKind.UNCERTAIN else Outcome.REFUSED
        return Answer(order.caller, outcome, refusal)

    def _conclude(self) -> list[Answer[T]]:
        """The answers to changes whose fate is known now."""
        return [self._concluded(order, fate) for order, fate in self._commits.take()]

    def _concluded(self, order: _Order[T], fate: Fate) -> Answer[T]:
        self._under_way = None
        if fate is not Fate.COMMITTED:
            return Answer(order.caller, Outcome.UNKNOWN)
        before = self._newest
        self._read_newest()
        if self._newest is not None and self._newest != before:
            self._remember(self._newest.generation)
        return Answer(order.caller, Outcome.ACKNOWLEDGED)

    def _remember(self, generation: int) -> None:
        forgotten = int(self._reader.get(FORGOTTEN_KEY) or 0)
        self._taken = [each for each in self._taken if each > forgotten]
        self._taken.append(generation)
