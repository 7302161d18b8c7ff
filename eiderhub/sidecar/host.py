"""The host of the balancer: carries out its actions and reports events to it; it makes no decisions.

It guarantees what must hold even if the balancer fails: each request gets exactly one final answer, and a
timer answers it by its deadline whatever happens to the balancer, the endpoints or the network.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

import structlog

from eiderhub.balancer import Balancer
from eiderhub.interface import Discovery, Effect, ListForm, Outcome, Readiness
from eiderhub.sidecar.bodies import Headers, Source, Upload, buffer_limit
from eiderhub.sidecar.clock import Alarm, now_us
from eiderhub.sidecar.config import Config
from eiderhub.sidecar.discovery import DiscoveryWatcher, ListedEndpoint
from eiderhub.sidecar.metrics import RequestMetrics
from eiderhub.sidecar.upstream import Attempt, Receiver, Response, Upstream

if TYPE_CHECKING:
    from eiderhub.sidecar.registry_watcher import RegistryWatcher

ANSWER_MARGIN_US = 40_000  # answers are sent this long before the client's deadline, for transfer time
log = structlog.get_logger()


class Caller(Protocol):
    """The client side of a request: takes its one final answer, complete or streamed."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None: ...

    def start_streaming(self, head: Response, source: Source) -> Receiver:
        """Start a streamed answer; its data follows through the receiver."""

    def finish(self) -> None: ...

    def abort_answer(self) -> None: ...

    def has_disconnected(self) -> bool:
        """Whether the caller has closed its connection and the event loop has not reported it yet."""


class Request:
    """One accepted request, and its attempts."""

    __slots__ = (
        "alarm",
        "answer_due_us",
        "answered",
        "attempts",
        "body",
        "body_complete",
        "call",
        "caller",
        "class_name",
        "client_timeout_us",
        "deadline_us",
        "head",
        "hint_us",
        "id",
        "open_attempts",
        "streaming_attempt",
        "tenant",
        "upload",
    )  # fmt: skip

    def __init__(
        self,
        caller: Caller,
        class_name: str,
        tenant: str | None,
        hint_us: int | None,
        arrived_us: int,
        client_timeout_us: int,
        head: bytes,
        body: bytes | Upload,
        request_id: bytes = b"",
    ) -> None:
        self.caller = caller
        self.class_name = class_name
        self.tenant = tenant
        self.hint_us = hint_us
        self.client_timeout_us = client_timeout_us  # how long the client waits after sending its last byte
        self.head = head  # request line and headers for endpoints, without the remaining time
        self.body = body if isinstance(body, bytes) else b""
        self.upload = body if isinstance(body, Upload) else None
        self.id = request_id  # as sent by the client
        self.call = ""
        self.attempts: list[Attempt] = []
        self.open_attempts = 0  # number of attempts that have not ended
        self.answered = False  # also True while its answer is streamed
        self.streaming_attempt: Attempt | None = None  # whose answer is being streamed
        self.body_complete = self.upload is None or self.upload.complete
        self.alarm: Alarm | None = None
        self.set_deadline(arrived_us)

    def set_deadline(self, now: int) -> None:
        """Start the client's timeout."""
        self.deadline_us = now + self.client_timeout_us  # when the client gives up
        self.answer_due_us = self.deadline_us - ANSWER_MARGIN_US  # when an answer must be sent at the latest


