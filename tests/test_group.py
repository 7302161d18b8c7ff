"""The driver of a replica: who is a candidate for membership."""

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
from eiderhub.transport.frames import Message
from eiderhub.transport.framing import Connection
from eiderhub.transport.group import GroupDriver, NotPrimary


class Silent:
    """A connection whose other side has lost its power: it takes everything and never closes."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        self.sent.append(message)


def test_write_that_is_not_proposed_ends_the_epoch(monkeypatch: pytest.MonkeyPatch) -> None:
    """Found by reading: who waits for a write has changed its tables, and they would differ from the store.

    The lease ends within the milliseconds in which writes are gathered. Had the epoch gone on, a batch job's
    next result would have got a position behind one that was never written.
    """

    async def test() -> None:
        own = "a@127.0.0.1:1"
        replica = Replica(own, MemoryStore(), 0.0, random.Random(1), GroupSize(None, 1))
        replica.bootstrap([own])
        driver = GroupDriver(replica, record(own, "z0"), lambda: None)
        replica.tick(driver.now() + 5.0)
        replica.tick(driver.now() + 5.0)
        assert replica.role is Role.PRIMARY
        before = replica.position
        waiting = asyncio.ensure_future(driver.write([Write("k", b"v")]))
        await asyncio.sleep(0)
        monkeypatch.setattr(replica, "leads", lambda now: False)
        with pytest.raises(NotPrimary):
            await waiting
        assert replica.role.value == "backup"
        assert replica.position == before
        driver.stop()

    asyncio.run(test())


def record(identity: str, zone: str) -> NodeRecord:
    return NodeRecord(identity, "storage", zone, identity)


def test_identity_that_was_at_an_address_before_is_no_candidate() -> None:
    """Recorded: safari trouble-2, seed 24077538670.

    A storage node lost its disk and came back under another identity. Its old connection to a backup never
    closed. Once that backup led, it took the dead identity for the candidate that comes first, again and
    again, and the group stayed one copy short until the next loss was one too many.
    """

    async def test() -> None:
        own = "a@127.0.0.1:1"
        replica = Replica(own, MemoryStore(), 0.0, random.Random(1), GroupSize(3, 3))
        replica.bootstrap([own, "b@127.0.0.1:2", "c@127.0.0.1:3"])
        driver = GroupDriver(replica, record(own, "z0"), lambda: None)
        old, new = Silent(), Silent()
        driver.greeted(cast(Connection, old), record("0old@127.0.0.1:9", "z9"), OWN_SUPPORT)
        driver.greeted(cast(Connection, new), record("new@127.0.0.1:9", "z9"), OWN_SUPPORT)
        replica.role = Role.PRIMARY
        driver.tend_members()
        assert replica.candidates == ["new@127.0.0.1:9"]
        assert [type(m) for m in new.sent] == [Hello]
        driver.lost("0old@127.0.0.1:9", cast(Connection, old))  # the old connection ends at last
        driver.tend_members()
        assert replica.candidates == ["new@127.0.0.1:9"]
        driver.stop()

    asyncio.run(test())
