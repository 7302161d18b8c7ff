"""`ottercleat capacity`: what a fleet needs, from measured slopes, beside its budgets."""

from __future__ import annotations

from pathlib import Path

import click

from eiderhub.capacity import model, table, tier
from eiderhub.capacity.fleet import Fleet
from eiderhub.capacity.slopes import Slope, Slopes
from eiderhub.cli import screen
from eiderhub.documents import DocumentError, Fault, convert, load_document

REPOSITORY = Path(__file__).parents[2]
FLEET = "deploy/fleet.toml"
SLOPES = "docs/capacity/slopes.json"
TIER_FLEET = "deploy/tier-fleet.toml"
TIER_SLOPES = "docs/capacity/tier-slopes.json"
REMEDY = {
    FLEET: "name another with --fleet FILE",
    TIER_FLEET: "name another with --fleet FILE",
    TIER_SLOPES: "name others with --slopes FILE",
    SLOPES: "measure them with `ottercleat bench slopes`, or name others with --slopes FILE",
}


def _file(path: str | None, default: str) -> Path:
    """What was named, or the repository's own.

    Raises:
        DocumentError: there is no such file.
    """
    file = Path(path) if path is not None else REPOSITORY / default
    if not file.exists():
        raise DocumentError(str(file), [Fault("", f"no such file; {REMEDY[default]}")])
    return file


def read_fleet(file: Path) -> Fleet:
    """Raises DocumentError, with all of its faults."""
    document, _ = load_document(file)
    return convert(document, Fleet, str(file), human_format=True)


def read_slopes(file: Path) -> Slopes:
    """Raises DocumentError, with all of its faults."""
    document, _ = load_document(file)
    slopes = document.get("slopes") if isinstance(document, dict) else None
    faults: list[Fault] = []
    for name, slope in slopes.items() if isinstance(slopes, dict) else ():
        try:  # each on its own: a fault is then told with its whole path
            convert(slope, Slope, human_format=True)
        except DocumentError as error:
            faults += (
                Fault(".".join(filter(None, ("slopes", name, f.path))), f.reason) for f in error.faults
            )
    if faults:
        raise DocumentError(str(file), faults)
    return convert(document, Slopes, str(file), human_format=True)


@click.command("capacity")
@click.option("--fleet", metavar="FILE", help=f"Counts, skew and budgets, in place of {FLEET}.")
@click.option("--slopes", metavar="FILE", help=f"Measured costs, in place of {SLOPES}.")
@click.option("--tier", "of_tier", is_flag=True, help="Of the serving tier, not of the in-service program.")
@click.option("--json", "json_file", metavar="FILE", help="Write all figures there; - for standard output.")
def command(fleet: str | None, slopes: str | None, of_tier: bool, json_file: str | None) -> int:
    """Print what a fleet needs by role, each figure beside its budget, as Markdown tables.

    Exit status: 0 every budget holds, 1 one breaks.
    """
    screen.check_writable(json_file)
    if of_tier:
        return _tier(_file(fleet, TIER_FLEET), _file(slopes, TIER_SLOPES), json_file)
    of = read_fleet(_file(fleet, FLEET))
    measured = read_slopes(_file(slopes, SLOPES))
    found = model.capacity(of, measured)
    screen.write_json(json_file, table.document(of, measured, found))
    if json_file != "-":
        click.echo(table.page(of, measured, found), nl=False)
    return 1 if any(one.holds is False for one in found.figures) else 0


def _tier(fleet_file: Path, slopes_file: Path, json_file: str | None) -> int:
    of = convert(load_document(fleet_file)[0], tier.TierFleet, str(fleet_file), human_format=True)
    measured = convert(load_document(slopes_file)[0], tier.TierSlopes, str(slopes_file), human_format=True)
    found = tier.rows(of, measured)
    screen.write_json(json_file, {"rows": [row._asdict() | {"holds": row.holds} for row in found]})
    if json_file != "-":
        click.echo(tier.page(of, measured), nl=False)
    return 1 if any(row.holds is False for row in found) else 0
