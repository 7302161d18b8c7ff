"""Capacity model of the serving tier: state, messages, processor time and memory by role.

The figures are computed, without I/O, from the fleet in `deploy/tier-fleet.toml` and the slopes measured by
scale runs.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

from eiderhub.capacity.table import format_amount, format_number, markdown_table

DAY_S = 86_400.0
MINUTE_S = 60.0
ITEM_INDEX_MB = 400e-6  # memory of one item in the owner's index
Amount = Annotated[float, Meta(gt=0, le=1e15)]


class TierBudget(Struct, frozen=True, kw_only=True):
    """Limits on the use of resources."""

    control_share: Amount
    control_mb: Amount
    control_bytes_per_s: Amount
    in_force_s: Amount
    core: Amount
    machine_mb: Amount
    link_bytes_per_s: Amount
    syncs_per_s: Amount


class TierFleet(Struct, frozen=True, kw_only=True):
    """The contents of `deploy/tier-fleet.toml`."""

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
    """Measured costs; `docs/capacity/tier-slopes.json` names the run behind each value."""

    session_share: float  # share of a core per session at its control node, when calm
    session_bytes_per_s: float  # per session at its control node, when calm
    change_us: float  # at the control node, per change sent to one session
    hollow_share: float  # share of a core at a sidecar without request traffic, when calm
    control_fixed_mb: float
    control_session_mb: float  # per session
    edge_request_us: float  # at the sidecar, per request or item
    edge_mb: float
    storage_item_us: float  # at the primary, per item accepted, run and listed
    storage_mb: float
    sources: dict[str, str] = {}


CalmAndBusiest = tuple[float, float]


def calm_and_busiest(amounts: Iterable[float]) -> CalmAndBusiest:
    """Amounts when calm and in the busiest minute, from an iterable of exactly two."""
    calm, busiest = amounts
    return calm, busiest


class Row(NamedTuple):
    """One resource of one role, with its budget."""

    role: str
    what: str
    amounts: CalmAndBusiest  # when calm, and in the busiest minute
    unit: str
    budget: float | None
    of: str  # the budget's key, or what imposes the limit
    mechanism: str  # how the load is carried, or would be

    @property
    def holds(self) -> bool | None:
        return None if self.budget is None else max(self.amounts) <= self.budget


class _DerivedLoad(NamedTuple):
    """Rates and sizes derived from the fleet alone.

    Pairs hold the value when calm and in the busiest minute; rates are per second.

    In the busiest minute configuration changes are at their peak, a zone is lost with all its endpoints and
    sidecars, half of the control machines are unavailable, and the largest lot is being submitted over a
    quarter of an hour.
    """

    changes: tuple[float, float]  # to any table
    update_bytes: tuple[float, float]  # sent to one session for changes
    tables_mb: float
    sessions: tuple[float, float]  # at one control node
    items: tuple[float, float]
    item_bytes: float
    requests: float  # at one sidecar


def _derive_load(fleet: TierFleet) -> _DerivedLoad:
    changes = fleet.changes_per_day / DAY_S
    peak = changes * fleet.peak_of_changes
    restarts = fleet.machines_restarted_per_day / DAY_S
    endpoints_lost = fleet.endpoints / fleet.zones / MINUTE_S
    node_table_bytes = fleet.control_machines * 3 * fleet.bytes_per_node
    session_table_updates = 1.0  # the session table is sent at most once a second while a zone is being lost
    update_bytes = changes * fleet.bytes_per_route + restarts * (fleet.bytes_per_endpoint + node_table_bytes)
    update_bytes_busiest = (
        peak * fleet.bytes_per_route
        + endpoints_lost * fleet.bytes_per_endpoint
        + session_table_updates * node_table_bytes
    )
    total_bytes = fleet.tenants * fleet.routes_per_tenant * fleet.bytes_per_route
    total_bytes += fleet.endpoints * fleet.bytes_per_endpoint + node_table_bytes
    return _DerivedLoad(
        changes=(changes + 2 * restarts, peak + endpoints_lost + session_table_updates),
        update_bytes=(update_bytes, update_bytes_busiest),
        tables_mb=3 * total_bytes / 1e6,
        sessions=(fleet.sidecars / fleet.control_machines, 2 * fleet.sidecars / fleet.control_machines),
        items=(fleet.items_per_day / DAY_S, fleet.largest_lot / (15 * MINUTE_S)),
        item_bytes=fleet.item_body_bytes * 4 / 3 + fleet.item_result_bytes,
        requests=fleet.requests_per_s / fleet.sidecars,
    )


def _edge_rows(fleet: TierFleet, slopes: TierSlopes, load: _DerivedLoad) -> list[Row]:
    budget = fleet.budget
    role = "edge sidecar"
    processor = [slopes.hollow_share + c * slopes.change_us / 1e6 for c in load.changes]
    update_bytes = [slopes.session_bytes_per_s + t for t in load.update_bytes]
    request_processor = load.requests * slopes.edge_request_us / 1e6
    return [
        Row(
            role,
            "control: processor",
            calm_and_busiest(processor),
            "cores",
            budget.control_share,
            "control_share",
            "one session; changes in place of tables",
        ),
        Row(
            role,
            "control: bytes",
            calm_and_busiest(update_bytes),
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
            (request_processor / 2, request_processor),
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


def _control_rows(fleet: TierFleet, slopes: TierSlopes, load: _DerivedLoad) -> list[Row]:
    budget = fleet.budget
    loads = zip(load.sessions, load.changes, load.update_bytes, strict=True)
    figures = [
        (
            sessions * (slopes.session_share + changes * slopes.change_us / 1e6),
            sessions * (slopes.session_bytes_per_s + sent_bytes),
        )
        for sessions, changes, sent_bytes in loads
    ]
    processor, wire_bytes = zip(*figures, strict=True)
    memory_mb = [
        slopes.control_fixed_mb + load.tables_mb + s * slopes.control_session_mb for s in load.sessions
    ]
    other_nodes = fleet.control_machines - 1
    listing_bytes = fleet.endpoints * fleet.bytes_per_endpoint
    return [
        Row(
            "control node",
            "processor",
            calm_and_busiest(processor),
            "cores",
            budget.core,
            "core",
            "sessions spread over nodes",
        ),
        Row(
            "control node",
            "bytes",
            calm_and_busiest(wire_bytes),
            "bytes/s",
            budget.link_bytes_per_s,
            "link_bytes_per_s",
            "the same",
        ),
        Row(
            "control node",
            "memory",
            calm_and_busiest(memory_mb),
            "MB",
            budget.machine_mb,
            "machine_mb",
            "the same",
        ),
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
            calm_and_busiest(other_nodes * t for t in load.update_bytes),
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
            (listing_bytes, listing_bytes),
            "bytes/s",
            budget.link_bytes_per_s,
            "link_bytes_per_s",
            "the whole list each second; zones in turn, beyond",
        ),
    ]


def _storage_rows(fleet: TierFleet, slopes: TierSlopes, load: _DerivedLoad) -> list[Row]:
    budget = fleet.budget
    copies_per_machine = fleet.copies / fleet.storage_machines
    processor_cores = [i * slopes.storage_item_us / 1e6 for i in load.items]
    stored_mb = load.items[0] * fleet.kept_s * load.item_bytes / 1e6 * copies_per_machine
    written_bytes = [i * load.item_bytes * copies_per_machine for i in load.items]
    memory_mb = [
        slopes.storage_mb + ITEM_INDEX_MB * i * fleet.kept_s * copies_per_machine for i in load.items
    ]
    return [
        Row(
            "batch owner",
            "processor",
            calm_and_busiest(processor_cores),
            "cores",
            budget.core,
            "core",
            "one group today; groups by hash of a job's id, quota leased",
        ),
        Row(
            "batch owner",
            "commits",
            calm_and_busiest(min(2 * i, budget.syncs_per_s) for i in load.items),
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
            (stored_mb, stored_mb),
            "MB",
            None,
            "",
            "spread over groups; finished jobs are purged",
        ),
        Row(
            "storage replica",
            "memory",
            calm_and_busiest(memory_mb),
            "MB",
            budget.machine_mb,
            "machine_mb",
            "an index of the jobs kept; bodies stay on disk",
        ),
        Row(
            "storage replica",
            "bytes written",
            calm_and_busiest(written_bytes),
            "bytes/s",
            budget.link_bytes_per_s,
            "link_bytes_per_s",
            "copies in three zones, spread over groups",
        ),
    ]


def compute_rows(fleet: TierFleet, slopes: TierSlopes) -> list[Row]:
    """All figures, by role."""
    load = _derive_load(fleet)
    return [
        *_edge_rows(fleet, slopes, load),
        *_control_rows(fleet, slopes, load),
        *_storage_rows(fleet, slopes, load),
    ]


def render_page(fleet: TierFleet, slopes: TierSlopes) -> str:
    """Render the tier's table of docs/CAPACITY.md as Markdown."""
    figures = compute_rows(fleet, slopes)
    heading = (
        f"{format_number(fleet.sidecars)} sidecars, {format_number(fleet.endpoints)} endpoints, "
        f"{format_number(fleet.requests_per_s)} requests/s, "
        f"{format_number(fleet.items_per_day)} batch items a day\n\n"
    )
    table_rows: list[Sequence[str]] = []
    for row in figures:
        budget = "-" if row.budget is None else f"{format_amount(row.budget, row.unit)} ({row.of})"
        verdict = {None: "-", True: "holds", False: f"breaks: {format_number(_times_budget(row))} times"}[
            row.holds
        ]
        calm, busiest = (format_amount(each, row.unit) for each in row.amounts)
        table_rows.append((row.role, row.what, calm, busiest, budget, verdict, row.mechanism))
    columns = ("role", "figure", "calm", "busiest minute", "budget", "", "what carries it, or would")
    return heading + markdown_table(columns, table_rows, right_aligned=(2, 3)) + "\n"


def _times_budget(row: Row) -> float:
    return 0.0 if row.budget is None else max(row.amounts) / row.budget
