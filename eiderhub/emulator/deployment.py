"""A whole deployment on loopback: real sidecars, and the world around them, through one day."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import shutil
import socket
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from eiderhub.emulator.callers import Outside, Target, Try
from eiderhub.emulator.clock import IN_DOUBT_MS, Clock
from eiderhub.emulator.lists import Lists, StandIn
from eiderhub.emulator.machines import Job, Jobs, Machine
from eiderhub.emulator.processes import DeploymentError as DeploymentError
from eiderhub.emulator.processes import (
    Process,
    Station,
    claim,
    default_command,
    listening,
    new_folder,
)
from eiderhub.emulator.services import Services
from eiderhub.emulator.settings import settings_of
from eiderhub.emulator.troubles import Troubles
from eiderhub.http1 import DESCRIPTOR_LIMIT_ERRNOS, ConnectionPool, Exchange, NoReplyError, fetch
from eiderhub.interface import Effect
from eiderhub.world.clients import End, arrivals
from eiderhub.world.day import Day, Plan, Post
from eiderhub.world.endpoint import Endpoint, State, dedup_groups
from eiderhub.world.front import Front
from eiderhub.world.judge import Judge, Verdict
from eiderhub.world.network import Network, spread
from eiderhub.world.registry import Registry
from eiderhub.world.scenario import TroubleKind

READY_S = 30.0  # for all sidecars to say yes at the start
UP_EVERY_S = 0.05  # how often a sidecar that starts is asked
UP_WAIT_S = 1.0  # for an answer to /up
MEMORY_EVERY_S = 0.25
MANAGED = 2  # ports for operators' calls to a sidecar: an upgrade needs the second one
FORGET_EVERY_S = 5.0
FORGET_US = 60_000_000  # after its time was over, nothing comes of a request any more
UP = b"GET /up HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n"


@dataclass(slots=True)
class Result:
    """All that was measured. `crash`: what ended the run before its time."""

    scenario: str
    seed: int
    seconds: float
    sidecars: int
    endpoints: int
    requests: int
    rate_per_s: float
    events: list[str]
    verdict: Verdict
    lateness_ms: dict[str, float]
    usage: dict[str, dict[str, float]]
    window_s: float
    front_cpu_us_per_request: float  # of each try that clients made
    notes: list[str] = field(default_factory=list)
    crash: str | None = None
    crash_log: list[str] = field(default_factory=list)
    services: dict[str, dict[str, float]] = field(default_factory=dict)  # what the list service used

    @property
    def in_doubt(self) -> bool:
        return self.lateness_ms["p99"] > IN_DOUBT_MS

    @property
    def held(self) -> bool:
        return self.crash is None and self.verdict.rules_kept

    def document(self) -> dict[str, Any]:
        return {
            "version": 1,
            "scenario": self.scenario,
            "seed": self.seed,
            "seconds": self.seconds,
            "sidecars": self.sidecars,
            "endpoints": self.endpoints,
            "requests": self.requests,
            "rate_per_s": round(self.rate_per_s, 2),
            "events": self.events,
            "rules_kept": self.verdict.rules_kept,
            "crash": self.crash,
            "crash_log": self.crash_log,
            "notes": self.notes,
            "lateness_ms": self.lateness_ms,
            "figures_in_doubt": self.in_doubt,
            "front_cpu_us_per_request": round(self.front_cpu_us_per_request, 1),
            "usage": self.usage,
            "services": self.services,
            "verdict": self.verdict.document(),
        }


def _few_descriptors() -> DeploymentError:
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    return DeploymentError(f"the emulator itself ran out of descriptors; `ulimit -n` allows it {most}", [])


def _use_all_descriptors() -> None:
    """Take what the system allows: each sidecar has an address of its own at each endpoint."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


async def is_up(host: str, port: int) -> bool | None:
    """What `/up` says; None where nobody answers."""
    pool = ConnectionPool(host, port, UP_WAIT_S)
    try:
        return (await fetch(pool, UP, UP_WAIT_S)).status == 200
    except NoReplyError:
        return None
    finally:
        pool.close()


