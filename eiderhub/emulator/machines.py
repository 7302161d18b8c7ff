"""Endpoints on sockets: each has an address of its own for each sidecar, so that it knows who calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from eiderhub.emulator.clock import Clock
from eiderhub.emulator.doors import Door
from eiderhub.http1 import Exchange
from eiderhub.interface import Effect
from eiderhub.world.clients import calls_at, work_at
from eiderhub.world.day import Day, Grade, Plan, Post
from eiderhub.world.endpoint import Answer, Call, DedupGroup, Endpoint, Fell, Offer, State, Work
from eiderhub.world.judge import Judge
from eiderhub.world.network import Network

SOON_US = 300  # a delay below this is not worth a timer, whose own lateness is larger
DECLINED = (b"Srv-Declined", b"1")


@dataclass(frozen=True, slots=True)
class Job:
    """What a request id stands for, whoever sends it."""

    grade: Grade
    work_us: float  # the errand's
    tenant: str | None
    key: str | None
    until_us: int


class Jobs:
    """All requests of the day by their ids, and the answers that endpoints made for them."""

    def __init__(self) -> None:
        self._jobs: dict[bytes, Job] = {}
        self._produced: dict[bytes, set[bytes]] = {}
        self._serial = 0

    def new(self, job: Job) -> str:
        """An id for it: 16 hex digits, as service has them."""
        self._serial += 1
        name = f"{(self._serial * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF:016x}"
        self._jobs[name.encode()] = job
        return name

    def find(self, name: bytes) -> Job | None:
        return self._jobs.get(name)

    def adopt(self, name: bytes, job: Job) -> None:
        """A request that came from elsewhere."""
        self._jobs[name] = job

    def forget(self, before_us: int) -> list[str]:
        """Those whose time was over by then; returns them."""
        old = [name for name, job in self._jobs.items() if job.until_us < before_us]
        for name in old:
            del self._jobs[name]
            self._produced.pop(name, None)
        return [name.decode("latin-1") for name in old]

    def produce(self, name: bytes, endpoint: str) -> bytes:
        body = name + b" " + endpoint.encode()
        self._produced.setdefault(name, set()).add(body)
        return body

    def was_produced(self, name: str, body: bytes) -> bool:
        return body in self._produced.get(name.encode(), ())


class _Running:
    """An attempt that an endpoint has."""

    __slots__ = ("drop_call", "exchange", "job", "name", "post")

    def __init__(self, exchange: Exchange, post: Post, job: Job, name: bytes) -> None:
        self.exchange = exchange
        self.post = post
        self.job = job
        self.name = name
        self.drop_call: Callable[[], None] | None = None  # gives up its call to the next tier


# What to make of a request at the front that no client of the day has sent; nothing where it is no request.
Adopt = Callable[[Exchange, Post], Job | None]
# Makes a call to the next tier for an endpoint; says later whether it was served. Returns how to give it up.
CallNext = Callable[[Plan, Job, Callable[[bool], None]], Callable[[], None]]


class Machine:
    """One endpoint, its doors, and its work."""

    def __init__(
        self,
        day: Day,
        endpoint: Endpoint,
        posts: list[Post],
        host: str,
        clock: Clock,
        network: Network,
        judge: Judge,
        jobs: Jobs,
        groups: Mapping[tuple[str, str], DedupGroup],
        call_next: CallNext,
        fallen: Callable[[Plan], None],
        adopt: Adopt,
    ) -> None:
        self.plan = endpoint.plan
        self.endpoint = endpoint
        self._day = day
        self._clock = clock
        self._network = network
        self._judge = judge
        self._jobs = jobs
        self._groups = groups
        self._call_next = call_next
        self._fallen = fallen
        self._adopt = adopt
        self._rng = day.rng(f"machine {self.plan.id}")
        self._running: dict[int, _Running] = {}
        self._serial = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_us = 0
        self._vanished = False
        self.doors = {
            post.name: Door(host, self._server_for(post), clock.now_us, self._opened) for post in posts
        }
        self._zones = {post.name: post.zone for post in posts}

    async def open(self) -> None:
        for door in self.doors.values():
            await door.open()

    def _server_for(self, post: Post) -> Callable[[Exchange], None]:
        return lambda exchange: self._came(post, exchange)

    # --- a request's way in ---

    def _opened(self) -> None:
        self.endpoint.handshake(self._clock.now_us())

    def _came(self, post: Post, exchange: Exchange) -> None:
        """Its last byte is here."""
        now = self._clock.now_us()
        if self._vanished or not self._network.arrives(post.zone, self.plan.zone):
            return  # a machine that says nothing
        name = exchange.headers.get(b"req-id")
        if name is None:
            exchange.respond(404)
            return
        job = self._jobs.find(name) or self._adopt(exchange, post)
        text = name.decode("latin-1")
        known = self._judge.attempt(now, exchange.started_us, text, post.name, self.plan)
        if job is None or not known or not _as_sent(exchange, job):
            exchange.respond(400)
            return
        self._judge.crossed(post.zone, self.plan.zone)
        delay = self._network.one_way_us(post.zone, self.plan.zone)
        if exchange.is_first:  # its connection had to come up as well
            delay += int(2 * self.plan.handshake_rtts * delay)
        running = _Running(exchange, post, job, name)
        exchange.on_disconnect = lambda _: self._left(None, running)
        if delay < SOON_US:
            self._arrive(running)
        else:
            self._clock.at(now + delay, self._arrive, running)

    def _arrive(self, running: _Running) -> None:
        if running.exchange.finished:
            return
        now = self._clock.now_us()
        self._serial += 1
        token = self._serial
        job = running.job
        calls = calls_at(self._day, self.plan.tier, self._rng)
        own_us = work_at(self._day, self.plan, job.work_us, self._rng)
        work = Work(token, own_us, calls, job.key, self._groups.get((self.plan.id, job.grade.name)))
        told = self._judge.told_of_start(running.post.name, self.plan.id, self.endpoint.started_us)
        connections = sum(len(door.connections) for door in self.doors.values())
        offer = self.endpoint.offer(now, work, told, connections)
        if offer is Offer.TAKEN:
            self._running[token] = running
            running.exchange.on_disconnect = lambda _: self._left(token, running)
        elif offer is Offer.DECLINED:
            self._attempt_over(running, never_ran=True)
            self._send(running, lambda: running.exchange.respond(503, b"", DECLINED))
        else:
            self._attempt_over(running)
            running.exchange.reset()
        self.moved()

    def _attempt_over(self, running: _Running, never_ran: bool = False) -> None:
        """It has its outcome here; that its caller goes after that changes nothing."""
        running.exchange.on_disconnect = None
        self._judge.attempt_ended(running.name.decode(), self.plan, never_ran)

    def _left(self, token: int | None, running: _Running) -> None:
        """Its sidecar has given the attempt up."""
        self._attempt_over(running)
        if token is not None and self._running.pop(token, None) is not None:
            if running.drop_call is not None:
                running.drop_call()
            self.endpoint.cancel(self._clock.now_us(), token)
            self.moved()

    # --- and its way out ---

    def moved(self) -> None:
        """Something has changed: carry out what the endpoint says, and look again when it next may."""
        now = self._clock.now_us()
        for said in self.endpoint.advance(now):
            if isinstance(said, Fell):
                self._judge.fell(now, self.plan.id, said)
                self.shut()
                self._fallen(self.plan)
                continue
            assert isinstance(said.token, int)
            running = self._running.get(said.token)
            if running is None:
                continue
            if isinstance(said, Call):
                running.drop_call = self._call_next(
                    self.plan,
                    running.job,
                    lambda served, t=said.token: self._called(t, served),  # type: ignore[misc]
                )
            else:
                self._done(running, said)
        self._arm()

    def _arm(self) -> None:
        now = self._clock.now_us()
        due = self.endpoint.next_us(now)
        if self._timer is not None:
            if due is not None and due == self._timer_us and due > now:
                return
            self._timer.cancel()
            self._timer = None
        if due is not None:
            self._timer_us = due
            self._timer = self._clock.at(due, self._rang)

    def _rang(self) -> None:
        self._timer = None
        self.moved()

    def _called(self, token: int, served: bool) -> None:
        running = self._running.get(token)
        if running is not None:
            running.drop_call = None
            self.endpoint.called(self._clock.now_us(), token, served)
            self.moved()

    def _done(self, running: _Running, answer: Answer) -> None:
        assert isinstance(answer.token, int)
        del self._running[answer.token]
        self._attempt_over(running)
        if answer.served:
            body = self._jobs.produce(running.name, self.plan.id)
            self._send(running, lambda: running.exchange.respond(200, body))
        else:
            self._send(running, lambda: running.exchange.respond(500))

    def _send(self, running: _Running, answer: Callable[[], None]) -> None:
        """Answers take their way, too, and are lost where the network is cut."""
        if self._vanished or not self._network.arrives(self.plan.zone, running.post.zone):
            return
        delay = self._network.one_way_us(self.plan.zone, running.post.zone)
        if delay < SOON_US:
            answer()
        else:
            self._clock.at(self._clock.now_us() + delay, answer)

    # --- what befalls it ---

    def die(self, silent: bool = False) -> None:
        """Its process ends; a silent one says nothing, not even that."""
        self._drop_calls()
        self._running.clear()
        self.endpoint.die(self._clock.now_us())
        self._vanished = silent
        if silent:
            for door in self.doors.values():
                door.silence()
        else:
            self.shut()

    def shut(self) -> None:
        self._drop_calls()
        self._running.clear()
        for door in self.doors.values():
            door.shut()

    def _drop_calls(self) -> None:
        for running in self._running.values():
            if running.drop_call is not None:
                running.drop_call()
                running.drop_call = None

    async def start(self) -> None:
        """A new process takes the same addresses, cold."""
        self._vanished = False
        for door in self.doors.values():
            for connection in list(door.connections):
                connection.reset()
            await door.open()
        self.endpoint.start(self._clock.now_us())

    async def rejoin(self) -> None:
        """The network has changed: doors of sidecars out of reach fall silent, the others come back."""
        if self.endpoint.state is State.DOWN:
            return
        for name, door in self.doors.items():
            if self._network.joined(self._zones[name], self.plan.zone):
                await door.open()
            elif not door.silent:
                door.silence()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        for door in self.doors.values():
            door.close()


def _as_sent(exchange: Exchange, job: Job) -> bool:
    """Whether method, path and key are those that the client sent."""
    idempotent = job.grade.spec.effect is Effect.IDEMPOTENT
    key = exchange.headers.get(b"idempotency-key")
    return (
        exchange.method == (b"GET" if idempotent else b"POST")
        and exchange.url == b"/" + job.grade.name.encode()
        and key == (job.key.encode() if job.key is not None else None)
    )
