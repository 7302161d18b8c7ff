"""Plans a scale run and checks that it fits the machine. Pure: the machine's capacity is a parameter."""

from __future__ import annotations

import random
from typing import NamedTuple

from msgspec import Struct, structs

from eiderhub.capacity.fleet import Fleet

MAX_PROCESSES = 300
MAX_HOLLOW_PROCESSES = 8
SIDECARS_PER_PROCESS = 150  # fewer processes where there are fewer sidecars
SIDECARS_PER_FOLLOWER = 30  # mean number at least; fewer followers where there are fewer sidecars
MAX_MEMORY_SHARE = 0.5  # of the machine's memory
BASE_DESCRIPTORS = 200  # of a process, in addition to those that grow with the number of sidecars
DESCRIPTORS_PER_RELAYED_CONNECTION = 2  # in the run's own process, for one connection through a proxy
# Connections through its proxies, and those of the callers to the sidecar and to its endpoint.
CONNECTIONS_PER_REAL_SIDECAR = 8
RESERVED_PORTS = 2000  # of the system's ephemeral ports, left to other programs
CHANGES_PER_S = 10.0

# Memory estimates in KB for 2,000 to 19,000 sidecars, rounded up. Used only to refuse runs that do not fit.
KB_PER_PROCESS = 45 * 1024  # a process of the run, before it holds any data
KB_PER_RECORD = 3.0  # at the main service and at each follower
KB_PER_CONNECTION = 4.0  # at a service
KB_PER_HOLLOW_SIDECAR = 20.0  # with an empty list
KB_PER_LIST_ENTRY = 1.3  # in the list of a hollow sidecar
KB_PER_REAL_SIDECAR = 50 * 1024  # including its endpoint


class RunTooLargeError(ValueError):
    """The run does not fit the machine. The message is one line that names a size that would fit."""


class MachineCapacity(NamedTuple):
    """Resources of the machine."""

    memory_mb: float
    descriptors: int  # limit of file descriptors per process
    ports: int  # ephemeral ports for connections to one address


class RunRequest(NamedTuple):
    """Requested size and settings of a run."""

    hollow: int  # number of hollow sidecars
    real: int = 0  # number of real sidecars
    seed: int = 1
    lease_s: float | None = None  # instead of the fleet's
    followers: int | None = None  # instead of one for each region


class SidecarSpec(Struct, frozen=True):
    """Specification of one sidecar: the record that it registers and the list that it follows."""

    id: str
    service: str  # service that its endpoint belongs to
    zone: str
    region: str
    follows: str  # service whose list it follows
    rank: int  # among the sidecars that follow the same list
    balancers: int  # number of sidecars that follow the same list
    real: bool = False


class Plan(Struct, frozen=True, kw_only=True):
    """Complete plan of a run."""

    seats: list[SidecarSpec]  # all sidecars, hollow and real
    sizes: dict[str, int]  # endpoints by service, the largest first
    regions: dict[str, list[str]]  # zones by region
    followers: list[str]  # regions that have a follower of their own
    processes: int  # number of processes that run the hollow sidecars
    lease_ms: int
    wait_s: float
    calls_per_s: float
    changes_per_s: float = CHANGES_PER_S

    @property
    def hollow(self) -> list[SidecarSpec]:
        """The hollow sidecars."""
        return [spec for spec in self.seats if not spec.real]

    @property
    def real(self) -> list[SidecarSpec]:
        """The real sidecars."""
        return [spec for spec in self.seats if spec.real]

    def followers_of(self, region: str) -> list[str]:
        """Return the followers that sidecars of a region use: their own, then the next one."""
        near = list(self.regions).index(region) % len(self.followers)
        second = (near + 1) % len(self.followers)
        return [self.followers[i] for i in dict.fromkeys((near, second))]

    @property
    def entries(self) -> int:
        """Total number of endpoints in the lists of all hollow sidecars."""
        return sum(self.sizes[spec.follows] for spec in self.hollow)

    def most_watched(self) -> int:
        """Return the largest number of sidecars that follow one list."""
        counts: dict[str, int] = {}
        for spec in self.seats:
            counts[spec.follows] = counts.get(spec.follows, 0) + 1
        return max(counts.values())


