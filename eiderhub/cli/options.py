"""Options and argument types that several commands share."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from eiderhub.address import ADDRESS_EXAMPLE, Address, parse_host_port

F = TypeVar("F", bound=Callable[..., Any])

MAX_SECONDS = 3600
MAX_SEED = 2**32 - 1


class AddressType(click.ParamType[Address]):
    """An address and port, written address:port."""

    name = "address"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> Address:
        if isinstance(value, Address):
            return value
        try:
            address = parse_host_port(str(value))
        except ValueError:
            address = Address("", 0)
        if not address.port:
            self.fail(f"{value!r} is not an address:port, such as {ADDRESS_EXAMPLE}", param, ctx)
        return address


SERVICE_OPTION = click.option(
    "--service", default="default", show_default=True, help="Service whose endpoints are meant."
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print the service's answer as JSON.")


def deployment_options(function: F) -> F:
    """Add the options of commands that start an emulated deployment."""
    for option in (
        click.option(
            "--registry",
            "real_lists",
            is_flag=True,
            help="Use the real list service instead of the emulated one.",
        ),
        click.option("--command", help="Command that starts a sidecar, instead of this build."),
        click.option(
            "--logs",
            type=click.Path(file_okay=False, path_type=Path),
            help="Folder in which the sidecars' logs are kept.",
        ),
        click.option(
            "--json", "json_file", metavar="FILE", help="Write all figures there; - for standard output."
        ),
        click.option(
            "--seed", type=click.IntRange(0, MAX_SEED), default=1, show_default=True, help="Seed of the run."
        ),
    ):
        function = option(function)
    return function
