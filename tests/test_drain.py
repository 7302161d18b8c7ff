"""A sidecar that stops takes what it can end, refuses the rest, and ends with nothing owed."""

from __future__ import annotations

import pytest

from eiderhub.dataplane.drain import END_MARGIN_S, LEAST_DRAIN_S, QUIET_S, Drain

GRACE_S = 8.0


@pytest.mark.parametrize(
    ("at_s", "most_s", "taken"),
    [
        (0.0, 8.0, True),  # the platform still sends it new connections
        (LEAST_DRAIN_S - 0.1, 8.0, True),
        (LEAST_DRAIN_S + 0.1, 8.0, False),
        (LEAST_DRAIN_S + 0.1, 2.0, True),
        (6.5, 5.0, False),  # found: lagos, day any-hour-9203; cut 0.3 s later, with an endpoint at work
        (6.5, 0.1, True),
        (GRACE_S, 0.0, False),
    ],
)
def test_request_is_taken_if_it_ends_in_time(at_s: float, most_s: float, taken: bool) -> None:
    assert Drain(100.0, GRACE_S).takes(100.0 + at_s, most_s) is taken


def test_whatever_is_taken_late_has_its_time_before_the_end() -> None:
    drain = Drain(0.0, GRACE_S)
    for tenth in range(int(10 * LEAST_DRAIN_S) + 1, int(10 * GRACE_S)):
        now = tenth / 10
        for most_s in (0.5, 2.0, 5.0, 8.0):
            if drain.takes(now, most_s):
                assert not drain.is_over(now + most_s - 0.01, quiet=False, last_request=now)


def test_drain_ends_once_nothing_is_owed_and_no_request_comes() -> None:
    drain = Drain(0.0, GRACE_S)
    assert not drain.is_over(LEAST_DRAIN_S - 0.1, quiet=True, last_request=0.0)
    assert drain.is_over(LEAST_DRAIN_S + 0.1, quiet=True, last_request=0.0)
    assert not drain.is_over(LEAST_DRAIN_S + 0.1, quiet=False, last_request=0.0)
    assert not drain.is_over(LEAST_DRAIN_S + 0.1, quiet=True, last_request=LEAST_DRAIN_S + 0.1 - QUIET_S / 2)
    assert drain.is_over(GRACE_S - END_MARGIN_S, quiet=False, last_request=GRACE_S - END_MARGIN_S)
