"""One sidecar, from its start to its end on SIGTERM, and its exit status."""

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
from eiderhub.sidecar.bodies import most_kept
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.config import Config, ConfigError, load, load_discovery
from eiderhub.sidecar.discovery import Watcher
from eiderhub.sidecar.handover import Presence, inherited_socket, recollect, remember
from eiderhub.sidecar.host import Host
from eiderhub.sidecar.lifecycle import FLUSH_S, Lifecycle
from eiderhub.sidecar.logs import configure
from eiderhub.sidecar.management import MOST, OWN_DESCRIPTORS, Management
from eiderhub.sidecar.server import Server

if TYPE_CHECKING:
    from eiderhub.registry.client import Registration
    from eiderhub.registry.settings import Register

CALLERS_SHARE = 0.55  # of the descriptors, for callers
UPSTREAM_SHARE = 0.4  # and for connections to endpoints; the few that are left are for all else
LONGEST_S = 3.0  # SIGKILL comes this, or the longest deadline if that is shorter, and 0.7 s after SIGTERM
AFTER_LONGEST_S = 0.4  # so that everything is answered by then
SHARE_EVERY_S = 0.1  # how often we look for other processes of this sidecar
REMEMBER_TURNS = 5  # of these: how often what was learned is written down
FIRST_LIST_S = 2.0  # how long a process beside another waits for a list before it serves all the same
FRESH_LIST_S = 4.0  # how long a process that discovery refuses waits: its known list is of unknown age
LEAVE_S = 0.3  # for the list service to hear that we are gone
READ_TRIES, READ_AGAIN_S = 11, 0.1  # how often, and after what wait, a configuration is read after SIGHUP
LAG_EVERY_S = 0.1
LAG_LOG_S = 10.0
LAG_WORTH_US = 50_000  # a lag that eats a good part of the margin for answers
log = structlog.get_logger()


