"""One process of the list service: opens its store or follows, and serves until SIGTERM."""

from __future__ import annotations

import asyncio
import random
import resource
import signal
from pathlib import Path

import structlog

from eiderhub.registry.config import Document
from eiderhub.registry.following import Following
from eiderhub.registry.server import Service, new_core, recover
from eiderhub.registry.store import Folder, Store, StoreError

log = structlog.get_logger()


async def serve(config: Document) -> None:
    """Serve until SIGTERM or SIGINT.

    Raises:
        StoreError: the store is damaged, open elsewhere, or can't be used.
        OSError: an address can't be taken.
    """
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    core = new_core(config)
    if config.store is None:
        service = Service(config, core, None)
        await _until(stop, service, Following(service, config.follow, random.SystemRandom()))
        return
    folder = Folder(Path(config.store))
    try:
        try:
            store = Store(folder)
            for note in store.contents.notes:
                log.warning("the store was mended", reason=note)
            recover(core, store.contents)
        except ValueError as error:
            raise StoreError(f"{config.store}: {error}") from None
        except StoreError as error:
            raise StoreError(f"{config.store}/{error}") from None
        except OSError as error:
            raise StoreError(f"{config.store}: {error.strerror or error}") from None
        await _until(stop, Service(config, core, store), None)
    finally:
        folder.close()


async def _until(stop: asyncio.Event, service: Service, following: Following | None) -> None:
    await service.open()
    role = "follower" if following else "main"
    log.info("serves", listen=service.config.listen, role=role, version=service.core.version)
    task = asyncio.get_running_loop().create_task(following.run()) if following else None
    await stop.wait()
    if task is not None:
        task.cancel()
    await service.close()
    log.info("ended", version=service.core.version)
