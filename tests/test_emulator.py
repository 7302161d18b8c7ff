"""The emulator and the load tool against real sockets; the sidecars are real processes."""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eiderhub.address import Address
from eiderhub.documents import DocumentError
from eiderhub.emulator.deployment import Deployment, DeploymentError, Result
from eiderhub.emulator.doors import Door
from eiderhub.emulator.load import Load, Mix, Pattern, Shape, loopback, recorded, schedule
from eiderhub.emulator.processes import environment
from eiderhub.emulator.wires import How, Wire
from eiderhub.interface import Effect
from eiderhub.world.clients import End
from eiderhub.world.day import draw
from eiderhub.world.scenario import load as load_scenario
from tests.sidecar_support import FakeServer, run

SMALL = """
about = "two tiers, one sidecar at the front, and everything that can befall it within seconds"
seconds = 3
zones = ["one", "two"]
[front]
sidecars = 2
[load]
of_capacity = 0.1
[discovery]
add_s = 0.1
notice_s = 0.1
[[tier]]
name = "near"
endpoints = 2
work = 0.5
[[tier]]
name = "far"
endpoints = 3
work = 0.5
[[class]]
name = "pay"
share = 1
work_ms = 40
spread = 0.5
aim_ms = 1000
deadline_ms = 2000
effect = "at_most_once"
"""


def scenario(tmp_path: Path, *troubles: str, head: str = "") -> str:
    path = tmp_path / "small.toml"
    told = "".join(f"\n[[trouble]]\n{trouble}\n" for trouble in troubles)
    path.write_text(SMALL + head + told, encoding="utf-8")
    return str(path)


def play(path: str, command: list[str] | None = None, real_lists: bool = False) -> tuple[Result, Path]:
    async def played() -> tuple[Result, Path]:
        deployment = Deployment(draw(load_scenario(path), 2, "small"), command, real_lists=real_lists)
        async with deployment:
            await deployment.play()
            return deployment.result(), deployment.folder

    return asyncio.run(played())


@pytest.mark.parametrize(
    "troubles",
    [
        ('kind = "hang"\nat_s = 0.5\nfor_s = 1', 'kind = "reload"\nat_s = 1'),
        ('kind = "kill"\nat_s = 1\npart = 0.5', 'kind = "zone-cut"\nat_s = 0.5\nfor_s = 1\nzone = "two"'),
        (
            'kind = "upgrade"\nat_s = 0.5\npart = 0.5',
            'kind = "zone-lost"\nat_s = 0.5\nfor_s = 0.5\nzone = "one"',
        ),
        (
            'kind = "zone-flap"\nat_s = 0.3\nfor_s = 2\nevery_s = 0.6\nzone = "one"',
            'kind = "zone-cut-one-way"\nat_s = 1\nfor_s = 1\nhow = "out"\nzone = "two"',
        ),
        (
            'kind = "zone-grey"\nat_s = 0.3\nfor_s = 1\npart = 0.5\nzone = "one"',
            'kind = "callers-move"\nat_s = 0.5\nfor_s = 1\nzone = "one"',
        ),
    ],
)
def test_a_day_with_troubles_ends_with_the_rules_kept_and_nothing_left(
    tmp_path: Path, troubles: tuple[str, ...]
) -> None:
    result, folder = play(scenario(tmp_path, *troubles))
    assert result.verdict.breaches == {}
    assert result.crash is None
    asked = sum(row.asked for row in result.verdict.classes.values())
    assert asked == result.requests > 30  # each has one end
    assert not folder.exists()
    assert {used["starts"] for used in result.usage.values()} <= {1.0, 2.0}


