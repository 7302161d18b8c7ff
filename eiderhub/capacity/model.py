"""Resources that a fleet needs, by role, computed from its counts and the measured slopes.

The workload (calls, changes, answers and entries: `Workload`) is computed first, for three moments: calm, the
busiest minute and the worst hour. Slopes then convert it into processor time, bytes and memory. No amount
decreases as the fleet grows, so binary search finds the size from which a budget is exceeded.

The model follows the implementation: one main process handles all writes and renewals, each follower receives
every change, and each watch covers one list. A sidecar that follows several services has one watch for each.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from msgspec import Struct

from eiderhub.capacity.fleet import MAX_COUNT, Fleet
from eiderhub.capacity.slopes import Slopes

DAY_S, HOUR_S, MINUTE_S = 86_400.0, 3600.0, 60.0
US_PER_S = 1e6

# Behaviour of the list service and its clients; `tests/test_capacity.py` compares these constants with the
# implementation's.
RENEW_INTERVAL_FRACTION = 1 / 3  # of the lease, at most, between renewals (registry.client)
MEAN_RENEW_JITTER = 0.9  # mean of the jitter factor of 0.8 to 1 on that interval
MEAN_WAIT_FRACTION = 0.9  # mean of the factor of 0.8 to 1 on a watch's longest wait
FEED_WAIT_S = 1.0  # a follower's feed call without news is answered after this time (registry.follower)
# Minimum interval between notifications of a group of watches, and the interval per watch (registry.watches).
COALESCE_DELAY_US, INTERVAL_PER_WATCH_US = 5_000, 100
MAX_HISTORY_CHANGES = 4096  # changes retained; a follower further behind gets all records (registry.config)
WRITES_PER_REPLACEMENT = 3  # drain, remove, put
WRITES_PER_FAILURE = 2  # lease expiry, put
SLOW_CALL_SHARE = 0.01  # latency is computed for the 99th percentile

CALM, BUSIEST_MINUTE, WORST_HOUR = "calm", "busiest minute", "worst hour"
RELEASE, RACK_LOST, ZONE_LOST, REGION_BACK = "release", "rack lost", "zone lost", "region back"
ZONE_RECONNECTS = "zone reconnects"
SIDECAR, MAIN, FOLLOWER, PATH = "sidecar", "list service, main", "follower", "data path"
CORES, MEMORY, BYTES, MESSAGES = "processor time", "memory", "bytes", "messages"


class Workload(NamedTuple):
    """Counts of operations within a period, at the busiest process of each role."""

    renewals: float = 0.0  # at the main process
    writes: float = 0.0  # at the main process
    feed_changes: float = 0.0  # changes sent by the main process, counted once per follower
    empty_feed_calls: float = 0.0  # feed calls by followers that returned no change
    follower_changes: float = 0.0  # received by one follower
    follower_answers: float = 0.0  # sent by one follower
    follower_entries: float = 0.0  # in those answers
    sidecar_renewals: float = 0.0  # by one sidecar, puts included
    sidecar_answers: float = 0.0  # received by one sidecar
    sidecar_entries: float = 0.0  # in those answers
    decisions_us: float = 0.0  # processor time of one sidecar's decision code, for changes and full lists

    def plus(self, *others: Workload) -> Workload:
        return Workload(*map(sum, zip(self, *others, strict=True)))

    def scaled(self, factor: float) -> Workload:
        return Workload(*(factor * count for count in self))


class Figure(Struct, frozen=True, kw_only=True):
    """One resource of one role. The amount is None for a moment to which it does not apply."""

    role: str
    resource: str
    unit: str
    calm: float | None
    minute: float | None
    event: str  # that causes the minute's maximum; empty: the amount is the same for all events
    hour: float | None
    budget: float | None  # None: no budget is set
    set_by: str  # the budget's key in the fleet file, or what imposes the limit
    breaks_from: int | None  # endpoints; None: holds at every size in the search range

    @property
    def worst(self) -> tuple[float, str]:
        """The largest amount and the moment in which it occurs."""
        amounts_by_moment = ((self.calm, CALM), (self.minute, BUSIEST_MINUTE), (self.hour, WORST_HOUR))
        return max(
            ((amount, name) for amount, name in amounts_by_moment if amount is not None),
            key=lambda entry: entry[0],
        )

    @property
    def holds(self) -> bool | None:
        """Whether the budget is kept; None without a budget."""
        return None if self.budget is None else self.worst[0] <= self.budget


class SlopeUse(Struct, frozen=True, kw_only=True):
    """The largest value of a driver for which the model evaluated a slope, for the given fleet."""

    slope: str
    driver: str
    most: float
    measured: tuple[float, float] | None  # measured range; None: not recorded in the slopes file

    @property
    def extrapolated(self) -> bool:
        return self.measured is None or self.most > self.measured[1]


class Capacity(Struct, frozen=True, kw_only=True):
    """All figures, in the order of the tables."""

    endpoints: int
    looked_at: tuple[int, int]  # search range for `breaks_from`: smallest and largest fleet
    figures: list[Figure]
    used: list[SlopeUse]


class Costs:
    """Evaluates slopes and records the largest driver value used with each."""

    def __init__(self, slopes: Slopes) -> None:
        self.slopes = slopes.slopes
        self.max_driver_values: dict[tuple[str, str], float] = {}

    def unit_cost(self, name: str, **drivers: float) -> float:
        """The cost of one operation with the given driver values."""
        return self.total_cost(name, 1.0, **drivers)

    def record_use(self, name: str, driver: str, value: float) -> None:
        """Record that the slope is used with this driver value, for an operation within a sum."""
        self.max_driver_values[name, driver] = max(self.max_driver_values.get((name, driver), 0.0), value)

    def total_cost(self, name: str, count: float, **driver_sums: float) -> float:
        """The cost of `count` operations, given the sum of each driver over them."""
        slope = self.slopes[name]
        for driver, amount in driver_sums.items():
            if count and driver in slope.per:
                self.record_use(name, driver, amount / count)
        return slope.fixed * count + sum(
            slope.per.get(driver, 0.0) * driver_sums[driver] for driver in driver_sums
        )


class FleetShape:
    """Counts derived from a fleet, with `unavailable_machines` control machines missing in each region."""

    def __init__(self, fleet: Fleet, unavailable_machines: int = 0) -> None:
        self.fleet = fleet
        self.service_classes = fleet.service_classes()
        self.sidecars = float(fleet.endpoints)
        regions, control = fleet.regions, fleet.control
        zones = len(fleet.region_by_zone)
        other_zone_share = (1 - fleet.largest_zone) / (zones - 1) if zones > 1 else 0.0
        # The largest zone is assumed to be in the largest region, and all other zones to be of equal size.
        self.zone_share = fleet.largest_zone
        self.region_share = min(
            1.0, self.zone_share + (max(map(len, regions.values())) - 1) * other_zone_share
        )
        self.region_followers = (control.machines // len(regions) - unavailable_machines) * control.followers
        self.followers = self.region_followers * len(regions)
        # Share of all sidecars at the busiest follower.
        self.follower_share = self.region_share / self.region_followers
        self.follower_sidecars = self.sidecars * self.follower_share
        self.lists_per_sidecar = sum(service_class.followed for service_class in self.service_classes)
        self.follower_watches = self.follower_sidecars * self.lists_per_sidecar
        # Endpoints in all lists that one sidecar follows.
        self.endpoints_per_sidecar = sum(
            service_class.followed * service_class.size for service_class in self.service_classes
        )
        self.largest_class = max(self.service_classes, key=lambda service_class: service_class.size)

    @property
    def changes_per_s(self) -> float:
        """Mean rate of record changes on an ordinary day."""
        fleet, day = self.fleet, self.fleet.day
        released = day.releases * fleet.release.share * self.sidecars / fleet.services
        failed = day.machines_failed * day.endpoints_per_machine
        return (WRITES_PER_REPLACEMENT * (day.replaced + released) + WRITES_PER_FAILURE * failed) / DAY_S


def _notification_rounds(changes: float, watches: float, window_s: float) -> float:
    """Number of notifications to a group of watches: one per change, subject to the minimum interval."""
    return min(
        changes, max(1.0, window_s * US_PER_S / max(COALESCE_DELAY_US, INTERVAL_PER_WATCH_US * watches))
    )


def _batch_decisions_us(costs: Costs, changed: float, size: float) -> float:
    """Processor time to apply several changes from one answer: at most that of one change and a full list."""
    delta = costs.unit_cost("decisions.delta", endpoint=size)
    return min(changed * delta, delta + costs.unit_cost("decisions.whole_list", endpoint=size))


# --- workload ---


def calm_workload(shape: FleetShape, costs: Costs, configuration_factor: float) -> Workload:
    """Workload of one calm second.

    Args:
        configuration_factor: Rate of configuration changes, as a multiple of the day's mean.
    """
    fleet, follow = shape.fleet, shape.fleet.follow
    configured = configuration_factor * fleet.day.configuration / DAY_S
    notified = configured * fleet.day.configuration_reach
    per_endpoint = shape.changes_per_s / shape.sidecars
    changes = shape.changes_per_s + configured
    entries = sum(
        service_class.followed * per_endpoint * service_class.size for service_class in shape.service_classes
    )
    change_answers = sum(
        service_class.followed
        * _notification_rounds(
            per_endpoint * service_class.size, service_class.callers * shape.follower_share, 1.0
        )
        for service_class in shape.service_classes
    )
    # Watches whose wait ends without a change.
    expired_watches = shape.lists_per_sidecar / (follow.watch_wait_s * MEAN_WAIT_FRACTION)
    renewals = 1 / (follow.lease_s * RENEW_INTERVAL_FRACTION * MEAN_RENEW_JITTER)
    decisions_us = sum(
        service_class.followed
        * per_endpoint
        * service_class.size
        * costs.unit_cost("decisions.delta", endpoint=service_class.size)
        for service_class in shape.service_classes
    )
    decisions_us += notified * costs.unit_cost(
        "decisions.delta", endpoint=shape.endpoints_per_sidecar / shape.lists_per_sidecar
    )
    return Workload(
        renewals=shape.sidecars * renewals,
        writes=changes,
        feed_changes=changes * shape.followers,
        empty_feed_calls=shape.followers / FEED_WAIT_S,
        follower_changes=changes,
        follower_answers=shape.follower_sidecars * (change_answers + expired_watches + notified),
        follower_entries=shape.follower_sidecars * (entries + notified),
        sidecar_renewals=renewals,
        sidecar_answers=entries + expired_watches + notified,
        sidecar_entries=entries + notified,
        decisions_us=decisions_us,
    )


def _changed_records(shape: FleetShape, share: float) -> float:
    return share * shape.sidecars


def _simultaneous_changes(shape: FleetShape, costs: Costs, share: float) -> Workload:
    """Workload when a share of every list changes at once, so that each list is sent once."""
    lists = sum(
        service_class.followed * min(1.0, share * service_class.size)
        for service_class in shape.service_classes
    )
    entries = share * shape.endpoints_per_sidecar
    return Workload(
        writes=_changed_records(shape, share),
        feed_changes=_changed_records(shape, share) * shape.followers,
        follower_changes=_changed_records(shape, share),
        follower_answers=shape.follower_sidecars * lists,
        follower_entries=shape.follower_sidecars * entries,
        sidecar_answers=lists,
        sidecar_entries=entries,
        decisions_us=sum(
            service_class.followed
            * _batch_decisions_us(costs, share * service_class.size, service_class.size)
            for service_class in shape.service_classes
        ),
    )


def _staggered_changes(shape: FleetShape, costs: Costs, share: float) -> Workload:
    """Workload when a share of every list is put, spread over a third of a lease."""
    window_s = shape.fleet.follow.lease_s * RENEW_INTERVAL_FRACTION
    notifications = sum(
        service_class.followed
        * _notification_rounds(
            share * service_class.size, service_class.callers * shape.follower_share, window_s
        )
        for service_class in shape.service_classes
    )
    entries = share * shape.endpoints_per_sidecar
    return Workload(
        writes=_changed_records(shape, share),
        feed_changes=_changed_records(shape, share) * shape.followers,
        follower_changes=_changed_records(shape, share),
        follower_answers=shape.follower_sidecars * notifications,
        follower_entries=shape.follower_sidecars * entries,
        sidecar_answers=entries,  # upper bound: each change arrives in an answer of its own
        sidecar_entries=entries,
        decisions_us=sum(
            service_class.followed
            * share
            * service_class.size
            * costs.unit_cost("decisions.delta", endpoint=service_class.size)
            for service_class in shape.service_classes
        ),
    )


def _release(shape: FleetShape, costs: Costs, seconds: float) -> Workload:
    release, service_class = shape.fleet.release, shape.largest_class
    progress = min(1.0, seconds / release.seconds)
    changes = WRITES_PER_REPLACEMENT * release.share * service_class.size * progress
    notified = service_class.callers * shape.follower_share
    return Workload(
        writes=changes,
        feed_changes=changes * shape.followers,
        follower_changes=changes,
        follower_answers=notified * _notification_rounds(changes, notified, min(seconds, release.seconds)),
        follower_entries=notified * changes,
        sidecar_answers=changes,
        sidecar_entries=changes,
        decisions_us=changes * costs.unit_cost("decisions.delta", endpoint=service_class.size),
    )


def _zone_lost(shape: FleetShape, costs: Costs, seconds: float) -> Workload:
    return _simultaneous_changes(shape, costs, shape.zone_share)


def _region_back(shape: FleetShape, costs: Costs, seconds: float) -> Workload:
    """Workload when the largest region, which has the busiest follower, reconnects after its leases expired.

    Its followers receive the expiries, and all of its sidecars register again.
    """
    fleet = shape.fleet
    lost = _changed_records(shape, shape.region_share)
    configured = fleet.day.configuration / DAY_S
    missed = lost + (shape.changes_per_s + configured) * fleet.year.region_cut_s
    if missed > MAX_HISTORY_CHANGES:
        missed = max(missed, shape.sidecars)  # all records are sent
    expiry = _simultaneous_changes(shape, costs, shape.region_share)._replace(
        writes=0.0, feed_changes=missed * shape.region_followers, follower_changes=missed
    )
    # Each sidecar's renewal is refused and followed by a put.
    refused_renewals = Workload(renewals=lost, sidecar_renewals=2.0)
    return expiry.plus(refused_renewals, _staggered_changes(shape, costs, shape.region_share))


def _zone_reconnects(shape: FleetShape, costs: Costs, seconds: float) -> Workload:
    """Workload when all sidecars of a zone start at once: each requests all of its lists and registers."""
    starting = _changed_records(shape, shape.zone_share) / shape.region_followers
    for name in ("sidecar.answer", "sidecar.answer_bytes", "follower.answer"):
        costs.record_use(name, "entry", shape.largest_class.size)
    whole_lists = Workload(
        follower_answers=starting * shape.lists_per_sidecar,
        follower_entries=starting * shape.endpoints_per_sidecar,
        sidecar_renewals=1.0,
        sidecar_answers=shape.lists_per_sidecar,
        sidecar_entries=shape.endpoints_per_sidecar,
        decisions_us=sum(
            service_class.followed * costs.unit_cost("decisions.whole_list", endpoint=service_class.size)
            for service_class in shape.service_classes
        ),
    )
    return whole_lists.plus(_staggered_changes(shape, costs, shape.zone_share))


def _rack_lost(shape: FleetShape, costs: Costs, seconds: float) -> Workload:
    return _simultaneous_changes(shape, costs, shape.fleet.year.endpoints_per_rack / shape.sidecars)


EventWorkload = Callable[[FleetShape, Costs, float], Workload]


def event_workloads(fleet: Fleet) -> dict[str, EventWorkload]:
    """Workload functions of the events that occur in this fleet, by name.

    The function's last argument is the length of the period in seconds, counted from the start of the event.
    """
    year = fleet.year
    occurrences: list[tuple[str, EventWorkload, int]] = [
        (RELEASE, _release, 1),
        (RACK_LOST, _rack_lost, year.racks_lost and year.endpoints_per_rack),
        (ZONE_LOST, _zone_lost, year.zones_lost),
        (REGION_BACK, _region_back, year.regions_cut),
        (ZONE_RECONNECTS, _zone_reconnects, 1),
    ]
    return {name: workload for name, workload, count in occurrences if count}


def _longest_decision_us(shape: FleetShape, costs: Costs, event: str) -> float:
    """The longest uninterrupted decision run that may delay a call."""
    size = shape.largest_class.size
    if event in (ZONE_LOST, REGION_BACK):
        share = shape.zone_share if event == ZONE_LOST else shape.region_share
        return max(
            _batch_decisions_us(costs, max(1.0, share * size), size),
            costs.unit_cost("decisions.delta", endpoint=size),
        )
    delta = costs.unit_cost("decisions.delta", endpoint=size)
    return (
        max(delta, costs.unit_cost("decisions.whole_list", endpoint=size))
        if event == ZONE_RECONNECTS
        else delta
    )


# --- resource amounts ---

Amounts = dict[tuple[str, str], float]


def resource_amounts(
    shape: FleetShape, costs: Costs, workload: Workload, seconds: float, event: str
) -> Amounts:
    """Amounts by role and resource, for a workload spread over a period.

    Args:
        event: The rare event in the period; empty if none.
    """
    fleet = shape.fleet
    result: Amounts = {}
    rate = workload.scaled(1 / seconds)
    connections = shape.sidecars + shape.followers

    decisions_us = rate.decisions_us + costs.total_cost(
        "sidecar.answer", rate.sidecar_answers, entry=rate.sidecar_entries
    )
    timers_us = sum(
        service_class.followed * costs.unit_cost("decisions.timers", endpoint=service_class.size)
        for service_class in shape.service_classes
    )
    renewing_us = costs.total_cost("sidecar.renewal", rate.sidecar_renewals)
    result[SIDECAR, CORES] = (
        costs.unit_cost("sidecar.idle") + timers_us + decisions_us + renewing_us
    ) / US_PER_S
    result[SIDECAR, MEMORY] = costs.unit_cost("sidecar.memory", endpoint=shape.endpoints_per_sidecar)
    result[SIDECAR, BYTES] = costs.total_cost(
        "sidecar.answer_bytes", rate.sidecar_answers, entry=rate.sidecar_entries
    ) + costs.total_cost("sidecar.renewal_bytes", rate.sidecar_renewals)
    result[SIDECAR, MESSAGES] = rate.sidecar_answers + rate.sidecar_renewals
    result[SIDECAR, "lists"] = shape.lists_per_sidecar
    result[SIDECAR, "endpoints known"] = shape.endpoints_per_sidecar
    result[SIDECAR, "connections for control"] = shape.lists_per_sidecar + 1

    feeding_us = costs.total_cost("main.feed", rate.feed_changes + rate.empty_feed_calls)
    # Each write checks all leases, so its slope may depend on the number of records.
    writing_us = costs.total_cost("main.write", rate.writes, record=rate.writes * shape.sidecars)
    renewals_us = costs.total_cost("main.renewal", rate.renewals)
    idle_us = costs.unit_cost("main.idle", record=shape.sidecars)
    result[MAIN, CORES] = (idle_us + writing_us + renewals_us + feeding_us) / US_PER_S
    result[MAIN, MEMORY] = costs.unit_cost("main.memory", record=shape.sidecars, connection=connections)
    feed_bytes = costs.total_cost("main.feed_bytes", rate.feed_changes + rate.empty_feed_calls)
    result[MAIN, BYTES] = feed_bytes + costs.total_cost("sidecar.renewal_bytes", rate.renewals + rate.writes)
    result[MAIN, MESSAGES] = rate.renewals + rate.writes + rate.feed_changes + rate.empty_feed_calls
    result[MAIN, "records"] = shape.sidecars
    result[MAIN, "connections"] = connections

    changes_us = costs.total_cost("follower.change", rate.follower_changes)
    answers_us = costs.total_cost("follower.answer", rate.follower_answers, entry=rate.follower_entries)
    result[FOLLOWER, CORES] = (costs.unit_cost("follower.idle") + changes_us + answers_us) / US_PER_S
    result[FOLLOWER, MEMORY] = costs.unit_cost(
        "follower.memory", record=shape.sidecars, connection=shape.follower_watches
    )
    result[FOLLOWER, BYTES] = costs.total_cost(
        "sidecar.answer_bytes", rate.follower_answers, entry=rate.follower_entries
    ) + costs.total_cost("main.feed_bytes", rate.follower_changes + 1 / FEED_WAIT_S)
    result[FOLLOWER, MESSAGES] = rate.follower_answers + rate.follower_changes + 1 / FEED_WAIT_S
    result[FOLLOWER, "records"] = shape.sidecars
    result[FOLLOWER, "connections"] = result[FOLLOWER, "watches"] = shape.follower_watches

    # Work beyond the capacity of one core is left as a backlog at the end of the period.
    backlog_s = sum(max(0.0, result[role, CORES] - 1) * seconds for role in (MAIN, FOLLOWER))
    sidecars_notified = shape.follower_sidecars
    # The group may have been notified just before, and then has to wait for the interval.
    pause_s = INTERVAL_PER_WATCH_US * sidecars_notified / US_PER_S if event else 0.0
    for name, slope in (("half of them", "p50"), ("99 in 100", "p99"), ("the last", "last")):
        spread_s = costs.unit_cost(f"spread.{slope}", watcher=sidecars_notified) / 1e3
        result[FOLLOWER, f"until in force at {name}"] = spread_s + pause_s + backlog_s
    if event:
        result[FOLLOWER, "until all have asked again"] = (
            costs.unit_cost("return.last", watcher=shape.follower_watches) / 1e3
        )

    calls = fleet.calls_per_s / shape.sidecars * (fleet.busiest if event else 1.0)
    list_length_us = costs.slopes["decisions.order"].per.get("endpoint", 0.0) * shape.largest_class.size
    result[PATH, CORES] = calls * (costs.unit_cost("path.call") + list_length_us) / US_PER_S
    result[PATH, MESSAGES] = calls
    decision_share = min(1.0, decisions_us / US_PER_S)
    wait_us = (
        _longest_decision_us(shape, costs, event) * max(0.0, 1 - SLOW_CALL_SHARE / decision_share)
        if decision_share
        else 0.0
    )
    result[PATH, "added to a call, 99 in 100"] = costs.unit_cost("path.added_p99") + wait_us / 1e3
    result[PATH, "added along the deepest chain"] = fleet.depth * result[PATH, "added to a call, 99 in 100"]
    result[PATH, "tries at the bottom, all levels retrying"] = (1 + fleet.retries) ** fleet.depth
    result[PATH, "callers of a service"] = max(
        service_class.callers for service_class in shape.service_classes
    )
    return result


class Moments(NamedTuple):
    """Amounts in the three moments.

    For the busiest minute: the maximum over events, and the event that causes it (empty: the same for all).
    """

    calm: Amounts
    minute: dict[tuple[str, str], tuple[float, str]]
    hour: Amounts


CUT_REGION_DELAY = (FOLLOWER, "until in force in a region that was cut")


def moments(fleet: Fleet, costs: Costs) -> Moments:
    """Compute the amounts of a fleet in the three moments."""
    shape = FleetShape(fleet)
    # Computed for an hour, since a process that is overloaded even when calm builds up a backlog over time.
    calm = resource_amounts(shape, costs, calm_workload(shape, costs, 1.0).scaled(HOUR_S), HOUR_S, "")
    minute_workload = calm_workload(shape, costs, fleet.day.configuration_peak).scaled(MINUTE_S)
    events = event_workloads(fleet)
    by_event = {
        event: resource_amounts(
            shape, costs, minute_workload.plus(workload_of(shape, costs, MINUTE_S)), MINUTE_S, event
        )
        for event, workload_of in events.items()
    }
    minute: dict[tuple[str, str], tuple[float, str]] = {}
    for key in by_event[RELEASE]:
        event = max(by_event, key=lambda event: by_event[event][key])
        same_for_all = min(found[key] for found in by_event.values()) == by_event[event][key]
        minute[key] = by_event[event][key], "" if same_for_all else event
    reduced_shape = FleetShape(fleet, fleet.control.away)
    workload = calm_workload(reduced_shape, costs, 1.0).scaled(HOUR_S)
    workload = workload.plus(*(workload_of(reduced_shape, costs, HOUR_S) for workload_of in events.values()))
    hour: Amounts = {}
    for event in events:
        for key, amount in resource_amounts(reduced_shape, costs, workload, HOUR_S, event).items():
            hour[key] = max(amount, hour.get(key, 0.0))
    if fleet.year.regions_cut:
        hour[CUT_REGION_DELAY] = fleet.year.region_cut_s + hour[FOLLOWER, "until in force at the last"]
        hour[MAIN, "a region cut off from it, in a year"] = fleet.year.regions_cut * fleet.year.region_cut_s
    return Moments(calm, minute, hour)


# --- comparison with budgets ---

UNITS = {CORES: "cores", MEMORY: "MB", BYTES: "bytes/s", MESSAGES: "calls/s"}


def _resource_unit(resource: str) -> str:
    if resource.startswith(("until", "a region")):
        return "s"
    return "ms" if resource.startswith("added") else UNITS.get(resource, "")


def budgets(fleet: Fleet) -> dict[tuple[str, str], tuple[float, str]]:
    """Budgets by role and resource, each with its key or what imposes the limit."""
    budget, control, limits = fleet.budget, fleet.control, fleet.list_service
    result: dict[tuple[str, str], tuple[float, str]] = {
        (SIDECAR, CORES): (budget.sidecar_cores, "budget.sidecar_cores"),
        (SIDECAR, MEMORY): (budget.sidecar_memory_mb, "budget.sidecar_memory_mb"),
        (SIDECAR, BYTES): (budget.sidecar_bytes_per_s, "budget.sidecar_bytes_per_s"),
        (MAIN, "records"): (limits.records, "list_service.records"),
        (MAIN, "connections"): (limits.callers, "list_service.callers"),
        (FOLLOWER, "records"): (limits.records, "list_service.records"),
        (FOLLOWER, "connections"): (limits.callers, "list_service.callers"),
        (FOLLOWER, "watches"): (limits.watches, "list_service.watches"),
        (FOLLOWER, "until in force at the last"): (budget.in_force_s, "budget.in_force_s"),
        (FOLLOWER, "until all have asked again"): (budget.in_force_s, "budget.in_force_s"),
        CUT_REGION_DELAY: (budget.in_force_s, "budget.in_force_s"),
        (PATH, CORES): (1.0, "one process"),
        (PATH, "added to a call, 99 in 100"): (budget.added_ms, "budget.added_ms"),
    }
    for role in (MAIN, FOLLOWER):
        result[role, CORES] = (1.0, "one process")
        result[role, MEMORY] = (control.memory_mb, "control.memory_mb")
        result[role, BYTES] = (control.bytes_per_s, "control.bytes_per_s")
    return result


def worst_amount(fleet_moments: Moments, key: tuple[str, str]) -> float:
    """The largest amount of the three moments."""
    candidates = (
        fleet_moments.calm.get(key),
        fleet_moments.minute.get(key, (None,))[0],
        fleet_moments.hour.get(key),
    )
    return max(amount for amount in candidates if amount is not None)


def min_endpoints(fleet: Fleet) -> int:
    """The smallest valid number of endpoints: one for each service and zone, and at least one full rack."""
    return max(fleet.services, len(fleet.region_by_zone), fleet.year.endpoints_per_rack)


def first_break(breaks: Callable[[int], bool], low: int, high: int) -> int | None:
    """The smallest size in [low, high] for which `breaks` is true, by binary search.

    `breaks` must stay true for all larger sizes. None: it is false throughout the range.
    """
    if not breaks(high):
        return None
    while low < high:
        midpoint = (low + high) // 2
        if breaks(midpoint):
            high = midpoint
        else:
            low = midpoint + 1
    return low


def compute_capacity(fleet: Fleet, slopes: Slopes) -> Capacity:
    """Compute all figures of a fleet, each with its budget and the size from which it is exceeded."""
    costs = Costs(slopes)
    current_moments = moments(fleet, costs)
    slope_uses = [
        SlopeUse(slope=name, driver=driver, most=most, measured=costs.slopes[name].sizes.get(driver))
        for (name, driver), most in sorted(costs.max_driver_values.items())
    ]
    low, high = min_endpoints(fleet), min(MAX_COUNT, 100 * fleet.endpoints)
    moments_by_size: dict[int, Moments] = {fleet.endpoints: current_moments}

    def moments_at(endpoints: int) -> Moments:
        if endpoints not in moments_by_size:
            moments_by_size[endpoints] = moments(fleet.scaled_to(endpoints), costs)
        return moments_by_size[endpoints]

    def exceeds(key: tuple[str, str], budget: float, endpoints: int) -> bool:
        return worst_amount(moments_at(endpoints), key) > budget

    budgets_by_key = budgets(fleet)
    figures: list[Figure] = []
    for key in _sorted_by_role([*current_moments.calm, *current_moments.minute, *current_moments.hour]):
        budget, set_by = budgets_by_key.get(key, (None, ""))
        breaks_from = None
        if budget is not None:
            breaks_from = first_break(partial(exceeds, key, budget), low, high)
        minute, event = current_moments.minute.get(key, (None, ""))
        figures.append(
            Figure(
                role=key[0],
                resource=key[1],
                unit=_resource_unit(key[1]),
                calm=current_moments.calm.get(key),
                minute=minute,
                event=event,
                hour=current_moments.hour.get(key),
                budget=budget,
                set_by=set_by,
                breaks_from=breaks_from,
            )
        )
    return Capacity(endpoints=fleet.endpoints, looked_at=(low, high), figures=figures, used=slope_uses)


def _sorted_by_role(keys: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """The distinct keys, sorted by role."""
    roles = (SIDECAR, MAIN, FOLLOWER, PATH)
    return sorted(dict.fromkeys(keys), key=lambda key: roles.index(key[0]))
