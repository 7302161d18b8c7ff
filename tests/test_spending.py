"""Spending caps: leases never exceed the cap, even across failovers, and a used-up cap stops all work."""

from __future__ import annotations

import asyncio
import random
from typing import cast

import pytest

from eiderhub.batch.jobs import BatchLimits, JobTable
from eiderhub.batch.messages import Submit
from eiderhub.control.errors import ErrorKind
from eiderhub.control.messages import LeaseAnswer, LeaseRequest
from eiderhub.control.spending import MIN_LEASE_TOKENS, LeaseBalances, SpendingLedger, Tenant, capped_tenants
from eiderhub.coordination.messages import Write
from eiderhub.dataplane.frontend import ClientExchange, RefundingSink
from eiderhub.dataplane.items import token_usage
from eiderhub.programs.batch_calls import BatchCalls
from eiderhub.storage.store import MemoryStore
from eiderhub.transport.group import CommitOutcomeUnknown, GroupDriver, NotPrimary
from eiderhub.transport.spending import ChargeResult, SpendingClient

CAP = 100_000


def ledger(cap: int = CAP, stored: dict[str, bytes] | None = None) -> SpendingLedger:
    created = SpendingLedger()
    created.load(stored or {})
    created.set_tenants({"t": Tenant("t", cap, frozenset({"r"}))})
    return created


def test_leases_never_exceed_the_cap_across_processes_and_failovers() -> None:
    rng = random.Random(3)
    stored: dict[str, bytes] = {}
    current_ledger = ledger(stored=stored)
    processes = [LeaseBalances() for _ in range(20)]
    spent = 0
    while not current_ledger.exhausted():
        if rng.random() < 0.05:  # the next primary loads what was written
            current_ledger = ledger(stored=stored)
        balances, need = rng.choice(processes), rng.randrange(1, 3_000)
        if not balances.charge("t", need):
            leased = current_ledger.lease("t", need)
            stored |= {w.key: w.value for w in leased.writes if w.value is not None}
            balances.credit("t", leased.tokens)
            if not balances.charge("t", need):
                continue
        spent += need
    assert spent <= CAP
    assert spent > 0.5 * CAP


def test_lease_that_was_written_but_not_received_counts_as_spent() -> None:
    first = ledger()
    (write,) = first.lease("t", 10).writes
    assert isinstance(write, Write)
    assert write.value is not None
    assert ledger(stored={write.key: write.value}).remaining("t") == CAP - MIN_LEASE_TOKENS


def test_request_beyond_the_remaining_tokens_uses_up_the_cap() -> None:
    current_ledger = ledger(cap=1_000)
    assert current_ledger.lease("t", 400).tokens == 1_000
    assert current_ledger.lease("t", 1).exhausted
    assert current_ledger.exhausted() == ["t"]


def test_raised_cap_allows_new_leases() -> None:
    current_ledger = ledger(cap=1_000)
    current_ledger.lease("t", 1_000)
    assert current_ledger.exhausted() == ["t"]
    current_ledger.set_tenants({"t": Tenant("t", 5_000, frozenset())})
    assert current_ledger.exhausted() == []
    assert current_ledger.lease("t", 10).tokens == MIN_LEASE_TOKENS


def test_returned_tokens_may_be_leased_again() -> None:
    current_ledger = ledger(cap=3_000)
    current_ledger.lease("t", 3_000)
    current_ledger.return_tokens("t", 500)
    assert current_ledger.remaining("t") == 500
    assert current_ledger.return_tokens("unknown", 5) == []


def test_process_charges_nothing_more_once_the_cap_is_used_up() -> None:
    balances = LeaseBalances()
    balances.credit("t", 100)
    assert balances.charge("t", 40)
    balances.set_exhausted(frozenset({"t"}))
    assert not balances.charge("t", 10)
    assert balances.unspent() == {"t": 60}


def test_charge_of_zero_tokens_needs_no_lease() -> None:
    balances = LeaseBalances()
    assert balances.charge("t", 0)
    assert not balances.charge("t", 1)


@pytest.mark.parametrize("header", ["", "5", "x,y", "-500,-500", "1,-3"])
def test_token_usage_reported_by_a_client_never_adds_to_a_lease(header: str) -> None:
    assert min(token_usage(header)) >= 0


def test_tenants_without_a_cap_are_not_limited() -> None:
    document = {"tenants": [{"name": "a", "routes": ["r"]}, {"name": "b", "spending_cap_tokens": 5}]}
    assert list(capped_tenants(document)) == ["b"]


