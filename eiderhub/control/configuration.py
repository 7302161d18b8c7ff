"""The operator's configuration: what a valid one is, how changes apply, and which change wins a race.

Pure. A configuration is kept as the JSON document that the operator sent, unknown keys included, since it is
read back as it was sent.
"""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from functools import lru_cache
from importlib.resources import files
from typing import Any, NamedTuple

from result import Err, Ok, Result

from eiderhub.control.errors import ErrorKind, Refusal
from eiderhub.coordination.messages import Write

CURRENT_KEY = "config/current"
TAKEN_PREFIX = "config/taken/"  # digest of the change that made a generation
FORGOTTEN_KEY = "config/forgotten"  # the last generation whose change is remembered no more
KEPT_CHANGES = 20_000  # changes that are remembered, so that one that is sent again is known
PURGED_CHANGES = 500  # that are forgotten at once
LISTS = ("routes", "backends", "tenants")

Document = dict[str, Any]


class Change(NamedTuple):
    """One call of the operator."""

    base: int  # generation that it builds on
    patch: bool
    body: bytes

    @property
    def digest(self) -> bytes:
        kind = b"patch" if self.patch else b"put"
        return hashlib.sha256(b"%s %d " % (kind, self.base) + self.body).hexdigest().encode()


class Accepted(NamedTuple):
    """What to write for a change that won; no writes: it is in force already."""

    generation: int
    writes: list[Write]


def _invalid(why: str) -> Err[Refusal]:
    return Err(Refusal(ErrorKind.INVALID, why))


def _depth(error: Any) -> int:
    """The fault that is nearest to the document's top says most."""
    return len(error.absolute_path)


@lru_cache(maxsize=1)
def _validator() -> Any:
    import jsonschema  # only the primary needs it, some time after its start

    schema = json.loads(files("eiderhub.control").joinpath("configuration.schema.json").read_text())
    return jsonschema.Draft202012Validator(schema)


def _without_repeats(pairs: list[tuple[str, Any]]) -> Document:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise ValueError("a key stands twice in one object")
    return found


def read(body: bytes) -> Result[Document, Refusal]:
    """A JSON object, whole."""
    try:
        document = json.loads(body, object_pairs_hook=_without_repeats)
    except (ValueError, RecursionError) as error:
        return _invalid(f"no JSON: {error}")
    return Ok(document) if isinstance(document, dict) else _invalid("no JSON object")


def generation_of(body: bytes) -> int:
    """Of a configuration that has been checked."""
    return int(read(body).unwrap()["generation"])


def services_of(route: Document) -> list[tuple[str, float]]:
    """The services that a route names, with their weights."""
    if route.get("weighted_backends"):
        return [(each["backend"], each["weight"]) for each in route["weighted_backends"]]
    return [(route["backend"], 1.0)] if "backend" in route else []


def check(document: Document) -> Result[Document, Refusal]:
    """Whether a whole configuration is valid, by PROTOCOL."""
    error = next(iter(sorted(_validator().iter_errors(document), key=_depth)), None)
    if error is not None:
        return _invalid(f"{error.json_path}: {error.message}"[:300])
    for kind in LISTS:
        names = Counter(item["name"] for item in document.get(kind, []))
        twice = [name for name, times in names.items() if times > 1]
        if twice:
            return _invalid(f"{kind}: {twice[0]} stands twice")
    capped = Counter(
        route for tenant in document.get("tenants", []) for route in set(tenant.get("routes", []))
    )
    if any(times > 1 for times in capped.values()):
        return _invalid("tenants: a route belongs to two")
    known = {backend["name"] for backend in document["backends"]}
    places: set[tuple[str, str]] = set()
    for route in document["routes"]:
        services = services_of(route)
        unknown = [name for name, _ in services if name not in known]
        if unknown or not services:
            return _invalid(f"route {route['name']}: unknown service {', '.join(unknown) or '(none named)'}")
        if sum(weight for _, weight in services) <= 0:
            return _invalid(f"route {route['name']}: its weights sum to 0")
        place = (route["host"].lower(), route["path_prefix"])
        if place in places:
            return _invalid(f"route {route['name']}: another route has its host and prefix")
        places.add(place)
    return Ok(document)


