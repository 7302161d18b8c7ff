"""Ids and names from outside in the stores: any that is accepted can be stored, read, ended and purged.

See docs/incidents/id-too-long-for-the-store.md.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from functools import partial
from pathlib import Path
from urllib.parse import quote, quote_from_bytes, quote_plus

import msgspec
import pytest

from eiderhub.batch import job_ids
from eiderhub.batch.job_ids import (
    BODY_PREFIX,
    JOB_PREFIX,
    items_in_query,
    name_in_path,
    name_of_id,
    result_key,
)
from eiderhub.batch.jobs import ItemRecord, JobRecord, JobTable, ResultPage
from eiderhub.batch.messages import ItemKey
from eiderhub.control import retirement
from eiderhub.control.change_processor import ChangeOutcome, ChangeProcessor
from eiderhub.control.configuration import Change
from eiderhub.control.errors import ErrorKind, Refusal
from eiderhub.control.retirement import RetireOrder
from eiderhub.control.spending import LEASED_PREFIX, SpendingLedger, Tenant
from eiderhub.coordination.keys import MAX_KEY_BYTES, prefixed_key
from eiderhub.coordination.messages import Position, Update, Write
from eiderhub.coordination.replication import Replica
from eiderhub.coordination.store import WriteRejected
from eiderhub.storage.store import LmdbStore
from eiderhub.transport.group import NotPrimary
from tests import outside_input
from tests.items_support import ROUTE, Storage, running_harness, wait_for_results, wait_until
from tests.test_jobs import LIMITS, SUBMITTED_AT, body_of

SEEDS = range(12)
JOBS_PER_SEED = 12
ITEMS = ("x", "y")
LONG_ID = "run-" + "7c41e09b52d6a3f8" * 31  # 500 characters: job/ID is a key, result/ID/0000000 is not
LONG_NAME = "n" * 600
PURGE_AFTER_S = 1_000.0


class StoredTable:
    """A job table on an LMDB store, whose writes are committed at once."""

    def __init__(self, folder: Path) -> None:
        self.store = LmdbStore(folder, 100.0, "identity")
        self.table = JobTable(self.store)

    def commit(self, writes: list[Write] | Refusal) -> None:
        assert not isinstance(writes, Refusal), writes
        if writes:
            self.store.check_writes(writes)
            self.store.apply([Update(Position(1, self.store.position.version + 1), writes)])

    def submit(self, name: str) -> None:
        job = self.table.id_of(name)
        self.commit(self.table.submit(SUBMITTED_AT, job, LIMITS, body_of(*ITEMS, tokens=1.0)))
        self.table.mark_committed(job)

    def finish(self, name: str, item: str) -> None:
        key = ItemKey(self.table.id_of(name), item)
        self.commit(self.table.finish(key, True, f"{item} of {name}"))
        self.table.mark_result_committed(key)

    def texts(self, name: str) -> list[str] | None:
        """The texts of a job's results; None if there is no such job."""
        page = self.table.page(self.table.id_of(name), 0)
        return [result.text for result in page.results] if isinstance(page, ResultPage) else None

    def reload(self) -> None:
        self.table = JobTable(self.store)
        self.table.load()


