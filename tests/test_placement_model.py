"""Every open job is served as soon as any sidecar reaches endpoints, whatever faults the others have.

`OTTERCLEAT_PLACEMENT_SCHEDULES` sets the number of random plans; each depends on its seed alone.
"""

from __future__ import annotations

import os
from typing import Any, NamedTuple

import pytest

from eiderhub.batch import workers
from eiderhub.batch.dispatch import Dispatcher
from eiderhub.batch.job_order import JobOrder
from eiderhub.batch.scheduler import AssignmentRound, Scheduler
from eiderhub.batch.workers import Worker, WorkerHealth
from tests.model.placement import PlacementWorld
from tests.model.placement_plan import (
    FOREVER_S,
    NEW_ROUTE,
    FailureMode,
    JobPlan,
    Plan,
    SidecarPlan,
    Span,
    draw_plan,
)
from tests.model.placement_sidecar import QUEUE_TIMEOUT_S
from tests.model.seeds import Patch, find_first_failing_seed, find_violations

PLAN_COUNT = int(os.environ.get("OTTERCLEAT_PLACEMENT_SCHEDULES", "400"))
FIRST_SEED = int(os.environ.get("OTTERCLEAT_FIRST_PLACEMENT_SEED", "0"))
SEEDS_PER_BLOCK = 25
MAX_FAULT_SEEDS = 150  # within which each injected fault must be detected


def play(seed: int) -> None:
    PlacementWorld(draw_plan(seed), seed).play()


def test_no_random_plan_leaves_a_job_without_an_endpoint() -> None:
    failures = find_violations(play, FIRST_SEED, PLAN_COUNT, SEEDS_PER_BLOCK)
    assert not failures, f"{len(failures)} of {PLAN_COUNT}:\n" + "\n".join(failures[:5])


def test_plan_is_reproducible() -> None:
    first, second = PlacementWorld(draw_plan(3), 3), PlacementWorld(draw_plan(3), 3)
    first.play()
    second.play()
    assert (first.orders_sent, first.result_count) == (second.orders_sent, second.result_count)


# --- plans modelled on an incident ---

THREE_JOBS = tuple(JobPlan(f"j{number}", 49, 0.1) for number in range(3))
OUTAGE = Span(0.5, 20.5)


def fleet(sidecars: int, *leading: SidecarPlan, others: SidecarPlan | None = None, **overrides: Any) -> Plan:
    """Sidecars with capacity for twelve items each and three jobs of 49 items; `leading` come first."""
    rest = (others or SidecarPlan(),) * (sidecars - len(leading))
    plan = Plan((*leading, *rest), THREE_JOBS, 12 * sidecars, 2 * sidecars)
    return plan._replace(**overrides)


def unreachable_until(end: float, **overrides: Any) -> SidecarPlan:
    return SidecarPlan((Span(OUTAGE.start, end),), **overrides)


LIVE_CALLS_UNTIL = 40.0  # longer than any plan takes

PLANS = {
    "no endpoint reachable, then all at once": fleet(12, others=unreachable_until(OUTAGE.end)),
    "no endpoint reachable for a second": fleet(18, others=unreachable_until(OUTAGE.start + 1.0)),
    "live calls continue once endpoints are reachable again": fleet(
        12, others=unreachable_until(OUTAGE.end, live_calls_until=LIVE_CALLS_UNTIL)
    ),
    "connections fail": fleet(18, others=unreachable_until(OUTAGE.end, failure_mode=FailureMode.FAILED)),
    "admission refuses": fleet(18, others=unreachable_until(OUTAGE.end, failure_mode=FailureMode.REFUSED)),
    "one sidecar reaches endpoints first": fleet(
        12, unreachable_until(OUTAGE.end), others=unreachable_until(OUTAGE.end + 4.0)
    ),
    "nine of twelve never recover": fleet(
        12, *[unreachable_until(OUTAGE.end, slots=24)] * 3, others=unreachable_until(FOREVER_S)
    ),
    "sidecars recover one by one": fleet(30, *(unreachable_until(OUTAGE.end + 0.25 * n) for n in range(30))),
    "170 sidecars": fleet(170, others=unreachable_until(OUTAGE.end)),
    "170 sidecars, one reaches endpoints first": fleet(
        170, unreachable_until(OUTAGE.end), others=unreachable_until(OUTAGE.end + 5.0)
    ),
    "one sidecar refuses for a long time": fleet(
        4,
        SidecarPlan(refusing=(Span(1.0, 30.0),), refuses_after_s=QUEUE_TIMEOUT_S),
        jobs=(JobPlan("j", 1, 5.0),),
    ),
    "most sidecars do not know a new route": fleet(
        12,
        SidecarPlan(),
        others=SidecarPlan(knows_new_route_from=FOREVER_S),
        jobs=(*THREE_JOBS, JobPlan("new", 9, 3.0, route=NEW_ROUTE)),
    ),
    "primaries change while no endpoint is reachable": fleet(
        12,
        unreachable_until(OUTAGE.end),
        others=unreachable_until(FOREVER_S),
        new_primaries=(6.0, 9.0, 12.0, 20.0),
    ),
}


@pytest.mark.parametrize("name", PLANS)
def test_incident_plan_keeps_the_bound(name: str) -> None:
    for seed in range(5):
        PlacementWorld(PLANS[name], seed).play()


