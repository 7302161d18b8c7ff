"""An accepted item is held by somebody who works on it, or waits to be given out.

See docs/incidents/lost-item.md.

On real sockets, with the real storage service and item runners: nothing here knows how they agree.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from unittest import mock

import pytest

from eiderhub.batch.jobs import FIRST_RESULT_BYTES
from eiderhub.batch.messages import ItemKey, RunItem
from eiderhub.batch.workers import LEAST_WINDOW, Standing
from eiderhub.control.errors import ErrorKind, Refusal
from eiderhub.control.freshness import FRESH_S
from eiderhub.coordination.messages import Write
from eiderhub.dataplane.admission import Attempt, Call
from eiderhub.dataplane.events import Event
from eiderhub.dataplane.items import ItemRunner, RunningItem
from eiderhub.dataplane.routes import RouteTable
from eiderhub.programs.storage_service import SPACE_SHARE
from tests.items_support import BOUND_S, ROUTE, Bench, HandAdmission, Sidecar, bench, listed, until
from tests.tier_support import document

RETURN_S = 0.8  # a sidecar that has gone has so long to come back


class LeaseThatLapses:
    """The primary's lease, as the service sees it: it says no where the test wants it to."""

    def __init__(self, made: Bench, monkeypatch: pytest.MonkeyPatch) -> None:
        replica = made.storage.service.group.replica
        self._leads = replica.leads
        self.lapsed: Callable[[], bool] = lambda: False
        monkeypatch.setattr(replica, "leads", lambda now: not self.lapsed() and self._leads(now))

    def lapse_at_look(self, number: int) -> None:
        """Lapse for one look, the so many-th from now."""
        looks = iter(range(number + 1))

        def lapsed() -> bool:
            return next(looks, -1) == number

        self.lapsed = lapsed


async def holds(sidecar: Sidecar, item: str) -> None:
    await until(lambda: item in sidecar.admission.calls, f"{item} at a sidecar")


def test_item_given_back_while_a_session_opens_is_run_again(tmp_path: Path) -> None:
    """The sidecar has announced the item; the primary's answer is on its way when the attempt fails."""

    async def test() -> None:
        async with bench(tmp_path) as made:
            sidecar = await made.sidecar("edge-0")
            assert await sidecar.submit("job", "a") == 202
            await until(lambda: "a" in sidecar.admission.calls, "the item at the sidecar")
            sidecar.wire.open.clear()
            before = sidecar.wire.sessions
            sidecar.wire.cut()
            await until(lambda: sidecar.wire.sessions > before, "another session opens")
            await until(lambda: made.storage.service._connections, "the primary has taken it")
            sidecar.admission.refuse("a")
            sidecar.wire.open.set()
            await until(lambda: "a" in sidecar.admission.calls, "the item is given out again")
            sidecar.admission.finish("a")
            await listed(sidecar, "job", "a")

    asyncio.run(test())


