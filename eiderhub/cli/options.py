"""Options and types of arguments that several commands share."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from eiderhub.address import ADDRESS_EXAMPLE, Address, parse_host_port

F = TypeVar("F", bound=Callable[..., Any])

MOST_SECONDS = 3600
MOST_SEED = 2**32 - 1


class AddressType(click.ParamType[Address]):
    """An address:port."""

    name = "address"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> Address:
        if isinstance(value, Address):
            return value
        try:
            address = parse_host_port(str(value))
        except ValueError:
            address = Address("", 0)
        if not address.port:
            self.fail(f"{value!r} is no address:port, such as {ADDRESS_EXAMPLE}", param, ctx)
        return address


IN_SERVICE = click.option("--service", default="default", show_default=True, help="Whose endpoints.")
JSON = click.option("--json", "as_json", is_flag=True, help="Print what the service answered, as JSON.")


def of_a_day(function: F) -> F:
    """The options of commands that start a deployment."""
    for option in (
        click.option(
            "--registry", "real_lists", is_flag=True, help="The real list service, in place of the stand-in."
        ),
        click.option("--command", help="What starts a sidecar, instead of this build."),
        click.option(
            "--logs", type=click.Path(file_okay=False, path_type=Path), help="Keep the sidecars' logs there."
        ),
        click.option(
            "--json", "json_file", metavar="FILE", help="Write all figures there; - for standard output."
        ),
        click.option(
            "--seed", type=click.IntRange(0, MOST_SEED), default=1, show_default=True, help="The day's seed."
        ),
    ):
        function = option(function)
    return function
