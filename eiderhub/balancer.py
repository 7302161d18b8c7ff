"""Load balancing and admission control; eiderhub/interface.py defines its types, events and actions.

The normal path of a request, after "How Airbnb Built Adaptive Traffic Management for a Multi-tenant
Key-value Store": it is charged in request units (RU) to its tenant's token bucket, at a higher price while
the latency ratio shows stress; above a learned concurrency limit it is queued; long sojourn times in the
queue have new arrivals refused; it is sent to the less loaded of two random members of a subset of the next
tier's endpoints. The exceptions state the failure that they prevent. Zone failover is in eiderhub/zones.py.
"""

from __future__ import annotations

import heapq
import math
import random
import zlib
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from eiderhub.interface import (
    Actions,
    Discovery,
    Effect,
    Endpoint,
    EndpointMemory,
    Group,
    ListForm,
    Memory,
    Outcome,
    PoolMemory,
    Readiness,
    RequestClass,
    Ring,
    Settings,
)
from eiderhub.zones import Zone, Zones

# --- request units and token buckets ---
BASE_COST_RU = 1.0  # cost of a call without hint and latency
HINT_RU_PER_US = 1e-5  # RU per hinted microsecond: a hint of 100 ms doubles the base cost
LATENCY_RU_PER_US = 5e-7  # RU per microsecond of latency, charged when an attempt ends: 2 s double the cost
REFILL_WINDOW_US = 500_000  # refill interval: a third of a burst, and long enough to measure a rate
REFILL_HEADROOM = 0.1  # share added to the RU served in the last window, so that budgets recover after a cut
SERVED_SMOOTHING = 0.15  # weight of the newest window; an idle instance serves only a few calls per window
BURST_US, BURST_RU = 1_500_000, 3.0  # bucket depth; a tenant with few calls exceeds its share by chance
TENANT_ACTIVE_US = 10_000_000  # a tenant without calls for this long gets no part of the shared budget
MIN_QUOTA_PER_S = 1.0  # requests per second for a tenant without a stated quota
MEAN_COST_WEIGHT = 0.05  # weight of the newest call in the mean cost of a served call

# --- latency ratio ---
BUCKETS_PER_DOUBLING = 4  # histogram resolution: a step is 19%
HISTOGRAM_MIN, HISTOGRAM_BUCKETS = 1 / 1024, 64  # lowest latency, as a fraction of the class's aim
SHORT_WINDOW_US, LONG_WINDOW_US = 1_500_000, 20_000_000  # a p95 covers between one and two windows
RATIO_INTERVAL_US = 250_000
RATIO_MIN_SAMPLES = 12  # with fewer short-term samples a few long calls would swing the p95
MAX_NORMAL = 0.5  # fraction of the aim; a long-term p95 above it never counts as normal
STRESS_THRESHOLD = 0.7  # below this ratio calls of low worth are charged more
MAX_STRESS_PENALTY = 3.0  # at full stress a worthless call costs 1 + this times its price

SCARCITY_WEIGHT = 0.1  # weight of the newest arrival in the share of arrivals without room
SCARCITY_THRESHOLD = 0.2  # above this share room is scarce, even when the latency ratio looks normal

# --- concurrency limit ---
INITIAL_CALLS = 6.0  # initial in-flight calls per endpoint, over all instances
MIN_CALLS = 2.0  # lower bound of the same; a lower one starves healthy endpoints after an incident
MIN_CAP = 0.1  # calls; the sum over many instances must still be small
DITHER_INTERVAL_US = 250_000  # how often the rounding of a fractional cap is redrawn under congestion
BURST_FACTOR_INNER, BURST_FACTOR_OUTER = 2.0, 0.5  # calls above the cap, as a multiple of its square root
TARGET_FACTOR = 2.0  # target of the median latency, as a multiple of the uncongested median
MIN_TARGET_FACTOR = 1.3  # lower bound of that, where the uncongested median is near the maximum target
MAX_TARGET = 0.3  # maximum target, as a fraction of the aim, divided by layer + 1
MEDIAN_WEIGHT = 0.3  # weight of the newest round in the median that the baseline is taken from
BASELINE_DRIFT = 1.01  # growth of the baseline per uncongested round, to follow a lasting change
ROUND_SAMPLES, ROUND_SAMPLES_PER_CALL = 8, 1.5  # outcomes per round: constant, and per call of the cap
GROWTH_SHARE, MIN_GROWTH = 0.1, 0.3  # growth per good round, as a share of the cap, and in calls
FAST_GROWTH_SHARE = 0.5  # the same before the first congestion, while the capacity is unknown
MIN_CUT_FACTOR = 0.6  # a bad round keeps at least this share of the cap
FULL_LATENCY = 1.0  # latency, as a fraction of the aim, that a FULL outcome counts as
BINDING = 0.7  # the cap limits sending when this share of it is in use
LOW_TIER_WORTH, LOW_TIER_CAP_SHARE = 0.5, 0.8  # low tiers: below this part of the best worth; cap share

# --- hold queue ---
HOLD_SHARE, HOLD_SHARE_INNER = 0.35, 0.5  # maximum, of the aim; refusals of inner layers surface as errors
SOJOURN_SHARE, SOJOURN_INTERVAL_US = 0.12, 200_000  # above this share of the aim for so long: refuse
SWEEP_INTERVAL_US = 20_000
ANSWER_MARGIN_US = 60_000  # a held call is answered this long before its timeout, so that it can be retried

# --- endpoints ---
BUSY_USAGE, USAGE_MARGIN = 0.5, 0.125  # above it, a farther endpoint must be emptier by the margin
SENT_WORK_DECAY = 0.95  # retained per refill window: a memory of ten seconds
MIN_SPARE_SHARE = 0.1  # share of an even load that other classes keep at endpoints a constrained class fills
MIN_SUBSET_SIZE, SUBSET_SIZE_PER_CALL = 5, 2.0  # the latter per call of the cap; small ones learn faster
DRAWS_PER_CANDIDATE = 4
FAILURE_WEIGHT = 0.3  # weight of the newest outcome in an endpoint's failure share
HUNG_FACTOR = 10.0  # an endpoint is hung after so many median latencies without any answer,
HUNG_CALLS, BUSY_HUNG = 3, 3.0  # or, with so many calls in flight, after so many uncongested medians
FLEET_WEIGHT = 0.02  # weight of the newest outcome in the fleet's failure share and latency
EJECT_SHARE, EJECT_FLEET_FACTOR = 0.45, 0.5  # failure share: two in a row pass it; plus a part of the fleet's
MAX_EJECTED_SHARE = 0.5  # of the ready endpoints of all zones
EJECTION_US, MAX_EJECTION_US = 3_000_000, 24_000_000  # first ejection, doubled each time up to the maximum
RECOVERY_US, RECOVERY_START_SHARE = 4_000_000, 0.15  # ramp of an ejected endpoint back to its full share
BACKOFF_US, MAX_BACKOFF_US = 50_000, 2_000_000  # pause after a call that was not accepted, doubled each time
SLOW_WEIGHT, MAX_SLOWNESS = 0.2, 4.0  # weight of the newest latency relative to the fleet's; its range
COLD_SHARE = 0.8  # share of a cold endpoint's permitted load that all instances together use
RATE_RISE_WEIGHT, RATE_FALL_WEIGHT = 0.2, 0.01  # weight of the newest window in a pool's rate
OUTLIER_SLOWNESS = 2.0  # endpoints slower than this are excluded from the ratio and the cap

# --- connections ---
IDLE_BUCKET_US, IDLE_BUCKETS = 500_000, 5  # idle times are grouped by doublings of this
UNANSWERED_FACTOR = 3.0  # an attempt counts as unanswered after so many median latencies
IDLE_WEIGHT = 0.1  # weight of the newest attempt in the unanswered share of its idle time
UNANSWERED_EXCESS = 0.15  # unanswered share beyond that of fresh connections at which idle ones are stale
IDLE_MIN_SAMPLES, STALE_TRIAL_SHARE = 5, 0.1  # attempts before a share counts; part of stale ones still tried

