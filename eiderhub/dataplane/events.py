"""Splits a body of text/event-stream into whole events, as it comes."""

from __future__ import annotations

from typing import NamedTuple


class Event(NamedTuple):
    raw: bytes  # with the blank line that ends it
    id: int  # -1: it has none
    data: str  # its data lines, joined by line feeds


class EventParser:
    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """The events that are whole now."""
        buffer = self._buffer + data
        events = []
        start = 0
        while True:
            end, size = _blank_line(buffer, start)
            if end < 0:
                break
            events.append(_parse(buffer[start : end + size]))
            start = end + size
        self._buffer = buffer[start:]
        return events

    @property
    def partial(self) -> bool:
        """Whether an event has begun and is not whole."""
        return bool(self._buffer)


def _blank_line(buffer: bytes, start: int) -> tuple[int, int]:
    """Where the next event's end begins, and how long that is; -1: it has not come."""
    plain = buffer.find(b"\n\n", start)
    carriage = buffer.find(b"\r\n\r\n", start)
    if carriage >= 0 and (plain < 0 or carriage < plain):
        return carriage, 4
    return plain, 2


def _parse(raw: bytes) -> Event:
    number, data = -1, []
    for line in raw.replace(b"\r\n", b"\n").split(b"\n"):
        name, _, value = line.partition(b":")
        value = value[1:] if value.startswith(b" ") else value
        if name == b"id" and value.isdigit():
            number = int(value)
        elif name == b"data":
            data.append(value.decode("utf-8", "replace"))
    return Event(raw, number, "\n".join(data))
