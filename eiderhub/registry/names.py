"""Field types and limits shared by the records and the configuration of the list service.

Every sidecar imports this module, so it has no further dependencies.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

MAX_NAME_LENGTH = 128
MOST_VIEWS = 64  # of one record
MIN_LEASE_MS, MOST_LEASE_MS = 500, 600_000
MIN_ORDER_MS, MOST_ORDER_MS = 1000, 30 * 86_400_000  # duration of a zone order
Name = Annotated[
    str,
    Meta(pattern=r"^[A-Za-z0-9_.:@/-]+$", max_length=MAX_NAME_LENGTH, description="a plain name"),
]
NameOrNone = Annotated[
    str,
    Meta(pattern=r"^[A-Za-z0-9_.:@/-]*$", max_length=MAX_NAME_LENGTH, description="a plain name"),
]
Lease = Annotated[int, Meta(ge=MIN_LEASE_MS, le=MOST_LEASE_MS)]
