"""Charges work to the token leases of this process, and requests further leases from the control plane."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from eiderhub.control.messages import LeaseAnswer, LeaseRequest
from eiderhub.control.spending import LeasePurse, Tenant

LEASE_TIMEOUT_S = 0.4  # after which a lease request counts as unanswered


class Charge(Enum):
    PAID = "paid"
    EXHAUSTED = "exhausted"  # the tenant's spending cap is used up
    UNKNOWN = "unknown"  # no answer from a control node


class Spending:
    """`send` sends a request on the control session; it returns False if there is none."""

    def __init__(self, send: Callable[[LeaseRequest], bool]) -> None:
        self._send = send
        self._purse = LeasePurse()
        self._tenants: dict[str, Tenant] = {}
        self._tenant_by_route: dict[str, str] = {}
        self._asking: dict[str, asyncio.Future[LeaseAnswer]] = {}

    def follow(self, tenants: dict[str, Tenant], exhausted: list[str]) -> None:
        self._tenants = tenants
        self._tenant_by_route = {route: tenant.name for tenant in tenants.values() for route in tenant.routes}
        self._purse.stop(frozenset(exhausted))

    def tenant_of(self, route: str) -> str | None:
        """The tenant whose cap applies to this route; None if there is none."""
        return self._tenant_by_route.get(route)

    async def charge(self, tenant: str, tokens: int) -> Charge:
        """Charge work before it is accepted, requesting leases until the balance covers it."""
        while not self._purse.charge(tenant, tokens):
            if self._purse.stopped(tenant):
                return Charge.EXHAUSTED
            answer = await self._request_lease(tenant, tokens)
            if answer is None:
                return Charge.UNKNOWN
            if answer.exhausted:
                return Charge.EXHAUSTED
        return Charge.PAID

    def refund(self, tenant: str, tokens: int) -> None:
        """Undo a paid charge for work that was rejected and never ran; to be called once per charge.

        While the tenant's cap is used up nothing can be charged here, so the tokens are returned to the
        control plane. Tokens that are lost on the way, or with this process, count as spent.
        """
        if self._purse.stopped(tenant):
            self._send(LeaseRequest("", tenant, -tokens))
        else:
            self._purse.add(tenant, tokens)

    async def _request_lease(self, tenant: str, tokens: int) -> LeaseAnswer | None:
        future = self._asking.get(tenant)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            if not self._send(LeaseRequest("", tenant, tokens)):
                return None
            self._asking[tenant] = future
        done, _ = await asyncio.wait([future], timeout=LEASE_TIMEOUT_S)
        if not done:
            self._asking.pop(tenant, None)
            return None
        return future.result()

    def answered(self, answer: LeaseAnswer) -> None:
        self._purse.add(answer.tenant, answer.tokens)
        future = self._asking.pop(answer.tenant, None)
        if future is not None and not future.done():
            future.set_result(answer)

    def give_back(self) -> None:
        """Return all unspent tokens to the control plane; called when the process stops."""
        for tenant, tokens in self._purse.unspent().items():
            self._send(LeaseRequest("", tenant, -tokens))
