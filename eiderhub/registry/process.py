"""Main function of a list service process: opens the store or follows the main service, until SIGTERM."""

from __future__ import annotations

import asyncio
import random
import resource
import signal
from pathlib import Path

import structlog

from eiderhub.registry.config import RegistryConfig
from eiderhub.registry.follower import Follower
from eiderhub.registry.server import RegistryServer, create_core, recover_core
from eiderhub.registry.store import Folder, Store, StoreError

log = structlog.get_logger()


async def serve(config: RegistryConfig) -> None:
    """Serve until SIGTERM or SIGINT.

    Raises:
        StoreError: the store is damaged, open in another process, or not accessible.
        OSError: an address can't be bound.
    """
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    stop = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signum, stop.set)
    core = create_core(config)
    if config.store is None:
        server = RegistryServer(config, core, None)
        await _serve_until(stop, server, Follower(server, config.follow, random.SystemRandom()))
        return
    folder = Folder(Path(config.store))
    try:
        try:
            store = Store(folder)
            for warning in store.contents.warnings:
                log.warning("store repaired at start", reason=warning)
            recover_core(core, store.contents)
        except ValueError as error:
            raise StoreError(f"{config.store}: {error}") from None
        except StoreError as error:
            raise StoreError(f"{config.store}/{error}") from None
        except OSError as error:
            raise StoreError(f"{config.store}: {error.strerror or error}") from None
        await _serve_until(stop, RegistryServer(config, core, store), None)
    finally:
        folder.close()


async def _serve_until(stop: asyncio.Event, server: RegistryServer, follower: Follower | None) -> None:
    await server.open()
    role = "follower" if follower else "main"
    log.info("serves", listen=server.config.listen, role=role, version=server.core.version)
    follower_task = asyncio.get_running_loop().create_task(follower.run()) if follower else None
    await stop.wait()
    if follower_task is not None:
        follower_task.cancel()
    await server.close()
    log.info("ended", version=server.core.version)
