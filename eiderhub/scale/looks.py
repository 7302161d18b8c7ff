"""What all processes of a run have said and cost up to a moment; two of these make a phase."""

from __future__ import annotations

import asyncio
import os
import time
from collections import Counter
from dataclasses import dataclass

from msgspec import structs

from eiderhub.registry import api
from eiderhub.scale.counts import WRITES, Told, cost, peak, since, together
from eiderhub.scale.hollow import Nothing, Snapshot
from eiderhub.scale.result import HOLLOW, MAIN, REAL, RUN, Phase, Role
from eiderhub.scale.topology import Topology, ours, sum_by_role

LATE_P99 = 1  # its place in `Snapshot.late_ms`


@dataclass(frozen=True, slots=True)
class Look:
    """One moment. Counts are since the run's start, but for buckets and lateness: since the look before."""

    at_s: float
    costs: dict[str, tuple[float, float]]  # by role: seconds of processor time, MB
    services: dict[str, Told]  # by role: what reached it and what it answered
    hollow: dict[str, Told]  # what hollow sidecars have said, by the service's role
    real: dict[str, Told]
    feed: Told  # what followers have said to the main one
    run: Told  # what this run itself has
    statuses: dict[str, api.StatusResponse]
    held: int
    said: dict[str, int]
    late_ms: float
    pids: dict[str, tuple[int, ...]]  # by role


async def look(topology: Topology) -> Look:
    """Raises NoReplyError, Refused or Ended."""
    topology.check()
    statuses, snapshots = await asyncio.gather(
        topology.statuses(), topology.each("/snapshot", Nothing(), Snapshot)
    )
    direct, any_way = topology.roles()
    hollow = [snapshot.connections for snapshot in snapshots]
    said = sum((Counter(snapshot.said) for snapshot in snapshots), Counter[str]())
    placed = topology.placed()
    costs = {role: each.cost() for role, each in placed.items()} | {RUN: cost(os.getpid())}
    here = ours()
    main = here.get(str(topology.main.address), Told())
    reals = [real.told() for real in topology.reals]
    over_wires = {address: role for address, role in any_way.items() if address not in direct}
    passed_on = [*reals, sum_by_role(hollow, over_wires)]
    fed = Told({"feed": main.calls.get("feed", 0)}, *topology.fed())
    return Look(
        at_s=time.monotonic(),
        costs=costs,
        services=sum_by_role([*hollow, here], direct),
        hollow=sum_by_role(hollow, any_way),
        real=sum_by_role(reals, {name: name for name in any_way.values()}),
        feed=fed,
        run=_own(main, [fed, *(one[MAIN] for one in passed_on if MAIN in one)]),
        statuses=statuses,
        held=sum(snapshot.held for snapshot in snapshots),
        said=dict(said),
        late_ms=max((s.late_ms[LATE_P99] for s in snapshots if s.late_ms), default=0.0),
        pids={role: tuple(p.pid for p in each.processes) for role, each in placed.items()}
        | {RUN: (os.getpid(),)},
    )


def _own(main: Told, passed_on: list[Told]) -> Told:
    """What goes from this process to the main service, less what it passes on for others."""
    others = together(passed_on)
    calls = {k: max(0, count - others.calls.get(k, 0)) for k, count in main.calls.items() if k in WRITES}
    return Told(calls, max(0, main.bytes_out - others.bytes_out), max(0, main.bytes_in - others.bytes_in))


def _since(after: dict[str, Told], before: dict[str, Told]) -> dict[str, Told]:
    return {role: since(told, before.get(role, Told())) for role, told in after.items()}


def _sidecars(before: Look, after: Look, role: str, told: dict[str, Told], records: int) -> Role:
    """Of hollow or real ones, from what they said to each service."""
    every = together(list(told.values()))
    found = _role(before, after, role, every, records, False, every.open)
    main = told.get(MAIN, Told())
    main_bytes = main.bytes_in + main.bytes_out
    return structs.replace(
        found, main_bytes=main_bytes, follower_bytes=every.bytes_in + every.bytes_out - main_bytes
    )


def _role(
    before: Look, after: Look, role: str, told: Told, records: int, serves: bool, connections: int
) -> Role:
    cpu_s, memory_mb = after.costs[role]
    if before.pids.get(role) == after.pids[role]:  # else it was started anew meanwhile
        cpu_s = max(0.0, cpu_s - before.costs[role][0])
    kinds = {kind: count for kind, count in told.calls.items() if kind != "status"}
    into, out = (told.bytes_out, told.bytes_in) if serves else (told.bytes_in, told.bytes_out)
    return Role(
        processes=len(after.pids[role]),
        cpu_s=round(cpu_s, 6),
        memory_mb=round(memory_mb, 1),
        calls=sum(kinds.values()),
        bytes_in=into,
        bytes_out=out,
        connections=connections,
        records=records,
        answers=kinds.get("list", 0),
        entries=told.entries,
        renewals=kinds.get("renew", 0),
        peak_per_100ms=peak(told.buckets),
    )


def phase(name: str, before: Look, after: Look) -> Phase:
    """What came between two looks."""
    services = _since(after.services, before.services)
    roles = {}
    for role, status in after.statuses.items():
        told = services.get(role, Told())
        roles[role] = _role(before, after, role, told, status.records, True, status.callers)
    hollow, real = _since(after.hollow, before.hollow), _since(after.real, before.real)
    roles[HOLLOW] = _sidecars(before, after, HOLLOW, hollow, after.held)
    if REAL in after.costs:
        roles[REAL] = _sidecars(before, after, REAL, real, len(after.pids[REAL]))
    roles[RUN] = _role(before, after, RUN, since(after.run, before.run), 0, False, 0)
    main = services.get(MAIN, Told())
    followers = [told for role, told in services.items() if role != MAIN]
    feed = since(after.feed, before.feed)
    return Phase(
        name=name,
        seconds=round(after.at_s - before.at_s, 3),
        changes=after.statuses[MAIN].version - before.statuses[MAIN].version,
        writes=sum(main.calls.get(kind, 0) for kind in WRITES),
        renewals=main.calls.get("renew", 0),
        watch_answers=sum(told.calls.get("list", 0) for told in followers),
        entries_told=sum(told.entries for told in followers),
        feed_answers=feed.calls.get("feed", 0),
        feed_bytes=feed.bytes_in + feed.bytes_out,
        roles=roles,
        late_ms=after.late_ms,
    )
