"""All decisions of eiderhub. Its types, events and actions stand in eiderhub/interface.py: read that first.

The ordinary path of a request, after "How Airbnb Built Adaptive Traffic Management for a Multi-tenant
Key-value Store": it is priced in request units (RU) against its tenant's token bucket, while the latency
ratio shows stress; past a learned in-flight cap it queues; long sojourn in that queue refuses new arrivals;
it is sent to the less busy of two random members of a random subset of the next tier's endpoints.

Around that stand the departures, each beside the failure that it answers; zones have a file of their own.
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

# --- request units and buckets ---
BASE_COST_RU = 1.0  # RU a call costs before anything is known of it
HINT_RU_PER_US = 1e-5  # RU for each hinted microsecond: a hint of 100 ms doubles the base cost
LATENCY_RU_PER_US = 5e-7  # RU for each microsecond of latency, charged when an attempt ends: 2 s double it
REFILL_WINDOW_US = 500_000  # buckets refill this often: a few windows make a burst, one stays readable
HEADROOM = 0.1  # share added to last window's served RU, so that budgets climb back after a cut
SERVED_SMOOTHING = 0.15  # weight of the newest window: a quiet copy serves a handful in one window
# A bucket holds this long a refill, and so much more: a tenant with few calls passes its share by chance.
BURST_US, BURST_RU = 1_500_000, 3.0
ACTIVE_US = 10_000_000  # a tenant unheard of for this long takes no part in the split
FLOOR_PER_S = 1.0  # requests a second granted at least to a tenant without a stated quota
COST_WEIGHT = 0.05  # weight of the newest call in the mean cost of a served one

# --- latency ratio ---
BUCKETS_PER_DOUBLING = 4  # resolution of the latency histograms: a step is 19%
HISTOGRAM_FROM, HISTOGRAM_SIZE = 1 / 1024, 64  # lowest latency, as a share of the aim; buckets
SHORT_WINDOW_US, LONG_WINDOW_US = 1_500_000, 20_000_000  # the p95s cover one to two of these
RATIO_EVERY_US = 250_000  # the ratio is read off the histograms this often
MIN_SAMPLES = 12  # fewer short-term samples say nothing: a few long calls would swing the p95
NORMAL_SHARE = 0.5  # a long p95 past this share of the aim is no normal state, however long it has lasted
STRESS_RATIO = 0.7  # below this ratio the lower tiers pay more
PENALTY = 3.0  # price of the lowest tier under full stress: 1 + this

SCARCITY_WEIGHT = 0.1  # weight of the newest arrival in the share of those that find no room
SCARCE = 0.2  # past this share room is scarce, however normal the ratio has come to look

# --- concurrency ---
START_CALLS = 6.0  # in-flight calls an endpoint is taken to bear, from all copies together, before we learn
FLOOR_CALLS = 2.0  # and in any trouble: a floor that is too low starves sound endpoints once trouble is over
MIN_CAP = 0.1  # calls; the sum over many copies must still be small
DITHER_US = 250_000  # while crowded, a part of a call is granted part of the time: drawn anew so often
# Square roots of the cap that calls in flight may exceed it by: inside, and where excess is to be refused.
CHANCE_ROOTS, CHANCE_ROOTS_OUTSIDE = 2.0, 0.5
TARGET_RISE = 2.0  # median latency, against the median seen while uncrowded, at which the cap falls
TARGET_LEAST_RISE = 1.3  # and the least rise, where the uncrowded median takes much of the aim already
TARGET_SHARE = 0.3  # nor may the median pass this share of the aim, divided by layer + 1
BASE_WEIGHT = 0.3  # weight of the newest round in the median that the uncrowded median is taken from
BASE_DRIFT = 1.01  # rise of the uncrowded median with each uncrowded round, to follow a lasting change
ROUND_SAMPLES, ROUND_PER_CALL = 8, 1.5  # outcomes that make a round, and more for each call of the cap
GROW_SHARE, GROW_CALLS = 0.1, 0.3  # growth in a good round, as a share of the cap, and in calls at least
OPENING_SHARE = 0.5  # that share until the first sign of crowding: nothing is known yet of what they bear
DEEPEST_CUT = 0.6  # a bad round leaves at least this share of the cap
FULL_COUNTS = 1.0  # an endpoint that turns a call away counts as a call that took this share of its aim
BINDING = 0.7  # the cap binds when this share of it is in use
# Tiers worth less than this share of the best class are lower ones; the share of the cap open to them.
LOW_WORTH, LOW_TIER_SHARE = 0.5, 0.8

# --- hold queue ---
# A call is held for this share of its aim at most; longer inside, whose refusals surface as errors.
HOLD_SHARE, HOLD_SHARE_INSIDE = 0.35, 0.5
SOJOURN_SHARE, SOJOURN_INTERVAL_US = 0.12, 200_000  # above this share of the aim for so long refuses arrivals
SWEEP_US = 20_000  # how often held calls are looked at
ANSWER_MARGIN_US = 60_000  # a held call is answered this long before its try ends: early enough to be retried

# --- endpoints ---
CROWDED, CROSSING = 0.5, 0.125  # a nearer endpoint this full is passed over for one that is so much emptier
SENT_DECAY = 0.95  # of the work sent, kept from one refill window to the next: a memory of ten seconds
LEAST_SPARE = 0.1  # part of an even share that free classes keep at endpoints that a bound class fills
SUBSET_MIN, SUBSET_PER_CALL = 5, 2.0  # endpoints in use, and for each call of the cap; few have evidence
REDRAWS = 4  # tries to draw an endpoint that may take the call
HEALTH_WEIGHT = 0.3  # weight of the newest outcome in an endpoint's failure share
MUTE_RISE = 10.0  # an endpoint that has answered nothing for so many usual (median) latencies is mute;
MUTE_CALLS, MUTE_RISE_BUSY = 3, 3.0  # so is one that holds so many calls, for so many uncrowded ones
FLEET_WEIGHT = 0.02  # and in the failure share of all
# Failure share at which an endpoint is ejected (two in a row pass it), and more by a part of all endpoints'.
EJECT_FAILING, EJECT_VERSUS_PEERS = 0.45, 0.5
MAX_EJECTED = 0.5  # share of the known endpoints, in all zones, that may be out at once
EJECT_US, EJECT_MAX_US = 3_000_000, 24_000_000  # first ejection; each further one doubles it, up to this
RETURN_US, RETURN_FROM = 4_000_000, 0.15  # an ejected endpoint climbs back to its full part, from this one
REST_US, REST_MAX_US = 50_000, 2_000_000  # left alone after a call that it never took; doubled, up to this
# Weight of the newest latency in an endpoint's mean, which is within so many times its peers'.
SLOW_WEIGHT, SLOW_RANGE = 0.2, 4.0
COLD_USE = 0.8  # of the multiple that a cold endpoint bears, the share that all copies together use
RATE_RISE, RATE_FALL = 0.2, 0.01  # weight of the newest window in a pool's rate
OUTLIER = 2.0  # endpoints slower than their peers by this are left out of the ratio and the cap

# --- connections ---
IDLE_FROM_US, IDLE_STEPS = 500_000, 5  # idle times are told apart by doublings from here
SILENT_RISE = 3.0  # an attempt is silent once it took so many usual (median) latencies without an answer
SILENT_WEIGHT = 0.1  # weight of the newest attempt in the silent share of its idle time
SILENT_EXCESS = 0.15  # share by which idle connections must be more often silent than fresh ones to be closed
# Attempts before a share says anything; part of those taken for dead that is tried all the same.
IDLE_SAMPLES, IDLE_TRIES = 5, 0.1

# --- attempts ---
HOPELESS = 0.5  # share of the median latency: a call with less time to its aim or its end is not taken
TRY_VOTES = 50  # calls that must come with another time left before the usual one is taken to have changed
COPY_RISE = 3.0  # a second copy goes out when the first has taken this many usual (median) latencies
RETRY_SHARE, RETRY_BURST = 0.1, 5.0  # retries and second copies for each first attempt, and so many more
MAX_TRIES, MAX_TRIES_INSIDE = 3, 2  # attempts: layers that retry each other multiply
RETRY_AFTER_SHARE = 0.5  # a refused client is told to wait this share of what it obeys, or up to twice it
# Wait before subscribing again, doubled up to so much for each copy of all tiers, within the last two.
ASK_BACKOFF_US, ASK_COPY_US, ASK_LEAST_US, ASK_MAX_US = 500_000, 80_000, 1_000_000, 8_000_000
SPILL_GAIN = 0.5  # how much of a call's worth is taken to be saved by sending it to another zone
SAME_START_US = 1_000_000  # processes that convert a stated start to their own clocks differ by less

STATE_EVERY_US = 5_000_000  # the state is logged so often, while calls come

UNANSWERED = frozenset((Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED))
ANSWERED = frozenset((Outcome.OK, Outcome.ERROR, Outcome.FULL))
NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))
SWEEP, ASK = "sweep", "ask"


def may_refuse(grade: RequestClass, may_have_run: bool) -> bool:
    """Rule 2: whether `shed` is a legal answer; if not, only `surrender` is."""
    if not may_have_run or grade.effect is Effect.IDEMPOTENT:
        return True
    return grade.effect is Effect.DEDUPLICATED and grade.group is Group.ALL


class Ran(NamedTuple):
    """The earliest attempt of a request that may have run."""

    sent: int
    zone: str
    cell: int


def may_resend(grade: RequestClass, first: Ran | None, now: int, zone: str, cell: int) -> bool:
    """Rule 2: whether another attempt may go to an endpoint of this zone and cell."""
    if first is None or grade.effect is Effect.IDEMPOTENT:
        return True
    if grade.effect is Effect.AT_MOST_ONCE or now - first.sent > grade.dedup_window_us:
        return False
    same = {Group.ALL: True, Group.ZONE: first.zone == zone, Group.CELL: first.cell == cell}
    return same[grade.group]


class TokenBuckets:
    """Tenants' budgets in RU, refilled each window from what was served in the last."""

    class Bucket:
        __slots__ = ("heard", "quota", "refill", "share", "tokens")

        def __init__(self, share: float, quota: float) -> None:
            self.share, self.quota = share, quota  # requests a second at this copy
            self.refill = quota * BASE_COST_RU * (1 + HEADROOM)  # RU a second
            self.tokens = self.depth()
            self.heard = -ACTIVE_US

        def depth(self) -> float:
            """The most it holds, in RU."""
            return self.refill * BURST_US / 1e6 + BURST_RU

    def __init__(self, settings: Settings, phase_us: int, now: int) -> None:
        self.buckets = {
            t.name: self.Bucket(t.share or 1.0, t.quota_per_s / settings.balancers or FLOOR_PER_S)
            for t in settings.tenants
        }
        self.next_refill = now + phase_us
        self.served = self.served_per_s = 0.0  # RU in this window, and smoothed
        self.mean_cost = BASE_COST_RU

    def find(self, tenant: str) -> Bucket:
        if tenant not in self.buckets:
            self.buckets[tenant] = self.Bucket(1.0, FLOOR_PER_S)
        return self.buckets[tenant]

    def bill(self, bucket: Bucket, price: float, paid: float, latency_us: int, ok: bool) -> None:
        """Charge the latency of an attempt that has ended; `paid` of its price was charged on arrival."""
        extra = LATENCY_RU_PER_US * latency_us
        if paid:
            bucket.tokens -= extra
        if ok:
            self.mean_cost += COST_WEIGHT * (price + extra - self.mean_cost)
            # Guards against a tenant far over its share whose calls, served in slack, raise its own budget.
            if paid:
                self.served += price + extra

    def refill(self, now: int) -> None:
        windows = 1 + (now - self.next_refill) // REFILL_WINDOW_US
        self.next_refill += windows * REFILL_WINDOW_US
        for _ in range(min(windows, 20)):
            rate = self.served * 1e6 / REFILL_WINDOW_US
            self.served_per_s += SERVED_SMOOTHING * (rate - self.served_per_s)
            self.served = 0.0
        active = sum(b.share for b in self.buckets.values() if now - b.heard < ACTIVE_US)
        for b in self.buckets.values():
            split = self.served_per_s * b.share / active if active else 0.0
            # A quota is stated in requests: at its present cost, or calls that slow down would shrink it.
            b.refill = max(b.quota * self.mean_cost, split) * (1 + HEADROOM)
            b.tokens = min(b.depth(), b.tokens + b.refill * windows * REFILL_WINDOW_US / 1e6)


