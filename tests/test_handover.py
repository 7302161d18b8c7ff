"""Upgrade handover: the inherited socket, the lock files and two processes at a time."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from eiderhub.interface import EndpointMemory, Memory, PoolMemory
from eiderhub.sidecar import handover
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.config import ConfigError
from eiderhub.sidecar.handover import (
    LOCK_FILE_PREFIX,
    MEMORY_FILE,
    ProcessLocks,
    inherited_socket,
    read_memory,
    write_memory,
)
from tests.sidecar_support import SETUP, Client, FakeServer, discovery_response, instance_entry, run


def test_only_a_listening_socket_is_inherited(tmp_path: Path) -> None:
    assert inherited_socket({}) is None
    with socket.create_server(("127.0.0.1", 0)) as listening:
        inherited = inherited_socket({"GW_FD": str(listening.fileno())})
        assert inherited is not None and inherited.getsockname() == listening.getsockname()
        inherited.detach()
    with socket.socket() as other, (tmp_path / "file").open("w") as file:
        for text in (str(other.fileno()), str(file.fileno()), "9999", "-1", "four", "9" * 30):
            with pytest.raises(ConfigError, match="GW_FD"):
                inherited_socket({"GW_FD": text})
        assert other.fileno() >= 0 and not file.closed


def test_stale_files_in_the_lock_directory_are_ignored(tmp_path: Path) -> None:
    locks = ProcessLocks(str(tmp_path))
    locks.acquire()
    (tmp_path / f"{LOCK_FILE_PREFIX}1").write_bytes(b"\x00damaged")  # left by a killed process
    (tmp_path / f"{LOCK_FILE_PREFIX}2").mkdir()
    os.mkfifo(tmp_path / f"{LOCK_FILE_PREFIX}3")
    assert locks.count_others() == 0
    assert not (tmp_path / f"{LOCK_FILE_PREFIX}1").exists()
    for directory in (None, str(tmp_path / "missing")):
        unusable = ProcessLocks(directory)
        unusable.acquire()
        assert unusable.count_others() == 0


MEMORY = Memory([PoolMemory(1.0, 12.5, 0.2, 0.25)], [EndpointMemory("s-0", 7, 0.5, 1.5, -3)])


def test_memory_file_is_read_as_written_until_it_expires(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The time of writing is set: the process may be paused between the write and a reading of the clock.
    written = now_us()
    monkeypatch.setattr(handover, "now_us", lambda: written)
    write_memory(str(tmp_path), MEMORY)
    assert read_memory(str(tmp_path)) == MEMORY
    assert [path.name for path in tmp_path.iterdir()] == [MEMORY_FILE]
    write_memory(str(tmp_path / "missing"), MEMORY)  # no error
    assert read_memory(str(tmp_path / "missing")) is None
    for later, accepted in ((9_000_000, True), (11_000_000, False), (-1_000_000, False)):
        monkeypatch.setattr(handover, "now_us", lambda later=later: written + later)
        assert (read_memory(str(tmp_path)) is not None) is accepted


@pytest.mark.parametrize(
    "damage",
    [
        b"",
        b"\xff",
        b"[]",
        b"[" * 100_000,
        b'{"at_us": %d}',
        b'{"at_us": %d, "pools": [[1, 2, 3]], "endpoints": []}',
        b'{"at_us": %d, "pools": [[1, NaN, 3, 4]], "endpoints": []}',
        b'{"at_us": %d, "pools": [[1, -2, 3, 4]], "endpoints": []}',
        b'{"at_us": %d, "pools": [[1, Infinity, 3, 4]], "endpoints": []}',
        b'{"at_us": %d, "pools": [], "endpoints": [["s", 1, 0, 0, Infinity]]}',
        b'{"at_us": %d, "pools": [], "endpoints": 7}',
        b'{"at_us": "soon", "pools": [], "endpoints": []}',
    ],
)
def test_damaged_memory_file_is_ignored(tmp_path: Path, damage: bytes) -> None:
    (tmp_path / MEMORY_FILE).write_bytes(damage.replace(b"%d", b"%d" % now_us()))
    assert read_memory(str(tmp_path)) is None


def start_process(
    tmp_path: Path, listener: socket.socket, management: int, known_list: bytes
) -> subprocess.Popen[str]:
    path = tmp_path / f"config-{management}.json"
    listen = f"127.0.0.1:{listener.getsockname()[1]}"
    document = {
        "name": "n0",
        "listen": listen,
        "management": f"127.0.0.1:{management}",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f",
        "settings": SETUP,
        "known": json.loads(known_list),
    }
    path.write_text(json.dumps(document), encoding="utf-8")
    environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
    environ |= {"GW_CONFIG": str(path), "GW_FD": str(listener.fileno()), "TMPDIR": str(tmp_path)}
    return subprocess.Popen(
        [sys.executable, "-m", "eiderhub.sidecar"],
        env=environ,
        stderr=subprocess.PIPE,
        text=True,
        pass_fds=(listener.fileno(),),
    )


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as free:
        port: int = free.getsockname()[1]
        return port


async def wait_until_serving(process: subprocess.Popen[str]) -> None:
    assert process.stderr is not None
    while '"serves"' not in (line := await asyncio.to_thread(process.stderr.readline)):
        assert line, "the process exited before it served"


async def status(port: int) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"status\n")
    answer = await reader.read()
    writer.close()
    return answer


def test_successor_takes_over_the_socket_and_no_request_is_refused(tmp_path: Path) -> None:
    async def test() -> None:
        fake = await FakeServer().start()
        known_list = discovery_response(1, True, instance_entry("s-0", fake.address))
        ports = [free_port(), free_port()]
        with socket.create_server(("127.0.0.1", 0), backlog=128) as listener:
            address = listener.getsockname()
            old = start_process(tmp_path, listener, ports[0], known_list)
            new = None
            try:
                await wait_until_serving(old)
                waiting = Client(*await asyncio.open_connection(*address))
                idle = Client(*await asyncio.open_connection(*address))
                for client in (waiting, idle):
                    client.send()
                    (await fake.next_request()).reply()
                    assert (await client.read_answer()).status == 200
                waiting.send(deadline_ms=60_000)
                request = await fake.next_request()
                new = start_process(tmp_path, listener, ports[1], known_list)
                await wait_until_serving(new)
                assert await status(ports[1]) == b"OK serving\n"
                old.send_signal(signal.SIGTERM)
                while await status(ports[0]) != b"ERR stopping\n":
                    await asyncio.sleep(0.01)
                request.reply()
                for client in (waiting, idle):  # the last answer of each connection has `Connection: close`
                    if client is idle:
                        client.send()
                        (await fake.next_request()).reply()
                    answer = await client.read_answer()
                    assert (answer.status, answer.headers["connection"]) == (200, "close")
                for _ in range(20):  # all are accepted by the successor
                    fresh = Client(*await asyncio.open_connection(*address))
                    fresh.send()
                    (await fake.next_request()).reply()
                    answer = await fresh.read_answer()
                    assert (answer.status, "connection" in answer.headers) == (200, False)
                assert await asyncio.to_thread(old.wait) == 0
                fresh.send()
                (await fake.next_request()).reply()
                assert (await fresh.read_answer()).status == 200
                fresh.writer.close()
                new.send_signal(signal.SIGTERM)
                while await status(ports[1]) != b"ERR stopping\n":
                    await asyncio.sleep(0.01)
                # There is no other process to accept this connection.
                late = Client(*await asyncio.open_connection(*address))
                late.send()
                (await fake.next_request()).reply()
                assert (await late.read_answer()).status == 200
                late.writer.close()
                assert await asyncio.to_thread(new.wait) == 0
            finally:
                for process in (old, new):
                    if process is not None:
                        process.kill()
                        process.communicate()

    run(test())
