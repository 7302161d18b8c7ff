"""The scheduler of batch items: windows, limits on starting items, and the health of sidecars."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest

from eiderhub.batch.messages import ItemKey, Reach, ReturnReason
from eiderhub.batch.scheduler import (
    LOAD_VALID_S,
    MAX_CAPACITY_SHARE,
    MAX_NODES_PER_ITEM,
    MIN_ITEM_SHARE,
    STARTING_TIMEOUT_S,
    Scheduler,
)
from eiderhub.batch.workers import (
    INITIAL_STUCK_PAUSE_S,
    INITIAL_WINDOW,
    MAX_STUCK_PAUSE_S,
    MIN_WINDOW,
    PROVEN_S,
    REFUSAL_PAUSE_S,
    WINDOW_DECREASE_FACTOR,
    WINDOW_INCREMENT,
    Worker,
    WorkerHealth,
)


def key(number: int) -> ItemKey:
    return ItemKey("j", f"i{number}")


ITEM = key(99)
ROUTE = "lots"


class RunningCounts:
    """Stands in for the job table: the number of items that each node runs."""

    def __init__(self) -> None:
        self.running: Counter[str] = Counter()

    def __call__(self, node: str) -> int:
        return self.running[node]


def new_scheduler(
    *nodes: str, endpoints: int = 100, capacity: int = 0, running_counts: RunningCounts | None = None
) -> Scheduler:
    """A scheduler whose nodes all make progress."""
    result = Scheduler(running_counts or RunningCounts())
    result.set_endpoints(endpoints, capacity)
    for number, node in enumerate(nodes):
        result.add_worker(0.0, node, "z", Reach.UNKNOWN)
        result.item_started(0.0, node, key(1000 + number))
        result.forget(key(1000 + number))
    return result


def choose(
    scheduler: Scheduler, now: float, item: ItemKey = ITEM, job_progresses: bool = True
) -> Worker | None:
    return scheduler.new_round(now).choose(ROUTE, scheduler.item_returns(item), job_progresses)


def returned(scheduler: Scheduler, now: float, node: str, reason: ReturnReason) -> None:
    scheduler.item_returned(now, node, ITEM, ROUTE, reason)


def health_of(scheduler: Scheduler, node: str) -> WorkerHealth:
    return scheduler.workers[node].health


# --- windows and starts ---


def test_items_go_to_the_sidecar_with_the_most_free_slots() -> None:
    scheduler = new_scheduler("a", "b")
    round_ = scheduler.new_round(0.0)
    assigned = []
    for _ in range(4):
        worker = round_.choose(ROUTE, {}, job_progresses=True)
        assert worker is not None
        round_.record_assignment(worker)
        assigned.append(worker.node)
    assert sorted(assigned) == ["a", "a", "b", "b"]


def test_round_assigns_no_sidecar_more_than_its_window() -> None:
    scheduler = new_scheduler("a")
    round_ = scheduler.new_round(0.0)
    for _ in range(int(INITIAL_WINDOW)):
        worker = round_.choose(ROUTE, {}, job_progresses=True)
        assert worker is not None
        round_.record_assignment(worker)
    assert not round_.has_free_slots
    assert round_.choose(ROUTE, {}, job_progresses=True) is None


def test_refusal_shrinks_the_window_and_pauses_the_sidecar_once() -> None:
    scheduler = new_scheduler("a")
    before = scheduler.workers["a"].window
    for number in range(3):  # refused together: counts once
        scheduler.item_returned(1.0, "a", key(number), ROUTE, ReturnReason.REFUSED)
    assert scheduler.workers["a"].window == before * WINDOW_DECREASE_FACTOR
    assert choose(scheduler, 1.0 + REFUSAL_PAUSE_S / 2) is None
    assert choose(scheduler, 1.0 + REFUSAL_PAUSE_S) is not None
    for attempt in range(50):
        scheduler.endpoint_answered(2.0 + attempt, "a")
        scheduler.item_returned(2.0 + attempt, "a", key(0), ROUTE, ReturnReason.REFUSED)
    assert scheduler.workers["a"].window == MIN_WINDOW


def test_window_grows_only_while_it_is_fully_used() -> None:
    running_counts = RunningCounts()
    scheduler = new_scheduler("a", running_counts=running_counts)
    before = scheduler.workers["a"].window
    running_counts.running["a"] = 1
    scheduler.item_finished(1.0, "a", key(0))
    assert scheduler.workers["a"].window == before
    running_counts.running["a"] = int(before)
    scheduler.item_finished(2.0, "a", key(0))
    assert scheduler.workers["a"].window == before + WINDOW_INCREMENT


def test_starting_items_are_bounded_by_the_number_of_endpoints() -> None:
    scheduler = new_scheduler("a", endpoints=2)
    for number in range(2):
        worker = choose(scheduler, 0.0)
        assert worker is not None
        scheduler.item_assigned(0.0, key(number), worker)
    assert choose(scheduler, 0.1) is None
    scheduler.item_started(0.1, "a", key(0))
    assert choose(scheduler, 0.1) is not None


def test_item_that_never_starts_delays_others_for_a_limited_time() -> None:
    scheduler = new_scheduler("a", endpoints=1)
    scheduler.item_assigned(0.0, key(0), scheduler.workers["a"])
    assert choose(scheduler, STARTING_TIMEOUT_S) is None
    assert choose(scheduler, STARTING_TIMEOUT_S + 0.01) is not None


def test_items_at_unproven_sidecars_do_not_count_as_starting() -> None:
    scheduler = new_scheduler("a", endpoints=1)
    scheduler.add_worker(0.0, "b", "z", Reach.UNKNOWN)
    scheduler.item_assigned(0.0, key(0), scheduler.workers["b"])
    assert choose(scheduler, 0.0) is scheduler.workers["a"]


def test_reconnected_sidecar_counts_its_running_items() -> None:
    running_counts = RunningCounts()
    scheduler = new_scheduler("a", running_counts=running_counts)
    scheduler.remove_worker("a")
    assert choose(scheduler, 0.0) is None
    running_counts.running["a"] = 5
    scheduler.add_worker(0.0, "a", "z", Reach.ANSWERED)
    worker = choose(scheduler, 0.0)
    assert worker is not None
    assert worker.free_slots(0.0, running_counts("a")) == worker.window - 5


def test_full_window_gets_nothing_until_the_table_has_fewer_running_items() -> None:
    """Guards against a separate count in the scheduler, which leaks a slot when an end is not reported."""
    running_counts = RunningCounts()
    scheduler = new_scheduler("a", running_counts=running_counts)
    running_counts.running["a"] = int(scheduler.workers["a"].window)
    assert choose(scheduler, 0.0) is None
    running_counts.running["a"] -= 1
    assert choose(scheduler, 0.0) is not None


# --- health ---


def test_unknown_sidecar_gets_one_item_until_one_starts() -> None:
    running_counts = RunningCounts()
    scheduler = Scheduler(running_counts)
    scheduler.add_worker(0.0, "a", "z", Reach.UNKNOWN)
    worker = scheduler.workers["a"]
    assert health_of(scheduler, "a") is WorkerHealth.UNKNOWN
    assert worker.free_slots(0.0, 0) == MIN_WINDOW
    running_counts.running["a"] = 1
    assert choose(scheduler, 0.0) is None
    scheduler.item_started(0.1, "a", key(0))
    assert health_of(scheduler, "a") is WorkerHealth.PROGRESSING
    assert worker.free_slots(0.1, 1) == INITIAL_WINDOW - 1


@pytest.mark.parametrize(
    ("reason", "health"),
    [
        (ReturnReason.REFUSED, WorkerHealth.FAILING),
        (ReturnReason.FAILED, WorkerHealth.FAILING),
        (ReturnReason.SILENT, WorkerHealth.FAILING),
        (ReturnReason.STUCK, WorkerHealth.STUCK),
    ],
)
def test_health_follows_the_latest_event(reason: ReturnReason, health: WorkerHealth) -> None:
    scheduler = new_scheduler("a")
    returned(scheduler, 1.0, "a", reason)
    assert health_of(scheduler, "a") is health
    scheduler.endpoint_answered(2.0, "a")
    assert health_of(scheduler, "a") is WorkerHealth.REACHABLE
    scheduler.item_started(3.0, "a", key(0))
    assert health_of(scheduler, "a") is WorkerHealth.PROGRESSING


def test_stuck_sidecar_gets_single_items_after_growing_pauses_while_others_progress() -> None:
    scheduler = new_scheduler("a", "b")
    now = 10.0
    for times in range(5):
        scheduler.item_started(now, "b", key(0))
        returned(scheduler, now, "a", ReturnReason.STUCK)
        pause_s = min(INITIAL_STUCK_PAUSE_S * 2**times, MAX_STUCK_PAUSE_S)
        worker = scheduler.workers["a"]
        assert worker.free_slots(now + pause_s - 0.01, 0) == 0.0
        assert worker.free_slots(now + pause_s, 0) == MIN_WINDOW
        now += pause_s


def test_stuck_pause_ends_with_the_first_endpoint_answer() -> None:
    """A pause that ends by time alone, up to 8 s, would exceed the operators' bound for an item."""
    scheduler = new_scheduler("a", "b")
    for _ in range(5):
        returned(scheduler, 10.0, "a", ReturnReason.STUCK)
    scheduler.item_started(10.1, "b", key(0))
    assert scheduler.workers["a"].free_slots(10.1, 0) == 0.0
    scheduler.endpoint_answered(10.2, "a")
    assert scheduler.workers["a"].free_slots(10.2, 0) == MIN_WINDOW
    assert MAX_STUCK_PAUSE_S <= 2.0


