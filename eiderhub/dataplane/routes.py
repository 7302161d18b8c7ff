"""The routes in force: an immutable snapshot of one configuration, swapped whole."""

from __future__ import annotations

import random
from typing import Any, NamedTuple

from eiderhub.control.configuration import services_of
from eiderhub.control.spending import tenants_of

DEFAULT_ATTEMPTS = 1
DEFAULT_CAPACITY = 8  # requests at once, where a service does not tell its endpoints'
# Numbers of a configuration are taken to lie within these bounds: its own may be any that a double holds, and
# what is reckoned from them must not be infinite or 0.
LEAST_NUMBER, MOST_NUMBER = 1e-6, 1e12


class Route(NamedTuple):
    """One route; times in milliseconds."""

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
    window_ms: float  # batch: results are due by then
    retention_s: float
    max_queued_tokens: float  # batch; 0: no limit

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.resumable or self.kind in ("idempotent", "batch")

    def draw_service(self, rng: random.Random) -> str:
        if len(self.services) == 1:
            return self.services[0][0]
        names = [name for name, _ in self.services]
        return rng.choices(names, [weight for _, weight in self.services])[0]


class Service(NamedTuple):
    """An endpoint pool, as the configuration names it."""

    name: str
    capacity: int  # requests that one endpoint works on at once
    max_connections: int
    kv_tokens: int  # memory of one endpoint; 0: not told


class RouteTable:
    """All routes and services of one generation."""

    def __init__(self, generation: int, document: dict[str, Any]) -> None:
        self.generation = generation
        routes = [_route(each) for each in document["routes"]]
        self.by_name = {route.name: route for route in routes}
        self.services = {each["name"]: _service(each) for each in document["backends"]}
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda r: -len(r.prefix)):
            self._by_host.setdefault(route.host, []).append(route)
        self.tenants = tenants_of(document)
        limits = document.get("limits", {})
        self.idle_timeout_s = bounded(limits.get("idle_timeout_ms", 15_000)) / 1000
        self.max_body_bytes = int(bounded(limits.get("max_body_bytes", 4 << 20)))

    def find(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix that begins the path."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def bounded(value: float) -> float:
    """A number of a configuration that can be reckoned with; 0 stays 0."""
    return min(max(float(value), LEAST_NUMBER), MOST_NUMBER) if value > 0 else 0.0


def _route(item: dict[str, Any]) -> Route:
    timeout = bounded(item["timeout_ms"])
    return Route(
        name=item["name"],
        host=item["host"].lower(),
        prefix=item["path_prefix"],
        kind=item.get("route_kind", "non_idempotent"),
        timeout_ms=timeout,
        slo_ms=bounded(item.get("slo_ms", timeout)),
        priority=int(bounded(item.get("priority", 0))),
        max_attempts=int(bounded(item.get("max_attempts", DEFAULT_ATTEMPTS))),
        resumable=bool(item.get("resumable", False)),
        services=tuple((name, bounded(weight)) for name, weight in services_of(item) if weight > 0),
        window_ms=bounded(item.get("completion_window_ms", timeout)),
        retention_s=bounded(item.get("retention_s", 3600)),
        max_queued_tokens=bounded(item.get("max_queued_tokens", 0)),
    )


def _service(item: dict[str, Any]) -> Service:
    engine = item.get("engine") or {}
    return Service(
        name=item["name"],
        capacity=int(bounded(engine.get("capacity", DEFAULT_CAPACITY))),
        max_connections=int(bounded(item.get("max_connections", 0))),
        kv_tokens=int(bounded(engine.get("kv_capacity_tokens", 0))),
    )
