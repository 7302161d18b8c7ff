"""Operators, readers and sidecars of the model, which report what they send and receive to the history."""

from __future__ import annotations

import json
import random
from functools import partial
from typing import Any, NamedTuple

from eiderhub.control.change_processor import ChangeOutcome, ChangeResult
from eiderhub.control.configuration import Change
from eiderhub.control.distribution import Tables
from eiderhub.control.errors import ErrorKind
from eiderhub.control.freshness import MAX_TABLE_AGE_S, Freshness
from eiderhub.control.messages import NodeRecord, SessionOpen, SessionPong
from eiderhub.coordination.roster import address_of
from tests.model import members
from tests.model.clock import Clock
from tests.model.history import History
from tests.model.members import PING_INTERVAL_S, Machine, Process, make_ping
from tests.model.network import Network

ANSWER_TIMEOUT_S = 0.4  # then an operator sends its order to another machine
ORDER_PAUSE_S = 0.15
REPLY_DELAY_S = 0.01  # from a control machine to a sidecar
CONNECT_TIMEOUT_S = 0.5  # a sidecar then tries another machine


def document(generation: int, author: str, base: int) -> bytes:
    """Return a configuration document with one route; `author` and `base` make it unique."""
    route = {
        "name": "r", "host": "h", "path_prefix": "/r/", "route_kind": "idempotent", "timeout_ms": 1000,
        "slo_ms": 100, "priority": 0, "backend": "b", "max_attempts": 1,
    }  # fmt: skip
    fields = {"generation": generation, "routes": [route], "backends": [{"name": "b"}]}
    return json.dumps(fields | {"author": author, "base": base}).encode()


class Order(NamedTuple):
    """A configuration change of an operator, sent until it is acknowledged or refused."""

    operator: Operator
    number: int
    change: Change
    generation: int


class Caller(NamedTuple):
    """One send of an order: whether its answer is lost, and the process that received it."""

    order: Order
    answer_lost: bool
    process: Process


class Operator:
    """Sends changes based on the newest generation that it knows; later repeats some acknowledged ones."""

    def __init__(
        self, network: Network, rng: random.Random, name: str, history: History, loss_rate: float
    ) -> None:
        self.network = network
        self.rng = rng
        self.name = name
        self.history = history
        self.loss_rate = loss_rate
        self.machines: list[Machine] = []
        self.known_generation = 0
        self.acknowledged: list[Order] = []
        self._order: Order | None = None
        self._number = 0
        self._is_repeat = False  # whether the current order is a repeat of an acknowledged one
        self.paused = False
        self.answer_timeout_s = ANSWER_TIMEOUT_S
        network.timeline.after(rng.uniform(0.0, 0.5), self._next)

    def _next(self) -> None:
        if self.paused:
            self.network.timeline.after(ORDER_PAUSE_S, self._next)
            return
        self._is_repeat = bool(self.acknowledged) and self.rng.random() < 0.25
        if self._is_repeat:
            self._order = self.rng.choice(self.acknowledged)
        else:
            self._number += 1
            generation = self.known_generation + self.rng.choice((1, 1, 2))
            author = f"{self.name} {self._number}"
            change = Change(self.known_generation, False, document(generation, author, self.known_generation))
            self._order = Order(self, self._number, change, generation)
        self._send()

    def _send(self, redirected: Machine | None = None) -> None:
        order = self._order
        assert order is not None
        self.history.record_send(order.change, self.network.timeline.now)
        machine = redirected or self.rng.choice(self.machines)
        process = machine.process
        if process is not None:
            caller = Caller(order, self.rng.random() < self.loss_rate, process)
            delay = self.network.delay()
            call = partial(self._arrive, machine, process, caller)
            self.network.timeline.after(delay, lambda: machine.deliver(call))
        self.network.timeline.after(self.answer_timeout_s, partial(self._on_timeout, order))

    @staticmethod
    def _arrive(machine: Machine, process: Process, caller: Caller) -> None:
        if machine.process is process:
            process.submit_change(caller.order.change, caller)

    def _on_timeout(self, order: Order) -> None:
        """Send the order again, unchanged, when no answer has arrived."""
        if self._order is order:
            self._send()

    def _follow_redirect(self, caller: Caller) -> None:
        """Send the order to the primary that the answering machine knows."""
        primary = caller.process.replica.primary
        machine = caller.process.world.machines.get(address_of(primary)) if primary is not None else None
        if machine is not None and machine is not caller.process.machine:
            self._send(machine)

    def on_answer(self, caller: Caller, answer: ChangeResult[Caller]) -> None:
        """Record an answer at the time it is sent, and act on it unless it is lost."""
        order, change = caller.order, caller.order.change
        now = self.network.timeline.now
        if answer.outcome is ChangeOutcome.ACKNOWLEDGED:
            self.history.record_acknowledgement(change, order.generation, now)
        elif answer.outcome is ChangeOutcome.REFUSED:
            self.history.record_refusal(change, now, answer.refusal)
        if caller.answer_lost or self._order is not order:
            return
        if answer.outcome is ChangeOutcome.ACKNOWLEDGED:
            if not self._is_repeat:
                self.acknowledged.append(order)
            self.known_generation = max(self.known_generation, order.generation)
        elif answer.outcome is ChangeOutcome.REFUSED:
            assert answer.refusal is not None
            if answer.refusal.kind is ErrorKind.STALE_VERSION:
                self.known_generation = int(answer.refusal.reason.split()[1])
            else:
                self.known_generation = max(self.known_generation, order.generation)
        elif answer.outcome is ChangeOutcome.NOT_PRIMARY:
            self._follow_redirect(caller)
            return
        else:
            return
        self._order = None
        self.network.timeline.after(self.rng.uniform(0.0, ORDER_PAUSE_S), self._next)


