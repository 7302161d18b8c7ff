"""`ottercleat zone`: operators' zone orders, stored by the list service and followed by every sidecar."""

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
from eiderhub.cli.options import JSON_OPTION, SERVICE_OPTION, AddressType
from eiderhub.cli.service import call_service, convert_arguments
from eiderhub.documents import suggest_name
from eiderhub.registry import api
from eiderhub.registry.client import RegistryClient, decode_reply
from eiderhub.registry.field_types import MAX_ORDER_MS, MIN_ORDER_MS
from eiderhub.registry.records import Order

SECONDS_PER_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86400}
ADDRESS_ARGUMENT = click.argument("address", type=AddressType())
ZONE_ARGUMENT = click.argument("zone")


class DurationType(click.ParamType[int]):
    """A duration written as a number and a unit, converted to milliseconds."""

    name = "time"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> int:
        if isinstance(value, int):
            return value
        match = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)([smhd])", str(value))
        if match is None:
            self.fail(f"{value!r} is not a duration, such as 90s, 10m, 2h or 1d", param, ctx)
        duration_ms = int(float(match[1]) * SECONDS_PER_UNIT[match[2]] * 1000)
        if not MIN_ORDER_MS <= duration_ms <= MAX_ORDER_MS:
            self.fail(f"{value} is not between 1s and {MAX_ORDER_MS // 86_400_000}d", param, ctx)
        return duration_ms


@click.group("zone")
def command() -> None:
    """Drain traffic from a zone, return it, or print the state of the zones.

    An order is stored by the list service at ADDRESS, followed by every sidecar that gets its lists from
    there, and expires by itself.
    """


def _fetch_zones(address: Address, service: str) -> api.ZonesResponse:
    async def fetch_zones(client: RegistryClient) -> api.ZonesResponse:
        return decode_reply(await client.get(api.ZONES_PATH, {"service": service}, 5.0), api.ZonesResponse)

    return call_service(address, fetch_zones)


def _fetch_zones_with(address: Address, service: str, zone: str) -> api.ZonesResponse:
    """Fetch the zones of the service, which must include `zone`.

    Raises:
        click.UsageError: the service has no such zone.
    """
    response = _fetch_zones(address, service)
    names = [state.zone for state in response.zones]
    if zone not in names:
        raise click.UsageError(f"no such zone: {zone!r}; {suggest_name(zone, names)}")
    return response


def _post_order(address: Address, request: api.ZoneOrderRequest) -> api.WriteResponse:
    return call_service(address, lambda client: client.post(api.ZONE_PATH, request, api.WriteResponse))


@command.command()
@ADDRESS_ARGUMENT
@ZONE_ARGUMENT
@click.option(
    "--for",
    "time_ms",
    type=DurationType(),
    default="1h",
    show_default=True,
    help="Duration, such as 90s, 10m, 2h or 1d.",
)
@click.option(
    "--share",
    type=click.FloatRange(0, 1),
    default=0.0,
    show_default=True,
    help="Share of its normal calls that the zone keeps.",
)
@click.option("--force", is_flag=True, help="Drain even if no other zone would serve a tier.")
@SERVICE_OPTION
def drain(address: Address, zone: str, time_ms: int, share: float, force: bool, service: str) -> int:
    """Give ZONE no calls, or only a share of them, until it is returned or the time is over."""
    _fetch_zones_with(address, service, zone)
    order = convert_arguments({"service": service, "zone": zone, "share": share, "for_ms": time_ms}, Order)
    response = _post_order(address, api.ZoneOrderRequest(order=order, force=force))
    ends_at = time.strftime("%F %T", time.localtime(time.time() + time_ms / 1000))
    click.echo(f"{zone}: keeps {share:g} of its calls until {ends_at}, version {response.version}")
    return 0


@command.command("return")
@ADDRESS_ARGUMENT
@ZONE_ARGUMENT
@SERVICE_OPTION
def return_(address: Address, zone: str, service: str) -> int:
    """End the order on ZONE: its calls return as each sidecar finds that the zone can handle them."""
    _fetch_zones_with(address, service, zone)
    request = convert_arguments({"service": service, "zone": zone}, api.EndOrderRequest)
    response = _post_order(address, api.ZoneOrderRequest(over=request))
    click.echo(f"{zone}: returned, version {response.version}")
    return 0


@command.command()
@ADDRESS_ARGUMENT
@click.argument("zone", required=False)
@SERVICE_OPTION
@JSON_OPTION
def status(address: Address, zone: str | None, service: str, as_json: bool) -> int:
    """Print the zones of a service, their endpoints, and the orders in force."""
    zones_response = (
        _fetch_zones_with(address, service, zone) if zone is not None else _fetch_zones(address, service)
    )
    states = [state for state in zones_response.zones if zone in (None, state.zone)]
    if as_json:
        document: dict[str, Any] = {"version": zones_response.version, "ageMs": zones_response.age_ms}
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
