"""A configuration update is applied completely, for requests and items, or retried; bursts are merged.

See docs/incidents/left-lying-again.md, F1 to F4.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from eiderhub.control.messages import ConfigurationDelta, ConfigurationUpdate, EndpointsUpdate, TableVersion
from eiderhub.dataplane.admission import Admission
from eiderhub.programs.edge_service import EdgeService
from tests.items_support import tier_settings, wait_until
from tests.tier_support import document


def configuration_update(generation: int) -> ConfigurationUpdate:
    return ConfigurationUpdate(generation, json.dumps(document(generation)).encode())


def make_service(folder: Path, *updates: Any) -> EdgeService:
    """Return an edge service to which these table updates have been applied."""
    service = EdgeService(tier_settings(folder, "edge"))
    for table_update in updates:
        service.tables.apply(table_update)
    service._on_tables()
    return service


class FailOnce:
    """Wraps a method so that its first call raises."""

    def __init__(self, method: Any) -> None:
        self._method = method
        self.failed = False

    def __get__(self, owner: Any, kind: type) -> Any:
        def call(*args: Any) -> Any:
            if not self.failed:
                self.failed = True
                raise RuntimeError("injected failure")
            return self._method(owner, *args)

        return call


def generation_of(service: EdgeService) -> int:
    return service._routes.generation if service._routes is not None else 0


def test_configuration_update_that_fails_is_retried(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a failed update that leaves routes of one version with admission of another.

    Without a retry the mismatch would last until the next update, which may be long in coming.
    """

    async def test() -> None:
        service = make_service(tmp_path, configuration_update(1))
        fail_once = FailOnce(Admission.update_routes)
        monkeypatch.setattr(Admission, "update_routes", fail_once)
        service.tables.apply(configuration_update(2))
        service.tables.apply(EndpointsUpdate(TableVersion(1, 1), []))
        service._session._notify_update()
        assert fail_once.failed
        assert generation_of(service) == 1
        await wait_until(lambda: generation_of(service) == 2, "the newest configuration is applied")
        assert service._endpoints_version == TableVersion(1, 1)

    asyncio.run(test())


def test_only_the_newest_of_many_changes_is_applied(tmp_path: Path) -> None:
    """Updates that arrive faster than they can be applied are all decoded, but only the last is applied."""

    async def test() -> None:
        service = make_service(tmp_path, configuration_update(1))
        applied_generations: list[int] = []
        session = service._session
        on_update, session._on_update = session._on_update, lambda: None

        def record_update() -> None:
            on_update()
            applied_generations.append(generation_of(service))

        session._on_update = record_update
        connection: Any = object()
        session.connection = connection
        for generation in range(2, 202):
            patch = json.dumps({"generation": generation, "upsert": {}, "remove": {}}).encode()
            session.on_message(connection, ConfigurationDelta(generation - 1, generation, patch))
        await wait_until(lambda: applied_generations, "the update is notified")
        assert applied_generations == [201]

    asyncio.run(test())
