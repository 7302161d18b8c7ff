"""The job table: acceptance, positions, quota, and what a new primary finds."""

from __future__ import annotations

import base64

import msgspec
import pytest

from eiderhub.batch.jobs import BatchTerms, ItemState, JobTable, ResultPage
from eiderhub.batch.messages import ItemKey, Progress
from eiderhub.control.errors import ErrorKind, Refusal
from eiderhub.coordination.messages import Position, Update, Write
from eiderhub.storage.store import MemoryStore

TERMS = BatchTerms("r", 10.0, 40.0, 3, 100.0)
WALL = 1_000.0


def body_of(*items: str, tokens: float = 10.0) -> bytes:
    requests = [
        {"id": i, "path": f"/p/{i}", "tokens": tokens, "body": base64.b64encode(i.encode()).decode()}
        for i in items
    ]
    return msgspec.json.encode({"requests": requests})


class Primary:
    """A job table over a store, with each write committed at once."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.table = JobTable(self.store)

    def commit(self, writes: list[Write] | Refusal) -> None:
        assert not isinstance(writes, Refusal), writes
        if writes:
            self.store.apply([Update(Position(1, self.store.position.version + 1), writes)])

    def submit(self, job: str, *items: str, tokens: float = 10.0) -> None:
        self.commit(self.table.submit(WALL, job, TERMS, body_of(*items, tokens=tokens)))
        self.table.accepted(job)

    def finish(self, job: str, item: str, text: str = "t", succeeded: bool = True) -> None:
        self.commit(self.table.finish(ItemKey(job, item), succeeded, text))
        self.table.listed(ItemKey(job, item))

    def page(self, job: str, start: int = 0) -> ResultPage:
        page = self.table.page(job, start)
        assert isinstance(page, ResultPage)
        return page

    def successor(self) -> JobTable:
        table = JobTable(self.store)
        table.load()
        return table


@pytest.fixture
def primary() -> Primary:
    return Primary()


def test_job_sent_again_is_taken_once(primary: Primary) -> None:
    primary.submit("j", "a", "b")
    assert primary.table.submit(WALL, "j", TERMS, body_of("a", "b")) == []
    assert primary.table.queued("r") == 20.0


def test_results_keep_their_positions_and_a_second_end_of_an_item_gets_none(primary: Primary) -> None:
    primary.submit("j", "a", "b")
    primary.finish("j", "b", "first")
    primary.finish("j", "b", "second")
    primary.finish("j", "a")
    page = primary.page("j")
    assert [(r.id, r.text) for r in page.results] == [("b", "first"), ("a", "t")]
    assert (page.total, page.next_token) == (2, 2)


def test_result_is_shown_once_it_is_committed(primary: Primary) -> None:
    primary.submit("j", "a")
    writes = primary.table.finish(ItemKey("j", "a"), True, "t")
    assert primary.page("j").results == []
    primary.commit(writes)
    assert primary.table.listed(ItemKey("j", "a"))
    assert len(primary.page("j").results) == 1


def test_new_primary_has_jobs_results_and_quota(primary: Primary) -> None:
    primary.submit("j", "a", "b", "c")
    primary.finish("j", "b")
    table = primary.successor()
    page = table.page("j", 0)
    assert isinstance(page, ResultPage)
    assert [r.id for r in page.results] == ["b"]
    assert table.queued("r") == 20.0
    assert {item.id for item in table.open_jobs()[0].waiting()} == {"a", "c"}
    assert table.body("j", "c") == b"c"


def test_quota_refuses_what_does_not_fit_and_results_make_room(primary: Primary) -> None:
    primary.submit("j", "a", "b", tokens=45.0)
    primary.submit("k", "c", tokens=10.0)  # fits exactly
    full = primary.table.submit(WALL, "m", TERMS, body_of("e"))
    assert isinstance(full, Refusal)
    assert full.kind is ErrorKind.NO_ROOM
    primary.finish("j", "a")
    primary.submit("m", "e")


def test_job_that_was_not_committed_leaves_no_trace(primary: Primary) -> None:
    primary.table.submit(WALL, "j", TERMS, body_of("a"))
    refused = primary.table.page("j", 0)
    assert isinstance(refused, Refusal)
    primary.table.forget("j")
    assert primary.table.queued("r") == 0.0
    assert primary.table.open_jobs() == []


def test_ended_job_runs_nothing_and_keeps_what_is_listed(primary: Primary) -> None:
    primary.submit("j", "a", "b")
    primary.finish("j", "a")
    primary.commit(primary.table.end("j"))
    assert primary.table.finish(ItemKey("j", "b"), True, "late") == []
    assert primary.table.open_jobs() == []
    assert primary.table.queued("r") == 0.0
    assert len(primary.page("j").results) == 1
    assert not primary.table.announced("n", ItemKey("j", "b"))
    assert primary.table.end("j") == []
    assert primary.successor().open_jobs() == []


def test_item_returned_with_progress_goes_on_from_there(primary: Primary) -> None:
    primary.submit("j", "a")
    item = next(primary.table.open_jobs()[0].waiting())
    primary.table.start(WALL, item, "n1")
    progress = Progress(4, ["x"] * 5)
    assert primary.table.returned("n2", item.key, 0, None) is None  # another node's word counts for nothing
    assert primary.table.returned("n1", item.key, 1, progress) is item
    assert primary.table.start(WALL, item, "n2").progress == progress
    assert item.errors == 1


def test_item_that_two_sidecars_run_is_listed_once(primary: Primary) -> None:
    """Its first sidecar was taken for lost, comes back, and ends it too, with another text."""
    primary.submit("j", "i")
    item = primary.table.jobs["j"].items["i"]
    primary.table.start(WALL, item, "n1")
    primary.table.release(item)
    primary.table.start(WALL, item, "n2")
    assert not primary.table.announced("n1", item.key)  # it is told to stop
    assert primary.table.returned("n1", item.key, 1, Progress(3, ["late"])) is None
    assert (item.node, item.progress, item.errors) == ("n2", None, 0)
    primary.finish("j", "i", "second")
    primary.finish("j", "i", "first")
    assert [r.text for r in primary.page("j").results] == ["second"]


def test_items_of_a_lost_node_wait_again(primary: Primary) -> None:
    primary.submit("j", "a", "b")
    for item in list(primary.table.open_jobs()[0].waiting()):
        primary.table.start(WALL, item, "n1" if item.id == "a" else "n2")
    for item in primary.table.running_at("n1"):
        primary.table.release(item)
    assert [i.id for i in primary.table.running_at("n2")] == ["b"]
    assert [i.id for i in primary.table.open_jobs()[0].waiting()] == ["a"]


@pytest.mark.parametrize(
    ("wall", "errors", "routes", "dead"),
    [
        (WALL + 1, 0, {"r"}, False),
        (WALL + 1, 2, {"r"}, False),
        (WALL + 1, 3, {"r"}, True),
        (WALL + 40.5, 0, {"r"}, False),  # clocks of machines differ
        (WALL + 60, 0, {"r"}, True),
        (WALL + 1, 0, set(), True),
    ],
)
def test_dead_letters(primary: Primary, wall: float, errors: int, routes: set[str], dead: bool) -> None:
    primary.submit("j", "a")
    item = next(primary.table.open_jobs()[0].waiting())
    item.errors = errors
    assert (primary.table.hopeless(wall, routes) == [item]) is dead
    assert item.state is ItemState.WAITING


@pytest.mark.parametrize(
    "body",
    [
        b"", b"[]", b'{"requests":[]}', body_of("a", "a"), b'{"requests":[{"id":"a"}]}',
        b'{"requests":[{"id":"a","path":"/","tokens":1,"body":"*"}]}', body_of(*map(str, range(201))),
    ],
)  # fmt: skip
def test_job_that_cannot_be_read_is_refused(primary: Primary, body: bytes) -> None:
    refused = primary.table.submit(WALL, "j", TERMS, body)
    assert isinstance(refused, Refusal)
    assert refused.kind is ErrorKind.INVALID
    assert primary.table.queued("r") == 0.0


def test_page_is_bounded_and_goes_on_where_it_ended(primary: Primary) -> None:
    primary.submit("j", "a", "b", "c")
    for item in "abc":
        primary.finish("j", item, "x" * 600_000)
    first = primary.page("j")
    assert (len(first.results), first.next_token) == (1, 1)
    assert primary.page("j", 1).results[0].id == "b"


def test_failed_attempts_are_counted_on_by_the_next_primary(primary: Primary) -> None:
    """Else an item that fails at each run gets all its attempts anew with each primary."""
    primary.submit("j", "a", "b")
    item = primary.table.jobs["j"].items["a"]
    primary.table.start(WALL, item, "n1")
    primary.table.returned("n1", item.key, 2, None)
    primary.commit(primary.table.errors("j"))
    later = primary.successor()
    again = later.jobs["j"].items["a"]
    assert (again.errors, later.jobs["j"].items["b"].errors) == (2, 0)
    assert later.start(WALL, again, "n2").errors == 2
    later.returned("n2", again.key, 1, None)
    assert again in later.hopeless(WALL, None)


@pytest.mark.parametrize("end", ["last result", "ended", "purged"])
def test_what_is_kept_of_failed_attempts_goes_with_the_job(primary: Primary, end: str) -> None:
    primary.submit("j", "a")
    item = primary.table.jobs["j"].items["a"]
    primary.table.start(WALL, item, "n1")
    primary.table.returned("n1", item.key, 1, None)
    primary.commit(primary.table.errors("j"))
    assert primary.store.get("errors/j") is not None
    if end == "last result":
        primary.finish("j", "a")
    else:
        primary.commit(primary.table.end("j"))
    if end == "purged":
        primary.commit(primary.table.purge(WALL + 1e6, 0.0))
    assert primary.store.get("errors/j") is None
    assert primary.table.errors("j") == []


def test_item_that_came_back_is_given_out_after_the_others_of_its_job(primary: Primary) -> None:
    """Where few can be tried, one that never moves would be all that is tried."""
    primary.submit("j", "a", "b", "c")
    job = primary.table.jobs["j"]
    for expected in ("a", "b", "c", "a"):
        item = next(job.runnable())
        assert item.id == expected
        primary.table.start(WALL, item, "n1")
        primary.table.returned("n1", item.key, 0, None)
