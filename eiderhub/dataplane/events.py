"""Incremental parser for server-sent events (text/event-stream)."""

from __future__ import annotations

from typing import NamedTuple

NO_EVENT_ID = -1
MAX_EVENT_BYTES = 4 << 20
MAX_EVENT_ID_DIGITS = 18  # larger numbers do not fit into messages
MEDIA_TYPE = b"text/event-stream"


def is_event_stream(content_type: bytes) -> bool:
    """Whether a Content-Type header names a stream of events; letters may be of either case."""
    return content_type.partition(b";")[0].strip().lower() == MEDIA_TYPE


def parse_event_id(text: bytes) -> int:
    """The number of an event, as in a Last-Event-Id header; NO_EVENT_ID if the text is not one."""
    return int(text) if text.isdigit() and len(text) <= MAX_EVENT_ID_DIGITS else NO_EVENT_ID


class Event(NamedTuple):
    raw_bytes: bytes  # including the terminating blank line
    id: int  # NO_EVENT_ID if the event has none
    data: str  # the data lines joined with line feeds

    @property
    def is_numbered(self) -> bool:
        return self.id != NO_EVENT_ID

    @property
    def has_output(self) -> bool:
        """Whether it is a part of the response; a comment is not."""
        return self.is_numbered or bool(self.data)


class EventParser:
    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete."""
        buffer = self._buffer + data
        events = []
        start = 0
        while True:
            end, size = _find_event_end(buffer, start)
            if end < 0:
                break
            events.append(_parse_event(buffer[start : end + size]))
            start = end + size
        self._buffer = buffer[start:]
        return events

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event is larger than any that is accepted."""
        return len(self._buffer) > MAX_EVENT_BYTES

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer)


def _find_event_end(buffer: bytes, start: int) -> tuple[int, int]:
    """Offset and length of the next blank-line terminator; the offset is -1 if there is none."""
    lf_end = buffer.find(b"\n\n", start)
    crlf_end = buffer.find(b"\r\n\r\n", start)
    if crlf_end >= 0 and (lf_end < 0 or crlf_end < lf_end):
        return crlf_end, 4
    return lf_end, 2


def _parse_event(raw: bytes) -> Event:
    event_id, data_lines = NO_EVENT_ID, []
    for line in raw.replace(b"\r\n", b"\n").split(b"\n"):
        name, _, value = line.partition(b":")
        value = value[1:] if value.startswith(b" ") else value
        if name == b"id":
            event_id = parse_event_id(value)
        elif name == b"data":
            data_lines.append(value.decode("utf-8", "replace"))
    return Event(raw, event_id, "\n".join(data_lines))
