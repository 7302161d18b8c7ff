"""Scenarios: structs for the TOML files that describe a day. A day draws a value from each range."""

from __future__ import annotations

import enum
from importlib import resources
from pathlib import Path
from typing import Annotated, Any

from msgspec import Meta, Struct, field

from eiderhub.documents import DocumentError, Fault, convert, load_document, suggest_name
from eiderhub.interface import Effect, Group

PositiveNumber = Annotated[float, Meta(gt=0)]
NonNegativeNumber = Annotated[float, Meta(ge=0)]
Ratio = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9_.-]+$")]
Count = Annotated[int, Meta(ge=1, le=10_000)]
# A value, or the lowest and highest value that a day may draw.
# Not `tuple[X, X]`: msgspec 0.23 reads invalid memory where a tuple of fixed length is in a union with a
# bounded number.
_RANGE = Meta(min_length=2, max_length=2)
PositiveOrRange = PositiveNumber | Annotated[tuple[PositiveNumber, ...], _RANGE]
NonNegativeOrRange = NonNegativeNumber | Annotated[tuple[NonNegativeNumber, ...], _RANGE]
RatioOrRange = Ratio | Annotated[tuple[Ratio, ...], _RANGE]
PositiveRatio = Annotated[float, Meta(gt=0, le=1)]
PositiveRatioOrRange = PositiveRatio | Annotated[tuple[PositiveRatio, ...], _RANGE]

MAX_EXTENDS_DEPTH = 8
SUFFIX = ".toml"


class _CheckedStruct(Struct, kw_only=True, frozen=True):
    """Checks that the lower bound of each range is not above the upper one."""

    def __post_init__(self) -> None:
        for name in self.__struct_fields__:
            value = getattr(self, name)
            if isinstance(value, tuple) and value[0] > value[1]:
                raise ValueError(f"{name}: the range must rise, it is {list(value)}")


class EndpointKind(_CheckedStruct, kw_only=True, frozen=True):
    """The endpoints of a tier that run on machines of one kind."""

    name: Name
    share: PositiveNumber = 1.0  # of the tier's endpoints, in proportion to the other kinds
    cores: Count = 3
    speed: PositiveOrRange = (0.85, 1.1)  # of one core; work is given for a core of speed 1
    slots_per_core: PositiveOrRange = (9.0, 20.0)  # requests processed at a time
    queue_per_core: NonNegativeOrRange = (1.3, 4.0)  # requests that wait for a slot
    crowded_from: PositiveOrRange = (14.0, 37.0)  # requests per core, above which all of them slow down
    crowding: NonNegativeOrRange = (0.12, 0.25)  # relative slowdown for each further `crowded_from` requests
    cold_from: PositiveRatioOrRange = (0.15, 0.35)  # share of the capacity right after a start
    cold_s: PositiveOrRange = (11.0, 21.0)  # duration of the warm-up
    warm_by: Annotated[str, Meta(pattern="^(time|work)$")] = "work"
    error_rate: RatioOrRange = (0.0, 0.001)
    cancels: Annotated[str, Meta(pattern="^(queued|all)$")] = "all"  # requests that a cancel stops


class Choke(_CheckedStruct, kw_only=True, frozen=True):
    """How endpoints of a tier become slow after a long backlog, and recover."""

    at: PositiveOrRange = (4.0, 7.0)  # requests per core that wait for a core, above which the backlog counts
    over_s: PositiveOrRange = (1.5, 2.5)  # duration of the backlog that starts the choke
    slower: PositiveOrRange = (2.1, 2.9)  # factor
    below: RatioOrRange = (0.25, 0.4)  # idle: fewer running requests than this share of the cores
    rest_s: PositiveOrRange = (2.5, 4.1)  # idle time that ends the choke
    most_s: PositiveOrRange = (16.0, 28.0)  # longest duration of the choke


class Connections(_CheckedStruct, kw_only=True, frozen=True):
    """The limit and the cost of connections to an endpoint."""

    per_core: PositiveOrRange = (600.0, 900.0)  # most open connections
    handshake_rtts: PositiveOrRange = (2.0, 3.0)
    handshake_us: NonNegativeOrRange = (2100.0, 5600.0)  # work at the endpoint


