"""Tests of the emulator and the load tool on real sockets, with real sidecar processes."""

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
from eiderhub.emulator.fault_proxy import FaultProxy, ProxyMode
from eiderhub.emulator.listeners import Listener
from eiderhub.emulator.load import (
    LoadRun,
    Pattern,
    RequestClass,
    RequestMix,
    read_due_times,
    require_loopback,
    schedule,
)
from eiderhub.emulator.processes import child_environment
from eiderhub.interface import Effect
from eiderhub.world.clients import End
from eiderhub.world.day import draw_day
from eiderhub.world.scenario import load as load_scenario
from tests.sidecar_support import FakeServer, run

SMALL_SCENARIO = """
about = "two tiers, two sidecars at the front, and troubles within seconds"
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


def write_scenario(tmp_path: Path, *troubles: str, head: str = "") -> str:
    path = tmp_path / "small.toml"
    trouble_tables = "".join(f"\n[[trouble]]\n{trouble}\n" for trouble in troubles)
    path.write_text(SMALL_SCENARIO + head + trouble_tables, encoding="utf-8")
    return str(path)


def run_scenario(
    path: str, command: list[str] | None = None, real_lists: bool = False
) -> tuple[Result, Path]:
    async def run_day() -> tuple[Result, Path]:
        deployment = Deployment(draw_day(load_scenario(path), 2, "small"), command, real_registry=real_lists)
        async with deployment:
            await deployment.run()
            return deployment.result(), deployment.folder

    return asyncio.run(run_day())


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
def test_run_with_troubles_keeps_all_rules_and_removes_its_folder(
    tmp_path: Path, troubles: tuple[str, ...]
) -> None:
    result, folder = run_scenario(write_scenario(tmp_path, *troubles))
    assert result.verdict.breaches == {}
    assert result.crash is None
    request_count = sum(row.asked for row in result.verdict.classes.values())
    assert request_count == result.requests > 30  # each has exactly one outcome
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
def test_run_survives_failures_of_the_real_list_service(tmp_path: Path, troubles: tuple[str, ...]) -> None:
    regions = '[regions]\na = ["one"]\nb = ["two"]'
    result, folder = run_scenario(write_scenario(tmp_path, *troubles, head=regions), real_lists=True)
    assert (result.verdict.breaches, result.crash) == ({}, None)
    assert sum(row.asked for row in result.verdict.classes.values()) == result.requests > 30
    assert result.verdict.whole > 0.5
    starts = {name: used["starts"] for name, used in result.services.items()}
    assert starts["registry-0"] == (1 if "cut" in troubles[0] else 2)
    assert not folder.exists()


@given(st.lists(st.binary(max_size=5000), max_size=6), st.lists(st.sampled_from(list(ProxyMode)), max_size=4))
@settings(max_examples=25)
def test_proxy_delivers_data_in_order_and_completely_once_reopened(
    pieces: list[bytes], states: list[ProxyMode]
) -> None:
    async def test() -> None:
        received = bytearray()

        class Sink(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                received.extend(data)

        loop = asyncio.get_running_loop()
        server = await loop.create_server(Sink, "127.0.0.1", 0)
        target = Address(*server.sockets[0].getsockname())
        proxy = FaultProxy("127.0.0.1", lambda: target)
        await proxy.open()
        _, writer = await asyncio.open_connection(*proxy.address)
        broken = False
        sent = b""
        for i, data in enumerate(pieces):
            mode = states[i % len(states)] if states else ProxyMode.OPEN
            await proxy.set_mode(mode)
            if mode is ProxyMode.RESET:
                broken = True
                break
            writer.write(data)
            sent += data
            await asyncio.sleep(0)
        await proxy.set_mode(ProxyMode.OPEN)
        if not broken:
            while len(received) < len(sent):
                await asyncio.sleep(0.001)
        assert sent.startswith(received) and (broken or received == sent)
        writer.close()
        server.close()
        proxy.close()

    run(test())


def test_listener_keeps_its_port_reserved_while_not_listening() -> None:
    async def test() -> None:
        listener = Listener("127.99.0.1", lambda exchange: None, lambda: 0)
        await listener.open()
        listener.stop_listening()
        with socket.socket() as other:  # as another emulator might try to bind it
            with pytest.raises(OSError, match="in use"):
                other.bind((listener.host, listener.port))
            with pytest.raises(ConnectionRefusedError):
                other.connect((listener.host, listener.port))
        for make_unavailable in (listener.stop_listening, listener.blackhole):
            await listener.open()
            with socket.create_connection((listener.host, listener.port)):
                pass
            # A process that is being started holds such duplicates for a short time.
            duplicates = [os.dup(each.fileno()) for each in listener.listening_sockets()]
            make_unavailable()
            duplicates += [os.dup(each.fileno()) for each in listener.listening_sockets()]
            await listener.open()
            for descriptor in duplicates:
                os.close(descriptor)
        listener.close()
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind((listener.host, listener.port))

    run(test())


def test_deployment_without_free_descriptors_leaves_no_folder(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail_to_reserve(host: str) -> socket.socket:
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path / "tmp"))
    (tmp_path / "tmp").mkdir()
    monkeypatch.setattr("eiderhub.emulator.deployment.reserve_port", fail_to_reserve)
    with pytest.raises(DeploymentError, match="ulimit"):
        run_scenario(write_scenario(tmp_path))
    assert list((tmp_path / "tmp").iterdir()) == []


def test_sidecar_that_exits_at_start_is_reported_with_its_last_output(tmp_path: Path) -> None:
    command = [sys.executable, "-c", "import sys; print('no luck today'); sys.exit(3)"]
    with pytest.raises(DeploymentError, match=r"sidecar .* ended with status 3") as caught:
        run_scenario(write_scenario(tmp_path), command)
    assert caught.value.log_tail == ["no luck today"]


def test_sidecar_imports_no_packages_of_higher_layers(tmp_path: Path) -> None:
    program = (
        "import runpy, sys\n"
        "try:\n    runpy.run_module('eiderhub.sidecar', run_name='__main__')\n"
        "except SystemExit:\n    print(*(name for name, module in sys.modules.items() if module))"
    )
    sidecar_environment = {
        name: value for name, value in child_environment().items() if not name.startswith("GW_")
    }
    completed = subprocess.run(
        [sys.executable, "-c", program], env=sidecar_environment, capture_output=True, text=True, check=True
    )
    loaded = set(completed.stdout.split())
    assert "eiderhub.balancer" in loaded and "structlog.dev" in loaded
    higher_layers = (
        "world",
        "emulator",
        "lab",
        "cli",
        "registry.core",
        "registry.server",
        "registry.client",
        "http1",
    )
    third_party = ("numpy", "click", "hdrh", "rich", "xxhash", "tomllib")
    assert not [
        name for name in loaded if name.startswith((*(f"eiderhub.{n}" for n in higher_layers), *third_party))
    ]


def test_interrupt_ends_all_processes_and_removes_all_folders(tmp_path: Path) -> None:
    temporary = tmp_path / "tmp"
    temporary.mkdir()
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "eiderhub.cli",
            "demo",
            "--scenario",
            write_scenario(tmp_path),
            "--seconds",
            "60",
        ],
        env=child_environment() | {"TMPDIR": str(temporary)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stderr is not None
        while "ended" not in process.stderr.readline():  # the progress line of the day: the deployment is up
            assert process.poll() is None
        children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
        assert len(children) == 4
        process.send_signal(signal.SIGINT)
        output, _ = process.communicate(timeout=30)
    finally:
        process.kill()
    assert process.returncode == 1
    assert "score" in output  # the result of the measurements up to then
    assert list(temporary.iterdir()) == []
    assert not any(os.path.exists(f"/proc/{pid}") for pid in children)


# --- load ---


@given(st.lists(st.floats(0, 300), min_size=1, max_size=5), st.floats(0.1, 3), st.integers(0, 99))
def test_due_times_ascend_within_the_run_and_depend_only_on_the_seed(
    rates: list[float], seconds: float, seed: int
) -> None:
    for pattern in Pattern:
        due = schedule(pattern, rates[:1] if pattern is not Pattern.STEPS else rates, seconds, seed)
        assert np.all(np.diff(due) >= 0)
        assert not len(due) or (due[0] >= 0 and due[-1] <= seconds)
        again = schedule(pattern, rates[:1] if pattern is not Pattern.STEPS else rates, seconds, seed)
        assert np.array_equal(due, again)


def test_latency_is_measured_from_the_due_time_and_each_request_has_one_outcome() -> None:
    async def test() -> None:
        fake = await FakeServer().start()
        host, _, port = fake.address.rpartition(":")
        mix = RequestMix((RequestClass("look", Effect.IDEMPOTENT, deadline_ms=5000),))
        due = np.arange(20) / 1000  # all due within 20 ms
        load = LoadRun([(host, int(port))], due, mix, 1)
        run_task = asyncio.create_task(load.run())
        received = [await fake.next_request() for _ in due]
        started_s = time.monotonic()
        await asyncio.sleep(0.2)  # the target stalls for all of them
        stall_ms = (time.monotonic() - started_s) * 1000
        received[0].reset()
        received[1].reply(503)
        for request in received[2:]:
            request.reply()
        await run_task
        load.close()
        figures = load.document()
        outcomes = load.results["look"].ends
        assert (outcomes[End.SERVED], outcomes[End.REFUSED], outcomes[End.BROKEN]) == (18, 1, 1)
        assert figures["statuses"] == {"200": 18, "503": 1}
        assert figures["latency_ms"]["p50"] >= 0.99 * stall_ms
        request_ids = [request.message.headers["req-id"] for request in received]
        assert len(set(request_ids)) == len(request_ids)

    run(test())


@pytest.mark.parametrize("host", ["10.0.0.1", "example.com", "0.0.0.0", "::", "192.168.1.1"])
def test_load_is_sent_only_to_loopback_addresses(host: str) -> None:
    with pytest.raises(ValueError, match="loopback"):
        require_loopback(host)
    assert [require_loopback(each) for each in ("localhost", "127.8.0.1", "[::1]")] == [
        "127.0.0.1",
        "127.8.0.1",
        "::1",
    ]


def test_recorded_times_are_sorted_and_each_invalid_line_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "times"
    path.write_text("# seconds\n0.5\n\n0.25 # early\n", encoding="utf-8")
    assert list(read_due_times(path)) == [0.25, 0.5]
    path.write_text("0.5\nsoon\n-1\n", encoding="utf-8")
    with pytest.raises(DocumentError) as caught:
        read_due_times(path)
    assert [fault.path for fault in caught.value.faults] == ["line 2", "line 3"]
