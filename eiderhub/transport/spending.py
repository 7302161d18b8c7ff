"""Charges work to the token leases of this process, and requests further leases from the control plane."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from eiderhub.control.messages import LeaseAnswer, LeaseRequest
from eiderhub.control.spending import LeaseBalances, Tenant

LEASE_TIMEOUT_S = 0.4  # after which a lease request counts as unanswered


class ChargeResult(Enum):
    PAID = "paid"
    EXHAUSTED = "exhausted"  # the tenant's spending cap is used up
    UNKNOWN = "unknown"  # no answer from a control node


class SpendingClient:
    """`send` sends a request on the control session; it returns False if there is none."""

    def __init__(self, send: Callable[[LeaseRequest], bool]) -> None:
        self._send = send
        self._balances = LeaseBalances()
        self._tenants: dict[str, Tenant] = {}
        self._tenant_by_route: dict[str, str] = {}
        self._pending_leases: dict[str, asyncio.Future[LeaseAnswer]] = {}

    def set_tenants(self, tenants: dict[str, Tenant], exhausted: list[str]) -> None:
        self._tenants = tenants
        self._tenant_by_route = {route: tenant.name for tenant in tenants.values() for route in tenant.routes}
        self._balances.set_exhausted(frozenset(exhausted))

    def tenant_of(self, route: str) -> str | None:
        """The tenant whose cap applies to this route; None if there is none."""
        return self._tenant_by_route.get(route)

    async def charge(self, tenant: str, tokens: int) -> ChargeResult:
        """Charge work before it is accepted, requesting leases until the balance covers it."""
        while not self._balances.charge(tenant, tokens):
            if self._balances.is_exhausted(tenant):
                return ChargeResult.EXHAUSTED
            answer = await self._request_lease(tenant, tokens)
            if answer is None:
                return ChargeResult.UNKNOWN
            if answer.exhausted:
                return ChargeResult.EXHAUSTED
        return ChargeResult.PAID

    def refund(self, tenant: str, tokens: int) -> None:
        """Undo a paid charge for work that was rejected and never ran; to be called once per charge.

        While the tenant's cap is used up nothing can be charged here, so the tokens are returned to the
        control plane. Tokens that are lost on the way, or with this process, count as spent.
        """
        if self._balances.is_exhausted(tenant):
            self._send(LeaseRequest("", tenant, -tokens))
        else:
            self._balances.credit(tenant, tokens)

    async def _request_lease(self, tenant: str, tokens: int) -> LeaseAnswer | None:
        future = self._pending_leases.get(tenant)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            if not self._send(LeaseRequest("", tenant, tokens)):
                return None
            self._pending_leases[tenant] = future
        done, _ = await asyncio.wait([future], timeout=LEASE_TIMEOUT_S)
        if not done:
            self._pending_leases.pop(tenant, None)
            return None
        return future.result()

    def on_lease_answer(self, answer: LeaseAnswer) -> None:
        self._balances.credit(answer.tenant, answer.tokens)
        future = self._pending_leases.pop(answer.tenant, None)
        if future is not None and not future.done():
            future.set_result(answer)

    def return_unspent(self) -> None:
        """Return all unspent tokens to the control plane; called when the process stops."""
        for tenant, tokens in self._balances.unspent().items():
            self._send(LeaseRequest("", tenant, -tokens))
