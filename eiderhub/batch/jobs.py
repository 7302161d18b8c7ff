"""The job table of the storage group's primary: jobs, items, results and their positions, and the quota.

Pure: it is told the time of day and what arrives, and says what to write. Bodies and texts stay in the store;
memory holds what decisions need. A result's position is given when it is written and never changes; it is
shown to readers once the write is committed.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import NamedTuple, Protocol

import msgspec
from msgspec import Struct

from eiderhub.batch.messages import ItemKey, Progress, RunItem
from eiderhub.control.errors import ErrorKind, Refusal
from eiderhub.coordination.messages import Write

JOB_PREFIX, BODY_PREFIX, RESULT_PREFIX, ERRORS_PREFIX = "job/", "body/", "result/", "errors/"
POSITION_DIGITS = 7
NO_POSITION = -1
MOST_ITEMS = 200
MOST_PAGE = 1_000_000  # bytes of results in one answer
RETENTION_SLACK_S = 5.0  # clocks of machines differ: an item is given up so much later
PAGE_BYTES = 4096  # that the store allots at once
FIRST_RESULT_BYTES = 2.0 * PAGE_BYTES  # what a result is taken to need at first
RESULT_WEIGHT = 0.05  # of the newest in the mean of late
PURGE_SLACK_S = 60.0  # a job is forgotten so long after its results need to be told no more


class BatchTerms(NamedTuple):
    """What a batch route says of its jobs."""

    route: str
    window_s: float
    retention_s: float
    max_attempts: int
    max_queued_tokens: float  # 0: no limit


class SubmittedItem(Struct):
    id: str
    path: str
    tokens: float
    headers: dict[str, str] = {}
    body: str = ""  # base64


class Submission(Struct):
    requests: list[SubmittedItem]


class ItemRecord(Struct, array_like=True, frozen=True):
    id: str
    tokens: float


class JobRecord(Struct, array_like=True):
    """What is stored of a job, but for its body and results."""

    id: str
    route: str
    accepted_at: float  # time of day, seconds
    window_s: float
    retention_s: float
    max_attempts: int
    items: list[ItemRecord]
    ended: bool = False


class ResultRecord(Struct, frozen=True):
    id: str
    state: str
    text: str


class ResultPage(Struct):
    total: int
    next_token: int
    results: list[ResultRecord]


class ItemState(Enum):
    WAITING = "waiting"
    RUNNING = "running"
    LISTED = "listed"  # its result has a position


class Item:
    """One item. Its state, node and position are changed by the job table alone."""

    __slots__ = ("errors", "id", "job", "node", "order", "position", "progress", "state", "tokens")

    def __init__(self, job: Job, record: ItemRecord) -> None:
        self.job = job
        self.id = record.id
        self.tokens = record.tokens
        self.state = ItemState.WAITING
        self.node = ""  # where it runs
        self.order = 0  # number of the `RunItem` in its session; 0: the sidecar has announced it itself
        self.position = NO_POSITION
        self.errors = 0  # answers of 500
        self.progress: Progress | None = None

    @property
    def key(self) -> ItemKey:
        return ItemKey(self.job.record.id, self.id)

    @property
    def stored(self) -> bool:
        """Whether its result is committed."""
        return NO_POSITION < self.position < self.job.visible


class Job:
    def __init__(self, record: JobRecord) -> None:
        self.record = record
        self.items = {each.id: Item(self, each) for each in record.items}
        self.positions = 0  # given out
        self.visible = 0  # committed
        self.begun = 0  # first events of its items that this primary has been told of
        self.moved_at = float("-inf")  # when an item of it last began or ended, on the primary's clock
        self.waiting_count = len(record.items)
        self.committed = False

    @property
    def due_at(self) -> float:
        return self.record.accepted_at + self.record.window_s

    def waiting(self) -> Iterator[Item]:
        return (item for item in self.items.values() if item.state is ItemState.WAITING)

    def runnable(self) -> Iterator[Item]:
        """Those of them that have attempts left."""
        return (item for item in self.waiting() if item.errors < self.record.max_attempts)


class Reader(Protocol):
    """Where bodies and results are read from."""

    def get(self, key: str) -> bytes | None: ...

    def scan(self, prefix: str) -> Iterable[tuple[str, bytes]]: ...


def _result_key(job: str, position: int) -> str:
    return f"{RESULT_PREFIX}{job}/{position:0{POSITION_DIGITS}d}"


class JobTable:
    def __init__(self, reader: Reader) -> None:
        self._reader = reader
        self.jobs: dict[str, Job] = {}
        self._queued: dict[str, float] = {}  # tokens of unfinished items by route
        self._bodies: dict[str, dict[str, SubmittedItem]] = {}  # of jobs that have items to run
        self._running: dict[str, dict[ItemKey, Item]] = {}  # by node
        self._result_bytes = FIRST_RESULT_BYTES  # that one result takes, on the mean of late

    def load(self) -> None:
        """Everything from the store; all of it is committed."""
        self.jobs = {}
        self._queued = {}
        self._bodies = {}
        self._running = {}
        for _, value in self._reader.scan(JOB_PREFIX):
            job = Job(msgspec.msgpack.decode(value, type=JobRecord))
            job.committed = True
            self.jobs[job.record.id] = job
            for _, result in self._reader.scan(f"{RESULT_PREFIX}{job.record.id}/"):
                record = msgspec.msgpack.decode(result, type=ResultRecord)
                item = job.items[record.id]
                item.state, item.position = ItemState.LISTED, job.positions
                job.positions += 1
                job.waiting_count -= 1
            job.visible = job.positions
            errors = self._reader.get(ERRORS_PREFIX + job.record.id)
            for name, times in msgspec.msgpack.decode(errors, type=dict[str, int]).items() if errors else ():
                job.items[name].errors = times
            self._count(job)

    def _count(self, job: Job) -> None:
        if job.record.ended:
            return
        tokens = sum(i.tokens for i in job.items.values() if i.state is not ItemState.LISTED)
        self._queued[job.record.route] = self._queued.get(job.record.route, 0.0) + tokens

    def find(self, key: ItemKey) -> Item | None:
        job = self.jobs.get(key.job)
        return job.items.get(key.item) if job is not None else None

    def running_at(self, node: str) -> list[Item]:
        """The items that a node is taken to run."""
        return list(self._running.get(node, {}).values())

    def jobs_at(self, nodes: Iterable[str]) -> set[str]:
        """The jobs that have items there."""
        return {key.job for node in nodes for key in self._running.get(node, ())}

    def load_of(self, node: str) -> int:
        """How many those are."""
        return len(self._running.get(node, {}))

    def running_nodes(self) -> list[str]:
        return list(self._running)

    def _move(self, item: Item, state: ItemState, node: str = "", order: int = 0) -> None:
        """The one place where an item changes hands."""
        if item.node:
            held = self._running[item.node]
            del held[item.key]
            if not held:
                del self._running[item.node]
        item.job.waiting_count += (state is ItemState.WAITING) - (item.state is ItemState.WAITING)
        item.state, item.node, item.order = state, node, order
        if node:
            self._running.setdefault(node, {})[item.key] = item

    def expected_bytes(self) -> float:
        """What the results of all unfinished items will take in the store, by the mean of late ones."""
        open_jobs = (job for job in self.jobs.values() if not job.record.ended)
        unfinished = sum(len(job.items) - job.positions for job in open_jobs)
        return unfinished * self._result_bytes

    def queued(self, route: str) -> float:
        """Tokens of the route's items that have no result yet."""
        return self._queued.get(route, 0.0)

    # --- jobs ---

    def submit(self, wall: float, job_id: str, terms: BatchTerms, body: bytes) -> list[Write] | Refusal:
        """What to write for a new job; nothing where it has been taken before."""
        if job_id in self.jobs:
            return []
        try:
            submission = msgspec.json.decode(body, type=Submission)
            for each in submission.requests:
                base64.b64decode(each.body, validate=True)
        except (msgspec.DecodeError, binascii.Error) as error:
            return Refusal(ErrorKind.INVALID, str(error))
        items = submission.requests
        if not items or len(items) > MOST_ITEMS or len({i.id for i in items}) != len(items):
            return Refusal(ErrorKind.INVALID, f"1 to {MOST_ITEMS} requests, each with its own id")
        tokens = sum(item.tokens for item in items)
        if 0 < terms.max_queued_tokens < self.queued(terms.route) + tokens:
            return Refusal(ErrorKind.NO_ROOM, f"{terms.max_queued_tokens:g} tokens may wait")
        record = JobRecord(
            job_id, terms.route, wall, terms.window_s, terms.retention_s, terms.max_attempts,
            [ItemRecord(i.id, i.tokens) for i in items],
        )  # fmt: skip
        job = Job(record)
        self.jobs[job_id] = job
        self._bodies[job_id] = {item.id: item for item in items}
        self._count(job)
        return [
            Write(JOB_PREFIX + job_id, msgspec.msgpack.encode(record)),
            Write(BODY_PREFIX + job_id, body),
        ]

    def tokens(self, job_id: str) -> int:
        """Of all items of a job."""
        return int(sum(item.tokens for item in self.jobs[job_id].items.values()))

    def accepted(self, job_id: str) -> None:
        """The job is committed: its items may run."""
        self.jobs[job_id].committed = True

    def forget(self, job_id: str) -> None:
        """A job that was not committed."""
        job = self.jobs.pop(job_id, None)
        self._bodies.pop(job_id, None)
        if job is not None:
            self._release(job, sum(i.tokens for i in job.items.values()))

    def is_committed(self, job_id: str) -> bool:
        job = self.jobs.get(job_id)
        return job is not None and job.committed

    def end(self, job_id: str) -> list[Write]:
        """Its client wants no more of it; nothing to write where that has been said before."""
        job = self.jobs[job_id]
        if job.record.ended:
            return []
        unfinished = sum(i.tokens for i in job.items.values() if i.state is not ItemState.LISTED)
        self._release(job, unfinished)
        job.record.ended = True
        self._bodies.pop(job_id, None)
        return [
            Write(JOB_PREFIX + job_id, msgspec.msgpack.encode(job.record)),
            Write(BODY_PREFIX + job_id, None),
            Write(ERRORS_PREFIX + job_id, None),
        ]

    def errors(self, job_id: str) -> list[Write]:
        """What to write of the failed attempts of a job's items: the next primary counts on."""
        job = self.jobs.get(job_id)
        if job is None or job.record.ended or job.positions == len(job.items):
            return []
        times = {item.id: item.errors for item in job.items.values() if item.errors}
        return [Write(ERRORS_PREFIX + job_id, msgspec.msgpack.encode(times))]

    def _release(self, job: Job, tokens: float) -> None:
        route = job.record.route
        self._queued[route] = max(0.0, self._queued.get(route, 0.0) - tokens)

    def purge(self, wall: float, status_ttl_s: float) -> list[Write]:
        """Forget the oldest job that is over and that nobody may ask for any more, where there is one.

        A job sent again so late would be taken as new: its client has given up long before.
        """
        for job in self.jobs.values():
            record = job.record
            kept_s = max(status_ttl_s, record.retention_s) + PURGE_SLACK_S
            over = record.ended or job.visible == len(job.items)
            if over and wall > record.accepted_at + kept_s:
                self.jobs.pop(record.id)
                self._bodies.pop(record.id, None)
                results = [_result_key(record.id, position) for position in range(job.positions)]
                keys = [prefix + record.id for prefix in (JOB_PREFIX, BODY_PREFIX, ERRORS_PREFIX)] + results
                return [Write(key, None) for key in keys]
        return []

    # --- results ---

    def finish(self, key: ItemKey, succeeded: bool, text: str) -> list[Write]:
        """Give an item's result its position; nothing where it has one, or its job is unknown or ended.

        With the last result the job's body goes: nothing of it will run, and nobody may ask for it.
        """
        item = self.find(key)
        if item is None or item.state is ItemState.LISTED or item.job.record.ended:
            return []
        job = item.job
        record = ResultRecord(item.id, "succeeded" if succeeded else "dead_letter", text)
        value = msgspec.msgpack.encode(record)
        pages = len(value) // PAGE_BYTES + 1
        self._result_bytes += RESULT_WEIGHT * (pages * PAGE_BYTES - self._result_bytes)
        writes = [Write(_result_key(key.job, job.positions), value)]
        self._move(item, ItemState.LISTED)
        item.position = job.positions
        item.progress = None
        self._release(job, item.tokens)
        job.positions += 1
        if job.positions == len(job.items):
            self._bodies.pop(key.job, None)
            writes += [Write(BODY_PREFIX + key.job, None), Write(ERRORS_PREFIX + key.job, None)]
        return writes

    def listed(self, key: ItemKey) -> bool:
        """The write of an item's result, and all before it, are committed; whether that was news."""
        item = self.find(key)
        if item is None or item.position < item.job.visible:
            return False
        item.job.visible = item.position + 1
        return True

    def page(self, job_id: str, start: int) -> ResultPage | Refusal:
        """Committed results from a position on, as many as fit."""
        job = self.jobs.get(job_id)
        if job is None or not job.committed:
            return Refusal(ErrorKind.UNKNOWN, "no such job")
        results: list[ResultRecord] = []
        size = 0
        for position in range(max(0, start), job.visible):
            value = self._reader.get(_result_key(job_id, position))
            if value is None or (results and size + len(value) > MOST_PAGE):
                break
            size += len(value)
            results.append(msgspec.msgpack.decode(value, type=ResultRecord))
        return ResultPage(len(job.items), start + len(results), results)

    def body(self, job_id: str, item_id: str) -> bytes | Refusal:
        submitted = self._submitted(job_id).get(item_id)
        if submitted is None:
            return Refusal(ErrorKind.UNKNOWN, "no such item")
        return base64.b64decode(submitted.body)

    def _submitted(self, job_id: str) -> dict[str, SubmittedItem]:
        found = self._bodies.get(job_id)
        if found is None:
            body = self._reader.get(BODY_PREFIX + job_id)
            if body is None or job_id not in self.jobs:
                return {}
            submission = msgspec.json.decode(body, type=Submission)
            found = {item.id: item for item in submission.requests}
            job = self.jobs[job_id]
            if not job.record.ended and job.positions < len(job.items):
                self._bodies[job_id] = found
        return found

    # --- items to run ---

    def in_order(self, wall: float, run_s: float) -> list[Job]:
        """Open jobs as their items are to be run.

        Those whose items can still be in time, if one takes `run_s`, the one that is due first in front; then
        the others. Danger: were what is late already run first, all that comes after it would be late too.
        """
        return sorted(self.open_jobs(), key=lambda job: (job.due_at - run_s < wall, job.due_at))

    def open_jobs(self) -> list[Job]:
        """Jobs that have items to run, the one that is due first in front."""
        jobs = [
            job
            for job in self.jobs.values()
            if job.committed and not job.record.ended and job.positions < len(job.items)
        ]
        return sorted(jobs, key=lambda job: job.due_at)

    def start(self, wall: float, item: Item, node: str, order: int = 0, tries: int = 0) -> RunItem:
        """The item runs at a node from now on; `tries`: at how many it has failed to move."""
        submitted = self._submitted(item.job.record.id)[item.id]
        self._move(item, ItemState.RUNNING, node, order)
        due_ms = int((item.job.due_at - wall) * 1000)
        body = base64.b64decode(submitted.body)
        return RunItem(
            item.key, item.job.record.route, submitted.path, submitted.headers, body, due_ms,
            item.progress, tries, item.errors,
        )  # fmt: skip

    def announced(self, node: str, key: ItemKey) -> bool:
        """A node says that it holds the item; whether it should go on."""
        item = self.find(key)
        if item is None or item.job.record.ended:
            return False
        if item.state is ItemState.LISTED:
            return not item.stored  # its result may be this node's own, on its way to be stored
        if item.state is ItemState.RUNNING:
            return item.node == node
        self._move(item, ItemState.RUNNING, node)
        return True

    def release(self, item: Item) -> None:
        """The item waits to be given out."""
        self._move(item, ItemState.WAITING)

    def returned(self, node: str, key: ItemKey, errors: int, progress: Progress | None) -> Item | None:
        """The node runs the item no more; the item, where it waits again."""
        item = self.find(key)
        if item is None or item.state is not ItemState.RUNNING or item.node != node:
            return None
        self.release(item)
        # Behind the others: one that moves nowhere must not be all that is ever tried of its job.
        item.job.items[item.id] = item.job.items.pop(item.id)
        item.errors += errors
        if progress is not None:
            item.progress = progress
        return item

    def hopeless(self, wall: float, routes: set[str] | None) -> list[Item]:
        """Items that end as dead letters: out of attempts or of time, or their route is gone.

        `routes`: those in force; None where they are not known, and no item is judged by its route.
        """
        found = []
        for job in self.open_jobs():
            late = wall > job.record.accepted_at + job.record.retention_s + RETENTION_SLACK_S
            gone = routes is not None and job.record.route not in routes
            for item in job.waiting():
                if late or gone or item.errors >= job.record.max_attempts:
                    found.append(item)
        return found
