"""`ottercleat ctl`: sends operator calls to a sidecar."""

from __future__ import annotations

import asyncio

import click

from eiderhub.cli.options import AddressType
from eiderhub.emulator import management_client

OPERATOR_CALLS = ("status", "stats", "standby", "active")


@click.command("ctl")
@click.argument("address", type=AddressType())
@click.argument("call", type=click.Choice(OPERATOR_CALLS))
@click.option(
    "--wait",
    "wait_s",
    type=click.FloatRange(0.05, 60),
    default=2.0,
    show_default=True,
    help="Seconds to wait for an answer.",
)
def command(address: tuple[str, int], call: str, wait_s: float) -> int:
    """Call the sidecar at management address ADDRESS: status, stats, standby or active.

    Exit status 0 if it answers OK, 1 if it answers ERR or not at all.
    """
    host, port = address
    try:
        answer = asyncio.run(management_client.call(host, port, call, wait_s))
    except management_client.ManagementCallError as error:
        click.echo(f"ottercleat: {host}:{port}: {error}", err=True)
        return 1
    click.echo(answer)
    return 0 if answer.startswith("OK") else 1
