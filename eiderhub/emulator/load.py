"""Open-loop load: requests are sent when they are due, whether or not earlier ones have been answered.

Latency is measured from the time at which a request was due, so that a stalled target or a late generator
cannot hide the waiting time of the requests behind it (coordinated omission).
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
from eiderhub.emulator.clock import Clock
from eiderhub.emulator.outgoing_request import OutgoingRequest, classify_status, render_request
from eiderhub.http1 import ConnectionPool, Reply
from eiderhub.interface import Effect
from eiderhub.world.clients import End

MAX_REQUESTS = 5_000_000
MAX_LATENCY_US = 3_600_000_000  # upper limit of the histograms
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 99.99)
DEFAULT_DEADLINE_MS = 2000
SEND_AHEAD_S = 0.0005  # requests due within this time are sent in the same turn of the event loop


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests, and its share of the load."""

    name: str
    effect: Effect
    share: float = 1.0
    deadline_ms: int = DEFAULT_DEADLINE_MS
    aim_ms: int | None = None  # later answers do not count as goodput


@dataclass(frozen=True, slots=True)
class RequestMix:
    """The mix of requests: classes, and tenants with their shares."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[tuple[str, float], ...] = ()
    body_bytes: int = 200


class Pattern(Enum):
    """How due times are distributed over a run."""

    CONSTANT = "constant"
    POISSON = "poisson"
    STEPS = "steps"


def require_loopback(host: str) -> str:
    """Return the IP address of a loopback host; load is never sent to another machine.

    Raises:
        ValueError: not a loopback address.
    """
    address = "127.0.0.1" if host == "localhost" else host.strip("[]")
    try:
        if ipaddress.ip_address(address).is_loopback:
            return address
    except ValueError:
        pass
    raise ValueError(f"{host} is not a loopback address; load is sent only to this machine")


def schedule(pattern: Pattern, rates: Sequence[float], seconds: float, seed: int) -> np.ndarray:
    """Return the due times of requests in seconds from the start of the run, in ascending order.

    `rates` are in requests per second: a single one for the constant and Poisson patterns; for steps one per
    step, where each step is a Poisson process and lasts an equal part of the run.

    Raises:
        ValueError: more requests than a run may have.
    """
    count = sum(rate * seconds / len(rates) for rate in rates)
    if count > MAX_REQUESTS:
        raise ValueError(f"{count:.0f} requests exceed the limit of {MAX_REQUESTS} per run")
    if pattern is Pattern.CONSTANT:
        return np.arange(0.0, seconds, 1 / rates[0]) if rates[0] > 0 else np.empty(0)
    rng = np.random.default_rng([seed, 2])
    step_s = seconds / len(rates)
    due_by_step = [
        np.sort(rng.uniform(i * step_s, (i + 1) * step_s, rng.poisson(rate * step_s)))
        for i, rate in enumerate(rates)
    ]
    return np.concatenate(due_by_step)


def read_due_times(path: Path) -> np.ndarray:
    """Read due times in seconds from a file, one per line; blank lines and # comments are skipped.

    Raises:
        DocumentError: the file is unreadable, empty or too long, or has invalid lines; lists the first 20.
    """
    faults, due_times = [], []
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentError(
            str(path), [Fault("", getattr(error, "strerror", None) or "not UTF-8 text")]
        ) from None
    for number, line in enumerate(lines, 1):
        text = line.partition("#")[0].strip()
        if not text:
            continue
        try:
            due_s = float(text)
        except ValueError:
            due_s = math.nan
        if not 0 <= due_s <= 86_400:
            faults.append(
                Fault(f"line {number}", f"must be seconds from the start, from 0 to 86400; it is {text!r}")
            )
        due_times.append(due_s)
    if not faults and not due_times:
        faults.append(Fault("", "contains no times"))
    if not faults and len(due_times) > MAX_REQUESTS:
        faults.append(Fault("", f"contains more than {MAX_REQUESTS} times"))
    if faults:
        raise DocumentError(str(path), faults[:20])
    return np.sort(np.array(due_times))


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class ClassResult:
    """Outcomes and latencies of the requests of one class."""

    ends: Counter[End] = field(default_factory=Counter)
    late: int = 0  # served, but later than `aim_ms`
    latency: HdrHistogram = field(default_factory=_histogram)  # of served requests, in microseconds


class LoadRun:
    """One run against one or more addresses, which receive requests in turn."""

    def __init__(
        self, targets: Sequence[tuple[str, int]], due_s: np.ndarray, mix: RequestMix, seed: int
    ) -> None:
        self.due_s = due_s
        self.mix = mix
        self.pools = [ConnectionPool(require_loopback(host), port) for host, port in targets]
        self.results = {request_class.name: ClassResult() for request_class in mix.classes}
        self.sent = 0
        self.in_flight: set[_LoadRequest] = set()
        self.clock = Clock()
        self.statuses: Counter[int] = Counter()
        self._body = b"x" * mix.body_bytes
        rng = np.random.default_rng([seed, 3])
        request_count = len(due_s)
        self._class_indices = _draw_indices(
            rng, [request_class.share for request_class in mix.classes], request_count
        )
        self._tenant_indices = (
            _draw_indices(rng, [share for _, share in mix.tenants], request_count) if mix.tenants else None
        )
        # Not drawn from the seed alone: a second run with the same seed must not repeat the first one's ids.
        self._request_ids = rng.integers(0, 2**63, request_count) ^ secrets.randbits(63)
        self._done = asyncio.Event()

    async def run(self, progress: Callable[[float], None] = lambda _: None) -> None:
        """Send each request when it is due, and wait until all have an outcome."""
        self.clock.start()
        self._done.clear()
        if len(self.due_s):
            self._send_due()
        else:
            self._done.set()
        length_s = max(1e-9, float(self.due_s[-1])) if len(self.due_s) else 1.0
        while not self._done.is_set():
            progress(min(1.0, self.clock.now_us() / 1e6 / length_s))
            try:
                async with asyncio.timeout(0.25):
                    await self._done.wait()
            except TimeoutError:
                pass
        progress(1.0)

    def stop(self) -> None:
        """Cancel all requests in flight; no outcome is recorded for them."""
        for request in list(self.in_flight):
            request.cancel()
        self.in_flight.clear()

    def close(self) -> None:
        self.clock.stop()
        for pool in self.pools:
            pool.close()

    def _send_due(self) -> None:
        """Send all requests that are due by now, and schedule the next call."""
        now_s = self.clock.now_us() / 1e6 + SEND_AHEAD_S
        while self.sent < len(self.due_s) and self.due_s[self.sent] <= now_s:
            number = self.sent
            self.sent += 1
            self.in_flight.add(_LoadRequest(self, number))
        if self.sent < len(self.due_s):
            self.clock.call_at(int(self.due_s[self.sent] * 1e6), self._send_due)

    def on_request_finished(self, request: _LoadRequest, end: End) -> None:
        """Record the outcome of one request."""
        self.in_flight.discard(request)
        result = self.results[request.request_class.name]
        result.ends[end] += 1
        if end is End.SERVED:
            latency_us = max(1, self.clock.now_us() - request.due_us)
            result.latency.record_value(min(latency_us, MAX_LATENCY_US))
            result.late += (
                request.request_class.aim_ms is not None and latency_us > request.request_class.aim_ms * 1000
            )
        if self.sent >= len(self.due_s) and not self.in_flight:
            self._done.set()

    def build_request(self, number: int) -> tuple[RequestClass, bytes]:
        """Build the request with this number; returns its class and the encoded request."""
        request_class = self.mix.classes[int(self._class_indices[number])]
        request_id = int(self._request_ids[number])
        tenant = (
            self.mix.tenants[int(self._tenant_indices[number])][0]
            if self._tenant_indices is not None
            else None
        )
        idempotency_key = (
            f"{request_id ^ 0x5555:016x}" if request_class.effect is Effect.DEDUPLICATED else None
        )
        data = render_request(
            f"{request_id:016x}",
            request_class.name,
            request_class.effect,
            request_class.deadline_ms,
            tenant,
            idempotency_key,
            self._body,
        )
        return request_class, data

    # --- the result ---

    def merged_latency(self) -> HdrHistogram:
        """The latencies of all classes in one histogram."""
        merged = _histogram()
        for result in self.results.values():
            merged.add(result.latency)
        return merged

    def document(self) -> dict[str, Any]:
        """All figures as a JSON document: latencies in milliseconds, rates per second."""
        seconds = max(1e-9, self.clock.now_us() / 1e6)
        good = sum(result.ends[End.SERVED] - result.late for result in self.results.values())
        return {
            "version": 1,
            "seconds": round(seconds, 3),
            "sent": self.sent,
            "due": len(self.due_s),
            "offered_per_s": round(self.sent / seconds, 2),
            "goodput_per_s": round(good / seconds, 2),
            "lateness_ms": self.clock.lateness_ms(),
            "latency_ms": percentiles_ms(self.merged_latency()),
            "statuses": {str(status): count for status, count in sorted(self.statuses.items())},
            "classes": {
                name: {
                    "sent": sum(result.ends.values()),
                    "late": result.late,
                    **{end.value: result.ends[end] for end in End},
                    "latency_ms": percentiles_ms(result.latency),
                }
                for name, result in self.results.items()
            },
        }

    def write_hgrm(self, out: IO[bytes]) -> None:
        """Write the latency percentiles of served requests, in milliseconds, as HdrHistogram text."""
        self.merged_latency().output_percentile_distribution(out, 1000.0)


def _draw_indices(rng: np.random.Generator, shares: Sequence[float], count: int) -> np.ndarray:
    """Draw `count` indices into `shares`, each with a probability in proportion to its share."""
    weights = np.array(shares, dtype=float)
    return rng.choice(len(weights), size=count, p=weights / weights.sum())


def percentiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    """Percentiles and maximum of a histogram of microseconds, in milliseconds; empty if it has no values."""
    if not histogram.get_total_count():
        return {}
    percentiles = {f"p{p:g}": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
    return {**percentiles, "max": histogram.get_max_value() / 1000}


class _LoadRequest(OutgoingRequest):
    """One request in flight."""

    def __init__(self, load: LoadRun, number: int) -> None:
        self._load = load
        self.request_class, data = load.build_request(number)
        self.due_us = int(load.due_s[number] * 1e6)
        pool = load.pools[number % len(load.pools)]
        super().__init__(load.clock, pool, data, self.due_us + self.request_class.deadline_ms * 1000)

    def classify_reply(self, reply: Reply) -> End:
        self._load.statuses[reply.status] += 1
        return classify_status(reply.status)

    def should_resend(self, first: bool) -> bool:
        return not first  # the target may have closed a reused connection before it read the request

    def on_finished(self, end: End, reply: Reply | None) -> None:
        self._load.on_request_finished(self, end)


def parse_rates(text: str) -> Iterator[float]:
    """Parse rates in requests per second from a list such as `50,100,200`.

    Raises:
        ValueError: not a number, or out of range.
    """
    for item in text.split(","):
        rate_per_s = float(item)
        if not 0 <= rate_per_s <= MAX_REQUESTS:
            raise ValueError(item)
        yield rate_per_s
