"""A storage node: replicates the batch state; as primary it takes jobs, has items run, lists results."""

from __future__ import annotations

import asyncio
import random
import time

import msgspec
import picologging as logging

from eiderhub import address
from eiderhub.batch.jobs import BatchTerms, ItemState, JobTable
from eiderhub.batch.messages import (
    Answer,
    CancelItem,
    EndJob,
    ItemFinished,
    ItemReturned,
    ItemStarted,
    ItemStored,
    ReadBody,
    ReadResults,
    Redirect,
    Submit,
    WorkerAccepted,
    WorkerOpen,
)
from eiderhub.batch.progress import ProgressWatch
from eiderhub.batch.scheduler import Scheduler
from eiderhub.control.distribution import Tables
from eiderhub.control.errors import STATUS, ErrorKind, Refusal
from eiderhub.control.messages import LeaseRequest, NodeRecord, SessionPing, StorageReport
from eiderhub.coordination.roster import address_of
from eiderhub.coordination.store import NOWHERE
from eiderhub.coordination.timing import GroupSize, copies_needed
from eiderhub.dataplane.routes import RouteTable
from eiderhub.programs.replica_host import ReplicaHost
from eiderhub.programs.settings import TierSettings
from eiderhub.storage.store import LmdbStore
from eiderhub.transport.control_session import ControlSession, control_candidates
from eiderhub.transport.framing import Connection, Message
from eiderhub.transport.group import CommitUnknown, NotPrimary
from eiderhub.transport.spending import Charge, Spending

CALLS = (Submit, ReadResults, ReadBody, EndJob)
DISPATCH_S = 0.02
RETURN_S = 0.8  # sidecars have so long to announce what they run, after a new primary or a lost session
HOPELESS_S = 0.5  # how often dead letters are looked for
PROGRESS_S = 1.0  # how often it is looked for items that do not move
STUCK_LOG_S = 5.0  # how often they are logged

log = logging.getLogger("storage")


