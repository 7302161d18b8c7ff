"""The watch on discovery, where two events cross or a list is not what it should be: real sockets."""

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
from eiderhub.sidecar import discovery
from eiderhub.sidecar.config import load
from eiderhub.sidecar.discovery import Listed, Watcher, read_listing
from tests.sidecar_support import SETUP, Fake, Sidecar, listing, row, run


class Watched:
    """A watch at a fake discovery, and what it delivers."""

    def __init__(self, persist: bool = False, ask_every_us: int = 60_000_000) -> None:
        self.persist = persist
        self.ask_every_us = ask_every_us
        self.lists: asyncio.Queue[tuple[ListForm, list[Listed]]] = asyncio.Queue()
        self.deliver: Callable[[ListForm, list[Listed]], None] = lambda form, rows: self.lists.put_nowait(
            (form, rows)
        )

    async def __aenter__(self) -> Watched:
        self.fake = await Fake().start()
        host, _, port = self.fake.address.rpartition(":")
        self.watcher = Watcher(
            host, int(port), 1, self.persist, self.ask_every_us, lambda form, rows: self.deliver(form, rows)
        )
        self.watcher.turn(True)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.watcher.turn(False)
        self.fake.server.close()

    async def forms(self) -> ListForm:
        return (await self.lists.get())[0]


E0 = row("s-0", "127.0.0.1:80")


def asks_after(asked: Any) -> str:
    return str(asked.message.first).partition("?")[2].partition("&")[0]


def test_kept_connection_that_is_closed_as_the_next_call_is_written_costs_no_list() -> None:
    async def test() -> None:
        async with Watched() as watched:
            asked = await watched.fake.next()
            asked.reply(200, listing(2, False, E0))
            assert await watched.forms() is ListForm.DELTA
            # The end is in the kernel before the call that the answer brings: the two cross.
            again = await watched.fake.next()
            again.reset()
            third = await watched.fake.next()
            assert (again.connection, third.connection) == (0, 1)
            third.reply(200, listing(3, False, E0))
            assert await watched.forms() is ListForm.DELTA  # and no failure in between
            await watched.fake.next()

    run(test())


@pytest.mark.parametrize("persist", [True, False])
def test_watch_that_falls_silent_is_opened_anew_before_anybody_waits(
    persist: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery, "PATIENCE_S", 0.05)

    async def test() -> None:
        async with Watched(persist, ask_every_us=100_000) as watched:
            silent = await watched.fake.next()
            again = await watched.fake.next()
            assert again.connection != silent.connection
            assert asks_after(again) == "after=1"
            assert await watched.fake.ends.get() == silent.connection
            again.reply(200, listing(2, False, E0))
            assert await watched.forms() is ListForm.DELTA

    run(test())


def test_second_silence_is_a_failure_that_the_module_hears_of(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "PATIENCE_S", 0.05)

    async def test() -> None:
        async with Watched(ask_every_us=100_000) as watched:
            for _ in range(2):
                await watched.fake.next()
            assert await watched.forms() is ListForm.FAILED

    run(test())


def test_callback_that_fails_does_not_end_the_watch() -> None:
    async def test() -> None:
        async with Watched(persist=True) as watched:
            deliver = watched.deliver

            def broken(form: ListForm, rows: list[Listed]) -> None:
                watched.deliver = deliver
                raise RuntimeError("broken on purpose")

            watched.deliver = broken
            (await watched.fake.next()).reply(200, listing(2, False, E0))
            again = await watched.fake.next()
            assert asks_after(again) == "after=1"  # what could not be used is asked for again
            again.reply(200, listing(2, False, E0))
            assert await watched.forms() is ListForm.DELTA

    run(test())


@pytest.mark.parametrize("amid", ["the wait", "a list", "a backoff", "a connect"])
def test_move_amid_anything_leaves_one_watch_that_hears_only_the_new_address(amid: str) -> None:
    async def test() -> None:
        async with Watched(persist=True) as watched:
            after = await Fake().start()
            host, _, port = after.address.rpartition(":")
            whole = listing(7, True, E0)
            asked = None
            if amid != "a connect":
                asked = await watched.fake.next()
            if asked is not None and amid == "a list":
                asked.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(whole))
                asked.writer.write(whole[:20])
                await asyncio.sleep(0.01)
            elif asked is not None and amid == "a backoff":
                asked.reset()
                await asyncio.sleep(0.01)
            watched.watcher.move(host, int(port))
            if asked is not None and amid != "a backoff":
                asked.writer.write(whole[20:] if amid == "a list" else b"HTTP/1.1 200 OK\r\n")
            moved = await after.next()
            assert asks_after(moved) == "after=1"
            moved.reply(200, listing(2, False, E0))
            assert await watched.forms() is ListForm.DELTA
            assert asks_after(await after.next()) == "after=2"
            assert watched.lists.empty()
            assert after.connections == 1

    run(test())


