"""The balancer: admission, concurrency limit, endpoint selection, hedges, ejection and slow start."""

from __future__ import annotations

from dataclasses import replace

import pytest

from eiderhub.balancer import (
    COLD_SHARE,
    EJECT_SHARE,
    INITIAL_CALLS,
    SOJOURN_INTERVAL_US,
    ConcurrencyLimit,
    TokenBuckets,
)
from eiderhub.interface import Goal, Limits, ListForm, Outcome, Prices, Readiness, Rules, Tenant
from tests.support import MS, SAFE, UNSAFE, Host, S, endpoints, settings


def fill_until_held(host: Host, count: int) -> list[str]:
    """Send calls of the small tenant until `count` of them are held."""
    held: list[str] = []
    for _ in range(500):
        call = host.order()
        if not host.sends(call) and not host.final_answers(call):
            held.append(call)
        if len(held) == count:
            return held
    raise AssertionError("nothing is held")


def test_long_sojourn_refuses_arrivals_but_an_empty_queue_does_not() -> None:
    """Refusal must end with the queue: an empty one used to refuse for good, as no call could end it."""
    host = Host(entries=endpoints(4))
    fill_until_held(host, 2)
    host.advance(120 * MS + SOJOURN_INTERVAL_US + 25 * MS)
    refused = host.order()
    assert host.final_answers(refused) == ["shed"]
    for call in list(host.sent):
        host.reply(call, Outcome.OK)
    host.advance(S)
    for call in list(host.sent)[-2:]:
        host.reply(call, Outcome.OK)
    assert host.sends(host.order())


def test_costly_spill_waits_first_and_never_happens_below_its_price() -> None:
    """Crossings used to cost a third of the worth although the own zone had room soon after."""
    both = endpoints(4) + endpoints(4, zone="west", start=4)
    host = Host(settings(prices=Prices(cross_zone=0.2)), both)
    call = fill_until_held(host, 1)[0]
    west = {e.id for e in both[4:]}
    assert not west & {d[2] for d in host.sends()}
    host.advance(200 * MS)
    assert host.sends(call)[0][2] in west
    dear = Host(settings(prices=Prices(cross_zone=0.6)), both)
    call = fill_until_held(dear, 1)[0]
    dear.advance(S)
    assert dear.final_answers(call) == ["shed"]
    assert not west & {d[2] for d in dear.sends()}


def test_cheap_class_spills_if_the_goal_weights_classes_alike() -> None:
    """A zone with half the clients used to refuse its cheap class while other zones were idle."""
    both = endpoints(4) + endpoints(4, zone="west", start=4)
    cheap = replace(SAFE, credit=0.1)
    dear = replace(UNSAFE, name="dear")
    for by_class, spills in ((0.0, False), (0.7, True)):
        goal = Goal(by_worth=1.0 - by_class, by_class=by_class)
        host = Host(settings(classes=(cheap, dear), prices=Prices(cross_zone=0.06), goal=goal), both)
        call = fill_until_held(host, 1)[0]
        host.advance(300 * MS)
        assert bool(host.sends(call)) is spills


def test_cap_ignores_a_few_slow_calls_but_falls_when_most_are_slow() -> None:
    """A few slow endpoints used to pull the cap down to its minimum while the others were idle."""
    for slow_in_ten, falls in ((2, False), (10, True)):
        limit = ConcurrencyLimit(0)
        limit.resize(2.0)
        start = limit.cap
        for i in range(400):
            late = i > 100 and i % 10 < slow_in_ten
            limit.observe(i * 50 * MS, i * 50 * MS - 1, 0.9 if late else 0.1, S)
        assert (limit.cap < start) is falls
        assert limit.cap >= limit.min_cap


def test_cap_uses_only_calls_sent_since_its_last_change() -> None:
    """Late outcomes of calls sent before a cut used to bring the cap down to one call."""
    limit = ConcurrencyLimit(0)
    limit.resize(4.0)
    for _ in range(100):
        limit.observe(10 * S, 9 * S, 0.9, S)
    once = limit.cap
    assert limit.min_cap < once < 6.0 * 4.0
    for _ in range(100):
        limit.observe(11 * S, 9 * S, 0.9, S)
    assert limit.cap == once


