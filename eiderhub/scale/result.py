"""Result of a scale run: the structs of its JSON file. Counts cover one phase each."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

Count = Annotated[int, Meta(ge=0)]
Amount = Annotated[float, Meta(ge=0)]
# Names of roles; that of a follower is FOLLOWER-REGION.
HOLLOW, REAL, MAIN, FOLLOWER, RUN = ("hollow", "real", "main", "follower", "run")


class Role(Struct, frozen=True, kw_only=True):
    """Processes of one role: `main`, `follower-REGION`, `hollow`, `real`, or `run` (the run's own process).

    For a service, `bytes_in` are its requests and `bytes_out` its responses; for sidecars, `bytes_out` are
    their requests and `bytes_in` the responses. Bytes are counted at the HTTP level, without TCP headers.
    """

    processes: Count
    cpu_s: Amount  # user and system time, sum of all processes
    memory_mb: Amount  # resident at the end of the phase, sum of all processes
    calls: Count = 0
    bytes_in: Count = 0
    bytes_out: Count = 0
    connections: Count = 0  # open at the end of the phase
    records: Count = 0  # at the end of the phase: held by a service, or renewed by sidecars
    answers: Count = 0  # responses to watches and list requests, sent by a service or received by sidecars
    entries: Count = 0  # endpoints in these responses
    renewals: Count = 0  # received by the main service, or sent by sidecars
    main_bytes: Count = 0  # of sidecars: in both directions, with the main service
    follower_bytes: Count = 0  # of sidecars: in both directions, with followers
    peak_per_100ms: Count = 0  # maximum number of calls within 100 ms


class Phase(Struct, frozen=True, kw_only=True):
    """One part of a run."""

    name: str  # fill, calm, changes, or the name of the fault
    seconds: Amount
    changes: Count  # new versions of the main service
    writes: Count  # calls that put, drained or removed a record
    renewals: Count
    watch_answers: Count  # by all followers, with or without entries
    entries_told: Count  # endpoints in these answers
    feed_answers: Count  # received by followers from the main service
    feed_bytes: Count  # of these answers and their requests
    roles: dict[str, Role]  # by name of the role
    in_force_ms: dict[str, Amount] = {}  # p50, p99, last: from acknowledgement until in a sidecar's decisions
    in_force_pairs: Count = 0  # number of pairs of a change and a sidecar in `in_force_ms`
    late_ms: Amount = 0.0  # lateness of hollow processes' timers: 99th percentile of the worst process


class Fault(Struct, frozen=True, kw_only=True):
    """Effects of a fault."""

    name: str
    touched: Count  # sidecars whose process ended, or that were disconnected
    writes_tried: Count
    writes_failed: Count  # without an answer, or refused
    renewals_failed: Count  # registration attempts without an answer
    lost_wrongly: Count  # records that the service dropped although their sidecar was alive
    agree_s: Amount  # from the end of the fault until the last list update of any sidecar
    agreed: bool  # all sidecars had the main service's lists within the time limit
    peak_per_100ms: dict[str, Count]  # by role: maximum of calls within 100 ms after the end of the fault
    back_s: Amount = 0.0  # after a follower was killed: from its restart until its sidecars use it again
    least_records: Count  # smallest number of records seen at the main service
    notes: list[str] = []


class Added(Struct, frozen=True, kw_only=True):
    """Latency that real sidecars add to a call, compared with direct calls, during the changes phase."""

    calls_per_s: Amount  # of either kind, in total over the called sidecars
    calls: Count  # through sidecars
    unserved: Count  # of the calls through sidecars
    direct_unserved: Count  # of the same number of direct calls
    through_ms: dict[str, Amount]  # p50, p99
    direct_ms: dict[str, Amount]  # p50, p99
    added_ms: dict[str, float]  # p50, p99: `through_ms` less `direct_ms`
    late_p99_ms: Amount  # lateness of the callers' own timers


class Machine(Struct, frozen=True, kw_only=True):
    """Machine of the run."""

    cores: Count
    memory_mb: Count
    python: str
    system: str


class Settings(Struct, frozen=True, kw_only=True):
    """Requested settings of the run, and figures of its plan."""

    fleet: str
    hollow: Count
    real: Count
    seconds: Amount
    fault: str
    fault_s: Amount
    services: Count
    followers: Count
    hollow_processes: Count
    lease_ms: Count
    wait_s: Amount  # of a watch
    changes_per_s: Amount
    mean_list: Amount  # mean number of endpoints in the list that a sidecar follows
    largest_service: Count  # endpoints of the largest service
    most_watched: Count  # sidecars that follow the most watched list


class Result(Struct, frozen=True, kw_only=True):
    """Result of a scale run."""

    revision: str  # of the program, with `+` if files were modified
    machine: Machine
    settings: Settings
    seed: Count
    watchers: Count  # hollow and real sidecars
    records: Count  # at the main service at the end
    fill_s: Amount  # until all sidecars were registered and had their list
    late_ms: Amount  # of the worst phase, without the fill, in which everything starts at once
    phases: list[Phase]
    agreed: bool  # at the end all sidecars had the main service's lists
    fault: Fault | None = None
    added: Added | None = None
    odd: dict[str, Count] = {}  # number of sidecars' warnings, by text
    in_doubt: list[str] = []  # reasons why the figures are in doubt

    def phase(self, name: str) -> Phase:
        """Return the phase of this name. Raises KeyError if there is none."""
        for phase in self.phases:
            if phase.name == name:
                return phase
        raise KeyError(name)


def read(path: Path) -> Result:
    """Read a result from its file.

    Raises:
        OSError: the file can't be read.
        msgspec.DecodeError: the file is not a valid result.
    """
    return msgspec.json.decode(path.read_bytes(), type=Result)
