"""Control machines of the model: a disk, and a process around the real parts while it runs.

The process is a driver without sockets: replica, roster, change processor and publication are the
product's own.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from eiderhub.control.change_processor import ChangeProcessor, ChangeResult
from eiderhub.control.configuration import Change
from eiderhub.control.distribution import Subscriber, Tables
from eiderhub.control.freshness import MAX_TABLE_AGE_S, Freshness
from eiderhub.control.messages import (
    Hello,
    NodeRecord,
    SessionOpen,
    SessionPing,
    SessionPong,
)
from eiderhub.control.publication import Publication
from eiderhub.coordination.forms import RecordFormats
from eiderhub.coordination.messages import REPLICA_MESSAGES
from eiderhub.coordination.replication import Replica, Role
from eiderhub.coordination.roster import Roster, address_of
from eiderhub.coordination.timing import GroupSize, Timing
from tests.model.clock import Clock
from tests.model.disk import Disk
from tests.model.network import Link, Network

TICK_S = 0.05
PING_S = 0.25


class Machine:
    """A place where a replica runs."""

    def __init__(self, world: Host, address: str, zone: str) -> None:
        self.world = world
        self.address = address
        self.name = f"machine-{address}"
        self.zone = zone
        self.disk: Disk = world.make_disk()
        self.identity = ""
        self.process: Process | None = None
        self.powered = True
        self.removed = False
        self.frozen = False
        self.lives = 0
        self.formats = world.installed  # what the program that runs there reads and writes
        self._buffered: list[Callable[[], None]] = []
        rng = world.rng
        self.clock = Clock(rng.uniform(10.0, 100.0), 1.0 + rng.uniform(-0.01, 0.01))

    @property
    def now(self) -> float:
        return self.clock.read(self.world.network.timeline.now)

    @property
    def listening(self) -> bool:
        return self.process is not None

    def deliver(self, call: Callable[[], None]) -> None:
        if self.process is None:
            return
        if self.frozen:
            self._buffered.append(call)
        else:
            call()

    def start(self) -> None:
        if self.process is not None or self.removed:
            return
        self.powered = True
        if not self.identity:  # an identity is made with its disk
            self.lives += 1
            self.identity = f"id{self.lives}@{self.address}"
        self.process = Process(self)

    def kill(self) -> None:
        if self.process is not None:
            self.process.end()
        self.process = None
        self.frozen = False
        self._buffered.clear()

    def lose_power(self) -> None:
        self.kill()
        self.powered = False
        self.disk.lose_power()

    def wipe(self) -> None:
        """The disk is gone."""
        self.lose_power()
        self.disk = self.world.make_disk()
        self.identity = ""

    def remove(self) -> None:
        self.wipe()
        self.removed = True

    def freeze(self) -> None:
        self.frozen = self.process is not None

    def wake(self) -> None:
        """Time passes and messages arrive in any order when a process wakes."""
        if not self.frozen:
            return
        self.frozen = False
        buffered, self._buffered = self._buffered, []
        process = self.process
        if process is None:
            return
        if self.world.rng.random() < 0.5:
            process.tick()
        for call in buffered:
            if self.process is process:
                call()


class Host(Protocol):
    """The world that machines live in."""

    network: Network
    rng: random.Random
    size: GroupSize
    timing: Timing
    installed: RecordFormats
    machines: dict[str, Machine]

    def make_disk(self) -> Disk: ...

    def answered(self, answer: ChangeResult[Any]) -> None: ...

    def stepped(self, process: Process) -> None:
        """A primary has done something."""

    def handed_out(self, process: Process, generation: int) -> None:
        """A process vouches for a generation as current."""


class Process:
    """One life of a control process."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.world = machine.world
        self.identity = machine.identity
        self.node = NodeRecord(machine.name, "control", machine.zone, machine.identity)
        rng = random.Random(self.world.rng.random())
        self.replica = Replica(
            machine.identity,
            machine.disk,
            machine.now,
            rng,
            self.world.size,
            self.world.timing,
            machine.formats,
        )
        self.roster = Roster(machine.identity, machine.zone)
        self.change_processor: ChangeProcessor[Any] = ChangeProcessor(self.replica, machine.disk)
        self.tables = Tables()
        self.freshness = Freshness()
        self.publication = Publication(self.tables, self.freshness, self.replica, self.change_processor)
        self.alive = True
        self.loaded_epoch = 0  # that it leads, with its state as it was then
        self.seen_acknowledged = 0  # acknowledgements that were looked for in its state as a primary
        self._links: dict[str, Link] = {}
        self._greeted: dict[str, str] = {}  # identities by address
        self._sessions: dict[Any, Subscriber] = {}
        self._answers_by: dict[Process, Link | None] = {}  # links that carry the answers to sessions
        self._session: Link | None = None
        self._session_since = 0.0
        self._session_with: str | None = None  # identity of the primary
        timeline = self.world.network.timeline
        timeline.after(rng.uniform(0.0, TICK_S), self._tick_again)
        timeline.after(rng.uniform(0.0, PING_S), self._ping_again)

    def end(self) -> None:
        self.alive = False
        for link in self._links.values():
            link.close()
        for other in self.world.machines.values():
            if other.process is not None and other.process is not self and self.machine.powered:
                other.deliver(partial(other.process.lost, self.identity))

    # --- time ---

    def _tick_again(self) -> None:
        if self.alive:
            if not self.machine.frozen:
                self.tick()
            self.world.network.timeline.after(TICK_S, self._tick_again)

    def tick(self) -> None:
        for address, machine in self.world.machines.items():
            if machine is not self.machine and not machine.removed:
                self._connect(address, machine)
        self.roster.update_replica(self.replica)
        self.replica.tick(self.machine.now)
        self.after_step()

    def _connect(self, address: str, machine: Machine) -> None:
        link = self._links.get(address)
        if link is not None:
            link.probe()
            if link.open:
                return
        target = machine.process
        ends = partial(self._is_up, machine, target)
        receive = partial(self._arrive, machine, target)
        made = Link(self.world.network, self.machine, machine, ends, receive)
        if target is None or not made.usable:
            return
        self._links[address] = made
        made.send(Hello(self.node))
        for identity in sorted(self.replica.members | set(self._greeted.values())):
            if address_of(identity) == address:
                self.replica.on_connected(self.machine.now, identity)

    @staticmethod
    def _is_up(machine: Machine, process: Process | None) -> bool:
        return process is not None and machine.process is process

    def _arrive(self, machine: Machine, target: Process | None, message: Any) -> None:
        """A message of ours reaches the process that the connection ends at."""
        if target is not None and self._is_up(machine, target):
            target.receive(self, message)

    def lost(self, identity: str) -> None:
        """The connection of another replica has ended."""
        if self._greeted.get(address_of(identity)) == identity:
            del self._greeted[address_of(identity)]
        self.roster.remove_replica(identity)

    # --- messages ---

    def receive(self, sender: Process, message: Any) -> None:
        if isinstance(message, Hello):
            self._greeted[address_of(message.node.identity)] = message.node.identity
            self.roster.add_replica(message.node.identity, message.node.name, message.node.zone)
        elif isinstance(message, REPLICA_MESSAGES):
            self.replica.receive(self.machine.now, sender.identity, message)
        elif isinstance(message, SessionOpen):
            self._sessions[sender] = Subscriber()
            self._answers_by[sender] = self._links.get(sender.machine.address)
        elif isinstance(message, SessionPing):
            self._on_ping_of(sender, message)
        elif isinstance(message, SessionPong):
            if self._session_with == sender.identity:
                note_answer(self.freshness, message, self.machine.now)
        elif self._session_with == sender.identity:
            self.tables.apply(message)
        self.after_step()

    def _on_ping_of(self, sender: Process, ping: SessionPing) -> None:
        """A backup's session is one connection: it ends with either of the two links that stand for it."""
        link = self._answers_by.get(sender)
        if link is None or not link.open:
            self._sessions.pop(sender, None)
        else:
            self._on_ping(sender, link.send, ping)

    def _send(self, address: str, message: Any) -> None:
        link = self._links.get(address)
        if link is not None:
            link.send(message)

    def after_step(self) -> None:
        replica = self.replica
        outbox, replica.outbox = replica.outbox, []
        # In one order, whatever the order of sets is in this interpreter: the same seed, the same run.
        for outgoing in sorted(outbox, key=lambda each: each.recipient):
            self._send(address_of(outgoing.recipient), outgoing.message)
        for answer in self.change_processor.step(self.machine.now):
            self.world.answered(answer)
        self.publication.begin_epoch(self.machine.now)
        self.publication.publish_newest(self.machine.now)
        if replica.role is Role.PRIMARY:
            self.world.stepped(self)
        if replica.outbox:
            self.after_step()

    # --- sessions ---

    def _ping_again(self) -> None:
        """A backup keeps a session with its primary."""
        if not self.alive:
            return
        if not self.machine.frozen:
            primary = self.replica.primary
            link = self._links.get(address_of(primary)) if primary is not None else None
            if link is not None and link.open and primary != self.identity:
                silent = self.machine.now - self.freshness.last_current_at(self._session_since)
                if link is not self._session or silent > MAX_TABLE_AGE_S:
                    self._session, self._session_with = link, primary
                    self._session_since = self.machine.now
                    link.send(SessionOpen(self.node))
                link.send(ping_of(self.tables, self.machine.now))
        self.world.network.timeline.after(PING_S, self._ping_again)

    def _on_ping(self, session: Any, send: Callable[[Any], None], ping: SessionPing) -> None:
        subscriber = self._sessions.get(session)
        if subscriber is None:
            return
        for message in self.publication.answer(self.machine.now, subscriber, ping):
            self._handed_out(message)
            send(message)

    def _handed_out(self, message: Any) -> None:
        if isinstance(message, SessionPong) and message.age_s is not None:
            self.world.handed_out(self, self.tables.configuration.generation)

    # --- others ---

    def order(self, change: Change, caller: Any) -> None:
        self.change_processor.submit(change, caller)
        self.after_step()

    def read(self) -> int | None:
        """The newest generation, as `GET /config` would answer; None: no clear answer."""
        newest = self.change_processor.newest(self.machine.now)
        return None if newest is None else newest.generation

    def follow(self, follower: Any, send: Callable[[Any], None], message: Any) -> None:
        """A sidecar's session."""
        if isinstance(message, SessionOpen):
            self._sessions[follower] = Subscriber()
        else:
            self._on_ping(follower, send, message)
        self.after_step()


def ping_of(tables: Tables, now: float) -> SessionPing:
    return SessionPing(
        tables.configuration.generation,
        tables.endpoints.version,
        tables.nodes.version,
        tables.spending.version,
        sent_at=now,
    )


def note_answer(freshness: Freshness, answer: SessionPong, now: float) -> None:
    """A session's ping was answered; `now` says nothing of how old the answer is."""
    freshness.record_answer(answer.sent_at, answer.age_s)
