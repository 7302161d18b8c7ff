"""Case 1: two control machines lose their disks at once, as the sheet allows; then no configuration comes."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    HOST,
    KVMUB,
    SERVICE,
    CannotRun,
    Deployment,
    Endpoint,
    Program,
    Record,
    run_case,
)

DOWN_S = 3.0  # the dose of `after_ack_wipe` in the site's list of troubles
READ_BACK_S = 15.0  # the pages: again and again for at least `liveness_ms`, here 4 s
RECOVERY_S = float(KVMUB.bounds["recovery_s"])
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


async def play_day(deployment: Deployment, record: Record, trouble: bool) -> bool:
    await asyncio.sleep(5.0)  # the group has been formed
    await show_group(deployment, record)
    newest = document(7, 2274)
    await deployment.configure(newest, 5)
    if trouble:
        nodes = deployment.with_role("control")
        statuses = [await control_status(deployment, node) for node in nodes]
        primary = next((n for n, s in zip(nodes, statuses, strict=True) if s.get("leads")), nodes[0])
        other = next(node for node in nodes if node is not primary)
        record(f"the disruption: {primary.name}, which acknowledged, and {other.name} lose their disks")
        for node in (primary, other):
            node.kill()
            node.lose_disk()
        await asyncio.sleep(DOWN_S)
        record(f"{primary.name} and {other.name} start with empty disks")
        for node in (primary, other):
            node.start()
    await asyncio.sleep(RECOVERY_S)
    await show_group(deployment, record)
    return await read_back(deployment, record, newest)


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


async def play(folder: Path, record: Record, trouble: bool) -> bool:
    endpoints = [
        Endpoint(f"i-{number}", KVMUB.zones[number % 3], lambda path, request_id: [request_id])
        for number in range(4)
    ]
    deployment = Deployment(folder, record, endpoints, KVMUB, CAPACITY)
    try:
        await deployment.start()
        await deployment.configure(document(5, 2200), 0)
        await deployment.wait_ready()
        return await play_day(deployment, record, trouble)
    finally:
        deployment.close()


async def main(folder: Path, record: Record, trouble: bool) -> bool:
    try:
        async with asyncio.timeout(110):
            return await play(folder, record, trouble)
    except TimeoutError:
        raise CannotRun("it took longer than 110 s") from None


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).resolve().parent))
