"""Processes of the list service for tests, and a client's view of them."""

from __future__ import annotations

import asyncio
import shutil
import sys
import tempfile
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

import tomli_w

from eiderhub.address import Address
from eiderhub.emulator.processes import Process, Usage, claim, environment
from eiderhub.emulator.wires import Wire
from eiderhub.http1 import NoReplyError
from eiderhub.registry import calls
from eiderhub.registry.belief import Verdict
from eiderhub.registry.client import Line, Refused, Watch, read
from eiderhub.registry.records import Entry, Record
from eiderhub.registry.settings import Follow
from tests import sidecar_support

PATIENCE_S = 60.0  # a test that waits longer for an event has failed


def run(test: Coroutine[Any, Any, None]) -> None:
    sidecar_support.run(test, PATIENCE_S)


async def until(holds: Callable[[], bool]) -> None:
    while not holds():
        await asyncio.sleep(0.01)


async def until_true(holds: Callable[[], Awaitable[bool]]) -> None:
    while not await holds():
        await asyncio.sleep(0.02)


def record(
    name: str, started: int = 1, lease_ms: int | None = None, zone: str = "a", port: int = 80
) -> Record:
    entry = Entry(instance_id=name, host_port=f"127.0.0.1:{port}", zone=zone, started_at_ms=started)
    return Record(entry=entry, owner=f"{name}.{started}", lease_ms=lease_ms)


class Node:
    """One process of the service at one address, started again and again."""

    def __init__(self, folder: Path, name: str, follow: list[Address] | None = None, **limits: float) -> None:
        self.folder = folder / name
        self.folder.mkdir()
        self.name = name
        self._claim = claim("127.0.0.1")
        self.address = Address(*self._claim.getsockname())
        self.line = Line(self.address)
        self.process: Process | None = None
        self.status = 0  # of the process that ended last
        document: dict[str, Any] = {"listen": str(self.address), "limits": {"settle_s": 0.5, **limits}}
        self.store = self.folder / "store"
        document |= {"follow": [str(a) for a in follow]} if follow else {"store": str(self.store)}
        self.config = self.folder / "registry.toml"
        self.config.write_text(tomli_w.dumps(document), encoding="utf-8")

    def spawn(self) -> Process:
        command = [
            sys.executable,
            "-B",
            "-m",
            "eiderhub.cli",
            "registry",
            "serve",
            "--config",
            str(self.config),
        ]
        log = self.folder / "log"
        return Process(self.name, command, environment(), log, 4096, None, Usage(), self._ended)

    def _ended(self, process: Process, status: int) -> None:
        self.status = status

    async def start(self) -> Node:
        self.process = self.spawn()
        await until_true(self.serves)
        return self

    async def serves(self) -> bool:
        try:
            return bool((await self.state()).branch)
        except (NoReplyError, Refused):
            return False

    async def state(self) -> calls.Status:
        return read(await self.line.get(calls.STATUS, {}, 2.0), calls.Status)

    async def version(self) -> int:
        return (await self.state()).version

    async def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            await self.process.ended.wait()

    async def put(self, one: Record, **condition: int) -> int:
        call = calls.PutCall(record=one, **condition)
        return (await self.line.post(calls.PUT, call, calls.Done, 10.0)).version

    async def drain(self, name: str) -> int:
        return (await self.line.post(calls.DRAIN, calls.RecordCall(id=name), calls.Done, 10.0)).version

    async def remove(self, name: str) -> int:
        return (await self.line.post(calls.REMOVE, calls.RecordCall(id=name), calls.Done, 10.0)).version

    def log(self) -> str:
        path = self.folder / "log"
        return path.read_text(encoding="utf-8") if path.exists() else ""

    def close(self) -> None:
        self.line.close()
        self._claim.close()


class Fleet:
    """Nodes, wires and watchers of one test; leaving it ends them all."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="registry-test-"))
        self.nodes: list[Node] = []
        self.wires: list[Wire] = []
        self.watchers: list[Watcher] = []

    async def __aenter__(self) -> Fleet:
        return self

    async def __aexit__(self, *_: object) -> None:
        for watcher in self.watchers:
            watcher.watch.stop()
        for wire in self.wires:
            wire.close()
        for node in self.nodes:
            await node.kill()
            node.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def node(self, name: str, follow: list[Address] | None = None, **limits: Any) -> Node:
        self.nodes.append(Node(self.folder, name, follow, **limits))
        return await self.nodes[-1].start()

    async def wire(self, node: Node) -> Wire:
        wire = Wire("127.0.0.1", lambda: node.address)
        self.wires.append(wire)
        await wire.open()
        return wire

    def watch(self, *addresses: Address, **settings: Any) -> Watcher:
        follow = Follow(addresses=[str(a) for a in addresses], **{"wait_s": 2.0, **settings})
        self.watchers.append(Watcher(follow))
        return self.watchers[-1]


class Watcher:
    """A client that keeps what it is told, and what it says about it."""

    def __init__(self, follow: Follow) -> None:
        self.listed: dict[str, str] = {}  # id -> lifecycle
        self.started: dict[str, int] = {}
        self.versions: list[tuple[str, int]] = []  # as they came into use
        self.said: list[str] = []
        self.watch = Watch(follow, self._told, told=self)

    @staticmethod
    def quiet() -> Watcher:
        """A log that nobody reads."""
        return Watcher(Follow(addresses=["127.0.0.1:1"]))

    def _told(self, verdict: Verdict) -> None:
        if verdict.whole:
            self.listed.clear()
        for entry in verdict.entries:
            if entry.lifecycle.value == "gone":
                self.listed.pop(entry.instance_id, None)
            else:
                self.listed[entry.instance_id] = entry.lifecycle.value
                self.started[entry.instance_id] = entry.started_at_ms
        self.versions.append((self.watch.belief.identity, self.watch.belief.version))

    def info(self, event: str, **fields: object) -> None:
        self.said.append(f"{event} {fields}")

    warning = error = info

    def has_said(self, text: str) -> bool:
        return any(text in line for line in self.said)
