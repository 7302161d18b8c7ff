"""The scheduler of batch items: windows, paced starts, and sidecars that are judged by evidence."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest

from eiderhub.batch.messages import ItemKey, Reach, ReturnReason
from eiderhub.batch.scheduler import (
    FILLED_SHARE,
    LEAST_ITEM_SHARE,
    LOAD_KEPT_S,
    MOST_REMEMBERED,
    STARTING_S,
    Scheduler,
)
from eiderhub.batch.workers import (
    GROW,
    LEAST_WINDOW,
    MOST_STUCK_PAUSE_S,
    PAUSE_S,
    SHRINK,
    START_WINDOW,
    STUCK_PAUSE_S,
    TESTED_S,
    Standing,
    Worker,
)


def key(number: int) -> ItemKey:
    return ItemKey("j", f"i{number}")


ITEM = key(99)
ROUTE = "lots"


class Load:
    """How many items each node runs, as the job table would say it."""

    def __init__(self) -> None:
        self.running: Counter[str] = Counter()

    def __call__(self, node: str) -> int:
        return self.running[node]


def scheduler(*nodes: str, endpoints: int = 100, places: int = 0, load: Load | None = None) -> Scheduler:
    """All these nodes move items."""
    made = Scheduler(load or Load())
    made.follow(endpoints, places)
    for number, node in enumerate(nodes):
        made.join(0.0, node, "z", Reach.UNKNOWN)
        made.started(0.0, node, key(1000 + number))
        made.forget(key(1000 + number))
    return made


def choose(made: Scheduler, now: float, item: ItemKey = ITEM, safe: bool = True) -> Worker | None:
    return made.round(now).choose(ROUTE, made.failures(item), safe)


def returned(made: Scheduler, now: float, node: str, reason: ReturnReason) -> None:
    made.returned(now, node, ITEM, ROUTE, reason)


def standing_of(made: Scheduler, node: str) -> Standing:
    return made.workers[node].standing


# --- windows and starts ---


def test_items_go_to_the_sidecar_with_the_most_room() -> None:
    made = scheduler("a", "b")
    round_ = made.round(0.0)
    given = []
    for _ in range(4):
        worker = round_.choose(ROUTE, {}, safe=True)
        assert worker is not None
        round_.given(worker)
        given.append(worker.node)
    assert sorted(given) == ["a", "a", "b", "b"]


def test_round_gives_no_sidecar_more_than_its_window() -> None:
    made = scheduler("a")
    round_ = made.round(0.0)
    for _ in range(int(START_WINDOW)):
        worker = round_.choose(ROUTE, {}, safe=True)
        assert worker is not None
        round_.given(worker)
    assert not round_.has_room
    assert round_.choose(ROUTE, {}, safe=True) is None


def test_refusal_shrinks_the_window_and_pauses_the_sidecar_once() -> None:
    made = scheduler("a")
    before = made.workers["a"].window
    for number in range(3):  # refused together: one sign
        made.returned(1.0, "a", key(number), ROUTE, ReturnReason.REFUSED)
    assert made.workers["a"].window == before * SHRINK
    assert choose(made, 1.0 + PAUSE_S / 2) is None
    assert choose(made, 1.0 + PAUSE_S) is not None
    for again in range(50):
        made.answered(2.0 + again, "a")
        made.returned(2.0 + again, "a", key(0), ROUTE, ReturnReason.REFUSED)
    assert made.workers["a"].window == LEAST_WINDOW


def test_window_grows_only_while_it_is_used() -> None:
    load = Load()
    made = scheduler("a", load=load)
    before = made.workers["a"].window
    load.running["a"] = 1
    made.finished(1.0, "a", key(0))
    assert made.workers["a"].window == before
    load.running["a"] = int(before)
    made.finished(2.0, "a", key(0))
    assert made.workers["a"].window == before + GROW


def test_no_more_items_begin_than_there_are_endpoints() -> None:
    made = scheduler("a", endpoints=2)
    for number in range(2):
        worker = choose(made, 0.0)
        assert worker is not None
        made.given(0.0, key(number), worker)
    assert choose(made, 0.1) is None
    made.started(0.1, "a", key(0))
    assert choose(made, 0.1) is not None


def test_item_that_never_begins_holds_the_others_for_a_while_only() -> None:
    made = scheduler("a", endpoints=1)
    made.given(0.0, key(0), made.workers["a"])
    assert choose(made, STARTING_S) is None
    assert choose(made, STARTING_S + 0.01) is not None


def test_items_at_sidecars_that_may_move_nothing_do_not_hold_up_the_starts_of_others() -> None:
    made = scheduler("a", endpoints=1)
    made.join(0.0, "b", "z", Reach.UNKNOWN)
    made.given(0.0, key(0), made.workers["b"])
    assert choose(made, 0.0) is made.workers["a"]


def test_sidecar_that_comes_back_has_what_it_runs() -> None:
    load = Load()
    made = scheduler("a", load=load)
    made.leave("a")
    assert choose(made, 0.0) is None
    load.running["a"] = 5
    made.join(0.0, "a", "z", Reach.ANSWERED)
    worker = choose(made, 0.0)
    assert worker is not None
    assert worker.free(0.0, load("a")) == worker.window - 5


def test_window_that_is_full_gets_nothing_until_the_table_says_that_there_is_room() -> None:
    """The scheduler used to count for itself; what ended on a path that did not tell it leaked a place."""
    load = Load()
    made = scheduler("a", load=load)
    load.running["a"] = int(made.workers["a"].window)
    assert choose(made, 0.0) is None
    load.running["a"] -= 1
    assert choose(made, 0.0) is not None


# --- standing ---


def test_sidecar_of_which_nothing_is_known_gets_one_item_until_one_moves() -> None:
    load = Load()
    made = Scheduler(load)
    made.join(0.0, "a", "z", Reach.UNKNOWN)
    worker = made.workers["a"]
    assert standing_of(made, "a") is Standing.UNKNOWN
    assert worker.free(0.0, 0) == LEAST_WINDOW
    load.running["a"] = 1
    assert choose(made, 0.0) is None
    made.started(0.1, "a", key(0))
    assert standing_of(made, "a") is Standing.MOVING
    assert worker.free(0.1, 1) == START_WINDOW - 1


@pytest.mark.parametrize(
    ("reason", "standing"),
    [
        (ReturnReason.REFUSED, Standing.RETURNING),
        (ReturnReason.FAILED, Standing.RETURNING),
        (ReturnReason.SILENT, Standing.RETURNING),
        (ReturnReason.STUCK, Standing.STUCK),
    ],
)
def test_standing_follows_what_came_last(reason: ReturnReason, standing: Standing) -> None:
    made = scheduler("a")
    returned(made, 1.0, "a", reason)
    assert standing_of(made, "a") is standing
    made.answered(2.0, "a")
    assert standing_of(made, "a") is Standing.ANSWERED
    made.started(3.0, "a", key(0))
    assert standing_of(made, "a") is Standing.MOVING


def test_sidecar_that_is_stuck_gets_single_items_ever_later_while_others_move() -> None:
    made = scheduler("a", "b")
    now = 10.0
    for times in range(5):
        made.started(now, "b", key(0))
        returned(made, now, "a", ReturnReason.STUCK)
        pause_s = min(STUCK_PAUSE_S * 2**times, MOST_STUCK_PAUSE_S)
        worker = made.workers["a"]
        assert worker.free(now + pause_s - 0.01, 0) == 0.0
        assert worker.free(now + pause_s, 0) == LEAST_WINDOW
        now += pause_s


def test_pause_of_a_stuck_sidecar_ends_with_the_first_sign_that_endpoints_answer_it() -> None:
    """It used to count in time alone, up to 8 s: longer than the operators' bound for an item."""
    made = scheduler("a", "b")
    for _ in range(5):
        returned(made, 10.0, "a", ReturnReason.STUCK)
    made.started(10.1, "b", key(0))
    assert made.workers["a"].free(10.1, 0) == 0.0
    made.answered(10.2, "a")
    assert made.workers["a"].free(10.2, 0) == LEAST_WINDOW
    assert MOST_STUCK_PAUSE_S <= 2.0


