"""The control program: a replica of the control state, the operator API and control sessions."""

from __future__ import annotations

import asyncio
import random
import uuid

import picologging as logging

from eiderhub import address
from eiderhub.control.messages import NodeRecord
from eiderhub.coordination.wire import WIRE_VERSION
from eiderhub.programs import startup
from eiderhub.programs.control_service import ControlService
from eiderhub.programs.replica_host import open_store
from eiderhub.programs.settings import TierSettings
from eiderhub.transport.frame_connection import Connection
from eiderhub.transport.metrics import serve_metrics

METRICS_PORT_OFFSET = 1  # subtracted from the last port of `port_range`

log = logging.getLogger("control")


def bootstrap_identity(seed_address: str) -> str:
    """Return the identity of a seed at the group's first start; other seeds derive it from the address."""
    return f"founder@{seed_address}"


async def serve(settings: TierSettings, stop: asyncio.Event, reload: asyncio.Event) -> None:
    own_address = f"{settings.ip}:{settings.first_port}"
    seeds = [f"{address.parse_host_port(seed).host}:{settings.first_port}" for seed in settings.seeds]
    bootstraps = settings.bootstrap and own_address in seeds
    identity = bootstrap_identity(own_address) if bootstraps else f"{uuid.uuid4().hex[:10]}@{own_address}"
    store = open_store(settings, identity)
    node = NodeRecord(settings.node_name, "control", settings.zone, store.identity, WIRE_VERSION)
    service = ControlService(settings, store, node)
    if bootstraps:
        service.group.replica.bootstrap(bootstrap_identity(seed) for seed in seeds)
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: Connection(service), settings.ip, settings.first_port)
    await serve_metrics(service.metrics, settings.ip, settings.last_port - METRICS_PORT_OFFSET)
    host, port = address.parse_host_port(settings.control)
    # Imported late, so that the replica can already join its group meanwhile: no operator request is due
    # before this node is primary.
    from eiderhub.transport.operator_http import OperatorServer

    operator = OperatorServer(host, port, service.operator.handle)
    await stop.wait()
    log.info("stops")
    await service.stop()
    operator.stop()
    store.close()


def main(*, settings: str | None = None) -> None:
    """Run a control node.

    :param settings: the settings file; by default the one named by OTTERCLEAT_CONFIG
    """
    random.seed()
    startup.run(serve, settings)


if __name__ == "__main__":
    startup.run_command_line(main)
