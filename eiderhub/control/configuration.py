"""The operator's configuration: parsing, validation, patches, and optimistic concurrency control of changes.

Performs no I/O. A configuration is stored as the JSON document that the operator sent, including unknown
keys, because it must be returned as it was sent.
"""

from __future__ import annotations

import hashlib
import json
import math
from collections import Counter
from collections.abc import Iterator
from functools import lru_cache
from typing import Any, NamedTuple
from urllib.parse import quote

from result import Err, Ok, Result

from eiderhub.control.errors import ErrorKind, Refusal
from eiderhub.coordination.messages import Write

CURRENT_KEY = "config/current"
CHANGE_DIGEST_PREFIX = "config/taken/"  # digest of the change that created a generation
LAST_PURGED_KEY = "config/forgotten"  # the last generation whose digest was purged
RETAINED_CHANGES = 20_000  # digests retained to recognize a change that is sent again
PURGE_BATCH = 500  # digests deleted at once
# What a path may hold as it is; clients encode the rest.
PATH_CHARACTERS = "".join(map(chr, range(0x21, 0x7F)))
NAMED_LISTS = ("routes", "backends", "tenants")
MAX_GENERATION = (1 << 63) - 1
MAX_REASON_CHARACTERS = 300
MAX_NESTING = 100  # of objects and lists; processes that apply a configuration recurse over it
BYTE_ORDER_MARK = b"\xef\xbb\xbf"

Document = dict[str, Any]


class Change(NamedTuple):
    """A PUT or PATCH request of the operator."""

    base_generation: int  # generation that the change applies to
    is_patch: bool
    body: bytes

    @property
    def digest(self) -> bytes:
        method = b"patch" if self.is_patch else b"put"
        return hashlib.sha256(b"%s %d " % (method, self.base_generation) + self.body).hexdigest().encode()


class Accepted(NamedTuple):
    """An accepted change. `writes` is empty if the change is already in force."""

    generation: int
    writes: list[Write]


def _invalid(reason: str) -> Err[Refusal]:
    return Err(Refusal(ErrorKind.INVALID, reason))


@lru_cache(maxsize=1)
def _validator() -> Any:
    # Imported on first use: only the primary needs these modules, and not during start-up.
    from importlib.resources import files

    import jsonschema

    schema = json.loads(files("eiderhub.control").joinpath("configuration.schema.json").read_text())
    return jsonschema.Draft202012Validator(schema)


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> Document:
    members = dict(pairs)
    if len(members) != len(pairs):
        raise ValueError("duplicate key in an object")
    return members


def _reject_constant(text: str) -> float:
    raise ValueError(f"{text} is not a valid JSON number")


def _parse_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text[:20]} is out of range for a double")
    return value


def _parse_int(text: str) -> int:
    _parse_float(text)
    return int(text)


def _nesting(document: Any) -> int:
    """How deeply objects and lists are nested in a value."""
    depth, level = 0, [document]
    while level := [each for each in level if isinstance(each, dict | list)]:
        depth += 1
        level = [child for each in level for child in (each.values() if isinstance(each, dict) else each)]
    return depth


def parse(body: bytes) -> Result[Document, Refusal]:
    """Parse a JSON object by RFC 8259: UTF-8, no NaN, no duplicate keys, numbers in range of a double.

    A leading byte order mark is ignored, as the RFC allows. Nesting is limited, as it also allows.
    """
    try:
        document = json.loads(
            body.removeprefix(BYTE_ORDER_MARK).decode(),
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
            parse_float=_parse_float,
            parse_int=_parse_int,
        )
        json.dumps(document, ensure_ascii=False).encode()  # raises for an unpaired surrogate
    except (ValueError, RecursionError) as error:
        return _invalid(f"not valid JSON: {error}")
    if _nesting(document) > MAX_NESTING:
        return _invalid(f"objects and lists are nested more than {MAX_NESTING} deep")
    return Ok(document) if isinstance(document, dict) else _invalid("not a JSON object")


