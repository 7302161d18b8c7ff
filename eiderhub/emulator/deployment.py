"""A deployment on loopback for one emulated day: real sidecars, and the emulated parts around them."""

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

from eiderhub.emulator.clients import ScenarioClients, Target, Try
from eiderhub.emulator.clock import MAX_LATENESS_P99_MS, Clock
from eiderhub.emulator.discovery import DiscoveryBackend, SimulatedDiscovery
from eiderhub.emulator.endpoint_servers import EndpointServer, RequestInfo, RequestTable
from eiderhub.emulator.fault_injection import FaultInjector
from eiderhub.emulator.list_service import RealListService
from eiderhub.emulator.processes import DeploymentError as DeploymentError
from eiderhub.emulator.processes import (
    Process,
    SupervisedSidecar,
    create_temporary_folder,
    default_command,
    open_listening_socket,
    reserve_port,
)
from eiderhub.emulator.sidecar_settings import build_sidecar_settings
from eiderhub.http1 import DESCRIPTOR_LIMIT_ERRNOS, ConnectionPool, Exchange, NoReplyError, fetch
from eiderhub.interface import Effect
from eiderhub.world.clients import End, draw_requests
from eiderhub.world.day import Day, EndpointPlan, SidecarPlan
from eiderhub.world.discovery import Registry
from eiderhub.world.endpoint import Endpoint, State, dedup_groups
from eiderhub.world.evaluation import Evaluation, Evaluator
from eiderhub.world.front_balancer import FrontBalancer
from eiderhub.world.network import Network, draw_lognormal
from eiderhub.world.scenario import TroubleKind

READY_TIMEOUT_S = 30.0  # for all sidecars to be ready after their start
UP_POLL_INTERVAL_S = 0.05  # between readiness checks of a starting sidecar
UP_TIMEOUT_S = 1.0  # for a response to /up
MEMORY_CHECK_INTERVAL_S = 0.25
MANAGEMENT_PORTS = 2  # per sidecar, for operators' calls: during an upgrade, two processes need one each
EXPIRY_INTERVAL_S = 5.0
REQUEST_RETENTION_US = 60_000_000  # after its deadline; later nothing refers to a request any more
UP_REQUEST = b"GET /up HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n"


@dataclass(slots=True)
class Result:
    """All measurements of a run. `crash`: the failure that ended the run early, if any."""

    scenario: str
    seed: int
    seconds: float
    sidecars: int
    endpoints: int
    requests: int
    rate_per_s: float
    events: list[str]
    verdict: Evaluation
    lateness_ms: dict[str, float]
    usage: dict[str, dict[str, float]]
    window_s: float
    front_cpu_us_per_request: float  # per try of the clients
    notes: list[str] = field(default_factory=list)
    crash: str | None = None
    crash_log: list[str] = field(default_factory=list)
    services: dict[str, dict[str, float]] = field(default_factory=dict)  # resource usage of the list service

    @property
    def in_doubt(self) -> bool:
        """Whether the emulator's own timers were too late for the figures to be trusted."""
        return self.lateness_ms["p99"] > MAX_LATENESS_P99_MS

    @property
    def passed(self) -> bool:
        """Whether the run reached its end with all rules kept."""
        return self.crash is None and self.verdict.rules_kept

    def document(self) -> dict[str, Any]:
        """The result as a JSON document."""
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


def _descriptor_limit_error() -> DeploymentError:
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    return DeploymentError(
        f"the emulator itself ran out of file descriptors; its limit (`ulimit -n`) is {limit}", []
    )