class Tier(_CheckedStruct, kw_only=True, frozen=True):
    """A group of like endpoints; each tier calls the next one."""

    name: Name
    endpoints: Count
    work: PositiveNumber  # share of a class's work that one call to this tier takes
    calls: PositiveOrRange = 1.0  # mean number of calls that a request of the previous tier makes to this one
    cell_size: Count = 8
    kind: Annotated[list[EndpointKind], Meta(min_length=1)] = field(
        default_factory=lambda: [EndpointKind(name="full")]
    )
    choke: Choke | None = None
    connections: Connections = Connections()


class RequestClassSpec(_CheckedStruct, kw_only=True, frozen=True):
    """A request class."""

    name: Name
    share: PositiveOrRange  # of the requests, in proportion to the other classes
    work_ms: PositiveOrRange  # mean, on a core of speed 1; a call takes its tier's share of it
    spread: NonNegativeOrRange = (1.4, 2.6)  # coefficient of variation of the work
    aim_ms: PositiveNumber  # target latency
    deadline_ms: PositiveNumber
    worth: PositiveNumber = 1.0  # of a request that is served within the target latency
    late_worth: Ratio = 0.0  # share of the worth for a request that is served later
    effect: Effect
    group: Group = Group.ALL
    window_ms: NonNegativeNumber = 0.0  # for which a key is deduplicated

    def __post_init__(self) -> None:
        super().__post_init__()
        if self.aim_ms > self.deadline_ms:
            raise ValueError("aim_ms: must not be above deadline_ms")
        if self.effect is Effect.DEDUPLICATED and not self.window_ms:
            raise ValueError("window_ms: a deduplicated class needs one")


class Tenant(_CheckedStruct, kw_only=True, frozen=True):
    """A tenant with its share of the quota."""

    name: Name
    share: PositiveRatio
    usage: PositiveOrRange = 1.0  # demand, relative to its share


class Network(_CheckedStruct, kw_only=True, frozen=True):
    """One-way delays of the network."""

    same_ms: NonNegativeOrRange = (0.13, 0.34)  # within a zone
    cross_ms: NonNegativeOrRange = (2.8, 5.2)  # between zones of a region
    region_ms: NonNegativeOrRange = (12.0, 25.0)  # between regions
    jitter: RatioOrRange = (0.08, 0.34)


class Front(_CheckedStruct, kw_only=True, frozen=True):
    """The load balancer that distributes clients over the front sidecars of their zone."""

    sidecars: Count = 3
    ask_every_ms: PositiveNumber = 100.0  # interval of the readiness probes
    after_no_ms: NonNegativeNumber = 200.0  # delay from the first negative probe to the last new connection
    notice_s: NonNegativeOrRange = (1.2, 3.7)  # delay until it detects that a sidecar does not answer


class Load(_CheckedStruct, kw_only=True, frozen=True):
    """The rate of requests."""

    of_capacity: PositiveOrRange = (0.4, 0.5)  # mean rate, relative to the capacity of the tightest tier
    swing: RatioOrRange = (0.1, 0.25)  # amplitude of a slow wave over the day
    zone_skew: RatioOrRange = (0.0, 0.15)  # largest deviation of a zone's weight
    quota_of_capacity: PositiveOrRange = (0.7, 0.93)  # sum of the tenants' quotas


class Clients(_CheckedStruct, kw_only=True, frozen=True):
    """How clients retry."""

    retries: NonNegativeOrRange = (3.0, 4.0)
    try_share: PositiveRatioOrRange = (0.5, 0.6)  # time-out of one try, as a share of the deadline
    backoff_ms: NonNegativeOrRange = 0.0  # 0: immediate retry
    honour: RatioOrRange = (0.08, 0.34)  # the share of clients that follow Retry-After
    marks_retry: bool = True


class Discovery(_CheckedStruct, kw_only=True, frozen=True):
    """The delays and the throughput of discovery."""

    mode: Annotated[str, Meta(pattern="^(ask|push)$")] = "ask"
    add_s: NonNegativeOrRange = (0.18, 1.8)  # delay until it publishes an endpoint's start
    notice_s: NonNegativeOrRange = (0.58, 3.8)  # ... that an endpoint drains or has ended
    silent_s: NonNegativeOrRange = (4.8, 13.0)  # ... that an endpoint has ended without deregistration
    at_once: PositiveOrRange = (3.0, 5.0)  # calls served concurrently
    call_ms: PositiveOrRange = 4.0  # service time of a call
    line_us: NonNegativeOrRange = 40.0  # further service time for each entry of the list
    timeout_ms: PositiveNumber = 1000.0  # a call that has waited longer in the queue fails