def parse_stored(body: bytes) -> Document:
    """Parse a stored configuration, which was validated when accepted, possibly by an older release."""
    document: Document = json.loads(body)
    return document


def generation_of(body: bytes) -> int:
    """The generation of a valid configuration."""
    return int(parse_stored(body)["generation"])


def weighted_services(route: Document) -> list[tuple[str, float]]:
    """The services that a route refers to, with their weights."""
    if route.get("weighted_backends"):
        return [(entry["backend"], entry["weight"]) for entry in route["weighted_backends"]]
    return [(route["backend"], 1.0)] if "backend" in route else []


def encoded_prefix(prefix: str) -> str:
    """A path prefix as clients have to write it."""
    return quote(prefix, safe=PATH_CHARACTERS)


class SchemaError(NamedTuple):
    """A violation of the JSON schema, and its path in the document."""

    path: tuple[str | int, ...]
    message: str


def schema_errors(document: Document) -> Iterator[SchemaError]:
    """All schema violations of a document. Takes about 0.4 ms of CPU time per route."""
    for error in _validator().iter_errors(document):
        yield SchemaError(tuple(error.absolute_path), error.message)


def _items_by_name(document: Document, list_name: str) -> Document:
    """The items of a list; the document must satisfy the schema."""
    return {item["name"]: item for item in document.get(list_name, [])}


def _unchecked_indices(items: list[Any], list_name: str, valid: tuple[Document, ...]) -> list[int]:
    """Where items are that are in none of the valid documents."""
    valid_items = [_items_by_name(each, list_name) for each in valid]
    return [
        index
        for index, item in enumerate(items)
        if not any(_is_unchanged(item, each) for each in valid_items)
    ]


def _first_error(document: Document, valid: tuple[Document, ...]) -> SchemaError | None:
    """The schema violation nearest to the document root. Items of the `valid` documents are skipped.

    Validation blocks the primary, which must also renew its lease: validating every item of a large
    configuration would let the lease expire.
    """
    indices: dict[str, list[int]] = {}
    reduced = dict(document)
    for list_name in NAMED_LISTS:
        items = document.get(list_name)
        if isinstance(items, list):
            indices[list_name] = _unchecked_indices(items, list_name, valid)
            reduced[list_name] = [items[index] for index in indices[list_name]]
    error = min(schema_errors(reduced), key=lambda error: len(error.path), default=None)
    if error is None or len(error.path) < 2 or error.path[0] not in indices:
        return error
    list_name, reduced_index = str(error.path[0]), int(error.path[1])
    return SchemaError((list_name, indices[list_name][reduced_index], *error.path[2:]), error.message)


def _is_unchanged(item: Any, valid_items: Document) -> bool:
    """Whether a valid configuration has an identical item.

    Representations are compared, since 1, 1.0 and true are equal in Python but not in JSON.
    """
    if not isinstance(item, dict) or not isinstance(item.get("name"), str):
        return False
    valid_item = valid_items.get(item["name"])
    return valid_item is not None and (valid_item is item or repr(valid_item) == repr(item))


def _json_path(path: tuple[str | int, ...]) -> str:
    return "$" + "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in path)


def _schema_refusal(error: SchemaError) -> Refusal:
    return Refusal(ErrorKind.INVALID, f"{_json_path(error.path)}: {error.message}"[:MAX_REASON_CHARACTERS])


