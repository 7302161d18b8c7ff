"""Open-loop load: requests leave when they are due, whatever has become of those before them.

Latencies run from the moment at which a request was due, so that a target that stalls, or a generator that
is late, can't hide the wait of the requests behind it (coordinated omission).
"""

from __future__ import annotations

import asyncio
import ipaddress
import math
import secrets
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import IO, Any

import numpy as np
from hdrh.histogram import HdrHistogram

from eiderhub.documents import DocumentError, Fault
from eiderhub.emulator.asking import Asking, end_of, render
from eiderhub.emulator.clock import Clock
from eiderhub.http1 import ConnectionPool, Reply
from eiderhub.interface import Effect
from eiderhub.world.clients import End

MOST_REQUESTS = 5_000_000
MOST_US = 3_600_000_000  # of a latency in the histograms
DIGITS = 3
PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 99.99)
DEADLINE_MS = 2000
SOON_S = 0.0005  # requests due within this leave in one turn of the loop


@dataclass(frozen=True, slots=True)
class Shape:
    """Requests of one class, and their part of all."""

    name: str
    effect: Effect
    share: float = 1.0
    deadline_ms: int = DEADLINE_MS
    aim_ms: int | None = None  # answers later than this are no goodput


@dataclass(frozen=True, slots=True)
class Mix:
    """What is asked for: classes, and tenants with their parts."""

    shapes: tuple[Shape, ...]
    tenants: tuple[tuple[str, float], ...] = ()
    body_bytes: int = 200


class Pattern(Enum):
    CONSTANT = "constant"
    POISSON = "poisson"
    STEPS = "steps"


def loopback(host: str) -> str:
    """The address, where it is one of this machine's own; others are never sent to.

    Raises:
        ValueError: for any other.
    """
    address = "127.0.0.1" if host == "localhost" else host.strip("[]")
    try:
        if ipaddress.ip_address(address).is_loopback:
            return address
    except ValueError:
        pass
    raise ValueError(f"{host} is not a loopback address; load is sent to this machine alone")


def schedule(pattern: Pattern, rates: Sequence[float], seconds: float, seed: int) -> np.ndarray:
    """When requests are due, in seconds from the beginning, rising.

    `rates` are requests a second: one for a constant or a Poisson process, and for steps any number of
    them, each (Poisson) for an equal part of the time.
    """
    count = sum(rate * seconds / len(rates) for rate in rates)
    if count > MOST_REQUESTS:
        raise ValueError(f"{count:.0f} requests are more than the {MOST_REQUESTS} that a run may have")
    if pattern is Pattern.CONSTANT:
        return np.arange(0.0, seconds, 1 / rates[0]) if rates[0] > 0 else np.empty(0)
    rng = np.random.default_rng([seed, 2])
    part = seconds / len(rates)
    pieces = [
        np.sort(rng.uniform(i * part, (i + 1) * part, rng.poisson(rate * part)))
        for i, rate in enumerate(rates)
    ]
    return np.concatenate(pieces)


def recorded(path: Path) -> np.ndarray:
    """Due times from a file: seconds from the beginning, one a line; blank lines and # comments are skipped.

    Raises:
        DocumentError: with each line that is no such time.
    """
    faults, due = [], []
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentError(str(path), [Fault("", getattr(error, "strerror", None) or "no text")]) from None
    for number, line in enumerate(lines, 1):
        text = line.partition("#")[0].strip()
        if not text:
            continue
        try:
            at = float(text)
        except ValueError:
            at = math.nan
        if not 0 <= at <= 86_400:
            faults.append(
                Fault(f"line {number}", f"must be seconds from the beginning, up to a day; it is {text!r}")
            )
        due.append(at)
    if not faults and not due:
        faults.append(Fault("", "holds no times"))
    if not faults and len(due) > MOST_REQUESTS:
        faults.append(Fault("", f"holds more than {MOST_REQUESTS} times"))
    if faults:
        raise DocumentError(str(path), faults[:20])
    return np.sort(np.array(due))


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MOST_US, DIGITS)


@dataclass(slots=True)
class Part:
    """What has come of one class."""

    ends: Counter[End] = field(default_factory=Counter)
    late: int = 0  # served, but after the aim
    latency: HdrHistogram = field(default_factory=_histogram)  # of what was served, in microseconds


