"""What the control primary does for the storage group: names its founders, and judges retirements."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import msgspec
import picologging as logging

from eiderhub.control import retirement
from eiderhub.control.messages import NodeRecord, StorageReport
from eiderhub.control.retirement import RetireOrder
from eiderhub.coordination.messages import Write
from eiderhub.programs.operator_service import KNOWN_PREFIX
from eiderhub.storage.store import LmdbStore
from eiderhub.transport.group import GroupDriver

FOUND_S = 1.0  # the group is founded once as many of its nodes have been there for so long
FOUND_ANYWAY_S = 5.0
GROUP_KEY = "storage/group"

log = logging.getLogger("control")


def spread_over_zones(nodes: list[NodeRecord]) -> list[NodeRecord]:
    """The nodes in an order that takes one of each zone in turn."""
    turns: dict[str, int] = {}
    ranked = []
    for node in sorted(nodes, key=lambda n: n.name):
        turns[node.zone] = turns.get(node.zone, 0) + 1
        ranked.append((turns[node.zone], node.zone, node))
    return [node for _, _, node in sorted(ranked, key=lambda r: r[:2])]


def gathered_in_zones(nodes: list[NodeRecord]) -> list[NodeRecord]:
    """The nodes in an order that takes all of one zone before the next, the largest zone first."""
    sizes = Counter(node.zone for node in nodes)
    return sorted(nodes, key=lambda n: (-sizes[n.zone], n.zone, n.name))


class StorageTending:
    """Of one control node; does nothing unless it leads."""

    def __init__(self, group: GroupDriver, store: LmdbStore, least: int, gathers: bool) -> None:
        self._group = group
        self._store = store
        self._arranged = gathered_in_zones if gathers else spread_over_zones
        self._least = least  # founders that keep a majority when as many are lost as may be
        self.report: StorageReport | None = None  # the latest of the storage group's primary
        self._seen = 0  # storage nodes that were there
        self._seen_since = 0.0
        self._first_seen = 0.0

    def begin(self) -> None:
        """This node leads a new epoch: what it was told before is too old to judge by."""
        self.report = None
        self._seen, self._seen_since, self._first_seen = 0, 0.0, 0.0

    def founders(self) -> list[str]:
        value = self._store.get(GROUP_KEY)
        return msgspec.json.decode(value, type=list[str]) if value else []

    async def tend(self, nodes: list[NodeRecord], orders: Mapping[str, RetireOrder]) -> None:
        """`nodes`: the storage nodes that have sessions.

        Raises:
            NotPrimary, CommitUnknown: to be tried again by whoever leads.
        """
        await self._note_identities(nodes)
        if not self.founders():
            await self._found(nodes)
        report, self.report = self.report, None
        for name, order in orders.items():
            state = retirement.next_state(name, order, nodes, report)
            if state != order:
                await self._group.write([retirement.write_order(name, state)])
                log.info("retirement of %s: %s", name, "done" if state.done else "another disk")

    async def _note_identities(self, nodes: list[NodeRecord]) -> None:
        known = [
            Write(KNOWN_PREFIX + n.name, n.identity.encode())
            for n in nodes
            if self._store.get(KNOWN_PREFIX + n.name) != n.identity.encode()
        ]
        if known:
            await self._group.write(known)

    async def _found(self, nodes: list[NodeRecord]) -> None:
        """Name the group's first members, once."""
        now = self._group.now()
        if len(nodes) != self._seen:
            self._seen, self._seen_since = len(nodes), now
            self._first_seen = self._first_seen or now
            return
        enough = len(nodes) >= self._least
        waited = now - self._first_seen > FOUND_ANYWAY_S
        if nodes and now - self._seen_since > FOUND_S and (enough or waited):
            founders = self._arranged(nodes)[: self._least]
            members = msgspec.json.encode(sorted(n.identity for n in founders))
            await self._group.write([Write(GROUP_KEY, members)])
            log.info("founded the storage group with %d of %d nodes", len(founders), len(nodes))
