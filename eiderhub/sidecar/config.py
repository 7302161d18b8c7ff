"""The configuration of a sidecar: environment variables and the TOML or JSON file that they name."""

from __future__ import annotations

import dataclasses
import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from eiderhub.address import ADDRESS_PATTERN, Address, AddressText, parse_host_port
from eiderhub.documents import DocumentError, convert, suggest_name
from eiderhub.documents import load_document as parse_file
from eiderhub.interface import Settings
from eiderhub.registry.field_types import Name
from eiderhub.registry.settings import FollowSettings, RegisterSettings
from eiderhub.settings import Setup
from eiderhub.sidecar.discovery import DiscoveryResponse, EndpointList, is_readable
from eiderhub.sidecar.logs import DEFAULT_LINES_PER_S, Form

DEFAULT_SOCKETS = 1024  # file descriptors, if the configuration sets no limit
DEFAULT_MEMORY_MB = 128  # if the configuration sets no limit


TOML_ONLY_TABLES = ("registry", "register", "regions")


class ConfigError(Exception):
    """The configuration is invalid; the message is written for operators."""


class Bounds(Struct, frozen=True, kw_only=True):
    """Resource limits of the process."""

    cores: Annotated[float, Meta(gt=0)] = 1.0  # enforced by the platform, not here
    memory_mb: Annotated[float, Meta(gt=0)] = DEFAULT_MEMORY_MB
    sockets: Annotated[int, Meta(ge=1)] = DEFAULT_SOCKETS


class Log(Struct, frozen=True, kw_only=True):
    form: Form = Form.AUTO
    lines_per_s: Annotated[int, Meta(ge=1, le=10_000)] = DEFAULT_LINES_PER_S


class Document(Struct, frozen=True, kw_only=True):
    """The configuration file."""

    settings: Setup
    name: str = ""
    listen: AddressText | None = None  # for callers
    discovery: AddressText | None = None
    management: Annotated[str, Meta(pattern="^$|" + ADDRESS_PATTERN, description="an address:port")] = ""
    seed: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]*$", description="a hexadecimal number")] | int = ""
    limits: Bounds = Bounds()
    log: Log = Log()
    known: DiscoveryResponse | None = None  # the last known endpoint list
    registry: FollowSettings | None = None  # the project's own registry, instead of `discovery`
    register: RegisterSettings | None = None  # registers the local endpoint with that registry
    regions: dict[Name, Annotated[list[Name], Meta(min_length=1)]] = {}  # the zones of each region

    def __post_init__(self) -> None:
        region_by_zone: dict[str, str] = {}
        for region, zones in self.regions.items():
            for zone in zones:
                if region_by_zone.setdefault(zone, region) != region:
                    both_regions = f"{region_by_zone[zone]} and in {region}"
                    raise ValueError(f"regions: zone {zone} stands in {both_regions}; leave one out")
        own = self.settings.my_zone
        if region_by_zone and own and own not in region_by_zone:
            reason = f"our own zone {own} (settings.my_zone) is in none; {suggest_name(own, region_by_zone)}"
            raise ValueError(f"regions: {reason}")
        if self.register is not None and not self.register.addresses and self.registry is None:
            raise ValueError("register.addresses: missing, and there is no [registry] to take them from")


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: EndpointList
    settings: Settings
    management: Address | None = None  # for operators
    memory_bytes: int = DEFAULT_MEMORY_MB << 20
    log: Log = field(default_factory=Log)
    tier: str = ""
    follow: FollowSettings | None = None
    register: RegisterSettings | None = None


def parse_address(text: str | None, key: str) -> Address:
    """Parse an address from the environment or the file; `key` names the setting in errors."""
    if text is None:
        raise ConfigError(f"{key}: missing")
    try:
        return parse_host_port(text)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def read_document(path: str) -> Document:
    """Read a configuration file.

    Raises:
        DocumentError: with all errors found.
    """
    document, human_format = parse_file(Path(path))
    if not human_format and isinstance(document, dict):
        # JSON files come from the platform, whose format may define these names with other meanings.
        document = {key: value for key, value in document.items() if key not in TOML_ONLY_TABLES}
        document["known"] = _without_unreadable(document.get("known"))
    converted: Document = convert(document, Document, path, human_format)
    return converted


def _without_unreadable(known: Any) -> Any:
    """The last known list without its unreadable entries, which must not prevent a start."""
    if not isinstance(known, dict) or not isinstance(known.get("instances"), list):
        return known
    readable_entries = [entry for entry in known["instances"] if is_readable(entry)]
    # If none is readable, the list is kept, so that its first error is reported.
    if len(readable_entries) in (0, len(known["instances"])):
        return known
    return {
        **known,
        "instances": readable_entries,
        "unreadable": len(known["instances"]) - len(readable_entries),
    }


def _document_from_environment(environ: Mapping[str, str]) -> Document:
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG: not set; it must name the configuration file")
    try:
        return read_document(path)
    except DocumentError as error:
        raise ConfigError(str(error)) from None


def load_discovery(environ: Mapping[str, str]) -> Address | FollowSettings:
    """The discovery address from the file alone: after SIGHUP the environment variable is out of date."""
    document = _document_from_environment(environ)
    return document.registry or parse_address(document.discovery, "discovery")


def _parse_seed(value: str | int) -> int:
    return int(str(value), 16) if value != "" else secrets.randbits(64)


def build_config(document: Document, environ: Mapping[str, str]) -> Config:
    """Combine the file with the environment variables, which take precedence."""

    def address(variable: str, file_value: str | None) -> Address:
        text = environ.get(variable)
        return (
            parse_address(text, variable)
            if text
            else parse_address(file_value, variable.removeprefix("GW_").lower())
        )

    tiers: list[Any] = document.settings.tiers
    region_by_zone = {zone: region for region, zones in document.regions.items() for zone in zones}
    management_text = environ.get("GW_MANAGEMENT") or document.management
    return Config(
        name=environ.get("GW_NAME") or document.name,
        listen=address("GW_LISTEN", document.listen),
        discovery=Address("", 0) if document.registry else address("GW_DISCOVERY", document.discovery),
        seed=_parse_seed(document.seed),
        sockets=document.limits.sockets,
        known=document.known.to_endpoint_list() if document.known is not None else EndpointList(0, True, []),
        settings=dataclasses.replace(document.settings.settings(), regions=region_by_zone),
        management=address("GW_MANAGEMENT", document.management) if management_text else None,
        memory_bytes=int(document.limits.memory_mb * (1 << 20)),
        log=document.log,
        tier=str(tiers[document.settings.layer]),
        follow=document.registry,
        register=_register_settings(document),
    )


def _register_settings(document: Document) -> RegisterSettings | None:
    register, follow = document.register, document.registry
    if register is None or register.addresses or follow is None:
        return register
    return msgspec.structs.replace(register, addresses=follow.addresses)


def load(environ: Mapping[str, str]) -> Config:
    """Read the configuration.

    Raises:
        ConfigError: with a one-line message that names the error.
    """
    return build_config(_document_from_environment(environ), environ)