def test_off_and_on_within_one_turn_leaves_one_watch_with_its_own_call() -> None:
    async def test() -> None:
        async with Watched(persist=True) as watched:
            before = await watched.fake.next()
            watched.watcher.turn(False)
            watched.watcher.turn(True)
            asked = await watched.fake.next()
            assert await watched.fake.ends.get() == before.connection
            asked.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
            again = await watched.fake.next()  # its gap still runs: the old call's end has not taken it away
            again.reply(200, listing(2, False, E0))
            assert await watched.forms() is ListForm.DELTA

    run(test())


@pytest.mark.parametrize("whole", [True, False])
def test_older_list_is_not_applied_but_the_whole_one_is_asked_for(whole: bool) -> None:
    async def test() -> None:
        async with Watched() as watched:
            (await watched.fake.next()).reply(200, listing(5, False, E0))
            assert await watched.forms() is ListForm.DELTA
            (await watched.fake.next()).reply(200, listing(3, whole, row("s-1", "127.0.0.1:81")))
            asked = await watched.fake.next()
            assert asked.message.first == "GET /discovery/hosts HTTP/1.1"
            asked.reply(200, listing(4, True, E0))  # so it has begun anew
            assert await watched.forms() is ListForm.FULL
            assert asks_after(await watched.fake.next()) == "after=4"
            assert watched.lists.empty()

    run(test())


def test_list_may_come_indented_and_in_pieces() -> None:
    async def test() -> None:
        async with Watched() as watched:
            asked = await watched.fake.next()
            body = json.dumps(json.loads(listing(2, True, E0)), indent=4).encode()
            asked.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for start in range(0, len(body), 50):
                piece = body[start : start + 50]
                asked.writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                await asyncio.sleep(0)
            asked.writer.write(b"0\r\n\r\n")
            form, rows = await watched.lists.get()
            assert (form, [each.endpoint.id for each in rows]) == (ListForm.FULL, ["s-0"])

    run(test())


BAD = [
    {**row("s-1", "127.0.0.1:81"), "lifecycle": "warming"},
    {**row("s-1", "127.0.0.1:81"), "weight": "heavy"},
    row("s-1", "nowhere"),
    row("s-1", "127.0.0.1:99999"),
]


@pytest.mark.parametrize("bad", BAD)
def test_entry_that_cannot_be_read_gets_nothing_new_and_costs_no_other(bad: dict[str, Any]) -> None:
    with capture_logs() as logs:
        found = read_listing(listing(2, True, E0, bad))
    assert [(e.endpoint.id, e.endpoint.readiness, e.endpoint.zone) for e in found.entries] == [
        ("s-0", Readiness.READY, "a"),
        ("s-1", Readiness.DRAINING, "a"),
    ]
    assert [line["entries"] for line in logs] == [1]


def test_entry_without_an_id_is_left_out_and_a_list_of_nothing_readable_is_none() -> None:
    assert len(read_listing(listing(2, True, E0, {"zone": "a"})).entries) == 1
    assert (
        len(
            read_listing(
                b'{"generation": 2, "reset": true, "instances": [3, %s]}' % json.dumps(E0).encode()
            ).entries
        )
        == 1
    )
    with pytest.raises(ValueError, match="no entry can be read"):
        read_listing(listing(2, True, *BAD))


def test_unreadable_entry_of_a_known_endpoint_takes_it_out_of_use() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            stays, goes = sidecar.endpoints
            bad = {**row("s-1", goes.address), "lifecycle": "leaving"}
            (await sidecar.discovery.next()).reply(200, listing(2, False, bad))
            await sidecar.discovery.next()
            for _ in range(6):
                client = await sidecar.client()
                client.send()
                (await stays.next()).reply()
                assert (await client.answer()).status == 200
            assert goes.connections == 0

    run(test())


def test_unusable_list_leaves_the_last_good_one_and_is_asked_for_again_without_a_tight_loop() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            begun = time.monotonic()
            (await sidecar.discovery.next()).reply(200, listing(2, True, *BAD))
            assert asks_after(await sidecar.discovery.next()) == "after=1"
            assert time.monotonic() - begun > 0.2
            assert sidecar.host.listed == {"s-0"}

    run(test())


def test_bad_entry_of_the_known_list_does_not_keep_the_process_from_starting(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    known = json.loads(listing(4, True, E0, BAD[0]))
    document = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETUP, "known": known}
    path.write_text(json.dumps(document), encoding="utf-8")
    found = load({"GW_CONFIG": str(path)}).known
    assert (found.generation, [entry.endpoint.id for entry in found.entries]) == (4, ["s-0"])


def test_pushed_lists_are_asked_for_again_soon_however_long_discovery_was_down() -> None:
    """With a wait that doubles up to seconds this takes longer than a test may."""

    async def test() -> None:
        async with Watched(persist=True) as watched:
            for _ in range(20):
                (await watched.fake.next()).reply(503, b"")
            (await watched.fake.next()).reply(200, listing(2, False, E0))
            assert await watched.forms() is ListForm.DELTA

    run(test())
