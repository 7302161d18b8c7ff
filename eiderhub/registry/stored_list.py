"""The latest list, stored in a file for a start without a reachable list service."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import NamedTuple

import msgspec

from eiderhub.registry.adoption import ZoneData
from eiderhub.registry.records import Entry, ZoneShare
from eiderhub.registry.settings import FollowSettings

MAX_FILE_BYTES = 64 << 20


class ListScope(msgspec.Struct, frozen=True):
    """Which list a file holds; a list of another service, tier or view can't be used."""

    service: str
    tier: str
    view: str

    @staticmethod
    def of(follow: FollowSettings) -> ListScope:
        return ListScope(follow.service, follow.tier, follow.view)


class _StoredFile(msgspec.Struct, frozen=True):
    whose: ListScope
    identity: str
    branch: str
    version: int
    written_ms: int  # Unix time; a monotonic clock does not survive a reboot
    entries: list[Entry]
    regions: dict[str, str] = {}
    orders: list[ZoneShare] = []


class StoredList(NamedTuple):
    identity: str
    branch: str
    version: int
    age_s: float
    entries: list[Entry]
    zone_data: ZoneData


def write_list(
    path: str,
    scope: ListScope,
    identity: str,
    branch: str,
    version: int,
    entries: list[Entry],
    zone_data: ZoneData,
) -> None:
    """Replace the file atomically. Raises OSError."""
    written_ms = time.time_ns() // 1_000_000
    regions, orders = dict(zone_data.regions), list(zone_data.orders)
    file = _StoredFile(scope, identity, branch, version, written_ms, entries, regions, orders)
    partial_path = Path(f"{path}.{os.getpid()}.part")
    try:
        partial_path.write_bytes(msgspec.json.encode(file))
        partial_path.replace(path)
    except OSError:
        partial_path.unlink(missing_ok=True)
        raise


def read_list(path: str, max_age_s: float, scope: ListScope) -> StoredList | str:
    """The stored list, or why it can't be used.

    The age comes from the system clock. If the clock was set back, the file seems to come from the future;
    its distance from now then counts as its age, so a list whose age is uncertain is rejected as well.
    """
    try:
        with Path(path).open("rb") as opened:
            file = msgspec.json.decode(opened.read(MAX_FILE_BYTES), type=_StoredFile)
    except FileNotFoundError:
        return "there is none"
    except OSError as error:
        return error.strerror or str(error)
    except msgspec.DecodeError as error:
        return f"damaged: {error}"
    if file.whose != scope:
        return f"the file is the list of {file.whose.service}/{file.whose.tier} {file.whose.view}".rstrip()
    age_s = abs(time.time_ns() // 1_000_000 - file.written_ms) / 1000
    if age_s > max_age_s:
        return f"the list is {age_s:.0f} s old, or the clock is off by that; the limit is {max_age_s:g} s"
    zone_data = ZoneData(file.regions, tuple(file.orders))
    return StoredList(file.identity, file.branch, file.version, age_s, file.entries, zone_data)
