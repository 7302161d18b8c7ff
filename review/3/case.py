"""Case 3: control machines lose their disks one at a time, each back before the next; then none leads."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from config_checks import CAPACITY, control_primary, document, read_back, show_group
from harness import LUMENWAY_GROWN, CannotRun, Deployment, Endpoint, Record, run_case

LOSSES = 3
DOWN_S = 3.0  # the dose of `after_ack_wipe` in the site's list of troubles
CATCH_UP_S = float(LUMENWAY_GROWN.bounds["catch_up_s"])
RECOVERY_S = float(LUMENWAY_GROWN.bounds["recovery_s"])
WAIT_S = CATCH_UP_S + 2.0  # from a machine's return to the next loss


async def play_day(deployment: Deployment, record: Record, trouble: bool) -> bool:
    await asyncio.sleep(5.0)  # the group has been formed
    await show_group(deployment, record)
    generation = 5
    for number in range(1, LOSSES + 1):
        newest = document(generation + 2, 2200 + number)
        await deployment.configure(newest, generation)
        generation += 2
        if trouble:
            lost = await control_primary(deployment)
            record(f"loss {number}: {lost.name}, which acknowledged, loses its disk, for {DOWN_S} s")
            lost.kill()
            lost.lose_disk()
        await asyncio.sleep(DOWN_S)
        if trouble:
            record(f"{lost.name} starts with an empty disk")
            lost.start()
        await asyncio.sleep(WAIT_S)
        await show_group(deployment, record)
    await asyncio.sleep(RECOVERY_S - WAIT_S)
    return await read_back(deployment, record, newest)


async def play(folder: Path, record: Record, trouble: bool) -> bool:
    zones = LUMENWAY_GROWN.zones
    endpoints = [Endpoint(f"i-{n}", zones[n], lambda path, request_id: [request_id]) for n in range(4)]
    deployment = Deployment(folder, record, endpoints, LUMENWAY_GROWN, CAPACITY)
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
