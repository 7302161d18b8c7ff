"""Field types and limits shared by the records and the configuration of the list service.

Every sidecar imports this module, so it has no further dependencies.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

MAX_NAME_LENGTH = 128
MAX_VIEWS = 64  # of one record
MIN_LEASE_MS, MAX_LEASE_MS = 500, 600_000
MIN_ORDER_MS, MAX_ORDER_MS = 1000, 30 * 86_400_000  # duration of a zone order
Name = Annotated[
    str,
    Meta(pattern=r"^[A-Za-z0-9_.:@/-]+$", max_length=MAX_NAME_LENGTH, description="a plain name"),
]
NameOrEmpty = Annotated[
    str,
    Meta(pattern=r"^[A-Za-z0-9_.:@/-]*$", max_length=MAX_NAME_LENGTH, description="a plain name"),
]
LeaseMs = Annotated[int, Meta(ge=MIN_LEASE_MS, le=MAX_LEASE_MS)]
