"""Connections between programs of two versions: what is sent, what is skipped, what ends them."""

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
from eiderhub.coordination.wire import OWN_SUPPORT, UNTOLD, Feature, WireSupport
from eiderhub.transport import frames, framing
from eiderhub.transport.frames import DEFLATED, LENGTH, MOST_MESSAGE
from eiderhub.transport.traffic import TRAFFIC
from eiderhub.transport.wire_counts import MOST_NAMES, WIRE_COUNTS, WireCounts
from tests.connection_support import connection_to
from tests.golden import landings

PONG = SessionPong(1.5, 0.25)
LOAD = LoadUpdate({"i-1": 3})
LARGE = ConfigurationUpdate(3, b"x" * 5000)
FUTURE = {"type": "Conversation", "turn": 7, "text": ["a"]}


@pytest.fixture(autouse=True)
def counts() -> Iterator[WireCounts]:
    """The process's own counts, empty before and after; this process is in zone "a"."""
    WIRE_COUNTS.reset()
    TRAFFIC.reset()
    TRAFFIC.zone = "a"
    yield WIRE_COUNTS
    WIRE_COUNTS.reset()
    TRAFFIC.reset()


class Lines:
    """A log that keeps its warnings."""

    def __init__(self, lines: list[str]) -> None:
        self._lines = lines

    def warning(self, text: str, *words: object) -> None:
        self._lines.append(text % words)


def framed(message: Any) -> bytes:
    body = msgspec.msgpack.encode(message)
    return LENGTH.pack(len(body)) + body


def received(data: bytes, piece: int = 0) -> tuple[list[Any], bool]:
    """What a connection tells its handler of these bytes, and whether it has ended."""
    connection, _, handler = asyncio.run(connection_to("b"))
    step = piece or len(data) or 1
    for start in range(0, len(data), step):
        connection.feed(data[start : start + step])
    return handler.messages, handler.closed


def sent(support: WireSupport, *messages: Any) -> bytes:
    connection, wire, _ = asyncio.run(connection_to("b", support))
    for message in messages:
        connection.send(message)
    return wire.written


# --- what is sent ---


def test_a_peer_that_says_nothing_is_sent_what_the_oldest_landing_reads(counts: WireCounts) -> None:
    oldest = landings.load("landing-01968da").decoder().decode
    told = sent(UNTOLD, LOAD, SessionAccepted(OWN_SUPPORT), LARGE, PONG)
    read = []
    while told:
        (size,) = LENGTH.unpack_from(told)
        read.append(type(oldest(told[LENGTH.size : LENGTH.size + size])).__name__)
        told = told[LENGTH.size + size :]
    assert read == ["ConfigurationUpdate", "SessionPong"]
    assert counts.lines() == [
        'wire_messages_withheld{kind="LoadUpdate"} 1',
        'wire_messages_withheld{kind="SessionAccepted"} 1',
    ]


def test_a_peer_is_sent_what_it_says_that_it_takes() -> None:
    only_load = WireSupport(2, [Feature.SHARED_LOAD.value, "a-feature-of-later"])
    told = sent(only_load, LOAD, SessionAccepted(OWN_SUPPORT), LARGE)
    assert received(told)[0] == [LOAD, LARGE]
    assert LARGE.document in told
    assert len(sent(OWN_SUPPORT, LARGE)) < len(LARGE.document) / 10


@pytest.mark.parametrize("version", [-1, 0, 1])
def test_no_feature_is_believed_of_a_version_that_has_none(version: int) -> None:
    assert sent(WireSupport(version, [feature.value for feature in Feature]), LOAD) == b""


@pytest.mark.parametrize("version", [2, 3, 2**32, 2**63])
def test_a_version_from_the_future_is_taken_by_its_features(version: int) -> None:
    support = WireSupport(version, ["unheard-of", Feature.SHARED_LOAD.value])
    told = received(framed(SessionOpen(NodeRecord("n", "edge", "z", wire_version=version), support)))
    assert told == ([SessionOpen(NodeRecord("n", "edge", "z", "", version), support)], False)
    assert sent(support, LOAD)


def test_a_gate_that_is_taken_out_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """A planted fault: everything is sent to everybody."""
    monkeypatch.setattr(frames, "takes", lambda support, message: True)
    with pytest.raises((AssertionError, msgspec.DecodeError)):
        test_a_peer_that_says_nothing_is_sent_what_the_oldest_landing_reads(WIRE_COUNTS)


