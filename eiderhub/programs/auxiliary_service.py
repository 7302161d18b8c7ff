"""Runs an auxiliary replica of the control group beside a storage node, on the same machine and disk.

The node offers the replica's identity in its session with a control node. The control primary connects to
it if the group has too few members. Until then the replica only has a store, with its identity.
"""

from __future__ import annotations

import asyncio
import random
import uuid
from pathlib import Path

import picologging as logging

from eiderhub.control.messages import NodeRecord
from eiderhub.coordination.auxiliary import auxiliary_identity
from eiderhub.coordination.timing import GroupSize, copies_needed
from eiderhub.coordination.wire import WIRE_VERSION
from eiderhub.programs.replica_host import ReplicaHost
from eiderhub.programs.settings import TierSettings
from eiderhub.storage.store import MAP_SHARE_OF_DISK, LmdbStore, StoreUnusable
from eiderhub.transport.frame_connection import Connection
from eiderhub.transport.frames import Message

PORT_OFFSET = 2  # added to the first port; control and storage nodes use 0 and 1
STORE_FILE_NAME = "auxiliary.lmdb"
SHARE_OF_DISK = 1.0 - MAP_SHARE_OF_DISK  # what the storage node's own state leaves free

log = logging.getLogger("auxiliary")


class AuxiliaryService:
    """Handles the connections of an auxiliary replica, which is started by the first message to it.

    One that has a state may be a member, and is started at once.
    """

    def __init__(self, settings: TierSettings, store: LmdbStore) -> None:
        self._settings = settings
        self._store = store
        self._host: ReplicaHost | None = None
        if not store.is_empty:
            self._start_replica()

    @property
    def identity(self) -> str:
        return self._store.identity

    def _start_replica(self) -> ReplicaHost:
        settings = self._settings
        node = NodeRecord(settings.node_name, "auxiliary", settings.zone, self.identity, WIRE_VERSION)
        self._host = ReplicaHost(
            self._store,
            node,
            random.Random(self.identity),
            GroupSize(None, copies_needed(settings.fault_tolerance)),
            self._on_replica_change,
            settings.catch_up_s,
        )
        log.info("runs an auxiliary replica of the control group")
        return self._host

    def _on_replica_change(self) -> None:
        """Do nothing: this replica has no clients, and transfers leadership by itself."""

    def on_message(self, connection: Connection, message: Message) -> None:
        (self._host or self._start_replica()).on_message(connection, message)

    def on_closed(self, connection: Connection) -> None:
        if self._host is not None:
            self._host.on_closed(connection)

    def metrics(self) -> list[str]:
        """Metrics of the replica, one per line; none before it has been started."""
        if self._host is None:
            return []
        replica = self._host.group.replica
        return [
            f"auxiliary_leads {self._host.group.leads():d}",
            f"auxiliary_epoch {replica.epoch}",
            f"auxiliary_version {replica.version_or_zero}",
            f"auxiliary_store_broken {self._store.broken:d}",
        ]

    async def stop(self) -> None:
        if self._host is not None:
            await self._host.stop()
        self._store.close()


async def start_auxiliary(settings: TierSettings) -> AuxiliaryService | None:
    """Open the auxiliary replica's store and listen for control nodes.

    A machine without a disk, or whose loss nothing covers, offers none: returns None. So does one whose store
    cannot be opened: the storage node itself works without it.
    """
    if not settings.counts_for_quorum or not settings.data_dir:
        return None
    port = settings.first_port + PORT_OFFSET
    identity = auxiliary_identity(uuid.uuid4().hex[:10], f"{settings.ip}:{port}")
    disk_mb = settings.disk_mb * SHARE_OF_DISK
    try:
        store = LmdbStore(Path(settings.data_dir), disk_mb, identity, file_name=STORE_FILE_NAME)
    except StoreUnusable as error:
        log.error("offers no auxiliary replica: %s", error)
        return None
    service = AuxiliaryService(settings, store)
    await asyncio.get_running_loop().create_server(lambda: Connection(service), settings.ip, port)
    return service
