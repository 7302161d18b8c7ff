"""One soak: the programs, the traffic, the troubles drawn from a seed, and the account at the end."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import random
import signal
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, NamedTuple

from tests.soak.account import Account, Lot, Request, Touch
from tests.soak.clients import Connection, End, Reply, now
from tests.soak.endpoints import POISON, Endpoint, Runs
from tests.tier_support import HOST, Program, Tier, document, route

GRACE_S = 8.0
PAUSE_S = 0.25  # of clients that poll
START_S = 60.0


WIRE_1 = "wire-1"  # the programs under test, which then speak as before the second wire version


class Shape(NamedTuple):
    """How large a soak is."""

    edges: int = 4
    storage: int = 4
    seconds: float = 14.0
    clients: int = 10
    troubles_per_s: float = 1.2
    changes_per_s: float = 5.0
    finish_s: float = 10.0  # for everything to come to its end after the troubles, as operators give
    older: str = ""  # programs that are upgraded and put back: WIRE_1, or a folder of an older source
    upgrades_per_s: float = 1.5


class Soak:
    def __init__(self, seed: int, folder: Path, shape: Shape) -> None:
        self.seed = seed
        self.shape = shape
        self.rng = random.Random(seed)
        self.runs = Runs()
        self.account = Account(self.runs)
        self.log: list[str] = []
        self._endpoints: list[Endpoint] = []
        self._serial = itertools.count(1)
        self.tier = Tier(folder, shape.storage, shape.edges, self._endpoints)
        self._generation = 1
        self._busy: set[str] = set()  # programs in which something is under way
        self._over = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def play(self) -> list[str]:
        """What is broken at the end; empty where nothing is."""
        try:
            for _ in range(6):
                await self._add_endpoint()
            for program in self.tier.programs:
                self._install(program, older=bool(self.shape.older))
            self.tier.start()
            await self._configure_first()
            await self._wait_ready()
            self._began = now()
            works = [*[self._live] * self.shape.clients, *[self._lots] * 3, self._change, self._strike]
            for work in works + ([self._upgrade] if self.shape.older else []):
                self._tasks.append(asyncio.create_task(work()))
            await asyncio.sleep(self.shape.seconds)
            self._over.set()
            await asyncio.gather(*self._tasks)
            await self._settle()
        finally:
            for task in self._tasks:
                task.cancel()
            for program in self.tier.programs:
                if program.process is not None:
                    program.process.send_signal(signal.SIGCONT)
            await asyncio.to_thread(self.tier.close)
            for endpoint in self._endpoints:
                endpoint.crash()
        return self.account.broken

    def _say(self, what: str) -> None:
        self.log.append(f"{now() - self._began:8.3f} {what}")

    # --- calls ---

    def _edge(self) -> Program:
        return self.rng.choice(self.tier.with_role("edge"))

    def _connection(self, program: Program, port: str = "frontend") -> Connection:
        return Connection(program.ip, self.tier.ports[port])

    async def _operate(self, method: str, path: str, body: bytes = b"", **headers: str) -> Reply:
        """An operator's call, to one control node after the other."""
        reply = Reply(End.REFUSED)
        for program in self.rng.sample(self.tier.with_role("control"), 3):
            reply = await self._connection(program, "control").call(method, path, body, **headers)
            if reply.status == 307:
                host = reply.headers["location"].split("//")[1].split(":")[0]
                target = next(p for p in self.tier.programs if p.ip == host)
                reply = await self._connection(target, "control").call(method, path, body, **headers)
            if 0 < reply.status < 500 and reply.status not in (307, 408, 429):
                return reply
        return reply

    async def _until(self, call: Callable[[], Coroutine[Any, Any, bool]], bound_s: float) -> bool:
        end = now() + bound_s
        while now() < end:
            if await call():
                return True
            await asyncio.sleep(PAUSE_S)
        return False

    # --- the start ---

    async def _add_endpoint(self) -> None:
        endpoint = Endpoint(f"i-{next(self._serial)}", self.runs, random.Random(self.rng.random()))
        await endpoint.start()
        self._endpoints.append(endpoint)

    def _document(self, generation: int) -> dict[str, Any]:
        rng = self.rng
        timeout = rng.choice([3_000, 4_000, 5_000])
        routes = [
            route("once", "non_idempotent", timeout_ms=timeout, resumable=False),
            route("whole", "idempotent", timeout_ms=timeout + rng.randrange(400), resumable=False),
        ]
        made = document(generation, *routes)
        live, lots = made["routes"][:2]
        live["timeout_ms"] = 6_000 + rng.randrange(1_000)
        lots["timeout_ms"] = 6_000 + rng.randrange(1_000)
        lots["max_queued_tokens"] = rng.choice([0, 100_000, 200_000])
        return made

    async def _configure_first(self) -> None:
        made = self.account.changes[1] = self._document(1)

        async def put() -> bool:
            body = json.dumps(made).encode()
            return (await self._operate("PUT", "/config", body, If_Match="0")).status == 200

        assert await self._until(put, START_S), "the first configuration was not taken"
        self.account.acknowledged = 1

    async def _wait_ready(self) -> None:
        async def ready() -> bool:
            asked = [
                self._connection(p, "readiness").call("GET", "/readyz", Host="h")
                for p in self.tier.with_role("edge")
            ]
            return all([(await each).status == 200 for each in asked])

        assert await self._until(ready, START_S), "not all sidecars are ready"

    # --- traffic ---

    async def _live(self) -> None:
        """A client that keeps its connections until the sidecars end them."""
        kept: dict[str, Connection] = {}
        while not self._over.is_set():
            edge = self._edge()
            connection = kept.setdefault(edge.name, self._connection(edge))
            kind = self.rng.choice(["live", "once", "whole"])
            request_id = f"{kind if kind == 'live' else 'whole'}-{kind}-{next(self._serial)}"
            sent = now()
            reply = await connection.call(
                "POST", f"/{kind}/x", b"prompt", Host=HOST, Request_Id=request_id, Token_Usage="10,10",
            )  # fmt: skip
            self.account.requests.append(Request(request_id, kind, edge.name, sent, now(), reply))
            await asyncio.sleep(self.rng.expovariate(1 / 0.03) if reply.end is not End.REFUSED else 0.1)

    async def _lots(self) -> None:
        """A client that sends lots, reads them, and ends some."""
        while not self._over.is_set():
            number = next(self._serial)
            names = [f"i{number}-{n}" for n in range(self.rng.randint(1, 40))]
            items = [name + POISON if self.rng.random() < 0.02 else name for name in names]
            lot = self.account.lots[f"lot{number}"] = Lot(f"lot{number}", items)
            if await self._submit(lot):
                for _ in range(self.rng.randint(0, 4)):
                    await self._read(lot, self.rng.choice([0, len(lot.read)]))
                    await asyncio.sleep(PAUSE_S)
                if self.rng.random() < 0.1:
                    lot.ended = True
                    await self._connection(self._edge()).call("DELETE", f"/lots/{lot.job}", Host=HOST)
            await asyncio.sleep(self.rng.expovariate(1 / 0.2))

    async def _submit(self, lot: Lot) -> bool:
        requests = [
            {"id": i, "path": f"/lots/{i}", "headers": {"Token-Usage": "10,10"}, "tokens": 20,
             "body": base64.b64encode(i.encode()).decode()}
            for i in lot.items
        ]  # fmt: skip
        body = json.dumps({"requests": requests}).encode()
        for _ in range(12):
            connection = self._connection(self._edge())
            reply = await connection.call("POST", "/lots/x", body, Host=HOST, Request_Id=lot.job)
            connection.close()
            if reply.status == 202:
                lot.accepted = True
                return True
            lot.promised &= reply.status in (429, 503) or reply.end is End.REFUSED
            await asyncio.sleep(PAUSE_S)
        return False

    async def _read(self, lot: Lot, start: int) -> int:
        """Read a page; how many results it had, -1 where none came."""
        connection = self._connection(self._edge())
        path = f"/lots/{lot.job}?start_after={start}"
        reply = await connection.call("GET", path, Host=HOST, Wait_Ms="200")
        connection.close()
        if reply.status != 200:
            return -1
        page = json.loads(reply.body)
        self.account.take_page(lot, start, page["results"])
        return len(page["results"])

    # --- changes ---

    async def _change(self) -> None:
        """An operator that changes the configuration all the time; what got no clear answer is sent again."""
        while not self._over.is_set():
            base = self._generation
            self._generation += self.rng.randint(1, 3)
            made = self.account.changes[self._generation] = self._document(self._generation)
            body = json.dumps(made).encode()
            while True:
                reply = await self._operate("PUT", "/config", body, If_Match=str(base))
                if reply.status == 200:
                    self.account.acknowledged = self._generation
                    break
                if 400 <= reply.status < 500 and reply.status not in (408, 429):
                    self.account.note(f"CONFIG: change {self._generation} on {base} got {reply.status}")
                    break
                if self._over.is_set():
                    return
                await asyncio.sleep(PAUSE_S)
            await asyncio.sleep(self.rng.expovariate(self.shape.changes_per_s))

    # --- troubles ---

    async def _strike(self) -> None:
        """Troubles in series that overlap: each runs in a task of its own."""
        kinds = [
            self._kill, self._kill, self._terminate, self._terminate, self._freeze, self._freeze,
            self._hang_up, self._crash_endpoint, self._release,
        ]  # fmt: skip
        begun: list[asyncio.Task[None]] = []
        while not self._over.is_set():
            await asyncio.sleep(self.rng.expovariate(self.shape.troubles_per_s))
            kind = self.rng.choice(kinds)
            series = self.rng.choice([1, 1, 1, 3])
            begun += [asyncio.create_task(kind()) for _ in range(series)]
        await asyncio.gather(*begun)

    def _victim(self) -> Program | None:
        """A program in which nothing is under way; a sidecar, a storage or a control node alike."""
        role = self.rng.choice(["edge", "storage", "control"])
        idle = [p for p in self.tier.with_role(role) if p.name not in self._busy]
        return self.rng.choice(idle) if idle else None

    async def _restart(self, program: Program, how: signal.Signals) -> None:
        assert program.process is not None
        program.process.send_signal(how)
        try:
            async with asyncio.timeout(GRACE_S):
                while program.process.poll() is None:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            self._say(f"{program.name} did not end")
            self.account.note(f"Fault: {program.name} did not end within its grace")
            program.process.kill()
            await asyncio.to_thread(program.process.wait)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        program.start()

    async def _touch(
        self, what: str, work: Callable[[Program], Coroutine[Any, Any, None]], excuse: bool
    ) -> None:
        program = self._victim()
        if program is not None:
            await self._work_on(program, what, work, excuse)

    async def _work_on(
        self, program: Program, what: str, work: Callable[[Program], Coroutine[Any, Any, None]], excuse: bool
    ) -> None:
        self._busy.add(program.name)
        self._say(f"{program.name} {what}")
        began = now()
        try:
            await work(program)
        finally:
            if excuse:
                self.account.touches.append(Touch(program.name, began, now()))
            self._busy.discard(program.name)

    # --- upgrades ---

    def _install(self, program: Program, older: bool) -> None:
        """What the program is when it is started next."""
        if older and self.shape.older == WIRE_1:
            program.module = f"tests.soak.older {program.role}"
        elif older:
            program.package_folder = Path(self.shape.older)
        else:
            program.module, program.package_folder = f"eiderhub.programs.{program.role}", None

    async def _upgrade(self) -> None:
        """One process after the other is stopped and started as the other version, all the way and back."""
        older = False
        while not self._over.is_set():
            for program in self.rng.sample(self.tier.programs, len(self.tier.programs)):
                await asyncio.sleep(self.rng.expovariate(self.shape.upgrades_per_s))
                while program.name in self._busy and not self._over.is_set():
                    await asyncio.sleep(PAUSE_S)
                if self._over.is_set():
                    return
                self._install(program, older)
                what = "is put back" if older else "is upgraded"
                await self._work_on(
                    program, what, lambda each: self._restart(each, signal.SIGTERM), excuse=False
                )
            older = not older

    async def _kill(self) -> None:
        await self._touch("is killed", lambda p: self._restart(p, signal.SIGKILL), excuse=True)

    async def _terminate(self) -> None:
        await self._touch("is told to stop", lambda p: self._restart(p, signal.SIGTERM), excuse=False)

    async def _freeze(self) -> None:
        for_s = self.rng.uniform(0.1, 4.0)

        async def stand_still(program: Program) -> None:
            assert program.process is not None
            program.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            program.process.send_signal(signal.SIGCONT)

        await self._touch(f"stands still for {for_s:.1f} s", stand_still, excuse=True)

    async def _hang_up(self) -> None:
        async def hang_up(program: Program) -> None:
            assert program.process is not None
            program.process.send_signal(signal.SIGHUP)

        await self._touch("gets SIGHUP", hang_up, excuse=False)

    async def _crash_endpoint(self) -> None:
        if len(self._endpoints) > 4:
            endpoint = self._endpoints.pop(self.rng.randrange(len(self._endpoints)))
            self._say(f"{endpoint.identity} crashes")
            endpoint.crash()

    async def _release(self) -> None:
        if len(self._endpoints) < 10:
            await self._add_endpoint()
            self._say(f"{self._endpoints[-1].identity} starts")

    # --- the end ---

    async def _settle(self) -> None:
        """Wait for what is owed, and account for everything."""

        async def done(lot: Lot) -> None:
            async def read() -> bool:
                while await self._read(lot, len(lot.read)) > 0:
                    pass
                return len(lot.read) >= len(lot.items)

            if lot.accepted and not lot.ended:
                await self._until(read, self.shape.finish_s)
            await self._read(lot, 0)

        await asyncio.gather(*(done(lot) for lot in self.account.lots.values()))

        found: list[dict[str, Any]] = []

        async def read_back() -> bool:
            reply = await self._operate("GET", "/config")
            if reply.status == 200:
                found.append(json.loads(reply.body))
            return reply.status == 200

        await self._until(read_back, self.shape.finish_s)
        self.account.check_requests()
        self.account.check_lots()
        self.account.check_configuration(found[-1] if found else None)