def test_items_of_a_sidecar_that_goes_while_the_lease_lapses_are_run_elsewhere(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It never comes back, and in the moment in which that is judged the primary may not judge."""

    async def test() -> None:
        async with bench(tmp_path) as made:
            sidecar, other = await made.sidecar("edge-0"), await made.sidecar("edge-1")
            lease = LeaseThatLapses(made, monkeypatch)
            assert await sidecar.submit("job", "a", "b") == 202
            await until(lambda: len(sidecar.admission.calls | other.admission.calls) == 2, "both run")
            sidecar.runner.stop()
            sidecar.wire.close()
            loop = asyncio.get_running_loop()
            until_s = loop.time() + 2 * RETURN_S
            lease.lapsed = lambda: loop.time() < until_s
            first, last = ("a", "b") if "a" in other.admission.calls else ("b", "a")
            await holds(other, first)
            other.admission.begin(first)  # one that is not tested gets no more until then
            await holds(other, last)
            for item in "ab":
                other.admission.finish(item)
            await listed(other, "job", "a", "b")

    asyncio.run(test())


@pytest.mark.parametrize("look", range(8))
def test_result_is_listed_though_the_lease_lapses_while_it_is_taken(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, look: int
) -> None:
    """Whichever look at the lease says no: the table is never ahead of the store in an epoch that goes on."""

    async def test() -> None:
        async with bench(tmp_path) as made:
            sidecar = await made.sidecar("edge-0")
            lease = LeaseThatLapses(made, monkeypatch)
            assert await sidecar.submit("job", "a", "b") == 202
            await holds(sidecar, "a")
            sidecar.admission.begin("a")  # a sidecar of which nothing is known gets one item until one moves
            await holds(sidecar, "b")
            taken = asyncio.Event()
            on_message = made.storage.service.on_message

            def told(connection: object, message: object) -> None:
                if type(message).__name__ == "ItemFinished" and not taken.is_set():
                    taken.set()
                    lease.lapse_at_look(look)
                on_message(connection, message)  # type: ignore[arg-type]

            monkeypatch.setattr(made.storage.service, "on_message", told)
            sidecar.admission.finish("a")
            await taken.wait()
            await holds(sidecar, "b")
            sidecar.admission.finish("b")
            async with asyncio.timeout(BOUND_S):
                while sorted(await sidecar.results("job")) != ["a", "b"]:
                    for item in list(sidecar.admission.calls):  # another epoch may run them again
                        sidecar.admission.finish(item)
                    await asyncio.sleep(0.01)

    asyncio.run(test())


def test_item_whose_attempt_does_not_move_is_given_to_another(tmp_path: Path) -> None:
    """An endpoint whose machine has lost its power says nothing: nobody but us ends the attempt."""

    async def test() -> None:
        async with bench(tmp_path) as made:
            sidecar = await made.sidecar("edge-0")
            assert await sidecar.submit("job", "a") == 202
            await until(lambda: len(sidecar.admission.begun) > 1, "the item is given out again")
            sidecar.admission.finish("a")
            await listed(sidecar, "job", "a")

    asyncio.run(test())


def test_job_of_an_earlier_epoch_does_not_touch_the_one_that_is_sent_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first call is still being paid for when another epoch begins, and its client asks again."""

    async def test() -> None:
        async with bench(tmp_path) as made:
            service = made.storage.service
            sidecar, other = await made.sidecar("edge-0"), await made.sidecar("edge-1")
            gates = [asyncio.Event(), asyncio.Event()]
            paying: list[int] = []

            async def pay(route: str, tokens: int) -> Refusal | None:
                paying.append(len(paying))
                number = paying[-1]
                await gates[number].wait()
                return Refusal(ErrorKind.NO_ROOM, "the cap has run out") if number == 0 else None

            monkeypatch.setattr(service._calls, "_pay", pay)
            first = asyncio.create_task(sidecar.submit("job", "a"))
            await until(lambda: len(paying) == 1, "the first call is being paid for")
            epoch = service.group.replica.epoch
            service.group._resign()
            await until(lambda: service.group.leads() and service._epoch > epoch, "another epoch")
            await until(other.runner._up.is_set, "a session")
            second = asyncio.create_task(other.submit("job", "a"))
            await until(lambda: len(paying) == 2, "the second call is being paid for")
            gates[0].set()
            assert await first in (503, 504)
            third = asyncio.create_task(other.submit("job", "a"))
            await asyncio.sleep(0)
            await until(lambda: service._jobs.jobs.get("job"), "the job stays in the table")
            assert not third.done()
            gates[1].set()
            assert await second == 202
            assert await third == 202
            await until(lambda: "a" in sidecar.admission.calls | other.admission.calls, "its item runs")

    asyncio.run(test())


def test_item_at_a_sidecar_that_reaches_no_endpoint_is_run_elsewhere(tmp_path: Path) -> None:
    """Nothing answers that sidecar, live calls neither: it gives its items back long before one is silent."""

    async def test() -> None:
        async with bench(tmp_path) as made:
            stuck, other = await made.sidecar("edge-0"), await made.sidecar("edge-1")
            stuck.admission.reaches_others = False
            assert await stuck.submit("job", "a", "b") == 202
            await until(lambda: len(stuck.admission.calls | other.admission.calls) == 2, "both run")
            taken = list(stuck.admission.calls)
            assert taken, "the test wants an item at the sidecar that is stuck"
            other.admission.begin(*other.admission.calls)
            await holds(other, taken[0])
            worker = made.storage.service._dispatch.scheduler.workers["edge-0"]
            assert worker.free(0.0, 0, wanted=True) <= LEAST_WINDOW
            assert worker.standing is Standing.STUCK
            for item in "ab":
                other.admission.finish(item)
            await listed(other, "job", "a", "b")

    asyncio.run(test())


def test_item_out_of_attempts_is_listed_though_there_is_no_control_session(tmp_path: Path) -> None:
    """Nobody runs it any more: were it not listed, it would wait with nobody. Here is no such session."""

    async def test() -> None:
        async with bench(tmp_path) as made:
            sidecar = await made.sidecar("edge-0")
            assert await sidecar.submit("job", "a") == 202
            await holds(sidecar, "a")
            sidecar.admission.calls["a"].errors = made.storage.service._jobs.jobs["job"].record.max_attempts
            sidecar.admission.refuse("a")
            await listed(sidecar, "job", "a")

    asyncio.run(test())


def test_items_are_given_out_while_dead_letters_wait_for_their_commit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A commit may take as long as a backup is away: nothing else waits for it."""

    async def test() -> None:
        async with bench(tmp_path) as made:
            service = made.storage.service
            sidecar = await made.sidecar("edge-0")
            assert await sidecar.submit("job", "a") == 202
            await holds(sidecar, "a")
            group_commit = service.group.commit
            held_up = asyncio.Event()

            async def commit(change: Callable[[], list[Write]]) -> None:
                await group_commit(change)
                held_up.set()
                await asyncio.Event().wait()

            sidecar.admission.calls["a"].errors = made.storage.service._jobs.jobs["job"].record.max_attempts
            monkeypatch.setattr(service.group, "commit", commit)
            sidecar.admission.refuse("a")
            async with asyncio.timeout(BOUND_S):
                await held_up.wait()
            monkeypatch.setattr(service.group, "commit", group_commit)
            assert await sidecar.submit("next", "b") == 202
            await holds(sidecar, "b")
            sidecar.admission.refuse("b")
            await holds(sidecar, "b")

    asyncio.run(test())


def test_store_that_is_nearly_full_takes_no_job_and_lists_all_that_it_took(tmp_path: Path) -> None:
    """Room is kept for the results of what was taken; a job that is sent again is known."""

    async def test() -> None:
        async with bench(tmp_path) as made:
            sidecar = await made.sidecar("edge-0")
            store = made.storage.store
            store.limit_bytes = int((store.used_bytes + 4.5 * FIRST_RESULT_BYTES) / SPACE_SHARE)
            assert await sidecar.submit("job", "a", "b", "c", "d") == 202
            assert await sidecar.submit("next", "e") == 429
            assert await sidecar.submit("job", "a", "b", "c", "d") == 202
            for item in "abcd":
                await holds(sidecar, item)
                sidecar.admission.finish(item)
            await listed(sidecar, "job", "a", "b", "c", "d")
            assert store.get("body/job") is None
            assert await sidecar.submit("next", "e") == 202

    asyncio.run(test())


def test_routes_are_judged_once_what_is_known_is_newer_than_the_epoch(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A job may have been taken for a route that the last primary knew, and this one does not know yet."""

    async def test() -> None:
        async with bench(tmp_path) as made:
            service = made.storage.service
            monkeypatch.setattr(service._session, "fresh", lambda: True)
            service._led_since = service._now()
            assert service._known_routes() is None
            service._led_since -= FRESH_S + 0.001
            assert service._known_routes() == {"live", "lots"}

    asyncio.run(test())


def running_item(objective_ms: int, tries: int = 0) -> RunningItem:
    """An item that waits in the queue of a sidecar, by a route with that objective."""
    made = document(1)
    made["routes"][1]["slo_ms"] = objective_ms
    route = RouteTable(1, made).by_name[ROUTE]
    order = RunItem(ItemKey("job", "a"), ROUTE, "/", {}, b"", 0, None, tries)
    runner = mock.Mock(spec=ItemRunner)
    runner.now.return_value = 0.0
    item = RunningItem(runner, order)
    item.call = Call("a", route, b"a", (b"", b""), 0, "t", (0, 0), item)
    return item


@pytest.mark.parametrize(
    ("objective_ms", "tries", "looks"), [(100, 0, 4), (616, 0, 5), (616, 1, 10), (616, 5, 16), (3_000, 0, 16)]
)
def test_item_that_was_sent_is_given_back_by_its_objective_where_endpoints_say_nothing(
    objective_ms: int, tries: int, looks: int
) -> None:
    item = running_item(objective_ms, tries)
    assert item.call is not None
    item.call.current = mock.Mock(spec=Attempt)
    assert [item.looked_at(still=True) for _ in range(looks + 1)] == [False] * looks + [True]
    assert not item.looked_at(still=False)
    assert not item.looked_at(still=True)


@pytest.mark.parametrize(
    ("objective_ms", "tries", "looks"), [(100, 0, 3), (616, 0, 3), (757, 5, 3), (1_200, 0, 4), (9_000, 0, 16)]
)
@pytest.mark.parametrize("still", [False, True])
def test_item_that_no_endpoint_takes_is_given_back_by_its_objective(
    objective_ms: int, tries: int, looks: int, still: bool
) -> None:
    """Whatever other calls do here, and however often the item has been given back before."""
    item = running_item(objective_ms, tries)
    assert [item.looked_at(still) for _ in range(looks + 1)] == [False] * looks + [True]


def test_item_that_has_begun_is_not_given_back_for_what_other_calls_do() -> None:
    item = running_item(100)
    item.event(Event(b"", 0, "text"))
    assert not any(item.looked_at(still=True) for _ in range(20))


@pytest.mark.parametrize("sent", [False, True])
def test_item_whose_route_has_moved_is_not_sent_to_the_service_of_before(tmp_path: Path, sent: bool) -> None:
    """It reaches endpoints by what is in force then, not by what was when it came."""

    async def test() -> None:
        async with bench(tmp_path) as made:
            sidecar = await made.sidecar("edge-0")
            before = sidecar.admission
            before.reaches_others = sent  # whether an endpoint has it
            assert await sidecar.submit("job", "a") == 202
            await holds(sidecar, "a")
            call = before.calls["a"]
            sidecar.admission = HandAdmission()
            sidecar.runner.routes_changed(2)
            assert call.final == sent
            if sent:
                assert list(before.calls) == ["a"]
                before.refuse("a")  # its attempt has failed: nothing follows it there
            await holds(sidecar, "a")
            assert before.calls == {}
            assert before.begun == ["a"]
            sidecar.admission.finish("a")
            await listed(sidecar, "job", "a")

    asyncio.run(test())


def test_attempts_that_an_item_has_had_elsewhere_count_at_the_next_sidecar(tmp_path: Path) -> None:
    """Its route allows so many in all, not at each sidecar."""

    async def test() -> None:
        async with bench(tmp_path) as made:
            sidecar = await made.sidecar("edge-0")
            assert await sidecar.submit("job", "a") == 202
            await holds(sidecar, "a")
            assert sidecar.admission.calls["a"].ran == 0
            had = made.storage.service._jobs.jobs["job"].record.max_attempts - 1
            assert had > 0
            sidecar.admission.calls["a"].errors = had
            sidecar.admission.refuse("a")
            await holds(sidecar, "a")
            assert sidecar.admission.calls["a"].ran == had
            await until(lambda: made.storage.store.get("errors/job"), "the count is stored")
            sidecar.admission.finish("a")
            await listed(sidecar, "job", "a")
            assert made.storage.store.get("errors/job") is None

    asyncio.run(test())
