"""The settings object that a host receives for an instance, both on the wire and in a configuration file.

Each struct has the platform's key names as encoded names and those of the human format (TOML) as attributes;
`Setup.settings` converts them to the balancer's `Settings`. Names and units: WIRE, "Start-up settings".
"""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import Meta, Struct, field

from eiderhub.documents import convert
from eiderhub.interface import (
    Discovery,
    Effect,
    Goal,
    Group,
    Limits,
    Prices,
    RequestClass,
    Ring,
    Rules,
    Settings,
    Tenant,
)

Name = Annotated[str, Meta(min_length=1)]
PositiveUs = Annotated[int, Meta(gt=0)]
NonNegativeUs = Annotated[int, Meta(ge=0)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]


class Category(Struct, rename="pascal", frozen=True, kw_only=True):
    """A request class."""

    name: Name
    aim_us: PositiveUs
    deadline_us: PositiveUs
    effect: Effect
    group: Group | None = None
    dedup_window_us: NonNegativeUs | None = None
    credit: NonNegativeFloat = 1.0
    late_share: Fraction = 0.0
    streaming: bool = False
    stays_in: list[str] | None = None  # the only allowed zones; an empty list allows none
    served_on: list[str] | None = None  # the only allowed machine types
    reach: Annotated[str, Meta(pattern="^(zone|region|world)$")] = "world"  # the farthest allowed ring

    def __post_init__(self) -> None:
        if self.effect is Effect.DEDUPLICATED and (self.group is None or self.dedup_window_us is None):
            raise ValueError("a deduplicated class needs Group (group) and DedupWindowUs (dedup_window_us)")

    def request_class(self) -> RequestClass:
        return RequestClass(
            name=self.name,
            aim_us=self.aim_us,
            deadline_us=self.deadline_us,
            effect=self.effect,
            group=self.group or Group.ALL,
            dedup_window_us=self.dedup_window_us or 0,
            credit=self.credit,
            late_share=self.late_share,
            streaming=self.streaming,
            stays_in=None if self.stays_in is None else frozenset(self.stays_in),
            served_on=None if self.served_on is None else frozenset(self.served_on),
            reach=Ring[self.reach.upper()],
        )


class Party(Struct, rename="pascal", frozen=True, kw_only=True):
    """A tenant."""

    name: Name
    share: NonNegativeFloat = 0.0
    quota_per_s: NonNegativeFloat = 0.0


class Allowed(Struct, rename="pascal", frozen=True, kw_only=True):
    """What the site permits the balancer to do, and its limits."""

    max_attempts: Annotated[int, Meta(ge=1)] = 3
    max_retry_after_us: NonNegativeUs = 1_000_000
    second_copies: bool = False
    may_cancel: bool = False
    conn_idle_us: NonNegativeUs = 0  # the server closes idle connections after this time; 0: unknown
    connect_timeout_us: PositiveUs = 250_000
    retry_after: bool = False


class Charges(Struct, rename="pascal", frozen=True, kw_only=True):
    """Penalties, in points of the result, for calls that leave the zone or region."""

    cross_zone: float = 0.0
    cross_region: NonNegativeFloat = 0.0  # for a call to another region, instead of cross_zone


class Figures(Struct, rename="pascal", frozen=True, kw_only=True):
    """Parameters of the rules."""

    cold_us: NonNegativeUs = 10_000_000
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.1
    overload_factor: Annotated[float, Meta(gt=0)] = 2.0
    ask_every_us: NonNegativeUs = 0  # changes count as delivered after this time without a poll; 0: unset


class Weights(Struct, rename="pascal", frozen=True, kw_only=True):
    """Weights of the components of the result."""

    # Components that sum the worth of requests.
    whole: NonNegativeFloat = 0.0
    worst_window: NonNegativeFloat = 0.0
    worst_tenant: NonNegativeFloat = 0.0
    availability: NonNegativeFloat = 0.0
    # Components that are computed for each class separately.
    worst_class: NonNegativeFloat = 0.0
    tail: NonNegativeFloat = 0.0

    def goal(self) -> Goal:
        by_worth = self.whole + self.worst_window + self.worst_tenant + self.availability
        by_class = self.worst_class + self.tail
        return Goal(by_worth, by_class) if by_worth or by_class else Goal()


class Setup(Struct, rename="pascal", frozen=True, kw_only=True):
    """The start-up settings of an instance."""

    categories: Annotated[list[Category], Meta(min_length=1)]
    parties: list[Party] = []
    allowed: Allowed = Allowed()
    charges: Charges = Charges()
    rules: Figures = Figures()
    goal: Weights = Weights()
    rank: Annotated[int, Meta(ge=0)] = 0
    balancers: Annotated[int, Meta(ge=1)] = 1
    layer: Annotated[int, Meta(ge=0)] = 0
    # Only the number of tiers is used.
    tiers: Annotated[list[Any], Meta(min_length=1)] = field(default_factory=lambda: [""])
    my_zone: str = ""
    zone_verdicts: bool = False  # off by default: not yet shown to cost nothing under normal conditions
    over_share_worth: NonNegativeFloat = 1.0
    discovery: Discovery = Discovery.PUSH

    def __post_init__(self) -> None:
        for label, names in (
            ("Categories (categories)", [c.name for c in self.categories]),
            ("Parties (parties)", [party.name for party in self.parties]),
        ):
            if len(set(names)) != len(names):
                raise ValueError(f"{label}: names must differ")
        if self.layer >= len(self.tiers):
            raise ValueError("Tiers (tiers): must have more entries than Layer (layer)")

    def settings(self) -> Settings:
        allowed, rules = self.allowed, self.rules
        return Settings(
            classes=tuple(category.request_class() for category in self.categories),
            rank=self.rank,
            balancers=self.balancers,
            layer=self.layer,
            tiers=len(self.tiers),
            zone=self.my_zone,
            zone_verdicts=self.zone_verdicts,
            tenants=tuple(Tenant(party.name, party.share, party.quota_per_s) for party in self.parties),
            over_share_worth=self.over_share_worth,
            discovery=self.discovery,
            limits=Limits(
                max_attempts=allowed.max_attempts,
                max_retry_after_us=allowed.max_retry_after_us,
                second_copies=allowed.second_copies,
                may_cancel=allowed.may_cancel,
                retry_after=allowed.retry_after,
                conn_idle_us=allowed.conn_idle_us,
                connect_timeout_us=allowed.connect_timeout_us,
            ),
            prices=Prices(self.charges.cross_zone, self.charges.cross_region),
            goal=self.goal.goal(),
            rules=Rules(
                cold_us=rules.cold_us,
                cold_from=rules.cold_from,
                overload_factor=rules.overload_factor,
                ask_every_us=rules.ask_every_us,
            ),
        )


def settings_from(setup: Any) -> Settings:
    """Convert the settings passed to `power_on`; unknown keys are ignored, absent optional keys get defaults.

    Raises:
        DocumentError: a ValueError that names each invalid key.
    """
    return convert(setup, Setup).settings()
