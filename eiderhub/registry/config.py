"""What a list service is told at its start: one TOML file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct

from eiderhub.address import AddressText
from eiderhub.documents import convert, load_document
from eiderhub.registry.names import Name, NameOrNone

Count = Annotated[int, Meta(ge=1, le=10_000_000)]


class Limits(Struct, frozen=True, kw_only=True):
    """What callers may take together, and each of them."""

    callers: Count = 5000  # connections
    watches: Count = 4000  # calls that wait for news
    writes: Count = 10_000  # calls that wait for the disk
    records: Count = 100_000
    body_bytes: Count = 1 << 20  # of a request
    unsent_bytes: Count = 4 << 20  # of answers that a caller has not read yet,
    reader_s: Annotated[float, Meta(gt=0, le=600)] = 5.0  # for so long
    # After a start, callers of the platform's form that know more than the store are told to come back.
    settle_s: Annotated[float, Meta(ge=0, le=600)] = 5.0
    history: Annotated[int, Meta(ge=16, le=1_000_000)] = 4096  # changes kept for watches


class Serve(Struct, frozen=True, kw_only=True):
    """One more address, where the platform's plain discovery calls list one tier, as seen in one view."""

    listen: AddressText
    service: Name = "default"
    tier: Name = "default"
    view: NameOrNone = ""


class Document(Struct, frozen=True, kw_only=True):
    """The configuration file of `ottercleat registry serve`."""

    listen: AddressText
    store: str | None = None  # a folder; a follower has none
    follow: list[AddressText] = []  # the main service's addresses: this one is a follower
    service: Name = "default"  # what plain discovery calls at `listen` ask for
    tier: Name = "default"
    serve: list[Serve] = []
    limits: Limits = Limits()

    def __post_init__(self) -> None:
        if self.store is None and not self.follow:
            raise ValueError('store: missing; name a folder, or the main service in `follow = ["HOST:PORT"]`')
        if self.store is not None and self.follow:
            raise ValueError("store: a follower (follow) has none; leave one of the two out")
        if self.store == "":
            raise ValueError("store: must be the path of a folder")


def read(path: str) -> Document:
    """The configuration.

    Raises:
        DocumentError: with all of its faults.
    """
    document, _ = load_document(Path(path))
    return convert(document, Document, path, human_format=True)
