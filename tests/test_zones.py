"""Zone failover: evidence, evacuation and return. Endpoints answer, fail or hang as their zone does."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderhub.interface import Effect, Group, ListForm, Outcome, Prices, Readiness, Ring, Tenant
from eiderhub.zones import FIRST_SHARE, GROWTH_US, MAX_BACKOFF_US, REVIEW_INTERVAL_US, Zones
from tests.support import MS, SAFE, UNSAFE, Host, S, endpoints, settings

STEP = 10 * MS
EAST, WEST, NORTH = "east", "west", "north"
PER_ZONE = 6


def listed(*zones: str) -> list[Any]:
    return [e for i, zone in enumerate(zones) for e in endpoints(PER_ZONE, zone=zone, start=PER_ZONE * i)]


class ZoneHost(Host):
    """A host that sends calls at a steady rate to endpoints that behave as set for their zone."""

    def __init__(self, *zones: str, seed: int = 7, **changes: Any) -> None:
        self.rng = random.Random(seed)
        self.pending: list[tuple[int, int, str, int]] = []  # end, sequence, call, attempt
        self.outcomes: dict[tuple[str, int], Outcome] = {}
        self.durations: dict[tuple[str, int], int] = {}
        self.silent_zones: set[str] = set()
        self.full_zones: set[str] = set()  # zones whose endpoints reject calls without executing them
        self.failure_shares: dict[str, float] = {}  # by zone
        self.slowdown: dict[str, float] = {}
        self.silent_endpoints: set[str] = set()  # hung endpoints
        self.received: list[tuple[int, str]] = []  # time and zone of each attempt
        entries = listed(*zones)
        self.zone_of = {e.id: e.zone for e in entries}
        tenants = (Tenant("small", 1.0, 1000.0),)
        changes = {"classes": (SAFE,), "tenants": tenants, "balancers": 1, "prices": Prices(0.01)} | changes
        super().__init__(settings(**changes), entries, seed)

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        super().hand_off(call, endpoint, max_wait_us)
        zone, attempt = self.zone_of[endpoint], len(self.sent[call]) - 1
        self.received.append((self.now, zone))
        duration, outcome = (
            int(20 * MS * self.rng.uniform(0.5, 1.5) * self.slowdown.get(zone, 1.0)),
            Outcome.OK,
        )
        if zone in self.full_zones:
            outcome = Outcome.FULL
        elif zone in self.silent_zones or endpoint in self.silent_endpoints:
            duration, outcome = max_wait_us, Outcome.TIMEOUT
        elif self.rng.random() < self.failure_shares.get(zone, 0.0):
            outcome = Outcome.ERROR
        self.outcomes[call, attempt], self.durations[call, attempt] = outcome, duration
        heapq.heappush(self.pending, (self.now + duration, self.serial, call, attempt))

    def run(self, seconds: float, rate: float = 100.0, grade: str = "look") -> None:
        until, owed_calls = self.now + int(seconds * S), 0.0
        while self.now < until:
            self.advance(STEP)
            while self.pending and self.pending[0][0] <= self.now:
                _, _, call, attempt = heapq.heappop(self.pending)
                if call in self.balancer.calls:
                    outcome, duration = self.outcomes[call, attempt], self.durations[call, attempt]
                    self.reply(call, outcome, spent=duration, attempt=attempt)
            owed_calls += rate * STEP / S
            while owed_calls >= 1.0:
                owed_calls -= 1.0
                self.order(grade)

    def share(self, zone: str, seconds: float) -> float:
        """The share of the attempts of the last seconds that went to this zone."""
        late = [z for at, z in self.received if at > self.now - seconds * S]
        return late.count(zone) / max(1, len(late))

    def logged(self, text: str) -> list[dict[str, Any]]:
        return [d[2] for d in self.actions if d[0] == "write_log" and d[1] == text]


def test_lost_zone_is_evacuated_within_two_seconds_and_restored_by_doubling() -> None:
    host = ZoneHost(EAST, WEST, NORTH)
    host.run(5)
    assert host.share(EAST, 3) > 0.95  # calls stay in the own zone
    host.silent_zones = {EAST}
    host.run(2)
    fields = host.logged("zone share reduced")[-1]
    assert fields["zone"] == EAST and fields["ill"] == fields["of"] and fields["share"] == 0.0
    assert host.share(EAST, 0.5) < 0.05
    # Calls in flight to the evacuated zone hold no place under the caps in use.
    in_flight = [host.balancer.placements[0].pools[ring].limit.in_flight for ring in (Ring.ZONE, Ring.REGION)]
    outstanding = sum(len(call.outstanding) for call in host.balancer.calls.values())
    assert sum(in_flight) + host.balancer.evacuated_pool.limit.in_flight == outstanding
    host.run(6)
    host.silent_zones = set()
    host.run(25)
    raised_shares = [fields["share"] for fields in host.logged("zone share raised")]
    assert raised_shares == [FIRST_SHARE * 2**i for i in range(4)]
    assert host.share(EAST, 2) > 0.9
    assert host.balancer.evacuated_pool.limit.in_flight == 0


def test_new_instance_evacuates_a_lost_zone_at_once_although_the_list_calls_it_ready() -> None:
    host = ZoneHost(EAST, WEST)
    host.silent_zones = {EAST}
    host.run(3)
    assert host.share(EAST, 1) < 0.05
    host.balancer.discovery(host.now, ListForm.FULL, listed(EAST, WEST))
    host.run(10)
    assert host.share(EAST, 8) < 0.05


def test_zone_of_one_endpoint_is_handled_by_ejecting_that_endpoint() -> None:
    host = ZoneHost(EAST, WEST)
    alone = [e for e in listed(EAST, WEST) if e.zone == WEST or e.id == listed(EAST)[0].id]
    host.balancer.discovery(host.now, ListForm.FULL, alone)
    host.run(3, rate=20)
    host.silent_zones = {EAST}
    host.run(5, rate=20)
    assert host.logged("ejected") and not host.logged("zone share reduced")
    assert host.share(EAST, 3) < 0.1
    host.silent_zones = set()
    host.run(20, rate=20)
    assert host.share(EAST, 3) > 0.5


@pytest.mark.parametrize("kind", ["failing", "slow"])
def test_share_of_a_degraded_zone_is_reduced_in_steps(kind: str) -> None:
    host = ZoneHost(EAST, WEST, NORTH)
    host.run(5)
    if kind == "failing":
        host.failure_shares = {EAST: 0.2}
    else:
        host.slowdown = {EAST: 5.0}
    host.run(12, rate=200)
    shares = [fields["share"] for fields in host.logged("zone share reduced")]
    assert all(0 < share < 1 for share in shares)
    assert bool(shares) is (kind == "failing")  # a slow zone fills its cap, so that its calls spill
    assert 0.0 < host.share(EAST, 5) < 0.6


def test_few_hung_endpoints_do_not_evacuate_their_zone() -> None:
    host = ZoneHost(EAST, WEST)
    host.run(3)
    host.silent_endpoints = {e.id for e in listed(EAST)[:2]}
    host.run(10)
    assert host.logged("zone share reduced") == []
    assert host.share(EAST, 5) > 0.8


def test_no_zone_stays_evacuated_after_a_failure_of_all() -> None:
    host = ZoneHost(EAST, WEST, NORTH)
    host.run(5)
    host.failure_shares = dict.fromkeys((EAST, WEST, NORTH), 1.0)
    host.run(8)
    assert any("cut off" in d[1] for d in host.actions if d[0] == "write_log")
    host.failure_shares = {}
    host.run(12)
    assert host.share(EAST, 2) > 0.8


def test_instance_cut_off_from_all_zones_keeps_one_and_logs_it() -> None:
    host = ZoneHost(EAST, WEST)
    host.run(3)
    host.silent_zones = {EAST, WEST}
    host.run(6)
    assert any("cut off" in d[1] for d in host.actions if d[0] == "write_log")
    shares = [host.balancer.zones.share(zone) for zone in (EAST, WEST)]
    assert max(shares) > 0


def test_zone_missing_from_the_list_for_a_moment_is_used_again_at_once() -> None:
    host = ZoneHost(EAST, WEST)
    host.run(5)
    host.balancer.discovery(host.now, ListForm.FULL, [e for e in listed(EAST, WEST) if e.zone == WEST])
    host.run(1)
    assert host.share(EAST, 0.9) == 0.0  # the list decides
    host.balancer.discovery(host.now, ListForm.FULL, listed(EAST, WEST))
    host.run(1)
    assert host.share(EAST, 0.5) > 0.9


def test_zone_that_fails_every_ten_seconds_is_not_restored_each_time() -> None:
    host = ZoneHost(EAST, WEST)
    host.run(5)
    began = host.now
    for _ in range(12):
        host.silent_zones = {EAST}
        host.run(5)
        host.silent_zones = set()
        host.run(5)
    reductions = host.logged("zone share reduced")
    waits = [fields["seconds"] for fields in reductions]
    assert max(waits) > 8 and max(waits) <= 1.5 * MAX_BACKOFF_US / S
    assert len(reductions) < 12
    lost = sum(zone == EAST and (at - began) % (10 * S) < 5 * S for at, zone in host.received if at >= began)
    assert lost < 0.1 * 12 * 5 * 100


def test_instances_that_evacuated_together_do_not_return_in_step() -> None:
    moments = []
    for seed in range(40):
        host = ZoneHost(EAST, WEST, seed=seed)
        host.run(2, rate=60)
        host.silent_zones = {EAST}
        host.run(4, rate=60)
        host.silent_zones = set()
        while not host.logged("zone share raised"):
            host.run(0.25, rate=60)
        moments.append(host.now)
    most = max(sum(abs(one - other) <= REVIEW_INTERVAL_US for other in moments) for one in moments)
    assert most <= 0.6 * len(moments)


@pytest.mark.parametrize(
    ("grade", "answer"),
    [
        (UNSAFE, "surrender"),
        (replace(SAFE, name="keyed", effect=Effect.DEDUPLICATED, group=Group.ZONE, dedup_window_us=10 * S),
         "surrender"),
    ],
)  # fmt: skip
def test_calls_in_flight_to_a_lost_zone_are_not_resent_where_it_is_forbidden(grade: Any, answer: str) -> None:
    host = ZoneHost(EAST, WEST, classes=(grade,))
    host.run(3, grade=grade.name)
    host.silent_zones = {EAST}
    host.run(8, grade=grade.name)
    assert host.logged("zone share reduced")
    for call, endpoints_used in host.sent.items():
        if len(endpoints_used) > 1 and grade is UNSAFE:
            assert all(host.outcomes[call, i] is not Outcome.TIMEOUT for i in range(len(endpoints_used) - 1))
        elif any(host.outcomes[call, i] is Outcome.TIMEOUT for i in range(len(endpoints_used))):
            assert len({host.zone_of[e] for e in endpoints_used}) == 1
    unserved = [call for call in host.sent if answer in host.final_answers(call)]
    assert unserved  # their clients were told of the failure


def test_farther_rings_serve_what_nearer_ones_cannot_within_the_reach_of_the_class() -> None:
    regions = {EAST: "coast", WEST: "coast", NORTH: "inland"}
    near = replace(SAFE, name="near", reach=Ring.ZONE)
    home = replace(SAFE, name="home", reach=Ring.REGION)
    host = ZoneHost(EAST, WEST, NORTH, regions=regions, classes=(SAFE, near, home))
    host.run(4)
    host.silent_zones = {EAST}
    host.run(6)
    assert host.share(WEST, 3) > 0.95 and host.share(NORTH, 3) < 0.02
    before = len(host.received)
    host.run(2, rate=30, grade="near")
    assert {zone for _, zone in host.received[before:]} <= {EAST}
    host.silent_zones = {EAST, WEST}
    host.run(6, grade="home")
    before = len(host.received)
    host.run(3, rate=30, grade="home")
    assert NORTH not in {zone for _, zone in host.received[before:]}
    host.run(6)
    assert host.share(NORTH, 2) > 0.9  # other classes use the farthest ring


def test_operator_bound_overrides_verdicts_and_is_lifted_in_steps() -> None:
    host = ZoneHost(EAST, WEST)
    host.run(3)
    host.balancer.steer(host.now, {EAST: 0.0}, {})
    host.run(3)
    assert host.share(EAST, 2.9) == 0.0
    host.balancer.steer(host.now, {EAST: 0.5}, {})
    host.run(8)
    assert 0.3 < host.share(EAST, 3) < 0.7
    host.balancer.steer(host.now, {}, {})
    host.run(10)
    assert host.share(EAST, 2) > 0.9
    shares = [fields["share"] for fields in host.logged("zone share raised")]
    assert shares[0] == FIRST_SHARE
    assert all(b <= 2 * a or a == 1.0 for a, b in itertools.pairwise(shares))


def test_rejected_trial_is_followed_by_another() -> None:
    host = ZoneHost(EAST, WEST)
    host.run(3)
    host.silent_zones = {EAST}
    host.run(3)
    host.silent_zones, host.full_zones = set(), {EAST}
    host.run(6)
    host.full_zones = set()
    host.run(12)
    assert host.share(EAST, 2) > 0.9


def test_no_zone_is_evacuated_if_all_stop_answering_at_once() -> None:
    zones = Zones(EAST, {}, random.Random(1), Host())
    for i in range(60):
        zones.record(S, (EAST, WEST, NORTH)[i % 3], f"{i % 9}", True)
    _, evacuated = zones.review(3 * S, (EAST, WEST, NORTH), False)
    assert evacuated == []
    assert [zones.share(name) for name in (EAST, WEST, NORTH)] == [1.0] * 3


CALL_STEPS = st.tuples(
    st.integers(1, 800),  # milliseconds since the step before
    st.sampled_from([EAST, WEST, NORTH]),
    st.integers(0, 3),  # endpoint
    st.booleans(),  # failed
    st.integers(1, 12),  # calls
)


@given(st.lists(CALL_STEPS, max_size=80), st.booleans())
def test_one_zone_always_remains_and_shares_at_most_double_after_answers(
    steps: list[tuple[int, str, int, bool, int]], overloaded: bool
) -> None:
    zones = Zones(EAST, {}, random.Random(1), Host())
    now = S
    raised: dict[str, int] = {}
    for wait, zone, endpoint, failed, count in steps:
        now += wait * MS
        for _ in range(count):
            zones.record(now, zone, f"{zone}-{endpoint}", failed)
        before = {z.name: (z.share, z.answers) for z in zones.zones.values()}
        zones.last_log = ""
        changed, evacuated = zones.review(now, (EAST, WEST, NORTH), overloaded)
        after = {z.name: z.share for z in zones.zones.values()}
        assert changed == any(after[name] != share for name, (share, _) in before.items())
        assert max(zones.share(name) for name in (EAST, WEST, NORTH)) > 0
        assert all(after[name] == 0 for name in evacuated)
        for name, (share, answers) in before.items():
            if after[name] > share and (share or after[name] < 1.0):  # else all zones fail alike
                assert after[name] <= max(2 * share, FIRST_SHARE)
                assert answers > 0 or share >= 0.5
                assert now - raised.get(name, 0) >= GROWTH_US
                raised[name] = now
            assert zones.zones[name].until <= now + 1.5 * MAX_BACKOFF_US


def test_zone_failover_never_uses_draining_endpoints() -> None:
    """Only the list decides on readiness: zone failover never makes a draining endpoint usable."""
    host = ZoneHost(EAST, WEST)
    drained = [e._replace(readiness=Readiness.DRAINING) for e in listed(EAST)]
    host.balancer.discovery(host.now, ListForm.DELTA, drained)
    host.silent_zones = {WEST}
    host.run(6)
    assert EAST not in {zone for _, zone in host.received}
