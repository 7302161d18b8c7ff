"""Description of the fleet to be sized, as read from `deploy/fleet.toml`: counts, skew, rates and budgets."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, NamedTuple

from msgspec import Meta, Struct, structs

MAX_COUNT = 10_000_000
Count = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
CountOrZero = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Share = Annotated[float, Meta(gt=0, le=1)]
Seconds = Annotated[float, Meta(gt=0, le=1e6)]
Amount = Annotated[float, Meta(gt=0, le=1e12)]
Multiple = Annotated[float, Meta(ge=1, le=1e6)]
Name = Annotated[str, Meta(pattern="^[!-~]{1,64}$", description="a name of 1 to 64 characters, no spaces")]
SHARE_SUM_TOLERANCE = 1e-6  # shares are written as rounded decimals


class ServiceClass(Struct, frozen=True, kw_only=True):
    """A class of similar services, as its shares of all services, endpoints and followed lists."""

    name: Name
    of_services: Share
    of_endpoints: Share
    of_followed: Share  # of the lists that each sidecar follows


class FollowedLists(Struct, frozen=True, kw_only=True):
    """How a sidecar uses the list service."""

    services: Count  # lists followed, with one watch each
    lease_s: Seconds
    watch_wait_s: Seconds
    calls_per_s: Amount  # limit for all clients together after an outage


class ListServiceLimits(Struct, frozen=True, kw_only=True):
    """Limits of one list service process, as configured."""

    callers: Count  # connections
    watches: Count
    records: Count


class DailyEvents(Struct, frozen=True, kw_only=True):
    """Events of an ordinary day."""

    configuration: CountOrZero
    machines_failed: CountOrZero
    replaced: CountOrZero
    endpoints_per_machine: Amount
    releases: CountOrZero
    configuration_peak: Multiple  # rate of changes in the busiest minute, as a multiple of the mean
    configuration_reach: Share  # share of the sidecars that receive each change


class Release(Struct, frozen=True, kw_only=True):
    """A release of one service of the first class, which replaces its endpoints."""

    share: Share  # of the service's endpoints
    seconds: Seconds


class YearlyEvents(Struct, frozen=True, kw_only=True):
    """Rare events, counted per year."""

    zones_lost: CountOrZero
    regions_cut: CountOrZero
    region_cut_s: Seconds
    racks_lost: CountOrZero
    endpoints_per_rack: CountOrZero


class ControlMachines(Struct, frozen=True, kw_only=True):
    """The machines reserved for the control plane."""

    machines: Count
    cores: Count  # per machine
    memory_mb: Amount  # per machine
    bytes_per_s: Amount  # link capacity per machine
    followers: Count  # follower processes per machine; one machine also runs the main process
    away: CountOrZero  # machines unavailable in each region in the worst hour


class Budget(Struct, frozen=True, kw_only=True):
    """Limits on what control traffic and processing may use."""

    added_ms: Amount  # added latency of a call, 99th percentile
    in_force_s: Seconds
    sidecar_cores: Amount
    sidecar_memory_mb: Amount
    sidecar_bytes_per_s: Amount  # both directions


class ServiceClassCounts(NamedTuple):
    """Counts of one service class; fractional, so that results grow smoothly with the fleet."""

    name: str
    services: float
    size: float  # endpoints per service
    followed: float  # lists of this class that one sidecar follows
    callers: float  # sidecars that follow each service


class Fleet(Struct, frozen=True, kw_only=True):
    """The contents of `deploy/fleet.toml`."""

    endpoints: Count
    services: Count
    calls_per_s: Amount
    depth: Count
    retries: Annotated[float, Meta(ge=0, le=10)]  # mean retries of a call at each level of the call chain
    busiest: Multiple  # call rate of a busy endpoint, as a multiple of the mean
    largest_zone: Share
    regions: dict[Name, list[Name]]
    sizes: Annotated[list[ServiceClass], Meta(min_length=1, max_length=16)]
    follow: FollowedLists
    list_service: ListServiceLimits
    day: DailyEvents
    release: Release
    year: YearlyEvents
    control: ControlMachines
    budget: Budget

    def __post_init__(self) -> None:
        """Check values against each other.

        Raises:
            ValueError: values are inconsistent; the message begins with the key.
        """
        if not self.regions:
            raise ValueError("regions: empty; list at least one region with the names of its zones")
        region_by_zone: dict[str, str] = {}
        for region, zones in self.regions.items():
            if not zones:
                raise ValueError(f"regions.{region}: has no zones; list its zones, or remove the region")
            for zone in zones:
                if zone in region_by_zone:
                    locations = (
                        f"{region_by_zone[zone]} and in {region}"
                        if region_by_zone[zone] != region
                        else f"{region} twice"
                    )
                    raise ValueError(f"regions.{region}: zone {zone} is listed in {locations}; remove one")
                region_by_zone[zone] = region
        if len(region_by_zone) > self.endpoints:
            reason = (
                f"{len(region_by_zone)} zones for {self.endpoints} endpoints; each zone needs at least one"
            )
            raise ValueError(f"regions: {reason}")
        if self.services > self.endpoints:
            reason = (
                f"{self.services} services for {self.endpoints} endpoints; each service needs at least one"
            )
            raise ValueError(f"services: {reason}")
        if len(self.sizes) > self.services:
            reason = f"{len(self.sizes)} rows for {self.services} services; each row needs at least one"
            raise ValueError(f"sizes: {reason}")
        names = [row.name for row in self.sizes]
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f"sizes: duplicate row name {name}; rename one")
        for key in ("of_services", "of_endpoints", "of_followed"):
            total = sum(getattr(row, key) for row in self.sizes)
            if abs(total - 1) > SHARE_SUM_TOLERANCE:
                raise ValueError(f"sizes: the shares {key} add up to {total:g}; they must add up to 1")
        if self.follow.services > self.services:
            reason = f"{self.follow.services} lists followed, but there are only {self.services} services"
            raise ValueError(f"follow.services: {reason}; must be at most that")
        if self.largest_zone * len(region_by_zone) < 1 - SHARE_SUM_TOLERANCE:
            minimum = f"{1 / len(region_by_zone):.3g}"
            raise ValueError(
                f"largest_zone: {len(region_by_zone)} zones can't all be that small; at least {minimum}"
            )
        machines_per_region = self.control.machines // len(self.regions)
        if not machines_per_region:
            reason = (
                f"{self.control.machines} for {len(self.regions)} regions; each region needs at least one"
            )
            raise ValueError(f"control.machines: {reason}")
        if self.control.away >= machines_per_region:
            raise ValueError(
                f"control.away: a region has {machines_per_region} control machines; "
                f"must be at most {machines_per_region - 1}"
            )
        if self.year.endpoints_per_rack > self.endpoints:
            reason = f"more than the {self.endpoints} endpoints of the fleet; must be at most that"
            raise ValueError(f"year.endpoints_per_rack: {reason}")

    # --- regions and zones ---

    def zone_names(self) -> list[str]:
        """All zones, in the order of the file."""
        return [zone for zones in self.regions.values() for zone in zones]

    @property
    def region_by_zone(self) -> dict[str, str]:
        """Region by zone."""
        return {zone: region for region, zones in self.regions.items() for zone in zones}

    # --- distribution of endpoints and followed lists over services ---

    def service_sizes(self) -> list[int]:
        """Number of endpoints of each service, in descending order.

        The sizes add up to `endpoints`, and each is at least 1.
        """
        return [size for size, _ in self._sizes_and_callers()]

    def caller_counts(self) -> list[int]:
        """Number of sidecars that follow each service's list, in the order of `service_sizes`.

        The counts add up to `endpoints` times `follow.services`, and each is at most `endpoints`.
        """
        return [callers for _, callers in self._sizes_and_callers()]

    def _sizes_and_callers(self) -> list[tuple[int, int]]:
        counts = self._services_per_class()
        sizes = apportion(self.endpoints, [row.of_endpoints for row in self.sizes], counts, None)
        max_callers = [count * self.endpoints for count in counts]
        shares = [row.of_followed for row in self.sizes]
        followed = apportion(self.endpoints * self.follow.services, shares, None, max_callers)
        services: list[tuple[int, int]] = []
        for count, endpoints, callers in zip(counts, sizes, followed, strict=True):
            services += zip(_split_evenly(endpoints, count), _split_evenly(callers, count), strict=True)
        return sorted(services, key=lambda service: service[0], reverse=True)

    def _services_per_class(self) -> list[int]:
        shares = [row.of_services for row in self.sizes]
        return apportion(self.services, shares, [1] * len(shares), None)

    def service_classes(self) -> list[ServiceClassCounts]:
        """Counts of each service class, in the order of the file."""
        counts = self._services_per_class()
        sizes = proportional(self.endpoints, [row.of_endpoints for row in self.sizes], counts, None)
        shares = [row.of_followed for row in self.sizes]
        followed = proportional(self.follow.services, shares, None, counts)
        return [
            ServiceClassCounts(row.name, count, size / count, lists, lists * self.endpoints / count)
            for row, count, size, lists in zip(self.sizes, counts, sizes, followed, strict=True)
        ]

    # --- scaling ---

    def scaled_to(self, endpoints: int) -> Fleet:
        """This fleet with another number of endpoints.

        Calls and daily changes scale in proportion; services, regions and control machines stay the same.

        Raises:
            ValueError: there are fewer endpoints than services, zones or endpoints in a rack.
        """
        factor = endpoints / self.endpoints
        day = structs.replace(
            self.day,
            configuration=round(self.day.configuration * factor),
            machines_failed=round(self.day.machines_failed * factor),
            replaced=round(self.day.replaced * factor),
        )
        return structs.replace(self, endpoints=endpoints, calls_per_s=self.calls_per_s * factor, day=day)


def proportional(
    total: float,
    weights: Sequence[float],
    lower_bounds: Sequence[float] | None,
    upper_bounds: Sequence[float] | None,
) -> list[float]:
    """Divide the total in proportion to the weights, with each part kept within its bounds.

    What a bounded part cannot take, or takes beyond its weight, is balanced by the other parts. The total
    must lie between the sums of the lower and upper bounds.
    """
    low = list(lower_bounds or [0.0] * len(weights))
    high = list(upper_bounds or [float(total)] * len(weights))

    def parts(level: float) -> list[float]:
        bounded = zip(weights, low, high, strict=True)
        return [min(max(level * weight, lower), upper) for weight, lower, upper in bounded]

    low_level, high_level = 0.0, (total + 1.0) / min(weights)
    for _ in range(200):  # more halvings than the precision of a float needs
        mid_level = (low_level + high_level) / 2
        if sum(parts(mid_level)) < total:
            low_level = mid_level
        else:
            high_level = mid_level
    return parts(high_level)


def apportion(
    total: int,
    weights: Sequence[float],
    lower_bounds: Sequence[int] | None,
    upper_bounds: Sequence[int] | None,
) -> list[int]:
    """Like `proportional`, but in whole numbers with the same total, by the largest-remainder method."""
    exact = proportional(total, weights, lower_bounds, upper_bounds)
    parts = [int(part + 1e-9) for part in exact]
    by_remainder = sorted(range(len(exact)), key=lambda i: exact[i] - parts[i], reverse=True)
    remaining = total - sum(parts)
    while remaining:
        before = remaining
        for i in by_remainder:
            if remaining and (upper_bounds is None or parts[i] < upper_bounds[i]):
                parts[i] += 1
                remaining -= 1
        assert remaining < before, "the bounds can't hold the total"
    return parts


def _split_evenly(total: int, parts: int) -> list[int]:
    each, remainder = divmod(total, parts)
    return [each + 1] * remainder + [each] * (parts - remainder)
