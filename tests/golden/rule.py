"""The rule of docs/upgrades.md: how a message or a record may differ from an earlier landing's."""

from __future__ import annotations

import typing
from enum import Enum
from typing import Any

import msgspec

from eiderhub.coordination.wire import Feature
from tests.golden.samples import union_types

Struct = type[msgspec.Struct]


def nested(kinds: list[Struct]) -> dict[str, type]:
    """The structs and enumerations that stand in fields of these, themselves included, by name."""
    found: dict[str, type] = {}
    waiting: list[Any] = list(kinds)
    while waiting:
        kind = waiting.pop()
        waiting += typing.get_args(kind)
        if not isinstance(kind, type) or kind.__name__ in found:
            continue
        if issubclass(kind, Enum):
            found[kind.__name__] = kind
        elif issubclass(kind, msgspec.Struct):
            found[kind.__name__] = kind
            waiting += typing.get_type_hints(kind).values()
    return found


def _name(annotation: Any) -> str:
    """A field's type, as it reads; modules left out, so that two landings' are the same."""
    arguments = typing.get_args(annotation)
    if not arguments:
        return getattr(annotation, "__name__", str(annotation))
    origin = typing.get_origin(annotation)
    return f"{getattr(origin, '__name__', origin)}[{', '.join(sorted(map(_name, arguments)))}]"


def struct_faults(older: Struct, newer: Struct) -> list[str]:
    """How one definition breaks the rule."""
    name = older.__name__
    if older.__struct_config__.tag != newer.__struct_config__.tag:
        return [f"{name}: its tag has changed"]
    if older.__struct_config__.array_like != newer.__struct_config__.array_like:
        return [f"{name}: it is written in another way"]
    faults = []
    old_fields, new_fields = msgspec.structs.fields(older), msgspec.structs.fields(newer)
    old_hints, new_hints = typing.get_type_hints(older), typing.get_type_hints(newer)
    known = {field.name: field for field in new_fields}
    for old in old_fields:
        new = known.get(old.name)
        if new is None:
            faults.append(f"{name}.{old.name}: it is gone")
        elif _name(old_hints[old.name]) != _name(new_hints[old.name]):
            faults.append(f"{name}.{old.name}: it has another type")
        elif old.required != new.required or old.default != new.default:
            if not _same_value(old.default, new.default):
                faults.append(f"{name}.{old.name}: it has another default")
    old_names = [field.name for field in old_fields]
    faults += [
        f"{name}.{f.name}: it has no default" for f in new_fields if f.required and f.name not in old_names
    ]
    if older.__struct_config__.array_like and [f.name for f in new_fields][: len(old_names)] != old_names:
        faults.append(f"{name}: its fields have another order")
    return faults


def _same_value(old: Any, new: Any) -> bool:
    """Defaults of two landings are of different classes."""
    return repr(old) == repr(new)


def enum_faults(older: type[Enum], newer: type[Enum]) -> list[str]:
    """How an enumeration breaks the rule."""
    name = older.__name__
    values = {each.value for each in newer}
    faults = [f"{name}.{each.name}: it is gone" for each in older if each.value not in values]
    added = values - {each.value for each in older}
    if added and not _tolerates_unknown(older):
        faults.append(f"{name}: {', '.join(sorted(added))} would end the session of an older program")
    return faults


def _tolerates_unknown(kind: type[Enum]) -> bool:
    try:
        kind("a word that no program knows")
    except ValueError:
        return False
    return True


def definition_faults(older: list[Struct], newer: list[Struct]) -> list[str]:
    """How definitions break the rule, those of their fields included."""
    old, new = nested(older), nested(newer)
    faults = []
    for name, kind in old.items():
        now = new.get(name)
        if now is None:
            faults.append(f"{name}: it is gone")
        elif issubclass(kind, Enum):
            faults += enum_faults(kind, typing.cast("type[Enum]", now))
        else:
            faults += struct_faults(typing.cast(Struct, kind), typing.cast(Struct, now))
    return sorted(faults)


def message_faults(older: Any, newer: Any, required: dict[type, Feature]) -> list[str]:
    """How the messages of a union break the rule; `required`: what a peer must have said for each."""
    old, new = union_types(older), union_types(newer)
    names = {kind.__name__ for kind in old}
    added = [kind for kind in new if kind.__name__ not in names]
    ungated = [f"{kind.__name__}: it is new, and sent to peers that have not said they take it"
               for kind in added if kind not in required]  # fmt: skip
    return definition_faults(old, [kind for kind in new if kind not in added]) + ungated