def play_jobs(folder: Path, seed: int) -> None:
    """Submit, run, reload, read by path, end and purge jobs with drawn ids; each has its own results."""
    rng = random.Random(seed)
    drawn = {outside_input.request_id(rng) for _ in range(JOBS_PER_SEED)} | {b"20261204", b"20261204/2"}
    ids = sorted(drawn)
    stored = StoredTable(folder)
    names = {each: name_of_id(each) for each in ids}
    assert len(set(names.values())) == len(ids)
    for name in names.values():
        stored.submit(name)
    for name in names.values():
        stored.finish(name, ITEMS[0])
    stored.reload()
    for request_id, name in names.items():
        path = quote_from_bytes(request_id, safe=rng.choice(("", "/"))).encode()
        assert name_in_path(path) == name
        assert stored.texts(name) == [f"{ITEMS[0]} of {name}"]
    ended, *others = rng.sample(sorted(names.values()), len(names))
    stored.commit(stored.table.end(stored.table.id_of(ended)))
    for name in others:
        stored.finish(name, ITEMS[1])
    stored.reload()
    for name in others:
        assert stored.texts(name) == [f"{item} of {name}" for item in ITEMS]
    while writes := stored.table.purge_expired(SUBMITTED_AT + PURGE_AFTER_S, 1.0):
        stored.commit(writes)
    stored.reload()
    assert not stored.table.jobs
    assert list(stored.store.scan("")) == []
    stored.store.close()


@pytest.mark.parametrize("seed", SEEDS)
def test_jobs_with_any_ids_keep_apart(tmp_path: Path, seed: int) -> None:
    """Guards against an id that makes a write fail, or whose results are taken for those of another job."""
    play_jobs(tmp_path, seed)


def _any_key(key: str, prefix: str) -> bool:
    return key.startswith(prefix)


@pytest.mark.parametrize(
    ("name", "value"),
    [("MAX_NAME_BYTES", 504), ("is_result_key", _any_key), ("unquote_to_bytes", bytes)],
)
def test_property_finds_a_planted_fault(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str, value: object
) -> None:
    """Planted: names as long as job/NAME allows, results by prefix alone, paths that are not decoded."""
    monkeypatch.setattr(job_ids, name, value)
    if name == "is_result_key":
        monkeypatch.setattr("eiderhub.batch.jobs.is_result_key", value)
    with pytest.raises((AssertionError, WriteRejected, KeyError)):
        for seed in SEEDS:
            play_jobs(tmp_path / str(seed), seed)


@pytest.mark.parametrize("item", ["a", "a+b", "a b", "é", "50%", "a&b=c", "a#b", "a/b", "+"])
@pytest.mark.parametrize(
    "encode", [quote, quote_plus, partial(quote, safe="/+=")], ids=["uri", "form", "raw plus"]
)
def test_query_names_the_item_however_it_is_encoded(item: str, encode: Callable[[str], str]) -> None:
    """Guards against a body that is answered 404 for how its client writes a plus sign, or a space."""
    query = f"x=1&id={encode(item)}&y".encode()
    assert item in items_in_query(query)


def test_query_is_read_as_a_form_first() -> None:
    """Guards against the body of the item `a+b` where a client asks for `a b` as forms are encoded."""
    assert items_in_query(b"id=a+b") == ("a b", "a+b")
    assert items_in_query(b"id=a%2Bb") == ("a+b",)


@pytest.mark.parametrize("part", [b"", b"%20a", b"a%20", b"a%0Ab", b"a%00"])
def test_path_that_no_request_id_can_have_names_no_job(part: bytes) -> None:
    """Guards against a path that reads a job by the digest that stands for its id."""
    assert name_in_path(part) is None


@pytest.mark.parametrize("length", range(job_ids.MAX_NAME_BYTES, MAX_KEY_BYTES - len(BODY_PREFIX) + 1))
def test_job_that_an_older_version_stored_under_a_long_id_ends(tmp_path: Path, length: int) -> None:
    """Guards against a store of the version before with such a job: not all of its keys fitted."""
    long_id = LONG_ID.ljust(length, "x")[:length]
    stored = StoredTable(tmp_path)
    record = JobRecord(long_id, ROUTE, SUBMITTED_AT, 10.0, 40.0, 3, [ItemRecord(i, 1.0) for i in ITEMS])
    body = Write(BODY_PREFIX + long_id, body_of(*ITEMS))
    stored.commit([Write(JOB_PREFIX + long_id, msgspec.msgpack.encode(record)), body])
    name = name_of_id(long_id.encode())
    for asked in (name, long_id):  # by a sidecar of this version, and of the one before
        stored.reload()
        assert stored.texts(asked) is not None
    stored.table.jobs[long_id].items[ITEMS[0]].errors = 2
    stored.commit(stored.table.error_writes(long_id))
    stored.reload()
    assert stored.table.jobs[long_id].items[ITEMS[0]].errors == 2
    for item in ITEMS:
        stored.finish(name, item)
    stored.reload()
    assert stored.texts(name) == [f"{item} of {name}" for item in ITEMS]
    stored.commit(stored.table.purge_expired(SUBMITTED_AT + PURGE_AFTER_S, 1.0))
    assert list(stored.store.scan("")) == []


