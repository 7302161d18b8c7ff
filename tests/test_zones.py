"""Zones: verdicts, leaving and returning. Endpoints here answer, fail or fall silent as their zone does."""

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


class Play(Host):
    """Calls at a steady rate, and endpoints that make of them what their zone is."""

    def __init__(self, *zones: str, seed: int = 7, **changes: Any) -> None:
        self.rng = random.Random(seed)
        self.due: list[tuple[int, int, str, int]] = []  # when which attempt ends
        self.ends: dict[tuple[str, int], Outcome] = {}
        self.took: dict[tuple[str, int], int] = {}
        self.silent: set[str] = set()
        self.full: set[str] = set()  # zones whose endpoints turn calls away unseen
        self.failing: dict[str, float] = {}  # share of calls, by zone
        self.slow: dict[str, float] = {}
        self.ill: set[str] = set()  # endpoints that answer nothing
        self.got: list[tuple[int, str]] = []  # when which zone got a call
        entries = listed(*zones)
        self.zone_of = {e.id: e.zone for e in entries}
        tenants = (Tenant("small", 1.0, 1000.0),)
        changes = {"classes": (SAFE,), "tenants": tenants, "balancers": 1, "prices": Prices(0.01)} | changes
        super().__init__(settings(**changes), entries, seed)

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        super().hand_off(call, endpoint, max_wait_us)
        zone, attempt = self.zone_of[endpoint], len(self.sent[call]) - 1
        self.got.append((self.now, zone))
        took, end = int(20 * MS * self.rng.uniform(0.5, 1.5) * self.slow.get(zone, 1.0)), Outcome.OK
        if zone in self.full:
            end = Outcome.FULL
        elif zone in self.silent or endpoint in self.ill:
            took, end = max_wait_us, Outcome.TIMEOUT
        elif self.rng.random() < self.failing.get(zone, 0.0):
            end = Outcome.ERROR
        self.ends[call, attempt], self.took[call, attempt] = end, took
        heapq.heappush(self.due, (self.now + took, self.serial, call, attempt))

    def play(self, seconds: float, rate: float = 100.0, grade: str = "look") -> None:
        until, owed = self.now + int(seconds * S), 0.0
        while self.now < until:
            self.advance(STEP)
            while self.due and self.due[0][0] <= self.now:
                _, _, call, attempt = heapq.heappop(self.due)
                if call in self.balancer.calls:
                    end, took = self.ends[call, attempt], self.took[call, attempt]
                    self.reply(call, end, spent=took, attempt=attempt)
            owed += rate * STEP / S
            while owed >= 1.0:
                owed -= 1.0
                self.order(grade)

    def share(self, zone: str, seconds: float) -> float:
        """Of the calls of the last seconds, the part that went to this zone."""
        late = [z for at, z in self.got if at > self.now - seconds * S]
        return late.count(zone) / max(1, len(late))

    def said(self, text: str) -> list[dict[str, Any]]:
        return [d[2] for d in self.did if d[0] == "write_log" and d[1] == text]


def test_a_lost_zone_is_left_whole_within_two_seconds_and_given_back_by_doubling() -> None:
    play = Play(EAST, WEST, NORTH)
    play.play(5)
    assert play.share(EAST, 3) > 0.95  # calls stay near
    play.silent = {EAST}
    play.play(2)
    told = play.said("zone share reduced")[-1]
    assert told["zone"] == EAST and told["ill"] == told["of"] and told["share"] == 0.0
    assert play.share(EAST, 0.5) < 0.05
    # What is out there holds no place under the cap of those that remain.
    served = [play.balancer.placements[0].pools[ring].limit.in_flight for ring in (Ring.ZONE, Ring.REGION)]
    out = sum(len(call.outstanding) for call in play.balancer.calls.values())
    assert sum(served) + play.balancer.evacuated_pool.limit.in_flight == out
    play.play(6)
    play.silent = set()
    play.play(25)
    back = [told["share"] for told in play.said("zone share raised")]
    assert back == [FIRST_SHARE * 2**i for i in range(4)]
    assert play.share(EAST, 2) > 0.9
    assert play.balancer.evacuated_pool.limit.in_flight == 0


def test_it_is_left_at_once_by_who_starts_during_the_loss_and_however_ready_the_list_calls_it() -> None:
    play = Play(EAST, WEST)
    play.silent = {EAST}
    play.play(3)
    assert play.share(EAST, 1) < 0.05
    play.balancer.discovery(play.now, ListForm.FULL, listed(EAST, WEST))
    play.play(10)
    assert play.share(EAST, 8) < 0.05


