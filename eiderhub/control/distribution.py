"""Distribution of the control plane's tables: what to send to a subscriber, and how a subscriber applies it.

Performs no I/O. Each table has a version that only increases at a reader. A subscriber whose version is
recent is sent deltas since then, any other the full table. A subscriber's version is the one that it
acknowledged as applied.
"""

from __future__ import annotations

import json
from collections import deque
from typing import NamedTuple

from msgspec import Struct, field
from result import Err, Result

from eiderhub.control import configuration
from eiderhub.control.errors import Refusal
from eiderhub.control.messages import (
    ConfigurationDelta,
    ConfigurationUpdate,
    EndpointsDelta,
    EndpointsUpdate,
    NodesUpdate,
    SessionPing,
    SpendingUpdate,
    TableUpdate,
    TableVersion,
)

INITIAL_VERSION = TableVersion(0, 0)
MAX_DELTAS = 64  # a subscriber that lags by more changes is sent the full table
MAX_DELTA_RATIO = 0.5  # deltas larger than this fraction of their table are not retained


class Configuration:
    """One generation of the operator's configuration, encoded to JSON on demand."""

    __slots__ = ("_encoded", "document", "generation")

    def __init__(
        self, generation: int, document: configuration.Document, encoded: bytes | None = None
    ) -> None:
        self.generation = generation
        self.document = document
        self._encoded = encoded

    def encoded(self) -> bytes:
        if self._encoded is None:
            self._encoded = _compact_json(self.document)
        return self._encoded


class Tables(Struct):
    """A node's copy of the control plane's tables, and their most recent deltas."""

    configuration: Configuration = field(default_factory=lambda: Configuration(0, {}))
    endpoints: EndpointsUpdate = field(default_factory=lambda: EndpointsUpdate(INITIAL_VERSION, []))
    nodes: NodesUpdate = field(default_factory=lambda: NodesUpdate(INITIAL_VERSION, [], 0, [], []))
    spending: SpendingUpdate = field(default_factory=lambda: SpendingUpdate(INITIAL_VERSION, []))
    configuration_deltas: deque[ConfigurationDelta] = field(default_factory=lambda: deque(maxlen=MAX_DELTAS))
    endpoints_deltas: deque[EndpointsDelta] = field(default_factory=lambda: deque(maxlen=MAX_DELTAS))
    needs_whole: bool = False  # a configuration delta could not be applied

    @property
    def known_generation(self) -> int:
        """The generation to request deltas from; 0 requests the full configuration.

        After a delta has failed the full configuration is requested: otherwise the same delta would be sent
        again and fail again in each new session.
        """
        return 0 if self.needs_whole else self.configuration.generation

    def apply(self, update: TableUpdate) -> bool:
        """Apply an update and return whether it changed a table.

        An older version, or a delta of another version than the current one, is ignored.
        """
        if isinstance(update, ConfigurationUpdate):
            if update.generation <= self.configuration.generation:
                return False
            received = Configuration(update.generation, json.loads(update.document), update.document)
            self._record_configuration_delta(self.configuration, received)
            self.configuration = received
            self.needs_whole = False
        elif isinstance(update, EndpointsUpdate):
            if update.version <= self.endpoints.version:
                return False
            self._record_endpoints_delta(self.endpoints, update)
            self.endpoints = update
        elif isinstance(update, NodesUpdate):
            if update.version <= self.nodes.version:
                return False
            self.nodes = update
        elif isinstance(update, SpendingUpdate):
            if update.version <= self.spending.version:
                return False
            self.spending = update
        elif isinstance(update, ConfigurationDelta):
            return self._apply_configuration_delta(update)
        else:
            return self._apply_endpoints_delta(update)
        return True

    def lacks_base_of(self, update: TableUpdate) -> bool:
        """Whether an update is a newer delta whose base is not the current version."""
        if isinstance(update, ConfigurationDelta):
            newest = self.configuration.generation
            return update.generation > newest and update.base != newest
        if isinstance(update, EndpointsDelta):
            version = self.endpoints.version
            return update.version > version and update.base != version
        return False

    def _apply_configuration_delta(self, delta: ConfigurationDelta) -> bool:
        if delta.base != self.configuration.generation:
            return False
        patched: Result[configuration.Document, Refusal] | None
        try:
            patched = configuration.apply_patch(self.configuration.document, json.loads(delta.patch))
        except ValueError:
            patched = None
        if patched is None or isinstance(patched, Err):
            self.needs_whole = True
            return False
        updated = patched.ok_value
        self.configuration = Configuration(delta.generation, updated)
        self.configuration_deltas.append(delta)
        return True

    def _apply_endpoints_delta(self, delta: EndpointsDelta) -> bool:
        if delta.base != self.endpoints.version:
            return False
        records = {record.id: record for record in self.endpoints.endpoints}
        for endpoint_id in delta.removed:
            records.pop(endpoint_id, None)
        records.update((record.id, record) for record in delta.changed)
        self.endpoints = EndpointsUpdate(delta.version, [records[key] for key in sorted(records)])
        self.endpoints_deltas.append(delta)
        return True

    def _record_configuration_delta(self, old: Configuration, new: Configuration) -> None:
        if not old.generation:
            return
        patch = configuration.diff(old.document, new.document)
        if patch is not None and len(body := _compact_json(patch)) < MAX_DELTA_RATIO * len(new.encoded()):
            self.configuration_deltas.append(ConfigurationDelta(old.generation, new.generation, body))

    def _record_endpoints_delta(self, old: EndpointsUpdate, new: EndpointsUpdate) -> None:
        before = {record.id: record for record in old.endpoints}
        after = {record.id: record for record in new.endpoints}
        changed = [record for key, record in after.items() if before.get(key) != record]
        removed = [key for key in before if key not in after]
        if len(changed) + len(removed) < MAX_DELTA_RATIO * len(after):
            self.endpoints_deltas.append(EndpointsDelta(old.version, new.version, changed, removed))