class Histogram:
    """Counts of latencies, taken as shares of their class's aim, in log-spaced buckets."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * HISTOGRAM_SIZE
        self.total = 0

    def add(self, share: float) -> None:
        place = int(math.log2(share / HISTOGRAM_FROM) * BUCKETS_PER_DOUBLING) if share > HISTOGRAM_FROM else 0
        self.counts[min(place, HISTOGRAM_SIZE - 1)] += 1
        self.total += 1

    def above(self, part: float, older: Histogram | None = None) -> float:
        """The latency that this part of the samples, those of `older` too, lies above."""
        left = part * (self.total + (older.total if older else 0))
        place = HISTOGRAM_SIZE
        while place > 1 and left >= 0:
            place -= 1
            left -= self.counts[place] + (older.counts[place] if older else 0)
        place -= left >= 0
        return float(HISTOGRAM_FROM * 2 ** ((place + 0.5) / BUCKETS_PER_DOUBLING))


class LatencyRatio:
    """Long p95 over short p95 of call latencies."""

    def __init__(self, now: int) -> None:
        self.short = (Histogram(), Histogram())  # newer and older half
        self.long = (Histogram(), Histogram())
        self.short_turn, self.long_turn = now + SHORT_WINDOW_US, now + LONG_WINDOW_US
        self.next_read, self.value = now + RATIO_EVERY_US, 1.0

    def record(self, now: int, share: float) -> None:
        self.short[0].add(share)
        self.long[0].add(share)
        if now >= self.next_read:
            self.read(now)

    def read(self, now: int) -> None:
        self.next_read = now + RATIO_EVERY_US
        if now >= self.short_turn:
            stale = now >= self.short_turn + SHORT_WINDOW_US
            self.short_turn = now + SHORT_WINDOW_US
            self.short = (Histogram(), Histogram() if stale else self.short[0])
        if now >= self.long_turn:
            self.long_turn = now + LONG_WINDOW_US
            self.long = (Histogram(), self.long[0])
        if self.short[0].total + self.short[1].total < MIN_SAMPLES:
            self.value = 1.0
            return
        # Guards against a day that is slow from its first second: what has always been slow looks normal.
        normal = min(self.long[0].above(0.05, self.long[1]), NORMAL_SHARE)
        self.value = normal / self.short[0].above(0.05, self.short[1])

    def stress(self) -> float:
        """0 while the ratio sits near 1, up to 1."""
        return max(0.0, 1.0 - self.value / STRESS_RATIO)


class ConcurrencyLimit:
    """The in-flight cap of one pool, learned from latencies as shares of their class's aim."""

    # It follows medians: a cap that falls for single long calls starves the sound endpoints.

    def __init__(self, layer: int) -> None:
        self.cap = self.part = 0.0  # set by the first list; of the endpoints' capacity
        self.floor = MIN_CAP
        self.in_flight = self.next_dither = self.changed = 0
        self.dither = self.median = self.base = 0.0
        self.most, self.normal = TARGET_SHARE / (layer + 1), NORMAL_SHARE / (layer + 1)
        self.round, self.bound = Histogram(), False  # whether the cap was in the way during this round
        self.roots = CHANCE_ROOTS if layer else CHANCE_ROOTS_OUTSIDE
        self.slack = 0.5  # 1 uncrowded, 0 with latencies at their target
        self.opening = not layer  # until the first sign of crowding

    def size(self, fair: float) -> None:
        """`fair` is this copy's part of the endpoints: shares of it bound the sum over all copies."""
        # Danger: what was learned with three endpoints pushes over the one that is left of them.
        self.floor = max(MIN_CAP, FLOOR_CALLS * fair)
        self.cap = max(self.cap * fair / self.part if self.part else START_CALLS * fair, self.floor)
        self.part = fair

    def recall(self, told: PoolMemory) -> None:
        """Start with what was learned, scaled to the present part."""
        if told.base and told.part and self.part:
            self.cap = max(self.floor, told.cap * self.part / told.part)
            self.base, self.median = told.base, told.median
            self.opening = False

    def room(self, scarcity: float) -> float:
        """The calls that may be out at one moment, while the cap bounds their mean."""
        # Danger: chance alone passes a quiet inner copy's cap, and work half done is refused.
        return self.cap + self.roots * self.slack * (1.0 - scarcity) * math.sqrt(self.cap)

    def full(self, now: int, room: float, rng: random.Random) -> bool:
        """Whether the room is taken; while crowded it counts parts of a call for part of the time."""
        # Danger: caps rounded up to whole calls at hundreds of copies keep a small fleet crowded.
        if now >= self.next_dither:
            self.next_dither = now + DITHER_US
            self.dither = rng.random()
        return self.in_flight >= (room if self.slack else int(room + self.dither))

    def learn(self, now: int, sent: int, share: float, aim_us: int) -> None:
        self.changed = self.changed or sent
        # Guards against cutting again and again for calls that were sent before the last cut; and of those
        # sent since then the quick ones end first, whose median would be too low a base for good.
        if sent < self.changed or now - self.changed < self.normal * aim_us:
            return
        self.round.add(share)
        self.bound = self.bound or self.in_flight >= BINDING * self.cap
        if self.round.total < ROUND_SAMPLES + ROUND_PER_CALL * self.cap:
            return
        median = self.round.above(0.5)
        self.median += (BASE_WEIGHT if self.median else 1.0) * (median - self.median)
        # Guards against a start amid overload: what was always slow is not taken for the uncrowded state.
        # Danger: a base that follows a median with the cap in the way lifts the target, and that the cap.
        drift = 1.0 if self.bound and self.cap > self.floor else BASE_DRIFT
        self.base = min(self.base * drift if self.base else self.normal, self.median)
        target = max(TARGET_LEAST_RISE * self.base, min(TARGET_RISE * self.base, self.most))
        self.slack = min(1.0, max(0.0, TARGET_RISE * (1.0 - median / target)))
        if median > target:
            self.cap = max(self.floor, self.cap * max(DEEPEST_CUT, target / median))
            self.changed = now
            self.opening = False
        elif self.bound:
            # Danger: at a tenth a round a new process refuses for ten seconds what there is room for.
            self.opening = self.opening and self.slack >= 0.5
            self.cap += max(GROW_CALLS, (OPENING_SHARE if self.opening else GROW_SHARE) * self.cap)
        self.round, self.bound = Histogram(), False


