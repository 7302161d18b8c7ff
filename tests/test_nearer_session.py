"""A session with a control node of another zone moves to a node of its own zone without an interruption."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from eiderhub.control.distribution import Tables
from eiderhub.control.messages import (
    NodeRecord,
    NodesUpdate,
    SessionOpen,
    SessionPing,
    SessionPong,
    TableVersion,
)
from eiderhub.transport import control_session
from eiderhub.transport.control_session import ControlSession, control_candidates
from eiderhub.transport.frame_connection import Connection
from eiderhub.transport.frames import Message

TIMEOUT_S = 10.0


class FakeControlNode:
    """Answers pings, and signals when a session is opened, answered and closed."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.age_s: float | None = 0.0  # age of its tables; None: it cannot tell
        self.opened = asyncio.Event()
        self.ended = asyncio.Event()
        self.answered = asyncio.Event()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Connection(self), "127.0.0.1", 0)
        self.target = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        self._server.close()

    def on_message(self, connection: Connection, message: Message) -> None:
        if isinstance(message, SessionOpen):
            self.opened.set()
        elif isinstance(message, SessionPing):
            connection.send(SessionPong(message.sent_at, self.age_s))
            self.answered.set()

    def on_closed(self, connection: Connection) -> None:
        self.ended.set()

    async def answer_pings(self, count: int) -> None:
        """Wait until this many more pings have been answered."""
        for _ in range(count):
            self.answered.clear()
            await self.answered.wait()

    @property
    def record(self) -> NodeRecord:
        return NodeRecord(f"c-{self.zone}", "control", self.zone, f"id@{self.target}")


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control_session, "SAME_ZONE_CHECK_INTERVAL_S", 0.0)
    monkeypatch.setattr(control_session, "PING_INTERVAL_S", 0.01)


@asynccontextmanager
async def session_with(seed: FakeControlNode, tables: Tables) -> AsyncIterator[ControlSession]:
    session = ControlSession(
        NodeRecord("e", "edge", "a"),
        tables,
        lambda: control_candidates(tables, [seed.target], "a", lambda _: None),
        lambda: None,
    )
    try:
        yield session
    finally:
        session.task.cancel()


def run(test: Callable[[FakeControlNode, FakeControlNode], Awaitable[None]]) -> None:
    async def started() -> None:
        near, far = FakeControlNode("a"), FakeControlNode("b")
        await near.start()
        await far.start()
        async with asyncio.timeout(TIMEOUT_S):
            await test(near, far)
        near.stop()
        far.stop()

    asyncio.run(started())


def publish_nodes(tables: Tables, *nodes: FakeControlNode) -> None:
    tables.apply(NodesUpdate(TableVersion(1, 1), [node.record for node in nodes], 1, [], []))


def test_session_moves_to_a_node_of_its_own_zone_once_it_is_known() -> None:
    async def test(near: FakeControlNode, far: FakeControlNode) -> None:
        tables = Tables()
        async with session_with(far, tables) as session:
            await far.answered.wait()
            publish_nodes(tables, near, far)
            await near.answered.wait()
            await far.ended.wait()
            assert session.connection is not None and session.connection.peer_zone == "a"

    run(test)


def test_session_stays_if_the_nearer_node_refuses_connections() -> None:
    async def test(near: FakeControlNode, far: FakeControlNode) -> None:
        near.stop()
        tables = Tables()
        async with session_with(far, tables) as session:
            await far.answered.wait()
            publish_nodes(tables, near, far)
            await far.answer_pings(20)
            assert not far.ended.is_set()
            assert session.connection is not None and session.connection.peer_zone == "b"

    run(test)


def test_session_with_a_node_of_its_own_zone_stays() -> None:
    async def test(near: FakeControlNode, far: FakeControlNode) -> None:
        tables = Tables()
        publish_nodes(tables, near, far)
        async with session_with(near, tables):
            await near.answer_pings(20)
            assert not far.opened.is_set() and not near.ended.is_set()

    run(test)


def test_session_does_not_return_at_once_to_a_near_node_with_stale_tables() -> None:
    async def test(near: FakeControlNode, far: FakeControlNode) -> None:
        near.age_s = None
        tables = Tables()
        async with session_with(far, tables) as session:
            await far.answered.wait()
            publish_nodes(tables, near, far)
            await near.ended.wait()  # it was tried and left
            near.opened.clear()
            await far.answer_pings(20)
            assert not near.opened.is_set()
            assert session.connection is not None and session.connection.peer_zone == "b"

    run(test)
