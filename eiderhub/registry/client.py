"""Clients of the list service on sockets: calls, the watch on a list, and registration. `belief` decides."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, NamedTuple, TypeVar
from urllib.parse import urlencode

import msgspec
import structlog

from eiderhub.address import Address, parse_host_port
from eiderhub.http1 import ConnectionPool, NoReplyError, Reply, fetch
from eiderhub.interface import Readiness
from eiderhub.registry import calls, kept
from eiderhub.registry.belief import Belief, Claim, Pace, Sources, Steering, Verdict
from eiderhub.registry.records import DiscoveryResponse, Entry, Record
from eiderhub.registry.settings import Follow, Register

CONNECT_S = 1.0
CALL_S = 2.0  # for an answer that need not wait for news
PATIENCE_S = 1.0  # a watch's answer may be late by so much
WAIT_FROM = 0.8  # watches wait at least this part of their time: they must not come back in step
DOUBT_S = 1.0  # a list that is doubted is asked for again after about so long
DRAIN_AGAIN_S = 0.3  # a drain that nobody has heard is told again
RENEW_PART = 1 / 3  # of a lease: then it is renewed
log = structlog.get_logger()
T = TypeVar("T")


def now_us() -> int:
    return time.monotonic_ns() // 1000


class Refused(Exception):
    """The service has answered no."""

    def __init__(self, status: int, why: str, version: int = 0, retry_s: float = 0.0) -> None:
        super().__init__(why or f"answered {status}")
        self.status = status
        self.version = version
        self.retry_s = retry_s


def request(address: Address, method: str, path: str, body: bytes | None, *headers: str) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", *headers]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


class Line:
    """Kept connections to one address of the service."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._pool = ConnectionPool(address.host, address.port, CONNECT_S)

    async def get(self, path: str, query: dict[str, Any], wait_s: float, *headers: str) -> Reply:
        """Raises Unanswered."""
        told = urlencode({name: value for name, value in query.items() if value is not None})
        data = request(self.address, "GET", f"{path}?{told}" if told else path, None, *headers)
        return await fetch(self._pool, data, wait_s)

    async def post(self, path: str, call: msgspec.Struct, kind: type[T], wait_s: float = CALL_S) -> T:
        """Raises Unanswered or Refused."""
        data = request(self.address, "POST", path, msgspec.json.encode(call))
        return read(await fetch(self._pool, data, wait_s), kind)

    def close(self) -> None:
        self._pool.close()


def read(reply: Reply, kind: type[T]) -> T:
    """The body of an answer.

    Raises:
        Refused: for any other status than 200.
        Unanswered: the body is none of a list service.
    """
    if reply.status != 200:
        try:
            done = msgspec.json.decode(reply.body, type=calls.Done)
        except msgspec.DecodeError:
            done = calls.Done()
        raise Refused(reply.status, done.why, done.version, reply.retry_after_us / 1e6)
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.DecodeError as error:
        raise NoReplyError(f"no answer of a list service: {error}") from None


class Answer(NamedTuple):
    """A list as the service told it."""

    claim: Claim
    age_ms: int
    callers: int


async def ask_list(
    line: Line,
    follow: Follow,
    after: int | None = None,
    whose: str = "",
    wait_ms: int = 0,
) -> Answer:
    """One list, or one watch's answer. `whose`: the identity and branch of `after`.

    Raises:
        Unanswered, Refused
    """
    query = {
        "service": follow.service,
        "tier": follow.tier,
        "view": follow.view or None,
        "after": after,
        "wait_ms": wait_ms or None,
    }
    headers = [f"Registry-Branch: {whose}"] if whose else []
    wait_s = wait_ms / 1000 + (PATIENCE_S if wait_ms else CALL_S)
    reply = await line.get(calls.LIST, query, wait_s, *headers)
    response = read(reply, DiscoveryResponse)

    def text(name: bytes) -> str:
        return reply.headers.get(name, b"").decode("latin-1")

    def number(name: bytes) -> int:
        value = text(name)
        return int(value) if value.isascii() and value.isdigit() else 0

    claim = Claim(
        source=str(line.address),
        identity=text(calls.IDENTITY),
        branch=text(calls.BRANCH),
        continues=text(calls.CONTINUES) != "0",
        version=response.generation,
        whole=response.reset,
        entries=response.instances,
        steering=Steering(response.regions, tuple(response.orders)),
    )
    return Answer(claim, number(calls.AGE_MS), number(calls.CALLERS))


