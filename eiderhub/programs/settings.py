"""The settings file of a process: lines `a.b=value`, parsed as one section of an INI file and checked.

A restarted process is unavailable until its imports are done, which takes long on a fraction of a core. The
standard library's configparser imports faster than a parser for properties files.
"""

from __future__ import annotations

import configparser
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from eiderhub.documents import DocumentError, Fault

ENVIRONMENT_VARIABLE = "OTTERCLEAT_CONFIG"
SECTION = "settings"  # added for configparser: the file itself has no sections

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class TierSettings:
    """Startup settings of a process of the tier."""

    node_name: str
    role: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]  # region by zone
    frontend: str  # address; empty if the role has none; likewise the next two
    readiness: str
    control: str
    first_port: int  # of the range reserved for the tier's internal protocol
    last_port: int
    seeds: list[str]
    bootstrap: bool
    counts_for_quorum: bool  # whether `fault_tolerance` covers the loss of this machine
    data_dir: str
    disk_mb: float
    memory_mb: float
    platform_address: str
    link_mbps: float  # 0: unknown
    catch_up_s: float  # after which a restarted or replaced machine counts as available again
    drain_ms: float
    grace_s: float
    status_ttl_s: float
    fault_tolerance: int
    zone_fault_tolerance: int  # zones that may fail at the same time


class _Reader:
    def __init__(self, source: str, values: dict[str, str]) -> None:
        self._source = source
        self._values = values

    def get_value(self, key: str, kind: type[T], default: T | None = None) -> T:
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

    def with_prefix(self, prefix: str) -> dict[str, str]:
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


def _parse_lines(text: str) -> dict[str, str]:
    """Return the values by key.

    Raises:
        configparser.Error: a line is neither a comment nor `a=value`.
    """
    parser = configparser.RawConfigParser(
        delimiters=("=",), comment_prefixes=("#", "!"), strict=False, empty_lines_in_values=False
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    lines = (line.strip() for line in text.splitlines())
    parser.read_string("\n".join([f"[{SECTION}]", *lines]))
    return dict(parser[SECTION])


def load(path: str | None = None) -> TierSettings:
    """Load the settings from `path` or the file named in the environment; unknown keys are ignored.

    Raises:
        DocumentError: with the file, the key and what was expected.
    """
    source = path or os.environ.get(ENVIRONMENT_VARIABLE, "")
    if not source:
        raise DocumentError(ENVIRONMENT_VARIABLE, [Fault("", "names no settings file")])
    try:
        values = _parse_lines(Path(source).read_text())
    except (OSError, ValueError, configparser.Error) as error:
        one_line = " ".join(str(error).split())
        raise DocumentError(source, [Fault("", one_line)]) from None
    reader = _Reader(source, values)
    ports = reader.get_value("port_range", list)
    if len(ports) != 2 or not all(port.isdigit() for port in ports):
        raise DocumentError(source, [Fault("port_range", "must be two ports, such as 7720,7735")])
    return TierSettings(
        node_name=reader.get_value("node_name", str),
        role=reader.get_value("role", str, "role"),
        ip=reader.get_value("ip", str),
        zone=reader.get_value("zone", str),
        region=reader.get_value("region", str, "region"),
        zones=reader.with_prefix("zones."),
        frontend=reader.get_value("listen.frontend", str, ""),
        readiness=reader.get_value("listen.readiness", str, ""),
        control=reader.get_value("listen.control", str, ""),
        first_port=int(ports[0]),
        last_port=int(ports[1]),
        seeds=reader.get_value("seeds", list, []),
        bootstrap=reader.get_value("bootstrap", bool, False),
        counts_for_quorum=reader.get_value("counts_for_quorum", bool, True),
        data_dir=reader.get_value("data_dir", str, ""),
        disk_mb=reader.get_value("limits.disk_mb", float, 64.0),
        memory_mb=reader.get_value("limits.memory_mb", float, 300.0),
        platform_address=reader.get_value("cloud_api.address", str, ""),
        link_mbps=reader.get_value("limits.link_mbps", float, 0.0),
        catch_up_s=reader.get_value("bounds.catch_up_s", float, 4.7),
        drain_ms=reader.get_value("bounds.drain_ms", float, 3000.0),
        grace_s=reader.get_value("bounds.grace_s", float, 8.0),
        status_ttl_s=reader.get_value("bounds.status_ttl_s", float, 120.0),
        fault_tolerance=reader.get_value("fault_tolerance.machines", int, 1),
        zone_fault_tolerance=reader.get_value("fault_tolerance.zones", int, 0),
    )
