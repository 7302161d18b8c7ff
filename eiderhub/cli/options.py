"""Options and types of arguments that several commands share."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

F = TypeVar("F", bound=Callable[..., Any])

MOST_SECONDS = 3600
MOST_SEED = 2**32 - 1


class AddressType(click.ParamType[tuple[str, int]]):
    """An address:port."""

    name = "address"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        if isinstance(value, tuple):
            return value
        host, _, port = str(value).rpartition(":")
        if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) <= 65535:
            self.fail(f"{value!r} is no address:port, such as 127.0.0.1:7071", param, ctx)
        return host, int(port)


def of_a_day(function: F) -> F:
    """The options of commands that start a deployment."""
    for option in (
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
