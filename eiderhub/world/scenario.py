"""What a day may be: structs that a TOML file is read into. A figure may be a range; a day draws from it."""

from __future__ import annotations

import enum
from importlib import resources
from pathlib import Path
from typing import Annotated, Any

from msgspec import Meta, Struct, field

from eiderhub.documents import DocumentError, Fault, convert, load_document, suggest_name
from eiderhub.interface import Effect, Group

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Part = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9_.-]+$")]
Count = Annotated[int, Meta(ge=1, le=10_000)]
# A figure, or the lowest and the highest that a day may draw.
# Danger: with a pair of fixed length, `tuple[X, X]`, beside a bounded number msgspec 0.23 reads wild memory.
_TWO = Meta(min_length=2, max_length=2)
Amount = Positive | Annotated[tuple[Positive, ...], _TWO]
AmountOrNone = NotNegative | Annotated[tuple[NotNegative, ...], _TWO]
Share = Part | Annotated[tuple[Part, ...], _TWO]
Fraction = Annotated[float, Meta(gt=0, le=1)]
ShareAboveNone = Fraction | Annotated[tuple[Fraction, ...], _TWO]

MOST_EXTENDS = 8
SUFFIX = ".toml"


class _Checked(Struct, kw_only=True, frozen=True):
    """Ranges must rise."""

    def __post_init__(self) -> None:
        for name in self.__struct_fields__:
            value = getattr(self, name)
            if isinstance(value, tuple) and value[0] > value[1]:
                raise ValueError(f"{name}: the range must rise, it is {list(value)}")


class Kind(_Checked, kw_only=True, frozen=True):
    """Machines of one kind."""

    name: Name
    share: Positive = 1.0  # of the tier's endpoints, in proportion to the other kinds
    cores: Count = 3
    speed: Amount = (0.85, 1.1)  # of one core, against the yardstick
    slots_per_core: Amount = (9.0, 20.0)  # requests in work at a time
    queue_per_core: AmountOrNone = (1.3, 4.0)  # requests that wait for a slot
    crowded_from: Amount = (14.0, 37.0)  # requests in work, per core, above which all of them slow down
    crowding: AmountOrNone = (0.12, 0.25)  # the time lost for each such number above it
    cold_from: ShareAboveNone = (0.15, 0.35)
    cold_s: Amount = (11.0, 21.0)
    warm_by: Annotated[str, Meta(pattern="^(time|work)$")] = "work"
    error_rate: Share = (0.0, 0.001)
    cancels: Annotated[str, Meta(pattern="^(queued|all)$")] = "all"  # what a cancel or a time-out stops


class Choke(_Checked, kw_only=True, frozen=True):
    """A tier's endpoints that are overrun stay slow for a while."""

    at: Amount = (4.0, 7.0)  # requests waiting for a core, per core
    over_s: Amount = (1.5, 2.5)  # for so long
    slower: Amount = (2.1, 2.9)
    below: Share = (0.25, 0.4)  # idle: fewer requests than this share of the cores
    rest_s: Amount = (2.5, 4.1)  # idle for so long ends it
    most_s: Amount = (16.0, 28.0)  # and so does this time in any case


class Connections(_Checked, kw_only=True, frozen=True):
    per_core: Amount = (600.0, 900.0)
    handshake_rtts: Amount = (2.0, 3.0)
    handshake_us: AmountOrNone = (2100.0, 5600.0)  # of the endpoint's work


class Tier(_Checked, kw_only=True, frozen=True):
    name: Name
    endpoints: Count
    work: Positive  # share of a class's work that one call does here
    calls: Amount = 1.0  # calls that each request of the tier above makes here, on average
    cell_size: Count = 8
    kind: Annotated[list[Kind], Meta(min_length=1)] = field(default_factory=lambda: [Kind(name="full")])
    choke: Choke | None = None
    connections: Connections = Connections()


class Class(_Checked, kw_only=True, frozen=True):
    """A class of requests."""

    name: Name
    share: Amount
    work_ms: Amount  # mean, of a core of the yardstick speed; a call takes its tier's share of it
    spread: AmountOrNone = (1.4, 2.6)  # coefficient of variation of the work
    aim_ms: Positive
    deadline_ms: Positive
    worth: Positive = 1.0
    late_worth: Part = 0.0
    effect: Effect
    group: Group = Group.ALL
    window_ms: NotNegative = 0.0

    def __post_init__(self) -> None:
        super().__post_init__()
        if self.aim_ms > self.deadline_ms:
            raise ValueError("aim_ms: must not be above deadline_ms")
        if self.effect is Effect.DEDUPLICATED and not self.window_ms:
            raise ValueError("window_ms: a deduplicated class needs one")