def validate(document: Document, *valid: Document) -> Result[Document, Refusal]:
    """Validate a complete configuration against the protocol specification.

    Items that equal one of the `valid` documents are not checked against the schema again.
    """
    error = _first_error(document, valid)
    if error is not None:
        return Err(_schema_refusal(error))
    for list_name in NAMED_LISTS:
        names = Counter(item["name"] for item in document.get(list_name, []))
        duplicates = [name for name, count in names.items() if count > 1]
        if duplicates:
            return _invalid(f"{list_name}: duplicate name {duplicates[0]}")
    tenants_per_route = Counter(
        route for tenant in document.get("tenants", []) for route in set(tenant.get("routes", []))
    )
    if any(count > 1 for count in tenants_per_route.values()):
        return _invalid("tenants: a route belongs to more than one tenant")
    service_names = {backend["name"] for backend in document["backends"]}
    host_prefixes: set[tuple[str, str]] = set()
    for route in document["routes"]:
        services = weighted_services(route)
        referenced = [name for name, _ in services] + [route[key] for key in ("backend",) if key in route]
        unknown = sorted({name for name in referenced if name not in service_names})
        if unknown or not services:
            return _invalid(f"route {route['name']}: unknown service {', '.join(unknown) or '(none given)'}")
        if sum(weight for _, weight in services) <= 0:
            return _invalid(f"route {route['name']}: the weights sum to 0")
        host_prefix = (route["host"].lower(), encoded_prefix(route["path_prefix"]))
        if host_prefix in host_prefixes:
            return _invalid(f"route {route['name']}: another route has the same host and path prefix")
        host_prefixes.add(host_prefix)
    return Ok(document)


class ItemCheck(NamedTuple):
    """The items of a change that satisfy the schema, by list, or why one does not."""

    valid: Document
    refusal: Refusal | None = None


class CheckedBody(NamedTuple):
    """The body of a change, as far as it can be checked without the configuration that it changes."""

    document: Result[Document, Refusal]
    items: ItemCheck


def check_body(body: bytes, is_patch: bool, valid: Document) -> CheckedBody:
    """Parse a body and check its items, but for those of `valid`. Takes long if there are many."""
    parsed = parse(body)
    if isinstance(parsed, Err):
        return CheckedBody(parsed, ItemCheck({}))
    items = _patched_items(parsed.ok_value) if is_patch else _items(parsed.ok_value)
    error = _first_error({"generation": 1, "routes": [], "backends": []} | items, (valid,))
    check = ItemCheck(items) if error is None else ItemCheck({}, _schema_refusal(error))
    return CheckedBody(parsed, check)


def _items(document: Document) -> Document:
    return {name: document[name] for name in NAMED_LISTS if isinstance(document.get(name), list)}


def _patched_items(patch: Document) -> Document:
    """The items that a patch adds or replaces."""
    upsert, remove = patch.get("upsert"), patch.get("remove")
    items = _items(upsert) if isinstance(upsert, dict) else {}
    removed = _items(remove) if isinstance(remove, dict) else {}
    return {
        name: [i for i in each if not isinstance(i, dict) or i.get("name") not in removed.get(name, [])]
        for name, each in items.items()
    }


def apply_patch(current: Document, patch: Document) -> Result[Document, Refusal]:
    """Apply a patch: add, replace and remove items by name."""
    upsert, remove = patch.get("upsert", {}), patch.get("remove", {})
    if not isinstance(upsert, dict) or not isinstance(remove, dict):
        return _invalid("upsert and remove must be objects")
    updated = dict(current) | {"generation": patch.get("generation")}
    for list_name in NAMED_LISTS:
        items, names = upsert.get(list_name, []), remove.get(list_name, [])
        if not isinstance(items, list) or not isinstance(names, list):
            return _invalid(f"{list_name}: upsert and remove must be lists")
        if not all(isinstance(item, dict) and isinstance(item.get("name"), str) for item in items):
            return _invalid(f"upsert.{list_name}: each item must have a name")
        upserted = {item["name"]: item for item in items}
        if len(upserted) != len(items):
            return _invalid(f"upsert.{list_name}: duplicate name")
        merged = [
            upserted.pop(item["name"], item)
            for item in current.get(list_name, [])
            if item["name"] not in names
        ]
        merged += [item for item in upserted.values() if item["name"] not in names]
        if merged or list_name in current:
            updated[list_name] = merged
    if "limits" in upsert:
        updated["limits"] = upsert["limits"]
    return Ok(updated)


