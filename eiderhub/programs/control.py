"""The control program: one replica of the control state, the operator's API, sessions of other processes."""

from __future__ import annotations

import asyncio
import random
import uuid

import picologging as logging

from eiderhub import address
from eiderhub.control.messages import NodeRecord
from eiderhub.coordination.wire import WIRE_VERSION
from eiderhub.programs import starting
from eiderhub.programs.control_service import ControlService
from eiderhub.programs.replica_host import open_store
from eiderhub.programs.settings import TierSettings
from eiderhub.transport.framing import Connection
from eiderhub.transport.metrics import serve_metrics

METRICS_PORT_OFFSET = 1  # from the last free port

log = logging.getLogger("control")


def founding_identity(target: str) -> str:
    """The identity that a seed has in the group's first start, which all others can tell from its address."""
    return f"founder@{target}"


async def serve(settings: TierSettings, stop: asyncio.Event, reload: asyncio.Event) -> None:
    own = f"{settings.ip}:{settings.first_port}"
    seeds = [f"{address.parse(seed).host}:{settings.first_port}" for seed in settings.seeds]
    founder = settings.bootstrap and own in seeds
    identity = founding_identity(own) if founder else f"{uuid.uuid4().hex[:10]}@{own}"
    store = open_store(settings, identity)
    node = NodeRecord(settings.node_name, "control", settings.zone, store.identity, WIRE_VERSION)
    service = ControlService(settings, store, node)
    if founder:
        service.group.replica.bootstrap(founding_identity(seed) for seed in seeds)
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: Connection(service), settings.ip, settings.first_port)
    await serve_metrics(service.metrics, settings.ip, settings.last_port - METRICS_PORT_OFFSET)
    host, port = address.parse(settings.control)
    # Imported here: the replica takes part in its group meanwhile, and no call is due before it leads.
    from eiderhub.transport.operator_http import OperatorServer

    operator = OperatorServer(host, port, service.operator.handle)
    await stop.wait()
    log.info("stops")
    await service.stop()
    operator.stop()
    store.close()


def main(*, settings: str | None = None) -> None:
    """Run a control node.

    :param settings: the settings file, in place of the one that OTTERCLEAT_CONFIG names
    """
    random.seed()
    starting.run(serve, settings)


if __name__ == "__main__":
    starting.begin(main)
