"""A session with a control node of another zone moves to one of its own, and is never without meanwhile."""

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
from eiderhub.transport.frames import Message
from eiderhub.transport.framing import Connection

BOUND_S = 10.0


class ControlNode:
    """Answers pings, and notes who opens a session."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.age_s: float | None = 0.0  # of what it tells; None: it can't tell
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

    async def answers(self, times: int) -> None:
        """Returns once it has answered so many more pings."""
        for _ in range(times):
            self.answered.clear()
            await self.answered.wait()

    @property
    def record(self) -> NodeRecord:
        return NodeRecord(f"c-{self.zone}", "control", self.zone, f"id@{self.target}")


@pytest.fixture(autouse=True)
def searches_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control_session, "NEARER_S", 0.0)
    monkeypatch.setattr(control_session, "PING_S", 0.01)


@asynccontextmanager
async def session_with(seed: ControlNode, tables: Tables) -> AsyncIterator[ControlSession]:
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


def run(test: Callable[[ControlNode, ControlNode], Awaitable[None]]) -> None:
    async def started() -> None:
        near, far = ControlNode("a"), ControlNode("b")
        await near.start()
        await far.start()
        async with asyncio.timeout(BOUND_S):
            await test(near, far)
        near.stop()
        far.stop()

    asyncio.run(started())


def tell(tables: Tables, *nodes: ControlNode) -> None:
    tables.apply(NodesUpdate(TableVersion(1, 1), [node.record for node in nodes], 1, [], []))


def test_a_session_moves_to_a_node_of_its_own_zone_once_that_is_known() -> None:
    async def test(near: ControlNode, far: ControlNode) -> None:
        tables = Tables()
        async with session_with(far, tables) as session:
            await far.answered.wait()
            tell(tables, near, far)
            await near.answered.wait()
            await far.ended.wait()
            assert session.connection is not None and session.connection.peer_zone == "a"

    run(test)


def test_a_session_stays_where_the_nearer_node_takes_no_connection() -> None:
    async def test(near: ControlNode, far: ControlNode) -> None:
        near.stop()
        tables = Tables()
        async with session_with(far, tables) as session:
            await far.answered.wait()
            tell(tables, near, far)
            await far.answers(20)
            assert not far.ended.is_set()
            assert session.connection is not None and session.connection.peer_zone == "b"

    run(test)


def test_a_session_with_a_near_node_stays() -> None:
    async def test(near: ControlNode, far: ControlNode) -> None:
        tables = Tables()
        tell(tables, near, far)
        async with session_with(near, tables):
            await near.answers(20)
            assert not far.opened.is_set() and not near.ended.is_set()

    run(test)


def test_a_session_does_not_come_back_at_once_to_a_near_node_that_tells_nothing_new() -> None:
    async def test(near: ControlNode, far: ControlNode) -> None:
        near.age_s = None
        tables = Tables()
        async with session_with(far, tables) as session:
            await far.answered.wait()
            tell(tables, near, far)
            await near.ended.wait()  # it was tried, and left
            near.opened.clear()
            await far.answers(20)
            assert not near.opened.is_set()
            assert session.connection is not None and session.connection.peer_zone == "b"

    run(test)