class ConfigurationReader:
    """Reads the configuration from every machine at random intervals."""

    def __init__(self, network: Network, rng: random.Random, history: History) -> None:
        self.network = network
        self.rng = rng
        self.history = history
        self.machines: list[Machine] = []
        network.timeline.after(0.5, self._read_all)

    def _read_all(self) -> None:
        timeline = self.network.timeline
        for machine in self.machines:
            floor = self.history.newest_acknowledged
            call = partial(self._read, machine, floor)
            timeline.after(self.network.delay(), partial(machine.deliver, call))
        timeline.after(self.rng.uniform(0.02, 0.3), self._read_all)

    def _read(self, machine: Machine, floor: int) -> None:
        if machine.process is not None:
            generation = machine.process.read()
            if generation is not None:
                self.history.record_read(machine.address, generation, floor)


class Sidecar:
    """Maintains a session with one control machine, and changes to another when its tables are not fresh."""

    def __init__(self, network: Network, rng: random.Random, name: str, history: History) -> None:
        self.network = network
        self.rng = rng
        self.name = name
        self.history = history
        self.machines: list[Machine] = []
        self.clock = Clock(rng.uniform(10.0, 100.0), 1.0 + rng.uniform(-0.01, 0.01))
        self.tables = Tables()
        self.freshness = Freshness()
        self._session_machine: Machine | None = None
        self._untried_machines: list[Machine] = []
        self._session_since = 0.0
        self._session_number = 0
        network.timeline.after(rng.uniform(0.0, PING_INTERVAL_S), self._ping)

    @property
    def now(self) -> float:
        return self.clock.read(self.network.timeline.now)

    def restart(self) -> None:
        """Restart with empty tables and no session."""
        self.history.record_restart(self.name)
        self.tables = Tables()
        self.freshness = Freshness()
        self._session_machine = None

    def _ping(self) -> None:
        if self._session_machine is not None and self._must_reconnect(self._session_machine):
            self._session_machine = None
        self.ping_control()
        self._record_served()
        self.network.timeline.after(PING_INTERVAL_S, self._ping)

    def _next_machine(self) -> Machine:
        """Return each machine once per round, in random order, as `ControlSession` tries its candidates."""
        if not self._untried_machines:
            self._untried_machines = self.rng.sample(self.machines, len(self.machines))
        return self._untried_machines.pop()

    def _must_reconnect(self, machine: Machine) -> bool:
        """Whether to try another machine: this one is down, or has sent no current answer for too long."""
        if machine.process is None and self.now - self._session_since > CONNECT_TIMEOUT_S:
            return True
        return self.now - self.freshness.last_current_at(self._session_since) > MAX_TABLE_AGE_S

    def ping_control(self) -> None:
        """Ping the control machine of the session; open a session first if there is none."""
        if self._session_machine is None:
            self._session_machine = self._next_machine()
            self._session_since = self.now
            self._session_number += 1
            self._send(self._session_machine, SessionOpen(NodeRecord(self.name, "edge", "z")))
        self._send(self._session_machine, make_ping(self.tables, self.now))

    def _send(self, machine: Machine, message: Any) -> None:
        session = self._session_number
        arrive = partial(self._arrive, machine, session, message)
        self.network.timeline.after(self.network.delay(), lambda: machine.deliver(arrive))

    def _arrive(self, machine: Machine, session: int, message: Any) -> None:
        if machine.process is not None:
            reply = partial(self._reply, session)
            machine.process.receive_from_sidecar((self.name, session), reply, message)

    def _reply(self, session: int, message: Any) -> None:
        self.network.timeline.after(REPLY_DELAY_S, lambda: self._receive(session, message))

    def _receive(self, session: int, message: Any) -> None:
        if session != self._session_number or self._session_machine is None:
            return
        if isinstance(message, SessionPong):
            members.record_answer(self.freshness, message, self.now)
        else:
            self.tables.apply(message)
        self._record_served()

    def _record_served(self) -> None:
        """Record the generation that the sidecar serves, if its tables are fresh."""
        if self.freshness.is_fresh(self.now):
            self.history.record_served(
                self.name, self.tables.configuration.generation, self.network.timeline.now
            )
