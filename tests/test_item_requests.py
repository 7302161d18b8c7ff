"""What an item's text may become at an endpoint: exactly the request that its client described, or none.

See docs/incidents/smuggled-request.md.
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import re
from pathlib import Path
from typing import Any

import httptools
import msgspec
import pytest

from eiderhub import request_head
from eiderhub.batch.job_ids import BODY_PREFIX, JOB_PREFIX
from eiderhub.batch.jobs import (
    BatchLimits,
    ItemRecord,
    JobRecord,
    JobTable,
    SubmittedItem,
)
from eiderhub.control.errors import ErrorKind, Refusal
from eiderhub.coordination.messages import Write
from eiderhub.request_head import item_head
from eiderhub.storage.store import MemoryStore
from tests.items_support import ROUTE, running_harness, wait_for_results, wait_until
from tests.outside_input import SMUGGLED, SOUND_ITEM, item

LIMITS = BatchLimits(ROUTE, 10.0, 40.0, 3, 0.0, 16_384)
SEEDS = range(2_000)


class ParsedRequests:
    """The requests that an HTTP parser finds in some bytes."""

    def __init__(self, data: bytes) -> None:
        self.targets: list[bytes] = []
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.complete = 0
        self._target = b""
        httptools.HttpRequestParser(self).feed_data(data)

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete += 1
        self.targets.append(self._target)

    def values(self, name: bytes) -> list[bytes]:
        return [value for key, value in self.headers if key == name]


def submit(table: JobTable, *entries: dict[str, Any]) -> list[Write] | Refusal:
    return table.submit(0.0, "job", LIMITS, json.dumps({"requests": entries}).encode())


def check_sent_request(entry: dict[str, Any]) -> bool:
    """If a job with this item is accepted, an endpoint reads exactly the item; returns whether it is."""
    if isinstance(submit(JobTable(MemoryStore()), entry), Refusal):
        return False
    submitted = msgspec.convert(entry, SubmittedItem)
    body = base64.b64decode(submitted.body)
    head = item_head(submitted.id, submitted.path, submitted.headers, "route.example", body)
    parsed = ParsedRequests(head + b"Expect-Instance: i-1\r\n\r\n" + body)
    assert parsed.complete == 1
    assert parsed.targets == [submitted.path.encode()]
    assert parsed.body == body
    assert parsed.values(b"host") == [b"route.example"]
    assert parsed.values(b"request-id") == [submitted.id.encode()]
    assert parsed.values(b"expect-instance") == [b"i-1"]
    assert parsed.values(b"last-event-id") == parsed.values(b"transfer-encoding") == []
    assert len(parsed.values(b"content-length")) == 1
    return True


KNOWN_CASES: tuple[dict[str, Any], ...] = (
    SOUND_ITEM | {"headers": {"X-Tag": SMUGGLED}},
    SOUND_ITEM | {"headers": {"host": "other.example", "request-ID": "b", "LAST-EVENT-ID": "7"}},
    SOUND_ITEM | {"headers": {"Host ": "other.example"}},
    SOUND_ITEM | {"path": "/a HTTP/1.1\r\nX: 1"},
)


def check_drawn_items(seeds: range) -> int:
    """Check one drawn item a seed; returns how many were accepted."""
    return sum(check_sent_request(item(random.Random(seed))) for seed in seeds)


def test_endpoint_reads_exactly_the_accepted_item() -> None:
    """Guards against a request, or a header that names another one, inside the text of an item."""
    for entry in KNOWN_CASES:
        check_sent_request(entry)
    accepted = check_drawn_items(SEEDS)
    assert len(SEEDS) / 4 < accepted < len(SEEDS)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("_FIELD_VALUE", re.compile(b"[^\x00]*")),
        ("_TOKEN", re.compile(b"[^:]+")),
        ("_ORIGIN_FORM", re.compile(b"/[^ ]*")),
        ("ITEM_IDENTITY_HEADERS", frozenset()),
        ("NOT_FORWARDED", frozenset()),
    ],
)
def test_property_finds_a_check_that_is_missing(
    monkeypatch: pytest.MonkeyPatch, name: str, value: Any
) -> None:
    """Planted faults: each part of the check is needed."""
    monkeypatch.setattr(request_head, name, value)
    with pytest.raises((AssertionError, httptools.HttpParserError)):
        check_drawn_items(SEEDS)


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"headers": {"X-Tag": SMUGGLED}}, "X-Tag"),
        ({"headers": {"Host ": "other"}}, "Host "),
        ({"path": "x"}, "path"),
        ({"path": "/a b"}, "path"),
        ({"id": ""}, "id"),
        ({"id": "a "}, "id"),
        ({"body": "é"}, "body"),
        ({"tokens": -1}, "tokens"),
        ({"tokens": 1e300}, "tokens"),
        ({"headers": {"X-Tag": "x" * LIMITS.max_head_bytes}}, "headers"),
    ],
)
def test_unsendable_item_is_refused_by_name_and_nothing_of_its_job_is_kept(
    change: dict[str, Any], field: str
) -> None:
    """Guards against a 202 for an item that cannot be sent: it would run as something else, or never end."""
    table = JobTable(MemoryStore())
    entry = SOUND_ITEM | change
    refusal = submit(table, SOUND_ITEM | {"id": "first"}, entry)
    assert isinstance(refusal, Refusal)
    assert refusal.kind is ErrorKind.INVALID
    assert f"item {entry['id']!r}" in refusal.reason
    assert field in refusal.reason
    assert not table.jobs
    assert table.queued_tokens(ROUTE) == 0


def stored_job(*entries: dict[str, Any]) -> list[Write]:
    """The writes of a job that a version without the check has accepted."""
    record = JobRecord("job", ROUTE, 2e9, 10.0, 40.0, 3, [ItemRecord(e["id"], e["tokens"]) for e in entries])
    return [
        Write(JOB_PREFIX + "job", msgspec.msgpack.encode(record)),
        Write(BODY_PREFIX + "job", json.dumps({"requests": entries}).encode()),
    ]


@pytest.mark.parametrize("primary_checks", [True, False])
def test_unsendable_item_of_an_older_version_ends_as_a_dead_letter_unsent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, primary_checks: bool
) -> None:
    """Guards against an item accepted before the check that is sent after all, or is never listed."""
    if not primary_checks:  # as a primary one version behind
        monkeypatch.setattr(JobTable, "_check_items", lambda table, job: None)

    async def test() -> None:
        async with running_harness(tmp_path) as harness:
            unsendable = SOUND_ITEM | {"id": "unsendable", "headers": {"X-Tag": SMUGGLED}}
            service = harness.storage.service
            await service.group.write(stored_job(SOUND_ITEM, unsendable))
            service._jobs.load()
            sidecar = await harness.add_sidecar("edge-0")
            await wait_until(lambda: "a" in sidecar.admission.calls, "the sound item runs")
            sidecar.admission.finish_item("a")
            await wait_for_results(sidecar, "job", "a", "unsendable")
            assert sidecar.admission.ordered == ["a"]
            page = json.loads((await sidecar.runner.read("job", 0, 0)).body)
            states = {result["id"]: result["state"] for result in page["results"]}
            assert states == {"a": "succeeded", "unsendable": "dead_letter"}

    asyncio.run(test())
