"""The storage program: a replica of the batch state, and an auxiliary replica of the control state."""

from __future__ import annotations

import asyncio
import uuid

import picologging as logging

from eiderhub.control.messages import NodeRecord
from eiderhub.coordination.wire import WIRE_VERSION
from eiderhub.programs import startup
from eiderhub.programs.auxiliary_service import start_auxiliary
from eiderhub.programs.replica_host import open_store
from eiderhub.programs.settings import TierSettings
from eiderhub.programs.storage_service import StorageService
from eiderhub.transport.frame_connection import Connection
from eiderhub.transport.metrics import serve_metrics

METRICS_PORT_OFFSET = 2  # subtracted from the last port; edge and control nodes on the machine use 0 and 1
PORT_OFFSET = 1  # added to the first port, which a control node on the same machine uses

log = logging.getLogger("storage")


async def serve(settings: TierSettings, stop: asyncio.Event, reload: asyncio.Event) -> None:
    port = settings.first_port + PORT_OFFSET
    identity = f"{uuid.uuid4().hex[:10]}@{settings.ip}:{port}"
    store = open_store(settings, identity)
    auxiliary = await start_auxiliary(settings)
    offered = auxiliary.identity if auxiliary is not None else ""
    node = NodeRecord(settings.node_name, "storage", settings.zone, store.identity, WIRE_VERSION, offered)
    service = StorageService(settings, store, node)
    await asyncio.get_running_loop().create_server(lambda: Connection(service), settings.ip, port)

    def metrics() -> list[str]:
        return service.metrics() + (auxiliary.metrics() if auxiliary is not None else [])

    await serve_metrics(metrics, settings.ip, settings.last_port - METRICS_PORT_OFFSET)
    await stop.wait()
    log.info("stops")
    if auxiliary is not None:
        await auxiliary.stop()
    await service.stop()
    store.close()


def main(*, settings: str | None = None) -> None:
    """Run a storage node.

    :param settings: the settings file; by default the one named by OTTERCLEAT_CONFIG
    """
    startup.run(serve, settings)


if __name__ == "__main__":
    startup.run_command_line(main)
