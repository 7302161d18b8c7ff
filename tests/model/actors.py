"""Operators, readers and sidecars of the model: what they do, and what they were told."""

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
from tests.model.members import PING_S, Machine, Process, ping_of
from tests.model.network import Network

ANSWER_S = 0.4  # an operator waits so long before it sends its order to another machine
PAUSE_S = 0.15
REPLY_S = 0.01  # on the way to a sidecar
CONNECT_S = 0.5  # a connection that has not come up by then


def document(generation: int, author: str, base: int) -> bytes:
    route = {
        "name": "r", "host": "h", "path_prefix": "/r/", "route_kind": "idempotent", "timeout_ms": 1000,
        "slo_ms": 100, "priority": 0, "backend": "b", "max_attempts": 1,
    }  # fmt: skip
    made = {"generation": generation, "routes": [route], "backends": [{"name": "b"}]}
    return json.dumps(made | {"author": author, "base": base}).encode()


class Order(NamedTuple):
    """One order of an operator, sent until it has a clear answer."""

    operator: Operator
    number: int
    change: Change
    generation: int


class Caller(NamedTuple):
    """One send of an order: whether its answer is lost, and who is to be told."""

    order: Order
    lost: bool
    at: Process


class Operator:
    """Sends changes on top of what it believes current, and some of them again much later."""

    def __init__(
        self, network: Network, rng: random.Random, name: str, history: History, loss: float
    ) -> None:
        self.network = network
        self.rng = rng
        self.name = name
        self.history = history
        self.loss = loss
        self.machines: list[Machine] = []
        self.believed = 0
        self.acknowledged: list[Order] = []
        self._order: Order | None = None
        self._number = 0
        self._again = False  # whether the order under way is a repeat of an acknowledged one
        self.resting = False
        self.patience = ANSWER_S
        network.timeline.after(rng.uniform(0.0, 0.5), self._next)

    def _next(self) -> None:
        if self.resting:
            self.network.timeline.after(PAUSE_S, self._next)
            return
        self._again = bool(self.acknowledged) and self.rng.random() < 0.25
        if self._again:
            self._order = self.rng.choice(self.acknowledged)
        else:
            self._number += 1
            generation = self.believed + self.rng.choice((1, 1, 2))
            author = f"{self.name} {self._number}"
            change = Change(self.believed, False, document(generation, author, self.believed))
            self._order = Order(self, self._number, change, generation)
        self._send()

    def _send(self, redirected: Machine | None = None) -> None:
        order = self._order
        assert order is not None
        self.history.sent(order.change, self.network.timeline.now)
        machine = redirected or self.rng.choice(self.machines)
        process = machine.process
        if process is not None:
            caller = Caller(order, self.rng.random() < self.loss, process)
            delay = self.network.delay()
            call = partial(self._arrive, machine, process, caller)
            self.network.timeline.after(delay, lambda: machine.deliver(call))
        self.network.timeline.after(self.patience, partial(self._give_up, order))

    @staticmethod
    def _arrive(machine: Machine, process: Process, caller: Caller) -> None:
        if machine.process is process:
            process.order(caller.order.change, caller)

    def _give_up(self, order: Order) -> None:
        """No answer came: the order is sent again, unchanged."""
        if self._order is order:
            self._send()

    def _redirected(self, caller: Caller) -> None:
        """Follow a machine's word of who leads."""
        primary = caller.at.replica.primary
        machine = caller.at.world.machines.get(address_of(primary)) if primary is not None else None
        if machine is not None and machine is not caller.at.machine:
            self._send(machine)

    def told(self, caller: Caller, answer: ChangeResult[Caller]) -> None:
        """The answer leaves its machine; it may be lost."""
        order, change = caller.order, caller.order.change
        now = self.network.timeline.now
        if answer.outcome is ChangeOutcome.ACKNOWLEDGED:
            self.history.acknowledged(change, order.generation, now)
        elif answer.outcome is ChangeOutcome.REFUSED:
            self.history.refused(change, now, answer.refusal)
        if caller.lost or self._order is not order:
            return
        if answer.outcome is ChangeOutcome.ACKNOWLEDGED:
            if not self._again:
                self.acknowledged.append(order)
            self.believed = max(self.believed, order.generation)
        elif answer.outcome is ChangeOutcome.REFUSED:
            assert answer.refusal is not None
            if answer.refusal.kind is ErrorKind.STALE_VERSION:
                self.believed = int(answer.refusal.reason.split()[1])
            else:
                self.believed = max(self.believed, order.generation)
        elif answer.outcome is ChangeOutcome.NOT_PRIMARY:
            self._redirected(caller)
            return
        else:
            return
        self._order = None
        self.network.timeline.after(self.rng.uniform(0.0, PAUSE_S), self._next)