class Load:
    """One run against one or more addresses, which take requests in turn."""

    def __init__(self, targets: Sequence[tuple[str, int]], due_s: np.ndarray, mix: Mix, seed: int) -> None:
        self.due_s = due_s
        self.mix = mix
        self.pools = [ConnectionPool(loopback(host), port) for host, port in targets]
        self.parts = {shape.name: Part() for shape in mix.shapes}
        self.sent = 0
        self.open: set[_Shot] = set()
        self.clock = Clock()
        self.statuses: Counter[int] = Counter()
        self._body = b"x" * mix.body_bytes
        rng = np.random.default_rng([seed, 3])
        count = len(due_s)
        self._shapes = _dealt(rng, [shape.share for shape in mix.shapes], count)
        self._tenants = _dealt(rng, [share for _, share in mix.tenants], count) if mix.tenants else None
        # Not from the seed: a second run must not send the ids of the first again.
        self._ids = rng.integers(0, 2**63, count) ^ secrets.randbits(63)
        self._done = asyncio.Event()

    async def run(self, progress: Callable[[float], None] = lambda _: None) -> None:
        """Send everything when it is due, and wait for the last answer."""
        self.clock.begin()
        self._done.clear()
        if len(self.due_s):
            self._send()
        else:
            self._done.set()
        length = max(1e-9, float(self.due_s[-1])) if len(self.due_s) else 1.0
        while not self._done.is_set():
            progress(min(1.0, self.clock.now_us() / 1e6 / length))
            try:
                async with asyncio.timeout(0.25):
                    await self._done.wait()
            except TimeoutError:
                pass
        progress(1.0)

    def stop(self) -> None:
        """Give up what is open; it counts for nothing."""
        for shot in list(self.open):
            shot.drop()
        self.open.clear()

    def close(self) -> None:
        self.clock.stop()
        for pool in self.pools:
            pool.close()

    def _send(self) -> None:
        """All that is due by now; then wait for the next."""
        now_s = self.clock.now_us() / 1e6 + SOON_S
        while self.sent < len(self.due_s) and self.due_s[self.sent] <= now_s:
            number = self.sent
            self.sent += 1
            self.open.add(_Shot(self, number))
        if self.sent < len(self.due_s):
            self.clock.at(int(self.due_s[self.sent] * 1e6), self._send)

    def ended(self, shot: _Shot, end: End) -> None:
        self.open.discard(shot)
        part = self.parts[shot.shape.name]
        part.ends[end] += 1
        if end is End.SERVED:
            took_us = max(1, self.clock.now_us() - shot.due_us)
            part.latency.record_value(min(took_us, MOST_US))
            part.late += shot.shape.aim_ms is not None and took_us > shot.shape.aim_ms * 1000
        if self.sent >= len(self.due_s) and not self.open:
            self._done.set()

    def request(self, number: int) -> tuple[Shape, bytes]:
        shape = self.mix.shapes[int(self._shapes[number])]
        name = int(self._ids[number])
        tenant = self.mix.tenants[int(self._tenants[number])][0] if self._tenants is not None else None
        key = f"{name ^ 0x5555:016x}" if shape.effect is Effect.DEDUPLICATED else None
        data = render(f"{name:016x}", shape.name, shape.effect, shape.deadline_ms, tenant, key, self._body)
        return shape, data

    # --- the result ---

    def whole(self) -> HdrHistogram:
        """The latencies of all classes together."""
        all_of_them = _histogram()
        for part in self.parts.values():
            all_of_them.add(part.latency)
        return all_of_them

    def document(self) -> dict[str, Any]:
        """All figures: latencies in milliseconds, rates a second."""
        seconds = max(1e-9, self.clock.now_us() / 1e6)
        good = sum(part.ends[End.SERVED] - part.late for part in self.parts.values())
        return {
            "version": 1,
            "seconds": round(seconds, 3),
            "sent": self.sent,
            "due": len(self.due_s),
            "offered_per_s": round(self.sent / seconds, 2),
            "goodput_per_s": round(good / seconds, 2),
            "lateness_ms": self.clock.lateness_ms(),
            "latency_ms": percentiles_ms(self.whole()),
            "statuses": {str(status): count for status, count in sorted(self.statuses.items())},
            "classes": {
                name: {
                    "sent": sum(part.ends.values()),
                    "late": part.late,
                    **{end.value: part.ends[end] for end in End},
                    "latency_ms": percentiles_ms(part.latency),
                }
                for name, part in self.parts.items()
            },
        }

    def write_hgrm(self, out: IO[bytes]) -> None:
        """Percentiles of all that was served, in milliseconds, in the form of HdrHistogram's tools."""
        self.whole().output_percentile_distribution(out, 1000.0)


def _dealt(rng: np.random.Generator, shares: Sequence[float], count: int) -> np.ndarray:
    parts = np.array(shares, dtype=float)
    return rng.choice(len(parts), size=count, p=parts / parts.sum())


def percentiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    if not histogram.get_total_count():
        return {}
    found = {f"p{p:g}": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
    return {**found, "max": histogram.get_max_value() / 1000}


class _Shot(Asking):
    """One request on its way."""

    def __init__(self, load: Load, number: int) -> None:
        self._load = load
        self.shape, data = load.request(number)
        self.due_us = int(load.due_s[number] * 1e6)
        pool = load.pools[number % len(load.pools)]
        super().__init__(load.clock, pool, data, self.due_us + self.shape.deadline_ms * 1000)

    def meaning(self, reply: Reply) -> End:
        self._load.statuses[reply.status] += 1
        return end_of(reply.status)

    def crossed(self, first: bool) -> bool:
        return not first  # a kept connection's close

    def ended(self, end: End, reply: Reply | None) -> None:
        self._load.ended(self, end)


def steps(text: str) -> Iterator[float]:
    """Rates from a list such as `50,100,200`."""
    for piece in text.split(","):
        rate = float(piece)
        if not 0 <= rate <= MOST_REQUESTS:
            raise ValueError(piece)
        yield rate