def test_stuck_pauses_do_not_apply_while_no_sidecar_makes_progress() -> None:
    """Otherwise no sidecar would detect that endpoints are reachable again."""
    scheduler = new_scheduler("a", "b")
    for node in ("a", "b"):
        returned(scheduler, 10.0, node, ReturnReason.STUCK)
    assert choose(scheduler, 10.0, job_progresses=False) is not None


def test_items_returned_together_cause_one_pause() -> None:
    scheduler = new_scheduler("a")
    for _ in range(4):
        returned(scheduler, 10.0, "a", ReturnReason.STUCK)
    assert not scheduler.workers["a"].is_paused(10.0 + INITIAL_STUCK_PAUSE_S)


def test_returns_without_reachable_endpoints_do_not_shrink_the_window() -> None:
    """Otherwise recovered sidecars would start with minimal windows, and waiting items would be delayed."""
    scheduler = new_scheduler("a")
    for attempt in range(10):
        scheduler.item_returned(10.0 + attempt, "a", key(0), ROUTE, ReturnReason.REFUSED)
        scheduler.item_returned(10.5 + attempt, "a", key(0), ROUTE, ReturnReason.STUCK)
    worker = scheduler.workers["a"]
    assert worker.free_slots(30.0, 0) == MIN_WINDOW  # one at a time until one starts
    scheduler.item_started(30.0, "a", key(1))
    assert worker.free_slots(30.0, 0) == INITIAL_WINDOW


