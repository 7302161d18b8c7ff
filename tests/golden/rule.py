"""The compatibility rule of docs/upgrades.md: how messages and records may differ between revisions."""

from __future__ import annotations

import typing
from enum import Enum
from typing import Any

import msgspec

from eiderhub.coordination.wire import Feature
from tests.golden.samples import union_types

Struct = type[msgspec.Struct]


def nested_types(kinds: list[Struct]) -> dict[str, type]:
    """These types and all structs and enumerations in their fields, by name."""
    found: dict[str, type] = {}
    pending: list[Any] = list(kinds)
    while pending:
        kind = pending.pop()
        pending += typing.get_args(kind)
        if not isinstance(kind, type) or kind.__name__ in found:
            continue
        if issubclass(kind, Enum):
            found[kind.__name__] = kind
        elif issubclass(kind, msgspec.Struct):
            found[kind.__name__] = kind
            pending += typing.get_type_hints(kind).values()
    return found


def _type_name(annotation: Any) -> str:
    """The name of a field's type without modules, so that types of two revisions compare equal."""
    arguments = typing.get_args(annotation)
    if not arguments:
        return getattr(annotation, "__name__", str(annotation))
    origin = typing.get_origin(annotation)
    return f"{getattr(origin, '__name__', origin)}[{', '.join(sorted(map(_type_name, arguments)))}]"


def struct_faults(older: Struct, newer: Struct) -> list[str]:
    """The violations of the rule by one struct."""
    name = older.__name__
    if older.__struct_config__.tag != newer.__struct_config__.tag:
        return [f"{name}: the tag was changed"]
    if older.__struct_config__.array_like != newer.__struct_config__.array_like:
        return [f"{name}: the encoding (array_like) was changed"]
    faults = []
    old_fields, new_fields = msgspec.structs.fields(older), msgspec.structs.fields(newer)
    old_hints, new_hints = typing.get_type_hints(older), typing.get_type_hints(newer)
    known = {field.name: field for field in new_fields}
    for old in old_fields:
        new = known.get(old.name)
        if new is None:
            faults.append(f"{name}.{old.name}: the field was removed")
        elif _type_name(old_hints[old.name]) != _type_name(new_hints[old.name]):
            faults.append(f"{name}.{old.name}: the type was changed")
        elif old.required != new.required or old.default != new.default:
            if not _is_same_default(old.default, new.default):
                faults.append(f"{name}.{old.name}: the default was changed")
    old_names = [field.name for field in old_fields]
    faults += [
        f"{name}.{f.name}: the new field has no default"
        for f in new_fields
        if f.required and f.name not in old_names
    ]
    if older.__struct_config__.array_like and [f.name for f in new_fields][: len(old_names)] != old_names:
        faults.append(f"{name}: the order of the fields was changed")
    return faults


def _is_same_default(old: Any, new: Any) -> bool:
    """Compare defaults by their text: the classes of two revisions differ."""
    return repr(old) == repr(new)


def enum_faults(older: type[Enum], newer: type[Enum]) -> list[str]:
    """The violations of the rule by an enumeration."""
    name = older.__name__
    values = {each.value for each in newer}
    faults = [f"{name}.{each.name}: the value was removed" for each in older if each.value not in values]
    added = values - {each.value for each in older}
    if added and not _tolerates_unknown(older):
        faults.append(f"{name}: {', '.join(sorted(added))} would close the session of an older program")
    return faults


def _tolerates_unknown(kind: type[Enum]) -> bool:
    try:
        kind("a value that no program knows")
    except ValueError:
        return False
    return True


def definition_faults(older: list[Struct], newer: list[Struct]) -> list[str]:
    """The violations of the rule by definitions, including the types of their fields."""
    old, new = nested_types(older), nested_types(newer)
    faults = []
    for name, kind in old.items():
        newer_kind = new.get(name)
        if newer_kind is None:
            faults.append(f"{name}: the type was removed")
        elif issubclass(kind, Enum):
            faults += enum_faults(kind, typing.cast("type[Enum]", newer_kind))
        else:
            faults += struct_faults(typing.cast(Struct, kind), typing.cast(Struct, newer_kind))
    return sorted(faults)


def message_faults(older: Any, newer: Any, required: dict[type, Feature]) -> list[str]:
    """The violations of the rule by the messages of a union.

    `required`: the feature that a peer must have declared to be sent a message type.
    """
    old, new = union_types(older), union_types(newer)
    names = {kind.__name__ for kind in old}
    added = [kind for kind in new if kind.__name__ not in names]
    ungated = [f"{kind.__name__}: the new message is sent to peers that have not declared support for it"
               for kind in added if kind not in required]  # fmt: skip
    return definition_faults(old, [kind for kind in new if kind not in added]) + ungated
