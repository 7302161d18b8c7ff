"""Primary-backup replication of a keyed state, with epochs that a majority of witnesses grants.

A pure state machine: it is told the time and what arrives, and leaves what is to be sent in `outbox`. The
witness of a replica stores the epoch that it has granted last and nothing else; the replica stores the state
itself and how far it has come. There is no log: a replica that is too far behind is sent the whole state.

Guarantees, each held by tests/test_replication.py:

* one primary acknowledges writes in an epoch;
* a write is committed once a majority of the members has synced it, and every later primary has it;
* `leads` is true only while a majority has answered within the lease, which a frozen process outlives.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple, Protocol

import msgspec

from eiderhub.coordination.messages import (
    EpochAnswer,
    InstallSnapshot,
    Position,
    ReplicaMessage,
    Replicate,
    Replicated,
    RequestEpoch,
    TakeOver,
    Update,
    Write,
)

MEMBERS_KEY = "group/members"
NOWHERE = Position(0, 0)
HISTORY_UPDATES = 512  # recent updates kept in memory for replicas that are a little behind
TRANSFER_S = 1.5  # a planned transfer is given up after so long


class Timing(NamedTuple):
    """Seconds. The lease must be shorter than the least election wait."""

    heartbeat: float = 0.1
    lease: float = 0.35
    election_least: float = 0.45
    election_spread: float = 0.25
    first_election: float = 0.1  # wait of a replica that was started lately, on the mean
    replace_after: float = 1.5  # a member that is silent for so long is replaced, where another can be
    remove_after: float = 6.0  # and leaves the group after so long, where none can


def copies_needed(losses: int) -> int:
    """Members of a group that keeps a majority when so many are lost."""
    return 2 * losses + 1


class GroupSize(NamedTuple):
    """How many members a group has."""

    target: int | None = None  # live members that are wanted; None: all that want to belong
    least: int = 3  # no member is removed unless so many live ones remain


class Role(Enum):
    BACKUP = "backup"
    CANDIDATE = "candidate"
    PRIMARY = "primary"


class StoreFailed(Exception):
    """The state could not be made durable; nothing of the call has taken effect."""


class ReplicaStore(Protocol):
    """Durable state of one replica. Each method returns once its effect would outlive a loss of power.

    Raises:
        StoreFailed: nothing has changed.
    """

    @property
    def epoch(self) -> int: ...

    @property
    def position(self) -> Position: ...

    def grant(self, epoch: int) -> None: ...

    def apply(self, updates: list[Update]) -> None: ...

    def install(self, position: Position, entries: Iterable[Write]) -> None: ...

    def get(self, key: str) -> bytes | None: ...

    def entries(self) -> list[Write]: ...


class Peer:
    """What a primary knows of another replica."""

    __slots__ = ("caught_up_at", "heard", "matched", "sent")

    def __init__(self, now: float) -> None:
        self.caught_up_at = 0.0  # when it was last sent all that it lacked
        self.heard = now  # when it answered last
        self.matched: Position | None = None  # synced there, as told in this epoch
        self.sent: Position | None = None  # sent up to here on this connection; None: ask first


class Outgoing(NamedTuple):
    recipient: str
    message: ReplicaMessage


class Replica:
    """One replica of a group, its witness included."""

    def __init__(
        self,
        identity: str,
        store: ReplicaStore,
        now: float,
        rng: random.Random,
        size: GroupSize | None = None,
        timing: Timing | None = None,
    ) -> None:
        self.identity = identity
        self.store = store
        self.timing = timing or Timing()
        self.candidates: list[str] = []  # replicas that want to belong, the one preferred first
        self._size = size or GroupSize()
        self.outbox: list[Outgoing] = []
        self.role = Role.BACKUP
        self.primary: str | None = None  # of the epoch that this replica follows
        self.committed = 0  # version; not stored: told by the primary
        self._random = rng
        self._members = self._read_members()
        self._last_heard = now  # from a primary
        self._started_at = now
        self._election_at = now + self._wait(now)
        self._votes: set[str] = set()
        self._unled: set[str] = set()  # members that follow nobody, and were started again lately
        self._trial = False
        self._asked_epoch = 0
        self._peers: dict[str, Peer] = {}
        self._confirmed: dict[str, float] = {}  # sent time of the newest heartbeat that each member answered
        self._history: deque[Update] = deque(maxlen=HISTORY_UPDATES)
        self._first_version = 0  # of this primary's own epoch
        self._opened_at = NOWHERE  # where that epoch began
        self._led_since = 0.0
        self._transfer_until = 0.0  # a transfer that has not come about by then is off
        self._next_heartbeat = 0.0
        self._learners: set[str] = set()
        self._given_up: dict[str, float] = {}  # when a learner last had not caught up
        self._leaving: set[str] = set()
        self._stopped_leading = False

    # --- what others may ask ---

    @property
    def epoch(self) -> int:
        return self.store.epoch

    @property
    def position(self) -> Position:
        return self.store.position

    @property
    def members(self) -> frozenset[str]:
        return self._members

    def leads(self, now: float) -> bool:
        """Whether this replica is the primary for certain: reads may be answered from its state."""
        return (
            self.role is Role.PRIMARY
            and not self._stopped_leading
            and self.committed >= self._first_version
            and now < self._lease_end()
        )

    def synced(self, identity: str) -> bool:
        """Primary: whether that replica has all that is committed."""
        peer = self._peers.get(identity)
        return identity == self.identity or (
            peer is not None and peer.matched is not None and peer.matched.version >= self.committed
        )

    # --- what the driver tells ---

    def bootstrap(self, members: Iterable[str]) -> None:
        """First start of a new group: all its members are told the same."""
        if self.position == NOWHERE and not self._members:
            first = Update(Position(1, 1), [Write(MEMBERS_KEY, msgspec.json.encode(sorted(members)))])
            self.store.apply([first])
            self.store.grant(1)
            self._members = self._read_members()

    def connected(self, now: float, identity: str) -> None:
        """A new connection to the replica: what was sent on the old one may be lost."""
        peer = self._peers.get(identity)
        if peer is not None:
            peer.sent = None
            if self.role is Role.PRIMARY:
                self._probe(now, identity, peer)

    def expel(self, identity: str) -> None:
        """A member that is to leave: its disk is gone, or it retires."""
        self._leaving.add(identity)

    def propose(self, now: float, writes: list[Write]) -> Position:
        """Primary: make writes durable here and send them to the others; committed later, or never.

        Raises:
            StoreFailed: the own disk did not take it; the replica has stepped down.
        """
        if self.role is not Role.PRIMARY:
            raise StoreFailed("not the primary")
        update = Update(Position(self.epoch, self.position.version + 1), writes)
        previous = self.position
        try:
            self.store.apply([update])
        except StoreFailed:
            self._step_down(now)
            raise
        self._history.append(update)
        self._noticed(writes)
        for identity, peer in self._peers.items():
            if peer.sent == previous:
                self._send(identity, self._replicate(now, previous, [update]))
                peer.sent = update.position
        self._advance()
        return update.position

    def transfer(self, now: float) -> bool:
        """Primary: hand over to the backup that has all; false where none has."""
        if self.role is not Role.PRIMARY:
            return False
        fit = [
            i
            for i in sorted(self._members - {self.identity} - self._leaving)
            if i in self._peers and self._peers[i].matched == self.position
            and now - self._peers[i].heard < self.timing.lease
        ]  # fmt: skip
        if not fit:
            return False
        self._stopped_leading = True
        self._transfer_until = now + TRANSFER_S
        self._send(self._random.choice(fit), TakeOver(self.epoch))
        return True

    def tick(self, now: float) -> None:
        """Let time pass; at least as often as the heartbeat."""
        try:
            if self.role is Role.PRIMARY:
                self._tick_primary(now)
            elif now >= self._election_at and self.identity in self._members:
                self._stand(now, trial=True)
        except StoreFailed:
            self._step_down(now)

    def _tick_primary(self, now: float) -> None:
        if now >= self._transfer_until:
            self._stopped_leading = False
        if now >= self._next_heartbeat:
            self._heartbeat(now)
        if now - max(self._majority_heard(), self._led_since) > 2 * self.timing.election_least:
            self._step_down(now)
            return
        self._tend_members(now)

    def receive(self, now: float, sender: str, message: ReplicaMessage) -> None:
        try:
            if isinstance(message, Replicate | InstallSnapshot):
                self._from_primary(now, sender, message)
            elif isinstance(message, Replicated):
                self._on_replicated(now, sender, message)
            elif isinstance(message, RequestEpoch):
                self._on_request(now, sender, message)
            elif isinstance(message, EpochAnswer):
                self._on_answer(now, sender, message)
            elif message.epoch == self.epoch and self.identity in self._members:
                self._stand(now, trial=False, transfer=True)
        except StoreFailed:
            self._step_down(now)

    # --- backup ---

    def _from_primary(self, now: float, sender: str, message: Replicate | InstallSnapshot) -> None:
        if message.epoch < self.epoch:
            self._send(sender, Replicated(self.epoch, self.position, message.sent_at, gap=True))
            return
        if message.epoch > self.epoch:
            self.store.grant(message.epoch)
        if self.role is not Role.BACKUP:
            self._step_down(now)
        self.primary = sender
        self._last_heard = now
        self._election_at = now + self._wait(now)
        gap = False
        if isinstance(message, InstallSnapshot):
            if self.position != message.position:
                self.store.install(message.position, message.entries)
                self._members = self._read_members()
        elif message.previous == self.position:
            if message.updates:
                self.store.apply(message.updates)
                for update in message.updates:
                    self._noticed(update.writes)
        else:
            gap = not any(u.position == self.position for u in message.updates)
            rest = [u for u in message.updates if u.position.version > self.position.version]
            if not gap and rest:
                self.store.apply(rest)
                for update in rest:
                    self._noticed(update.writes)
        if not gap:
            self.committed = max(self.committed, min(message.committed, self.position.version))
        self._send(sender, Replicated(self.epoch, self.position, message.sent_at, gap))

    def _noticed(self, writes: list[Write]) -> None:
        if any(w.key == MEMBERS_KEY for w in writes):
            self._members = self._read_members()

    def _read_members(self) -> frozenset[str]:
        value = self.store.get(MEMBERS_KEY)
        return frozenset(msgspec.json.decode(value, type=list[str])) if value else frozenset()

    # --- witness and candidate ---

    def _wait(self, now: float) -> float:
        if self._young(now) and self.primary is None:
            return self.timing.first_election * (0.5 + self._random.random())
        return self.timing.election_least + self.timing.election_spread * self._random.random()

    def _majority(self) -> int:
        return len(self._members) // 2 + 1

    def _stand(self, now: float, trial: bool, transfer: bool = False, unled: bool = False) -> None:
        """Ask the witnesses for the next epoch; first whether they would grant it."""
        self._trial = trial
        self._asked_epoch = self.epoch + 1
        self._election_at = now + self._wait(now)
        if not trial:
            self.store.grant(self._asked_epoch)  # our own witness
            self.role = Role.CANDIDATE
            self.primary = None
        self._votes = {self.identity}
        self._unled = set()
        request = RequestEpoch(self._asked_epoch, self.position, trial, transfer, unled)
        for member in sorted(self._members - {self.identity}):
            self._send(member, request)
        self._count(now)

    def _on_request(self, now: float, sender: str, message: RequestEpoch) -> None:
        follows = self.primary is not None and now - self._last_heard < self.timing.election_least
        leads = self.role is Role.PRIMARY and now < self._lease_end() and not self._stopped_leading
        willing = (
            message.epoch > self.epoch
            and message.position >= self.position
            and (message.transfer or not (follows or leads))
        )
        granted = willing and (message.unled or not self._young(now))
        if willing:
            # Danger: where all that are left must grant, two that stand at once undo each other.
            self._election_at = now + self._wait(now)
        if granted and not message.trial:
            if self.role is not Role.BACKUP:
                self._step_down(now)
            self.store.grant(message.epoch)
            self.primary = None
        young = willing and not granted
        self._send(sender, EpochAnswer(message.epoch, granted, message.trial, self.epoch, young))

    def _young(self, now: float) -> bool:
        """Whether a primary that this witness answered before its start may still have its lease."""
        return now - self._started_at < self.timing.lease

    def _on_answer(self, now: float, sender: str, message: EpochAnswer) -> None:
        if message.young and message.trial and self._trial and message.epoch == self._asked_epoch:
            self._unled.add(sender)
            self._count(now)
            return
        if not message.granted:
            if message.highest > self.epoch and self.role is Role.CANDIDATE:
                self.store.grant(message.highest)
                self._step_down(now)
            elif message.highest > self.epoch and message.trial and self.role is Role.BACKUP:
                # Others have moved on while we were away; ask above their epoch next time.
                self.store.grant(message.highest)
            return
        current = message.epoch == self._asked_epoch and message.trial == self._trial
        if current and self.role is not Role.PRIMARY and sender in self._members:
            self._votes.add(sender)
            self._count(now)

    def _count(self, now: float) -> None:
        if self._trial and self.role is Role.BACKUP and self._members <= self._votes | self._unled:
            if self._young(now) or self._unled:
                self._stand(now, trial=False, unled=True)
                return
        if len(self._votes & self._members) < self._majority() or (self._trial and self._young(now)):
            return
        if self._trial:
            if self._asked_epoch == self.epoch + 1:
                self._stand(now, trial=False)
        elif self.epoch == self._asked_epoch and self.role is Role.CANDIDATE:
            self._lead(now)

    # --- primary ---

    def _lead(self, now: float) -> None:
        self.role = Role.PRIMARY
        self.primary = self.identity
        self._stopped_leading = False
        self._peers = {i: Peer(now) for i in (self._members | self._learners) - {self.identity}}
        self._confirmed = {}
        self._history.clear()
        self._opened_at = self.position
        self._first_version = self.position.version + 1
        self._led_since = now
        self._heartbeat(now)
        # Commits what earlier epochs left behind, and opens the epoch.
        self.propose(now, [])

    def _step_down(self, now: float) -> None:
        self.role = Role.BACKUP
        self.primary = None
        self._peers = {}
        self._votes = set()
        self._election_at = now + self._wait(now)

    def _lease_end(self) -> float:
        return self._majority_heard() + self.timing.lease

    def _majority_heard(self) -> float:
        """When the latest heartbeat was sent that a majority has answered."""
        times = sorted((self._confirmed.get(i, 0.0) for i in self._members - {self.identity}), reverse=True)
        own = 1 if self.identity in self._members else 0
        others = self._majority() - own
        if others <= 0:
            return float("inf")
        return times[others - 1] if others <= len(times) else 0.0

    def _heartbeat(self, now: float) -> None:
        self._next_heartbeat = now + self.timing.heartbeat
        for identity, peer in self._peers.items():
            self._probe(now, identity, peer)

    def _probe(self, now: float, identity: str, peer: Peer) -> None:
        self._send(identity, self._replicate(now, peer.sent or self.position, []))

    def _replicate(self, now: float, previous: Position, updates: list[Update]) -> Replicate:
        return Replicate(self.epoch, previous, updates, self.committed, now)

    def _on_replicated(self, now: float, sender: str, message: Replicated) -> None:
        if message.epoch > self.epoch:
            self.store.grant(message.epoch)
            self._step_down(now)
            return
        peer = self._peers.get(sender)
        if self.role is not Role.PRIMARY or peer is None or message.epoch != self.epoch:
            return
        peer.heard = now
        self._confirmed[sender] = max(self._confirmed.get(sender, 0.0), message.sent_at)
        if message.gap and peer.sent is not None and message.sent_at < peer.caught_up_at:
            return  # answers what was sent before that
        if message.gap or peer.sent is None:
            self._catch_up(now, sender, peer, message.position)
            return
        if self._known(message.position):
            peer.matched = message.position
            self._advance()

    def _known(self, position: Position) -> bool:
        """Whether the replica's state at this position is a state that ours has been in."""
        if position == self.position:
            return True
        return any(u.position == position for u in reversed(self._history))

    def _catch_up(self, now: float, identity: str, peer: Peer, position: Position) -> None:
        updates = list(self._history)
        first = next((i for i, u in enumerate(updates) if u.position == position), None)
        if position == self.position:
            rest: list[Update] | None = []
        elif first is not None:
            rest = updates[first + 1 :]
        elif updates and self._before_history(position):
            rest = updates
        else:
            rest = None
        peer.sent = self.position
        peer.caught_up_at = now
        if rest is None:
            entries = self.store.entries()
            self._send(identity, InstallSnapshot(self.epoch, self.position, entries, self.committed, now))
            return
        peer.matched = position
        if rest:
            self._send(identity, self._replicate(now, position, rest))
        self._advance()

    def _before_history(self, position: Position) -> bool:
        """Whether it is the state that this epoch began with."""
        return (
            self._history[0].position.version == self._first_version
            and position.version == self._first_version - 1
            and position == self._opened_at
        )

    def _advance(self) -> None:
        versions = [self.position.version] if self.identity in self._members else []
        for identity in self._members - {self.identity}:
            peer = self._peers.get(identity)
            versions.append(peer.matched.version if peer and peer.matched else 0)
        versions.sort(reverse=True)
        reached = versions[self._majority() - 1] if len(versions) >= self._majority() else 0
        if reached >= self._first_version:
            self.committed = max(self.committed, reached)

    def _tend_members(self, now: float) -> None:
        """One change of membership at a time, each on top of a committed state."""
        settled = self.committed == self.position.version and not self._stopped_leading
        if not settled or now >= self._lease_end():
            return
        live = {
            i for i in self._members - self._leaving if not self._silent(now, i, self.timing.replace_after)
        }
        for identity in sorted(self._learners):
            if self._admit(now, identity):
                return
        if len(live) + len(self._learners) < (self._size.target or len(live) + 1):
            self._teach(now)
        if len(live) >= self._size.least and all(self.synced(i) for i in live):
            self._drop_one(now, live)
        if self.identity in self._leaving and len(live) >= self._size.least:
            self.transfer(now)

    def _teach(self, now: float) -> None:
        """Have the first of those that want to belong catch up."""
        # Danger: one that never catches up, its disk being full, would keep all others out.
        for identity in sorted(self.candidates, key=lambda i: self._given_up.get(i, 0.0)):
            if identity not in self._members | self._learners | self._leaving:
                self._learners.add(identity)
                self._peers[identity] = Peer(now)
                self._probe(now, identity, self._peers[identity])
                return

    def _admit(self, now: float, identity: str) -> bool:
        """Make a learner a member once it has all that is committed."""
        peer = self._peers.setdefault(identity, Peer(now))
        if (
            identity in self._members
            or identity in self._leaving
            or now - peer.heard > self.timing.replace_after
        ):
            self._learners.discard(identity)
            if identity not in self._members:
                self._given_up[identity] = now
                del self._peers[identity]
            return False
        caught_up = peer.matched is not None and peer.matched.version >= self.committed
        if not caught_up or now - peer.heard >= self.timing.lease:
            return False
        self._learners.discard(identity)
        self._set_members(now, self._members | {identity})
        return True

    def _drop_one(self, now: float, live: set[str]) -> None:
        """Remove a member that leaves, or that is silent where enough others are there in its place."""
        replaced = self._size.target is not None and len(live) >= self._size.target
        for identity in sorted(self._members - live - {self.identity}):
            long_gone = self._silent(now, identity, self.timing.remove_after)
            if identity in self._leaving or replaced or long_gone:
                self._set_members(now, self._members - {identity})
                self._peers.pop(identity, None)
                return

    def _silent(self, now: float, identity: str, for_s: float) -> bool:
        if identity == self.identity:
            return False
        return now - self._peers.setdefault(identity, Peer(now)).heard > for_s

    def _set_members(self, now: float, members: frozenset[str]) -> None:
        self.propose(now, [Write(MEMBERS_KEY, msgspec.json.encode(sorted(members)))])

    def _send(self, recipient: str, message: ReplicaMessage) -> None:
        self.outbox.append(Outgoing(recipient, message))