# --- attempts ---
MIN_TIME_LEFT = 0.5  # of the median latency; calls with less time left are refused
TIMEOUT_VOTES = 50  # calls with another timeout before it replaces the usual one
HEDGE_DELAY_FACTOR = 3.0  # median latencies until a hedge is sent
RETRY_SHARE, RETRY_BURST = 0.1, 5.0  # budget of retries and hedges: per first attempt, and its maximum
MAX_TRIES, MAX_TRIES_INNER = 3, 2  # retries of nested layers multiply
RETRY_AFTER_SHARE = 0.5  # a refused client waits this share of the permitted maximum, up to twice it
# Delay before subscribing again, doubled up to a maximum for each instance of all tiers, within these bounds.
WATCH_BACKOFF_US, WATCH_INSTANCE_US, WATCH_MIN_US, WATCH_MAX_US = 500_000, 80_000, 1_000_000, 8_000_000
SPILL_GAIN_SHARE = 0.5  # share of a call's worth that sending it to another zone is expected to save
START_TOLERANCE_US = 1_000_000  # largest difference of one start time between processes' clocks

STATE_LOG_INTERVAL_US = 5_000_000  # applies while calls arrive

UNANSWERED = frozenset((Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED))
ANSWERED = frozenset((Outcome.OK, Outcome.ERROR, Outcome.FULL))
NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))
SWEEP_TIMER, WATCH_TIMER = "sweep", "ask"


def may_refuse(request_class: RequestClass, may_have_run: bool) -> bool:
    """Whether `shed` (a retry does no harm) is allowed; if not, the answer is `surrender`."""
    if not may_have_run or request_class.effect is Effect.IDEMPOTENT:
        return True
    return request_class.effect is Effect.DEDUPLICATED and request_class.group is Group.ALL


class FirstRun(NamedTuple):
    """The earliest attempt of a request that may have been executed."""

    sent_at: int
    zone: str
    cell: int


def may_resend(request_class: RequestClass, first: FirstRun | None, now: int, zone: str, cell: int) -> bool:
    """Whether another attempt may go to this zone and cell without the risk of a second execution."""
    if first is None or request_class.effect is Effect.IDEMPOTENT:
        return True
    if request_class.effect is Effect.AT_MOST_ONCE or now - first.sent_at > request_class.dedup_window_us:
        return False
    drops_repeats = {Group.ALL: True, Group.ZONE: first.zone == zone, Group.CELL: first.cell == cell}
    return drops_repeats[request_class.group]


class TokenBuckets:
    """Tenants' budgets in RU, refilled each window by the RU served in the window before."""

    class Bucket:
        __slots__ = ("last_request_at", "quota_per_s", "refill_per_s", "share", "tokens")

        def __init__(self, share: float, quota_per_s: float) -> None:
            self.share, self.quota_per_s = share, quota_per_s  # requests per second at this instance
            self.refill_per_s = quota_per_s * BASE_COST_RU * (1 + REFILL_HEADROOM)  # RU per second
            self.tokens = self.depth_ru()
            self.last_request_at = -TENANT_ACTIVE_US

        def depth_ru(self) -> float:
            return self.refill_per_s * BURST_US / 1e6 + BURST_RU

    def __init__(self, settings: Settings, phase_us: int, now: int) -> None:
        self.buckets = {
            t.name: self.Bucket(t.share or 1.0, t.quota_per_s / settings.balancers or MIN_QUOTA_PER_S)
            for t in settings.tenants
        }
        self.next_refill = now + phase_us
        self.served = self.served_per_s = 0.0  # RU of this window; smoothed rate
        self.mean_cost = BASE_COST_RU

    def find(self, tenant: str) -> Bucket:
        if tenant not in self.buckets:
            self.buckets[tenant] = self.Bucket(1.0, MIN_QUOTA_PER_S)
        return self.buckets[tenant]

    def charge_latency(self, bucket: Bucket, cost: float, charged: float, latency_us: int, ok: bool) -> None:
        """Charge a finished attempt for its latency; `charged`: RU taken on arrival, 0 if over the share."""
        latency_cost = LATENCY_RU_PER_US * latency_us
        if charged:
            bucket.tokens -= latency_cost
        if ok:
            self.mean_cost += MEAN_COST_WEIGHT * (cost + latency_cost - self.mean_cost)
            # Calls over the share that spare capacity served must not raise the budget of their own tenant.
            if charged:
                self.served += cost + latency_cost

    def refill(self, now: int) -> None:
        windows = 1 + (now - self.next_refill) // REFILL_WINDOW_US
        self.next_refill += windows * REFILL_WINDOW_US
        for _ in range(min(windows, 20)):
            rate = self.served * 1e6 / REFILL_WINDOW_US
            self.served_per_s += SERVED_SMOOTHING * (rate - self.served_per_s)
            self.served = 0.0
        active = sum(b.share for b in self.buckets.values() if now - b.last_request_at < TENANT_ACTIVE_US)
        for b in self.buckets.values():
            even_split = self.served_per_s * b.share / active if active else 0.0
            # A quota counts requests: without the present mean cost, slower calls would shrink it.
            b.refill_per_s = max(b.quota_per_s * self.mean_cost, even_split) * (1 + REFILL_HEADROOM)
            b.tokens = min(b.depth_ru(), b.tokens + b.refill_per_s * windows * REFILL_WINDOW_US / 1e6)


