"""Hosting of a replica, shared by control and storage: store, connections, transfer at shutdown."""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Callable
from pathlib import Path

import picologging as logging

from eiderhub.control.messages import Hello, NodeRecord
from eiderhub.coordination import repair
from eiderhub.coordination.membership import GroupHealth
from eiderhub.coordination.messages import REPLICA_MESSAGES
from eiderhub.coordination.replication import Replica
from eiderhub.coordination.timing import GroupSize
from eiderhub.programs.settings import TierSettings
from eiderhub.storage.store import LmdbStore, StoreUnusable
from eiderhub.transport.frame_connection import Connection
from eiderhub.transport.frames import Message
from eiderhub.transport.group import GroupDriver

TRANSFER_WAIT_S = 0.4  # a planned leadership transfer has finished by then

log = logging.getLogger("replica")


def open_store(settings: TierSettings, identity: str) -> LmdbStore:
    """Open the replica's store, or create it with this identity; exit the process if it is unusable."""
    try:
        store = LmdbStore(Path(settings.data_dir), settings.disk_mb, identity)
    except StoreUnusable as error:
        log.error("%s", error)
        sys.exit(1)
    log.info("starting as %s at %s, created %s", store.identity, store.position, store.created)
    timing = repair.timing_for(settings.catch_up_s)
    within_bound, message = repair.check_catch_up_bound(
        settings.catch_up_s, timing, settings.link_mbps, store.used_bytes
    )
    log.log(logging.INFO if within_bound else logging.WARNING, message)
    return store


def health_metric_lines(health: GroupHealth | None) -> list[str]:
    """Metrics of the group, one per line; known to its primary only."""
    if health is None:
        return []
    return [
        f"group_members {health.members}",
        f"group_live_members {health.live}",
        f"losses_borne {health.losses_borne}",
        f"losses_to_bear {health.losses_to_bear}",
    ]


class ReplicaHost:
    """A replica with its driver and the connections from other replicas."""

    def __init__(
        self,
        store: LmdbStore,
        node: NodeRecord,
        rng: random.Random,
        size: GroupSize,
        on_change: Callable[[], None],
        catch_up_s: float,
    ) -> None:
        timing = repair.timing_for(catch_up_s)
        replica = Replica(node.identity, store, GroupDriver.now(), rng, size, timing)
        self.group = GroupDriver(replica, node, on_change)
        self._connections: dict[Connection, NodeRecord] = {}

    def on_message(self, connection: Connection, message: Message) -> bool:
        """Handle a message between replicas; return false for any other message."""
        if isinstance(message, Hello):
            self._connections[connection] = message.node
            self.group.add_replica(connection, message.node, message.support)
        elif isinstance(message, REPLICA_MESSAGES):
            if connection in self._connections:
                self.group.on_replica_message(self._connections[connection].identity, message)
        else:
            return False
        return True

    def on_closed(self, connection: Connection) -> None:
        node = self._connections.pop(connection, None)
        if node is not None:
            self.group.remove_replica(node.identity, connection)

    async def stop(self) -> None:
        """Transfer leadership if another replica can take it."""
        if self.group.replica.transfer_leadership(self.group.now()):
            self.group.flush()
            await asyncio.sleep(TRANSFER_WAIT_S)
