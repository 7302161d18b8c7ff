"""The operators' calls and the figures, on loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

from eiderhub.sidecar import lifecycle
from eiderhub.sidecar import management as managing
from eiderhub.sidecar import process as program
from eiderhub.sidecar.management import MOST, MOST_LINE, Management
from tests.sidecar_support import Client, Sidecar, listing, row, run


class Managed(Sidecar):
    """A sidecar with its management listener."""

    async def __aenter__(self) -> Managed:
        await super().__aenter__()
        self.management = Management(self.server.lifecycle, self.host.figure_lines)
        await self.management.bind("127.0.0.1", 0)
        return self

    async def __aexit__(self, *details: object) -> None:
        self.management.close()
        await super().__aexit__(*details)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        port = self.management.listener.sockets[0].getsockname()[1]
        return await asyncio.open_connection("127.0.0.1", port)

    async def call(self, line: bytes) -> str:
        reader, writer = await self.connect()
        writer.write(line)
        answer = await reader.read()
        writer.close()
        return answer.decode()

    async def stats(self) -> dict[str, int]:
        first, *lines, last = (await self.call(b"stats\n")).splitlines()
        assert (first, last) == ("OK", "END")
        pairs = [line.split("=") for line in lines]
        return {name: int(value) for name, value in pairs}


def test_status_says_yes_once_a_list_has_named_endpoints() -> None:
    async def test() -> None:
        async with Managed(endpoints=0) as sidecar:
            assert await sidecar.call(b"status\n") == "ERR starting\n"
        async with Managed() as sidecar:
            assert await sidecar.call(b"status\n") == "OK serving\n"
            assert await sidecar.call(b"status\r\n") == "OK serving\n"

    run(test())


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        (b"reboot\n", "unknown call"),
        (b"\n", "unknown call"),
        (b"\xff\xfe\n", "no plain text"),
        (b"x" * (MOST_LINE + 1), "too long"),
        (b"status " + b"x" * MOST_LINE + b"\n", "too long"),
    ],
)
def test_bad_line_gets_one_error_with_the_reason_and_an_end(line: bytes, reason: str) -> None:
    async def test() -> None:
        async with Managed() as sidecar:
            answer = await sidecar.call(line)
            assert answer.startswith("ERR ") and reason in answer
            assert answer.count("\n") == 1
            assert await sidecar.call(b"status\n") == "OK serving\n"

    run(test())


def test_line_may_come_in_pieces_and_an_early_end_costs_nothing() -> None:
    async def test() -> None:
        async with Managed() as sidecar:
            reader, writer = await sidecar.connect()
            for piece in (b"st", b"atus", b"\r", b"\n"):
                writer.write(piece)
                await asyncio.sleep(0)
            assert await reader.read() == b"OK serving\n"
            writer.close()
            for half in (b"", b"sta"):
                reader, writer = await sidecar.connect()
                writer.write(half)
                writer.write_eof()
                assert (await reader.read()).startswith(b"ERR " if half else b"")
                writer.close()
            while sidecar.management.waiting:
                await asyncio.sleep(0.01)

    run(test())


def test_half_lines_are_given_up_and_neither_hold_others_up_nor_pile_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with Managed() as sidecar:
            held = []
            for _ in range(3 * MOST):
                reader, writer = await sidecar.connect()
                writer.write(b"stat")
                held.append((reader, writer))
            assert await sidecar.call(b"status\n") == "OK serving\n"
            assert len(sidecar.management.waiting) <= MOST
            for _, writer in held:
                writer.close()
            monkeypatch.setattr(managing, "WAIT_S", 0.05)
            reader, writer = await sidecar.connect()
            assert (await reader.read()).startswith(b"ERR no whole line")
            writer.close()

    run(test())


def test_figures_are_what_clients_saw() -> None:
    async def test() -> None:
        async with Managed(callers=2) as sidecar:
            zero = await sidecar.stats()
            assert zero.pop("svc.hosts_listed") == 1
            assert set(zero.values()) == {0}
            names = ("success", "busy", "failure")
            calls = {f"svc.calls.{c}.{n}" for c in ("look", "hold", "pay") for n in names}
            assert calls < set(zero)
            client = await sidecar.client()

            client.send("pay")
            asked = await sidecar.endpoints[0].next()
            held = await sidecar.stats()
            assert (held["svc.inflight"], held["svc.backend_calls"]) == (1, 1)
            asked.reply()
            assert (await client.answer()).status == 200

            client.send("pay")
            (await sidecar.endpoints[0].next()).reply(500)
            assert (await client.answer()).status == 502

            other = await sidecar.client()
            other.send("look")
            asked = await sidecar.endpoints[0].next()
            client.send("hold")
            kept = await sidecar.endpoints[0].next()
            extra = await sidecar.client()  # one more than there may be
            assert (await extra.ask("look")).status == 503
            asked.reply()
            assert (await other.answer()).status == 200
            kept.reply()
            assert (await client.answer()).status == 200

            assert (await client.ask("pay", Req_Id="a b")).status == 400  # no proper request

            told = await sidecar.stats()
            expected = {
                "svc.calls.pay.success": 1,
                "svc.calls.pay.failure": 1,
                "svc.calls.pay.busy": 0,
                "svc.calls.look.success": 1,
                "svc.calls.look.busy": 1,
                "svc.calls.hold.success": 1,
                "svc.inflight": 0,
                "svc.backend_calls": 4,
                "svc.hosts_listed": 1,
            }
            assert {name: told[name] for name in expected} == expected
            assert await sidecar.stats() == told  # reading changes nothing

    run(test())


def test_refusal_by_the_module_and_failure_by_time_are_told_apart() -> None:
    async def test() -> None:
        async with Managed(endpoints=0) as sidecar:
            client = await sidecar.client()
            assert (await client.ask("look", deadline_ms=300)).status == 503
            told = await sidecar.stats()
            assert (told["svc.calls.look.busy"], told["svc.inflight"]) == (1, 0)
        async with Managed() as sidecar:
            client = await sidecar.client()
            client.send("pay", deadline_ms=800)
            await sidecar.endpoints[0].next()
            assert (await client.answer()).status == 504
            told = await sidecar.stats()
            assert (told["svc.calls.pay.failure"], told["svc.backend_calls"]) == (1, 1)
            client.send("pay", deadline_ms=9000)
            await sidecar.endpoints[0].next()
            client.writer.close()
            while (await sidecar.stats())["svc.inflight"]:
                await asyncio.sleep(0.01)

    run(test())


def test_what_ends_while_draining_is_counted_and_lists_show_in_the_figures(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lifecycle, "ACCEPT_S", 0.02)
    monkeypatch.setattr(program, "LONGEST_S", 0.1)
    monkeypatch.setattr(program, "AFTER_LONGEST_S", 0.1)

    async def test() -> None:
        async with Managed(endpoints=3) as sidecar:
            rows = [row(f"s-{i}", fake.address) for i, fake in enumerate(sidecar.endpoints)]
            rows[1]["lifecycle"], rows[2]["lifecycle"] = "draining", "gone"
            (await sidecar.discovery.next()).reply(200, listing(2, False, *rows))
            await sidecar.discovery.next()
            told = await sidecar.stats()
            assert (told["svc.hosts_listed"], told["svc.hosts_down"]) == (2, 1)
            client = await sidecar.client()
            client.send("pay", deadline_ms=60_000)
            await sidecar.endpoints[0].next()
            await program.drain(sidecar.server.lifecycle, sidecar.server, sidecar.host)
            assert (await client.answer()).status == 504
            told = await sidecar.stats()
            assert (told["svc.calls.pay.failure"], told["svc.inflight"]) == (1, 0)

    run(test())


async def up(client: Client) -> tuple[int, bool]:
    client.writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
    answer = await client.answer()
    return answer.status, answer.headers.get("connection") == "close"


def test_standby_empties_the_sidecar_and_active_fills_it_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lifecycle, "ACCEPT_S", 0.05)
    monkeypatch.setattr(lifecycle, "LEAVE_S", 0.1)

    async def test() -> None:
        async with Managed() as sidecar:
            idle, busy = await sidecar.client(), await sidecar.client()
            assert await up(idle) == (200, False)
            busy.send()
            asked = await sidecar.endpoints[0].next()
            assert await sidecar.call(b"standby\n") == "OK standby\n"
            assert await sidecar.call(b"standby\n") == "OK standby\n"
            assert await sidecar.call(b"status\n") == "ERR standby\n"
            late = await sidecar.client()  # the front has not seen the no yet
            late.send()
            (await sidecar.endpoints[0].next()).reply()
            assert (await late.answer()).status == 200
            assert await idle.reader.read() == b""
            asked.reply()
            answer = await busy.answer()
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            assert await busy.reader.read() == b""
            again = await sidecar.client()
            assert await up(again) == (503, True)
            for _ in range(2):
                assert await sidecar.call(b"active\n") == "OK serving\n"
            again = await sidecar.client()
            assert await up(again) == (200, False)

    run(test())


def test_active_that_crosses_a_drain_and_sigterm_during_standby(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lifecycle, "ACCEPT_S", 0.02)

    async def test() -> None:
        async with Managed() as sidecar:
            client = await sidecar.client()
            assert await sidecar.call(b"standby\n") == "OK standby\n"
            assert await sidecar.call(b"active\n") == "OK serving\n"
            assert await up(client) == (200, False)
            await sidecar.call(b"standby\n")
            stop = asyncio.create_task(sidecar.server.lifecycle.stop(0.0, 60.0))
            while await sidecar.call(b"status\n") != "ERR stopping\n":
                await asyncio.sleep(0.01)
            for line in (b"standby\n", b"active\n"):
                assert await sidecar.call(line) == "ERR stopping\n"
            await stop
            assert await client.reader.read() == b""

    run(test())
