"""What the cases on the configuration share: a configuration, the group's state, the read-back at the end."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from harness import HOST, SERVICE, Deployment, Program, Record

READ_BACK_S = 15.0  # the pages: again and again for at least `liveness_ms`, at most 5 s
CAPACITY = 8


def document(generation: int, timeout_ms: int) -> dict[str, Any]:
    route = {
        "name": "r-licence", "host": HOST, "path_prefix": "/lic/", "route_kind": "streaming",
        "timeout_ms": timeout_ms, "slo_ms": 341, "priority": 0, "backend": SERVICE, "max_attempts": 1,
        "resumable": False, "session_affinity": True, "gap_aim_ms": 150,
    }  # fmt: skip
    backend = {
        "name": SERVICE, "health_path": "/healthz", "max_connections": 590, "protocol": "h1", "tls": False,
        "engine": {"capacity": CAPACITY, "kv_capacity_tokens": 357_257},
    }  # fmt: skip
    return {
        "generation": generation,
        "routes": [route],
        "backends": [backend],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
    }  # fmt: skip


async def control_status(deployment: Deployment, program: Program) -> dict[str, Any]:
    """What a control node says of its group, for the record."""
    reply = await deployment.control_call(program, "GET", "/status")
    return json.loads(reply.body) if reply is not None and reply.status == 200 else {}


async def show_group(deployment: Deployment, record: Record) -> None:
    for program in deployment.with_role("control"):
        if program.runs:
            status = await control_status(deployment, program)
            record(
                f"{program.name}: leads {status.get('leads')}, generation {status.get('generation')}, "
                f"{len(status.get('members', []))} members"
            )
        else:
            record(f"{program.name}: down")


async def control_primary(deployment: Deployment) -> Program:
    """The control node that leads, by its own status; the first one if none says so."""
    nodes = [node for node in deployment.with_role("control") if node.runs]
    for node in nodes:
        if (await control_status(deployment, node)).get("leads"):
            return node
    return nodes[0]


async def read_back(deployment: Deployment, record: Record, newest: dict[str, Any]) -> bool:
    """Read the configuration, again and again."""
    answers: dict[str, int] = {}
    deadline = time.monotonic() + READ_BACK_S
    while time.monotonic() < deadline:
        reply = await deployment.operator("GET", "/config")
        status = "none" if reply is None else str(reply.status)
        answers[status] = answers.get(status, 0) + 1
        if reply is not None and reply.status == 200:
            same = json.loads(reply.body) == newest
            record(f"GET /config: {answers}, generation {json.loads(reply.body)['generation']}, same {same}")
            return same
        await asyncio.sleep(0.25)
    record(f"GET /config for {READ_BACK_S:g} s: {answers}; the configuration doesn't come")
    change = json.dumps(document(9, 2000)).encode()
    reply = await deployment.operator("PUT", "/config", change, newest["generation"])
    record(f"a further change on top of it: {'none' if reply is None else reply.status}")
    return False
