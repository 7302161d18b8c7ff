"""The job table of the storage group's primary: jobs, items, results and their positions, and token quotas.

Performs no I/O except reads of the store: callers pass the time of day and events, and apply the returned
writes. Bodies and result texts stay in the store; memory holds what decisions need. The position of a result
is assigned when it is written and never changes; readers see the result once the write is committed.
"""

from __future__ import annotations

import base64
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import NamedTuple, Protocol

import msgspec
from msgspec import Struct

from eiderhub.batch.job_ids import (
    BODY_PREFIX,
    JOB_PREFIX,
    errors_key,
    is_result_key,
    result_key,
    result_prefix,
    stored_name,
)
from eiderhub.batch.messages import ItemKey, Progress, RunItem
from eiderhub.control.errors import ErrorKind, Refusal
from eiderhub.coordination.messages import Write
from eiderhub.request_head import UnsendableRequest, item_head

MAX_ITEM_HEAD_BYTES = 64 << 10  # without a configured limit
MAX_ITEM_TOKENS = 1e12
MAX_SHOWN_CHARACTERS = 60  # of an item's id, in an error message
CHECK_HOST = "host"  # stands for the route's host where only the item is checked
NO_POSITION = -1
MAX_ITEMS = 200
MAX_PAGE_BYTES = 1_000_000  # results in one answer
RETENTION_SLACK_S = 5.0  # added before an item expires: the clocks of machines differ
STORE_PAGE_BYTES = 4096  # allocation unit of the store
INITIAL_RESULT_BYTES = 2.0 * STORE_PAGE_BYTES  # assumed size of a result before any was measured
RESULT_MEAN_WEIGHT = 0.05  # weight of a new sample in the moving average of result sizes
PURGE_SLACK_S = 60.0  # a job is purged this long after its status and results expire


class BatchLimits(NamedTuple):
    """The limits that a batch route sets for its jobs."""

    route: str
    window_s: float
    retention_s: float
    max_attempts: int
    max_queued_tokens: float  # 0: no limit
    max_head_bytes: int = MAX_ITEM_HEAD_BYTES  # of the request that runs an item


class SubmittedItem(Struct):
    id: str
    path: str
    tokens: float
    headers: dict[str, str] = {}
    body: str = ""  # base64


class Submission(Struct):
    requests: list[SubmittedItem]


class InvalidItem(ValueError):
    """An item of a submission cannot be run as its client describes it."""

    def __init__(self, item: str, reason: str) -> None:
        super().__init__(f"item {item[:MAX_SHOWN_CHARACTERS]!r}: {reason}")


def check_item(item: SubmittedItem, max_head_bytes: int) -> None:
    """Check that an item can be sent to an endpoint as one request.

    Raises:
        InvalidItem: it cannot.
    """
    try:
        body = base64.b64decode(item.body, validate=True)
    except ValueError as error:
        raise InvalidItem(item.id, f"body: {error}") from None
    if not 0 <= item.tokens <= MAX_ITEM_TOKENS:
        raise InvalidItem(item.id, f"tokens: must be from 0 to {MAX_ITEM_TOKENS:g}")
    try:
        head = item_head(item.id, item.path, item.headers, CHECK_HOST, body)
    except UnsendableRequest as error:
        raise InvalidItem(item.id, str(error)) from None
    if len(head) > max_head_bytes:
        raise InvalidItem(item.id, f"path and headers: more than {max_head_bytes} bytes")


class ItemRecord(Struct, array_like=True, frozen=True):
    id: str
    tokens: float


class JobRecord(Struct, array_like=True):
    """Stored record of a job, without its body and results."""

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
    FINISHED = "listed"  # its result has a position


