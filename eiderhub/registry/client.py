"""Clients of the list service: single requests, watching a list, and registering an endpoint.

`AdoptedList` decides whether a received list is adopted; this module does the I/O.
"""

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
from eiderhub.registry import api, stored_list
from eiderhub.registry.adoption import (
    AddressSelector,
    AdoptedList,
    AdoptionResult,
    FleetBackoff,
    ListAnswer,
    ZoneData,
)
from eiderhub.registry.records import DiscoveryResponse, Entry, Record
from eiderhub.registry.settings import FollowSettings, RegisterSettings

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0  # of requests that are not long polls
WATCH_GRACE_S = 1.0  # how much later than its wait a long poll may be answered
# Lower bound of the random wait, so that long polls of many clients don't end together.
MIN_WAIT_FRACTION = 0.8
UNCONFIRMED_RETRY_S = 1.0  # mean delay until a list that needs confirmation is fetched again
DRAIN_RETRY_S = 0.3  # mean delay between attempts to report a drain
RENEW_INTERVAL_FRACTION = 1 / 3  # of the lease duration
log = structlog.get_logger()
T = TypeVar("T")


def now_us() -> int:
    return time.monotonic_ns() // 1000


class RequestRefusedError(Exception):
    """The service answered with a status other than 200."""

    def __init__(self, status: int, reason: str, version: int = 0, retry_after_s: float = 0.0) -> None:
        super().__init__(reason or f"answered {status}")
        self.status = status
        self.version = version
        self.retry_after_s = retry_after_s


def encode_request(address: Address, method: str, path: str, body: bytes | None, *headers: str) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", *headers]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


