"""A real storage service and real item runners in one event loop, connected by controllable TCP proxies."""

from __future__ import annotations

import asyncio
import base64
import json
import uuid
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, cast
from unittest import mock

from eiderhub.batch.messages import Answer
from eiderhub.control.errors import ErrorKind
from eiderhub.control.messages import ConfigurationUpdate, NodeRecord
from eiderhub.dataplane.admission import Admission, Attempt, Call
from eiderhub.dataplane.events import Event
from eiderhub.dataplane.items import ItemRunner
from eiderhub.dataplane.routes import Route, RouteTable
from eiderhub.programs.settings import TierSettings
from eiderhub.programs.storage_service import StorageService
from eiderhub.storage.store import MemoryStore
from eiderhub.transport.frame_connection import Connection
from tests.tier_support import document

TIMEOUT_S = 20.0  # for any expected event, also on slow machines
POLL_S = 0.01
ROUTE = "lots"


async def wait_until(condition: Callable[[], Any], what: str, bound_s: float = TIMEOUT_S) -> Any:
    """Poll `condition` and return its first true value."""
    async with asyncio.timeout(bound_s) as limit:
        while not (value := condition()):
            await asyncio.sleep(POLL_S)
            if limit.expired():
                raise AssertionError(what)
        return value


class Proxy:
    """TCP proxy in front of the storage node; clear `forwarding` to hold back what the node sends."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: list[asyncio.StreamWriter] = []
        self.forwarding = asyncio.Event()
        self.forwarding.set()
        self.session_count = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.session_count += 1
        up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self._port)
        self._writers += [writer, up_writer]
        for coroutine in (
            self._forward(reader, up_writer, None),
            self._forward(up_reader, writer, self.forwarding),
        ):
            task = asyncio.get_running_loop().create_task(coroutine)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    @staticmethod
    async def _forward(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, gate: asyncio.Event | None
    ) -> None:
        try:
            while data := await reader.read(1 << 16):
                if gate is not None:
                    await gate.wait()
                writer.write(data)
        except ConnectionError:
            pass
        finally:
            writer.close()

    def disconnect(self) -> None:
        """Abort all connections."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def close(self) -> None:
        self._server.close()
        self.disconnect()


class ManualAdmission:
    """Admission whose calls the test starts and ends."""

    def __init__(self) -> None:
        self.calls: dict[str, Call] = {}  # by item
        self.ordered: list[str] = []
        self.endpoints_answer = True  # whether endpoints answer this sidecar
        self._response_count = 0

    def response_count(self) -> int:
        self._response_count += self.endpoints_answer
        return self._response_count

    @staticmethod
    def now_us() -> int:
        return 0

    async def reaches_endpoint(self) -> bool:
        return self.endpoints_answer

    def submit(self, call: Call) -> None:
        item = call.request_id.decode()
        self.calls[item] = call
        if self.endpoints_answer:
            call.current_attempt = mock.Mock(spec=Attempt, endpoint="e")  # the call is at an endpoint
        self.ordered.append(item)

    def abandon(self, call: Call) -> None:
        self.calls.pop(call.request_id.decode(), None)

    def time_out(self, call: Call) -> None:
        if self.calls.pop(call.request_id.decode(), None) is not None:
            call.sink.refuse(ErrorKind.UNCERTAIN, 0)

    def start_item(self, item: str) -> None:
        """Deliver the first event of an item."""
        self._response_count += 1
        self.calls[item].sink.event(Event(b"", 0, f"text of {item}"))

    def finish_item(self, item: str) -> None:
        call = self.calls.pop(item)
        self._response_count += 1
        call.sink.event(Event(b"", 0, f"text of {item}"))
        call.sink.finish()

    def fail_item(self, item: str) -> None:
        self.calls.pop(item).sink.refuse(ErrorKind.FAILED, 0)


class Sidecar:
    """A real item runner behind its own proxy."""

    def __init__(self, name: str, proxy: Proxy, route: Route) -> None:
        self.proxy = proxy
        self.admission = ManualAdmission()
        self._route = route
        self.runner = ItemRunner(name, "z0", self, lambda: [proxy.address])

    def route_for(self, name: str) -> tuple[Route, Admission] | None:
        return self._route, cast(Admission, self.admission)

    def routes_to(self, name: str, admission: Admission) -> bool:
        return cast(Any, admission) is self.admission

    def response_count(self) -> int:
        return self.admission.response_count()

    async def reaches_endpoint(self) -> bool:
        return await self.admission.reaches_endpoint()

    async def submit(self, job: str, *items: str) -> int:
        requests = [
            {"id": i, "path": f"/{ROUTE}/{i}", "tokens": 1, "body": base64.b64encode(b"b").decode()}
            for i in items
        ]
        answer = await self.runner.submit(job, ROUTE, json.dumps({"requests": requests}).encode())
        return answer.status

    async def results(self, job: str) -> list[str]:
        answer: Answer = await self.runner.read(job, 0, 0)
        return [r["id"] for r in json.loads(answer.body)["results"]] if answer.status == 200 else []


class Storage:
    """A storage service that is the primary of a group of one."""

    def __init__(self, folder: Path) -> None:
        self.store = MemoryStore()
        identity = f"{uuid.uuid4().hex[:8]}@127.0.0.1:1"
        node = NodeRecord("storage-0", "storage", "z0", identity)
        self.service = StorageService(tier_settings(folder, "storage"), cast(Any, self.store), node)
        self.service.group.replica.bootstrap([identity])
        self.service.tables.apply(ConfigurationUpdate(1, json.dumps(document(1)).encode()))
        self.service._on_tables()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Connection(self.service), "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        await wait_until(self.service.group.leads, "the storage node leads")

    def close(self) -> None:
        self._server.close()
        self.service.group.stop()


def tier_settings(folder: Path, role: str) -> TierSettings:
    """Settings of a node without peers."""
    return TierSettings(
        node_name=f"{role}-0", role=role, ip="127.0.0.1", zone="z0", region="r", zones={}, frontend="",
        readiness="", control="", first_port=1, last_port=2, seeds=[], bootstrap=True,
        counts_for_quorum=True, data_dir=str(folder),
        disk_mb=8.0, memory_mb=100.0, platform_address="", drain_ms=1000.0, grace_s=8.0, status_ttl_s=120.0,
        fault_tolerance=0, zone_fault_tolerance=0, link_mbps=600.0, catch_up_s=4.7,
    )  # fmt: skip


class Harness:
    """The storage node and the sidecars of one test."""

    def __init__(self, folder: Path) -> None:
        self.storage = Storage(folder)
        self._sidecars: list[Sidecar] = []

    async def add_sidecar(self, name: str) -> Sidecar:
        proxy = Proxy(self.storage.port)
        await proxy.start()
        route = RouteTable(1, document(1)).by_name[ROUTE]
        result = Sidecar(name, proxy, route)
        self._sidecars.append(result)
        await wait_until(result.runner._session_ready.is_set, f"{name} has a session")
        return result

    def close(self) -> None:
        for sidecar in self._sidecars:
            sidecar.runner.stop()
            sidecar.proxy.close()
        self.storage.close()


@asynccontextmanager
async def running_harness(folder: Path) -> AsyncIterator[Harness]:
    """A storage node that is the primary; the test adds sidecars."""
    result = Harness(folder)
    await result.storage.start()
    try:
        yield result
    finally:
        result.close()


async def wait_for_results(sidecar: Sidecar, job: str, *items: str) -> None:
    """Wait until these items, and no others, have results."""
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            found = await sidecar.results(job)
            if sorted(found) == sorted(items):
                return
            await asyncio.sleep(POLL_S)
