"""Creates samples of each message type of the source that is on the path, from the types of their fields.

Run as a program, it prints the frames of all samples; the recorder runs it on the source of older revisions.
"""

from __future__ import annotations

import json
import sys
import types
import typing
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

PLAIN: dict[type, Any] = {int: 7, str: "word", float: 1.5, bool: True, bytes: b"\x00bytes"}


def union_types(union: Any) -> list[type[msgspec.Struct]]:
    """The structs of a union, without duplicates."""
    return list(dict.fromkeys(typing.get_args(union)))


def sample(kind: Any, full: bool) -> Any:
    """A value of a type; if `full`, fields with defaults are set too."""
    if kind in PLAIN:
        return PLAIN[kind]
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin in (typing.Union, types.UnionType):
        return sample(next(each for each in arguments if each is not type(None)), full)
    if origin is list:
        return [sample(arguments[0], full)]
    if origin is dict:
        return {sample(arguments[0], full): sample(arguments[1], full)}
    if issubclass(kind, Enum):
        return list(kind)[-1]
    if issubclass(kind, msgspec.Struct):
        return struct_sample(kind, full)
    hints = typing.get_type_hints(kind)  # a named tuple
    return kind(**{name: sample(hint, full) for name, hint in hints.items()})


def struct_sample(kind: type[msgspec.Struct], full: bool) -> msgspec.Struct:
    """A message or record of this type."""
    hints = typing.get_type_hints(kind)
    values = {
        field.name: sample(hints[field.name], full)
        for field in msgspec.structs.fields(kind)
        if full or field.required
    }
    return kind(**values)


def iterate_samples(unions: list[Any]) -> Iterator[tuple[str, msgspec.Struct]]:
    """Each type of the unions, once with all fields and once with the required fields only."""
    for union in unions:
        for kind in union_types(union):
            for name, full in (("full", True), ("least", False)):
                yield f"{kind.__name__}/{name}", struct_sample(kind, full)


def message_unions() -> list[Any]:
    """The message unions of the source that is on the path."""
    from eiderhub.batch.messages import BatchMessage
    from eiderhub.control.messages import SessionMessage
    from eiderhub.coordination.messages import ReplicaMessage

    return [ReplicaMessage, SessionMessage, BatchMessage]


def sample_frames() -> dict[str, Any]:
    """By sample name: the body of the frame, and the message as plain values."""
    encode = msgspec.msgpack.Encoder().encode
    return {
        name: {"body": encode(message).hex(), "values": msgspec.to_builtins(message)}
        for name, message in iterate_samples(message_unions())
    }


if __name__ == "__main__":
    sys.path.insert(0, str(Path.cwd()))
    print(json.dumps(sample_frames(), indent=1))
