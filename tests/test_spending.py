"""Spending caps: leases never exceed the cap, over failovers too, and one that runs out stops all."""

from __future__ import annotations

import asyncio
import random
from typing import cast

import pytest

from eiderhub.batch.jobs import BatchTerms, JobTable
from eiderhub.batch.messages import Submit
from eiderhub.control.errors import ErrorKind
from eiderhub.control.messages import LeaseAnswer, LeaseRequest
from eiderhub.control.spending import LEAST_LEASE, LeasePurse, SpendingLedger, Tenant, tenants_of
from eiderhub.coordination.messages import Write
from eiderhub.dataplane.frontend import ClientExchange, PaidSink
from eiderhub.dataplane.items import token_usage
from eiderhub.programs.batch_calls import BatchCalls
from eiderhub.storage.store import MemoryStore
from eiderhub.transport.group import CommitUnknown, GroupDriver, NotPrimary
from eiderhub.transport.spending import Charge, Spending

CAP = 100_000


def ledger(cap: int = CAP, stored: dict[str, bytes] | None = None) -> SpendingLedger:
    made = SpendingLedger()
    made.load(stored or {})
    made.follow({"t": Tenant("t", cap, frozenset({"r"}))})
    return made


def test_leases_never_exceed_the_cap_whoever_asks_and_however_often_primaries_change() -> None:
    rng = random.Random(3)
    stored: dict[str, bytes] = {}
    current = ledger(stored=stored)
    purses = [LeasePurse() for _ in range(20)]
    spent = 0
    while not current.exhausted():
        if rng.random() < 0.05:  # the next primary begins with what was written
            current = ledger(stored=stored)
        purse, need = rng.choice(purses), rng.randrange(1, 3_000)
        if not purse.charge("t", need):
            leased = current.lease("t", need)
            stored |= {w.key: w.value for w in leased.writes if w.value is not None}
            purse.add("t", leased.tokens)
            if not purse.charge("t", need):
                continue
        spent += need
    assert spent <= CAP
    assert spent > 0.5 * CAP


def test_lease_that_was_written_and_never_arrived_counts_as_spent() -> None:
    first = ledger()
    (write,) = first.lease("t", 10).writes
    assert isinstance(write, Write)
    assert write.value is not None
    assert ledger(stored={write.key: write.value}).left("t") == CAP - LEAST_LEASE


def test_work_that_the_cap_cannot_pay_ends_the_tenants_spending() -> None:
    current = ledger(cap=1_000)
    assert current.lease("t", 400).tokens == 1_000
    assert current.lease("t", 1).exhausted
    assert current.exhausted() == ["t"]


def test_cap_that_is_raised_lets_the_tenant_spend_again() -> None:
    current = ledger(cap=1_000)
    current.lease("t", 1_000)
    assert current.exhausted() == ["t"]
    current.follow({"t": Tenant("t", 5_000, frozenset())})
    assert current.exhausted() == []
    assert current.lease("t", 10).tokens == LEAST_LEASE


def test_what_is_given_back_may_be_leased_again() -> None:
    current = ledger(cap=3_000)
    current.lease("t", 3_000)
    current.give_back("t", 500)
    assert current.left("t") == 500
    assert current.give_back("unknown", 5) == []


def test_purse_charges_nothing_more_once_the_cap_has_run_out_elsewhere() -> None:
    purse = LeasePurse()
    purse.add("t", 100)
    assert purse.charge("t", 40)
    purse.stop(frozenset({"t"}))
    assert not purse.charge("t", 10)
    assert purse.unspent() == {"t": 60}


def test_work_that_costs_nothing_is_paid_without_a_lease() -> None:
    purse = LeasePurse()
    assert purse.charge("t", 0)
    assert not purse.charge("t", 1)


@pytest.mark.parametrize("told", ["", "5", "x,y", "-500,-500", "1,-3"])
def test_what_a_client_says_of_its_tokens_never_adds_to_a_lease(told: str) -> None:
    assert min(token_usage(told)) >= 0


def test_tenants_without_a_cap_are_not_bounded() -> None:
    document = {"tenants": [{"name": "a", "routes": ["r"]}, {"name": "b", "spending_cap_tokens": 5}]}
    assert list(tenants_of(document)) == ["b"]