class Watch:
    """Follows one list for good, through the failures of whoever serves it; `deliver` is told of changes."""

    def __init__(
        self,
        follow: Follow,
        deliver: Callable[[Verdict], None],
        rng: random.Random | None = None,
        told: Any = None,
    ) -> None:
        """`told`: a logger, in place of the process's."""
        self.follow = follow
        self._rng = rng or random.Random(secrets.randbits(64))
        self.belief = Belief(follow.much_smaller, int(follow.believe_s * 1e6))
        self._deliver = deliver
        self._log = told or log
        self._lines = [Line(parse_host_port(address)) for address in follow.addresses]
        self._sources = Sources(len(self._lines))
        self._pace = Pace(self._rng, calls_per_s=follow.calls_per_s)
        self._task: asyncio.Task[None] | None = None
        self._as_of_us: int | None = None
        self._failing = ""
        self._odd = ""
        self._writing: asyncio.Task[None] | None = None

    def age_us(self) -> int | None:
        """The list in use is at most so old; None where none has come yet."""
        return None if self._as_of_us is None else now_us() - self._as_of_us

    def recall(self) -> bool:
        """Use the list that was kept on disk, where there is one that is not too old."""
        if self.follow.keep is None:
            return False
        found = kept.read(self.follow.keep, self.follow.keep_for_s, kept.Whose.of(self.follow))
        if isinstance(found, str):
            self._log.warning("the kept list is not used", file=self.follow.keep, reason=found)
            return False
        self.belief.begin(
            now_us(), found.identity, found.branch, found.version, found.entries, found.steering
        )
        self._as_of_us = now_us() - int(found.age_s * 1e6)
        self._log.info("starts with the kept list", age_s=round(found.age_s, 1), endpoints=len(found.entries))
        self._deliver(Verdict(True, True, found.entries, steered=True))
        return True

    def start(self) -> None:
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None
        for line in self._lines:
            line.close()

    def move(self, follow: Follow) -> None:
        """Ask other addresses from now on; what is known of the list stays."""
        running = self._task is not None
        self.stop()
        self.follow = follow
        self._lines = [Line(parse_host_port(address)) for address in follow.addresses]
        self._sources = Sources(len(self._lines))
        if running:
            self.start()

    async def _run(self) -> None:
        while True:
            wait_s = await self._once()
            if wait_s:
                await asyncio.sleep(wait_s)

    async def _once(self) -> float:
        """One call; returns the seconds until the next one."""
        line, belief = self._lines[self._sources.index], self.belief
        asked_us = now_us()
        whose = f"{belief.identity}/{belief.branch}" if belief.identity else ""
        wait_ms = int(self.follow.wait_s * 1000 * self._rng.uniform(WAIT_FROM, 1.0))
        # A doubted list is asked for whole: its changes would be told again at once.
        plain = belief.doubts or not belief.version
        try:
            if plain:
                answer = await ask_list(line, self.follow)
            else:
                answer = await ask_list(line, self.follow, belief.version, whose, wait_ms)
        except (NoReplyError, Refused) as error:
            if str(error) != self._failing:
                self._failing = str(error)
                self._log.warning(
                    "the list service does not answer", address=str(line.address), reason=str(error)
                )
            self._sources.failed(now_us())
            least = error.retry_s if isinstance(error, Refused) else 0.0
            return least * self._rng.uniform(0, 1) + self._pace.failed() / 1e6
        if self._failing:
            self._log.info("the list service answers", address=str(line.address))
            self._failing = ""
        now = now_us()
        self._pace.answered(answer.callers)
        self._sources.answered(now)
        return self._take(now, asked_us, answer)

    def _take(self, now: int, asked_us: int, answer: Answer) -> float:
        before = self.belief.version, self.belief.identity
        verdict = self.belief.consider(now, answer.claim)
        if verdict.why and verdict.why != self._odd:
            what = "a list was adopted" if verdict.adopted else "a list was not adopted; ours stays in use"
            self._log.warning(what, address=answer.claim.source, reason=verdict.why)
        self._odd = verdict.why
        if verdict.adopted:
            self._as_of_us = asked_us - answer.age_ms * 1000
        if verdict.entries or verdict.steered or (verdict.adopted and verdict.whole):
            self._deliver(verdict)
        if verdict.adopted:
            if before != (self.belief.version, self.belief.identity):
                self._keep()
            return 0.0
        self._sources.other()
        return DOUBT_S * self._rng.uniform(0.5, 1.5)

    def _keep(self) -> None:
        """Write the list down, in a thread of its own: a disk may stand still."""
        if self.follow.keep is None or self._writing is not None:
            return
        belief = self.belief
        entries = list(belief.entries.values())
        whose = kept.Whose.of(self.follow)
        path, steering = self.follow.keep, belief.steering

        async def write() -> None:
            try:
                await asyncio.to_thread(
                    kept.write, path, whose, belief.identity, belief.branch, belief.version, entries, steering
                )
            except OSError as error:
                self._log.warning("the list was not kept", file=path, reason=error.strerror or str(error))
            finally:
                self._writing = None
            if belief.version and (list(belief.entries.values()), belief.steering) != (entries, steering):
                self._keep()

        self._writing = asyncio.get_running_loop().create_task(write())


