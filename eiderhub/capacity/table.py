"""Renders the tables of `docs/CAPACITY.md` as Markdown with aligned columns, and the figures as JSON data."""

from __future__ import annotations

from collections.abc import Sequence

from eiderhub.capacity.fleet import Fleet
from eiderhub.capacity.model import BUSIEST_MINUTE, CALM, WORST_HOUR, Capacity, Figure
from eiderhub.capacity.slopes import SLOPE_DEFINITIONS, Slope, Slopes

EMPTY_CELL = "-"


def format_number(value: float) -> str:
    """Format with three significant digits and thousands separators: 19,000, 1,730, 14.6, 0.0116."""
    if value == 0:
        return "0"
    if abs(value) >= 99.95:
        return f"{float(f'{value:.3g}') if abs(value) < 999.5 else round(value):,.0f}"
    text = f"{value:.3g}"
    return f"{float(text):.{_decimals(text)}f}" if "e" in text else text


def _decimals(text: str) -> int:
    digits, _, exponent = text.partition("e")
    return len(digits.partition(".")[2]) - int(exponent)


def format_amount(value: float | None, unit: str) -> str:
    """Format with the unit; cores as a percentage of one core."""
    if value is None:
        return EMPTY_CELL
    if unit == "cores":
        return f"{format_number(100 * value)}% of a core"
    return f"{format_number(value)} {unit}".rstrip()


def markdown_table(
    columns: Sequence[str], rows: Sequence[Sequence[str]], right_aligned: Sequence[int] = ()
) -> str:
    """Render a Markdown table with padded columns; `right_aligned` holds column indices."""
    widths = [max(len(row[i]) for row in (columns, *rows)) for i in range(len(columns))]

    def line(cells: Sequence[str]) -> str:
        indexed_cells = zip(range(len(cells)), cells, widths, strict=True)
        padded = (
            cell.rjust(width) if i in right_aligned else cell.ljust(width) for i, cell, width in indexed_cells
        )
        return "| " + " | ".join(padded) + " |"

    rule = ["-" * (width - 1) + ":" if i in right_aligned else "-" * width for i, width in enumerate(widths)]
    return "\n".join([line(columns), line(rule), *map(line, rows)])


def format_verdict(figure: Figure, looked_at: tuple[int, int]) -> str:
    """Describe whether the budget holds, by how much it is exceeded, and from which fleet size."""
    if figure.holds is None:
        return EMPTY_CELL
    low, high = looked_at
    if figure.breaks_from is None:
        return f"holds; still at {high:,} endpoints"
    if figure.holds:
        return f"holds; breaks from {figure.breaks_from:,} endpoints"
    assert figure.budget is not None
    value, moment = figure.worst
    start = f"at any size from {low:,}" if figure.breaks_from == low else f"from {figure.breaks_from:,}"
    return f"breaks: {format_number(value / figure.budget)} times the budget, {moment}; {start} endpoints"


def figures_table(capacity: Capacity, role: str) -> str:
    """Render the figures of one role."""
    rows = []
    for figure in capacity.figures:
        if figure.role != role:
            continue
        minute = format_amount(figure.minute, figure.unit) + (f" ({figure.event})" if figure.event else "")
        budget = format_amount(figure.budget, figure.unit)
        rows.append(
            [
                figure.resource,
                format_amount(figure.calm, figure.unit),
                minute,
                format_amount(figure.hour, figure.unit),
                budget + (f" ({figure.set_by})" if figure.set_by else ""),
                format_verdict(figure, capacity.looked_at),
            ]
        )
    return markdown_table(["", CALM, BUSIEST_MINUTE, WORST_HOUR, "budget", ""], rows, (1, 2, 3))


def broken_budgets_table(capacity: Capacity) -> str:
    """Render the exceeded budgets, in order of the fleet size from which they are exceeded."""
    rows = []
    exceeded = [figure for figure in capacity.figures if figure.holds is False]
    for figure in sorted(
        exceeded, key=lambda figure: (figure.breaks_from or 0, -(figure.worst[0] / (figure.budget or 1.0)))
    ):
        value, moment = figure.worst
        rows.append(
            [
                f"{figure.breaks_from:,}",
                figure.role,
                figure.resource,
                format_amount(value, figure.unit),
                moment + (f" ({figure.event})" if figure.event and moment == BUSIEST_MINUTE else ""),
                format_amount(figure.budget, figure.unit),
                format_number(value / (figure.budget or 1.0)),
            ]
        )
    if not rows:
        return "Every budget holds."
    columns = ["from endpoints", "role", "", "amount", "moment", "budget", "times"]
    return markdown_table(columns, rows, (0, 3, 5, 6))


