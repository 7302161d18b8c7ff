"""Measurements of the traffic and resource use of all processes of a run; two of them delimit a phase."""

from __future__ import annotations

import asyncio
import os
import time
from collections import Counter
from dataclasses import dataclass

from msgspec import structs

from eiderhub.registry import api
from eiderhub.scale.hollow import Empty, Snapshot
from eiderhub.scale.result import HOLLOW, MAIN, REAL, RUN, Phase, Role
from eiderhub.scale.topology import Topology, read_own_traffic, sum_by_role
from eiderhub.scale.traffic import (
    WRITES,
    TrafficCounts,
    counts_between,
    peak_calls,
    process_usage,
    sum_counts,
)

LATE_P99_INDEX = 1  # of the 99th percentile in `Snapshot.late_ms`


@dataclass(frozen=True, slots=True)
class Measurement:
    """State of a run at one moment.

    Counts start with the run; buckets and lateness start at the previous measurement.
    """

    at_s: float  # on the monotonic clock
    costs: dict[str, tuple[float, float]]  # by role: seconds of processor time, MB
    services: dict[str, TrafficCounts]  # traffic that reached each service, by its role
    hollow: dict[str, TrafficCounts]  # traffic of the hollow sidecars, by the service's role
    real: dict[str, TrafficCounts]  # traffic of the real sidecars, by the service's role
    feed: TrafficCounts  # traffic of the followers with the main service
    own: TrafficCounts  # traffic of this process with the main service, without relayed connections
    statuses: dict[str, api.StatusResponse]  # by role
    registered: int  # hollow sidecars that are alive and registered
    warnings: dict[str, int]  # number of the hollow sidecars' warnings, by text
    late_ms: float  # of the hollow processes' timers: 99th percentile of the worst process
    pids: dict[str, tuple[int, ...]]  # by role


async def measure_run(topology: Topology) -> Measurement:
    """Measure all processes of a run.

    Raises:
        NoReplyError: a process does not answer.
        RequestRefusedError: a process refuses the request.
        ProcessEndedError: a process has ended.
    """
    topology.check_processes()
    statuses, snapshots = await asyncio.gather(
        topology.statuses(), topology.call_each("/snapshot", Empty(), Snapshot)
    )
    direct_roles, all_roles = topology.roles_by_address()
    hollow_traffic = [snapshot.connections for snapshot in snapshots]
    warnings = sum((Counter(snapshot.said) for snapshot in snapshots), Counter[str]())
    processes_by_role = topology.processes_by_role()
    costs = {role: role_processes.cost() for role, role_processes in processes_by_role.items()} | {
        RUN: process_usage(os.getpid())
    }
    own_process_traffic = read_own_traffic()
    main_traffic = own_process_traffic.get(str(topology.main.address), TrafficCounts())
    real_traffic = [real.read_traffic() for real in topology.real_sidecars]
    proxied_roles = {address: role for address, role in all_roles.items() if address not in direct_roles}
    relayed_traffic = [*real_traffic, sum_by_role(hollow_traffic, proxied_roles)]
    feed_traffic = TrafficCounts({"feed": main_traffic.calls.get("feed", 0)}, *topology.feed_bytes())
    return Measurement(
        at_s=time.monotonic(),
        costs=costs,
        services=sum_by_role([*hollow_traffic, own_process_traffic], direct_roles),
        hollow=sum_by_role(hollow_traffic, all_roles),
        real=sum_by_role(real_traffic, {name: name for name in all_roles.values()}),
        feed=feed_traffic,
        own=_own_traffic(
            main_traffic, [feed_traffic, *(traffic[MAIN] for traffic in relayed_traffic if MAIN in traffic)]
        ),
        statuses=statuses,
        registered=sum(snapshot.held for snapshot in snapshots),
        warnings=dict(warnings),
        late_ms=max(
            (snapshot.late_ms[LATE_P99_INDEX] for snapshot in snapshots if snapshot.late_ms), default=0.0
        ),
        pids={
            role: tuple(process.pid for process in role_processes.processes)
            for role, role_processes in processes_by_role.items()
        }
        | {RUN: (os.getpid(),)},
    )


