"""JSON from outside that is nested deeply: refused, or taken and then applied or run.

See docs/incidents/nested-too-deeply.md.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from eiderhub.batch.job_ids import BODY_PREFIX
from eiderhub.batch.jobs import BatchLimits, JobTable
from eiderhub.control import configuration
from eiderhub.control.configuration import diff
from eiderhub.control.messages import ConfigurationDelta, ConfigurationUpdate
from eiderhub.programs.edge_service import EdgeService
from eiderhub.storage.store import MemoryStore
from tests.items_support import ROUTE, running_harness, tier_settings, wait_for_results, wait_until
from tests.outside_input import SOUND_ITEM
from tests.test_any_configuration import accepted

LIMIT = sys.getrecursionlimit()
# Around the depths at which a reader fails, which differ by how deep its own calls are.
DEPTHS = (1, 10, 90, 100, 500, *range(LIMIT - 60, LIMIT + 10), 10 * LIMIT, 100 * LIMIT)
DRAWN_DEPTHS = 12
CONFIGURATION_DEPTHS = (1, 10, 50, 90, 96, 97, 98, 200, 500, 700, 800)
APPLY_FRAMES = 150


def nested(depth: int) -> str:
    """A JSON value of this many lists or objects in each other."""
    return "[" * depth + "]" * depth if depth % 2 else '{"a":' * depth + "0" + "}" * depth


def submission(depth: int) -> bytes:
    return f'{{"requests":[{json.dumps(SOUND_ITEM)}],"note":{nested(depth)}}}'.encode()


def drawn_depths(seed: int) -> list[int]:
    return random.Random(seed).sample(DEPTHS, DRAWN_DEPTHS)


async def submit_nested(folder: Path, depths: list[int]) -> list[int]:
    """Submit jobs; every one is answered, and each that is accepted runs after a reload. Their statuses."""
    statuses = []
    async with running_harness(folder) as harness:
        sidecar = await harness.add_sidecar("edge-0")
        for depth in depths:
            job = f"depth-{depth}"
            answer = await sidecar.runner.submit(job, ROUTE, submission(depth))
            statuses.append(answer.status)
            if answer.status == 202:
                await wait_until(lambda: SOUND_ITEM["id"] in sidecar.admission.calls, "the item runs")
                sidecar.admission.finish_item(SOUND_ITEM["id"])
                await wait_for_results(sidecar, job, SOUND_ITEM["id"])
        assert sidecar.proxy.session_count == 1
    return statuses


@pytest.mark.parametrize("seed", range(3))
def test_deeply_nested_submission_is_answered_and_what_is_accepted_runs(tmp_path: Path, seed: int) -> None:
    """Guards against a submission that raises an error where it is read: it got no answer, then 504."""
    depths = [*drawn_depths(seed), 1, 100 * LIMIT]
    statuses = asyncio.run(submit_nested(tmp_path, depths))
    assert set(statuses) == {202, 400}
    assert statuses[-2:] == [202, 400]


def test_fields_that_are_not_known_are_not_stored() -> None:
    """Guards against a stored job that is too deep to be read where its items are started."""
    limits = BatchLimits(ROUTE, 10.0, 40.0, 3, 0.0)
    writes = JobTable(MemoryStore()).submit(0.0, "job", limits, submission(50))
    assert isinstance(writes, list)
    (body,) = [write.value for write in writes if write.key.startswith(BODY_PREFIX)]
    assert body is not None and json.loads(body) == {"requests": [SOUND_ITEM | {"tokens": 1.0}]}


def configured(depth: int, generation: int) -> dict[str, Any]:
    """A configuration with a route that has a member of this depth."""
    route = {"name": "r", "host": "h", "path_prefix": "/r/", "timeout_ms": 1000, "backend": "s"}
    route |= {"note": json.loads(nested(depth)), "slo_ms": generation}
    return {"generation": generation, "routes": [route], "backends": [{"name": "s"}]}


def play_configurations(folder: Path) -> list[int]:
    """Change a configuration of each depth by another one; the depths of those that are acknowledged."""
    taken = []
    service = EdgeService(tier_settings(folder, "edge"))
    for number, depth in enumerate(CONFIGURATION_DEPTHS):
        first, second = (configured(depth, 2 * number + more) for more in (1, 2))
        bodies = [accepted(document) for document in (first, second)]
        if None in bodies:
            continue
        taken.append(depth)
        patch = diff(first, second)
        assert patch is not None
        updates = (
            ConfigurationUpdate(first["generation"], bodies[0] or b""),
            ConfigurationDelta(first["generation"], second["generation"], json.dumps(patch).encode()),
        )
        for update in updates:
            apply_below(APPLY_FRAMES, partial(service.tables.apply, update))
            service._on_tables()
        assert service._routes is not None and service._routes.generation == second["generation"]
    return taken


def apply_below(frames: int, apply: Callable[[], bool]) -> None:
    """Call it with this many frames more on the stack: programs differ in that."""
    if frames:
        apply_below(frames - 1, apply)
    else:
        assert apply()


async def run_configurations(folder: Path) -> list[int]:
    return play_configurations(folder)


def test_deeply_nested_configuration_that_is_acknowledged_is_applied(tmp_path: Path) -> None:
    """Guards against a configuration that its primary can read and a process with a deeper stack cannot."""
    taken = asyncio.run(run_configurations(tmp_path))
    assert taken and max(taken) < configuration.MAX_NESTING


def test_planted_limit_of_the_reader_alone_is_found(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: whatever the primary's reader takes is acknowledged, as before."""
    monkeypatch.setattr(configuration, "MAX_NESTING", 100 * LIMIT)
    with pytest.raises((AssertionError, RecursionError)):
        asyncio.run(run_configurations(tmp_path))