def test_refusals_of_a_reachable_sidecar_shrink_its_window_permanently() -> None:
    """Live traffic leaves no room there; a later start of an item does not restore the window at once."""
    scheduler = new_scheduler("a")
    for attempt in range(3):
        scheduler.endpoint_answered(10.0 + attempt, "a")
        scheduler.item_returned(10.0 + attempt, "a", key(1), ROUTE, ReturnReason.REFUSED)
    scheduler.item_started(20.0, "a", key(2))
    assert scheduler.workers["a"].window == pytest.approx(INITIAL_WINDOW * WINDOW_DECREASE_FACTOR**3)


def test_progressing_sidecars_get_the_share_of_unreachable_ones_when_most_are_unreachable() -> None:
    scheduler = new_scheduler("a", "b", "c", "d")
    scheduler.set_endpoints(endpoints=100, capacity=80)
    for node in ("b", "c", "d"):
        returned(scheduler, 10.0, node, ReturnReason.STUCK)
    scheduler.item_started(10.0, "a", key(0))
    assigned = []
    round_ = scheduler.new_round(10.0)
    while (worker := round_.choose(ROUTE, {}, job_progresses=False)) is not None:
        round_.record_assignment(worker)
        assigned.append(worker.node)
    assert assigned == ["a"] * 40
    scheduler.item_started(10.0, "b", key(1))
    scheduler.item_started(10.0, "c", key(2))
    assert assigned_per_sidecar(scheduler, 10.0)["a"] == INITIAL_WINDOW


