"""Logging setup: one JSON object per line, or text on a terminal, limited to a number of lines per second."""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, TextIO

import msgspec
import structlog
from structlog.typing import EventDict, Processor, WrappedLogger

DEFAULT_LINES_PER_S = 20  # writing a full log pipe would block every request


class Form(Enum):
    AUTO = "auto"  # text on a terminal, JSON otherwise
    JSON = "json"
    TEXT = "text"


class RateLimiter:
    """Limits the lines per second; the next line written carries the number of dropped lines."""

    def __init__(self, lines_per_s: int, clock: Callable[[], float] = time.monotonic) -> None:
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._second = 0
        self._count = 0
        self._dropped = 0

    def __call__(self, _: WrappedLogger, __: str, event: EventDict) -> EventDict:
        second = int(self._clock())
        if second != self._second:
            self._second, self._count = second, 0
        self._count += 1
        if self._count > self._lines_per_s:
            self._dropped += 1
            raise structlog.DropEvent
        if self._dropped:
            event["lines_dropped"], self._dropped = self._dropped, 0
        return event


def _bind_fields(fields: Mapping[str, Any]) -> Processor:
    def bind(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
        return {**fields, **event}

    return bind


class _StructlogHandler(logging.Handler):
    """Forwards the log records of libraries, mainly asyncio, to structlog."""

    def emit(self, record: logging.LogRecord) -> None:
        try:
            structlog.get_logger().log(
                record.levelno, record.getMessage(), logger=record.name, exc_info=record.exc_info or None
            )
        except Exception:
            self.handleError(record)


def _encode(event: EventDict, **_: Any) -> str:
    return msgspec.json.encode(event, enc_hook=str).decode()


def configure(
    fields: Mapping[str, Any],
    form: Form = Form.AUTO,
    lines_per_s: int = DEFAULT_LINES_PER_S,
    stream: TextIO | None = None,
) -> None:
    """Write all logs of this process to the stream (default: stderr), with these fields on each line."""
    stream = stream or sys.stderr
    readable = form is Form.TEXT or (form is Form.AUTO and stream.isatty())
    renderers: list[Processor] = (
        [structlog.dev.ConsoleRenderer(colors=stream.isatty())]
        if readable
        else [structlog.processors.format_exc_info, structlog.processors.JSONRenderer(_encode)]
    )
    structlog.configure(
        processors=[
            RateLimiter(lines_per_s),
            _bind_fields(fields),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            *renderers,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(stream),
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(level=logging.WARNING, handlers=[_StructlogHandler()], force=True)
