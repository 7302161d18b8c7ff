"""Client requests for batch jobs at the storage primary: submit a job, read its results, end it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from eiderhub.batch.jobs import BatchLimits, JobTable
from eiderhub.batch.messages import Answer, EndJob, ReadBody, ReadResults, Submit
from eiderhub.control.errors import HTTP_STATUS, ErrorKind, Refusal
from eiderhub.coordination.store import WriteRejected
from eiderhub.transport.group import CommitOutcomeUnknown, GroupDriver, NotPrimary
from eiderhub.transport.spending import ChargeResult, SpendingClient

BatchCall = Submit | ReadResults | ReadBody | EndJob


class BatchCalls:
    """Handles batch requests at one storage node.

    `limits_for` returns the limits of a batch route by its name. `has_space` returns whether the store has
    room for a body of the given size in bytes and for the expected results of all jobs in the table.
    `on_job_accepted` is called once a job is committed, `on_job_ended` once the end of a job is committed.
    """

    def __init__(
        self,
        jobs: JobTable,
        group: GroupDriver,
        spending: SpendingClient,
        limits_for: Callable[[str], BatchLimits | None],
        has_space: Callable[[int], bool],
        on_job_accepted: Callable[[], None],
        on_job_ended: Callable[[str], None],
    ) -> None:
        self._jobs = jobs
        self._group = group
        self._spending = spending
        self._limits_for = limits_for
        self._has_space = has_space
        self._on_job_accepted = on_job_accepted
        self._on_job_ended = on_job_ended
        self._epoch = 0
        self._waiting_readers: dict[str, list[asyncio.Future[None]]] = {}  # waiting for new results, by job
        self._submissions: dict[str, asyncio.Task[Answer]] = {}

    def begin_epoch(self, epoch: int) -> None:
        """Drop submissions of an earlier epoch, since the job table has been reloaded."""
        self._epoch = epoch
        self._submissions.clear()

    def notify_readers(self, job: str) -> None:
        """Wake the readers that wait for new results of the job."""
        for future in self._waiting_readers.pop(job, []):
            if not future.done():
                future.set_result(None)

    async def handle(self, message: BatchCall) -> Answer:
        """Handle a request. Reads are answered only while this node is certainly primary.

        That includes the answer that a job does not exist.
        """
        message = msgspec.structs.replace(message, job=self._jobs.id_of(message.job))
        try:
            if isinstance(message, Submit):
                return await self._submit(message)
            if isinstance(message, EndJob):
                return await self._end_job(message)
            if isinstance(message, ReadResults):
                answer = await self._read_results(message)
            else:
                answer = self._read_body(message)
            if not self._group.leads():
                raise NotPrimary
        except NotPrimary:
            return Answer(message.call, HTTP_STATUS[ErrorKind.NOT_READY])
        except CommitOutcomeUnknown:
            return Answer(message.call, HTTP_STATUS[ErrorKind.UNCERTAIN])
        return answer

    @staticmethod
    def _refusal_answer(call: int, refusal: Refusal) -> Answer:
        return Answer(call, refusal.status, refusal.encode())

    # --- submission ---

    async def _submit(self, message: Submit) -> Answer:
        task = self._submissions.get(message.job)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._submit_once(message))
            self._submissions[message.job] = task
            task.add_done_callback(lambda task: self._submission_done(message.job, task))
        answer = await asyncio.shield(task)
        return Answer(message.call, answer.status, answer.body)

    def _submission_done(self, job: str, task: asyncio.Task[Answer]) -> None:
        if self._submissions.get(job) is task:  # not a submission of a later epoch
            del self._submissions[job]

    async def _submit_once(self, message: Submit) -> Answer:
        limits, epoch = self._limits_for(message.route), self._epoch
        if limits is None:
            return Answer(message.call, HTTP_STATUS[ErrorKind.NOT_READY])
        submitted = self._jobs.submit(time.time(), message.job, limits, message.body)
        if isinstance(submitted, Refusal):
            return self._refusal_answer(message.call, submitted)
        if not submitted:
            return await self._answer_duplicate(message)
        if not self._has_space(len(message.body)):
            self._jobs.discard(message.job)
            return self._refusal_answer(message.call, Refusal(ErrorKind.NO_ROOM, "the store is nearly full"))
        tokens = self._jobs.total_tokens(message.job)
        refusal = await self._charge_tenant(message.route, tokens)
        if self._epoch != epoch:
            if refusal is None:
                self._refund(message.route, tokens)
            raise NotPrimary  # the table was reloaded: the job is missing or belongs to another request
        if refusal is not None:
            self._jobs.discard(message.job)
            return self._refusal_answer(message.call, refusal)
        try:
            await self._group.write(submitted)
        except (NotPrimary, WriteRejected) as error:
            self._refund(message.route, tokens)
            if self._epoch == epoch:
                self._jobs.discard(message.job)
            if isinstance(error, NotPrimary):
                raise
            return self._refusal_answer(message.call, Refusal(ErrorKind.TOO_LARGE, str(error)))
        self._jobs.mark_committed(message.job)
        self._on_job_accepted()
        return Answer(message.call, 202)

    async def _answer_duplicate(self, message: Submit) -> Answer:
        if not self._jobs.is_committed(message.job):
            raise NotPrimary
        await self._group.wait_all_committed()
        return Answer(message.call, 202)

    def _refund(self, route: str, tokens: int) -> None:
        """Refund a job that was charged but not written; it is charged again if it is sent again."""
        tenant = self._spending.tenant_of(route)
        if tenant is not None:
            self._spending.refund(tenant, tokens)

    async def _charge_tenant(self, route: str, tokens: int) -> Refusal | None:
        """Charge a new job to its tenant. A charged job runs even if the cap is exhausted later."""
        tenant = self._spending.tenant_of(route)
        if tenant is None:
            return None
        charge = await self._spending.charge(tenant, tokens)
        if charge is ChargeResult.PAID:
            return None
        kind = ErrorKind.NO_ROOM if charge is ChargeResult.EXHAUSTED else ErrorKind.NOT_READY
        return Refusal(kind, f"spending cap: {charge.value}")

    # --- reading and ending ---

    async def _read_results(self, message: ReadResults) -> Answer:
        deadline = self._group.now() + message.wait_ms / 1000
        while True:
            page = self._jobs.page(message.job, message.start)
            if isinstance(page, Refusal):
                return self._refusal_answer(message.call, page)
            remaining_s = deadline - self._group.now()
            if page.results or remaining_s <= 0:
                return Answer(message.call, 200, msgspec.json.encode(page))
            future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting_readers.setdefault(message.job, []).append(future)
            await asyncio.wait([future], timeout=remaining_s)

    def _read_body(self, message: ReadBody) -> Answer:
        body = self._jobs.body(message.job, message.item)
        if isinstance(body, Refusal):
            return self._refusal_answer(message.call, body)
        return Answer(message.call, 200, body)

    async def _end_job(self, message: EndJob) -> Answer:
        if not self._group.leads():
            raise NotPrimary
        if message.job not in self._jobs.jobs:
            return self._refusal_answer(message.call, Refusal(ErrorKind.UNKNOWN, "no such job"))
        await self._group.commit(lambda: self._jobs.end(message.job))
        self._on_job_ended(message.job)
        return Answer(message.call, 200)