def test_read_of_an_unknown_long_id_is_answered_and_ends_no_session(tmp_path: Path) -> None:
    """Guards against a read that the store refuses: it closed the sidecar's session with the primary."""

    async def test() -> None:
        async with running_harness(tmp_path) as harness:
            sidecar = await harness.add_sidecar("edge-0")
            assert (await sidecar.runner.body(LONG_NAME, "x")).status == 404
            assert (await sidecar.runner.read(LONG_NAME, 0, 0)).status == 404
            assert await sidecar.submit(LONG_NAME, "x") == 202  # as a sidecar of the version before sends it
            await wait_until(lambda: "x" in sidecar.admission.calls, "the item runs")
            sidecar.admission.finish_item("x")
            await wait_for_results(sidecar, LONG_NAME, "x")
            await wait_for_results(sidecar, name_of_id(LONG_NAME.encode()), "x")
            assert sidecar.proxy.session_count == 1

    asyncio.run(test())


# --- a write that the store refuses although its disk is sound ---


def leading_replica(folder: Path) -> Replica:
    """A primary alone in its group, on LMDB."""
    replica = Replica("a@h:1", LmdbStore(folder, 8.0, "a@h:1"), 0.0, random.Random(1))
    replica.bootstrap(["a@h:1"])
    now = 0.0
    while not replica.leads(now):
        now += 0.05
        replica.tick(now)
    return replica


UNSTORABLE = [Write("k" * (MAX_KEY_BYTES + 1), b""), Write("", b""), Write("k", bytes(4 << 20))]


@pytest.mark.parametrize("write", UNSTORABLE, ids=["long key", "empty key", "large value"])
def test_primary_whose_store_refuses_a_write_goes_on_to_lead(tmp_path: Path, write: Write) -> None:
    """Guards against a refused write that is taken for a failed disk: each primary in turn stepped down."""
    replica = leading_replica(tmp_path)
    epoch, position = replica.epoch, replica.position
    with pytest.raises(WriteRejected):
        replica.propose(10.0, [Write("sound", b""), write])
    assert (replica.epoch, replica.position) == (epoch, position)
    assert replica.store.get("sound") is None
    replica.propose(10.0, [Write("sound", b"1")])
    assert replica.store.get("sound") == b"1"


def test_refused_write_fails_for_its_caller_alone(tmp_path: Path) -> None:
    """Guards against a refused write that takes those of other callers with it."""

    async def test() -> None:
        storage = Storage(tmp_path)
        await storage.start()
        group = storage.service.group
        epoch = group.replica.epoch
        sound = asyncio.ensure_future(group.write([Write("sound", b"1")]))
        with pytest.raises(WriteRejected):
            await group.write([UNSTORABLE[0]])
        await sound
        assert (group.leads(), group.replica.epoch) == (True, epoch)
        storage.close()

    asyncio.run(test())


def test_primary_that_cannot_load_its_table_does_not_lead(tmp_path: Path) -> None:
    """Guards against a table that is loaded in part: jobs after the bad record were answered 404."""

    async def test() -> None:
        storage = Storage(tmp_path)
        await storage.start()
        service = storage.service
        await service.group.write([Write(JOB_PREFIX + "a", b"not a record")])
        service.group.replica.resign(service.group.now())
        await wait_until(lambda: service._epoch > 1, "the node has tried to lead again")
        assert not service.group.leads()
        with pytest.raises(NotPrimary):
            await service.group.write([])
        assert not service._jobs.jobs
        storage.close()

    asyncio.run(test())