class IdleConnections:
    """Which connections have been idle too long to be trusted, learned from attempts that got no answer."""

    # Danger: something on the way drops idle connections unseen, at any endpoint, so that none looks ill.

    def __init__(self, closed_us: int) -> None:
        self.closed_us = closed_us or 1 << 62
        # Silent shares, and attempts, by idle time; the last place is for fresh connections.
        self.shares = [0.0] * (IDLE_STEPS + 1)
        self.counts = [0] * (IDLE_STEPS + 1)

    def step(self, idle_us: int) -> int:
        if idle_us >= self.closed_us:
            return IDLE_STEPS
        return min((idle_us // IDLE_FROM_US).bit_length(), IDLE_STEPS - 1)

    def learn(self, step: int, silent: bool) -> None:
        self.counts[step] += 1
        self.shares[step] += max(SILENT_WEIGHT, 1 / self.counts[step]) * (silent - self.shares[step])

    def dead(self, step: int, chance: float) -> bool:
        """Whether connections idle for so long had better be closed first; `chance` is drawn from 0..1."""
        if step == IDLE_STEPS or self.counts[step] < IDLE_SAMPLES or chance < IDLE_TRIES:
            return False
        sound = [s for s, n in zip(self.shares, self.counts, strict=True) if n >= IDLE_SAMPLES]
        if self.counts[IDLE_STEPS] < IDLE_SAMPLES:
            sound.append(0.0 if chance < 0.5 else 1.0)  # half of them show how fresh ones fare
        return self.shares[step] > min(sound) + SILENT_EXCESS


class EndpointState:
    """What this instance knows of one endpoint: its listing, own calls, health and slow start."""

    __slots__ = (
        "cell", "credit", "credit_at", "ejected_until", "ejections", "failed_at", "failing", "id",
        "in_flight", "kind", "launched", "on_trial", "order", "owes", "ready", "rested_at", "rests_until",
        "slow", "taken", "turned", "used", "weight", "zone",
    )  # fmt: skip

    def __init__(self, entry: Endpoint) -> None:
        self.id = entry.id
        self.order = zlib.crc32(entry.id.encode())  # one order for all copies, which the ids tell nothing of
        self.in_flight = self.failed_at = self.rested_at = 0
        self.owes = 0  # since when calls are out to it and none has been answered; 0: none are
        self.credit, self.credit_at = -1.0, 0  # sends that it may have while cold; below 0: not begun
        self.taken = 0.0  # share of its places, over all copies and with one call more; 0: not known
        self.launched = self.used = 0  # when a connection to it was last in use; 0: never
        self.recover()
        self.take(entry)

    def take(self, entry: Endpoint) -> None:
        self.zone, self.kind, self.cell, self.weight = entry.zone, entry.kind, entry.cell, entry.weight
        self.ready = entry.readiness is Readiness.READY
        if entry.launched_us != self.launched:  # a new process under a known id: what we knew is void
            self.launched = entry.launched_us
            self.credit = -1.0
            self.recover()

    def recover(self) -> None:
        """Nothing is held against it any more."""
        self.failing = self.slow = 0.0  # share of failures; mean latency over that of the peers, 0 unknown
        self.ejected_until = self.ejections = self.rests_until = 0
        self.turned = 0  # calls in a row that it turned away, or that did not reach it
        self.on_trial = False  # ejected, and has served no call since

    def rest(self, now: int, sent: int, jitter: float) -> None:
        """Leave the endpoint alone for a while, as it took nothing: it is full, drains or is gone."""
        # Danger: who turns calls away at once looks idle, and draws more than its peers.
        if sent < self.rested_at:  # was on its way when the last rest began
            return
        self.turned += 1
        self.rested_at = now
        self.rests_until = now + int(min(REST_US * 2.0 ** (self.turned - 1), REST_MAX_US) * jitter)


class Subset:
    """The random subset of one pool: an even block of a random order that all copies share."""

    def __init__(self) -> None:
        self.members: list[EndpointState] = []

    def fill(self, endpoints: list[EndpointState], rank: int, balancers: int, size: int) -> None:
        """Blocks that start at even distances load all endpoints alike, where free picks would leave gaps."""
        endpoints.sort(key=lambda e: (e.order, e.id))
        n = len(endpoints)
        start = rank % balancers * n // balancers if size < n else 0
        self.members = [endpoints[(start + i) % n] for i in range(min(size, n))]


class TryTime:
    """The time left that most calls of one class come with: how long a try lasts. Others tell their age."""

    def __init__(self) -> None:
        self.usual = self.votes = 0

    def age(self, left: int, deadline: int) -> int:
        """How long ago the client first asked, as far as the time left tells."""
        if abs(left - self.usual) * 100 <= deadline:
            self.votes = min(self.votes + 1, TRY_VOTES)
            return 0
        self.votes -= 1
        if self.votes < 0:
            self.usual, self.votes = left, 0
            return 0
        return max(0, deadline - left)


class Attempt(NamedTuple):
    endpoint: EndpointState
    sent: int
    pool: Pool
    step: int  # how long its connection had been idle; below 0: unknown
    noted: bool = False  # its zone has been told that it is overdue


@dataclass(slots=True, eq=False)
class Call:
    """One request that this instance owes an answer for, or has attempts out for."""

    id: str
    grade: RequestClass
    arrived: int
    due: int  # until when an answer is worth something: the end of the try, or the aim before it
    bucket: TokenBuckets.Bucket
    attempts: list[Attempt] = field(default_factory=list)
    outstanding: set[int] = field(default_factory=set)
    first_run: Ran | None = None
    answered: bool = False
    held_until: int = 0  # 0: not held
    streamed: int = -1  # the attempt whose answer is reaching the client
    level: int = 0
    price: float = 0.0
    paid: float = 0.0
    coin: float = -1.0  # drawn once: a zone takes the call where its share is above it


class HoldQueue:
    """Calls past the cap, best worth first; long sojourn there refuses arrivals."""

    def __init__(self, levels: int) -> None:
        self.levels: list[deque[Call]] = [deque() for _ in range(levels)]
        self.ends: list[tuple[int, int, Call]] = []
        self.serial, self.count, self.long_since = 0, 0, -1

    def push(self, call: Call, until: int) -> None:
        call.held_until = until
        self.levels[call.level].append(call)
        self.serial += 1
        self.count += 1
        heapq.heappush(self.ends, (until, self.serial, call))

    def take(self, call: Call) -> None:
        """The call leaves; its places in the queues are cleared when they come up."""
        call.held_until = 0
        self.count -= 1
        if not self.count:
            # An empty queue refuses nobody: arrivals refused for its past leave nobody to find it empty.
            self.long_since = -1

    def head(self, level: int) -> Call | None:
        queue = self.levels[level]
        while queue and not queue[0].held_until:
            queue.popleft()
        return queue[0] if queue else None

    def overdue(self, now: int) -> Call | None:
        ends = self.ends
        while ends and not ends[0][2].held_until:
            heapq.heappop(ends)
        return ends[0][2] if ends and ends[0][0] <= now else None

    def watch(self, now: int) -> None:
        """Follow how long the sojourn has stood above its target."""
        heads = filter(None, map(self.head, range(len(self.levels))))
        if not any(now - call.arrived > SOJOURN_SHARE * call.grade.aim_us for call in heads):
            self.long_since = -1
        elif self.long_since < 0:
            self.long_since = now

    def refusing(self, now: int) -> bool:
        return self.long_since >= 0 and now - self.long_since >= SOJOURN_INTERVAL_US


class Pool:
    """The endpoints of one ring: a subset and the cap on calls into it."""

    def __init__(self, layer: int) -> None:
        self.subset, self.limit = Subset(), ConcurrencyLimit(layer)
        self.sent, self.rate = 0, 0.0  # calls in this refill window; a second, falling slowly for slow start

    def turn(self) -> None:
        rate = self.sent * 1e6 / REFILL_WINDOW_US
        self.rate += (RATE_RISE if rate > self.rate else RATE_FALL) * (rate - self.rate)
        self.sent = 0


class Placement:
    """The endpoints that the classes of one constraint may use: a pool for each ring, the nearest first."""

    # Subsets are drawn from the allowed endpoints alone: filtering one drawn from all could leave none.

    def __init__(self, grade: RequestClass, layer: int) -> None:
        self.zones, self.kinds, self.reach = grade.stays_in, grade.served_on, grade.reach
        self.pools = tuple(Pool(layer) for _ in Ring)
        self.size = 0  # endpoints that are open to it and ready
        self.sent = 0.0  # work sent lately, of all its classes
        self.spare: dict[str, float] = {}  # the part of an even share left by narrower classes, where below 1

    def allows(self, e: EndpointState) -> bool:
        return (self.zones is None or e.zone in self.zones) and (self.kinds is None or e.kind in self.kinds)


class Balancer:
    """The decisions of one sidecar instance."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings, self.actions, self.random = settings, actions, random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        best = max(c.credit for c in settings.classes) or 1.0
        worths = {(c.name, False): c.credit / best for c in settings.classes}
        worths |= {(c.name, True): c.credit / best * settings.over_share_worth for c in settings.classes}
        ranked = sorted(worths, key=lambda k: (-worths[k], k))
        self.level = {k: i for i, k in enumerate(ranked)}
        self.worth = [worths[k] for k in ranked]
        goal = settings.goal
        even = goal.by_class / (goal.by_class + goal.by_worth or 1.0)
        # What a served call is worth to the goal, where the cheapest class may count as much as the best.
        by_class = [settings.over_share_worth if over else 1.0 for _, over in ranked]
        self.gain = [(1 - even) * worths[k] + even * one for k, one in zip(ranked, by_class, strict=True)]
        self.harmless = any(c.effect is not Effect.AT_MOST_ONCE for c in settings.classes)
        self.copying = settings.limits.second_copies and settings.layer == 0
        # Danger: changes count as told once nobody has asked for so long, and half as much more may be drawn.
        most = min(ASK_MAX_US, max(ASK_LEAST_US, ASK_COPY_US * settings.balancers * settings.tiers))
        self.started, self.ask_most = False, min(most, settings.rules.ask_every_us // 2 or most)

    def start(self, now_us: int) -> None:
        s = self.settings
        self.started = True
        self.endpoints: dict[str, EndpointState] = {}
        self.calls: dict[str, Call] = {}
        self.buckets = TokenBuckets(s, self.random.randrange(REFILL_WINDOW_US), now_us)
        self.ratio = LatencyRatio(now_us)
        self.queue = HoldQueue(len(self.worth))
        self.retries = RETRY_BURST  # a share of first attempts, so that trouble does not multiply the load
        self.idle = IdleConnections(s.limits.conn_idle_us)
        self.tries = {c.name: TryTime() for c in s.classes}
        self.zones = Zones(s.zone, s.regions, self.random, self.actions, s.zone_verdicts)
        self.limbo = Pool(s.layer)  # of calls that are out in a zone that was left
        placements: dict[tuple[object, ...], Placement] = {}
        self.placement = {
            c.name: placements.setdefault((c.stays_in, c.served_on, c.reach), Placement(c, s.layer))
            for c in s.classes
        }
        self.placements = list(placements.values())
        self.ejected: list[EndpointState] = []
        self.ready, self.sweep_at = 0, -1
        self.warming = False  # whether an endpoint is cold, so that the copy's parts of the capacity change
        self.fleet_failing = self.fleet_latency = 0.0
        self.scarcity = 0.0  # share of late arrivals within their share that found no room at once
        self.given_up: dict[str, int] = {}  # calls that ended unserved since the last line, by reason
        self.next_state = now_us + STATE_EVERY_US
        self.copies: deque[tuple[int, Call]] = deque()  # when a second copy of the call falls due
        self.ask_wait, self.asking = ASK_BACKOFF_US, False
        if s.discovery is Discovery.ASK:
            self.actions.watch(True)

    def discovery(self, now_us: int, form: ListForm, entries: Sequence[Endpoint]) -> None:
        if form is ListForm.FAILED:
            if self.settings.discovery is Discovery.ASK and not self.asking:
                self.asking = True  # not in step with all copies, which it has turned away, too
                self.actions.timer(int(self.ask_wait * (0.5 + self.random.random())), ASK)
                self.ask_wait = min(2 * self.ask_wait, self.ask_most)
            return
        if form is not ListForm.CACHED:
            self.ask_wait = ASK_BACKOFF_US
        if form is not ListForm.DELTA:
            listed = {e.id for e in entries}
            for known in self.endpoints.values():
                if known.id not in listed:
                    known.ready = False
        for entry in entries:
            if entry.id in self.endpoints:
                self.endpoints[entry.id].take(entry)
            else:
                self.endpoints[entry.id] = EndpointState(entry)
        self._fill_pools(now_us)
        if self.queue.count:
            self._dispatch(now_us)

    def _fill_pools(self, now: int) -> None:
        s = self.settings
        ready = [e for e in self.endpoints.values() if e.ready]
        self.ready = len(ready)
        self.warming = any(self._warmth(now, e) < 1.0 for e in ready)
        zones = len({e.zone for e in self.endpoints.values()})
        for placement in self.placements:
            rings: list[list[EndpointState]] = [[] for _ in Ring]
            bears = [0.0] * len(Ring)
            for e in ready:
                ring = self.zones.ring(e.zone)
                if placement.allows(e) and ring <= placement.reach and (share := self.zones.share(e.zone)):
                    rings[ring].append(e)
                    bears[ring] += self._warmth(now, e) * share
            placement.size = sum(map(len, rings))
            # Copies are spread over the zones about as endpoints are; other zones have their own to carry.
            # Danger: few copies leave zones without one, whose endpoints sit idle; and copies of a zone that
            # has lost endpoints, or has them back cold, would each count on what is left for itself.
            fair = sum(bears) / s.balancers
            own = bears[0] * zones / s.balancers if zones < s.balancers else min(fair, bears[0])
            far = max(fair - own, s.remote_part * fair)
            farther = max(far - bears[1], s.remote_part * fair)
            for pool, members, part in zip(placement.pools, rings, (own, far, farther), strict=True):
                pool.limit.size(part)
                size = max(SUBSET_MIN, int(SUBSET_PER_CALL * pool.limit.cap))
                pool.subset.fill(members, s.rank, s.balancers, size)

    def steer(self, now_us: int, shares: Mapping[str, float], regions: Mapping[str, str]) -> None:
        self.zones.regions = regions
        self.zones.order(now_us, shares)
        self._fill_pools(now_us)

    def _look(self, now: int) -> None:
        """Have the zones' evidence weighed, and follow what comes of it."""
        calls, endpoints = self.calls.values(), self.endpoints.values()
        out = [(c, i, c.attempts[i]) for c in calls for i in c.outstanding if i != c.streamed]
        for call, i, made in out:
            e, sent, pool, *_ = made
            late = now - sent > MUTE_RISE_BUSY * pool.limit.base * call.grade.aim_us
            if not made.noted and late and self._mute(now, e, pool, call):
                self.zones.note(now, e.zone, e.id, True)
                call.attempts[i] = made._replace(noted=True)
        limits = [p.limit for placement in self.placements for p in placement.pools if p.subset.members]
        # There is room nowhere, or all are slow: what fails then does so for its load.
        scarce = self.ratio.stress() > 0 or all(each.in_flight >= BINDING * each.cap for each in limits)
        changed, left = self.zones.look(now, {e.zone for e in endpoints if e.ready}, scarce)
        for call, i, made in out:
            if made.endpoint.zone in left:  # its place is for calls that may be answered
                made.pool.limit.in_flight -= 1
                self.limbo.limit.in_flight += 1
                call.attempts[i] = made._replace(pool=self.limbo, noted=True)
        for e in endpoints:
            if e.zone in left:  # it is judged with its zone, and comes back with it
                e.recover()
        if changed:
            self._fill_pools(now)

    def _share_out(self, now: int) -> None:
        """Note what was sent, and leave to a bound class the endpoints that it fills."""
        # Danger: classes free to go anywhere crowd the few endpoints of a bound class while others have room.
        for placement in self.placements:
            for pool in placement.pools:
                pool.turn()
        if self.warming:
            self._fill_pools(now)
        if len(self.placements) < 2:
            return
        level = sum(p.sent for p in self.placements) / max(1, *(p.size for p in self.placements))
        for wide in self.placements:
            wide.spare = {}
            for narrow in self.placements:
                if level and 0 < narrow.size < wide.size:
                    left = max(LEAST_SPARE, 1.0 - narrow.sent / narrow.size / level)
                    wide.spare.update((e.id, left) for e in self.endpoints.values() if narrow.allows(e))
        for p in self.placements:
            p.sent *= SENT_DECAY

    def wake(self, now_us: int, mark: str) -> None:
        if mark == ASK:
            self.asking = False
            self.actions.watch(True)
        elif mark == SWEEP and now_us >= self.sweep_at >= 0:
            self.sweep_at = -1
            self._sweep(now_us)

    def hosts_down(self, now_us: int) -> list[str]:
        """The endpoints that get no new calls now, or single trials: they drain, rest or are ejected."""
        known = self.endpoints.values()
        out = [e for e in known if not e.ready or e.on_trial or now_us < max(e.rests_until, e.ejected_until)]
        return [e.id for e in out]

    def _limits(self) -> list[ConcurrencyLimit]:
        return [pool.limit for placement in self.placements for pool in placement.pools]

    def learned(self, now_us: int) -> Memory:
        """What a successor should know; reading it changes nothing."""
        known = [e for e in self.endpoints.values() if e.ready and (e.on_trial or e.slow or e.failing)]
        ejected = [(e.ejected_until - now_us or -1) if e.on_trial else 0 for e in known]
        pools = [PoolMemory(limit.part, limit.cap, limit.base, limit.median) for limit in self._limits()]
        pairs = zip(known, ejected, strict=True)
        return Memory(pools, [EndpointMemory(e.id, e.launched, e.failing, e.slow, left) for e, left in pairs])

    def recall(self, now_us: int, memory: Memory) -> None:
        """Start with what another process learned in our place; comes after the first list."""
        # Danger: one that knows nothing feeds endpoints that hang and refuses what its caps have not learned.
        if len(memory.pools) == len(self._limits()):  # an older version has other pools
            for limit, pool in zip(self._limits(), memory.pools, strict=True):
                limit.recall(pool)
        for told in memory.endpoints:
            e = self.endpoints.get(told.id)
            if e is None or abs(e.launched - told.launched_us) > SAME_START_US:
                continue
            e.failing, e.slow = told.failing, told.slow
            if told.ejected_us:
                e.on_trial, e.ejections = True, 1
                e.ejected_until = now_us + max(0, min(told.ejected_us, EJECT_MAX_US))
                self.ejected.append(e)

    def order(
        self, now_us: int, call: str, grade: str, tenant: str | None, expires_in_us: int, hint_us: int | None
    ) -> None:
        if not self.started or call in self.calls:
            raise RuntimeError(f"request {call} is here already" if self.started else "order before start")
        if now_us >= self.zones.next_look:
            self._look(now_us)
        if now_us >= self.buckets.next_refill:
            self.buckets.refill(now_us)
            self._share_out(now_us)
            if now_us >= self.next_state:
                self._log_state(now_us)
        bucket = self.buckets.find(tenant or "")
        new = self.calls[call] = Call(call, self.classes[grade], now_us, now_us + expires_in_us, bucket)
        bucket.heard = now_us
        stress = self.ratio.stress()
        worth = self.worth[self.level[grade, False]]
        new.price = BASE_COST_RU + HINT_RU_PER_US * (hint_us or 0)
        inflated = new.price * (1 + PENALTY * stress * (1 - worth))
        over = bool(self.settings.tenants) and bucket.tokens < inflated
        new.level = self.level[grade, over]
        age = self.tries[grade].age(expires_in_us, new.grade.deadline_us) if not self.settings.layer else 0
        if expires_in_us <= 0:
            self._refuse(new, "no time")
            return
        if not new.grade.late_share:
            # Guards against repeats that can no longer be worth anything.
            usual = self.placement[grade].pools[0].limit.median * HOPELESS
            new.due = min(new.due, now_us + new.grade.aim_us - age)
            if new.due - now_us <= new.grade.aim_us * usual:
                self._refuse(new, "hopeless")
                return
        low = self.worth[new.level] < LOW_WORTH
        outer = self.settings.layer == 0
        excess = over and (stress > 0 or self.scarcity > SCARCE)
        if outer and (excess or self.queue.refusing(now_us)):
            self._refuse(new, "over share" if excess else "sojourn")
            return
        if not over:
            bucket.tokens -= inflated
            new.paid = inflated
        at_once = (low or not self.queue.count) and self._try_send(now_us, new)
        if not over:
            self.scarcity += SCARCITY_WEIGHT * ((not at_once) - self.scarcity)
        if at_once:
            return
        if outer and low and (stress > 0 or self.queue.count):
            self._refuse(new, "low tier")
            return
        self._hold(now_us, new)

    def _hold(self, now: int, call: Call) -> None:
        share = HOLD_SHARE_INSIDE if self.settings.layer else HOLD_SHARE
        until = min(now + int(share * call.grade.aim_us), call.due - ANSWER_MARGIN_US)
        if until <= now:
            self._refuse(call, "no time")
            return
        self.queue.push(call, until)
        self._sweep_later(now)

    def _sweep_later(self, now: int) -> None:
        if self.sweep_at < 0:
            self.sweep_at = now + SWEEP_US
            self.actions.timer(SWEEP_US, SWEEP)

    def _sweep(self, now: int) -> None:
        queue = self.queue
        if now >= self.zones.next_look:
            self._look(now)
        self._dispatch(now)
        while (call := queue.overdue(now)) is not None:
            queue.take(call)
            self._refuse(call, "held too long")
        queue.watch(now)
        while self.copies and (self.copies[0][0] <= now or self.copies[0][1].answered):
            self._copy(now, self.copies.popleft()[1])
        if queue.count or self.copies:
            self._sweep_later(now)

    def _copy(self, now: int, call: Call) -> None:
        """Send a second copy, against endpoints that pause or hang, and only while nothing is scarce."""
        if call.answered or len(call.attempts) != 1 or not call.outstanding:
            return
        if self.ratio.stress() > 0 or self.queue.count or self.retries < 1.0:
            return
        if self._try_send(now, call):
            self.retries -= 1.0

    def _dispatch(self, now: int) -> None:
        """Send held calls while there is room, best worth first."""
        queue = self.queue
        queue.watch(now)
        for level in range(len(queue.levels)):
            while (call := queue.head(level)) is not None:
                if not self._try_send(now, call):
                    break
                queue.take(call)

    def _refuse(self, call: Call, why: str) -> None:
        """Final answer without a result: `shed` where that is legal."""
        self.given_up[why] = self.given_up.get(why, 0) + 1
        if may_refuse(call.grade, call.first_run is not None or bool(call.outstanding)):
            limits = self.settings.limits
            # Drawn anew for each: clients told the same wait would come back together.
            wait = limits.max_retry_after_us * RETRY_AFTER_SHARE * (1 + self.random.random())
            self.actions.shed(call.id, int(wait) if limits.retry_after else 0)
        else:
            self.actions.surrender(call.id)
        self._answered(call)

    def _answered(self, call: Call) -> None:
        call.answered = True
        if not call.outstanding:
            del self.calls[call.id]

    def _call_off(self, call: Call) -> None:
        """Cancel what nobody waits for any more: some endpoints stop such work."""
        if self.settings.limits.may_cancel:
            for attempt in sorted(call.outstanding):
                self.actions.cancel(call.id, attempt)

    def _try_send(self, now: int, call: Call) -> bool:
        if self.zones.partial and (zone := self.zones.due(now)) and self._try_zone(now, call, zone):
            return True
        share = 1.0 if self.worth[call.level] >= LOW_WORTH else LOW_TIER_SHARE
        barren = True  # whether nearer rings have no endpoint that could take the call, however long it waits
        best: EndpointState | None = None
        for ring, pool in enumerate(self.placement[call.grade.name].pools):
            if not pool.subset.members:
                continue
            if pool.limit.full(now, share * pool.limit.room(self.scarcity), self.random):
                barren = False
                continue
            if ring and best is None and not barren and not self._worth_crossing(now, call, ring):
                return False
            if (e := self._pick(now, pool, call)) and (best is None or e.taken + CROSSING < best.taken):
                best, its_pool = e, pool
            if best is not None and (ring or best.taken <= CROWDED):
                break
        if best is not None:
            self._send(now, call, best, its_pool)
        return best is not None

    def _try_zone(self, now: int, call: Call, zone: Zone) -> bool:
        """Send a call to a zone that was left; of a class that may be repeated, where there is one."""
        if call.attempts or (self.harmless and call.grade.effect is Effect.AT_MOST_ONCE):
            return False
        placement, ring = self.placement[call.grade.name], self.zones.ring(zone.name)
        pool = placement.pools[ring]
        here = [e for e in self.endpoints.values() if e.zone == zone.name and placement.allows(e)]
        fit = [e for e in here if e.ready and now >= e.rests_until and ring <= placement.reach]
        e = self.random.choice(fit) if fit else None
        if e is None or ((warmth := self._warmth(now, e)) < 1.0 and not self._affords(now, e, pool, warmth)):
            return False
        zone.trial = True
        self._send(now, call, e, pool)
        return True

    def _worth_crossing(self, now: int, call: Call, ring: int) -> bool:
        """Spill to another zone what this one cannot carry; the dearer the crossing, the longer it waits."""
        prices = self.settings.prices
        price = prices.cross_zone if ring == Ring.REGION else max(prices.cross_zone, prices.cross_region)
        gain = self.gain[call.level] * SPILL_GAIN
        return gain > price and now - call.arrived >= price / gain * HOLD_SHARE * call.grade.aim_us

    def _pick(self, now: int, pool: Pool, call: Call) -> EndpointState | None:
        """The less busy, by own calls in flight, of two random members of the subset."""
        members, n = pool.subset.members, len(pool.subset.members)
        best: EndpointState | None = None
        best_load, drawn = 0.0, 0
        tried, spare = call.attempts, self.placement[call.grade.name].spare
        partial = self.zones.partial
        if partial and call.coin < 0:
            call.coin = self.random.random()
        for _ in range(2 * REDRAWS):
            e = members[int(self.random.random() * n)]
            if partial and call.coin >= self.zones.share(e.zone):
                continue
            if e is best or now < e.rests_until or (tried and any(a.endpoint is e for a in tried)):
                continue
            warmth = self._warmth(now, e)
            part = self._part(now, e, self._budget(warmth)) * spare.get(e.id, 1.0)
            if part < 1.0 and self.random.random() >= part:
                continue
            if warmth < 1.0 and not self._affords(now, e, pool, warmth):
                continue
            if call.first_run and not may_resend(call.grade, call.first_run, now, e.zone, e.cell):
                continue
            # Not by the part, too: who has few calls out would send a cold endpoint none until it is warm.
            load = (e.in_flight + 1) / e.weight
            # Danger: what a mute endpoint holds is soon no more than what its busy peers do, call after call.
            load *= (MUTE_RISE if self._mute(now, e, pool, call) else 1.0) * (e.slow or 1.0)
            if best is None or load < best_load:
                best, best_load = e, load
            drawn += 1
            if drawn == 2:
                break
        return best

    def _mute(self, now: int, e: EndpointState, pool: Pool, call: Call) -> bool:
        """Whether calls are out to the endpoint and it has answered none for far longer than is usual."""
        if not e.owes:
            return False
        owing, aim = now - e.owes, call.grade.aim_us
        busy = e.in_flight >= MUTE_CALLS and owing > MUTE_RISE_BUSY * pool.limit.base * aim > 0
        return busy or owing > MUTE_RISE * pool.limit.median * aim > 0

    def _part(self, now: int, e: EndpointState, warmth: float) -> float:
        """The part of a warm peer's calls that this endpoint may have: slow start, ejection and return."""
        # A draw of a cold endpoint stands only with the probability of its budget (rule 4).
        if not e.ejected_until:
            return warmth
        # Danger: if all copies take an endpoint that has tipped over back by the clock, it stays down.
        if now < e.ejected_until or (e.on_trial and e.in_flight):
            return 0.0
        back = min(1.0, (now - e.ejected_until) / RETURN_US)
        return warmth * (RETURN_FROM + (1 - RETURN_FROM) * back)

    def _warmth(self, now: int, e: EndpointState) -> float:
        """The least part of its capacity that the endpoint has, by its stated start."""
        rules, age = self.settings.rules, now - e.launched
        if not e.launched or age >= rules.cold_us:
            return 1.0
        return rules.cold_from + (1 - rules.cold_from) * max(age, 0) / rules.cold_us

    def _budget(self, warmth: float) -> float:
        """The part of a warm peer's calls that a cold endpoint may have by rule 4."""
        return min(1.0, COLD_USE * self.settings.rules.overload_factor * warmth) if warmth < 1.0 else 1.0

    def _affords(self, now: int, e: EndpointState, pool: Pool, warmth: float) -> bool:
        """Whether a cold endpoint has credit left: it earns a part of what those of its pool usually got."""
        # Danger: where most of a subset is cold, redraws and held calls would send it all the same.
        fair = START_CALLS / self.settings.balancers  # a second, while no rate is known
        usual = max(pool.rate / max(1, len(pool.subset.members)), fair)
        earned = usual * self._budget(warmth) * (now - e.credit_at) / 1e6
        # All copies hear of the start at once.
        e.credit = self.random.random() if e.credit < 0 else min(1.0, e.credit + earned)
        e.credit_at = now
        return e.credit >= 1.0

    def _send(self, now: int, call: Call, e: EndpointState, pool: Pool) -> None:
        call.outstanding.add(len(call.attempts))
        if not call.attempts:
            self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
            self.placement[call.grade.name].sent += call.price
            usual = pool.limit.median * call.grade.aim_us
            # Only the outermost layer copies: copies inside multiply, and only it sees all stress.
            if usual and self.copying and call.grade.effect is Effect.IDEMPOTENT:
                self.copies.append((now + int(COPY_RISE * usual), call))
                self._sweep_later(now)
        step = -1  # unknown: others are out, and which connection comes next is not told
        if not e.in_flight:
            step = self.idle.step(now - e.used) if e.used else IDLE_STEPS
            if self.idle.dead(step, self.random.random()):
                self.actions.close_idle(e.id)
                step = IDLE_STEPS
        call.attempts.append(Attempt(e, now, pool, step))
        e.used = now
        e.credit -= 1.0 if e.credit >= 1.0 else 0.0
        pool.sent += 1
        e.in_flight += 1
        e.owes = e.owes or now
        pool.limit.in_flight += 1
        # Danger: at a silent endpoint a call past its due would keep its place under the cap, at each tier.
        self.actions.hand_off(call.id, e.id, max(1, call.due - now))

    def streaming(self, now_us: int, call: str, attempt: int, spent_us: int) -> None:
        """The first bytes tell the latency and free the call's place: what is left is transfer, not work."""
        found = self.calls.get(call)
        if found is None or attempt not in found.outstanding or found.streamed >= 0:
            return
        found.answered, found.streamed = True, attempt
        made = found.attempts[attempt]
        made.endpoint.in_flight -= 1
        self._release(now_us, made, Outcome.OK)
        self._judge(now_us, found, made, spent_us, Outcome.OK, False)
        if self.queue.count:
            self._dispatch(now_us)

    def _release(self, now: int, made: Attempt, outcome: Outcome) -> None:
        """An attempt that is no longer in flight at its endpoint gives its place under the cap back."""
        e = made.endpoint
        if outcome in ANSWERED or not e.in_flight:
            e.owes = now if e.in_flight else 0
        e.used = now
        made.pool.limit.in_flight -= 1
        if self.zones.partial:
            self.zones.find(e.zone).trial = False

    def reply(
        self,
        now_us: int, call: str, attempt: int, endpoint: str, spent_us: int, closed: bool, outcome: Outcome,
    ) -> None:  # fmt: skip
        found = self.calls.get(call)
        if found is None or attempt not in found.outstanding:
            return
        found.outstanding.discard(attempt)
        e, sent, pool, step, _ = made = found.attempts[attempt]
        if attempt == found.streamed:
            if outcome is Outcome.RESET:
                self._judge(now_us, found, made, spent_us, outcome, False)
            self._answered(found)
            return
        e.in_flight -= 1
        mute = outcome is Outcome.TIMEOUT and self._mute(now_us, e, pool, found)
        self._release(now_us, made, outcome)
        if step >= 0 and outcome not in NEVER_RAN:
            silent = outcome in UNANSWERED
            long = spent_us > SILENT_RISE * pool.limit.median * found.grade.aim_us > 0
            if not silent or long or outcome is Outcome.RESET:
                self.idle.learn(step, silent)
        self._judge(now_us, found, made, spent_us, outcome, mute)
        if outcome not in NEVER_RAN and (found.first_run is None or sent < found.first_run.sent):
            found.first_run = Ran(sent, e.zone, e.cell)
        if found.answered or closed:
            self._answered(found)
            self._call_off(found)
        elif not found.outstanding:
            self._again(now_us, found, outcome)
        if self.queue.count:
            self._dispatch(now_us)

    def _judge(self, now: int, call: Call, made: Attempt, spent: int, outcome: Outcome, mute: bool) -> None:
        """Learn from an outcome: the endpoint's health, the ratio, the cap and the tenant's bill."""
        if outcome is Outcome.NOT_SENT or outcome is Outcome.CANCELLED:
            return
        e, sent, pool, _, noted = made
        ok = outcome is Outcome.OK
        if ok and e.on_trial and now >= e.ejected_until:
            e.on_trial = False
            e.ejected_until = now  # the way back begins here
        if outcome in NEVER_RAN:
            e.rest(now, sent, 0.75 + 0.5 * self.random.random())
        elif outcome in ANSWERED:
            e.turned = 0
        share = spent / call.grade.aim_us
        if outcome is not Outcome.FULL:  # a full endpoint is busy, not ill
            failed = 0.0 if ok else 1.0
            if ok or not noted:
                self.zones.note(now, e.zone, e.id, not ok)
            self.fleet_failing += FLEET_WEIGHT * (failed - self.fleet_failing)
            # Calls that one pause fails together count as one failure. Danger: what is not counted must not
            # count as the last failure either, or at a silent endpoint none but the first would ever count.
            if ok or sent >= e.failed_at:
                sure = mute or (failed and e.on_trial)
                e.failing += (1.0 if sure else HEALTH_WEIGHT) * (failed - e.failing)
                if failed:
                    e.failed_at = now
                    self._consider_ejecting(now, e)
        if ok or outcome is Outcome.TIMEOUT:
            self.fleet_latency = self.fleet_latency or share
            self.fleet_latency += FLEET_WEIGHT * (share - self.fleet_latency)
            relative = min(max(share / self.fleet_latency, 1 / SLOW_RANGE), SLOW_RANGE)
            e.slow = e.slow + SLOW_WEIGHT * (relative - e.slow) if e.slow else 0.5 + 0.5 * relative
        outlier = e.slow > OUTLIER and share > self.fleet_latency
        if not outlier:  # Guards against one slow endpoint that gets tiers shed while its peers sit idle.
            if ok or outcome is Outcome.TIMEOUT:
                self.ratio.record(now, share)
            if ok or outcome is Outcome.TIMEOUT or outcome is Outcome.FULL:
                counts = FULL_COUNTS if outcome is Outcome.FULL else share
                pool.limit.learn(now, sent, counts, call.grade.aim_us)
        self.buckets.bill(call.bucket, call.price, call.paid, spent, ok)

    def _consider_ejecting(self, now: int, e: EndpointState) -> None:
        # Endpoints that are down for sure raise the share of all: a multiple of that could never be reached.
        spared = not self.zones.share(e.zone) or now < e.ejected_until
        if spared or e.failing < EJECT_FAILING + EJECT_VERSUS_PEERS * self.fleet_failing:
            return
        self.ejected = [o for o in self.ejected if now < o.ejected_until]
        if len(self.ejected) + 1 > MAX_EJECTED * self.ready:
            return
        self.ejected.append(e)
        # A failed trial may be chance, and costs one call: the next one need not wait for longer.
        e.ejections += not e.on_trial
        wait = min(EJECT_US * 2 ** (e.ejections - 1), EJECT_MAX_US)
        e.ejected_until = now + int(wait * (0.75 + 0.5 * self.random.random()))
        e.failing, e.on_trial = 0.0, True
        seconds = round((e.ejected_until - now) / 1e6, 1)
        self.actions.write_log("ejected", endpoint=e.id, reason="it fails", seconds=seconds)

    def _again(self, now: int, call: Call, outcome: Outcome) -> None:
        """All attempts ended without an answer: send another where that is legal and wise, or give up."""
        tries = min(MAX_TRIES_INSIDE if self.settings.layer else MAX_TRIES, self.settings.limits.max_attempts)
        legal = call.first_run is None or call.grade.effect is not Effect.AT_MOST_ONCE
        legal = legal and len(call.attempts) < tries and now < call.due - ANSWER_MARGIN_US
        # What was turned away unseen made no work: the budget is for retries of what may have.
        spent = outcome not in NEVER_RAN
        if legal and (not spent or self.retries >= 1.0):
            self.retries -= spent
            for pool in self.placement[call.grade.name].pools:
                if pool.subset.members and (endpoint := self._pick(now, pool, call)) is not None:
                    self._send(now, call, endpoint, pool)
                    return
        self._refuse(call, outcome.name.lower().replace("_", " "))

    def _log_state(self, now: int) -> None:
        """What bears on a call's fate: one line for on-call staff, now and then."""
        self.next_state = now + STATE_EVERY_US
        reasons = ", ".join(f"{why} {n}" for why, n in sorted(self.given_up.items())) or "none"
        self.given_up.clear()
        pools = "; ".join(
            f"{name} {len(pool.subset.members)} endpoints, cap {pool.limit.cap:.1f}, "
            f"out {pool.limit.in_flight}, median {pool.limit.median:.3f} over {pool.limit.base:.3f}"
            for placement in self.placements
            for name, pool in zip(("near", "far", "farther"), placement.pools, strict=True)
            if pool.subset.members
        )
        figures = {"ratio": round(self.ratio.value, 2), "scarcity": round(self.scarcity, 2)}
        self.actions.write_log("state", given_up=reasons, held=self.queue.count, pools=pools, **figures)

    def expired(self, now_us: int, call: str) -> None:
        found = self.calls.get(call)
        if found is None:
            return
        if found.held_until:
            self.queue.take(found)
        self._answered(found)
        self._call_off(found)
