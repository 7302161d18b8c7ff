"""Test fixtures: processes of the list service, and a client that records what it receives."""

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
from eiderhub.emulator.fault_proxy import FaultProxy
from eiderhub.emulator.processes import Process, Usage, child_environment, reserve_port
from eiderhub.http1 import NoReplyError
from eiderhub.registry import api
from eiderhub.registry.adoption import AdoptionResult
from eiderhub.registry.client import ListWatch, RegistryClient, RequestRefusedError, decode_reply
from eiderhub.registry.records import Entry, Record
from eiderhub.registry.settings import FollowSettings
from tests import sidecar_support

TEST_TIMEOUT_S = 60.0


def run_async(test: Coroutine[Any, Any, None]) -> None:
    sidecar_support.run(test, TEST_TIMEOUT_S)


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


async def wait_until_true(condition: Callable[[], Awaitable[bool]]) -> None:
    while not await condition():
        await asyncio.sleep(0.02)


def make_record(
    name: str, started: int = 1, lease_ms: int | None = None, zone: str = "a", port: int = 80
) -> Record:
    entry = Entry(instance_id=name, host_port=f"127.0.0.1:{port}", zone=zone, started_at_ms=started)
    return Record(entry=entry, owner=f"{name}.{started}", lease_ms=lease_ms)


class RegistryNode:
    """A service process at a fixed address; it can be killed and restarted."""

    def __init__(self, folder: Path, name: str, follow: list[Address] | None = None, **limits: float) -> None:
        self.folder = folder / name
        self.folder.mkdir()
        self.name = name
        self._reserved_port = reserve_port("127.0.0.1")
        self.address = Address(*self._reserved_port.getsockname())
        self.client = RegistryClient(self.address)
        self.process: Process | None = None
        self.exit_status = 0  # of the most recent process
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
        return Process(self.name, command, child_environment(), log, 4096, None, Usage(), self._ended)

    def _ended(self, process: Process, status: int) -> None:
        self.exit_status = status

    async def start(self) -> RegistryNode:
        self.process = self.spawn()
        await wait_until_true(self.is_serving)
        return self

    async def is_serving(self) -> bool:
        try:
            return bool((await self.fetch_status()).branch)
        except (NoReplyError, RequestRefusedError):
            return False

    async def fetch_status(self) -> api.StatusResponse:
        return decode_reply(await self.client.get(api.STATUS_PATH, {}, 2.0), api.StatusResponse)

    async def fetch_version(self) -> int:
        return (await self.fetch_status()).version

    async def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            await self.process.exited.wait()

    async def put(self, record: Record, **condition: int) -> int:
        call = api.PutRequest(record=record, **condition)
        return (await self.client.post(api.PUT_PATH, call, api.WriteResponse, 10.0)).version

    async def drain(self, name: str) -> int:
        return (
            await self.client.post(api.DRAIN_PATH, api.RecordRequest(id=name), api.WriteResponse, 10.0)
        ).version

    async def remove(self, name: str) -> int:
        return (
            await self.client.post(api.REMOVE_PATH, api.RecordRequest(id=name), api.WriteResponse, 10.0)
        ).version

    def read_log(self) -> str:
        path = self.folder / "log"
        return path.read_text(encoding="utf-8") if path.exists() else ""

    def close(self) -> None:
        self.client.close()
        self._reserved_port.close()


class Fleet:
    """Nodes, proxied connections and watchers of one test; the context manager stops them all."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="registry-test-"))
        self.nodes: list[RegistryNode] = []
        self.proxies: list[FaultProxy] = []
        self.watchers: list[Watcher] = []

    async def __aenter__(self) -> Fleet:
        return self

    async def __aexit__(self, *_: object) -> None:
        for watcher in self.watchers:
            watcher.watch.stop()
        for proxy in self.proxies:
            proxy.close()
        for node in self.nodes:
            await node.kill()
            node.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def add_node(self, name: str, follow: list[Address] | None = None, **limits: Any) -> RegistryNode:
        self.nodes.append(RegistryNode(self.folder, name, follow, **limits))
        return await self.nodes[-1].start()

    async def add_proxy(self, node: RegistryNode) -> FaultProxy:
        proxy = FaultProxy("127.0.0.1", lambda: node.address)
        self.proxies.append(proxy)
        await proxy.open()
        return proxy

    def add_watcher(self, *addresses: Address, **settings: Any) -> Watcher:
        follow = FollowSettings(addresses=[str(a) for a in addresses], **{"wait_s": 2.0, **settings})
        self.watchers.append(Watcher(follow))
        return self.watchers[-1]


class Watcher:
    """A client that records the list, the adopted versions and its own log lines."""

    def __init__(self, follow: FollowSettings) -> None:
        self.lifecycles: dict[str, str] = {}  # by endpoint ID
        self.started_at_ms: dict[str, int] = {}
        self.versions: list[tuple[str, int]] = []  # (identity, version) in order of adoption
        self.log_lines: list[str] = []
        self.watch = ListWatch(follow, self._on_change, logger=self)

    @staticmethod
    def unused_logger() -> Watcher:
        """A watcher that only serves as a logger."""
        return Watcher(FollowSettings(addresses=["127.0.0.1:1"]))

    def _on_change(self, adoption: AdoptionResult) -> None:
        if adoption.is_full:
            self.lifecycles.clear()
        for entry in adoption.entries:
            if entry.lifecycle.value == "gone":
                self.lifecycles.pop(entry.instance_id, None)
            else:
                self.lifecycles[entry.instance_id] = entry.lifecycle.value
                self.started_at_ms[entry.instance_id] = entry.started_at_ms
        self.versions.append((self.watch.adopted_list.identity, self.watch.adopted_list.version))

    def info(self, event: str, **fields: object) -> None:
        self.log_lines.append(f"{event} {fields}")

    warning = error = info

    def has_logged(self, text: str) -> bool:
        return any(text in line for line in self.log_lines)
