"""Faults of a running fleet: a release, a lost zone, a region cut off, a killed follower or main service."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

from msgspec import structs

from eiderhub.emulator.fault_proxy import ProxyMode
from eiderhub.http1 import NoReplyError
from eiderhub.registry.client import RequestRefusedError
from eiderhub.scale.hollow import (
    LIST_EMPTIED,
    LIST_REVERTED,
    RECORD_LOST,
    RENEWAL_UNANSWERED,
    Empty,
    ReplaceRequest,
    SidecarIds,
)
from eiderhub.scale.measurements import Measurement
from eiderhub.scale.plan import Plan, SidecarSpec
from eiderhub.scale.record_writer import Writer
from eiderhub.scale.result import HOLLOW, MAIN, REAL, Fault
from eiderhub.scale.topology import Topology
from eiderhub.scale.traffic import peak_calls, sum_counts

RELEASE_STEPS = 10
POLL_INTERVAL_S = 0.25  # between status calls to a list service
# Leases to wait for the expiry of a lost zone's records; the service delays a mass expiry by one lease.
EXPIRY_WAIT_LEASES = 6
EXPIRY_MARGIN_S = 10.0
RECOVERY_TIMEOUT_S = 180.0  # for all lists to agree again; after that the result reports that they do not
RETURNED_SHARE = 0.98  # of a follower's sidecars; some are between two watch calls at any time
DRAINS_PER_S = 2.0  # during a fault, for each writer


class FaultRun:
    """The state of one fault: its affected sidecars, writers, times and notes."""

    def __init__(self, topology: Topology, plan: Plan, seconds: float, seed: int) -> None:
        self.topology = topology
        self.plan = plan
        self.seconds = seconds
        self.seed = seed
        self.affected: list[SidecarSpec] = []
        self.writers: list[Writer] = []
        self.least_records = len(plan.seats)
        self.ended_s = 0.0  # end of the fault, on the monotonic clock
        self.return_s = 0.0
        self.notes: list[str] = []

    async def poll_records(self) -> None:
        """Polls the main service's number of records and updates its minimum, until cancelled."""
        while True:
            try:
                await self._fetch_record_count(2.0)
            except (NoReplyError, RequestRefusedError):
                self.notes.append("the main service did not answer a status call")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_for_records(self, count: int, wait_s: float) -> bool:
        """Waits up to `wait_s` for the main service to have this number of records; returns if it has."""
        deadline_s = time.monotonic() + wait_s
        while await self._fetch_record_count(30.0) != count:
            if time.monotonic() >= deadline_s:
                return False
            self.topology.check_processes()
            await asyncio.sleep(POLL_INTERVAL_S)
        return True

    async def _fetch_record_count(self, timeout_s: float) -> int:
        """The main service's number of records; each call updates the minimum, whoever makes it."""
        records = (await self.topology.main.status(timeout_s)).records
        self.least_records = min(self.least_records, records)
        return records

    def add_writer(self, writer: Writer) -> Writer:
        """Registers a writer, whose results are counted and which is closed with this object."""
        self.writers.append(writer)
        return writer

    def close(self) -> None:
        """Closes all writers."""
        for writer in self.writers:
            writer.close()


async def release(fault_run: FaultRun) -> None:
    """Replaces the largest service's hollow sidecars by sidecars with new ids, in RELEASE_STEPS steps."""
    plan, topology = fault_run.plan, fault_run.topology
    service = max(plan.sizes, key=lambda name: plan.sizes[name])
    fault_run.affected = [spec for spec in plan.hollow if spec.service == service]
    others = [spec for spec in plan.hollow if spec.service != service]
    writer = fault_run.add_writer(Writer(topology.main.address, others, fault_run.seed))
    writing = asyncio.create_task(writer.write(DRAINS_PER_S, fault_run.seconds))
    start_s = time.monotonic()
    try:
        for step in range(RELEASE_STEPS):
            await asyncio.sleep(
                max(0.0, start_s + step * fault_run.seconds / RELEASE_STEPS - time.monotonic())
            )
            step_specs = fault_run.affected[step::RELEASE_STEPS]
            pairs = [(spec.id, structs.replace(spec, id=f"{spec.id}.new")) for spec in step_specs]
            await topology.call_each("/replace", ReplaceRequest(pairs), Empty)
        fault_run.ended_s = time.monotonic()
        await writing
    finally:
        writing.cancel()


async def zone_lost(fault_run: FaultRun) -> None:
    """Stops all hollow sidecars of one zone at once and starts them again once their leases have expired."""
    plan, topology = fault_run.plan, fault_run.topology
    zones = [spec.zone for spec in plan.hollow]
    zone = max(sorted(set(zones)), key=zones.count)
    fault_run.affected = [spec for spec in plan.hollow if spec.zone == zone]
    others = [spec for spec in plan.hollow if spec.zone != zone]
    ids = SidecarIds([spec.id for spec in fault_run.affected])
    writer = fault_run.add_writer(Writer(topology.main.address, others, fault_run.seed))
    writing = asyncio.create_task(writer.write(DRAINS_PER_S, fault_run.seconds))
    start_s = time.monotonic()
    try:
        await topology.call_each("/abandon", ids, Empty)
        remaining = len(plan.seats) - len(fault_run.affected)
        if await fault_run.wait_for_records(
            remaining, EXPIRY_WAIT_LEASES * plan.lease_ms / 1000 + EXPIRY_MARGIN_S
        ):
            fault_run.notes.append(
                f"zone {zone}: its leases had expired after {time.monotonic() - start_s:.1f} s"
            )
        else:
            fault_run.notes.append(f"zone {zone}: not all of its leases had expired when it was restarted")
        await writing
        fault_run.ended_s = time.monotonic()
        await topology.call_each("/return", ids, Empty)
    finally:
        writing.cancel()