# --- control ---


@pytest.mark.parametrize("generation", ["g" * MAX_KEY_BYTES, "1", None, True, 10**300, ["x"], {"a": 1}])
def test_change_with_any_generation_is_refused_and_the_next_one_taken(
    tmp_path: Path, generation: object
) -> None:
    """Guards against a generation that is no key: the look-up of its digest raised an error in the tick."""
    replica = leading_replica(tmp_path)
    processor: ChangeProcessor[str] = ChangeProcessor(replica, replica.store)  # type: ignore[arg-type]
    body = {"generation": generation, "routes": [], "backends": []}
    processor.submit(Change(0, False, json.dumps(body).encode()), "bad")
    processor.submit(Change(0, False, json.dumps(body | {"generation": 1}).encode()), "good")
    results = {result.caller: result for result in processor.step(0.3)}
    assert results["bad"].refusal is not None and results["bad"].refusal.kind is ErrorKind.INVALID
    assert results["good"].outcome is ChangeOutcome.ACKNOWLEDGED


def test_configuration_that_the_store_cannot_hold_is_refused(tmp_path: Path) -> None:
    """Guards against a change that is too large for the store: each control node in turn stepped down."""
    replica = leading_replica(tmp_path)
    processor: ChangeProcessor[str] = ChangeProcessor(replica, replica.store)  # type: ignore[arg-type]
    body = {"generation": 1, "routes": [], "backends": [], "note": "x" * (3 << 20)}
    processor.submit(Change(0, False, json.dumps(body).encode()), "large")
    (result,) = processor.step(0.3)
    assert result.refusal is not None and result.refusal.status == 413
    assert replica.leads(0.3)


def test_spending_of_a_tenant_with_a_long_name_is_stored_and_restored() -> None:
    """Guards against a tenant's name that makes the write of its lease fail."""
    ledger, names = SpendingLedger(), (LONG_NAME, LONG_NAME + "x", "t", prefixed_key("", LONG_NAME))
    tenants = {name: Tenant(name, 10_000, frozenset()) for name in names}
    ledger.set_tenants(tenants)
    writes = [write for name in names for write in ledger.lease(name, 2_500).writes]
    assert len({write.key for write in writes}) == len(names)
    assert all(len(write.key.encode()) <= MAX_KEY_BYTES for write in writes)
    restored = SpendingLedger()
    restored.load({write.key: write.value or b"" for write in writes})
    restored.set_tenants(tenants)
    assert [restored.remaining(name) for name in names] == [7_500] * len(names)
    assert LEASED_PREFIX + "t" in {write.key for write in writes}  # as the version before stores it


def test_retire_order_keeps_the_name_of_its_node() -> None:
    """Guards against a node's name that does not fit into a key."""
    orders = {name: RetireOrder([f"{name[:3]}@h:1"]) for name in (LONG_NAME, LONG_NAME + "x", "storage-1")}
    writes = [retirement.encode_order(name, order) for name, order in orders.items()]
    assert all(len(write.key.encode()) <= MAX_KEY_BYTES for write in writes)
    decoded = retirement.decode_orders((write.key, write.value or b"") for write in writes)
    assert {name: order.identities for name, order in decoded.items()} == {
        name: order.identities for name, order in orders.items()
    }


def test_result_keys_of_ids_up_to_the_limit_are_as_the_version_before_wrote_them() -> None:
    """Guards against stores of the version before whose results are no longer found."""
    longest = "a" * job_ids.MAX_NAME_BYTES
    assert result_key(longest, 7) == f"result/{longest}/0000007"
    assert len(result_key(longest, 7)) == MAX_KEY_BYTES
