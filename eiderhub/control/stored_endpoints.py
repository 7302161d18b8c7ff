"""A copy of the endpoint list in the replicated control state, for a primary that has no list yet.

The platform is the authority for the list; the stored copy only bridges the time until the platform has
answered.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from eiderhub.control.messages import EndpointRecord, EndpointsUpdate
from eiderhub.coordination.messages import Write

ENDPOINTS_KEY = "endpoints"

_decode = msgspec.msgpack.Decoder(list[EndpointRecord]).decode


class StateReader(Protocol):
    """Read access to the replicated control state."""

    def get(self, key: str) -> bytes | None: ...


def endpoint_list_writes(state: StateReader, endpoints: list[EndpointRecord]) -> list[Write]:
    """The writes that store this list; none if it is already stored."""
    value = msgspec.msgpack.encode(endpoints)
    return [] if value == state.get(ENDPOINTS_KEY) else [Write(ENDPOINTS_KEY, value)]


def initial_endpoint_list(state: StateReader, current: EndpointsUpdate) -> list[EndpointRecord] | None:
    """The stored list, for a primary that has no endpoints; None if there is none or it is not needed.

    The stored list may contain endpoints that no longer exist, whose addresses may since belong to another
    service. Calls name the instance that they are meant for, so any other instance rejects them without
    running them.
    """
    value = state.get(ENDPOINTS_KEY)
    if value is None or current.endpoints:
        return None
    try:
        return _decode(value)
    except msgspec.DecodeError:
        return None  # written by an incompatible release
