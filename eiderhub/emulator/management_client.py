"""Client of a sidecar's management port: sends one command line and reads the reply."""

from __future__ import annotations

import asyncio


class ManagementCallError(Exception):
    """No reply from the management port, or a reply that is not in the form of DAYS."""


async def call(host: str, port: int, command: str, timeout_s: float = 1.0) -> str:
    """Send one command and return the complete reply without its final line break; it starts with OK or ERR.

    Raises:
        ManagementCallError: with a reason that can be shown to an operator.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(command.encode() + b"\n")
                # The reply ends when the sidecar closes the connection; the timeout bounds the wait.
                reply = (await reader.read()).decode("utf-8", "replace")
            finally:
                writer.close()
    except TimeoutError:
        raise ManagementCallError(f"no answer within {timeout_s:g} s") from None
    except OSError as error:
        raise ManagementCallError(error.strerror or str(error) or type(error).__name__) from None
    if not reply.startswith(("OK", "ERR")):
        raise ManagementCallError(f"reply starts with neither OK nor ERR: {reply[:60]!r}")
    return reply.rstrip("\n")


def parse_counters(reply: str) -> dict[str, int]:
    """Parse the counters (`name=value` lines) of a reply to `stats`."""
    counters = {}
    for line in reply.splitlines():
        name, separator, value = line.partition("=")
        if separator and value.isdigit():
            counters[name] = int(value)
    return counters
