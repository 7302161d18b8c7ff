"""An accepted item is always held by a sidecar that runs it, or waits to be assigned.

Runs the real storage service and item runners on real sockets, without knowledge of their protocol.
See docs/incidents/lost-item.md.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from unittest import mock

import msgspec
import pytest

from eiderhub.batch.job_ids import JOB_PREFIX
from eiderhub.batch.jobs import INITIAL_RESULT_BYTES, JobRecord
from eiderhub.batch.messages import ItemKey, RunItem
from eiderhub.batch.workers import MIN_WINDOW, WorkerHealth
from eiderhub.control.errors import ErrorKind, Refusal
from eiderhub.control.freshness import MAX_TABLE_AGE_S
from eiderhub.coordination.messages import Write
from eiderhub.dataplane.admission import Attempt, Call
from eiderhub.dataplane.events import Event
from eiderhub.dataplane.items import ItemRunner, RunningItem
from eiderhub.dataplane.routes import RouteTable
from eiderhub.programs.storage_service import MAX_STORE_FRACTION
from tests.items_support import (
    ROUTE,
    TIMEOUT_S,
    Harness,
    ManualAdmission,
    Sidecar,
    running_harness,
    wait_for_results,
    wait_until,
)
from tests.tier_support import document

EXPIRED_JOBS = 100  # too many for the bound of a wait, at two a second
RECONNECT_GRACE_S = 0.8  # time for a disconnected sidecar to reconnect


class LapsingLease:
    """The lease of the primary as seen by the service; lapses when the test says so."""

    def __init__(self, harness: Harness, monkeypatch: pytest.MonkeyPatch) -> None:
        replica = harness.storage.service.group.replica
        self._leads = replica.leads
        self.lapsed: Callable[[], bool] = lambda: False
        monkeypatch.setattr(replica, "leads", lambda now: not self.lapsed() and self._leads(now))

    def lapse_at_check(self, index: int) -> None:
        """Lapse for a single check, the one with this index from now on."""
        checks = iter(range(index + 1))

        def lapsed() -> bool:
            return next(checks, -1) == index

        self.lapsed = lapsed


async def wait_for_item(sidecar: Sidecar, item: str) -> None:
    await wait_until(lambda: item in sidecar.admission.calls, f"{item} at a sidecar")


def test_item_returned_while_a_session_opens_is_run_again(tmp_path: Path) -> None:
    """The sidecar has announced the item; its attempt fails before the answer of the primary arrives."""

    async def test() -> None:
        async with running_harness(tmp_path) as harness:
            sidecar = await harness.add_sidecar("edge-0")
            assert await sidecar.submit("job", "a") == 202
            await wait_until(lambda: "a" in sidecar.admission.calls, "the item is at the sidecar")
            sidecar.proxy.forwarding.clear()
            before = sidecar.proxy.session_count
            sidecar.proxy.disconnect()
            await wait_until(lambda: sidecar.proxy.session_count > before, "another session opens")
            await wait_until(lambda: harness.storage.service._connections, "the primary has accepted it")
            sidecar.admission.fail_item("a")
            sidecar.proxy.forwarding.set()
            await wait_until(lambda: "a" in sidecar.admission.calls, "the item is assigned again")
            sidecar.admission.finish_item("a")
            await wait_for_results(sidecar, "job", "a")

    asyncio.run(test())


def test_items_of_a_sidecar_lost_while_the_lease_lapses_are_run_elsewhere(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It never reconnects, and when its items are due to be reclaimed the lease of the primary has lapsed."""

    async def test() -> None:
        async with running_harness(tmp_path) as harness:
            sidecar, other = await harness.add_sidecar("edge-0"), await harness.add_sidecar("edge-1")
            lease = LapsingLease(harness, monkeypatch)
            assert await sidecar.submit("job", "a", "b") == 202
            await wait_until(lambda: len(sidecar.admission.calls | other.admission.calls) == 2, "both run")
            sidecar.runner.stop()
            sidecar.proxy.close()
            loop = asyncio.get_running_loop()
            until_s = loop.time() + 2 * RECONNECT_GRACE_S
            lease.lapsed = lambda: loop.time() < until_s
            first, last = ("a", "b") if "a" in other.admission.calls else ("b", "a")
            await wait_for_item(other, first)
            other.admission.start_item(first)  # an unproven sidecar gets no more until then
            await wait_for_item(other, last)
            for item in "ab":
                other.admission.finish_item(item)
            await wait_for_results(other, "job", "a", "b")

    asyncio.run(test())


