"""`ottercleat registry`: runs the list service, queries it, and changes its records."""

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
from eiderhub.cli.options import JSON_OPTION, SERVICE_OPTION, AddressType
from eiderhub.cli.service import call_service, convert_arguments
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
MAX_LEASE_S = MAX_LEASE_MS / 1000


@click.group("registry")
def command() -> None:
    """Run the list service, query its endpoint lists, or add, drain and remove endpoints."""


ADDRESS_ARGUMENT = click.argument("address", type=AddressType())
TIER_OPTION = click.option("--tier", default="default", show_default=True, help="Tier of the service.")
IF_VERSION_OPTION = click.option(
    "--if-version", type=click.IntRange(0), help="Apply only if the record is still at this version."
)


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


def _entries_table(entries: list[Entry]) -> Table:
    table = Table(box=None, pad_edge=False)
    for column in ("id", "address", "zone", "kind", "lifecycle", "weight", "started"):
        table.add_column(column, overflow="fold")
    for entry in sorted(entries, key=lambda each: each.instance_id):
        started = "-"
        if entry.started_at_ms:
            started = time.strftime("%F %T", time.localtime(entry.started_at_ms / 1000))
        row = (
            entry.instance_id,
            entry.host_port,
            entry.zone,
            entry.machine_type,
            entry.lifecycle.value,
            f"{entry.weight:g}",
            started,
        )
        table.add_row(*row)
    return table


def _follow_settings(address: Address, service: str, tier: str, view: str) -> FollowSettings:
    arguments = {"addresses": [str(address)], "service": service, "tier": tier, "view": view}
    return convert_arguments(arguments, FollowSettings)


def _list_document(answer: ListReply) -> dict[str, Any]:
    list_answer = answer.list_answer
    return {
        "generation": list_answer.version,
        "reset": list_answer.is_full,
        "identity": list_answer.identity,
        "branch": list_answer.branch,
        "ageMs": answer.age_ms,
        "instances": msgspec.to_builtins(list_answer.entries),
    }


@command.command("list")
@ADDRESS_ARGUMENT
@SERVICE_OPTION
@TIER_OPTION
@click.option("--view", default="", help="Network from which the addresses are seen.")
@JSON_OPTION
def list_(address: Address, service: str, tier: str, view: str, as_json: bool) -> int:
    """Print the endpoints of a tier."""
    follow = _follow_settings(address, service, tier, view)
    answer = call_service(address, lambda client: fetch_list(client, follow))
    if as_json:
        click.echo(json.dumps(_list_document(answer), indent=2))
        return 0
    age_text = f", at most {answer.age_ms / 1000:.1f} s old" if answer.age_ms else ""
    count = len(answer.list_answer.entries)
    click.echo(
        f"{service}/{tier}: {count} endpoints at version {answer.list_answer.version}{age_text}", err=True
    )
    if count:
        Console().print(_entries_table(list(answer.list_answer.entries)), highlight=False)
    return 0


@command.command()
@ADDRESS_ARGUMENT
@SERVICE_OPTION
@TIER_OPTION
@click.option("--view", default="", help="Network from which the addresses are seen.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per change.")
@click.option("--seconds", type=click.FloatRange(0, min_open=True), help="Stop after this many seconds.")
def watch(address: Address, service: str, tier: str, view: str, as_json: bool, seconds: float | None) -> int:
    """Print each change as it arrives, until Ctrl-C; continues across outages of the service."""
    follow = _follow_settings(address, service, tier, view)

    configure({})  # messages about outages go to standard error

    async def watch_list() -> None:
        list_watch = ListWatch(follow, lambda adoption: _print_changes(list(adoption.entries), as_json))
        list_watch.start()
        try:
            await asyncio.sleep(seconds if seconds is not None else float("inf"))
        finally:
            list_watch.stop()

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(watch_list())
    return 0


def _print_changes(entries: list[Entry], as_json: bool) -> None:
    for entry in entries:
        if as_json:
            click.echo(msgspec.json.encode(entry).decode())
        else:
            now = time.strftime("%T")
            click.echo(f"{now} {entry.lifecycle.value:8} {entry.instance_id} {entry.host_port} {entry.zone}")
    sys.stdout.flush()


@command.command()
@ADDRESS_ARGUMENT
@click.argument("id_", metavar="ID")
@click.argument("host_port", metavar="HOST:PORT")
@SERVICE_OPTION
@TIER_OPTION
@click.option("--zone", default="")
@click.option("--kind", default="", help="Machine type of the endpoint.")
@click.option("--cell", type=int, default=0)
@click.option("--weight", type=float, default=1.0, show_default=True)
@click.option(
    "--lease", type=click.FloatRange(0.5, MAX_LEASE_S), help="Lease in seconds; renewed until Ctrl-C."
)
@IF_VERSION_OPTION
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
    """Put a record. Without --lease it stays until removed; with --lease, while this command runs."""
    entry: dict[str, Any] = {
        "instance_id": id_,
        "host_port": host_port,
        "zone": zone,
        "machine_type": kind,
        "cell": cell,
        "weight": weight,
    }
    arguments: dict[str, Any] = {"service": service, "tier": tier, "entry": entry}
    if lease is not None:
        entry["started_at_ms"] = time.time_ns() // 1_000_000
        arguments |= {"owner": secrets.token_hex(8), "lease_ms": int(lease * 1000)}
    record = convert_arguments(arguments, Record)
    request = api.PutRequest(record=record, if_version=if_version)
    response = call_service(address, lambda client: client.post(api.PUT_PATH, request, api.WriteResponse))
    click.echo(f"{id_}: version {response.version}")
    if lease is not None:
        _keep_lease(address, record)
    return 0


