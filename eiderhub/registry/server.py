"""The list service on sockets: the core, its store, and those who call. It decides nothing itself."""

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
from eiderhub.registry import calls
from eiderhub.registry.config import Document, Serve
from eiderhub.registry.core import Core, Decision, Refusal, Told, is_ready, listed
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

LOOK_S = 0.25  # how often leases are looked at
EXCESS = 64  # callers past the bound, to be told so
BACKLOG = 1024
CACHED = 64  # encoded answers that are kept
BUSY_S = 1.0  # Retry-After where a bound is reached
SNAPSHOT_AGAIN_S = 30.0  # after one that failed
log = structlog.get_logger()
T = TypeVar("T")


def now_us() -> int:
    return time.monotonic_ns() // 1000


class Write:
    """A call that waits for its turn and for the disk; `key` is the record that it is about."""

    __slots__ = ("decide", "exchange", "key")

    def __init__(self, exchange: Exchange, key: Key, decide: Callable[[int], Decision]) -> None:
        self.exchange = exchange
        self.key = key
        self.decide = decide


class Ask:
    """A call for a list."""

    __slots__ = ("after", "branch", "exchange", "group", "view")

    def __init__(self, exchange: Exchange, group: Group, view: str, after: int | None, branch: str) -> None:
        self.exchange = exchange
        self.group = group
        self.view = view
        self.after = after
        self.branch = branch  # of that version; empty: a plain caller of the platform


def recover(core: Core, contents: Contents) -> None:
    """Bring the core to where the store ends. Leases begin anew.

    Raises:
        ValueError: for a payload that is none, with its number.
    """
    number = 0
    try:
        if contents.snapshot is not None:
            number = contents.snapshot.sequence
            core.restore(now_us(), msgspec.json.decode(contents.snapshot.payload, type=Image))
        for frame in contents.frames:
            number = frame.sequence
            core.apply(now_us(), msgspec.json.decode(frame.payload, type=Change))
    except (msgspec.DecodeError, ValueError) as error:
        raise ValueError(f"entry {number}: {error}") from None