@pytest.mark.parametrize("check", range(8))
def test_result_is_committed_although_the_lease_lapses_on_its_arrival(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, check: int
) -> None:
    """Whichever lease check fails, the table is never ahead of the store in an epoch that continues."""

    async def test() -> None:
        async with running_harness(tmp_path) as harness:
            sidecar = await harness.add_sidecar("edge-0")
            lease = LapsingLease(harness, monkeypatch)
            assert await sidecar.submit("job", "a", "b") == 202
            await wait_for_item(sidecar, "a")
            sidecar.admission.start_item("a")  # an unproven sidecar gets one item until one starts
            await wait_for_item(sidecar, "b")
            result_received = asyncio.Event()
            on_message = harness.storage.service.on_message

            def record_message(connection: object, message: object) -> None:
                if type(message).__name__ == "ItemFinished" and not result_received.is_set():
                    result_received.set()
                    lease.lapse_at_check(check)
                on_message(connection, message)  # type: ignore[arg-type]

            monkeypatch.setattr(harness.storage.service, "on_message", record_message)
            sidecar.admission.finish_item("a")
            await result_received.wait()
            await wait_for_item(sidecar, "b")
            sidecar.admission.finish_item("b")
            async with asyncio.timeout(TIMEOUT_S):
                while sorted(await sidecar.results("job")) != ["a", "b"]:
                    for item in list(sidecar.admission.calls):  # a new epoch may run them again
                        sidecar.admission.finish_item(item)
                    await asyncio.sleep(0.01)

    asyncio.run(test())


def test_item_whose_attempt_makes_no_progress_is_reassigned(tmp_path: Path) -> None:
    """An endpoint whose machine has lost power sends nothing: only the sidecar can end the attempt."""

    async def test() -> None:
        async with running_harness(tmp_path) as harness:
            sidecar = await harness.add_sidecar("edge-0")
            assert await sidecar.submit("job", "a") == 202
            await wait_until(lambda: len(sidecar.admission.ordered) > 1, "the item is assigned again")
            sidecar.admission.finish_item("a")
            await wait_for_results(sidecar, "job", "a")

    asyncio.run(test())


