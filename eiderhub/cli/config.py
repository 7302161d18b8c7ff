"""`ottercleat config`: what a configuration file says, and what is wrong with it."""

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

CAMEL = re.compile(r"(?<=[a-z0-9])(?=[A-Z])")


@click.group("config")
def command() -> None:
    """Check a configuration, show what it comes to, or print its schema."""


def _read(path: str, scenario: bool) -> Document | scenarios.Scenario:
    return scenarios.load(path) if scenario else read_document(path)


SCENARIO = click.option("--scenario", is_flag=True, help="FILE is a scenario (or the name of a shipped one).")


@command.command()
@click.argument("path", metavar="FILE")
@SCENARIO
def check(path: str, scenario: bool) -> None:
    """Say all that is wrong with FILE, one line a fault; exit status 2 if anything is."""
    found = _read(path, scenario)
    if isinstance(found, Document):
        try:
            build_config(found, os.environ)
        except ConfigError as error:
            raise DocumentError(path, [Fault("", str(error))]) from None
    click.echo(f"{path}: ok")


@command.command()
@click.argument("path", metavar="FILE")
@SCENARIO
def show(path: str, scenario: bool) -> None:
    """Print what FILE comes to, with every default, as TOML for people."""
    document = to_human_format(_read(path, scenario))
    assert isinstance(document, dict)
    click.echo(tomli_w.dumps(document), nl=False)


@command.command()
@click.option("--form", type=click.Choice(["toml", "json"]), default="toml", show_default=True)
@SCENARIO
def schema(form: str, scenario: bool) -> None:
    """Print the JSON Schema of a configuration file: with people's names (toml), or the platform's (json)."""
    found = msgspec.json.schema(scenarios.Scenario if scenario else Document)
    if form == "toml":
        found = _renamed(found)
        for definition in found["$defs"].values():
            if definition.get("type") == "object":
                definition["additionalProperties"] = False
    click.echo(json.dumps(found, indent=2))


def _renamed(schema: dict[str, Any]) -> dict[str, Any]:
    """The schema with people's names for its properties; the platform's are the same words in other case."""

    def people(name: str) -> str:
        return CAMEL.sub("_", name).lower().rstrip("_")

    def walk(value: Any) -> Any:
        if isinstance(value, list):
            return [walk(item) for item in value]
        if not isinstance(value, dict):
            return value
        found = {key: walk(item) for key, item in value.items()}
        if isinstance(value.get("properties"), dict):
            found["properties"] = {people(key): walk(item) for key, item in value["properties"].items()}
            found["required"] = [people(key) for key in value.get("required", [])]
        return found

    return walk(schema)  # type: ignore[no-any-return]
