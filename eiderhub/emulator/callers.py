"""Who asks sidecars: outside clients by way of the front, and endpoints of a tier for the next one."""

from __future__ import annotations

from collections.abc import Callable

from eiderhub.emulator.asking import Asking, end_of, render
from eiderhub.emulator.clock import Clock
from eiderhub.emulator.machines import Job, Jobs
from eiderhub.http1 import ConnectionPool, Reply
from eiderhub.world.clients import End, Errand, patience_us, retry_us
from eiderhub.world.day import Day, Post
from eiderhub.world.front import Front
from eiderhub.world.judge import Fate, Judge

BODY = b"x" * 200  # of a request


class Target:
    """One sidecar, as its callers see it."""

    def __init__(self, post: Post, host: str, port: int) -> None:
        self.post = post
        self.pool = ConnectionPool(host, port)
        self.killed = False  # its last process was killed: what it held is nobody's fault


class Try(Asking):
    """One request to one sidecar, from its sending to its end."""

    def __init__(
        self,
        clock: Clock,
        judge: Judge,
        jobs: Jobs,
        target: Target,
        job: Job,
        patience_us: int,
        repeat: bool,
        on_end: Callable[[End, int], None],
    ) -> None:
        self._judge = judge
        self._jobs = jobs
        self._target = target
        self._job = job
        self._on_end = on_end
        self._written = False
        self.name = jobs.new(job)
        data = render(
            self.name,
            job.grade.name,
            job.grade.spec.effect,
            max(1, patience_us // 1000),
            job.tenant,
            job.key,
            BODY,
            repeat,
        )
        super().__init__(clock, target.pool, data, clock.now_us() + patience_us)

    def on_written(self) -> None:
        self._written = True
        self._judge.taken(self.name, self._target.post.name, self._job.grade)

    def meaning(self, reply: Reply) -> End:
        produced = self._jobs.was_produced(self.name, reply.body)
        self._judge.answered(self.clock.now_us(), self.name, reply.status, produced)
        end = end_of(reply.status)
        return End.FAILED if end is End.SERVED and not produced else end

    def crossed(self, first: bool) -> bool:
        return (
            self._judge.cut_short(self.clock.now_us(), self.name, first, self._target.killed) is Fate.UNREAD
        )

    def left(self) -> None:
        if self._written:
            self._judge.gave_up(self.name)

    def ended(self, end: End, reply: Reply | None) -> None:
        self._on_end(end, reply.retry_after_us if reply is not None else 0)


class Outside:
    """The outside clients: each errand is carried through its tries."""

    def __init__(
        self,
        day: Day,
        clock: Clock,
        judge: Judge,
        jobs: Jobs,
        front: Front,
        targets: dict[str, Target],
    ) -> None:
        self._day = day
        self._clock = clock
        self._judge = judge
        self._jobs = jobs
        self._front = front
        self._targets = targets
        self.open: set[Errand] = set()
        self.tries: dict[Errand, Try] = {}
        self.ended = 0
        self.served = 0

    def begin(self, errand: Errand) -> None:
        self.open.add(errand)
        self._judge.asked(errand)
        self._next(errand)

    def _kept(self, name: str) -> bool:
        return bool(self._targets[name].pool.idle)

    def _next(self, errand: Errand) -> None:
        now = self._clock.now_us()
        errand.tries += 1
        name = self._front.choose(now, errand.zone, self._kept)
        patience = patience_us(self._day, errand, now)
        if name is None:
            self._ended(errand, End.UNREACHABLE, 0)
            return
        job = Job(errand.grade, errand.work_us, errand.tenant, errand.key, now + patience)
        self.tries[errand] = Try(
            self._clock,
            self._judge,
            self._jobs,
            self._targets[name],
            job,
            patience,
            errand.tries > 1 and self._day.scenario.clients.marks_retry,
            lambda end, retry_after_us: self._ended(errand, end, retry_after_us),
        )

    def _ended(self, errand: Errand, end: End, retry_after_us: int) -> None:
        now = self._clock.now_us()
        self.tries.pop(errand, None)
        errand.ends.append(end)
        at = retry_us(self._day, errand, now, end, retry_after_us)
        if at is not None:
            self._clock.at(at, self._next, errand)
            return
        errand.ended_us, errand.end = now, end
        self.open.discard(errand)
        self.ended += 1
        self.served += errand.served
