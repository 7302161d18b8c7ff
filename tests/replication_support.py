"""A seeded simulation of replicas in virtual time.

Messages are delayed, lost, duplicated and reordered; replicas are killed, suspended, partitioned and lose
their disks.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from eiderhub.coordination.messages import ReplicaMessage, Write
from eiderhub.coordination.replication import Replica, Role
from eiderhub.coordination.store import INITIAL_POSITION, StoreFailed
from eiderhub.coordination.timing import GroupSize
from tests.model.disk import Disk

STEP_S = 0.05
KEY = "counter"


@dataclass
class Machine:
    """A machine that hosts one replica: its disk, and its process while that runs."""

    address: str
    identity: str
    store: Disk
    replica: Replica | None = None
    suspended_until: float = 0.0
    partitioned: bool = False
    restart_at: float = 0.0


@dataclass
class World:
    seed: int
    count: int = 4
    loss_rate: float = 0.02
    duplication_rate: float = 0.01
    size: GroupSize = field(default_factory=GroupSize)
    initial_members: int = 4  # of the group at its start
    now: float = 0.0
    acknowledged: list[int] = field(default_factory=list)
    injected_faults: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.serial = itertools.count()
        self.in_flight: list[tuple[float, int, str, str, ReplicaMessage]] = []
        self.pending: dict[tuple[str, int], list[tuple[int, int]]] = {}  # machine, epoch: (version, value)
        self.leaders: dict[int, str] = {}  # by epoch
        self.machines: dict[str, Machine] = {}
        identities = [f"id{i}@m{i}" for i in range(self.count)]
        for i, identity in enumerate(identities):
            machine = Machine(f"m{i}", identity, Disk())
            self.machines[machine.address] = machine
            self.start(machine)
            assert machine.replica is not None
            if i < self.initial_members:
                machine.replica.bootstrap(identities[: self.initial_members])

    # --- machines ---

    def start(self, machine: Machine) -> None:
        rng = random.Random(self.rng.random())
        machine.replica = Replica(machine.identity, machine.store, self.now, rng, self.size)
        machine.suspended_until = 0.0

    def stop(self, machine: Machine, duration_s: float) -> None:
        machine.replica = None
        machine.restart_at = self.now + duration_s

    def wipe(self, machine: Machine, duration_s: float) -> None:
        """Stop a machine and lose its disk; it restarts with a new identity."""
        self.stop(machine, duration_s)
        machine.store = Disk()
        machine.identity = f"id{next(self.serial)}w@{machine.address}"

    def running(self) -> list[Machine]:
        return [m for m in self.machines.values() if m.replica is not None and self.now >= m.suspended_until]

    # --- network ---

    def send(self, sender: Machine) -> None:
        replica = sender.replica
        if replica is None:
            return
        outbox, replica.outbox = replica.outbox, []
        for outgoing in outbox:
            address = outgoing.recipient.partition("@")[2]
            copies = 2 if self.rng.random() < self.duplication_rate else 1
            for _ in range(copies):
                if self.rng.random() < self.loss_rate:
                    continue
                delay = 0.001 + self.rng.expovariate(200.0)
                item = (self.now + delay, next(self.serial), sender.identity, address, outgoing.message)
                heapq.heappush(self.in_flight, item)

    def deliver(self) -> None:
        while self.in_flight and self.in_flight[0][0] <= self.now:
            at, _, sender, address, message = heapq.heappop(self.in_flight)
            machine = self.machines[address]
            origin = self.machines[sender.partition("@")[2]]
            if machine.replica is None or machine.partitioned or origin.partitioned:
                continue
            if self.now < machine.suspended_until:  # read once the process resumes
                heapq.heappush(
                    self.in_flight, (machine.suspended_until, next(self.serial), sender, address, message)
                )
                continue
            machine.replica.receive(max(at, self.now), sender, message)
            self.send(machine)
            self.check_invariants(machine)

    # --- clients and invariants ---

    def check_invariants(self, machine: Machine) -> None:
        replica = machine.replica
        if replica is None or replica.role is not Role.PRIMARY:
            return
        first_primary = self.leaders.setdefault(replica.epoch, machine.identity)
        assert first_primary == machine.identity, f"two primaries in epoch {replica.epoch}"
        if not replica.leads(self.now):
            return
        others = [m for m in self.running() if m is not machine and m.replica and m.replica.leads(self.now)]
        assert not others, f"{machine.identity} and {others[0].identity} lead at once"
        unresolved = self.pending.get((machine.identity, replica.epoch), [])
        committed_values = [value for version, value in unresolved if version <= replica.committed]
        self.acknowledged += committed_values
        self.pending[machine.identity, replica.epoch] = [w for w in unresolved if w[0] > replica.committed]
        stored = set(filter(None, (machine.store.get(KEY) or b"").decode().split(",")))
        missing = [value for value in self.acknowledged if str(value) not in stored]
        assert not missing, f"acknowledged writes {missing} are lost at {machine.identity}"

    def client_write(self) -> None:
        """Have every replica that leads append one number, as a client's write."""
        for machine in self.running():
            replica = machine.replica
            if replica is None or not replica.leads(self.now):
                continue
            value = next(self.serial)
            values = [v for v in (machine.store.get(KEY) or b"").decode().split(",") if v] + [str(value)]
            try:
                position = replica.propose(self.now, [Write(KEY, ",".join(values).encode())])
            except StoreFailed:
                continue
            key = (machine.identity, replica.epoch)
            self.pending.setdefault(key, []).append((position.version, value))
            self.send(machine)
            self.check_invariants(machine)

    def update_membership_hints(self) -> None:
        """Act as the driver: report replicas that may join and members that were replaced."""
        present = {m.address: m.identity for m in self.running() if not m.partitioned}
        for machine in self.running():
            replica = machine.replica
            if replica is None or replica.role is not Role.PRIMARY:
                continue
            for member in replica.members:
                if present.get(member.partition("@")[2], member) != member:
                    replica.mark_replaced(member)
            joinable = set(present.values()) - replica.members
            replica.join_candidates = sorted(joinable)

    def step(self) -> None:
        self.now += STEP_S
        for machine in self.machines.values():
            if machine.replica is None and self.now >= machine.restart_at:
                self.start(machine)
        self.deliver()
        self.update_membership_hints()
        for machine in self.running():
            if machine.replica is not None:
                machine.replica.tick(self.now)
                self.send(machine)
                self.check_invariants(machine)
        if self.rng.random() < 0.3:
            self.client_write()

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.step()

    # --- faults ---

    def inject_fault(self) -> None:
        """Inject one random fault; apart from a restart of all, at most one machine fails at a time."""
        machine = self.rng.choice(list(self.machines.values()))
        kind = self.rng.choice(
            ["kill", "wipe", "freeze", "cut", "full", "all", "wipe leader", "all and wipe"]
        )
        self.injected_faults.append(f"{self.now:.2f} {kind} {machine.identity}")
        duration_s = self.rng.uniform(0.3, 3.0)
        if kind == "wipe leader":
            machine = next((m for m in self.running() if m.replica and m.replica.leads(self.now)), machine)
        if kind == "kill":
            self.stop(machine, duration_s)
        elif kind in ("wipe", "wipe leader"):
            self.wipe(machine, duration_s)
        elif kind == "freeze":
            machine.suspended_until = self.now + duration_s
        elif kind == "cut":
            machine.partitioned = True
        elif kind == "full":
            machine.store.full = True
        else:
            for each in self.machines.values():
                self.stop(each, self.rng.uniform(0.2, 1.0))
            if kind == "all and wipe":
                self.wipe(machine, duration_s)
        self.run(duration_s)
        for each in self.machines.values():
            each.partitioned = False
            each.store.full = False

    def has_converged(self) -> bool:
        """Whether exactly one replica leads and all running ones have its state."""
        leaders = [m for m in self.running() if m.replica and m.replica.leads(self.now)]
        if len(leaders) != 1:
            return False
        position = leaders[0].store.position
        return position != INITIAL_POSITION and all(m.store.position == position for m in self.running())