class Writer:
    """Writes to whichever of the addresses takes them: the main service may be any."""

    def __init__(self, addresses: Sequence[Address], rng: random.Random | None = None) -> None:
        self._lines = [Line(address) for address in addresses]
        self._index = 0
        self._pace = Pace(rng or random.Random(secrets.randbits(64)))

    async def post(self, path: str, call: msgspec.Struct, kind: type[T], wait_s: float = CALL_S) -> T:
        """One round over the addresses, from the one that answered last.

        Raises:
            Refused: by the main service.
            Unanswered: none of them is the main service and answers.
        """
        last: Exception = NoReplyError("no address")
        for _ in self._lines:
            line = self._lines[self._index]
            try:
                found = await line.post(path, call, kind, wait_s)
                self._pace.answered(None)
                return found
            except Refused as error:
                if error.status not in (421, 503):
                    self._pace.answered(None)
                    raise
                last = error
            except NoReplyError as error:
                last = NoReplyError(f"{line.address}: {error}")
            self._index = (self._index + 1) % len(self._lines)
        raise last

    def backoff_s(self) -> float:
        return self._pace.failed() / 1e6

    def close(self) -> None:
        for line in self._lines:
            line.close()


class Registration:
    """Keeps one endpoint's record: put when it lives, renewed, and put again after an outage."""

    def __init__(
        self,
        record: Record,
        addresses: Sequence[Address],
        alive: Callable[[], Coroutine[Any, Any, bool]],
        every_s: float = 0.5,
        told: Any = None,
    ) -> None:
        """`alive` says whether the endpoint takes requests. `told`: a logger, in place of the process's."""
        assert record.lease_ms is not None
        self.record = record
        self._writer = Writer(addresses)
        self._alive = alive
        self._every_s = every_s
        self._log = told or log
        self._lease_s = record.lease_ms / 1000
        self._rng = random.Random(secrets.randbits(64))
        self._held = False
        self._dead = False  # whether the endpoint was found dead since it was put
        self._task: asyncio.Task[None] | None = None
        self.over = ""  # why it has ended for good
        self.put = asyncio.Event()  # set once the record has been put

    @property
    def named(self) -> calls.RecordCall:
        r = self.record
        return calls.RecordCall(service=r.service, tier=r.tier, id=r.entry.instance_id, owner=r.owner)

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    def abandon(self) -> None:
        """As if the process had died: nothing more is said."""
        if self._task is not None:
            self._task.cancel()
        self._writer.close()

    async def drain(self) -> None:
        """It takes nothing new from now on, whoever may be away; renewals go on."""
        entry = msgspec.structs.replace(self.record.entry, lifecycle=Readiness.DRAINING)
        self.record = msgspec.structs.replace(self.record, entry=entry)
        while self._held and not await self._try(calls.DRAIN):
            await asyncio.sleep(DRAIN_AGAIN_S * self._rng.uniform(0.5, 1.5))

    async def remove(self) -> None:
        """It ends: the record goes, and this process does not come back."""
        if self._task is not None:
            self._task.cancel()
        if self._held:
            await self._try(calls.REMOVE)
        self._writer.close()

    async def _try(self, path: str) -> bool:
        """Whether the service has heard it, whatever it makes of it."""
        try:
            await self._writer.post(path, self.named, calls.Done)
        except (NoReplyError, Refused) as error:
            self._log.warning("not told to the list service", call=path, reason=str(error))
            return isinstance(error, Refused) and error.status not in (421, 503)
        return True

    async def _run(self) -> None:
        while not self.over:
            try:
                if not self._held:
                    await asyncio.sleep(await self._register())
                else:
                    await asyncio.sleep(self._lease_s * RENEW_PART * self._rng.uniform(0.8, 1.0))
                    await self._renew()
            except NoReplyError as error:
                self._log.warning(
                    "the list service does not answer", id=self.record.entry.instance_id, reason=str(error)
                )
                await asyncio.sleep(min(self._writer.backoff_s(), self._lease_s * RENEW_PART))
            except Refused as error:
                await self._refused(error)

    async def _register(self) -> float:
        """Put the record where the endpoint lives; returns the seconds until the next look."""
        if not await self._lives():
            return self._every_s
        call = calls.PutCall(record=self.record)
        await self._writer.post(calls.PUT, call, calls.Done)
        self._held = True
        self.put.set()
        self._log.info("registered", id=self.record.entry.instance_id, address=self.record.entry.host_port)
        return 0.0

    async def _lives(self) -> bool:
        """Whether the endpoint lives; one that was found dead in between has started anew."""
        if not await self._alive():
            self._dead = self._dead or self.put.is_set()
            return False
        # That we did not look for long says nothing of it. Where it was only away, a slow start does no harm.
        if self._dead:
            self._dead = False
            entry = msgspec.structs.replace(self.record.entry, started_at_ms=time.time_ns() // 1_000_000)
            self.record = msgspec.structs.replace(self.record, entry=entry)
            self._held = False
        return True

    async def _renew(self) -> None:
        if not await self._lives():
            self._log.warning("the endpoint does not answer; its lease is not renewed", id=self.named.id)
            return
        if not self._held:
            return
        call = calls.RenewCall(records=[_plain(self.named)])
        renewed = await self._writer.post(calls.RENEW, call, calls.Renewed)
        if renewed.statuses[0] != 200:
            raise Refused(renewed.statuses[0], renewed.why[0])

    async def _refused(self, error: Refused) -> None:
        if error.status == 404:  # the service has lost it, or its lease had run out
            self._held = False
            self._log.warning("the list service does not have us; registering again", reason=str(error))
        elif error.status in (409, 410) and self._held:
            self.over = str(error)
            self._log.error("the record is not ours any more; registration ends", reason=str(error))
        elif error.status == 410 or error.status == 400:
            self.over = str(error)
            self._log.error("the list service does not take the record; registration ends", reason=str(error))
        else:
            self._log.warning(
                "the list service does not take the record now", status=error.status, reason=str(error)
            )
            await asyncio.sleep(max(error.retry_s, self._writer.backoff_s(), 0.2))


def _plain(named: calls.Named) -> calls.Named:
    return calls.Named(service=named.service, tier=named.tier, id=named.id, owner=named.owner)


def record_of(register: Register, started_ms: int, owner: str | None = None) -> Record:
    """The record that `[register]` describes; the owner's token is this process's own."""
    entry = Entry(
        instance_id=register.id,
        host_port=register.address,
        zone=register.zone,
        machine_type=register.machine_type,
        cell=register.cell,
        weight=register.weight,
        started_at_ms=started_ms,
    )
    return Record(
        service=register.service,
        tier=register.tier,
        entry=entry,
        owner=owner or secrets.token_hex(8),
        lease_ms=register.lease_ms,
        views=register.views,
        region=register.region,
    )


async def lives(address: Address, path: str, wait_s: float = 1.0) -> bool:
    """Whether the endpoint takes connections and, where a path is told, answers 200 there."""
    if not path:
        try:
            async with asyncio.timeout(wait_s):
                _, writer = await asyncio.open_connection(address.host, address.port)
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True
    pool = ConnectionPool(address.host, address.port, wait_s)
    try:
        return (await fetch(pool, request(address, "GET", path, None), wait_s)).status == 200
    except NoReplyError:
        return False
    finally:
        pool.close()
