"""The load balancer in front of the sidecars: chooses one for each new connection by readiness probes."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import numpy as np

from eiderhub.world.day import Day, SidecarPlan, draw_value


@dataclass(slots=True)
class _SidecarStatus:
    """The probe results of one front sidecar."""

    plan: SidecarPlan
    ready: bool = False
    unready_since_us: int | None = None  # first negative answer after a positive one
    unanswered_since_us: int | None = None  # first probe without an answer after an answered one


class FrontBalancer:
    """Records the answers to `/up` probes and chooses a sidecar for each new connection.

    It reacts late, as real load balancers do: a sidecar that has become unready or has failed still gets new
    connections for a while.
    """

    def __init__(self, day: Day) -> None:
        spec = day.scenario.front
        rng = day.rng("front")
        self._unready_delay_us = int(spec.after_no_ms * 1000)
        self._failure_delay_us = int(draw_value(rng, spec.notice_s) * 1e6)
        self._rng = rng
        self._redirects: dict[str, str] = {}  # by zone of the clients, the zone whose sidecars they use
        self._statuses = {
            plan.name: _SidecarStatus(plan) for plan in day.sidecar_plans if plan.endpoint_id is None
        }

    def record_answer(self, now_us: int, name: str, ready: bool) -> None:
        """Record the answer of a sidecar to a probe."""
        status = self._statuses[name]
        status.unanswered_since_us = None
        if ready:
            status.ready, status.unready_since_us = True, None
        elif status.ready and status.unready_since_us is None:
            status.unready_since_us = now_us

    def record_no_answer(self, now_us: int, name: str) -> None:
        """Record a probe without connection or answer: a failed sidecar, which is detected with a delay."""
        status = self._statuses[name]
        if status.unanswered_since_us is None:
            status.unanswered_since_us = now_us

    def accepts_connections(self, now_us: int, name: str) -> bool:
        """Return whether new connections are sent to this sidecar."""
        status = self._statuses[name]
        if not status.ready:
            return False
        if status.unready_since_us is not None and now_us - status.unready_since_us >= self._unready_delay_us:
            status.ready, status.unready_since_us = False, None
        if (
            status.unanswered_since_us is not None
            and now_us - status.unanswered_since_us >= self._failure_delay_us
        ):
            status.ready = False
        return status.ready

    def redirect(self, zone: str, target_zone: str | None) -> None:
        """Send clients of a zone to the sidecars of another zone from now on; None ends the redirection."""
        if target_zone is None:
            self._redirects.pop(zone, None)
        else:
            self._redirects[zone] = target_zone

    def choose(self, now_us: int, zone: str, has_idle_connection: Callable[[str], bool]) -> str | None:
        """Choose a sidecar of the zone, or of any zone where that one has none; None: there is none at all.

        `has_idle_connection` returns whether an idle connection to a sidecar is open, which may be used again
        also where no new connections are accepted.
        """
        usable = [
            status.plan
            for name, status in self._statuses.items()
            if self.accepts_connections(now_us, name) or has_idle_connection(name)
        ]
        zone = self._redirects.get(zone, zone)
        in_zone = [plan for plan in usable if plan.zone == zone]
        return _choose_at_random(in_zone or usable, self._rng)


def _choose_at_random(plans: Iterable[SidecarPlan], rng: np.random.Generator) -> str | None:
    candidates = list(plans)
    return candidates[int(rng.integers(len(candidates)))].name if candidates else None
