"""Turns a parsed document into structs, and names every fault in it by the path of its key.

A struct's fields have two names: the attribute's, which people write in TOML, and the encoded one, which
the platform writes in JSON. People's documents are read strictly; the platform's may hold keys that nobody
here knows, and nulls, which stand for absent values.
"""

from __future__ import annotations

import enum
import types
import typing
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import msgspec

T = TypeVar("T")
PLAIN = {  # what msgspec calls the types of values, and what people call them
    "float | array": "a number or a range, [lowest, highest]",
    "float": "a number",
    "int": "a whole number",
    "str": "text",
    "bool": "true or false",
    "array": "a list",
    "object": "a table",
}
MOST_BYTES = 32 << 20  # of a document; more is no configuration


class Fault(NamedTuple):
    path: str  # of the key, as the document has it; empty: the document as a whole
    why: str

    def __str__(self) -> str:
        return f"{self.path}: {self.why}" if self.path else self.why


class DocumentError(ValueError):
    """A document that can't be used. `faults` holds all that is wrong with it, in its order."""

    def __init__(self, source: str, faults: list[Fault]) -> None:
        self.source = source
        self.faults = faults
        more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        super().__init__(": ".join(filter(None, (source, str(faults[0])))) + more)

    def lines(self) -> list[str]:
        return [": ".join(filter(None, (self.source, str(fault)))) for fault in self.faults]


def convert(document: Any, kind: type[T], source: str = "", people: bool = False) -> T:
    """The document as a struct of this kind.

    Raises:
        DocumentError: with every fault that was found.
    """
    if not people:
        try:
            return msgspec.convert(_without_nulls(document), kind)
        except msgspec.ValidationError:
            pass  # the walk below words it, and finds what else there is
    faults: list[Fault] = []
    found = _Walk(people, faults).take(document, kind, "")
    if faults:
        raise DocumentError(source, faults)
    try:
        return msgspec.convert(found, kind)
    except msgspec.ValidationError as error:
        raise DocumentError(source, [Fault("", _why(error))]) from None


def by_people(value: Any) -> Any:
    """A struct as plain data under its attributes' names; what is not told is left out."""
    if isinstance(value, msgspec.Struct):
        pairs = ((name, getattr(value, name)) for name in value.__struct_fields__)
        return {name.rstrip("_"): by_people(item) for name, item in pairs if item is not None}
    if isinstance(value, list | tuple):
        return [by_people(item) for item in value]
    return msgspec.to_builtins(value)


def parse(path: Path) -> tuple[Any, bool]:
    """A file's document, and whether it is written for people: TOML, by its name.

    Raises:
        DocumentError: where it can't be read, or is no TOML or JSON.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as error:
        raise DocumentError(str(path), [Fault("", error.strerror or str(error))]) from None
    people = path.suffix == ".toml"
    form = "TOML" if people else "JSON"
    if len(data) > MOST_BYTES:
        raise DocumentError(str(path), [Fault("", f"over {MOST_BYTES >> 20} MiB: no {form} for us")])
    try:
        if people:
            import tomllib  # not with every sidecar, whose memory is bounded

            return tomllib.loads(data.decode("utf-8")), people
        return msgspec.json.decode(data), people
    except (ValueError, RecursionError) as error:
        raise DocumentError(str(path), [Fault("", f"no {form}: {error}")]) from None


def _without_nulls(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _without_nulls(item) for key, item in value.items() if item is not None}
    if isinstance(value, list):
        return [_without_nulls(item) for item in value]
    return value


def _why(error: msgspec.ValidationError) -> str:
    text = str(error).partition(" - at `$")[0]
    if not text.startswith("Expected "):
        return text
    for type_name, plain in PLAIN.items():
        text = text.replace(f"`{type_name}`", plain)
    return "must be " + text.removeprefix("Expected ").replace("`", "").partition(", got ")[0]


def nearest(name: str, known: typing.Iterable[str]) -> str:
    """A clause that names the known name which this one was meant to be, or all where none is near."""
    import difflib  # only for those who have mistyped something

    known = list(known)
    near = difflib.get_close_matches(name, known, 1, 0.6)
    return f"did you mean {near[0]}?" if near else f"there are {', '.join(known)}"


class _Walk:
    """Goes along a document and the type that it should have."""

    def __init__(self, people: bool, faults: list[Fault]) -> None:
        self._people = people
        self._faults = faults

    def _fault(self, path: str, why: str) -> None:
        self._faults.append(Fault(path, why))

    def take(self, value: Any, kind: Any, path: str) -> Any:
        """The value with the platform's names in it; its faults are noted."""
        kinds = _alternatives(kind)
        struct = next((k for k in kinds if isinstance(k, type) and issubclass(k, msgspec.Struct)), None)
        if struct is not None and not (value is None and type(None) in kinds):
            return self._struct(value, struct, path)
        items = next((k for k in kinds if typing.get_origin(k) is list), None)
        if items is not None and isinstance(value, list):
            (item,) = typing.get_args(items)
            for bounds in (m for m in typing.get_args(kind) if isinstance(m, msgspec.Meta)):
                try:
                    msgspec.convert(value, typing.Annotated[list[Any], bounds])
                except msgspec.ValidationError as error:
                    self._fault(path, _why(error))
            return [self.take(each, item, f"{path}[{i}]") for i, each in enumerate(value)]
        try:
            msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            self._fault(path, _worded(value, kind, error))
        return value

    def _struct(self, value: Any, struct: type[msgspec.Struct], path: str) -> Any:
        if not isinstance(value, dict):
            self._fault(path, f"must be a table, not {value!r}"[:200])
            return value
        before = len(self._faults)
        hints = typing.get_type_hints(struct, include_extras=True)
        fields = {(f.name if self._people else f.encode_name): f for f in msgspec.structs.fields(struct)}
        found = {}
        for key, item in value.items():
            where = f"{path}.{key}" if path else str(key)
            field = fields.get(key)
            if field is not None and (item is not None or self._people):
                found[field.encode_name] = self.take(item, hints[field.name], where)
            elif field is None and self._people:
                self._fault(where, f"unknown key; {nearest(str(key), fields)}")
        for key, field in fields.items():
            if field.required and field.encode_name not in found:
                self._fault(f"{path}.{key}" if path else key, "missing")
        if len(self._faults) == before:
            try:
                msgspec.convert(found, struct)  # what the struct itself checks across its fields
            except msgspec.ValidationError as error:
                self._fault(path, _why(error))
        return found


def _alternatives(kind: Any) -> list[Any]:
    """The types that a value may have: the members of a union, without their bounds."""
    if typing.get_origin(kind) is typing.Annotated:
        return _alternatives(typing.get_args(kind)[0])
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        return [one for member in typing.get_args(kind) for one in _alternatives(member)]
    return [kind]


def _described(kind: Any) -> str | None:
    """What the type's own annotation says that its values are."""
    for member in typing.get_args(kind):
        if isinstance(member, msgspec.Meta) and member.description:
            return member.description
        if (below := _described(member)) is not None:
            return below
    return None


def _worded(value: Any, kind: Any, error: msgspec.ValidationError) -> str:
    kinds = _alternatives(kind)
    described = _described(kind)
    if described is not None:
        return f"must be {described}; it is {value!r}"[:200]
    choices = next((k for k in kinds if isinstance(k, type) and issubclass(k, enum.Enum)), None)
    if choices is not None:
        known = [str(each.value) for each in choices]
        hint = nearest(value, known) if isinstance(value, str) else f"there are {', '.join(known)}"
        return f"impossible value {value!r}; {hint}"
    return f"{_why(error)}; it is {value!r}"[:200]