class RegistryClient:
    """Sends requests to one address of the service over pooled connections."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._pool = ConnectionPool(address.host, address.port, CONNECT_TIMEOUT_S)

    async def get(self, path: str, query: dict[str, Any], timeout_s: float, *headers: str) -> Reply:
        """Raises NoReplyError."""
        encoded_query = urlencode({name: value for name, value in query.items() if value is not None})
        data = encode_request(
            self.address, "GET", f"{path}?{encoded_query}" if encoded_query else path, None, *headers
        )
        return await fetch(self._pool, data, timeout_s)

    async def post(
        self, path: str, body: msgspec.Struct, response_type: type[T], timeout_s: float = CALL_TIMEOUT_S
    ) -> T:
        """Raises NoReplyError or RequestRefusedError."""
        data = encode_request(self.address, "POST", path, msgspec.json.encode(body))
        return decode_reply(await fetch(self._pool, data, timeout_s), response_type)

    def close(self) -> None:
        self._pool.close()


def decode_reply(reply: Reply, body_type: type[T]) -> T:
    """Decode the body of an answer.

    Raises:
        RequestRefusedError: the status is not 200.
        NoReplyError: the body can't be decoded.
    """
    if reply.status != 200:
        try:
            response = msgspec.json.decode(reply.body, type=api.WriteResponse)
        except msgspec.DecodeError:
            response = api.WriteResponse()
        raise RequestRefusedError(reply.status, response.why, response.version, reply.retry_after_us / 1e6)
    try:
        return msgspec.json.decode(reply.body, type=body_type)
    except msgspec.DecodeError as error:
        raise NoReplyError(f"not a valid list service answer: {error}") from None


class ListReply(NamedTuple):
    """A list answer with the age and the number of callers that the service reported."""

    list_answer: ListAnswer
    age_ms: int
    callers: int


async def fetch_list(
    client: RegistryClient,
    settings: FollowSettings,
    after: int | None = None,
    known_branch: str = "",
    wait_ms: int = 0,
) -> ListReply:
    """Fetch a list, by long poll if `wait_ms` is set. `known_branch` is IDENTITY/BRANCH of `after`.

    Raises:
        NoReplyError, RequestRefusedError
    """
    query = {
        "service": settings.service,
        "tier": settings.tier,
        "view": settings.view or None,
        "after": after,
        "wait_ms": wait_ms or None,
    }
    headers = [f"Registry-Branch: {known_branch}"] if known_branch else []
    timeout_s = wait_ms / 1000 + (WATCH_GRACE_S if wait_ms else CALL_TIMEOUT_S)
    reply = await client.get(api.LIST_PATH, query, timeout_s, *headers)
    response = decode_reply(reply, DiscoveryResponse)

    def header_text(name: bytes) -> str:
        return reply.headers.get(name, b"").decode("latin-1")

    def header_number(name: bytes) -> int:
        value = header_text(name)
        return int(value) if value.isascii() and value.isdigit() else 0

    list_answer = ListAnswer(
        source=str(client.address),
        identity=header_text(api.IDENTITY_HEADER),
        branch=header_text(api.BRANCH_HEADER),
        continues_ours=header_text(api.CONTINUES_HEADER) != "0",
        version=response.generation,
        is_full=response.reset,
        entries=response.instances,
        zone_data=ZoneData(response.regions, tuple(response.orders)),
    )
    return ListReply(list_answer, header_number(api.AGE_MS_HEADER), header_number(api.CALLERS_HEADER))


class ListWatch:
    """Keeps one endpoint list up to date, with failover between addresses."""

    def __init__(
        self,
        settings: FollowSettings,
        on_change: Callable[[AdoptionResult], None],
        rng: random.Random | None = None,
        logger: Any = None,
    ) -> None:
        """`on_change` receives the changes of the list. A given logger replaces the module's."""
        self.settings = settings
        self._rng = rng or random.Random(secrets.randbits(64))
        self.adopted_list = AdoptedList(settings.much_smaller, int(settings.believe_s * 1e6))
        self._on_change = on_change
        self._log = logger or log
        self._clients = [RegistryClient(parse_host_port(address)) for address in settings.addresses]
        self._address_selector = AddressSelector(len(self._clients))
        self._backoff = FleetBackoff(self._rng, max_fleet_calls_per_s=settings.calls_per_s)
        self._task: asyncio.Task[None] | None = None
        self._as_of_us: int | None = None
        self._last_error = ""
        self._last_warning = ""
        self._write_task: asyncio.Task[None] | None = None

    def age_us(self) -> int | None:
        """Upper bound on the age of the list in use; None before the first list."""
        return None if self._as_of_us is None else now_us() - self._as_of_us

    def load_stored_list(self) -> bool:
        """Adopt the list stored on disk if it is valid and recent enough; returns whether it was adopted."""
        if self.settings.keep is None:
            return False
        stored = stored_list.read_list(
            self.settings.keep, self.settings.keep_for_s, stored_list.ListScope.of(self.settings)
        )
        if isinstance(stored, str):
            self._log.warning("stored list not used", file=self.settings.keep, reason=stored)
            return False
        self.adopted_list.load(
            now_us(), stored.identity, stored.branch, stored.version, stored.entries, stored.zone_data
        )
        self._as_of_us = now_us() - int(stored.age_s * 1e6)
        self._log.info(
            "starting with the stored list", age_s=round(stored.age_s, 1), endpoints=len(stored.entries)
        )
        self._on_change(AdoptionResult(True, True, stored.entries, zone_data_changed=True))
        return True

    def start(self) -> None:
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None
        for client in self._clients:
            client.close()

    def update_settings(self, settings: FollowSettings) -> None:
        """Switch to other addresses and settings; the adopted list is stored_list."""
        running = self._task is not None
        self.stop()
        self.settings = settings
        self._clients = [RegistryClient(parse_host_port(address)) for address in settings.addresses]
        self._address_selector = AddressSelector(len(self._clients))
        if running:
            self.start()

    async def _run(self) -> None:
        while True:
            delay_s = await self._fetch_once()
            if delay_s:
                await asyncio.sleep(delay_s)

    async def _fetch_once(self) -> float:
        """Fetch once and process the answer; returns the delay in seconds until the next fetch."""
        client, adopted_list = self._clients[self._address_selector.index], self.adopted_list
        sent_us = now_us()
        known_branch = f"{adopted_list.identity}/{adopted_list.branch}" if adopted_list.identity else ""
        wait_ms = int(self.settings.wait_s * 1000 * self._rng.uniform(MIN_WAIT_FRACTION, 1.0))
        # A list that awaits confirmation is fetched in full: a long poll would return its changes at once.
        fetch_full = adopted_list.has_unconfirmed or not adopted_list.version
        try:
            if fetch_full:
                reply = await fetch_list(client, self.settings)
            else:
                reply = await fetch_list(client, self.settings, adopted_list.version, known_branch, wait_ms)
        except (NoReplyError, RequestRefusedError) as error:
            if str(error) != self._last_error:
                self._last_error = str(error)
                self._log.warning(
                    "the list service does not answer", address=str(client.address), reason=str(error)
                )
            self._address_selector.record_failure(now_us())
            min_delay_s = error.retry_after_s if isinstance(error, RequestRefusedError) else 0.0
            return min_delay_s * self._rng.uniform(0, 1) + self._backoff.record_failure() / 1e6
        if self._last_error:
            self._log.info("the list service answers", address=str(client.address))
            self._last_error = ""
        now = now_us()
        self._backoff.record_answer(reply.callers)
        self._address_selector.record_answer(now)
        return self._consider(now, sent_us, reply)

    def _consider(self, now: int, sent_us: int, reply: ListReply) -> float:
        previous = self.adopted_list.version, self.adopted_list.identity
        result = self.adopted_list.consider(now, reply.list_answer)
        if result.reason and result.reason != self._last_warning:
            event = (
                "unexpected list adopted"
                if result.adopted
                else "list not adopted; the previous list stays in use"
            )
            self._log.warning(event, address=reply.list_answer.source, reason=result.reason)
        self._last_warning = result.reason
        if result.adopted:
            self._as_of_us = sent_us - reply.age_ms * 1000
        if result.entries or result.zone_data_changed or (result.adopted and result.is_full):
            self._on_change(result)
        if result.adopted:
            if previous != (self.adopted_list.version, self.adopted_list.identity):
                self._store_list()
            return 0.0
        self._address_selector.use_next()
        return UNCONFIRMED_RETRY_S * self._rng.uniform(0.5, 1.5)

    def _store_list(self) -> None:
        """Store the list on disk, in a separate thread because disk I/O may stall."""
        if self.settings.keep is None or self._write_task is not None:
            return
        adopted_list = self.adopted_list
        entries = list(adopted_list.entries.values())
        scope = stored_list.ListScope.of(self.settings)
        path, zone_data = self.settings.keep, adopted_list.zone_data

        async def write() -> None:
            try:
                await asyncio.to_thread(
                    stored_list.write_list,
                    path,
                    scope,
                    adopted_list.identity,
                    adopted_list.branch,
                    adopted_list.version,
                    entries,
                    zone_data,
                )
            except OSError as error:
                self._log.warning("storing the list failed", file=path, reason=error.strerror or str(error))
            finally:
                self._write_task = None
            if adopted_list.version and (list(adopted_list.entries.values()), adopted_list.zone_data) != (
                entries,
                zone_data,
            ):
                self._store_list()

        self._write_task = asyncio.get_running_loop().create_task(write())