def test_pauses_do_not_count_where_items_move_nowhere() -> None:
    """Somebody has to find out when endpoints are back."""
    made = scheduler("a", "b")
    for node in ("a", "b"):
        returned(made, 10.0, node, ReturnReason.STUCK)
    assert choose(made, 10.0, safe=False) is not None


def test_items_that_come_back_together_are_one_sign() -> None:
    made = scheduler("a")
    for _ in range(4):
        returned(made, 10.0, "a", ReturnReason.STUCK)
    assert not made.workers["a"].is_paused(10.0 + STUCK_PAUSE_S)


def test_window_says_nothing_of_what_came_back_while_no_endpoint_could_be_reached() -> None:
    """Else what is well again would begin with the least windows, and the line behind it would wait."""
    made = scheduler("a")
    for again in range(10):
        made.returned(10.0 + again, "a", key(0), ROUTE, ReturnReason.REFUSED)
        made.returned(10.5 + again, "a", key(0), ROUTE, ReturnReason.STUCK)
    worker = made.workers["a"]
    assert worker.free(30.0, 0) == LEAST_WINDOW  # one at a time, until one moves
    made.started(30.0, "a", key(1))
    assert worker.free(30.0, 0) == START_WINDOW


def test_refusals_of_a_sidecar_that_endpoints_answer_shrink_its_window_for_good() -> None:
    """Live traffic leaves no room there: nothing that moves later gives it back at once."""
    made = scheduler("a")
    for again in range(3):
        made.answered(10.0 + again, "a")
        made.returned(10.0 + again, "a", key(1), ROUTE, ReturnReason.REFUSED)
    made.started(20.0, "a", key(2))
    assert made.workers["a"].window == pytest.approx(START_WINDOW * SHRINK**3)


