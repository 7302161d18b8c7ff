"""The edge program: a sidecar that forwards client requests to endpoints."""

from __future__ import annotations

import asyncio

import picologging as logging

from eiderhub import address
from eiderhub.dataplane.frontend import FrontendConnection, ReadinessConnection
from eiderhub.http1 import ServerConnection
from eiderhub.programs import startup
from eiderhub.programs.edge_service import EdgeService
from eiderhub.programs.settings import TierSettings
from eiderhub.transport.metrics import serve_metrics

DRAIN_CHECK_INTERVAL_S = 0.05

log = logging.getLogger("edge")


async def serve(settings: TierSettings, stop: asyncio.Event, reload: asyncio.Event) -> None:
    service = EdgeService(settings)
    loop = asyncio.get_running_loop()
    clients: set[ServerConnection] = set()
    readiness_clients: set[ServerConnection] = set()
    host, port = address.parse_host_port(settings.frontend)
    await loop.create_server(lambda: FrontendConnection(service, clients), host, port, backlog=512)
    host, port = address.parse_host_port(settings.readiness)
    await loop.create_server(lambda: ReadinessConnection(service.ready, readiness_clients), host, port)
    await serve_metrics(service.metrics, settings.ip, settings.last_port)
    log.info("starts")
    await stop.wait()
    log.info("drains")
    drain = service.drain(settings.grace_s)
    while not drain.is_over(service.now(), service.is_idle, service.last_request_at):
        await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
    service.time_out_pending()
    log.info("ends")


def main(*, settings: str | None = None) -> None:
    """Run an edge sidecar.

    :param settings: the settings file; by default the one named by OTTERCLEAT_CONFIG
    """
    startup.run(serve, settings)


if __name__ == "__main__":
    startup.run_command_line(main)