class Histogram:
    """Log-spaced histogram of latencies, as fractions of the aim (target latency) of their class."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * HISTOGRAM_BUCKETS
        self.total = 0

    def add(self, latency: float) -> None:
        pos = int(math.log2(latency / HISTOGRAM_MIN) * BUCKETS_PER_DOUBLING) if latency > HISTOGRAM_MIN else 0
        self.counts[min(pos, HISTOGRAM_BUCKETS - 1)] += 1
        self.total += 1

    def upper_quantile(self, share: float, older: Histogram | None = None) -> float:
        """The latency that this share of the samples exceeds, with those of `older`."""
        remaining = share * (self.total + (older.total if older else 0))
        pos = HISTOGRAM_BUCKETS
        while pos > 1 and remaining >= 0:
            pos -= 1
            remaining -= self.counts[pos] + (older.counts[pos] if older else 0)
        pos -= remaining >= 0
        return float(HISTOGRAM_MIN * 2 ** ((pos + 0.5) / BUCKETS_PER_DOUBLING))


class LatencyRatio:
    """Long-term p95 divided by short-term p95 of call latencies; below 1 calls have become slower."""

    def __init__(self, now: int) -> None:
        self.short = (Histogram(), Histogram())  # newer and older half
        self.long = (Histogram(), Histogram())
        self.short_rotation_at, self.long_rotation_at = now + SHORT_WINDOW_US, now + LONG_WINDOW_US
        self.next_update, self.value = now + RATIO_INTERVAL_US, 1.0

    def record(self, now: int, latency: float) -> None:
        self.short[0].add(latency)
        self.long[0].add(latency)
        if now >= self.next_update:
            self.update(now)

    def update(self, now: int) -> None:
        self.next_update = now + RATIO_INTERVAL_US
        if now >= self.short_rotation_at:
            stale = now >= self.short_rotation_at + SHORT_WINDOW_US
            self.short_rotation_at = now + SHORT_WINDOW_US
            self.short = (Histogram(), Histogram() if stale else self.short[0])
        if now >= self.long_rotation_at:
            self.long_rotation_at = now + LONG_WINDOW_US
            self.long = (Histogram(), self.long[0])
        if self.short[0].total + self.short[1].total < RATIO_MIN_SAMPLES:
            self.value = 1.0
            return
        # Without the bound, latencies that were high from the start would count as normal.
        normal = min(self.long[0].upper_quantile(0.05, self.long[1]), MAX_NORMAL)
        self.value = normal / self.short[0].upper_quantile(0.05, self.short[1])

    def stress(self) -> float:
        """0 while latencies are normal, up to 1."""
        return max(0.0, 1.0 - self.value / STRESS_THRESHOLD)


class ConcurrencyLimit:
    """The in-flight cap of one pool, learned from latencies as fractions of the aim."""

    # It follows medians: a cap that fell for single long calls would starve healthy endpoints.

    def __init__(self, layer: int) -> None:
        self.cap = self.size = 0.0  # set by the first endpoint list
        self.min_cap = MIN_CAP
        self.in_flight = self.next_dither = self.changed_at = 0
        self.dither = self.median = self.baseline = 0.0
        self.max_target, self.max_baseline = MAX_TARGET / (layer + 1), MAX_NORMAL / (layer + 1)
        self.round, self.was_binding = Histogram(), False  # whether the cap limited sending in this round
        self.burst_factor = BURST_FACTOR_INNER if layer else BURST_FACTOR_OUTER
        self.slack = 0.5  # 1 uncongested, 0 with the median at its target
        self.fast_growth = not layer  # until the first congestion

    def resize(self, size: float) -> None:
        """Scale to a fractional number of endpoints; a cap for three would overload the one that is left."""
        self.min_cap = max(MIN_CAP, MIN_CALLS * size)
        self.cap = max(self.cap * size / self.size if self.size else INITIAL_CALLS * size, self.min_cap)
        self.size = size

    def restore(self, memory: PoolMemory) -> None:
        """Start with what another process learned, scaled to the present number of endpoints."""
        if memory.base and memory.part and self.size:
            self.cap = max(self.min_cap, memory.cap * self.size / memory.part)
            self.baseline, self.median = memory.base, memory.median
            self.fast_growth = False

    def burst_cap(self, scarcity: float) -> float:
        """The limit of calls in flight at any moment; the cap itself bounds their mean."""
        # Chance bursts exceed the small cap of a little used inner instance, which would refuse started work.
        return self.cap + self.burst_factor * self.slack * (1.0 - scarcity) * math.sqrt(self.cap)

    def is_full(self, now: int, burst_cap: float, rng: random.Random) -> bool:
        """Whether the limit is reached; under congestion a fractional limit is rounded at random."""
        # Caps rounded up at hundreds of instances would keep a small fleet congested.
        if now >= self.next_dither:
            self.next_dither = now + DITHER_INTERVAL_US
            self.dither = rng.random()
        return self.in_flight >= (burst_cap if self.slack else int(burst_cap + self.dither))

    def observe(self, now: int, sent_at: int, latency: float, aim_us: int) -> None:
        self.changed_at = self.changed_at or sent_at
        # Calls sent before the last cut would cause cuts again and again; and of the calls since then the
        # fastest end first, whose median would set too low a baseline for good.
        if sent_at < self.changed_at or now - self.changed_at < self.max_baseline * aim_us:
            return
        self.round.add(latency)
        self.was_binding = self.was_binding or self.in_flight >= BINDING * self.cap
        if self.round.total < ROUND_SAMPLES + ROUND_SAMPLES_PER_CALL * self.cap:
            return
        median = self.round.upper_quantile(0.5)
        self.median += (MEDIAN_WEIGHT if self.median else 1.0) * (median - self.median)
        # After a start under overload, max_baseline keeps slow calls from counting as the normal state.
        # Drift while the cap binds would raise the baseline by the queueing it causes, and so the cap.
        drift = 1.0 if self.was_binding and self.cap > self.min_cap else BASELINE_DRIFT
        self.baseline = min(self.baseline * drift if self.baseline else self.max_baseline, self.median)
        target = max(MIN_TARGET_FACTOR * self.baseline, min(TARGET_FACTOR * self.baseline, self.max_target))
        self.slack = min(1.0, max(0.0, TARGET_FACTOR * (1.0 - median / target)))
        if median > target:
            self.cap = max(self.min_cap, self.cap * max(MIN_CUT_FACTOR, target / median))
            self.changed_at = now
            self.fast_growth = False
        elif self.was_binding:
            # At 10% per round a new process would refuse calls for ten seconds while there is capacity.
            self.fast_growth = self.fast_growth and self.slack >= 0.5
            self.cap += max(MIN_GROWTH, (FAST_GROWTH_SHARE if self.fast_growth else GROWTH_SHARE) * self.cap)
        self.round, self.was_binding = Histogram(), False


class IdleConnections:
    """The idle time after which connections are stale, learned from unanswered attempts."""

    # Middleboxes drop idle connections silently, at all endpoints alike, so that no endpoint looks unhealthy.

    def __init__(self, close_after_us: int) -> None:
        self.close_after_us = close_after_us or 1 << 62
        # Unanswered shares, and attempts, by idle time; the last bucket is for fresh connections.
        self.shares = [0.0] * (IDLE_BUCKETS + 1)
        self.counts = [0] * (IDLE_BUCKETS + 1)

    def bucket(self, idle_us: int) -> int:
        if idle_us >= self.close_after_us:
            return IDLE_BUCKETS
        return min((idle_us // IDLE_BUCKET_US).bit_length(), IDLE_BUCKETS - 1)

    def record(self, bucket: int, unanswered: bool) -> None:
        self.counts[bucket] += 1
        self.shares[bucket] += max(IDLE_WEIGHT, 1 / self.counts[bucket]) * (unanswered - self.shares[bucket])

    def is_stale(self, bucket: int, draw: float) -> bool:
        """Whether to close connections of this idle time before sending; `draw` is random in 0..1."""
        if bucket == IDLE_BUCKETS or self.counts[bucket] < IDLE_MIN_SAMPLES or draw < STALE_TRIAL_SHARE:
            return False
        references = [s for s, n in zip(self.shares, self.counts, strict=True) if n >= IDLE_MIN_SAMPLES]
        if self.counts[IDLE_BUCKETS] < IDLE_MIN_SAMPLES:
            references.append(0.0 if draw < 0.5 else 1.0)  # half are tried on fresh connections, to compare
        return self.shares[bucket] > min(references) + UNANSWERED_EXCESS


class EndpointState:
    """State of one endpoint: its list entry, own calls, health and slow start."""

    __slots__ = (
        "backoff_end", "backoff_start", "cell", "credit", "credit_at", "ejected_until", "ejections",
        "failed_at", "failing", "id", "in_flight", "kind", "launched_at", "on_trial", "ready", "refusals",
        "slowness", "sort_key", "usage", "used_at", "waiting_since", "weight", "zone",
    )  # fmt: skip

    def __init__(self, entry: Endpoint) -> None:
        self.id = entry.id
        self.sort_key = zlib.crc32(entry.id.encode())  # same at all instances, unrelated to id order
        self.in_flight = self.failed_at = self.backoff_start = 0
        self.waiting_since = 0  # calls are in flight without an answer since; 0: none
        self.credit, self.credit_at = -1.0, 0  # calls earned while cold; below 0: not started
        self.usage = 0.0  # share of capacity in use at all instances, with one more call; 0: unknown
        self.launched_at = self.used_at = 0  # used_at: last use of a connection to it, 0: never
        self.reset_health()
        self.update(entry)

    def update(self, entry: Endpoint) -> None:
        self.zone, self.kind, self.cell, self.weight = entry.zone, entry.kind, entry.cell, entry.weight
        self.ready = entry.readiness is Readiness.READY
        if entry.launched_us != self.launched_at:  # a new process with a known id
            self.launched_at = entry.launched_us
            self.credit = -1.0
            self.reset_health()

    def reset_health(self) -> None:
        self.failing = self.slowness = 0.0  # share of failures; latency relative to the fleet's, 0: unknown
        self.ejected_until = self.ejections = self.backoff_end = 0
        self.refusals = 0  # consecutive calls that it rejected or that did not reach it
        self.on_trial = False  # ejected, and no call succeeded since

    def back_off(self, now: int, sent_at: int, jitter: float) -> None:
        """Pause sending, as the endpoint is full, draining or unreachable."""
        # An endpoint that rejects calls at once looks idle and would attract more calls than its peers.
        if sent_at < self.backoff_start:  # sent before the last pause began
            return
        self.refusals += 1
        self.backoff_start = now
        self.backoff_end = now + int(min(BACKOFF_US * 2.0 ** (self.refusals - 1), MAX_BACKOFF_US) * jitter)


class Subset:
    """The subset of a pool that this instance uses: a block of a random order common to all instances."""

    def __init__(self) -> None:
        self.members: list[EndpointState] = []

    def fill(self, endpoints: list[EndpointState], rank: int, balancers: int, size: int) -> None:
        """Blocks at even distances load all endpoints alike; independent random choices would leave gaps."""
        endpoints.sort(key=lambda e: (e.sort_key, e.id))
        count = len(endpoints)
        start = rank % balancers * count // balancers if size < count else 0
        self.members = [endpoints[(start + i) % count] for i in range(min(size, count))]


class ClientTimeout:
    """The usual client timeout of a class; a call that arrives with less time left is a retry."""

    def __init__(self) -> None:
        self.usual = self.votes = 0

    def age(self, time_left: int, deadline: int) -> int:
        """Estimated time since the client's first try."""
        if abs(time_left - self.usual) * 100 <= deadline:
            self.votes = min(self.votes + 1, TIMEOUT_VOTES)
            return 0
        self.votes -= 1
        if self.votes < 0:
            self.usual, self.votes = time_left, 0
            return 0
        return max(0, deadline - time_left)


