"""All callers' connections: which may be open, how a request is read, and `/up`."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import structlog

from eiderhub.interface import Effect, RequestClass
from eiderhub.sidecar.bodies import MOST_KEPT
from eiderhub.sidecar.caller import ENDS, CallerConnection, Incoming, Rejected
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.host import Host, Request
from eiderhub.sidecar.lifecycle import Intake, Lifecycle
from eiderhub.sidecar.upstream import HOP_BY_HOP

MAX_DEADLINE_MS = 3_600_000
READ_CHECK_S = 0.25
BACKLOG = 1024
TALLY_EVERY_S = 5.0  # how often it is logged what callers were turned away for
MOST_REASONS = 20  # told apart in one such line
UNHEARD_S = 1.0  # a first request that has not come whole by then may have to make room for others
EXCESS = 8  # connections past those that callers may have, to be told so
BUSY_WAIT = b"1"  # Retry-After where no descriptor is left
NOT_FORWARDED = HOP_BY_HOP | {b"req-deadline-ms"}  # it is told anew with each attempt
log = structlog.get_logger()


class Server:
    """All callers' connections."""

    def __init__(self, host: Host, most: int, most_kept: int = MOST_KEPT) -> None:
        self.host = host
        self.most_kept = most_kept  # of a body, by each connection, in either direction
        self.most = most  # connections that callers may have open
        self.callers: dict[CallerConnection, None] = {}  # those first that were served longest ago
        self.open_ids: set[bytes] = set()
        self.classes = {c.name.encode(): c for c in host.settings.classes}
        self.tenants = {t.name for t in host.settings.tenants}
        self.intake = Intake.OPEN
        self._tally: dict[str, int] = {}  # what callers were turned away for, since the last line
        self._entering: set[asyncio.Future[Any]] = set()  # callers from the closed listener's queue
        self.lifecycle = Lifecycle(self, host.named.is_set)

    async def bind(self, host: str, port: int, inherited: socket.socket | None = None) -> None:
        """Take the address, or the socket that listens there; connections wait until we begin to serve."""
        self._socket = inherited or _bound(host, port)
        self.listener = await asyncio.get_running_loop().create_server(
            self._connection, backlog=BACKLOG, start_serving=False, sock=self._socket
        )
        self._inherited = inherited is not None

    def _connection(self) -> CallerConnection:
        return CallerConnection(self)

    def joined(self, caller: CallerConnection) -> None:
        self.callers[caller] = None
        if len(self.callers) > self.most:
            self._make_room(caller)

    def served(self, caller: CallerConnection) -> None:
        """Who has just been served is the last to make room."""
        if self.callers.pop(caller, caller) is None:
            self.callers[caller] = None

    def _make_room(self, newest: CallerConnection) -> None:
        """Close an idle connection; where there is none, one whose first request takes its time to come.

        What is closed no longer counts: its end comes only with a later turn of the loop, and until then each
        newcomer would close the same one again, and be refused for it.
        """
        before = now_us() - int(UNHEARD_S * 1e6)
        other = next((c for c in self.callers if c.resting() and c is not newest), None)
        other = other or next((c for c in self.callers if c.unheard and c.quiet_since_us < before), None)
        if other is None and len(self.callers) > self.most + EXCESS:
            other = newest  # callers must not take the descriptors of all else
        if other is not None:
            del self.callers[other]
            self.count("closed to make room")
            other.transport.abort()  # nothing is owed there, and its descriptor is needed now

    def left(self, caller: CallerConnection) -> None:
        self.callers.pop(caller, None)

    def forget(self, request_id: bytes) -> None:
        self.open_ids.discard(request_id)

    def count(self, what: str) -> None:
        if what in self._tally or len(self._tally) < MOST_REASONS:
            self._tally[what] = self._tally.get(what, 0) + 1

    async def report(self) -> None:
        """Log what callers were turned away for, in one line now and then."""
        while True:
            await asyncio.sleep(TALLY_EVERY_S)
            if self._tally:
                log.info("callers turned away", reasons=dict(sorted(self._tally.items())))
                self._tally.clear()

    async def watch_callers(self) -> None:
        """Guards the descriptors against callers that never begin, or never finish what they send."""
        while True:
            await asyncio.sleep(READ_CHECK_S)
            now = now_us()
            for caller in list(self.callers):
                caller.look_after(now)

    def close_idle(self, quiet_s: float) -> None:
        before = now_us() - int(quiet_s * 1e6)
        for caller in list(self.callers):
            if caller.quiet_since_us <= before and caller.resting():
                caller.shut()

    def end(self) -> None:
        """The process ends: no connection is left with half a request, or with nothing to wait for."""
        for caller in list(self.callers):
            caller.end()

    def stop_listening(self) -> None:
        """Let nobody in any more, but for those that the kernel has let in already.

        Danger: closing the last copy of a listening socket resets whoever waits there, whole requests too.
        Another process goes on with an inherited one, and takes them.
        """
        while not self._inherited and (found := _waiting_at(self._socket)) is not None:
            entering = asyncio.get_running_loop().connect_accepted_socket(self._connection, found)
            task = asyncio.ensure_future(entering)
            self._entering.add(task)
            task.add_done_callback(self._entered)
        self.listener.close()

    def _entered(self, task: asyncio.Future[Any]) -> None:
        self._entering.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.warning("a caller was lost as it came", reason=str(error))

    def any_left(self) -> bool:
        return bool(self.callers or self._entering)

    # --- reading a request ---

    def admit(self, caller: CallerConnection, incoming: Incoming) -> Request | None:
        """The request to take, or None where it is answered already."""
        if incoming.fault is not None:
            raise incoming.fault
        if _path(incoming.url) == b"/up":
            self._up(caller, incoming)
            return None
        grade = self._class(incoming)
        if self.intake is Intake.NONE:
            raise Rejected(503, ENDS)
        request = self._request(caller, incoming, grade)
        if len(self.callers) > self.most:
            caller.keep = False
            self.host.figures.ended(grade.name, 503)
            self.count("503 too many connections")
            caller.answer(503, [(b"Retry-After", BUSY_WAIT)], b"")  # harmless: it was sent nowhere
            return None
        return request

    def check(self, incoming: Incoming) -> None:
        """Raise what is wrong with a request whose body is still to come."""
        grade = self._class(incoming)
        fields = {name.lower(): value for name, value in incoming.headers}
        _check_method(incoming.method, grade, fields)
        self._tenant(fields)

    def _class(self, incoming: Incoming) -> RequestClass:
        path = _path(incoming.url)
        grade = self.classes.get(path[1:].partition(b"/")[0]) if path[:1] == b"/" else None
        if grade is None:
            raise Rejected(404, "no such class")
        return grade

    def _up(self, caller: CallerConnection, incoming: Incoming) -> None:
        if incoming.method != b"GET":
            raise Rejected(405, "GET only")
        caller.answer(200 if self.lifecycle.takes_clients else 503, [], b"")

    def _request(self, caller: CallerConnection, incoming: Incoming, grade: RequestClass) -> Request:
        fields: dict[bytes, bytes] = {}
        lines = [b"%s %s HTTP/1.1\r\n" % (incoming.method, _origin_form(incoming.url))]
        for name, value in incoming.headers:
            key = name.lower()
            if key in fields and (key.startswith(b"req-") or key == b"idempotency-key"):
                raise Rejected(400, f"{key.decode('latin-1')}: given twice")
            fields[key] = value
            if key not in NOT_FORWARDED:
                lines.append(b"%s: %s\r\n" % (name, value))
        if b"host" not in fields:  # HTTP/1.0 may leave it out, what goes on may not
            lines.append(b"Host: endpoint\r\n")
        _check_method(incoming.method, grade, fields)
        request_id = fields.get(b"req-id", b"")
        if not _is_token(request_id):
            raise Rejected(400, "req-id: missing or bad")
        deadline_ms = _number(fields, b"req-deadline-ms", MAX_DEADLINE_MS)
        if deadline_ms is None:
            raise Rejected(400, "req-deadline-ms: missing")
        if fields.get(b"req-retry", b"1") not in (b"0", b"1"):
            raise Rejected(400, "req-retry: bad value")
        hint_us = _number(fields, b"req-cost", 1 << 50)
        tenant = self._tenant(fields)
        if request_id in self.open_ids:
            # Two answers would be owed under one id, and endpoints could not tell its attempts apart.
            raise Rejected(409, "req-id: this request is open")
        upload = incoming.upload
        length = len(incoming.body) if upload is None else upload.length
        if length is None:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        elif length or grade.effect is not Effect.IDEMPOTENT:
            lines.append(b"Content-Length: %d\r\n" % length)
        return Request(
            caller,
            grade.name,
            tenant,
            hint_us,
            incoming.arrived_us,
            deadline_ms * 1000,
            b"".join(lines),
            incoming.body if upload is None else upload,
            request_id,
        )

    def _tenant(self, fields: dict[bytes, bytes]) -> str | None:
        """The owner. An unknown one is no tenant: each name would get a budget, and memory, of its own."""
        if not self.tenants:
            return None
        owner = fields.get(b"req-owner", b"").decode("latin-1")
        if owner not in self.tenants:
            raise Rejected(400, "req-owner: missing or unknown")
        return owner