class RuleLimits(_CheckedStruct, kw_only=True, frozen=True):
    """The limits of the four rules."""

    answer_slack_ms: NonNegativeNumber = 20.0
    drain_grace_ms: NonNegativeNumber = 1000.0
    overload_factor: PositiveNumber = (
        2.5  # a cold endpoint crashes above this multiple of its present capacity
    )
    fall_ms: PositiveNumber = 2000.0  # time window over which that is measured
    cold_from: PositiveRatio = 0.12  # guaranteed share of an endpoint's capacity after a start
    cold_s: PositiveNumber = 24.0  # time from a start to the guaranteed full capacity
    ask_every_s: PositiveNumber = 10.0  # longest time between two calls of a sidecar to discovery


class Scoring(_CheckedStruct, kw_only=True, frozen=True):
    """Weights of the parts of the score, and the largest deductions from it."""

    whole: Ratio = 0.25
    worst_window: Ratio = 0.45
    worst_class: Ratio = 0.2
    worst_tenant: Ratio = 0.1
    window_s: PositiveNumber = 10.0  # length of the windows for `worst_window`
    over_share_worth: Ratio = 0.05  # share of the worth for requests over the tenant's quota
    late_fail: Ratio = 0.03  # for requests that end unserved after their target latency
    waste: Ratio = 0.022  # for work whose result nobody waits for
    cross_zone: Ratio = 0.015  # for calls between zones
    cross_region: Ratio = 0.05  # for calls between regions
    choke: Ratio = 0.08  # for choked endpoints

    def __post_init__(self) -> None:
        total = self.whole + self.worst_window + self.worst_class + self.worst_tenant
        if abs(total - 1) > 1e-6:
            raise ValueError(f"the weights must add up to 1, they add up to {total:g}")


class SidecarLimits(_CheckedStruct, kw_only=True, frozen=True):
    """The limits of a sidecar's behaviour, and the resources of its process."""

    max_attempts: Count = 6
    max_retry_after_ms: NonNegativeNumber = 2000.0
    second_copies: bool = True  # hedges
    retry_after: bool = True
    idle_s: PositiveNumber = 10.0  # longest time that an idle connection stays open
    connect_timeout_ms: PositiveNumber = 250.0
    memory_mb: PositiveNumber = 80.0
    descriptors: Annotated[int, Meta(ge=64, le=65_536)] = 1024  # open file descriptors


class TroubleKind(enum.Enum):
    """The kinds of faults and changes that a scenario can contain."""

    BURST = "burst"  # `size` times as many requests
    SHARED_SLOW = "shared-slow"  # every endpoint is `size` times slower
    HANG = "hang"  # endpoints accept requests and answer none
    PAUSES = "pauses"  # endpoints stop for `size` milliseconds, every `every_s`
    RELEASE = "release"  # endpoints are replaced one after another, and restart cold
    DEATH = "death"  # endpoints crash and restart cold
    ZONE_LOST = "zone-lost"  # all endpoints of a zone crash at once, and restart cold
    ZONE_CUT = "zone-cut"  # a zone is cut off from the others
    ZONE_CUT_ONE_WAY = "zone-cut-one-way"  # messages out of a zone, or into it, are lost (`how`)
    ZONE_FLAP = "zone-flap"  # a zone is cut off for half of every `every_s`
    ZONE_GREY = "zone-grey"  # a `part` of a zone's calls fail, or its endpoints are `size` times slower
    REGION_LOST = "region-lost"  # as zone-lost, for all zones of a region
    REGION_CUT = "region-cut"  # a region is cut off from the others
    CALLERS_MOVE = "callers-move"  # clients of a zone use the front sidecars of another one
    DISCOVERY_DOWN = "discovery-down"
    DISCOVERY_STALLS = "discovery-stalls"  # lists are truncated or stall
    RESTART = "restart"  # front sidecars get SIGTERM and restart
    KILL = "kill"  # front sidecars are killed and restart
    RELOAD = "reload"  # the address of discovery changes, and the sidecars get SIGHUP
    UPGRADE = "upgrade"  # a new process of a front sidecar takes over from the old one
    STANDBY = "standby"  # an operator drains a front sidecar, and activates it again
    # The following concern the real list service; simulated discovery is unavailable instead.
    REGISTRY_KILLED = "registry-killed"  # its main process is killed, and restarts on its store
    REGISTRY_PAUSED = "registry-paused"  # its main process is stopped
    REGISTRY_CUT = "registry-cut"  # the connections to all of its processes fail as `how` says
    REGISTRY_EMPTIED = "registry-emptied"  # its main process is killed, and its store is lost
    REGISTRY_STORM = "registry-storm"  # all of its processes are killed, and all clients reconnect at once