def slopes_table(capacity: Capacity, slopes: Slopes) -> str:
    """Render each slope with its measured range and the largest values that the model used."""
    rows = []
    for name in SLOPE_DEFINITIONS:
        slope = slopes.slopes[name]
        per = ", ".join(f"{format_number(value)} for each {driver}" for driver, value in slope.per.items())
        rows.append(
            [
                name,
                f"{format_number(slope.fixed)} {slope.unit.replace('mb', 'MB')}",
                per or EMPTY_CELL,
                f"{format_number(100 * slope.spread)}%",
                _measured_ranges(slope),
                _used_ranges(capacity, name),
                ", ".join(slope.runs),
            ]
        )
    columns = ["slope", "fixed", "and", "spread", "measured at", "used up to", "runs"]
    return markdown_table(columns, rows, (1, 3))


def _measured_ranges(slope: Slope) -> str:
    sizes = (
        f"{driver} {format_number(low)} to {format_number(high)}"
        for driver, (low, high) in slope.sizes.items()
    )
    return ", ".join(sizes) or EMPTY_CELL


def _used_ranges(capacity: Capacity, name: str) -> str:
    texts = []
    for use in capacity.used:
        if use.slope == name:
            texts.append(f"{use.driver} {format_number(use.most)}{' (beyond)' if use.extrapolated else ''}")
    return ", ".join(texts) or EMPTY_CELL


def service_classes_table(fleet: Fleet) -> str:
    """Render the service classes of the fleet file."""
    rows = [
        [
            service_class.name,
            format_number(service_class.services),
            format_number(service_class.size),
            format_number(service_class.followed),
            format_number(service_class.callers),
        ]
        for service_class in fleet.service_classes()
    ]
    columns = ["services", "how many", "endpoints each", "followed by a sidecar", "sidecars that follow each"]
    return markdown_table(columns, rows, (1, 2, 3, 4))


def render_page(fleet: Fleet, slopes: Slopes, capacity: Capacity) -> str:
    """Render all tables, as printed by the command and included in the page."""
    source = f"{slopes.machine}, revision {slopes.revision}, {slopes.measured}"
    roles = dict.fromkeys(figure.role for figure in capacity.figures)
    parts = [
        f"{fleet.endpoints:,} endpoints in {fleet.services:,} services, {len(fleet.regions)} regions, "
        f"{len(fleet.region_by_zone)} zones; {format_number(fleet.calls_per_s)} calls/s; slopes: {source}",
        service_classes_table(fleet),
        *(f"### {role[0].upper()}{role[1:]}\n\n{figures_table(capacity, role)}" for role in roles),
        f"### What breaks, the soonest first\n\n{broken_budgets_table(capacity)}",
        f"### Slopes\n\n{slopes_table(capacity, slopes)}",
    ]
    return "\n\n".join(parts) + "\n"


def json_document(fleet: Fleet, slopes: Slopes, capacity: Capacity) -> dict[str, object]:
    """All figures as JSON-compatible data with units; processor time is in cores."""
    return {
        "endpoints": fleet.endpoints,
        "revision": slopes.revision,
        "machine": slopes.machine,
        "measured": slopes.measured,
        "looked_at": list(capacity.looked_at),
        "figures": [
            {
                "role": figure.role,
                "resource": figure.resource,
                "unit": figure.unit,
                "calm": figure.calm,
                "busiest_minute": figure.minute,
                "event": figure.event,
                "worst_hour": figure.hour,
                "budget": figure.budget,
                "set_by": figure.set_by,
                "holds": figure.holds,
                "breaks_from": figure.breaks_from,
            }
            for figure in capacity.figures
        ],
        "used": [
            {"slope": use.slope, "driver": use.driver, "most": use.most, "beyond": use.extrapolated}
            for use in capacity.used
        ],
    }
