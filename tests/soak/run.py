"""One soak: the programs, the traffic, random faults that depend on a seed, and the checks at the end."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import random
import signal
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import quote

from tests import outside_input
from tests.soak.account import Account, BatchJob, Interruption, Request
from tests.soak.clients import Connection, Outcome, Reply, now
from tests.soak.endpoints import POISON_SUFFIX, Endpoint, ExecutionLog
from tests.tier_support import HOST, Program, Tier, document, route

STOP_TIMEOUT_S = 8.0
POLL_INTERVAL_S = 0.25
NESTED_JOB_SHARE, NESTING = 0.1, 20_000  # jobs that are nested too deeply, with odd input
ODD_SHARE = 0.3  # of continuations, with odd input
START_TIMEOUT_S = 60.0
FOUNDING_S = 6.0  # until the groups bear the tolerated losses
CATCH_UP_S = 8.0  # generous beside `bounds.catch_up_s`, since all programs share one machine


WIRE_1 = "wire-1"  # the programs under test, restricted to wire version 1


class SoakSettings(NamedTuple):
    """The size, load and fault rate of a soak."""

    edges: int = 4
    storage: int = 4
    seconds: float = 14.0
    clients: int = 10
    faults_per_s: float = 1.2
    changes_per_s: float = 5.0
    finish_s: float = 10.0  # for jobs to complete after the faults; the time that operators allow
    older: str = ""  # older programs for upgrades and downgrades: WIRE_1, or the folder of an older source
    upgrades_per_s: float = 1.5
    tolerated_losses: int = 1
    # Job ids of any form, headers that name other requests, and continuations with any answer.
    odd_input: bool = False
    loses_disks: bool = False  # as many machines as are tolerated lose their disks at once, again and again


def path_part(job_id: str) -> str:
    """A job's id, percent-encoded for a path."""
    return quote(job_id, safe="/", encoding="latin-1")


