"""What a sidecar's own streams show of the endpoints' work at this moment.

An endpoint reads prompts between the tokens of the requests that it runs: while it reads many, its streams
pause. A sidecar sees that in its own streams, live ones and batch items alike, and in the prompts that it has
sent and that have not begun to answer.
"""

from __future__ import annotations

USUAL_PAUSE_US = 50_000  # between two events of a stream at an endpoint that reads little
PAUSE_LOAD_US = 12_000  # so long a pause beyond that weighs as much as one call
PROMPT_LOAD_TOKENS = 1_200  # so do so many tokens of prompts that wait to be read
STREAM_LOAD = 0.04  # and a stream that runs weighs so much
# Calls of others weigh as streams while places are free; from a share of the places on all calls weigh more,
# by so much for all places.
CROWDED_SHARE, CROWDED_LOAD = 0.5, 8.0


class EndpointActivity:
    """One endpoint, as this sidecar's calls show it."""

    __slots__ = ("calls", "last_event_us", "prompt_tokens", "streams")

    def __init__(self) -> None:
        self.calls = 0  # sent, not ended
        self.prompt_tokens = 0  # sent, first event not come
        self.streams = 0  # begun, not ended
        self.last_event_us = 0

    def sent(self, tokens: int) -> None:
        self.calls += 1
        self.prompt_tokens += tokens

    def began(self, now_us: int, tokens: int) -> None:
        self.prompt_tokens -= tokens
        self.streams += 1
        self.last_event_us = now_us

    def event(self, now_us: int) -> None:
        self.last_event_us = now_us

    def ended(self, tokens: int, begun: bool) -> None:
        self.calls -= 1
        if begun:
            self.streams -= 1
        else:
            self.prompt_tokens -= tokens

    def load(self, now_us: int, others: int = 0, places: int = 0) -> float:
        """How busy it looks, in calls.

        `others`: calls that other sidecars have out to it. `places`: that it works on at once; 0: not known.
        """
        pause = now_us - self.last_event_us - USUAL_PAUSE_US if self.streams else 0
        reading = max(0, pause) / PAUSE_LOAD_US + self.prompt_tokens / PROMPT_LOAD_TOKENS
        taken = (others + self.calls) / places if places > 0 else 0.0
        crowded = CROWDED_LOAD * max(0.0, taken - CROWDED_SHARE)
        return 1.0 + reading + STREAM_LOAD * (self.streams + others) + crowded