class ReaderOfAll:
    """Asks every machine for the configuration."""

    def __init__(self, network: Network, rng: random.Random, history: History) -> None:
        self.network = network
        self.rng = rng
        self.history = history
        self.machines: list[Machine] = []
        network.timeline.after(0.5, self._ask)

    def _ask(self) -> None:
        timeline = self.network.timeline
        for machine in self.machines:
            floor = self.history.newest
            call = partial(self._read, machine, floor)
            timeline.after(self.network.delay(), partial(machine.deliver, call))
        timeline.after(self.rng.uniform(0.02, 0.3), self._ask)

    def _read(self, machine: Machine, floor: int) -> None:
        if machine.process is not None:
            generation = machine.process.read()
            if generation is not None:
                self.history.read(machine.address, generation, floor)


class Sidecar:
    """Keeps a session with a control machine, and moves when it is not fresh."""

    def __init__(self, network: Network, rng: random.Random, name: str, history: History) -> None:
        self.network = network
        self.rng = rng
        self.name = name
        self.history = history
        self.machines: list[Machine] = []
        self.clock = Clock(rng.uniform(10.0, 100.0), 1.0 + rng.uniform(-0.01, 0.01))
        self.tables = Tables()
        self.freshness = Freshness()
        self._with: Machine | None = None
        self._to_try: list[Machine] = []
        self._since = 0.0
        self._session = 0
        network.timeline.after(rng.uniform(0.0, PING_S), self._ping)

    @property
    def now(self) -> float:
        return self.clock.read(self.network.timeline.now)

    def restart(self) -> None:
        self.history.restarted(self.name)
        self.tables = Tables()
        self.freshness = Freshness()
        self._with = None

    def _ping(self) -> None:
        if self._with is not None and self._has_waited_long(self._with):
            self._with = None
        self.look_for_a_session()
        self._look()
        self.network.timeline.after(PING_S, self._ping)

    def _next_machine(self) -> Machine:
        """All of them in turn, in an order drawn for each turn, as `ControlSession` tries its candidates."""
        if not self._to_try:
            self._to_try = self.rng.sample(self.machines, len(self.machines))
        return self._to_try.pop()

    def _has_waited_long(self, machine: Machine) -> bool:
        """Whether it is to try another machine: this one is down, or says nothing that is current."""
        if machine.process is None and self.now - self._since > CONNECT_S:
            return True
        return self.now - self.freshness.last_current_at(self._since) > MAX_TABLE_AGE_S

    def look_for_a_session(self) -> None:
        """Ping the control machine of the session; any other one, where there is no session."""
        if self._with is None:
            self._with = self._next_machine()
            self._since = self.now
            self._session += 1
            self._ask(self._with, SessionOpen(NodeRecord(self.name, "edge", "z")))
        self._ask(self._with, ping_of(self.tables, self.now))

    def _ask(self, machine: Machine, message: Any) -> None:
        session = self._session
        arrive = partial(self._arrive, machine, session, message)
        self.network.timeline.after(self.network.delay(), lambda: machine.deliver(arrive))

    def _arrive(self, machine: Machine, session: int, message: Any) -> None:
        if machine.process is not None:
            reply = partial(self._reply, session)
            machine.process.follow((self.name, session), reply, message)

    def _reply(self, session: int, message: Any) -> None:
        self.network.timeline.after(REPLY_S, lambda: self._told(session, message))

    def _told(self, session: int, message: Any) -> None:
        if session != self._session or self._with is None:
            return
        if isinstance(message, SessionPong):
            members.note_answer(self.freshness, message, self.now)
        else:
            self.tables.apply(message)
        self._look()

    def _look(self) -> None:
        """What it would serve by, if it were asked now."""
        if self.freshness.is_fresh(self.now):
            self.history.believed(self.name, self.tables.configuration.generation, self.network.timeline.now)
