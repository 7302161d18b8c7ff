"""Counting and deflating messages between zones."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Iterator

import pytest

from eiderhub.control.messages import ConfigurationUpdate, LeaseRequest, SessionPong
from eiderhub.transport.frames import DEFLATED_FLAG, LENGTH_PREFIX, MAX_MESSAGE_BYTES
from eiderhub.transport.traffic import TRAFFIC, ZoneTraffic
from tests.connection_support import connection_to


@pytest.fixture
def traffic() -> Iterator[ZoneTraffic]:
    """The counters of this process, which is in zone "a"; cleared before and after."""
    TRAFFIC.reset()
    TRAFFIC.zone = "a"
    yield TRAFFIC
    TRAFFIC.reset()


PONG = SessionPong(1.5, 0.25)


def test_messages_to_another_zone_are_counted_by_kind_and_frame_size(traffic: ZoneTraffic) -> None:
    connection, transport, _ = asyncio.run(connection_to("b"))
    connection.send(PONG)
    connection.send(LeaseRequest("o", "t", 5))
    pong = LENGTH_PREFIX.unpack_from(transport.written)[0] + LENGTH_PREFIX.size
    lease = len(transport.written) - pong
    assert traffic.metric_lines() == [
        f'cross_zone_bytes{{direction="sent",kind="LeaseRequest"}} {lease}',
        f'cross_zone_bytes{{direction="sent",kind="SessionPong"}} {pong}',
    ]


@pytest.mark.parametrize("zone", ["a", ""])
def test_messages_to_the_same_or_an_unknown_zone_are_not_counted(traffic: ZoneTraffic, zone: str) -> None:
    connection, transport, _ = asyncio.run(connection_to(zone))
    connection.send(PONG)
    assert transport.written
    assert traffic.metric_lines() == []


def test_received_bytes_are_counted_by_the_receiver() -> None:
    traffic = ZoneTraffic()
    traffic.zone = "a"
    assert traffic.is_cross_zone("b") and not traffic.is_cross_zone("a") and not traffic.is_cross_zone("")
    traffic.count_received("request", 100)
    traffic.count_received("request", 20)
    assert traffic.metric_lines() == ['cross_zone_bytes{direction="received",kind="request"} 120']


LARGE = ConfigurationUpdate(3, b'{"routes":[' + b'{"name":"r","host":"h.example"},' * 100 + b"{}]}")


def test_large_message_to_another_zone_is_deflated_and_decoded(traffic: ZoneTraffic) -> None:
    connection, transport, _ = asyncio.run(connection_to("b"))
    connection.send(LARGE)
    connection.send(PONG)
    assert len(transport.written) < len(LARGE.document) / 10
    receiver, _, handler = asyncio.run(connection_to("a"))
    for byte in transport.written:
        receiver.feed(bytes([byte]))
    assert handler.messages == [LARGE, PONG]


def test_messages_within_a_zone_are_not_deflated(traffic: ZoneTraffic) -> None:
    connection, transport, _ = asyncio.run(connection_to("a"))
    connection.send(LARGE)
    assert LARGE.document in transport.written


@pytest.mark.parametrize("body", [b"no deflated bytes", zlib.compress(b"x" * 500)[:-3], b""])
def test_body_that_cannot_be_inflated_closes_the_connection(body: bytes) -> None:
    receiver, _, handler = asyncio.run(connection_to("a"))
    receiver.feed(LENGTH_PREFIX.pack(DEFLATED_FLAG | len(body)) + body)
    assert handler.closed and handler.messages == []


def test_message_that_would_inflate_beyond_the_limit_closes_the_connection() -> None:
    receiver, _, handler = asyncio.run(connection_to("a"))
    body = zlib.compress(bytes(MAX_MESSAGE_BYTES + 1))
    receiver.feed(LENGTH_PREFIX.pack(DEFLATED_FLAG | len(body)) + body)
    assert handler.closed and handler.messages == []
