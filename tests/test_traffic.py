"""Bytes between zones: what is counted, as which kind, and what leaves it alone."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Iterator

import pytest

from eiderhub.control.messages import ConfigurationUpdate, LeaseRequest, SessionPong
from eiderhub.transport.frames import DEFLATED, LENGTH, MOST_MESSAGE
from eiderhub.transport.traffic import TRAFFIC, ZoneTraffic
from tests.connection_support import connection_to


@pytest.fixture
def traffic() -> Iterator[ZoneTraffic]:
    """The process's own counts, in zone "a", empty before and after."""
    TRAFFIC.reset()
    TRAFFIC.zone = "a"
    yield TRAFFIC
    TRAFFIC.reset()


PONG = SessionPong(1.5, 0.25)


def test_messages_to_another_zone_are_counted_by_kind_as_written(traffic: ZoneTraffic) -> None:
    connection, wire, _ = asyncio.run(connection_to("b"))
    connection.send(PONG)
    connection.send(LeaseRequest("o", "t", 5))
    pong = LENGTH.unpack_from(wire.written)[0] + LENGTH.size
    lease = len(wire.written) - pong
    assert traffic.lines() == [
        f'cross_zone_bytes{{direction="sent",kind="LeaseRequest"}} {lease}',
        f'cross_zone_bytes{{direction="sent",kind="SessionPong"}} {pong}',
    ]


@pytest.mark.parametrize("zone", ["a", ""])
def test_messages_within_the_zone_or_to_an_unknown_one_are_not_counted(
    traffic: ZoneTraffic, zone: str
) -> None:
    connection, wire, _ = asyncio.run(connection_to(zone))
    connection.send(PONG)
    assert wire.written
    assert traffic.lines() == []


def test_answers_are_counted_by_whoever_receives_them() -> None:
    traffic = ZoneTraffic()
    traffic.zone = "a"
    assert traffic.crosses("b") and not traffic.crosses("a") and not traffic.crosses("")
    traffic.received("request", 100)
    traffic.received("request", 20)
    assert traffic.lines() == ['cross_zone_bytes{direction="received",kind="request"} 120']


WHOLE = ConfigurationUpdate(3, b'{"routes":[' + b'{"name":"r","host":"h.example"},' * 100 + b"{}]}")


def test_a_large_message_to_another_zone_is_deflated_and_read_back(traffic: ZoneTraffic) -> None:
    connection, wire, _ = asyncio.run(connection_to("b"))
    connection.send(WHOLE)
    connection.send(PONG)
    assert len(wire.written) < len(WHOLE.document) / 10
    receiver, _, handler = asyncio.run(connection_to("a"))
    for byte in wire.written:
        receiver.feed(bytes([byte]))
    assert handler.messages == [WHOLE, PONG]


def test_messages_within_a_zone_are_sent_as_they_are(traffic: ZoneTraffic) -> None:
    connection, wire, _ = asyncio.run(connection_to("a"))
    connection.send(WHOLE)
    assert WHOLE.document in wire.written


@pytest.mark.parametrize("body", [b"no deflated bytes", zlib.compress(b"x" * 500)[:-3], b""])
def test_a_body_that_cannot_be_inflated_ends_the_connection(body: bytes) -> None:
    receiver, _, handler = asyncio.run(connection_to("a"))
    receiver.feed(LENGTH.pack(DEFLATED | len(body)) + body)
    assert handler.closed and handler.messages == []


def test_a_message_that_would_inflate_beyond_the_bound_ends_the_connection() -> None:
    receiver, _, handler = asyncio.run(connection_to("a"))
    body = zlib.compress(bytes(MOST_MESSAGE + 1))
    receiver.feed(LENGTH.pack(DEFLATED | len(body)) + body)
    assert handler.closed and handler.messages == []
