"""An edge sidecar: routes clients' requests through admission, and batch calls to the storage group."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import zlib
from collections.abc import Mapping
from functools import partial
from urllib.parse import parse_qs, urlsplit

import msgspec
import picologging as logging

from eiderhub import address
from eiderhub.batch.messages import Answer
from eiderhub.control.distribution import Tables
from eiderhub.control.errors import STATUS, ErrorKind
from eiderhub.control.messages import EndpointRecord, LeaseRequest, NodeRecord, SessionPing
from eiderhub.coordination.wire import WIRE_VERSION
from eiderhub.dataplane.admission import Admission, Call
from eiderhub.dataplane.drain import Drain
from eiderhub.dataplane.early import EarlyRequests
from eiderhub.dataplane.frontend import ClientExchange, ClientSink, PaidSink, request_head
from eiderhub.dataplane.items import CALL_S, ItemRunner, token_usage
from eiderhub.dataplane.routes import Route, RouteTable
from eiderhub.http1 import Exchange
from eiderhub.programs.settings import TierSettings
from eiderhub.transport.control_session import ControlSession, control_candidates, zone_of
from eiderhub.transport.spending import Charge, Spending
from eiderhub.transport.tasks import TaskSet
from eiderhub.transport.traffic import TRAFFIC
from eiderhub.transport.wire_counts import WIRE_COUNTS

LOTS, ITEMS = "/lots/", "/items/"
MOST_WAIT_MS = 1000  # that a read of results is held
TIMEOUT_MARGIN_S = 0.025  # an answer leaves so long before the time is up
MOST_BATCH_CALL_S = 2 * CALL_S + MOST_WAIT_MS / 1000  # until a call for a job has its answer
STOPPING_US = 50_000  # a client that is refused since the sidecar stops may try another at once
EXHAUSTED_US = 60_000_000  # a cap that has run out is not raised sooner, as a rule
STARTING_US = 600_000  # a sidecar that has just started has a configuration by then, as a rule
UNTOLD_TIMEOUT_MS = 2_000.0  # what a client is taken to allow that does not say, while no route is known
EARLY_LOOK_S = 0.02  # how often it is looked for held requests that are past their bound
JSON_HEADER = (b"Content-Type", b"application/json")

log = logging.getLogger("edge")


class EdgeService:
    def __init__(self, settings: TierSettings) -> None:
        self._settings = settings
        self._rng = random.Random(f"{settings.node_name} {random.random()}")
        self._node = NodeRecord(settings.node_name, "edge", settings.zone, wire_version=WIRE_VERSION)
        self.tables = Tables()
        self._routes: RouteTable | None = None
        self._endpoints_version = self.tables.endpoints.version
        self._admissions: dict[str, Admission] = {}
        self._serial = itertools.count(1)
        self._drain: Drain | None = None  # once it has been told to stop
        self.last_request = 0.0
        self._early: EarlyRequests[ClientExchange] = EarlyRequests()
        self._early_look: asyncio.TimerHandle | None = None
        self._spending = Spending(self._ask_for_lease)
        self._session = ControlSession(
            self._node,
            self.tables,
            self._control_nodes,
            self._on_tables,
            self._describe,
            self._spending.answered,
            self._on_load,
        )
        self._runner = ItemRunner(
            settings.node_name, settings.zone, self, self._storage_nodes, partial(zone_of, self.tables)
        )
        self._tasks = TaskSet()

    # --- the control plane ---

    def _control_nodes(self) -> list[str]:
        port = self._settings.first_port
        seeds = [f"{address.parse(s).host}:{port}" for s in self._settings.seeds]
        return control_candidates(self.tables, seeds, self._settings.zone, self._rng.shuffle)

    def _describe(self, ping: SessionPing) -> SessionPing:
        """Tell with a ping which calls are out."""
        calls: dict[str, int] = {}
        for admission in self._admissions.values():
            calls |= admission.calls_out()
        return msgspec.structs.replace(ping, calls=calls)

    def _on_load(self, calls: Mapping[str, int]) -> None:
        for admission in self._admissions.values():
            admission.follow_others(calls)

    def _ask_for_lease(self, request: LeaseRequest) -> bool:
        return self._session.send(request)

    def _storage_nodes(self) -> list[str]:
        found = [
            node.identity.partition("@")[2]
            for node in self.tables.nodes.nodes
            if node.role == "storage" and node.identity
        ]
        self._rng.shuffle(found)
        return found

    def _on_tables(self) -> None:
        """Put the newest tables in force.

        Danger: what is in force is noted last. Where a part of it fails this is called again, and must find
        that it is still to be done.
        """
        routes = self._newest_routes()
        if routes is None:
            return
        if routes is not self._routes or self._endpoints_version != self.tables.endpoints.version:
            self._follow_services(routes)
            self._endpoints_version = self.tables.endpoints.version
        self._spending.follow(routes.tenants, self.tables.spending.exhausted)
        if routes is not self._routes:
            self._routes = routes
            self._runner.routes_changed(routes.generation)
        self._follow_fleet(self.tables.nodes.sidecars)
        if self._early and self._knows_enough():
            self._release_early()

    def _follow_fleet(self, sidecars: int) -> None:
        """There are so many sidecars; 0: it is not known."""
        if sidecars:
            rank = zlib.crc32(self._settings.node_name.encode()) % sidecars
            for admission in self._admissions.values():
                admission.follow_fleet(rank, sidecars)

    def _newest_routes(self) -> RouteTable | None:
        """Those of the newest configuration; the ones in force where they are; None: there is none yet."""
        configuration = self.tables.configuration
        if self._routes is not None and self._routes.generation == configuration.generation:
            return self._routes
        if not configuration.generation:
            return None
        return RouteTable(configuration.generation, configuration.document)

    def _follow_services(self, table: RouteTable) -> None:
        listed: dict[str, list[EndpointRecord]] = {}
        for record in self.tables.endpoints.endpoints:
            listed.setdefault(record.service, []).append(record)
        for service in table.services.values():
            admission = self._admissions.get(service.name)
            if admission is None:
                admission = Admission(
                    service.name, service.capacity, self._settings.zone, self._rng, self._settings.zones
                )
                self._admissions[service.name] = admission
            admission.follow_endpoints(listed.get(service.name, []))
            leading = [r for r in table.by_name.values() if any(n == service.name for n, _ in r.services)]
            admission.follow_routes(leading, service.capacity)

    def ready(self) -> bool:
        return not self.draining and self._knows_enough()

    def route_for(self, name: str) -> tuple[Route, Admission] | None:
        route = self._routes.by_name.get(name) if self._routes else None
        if route is None:
            return None
        admission = self._admissions.get(route.draw_service(self._rng))
        return (route, admission) if admission is not None else None

    def leads_to(self, name: str, admission: Admission) -> bool:
        """Whether the route, as it is in force now, leads to that service."""
        route = self._routes.by_name.get(name) if self._routes else None
        return route is not None and any(self._admissions.get(s) is admission for s, _ in route.services)

    def answers(self) -> int:
        """How often any endpoint has said anything to this sidecar."""
        return sum(admission.answers for admission in self._admissions.values())

    async def reaches_endpoint(self) -> bool:
        """Whether an endpoint, drawn by chance, takes a connection."""
        admissions = list(self._admissions.values())
        return bool(admissions) and await self._rng.choice(admissions).reaches_endpoint()

    # --- clients ---

    @staticmethod
    def now() -> float:
        """Danger: the event loop's own clock stands still within a turn."""
        return time.monotonic()

    @property
    def draining(self) -> bool:
        return self._drain is not None

    def _takes(self, most_s: float) -> bool:
        """Whether there is time for a request that may take so long."""
        return self._drain is None or self._drain.takes(self.now(), most_s)

    def serve(self, exchange: ClientExchange) -> None:
        self.last_request = self.now()
        if self._knows_enough():
            self._decide(exchange)
        elif self.draining:
            exchange.refuse(ErrorKind.NOT_READY, STOPPING_US)
        else:
            self._hold(exchange)

    def _knows_enough(self) -> bool:
        """Whether routes and endpoints are known, so that a request can be decided on."""
        return self._routes is not None and self.tables.endpoints.version.epoch > 0

    def _hold(self, exchange: ClientExchange) -> None:
        """Keep a request that has come before the first configuration, for a bounded time."""
        allowed_s = _number(exchange.headers.get(b"timeout-ms"), UNTOLD_TIMEOUT_MS) / 1000
        if not self._early.hold(self.now(), exchange, len(exchange.body), allowed_s):
            exchange.refuse(ErrorKind.NOT_READY, STARTING_US)
            return

        def gone(_: Exchange) -> None:
            self._early.remove(exchange)

        exchange.on_gone = gone
        if len(self._early) == 1:
            self._look_at_early()

    def _look_at_early(self) -> None:
        """Refuse the held requests that are past their bound, now and for as long as any is held."""
        for exchange in self._early.overdue(self.now()):
            exchange.on_gone = None
            exchange.refuse(ErrorKind.NOT_READY, STARTING_US)
        if self._early and self._early_look is None:
            self._early_look = asyncio.get_running_loop().call_later(EARLY_LOOK_S, self._next_early_look)

    def _next_early_look(self) -> None:
        self._early_look = None
        self._look_at_early()

    def _release_early(self) -> None:
        """Decide on the requests that have waited for a configuration."""
        now = self.now()
        for held in self._early.release():
            held.request.on_gone = None
            held.request.held_s = now - held.since
            self._decide(held.request)

    def _decide(self, exchange: ClientExchange) -> None:
        assert self._routes is not None
        target = exchange.url.decode("latin-1")
        host = exchange.headers.get(b"host", b"").decode("latin-1")
        path = target.partition("?")[0]
        route = self._routes.find(host.partition(":")[0], path)
        of_batch = path.startswith((LOTS, ITEMS)) and exchange.method in (b"GET", b"DELETE")
        if of_batch and not self._takes(MOST_BATCH_CALL_S):
            exchange.refuse(ErrorKind.NOT_READY, STOPPING_US)
        elif of_batch and (route is None or route.kind == "batch"):
            self._tasks.start(self._read_batch(exchange, target), exchange.break_off)
        elif route is None:
            exchange.answer(STATUS[ErrorKind.UNKNOWN])
        elif not self._takes(MOST_BATCH_CALL_S if route.kind == "batch" else time_left_s(exchange, route)):
            exchange.refuse(ErrorKind.NOT_READY, STOPPING_US)
        elif route.kind == "batch":
            self._tasks.start(self._submit(exchange, route), exchange.break_off)
        elif (tenant := self._spending.tenant_of(route.name)) is not None:
            self._tasks.start(self._pay_and_pass_on(exchange, route, tenant), exchange.break_off)
        else:
            self._pass_on(exchange, route, ClientSink(exchange))

    async def _pay_and_pass_on(self, exchange: ClientExchange, route: Route, tenant: str) -> None:
        """Take a request of a tenant that has a spending cap."""
        tokens = sum(token_usage(exchange.headers.get(b"token-usage", b"").decode("latin-1")))
        began = self.now()
        charge = await self._spending.charge(tenant, tokens)
        exchange.held_s += self.now() - began
        if exchange.gone:  # its client has left meanwhile
            if charge is Charge.PAID:
                self._spending.refund(tenant, tokens)
        elif charge is Charge.PAID:
            self._pass_on(exchange, route, PaidSink(exchange, partial(self._spending.refund, tenant, tokens)))
        elif charge is Charge.EXHAUSTED:
            exchange.refuse(ErrorKind.NO_ROOM, EXHAUSTED_US)
        else:
            exchange.refuse(ErrorKind.NOT_READY, STARTING_US)

    def _pass_on(self, exchange: ClientExchange, route: Route, sink: ClientSink) -> None:
        found = self.route_for(route.name)
        if found is None:
            sink.refuse(ErrorKind.NOT_READY, STARTING_US)
            return
        route, admission = (
            found  # of the newest configuration: it may have changed while the call was paid for
        )
        headers = exchange.headers
        due_us = admission.now_us() + int(max(0.001, time_left_s(exchange, route) - TIMEOUT_MARGIN_S) * 1e6)
        head = request_head(exchange.method, exchange.url, headers, exchange.body)
        request_id = headers.get(b"request-id", b"")
        usage = token_usage(headers.get(b"token-usage", b"").decode("latin-1"))
        call = Call(
            f"{next(self._serial)}", route, request_id, (head, exchange.body), due_us,
            exchange.client, usage, sink,
        )  # fmt: skip
        last = headers.get(b"last-event-id", b"")
        if last.isdigit():
            call.last_event = int(last)

        def gone(_: Exchange) -> None:
            admission.abandon(call)

        exchange.on_gone = gone
        admission.order(call)

    # --- batch ---

    async def _submit(self, exchange: ClientExchange, route: Route) -> None:
        job = exchange.headers.get(b"request-id", b"").decode("latin-1")
        if exchange.method != b"POST" or not job:
            exchange.answer(STATUS[ErrorKind.INVALID])
            return
        self._give(exchange, await self._runner.submit(job, route.name, exchange.body))

    async def _read_batch(self, exchange: ClientExchange, target: str) -> None:
        parts = urlsplit(target)
        query = parse_qs(parts.query)
        job = parts.path.rpartition("/")[2]
        if parts.path.startswith(ITEMS):
            answer = await self._runner.body(job, query.get("id", [""])[0])
        elif exchange.method == b"DELETE":
            answer = await self._runner.end(job)
            self._give(exchange, answer)
            return
        else:
            wait_ms = min(MOST_WAIT_MS, _number(exchange.headers.get(b"wait-ms"), 0.0))
            start = query.get("start_after", ["0"])[0]
            answer = await self._runner.read(job, int(start) if start.isdecimal() else 0, int(wait_ms))
        if answer.status == STATUS[ErrorKind.UNCERTAIN]:  # a read may simply be asked again
            answer = Answer(answer.call, STATUS[ErrorKind.NOT_READY])
        self._give(exchange, answer)

    @staticmethod
    def _give(exchange: ClientExchange, answer: Answer) -> None:
        exchange.answer(answer.status, answer.body, JSON_HEADER)

    def metrics(self) -> list[str]:
        """The figures of this sidecar, one a line."""
        lines = [f"ready {self.ready():d}", f"draining {self.draining:d}"]
        lines += [
            f"early_held {len(self._early)}",
            f"early_held_total {self._early.total}",
            f"early_refused_total {self._early.refused}",
        ]
        lines += [f"generation {self.tables.configuration.generation}"]
        for name, admission in self._admissions.items():
            lines += [f'{figure}{{service="{name}"}} {value}' for figure, value in admission.figures()]
        return lines + self._runner.metrics() + TRAFFIC.lines() + WIRE_COUNTS.lines()

    # --- the end ---

    @property
    def quiet(self) -> bool:
        """Whether nothing is owed to anybody."""
        return (
            len(self._tasks) == 0
            and self._runner.unstored == 0
            and not self._early
            and not any(a.busy for a in self._admissions.values())
        )

    def end(self) -> None:
        """The process ends now: answer what is still owed."""
        for admission in self._admissions.values():
            admission.end_all()

    def drain(self, grace_s: float) -> Drain:
        """Stop: take only what can be ended in time, and give items back."""
        self._drain = Drain(self.now(), grace_s)
        for held in self._early.release():
            held.request.on_gone = None
            held.request.refuse(ErrorKind.NOT_READY, STOPPING_US)
        self._spending.give_back()
        self._runner.return_all()
        return self._drain


def time_left_s(exchange: ClientExchange, route: Route) -> float:
    """How long a request may take: the route's time-out, or what its client allows if that is less."""
    told_ms = _number(exchange.headers.get(b"timeout-ms"), route.timeout_ms)
    return min(told_ms, route.timeout_ms) / 1000 - exchange.held_s


def _number(text: bytes | None, default: float) -> float:
    try:
        return float(text) if text else default
    except ValueError:
        return default