class Service:
    """Answers callers. With a store it is the main service; without one `follow` must feed the core."""

    def __init__(self, config: Document, core: Core, store: Store | None) -> None:
        self.config = config
        self.core = core
        self._store = store
        self._limits = config.limits
        self._bounds = ConnectionLimits(
            config.limits.body_bytes, config.limits.unsent_bytes, config.limits.reader_s
        )
        self._connections: set[ServerConnection] = set()
        self._listeners: list[asyncio.Server] = []
        self._watches: Watches[Ask] = Watches()
        self._feeds: dict[
            Exchange, tuple[int, asyncio.TimerHandle]
        ] = {}  # followers that wait, with their version
        self._timer: asyncio.TimerHandle | None = None
        self._writes: list[Write] = []
        self._flushing: asyncio.Task[None] | None = None
        self._disk = ThreadPoolExecutor(1, "store")
        self._encoded: dict[tuple[Group, str, int | None, int], bytes] = {}
        self._snapshot_s = 0.0  # not before
        self._settled_us = 0
        self.as_of_us: int | None = None  # a follower's list was the main's then; None: it has none
        self.main = ""
        self.failing = ""  # why the store takes nothing
        self._tally = {"writes": 0, "syncs": 0, "refused": 0}
        self._chores: list[asyncio.Task[None]] = []

    @property
    def follows(self) -> bool:
        return self._store is None

    # --- its life ---

    async def open(self) -> None:
        """Listen and serve.

        Raises:
            OSError: an address can't be taken.
        """
        loop = asyncio.get_running_loop()
        plain = Serve(listen=self.config.listen, service=self.config.service, tier=self.config.tier)
        for serve in (plain, *self.config.serve):
            address = parse_host_port(serve.listen)
            listener = await loop.create_server(
                self._connected(serve), address.host, address.port, backlog=BACKLOG, start_serving=False
            )
            self._listeners.append(listener)
        if self._store is not None:
            await self._begin_branch()
            self._chores.append(loop.create_task(self._look()))
        for listener in self._listeners:
            await listener.start_serving()

    async def _begin_branch(self) -> None:
        assert self._store is not None
        self._settled_us = now_us() + int(self._limits.settle_s * 1e6)
        if self._store.sequence == 0:
            # An empty store: its identity is durable before anybody hears of it.
            await self._in_thread(self._store.snapshot, msgspec.json.encode(self.core.image()))
        opened = self.core.open(now_us())
        await self._in_thread(self._store.append, [msgspec.json.encode(opened)])
        self.core.apply(now_us(), opened)

    async def _in_thread(self, work: Callable[..., T], *values: Any) -> T:
        return await asyncio.get_running_loop().run_in_executor(self._disk, work, *values)

    async def close(self) -> None:
        """Finish what is being written, and end every connection."""
        for chore in self._chores:
            chore.cancel()
        for listener in self._listeners:
            listener.close()
        while self._flushing is not None:
            await self._flushing
        if self._timer is not None:
            self._timer.cancel()
        for connection in list(self._connections):
            connection.transport.close()
        self._disk.shutdown()

    def _connected(self, serve: Serve) -> Callable[[], ServerConnection]:
        group = Group(serve.service, serve.tier)

        def came(exchange: Exchange) -> None:
            self._came(exchange, group, serve.view)

        def make() -> ServerConnection:
            return ServerConnection(came, now_us, self._connections, self._opened, self._bounds)

        return make

    def _opened(self, connection: ServerConnection) -> None:
        over = len(self._connections) - self._limits.callers
        if over > EXCESS:
            connection.transport.abort()
        elif over > 0:
            self._tally["refused"] += 1
            connection.refuse(503, (b"Retry-After", b"%.3f" % BUSY_S))

    # --- calls ---

    def _came(self, exchange: Exchange, group: Group, view: str) -> None:
        target = urlsplit(exchange.url.decode("latin-1"))
        routes: dict[str, tuple[bytes, Callable[..., None]]] = {
            calls.LIST: (b"GET", self._list),
            calls.FEED: (b"GET", self._feed),
            calls.STATUS: (b"GET", self._status),
            calls.PUT: (b"POST", self._put),
            calls.DRAIN: (b"POST", self._drain),
            calls.REMOVE: (b"POST", self._remove),
            calls.RENEW: (b"POST", self._renew),
            calls.ZONE: (b"POST", self._zone),
            calls.ZONES: (b"GET", self._zones),
        }
        found = routes.get(target.path)
        if found is None:
            self._tell(exchange, 404, calls.Done(why=f"no such call; there are {', '.join(routes)}"))
        elif exchange.method != found[0]:
            self._tell(exchange, 405, calls.Done(why=f"{found[0].decode()} only"))
        elif found[0] == b"GET":
            try:
                query = {name: values[-1] for name, values in parse_qs(target.query).items()}
                found[1](exchange, _Query(query, group, view))
            except _BadQuery as error:
                self._tell(exchange, 400, calls.Done(why=str(error)))
        elif self.follows:
            why = f"this is a follower; the main service is at {self.main or ', '.join(self.config.follow)}"
            self._tell(exchange, 421, calls.Done(why=why))
        else:
            found[1](exchange)

    def _tell(self, exchange: Exchange, status: int, what: Any, retry_s: float = 0.0) -> None:
        headers = [(b"Content-Type", b"application/json"), (b"Registry-Id", self.core.identity.encode())]
        if retry_s:
            headers.append((b"Retry-After", b"%.3f" % retry_s))
        exchange.respond(status, msgspec.json.encode(what), *headers)

    def _busy(self, exchange: Exchange, why: str) -> None:
        self._tally["refused"] += 1
        self._tell(exchange, 503, calls.Done(why=why), BUSY_S)

    def _read(self, exchange: Exchange, kind: type[T]) -> T | None:
        """The body of a write; None where it is answered already."""
        try:
            return convert(msgspec.json.decode(exchange.body), kind)
        except DocumentError as error:
            self._tell(exchange, 400, calls.Done(why="; ".join(error.fault_lines()[:5])))
        except (msgspec.DecodeError, RecursionError) as error:
            self._tell(exchange, 400, calls.Done(why=f"no JSON: {error}"))
        return None

    # --- writes ---

    def _put(self, exchange: Exchange) -> None:
        call = self._read(exchange, calls.PutCall)
        if call is not None:
            record, if_version = call.record, call.if_version
            self._queue(Write(exchange, record.key, lambda now: self.core.put(now, record, if_version)))

    def _drain(self, exchange: Exchange) -> None:
        call = self._read(exchange, calls.RecordCall)
        if call is not None:
            key, owner, at, undo = _key(call), call.owner, call.if_version, call.undo
            self._queue(Write(exchange, key, lambda now: self.core.drain(now, key, owner, at, undo)))

    def _remove(self, exchange: Exchange) -> None:
        call = self._read(exchange, calls.RecordCall)
        if call is not None:
            key, owner, at = _key(call), call.owner, call.if_version
            self._queue(Write(exchange, key, lambda now: self.core.remove(now, key, owner, at)))

    def _renew(self, exchange: Exchange) -> None:
        call = self._read(exchange, calls.RenewCall)
        if call is None:
            return
        now = now_us()
        refusals = [self.core.renew(now, _key(named), named.owner or "") for named in call.records]
        self._tell(
            exchange,
            200,
            calls.Renewed(
                statuses=[200 if r is None else r.status for r in refusals],
                why=["" if r is None else r.why for r in refusals],
            ),
        )

    def _zone(self, exchange: Exchange) -> None:
        call = self._read(exchange, calls.ZoneCall)
        if call is None:
            return
        order, over, force = call.order, call.over, call.force
        if order is not None:
            self._queue(Write(exchange, order.key, lambda now: self.core.order(now, order, force)))
        elif over is not None:
            key = zone_key(over.service, over.zone)
            self._queue(Write(exchange, key, lambda _: self.core.end_order(over.service, over.zone)))

    def _queue(self, write: Write) -> None:
        if len(self._writes) >= self._limits.writes:
            self._busy(write.exchange, "too many writes wait for the disk")
            return
        self._writes.append(write)
        self._flush_soon()

    def _flush_soon(self) -> None:
        if self._flushing is None:
            self._flushing = asyncio.get_running_loop().create_task(self._flush())
            self._flushing.add_done_callback(self._flushed)

    def _flushed(self, task: asyncio.Task[None]) -> None:
        self._flushing = None
        if not task.cancelled() and task.exception() is not None:
            log.error("the service failed", exc_info=task.exception())
        if self._writes:
            self._flush_soon()

    async def _flush(self) -> None:
        """Decide what waits, make it durable in one go, then apply it and say so."""
        await asyncio.sleep(0)  # what comes in the same turn of the loop goes along
        now = now_us()
        changes, told = self.core.look(now)
        self._log(told)
        waiting, self._writes = self._writes, []
        made: list[tuple[Write, Decision]] = []
        for write in waiting:
            if write.key in self.core.pending:
                self._writes.append(write)  # after the one before it
                continue
            decision = write.decide(now)
            if decision.change is not None:
                changes.append(decision.change)
                made.append((write, decision))
            else:
                self._written(write, decision)
        if changes and not await self._append(changes):
            refusal = Refusal(503, f"the store takes nothing now: {self.failing}", int(BUSY_S * 1e6))
            for write, _ in made:
                self._written(write, Decision(refusal=refusal))
            return
        for write, decision in made:
            self._written(write, decision)
        await self._snapshot()

    @staticmethod
    def _log(told: list[Told]) -> None:
        for each in told:
            log.info(each.event, **each.fields)

    async def _append(self, changes: list[Change]) -> bool:
        assert self._store is not None
        payloads = [msgspec.json.encode(change) for change in changes]
        try:
            await self._in_thread(self._store.append, payloads)
        except OSError as error:
            self.core.withdraw(changes)
            why = error.strerror or str(error)
            if why != self.failing:
                log.error("the store takes nothing; lists are served on", reason=why)
            self.failing = why
            return False
        if self.failing:
            log.info("the store takes writes again")
            self.failing = ""
        self._tally["writes"] += len(changes)
        self._tally["syncs"] += 1
        self.apply(changes)
        return True

    def apply(self, changes: list[Change]) -> None:
        """Changes that are durable: carry them out, and wake who waits for them."""
        now = now_us()
        for change in changes:
            self.core.apply(now, change)
            group = _group(change)
            if group is not None:
                # An order on a zone is news for all tiers of its service.
                for told in [group] if group.tier else self._watches.waiting(group.service):
                    self._watches.changed(now, told)
        for exchange in list(self._feeds):
            self._feed_now(exchange)
        self._arm()

    def replaced(self) -> None:
        """The core has begun anew from an image: everybody may have news."""
        self._encoded.clear()
        now = now_us()
        for group in self.core.groups:
            self._watches.changed(now, group)
        self._arm()

    def _written(self, write: Write, decision: Decision) -> None:
        refusal = decision.refusal
        if refusal is None:
            self._tell(write.exchange, 200, calls.Done(version=decision.version))
            return
        done = calls.Done(version=refusal.version, why=refusal.why)
        self._tell(write.exchange, refusal.status, done, refusal.retry_us / 1e6)

    async def _snapshot(self) -> None:
        assert self._store is not None
        if not self._store.worth_a_snapshot or time.monotonic() < self._snapshot_s:
            return
        image = self.core.image()
        try:
            await self._in_thread(lambda store: store.snapshot(msgspec.json.encode(image)), self._store)
            log.info("snapshot", version=image.version)
        except OSError as error:
            self._snapshot_s = time.monotonic() + SNAPSHOT_AGAIN_S
            log.error("no snapshot could be written; the log grows on", reason=error.strerror or str(error))

    async def _look(self) -> None:
        """Leases end whether or not anybody calls."""
        while True:
            await asyncio.sleep(LOOK_S)
            self._log(self.core.tick(now_us()))
            self._flush_soon()

    # --- reads ---

    def _list(self, exchange: Exchange, query: _Query) -> None:
        group = Group(query.text("service", query.group.service), query.text("tier", query.group.tier))
        after = query.number("after")
        wait_ms = min(calls.MOST_WAIT_MS, query.number("wait_ms") or 0)
        branch = exchange.headers.get(b"registry-branch", b"").decode("latin-1")
        ask = Ask(exchange, group, query.text("view", query.view), after, branch)
        if self.follows and self.as_of_us is None:
            self._busy(exchange, "this follower has no list yet")
            return
        if self.follows and self._lags(ask):
            self._busy(exchange, "this follower lags behind the caller")
            return
        if not self.follows and after is not None and not self._continues(ask):
            self.core.ahead(branch.partition("/")[0], after)
        if not branch and (after or 0) > self.core.version and now_us() < self._settled_us:
            # Whoever knows a list that we don't: the store was set back, and registrations are on their way.
            self._busy(exchange, "the service has just begun anew")
            return
        known = after is not None and 0 < after <= self.core.version and self._continues(ask)
        if known and wait_ms:
            if len(self._watches) >= self._limits.watches:
                self._busy(exchange, "too many watches")
                return
            now = now_us()
            ticket = self._watches.add(ask, group, now + wait_ms * 1000)
            if (after or 0) < self.core.newest(group):
                self._watches.changed(now, group)
            exchange.on_disconnect = lambda _: self._watches.drop(ticket, group)
            self._arm()
        else:
            self._answer(ask)

    def _continues(self, ask: Ask) -> bool:
        if not ask.branch:
            return True
        identity, _, branch = ask.branch.partition("/")
        return identity == self.core.identity and self.core.continues(branch, ask.after or 0)

    def _lags(self, ask: Ask) -> bool:
        """Whether the caller has more than we do: a follower then has nothing for it."""
        identity = ask.branch.partition("/")[0]
        if ask.after is None or (identity and identity != self.core.identity):
            return False
        return ask.after > self.core.version or not self._continues(ask)

    def _answer(self, ask: Ask) -> None:
        ask.exchange.on_disconnect = None
        continues = self._continues(ask)
        after = ask.after if continues else None
        place = (ask.group, ask.view, after, self.core.version)
        body = self._encoded.get(place)
        if body is None:
            span = self.core.span(ask.group, after)
            entries: list[Entry] = [listed(one, ask.view) for one in span.entries]
            service = ask.group.service
            orders = self.core.orders.of(service)
            response = DiscoveryResponse(
                generation=span.version,
                reset=span.whole,
                instances=entries,
                regions=self.core.regions.get(service, {}),
                orders=[ZoneShare(zone=o.zone, share=o.share, until_ms=o.until_ms) for o in orders],
            )
            body = msgspec.json.encode(response)
            if len(self._encoded) >= CACHED:
                del self._encoded[next(iter(self._encoded))]
            self._encoded[place] = body
        headers = [
            (b"Content-Type", b"application/json"),
            (b"Registry-Id", self.core.identity.encode()),
            (b"Registry-Branch", self.core.branch.encode()),
            (b"Registry-Continues", b"%d" % continues),
            (b"Registry-Age-Ms", b"%d" % self.age_ms),
            (b"Registry-Callers", b"%d" % len(self._connections)),
        ]
        ask.exchange.respond(200, body, *headers)

    @property
    def age_ms(self) -> int:
        """A list that is answered now is at most so old."""
        return 0 if self.as_of_us is None else -(-(now_us() - self.as_of_us) // 1000)

    def _arm(self) -> None:
        """Look at the watches again when the next of them is due."""
        due = self._watches.next_us()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due is not None:
            delay_s = max(0, due - now_us()) / 1e6
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._rang)

    def _rang(self) -> None:
        self._timer = None
        for ask in self._watches.due(now_us()):
            self._answer(ask)
        self._arm()

    def _feed(self, exchange: Exchange, query: _Query) -> None:
        after = query.number("after") or 0
        wait_ms = min(calls.MOST_WAIT_MS, query.number("wait_ms") or 0)
        identity, _, branch = exchange.headers.get(b"registry-branch", b"").decode("latin-1").partition("/")
        if self.follows:
            self._tell(exchange, 421, calls.Done(why="this is a follower"))
            return
        if identity != self.core.identity or not self.core.continues(branch, after):
            after = -1
        if after == self.core.version and wait_ms and len(self._feeds) < self._limits.watches:
            loop = asyncio.get_running_loop()
            timer = loop.call_later(wait_ms / 1000, self._feed_now, exchange)
            self._feeds[exchange] = (after, timer)
            exchange.on_disconnect = self._feed_gone
        else:
            self._feed_tell(exchange, after)

    def _feed_gone(self, exchange: Exchange) -> None:
        self._feeds.pop(exchange)[1].cancel()

    def _feed_now(self, exchange: Exchange) -> None:
        after, timer = self._feeds.pop(exchange)
        timer.cancel()
        exchange.on_disconnect = None
        self._feed_tell(exchange, after)

    def _feed_tell(self, exchange: Exchange, after: int) -> None:
        changes = self.core.feed(after) if after >= 0 else None
        image = self.core.image() if changes is None else None
        feed = calls.Feed(
            identity=self.core.identity, version=self.core.version, changes=changes or [], image=image
        )
        self._tell(exchange, 200, feed)

    def _zones(self, exchange: Exchange, query: _Query) -> None:
        service = query.text("service", query.group.service)
        records = [r for r in self.core.records.values() if r.service == service]
        orders = {order.zone: order for order in self.core.orders.of(service)}
        states = []
        for zone in sorted({r.entry.zone for r in records} | orders.keys()):
            here = [r for r in records if r.entry.zone == zone]
            states.append(
                calls.ZoneState(
                    zone=zone,
                    region=self.core.regions.get(service, {}).get(zone, ""),
                    ready=sum(map(is_ready, here)),
                    listed=len(here),
                    order=orders.get(zone),
                )
            )
        told = calls.ZonesTold(version=self.core.version, age_ms=self.age_ms, zones=states)
        self._tell(exchange, 200, told)

    def _status(self, exchange: Exchange, query: _Query) -> None:
        core = self.core
        drains = sum(r.entry.lifecycle is Readiness.DRAINING for r in core.records.values())
        self._tell(
            exchange,
            200,
            calls.Status(
                role="follower" if self.follows else "main",
                identity=core.identity,
                branch=core.branch,
                version=core.version,
                records=len(core.records),
                draining=drains,
                tombstones=len(core.tombstones),
                callers=len(self._connections),
                watches=len(self._watches),
                age_ms=self.age_ms,
                main=self.main,
                store_failing=self.failing,
                **self._tally,
            ),
        )


class _BadQuery(ValueError):
    """A query that is none, in words."""


class _Query:
    """The query of a read, and what stands for what it leaves out."""

    def __init__(self, values: dict[str, str], group: Group, view: str) -> None:
        self._values = values
        self.group = group
        self.view = view

    def number(self, name: str) -> int | None:
        text = self._values.get(name)
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()) or len(text) > 18:
            raise _BadQuery(f"{name}: must be a whole number, not {text[:40]!r}")
        return int(text)

    def text(self, name: str, default: str) -> str:
        return self._values.get(name, default)


def _key(named: calls.Named) -> Key:
    return Key(named.service, named.tier, named.id)


def _group(change: Change) -> Group | None:
    if isinstance(change, Put):
        return change.record.key.group
    return change.key.group if isinstance(change, Gone | Ordered | OrderOver) else None


def new_core(config: Document) -> Core:
    offset_us = time.time_ns() // 1000 - now_us()
    return Core(random.SystemRandom(), config.limits.history, config.limits.records, offset_us)
