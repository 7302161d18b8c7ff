"""Zone failover: rings of zones, evidence of failures, and the share of its calls that each zone gets.

docs/zones-design.md has the table of verdicts, the rules for raising shares again, and the invariants.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Mapping

from eiderhub.interface import Actions, Ring

REVIEW_INTERVAL_US = 250_000
EVIDENCE_DECAY = 0.94  # retained per review: a memory of four seconds, which instances with few calls need
MIN_CALLS = 4.0  # weighted calls needed for a verdict on a zone
IGNORED_SHARE = 1 / 3  # of the endpoints tried, the worst ones: a few bad endpoints are no zone failure
EXCESS = 0.1  # failure share above that of other zones from which a zone counts as degraded
# A run of failures is no chance if its probability, at other zones' failure share and this more, is lower.
MIN_PROBABILITY, EXTRA_SHARE = 1e-8, 0.03
COMMON_FAILURE_SHARE = 0.8  # failure share of other zones from which the cause lies outside of the zone
# Smallest share of a degraded zone, and while others cannot be compared; standard deviations of its failures.
MIN_SHARE, UNCOMPARED_SHARE, SIGMAS = 1 / 16, 7 / 8, 2.5
MIN_SILENCE_US = 750_000  # time without an answer before evacuation; endpoints pause for less
BACKOFF_US, MAX_BACKOFF_US = 1_000_000, 30_000_000  # before a zone gets calls again; doubled per relapse
# Answers to single trial calls until an evacuated zone gets its first share. This is doubled after each
# interval with enough answers: twice the load just served stays below the site's overload factor.
TRIAL_ANSWERS, FIRST_SHARE = 3, 1 / 8
GROWTH_US, GROWTH_ANSWERS = 500_000, 2
RELAPSE_MEMORY_BACKOFFS = 10  # relapses are forgotten after so many times the last backoff at full share


class Zone:
    """Results of calls to one zone, and the share of its calls that it gets."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.counts: dict[str, list[float]] = {}  # by endpoint: calls ended or overdue, failures
        self.streak: dict[str, int] = {}  # failures by endpoint since the last answer
        self.answered_at = self.answers = 0  # time; answers since the share changed
        self.share = self.bound = 1.0  # by verdict; the operators' bound
        self.relapses, self.backoff_us = 0, BACKOFF_US
        self.until = 0  # no trial or growth before
        self.grown_at = 0  # last growth; 0: none since the last cut
        self.trial_pending = False

    def totals(self) -> tuple[float, float]:
        """Calls and failures, without the worst endpoints."""
        rows = sorted(self.counts.values(), key=lambda row: row[1] / row[0])
        rows = rows[: len(rows) - math.ceil(IGNORED_SHARE * len(rows))] if len(rows) > 1 else []
        return sum(row[0] for row in rows), sum(row[1] for row in rows)

    def is_silent(self, now: int, failure_share: float) -> bool:
        """Whether the run of failures is too long and too improbable at this failure share to be chance."""
        wide = 2 * len(self.streak) >= max(4, len(self.counts)) and now - self.answered_at >= MIN_SILENCE_US
        return wide and failure_share ** sum(self.streak.values()) < MIN_PROBABILITY