def test_baseline_is_not_taken_from_the_fastest_calls() -> None:
    """A median of the fastest calls alone gave one instance half the baseline of the others, and refusals."""
    latencies = [100 * MS + i * 37 % 400 * MS for i in range(300)]
    ends = sorted((i * 10 * MS + latency, i * 10 * MS, latency) for i, latency in enumerate(latencies))
    limit = ConcurrencyLimit(0)
    limit.resize(1.0)
    for since in (10 * S, 20 * S):
        for ended, sent, latency in ends:
            limit.observe(since + ended, since + sent, latency / S, S)
        assert 0.25 < limit.baseline < 0.35
        limit.changed_at = 20 * S  # as after a cut


def test_slow_answers_do_not_shrink_a_stated_quota() -> None:
    """Latency was charged but not granted, so that slow answers refused tenants within their quota."""
    buckets = TokenBuckets(settings(balancers=1), 0, 0)
    small = buckets.find("small")
    now, refused = 0, 0
    for i in range(3000):  # at its quota of 40 per second, each call taking 2 s
        now += 25 * MS
        if now >= buckets.next_refill:
            buckets.refill(now)
        small.last_request_at = now
        if i > 500 and small.tokens < 1.0:
            refused += 1
        small.tokens -= 1.0
        buckets.charge_latency(small, 1.0, 1.0, 2 * S, True)
    assert refused == 0


def test_calls_served_over_the_share_do_not_raise_the_budget() -> None:
    buckets = TokenBuckets(settings(balancers=1), 0, 0)
    big, now = buckets.find("big"), 0
    for paid in (1.0, 0.0):
        for _ in range(2000):
            now += 5 * MS
            big.last_request_at = now
            buckets.charge_latency(big, 1.0, paid, 0, True)
            if now >= buckets.next_refill:
                buckets.refill(now)
        assert (big.refill_per_s > 150) is (paid > 0)


def run_with_down_endpoints(host: Host, down: set[str], calls: int, step_us: int) -> None:
    """Send a call each `step_us`: endpoints that are down refuse connections, the others answer."""
    for _ in range(calls):
        call = host.order()
        host.advance(step_us)
        while host.sends(call) and not host.final_answers(call):
            if host.sent[call][-1] not in down:
                host.reply(call, Outcome.OK)
                break
            host.reply(call, Outcome.CONNECT_FAILED)


def test_endpoints_that_are_down_are_ejected_even_when_they_are_many() -> None:
    """A third of the endpoints refused connections and, looking idle, attracted most of the calls."""
    host = Host(settings(balancers=1), endpoints(12))
    down = {e.id for e in endpoints(4)}
    run_with_down_endpoints(host, down, 600, 10 * MS)
    late = [d[2] for d in host.sends()[-200:]]
    assert sum(e in down for e in late) < 20


def test_failure_of_all_endpoints_leaves_most_in_use() -> None:
    host = Host(settings(balancers=1), endpoints(12))
    for _ in range(600):
        call = host.order("pay")
        host.advance(10 * MS)
        if host.sends(call):
            host.reply(call, Outcome.ERROR)
    out = [e for e in host.balancer.endpoints.values() if e.ejected_until > host.now]
    assert len(out) <= 6


def test_zone_with_all_endpoints_down_is_evacuated_at_once() -> None:
    both = endpoints(2) + endpoints(6, zone="west", start=2)
    host = Host(settings(prices=Prices(cross_zone=0.2)), both)
    east = {e.id for e in both[:2]}
    run_with_down_endpoints(host, east, 100, 20 * MS)
    late = [d[2] for d in host.sends()[-30:]]
    assert sum(e in east for e in late) < 10


def test_calls_that_fail_together_count_as_one_failure() -> None:
    """An endpoint that pauses briefly fails all its calls at once, and used to be ejected for it."""
    host = Host(settings(balancers=1), endpoints(2))
    calls = [host.order("pay") for _ in range(8)]
    host.advance(S)
    for call in calls:
        host.reply(call, Outcome.TIMEOUT, spent=S)
    assert all(e.ejected_until == 0 for e in host.balancer.endpoints.values())


def host_with_latencies(grade: str, layer: int = 0) -> Host:
    host = Host(settings(balancers=1, tiers=2, layer=layer), endpoints(8))
    for _ in range(200):
        call = host.order(grade)
        host.advance(20 * MS)
        host.reply(call, Outcome.OK, spent=20 * MS)
    return host


