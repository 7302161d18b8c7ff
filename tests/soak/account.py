"""What a soak owes at its end: each request answered once, each item listed once, each change read back."""

from __future__ import annotations

from typing import Any, NamedTuple

from tests.soak.clients import End, Reply
from tests.soak.endpoints import POISON, Runs, text_of

CROSSING_S = 0.25  # a close may cross a request that is sent so shortly before it
TOUCHED_S = 6.0  # a sidecar that was killed or stood still less than this before a request is excused


class Request(NamedTuple):
    """One live request: `once` may run once, `whole` again, `live` is a stream that may be resumed."""

    id: str
    kind: str
    edge: str
    sent_at: float
    ended_at: float
    reply: Reply


class Lot:
    """One batch job as its client knows it."""

    def __init__(self, job: str, items: list[str]) -> None:
        self.job = job
        self.items = items
        self.accepted = False
        self.ended = False  # its end was asked for
        self.promised = True  # every answer so far was a promise that nothing of it runs
        self.read: dict[int, tuple[str, str, str]] = {}  # by position


class Touch(NamedTuple):
    """Something that a sidecar is excused by: it was killed, or stood still."""

    edge: str
    began: float
    ended: float


class Account:
    def __init__(self, runs: Runs) -> None:
        self._runs = runs
        self.requests: list[Request] = []
        self.lots: dict[str, Lot] = {}
        self.touches: list[Touch] = []
        self.changes: dict[int, dict[str, Any]] = {}  # sent, by generation
        self.acknowledged = 0  # the newest generation that was
        self.broken: list[str] = []

    def note(self, what: str) -> None:
        self.broken.append(what)

    # --- requests ---

    def check_requests(self) -> None:
        for request in self.requests:
            self._check_request(request)

    def _check_request(self, request: Request) -> None:
        ran = self._runs.count[request.id]
        reply = request.reply
        name = f"{request.kind} {request.id} at {request.edge}"
        if request.kind == "once" and ran > 1:
            self.note(f"TWICE: {name} ran {ran} times")
        if reply.end is End.UNANSWERED and not self._excused(request):
            self.note(f"LOST: {name} has no answer, and its connection stays")
        elif reply.end is End.CUT:
            self._check_cut(request, name, ran)
        elif reply.end is End.ANSWERED:
            self._check_answer(request, name, ran)

    def _check_cut(self, request: Request, name: str, ran: int) -> None:
        if request.id in self._runs.spoiled or self._excused(request):
            return
        if ran:
            self.note(f"LOST: {name} was cut while an endpoint worked on it")
        elif request.ended_at - request.sent_at > CROSSING_S:
            self.note(f"LOST: {name} was cut {request.ended_at - request.sent_at:.2f} s after it was sent")

    def _excused(self, request: Request) -> bool:
        return any(
            touch.edge == request.edge
            and touch.began - TOUCHED_S < request.ended_at
            and request.sent_at < touch.ended + TOUCHED_S
            for touch in self.touches
        )

    def _check_answer(self, request: Request, name: str, ran: int) -> None:
        reply = request.reply
        signature = reply.headers.get("response-signature", "")
        if reply.status == 200:
            if signature not in self._runs.signatures.get(request.id, ()):
                self.note(f"MIXED: {name} has the signature {signature!r}")
            if reply.body != expected(request):
                self.note(f"MIXED: {name} got {reply.body[:60]!r}")
        elif reply.status in (429, 503, 408, 421) and request.kind == "once" and ran:
            self.note(f"REFUSED: {name} was answered {reply.status} and ran")
        elif reply.status in (400, 404):
            self.note(f"DENIED: {name} was answered {reply.status}")

    # --- lots ---

    def take_page(self, lot: Lot, start: int, results: list[dict[str, str]]) -> None:
        """A client has read results; what it read before must be the same."""
        for position, result in enumerate(results, start):
            told = (result["id"], result["state"], result["text"])
            before = lot.read.setdefault(position, told)
            if before != told:
                self.note(f"TWICE: {lot.job} {position} was {before[:2]}, is {told[:2]}")

    def check_lots(self) -> None:
        for lot in self.lots.values():
            ran = [item for item in lot.items if self._runs.count[item]]
            if not lot.accepted:
                if lot.promised and ran:
                    self.note(f"REFUSED: {lot.job} was refused at every try, and {len(ran)} items ran")
                continue
            self._check_lot(lot)

    def _check_lot(self, lot: Lot) -> None:
        listed = [item for item, _, _ in lot.read.values()]
        if len(set(listed)) < len(listed):
            self.note(f"TWICE: items of {lot.job} are listed at two positions")
        missing = set(lot.items) - set(listed)
        if missing and not lot.ended:
            self.note(f"LOST: {len(missing)} of {len(lot.items)} items of {lot.job}: {sorted(missing)[:3]}")
        for item, state, text in lot.read.values():
            if state == "succeeded" and text != text_of(item):
                self.note(f"MIXED: {item} of {lot.job} has the text {text[:60]!r}")
            if state == "dead_letter" and not item.endswith(POISON) and not lot.ended:
                if item not in self._runs.spoiled:
                    self.note(f"MIXED: {item} of {lot.job} is dead, and no endpoint failed")

    # --- changes ---

    def check_configuration(self, found: dict[str, Any] | None) -> None:
        if found is None:
            self.note("CONFIG: the configuration does not come")
            return
        generation = found["generation"]
        if generation < self.acknowledged:
            self.note(f"LOST: generation {self.acknowledged} was acknowledged, {generation} is read back")
        elif found != self.changes.get(generation):
            self.note(f"CONFIG: generation {generation} is not what was sent")


def expected(request: Request) -> bytes:
    if request.kind == "live":
        lines = text_of(request.id).split("\n")
        return b"".join(f"id: {n}\ndata: {line}\n\n".encode() for n, line in enumerate(lines))
    return text_of(request.id).encode()
