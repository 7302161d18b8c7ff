"""Parts of the data plane that need no sockets: events, routes, endpoint load, request classes."""

from __future__ import annotations

import pytest

from eiderhub.dataplane.activity import TYPICAL_EVENT_GAP_US, EndpointActivity
from eiderhub.dataplane.admission import batch_tenant, class_name, request_class
from eiderhub.dataplane.events import EventParser
from eiderhub.dataplane.items import MAX_TOKENS, token_usage
from eiderhub.dataplane.routes import RouteTable
from eiderhub.interface import Effect

STREAM = b"id: 1\ndata: a\ndata: b\n\nid: 2\r\ndata:c\r\n\r\n: comment\nid: 3\nversions: 4\ndata: d\n\n"


@pytest.mark.parametrize("size", range(1, len(STREAM) + 1))
def test_events_are_parsed_from_chunks_of_any_size(size: int) -> None:
    parser = EventParser()
    events = [e for start in range(0, len(STREAM), size) for e in parser.feed(STREAM[start : start + size])]
    assert [(e.id, e.data) for e in events] == [(1, "a\nb"), (2, "c"), (3, "d")]
    assert b"".join(e.raw_bytes for e in events) == STREAM
    assert not parser.has_partial_event


def test_truncated_event_is_partial() -> None:
    parser = EventParser()
    assert parser.feed(b"id: 1\ndata: a\n") == []
    assert parser.has_partial_event


def make_table() -> RouteTable:
    base = {"host": "H.example", "timeout_ms": 1000, "backend": "s"}
    routes = [
        base | {"name": "short", "path_prefix": "/a/"},
        base | {"name": "long", "path_prefix": "/a/b/", "route_kind": "streaming", "resumable": True},
        base | {"name": "root", "path_prefix": "/", "route_kind": "idempotent"},
        base | {"name": "other", "path_prefix": "/a/", "host": "other", "weighted_backends": [
            {"backend": "s", "weight": 0}, {"backend": "t", "weight": 2}]},
        base | {"name": "lots", "path_prefix": "/l/", "route_kind": "batch", "max_queued_tokens": 5000,
                "completion_window_ms": 10_000},
    ]  # fmt: skip
    return RouteTable(
        1, {"routes": routes, "backends": [{"name": "s", "engine": {"capacity": 4}}, {"name": "t"}]}
    )


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [("h.example", "/a/b/c", "long"), ("H.EXAMPLE", "/a/bc", "short"), ("h.example", "/x", "root"),
     ("other", "/a/b/c", "other"), ("other", "/x", None), ("unknown", "/a/", None)],
)  # fmt: skip
def test_longest_prefix_of_the_host_matches(host: str, path: str, name: str | None) -> None:
    route = make_table().find(host, path)
    assert (route.name if route else None) == name


def test_service_with_zero_weight_is_left_out() -> None:
    route = make_table().by_name["other"]
    assert route.services == (("t", 2),)


@pytest.mark.parametrize(
    ("name", "effect"),
    [("short", Effect.AT_MOST_ONCE), ("long", Effect.IDEMPOTENT), ("root", Effect.IDEMPOTENT),
     ("lots", Effect.IDEMPOTENT)],
)  # fmt: skip
def test_request_class_tells_the_balancer_which_calls_are_idempotent(name: str, effect: Effect) -> None:
    assert request_class(make_table().by_name[name]).effect is effect


def test_routes_with_equal_settings_share_a_class() -> None:
    routes = make_table().by_name
    assert class_name(routes["short"]) == class_name(routes["other"])
    assert class_name(routes["short"]) != class_name(routes["long"])


def test_batch_quota_serves_a_full_queue_within_the_completion_window() -> None:
    assert batch_tenant(make_table().by_name["lots"]).quota_per_s == 0.5


def test_gap_in_streams_raises_the_estimated_load() -> None:
    steady, paused = EndpointActivity(), EndpointActivity()
    for activity in (steady, paused):
        activity.on_sent(100)
        activity.on_first_event(0, 100)
    later = 3 * TYPICAL_EVENT_GAP_US
    steady.on_event(later)
    assert paused.load(later) > 2 * steady.load(later)


def test_pending_prompt_adds_load_until_its_first_event_or_end() -> None:
    activity = EndpointActivity()
    idle = activity.load(0)
    activity.on_sent(5000)
    assert activity.load(0) > idle + 1
    activity.on_ended(5000, started=False)
    assert activity.load(0) == idle
    activity.on_sent(5000)
    activity.on_first_event(0, 5000)
    activity.on_ended(5000, started=True)
    assert (activity.pending_prompt_tokens, activity.active_streams) == (0, 0)


@pytest.mark.parametrize(
    ("text", "tokens"),
    [
        ("1460,80", (1460, 80)),
        ("", (0, 0)),
        ("x", (0, 0)),
        ("5", (0, 0)),
        ("-1,5", (0, 5)),
        ("9" * 30 + ",1", (MAX_TOKENS, 1)),
        ("9" * 5000 + ",1", (0, 0)),
    ],
)
def test_token_usage_header_is_parsed(text: str, tokens: tuple[int, int]) -> None:
    """Also guards against a number that no message holds: the request of a capped tenant got no answer."""
    assert token_usage(text) == tokens