def assigned_per_sidecar(scheduler: Scheduler, now: float) -> Counter[str]:
    """How many items one round assigns to each sidecar, with more waiting than fit."""
    assigned: Counter[str] = Counter()
    round_ = scheduler.new_round(now)
    while (worker := round_.choose(ROUTE, {}, job_progresses=True)) is not None:
        round_.record_assignment(worker)
        assigned[worker.node] += 1
    return assigned


def test_idle_sidecars_leave_no_share() -> None:
    scheduler = new_scheduler("a", "b", "c", "d")
    scheduler.set_endpoints(endpoints=100, capacity=80)
    scheduler.item_started(10.0, "a", key(0))  # the others have been idle for ten seconds
    assert assigned_per_sidecar(scheduler, 10.0)["a"] == INITIAL_WINDOW


def test_sidecars_filled_by_live_traffic_leave_no_share() -> None:
    scheduler = new_scheduler("a", "b", "c", "d")
    scheduler.set_endpoints(endpoints=100, capacity=80)
    scheduler.item_started(10.0, "a", key(0))
    for node in ("b", "c", "d"):
        scheduler.endpoint_answered(10.0, node)
        returned(scheduler, 10.0, node, ReturnReason.REFUSED)
    assert assigned_per_sidecar(scheduler, 10.05)["a"] == INITIAL_WINDOW


def test_reported_reach_sets_the_health_at_a_new_primary() -> None:
    running_counts = RunningCounts()
    scheduler = Scheduler(running_counts)
    scheduler.add_worker(0.0, "unanswered", "z", Reach.UNANSWERED)
    scheduler.add_worker(0.0, "answered", "z", Reach.ANSWERED)
    running_counts.running["running"] = 2
    scheduler.add_worker(0.0, "running", "z", Reach.ANSWERED)
    assert {n: w.health for n, w in scheduler.workers.items()} == {
        "unanswered": WorkerHealth.FAILING,
        "answered": WorkerHealth.REACHABLE,
        "running": WorkerHealth.PROGRESSING,
    }


def test_sidecar_with_started_items_gets_one_more_after_an_old_refusal() -> None:
    running_counts = RunningCounts()
    scheduler = new_scheduler("a", running_counts=running_counts)
    scheduler.item_started(1.0, "a", key(0))
    running_counts.running["a"] = 1
    scheduler.item_returned(2.0, "a", key(1), ROUTE, ReturnReason.REFUSED)
    assert scheduler.workers["a"].free_slots(2.0 + 2 * PROVEN_S, 1) == 1.0
    scheduler.item_unassigned(key(0))
    assert scheduler.workers["a"].started_items == 0


# --- choice of the sidecar ---


@pytest.mark.parametrize("reason", [ReturnReason.STUCK, ReturnReason.SILENT, ReturnReason.FAILED])
def test_returned_item_goes_next_to_a_progressing_sidecar(reason: ReturnReason) -> None:
    scheduler = new_scheduler("a", "b")
    scheduler.workers["a"].window = 64.0
    returned(scheduler, 20.0, "a", reason)
    scheduler.endpoint_answered(20.1, "a")
    assert choose(scheduler, 30.0) is scheduler.workers["b"]


def test_refused_item_goes_to_another_sidecar_despite_fewer_free_slots() -> None:
    """A sidecar that refuses soon has the most free slots again, and could get the same item for 15 s."""
    scheduler = new_scheduler("a", "b")
    scheduler.workers["a"].window = 64.0
    for attempt in range(4):
        now = 10.0 + attempt
        returned(scheduler, now, "a", ReturnReason.REFUSED)
        assert choose(scheduler, now + REFUSAL_PAUSE_S) is scheduler.workers["b"]


