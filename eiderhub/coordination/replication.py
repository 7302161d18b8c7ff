"""Primary-backup replication of a key-value state, with epochs granted by a majority of witnesses.

Performs no I/O: callers pass the time and received messages, and send what is put in `outbox`. The witness of
a replica stores only the epoch that it granted last; the replica stores the state and its position. There is
no log: a replica that is too far behind is sent the full state.

Guarantees, each checked by tests/test_replication.py and the injected faults of tests/test_planted_faults.py:

* only one primary acknowledges writes in an epoch;
* a write is committed once a majority of the members has synced it, and every later primary has it;
* `leads` is true only while a majority has replied within the lease time; a process that was suspended for
  longer finds its lease expired.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from eiderhub.coordination.auxiliary import is_auxiliary
from eiderhub.coordination.catch_up import CHUNK_BYTES, History, Peer, SnapshotTransfer
from eiderhub.coordination.commit_rule import CommitRule
from eiderhub.coordination.forms import (
    FIRST_FORMAT,
    FORMAT_KEY,
    OWN_FORMATS,
    RecordFormats,
    decode_format,
    encode_format,
    next_format,
)
from eiderhub.coordination.lease import Lease
from eiderhub.coordination.membership import (
    BARRED_KEY,
    MEMBERS_KEY,
    GroupHealth,
    GroupView,
    decode_identities,
    encode_identities,
    health,
    lacks_auxiliary,
    needs_learner,
    next_change,
    next_learner,
    shortage,
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
from eiderhub.coordination.store import INITIAL_POSITION, ReplicaStore, StoreFailed, WriteRejected
from eiderhub.coordination.timing import GroupSize, Timing, majority, tolerated_losses
from eiderhub.coordination.witness import REFUSED, WitnessView, decide

GROUP_STATE_KEYS = frozenset({MEMBERS_KEY, BARRED_KEY, FORMAT_KEY})


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
        formats: RecordFormats = OWN_FORMATS,
    ) -> None:
        self.identity = identity
        self.formats = formats
        self.store = store
        self.timing = timing or Timing()
        self.auxiliary = is_auxiliary(identity)
        self.join_candidates: list[str] = []  # replicas that ask to join, the preferred ones first
        self.withdrawn: frozenset[str] = frozenset()  # auxiliary ones that their machines no longer run
        self.allows_auxiliary = True  # whether every connected program knows auxiliary replicas
        self.outbox: list[Outgoing] = []
        self.role = Role.BACKUP
        self.primary: str | None = None  # of the epoch that this replica follows
        self.committed = 0  # version; not stored: reported by the primary
        self.unreadable_format: int | None = None  # written by the primary, not readable here
        self._size = size or GroupSize()
        self._rng = rng
        self._load_group()
        self._primary_message_at = now
        self._started_at = now
        self._election_due_at = now + self._election_timeout(now)
        # while a candidate
        self._votes: set[str] = set()
        self._members_without_leader: set[str] = set()  # that follow no primary and restarted recently
        self._pre_vote = False
        self._pre_vote_ends_at = 0.0
        self._requested_epoch = 0
        # while the primary
        self._peers: dict[str, Peer] = {}
        self._lease = Lease(identity, self.timing)
        self._commit_rule = self._new_commit_rule()
        self._history = History(INITIAL_POSITION)
        self._epoch_first_version = 0  # first version of this primary's epoch
        self._group_change_version = 0  # of the latest group change; earlier epochs' are committed
        self._committed_at_heartbeats = (0, 0)  # the last but one, and the last
        self._primary_since = 0.0
        self._transfer_deadline: float | None = None  # of a running transfer of leadership
        self._successor: str | None = None  # still missing updates before it can take over
        self._next_heartbeat_at = 0.0
        self._learners: set[str] = set()
        self._learner_failed_at: dict[str, float] = {}  # when a replica last failed as a learner
        self._replaced: set[str] = set()
        self._retiring: set[str] = set()

    # --- queries ---

    @property
    def epoch(self) -> int:
        return self.store.epoch

    @property
    def position(self) -> Position:
        return self.store.position

    @property
    def version_or_zero(self) -> int:
        """The version of the state, for status output only; 0 if the store cannot report it."""
        try:
            return self.position.version
        except StoreFailed:
            return 0

    @property
    def members(self) -> frozenset[str]:
        return self._members

    @property
    def barred(self) -> frozenset[str]:
        """Identities that no primary of this group will ever admit again."""
        return self._barred

    @property
    def record_format(self) -> int:
        """The newest format in which records of the state may be written."""
        return self._format

    def leads(self, now: float) -> bool:
        """Whether this replica is certainly the primary, so that reads may be answered from its state."""
        return (
            self.role is Role.PRIMARY
            and self._transfer_deadline is None
            and self._epoch_is_committed()
            and now < self._lease.expires_at(self._members)
        )

    def all_committed(self, now: float) -> bool:
        """On the primary: whether all of its state, including its membership, is committed."""
        return self.leads(now) and self.committed == self.position.version

    def membership_committed(self, now: float) -> bool:
        """On the primary: whether the latest change of the group is committed, regardless of later writes."""
        return self.leads(now) and self.committed >= self._group_change_version

    def synced(self, identity: str) -> bool:
        """On the primary: whether a replica has the latest group change and all but the newest writes.

        It must have what was committed at the heartbeat before the last: under a continuous stream of writes,
        the last reply of a replica is always a few writes behind.
        """
        if identity == self.identity:
            return True
        peer = self._peers.get(identity)
        required_version = max(self._group_change_version, self._committed_at_heartbeats[0])
        return (
            peer is not None
            and peer.synced_position is not None
            and peer.synced_position.version >= required_version
        )

    def health(self, now: float) -> GroupHealth | None:
        """On the primary: how many losses the group bears."""
        return health(self._group_view(now), self._size) if self.leads(now) else None

    def auxiliary_shortage(self, now: float) -> int:
        """On the primary: how many auxiliary replicas the group lacks."""
        if not self.leads(now):
            return 0
        return shortage(self._group_view(now), self._size)

    # --- input from the driver ---

    def bootstrap(self, members: Iterable[str]) -> None:
        """Initialize a new group: every member is given the same list."""
        if self.position == INITIAL_POSITION and not self._members:
            initial = Update(Position(1, 1), [Write(MEMBERS_KEY, encode_identities(list(members)))])
            self.store.apply([initial])
            self.store.grant(1)
            self._load_group()

    def on_connected(self, now: float, identity: str) -> None:
        """A new connection to the replica is open; what was sent on the previous one may be lost."""
        peer = self._peers.get(identity)
        if peer is not None:
            peer.reset_connection()
            if self.role is Role.PRIMARY:
                self._send_heartbeat(now, identity, peer)

    def mark_replaced(self, identity: str) -> None:
        """Mark a member whose disk is lost: another replica has replaced it."""
        self._replaced.add(identity)

    def mark_retiring(self, identity: str) -> None:
        """Mark a replica, whether a member or not, that must leave permanently."""
        self._retiring.add(identity)

    def propose(self, now: float, writes: list[Write]) -> Position:
        """On the primary: make writes durable locally and replicate them; they may never be committed.

        Raises:
            WriteRejected: the store can never take them; nothing has changed.
            StoreFailed: the local store failed, and the replica has stepped down.
        """
        if self.role is not Role.PRIMARY:
            raise StoreFailed("this replica is not the primary")
        self.store.check_writes(writes)
        update = Update(Position(self.epoch, self.position.version + 1), writes)
        previous = self.position
        try:
            self.store.apply([update])
        except WriteRejected:
            raise
        except StoreFailed:
            self._step_down(now)
            raise
        self._history.add(update)
        if self._reload_group_if_changed(writes):
            self._group_change_version = update.position.version
        for identity, peer in self._peers.items():
            if peer.sent_position == previous:
                self._send(identity, self._make_replicate(now, peer, previous, [update]))
                peer.sent_position = update.position
        self._advance_committed(now)
        return update.position

    def resign(self, now: float) -> None:
        """On the primary: give up the epoch if data derived from its state may differ from the store."""
        if self.role is Role.PRIMARY:
            self._step_down(now)

    def transfer_leadership(self, now: float) -> bool:
        """On the primary: transfer leadership to the newest backup once it has caught up; false without one.

        From now on this replica does not lead, so that no more writes are made.
        """
        if self.role is not Role.PRIMARY or self._transfer_deadline is not None:
            return False
        eligible = self._eligible_successors(now)
        if not eligible:
            return False
        highest_version = max(self._synced_version(identity) for identity in eligible)
        self._successor = self._rng.choice(
            [i for i in eligible if self._synced_version(i) == highest_version]
        )
        self._transfer_deadline = now + self.timing.transfer_timeout
        self._notify_successor()
        return True

    def _eligible_successors(self, now: float) -> list[str]:
        """The members that could lead next; auxiliary ones only if no other can."""
        others = sorted(self._members - {self.identity} - self._leaving())
        able = [member for member in others if self._can_succeed(now, member)]
        return [member for member in able if not is_auxiliary(member)] or able

    def _can_succeed(self, now: float, identity: str) -> bool:
        """Whether a member could lead once it has received the updates already sent to it."""
        peer = self._peers.get(identity)
        if peer is None or peer.synced_position is None or peer.snapshot_transfer is not None:
            return False
        return now - peer.last_heard_at < self.timing.lease

    def _synced_version(self, identity: str) -> int:
        if identity == self.identity:
            return self.position.version
        peer = self._peers.get(identity)
        return peer.synced_position.version if peer is not None and peer.synced_position is not None else 0

    def _notify_successor(self) -> None:
        """Ask the successor to take over once it has the full state."""
        if self._successor is not None and self._peers[self._successor].synced_position == self.position:
            self._send(self._successor, TakeOver(self.epoch))
            self._successor = None

    def tick(self, now: float) -> None:
        """Advance the time; to be called at least once per heartbeat interval."""
        try:
            if self.role is Role.PRIMARY:
                self._tick_primary(now)
            elif now >= self._election_due_at and self.identity in self._members:
                self._start_election(now, pre_vote=True)
        except StoreFailed:
            self._step_down(now)

    def _tick_primary(self, now: float) -> None:
        if self._transfer_deadline is not None and now >= self._transfer_deadline:
            self._abandon_transfer(now)
            return
        if now >= self._next_heartbeat_at:
            self._send_heartbeats(now)
        confirmed_at = max(self._lease.majority_confirmed_at(self._members), self._primary_since)
        if now - confirmed_at > 2 * self.timing.election_timeout_min:
            self._step_down(now)
            return
        if self.committed < self.position.version:
            self._advance_committed(now)  # a member that it waited for may be silent by now
        self._maintain_membership(now)

    def _abandon_transfer(self, now: float) -> None:
        """Abandon a transfer of leadership that did not complete in time.

        The successor may still take over, and the witnesses grant it the epoch without waiting for a lease to
        expire. So this replica must not lead again in the epoch that it offered: it requests the next one.
        """
        self._step_down(now)
        self._start_election(now, pre_vote=False, transfer=True)

    def receive(self, now: float, sender: str, message: ReplicaMessage) -> None:
        try:
            if isinstance(message, Replicate | SnapshotChunk):
                self._on_primary_message(now, sender, message)
            elif isinstance(message, Replicated):
                self._on_replicated(now, sender, message)
            elif isinstance(message, RequestEpoch):
                self._on_epoch_request(now, sender, message)
            elif isinstance(message, EpochAnswer):
                self._on_epoch_answer(now, sender, message)
            elif message.epoch == self.epoch and self.identity in self._members:
                self._start_election(now, pre_vote=False, transfer=True)
        except StoreFailed:
            self._step_down(now)

    # --- backup ---

    def _on_primary_message(self, now: float, sender: str, message: Replicate | SnapshotChunk) -> None:
        if self._is_outdated(message):
            self._send(sender, self._make_replicated(message, gap=True))
            return
        self._reject_unreadable_format(message)
        if message.epoch > self.epoch:
            self.store.grant(message.epoch)
        if self.role is not Role.BACKUP:
            self._step_down(now)
        self.primary = sender
        self._primary_message_at = now
        self._election_due_at = now + self._election_timeout(now)
        if isinstance(message, SnapshotChunk):
            accepted = self._stage_chunk(message)
        else:
            accepted = self._apply_updates(message)
        if accepted and self.position >= self._resulting_position(message):
            self.committed = max(self.committed, min(message.committed, self.position.version))
        self._send(sender, self._make_replicated(message, not accepted, self.store.staged))

    def _make_replicated(
        self, message: Replicate | SnapshotChunk, gap: bool, staged: Staged | None = None
    ) -> Replicated:
        """The reply to a message of a primary."""
        return Replicated(self.epoch, self.position, message.sent_at, gap, staged, self.formats.reads)

    def _is_outdated(self, message: Replicate | SnapshotChunk) -> bool:
        """Whether the message comes from the primary of an earlier epoch."""
        return message.epoch < self.epoch

    def _reject_unreadable_format(self, message: Replicate | SnapshotChunk) -> None:
        """Refuse a record format that this program cannot read: it would misinterpret the state.

        Raises:
            StoreFailed: the message raises the group to such a format.
        """
        updates = message.updates if isinstance(message, Replicate) else []
        entries = message.entries if isinstance(message, SnapshotChunk) else []
        writes = [*entries, *(write for update in updates for write in update.writes)]
        record_formats = [decode_format(write.value) for write in writes if write.key == FORMAT_KEY]
        if any(record_format > self.formats.reads for record_format in record_formats):
            self.unreadable_format = max(record_formats)
            raise StoreFailed(
                f"records of form {max(record_formats)}; this program reads up to {self.formats.reads}"
            )

    @staticmethod
    def _resulting_position(message: Replicate | SnapshotChunk) -> Position:
        """The position of the state after the message."""
        if isinstance(message, SnapshotChunk):
            return message.position
        return message.updates[-1].position if message.updates else message.previous

    def _apply_updates(self, message: Replicate) -> bool:
        """Apply updates that follow the current or the staged state; false if there is a gap."""
        if self._follows_own_state(message.previous):
            if message.updates:
                self.store.apply(message.updates)
                self._reload_group_if_changed(
                    [write for update in message.updates for write in update.writes]
                )
            return True
        staged = self.store.staged
        if message.staged and staged is not None and message.previous == staged.position:
            if message.updates:
                self.store.stage_updates(message.updates)
            return True
        own_indexes = [
            index for index, update in enumerate(message.updates) if update.position == self.position
        ]
        if not own_indexes:
            return False
        missing = message.updates[own_indexes[0] + 1 :]
        if missing:
            self.store.apply(missing)
            self._reload_group_if_changed([write for update in missing for write in update.writes])
        return True

    def _follows_own_state(self, previous: Position) -> bool:
        """Whether updates after the given position follow the current state."""
        return previous == self.position

    def _stage_chunk(self, chunk: SnapshotChunk) -> bool:
        """Stage a chunk of a snapshot and install it after the last chunk; false if there is a gap."""
        if self._already_has_snapshot(chunk):
            return True
        if not self._is_next_chunk(chunk):
            return False
        self.store.stage(chunk.entries, Staged(chunk.position, chunk.through), first=not chunk.after)
        if chunk.last:
            self.store.install_staged()
            self._load_group()
        return True

    def _already_has_snapshot(self, chunk: SnapshotChunk) -> bool:
        """Whether this replica is already at the position of the snapshot or later.

        Data of an old connection may be read after that of a new one. A state that the primary counts as
        synced must never be replaced by an older one.
        """
        return self.position.epoch == chunk.epoch and self.position >= chunk.position

    def _is_next_chunk(self, chunk: SnapshotChunk) -> bool:
        """Whether the chunk starts a snapshot or follows the staged part."""
        return not chunk.after or self.store.staged == Staged(chunk.position, chunk.after)

    def _reload_group_if_changed(self, writes: list[Write]) -> bool:
        """Reload the group's records if a write changes one of them; whether any did."""
        changes_group = any(write.key in GROUP_STATE_KEYS for write in writes)
        if changes_group:
            self._load_group()
        return changes_group

    def _load_group(self) -> None:
        self._members = decode_identities(self.store.get(MEMBERS_KEY))
        self._barred = decode_identities(self.store.get(BARRED_KEY))
        self._format = decode_format(self.store.get(FORMAT_KEY))

    # --- witness and candidate ---

    def _election_timeout(self, now: float) -> float:
        delay = self.timing.auxiliary_election_delay if self.auxiliary else 0.0
        if self._recently_started(now) and self.primary is None:
            return delay + self.timing.initial_election_timeout * (0.5 + self._rng.random())
        spread = self.timing.election_timeout_spread * self._rng.random()
        return delay + self.timing.election_timeout_min + spread

    def _witness_view(self, now: float) -> WitnessView:
        since_primary_message_s = None if self.primary is None else now - self._primary_message_at
        leads = (
            self.role is Role.PRIMARY
            and now < self._lease.expires_at(self._members)
            and self._transfer_deadline is None
        )
        return WitnessView(self.epoch, self.position, since_primary_message_s, leads, now - self._started_at)

    def _recently_started(self, now: float) -> bool:
        return now - self._started_at < self.timing.lease

    def _start_election(
        self, now: float, pre_vote: bool, transfer: bool = False, without_leader: bool = False
    ) -> None:
        """Request the next epoch from the witnesses; a pre-vote only asks whether they would grant it."""
        self._pre_vote = pre_vote
        self._pre_vote_ends_at = now + self.timing.pre_vote_window
        self._requested_epoch = self.epoch + 1
        self._election_due_at = now + self._election_timeout(now)
        if not pre_vote:
            self.store.grant(self._requested_epoch)  # by this replica's own witness
            self.role = Role.CANDIDATE
            self.primary = None
        self._votes = {self.identity}
        self._members_without_leader = set()
        request = RequestEpoch(self._requested_epoch, self.position, pre_vote, transfer, without_leader)
        for member in sorted(self._members - {self.identity}):
            self._send(member, request)
        self._check_votes(now)

    def _on_epoch_request(self, now: float, sender: str, message: RequestEpoch) -> None:
        decision = decide(self._witness_view(now), message, self.timing)
        if message.trial and self._outranks(now, sender, message):
            decision = REFUSED
        if decision.granted or decision.recently_started:
            # Where every remaining member must vote, two simultaneous candidates would block each other.
            self._election_due_at = now + self._election_timeout(now)
            if self._pre_vote:
                self._requested_epoch = 0  # abandons an own pre-vote that is running
        if decision.granted and not message.trial:
            if self.role is not Role.BACKUP:
                self._step_down(now)
            self.store.grant(message.epoch)
            self.primary = None
        answer = EpochAnswer(
            message.epoch, decision.granted, message.trial, self.epoch, decision.recently_started
        )
        self._send(sender, answer)

    def _outranks(self, now: float, sender: str, message: RequestEpoch) -> bool:
        """Whether a pre-vote of this replica is running that takes precedence over the sender's.

        Two replicas that grant each other's pre-vote both request the epoch, and neither gets all the votes.
        """
        is_running = (
            self._pre_vote and now < self._pre_vote_ends_at and self._requested_epoch == message.epoch
        )
        own_rank = (self.position, not self.auxiliary, self.identity)
        return is_running and own_rank > (message.position, not is_auxiliary(sender), sender)

    def _on_epoch_answer(self, now: float, sender: str, message: EpochAnswer) -> None:
        is_current = message.epoch == self._requested_epoch and message.trial == self._pre_vote
        if message.young and message.trial and is_current and self.role is Role.BACKUP:
            self._members_without_leader.add(sender)
            self._check_votes(now)
        elif not message.granted:
            self._on_epoch_refused(now, message)
        elif is_current and self.role is not Role.PRIMARY and sender in self._members:
            self._votes.add(sender)
            self._check_votes(now)

    def _on_epoch_refused(self, now: float, message: EpochAnswer) -> None:
        """Adopt a newer epoch that a witness reports, so that the next request is above it."""
        if message.highest <= self.epoch:
            return
        if self.role is Role.CANDIDATE:
            self.store.grant(message.highest)
            self._step_down(now)
        elif message.trial and self.role is Role.BACKUP:
            self.store.grant(message.highest)

    def _check_votes(self, now: float) -> None:
        if self._pre_vote and self.role is Role.BACKUP and self._no_member_has_leader(now):
            self._start_election(now, pre_vote=False, without_leader=True)
            return
        if len(self._votes & self._members) < majority(len(self._members)):
            return
        if self._pre_vote:
            if self._requested_epoch == self.epoch + 1 and not self._recently_started(now):
                self._start_election(now, pre_vote=False)
        elif self.epoch == self._requested_epoch and self.role is Role.CANDIDATE:
            self._become_primary(now)

    def _no_member_has_leader(self, now: float) -> bool:
        """Whether no lease can be valid, because every member has reported that it follows no primary."""
        lease_wait_applies = self._recently_started(now) or bool(self._members_without_leader)
        return lease_wait_applies and self._members <= self._votes | self._members_without_leader

    # --- primary ---

    def _become_primary(self, now: float) -> None:
        self.role = Role.PRIMARY
        self.primary = self.identity
        self._transfer_deadline = None
        self._peers = {i: Peer(now) for i in (self._members | self._learners) - {self.identity}}
        self._lease = Lease(self.identity, self.timing)
        self._commit_rule = self._new_commit_rule()
        self._history = History(self.position)
        self._epoch_first_version = self._group_change_version = self.position.version + 1
        self._committed_at_heartbeats = (self._epoch_first_version, self._epoch_first_version)
        self._primary_since = now
        self._send_heartbeats(now)
        # An empty update commits the writes of earlier epochs and starts this one.
        self.propose(now, [])

    def _new_commit_rule(self) -> CommitRule:
        return CommitRule(tolerated_losses(self._size.min_live) + 1, self.timing.replace_after)

    def _step_down(self, now: float) -> None:
        self.role = Role.BACKUP
        self.primary = None
        self._transfer_deadline = None
        self._successor = None
        self._peers = {}
        self._votes = set()
        self._election_due_at = now + self._election_timeout(now)

    def _epoch_is_committed(self) -> bool:
        """Whether this epoch's first write is committed, and with it all writes of earlier epochs."""
        return self.committed >= self._epoch_first_version

    def _send_heartbeats(self, now: float) -> None:
        self._next_heartbeat_at = now + self.timing.heartbeat
        self._committed_at_heartbeats = (self._committed_at_heartbeats[1], self.committed)
        for identity, peer in self._peers.items():
            self._send_heartbeat(now, identity, peer)

    def _send_heartbeat(self, now: float, identity: str, peer: Peer) -> None:
        self._send(identity, self._make_replicate(now, peer, peer.sent_position or self.position, []))

    def _make_replicate(self, now: float, peer: Peer, previous: Position, updates: list[Update]) -> Replicate:
        staged = peer.snapshot_transfer is not None
        return Replicate(self.epoch, previous, updates, self.committed, now, staged)

    def _on_replicated(self, now: float, sender: str, message: Replicated) -> None:
        if message.epoch > self.epoch:
            self.store.grant(message.epoch)
            self._step_down(now)
            return
        peer = self._peers.get(sender)
        if self.role is not Role.PRIMARY or peer is None or message.epoch != self.epoch:
            return
        peer.last_heard_at = now
        peer.has_replied = True
        peer.readable_format = message.reads_form
        self._lease.confirm(sender, message.sent_at)
        if message.gap and peer.sent_position is not None and message.sent_at <= peer.catch_up_sent_at:
            return  # a reply to an earlier message; the next heartbeat shows whether the catch-up arrived
        if message.gap or peer.sent_position is None:
            self._catch_up(now, sender, peer, message)
            return
        if self._is_known_state(message.position):
            peer.synced_position = message.position
            peer.snapshot_transfer = None
            self._advance_committed(now)
            self._notify_successor()
        elif peer.snapshot_transfer is not None:
            self._continue_snapshot(now, sender, peer, peer.snapshot_transfer, message)

    def _is_known_state(self, position: Position) -> bool:
        """Whether this primary has itself been at the position that a replica reports.

        Under many writes, a reply may be older than the updates retained in memory, but every update of this
        epoch was made by this primary itself.
        """
        from_own_epoch = position.epoch == self.epoch and position.version <= self.position.version
        return from_own_epoch or position == self.position or self._history.contains(position)

    def _catch_up(self, now: float, identity: str, peer: Peer, reply: Replicated) -> None:
        """Send a replica the updates since the position that it reports, or a snapshot."""
        peer.catch_up_sent_at = now
        peer.snapshot_transfer = None
        missing = [] if reply.position == self.position else self._history.since(reply.position)
        if missing is None:
            missing = self._merged_changes_since(reply.position)
        if missing is None:
            self._start_snapshot(now, identity, peer, reply.staged)
            return
        peer.synced_position = reply.position
        peer.sent_position = self.position
        if missing:
            self._send(identity, self._make_replicate(now, peer, reply.position, missing))
        self._advance_committed(now)

    def _merged_changes_since(self, position: Position) -> list[Update] | None:
        """One update from a position of an earlier epoch to the current one; None if it is not known."""
        writes = self.store.changed_since(position)
        return None if writes is None else [Update(self.position, writes)]

    def _start_snapshot(self, now: float, identity: str, peer: Peer, staged: Staged | None) -> None:
        """Start a snapshot transfer, or resume it after the part that the replica has staged."""
        updates_since_staged = self._history.since(staged.position) if staged is not None else None
        peer.snapshot_transfer = SnapshotTransfer(staged if updates_since_staged is not None else None)
        peer.sent_position = self.position
        if staged is not None and updates_since_staged:
            self._send(identity, self._make_replicate(now, peer, staged.position, updates_since_staged))
        self._send_chunks(now, identity, peer.snapshot_transfer)

    def _continue_snapshot(
        self, now: float, identity: str, peer: Peer, transfer: SnapshotTransfer, reply: Replicated
    ) -> None:
        """Handle a reply received while a snapshot transfer is running."""
        if transfer.lost_chunk(reply):
            self._catch_up(now, identity, peer, reply)
        elif reply.staged is not None:
            transfer.record_acknowledged(reply.staged.through)
            self._send_chunks(now, identity, transfer)

    def _send_chunks(self, now: float, identity: str, transfer: SnapshotTransfer) -> None:
        while transfer.can_send:
            after = transfer.through
            chunk = self.store.chunk(after, CHUNK_BYTES)
            transfer.record_sent(now, chunk)
            through, last = chunk.through, chunk.last
            message = SnapshotChunk(
                self.epoch, self.position, after, through, chunk.entries, last, self.committed, now
            )
            self._send(identity, message)

    def _advance_committed(self, now: float) -> None:
        """Advance `committed` to the newest version that has enough copies.

        Another primary may still overwrite a write of an earlier epoch that a majority has synced; it is
        committed only together with a later write of this epoch.
        """
        if not self._members:
            return
        version = self._commit_rule.committed_version(
            now, [self._synced_version(member) for member in self._members], self._live_member_count(now)
        )
        if self._is_committed_by_majority(version):
            self.committed = max(self.committed, version)

    def _live_member_count(self, now: float) -> int:
        """The number of members that have replied, are not silent, and whose disk is not known to be lost."""
        return sum(
            member not in self._replaced
            and self._has_replied(member)
            and not self._is_silent(now, member, self.timing.replace_after)
            for member in self._members
        )

    def _has_replied(self, identity: str) -> bool:
        peer = self._peers.get(identity)
        return identity == self.identity or (peer is not None and peer.has_replied)

    def _is_committed_by_majority(self, version: int) -> bool:
        """Whether a version synced by a majority is thereby committed."""
        return version >= self._epoch_first_version

    # --- membership ---

    def _leaving(self) -> frozenset[str]:
        return self._barred | self._retiring | self._replaced

    def _group_view(self, now: float) -> GroupView:
        silent = {i for i in self._members if self._is_silent(now, i, self.timing.replace_after)}
        absent = {i for i in silent if self._is_silent(now, i, self.timing.absent_after)}
        return GroupView(
            identity=self.identity,
            members=self._members,
            barred=self._barred,
            retiring=frozenset(self._retiring),
            replaced=frozenset(self._replaced),
            silent=frozenset(silent),
            synced=self.synced,
            heard=lambda identity: not self._is_silent(now, identity, self.timing.lease),
            absent=frozenset(absent),
            withdrawn=self.withdrawn,
            allows_auxiliary=self.allows_auxiliary,
        )

    def _may_change_members(self, now: float) -> bool:
        """Whether the group may change: one change at a time, after the previous one is committed.

        Other writes need not be committed. Any majorities of two groups that differ by one member have a
        member in common, and updates are applied in order, so a replica that has the change has everything
        before it.
        """
        return self.membership_committed(now)

    def _maintain_membership(self, now: float) -> None:
        if not self._may_change_members(now):
            return
        view = self._group_view(now)
        self._drop_learners(now, view)
        record_format = self._next_format(view)
        if record_format is not None:
            self.propose(now, [Write(FORMAT_KEY, encode_format(record_format))])
            return
        change = next_change(view, self._learners, self._size)
        if change is not None:
            self.propose(now, change.writes(view))
            self._learners -= change.members
            for removed in view.members - change.members:
                self._peers.pop(removed, None)
            return
        if needs_learner(view, self._learners, self._size):
            self._add_learner(now, view)
        leaves = self.identity in view.leaving and len(view.live) >= self._size.min_live
        if leaves or self._can_yield(now):
            self.transfer_leadership(now)

    def _can_yield(self, now: float) -> bool:
        """Whether this replica is auxiliary and another member could lead in its place."""
        return self.auxiliary and any(not is_auxiliary(member) for member in self._eligible_successors(now))

    def _next_format(self, view: GroupView) -> int | None:
        """The format that the group may be raised to: every member, including silent ones, can read it."""
        others = view.members - {self.identity}
        return next_format(self._format, self.formats, [self._readable_format(other) for other in others])

    def _readable_format(self, identity: str) -> int:
        """The newest format that another replica's program has reported it can read."""
        peer = self._peers.get(identity)
        return peer.readable_format if peer is not None else FIRST_FORMAT

    def _add_learner(self, now: float, view: GroupView) -> None:
        recruits = lacks_auxiliary(view, self._learners, self._size)
        learner = next_learner(view, self._learners, self.join_candidates, self._learner_failed_at, recruits)
        if learner is not None:
            self._learners.add(learner)
            self._peers[learner] = Peer(now)
            self._send_heartbeat(now, learner, self._peers[learner])

    def _drop_learners(self, now: float, view: GroupView) -> None:
        """Drop learners that are silent, must leave or have become members."""
        for learner in sorted(self._learners):
            is_silent = self._is_silent(now, learner, self.timing.replace_after)
            if is_silent or learner in view.leaving or learner in view.members:
                self._learners.discard(learner)
                if learner not in view.members:
                    self._learner_failed_at[learner] = now
                    self._peers.pop(learner, None)

    def _is_silent(self, now: float, identity: str, for_s: float) -> bool:
        if identity == self.identity:
            return False
        return now - self._peers.setdefault(identity, Peer(now)).last_heard_at > for_s

    def _send(self, recipient: str, message: ReplicaMessage) -> None:
        self.outbox.append(Outgoing(recipient, message))
