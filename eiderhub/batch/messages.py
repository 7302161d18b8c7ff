"""Messages between edge sidecars and the storage group's primary.

Messages of a session are delivered in order, or the session ends. A sidecar lists all items that it holds
when the session opens and then every `REPORT_INTERVAL_S`, so the two sides differ for no longer than that.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from eiderhub.coordination.wire import DEFAULT_SUPPORT, WireSupport

REPORT_INTERVAL_S = 1.0  # how often a sidecar reports the items that it holds
SESSION_TIMEOUT_S = 3.0  # a session is closed once its peer has sent nothing for this long


class ItemKey(Struct, array_like=True, frozen=True):
    job: str
    item: str


class Reach(Enum):
    """Whether a sidecar reaches endpoints, as far as it knows."""

    UNKNOWN = "unknown"
    ANSWERED = "answered"  # endpoints have answered its latest calls
    UNANSWERED = "unanswered"  # endpoints have answered no call since it last returned an item

    @classmethod
    def _missing_(cls, value: object) -> Reach:
        """Map a value of a newer version."""
        return cls.UNKNOWN


class WorkerOpen(Struct, tag=True, frozen=True):
    """Opens the session of an edge sidecar, with the items that it holds."""

    node: str
    zone: str
    running: list[ItemKey]
    reach: Reach = Reach.UNKNOWN
    support: WireSupport = DEFAULT_SUPPORT


class WorkerAccepted(Struct, tag=True, frozen=True):
    epoch: int
    support: WireSupport = DEFAULT_SUPPORT


class WorkerReport(Struct, tag=True, frozen=True):
    """All items that the sidecar holds after reading `received` `RunItem` messages of the session.

    `answered`: whether endpoints have answered any of its calls, live ones included, since the last report.
    `generation`: generation of the configuration that it routes by.
    """

    received: int
    held: list[ItemKey]
    answered: bool = False
    generation: int = 0


class WorkerReported(Struct, tag=True, frozen=True):
    """The primary has reconciled a report with its job table; corrections, if any, were sent before this."""


class ProbeEndpoints(Struct, tag=True, frozen=True):
    """Asks a sidecar to probe an endpoint and report the result; items wait for one that has access."""


class Redirect(Struct, tag=True, frozen=True):
    """The sender is not the primary; `primary` is the identity of the primary, or empty if unknown."""

    primary: str


class Submit(Struct, tag=True, frozen=True):
    call: int
    job: str
    route: str
    body: bytes  # the JSON document as submitted


class ReadResults(Struct, tag=True, frozen=True):
    call: int
    job: str
    start: int
    wait_ms: int


class ReadBody(Struct, tag=True, frozen=True):
    call: int
    job: str
    item: str


class EndJob(Struct, tag=True, frozen=True):
    call: int
    job: str


class Answer(Struct, tag=True, frozen=True):
    """The HTTP status and body that answer a call."""

    call: int
    status: int
    body: bytes = b""


class Progress(Struct, array_like=True, frozen=True):
    """Partial output of an item: the data of its events up to `last_event`."""

    last_event: int
    texts: list[str]


class RunItem(Struct, tag=True, frozen=True):
    key: ItemKey
    route: str
    path: str
    headers: dict[str, str]
    body: bytes
    due_in_ms: int
    progress: Progress | None = None
    tries: int = 0  # returns without progress, refusals excluded, since it last made progress
    errors: int = 0  # answers with status 500 so far; they count towards the attempts that its route allows


class CancelItem(Struct, tag=True, frozen=True):
    key: ItemKey


class ItemStarted(Struct, tag=True, frozen=True):
    """The first event of the item has arrived: the endpoint has read its prompt."""

    key: ItemKey


class ItemFinished(Struct, tag=True, frozen=True):
    """The item has ended: `text` is its complete text if it succeeded, else no endpoint can process it."""

    key: ItemKey
    succeeded: bool
    text: str


class ItemStored(Struct, tag=True, frozen=True):
    """The result of the item is committed; the sidecar may drop it."""

    key: ItemKey


class ReturnReason(Enum):
    """Why a sidecar no longer runs an item."""

    REFUSED = "refused"  # no room in the admission queue
    FAILED = "failed"  # all allowed attempts failed
    SILENT = "silent"  # its endpoint has sent nothing for too long
    STUCK = "stuck"  # no endpoint accepted it, or the sidecar made no progress with anything
    ROUTE_MOVED = "route moved"  # its route now leads to another service
    UNKNOWN_ROUTE = "unknown route"  # the configuration of the sidecar does not have its route
    STOPPING = "stopping"  # the sidecar is shutting down

    @classmethod
    def _missing_(cls, value: object) -> ReturnReason:
        """Map a value of a newer version."""
        return cls.FAILED


class ItemReturned(Struct, tag=True, frozen=True):
    """The sidecar no longer runs the item; `errors`: answers with status 500 that it has received for it."""

    key: ItemKey
    reason: ReturnReason
    errors: int
    progress: Progress | None = None


BatchMessage = (
    WorkerOpen | WorkerAccepted | WorkerReport | WorkerReported | ProbeEndpoints | Redirect
    | Submit | ReadResults | ReadBody | EndJob | Answer
    | RunItem | CancelItem | ItemStarted | ItemFinished | ItemStored | ItemReturned
)  # fmt: skip