@pytest.mark.parametrize(
    "troubles",
    [
        (
            'kind = "registry-emptied"\nat_s = 0.5\nfor_s = 0.5',
            'kind = "release"\nat_s = 0.3\nfor_s = 0.5\ntier = "far"',
        ),
        ('kind = "registry-storm"\nat_s = 0.5\nfor_s = 0.5', 'kind = "reload"\nat_s = 0.3'),
        (
            'kind = "registry-cut"\nhow = "cut-down"\nat_s = 0.5\nfor_s = 1',
            'kind = "kill"\nat_s = 1\npart = 0.5',
        ),
        (
            'kind = "region-cut"\nat_s = 0.5\nfor_s = 1\nregion = "b"',
            'kind = "zone-cut"\nat_s = 1\nfor_s = 1\nzone = "one"',
        ),
    ],
)
def test_the_real_list_service_fails_and_the_day_goes_on(tmp_path: Path, troubles: tuple[str, ...]) -> None:
    regions = '[regions]\na = ["one"]\nb = ["two"]'
    result, folder = play(scenario(tmp_path, *troubles, head=regions), real_lists=True)
    assert (result.verdict.breaches, result.crash) == ({}, None)
    assert sum(row.asked for row in result.verdict.classes.values()) == result.requests > 30
    assert result.verdict.whole > 0.5
    starts = {name: used["starts"] for name, used in result.services.items()}
    assert starts["registry-0"] == (1 if "cut" in troubles[0] else 2)
    assert not folder.exists()


@given(st.lists(st.binary(max_size=5000), max_size=6), st.lists(st.sampled_from(list(How)), max_size=4))
@settings(max_examples=25)
def test_what_a_wire_delivers_is_whole_and_in_order_and_a_mended_one_delivers_all(
    pieces: list[bytes], hows: list[How]
) -> None:
    async def test() -> None:
        got = bytearray()

        class Sink(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                got.extend(data)

        loop = asyncio.get_running_loop()
        server = await loop.create_server(Sink, "127.0.0.1", 0)
        target = Address(*server.sockets[0].getsockname())
        wire = Wire("127.0.0.1", lambda: target)
        await wire.open()
        _, writer = await asyncio.open_connection(*wire.address)
        broken = False
        sent = b""
        for i, data in enumerate(pieces):
            how = hows[i % len(hows)] if hows else How.OPEN
            await wire.turn(how)
            if how is How.RESET:
                broken = True
                break
            writer.write(data)
            sent += data
            await asyncio.sleep(0)
        await wire.turn(How.OPEN)
        if not broken:
            while len(got) < len(sent):
                await asyncio.sleep(0.001)
        assert sent.startswith(got) and (broken or got == sent)
        writer.close()
        server.close()
        wire.close()

    run(test())


def test_a_port_that_is_ours_stays_ours_while_nobody_listens() -> None:
    async def test() -> None:
        door = Door("127.99.0.1", lambda exchange: None, lambda: 0)
        await door.open()
        door.shut()
        with socket.socket() as other:  # as another emulator would ask for it
            with pytest.raises(OSError, match="in use"):
                other.bind((door.host, door.port))
            with pytest.raises(ConnectionRefusedError):
                other.connect((door.host, door.port))
        for off in (door.shut, door.silence):
            await door.open()
            with socket.create_connection((door.host, door.port)):
                pass
            held = [os.dup(each.fileno()) for each in door.listening()]  # as a process has that just starts
            off()
            held += [os.dup(each.fileno()) for each in door.listening()]
            await door.open()
            for each in held:
                os.close(each)
        door.close()
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind((door.host, door.port))

    run(test())


def test_a_deployment_that_gets_no_sockets_leaves_no_folder(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def none_left(host: str) -> socket.socket:
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path / "tmp"))
    (tmp_path / "tmp").mkdir()
    monkeypatch.setattr("eiderhub.emulator.deployment.claim", none_left)
    with pytest.raises(DeploymentError, match="ulimit"):
        play(scenario(tmp_path))
    assert list((tmp_path / "tmp").iterdir()) == []


def test_a_sidecar_that_dies_at_its_start_is_named_with_its_last_words(tmp_path: Path) -> None:
    command = [sys.executable, "-c", "import sys; print('no luck today'); sys.exit(3)"]
    with pytest.raises(DeploymentError, match=r"sidecar .* ended with status 3") as caught:
        play(scenario(tmp_path), command)
    assert caught.value.tail == ["no luck today"]


def test_sidecar_imports_nothing_of_the_rooms_above_it(tmp_path: Path) -> None:
    program = (
        "import runpy, sys\n"
        "try:\n    runpy.run_module('eiderhub.sidecar', run_name='__main__')\n"
        "except SystemExit:\n    print(*(name for name, module in sys.modules.items() if module))"
    )
    environ = {name: value for name, value in environment().items() if not name.startswith("GW_")}
    found = subprocess.run(
        [sys.executable, "-c", program], env=environ, capture_output=True, text=True, check=True
    )
    loaded = set(found.stdout.split())
    assert "eiderhub.balancer" in loaded and "structlog.dev" in loaded
    above = (
        "world",
        "emulator",
        "lab",
        "cli",
        "registry.core",
        "registry.server",
        "registry.client",
        "http1",
    )
    foreign = ("numpy", "click", "hdrh", "rich", "xxhash", "tomllib")
    assert not [name for name in loaded if name.startswith((*(f"eiderhub.{n}" for n in above), *foreign))]


