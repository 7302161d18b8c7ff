"""Case 1: two control machines lose their disks at once, as the sheet allows; then no configuration comes."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from config_checks import CAPACITY, control_primary, document, read_back, show_group
from harness import KVMUB, CannotRun, Deployment, Endpoint, Record, run_case

DOWN_S = 3.0  # the dose of `after_ack_wipe` in the site's list of troubles
RECOVERY_S = float(KVMUB.bounds["recovery_s"])


async def play_day(deployment: Deployment, record: Record, trouble: bool) -> bool:
    await asyncio.sleep(5.0)  # the group has been formed
    await show_group(deployment, record)
    newest = document(7, 2274)
    await deployment.configure(newest, 5)
    if trouble:
        primary = await control_primary(deployment)
        other = next(node for node in deployment.with_role("control") if node is not primary)
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
