"""What a process says over its connections, counted where they are opened; and what processes cost."""

from __future__ import annotations

import asyncio
import os
import platform
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import uvloop
from msgspec import Struct

from eiderhub.emulator.processes import PAGE_BYTES, TICKS_PER_S
from eiderhub.registry import api
from eiderhub.scale.result import Machine

NAME = b'"instanceId"'  # stands once in each entry of a list
KINDS = {
    api.LIST_PATH.encode(): "list",
    api.FEED_PATH.encode(): "feed",
    api.STATUS_PATH.encode(): "status",
    api.RENEW_PATH.encode(): "renew",
    api.PUT_PATH.encode(): "put",
    api.DRAIN_PATH.encode(): "drain",
    api.REMOVE_PATH.encode(): "remove",
}
WRITES = ("put", "drain", "remove")
OTHER = "other"
PER_S = 10  # buckets: calls are counted by tenths of a second of the machine's monotonic clock


class Told(Struct, frozen=True):
    """What went to one address and came back, all told; `buckets` since they were last taken."""

    calls: dict[str, int] = {}  # by kind
    bytes_out: int = 0
    bytes_in: int = 0
    entries: int = 0
    opened: int = 0
    open: int = 0
    buckets: dict[int, int] = {}


class Tally:
    """Counts for one address."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.bytes_out = self.bytes_in = self.entries = self.opened = self.open = 0
        self._buckets: Counter[int] = Counter()

    def went(self, data: bytes) -> None:
        self.bytes_out += len(data)
        if data[:4] in (b"GET ", b"POST"):
            path = data[: data.index(b"\r\n")].split(b" ")[1].partition(b"?")[0]
            self.calls[KINDS.get(path, OTHER)] += 1
            self._buckets[int(time.monotonic() * PER_S)] += 1

    def came(self, data: bytes, tail: bytes) -> bytes:
        """`tail`: what this gave for the piece before, of the same connection."""
        self.bytes_in += len(data)
        whole = tail + data
        self.entries += whole.count(NAME)
        return whole[-len(NAME) + 1 :]

    def told(self) -> Told:
        """All of it; the buckets begin anew."""
        buckets, self._buckets = dict(self._buckets), Counter()
        return Told(
            dict(self.calls), self.bytes_out, self.bytes_in, self.entries, self.opened, self.open, buckets
        )


def since(after: Told, before: Told) -> Told:
    """What came between two tellings; `open` and `buckets` are the later one's."""
    kinds = {kind: count - before.calls.get(kind, 0) for kind, count in after.calls.items()}
    return Told(
        {kind: count for kind, count in kinds.items() if count},
        after.bytes_out - before.bytes_out,
        after.bytes_in - before.bytes_in,
        after.entries - before.entries,
        after.opened - before.opened,
        after.open,
        after.buckets,
    )


def together(all_told: list[Told]) -> Told:
    kinds: Counter[str] = Counter()
    buckets: Counter[int] = Counter()
    for one in all_told:
        kinds.update(one.calls)
        buckets.update(one.buckets)
    return Told(
        dict(kinds),
        sum(one.bytes_out for one in all_told),
        sum(one.bytes_in for one in all_told),
        sum(one.entries for one in all_told),
        sum(one.opened for one in all_told),
        sum(one.open for one in all_told),
        dict(buckets),
    )


def peak(buckets: dict[int, int], since_s: float = 0.0) -> int:
    """The most calls within a tenth of a second, from this moment of the monotonic clock on."""
    return max((count for at, count in buckets.items() if at >= int(since_s * PER_S)), default=0)


class _Transport:
    """Counts what is written; all else is the transport's own."""

    def __init__(self, transport: asyncio.Transport, tally: Tally) -> None:
        self._transport = transport
        self._tally = tally

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        self._tally.went(data)
        self._transport.write(data)


class _Protocol(asyncio.Protocol):
    """Counts what comes, and passes it on."""

    def __init__(self, inner: asyncio.Protocol, tally: Tally) -> None:
        self._inner = inner
        self._tally = tally
        self._tail = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._tally.opened += 1
        self._tally.open += 1
        counted = _Transport(cast(asyncio.Transport, transport), self._tally)
        self._inner.connection_made(cast(asyncio.BaseTransport, counted))

    def data_received(self, data: bytes) -> None:
        self._tail = self._tally.came(data, self._tail)
        self._inner.data_received(data)

    def eof_received(self) -> bool | None:
        return self._inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self._tally.open -= 1
        self._inner.connection_lost(exc)

    def pause_writing(self) -> None:
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        self._inner.resume_writing()


class CountingLoop(uvloop.Loop):
    """A loop whose outgoing connections are counted by the address that they go to."""

    def __init__(self) -> None:
        super().__init__()
        self.tallies: dict[str, Tally] = {}

    async def create_connection(
        self, protocol_factory: Callable[[], Any], host: Any = None, port: Any = None, **more: Any
    ) -> Any:
        tally = self.tallies.setdefault(f"{host}:{port}", Tally())
        return await super().create_connection(
            lambda: _Protocol(protocol_factory(), tally), host, port, **more
        )

    def told(self) -> dict[str, Told]:
        return {address: tally.told() for address, tally in self.tallies.items()}


def counting() -> CountingLoop:
    """The loop that runs now. Raises RuntimeError where it is another kind."""
    loop = asyncio.get_running_loop()
    if not isinstance(loop, CountingLoop):
        raise RuntimeError("connections are not counted on this loop")
    return loop


# --- processes ---


def cost(pid: int) -> tuple[float, float]:
    """Seconds of processor time of all its threads, and MB that are resident. Zeros where it has ended.

    The scheduler's own account is in nanoseconds; where the system keeps none, ticks of 10 ms are taken.
    """
    folder = Path(f"/proc/{pid}")
    try:
        resident_mb = int((folder / "statm").read_text().split()[1]) * PAGE_BYTES / (1 << 20)
        threads = [int((task / "schedstat").read_text().split()[0]) for task in (folder / "task").iterdir()]
        if any(threads):
            return sum(threads) / 1e9, resident_mb
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, resident_mb
    except (OSError, IndexError, ValueError):
        return 0.0, 0.0


def machine() -> Machine:
    pages = os.sysconf("SC_PHYS_PAGES")
    return Machine(
        cores=len(os.sched_getaffinity(0)),
        memory_mb=pages * PAGE_BYTES >> 20,
        python=platform.python_version(),
        system=f"{platform.system()} {platform.machine()}",
    )
