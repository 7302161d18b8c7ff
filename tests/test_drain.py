"""A sidecar that stops takes what it can end, refuses the rest, and ends with nothing owed."""

from __future__ import annotations

import pytest

from eiderhub.dataplane.drain import EXIT_MARGIN_S, IDLE_PERIOD_S, MIN_DRAIN_S, Drain

GRACE_S = 8.0


@pytest.mark.parametrize(
    ("at_s", "most_s", "taken"),
    [
        (0.0, 8.0, True),  # the platform still sends it new connections
        (MIN_DRAIN_S - 0.1, 8.0, True),
        (MIN_DRAIN_S + 0.1, 8.0, False),
        (MIN_DRAIN_S + 0.1, 2.0, True),
        (6.5, 5.0, False),  # found: lagos, day any-hour-9203; cut 0.3 s later, with an endpoint at work
        (6.5, 0.1, True),
        (GRACE_S, 0.0, False),
    ],
)
def test_request_is_taken_if_it_ends_in_time(at_s: float, most_s: float, taken: bool) -> None:
    assert Drain(100.0, GRACE_S).takes(100.0 + at_s, most_s) is taken


def test_whatever_is_taken_late_has_its_time_before_the_end() -> None:
    drain = Drain(0.0, GRACE_S)
    for tenth in range(int(10 * MIN_DRAIN_S) + 1, int(10 * GRACE_S)):
        now = tenth / 10
        for most_s in (0.5, 2.0, 5.0, 8.0):
            if drain.takes(now, most_s):
                assert not drain.is_over(now + most_s - 0.01, nothing_pending=False, last_request_at=now)


def test_drain_ends_once_nothing_is_owed_and_no_request_comes() -> None:
    drain = Drain(0.0, GRACE_S)
    assert not drain.is_over(MIN_DRAIN_S - 0.1, nothing_pending=True, last_request_at=0.0)
    assert drain.is_over(MIN_DRAIN_S + 0.1, nothing_pending=True, last_request_at=0.0)
    assert not drain.is_over(MIN_DRAIN_S + 0.1, nothing_pending=False, last_request_at=0.0)
    assert not drain.is_over(
        MIN_DRAIN_S + 0.1, nothing_pending=True, last_request_at=MIN_DRAIN_S + 0.1 - IDLE_PERIOD_S / 2
    )
    assert drain.is_over(
        GRACE_S - EXIT_MARGIN_S, nothing_pending=False, last_request_at=GRACE_S - EXIT_MARGIN_S
    )
