"""The keys changed by the most recent updates, stored by a replica so that they survive restarts.

A replica at a position that this one has recently passed lacks only the current values of the keys changed
since. So after a power failure of all machines, a backup that is one update behind is sent that update
instead of the full state. A position identifies a state: two replicas at the same position have the same
state.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from eiderhub.coordination.messages import Position, Update

RETAINED_ENTRIES = 24  # so few that they share a store page with data that each update writes anyway
MAX_KEYS_PER_ENTRY = 40  # no entry is stored for an update that changes more
MAX_CHANGED_BYTES = 4 << 20  # of values sent instead of a snapshot


class ChangedKeys(Struct, array_like=True, frozen=True):
    """The keys that differ between two consecutive positions of the state."""

    previous: Position
    position: Position
    keys: list[str]


def changed_keys(previous: Position, updates: list[Update]) -> ChangedKeys | None:
    """The entry for updates applied together; None if they change too many keys for one."""
    keys = list(dict.fromkeys(write.key for update in updates for write in update.writes))
    if len(keys) > MAX_KEYS_PER_ENTRY:
        return None
    return ChangedKeys(previous, updates[-1].position, keys)


def changed_since(entries: Iterable[ChangedKeys], position: Position, current: Position) -> list[str] | None:
    """The keys changed between a position and the current one; None if the entries do not connect the two."""
    entry_leading_to = {each.position: each for each in entries}
    keys: dict[str, None] = {}
    reached = current
    while reached != position:
        entry = entry_leading_to.pop(reached, None)
        if entry is None:
            return None
        keys.update(dict.fromkeys(entry.keys))
        reached = entry.previous
    return list(keys)
