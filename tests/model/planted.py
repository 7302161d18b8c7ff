"""Planted faults: each takes one guard out of the product, and a schedule or a trace must find it.

Drawn and named schedules find what breaks a promise. Where other guards stand behind the one that is taken
out, no schedule does; a trace then holds what the guard itself does.
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
from eiderhub.coordination import membership, witness
from eiderhub.coordination.commits import CommitQueue
from eiderhub.coordination.lease import Lease
from eiderhub.coordination.replication import Replica, Role
from eiderhub.coordination.roster import Roster
from eiderhub.coordination.timing import Timing
from tests.model import members, world
from tests.model.disk import Disk, LazyDisk
from tests.model.members import Machine
from tests.model.seeds import Patch, patched


class PlantedFault(NamedTuple):
    name: str
    point: int  # of the five that the operators keep meeting; 0: a base that all of them rest on
    found_by: str  # name of a schedule, of a named schedule, or of a trace
    patches: tuple[Patch, ...] = ()
    disk: Callable[[], Disk] = Disk

    @contextmanager
    def planted(self) -> Iterator[None]:
        with patched(self.patches):
            yield


class ForgetfulDisk(Disk):
    """What the witness granted is gone once the process has ended."""

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


def _lead_again(self: Replica, now: float) -> None:
    self._transfer_deadline = None


def _install_each_chunk(self: Replica, chunk: Any) -> bool:
    return _stage_chunk(self, msgspec.structs.replace(chunk, last=True))


def _answer_repeat_at_once(self: Any, now: float, order: Any) -> Any:
    if self.leads(now):
        decided = self._decide(order.change)
        if decided.is_ok() and not decided.ok_value.writes:
            return ChangeResult(order.caller, ChangeOutcome.ACKNOWLEDGED)
    return _begin(self, now, order)


def _decide_on_what_is_written(self: Any, now: float, order: Any) -> Any:
    """Changes are decided on the store's state, committed or not, and answered from it."""
    self._read_newest()
    return _answer_repeat_at_once(self, now, order)


def _read_what_is_written(self: Any, now: float) -> Any:
    if self._replica.role is not Role.PRIMARY:
        return None
    self._read_newest()
    return self._newest


def _vouch_before_telling(self: Publication, now: float, subscriber: Any, ping: Any) -> list[Any]:
    told = _answer(self, now, subscriber, ping)
    return [each for each in told if isinstance(each, SessionPong)] + [
        each for each in told if not isinstance(each, SessionPong)
    ]


def _vouch_as_primary(self: Publication, now: float) -> float | None:
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


def _answers(view: Any, learner: str) -> bool:
    return learner not in view.leaving and bool(view.heard(learner))


def _whoever_is_up_to_date(view: Any, learner: str) -> bool:
    return bool(view.synced(learner)) and bool(view.heard(learner))


def _equal_epoch(view: Any, request: Any) -> bool:
    return bool(request.epoch >= view.epoch)


def _some_have_no_leader(self: Replica, now: float) -> bool:
    return self._recently_started(now) or bool(self._members_without_leader)


def _any_candidate(self: Roster, replica: Replica, retiring: Any) -> list[str]:
    return sorted(i for i in self._identity_at.values() if i not in replica.members)


def _keep_identity(self: Machine) -> None:
    self.lose_power()
    self.disk = self.world.make_disk()


def _empty_without_bar(order: Any, report: Any) -> bool:
    return bool(report.synced) and set(order.identities).isdisjoint(report.members)


def _empty_unsynced(order: Any, report: Any) -> bool:
    return set(order.identities) <= set(report.barred)


def _first_identity_only(name: str, order: Any, nodes: Any, report: Any) -> Any:
    return _next_state(name, order, [], report)


def _named_alone(self: Roster, members: Any) -> frozenset[str]:
    return self.retired


def _forget_recorded_digest(
    current: Any, recorded_digest: Any, last_purged: int, change: Any, document: Any
) -> Any:
    return _decide(current, None, last_purged, change, document)


def _note_on_arrival(freshness: Any, answer: Any, now: float) -> None:
    freshness.record_answer(now, answer.age_s)


def _outcome_of_any_epoch(self: Any, epoch: int) -> bool:
    return self._replica.role is Role.PRIMARY


def _timing(**changed: float) -> Patch:
    return (world, "Timing", lambda: Timing()._replace(**changed))


