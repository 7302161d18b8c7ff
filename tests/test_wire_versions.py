"""Connections between programs of different wire versions: messages sent and skipped, invalid frames."""

from __future__ import annotations

import asyncio
import itertools
import zlib
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from eiderhub.control.messages import (
    ConfigurationUpdate,
    Hello,
    LoadUpdate,
    NodeRecord,
    SessionAccepted,
    SessionOpen,
    SessionPong,
)
from eiderhub.coordination.wire import DEFAULT_SUPPORT, OWN_SUPPORT, Feature, WireSupport
from eiderhub.transport import frame_connection, frames
from eiderhub.transport.frames import DEFLATED_FLAG, LENGTH_PREFIX, MAX_MESSAGE_BYTES
from eiderhub.transport.traffic import TRAFFIC
from eiderhub.transport.wire_counts import MAX_KINDS, WIRE_COUNTS, WireCounts
from tests.connection_support import connection_to
from tests.golden import landings

PONG = SessionPong(1.5, 0.25)
LOAD = LoadUpdate({"i-1": 3})
LARGE = ConfigurationUpdate(3, b"x" * 5000)
UNKNOWN_TYPE = {"type": "Conversation", "turn": 7, "text": ["a"]}


@pytest.fixture(autouse=True)
def counts() -> Iterator[WireCounts]:
    """The counters of this process, which is in zone "a"; cleared before and after."""
    WIRE_COUNTS.reset()
    TRAFFIC.reset()
    TRAFFIC.zone = "a"
    yield WIRE_COUNTS
    WIRE_COUNTS.reset()
    TRAFFIC.reset()


class RecordingLog:
    """A logger that records its warnings."""

    def __init__(self, lines: list[str]) -> None:
        self._lines = lines

    def warning(self, template: str, *arguments: object) -> None:
        self._lines.append(template % arguments)


def encode_frame(message: Any) -> bytes:
    body = msgspec.msgpack.encode(message)
    return LENGTH_PREFIX.pack(len(body)) + body


def receive(data: bytes, chunk_size: int = 0) -> tuple[list[Any], bool]:
    """The messages that a connection decodes from these bytes, and whether it was closed."""
    connection, _, handler = asyncio.run(connection_to("b"))
    step = chunk_size or len(data) or 1
    for start in range(0, len(data), step):
        connection.feed(data[start : start + step])
    return handler.messages, handler.closed


def send(support: WireSupport, *messages: Any) -> bytes:
    connection, transport, _ = asyncio.run(connection_to("b", support))
    for message in messages:
        connection.send(message)
    return transport.written


# --- messages sent ---


def test_peer_without_declared_support_is_sent_only_what_the_oldest_release_reads(counts: WireCounts) -> None:
    oldest_decode = landings.load("landing-01968da").decoder().decode
    frames_sent = send(DEFAULT_SUPPORT, LOAD, SessionAccepted(OWN_SUPPORT), LARGE, PONG)
    read = []
    while frames_sent:
        (size,) = LENGTH_PREFIX.unpack_from(frames_sent)
        read.append(type(oldest_decode(frames_sent[LENGTH_PREFIX.size : LENGTH_PREFIX.size + size])).__name__)
        frames_sent = frames_sent[LENGTH_PREFIX.size + size :]
    assert read == ["ConfigurationUpdate", "SessionPong"]
    assert counts.metric_lines() == [
        'wire_messages_withheld{kind="LoadUpdate"} 1',
        'wire_messages_withheld{kind="SessionAccepted"} 1',
    ]


def test_peer_is_sent_only_what_it_declares_support_for() -> None:
    only_load = WireSupport(2, [Feature.SHARED_LOAD.value, "a-feature-of-later"])
    frames_sent = send(only_load, LOAD, SessionAccepted(OWN_SUPPORT), LARGE)
    assert receive(frames_sent)[0] == [LOAD, LARGE]
    assert LARGE.document in frames_sent
    assert len(send(OWN_SUPPORT, LARGE)) < len(LARGE.document) / 10


@pytest.mark.parametrize("version", [-1, 0, 1])
def test_features_declared_with_a_version_before_2_are_ignored(version: int) -> None:
    assert send(WireSupport(version, [feature.value for feature in Feature]), LOAD) == b""


@pytest.mark.parametrize("version", [2, 3, 2**32, 2**63])
def test_unknown_newer_version_is_accepted_by_its_features(version: int) -> None:
    support = WireSupport(version, ["unheard-of", Feature.SHARED_LOAD.value])
    decoded = receive(encode_frame(SessionOpen(NodeRecord("n", "edge", "z", wire_version=version), support)))
    assert decoded == ([SessionOpen(NodeRecord("n", "edge", "z", "", version), support)], False)
    assert send(support, LOAD)