class Tenant(_Checked, kw_only=True, frozen=True):
    name: Name
    share: Fraction
    usage: Amount = 1.0  # what it asks for, of its share


class Network(_Checked, kw_only=True, frozen=True):
    same_ms: AmountOrNone = (0.13, 0.34)  # one way within a zone
    cross_ms: AmountOrNone = (2.8, 5.2)
    region_ms: AmountOrNone = (12.0, 25.0)  # between regions
    jitter: Share = (0.08, 0.34)


class Front(_Checked, kw_only=True, frozen=True):
    """What spreads clients over the sidecars of their zone."""

    sidecars: Count = 3
    ask_every_ms: Positive = 100.0
    after_no_ms: NotNegative = 200.0  # new connections still come for so long after the first no
    notice_s: AmountOrNone = (1.2, 3.7)  # until it knows that a sidecar has died


class Load(_Checked, kw_only=True, frozen=True):
    of_capacity: Amount = (0.4, 0.5)  # mean, of what the tightest tier can do
    swing: Share = (0.1, 0.25)  # of a slow wave over the day
    zone_skew: Share = (0.0, 0.15)
    quota_of_capacity: Amount = (0.7, 0.93)  # what all tenants together may ask for


class Clients(_Checked, kw_only=True, frozen=True):
    retries: AmountOrNone = (3.0, 4.0)
    try_share: ShareAboveNone = (0.5, 0.6)  # of the deadline, for one try
    backoff_ms: AmountOrNone = 0.0  # 0: at once
    honour: Share = (0.08, 0.34)  # the share of clients that follow Retry-After
    marks_retry: bool = True


class Discovery(_Checked, kw_only=True, frozen=True):
    mode: Annotated[str, Meta(pattern="^(ask|push)$")] = "ask"
    add_s: AmountOrNone = (0.18, 1.8)  # until it tells of an endpoint that has come up
    notice_s: AmountOrNone = (0.58, 3.8)  # or that drains or has ended
    silent_s: AmountOrNone = (4.8, 13.0)  # or that has vanished without a word
    at_once: Amount = (3.0, 5.0)  # calls that it works on at a time
    call_ms: Amount = 4.0
    line_us: AmountOrNone = 40.0  # of a list, for each entry
    timeout_ms: Positive = 1000.0  # a call that has waited so long fails


class Figures(_Checked, kw_only=True, frozen=True):
    """The figures of the four rules."""

    answer_slack_ms: NotNegative = 20.0
    drain_grace_ms: NotNegative = 1000.0
    overload_factor: Positive = 2.5
    fall_ms: Positive = 2000.0
    cold_from: Fraction = 0.12
    cold_s: Positive = 24.0
    ask_every_s: Positive = 10.0


class Goal(_Checked, kw_only=True, frozen=True):
    """Weights of the parts of the result, and the points that are taken off it."""

    whole: Part = 0.25
    worst_window: Part = 0.45
    worst_class: Part = 0.2
    worst_tenant: Part = 0.1
    window_s: Positive = 10.0
    over_share_worth: Part = 0.05
    late_fail: Part = 0.03
    waste: Part = 0.022
    cross_zone: Part = 0.015
    cross_region: Part = 0.05
    choke: Part = 0.08

    def __post_init__(self) -> None:
        total = self.whole + self.worst_window + self.worst_class + self.worst_tenant
        if abs(total - 1) > 1e-6:
            raise ValueError(f"the weights must add up to 1, they add up to {total:g}")


class Allowed(_Checked, kw_only=True, frozen=True):
    """What a sidecar may do, and the machine it has."""

    max_attempts: Count = 6
    max_retry_after_ms: NotNegative = 2000.0
    second_copies: bool = True
    retry_after: bool = True
    idle_s: Positive = 10.0
    connect_timeout_ms: Positive = 250.0
    memory_mb: Positive = 80.0
    descriptors: Annotated[int, Meta(ge=64, le=65_536)] = 1024


