"""The root command: the list of subcommands, and how their errors become messages and exit statuses."""

from __future__ import annotations

import importlib
import sys
from importlib import metadata

import click

from eiderhub.documents import DocumentError

COMMANDS = {  # each has a module of its own, imported only when the command is invoked
    "bench": "Measure parts of the program on this machine.",
    "capacity": "Estimate what a fleet needs from measured costs, and report exceeded budgets.",
    "config": "Check a configuration, show it with its defaults, or print its schema.",
    "ctl": "Send an operator call to a sidecar.",
    "demo": "Run a small emulated deployment for some seconds, and report the result.",
    "emulate": "Run an emulated deployment on loopback until stopped.",
    "load": "Send open-loop traffic to a sidecar on loopback.",
    "registry": "Run the list service, query it, or change its records.",
    "run": "Run one sidecar.",
    "tier": "Run and operate the serving tier.",
    "zone": "Drain traffic from a zone, and return it.",
}


class LazyGroup(click.Group):
    """A command group that lists its commands by name and imports each one on first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        module = importlib.import_module(f"eiderhub.cli.{cmd_name}")
        command = module.command
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl(sorted(COMMANDS.items()))

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        if args and not args[0].startswith("-") and args[0] not in COMMANDS:
            from eiderhub.documents import suggest_name

            ctx.fail(f"no such command: {args[0]!r}; {suggest_name(args[0], COMMANDS)}")
        return super().resolve_command(ctx, args)


def version() -> str:
    try:
        return metadata.version("ottercleat")
    except metadata.PackageNotFoundError:  # run from a checkout without installation
        return "uninstalled"


@click.group(
    cls=LazyGroup,
    context_settings={"help_option_names": ["-h", "--help"], "auto_envvar_prefix": "OTTERCLEAT"},
)
@click.version_option(version(), prog_name="ottercleat")
def cli() -> None:
    """A load-balancing sidecar, and tools to test and measure it before it takes traffic.

    Exit status: 0 success; 1 a check, rule, budget or call failed; 2 usage or configuration error.
    """


def main() -> int:
    try:
        status = cli.main(prog_name="ottercleat", standalone_mode=False)
    except click.exceptions.Exit as exit_request:
        return exit_request.exit_code
    except click.ClickException as error:
        error.show()
        return 2
    except DocumentError as error:
        for line in error.fault_lines():
            print(f"ottercleat: {line}", file=sys.stderr)
        return 2
    except (KeyboardInterrupt, click.Abort):
        print("ottercleat: interrupted", file=sys.stderr)
        return 1
    except BrokenPipeError:
        # The reader of standard output has closed it; without this the interpreter reports a second
        # error when it flushes at exit.
        sys.stdout = None
        return 1
    except OSError as error:
        print(f"ottercleat: {error}", file=sys.stderr)
        return 1
    return status if isinstance(status, int) else 0


if __name__ == "__main__":
    sys.exit(main())