def test_one_refusal_is_ignored_once_other_items_have_started_there() -> None:
    scheduler = new_scheduler("a", "b")
    scheduler.workers["a"].window = 64.0
    returned(scheduler, 10.0, "a", ReturnReason.REFUSED)
    scheduler.item_started(10.2, "a", key(0))
    assert choose(scheduler, 10.2) is scheduler.workers["b"]  # has not refused it
    returned(scheduler, 10.3, "b", ReturnReason.STUCK)
    assert choose(scheduler, 10.3) is scheduler.workers["a"]
    returned(scheduler, 10.4, "a", ReturnReason.REFUSED)
    returned(scheduler, 10.6, "a", ReturnReason.REFUSED)
    scheduler.item_started(10.8, "a", key(1))
    scheduler.endpoint_answered(10.8, "b")
    assert scheduler.item_returns(ITEM)["a"].times == 3


def test_sidecar_without_a_route_gets_only_other_routes_until_its_configuration_changes() -> None:
    """A missing route affects neither the window nor the returns of the item."""
    scheduler = new_scheduler("a")
    window = scheduler.workers["a"].window
    returned(scheduler, 1.0, "a", ReturnReason.UNKNOWN_ROUTE)
    assert scheduler.item_returns(ITEM) == {}
    assert scheduler.workers["a"].window == window
    assert scheduler.new_round(1.0).choose(ROUTE, {}, job_progresses=True) is None
    assert scheduler.new_round(1.0).choose("another", {}, job_progresses=True) is scheduler.workers["a"]
    scheduler.set_generation("a", 0)
    assert scheduler.new_round(1.0).choose(ROUTE, {}, job_progresses=True) is None
    scheduler.set_generation("a", 7)
    assert scheduler.new_round(1.0).choose(ROUTE, {}, job_progresses=True) is scheduler.workers["a"]


def test_item_that_a_progressing_sidecar_keeps_refusing_is_tried_at_another() -> None:
    """The progressing sidecar may not be able to run this item, for example for lack of its route."""
    scheduler = new_scheduler("a")
    scheduler.add_worker(0.0, "b", "z", Reach.UNANSWERED)
    scheduler.endpoint_answered(0.0, "b")
    chosen = []
    for attempt in range(4):
        now = 10.0 + attempt
        scheduler.item_started(now, "a", key(0))
        worker = choose(scheduler, now, job_progresses=False)
        assert worker is not None
        chosen.append(worker.node)
        returned(scheduler, now, worker.node, ReturnReason.REFUSED)
        scheduler.endpoint_answered(now, worker.node)
    assert set(chosen) == {"a", "b"}


def test_item_of_a_job_without_progress_waits_for_a_progressing_sidecar() -> None:
    running_counts = RunningCounts()
    scheduler = new_scheduler("a", "b", running_counts=running_counts)
    scheduler.item_started(10.0, "a", key(0))
    returned(scheduler, 10.0, "b", ReturnReason.STUCK)
    running_counts.running["a"] = int(scheduler.workers["a"].window)
    now = 10.0 + MAX_STUCK_PAUSE_S
    scheduler.item_started(now, "a", key(1))
    assert choose(scheduler, now, job_progresses=False) is None
    assert choose(scheduler, now, job_progresses=True) is scheduler.workers["b"]
    running_counts.running["a"] -= 1
    assert choose(scheduler, now, job_progresses=False) is scheduler.workers["a"]


def test_stuck_sidecars_are_tried_in_turn() -> None:
    scheduler = new_scheduler("a", "b", "c")
    for now, node in ((10.0, "b"), (11.0, "c"), (12.0, "a")):
        returned(scheduler, now, node, ReturnReason.STUCK)
    assert choose(scheduler, 20.0, key(1), job_progresses=False) is scheduler.workers["b"]


def test_only_the_latest_returns_of_an_item_are_remembered() -> None:
    nodes = [f"n{number}" for number in range(MAX_NODES_PER_ITEM + 3)]
    scheduler = new_scheduler(*nodes)
    for number, node in enumerate(nodes):
        returned(scheduler, float(number), node, ReturnReason.REFUSED)
    assert list(scheduler.item_returns(ITEM)) == nodes[3:]


