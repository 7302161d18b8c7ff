"""The sidecar process: start-up, signals, shutdown and exit status."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import itertools
import os
import signal
import socket
import sys
import time
from functools import partial
from typing import TYPE_CHECKING

import structlog
import uvloop

from eiderhub.address import Address
from eiderhub.sidecar.bodies import buffer_limit
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.config import Config, ConfigError, load, load_discovery
from eiderhub.sidecar.discovery import DiscoveryWatcher
from eiderhub.sidecar.handover import ProcessLocks, inherited_socket, read_memory, write_memory
from eiderhub.sidecar.host import Host
from eiderhub.sidecar.lifecycle import FLUSH_DELAY_S, Lifecycle
from eiderhub.sidecar.logs import configure
from eiderhub.sidecar.management import MAX_CONNECTIONS, RESERVED_DESCRIPTORS, ManagementServer
from eiderhub.sidecar.server import Server

if TYPE_CHECKING:
    from eiderhub.registry.client import Registration
    from eiderhub.registry.settings import RegisterSettings

CALLER_SOCKETS_FRACTION = 0.55  # of the file descriptors, for callers
UPSTREAM_SOCKETS_FRACTION = 0.4  # for connections to endpoints; the rest is for other uses
# SIGKILL follows SIGTERM after this, or the longest deadline if that is shorter, plus 0.7 s.
MAX_DEADLINE_S = 3.0
DRAIN_MARGIN_S = 0.4  # a drain may take this much longer, so that it ends before SIGKILL
PROCESS_CHECK_INTERVAL_S = 0.1  # how often to look for other processes of this sidecar
CHECKS_PER_MEMORY_WRITE = 5  # the balancer state is stored once per this many checks
FIRST_LIST_TIMEOUT_S = 2.0  # how long a successor waits for an endpoint list before serving anyway
FRESH_LIST_TIMEOUT_S = 4.0  # how long to wait for discovery, as the age of the known list is unknown
DEREGISTER_TIMEOUT_S = 0.3  # to remove the endpoint from the registry
RELOAD_ATTEMPTS, RELOAD_RETRY_DELAY_S = 11, 0.1  # reading the configuration after SIGHUP
LAG_SAMPLE_INTERVAL_S = 0.1
LAG_LOG_INTERVAL_S = 10.0
LAG_WARNING_US = 50_000  # a larger lag uses up the margin by which answers precede deadlines
log = structlog.get_logger()


async def watch_lag() -> None:
    """Periodically log the longest event loop lag, which is part of every latency measured here."""
    worst, next_log = 0, now_us() + int(LAG_LOG_INTERVAL_S * 1e6)
    while True:
        before = now_us()
        await asyncio.sleep(LAG_SAMPLE_INTERVAL_S)
        now = now_us()
        worst = max(worst, now - before - int(LAG_SAMPLE_INTERVAL_S * 1e6))
        if now >= next_log:
            if worst >= LAG_WARNING_US:
                log.warning("the event loop was late", most_ms=worst // 1000)
            worst, next_log = 0, now + int(LAG_LOG_INTERVAL_S * 1e6)


async def drain(lifecycle: Lifecycle, server: Server, host: Host, successor: bool = False) -> None:
    """Answer all accepted requests before SIGKILL, while callers move to other sidecars."""
    finish_s = min(MAX_DEADLINE_S, max(c.deadline_us for c in host.settings.classes) / 1e6) + DRAIN_MARGIN_S
    # Requests that arrive on open connections until then can still be served within the shortest target time.
    keep_open_s = finish_s - min(c.aim_us for c in host.settings.classes) / 1e6
    await lifecycle.stop(keep_open_s, finish_s, successor)
    host.fail_all()
    server.shut_down()
    await asyncio.sleep(FLUSH_DELAY_S)


async def share_resources(
    process_locks: ProcessLocks, server: Server, host: Host, sockets: int, directory: str | None
) -> None:
    """Divide the descriptors among this sidecar's processes; store balancer state for a successor."""
    for check in itertools.count():
        others = process_locks.count_others()
        available = sockets / (1 + others)
        if directory and not others and not check % CHECKS_PER_MEMORY_WRITE:
            write_memory(directory, host.balancer.learned_state(now_us()))
        server.max_connections = max(1, int(CALLER_SOCKETS_FRACTION * available))
        host.upstream.set_max_connections(max(1, int(UPSTREAM_SOCKETS_FRACTION * available)))
        await asyncio.sleep(PROCESS_CHECK_INTERVAL_S)


