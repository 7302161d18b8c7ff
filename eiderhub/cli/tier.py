"""`ottercleat tier`: operator commands of the serving tier, parsed by defopt instead of click."""

from __future__ import annotations

import importlib
import json
import sys
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click
import defopt
import urllib3
from result import Err

from eiderhub.control import configuration
from eiderhub.documents import DocumentError, Fault
from eiderhub.storage.store import LmdbStore, StoreUnusable

CALL_TIMEOUT_S = 5.0
ROLES = ("control", "edge", "storage")


def _call(
    address: str, method: str, path: str, body: bytes = b"", base_generation: int | None = None
) -> tuple[int, bytes]:
    """Make one call to the operator API; a 307 redirect is followed."""
    headers = {"Content-Type": "application/json"}
    if base_generation is not None:
        headers["If-Match"] = str(base_generation)
    pool = urllib3.PoolManager(timeout=CALL_TIMEOUT_S, retries=False)
    try:
        response = pool.request(
            method, f"http://{address}{path}", body=body or None, headers=headers, redirect=False
        )
        if response.status == 307:
            response = pool.request(method, response.headers["Location"], body=body or None, headers=headers)
    except urllib3.exceptions.HTTPError as error:
        raise OSError(f"{address}: no answer: {error}") from None
    return response.status, response.data


def _print_answer(status: int, body: bytes, default_text: str) -> int:
    text = body.decode("utf-8", "replace")
    if status == 200:
        print(text or default_text)
        return 0
    print(f"ottercleat: answered {status}: {text or 'no reason given'}", file=sys.stderr)
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
    """Print the leader, the nodes, and the configuration in force.

    :param address: a control node's operator address, host:port
    :param as_json: print the node's answer as JSON
    """
    code, body = _call(address, "GET", "/status")
    if code != 200 or as_json:
        return _print_answer(code, body, "")
    fields: dict[str, Any] = json.loads(body)
    for key in ("node", "leads", "epoch", "version", "generation", "primary", "sidecars"):
        print(f"{key:<12}{fields[key]}")
    if fields.get("losses_borne") is not None:
        print(f"{'bears':<12}{fields['losses_borne']} of {fields['losses_to_bear']} losses")
    for version, count in fields.get("wire_versions", {}).items():
        print(f"  wire version {version}: {count} processes")
    for node in fields["nodes"]:
        print(f"  {node['role']:<9}{node['name']:<28}{node['zone']:<20}wire {node.get('wire_version', 1)}")
    return 0


def config_get(address: str) -> int:
    """Print the newest configuration.

    :param address: a control node's operator address, host:port
    """
    return _print_answer(*_call(address, "GET", "/config"), "")


def config_put(address: str, file: Path, *, base: int, patch: bool = False) -> int:
    """Store a configuration, or with --patch change named items of it.

    :param address: a control node's operator address, host:port
    :param file: the JSON document
    :param base: the generation that the document is based on; 0 for the first
    :param patch: the document is a patch
    """
    body = file.read_bytes()
    code, answer = _call(address, "PATCH" if patch else "PUT", "/config", body, base)
    return _print_answer(code, answer, "in force")


def config_check(file: Path) -> int:
    """Check whether a whole configuration is valid, and report what is wrong with it.

    :param file: the JSON document
    """
    checked = configuration.parse(file.read_bytes()).and_then(configuration.validate)
    if isinstance(checked, Err):
        print(f"{file}: {checked.err_value.reason}", file=sys.stderr)
        return 1
    print(f"{file}: valid, {len(checked.ok_value['routes'])} routes")
    return 0


def retire(address: str, node: str, *, deadline_s: float = 60.0, ask: bool = False) -> int:
    """Retire a storage node by moving its data away, or with --ask print the progress.

    :param address: a control node's operator address, host:port
    :param node: the storage node's name
    :param deadline_s: seconds within which it should be empty
    :param ask: only print the progress
    """
    body = b"" if ask else json.dumps({"deadline_s": deadline_s}).encode()
    path = f"/retire/{quote(node, safe='')}"
    return _print_answer(*_call(address, "GET" if ask else "POST", path, body), "taken")


def store_check(folder: Path) -> int:
    """Verify a node's store offline by reading all of it.

    :param folder: the node's data folder
    """
    store = _open_store(folder)
    entries = store.entries()
    size = sum(len(e.key) + len(e.value or b"") for e in entries)
    position = store.position
    print(f"{store.identity}: epoch {position.epoch}, version {position.version}, granted {store.epoch}")
    print(f"{len(entries)} entries, {size} bytes")
    return 0


def store_show(folder: Path, *, prefix: str = "") -> int:
    """Print the keys in a node's store, offline, with the size of each value.

    :param folder: the node's data folder
    :param prefix: print only keys with this prefix
    """
    for key, value in _open_store(folder).scan(prefix):
        print(f"{len(value):>9}  {key}")
    return 0


def _open_store(folder: Path) -> LmdbStore:
    try:
        return LmdbStore(folder, 0, read_only=True)
    except StoreUnusable as error:
        raise DocumentError("store", [Fault("", str(error))]) from None


COMMAND_FUNCTIONS = [run, status, config_get, config_put, config_check, retire, store_check, store_show]


@click.command(
    context_settings={"ignore_unknown_options": True, "allow_extra_args": True, "help_option_names": []},
    add_help_option=False,
)
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def command(words: tuple[str, ...]) -> int:
    """Run and operate the serving tier."""
    try:
        return int(defopt.run(COMMAND_FUNCTIONS, argv=list(words), short={}))
    except SystemExit as exit_request:
        return exit_request.code if isinstance(exit_request.code, int) else 2
