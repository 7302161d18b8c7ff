"""Validates parsed documents, converts them to structs, and reports every fault with the path of its key.

A document has one of two formats. The human format (TOML) uses the attribute names of the struct's fields;
unknown keys are faults in it. The platform's format (JSON) uses the encoded names; unknown keys are ignored
in it, and a null means that the value is absent.
"""

from __future__ import annotations

import enum
import types
import typing
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import msgspec

T = TypeVar("T")
TYPE_DESCRIPTIONS = {  # type names in msgspec's messages, and their wording in ours
    "float | array": "a number or a range, [lowest, highest]",
    "float": "a number",
    "int": "a whole number",
    "str": "text",
    "bool": "true or false",
    "array": "a list",
    "object": "a table",
}
MAX_DOCUMENT_BYTES = 32 << 20


class Fault(NamedTuple):
    path: str  # of the key, as written in the document; empty: the whole document
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}" if self.path else self.reason


class DocumentError(ValueError):
    """An invalid document. `faults` lists everything wrong with it, in document order."""

    def __init__(self, source: str, faults: list[Fault]) -> None:
        self.source = source
        self.faults = faults
        more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        super().__init__(": ".join(filter(None, (source, str(faults[0])))) + more)

    def fault_lines(self) -> list[str]:
        return [": ".join(filter(None, (self.source, str(fault)))) for fault in self.faults]


def convert(document: Any, target_type: type[T], source: str = "", human_format: bool = False) -> T:
    """Convert a document, by default one in the platform's format, to a struct of the given type.

    Raises:
        DocumentError: lists every fault found.
    """
    if not human_format:
        try:
            return msgspec.convert(_without_nulls(document), target_type)
        except msgspec.ValidationError:
            pass  # the converter below finds all faults and words them
    faults: list[Fault] = []
    converted = _Converter(human_format, faults).convert_value(document, target_type, "")
    if faults:
        raise DocumentError(source, faults)
    try:
        return msgspec.convert(converted, target_type)
    except msgspec.ValidationError as error:
        raise DocumentError(source, [Fault("", _reason(error))]) from None


def to_human_format(value: Any) -> Any:
    """Convert a struct to plain data in the human format; values that are None are left out."""
    if isinstance(value, msgspec.Struct):
        pairs = ((name, getattr(value, name)) for name in value.__struct_fields__)
        return {name.rstrip("_"): to_human_format(item) for name, item in pairs if item is not None}
    if isinstance(value, list | tuple):
        return [to_human_format(item) for item in value]
    return msgspec.to_builtins(value)


