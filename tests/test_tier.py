"""End-to-end tests of a tier on loopback: steps of tests/features/tier.feature."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.tier_support import EVENTS_PER_STREAM, Program, Tier, document, route, wait_until

scenarios("features/tier.feature")

ITEMS = ["a1", "a2", "a3"]


@pytest.fixture
def tier(tmp_path: Path) -> Iterator[Tier]:
    created = Tier(tmp_path)
    try:
        yield created
    finally:
        created.close()


@pytest.fixture
def first_results() -> dict[str, Any]:
    """Results of the first batch job before a failure, for comparison afterwards."""
    return {}


def complete_stream(request_id: str) -> bytes:
    return b"".join(f"id: {n}\ndata: {request_id} {n}\n\n".encode() for n in range(EVENTS_PER_STREAM))


def submit_until_final(tier: Tier, edge: Program, job: str, items: list[str], prefix: str = "/lots/") -> int:
    """Submit a batch job again until the status is neither 503 nor 504, and return this final status.

    Guards against a storage primary that gets no processor time for a while: its lease ends, and an edge
    answers 503 (not accepted) or 504 (possibly accepted). After either, the job may be submitted again: it
    runs once.
    """

    def final() -> int | None:
        status = tier.submit(edge, job, items, prefix)
        return None if status in (503, 504) else status

    return int(wait_until(final, f"a final answer to job {job}"))


def wait_for_results(tier: Tier, edge: Program, job: str, count: int) -> dict[str, Any]:
    def complete_page() -> dict[str, Any] | None:
        page = tier.results(edge, job)
        return page if page is not None and len(page["results"]) == count else None

    found = wait_until(complete_page, f"{count} results of {job}")
    assert isinstance(found, dict)
    return found


@given("a tier whose programs are all started at the same time")
def _(tier: Tier) -> None:
    tier.start()


@when(parsers.parse("the operator puts configuration {generation:d} based on {base:d}"))
def _(tier: Tier, generation: int, base: int) -> None:
    assert tier.put_configuration(document(generation), base) == 200


@then("every edge becomes ready")
def _(tier: Tier) -> None:
    tier.wait_ready()


@then("each edge returns a complete stream")
def _(tier: Tier) -> None:
    for edge in tier.with_role("edge"):
        status, body, headers = tier.send_request(edge, "/live/x", f"r-{edge.name}")
        assert (status, body) == (200, complete_stream(f"r-{edge.name}"))
        assert headers["Response-Signature"].endswith(f".r-{edge.name}")
    assert sum(sum(e.request_counts.values()) for e in tier.endpoints) == 2


@then("a batch job submitted twice is run once")
def _(tier: Tier, first_results: dict[str, Any]) -> None:
    first, second = tier.with_role("edge")
    wait_until(lambda: tier.submit(first, "job1", ITEMS) == 202, "the batch job accepted")
    assert submit_until_final(tier, second, "job1", ITEMS) == 202
    first_results.update(wait_for_results(tier, second, "job1", len(ITEMS)))
    assert first_results["total"] == len(ITEMS)
    texts = {result["id"]: result["text"] for result in first_results["results"]}
    assert texts == {item: "\n".join(f"{item} {n}" for n in range(EVENTS_PER_STREAM)) for item in ITEMS}
    runs = sum(
        (endpoint.request_counts for endpoint in tier.endpoints),
        start=type(tier.endpoints[0].request_counts)(),
    )
    assert {item: runs[item] for item in ITEMS} == dict.fromkeys(ITEMS, 1)


@when(parsers.parse("the {role} primary is killed"))
def _(tier: Tier, role: str) -> None:
    leader = tier.primary(role)
    others = [p for p in tier.with_role(role) if p is not leader]
    before = sum(p.count_logged("leads epoch") for p in others)
    leader.stop()
    wait_until(lambda: sum(p.count_logged("leads epoch") for p in others) > before, f"another {role} primary")


@when("every program is killed and restarted")
def _(tier: Tier) -> None:
    for program in tier.programs:
        program.stop()
    tier.start()


@then(parsers.parse("the active configuration is {generation:d}"))
def _(tier: Tier, generation: int) -> None:
    assert tier.configuration() == document(generation)


@then(parsers.parse("configuration {generation:d} based on {base:d} is accepted"))
def _(tier: Tier, generation: int, base: int) -> None:
    assert tier.put_configuration(document(generation, route("more")), base) == 200
    edge = tier.with_role("edge")[0]
    wait_until(lambda: tier.send_request(edge, "/more/x", "r-more")[0] == 200, "the new route is active")


@then("the same change is acknowledged again when repeated")
def _(tier: Tier) -> None:
    assert tier.put_configuration(document(7, route("more")), 5) == 200


@then("a change based on 5 is rejected")
def _(tier: Tier) -> None:
    assert tier.put_configuration(document(8), 5) == 412


@then("the results of the batch job are unchanged")
def _(tier: Tier, first_results: dict[str, Any]) -> None:
    for edge in tier.with_role("edge"):
        assert wait_for_results(tier, edge, "job1", len(ITEMS)) == first_results


@then("another batch job is run")
def _(tier: Tier) -> None:
    edge = tier.with_role("edge")[0]
    wait_until(lambda: tier.submit(edge, "job2", ["b1"]) == 202, "the second batch job accepted")
    wait_for_results(tier, edge, "job2", 1)


@then("a stream that its endpoint interrupts within an event is returned complete")
def _(tier: Tier) -> None:
    tier.break_at_events.append(1)
    status, body, _ = tier.send_request(tier.with_role("edge")[0], "/live/x", "r-cut")
    assert (status, body) == (200, complete_stream("r-cut"))
    assert sum(endpoint.request_counts["r-cut"] for endpoint in tier.endpoints) == 2


@then("a sidecar that receives SIGTERM completes the stream in progress before it exits")
def _(tier: Tier) -> None:
    edge = tier.with_role("edge")[0]
    answers: list[tuple[int, bytes, dict[str, str]]] = []
    for endpoint in tier.endpoints:
        endpoint.may_continue.clear()
    requesting = threading.Thread(target=lambda: answers.append(tier.send_request(edge, "/live/x", "r-stop")))
    requesting.start()
    wait_until(
        lambda: any(endpoint.request_counts["r-stop"] for endpoint in tier.endpoints),
        "the stream has reached its endpoint",
    )
    assert edge.process is not None
    edge.process.send_signal(signal.SIGTERM)
    wait_until(lambda: tier.call(edge, "readiness", "GET", "/readyz")[0] == 503, "the sidecar is draining")
    for endpoint in tier.endpoints:
        endpoint.may_continue.set()
    requesting.join()
    assert [(status, body) for status, body, _ in answers] == [(200, complete_stream("r-stop"))]
    assert edge.process.wait(30.0) == 0


CAP_TOKENS = 20_000
REQUEST_TOKENS = 1_000


def capped_configuration(generation: int, cap: int) -> dict[str, Any]:
    """Two tenants with a live and a batch route each; one has a spending cap."""
    batch = {"completion_window_ms": 10_000, "retention_s": 600, "max_queued_tokens": 0}
    routes = [route("other-live"), route("other-lots", "batch", **batch)]
    tenants = [
        {"name": "capped", "routes": ["live", "lots"], "spending_cap_tokens": cap},
        {"name": "other", "routes": ["other-live", "other-lots"]},
    ]
    return document(generation, *routes) | {"tenants": tenants}


def send_until_final(
    tier: Tier, edge: Program, path: str, request_id: str, tokens: int
) -> tuple[int, bytes, dict[str, str]]:
    """Send a request again until the answer is not a 503 with Retry-After, and return this final answer.

    Guards against a control primary that gets no processor time for a while: an edge whose lease of tokens
    is used up gets no new lease within 0.4 s (LEASE_TIMEOUT_S), and rejects the request. A rejected request
    has not run and may be sent again; the endpoints' request counts show that none has run.
    """

    def final() -> tuple[int, bytes, dict[str, str]] | None:
        answer = tier.send_request(edge, path, request_id, tokens=tokens)
        if answer[0] != 503:
            return answer
        time.sleep(float(answer[2]["Retry-After"]))
        return None

    found = wait_until(final, f"a final answer to {request_id}")
    assert isinstance(found, tuple)
    return found


def is_answered_with(tier: Tier, edge: Program, request_id: str, status: int) -> bool:
    return tier.send_request(edge, "/live/x", request_id, tokens=1)[0] == status


@pytest.fixture
def capped_answers() -> dict[str, Any]:
    """Status and body of each answer to the capped tenant, by request id."""
    return {}


@when("the operator puts a configuration that gives one tenant a spending cap")
def _(tier: Tier) -> None:
    assert tier.put_configuration(capped_configuration(5, CAP_TOKENS), 0) == 200


@then("the tenant is served until its cap is used up, and then rejected")
def _(tier: Tier, capped_answers: dict[str, Any]) -> None:
    edges = tier.with_role("edge")
    wait_until(lambda: tier.submit(edges[0], "job1", ITEMS) == 202, "the batch job accepted")
    spent = 20 * len(ITEMS)
    for number in range(2 * CAP_TOKENS // REQUEST_TOKENS):
        status, body, _ = send_until_final(tier, edges[number % 2], "/live/x", f"r-{number}", REQUEST_TOKENS)
        capped_answers[f"r-{number}"] = (status, body)
        if status == 200:
            spent += REQUEST_TOKENS
        else:
            assert status == 429
            break
    assert spent <= CAP_TOKENS
    assert spent > CAP_TOKENS / 2
    assert capped_answers[f"r-{number}"][0] == 429


@then("every edge immediately rejects streaming requests and batch jobs of the tenant")
def _(tier: Tier) -> None:
    for edge in tier.with_role("edge"):
        wait_until(partial(is_answered_with, tier, edge, f"late-{edge.name}", 429), "refused")
        assert submit_until_final(tier, edge, f"late-job-{edge.name}", ["late-item"]) == 429
    assert not any(endpoint.request_counts["late-item"] for endpoint in tier.endpoints)


@then("every edge serves streaming requests and batch jobs of another tenant")
def _(tier: Tier) -> None:
    for number, edge in enumerate(tier.with_role("edge")):
        assert tier.send_request(edge, "/other-live/x", f"o-{number}", tokens=REQUEST_TOKENS)[0] == 200
        assert submit_until_final(tier, edge, f"other-{number}", [f"o-item-{number}"], "/other-lots/") == 202
        wait_for_results(tier, edge, f"other-{number}", 1)


@then("each accepted request and batch item of the tenant is completed exactly once")
def _(tier: Tier, capped_answers: dict[str, Any]) -> None:
    page = wait_for_results(tier, tier.with_role("edge")[1], "job1", len(ITEMS))
    assert sorted(result["id"] for result in page["results"]) == ITEMS
    runs = sum(
        (endpoint.request_counts for endpoint in tier.endpoints),
        start=type(tier.endpoints[0].request_counts)(),
    )
    for request_id, (status, body) in capped_answers.items():
        assert (runs[request_id], body) == ((1, complete_stream(request_id)) if status == 200 else (0, b""))


@then("the cap is still enforced after the control primary was killed")
def _(tier: Tier) -> None:
    leader = tier.primary("control")
    others = [p for p in tier.with_role("control") if p is not leader]
    before = sum(p.count_logged("leads epoch") for p in others)
    leader.stop()
    wait_until(lambda: sum(p.count_logged("leads epoch") for p in others) > before, "another control primary")
    for edge in tier.with_role("edge"):
        assert tier.send_request(edge, "/live/x", f"after-{edge.name}", tokens=1)[0] == 429


@then("the tenant is served again after its cap is raised")
def _(tier: Tier) -> None:
    assert tier.put_configuration(capped_configuration(7, 2 * CAP_TOKENS), 5) == 200
    for edge in tier.with_role("edge"):
        wait_until(partial(is_answered_with, tier, edge, f"again-{edge.name}", 200), "served again")