class Control:
    """Stands for the control node: keeps what is asked, and answers when it is told to."""

    def __init__(self) -> None:
        self.requests: list[LeaseRequest] = []
        self.up = True
        self.spending = Spending(self.take)
        self.spending.follow({"t": Tenant("t", CAP, frozenset({"r"}))}, [])

    def take(self, request: LeaseRequest) -> bool:
        if self.up:
            self.requests.append(request)
        return self.up


def test_work_waits_for_one_lease_and_is_paid_from_it() -> None:
    async def test() -> None:
        control = Control()
        charges = [asyncio.ensure_future(control.spending.charge("t", 30)) for _ in range(3)]
        await asyncio.sleep(0)
        assert [r.tokens for r in control.requests] == [30]  # one request for all that wait
        control.spending.answered(LeaseAnswer("", "t", 60, False))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert [c.result() for c in charges[:2]] == [Charge.PAID, Charge.PAID]
        control.spending.answered(LeaseAnswer("", "t", 0, True))
        assert await charges[2] is Charge.EXHAUSTED

    asyncio.run(test())


def test_without_a_control_node_work_is_refused_for_now_and_not_for_good() -> None:
    async def test() -> None:
        control = Control()
        control.up = False
        assert await control.spending.charge("t", 1) is Charge.UNKNOWN
        assert control.spending.tenant_of("r") == "t"
        assert control.spending.tenant_of("other") is None

    asyncio.run(test())


def test_a_refund_pays_for_other_work_and_goes_back_to_the_cap_once_that_has_run_out() -> None:
    async def test() -> None:
        control = Control()
        control.spending.answered(LeaseAnswer("", "t", 100, False))
        assert await control.spending.charge("t", 100) is Charge.PAID
        control.spending.refund("t", 60)
        assert await control.spending.charge("t", 60) is Charge.PAID  # without another lease
        assert control.requests == []
        control.spending.follow({"t": Tenant("t", CAP, frozenset({"r"}))}, ["t"])
        control.spending.refund("t", 60)
        assert control.requests == [LeaseRequest("", "t", -60)]
        control.spending.give_back()  # the process stops: nothing goes back twice
        assert control.requests == [LeaseRequest("", "t", -60)]

    asyncio.run(test())


class Exchange:
    """A client's, that keeps how it was refused."""

    def __init__(self) -> None:
        self.refused: list[ErrorKind] = []

    def refuse(self, kind: ErrorKind, retry_after_us: int) -> None:
        self.refused.append(kind)


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_only_a_call_that_never_runs_is_credited(kind: ErrorKind) -> None:
    exchange = Exchange()
    credits: list[int] = []
    sink = PaidSink(cast(ClientExchange, exchange), lambda: credits.append(1))
    sink.refuse(kind, 0)
    assert exchange.refused == [kind]
    assert credits == ([1] if kind is ErrorKind.NOT_READY else [])


class Group:
    """A storage group's driver whose write ends in one way."""

    def __init__(self, ends: Exception | None) -> None:
        self._ends = ends

    def leads(self) -> bool:
        return True

    async def write(self, writes: object) -> None:
        if self._ends is not None:
            raise self._ends


JOB = b'{"requests":[{"id":"i","path":"/p","tokens":30,"body":""}]}'


@pytest.mark.parametrize(
    ("ends", "credited"),
    [(None, 0), (NotPrimary(), 30), (CommitUnknown(), 0)],
    ids=["taken", "not", "unknown"],
)
def test_a_job_that_was_paid_for_and_not_written_is_credited_once(
    ends: Exception | None, credited: int
) -> None:
    async def test() -> None:
        control = Control()
        control.spending.answered(LeaseAnswer("", "t", 30, False))
        jobs = JobTable(MemoryStore())
        calls = BatchCalls(
            jobs, cast(GroupDriver, Group(ends)), control.spending, lambda name: BatchTerms(name, 1, 1, 1, 0),
            lambda size: True, lambda: None, lambda job: None,
        )  # fmt: skip
        await calls.answer(Submit(1, "job", "r", JOB))
        paid = asyncio.ensure_future(control.spending.charge("t", 30))
        await asyncio.sleep(0)
        assert paid.done() == (credited == 30)
        paid.cancel()

    asyncio.run(test())