class FakeControlNode:
    """Records lease requests while it is up; tests answer them explicitly."""

    def __init__(self) -> None:
        self.requests: list[LeaseRequest] = []
        self.up = True
        self.spending = SpendingClient(self.take)
        self.spending.set_tenants({"t": Tenant("t", CAP, frozenset({"r"}))}, [])

    def take(self, request: LeaseRequest) -> bool:
        if self.up:
            self.requests.append(request)
        return self.up


def test_waiting_charges_share_one_lease_request() -> None:
    async def test() -> None:
        control = FakeControlNode()
        charges = [asyncio.ensure_future(control.spending.charge("t", 30)) for _ in range(3)]
        await asyncio.sleep(0)
        assert [r.tokens for r in control.requests] == [30]  # one request for all waiting charges
        control.spending.on_lease_answer(LeaseAnswer("", "t", 60, False))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert [c.result() for c in charges[:2]] == [ChargeResult.PAID, ChargeResult.PAID]
        control.spending.on_lease_answer(LeaseAnswer("", "t", 0, True))
        assert await charges[2] is ChargeResult.EXHAUSTED

    asyncio.run(test())


def test_charge_without_a_control_node_is_unknown_rather_than_exhausted() -> None:
    async def test() -> None:
        control = FakeControlNode()
        control.up = False
        assert await control.spending.charge("t", 1) is ChargeResult.UNKNOWN
        assert control.spending.tenant_of("r") == "t"
        assert control.spending.tenant_of("other") is None

    asyncio.run(test())


def test_refund_pays_for_other_work_or_is_returned_once_the_cap_is_used_up() -> None:
    async def test() -> None:
        control = FakeControlNode()
        control.spending.on_lease_answer(LeaseAnswer("", "t", 100, False))
        assert await control.spending.charge("t", 100) is ChargeResult.PAID
        control.spending.refund("t", 60)
        assert await control.spending.charge("t", 60) is ChargeResult.PAID  # without another lease
        assert control.requests == []
        control.spending.set_tenants({"t": Tenant("t", CAP, frozenset({"r"}))}, ["t"])
        control.spending.refund("t", 60)
        assert control.requests == [LeaseRequest("", "t", -60)]
        control.spending.return_unspent()  # on shutdown: nothing is returned twice
        assert control.requests == [LeaseRequest("", "t", -60)]

    asyncio.run(test())


class FakeExchange:
    """A client exchange that records how it was refused."""

    def __init__(self) -> None:
        self.refused: list[ErrorKind] = []

    def refuse(self, kind: ErrorKind, retry_after_us: int) -> None:
        self.refused.append(kind)


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_only_a_call_that_never_runs_is_refunded(kind: ErrorKind) -> None:
    exchange = FakeExchange()
    refunds: list[int] = []
    sink = RefundingSink(cast(ClientExchange, exchange), lambda: refunds.append(1))
    sink.refuse(kind, 0)
    assert exchange.refused == [kind]
    assert refunds == ([1] if kind is ErrorKind.NOT_READY else [])


class FakeGroup:
    """A storage group driver whose writes succeed, or fail with one error."""

    def __init__(self, failure: Exception | None) -> None:
        self._failure = failure

    def leads(self) -> bool:
        return True

    async def write(self, writes: object) -> None:
        if self._failure is not None:
            raise self._failure


JOB = b'{"requests":[{"id":"i","path":"/p","tokens":30,"body":""}]}'


@pytest.mark.parametrize(
    ("failure", "refunded"),
    [(None, 0), (NotPrimary(), 30), (CommitOutcomeUnknown(), 0)],
    ids=["committed", "not primary", "unknown"],
)
def test_job_that_was_paid_for_but_not_written_is_refunded_once(
    failure: Exception | None, refunded: int
) -> None:
    async def test() -> None:
        control = FakeControlNode()
        control.spending.on_lease_answer(LeaseAnswer("", "t", 30, False))
        jobs = JobTable(MemoryStore())
        calls = BatchCalls(
            jobs, cast(GroupDriver, FakeGroup(failure)), control.spending,
            lambda name: BatchLimits(name, 1, 1, 1, 0), lambda size: True, lambda: None, lambda job: None,
        )  # fmt: skip
        await calls.handle(Submit(1, "job", "r", JOB))
        paid = asyncio.ensure_future(control.spending.charge("t", 30))
        await asyncio.sleep(0)
        assert paid.done() == (refunded == 30)
        paid.cancel()

    asyncio.run(test())
