"""The scheduler of batch items: windows that follow what sidecars finish and refuse, and paced starts."""

from __future__ import annotations

from eiderhub.batch.messages import ItemKey
from eiderhub.batch.scheduler import LEAST_WINDOW, PAUSE_S, STARTING_S, Scheduler


def key(number: int) -> ItemKey:
    return ItemKey("j", f"i{number}")


def scheduler(*nodes: str, endpoints: int = 100, places: int = 0) -> Scheduler:
    made = Scheduler()
    made.follow(endpoints, places)
    for node in nodes:
        made.join(node, "z", 0)
    return made


def test_items_go_to_the_sidecar_with_the_most_room() -> None:
    made = scheduler("a", "b")
    given = []
    for number in range(4):
        worker = made.choose(0.0)
        assert worker is not None
        made.given(0.0, worker, key(number))
        given.append(worker.node)
    assert sorted(given) == ["a", "a", "b", "b"]


def test_refusal_shrinks_the_window_and_pauses_the_sidecar_once() -> None:
    made = scheduler("a")
    before = made.workers["a"].window
    for number in range(3):
        made.given(0.0, made.workers["a"], key(number))
    for number in range(3):  # refused together: one sign
        made.returned(1.0, "a", key(number), refused=True)
    assert made.workers["a"].window == before * 0.7
    assert made.choose(1.0 + PAUSE_S / 2) is None
    assert made.choose(1.0 + PAUSE_S) is not None
    for again in range(50):
        made.returned(2.0 + again, "a", key(0), refused=True)
    assert made.workers["a"].window == LEAST_WINDOW


def test_window_grows_only_while_it_is_used() -> None:
    made = scheduler("a")
    before = made.workers["a"].window
    made.given(0.0, made.workers["a"], key(0))
    made.finished(1.0, "a", key(0))
    assert made.workers["a"].window == before
    for number in range(int(before)):
        made.given(1.0, made.workers["a"], key(number))
    made.finished(2.0, "a", key(0))
    assert made.workers["a"].window > before


def test_no_more_items_begin_than_there_are_endpoints() -> None:
    made = scheduler("a", endpoints=2)
    for number in range(2):
        worker = made.choose(0.0)
        assert worker is not None
        made.given(0.0, worker, key(number))
    assert made.choose(0.1) is None
    made.started(key(0))
    assert made.choose(0.1) is not None


def test_item_that_never_begins_holds_the_others_for_a_while_only() -> None:
    made = scheduler("a", endpoints=1)
    made.given(0.0, made.workers["a"], key(0))
    assert made.choose(STARTING_S) is None
    assert made.choose(STARTING_S + 0.01) is not None


def test_sidecar_that_comes_back_has_what_it_runs() -> None:
    made = scheduler("a")
    made.leave("a")
    assert made.choose(0.0) is None
    made.join("a", "z", 5)
    assert made.workers["a"].running == 5