def _keep_lease(address: Address, record: Record) -> None:
    """Renew the lease until Ctrl-C, then remove the record."""
    from eiderhub.registry.client import Registration

    async def always_ready() -> bool:
        return True

    async def keep_registered() -> None:
        registration = Registration(record, [address], always_ready)
        registration.start()
        try:
            await asyncio.sleep(float("inf"))
        finally:
            await registration.remove()

    configure({})
    click.echo("held until Ctrl-C", err=True)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(keep_registered())


def _post_record_request(path: str, address: Address, arguments: dict[str, Any]) -> int:
    request = convert_arguments(
        {name: value for name, value in arguments.items() if value is not None}, api.RecordRequest
    )
    response = call_service(address, lambda client: client.post(path, request, api.WriteResponse))
    click.echo(f"{request.id}: version {response.version}")
    return 0


@command.command()
@ADDRESS_ARGUMENT
@click.argument("id_", metavar="ID")
@SERVICE_OPTION
@TIER_OPTION
@click.option("--undo", is_flag=True, help="Let it take requests again.")
@IF_VERSION_OPTION
def drain(address: Address, id_: str, service: str, tier: str, undo: bool, if_version: int | None) -> int:
    """Give an endpoint no new requests, whatever its owner reports, until --undo or its next start."""
    arguments = {"service": service, "tier": tier, "id": id_, "undo": undo, "if_version": if_version}
    return _post_record_request(api.DRAIN_PATH, address, arguments)


@command.command()
@ADDRESS_ARGUMENT
@click.argument("id_", metavar="ID")
@SERVICE_OPTION
@TIER_OPTION
@IF_VERSION_OPTION
def remove(address: Address, id_: str, service: str, tier: str, if_version: int | None) -> int:
    """Remove a record; the process it belonged to cannot register again, but a later start may."""
    arguments = {"service": service, "tier": tier, "id": id_, "if_version": if_version}
    return _post_record_request(api.REMOVE_PATH, address, arguments)


@command.command()
@ADDRESS_ARGUMENT
@JSON_OPTION
def status(address: Address, as_json: bool) -> int:
    """Print the state of the service; exit status 1 if it takes no writes or has no list."""

    async def fetch_status(client: RegistryClient) -> api.StatusResponse:
        return decode_reply(await client.get(api.STATUS_PATH, {}, 2.0), api.StatusResponse)

    response = call_service(address, fetch_status)
    fields: dict[str, Any] = msgspec.to_builtins(response)
    if as_json:
        click.echo(json.dumps(fields, indent=2))
    else:
        for name, value in fields.items():
            click.echo(f"{name:14} {value if value != '' else '-'}")
    return 1 if response.store_failing or not response.identity else 0


@command.group()
def store() -> None:
    """Inspect a store offline; it is not changed, and the service need not be running."""


def _open_store(folder: str) -> tuple[Contents, Core]:
    """Read a store; returns its contents and the state recovered from them.

    Raises:
        click.exceptions.Exit: with status 1, after printing what is wrong with the store.
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
        reason = text if text.startswith(folder) else f"{folder}/{text}"
    except ValueError as error:
        reason = f"{folder}: {error}"
    except OSError as error:
        reason = f"{folder}: {error.strerror or error}"
    click.echo(f"ottercleat: {reason}", err=True)
    raise click.exceptions.Exit(1)


@store.command()
@click.argument("folder", metavar="DIR")
def check(folder: str) -> int:
    """Verify the whole store in DIR: every entry, checksum and number; exit status 1 if it is damaged."""
    contents, core = _open_store(folder)
    for note in contents.warnings:
        click.echo(f"{folder}/{note} at the next start", err=True)
    entries = sum(len(log.frames) for log in contents.logs)
    click.echo(f"{folder}: ok, {entries} log entries, version {core.version}, {len(core.records)} records")
    return 0


@store.command()
@click.argument("folder", metavar="DIR")
@click.option("--log", "with_log", is_flag=True, help="Print the log entries, one JSON object per line.")
def show(folder: str, with_log: bool) -> int:
    """Print the contents of the store in DIR as JSON."""
    contents, core = _open_store(folder)
    if with_log:
        for frame in contents.frames:
            click.echo(frame.payload.decode())
    else:
        click.echo(json.dumps(msgspec.to_builtins(core.image()), indent=2))
    return 0
