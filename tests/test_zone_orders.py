"""Operators' orders on zones: the core's rules, and real processes that follow them through outages."""

from __future__ import annotations

import asyncio
import random
import secrets
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderhub.address import Address
from eiderhub.emulator.processes import Process, Usage, claim, environment
from eiderhub.emulator.wires import How, Wire
from eiderhub.http1 import ConnectionPool, Exchange, NoReplyError, ServerConnection, fetch
from eiderhub.registry import calls
from eiderhub.registry.core import Core, Decision
from eiderhub.registry.records import Entry, Image, Order, Record
from tests.registry_support import Fleet, Node, run, until_true

S = 1_000_000
EXAMPLE = Path(__file__).parent.parent / "deploy" / "sidecar.toml"


# --- the core ---


def core_with(*zones: str, unix_offset_us: int = 10**15) -> Core:
    core = Core(random.Random(1), unix_offset_us=unix_offset_us)
    for i, zone in enumerate(zones):
        entry = Entry(instance_id=f"e{i}", host_port="127.0.0.1:80", zone=zone)
        carry_out(core, 0, core.put(0, Record(entry=entry)))
    return core


def carry_out(core: Core, now: int, decision: Decision) -> Decision:
    if decision.change is not None:
        core.apply(now, decision.change)
    return decision


def order(zone: str, for_s: int = 60, share: float = 0.0) -> Order:
    return Order(zone=zone, share=share, for_ms=for_s * 1000)


@given(
    st.integers(1, 1000),  # how long it is to last
    st.integers(0, 2000),  # when the service restarts
    st.integers(-5000, 5000),  # how far the machine's clock is set meanwhile
)
def test_an_order_ends_by_itself_and_no_later_for_a_restart_or_a_clock_that_is_set(
    for_s: int, restart_s: int, set_s: int
) -> None:
    core = core_with("west", "north")
    carry_out(core, 0, core.order(0, order("west", for_s)))
    stored: Image = msgspec.json.decode(msgspec.json.encode(core.image()), type=Image)
    again = Core(random.Random(2), unix_offset_us=10**15 + set_s * S)
    again.restore(restart_s * S, stored)
    end = restart_s * S
    for _ in range(3):
        changes, _ = again.look(end)
        for change in changes:
            again.apply(end, change)
        if not again.orders.all():
            break
        end += for_s * S
    assert again.orders.all() == []
    assert end <= max(restart_s, 0) * S + for_s * S
    # Without a set clock it lasts as long as it was to.
    before = max(0, for_s * S - 1)
    assert core.look(before)[0] == [] and core.look(for_s * S)[0]


def test_the_last_zone_that_serves_a_tier_is_taken_by_force_alone_and_unknown_ones_never() -> None:
    core = core_with("west", "north")
    assert carry_out(core, 0, core.order(0, order("west"))).refusal is None
    refused = core.order(0, order("north")).refusal
    assert refused is not None and refused.status == 409 and "default" in refused.why
    assert carry_out(core, 0, core.order(0, order("north", share=0.1))).refusal is None
    assert carry_out(core, 0, core.order(0, order("north"), force=True)).refusal is None
    unknown = core.order(0, order("east")).refusal
    assert unknown is not None and unknown.status == 404 and "north, west" in unknown.why
    assert core.end_order("default", "east").refusal is not None


def test_a_zone_is_in_one_region_until_no_record_says_so() -> None:
    core = core_with()

    def put(name: str, region: str) -> Decision:
        entry = Entry(instance_id=name, host_port="127.0.0.1:80", zone="west")
        return carry_out(core, 0, core.put(0, Record(entry=entry, region=region)))

    assert put("a", "coast").refusal is None
    assert put("b", "").refusal is None
    refused = put("c", "inland").refusal
    assert refused is not None and "coast" in refused.why
    assert put("a", "inland").refusal is None  # the only one that told it
    assert core.regions == {"default": {"west": "inland"}}


# --- processes ---


