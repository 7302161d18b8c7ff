"""Planted faults: each disables one safety check of the product, and a schedule or a trace must find it.

Drawn and named schedules find a fault that breaks a guarantee. Where other checks cover the disabled one, no
schedule fails; a trace then tests the check itself.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

import msgspec

from eiderhub.control import configuration, retirement
from eiderhub.control.change_processor import ChangeOutcome, ChangeProcessor, ChangeResult
from eiderhub.control.messages import SessionPong
from eiderhub.control.publication import Publication
from eiderhub.coordination import commit_rule, membership, witness
from eiderhub.coordination.commits import CommitQueue
from eiderhub.coordination.lease import Lease
from eiderhub.coordination.replication import Replica, Role
from eiderhub.coordination.roster import Roster
from eiderhub.coordination.timing import Timing
from tests.model import members, world
from tests.model.disk import Disk, UnsyncedDisk
from tests.model.members import Machine
from tests.model.seeds import Patch, patched


class PlantedFault(NamedTuple):
    """A disabled safety check, and the schedule or trace that must fail because of it."""

    name: str
    point: int  # of docs/control-guarantees.md; 0: a guarantee that all points depend on
    found_by: str  # name of a drawn schedule, a named schedule or a trace
    patches: tuple[Patch, ...] = ()
    disk: Callable[[], Disk] = Disk

    @contextmanager
    def planted(self) -> Iterator[None]:
        """Apply the fault's patches."""
        with patched(self.patches):
            yield


class ForgetfulDisk(Disk):
    """A disk that loses the epoch which the witness granted when it loses power."""

    def lose_power(self) -> None:
        self.epoch = min(self.epoch, self.position.epoch)


def _always(value: Any) -> Callable[..., Any]:
    return lambda *arguments, **named: value


_on_replicated = Replica._on_replicated
_stage_chunk = Replica._stage_chunk
_begin = ChangeProcessor._begin
_age = Publication.age
_next_state = retirement.next_state
_decide = configuration.decide
_answer = Publication.answer


def _confirm_on_arrival(self: Replica, now: float, sender: str, message: Any) -> None:
    _on_replicated(self, now, sender, msgspec.structs.replace(message, sent_at=now))


def _lead_after_transfer(self: Replica, now: float) -> None:
    self._transfer_deadline = None


def _install_each_chunk(self: Replica, chunk: Any) -> bool:
    return _stage_chunk(self, msgspec.structs.replace(chunk, last=True))


def _answer_repeat_at_once(self: Any, now: float, order: Any) -> Any:
    if self.leads(now):
        decided = self._decide(order.change, order.checked)
        if decided.is_ok() and not decided.ok_value.writes:
            return ChangeResult(order.caller, ChangeOutcome.ACKNOWLEDGED)
    return _begin(self, now, order)


def _decide_on_uncommitted_state(self: Any, now: float, order: Any) -> Any:
    """Decide and answer changes from the store's state, also where that is not committed."""
    self._read_newest()
    return _answer_repeat_at_once(self, now, order)


def _read_uncommitted_state(self: Any, now: float) -> Any:
    if self._replica.role is not Role.PRIMARY:
        return None
    self._read_newest()
    return self._newest


def _send_pong_before_tables(self: Publication, now: float, subscriber: Any, ping: Any) -> list[Any]:
    messages = _answer(self, now, subscriber, ping)
    return [each for each in messages if isinstance(each, SessionPong)] + [
        each for each in messages if not isinstance(each, SessionPong)
    ]


def _report_age_of_primary(self: Publication, now: float) -> float | None:
    return None if _age(self, now) is None else 0.0


def _same_version(self: Replica, previous: Any) -> bool:
    return bool(previous.version == self.position.version)


def _not_newer(self: Replica, position: Any) -> bool:
    return bool(position.version <= self.position.version)


def _leads_with_uncommitted_writes(self: Replica, now: float) -> bool:
    return self.leads(now)


def _enough_live(view: Any, size: Any) -> bool:
    return bool(len(view.live) >= size.min_live)


def _all_synced(view: Any, size: Any) -> bool:
    return all(bool(view.synced(member)) for member in view.live)


def _more_than_needed(view: Any, size: Any) -> bool:
    return len(view.live) > size.min_live and _all_synced(view, size)


def _connected(view: Any, learner: str) -> bool:
    return learner not in view.leaving and bool(view.heard(learner))


def _synced_and_connected(view: Any, learner: str) -> bool:
    return bool(view.synced(learner)) and bool(view.heard(learner))


def _equal_epoch(view: Any, request: Any) -> bool:
    return bool(request.epoch >= view.epoch)


def _some_have_no_leader(self: Replica, now: float) -> bool:
    return self._recently_started(now) or bool(self._members_without_leader)


def _any_candidate(self: Roster, replica: Replica, retiring: Any) -> list[str]:
    return sorted(i for i in self._identity_at.values() if i not in replica.members)