async def region_cut(fault_run: FaultRun) -> None:
    """Cuts one region off from the others for a time; records on both sides are drained during the cut."""
    plan, topology = fault_run.plan, fault_run.topology
    region = cut_region(plan)
    fault_run.affected = [spec for spec in plan.seats if spec.region == region]
    inside = [spec for spec in plan.hollow if spec.region == region]
    outside = [spec for spec in plan.hollow if spec.region != region]
    inside_writer = fault_run.add_writer(Writer(topology.proxies["out main"].address, inside, fault_run.seed))
    outside_writer = fault_run.add_writer(Writer(topology.main.address, outside, fault_run.seed + 1))
    await topology.set_region_proxies(region, ProxyMode.CUT)
    writing = [
        asyncio.create_task(writer.write(DRAINS_PER_S, fault_run.seconds))
        for writer in (inside_writer, outside_writer)
    ]
    try:
        await asyncio.sleep(fault_run.seconds)
        await topology.set_region_proxies(region, ProxyMode.OPEN)
        fault_run.ended_s = time.monotonic()
        await asyncio.gather(*writing)
    finally:
        for task in writing:
            task.cancel()
    for side, writer in ((f"within region {region}", inside_writer), ("outside the region", outside_writer)):
        fault_run.notes.append(f"{side}: {writer.results.failed} of {writer.results.attempted} writes failed")


async def follower_killed(fault_run: FaultRun) -> None:
    """Kills the follower with the most sidecars, and starts it again at the end of the fault."""
    plan, topology = fault_run.plan, fault_run.topology
    home_regions = [plan.followers_of(spec.region)[0] for spec in plan.seats]
    region = max(sorted(set(home_regions)), key=home_regions.count)
    fault_run.affected = [spec for spec, home in zip(plan.seats, home_regions, strict=True) if home == region]
    follower = topology.followers[region]
    writer = fault_run.add_writer(Writer(topology.main.address, plan.hollow, fault_run.seed))
    writing = asyncio.create_task(writer.write(DRAINS_PER_S, fault_run.seconds))
    try:
        await follower.stop()
        await asyncio.sleep(fault_run.seconds)
        await follower.start()
        fault_run.ended_s = time.monotonic()
        await writing
        # Sidecars return after a time away from their follower; nothing notifies them of its restart.
        deadline_s = fault_run.ended_s + RECOVERY_TIMEOUT_S
        while (await follower.status()).watches < RETURNED_SHARE * len(fault_run.affected):
            if time.monotonic() >= deadline_s:
                fault_run.notes.append(f"follower {region}: not all of its sidecars returned to it")
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        fault_run.return_s = time.monotonic() - fault_run.ended_s
    finally:
        writing.cancel()


async def main_killed(fault_run: FaultRun) -> None:
    """Kills the main service, and starts it again from its store at the end of the fault."""
    plan, topology = fault_run.plan, fault_run.topology
    fault_run.affected = plan.seats
    writer = fault_run.add_writer(Writer(topology.main.address, plan.hollow, fault_run.seed))
    writing = asyncio.create_task(writer.write(DRAINS_PER_S, fault_run.seconds))
    try:
        await topology.main.stop()
        await asyncio.sleep(fault_run.seconds)
        restart_s = await topology.main.start()
        fault_run.ended_s = time.monotonic()
        fault_run.notes.append(f"the main service answered {restart_s:.2f} s after its start")
        await writing
        # All leases start again with the service; records not renewed within one lease are removed.
        await asyncio.sleep(2 * plan.lease_ms / 1000)
    finally:
        writing.cancel()


def cut_region(plan: Plan) -> str:
    """Returns the region that the fault `region-cut` cuts off: the first."""
    return next(iter(plan.regions))


FAULTS: dict[str, Callable[[FaultRun], Coroutine[Any, Any, None]]] = {
    "release": release,
    "zone-lost": zone_lost,
    "region-cut": region_cut,
    "follower-killed": follower_killed,
    "main-killed": main_killed,
}


def fault_result(
    name: str, fault_run: FaultRun, before: Measurement, after: Measurement, agreed: bool, last_s: float
) -> Fault:
    """Computes the result from measurements before the fault and after the recovery."""

    def warning_count(warning: str) -> int:
        return after.warnings.get(warning, 0) - before.warnings.get(warning, 0)

    peaks = {role: peak_calls(counts.buckets, fault_run.ended_s) for role, counts in after.services.items()}
    peaks[HOLLOW] = peak_calls(sum_counts(list(after.hollow.values())).buckets, fault_run.ended_s)
    if fault_run.topology.real_sidecars:
        peaks[REAL] = peak_calls(sum_counts(list(after.real.values())).buckets, fault_run.ended_s)
    notes = list(fault_run.notes)
    notes += [
        f"{warning}: {warning_count(warning)} times"
        for warning in (LIST_EMPTIED, LIST_REVERTED)
        if warning_count(warning)
    ]
    return Fault(
        name=name,
        touched=len(fault_run.affected),
        writes_tried=sum(writer.results.attempted for writer in fault_run.writers),
        writes_failed=sum(writer.results.failed for writer in fault_run.writers),
        renewals_failed=warning_count(RENEWAL_UNANSWERED),
        lost_wrongly=warning_count(RECORD_LOST),
        agree_s=round(max(0.0, last_s - fault_run.ended_s), 2),
        agreed=agreed,
        back_s=round(fault_run.return_s, 2),
        peak_per_100ms=peaks,
        least_records=min(fault_run.least_records, after.statuses[MAIN].records),
        notes=notes,
    )