class Deployment:
    """Use as an asynchronous context: leaving it ends every process and removes every file."""

    def __init__(
        self,
        day: Day,
        command: list[str] | None = None,
        keep: Path | None = None,
        strangers: bool = False,
        real_lists: bool = False,
    ) -> None:
        self.day = day
        self._command = command or default_command()
        self._strangers = strangers  # whether endpoints serve what other callers send to the front
        self._real_lists = real_lists  # the list service as processes, in place of the stand-in
        self._keep = keep  # where the sidecars' logs are kept afterwards
        self._chores: set[asyncio.Task[None]] = set()
        self._failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        _use_all_descriptors()
        self.stations: dict[str, Station] = {}
        self.targets: dict[str, Target] = {}
        self.machines: dict[str, Machine] = {}
        self._claims: list[socket.socket] = []  # ports of ours, open until the end
        self.folder = new_folder()
        self._closing = False
        self._starts = 0
        self._inner_calls = 0
        self._notes: list[str] = []
        try:
            self._build()
        except BaseException as error:
            self._close_claims()
            shutil.rmtree(self.folder, ignore_errors=True)
            if isinstance(error, OSError) and error.errno in DESCRIPTOR_LIMIT_ERRNOS:
                raise _few_descriptors() from None
            raise

    async def __aenter__(self) -> Deployment:
        # A defect in a callback must end the run, not only be logged: the figures would be wrong.
        asyncio.get_running_loop().set_exception_handler(self._defect)
        try:
            await self._watched(self._start())
        except OSError as error:
            await self.close()
            raise _few_descriptors() if error.errno in DESCRIPTOR_LIMIT_ERRNOS else error from None
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    # --- building ---

    def _build(self) -> None:
        day = self.day
        self.clock = Clock()
        self.judge = Judge(day)
        self._strange = day.rng("strangers")
        self.jobs = Jobs()
        self.network = Network(day)
        self.front = Front(day)
        self.lists: Lists
        if self._real_lists:
            self.lists = Services(
                day, self.folder, self.clock, self.judge, self._address_of, self._takes, self._fail
            )
        else:
            self.lists = StandIn(Registry(day), self.clock, self.judge, self._address_of)
        groups = dedup_groups(day)
        for number, plan in enumerate(day.plans):
            endpoint = Endpoint(plan, day.rng(f"endpoint {plan.id}"))
            self.machines[plan.id] = Machine(
                day,
                endpoint,
                day.tier_posts(plan.tier),
                f"127.{10 + plan.tier}.{number // 200}.{1 + number % 200}",
                self.clock,
                self.network,
                self.judge,
                self.jobs,
                groups,
                self._call_next,
                self._fell,
                self._adopt,
            )
        upgraded = {n for e in day.events if e.kind is TroubleKind.UPGRADE for n in e.sidecars}
        for number, post in enumerate(day.posts):
            host = f"127.9.{number // 200}.{1 + number % 200}"
            inherited = listening(host) if post.name in upgraded else None
            held = inherited or claim(host)
            port = held.getsockname()[1]
            claims = [claim(host) for _ in range(MANAGED)]
            self._claims += [held, *claims]
            self.stations[post.name] = Station(
                post=post,
                host=host,
                port=port,
                claims=claims,
                folder=self.folder / post.name,
                settings=settings_of(day, post),
                regions=dict(day.scenario.regions),
                memory_mb=day.scenario.allowed.memory_mb,
                descriptors=day.scenario.allowed.descriptors,
                command=self._command,
                inherited=inherited,
            )
            self.targets[post.name] = Target(post, host, port)
        self._sidecar_of = {post.owner: post.name for post in day.posts if post.owner is not None}
        self.outside = Outside(day, self.clock, self.judge, self.jobs, self.front, self.targets)

    async def _start(self) -> None:
        for machine in self.machines.values():
            await machine.open()
        await self.lists.open()
        for name, station in self.stations.items():
            station.folder.mkdir()
            await self.lists.reach(station)
            self.launch(name)
        self._chore(self._watch_memory())
        self._chore(self._forget())
        ready: set[str] = set()

        async def until_ready(name: str) -> None:
            await self.until_up(name)
            ready.add(name)

        try:
            async with asyncio.timeout(READY_S):
                await asyncio.gather(*(until_ready(name) for name in self.stations))
        except TimeoutError:
            late = [name for name in self.stations if name not in ready]
            why = f"{', '.join(late[:5])}: not ready after {READY_S:g} s"
            raise DeploymentError(why, self._tail(late[0])) from None
        self.clock.begin()
        self.lists.begun()
        for post in self.day.tier_posts(0):
            self.front.answered(0, post.name, True)
            self._chore(self._ask_up(post))

    def launch(self, name: str) -> Process:
        station = self.stations[name]
        self._starts += 1
        known, listing = self.lists.known(station.post)
        station.write_config(known, self.day.seed * 1_000_003 + self._starts)
        if not station.processes:
            self.judge.knows(self.clock.now_us(), name, listing)
        try:
            process = station.start(self._process_ended)
        except OSError as error:
            raise DeploymentError(f"sidecar {name} can't be started: {error}", []) from None
        self.targets[name].killed = False
        return process

    def _process_ended(self, process: Process, status: int) -> None:
        self.stations[process.name].processes.remove(process)
        if not process.wanted and not self._closing:
            how = f"ended by signal {-status}" if status < 0 else f"ended with status {status}"
            self._fail(DeploymentError(f"sidecar {process.name} {how}", process.tail()))

    def _defect(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if isinstance(error, OSError) and error.errno in DESCRIPTOR_LIMIT_ERRNOS:
            error = _few_descriptors()
        if error is not None:
            self._fail(error)
        else:
            loop.default_exception_handler(context)

    def _fail(self, error: BaseException) -> None:
        if not self._failed.done():
            self._failed.set_exception(error)

    def _tail(self, name: str) -> list[str]:
        processes = self.stations[name].processes
        return processes[-1].tail() if processes else []

    def _chore(self, work: Coroutine[Any, Any, None]) -> None:
        """Something that goes on beside the day; its failure ends the run."""
        task = asyncio.get_running_loop().create_task(work)
        self._chores.add(task)

        def ended(task: asyncio.Task[None]) -> None:
            self._chores.discard(task)
            error = None if task.cancelled() else task.exception()
            while isinstance(error, BaseExceptionGroup):  # of tasks that a chore had begun
                error = error.exceptions[0]
            if error is not None:
                self._fail(error)

        task.add_done_callback(ended)

    async def _watched(self, work: Coroutine[Any, Any, None]) -> None:
        """Do the work, unless the run fails meanwhile."""
        task = asyncio.get_running_loop().create_task(work)
        try:
            await asyncio.wait([task, self._failed], return_when=asyncio.FIRST_COMPLETED)
            if self._failed.done():
                self._failed.result()
            task.result()
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task

    # --- what goes on all the time ---

    async def says_yes(self, name: str) -> bool:
        station = self.stations[name]
        return await is_up(station.host, station.port) is True

    async def until_up(self, name: str) -> None:
        while not await self.says_yes(name):
            await asyncio.sleep(UP_EVERY_S)

    async def _ask_up(self, post: Post) -> None:
        """The front asks each sidecar again and again."""
        station = self.stations[post.name]
        while True:
            await asyncio.sleep(self.day.scenario.front.ask_every_ms / 1000)
            yes = await is_up(station.host, station.port)
            if yes is None:
                self.front.silent(self.clock.now_us(), post.name)
            else:
                self.front.answered(self.clock.now_us(), post.name, yes)

    async def _forget(self) -> None:
        """Requests that are long over: a deployment may stay up for days."""
        while True:
            await asyncio.sleep(FORGET_EVERY_S)
            self.judge.forget(self.jobs.forget(self.clock.now_us() - FORGET_US))

    async def _watch_memory(self) -> None:
        """The platform's limit: whoever is over it is killed, and has crashed."""
        while True:
            await asyncio.sleep(MEMORY_EVERY_S)
            for station in self.stations.values():
                # Two processes of one sidecar share its limit.
                used = sum(process.measure()[1] for process in station.processes)
                if used > station.memory_mb:
                    name, tail = station.post.name, self._tail(station.post.name)
                    for process in list(station.processes):
                        process.kill()
                    self._fail(
                        DeploymentError(
                            f"sidecar {name} used {used:.0f} of {station.memory_mb:g} MB: killed", tail
                        )
                    )

    def _address_of(self, endpoint: str, sidecar: str) -> str:
        return self.machines[endpoint].doors[sidecar].address

    def _takes(self, endpoint: str) -> bool:
        return self.machines[endpoint].endpoint.state is State.UP

    def _call_next(self, plan: Plan, job: Job, on_end: Callable[[bool], None]) -> Callable[[], None]:
        """An endpoint's call to the next tier, through the sidecar beside it."""
        target = self.targets[self._sidecar_of[plan.id]]
        left_us = max(1000, job.until_us - self.clock.now_us())
        # Each such call is a request of its own; where the class has keys it has one, too.
        key = None
        if job.grade.spec.effect is Effect.DEDUPLICATED:
            self._inner_calls += 1
            key = f"{job.key}.{self._inner_calls:x}"
        inner = Job(job.grade, job.work_us, job.tenant, key, job.until_us)
        made = Try(
            self.clock,
            self.judge,
            self.jobs,
            target,
            inner,
            left_us,
            False,
            lambda end, _: on_end(end is End.SERVED),
        )
        return made.drop

    def _adopt(self, exchange: Exchange, post: Post) -> Job | None:
        """A request that came to a front sidecar from outside the day: its work is drawn like any other's."""
        if not self._strangers or post.owner is not None:
            return None
        grade = next((g for g in self.day.grades if exchange.url == b"/" + g.name.encode()), None)
        name = exchange.headers[b"req-id"]
        if grade is None:
            return None
        key = exchange.headers.get(b"idempotency-key")
        try:
            left_us = int(exchange.headers.get(b"req-deadline-ms", b"")) * 1000
        except ValueError:
            return None
        job = Job(
            grade,
            float(spread(self._strange, grade.work_us, grade.spread, 1)[0]),
            exchange.headers.get(b"req-owner", b"").decode("latin-1") or None,
            key.decode("latin-1") if key is not None else None,
            self.clock.now_us() + left_us,
        )
        self.jobs.adopt(name, job)
        self.judge.taken(name.decode("latin-1"), post.name, grade)
        return job

    def _fell(self, plan: Plan) -> None:
        self.lists.gone(plan.id)

    # --- the day ---

    async def play(self, progress: Callable[[float, Outside], None] = lambda *_: None) -> None:
        """Clients and troubles until the day ends and every request has an end."""
        await self._watched(self._play(progress))

    async def _play(self, progress: Callable[[float, Outside], None]) -> None:
        self.clock.begin()
        for station in self.stations.values():
            station.usage.before_s = self._cpu_s(station)
        for errand in arrivals(self.day):
            self.clock.at(errand.at_us, self.outside.begin, errand)
        self.begin_troubles()
        longest = max(grade.deadline_us for grade in self.day.grades) + 500_000
        while (now := self.clock.now_us()) < self.day.length_us + longest:
            progress(min(1.0, now / self.day.length_us), self.outside)
            if now >= self.day.length_us and not self.outside.open:
                break
            await asyncio.sleep(0.25)
        progress(1.0, self.outside)

    def begin_troubles(self) -> None:
        troubles = Troubles(self)
        for event in self.day.events:
            self._chore(troubles.play(event))

    async def until_failure(self) -> None:
        """Nothing but what may go wrong."""
        await asyncio.shield(self._failed)

    def result(self, error: DeploymentError | None = None) -> Result:
        """What was measured up to now."""
        endpoints = [machine.endpoint for machine in self.machines.values()]
        for made in self.outside.tries.values():  # a run that ended early: these have no end
            made.drop()
        self.outside.tries.clear()
        self.outside.open.clear()
        choked = sum(e.choked_ever for e in endpoints) / max(1, len(endpoints))
        verdict = self.judge.verdict(sum(e.wasted_us for e in endpoints), choked)
        usage = {}
        front_cpu = 0.0
        for name, station in self.stations.items():
            cpu_s = self._cpu_s(station)
            front_cpu += cpu_s - station.usage.before_s if station.post.owner is None else 0.0
            usage[name] = {
                "cpu_s": round(cpu_s, 2),
                "memory_mb": round(station.usage.memory_mb, 1),
                "starts": station.usage.starts,
            }
        tries = sum(errand.tries for errand in self.judge.errands)
        return Result(
            scenario=self.day.name,
            seed=self.day.seed,
            seconds=self.day.length_us / 1e6,
            sidecars=len(self.stations),
            endpoints=len(endpoints),
            requests=self.outside.ended,
            rate_per_s=self.day.rate_per_s,
            events=[
                f"{e.at_us / 1e6:.1f} to {e.until_us / 1e6:.1f} s: {e.what}"
                for e in self.day.events
                if e.at_us < self.day.length_us
            ],
            verdict=verdict,
            lateness_ms=self.clock.lateness_ms(),
            usage=usage,
            window_s=self.day.scenario.goal.window_s,
            front_cpu_us_per_request=front_cpu * 1e6 / max(1, tries),
            notes=self._notes,
            crash=str(error) if error else None,
            crash_log=error.tail if error else [],
            services={
                name: {"memory_mb": round(used.memory_mb, 1), "starts": used.starts}
                for name, used in (self.lists.usage() if isinstance(self.lists, Services) else {}).items()
            },
        )

    @staticmethod
    def _cpu_s(station: Station) -> float:
        return station.usage.cpu_s + sum(process.measure()[0] for process in station.processes)

    # --- the end ---

    async def close(self) -> None:
        """End every process, and remove what was written. The world is over: nobody waits for an answer."""
        self._closing = True
        self.clock.stop()
        for task in list(self._chores):
            task.cancel()
        processes = [p for s in self.stations.values() for p in s.processes]
        for process in processes:
            process.kill()
        try:
            await asyncio.gather(*(process.ended.wait() for process in processes))
        finally:
            await self.lists.close()
            self._close_sockets()
            if self._keep is not None:
                self._save_logs(self._keep)
            shutil.rmtree(self.folder, ignore_errors=True)
            if self._failed.done():
                self._failed.exception()  # it has been told

    def _close_sockets(self) -> None:
        for machine in self.machines.values():
            machine.close()
        for target in self.targets.values():
            target.pool.close()
        self._close_claims()

    def _close_claims(self) -> None:
        for sock in self._claims:
            sock.close()

    def _save_logs(self, keep: Path) -> None:
        keep.mkdir(parents=True, exist_ok=True)
        logs = {name: station.log for name, station in self.stations.items()}
        if isinstance(self.lists, Services):
            logs |= self.lists.logs()
        for name, log in logs.items():
            if log.exists():
                shutil.copy(log, keep / f"{name}.log")

    # --- for troubles ---

    def beside(self, endpoint: str) -> str | None:
        """The sidecar that belongs to this endpoint."""
        return self._sidecar_of.get(endpoint)

    def kill(self, name: str) -> list[Process]:
        """Kill all processes of this sidecar: what they held is nobody's fault."""
        self.targets[name].killed = True
        killed = list(self.stations[name].processes)
        for process in killed:
            process.kill()
        return killed

    def note(self, text: str) -> None:
        """Something that the result should tell."""
        self._notes.append(f"{self.clock.now_us() / 1e6:.1f} s: {text}")