class Soak:
    """A tier of real programs, its clients and the faults that are injected into it."""

    def __init__(self, seed: int, folder: Path, settings: SoakSettings) -> None:
        self.seed = seed
        self.settings = settings
        self.rng = random.Random(seed)
        self.executions = ExecutionLog()
        self.account = Account(self.executions)
        self.log: list[str] = []
        self._endpoints: list[Endpoint] = []
        self._serial = itertools.count(1)
        self.tier = Tier(folder, settings.storage, settings.edges, self._endpoints, settings.tolerated_losses)
        self._generation = 1
        self._programs_in_use: set[str] = set()  # programs with a fault or a restart in progress
        self._traffic_ended = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def play(self) -> list[str]:
        """Run the soak and return the violations that were found."""
        try:
            for _ in range(6):
                await self._add_endpoint()
            for program in self.tier.programs:
                self._set_version(program, older=bool(self.settings.older))
            self.tier.start()
            await self._configure_first()
            await self._wait_ready()
            self._started_at = now()
            workloads = [
                *[self._send_live_requests] * self.settings.clients,
                *[self._send_batch_jobs] * 3,
                self._change_configuration,
                self._lose_disks if self.settings.loses_disks else self._inject_faults,
            ]
            for workload in workloads + ([self._upgrade] if self.settings.older else []):
                self._tasks.append(asyncio.create_task(workload()))
            await asyncio.sleep(self.settings.seconds)
            self._traffic_ended.set()
            await asyncio.gather(*self._tasks)
            await self._finish_and_check()
        finally:
            for task in self._tasks:
                task.cancel()
            for program in self.tier.programs:
                if program.process is not None:
                    program.process.send_signal(signal.SIGCONT)
            await asyncio.to_thread(self.tier.close)
            for endpoint in self._endpoints:
                endpoint.crash()
        return self.account.violations

    def _log_event(self, event: str) -> None:
        self.log.append(f"{now() - self._started_at:8.3f} {event}")

    # --- calls ---

    def _pick_edge(self) -> Program:
        return self.rng.choice(self.tier.with_role("edge"))

    def _connection(self, program: Program, port: str = "frontend") -> Connection:
        return Connection(program.ip, self.tier.ports[port])

    async def _call_control(self, method: str, path: str, body: bytes = b"", **headers: str) -> Reply:
        """Call the control API as an operator does: one control node after the other, following redirects."""
        reply = Reply(Outcome.REFUSED)
        for program in self.rng.sample(self.tier.with_role("control"), 3):
            reply = await self._connection(program, "control").call(method, path, body, **headers)
            if reply.status == 307:
                host = reply.headers["location"].split("//")[1].split(":")[0]
                target = next(p for p in self.tier.programs if p.ip == host)
                reply = await self._connection(target, "control").call(method, path, body, **headers)
            if 0 < reply.status < 500 and reply.status not in (307, 408, 429):
                return reply
        return reply

    async def _poll_until(self, call: Callable[[], Coroutine[Any, Any, bool]], timeout_s: float) -> bool:
        end = now() + timeout_s
        while now() < end:
            if await call():
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    # --- the start ---

    async def _add_endpoint(self) -> None:
        odd_share = ODD_SHARE if self.settings.odd_input else 0.0
        endpoint = Endpoint(
            f"i-{next(self._serial)}", self.executions, random.Random(self.rng.random()), odd_share
        )
        await endpoint.start()
        self._endpoints.append(endpoint)

    def _make_document(self, generation: int) -> dict[str, Any]:
        rng = self.rng
        timeout = rng.choice([3_000, 4_000, 5_000])
        routes = [
            route("once", "non_idempotent", timeout_ms=timeout, resumable=self.settings.odd_input),
            route("whole", "idempotent", timeout_ms=timeout + rng.randrange(400), resumable=False),
        ]
        content = document(generation, *routes)
        live, batch = content["routes"][:2]
        live["timeout_ms"] = 6_000 + rng.randrange(1_000)
        batch["timeout_ms"] = 6_000 + rng.randrange(1_000)
        batch["max_queued_tokens"] = rng.choice([0, 100_000, 200_000])
        return content

    async def _configure_first(self) -> None:
        content = self.account.changes[1] = self._make_document(1)

        async def put() -> bool:
            body = json.dumps(content).encode()
            return (await self._call_control("PUT", "/config", body, If_Match="0")).status == 200

        assert await self._poll_until(put, START_TIMEOUT_S), "the first configuration was not accepted"
        self.account.acknowledged_generation = 1

    async def _wait_ready(self) -> None:
        async def ready() -> bool:
            calls = [
                self._connection(p, "readiness").call("GET", "/readyz", Host="h")
                for p in self.tier.with_role("edge")
            ]
            return all([(await each).status == 200 for each in calls])

        assert await self._poll_until(ready, START_TIMEOUT_S), "not all sidecars are ready"

    # --- traffic ---

    async def _send_live_requests(self) -> None:
        """Run a client that uses its connections until the sidecars end them."""
        connections: dict[str, Connection] = {}
        while not self._traffic_ended.is_set():
            edge = self._pick_edge()
            connection = connections.setdefault(edge.name, self._connection(edge))
            kind = self.rng.choice(["live", "once", "whole"])
            request_id = f"{kind if kind == 'live' else 'whole'}-{kind}-{next(self._serial)}"
            sent_at = now()
            reply = await connection.call(
                "POST", f"/{kind}/x", b"prompt", Host=HOST, Request_Id=request_id, Token_Usage="10,10",
            )  # fmt: skip
            self.account.requests.append(Request(request_id, kind, edge.name, sent_at, now(), reply))
            await asyncio.sleep(
                self.rng.expovariate(1 / 0.03) if reply.outcome is not Outcome.REFUSED else 0.1
            )

    async def _send_batch_jobs(self) -> None:
        """Run a client that submits batch jobs, reads their results, and ends some of them."""
        while not self._traffic_ended.is_set():
            number = next(self._serial)
            names = [f"i{number}-{n}" for n in range(self.rng.randint(1, 40))]
            items = [name + POISON_SUFFIX if self.rng.random() < 0.02 else name for name in names]
            job_id = self._job_id(number)
            job = self.account.jobs[job_id] = BatchJob(job_id, items)
            if self.settings.odd_input and self.rng.random() < NESTED_JOB_SHARE:
                await self._submit_nested_job(number)
            if await self._submit_job(job):
                for _ in range(self.rng.randint(0, 4)):
                    await self._read_results(job, self.rng.choice([0, len(job.results)]))
                    await asyncio.sleep(POLL_INTERVAL_S)
                if self.rng.random() < 0.1:
                    job.cancelled = True
                    path = f"/lots/{path_part(job.id)}"
                    await self._connection(self._pick_edge()).call("DELETE", path, Host=HOST)
            await asyncio.sleep(self.rng.expovariate(1 / 0.2))

    async def _submit_nested_job(self, number: int) -> None:
        """Submit what no process can read; the jobs of others go on."""
        body = b'{"requests":[],"note":' + b"[" * NESTING + b"]" * NESTING + b"}"
        connection = self._connection(self._pick_edge())
        reply = await connection.call("POST", "/lots/x", body, Host=HOST, Request_Id=f"nested{number}")
        connection.close()
        if reply.status == 202:
            self.account.add_violation(f"JOB: nested{number} cannot be read and was accepted")

    def _job_id(self, number: int) -> str:
        """An id of its own for a job."""
        if not self.settings.odd_input:
            return f"lot{number}"
        return f"{outside_input.request_id(self.rng).decode('latin-1')}/{number}"

    def _item_headers(self) -> dict[str, str]:
        if not self.settings.odd_input:
            return {"Token-Usage": "10,10"}
        name = self.rng.choice(outside_input.CASES)(self.rng.choice(outside_input.CONTROLLING_NAMES))
        return {"Token-Usage": "10,10", name: self.rng.choice(outside_input.PLAIN_VALUES)}

    async def _submit_job(self, job: BatchJob) -> bool:
        requests = [
            {"id": i, "path": f"/lots/{i}", "headers": self._item_headers(), "tokens": 20,
             "body": base64.b64encode(i.encode()).decode()}
            for i in job.items
        ]  # fmt: skip
        body = json.dumps({"requests": requests}).encode()
        for _ in range(12):
            connection = self._connection(self._pick_edge())
            reply = await connection.call("POST", "/lots/x", body, Host=HOST, Request_Id=job.id)
            connection.close()
            if reply.status == 202:
                job.accepted = True
                return True
            job.always_refused &= reply.status in (429, 503) or reply.outcome is Outcome.REFUSED
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    async def _read_results(self, job: BatchJob, start: int) -> int:
        """Read a page of results and return their number, or -1 if the read failed."""
        connection = self._connection(self._pick_edge())
        path = f"/lots/{path_part(job.id)}?start_after={start}"
        reply = await connection.call("GET", path, Host=HOST, Wait_Ms="200")
        connection.close()
        if reply.status != 200:
            return -1
        page = json.loads(reply.body)
        self.account.record_page(job, start, page["results"])
        return len(page["results"])

    # --- changes ---

    async def _change_configuration(self) -> None:
        """Run an operator that changes the configuration and repeats changes without a definite answer."""
        while not self._traffic_ended.is_set():
            base_generation = self._generation
            self._generation += self.rng.randint(1, 3)
            content = self.account.changes[self._generation] = self._make_document(self._generation)
            body = json.dumps(content).encode()
            while True:
                reply = await self._call_control("PUT", "/config", body, If_Match=str(base_generation))
                if reply.status == 200:
                    self.account.acknowledged_generation = self._generation
                    break
                if 400 <= reply.status < 500 and reply.status not in (408, 429):
                    self.account.add_violation(
                        f"CONFIG: change {self._generation} on {base_generation} got {reply.status}"
                    )
                    break
                if self._traffic_ended.is_set():
                    return
                await asyncio.sleep(POLL_INTERVAL_S)
            await asyncio.sleep(self.rng.expovariate(self.settings.changes_per_s))

    # --- faults ---

    async def _inject_faults(self) -> None:
        """Inject faults, up to three of one kind at once; each runs in a task of its own and may overlap."""
        kinds = [
            self._kill, self._kill, self._terminate, self._terminate, self._freeze, self._freeze,
            self._reload, self._crash_endpoint, self._start_endpoint,
        ]  # fmt: skip
        tasks: list[asyncio.Task[None]] = []
        while not self._traffic_ended.is_set():
            await asyncio.sleep(self.rng.expovariate(self.settings.faults_per_s))
            kind = self.rng.choice(kinds)
            series = self.rng.choice([1, 1, 1, 3])
            tasks += [asyncio.create_task(kind()) for _ in range(series)]
        await asyncio.gather(*tasks)

    async def _lose_disks(self) -> None:
        """Control and storage nodes lose their disks, and all others may be killed with them.

        The next lose theirs once the ones before count as available again.
        """
        await asyncio.sleep(FOUNDING_S)
        while not self._traffic_ended.is_set():
            keepers = self.tier.with_role("control") + self.tier.with_role("storage")
            lost = self.rng.sample(keepers, self.settings.tolerated_losses)
            all_are_killed = self.rng.random() < 0.3
            others = [program for program in keepers if program not in lost] if all_are_killed else []
            await asyncio.gather(
                *(self._lose_disk(program) for program in lost),
                *(self._kill_one(program) for program in others),
            )
            await asyncio.sleep(CATCH_UP_S)

    async def _kill_one(self, program: Program) -> None:
        await self._disturb(program, "is killed", lambda p: self._restart(p, signal.SIGKILL), excused=True)

    async def _lose_disk(self, program: Program) -> None:
        async def empty(program: Program) -> None:
            await asyncio.to_thread(program.lose_disk)
            await asyncio.sleep(self.rng.uniform(0.3, 3.0))
            program.start()

        await self._disturb(program, "loses its disk", empty, excused=True)

    def _pick_program(self) -> Program | None:
        """A random program of a random role that has no fault or restart in progress."""
        role = self.rng.choice(["edge", "storage", "control"])
        idle = [p for p in self.tier.with_role(role) if p.name not in self._programs_in_use]
        return self.rng.choice(idle) if idle else None

    async def _restart(self, program: Program, stop_signal: signal.Signals) -> None:
        assert program.process is not None
        program.process.send_signal(stop_signal)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                while program.process.poll() is None:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            self._log_event(f"{program.name} did not end")
            self.account.add_violation(f"Fault: {program.name} did not end within the stop timeout")
            program.process.kill()
            await asyncio.to_thread(program.process.wait)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        program.start()

    async def _disturb_any(
        self, event: str, action: Callable[[Program], Coroutine[Any, Any, None]], excused: bool
    ) -> None:
        program = self._pick_program()
        if program is not None:
            await self._disturb(program, event, action, excused)

    async def _disturb(
        self,
        program: Program,
        event: str,
        action: Callable[[Program], Coroutine[Any, Any, None]],
        excused: bool,
    ) -> None:
        self._programs_in_use.add(program.name)
        self._log_event(f"{program.name} {event}")
        started_at = now()
        try:
            await action(program)
        finally:
            if excused:
                self.account.interruptions.append(Interruption(program.name, started_at, now()))
            self._programs_in_use.discard(program.name)

    # --- upgrades ---

    def _set_version(self, program: Program, older: bool) -> None:
        """Set the version that runs after the next start of the program."""
        if older and self.settings.older == WIRE_1:
            program.module = f"tests.soak.older {program.role}"
        elif older:
            program.package_folder = Path(self.settings.older)
        else:
            program.module, program.package_folder = f"eiderhub.programs.{program.role}", None

    async def _upgrade(self) -> None:
        """Restart one process after the other with the other version: upgrades all, then downgrades all."""
        older = False
        while not self._traffic_ended.is_set():
            for program in self.rng.sample(self.tier.programs, len(self.tier.programs)):
                await asyncio.sleep(self.rng.expovariate(self.settings.upgrades_per_s))
                while program.name in self._programs_in_use and not self._traffic_ended.is_set():
                    await asyncio.sleep(POLL_INTERVAL_S)
                if self._traffic_ended.is_set():
                    return
                self._set_version(program, older)
                event = "is downgraded" if older else "is upgraded"
                await self._disturb(
                    program, event, lambda each: self._restart(each, signal.SIGTERM), excused=False
                )
            older = not older

    async def _kill(self) -> None:
        await self._disturb_any("is killed", lambda p: self._restart(p, signal.SIGKILL), excused=True)

    async def _terminate(self) -> None:
        await self._disturb_any("gets SIGTERM", lambda p: self._restart(p, signal.SIGTERM), excused=False)

    async def _freeze(self) -> None:
        duration_s = self.rng.uniform(0.1, 4.0)

        async def suspend(program: Program) -> None:
            assert program.process is not None
            program.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            program.process.send_signal(signal.SIGCONT)

        await self._disturb_any(f"is suspended for {duration_s:.1f} s", suspend, excused=True)

    async def _reload(self) -> None:
        async def send_hangup(program: Program) -> None:
            assert program.process is not None
            program.process.send_signal(signal.SIGHUP)

        await self._disturb_any("gets SIGHUP", send_hangup, excused=False)

    async def _crash_endpoint(self) -> None:
        if len(self._endpoints) > 4:
            endpoint = self._endpoints.pop(self.rng.randrange(len(self._endpoints)))
            self._log_event(f"{endpoint.identity} crashes")
            endpoint.crash()

    async def _start_endpoint(self) -> None:
        if len(self._endpoints) < 10:
            await self._add_endpoint()
            self._log_event(f"{self._endpoints[-1].identity} starts")

    # --- checks at the end ---

    async def _finish_and_check(self) -> None:
        """Wait for outstanding results and check all records."""

        async def read_all(job: BatchJob) -> None:
            async def read() -> bool:
                while await self._read_results(job, len(job.results)) > 0:
                    pass
                return len(job.results) >= len(job.items)

            if job.accepted and not job.cancelled:
                await self._poll_until(read, self.settings.finish_s)
            await self._read_results(job, 0)

        await asyncio.gather(*(read_all(job) for job in self.account.jobs.values()))

        configurations: list[dict[str, Any]] = []

        async def read_back() -> bool:
            reply = await self._call_control("GET", "/config")
            if reply.status == 200:
                configurations.append(json.loads(reply.body))
            return reply.status == 200

        await self._poll_until(read_back, self.settings.finish_s)
        self.account.check_requests()
        self.account.check_jobs()
        self.account.check_configuration(configurations[-1] if configurations else None)