class Attempt(NamedTuple):
    endpoint: EndpointState
    sent_at: int
    pool: Pool
    idle_bucket: int  # of its connection; below 0: unknown
    overdue_recorded: bool = False  # counted as a failure of its zone


@dataclass(slots=True, eq=False)
class Call:
    """A request that awaits its final answer, or still has attempts in flight."""

    id: str
    request_class: RequestClass
    arrived_at: int
    answer_by: int  # the client's timeout, or the aim if that is earlier
    bucket: TokenBuckets.Bucket
    attempts: list[Attempt] = field(default_factory=list)
    outstanding: set[int] = field(default_factory=set)
    first_run: FirstRun | None = None
    answered: bool = False
    held_until: int = 0  # 0: not held
    streaming_attempt: int = -1  # the attempt whose response is being streamed
    level: int = 0
    cost: float = 0.0
    charged: float = 0.0
    zone_draw: float = -1.0  # random; a zone takes the call if its share is above it


class HoldQueue:
    """Calls above the cap, most valuable first; long sojourn times have new arrivals refused."""

    def __init__(self, levels: int) -> None:
        self.levels: list[deque[Call]] = [deque() for _ in range(levels)]
        self.expiries: list[tuple[int, int, Call]] = []
        self.sequence, self.count, self.above_target_since = 0, 0, -1

    def push(self, call: Call, until: int) -> None:
        call.held_until = until
        self.levels[call.level].append(call)
        self.sequence += 1
        self.count += 1
        heapq.heappush(self.expiries, (until, self.sequence, call))

    def remove(self, call: Call) -> None:
        """Mark the call as removed; its queue entries are dropped when they reach the head."""
        call.held_until = 0
        self.count -= 1
        if not self.count:
            # If an empty queue refused arrivals, none would be queued to end the refusal.
            self.above_target_since = -1

    def head(self, level: int) -> Call | None:
        queue = self.levels[level]
        while queue and not queue[0].held_until:
            queue.popleft()
        return queue[0] if queue else None

    def overdue(self, now: int) -> Call | None:
        expiries = self.expiries
        while expiries and not expiries[0][2].held_until:
            heapq.heappop(expiries)
        return expiries[0][2] if expiries and expiries[0][0] <= now else None

    def track_sojourn(self, now: int) -> None:
        """Track since when the sojourn time exceeds its target."""
        heads = filter(None, map(self.head, range(len(self.levels))))
        if not any(now - call.arrived_at > SOJOURN_SHARE * call.request_class.aim_us for call in heads):
            self.above_target_since = -1
        elif self.above_target_since < 0:
            self.above_target_since = now

    def refuses_arrivals(self, now: int) -> bool:
        return self.above_target_since >= 0 and now - self.above_target_since >= SOJOURN_INTERVAL_US


class Pool:
    """The endpoints of one ring: the subset in use and the cap on calls to it."""

    def __init__(self, layer: int) -> None:
        self.subset, self.limit = Subset(), ConcurrencyLimit(layer)
        self.sent, self.rate = 0, 0.0  # calls of this window; rate, falling slowly for slow start

    def end_window(self) -> None:
        rate = self.sent * 1e6 / REFILL_WINDOW_US
        self.rate += (RATE_RISE_WEIGHT if rate > self.rate else RATE_FALL_WEIGHT) * (rate - self.rate)
        self.sent = 0


class Placement:
    """The endpoints open to classes with the same constraints: one pool per ring, nearest first."""

    # Subsets are drawn from allowed endpoints only: a filtered subset of all endpoints could be empty.

    def __init__(self, constraints: RequestClass, layer: int) -> None:
        self.zones, self.kinds, self.reach = constraints.stays_in, constraints.served_on, constraints.reach
        self.pools = tuple(Pool(layer) for _ in Ring)
        self.ready_count = 0  # ready endpoints
        self.sent_work = 0.0  # decaying sum of the cost of sent calls
        self.spare: dict[str, float] = {}  # by endpoint id, left by more constrained classes; default 1

    def allows(self, e: EndpointState) -> bool:
        return (self.zones is None or e.zone in self.zones) and (self.kinds is None or e.kind in self.kinds)


