"""The management protocol and the metrics, on loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

from eiderhub.sidecar import lifecycle
from eiderhub.sidecar import management as managing
from eiderhub.sidecar import process as program
from eiderhub.sidecar.management import MAX_CONNECTIONS, MAX_LINE_BYTES, ManagementServer
from tests.sidecar_support import Client, Sidecar, discovery_response, instance_entry, run


class ManagedSidecar(Sidecar):
    """A sidecar with a management listener."""

    async def __aenter__(self) -> ManagedSidecar:
        await super().__aenter__()
        self.management = ManagementServer(self.server.lifecycle, self.host.metric_lines)
        await self.management.bind("127.0.0.1", 0)
        return self

    async def __aexit__(self, *details: object) -> None:
        self.management.close()
        await super().__aexit__(*details)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        port = self.management.listener.sockets[0].getsockname()[1]
        return await asyncio.open_connection("127.0.0.1", port)

    async def execute(self, line: bytes) -> str:
        reader, writer = await self.connect()
        writer.write(line)
        answer = await reader.read()
        writer.close()
        return answer.decode()

    async def stats(self) -> dict[str, int]:
        first, *lines, last = (await self.execute(b"stats\n")).splitlines()
        assert (first, last) == ("OK", "END")
        pairs = [line.split("=") for line in lines]
        return {name: int(value) for name, value in pairs}


def test_status_is_ok_once_a_list_has_named_endpoints() -> None:
    async def test() -> None:
        async with ManagedSidecar(endpoints=0) as sidecar:
            assert await sidecar.execute(b"status\n") == "ERR starting\n"
        async with ManagedSidecar() as sidecar:
            assert await sidecar.execute(b"status\n") == "OK serving\n"
            assert await sidecar.execute(b"status\r\n") == "OK serving\n"

    run(test())


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        (b"reboot\n", "unknown call"),
        (b"\n", "unknown call"),
        (b"\xff\xfe\n", "no plain text"),
        (b"x" * (MAX_LINE_BYTES + 1), "too long"),
        (b"status " + b"x" * MAX_LINE_BYTES + b"\n", "too long"),
    ],
)
def test_invalid_line_gets_one_error_with_the_reason_and_a_close(line: bytes, reason: str) -> None:
    async def test() -> None:
        async with ManagedSidecar() as sidecar:
            answer = await sidecar.execute(line)
            assert answer.startswith("ERR ") and reason in answer
            assert answer.count("\n") == 1
            assert await sidecar.execute(b"status\n") == "OK serving\n"

    run(test())


def test_line_may_arrive_in_parts_and_an_early_eof_does_no_harm() -> None:
    async def test() -> None:
        async with ManagedSidecar() as sidecar:
            reader, writer = await sidecar.connect()
            for part in (b"st", b"atus", b"\r", b"\n"):
                writer.write(part)
                await asyncio.sleep(0)
            assert await reader.read() == b"OK serving\n"
            writer.close()
            for incomplete in (b"", b"sta"):
                reader, writer = await sidecar.connect()
                writer.write(incomplete)
                writer.write_eof()
                assert (await reader.read()).startswith(b"ERR " if incomplete else b"")
                writer.close()
            while sidecar.management.connections:
                await asyncio.sleep(0.01)

    run(test())


def test_incomplete_lines_time_out_and_neither_block_others_nor_accumulate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with ManagedSidecar() as sidecar:
            incomplete = []
            for _ in range(3 * MAX_CONNECTIONS):
                reader, writer = await sidecar.connect()
                writer.write(b"stat")
                incomplete.append((reader, writer))
            assert await sidecar.execute(b"status\n") == "OK serving\n"
            assert len(sidecar.management.connections) <= MAX_CONNECTIONS
            for _, writer in incomplete:
                writer.close()
            monkeypatch.setattr(managing, "LINE_TIMEOUT_S", 0.05)
            reader, writer = await sidecar.connect()
            assert (await reader.read()).startswith(b"ERR no whole line")
            writer.close()

    run(test())


def test_metrics_match_what_clients_received() -> None:
    async def test() -> None:
        async with ManagedSidecar(max_callers=2) as sidecar:
            initial = await sidecar.stats()
            assert initial.pop("svc.hosts_listed") == 1
            assert set(initial.values()) == {0}
            names = ("success", "busy", "failure")
            calls = {f"svc.calls.{c}.{n}" for c in ("look", "hold", "pay") for n in names}
            assert calls < set(initial)
            client = await sidecar.client()

            client.send("pay")
            request = await sidecar.endpoints[0].next_request()
            during = await sidecar.stats()
            assert (during["svc.inflight"], during["svc.backend_calls"]) == (1, 1)
            request.reply()
            assert (await client.read_answer()).status == 200

            client.send("pay")
            (await sidecar.endpoints[0].next_request()).reply(500)
            assert (await client.read_answer()).status == 502

            other = await sidecar.client()
            other.send("look")
            request = await sidecar.endpoints[0].next_request()
            client.send("hold")
            other_request = await sidecar.endpoints[0].next_request()
            extra = await sidecar.client()  # one above the limit
            assert (await extra.send_and_read("look")).status == 503
            request.reply()
            assert (await other.read_answer()).status == 200
            other_request.reply()
            assert (await client.read_answer()).status == 200

            assert (
                await client.send_and_read("pay", Req_Id="a b")
            ).status == 400  # not a valid request: not counted

            final = await sidecar.stats()
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
            assert {name: final[name] for name in expected} == expected
            assert await sidecar.stats() == final  # reading has no side effects

    run(test())


def test_refusals_and_timeouts_are_counted_separately() -> None:
    async def test() -> None:
        async with ManagedSidecar(endpoints=0) as sidecar:
            client = await sidecar.client()
            assert (await client.send_and_read("look", deadline_ms=300)).status == 503
            metrics = await sidecar.stats()
            assert (metrics["svc.calls.look.busy"], metrics["svc.inflight"]) == (1, 0)
        async with ManagedSidecar() as sidecar:
            client = await sidecar.client()
            client.send("pay", deadline_ms=800)
            await sidecar.endpoints[0].next_request()
            assert (await client.read_answer()).status == 504
            metrics = await sidecar.stats()
            assert (metrics["svc.calls.pay.failure"], metrics["svc.backend_calls"]) == (1, 1)
            client.send("pay", deadline_ms=9000)
            await sidecar.endpoints[0].next_request()
            client.writer.close()
            while (await sidecar.stats())["svc.inflight"]:
                await asyncio.sleep(0.01)

    run(test())


def test_metrics_count_requests_that_end_during_a_drain_and_listed_hosts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lifecycle, "ACCEPT_GRACE_S", 0.02)
    monkeypatch.setattr(program, "MAX_DEADLINE_S", 0.1)
    monkeypatch.setattr(program, "DRAIN_MARGIN_S", 0.1)

    async def test() -> None:
        async with ManagedSidecar(endpoints=3) as sidecar:
            entries = [instance_entry(f"s-{i}", fake.address) for i, fake in enumerate(sidecar.endpoints)]
            entries[1]["lifecycle"], entries[2]["lifecycle"] = "draining", "gone"
            (await sidecar.discovery.next_request()).reply(200, discovery_response(2, False, *entries))
            await sidecar.discovery.next_request()
            metrics = await sidecar.stats()
            assert (metrics["svc.hosts_listed"], metrics["svc.hosts_down"]) == (2, 1)
            client = await sidecar.client()
            client.send("pay", deadline_ms=60_000)
            await sidecar.endpoints[0].next_request()
            await program.drain(sidecar.server.lifecycle, sidecar.server, sidecar.host)
            assert (await client.read_answer()).status == 504
            metrics = await sidecar.stats()
            assert (metrics["svc.calls.pay.failure"], metrics["svc.inflight"]) == (1, 0)

    run(test())


async def check_readiness(client: Client) -> tuple[int, bool]:
    client.writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
    answer = await client.read_answer()
    return answer.status, answer.headers.get("connection") == "close"


def test_standby_drains_the_sidecar_and_active_reopens_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lifecycle, "ACCEPT_GRACE_S", 0.05)
    monkeypatch.setattr(lifecycle, "IDLE_CLOSE_DELAY_S", 0.1)

    async def test() -> None:
        async with ManagedSidecar() as sidecar:
            idle, busy = await sidecar.client(), await sidecar.client()
            assert await check_readiness(idle) == (200, False)
            busy.send()
            request = await sidecar.endpoints[0].next_request()
            assert await sidecar.execute(b"standby\n") == "OK standby\n"
            assert await sidecar.execute(b"standby\n") == "OK standby\n"
            assert await sidecar.execute(b"status\n") == "ERR standby\n"
            late = await sidecar.client()  # the front has not seen the 503 of `/up` yet
            late.send()
            (await sidecar.endpoints[0].next_request()).reply()
            assert (await late.read_answer()).status == 200
            assert await idle.reader.read() == b""
            request.reply()
            answer = await busy.read_answer()
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            assert await busy.reader.read() == b""
            again = await sidecar.client()
            assert await check_readiness(again) == (503, True)
            for _ in range(2):
                assert await sidecar.execute(b"active\n") == "OK serving\n"
            again = await sidecar.client()
            assert await check_readiness(again) == (200, False)

    run(test())


def test_active_during_a_drain_and_sigterm_during_standby(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lifecycle, "ACCEPT_GRACE_S", 0.02)

    async def test() -> None:
        async with ManagedSidecar() as sidecar:
            client = await sidecar.client()
            assert await sidecar.execute(b"standby\n") == "OK standby\n"
            assert await sidecar.execute(b"active\n") == "OK serving\n"
            assert await check_readiness(client) == (200, False)
            await sidecar.execute(b"standby\n")
            stop = asyncio.create_task(sidecar.server.lifecycle.stop(0.0, 60.0))
            while await sidecar.execute(b"status\n") != "ERR stopping\n":
                await asyncio.sleep(0.01)
            for line in (b"standby\n", b"active\n"):
                assert await sidecar.execute(line) == "ERR stopping\n"
            await stop
            assert await client.reader.read() == b""

    run(test())
