"""Requests of a `non_idempotent` route that has `resumable`; the answers to some that have run are lost."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import defaultdict
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab_2 import BROKEN, FRONTEND, HELD, CannotRun, Lab, Request, configuration, play, render, route  # noqa: E402

REQUESTS, AT_ONCE = 800, 8
# The dose of the site's answer_lost: half of the endpoints lose one answer in twenty, for four seconds.
LOST_SHARE, LOST_FOR_S = 20, 4.0


async def case(lab: Lab, trouble: bool) -> int:
    runs: dict[str, list[str]] = defaultdict(list)  # endpoints that have run a request, by its id
    lost = 0
    begun_at = 0.0

    for endpoint in lab.endpoints:

        async def serve(request: Request, writer: asyncio.StreamWriter, endpoint=endpoint) -> None:
            nonlocal lost
            runs[request.id].append(endpoint.identity)
            await asyncio.sleep(0.02)
            first_run = len(runs[request.id]) == 1
            affected = endpoint in lab.endpoints[::2] and time.monotonic() - begun_at < LOST_FOR_S
            if trouble and affected and first_run and int(request.id, 16) % LOST_SHARE == 0:
                lost += 1
                lab.note(f"{endpoint.identity} has run {request.id}; its answer is lost, by a reset")
                writer.transport.abort()
                return
            writer.write(
                render(200, b"done", Request_Id=request.id, Response_Signature=endpoint.signature(request))
            )

        endpoint.serve = serve

    order = route("order", "non_idempotent", max_attempts=2, resumable=True, slo_ms=1000)
    await lab.put_configuration(configuration(1, order), 0)
    await lab.wait_ready()
    edges = lab.with_role("edge")
    begun_at = time.monotonic()
    answers: dict[str, int] = {}

    async def client(number: int) -> None:
        for each in range(number, REQUESTS, AT_ONCE):
            request_id = f"{0x9C41D07BE2A30000 + each:016x}"
            reply = await lab.call(
                edges[each % len(edges)].ip, FRONTEND, "POST", "/order/2f", b"ticket",
                Request_Id=request_id, Timeout_Ms="4000",
            )  # fmt: skip
            answers[request_id] = reply.status

    await asyncio.gather(*(client(number) for number in range(AT_ONCE)))
    await asyncio.sleep(1)
    succeeded = sum(status == 200 for status in answers.values())
    twice = {request_id: where for request_id, where in runs.items() if len(where) > 1}
    refused = [each for each, status in answers.items() if status in (408, 421, 429, 503) and runs.get(each)]
    for request_id, where in twice.items():
        lab.note(f"{request_id} was run by {', '.join(where)}; its client got {answers[request_id]}")
    for request_id in refused:
        lab.note(f"{request_id} was run by {', '.join(runs[request_id])}, and refused: {answers[request_id]}")
    lab.note(
        f"{len(answers)} requests sent, each once; {succeeded} answered 200; {lost} answers lost; "
        f"{len(twice)} requests run twice or more; {len(refused)} refused although they ran"
    )
    if succeeded < REQUESTS // 2 or (trouble and not lost):
        raise CannotRun("too few requests were served, or no answer was lost")
    return BROKEN if twice or refused else HELD


play(case, FOLDER)
