"""Distribution: readers converge to the primary's tables, never go back, and are sent deltas."""

from __future__ import annotations

import json
import random
from typing import Any

from eiderhub.control.distribution import MAX_DELTAS, Subscriber, Tables
from eiderhub.control.messages import (
    ConfigurationDelta,
    ConfigurationUpdate,
    EndpointRecord,
    EndpointsDelta,
    EndpointsUpdate,
    SessionPing,
    TableVersion,
)


def configuration(generation: int, **timeouts: int) -> ConfigurationUpdate:
    routes = [
        {"name": n, "host": n, "path_prefix": "/", "timeout_ms": t, "backend": "s"}
        for n, t in timeouts.items()
    ]
    document: dict[str, Any] = {"generation": generation, "routes": routes, "backends": [{"name": "s"}]}
    return ConfigurationUpdate(generation, json.dumps(document, separators=(",", ":")).encode())


def endpoint(number: int, ready: bool = True) -> EndpointRecord:
    return EndpointRecord(f"i-{number:03}", "s", f"10.0.0.{number}:1", "z", ready, 8)


def endpoints(number: int, *records: EndpointRecord) -> EndpointsUpdate:
    return EndpointsUpdate(TableVersion(1, number), sorted(records, key=lambda r: r.id))


def ping(tables: Tables) -> SessionPing:
    return SessionPing(tables.configuration.generation, tables.endpoints.version, tables.nodes.version)


def test_change_of_one_route_is_sent_as_a_delta() -> None:
    many = {f"r{n}": 1000 for n in range(20)}
    primary, reader, subscriber = Tables(), Tables(), Subscriber()
    primary.apply(configuration(3, **many))
    (first,) = subscriber.next_updates(primary)
    assert isinstance(first, ConfigurationUpdate)
    reader.apply(first)
    primary.apply(configuration(7, **many | {"r4": 5}))
    (second,) = subscriber.next_updates(primary)
    assert isinstance(second, ConfigurationDelta)
    assert len(second.patch) < len(primary.configuration.encoded()) / 5
    assert reader.apply(second)
    assert reader.configuration.document == primary.configuration.document
    assert subscriber.next_updates(primary) == []


def test_reader_ignores_older_versions_and_deltas_of_another_version() -> None:
    reader = Tables()
    reader.apply(configuration(5, a=1))
    assert not reader.apply(configuration(4, a=2))
    assert not reader.apply(configuration(5, a=2))
    assert not reader.apply(ConfigurationDelta(4, 9, b'{"generation":9}'))
    assert not reader.apply(EndpointsDelta(TableVersion(1, 1), TableVersion(1, 2), [endpoint(1)], []))
    assert reader.configuration.encoded() == configuration(5, a=1).document


def test_subscriber_without_a_known_version_is_sent_the_full_table() -> None:
    primary = Tables()
    for generation in range(1, 4):
        primary.apply(configuration(generation, a=generation, **{f"r{n}": 1 for n in range(9)}))
    subscriber = Subscriber()
    subscriber.acknowledge(SessionPing(2, TableVersion(0, 0), TableVersion(0, 0)))
    assert [type(u) for u in subscriber.next_updates(primary)] == [ConfigurationDelta]
    other = Subscriber()
    other.acknowledge(SessionPing(0, TableVersion(0, 0), TableVersion(0, 0)))
    assert [type(u) for u in other.next_updates(primary)] == [ConfigurationUpdate]


def test_readers_that_lag_and_reconnect_converge_to_the_primarys_tables() -> None:
    rng = random.Random(5)
    primary, relay, reader = Tables(), Tables(), Tables()
    to_relay, to_reader = Subscriber(), Subscriber()
    timeouts = {f"r{n}": 1 for n in range(30)}
    known = {n: endpoint(n) for n in range(40)}
    kinds = set()
    for step in range(1, 4 * MAX_DELTAS):
        timeouts[f"r{rng.randrange(30)}"] = step
        known[rng.randrange(60)] = endpoint(rng.randrange(60), rng.random() < 0.8)
        primary.apply(configuration(step, **timeouts))
        primary.apply(endpoints(step, *{r.id: r for r in known.values()}.values()))
        if rng.random() < 0.02:  # a new session: updates in transit are lost
            to_relay, to_reader = Subscriber(), Subscriber()
            to_relay.acknowledge(ping(relay))
            to_reader.acknowledge(ping(reader))
        for source, subscriber, target in ((primary, to_relay, relay), (relay, to_reader, reader)):
            if rng.random() < 0.5:
                for update in subscriber.next_updates(source):
                    kinds.add(type(update))
                    target.apply(update)
    for source, subscriber, target in ((primary, to_relay, relay), (relay, to_reader, reader)):
        for update in subscriber.next_updates(source):
            target.apply(update)
    assert reader.configuration.document == primary.configuration.document
    assert reader.endpoints == primary.endpoints
    assert {ConfigurationDelta, EndpointsDelta} <= kinds


def test_delta_without_its_base_is_distinguished_from_an_old_delta() -> None:
    """A session that misses a base must be reopened, or it would never receive the newest version."""
    reader = Tables()
    reader.apply(configuration(5, a=1))
    reader.apply(endpoints(4, endpoint(1)))
    assert reader.lacks_base_of(ConfigurationDelta(6, 7, b"{}"))
    assert not reader.lacks_base_of(ConfigurationDelta(5, 7, b"{}"))
    assert not reader.lacks_base_of(ConfigurationDelta(3, 5, b"{}"))
    assert reader.lacks_base_of(EndpointsDelta(TableVersion(1, 5), TableVersion(1, 6), [], []))
    assert not reader.lacks_base_of(EndpointsDelta(TableVersion(1, 4), TableVersion(1, 6), [], []))
    assert not reader.lacks_base_of(configuration(9, a=2))


def test_full_configuration_is_sent_after_a_delta_that_cannot_be_applied() -> None:
    """The same delta would fail in each new session: a sidecar would never get a newer configuration."""
    primary, reader, subscriber = Tables(), Tables(), Subscriber()
    many = {f"r{n}": 1000 for n in range(20)}
    primary.apply(configuration(3, **many))
    reader.apply(subscriber.next_updates(primary)[0])
    for patch in (b'{"upsert": []}', b"not JSON", b'{"upsert": {"routes": [{}]}}'):
        assert not reader.apply(ConfigurationDelta(3, 4, patch))
        assert reader.needs_whole
        assert reader.configuration.generation == 3  # the current configuration is kept
        new_subscriber = Subscriber()
        primary.apply(configuration(4, **many | {"r4": 5}))
        new_subscriber.acknowledge(
            SessionPing(reader.known_generation, reader.endpoints.version, reader.nodes.version)
        )
        (update,) = new_subscriber.next_updates(primary)
        assert isinstance(update, ConfigurationUpdate)
    assert reader.apply(update)
    assert not reader.needs_whole
    assert reader.known_generation == 4