def test_a_zone_of_one_endpoint_is_left_and_taken_back_as_that_endpoint_is() -> None:
    play = Play(EAST, WEST)
    alone = [e for e in listed(EAST, WEST) if e.zone == WEST or e.id == listed(EAST)[0].id]
    play.balancer.discovery(play.now, ListForm.FULL, alone)
    play.play(3, rate=20)
    play.silent = {EAST}
    play.play(5, rate=20)
    assert play.said("ejected") and not play.said("zone share reduced")
    assert play.share(EAST, 3) < 0.1
    play.silent = set()
    play.play(20, rate=20)
    assert play.share(EAST, 3) > 0.5


@pytest.mark.parametrize("kind", ["failing", "slow"])
def test_a_grey_zone_is_left_by_parts(kind: str) -> None:
    play = Play(EAST, WEST, NORTH)
    play.play(5)
    if kind == "failing":
        play.failing = {EAST: 0.2}
    else:
        play.slow = {EAST: 5.0}
    play.play(12, rate=200)
    shares = [told["share"] for told in play.said("zone share reduced")]
    assert all(0 < share < 1 for share in shares)
    assert bool(shares) is (kind == "failing")  # who is slow crowds its cap, and calls cross by that
    assert 0.0 < play.share(EAST, 5) < 0.6


def test_few_ill_endpoints_of_many_are_no_ill_zone() -> None:
    play = Play(EAST, WEST)
    play.play(3)
    play.ill = {e.id for e in listed(EAST)[:2]}
    play.play(10)
    assert play.said("zone share reduced") == []
    assert play.share(EAST, 5) > 0.8


def test_trouble_behind_all_zones_ends_with_none_of_them_left() -> None:
    play = Play(EAST, WEST, NORTH)
    play.play(5)
    play.failing = dict.fromkeys((EAST, WEST, NORTH), 1.0)
    play.play(8)
    assert any("cut off" in d[1] for d in play.did if d[0] == "write_log")
    play.failing = {}
    play.play(12)
    assert play.share(EAST, 2) > 0.8


def test_who_is_cut_off_from_all_stays_and_says_so() -> None:
    play = Play(EAST, WEST)
    play.play(3)
    play.silent = {EAST, WEST}
    play.play(6)
    assert any("cut off" in d[1] for d in play.did if d[0] == "write_log")
    shares = [play.balancer.zones.share(zone) for zone in (EAST, WEST)]
    assert max(shares) > 0


def test_a_zone_that_the_list_leaves_out_for_a_moment_is_back_at_once() -> None:
    play = Play(EAST, WEST)
    play.play(5)
    play.balancer.discovery(play.now, ListForm.FULL, [e for e in listed(EAST, WEST) if e.zone == WEST])
    play.play(1)
    assert play.share(EAST, 0.9) == 0.0  # the list's word counts
    play.balancer.discovery(play.now, ListForm.FULL, listed(EAST, WEST))
    play.play(1)
    assert play.share(EAST, 0.5) > 0.9


def test_a_zone_that_fails_every_ten_seconds_is_not_returned_to_every_ten_seconds() -> None:
    play = Play(EAST, WEST)
    play.play(5)
    began = play.now
    for _ in range(12):
        play.silent = {EAST}
        play.play(5)
        play.silent = set()
        play.play(5)
    left = play.said("zone share reduced")
    waits = [told["seconds"] for told in left]
    assert max(waits) > 8 and max(waits) <= 1.5 * MAX_BACKOFF_US / S
    assert len(left) < 12
    lost = sum(zone == EAST and (at - began) % (10 * S) < 5 * S for at, zone in play.got if at >= began)
    assert lost < 0.1 * 12 * 5 * 100


def test_copies_that_left_together_do_not_return_in_step() -> None:
    moments = []
    for seed in range(40):
        play = Play(EAST, WEST, seed=seed)
        play.play(2, rate=60)
        play.silent = {EAST}
        play.play(4, rate=60)
        play.silent = set()
        while not play.said("zone share raised"):
            play.play(0.25, rate=60)
        moments.append(play.now)
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
def test_what_is_out_in_a_lost_zone_is_never_sent_to_another_where_rule_2_forbids_it(
    grade: Any, answer: str
) -> None:
    play = Play(EAST, WEST, classes=(grade,))
    play.play(3, grade=grade.name)
    play.silent = {EAST}
    play.play(8, grade=grade.name)
    assert play.said("zone share reduced")
    for call, went in play.sent.items():
        if len(went) > 1 and grade is UNSAFE:
            assert all(play.ends[call, i] is not Outcome.TIMEOUT for i in range(len(went) - 1))
        elif any(play.ends[call, i] is Outcome.TIMEOUT for i in range(len(went))):
            assert len({play.zone_of[e] for e in went}) == 1
    unserved = [call for call in play.sent if answer in play.answers(call)]
    assert unserved  # they failed, and said so


