"""What befalls a running fleet: a release, a zone that is lost and comes back, a region that is cut off."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

from msgspec import structs

from eiderhub.emulator.wires import How
from eiderhub.http1 import NoReplyError
from eiderhub.registry.client import RequestRefusedError
from eiderhub.scale.changes import Writer
from eiderhub.scale.counts import peak, together
from eiderhub.scale.hollow import EMPTIED, LOST, UNRENEWED, WENT_BACK, Nothing, Replace, Which
from eiderhub.scale.looks import Look
from eiderhub.scale.plan import Plan, Seat
from eiderhub.scale.result import HOLLOW, MAIN, REAL, Fault
from eiderhub.scale.topology import Topology

STEPS = 10  # a release's
WATCH_S = 0.25  # how often the main service's records are counted
LEASES = 6  # a lost zone's records are waited for so many leases: a mass expiry is held up for one more
SPARE_S = 10.0
RETURN_S = 180.0  # by then all agree again, or the run says that they don't
HOME_PART = 0.98  # of a follower's sidecars: some are always between two calls
DRAINS_PER_S = 2.0  # from either side, meanwhile


class Course:
    """What a fault has done so far."""

    def __init__(self, topology: Topology, plan: Plan, seconds: float, seed: int) -> None:
        self.topology = topology
        self.plan = plan
        self.seconds = seconds
        self.seed = seed
        self.touched: list[Seat] = []
        self.writers: list[Writer] = []
        self.least_records = len(plan.seats)
        self.ended_s = 0.0  # when the fault was over, on the monotonic clock
        self.back_s = 0.0
        self.notes: list[str] = []

    async def watch_records(self) -> None:
        """The least that the main service has had, at any look."""
        while True:
            try:
                await self._records(2.0)
            except (NoReplyError, RequestRefusedError):
                self.notes.append("the main service did not answer a look")
            await asyncio.sleep(WATCH_S)

    async def records_are(self, count: int, wait_s: float) -> bool:
        until = time.monotonic() + wait_s
        while await self._records(30.0) != count:
            if time.monotonic() >= until:
                return False
            self.topology.check()
            await asyncio.sleep(WATCH_S)
        return True

    async def _records(self, wait_s: float) -> int:
        """How many the main service has now; every look counts for the least, whoever takes it."""
        records = (await self.topology.main.status(wait_s)).records
        self.least_records = min(self.least_records, records)
        return records

    def writer(self, writer: Writer) -> Writer:
        self.writers.append(writer)
        return writer

    def close(self) -> None:
        for writer in self.writers:
            writer.close()


async def release(course: Course) -> None:
    """The largest service's hollow sidecars are replaced, each by one under a new id, some at a time."""
    plan, topology = course.plan, course.topology
    service = max(plan.sizes, key=lambda name: plan.sizes[name])
    course.touched = [seat for seat in plan.hollow if seat.service == service]
    others = [seat for seat in plan.hollow if seat.service != service]
    writer = course.writer(Writer(topology.main.address, others, course.seed))
    writing = asyncio.create_task(writer.write(DRAINS_PER_S, course.seconds))
    begun = time.monotonic()
    try:
        for step in range(STEPS):
            await asyncio.sleep(max(0.0, begun + step * course.seconds / STEPS - time.monotonic()))
            some = course.touched[step::STEPS]
            pairs = [(seat.id, structs.replace(seat, id=f"{seat.id}.new")) for seat in some]
            await topology.each("/replace", Replace(pairs), Nothing)
        course.ended_s = time.monotonic()
        await writing
    finally:
        writing.cancel()


async def zone_lost(course: Course) -> None:
    """All of one zone's hollow sidecars end at once; when their leases have ended, all come back at once."""
    plan, topology = course.plan, course.topology
    zones = [seat.zone for seat in plan.hollow]
    zone = max(sorted(set(zones)), key=zones.count)
    course.touched = [seat for seat in plan.hollow if seat.zone == zone]
    others = [seat for seat in plan.hollow if seat.zone != zone]
    names = Which([seat.id for seat in course.touched])
    writer = course.writer(Writer(topology.main.address, others, course.seed))
    writing = asyncio.create_task(writer.write(DRAINS_PER_S, course.seconds))
    begun = time.monotonic()
    try:
        await topology.each("/abandon", names, Nothing)
        left = len(plan.seats) - len(course.touched)
        if await course.records_are(left, LEASES * plan.lease_ms / 1000 + SPARE_S):
            course.notes.append(f"zone {zone}: its leases had ended after {time.monotonic() - begun:.1f} s")
        else:
            course.notes.append(f"zone {zone}: not all of its leases had ended when it came back")
        await writing
        course.ended_s = time.monotonic()
        await topology.each("/return", names, Nothing)
    finally:
        writing.cancel()