class Item:
    """One item. Only the job table changes its state, node and position."""

    __slots__ = (
        "errors",
        "id",
        "job",
        "node",
        "order_number",
        "position",
        "progress",
        "state",
        "tokens",
        "unsendable",
    )

    def __init__(self, job: Job, record: ItemRecord) -> None:
        self.job = job
        self.id = record.id
        self.tokens = record.tokens
        self.state = ItemState.WAITING
        self.node = ""  # node that runs it; empty if none does
        self.order_number = 0  # number of its `RunItem` in the session; 0 if the sidecar announced it
        self.position = NO_POSITION
        self.errors = 0  # answers with status 500
        self.progress: Progress | None = None
        self.unsendable = False  # no request can be made of it; accepted before such items were refused

    @property
    def key(self) -> ItemKey:
        return ItemKey(self.job.record.id, self.id)

    @property
    def has_committed_result(self) -> bool:
        """Whether its result is committed."""
        return NO_POSITION < self.position < self.job.committed_positions


class Job:
    def __init__(self, record: JobRecord) -> None:
        self.record = record
        self.items = {each.id: Item(self, each) for each in record.items}
        self.assigned_positions = 0  # positions assigned to results
        self.committed_positions = 0  # positions whose results are committed
        self.starts = 0  # first events of its items reported to this primary
        # When one of its items last started or ended, on the clock of the primary.
        self.progressed_at = float("-inf")
        self.waiting_count = len(record.items)
        self.committed = False
        self.items_checked = False  # whether `unsendable` is known of its items

    @property
    def due_at(self) -> float:
        return self.record.accepted_at + self.record.window_s

    def waiting(self) -> Iterator[Item]:
        return (item for item in self.items.values() if item.state is ItemState.WAITING)

    def runnable(self) -> Iterator[Item]:
        """Waiting items that can be sent and have attempts left."""
        return (
            item for item in self.waiting() if not item.unsendable and item.errors < self.record.max_attempts
        )


class Reader(Protocol):
    """Read access to the store of bodies and results."""

    def get(self, key: str) -> bytes | None: ...

    def scan(self, prefix: str) -> Iterable[tuple[str, bytes]]: ...