def test_late_job_is_served_while_jobs_in_time_fill_the_windows() -> None:
    """By deadline order alone it would wait for all jobs in time, with endpoints less than half used."""
    stream = tuple(JobPlan(f"new{number}", 60, 1.0 + 0.2 * number) for number in range(60))
    late = JobPlan("late", 40, 3.0, window_s=0.1)
    world = PlacementWorld(fleet(12, jobs=(late, *stream), endpoint_slots=10_000))
    world.timeline.run_until(6.0)
    assert world.table.jobs["late"].assigned_positions > 0
    world.timeline.run_until(12.0)
    # Others wait.
    assert sum(len(job.items) - job.assigned_positions for job in world.table.open_jobs()) > 500
    assert world.table.jobs["late"].assigned_positions > 3


def test_late_job_is_not_served_without_priority_for_idle_jobs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows that the test above depends on the priority for idle jobs."""
    monkeypatch.setattr(JobOrder, "idle_jobs", lambda self, starts: iter(()))
    with pytest.raises(AssertionError):
        test_late_job_is_served_while_jobs_in_time_fill_the_windows()


def test_late_jobs_take_only_a_part_of_the_starts() -> None:
    """Jobs in time go first: if late jobs were served first, all jobs would become late."""
    late = tuple(JobPlan(f"late{number}", 60, 0.1, window_s=0.1) for number in range(40))
    stream = tuple(JobPlan(f"new{number}", 60, 3.0 + 0.1 * number, window_s=30.0) for number in range(100))
    world = PlacementWorld(fleet(12, jobs=(*late, *stream), endpoint_slots=96))
    world.timeline.run_until(4.0)

    def result_count(prefix: str) -> int:
        return sum(
            job.assigned_positions for name, job in world.table.jobs.items() if name.startswith(prefix)
        )

    before = result_count("late")
    world.timeline.run_until(14.0)
    assert result_count("new") > 1.5 * (result_count("late") - before) > 0


# --- injected faults ---


class Fault(NamedTuple):
    name: str
    patches: tuple[Patch, ...]


def _record_answer_without_ending_the_pause(self: Worker, now: float) -> None:
    until = self._stuck_pause_until
    RECORD_ANSWER(self, now)
    self._stuck_pause_until = until


def _record_refusal_always_shrinking_the_window(self: Worker, now: float) -> None:
    self.record_return(now)
    if now >= self._refusal_pause_until:
        self.window = max(workers.MIN_WINDOW, self.window * workers.WINDOW_DECREASE_FACTOR)
        self._refusal_pause_until = now + workers.REFUSAL_PAUSE_S


def _choose_progressing_for_returned_items(
    self: AssignmentRound, route: str, returns: Any, job_progresses: bool
) -> Any:
    worker = CHOOSE(self, route, returns, job_progresses)
    depends = returns and self._worst_allowed is WorkerHealth.REACHABLE
    return (
        None if depends and worker is not None and worker.health is not WorkerHealth.PROGRESSING else worker
    )


def _choose_by_free_slots(self: AssignmentRound, route: str, returns: Any, job_progresses: bool) -> Any:
    known = [worker for worker in self._free_slots if worker.may_know_route(route)]
    return max(known, key=lambda worker: self._free_slots[worker], default=None)


def _item_returned_without_effect(
    self: Scheduler, now: float, node: str, key: Any, route: str, reason: Any
) -> None:
    self.item_unassigned(key)


def _is_always_proven(self: Worker, now: float) -> bool:
    return True


def _is_paused_despite_no_progress(self: Worker, now: float, ignore_stuck_pause: bool = False) -> bool:
    return IS_PAUSED(self, now, False)


RECORD_ANSWER, IS_PAUSED, CHOOSE = Worker.record_answer, Worker.is_paused, AssignmentRound.choose

FAULTS = [
    Fault(
        "a stuck pause ends by time alone",
        (
            (Worker, "record_answer", _record_answer_without_ending_the_pause),
            (Worker, "is_paused", _is_paused_despite_no_progress),
            (workers, "INITIAL_STUCK_PAUSE_S", 1.0),
            (workers, "MAX_STUCK_PAUSE_S", 8.0),
        ),
    ),
    Fault(
        "returned items wait for sidecars that make progress",
        ((AssignmentRound, "choose", _choose_progressing_for_returned_items),),
    ),
    Fault(
        "returns without reachable endpoints shrink windows, and unreachable sidecars leave no share",
        (
            (Worker, "record_refusal", _record_refusal_always_shrinking_the_window),
            (Scheduler, "_even_share", lambda self, sidecars: workers.INITIAL_WINDOW),
        ),
    ),
    Fault("unproven sidecars get full windows", ((Worker, "is_proven", _is_always_proven),)),
    Fault("no probes are requested", ((Dispatcher, "_request_probes", lambda self, now: None),)),
    Fault(
        "placement uses free slots alone, and unproven sidecars get full windows",
        ((AssignmentRound, "choose", _choose_by_free_slots), (Worker, "is_proven", _is_always_proven)),
    ),
    Fault(
        "returns do not affect the health of the sidecar",
        ((Scheduler, "item_returned", _item_returned_without_effect),),
    ),
    Fault("each job may use any sidecar", ((JobOrder, "is_progressing", lambda self, job: True),)),
]  # fmt: skip


def first_failing_seed(fault: Fault) -> int | None:
    """The first seed whose plan detects the fault."""
    return find_first_failing_seed(play, fault.patches, MAX_FAULT_SEEDS)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_injected_fault_is_detected(fault: Fault) -> None:
    assert first_failing_seed(fault) is not None
