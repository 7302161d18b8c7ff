"""What a scale run consists of, and whether a machine can bear it. Pure: it is told what the machine has."""

from __future__ import annotations

import random
from typing import NamedTuple

from msgspec import Struct, structs

from eiderhub.capacity.fleet import Fleet

MOST_PROCESSES = 300
HOLLOW_PROCESSES = 8
SIDECARS_PER_PROCESS = 150  # fewer processes where there are fewer sidecars
SIDECARS_PER_FOLLOWER = 30  # likewise: at least so many on the mean
MEMORY_PART = 0.5  # of the machine's
OWN_DESCRIPTORS = 200  # of a process besides those that go by sidecars
REAL_DESCRIPTORS = 2  # of our own, for one connection over a wire
REAL_CONNECTIONS = 8  # of a real one: over its wires, and the callers' to it and to its endpoint
SPARE_PORTS = 2000  # of those that the system gives out: others use them as well
CHANGES_PER_S = 10.0

# Memory in KB, from trials with 2,000 and 19,000 sidecars, rounded up. It decides what is refused, no more.
BASE_KB = 45 * 1024  # a process of ours with nothing in it
RECORD_KB = 3.0  # at the main service and at each follower
CONNECTION_KB = 4.0  # at a service
SIDECAR_KB = 20.0  # a hollow one with an empty list
ENTRY_KB = 1.3  # of its list
REAL_KB = 50 * 1024  # a real one with its endpoint


class TooLarge(ValueError):
    """The run does not fit, in one line that says what would."""


class Bears(NamedTuple):
    """What the machine has."""

    memory_mb: float
    descriptors: int  # that a process may have
    ports: int  # that the system gives to connections to one address


class Asked(NamedTuple):
    """What a run is asked for."""

    hollow: int
    real: int = 0
    seed: int = 1
    lease_s: float | None = None  # in place of the fleet's
    followers: int | None = None  # in place of one for each region


class Seat(Struct, frozen=True):
    """One sidecar's place in the fleet: whose record it keeps, and whose list it follows."""

    id: str
    service: str
    zone: str
    region: str
    follows: str
    rank: int  # among those that follow this list
    balancers: int  # how many they are
    real: bool = False


class Plan(Struct, frozen=True, kw_only=True):
    """All that a run needs to know."""

    seats: list[Seat]
    sizes: dict[str, int]  # endpoints by service, the largest first
    regions: dict[str, list[str]]  # the zones of each
    followers: list[str]  # the regions that have one of their own
    processes: int  # of hollow sidecars
    lease_ms: int
    wait_s: float
    calls_per_s: float
    changes_per_s: float = CHANGES_PER_S

    @property
    def hollow(self) -> list[Seat]:
        return [seat for seat in self.seats if not seat.real]

    @property
    def real(self) -> list[Seat]:
        return [seat for seat in self.seats if seat.real]

    def followers_of(self, region: str) -> list[str]:
        """Whom sidecars of a region ask: their own follower, then the next one."""
        near = list(self.regions).index(region) % len(self.followers)
        second = (near + 1) % len(self.followers)
        return [self.followers[i] for i in dict.fromkeys((near, second))]

    @property
    def entries(self) -> int:
        """Endpoints in the lists of all hollow sidecars together."""
        return sum(self.sizes[seat.follows] for seat in self.hollow)

    def most_watched(self) -> int:
        counts: dict[str, int] = {}
        for seat in self.seats:
            counts[seat.follows] = counts.get(seat.follows, 0) + 1
        return max(counts.values())


def smaller(fleet: Fleet, sidecars: int, followers: int) -> Fleet:
    """A fleet of so many endpoints that each follow one list, with fewer services of about the same sizes.

    Services are as many fewer as endpoints; rows keep their shares.
    """
    regions = dict(list(fleet.regions.items())[:followers])
    zones = sum(map(len, regions.values()))
    services = max(len(fleet.sizes), round(fleet.services * sidecars / fleet.endpoints))
    return structs.replace(
        fleet,
        endpoints=sidecars,
        services=min(services, sidecars),
        regions=regions,
        follow=structs.replace(fleet.follow, services=1),
        largest_zone=max(fleet.largest_zone, 1 / zones),
        year=structs.replace(fleet.year, endpoints_per_rack=min(fleet.year.endpoints_per_rack, sidecars)),
    )


