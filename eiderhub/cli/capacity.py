"""`ottercleat capacity`: estimates what a fleet needs from measured slopes, compared with its budgets."""

from __future__ import annotations

from pathlib import Path

import click

from eiderhub.capacity import model, table, tier
from eiderhub.capacity.fleet import Fleet
from eiderhub.capacity.slopes import Slope, Slopes
from eiderhub.cli import console_output
from eiderhub.documents import DocumentError, Fault, convert, load_document

REPOSITORY = Path(__file__).parents[2]
DEFAULT_FLEET = "deploy/fleet.toml"
DEFAULT_SLOPES = "docs/capacity/slopes.json"
DEFAULT_TIER_FLEET = "deploy/tier-fleet.toml"
DEFAULT_TIER_SLOPES = "docs/capacity/tier-slopes.json"
MISSING_FILE_HINTS = {
    DEFAULT_FLEET: "name another with --fleet FILE",
    DEFAULT_TIER_FLEET: "name another with --fleet FILE",
    DEFAULT_TIER_SLOPES: "name others with --slopes FILE",
    DEFAULT_SLOPES: "measure them with `ottercleat bench slopes`, or name others with --slopes FILE",
}


def _resolve_file(path: str | None, default: str) -> Path:
    """The named file, or the default one of the repository.

    Raises:
        DocumentError: the file does not exist.
    """
    file = Path(path) if path is not None else REPOSITORY / default
    if not file.exists():
        raise DocumentError(str(file), [Fault("", f"no such file; {MISSING_FILE_HINTS[default]}")])
    return file


def read_fleet(file: Path) -> Fleet:
    """Read a fleet file; raises DocumentError that lists all faults."""
    document, _ = load_document(file)
    return convert(document, Fleet, str(file), human_format=True)


def read_slopes(file: Path) -> Slopes:
    """Read a slopes file; raises DocumentError that lists all faults."""
    document, _ = load_document(file)
    slopes = document.get("slopes") if isinstance(document, dict) else None
    faults: list[Fault] = []
    for name, slope in slopes.items() if isinstance(slopes, dict) else ():
        try:  # converted one by one, so that each fault is reported with its full path
            convert(slope, Slope, human_format=True)
        except DocumentError as error:
            faults += (
                Fault(".".join(filter(None, ("slopes", name, f.path))), f.reason) for f in error.faults
            )
    if faults:
        raise DocumentError(str(file), faults)
    return convert(document, Slopes, str(file), human_format=True)


@click.command("capacity")
@click.option("--fleet", metavar="FILE", help=f"Counts, skew and budgets, instead of {DEFAULT_FLEET}.")
@click.option("--slopes", metavar="FILE", help=f"Measured costs, instead of {DEFAULT_SLOPES}.")
@click.option(
    "--tier", "of_tier", is_flag=True, help="For the serving tier instead of the in-service program."
)
@click.option("--json", "json_file", metavar="FILE", help="Write all figures there; - for standard output.")
def command(fleet: str | None, slopes: str | None, of_tier: bool, json_file: str | None) -> int:
    """Print what a fleet needs by role, each figure next to its budget, as Markdown tables.

    Exit status: 0 if every budget holds, 1 if one is exceeded.
    """
    console_output.check_writable(json_file)
    if of_tier:
        return _report_tier(
            _resolve_file(fleet, DEFAULT_TIER_FLEET), _resolve_file(slopes, DEFAULT_TIER_SLOPES), json_file
        )
    fleet_settings = read_fleet(_resolve_file(fleet, DEFAULT_FLEET))
    measured = read_slopes(_resolve_file(slopes, DEFAULT_SLOPES))
    requirements = model.compute_capacity(fleet_settings, measured)
    console_output.write_json(json_file, table.json_document(fleet_settings, measured, requirements))
    if json_file != "-":
        click.echo(table.render_page(fleet_settings, measured, requirements), nl=False)
    return 1 if any(one.holds is False for one in requirements.figures) else 0


def _report_tier(fleet_file: Path, slopes_file: Path, json_file: str | None) -> int:
    fleet = convert(load_document(fleet_file)[0], tier.TierFleet, str(fleet_file), human_format=True)
    measured = convert(load_document(slopes_file)[0], tier.TierSlopes, str(slopes_file), human_format=True)
    rows = tier.compute_rows(fleet, measured)
    console_output.write_json(json_file, {"rows": [row._asdict() | {"holds": row.holds} for row in rows]})
    if json_file != "-":
        click.echo(tier.render_page(fleet, measured), nl=False)
    return 1 if any(row.holds is False for row in rows) else 0
