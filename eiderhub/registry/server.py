"""HTTP server of the list service: connects callers to the core and its store.

All decisions on records are made by `Core`; this module does the I/O.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar
from urllib.parse import parse_qs, urlsplit

import msgspec
import structlog

from eiderhub.address import parse_host_port
from eiderhub.documents import DocumentError, convert
from eiderhub.http1 import ConnectionLimits, Exchange, ServerConnection
from eiderhub.interface import Readiness
from eiderhub.registry import api
from eiderhub.registry.config import RegistryConfig, ServeSettings
from eiderhub.registry.core import Core, Decision, LogEvent, Refusal, entry_in_view, is_ready
from eiderhub.registry.records import (
    Change,
    DiscoveryResponse,
    Entry,
    Gone,
    Group,
    Image,
    Key,
    Ordered,
    OrderOver,
    Put,
    ZoneShare,
    zone_key,
)
from eiderhub.registry.store import Contents, Store
from eiderhub.registry.watches import Watches

LEASE_CHECK_INTERVAL_S = 0.25
MAX_EXCESS_CONNECTIONS = 64  # connections over the limit that get a 503; further ones are aborted
LISTEN_BACKLOG = 1024
MAX_CACHED_RESPONSES = 64
BUSY_RETRY_AFTER_S = 1.0  # Retry-After of answers that a limit caused
SNAPSHOT_RETRY_DELAY_S = 30.0  # after a failed snapshot
log = structlog.get_logger()
T = TypeVar("T")


def now_us() -> int:
    return time.monotonic_ns() // 1000


class PendingWrite:
    """A queued write request; `key` identifies the record or zone order that it changes."""

    __slots__ = ("decide", "exchange", "key")

    def __init__(self, exchange: Exchange, key: Key, decide: Callable[[int], Decision]) -> None:
        self.exchange = exchange
        self.key = key
        self.decide = decide


class ListRequest:
    """A request for an endpoint list, possibly a long poll."""

    __slots__ = ("after", "branch", "exchange", "group", "view")

    def __init__(self, exchange: Exchange, group: Group, view: str, after: int | None, branch: str) -> None:
        self.exchange = exchange
        self.group = group
        self.view = view
        self.after = after
        self.branch = branch  # IDENTITY/BRANCH of `after`; empty for plain discovery clients


def recover_core(core: Core, contents: Contents) -> None:
    """Rebuild the core from the snapshot and log of the store. Every lease restarts in full.

    Raises:
        ValueError: a payload can't be decoded; the text has its sequence number.
    """
    sequence = 0
    try:
        if contents.snapshot is not None:
            sequence = contents.snapshot.sequence
            core.restore(now_us(), msgspec.json.decode(contents.snapshot.payload, type=Image))
        for frame in contents.frames:
            sequence = frame.sequence
            core.apply(now_us(), msgspec.json.decode(frame.payload, type=Change))
    except (msgspec.DecodeError, ValueError) as error:
        raise ValueError(f"entry {sequence}: {error}") from None


class RegistryServer:
    """Serves requests. Without a store it is a follower, whose core `Follower` keeps up to date."""

    def __init__(self, config: RegistryConfig, core: Core, store: Store | None) -> None:
        self.config = config
        self.core = core
        self._store = store
        self._limits = config.limits
        self._connection_limits = ConnectionLimits(
            config.limits.body_bytes, config.limits.unsent_bytes, config.limits.reader_s
        )
        self._connections: set[ServerConnection] = set()
        self._listeners: list[asyncio.Server] = []
        self._watches: Watches[ListRequest] = Watches()
        # Feed requests of followers that wait for changes, each with its version and time-out.
        self._waiting_feeds: dict[Exchange, tuple[int, asyncio.TimerHandle]] = {}
        self._watch_timer: asyncio.TimerHandle | None = None
        self._pending_writes: list[PendingWrite] = []
        self._flush_task: asyncio.Task[None] | None = None
        self._store_executor = ThreadPoolExecutor(1, "store")
        self._response_cache: dict[tuple[Group, str, int | None, int], bytes] = {}
        self._next_snapshot_s = 0.0  # earliest monotonic time of the next snapshot
        self._settled_at_us = 0
        # When a follower's list was last known to match the main service's; None if it has no list.
        self.as_of_us: int | None = None
        self.main_address = ""
        self.store_error = ""  # why the last append failed; empty if it succeeded
        self._counters = {"writes": 0, "syncs": 0, "refused": 0}
        self._background_tasks: list[asyncio.Task[None]] = []

    @property
    def is_follower(self) -> bool:
        return self._store is None

    # --- lifecycle ---

    async def open(self) -> None:
        """Start listening and serving.

        Raises:
            OSError: an address can't be bound.
        """
        loop = asyncio.get_running_loop()
        default_serve = ServeSettings(
            listen=self.config.listen, service=self.config.service, tier=self.config.tier
        )
        for serve in (default_serve, *self.config.serve):
            address = parse_host_port(serve.listen)
            listener = await loop.create_server(
                self._connection_factory(serve),
                address.host,
                address.port,
                backlog=LISTEN_BACKLOG,
                start_serving=False,
            )
            self._listeners.append(listener)
        if self._store is not None:
            await self._begin_branch()
            self._background_tasks.append(loop.create_task(self._check_leases()))
        for listener in self._listeners:
            await listener.start_serving()

    async def _begin_branch(self) -> None:
        assert self._store is not None
        self._settled_at_us = now_us() + int(self._limits.settle_s * 1e6)
        if self._store.sequence == 0:
            # Make the identity of a new store durable before any client can see it.
            await self._run_in_store_thread(self._store.snapshot, msgspec.json.encode(self.core.image()))
        opened = self.core.open_branch(now_us())
        await self._run_in_store_thread(self._store.append, [msgspec.json.encode(opened)])
        self.core.apply(now_us(), opened)

    async def _run_in_store_thread(self, function: Callable[..., T], *arguments: Any) -> T:
        return await asyncio.get_running_loop().run_in_executor(self._store_executor, function, *arguments)

    async def close(self) -> None:
        """Wait for running writes to finish, then close all connections."""
        for task in self._background_tasks:
            task.cancel()
        for listener in self._listeners:
            listener.close()
        while self._flush_task is not None:
            await self._flush_task
        if self._watch_timer is not None:
            self._watch_timer.cancel()
        for connection in list(self._connections):
            connection.transport.close()
        self._store_executor.shutdown()

    def _connection_factory(self, serve: ServeSettings) -> Callable[[], ServerConnection]:
        group = Group(serve.service, serve.tier)

        def on_exchange(exchange: Exchange) -> None:
            self._handle_exchange(exchange, group, serve.view)

        def create_connection() -> ServerConnection:
            return ServerConnection(
                on_exchange, now_us, self._connections, self._on_connection, self._connection_limits
            )

        return create_connection

    def _on_connection(self, connection: ServerConnection) -> None:
        excess = len(self._connections) - self._limits.callers
        if excess > MAX_EXCESS_CONNECTIONS:
            connection.transport.abort()
        elif excess > 0:
            self._counters["refused"] += 1
            connection.refuse(503, (b"Retry-After", b"%.3f" % BUSY_RETRY_AFTER_S))

    # --- request handling ---

    def _handle_exchange(self, exchange: Exchange, group: Group, view: str) -> None:
        target = urlsplit(exchange.url.decode("latin-1"))
        routes: dict[str, tuple[bytes, Callable[..., None]]] = {
            api.LIST_PATH: (b"GET", self._handle_list),
            api.FEED_PATH: (b"GET", self._handle_feed),
            api.STATUS_PATH: (b"GET", self._handle_status),
            api.PUT_PATH: (b"POST", self._handle_put),
            api.DRAIN_PATH: (b"POST", self._handle_drain),
            api.REMOVE_PATH: (b"POST", self._handle_remove),
            api.RENEW_PATH: (b"POST", self._handle_renew),
            api.ZONE_PATH: (b"POST", self._handle_zone),
            api.ZONES_PATH: (b"GET", self._handle_zones),
        }
        route = routes.get(target.path)
        if route is None:
            self._respond(
                exchange, 404, api.WriteResponse(why=f"unknown path; available: {', '.join(routes)}")
            )
        elif exchange.method != route[0]:
            self._respond(exchange, 405, api.WriteResponse(why=f"{route[0].decode()} only"))
        elif route[0] == b"GET":
            try:
                query = {name: values[-1] for name, values in parse_qs(target.query).items()}
                route[1](exchange, _Query(query, group, view))
            except _QueryError as error:
                self._respond(exchange, 400, api.WriteResponse(why=str(error)))
        elif self.is_follower:
            why = (
                f"this is a follower; the main service is at "
                f"{self.main_address or ', '.join(self.config.follow)}"
            )
            self._respond(exchange, 421, api.WriteResponse(why=why))
        else:
            route[1](exchange)

    def _respond(self, exchange: Exchange, status: int, body: Any, retry_after_s: float = 0.0) -> None:
        headers = [(b"Content-Type", b"application/json"), (b"Registry-Id", self.core.identity.encode())]
        if retry_after_s:
            headers.append((b"Retry-After", b"%.3f" % retry_after_s))
        exchange.respond(status, msgspec.json.encode(body), *headers)

    def _respond_busy(self, exchange: Exchange, why: str) -> None:
        self._counters["refused"] += 1
        self._respond(exchange, 503, api.WriteResponse(why=why), BUSY_RETRY_AFTER_S)

    def _decode_body(self, exchange: Exchange, body_type: type[T]) -> T | None:
        """Decode the body of a write request; answers 400 and returns None if it is invalid."""
        try:
            return convert(msgspec.json.decode(exchange.body), body_type)
        except DocumentError as error:
            self._respond(exchange, 400, api.WriteResponse(why="; ".join(error.fault_lines()[:5])))
        except (msgspec.DecodeError, RecursionError) as error:
            self._respond(exchange, 400, api.WriteResponse(why=f"body is not valid JSON: {error}"))
        return None

    # --- writes ---

    def _handle_put(self, exchange: Exchange) -> None:
        request = self._decode_body(exchange, api.PutRequest)
        if request is not None:
            record, if_version = request.record, request.if_version
            self._enqueue_write(
                PendingWrite(exchange, record.key, lambda now: self.core.put(now, record, if_version))
            )

    def _handle_drain(self, exchange: Exchange) -> None:
        request = self._decode_body(exchange, api.RecordRequest)
        if request is not None:
            key, owner, if_version, undo = (
                _record_key(request),
                request.owner,
                request.if_version,
                request.undo,
            )
            self._enqueue_write(
                PendingWrite(exchange, key, lambda now: self.core.drain(now, key, owner, if_version, undo))
            )

    def _handle_remove(self, exchange: Exchange) -> None:
        request = self._decode_body(exchange, api.RecordRequest)
        if request is not None:
            key, owner, if_version = _record_key(request), request.owner, request.if_version
            self._enqueue_write(
                PendingWrite(exchange, key, lambda now: self.core.remove(now, key, owner, if_version))
            )

    def _handle_renew(self, exchange: Exchange) -> None:
        request = self._decode_body(exchange, api.RenewRequest)
        if request is None:
            return
        now = now_us()
        refusals = [
            self.core.renew(now, _record_key(reference), reference.owner or "")
            for reference in request.records
        ]
        self._respond(
            exchange,
            200,
            api.RenewResponse(
                statuses=[200 if refusal is None else refusal.status for refusal in refusals],
                why=["" if refusal is None else refusal.reason for refusal in refusals],
            ),
        )

    def _handle_zone(self, exchange: Exchange) -> None:
        request = self._decode_body(exchange, api.ZoneOrderRequest)
        if request is None:
            return
        order, over, force = request.order, request.over, request.force
        if order is not None:
            self._enqueue_write(
                PendingWrite(exchange, order.key, lambda now: self.core.set_order(now, order, force))
            )
        elif over is not None:
            key = zone_key(over.service, over.zone)
            self._enqueue_write(
                PendingWrite(exchange, key, lambda _: self.core.end_order(over.service, over.zone))
            )

    def _enqueue_write(self, write: PendingWrite) -> None:
        if len(self._pending_writes) >= self._limits.writes:
            self._respond_busy(write.exchange, "too many writes are queued")
            return
        self._pending_writes.append(write)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._flush_task is None:
            self._flush_task = asyncio.get_running_loop().create_task(self._flush())
            self._flush_task.add_done_callback(self._on_flush_done)

    def _on_flush_done(self, task: asyncio.Task[None]) -> None:
        self._flush_task = None
        if not task.cancelled() and task.exception() is not None:
            log.error("writing changes failed unexpectedly", exc_info=task.exception())
        if self._pending_writes:
            self._schedule_flush()

    async def _flush(self) -> None:
        """Decide the queued writes, make them durable with one append, then apply and answer them."""
        await asyncio.sleep(0)  # includes writes that arrive in the same event loop iteration
        now = now_us()
        changes, log_events = self.core.decide_expiries(now)
        self._log_events(log_events)
        queued, self._pending_writes = self._pending_writes, []
        decided: list[tuple[PendingWrite, Decision]] = []
        for write in queued:
            if write.key in self.core.pending:
                self._pending_writes.append(write)  # until the pending change of this record is applied
                continue
            decision = write.decide(now)
            if decision.change is not None:
                changes.append(decision.change)
                decided.append((write, decision))
            else:
                self._respond_to_write(write, decision)
        if changes and not await self._append(changes):
            refusal = Refusal(
                503, f"the store does not accept writes: {self.store_error}", int(BUSY_RETRY_AFTER_S * 1e6)
            )
            for write, _ in decided:
                self._respond_to_write(write, Decision(refusal=refusal))
            return
        for write, decision in decided:
            self._respond_to_write(write, decision)
        await self._write_snapshot()

    @staticmethod
    def _log_events(events: list[LogEvent]) -> None:
        for event in events:
            log.info(event.event, **event.fields)

    async def _append(self, changes: list[Change]) -> bool:
        assert self._store is not None
        payloads = [msgspec.json.encode(change) for change in changes]
        try:
            await self._run_in_store_thread(self._store.append, payloads)
        except OSError as error:
            self.core.discard_pending(changes)
            reason = error.strerror or str(error)
            if reason != self.store_error:
                log.error("store write failed; writes are refused, lists are still served", reason=reason)
            self.store_error = reason
            return False
        if self.store_error:
            log.info("store accepts writes again")
            self.store_error = ""
        self._counters["writes"] += len(changes)
        self._counters["syncs"] += 1
        self.apply(changes)
        return True

    def apply(self, changes: list[Change]) -> None:
        """Apply durable changes and answer the requests that wait for them."""
        now = now_us()
        for change in changes:
            self.core.apply(now, change)
            group = _changed_group(change)
            if group is not None:
                # A zone order affects the lists of all tiers of its service.
                for changed_group in [group] if group.tier else self._watches.waiting_groups(group.service):
                    self._watches.mark_changed(now, changed_group)
        for exchange in list(self._waiting_feeds):
            self._respond_to_waiting_feed(exchange)
        self._schedule_watch_timer()

    def image_restored(self) -> None:
        """Answer all watches after the core has been restored from an image; any list may have changed."""
        self._response_cache.clear()
        now = now_us()
        for group in self.core.groups:
            self._watches.mark_changed(now, group)
        self._schedule_watch_timer()

    def _respond_to_write(self, write: PendingWrite, decision: Decision) -> None:
        refusal = decision.refusal
        if refusal is None:
            self._respond(write.exchange, 200, api.WriteResponse(version=decision.version))
            return
        response = api.WriteResponse(version=refusal.version, why=refusal.reason)
        self._respond(write.exchange, refusal.status, response, refusal.retry_us / 1e6)

    async def _write_snapshot(self) -> None:
        assert self._store is not None
        if not self._store.needs_snapshot or time.monotonic() < self._next_snapshot_s:
            return
        image = self.core.image()
        try:
            await self._run_in_store_thread(
                lambda store: store.snapshot(msgspec.json.encode(image)), self._store
            )
            log.info("snapshot", version=image.version)
        except OSError as error:
            self._next_snapshot_s = time.monotonic() + SNAPSHOT_RETRY_DELAY_S
            log.error("writing a snapshot failed; the log keeps growing", reason=error.strerror or str(error))

    async def _check_leases(self) -> None:
        """Expire leases periodically, independent of incoming requests."""
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            self._log_events(self.core.detect_pause(now_us()))
            self._schedule_flush()

    # --- reads ---

    def _handle_list(self, exchange: Exchange, query: _Query) -> None:
        group = Group(query.text("service", query.group.service), query.text("tier", query.group.tier))
        after = query.number("after")
        wait_ms = min(api.MAX_WAIT_MS, query.number("wait_ms") or 0)
        branch = exchange.headers.get(b"registry-branch", b"").decode("latin-1")
        request = ListRequest(exchange, group, query.text("view", query.view), after, branch)
        if self.is_follower and self.as_of_us is None:
            self._respond_busy(exchange, "this follower has not received a list yet")
            return
        if self.is_follower and self._caller_is_ahead(request):
            self._respond_busy(exchange, "this follower is behind the version that the caller has")
            return
        if not self.is_follower and after is not None and not self._continues_ours(request):
            self.core.report_lost_version(branch.partition("/")[0], after)
        if not branch and (after or 0) > self.core.version and now_us() < self._settled_at_us:
            # The caller has a newer list than the store, which was set back to an older state. Endpoints are
            # still registering again; an answer now would make the caller drop live ones.
            self._respond_busy(
                exchange, "the service has restarted and is waiting for endpoints to register again"
            )
            return
        can_wait = after is not None and 0 < after <= self.core.version and self._continues_ours(request)
        if can_wait and wait_ms:
            if len(self._watches) >= self._limits.watches:
                self._respond_busy(exchange, "too many watches")
                return
            now = now_us()
            ticket = self._watches.add(request, group, now + wait_ms * 1000)
            if (after or 0) < self.core.latest_version(group):
                self._watches.mark_changed(now, group)
            exchange.on_disconnect = lambda _: self._watches.remove(ticket, group)
            self._schedule_watch_timer()
        else:
            self._respond_with_list(request)

    def _continues_ours(self, request: ListRequest) -> bool:
        if not request.branch:
            return True
        identity, _, branch = request.branch.partition("/")
        return identity == self.core.identity and self.core.contains_version(branch, request.after or 0)

    def _caller_is_ahead(self, request: ListRequest) -> bool:
        """Whether the caller has a newer list than this follower, which then has nothing to offer it."""
        identity = request.branch.partition("/")[0]
        if request.after is None or (identity and identity != self.core.identity):
            return False
        return request.after > self.core.version or not self._continues_ours(request)

    def _respond_with_list(self, request: ListRequest) -> None:
        request.exchange.on_disconnect = None
        continues = self._continues_ours(request)
        after = request.after if continues else None
        cache_key = (request.group, request.view, after, self.core.version)
        body = self._response_cache.get(cache_key)
        if body is None:
            update = self.core.update_since(request.group, after)
            entries: list[Entry] = [entry_in_view(item, request.view) for item in update.items]
            service = request.group.service
            orders = self.core.orders.for_service(service)
            response = DiscoveryResponse(
                generation=update.version,
                reset=update.is_full,
                instances=entries,
                regions=self.core.regions.get(service, {}),
                orders=[
                    ZoneShare(zone=order.zone, share=order.share, until_ms=order.until_ms) for order in orders
                ],
            )
            body = msgspec.json.encode(response)
            if len(self._response_cache) >= MAX_CACHED_RESPONSES:
                del self._response_cache[next(iter(self._response_cache))]
            self._response_cache[cache_key] = body
        headers = [
            (b"Content-Type", b"application/json"),
            (b"Registry-Id", self.core.identity.encode()),
            (b"Registry-Branch", self.core.branch.encode()),
            (b"Registry-Continues", b"%d" % continues),
            (b"Registry-Age-Ms", b"%d" % self.age_ms),
            (b"Registry-Callers", b"%d" % len(self._connections)),
        ]
        request.exchange.respond(200, body, *headers)

    @property
    def age_ms(self) -> int:
        """Upper bound on the age of a list that is served now."""
        return 0 if self.as_of_us is None else -(-(now_us() - self.as_of_us) // 1000)

    def _schedule_watch_timer(self) -> None:
        """Set the timer to the time when the next watch is due."""
        due = self._watches.next_due_us()
        if self._watch_timer is not None:
            self._watch_timer.cancel()
            self._watch_timer = None
        if due is not None:
            delay_s = max(0, due - now_us()) / 1e6
            self._watch_timer = asyncio.get_running_loop().call_later(delay_s, self._on_watch_timer)

    def _on_watch_timer(self) -> None:
        self._watch_timer = None
        for request in self._watches.take_due(now_us()):
            self._respond_with_list(request)
        self._schedule_watch_timer()

    def _handle_feed(self, exchange: Exchange, query: _Query) -> None:
        after = query.number("after") or 0
        wait_ms = min(api.MAX_WAIT_MS, query.number("wait_ms") or 0)
        identity, _, branch = exchange.headers.get(b"registry-branch", b"").decode("latin-1").partition("/")
        if self.is_follower:
            self._respond(exchange, 421, api.WriteResponse(why="this is a follower"))
            return
        if identity != self.core.identity or not self.core.contains_version(branch, after):
            after = -1
        if after == self.core.version and wait_ms and len(self._waiting_feeds) < self._limits.watches:
            loop = asyncio.get_running_loop()
            timer = loop.call_later(wait_ms / 1000, self._respond_to_waiting_feed, exchange)
            self._waiting_feeds[exchange] = (after, timer)
            exchange.on_disconnect = self._on_feed_disconnect
        else:
            self._respond_with_feed(exchange, after)

    def _on_feed_disconnect(self, exchange: Exchange) -> None:
        self._waiting_feeds.pop(exchange)[1].cancel()

    def _respond_to_waiting_feed(self, exchange: Exchange) -> None:
        after, timer = self._waiting_feeds.pop(exchange)
        timer.cancel()
        exchange.on_disconnect = None
        self._respond_with_feed(exchange, after)

    def _respond_with_feed(self, exchange: Exchange, after: int) -> None:
        changes = self.core.changes_after(after) if after >= 0 else None
        image = self.core.image() if changes is None else None
        response = api.FeedResponse(
            identity=self.core.identity, version=self.core.version, changes=changes or [], image=image
        )
        self._respond(exchange, 200, response)

    def _handle_zones(self, exchange: Exchange, query: _Query) -> None:
        service = query.text("service", query.group.service)
        records = [r for r in self.core.records.values() if r.service == service]
        orders = {order.zone: order for order in self.core.orders.for_service(service)}
        states = []
        for zone in sorted({r.entry.zone for r in records} | orders.keys()):
            zone_records = [r for r in records if r.entry.zone == zone]
            states.append(
                api.ZoneState(
                    zone=zone,
                    region=self.core.regions.get(service, {}).get(zone, ""),
                    ready=sum(map(is_ready, zone_records)),
                    listed=len(zone_records),
                    order=orders.get(zone),
                )
            )
        response = api.ZonesResponse(version=self.core.version, age_ms=self.age_ms, zones=states)
        self._respond(exchange, 200, response)

    def _handle_status(self, exchange: Exchange, query: _Query) -> None:
        core = self.core
        draining_count = sum(r.entry.lifecycle is Readiness.DRAINING for r in core.records.values())
        self._respond(
            exchange,
            200,
            api.StatusResponse(
                role="follower" if self.is_follower else "main",
                identity=core.identity,
                branch=core.branch,
                version=core.version,
                records=len(core.records),
                draining=draining_count,
                tombstones=len(core.tombstones),
                callers=len(self._connections),
                watches=len(self._watches),
                age_ms=self.age_ms,
                main=self.main_address,
                store_failing=self.store_error,
                **self._counters,
            ),
        )


class _QueryError(ValueError):
    """An invalid query parameter; the text is sent to the caller."""


class _Query:
    """Query parameters of a GET request, with the defaults of the address that received it."""

    def __init__(self, values: dict[str, str], group: Group, view: str) -> None:
        self._values = values
        self.group = group
        self.view = view

    def number(self, name: str) -> int | None:
        text = self._values.get(name)
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()) or len(text) > 18:
            raise _QueryError(f"{name}: must be a non-negative integer, not {text[:40]!r}")
        return int(text)

    def text(self, name: str, default: str) -> str:
        return self._values.get(name, default)


def _record_key(reference: api.RecordReference) -> Key:
    return Key(reference.service, reference.tier, reference.id)


def _changed_group(change: Change) -> Group | None:
    if isinstance(change, Put):
        return change.record.key.group
    return change.key.group if isinstance(change, Gone | Ordered | OrderOver) else None


def create_core(config: RegistryConfig) -> Core:
    offset_us = time.time_ns() // 1000 - now_us()
    return Core(random.SystemRandom(), config.limits.history, config.limits.records, offset_us)
