"""What a complete response from an endpoint means for its call: the only place that decides it.

A stream that has begun can only be continued by a stream. Anything else that an endpoint answers to the rest
of it is a failed attempt: it neither completes the stream nor replaces what has been received of it. The one
exception is a 422 to a batch item, which says that the item can never be done.

To a client, some statuses promise that its request has not run. An endpoint that gives one of them without
saying that it did not run the request promises nothing, so a request that may run once only is not given it.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

UNPROCESSABLE_STATUS = 422
MISDIRECTED_STATUS = 421
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED_STATUS, 429, 503))  # as PROTOCOL has it, "Answers"
FIRST_ERROR_STATUS = 500
FIRST_NON_SUCCESS_STATUS = 300


class Response(NamedTuple):
    """A response that has ended as its framing says."""

    status: int
    is_stream: bool  # a 200 of type text/event-stream
    event_count: int = 0  # events with an id or data
    ends_in_event: bool = False  # the stream ends in the middle of an event
    signed: bool = False
    not_executed: bool = False


class CallProgress(NamedTuple):
    """How far its call is."""

    begun: bool  # events of it have been received, here or at another sidecar
    is_item: bool
    repeatable: bool  # whether its request may run more than once


class Verdict(Enum):
    COMPLETED = "completed"  # the stream is whole
    ANSWERED = "answered"  # the response is the call's answer
    FAILED = "failed"  # the endpoint has failed; its response is the answer if no attempt is left
    BROKEN = "broken"  # this is no response that the call may be given
    NOT_EXECUTED = "not executed"
    WRONG_INSTANCE = "wrong instance"


def accepts_stream(signed: bool, call: CallProgress) -> bool:
    """Whether the events of a stream may be used, judged by its head.

    A client is given the endpoint's signature with every success; the result of an item has none.
    """
    return signed or call.is_item


def judge(response: Response, call: CallProgress) -> Verdict:
    """What a response means for its call."""
    if response.is_stream:
        # Without events it is not known whether anything is missing, in a continuation either.
        whole = response.event_count > 0 and not response.ends_in_event
        return Verdict.COMPLETED if whole else Verdict.BROKEN
    if response.not_executed:
        return Verdict.NOT_EXECUTED
    if response.status == MISDIRECTED_STATUS:
        return Verdict.WRONG_INSTANCE
    if call.is_item and response.status == UNPROCESSABLE_STATUS:
        return Verdict.ANSWERED
    if response.status < FIRST_NON_SUCCESS_STATUS and (call.begun or not response.signed):
        return Verdict.BROKEN
    if response.status in NOT_RUN_STATUSES and not call.repeatable:
        return Verdict.BROKEN
    if call.begun or response.status >= FIRST_ERROR_STATUS:
        return Verdict.FAILED
    return Verdict.ANSWERED
