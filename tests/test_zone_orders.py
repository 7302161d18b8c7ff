"""Zone orders: the rules of the core, and real sidecars that apply orders through outages."""

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
from eiderhub.emulator.fault_proxy import FaultProxy, ProxyMode
from eiderhub.emulator.processes import Process, Usage, child_environment, reserve_port
from eiderhub.http1 import ConnectionPool, Exchange, NoReplyError, ServerConnection, fetch
from eiderhub.registry import api
from eiderhub.registry.core import Core, Decision
from eiderhub.registry.records import Entry, Image, Order, Record
from tests.registry_support import Fleet, RegistryNode, run_async, wait_until_true

US_PER_S = 1_000_000
EXAMPLE = Path(__file__).parent.parent / "deploy" / "sidecar.toml"


# --- the core ---


def core_with_zones(*zones: str, unix_offset_us: int = 10**15) -> Core:
    core = Core(random.Random(1), unix_offset_us=unix_offset_us)
    for i, zone in enumerate(zones):
        entry = Entry(instance_id=f"e{i}", host_port="127.0.0.1:80", zone=zone)
        apply_decision(core, 0, core.put(0, Record(entry=entry)))
    return core


def apply_decision(core: Core, now_us: int, decision: Decision) -> Decision:
    if decision.change is not None:
        core.apply(now_us, decision.change)
    return decision


def order(zone: str, duration_s: int = 60, share: float = 0.0) -> Order:
    return Order(zone=zone, share=share, for_ms=duration_s * 1000)


@given(
    st.integers(1, 1000),  # duration of the order
    st.integers(0, 2000),  # time of the restart
    st.integers(-5000, 5000),  # step of the system clock at the restart
)
def test_an_order_expires_on_time_despite_a_restart_and_clock_steps(
    duration_s: int, restart_s: int, clock_step_s: int
) -> None:
    core = core_with_zones("west", "north")
    apply_decision(core, 0, core.set_order(0, order("west", duration_s)))
    stored: Image = msgspec.json.decode(msgspec.json.encode(core.image()), type=Image)
    restarted = Core(random.Random(2), unix_offset_us=10**15 + clock_step_s * US_PER_S)
    restarted.restore(restart_s * US_PER_S, stored)
    end_us = restart_s * US_PER_S
    for _ in range(3):
        changes, _ = restarted.decide_expiries(end_us)
        for change in changes:
            restarted.apply(end_us, change)
        if not restarted.orders.all():
            break
        end_us += duration_s * US_PER_S
    assert restarted.orders.all() == []
    assert end_us <= max(restart_s, 0) * US_PER_S + duration_s * US_PER_S
    # Without a restart or a clock step it lasts exactly its duration.
    just_before_us = max(0, duration_s * US_PER_S - 1)
    assert core.decide_expiries(just_before_us)[0] == [] and core.decide_expiries(duration_s * US_PER_S)[0]


def test_the_last_zone_of_a_tier_closes_only_by_force_and_unknown_zones_never() -> None:
    core = core_with_zones("west", "north")
    assert apply_decision(core, 0, core.set_order(0, order("west"))).refusal is None
    refused = core.set_order(0, order("north")).refusal
    assert refused is not None and refused.status == 409 and "default" in refused.reason
    assert apply_decision(core, 0, core.set_order(0, order("north", share=0.1))).refusal is None
    assert apply_decision(core, 0, core.set_order(0, order("north"), force=True)).refusal is None
    unknown = core.set_order(0, order("east")).refusal
    assert unknown is not None and unknown.status == 404 and "north, west" in unknown.reason
    assert core.end_order("default", "east").refusal is not None


