"""A draining sidecar accepts requests that it can finish, refuses the others, and exits with none pending."""

from __future__ import annotations

import pytest

from eiderhub.dataplane.drain import EXIT_MARGIN_S, IDLE_PERIOD_S, MIN_DRAIN_S, Drain

GRACE_S = 8.0


@pytest.mark.parametrize(
    ("at_s", "max_duration_s", "accepted"),
    [
        (0.0, 8.0, True),  # the platform still sends new connections
        (MIN_DRAIN_S - 0.1, 8.0, True),
        (MIN_DRAIN_S + 0.1, 8.0, False),
        (MIN_DRAIN_S + 0.1, 2.0, True),
        # If accepted, it would be cut off 0.3 s later at an endpoint (seen on lagos, day any-hour-9203).
        (6.5, 5.0, False),
        (6.5, 0.1, True),
        (GRACE_S, 0.0, False),
    ],
)
def test_request_is_accepted_if_it_can_finish_in_time(
    at_s: float, max_duration_s: float, accepted: bool
) -> None:
    assert Drain(100.0, GRACE_S).accepts(100.0 + at_s, max_duration_s) is accepted


def test_drain_does_not_end_before_an_accepted_request_finishes() -> None:
    drain = Drain(0.0, GRACE_S)
    for tenth in range(int(10 * MIN_DRAIN_S) + 1, int(10 * GRACE_S)):
        now = tenth / 10
        for max_duration_s in (0.5, 2.0, 5.0, 8.0):
            if drain.accepts(now, max_duration_s):
                assert not drain.is_over(
                    now + max_duration_s - 0.01, nothing_pending=False, last_request_at=now
                )


def test_drain_ends_once_nothing_is_pending_and_no_request_arrives() -> None:
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