def test_sidecars_that_move_items_have_the_share_of_most_that_move_none() -> None:
    made = scheduler("a", "b", "c", "d")
    made.follow(endpoints=100, places=80)
    for node in ("b", "c", "d"):
        returned(made, 10.0, node, ReturnReason.STUCK)
    made.started(10.0, "a", key(0))
    taken = []
    round_ = made.round(10.0)
    while (worker := round_.choose(ROUTE, {}, safe=False)) is not None:
        round_.given(worker)
        taken.append(worker.node)
    assert taken == ["a"] * 40
    made.started(10.0, "b", key(1))
    made.started(10.0, "c", key(2))
    assert all_taken(made, 10.0)["a"] == START_WINDOW


def all_taken(made: Scheduler, now: float) -> Counter[str]:
    """How many items each sidecar is given by a round, where more wait than can be given."""
    taken: Counter[str] = Counter()
    round_ = made.round(now)
    while (worker := round_.choose(ROUTE, {}, safe=True)) is not None:
        round_.given(worker)
        taken[worker.node] += 1
    return taken


def test_sidecars_that_have_nothing_to_run_leave_no_share() -> None:
    made = scheduler("a", "b", "c", "d")
    made.follow(endpoints=100, places=80)
    made.started(10.0, "a", key(0))  # the others have run nothing for ten seconds
    assert all_taken(made, 10.0)["a"] == START_WINDOW


def test_sidecars_that_refuse_since_live_traffic_fills_them_leave_no_share() -> None:
    made = scheduler("a", "b", "c", "d")
    made.follow(endpoints=100, places=80)
    made.started(10.0, "a", key(0))
    for node in ("b", "c", "d"):
        made.answered(10.0, node)
        returned(made, 10.0, node, ReturnReason.REFUSED)
    assert all_taken(made, 10.05)["a"] == START_WINDOW


def test_sidecar_tells_what_it_knows_of_itself_to_a_new_primary() -> None:
    load = Load()
    made = Scheduler(load)
    made.join(0.0, "unanswered", "z", Reach.UNANSWERED)
    made.join(0.0, "answered", "z", Reach.ANSWERED)
    load.running["running"] = 2
    made.join(0.0, "running", "z", Reach.ANSWERED)
    assert {n: w.standing for n, w in made.workers.items()} == {
        "unanswered": Standing.RETURNING,
        "answered": Standing.ANSWERED,
        "running": Standing.MOVING,
    }


