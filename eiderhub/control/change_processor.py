"""Processes configuration changes on the primary: one at a time, with exactly one result each.

Performs no I/O: callers pass the time, and collect results after each step of the replica. It guarantees:

* a change is acknowledged only once it is committed in the epoch of the primary that acknowledges it;
* of two changes to the same generation only one is accepted; an accepted change that is sent again is
  acknowledged again or gets an uncertain answer, however many changes followed, but is never refused;
* reads return the newest committed configuration, never one that is written but not committed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from enum import Enum
from typing import Generic, NamedTuple, Protocol, TypeVar

from result import Err, Result

from eiderhub.control import configuration
from eiderhub.control.configuration import (
    CHANGE_DIGEST_PREFIX,
    CURRENT_KEY,
    LAST_PURGED_KEY,
    Accepted,
    Change,
    CheckedBody,
)
from eiderhub.control.errors import ErrorKind, Refusal
from eiderhub.coordination.commits import CommitOutcome, CommitQueue
from eiderhub.coordination.replication import Replica
from eiderhub.coordination.store import StoreFailed, WriteRejected

T = TypeVar("T")


class StateReader(Protocol):
    """Read access to the replicated control state."""

    def get(self, key: str) -> bytes | None: ...

    def scan(self, prefix: str) -> Iterable[tuple[str, bytes]]: ...


class ChangeOutcome(Enum):
    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    NOT_PRIMARY = "not primary"  # the change was not attempted
    UNKNOWN = "unknown"  # it may be in force, or come into force later


class ChangeResult(NamedTuple, Generic[T]):
    caller: T
    outcome: ChangeOutcome
    refusal: Refusal | None = None


class CommittedConfiguration(NamedTuple):
    """A committed configuration as stored."""

    generation: int
    body: bytes  # JSON


class _PendingChange(NamedTuple, Generic[T]):
    change: Change
    caller: T
    checked: CheckedBody | None


class ChangeProcessor(Generic[T]):
    def __init__(self, replica: Replica, state: StateReader) -> None:
        self._replica = replica
        self._state = state
        self._epoch = 0  # epoch that `_newest` was read in
        self._newest: CommittedConfiguration | None = None
        self._document: configuration.Document | None = None  # `_newest`, parsed
        self._retained: list[int] = []  # generations whose change digests are stored, ascending
        self._queue: deque[_PendingChange[T]] = deque()
        self._in_progress: _PendingChange[T] | None = None
        self._commits: CommitQueue[_PendingChange[T]] = CommitQueue(replica)

    @property
    def document(self) -> configuration.Document:
        """The newest configuration that was read here; empty if there is none."""
        return self._document or {}

    def submit(self, change: Change, caller: T, checked: CheckedBody | None = None) -> None:
        """Queue a change; `step` returns its result. `checked`: its body, if it has been checked."""
        self._queue.append(_PendingChange(change, caller, checked))

    def newest(self, now: float) -> CommittedConfiguration | None:
        """The newest committed configuration; None if this replica does not lead or there is none."""
        return self._newest if self.leads(now) else None

    def leads(self, now: float) -> bool:
        """Whether the replica leads and the state at the start of its epoch has been read."""
        self._enter_epoch(now)
        return self._replica.leads(now) and self._is_current()

    def step(self, now: float) -> list[ChangeResult[T]]:
        """Start queued changes and return the results that are known."""
        self._enter_epoch(now)
        results = self._collect_results()
        while self._queue and not self._is_busy():
            result = self._begin(now, self._queue.popleft())
            if result is not None:
                results.append(result)
            results += self._collect_results()
        return results

    # --- committed state ---

    def _enter_epoch(self, now: float) -> None:
        """On a new epoch, read the state once all of it is committed."""
        if not self._is_current() and self._replica.all_committed(now):
            self._epoch = self._replica.epoch
            self._read_newest()
            keys = (
                key.removeprefix(CHANGE_DIGEST_PREFIX) for key, _ in self._state.scan(CHANGE_DIGEST_PREFIX)
            )
            self._retained = sorted(int(key) for key in keys)

    def _is_current(self) -> bool:
        return self._epoch == self._replica.epoch

    def _read_newest(self) -> None:
        body = self._state.get(CURRENT_KEY)
        if body is None:
            self._newest = self._document = None
        elif self._newest is None or self._newest.body != body:
            self._document = configuration.parse_stored(body)
            self._newest = CommittedConfiguration(self._document["generation"], body)

    # --- changes ---

    def _is_busy(self) -> bool:
        """Whether a change is in progress; the next one waits until it has ended."""
        return self._in_progress is not None

    def _begin(self, now: float, pending: _PendingChange[T]) -> ChangeResult[T] | None:
        if not self.leads(now):
            return ChangeResult(pending.caller, ChangeOutcome.NOT_PRIMARY)
        decision = self._decide(pending.change, pending.checked)
        if isinstance(decision, Err):
            return self._refusal_result(pending, decision.err_value)
        accepted = decision.ok_value
        try:
            self._replica.store.check_writes(accepted.writes)
        except WriteRejected as error:
            return self._refusal_result(pending, Refusal(ErrorKind.TOO_LARGE, str(error)))
        try:
            if accepted.writes:
                position = self._replica.propose(now, accepted.writes)
            else:
                position = self._replica.position
        except WriteRejected:  # the store is full
            return ChangeResult(pending.caller, ChangeOutcome.NOT_PRIMARY)
        except StoreFailed:
            return ChangeResult(pending.caller, ChangeOutcome.UNKNOWN)
        self._in_progress = pending
        self._commits.add(position, pending)
        return None

    def _decide(self, change: Change, checked: CheckedBody | None) -> Result[Accepted, Refusal]:
        parsed, items = checked or (configuration.parse(change.body), None)
        if isinstance(parsed, Err):
            return parsed
        document = parsed.ok_value
        generation = configuration.requested_generation(document)
        if isinstance(generation, Err):
            return generation
        last_purged = int(self._state.get(LAST_PURGED_KEY) or 0)
        recorded_digest = self._state.get(f"{CHANGE_DIGEST_PREFIX}{generation.ok_value}")
        decision = configuration.decide(self._document, recorded_digest, last_purged, change, document, items)
        return decision.map(self._with_purge)

    def _with_purge(self, accepted: Accepted) -> Accepted:
        """Add the writes that keep the number of stored digests bounded."""
        return accepted._replace(writes=accepted.writes + configuration.purge(self._retained, accepted))

    @staticmethod
    def _refusal_result(pending: _PendingChange[T], refusal: Refusal) -> ChangeResult[T]:
        outcome = ChangeOutcome.UNKNOWN if refusal.kind is ErrorKind.UNCERTAIN else ChangeOutcome.REFUSED
        return ChangeResult(pending.caller, outcome, refusal)

    def _collect_results(self) -> list[ChangeResult[T]]:
        """Results of changes that are committed, or whose outcome is unknown because the epoch has ended."""
        return [self._complete(pending, outcome) for pending, outcome in self._commits.take_resolved()]

    def _complete(self, pending: _PendingChange[T], outcome: CommitOutcome) -> ChangeResult[T]:
        self._in_progress = None
        if outcome is not CommitOutcome.COMMITTED:
            return ChangeResult(pending.caller, ChangeOutcome.UNKNOWN)
        previous = self._newest
        self._read_newest()
        if self._newest is not None and self._newest != previous:
            self._retain(self._newest.generation)
        return ChangeResult(pending.caller, ChangeOutcome.ACKNOWLEDGED)

    def _retain(self, generation: int) -> None:
        last_purged = int(self._state.get(LAST_PURGED_KEY) or 0)
        self._retained = [retained for retained in self._retained if retained > last_purged]
        self._retained.append(generation)