async def watch_lag() -> None:
    """Log the longest lag of the event loop, sparsely: it adds to every latency that is measured here."""
    worst, next_log = 0, now_us() + int(LAG_LOG_S * 1e6)
    while True:
        before = now_us()
        await asyncio.sleep(LAG_EVERY_S)
        now = now_us()
        worst = max(worst, now - before - int(LAG_EVERY_S * 1e6))
        if now >= next_log:
            if worst >= LAG_WORTH_US:
                log.warning("the event loop was late", most_ms=worst // 1000)
            worst, next_log = 0, now + int(LAG_LOG_S * 1e6)


async def drain(lifecycle: Lifecycle, server: Server, host: Host, successor: bool = False) -> None:
    """Answer all that was taken, in time for SIGKILL, while callers are sent elsewhere."""
    end_s = min(LONGEST_S, max(c.deadline_us for c in host.settings.classes) / 1e6) + AFTER_LONGEST_S
    # What comes by then on connections that callers hold can still be served within the shortest aim.
    keep_s = end_s - min(c.aim_us for c in host.settings.classes) / 1e6
    await lifecycle.stop(keep_s, end_s, successor)
    host.fail_all()
    server.end()
    await asyncio.sleep(FLUSH_S)


async def share(presence: Presence, server: Server, host: Host, sockets: int, directory: str | None) -> None:
    """Keep to our part of the descriptors while others of this sidecar live; tell them what we know."""
    for turn in itertools.count():
        others = presence.others()
        part = sockets / (1 + others)
        if directory and not others and not turn % REMEMBER_TURNS:
            remember(directory, host.balancer.learned_state(now_us()))
        server.most = max(1, int(CALLERS_SHARE * part))
        host.upstream.limit(max(1, int(UPSTREAM_SHARE * part)))
        await asyncio.sleep(SHARE_EVERY_S)


async def reload(host: Host) -> None:
    """SIGHUP: follow discovery to the address that the configuration file names now.

    The file may still be on its way to the disk: one that can't be read is read again for a while.
    """
    for tries_left in range(READ_TRIES - 1, -1, -1):
        try:
            address = load_discovery(os.environ)
            break
        except ConfigError as error:
            if not tries_left:
                log.error("the configuration was not reloaded", reason=str(error))
                return
            if tries_left == READ_TRIES - 1:
                log.warning("the configuration is read again", reason=str(error))
        await asyncio.sleep(READ_AGAIN_S)
    if isinstance(address, Address) and isinstance(host.watcher, Watcher):
        log.info("discovery has moved", to=f"{address.host}:{address.port}")
        host.watcher.move(address.host, address.port)
    elif not isinstance(address, Address) and not isinstance(host.watcher, Watcher):
        log.info("discovery has moved", to=", ".join(address.addresses))
        host.watcher.move(address)
    else:
        log.error("the configuration was not reloaded", reason="[registry] needs a restart")


class Reloading:
    """Carries out one reload at a time: a signal amid one begins it anew."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self._task: asyncio.Task[None] | None = None

    def begin(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._task = asyncio.get_running_loop().create_task(reload(self._host))


def begin_registration(register: Register) -> Registration:
    """Have the endpoint beside us listed for as long as it lives and we do."""
    from eiderhub.address import parse
    from eiderhub.registry.client import Registration, lives, record_of  # only where it is asked for

    endpoint = parse(register.address)
    record = record_of(register, time.time_ns() // 1_000_000)
    addresses = [parse(text) for text in register.addresses]
    alive = partial(lives, endpoint, register.alive)
    registration = Registration(record, addresses, alive, register.alive_every_s)
    registration.start()
    return registration


async def serve(config: Config, inherited: socket.socket | None, directory: str | None) -> None:
    presence = Presence(directory)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # What two processes hold in an upgrade counts as one sidecar's. Bodies in memory can't be given up when
    # the other one comes, so where there may be one their part is half from the start.
    memory = config.memory // 2 if inherited else config.memory
    # Danger: shares of the whole leave none for discovery where callers and endpoints take all of theirs.
    spare = OWN_DESCRIPTORS + (MOST if config.management else 0)
    sockets = max(1, config.sockets - spare)
    host = Host(config, max(1, int(UPSTREAM_SHARE * sockets)), memory)
    loop.add_signal_handler(signal.SIGHUP, Reloading(host).begin)
    callers = max(1, int(CALLERS_SHARE * sockets))
    server = Server(host, callers, most_kept(memory, callers))
    await server.bind(config.listen.host, config.listen.port, inherited)
    if config.management:
        management = Management(server.lifecycle, host.figure_lines)
        await management.bind(config.management.host, config.management.port)
    host.start()
    chores = [host.upstream.sweep(), host.upstream.report(), watch_lag()]
    chores += [server.watch_callers(), server.report()]
    if inherited:
        presence.enter()
        if directory and presence.others() and (memory_of_old := recollect(directory)) is not None:
            host.balancer.restore(now_us(), memory_of_old)
            log.info("starts with what the process in service has learned")
        chores.append(share(presence, server, host, sockets, directory))
    background = [loop.create_task(chore) for chore in chores]
    # What lives from here to the end need not be walked again: a full collection holds up every request.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    if inherited:
        # Another process may serve on this socket: what we can't serve yet had better be taken by that one.
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(host.named.wait(), FIRST_LIST_S)
    if not inherited and isinstance(host.watcher, Watcher) and not host.watcher.persist:
        # Danger: what has changed since the known list counts as told 6 s after it did, here as well.
        heard, ended = (asyncio.ensure_future(each.wait()) for each in (host.watcher.heard, stop))
        await asyncio.wait((heard, ended), timeout=FRESH_LIST_S, return_when=asyncio.FIRST_COMPLETED)
        heard.cancel()
        ended.cancel()
    await server.listener.start_serving()
    log.info("serves", listen=f"{config.listen.host}:{config.listen.port}")
    registration = begin_registration(config.register) if config.register is not None else None
    await stop.wait()
    told = loop.create_task(registration.drain()) if registration is not None else None
    await drain(server.lifecycle, server, host, inherited is not None and presence.others() > 0)
    for task in background:
        task.cancel()
    if registration is not None and told is not None:
        told.cancel()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_S):
                await registration.remove()


def main() -> int:
    try:
        config = load(os.environ)
        configure({"name": config.name, "tier": config.tier}, config.log.form, config.log.lines_per_s)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, inherited_socket(os.environ), os.environ.get("TMPDIR")))
    except ConfigError as error:
        print(f"ottercleat: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"ottercleat: {error}", file=sys.stderr)
        return 1
    return 0
