"""Start-up, reload and shutdown of a real sidecar process at different stages of its requests."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import subprocess
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from tests.sidecar_support import (
    SETUP,
    Client,
    FakeServer,
    ReceivedRequest,
    discovery_response,
    instance_entry,
    run,
    start_process,
)

# With deadlines of 1.5 s, all accepted requests are answered and the process exits within 2 s of SIGTERM.
SHORT_DEADLINE_SETUP = {
    **SETUP,
    "Categories": [{**c, "AimUs": 1_400_000, "DeadlineUs": 1_500_000} for c in SETUP["Categories"]],
}
FINAL_STATUSES = (200, 502, 503, 504)


class SidecarProcess:
    """A sidecar process and its address."""

    def __init__(self, popen: subprocess.Popen[str], address: tuple[str, int], config_path: Path) -> None:
        self.popen = popen
        self.address = address
        self.config_path = config_path

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection(*self.address))

    def signal(self, number: int) -> None:
        self.popen.send_signal(number)

    async def wait_for_log(self, text: str) -> None:
        """Wait for a log line that contains the text."""
        assert self.popen.stderr is not None
        while text not in (line := await asyncio.to_thread(self.popen.stderr.readline)):
            assert line, "the process exited before it logged the text"

    async def exit(self) -> int:
        return await asyncio.to_thread(self.popen.wait)


@contextlib.asynccontextmanager
async def running_process(
    tmp_path: Path, *entries: dict[str, Any], **changes: Any
) -> AsyncIterator[SidecarProcess]:
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
    known = json.loads(discovery_response(1, True, *entries))
    document = {
        "listen": f"127.0.0.1:{address[1]}",
        "settings": SHORT_DEADLINE_SETUP,
        "known": known,
        **changes,
    }
    popen = start_process(tmp_path, document)
    try:
        sidecar = SidecarProcess(popen, address, tmp_path / "config.json")
        await sidecar.wait_for_log('"serves"')
        yield sidecar
    finally:
        popen.kill()
        popen.communicate()


async def only_answer(client: Client) -> int:
    """Return the status of the only answer, after which the connection must end."""
    status = (await client.read_answer()).status
    assert await client.reader.read() == b""
    return status


async def requests_by_id(fake: FakeServer, count: int) -> dict[str, ReceivedRequest]:
    """Receive this many requests at the endpoint; return them by request id."""
    requests = [await fake.next_request() for _ in range(count)]
    return {request.message.headers["req-id"]: request for request in requests}


def answer_all(fake: FakeServer, status: int = 200) -> asyncio.Task[None]:
    """Answer every request from now on."""

    async def answering() -> None:
        while True:
            (await fake.next_request()).reply(status)

    return asyncio.create_task(answering())


INCOMPLETE_REQUEST = (
    b"POST /pay/a HTTP/1.1\r\nHost: a\r\nReq-Id: half\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 1400\r\n"
)
REQUEST_REMAINDER = b"Content-Length: 1\r\n\r\nx"


@pytest.mark.parametrize("more", [(), (signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)])
def test_requests_in_every_state_at_sigterm_get_exactly_one_answer(
    tmp_path: Path, more: tuple[int, ...]
) -> None:
    """Partly received, in flight, partly answered, queued, and sent later on an idle connection."""

    async def test() -> None:
        fake = await FakeServer().start()
        async with running_process(tmp_path, instance_entry("s-0", fake.address)) as sidecar:
            incomplete, written, streamed, idle = [await sidecar.client() for _ in range(4)]
            idle.writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await idle.read_answer()).status == 200
            incomplete.writer.write(INCOMPLETE_REQUEST)
            written.send(request_id="written", deadline_ms=1400)
            streamed.send(request_id="streamed", deadline_ms=1400)
            received = await requests_by_id(fake, 2)
            received["streamed"].writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
            )
            assert (await streamed.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            queued = [await sidecar.client() for _ in range(12)]  # more than may be in flight at one endpoint
            for client in queued:
                client.send("hold", deadline_ms=1400)
            (await fake.next_request()).reply()
            for number in (signal.SIGTERM, *more):
                sidecar.signal(number)
                await asyncio.sleep(0.02)  # so that the signals are delivered separately
            answering = answer_all(fake)
            incomplete.writer.write(REQUEST_REMAINDER)
            idle.send(deadline_ms=1400)
            received["written"].reply()
            received["streamed"].writer.write(b"0\r\n\r\n")
            assert await streamed.reader.read() == b"2\r\nok\r\n0\r\n\r\n"
            statuses = [await only_answer(client) for client in (incomplete, written, idle)]
            assert statuses == [200, 200, 200]
            assert {await only_answer(client) for client in queued} <= {200, 503}
            assert await sidecar.exit() == 0
            answering.cancel()

    run(test(), 20)


def test_unanswered_requests_are_failed_before_the_process_exits(tmp_path: Path) -> None:
    async def test() -> None:
        fake = await FakeServer().start()
        async with running_process(tmp_path, instance_entry("s-0", fake.address)) as sidecar:
            clients = [await sidecar.client() for _ in range(10)]
            incomplete = await sidecar.client()
            incomplete.writer.write(INCOMPLETE_REQUEST)
            for client in clients:
                client.send(deadline_ms=60_000)
            await fake.next_request()
            sidecar.signal(signal.SIGTERM)
            for client in clients:
                assert await only_answer(client) in FINAL_STATUSES
            assert await only_answer(incomplete) in (408, 503)
            assert await sidecar.exit() == 0

    run(test(), 20)


def test_callers_in_the_accept_queue_of_a_suspended_process_are_answered_after_sigterm(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        fake = await FakeServer().start()
        async with running_process(tmp_path, instance_entry("s-0", fake.address)) as sidecar:
            sidecar.signal(signal.SIGSTOP)
            clients = [await sidecar.client() for _ in range(5)]  # the kernel completes the connections
            for client in clients:
                client.send(deadline_ms=1400)
            sidecar.signal(signal.SIGTERM)
            sidecar.signal(signal.SIGCONT)
            answering = answer_all(fake)
            assert [await only_answer(client) for client in clients] == [200] * 5
            assert await sidecar.exit() == 0
            answering.cancel()

    run(test(), 20)


def test_connection_to_a_suspended_endpoint_serves_its_request_after_sigterm(tmp_path: Path) -> None:
    """The connection is completed before the signal; the endpoint reads and answers after it."""

    async def test() -> None:
        # The kernel completes connections to this listener; nothing reads from them yet.
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        async with running_process(tmp_path, instance_entry("s-0", address)) as sidecar:
            client = await sidecar.client()
            client.send(deadline_ms=1400)
            loop = asyncio.get_running_loop()
            peer, _ = await loop.sock_accept(listener)
            sidecar.signal(signal.SIGTERM)
            assert (await loop.sock_recv(peer, 4096)).startswith(b"POST /pay/a")
            await loop.sock_sendall(peer, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            assert await only_answer(client) == 200
            assert await sidecar.exit() == 0

    run(test(), 20)


@pytest.mark.parametrize("discovery_state", ["silent", "busy", "away"])
def test_restarted_process_serves_from_a_stale_list_in_any_state_of_discovery(
    tmp_path: Path, discovery_state: str
) -> None:
    async def test() -> None:
        fake, discovery_server = await FakeServer().start(), await FakeServer().start()
        with socket.create_server(("127.0.0.1", 0)) as closed:
            dead_address = f"127.0.0.1:{closed.getsockname()[1]}"
        if discovery_state == "away":
            discovery_server.server.close()
        # The second endpoint has stopped since the list was written.
        entries = [instance_entry("s-0", fake.address), instance_entry("s-1", dead_address)]
        # A busy discovery refuses every poll, from the first on.
        refusing = answer_all(discovery_server, 503) if discovery_state == "busy" else None
        async with running_process(tmp_path, *entries, discovery=discovery_server.address) as sidecar:
            answering = answer_all(fake)
            for _ in range(6):
                client = await sidecar.client()
                client.writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                assert (await client.read_answer()).status == 200
                client.send()
                assert (await client.read_answer()).status == 200
            answering.cancel()
        if refusing is not None:
            assert not refusing.done()
            refusing.cancel()

    run(test(), 20)


def test_sighup_with_a_partly_written_file_takes_effect_once_the_file_is_complete(tmp_path: Path) -> None:
    async def test() -> None:
        fake, before, after = [await FakeServer().start() for _ in range(3)]
        async with running_process(
            tmp_path, instance_entry("s-0", fake.address), discovery=before.address
        ) as sidecar:
            await before.next_request()
            complete_text = sidecar.config_path.read_text(encoding="utf-8").replace(
                before.address, after.address
            )
            sidecar.config_path.write_text(complete_text[: len(complete_text) // 2], encoding="utf-8")
            sidecar.signal(signal.SIGHUP)
            await sidecar.wait_for_log("is read again")
            sidecar.config_path.write_text(complete_text, encoding="utf-8")
            assert (await after.next_request()).message.start_line.startswith("GET /discovery/hosts?after=1&")

    run(test(), 20)