REGION_TROUBLES = {TroubleKind.REGION_LOST, TroubleKind.REGION_CUT}
ZONE_TROUBLES = {
    TroubleKind.ZONE_LOST,
    TroubleKind.ZONE_CUT,
    TroubleKind.ZONE_CUT_ONE_WAY,
    TroubleKind.ZONE_FLAP,
    TroubleKind.ZONE_GREY,
    TroubleKind.CALLERS_MOVE,
}
LOSS_TROUBLES = {TroubleKind.ZONE_LOST, TroubleKind.REGION_LOST}
HOW_VALUES = {
    TroubleKind.REGISTRY_CUT: ("cut", "cut-up", "cut-down", "slow", "reset", "broken-off"),
    TroubleKind.ZONE_CUT_ONE_WAY: ("in", "out"),
}
SIDECAR_TROUBLES = {TroubleKind.RESTART, TroubleKind.KILL, TroubleKind.UPGRADE, TroubleKind.STANDBY}
ENDPOINT_TROUBLES = {TroubleKind.HANG, TroubleKind.PAUSES, TroubleKind.RELEASE, TroubleKind.DEATH}
DEFAULT_SIZES = {
    TroubleKind.BURST: 2.0,
    TroubleKind.SHARED_SLOW: 2.0,
    TroubleKind.PAUSES: 350.0,
    TroubleKind.ZONE_GREY: 1.0,
}
DEGRADED_ERROR_SHARE = 0.2  # of the calls to a degraded zone, where neither `part` nor `size` is given


class Trouble(_CheckedStruct, kw_only=True, frozen=True):
    """A fault, or a change of the load or the deployment, at some time of the day."""

    kind: TroubleKind
    at_s: NonNegativeOrRange
    for_s: NonNegativeOrRange = 0.0
    size: PositiveOrRange | None = None
    every_s: PositiveOrRange = 3.0
    tier: Name | None = None  # whose endpoints are affected; the first tier by default
    part: RatioOrRange | None = None  # share of those endpoints, or of the front sidecars; at least one
    zone: Name | None = None
    region: Name | None = None
    how: str | None = None