def test_a_zone_is_in_one_region_until_no_other_record_names_it() -> None:
    core = core_with_zones()

    def put(name: str, region: str) -> Decision:
        entry = Entry(instance_id=name, host_port="127.0.0.1:80", zone="west")
        return apply_decision(core, 0, core.put(0, Record(entry=entry, region=region)))

    assert put("a", "coast").refusal is None
    assert put("b", "").refusal is None
    refused = put("c", "inland").refusal
    assert refused is not None and "coast" in refused.reason
    assert put("a", "inland").refusal is None  # the only record that named the old region
    assert core.regions == {"default": {"west": "inland"}}


# --- processes ---


class Endpoint:
    """Answers every request with its name."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._connections: set[ServerConnection] = set()

    async def start(self) -> Address:
        def handle(exchange: Exchange) -> None:
            exchange.respond(200, self.name.encode())

        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(handle, lambda: 0, self._connections, lambda _: None), "127.0.0.1", 0
        )
        return Address(*self._server.sockets[0].getsockname())

    def close(self) -> None:
        self._server.close()


class SidecarProcess:
    """A real sidecar in zone west that gets its lists from the service through proxies."""

    def __init__(self, fleet: Fleet, name: str, proxies: list[FaultProxy]) -> None:
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self._reserved_sockets = [reserve_port("127.0.0.1") for _ in range(2)]
        listen, management = (Address(*sock.getsockname()) for sock in self._reserved_sockets)
        addresses = ", ".join(f'"{proxy.address}"' for proxy in proxies)
        storage_options = f'keep = "{self.folder}/list.json", wait_s = 1.0'
        registry_line = f"registry = {{ addresses = [{addresses}], {storage_options} }}\n"
        self._config = self.folder / "sidecar.toml"
        self._config.write_text(registry_line + EXAMPLE.read_text(encoding="utf-8"), encoding="utf-8")
        variables = {"GW_CONFIG": self._config, "GW_LISTEN": listen, "GW_MANAGEMENT": management}
        self._environment = child_environment() | {name: str(value) for name, value in variables.items()}
        self._pool = ConnectionPool(listen.host, listen.port)
        self.process: Process | None = None

    def start(self) -> None:
        command = [sys.executable, "-B", "-m", "eiderhub.sidecar"]
        log = self.folder / "log"
        self.process = Process(
            "sidecar", command, self._environment, log, 1024, None, Usage(), lambda *_: None
        )

    async def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            await self.process.exited.wait()

    async def served_by(self) -> str:
        """Name of the endpoint that answers a call now; empty if none does."""
        key = secrets.token_hex(8)
        head = f"POST /quote/x HTTP/1.1\r\nHost: s\r\nReq-Id: {key}\r\nReq-Owner: acme\r\n"
        head += f"Req-Deadline-Ms: 2000\r\nIdempotency-Key: {key}\r\nContent-Length: 1\r\n\r\nx"
        try:
            reply = await fetch(self._pool, head.encode(), 3.0)
        except NoReplyError:
            return ""
        return reply.body.decode() if reply.status == 200 else ""

    async def wait_until_served_by(self, name: str, times: int = 20) -> None:
        """Returns once this endpoint has served this many calls in a row."""
        in_a_row = 0
        while in_a_row < times:
            in_a_row = in_a_row + 1 if await self.served_by() == name else 0
            await asyncio.sleep(0.01)

    def close(self) -> None:
        self._pool.close()
        for sock in self._reserved_sockets:
            sock.close()


async def run_ottercleat(*words: str) -> tuple[int, str]:
    arguments = [sys.executable, "-m", "eiderhub.cli", *words]
    completed = await asyncio.to_thread(
        subprocess.run, arguments, env=child_environment(), capture_output=True, text=True
    )
    return completed.returncode, completed.stdout + completed.stderr


async def orders_by_zone(node: RegistryNode) -> dict[str, Order | None]:
    reply = await node.client.get(api.ZONES_PATH, {}, 5.0)
    zones_response = msgspec.json.decode(reply.body, type=api.ZonesResponse)
    return {state.zone: state.order for state in zones_response.zones}


def test_sidecars_apply_an_order_through_outages_and_restarts_until_it_expires() -> None:
    async def test() -> None:
        endpoints = [Endpoint("west"), Endpoint("north")]
        sidecars: list[SidecarProcess] = []
        async with Fleet() as fleet:
            main = await fleet.add_node("main")
            follower = await fleet.add_node("follower", [main.address])
            try:
                for endpoint in endpoints:
                    address = await endpoint.start()
                    entry = Entry(instance_id=endpoint.name, host_port=str(address), zone=endpoint.name)
                    await main.put(Record(entry=entry))
                for name in ("one", "two"):
                    proxies = [await fleet.add_proxy(node) for node in (follower, main)]
                    sidecars.append(SidecarProcess(fleet, name, proxies))
                    sidecars[-1].start()
                one, two = sidecars
                await asyncio.gather(one.wait_until_served_by("west"), two.wait_until_served_by("west"))
                main_address = str(main.address)
                status, output = await run_ottercleat("zone", "drain", main_address, "west", "--for", "1h")
                assert status == 0, output
                await asyncio.gather(one.wait_until_served_by("north"), two.wait_until_served_by("north"))
                status, output = await run_ottercleat("zone", "drain", main_address, "north")
                assert (status, "no other zone would serve" in output) == (1, True), output
                status, output = await run_ottercleat("zone", "drain", main_address, "nort")
                assert (status, "did you mean north" in output) == (2, True), output
                # With the service down and one sidecar restarted, both still apply the order.
                await main.kill()
                for proxy in fleet.proxies:
                    await proxy.set_mode(ProxyMode.RESET)
                await one.kill()
                one.start()
                await asyncio.gather(one.wait_until_served_by("north"), two.wait_until_served_by("north"))
                await main.start()
                for proxy in fleet.proxies:
                    await proxy.set_mode(ProxyMode.OPEN)
                stored_order = (await orders_by_zone(main))["west"]
                assert stored_order is not None and stored_order.share == 0.0
                status, output = await run_ottercleat("zone", "return", main_address, "west")
                assert status == 0, output
                await asyncio.gather(one.wait_until_served_by("west"), two.wait_until_served_by("west"))
                # A short order expires while the service is down.
                status, output = await run_ottercleat("zone", "drain", main_address, "west", "--for", "4s")
                assert status == 0, output
                await asyncio.gather(one.wait_until_served_by("north"), two.wait_until_served_by("north"))
                await main.kill()
                for proxy in fleet.proxies:
                    await proxy.set_mode(ProxyMode.CUT)
                await asyncio.gather(one.wait_until_served_by("west"), two.wait_until_served_by("west"))
                await main.start()

                async def order_is_over() -> bool:
                    return (await orders_by_zone(main))["west"] is None

                await wait_until_true(order_is_over)
            finally:
                for sidecar in sidecars:
                    await sidecar.kill()
                    sidecar.close()
                for endpoint in endpoints:
                    endpoint.close()

    run_async(test())


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('[regions]\ncoast = ["west", "north"]\ninland = ["north"]', "north stands in coast and in inland"),
        ("[regions]\ncoast = []", "regions"),
        ('[regions]\ncoast = ["wets"]', "did you mean wets"),
    ],
)
def test_invalid_regions_are_reported_in_one_line_that_names_the_key(
    tmp_path: Path, text: str, message: str
) -> None:
    path = tmp_path / "sidecar.toml"
    path.write_text(EXAMPLE.read_text(encoding="utf-8") + "\n" + text + "\n", encoding="utf-8")
    arguments = [sys.executable, "-m", "eiderhub.cli", "config", "check", str(path)]
    completed = subprocess.run(arguments, env=child_environment(), capture_output=True, text=True)
    assert completed.returncode == 2 and message in completed.stdout + completed.stderr
    assert len((completed.stdout + completed.stderr).splitlines()) == 1
