"""Several processes of the list service, its clients and a sidecar, with faults between them."""

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
from eiderhub.emulator import operators
from eiderhub.emulator.processes import Process, Usage, claim, environment
from eiderhub.emulator.wires import How
from eiderhub.http1 import ConnectionPool, NoReplyError, fetch
from eiderhub.registry import calls, kept
from eiderhub.registry.belief import BELIEVE_US, CALLS_PER_S, Belief, Claim, Pace, S, Steering
from eiderhub.registry.client import Refused, Registration, Watch
from eiderhub.registry.config import Document
from eiderhub.registry.records import Entry
from eiderhub.registry.server import Service, new_core
from eiderhub.registry.settings import Follow
from eiderhub.registry.store import Store
from eiderhub.sidecar.discovery import parse_endpoint_list
from tests.registry_support import Fleet, Node, Watcher, record, run, until, until_true
from tests.test_registry_store import Memory


async def alive() -> bool:
    return True


def registration(main: Node, name: str, lease_ms: int) -> Registration:
    """A process that began at 5 and is always alive."""
    return Registration(record(name, 5, lease_ms), [main.address], alive, told=Watcher.quiet())


def held(*registrations: Registration) -> None:
    for each in registrations:
        each.start()


# --- the service and its store ---


def test_killed_amid_a_release_it_keeps_what_it_acknowledged_and_versions_never_go_back() -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.node("main")
            follower = await fleet.node("follower", [main.address])
            watcher = fleet.watch(follower.address, main.address)
            watcher.watch.start()
            rng = random.Random(4)
            truth: dict[str, str] = {}
            acknowledged = 0
            for number in range(20):
                acknowledged = await main.put(record(f"e{number}"))
                truth[f"e{number}"] = "ready"
            for _ in range(3):
                assert main.process is not None
                asyncio.get_running_loop().call_later(rng.uniform(0.01, 0.15), main.process.kill)
                unsure: dict[str, str] = {}
                for name in sorted(truth):  # a release, one after another, until it is cut short
                    try:
                        acknowledged = max(acknowledged, await main.drain(name))
                        truth[name] = "draining"
                        acknowledged = max(
                            acknowledged, await main.put(record(name, started=time.time_ns() // 1000))
                        )
                        truth[name] = "ready"
                    except NoReplyError:
                        unsure[name] = truth[name]
                        break
                await main.kill()
                # The follower serves on, and says how old its lists may be.
                asked = time.monotonic()
                reply = await follower.line.get(calls.LIST, {}, 2.0)
                answered = time.monotonic()
                await asyncio.sleep(0.1)
                apart_ms = int((time.monotonic() - answered) * 1000)  # a timer may come a millisecond early
                again = await follower.line.get(calls.LIST, {}, 2.0)
                ages = [int(each.headers[calls.AGE_MS]) for each in (reply, again)]
                assert reply.status == again.status == 200 and ages[1] >= ages[0] + apart_ms
                assert ages[1] <= (time.monotonic() - asked) * 1000 + 5000
                await main.start()
                assert await main.version() >= acknowledged
                listing = parse_endpoint_list((await main.line.get(calls.LIST, {}, 2.0)).body)
                found = {one.endpoint.id: one.endpoint.readiness.value for one in listing.entries}
                assert {n: s for n, s in found.items() if n not in unsure} == {
                    n: s for n, s in truth.items() if n not in unsure
                }
                truth = found
            last = await main.drain("e7")
            truth["e7"] = "draining"
            await until(lambda: watcher.watch.belief.version >= last)
            assert watcher.listed == truth
            numbers = [version for _, version in watcher.versions]
            assert numbers == sorted(numbers)

    run(test())


@pytest.mark.parametrize("past", ["older", "empty"])
def test_a_store_that_was_set_back_is_not_adopted_and_the_fleet_comes_back(past: str) -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.node("main")
            names = [f"e{n}" for n in range(8)]
            registrations = [
                Registration(record(n, 5, 1000), [main.address], alive, told=Watcher.quiet()) for n in names
            ]
            await main.put(record("old"))
            before = fleet.folder / "copy"
            shutil.copytree(main.store, before)
            held(*registrations)
            watcher = fleet.watch(main.address, believe_s=60)
            watcher.watch.start()
            await until(lambda: len(watcher.listed) == 9)
            for turn in range(40):  # so that the older store is far behind
                call = calls.RecordCall(id="old", undo=bool(turn % 2))
                await main.line.post(calls.DRAIN, call, calls.Done)
            had = await main.version()
            await until(lambda: watcher.watch.belief.version == had)
            for each in registrations:
                each.abandon()
            await main.kill()
            shutil.rmtree(main.store)
            if past == "older":
                shutil.copytree(before, main.store)
            await main.start()
            assert await main.version() < had
            if past == "older":
                await until(lambda: watcher.has_said("is older than"))
            else:
                await until(lambda: watcher.has_said("ready endpoints where 9 were in use"))
            assert set(watcher.listed) == {*names, "old"} and watcher.watch.belief.version == had
            # A caller of the platform's form that knows more is told to come back, at first.
            plain = await main.line.get(calls.LIST, {"after": had}, 2.0)
            assert plain.status == 200 or b"retry-after" in plain.headers
            held(*[registration(main, n, 1000) for n in names])
            await until(lambda: watcher.has_said("another service, or one whose store was set back"))
            await until(lambda: set(names) <= set(watcher.listed))
            assert set(watcher.listed) == ({*names, "old"} if past == "older" else set(names))
            assert {watcher.started[n] for n in names} == {5}  # the same processes as before

    run(test())


def test_stopped_until_all_leases_have_run_out_it_expires_nobody_but_the_dead() -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.node("main")
            registrations = [registration(main, f"e{n}", 1500) for n in range(6)]
            held(*registrations)
            for each in registrations:
                await each.put.wait()
            version = await main.version()
            assert main.process is not None
            main.process.send(signal.SIGSTOP)
            registrations[2].abandon()  # this one dies meanwhile
            await asyncio.sleep(4)
            main.process.send(signal.SIGCONT)

            async def one_gone() -> bool:
                return (await main.state()).records == 5

            await until_true(one_gone)
            assert await main.version() == version + 1  # nobody else went, not even to come back
            assert "stood still" in main.log() and main.log().count('"expired"') == 1

    run(test())


def test_two_services_on_one_store_and_a_taken_port_are_one_line_and_status_1() -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.node("main")
            second = main.spawn()
            await second.ended.wait()
            assert main.status == 1
            assert second.tail()[-1] == f"ottercleat: {main.store}: another process has this store open"
            other = Node(fleet.folder, "other")
            fleet.nodes.append(other)
            text = other.config.read_text(encoding="utf-8")
            other.config.write_text(text.replace(str(other.address), str(main.address)), encoding="utf-8")
            process = other.spawn()
            await process.ended.wait()
            assert other.status == 1 and "address already in use" in process.tail()[-1]
            assert "Traceback" not in other.log()

    run(test())


def test_a_full_disk_refuses_writes_and_lists_are_served_on() -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.node("main")
            await main.put(record("e0"))
            assert main.process is not None
            (log,) = [path for path in main.store.iterdir() if path.name.startswith("log-")]
            # The system refuses to let any file grow past this, in the midst of an entry.
            full = log.stat().st_size + 40
            resource.prlimit(main.process.pid, resource.RLIMIT_FSIZE, (full, resource.RLIM_INFINITY))
            for name in ("e1", "e2"):
                with pytest.raises(Refused, match="the store takes nothing now") as refused:
                    await main.put(record(name))
                assert refused.value.status == 503 and refused.value.retry_s > 0
            state = await main.state()
            assert (state.records, state.store_failing) == (1, "File too large")
            assert (
                parse_endpoint_list((await main.line.get(calls.LIST, {}, 2.0)).body).entries[0].endpoint.id
                == "e0"
            )
            unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
            resource.prlimit(main.process.pid, resource.RLIMIT_FSIZE, unlimited)
            version = await main.put(record("e3"))
            assert (await main.state()).store_failing == ""
            await main.kill()
            await main.start()
            assert await main.version() == version + 1  # one more opening, and nothing of what was refused
            listing = parse_endpoint_list((await main.line.get(calls.LIST, {}, 2.0)).body)
            assert {one.endpoint.id for one in listing.entries} == {"e0", "e3"}

    run(test())


def test_damage_in_the_middle_ends_the_start_with_file_and_offset() -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.node("main")
            for n in range(3):
                await main.put(record(f"e{n}"))
            await main.kill()
            (log,) = [path for path in main.store.iterdir() if path.name.startswith("log-")]
            data = bytearray(log.read_bytes())
            data[60] ^= 1
            log.write_bytes(data)
            process = main.spawn()
            await process.ended.wait()
            assert main.status == 1 and f"{log}: offset 18: damaged" in process.tail()[-1]
            check = [sys.executable, "-m", "eiderhub.cli", "registry", "store", "check", str(main.store)]
            found = await asyncio.to_thread(
                subprocess.run, check, capture_output=True, text=True, env=environment()
            )
            assert found.returncode == 1 and f"{log}: offset 18: damaged" in found.stderr
            # Cut short in its last entry, as by a crash, it starts with one line about it.
            data[60] ^= 1
            log.write_bytes(data[:-3])
            await main.start()
            assert (await main.state()).records == 2 and main.log().count("cut off") == 1

    run(test())


# --- followers and wires ---


def test_a_watch_that_falls_silent_moves_on_and_a_follower_that_lags_is_not_believed() -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.node("main")
            feed = await fleet.wire(main)
            follower = await fleet.node("follower", [feed.address])
            await main.put(record("e0"))
            near = await fleet.wire(follower)
            watcher = fleet.watch(near.address, main.address, wait_s=0.5)
            watcher.watch.start()
            await until(lambda: "e0" in watcher.listed)
            for how in (How.CUT_DOWN, How.CUT_UP, How.BROKEN, How.RESET):
                await near.turn(how)  # its watch is silent, or breaks; nothing else tells it so
                name = f"after-{how.value}"
                await main.put(record(name))
                await until(lambda n=name: n in watcher.listed)  # type: ignore[misc]
            await near.turn(How.OPEN)
            await feed.turn(How.CUT)  # the follower hears nothing any more, and says how old it is
            version = await main.put(record("unheard"))
            await until(lambda: "unheard" in watcher.listed)
            state = await follower.state()
            assert state.version < version
            lagging = Watch(Follow(addresses=[str(follower.address)]), lambda _: None, told=watcher)
            lagging.belief = watcher.watch.belief
            lagging.start()
            await until(lambda: watcher.has_said("this follower lags"))
            lagging.stop()
            assert "unheard" in watcher.listed
            await feed.turn(How.OPEN)

            async def caught_up() -> bool:
                return await follower.version() >= version

            await until_true(caught_up)
            reply = await follower.line.get(calls.LIST, {}, 2.0)
            assert len(parse_endpoint_list(reply.body).entries) == 6
            with pytest.raises(Refused, match="this is a follower") as refused:
                await follower.put(record("x"))
            assert refused.value.status == 421

    run(test())


async def busy(count: int, reads: list[Coroutine[Any, Any, bytes]]) -> list[str]:
    """What those have read that were told to come back, once there are so many."""
    tasks = [asyncio.create_task(read) for read in reads]

    def told() -> list[str]:
        ended = [task.result().decode() for task in tasks if task.done() and not task.exception()]
        return [text for text in ended if text.startswith("HTTP/1.1 503")]

    await until(lambda: len(told()) >= count)
    found = told()
    for task in tasks:
        task.cancel()
    return found


def test_bounds_hold_for_callers_watches_bodies_and_slow_readers() -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.node(
                "main",
                callers=12,
                watches=4,
                records=300,
                body_bytes=20_000,
                unsent_bytes=2000,
                reader_s=0.3,
            )
            for n in range(300):
                await main.put(record(f"e{n:03}"))
            with pytest.raises(Refused, match="300 records") as over:
                await main.put(record("one-more"))
            assert over.value.status == 503 and over.value.retry_s > 0
            version = await main.version()
            opened = []
            for _ in range(10):
                reader, writer = await asyncio.open_connection(*main.address)
                writer.write(f"GET {calls.LIST}?after={version}&wait_ms=60000 HTTP/1.1\r\n\r\n".encode())
                opened.append((reader, writer))
            # Which of them come too late is the system's choice; four may be told of the last put, four wait.
            heads = await busy(2, [reader.readuntil(b"\r\n\r\n") for reader, _ in opened])
            assert len(heads) < 10 and all("Retry-After" in head for head in heads)
            for _, writer in opened:
                writer.close()
            big = json.dumps({"record": {"entry": {"instanceId": "x" * 30_000}}})
            reader, writer = await asyncio.open_connection(*main.address)
            writer.write(f"POST {calls.PUT} HTTP/1.1\r\nContent-Length: {len(big)}\r\n\r\n{big}".encode())
            assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 413")
            # Asks for much and reads nothing: it is let go, and nobody else notices.
            loop = asyncio.get_running_loop()
            with socket.socket() as slow:
                slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                slow.setblocking(False)
                await loop.sock_connect(slow, main.address)
                with contextlib.suppress(ConnectionError):
                    while True:
                        await loop.sock_sendall(slow, f"GET {calls.LIST} HTTP/1.1\r\n\r\n".encode())
                        await asyncio.sleep(0.01)
            more = [await asyncio.open_connection(*main.address) for _ in range(16)]
            assert len(await busy(3, [reader.readline() for reader, _ in more])) < len(more)
            for _, writer in more:
                writer.close()

            async def answers() -> bool:
                return await main.serves()

            await until_true(answers)

    run(test())


@pytest.mark.parametrize(
    ("body", "said"),
    [
        ("{", "no JSON"),
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
def test_bad_records_are_400_with_the_path_of_the_fault_and_store_nothing(body: str, said: str) -> None:
    async def test() -> None:
        held_port = claim("127.0.0.1")
        port = held_port.getsockname()[1]
        config = Document(listen=f"127.0.0.1:{port}", store="none")
        service = Service(config, new_core(config), Store(Memory(1 << 40)))
        await service.open()
        pool = ConnectionPool("127.0.0.1", port)
        data = f"POST {calls.PUT} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
        reply = await fetch(pool, data, 5.0)
        assert reply.status == 400 and said in msgspec.json.decode(reply.body)["why"]
        assert service.core.version == 1 and not service.core.records
        pool.close()
        await service.close()
        held_port.close()

    run(test())


# --- clients ---


def entries(count: int, lifecycle: str = "ready") -> list[Entry]:
    rows = [{"instanceId": f"e{n}", "hostPort": "127.0.0.1:80", "lifecycle": lifecycle} for n in range(count)]
    return msgspec.convert(rows, list[Entry])


def claimed(
    version: int, rows: list[Entry], source: str = "one", identity: str = "s", whole: bool = True
) -> Claim:
    return Claim(source, identity, "b", True, version, whole, rows)


def test_a_much_smaller_list_needs_a_second_source_or_time_and_drains_need_neither() -> None:
    def begun() -> Belief:
        belief = Belief()
        assert belief.consider(0, claimed(10, entries(10))).adopted
        return belief

    belief = begun()
    assert belief.consider(S, claimed(11, entries(5))).adopted  # half is not much smaller
    assert not belief.consider(2 * S, claimed(12, entries(4))).adopted  # but four of ten a moment ago are
    assert belief.version == 11 and len(belief.entries) == 5
    assert belief.consider(3 * S, claimed(13, entries(4), source="two")).adopted
    for rows in ([], entries(3)):
        belief = begun()
        assert not belief.consider(S, claimed(11, rows)).adopted
        assert not belief.consider(S + BELIEVE_US - 1, claimed(12, rows)).adopted
        assert belief.consider(S + BELIEVE_US, claimed(13, rows)).adopted
    belief = begun()
    gone = msgspec.convert(
        [{"instanceId": f"e{n}", "hostPort": "a:1", "lifecycle": "gone"} for n in range(8)], list[Entry]
    )
    verdict = belief.consider(S, claimed(11, [*gone, *entries(10, "draining")[8:]], whole=False))
    assert not verdict.adopted and [e.instance_id for e in verdict.entries] == ["e8", "e9"]
    assert belief.entries["e9"].lifecycle.value == "draining" and "e0" in belief.entries
    # Older lists of the same service never; those of another one may well have lower numbers.
    belief = begun()
    assert not belief.consider(100 * S, claimed(9, entries(10))).adopted
    assert belief.consider(100 * S, claimed(2, entries(10), identity="t")).adopted
    assert not belief.consider(100 * S, claimed(1, entries(10), identity="t")).adopted
    assert not belief.consider(100 * S, claimed(99, entries(1), identity="s", whole=False)).adopted


def test_a_thousand_clients_that_come_back_at_once_keep_to_the_fleets_bound_and_out_of_step() -> None:
    rng = random.Random(11)
    paces = [Pace(random.Random(rng.random())) for _ in range(1000)]
    for pace in paces:
        pace.answered(1000)
    called: list[int] = []
    for pace in paces:  # an outage of 20 s begins for all at once
        now = 0
        while now < 20 * S:
            now += pace.failed()
            called.append(now)
    per_s = [sum(second * S <= at < (second + 1) * S for at in called) for second in range(20)]
    assert max(per_s) <= 1.3 * CALLS_PER_S
    back = sorted(at for at in called if at >= 20 * S)
    most_at_once = max(sum(start <= at < start + S // 100 for at in back) for start in back)
    assert len(back) == 1000 and most_at_once <= 20  # of 1,000, within any 10 ms


def test_the_kept_list_is_used_when_nothing_answers_up_to_its_age_by_whatever_clock(tmp_path: Path) -> None:
    whose = kept.Whose("default", "default", "")
    path = str(tmp_path / "list.json")
    assert kept.read(path, 60, whose) == "there is none"
    kept.write(path, whose, "s", "b", 7, entries(3), Steering())
    found = kept.read(path, 60, whose)
    assert isinstance(found, kept.Kept) and found.version == 7 and found.age_s < 30
    assert "is the list of" in str(kept.read(path, 60, kept.Whose("default", "other", "")))
    document = json.loads(Path(path).read_text(encoding="utf-8"))
    for offset_ms, used in ((-50_000, True), (-70_000, False), (50_000, True), (70_000, False)):
        document["written_ms"] = time.time_ns() // 1_000_000 + offset_ms  # the clock was set, either way
        Path(path).write_text(json.dumps(document), encoding="utf-8")
        assert isinstance(kept.read(path, 60, whose), kept.Kept) is used
    Path(path).write_text(Path(path).read_text(encoding="utf-8")[:-5], encoding="utf-8")
    assert "damaged" in str(kept.read(path, 60, whose))

    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.node("main")
            await main.put(record("e0"))
            file = str(tmp_path / "kept.json")
            first = fleet.watch(main.address, keep=file)
            first.watch.start()
            await until(lambda: os.path.exists(file))
            first.watch.stop()
            await main.kill()
            second = fleet.watch(main.address, keep=file)
            assert second.watch.recall() and second.listed == {"e0": "ready"}
            second.watch.start()
            await until(lambda: second.has_said("does not answer"))
            assert second.listed == {"e0": "ready"}
            await main.start()
            await main.put(record("e1"))
            await until(lambda: set(second.listed) == {"e0", "e1"})

    run(test())


# --- a sidecar beside an endpoint ---


def test_a_sidecar_registers_its_endpoint_drains_on_sigterm_and_follows_lists_itself() -> None:
    async def test() -> None:
        async with Fleet() as fleet:
            main = await fleet.node("main")
            watcher = fleet.watch(main.address)
            watcher.watch.start()
            endpoint = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
            port = endpoint.sockets[0].getsockname()[1]
            ports = [claim("127.0.0.1") for _ in range(2)]
            listen, management = (f"127.0.0.1:{sock.getsockname()[1]}" for sock in ports)
            example = Path(__file__).parent.parent / "deploy" / "sidecar.toml"
            head = f'registry = {{ addresses = ["{main.address}"] }}\n'
            told = f'id = "beside", address = "127.0.0.1:{port}", lease_ms = 800, alive_every_s = 0.1'
            head += f"register = {{ {told} }}\n"
            config = fleet.folder / "sidecar.toml"
            config.write_text(head + example.read_text(encoding="utf-8"), encoding="utf-8")
            environ = environment() | {
                "GW_CONFIG": str(config),
                "GW_LISTEN": listen,
                "GW_MANAGEMENT": management,
            }
            command = [sys.executable, "-B", "-m", "eiderhub.sidecar"]
            log, usage = fleet.folder / "sidecar.log", Usage()
            process = Process("sidecar", command, environ, log, 1024, None, usage, lambda *_: None)
            try:
                await until(lambda: watcher.listed.get("beside") == "ready")
                started = watcher.started["beside"]
                # It follows the list that it is on itself.
                where = parse_host_port(management)

                async def hosts() -> int:
                    answer = await operators.call(where.host, where.port, "stats")
                    found = operators.figures(answer)
                    assert "svc.list_age_ms" in found
                    return found["svc.hosts_listed"]

                async def lists(count: int) -> bool:
                    return await hosts() == count

                await until_true(lambda: lists(1))
                await main.put(record("another"))
                await until_true(lambda: lists(2))
                # Gone from the service, it comes back as the same process.
                await main.kill()
                shutil.rmtree(main.store)
                await main.start()

                async def again() -> bool:
                    return (await main.state()).records == 1

                await until_true(again)
                assert await hosts() in (1, 2)  # a list of half is believed; one of none was not
                reply = await main.line.get(calls.LIST, {}, 2.0)
                assert json.loads(reply.body)["instances"][0]["startedAtMs"] == started
                # Dead for a lease's time it is expired, and started anew when it lives again.
                endpoint.close()
                await endpoint.wait_closed()

                async def expired() -> bool:
                    return (await main.state()).records == 0

                await until_true(expired)
                endpoint = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", port)
                await until_true(again)
                reply = await main.line.get(calls.LIST, {}, 2.0)
                assert json.loads(reply.body)["instances"][0]["startedAtMs"] > started
                process.terminate()

                async def drains() -> bool:
                    return (await main.state()).draining == 1

                await until_true(drains)  # before it ends
                assert not process.ended.is_set()
                await process.ended.wait()
                state = await main.state()
                assert (state.records, state.tombstones) == (0, 1)
            finally:
                process.kill()
                await process.ended.wait()
                endpoint.close()
                for sock in ports:
                    sock.close()

    run(test())
