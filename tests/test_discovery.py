"""Polling of discovery, on real sockets: races, failures and malformed lists."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from structlog.testing import capture_logs

from eiderhub.interface import ListForm, Readiness
from eiderhub.sidecar import discovery, upstream
from eiderhub.sidecar.config import load
from eiderhub.sidecar.discovery import DiscoveryWatcher, ListedEndpoint, parse_endpoint_list
from tests.sidecar_support import (
    LONG_S,
    SETUP,
    FakeServer,
    Sidecar,
    discovery_response,
    instance_entry,
    lengthen_poll_limits,
    run,
)


@pytest.fixture(autouse=True)
def long_poll_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """The limits of a poll are long, except where a test has one of them for its subject."""
    lengthen_poll_limits(monkeypatch)


class WatcherFixture:
    """A watcher of a fake discovery, and the lists that it delivers."""

    def __init__(self, retry_forever: bool = False, ask_interval_us: int = 60_000_000) -> None:
        self.retry_forever = retry_forever
        self.ask_interval_us = ask_interval_us
        self.deliveries: asyncio.Queue[tuple[ListForm, list[ListedEndpoint]]] = asyncio.Queue()
        self.on_list: Callable[[ListForm, list[ListedEndpoint]], None] = lambda form, rows: (
            self.deliveries.put_nowait((form, rows))
        )

    async def __aenter__(self) -> WatcherFixture:
        self.fake = await FakeServer().start()
        host, _, port = self.fake.address.rpartition(":")
        self.watcher = DiscoveryWatcher(
            host,
            int(port),
            1,
            self.retry_forever,
            self.ask_interval_us,
            lambda form, rows: self.on_list(form, rows),
        )
        self.watcher.set_enabled(True)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.watcher.set_enabled(False)
        self.fake.server.close()

    async def next_form(self) -> ListForm:
        return (await self.deliveries.get())[0]


READY_ENTRY = instance_entry("s-0", "127.0.0.1:80")


def after_parameter(asked: Any) -> str:
    return str(asked.message.start_line).partition("?")[2].partition("&")[0]


def test_poll_racing_with_close_of_reused_connection_is_retried(monkeypatch: pytest.MonkeyPatch) -> None:
    # The process may be paused for longer than 0.1 s between the poll and the reset.
    monkeypatch.setattr(discovery, "KEEP_ALIVE_RACE_US", int(LONG_S * 1e6))

    async def test() -> None:
        async with WatcherFixture() as watched:
            asked = await watched.fake.next_request()
            asked.reply(200, discovery_response(2, False, READY_ENTRY))
            assert await watched.next_form() is ListForm.DELTA
            # The reset races with the next poll, which the watcher sends on receiving this response.
            again = await watched.fake.next_request()
            again.reset()
            third = await watched.fake.next_request()
            assert (again.connection, third.connection) == (0, 1)
            third.reply(200, discovery_response(3, False, READY_ENTRY))
            assert await watched.next_form() is ListForm.DELTA  # without a failure in between
            await watched.fake.next_request()

    run(test())


@pytest.mark.parametrize("retry_forever", [True, False])
def test_poll_without_response_is_retried_on_new_connection(
    retry_forever: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery, "RESPONSE_GRACE_S", 0.05)

    async def test() -> None:
        async with WatcherFixture(retry_forever, ask_interval_us=100_000) as watched:
            silent = await watched.fake.next_request()
            # The poll under way keeps its short limit; the next one must not end before the test answers.
            monkeypatch.setattr(discovery, "RESPONSE_GRACE_S", LONG_S)
            again = await watched.fake.next_request()
            assert again.connection != silent.connection
            assert after_parameter(again) == "after=1"
            assert await watched.fake.disconnects.get() == silent.connection
            again.reply(200, discovery_response(2, False, READY_ENTRY))
            assert await watched.next_form() is ListForm.DELTA

    run(test())


def test_second_poll_without_response_is_reported_as_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "RESPONSE_GRACE_S", 0.05)

    async def test() -> None:
        async with WatcherFixture(ask_interval_us=100_000) as watched:
            for _ in range(2):
                await watched.fake.next_request()
            assert await watched.next_form() is ListForm.FAILED

    run(test())


def test_failing_callback_does_not_stop_polling() -> None:
    async def test() -> None:
        async with WatcherFixture(retry_forever=True) as watched:
            deliver = watched.on_list

            def broken(form: ListForm, rows: list[ListedEndpoint]) -> None:
                watched.on_list = deliver
                raise RuntimeError("broken on purpose")

            watched.on_list = broken
            (await watched.fake.next_request()).reply(200, discovery_response(2, False, READY_ENTRY))
            again = await watched.fake.next_request()
            assert after_parameter(again) == "after=1"  # a list that was not applied is requested again
            again.reply(200, discovery_response(2, False, READY_ENTRY))
            assert await watched.next_form() is ListForm.DELTA

    run(test())


@pytest.mark.parametrize("stage", ["the wait", "a list", "a backoff", "a connect"])
def test_address_change_at_any_stage_leaves_one_client_at_new_address(stage: str) -> None:
    async def test() -> None:
        async with WatcherFixture(retry_forever=True) as watched:
            after = await FakeServer().start()
            host, _, port = after.address.rpartition(":")
            whole = discovery_response(7, True, READY_ENTRY)
            asked = None
            if stage != "a connect":
                asked = await watched.fake.next_request()
            if asked is not None and stage == "a list":
                asked.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(whole))
                asked.writer.write(whole[:20])
                await asyncio.sleep(0.01)
            elif asked is not None and stage == "a backoff":
                asked.reset()
                await asyncio.sleep(0.01)
            watched.watcher.set_address(host, int(port))
            if asked is not None and stage != "a backoff":
                asked.writer.write(whole[20:] if stage == "a list" else b"HTTP/1.1 200 OK\r\n")
            moved = await after.next_request()
            assert after_parameter(moved) == "after=1"
            moved.reply(200, discovery_response(2, False, READY_ENTRY))
            assert await watched.next_form() is ListForm.DELTA
            assert after_parameter(await after.next_request()) == "after=2"
            assert watched.deliveries.empty()
            assert after.connections == 1

    run(test())


def test_off_and_on_in_one_loop_iteration_leaves_one_client(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "READ_GAP_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with WatcherFixture(retry_forever=True) as watched:
            before = await watched.fake.next_request()
            watched.watcher.set_enabled(False)
            watched.watcher.set_enabled(True)
            asked = await watched.fake.next_request()
            assert await watched.fake.disconnects.get() == before.connection
            asked.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
            # Its gap timer still runs: the old poll's end has not cancelled it.
            again = await watched.fake.next_request()
            again.reply(200, discovery_response(2, False, READY_ENTRY))
            assert await watched.next_form() is ListForm.DELTA

    run(test())


@pytest.mark.parametrize("whole", [True, False])
def test_older_list_is_not_applied_and_full_list_is_requested(whole: bool) -> None:
    async def test() -> None:
        async with WatcherFixture() as watched:
            (await watched.fake.next_request()).reply(200, discovery_response(5, False, READY_ENTRY))
            assert await watched.next_form() is ListForm.DELTA
            (await watched.fake.next_request()).reply(
                200, discovery_response(3, whole, instance_entry("s-1", "127.0.0.1:81"))
            )
            asked = await watched.fake.next_request()
            assert asked.message.start_line == "GET /discovery/hosts HTTP/1.1"
            # Discovery has restarted its numbering.
            asked.reply(200, discovery_response(4, True, READY_ENTRY))
            assert await watched.next_form() is ListForm.FULL
            assert after_parameter(await watched.fake.next_request()) == "after=4"
            assert watched.deliveries.empty()

    run(test())


def test_chunked_list_may_pause_longer_than_the_streaming_delay() -> None:
    """A list may pause within the read limits; `upstream.STREAMING_DELAY_S` is for responses to callers."""

    async def test() -> None:
        async with WatcherFixture() as watched:
            asked = await watched.fake.next_request()
            body = discovery_response(2, True, READY_ENTRY)
            asked.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for start in range(0, len(body), 60):
                piece = body[start : start + 60]
                asked.writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                await asyncio.sleep(0.2)
                assert watched.deliveries.empty()  # the poll has not failed
            asked.writer.write(b"0\r\n\r\n")
            form, rows = await watched.deliveries.get()
            assert (form, [each.endpoint.id for each in rows]) == (ListForm.FULL, ["s-0"])

    run(test())


def test_list_may_be_indented_and_chunked(monkeypatch: pytest.MonkeyPatch) -> None:
    # A pause of the process between two writes must not end the poll. That the delay applies to lists at all
    # is a fault, which test_chunked_list_may_pause_longer_than_the_streaming_delay shows.
    monkeypatch.setattr(upstream, "STREAMING_DELAY_S", LONG_S)

    async def test() -> None:
        async with WatcherFixture() as watched:
            asked = await watched.fake.next_request()
            body = json.dumps(json.loads(discovery_response(2, True, READY_ENTRY)), indent=4).encode()
            asked.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for start in range(0, len(body), 50):
                piece = body[start : start + 50]
                asked.writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                await asyncio.sleep(0)
            asked.writer.write(b"0\r\n\r\n")
            form, rows = await watched.deliveries.get()
            assert (form, [each.endpoint.id for each in rows]) == (ListForm.FULL, ["s-0"])

    run(test())


UNREADABLE_ENTRIES = [
    {**instance_entry("s-1", "127.0.0.1:81"), "lifecycle": "warming"},
    {**instance_entry("s-1", "127.0.0.1:81"), "weight": "heavy"},
    instance_entry("s-1", "nowhere"),
    instance_entry("s-1", "127.0.0.1:99999"),
]


@pytest.mark.parametrize("bad", UNREADABLE_ENTRIES)
def test_unreadable_entry_is_draining_and_others_are_kept(bad: dict[str, Any]) -> None:
    with capture_logs() as logs:
        found = parse_endpoint_list(discovery_response(2, True, READY_ENTRY, bad))
    assert [(e.endpoint.id, e.endpoint.readiness, e.endpoint.zone) for e in found.entries] == [
        ("s-0", Readiness.READY, "a"),
        ("s-1", Readiness.DRAINING, "a"),
    ]
    assert [line["entries"] for line in logs] == [1]


def test_entry_without_id_is_skipped_and_fully_unreadable_list_is_rejected() -> None:
    assert len(parse_endpoint_list(discovery_response(2, True, READY_ENTRY, {"zone": "a"})).entries) == 1
    assert (
        len(
            parse_endpoint_list(
                b'{"generation": 2, "reset": true, "instances": [3, %s]}' % json.dumps(READY_ENTRY).encode()
            ).entries
        )
        == 1
    )
    with pytest.raises(ValueError, match="no entry can be read"):
        parse_endpoint_list(discovery_response(2, True, *UNREADABLE_ENTRIES))


def test_unreadable_entry_of_a_known_endpoint_takes_it_out_of_use() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            stays, goes = sidecar.endpoints
            bad = {**instance_entry("s-1", goes.address), "lifecycle": "leaving"}
            (await sidecar.discovery.next_request()).reply(200, discovery_response(2, False, bad))
            await sidecar.discovery.next_request()
            for _ in range(6):
                client = await sidecar.client()
                client.send()
                (await stays.next_request()).reply()
                assert (await client.read_answer()).status == 200
            assert goes.connections == 0

    run(test())


def test_unusable_list_keeps_last_good_one_and_is_requested_again_with_delay() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            begun = time.monotonic()
            (await sidecar.discovery.next_request()).reply(
                200, discovery_response(2, True, *UNREADABLE_ENTRIES)
            )
            assert after_parameter(await sidecar.discovery.next_request()) == "after=1"
            assert time.monotonic() - begun > 0.2
            assert sidecar.host.listed_endpoints == {"s-0"}

    run(test())


def test_unreadable_entry_of_known_list_does_not_prevent_start(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    known = json.loads(discovery_response(4, True, READY_ENTRY, UNREADABLE_ENTRIES[0]))
    document = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETUP, "known": known}
    path.write_text(json.dumps(document), encoding="utf-8")
    found = load({"GW_CONFIG": str(path)}).known
    assert (found.generation, [entry.endpoint.id for entry in found.entries]) == (4, ["s-0"])


def test_pushed_lists_are_polled_soon_after_long_outage() -> None:
    """A backoff that doubled up to seconds would exceed the timeout of this test."""

    async def test() -> None:
        async with WatcherFixture(retry_forever=True) as watched:
            for _ in range(20):
                (await watched.fake.next_request()).reply(503, b"")
            (await watched.fake.next_request()).reply(200, discovery_response(2, False, READY_ENTRY))
            assert await watched.next_form() is ListForm.DELTA

    run(test())