def test_idempotent_call_is_hedged_when_its_endpoint_pauses() -> None:
    """Endpoints may pause for longer than the aim."""
    host = host_with_latencies("look")
    call = host.order("look")
    host.advance(150 * MS)
    assert len(set(host.sent[call])) == 2
    host.reply(call, Outcome.OK, attempt=1)
    assert ("cancel", call, 0) in host.actions
    host.reply(call, Outcome.CANCELLED, attempt=0, closed=True)
    assert call not in host.balancer.calls
    assert host.final_answers(call) == []


def test_no_hedge_of_unrepeatable_calls_nor_on_inner_layers_nor_under_stress() -> None:
    for grade in ("pay", "hold"):
        host = host_with_latencies(grade)
        call = host.order(grade)
        host.advance(S)
        assert len(host.sent[call]) == 1
    for layer, ratio in ((0, 0.3), (1, 1.0)):
        host = host_with_latencies("look", layer)
        call = host.order("look")
        host.balancer.ratio.value = ratio
        host.advance(S)
        assert len(host.sent[call]) == 1


def test_only_retries_of_possibly_executed_attempts_use_the_budget() -> None:
    """Refused connections used up the retry budget, so that calls others could serve were refused."""
    for outcome, all_retried in ((Outcome.CONNECT_FAILED, True), (Outcome.ERROR, False)):
        host = Host(settings(balancers=1), endpoints(40))
        retried = 0
        for call in [host.order("look") for _ in range(30)]:
            host.reply(call, outcome)
            retried += len(host.sent[call]) == 2
        assert retried == 30 if all_retried else retried < 10


def test_uncongested_instance_may_exceed_its_cap_in_bursts() -> None:
    """Caps of one call at little used instances held and refused calls while all endpoints were idle."""
    for layer, latency, scarcity, excess in (
        (1, 0.05, 0.0, 1.5),
        (0, 0.05, 0.0, 0.4),
        (0, 0.05, 1.0, 0.0),
        (1, 0.9, 0.0, 0.0),
    ):
        limit = ConcurrencyLimit(layer)
        limit.resize(0.2)
        for i in range(60):
            limit.observe(i * 50 * MS, i * 50 * MS - 1, 0.05 if i < 30 else latency, S)
        assert excess <= limit.burst_cap(scarcity) - limit.cap < excess + 1.2


def test_over_share_calls_are_refused_while_calls_within_their_share_find_no_room() -> None:
    """A tenant whose clients retry at once used to take the capacity of the others for good."""
    host = Host(entries=endpoints(4))
    assert host.sends(host.order(tenant="big"))
    fill_until_held(host, 8)  # all from the small tenant, within its share
    for _ in range(60):
        host.order(tenant="big")  # far over its share by now
    while host.balancer.queue.count:
        host.answer_all()
    assert host.balancer.ratio.stress() == 0.0
    assert host.final_answers(host.order(tenant="big")) == ["shed"]
    assert host.sends(host.order(tenant="small"))


def test_attempts_of_a_client_that_gave_up_are_cancelled_if_permitted() -> None:
    """Attempts of clients that gave up early used to fill the endpoints."""
    for may in (True, False):
        host = Host(settings(limits=Limits(may_cancel=may)), endpoints(4))
        call = host.order()
        host.balancer.expired(host.now, call)
        assert (("cancel", call, 0) in host.actions) is may
        host.reply(call, Outcome.CANCELLED, closed=True)
        assert host.balancer.calls == {}


def test_retry_past_its_aim_is_refused_unless_late_answers_have_worth() -> None:
    """Worthless retries took a third of the endpoints' time."""
    for late_share, sent in ((0.0, False), (0.5, True)):
        host = Host(settings(classes=(replace(SAFE, late_share=late_share),)), endpoints(4))
        for _ in range(20):
            host.reply(host.order(expires_in=2 * S), Outcome.OK)
        assert host.sends(host.order(expires_in=2500 * MS))  # a retry 0.5 s after the first try
        late = host.order(expires_in=1800 * MS)  # and one after 1.2 s, the aim being 1 s
        assert bool(host.sends(late)) is sent
        assert bool(host.final_answers(late)) is not sent


