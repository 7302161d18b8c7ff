"""Loads the data recorded from older revisions: definitions, frames, stores."""

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

GOLDEN_FOLDER = Path(__file__).parent
# In the order of their imports.
DEFINITIONS = (
    "wire",
    "forms",
    "coordination",
    "control",
    "batch",
    "records",
)
VERSIONED_IMPORT = re.compile(r"eiderhub\.coordination\.(wire|forms)")


class RecordedRevision(NamedTuple):
    """One revision; `definitions` are the modules with its definitions, by name."""

    name: str
    definitions: dict[str, ModuleType]
    frames: dict[str, dict[str, Any]]

    @property
    def declared_support(self) -> WireSupport:
        """The wire support that its programs declare, as the current class."""
        wire = self.definitions.get("wire")
        return WireSupport(wire.OWN_SUPPORT.version, wire.OWN_SUPPORT.features) if wire else DEFAULT_SUPPORT

    @property
    def messages(self) -> Any:
        """The union of its message types."""
        modules = self.definitions
        return (
            modules["coordination"].ReplicaMessage
            | modules["control"].SessionMessage
            | modules["batch"].BatchMessage
        )

    def decoder(self) -> msgspec.msgpack.Decoder[Any]:
        """A decoder of frame bodies with its definitions."""
        return msgspec.msgpack.Decoder(self.messages)

    def store(self, role: str) -> bytes:
        """The file of the store that a program of this role wrote."""
        return gzip.decompress((GOLDEN_FOLDER / self.name / f"{role}.lmdb.gz").read_bytes())


def _load_definitions(revision: str, name: str) -> ModuleType:
    """Create a module from the recorded text of a definition, under a unique name."""
    prefix = "golden_" + revision.replace("-", "_")
    module = ModuleType(f"{prefix}_{name}")
    sys.modules[module.__name__] = module  # msgspec looks up the names of annotations there
    text = VERSIONED_IMPORT.sub(rf"{prefix}_\1", (GOLDEN_FOLDER / revision / f"{name}.txt").read_text())
    exec(compile(text, f"{revision}/{name}.txt", "exec"), module.__dict__)
    return module


@cache
def load(name: str) -> RecordedRevision:
    """The revision with this folder name."""
    present = [each for each in DEFINITIONS if (GOLDEN_FOLDER / name / f"{each}.txt").exists()]
    definitions = {each: _load_definitions(name, each) for each in present}
    return RecordedRevision(name, definitions, json.loads((GOLDEN_FOLDER / name / "frames.json").read_text()))


REVISION_NAMES = sorted(folder.name for folder in GOLDEN_FOLDER.glob("landing-*"))
