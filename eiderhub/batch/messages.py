"""Messages between edge sidecars and the storage group's primary.

Each message of a session is delivered in order, or the session ends. A sidecar names all items that it holds
as the session opens and then every `REPORT_S`, so that the two sides never differ for longer than that.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from eiderhub.coordination.wire import UNTOLD, WireSupport

REPORT_S = 1.0  # a sidecar says so often what it holds
SILENT_S = 3.0  # a session whose other side has said nothing for so long is ended


class ItemKey(Struct, array_like=True, frozen=True):
    job: str
    item: str


class Reach(Enum):
    """What a sidecar knows of its own way to endpoints."""

    UNKNOWN = "unknown"
    ANSWERED = "answered"  # they have answered its latest calls
    UNANSWERED = "unanswered"  # they have answered none since it gave an item back

    @classmethod
    def _missing_(cls, value: object) -> Reach:
        """A newer program's word."""
        return cls.UNKNOWN


class WorkerOpen(Struct, tag=True, frozen=True):
    """An edge sidecar announces itself, and the items that it runs."""

    node: str
    zone: str
    running: list[ItemKey]
    reach: Reach = Reach.UNKNOWN
    support: WireSupport = UNTOLD


class WorkerAccepted(Struct, tag=True, frozen=True):
    epoch: int
    support: WireSupport = UNTOLD


class WorkerReport(Struct, tag=True, frozen=True):
    """All items that the sidecar holds, once it has read so many of the session's `RunItem`s.

    `answered`: whether endpoints have answered any of its calls, live ones too, since the report before.
    `generation`: of the configuration by which it routes.
    """

    received: int
    held: list[ItemKey]
    answered: bool = False
    generation: int = 0


class WorkerReported(Struct, tag=True, frozen=True):
    """The primary has compared a report with its table, and sent what differs before this."""


class ProbeEndpoints(Struct, tag=True, frozen=True):
    """Items wait for a sidecar that reaches endpoints: find out whether this one does, and report it."""


class Redirect(Struct, tag=True, frozen=True):
    """Not the primary; `primary` is its identity where it is known."""

    primary: str


class Submit(Struct, tag=True, frozen=True):
    call: int
    job: str
    route: str
    body: bytes  # the job's JSON as it came


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
    """To a call: an HTTP status and body."""

    call: int
    status: int
    body: bytes = b""


class Progress(Struct, array_like=True, frozen=True):
    """What an item has brought so far: the data of its events up to `last_event`."""

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
    tries: int = 0  # times that it has failed to move since it last moved
    errors: int = 0  # answers of 500 that it has had, of those that its route allows


class CancelItem(Struct, tag=True, frozen=True):
    key: ItemKey


class ItemStarted(Struct, tag=True, frozen=True):
    """Its first event has come: the endpoint has read its prompt."""

    key: ItemKey


class ItemFinished(Struct, tag=True, frozen=True):
    """`succeeded`: the whole text; otherwise no endpoint can ever do the item."""

    key: ItemKey
    succeeded: bool
    text: str


class ItemStored(Struct, tag=True, frozen=True):
    """The item's end is committed; the sidecar may forget it."""

    key: ItemKey


class ReturnReason(Enum):
    """Why a sidecar does not run an item any more."""

    REFUSED = "refused"  # its admission had no room
    FAILED = "failed"  # all attempts that were allowed have failed
    SILENT = "silent"  # its endpoint has said nothing for too long
    STUCK = "stuck"  # no endpoint has taken it, or nothing at all has moved at the sidecar
    ROUTE_MOVED = "route moved"  # its route leads to another service now
    UNKNOWN_ROUTE = "unknown route"  # the sidecar's configuration does not have the item's route
    STOPPING = "stopping"  # the sidecar ends

    @classmethod
    def _missing_(cls, value: object) -> ReturnReason:
        """A newer program's word."""
        return cls.FAILED


class ItemReturned(Struct, tag=True, frozen=True):
    """The sidecar does not run the item any more; `errors`: answers of 500 that it has seen for the item."""

    key: ItemKey
    reason: ReturnReason
    errors: int
    progress: Progress | None = None


BatchMessage = (
    WorkerOpen | WorkerAccepted | WorkerReport | WorkerReported | ProbeEndpoints | Redirect
    | Submit | ReadResults | ReadBody | EndJob | Answer
    | RunItem | CancelItem | ItemStarted | ItemFinished | ItemStored | ItemReturned
)  # fmt: skip
