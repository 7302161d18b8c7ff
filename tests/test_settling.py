"""Use of settled connections by a sidecar process, with endpoints that send duplicate answers and resets.

The test checks only counts: answers that went to the wrong call, calls that found no settled connection, and
connections that were opened.
"""

from __future__ import annotations

import asyncio
import json
from functools import partial
from pathlib import Path

from eiderhub.address import Address
from eiderhub.emulator.fault_proxy import FaultProxy
from eiderhub.emulator.processes import reserve_port
from tests.sidecar_support import SETUP, Client, instance_entry, read_message, run, start_process

CALLERS, CALLS = 4, 300
DUPLICATE_INTERVAL = 40  # one of this many requests is answered twice
RESET_INTERVAL = 50  # after this many calls of one caller a connection is reset, whatever is in flight on it
SERVICE_TIME_S = 0.003  # per request: for these callers, few connections are enough
DUPLICATE_DELAY_S = 0.002  # between an answer and its duplicate
TEST_TIMEOUT_S = 60.0


class EchoServer:
    """Answers each request with its id, and some of them again shortly after."""

    def __init__(self) -> None:
        self.connections = 0
        self.served = 0

    async def start(self) -> EchoServer:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                message = await read_message(reader)
                name = message.headers["req-id"].encode()
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(name), name)
                await asyncio.sleep(SERVICE_TIME_S)
                writer.write(answer)
                self.served += 1
                if self.served % DUPLICATE_INTERVAL == 0:
                    asyncio.get_running_loop().call_later(DUPLICATE_DELAY_S, writer.write, answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def test_calls_find_settled_connections_and_each_gets_its_own_answer_through_resets(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [await EchoServer().start() for _ in range(2)]
        wires = [
            FaultProxy("127.0.0.1", partial(Address, "127.0.0.1", echo_server.port))
            for echo_server in servers
        ]
        for wire in wires:
            await wire.open()
        entries = [instance_entry(f"e{i}", str(wire.address)) for i, wire in enumerate(wires)]
        known = {"generation": 1, "reset": True, "instances": entries}
        reserved_port = reserve_port("127.0.0.1")
        port = reserved_port.getsockname()[1]
        process = start_process(tmp_path, {"listen": f"127.0.0.1:{port}", "settings": SETUP, "known": known})
        assert process.stderr is not None
        lines = process.stderr
        loop = asyncio.get_running_loop()
        outcomes: dict[str, int] = {}

        async def count_outcomes(count: int) -> None:
            """Add up the outcomes of attempts, which the process logs every few seconds."""
            while outcomes.get("ok", 0) < count:
                line = await loop.run_in_executor(None, lines.readline)
                assert line, "the process has exited"
                record = json.loads(line) if line.startswith("{") else {}
                unsettled = {"unsettled": record.get("unsettled", 0)}
                for name, value in [*record.get("outcomes", {}).items(), *unsettled.items()]:
                    outcomes[name] = outcomes.get(name, 0) + value

        async def caller(number: int) -> None:
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            for index in range(CALLS):
                name = f"c{number}-{index}"
                answer = await client.send_and_read("look", request_id=name)
                if answer.status == 200:
                    bodies.append((name, answer.body.decode()))
                if number == 0 and index % RESET_INTERVAL == RESET_INTERVAL - 1:
                    next(iter(wires[index // RESET_INTERVAL % 2].connections)).abort()

        bodies: list[tuple[str, str]] = []
        try:
            while True:
                try:
                    (await asyncio.open_connection("127.0.0.1", port))[1].close()
                    break
                except ConnectionRefusedError:
                    await asyncio.sleep(0.05)
            await asyncio.gather(*(caller(number) for number in range(CALLERS)))
            await count_outcomes(len(bodies))
        finally:
            process.kill()
            process.wait()
            for wire, echo_server in zip(wires, servers, strict=True):
                wire.close()
                echo_server.server.close()
            reserved_port.close()
        assert len(bodies) >= CALLERS * CALLS - CALLS // RESET_INTERVAL  # a reset fails at most one call
        assert [pair for pair in bodies if pair[0] != pair[1]] == []
        assert outcomes["prepared"] > 0
        # Each call directly follows an answer: if just any idle one were used, hardly any would be settled.
        assert outcomes["unsettled"] < CALLERS * CALLS / 4
        # Each duplicate answer and each reset closes one connection; the rest are those that the calls need.
        opened = sum(echo_server.connections for echo_server in servers)
        assert opened < CALLERS * CALLS / DUPLICATE_INTERVAL + CALLS / RESET_INTERVAL + 60

    run(test(), TEST_TIMEOUT_S)
