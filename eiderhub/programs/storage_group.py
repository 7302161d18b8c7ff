"""Management of the storage group by the control primary: its first members, and retirements."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import msgspec
import picologging as logging

from eiderhub.control import retirement
from eiderhub.control.messages import NodeRecord, StorageReport
from eiderhub.control.retirement import RetireOrder
from eiderhub.coordination.auxiliary import is_auxiliary
from eiderhub.coordination.keys import prefixed_key
from eiderhub.coordination.messages import Write
from eiderhub.coordination.roster import host_of
from eiderhub.programs.operator_service import STORAGE_IDENTITY_PREFIX
from eiderhub.storage.store import LmdbStore
from eiderhub.transport.group import GroupDriver

STABLE_BEFORE_FOUNDING_S = 1.0  # the node count must be stable for this time before the group is founded
MAX_FOUNDING_WAIT_S = 5.0  # then the group is founded even with too few nodes
GROUP_KEY = "storage/group"

log = logging.getLogger("control")


def interleave_zones(nodes: list[NodeRecord]) -> list[NodeRecord]:
    """Sort the nodes so that one of each zone is taken in turn."""
    zone_counts: dict[str, int] = {}
    ranked = []
    for node in sorted(nodes, key=lambda n: n.name):
        zone_counts[node.zone] = zone_counts.get(node.zone, 0) + 1
        ranked.append((zone_counts[node.zone], node.zone, node))
    return [node for _, _, node in sorted(ranked, key=lambda r: r[:2])]


def group_by_zone(nodes: list[NodeRecord]) -> list[NodeRecord]:
    """Sort the nodes by zone, the zone with the most nodes first."""
    zone_sizes = Counter(node.zone for node in nodes)
    return sorted(nodes, key=lambda n: (-zone_sizes[n.zone], n.zone, n.name))


class StorageGroupManager:
    """Runs on each control node; `update` is called only on the primary."""

    def __init__(
        self, group: GroupDriver, store: LmdbStore, founder_count: int, prefers_same_zones: bool
    ) -> None:
        self._group = group
        self._store = store
        self._sort_nodes = group_by_zone if prefers_same_zones else interleave_zones
        self._founder_count = founder_count  # keeps a majority after the tolerated number of failures
        self.report: StorageReport | None = None  # the latest from the storage group's primary
        self._node_count = 0  # storage nodes with a session, at the last update
        self._node_count_since = 0.0
        self._first_node_at = 0.0

    def begin_epoch(self) -> None:
        """Discard reports and counts of an earlier epoch, which are too old to act on."""
        self.report = None
        self._node_count, self._node_count_since, self._first_node_at = 0, 0.0, 0.0

    def founding_members(self) -> list[str]:
        value = self._store.get(GROUP_KEY)
        return msgspec.json.decode(value, type=list[str]) if value else []

    async def update(self, nodes: list[NodeRecord], orders: Mapping[str, RetireOrder]) -> None:
        """Record identities, found the group if needed, and advance retirements.

        `nodes` are the storage nodes that have sessions.

        Raises:
            NotPrimary, CommitOutcomeUnknown: to be retried by the current primary.
        """
        await self._record_identities(nodes)
        if not self.founding_members():
            await self._found_group(nodes)
        report, self.report = self.report, None
        for name, order in orders.items():
            next_order = retirement.next_state(name, order, nodes, report)
            if next_order.done and self._has_control_member(order):
                continue
            if next_order != order:
                await self._group.write([retirement.encode_order(name, next_order)])
                log.info("retirement of %s: %s", name, "done" if next_order.done else "new disk identity")

    def _has_control_member(self, order: RetireOrder) -> bool:
        """Whether the control group may still have a member on the machine, or lack a copy on another."""
        replica, hosts = self._group.replica, retirement.retiring_hosts({"": order})
        if any(is_auxiliary(member) and host_of(member) in hosts for member in replica.members):
            return True
        return not replica.membership_committed(self._group.now())

    async def _record_identities(self, nodes: list[NodeRecord]) -> None:
        identities = {prefixed_key(STORAGE_IDENTITY_PREFIX, n.name): n.identity.encode() for n in nodes}
        writes = [Write(key, value) for key, value in identities.items() if self._store.get(key) != value]
        if writes:
            await self._group.write(writes)

    async def _found_group(self, nodes: list[NodeRecord]) -> None:
        """Choose and store the group's first members, once."""
        now = self._group.now()
        if len(nodes) != self._node_count:
            self._node_count, self._node_count_since = len(nodes), now
            self._first_node_at = self._first_node_at or now
            return
        enough = len(nodes) >= self._founder_count
        waited_long = now - self._first_node_at > MAX_FOUNDING_WAIT_S
        if nodes and now - self._node_count_since > STABLE_BEFORE_FOUNDING_S and (enough or waited_long):
            founders = self._sort_nodes(nodes)[: self._founder_count]
            members = msgspec.json.encode(sorted(n.identity for n in founders))
            await self._group.write([Write(GROUP_KEY, members)])
            log.info("founded the storage group with %d of %d nodes", len(founders), len(nodes))