def load_document(path: Path) -> tuple[Any, bool]:
    """Read a file; returns the document and whether it is in the human format, which .toml files are.

    Raises:
        DocumentError: the file can't be read, is too large, or is not valid TOML or JSON.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        raise DocumentError(str(path), [Fault("", error.strerror or str(error))]) from None
    human_format = path.suffix == ".toml"
    format_name = "TOML" if human_format else "JSON"
    if len(data) > MAX_DOCUMENT_BYTES:
        raise DocumentError(
            str(path), [Fault("", f"larger than {MAX_DOCUMENT_BYTES >> 20} MiB, the limit for {format_name}")]
        )
    try:
        if human_format:
            import tomllib  # only when needed: sidecars that read JSON save its memory

            return tomllib.loads(data.decode("utf-8")), human_format
        return msgspec.json.decode(data), human_format
    except (ValueError, RecursionError) as error:
        raise DocumentError(str(path), [Fault("", f"no {format_name}: {error}")]) from None


def _without_nulls(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _without_nulls(item) for key, item in value.items() if item is not None}
    if isinstance(value, list):
        return [_without_nulls(item) for item in value]
    return value


def _reason(error: msgspec.ValidationError) -> str:
    text = str(error).partition(" - at `$")[0]
    if not text.startswith("Expected "):
        return text
    for type_name, description in TYPE_DESCRIPTIONS.items():
        text = text.replace(f"`{type_name}`", description)
    return "must be " + text.removeprefix("Expected ").replace("`", "").partition(", got ")[0]


def suggest_name(name: str, known: typing.Iterable[str]) -> str:
    """A clause for an error message that suggests the closest known name, or lists all if none is close."""
    import difflib  # needed only for error messages

    known = list(known)
    matches = difflib.get_close_matches(name, known, 1, 0.6)
    return f"did you mean {matches[0]}?" if matches else f"expected one of {', '.join(known)}"


class _Converter:
    """Walks through a document and its expected type together, and collects the faults."""

    def __init__(self, human_format: bool, faults: list[Fault]) -> None:
        self._human_format = human_format
        self._faults = faults

    def _add_fault(self, path: str, reason: str) -> None:
        self._faults.append(Fault(path, reason))

    def convert_value(self, value: Any, expected_type: Any, path: str) -> Any:
        """Return the value with its keys in the platform's format, and record its faults."""
        alternatives = _alternatives(expected_type)
        struct = next(
            (k for k in alternatives if isinstance(k, type) and issubclass(k, msgspec.Struct)), None
        )
        if struct is not None and not (value is None and type(None) in alternatives):
            return self._convert_struct(value, struct, path)
        list_type = next((k for k in alternatives if typing.get_origin(k) is list), None)
        if list_type is not None and isinstance(value, list):
            (item_type,) = typing.get_args(list_type)
            for constraints in (m for m in typing.get_args(expected_type) if isinstance(m, msgspec.Meta)):
                try:
                    msgspec.convert(value, typing.Annotated[list[Any], constraints])
                except msgspec.ValidationError as error:
                    self._add_fault(path, _reason(error))
            return [self.convert_value(item, item_type, f"{path}[{i}]") for i, item in enumerate(value)]
        try:
            msgspec.convert(value, expected_type)
        except msgspec.ValidationError as error:
            self._add_fault(path, _value_fault(value, expected_type, error))
        return value

    def _convert_struct(self, value: Any, struct: type[msgspec.Struct], path: str) -> Any:
        if not isinstance(value, dict):
            self._add_fault(path, f"must be a table, not {value!r}"[:200])
            return value
        faults_before = len(self._faults)
        hints = typing.get_type_hints(struct, include_extras=True)
        fields = {
            (f.name if self._human_format else f.encode_name): f for f in msgspec.structs.fields(struct)
        }
        converted = {}
        for key, item in value.items():
            key_path = f"{path}.{key}" if path else str(key)
            field = fields.get(key)
            if field is not None and (item is not None or self._human_format):
                converted[field.encode_name] = self.convert_value(item, hints[field.name], key_path)
            elif field is None and self._human_format:
                self._add_fault(key_path, f"unknown key; {suggest_name(str(key), fields)}")
        for key, field in fields.items():
            if field.required and field.encode_name not in converted:
                self._add_fault(f"{path}.{key}" if path else key, "missing")
        if len(self._faults) == faults_before:
            try:
                msgspec.convert(converted, struct)  # checks across fields in the struct's __post_init__
            except msgspec.ValidationError as error:
                self._add_fault(path, _reason(error))
        return converted


def _alternatives(expected_type: Any) -> list[Any]:
    """The types that a value may have: the members of a union, without their annotations."""
    if typing.get_origin(expected_type) is typing.Annotated:
        return _alternatives(typing.get_args(expected_type)[0])
    if typing.get_origin(expected_type) in (typing.Union, types.UnionType):
        return [
            alternative for member in typing.get_args(expected_type) for alternative in _alternatives(member)
        ]
    return [expected_type]


def _description(expected_type: Any) -> str | None:
    """The description in the annotation of the type or of one of its members."""
    for member in typing.get_args(expected_type):
        if isinstance(member, msgspec.Meta) and member.description:
            return member.description
        if (nested := _description(member)) is not None:
            return nested
    return None


def _value_fault(value: Any, expected_type: Any, error: msgspec.ValidationError) -> str:
    alternatives = _alternatives(expected_type)
    description = _description(expected_type)
    if description is not None:
        return f"must be {description}; it is {value!r}"[:200]
    choices = next((k for k in alternatives if isinstance(k, type) and issubclass(k, enum.Enum)), None)
    if choices is not None:
        known = [str(choice.value) for choice in choices]
        hint = suggest_name(value, known) if isinstance(value, str) else f"expected one of {', '.join(known)}"
        return f"impossible value {value!r}; {hint}"
    return f"{_reason(error)}; it is {value!r}"[:200]
