"""The last updates of a replica's state, by the keys that they changed: kept in its store, over restarts.

A replica whose state is one that ours has been in lately lacks the present values of the keys that have
changed since, and nothing else. So after a loss of all power a backup that is an update behind is sent that
update, not the whole state. Positions name states: two replicas at one position have the same.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from eiderhub.coordination.messages import Position, Update

KEPT_UPDATES = 24  # the newest; few enough to share a page of the store with what is written anyway
MOST_KEYS = 40  # of one update; one that changes more is not kept
MOST_BYTES = 4 << 20  # of values that are sent in place of a snapshot


class ChangedKeys(Struct, array_like=True, frozen=True):
    """One step of the state."""

    previous: Position
    position: Position
    keys: list[str]


def step(previous: Position, updates: list[Update]) -> ChangedKeys | None:
    """The step that updates make together; None: it changes too many keys to be kept."""
    keys = list(dict.fromkeys(write.key for update in updates for write in update.writes))
    if len(keys) > MOST_KEYS:
        return None
    return ChangedKeys(previous, updates[-1].position, keys)


def changed_since(steps: Iterable[ChangedKeys], position: Position, current: Position) -> list[str] | None:
    """The keys that have changed on the way from one state to the current one; None: the way is not known."""
    by_position = {each.position: each for each in steps}
    keys: dict[str, None] = {}
    at = current
    while at != position:
        last = by_position.pop(at, None)
        if last is None:
            return None
        keys.update(dict.fromkeys(last.keys))
        at = last.previous
    return list(keys)
