"""The job table: submission, result positions, token quota, and the state that a new primary loads."""

from __future__ import annotations

import base64

import msgspec
import pytest

from eiderhub.batch.jobs import BatchLimits, ItemState, JobTable, ResultPage
from eiderhub.batch.messages import ItemKey, Progress
from eiderhub.control.errors import ErrorKind, Refusal
from eiderhub.coordination.messages import Position, Update, Write
from eiderhub.storage.store import MemoryStore

LIMITS = BatchLimits("r", 10.0, 40.0, 3, 100.0)
SUBMITTED_AT = 1_000.0


def body_of(*items: str, tokens: float = 10.0) -> bytes:
    requests = [
        {"id": i, "path": f"/p/{i}", "tokens": tokens, "body": base64.b64encode(i.encode()).decode()}
        for i in items
    ]
    return msgspec.json.encode({"requests": requests})


class Primary:
    """A job table whose writes are committed to a store at once."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.table = JobTable(self.store)

    def commit(self, writes: list[Write] | Refusal) -> None:
        assert not isinstance(writes, Refusal), writes
        if writes:
            self.store.apply([Update(Position(1, self.store.position.version + 1), writes)])

    def submit(self, job: str, *items: str, tokens: float = 10.0) -> None:
        self.commit(self.table.submit(SUBMITTED_AT, job, LIMITS, body_of(*items, tokens=tokens)))
        self.table.mark_committed(job)

    def finish(self, job: str, item: str, text: str = "t", succeeded: bool = True) -> None:
        self.commit(self.table.finish(ItemKey(job, item), succeeded, text))
        self.table.mark_result_committed(ItemKey(job, item))

    def page(self, job: str, start: int = 0) -> ResultPage:
        page = self.table.page(job, start)
        assert isinstance(page, ResultPage)
        return page

    def next_primary_table(self) -> JobTable:
        table = JobTable(self.store)
        table.load()
        return table


@pytest.fixture
def primary() -> Primary:
    return Primary()


def test_resubmitted_job_is_accepted_once(primary: Primary) -> None:
    primary.submit("j", "a", "b")
    assert primary.table.submit(SUBMITTED_AT, "j", LIMITS, body_of("a", "b")) == []
    assert primary.table.queued_tokens("r") == 20.0


def test_results_keep_their_positions_and_a_second_result_of_an_item_is_ignored(primary: Primary) -> None:
    primary.submit("j", "a", "b")
    primary.finish("j", "b", "first")
    primary.finish("j", "b", "second")
    primary.finish("j", "a")
    page = primary.page("j")
    assert [(r.id, r.text) for r in page.results] == [("b", "first"), ("a", "t")]
    assert (page.total, page.next_token) == (2, 2)


def test_result_is_visible_once_it_is_committed(primary: Primary) -> None:
    primary.submit("j", "a")
    writes = primary.table.finish(ItemKey("j", "a"), True, "t")
    assert primary.page("j").results == []
    primary.commit(writes)
    assert primary.table.mark_result_committed(ItemKey("j", "a"))
    assert len(primary.page("j").results) == 1


def test_new_primary_loads_jobs_results_and_quota(primary: Primary) -> None:
    primary.submit("j", "a", "b", "c")
    primary.finish("j", "b")
    table = primary.next_primary_table()
    page = table.page("j", 0)
    assert isinstance(page, ResultPage)
    assert [r.id for r in page.results] == ["b"]
    assert table.queued_tokens("r") == 20.0
    assert {item.id for item in table.open_jobs()[0].waiting()} == {"a", "c"}
    assert table.body("j", "c") == b"c"


def test_quota_refuses_jobs_over_the_limit_and_results_free_it(primary: Primary) -> None:
    primary.submit("j", "a", "b", tokens=45.0)
    primary.submit("k", "c", tokens=10.0)  # fits exactly
    full = primary.table.submit(SUBMITTED_AT, "m", LIMITS, body_of("e"))
    assert isinstance(full, Refusal)
    assert full.kind is ErrorKind.NO_ROOM
    primary.finish("j", "a")
    primary.submit("m", "e")


def test_discarded_job_leaves_no_state(primary: Primary) -> None:
    primary.table.submit(SUBMITTED_AT, "j", LIMITS, body_of("a"))
    refused = primary.table.page("j", 0)
    assert isinstance(refused, Refusal)
    primary.table.discard("j")
    assert primary.table.queued_tokens("r") == 0.0
    assert primary.table.open_jobs() == []


def test_ended_job_runs_nothing_and_keeps_its_results(primary: Primary) -> None:
    primary.submit("j", "a", "b")
    primary.finish("j", "a")
    primary.commit(primary.table.end("j"))
    assert primary.table.finish(ItemKey("j", "b"), True, "late") == []
    assert primary.table.open_jobs() == []
    assert primary.table.queued_tokens("r") == 0.0
    assert len(primary.page("j").results) == 1
    assert not primary.table.confirm_running("n", ItemKey("j", "b"))
    assert primary.table.end("j") == []
    assert primary.next_primary_table().open_jobs() == []


def test_returned_item_resumes_from_its_progress(primary: Primary) -> None:
    primary.submit("j", "a")
    item = next(primary.table.open_jobs()[0].waiting())
    primary.table.start(SUBMITTED_AT, item, "n1")
    progress = Progress(4, ["x"] * 5)
    assert primary.table.item_returned("n2", item.key, 0, None) is None  # reports of other nodes are ignored
    assert primary.table.item_returned("n1", item.key, 1, progress) is item
    assert primary.table.start(SUBMITTED_AT, item, "n2").progress == progress
    assert item.errors == 1


def test_item_run_by_two_sidecars_has_one_result(primary: Primary) -> None:
    """The first sidecar was considered lost, reconnects, and finishes the item as well, with another text."""
    primary.submit("j", "i")
    item = primary.table.jobs["j"].items["i"]
    primary.table.start(SUBMITTED_AT, item, "n1")
    primary.table.requeue(item)
    primary.table.start(SUBMITTED_AT, item, "n2")
    assert not primary.table.confirm_running("n1", item.key)  # to be cancelled there
    assert primary.table.item_returned("n1", item.key, 1, Progress(3, ["late"])) is None
    assert (item.node, item.progress, item.errors) == ("n2", None, 0)
    primary.finish("j", "i", "second")
    primary.finish("j", "i", "first")
    assert [r.text for r in primary.page("j").results] == ["second"]


def test_items_of_a_lost_node_are_requeued(primary: Primary) -> None:
    primary.submit("j", "a", "b")
    for item in list(primary.table.open_jobs()[0].waiting()):
        primary.table.start(SUBMITTED_AT, item, "n1" if item.id == "a" else "n2")
    for item in primary.table.running_at("n1"):
        primary.table.requeue(item)
    assert [i.id for i in primary.table.running_at("n2")] == ["b"]
    assert [i.id for i in primary.table.open_jobs()[0].waiting()] == ["a"]


@pytest.mark.parametrize(
    ("wall_time", "errors", "routes", "expected"),
    [
        (SUBMITTED_AT + 1, 0, {"r"}, False),
        (SUBMITTED_AT + 1, 2, {"r"}, False),
        (SUBMITTED_AT + 1, 3, {"r"}, True),
        (SUBMITTED_AT + 40.5, 0, {"r"}, False),  # clocks of machines differ
        (SUBMITTED_AT + 60, 0, {"r"}, True),
        (SUBMITTED_AT + 1, 0, set(), True),
    ],
)
def test_items_that_become_dead_letters(
    primary: Primary, wall_time: float, errors: int, routes: set[str], expected: bool
) -> None:
    primary.submit("j", "a")
    item = next(primary.table.open_jobs()[0].waiting())
    item.errors = errors
    assert (primary.table.undeliverable_items(wall_time, routes) == [item]) is expected
    assert item.state is ItemState.WAITING


@pytest.mark.parametrize(
    "body",
    [
        b"", b"[]", b'{"requests":[]}', body_of("a", "a"), b'{"requests":[{"id":"a"}]}',
        b'{"requests":[{"id":"a","path":"/","tokens":1,"body":"*"}]}', body_of(*map(str, range(201))),
    ],
)  # fmt: skip
def test_malformed_job_is_refused(primary: Primary, body: bytes) -> None:
    refused = primary.table.submit(SUBMITTED_AT, "j", LIMITS, body)
    assert isinstance(refused, Refusal)
    assert refused.kind is ErrorKind.INVALID
    assert primary.table.queued_tokens("r") == 0.0


def test_page_size_is_bounded_and_the_next_page_continues(primary: Primary) -> None:
    primary.submit("j", "a", "b", "c")
    for item in "abc":
        primary.finish("j", item, "x" * 600_000)
    first = primary.page("j")
    assert (len(first.results), first.next_token) == (1, 1)
    assert primary.page("j", 1).results[0].id == "b"


def test_next_primary_continues_the_count_of_failed_attempts(primary: Primary) -> None:
    """Otherwise an item that always fails would get all its attempts again from each primary."""
    primary.submit("j", "a", "b")
    item = primary.table.jobs["j"].items["a"]
    primary.table.start(SUBMITTED_AT, item, "n1")
    primary.table.item_returned("n1", item.key, 2, None)
    primary.commit(primary.table.error_writes("j"))
    successor = primary.next_primary_table()
    same_item = successor.jobs["j"].items["a"]
    assert (same_item.errors, successor.jobs["j"].items["b"].errors) == (2, 0)
    assert successor.start(SUBMITTED_AT, same_item, "n2").errors == 2
    successor.item_returned("n2", same_item.key, 1, None)
    assert same_item in successor.undeliverable_items(SUBMITTED_AT, None)


@pytest.mark.parametrize("end", ["last result", "ended", "purged"])
def test_stored_error_counts_are_deleted_with_the_job(primary: Primary, end: str) -> None:
    primary.submit("j", "a")
    item = primary.table.jobs["j"].items["a"]
    primary.table.start(SUBMITTED_AT, item, "n1")
    primary.table.item_returned("n1", item.key, 1, None)
    primary.commit(primary.table.error_writes("j"))
    assert primary.store.get("errors/j") is not None
    if end == "last result":
        primary.finish("j", "a")
    else:
        primary.commit(primary.table.end("j"))
    if end == "purged":
        primary.commit(primary.table.purge_expired(SUBMITTED_AT + 1e6, 0.0))
    assert primary.store.get("errors/j") is None
    assert primary.table.error_writes("j") == []


def test_returned_item_is_assigned_after_the_others_of_its_job(primary: Primary) -> None:
    """Otherwise an item that never makes progress could be the only one that is tried."""
    primary.submit("j", "a", "b", "c")
    job = primary.table.jobs["j"]
    for expected in ("a", "b", "c", "a"):
        item = next(job.runnable())
        assert item.id == expected
        primary.table.start(SUBMITTED_AT, item, "n1")
        primary.table.item_returned("n1", item.key, 0, None)
