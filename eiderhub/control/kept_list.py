"""The endpoint list as the primary keeps it in the control state, for one that knows nothing yet.

The platform is the list's authority; what is kept only bridges the time until it has been asked again.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from eiderhub.control.messages import EndpointRecord, EndpointsUpdate
from eiderhub.coordination.messages import Write

LIST_KEY = "endpoints"

_decode = msgspec.msgpack.Decoder(list[EndpointRecord]).decode


class Store(Protocol):
    """What is read of the control state."""

    def get(self, key: str) -> bytes | None: ...


def writes_of(store: Store, listed: list[EndpointRecord]) -> list[Write]:
    """What keeps this list; nothing where it is the one that is kept."""
    value = msgspec.msgpack.encode(listed)
    return [] if value == store.get(LIST_KEY) else [Write(LIST_KEY, value)]


def provisional_list(store: Store, known: EndpointsUpdate) -> list[EndpointRecord] | None:
    """The kept list, where nothing is known of endpoints; None: there is none, or it is not needed.

    Danger: it may name endpoints that are gone, and their addresses may be another service's by now. Calls
    name the instance that they are for, so that any other turns them away without running them.
    """
    value = store.get(LIST_KEY)
    if value is None or known.endpoints:
        return None
    try:
        return _decode(value)
    except msgspec.DecodeError:
        return None  # of another version of this program
