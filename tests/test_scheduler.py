"""The scheduler of batch items: windows that follow what sidecars finish and refuse, and paced starts."""

from __future__ import annotations

from collections import Counter

from eiderhub.batch.messages import ItemKey
from eiderhub.batch.scheduler import LEAST_WINDOW, PAUSE_S, STARTING_S, Scheduler


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
        worker = made.choose(0.0)
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
        made.returned(1.0, "a", key(number), refused=True)
    assert made.workers["a"].window == before * 0.7
    assert made.choose(1.0 + PAUSE_S / 2) is None
    assert made.choose(1.0 + PAUSE_S) is not None
    for again in range(50):
        made.returned(2.0 + again, "a", key(0), refused=True)
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
        assert made.choose(0.0) is not None
        made.given(0.0, key(number))
    assert made.choose(0.1) is None
    made.started(key(0))
    assert made.choose(0.1) is not None


def test_item_that_never_begins_holds_the_others_for_a_while_only() -> None:
    made = scheduler("a", endpoints=1)
    made.given(0.0, key(0))
    assert made.choose(STARTING_S) is None
    assert made.choose(STARTING_S + 0.01) is not None


def test_sidecar_that_comes_back_has_what_it_runs() -> None:
    load = Load()
    made = scheduler("a", load=load)
    made.leave("a")
    assert made.choose(0.0) is None
    load.running["a"] = 5
    made.join("a", "z")
    worker = made.choose(0.0)
    assert worker is not None
    assert worker.free(0.0, load("a")) == worker.window - 5


def test_window_that_is_full_gets_nothing_until_the_table_says_that_there_is_room() -> None:
    """The scheduler used to count for itself; what ended on a path that did not tell it leaked a place."""
    load = Load()
    made = scheduler("a", load=load)
    load.running["a"] = int(made.workers["a"].window)
    assert made.choose(0.0) is None
    load.running["a"] -= 1
    assert made.choose(0.0) is not None
