"""What a sidecar is told at its start: the environment and the file that it names, TOML or JSON."""

from __future__ import annotations

import dataclasses
import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from eiderhub.address import PATTERN, Address, AddressText, parse
from eiderhub.interface import Settings
from eiderhub.reading import DocumentError, convert, nearest
from eiderhub.reading import parse as parse_file
from eiderhub.registry.names import Name
from eiderhub.registry.settings import Follow, Register
from eiderhub.settings import Setup
from eiderhub.sidecar.discovery import DiscoveryResponse, Listing, readable
from eiderhub.sidecar.logs import LINES_PER_S, Form

SOCKETS = 1024  # descriptors, where the configuration states no limit
MEMORY_MB = 128  # likewise


PEOPLE_ONLY = ("registry", "register", "regions")  # tables that only TOML may have


class ConfigError(Exception):
    """A configuration that no sidecar can start from, worded for those on call."""


class Bounds(Struct, frozen=True, kw_only=True):
    """What the process may use."""

    cores: Annotated[float, Meta(gt=0)] = 1.0  # the platform's to enforce
    memory_mb: Annotated[float, Meta(gt=0)] = MEMORY_MB
    sockets: Annotated[int, Meta(ge=1)] = SOCKETS


class Log(Struct, frozen=True, kw_only=True):
    form: Form = Form.AUTO
    lines_per_s: Annotated[int, Meta(ge=1, le=10_000)] = LINES_PER_S


class Document(Struct, frozen=True, kw_only=True):
    """The configuration file."""

    settings: Setup
    name: str = ""
    listen: AddressText | None = None  # where callers connect
    discovery: AddressText | None = None
    management: Annotated[str, Meta(pattern="^$|" + PATTERN, description="an address:port")] = ""
    seed: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]*$", description="a hexadecimal number")] | int = ""
    limits: Bounds = Bounds()
    log: Log = Log()
    known: DiscoveryResponse | None = None  # the list of endpoints as it was last known
    registry: Follow | None = None  # the project's own list service, in place of `discovery`
    register: Register | None = None  # the endpoint beside us, with that service
    regions: dict[Name, Annotated[list[Name], Meta(min_length=1)]] = {}  # the zones of each

    def __post_init__(self) -> None:
        places: dict[str, str] = {}
        for region, zones in self.regions.items():
            for zone in zones:
                if places.setdefault(zone, region) != region:
                    both = f"{places[zone]} and in {region}"
                    raise ValueError(f"regions: zone {zone} stands in {both}; leave one out")
        own = self.settings.my_zone
        if places and own and own not in places:
            why = f"our own zone {own} (settings.my_zone) is in none; {nearest(own, places)}"
            raise ValueError(f"regions: {why}")
        if self.register is not None and not self.register.addresses and self.registry is None:
            raise ValueError("register.addresses: missing, and there is no [registry] to take them from")


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: Listing
    settings: Settings
    management: Address | None = None  # where operators call
    memory: int = MEMORY_MB << 20  # bytes
    log: Log = field(default_factory=Log)
    tier: str = ""
    follow: Follow | None = None
    register: Register | None = None


def parse_address(text: str | None, key: str) -> Address:
    """An address from the environment, or one that the file has; `key` names where it stands."""
    if text is None:
        raise ConfigError(f"{key}: missing")
    try:
        return parse(text)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def read_document(path: str) -> Document:
    """A configuration file.

    Raises:
        DocumentError: with all of its faults.
    """
    document, people = parse_file(Path(path))
    if not people and isinstance(document, dict):
        # What the platform's configuration names keeps the platform's meaning, whatever it may come to name.
        document = {key: value for key, value in document.items() if key not in PEOPLE_ONLY}
        document["known"] = _sifted(document.get("known"))
    found: Document = convert(document, Document, path, people)
    return found


def _sifted(known: Any) -> Any:
    """The list that was known last, less entries that can't be read: they must not stop the start."""
    if not isinstance(known, dict) or not isinstance(known.get("instances"), list):
        return known
    found = [entry for entry in known["instances"] if readable(entry)]
    if len(found) in (0, len(known["instances"])):  # none: its first fault is told
        return known
    return {**known, "instances": found, "unreadable": len(known["instances"]) - len(found)}


def _document(environ: Mapping[str, str]) -> Document:
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG: missing; it names the configuration file")
    try:
        return read_document(path)
    except DocumentError as error:
        raise ConfigError(str(error)) from None


def load_discovery(environ: Mapping[str, str]) -> Address | Follow:
    """Discovery as the file has it now: after SIGHUP the variable still holds the address before."""
    document = _document(environ)
    return document.registry or parse_address(document.discovery, "discovery")


def _seed(value: str | int) -> int:
    return int(str(value), 16) if value != "" else secrets.randbits(64)


def config_of(document: Document, environ: Mapping[str, str]) -> Config:
    """The variables stand above what the file says of the same."""

    def address(variable: str, told: str | None) -> Address:
        text = environ.get(variable)
        return (
            parse_address(text, variable)
            if text
            else parse_address(told, variable.removeprefix("GW_").lower())
        )

    tiers: list[Any] = document.settings.tiers
    places = {zone: region for region, zones in document.regions.items() for zone in zones}
    managed = environ.get("GW_MANAGEMENT") or document.management
    return Config(
        name=environ.get("GW_NAME") or document.name,
        listen=address("GW_LISTEN", document.listen),
        discovery=Address("", 0) if document.registry else address("GW_DISCOVERY", document.discovery),
        seed=_seed(document.seed),
        sockets=document.limits.sockets,
        known=document.known.listing() if document.known is not None else Listing(0, True, []),
        settings=dataclasses.replace(document.settings.settings(), regions=places),
        management=address("GW_MANAGEMENT", document.management) if managed else None,
        memory=int(document.limits.memory_mb * (1 << 20)),
        log=document.log,
        tier=str(tiers[document.settings.layer]),
        follow=document.registry,
        register=_with_addresses(document),
    )


def _with_addresses(document: Document) -> Register | None:
    register, follow = document.register, document.registry
    if register is None or register.addresses or follow is None:
        return register
    return msgspec.structs.replace(register, addresses=follow.addresses)


def load(environ: Mapping[str, str]) -> Config:
    """Read the configuration.

    Raises:
        ConfigError: with one line that names what is wrong.
    """
    return config_of(_document(environ), environ)
