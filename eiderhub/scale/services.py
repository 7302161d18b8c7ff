"""Processes of the list service: their configuration, start, calls and end."""

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
from eiderhub.emulator.processes import Process, Usage, claim, environment
from eiderhub.http1 import NoReplyError
from eiderhub.registry import api
from eiderhub.registry.client import RegistryClient, RequestRefusedError, decode_reply

HOST = "127.0.0.1"
READY_S = 60.0
LOOK_S = 0.02


def descriptors() -> int:
    """All that a process may have; the machine's limit stays as it is."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[1]


class Ended(RuntimeError):
    """A process that a run needs has ended, with what it said last."""

    def __init__(self, process: Process) -> None:
        tail = process.tail()
        super().__init__(f"{process.name} has ended: {tail[-1] if tail else 'it said nothing'}")


def spawn(name: str, command: list[str], folder: Path, extra: dict[str, str] | None = None) -> Process:
    """One of ours, with its log beside the others."""
    log = folder / f"{name}.log"
    environ = environment() | (extra or {})
    return Process(name, command, environ, log, descriptors(), None, Usage(), lambda *_: None)


class ListService:
    """One process of the list service at an address that stays ours, started again and again."""

    def __init__(self, name: str, folder: Path, settings: dict[str, Any]) -> None:
        """`settings`: its configuration, but for `listen`; without `follow` it is a main one with a store."""
        self.name = name
        self._held = claim(HOST)
        self.address = Address(*self._held.getsockname())
        self.line = RegistryClient(self.address)
        self.process: Process | None = None
        self._folder = folder
        self._settings = {"listen": str(self.address), **settings}
        self._path = folder / f"{name}.toml"

    async def start(self, store: Path | None = None) -> float:
        """Returns the seconds until its first answer. `store`: in place of a main one's own folder.

        Raises:
            Ended: it did not come up.
            TimeoutError: it did not answer within `READY_S`.
        """
        document = dict(self._settings)
        if not document.get("follow"):
            document["store"] = str(store or self._folder / f"{self.name}-store")
        self._path.write_text(tomli_w.dumps(document), encoding="utf-8")
        command = [sys.executable, "-B", "-m", "eiderhub.cli", "registry", "serve"]
        command += ["--config", str(self._path)]
        begun = time.monotonic()
        process = self.process = spawn(self.name, command, self._folder)
        async with asyncio.timeout(READY_S):
            while True:
                try:
                    if (await self.status()).branch:
                        return time.monotonic() - begun
                except (NoReplyError, RequestRefusedError):
                    pass
                if process.ended.is_set():
                    raise Ended(process)
                await asyncio.sleep(LOOK_S)

    async def status(self, wait_s: float = 2.0) -> api.StatusResponse:
        """Raises NoReplyError or RequestRefusedError."""
        return decode_reply(await self.line.get(api.STATUS_PATH, {}, wait_s), api.StatusResponse)

    @property
    def running(self) -> Process:
        """Raises RuntimeError where it was never started."""
        if self.process is None:
            raise RuntimeError(f"{self.name} was not started")
        return self.process

    async def stop(self) -> None:
        """Kill it; it may be started again."""
        if self.process is not None:
            self.process.kill()
            await self.process.ended.wait()

    def close(self) -> None:
        self.line.close()
        self._held.close()


async def end(processes: list[Process], wait_s: float = 5.0) -> None:
    """SIGTERM to all, SIGKILL to those that stay."""
    for process in processes:
        process.send(signal.SIGCONT)
        process.terminate()
    try:
        async with asyncio.timeout(wait_s):
            await asyncio.gather(*(process.ended.wait() for process in processes))
    except TimeoutError:
        for process in processes:
            process.kill()
        await asyncio.gather(*(process.ended.wait() for process in processes))
