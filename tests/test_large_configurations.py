"""Configurations of thousands of routes: the primary checks them apart from its event loop, and takes them.

See docs/incidents/large-configuration-never-taken.md.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from eiderhub.control import configuration
from eiderhub.control.configuration import Change, CheckedBody, Document, ItemCheck, check_body, decide, parse
from tests.test_any_configuration import drawn_configuration
from tests.tier_support import Tier, document, route

SEEDS = range(200)
NEW_ROUTES = 6_000


def test_configuration_of_thousands_of_routes_is_taken(tmp_path: Path) -> None:
    """Guards against a check that outlasts the lease: each primary steps down, and the change gets 504."""
    tier = Tier(tmp_path, storage=0, edges=0)
    try:
        tier.start()
        assert tier.put_configuration(document(1), 0) == 200
        routes = [route(f"r{number}") for number in range(NEW_ROUTES)]
        assert tier.put_configuration(document(2, *routes), 1) == 200
        assert len(tier.configuration()["routes"]) == len(document(2, *routes)["routes"])
    finally:
        tier.close()


@pytest.mark.parametrize("is_patch", [False, True])
def test_items_checked_before_are_not_checked_again(is_patch: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a check of many items on the event loop, which has to renew the lease."""
    current = document(1)
    new = document(2, *(route(f"r{number}") for number in range(40)))
    body = {"generation": 2, "upsert": {"routes": new["routes"]}} if is_patch else new
    change = Change(1, is_patch, json.dumps(body).encode())
    checked = check_body(change.body, is_patch, current)
    validated: list[int] = []
    original = configuration.schema_errors

    def counting(sample: Document) -> Any:
        validated.append(sum(len(sample.get(name, [])) for name in configuration.NAMED_LISTS))
        return original(sample)

    monkeypatch.setattr(configuration, "schema_errors", counting)
    assert decide(current, None, 0, change, checked.document.unwrap(), checked.items).is_ok()
    assert validated == [0]


def drawn_change(rng: random.Random) -> tuple[Document, Change]:
    """A configuration in force, and a change of it that may be invalid."""
    current = drawn_configuration(random.Random(3), 1)
    drawn = drawn_configuration(rng, 2)
    if rng.random() < 0.5:
        return current, Change(1, False, json.dumps(drawn).encode())
    upsert = {name: drawn[name] for name in ("routes", "backends", "tenants", "limits")}
    remove: Any = rng.choice(
        ({}, {"routes": ["r"]}, {"routes": [1]}, [], {"tenants": ["t"], "backends": "s"})
    )
    patch = {"generation": 2, "upsert": rng.choice((upsert, upsert, None, [])), "remove": remove}
    return current, Change(1, True, json.dumps(patch).encode())


def play(seed: int, check: Callable[[bytes, bool, Document], CheckedBody] = check_body) -> bool:
    """A change is decided alike, whether its body was checked before or not; whether it is accepted."""
    current, change = drawn_change(random.Random(seed))
    checked = check(change.body, change.is_patch, current)
    at_once = decide(current, None, 0, change, parse(change.body).unwrap())
    in_two_steps = decide(current, None, 0, change, checked.document.unwrap(), checked.items)
    assert at_once.is_ok() == in_two_steps.is_ok(), change.body
    if at_once.is_ok():
        assert at_once.unwrap() == in_two_steps.unwrap()
    return at_once.is_ok()


def test_change_is_decided_alike_whether_its_body_was_checked_before() -> None:
    """Guards against an invalid change that is acknowledged, and a valid one that is refused."""
    accepted = sum(play(seed) for seed in SEEDS)
    assert len(SEEDS) / 10 < accepted < len(SEEDS)


def _trust_items(body: bytes, is_patch: bool, valid: Document) -> CheckedBody:
    checked = check_body(body, is_patch, valid)
    document = checked.document.unwrap()
    part = document["upsert"] or {} if is_patch else document
    return checked._replace(items=ItemCheck({name: part[name] for name in part if name != "generation"}))


def test_property_finds_a_check_that_takes_every_item_for_valid() -> None:
    """Planted: items are valid without a check."""
    with pytest.raises(AssertionError):
        for seed in SEEDS:
            play(seed, _trust_items)