class Endpoint:
    """Answers every request with its name."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._connections: set[ServerConnection] = set()

    async def start(self) -> Address:
        def came(exchange: Exchange) -> None:
            exchange.respond(200, self.name.encode())

        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(came, lambda: 0, self._connections, lambda _: None), "127.0.0.1", 0
        )
        return Address(*self._server.sockets[0].getsockname())

    def close(self) -> None:
        self._server.close()


class Beside:
    """A real sidecar of zone west, which has its lists from the service over wires."""

    def __init__(self, fleet: Fleet, name: str, wires: list[Wire]) -> None:
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self._claims = [claim("127.0.0.1") for _ in range(2)]
        listen, management = (Address(*sock.getsockname()) for sock in self._claims)
        addresses = ", ".join(f'"{wire.address}"' for wire in wires)
        keep = f'keep = "{self.folder}/list.json", wait_s = 1.0'
        head = f"registry = {{ addresses = [{addresses}], {keep} }}\n"
        self._config = self.folder / "sidecar.toml"
        self._config.write_text(head + EXAMPLE.read_text(encoding="utf-8"), encoding="utf-8")
        told = {"GW_CONFIG": self._config, "GW_LISTEN": listen, "GW_MANAGEMENT": management}
        self._environ = environment() | {name: str(value) for name, value in told.items()}
        self._pool = ConnectionPool(listen.host, listen.port)
        self.process: Process | None = None

    def start(self) -> None:
        command = [sys.executable, "-B", "-m", "eiderhub.sidecar"]
        log = self.folder / "log"
        self.process = Process("sidecar", command, self._environ, log, 1024, None, Usage(), lambda *_: None)

    async def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            await self.process.ended.wait()

    async def served_by(self) -> str:
        """Who answers a call now; nothing where nobody does."""
        key = secrets.token_hex(8)
        head = f"POST /quote/x HTTP/1.1\r\nHost: s\r\nReq-Id: {key}\r\nReq-Owner: acme\r\n"
        head += f"Req-Deadline-Ms: 2000\r\nIdempotency-Key: {key}\r\nContent-Length: 1\r\n\r\nx"
        try:
            reply = await fetch(self._pool, head.encode(), 3.0)
        except NoReplyError:
            return ""
        return reply.body.decode() if reply.status == 200 else ""

    async def until(self, name: str, times: int = 20) -> None:
        """Returns once so many calls in a row were served by this endpoint."""
        row = 0
        while row < times:
            row = row + 1 if await self.served_by() == name else 0
            await asyncio.sleep(0.01)

    def close(self) -> None:
        self._pool.close()
        for sock in self._claims:
            sock.close()


async def command(*words: str) -> tuple[int, str]:
    run_it = [sys.executable, "-m", "eiderhub.cli", *words]
    done = await asyncio.to_thread(subprocess.run, run_it, env=environment(), capture_output=True, text=True)
    return done.returncode, done.stdout + done.stderr


async def state_of(node: Node) -> dict[str, Order | None]:
    reply = await node.line.get(calls.ZONES, {}, 5.0)
    told = msgspec.json.decode(reply.body, type=calls.ZonesTold)
    return {state.zone: state.order for state in told.zones}


def test_sidecars_follow_an_order_through_the_services_loss_and_their_own_and_it_ends_by_itself() -> None:
    async def test() -> None:
        endpoints = [Endpoint("west"), Endpoint("north")]
        sidecars: list[Beside] = []
        async with Fleet() as fleet:
            main = await fleet.node("main")
            follower = await fleet.node("follower", [main.address])
            try:
                for endpoint in endpoints:
                    address = await endpoint.start()
                    entry = Entry(instance_id=endpoint.name, host_port=str(address), zone=endpoint.name)
                    await main.put(Record(entry=entry))
                for name in ("one", "two"):
                    wires = [await fleet.wire(node) for node in (follower, main)]
                    sidecars.append(Beside(fleet, name, wires))
                    sidecars[-1].start()
                one, two = sidecars
                await asyncio.gather(one.until("west"), two.until("west"))
                at = str(main.address)
                status, said = await command("zone", "drain", at, "west", "--for", "1h")
                assert status == 0, said
                await asyncio.gather(one.until("north"), two.until("north"))
                status, said = await command("zone", "drain", at, "north")
                assert (status, "no other zone would serve" in said) == (1, True), said
                status, said = await command("zone", "drain", at, "nort")
                assert (status, "did you mean north" in said) == (2, True), said
                # The service away, one sidecar killed and started anew: both keep to it.
                await main.kill()
                for wire in fleet.wires:
                    await wire.turn(How.RESET)
                await one.kill()
                one.start()
                await asyncio.gather(one.until("north"), two.until("north"))
                await main.start()
                for wire in fleet.wires:
                    await wire.turn(How.OPEN)
                held = (await state_of(main))["west"]
                assert held is not None and held.share == 0.0
                status, said = await command("zone", "return", at, "west")
                assert status == 0, said
                await asyncio.gather(one.until("west"), two.until("west"))
                # One that is short ends while nobody is there to say so.
                status, said = await command("zone", "drain", at, "west", "--for", "4s")
                assert status == 0, said
                await asyncio.gather(one.until("north"), two.until("north"))
                await main.kill()
                for wire in fleet.wires:
                    await wire.turn(How.CUT)
                await asyncio.gather(one.until("west"), two.until("west"))
                await main.start()

                async def over() -> bool:
                    return (await state_of(main))["west"] is None

                await until_true(over)
            finally:
                for sidecar in sidecars:
                    await sidecar.kill()
                    sidecar.close()
                for endpoint in endpoints:
                    endpoint.close()

    run(test())


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ('[regions]\ncoast = ["west", "north"]\ninland = ["north"]', "north stands in coast and in inland"),
        ("[regions]\ncoast = []", "regions"),
        ('[regions]\ncoast = ["wets"]', "did you mean wets"),
    ],
)
def test_faults_of_regions_are_one_line_that_names_the_key(tmp_path: Path, text: str, said: str) -> None:
    path = tmp_path / "sidecar.toml"
    path.write_text(EXAMPLE.read_text(encoding="utf-8") + "\n" + text + "\n", encoding="utf-8")
    run_it = [sys.executable, "-m", "eiderhub.cli", "config", "check", str(path)]
    done = subprocess.run(run_it, env=environment(), capture_output=True, text=True)
    assert done.returncode == 2 and said in done.stdout + done.stderr
    assert len((done.stdout + done.stderr).splitlines()) == 1
