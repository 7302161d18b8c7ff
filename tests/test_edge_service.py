"""A change of the configuration is put in force whole or not at all, for requests and for items.

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
from tests.items_support import tier_settings, until
from tests.tier_support import document


def update(generation: int) -> ConfigurationUpdate:
    return ConfigurationUpdate(generation, json.dumps(document(generation)).encode())


def service_with(folder: Path, *updates: Any) -> EdgeService:
    """A sidecar's service that is told these tables."""
    service = EdgeService(tier_settings(folder, "edge"))
    for each in updates:
        service.tables.apply(each)
    service._on_tables()
    return service


class FaultOnce:
    """A method that fails the first time that it is called."""

    def __init__(self, method: Any) -> None:
        self._method = method
        self.failed = False

    def __get__(self, owner: Any, kind: type) -> Any:
        def call(*args: Any) -> Any:
            if not self.failed:
                self.failed = True
                raise RuntimeError("a fault of the program")
            return self._method(owner, *args)

        return call


def generation_of(service: EdgeService) -> int:
    return service._routes.generation if service._routes is not None else 0


def test_configuration_that_could_not_be_put_in_force_is_tried_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nothing else may come for long: routes of one version beside admission of another would stay."""

    async def test() -> None:
        service = service_with(tmp_path, update(1))
        fault = FaultOnce(Admission.follow_routes)
        monkeypatch.setattr(Admission, "follow_routes", fault)
        service.tables.apply(update(2))
        service.tables.apply(EndpointsUpdate(TableVersion(1, 1), []))
        service._session._tell_update()
        assert fault.failed
        assert generation_of(service) == 1
        await until(lambda: generation_of(service) == 2, "the newest configuration is in force")
        assert service._endpoints_version == TableVersion(1, 1)

    asyncio.run(test())


def test_only_the_newest_of_many_changes_is_put_in_force(tmp_path: Path) -> None:
    """Changes that come faster than a sidecar can follow are read, not carried out one by one."""

    async def test() -> None:
        service = service_with(tmp_path, update(1))
        followed: list[int] = []
        session = service._session
        on_update, session._on_update = session._on_update, lambda: None

        def told() -> None:
            on_update()
            followed.append(generation_of(service))

        session._on_update = told
        connection: Any = object()
        session.connection = connection
        for generation in range(2, 202):
            patch = json.dumps({"generation": generation, "upsert": {}, "remove": {}}).encode()
            session.on_message(connection, ConfigurationDelta(generation - 1, generation, patch))
        await until(lambda: followed, "the change is told")
        assert followed == [201]

    asyncio.run(test())
