"""`ottercleat registry`: runs the list service, asks it, and tells it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import secrets
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import click
import msgspec
from rich.console import Console
from rich.table import Table

from eiderhub.address import Address
from eiderhub.cli.options import IN_SERVICE, JSON, AddressType
from eiderhub.cli.service import ask, checked
from eiderhub.registry import api
from eiderhub.registry.client import ListReply, ListWatch, RegistryClient, decode_reply, fetch_list
from eiderhub.registry.field_types import MAX_LEASE_MS
from eiderhub.registry.records import Entry, Record
from eiderhub.registry.settings import FollowSettings
from eiderhub.sidecar.logs import configure

if TYPE_CHECKING:
    from eiderhub.registry.core import Core
    from eiderhub.registry.store import Contents

T = TypeVar("T")
MOST_LEASE_S = MAX_LEASE_MS / 1000


@click.group("registry")
def command() -> None:
    """Run the list service, or ask and tell it: which endpoints there are, and what becomes of them."""


ADDRESS = click.argument("address", type=AddressType())
IN_TIER = click.option("--tier", default="default", show_default=True, help="Of which tier.")
AT = click.option("--if-version", type=click.IntRange(0), help="Only if the record is still at this version.")


@command.command()
@click.option("--config", "path", required=True, metavar="FILE", help="TOML; see deploy/registry.toml.")
def serve(path: str) -> int:
    """Serve lists and registrations until SIGTERM or Ctrl-C."""
    import uvloop

    from eiderhub.registry.config import read_config as read_config
    from eiderhub.registry.process import serve as serve_all
    from eiderhub.registry.store import StoreError

    config = read_config(path)
    configure({"service": config.listen})
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve_all(config))
    except StoreError as error:
        click.echo(f"ottercleat: {error}", err=True)
        return 1
    return 0


def _rows(entries: list[Entry]) -> Table:
    table = Table(box=None, pad_edge=False)
    for column in ("id", "address", "zone", "kind", "lifecycle", "weight", "started"):
        table.add_column(column, overflow="fold")
    for e in sorted(entries, key=lambda entry: entry.instance_id):
        started = "-"
        if e.started_at_ms:
            started = time.strftime("%F %T", time.localtime(e.started_at_ms / 1000))
        row = (
            e.instance_id,
            e.host_port,
            e.zone,
            e.machine_type,
            e.lifecycle.value,
            f"{e.weight:g}",
            started,
        )
        table.add_row(*row)
    return table


def _follow(address: Address, service: str, tier: str, view: str) -> FollowSettings:
    told = {"addresses": [str(address)], "service": service, "tier": tier, "view": view}
    return checked(told, FollowSettings)


def _document(answer: ListReply) -> dict[str, Any]:
    claim = answer.list_answer
    return {
        "generation": claim.version,
        "reset": claim.is_full,
        "identity": claim.identity,
        "branch": claim.branch,
        "ageMs": answer.age_ms,
        "instances": msgspec.to_builtins(claim.entries),
    }


@command.command("list")
@ADDRESS
@IN_SERVICE
@IN_TIER
@click.option("--view", default="", help="Addresses as seen in this network.")
@JSON
def list_(address: Address, service: str, tier: str, view: str, as_json: bool) -> int:
    """Print the endpoints of a tier."""
    follow = _follow(address, service, tier, view)
    answer = ask(address, lambda line: fetch_list(line, follow))
    if as_json:
        click.echo(json.dumps(_document(answer), indent=2))
        return 0
    old = f", at most {answer.age_ms / 1000:.1f} s old" if answer.age_ms else ""
    count = len(answer.list_answer.entries)
    click.echo(f"{service}/{tier}: {count} endpoints at version {answer.list_answer.version}{old}", err=True)
    if count:
        Console().print(_rows(list(answer.list_answer.entries)), highlight=False)
    return 0


@command.command()
@ADDRESS
@IN_SERVICE
@IN_TIER
@click.option("--view", default="", help="Addresses as seen in this network.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a change.")
@click.option("--seconds", type=click.FloatRange(0, min_open=True), help="End after so long.")
def watch(address: Address, service: str, tier: str, view: str, as_json: bool, seconds: float | None) -> int:
    """Print each change as it comes, through outages of the service, until Ctrl-C."""
    follow = _follow(address, service, tier, view)

    configure({})  # what it says about outages goes to standard error

    async def watched() -> None:
        watching = ListWatch(follow, lambda verdict: _changed(list(verdict.entries), as_json))
        watching.start()
        try:
            await asyncio.sleep(seconds if seconds is not None else float("inf"))
        finally:
            watching.stop()

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(watched())
    return 0


def _changed(entries: list[Entry], as_json: bool) -> None:
    for entry in entries:
        if as_json:
            click.echo(msgspec.json.encode(entry).decode())
        else:
            now = time.strftime("%T")
            click.echo(f"{now} {entry.lifecycle.value:8} {entry.instance_id} {entry.host_port} {entry.zone}")
    sys.stdout.flush()


@command.command()
@ADDRESS
@click.argument("id_", metavar="ID")
@click.argument("host_port", metavar="HOST:PORT")
@IN_SERVICE
@IN_TIER
@click.option("--zone", default="")
@click.option("--kind", default="", help="Its kind of machine.")
@click.option("--cell", type=int, default=0)
@click.option("--weight", type=float, default=1.0, show_default=True)
@click.option("--lease", type=click.FloatRange(0.5, MOST_LEASE_S), help="Seconds; kept up until Ctrl-C.")
@AT
def put(
    address: Address,
    id_: str,
    host_port: str,
    service: str,
    tier: str,
    zone: str,
    kind: str,
    cell: int,
    weight: float,
    lease: float | None,
    if_version: int | None,
) -> int:
    """Put a record. Without --lease it stays until it is removed; with one, for as long as this runs."""
    entry: dict[str, Any] = {
        "instance_id": id_,
        "host_port": host_port,
        "zone": zone,
        "machine_type": kind,
        "cell": cell,
        "weight": weight,
    }
    told: dict[str, Any] = {"service": service, "tier": tier, "entry": entry}
    if lease is not None:
        entry["started_at_ms"] = time.time_ns() // 1_000_000
        told |= {"owner": secrets.token_hex(8), "lease_ms": int(lease * 1000)}
    record = checked(told, Record)
    call = api.PutRequest(record=record, if_version=if_version)
    done = ask(address, lambda line: line.post(api.PUT_PATH, call, api.WriteResponse))
    click.echo(f"{id_}: version {done.version}")
    if lease is not None:
        _hold(address, record)
    return 0


def _hold(address: Address, record: Record) -> None:
    """Renew the lease until Ctrl-C, then remove the record."""
    from eiderhub.registry.client import Registration

    async def always() -> bool:
        return True

    async def held() -> None:
        registration = Registration(record, [address], always)
        registration.start()
        try:
            await asyncio.sleep(float("inf"))
        finally:
            await registration.remove()

    configure({})
    click.echo("held until Ctrl-C", err=True)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(held())


def _operate(path: str, address: Address, told: dict[str, Any]) -> int:
    call = checked({name: value for name, value in told.items() if value is not None}, api.RecordRequest)
    done = ask(address, lambda line: line.post(path, call, api.WriteResponse))
    click.echo(f"{call.id}: version {done.version}")
    return 0


@command.command()
@ADDRESS
@click.argument("id_", metavar="ID")
@IN_SERVICE
@IN_TIER
@click.option("--undo", is_flag=True, help="It takes requests again.")
@AT
def drain(address: Address, id_: str, service: str, tier: str, undo: bool, if_version: int | None) -> int:
    """Have an endpoint take nothing new, whatever its owner says, until --undo or its next start."""
    told = {"service": service, "tier": tier, "id": id_, "undo": undo, "if_version": if_version}
    return _operate(api.DRAIN_PATH, address, told)


@command.command()
@ADDRESS
@click.argument("id_", metavar="ID")
@IN_SERVICE
@IN_TIER
@AT
def remove(address: Address, id_: str, service: str, tier: str, if_version: int | None) -> int:
    """Remove a record; the process that it was of does not come back, a later start may."""
    told = {"service": service, "tier": tier, "id": id_, "if_version": if_version}
    return _operate(api.REMOVE_PATH, address, told)


@command.command()
@ADDRESS
@JSON
def status(address: Address, as_json: bool) -> int:
    """Say how the service is; exit status 1 where it takes no writes, or has no list."""

    async def asked(line: RegistryClient) -> api.StatusResponse:
        return decode_reply(await line.get(api.STATUS_PATH, {}, 2.0), api.StatusResponse)

    found = ask(address, asked)
    told: dict[str, Any] = msgspec.to_builtins(found)
    if as_json:
        click.echo(json.dumps(told, indent=2))
    else:
        for name, value in told.items():
            click.echo(f"{name:14} {value if value != '' else '-'}")
    return 1 if found.store_failing or not found.identity else 0


@command.group()
def store() -> None:
    """Look at a store; nothing is changed, and no process needs to run."""


def _opened(folder: str) -> tuple[Contents, Core]:
    """What a store holds, and the state that it comes to.

    Raises:
        click.exceptions.Exit: with status 1, after a line that says what is wrong with it.
    """
    from eiderhub.registry import store as stores
    from eiderhub.registry.config import RegistryConfig
    from eiderhub.registry.server import create_core, recover_core

    try:
        contents = stores.read_store(stores.Folder(Path(folder), create=False, lock=False))
        core = create_core(RegistryConfig(listen="127.0.0.1:0", store=folder))
        recover_core(core, contents)
        return contents, core
    except stores.StoreError as error:
        text = str(error)
        why = text if text.startswith(folder) else f"{folder}/{text}"
    except ValueError as error:
        why = f"{folder}: {error}"
    except OSError as error:
        why = f"{folder}: {error.strerror or error}"
    click.echo(f"ottercleat: {why}", err=True)
    raise click.exceptions.Exit(1)


@store.command()
@click.argument("folder", metavar="DIR")
def check(folder: str) -> int:
    """Read all of the store in DIR: every entry, checksum and number; exit status 1 for damage."""
    contents, core = _opened(folder)
    for note in contents.warnings:
        click.echo(f"{folder}/{note} at the next start", err=True)
    entries = sum(len(log.frames) for log in contents.logs)
    click.echo(f"{folder}: ok, {entries} log entries, version {core.version}, {len(core.records)} records")
    return 0


@store.command()
@click.argument("folder", metavar="DIR")
@click.option("--log", "with_log", is_flag=True, help="The entries of the log, one JSON object a line.")
def show(folder: str, with_log: bool) -> int:
    """Print what the store in DIR holds, as JSON."""
    contents, core = _opened(folder)
    if with_log:
        for frame in contents.frames:
            click.echo(frame.payload.decode())
    else:
        click.echo(json.dumps(msgspec.to_builtins(core.image()), indent=2))
    return 0