def test_a_message_that_needs_no_feature_and_is_new_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """A planted fault: one message is not gated."""
    monkeypatch.delitem(frames.REQUIRED_FEATURE, LoadUpdate)
    with pytest.raises((AssertionError, msgspec.DecodeError)):
        test_a_peer_that_says_nothing_is_sent_what_the_oldest_landing_reads(WIRE_COUNTS)


# --- what is skipped ---


@pytest.mark.parametrize("piece", [0, 1, 7])
@pytest.mark.parametrize("order", sorted(set(itertools.permutations([0, 0, 1, 2]))))
def test_an_unknown_message_in_any_position_is_skipped(
    order: tuple[int, ...], piece: int, counts: WireCounts
) -> None:
    kinds = [FUTURE, PONG, Hello(NodeRecord("n", "edge", "z"))]
    messages, closed = received(b"".join(framed(kinds[which]) for which in order), piece)
    assert messages == [kinds[which] for which in order if which]
    assert not closed
    assert counts.lines() == ['wire_messages_skipped{kind="Conversation"} 2']


def test_an_unknown_message_is_logged_once_a_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []
    monkeypatch.setattr(framing, "log", Lines(lines))
    received(framed(FUTURE) * 5 + framed({"type": "Other"}))
    assert len(lines) == 1 and "Conversation" in lines[0]


def test_unknown_fields_are_skipped_and_missing_ones_have_their_defaults() -> None:
    body = {"type": "Hello", "node": ["n", "edge", "z", "", 2, "later"], "later": {"a": 1}}
    assert received(framed(body))[0] == [Hello(NodeRecord("n", "edge", "z", "", 2))]
    assert received(framed({"type": "Hello", "node": ["n", "edge", "z"]}))[0] == [
        Hello(NodeRecord("n", "edge", "z", "", 1), UNTOLD)
    ]


def test_names_of_unknown_messages_do_not_fill_the_page() -> None:
    counts = WireCounts()
    for number in range(10 * MOST_NAMES):
        counts.skipped(f"Kind{number}")
    counts.skipped('a"} 1\nforged 5')
    counts.skipped("x" * 10_000)
    lines = counts.lines()
    assert len(lines) <= MOST_NAMES + 1
    assert all(len(line) < 100 and "forged" not in line for line in lines)


# --- what ends a connection ---


def deflated(body: bytes) -> bytes:
    packed = zlib.compress(body)
    return LENGTH.pack(DEFLATED | len(packed)) + packed


BAD = {
    "oversized": LENGTH.pack(MOST_MESSAGE + 1),
    "malformed": LENGTH.pack(3) + b"\xc1\xc1\xc1",
    "deflate": LENGTH.pack(DEFLATED | 5) + b"plain",
    "invalid": framed({"type": "SessionPong", "sent_at": "soon"}),
}


@pytest.mark.parametrize("before", [0, 1])
@pytest.mark.parametrize("fault", sorted(BAD))
def test_a_frame_that_cannot_be_read_ends_the_connection_with_a_count_and_one_line(
    fault: str, before: int, counts: WireCounts, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[str] = []
    monkeypatch.setattr(framing, "log", Lines(lines))
    messages, closed = received(framed(PONG) * before + BAD[fault] + framed(PONG))
    assert (messages, closed) == ([PONG] * before, True)
    assert counts.lines() == [f'wire_frames_broken{{fault="{fault}"}} 1']
    assert len(lines) == 1


@pytest.mark.parametrize("body", [[1, 2], 7, None, {"no": "type"}, {"type": 5}])
def test_what_is_no_message_ends_the_connection(body: Any, counts: WireCounts) -> None:
    assert received(framed(body)) == ([], True)
    assert counts.lines() == ['wire_frames_broken{fault="malformed"} 1']


def test_a_bomb_ends_the_connection(counts: WireCounts) -> None:
    assert received(deflated(bytes(MOST_MESSAGE + 1))) == ([], True)
    assert counts.lines() == ['wire_frames_broken{fault="deflate"} 1']


def test_a_frame_that_is_cut_is_waited_for() -> None:
    whole = framed(PONG)
    for end in range(len(whole)):
        assert received(whole[:end]) == ([], False)