def plan(fleet: Fleet, asked: Asked) -> Plan:
    """Who stands where, drawn from the seed. Raises TooLarge where there is no run of such a size."""
    sidecars = asked.hollow + asked.real
    least = len(fleet.sizes)
    if asked.hollow < least:
        raise TooLarge(f"--hollow {asked.hollow}: at least {least}, one for each of the fleet's sizes")
    if asked.real < 0:
        raise TooLarge(f"--real {asked.real}: at least 0")
    if asked.followers is not None and asked.followers > len(fleet.regions):
        raise TooLarge(f"--followers {asked.followers}: at most {len(fleet.regions)}, one for each region")
    regions = max(1, min(len(fleet.regions), sidecars // SIDECARS_PER_FOLLOWER))
    return seated(smaller(fleet, sidecars, max(regions, asked.followers or 0)), asked)


def seated(fleet: Fleet, asked: Asked) -> Plan:
    """As `plan`, for a fleet that has just so many endpoints, each of which follows one list."""
    hollow, real, seed = asked.hollow, asked.real, asked.seed
    rng = random.Random(seed)
    sizes, callers = fleet.service_sizes(), fleet.caller_counts()
    names = [f"s{number}" for number in range(len(sizes))]
    # By turns over the regions: the first zones of all regions, then the second ones.
    zones = [zone for turn in _columns(list(fleet.regions.values())) for zone in turn]
    owned = [name for name, size in zip(names, sizes, strict=True) for _ in range(size)]
    followed = [name for name, count in zip(names, callers, strict=True) for _ in range(count)]
    rng.shuffle(followed)
    # Real ones follow large lists: there is most to do, and what they add is to be seen.
    order = sorted(range(len(owned)), key=lambda i: -sizes[int(followed[i][1:])])
    chosen = set(order[:real])
    counts = dict(zip(names, callers, strict=True))
    ranks: dict[str, int] = {}
    seats = []
    for i, (service, follows) in enumerate(zip(owned, followed, strict=True)):
        rank = ranks[follows] = ranks.get(follows, -1) + 1
        zone = zones[i % len(zones)]
        seats.append(
            Seat(
                f"e{i}",
                service,
                zone,
                fleet.region_by_zone[zone],
                follows,
                rank,
                counts[follows],
                i in chosen,
            )
        )
    if real:
        assert sum(seat.real for seat in seats) == real
    return Plan(
        seats=seats,
        sizes=dict(zip(names, sizes, strict=True)),
        regions=fleet.regions,
        followers=list(fleet.regions)[: asked.followers],
        processes=min(HOLLOW_PROCESSES, -(-hollow // SIDECARS_PER_PROCESS)),
        lease_ms=round(1000 * (fleet.follow.lease_s if asked.lease_s is None else asked.lease_s)),
        wait_s=fleet.follow.watch_wait_s,
        calls_per_s=fleet.follow.calls_per_s,
    )


def _columns(rows: list[list[str]]) -> list[list[str]]:
    most = max(map(len, rows))
    return [[row[i] for row in rows if i < len(row)] for i in range(most)]


def memory_mb(plan: Plan) -> float:
    """About what all processes will have resident."""
    sidecars = len(plan.seats)
    services = (1 + len(plan.followers)) * (BASE_KB + sidecars * RECORD_KB) + 2 * sidecars * CONNECTION_KB
    hollow = plan.processes * BASE_KB + len(plan.hollow) * SIDECAR_KB + plan.entries * ENTRY_KB
    return (BASE_KB + services + hollow + len(plan.real) * REAL_KB) / 1024


def too_much(plan: Plan, bears: Bears, cut: bool) -> str:
    """Why the run does not fit, or nothing. `cut`: one region's connections go over wires of ours."""
    sidecars, hollow, real = len(plan.seats), len(plan.hollow), len(plan.real)
    processes = 3 + len(plan.followers) + plan.processes + real
    if processes > MOST_PROCESSES:
        return f"{processes} processes, where at most {MOST_PROCESSES} are started"
    needs, half = memory_mb(plan), bears.memory_mb * MEMORY_PART
    if needs > half:
        return f"about {needs:.0f} MB of memory, where {half:.0f} are half of this machine's"
    region = max(sum(seat.region == name for seat in plan.seats) for name in plan.regions)
    each = 2 + (
        len(plan.followers) > 1
    )  # to the main service and to a follower, and to another one meanwhile
    most = {
        "the main list service": sidecars,
        "a follower": 2 * region,  # its own, and those of another that is away
        "a process of hollow sidecars": each * -(-hollow // plan.processes),
        "the run itself": REAL_DESCRIPTORS * REAL_CONNECTIONS * real + (4 * region if cut else 0),
    }
    for who, count in most.items():
        if count + OWN_DESCRIPTORS > bears.descriptors:
            return _descriptors(count + OWN_DESCRIPTORS, who, bears)
    if sidecars + SPARE_PORTS > bears.ports:
        ports = bears.ports - SPARE_PORTS
        return f"{sidecars} connections to one address, where the system has {ports} ports for them"
    return ""


def _descriptors(needed: int, who: str, bears: Bears) -> str:
    return f"{needed} descriptors in {who}, where a process may have {bears.descriptors}"


def admitted(fleet: Fleet, asked: Asked, bears: Bears, cut: bool = False) -> Plan:
    """The plan, where this machine can bear it.

    Raises:
        TooLarge: it can't; in one line, with the most that would fit.
    """
    least = len(fleet.sizes)
    most = max(least, bears.descriptors)  # the main service alone has a connection with each
    made = plan(fleet, asked._replace(hollow=min(asked.hollow, most)))
    if cut and len(made.followers) < 2:
        raise TooLarge("--fault region-cut: it takes two followers; --hollow 60 has them")
    why = too_much(made, bears, cut)
    if not why:
        return made
    if asked.hollow > most:
        needed = asked.hollow + asked.real + OWN_DESCRIPTORS
        why = _descriptors(needed, "the main list service", bears)
    low, high = (
        least - 1,
        len(made.hollow),
    )  # the largest that is known to fit, and the smallest that does not
    while high - low > 1:
        middle = (low + high) // 2
        if too_much(plan(fleet, asked._replace(hollow=middle)), bears, cut):
            high = middle
        else:
            low = middle
    if low < least:
        raise TooLarge(f"--real {asked.real}: it would take {why}; take fewer real ones")
    raise TooLarge(f"--hollow {asked.hollow}: it would take {why}; --hollow {low} fits")
