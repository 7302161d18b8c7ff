"""A scale run from its start to its result: fill, calm, changes, then the fault, if any."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

from msgspec import structs

from eiderhub.emulator.clock import IN_DOUBT_MS
from eiderhub.emulator.processes import end_on_signals
from eiderhub.registry.client import fetch_list
from eiderhub.registry.settings import FollowSettings
from eiderhub.scale.changes import Writer, settled, spread
from eiderhub.scale.counts import machine
from eiderhub.scale.faults import COURSES, RETURN_S, Course, cut_region, told
from eiderhub.scale.hollow import Compare, Compared, Nothing, digest
from eiderhub.scale.looks import Look, look, phase
from eiderhub.scale.path import PathFigures, measure
from eiderhub.scale.plan import Bears, Plan
from eiderhub.scale.result import Added, Fault, Phase, Result, Settings
from eiderhub.scale.services import descriptors
from eiderhub.scale.topology import Topology

FILL = "fill"
SETTLE_S = 1.0  # after the last change of a phase: its answers are on their way
AGREE_S = 60.0  # by then all sidecars have the main service's list
FILL_S = 600.0
CHECK_S = 0.5
CALLED = 4  # real sidecars that calls go through: one process must keep up with the callers
Tell = Callable[[float, str], None]


def bears() -> Bears:
    """What this machine has."""
    low, high = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()
    return Bears(machine().memory_mb, descriptors(), int(high) - int(low) + 1)


class Run:
    """One run. `seconds` is the length of each phase after the fill, `fault_s` that of a fault."""

    def __init__(
        self,
        plan: Plan,
        seconds: float,
        seed: int,
        real_calls_per_s: float,
        fault: str = "none",
        fault_s: float = 60.0,
    ) -> None:
        self.plan = plan
        self.seconds = seconds
        self.seed = seed
        self._real_calls_per_s = real_calls_per_s  # of each real sidecar
        self.phases: list[Phase] = []
        self.fill_s = 0.0
        self.missing = 0
        self._name = fault
        self._fault_s = fault_s if fault != "none" else 0.0
        self._fault: Fault | None = None
        self._path: PathFigures | None = None

    async def run(self, tell: Tell, fleet: str, revision: str = "") -> Result:
        """All of it; ends its processes and removes its files, whatever happens. `fleet`: its file's name.

        Raises:
            Ended, NoReplyError, Refused, TimeoutError: a process has ended, or does not answer.
        """
        end_on_signals()
        async with Topology(self.plan, self.seed) as self.topology:
            tell(0.0, "starting")
            await self.topology.start(cut_region(self.plan) if self._name == "region-cut" else "")
            before = await look(self.topology)
            tell(0.1, "all register")
            await self._fill()
            before = await self._ended(FILL, before)
            tell(0.3, "calm")
            await self._pass(self.seconds)
            before = await self._ended("calm", before)
            tell(0.5, "changes")
            await self._changes(before)
            agreed = (await self.until_agreed(AGREE_S))[0]
            if self._name in COURSES:
                tell(0.6, self._name)
                agreed = await self._befall()
            last = await look(self.topology)
            tell(1.0, "done")
            return self._result(fleet, revision, agreed, last)

    async def _ended(self, name: str, before: Look) -> Look:
        after = await look(self.topology)
        self.phases.append(phase(name, before, after))
        return await look(self.topology)  # what looking costs belongs to no phase

    async def _pass(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            await asyncio.sleep(min(CHECK_S, left))
            self.topology.check()

    async def _fill(self) -> None:
        """All are registered, then all watch: a list that grows with each record would be told to all."""
        begun = time.monotonic()
        topology = self.topology
        async with asyncio.timeout(FILL_S):
            await topology.each("/register", Nothing(), Nothing)
            for real in topology.reals:
                await topology.start_real(real)
            while True:
                statuses = await topology.statuses()
                full = statuses["main"].records == len(self.plan.seats)
                if full and len({status.version for status in statuses.values()}) == 1:
                    break
                topology.check()
                await asyncio.sleep(0.05)
            await topology.each("/follow", Nothing(), Nothing)
            while not all(real.in_force for real in topology.reals):
                topology.check()
                await asyncio.sleep(0.05)
        self.fill_s = round(time.monotonic() - begun, 2)

    async def _changes(self, before: Look) -> None:
        writer = Writer(self.topology.main.address, self.plan.hollow, self.seed)
        writing = asyncio.create_task(writer.write(self.plan.changes_per_s, self.seconds))
        try:
            if self.topology.reals:
                called = self.topology.reals[:CALLED]
                self._path = await measure(
                    [real.listen for real in called],
                    [real.endpoint for real in called],
                    self._real_calls_per_s * len(called),
                    self.seconds,
                    self.seed,
                )
            await writing
            await self._pass(SETTLE_S)
        finally:
            writing.cancel()
            writer.close()
        await self._ended("changes", before)
        await self.until_agreed(AGREE_S)
        delays, missing = await settled(self.topology, writer.written.made)
        self.missing += missing
        made = self.phases.pop()
        self.phases.append(structs.replace(made, in_force_ms=spread(delays), in_force_pairs=len(delays)))

    async def _befall(self) -> bool:
        """The fault, and the way back from it. Returns whether all agree at the end."""
        before = await look(self.topology)
        course = Course(self.topology, self.plan, self._fault_s, self.seed)
        watching = asyncio.create_task(course.watch_records())
        try:
            await COURSES[self._name](course)
            count = len(self.plan.seats)
            full = await course.records_are(count, RETURN_S)
            agreed, last_s = await self.until_agreed(RETURN_S)
            # A record may go once more while lists are compared.
            agreed = agreed and full and await course.records_are(count, 0.0)
        finally:
            watching.cancel()
            course.close()
        after = await look(self.topology)
        self.phases.append(phase(self._name, before, after))
        self._fault = told(self._name, course, before, after, agreed, last_s)
        return agreed

    async def until_agreed(self, wait_s: float) -> tuple[bool, float]:
        """Whether all sidecars come to have the main service's lists, and when the last of them had news."""
        until = time.monotonic() + wait_s
        while True:
            digests = await self._digests()
            found = await self.topology.each("/compare", Compare(digests), Compared)
            last = max(one.last_change_s for one in found)
            if not sum(one.differ for one in found):
                return True, last
            if time.monotonic() >= until:
                return False, last
            await asyncio.sleep(CHECK_S)

    async def _digests(self) -> dict[str, str]:
        line = self.topology.main.line
        found: dict[str, str] = {}
        for service in self.plan.sizes:
            answer = await fetch_list(line, FollowSettings(addresses=[str(line.address)], service=service))
            found[service] = digest({entry.instance_id: entry for entry in answer.list_answer.entries})
        return found

    def _result(self, fleet: str, revision: str, agreed: bool, last: Look) -> Result:
        plan = self.plan
        late_ms = max(phase.late_ms for phase in self.phases if phase.name != FILL)
        doubts = []
        if late_ms > IN_DOUBT_MS:
            doubts.append(
                f"timers of the hollow processes were {late_ms:.0f} ms late: so may times in force be"
            )
        if self.missing:
            doubts.append(f"{self.missing} pairs of a change and a sidecar were never seen")
        if not agreed:
            doubts.append("at the end not all had the same lists")
        return Result(
            revision=revision,
            machine=machine(),
            settings=Settings(
                fleet=fleet,
                hollow=len(plan.hollow),
                real=len(plan.real),
                seconds=self.seconds,
                fault=self._name,
                fault_s=self._fault_s,
                services=len(plan.sizes),
                followers=len(plan.followers),
                hollow_processes=plan.processes,
                lease_ms=plan.lease_ms,
                wait_s=plan.wait_s,
                changes_per_s=plan.changes_per_s,
                mean_list=round(sum(plan.sizes[seat.follows] for seat in plan.seats) / len(plan.seats), 1),
                largest_service=max(plan.sizes.values()),
                most_watched=plan.most_watched(),
            ),
            seed=self.seed,
            watchers=len(plan.seats),
            records=last.statuses["main"].records,
            fill_s=self.fill_s,
            late_ms=late_ms,
            phases=self.phases,
            agreed=agreed,
            fault=self._fault,
            added=self._added(),
            odd=last.said,
            in_doubt=doubts,
        )

    def _added(self) -> Added | None:
        found = self._path
        if found is None or found.target.times is None or found.direct.times is None:
            return None
        through, direct = found.target.times, found.direct.times
        return Added(
            calls_per_s=found.rate,
            calls=found.target.sent,
            unserved=found.target.sent - found.target.served,
            direct_unserved=found.direct.sent - found.direct.served,
            through_ms={"p50": through.p50_ms, "p99": through.p99_ms},
            direct_ms={"p50": direct.p50_ms, "p99": direct.p99_ms},
            added_ms={
                "p50": round(through.p50_ms - direct.p50_ms, 3),
                "p99": round(through.p99_ms - direct.p99_ms, 3),
            },
            late_p99_ms=found.late.p99_ms,
        )
