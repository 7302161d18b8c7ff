"""A settled connection when a call needs one: a real process, and endpoints that answer twice and are reset.

Judged by counts alone: whose answer each call got, how many calls found no settled connection, how many
connections there were.
"""

from __future__ import annotations

import asyncio
import json
from functools import partial
from pathlib import Path

from eiderhub.address import Address
from eiderhub.emulator.processes import claim
from eiderhub.emulator.wires import Wire
from tests.sidecar_support import SETUP, Client, instance_entry, read_message, run, start_process

CALLERS, CALLS = 4, 300
TWICE = 40  # of so many requests, one is answered twice
RESET = 50  # after so many calls of one caller a connection is reset, under whatever is on its way
WORK_S = 0.003  # that each request takes: with so many callers, few connections are enough
LATE_S = 0.002  # a second answer comes so long after the first
WAIT_S = 60.0


class Echo:
    """Answers each request with its own id; some of them a second time, a little later."""

    def __init__(self) -> None:
        self.connections = 0
        self.served = 0

    async def start(self) -> Echo:
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
                await asyncio.sleep(WORK_S)
                writer.write(answer)
                self.served += 1
                if self.served % TWICE == 0:
                    asyncio.get_running_loop().call_later(LATE_S, writer.write, answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def test_calls_find_settled_connections_and_each_gets_its_own_answer_through_resets(tmp_path: Path) -> None:
    async def test() -> None:
        echoes = [await Echo().start() for _ in range(2)]
        wires = [Wire("127.0.0.1", partial(Address, "127.0.0.1", echo.port)) for echo in echoes]
        for wire in wires:
            await wire.open()
        rows = [instance_entry(f"e{i}", str(wire.address)) for i, wire in enumerate(wires)]
        known = {"generation": 1, "reset": True, "instances": rows}
        held = claim("127.0.0.1")
        port = held.getsockname()[1]
        process = start_process(tmp_path, {"listen": f"127.0.0.1:{port}", "settings": SETUP, "known": known})
        assert process.stderr is not None
        lines = process.stderr
        loop = asyncio.get_running_loop()
        tally: dict[str, int] = {}

        async def tallied(count: int) -> None:
            """The process tells what its attempts came to, every few seconds."""
            while tally.get("ok", 0) < count:
                line = await loop.run_in_executor(None, lines.readline)
                assert line, "the process has ended"
                told = json.loads(line) if line.startswith("{") else {}
                unsettled = {"unsettled": told.get("unsettled", 0)}
                for name, value in [*told.get("outcomes", {}).items(), *unsettled.items()]:
                    tally[name] = tally.get(name, 0) + value

        async def caller(number: int) -> None:
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            for turn in range(CALLS):
                name = f"c{number}-{turn}"
                answer = await client.send_and_read("look", request_id=name)
                if answer.status == 200:
                    bodies.append((name, answer.body.decode()))
                if number == 0 and turn % RESET == RESET - 1:
                    next(iter(wires[turn // RESET % 2].links)).abort()

        bodies: list[tuple[str, str]] = []
        try:
            while True:
                try:
                    (await asyncio.open_connection("127.0.0.1", port))[1].close()
                    break
                except ConnectionRefusedError:
                    await asyncio.sleep(0.05)
            await asyncio.gather(*(caller(number) for number in range(CALLERS)))
            await tallied(len(bodies))
        finally:
            process.kill()
            process.wait()
            for wire, echo in zip(wires, echoes, strict=True):
                wire.close()
                echo.server.close()
            held.close()
        assert len(bodies) >= CALLERS * CALLS - CALLS // RESET  # a reset costs one call at the most
        assert [pair for pair in bodies if pair[0] != pair[1]] == []
        assert tally["prepared"] > 0
        # Each call follows an answer at once: of connections used as they come, nearly none would be settled.
        assert tally["unsettled"] < CALLERS * CALLS / 4
        # One goes with each second answer and with each reset; and those that the calls need.
        opened = sum(echo.connections for echo in echoes)
        assert opened < CALLERS * CALLS / TWICE + CALLS / RESET + 60

    run(test(), WAIT_S)