def test_items_that_have_begun_leave_room_for_one_more_though_the_sidecar_refused_long_ago() -> None:
    load = Load()
    made = scheduler("a", load=load)
    made.started(1.0, "a", key(0))
    load.running["a"] = 1
    made.returned(2.0, "a", key(1), ROUTE, ReturnReason.REFUSED)
    assert made.workers["a"].free(2.0 + 2 * TESTED_S, 1) == 1.0
    made.released(key(0))
    assert made.workers["a"].begun == 0


# --- where an item goes ---


@pytest.mark.parametrize("reason", [ReturnReason.STUCK, ReturnReason.SILENT, ReturnReason.FAILED])
def test_item_that_failed_to_move_goes_next_where_items_move(reason: ReturnReason) -> None:
    made = scheduler("a", "b")
    made.workers["a"].window = 64.0
    returned(made, 20.0, "a", reason)
    made.answered(20.1, "a")
    assert choose(made, 30.0) is made.workers["b"]


def test_refused_item_goes_elsewhere_whatever_the_room() -> None:
    """A sidecar that refuses has the most room soon after: it used to be given the same item for 15 s."""
    made = scheduler("a", "b")
    made.workers["a"].window = 64.0
    for again in range(4):
        now = 10.0 + again
        returned(made, now, "a", ReturnReason.REFUSED)
        assert choose(made, now + PAUSE_S) is made.workers["b"]


def test_refusal_is_forgiven_once_where_other_items_have_moved_since() -> None:
    made = scheduler("a", "b")
    made.workers["a"].window = 64.0
    returned(made, 10.0, "a", ReturnReason.REFUSED)
    made.started(10.2, "a", key(0))
    assert choose(made, 10.2) is made.workers["b"]  # never refused there
    returned(made, 10.3, "b", ReturnReason.STUCK)
    assert choose(made, 10.3) is made.workers["a"]
    returned(made, 10.4, "a", ReturnReason.REFUSED)
    returned(made, 10.6, "a", ReturnReason.REFUSED)
    made.started(10.8, "a", key(1))
    made.answered(10.8, "b")
    assert made.failures(ITEM)["a"].times == 3


def test_sidecar_that_lacks_a_route_gets_items_of_others_until_its_configuration_changes() -> None:
    """Its window says nothing of that, nor does the item."""
    made = scheduler("a")
    window = made.workers["a"].window
    returned(made, 1.0, "a", ReturnReason.UNKNOWN_ROUTE)
    assert made.failures(ITEM) == {}
    assert made.workers["a"].window == window
    assert made.round(1.0).choose(ROUTE, {}, safe=True) is None
    assert made.round(1.0).choose("another", {}, safe=True) is made.workers["a"]
    made.routes_by("a", 0)
    assert made.round(1.0).choose(ROUTE, {}, safe=True) is None
    made.routes_by("a", 7)
    assert made.round(1.0).choose(ROUTE, {}, safe=True) is made.workers["a"]


def test_item_that_one_sidecar_always_refuses_is_tried_where_less_is_known() -> None:
    """The one that moves items may not know the item's route."""
    made = scheduler("a")
    made.join(0.0, "b", "z", Reach.UNANSWERED)
    made.answered(0.0, "b")
    seen = []
    for again in range(4):
        now = 10.0 + again
        made.started(now, "a", key(0))
        worker = choose(made, now, safe=False)
        assert worker is not None
        seen.append(worker.node)
        returned(made, now, worker.node, ReturnReason.REFUSED)
        made.answered(now, worker.node)
    assert set(seen) == {"a", "b"}


def test_job_that_depends_on_an_item_waits_for_sidecars_that_endpoints_answer() -> None:
    load = Load()
    made = scheduler("a", "b", load=load)
    made.started(10.0, "a", key(0))
    returned(made, 10.0, "b", ReturnReason.STUCK)
    load.running["a"] = int(made.workers["a"].window)
    now = 10.0 + MOST_STUCK_PAUSE_S
    made.started(now, "a", key(1))
    assert choose(made, now, safe=False) is None
    assert choose(made, now, safe=True) is made.workers["b"]
    load.running["a"] -= 1
    assert choose(made, now, safe=False) is made.workers["a"]