def _compact_json(document: configuration.Document) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()


class _Versions(NamedTuple):
    generation: int
    endpoints: TableVersion
    nodes: TableVersion
    spending: TableVersion

    def maximum(self, other: _Versions) -> _Versions:
        return _Versions(
            max(self.generation, other.generation),
            max(self.endpoints, other.endpoints),
            max(self.nodes, other.nodes),
            max(self.spending, other.spending),
        )


class Subscriber:
    """The versions that one session has been sent and has acknowledged."""

    def __init__(self) -> None:
        self._sent = _Versions(0, INITIAL_VERSION, INITIAL_VERSION, INITIAL_VERSION)
        self.acknowledged = self._sent

    def acknowledge(self, ping: SessionPing) -> None:
        self.acknowledged = _Versions(ping.generation, ping.endpoints, ping.nodes, ping.spending)
        self._sent = self._sent.maximum(self.acknowledged)

    def next_updates(self, tables: Tables) -> list[TableUpdate]:
        """The updates to send now, which are then recorded as sent."""
        updates: list[TableUpdate] = []
        if tables.configuration.generation > self._sent.generation:
            updates += _configuration_updates_since(tables, self._sent.generation)
        if tables.endpoints.version > self._sent.endpoints:
            updates += _endpoints_updates_since(tables, self._sent.endpoints)
        if tables.nodes.version > self._sent.nodes:
            updates.append(tables.nodes)
        if tables.spending.version > self._sent.spending:
            updates.append(tables.spending)
        newest = _Versions(
            tables.configuration.generation,
            tables.endpoints.version,
            tables.nodes.version,
            tables.spending.version,
        )
        self._sent = self._sent.maximum(newest)
        return updates


def _configuration_updates_since(
    tables: Tables, generation: int
) -> list[ConfigurationDelta] | list[ConfigurationUpdate]:
    chain: list[ConfigurationDelta] = []
    expected = tables.configuration.generation
    for delta in reversed(tables.configuration_deltas):
        if delta.generation == expected:
            chain.append(delta)
            expected = delta.base
            if expected == generation:
                return chain[::-1]
    return [ConfigurationUpdate(tables.configuration.generation, tables.configuration.encoded())]


def _endpoints_updates_since(
    tables: Tables, version: TableVersion
) -> list[EndpointsDelta] | list[EndpointsUpdate]:
    chain: list[EndpointsDelta] = []
    expected = tables.endpoints.version
    for delta in reversed(tables.endpoints_deltas):
        if delta.version == expected:
            chain.append(delta)
            expected = delta.base
            if expected == version:
                return chain[::-1]
    return [tables.endpoints]