def run_with_idle_times(host: Host, calls: int, stale_after_us: int) -> int:
    """Send calls with pauses; connections idle for too long do not answer. Returns how many did not."""
    used: dict[str, int] = {}
    silent = 0
    for i in range(calls):
        host.advance(100 * MS if i % 3 else 900 * MS)
        actions_before = len(host.actions)
        call = host.order("pay", expires_in=5 * S)
        if not host.sends(call):
            continue
        endpoint = host.sent[call][0]
        fresh = ("close_idle", endpoint) in host.actions[actions_before:] or endpoint not in used
        if not fresh and host.now - used[endpoint] > stale_after_us:
            silent += 1
            host.advance(S)
            host.reply(call, Outcome.TIMEOUT, spent=S)
        else:
            host.advance(20 * MS)
            host.reply(call, Outcome.OK, spent=20 * MS)
        used[endpoint] = host.now
    return silent


def test_stale_idle_connections_are_closed_before_use() -> None:
    """Silently dropped idle connections left a third of the calls to the last tier without an answer."""
    host = Host(settings(balancers=1), endpoints(4))
    first, later = run_with_idle_times(host, 60, 700 * MS), run_with_idle_times(host, 300, 700 * MS)
    assert first > 5
    assert later < first * 5 * 0.4


def test_answering_connections_stay_open() -> None:
    host = Host(settings(balancers=1), endpoints(4))
    assert run_with_idle_times(host, 300, 99 * S) == 0
    assert not any(d[0] == "close_idle" for d in host.actions)


def test_other_classes_spare_the_endpoints_of_a_constrained_class() -> None:
    """The endpoints that one class is restricted to were the slowest, as all other classes used them too."""
    listed = [e._replace(kind="fast" if i < 4 else "std") for i, e in enumerate(endpoints(12))]
    constrained = replace(SAFE, name="bound", served_on=frozenset(("fast",)))
    host = Host(settings(classes=(SAFE, constrained), balancers=1), listed)
    free_sends = []
    for i in range(1200):
        call = host.order("bound" if i % 2 else "look")
        host.advance(10 * MS)
        if host.sends(call):
            host.reply(call, Outcome.OK, spent=10 * MS)
            if i % 2 == 0:
                free_sends.append(host.sent[call][0])
    reserved = {e.id for e in listed[:4]}
    assert sum(e in reserved for e in free_sends[300:]) < 0.15 * len(free_sends[300:])


def test_call_with_too_little_time_left_is_refused_at_once() -> None:
    """Work for a try that cannot be answered in time is wasted, and impatient clients retry at once."""
    host = Host(settings(balancers=1), endpoints(4))
    for _ in range(60):
        call = host.order()
        host.advance(400 * MS)
        host.reply(call, Outcome.OK, spent=400 * MS)
    late = Host(settings(classes=(replace(SAFE, late_share=0.5),)), endpoints(4))
    for left in (-5, 0):
        assert host.final_answers(host.order(expires_in=left)) == ["shed"]
        assert late.final_answers(late.order(expires_in=left)) == ["shed"]
    for left in (100 * MS, 500 * MS):
        for _ in range(120):  # until this is the usual timeout, and no sign of a retry
            call = host.order(expires_in=left)
            host.answer_all(spent=400 * MS)
        assert bool(host.sends(call)) is (left == 500 * MS)


def test_fractional_cap_is_rounded_at_random_under_congestion() -> None:
    """Caps rounded up to one call at each of 285 instances kept the first tier congested for good."""
    for slack, most in ((0.0, 60), (1.0, 100)):
        host = Host(settings(balancers=40), endpoints(4))
        at_once = 0
        for _ in range(100):
            host.balancer.placements[0].pools[0].limit.slack = slack
            host.balancer.scarcity = 0.0
            call = host.order()
            at_once += bool(host.sends(call))
            host.advance(S)
            if host.sends(call):
                host.reply(call, Outcome.OK)
        assert most - 40 <= at_once <= most


def test_never_two_attempts_in_flight_where_hedges_are_forbidden() -> None:
    limits = Limits(max_attempts=4, second_copies=False, may_cancel=True)
    host = Host(settings(balancers=1, limits=limits), endpoints(8))
    for _ in range(100):
        call = host.order()
        host.advance(20 * MS)
        host.reply(call, Outcome.OK, spent=20 * MS)
    call = host.order()
    host.advance(S)
    assert len(host.sends(call)) == 1
    host.reply(call, Outcome.ERROR, spent=S)
    host.advance(S)
    assert len(host.sends(call)) <= 2


