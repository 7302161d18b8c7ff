"""Processes of the list service: configuration, start, status calls and termination."""

from __future__ import annotations

import asyncio
import resource
import signal
import sys
import time
from pathlib import Path
from typing import Any

import tomli_w

from eiderhub.address import Address
from eiderhub.emulator.processes import Process, Usage, child_environment, reserve_port
from eiderhub.http1 import NoReplyError
from eiderhub.registry import api
from eiderhub.registry.client import RegistryClient, RequestRefusedError, decode_reply

HOST = "127.0.0.1"
READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.02


def max_descriptors() -> int:
    """Return the hard limit of file descriptors per process. The machine's limit is not changed."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[1]


class ProcessEndedError(RuntimeError):
    """A process that the run needs has ended. The message has the last line of its log."""

    def __init__(self, process: Process) -> None:
        tail = process.read_log_tail()
        super().__init__(f"{process.name} has ended: {tail[-1] if tail else 'its log is empty'}")


def spawn(name: str, command: list[str], folder: Path, extra: dict[str, str] | None = None) -> Process:
    """Start a process of the run, with its log in `folder`. `extra`: additional environment variables."""
    log = folder / f"{name}.log"
    environ = child_environment() | (extra or {})
    return Process(name, command, environ, log, max_descriptors(), None, Usage(), lambda *_: None)


class ListService:
    """One process of the list service. Its address stays reserved, so that it can be restarted there."""

    def __init__(self, name: str, folder: Path, settings: dict[str, Any]) -> None:
        """`settings`: its configuration without `listen`. Without `follow` it is a main service."""
        self.name = name
        self._reserved_socket = reserve_port(HOST)
        self.address = Address(*self._reserved_socket.getsockname())
        self.client = RegistryClient(self.address)
        self.process: Process | None = None
        self._folder = folder
        self._settings = {"listen": str(self.address), **settings}
        self._path = folder / f"{name}.toml"

    async def start(self, store: Path | None = None) -> float:
        """Start the process. Returns the seconds until its first answer.

        `store`: store folder of a main service, instead of its own.

        Raises:
            ProcessEndedError: the process has ended.
            TimeoutError: the process did not answer within `READY_TIMEOUT_S`.
        """
        document = dict(self._settings)
        if not document.get("follow"):
            document["store"] = str(store or self._folder / f"{self.name}-store")
        self._path.write_text(tomli_w.dumps(document), encoding="utf-8")
        command = [sys.executable, "-B", "-m", "eiderhub.cli", "registry", "serve"]
        command += ["--config", str(self._path)]
        started_s = time.monotonic()
        process = self.process = spawn(self.name, command, self._folder)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    if (await self.status()).branch:
                        return time.monotonic() - started_s
                except (NoReplyError, RequestRefusedError):
                    pass
                if process.exited.is_set():
                    raise ProcessEndedError(process)
                await asyncio.sleep(POLL_INTERVAL_S)

    async def status(self, wait_s: float = 2.0) -> api.StatusResponse:
        """Fetch the service's status. Raises NoReplyError or RequestRefusedError."""
        return decode_reply(await self.client.get(api.STATUS_PATH, {}, wait_s), api.StatusResponse)

    @property
    def running_process(self) -> Process:
        """The process. Raises RuntimeError if it was never started."""
        if self.process is None:
            raise RuntimeError(f"{self.name} was not started")
        return self.process

    async def stop(self) -> None:
        """Kill the process; it may be started again."""
        if self.process is not None:
            self.process.kill()
            await self.process.exited.wait()

    def close(self) -> None:
        """Close the client and release the address."""
        self.client.close()
        self._reserved_socket.close()


async def end_processes(processes: list[Process], wait_s: float = 5.0) -> None:
    """Send SIGTERM to all processes, and SIGKILL after `wait_s` if any is still running."""
    for process in processes:
        process.send_signal(signal.SIGCONT)
        process.terminate()
    try:
        async with asyncio.timeout(wait_s):
            await asyncio.gather(*(process.exited.wait() for process in processes))
    except TimeoutError:
        for process in processes:
            process.kill()
        await asyncio.gather(*(process.exited.wait() for process in processes))
