"""Among ordinary batch jobs, one whose id has 500 characters."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab_2 import BROKEN, HELD, CannotRun, Lab, Request, configuration, play  # noqa: E402

LONG_ID = "run-" + "7c41e09b52d6a3f8" * 31  # 500 characters
BEFORE, AFTER, ITEMS = 3, 8, 4
FINISH_S, IDLE_S = 30.0, 5.0  # more than finish_s; the rule's calm time


async def case(lab: Lab, trouble: bool) -> int:
    await lab.put_configuration(configuration(1), 0)
    await lab.wait_ready()
    edges = lab.with_role("edge")
    accepted: dict[str, float] = {}
    listed: dict[str, int] = {}
    last_at_endpoint = 0.0

    for endpoint in lab.endpoints:

        async def serve(request: Request, writer: asyncio.StreamWriter, endpoint=endpoint) -> None:
            nonlocal last_at_endpoint
            await endpoint.stream(request, writer)
            last_at_endpoint = time.monotonic()

        endpoint.serve = serve

    async def send(job: str, number: int, tries: int) -> None:
        items = [f"{number:08x}{each:08x}" for each in range(ITEMS)]
        for attempt in range(tries):
            reply = await lab.submit(edges[(number + attempt) % len(edges)], job, items)
            lab.note(f"client: batch job {job[:20]} ({len(job)} characters) sent, answered {reply.status}")
            if reply.status == 202:
                accepted[job] = time.monotonic()
                return
            await asyncio.sleep(0.5)

    async def read_all(until: float) -> None:
        while time.monotonic() < until and any(listed.get(job, 0) < ITEMS for job in accepted):
            for job in accepted:
                if listed.get(job, 0) < ITEMS and len(job) < 100:
                    page = await lab.results(edges[len(listed) % len(edges)], job)
                    if page is not None and len(page["results"]) > listed.get(job, 0):
                        listed[job] = len(page["results"])
                        lab.note(f"client: {job} lists {listed[job]} of {ITEMS} results")
            await asyncio.sleep(0.5)

    for number in range(BEFORE):
        await send(f"{number:016x}", number, 20)
    await read_all(time.monotonic() + 15)
    if len(accepted) < BEFORE or any(count < ITEMS for count in listed.values()):
        raise CannotRun("the first batch jobs do not finish")
    await send(LONG_ID if trouble else "f" * 16, BEFORE, 6)
    for number in range(BEFORE + 1, BEFORE + 1 + AFTER):
        await send(f"{number:016x}", number, 6)
    await read_all(time.monotonic() + FINISH_S)
    ordinary = [job for job in accepted if len(job) < 100]
    unfinished = [job for job in ordinary if listed.get(job, 0) < ITEMS]
    logs = [program.log.read_text() for program in lab.with_role("storage")]
    lab.note(f"{sum(log.count('leads epoch') for log in logs)} times a storage node became primary")
    idle_s = time.monotonic() - last_at_endpoint
    lab.note(f"no endpoint has had an item for {idle_s:.1f} s")
    lab.note(f"{len(ordinary)} ordinary batch jobs accepted, {len(unfinished)} of them not finished")
    if unfinished and idle_s < IDLE_S:
        raise CannotRun("the endpoints are still at work")
    return BROKEN if unfinished else HELD


play(case, FOLDER)