class Zones:
    """All zones, as one instance sees them."""

    def __init__(
        self, own: str, regions: Mapping[str, str], rng: random.Random, actions: Actions, adapt: bool = True
    ) -> None:
        self.own_zone, self.regions, self.adaptive = own, regions, adapt
        self.rng, self.actions = rng, actions
        self.zones: dict[str, Zone] = {}
        self.any_reduced = False
        self.next_review, self.last_log = 0, ""
        self.ready_zones: Collection[str] = ()

    def ring(self, zone: str) -> Ring:
        if zone == self.own_zone:
            return Ring.ZONE
        # Zones without a stated region form one region.
        return Ring.REGION if self.regions.get(zone) == self.regions.get(self.own_zone) else Ring.WORLD

    def find(self, zone: str) -> Zone:
        return self.zones.get(zone) or self.zones.setdefault(zone, Zone(zone))

    def share(self, zone: str) -> float:
        found = self.zones.get(zone) if self.any_reduced else None
        return min(found.share, found.bound) if found else 1.0

    def set_operator_shares(self, now: int, shares: Mapping[str, float]) -> None:
        """Apply the operators' bounds; a zone without one gets 1."""
        for zone in map(self.find, sorted(self.zones.keys() | shares.keys())):
            before, zone.bound = zone.bound, shares.get(zone.name, 1.0)
            if zone.bound > before:  # raised bounds take effect step by step, too
                zone.share, zone.answers = min(zone.share, before), 0
                zone.until = now + int(GROWTH_US * self.rng.random())
        self._update_any_reduced()

    def _update_any_reduced(self) -> None:
        self.any_reduced = any(min(z.share, z.bound) < 1.0 for z in self.zones.values())

    def record(self, now: int, zone: str, endpoint: str, failed: bool) -> None:
        """Count a call that ended or is overdue. Slow answers are no failures: a full cap diverts calls."""
        z = self.zones.get(zone) or self.find(zone)
        if failed:
            z.streak[endpoint] = z.streak.get(endpoint, 0) + 1
        else:
            if z.streak:
                z.streak.clear()
            z.answered_at = now
            z.answers += 1
        counts = z.counts.get(endpoint) or z.counts.setdefault(endpoint, [0.0, 0.0])
        counts[0] += 1
        counts[1] += failed

    def trial_due(self, now: int) -> Zone | None:
        """An evacuated zone that may get a trial call."""
        zones = (z for z in self.zones.values() if z.bound and not (z.share or z.trial_pending or z.streak))
        return next((z for z in zones if now >= z.until and z.name in self.ready_zones), None)

    def review(self, now: int, ready: Collection[str], overloaded: bool) -> tuple[bool, list[str]]:
        """Update all shares; returns whether one changed, and the zones that were evacuated."""
        self.next_review, self.ready_zones = now + REVIEW_INTERVAL_US, ready
        evidence = {name: self.find(name).totals() for name in sorted({*self.zones, *ready})}
        all_calls, all_failures = (sum(each[i] for each in evidence.values()) for i in (0, 1))
        before, evacuated = [zone.share for zone in self.zones.values()], []
        for name, z in self.zones.items():
            calls, failed = evidence[name]
            other_calls, other_failures = all_calls - calls, all_failures - failed
            comparable = other_calls >= MIN_CALLS
            lost = z.is_silent(now, (other_failures / other_calls if comparable else EXCESS) + EXTRA_SHARE)
            if lost:
                calls = failed = float(sum(z.streak.values()))
            fields: dict[str, str | float] = {"zone": name, "ill": round(failed, 1), "of": round(calls, 1)}
            fields |= {"ill_elsewhere": round(other_failures, 1), "of_elsewhere": round(other_calls, 1)}
            usual = other_failures / other_calls if comparable else 0.0  # failure share
            gray = failed > EXCESS * calls + SIGMAS * math.sqrt(failed) and failed > (usual + EXCESS) * calls
            # Uncompared zones lose only a part. Without room elsewhere, a call that may fail beats a refusal.
            reduce = gray and not overloaded and now >= z.until and (comparable or z.share > UNCOMPARED_SHARE)
            if z.share and self.adaptive and (lost or reduce):
                if not any(min(o.share, o.bound) for o in map(self.find, ready) if o is not z):
                    self._log("all zones fail: the backends fail, or this instance is cut off", fields)
                else:
                    share = z.share / 2 if z.share <= 0.5 else 1 - max(2 * (1 - z.share), MIN_SHARE)
                    evacuated += [name] if lost else []
                    self._reduce(now, z, 0.0 if lost else max(MIN_SHARE, share), fields)
            elif not z.share and comparable and other_failures > COMMON_FAILURE_SHARE * other_calls:
                z.share, z.relapses = 1.0, 0
                self._log("other zones fail as well: the backends fail, or this instance is cut off", fields)
            elif not z.share and z.streak:
                self._reduce(now, z, 0.0, fields)
            elif z.share < 1.0 and now >= z.until and failed <= (usual + EXCESS / 2) * max(calls, MIN_CALLS):
                self._restore(now, z, fields)
            elif z.share == 1.0 and now - z.grown_at >= RELAPSE_MEMORY_BACKOFFS * z.backoff_us:
                z.relapses, z.backoff_us = 0, BACKOFF_US
            # Failures under overload are due to load and are no evidence against the zone.
            retained = () if overloaded else z.counts.items()
            z.counts = {e: [EVIDENCE_DECAY * r[0], EVIDENCE_DECAY * r[1]] for e, r in retained if r[0] >= 0.6}
        self._update_any_reduced()
        return before != [z.share for z in self.zones.values()], evacuated

    def _reduce(self, now: int, zone: Zone, share: float, fields: Mapping[str, str | float]) -> None:
        """Lower the share; each relapse doubles the backoff."""
        zone.backoff_us = min(BACKOFF_US * 2**zone.relapses, MAX_BACKOFF_US) if share < 0.5 else GROWTH_US
        zone.until = now + int(zone.backoff_us * (0.5 + self.rng.random()))
        zone.relapses = min(zone.relapses + (not share or (zone.grown_at > 0 and share < 0.5)), 10)
        zone.share, zone.answers, zone.grown_at, zone.trial_pending = share, 0, 0, False
        if not share:
            zone.counts.clear()
            zone.streak.clear()
        seconds = round((zone.until - now) / 1e6, 1)
        self._log("zone share reduced", {**fields, "share": round(share, 3), "seconds": seconds})

    def _restore(self, now: int, zone: Zone, fields: Mapping[str, str | float]) -> None:
        if zone.answers >= (GROWTH_ANSWERS if zone.share else TRIAL_ANSWERS):
            zone.share, zone.answers, zone.grown_at = min(1.0, 2 * zone.share or FIRST_SHARE), 0, now
            # Jitter: instances that evacuated together must not return in step.
            zone.until = now + int(GROWTH_US * (1 + 0.5 * self.rng.random()))
            self._log("zone share raised", {**fields, "share": round(zone.share, 3)})

    def _log(self, text: str, fields: Mapping[str, str | float]) -> None:
        line = f"{text} {fields['zone']} {fields.get('share')}"
        if line != self.last_log:
            self.actions.write_log(text, **fields)
        self.last_log = line
