"""The operators' commands for the serving tier. They are defopt's; the root hands their words over."""

from __future__ import annotations

import importlib
import json
import sys
from pathlib import Path
from typing import Any

import click
import defopt
import urllib3
from result import Err

from eiderhub.control import configuration
from eiderhub.documents import DocumentError, Fault
from eiderhub.storage.store import LmdbStore, StoreUnusable

CALL_S = 5.0
ROLES = ("control", "edge", "storage")


def _call(
    address: str, method: str, path: str, body: bytes = b"", base: int | None = None
) -> tuple[int, bytes]:
    """One call of the operator's API; a 307 is followed."""
    headers = {"Content-Type": "application/json"}
    if base is not None:
        headers["If-Match"] = str(base)
    pool = urllib3.PoolManager(timeout=CALL_S, retries=False)
    try:
        answer = pool.request(
            method, f"http://{address}{path}", body=body or None, headers=headers, redirect=False
        )
        if answer.status == 307:
            answer = pool.request(method, answer.headers["Location"], body=body or None, headers=headers)
    except urllib3.exceptions.HTTPError as error:
        raise OSError(f"{address}: no answer: {error}") from None
    return answer.status, answer.data


def _print(status: int, body: bytes, wanted: str) -> int:
    text = body.decode("utf-8", "replace")
    if status == 200:
        print(text or wanted)
        return 0
    print(f"ottercleat: answered {status}: {text or 'no reason told'}", file=sys.stderr)
    return 1


def run(role: str, settings: str) -> int:
    """Run one program of the tier.

    :param role: control, edge or storage
    :param settings: the settings file, lines of a.b=value
    """
    if role not in ROLES:
        raise DocumentError("role", [Fault("", f"must be one of {', '.join(ROLES)}; it is {role!r}")])
    importlib.import_module(f"eiderhub.programs.{role}").main(settings=settings)
    return 0


def status(address: str, *, as_json: bool = False) -> int:
    """Say who leads, who is there, and which configuration is in force.

    :param address: a control node's operator address, host:port
    :param as_json: print what the node answers
    """
    code, body = _call(address, "GET", "/status")
    if code != 200 or as_json:
        return _print(code, body, "")
    told: dict[str, Any] = json.loads(body)
    for key in ("node", "leads", "epoch", "version", "generation", "primary", "sidecars"):
        print(f"{key:<12}{told[key]}")
    for version, count in told.get("wire_versions", {}).items():
        print(f"  wire version {version}: {count} processes")
    for node in told["nodes"]:
        print(f"  {node['role']:<9}{node['name']:<28}{node['zone']:<20}wire {node.get('wire_version', 1)}")
    return 0


def config_get(address: str) -> int:
    """Print the newest configuration.

    :param address: a control node's operator address, host:port
    """
    return _print(*_call(address, "GET", "/config"), "")


def config_put(address: str, file: Path, *, base: int, patch: bool = False) -> int:
    """Put a configuration, or with --patch a change of named items.

    :param address: a control node's operator address, host:port
    :param file: the JSON document
    :param base: the generation that it builds on; 0 for the first
    :param patch: the document is a patch
    """
    body = file.read_bytes()
    code, answer = _call(address, "PATCH" if patch else "PUT", "/config", body, base)
    return _print(code, answer, "in force")


def config_check(file: Path) -> int:
    """Say whether a whole configuration is valid, and what is wrong with it.

    :param file: the JSON document
    """
    checked = configuration.parse(file.read_bytes()).and_then(configuration.validate)
    if isinstance(checked, Err):
        print(f"{file}: {checked.err_value.reason}", file=sys.stderr)
        return 1
    print(f"{file}: valid, {len(checked.ok_value['routes'])} routes")
    return 0


def retire(address: str, node: str, *, deadline_s: float = 60.0, ask: bool = False) -> int:
    """Have a storage node emptied, or with --ask say how far that is.

    :param address: a control node's operator address, host:port
    :param node: the storage node's name
    :param deadline_s: by when it should be empty, in seconds
    :param ask: only ask
    """
    body = b"" if ask else json.dumps({"deadline_s": deadline_s}).encode()
    return _print(*_call(address, "GET" if ask else "POST", f"/retire/{node}", body), "taken")


def store_check(folder: Path) -> int:
    """Read a node's store, offline, from end to end.

    :param folder: its data folder
    """
    store = _open(folder)
    entries = store.entries()
    size = sum(len(e.key) + len(e.value or b"") for e in entries)
    position = store.position
    print(f"{store.identity}: epoch {position.epoch}, version {position.version}, granted {store.epoch}")
    print(f"{len(entries)} entries, {size} bytes")
    return 0


def store_show(folder: Path, *, prefix: str = "") -> int:
    """Print the keys of a node's store, offline, with the size of each value.

    :param folder: its data folder
    :param prefix: only keys that begin so
    """
    for key, value in _open(folder).scan(prefix):
        print(f"{len(value):>9}  {key}")
    return 0


def _open(folder: Path) -> LmdbStore:
    try:
        return LmdbStore(folder, 0, read_only=True)
    except StoreUnusable as error:
        raise DocumentError("store", [Fault("", str(error))]) from None


FUNCTIONS = [run, status, config_get, config_put, config_check, retire, store_check, store_show]


@click.command(
    context_settings={"ignore_unknown_options": True, "allow_extra_args": True, "help_option_names": []},
    add_help_option=False,
)
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def command(words: tuple[str, ...]) -> int:
    """Run and operate the serving tier."""
    try:
        return int(defopt.run(FUNCTIONS, argv=list(words), short={}))
    except SystemExit as ended:
        return ended.code if isinstance(ended.code, int) else 2