class TroubleKind(enum.Enum):
    BURST = "burst"  # more requests: `size` times as many
    SHARED_SLOW = "shared-slow"  # every endpoint is `size` times slower
    HANG = "hang"  # endpoints take requests and answer none
    PAUSES = "pauses"  # endpoints stand still for `size` milliseconds, every `every_s`
    RELEASE = "release"  # endpoints are replaced one after another, and return cold
    DEATH = "death"  # endpoints die and return cold
    ZONE_LOST = "zone-lost"  # a zone's endpoints vanish together and return cold
    ZONE_CUT = "zone-cut"  # a zone is cut off from the others
    ZONE_CUT_ONE_WAY = "zone-cut-one-way"  # what it sends to the others is lost, or what they send (`how`)
    ZONE_FLAP = "zone-flap"  # it is cut off for half of every `every_s`
    ZONE_GREY = "zone-grey"  # a `part` of its calls fail, or it is `size` times slower
    REGION_LOST = "region-lost"  # as zone-lost, for all zones of a region
    REGION_CUT = "region-cut"  # a region is cut off from the others
    CALLERS_MOVE = "callers-move"  # clients of a zone come by the front of another one
    DISCOVERY_DOWN = "discovery-down"
    DISCOVERY_STALLS = "discovery-stalls"  # lists break off or stand still
    RESTART = "restart"  # front sidecars get SIGTERM and start again
    KILL = "kill"  # front sidecars are killed and start again
    RELOAD = "reload"  # discovery moves, and the sidecars are told by SIGHUP
    UPGRADE = "upgrade"  # a new process of a front sidecar takes over from the old one
    STANDBY = "standby"  # a front sidecar is emptied by its operator, and taken back
    # The list service, where it is the real one; the stand-in is down for as long.
    REGISTRY_KILLED = "registry-killed"  # its main process, which starts again on its store
    REGISTRY_PAUSED = "registry-paused"  # it stands still
    REGISTRY_CUT = "registry-cut"  # the wires to all of its processes, as `how` says
    REGISTRY_EMPTIED = "registry-emptied"  # killed, and its store is lost
    REGISTRY_STORM = "registry-storm"  # all of its processes are killed, and all callers come back at once


OF_REGIONS = {TroubleKind.REGION_LOST, TroubleKind.REGION_CUT}
OF_ZONES = {
    TroubleKind.ZONE_LOST,
    TroubleKind.ZONE_CUT,
    TroubleKind.ZONE_CUT_ONE_WAY,
    TroubleKind.ZONE_FLAP,
    TroubleKind.ZONE_GREY,
    TroubleKind.CALLERS_MOVE,
}
LOSSES = {TroubleKind.ZONE_LOST, TroubleKind.REGION_LOST}
HOWS = {
    TroubleKind.REGISTRY_CUT: ("cut", "cut-up", "cut-down", "slow", "reset", "broken-off"),
    TroubleKind.ZONE_CUT_ONE_WAY: ("in", "out"),
}
OF_SIDECARS = {TroubleKind.RESTART, TroubleKind.KILL, TroubleKind.UPGRADE, TroubleKind.STANDBY}
OF_ENDPOINTS = {TroubleKind.HANG, TroubleKind.PAUSES, TroubleKind.RELEASE, TroubleKind.DEATH}
SIZED = {  # by default
    TroubleKind.BURST: 2.0,
    TroubleKind.SHARED_SLOW: 2.0,
    TroubleKind.PAUSES: 350.0,
    TroubleKind.ZONE_GREY: 1.0,
}
GREY_PART = 0.2  # of a grey zone's calls that fail, where neither `part` nor `size` is told


class Trouble(_Checked, kw_only=True, frozen=True):
    """Something that happens, at some time of the day."""

    kind: TroubleKind
    at_s: AmountOrNone
    for_s: AmountOrNone = 0.0
    size: Amount | None = None
    every_s: Amount = 3.0
    tier: Name | None = None  # whose endpoints; the first tier's where it is not told
    part: Share | None = None  # of those endpoints or of the front sidecars; at least one
    zone: Name | None = None
    region: Name | None = None
    how: str | None = None


