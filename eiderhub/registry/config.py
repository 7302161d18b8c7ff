"""Configuration file (TOML) of the list service."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct

from eiderhub.address import AddressText
from eiderhub.documents import convert, load_document
from eiderhub.registry.field_types import Name, NameOrEmpty

PositiveCount = Annotated[int, Meta(ge=1, le=10_000_000)]


class Limits(Struct, frozen=True, kw_only=True):
    """Resource limits, over all callers or for each of them."""

    callers: PositiveCount = 5000  # connections
    watches: PositiveCount = 4000  # concurrent long polls
    writes: PositiveCount = 10_000  # queued write requests
    records: PositiveCount = 100_000
    body_bytes: PositiveCount = 1 << 20  # of a request body
    unsent_bytes: PositiveCount = 4 << 20  # of answers that a caller has not read yet
    # A connection with more unread bytes is closed after this time.
    reader_s: Annotated[float, Meta(gt=0, le=600)] = 5.0
    # After a start, plain discovery clients with a newer list than the store's get a 503 for this long.
    settle_s: Annotated[float, Meta(ge=0, le=600)] = 5.0
    history: Annotated[int, Meta(ge=16, le=1_000_000)] = 4096  # changes kept in memory for watches


class ServeSettings(Struct, frozen=True, kw_only=True):
    """An additional listen address with its own default service, tier and view for plain discovery calls."""

    listen: AddressText
    service: Name = "default"
    tier: Name = "default"
    view: NameOrEmpty = ""


class RegistryConfig(Struct, frozen=True, kw_only=True):
    """The configuration file of `ottercleat registry serve`."""

    listen: AddressText
    store: str | None = None  # a folder; None for a follower
    follow: list[AddressText] = []  # addresses of the main service; if set, this process is a follower
    service: Name = "default"  # default for plain discovery calls at `listen`
    tier: Name = "default"
    serve: list[ServeSettings] = []
    limits: Limits = Limits()

    def __post_init__(self) -> None:
        if self.store is None and not self.follow:
            raise ValueError('store: missing; name a folder, or the main service in `follow = ["HOST:PORT"]`')
        if self.store is not None and self.follow:
            raise ValueError(
                "store: can't be combined with follow, a follower has no store; remove one of them"
            )
        if self.store == "":
            raise ValueError("store: must be the path of a folder")


def read_config(path: str) -> RegistryConfig:
    """Load the configuration file.

    Raises:
        DocumentError: the file is invalid; lists all faults.
    """
    document, _ = load_document(Path(path))
    return convert(document, RegistryConfig, path, human_format=True)
