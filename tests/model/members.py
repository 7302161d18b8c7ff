"""Control machines of the model: each has a disk and, while it runs, a process.

The process drives the product's replica, roster, change processor and publication without sockets.
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
from eiderhub.coordination.auxiliary import auxiliary_identity
from eiderhub.coordination.forms import RecordFormats
from eiderhub.coordination.messages import REPLICA_MESSAGES
from eiderhub.coordination.replication import Replica, Role
from eiderhub.coordination.roster import Roster, address_of
from eiderhub.coordination.timing import GroupSize, Timing
from tests.model.clock import Clock
from tests.model.disk import Disk
from tests.model.network import Link, Network

TICK_INTERVAL_S = 0.05
PING_INTERVAL_S = 0.25


class Machine:
    """A machine that runs at most one replica process at a time."""

    def __init__(self, world: Host, address: str, zone: str, auxiliary: bool = False) -> None:
        self.world = world
        self.auxiliary = auxiliary  # whether it runs an auxiliary replica in place of a control node
        self.address = address
        self.name = f"machine-{address}"
        self.zone = zone
        self.disk: Disk = world.make_disk()
        self.identity = ""
        self.process: Process | None = None
        self.powered = True
        self.removed = False
        self.frozen = False
        self.identity_count = 0
        self.formats = world.installed  # record formats that the installed program reads and writes
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
        """Run a call in the process: at once, or when a frozen one resumes; drop it without a process."""
        if self.process is None:
            return
        if self.frozen:
            self._buffered.append(call)
        else:
            call()

    def start(self) -> None:
        """Start a process, if none runs and the machine is not removed."""
        if self.process is not None or self.removed:
            return
        self.powered = True
        if not self.identity:  # each new disk gets a new identity
            self.identity_count += 1
            unique_name = f"id{self.identity_count}"
            self.identity = (
                auxiliary_identity(unique_name, self.address)
                if self.auxiliary
                else f"{unique_name}@{self.address}"
            )
        self.process = Process(self)

    def kill(self) -> None:
        """Stop the process without warning; the disk is retained."""
        if self.process is not None:
            self.process.stop()
        self.process = None
        self.frozen = False
        self._buffered.clear()

    def lose_power(self) -> None:
        """Stop the process and drop unsynced data of the disk."""
        self.kill()
        self.powered = False
        self.disk.lose_power()

    def wipe(self) -> None:
        """Lose power and the disk; the next start has an empty disk and a new identity."""
        self.lose_power()
        self.disk = self.world.make_disk()
        self.identity = ""

    def remove(self) -> None:
        """Wipe the machine and never start it again."""
        self.wipe()
        self.removed = True

    def freeze(self) -> None:
        """Suspend the process, if one runs."""
        self.frozen = self.process is not None

    def resume(self) -> None:
        """Resume a frozen process: it ticks before or after it reads its buffered messages, at random."""
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
    """The part of the world that machines use."""

    network: Network
    rng: random.Random
    size: GroupSize
    timing: Timing
    installed: RecordFormats
    machines: dict[str, Machine]

    def make_disk(self) -> Disk: ...

    def on_answer(self, answer: ChangeResult[Any]) -> None: ...

    def on_primary_step(self, process: Process) -> None:
        """Check the invariants of primaries after a step of one."""

    def on_generation_reported(self, process: Process, generation: int) -> None:
        """Check a generation that a process reports as current."""


class Process:
    """One control process, from its start to its stop."""

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
        self.loaded_epoch = 0  # the last epoch in which it led with its state loaded
        self.checked_acknowledgements = 0  # number of acknowledgements already checked in its state
        self._links: dict[str, Link] = {}
        self._peer_identities: dict[str, str] = {}  # by address
        self._sessions: dict[Any, Subscriber] = {}
        self._answer_links: dict[Process, Link | None] = {}  # carry answers to other replicas' sessions
        self._session: Link | None = None
        self._session_since = 0.0
        self._session_with: str | None = None  # identity of the primary
        timeline = self.world.network.timeline
        timeline.after(rng.uniform(0.0, TICK_INTERVAL_S), self._tick_periodically)
        timeline.after(rng.uniform(0.0, PING_INTERVAL_S), self._ping_periodically)

    def stop(self) -> None:
        """Stop, close all connections, and notify the other processes that they are closed."""
        self.alive = False
        for link in self._links.values():
            link.close()
        for other in self.world.machines.values():
            if other.process is not None and other.process is not self and self.machine.powered:
                other.deliver(partial(other.process.on_disconnected, self.identity))

    # --- time ---

    def _tick_periodically(self) -> None:
        if self.alive:
            if not self.machine.frozen:
                self.tick()
            self.world.network.timeline.after(TICK_INTERVAL_S, self._tick_periodically)

    def tick(self) -> None:
        """Connect to the other machines and advance the replica."""
        known = self._known_addresses()
        for address, machine in self.world.machines.items():
            if machine is not self.machine and not machine.removed:
                if address in known or not (machine.auxiliary or self.machine.auxiliary):
                    self._connect(address, machine)
        self.roster.update_replica(self.replica)
        self.replica.tick(self.machine.now)
        self.after_step()

    def _known_addresses(self) -> set[str]:
        """The machines that it connects to besides all control nodes, which know each other by the seeds."""
        recruits = self.roster.recruits(self.machine.now, self.replica)
        identities = {*self.replica.members, *recruits, *self._peer_identities.values()}
        return {address_of(identity) for identity in identities}

    def _connect(self, address: str, machine: Machine) -> None:
        link = self._links.get(address)
        if link is not None:
            link.probe()
            if link.open:
                return
        target = machine.process
        is_target_up = partial(self._is_up, machine, target)
        receive = partial(self._arrive, machine, target)
        new_link = Link(self.world.network, self.machine, machine, is_target_up, receive)
        if target is None or not new_link.can_connect:
            return
        self._links[address] = new_link
        new_link.send(Hello(self.node))
        for identity in sorted(self.replica.members | set(self._peer_identities.values())):
            if address_of(identity) == address:
                self.replica.on_connected(self.machine.now, identity)

    @staticmethod
    def _is_up(machine: Machine, process: Process | None) -> bool:
        return process is not None and machine.process is process

    def _arrive(self, machine: Machine, target: Process | None, message: Any) -> None:
        """Deliver a message to the process at the other end of the connection, if that still runs."""
        if target is not None and self._is_up(machine, target):
            target.receive(self, message)

    def on_disconnected(self, identity: str) -> None:
        """Remove a replica whose connection has closed."""
        if self._peer_identities.get(address_of(identity)) == identity:
            del self._peer_identities[address_of(identity)]
        self.roster.remove_replica(identity)

    # --- messages ---

    def receive(self, sender: Process, message: Any) -> None:
        """Handle a message of another replica."""
        if isinstance(message, Hello):
            self._peer_identities[address_of(message.node.identity)] = message.node.identity
            self.roster.add_replica(message.node.identity, message.node.name, message.node.zone)
        elif isinstance(message, REPLICA_MESSAGES):
            self.replica.receive(self.machine.now, sender.identity, message)
        elif isinstance(message, SessionOpen):
            self._sessions[sender] = Subscriber()
            self._answer_links[sender] = self._links.get(sender.machine.address)
        elif isinstance(message, SessionPing):
            self._on_replica_ping(sender, message)
        elif isinstance(message, SessionPong):
            if self._session_with == sender.identity:
                record_answer(self.freshness, message, self.machine.now)
        elif self._session_with == sender.identity:
            self.tables.apply(message)
        self.after_step()

    def _on_replica_ping(self, sender: Process, ping: SessionPing) -> None:
        """Answer a backup's ping; two links model the session's connection, which ends with either."""
        link = self._answer_links.get(sender)
        if link is None or not link.open:
            self._sessions.pop(sender, None)
        else:
            self._on_ping(sender, link.send, ping)

    def _send(self, address: str, message: Any) -> None:
        link = self._links.get(address)
        if link is not None:
            link.send(message)

    def after_step(self) -> None:
        """Send the replica's messages and answers, publish its tables, and check invariants."""
        replica = self.replica
        outbox, replica.outbox = replica.outbox, []
        # Sorted, since the iteration order of sets varies: the same seed must give the same run.
        for outgoing in sorted(outbox, key=lambda each: each.recipient):
            self._send(address_of(outgoing.recipient), outgoing.message)
        for answer in self.change_processor.step(self.machine.now):
            self.world.on_answer(answer)
        if not self.machine.auxiliary:
            self.publication.begin_epoch(self.machine.now)
            self.publication.publish_newest(self.machine.now)
        if replica.role is Role.PRIMARY:
            self.world.on_primary_step(self)
        if replica.outbox:
            self.after_step()

    # --- sessions ---

    def _ping_periodically(self) -> None:
        """Ping the primary periodically, and open a session with it where there is none."""
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
                link.send(make_ping(self.tables, self.machine.now))
        self.world.network.timeline.after(PING_INTERVAL_S, self._ping_periodically)

    def _on_ping(self, session: Any, send: Callable[[Any], None], ping: SessionPing) -> None:
        subscriber = self._sessions.get(session)
        if subscriber is None:
            return
        for message in self.publication.answer(self.machine.now, subscriber, ping):
            self._check_reported_generation(message)
            send(message)

    def _check_reported_generation(self, message: Any) -> None:
        if isinstance(message, SessionPong) and message.age_s is not None:
            self.world.on_generation_reported(self, self.tables.configuration.generation)

    # --- operators, readers and sidecars ---

    def submit_change(self, change: Change, caller: Any) -> None:
        self.change_processor.submit(change, caller)
        self.after_step()

    def read(self) -> int | None:
        """Return the newest generation as `GET /config` would, or None if the process cannot answer."""
        newest = self.change_processor.newest(self.machine.now)
        return None if newest is None else newest.generation

    def receive_from_sidecar(self, session: Any, send: Callable[[Any], None], message: Any) -> None:
        """Handle a message of a sidecar's session."""
        if isinstance(message, SessionOpen):
            self._sessions[session] = Subscriber()
        else:
            self._on_ping(session, send, message)
        self.after_step()


def make_ping(tables: Tables, now: float) -> SessionPing:
    """Return a ping with the versions of the tables that the sender has."""
    return SessionPing(
        tables.configuration.generation,
        tables.endpoints.version,
        tables.nodes.version,
        tables.spending.version,
        sent_at=now,
    )


def record_answer(freshness: Freshness, answer: SessionPong, now: float) -> None:
    """Record the answer to a ping; its age counts from the send of the ping, so `now` is not used."""
    freshness.record_answer(answer.sent_at, answer.age_s)