class Host:
    """Implements the balancer's `Actions` and reports its `Events`."""

    def __init__(self, config: Config, max_connections: int, memory_bytes: int) -> None:
        settings = config.settings
        self.settings = settings
        self.figures = RequestMetrics(c.name for c in settings.classes)
        deduplicated = (c for c in settings.classes if c.effect is Effect.DEDUPLICATED)
        self.dedup_windows_us = {c.name: c.dedup_window_us for c in deduplicated}  # a retry is safe within it
        self.requests: dict[str, Request] = {}
        self.last_serial = 0
        self.listed_endpoints: set[str] = set()  # ids of the endpoints in the current list
        self.endpoints_known = asyncio.Event()  # set once any list has contained endpoints
        self.upstream = Upstream(
            settings.limits.conn_idle_us,
            settings.limits.connect_timeout_us,
            max_connections,
            self.figures,
            buffer_limit(memory_bytes, max_connections),
        )
        self.watcher: DiscoveryWatcher | RegistryWatcher = self._create_watcher(config)
        self.balancer = Balancer(settings, config.seed, self)
        self.known_list = config.known

    def _create_watcher(self, config: Config) -> DiscoveryWatcher | RegistryWatcher:
        if config.follow is not None:
            from eiderhub.sidecar.registry_watcher import RegistryWatcher  # only imported where configured

            return RegistryWatcher(config.follow, self.on_list, self.on_steering)
        settings = config.settings
        return DiscoveryWatcher(
            config.discovery.host,
            config.discovery.port,
            config.known.generation,
            settings.discovery is Discovery.PUSH,
            settings.rules.ask_every_us,
            self.on_list,
        )

    def start(self) -> None:
        """Start the balancer with the last known list, which is used until discovery answers."""
        self.balancer.start(now_us())
        if self.known_list.unreadable:
            log.warning("entries of the known list can't be read", entries=self.known_list.unreadable)
        restored = not isinstance(self.watcher, DiscoveryWatcher) and self.watcher.restore()
        if not restored:
            self.on_list(ListForm.CACHED, self.known_list.entries)
        if self.settings.discovery is Discovery.PUSH or not isinstance(self.watcher, DiscoveryWatcher):
            self.watcher.set_enabled(True)

    def metric_lines(self) -> list[str]:
        down = self.listed_endpoints.intersection(self.balancer.hosts_down(now_us()))
        lines = self.figures.metric_lines(len(self.listed_endpoints), len(down))
        return lines if isinstance(self.watcher, DiscoveryWatcher) else [*lines, *self.watcher.metric_lines()]

    def _notify_balancer(self, event: Callable[..., None], *values: Any) -> bool:
        """Report an event to the balancer; return False if it raised.

        A failure of the balancer must neither end the process nor lose requests.
        """
        try:
            event(now_us(), *values)
        except Exception:
            affected = self.requests.get(values[0]) if values and isinstance(values[0], str) else None
            request_id = affected.id.decode("latin-1") if affected is not None else None
            log.exception("the module failed", during=getattr(event, "__name__", "wake"), request=request_id)
            return False
        return True

    # --- requests ---

    def accept_request(self, request: Request) -> None:
        """Accept a request: from here on it will get exactly one answer."""
        self.last_serial += 1
        # A unique internal id: a client may reuse an id for which the balancer still holds a request.
        call = request.call = f"{self.last_serial:016x}"
        self.requests[call] = request
        if request.body_complete:
            request.alarm = Alarm(request.answer_due_us, partial(self._on_deadline, request))
        remaining_us = request.deadline_us - now_us()
        if not self._notify_balancer(
            self.balancer.order, call, request.class_name, request.tenant, remaining_us, request.hint_us
        ):
            self._answer_and_expire(request, 500)

    def on_body_complete(self, request: Request) -> None:
        """The last byte of a streamed request body has arrived: start its and its attempts' timeouts."""
        request.body_complete = True
        if request.answered:
            return
        request.set_deadline(now_us())
        request.alarm = Alarm(request.answer_due_us, partial(self._on_deadline, request))
        for attempt in request.attempts:
            if not attempt.ended:
                self._set_attempt_deadline(request, attempt)

    def fail_upload(self, request: Request, status: int, reason: bytes) -> None:
        """The rest of the body never arrived, or was malformed: no attempt can be completely written."""
        self._answer_and_expire(request, status, reason)
        self._abort_attempts(request, Outcome.CANCELLED)

    def on_caller_disconnect(self, request: Request) -> None:
        """The client has closed its connection: no further attempts are made for its request."""
        if request.streaming_attempt is not None:
            request.streaming_attempt.abort(Outcome.CANCELLED)
        elif not request.answered:
            if not request.body_complete:
                self._abort_attempts(request, Outcome.CANCELLED)
            self._mark_answered(request)
            self._notify_balancer(self.balancer.expired, request.call)

    def _abort_attempts(self, request: Request, outcome: Outcome) -> None:
        for attempt in list(request.attempts):
            attempt.abort(outcome)

    def _mark_answered(self, request: Request) -> None:
        request.answered = True
        if not request.open_attempts:
            self._discard(request)

    def _discard(self, request: Request) -> None:
        """Remove a finished request, and break its reference cycles with its attempts."""
        self.requests.pop(request.call, None)
        request.attempts.clear()
        request.streaming_attempt = None
        # Only now: an attempt that outlives its request, at an unresponsive host, must still time out.
        if request.alarm is not None:
            request.alarm.cancel()
            request.alarm = None  # breaks a reference cycle

    def _answer(self, request: Request, status: int, headers: Headers, body: bytes) -> None:
        """Send the one final answer; any further answer is discarded."""
        if request.answered:
            return
        self._mark_answered(request)
        request.caller.answer(status, headers, body)

    def _answer_and_expire(self, request: Request, status: int, reason: bytes = b"") -> None:
        """Answer in place of the balancer, and report the request to it as expired."""
        if not request.answered:
            self._answer(request, status, [], reason)
            self._notify_balancer(self.balancer.expired, request.call)

    def _on_deadline(self, request: Request) -> None:
        """The request's deadline: its attempts time out, and it is answered if it is still open."""
        self._abort_attempts(request, Outcome.TIMEOUT)
        self._answer_and_expire(request, 504)

    def fail_all(self) -> None:
        """The process is ending: answer every open request, and abort streamed answers."""
        for request in list(self.requests.values()):
            if request.streaming_attempt is not None:
                request.streaming_attempt.abort(Outcome.RESET)
            else:
                self._answer_and_expire(request, 504)

    # --- attempts ---

    def _set_attempt_deadline(self, request: Request, attempt: Attempt) -> None:
        """Set the attempt's deadline to its own timeout, where that is shorter than the request's."""
        attempt.deadline_us = request.answer_due_us
        if attempt.timeout_us:
            attempt.deadline_us = min(request.answer_due_us, now_us() + attempt.timeout_us)
        if attempt.deadline_us < request.answer_due_us:
            attempt.alarm = Alarm(attempt.deadline_us, partial(attempt.abort, Outcome.TIMEOUT))

    def _build_request(self, request: Request, attempt: Attempt, now: int) -> bytes | None:
        """Return the bytes of an attempt that is about to be written; None if the request is over."""
        # While the body is being received, the client's timeout has not started: the endpoint gets all of it.
        remaining_ms = (
            (attempt.deadline_us - now) if attempt.deadline_us else request.client_timeout_us
        ) // 1000
        if request.answered or remaining_ms < 1 or request.caller.has_disconnected():
            return None
        return b"%sReq-Deadline-Ms: %d\r\n\r\n%s" % (request.head, remaining_ms, request.body)

    def _on_attempt_end(
        self, request: Request, attempt: Attempt, outcome: Outcome, response: Response | None
    ) -> None:
        request.open_attempts -= 1
        self.upstream.count_event(outcome.name.lower())
        if request.streaming_attempt is attempt:
            request.streaming_attempt = None
            if outcome is Outcome.OK:
                request.caller.finish()
            else:
                request.caller.abort_answer()
        elif outcome is Outcome.OK and response is not None:
            self._answer(request, 200, response.headers, response.body)
        if request.answered and not request.open_attempts:
            self._discard(request)
        elapsed_us = now_us() - attempt.sent_us
        notified = self._notify_balancer(
            self.balancer.reply,
            request.call,
            attempt.number,
            attempt.endpoint,
            elapsed_us,
            request.answered,
            outcome,
        )
        if not notified and not request.open_attempts:
            self._answer_and_expire(request, 500)

    def _start_streaming(self, request: Request, attempt: Attempt, head: Response) -> Receiver | None:
        """Stream the answer: from here on there is no deadline, and all other attempts are aborted."""
        if request.answered:
            return None
        request.answered = True
        request.streaming_attempt = attempt
        for alarm in (request.alarm, attempt.alarm):
            if alarm is not None:
                alarm.cancel()
        request.alarm = attempt.alarm = None  # breaks reference cycles
        receiver = request.caller.start_streaming(head, attempt)
        elapsed_us = now_us() - attempt.sent_us
        for other in list(request.attempts):
            if other is not attempt:
                other.abort(Outcome.CANCELLED)
        self._notify_balancer(self.balancer.streaming, request.call, attempt.number, elapsed_us)
        return receiver

    # --- the balancer's actions ---

    def hand_off(self, call: str, endpoint: str, max_wait_us: int) -> None:
        request = self.requests.get(call)
        if request is None:
            log.error("attempt requested for a finished request", request=call, endpoint=endpoint)
            return
        attempt = Attempt(
            len(request.attempts),
            endpoint,
            partial(self._build_request, request),
            partial(self._on_attempt_end, request),
            partial(self._start_streaming, request),
            request.upload,
        )
        attempt.timeout_us = max_wait_us
        # The balancer decided within the deduplication window, but the connection may open after its end.
        run_starts_us = [other.sent_us for other in request.attempts if other.may_have_run]
        if run_starts_us and request.class_name in self.dedup_windows_us:
            attempt.set_write_deadline(min(run_starts_us) + self.dedup_windows_us[request.class_name])
        request.attempts.append(attempt)
        request.open_attempts += 1
        not_sendable = request.upload is not None and (
            request.upload.forwarding_started or request.upload.discarded
        )
        not_sendable = not_sendable or attempt.number >= self.settings.limits.max_attempts
        if request.answered or not_sendable or request.caller.has_disconnected():
            asyncio.get_running_loop().call_soon(attempt.end, Outcome.NOT_SENT)
            return
        if request.body_complete:
            self._set_attempt_deadline(request, attempt)
        self.upstream.send(attempt)

    def cancel(self, call: str, attempt: int) -> None:
        request = self.requests.get(call)
        if request is not None and attempt < len(request.attempts):
            # Deferred: the outcome must not be reported to the balancer within one of its own calls.
            asyncio.get_running_loop().call_soon(self._cancel, request, request.attempts[attempt])

    def _cancel(self, request: Request, attempt: Attempt) -> None:
        if request.streaming_attempt is not attempt:  # an answer that is being streamed is not cancelled
            attempt.abort(Outcome.CANCELLED)

    def shed(self, call: str, wait_us: int) -> None:
        request = self.requests.get(call)
        if request is not None:
            headers = [(b"Retry-After", b"%.3f" % (wait_us / 1e6))] if wait_us > 0 else []
            self._answer(request, 503, headers, b"")

    def surrender(self, call: str) -> None:
        request = self.requests.get(call)
        if request is not None:
            self._answer(request, 504 if now_us() >= request.answer_due_us else 502, [], b"")

    def timer(self, delay_us: int, mark: str) -> None:
        Alarm(now_us() + delay_us, partial(self._notify_balancer, self.balancer.wake, mark))

    def watch(self, on: bool) -> None:
        self.watcher.set_enabled(on)

    def close_idle(self, endpoint: str) -> None:
        self.upstream.close_idle(endpoint)

    def write_log(self, text: str, **fields: str | int | float) -> None:
        log.info(text, source="module", **fields)

    # --- discovery ---

    def on_steering(self, shares: Mapping[str, float], regions: Mapping[str, str]) -> None:
        """Regions in the local configuration take precedence over those from the registry."""
        self._notify_balancer(self.balancer.steer, shares, {**regions, **self.settings.regions})

    def on_list(self, form: ListForm, entries: list[ListedEndpoint]) -> None:
        """Update the pools before the balancer: nothing new is sent to endpoints that drain or are gone."""
        if form in (ListForm.FULL, ListForm.CACHED):
            self.listed_endpoints.clear()
            for removed_id in self.upstream.pools.keys() - {entry.endpoint.id for entry in entries}:
                self.upstream.retire(removed_id)
        for endpoint, host, port in entries:
            if endpoint.readiness is Readiness.READY:
                self.upstream.set_endpoint(endpoint.id, host, port, endpoint.launched_us)
            else:
                self.upstream.retire(endpoint.id)
            if endpoint.readiness is Readiness.GONE:
                self.listed_endpoints.discard(endpoint.id)
            else:
                self.listed_endpoints.add(endpoint.id)
        if self.listed_endpoints:
            self.endpoints_known.set()
        self._notify_balancer(self.balancer.discovery, form, [entry.endpoint for entry in entries])
