"""The operator API of a control node: configuration, retirement of storage nodes, and status."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Mapping
from http import HTTPStatus
from urllib.parse import quote

import msgspec
import picologging as logging

from eiderhub import address
from eiderhub.control import retirement
from eiderhub.control.change_processor import ChangeOutcome, ChangeProcessor, ChangeResult
from eiderhub.control.configuration import Change, CheckedBody, check_body
from eiderhub.control.distribution import Tables
from eiderhub.control.errors import ErrorKind, Refusal
from eiderhub.control.messages import NodeRecord
from eiderhub.control.retirement import RetireOrder
from eiderhub.coordination.auxiliary import is_auxiliary
from eiderhub.coordination.keys import prefixed_key
from eiderhub.coordination.roster import address_of
from eiderhub.coordination.timing import tolerated_losses
from eiderhub.storage.store import LmdbStore
from eiderhub.transport.group import CommitOutcomeUnknown, GroupDriver, NotPrimary
from eiderhub.transport.operator_calls import Call, Reply

STORAGE_IDENTITY_PREFIX = "storage/known/"  # identities of all storage nodes so far, by node name
CONFIG_PATH, STATUS_PATH, RETIRE_PATH = "/config", "/status", "/retire/"

MAX_BODY_CHECKED_AT_ONCE = 32 << 10  # some 100 items, which take less time than a tenth of a lease
MAX_KEPT_CHECKS = 2  # of the bodies of changes; a parsed body is large

log = logging.getLogger("operator")

_GENERATION = re.compile(r'\s*("?)([0-9]{1,19})\1\s*')


def parse_generation(if_match: str) -> int | None:
    """The generation in an If-Match header, with or without quotes; None if it is not one."""
    found = _GENERATION.fullmatch(if_match)
    return int(found[2]) if found is not None else None


PendingChangeResult = ChangeResult[asyncio.Future["PendingChangeResult"]]


class NodeStatus(msgspec.Struct):
    name: str
    role: str
    zone: str
    wire_version: int


class Status(msgspec.Struct):
    """The answer to `GET /status`."""

    node: str
    leads: bool
    epoch: int
    version: int
    generation: int
    primary: str
    members: list[str]
    sidecars: int
    wire_versions: dict[str, int]  # number of processes, including sidecars, by version
    form: int  # record format in which the control state may be written
    nodes: list[NodeStatus]
    losses_to_bear: int  # `fault_tolerance.machines`
    losses_borne: int | None  # members that the group may lose at once now; known to the primary only


class OperatorService:
    """Handles operator requests.

    `storage_nodes` returns those that have sessions; `min_storage_nodes` must remain after a retirement.
    """

    def __init__(
        self,
        node: NodeRecord,
        group: GroupDriver,
        store: LmdbStore,
        tables: Tables,
        control_port: int,
        min_storage_nodes: int,
        storage_nodes: Callable[[], list[NodeRecord]],
    ) -> None:
        self._node = node
        self._group = group
        self._store = store
        self._tables = tables
        self._control_port = control_port
        self._min_storage_nodes = min_storage_nodes
        self._storage_nodes = storage_nodes
        self.change_processor: ChangeProcessor[asyncio.Future[PendingChangeResult]] = ChangeProcessor(
            group.replica, store
        )
        self._body_checks: dict[bytes, asyncio.Future[CheckedBody]] = {}  # whose callers have gone

    async def handle(self, call: Call) -> Reply:
        if call.path == STATUS_PATH and call.method == "GET":
            return self._status()
        if not self._group.leads():
            return self._redirect(call)
        if call.path == CONFIG_PATH:
            if call.method == "GET":
                return self._read_configuration()
            if call.method in ("PUT", "PATCH"):
                return await self._change_configuration(call)
        elif call.path.startswith(RETIRE_PATH):
            name = call.path.removeprefix(RETIRE_PATH)
            if call.method == "GET":
                return await self._retire_state(name)
            if call.method == "POST":
                return await self._retire(name)
        return Reply(HTTPStatus.NOT_FOUND)

    def _redirect(self, call: Call) -> Reply:
        primary = self._group.replica.primary
        if primary is None or primary == self._node.identity or is_auxiliary(primary):
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE)
        host = address.parse_host_port(address_of(primary)).host
        location = f"http://{host}:{self._control_port}{quote(call.path)}"
        return Reply(HTTPStatus.TEMPORARY_REDIRECT, location=location)

    @staticmethod
    def _refusal_reply(refusal: Refusal) -> Reply:
        return Reply(refusal.status, refusal.encode())

    def _status(self) -> Reply:
        """Return the status as known to this node, primary or not."""
        replica = self._group.replica
        health = replica.health(self._group.now())
        status = Status(
            node=self._node.name,
            leads=self._group.leads(),
            epoch=replica.epoch,
            version=replica.version_or_zero,
            generation=self._tables.configuration.generation,
            primary=replica.primary or "",
            members=sorted(replica.members),
            sidecars=self._tables.nodes.sidecars,
            wire_versions=self._tables.nodes.wire_versions,
            form=replica.record_format,
            nodes=[NodeStatus(n.name, n.role, n.zone, n.wire_version) for n in self._tables.nodes.nodes],
            losses_to_bear=tolerated_losses(self._min_storage_nodes),
            losses_borne=None if health is None else health.losses_borne,
        )
        return Reply(HTTPStatus.OK, msgspec.json.encode(status))

    # --- the configuration ---

    def _read_configuration(self) -> Reply:
        newest = self.change_processor.newest(self._group.now())
        if newest is None:
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE)
        return Reply(HTTPStatus.OK, newest.body)

    async def _change_configuration(self, call: Call) -> Reply:
        base_generation = parse_generation(call.if_match)
        if base_generation is None:
            return self._refusal_reply(Refusal(ErrorKind.INVALID, "If-Match: must be a generation"))
        future: asyncio.Future[PendingChangeResult] = asyncio.get_running_loop().create_future()
        change = Change(base_generation, call.method == "PATCH", call.body)
        checked = await self._check_body(change)
        self.change_processor.submit(change, future, checked)
        self._group.flush()
        result = await future
        if result.outcome is ChangeOutcome.REFUSED and result.refusal is not None:
            return self._refusal_reply(result.refusal)
        if result.outcome is ChangeOutcome.NOT_PRIMARY:
            return self._redirect(call)
        if result.outcome is ChangeOutcome.UNKNOWN:
            return Reply(HTTPStatus.GATEWAY_TIMEOUT)
        return Reply(HTTPStatus.OK)

    async def _check_body(self, change: Change) -> CheckedBody:
        """Check the body of a change; a large one in a thread, since the event loop has to renew the lease.

        If that takes longer than the caller waits, the outcome is kept for the same change sent again.
        """
        if len(change.body) <= MAX_BODY_CHECKED_AT_ONCE:
            return check_body(change.body, change.is_patch, self.change_processor.document)
        digest = change.digest
        check = self._body_checks.pop(digest, None)
        if check is None:
            check = asyncio.ensure_future(
                asyncio.to_thread(check_body, change.body, change.is_patch, self.change_processor.document)
            )
        try:
            return await asyncio.shield(check)
        except asyncio.CancelledError:
            while len(self._body_checks) >= MAX_KEPT_CHECKS:
                del self._body_checks[next(iter(self._body_checks))]
            self._body_checks[digest] = check
            raise

    def resolve_changes(self) -> None:
        """Resolve pending changes; called after each step of the replica."""
        for result in self.change_processor.step(self._group.now()):
            if not result.caller.done():  # the caller may have been cancelled
                result.caller.set_result(result)

    # --- retirement ---

    def retire_orders(self) -> dict[str, RetireOrder]:
        return retirement.decode_orders(self._store.scan(retirement.RETIRE_PREFIX))

    async def _retire_state(self, name: str) -> Reply:
        order = self.retire_orders().get(name)
        if order is None:
            return Reply(HTTPStatus.NOT_FOUND)
        try:
            await self._group.wait_all_committed()
        except (NotPrimary, CommitOutcomeUnknown):
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE)
        state = "succeeded" if order.done else "in_progress"
        return Reply(HTTPStatus.OK, msgspec.json.encode({"state": state}))

    async def _retire(self, name: str) -> Reply:
        stored_identity = self._store.get(prefixed_key(STORAGE_IDENTITY_PREFIX, name))
        if stored_identity is None:
            return Reply(HTTPStatus.NOT_FOUND)
        identity = stored_identity.decode()
        orders = self.retire_orders()
        try:
            if not retirement.is_duplicate(orders.get(name), identity):
                refusal = self._refuse_if_too_few_remain(identity, orders)
                if refusal is not None:
                    return self._refusal_reply(refusal)
                await self._group.write([retirement.encode_order(name, RetireOrder([identity]))])
                log.info("retirement of storage node %s requested", name)
            else:
                await self._group.wait_all_committed()
        except NotPrimary:
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE)
        except CommitOutcomeUnknown:
            return Reply(HTTPStatus.GATEWAY_TIMEOUT)
        return Reply(HTTPStatus.OK)

    def _refuse_if_too_few_remain(self, identity: str, orders: Mapping[str, RetireOrder]) -> Refusal | None:
        retiring = {each for order in orders.values() for each in order.identities} | {identity}
        remaining = [node for node in self._storage_nodes() if node.identity not in retiring]
        if len(remaining) < self._min_storage_nodes:
            return Refusal(ErrorKind.TOO_FEW, f"{len(remaining)} would remain")
        return None
