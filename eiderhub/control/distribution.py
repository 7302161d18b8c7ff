"""Streams the control plane's tables to subscribers, and follows them on the subscriber's side.

Pure: it says what to send and what to apply. Each table has versions that only rise at a reader. A subscriber
that has one of the recent versions is sent the changes since then, any other the whole table; it is taken to
have what it says that it has applied.
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

UNKNOWN = TableVersion(0, 0)
KEPT_DELTAS = 64  # changes of a table that a subscriber may be behind
WHOLE_SHARE = 0.5  # a delta larger than this share of its table is not worth keeping


class Configuration:
    """One generation of the operator's configuration; its JSON is made where somebody needs it."""

    __slots__ = ("_encoded", "document", "generation")

    def __init__(
        self, generation: int, document: configuration.Document, encoded: bytes | None = None
    ) -> None:
        self.generation = generation
        self.document = document
        self._encoded = encoded

    def encoded(self) -> bytes:
        if self._encoded is None:
            self._encoded = _compact(self.document)
        return self._encoded


class Tables(Struct):
    """What a node has of the control plane's state, and the latest changes of it."""

    configuration: Configuration = field(default_factory=lambda: Configuration(0, {}))
    endpoints: EndpointsUpdate = field(default_factory=lambda: EndpointsUpdate(UNKNOWN, []))
    nodes: NodesUpdate = field(default_factory=lambda: NodesUpdate(UNKNOWN, [], 0, [], []))
    spending: SpendingUpdate = field(default_factory=lambda: SpendingUpdate(UNKNOWN, []))
    configuration_deltas: deque[ConfigurationDelta] = field(default_factory=lambda: deque(maxlen=KEPT_DELTAS))
    endpoints_deltas: deque[EndpointsDelta] = field(default_factory=lambda: deque(maxlen=KEPT_DELTAS))
    needs_whole: bool = False  # a change of the configuration could not be applied to what is here

    @property
    def known_generation(self) -> int:
        """Of the configuration that changes may build on; 0: the whole is wanted.

        Danger: were the same change sent again, it would fail again, with each session.
        """
        return 0 if self.needs_whole else self.configuration.generation

    def apply(self, update: TableUpdate) -> bool:
        """Take a newer state of one table; an older one, or a change of another state, changes nothing."""
        if isinstance(update, ConfigurationUpdate):
            if update.generation <= self.configuration.generation:
                return False
            made = Configuration(update.generation, json.loads(update.document), update.document)
            self._note_configuration(self.configuration, made)
            self.configuration = made
            self.needs_whole = False
        elif isinstance(update, EndpointsUpdate):
            if update.version <= self.endpoints.version:
                return False
            self._note_endpoints(self.endpoints, update)
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
            return self._apply_configuration(update)
        else:
            return self._apply_endpoints(update)
        return True

    def lacks_base_of(self, update: TableUpdate) -> bool:
        """Whether a change is newer than what is here, and builds on a state that is not."""
        if isinstance(update, ConfigurationDelta):
            newest = self.configuration.generation
            return update.generation > newest and update.base != newest
        if isinstance(update, EndpointsDelta):
            version = self.endpoints.version
            return update.version > version and update.base != version
        return False

    def _apply_configuration(self, delta: ConfigurationDelta) -> bool:
        if delta.base != self.configuration.generation:
            return False
        patched: Result[configuration.Document, Refusal] | None
        try:
            patched = configuration.patched(self.configuration.document, json.loads(delta.patch))
        except ValueError:
            patched = None
        if patched is None or isinstance(patched, Err):
            self.needs_whole = True
            return False
        made = patched.ok_value
        self.configuration = Configuration(delta.generation, made)
        self.configuration_deltas.append(delta)
        return True

    def _apply_endpoints(self, delta: EndpointsDelta) -> bool:
        if delta.base != self.endpoints.version:
            return False
        records = {record.id: record for record in self.endpoints.endpoints}
        for identity in delta.removed:
            records.pop(identity, None)
        records.update((record.id, record) for record in delta.changed)
        self.endpoints = EndpointsUpdate(delta.version, [records[key] for key in sorted(records)])
        self.endpoints_deltas.append(delta)
        return True

    def _note_configuration(self, old: Configuration, new: Configuration) -> None:
        if not old.generation:
            return
        patch = configuration.difference(old.document, new.document)
        if patch is not None and len(body := _compact(patch)) < WHOLE_SHARE * len(new.encoded()):
            self.configuration_deltas.append(ConfigurationDelta(old.generation, new.generation, body))

    def _note_endpoints(self, old: EndpointsUpdate, new: EndpointsUpdate) -> None:
        before = {record.id: record for record in old.endpoints}
        after = {record.id: record for record in new.endpoints}
        changed = [record for key, record in after.items() if before.get(key) != record]
        removed = [key for key in before if key not in after]
        if len(changed) + len(removed) < WHOLE_SHARE * len(after):
            self.endpoints_deltas.append(EndpointsDelta(old.version, new.version, changed, removed))


def _compact(document: configuration.Document) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()


class _Sent(NamedTuple):
    generation: int
    endpoints: TableVersion
    nodes: TableVersion
    spending: TableVersion

    def raised_to(self, other: _Sent) -> _Sent:
        return _Sent(
            max(self.generation, other.generation),
            max(self.endpoints, other.endpoints),
            max(self.nodes, other.nodes),
            max(self.spending, other.spending),
        )


class Subscriber:
    """What one session has been sent and has acknowledged."""

    def __init__(self) -> None:
        self._sent = _Sent(0, UNKNOWN, UNKNOWN, UNKNOWN)
        self.acknowledged = self._sent

    def acknowledge(self, ping: SessionPing) -> None:
        self.acknowledged = _Sent(ping.generation, ping.endpoints, ping.nodes, ping.spending)
        self._sent = self._sent.raised_to(self.acknowledged)

    def pending(self, tables: Tables) -> list[TableUpdate]:
        """What to send now; it counts as sent."""
        updates: list[TableUpdate] = []
        if tables.configuration.generation > self._sent.generation:
            updates += _since_generation(tables, self._sent.generation)
        if tables.endpoints.version > self._sent.endpoints:
            updates += _since_version(tables, self._sent.endpoints)
        if tables.nodes.version > self._sent.nodes:
            updates.append(tables.nodes)
        if tables.spending.version > self._sent.spending:
            updates.append(tables.spending)
        newest = _Sent(
            tables.configuration.generation,
            tables.endpoints.version,
            tables.nodes.version,
            tables.spending.version,
        )
        self._sent = self._sent.raised_to(newest)
        return updates


def _since_generation(
    tables: Tables, generation: int
) -> list[ConfigurationDelta] | list[ConfigurationUpdate]:
    chain: list[ConfigurationDelta] = []
    wanted = tables.configuration.generation
    for delta in reversed(tables.configuration_deltas):
        if delta.generation == wanted:
            chain.append(delta)
            wanted = delta.base
            if wanted == generation:
                return chain[::-1]
    return [ConfigurationUpdate(tables.configuration.generation, tables.configuration.encoded())]


def _since_version(tables: Tables, version: TableVersion) -> list[EndpointsDelta] | list[EndpointsUpdate]:
    chain: list[EndpointsDelta] = []
    wanted = tables.endpoints.version
    for delta in reversed(tables.endpoints_deltas):
        if delta.version == wanted:
            chain.append(delta)
            wanted = delta.base
            if wanted == version:
                return chain[::-1]
    return [tables.endpoints]
