"""`ottercleat run`: becomes the sidecar, after its configuration has been checked."""

from __future__ import annotations

import os
import sys

import click

from eiderhub.sidecar.config import ConfigError, build_config, read_document


@click.command("run")
@click.option("--config", "path", required=True, metavar="FILE", help="TOML, or the platform's JSON.")
@click.option("--name", envvar="OTTERCLEAT_NAME", help="Its name, instead of the file's.")
@click.option("--listen", envvar="OTTERCLEAT_LISTEN", metavar="ADDRESS", help="Where callers connect.")
@click.option(
    "--discovery", envvar="OTTERCLEAT_DISCOVERY", metavar="ADDRESS", help="Where discovery answers."
)
@click.option("--management", envvar="OTTERCLEAT_MANAGEMENT", metavar="ADDRESS", help="Where operators call.")
def command(
    path: str, name: str | None, listen: str | None, discovery: str | None, management: str | None
) -> None:
    """Run one sidecar in the foreground until SIGTERM or Ctrl-C.

    Flags stand above OTTERCLEAT_* variables, and those above the file; deploy/sidecar.toml is an example.
    """
    told = {"GW_NAME": name, "GW_LISTEN": listen, "GW_DISCOVERY": discovery, "GW_MANAGEMENT": management}
    environ = {key: value for key, value in os.environ.items() if key not in told}
    environ |= {key: value for key, value in told.items() if value}
    environ["GW_CONFIG"] = path
    try:
        build_config(read_document(path), environ)
    except ConfigError as error:
        variable, _, why = str(error).partition(": ")
        flag = f"--{variable.removeprefix('GW_').lower()}" if variable in told else f"{path}: {variable}"
        raise click.UsageError(f"{flag}: {why}") from None
    # The same process from here on, without the command line's modules.
    os.execve(sys.executable, [sys.executable, "-B", "-m", "eiderhub.sidecar"], environ)