def _bound(host: str, port: int) -> socket.socket:
    """A socket that has the address; it does not listen yet."""
    family, kind, _, _, address = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)[0]
    sock = socket.socket(family, kind)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
    except OSError as error:
        sock.close()
        why = (error.strerror or str(error)).lower()
        raise OSError(error.errno, f"can't listen on {host}:{port}: {why}") from None
    return sock


def _waiting_at(listener: socket.socket) -> socket.socket | None:
    try:
        return listener.accept()[0]
    except OSError:  # nobody, or no descriptor is left
        return None


def _origin_form(url: bytes) -> bytes:
    """Path and query of a target that may name its scheme and host, too."""
    scheme, found, rest = url.partition(b"://")
    if not found or scheme.lower() not in (b"http", b"https"):
        return url
    end = min((place for place in (rest.find(b"/"), rest.find(b"?")) if place >= 0), default=len(rest))
    target = rest[end:]
    return target if target.startswith(b"/") else b"/" + target


def _path(url: bytes) -> bytes:
    return _origin_form(url).partition(b"?")[0]


def _check_method(method: bytes, grade: RequestClass, fields: dict[bytes, bytes]) -> None:
    if method != (b"GET" if grade.effect is Effect.IDEMPOTENT else b"POST"):
        raise Rejected(405, "the method does not fit the class")
    if grade.effect is Effect.DEDUPLICATED and not fields.get(b"idempotency-key"):
        raise Rejected(400, "idempotency-key: missing")


def _is_token(value: bytes) -> bool:
    return 0 < len(value) <= 128 and all(0x21 <= byte <= 0x7E for byte in value)


def _number(fields: dict[bytes, bytes], key: bytes, most: int) -> int | None:
    text = fields.get(key)
    if text is None:
        return None
    if not text.isdigit() or len(text) > 18 or int(text) > most:
        raise Rejected(400, f"{key.decode()}: no number within its range")
    return int(text)