def test_a_farther_ring_gets_what_no_nearer_one_can_take_and_a_class_keeps_to_its_reach() -> None:
    regions = {EAST: "coast", WEST: "coast", NORTH: "inland"}
    near = replace(SAFE, name="near", reach=Ring.ZONE)
    home = replace(SAFE, name="home", reach=Ring.REGION)
    play = Play(EAST, WEST, NORTH, regions=regions, classes=(SAFE, near, home))
    play.play(4)
    play.silent = {EAST}
    play.play(6)
    assert play.share(WEST, 3) > 0.95 and play.share(NORTH, 3) < 0.02
    before = len(play.got)
    play.play(2, rate=30, grade="near")
    assert {zone for _, zone in play.got[before:]} <= {EAST}
    play.silent = {EAST, WEST}
    play.play(6, grade="home")
    before = len(play.got)
    play.play(3, rate=30, grade="home")
    assert NORTH not in {zone for _, zone in play.got[before:]}
    play.play(6)
    assert play.share(NORTH, 2) > 0.9  # and the rest has a place to go


def test_an_order_holds_whatever_the_verdict_and_what_it_gives_back_comes_by_steps() -> None:
    play = Play(EAST, WEST)
    play.play(3)
    play.balancer.steer(play.now, {EAST: 0.0}, {})
    play.play(3)
    assert play.share(EAST, 2.9) == 0.0
    play.balancer.steer(play.now, {EAST: 0.5}, {})
    play.play(8)
    assert 0.3 < play.share(EAST, 3) < 0.7
    play.balancer.steer(play.now, {}, {})
    play.play(10)
    assert play.share(EAST, 2) > 0.9
    shares = [told["share"] for told in play.said("zone share raised")]
    assert shares[0] == FIRST_SHARE
    assert all(b <= 2 * a or a == 1.0 for a, b in itertools.pairwise(shares))


def test_a_trial_that_is_turned_away_is_followed_by_another() -> None:
    play = Play(EAST, WEST)
    play.play(3)
    play.silent = {EAST}
    play.play(3)
    play.silent, play.full = set(), {EAST}
    play.play(6)
    play.full = set()
    play.play(12)
    assert play.share(EAST, 2) > 0.9


def test_none_is_left_where_all_fall_silent_in_the_same_moment() -> None:
    zones = Zones(EAST, {}, random.Random(1), Host())
    for i in range(60):
        zones.record(S, (EAST, WEST, NORTH)[i % 3], f"{i % 9}", True)
    _, left = zones.review(3 * S, (EAST, WEST, NORTH), False)
    assert left == []
    assert [zones.share(name) for name in (EAST, WEST, NORTH)] == [1.0] * 3


steps = st.tuples(
    st.integers(1, 800),  # milliseconds until then
    st.sampled_from([EAST, WEST, NORTH]),
    st.integers(0, 3),  # endpoint
    st.booleans(),  # ill
    st.integers(1, 12),  # so many calls
)


@given(st.lists(steps, max_size=80), st.booleans())
def test_whatever_calls_come_to_a_zone_stays_and_shares_rise_by_answers_at_most_twofold(
    story: list[tuple[int, str, int, bool, int]], scarce: bool
) -> None:
    zones = Zones(EAST, {}, random.Random(1), Host())
    now = S
    raised: dict[str, int] = {}
    for wait, zone, endpoint, ill, count in story:
        now += wait * MS
        for _ in range(count):
            zones.record(now, zone, f"{zone}-{endpoint}", ill)
        before = {z.name: (z.share, z.answers) for z in zones.zones.values()}
        zones.last_log = ""
        changed, left = zones.review(now, (EAST, WEST, NORTH), scarce)
        after = {z.name: z.share for z in zones.zones.values()}
        assert changed == any(after[name] != share for name, (share, _) in before.items())
        assert max(zones.share(name) for name in (EAST, WEST, NORTH)) > 0
        assert all(after[name] == 0 for name in left)
        for name, (share, answers) in before.items():
            if after[name] > share and (share or after[name] < 1.0):  # else all zones were found alike
                assert after[name] <= max(2 * share, FIRST_SHARE)
                assert answers > 0 or share >= 0.5
                assert now - raised.get(name, 0) >= GROWTH_US
                raised[name] = now
            assert zones.zones[name].until <= now + 1.5 * MAX_BACKOFF_US


def test_readiness_has_no_word_for_zones() -> None:
    """Rule 3 stays the list's alone: a zone's verdict never makes a draining endpoint ready."""
    play = Play(EAST, WEST)
    drained = [e._replace(readiness=Readiness.DRAINING) for e in listed(EAST)]
    play.balancer.discovery(play.now, ListForm.DELTA, drained)
    play.silent = {WEST}
    play.play(6)
    assert EAST not in {zone for _, zone in play.got}