def _raise_descriptor_limit() -> None:
    """Raise the soft limit to the hard one: each endpoint needs a listening socket for each sidecar."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))


async def is_up(host: str, port: int) -> bool | None:
    """Return whether `/up` answers 200, or None if it does not answer at all."""
    pool = ConnectionPool(host, port, UP_TIMEOUT_S)
    try:
        return (await fetch(pool, UP_REQUEST, UP_TIMEOUT_S)).status == 200
    except NoReplyError:
        return None
    finally:
        pool.close()


class Deployment:
    """Runs one emulated day around real sidecar processes.

    Use as an asynchronous context manager: leaving it ends every process and removes every file.
    """

    def __init__(
        self,
        day: Day,
        command: list[str] | None = None,
        log_folder: Path | None = None,
        serve_external: bool = False,
        real_registry: bool = False,
    ) -> None:
        self.day = day
        self._command = command or default_command()
        # Whether endpoints serve external clients' requests to the front.
        self._serve_external = serve_external
        # Whether real list service processes replace the simulated registry.
        self._real_registry = real_registry
        self._log_folder = log_folder  # if given, the logs are copied there at the end
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        _raise_descriptor_limit()
        self.sidecars: dict[str, SupervisedSidecar] = {}
        self.targets: dict[str, Target] = {}
        self.endpoints: dict[str, EndpointServer] = {}
        self._reserved_sockets: list[socket.socket] = []  # they hold the sidecars' ports until the end
        self.folder = create_temporary_folder()
        self._closing = False
        self._start_count = 0
        self._inner_call_count = 0
        self._notes: list[str] = []
        try:
            self._build()
        except BaseException as error:
            self._close_reserved_sockets()
            shutil.rmtree(self.folder, ignore_errors=True)
            if isinstance(error, OSError) and error.errno in DESCRIPTOR_LIMIT_ERRNOS:
                raise _descriptor_limit_error() from None
            raise

    async def __aenter__(self) -> Deployment:
        # An exception in a callback must end the run, not only be logged: the figures would be wrong.
        asyncio.get_running_loop().set_exception_handler(self._on_loop_exception)
        try:
            await self._run_unless_failed(self._start())
        except OSError as error:
            await self.close()
            raise _descriptor_limit_error() if error.errno in DESCRIPTOR_LIMIT_ERRNOS else error from None
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
        self.evaluator = Evaluator(day)
        self._external_rng = day.rng("strangers")
        self.requests = RequestTable()
        self.network = Network(day)
        self.front = FrontBalancer(day)
        self.discovery: DiscoveryBackend
        if self._real_registry:
            self.discovery = RealListService(
                day,
                self.folder,
                self.clock,
                self.evaluator,
                self._address_of,
                self._accepts_requests,
                self._fail,
            )
        else:
            self.discovery = SimulatedDiscovery(Registry(day), self.clock, self.evaluator, self._address_of)
        groups = dedup_groups(day)
        for number, plan in enumerate(day.endpoint_plans):
            endpoint = Endpoint(plan, day.rng(f"endpoint {plan.id}"))
            self.endpoints[plan.id] = EndpointServer(
                day,
                endpoint,
                day.sidecar_plans_of(plan.tier),
                f"127.{10 + plan.tier}.{number // 200}.{1 + number % 200}",
                self.clock,
                self.network,
                self.evaluator,
                self.requests,
                groups,
                self._call_next_tier,
                self._on_endpoint_overload,
                self._adopt_external_request,
            )
        upgraded_sidecars = {
            name for event in day.events if event.kind is TroubleKind.UPGRADE for name in event.sidecars
        }
        for number, sidecar_plan in enumerate(day.sidecar_plans):
            host = f"127.9.{number // 200}.{1 + number % 200}"
            inherited = open_listening_socket(host) if sidecar_plan.name in upgraded_sidecars else None
            listen_socket = inherited or reserve_port(host)
            port = listen_socket.getsockname()[1]
            management_sockets = [reserve_port(host) for _ in range(MANAGEMENT_PORTS)]
            self._reserved_sockets += [listen_socket, *management_sockets]
            self.sidecars[sidecar_plan.name] = SupervisedSidecar(
                plan=sidecar_plan,
                host=host,
                port=port,
                reserved_ports=management_sockets,
                folder=self.folder / sidecar_plan.name,
                settings=build_sidecar_settings(day, sidecar_plan),
                regions=dict(day.scenario.regions),
                memory_mb=day.scenario.allowed.memory_mb,
                descriptor_limit=day.scenario.allowed.descriptors,
                command=self._command,
                inherited_socket=inherited,
            )
            self.targets[sidecar_plan.name] = Target(sidecar_plan, host, port)
        self._sidecar_by_endpoint = {
            sidecar_plan.endpoint_id: sidecar_plan.name
            for sidecar_plan in day.sidecar_plans
            if sidecar_plan.endpoint_id is not None
        }
        self.clients = ScenarioClients(
            day, self.clock, self.evaluator, self.requests, self.front, self.targets
        )

    async def _start(self) -> None:
        for server in self.endpoints.values():
            await server.open()
        await self.discovery.open()
        for name, sidecar in self.sidecars.items():
            sidecar.folder.mkdir()
            await self.discovery.attach(sidecar)
            self.start_sidecar(name)
        self._run_in_background(self._enforce_memory_limit())
        self._run_in_background(self._remove_expired_requests())
        ready: set[str] = set()

        async def until_ready(name: str) -> None:
            await self.wait_until_ready(name)
            ready.add(name)

        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await asyncio.gather(*(until_ready(name) for name in self.sidecars))
        except TimeoutError:
            not_ready = [name for name in self.sidecars if name not in ready]
            message = f"{', '.join(not_ready[:5])}: not ready after {READY_TIMEOUT_S:g} s"
            raise DeploymentError(message, self._log_tail(not_ready[0])) from None
        self.clock.start()
        self.discovery.on_day_started()
        for sidecar_plan in self.day.sidecar_plans_of(0):
            self.front.record_answer(0, sidecar_plan.name, True)
            self._run_in_background(self._poll_readiness(sidecar_plan))

    def start_sidecar(self, name: str) -> Process:
        """Write the sidecar's configuration and start a process of it.

        Raises:
            DeploymentError: the process cannot be started.
        """
        sidecar = self.sidecars[name]
        self._start_count += 1
        known_list, listing = self.discovery.current_list(sidecar.plan)
        sidecar.write_config(known_list, self.day.seed * 1_000_003 + self._start_count)
        if not sidecar.processes:
            self.evaluator.sidecar_started(self.clock.now_us(), name, listing)
        try:
            process = sidecar.start(self._on_process_ended)
        except OSError as error:
            raise DeploymentError(f"sidecar {name} cannot be started: {error}", []) from None
        self.targets[name].killed = False
        return process

    def _on_process_ended(self, process: Process, status: int) -> None:
        self.sidecars[process.name].processes.remove(process)
        if not process.stop_requested and not self._closing:
            outcome = f"ended by signal {-status}" if status < 0 else f"ended with status {status}"
            self._fail(DeploymentError(f"sidecar {process.name} {outcome}", process.read_log_tail()))

    def _on_loop_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if isinstance(error, OSError) and error.errno in DESCRIPTOR_LIMIT_ERRNOS:
            error = _descriptor_limit_error()
        if error is not None:
            self._fail(error)
        else:
            loop.default_exception_handler(context)

    def _fail(self, error: BaseException) -> None:
        if not self._failure.done():
            self._failure.set_exception(error)

    def _log_tail(self, name: str) -> list[str]:
        processes = self.sidecars[name].processes
        return processes[-1].read_log_tail() if processes else []

    def _run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine concurrently with the day; its failure ends the run."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background_tasks.add(task)

        def on_done(task: asyncio.Task[None]) -> None:
            self._background_tasks.discard(task)
            error = None if task.cancelled() else task.exception()
            while isinstance(error, BaseExceptionGroup):  # from a task group in the coroutine
                error = error.exceptions[0]
            if error is not None:
                self._fail(error)

        task.add_done_callback(on_done)

    async def _run_unless_failed(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine to its end, unless the run fails first; then raise that failure."""
        task = asyncio.get_running_loop().create_task(coroutine)
        try:
            await asyncio.wait([task, self._failure], return_when=asyncio.FIRST_COMPLETED)
            if self._failure.done():
                self._failure.result()
            task.result()
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task

    # --- background tasks ---

    async def is_ready(self, name: str) -> bool:
        """Whether the sidecar reports that it is ready."""
        sidecar = self.sidecars[name]
        return await is_up(sidecar.host, sidecar.port) is True

    async def wait_until_ready(self, name: str) -> None:
        """Wait until the sidecar reports that it is ready."""
        while not await self.is_ready(name):
            await asyncio.sleep(UP_POLL_INTERVAL_S)

    async def _poll_readiness(self, sidecar_plan: SidecarPlan) -> None:
        """Check a sidecar periodically, as the front's health checks do."""
        sidecar = self.sidecars[sidecar_plan.name]
        while True:
            await asyncio.sleep(self.day.scenario.front.ask_every_ms / 1000)
            ready = await is_up(sidecar.host, sidecar.port)
            if ready is None:
                self.front.record_no_answer(self.clock.now_us(), sidecar_plan.name)
            else:
                self.front.record_answer(self.clock.now_us(), sidecar_plan.name, ready)

    async def _remove_expired_requests(self) -> None:
        """Discard old requests periodically, which bounds the memory of a deployment that is up for days."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.evaluator.forget(self.requests.remove_expired(self.clock.now_us() - REQUEST_RETENTION_US))

    async def _enforce_memory_limit(self) -> None:
        """Kill sidecars that exceed the platform's memory limit; that counts as a crash."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)
            for sidecar in self.sidecars.values():
                # Two processes of one sidecar share its limit.
                used_mb = sum(process.measure()[1] for process in sidecar.processes)
                if used_mb > sidecar.memory_mb:
                    name, log_tail = sidecar.plan.name, self._log_tail(sidecar.plan.name)
                    for process in list(sidecar.processes):
                        process.kill()
                    self._fail(
                        DeploymentError(
                            f"sidecar {name} used {used_mb:.0f} of {sidecar.memory_mb:g} MB: killed", log_tail
                        )
                    )

    def _address_of(self, endpoint: str, sidecar: str) -> str:
        return self.endpoints[endpoint].listeners[sidecar].address

    def _accepts_requests(self, endpoint: str) -> bool:
        return self.endpoints[endpoint].endpoint.state is State.UP

    def _call_next_tier(
        self, plan: EndpointPlan, request: RequestInfo, on_finished: Callable[[bool], None]
    ) -> Callable[[], None]:
        """Make an endpoint's call to the next tier, through the endpoint's own sidecar."""
        target = self.targets[self._sidecar_by_endpoint[plan.id]]
        remaining_us = max(1000, request.deadline_us - self.clock.now_us())
        # Each such call is a separate request, with its own idempotency key if the class uses keys.
        idempotency_key = None
        if request.request_class.spec.effect is Effect.DEDUPLICATED:
            self._inner_call_count += 1
            idempotency_key = f"{request.idempotency_key}.{self._inner_call_count:x}"
        inner_request = RequestInfo(
            request.request_class, request.work_us, request.tenant, idempotency_key, request.deadline_us
        )
        attempt = Try(
            self.clock,
            self.evaluator,
            self.requests,
            target,
            inner_request,
            remaining_us,
            False,
            lambda end, _: on_finished(end is End.SERVED),
        )
        return attempt.cancel

    def _adopt_external_request(self, exchange: Exchange, sidecar_plan: SidecarPlan) -> RequestInfo | None:
        """Register an external client's request to a front sidecar; its work is drawn at random."""
        if not self._serve_external or sidecar_plan.endpoint_id is not None:
            return None
        request_class = next(
            (each for each in self.day.request_classes if exchange.url == b"/" + each.name.encode()), None
        )
        request_id = exchange.headers[b"req-id"]
        if request_class is None:
            return None
        idempotency_key = exchange.headers.get(b"idempotency-key")
        try:
            remaining_us = int(exchange.headers.get(b"req-deadline-ms", b"")) * 1000
        except ValueError:
            return None
        request = RequestInfo(
            request_class,
            float(draw_lognormal(self._external_rng, request_class.work_us, request_class.spread, 1)[0]),
            exchange.headers.get(b"req-owner", b"").decode("latin-1") or None,
            idempotency_key.decode("latin-1") if idempotency_key is not None else None,
            self.clock.now_us() + remaining_us,
        )
        self.requests.add(request_id, request)
        self.evaluator.request_sent(request_id.decode("latin-1"), sidecar_plan.name, request_class)
        return request

    def _on_endpoint_overload(self, plan: EndpointPlan) -> None:
        self.discovery.endpoint_stopped(plan.id)

    # --- the day ---

    async def run(self, progress: Callable[[float, ScenarioClients], None] = lambda *_: None) -> None:
        """Run clients and troubles until the day is over and every request has an outcome.

        Raises:
            DeploymentError: a process of the deployment failed.
        """
        await self._run_unless_failed(self._run_day(progress))

    async def _run_day(self, progress: Callable[[float, ScenarioClients], None]) -> None:
        self.clock.start()
        for sidecar in self.sidecars.values():
            sidecar.usage.before_s = self._cpu_s(sidecar)
        for client_request in draw_requests(self.day):
            self.clock.call_at(client_request.arrival_us, self.clients.start, client_request)
        self.start_troubles()
        drain_us = max(request_class.deadline_us for request_class in self.day.request_classes) + 500_000
        while (now_us := self.clock.now_us()) < self.day.length_us + drain_us:
            progress(min(1.0, now_us / self.day.length_us), self.clients)
            if now_us >= self.day.length_us and not self.clients.in_flight:
                break
            await asyncio.sleep(0.25)
        progress(1.0, self.clients)

    def start_troubles(self) -> None:
        """Start the day's troubles in the background, each at its time."""
        injector = FaultInjector(self)
        for event in self.day.events:
            self._run_in_background(injector.run_event(event))

    async def wait_for_failure(self) -> None:
        """Wait until the run fails, and raise that failure."""
        await asyncio.shield(self._failure)

    def result(self, error: DeploymentError | None = None) -> Result:
        """Return the measurements up to now; requests in flight are cancelled."""
        endpoints = [server.endpoint for server in self.endpoints.values()]
        for attempt in self.clients.tries_in_flight.values():  # a run that ended early: these have no outcome
            attempt.cancel()
        self.clients.tries_in_flight.clear()
        self.clients.in_flight.clear()
        choked_share = sum(endpoint.was_choked for endpoint in endpoints) / max(1, len(endpoints))
        evaluation = self.evaluator.evaluate(
            sum(endpoint.wasted_work_us for endpoint in endpoints), choked_share
        )
        usage = {}
        front_cpu_s = 0.0
        for name, sidecar in self.sidecars.items():
            cpu_s = self._cpu_s(sidecar)
            front_cpu_s += cpu_s - sidecar.usage.before_s if sidecar.plan.endpoint_id is None else 0.0
            usage[name] = {
                "cpu_s": round(cpu_s, 2),
                "memory_mb": round(sidecar.usage.memory_mb, 1),
                "starts": sidecar.usage.starts,
            }
        tries = sum(client_request.tries for client_request in self.evaluator.client_requests)
        return Result(
            scenario=self.day.name,
            seed=self.day.seed,
            seconds=self.day.length_us / 1e6,
            sidecars=len(self.sidecars),
            endpoints=len(endpoints),
            requests=self.clients.finished_count,
            rate_per_s=self.day.rate_per_s,
            events=[
                f"{event.at_us / 1e6:.1f} to {event.until_us / 1e6:.1f} s: {event.description}"
                for event in self.day.events
                if event.at_us < self.day.length_us
            ],
            verdict=evaluation,
            lateness_ms=self.clock.lateness_ms(),
            usage=usage,
            window_s=self.day.scenario.goal.window_s,
            front_cpu_us_per_request=front_cpu_s * 1e6 / max(1, tries),
            notes=self._notes,
            crash=str(error) if error else None,
            crash_log=error.log_tail if error else [],
            services={
                name: {"memory_mb": round(used.memory_mb, 1), "starts": used.starts}
                for name, used in (
                    self.discovery.usage() if isinstance(self.discovery, RealListService) else {}
                ).items()
            },
        )

    @staticmethod
    def _cpu_s(sidecar: SupervisedSidecar) -> float:
        return sidecar.usage.cpu_s + sum(process.measure()[0] for process in sidecar.processes)

    # --- shutdown ---

    async def close(self) -> None:
        """Kill every process at once and remove all files; requests in flight get no outcome."""
        self._closing = True
        self.clock.stop()
        for task in list(self._background_tasks):
            task.cancel()
        processes = [process for sidecar in self.sidecars.values() for process in sidecar.processes]
        for process in processes:
            process.kill()
        try:
            await asyncio.gather(*(process.exited.wait() for process in processes))
        finally:
            await self.discovery.close()
            self._close_sockets()
            if self._log_folder is not None:
                self._save_logs(self._log_folder)
            shutil.rmtree(self.folder, ignore_errors=True)
            if self._failure.done():
                self._failure.exception()  # marks it as retrieved, so that asyncio does not log it

    def _close_sockets(self) -> None:
        for server in self.endpoints.values():
            server.close()
        for target in self.targets.values():
            target.pool.close()
        self._close_reserved_sockets()

    def _close_reserved_sockets(self) -> None:
        for sock in self._reserved_sockets:
            sock.close()

    def _save_logs(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        log_paths = {name: sidecar.log_path for name, sidecar in self.sidecars.items()}
        if isinstance(self.discovery, RealListService):
            log_paths |= self.discovery.log_paths()
        for name, log_path in log_paths.items():
            if log_path.exists():
                shutil.copy(log_path, folder / f"{name}.log")

    # --- used by troubles ---

    def sidecar_of_endpoint(self, endpoint: str) -> str | None:
        """Return the name of the sidecar that belongs to this endpoint, if it has one."""
        return self._sidecar_by_endpoint.get(endpoint)

    def kill_sidecar(self, name: str) -> list[Process]:
        """Kill all processes of this sidecar; requests that they held are not counted as lost."""
        self.targets[name].killed = True
        killed = list(self.sidecars[name].processes)
        for process in killed:
            process.kill()
        return killed

    def add_note(self, text: str) -> None:
        """Add a note, with the time of the day, to the result."""
        self._notes.append(f"{self.clock.now_us() / 1e6:.1f} s: {text}")