class Scenario(_CheckedStruct, kw_only=True, frozen=True):
    """The description that a day is drawn from."""

    about: str
    extends: Name | None = None  # the scenario that this one overrides
    seconds: PositiveOrRange
    zones: Annotated[list[Name], Meta(min_length=1)]
    regions: dict[Name, Annotated[list[Name], Meta(min_length=1)]] = {}  # empty: all zones are in one region
    tier: Annotated[list[Tier], Meta(min_length=1)]
    class_: Annotated[list[RequestClassSpec], Meta(min_length=1)] = field(name="class")
    tenant: list[Tenant] = []
    network: Network = Network()
    front: Front = Front()
    load: Load = Load()
    clients: Clients = Clients()
    discovery: Discovery = Discovery()
    rules: RuleLimits = RuleLimits()
    goal: Scoring = Scoring()
    allowed: SidecarLimits = SidecarLimits()
    trouble: list[Trouble] = []

    def __post_init__(self) -> None:
        super().__post_init__()
        for field_name, names in (
            ("zones", list(self.zones)),
            ("tier", [t.name for t in self.tier]),
            ("class", [c.name for c in self.class_]),
            ("tenant", [t.name for t in self.tenant]),
        ):
            if len(set(names)) != len(names):
                raise ValueError(f"{field_name}: names must differ")
        region_zones = [zone for zones in self.regions.values() for zone in zones]
        for zone in region_zones:
            if zone not in self.zones:
                raise ValueError(f"regions: no such zone: {zone!r}; {suggest_name(zone, self.zones)}")
            if region_zones.count(zone) > 1:
                raise ValueError(f"regions: zone {zone} is in more than one")
        if self.regions and (unassigned := [zone for zone in self.zones if zone not in region_zones]):
            raise ValueError(f"regions: zone {unassigned[0]} is in none")
        if self.tenant and sum(t.share for t in self.tenant) > 1 + 1e-9:
            raise ValueError("tenant: shares must not add up to more than 1")
        for i, trouble in enumerate(self.trouble):
            tiers = [t.name for t in self.tier]
            if trouble.tier is not None and trouble.tier not in tiers:
                raise ValueError(f"trouble[{i}].tier: no such tier; {suggest_name(trouble.tier, tiers)}")
            if trouble.zone is not None and trouble.zone not in self.zones:
                raise ValueError(f"trouble[{i}].zone: no such zone; {suggest_name(trouble.zone, self.zones)}")
            how_values = HOW_VALUES.get(trouble.kind)
            if trouble.how is not None and how_values is None:
                kinds_with_how = " and ".join(kind.value for kind in HOW_VALUES)
                raise ValueError(
                    f"trouble[{i}].how: only {kinds_with_how} have one, not {trouble.kind.value}"
                )
            if trouble.how is not None and how_values is not None and trouble.how not in how_values:
                raise ValueError(f"trouble[{i}].how: must be one of {', '.join(how_values)}")
            if trouble.region is not None and trouble.region not in self.regions:
                suggestion = (
                    suggest_name(trouble.region, self.regions) if self.regions else "there are no regions"
                )
                raise ValueError(f"trouble[{i}].region: no such region; {suggestion}")
            if trouble.kind in REGION_TROUBLES and not self.regions:
                raise ValueError(f"trouble[{i}].kind: {trouble.kind.value} needs `regions`")
            if trouble.size is not None and trouble.kind not in DEFAULT_SIZES:
                kinds_with_size = ", ".join(kind.value for kind in DEFAULT_SIZES)
                raise ValueError(
                    f"trouble[{i}].size: only {kinds_with_size} have one, not {trouble.kind.value}"
                )


def shipped() -> dict[str, Path]:
    """Return the paths of the scenarios that are part of the package, by name."""
    directory = Path(str(resources.files("eiderhub.world") / "scenarios"))
    return {path.stem: path for path in sorted(directory.glob("*" + SUFFIX))}


def load(name: str) -> Scenario:
    """Load a scenario by its name, or by the path of its file.

    Raises:
        DocumentError: with all faults of the file.
    """
    known_paths = shipped()
    path = known_paths.get(name)
    if path is None:
        path = Path(name)
        if not path.exists() and path.suffix != SUFFIX and "/" not in name:
            raise DocumentError(name, [Fault("", f"no such scenario; {suggest_name(name, known_paths)}")])
    return convert(_load_extended(path, known_paths, 0), Scenario, str(path), human_format=True)


def _load_extended(path: Path, known_paths: dict[str, Path], depth: int) -> dict[str, Any]:
    """Load a file, merged over the scenario that it extends."""
    if path.suffix != SUFFIX:
        raise DocumentError(str(path), [Fault("", f"a scenario is a {SUFFIX} file")])
    document, _ = load_document(path)
    # The key is `class` in files; `class` is a Python keyword, so the attribute is `class_`.
    if "class" in document:
        document["class_"] = document.pop("class")
    base_name = document.get("extends")
    if base_name is None:
        return document  # type: ignore[no-any-return]
    if base_name not in known_paths:
        reason = f"no such scenario: {base_name!r}; {suggest_name(str(base_name), known_paths)}"
        raise DocumentError(str(path), [Fault("extends", reason)])
    if depth >= MAX_EXTENDS_DEPTH:
        raise DocumentError(
            str(path), [Fault("extends", "the chain of extended scenarios is a cycle or too long")]
        )
    return _merge(_load_extended(known_paths[base_name], known_paths, depth + 1), document)


def _merge(base: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """Merge tables key by key; any other value, also a list, is replaced."""
    merged = dict(base)
    for key, value in changes.items():
        base_value = merged.get(key)
        merged[key] = (
            _merge(base_value, value) if isinstance(base_value, dict) and isinstance(value, dict) else value
        )
    return merged