class StorageService:
    def __init__(self, settings: TierSettings, store: LmdbStore, node: NodeRecord) -> None:
        self._settings = settings
        self._store = store
        self._node = node
        self._rng = random.Random(node.identity)
        self.tables = Tables()
        self._routes: RouteTable | None = None
        least = copies_needed(settings.fault_tolerance)
        self._host = ReplicaHost(store, node, self._rng, GroupSize(least, least), self._on_change)
        self.group = self._host.group
        self._jobs = JobTable(store)
        self._scheduler = Scheduler()
        self._progress = ProgressWatch()
        self._next_progress = 0.0
        self._next_stuck_log = 0.0
        self._workers: dict[Connection, str] = {}
        self._connections: dict[str, Connection] = {}  # by worker
        self._readers: dict[str, list[asyncio.Future[None]]] = {}  # who waits for results, by job
        self._submitting: dict[str, asyncio.Task[Answer]] = {}
        self._epoch = 0
        self._dispatch_from = 0.0
        self._next_hopeless = 0.0
        self._spending = Spending(self._ask_for_lease)
        self._session = ControlSession(
            node, self.tables, self._candidates, self._on_tables, self._describe, self._spending.answered
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._dispatcher = asyncio.get_running_loop().create_task(self._dispatch_forever())

    def _now(self) -> float:
        return self.group.now()

    def _candidates(self) -> list[str]:
        port = self._settings.first_port
        seeds = [f"{address.parse(s).host}:{port}" for s in self._settings.seeds]
        return control_candidates(self.tables, seeds, self._settings.zone, self._rng.shuffle)

    def _ask_for_lease(self, request: LeaseRequest) -> bool:
        return self._session.send(request)

    def _describe(self, ping: SessionPing) -> SessionPing:
        if not self.group.settled():
            return ping
        replica = self.group.replica
        members = sorted(replica.members)
        synced = all(replica.synced(member) for member in members)
        return msgspec.structs.replace(ping, group=StorageReport(members, sorted(replica.barred), synced))

    def _on_tables(self) -> None:
        configuration, nodes = self.tables.configuration, self.tables.nodes
        if configuration.generation and (
            self._routes is None or self._routes.generation != configuration.generation
        ):
            self._routes = RouteTable(configuration.generation, configuration.document)
        self._follow_endpoints()
        if self._routes is not None:
            self._spending.follow(self._routes.tenants, self.tables.spending.exhausted)
        for node in nodes.nodes:
            if node.role == "storage" and node.identity:
                self.group.know(address_of(node.identity))
        founded = nodes.storage_group
        if self._node.identity in founded and self._store.position == NOWHERE:
            self.group.replica.bootstrap(founded)
        orders = nodes.retirements
        self.group.roster.retired = frozenset(i for order in orders for i in order.identities)
        self.group.roster.retired_names = frozenset(order.node for order in orders if not order.done)

    def _follow_endpoints(self) -> None:
        """Count the endpoints that run items: those of the services that batch routes lead to."""
        if self._routes is None:
            return
        batch = [route for route in self._routes.by_name.values() if route.kind == "batch"]
        services = {name for route in batch for name, _ in route.services}
        ready = [e for e in self.tables.endpoints.endpoints if e.ready and e.service in services]
        self._scheduler.follow(len(ready), sum(e.capacity for e in ready))

    # --- connections ---

    def on_message(self, connection: Connection, message: Message) -> None:
        if self._host.on_message(connection, message):
            return
        if not self.group.leads():
            connection.send(Redirect(self.group.replica.primary or ""))
        elif isinstance(message, WorkerOpen):
            self._join(connection, message)
        elif isinstance(message, ItemStarted):
            self._scheduler.started(message.key)
            self._dispatch()
        elif isinstance(message, ItemFinished):
            self._start(self._finish(connection, message))
        elif isinstance(message, ItemReturned):
            self._returned(connection, message)
        elif isinstance(message, CALLS):
            self._start(self._answer(connection, message))

    def on_closed(self, connection: Connection) -> None:
        self._host.on_closed(connection)
        worker = self._workers.pop(connection, None)
        if worker is not None and self._connections.get(worker) is connection:
            del self._connections[worker]
            self._scheduler.leave(worker)
            asyncio.get_running_loop().call_later(RETURN_S, self._worker_gone, worker)

    def _worker_gone(self, worker: str) -> None:
        """It has not come back: what it ran is run elsewhere."""
        if worker not in self._connections and self.group.leads():
            count = self._jobs.lost_node(worker)
            if count:
                log.info("%s is gone, %d items wait again", worker, count)

    def _start(self, coroutine) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _join(self, connection: Connection, message: WorkerOpen) -> None:
        self._workers[connection] = message.node
        self._connections[message.node] = connection
        connection.send(WorkerAccepted(self.group.replica.epoch))
        kept = 0
        announced = set(message.running)
        for key in message.running:
            if self._jobs.announced(message.node, key):
                kept += 1
            else:
                connection.send(CancelItem(key))
        for job in self._jobs.open_jobs():
            for item in job.items.values():
                if (
                    item.state is ItemState.RUNNING
                    and item.node == message.node
                    and item.key not in announced
                ):
                    item.state, item.node = ItemState.WAITING, ""
        self._scheduler.join(message.node, message.zone, kept)

    # --- leading ---

    def _on_change(self) -> None:
        replica = self.group.replica
        if replica.epoch != self._epoch and self.group.leads():
            self._epoch = replica.epoch
            self._jobs.load()
            self._submitting.clear()
            self._dispatch_from = self._now() + RETURN_S
            log.info("leads epoch %d with %d jobs", replica.epoch, len(self._jobs.jobs))
        if not self.group.leads() and self._connections and replica.primary != self._node.identity:
            for connection in list(self._connections.values()):
                connection.send(Redirect(replica.primary or ""))
                connection.close()

    # --- calls ---

    async def _answer(
        self, connection: Connection, message: Submit | ReadResults | ReadBody | EndJob
    ) -> None:
        try:
            if isinstance(message, Submit):
                answer = await self._submit(message)
            elif isinstance(message, ReadResults):
                answer = await self._read(message)
            elif isinstance(message, EndJob):
                answer = await self._end(message)
            else:
                body = self._jobs.body(message.job, message.item)
                answer = (
                    self._refused(message.call, body)
                    if isinstance(body, Refusal)
                    else Answer(message.call, 200, body)
                )
        except NotPrimary:
            answer = Answer(message.call, STATUS[ErrorKind.NOT_READY])
        except CommitUnknown:
            answer = Answer(message.call, STATUS[ErrorKind.UNCERTAIN])
        connection.send(answer)

    @staticmethod
    def _refused(call: int, refusal: Refusal) -> Answer:
        return Answer(call, refusal.status, refusal.why.encode())

    def _terms(self, name: str) -> BatchTerms | None:
        route = self._routes.by_name.get(name) if self._routes else None
        if route is None:
            return None
        return BatchTerms(
            name, route.window_ms / 1000, route.retention_s, route.max_attempts, route.max_queued_tokens
        )

    async def _submit(self, message: Submit) -> Answer:
        task = self._submitting.get(message.job)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._submit_once(message))
            self._submitting[message.job] = task
            task.add_done_callback(lambda _: self._submitting.pop(message.job, None))
        answer = await asyncio.shield(task)
        return Answer(message.call, answer.status, answer.body)

    async def _submit_once(self, message: Submit) -> Answer:
        terms = self._terms(message.route)
        if terms is None:
            return Answer(message.call, STATUS[ErrorKind.NOT_READY])
        made = self._jobs.submit(time.time(), message.job, terms, message.body)
        if isinstance(made, Refusal):
            return self._refused(message.call, made)
        if made:
            refused = await self._pay(message)
            if refused is not None:
                self._jobs.forget(message.job)
                return self._refused(message.call, refused)
            if message.job not in self._jobs.jobs:
                raise NotPrimary  # another epoch has begun while the job was being paid for
            try:
                await self.group.write(made)
            except NotPrimary:
                self._jobs.forget(message.job)
                raise
            self._jobs.accepted(message.job)
            self._dispatch()
        return Answer(message.call, 202)

    async def _pay(self, message: Submit) -> Refusal | None:
        """Charge a new job to its tenant; what is paid for runs, whatever becomes of the cap."""
        tenant = self._spending.tenant_of(message.route)
        if tenant is None:
            return None
        charge = await self._spending.charge(tenant, self._jobs.tokens(message.job))
        if charge is Charge.PAID:
            return None
        kind = ErrorKind.NO_ROOM if charge is Charge.EXHAUSTED else ErrorKind.NOT_READY
        return Refusal(kind, f"spending cap: {charge.value}")

    async def _read(self, message: ReadResults) -> Answer:
        until = self._now() + message.wait_ms / 1000
        while True:
            page = self._jobs.page(message.job, message.start)
            if isinstance(page, Refusal):
                return self._refused(message.call, page)
            left = until - self._now()
            if page.results or left <= 0:
                break
            future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._readers.setdefault(message.job, []).append(future)
            await asyncio.wait([future], timeout=left)
        if not self.group.leads():
            raise NotPrimary
        return Answer(message.call, 200, msgspec.json.encode(page))

    async def _end(self, message: EndJob) -> Answer:
        if not self.group.leads():
            raise NotPrimary
        made = self._jobs.end(message.job)
        if isinstance(made, Refusal):
            return self._refused(message.call, made)
        await self.group.write(made)
        for item in self._jobs.jobs[message.job].items.values():
            if item.state is ItemState.RUNNING and item.node in self._connections:
                self._connections[item.node].send(CancelItem(item.key))
                self._scheduler.returned(self._now(), item.node, item.key, refused=False)
                item.state, item.node = ItemState.WAITING, ""
        return Answer(message.call, 200)

    # --- items ---

    async def _finish(self, connection: Connection, message: ItemFinished) -> None:
        worker = self._workers.get(connection)
        job = self._jobs.jobs.get(message.key.job)
        item = job.items.get(message.key.item) if job else None
        if worker is not None and item is not None and item.node == worker:
            self._scheduler.finished(self._now(), worker, message.key)
        if not self.group.leads():
            connection.send(Redirect(self.group.replica.primary or ""))  # the sidecar tells it again
            return
        writes = self._jobs.finish(message.key, message.succeeded, message.text)
        if writes and job is not None:
            positions = job.positions
            try:
                await self.group.write(writes)
            except (NotPrimary, CommitUnknown):
                return  # the sidecar tells the next primary
            self._listed(message.key.job, positions)
        connection.send(ItemStored(message.key))
        self._dispatch()

    def _listed(self, job: str, positions: int) -> None:
        self._jobs.listed(job, positions)
        for future in self._readers.pop(job, []):
            if not future.done():
                future.set_result(None)

    def _returned(self, connection: Connection, message: ItemReturned) -> None:
        worker = self._workers.get(connection)
        if worker is None:
            return
        item = self._jobs.returned(worker, message.key, message.errors, message.progress)
        if item is not None:
            self._scheduler.returned(self._now(), worker, message.key, message.refused)

    async def _dispatch_forever(self) -> None:
        while True:
            await asyncio.sleep(DISPATCH_S)
            self.group.roster.informed = self._session.fresh()
            if self.group.leads():
                self._dispatch()
                self._watch_progress()
                if self._now() >= self._next_hopeless and self._routes is not None and self._session.fresh():
                    self._next_hopeless = self._now() + HOPELESS_S
                    await self._bury()
                    await self._purge()

    def _dispatch(self) -> None:
        now, wall = self._now(), time.time()
        if now < self._dispatch_from or not self.group.leads():
            return
        for job in self._jobs.in_order(wall, self._scheduler.run_s):
            for item in list(job.waiting()):
                if item.errors >= job.record.max_attempts:
                    continue
                worker = self._scheduler.choose(now)
                if worker is None:
                    return
                self._scheduler.given(now, worker, item.key)
                self._connections[worker.node].send(self._jobs.start(wall, item, worker.node))

    def _watch_progress(self) -> None:
        """Look for items that do not move, and tell on-call staff."""
        now = self._now()
        if now < self._next_progress:
            return
        self._next_progress = now + PROGRESS_S
        self._progress.look(now, self._jobs)
        summary = self._progress.summary(now)
        if summary and now >= self._next_stuck_log:
            self._next_stuck_log = now + STUCK_LOG_S
            log.warning("%s", summary)

    def metrics(self) -> list[str]:
        """The figures of this node, one a line."""
        replica = self.group.replica
        lines = [
            f"leads {self.group.leads():d}",
            f"epoch {replica.epoch}",
            f"version {replica.position.version}",
            f"committed {replica.committed}",
        ]
        if not self.group.leads():
            return lines
        lines += [f"jobs {len(self._jobs.jobs)}", f"sessions {len(self._connections)}"]
        for worker in self._scheduler.workers.values():
            lines.append(f'window{{node="{worker.node}"}} {worker.window:.1f}')
            lines.append(f'window_used{{node="{worker.node}"}} {worker.running}')
        return lines + self._progress.lines(self._now())

    async def _bury(self) -> None:
        """List the dead letters."""
        assert self._routes is not None
        for item in self._jobs.hopeless(time.time(), set(self._routes.by_name)):
            if not self.group.leads():
                return
            writes = self._jobs.finish(item.key, False, "")
            positions = item.job.positions
            if writes:
                try:
                    await self.group.write(writes)
                except (NotPrimary, CommitUnknown):
                    return
                self._listed(item.job.record.id, positions)

    async def _purge(self) -> None:
        """Forget one job that is long over."""
        if not self.group.leads():
            return
        writes = self._jobs.purge(time.time(), self._settings.status_ttl_s)
        if writes:
            try:
                await self.group.write(writes)
            except (NotPrimary, CommitUnknown):
                return  # the next primary has it in its table still, and forgets it then

    async def stop(self) -> None:
        await self._host.stop()
