"""The active routes: an immutable snapshot of one configuration, replaced on each change."""

from __future__ import annotations

import random
import re
from typing import Any, NamedTuple

from eiderhub.batch.jobs import MAX_ITEM_HEAD_BYTES
from eiderhub.control.configuration import encoded_prefix, weighted_services
from eiderhub.control.spending import capped_tenants

DEFAULT_MAX_ATTEMPTS = 1
DEFAULT_CAPACITY = 8  # concurrent requests per endpoint of a service that does not set it
# Configured numbers are clamped to this range: a configuration may hold any double, and values derived from
# them must be neither infinite nor 0.
MIN_NUMBER, MAX_NUMBER = 1e-6, 1e12
PORT = re.compile(r":\d*$")  # at the end of a Host header


class Route(NamedTuple):
    """One route of the configuration."""

    name: str
    host: str
    prefix: str
    kind: str  # idempotent, non_idempotent, streaming or batch
    timeout_ms: float
    slo_ms: float
    priority: int
    max_attempts: int
    resumable: bool
    services: tuple[tuple[str, float], ...]
    window_ms: float  # batch: completion window of a job
    retention_s: float
    max_queued_tokens: float  # batch; 0 means no limit

    @property
    def repeatable(self) -> bool:
        """Whether a request may be executed more than once.

        `resumable` speaks of streams: it makes those of a streaming route repeatable, and no other kind.
        """
        return self.kind in ("idempotent", "batch") or (self.kind == "streaming" and self.resumable)

    @property
    def resumes_streams(self) -> bool:
        """Whether another endpoint may continue a stream that has begun."""
        return self.resumable and self.repeatable

    def choose_service(self, rng: random.Random) -> str:
        if len(self.services) == 1:
            return self.services[0][0]
        names = [name for name, _ in self.services]
        return rng.choices(names, [weight for _, weight in self.services])[0]


class Service(NamedTuple):
    """An endpoint pool (a `backends` entry of the configuration)."""

    name: str
    capacity: int  # concurrent requests per endpoint
    max_connections: int
    kv_tokens: int  # KV cache of one endpoint in tokens; 0 if not configured


class RouteTable:
    """All routes and services of one configuration generation."""

    def __init__(self, generation: int, document: dict[str, Any]) -> None:
        self.generation = generation
        routes = [_parse_route(entry) for entry in document["routes"]]
        self.by_name = {route.name: route for route in routes}
        self.services = {each["name"]: _parse_service(each) for each in document["backends"]}
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda r: -len(r.prefix)):
            self._by_host.setdefault(route.host, []).append(route)
        self.tenants = capped_tenants(document)
        limits = document.get("limits", {})
        self.idle_timeout_s = clamped(limits.get("idle_timeout_ms", 15_000)) / 1000
        self.max_header_bytes = int(clamped(limits.get("max_header_bytes", MAX_ITEM_HEAD_BYTES)))
        self.max_body_bytes = int(clamped(limits.get("max_body_bytes", 4 << 20)))

    def find(self, host: str, path: str) -> Route | None:
        """The route of this Host header with the longest matching path prefix.

        Its port counts only for routes whose host has one.
        """
        full = host.lower()
        for name in (full, PORT.sub("", full)):
            for route in self._by_host.get(name, ()):
                if path.startswith(route.prefix):
                    return route
        return None


def number_or(value: Any, default: float) -> float:
    """A configured value that the schema does not check; the default if it is no number."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return value if is_number else default


def clamped(value: float) -> float:
    """A configured number clamped to the supported range; 0 and negative numbers become 0."""
    return min(max(float(value), MIN_NUMBER), MAX_NUMBER) if value > 0 else 0.0


def _parse_route(entry: dict[str, Any]) -> Route:
    route_timeout_ms = clamped(entry["timeout_ms"])
    return Route(
        name=entry["name"],
        host=entry["host"].lower(),
        prefix=encoded_prefix(entry["path_prefix"]),
        kind=entry.get("route_kind", "non_idempotent"),
        timeout_ms=route_timeout_ms,
        slo_ms=clamped(entry.get("slo_ms", route_timeout_ms)),
        priority=int(clamped(entry.get("priority", 0))),
        max_attempts=int(clamped(entry.get("max_attempts", DEFAULT_MAX_ATTEMPTS))),
        resumable=bool(entry.get("resumable", False)),
        services=tuple((name, clamped(weight)) for name, weight in weighted_services(entry) if weight > 0),
        window_ms=clamped(entry.get("completion_window_ms", route_timeout_ms)),
        retention_s=clamped(entry.get("retention_s", 3600)),
        max_queued_tokens=clamped(entry.get("max_queued_tokens", 0)),
    )


def _parse_service(entry: dict[str, Any]) -> Service:
    engine = entry.get("engine") or {}
    return Service(
        name=entry["name"],
        capacity=int(clamped(engine.get("capacity", DEFAULT_CAPACITY))),
        max_connections=int(clamped(entry.get("max_connections", 0))),
        kv_tokens=int(clamped(number_or(engine.get("kv_capacity_tokens"), 0))),
    )