def test_cap_does_not_follow_the_queueing_that_it_causes() -> None:
    """A baseline that followed queueing let a cap rise from 16 to over 100 within minutes."""
    limit = ConcurrencyLimit(0)
    limit.resize(2.0)
    for i in range(40_000):
        limit.in_flight = int(limit.cap)  # more calls are waiting
        limit.observe(i * S, i * S, 0.2 * max(1.0, limit.cap / 15.0), S)  # above 15 calls: queueing
    assert 15.0 < limit.cap < 30.0


def test_outermost_cap_grows_fast_until_the_first_congestion() -> None:
    """Slow growth after a start had a quarter of the calls refused in the first ten seconds."""

    def growth(layer: int) -> float:
        limit = ConcurrencyLimit(layer)
        limit.resize(1.0)
        at = 0
        while not limit.baseline:  # the first round: the cap binds without congestion
            at += 50 * MS
            limit.in_flight = int(limit.cap)
            limit.observe(at, at - 1, 0.1, S)
        before = limit.cap
        while limit.cap == before:
            at += 50 * MS
            limit.in_flight = int(limit.cap)
            limit.observe(at, at - 1, 0.1, S)
        return limit.cap / before

    assert growth(0) == pytest.approx(1.5)
    assert growth(1) == pytest.approx(1.1)

    limit = ConcurrencyLimit(0)
    limit.resize(1.0)
    for i in range(200):  # latencies rise by half: no cut yet, but no fast growth
        limit.in_flight = int(limit.cap)
        limit.observe(i * 50 * MS, i * 50 * MS - 1, 0.1 if i < 60 else 0.17, S)
        if not limit.fast_growth:
            break
    assert 60 < i < 200


def test_hung_endpoint_is_ejected_although_its_calls_overlap() -> None:
    """Overlapping timeouts counted as one failure, so that a hung endpoint was never ejected."""
    host = Host(settings(balancers=1), endpoints(4))
    hung_endpoint = endpoints(1)[0].id
    out: list[tuple[int, str]] = []
    for _ in range(100):
        host.advance(50 * MS)
        out.append((host.now, host.order("pay", expires_in=5 * S)))
        while host.now - out[0][0] >= 600 * MS:
            call = out.pop(0)[1]
            if call in host.sent:
                hung = host.sent[call] == [hung_endpoint]
                host.reply(call, Outcome.TIMEOUT if hung else Outcome.OK, spent=600 * MS)
    assert any(d[:2] == ("write_log", "ejected") and d[2]["endpoint"] == hung_endpoint for d in host.actions)


def test_hung_endpoint_is_avoided_and_ejected_at_its_first_timeout() -> None:
    """Each instance lost two or more calls to every hung endpoint before it ejected it."""
    host = host_with_latencies("pay")
    first = host.order("pay")
    hung = host.sent[first][0]
    host.advance(500 * MS)
    busy = [host.order("pay") for _ in range(24)]
    assert not any(host.sent[call] == [hung] for call in busy if call in host.sent)
    for call in busy:
        if call in host.sent:
            host.reply(call, Outcome.OK, spent=20 * MS)
    host.advance(1500 * MS)
    host.reply(first, Outcome.TIMEOUT, spent=2 * S)
    assert host.balancer.endpoints[hung].ejected_until > host.now


def test_endpoint_that_rejects_calls_is_backed_off_and_does_not_lower_the_cap() -> None:
    """Instances with a stale list sent two calls in three to a draining endpoint, which looked idle."""
    for outcome in (Outcome.FULL, Outcome.CONNECT_FAILED):
        host = Host(settings(balancers=1, tenants=()), endpoints(3))
        rejecting = endpoints(1)[0].id
        cap = host.balancer.placements[0].pools[0].limit.cap
        for _ in range(300):
            call = host.order("pay", tenant="", expires_in=5 * S)
            while call in host.sent and host.sent[call][-1] == rejecting:
                number = len(host.sent[call])
                host.reply(call, outcome, spent=2 * MS)
                if len(host.sent[call]) == number:
                    break
            host.advance(20 * MS)
            if call in host.balancer.calls:
                host.reply(call, Outcome.OK, spent=20 * MS)
        assert sum(d[2] == rejecting for d in host.sends()) < 15
        assert host.balancer.placements[0].pools[0].limit.cap >= cap
        host.balancer.discovery(host.now, ListForm.FULL, endpoints(3, launched=host.now - 20 * S))
        sent = len(host.sends())
        for _ in range(30):
            call = host.order("pay", tenant="", expires_in=5 * S)
            host.reply(call, Outcome.OK, spent=20 * MS)
        assert any(d[2] == rejecting for d in host.sends()[sent:])  # a new process gets calls at once


