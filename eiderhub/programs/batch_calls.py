"""Clients' calls at the storage primary: a job is taken, read, or ended."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from eiderhub.batch.jobs import BatchTerms, JobTable
from eiderhub.batch.messages import Answer, EndJob, ReadBody, ReadResults, Submit
from eiderhub.control.errors import STATUS, ErrorKind, Refusal
from eiderhub.transport.group import CommitUnknown, GroupDriver, NotPrimary
from eiderhub.transport.spending import Charge, Spending

BatchCall = Submit | ReadResults | ReadBody | EndJob


class BatchCalls:
    """Of one storage node.

    `terms` gives those of a batch route by its name; `has_space` whether the store has room for so many bytes
    and for the results of all jobs in the table. `accepted` is called once a job is committed, `ended` once a
    job's end is.
    """

    def __init__(
        self,
        jobs: JobTable,
        group: GroupDriver,
        spending: Spending,
        terms: Callable[[str], BatchTerms | None],
        has_space: Callable[[int], bool],
        accepted: Callable[[], None],
        ended: Callable[[str], None],
    ) -> None:
        self._jobs = jobs
        self._group = group
        self._spending = spending
        self._terms = terms
        self._has_space = has_space
        self._accepted = accepted
        self._ended = ended
        self._epoch = 0
        self._readers: dict[str, list[asyncio.Future[None]]] = {}  # who waits for results, by job
        self._submitting: dict[str, asyncio.Task[Answer]] = {}

    def begin(self, epoch: int) -> None:
        """The table has been loaded anew: what is under way belongs to an earlier epoch."""
        self._epoch = epoch
        self._submitting.clear()

    def tell_readers(self, job: str) -> None:
        """The job has results that its readers have not seen."""
        for future in self._readers.pop(job, []):
            if not future.done():
                future.set_result(None)

    async def answer(self, message: BatchCall) -> Answer:
        """Carry a call out. What is told, absence too, is told only while this node leads for certain."""
        try:
            if isinstance(message, Submit):
                return await self._submit(message)
            if isinstance(message, EndJob):
                return await self._end(message)
            if isinstance(message, ReadResults):
                answer = await self._read(message)
            else:
                answer = self._body(message)
            if not self._group.leads():
                raise NotPrimary
        except NotPrimary:
            return Answer(message.call, STATUS[ErrorKind.NOT_READY])
        except CommitUnknown:
            return Answer(message.call, STATUS[ErrorKind.UNCERTAIN])
        return answer

    @staticmethod
    def _refused(call: int, refusal: Refusal) -> Answer:
        return Answer(call, refusal.status, refusal.why.encode())

    # --- taking ---

    async def _submit(self, message: Submit) -> Answer:
        task = self._submitting.get(message.job)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._submit_once(message))
            self._submitting[message.job] = task
            task.add_done_callback(lambda task: self._submitted(message.job, task))
        answer = await asyncio.shield(task)
        return Answer(message.call, answer.status, answer.body)

    def _submitted(self, job: str, task: asyncio.Task[Answer]) -> None:
        if self._submitting.get(job) is task:  # not that of a later epoch
            del self._submitting[job]

    async def _submit_once(self, message: Submit) -> Answer:
        terms, epoch = self._terms(message.route), self._epoch
        if terms is None:
            return Answer(message.call, STATUS[ErrorKind.NOT_READY])
        made = self._jobs.submit(time.time(), message.job, terms, message.body)
        if isinstance(made, Refusal):
            return self._refused(message.call, made)
        if not made:
            return await self._taken_before(message)
        if not self._has_space(len(message.body)):
            self._jobs.forget(message.job)
            return self._refused(message.call, Refusal(ErrorKind.NO_ROOM, "the store is nearly full"))
        tokens = self._jobs.tokens(message.job)
        refused = await self._pay(message.route, tokens)
        if self._epoch != epoch:
            if refused is None:
                self._refund(message.route, tokens)
            raise NotPrimary  # the table has been loaded anew: the job is not there, or another call's
        if refused is not None:
            self._jobs.forget(message.job)
            return self._refused(message.call, refused)
        try:
            await self._group.write(made)
        except NotPrimary:
            self._refund(message.route, tokens)
            if self._epoch == epoch:
                self._jobs.forget(message.job)
            raise
        self._jobs.accepted(message.job)
        self._accepted()
        return Answer(message.call, 202)

    async def _taken_before(self, message: Submit) -> Answer:
        if not self._jobs.is_committed(message.job):
            raise NotPrimary
        await self._group.settle()
        return Answer(message.call, 202)

    def _refund(self, route: str, tokens: int) -> None:
        """A job that was paid for was not written, and will be paid for again if it is sent again."""
        tenant = self._spending.tenant_of(route)
        if tenant is not None:
            self._spending.refund(tenant, tokens)

    async def _pay(self, route: str, tokens: int) -> Refusal | None:
        """Charge a new job to its tenant; what is paid for runs, whatever becomes of the cap."""
        tenant = self._spending.tenant_of(route)
        if tenant is None:
            return None
        charge = await self._spending.charge(tenant, tokens)
        if charge is Charge.PAID:
            return None
        kind = ErrorKind.NO_ROOM if charge is Charge.EXHAUSTED else ErrorKind.NOT_READY
        return Refusal(kind, f"spending cap: {charge.value}")

    # --- reading and ending ---

    async def _read(self, message: ReadResults) -> Answer:
        until = self._group.now() + message.wait_ms / 1000
        while True:
            page = self._jobs.page(message.job, message.start)
            if isinstance(page, Refusal):
                return self._refused(message.call, page)
            left = until - self._group.now()
            if page.results or left <= 0:
                return Answer(message.call, 200, msgspec.json.encode(page))
            future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._readers.setdefault(message.job, []).append(future)
            await asyncio.wait([future], timeout=left)

    def _body(self, message: ReadBody) -> Answer:
        body = self._jobs.body(message.job, message.item)
        if isinstance(body, Refusal):
            return self._refused(message.call, body)
        return Answer(message.call, 200, body)

    async def _end(self, message: EndJob) -> Answer:
        if not self._group.leads():
            raise NotPrimary
        if message.job not in self._jobs.jobs:
            return self._refused(message.call, Refusal(ErrorKind.UNKNOWN, "no such job"))
        await self._group.commit(lambda: self._jobs.end(message.job))
        self._ended(message.job)
        return Answer(message.call, 200)