class FailoverWriter:
    """Sends writes to the main service, which may be at any of the addresses."""

    def __init__(self, addresses: Sequence[Address], rng: random.Random | None = None) -> None:
        self._clients = [RegistryClient(address) for address in addresses]
        self._index = 0
        self._backoff = FleetBackoff(rng or random.Random(secrets.randbits(64)))

    async def post(
        self, path: str, body: msgspec.Struct, response_type: type[T], timeout_s: float = CALL_TIMEOUT_S
    ) -> T:
        """Try each address once, starting with the one that answered last.

        Raises:
            RequestRefusedError: the main service refused the write.
            RequestRefusedError: the last address tried is a follower (421) or unavailable (503).
            NoReplyError: the last address tried did not answer.
        """
        last_error: Exception = NoReplyError("no address")
        for _ in self._clients:
            client = self._clients[self._index]
            try:
                response = await client.post(path, body, response_type, timeout_s)
                self._backoff.record_answer(None)
                return response
            except RequestRefusedError as error:
                if error.status not in (421, 503):
                    self._backoff.record_answer(None)
                    raise
                last_error = error
            except NoReplyError as error:
                last_error = NoReplyError(f"{client.address}: {error}")
            self._index = (self._index + 1) % len(self._clients)
        raise last_error

    def backoff_s(self) -> float:
        return self._backoff.record_failure() / 1e6

    def close(self) -> None:
        for client in self._clients:
            client.close()


