"""`ottercleat run`: checks the configuration, then replaces this process with the sidecar."""

from __future__ import annotations

import os
import sys

import click

from eiderhub.sidecar.config import ConfigError, build_config, read_document


@click.command("run")
@click.option("--config", "path", required=True, metavar="FILE", help="TOML, or the platform's JSON.")
@click.option("--name", envvar="OTTERCLEAT_NAME", help="Name of the sidecar, instead of the file's.")
@click.option("--listen", envvar="OTTERCLEAT_LISTEN", metavar="ADDRESS", help="Listen address for callers.")
@click.option("--discovery", envvar="OTTERCLEAT_DISCOVERY", metavar="ADDRESS", help="Address of discovery.")
@click.option(
    "--management",
    envvar="OTTERCLEAT_MANAGEMENT",
    metavar="ADDRESS",
    help="Listen address for operator calls.",
)
def command(
    path: str, name: str | None, listen: str | None, discovery: str | None, management: str | None
) -> None:
    """Run one sidecar in the foreground until SIGTERM or Ctrl-C.

    Flags override OTTERCLEAT_* variables, and those override the file; deploy/sidecar.toml is an example.
    """
    overrides = {"GW_NAME": name, "GW_LISTEN": listen, "GW_DISCOVERY": discovery, "GW_MANAGEMENT": management}
    environ = {key: value for key, value in os.environ.items() if key not in overrides}
    environ |= {key: value for key, value in overrides.items() if value}
    environ["GW_CONFIG"] = path
    try:
        build_config(read_document(path), environ)
    except ConfigError as error:
        variable, _, reason = str(error).partition(": ")
        flag = f"--{variable.removeprefix('GW_').lower()}" if variable in overrides else f"{path}: {variable}"
        raise click.UsageError(f"{flag}: {reason}") from None
    # Replaces this process, so that the sidecar runs without the command line's modules.
    os.execve(sys.executable, [sys.executable, "-B", "-m", "eiderhub.sidecar"], environ)
