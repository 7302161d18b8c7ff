"""The group driver: failed proposals, and the candidates for membership."""

from __future__ import annotations

import asyncio
import random
from typing import cast

import pytest

from eiderhub.control.messages import Hello, NodeRecord
from eiderhub.coordination.messages import Write
from eiderhub.coordination.replication import Replica, Role
from eiderhub.coordination.timing import GroupSize
from eiderhub.coordination.wire import OWN_SUPPORT
from eiderhub.storage.store import MemoryStore
from eiderhub.transport.frame_connection import Connection
from eiderhub.transport.frames import Message
from eiderhub.transport.group import GroupDriver, NotPrimary


class UnresponsiveConnection:
    """A connection to a host that has lost power: it accepts every message and never closes."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        self.sent.append(message)


def test_write_that_cannot_be_proposed_ends_the_epoch(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against tables that differ from the store within an epoch.

    A caller that waits for a write has already changed its tables. If the lease ends while the write is still
    queued, the write is never stored. If the epoch continued, the next result of a batch job would get a
    position behind one that was never written.
    """

    async def test() -> None:
        own = "a@127.0.0.1:1"
        replica = Replica(own, MemoryStore(), 0.0, random.Random(1), GroupSize(None, 1))
        replica.bootstrap([own])
        driver = GroupDriver(replica, node_record(own, "z0"), lambda: None)
        replica.tick(driver.now() + 5.0)
        replica.tick(driver.now() + 5.0)
        assert replica.role is Role.PRIMARY
        position_before = replica.position
        write_task = asyncio.ensure_future(driver.write([Write("k", b"v")]))
        await asyncio.sleep(0)
        monkeypatch.setattr(replica, "leads", lambda now: False)
        with pytest.raises(NotPrimary):
            await write_task
        assert replica.role.value == "backup"
        assert replica.position == position_before
        driver.stop()

    asyncio.run(test())


def node_record(identity: str, zone: str) -> NodeRecord:
    return NodeRecord(identity, "storage", zone, identity)


def test_previous_identity_at_an_address_is_not_a_join_candidate() -> None:
    """Guards against a primary that keeps trying to add an identity that no longer exists.

    A storage node loses its disk and returns under another identity, while its old connection to a backup
    never closes. Once that backup leads, the old identity would be its first candidate every time, and the
    group would stay one copy short until another loss is one too many.
    """

    async def test() -> None:
        own = "a@127.0.0.1:1"
        replica = Replica(own, MemoryStore(), 0.0, random.Random(1), GroupSize(3, 3))
        replica.bootstrap([own, "b@127.0.0.1:2", "c@127.0.0.1:3"])
        driver = GroupDriver(replica, node_record(own, "z0"), lambda: None)
        old_connection, new_connection = UnresponsiveConnection(), UnresponsiveConnection()
        driver.add_replica(
            cast(Connection, old_connection), node_record("0old@127.0.0.1:9", "z9"), OWN_SUPPORT
        )
        driver.add_replica(
            cast(Connection, new_connection), node_record("new@127.0.0.1:9", "z9"), OWN_SUPPORT
        )
        replica.role = Role.PRIMARY
        driver.update_members()
        assert replica.join_candidates == ["new@127.0.0.1:9"]
        assert [type(m) for m in new_connection.sent] == [Hello]
        driver.remove_replica("0old@127.0.0.1:9", cast(Connection, old_connection))
        driver.update_members()
        assert replica.join_candidates == ["new@127.0.0.1:9"]
        driver.stop()

    asyncio.run(test())
