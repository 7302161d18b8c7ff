"""`ottercleat config`: checks a configuration file, shows it with its defaults, and prints its schema."""

from __future__ import annotations

import json
import os
import re
from typing import Any

import click
import msgspec
import tomli_w

from eiderhub.documents import DocumentError, Fault, to_human_format
from eiderhub.sidecar.config import ConfigError, Document, build_config, read_document
from eiderhub.world import scenario as scenarios

CAMEL_CASE_BOUNDARY = re.compile(r"(?<=[a-z0-9])(?=[A-Z])")


@click.group("config")
def command() -> None:
    """Check a configuration, show it with its defaults, or print its schema."""


def _read_file(path: str, scenario: bool) -> Document | scenarios.Scenario:
    return scenarios.load(path) if scenario else read_document(path)


SCENARIO_OPTION = click.option(
    "--scenario", is_flag=True, help="FILE is a scenario (or the name of a bundled one)."
)


@command.command()
@click.argument("path", metavar="FILE")
@SCENARIO_OPTION
def check(path: str, scenario: bool) -> None:
    """Report every fault in FILE, one per line; exit status 2 if there is any."""
    parsed = _read_file(path, scenario)
    if isinstance(parsed, Document):
        try:
            build_config(parsed, os.environ)
        except ConfigError as error:
            raise DocumentError(path, [Fault("", str(error))]) from None
    click.echo(f"{path}: ok")


@command.command()
@click.argument("path", metavar="FILE")
@SCENARIO_OPTION
def show(path: str, scenario: bool) -> None:
    """Print FILE with every default filled in, as TOML in the human-readable format."""
    document = to_human_format(_read_file(path, scenario))
    assert isinstance(document, dict)
    click.echo(tomli_w.dumps(document), nl=False)


@command.command()
@click.option("--form", type=click.Choice(["toml", "json"]), default="toml", show_default=True)
@SCENARIO_OPTION
def schema(form: str, scenario: bool) -> None:
    """Print the JSON Schema of a configuration, with snake_case names (toml) or platform names (json)."""
    generated = msgspec.json.schema(scenarios.Scenario if scenario else Document)
    if form == "toml":
        generated = _with_snake_case_properties(generated)
        for definition in generated["$defs"].values():
            if definition.get("type") == "object":
                definition["additionalProperties"] = False
    click.echo(json.dumps(generated, indent=2))


def _with_snake_case_properties(schema: dict[str, Any]) -> dict[str, Any]:
    """The schema with snake_case property names; the platform's names are the same words in another case."""

    def snake_case(name: str) -> str:
        return CAMEL_CASE_BOUNDARY.sub("_", name).lower().rstrip("_")

    def convert(value: Any) -> Any:
        if isinstance(value, list):
            return [convert(item) for item in value]
        if not isinstance(value, dict):
            return value
        converted = {key: convert(item) for key, item in value.items()}
        if isinstance(value.get("properties"), dict):
            converted["properties"] = {
                snake_case(key): convert(item) for key, item in value["properties"].items()
            }
            converted["required"] = [snake_case(key) for key in value.get("required", [])]
        return converted

    return convert(schema)  # type: ignore[no-any-return]
