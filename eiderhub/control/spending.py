"""Spending caps of tenants: tokens are leased to the processes that take work, and never more than the cap.

Pure. A lease is written to the control state before it is given, so that no primary ever gives what another
has given. A process charges work against its leases when it takes it; what it has taken is paid for and is
carried through, whatever becomes of the cap.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from eiderhub.control.configuration import Document
from eiderhub.coordination.messages import Write

LEASED_PREFIX = "spending/"
LEASE_SHARE = 0.02  # of what is left, at most, in one lease: it stops everywhere at nearly the same moment
LEAST_LEASE = 2_000  # tokens, unless less is left
MOST_CAP = 1 << 62  # tokens; what a configuration says beyond that is this


class Tenant(NamedTuple):
    name: str
    cap_tokens: int
    routes: frozenset[str]


def tenants_of(document: Document) -> dict[str, Tenant]:
    """The tenants of a configuration that have a cap, by name."""
    found = {}
    for item in document.get("tenants", []):
        if "spending_cap_tokens" in item:
            routes = frozenset(item.get("routes", []))
            found[item["name"]] = Tenant(item["name"], min(item["spending_cap_tokens"], MOST_CAP), routes)
    return found


class Leased(NamedTuple):
    """What a request for a lease comes to; `exhausted`: the cap has run out."""

    tokens: int
    exhausted: bool
    writes: list[Write]


class SpendingLedger:
    """What has been leased to each tenant's processes, and what is left."""

    def __init__(self) -> None:
        self._leased: dict[str, int] = {}
        self._tenants: dict[str, Tenant] = {}

    def load(self, stored: dict[str, bytes]) -> None:
        """Begin with what earlier primaries have leased, by key."""
        self._leased = {
            key.removeprefix(LEASED_PREFIX): msgspec.json.decode(value, type=int)
            for key, value in stored.items()
        }

    def follow(self, tenants: dict[str, Tenant]) -> None:
        self._tenants = tenants

    def left(self, name: str) -> int:
        """Tokens of the cap that have not been leased."""
        tenant = self._tenants.get(name)
        return max(0, tenant.cap_tokens - self._leased.get(name, 0)) if tenant else 0

    def exhausted(self) -> list[str]:
        """The tenants whose cap has run out."""
        return sorted(name for name in self._tenants if self.left(name) == 0)

    def lease(self, name: str, need: int) -> Leased:
        """Tokens for work that needs so many. A need that is more than is left ends the tenant's spending."""
        left = self.left(name)
        if left == 0:
            return Leased(0, True, [])
        wanted = max(need, LEAST_LEASE, int(left * LEASE_SHARE))
        tokens = min(wanted, left)
        if tokens < need:  # the rest would pay for nothing that is asked: it is spent
            return Leased(0, True, self._note(name, left))
        return Leased(tokens, False, self._note(name, tokens))

    def give_back(self, name: str, tokens: int) -> list[Write]:
        """A process that stops has not used all of its leases."""
        return self._note(name, -min(tokens, self._leased.get(name, 0))) if name in self._tenants else []

    def _note(self, name: str, tokens: int) -> list[Write]:
        self._leased[name] = self._leased.get(name, 0) + tokens
        return [Write(LEASED_PREFIX + name, msgspec.json.encode(self._leased[name]))]


class LeasePurse:
    """One process's leases, and the charges against them."""

    def __init__(self) -> None:
        self._tokens: dict[str, int] = {}
        self._exhausted: frozenset[str] = frozenset()

    def stopped(self, name: str) -> bool:
        return name in self._exhausted

    def stop(self, names: frozenset[str]) -> None:
        """These tenants' caps have run out: nothing more is charged, whatever is left here."""
        self._exhausted = names

    def add(self, name: str, tokens: int) -> None:
        self._tokens[name] = self._tokens.get(name, 0) + tokens

    def charge(self, name: str, tokens: int) -> bool:
        """Pay for work; false where the leases do not cover it."""
        left = self._tokens.get(name, 0)
        if name in self._exhausted or left < tokens:
            return False
        self._tokens[name] = left - tokens
        return True

    def unspent(self) -> dict[str, int]:
        return {name: tokens for name, tokens in self._tokens.items() if tokens > 0}