def patched(current: Document, patch: Document) -> Result[Document, Refusal]:
    """The configuration with a patch's named items put in, replaced and removed."""
    upsert, remove = patch.get("upsert", {}), patch.get("remove", {})
    if not isinstance(upsert, dict) or not isinstance(remove, dict):
        return _invalid("upsert and remove must be objects")
    made = dict(current) | {"generation": patch.get("generation")}
    for kind in LISTS:
        items, names = upsert.get(kind, []), remove.get(kind, [])
        if not isinstance(items, list) or not isinstance(names, list):
            return _invalid(f"{kind}: upsert and remove take lists")
        if not all(isinstance(item, dict) and isinstance(item.get("name"), str) for item in items):
            return _invalid(f"upsert.{kind}: each item needs a name")
        new = {item["name"]: item for item in items}
        if len(new) != len(items):
            return _invalid(f"upsert.{kind}: a name stands twice")
        kept = [new.pop(item["name"], item) for item in current.get(kind, []) if item["name"] not in names]
        kept += [item for item in new.values() if item["name"] not in names]
        if kept or kind in current:
            made[kind] = kept
    if "limits" in upsert:
        made["limits"] = upsert["limits"]
    return Ok(made)


def difference(old: Document, new: Document) -> Document | None:
    """A patch that makes the new configuration of the old one; None where none can."""
    patch: Document = {"generation": new["generation"], "upsert": {}, "remove": {}}
    for kind in LISTS:
        before = {item["name"]: item for item in old.get(kind, [])}
        after = {item["name"]: item for item in new.get(kind, [])}
        changed = [item for name, item in after.items() if before.get(name) != item]
        removed = [name for name in before if name not in after]
        patch["upsert"] |= {kind: changed} if changed else {}
        patch["remove"] |= {kind: removed} if removed else {}
    if new.get("limits") != old.get("limits") and "limits" in new:
        patch["upsert"]["limits"] = new["limits"]
    return patch if patched(old, patch).unwrap() == new else None


def decide(
    current: Document | None, taken: bytes | None, forgotten: int, change: Change, document: Document
) -> Result[Accepted, Refusal]:
    """What becomes of a change on top of the newest configuration.

    `taken` is the digest of the change that made the generation which this one asks for, `forgotten` the last
    generation of which that is not known any more; `document` is the change's own body as read.
    """
    generation = document.get("generation")
    if not isinstance(generation, int) or isinstance(generation, bool):
        return _invalid("generation: must be a whole number")
    if taken == change.digest:
        return Ok(Accepted(generation, []))
    if generation <= forgotten and change.base < generation:
        return Err(Refusal(ErrorKind.UNCERTAIN, f"generation {generation} is too long ago to tell"))
    newest = current["generation"] if current else 0
    if change.base != newest:
        return Err(Refusal(ErrorKind.STALE_VERSION, f"generation {newest} is in place"))
    if generation <= newest:
        return _invalid(f"generation: must be above {newest}")
    if change.patch and current is None:
        return _invalid("there is no configuration to change")
    whole = patched(current, document) if change.patch and current else Ok(document)
    checked = whole.and_then(check)
    if isinstance(checked, Err):
        return checked
    body = json.dumps(checked.ok_value, separators=(",", ":")).encode()
    writes = [
        Write(CURRENT_KEY, body),
        Write(f"{TAKEN_PREFIX}{generation}", change.digest),
    ]
    return Ok(Accepted(generation, writes))


def purge(taken: list[int], accepted: Accepted) -> list[Write]:
    """What to write so that a bounded number of changes is remembered; `taken` are their generations, rising.

    A change that is forgotten and sent again gets no clear answer: it can't be told from one that lost a
    race, and one that was taken must not be refused.
    """
    if not accepted.writes or len(taken) < KEPT_CHANGES + PURGED_CHANGES:
        return []
    old = taken[:PURGED_CHANGES]
    return [
        *(Write(f"{TAKEN_PREFIX}{generation}", None) for generation in old),
        Write(FORGOTTEN_KEY, str(old[-1]).encode()),
    ]
