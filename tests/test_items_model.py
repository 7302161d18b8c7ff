"""Every accepted item gets exactly one result, under faults of sessions, sidecars, leases and primaries.

`OTTERCLEAT_ITEM_SCHEDULES` sets the number of random schedules; each depends on its seed alone.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

import pytest

from eiderhub.batch.dispatch import Dispatcher
from eiderhub.batch.item_tracker import ItemTracker
from eiderhub.batch.messages import ItemFinished, ItemReturned, WorkerReport
from eiderhub.batch.scheduler import AssignmentRound, Scheduler
from eiderhub.batch.workers import Worker
from tests.model.items import InvariantViolation, StorageGroup, World
from tests.model.seeds import Patch, find_first_failing_seed, find_violations

SCHEDULES = int(os.environ.get("OTTERCLEAT_ITEM_SCHEDULES", "1000"))
FIRST_SEED = int(os.environ.get("OTTERCLEAT_FIRST_ITEM_SEED", "0"))
SEEDS_PER_BLOCK = 50
MAX_FAULT_SEEDS = 150  # within which each injected fault must be detected


def play(seed: int, stuck_sidecars: bool = False) -> None:
    World(seed, stuck_sidecars).play()


def test_no_schedule_loses_an_item() -> None:
    failures = find_violations(play, FIRST_SEED, SCHEDULES, SEEDS_PER_BLOCK)
    assert not failures, "\n".join(failures[:5])


def test_no_schedule_leaves_an_item_idle_while_sidecars_make_no_progress() -> None:
    """An item that some sidecar can run is run within the bound, whichever sidecars make no progress."""
    failures = find_violations(partial(play, stuck_sidecars=True), FIRST_SEED, SCHEDULES, SEEDS_PER_BLOCK)
    assert not failures, "\n".join(failures[:5])


def test_schedule_is_reproducible() -> None:
    first, second = World(3), World(3)
    first.play()
    second.play()
    assert first.accepted_jobs == second.accepted_jobs
    assert first.group.store.data == second.group.store.data


# --- injected faults ---


class Fault(NamedTuple):
    name: str
    patches: tuple[Patch, ...]
    stuck_sidecars: bool = False


def _commit_changing_before_the_lease_check(
    self: StorageGroup, change: Callable[[], Any], done: Callable[[], None]
) -> None:
    writes = change()
    if self.is_primary_on_recheck():
        self.append_writes(writes, done)


def _ended_dropping_unsent_outcomes(
    self: ItemTracker, now: float, outcome: ItemFinished | ItemReturned
) -> list[Any]:
    held = self._held.get(outcome.key)
    if held is None:
        return []
    held.outcome = outcome
    if isinstance(outcome, ItemReturned) and not self.accepted:
        del self._held[outcome.key]
        return []
    return self._send_outcome(now, outcome.key)


def _report_without_reconciling(self: Dispatcher, now: float, session: Any, message: WorkerReport) -> None:
    session.last_message_at = now


def _reconcile_counting_unread_orders(
    self: Dispatcher, session: Any, received: int, announced: list[Any]
) -> None:
    RECONCILE(self, session, 1 << 30, announced)


def _tick_reclaiming_only_once(self: Dispatcher, now: float) -> None:
    due = [node for node, until in self._disconnected.items() if now >= until]
    for node in due:
        until = self._disconnected.pop(node)
        if now - until < 0.05:  # only if the node leads at that moment
            for item in self.table.running_at(node):
                self._requeue(item)


def _tick_without_resending(self: ItemTracker, now: float) -> list[Any]:
    return [self._report(now)] if self.accepted and now >= self._next_report_at else []


def _begin_without_loading(self: Dispatcher, now: float, epoch: int) -> None:
    self._epoch = epoch
    self._assign_from = now


def _cancel_no_items(self: Dispatcher, job_id: str) -> None:
    """Does not tell sidecars that a job has ended."""


def _tick_without_reclaiming(self: Dispatcher, now: float) -> None:
    """Never reclaims items of disconnected sidecars."""


def _choose_by_free_slots(self: AssignmentRound, route: str, returns: Any, job_progresses: bool) -> Any:
    return max(self._free_slots, key=lambda worker: self._free_slots[worker], default=None)


def _item_returned_without_effect(
    self: Scheduler, now: float, node: str, key: Any, route: str, reason: Any
) -> None:
    self.item_unassigned(key)


RECONCILE = Dispatcher._reconcile

FAULTS = [
    Fault(
        "a table changes before the lease is checked",
        ((StorageGroup, "commit", _commit_changing_before_the_lease_check),),
    ),
    Fault(
        "an outcome is dropped while a session opens, and reports are not reconciled",
        (
            (ItemTracker, "mark_ended", _ended_dropping_unsent_outcomes),
            (Dispatcher, "report", _report_without_reconciling),
        ),
    ),
    Fault("unread orders count as read", ((Dispatcher, "_reconcile", _reconcile_counting_unread_orders),)),
    Fault("a disconnected sidecar is checked only once", ((Dispatcher, "tick", _tick_reclaiming_only_once),)),
    Fault(
        "items of disconnected sidecars are not reclaimed", ((Dispatcher, "tick", _tick_without_reclaiming),)
    ),
    Fault("a primary keeps timed-out sessions", ((Dispatcher, "timed_out_sessions", lambda self, now: []),)),
    Fault("a sidecar keeps a timed-out session", ((ItemTracker, "is_silent", lambda self, now: False),)),
    Fault("a result is sent only once per session", ((ItemTracker, "tick", _tick_without_resending),)),
    Fault("the table of an earlier epoch is kept", ((Dispatcher, "begin", _begin_without_loading),)),
    Fault(
        "items of an ended job continue, and reports are not reconciled",
        ((Dispatcher, "cancel_job", _cancel_no_items), (Dispatcher, "report", _report_without_reconciling)),
    ),
    Fault(
        "placement uses free slots alone, and a stuck sidecar keeps its window",
        (
            (AssignmentRound, "choose", _choose_by_free_slots),
            (Worker, "record_stall", lambda self, now: None),
            (Worker, "is_proven", lambda self, now: True),
        ),
        stuck_sidecars=True,
    ),
    Fault(
        "returns have no effect, placement uses free slots alone, and all sidecars count as proven",
        (
            (Scheduler, "item_returned", _item_returned_without_effect),
            (AssignmentRound, "choose", _choose_by_free_slots),
            (Worker, "is_proven", lambda self, now: True),
        ),
        stuck_sidecars=True,
    ),
]


def first_failing_seed(fault: Fault) -> int | None:
    """The first seed whose schedule detects the fault."""
    play_fault = partial(play, stuck_sidecars=fault.stuck_sidecars)
    return find_first_failing_seed(play_fault, fault.patches, MAX_FAULT_SEEDS, (InvariantViolation, KeyError))


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_injected_fault_is_detected(fault: Fault) -> None:
    assert first_failing_seed(fault) is not None
