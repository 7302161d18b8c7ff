"""A batch job whose item carries a whole request inside the value of one of its headers."""

from __future__ import annotations

import asyncio
import base64
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab_2 import BROKEN, FRONTEND, HELD, HOST, CannotRun, Lab, Request, configuration, play  # noqa: E402

JOB, ITEM, SMUGGLED = "7c41e09b52d6a3f8", "e5b2907c14da6f38", "00000000deadbeef"
# Ends the item's own head, then a request of its own, then a head that takes up the rest of the item's.
INSIDE = (
    f"1\r\nRequest-Id: {ITEM}\r\nContent-Length: 0\r\n\r\n"
    f"POST /live/orders?all=1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {SMUGGLED}\r\n"
    "Content-Length: 6\r\n\r\nhidden"
    "POST /batch/rest HTTP/1.1\r\nX-Rest: 1"
)


async def case(lab: Lab, trouble: bool) -> int:
    sent = {JOB, ITEM}
    runs: list[Request] = []

    for endpoint in lab.endpoints:

        async def serve(request: Request, writer: asyncio.StreamWriter, endpoint=endpoint) -> None:
            runs.append(request)
            lab.note(f"{endpoint.identity} gets {request.method} {request.path}: {request.body!r}")
            await endpoint.stream(request, writer)

        endpoint.serve = serve

    await lab.put_configuration(configuration(1), 0)
    await lab.wait_ready()
    item = {
        "id": ITEM, "path": f"/batch/{ITEM}", "tokens": 940,
        "headers": {"Model": "m", "Token-Usage": "540,400", "X-Tag": INSIDE if trouble else "1"},
        "body": base64.b64encode(b"prompt").decode(),
    }  # fmt: skip
    body = json.dumps({"requests": [item]}).encode()
    edge = lab.with_role("edge")[0]
    status = 0
    for _ in range(20):
        reply = await lab.call(
            edge.ip, FRONTEND, "POST", f"/batch/{JOB}", body, Request_Id=JOB, Content_Type="application/json"
        )
        status = reply.status
        lab.note(f"client: batch job {JOB} with item {ITEM} sent, answered {status}")
        if status in (202, 400, 422):
            break
        await asyncio.sleep(0.5)
    if status == 0 or status >= 500 or (not trouble and status != 202):
        raise CannotRun("the batch job gets no answer")
    for _ in range(12):
        await asyncio.sleep(0.5)
        page = await lab.results(edge, JOB) if status == 202 else None
        if page is not None and page["results"]:
            lab.note(f"client: read {page['results']}")
            break
    unasked = [request for request in runs if request.id not in sent]
    for request in unasked[:10]:
        lab.note(f"no client sent {request.method} {request.path} with id {request.id!r}, {request.body!r}")
    lab.note(f"{len(unasked)} of {len(runs)} runs are of a request that no client sent")
    if not trouble and not runs:
        raise CannotRun("the item has not run")
    return BROKEN if unasked else HELD


play(case, FOLDER)