def test_timeout_at_an_answering_endpoint_is_one_failure() -> None:
    host = Host(settings(balancers=1), endpoints(1))
    for _ in range(100):
        call = host.order("pay")
        host.advance(20 * MS)
        host.reply(call, Outcome.OK, spent=20 * MS)
    first = host.order("pay")
    for _ in range(40):
        call = host.order("pay")
        host.advance(50 * MS)
        host.reply(call, Outcome.OK, spent=50 * MS)
    host.reply(first, Outcome.TIMEOUT, spent=2 * S)
    assert 0.0 < host.balancer.endpoints[host.sent[first][0]].failing < EJECT_SHARE


def test_attempt_waits_only_while_its_answer_has_worth() -> None:
    """Calls past their aim used to fill the cap, waiting for hung endpoints behind healthy ones."""
    late = replace(UNSAFE, name="late", late_share=0.5)
    host = Host(settings(classes=(SAFE, UNSAFE, late)), endpoints(4))
    call = host.order("pay", expires_in=5 * S)
    assert [d[3] for d in host.sends(call)] == [UNSAFE.aim_us]
    host.advance(UNSAFE.aim_us)
    host.reply(call, Outcome.TIMEOUT, spent=UNSAFE.aim_us)
    assert host.final_answers(call) == ["surrender"]
    assert [d[3] for d in host.sends(host.order("late", expires_in=5 * S))] == [5 * S]


def test_instance_with_few_near_endpoints_uses_far_ones_for_the_rest() -> None:
    """One near endpoint was congested while three in zones without callers were idle."""
    listed = endpoints(1) + endpoints(3, zone="west", start=4)
    host = Host(settings(balancers=2, tenants=()), listed)
    for _ in range(60):
        host.order(tenant="")
    host.advance(100 * MS)
    near = [d for d in host.sends() if d[2] == listed[0].id]
    assert INITIAL_CALLS <= len(near) <= INITIAL_CALLS + 2
    assert INITIAL_CALLS <= len(host.sends()) - len(near) <= INITIAL_CALLS + 2


def test_cold_endpoint_gets_its_permitted_share() -> None:
    """Cold endpoints got hardly any calls while warm ones were overloaded."""
    rules = Rules(cold_us=1000 * S, cold_from=0.4, overload_factor=1.0)
    host = Host(settings(balancers=1, tenants=(), rules=rules), endpoints(2))
    cold = endpoints(1, start=2, launched=host.now)
    host.balancer.discovery(host.now, ListForm.DELTA, cold)
    out: list[str] = []
    for _ in range(2000):
        host.advance(20 * MS)
        out.append(host.order(tenant="", expires_in=3 * S))
        if len(out) > 2:  # few calls in flight, as at an instance of a large fleet
            host.reply(out.pop(0), Outcome.OK, spent=100 * MS)
    share = sum(d[2] == cold[0].id for d in host.sends()) / len(host.sends())
    budget = COLD_SHARE * rules.cold_from  # of an even share
    assert 0.6 * budget / 3 < share < 1.05 * budget / 3


def test_overloaded_endpoint_is_avoided_and_returns_after_a_trial() -> None:
    """Overloaded endpoints that no longer recover by themselves used to get 30 calls per second for good."""
    host = Host(settings(balancers=1, tenants=()), endpoints(3))
    overloaded = endpoints(1)[0].id
    out: list[tuple[int, str]] = []

    def second(down: bool) -> list[str]:
        """One second of 50 calls that take 0.4 of the aim; returns their endpoints."""
        before = len(host.sends())
        for _ in range(50):
            host.advance(20 * MS)
            out.append((host.now, host.order("pay", tenant="", expires_in=5 * S)))
            for at, call in list(out):
                hung = down and host.sent.get(call, [""])[-1] == overloaded
                if host.now - at >= (2000 if hung else 800) * MS:
                    out.remove((at, call))
                    if call in host.balancer.calls and call in host.sent:
                        host.reply(call, Outcome.TIMEOUT if hung else Outcome.OK, spent=host.now - at)
        return [d[2] for d in host.sends()[before:]]

    for _ in range(5):
        assert overloaded in second(down=False)
    for _ in range(5):
        second(down=True)
    # Single trials, evenly spaced.
    assert 5 <= sum(second(down=True).count(overloaded) for _ in range(30)) <= 8
    assert sum(second(down=False).count(overloaded) for _ in range(30)) > 30  # in use again once it answers