def _own_traffic(main_traffic: TrafficCounts, relayed_traffic: list[TrafficCounts]) -> TrafficCounts:
    """Return the traffic of this process with the main service, without that relayed for other processes."""
    relayed = sum_counts(relayed_traffic)
    calls = {
        kind: max(0, count - relayed.calls.get(kind, 0))
        for kind, count in main_traffic.calls.items()
        if kind in WRITES
    }
    return TrafficCounts(
        calls,
        max(0, main_traffic.bytes_out - relayed.bytes_out),
        max(0, main_traffic.bytes_in - relayed.bytes_in),
    )


def _traffic_since(
    after: dict[str, TrafficCounts], before: dict[str, TrafficCounts]
) -> dict[str, TrafficCounts]:
    return {
        role: counts_between(traffic, before.get(role, TrafficCounts())) for role, traffic in after.items()
    }


def _sidecar_role(
    before: Measurement,
    after: Measurement,
    role: str,
    traffic_by_service: dict[str, TrafficCounts],
    records: int,
) -> Role:
    """Build the role of the hollow or real sidecars from their traffic with each service."""
    total = sum_counts(list(traffic_by_service.values()))
    built = _build_role(before, after, role, total, records, False, total.open)
    main_traffic = traffic_by_service.get(MAIN, TrafficCounts())
    main_bytes = main_traffic.bytes_in + main_traffic.bytes_out
    return structs.replace(
        built, main_bytes=main_bytes, follower_bytes=total.bytes_in + total.bytes_out - main_bytes
    )


def _build_role(
    before: Measurement,
    after: Measurement,
    role: str,
    traffic: TrafficCounts,
    records: int,
    serves: bool,
    connections: int,
) -> Role:
    cpu_s, memory_mb = after.costs[role]
    if before.pids.get(role) == after.pids[role]:  # otherwise it was restarted in between
        cpu_s = max(0.0, cpu_s - before.costs[role][0])
    calls_by_kind = {kind: count for kind, count in traffic.calls.items() if kind != "status"}
    bytes_in, bytes_out = (
        (traffic.bytes_out, traffic.bytes_in) if serves else (traffic.bytes_in, traffic.bytes_out)
    )
    return Role(
        processes=len(after.pids[role]),
        cpu_s=round(cpu_s, 6),
        memory_mb=round(memory_mb, 1),
        calls=sum(calls_by_kind.values()),
        bytes_in=bytes_in,
        bytes_out=bytes_out,
        connections=connections,
        records=records,
        answers=calls_by_kind.get("list", 0),
        entries=traffic.entries,
        renewals=calls_by_kind.get("renew", 0),
        peak_per_100ms=peak_calls(traffic.buckets),
    )


def build_phase(name: str, before: Measurement, after: Measurement) -> Phase:
    """Build a phase from the measurements at its start and end."""
    services = _traffic_since(after.services, before.services)
    roles = {}
    for role, status in after.statuses.items():
        traffic = services.get(role, TrafficCounts())
        roles[role] = _build_role(before, after, role, traffic, status.records, True, status.callers)
    hollow_traffic, real_traffic = (
        _traffic_since(after.hollow, before.hollow),
        _traffic_since(after.real, before.real),
    )
    roles[HOLLOW] = _sidecar_role(before, after, HOLLOW, hollow_traffic, after.registered)
    if REAL in after.costs:
        roles[REAL] = _sidecar_role(before, after, REAL, real_traffic, len(after.pids[REAL]))
    roles[RUN] = _build_role(before, after, RUN, counts_between(after.own, before.own), 0, False, 0)
    main_traffic = services.get(MAIN, TrafficCounts())
    follower_traffic = [traffic for role, traffic in services.items() if role != MAIN]
    feed = counts_between(after.feed, before.feed)
    return Phase(
        name=name,
        seconds=round(after.at_s - before.at_s, 3),
        changes=after.statuses[MAIN].version - before.statuses[MAIN].version,
        writes=sum(main_traffic.calls.get(kind, 0) for kind in WRITES),
        renewals=main_traffic.calls.get("renew", 0),
        watch_answers=sum(traffic.calls.get("list", 0) for traffic in follower_traffic),
        entries_told=sum(traffic.entries for traffic in follower_traffic),
        feed_answers=feed.calls.get("feed", 0),
        feed_bytes=feed.bytes_in + feed.bytes_out,
        roles=roles,
        late_ms=after.late_ms,
    )
