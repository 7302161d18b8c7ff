"""An item is cut off after two events; the endpoint that takes it up answers 422: it can never be done."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab_2 import BROKEN, HELD, CannotRun, Lab, Request, configuration, play, render, text_of  # noqa: E402

JOB, EVENTS = "7c41e09b52d6a3f8", 8
ITEMS = [f"e5b2907c14da6f{n:02x}" for n in range(6)]
REFUSED_ITEM = ITEMS[2]
ENDPOINTS = 6  # one of them is lost for good: a share of 0.17
LISTED_S = 3.0  # a crashed endpoint remains on the platform's list for some seconds


async def case(lab: Lab, trouble: bool) -> int:
    first_runs: set[str] = set()  # items that an endpoint has begun

    for endpoint in lab.endpoints:
        endpoint.events, endpoint.pause_s = EVENTS, 0.1

        async def serve(request: Request, writer: asyncio.StreamWriter, endpoint=endpoint) -> None:
            if request.id != REFUSED_ITEM:
                await endpoint.stream(request, writer)
            elif trouble and request.id not in first_runs:
                first_runs.add(request.id)
                await endpoint.stream_until(request, writer, 2)
                lab.note(f"{endpoint.identity} crashes while it runs {request.id}, after events 0 and 1")
                endpoint.crash()
                asyncio.get_running_loop().call_later(LISTED_S, setattr, endpoint, "listed", False)
            else:
                asked = request.headers.get("last-event-id", "none")
                lab.note(f"{endpoint.identity} answers {request.id} with 422; Last-Event-Id: {asked}")
                signature = endpoint.signature(request)
                writer.write(render(422, Request_Id=request.id, Response_Signature=signature))

        endpoint.serve = serve

    await lab.put_configuration(configuration(1), 0)
    await lab.wait_ready()
    edge = lab.with_role("edge")[0]
    for _ in range(20):
        reply = await lab.submit(edge, JOB, ITEMS)
        lab.note(f"client: batch job {JOB} sent, answered {reply.status}")
        if reply.status == 202:
            break
        await asyncio.sleep(0.5)
    else:
        raise CannotRun("the batch job is not accepted")
    page = None
    for _ in range(60):
        page = await lab.results(lab.with_role("edge")[1], JOB)
        if page is not None and page["next_token"] == len(ITEMS):
            break
        await asyncio.sleep(0.5)
    if page is None:
        raise CannotRun("the results cannot be read")
    broken = False
    for result in page["results"]:
        whole = "\n".join(text_of(result["id"], EVENTS))
        is_whole = result["text"] == whole
        lab.note(f"client: read {result}; whole output: {is_whole}")
        broken |= result["state"] == "succeeded" and not is_whole
    if len(page["results"]) < len(ITEMS):
        raise CannotRun("not all items are listed")
    return BROKEN if broken else HELD


play(case, FOLDER, endpoints=ENDPOINTS)
