"""The command's root: which commands there are, and what becomes of their errors."""

from __future__ import annotations

import importlib
import sys
from importlib import metadata

import click

from eiderhub.documents import DocumentError

COMMANDS = {  # each in a module of its own, which is imported only when it is called
    "bench": "Measure parts of the program on this machine.",
    "capacity": "Say what a fleet needs, from measured costs, and which budgets break.",
    "config": "Check a configuration, show what it comes to, or print its schema.",
    "ctl": "Call a sidecar as its operator.",
    "demo": "Play a small deployment for some seconds, and say how it went.",
    "emulate": "Keep a deployment up on loopback until stopped.",
    "load": "Send open-loop traffic to a sidecar on loopback.",
    "registry": "Run the list service, or ask and tell it.",
    "run": "Run one sidecar.",
    "tier": "Run and operate the serving tier.",
    "zone": "Take traffic from a zone, and give it back.",
}


class Lazy(click.Group):
    """A group whose commands are known by name, and imported when they are needed."""

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
    except metadata.PackageNotFoundError:  # run from a checkout that is not installed
        return "uninstalled"


@click.group(
    cls=Lazy, context_settings={"help_option_names": ["-h", "--help"], "auto_envvar_prefix": "OTTERCLEAT"}
)
@click.version_option(version(), prog_name="ottercleat")
def cli() -> None:
    """A load-balancing sidecar, and the means to know what it will do before it serves.

    Exit status: 0 as wanted; 1 what was asked about does not hold; 2 wrong use or configuration.
    """


def main() -> int:
    try:
        status = cli.main(prog_name="ottercleat", standalone_mode=False)
    except click.exceptions.Exit as ended:
        return ended.exit_code
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
        # Whoever read our output has gone; the interpreter would complain once more when it flushes.
        sys.stdout = None
        return 1
    except OSError as error:
        print(f"ottercleat: {error}", file=sys.stderr)
        return 1
    return status if isinstance(status, int) else 0


if __name__ == "__main__":
    sys.exit(main())