FAULTS = (
    PlantedFault(
        "a granted epoch is granted again", 0, "crossings", ((witness, "is_new_epoch", _equal_epoch),)
    ),
    PlantedFault(
        "a candidate may lack what the witness has",
        0,
        "crossings",
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
        "not every member says that it has no leader",
        1,
        "restarted_witnesses",
        ((Replica, "_no_member_has_leader", _some_have_no_leader),),
    ),
    PlantedFault("the lease is longer than the election wait", 1, "crossings", (_timing(lease=1.8),)),
    PlantedFault("there is no lease", 1, "beyond", ((Lease, "expires_at", _always(float("inf"))),)),
    PlantedFault(
        "the lease counts from an answer's arrival",
        1,
        "late_answers",
        ((Replica, "_on_replicated", _confirm_on_arrival),),
    ),
    PlantedFault(
        "a primary leads again in an epoch that it gave away",
        1,
        "frozen_successor",
        ((Replica, "_abandon_transfer", _lead_again),),
    ),
    PlantedFault(
        "freshness counts from an answer's arrival",
        1,
        "woken_backup",
        ((members, "note_answer", _note_on_arrival),),
    ),
    PlantedFault(
        "a backup vouches as if it were the primary", 1, "within", ((Publication, "age", _vouch_as_primary),)
    ),
    PlantedFault(
        "whoever is asked vouches for what it has", 1, "crossings", ((Publication, "age", _always(0.0)),)
    ),
    PlantedFault(
        "the answer that vouches comes before what it vouches for",
        1,
        "crossings",
        ((Publication, "answer", _vouch_before_telling),),
    ),
    PlantedFault(
        "a primary leads before its epoch is committed",
        2,
        "primary_of_an_open_epoch_does_not_lead",
        ((Replica, "_epoch_is_committed", _always(True)),),
    ),
    PlantedFault(
        "an earlier epoch's write is committed by counting",
        2,
        "earlier_write_is_not_committed_by_counting",
        ((Replica, "_is_committed_by_majority", _always(True)),),
    ),
    PlantedFault(
        "two changes are decided at once, on what is written",
        2,
        "races_with_lost_answers",
        (
            (ChangeProcessor, "_is_busy", _always(False)),
            (ChangeProcessor, "_begin", _decide_on_what_is_written),
        ),
    ),
    PlantedFault(
        "what is written is read before it is committed",
        2,
        "cut_off_for_twenty_seconds",
        ((ChangeProcessor, "newest", _read_what_is_written),),
    ),
    PlantedFault(
        "a change that was taken is not remembered",
        2,
        "within",
        ((configuration, "decide", _forget_recorded_digest),),
    ),
    PlantedFault(
        "a waiter is told of another epoch's commit",
        2,
        "waiter_of_an_earlier_epoch_is_told_nothing_certain",
        ((CommitQueue, "_leads_epoch", _outcome_of_any_epoch),),
    ),
    PlantedFault("a silent member stays for six seconds", 3, "within", (_timing(replace_after=6.0),)),
    PlantedFault(
        "members change on top of an uncommitted change",
        3,
        "two_join_while_cut",
        ((Replica, "_may_change_members", _leads_with_uncommitted_writes),),
    ),
    PlantedFault(
        "a member goes before the others have all",
        3,
        "member_stays_until_the_others_have_all",
        ((membership, "may_remove", _enough_live),),
    ),
    PlantedFault(
        "a member goes though too few remain",
        3,
        "disk_lost_while_another_is_down",
        ((membership, "may_remove", _all_synced),),
    ),
    PlantedFault(
        "a learner belongs before it has all",
        3,
        "learner_with_full_disk",
        ((membership, "may_admit", _answers),),
    ),
    PlantedFault(
        "a retired replica may belong again",
        3,
        "barred_replica_is_never_admitted",
        (
            (membership, "may_admit", _whoever_is_up_to_date),
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
        "a machine is empty though nothing bars it",
        3,
        "machine_is_empty_once_barred",
        ((retirement, "is_empty", _empty_without_bar),),
    ),
    PlantedFault(
        "a machine is empty before the others have all",
        3,
        "machine_is_empty_once_the_others_have_all",
        ((retirement, "is_empty", _empty_unsynced),),
    ),
    PlantedFault(
        "a retirement is of the first disk alone",
        3,
        "second_disk_of_a_machine_retires_too",
        (
            (retirement, "next_state", _first_identity_only),
            (Roster, "retiring", _named_alone),
            (retirement, "is_empty", _empty_without_bar),
        ),
    ),
    PlantedFault(
        "a wiped replica keeps its identity", 3, "empty_disk_votes", ((Machine, "wipe", _keep_identity),)
    ),
    PlantedFault("a disk acknowledges before it has synced", 4, "retirements", (), LazyDisk),
    PlantedFault(
        "a witness forgets what it granted", 4, "granted_epoch_outlives_a_loss_of_power", (), ForgetfulDisk
    ),
    PlantedFault(
        "a backup takes what a past primary sends",
        4,
        "past_primary_is_not_followed",
        ((Replica, "_is_outdated", _always(False)),),
    ),
    PlantedFault(
        "a backup takes updates by their number alone",
        4,
        "updates_of_another_past_leave_a_gap",
        ((Replica, "_follows_own_state", _same_version),),
    ),
    PlantedFault(
        "a state is known by its number alone",
        4,
        "state_of_another_past_is_not_counted",
        ((Replica, "_is_known_state", _not_newer),),
    ),
    PlantedFault(
        "a chunk is staged wherever it comes",
        4,
        "chunk_that_follows_nothing_is_refused",
        ((Replica, "_is_next_chunk", _always(True)),),
    ),
    PlantedFault(
        "a snapshot is installed before it is whole",
        4,
        "crossings",
        ((Replica, "_stage_chunk", _install_each_chunk),),
    ),
    PlantedFault(
        "a snapshot replaces a newer state",
        4,
        "older_snapshot_changes_nothing",
        ((Replica, "_already_has_snapshot", _always(False)),),
    ),
    PlantedFault(
        "updates during a snapshot are not staged", 4, "beyond", ((Disk, "stage_updates", _always(None)),)
    ),
)