def _wipe_without_new_identity(self: Machine) -> None:
    self.lose_power()
    self.disk = self.world.make_disk()


def _empty_without_bar(order: Any, report: Any) -> bool:
    return bool(report.synced) and set(order.identities).isdisjoint(report.members)


def _empty_unsynced(order: Any, report: Any) -> bool:
    return set(order.identities) <= set(report.barred)


def _first_identity_only(name: str, order: Any, nodes: Any, report: Any) -> Any:
    return _next_state(name, order, [], report)


def _retired_identities_only(self: Roster, members: Any) -> frozenset[str]:
    return self.retired


def _forget_recorded_digest(
    current: Any, recorded_digest: Any, last_purged: int, change: Any, document: Any, items: Any
) -> Any:
    return _decide(current, None, last_purged, change, document, items)


def _record_at_arrival(freshness: Any, answer: Any, now: float) -> None:
    freshness.record_answer(now, answer.age_s)


def _outcome_of_any_epoch(self: Any, epoch: int) -> bool:
    return self._replica.role is Role.PRIMARY


def _timing(**changed: float) -> Patch:
    return (world, "Timing", lambda: Timing()._replace(**changed))


FAULTS = (
    PlantedFault(
        "a granted epoch is granted again",
        0,
        "concurrent_short_faults",
        ((witness, "is_new_epoch", _equal_epoch), (Replica, "_outranks", _always(False))),
    ),
    PlantedFault(
        "an epoch is granted to a second candidate",
        0,
        "epoch_is_granted_to_one_candidate_only",
        ((witness, "is_new_epoch", _equal_epoch),),
    ),
    PlantedFault(
        "a candidate may lack updates that the witness has",
        0,
        "concurrent_short_faults",
        ((witness, "is_up_to_date", _always(True)),),
    ),
    PlantedFault(
        "a witness grants though it follows a primary",
        1,
        "restarted_between",
        ((witness, "has_live_primary", _always(False)),),
    ),
    PlantedFault(
        "a witness grants at once after its start",
        1,
        "restarted_between",
        ((witness, "is_recently_started", _always(False)),),
    ),
    PlantedFault(
        "not every member reports that it has no leader",
        1,
        "restarted_witnesses",
        ((Replica, "_no_member_has_leader", _some_have_no_leader),),
    ),
    PlantedFault(
        "the lease is longer than the election wait", 1, "concurrent_short_faults", (_timing(lease=1.8),)
    ),
    PlantedFault(
        "the lease never expires", 1, "overlapping_faults", ((Lease, "expires_at", _always(float("inf"))),)
    ),
    PlantedFault(
        "the lease counts from an answer's arrival",
        1,
        "late_answers",
        ((Replica, "_on_replicated", _confirm_on_arrival),),
    ),
    PlantedFault(
        "a primary leads again in an epoch that it transferred",
        1,
        "frozen_successor",
        ((Replica, "_abandon_transfer", _lead_after_transfer),),
    ),
    PlantedFault(
        "freshness counts from an answer's arrival",
        1,
        "woken_backup",
        ((members, "record_answer", _record_at_arrival),),
    ),
    PlantedFault(
        "a backup reports an age of zero like the primary",
        1,
        "single_losses",
        ((Publication, "age", _report_age_of_primary),),
    ),
    PlantedFault(
        "every replica reports its tables as current",
        1,
        "concurrent_short_faults",
        ((Publication, "age", _always(0.0)),),
    ),
    PlantedFault(
        "the answer with the age is sent before the tables",
        1,
        "concurrent_short_faults",
        ((Publication, "answer", _send_pong_before_tables),),
    ),
    PlantedFault(
        "a primary leads before its epoch is committed",
        2,
        "primary_of_an_uncommitted_epoch_does_not_lead",
        ((Replica, "_epoch_is_committed", _always(True)),),
    ),
    PlantedFault(
        "an earlier epoch's write is committed by counting",
        2,
        "earlier_write_is_not_committed_by_counting",
        ((Replica, "_is_committed_by_majority", _always(True)),),
    ),
    PlantedFault(
        "two changes are decided concurrently, on uncommitted state",
        2,
        "races_with_lost_answers",
        (
            (ChangeProcessor, "_is_busy", _always(False)),
            (ChangeProcessor, "_begin", _decide_on_uncommitted_state),
        ),
    ),
    PlantedFault(
        "a write is read before it is committed",
        2,
        "cut_off_for_twenty_seconds",
        ((ChangeProcessor, "newest", _read_uncommitted_state),),
    ),
    PlantedFault(
        "the digest of an accepted change is not stored",
        2,
        "single_losses",
        ((configuration, "decide", _forget_recorded_digest),),
    ),
    PlantedFault(
        "a waiter gets the outcome of another epoch's commit",
        2,
        "waiter_of_an_earlier_epoch_gets_unknown",
        ((CommitQueue, "_leads_epoch", _outcome_of_any_epoch),),
    ),
    PlantedFault(
        "a silent member is replaced only after six seconds",
        3,
        "single_losses",
        (_timing(replace_after=6.0),),
    ),
    PlantedFault(
        "members change on top of an uncommitted change",
        3,
        "two_join_while_cut",
        ((Replica, "_may_change_members", _leads_with_uncommitted_writes),),
    ),
    PlantedFault(
        "a member is removed before the others are synced",
        3,
        "member_is_removed_only_once_others_are_synced",
        ((membership, "may_remove", _enough_live),),
    ),
    PlantedFault(
        "a member is removed though too few remain",
        3,
        "disk_lost_while_another_is_down",
        ((membership, "may_remove", _all_synced),),
    ),
    PlantedFault(
        "a dead member is kept while fewer live ones than needed remain",
        3,
        "disks_lost_in_turn",
        ((membership, "removable_dead", _always(frozenset())),),
    ),
    PlantedFault(
        "a group that is too small recruits no auxiliary replica",
        3,
        "losses_together",
        ((Roster, "recruits", _always([])),),
    ),
    PlantedFault(
        "an auxiliary primary does not yield",
        3,
        "losses_together",
        ((Replica, "_can_yield", _always(False)),),
    ),
    PlantedFault(
        "an auxiliary replica is surplus though a member has just been lost",
        3,
        "auxiliary_stays_while_a_member_is_unheard",
        ((membership, "has_surplus", _more_than_needed),),
    ),
    PlantedFault(
        "a group that is too small commits with a majority alone",
        3,
        "small_group_commits_with_more_copies_than_may_be_lost",
        ((commit_rule.CommitRule, "_copies", lambda self, quorum, live: quorum),),
    ),
    PlantedFault(
        "two candidates grant each other's pre-vote",
        3,
        "simultaneous_candidates_do_not_block_each_other",
        ((Replica, "_outranks", _always(False)),),
    ),
    PlantedFault(
        "a learner is admitted before it is synced",
        3,
        "learner_with_full_disk",
        ((membership, "may_admit", _connected),),
    ),
    PlantedFault(
        "a retired replica is admitted again",
        3,
        "barred_replica_is_never_admitted",
        (
            (membership, "may_admit", _synced_and_connected),
            (Roster, "join_candidates", _any_candidate),
            (
                membership,
                "next_learner",
                lambda view, learners, candidates, given_up: next(
                    (c for c in candidates if c not in view.members and c not in learners), None
                ),
            ),
        ),
    ),
    PlantedFault(
        "a machine is empty though its replica is not barred",
        3,
        "machine_is_empty_once_barred",
        ((retirement, "is_empty", _empty_without_bar),),
    ),
    PlantedFault(
        "a machine is empty before the others are synced",
        3,
        "machine_is_empty_only_once_others_are_synced",
        ((retirement, "is_empty", _empty_unsynced),),
    ),
    PlantedFault(
        "a retirement covers only the first disk",
        3,
        "second_disk_of_a_machine_retires_too",
        (
            (retirement, "next_state", _first_identity_only),
            (Roster, "retiring", _retired_identities_only),
            (retirement, "is_empty", _empty_without_bar),
        ),
    ),
    PlantedFault(
        "a wiped replica keeps its identity",
        3,
        "empty_disk_votes",
        ((Machine, "wipe", _wipe_without_new_identity),),
    ),
    PlantedFault("a disk acknowledges before it has synced", 4, "retirements", (), UnsyncedDisk),
    PlantedFault(
        "a witness forgets the epoch that it granted",
        4,
        "granted_epoch_outlives_a_loss_of_power",
        (),
        ForgetfulDisk,
    ),
    PlantedFault(
        "a backup accepts updates of an outdated primary",
        4,
        "outdated_primary_is_not_followed",
        ((Replica, "_is_outdated", _always(False)),),
    ),
    PlantedFault(
        "a backup accepts updates by version only",
        4,
        "updates_of_another_history_are_not_applied",
        ((Replica, "_follows_own_state", _same_version),),
    ),
    PlantedFault(
        "a state is recognised by version only",
        4,
        "state_of_another_history_is_not_counted",
        ((Replica, "_is_known_state", _not_newer),),
    ),
    PlantedFault(
        "a chunk is staged without its predecessor",
        4,
        "chunk_without_its_predecessor_is_refused",
        ((Replica, "_is_next_chunk", _always(True)),),
    ),
    PlantedFault(
        "a snapshot is installed before it is complete",
        4,
        "concurrent_short_faults",
        ((Replica, "_stage_chunk", _install_each_chunk),),
    ),
    PlantedFault(
        "a snapshot replaces a newer state",
        4,
        "older_snapshot_changes_nothing",
        ((Replica, "_already_has_snapshot", _always(False)),),
    ),
    PlantedFault(
        "updates during a snapshot are not staged",
        4,
        "overlapping_faults",
        ((Disk, "stage_updates", _always(None)),),
    ),
)