def test_interrupt_leaves_no_process_and_no_folder_behind(tmp_path: Path) -> None:
    temporary = tmp_path / "tmp"
    temporary.mkdir()
    process = subprocess.Popen(
        [sys.executable, "-m", "eiderhub.cli", "demo", "--scenario", scenario(tmp_path), "--seconds", "60"],
        env=environment() | {"TMPDIR": str(temporary)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stderr is not None
        while "ended" not in process.stderr.readline():  # progress of the day: the deployment is up
            assert process.poll() is None
        children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
        assert len(children) == 4
        process.send_signal(signal.SIGINT)
        said, _ = process.communicate(timeout=30)
    finally:
        process.kill()
    assert process.returncode == 1
    assert "score" in said  # what was measured up to then
    assert list(temporary.iterdir()) == []
    assert not any(os.path.exists(f"/proc/{pid}") for pid in children)


# --- load ---


@given(st.lists(st.floats(0, 300), min_size=1, max_size=5), st.floats(0.1, 3), st.integers(0, 99))
def test_due_times_rise_within_the_run_and_come_from_the_seed(
    rates: list[float], seconds: float, seed: int
) -> None:
    for pattern in Pattern:
        due = schedule(pattern, rates[:1] if pattern is not Pattern.STEPS else rates, seconds, seed)
        assert np.all(np.diff(due) >= 0)
        assert not len(due) or (due[0] >= 0 and due[-1] <= seconds)
        again = schedule(pattern, rates[:1] if pattern is not Pattern.STEPS else rates, seconds, seed)
        assert np.array_equal(due, again)


def test_latency_runs_from_the_due_time_and_every_request_has_one_end() -> None:
    async def test() -> None:
        fake = await FakeServer().start()
        host, _, port = fake.address.rpartition(":")
        mix = Mix((Shape("look", Effect.IDEMPOTENT, deadline_ms=5000),))
        due = np.arange(20) / 1000  # all due within 20 ms
        load = Load([(host, int(port))], due, mix, 1)
        running = asyncio.create_task(load.run())
        asked = [await fake.next_request() for _ in due]
        begun = time.monotonic()
        await asyncio.sleep(0.2)  # the target stands still for all of them
        stood_ms = (time.monotonic() - begun) * 1000
        asked[0].reset()
        asked[1].reply(503)
        for each in asked[2:]:
            each.reply()
        await running
        load.close()
        figures = load.document()
        ends = load.parts["look"].ends
        assert (ends[End.SERVED], ends[End.REFUSED], ends[End.BROKEN]) == (18, 1, 1)
        assert figures["statuses"] == {"200": 18, "503": 1}
        assert figures["latency_ms"]["p50"] >= 0.99 * stood_ms
        names = [each.message.headers["req-id"] for each in asked]
        assert len(set(names)) == len(names)

    run(test())


@pytest.mark.parametrize("host", ["10.0.0.1", "example.com", "0.0.0.0", "::", "192.168.1.1"])
def test_load_goes_to_this_machine_alone(host: str) -> None:
    with pytest.raises(ValueError, match="loopback"):
        loopback(host)
    assert [loopback(each) for each in ("localhost", "127.8.0.1", "[::1]")] == [
        "127.0.0.1",
        "127.8.0.1",
        "::1",
    ]


def test_recorded_times_are_sorted_and_each_bad_line_is_named(tmp_path: Path) -> None:
    path = tmp_path / "times"
    path.write_text("# seconds\n0.5\n\n0.25 # early\n", encoding="utf-8")
    assert list(recorded(path)) == [0.25, 0.5]
    path.write_text("0.5\nsoon\n-1\n", encoding="utf-8")
    with pytest.raises(DocumentError) as caught:
        recorded(path)
    assert [fault.path for fault in caught.value.faults] == ["line 2", "line 3"]