def test_submission_of_an_earlier_epoch_does_not_affect_the_resubmitted_job(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A new epoch begins while the tokens of the first call are being charged, and its client resubmits."""

    async def test() -> None:
        async with running_harness(tmp_path) as harness:
            service = harness.storage.service
            sidecar, other = await harness.add_sidecar("edge-0"), await harness.add_sidecar("edge-1")
            gates = [asyncio.Event(), asyncio.Event()]
            charging: list[int] = []

            async def charge_tenant(route: str, tokens: int) -> Refusal | None:
                charging.append(len(charging))
                number = charging[-1]
                await gates[number].wait()
                return Refusal(ErrorKind.NO_ROOM, "the cap has run out") if number == 0 else None

            monkeypatch.setattr(service._batch_calls, "_charge_tenant", charge_tenant)
            first = asyncio.create_task(sidecar.submit("job", "a"))
            await wait_until(lambda: len(charging) == 1, "the first call is being charged")
            epoch = service.group.replica.epoch
            service.group._resign()
            await wait_until(lambda: service.group.leads() and service._epoch > epoch, "another epoch")
            await wait_until(other.runner._session_ready.is_set, "a session")
            second = asyncio.create_task(other.submit("job", "a"))
            await wait_until(lambda: len(charging) == 2, "the second call is being charged")
            gates[0].set()
            assert await first in (503, 504)
            third = asyncio.create_task(other.submit("job", "a"))
            await asyncio.sleep(0)
            await wait_until(lambda: service._jobs.jobs.get("job"), "the job stays in the table")
            assert not third.done()
            gates[1].set()
            assert await second == 202
            assert await third == 202
            await wait_until(lambda: "a" in sidecar.admission.calls | other.admission.calls, "its item runs")

    asyncio.run(test())


def test_item_at_a_sidecar_without_reachable_endpoints_is_run_elsewhere(tmp_path: Path) -> None:
    """Not even live calls are answered there: it returns its items long before the silence timeout."""

    async def test() -> None:
        async with running_harness(tmp_path) as harness:
            stuck, other = await harness.add_sidecar("edge-0"), await harness.add_sidecar("edge-1")
            stuck.admission.endpoints_answer = False
            assert await stuck.submit("job", "a", "b") == 202
            await wait_until(lambda: len(stuck.admission.calls | other.admission.calls) == 2, "both run")
            held = list(stuck.admission.calls)
            assert held, "the stuck sidecar has an item"
            other.admission.start_item(*other.admission.calls)
            await wait_for_item(other, held[0])
            worker = harness.storage.service._dispatcher.scheduler.workers["edge-0"]
            assert worker.free_slots(0.0, 0, ignore_stuck_pause=True) <= MIN_WINDOW
            assert worker.health is WorkerHealth.STUCK
            for item in "ab":
                other.admission.finish_item(item)
            await wait_for_results(other, "job", "a", "b")

    asyncio.run(test())


def test_item_out_of_attempts_ends_without_a_control_session(tmp_path: Path) -> None:
    """No sidecar runs it any more: without a result it would wait forever. No control session exists here."""

    async def test() -> None:
        async with running_harness(tmp_path) as harness:
            sidecar = await harness.add_sidecar("edge-0")
            assert await sidecar.submit("job", "a") == 202
            await wait_for_item(sidecar, "a")
            sidecar.admission.calls["a"].server_errors = harness.storage.service._jobs.jobs[
                "job"
            ].record.max_attempts
            sidecar.admission.fail_item("a")
            await wait_for_results(sidecar, "job", "a")

    asyncio.run(test())


def test_items_are_assigned_while_dead_letters_wait_for_their_commit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A commit may take as long as a backup is unavailable; nothing else waits for it."""

    async def test() -> None:
        async with running_harness(tmp_path) as harness:
            service = harness.storage.service
            sidecar = await harness.add_sidecar("edge-0")
            assert await sidecar.submit("job", "a") == 202
            await wait_for_item(sidecar, "a")
            group_commit = service.group.commit
            held_up = asyncio.Event()

            async def commit(change: Callable[[], list[Write]]) -> None:
                await group_commit(change)
                held_up.set()
                await asyncio.Event().wait()

            sidecar.admission.calls["a"].server_errors = harness.storage.service._jobs.jobs[
                "job"
            ].record.max_attempts
            monkeypatch.setattr(service.group, "commit", commit)
            sidecar.admission.fail_item("a")
            async with asyncio.timeout(TIMEOUT_S):
                await held_up.wait()
            monkeypatch.setattr(service.group, "commit", group_commit)
            assert await sidecar.submit("next", "b") == 202
            await wait_for_item(sidecar, "b")
            sidecar.admission.fail_item("b")
            await wait_for_item(sidecar, "b")

    asyncio.run(test())


def test_nearly_full_store_rejects_jobs_and_completes_accepted_ones(tmp_path: Path) -> None:
    """Space is reserved for the results of accepted jobs; a resubmitted job is recognised."""

    async def test() -> None:
        async with running_harness(tmp_path) as harness:
            sidecar = await harness.add_sidecar("edge-0")
            store = harness.storage.store
            store.limit_bytes = int((store.used_bytes + 4.5 * INITIAL_RESULT_BYTES) / MAX_STORE_FRACTION)
            assert await sidecar.submit("job", "a", "b", "c", "d") == 202
            assert await sidecar.submit("next", "e") == 429
            assert await sidecar.submit("job", "a", "b", "c", "d") == 202
            for item in "abcd":
                await wait_for_item(sidecar, item)
                sidecar.admission.finish_item(item)
            await wait_for_results(sidecar, "job", "a", "b", "c", "d")
            assert store.get("body/job") is None
            assert await sidecar.submit("next", "e") == 202

    asyncio.run(test())


def test_routes_are_checked_once_the_configuration_is_newer_than_the_epoch(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The last primary may have accepted a job for a route that this primary does not know yet."""

    async def test() -> None:
        async with running_harness(tmp_path) as harness:
            service = harness.storage.service
            monkeypatch.setattr(service._session, "is_fresh", lambda: True)
            service._leading_since = service._now()
            assert service._known_routes() is None
            service._leading_since -= MAX_TABLE_AGE_S + 0.001
            assert service._known_routes() == {"live", "lots"}

    asyncio.run(test())


def running_item(slo_ms: int, tries: int = 0) -> RunningItem:
    """An item that waits in the queue of a sidecar, with a route of that objective."""
    configuration = document(1)
    configuration["routes"][1]["slo_ms"] = slo_ms
    route = RouteTable(1, configuration).by_name[ROUTE]
    order = RunItem(ItemKey("job", "a"), ROUTE, "/", {}, b"", 0, None, tries)
    runner = mock.Mock(spec=ItemRunner)
    runner.now.return_value = 0.0
    item = RunningItem(runner, order)
    item.call = Call("a", route, b"a", (b"", b""), 0, "t", (0, 0), item)
    return item


@pytest.mark.parametrize(
    ("slo_ms", "tries", "checks"), [(100, 0, 4), (616, 0, 5), (616, 1, 10), (616, 5, 16), (3_000, 0, 16)]
)
def test_sent_item_is_returned_by_its_objective_while_endpoints_are_silent(
    slo_ms: int, tries: int, checks: int
) -> None:
    item = running_item(slo_ms, tries)
    assert item.call is not None
    item.call.current_attempt = mock.Mock(spec=Attempt)
    assert [item.check_stalled(no_data=True) for _ in range(checks + 1)] == [False] * checks + [True]
    assert not item.check_stalled(no_data=False)
    assert not item.check_stalled(no_data=True)


@pytest.mark.parametrize(
    ("slo_ms", "tries", "checks"), [(100, 0, 3), (616, 0, 3), (757, 5, 3), (1_200, 0, 4), (9_000, 0, 16)]
)
@pytest.mark.parametrize("no_data", [False, True])
def test_item_that_no_endpoint_accepts_is_returned_by_its_objective(
    slo_ms: int, tries: int, checks: int, no_data: bool
) -> None:
    """Regardless of other calls at the sidecar and of earlier returns of the item."""
    item = running_item(slo_ms, tries)
    assert [item.check_stalled(no_data) for _ in range(checks + 1)] == [False] * checks + [True]


def test_started_item_is_not_returned_because_of_other_calls() -> None:
    item = running_item(100)
    item.event(Event(b"", 0, "text"))
    assert not any(item.check_stalled(no_data=True) for _ in range(20))


@pytest.mark.parametrize("sent", [False, True])
def test_item_of_a_moved_route_is_not_sent_to_the_previous_service(tmp_path: Path, sent: bool) -> None:
    """It is sent by the configuration in force at that time, not by that of its arrival."""

    async def test() -> None:
        async with running_harness(tmp_path) as harness:
            sidecar = await harness.add_sidecar("edge-0")
            previous = sidecar.admission
            previous.endpoints_answer = sent  # whether the call is at an endpoint
            assert await sidecar.submit("job", "a") == 202
            await wait_for_item(sidecar, "a")
            call = previous.calls["a"]
            sidecar.admission = ManualAdmission()
            sidecar.runner.on_routes_changed(2)
            assert call.no_further_attempts == sent
            if sent:
                assert list(previous.calls) == ["a"]
                previous.fail_item("a")  # its attempt has failed: no other follows there
            await wait_for_item(sidecar, "a")
            assert previous.calls == {}
            assert previous.ordered == ["a"]
            sidecar.admission.finish_item("a")
            await wait_for_results(sidecar, "job", "a")

    asyncio.run(test())


def test_attempts_at_other_sidecars_count_at_the_next_one(tmp_path: Path) -> None:
    """The attempts that its route allows are counted in total, not per sidecar."""

    async def test() -> None:
        async with running_harness(tmp_path) as harness:
            sidecar = await harness.add_sidecar("edge-0")
            assert await sidecar.submit("job", "a") == 202
            await wait_for_item(sidecar, "a")
            assert sidecar.admission.calls["a"].possible_runs == 0
            failed_attempts = harness.storage.service._jobs.jobs["job"].record.max_attempts - 1
            assert failed_attempts > 0
            sidecar.admission.calls["a"].server_errors = failed_attempts
            sidecar.admission.fail_item("a")
            await wait_for_item(sidecar, "a")
            assert sidecar.admission.calls["a"].possible_runs == failed_attempts
            await wait_until(lambda: harness.storage.store.get("errors/job"), "the count is stored")
            sidecar.admission.finish_item("a")
            await wait_for_results(sidecar, "job", "a")
            assert harness.storage.store.get("errors/job") is None

    asyncio.run(test())


def test_expired_jobs_are_removed_faster_than_jobs_arrive(tmp_path: Path) -> None:
    """Guards against a store that fills with expired jobs: one was removed every half a second."""

    async def test() -> None:
        async with running_harness(tmp_path) as harness:
            service = harness.storage.service
            records = [JobRecord(f"old-{n}", ROUTE, 1.0, 1.0, 1.0, 1, [], True) for n in range(EXPIRED_JOBS)]
            await service.group.write([Write(JOB_PREFIX + r.id, msgspec.msgpack.encode(r)) for r in records])
            service._jobs.load()
            await wait_until(lambda: not service._jobs.jobs, "all expired jobs are removed")
            assert list(harness.storage.store.scan(JOB_PREFIX)) == []

    asyncio.run(test())