async def region_cut(course: Course) -> None:
    """One region can't reach the others for a while; records on both sides are drained meanwhile."""
    plan, topology = course.plan, course.topology
    region = cut_region(plan)
    course.touched = [seat for seat in plan.seats if seat.region == region]
    inside = [seat for seat in plan.hollow if seat.region == region]
    outside = [seat for seat in plan.hollow if seat.region != region]
    within = course.writer(Writer(topology.wires["out main"].address, inside, course.seed))
    without = course.writer(Writer(topology.main.address, outside, course.seed + 1))
    await topology.turn(region, How.CUT)
    writing = [
        asyncio.create_task(writer.write(DRAINS_PER_S, course.seconds)) for writer in (within, without)
    ]
    try:
        await asyncio.sleep(course.seconds)
        await topology.turn(region, How.OPEN)
        course.ended_s = time.monotonic()
        await asyncio.gather(*writing)
    finally:
        for task in writing:
            task.cancel()
    for where, writer in ((f"within region {region}", within), ("outside of it", without)):
        course.notes.append(f"{where} {writer.written.failed} of {writer.written.tried} writes failed")


async def follower_killed(course: Course) -> None:
    """The follower with the most sidecars is killed, and started again after a while."""
    plan, topology = course.plan, course.topology
    homes = [plan.followers_of(seat.region)[0] for seat in plan.seats]
    region = max(sorted(set(homes)), key=homes.count)
    course.touched = [seat for seat, home in zip(plan.seats, homes, strict=True) if home == region]
    follower = topology.followers[region]
    writer = course.writer(Writer(topology.main.address, plan.hollow, course.seed))
    writing = asyncio.create_task(writer.write(DRAINS_PER_S, course.seconds))
    try:
        await follower.stop()
        await asyncio.sleep(course.seconds)
        await follower.start()
        course.ended_s = time.monotonic()
        await writing
        # They come home once they have been away for a while, and nothing else calls them back.
        until = course.ended_s + RETURN_S
        while (await follower.status()).watches < HOME_PART * len(course.touched):
            if time.monotonic() >= until:
                course.notes.append(f"follower {region}: not all of its sidecars came back to it")
                break
            await asyncio.sleep(WATCH_S)
        course.back_s = time.monotonic() - course.ended_s
    finally:
        writing.cancel()


async def main_killed(course: Course) -> None:
    """The main service is killed, and started again from its store after a while."""
    plan, topology = course.plan, course.topology
    course.touched = plan.seats
    writer = course.writer(Writer(topology.main.address, plan.hollow, course.seed))
    writing = asyncio.create_task(writer.write(DRAINS_PER_S, course.seconds))
    try:
        await topology.main.stop()
        await asyncio.sleep(course.seconds)
        took_s = await topology.main.start()
        course.ended_s = time.monotonic()
        course.notes.append(f"it answered {took_s:.2f} s after its start")
        await writing
        # All leases began anew with it: who has not renewed within one is dropped.
        await asyncio.sleep(2 * plan.lease_ms / 1000)
    finally:
        writing.cancel()


def cut_region(plan: Plan) -> str:
    """The region that a cut is about: the first."""
    return next(iter(plan.regions))


COURSES: dict[str, Callable[[Course], Coroutine[Any, Any, None]]] = {
    "release": release,
    "zone-lost": zone_lost,
    "region-cut": region_cut,
    "follower-killed": follower_killed,
    "main-killed": main_killed,
}


def told(name: str, course: Course, before: Look, after: Look, agreed: bool, last_s: float) -> Fault:
    """What came of it, from the looks before it and after all had come back."""

    def said(text: str) -> int:
        return after.said.get(text, 0) - before.said.get(text, 0)

    peaks = {role: peak(one.buckets, course.ended_s) for role, one in after.services.items()}
    peaks[HOLLOW] = peak(together(list(after.hollow.values())).buckets, course.ended_s)
    if course.topology.reals:
        peaks[REAL] = peak(together(list(after.real.values())).buckets, course.ended_s)
    notes = list(course.notes)
    notes += [f"{text}: {said(text)} times" for text in (EMPTIED, WENT_BACK) if said(text)]
    return Fault(
        name=name,
        touched=len(course.touched),
        writes_tried=sum(writer.written.tried for writer in course.writers),
        writes_failed=sum(writer.written.failed for writer in course.writers),
        renewals_failed=said(UNRENEWED),
        lost_wrongly=said(LOST),
        agree_s=round(max(0.0, last_s - course.ended_s), 2),
        agreed=agreed,
        back_s=round(course.back_s, 2),
        peak_per_100ms=peaks,
        least_records=min(course.least_records, after.statuses[MAIN].records),
        notes=notes,
    )