class Balancer:
    """The balancer of one sidecar instance."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings, self.actions, self.rng = settings, actions, random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        best = max(c.credit for c in settings.classes) or 1.0
        worths = {(c.name, False): c.credit / best for c in settings.classes}
        worths |= {(c.name, True): c.credit / best * settings.over_share_worth for c in settings.classes}
        ranked = sorted(worths, key=lambda k: (-worths[k], k))
        self.level = {k: i for i, k in enumerate(ranked)}
        self.worth = [worths[k] for k in ranked]
        goal = settings.goal
        weight = goal.by_class / (goal.by_class + goal.by_worth or 1.0)
        # Worth of a served call to the goal, which may weight all classes alike.
        flat = [settings.over_share_worth if over else 1.0 for _, over in ranked]
        self.gain = [(1 - weight) * worths[k] + weight * worth for k, worth in zip(ranked, flat, strict=True)]
        self.has_repeatable_class = any(c.effect is not Effect.AT_MOST_ONCE for c in settings.classes)
        self.hedging = settings.limits.second_copies and settings.layer == 0
        # After ask_every_us without a request the site takes changes as known; jitter adds up to half.
        limit = min(WATCH_MAX_US, max(WATCH_MIN_US, WATCH_INSTANCE_US * settings.balancers * settings.tiers))
        self.started, self.max_watch_backoff = False, min(limit, settings.rules.ask_every_us // 2 or limit)

    def start(self, now_us: int) -> None:
        settings = self.settings
        self.started = True
        self.endpoints: dict[str, EndpointState] = {}
        self.calls: dict[str, Call] = {}
        self.buckets = TokenBuckets(settings, self.rng.randrange(REFILL_WINDOW_US), now_us)
        self.ratio = LatencyRatio(now_us)
        self.queue = HoldQueue(len(self.worth))
        self.retry_budget = RETRY_BURST  # bounds the extra load under failures
        self.idle = IdleConnections(settings.limits.conn_idle_us)
        self.timeouts = {c.name: ClientTimeout() for c in settings.classes}
        self.zones = Zones(settings.zone, settings.regions, self.rng, self.actions, settings.zone_verdicts)
        self.evacuated_pool = Pool(settings.layer)  # calls in flight to evacuated zones
        placements: dict[tuple[object, ...], Placement] = {}
        self.placement = {
            c.name: placements.setdefault((c.stays_in, c.served_on, c.reach), Placement(c, settings.layer))
            for c in settings.classes
        }
        self.placements = list(placements.values())
        self.ejected: list[EndpointState] = []
        self.ready_count, self.sweep_at = 0, -1
        self.any_cold = False  # whether capacities change, as an endpoint is cold
        self.fleet_failure_share = self.fleet_latency = 0.0
        self.scarcity = 0.0  # recent share of calls within budget without room at once
        self.given_up: dict[str, int] = {}  # unserved calls since the last log line, by reason
        self.next_state_log = now_us + STATE_LOG_INTERVAL_US
        self.hedges: deque[tuple[int, Call]] = deque()  # time of the hedge
        self.watch_backoff, self.watch_pending = WATCH_BACKOFF_US, False
        if settings.discovery is Discovery.ASK:
            self.actions.watch(True)

    def discovery(self, now_us: int, form: ListForm, entries: Sequence[Endpoint]) -> None:
        if form is ListForm.FAILED:
            if self.settings.discovery is Discovery.ASK and not self.watch_pending:
                self.watch_pending = True  # jitter: the other instances failed as well
                self.actions.timer(int(self.watch_backoff * (0.5 + self.rng.random())), WATCH_TIMER)
                self.watch_backoff = min(2 * self.watch_backoff, self.max_watch_backoff)
            return
        if form is not ListForm.CACHED:
            self.watch_backoff = WATCH_BACKOFF_US
        if form is not ListForm.DELTA:
            listed = {e.id for e in entries}
            for endpoint in self.endpoints.values():
                if endpoint.id not in listed:
                    endpoint.ready = False
        for entry in entries:
            if entry.id in self.endpoints:
                self.endpoints[entry.id].update(entry)
            else:
                self.endpoints[entry.id] = EndpointState(entry)
        self._rebuild_pools(now_us)
        if self.queue.count:
            self._dispatch(now_us)

    def _rebuild_pools(self, now: int) -> None:
        s = self.settings
        ready_endpoints = [e for e in self.endpoints.values() if e.ready]
        self.ready_count = len(ready_endpoints)
        self.any_cold = any(self._warmth(now, e) < 1.0 for e in ready_endpoints)
        zones = len({e.zone for e in self.endpoints.values()})
        for placement in self.placements:
            rings: list[list[EndpointState]] = [[] for _ in Ring]
            capacities = [0.0] * len(Ring)
            for e in ready_endpoints:
                ring = self.zones.ring(e.zone)
                if placement.allows(e) and ring <= placement.reach and (share := self.zones.share(e.zone)):
                    rings[ring].append(e)
                    capacities[ring] += self._warmth(now, e) * share
            placement.ready_count = sum(map(len, rings))
            # Instances are spread over zones about as endpoints are, and other zones serve their own callers.
            # But with few instances, zones without one would sit idle; and instances of a zone with lost or
            # cold endpoints would each claim the remaining capacity for themselves.
            fair = sum(capacities) / s.balancers
            own = capacities[0] * zones / s.balancers if zones < s.balancers else min(fair, capacities[0])
            far = max(fair - own, s.remote_part * fair)
            farther = max(far - capacities[1], s.remote_part * fair)
            for pool, members, capacity in zip(placement.pools, rings, (own, far, farther), strict=True):
                pool.limit.resize(capacity)
                size = max(MIN_SUBSET_SIZE, int(SUBSET_SIZE_PER_CALL * pool.limit.cap))
                pool.subset.fill(members, s.rank, s.balancers, size)

    def steer(self, now_us: int, shares: Mapping[str, float], regions: Mapping[str, str]) -> None:
        self.zones.regions = regions
        self.zones.set_operator_shares(now_us, shares)
        self._rebuild_pools(now_us)

    def _review_zones(self, now: int) -> None:
        """Update the zones' shares; calls in flight to evacuated zones release their slots."""
        calls, endpoints = self.calls.values(), self.endpoints.values()
        pending = [(c, i, c.attempts[i]) for c in calls for i in c.outstanding if i != c.streaming_attempt]
        for call, i, attempt in pending:
            endpoint, sent_at, pool, *_ = attempt
            late = now - sent_at > BUSY_HUNG * pool.limit.baseline * call.request_class.aim_us
            if not attempt.overdue_recorded and late and self._hung(now, endpoint, pool, call):
                self.zones.record(now, endpoint.zone, endpoint.id, True)
                call.attempts[i] = attempt._replace(overdue_recorded=True)
        limits = [p.limit for placement in self.placements for p in placement.pools if p.subset.members]
        # Failures without any room or under stress are due to load.
        overloaded = self.ratio.stress() > 0 or all(each.in_flight >= BINDING * each.cap for each in limits)
        changed, evacuated = self.zones.review(now, {e.zone for e in endpoints if e.ready}, overloaded)
        for call, i, attempt in pending:
            if attempt.endpoint.zone in evacuated:  # frees its slot for calls that may be answered
                attempt.pool.limit.in_flight -= 1
                self.evacuated_pool.limit.in_flight += 1
                call.attempts[i] = attempt._replace(pool=self.evacuated_pool, overdue_recorded=True)
        for endpoint in endpoints:
            if endpoint.zone in evacuated:  # it returns with its zone
                endpoint.reset_health()
        if changed:
            self._rebuild_pools(now)

    def _update_spare_shares(self, now: int) -> None:
        """Keep other classes off endpoints that a constrained class fills, which they would overload."""
        for placement in self.placements:
            for pool in placement.pools:
                pool.end_window()
        if self.any_cold:
            self._rebuild_pools(now)
        if len(self.placements) < 2:
            return
        mean = sum(p.sent_work for p in self.placements) / max(1, *(p.ready_count for p in self.placements))
        for wide in self.placements:
            wide.spare = {}
            for narrow in self.placements:
                if mean and 0 < narrow.ready_count < wide.ready_count:
                    share = max(MIN_SPARE_SHARE, 1.0 - narrow.sent_work / narrow.ready_count / mean)
                    wide.spare.update((e.id, share) for e in self.endpoints.values() if narrow.allows(e))
        for p in self.placements:
            p.sent_work *= SENT_WORK_DECAY

    def wake(self, now_us: int, mark: str) -> None:
        if mark == WATCH_TIMER:
            self.watch_pending = False
            self.actions.watch(True)
        elif mark == SWEEP_TIMER and now_us >= self.sweep_at >= 0:
            self.sweep_at = -1
            self._sweep(now_us)

    def hosts_down(self, now_us: int) -> list[str]:
        """Ids of endpoints that get no calls or single trials: draining, backed off or ejected."""
        known = self.endpoints.values()
        out = [e for e in known if not e.ready or e.on_trial or now_us < max(e.backoff_end, e.ejected_until)]
        return [e.id for e in out]

    def _limits(self) -> list[ConcurrencyLimit]:
        return [pool.limit for placement in self.placements for pool in placement.pools]

    def learned_state(self, now_us: int) -> Memory:
        """State for a successor process; changes nothing."""
        learned = [e for e in self.endpoints.values() if e.ready and (e.on_trial or e.slowness or e.failing)]
        ejected = [(e.ejected_until - now_us or -1) if e.on_trial else 0 for e in learned]
        pools = [PoolMemory(limit.size, limit.cap, limit.baseline, limit.median) for limit in self._limits()]
        pairs = zip(learned, ejected, strict=True)
        return Memory(
            pools, [EndpointMemory(e.id, e.launched_at, e.failing, e.slowness, left) for e, left in pairs]
        )

    def restore(self, now_us: int, memory: Memory) -> None:
        """Restore the state of the previous process; called after the first list."""
        # Without it a new process sends to hung endpoints, and refuses calls by caps not yet learned.
        if len(memory.pools) == len(self._limits()):  # an older version may have other pools
            for limit, pool in zip(self._limits(), memory.pools, strict=True):
                limit.restore(pool)
        for learned in memory.endpoints:
            endpoint = self.endpoints.get(learned.id)
            if endpoint is None or abs(endpoint.launched_at - learned.launched_us) > START_TOLERANCE_US:
                continue
            endpoint.failing, endpoint.slowness = learned.failing, learned.slow
            if learned.ejected_us:
                endpoint.on_trial, endpoint.ejections = True, 1
                endpoint.ejected_until = now_us + max(0, min(learned.ejected_us, MAX_EJECTION_US))
                self.ejected.append(endpoint)

    def order(
        self, now_us: int, call: str, grade: str, tenant: str | None, expires_in_us: int, hint_us: int | None
    ) -> None:
        if not self.started or call in self.calls:
            raise RuntimeError(f"request {call} is already active" if self.started else "order before start")
        if now_us >= self.zones.next_review:
            self._review_zones(now_us)
        if now_us >= self.buckets.next_refill:
            self.buckets.refill(now_us)
            self._update_spare_shares(now_us)
            if now_us >= self.next_state_log:
                self._log_state(now_us)
        bucket = self.buckets.find(tenant or "")
        new = self.calls[call] = Call(call, self.classes[grade], now_us, now_us + expires_in_us, bucket)
        bucket.last_request_at = now_us
        stress = self.ratio.stress()
        worth = self.worth[self.level[grade, False]]
        new.cost = BASE_COST_RU + HINT_RU_PER_US * (hint_us or 0)
        charge = new.cost * (1 + MAX_STRESS_PENALTY * stress * (1 - worth))
        over = bool(self.settings.tenants) and bucket.tokens < charge
        new.level = self.level[grade, over]
        age = (
            self.timeouts[grade].age(expires_in_us, new.request_class.deadline_us)
            if not self.settings.layer
            else 0
        )
        if expires_in_us <= 0:
            self._refuse(new, "no time")
            return
        if not new.request_class.late_share:
            # Retries that cannot be answered within the aim are worthless.
            usual = self.placement[grade].pools[0].limit.median * MIN_TIME_LEFT
            new.answer_by = min(new.answer_by, now_us + new.request_class.aim_us - age)
            if new.answer_by - now_us <= new.request_class.aim_us * usual:
                self._refuse(new, "hopeless")
                return
        low_tier = self.worth[new.level] < LOW_TIER_WORTH
        outermost = self.settings.layer == 0
        excess = over and (stress > 0 or self.scarcity > SCARCITY_THRESHOLD)
        if outermost and (excess or self.queue.refuses_arrivals(now_us)):
            self._refuse(new, "over share" if excess else "sojourn")
            return
        if not over:
            bucket.tokens -= charge
            new.charged = charge
        at_once = (low_tier or not self.queue.count) and self._try_send(now_us, new)
        if not over:
            self.scarcity += SCARCITY_WEIGHT * ((not at_once) - self.scarcity)
        if at_once:
            return
        if outermost and low_tier and (stress > 0 or self.queue.count):
            self._refuse(new, "low tier")
            return
        self._hold(now_us, new)

    def _hold(self, now: int, call: Call) -> None:
        share = HOLD_SHARE_INNER if self.settings.layer else HOLD_SHARE
        until = min(now + int(share * call.request_class.aim_us), call.answer_by - ANSWER_MARGIN_US)
        if until <= now:
            self._refuse(call, "no time")
            return
        self.queue.push(call, until)
        self._schedule_sweep(now)

    def _schedule_sweep(self, now: int) -> None:
        if self.sweep_at < 0:
            self.sweep_at = now + SWEEP_INTERVAL_US
            self.actions.timer(SWEEP_INTERVAL_US, SWEEP_TIMER)

    def _sweep(self, now: int) -> None:
        queue = self.queue
        if now >= self.zones.next_review:
            self._review_zones(now)
        self._dispatch(now)
        while (call := queue.overdue(now)) is not None:
            queue.remove(call)
            self._refuse(call, "held too long")
        queue.track_sojourn(now)
        while self.hedges and (self.hedges[0][0] <= now or self.hedges[0][1].answered):
            self._hedge(now, self.hedges.popleft()[1])
        if queue.count or self.hedges:
            self._schedule_sweep(now)

    def _hedge(self, now: int, call: Call) -> None:
        """Send a second attempt, as the endpoint may hang; only while there is spare capacity."""
        if call.answered or len(call.attempts) != 1 or not call.outstanding:
            return
        if self.ratio.stress() > 0 or self.queue.count or self.retry_budget < 1.0:
            return
        if self._try_send(now, call):
            self.retry_budget -= 1.0

    def _dispatch(self, now: int) -> None:
        """Send held calls while there is room, most valuable first."""
        queue = self.queue
        queue.track_sojourn(now)
        for level in range(len(queue.levels)):
            while (call := queue.head(level)) is not None:
                if not self._try_send(now, call):
                    break
                queue.remove(call)

    def _refuse(self, call: Call, reason: str) -> None:
        """Final answer without a result: `shed` where allowed, else `surrender`."""
        self.given_up[reason] = self.given_up.get(reason, 0) + 1
        if may_refuse(call.request_class, call.first_run is not None or bool(call.outstanding)):
            limits = self.settings.limits
            # Jitter: clients with the same wait would return at once.
            wait = limits.max_retry_after_us * RETRY_AFTER_SHARE * (1 + self.rng.random())
            self.actions.shed(call.id, int(wait) if limits.retry_after else 0)
        else:
            self.actions.surrender(call.id)
        self._mark_answered(call)

    def _mark_answered(self, call: Call) -> None:
        call.answered = True
        if not call.outstanding:
            del self.calls[call.id]

    def _cancel_outstanding(self, call: Call) -> None:
        """Cancel abandoned attempts: some endpoints stop such work."""
        if self.settings.limits.may_cancel:
            for attempt in sorted(call.outstanding):
                self.actions.cancel(call.id, attempt)

    def _try_send(self, now: int, call: Call) -> bool:
        if self.zones.any_reduced and (zone := self.zones.trial_due(now)) and self._try_zone(now, call, zone):
            return True
        share = 1.0 if self.worth[call.level] >= LOW_TIER_WORTH else LOW_TIER_CAP_SHARE
        nearer_empty = True  # no nearer endpoint could take the call later either
        best: EndpointState | None = None
        for ring, pool in enumerate(self.placement[call.request_class.name].pools):
            if not pool.subset.members:
                continue
            if pool.limit.is_full(now, share * pool.limit.burst_cap(self.scarcity), self.rng):
                nearer_empty = False
                continue
            if ring and best is None and not nearer_empty and not self._worth_spilling(now, call, ring):
                return False
            if (e := self._pick(now, pool, call)) and (best is None or e.usage + USAGE_MARGIN < best.usage):
                best, its_pool = e, pool
            if best is not None and (ring or best.usage <= BUSY_USAGE):
                break
        if best is not None:
            self._send(now, call, best, its_pool)
        return best is not None

    def _try_zone(self, now: int, call: Call, zone: Zone) -> bool:
        """Send a trial call to an evacuated zone; of a repeatable class, where there is one."""
        if call.attempts or (self.has_repeatable_class and call.request_class.effect is Effect.AT_MOST_ONCE):
            return False
        placement, ring = self.placement[call.request_class.name], self.zones.ring(zone.name)
        pool = placement.pools[ring]
        in_zone = [e for e in self.endpoints.values() if e.zone == zone.name and placement.allows(e)]
        usable = [e for e in in_zone if e.ready and now >= e.backoff_end and ring <= placement.reach]
        e = self.rng.choice(usable) if usable else None
        if e is None or ((warmth := self._warmth(now, e)) < 1.0 and not self._affords(now, e, pool, warmth)):
            return False
        zone.trial_pending = True
        self._send(now, call, e, pool)
        return True

    def _worth_spilling(self, now: int, call: Call, ring: int) -> bool:
        """Whether to send to another zone; the higher the price, the longer the call waits first."""
        prices = self.settings.prices
        price = prices.cross_zone if ring == Ring.REGION else max(prices.cross_zone, prices.cross_region)
        gain = self.gain[call.level] * SPILL_GAIN_SHARE
        return gain > price and now - call.arrived_at >= price / gain * HOLD_SHARE * call.request_class.aim_us

    def _pick(self, now: int, pool: Pool, call: Call) -> EndpointState | None:
        """The less loaded, by own calls in flight, of two random members of the subset."""
        members, count = pool.subset.members, len(pool.subset.members)
        best: EndpointState | None = None
        best_load, drawn = 0.0, 0
        tried, spare = call.attempts, self.placement[call.request_class.name].spare
        partial = self.zones.any_reduced
        if partial and call.zone_draw < 0:
            call.zone_draw = self.rng.random()
        for _ in range(2 * DRAWS_PER_CANDIDATE):
            e = members[int(self.rng.random() * count)]
            if partial and call.zone_draw >= self.zones.share(e.zone):
                continue
            if e is best or now < e.backoff_end or (tried and any(a.endpoint is e for a in tried)):
                continue
            warmth = self._warmth(now, e)
            share = self._traffic_share(now, e, self._cold_budget(warmth)) * spare.get(e.id, 1.0)
            if share < 1.0 and self.rng.random() >= share:
                continue
            if warmth < 1.0 and not self._affords(now, e, pool, warmth):
                continue
            if call.first_run and not may_resend(call.request_class, call.first_run, now, e.zone, e.cell):
                continue
            # Not divided by the share as well: with few calls in flight a cold endpoint would get none.
            load = (e.in_flight + 1) / e.weight
            # A hung endpoint soon has no more calls in flight than its busy peers.
            load *= (HUNG_FACTOR if self._hung(now, e, pool, call) else 1.0) * (e.slowness or 1.0)
            if best is None or load < best_load:
                best, best_load = e, load
            drawn += 1
            if drawn == 2:
                break
        return best

    def _hung(self, now: int, endpoint: EndpointState, pool: Pool, call: Call) -> bool:
        """Whether calls are in flight and none was answered for far longer than usual."""
        if not endpoint.waiting_since:
            return False
        silent_us, aim = now - endpoint.waiting_since, call.request_class.aim_us
        busy = endpoint.in_flight >= HUNG_CALLS and silent_us > BUSY_HUNG * pool.limit.baseline * aim > 0
        return busy or silent_us > HUNG_FACTOR * pool.limit.median * aim > 0

    def _traffic_share(self, now: int, endpoint: EndpointState, capacity: float) -> float:
        """Probability that a draw of the endpoint counts: slow start, ejection and recovery."""
        if not endpoint.ejected_until:
            return capacity
        # An overloaded endpoint stays down if all instances resume at the same time without a trial.
        if now < endpoint.ejected_until or (endpoint.on_trial and endpoint.in_flight):
            return 0.0
        recovered = min(1.0, (now - endpoint.ejected_until) / RECOVERY_US)
        return capacity * (RECOVERY_START_SHARE + (1 - RECOVERY_START_SHARE) * recovered)

    def _warmth(self, now: int, endpoint: EndpointState) -> float:
        """The minimum share of its capacity that the endpoint has, by its start time."""
        rules, age = self.settings.rules, now - endpoint.launched_at
        if not endpoint.launched_at or age >= rules.cold_us:
            return 1.0
        return rules.cold_from + (1 - rules.cold_from) * max(age, 0) / rules.cold_us

    def _cold_budget(self, warmth: float) -> float:
        """The share of a warm endpoint's calls that a cold one may get, by the site's overload factor."""
        return min(1.0, COLD_SHARE * self.settings.rules.overload_factor * warmth) if warmth < 1.0 else 1.0

    def _affords(self, now: int, endpoint: EndpointState, pool: Pool, warmth: float) -> bool:
        """Whether a cold endpoint has earned a call, at a share of its pool's rate per endpoint."""
        # With most of a subset cold, repeated draws and held calls would defeat the probability alone.
        initial_rate = INITIAL_CALLS / self.settings.balancers  # per second, for an unknown rate
        mean_rate = max(pool.rate / max(1, len(pool.subset.members)), initial_rate)
        earned = mean_rate * self._cold_budget(warmth) * (now - endpoint.credit_at) / 1e6
        # Random, as all instances learn of the start at once.
        endpoint.credit = self.rng.random() if endpoint.credit < 0 else min(1.0, endpoint.credit + earned)
        endpoint.credit_at = now
        return endpoint.credit >= 1.0

    def _send(self, now: int, call: Call, endpoint: EndpointState, pool: Pool) -> None:
        call.outstanding.add(len(call.attempts))
        if not call.attempts:
            self.retry_budget = min(RETRY_BURST, self.retry_budget + RETRY_SHARE)
            self.placement[call.request_class.name].sent_work += call.cost
            median_us = pool.limit.median * call.request_class.aim_us
            # Only the outermost layer hedges: hedges of nested layers multiply, and only it sees all stress.
            if median_us and self.hedging and call.request_class.effect is Effect.IDEMPOTENT:
                self.hedges.append((now + int(HEDGE_DELAY_FACTOR * median_us), call))
                self._schedule_sweep(now)
        idle_bucket = -1  # unknown which of several connections is used
        if not endpoint.in_flight:
            idle_bucket = self.idle.bucket(now - endpoint.used_at) if endpoint.used_at else IDLE_BUCKETS
            if self.idle.is_stale(idle_bucket, self.rng.random()):
                self.actions.close_idle(endpoint.id)
                idle_bucket = IDLE_BUCKETS
        call.attempts.append(Attempt(endpoint, now, pool, idle_bucket))
        endpoint.used_at = now
        endpoint.credit -= 1.0 if endpoint.credit >= 1.0 else 0.0
        pool.sent += 1
        endpoint.in_flight += 1
        endpoint.waiting_since = endpoint.waiting_since or now
        pool.limit.in_flight += 1
        # Without the limit, calls at a hung endpoint would keep their slots under the caps of all tiers.
        self.actions.hand_off(call.id, endpoint.id, max(1, call.answer_by - now))

    def streaming(self, now_us: int, call: str, attempt: int, spent_us: int) -> None:
        """The first byte ends the measured latency and frees the slot: the rest is transfer, not work."""
        found = self.calls.get(call)
        if found is None or attempt not in found.outstanding or found.streaming_attempt >= 0:
            return
        found.answered, found.streaming_attempt = True, attempt
        attempt_state = found.attempts[attempt]
        attempt_state.endpoint.in_flight -= 1
        self._release_slot(now_us, attempt_state, Outcome.OK)
        self._record(now_us, found, attempt_state, spent_us, Outcome.OK, False)
        if self.queue.count:
            self._dispatch(now_us)

    def _release_slot(self, now: int, attempt: Attempt, outcome: Outcome) -> None:
        endpoint = attempt.endpoint
        if outcome in ANSWERED or not endpoint.in_flight:
            endpoint.waiting_since = now if endpoint.in_flight else 0
        endpoint.used_at = now
        attempt.pool.limit.in_flight -= 1
        if self.zones.any_reduced:
            self.zones.find(endpoint.zone).trial_pending = False

    def reply(
        self,
        now_us: int, call: str, attempt: int, endpoint: str, spent_us: int, closed: bool, outcome: Outcome,
    ) -> None:  # fmt: skip
        found = self.calls.get(call)
        if found is None or attempt not in found.outstanding:
            return
        found.outstanding.discard(attempt)
        target, sent_at, pool, idle_bucket, _ = attempt_state = found.attempts[attempt]
        if attempt == found.streaming_attempt:
            if outcome is Outcome.RESET:
                self._record(now_us, found, attempt_state, spent_us, outcome, False)
            self._mark_answered(found)
            return
        target.in_flight -= 1
        hung = outcome is Outcome.TIMEOUT and self._hung(now_us, target, pool, found)
        self._release_slot(now_us, attempt_state, outcome)
        if idle_bucket >= 0 and outcome not in NEVER_RAN:
            unanswered = outcome in UNANSWERED
            slow = spent_us > UNANSWERED_FACTOR * pool.limit.median * found.request_class.aim_us > 0
            if not unanswered or slow or outcome is Outcome.RESET:
                self.idle.record(idle_bucket, unanswered)
        self._record(now_us, found, attempt_state, spent_us, outcome, hung)
        if outcome not in NEVER_RAN and (found.first_run is None or sent_at < found.first_run.sent_at):
            found.first_run = FirstRun(sent_at, target.zone, target.cell)
        if found.answered or closed:
            self._mark_answered(found)
            self._cancel_outstanding(found)
        elif not found.outstanding:
            self._retry_or_refuse(now_us, found, outcome)
        if self.queue.count:
            self._dispatch(now_us)

    def _record(
        self, now: int, call: Call, attempt: Attempt, spent_us: int, outcome: Outcome, hung: bool
    ) -> None:
        """Update the endpoint's health, the latency ratio, the cap and the tenant's budget."""
        if outcome is Outcome.NOT_SENT or outcome is Outcome.CANCELLED:
            return
        endpoint, sent_at, pool, _, overdue_recorded = attempt
        ok = outcome is Outcome.OK
        if ok and endpoint.on_trial and now >= endpoint.ejected_until:
            endpoint.on_trial = False
            endpoint.ejected_until = now  # recovery starts now
        if outcome in NEVER_RAN:
            endpoint.back_off(now, sent_at, 0.75 + 0.5 * self.rng.random())
        elif outcome in ANSWERED:
            endpoint.refusals = 0
        latency = spent_us / call.request_class.aim_us
        if outcome is not Outcome.FULL:  # a full endpoint is busy, not unhealthy
            failed = 0.0 if ok else 1.0
            if ok or not overdue_recorded:
                self.zones.record(now, endpoint.zone, endpoint.id, not ok)
            self.fleet_failure_share += FLEET_WEIGHT * (failed - self.fleet_failure_share)
            # Calls that fail together count as one failure. Ignored ones must not move failed_at, or only
            # the first failure of a hung endpoint would ever count.
            if ok or sent_at >= endpoint.failed_at:
                certain = hung or (failed and endpoint.on_trial)
                endpoint.failing += (1.0 if certain else FAILURE_WEIGHT) * (failed - endpoint.failing)
                if failed:
                    endpoint.failed_at = now
                    self._maybe_eject(now, endpoint)
        if ok or outcome is Outcome.TIMEOUT:
            self.fleet_latency = self.fleet_latency or latency
            self.fleet_latency += FLEET_WEIGHT * (latency - self.fleet_latency)
            relative = min(max(latency / self.fleet_latency, 1 / MAX_SLOWNESS), MAX_SLOWNESS)
            endpoint.slowness = (
                endpoint.slowness + SLOW_WEIGHT * (relative - endpoint.slowness)
                if endpoint.slowness
                else 0.5 + 0.5 * relative
            )
        outlier = endpoint.slowness > OUTLIER_SLOWNESS and latency > self.fleet_latency
        if not outlier:  # else one slow endpoint would cause refusals while others are idle
            if ok or outcome is Outcome.TIMEOUT:
                self.ratio.record(now, latency)
            if ok or outcome is Outcome.TIMEOUT or outcome is Outcome.FULL:
                observed = FULL_LATENCY if outcome is Outcome.FULL else latency
                pool.limit.observe(now, sent_at, observed, call.request_class.aim_us)
        self.buckets.charge_latency(call.bucket, call.cost, call.charged, spent_us, ok)

    def _maybe_eject(self, now: int, endpoint: EndpointState) -> None:
        # A part of the fleet's share is added: a multiple could be out of reach when many are down.
        spared = not self.zones.share(endpoint.zone) or now < endpoint.ejected_until
        if spared or endpoint.failing < EJECT_SHARE + EJECT_FLEET_FACTOR * self.fleet_failure_share:
            return
        self.ejected = [o for o in self.ejected if now < o.ejected_until]
        if len(self.ejected) + 1 > MAX_EJECTED_SHARE * self.ready_count:
            return
        self.ejected.append(endpoint)
        # A failed trial costs one call and may be chance: it does not lengthen the next ejection.
        endpoint.ejections += not endpoint.on_trial
        duration = min(EJECTION_US * 2 ** (endpoint.ejections - 1), MAX_EJECTION_US)
        endpoint.ejected_until = now + int(duration * (0.75 + 0.5 * self.rng.random()))
        endpoint.failing, endpoint.on_trial = 0.0, True
        seconds = round((endpoint.ejected_until - now) / 1e6, 1)
        self.actions.write_log("ejected", endpoint=endpoint.id, reason="too many failures", seconds=seconds)

    def _retry_or_refuse(self, now: int, call: Call, outcome: Outcome) -> None:
        """All attempts ended without an answer: retry where allowed, or refuse the call."""
        limit = min(MAX_TRIES_INNER if self.settings.layer else MAX_TRIES, self.settings.limits.max_attempts)
        may_retry = call.first_run is None or call.request_class.effect is not Effect.AT_MOST_ONCE
        may_retry = may_retry and len(call.attempts) < limit and now < call.answer_by - ANSWER_MARGIN_US
        # Attempts that were never executed caused no load, so their retries are free.
        uses_budget = outcome not in NEVER_RAN
        if may_retry and (not uses_budget or self.retry_budget >= 1.0):
            self.retry_budget -= uses_budget
            for pool in self.placement[call.request_class.name].pools:
                if pool.subset.members and (endpoint := self._pick(now, pool, call)) is not None:
                    self._send(now, call, endpoint, pool)
                    return
        self._refuse(call, outcome.name.lower().replace("_", " "))

    def _log_state(self, now: int) -> None:
        """Log why calls were refused, with queue, pools and stress."""
        self.next_state_log = now + STATE_LOG_INTERVAL_US
        reasons = ", ".join(f"{reason} {n}" for reason, n in sorted(self.given_up.items())) or "none"
        self.given_up.clear()
        pools = "; ".join(
            f"{name} {len(pool.subset.members)} endpoints, cap {pool.limit.cap:.1f}, "
            f"out {pool.limit.in_flight}, median {pool.limit.median:.3f} over {pool.limit.baseline:.3f}"
            for placement in self.placements
            for name, pool in zip(("near", "far", "farther"), placement.pools, strict=True)
            if pool.subset.members
        )
        ratios = {"ratio": round(self.ratio.value, 2), "scarcity": round(self.scarcity, 2)}
        self.actions.write_log("state", given_up=reasons, held=self.queue.count, pools=pools, **ratios)

    def expired(self, now_us: int, call: str) -> None:
        found = self.calls.get(call)
        if found is None:
            return
        if found.held_until:
            self.queue.remove(found)
        self._mark_answered(found)
        self._cancel_outstanding(found)