class Registration:
    """Registers one endpoint, renews its lease, and registers it again after an outage."""

    def __init__(
        self,
        record: Record,
        addresses: Sequence[Address],
        is_alive: Callable[[], Coroutine[Any, Any, bool]],
        check_interval_s: float = 0.5,
        logger: Any = None,
    ) -> None:
        """`is_alive` checks whether the endpoint accepts requests. A given logger replaces the module's."""
        assert record.lease_ms is not None
        self.record = record
        self._writer = FailoverWriter(addresses)
        self._is_alive = is_alive
        self._check_interval_s = check_interval_s
        self._log = logger or log
        self._lease_s = record.lease_ms / 1000
        self._rng = random.Random(secrets.randbits(64))
        self._has_record = False
        self._was_dead = False  # whether the endpoint failed a check since it was registered
        self._task: asyncio.Task[None] | None = None
        self.end_reason = ""  # why registration has ended permanently
        self.registered = asyncio.Event()  # set after the record was first put

    @property
    def record_request(self) -> api.RecordRequest:
        record = self.record
        return api.RecordRequest(
            service=record.service, tier=record.tier, id=record.entry.instance_id, owner=record.owner
        )

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    def abandon(self) -> None:
        """Stop without telling the service, as if the process had crashed."""
        if self._task is not None:
            self._task.cancel()
        self._writer.close()

    async def drain(self) -> None:
        """Mark the endpoint as draining, retrying until the service answers; lease renewals continue."""
        entry = msgspec.structs.replace(self.record.entry, lifecycle=Readiness.DRAINING)
        self.record = msgspec.structs.replace(self.record, entry=entry)
        while self._has_record and not await self._post_change(api.DRAIN_PATH):
            await asyncio.sleep(DRAIN_RETRY_S * self._rng.uniform(0.5, 1.5))

    async def remove(self) -> None:
        """Stop and remove the record; this process can't register again."""
        if self._task is not None:
            self._task.cancel()
        if self._has_record:
            await self._post_change(api.REMOVE_PATH)
        self._writer.close()

    async def _post_change(self, path: str) -> bool:
        """Send a drain or remove request; returns whether the main service answered, even with a refusal."""
        try:
            await self._writer.post(path, self.record_request, api.WriteResponse)
        except (NoReplyError, RequestRefusedError) as error:
            self._log.warning("request to the list service failed", call=path, reason=str(error))
            return isinstance(error, RequestRefusedError) and error.status not in (421, 503)
        return True

    async def _run(self) -> None:
        while not self.end_reason:
            try:
                if not self._has_record:
                    await asyncio.sleep(await self._register())
                else:
                    await asyncio.sleep(self._lease_s * RENEW_INTERVAL_FRACTION * self._rng.uniform(0.8, 1.0))
                    await self._renew()
            except NoReplyError as error:
                self._log.warning(
                    "the list service does not answer", id=self.record.entry.instance_id, reason=str(error)
                )
                await asyncio.sleep(min(self._writer.backoff_s(), self._lease_s * RENEW_INTERVAL_FRACTION))
            except RequestRefusedError as error:
                await self._handle_refusal(error)

    async def _register(self) -> float:
        """Put the record if the endpoint is alive; returns the delay in seconds until the next step."""
        if not await self._check_alive():
            return self._check_interval_s
        request = api.PutRequest(record=self.record)
        await self._writer.post(api.PUT_PATH, request, api.WriteResponse)
        self._has_record = True
        self.registered.set()
        self._log.info("registered", id=self.record.entry.instance_id, address=self.record.entry.host_port)
        return 0.0

    async def _check_alive(self) -> bool:
        """Check the endpoint. One that comes back after a failed check counts as restarted."""
        if not await self._is_alive():
            self._was_dead = self._was_dead or self.registered.is_set()
            return False
        # Only a failed check counts, not a long gap between checks. If the endpoint was merely unreachable,
        # treating it as restarted only makes clients ramp up its load slowly, which does no harm.
        if self._was_dead:
            self._was_dead = False
            entry = msgspec.structs.replace(self.record.entry, started_at_ms=time.time_ns() // 1_000_000)
            self.record = msgspec.structs.replace(self.record, entry=entry)
            self._has_record = False
        return True

    async def _renew(self) -> None:
        if not await self._check_alive():
            self._log.warning("endpoint health check failed; lease not renewed", id=self.record_request.id)
            return
        if not self._has_record:
            return
        request = api.RenewRequest(records=[_renewal_reference(self.record_request)])
        response = await self._writer.post(api.RENEW_PATH, request, api.RenewResponse)
        if response.statuses[0] != 200:
            raise RequestRefusedError(response.statuses[0], response.why[0])

    async def _handle_refusal(self, error: RequestRefusedError) -> None:
        if error.status == 404:  # the service has no such record, or its lease has expired
            self._has_record = False
            self._log.warning(
                "the list service has no record of this endpoint; registering again", reason=str(error)
            )
        elif error.status in (409, 410) and self._has_record:
            self.end_reason = str(error)
            self._log.error(
                "another process owns the record, or it was removed; registration ends", reason=str(error)
            )
        elif error.status == 410 or error.status == 400:
            self.end_reason = str(error)
            self._log.error("the list service refused the record; registration ends", reason=str(error))
        else:
            self._log.warning(
                "the list service can't take the record now", status=error.status, reason=str(error)
            )
            await asyncio.sleep(max(error.retry_after_s, self._writer.backoff_s(), 0.2))


def _renewal_reference(reference: api.RecordReference) -> api.RecordReference:
    return api.RecordReference(
        service=reference.service, tier=reference.tier, id=reference.id, owner=reference.owner
    )


def build_record(settings: RegisterSettings, started_ms: int, owner: str | None = None) -> Record:
    """Build the record described by `[register]`; the default owner is a new random token."""
    entry = Entry(
        instance_id=settings.id,
        host_port=settings.address,
        zone=settings.zone,
        machine_type=settings.machine_type,
        cell=settings.cell,
        weight=settings.weight,
        started_at_ms=started_ms,
    )
    return Record(
        service=settings.service,
        tier=settings.tier,
        entry=entry,
        owner=owner or secrets.token_hex(8),
        lease_ms=settings.lease_ms,
        views=settings.views,
        region=settings.region,
    )


async def is_endpoint_alive(address: Address, path: str, timeout_s: float = 1.0) -> bool:
    """Whether the endpoint accepts a connection and, if `path` is set, answers it with 200."""
    if not path:
        try:
            async with asyncio.timeout(timeout_s):
                _, writer = await asyncio.open_connection(address.host, address.port)
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True
    pool = ConnectionPool(address.host, address.port, timeout_s)
    try:
        return (await fetch(pool, encode_request(address, "GET", path, None), timeout_s)).status == 200
    except NoReplyError:
        return False
    finally:
        pool.close()
