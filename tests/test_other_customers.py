"""Any sidecar configuration is either served or rejected at the start with a one-line error."""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from eiderhub.balancer import Balancer
from eiderhub.interface import ListForm, Outcome
from eiderhub.sidecar.config import Config, ConfigError, load
from tests.sidecar_support import SETUP, instance_entry


class Recorder:
    """Records sends and timers; ignores other actions."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, str]] = []
        self.timers: list[tuple[int, str]] = []

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        self.sent.append((call, endpoint))

    def timer(self, delay_us: int, mark: str) -> None:
        self.timers.append((delay_us, mark))

    def __getattr__(self, name: str) -> Any:
        return lambda *_, **__: None


def key_paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, member in items:
        yield (*path, key)
        yield from key_paths(member, (*path, key))


def with_value(document: Any, path: tuple[Any, ...], value: Any) -> Any:
    document = copy.deepcopy(document)
    container = document
    for key in path[:-1]:
        container = container[key]
    if value is MISSING:
        del container[path[-1]]
    else:
        container[path[-1]] = value
    return document


def serve_calls(config: Config) -> None:
    """Send calls of each class, answer or reset them, and fire the timers that they set."""
    actions = Recorder()
    balancer = Balancer(config.settings, config.seed, actions)
    now = 1_000_000_000
    balancer.start(now)
    balancer.discovery(now, ListForm.CACHED, [entry.endpoint for entry in config.known.entries])
    for number in range(8):
        for grade in config.settings.classes:
            now += 5_000
            call = f"{grade.name}{number}"
            balancer.order(now, call, grade.name, "acme", 2_000_000, None)
            for sent, endpoint in actions.sent:
                if sent == call and call in balancer.calls:
                    outcome = Outcome.OK if number % 2 else Outcome.RESET
                    balancer.reply(now + 2_000, call, 0, endpoint, 2_000, outcome is Outcome.OK, outcome)
        timers, actions.timers = actions.timers, []
        for delay_us, mark in timers:
            balancer.wake(now + delay_us, mark)
    balancer.discovery(now, ListForm.FAILED, [])
    balancer.restore(now, balancer.learned_state(now))


MISSING = object()
EXTREMES = [MISSING, None, 0, -1, 1, 10**18, 10**30, 1e-9, 1e300, "", "x", [], {}, [None]]


def test_any_configuration_is_served_or_rejected_in_one_line(tmp_path: Path) -> None:
    """Each key of a complete configuration is missing, empty, extreme or of another type."""
    rows = [instance_entry("s-0", "127.0.0.1:80"), instance_entry("s-1", "127.0.0.1:81")]
    known = {"generation": 1, "reset": True, "instances": rows}
    document = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": known,
        "settings": {
            **SETUP,
            "Balancers": 2,
            "Rank": 0,
            "Layer": 0,
            "Goal": {"Whole": 1.0, "WorstClass": 0.2},
            "Charges": {"CrossZone": 0.1},
            "Rules": {"ColdUs": 1_000_000, "ColdFrom": 0.1, "OverloadFactor": 2.0, "AskEveryUs": 1_000_000},
            "OverShareWorth": 0.1,
        },
    }
    path = tmp_path / "config.json"
    served = rejected = 0
    for key_path in key_paths(document):
        for value in EXTREMES:
            path.write_text(json.dumps(with_value(document, key_path, value)), encoding="utf-8")
            try:
                config = load({"GW_CONFIG": str(path)})
            except ConfigError as error:
                assert "\n" not in str(error)
                rejected += 1
            else:
                serve_calls(config)
                served += 1
    assert served > 100 and rejected > 100
