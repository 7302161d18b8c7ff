"""Counts the traffic of a process's outgoing connections, and reads the resource usage of processes."""

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

ENTRY_MARKER = b'"instanceId"'  # occurs once in each entry of a list
CALL_KINDS = {
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
BUCKETS_PER_S = 10  # buckets of calls, by the machine's monotonic clock


class TrafficCounts(Struct, frozen=True):
    """Total traffic with one address; `buckets` has the calls since the counts were last taken."""

    calls: dict[str, int] = {}  # by kind
    bytes_out: int = 0
    bytes_in: int = 0
    entries: int = 0
    opened: int = 0
    open: int = 0
    buckets: dict[int, int] = {}


class TrafficCounter:
    """Counts the traffic with one address."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.bytes_out = self.bytes_in = self.entries = self.opened = self.open = 0
        self._buckets: Counter[int] = Counter()

    def count_sent(self, data: bytes) -> None:
        """Counts sent bytes, and a call if they begin with a request line."""
        self.bytes_out += len(data)
        if data[:4] in (b"GET ", b"POST"):
            path = data[: data.index(b"\r\n")].split(b" ")[1].partition(b"?")[0]
            self.calls[CALL_KINDS.get(path, OTHER)] += 1
            self._buckets[int(time.monotonic() * BUCKETS_PER_S)] += 1

    def count_received(self, data: bytes, tail: bytes) -> bytes:
        """Counts received bytes and list entries; returns the tail to pass with the next bytes.

        `tail` is the return value for the previous bytes of the same connection, as an entry's marker may be
        split between the two.
        """
        self.bytes_in += len(data)
        searched = tail + data
        self.entries += searched.count(ENTRY_MARKER)
        return searched[-len(ENTRY_MARKER) + 1 :]

    def take_counts(self) -> TrafficCounts:
        """Returns all counts and clears the buckets."""
        buckets, self._buckets = dict(self._buckets), Counter()
        return TrafficCounts(
            dict(self.calls), self.bytes_out, self.bytes_in, self.entries, self.opened, self.open, buckets
        )


def counts_between(after: TrafficCounts, before: TrafficCounts) -> TrafficCounts:
    """Returns the traffic between two counts; `open` and `buckets` are those of the later."""
    kinds = {kind: count - before.calls.get(kind, 0) for kind, count in after.calls.items()}
    return TrafficCounts(
        {kind: count for kind, count in kinds.items() if count},
        after.bytes_out - before.bytes_out,
        after.bytes_in - before.bytes_in,
        after.entries - before.entries,
        after.opened - before.opened,
        after.open,
        after.buckets,
    )


def sum_counts(counts: list[TrafficCounts]) -> TrafficCounts:
    """Returns the sums over several addresses or processes."""
    kinds: Counter[str] = Counter()
    buckets: Counter[int] = Counter()
    for each in counts:
        kinds.update(each.calls)
        buckets.update(each.buckets)
    return TrafficCounts(
        dict(kinds),
        sum(each.bytes_out for each in counts),
        sum(each.bytes_in for each in counts),
        sum(each.entries for each in counts),
        sum(each.opened for each in counts),
        sum(each.open for each in counts),
        dict(buckets),
    )


def peak_calls(buckets: dict[int, int], since_s: float = 0.0) -> int:
    """Returns the maximum number of calls in one bucket at or after this time of the monotonic clock."""
    return max(
        (count for bucket, count in buckets.items() if bucket >= int(since_s * BUCKETS_PER_S)), default=0
    )


class _CountingTransport:
    """Counts written bytes; all other members are those of the wrapped transport."""

    def __init__(self, transport: asyncio.Transport, counter: TrafficCounter) -> None:
        self._transport = transport
        self._counter = counter

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        self._counter.count_sent(data)
        self._transport.write(data)


class _CountingProtocol(asyncio.Protocol):
    """Counts received bytes and connections, and passes all events to the inner protocol."""

    def __init__(self, inner: asyncio.Protocol, counter: TrafficCounter) -> None:
        self._inner = inner
        self._counter = counter
        self._tail = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._counter.opened += 1
        self._counter.open += 1
        counted = _CountingTransport(cast(asyncio.Transport, transport), self._counter)
        self._inner.connection_made(cast(asyncio.BaseTransport, counted))

    def data_received(self, data: bytes) -> None:
        self._tail = self._counter.count_received(data, self._tail)
        self._inner.data_received(data)

    def eof_received(self) -> bool | None:
        return self._inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self._counter.open -= 1
        self._inner.connection_lost(exc)

    def pause_writing(self) -> None:
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        self._inner.resume_writing()


class CountingLoop(uvloop.Loop):
    """An event loop that counts the traffic of its outgoing connections by remote address."""

    def __init__(self) -> None:
        super().__init__()
        self.counters: dict[str, TrafficCounter] = {}

    async def create_connection(
        self, protocol_factory: Callable[[], Any], host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        counter = self.counters.setdefault(f"{host}:{port}", TrafficCounter())
        return await super().create_connection(
            lambda: _CountingProtocol(protocol_factory(), counter), host, port, **options
        )

    def take_counts(self) -> dict[str, TrafficCounts]:
        """Returns the counts by remote address and clears their buckets."""
        return {address: counter.take_counts() for address, counter in self.counters.items()}


def running_counting_loop() -> CountingLoop:
    """Returns the running loop.

    Raises:
        RuntimeError: it is not a `CountingLoop`.
    """
    loop = asyncio.get_running_loop()
    if not isinstance(loop, CountingLoop):
        raise RuntimeError("the running event loop does not count connections")
    return loop


# --- processes ---


def process_usage(pid: int) -> tuple[float, float]:
    """Returns a process's processor time in seconds, over all threads, and its resident memory in MB.

    Both are 0 if the process has ended. The scheduler's statistics are in nanoseconds; on systems without
    them the time is read in clock ticks (10 ms).
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


def detect_machine() -> Machine:
    """Returns this machine's properties: usable cores, memory, versions of Python and of the system."""
    pages = os.sysconf("SC_PHYS_PAGES")
    return Machine(
        cores=len(os.sched_getaffinity(0)),
        memory_mb=pages * PAGE_BYTES >> 20,
        python=platform.python_version(),
        system=f"{platform.system()} {platform.machine()}",
    )
