"""End-to-end tests of the list service: its processes, clients and a sidecar, with injected faults."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import msgspec
import pytest

from eiderhub.address import parse_host_port
from eiderhub.emulator import management_client
from eiderhub.emulator.fault_proxy import ProxyMode
from eiderhub.emulator.processes import Process, Usage, child_environment, reserve_port
from eiderhub.http1 import ConnectionPool, NoReplyError, fetch
from eiderhub.registry import api, stored_list
from eiderhub.registry.adoption import (
    CONFIRMATION_US,
    MAX_FLEET_CALLS_PER_S,
    US_PER_S,
    AdoptedList,
    FleetBackoff,
    ListAnswer,
    ZoneData,
)
from eiderhub.registry.client import ListWatch, Registration, RequestRefusedError
from eiderhub.registry.config import RegistryConfig
from eiderhub.registry.records import Entry
from eiderhub.registry.server import RegistryServer, create_core
from eiderhub.registry.settings import FollowSettings
from eiderhub.registry.store import Store
from eiderhub.sidecar.discovery import parse_endpoint_list
from tests.registry_support import (
    Fleet,
    RegistryNode,
    Watcher,
    make_record,
    run_async,
    wait_until,
    wait_until_true,
)
from tests.test_registry_store import MemoryDisk


async def always_alive() -> bool:
    return True


def make_registration(main: RegistryNode, name: str, lease_ms: int) -> Registration:
    """The registration of an endpoint that is always alive, with start time 5."""
    return Registration(
        make_record(name, 5, lease_ms), [main.address], always_alive, logger=Watcher.unused_logger()
    )


def start_all(*registrations: Registration) -> None:
    for registration in registrations:
        registration.start()


# --- the service and its store ---


def test_killed_during_a_rollout_it_keeps_acknowledged_writes_and_versions_never_decrease() -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.add_node("main")
            follower = await fleet.add_node("follower", [main.address])
            watcher = fleet.add_watcher(follower.address, main.address)
            watcher.watch.start()
            rng = random.Random(4)
            expected: dict[str, str] = {}
            acknowledged = 0
            for number in range(20):
                acknowledged = await main.put(make_record(f"e{number}"))
                expected[f"e{number}"] = "ready"
            for _ in range(3):
                assert main.process is not None
                asyncio.get_running_loop().call_later(rng.uniform(0.01, 0.15), main.process.kill)
                uncertain: dict[str, str] = {}
                for name in sorted(expected):  # a rolling restart that the kill interrupts
                    try:
                        acknowledged = max(acknowledged, await main.drain(name))
                        expected[name] = "draining"
                        acknowledged = max(
                            acknowledged, await main.put(make_record(name, started=time.time_ns() // 1000))
                        )
                        expected[name] = "ready"
                    except NoReplyError:
                        uncertain[name] = expected[name]
                        break
                await main.kill()
                # The follower keeps serving and reports the growing age of its lists.
                sent_at = time.monotonic()
                reply = await follower.client.get(api.LIST_PATH, {}, 2.0)
                answered_at = time.monotonic()
                await asyncio.sleep(0.1)
                # The timer may fire a millisecond early.
                elapsed_ms = int((time.monotonic() - answered_at) * 1000)
                second_reply = await follower.client.get(api.LIST_PATH, {}, 2.0)
                ages = [int(each.headers[api.AGE_MS_HEADER]) for each in (reply, second_reply)]
                assert reply.status == second_reply.status == 200 and ages[1] >= ages[0] + elapsed_ms
                assert ages[1] <= (time.monotonic() - sent_at) * 1000 + 5000
                await main.start()
                assert await main.fetch_version() >= acknowledged
                listing = parse_endpoint_list((await main.client.get(api.LIST_PATH, {}, 2.0)).body)
                found = {one.endpoint.id: one.endpoint.readiness.value for one in listing.entries}
                assert {n: s for n, s in found.items() if n not in uncertain} == {
                    n: s for n, s in expected.items() if n not in uncertain
                }
                expected = found
            last = await main.drain("e7")
            expected["e7"] = "draining"
            await wait_until(lambda: watcher.watch.adopted_list.version >= last)
            assert watcher.lifecycles == expected
            versions = [version for _, version in watcher.versions]
            assert versions == sorted(versions)

    run_async(test())


@pytest.mark.parametrize("store_state", ["older", "empty"])
def test_the_list_of_a_rolled_back_store_is_not_adopted_until_the_endpoints_have_registered_again(
    store_state: str,
) -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.add_node("main")
            names = [f"e{n}" for n in range(8)]
            registrations = [
                Registration(
                    make_record(n, 5, 1000), [main.address], always_alive, logger=Watcher.unused_logger()
                )
                for n in names
            ]
            await main.put(make_record("old"))
            backup = fleet.folder / "copy"
            shutil.copytree(main.store, backup)
            start_all(*registrations)
            watcher = fleet.add_watcher(main.address, believe_s=60)
            watcher.watch.start()
            await wait_until(lambda: len(watcher.lifecycles) == 9)
            for turn in range(40):  # puts the older store many versions behind
                call = api.RecordRequest(id="old", undo=bool(turn % 2))
                await main.client.post(api.DRAIN_PATH, call, api.WriteResponse)
            latest_version = await main.fetch_version()
            await wait_until(lambda: watcher.watch.adopted_list.version == latest_version)
            for registration in registrations:
                registration.abandon()
            await main.kill()
            shutil.rmtree(main.store)
            if store_state == "older":
                shutil.copytree(backup, main.store)
            await main.start()
            assert await main.fetch_version() < latest_version
            if store_state == "older":
                await wait_until(lambda: watcher.has_logged("is older than"))
            else:
                await wait_until(lambda: watcher.has_logged("ready endpoints where 9 were in use"))
            assert (
                set(watcher.lifecycles) == {*names, "old"}
                and watcher.watch.adopted_list.version == latest_version
            )
            # At first a plain discovery client with a newer version gets a 503 with Retry-After.
            reply = await main.client.get(api.LIST_PATH, {"after": latest_version}, 2.0)
            assert reply.status == 200 or b"retry-after" in reply.headers
            start_all(*[make_registration(main, n, 1000) for n in names])
            await wait_until(lambda: watcher.has_logged("another service, or one whose store was set back"))
            await wait_until(lambda: set(names) <= set(watcher.lifecycles))
            assert set(watcher.lifecycles) == ({*names, "old"} if store_state == "older" else set(names))
            assert {watcher.started_at_ms[n] for n in names} == {5}  # endpoints keep their start times

    run_async(test())


def test_a_service_paused_beyond_all_leases_expires_only_the_endpoint_that_died() -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.add_node("main")
            registrations = [make_registration(main, f"e{n}", 1500) for n in range(6)]
            start_all(*registrations)
            for registration in registrations:
                await registration.registered.wait()
            version = await main.fetch_version()
            assert main.process is not None
            main.process.send_signal(signal.SIGSTOP)
            registrations[2].abandon()  # this endpoint crashes during the pause
            await asyncio.sleep(4)
            main.process.send_signal(signal.SIGCONT)

            async def one_removed() -> bool:
                return (await main.fetch_status()).records == 5

            await wait_until_true(one_removed)
            assert await main.fetch_version() == version + 1  # no other endpoint was removed, even briefly
            assert "stood still" in main.read_log() and main.read_log().count('"expired"') == 1

    run_async(test())


def test_a_store_or_port_in_use_ends_the_start_with_one_line_and_status_1() -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.add_node("main")
            second = main.spawn()
            await second.exited.wait()
            assert main.exit_status == 1
            assert (
                second.read_log_tail()[-1] == f"ottercleat: {main.store}: another process has this store open"
            )
            other = RegistryNode(fleet.folder, "other")
            fleet.nodes.append(other)
            text = other.config.read_text(encoding="utf-8")
            other.config.write_text(text.replace(str(other.address), str(main.address)), encoding="utf-8")
            process = other.spawn()
            await process.exited.wait()
            assert other.exit_status == 1 and "address already in use" in process.read_log_tail()[-1]
            assert "Traceback" not in other.read_log()

    run_async(test())


def test_a_full_disk_refuses_writes_while_lists_are_still_served() -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.add_node("main")
            await main.put(make_record("e0"))
            assert main.process is not None
            (log,) = [path for path in main.store.iterdir() if path.name.startswith("log-")]
            # This file size limit makes the next append fail in the middle of an entry.
            full = log.stat().st_size + 40
            resource.prlimit(main.process.pid, resource.RLIMIT_FSIZE, (full, resource.RLIM_INFINITY))
            for name in ("e1", "e2"):
                with pytest.raises(RequestRefusedError, match="the store does not accept writes") as refused:
                    await main.put(make_record(name))
                assert refused.value.status == 503 and refused.value.retry_after_s > 0
            state = await main.fetch_status()
            assert (state.records, state.store_failing) == (1, "File too large")
            assert (
                parse_endpoint_list((await main.client.get(api.LIST_PATH, {}, 2.0)).body)
                .entries[0]
                .endpoint.id
                == "e0"
            )
            unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
            resource.prlimit(main.process.pid, resource.RLIMIT_FSIZE, unlimited)
            version = await main.put(make_record("e3"))
            assert (await main.fetch_status()).store_failing == ""
            await main.kill()
            await main.start()
            assert await main.fetch_version() == version + 1  # one new branch, none of the refused writes
            listing = parse_endpoint_list((await main.client.get(api.LIST_PATH, {}, 2.0)).body)
            assert {one.endpoint.id for one in listing.entries} == {"e0", "e3"}

    run_async(test())


def test_log_corruption_before_the_last_entry_ends_the_start_with_file_and_offset() -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.add_node("main")
            for n in range(3):
                await main.put(make_record(f"e{n}"))
            await main.kill()
            (log,) = [path for path in main.store.iterdir() if path.name.startswith("log-")]
            data = bytearray(log.read_bytes())
            data[60] ^= 1
            log.write_bytes(data)
            process = main.spawn()
            await process.exited.wait()
            assert main.exit_status == 1 and f"{log}: offset 18: damaged" in process.read_log_tail()[-1]
            check = [sys.executable, "-m", "eiderhub.cli", "registry", "store", "check", str(main.store)]
            found = await asyncio.to_thread(
                subprocess.run, check, capture_output=True, text=True, env=child_environment()
            )
            assert found.returncode == 1 and f"{log}: offset 18: damaged" in found.stderr
            # A truncated last entry, as a crash leaves it, is dropped with one log line.
            data[60] ^= 1
            log.write_bytes(data[:-3])
            await main.start()
            assert (await main.fetch_status()).records == 2 and main.read_log().count("cut off") == 1

    run_async(test())


# --- followers and network faults ---


def test_a_watch_fails_over_when_an_address_stops_answering_and_rejects_a_lagging_follower() -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.add_node("main")
            feed = await fleet.add_proxy(main)
            follower = await fleet.add_node("follower", [feed.address])
            await main.put(make_record("e0"))
            near = await fleet.add_proxy(follower)
            watcher = fleet.add_watcher(near.address, main.address, wait_s=0.5)
            watcher.watch.start()
            await wait_until(lambda: "e0" in watcher.lifecycles)
            for how in (ProxyMode.CUT_DOWN, ProxyMode.CUT_UP, ProxyMode.TRUNCATED, ProxyMode.RESET):
                await near.set_mode(how)  # the long poll stalls or fails; the client gets no other signal
                name = f"after-{how.value}"
                await main.put(make_record(name))
                await wait_until(lambda n=name: n in watcher.lifecycles)  # type: ignore[misc]
            await near.set_mode(ProxyMode.OPEN)
            await feed.set_mode(ProxyMode.CUT)  # the follower no longer receives changes
            version = await main.put(make_record("unheard"))
            await wait_until(lambda: "unheard" in watcher.lifecycles)
            state = await follower.fetch_status()
            assert state.version < version
            lagging = ListWatch(
                FollowSettings(addresses=[str(follower.address)]), lambda _: None, logger=watcher
            )
            lagging.adopted_list = watcher.watch.adopted_list
            lagging.start()
            await wait_until(
                lambda: watcher.has_logged("this follower is behind the version that the caller has")
            )
            lagging.stop()
            assert "unheard" in watcher.lifecycles
            await feed.set_mode(ProxyMode.OPEN)

            async def caught_up() -> bool:
                return await follower.fetch_version() >= version

            await wait_until_true(caught_up)
            reply = await follower.client.get(api.LIST_PATH, {}, 2.0)
            assert len(parse_endpoint_list(reply.body).entries) == 6
            with pytest.raises(RequestRefusedError, match="this is a follower") as refused:
                await follower.put(make_record("x"))
            assert refused.value.status == 421

    run_async(test())


async def read_refusals(count: int, reads: list[Coroutine[Any, Any, bytes]]) -> list[str]:
    """Wait until `count` of the reads have returned a 503; return these answers."""
    tasks = [asyncio.create_task(read) for read in reads]

    def refusals() -> list[str]:
        ended = [task.result().decode() for task in tasks if task.done() and not task.exception()]
        return [text for text in ended if text.startswith("HTTP/1.1 503")]

    await wait_until(lambda: len(refusals()) >= count)
    found = refusals()
    for task in tasks:
        task.cancel()
    return found


def test_limits_on_callers_watches_body_size_and_slow_readers() -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.add_node(
                "main",
                callers=12,
                watches=4,
                records=300,
                body_bytes=20_000,
                unsent_bytes=2000,
                reader_s=0.3,
            )
            for n in range(300):
                await main.put(make_record(f"e{n:03}"))
            with pytest.raises(RequestRefusedError, match="300 records") as refused:
                await main.put(make_record("one-more"))
            assert refused.value.status == 503 and refused.value.retry_after_s > 0
            version = await main.fetch_version()
            opened = []
            for _ in range(10):
                reader, writer = await asyncio.open_connection(*main.address)
                writer.write(f"GET {api.LIST_PATH}?after={version}&wait_ms=60000 HTTP/1.1\r\n\r\n".encode())
                opened.append((reader, writer))
            # The order of the connections is up to the OS. Four may be answered with the last put, four wait.
            heads = await read_refusals(2, [reader.readuntil(b"\r\n\r\n") for reader, _ in opened])
            assert len(heads) < 10 and all("Retry-After" in head for head in heads)
            for _, writer in opened:
                writer.close()
            big = json.dumps({"record": {"entry": {"instanceId": "x" * 30_000}}})
            reader, writer = await asyncio.open_connection(*main.address)
            writer.write(f"POST {api.PUT_PATH} HTTP/1.1\r\nContent-Length: {len(big)}\r\n\r\n{big}".encode())
            assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 413")
            # A client that reads no answers is disconnected; other clients are not affected.
            loop = asyncio.get_running_loop()
            with socket.socket() as slow:
                slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                slow.setblocking(False)
                await loop.sock_connect(slow, main.address)
                with contextlib.suppress(ConnectionError):
                    while True:
                        await loop.sock_sendall(slow, f"GET {api.LIST_PATH} HTTP/1.1\r\n\r\n".encode())
                        await asyncio.sleep(0.01)
            more = [await asyncio.open_connection(*main.address) for _ in range(16)]
            assert len(await read_refusals(3, [reader.readline() for reader, _ in more])) < len(more)
            for _, writer in more:
                writer.close()

            async def answers() -> bool:
                return await main.is_serving()

            await wait_until_true(answers)

    run_async(test())


@pytest.mark.parametrize(
    ("body", "expected_error"),
    [
        ("{", "body is not valid JSON"),
        ('{"record":{"entry":{"instanceId":"a"}}}', "record.entry.hostPort: missing"),
        (
            '{"record":{"entry":{"instanceId":"a","hostPort":"x"}}}',
            "record.entry.hostPort: must be an address:port",
        ),
        (
            '{"record":{"entry":{"instanceId":"a","hostPort":"a:1","lifecycle":"dead"}}}',
            "record.entry.lifecycle: impossible value 'dead'",
        ),
        (
            '{"record":{"entry":{"instanceId":"a","hostPort":"a:1","weight":"1"}}}',
            "record.entry.weight: must be a number",
        ),
        (
            '{"record":{"entry":{"instanceId":"%s","hostPort":"a:1"}}}' % ("a" * 129),
            "record.entry.instanceId: must be a plain name",
        ),
        ('{"record":{"entry":{"instanceId":"a","hostPort":"a:1","lifecycle":"gone"}}}', "told by a removal"),
        (
            '{"record":{"entry":{"instanceId":"a","hostPort":"a:1"},"leaseMs":1000}}',
            "owner: a lease needs one",
        ),
    ],
)
def test_invalid_records_get_400_with_the_path_of_the_fault_and_are_not_stored(
    body: str, expected_error: str
) -> None:
    async def test() -> None:
        held_port = reserve_port("127.0.0.1")
        port = held_port.getsockname()[1]
        config = RegistryConfig(listen=f"127.0.0.1:{port}", store="none")
        service = RegistryServer(config, create_core(config), Store(MemoryDisk(1 << 40)))
        await service.open()
        pool = ConnectionPool("127.0.0.1", port)
        data = f"POST {api.PUT_PATH} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
        reply = await fetch(pool, data, 5.0)
        assert reply.status == 400 and expected_error in msgspec.json.decode(reply.body)["why"]
        assert service.core.version == 1 and not service.core.records
        pool.close()
        await service.close()
        held_port.close()

    run_async(test())


# --- clients ---


def make_entries(count: int, lifecycle: str = "ready") -> list[Entry]:
    rows = [{"instanceId": f"e{n}", "hostPort": "127.0.0.1:80", "lifecycle": lifecycle} for n in range(count)]
    return msgspec.convert(rows, list[Entry])


def make_list_answer(
    version: int, rows: list[Entry], source: str = "one", identity: str = "s", whole: bool = True
) -> ListAnswer:
    return ListAnswer(source, identity, "b", True, version, whole, rows)


def test_a_much_smaller_list_needs_a_second_source_or_time_but_drains_apply_at_once() -> None:
    def new_adopted_list() -> AdoptedList:
        adopted_list = AdoptedList()
        assert adopted_list.consider(0, make_list_answer(10, make_entries(10))).adopted
        return adopted_list

    adopted_list = new_adopted_list()
    # half the endpoints: within the limit
    assert adopted_list.consider(US_PER_S, make_list_answer(11, make_entries(5))).adopted
    # four of the recent ten: below it
    assert not adopted_list.consider(2 * US_PER_S, make_list_answer(12, make_entries(4))).adopted
    assert adopted_list.version == 11 and len(adopted_list.entries) == 5
    assert adopted_list.consider(3 * US_PER_S, make_list_answer(13, make_entries(4), source="two")).adopted
    for rows in ([], make_entries(3)):
        adopted_list = new_adopted_list()
        assert not adopted_list.consider(US_PER_S, make_list_answer(11, rows)).adopted
        assert not adopted_list.consider(US_PER_S + CONFIRMATION_US - 1, make_list_answer(12, rows)).adopted
        assert adopted_list.consider(US_PER_S + CONFIRMATION_US, make_list_answer(13, rows)).adopted
    adopted_list = new_adopted_list()
    gone = msgspec.convert(
        [{"instanceId": f"e{n}", "hostPort": "a:1", "lifecycle": "gone"} for n in range(8)], list[Entry]
    )
    result = adopted_list.consider(
        US_PER_S, make_list_answer(11, [*gone, *make_entries(10, "draining")[8:]], whole=False)
    )
    assert not result.adopted and [e.instance_id for e in result.entries] == ["e8", "e9"]
    assert adopted_list.entries["e9"].lifecycle.value == "draining" and "e0" in adopted_list.entries
    # An older list of the same service is never adopted; another service may have lower versions.
    adopted_list = new_adopted_list()
    assert not adopted_list.consider(100 * US_PER_S, make_list_answer(9, make_entries(10))).adopted
    assert adopted_list.consider(100 * US_PER_S, make_list_answer(2, make_entries(10), identity="t")).adopted
    assert not adopted_list.consider(
        100 * US_PER_S, make_list_answer(1, make_entries(10), identity="t")
    ).adopted
    assert not adopted_list.consider(
        100 * US_PER_S, make_list_answer(99, make_entries(1), identity="s", whole=False)
    ).adopted


def test_a_thousand_reconnecting_clients_keep_to_the_fleet_limit_and_do_not_synchronize() -> None:
    rng = random.Random(11)
    backoffs = [FleetBackoff(random.Random(rng.random())) for _ in range(1000)]
    for backoff in backoffs:
        backoff.record_answer(1000)
    call_times_us: list[int] = []
    for backoff in backoffs:  # a 20 s outage that starts for all clients at once
        now = 0
        while now < 20 * US_PER_S:
            now += backoff.record_failure()
            call_times_us.append(now)
    calls_per_second = [
        sum(second * US_PER_S <= at < (second + 1) * US_PER_S for at in call_times_us) for second in range(20)
    ]
    assert max(calls_per_second) <= 1.3 * MAX_FLEET_CALLS_PER_S
    late_times_us = sorted(at for at in call_times_us if at >= 20 * US_PER_S)
    max_in_10_ms = max(
        sum(start <= at < start + US_PER_S // 100 for at in late_times_us) for start in late_times_us
    )
    assert len(late_times_us) == 1000 and max_in_10_ms <= 20


def test_the_stored_list_is_used_up_to_its_maximum_age_even_if_the_clock_was_changed(tmp_path: Path) -> None:
    scope = stored_list.ListScope("default", "default", "")
    path = str(tmp_path / "list.json")
    assert stored_list.read_list(path, 60, scope) == "there is none"
    stored_list.write_list(path, scope, "s", "b", 7, make_entries(3), ZoneData())
    stored = stored_list.read_list(path, 60, scope)
    assert isinstance(stored, stored_list.StoredList) and stored.version == 7 and stored.age_s < 30
    assert "is the list of" in str(
        stored_list.read_list(path, 60, stored_list.ListScope("default", "other", ""))
    )
    document = json.loads(Path(path).read_text(encoding="utf-8"))
    for offset_ms, used in ((-50_000, True), (-70_000, False), (50_000, True), (70_000, False)):
        document["written_ms"] = time.time_ns() // 1_000_000 + offset_ms  # the clock was set back or forward
        Path(path).write_text(json.dumps(document), encoding="utf-8")
        assert isinstance(stored_list.read_list(path, 60, scope), stored_list.StoredList) is used
    Path(path).write_text(Path(path).read_text(encoding="utf-8")[:-5], encoding="utf-8")
    assert "damaged" in str(stored_list.read_list(path, 60, scope))

    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.add_node("main")
            await main.put(make_record("e0"))
            file = str(tmp_path / "kept.json")
            first = fleet.add_watcher(main.address, keep=file)
            first.watch.start()
            await wait_until(lambda: os.path.exists(file))
            first.watch.stop()
            await main.kill()
            second = fleet.add_watcher(main.address, keep=file)
            assert second.watch.load_stored_list() and second.lifecycles == {"e0": "ready"}
            second.watch.start()
            await wait_until(lambda: second.has_logged("does not answer"))
            assert second.lifecycles == {"e0": "ready"}
            await main.start()
            await main.put(make_record("e1"))
            await wait_until(lambda: set(second.lifecycles) == {"e0", "e1"})

    run_async(test())


# --- a sidecar that registers its endpoint ---


def test_a_sidecar_registers_its_endpoint_drains_on_sigterm_and_uses_the_list_itself() -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.add_node("main")
            watcher = fleet.add_watcher(main.address)
            watcher.watch.start()
            endpoint = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
            port = endpoint.sockets[0].getsockname()[1]
            ports = [reserve_port("127.0.0.1") for _ in range(2)]
            listen, management = (f"127.0.0.1:{sock.getsockname()[1]}" for sock in ports)
            example = Path(__file__).parent.parent / "deploy" / "sidecar.toml"
            sections = f'registry = {{ addresses = ["{main.address}"] }}\n'
            register_settings = (
                f'id = "beside", address = "127.0.0.1:{port}", lease_ms = 800, alive_every_s = 0.1'
            )
            sections += f"register = {{ {register_settings} }}\n"
            config = fleet.folder / "sidecar.toml"
            config.write_text(sections + example.read_text(encoding="utf-8"), encoding="utf-8")
            environ = child_environment() | {
                "GW_CONFIG": str(config),
                "GW_LISTEN": listen,
                "GW_MANAGEMENT": management,
            }
            command = [sys.executable, "-B", "-m", "eiderhub.sidecar"]
            log, usage = fleet.folder / "sidecar.log", Usage()
            process = Process("sidecar", command, environ, log, 1024, None, usage, lambda *_: None)
            try:
                await wait_until(lambda: watcher.lifecycles.get("beside") == "ready")
                started_at_ms = watcher.started_at_ms["beside"]
                # The sidecar's own list includes its endpoint.
                management_address = parse_host_port(management)

                async def listed_hosts() -> int:
                    answer = await management_client.call(
                        management_address.host, management_address.port, "stats"
                    )
                    found = management_client.parse_counters(answer)
                    assert "svc.list_age_ms" in found
                    return found["svc.hosts_listed"]

                async def lists_hosts(count: int) -> bool:
                    return await listed_hosts() == count

                await wait_until_true(lambda: lists_hosts(1))
                await main.put(make_record("another"))
                await wait_until_true(lambda: lists_hosts(2))
                # After the service loses its store, the endpoint registers again with the same start time.
                await main.kill()
                shutil.rmtree(main.store)
                await main.start()

                async def registered() -> bool:
                    return (await main.fetch_status()).records == 1

                await wait_until_true(registered)
                # The list with one of two endpoints is adopted; the empty one was not.
                assert await listed_hosts() in (1, 2)
                reply = await main.client.get(api.LIST_PATH, {}, 2.0)
                assert json.loads(reply.body)["instances"][0]["startedAtMs"] == started_at_ms
                # An endpoint that is down for a lease expires, and returns with a new start time.
                endpoint.close()
                await endpoint.wait_closed()

                async def expired() -> bool:
                    return (await main.fetch_status()).records == 0

                await wait_until_true(expired)
                endpoint = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", port)
                await wait_until_true(registered)
                reply = await main.client.get(api.LIST_PATH, {}, 2.0)
                assert json.loads(reply.body)["instances"][0]["startedAtMs"] > started_at_ms
                process.terminate()

                async def drains() -> bool:
                    return (await main.fetch_status()).draining == 1

                await wait_until_true(drains)  # while the sidecar is still running
                assert not process.exited.is_set()
                await process.exited.wait()
                state = await main.fetch_status()
                assert (state.records, state.tombstones) == (0, 1)
            finally:
                process.kill()
                await process.exited.wait()
                endpoint.close()
                for sock in ports:
                    sock.close()

    run_async(test())