def test_missing_feature_check_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault injection: every message is sent to every peer."""
    monkeypatch.setattr(frames, "can_send", lambda support, message: True)
    with pytest.raises((AssertionError, msgspec.DecodeError)):
        test_peer_without_declared_support_is_sent_only_what_the_oldest_release_reads(WIRE_COUNTS)


def test_new_message_without_a_required_feature_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault injection: one message type no longer requires its feature."""
    monkeypatch.delitem(frames.REQUIRED_FEATURE, LoadUpdate)
    with pytest.raises((AssertionError, msgspec.DecodeError)):
        test_peer_without_declared_support_is_sent_only_what_the_oldest_release_reads(WIRE_COUNTS)


# --- messages skipped ---


@pytest.mark.parametrize("chunk_size", [0, 1, 7])
@pytest.mark.parametrize("order", sorted(set(itertools.permutations([0, 0, 1, 2]))))
def test_unknown_message_in_any_position_is_skipped(
    order: tuple[int, ...], chunk_size: int, counts: WireCounts
) -> None:
    choices = [UNKNOWN_TYPE, PONG, Hello(NodeRecord("n", "edge", "z"))]
    messages, closed = receive(b"".join(encode_frame(choices[which]) for which in order), chunk_size)
    assert messages == [choices[which] for which in order if which]
    assert not closed
    assert counts.metric_lines() == ['wire_messages_skipped{kind="Conversation"} 2']


def test_unknown_messages_are_logged_once_per_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []
    monkeypatch.setattr(frame_connection, "log", RecordingLog(lines))
    receive(encode_frame(UNKNOWN_TYPE) * 5 + encode_frame({"type": "Other"}))
    assert len(lines) == 1 and "Conversation" in lines[0]


def test_unknown_fields_are_ignored_and_missing_fields_get_defaults() -> None:
    body = {"type": "Hello", "node": ["n", "edge", "z", "", 2, "", "later"], "later": {"a": 1}}
    assert receive(encode_frame(body))[0] == [Hello(NodeRecord("n", "edge", "z", "", 2))]
    assert receive(encode_frame({"type": "Hello", "node": ["n", "edge", "z"]}))[0] == [
        Hello(NodeRecord("n", "edge", "z", "", 1), DEFAULT_SUPPORT)
    ]


def test_number_of_unknown_message_kinds_in_metrics_is_bounded() -> None:
    counts = WireCounts()
    for number in range(10 * MAX_KINDS):
        counts.count_skipped(f"Kind{number}")
    counts.count_skipped('a"} 1\nforged 5')
    counts.count_skipped("x" * 10_000)
    lines = counts.metric_lines()
    assert len(lines) <= MAX_KINDS + 1
    assert all(len(line) < 100 and "forged" not in line for line in lines)


# --- invalid frames ---


def deflated_frame(body: bytes) -> bytes:
    compressed = zlib.compress(body)
    return LENGTH_PREFIX.pack(DEFLATED_FLAG | len(compressed)) + compressed


BAD_FRAMES = {
    "oversized": LENGTH_PREFIX.pack(MAX_MESSAGE_BYTES + 1),
    "malformed": LENGTH_PREFIX.pack(3) + b"\xc1\xc1\xc1",
    "deflate": LENGTH_PREFIX.pack(DEFLATED_FLAG | 5) + b"plain",
    "invalid": encode_frame({"type": "SessionPong", "sent_at": "soon"}),
}


@pytest.mark.parametrize("before", [0, 1])
@pytest.mark.parametrize("fault", sorted(BAD_FRAMES))
def test_unreadable_frame_closes_the_connection_and_is_counted_and_logged_once(
    fault: str, before: int, counts: WireCounts, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[str] = []
    monkeypatch.setattr(frame_connection, "log", RecordingLog(lines))
    messages, closed = receive(encode_frame(PONG) * before + BAD_FRAMES[fault] + encode_frame(PONG))
    assert (messages, closed) == ([PONG] * before, True)
    assert counts.metric_lines() == [f'wire_frames_broken{{fault="{fault}"}} 1']
    assert len(lines) == 1


@pytest.mark.parametrize("body", [[1, 2], 7, None, {"no": "type"}, {"type": 5}])
def test_body_that_is_not_a_message_closes_the_connection(body: Any, counts: WireCounts) -> None:
    assert receive(encode_frame(body)) == ([], True)
    assert counts.metric_lines() == ['wire_frames_broken{fault="malformed"} 1']


def test_decompression_bomb_closes_the_connection(counts: WireCounts) -> None:
    assert receive(deflated_frame(bytes(MAX_MESSAGE_BYTES + 1))) == ([], True)
    assert counts.metric_lines() == ['wire_frames_broken{fault="deflate"} 1']


def test_incomplete_frame_is_buffered() -> None:
    frame = encode_frame(PONG)
    for end in range(len(frame)):
        assert receive(frame[:end]) == ([], False)
