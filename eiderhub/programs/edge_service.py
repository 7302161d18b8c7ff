"""An edge sidecar: routes client requests through admission, and batch requests to the storage group."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import time
import zlib
from collections.abc import Mapping
from functools import partial
from urllib.parse import parse_qs

import msgspec
import picologging as logging

from eiderhub import address
from eiderhub.batch.job_ids import items_in_query, name_in_path, name_of_id
from eiderhub.batch.messages import Answer
from eiderhub.control.distribution import Tables
from eiderhub.control.errors import HTTP_STATUS, ErrorKind
from eiderhub.control.messages import EndpointRecord, LeaseRequest, NodeRecord, SessionPing
from eiderhub.coordination.wire import WIRE_VERSION
from eiderhub.dataplane.admission import Admission, Call
from eiderhub.dataplane.drain import Drain
from eiderhub.dataplane.early_requests import EarlyRequests
from eiderhub.dataplane.events import NO_EVENT_ID, parse_event_id
from eiderhub.dataplane.frontend import ClientExchange, ClientSink, RefundingSink
from eiderhub.dataplane.items import CALL_TIMEOUT_S, ItemRunner, token_usage
from eiderhub.dataplane.routes import Route, RouteTable
from eiderhub.http1 import Exchange
from eiderhub.metric_lines import metric_line
from eiderhub.programs.settings import TierSettings
from eiderhub.request_head import is_origin_form, request_head
from eiderhub.transport.control_session import ControlSession, control_candidates, zone_of
from eiderhub.transport.spending import ChargeResult, SpendingClient
from eiderhub.transport.tasks import TaskSet
from eiderhub.transport.traffic import TRAFFIC
from eiderhub.transport.wire_counts import WIRE_COUNTS

LOTS_PATH, ITEMS_PATH = b"/lots/", b"/items/"
MAX_POSITION = 10**9  # above all positions of results
MAX_RESULT_WAIT_MS = 1000  # for a read of results to wait for new ones
TIMEOUT_MARGIN_S = 0.025  # time for the answer to reach the client before its timeout
MAX_BATCH_CALL_S = 2 * CALL_TIMEOUT_S + MAX_RESULT_WAIT_MS / 1000  # for a batch request to be answered
STOPPING_RETRY_AFTER_US = 50_000  # clients may retry at another sidecar at once
EXHAUSTED_RETRY_AFTER_US = 60_000_000  # caps are rarely raised sooner
STARTING_RETRY_AFTER_US = 600_000  # a configuration has usually arrived by then
DEFAULT_TIMEOUT_MS = 2_000.0  # without a client timeout, while no route is known
EARLY_CHECK_INTERVAL_S = 0.02  # between checks for expired early requests
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
        self._call_numbers = itertools.count(1)
        self._drain: Drain | None = None  # set once the process has received a stop signal
        self.last_request_at = 0.0
        self._early_requests: EarlyRequests[ClientExchange] = EarlyRequests()
        self._early_timer: asyncio.TimerHandle | None = None
        self._spending = SpendingClient(self._send_lease_request)
        self._session = ControlSession(
            self._node,
            self.tables,
            self._control_nodes,
            self._on_tables,
            self._complete_ping,
            self._spending.on_lease_answer,
            self._on_load,
        )
        self._item_runner = ItemRunner(
            settings.node_name, settings.zone, self, self._storage_nodes, partial(zone_of, self.tables)
        )
        self._tasks = TaskSet()

    # --- the control plane ---

    def _control_nodes(self) -> list[str]:
        port = self._settings.first_port
        seeds = [f"{address.parse_host_port(s).host}:{port}" for s in self._settings.seeds]
        return control_candidates(self.tables, seeds, self._settings.zone, self._rng.shuffle)

    def _complete_ping(self, ping: SessionPing) -> SessionPing:
        """Add the calls in flight to a ping."""
        calls: dict[str, int] = {}
        for admission in self._admissions.values():
            calls |= admission.calls_in_flight()
        return msgspec.structs.replace(ping, calls=calls)

    def _on_load(self, calls: Mapping[str, int]) -> None:
        for admission in self._admissions.values():
            admission.update_peer_calls(calls)

    def _send_lease_request(self, request: LeaseRequest) -> bool:
        return self._session.send(request)

    def _storage_nodes(self) -> list[str]:
        addresses = [
            node.identity.partition("@")[2]
            for node in self.tables.nodes.nodes
            if node.role == "storage" and node.identity
        ]
        self._rng.shuffle(addresses)
        return addresses

    def _on_tables(self) -> None:
        """Apply the newest tables.

        The applied versions are stored last: if a step raises, this is called again and must redo all of it.
        """
        routes = self._newest_routes()
        if routes is None:
            return
        if routes is not self._routes or self._endpoints_version != self.tables.endpoints.version:
            self._update_services(routes)
            self._endpoints_version = self.tables.endpoints.version
        self._spending.set_tenants(routes.tenants, self.tables.spending.exhausted)
        if routes is not self._routes:
            self._routes = routes
            self._item_runner.on_routes_changed(routes.generation)
        self._update_fleet(self.tables.nodes.sidecars)
        if self._early_requests and self._can_route():
            self._route_early_requests()

    def _update_fleet(self, sidecars: int) -> None:
        """Apply the number of sidecars; 0 if it is unknown."""
        if sidecars:
            rank = zlib.crc32(self._settings.node_name.encode()) % sidecars
            for admission in self._admissions.values():
                admission.update_fleet(rank, sidecars)

    def _newest_routes(self) -> RouteTable | None:
        """Return the routes of the newest configuration, or None if there is no configuration yet.

        The table in use is returned if its configuration is the newest.
        """
        configuration = self.tables.configuration
        if self._routes is not None and self._routes.generation == configuration.generation:
            return self._routes
        if not configuration.generation:
            return None
        return RouteTable(configuration.generation, configuration.document)

    def _update_services(self, table: RouteTable) -> None:
        endpoints_by_service: dict[str, list[EndpointRecord]] = {}
        for record in self.tables.endpoints.endpoints:
            endpoints_by_service.setdefault(record.service, []).append(record)
        for service in table.services.values():
            admission = self._admissions.get(service.name)
            if admission is None:
                admission = Admission(
                    service.name, service.capacity, self._settings.zone, self._rng, self._settings.zones
                )
                self._admissions[service.name] = admission
            admission.update_endpoints(endpoints_by_service.get(service.name, []))
            service_routes = [
                r for r in table.by_name.values() if any(n == service.name for n, _ in r.services)
            ]
            admission.update_routes(service_routes, service.capacity)

    def ready(self) -> bool:
        return not self.draining and self._can_route()

    def route_for(self, name: str) -> tuple[Route, Admission] | None:
        route = self._routes.by_name.get(name) if self._routes else None
        if route is None:
            return None
        admission = self._admissions.get(route.choose_service(self._rng))
        return (route, admission) if admission is not None else None

    def routes_to(self, name: str, admission: Admission) -> bool:
        """Whether the current version of the route leads to the service of this admission."""
        route = self._routes.by_name.get(name) if self._routes else None
        return route is not None and any(self._admissions.get(s) is admission for s, _ in route.services)

    def response_count(self) -> int:
        """Number of responses that this sidecar has received from any endpoint."""
        return sum(admission.response_count for admission in self._admissions.values())

    async def reaches_endpoint(self) -> bool:
        """Whether an endpoint of a randomly chosen service accepts a connection."""
        admissions = list(self._admissions.values())
        return bool(admissions) and await self._rng.choice(admissions).reaches_endpoint()

    # --- clients ---

    @staticmethod
    def now() -> float:
        """Return the monotonic time; the event loop's clock does not advance within an iteration."""
        return time.monotonic()

    @property
    def draining(self) -> bool:
        return self._drain is not None

    def _accepts(self, max_duration_s: float) -> bool:
        """Whether a request that may take this long can still be accepted."""
        return self._drain is None or self._drain.accepts(self.now(), max_duration_s)

    def serve(self, exchange: ClientExchange) -> None:
        self.last_request_at = self.now()
        if self._can_route():
            self._route_request(exchange)
        elif self.draining:
            exchange.refuse(ErrorKind.NOT_READY, STOPPING_RETRY_AFTER_US)
        else:
            self._hold_early_request(exchange)

    def _can_route(self) -> bool:
        """Whether routes and endpoints are known, so that requests can be routed."""
        return self._routes is not None and self.tables.endpoints.version.epoch > 0

    def _hold_early_request(self, exchange: ClientExchange) -> None:
        """Hold a request that arrived before the first configuration, for a bounded time."""
        allowed_s = _parse_number(exchange.headers.get(b"timeout-ms"), DEFAULT_TIMEOUT_MS) / 1000
        if not self._early_requests.hold(self.now(), exchange, len(exchange.body), allowed_s):
            exchange.refuse(ErrorKind.NOT_READY, STARTING_RETRY_AFTER_US)
            return

        def on_client_gone(_: Exchange) -> None:
            self._early_requests.remove(exchange)

        exchange.on_disconnect = on_client_gone
        if len(self._early_requests) == 1:
            self._refuse_expired_early()

    def _refuse_expired_early(self) -> None:
        """Refuse expired early requests, and check again while any are held."""
        for exchange in self._early_requests.take_expired(self.now()):
            exchange.on_disconnect = None
            exchange.refuse(ErrorKind.NOT_READY, STARTING_RETRY_AFTER_US)
        if self._early_requests and self._early_timer is None:
            self._early_timer = asyncio.get_running_loop().call_later(
                EARLY_CHECK_INTERVAL_S, self._on_early_timer
            )

    def _on_early_timer(self) -> None:
        self._early_timer = None
        self._refuse_expired_early()

    def _route_early_requests(self) -> None:
        """Route the requests that were held until the first configuration."""
        now = self.now()
        for held in self._early_requests.take_all():
            held.request.on_disconnect = None
            held.request.held_s = now - held.held_since
            self._route_request(held.request)

    def _route_request(self, exchange: ClientExchange) -> None:
        assert self._routes is not None
        host = exchange.headers.get(b"host", b"").decode(errors="surrogateescape")
        path = exchange.url.partition(b"?")[0]
        route = self._routes.find(host, path.decode("latin-1"))
        accesses_batch = path.startswith((LOTS_PATH, ITEMS_PATH)) and exchange.method in (b"GET", b"DELETE")
        if accesses_batch and not self._accepts(MAX_BATCH_CALL_S):
            exchange.refuse(ErrorKind.NOT_READY, STOPPING_RETRY_AFTER_US)
        elif accesses_batch and (route is None or route.kind == "batch"):
            self._tasks.start(self._read_or_end_batch(exchange), exchange.abort)
        elif route is None:
            exchange.respond(HTTP_STATUS[ErrorKind.UNKNOWN])
        elif not is_origin_form(exchange.url):
            exchange.respond(HTTP_STATUS[ErrorKind.INVALID])
        elif not self._accepts(MAX_BATCH_CALL_S if route.kind == "batch" else time_left_s(exchange, route)):
            exchange.refuse(ErrorKind.NOT_READY, STOPPING_RETRY_AFTER_US)
        elif route.kind == "batch":
            self._tasks.start(self._submit_job(exchange, route), exchange.abort)
        elif (tenant := self._spending.tenant_of(route.name)) is not None:
            self._tasks.start(self._charge_and_forward(exchange, route, tenant), exchange.abort)
        else:
            self._forward(exchange, route, ClientSink(exchange))

    async def _charge_and_forward(self, exchange: ClientExchange, route: Route, tenant: str) -> None:
        """Forward a request of a tenant with a spending cap once its tokens are charged."""
        tokens = sum(token_usage(exchange.headers.get(b"token-usage", b"").decode("latin-1")))
        started_at = self.now()
        charge = await self._spending.charge(tenant, tokens)
        exchange.held_s += self.now() - started_at
        if exchange.finished:  # the client disconnected meanwhile
            if charge is ChargeResult.PAID:
                self._spending.refund(tenant, tokens)
        elif charge is ChargeResult.PAID:
            self._forward(
                exchange, route, RefundingSink(exchange, partial(self._spending.refund, tenant, tokens))
            )
        elif charge is ChargeResult.EXHAUSTED:
            exchange.refuse(ErrorKind.NO_ROOM, EXHAUSTED_RETRY_AFTER_US)
        else:
            exchange.refuse(ErrorKind.NOT_READY, STARTING_RETRY_AFTER_US)

    def _forward(self, exchange: ClientExchange, route: Route, sink: ClientSink) -> None:
        found = self.route_for(route.name)
        if found is None:
            sink.refuse(ErrorKind.NOT_READY, STARTING_RETRY_AFTER_US)
            return
        # Of the newest configuration, which may have changed while the tokens were charged.
        route, admission = found
        headers = exchange.headers
        due_us = admission.now_us() + int(max(0.001, time_left_s(exchange, route) - TIMEOUT_MARGIN_S) * 1e6)
        last_event_id = parse_event_id(headers.get(b"last-event-id", b""))
        forwarded = [
            pair for pair in headers.items() if last_event_id == NO_EVENT_ID or pair[0] != b"last-event-id"
        ]
        head = request_head(exchange.method, exchange.url, forwarded, exchange.body)
        request_id = headers.get(b"request-id", b"")
        usage = token_usage(headers.get(b"token-usage", b"").decode("latin-1"))
        call = Call(
            f"{next(self._call_numbers)}", route, request_id, (head, exchange.body), due_us,
            exchange.client_address, usage, sink,
        )  # fmt: skip
        call.last_event_id = last_event_id

        def on_client_gone(_: Exchange) -> None:
            admission.abandon(call)

        exchange.on_disconnect = on_client_gone
        admission.submit(call)

    # --- batch ---

    async def _submit_job(self, exchange: ClientExchange, route: Route) -> None:
        request_id = exchange.headers.get(b"request-id", b"")
        if exchange.method != b"POST" or not request_id:
            exchange.respond(HTTP_STATUS[ErrorKind.INVALID])
            return
        answer = await self._item_runner.submit(name_of_id(request_id), route.name, exchange.body)
        self._send_answer(exchange, answer)

    async def _read_or_end_batch(self, exchange: ClientExchange) -> None:
        path, _, query = exchange.url.partition(b"?")
        reads_body = path.startswith(ITEMS_PATH)
        job = name_in_path(path.removeprefix(ITEMS_PATH if reads_body else LOTS_PATH))
        if job is None:
            exchange.respond(HTTP_STATUS[ErrorKind.UNKNOWN])
            return
        if reads_body:
            answer = await self._read_body(job, query)
        elif exchange.method == b"DELETE":
            answer = await self._item_runner.end(job)
            self._send_answer(exchange, answer)
            return
        else:
            wait_ms = min(MAX_RESULT_WAIT_MS, max(0.0, _parse_number(exchange.headers.get(b"wait-ms"), 0.0)))
            start = _parse_position(parse_qs(query.decode("latin-1")).get("start_after", ["0"])[0])
            answer = await self._item_runner.read(job, start, int(wait_ms))
        if answer.status == HTTP_STATUS[ErrorKind.UNCERTAIN]:  # a read can simply be retried
            answer = Answer(answer.call, HTTP_STATUS[ErrorKind.NOT_READY])
        self._send_answer(exchange, answer)

    async def _read_body(self, job: str, query: bytes) -> Answer:
        """The body of the item that a query names."""
        for item in items_in_query(query):
            answer = await self._item_runner.body(job, item)
            if answer.status != HTTP_STATUS[ErrorKind.UNKNOWN]:
                break
        return answer

    @staticmethod
    def _send_answer(exchange: ClientExchange, answer: Answer) -> None:
        exchange.respond(answer.status, answer.body, JSON_HEADER)

    def metrics(self) -> list[str]:
        """Metrics of this sidecar, one per line."""
        lines = [f"ready {self.ready():d}", f"draining {self.draining:d}"]
        lines += [
            f"early_held {len(self._early_requests)}",
            f"early_held_total {self._early_requests.held_total}",
            f"early_refused_total {self._early_requests.expired_total}",
        ]
        lines += [f"generation {self.tables.configuration.generation}"]
        for name, admission in self._admissions.items():
            lines += [metric_line(metric, value, service=name) for metric, value in admission.metrics()]
        return lines + self._item_runner.metrics() + TRAFFIC.metric_lines() + WIRE_COUNTS.metric_lines()

    # --- shutdown ---

    @property
    def is_idle(self) -> bool:
        """Whether no request is unanswered and no item result is unstored."""
        return (
            len(self._tasks) == 0
            and self._item_runner.unstored == 0
            and not self._early_requests
            and not any(a.busy for a in self._admissions.values())
        )

    def time_out_pending(self) -> None:
        """Answer all pending calls with a timeout; the process exits next."""
        for admission in self._admissions.values():
            admission.time_out_all()

    def drain(self, grace_s: float) -> Drain:
        """Begin to drain: accept only requests that can finish in time, and return all items."""
        self._drain = Drain(self.now(), grace_s)
        for held in self._early_requests.take_all():
            held.request.on_disconnect = None
            held.request.refuse(ErrorKind.NOT_READY, STOPPING_RETRY_AFTER_US)
        self._spending.return_unspent()
        self._item_runner.return_all_items()
        return self._drain


def time_left_s(exchange: ClientExchange, route: Route) -> float:
    """Remaining time of a request: the lesser of route and client timeout, less the time it was held."""
    client_timeout_ms = _parse_number(exchange.headers.get(b"timeout-ms"), route.timeout_ms)
    return min(client_timeout_ms, route.timeout_ms) / 1000 - exchange.held_s


def _parse_position(text: str) -> int:
    """A position in a job's results; 0 if it is not a number, and at most MAX_POSITION."""
    if not text.isdecimal():
        return 0
    return int(text) if len(text) < len(str(MAX_POSITION)) else MAX_POSITION


def _parse_number(text: bytes | None, default: float) -> float:
    try:
        value = float(text) if text else default
    except ValueError:
        return default
    return default if math.isnan(value) else value
