"""Validation of the interface's settings, minimal deployments, and the handling of discovery and streams."""

from __future__ import annotations

from dataclasses import replace

import pytest

from eiderhub.interface import Discovery, Effect, ListForm, Outcome, RequestClass, Settings
from tests.support import MS, SAFE, Host, S, endpoints, settings


@pytest.mark.parametrize("count", [0, 1])
def test_settings_without_tenants_and_zones_and_at_most_one_endpoint(count: int) -> None:
    host = Host(Settings(classes=(SAFE,)), endpoints(count, zone=""))
    call = host.order(tenant="")
    if count:
        host.advance(10 * MS)
        host.reply(call, Outcome.OK)
    host.advance(3 * S)
    assert host.final_answers(call) == ([] if count else ["shed"])


def test_unknown_tenant_is_served() -> None:
    host = Host(entries=endpoints(4))
    assert host.sends(host.order(tenant="stranger"))


def test_invalid_values_name_their_field() -> None:
    with pytest.raises(ValueError, match="classes"):
        Settings(classes=())
    with pytest.raises(ValueError, match="deadline_us"):
        RequestClass("look", 1, 0, Effect.IDEMPOTENT)
    with pytest.raises(ValueError, match="balancers"):
        replace(settings(), balancers=0)


def test_order_before_start_is_an_error() -> None:
    host = Host(entries=endpoints(1))
    host.balancer.started = False
    with pytest.raises(RuntimeError, match="before start"):
        host.order()


@pytest.mark.parametrize("ask_every_us", [3 * S, 10 * S])
def test_recovered_discovery_is_polled_before_its_changes_count_as_delivered(ask_every_us: int) -> None:
    """Changes count as delivered to a client that has not polled for `ask_every_us`.

    Retries must therefore come more often than that, however long discovery has been failing.
    """
    rules = replace(settings().rules, ask_every_us=ask_every_us)
    host = Host(settings(discovery=Discovery.ASK, rules=rules), endpoints(2))
    for _ in range(20):
        host.balancer.discovery(host.now, ListForm.FAILED, [])
        retry_delay = min(due for due, mark in host.timers if mark == "ask") - host.now
        assert retry_delay <= 0.75 * ask_every_us
        host.advance(retry_delay)


def test_failed_subscription_is_renewed_with_increasing_jittered_delays() -> None:
    first_delays = set()
    for seed in range(5):
        host = Host(settings(discovery=Discovery.ASK), endpoints(2), seed=seed)
        assert host.actions == [("watch", True)]
        host.balancer.discovery(host.now, ListForm.FAILED, [])
        host.balancer.discovery(host.now, ListForm.FAILED, [])
        first_delay = host.timers[0][0] - host.now
        assert len(host.timers) == 1
        host.advance(2 * S)
        assert host.actions.count(("watch", True)) == 2
        host.balancer.discovery(host.now, ListForm.FAILED, [])
        first_delays.add(first_delay)
        assert 250 * MS <= first_delay <= 750 * MS
        assert 500 * MS <= host.timers[0][0] - host.now <= 1500 * MS
    assert len(first_delays) == 5


def test_new_process_with_a_known_id_is_no_longer_ejected() -> None:
    host = Host(settings(balancers=1), endpoints(4))
    ejected = endpoints(4)[0]
    host.balancer.endpoints[ejected.id].ejected_until = host.now + 9 * S
    relaunched = ejected._replace(launched_us=host.now)
    host.balancer.discovery(host.now, ListForm.DELTA, [relaunched])
    assert host.balancer.endpoints[ejected.id].ejected_until == 0


def test_streaming_response_is_not_retried_after_it_has_started() -> None:
    host = Host(settings(classes=(replace(SAFE, streaming=True),)), endpoints(4))
    call = host.order()
    host.balancer.streaming(host.now, call, 0, 1000)
    host.advance(9 * S)
    host.reply(call, Outcome.RESET, closed=True)
    assert len(host.sends(call)) == 1
    assert host.final_answers(call) == []
    assert host.balancer.calls == {}