def scale_down(fleet: Fleet, sidecars: int, followers: int) -> Fleet:
    """Return a smaller fleet with `sidecars` endpoints that each follow one list.

    The number of services shrinks in proportion, so that their sizes change little; rows keep their shares.
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


def make_plan(fleet: Fleet, request: RunRequest) -> Plan:
    """Assign all sidecars to services, zones and lists, at random from the seed.

    Raises:
        RunTooLargeError: no run of the requested size is possible.
    """
    sidecars = request.hollow + request.real
    min_hollow = len(fleet.sizes)
    if request.hollow < min_hollow:
        raise RunTooLargeError(
            f"--hollow {request.hollow}: at least {min_hollow}, one for each of the fleet's sizes"
        )
    if request.real < 0:
        raise RunTooLargeError(f"--real {request.real}: at least 0")
    if request.followers is not None and request.followers > len(fleet.regions):
        raise RunTooLargeError(
            f"--followers {request.followers}: at most {len(fleet.regions)}, one for each region"
        )
    regions = max(1, min(len(fleet.regions), sidecars // SIDECARS_PER_FOLLOWER))
    return assign_sidecars(scale_down(fleet, sidecars, max(regions, request.followers or 0)), request)


def assign_sidecars(fleet: Fleet, request: RunRequest) -> Plan:
    """Like `make_plan`, for a fleet with as many endpoints as sidecars, each of which follows one list."""
    hollow, real, seed = request.hollow, request.real, request.seed
    rng = random.Random(seed)
    sizes, caller_counts = fleet.service_sizes(), fleet.caller_counts()
    names = [f"s{number}" for number in range(len(sizes))]
    # Round robin over the regions: the first zone of each region, then the second ones.
    zones = [zone for column in _transpose(list(fleet.regions.values())) for zone in column]
    own_services = [name for name, size in zip(names, sizes, strict=True) for _ in range(size)]
    followed_services = [name for name, count in zip(names, caller_counts, strict=True) for _ in range(count)]
    rng.shuffle(followed_services)
    # Real sidecars follow the largest lists: they have most work there, so the latency that they add shows.
    by_list_size = sorted(
        range(len(own_services)), key=lambda index: -sizes[int(followed_services[index][1:])]
    )
    real_indexes = set(by_list_size[:real])
    callers_by_service = dict(zip(names, caller_counts, strict=True))
    ranks: dict[str, int] = {}
    specs = []
    for index, (service, follows) in enumerate(zip(own_services, followed_services, strict=True)):
        rank = ranks[follows] = ranks.get(follows, -1) + 1
        zone = zones[index % len(zones)]
        specs.append(
            SidecarSpec(
                f"e{index}",
                service,
                zone,
                fleet.region_by_zone[zone],
                follows,
                rank,
                callers_by_service[follows],
                index in real_indexes,
            )
        )
    if real:
        assert sum(spec.real for spec in specs) == real
    return Plan(
        seats=specs,
        sizes=dict(zip(names, sizes, strict=True)),
        regions=fleet.regions,
        followers=list(fleet.regions)[: request.followers],
        processes=min(MAX_HOLLOW_PROCESSES, -(-hollow // SIDECARS_PER_PROCESS)),
        lease_ms=round(1000 * (fleet.follow.lease_s if request.lease_s is None else request.lease_s)),
        wait_s=fleet.follow.watch_wait_s,
        calls_per_s=fleet.follow.calls_per_s,
    )


def _transpose(rows: list[list[str]]) -> list[list[str]]:
    longest = max(map(len, rows))
    return [[row[i] for row in rows if i < len(row)] for i in range(longest)]


def memory_mb(plan: Plan) -> float:
    """Estimate the resident memory of all processes of a run."""
    sidecars = len(plan.seats)
    services_kb = (1 + len(plan.followers)) * (
        KB_PER_PROCESS + sidecars * KB_PER_RECORD
    ) + 2 * sidecars * KB_PER_CONNECTION
    hollow_kb = (
        plan.processes * KB_PER_PROCESS
        + len(plan.hollow) * KB_PER_HOLLOW_SIDECAR
        + plan.entries * KB_PER_LIST_ENTRY
    )
    return (KB_PER_PROCESS + services_kb + hollow_kb + len(plan.real) * KB_PER_REAL_SIDECAR) / 1024


def find_excess(plan: Plan, capacity: MachineCapacity, cut: bool) -> str:
    """Return why the run does not fit the machine, or an empty text.

    `cut`: one region's connections go through proxies of the run's own process.
    """
    sidecars, hollow, real = len(plan.seats), len(plan.hollow), len(plan.real)
    processes = 3 + len(plan.followers) + plan.processes + real
    if processes > MAX_PROCESSES:
        return f"{processes} processes; at most {MAX_PROCESSES} are started"
    needed_mb, available_mb = memory_mb(plan), capacity.memory_mb * MAX_MEMORY_SHARE
    if needed_mb > available_mb:
        return f"about {needed_mb:.0f} MB of memory; {available_mb:.0f} MB are half of this machine's"
    largest_region = max(sum(spec.region == name for spec in plan.seats) for name in plan.regions)
    # To the main service and to a follower, and temporarily to a second follower.
    connections_each = 2 + (len(plan.followers) > 1)
    connections_by_process = {
        "the main list service": sidecars,
        # Those of its own region, and those of another follower that is down.
        "a follower": 2 * largest_region,
        "a process of hollow sidecars": connections_each * -(-hollow // plan.processes),
        "the run itself": DESCRIPTORS_PER_RELAYED_CONNECTION * CONNECTIONS_PER_REAL_SIDECAR * real
        + (4 * largest_region if cut else 0),
    }
    for process, count in connections_by_process.items():
        if count + BASE_DESCRIPTORS > capacity.descriptors:
            return _describe_descriptors(count + BASE_DESCRIPTORS, process, capacity)
    if sidecars + RESERVED_PORTS > capacity.ports:
        ports = capacity.ports - RESERVED_PORTS
        return f"{sidecars} connections to one address; the system has {ports} ports for them"
    return ""


def _describe_descriptors(needed: int, process: str, capacity: MachineCapacity) -> str:
    return f"{needed} descriptors in {process}; a process may have {capacity.descriptors}"


def make_admitted_plan(
    fleet: Fleet, request: RunRequest, capacity: MachineCapacity, cut: bool = False
) -> Plan:
    """Make a plan that fits the machine.

    Raises:
        RunTooLargeError: the run does not fit; the message names the largest size that would.
    """
    min_hollow = len(fleet.sizes)
    max_hollow = max(min_hollow, capacity.descriptors)  # the main service has a connection with each sidecar
    candidate = make_plan(fleet, request._replace(hollow=min(request.hollow, max_hollow)))
    if cut and len(candidate.followers) < 2:
        raise RunTooLargeError("--fault region-cut requires two followers; --hollow 60 has them")
    excess = find_excess(candidate, capacity, cut)
    if not excess:
        return candidate
    if request.hollow > max_hollow:
        needed = request.hollow + request.real + BASE_DESCRIPTORS
        excess = _describe_descriptors(needed, "the main list service", capacity)
    # Bisection: the largest size that is known to fit, and the smallest that does not.
    low, high = min_hollow - 1, len(candidate.hollow)
    while high - low > 1:
        middle = (low + high) // 2
        if find_excess(make_plan(fleet, request._replace(hollow=middle)), capacity, cut):
            high = middle
        else:
            low = middle
    if low < min_hollow:
        raise RunTooLargeError(f"--real {request.real}: requires {excess}; use fewer real sidecars")
    raise RunTooLargeError(f"--hollow {request.hollow}: requires {excess}; --hollow {low} fits")
