"""Streams the control plane's tables to subscribers, and follows them on the subscriber's side.

Pure: it says what to send and what to apply. Each table has versions that only rise at a reader, and each
subscriber's acknowledgements are kept, so that only what it lacks is sent.
"""

from __future__ import annotations

from msgspec import Struct, field

from eiderhub.control.messages import (
    ConfigurationUpdate,
    EndpointsUpdate,
    NodesUpdate,
    SessionPing,
    TableVersion,
)

UNKNOWN = TableVersion(0, 0)


class Tables(Struct):
    """What a node has of the control plane's state."""

    configuration: ConfigurationUpdate = field(default_factory=lambda: ConfigurationUpdate(0, b""))
    endpoints: EndpointsUpdate = field(default_factory=lambda: EndpointsUpdate(UNKNOWN, []))
    nodes: NodesUpdate = field(default_factory=lambda: NodesUpdate(UNKNOWN, [], [], []))

    def apply(self, update: ConfigurationUpdate | EndpointsUpdate | NodesUpdate) -> bool:
        """Take a newer state of one table; an older one changes nothing."""
        if isinstance(update, ConfigurationUpdate):
            if update.generation <= self.configuration.generation:
                return False
            self.configuration = update
        elif isinstance(update, EndpointsUpdate):
            if update.version <= self.endpoints.version:
                return False
            self.endpoints = update
        else:
            if update.version <= self.nodes.version:
                return False
            self.nodes = update
        return True


class Subscriber:
    """What one session has been sent and has acknowledged."""

    def __init__(self) -> None:
        self.sent = SessionPing(0, UNKNOWN, UNKNOWN)
        self.acknowledged = SessionPing(0, UNKNOWN, UNKNOWN)

    def acknowledge(self, ping: SessionPing) -> None:
        self.acknowledged = ping
        self.sent = SessionPing(
            max(self.sent.generation, ping.generation),
            max(self.sent.endpoints, ping.endpoints),
            max(self.sent.nodes, ping.nodes),
        )

    def pending(self, tables: Tables) -> list[ConfigurationUpdate | EndpointsUpdate | NodesUpdate]:
        """What to send now; it counts as sent."""
        updates: list[ConfigurationUpdate | EndpointsUpdate | NodesUpdate] = []
        if tables.configuration.generation > self.sent.generation:
            updates.append(tables.configuration)
        if tables.endpoints.version > self.sent.endpoints:
            updates.append(tables.endpoints)
        if tables.nodes.version > self.sent.nodes:
            updates.append(tables.nodes)
        self.sent = SessionPing(
            max(self.sent.generation, tables.configuration.generation),
            max(self.sent.endpoints, tables.endpoints.version),
            max(self.sent.nodes, tables.nodes.version),
        )
        return updates