class Scenario(_Checked, kw_only=True, frozen=True):
    """All that a day is drawn from."""

    about: str
    extends: Name | None = None  # the scenario that this one differs from
    seconds: Amount
    zones: Annotated[list[Name], Meta(min_length=1)]
    regions: dict[Name, Annotated[list[Name], Meta(min_length=1)]] = {}  # none: all zones are one region
    tier: Annotated[list[Tier], Meta(min_length=1)]
    class_: Annotated[list[Class], Meta(min_length=1)] = field(name="class")
    tenant: list[Tenant] = []
    network: Network = Network()
    front: Front = Front()
    load: Load = Load()
    clients: Clients = Clients()
    discovery: Discovery = Discovery()
    rules: Figures = Figures()
    goal: Goal = Goal()
    allowed: Allowed = Allowed()
    trouble: list[Trouble] = []

    def __post_init__(self) -> None:
        super().__post_init__()
        for what, names in (
            ("zones", list(self.zones)),
            ("tier", [t.name for t in self.tier]),
            ("class", [c.name for c in self.class_]),
            ("tenant", [t.name for t in self.tenant]),
        ):
            if len(set(names)) != len(names):
                raise ValueError(f"{what}: names must differ")
        placed = [zone for zones in self.regions.values() for zone in zones]
        for zone in placed:
            if zone not in self.zones:
                raise ValueError(f"regions: no such zone: {zone!r}; {suggest_name(zone, self.zones)}")
            if placed.count(zone) > 1:
                raise ValueError(f"regions: zone {zone} stands in more than one")
        if self.regions and (left := [zone for zone in self.zones if zone not in placed]):
            raise ValueError(f"regions: zone {left[0]} is in none")
        if self.tenant and sum(t.share for t in self.tenant) > 1 + 1e-9:
            raise ValueError("tenant: shares must not add up to more than 1")
        for i, trouble in enumerate(self.trouble):
            tiers = [t.name for t in self.tier]
            if trouble.tier is not None and trouble.tier not in tiers:
                raise ValueError(f"trouble[{i}].tier: no such tier; {suggest_name(trouble.tier, tiers)}")
            if trouble.zone is not None and trouble.zone not in self.zones:
                raise ValueError(f"trouble[{i}].zone: no such zone; {suggest_name(trouble.zone, self.zones)}")
            hows = HOWS.get(trouble.kind)
            if trouble.how is not None and hows is None:
                some = " and ".join(kind.value for kind in HOWS)
                raise ValueError(f"trouble[{i}].how: only {some} have one, not {trouble.kind.value}")
            if trouble.how is not None and hows is not None and trouble.how not in hows:
                raise ValueError(f"trouble[{i}].how: must be one of {', '.join(hows)}")
            if trouble.region is not None and trouble.region not in self.regions:
                why = suggest_name(trouble.region, self.regions) if self.regions else "there are no regions"
                raise ValueError(f"trouble[{i}].region: no such region; {why}")
            if trouble.kind in OF_REGIONS and not self.regions:
                raise ValueError(f"trouble[{i}].kind: {trouble.kind.value} needs `regions`")
            if trouble.size is not None and trouble.kind not in SIZED:
                sized = ", ".join(kind.value for kind in SIZED)
                raise ValueError(f"trouble[{i}].size: only {sized} have one, not {trouble.kind.value}")


def shipped() -> dict[str, Path]:
    """The scenarios that come with the package, by name."""
    folder = Path(str(resources.files("eiderhub.world") / "scenarios"))
    return {path.stem: path for path in sorted(folder.glob("*" + SUFFIX))}


def load(name: str) -> Scenario:
    """A scenario by its name, or by the path of its file.

    Raises:
        DocumentError: with every fault of the file.
    """
    known = shipped()
    path = known.get(name)
    if path is None:
        path = Path(name)
        if not path.exists() and path.suffix != SUFFIX and "/" not in name:
            raise DocumentError(name, [Fault("", f"no such scenario; {suggest_name(name, known)}")])
    return convert(_document(path, known, 0), Scenario, str(path), human_format=True)


def _document(path: Path, known: dict[str, Path], depth: int) -> dict[str, Any]:
    """A file's document over the one that it extends."""
    if path.suffix != SUFFIX:
        raise DocumentError(str(path), [Fault("", f"a scenario is a {SUFFIX} file")])
    document, _ = load_document(path)
    # `class` is a word of the language, so the attribute is `class_`; people write the plain word.
    if "class" in document:
        document["class_"] = document.pop("class")
    base = document.get("extends")
    if base is None:
        return document  # type: ignore[no-any-return]
    if base not in known:
        why = f"no such scenario: {base!r}; {suggest_name(str(base), known)}"
        raise DocumentError(str(path), [Fault("extends", why)])
    if depth >= MOST_EXTENDS:
        raise DocumentError(str(path), [Fault("extends", "goes round in a circle")])
    return _over(_document(known[base], known, depth + 1), document)


def _over(base: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """Tables are merged key by key; everything else, lists too, is replaced."""
    merged = dict(base)
    for key, value in changes.items():
        below = merged.get(key)
        merged[key] = _over(below, value) if isinstance(below, dict) and isinstance(value, dict) else value
    return merged