def diff(old: Document, new: Document) -> Document | None:
    """A patch that turns the old configuration into the new one; None if no patch can express the change."""
    patch: Document = {"generation": new["generation"], "upsert": {}, "remove": {}}
    for list_name in NAMED_LISTS:
        before = {item["name"]: item for item in old.get(list_name, [])}
        after = {item["name"]: item for item in new.get(list_name, [])}
        changed = [item for name, item in after.items() if before.get(name) != item]
        removed = [name for name in before if name not in after]
        patch["upsert"] |= {list_name: changed} if changed else {}
        patch["remove"] |= {list_name: removed} if removed else {}
    if new.get("limits") != old.get("limits") and "limits" in new:
        patch["upsert"]["limits"] = new["limits"]
    return patch if apply_patch(old, patch).unwrap() == new else None


def requested_generation(document: Document) -> Result[int, Refusal]:
    """The generation that a change asks for."""
    generation = document.get("generation")
    if not isinstance(generation, int) or isinstance(generation, bool) or generation > MAX_GENERATION:
        return _invalid(f"generation: must be an integer up to {MAX_GENERATION}")
    return Ok(generation)


def decide(
    current: Document | None,
    recorded_digest: bytes | None,
    last_purged: int,
    change: Change,
    document: Document,
    items: ItemCheck | None = None,
) -> Result[Accepted, Refusal]:
    """Decide on a change of the current configuration.

    Args:
        recorded_digest: digest of the change that created the generation which this change asks for, if any.
        last_purged: the last generation whose digest has been purged.
        document: the parsed body of the change.
        items: the outcome of `check_body`, so that its items are not checked here.
    """
    requested = requested_generation(document)
    if isinstance(requested, Err):
        return requested
    generation = requested.ok_value
    if recorded_digest == change.digest:
        return Ok(Accepted(generation, []))
    if generation <= last_purged and change.base_generation < generation:
        return Err(
            Refusal(
                ErrorKind.UNCERTAIN,
                f"generation {generation} is too old to tell whether this change was accepted",
            )
        )
    current_generation = current["generation"] if current else 0
    if change.base_generation != current_generation:
        return Err(Refusal(ErrorKind.STALE_VERSION, f"generation {current_generation} is in place"))
    if generation <= current_generation:
        return _invalid(f"generation: must be greater than {current_generation}")
    if change.is_patch and current is None:
        return _invalid("there is no configuration to patch")
    merged = apply_patch(current, document) if change.is_patch and current else Ok(document)
    if items is not None and items.refusal is not None:
        return Err(items.refusal)
    known = [current or {}, items.valid if items is not None else {}]
    validated = merged.and_then(lambda candidate: validate(candidate, *known))
    if isinstance(validated, Err):
        return validated
    body = json.dumps(validated.ok_value, separators=(",", ":")).encode()
    writes = [
        Write(CURRENT_KEY, body),
        Write(f"{CHANGE_DIGEST_PREFIX}{generation}", change.digest),
    ]
    return Ok(Accepted(generation, writes))


def purge(retained: list[int], accepted: Accepted) -> list[Write]:
    """Writes that delete the oldest change digests; `retained` are their generations in ascending order.

    A change whose digest was purged and that is sent again gets an uncertain answer: it cannot be
    distinguished from one that lost a race, and a change that was accepted must never be refused.
    """
    if not accepted.writes or len(retained) < RETAINED_CHANGES + PURGE_BATCH:
        return []
    purged = retained[:PURGE_BATCH]
    return [
        *(Write(f"{CHANGE_DIGEST_PREFIX}{generation}", None) for generation in purged),
        Write(LAST_PURGED_KEY, str(purged[-1]).encode()),
    ]
