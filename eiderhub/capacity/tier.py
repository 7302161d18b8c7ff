"""What the serving tier needs at a stated size: by role its state, messages, processor time and memory.

Pure arithmetic: the fleet as `deploy/tier-fleet.toml` states it, times slopes that scale runs have measured.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

from eiderhub.capacity.table import amount, number, table

DAY_S = 86_400.0
MINUTE_S = 60.0
ITEM_INDEX_MB = 400e-6  # assumed: memory of one item in the owner's index
Amount = Annotated[float, Meta(gt=0, le=1e15)]


class TierBudget(Struct, frozen=True, kw_only=True):
    """What may be used."""

    control_share: Amount
    control_mb: Amount
    control_bytes_per_s: Amount
    in_force_s: Amount
    core: Amount
    machine_mb: Amount
    link_bytes_per_s: Amount
    syncs_per_s: Amount


class TierFleet(Struct, frozen=True, kw_only=True):
    """`deploy/tier-fleet.toml`."""

    sidecars: Amount
    endpoints: Amount
    accelerators: Amount
    requests_per_s: Amount
    tokens_out_per_s: Amount
    items_per_day: Amount
    lots_per_day: Amount
    largest_lot: Amount
    tenants: Amount
    models: Amount
    regions: Amount
    zones: Amount
    changes_per_day: Amount
    machines_failed_per_day: Amount
    machines_restarted_per_day: Amount
    control_machines: Amount
    routes_per_tenant: Amount
    bytes_per_route: Amount
    bytes_per_endpoint: Amount
    bytes_per_node: Amount
    peak_of_changes: Amount
    item_body_bytes: Amount
    item_result_bytes: Amount
    kept_s: Amount
    storage_machines: Amount
    copies: Amount
    budget: TierBudget


class TierSlopes(Struct, frozen=True, kw_only=True):
    """Measured costs; `docs/capacity/tier-slopes.json` says which run gave each."""

    session_share: float  # of a core at its control node, a session, calm
    session_bytes_per_s: float  # at its control node, a session, calm
    change_us: float  # at its control node, a change told to one session
    hollow_share: float  # of a core at the sidecar, calm
    control_fixed_mb: float
    control_session_mb: float  # a session
    edge_request_us: float  # at the sidecar, a request or item
    edge_mb: float
    storage_item_us: float  # at the primary, an item taken, run and listed
    storage_mb: float
    sources: dict[str, str] = {}


Pair = tuple[float, float]


def pair(amounts: Iterable[float]) -> Pair:
    """Two amounts: calm, and in the busiest minute."""
    calm, busiest = amounts
    return calm, busiest


class Row(NamedTuple):
    """One figure of one role."""

    role: str
    what: str
    amounts: Pair  # calm, and in the busiest minute
    unit: str
    budget: float | None
    of: str  # the budget's key
    mechanism: str  # that carries it, or would

    @property
    def holds(self) -> bool | None:
        return None if self.budget is None else max(self.amounts) <= self.budget


class _Load(NamedTuple):
    """Rates and sizes that follow from the fleet alone; rates of a second, calm and in the busiest minute.

    In the busiest minute changes of configuration are at their peak, a zone is lost with all its endpoints
    and sidecars, half of the control machines are away, and the largest lot is handed in over a quarter of
    an hour.
    """

    changes: tuple[float, float]  # of any table
    told_bytes: tuple[float, float]  # to one session, by changes
    tables_mb: float
    sessions: tuple[float, float]  # at one control node
    items: tuple[float, float]
    item_bytes: float
    requests: float  # at one sidecar


def _load(fleet: TierFleet) -> _Load:
    changes = fleet.changes_per_day / DAY_S
    peak = changes * fleet.peak_of_changes
    starts = fleet.machines_restarted_per_day / DAY_S
    gone = fleet.endpoints / fleet.zones / MINUTE_S
    table = fleet.control_machines * 3 * fleet.bytes_per_node
    looks = 1.0  # the session table is looked at and sent once a second at most while a zone goes
    told = changes * fleet.bytes_per_route + starts * (fleet.bytes_per_endpoint + table)
    told_busiest = peak * fleet.bytes_per_route + gone * fleet.bytes_per_endpoint + looks * table
    whole = fleet.tenants * fleet.routes_per_tenant * fleet.bytes_per_route
    whole += fleet.endpoints * fleet.bytes_per_endpoint + table
    return _Load(
        changes=(changes + 2 * starts, peak + gone + looks),
        told_bytes=(told, told_busiest),
        tables_mb=3 * whole / 1e6,
        sessions=(fleet.sidecars / fleet.control_machines, 2 * fleet.sidecars / fleet.control_machines),
        items=(fleet.items_per_day / DAY_S, fleet.largest_lot / (15 * MINUTE_S)),
        item_bytes=fleet.item_body_bytes * 4 / 3 + fleet.item_result_bytes,
        requests=fleet.requests_per_s / fleet.sidecars,
    )


def _edge(fleet: TierFleet, slopes: TierSlopes, load: _Load) -> list[Row]:
    budget = fleet.budget
    role = "edge sidecar"
    share = [slopes.hollow_share + c * slopes.change_us / 1e6 for c in load.changes]
    told = [slopes.session_bytes_per_s + t for t in load.told_bytes]
    busy = load.requests * slopes.edge_request_us / 1e6
    return [
        Row(
            role,
            "control: processor",
            pair(share),
            "cores",
            budget.control_share,
            "control_share",
            "one session; changes in place of tables",
        ),
        Row(
            role,
            "control: bytes",
            pair(told),
            "bytes/s",
            budget.control_bytes_per_s,
            "control_bytes_per_s",
            "the same; sidecars are told as a number",
        ),
        Row(
            role,
            "control: state",
            (load.tables_mb, load.tables_mb),
            "MB",
            budget.control_mb,
            "control_mb",
            "whole tables; by what a sidecar serves, beyond",
        ),
        Row(
            role,
            "requests: processor",
            (busy / 2, busy),
            "cores",
            budget.core,
            "core",
            "one event loop; more sidecars, beyond",
        ),
        Row(
            role,
            "memory",
            (slopes.edge_mb + load.tables_mb, slopes.edge_mb + load.tables_mb),
            "MB",
            budget.control_mb,
            "control_mb",
            "the whole process",
        ),
    ]


def _control(fleet: TierFleet, slopes: TierSlopes, load: _Load) -> list[Row]:
    budget = fleet.budget
    each = zip(load.sessions, load.changes, load.told_bytes, strict=True)
    figures = [
        (s * (slopes.session_share + c * slopes.change_us / 1e6), s * (slopes.session_bytes_per_s + t))
        for s, c, t in each
    ]
    processor, wire = zip(*figures, strict=True)
    memory = [slopes.control_fixed_mb + load.tables_mb + s * slopes.control_session_mb for s in load.sessions]
    others = fleet.control_machines - 1
    listing = fleet.endpoints * fleet.bytes_per_endpoint
    return [
        Row(
            "control node",
            "processor",
            pair(processor),
            "cores",
            budget.core,
            "core",
            "sessions spread over nodes",
        ),
        Row(
            "control node",
            "bytes",
            pair(wire),
            "bytes/s",
            budget.link_bytes_per_s,
            "link_bytes_per_s",
            "the same",
        ),
        Row("control node", "memory", pair(memory), "MB", budget.machine_mb, "machine_mb", "the same"),
        Row(
            "control primary",
            "commits",
            load.changes,
            "/s",
            budget.syncs_per_s,
            "syncs_per_s",
            "what comes within 3 ms is one commit",
        ),
        Row(
            "control primary",
            "bytes to nodes",
            pair(others * t for t in load.told_bytes),
            "bytes/s",
            budget.link_bytes_per_s,
            "link_bytes_per_s",
            "a session each; a tree by region, beyond",
        ),
        Row(
            "control backup",
            "members of the group",
            (fleet.control_machines, fleet.control_machines),
            "",
            5.0,
            "five copies",
            "a bound on the group, as storage has it; the others relay",
        ),
        Row(
            "witness",
            "epochs granted",
            (1 / DAY_S, 1.0),
            "/s",
            budget.syncs_per_s,
            "syncs_per_s",
            "part of each replica",
        ),
        Row(
            "list reader",
            "bytes",
            (listing, listing),
            "bytes/s",
            budget.link_bytes_per_s,
            "link_bytes_per_s",
            "the whole list each second; zones in turn, beyond",
        ),
    ]


def _storage(fleet: TierFleet, slopes: TierSlopes, load: _Load) -> list[Row]:
    budget = fleet.budget
    spread = fleet.copies / fleet.storage_machines
    processor = [i * slopes.storage_item_us / 1e6 for i in load.items]
    kept = load.items[0] * fleet.kept_s * load.item_bytes / 1e6 * spread
    written = [i * load.item_bytes * spread for i in load.items]
    index = [slopes.storage_mb + ITEM_INDEX_MB * i * fleet.kept_s * spread for i in load.items]
    return [
        Row(
            "batch owner",
            "processor",
            pair(processor),
            "cores",
            budget.core,
            "core",
            "one group today; groups by hash of a job's id, quota leased",
        ),
        Row(
            "batch owner",
            "commits",
            pair(min(2 * i, budget.syncs_per_s) for i in load.items),
            "/s",
            budget.syncs_per_s,
            "syncs_per_s",
            "what comes within 3 ms is one commit",
        ),
        Row(
            "batch owner",
            "largest lot",
            (fleet.largest_lot, fleet.largest_lot),
            "items",
            200.0,
            "of one job",
            "a lot's manifest over jobs of 200 items, their owners by hash",
        ),
        Row(
            "storage replica",
            "state on disk",
            (kept, kept),
            "MB",
            None,
            "",
            "spread over groups; finished jobs are purged",
        ),
        Row(
            "storage replica",
            "memory",
            pair(index),
            "MB",
            budget.machine_mb,
            "machine_mb",
            "an index of the jobs kept; bodies stay on disk",
        ),
        Row(
            "storage replica",
            "bytes written",
            pair(written),
            "bytes/s",
            budget.link_bytes_per_s,
            "link_bytes_per_s",
            "copies in three zones, spread over groups",
        ),
    ]


def rows(fleet: TierFleet, slopes: TierSlopes) -> list[Row]:
    """Every figure, by role."""
    load = _load(fleet)
    return [*_edge(fleet, slopes, load), *_control(fleet, slopes, load), *_storage(fleet, slopes, load)]


def page(fleet: TierFleet, slopes: TierSlopes) -> str:
    """The tables of docs/CAPACITY.md for the tier, as Markdown."""
    found = rows(fleet, slopes)
    head = (
        f"{number(fleet.sidecars)} sidecars, {number(fleet.endpoints)} endpoints, "
        f"{number(fleet.requests_per_s)} requests/s, {number(fleet.items_per_day)} batch items a day\n\n"
    )
    lines: list[Sequence[str]] = []
    for row in found:
        allowed = "-" if row.budget is None else f"{amount(row.budget, row.unit)} ({row.of})"
        held = {None: "-", True: "holds", False: f"breaks: {number(_excess(row))} times"}[row.holds]
        calm, busiest = (amount(each, row.unit) for each in row.amounts)
        lines.append((row.role, row.what, calm, busiest, allowed, held, row.mechanism))
    columns = ("role", "figure", "calm", "busiest minute", "budget", "", "what carries it, or would")
    return head + table(columns, lines, right=(2, 3)) + "\n"


def _excess(row: Row) -> float:
    return 0.0 if row.budget is None else max(row.amounts) / row.budget
