"""Estimates each endpoint's current load from the calls that this sidecar has in flight.

An endpoint processes prompts (prefill) between the tokens of the requests that it is already running, so a
long prefill queue delays the events of its streams. A sidecar observes this as gaps in its own streams, both
live requests and batch items, and as prompts that it has sent and that have not produced a first event.
"""

from __future__ import annotations

TYPICAL_EVENT_GAP_US = 50_000  # between two events of a stream while few prompts are processed
GAP_US_PER_CALL = 12_000  # a gap longer than that by this much counts as one call
PROMPT_TOKENS_PER_CALL = 1_200  # prompt tokens without a first event that count as one call
LOAD_PER_STREAM = 0.04  # in calls, for each running stream
# Calls of other sidecars count like running streams until the endpoint's utilization passes the threshold.
# Beyond it all calls add load in proportion to the excess; CONGESTION_LOAD is the load per full capacity.
CONGESTION_UTILIZATION, CONGESTION_LOAD = 0.5, 8.0


class EndpointActivity:
    """The state of one endpoint as observed through this sidecar's calls."""

    __slots__ = ("active_streams", "calls_in_flight", "last_event_us", "pending_prompt_tokens")

    def __init__(self) -> None:
        self.calls_in_flight = 0  # sent and not ended
        self.pending_prompt_tokens = 0  # of calls sent that have no event yet
        self.active_streams = 0  # calls with a first event that have not ended
        self.last_event_us = 0

    def on_sent(self, tokens: int) -> None:
        self.calls_in_flight += 1
        self.pending_prompt_tokens += tokens

    def on_first_event(self, now_us: int, tokens: int) -> None:
        self.pending_prompt_tokens -= tokens
        self.active_streams += 1
        self.last_event_us = now_us

    def on_event(self, now_us: int) -> None:
        self.last_event_us = now_us

    def on_ended(self, tokens: int, started: bool) -> None:
        self.calls_in_flight -= 1
        if started:
            self.active_streams -= 1
        else:
            self.pending_prompt_tokens -= tokens

    def load(self, now_us: int, peer_calls: int = 0, capacity: int = 0) -> float:
        """The estimated load, in units of one call.

        `peer_calls`: calls that other sidecars have in flight to this endpoint. `capacity`: calls that it
        processes concurrently, 0 if unknown.
        """
        excess_gap_us = now_us - self.last_event_us - TYPICAL_EVENT_GAP_US if self.active_streams else 0
        prefill_load = (
            max(0, excess_gap_us) / GAP_US_PER_CALL + self.pending_prompt_tokens / PROMPT_TOKENS_PER_CALL
        )
        utilization = (peer_calls + self.calls_in_flight) / capacity if capacity > 0 else 0.0
        congestion_load = CONGESTION_LOAD * max(0.0, utilization - CONGESTION_UTILIZATION)
        return 1.0 + prefill_load + LOAD_PER_STREAM * (self.active_streams + peer_calls) + congestion_load
