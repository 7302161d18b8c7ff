"""Primary-backup replication of a keyed state, with epochs that a majority of witnesses grants.

A pure state machine: it is told the time and what arrives, and leaves what is to be sent in `outbox`. The
witness of a replica stores the epoch that it has granted last and nothing else; the replica stores the state
itself and how far it has come. There is no log: a replica that is too far behind is sent the whole state.

Guarantees, each held by tests/test_replication.py and the planted faults of tests/test_planted_faults.py:

* one primary acknowledges writes in an epoch;
* a write is committed once a majority of the members has synced it, and every later primary has it;
* `leads` is true only while a majority has answered within the lease, which a frozen process outlives.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from eiderhub.coordination.catch_up import CHUNK_BYTES, History, Peer, SnapshotTransfer
from eiderhub.coordination.forms import (
    FIRST_FORM,
    FORM_KEY,
    OWN_FORMS,
    StateForms,
    decode_form,
    encode_form,
    next_form,
)
from eiderhub.coordination.lease import Lease
from eiderhub.coordination.membership import (
    BARRED_KEY,
    MEMBERS_KEY,
    GroupView,
    decode_identities,
    encode_identities,
    next_change,
    next_learner,
    wants_learner,
)
from eiderhub.coordination.messages import (
    EpochAnswer,
    Position,
    ReplicaMessage,
    Replicate,
    Replicated,
    RequestEpoch,
    SnapshotChunk,
    Staged,
    TakeOver,
    Update,
    Write,
)
from eiderhub.coordination.store import NOWHERE, ReplicaStore, StoreFailed
from eiderhub.coordination.timing import GroupSize, Timing, majority
from eiderhub.coordination.witness import WitnessView, judge

GROUP_KEYS = frozenset({MEMBERS_KEY, BARRED_KEY, FORM_KEY})


class Role(Enum):
    BACKUP = "backup"
    CANDIDATE = "candidate"
    PRIMARY = "primary"


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
        forms: StateForms = OWN_FORMS,
    ) -> None:
        self.identity = identity
        self.forms = forms
        self.store = store
        self.timing = timing or Timing()
        self.candidates: list[str] = []  # replicas that want to belong, the one preferred first
        self.outbox: list[Outgoing] = []
        self.role = Role.BACKUP
        self.primary: str | None = None  # of the epoch that this replica follows
        self.committed = 0  # version; not stored: told by the primary
        self.unreadable_form: int | None = None  # that a primary writes, and this program does not read
        self._size = size or GroupSize()
        self._random = rng
        self._read_group()
        self._last_heard = now  # from a primary
        self._started_at = now
        self._election_at = now + self._wait(now)
        # as a candidate
        self._votes: set[str] = set()
        self._unled: set[str] = set()  # members that follow nobody, and were started again lately
        self._trial = False
        self._asked_epoch = 0
        # as a primary
        self._peers: dict[str, Peer] = {}
        self._lease = Lease(identity, self.timing)
        self._history = History(NOWHERE)
        self._first_version = 0  # of this primary's own epoch
        self._group_version = 0  # of the latest change of the group; earlier epochs' are committed
        self._committed_before = (0, 0)  # at the heartbeat before the last, and at the last
        self._led_since = 0.0
        self._transfer_until: float | None = None  # a transfer of leadership is under way until then
        self._successor: str | None = None  # that is to take over, and does not have all yet
        self._next_heartbeat = 0.0
        self._learners: set[str] = set()
        self._given_up: dict[str, float] = {}  # when a learner last had not caught up
        self._replaced: set[str] = set()
        self._retiring: set[str] = set()

    # --- what others may ask ---

    @property
    def epoch(self) -> int:
        return self.store.epoch

    @property
    def position(self) -> Position:
        return self.store.position

    @property
    def told_version(self) -> int:
        """Of the state, for figures alone; 0 where it can't be told."""
        try:
            return self.position.version
        except StoreFailed:
            return 0

    @property
    def members(self) -> frozenset[str]:
        return self._members

    @property
    def barred(self) -> frozenset[str]:
        """Identities that no primary of this group will ever admit."""
        return self._barred

    @property
    def form(self) -> int:
        """The newest form in which records of the state may be written."""
        return self._form

    def leads(self, now: float) -> bool:
        """Whether this replica is the primary for certain: reads may be answered from its state."""
        return (
            self.role is Role.PRIMARY
            and self._transfer_until is None
            and self._epoch_is_committed()
            and now < self._lease.end(self._members)
        )

    def settled(self, now: float) -> bool:
        """Primary: whether all of its state, its members included, is committed."""
        return self.leads(now) and self.committed == self.position.version

    def members_settled(self, now: float) -> bool:
        """Primary: whether the latest change of its group is committed; writes behind it may be under way."""
        return self.leads(now) and self.committed >= self._group_version

    def synced(self, identity: str) -> bool:
        """Primary: whether that replica has the latest change of the group, and all that was committed before
        the last two heartbeats: under a steady stream of writes an answer is always a few of them late.
        """
        if identity == self.identity:
            return True
        peer = self._peers.get(identity)
        wanted = max(self._group_version, self._committed_before[0])
        return peer is not None and peer.matched is not None and peer.matched.version >= wanted

    # --- what the driver tells ---

    def bootstrap(self, members: Iterable[str]) -> None:
        """First start of a new group: all its members are told the same."""
        if self.position == NOWHERE and not self._members:
            first = Update(Position(1, 1), [Write(MEMBERS_KEY, encode_identities(list(members)))])
            self.store.apply([first])
            self.store.grant(1)
            self._read_group()

    def connected(self, now: float, identity: str) -> None:
        """A new connection to the replica: what was sent on the old one may be lost."""
        peer = self._peers.get(identity)
        if peer is not None:
            peer.disconnected()
            if self.role is Role.PRIMARY:
                self._probe(now, identity, peer)

    def expel(self, identity: str) -> None:
        """A member whose disk is gone: another replica has taken its place."""
        self._replaced.add(identity)

    def retire(self, identity: str) -> None:
        """A replica that is to leave for good, a member or not."""
        self._retiring.add(identity)

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
        self._history.add(update)
        if self._note(writes):
            self._group_version = update.position.version
        for identity, peer in self._peers.items():
            if peer.sent == previous:
                self._send(identity, self._replicate(now, peer, previous, [update]))
                peer.sent = update.position
        self._advance()
        return update.position

    def resign(self, now: float) -> None:
        """Primary: give the epoch up, since what was made of its state may not be what is written."""
        if self.role is Role.PRIMARY:
            self._step_down(now)

    def transfer(self, now: float) -> bool:
        """Primary: hand over to the backup that has most, as soon as it has all; false where none answers.

        From here on this replica does not lead, so that nothing more is written.
        """
        if self.role is not Role.PRIMARY or self._transfer_until is not None:
            return False
        fit = [i for i in sorted(self._members - {self.identity} - self._leaving()) if self._is_fit(now, i)]
        if not fit:
            return False
        most = max(self._matched_version(identity) for identity in fit)
        self._successor = self._random.choice([i for i in fit if self._matched_version(i) == most])
        self._transfer_until = now + self.timing.transfer
        self._tell_successor()
        return True

    def _is_fit(self, now: float, identity: str) -> bool:
        """Whether a member could lead as soon as it has what is on its way to it."""
        peer = self._peers.get(identity)
        if peer is None or peer.matched is None or peer.transfer is not None:
            return False
        return now - peer.heard < self.timing.lease

    def _matched_version(self, identity: str) -> int:
        peer = self._peers.get(identity)
        return peer.matched.version if peer is not None and peer.matched is not None else 0

    def _tell_successor(self) -> None:
        """Have the replica that is to follow take over, once it has all."""
        if self._successor is not None and self._peers[self._successor].matched == self.position:
            self._send(self._successor, TakeOver(self.epoch))
            self._successor = None

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
        if self._transfer_until is not None and now >= self._transfer_until:
            self._take_back(now)
            return
        if now >= self._next_heartbeat:
            self._heartbeat(now)
        heard = max(self._lease.majority_heard(self._members), self._led_since)
        if now - heard > 2 * self.timing.election_least:
            self._step_down(now)
            return
        self._tend_members(now)

    def _take_back(self, now: float) -> None:
        """The transfer has not come about.

        Danger: whoever was to take over may still do so, and the witnesses let it without waiting for a
        lease. So this replica never leads again in the epoch that it gave away: it asks for the next one.
        """
        self._step_down(now)
        self._stand(now, trial=False, transfer=True)

    def receive(self, now: float, sender: str, message: ReplicaMessage) -> None:
        try:
            if isinstance(message, Replicate | SnapshotChunk):
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

    def _from_primary(self, now: float, sender: str, message: Replicate | SnapshotChunk) -> None:
        if self._is_outdated(message):
            self._send(sender, self._replicated(message, gap=True))
            return
        self._refuse_unreadable(message)
        if message.epoch > self.epoch:
            self.store.grant(message.epoch)
        if self.role is not Role.BACKUP:
            self._step_down(now)
        self.primary = sender
        self._last_heard = now
        self._election_at = now + self._wait(now)
        if isinstance(message, SnapshotChunk):
            follows = self._take_chunk(message)
        else:
            follows = self._take_updates(message)
        if follows and self.position >= self._told_position(message):
            self.committed = max(self.committed, min(message.committed, self.position.version))
        self._send(sender, self._replicated(message, not follows, self.store.staged))

    def _replicated(
        self, message: Replicate | SnapshotChunk, gap: bool, staged: Staged | None = None
    ) -> Replicated:
        """The answer to what a primary has sent."""
        return Replicated(self.epoch, self.position, message.sent_at, gap, staged, self.forms.reads)

    def _is_outdated(self, message: Replicate | SnapshotChunk) -> bool:
        """Whether it comes from a primary whose epoch has passed."""
        return message.epoch < self.epoch

    def _refuse_unreadable(self, message: Replicate | SnapshotChunk) -> None:
        """Take nothing of a form that this program does not read: its state would be told wrongly.

        Raises:
            StoreFailed: the message would have the group write such a form.
        """
        updates = message.updates if isinstance(message, Replicate) else []
        entries = message.entries if isinstance(message, SnapshotChunk) else []
        writes = [*entries, *(write for update in updates for write in update.writes)]
        told = [decode_form(write.value) for write in writes if write.key == FORM_KEY]
        if any(form > self.forms.reads for form in told):
            self.unreadable_form = max(told)
            raise StoreFailed(f"records of form {max(told)}; this program reads up to {self.forms.reads}")

    @staticmethod
    def _told_position(message: Replicate | SnapshotChunk) -> Position:
        """The state that the message leads to."""
        if isinstance(message, SnapshotChunk):
            return message.position
        return message.updates[-1].position if message.updates else message.previous

    def _take_updates(self, message: Replicate) -> bool:
        """Apply what follows the own state or the staged one; false where there is a gap."""
        if self._follows(message.previous):
            if message.updates:
                self.store.apply(message.updates)
                self._note([write for update in message.updates for write in update.writes])
            return True
        staged = self.store.staged
        if message.staged and staged is not None and message.previous == staged.position:
            if message.updates:
                self.store.stage_updates(message.updates)
            return True
        own = [index for index, update in enumerate(message.updates) if update.position == self.position]
        if not own:
            return False
        rest = message.updates[own[0] + 1 :]
        if rest:
            self.store.apply(rest)
            self._note([write for update in rest for write in update.writes])
        return True

    def _follows(self, previous: Position) -> bool:
        """Whether what follows that state follows the own one."""
        return previous == self.position

    def _take_chunk(self, chunk: SnapshotChunk) -> bool:
        """Stage a part of a snapshot, and install the snapshot once it is whole; false: there is a gap."""
        if self._is_behind_us(chunk):
            return True
        if not self._continues(chunk):
            return False
        self.store.stage(chunk.entries, Staged(chunk.position, chunk.through), first=not chunk.after)
        if chunk.last:
            self.store.install_staged()
            self._read_group()
        return True

    def _is_behind_us(self, chunk: SnapshotChunk) -> bool:
        """Whether this replica already has what the snapshot leads to.

        Danger: bytes of an old connection may be read after those of a new one. A state that the primary
        counts as synced must never be replaced by an older one.
        """
        return self.position.epoch == chunk.epoch and self.position >= chunk.position

    def _continues(self, chunk: SnapshotChunk) -> bool:
        """Whether the chunk begins a snapshot or follows what is staged."""
        return not chunk.after or self.store.staged == Staged(chunk.position, chunk.after)

    def _note(self, writes: list[Write]) -> bool:
        """Follow what was written of the group itself; whether anything was."""
        of_group = any(write.key in GROUP_KEYS for write in writes)
        if of_group:
            self._read_group()
        return of_group

    def _read_group(self) -> None:
        self._members = decode_identities(self.store.get(MEMBERS_KEY))
        self._barred = decode_identities(self.store.get(BARRED_KEY))
        self._form = decode_form(self.store.get(FORM_KEY))

    # --- witness and candidate ---

    def _wait(self, now: float) -> float:
        if self._young(now) and self.primary is None:
            return self.timing.first_election * (0.5 + self._random.random())
        return self.timing.election_least + self.timing.election_spread * self._random.random()

    def _witness_view(self, now: float) -> WitnessView:
        followed_for = None if self.primary is None else now - self._last_heard
        leads = (
            self.role is Role.PRIMARY
            and now < self._lease.end(self._members)
            and self._transfer_until is None
        )
        return WitnessView(self.epoch, self.position, followed_for, leads, now - self._started_at)

    def _young(self, now: float) -> bool:
        return now - self._started_at < self.timing.lease

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
        verdict = judge(self._witness_view(now), message, self.timing)
        if verdict.granted or verdict.young:
            # Danger: where all that are left must grant, two that stand at once undo each other.
            self._election_at = now + self._wait(now)
        if verdict.granted and not message.trial:
            if self.role is not Role.BACKUP:
                self._step_down(now)
            self.store.grant(message.epoch)
            self.primary = None
        answer = EpochAnswer(message.epoch, verdict.granted, message.trial, self.epoch, verdict.young)
        self._send(sender, answer)

    def _on_answer(self, now: float, sender: str, message: EpochAnswer) -> None:
        current = message.epoch == self._asked_epoch and message.trial == self._trial
        if message.young and message.trial and current and self.role is Role.BACKUP:
            self._unled.add(sender)
            self._count(now)
        elif not message.granted:
            self._on_refusal(now, message)
        elif current and self.role is not Role.PRIMARY and sender in self._members:
            self._votes.add(sender)
            self._count(now)

    def _on_refusal(self, now: float, message: EpochAnswer) -> None:
        """Others have moved on while we were away: ask above their epoch next time."""
        if message.highest <= self.epoch:
            return
        if self.role is Role.CANDIDATE:
            self.store.grant(message.highest)
            self._step_down(now)
        elif message.trial and self.role is Role.BACKUP:
            self.store.grant(message.highest)

    def _count(self, now: float) -> None:
        if self._trial and self.role is Role.BACKUP and self._nobody_is_led(now):
            self._stand(now, trial=False, unled=True)
            return
        if len(self._votes & self._members) < majority(len(self._members)):
            return
        if self._trial:
            if self._asked_epoch == self.epoch + 1 and not self._young(now):
                self._stand(now, trial=False)
        elif self.epoch == self._asked_epoch and self.role is Role.CANDIDATE:
            self._lead(now)

    def _nobody_is_led(self, now: float) -> bool:
        """Whether no lease can run, as every member has said that it follows nobody."""
        needed = self._young(now) or bool(self._unled)
        return needed and self._members <= self._votes | self._unled

    # --- primary ---

    def _lead(self, now: float) -> None:
        self.role = Role.PRIMARY
        self.primary = self.identity
        self._transfer_until = None
        self._peers = {i: Peer(now) for i in (self._members | self._learners) - {self.identity}}
        self._lease = Lease(self.identity, self.timing)
        self._history = History(self.position)
        self._first_version = self._group_version = self.position.version + 1
        self._committed_before = (self._first_version, self._first_version)
        self._led_since = now
        self._heartbeat(now)
        # Commits what earlier epochs left behind, and opens the epoch.
        self.propose(now, [])

    def _step_down(self, now: float) -> None:
        self.role = Role.BACKUP
        self.primary = None
        self._transfer_until = None
        self._successor = None
        self._peers = {}
        self._votes = set()
        self._election_at = now + self._wait(now)

    def _epoch_is_committed(self) -> bool:
        """Whether this epoch's first write is committed, and with it all that earlier epochs left."""
        return self.committed >= self._first_version

    def _heartbeat(self, now: float) -> None:
        self._next_heartbeat = now + self.timing.heartbeat
        self._committed_before = (self._committed_before[1], self.committed)
        for identity, peer in self._peers.items():
            self._probe(now, identity, peer)

    def _probe(self, now: float, identity: str, peer: Peer) -> None:
        self._send(identity, self._replicate(now, peer, peer.sent or self.position, []))

    def _replicate(self, now: float, peer: Peer, previous: Position, updates: list[Update]) -> Replicate:
        staged = peer.transfer is not None
        return Replicate(self.epoch, previous, updates, self.committed, now, staged)

    def _on_replicated(self, now: float, sender: str, message: Replicated) -> None:
        if message.epoch > self.epoch:
            self.store.grant(message.epoch)
            self._step_down(now)
            return
        peer = self._peers.get(sender)
        if self.role is not Role.PRIMARY or peer is None or message.epoch != self.epoch:
            return
        peer.heard = now
        peer.reads_form = message.reads_form
        self._lease.confirm(sender, message.sent_at)
        if message.gap and peer.sent is not None and message.sent_at <= peer.caught_up_at:
            return  # answers what was sent before that; the next heartbeat shows whether it arrived
        if message.gap or peer.sent is None:
            self._catch_up(now, sender, peer, message)
            return
        if self._knows(message.position):
            peer.matched = message.position
            peer.transfer = None
            self._advance()
            self._tell_successor()
        elif peer.transfer is not None:
            self._go_on(now, sender, peer, peer.transfer, message)

    def _knows(self, position: Position) -> bool:
        """Whether the replica's state at this position is a state that ours has been in.

        Danger: under many writes an answer is older than the updates that are kept in memory. What was
        written in this epoch this primary has written itself.
        """
        own = position.epoch == self.epoch and position.version <= self.position.version
        return own or position == self.position or self._history.knows(position)

    def _catch_up(self, now: float, identity: str, peer: Peer, told: Replicated) -> None:
        """Send a replica what it lacks, from the state on that it says it has."""
        peer.caught_up_at = now
        peer.transfer = None
        rest = [] if told.position == self.position else self._history.since(told.position)
        if rest is None:
            rest = self._changes_since(told.position)
        if rest is None:
            self._begin_snapshot(now, identity, peer, told.staged)
            return
        peer.matched = told.position
        peer.sent = self.position
        if rest:
            self._send(identity, self._replicate(now, peer, told.position, rest))
        self._advance()

    def _changes_since(self, position: Position) -> list[Update] | None:
        """One update that leads from a state of an earlier epoch to the present one; None: not known."""
        writes = self.store.changed_since(position)
        return None if writes is None else [Update(self.position, writes)]

    def _begin_snapshot(self, now: float, identity: str, peer: Peer, staged: Staged | None) -> None:
        """Begin a snapshot, or go on with what the replica has of one."""
        missed = self._history.since(staged.position) if staged is not None else None
        peer.transfer = SnapshotTransfer(staged if missed is not None else None)
        peer.sent = self.position
        if staged is not None and missed:
            self._send(identity, self._replicate(now, peer, staged.position, missed))
        self._send_chunks(now, identity, peer.transfer)

    def _go_on(
        self, now: float, identity: str, peer: Peer, transfer: SnapshotTransfer, told: Replicated
    ) -> None:
        """A replica has answered while a snapshot is on its way to it."""
        if transfer.is_lost(told):
            self._catch_up(now, identity, peer, told)
        elif told.staged is not None:
            transfer.answered(told.staged.through)
            self._send_chunks(now, identity, transfer)

    def _send_chunks(self, now: float, identity: str, transfer: SnapshotTransfer) -> None:
        while transfer.may_send:
            after = transfer.through
            chunk = self.store.chunk(after, CHUNK_BYTES)
            transfer.sent(now, chunk)
            through, last = chunk.through, chunk.last
            message = SnapshotChunk(
                self.epoch, self.position, after, through, chunk.entries, last, self.committed, now
            )
            self._send(identity, message)

    def _advance(self) -> None:
        """Count what a majority of the members has synced as committed.

        Danger: a majority may have synced what an earlier epoch wrote, and another primary may still
        overwrite it; only what this epoch wrote on top commits it.
        """
        versions = [self.position.version] if self.identity in self._members else []
        versions += [self._matched_version(identity) for identity in self._members - {self.identity}]
        versions.sort(reverse=True)
        needed = majority(len(self._members))
        reached = versions[needed - 1] if len(versions) >= needed else 0
        if self._commits(reached):
            self.committed = max(self.committed, reached)

    def _commits(self, version: int) -> bool:
        """Whether a version that a majority has synced is committed by that."""
        return version >= self._first_version

    # --- membership ---

    def _leaving(self) -> frozenset[str]:
        return self._barred | self._retiring | self._replaced

    def _view(self, now: float) -> GroupView:
        silent = {i for i in self._members if self._silent(now, i, self.timing.replace_after)}
        return GroupView(
            identity=self.identity,
            members=self._members,
            barred=self._barred,
            retiring=frozenset(self._retiring),
            replaced=frozenset(self._replaced),
            silent=frozenset(silent),
            synced=self.synced,
            heard=lambda identity: not self._silent(now, identity, self.timing.lease),
        )

    def _may_change_members(self, now: float) -> bool:
        """Whether the group may change: one change at a time, on top of a committed one.

        Other writes need not be committed. The majorities of two groups that differ by one member share a
        member; updates are taken in order, so whoever has the change has all before it.
        """
        return self.members_settled(now)

    def _tend_members(self, now: float) -> None:
        if not self._may_change_members(now):
            return
        view = self._view(now)
        self._drop_learners(now, view)
        form = self._next_form(view)
        if form is not None:
            self.propose(now, [Write(FORM_KEY, encode_form(form))])
            return
        change = next_change(view, self._learners, self._size)
        if change is not None:
            self.propose(now, change.writes(view))
            self._learners -= change.members
            for removed in view.members - change.members:
                self._peers.pop(removed, None)
            return
        if wants_learner(view, self._learners, self._size):
            self._teach(now, view)
        if self.identity in view.leaving and len(view.live) >= self._size.least:
            self.transfer(now)

    def _next_form(self, view: GroupView) -> int | None:
        """The form that the group may go on to: each member reads it, those that are silent included."""
        others = view.members - {self.identity}
        return next_form(self._form, self.forms, [self._reads_form(other) for other in others])

    def _reads_form(self, identity: str) -> int:
        """The newest form that another replica's program has said that it reads."""
        peer = self._peers.get(identity)
        return peer.reads_form if peer is not None else FIRST_FORM

    def _teach(self, now: float, view: GroupView) -> None:
        learner = next_learner(view, self._learners, self.candidates, self._given_up)
        if learner is not None:
            self._learners.add(learner)
            self._peers[learner] = Peer(now)
            self._probe(now, learner, self._peers[learner])

    def _drop_learners(self, now: float, view: GroupView) -> None:
        """Give up learners that are silent or must leave."""
        for learner in sorted(self._learners):
            silent = self._silent(now, learner, self.timing.replace_after)
            if silent or learner in view.leaving or learner in view.members:
                self._learners.discard(learner)
                if learner not in view.members:
                    self._given_up[learner] = now
                    self._peers.pop(learner, None)

    def _silent(self, now: float, identity: str, for_s: float) -> bool:
        if identity == self.identity:
            return False
        return now - self._peers.setdefault(identity, Peer(now)).heard > for_s

    def _send(self, recipient: str, message: ReplicaMessage) -> None:
        self.outbox.append(Outgoing(recipient, message))
