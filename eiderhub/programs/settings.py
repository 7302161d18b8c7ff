"""The settings file of a process: lines of a.b=value, read as one section of an INI file and checked.

Danger: a process that is started again is away until it has imported all that it needs, which takes long on a
small part of a core: the standard library's reader comes up sooner than one for properties.
"""

from __future__ import annotations

import configparser
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from eiderhub.reading import DocumentError, Fault

ENVIRONMENT_VARIABLE = "OTTERCLEAT_CONFIG"
SECTION = "settings"  # the file has no sections of its own

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class TierSettings:
    """What a process of the tier is told at its start."""

    node_name: str
    role: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]  # regions by zone
    frontend: str  # addresses; empty where this role has none
    readiness: str
    control: str
    first_port: int  # of those that are free for the tier's own protocol
    last_port: int
    seeds: list[str]
    bootstrap: bool
    data_dir: str
    disk_mb: float
    memory_mb: float
    platform: str
    link_mbps: float  # 0: not told
    catch_up_s: float  # after which a machine that is back, or new, counts as there
    drain_ms: float
    grace_s: float
    status_ttl_s: float
    fault_tolerance: int
    zones_lost: int  # at once, that are to be borne


class _Reader:
    def __init__(self, source: str, values: dict[str, str]) -> None:
        self._source = source
        self._values = values

    def take(self, key: str, kind: type[T], default: T | None = None) -> T:
        text = self._values.get(key, "").strip()
        if not text:
            if default is None:
                raise DocumentError(self._source, [Fault(key, "missing")])
            return default
        try:
            return _convert(text, kind)
        except ValueError:
            raise DocumentError(
                self._source, [Fault(key, f"must be {kind.__name__}; it is {text!r}")]
            ) from None

    def below(self, prefix: str) -> dict[str, str]:
        return {k[len(prefix) :]: v for k, v in self._values.items() if k.startswith(prefix)}


def _convert(text: str, kind: type[T]) -> T:
    value: Any
    if kind is bool:
        if text.lower() not in ("true", "false"):
            raise ValueError(text)
        value = text.lower() == "true"
    elif kind is list:
        value = [part.strip() for part in text.split(",") if part.strip()]
    else:
        value = kind(text)  # type: ignore[call-arg]
    return value  # type: ignore[no-any-return]


def _read(text: str) -> dict[str, str]:
    """The lines by key.

    Raises:
        configparser.Error: a line is neither a comment nor a=value.
    """
    parser = configparser.RawConfigParser(
        delimiters=("=",), comment_prefixes=("#", "!"), strict=False, empty_lines_in_values=False
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    lines = (line.strip() for line in text.splitlines())
    parser.read_string("\n".join([f"[{SECTION}]", *lines]))
    return dict(parser[SECTION])


def load(path: str | None = None) -> TierSettings:
    """The settings from the file that is named here or in the environment; unknown keys are skipped.

    Raises:
        DocumentError: names the file, the key and what would be right.
    """
    source = path or os.environ.get(ENVIRONMENT_VARIABLE, "")
    if not source:
        raise DocumentError(ENVIRONMENT_VARIABLE, [Fault("", "names no settings file")])
    try:
        values = _read(Path(source).read_text())
    except (OSError, ValueError, configparser.Error) as error:
        one_line = " ".join(str(error).split())
        raise DocumentError(source, [Fault("", one_line)]) from None
    reader = _Reader(source, values)
    ports = reader.take("port_range", list)
    if len(ports) != 2 or not all(port.isdigit() for port in ports):
        raise DocumentError(source, [Fault("port_range", "must be two ports: 7720,7735")])
    return TierSettings(
        node_name=reader.take("node_name", str),
        role=reader.take("role", str, "role"),
        ip=reader.take("ip", str),
        zone=reader.take("zone", str),
        region=reader.take("region", str, "region"),
        zones=reader.below("zones."),
        frontend=reader.take("listen.frontend", str, ""),
        readiness=reader.take("listen.readiness", str, ""),
        control=reader.take("listen.control", str, ""),
        first_port=int(ports[0]),
        last_port=int(ports[1]),
        seeds=reader.take("seeds", list, []),
        bootstrap=reader.take("bootstrap", bool, False),
        data_dir=reader.take("data_dir", str, ""),
        disk_mb=reader.take("limits.disk_mb", float, 64.0),
        memory_mb=reader.take("limits.memory_mb", float, 300.0),
        platform=reader.take("cloud_api.address", str, ""),
        link_mbps=reader.take("limits.link_mbps", float, 0.0),
        catch_up_s=reader.take("bounds.catch_up_s", float, 4.7),
        drain_ms=reader.take("bounds.drain_ms", float, 3000.0),
        grace_s=reader.take("bounds.grace_s", float, 8.0),
        status_ttl_s=reader.take("bounds.status_ttl_s", float, 120.0),
        fault_tolerance=reader.take("fault_tolerance.machines", int, 1),
        zones_lost=reader.take("fault_tolerance.zones", int, 0),
    )