def test_caps_follow_the_remaining_capacity_near_and_far() -> None:
    """Instances overloaded the one near endpoint that was left, or refused calls although far ones were idle
    when their own zone returned cold."""
    far = endpoints(6, zone="west", start=6)
    host = Host(settings(balancers=6, tenants=()), endpoints(6) + far)
    near_limit, far_limit = (pool.limit for pool in host.balancer.placements[0].pools[:2])
    near_limit.cap, far_limit.cap = 30.0, 6.0
    gone = [e._replace(readiness=Readiness.DRAINING) for e in endpoints(4)]
    host.balancer.discovery(host.now, ListForm.DELTA, gone)
    assert near_limit.cap == pytest.approx(10.0)
    assert far_limit.cap > 6.0
    host.balancer.discovery(host.now, ListForm.DELTA, endpoints(4, launched=host.now))
    assert 10.0 < near_limit.cap < 16.0  # four cold endpoints count as a fifth of a warm one each
    for _ in range(25):
        host.advance(500 * MS)
        host.answer_all()
        host.order("pay", tenant="")
    assert near_limit.cap == pytest.approx(30.0)
    assert far_limit.cap == pytest.approx(6.0)


def test_state_log_line_counts_unserved_calls_by_reason() -> None:
    """Logs must tell a refusal by the queue from one by an endpoint."""
    host = Host(entries=endpoints(4))
    fill_until_held(host, 2)
    host.advance(120 * MS + SOJOURN_INTERVAL_US + 25 * MS)
    host.order()
    host.advance(6 * S)
    host.order()
    lines = [d[2] for d in host.actions if d[:2] == ("write_log", "state")]
    assert len(lines) == 1
    assert lines[0]["given_up"] == "held too long 2, sojourn 1"
    assert (lines[0]["held"], lines[0]["ratio"]) == (0, 1.0)
    assert "near 4 endpoints, cap 6.0" in lines[0]["pools"]


def test_new_process_takes_over_caps_and_ejections() -> None:
    """At each upgrade the new process used to send a dozen calls to a hung endpoint."""
    first = Host(settings(balancers=1), endpoints(4))
    limit = first.balancer.placements[0].pools[0].limit
    limit.cap, limit.baseline, limit.median = 40.0, 0.1, 0.15
    hung = endpoints(1)[0].id
    for _ in range(30):
        call = first.order("look")
        first.advance(50 * MS)
        outcome = Outcome.TIMEOUT if first.sent[call][-1] == hung else Outcome.OK
        first.reply(call, outcome, spent=50 * MS)
        if hung in first.balancer.hosts_down(first.now):
            break
    assert first.balancer.hosts_down(first.now) == [hung]
    memory = first.balancer.learned_state(first.now)
    assert first.balancer.learned_state(first.now) == memory  # reading changes nothing

    second = Host(settings(balancers=1), endpoints(2))  # two of the endpoints are gone meanwhile
    second.balancer.restore(second.now, memory)
    own = second.balancer.placements[0].pools[0].limit
    assert own.cap == pytest.approx(20.0)
    assert (own.baseline, own.fast_growth) == (limit.baseline, False)
    assert second.balancer.hosts_down(second.now) == [hung]
    calls = [second.order("look") for _ in range(5)]
    assert all(hung not in second.sent[call] for call in calls)

    restarted = [entry._replace(launched_us=5_000_000) for entry in endpoints(2)]
    third = Host(settings(balancers=1), restarted)
    third.balancer.restore(third.now, memory)
    assert third.balancer.hosts_down(third.now) == []


def test_without_tenants_no_call_is_over_its_share() -> None:
    """Without tenants, light stress had two calls in five refused as over their share."""
    for tenants in ((), (Tenant("small", 1.0, 0.0),)):
        host = Host(settings(balancers=1, tenants=tenants), endpoints(20))
        host.balancer.ratio.value, host.balancer.ratio.next_update = 0.5, host.now + 60 * S  # under stress
        calls = []
        for _ in range(60):  # far more than were served in the windows before
            calls.append(host.order("hold", tenant="small" if tenants else ""))
            host.advance(5 * MS)
            host.answer_all(spent=20 * MS)
        refused = any(host.final_answers(call) == ["shed"] for call in calls)
        assert refused is bool(tenants)
