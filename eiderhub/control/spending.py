"""Spending caps of tenants: tokens are leased to the processes that accept work, never more than the cap.

Performs no I/O. A lease is written to the control state before it is granted, so that a later primary never
grants the same tokens again. A process charges work to its leases when it accepts it; accepted work is paid
for and completes even if the cap is exhausted meanwhile.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from eiderhub.control.configuration import Document
from eiderhub.coordination.keys import prefixed_key
from eiderhub.coordination.messages import Write

LEASED_PREFIX = "spending/"
# Fraction of the remaining tokens in one lease; small, so that all processes run out at nearly the same time.
LEASE_RATIO = 0.02
MIN_LEASE_TOKENS = 2_000  # unless fewer remain
MAX_CAP_TOKENS = 1 << 62  # larger caps in a configuration are reduced to this


class Tenant(NamedTuple):
    name: str
    cap_tokens: int
    routes: frozenset[str]


def capped_tenants(document: Document) -> dict[str, Tenant]:
    """The tenants of a configuration that have a spending cap, by name."""
    tenants = {}
    for item in document.get("tenants", []):
        if "spending_cap_tokens" in item:
            routes = frozenset(item.get("routes", []))
            tenants[item["name"]] = Tenant(
                item["name"], min(int(item["spending_cap_tokens"]), MAX_CAP_TOKENS), routes
            )
    return tenants


class LeaseDecision(NamedTuple):
    """The decision on a lease request; `exhausted`: the cap is used up."""

    tokens: int
    exhausted: bool
    writes: list[Write]


class SpendingLedger:
    """The tokens leased and remaining for each tenant, on the primary."""

    def __init__(self) -> None:
        self._leased: dict[str, int] = {}  # by key of the control state
        self._tenants: dict[str, Tenant] = {}

    def load(self, stored: dict[str, bytes]) -> None:
        """Load the totals leased by earlier primaries, by key of the control state."""
        self._leased = {key: msgspec.json.decode(value, type=int) for key, value in stored.items()}

    def _leased_to(self, name: str) -> int:
        return self._leased.get(prefixed_key(LEASED_PREFIX, name), 0)

    def set_tenants(self, tenants: dict[str, Tenant]) -> None:
        self._tenants = tenants

    def remaining(self, name: str) -> int:
        """The tokens of the cap that have not been leased."""
        tenant = self._tenants.get(name)
        return max(0, tenant.cap_tokens - self._leased_to(name)) if tenant else 0

    def exhausted(self) -> list[str]:
        """The tenants whose cap is used up."""
        return sorted(name for name in self._tenants if self.remaining(name) == 0)

    def lease(self, name: str, needed: int) -> LeaseDecision:
        """Lease at least the needed tokens. If fewer remain, they are written off and the cap is used up."""
        remaining = self.remaining(name)
        if remaining == 0:
            return LeaseDecision(0, True, [])
        preferred = max(needed, MIN_LEASE_TOKENS, int(remaining * LEASE_RATIO))
        tokens = min(preferred, remaining)
        if tokens < needed:  # the rest cannot pay for the request, and is written off
            return LeaseDecision(0, True, self._record(name, remaining))
        return LeaseDecision(tokens, False, self._record(name, tokens))

    def return_tokens(self, name: str, tokens: int) -> list[Write]:
        """Return unused tokens of a lease to the cap; returns the writes."""
        return self._record(name, -min(tokens, self._leased_to(name))) if name in self._tenants else []

    def _record(self, name: str, tokens: int) -> list[Write]:
        leased = self._leased_to(name) + tokens
        key = prefixed_key(LEASED_PREFIX, name)
        self._leased[key] = leased
        return [Write(key, msgspec.json.encode(leased))]


class LeaseBalances:
    """The leased tokens of one process, by tenant."""

    def __init__(self) -> None:
        self._tokens: dict[str, int] = {}
        self._exhausted: frozenset[str] = frozenset()

    def is_exhausted(self, name: str) -> bool:
        return name in self._exhausted

    def set_exhausted(self, names: frozenset[str]) -> None:
        """Set the tenants whose cap is used up. Their work is not charged any more, even if tokens remain."""
        self._exhausted = names

    def credit(self, name: str, tokens: int) -> None:
        self._tokens[name] = self._tokens.get(name, 0) + tokens

    def charge(self, name: str, tokens: int) -> bool:
        """Charge work to the leases; returns False if they do not cover it."""
        balance = self._tokens.get(name, 0)
        if name in self._exhausted or balance < tokens:
            return False
        self._tokens[name] = balance - tokens
        return True

    def unspent(self) -> dict[str, int]:
        return {name: tokens for name, tokens in self._tokens.items() if tokens > 0}
