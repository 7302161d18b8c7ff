"""A seeded world for replicas: messages are delayed, lost, repeated and overtaken; replicas are killed,
frozen, cut off and lose their disks. Time is virtual."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from eiderhub.coordination.messages import ReplicaMessage, Write
from eiderhub.coordination.replication import Replica, Role
from eiderhub.coordination.store import NOWHERE, StoreFailed
from eiderhub.coordination.timing import GroupSize
from tests.model.disk import Disk

STEP_S = 0.05
KEY = "counter"


@dataclass
class Machine:
    """One place where a replica runs: its disk, and its process while it runs."""

    address: str
    identity: str
    store: Disk
    replica: Replica | None = None
    frozen_until: float = 0.0
    cut: bool = False
    back_at: float = 0.0


@dataclass
class World:
    seed: int
    count: int = 4
    loss: float = 0.02
    repeat: float = 0.01
    size: GroupSize = field(default_factory=GroupSize)
    members: int = 4  # that the group begins with
    now: float = 0.0
    acknowledged: list[int] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.serial = itertools.count()
        self.flying: list[tuple[float, int, str, str, ReplicaMessage]] = []
        self.pending: dict[tuple[str, int], list[tuple[int, int]]] = {}  # machine, epoch: (version, value)
        self.leaders: dict[int, str] = {}  # by epoch
        self.machines: dict[str, Machine] = {}
        names = [f"id{i}@m{i}" for i in range(self.count)]
        for i, identity in enumerate(names):
            machine = Machine(f"m{i}", identity, Disk())
            self.machines[machine.address] = machine
            self.start(machine)
            assert machine.replica is not None
            if i < self.members:
                machine.replica.bootstrap(names[: self.members])

    # --- machines ---

    def start(self, machine: Machine) -> None:
        rng = random.Random(self.rng.random())
        machine.replica = Replica(machine.identity, machine.store, self.now, rng, self.size)
        machine.frozen_until = 0.0

    def stop(self, machine: Machine, for_s: float) -> None:
        machine.replica = None
        machine.back_at = self.now + for_s

    def wipe(self, machine: Machine, for_s: float) -> None:
        """Its disk is gone; it comes back under another identity."""
        self.stop(machine, for_s)
        machine.store = Disk()
        machine.identity = f"id{next(self.serial)}w@{machine.address}"

    def running(self) -> list[Machine]:
        return [m for m in self.machines.values() if m.replica is not None and self.now >= m.frozen_until]

    # --- the network ---

    def send(self, sender: Machine) -> None:
        replica = sender.replica
        if replica is None:
            return
        outbox, replica.outbox = replica.outbox, []
        for outgoing in outbox:
            target = outgoing.recipient.partition("@")[2]
            copies = 2 if self.rng.random() < self.repeat else 1
            for _ in range(copies):
                if self.rng.random() < self.loss:
                    continue
                delay = 0.001 + self.rng.expovariate(200.0)
                item = (self.now + delay, next(self.serial), sender.identity, target, outgoing.message)
                heapq.heappush(self.flying, item)

    def deliver(self) -> None:
        while self.flying and self.flying[0][0] <= self.now:
            at, _, sender, target, message = heapq.heappop(self.flying)
            machine = self.machines[target]
            origin = self.machines[sender.partition("@")[2]]
            if machine.replica is None or machine.cut or origin.cut:
                continue
            if self.now < machine.frozen_until:  # it is read when the process wakes
                heapq.heappush(
                    self.flying, (machine.frozen_until, next(self.serial), sender, target, message)
                )
                continue
            machine.replica.receive(max(at, self.now), sender, message)
            self.send(machine)
            self.look(machine)

    # --- what clients do, and what must hold ---

    def look(self, machine: Machine) -> None:
        replica = machine.replica
        if replica is None or replica.role is not Role.PRIMARY:
            return
        known = self.leaders.setdefault(replica.epoch, machine.identity)
        assert known == machine.identity, f"two primaries in epoch {replica.epoch}"
        if not replica.leads(self.now):
            return
        others = [m for m in self.running() if m is not machine and m.replica and m.replica.leads(self.now)]
        assert not others, f"{machine.identity} and {others[0].identity} lead at once"
        waiting = self.pending.get((machine.identity, replica.epoch), [])
        done = [value for version, value in waiting if version <= replica.committed]
        self.acknowledged += done
        self.pending[machine.identity, replica.epoch] = [w for w in waiting if w[0] > replica.committed]
        stored = set(filter(None, (machine.store.get(KEY) or b"").decode().split(",")))
        missing = [value for value in self.acknowledged if str(value) not in stored]
        assert not missing, f"acknowledged writes {missing} are lost at {machine.identity}"

    def write(self) -> None:
        """A client asks whoever leads to add one number."""
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
            self.look(machine)

    def tend(self) -> None:
        """What a driver does: new identities are invited, those whose address another has are expelled."""
        present = {m.address: m.identity for m in self.running() if not m.cut}
        for machine in self.running():
            replica = machine.replica
            if replica is None or replica.role is not Role.PRIMARY:
                continue
            for member in replica.members:
                if present.get(member.partition("@")[2], member) != member:
                    replica.mark_replaced(member)
            wanting = set(present.values()) - replica.members
            replica.candidates = sorted(wanting)

    def step(self) -> None:
        self.now += STEP_S
        for machine in self.machines.values():
            if machine.replica is None and self.now >= machine.back_at:
                self.start(machine)
        self.deliver()
        self.tend()
        for machine in self.running():
            if machine.replica is not None:
                machine.replica.tick(self.now)
                self.send(machine)
                self.look(machine)
        if self.rng.random() < 0.3:
            self.write()

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.step()

    # --- trouble ---

    def fault(self) -> None:
        """One counted machine at most is in trouble at a time, as the deployment promises."""
        machine = self.rng.choice(list(self.machines.values()))
        kind = self.rng.choice(
            ["kill", "wipe", "freeze", "cut", "full", "all", "wipe leader", "all and wipe"]
        )
        self.faults.append(f"{self.now:.2f} {kind} {machine.identity}")
        for_s = self.rng.uniform(0.3, 3.0)
        if kind == "wipe leader":
            machine = next((m for m in self.running() if m.replica and m.replica.leads(self.now)), machine)
        if kind == "kill":
            self.stop(machine, for_s)
        elif kind in ("wipe", "wipe leader"):
            self.wipe(machine, for_s)
        elif kind == "freeze":
            machine.frozen_until = self.now + for_s
        elif kind == "cut":
            machine.cut = True
        elif kind == "full":
            machine.store.full = True
        else:
            for each in self.machines.values():
                self.stop(each, self.rng.uniform(0.2, 1.0))
            if kind == "all and wipe":
                self.wipe(machine, for_s)
        self.run(for_s)
        for each in self.machines.values():
            each.cut = False
            each.store.full = False

    def settled(self) -> bool:
        """Whether one replica leads and all running ones have its state."""
        leaders = [m for m in self.running() if m.replica and m.replica.leads(self.now)]
        if len(leaders) != 1:
            return False
        position = leaders[0].store.position
        return position != NOWHERE and all(m.store.position == position for m in self.running())
