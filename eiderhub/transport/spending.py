"""A process's spending: charges work against its leases, and asks its control session for more."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from eiderhub.control.messages import LeaseAnswer, LeaseRequest
from eiderhub.control.spending import LeasePurse, Tenant

LEASE_S = 0.4  # a lease that has not come by then does not count on being given


class Charge(Enum):
    PAID = "paid"
    EXHAUSTED = "exhausted"  # the tenant's cap has run out
    UNKNOWN = "unknown"  # no control node has answered


class Spending:
    """`send` passes a request on to the control node that this process has its session with."""

    def __init__(self, send: Callable[[LeaseRequest], bool]) -> None:
        self._send = send
        self._purse = LeasePurse()
        self._tenants: dict[str, Tenant] = {}
        self._of_route: dict[str, str] = {}
        self._asking: dict[str, asyncio.Future[LeaseAnswer]] = {}

    def follow(self, tenants: dict[str, Tenant], exhausted: list[str]) -> None:
        self._tenants = tenants
        self._of_route = {route: t.name for t in tenants.values() for route in t.routes}
        self._purse.stop(frozenset(exhausted))

    def tenant_of(self, route: str) -> str | None:
        """The tenant whose cap bounds this route; None: none does."""
        return self._of_route.get(route)

    async def charge(self, tenant: str, tokens: int) -> Charge:
        """Pay for work that is about to be taken."""
        while not self._purse.charge(tenant, tokens):
            if self._purse.stopped(tenant):
                return Charge.EXHAUSTED
            answer = await self._lease(tenant, tokens)
            if answer is None:
                return Charge.UNKNOWN
            if answer.exhausted:
                return Charge.EXHAUSTED
        return Charge.PAID

    def refund(self, tenant: str, tokens: int) -> None:
        """The work was refused and never ran; told once for a charge that was paid.

        A tenant whose cap has run out is charged nothing more here: its tokens go back to the cap. What is
        lost on that way, or with this process, counts as spent.
        """
        if self._purse.stopped(tenant):
            self._send(LeaseRequest("", tenant, -tokens))
        else:
            self._purse.add(tenant, tokens)

    async def _lease(self, tenant: str, tokens: int) -> LeaseAnswer | None:
        future = self._asking.get(tenant)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            if not self._send(LeaseRequest("", tenant, tokens)):
                return None
            self._asking[tenant] = future
        done, _ = await asyncio.wait([future], timeout=LEASE_S)
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
        """This process stops."""
        for tenant, tokens in self._purse.unspent().items():
            self._send(LeaseRequest("", tenant, -tokens))
