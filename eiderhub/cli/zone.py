"""`ottercleat zone`: operators' orders on zones, kept by the list service and followed by every sidecar."""

from __future__ import annotations

import json
import re
import time
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from eiderhub.address import Address
from eiderhub.cli.options import IN_SERVICE, JSON, AddressType
from eiderhub.cli.service import ask, checked
from eiderhub.documents import suggest_name
from eiderhub.registry import api
from eiderhub.registry.client import RegistryClient, decode_reply
from eiderhub.registry.field_types import MAX_ORDER_MS, MIN_ORDER_MS
from eiderhub.registry.records import Order

UNITS_S = {"s": 1, "m": 60, "h": 3600, "d": 86400}
ADDRESS = click.argument("address", type=AddressType())
ZONE = click.argument("zone")


class TimeType(click.ParamType[int]):
    """A length of time in milliseconds, from a number and its unit."""

    name = "time"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> int:
        if isinstance(value, int):
            return value
        found = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)([smhd])", str(value))
        if found is None:
            self.fail(f"{value!r} is no time, such as 90s, 10m, 2h or 1d", param, ctx)
        time_ms = int(float(found[1]) * UNITS_S[found[2]] * 1000)
        if not MIN_ORDER_MS <= time_ms <= MAX_ORDER_MS:
            self.fail(f"{value} is not between 1s and {MAX_ORDER_MS // 86_400_000}d", param, ctx)
        return time_ms


@click.group("zone")
def command() -> None:
    """Take traffic from a zone, give it back, or say how zones are.

    An order is kept by the list service at ADDRESS, followed by every sidecar that has its lists from there,
    and ends by itself.
    """


def _zones(address: Address, service: str) -> api.ZonesResponse:
    async def asked(line: RegistryClient) -> api.ZonesResponse:
        return decode_reply(await line.get(api.ZONES_PATH, {"service": service}, 5.0), api.ZonesResponse)

    return ask(address, asked)


def _known(address: Address, service: str, zone: str) -> api.ZonesResponse:
    """What the service has, where this zone is among it.

    Raises:
        click.UsageError: it is not.
    """
    told = _zones(address, service)
    names = [state.zone for state in told.zones]
    if zone not in names:
        raise click.UsageError(f"no such zone: {zone!r}; {suggest_name(zone, names)}")
    return told


def _tell(address: Address, call: api.ZoneOrderRequest) -> api.WriteResponse:
    return ask(address, lambda line: line.post(api.ZONE_PATH, call, api.WriteResponse))


@command.command()
@ADDRESS
@ZONE
@click.option("--for", "time_ms", type=TimeType(), default="1h", show_default=True, help="90s, 10m, 2h, 1d.")
@click.option(
    "--share",
    type=click.FloatRange(0, 1),
    default=0.0,
    show_default=True,
    help="Of the calls that it would get, what it keeps.",
)
@click.option("--force", is_flag=True, help="Though no other zone would serve a tier.")
@IN_SERVICE
def drain(address: Address, zone: str, time_ms: int, share: float, force: bool, service: str) -> int:
    """Let ZONE have no calls, or a share of them, until it is returned or the time is over."""
    _known(address, service, zone)
    order = checked({"service": service, "zone": zone, "share": share, "for_ms": time_ms}, Order)
    done = _tell(address, api.ZoneOrderRequest(order=order, force=force))
    ends = time.strftime("%F %T", time.localtime(time.time() + time_ms / 1000))
    click.echo(f"{zone}: keeps {share:g} of its calls until {ends}, version {done.version}")
    return 0


@command.command("return")
@ADDRESS
@ZONE
@IN_SERVICE
def return_(address: Address, zone: str, service: str) -> int:
    """End the order on ZONE: its calls come back as each sidecar finds that it bears them."""
    _known(address, service, zone)
    over = checked({"service": service, "zone": zone}, api.EndOrderRequest)
    done = _tell(address, api.ZoneOrderRequest(over=over))
    click.echo(f"{zone}: returned, version {done.version}")
    return 0


@command.command()
@ADDRESS
@click.argument("zone", required=False)
@IN_SERVICE
@JSON
def status(address: Address, zone: str | None, service: str, as_json: bool) -> int:
    """Print the zones of a service, their endpoints, and the orders in force."""
    told = _known(address, service, zone) if zone is not None else _zones(address, service)
    states = [state for state in told.zones if zone in (None, state.zone)]
    if as_json:
        document: dict[str, Any] = {"version": told.version, "ageMs": told.age_ms}
        click.echo(json.dumps(document | {"zones": msgspec.to_builtins(states)}, indent=2))
        return 0
    table = Table(box=None, pad_edge=False)
    for column in ("zone", "region", "ready", "listed", "share", "until"):
        table.add_column(column, overflow="fold")
    for state in states:
        order = state.order
        until = time.strftime("%F %T", time.localtime(order.until_ms / 1000)) if order is not None else "-"
        share = f"{order.share:g}" if order is not None else "-"
        table.add_row(state.zone, state.region or "-", str(state.ready), str(state.listed), share, until)
    Console().print(table, highlight=False)
    return 0
