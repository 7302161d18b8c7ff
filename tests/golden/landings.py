"""Reads what was recorded of earlier landings: definitions, frames, stores."""

from __future__ import annotations

import gzip
import json
import re
import sys
from functools import cache
from pathlib import Path
from types import ModuleType
from typing import Any, NamedTuple

import msgspec

from eiderhub.coordination.wire import DEFAULT_SUPPORT, WireSupport

FOLDER = Path(__file__).parent
DEFINITIONS = (
    "wire",
    "forms",
    "coordination",
    "control",
    "batch",
    "records",
)  # in the order of their imports
IMPORTED = re.compile(r"eiderhub\.coordination\.(wire|forms)")


class Landing(NamedTuple):
    """One landing; `definitions` are its modules as they were, by name."""

    name: str
    definitions: dict[str, ModuleType]
    frames: dict[str, dict[str, Any]]

    @property
    def support(self) -> WireSupport:
        """What its programs say that they speak, in today's terms."""
        wire = self.definitions.get("wire")
        return WireSupport(wire.OWN_SUPPORT.version, wire.OWN_SUPPORT.features) if wire else DEFAULT_SUPPORT

    @property
    def messages(self) -> Any:
        """The union of all its messages."""
        modules = self.definitions
        return (
            modules["coordination"].ReplicaMessage
            | modules["control"].SessionMessage
            | modules["batch"].BatchMessage
        )

    def decoder(self) -> msgspec.msgpack.Decoder[Any]:
        """Its decoder of frames' bodies."""
        return msgspec.msgpack.Decoder(self.messages)

    def store(self, role: str) -> bytes:
        """The file of a store that its programs wrote."""
        return gzip.decompress((FOLDER / self.name / f"{role}.lmdb.gz").read_bytes())


def _load(landing: str, name: str) -> ModuleType:
    """Make a module of a definition's text, under a name of its own."""
    prefix = "golden_" + landing.replace("-", "_")
    module = ModuleType(f"{prefix}_{name}")
    sys.modules[module.__name__] = module  # msgspec looks up the names of annotations there
    text = IMPORTED.sub(rf"{prefix}_\1", (FOLDER / landing / f"{name}.txt").read_text())
    exec(compile(text, f"{landing}/{name}.txt", "exec"), module.__dict__)
    return module


@cache
def load(name: str) -> Landing:
    """A landing by the name of its folder."""
    present = [each for each in DEFINITIONS if (FOLDER / name / f"{each}.txt").exists()]
    definitions = {each: _load(name, each) for each in present}
    return Landing(name, definitions, json.loads((FOLDER / name / "frames.json").read_text()))


NAMES = sorted(folder.name for folder in FOLDER.glob("landing-*"))