class JobTable:
    def __init__(self, reader: Reader) -> None:
        self._reader = reader
        self.jobs: dict[str, Job] = {}
        self._queued_tokens: dict[str, float]  # tokens of unfinished items, by route
        # By job, of those that have items to run, then by item.
        self._submitted_items: dict[str, dict[str, SubmittedItem]]
        self._running: dict[str, dict[ItemKey, Item]]  # by node
        # Ids that earlier versions accepted although results did not fit under them, by stored name.
        self._long_ids: dict[str, str]
        self._reset()
        self._mean_result_bytes = INITIAL_RESULT_BYTES  # moving average

    def load(self) -> None:
        """Rebuild the table from the store; everything in it is committed.

        If a record cannot be read, this raises and the table is empty: a part of it must not be served.
        """
        self._reset()
        try:
            for _, value in self._reader.scan(JOB_PREFIX):
                self._load_job(msgspec.msgpack.decode(value, type=JobRecord))
        except Exception:
            self._reset()
            raise

    def _reset(self) -> None:
        self.jobs = {}
        self._queued_tokens = {}
        self._submitted_items = {}
        self._running = {}
        self._long_ids = {}

    def _load_job(self, record: JobRecord) -> None:
        job = Job(record)
        job.committed = True
        self.jobs[record.id] = job
        if stored_name(record.id) != record.id:
            self._long_ids[stored_name(record.id)] = record.id
        prefix = result_prefix(record.id)
        for key, value in self._reader.scan(prefix):
            if is_result_key(key, prefix):
                result = msgspec.msgpack.decode(value, type=ResultRecord)
                item = job.items[result.id]
                item.state, item.position = ItemState.FINISHED, job.assigned_positions
                job.assigned_positions += 1
                job.waiting_count -= 1
        job.committed_positions = job.assigned_positions
        errors = self._reader.get(errors_key(record.id))
        for name, count in msgspec.msgpack.decode(errors, type=dict[str, int]).items() if errors else ():
            job.items[name].errors = count
        self._add_queued_tokens(job)

    def id_of(self, requested: str) -> str:
        """The id in this table of the job that a sidecar asks for, by its id or its stored name."""
        if requested in self.jobs:
            return requested
        name = stored_name(requested)
        return self._long_ids.get(name, name)

    def _add_queued_tokens(self, job: Job) -> None:
        if job.record.ended:
            return
        tokens = sum(i.tokens for i in job.items.values() if i.state is not ItemState.FINISHED)
        self._queued_tokens[job.record.route] = self._queued_tokens.get(job.record.route, 0.0) + tokens

    def find(self, key: ItemKey) -> Item | None:
        job = self.jobs.get(key.job)
        return job.items.get(key.item) if job is not None else None

    def running_at(self, node: str) -> list[Item]:
        """The items that are recorded as running at a node."""
        return list(self._running.get(node, {}).values())

    def jobs_at(self, nodes: Iterable[str]) -> set[str]:
        """The ids of jobs that have items running at any of the nodes."""
        return {key.job for node in nodes for key in self._running.get(node, ())}

    def running_count(self, node: str) -> int:
        """The number of items that are recorded as running at a node."""
        return len(self._running.get(node, {}))

    def running_nodes(self) -> list[str]:
        return list(self._running)

    def _set_state(self, item: Item, state: ItemState, node: str = "", order_number: int = 0) -> None:
        """Change the state and node of an item; the only place that does."""
        if item.node:
            running = self._running[item.node]
            del running[item.key]
            if not running:
                del self._running[item.node]
        item.job.waiting_count += (state is ItemState.WAITING) - (item.state is ItemState.WAITING)
        item.state, item.node, item.order_number = state, node, order_number
        if node:
            self._running.setdefault(node, {})[item.key] = item

    def expected_bytes(self) -> float:
        """Estimated store space for the results of all unfinished items, by the average result size."""
        open_jobs = (job for job in self.jobs.values() if not job.record.ended)
        unfinished = sum(len(job.items) - job.assigned_positions for job in open_jobs)
        return unfinished * self._mean_result_bytes

    def queued_tokens(self, route: str) -> float:
        """Tokens of the items of a route that have no result yet."""
        return self._queued_tokens.get(route, 0.0)

    # --- jobs ---

    def submit(
        self, wall_time: float, job_id: str, limits: BatchLimits, body: bytes
    ) -> list[Write] | Refusal:
        """Add a job and return its writes; none if it is in the table already."""
        if job_id in self.jobs:
            return []
        try:
            submission = msgspec.json.decode(body, type=Submission)
            for each in submission.requests:
                check_item(each, limits.max_head_bytes)
        except (msgspec.DecodeError, RecursionError, InvalidItem) as error:
            return Refusal(ErrorKind.INVALID, str(error))
        items = submission.requests
        if not items or len(items) > MAX_ITEMS or len({i.id for i in items}) != len(items):
            return Refusal(ErrorKind.INVALID, f"1 to {MAX_ITEMS} requests, each with its own id")
        tokens = sum(item.tokens for item in items)
        if 0 < limits.max_queued_tokens < self.queued_tokens(limits.route) + tokens:
            return Refusal(ErrorKind.NO_ROOM, f"{limits.max_queued_tokens:g} tokens may wait")
        record = JobRecord(
            job_id, limits.route, wall_time, limits.window_s, limits.retention_s, limits.max_attempts,
            [ItemRecord(i.id, i.tokens) for i in items],
        )  # fmt: skip
        job = Job(record)
        job.items_checked = True
        self.jobs[job_id] = job
        self._submitted_items[job_id] = {item.id: item for item in items}
        self._add_queued_tokens(job)
        return [
            Write(JOB_PREFIX + job_id, msgspec.msgpack.encode(record)),
            # Without unknown fields, which may be nested too deeply to be read where the items are started.
            Write(BODY_PREFIX + job_id, msgspec.json.encode(submission)),
        ]

    def total_tokens(self, job_id: str) -> int:
        """Tokens of all items of a job."""
        return int(sum(item.tokens for item in self.jobs[job_id].items.values()))

    def mark_committed(self, job_id: str) -> None:
        """Note that the job is committed: its items may run."""
        self.jobs[job_id].committed = True

    def discard(self, job_id: str) -> None:
        """Remove a job that was not committed."""
        job = self.jobs.pop(job_id, None)
        self._submitted_items.pop(job_id, None)
        if job is not None:
            self._release_tokens(job, sum(i.tokens for i in job.items.values()))

    def is_committed(self, job_id: str) -> bool:
        job = self.jobs.get(job_id)
        return job is not None and job.committed

    def end(self, job_id: str) -> list[Write]:
        """End a job at the request of its client and return the writes; none if it has ended already."""
        job = self.jobs[job_id]
        if job.record.ended:
            return []
        unfinished = sum(i.tokens for i in job.items.values() if i.state is not ItemState.FINISHED)
        self._release_tokens(job, unfinished)
        job.record.ended = True
        self._submitted_items.pop(job_id, None)
        return [
            Write(JOB_PREFIX + job_id, msgspec.msgpack.encode(job.record)),
            Write(BODY_PREFIX + job_id, None),
            Write(errors_key(job_id), None),
        ]

    def error_writes(self, job_id: str) -> list[Write]:
        """Writes that store the failed attempts of a job, so that the next primary continues the count."""
        job = self.jobs.get(job_id)
        if job is None or job.record.ended or job.assigned_positions == len(job.items):
            return []
        counts = {item.id: item.errors for item in job.items.values() if item.errors}
        return [Write(errors_key(job_id), msgspec.msgpack.encode(counts))]

    def _release_tokens(self, job: Job, tokens: float) -> None:
        route = job.record.route
        self._queued_tokens[route] = max(0.0, self._queued_tokens.get(route, 0.0) - tokens)

    def purge_expired(self, wall_time: float, status_ttl_s: float) -> list[Write]:
        """Remove the oldest job that is finished and whose status and results have expired, if there is one.

        A job that is submitted again after that counts as new; its client has given up long before.
        """
        for job in self.jobs.values():
            record = job.record
            retention_s = max(status_ttl_s, record.retention_s) + PURGE_SLACK_S
            finished = record.ended or job.committed_positions == len(job.items)
            if finished and wall_time > record.accepted_at + retention_s:
                self.jobs.pop(record.id)
                self._submitted_items.pop(record.id, None)
                results = [result_key(record.id, position) for position in range(job.assigned_positions)]
                records = [JOB_PREFIX + record.id, BODY_PREFIX + record.id, errors_key(record.id)]
                return [Write(key, None) for key in records + results]
        return []

    # --- results ---

    def finish(self, key: ItemKey, succeeded: bool, text: str) -> list[Write]:
        """Assign a position to the result of an item and return the writes.

        Returns none if the item has a result already, or if its job is unknown or has ended. The last result
        also deletes the body of the job: no item will run, and the body may no longer be requested.
        """
        item = self.find(key)
        if item is None or item.state is ItemState.FINISHED or item.job.record.ended:
            return []
        job = item.job
        record = ResultRecord(item.id, "succeeded" if succeeded else "dead_letter", text)
        value = msgspec.msgpack.encode(record)
        pages = len(value) // STORE_PAGE_BYTES + 1
        self._mean_result_bytes += RESULT_MEAN_WEIGHT * (pages * STORE_PAGE_BYTES - self._mean_result_bytes)
        writes = [Write(result_key(key.job, job.assigned_positions), value)]
        self._set_state(item, ItemState.FINISHED)
        item.position = job.assigned_positions
        item.progress = None
        self._release_tokens(job, item.tokens)
        job.assigned_positions += 1
        if job.assigned_positions == len(job.items):
            self._submitted_items.pop(key.job, None)
            writes += [Write(BODY_PREFIX + key.job, None), Write(errors_key(key.job), None)]
        return writes

    def mark_result_committed(self, key: ItemKey) -> bool:
        """Note that the results up to that of the item are committed; returns whether that is new."""
        item = self.find(key)
        if item is None or item.position < item.job.committed_positions:
            return False
        item.job.committed_positions = item.position + 1
        return True

    def page(self, job_id: str, start: int) -> ResultPage | Refusal:
        """Committed results from position `start` on, up to `MAX_PAGE_BYTES`."""
        job = self.jobs.get(job_id)
        if job is None or not job.committed:
            return Refusal(ErrorKind.UNKNOWN, "no such job")
        results: list[ResultRecord] = []
        size = 0
        for position in range(max(0, start), job.committed_positions):
            value = self._reader.get(result_key(job_id, position))
            if value is None or (results and size + len(value) > MAX_PAGE_BYTES):
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
        found = self._submitted_items.get(job_id)
        if found is None:
            body = self._reader.get(BODY_PREFIX + job_id) if job_id in self.jobs else None
            if body is None:
                return {}
            submission = msgspec.json.decode(body, type=Submission)
            found = {item.id: item for item in submission.requests}
            job = self.jobs[job_id]
            if not job.record.ended and job.assigned_positions < len(job.items):
                self._submitted_items[job_id] = found
        return found

    # --- items to run ---

    def runnable(self, job: Job) -> Iterator[Item]:
        """The items of a job that may be assigned now."""
        if not job.items_checked:
            self._check_items(job)
        return job.runnable()

    def _check_items(self, job: Job) -> None:
        """Find the items of a stored job that cannot be sent: an older version may have accepted them."""
        job.items_checked = True
        for name, submitted in self._submitted(job.record.id).items():
            try:
                item_head(name, submitted.path, submitted.headers, CHECK_HOST, b"")
            except UnsendableRequest:
                job.items[name].unsendable = True

    def jobs_by_priority(self, wall_time: float, mean_run_s: float) -> list[Job]:
        """Open jobs in the order in which their items are to be run.

        First those that can still finish an item in time if it takes `mean_run_s`, by earliest deadline; then
        the others: if late jobs ran first, all jobs after them would become late too.
        """
        return sorted(self.open_jobs(), key=lambda job: (job.due_at - mean_run_s < wall_time, job.due_at))

    def open_jobs(self) -> list[Job]:
        """Committed jobs with unfinished items, by earliest deadline."""
        jobs = [
            job
            for job in self.jobs.values()
            if job.committed and not job.record.ended and job.assigned_positions < len(job.items)
        ]
        return sorted(jobs, key=lambda job: job.due_at)

    def start(
        self, wall_time: float, item: Item, node: str, order_number: int = 0, stalls: int = 0
    ) -> RunItem:
        """Mark the item as running at a node and return the order; `stalls`: returns without progress."""
        submitted = self._submitted(item.job.record.id)[item.id]
        self._set_state(item, ItemState.RUNNING, node, order_number)
        due_ms = int((item.job.due_at - wall_time) * 1000)
        body = base64.b64decode(submitted.body)
        return RunItem(
            item.key, item.job.record.route, submitted.path, submitted.headers, body, due_ms,
            item.progress, stalls, item.errors,
        )  # fmt: skip

    def confirm_running(self, node: str, key: ItemKey) -> bool:
        """A node reports that it holds the item; returns whether it is to continue."""
        item = self.find(key)
        if item is None or item.job.record.ended:
            return False
        if item.state is ItemState.FINISHED:
            return not item.has_committed_result  # the result may be from this node, with its commit pending
        if item.state is ItemState.RUNNING:
            return item.node == node
        self._set_state(item, ItemState.RUNNING, node)
        return True

    def requeue(self, item: Item) -> None:
        """Return the item to the waiting state."""
        self._set_state(item, ItemState.WAITING)

    def item_returned(self, node: str, key: ItemKey, errors: int, progress: Progress | None) -> Item | None:
        """The node no longer runs the item; returns the item if it waits again."""
        item = self.find(key)
        if item is None or item.state is not ItemState.RUNNING or item.node != node:
            return None
        self.requeue(item)
        # Last in its job: an item that makes no progress anywhere must not keep the others from being tried.
        item.job.items[item.id] = item.job.items.pop(item.id)
        item.errors += errors
        if progress is not None:
            item.progress = progress
        return item

    def undeliverable_items(self, wall_time: float, known_routes: set[str] | None) -> list[Item]:
        """Waiting items that end as dead letters: out of attempts, expired, without a route, not sendable.

        `known_routes`: the routes in force; None if they are not known, and routes are not checked.
        """
        found = []
        for job in self.open_jobs():
            expired = wall_time > job.record.accepted_at + job.record.retention_s + RETENTION_SLACK_S
            route_removed = known_routes is not None and job.record.route not in known_routes
            for item in job.waiting():
                out_of_attempts = item.errors >= job.record.max_attempts
                if expired or route_removed or out_of_attempts or item.unsendable:
                    found.append(item)
        return found