def test_refusals_do_not_count_as_stalls() -> None:
    scheduler = new_scheduler("a")
    returned(scheduler, 1.0, "a", ReturnReason.REFUSED)
    assert scheduler.stall_count(ITEM) == 0
    returned(scheduler, 2.0, "a", ReturnReason.STUCK)
    assert scheduler.stall_count(ITEM) == 1


def test_returns_of_an_item_are_dropped_when_it_starts_or_ends() -> None:
    scheduler = new_scheduler("a", "b")
    ends: list[Callable[[], None]] = [
        lambda: scheduler.item_started(3.0, "b", ITEM),
        lambda: scheduler.item_finished(3.0, "b", ITEM),
        lambda: scheduler.forget(ITEM),
    ]
    for end in ends:
        returned(scheduler, 2.0, "a", ReturnReason.STUCK)
        assert scheduler.stall_count(ITEM) == 1
        end()
        assert scheduler.stall_count(ITEM) == 0
        assert scheduler.item_returns(ITEM) == {}


def test_stopping_sidecar_gets_no_more_items() -> None:
    """It has the most free slots from then on, and would return each item at once."""
    scheduler = new_scheduler("a", "b")
    scheduler.workers["a"].window = 64.0
    returned(scheduler, 1.0, "a", ReturnReason.STOPPING)
    scheduler.endpoint_answered(2.0, "a")
    assert choose(scheduler, 2.0) is scheduler.workers["b"]
    scheduler.remove_worker("b")
    assert choose(scheduler, 2.0) is None


# --- capacity that live calls leave ---


def assign_round(scheduler: Scheduler, now: float) -> int:
    """Run one round and return the number of items that it assigns."""
    round_ = scheduler.new_round(now)
    assigned = 0
    while assigned < 1000 and (worker := round_.choose(ROUTE, {}, job_progresses=True)) is not None:
        round_.record_assignment(worker)
        scheduler.item_assigned(now, key(assigned), worker)
        assigned += 1
    return assigned


def fleet(capacity: int, sidecars: int = 50) -> Scheduler:
    return new_scheduler(*(f"n{number}" for number in range(sidecars)), capacity=capacity)


def test_items_use_the_capacity_that_live_calls_leave() -> None:
    scheduler = fleet(capacity=100)
    scheduler.update_load(0.0, calls=50)
    assert assign_round(scheduler, 0.0) == MAX_CAPACITY_SHARE * 100 - 50


def test_running_items_do_not_count_as_live_calls() -> None:
    scheduler = fleet(capacity=100)
    scheduler.update_load(0.0, calls=40)
    first = assign_round(scheduler, 0.0)
    scheduler.update_load(0.1, calls=40 + first)
    assert assign_round(scheduler, 0.1) == 0
    for number in range(first):
        scheduler.item_finished(0.2, "n0", key(number))
    scheduler.update_load(0.2, calls=40)
    assert assign_round(scheduler, 0.2) == first


def test_items_keep_a_minimum_share_under_heavy_live_load() -> None:
    scheduler = fleet(capacity=100)
    scheduler.update_load(0.0, calls=500)
    assert assign_round(scheduler, 0.0) == MIN_ITEM_SHARE * 100


def test_increase_of_live_calls_applies_at_once_and_decrease_gradually() -> None:
    scheduler = fleet(capacity=100)
    scheduler.update_load(0.0, calls=60)
    scheduler.update_load(0.1, calls=20)
    assert assign_round(scheduler, 0.1) == MAX_CAPACITY_SHARE * 100 - 50


def test_expired_count_of_live_calls_does_not_limit_items() -> None:
    scheduler = fleet(capacity=100)
    scheduler.update_load(0.0, calls=500)
    assert assign_round(scheduler, LOAD_VALID_S + 0.1) > 50


def test_sidecars_are_tried_without_capacity_while_none_makes_progress() -> None:
    scheduler = Scheduler(RunningCounts())
    scheduler.set_endpoints(10, 100)
    scheduler.add_worker(0.0, "a", "z", Reach.UNKNOWN)
    scheduler.update_load(0.0, calls=500)
    # The minimum share is used up.
    scheduler._starting_since.update({key(number): 0.0 for number in range(10)})
    assert choose(scheduler, 0.0) is not None
