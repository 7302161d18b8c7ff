"""The scheduler of batch items: windows that follow what sidecars finish and refuse, and paced starts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest

from eiderhub.batch.messages import ItemKey, ReturnReason
from eiderhub.batch.scheduler import (
    LEAST_WINDOW,
    MOST_STUCK_PAUSE_S,
    PAUSE_S,
    STARTING_S,
    STUCK_PAUSE_S,
    Scheduler,
)


def key(number: int) -> ItemKey:
    return ItemKey("j", f"i{number}")


class Load:
    """How many items each node runs, as the job table would say it."""

    def __init__(self) -> None:
        self.running: Counter[str] = Counter()

    def __call__(self, node: str) -> int:
        return self.running[node]


def scheduler(*nodes: str, endpoints: int = 100, places: int = 0, load: Load | None = None) -> Scheduler:
    made = Scheduler(load or Load())
    made.follow(endpoints, places)
    for node in nodes:
        made.join(node, "z")
    return made


def test_items_go_to_the_sidecar_with_the_most_room() -> None:
    load = Load()
    made = scheduler("a", "b", load=load)
    given = []
    for number in range(4):
        worker = made.choose(0.0, key(99))
        assert worker is not None
        made.given(0.0, key(number))
        load.running[worker.node] += 1
        given.append(worker.node)
    assert sorted(given) == ["a", "a", "b", "b"]


def test_refusal_shrinks_the_window_and_pauses_the_sidecar_once() -> None:
    made = scheduler("a")
    before = made.workers["a"].window
    for number in range(3):
        made.given(0.0, key(number))
    for number in range(3):  # refused together: one sign
        made.returned(1.0, "a", key(number), ReturnReason.REFUSED)
    assert made.workers["a"].window == before * 0.7
    assert made.choose(1.0 + PAUSE_S / 2, key(99)) is None
    assert made.choose(1.0 + PAUSE_S, key(99)) is not None
    for again in range(50):
        made.returned(2.0 + again, "a", key(0), ReturnReason.REFUSED)
    assert made.workers["a"].window == LEAST_WINDOW


def test_window_grows_only_while_it_is_used() -> None:
    load = Load()
    made = scheduler("a", load=load)
    before = made.workers["a"].window
    made.given(0.0, key(0))
    load.running["a"] = 1
    made.finished(1.0, "a", key(0))
    assert made.workers["a"].window == before
    for number in range(int(before)):
        made.given(1.0, key(number))
    load.running["a"] = int(before)
    made.finished(2.0, "a", key(0))
    assert made.workers["a"].window > before


def test_no_more_items_begin_than_there_are_endpoints() -> None:
    made = scheduler("a", endpoints=2)
    for number in range(2):
        assert made.choose(0.0, key(99)) is not None
        made.given(0.0, key(number))
    assert made.choose(0.1, key(99)) is None
    made.started(0.1, "a", key(0))
    assert made.choose(0.1, key(99)) is not None


def test_item_that_never_begins_holds_the_others_for_a_while_only() -> None:
    made = scheduler("a", endpoints=1)
    made.given(0.0, key(0))
    assert made.choose(STARTING_S, key(99)) is None
    assert made.choose(STARTING_S + 0.01, key(99)) is not None


def test_sidecar_that_comes_back_has_what_it_runs() -> None:
    load = Load()
    made = scheduler("a", load=load)
    made.leave("a")
    assert made.choose(0.0, key(99)) is None
    load.running["a"] = 5
    made.join("a", "z")
    worker = made.choose(0.0, key(99))
    assert worker is not None
    assert worker.free(0.0, load("a")) == worker.window - 5


def test_window_that_is_full_gets_nothing_until_the_table_says_that_there_is_room() -> None:
    """The scheduler used to count for itself; what ended on a path that did not tell it leaked a place."""
    load = Load()
    made = scheduler("a", load=load)
    load.running["a"] = int(made.workers["a"].window)
    assert made.choose(0.0, key(99)) is None
    load.running["a"] -= 1
    assert made.choose(0.0, key(99)) is not None


def returned(made: Scheduler, now: float, node: str, reason: ReturnReason) -> None:
    made.returned(now, node, key(99), reason)


def test_sidecar_that_is_stuck_gets_single_items_ever_later_until_one_moves() -> None:
    made = scheduler("a")
    now = 0.0
    for times in range(5):
        returned(made, now, "a", ReturnReason.STUCK)
        pause_s = min(STUCK_PAUSE_S * 2**times, MOST_STUCK_PAUSE_S)
        assert made.choose(now + pause_s - 0.01, key(0)) is None
        now += pause_s
        worker = made.choose(now, key(0))
        assert worker is not None
        assert worker.free(now, 0) == LEAST_WINDOW
    made.started(now, "a", key(0))
    returned(made, now, "a", ReturnReason.STUCK)
    assert made.choose(now + STUCK_PAUSE_S, key(0)) is not None


def test_items_that_come_back_together_are_one_sign() -> None:
    made = scheduler("a")
    for _ in range(4):
        returned(made, 0.0, "a", ReturnReason.STUCK)
    assert made.choose(STUCK_PAUSE_S, key(0)) is not None


@pytest.mark.parametrize("reason", [ReturnReason.STUCK, ReturnReason.SILENT, ReturnReason.FAILED])
def test_item_that_failed_to_move_goes_next_to_a_sidecar_that_endpoints_answer(reason: ReturnReason) -> None:
    made = scheduler("a", "b", "c")
    made.workers["a"].window = made.workers["c"].window = 64.0
    made.answered(1.0, "b")
    returned(made, 2.0, "a", reason)
    worker = made.choose(20.0, key(99))
    assert worker is not None
    assert worker.node == "b"


def test_item_waits_for_a_sidecar_that_is_full_rather_than_go_to_one_that_may_move_nothing() -> None:
    load = Load()
    made = scheduler("a", "b", "c", load=load)
    made.answered(1.0, "b")
    returned(made, 2.0, "a", ReturnReason.STUCK)
    load.running["b"] = int(made.workers["b"].window)
    assert made.choose(20.0, key(99)) is None
    assert made.has_room(20.0)  # for other items
    load.running["b"] -= 1
    assert made.choose(20.0, key(99)) is made.workers["b"]


def test_item_that_has_failed_everywhere_goes_where_that_was_longest_ago() -> None:
    made = scheduler("a", "b")
    returned(made, 2.0, "b", ReturnReason.STUCK)
    returned(made, 3.0, "a", ReturnReason.STUCK)
    assert made.choose(20.0, key(99)) is made.workers["b"]


def test_what_is_remembered_of_an_item_goes_with_it() -> None:
    made = scheduler("a", "b")
    ends: list[Callable[[], None]] = [
        lambda: made.started(3.0, "b", key(99)),
        lambda: made.finished(3.0, "b", key(99)),
        lambda: made.forget(key(99)),
    ]
    for end in ends:
        returned(made, 2.0, "a", ReturnReason.STUCK)
        assert made.tries(key(99)) == 1
        end()
        assert made.tries(key(99)) == 0


def test_sidecar_that_stops_is_left_alone() -> None:
    """It has the most room from then on, and would give each item back at once."""
    made = scheduler("a", "b")
    made.workers["a"].window = 64.0
    returned(made, 1.0, "a", ReturnReason.STOPPING)
    assert made.choose(1.0, key(0)) is made.workers["b"]
    assert made.workers["a"].window == LEAST_WINDOW
