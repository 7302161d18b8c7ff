"""The operator's configuration: what a valid one is, how changes apply, and which change wins a race.

Pure. A configuration is kept as the JSON document that the operator sent, unknown keys included, since it is
read back as it was sent.
"""

from __future__ import annotations

import hashlib
import json
import math
from collections import Counter
from collections.abc import Iterator
from functools import lru_cache
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
MOST_GENERATION = (1 << 63) - 1
BYTE_ORDER_MARK = b"\xef\xbb\xbf"

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


@lru_cache(maxsize=1)
def _validator() -> Any:
    # Only the primary needs these, some time after its start.
    from importlib.resources import files

    import jsonschema

    schema = json.loads(files("eiderhub.control").joinpath("configuration.schema.json").read_text())
    return jsonschema.Draft202012Validator(schema)


def _without_repeats(pairs: list[tuple[str, Any]]) -> Document:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise ValueError("a key stands twice in one object")
    return found


def _no_number(text: str) -> float:
    raise ValueError(f"{text} is no number in JSON")


def _finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text[:20]} is beyond what a double holds")
    return value


def _whole(text: str) -> int:
    _finite(text)
    return int(text)


def read(body: bytes) -> Result[Document, Refusal]:
    """A JSON object, whole, by RFC 8259: UTF-8, no NaN, each key once, numbers that a double holds.

    A byte order mark is ignored, as the standard allows.
    """
    try:
        document = json.loads(
            body.removeprefix(BYTE_ORDER_MARK).decode(),
            object_pairs_hook=_without_repeats,
            parse_constant=_no_number,
            parse_float=_finite,
            parse_int=_whole,
        )
        json.dumps(document, ensure_ascii=False).encode()  # fails at half a surrogate pair
    except (ValueError, RecursionError) as error:
        return _invalid(f"no JSON: {error}")
    return Ok(document) if isinstance(document, dict) else _invalid("no JSON object")


def stored(body: bytes) -> Document:
    """A configuration that was checked when it was taken, perhaps by an earlier version of this program."""
    document: Document = json.loads(body)
    return document


def generation_of(body: bytes) -> int:
    """Of a configuration that has been checked."""
    return int(stored(body)["generation"])


def services_of(route: Document) -> list[tuple[str, float]]:
    """The services that a route names, with their weights."""
    if route.get("weighted_backends"):
        return [(each["backend"], each["weight"]) for each in route["weighted_backends"]]
    return [(route["backend"], 1.0)] if "backend" in route else []


class SchemaError(NamedTuple):
    """What a document has that the schema does not allow, and where."""

    path: tuple[str | int, ...]
    message: str


def schema_errors(document: Document) -> Iterator[SchemaError]:
    """All of them. Costs about 0.4 ms for each route of the document, on a whole core."""
    for error in _validator().iter_errors(document):
        yield SchemaError(tuple(error.absolute_path), error.message)


def _first_error(document: Document, valid: Document) -> SchemaError | None:
    """The fault that is nearest to the document's top; items that stand in `valid` are not looked at again.

    Danger: the primary checks beside its lease. A check that looks at all items lets it lapse where there are
    many, for each change of one.
    """
    places: dict[str, list[int]] = {}
    changed = dict(document)
    for kind in LISTS:
        items = document.get(kind)
        if isinstance(items, list):
            known = {item["name"]: item for item in valid.get(kind, [])}
            places[kind] = [n for n, item in enumerate(items) if not _is_known(item, known)]
            changed[kind] = [items[n] for n in places[kind]]
    error = min(schema_errors(changed), key=lambda error: len(error.path), default=None)
    if error is None or len(error.path) < 2 or error.path[0] not in places:
        return error
    kind, number = str(error.path[0]), int(error.path[1])
    return SchemaError((kind, places[kind][number], *error.path[2:]), error.message)


def _is_known(item: Any, known: Document) -> bool:
    """Whether an item stands in a valid configuration just so; 1, 1.0 and true are not the same in JSON."""
    if not isinstance(item, dict) or not isinstance(item.get("name"), str):
        return False
    same = known.get(item["name"])
    return same is not None and (same is item or repr(same) == repr(item))


def _json_path(path: tuple[str | int, ...]) -> str:
    return "$" + "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in path)


def check(document: Document, valid: Document | None = None) -> Result[Document, Refusal]:
    """Whether a whole configuration is valid, by PROTOCOL; `valid` is one that has been checked."""
    error = _first_error(document, valid or {})
    if error is not None:
        return _invalid(f"{_json_path(error.path)}: {error.message}"[:300])
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
        named = [name for name, _ in services] + [route[key] for key in ("backend",) if key in route]
        unknown = sorted({name for name in named if name not in known})
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
    if not isinstance(generation, int) or isinstance(generation, bool) or generation > MOST_GENERATION:
        return _invalid(f"generation: must be a whole number up to {MOST_GENERATION}")
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
    checked = whole.and_then(lambda made: check(made, current))
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