def test_sidecars_that_are_stuck_are_tried_in_turn() -> None:
    made = scheduler("a", "b", "c")
    for now, node in ((10.0, "b"), (11.0, "c"), (12.0, "a")):
        returned(made, now, node, ReturnReason.STUCK)
    assert choose(made, 20.0, key(1), safe=False) is made.workers["b"]


def test_where_an_item_failed_is_remembered_for_the_latest_only() -> None:
    nodes = [f"n{number}" for number in range(MOST_REMEMBERED + 3)]
    made = scheduler(*nodes)
    for number, node in enumerate(nodes):
        returned(made, float(number), node, ReturnReason.REFUSED)
    assert list(made.failures(ITEM)) == nodes[3:]


def test_refusals_do_not_count_as_failures_to_move() -> None:
    made = scheduler("a")
    returned(made, 1.0, "a", ReturnReason.REFUSED)
    assert made.tries(ITEM) == 0
    returned(made, 2.0, "a", ReturnReason.STUCK)
    assert made.tries(ITEM) == 1


def test_what_is_remembered_of_an_item_goes_with_it() -> None:
    made = scheduler("a", "b")
    ends: list[Callable[[], None]] = [
        lambda: made.started(3.0, "b", ITEM),
        lambda: made.finished(3.0, "b", ITEM),
        lambda: made.forget(ITEM),
    ]
    for end in ends:
        returned(made, 2.0, "a", ReturnReason.STUCK)
        assert made.tries(ITEM) == 1
        end()
        assert made.tries(ITEM) == 0
        assert made.failures(ITEM) == {}


def test_sidecar_that_stops_is_given_nothing_more() -> None:
    """It has the most room from then on, and would give each item back at once."""
    made = scheduler("a", "b")
    made.workers["a"].window = 64.0
    returned(made, 1.0, "a", ReturnReason.STOPPING)
    made.answered(2.0, "a")
    assert choose(made, 2.0) is made.workers["b"]
    made.leave("b")
    assert choose(made, 2.0) is None


# --- places that live calls leave ---


def starts(made: Scheduler, now: float) -> int:
    """How many items one round gives out."""
    round_ = made.round(now)
    given = 0
    while given < 1000 and (worker := round_.choose(ROUTE, {}, safe=True)) is not None:
        round_.given(worker)
        made.given(now, key(given), worker)
        given += 1
    return given


def fleet(places: int, sidecars: int = 50) -> Scheduler:
    return scheduler(*(f"n{number}" for number in range(sidecars)), places=places)


def test_items_take_what_live_calls_leave_of_the_places() -> None:
    made = fleet(places=100)
    made.follow_load(0.0, calls=50)
    assert starts(made, 0.0) == FILLED_SHARE * 100 - 50


def test_items_that_run_are_not_counted_as_live_calls() -> None:
    made = fleet(places=100)
    made.follow_load(0.0, calls=40)
    first = starts(made, 0.0)
    made.follow_load(0.1, calls=40 + first)
    assert starts(made, 0.1) == 0
    for number in range(first):
        made.finished(0.2, "n0", key(number))
    made.follow_load(0.2, calls=40)
    assert starts(made, 0.2) == first


def test_items_have_a_least_share_however_busy_live_traffic_is() -> None:
    made = fleet(places=100)
    made.follow_load(0.0, calls=500)
    assert starts(made, 0.0) == LEAST_ITEM_SHARE * 100


def test_a_rise_of_live_calls_counts_at_once_and_a_fall_by_and_by() -> None:
    made = fleet(places=100)
    made.follow_load(0.0, calls=60)
    made.follow_load(0.1, calls=20)
    assert starts(made, 0.1) == FILLED_SHARE * 100 - 50


def test_a_count_of_live_calls_that_is_old_bounds_nothing() -> None:
    made = fleet(places=100)
    made.follow_load(0.0, calls=500)
    assert starts(made, LOAD_KEPT_S + 0.1) > 50


def test_where_nothing_moves_sidecars_are_tried_though_live_calls_take_all_places() -> None:
    made = Scheduler(Load())
    made.follow(10, 100)
    made.join(0.0, "a", "z", Reach.UNKNOWN)
    made.follow_load(0.0, calls=500)
    made._starting.update({key(number): 0.0 for number in range(10)})  # the least share is taken
    assert choose(made, 0.0) is not None