async def reload(host: Host) -> None:
    """On SIGHUP: switch to the discovery address in the configuration file.

    The file may not be written completely yet, so reading it is retried for a while.
    """
    for tries_left in range(RELOAD_ATTEMPTS - 1, -1, -1):
        try:
            address = load_discovery(os.environ)
            break
        except ConfigError as error:
            if not tries_left:
                log.error("the configuration was not reloaded", reason=str(error))
                return
            if tries_left == RELOAD_ATTEMPTS - 1:
                log.warning("the configuration is read again", reason=str(error))
        await asyncio.sleep(RELOAD_RETRY_DELAY_S)
    if isinstance(address, Address) and isinstance(host.watcher, DiscoveryWatcher):
        log.info("discovery has moved", to=f"{address.host}:{address.port}")
        host.watcher.set_address(address.host, address.port)
    elif not isinstance(address, Address) and not isinstance(host.watcher, DiscoveryWatcher):
        log.info("discovery has moved", to=", ".join(address.addresses))
        host.watcher.set_registry(address)
    else:
        log.error("the configuration was not reloaded", reason="[registry] needs a restart")


class Reloader:
    """Runs one reload at a time; another signal restarts a running reload."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self._task: asyncio.Task[None] | None = None

    def restart(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._task = asyncio.get_running_loop().create_task(reload(self._host))


def start_registration(register: RegisterSettings) -> Registration:
    """Register the local endpoint for as long as it is alive and this process runs."""
    from eiderhub.address import parse_host_port
    from eiderhub.registry.client import (  # imported only if configured
        Registration,
        build_record,
        is_endpoint_alive,
    )

    endpoint = parse_host_port(register.address)
    record = build_record(register, time.time_ns() // 1_000_000)
    addresses = [parse_host_port(text) for text in register.addresses]
    is_alive = partial(is_endpoint_alive, endpoint, register.alive)
    registration = Registration(record, addresses, is_alive, register.alive_every_s)
    registration.start()
    return registration


async def run_sidecar(config: Config, inherited: socket.socket | None, directory: str | None) -> None:
    process_locks = ProcessLocks(directory)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    # During an upgrade two processes share one sidecar's limits. Buffered bodies can't be released when the
    # other process starts, so a process that may have a successor uses half of the memory from the start.
    memory = config.memory_bytes // 2 if inherited else config.memory_bytes
    # Reserve descriptors before dividing the rest, or callers and endpoints could leave none for discovery.
    reserved = RESERVED_DESCRIPTORS + (MAX_CONNECTIONS if config.management else 0)
    sockets = max(1, config.sockets - reserved)
    host = Host(config, max(1, int(UPSTREAM_SOCKETS_FRACTION * sockets)), memory)
    loop.add_signal_handler(signal.SIGHUP, Reloader(host).restart)
    max_callers = max(1, int(CALLER_SOCKETS_FRACTION * sockets))
    server = Server(host, max_callers, buffer_limit(memory, max_callers))
    await server.bind(config.listen.host, config.listen.port, inherited)
    if config.management:
        management = ManagementServer(server.lifecycle, host.metric_lines)
        await management.bind(config.management.host, config.management.port)
    host.start()
    background_coroutines = [host.upstream.sweep(), host.upstream.log_outcomes(), watch_lag()]
    background_coroutines += [server.watch_timeouts(), server.log_failures()]
    if inherited:
        process_locks.acquire()
        if (
            directory
            and process_locks.count_others()
            and (predecessor_memory := read_memory(directory)) is not None
        ):
            host.balancer.restore(now_us(), predecessor_memory)
            log.info("restored the balancer state of the serving process")
        background_coroutines.append(share_resources(process_locks, server, host, sockets, directory))
    background = [loop.create_task(coroutine) for coroutine in background_coroutines]
    # Exclude long-lived objects from garbage collection: a full collection delays every request.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    if inherited:
        # Another process may be serving on this socket; let it accept until this one can serve.
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(host.endpoints_known.wait(), FIRST_LIST_TIMEOUT_S)
    if not inherited and isinstance(host.watcher, DiscoveryWatcher) and not host.watcher.retry_forever:
        # Changes since the known list must take effect within 6 s, also right after a start.
        discovery_answered, stop_requested = (
            asyncio.ensure_future(event.wait()) for event in (host.watcher.first_poll_done, stop)
        )
        await asyncio.wait(
            (discovery_answered, stop_requested),
            timeout=FRESH_LIST_TIMEOUT_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        discovery_answered.cancel()
        stop_requested.cancel()
    await server.listener.start_serving()
    log.info("serves", listen=f"{config.listen.host}:{config.listen.port}")
    registration = start_registration(config.register) if config.register is not None else None
    await stop.wait()
    deregistration = loop.create_task(registration.drain()) if registration is not None else None
    await drain(server.lifecycle, server, host, inherited is not None and process_locks.count_others() > 0)
    for task in background:
        task.cancel()
    if registration is not None and deregistration is not None:
        deregistration.cancel()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DEREGISTER_TIMEOUT_S):
                await registration.remove()


def main() -> int:
    try:
        config = load(os.environ)
        configure({"name": config.name, "tier": config.tier}, config.log.form, config.log.lines_per_s)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run_sidecar(config, inherited_socket(os.environ), os.environ.get("TMPDIR")))
    except ConfigError as error:
        print(f"ottercleat: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"ottercleat: {error}", file=sys.stderr)
        return 1
    return 0
