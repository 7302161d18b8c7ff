"""The operators' side of the management calls: one line out, one answer back."""

from __future__ import annotations

import asyncio


class Unanswered(Exception):
    """Nobody answered, or not as DAYS has it."""


async def call(host: str, port: int, line: str, wait_s: float = 1.0) -> str:
    """The whole answer, without its last line end; it begins with OK or ERR.

    Raises:
        Unanswered: with the reason, worded for those on call.
    """
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(line.encode() + b"\n")
                # To the end of the connection, which the time bounds.
                answer = (await reader.read()).decode("utf-8", "replace")
            finally:
                writer.close()
    except TimeoutError:
        raise Unanswered(f"no answer within {wait_s:g} s") from None
    except OSError as error:
        raise Unanswered(error.strerror or str(error) or type(error).__name__) from None
    if not answer.startswith(("OK", "ERR")):
        raise Unanswered(f"no answer of a sidecar: {answer[:60]!r}")
    return answer.rstrip("\n")


def figures(answer: str) -> dict[str, int]:
    """The figures of an answer to `stats`."""
    found = {}
    for line in answer.splitlines():
        name, equals, value = line.partition("=")
        if equals and value.isdigit():
            found[name] = int(value)
    return found
