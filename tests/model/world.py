"""The world of one run: machines, network, actors, and the checks of what must hold at every moment."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from eiderhub.control import retirement
from eiderhub.control.change_processor import ChangeResult
from eiderhub.control.messages import NodeRecord, StorageReport
from eiderhub.control.retirement import RetireOrder
from eiderhub.coordination.forms import FORMAT_KEY, OWN_FORMATS, decode_format
from eiderhub.coordination.messages import Position
from eiderhub.coordination.replication import Role
from eiderhub.coordination.timing import GroupSize, Timing
from tests.model.actors import Operator, ReaderOfAll, Sidecar
from tests.model.clock import Timeline
from tests.model.disk import Disk
from tests.model.history import Broken, History
from tests.model.members import Machine, Process
from tests.model.network import Network

ZONES = 4
REPORT_S = 0.25
BOOT_S = 0.4


class Shape(NamedTuple):
    """What a run's group looks like."""

    machines: int
    members: int  # that it begins with
    size: GroupSize


CONTROL = Shape(4, 3, GroupSize(None, 3))  # a control group: whoever is there belongs to it
CONTROL_OF_THREE = Shape(3, 3, GroupSize(None, 3))
STORAGE = Shape(4, 3, GroupSize(3, 3))  # a storage group of three with a spare
SHAPES = (CONTROL, STORAGE, CONTROL_OF_THREE)


class World:
    """`loss`: the share of answers to operators that are lost."""

    def __init__(
        self,
        seed: int,
        shape: Shape = CONTROL,
        loss: float = 0.3,
        disk: Callable[[], Disk] = Disk,
        timing: Timing | None = None,
    ) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.timeline = Timeline()
        self.network = Network(self.timeline, self.rng)
        self.size = shape.size
        self.timing = timing or Timing()
        self.installed = OWN_FORMATS  # of the program that new machines come with
        self.make_disk = disk
        self.history = History()
        self.trace: list[str] = []
        self.machines: dict[str, Machine] = {}
        self._leaders: dict[int, str] = {}  # by epoch
        self._states: dict[Position, dict[str, bytes]] = {}
        self.retiring: dict[str, RetireOrder] = {}  # by machine's name
        self._addresses = 0
        for _ in range(shape.machines):
            self.add_machine()
        for machine in self.machines.values():
            machine.start()
        founders = [m.identity for m in list(self.machines.values())[: shape.members]]
        for machine in self.machines.values():
            if machine.identity in founders and machine.process is not None:
                machine.process.replica.bootstrap(founders)
        self.operators = [
            Operator(self.network, random.Random(self.rng.random()), name, self.history, loss)
            for name in ("ann", "ben")
        ]
        self.reader = ReaderOfAll(self.network, random.Random(self.rng.random()), self.history)
        self.sidecars = [
            Sidecar(self.network, random.Random(self.rng.random()), name, self.history)
            for name in ("s1", "s2")
        ]
        self.introduce()
        self.timeline.after(REPORT_S, self._report)

    def add_machine(self) -> Machine:
        address = f"m{self._addresses}"
        machine = Machine(self, address, f"z{self._addresses % ZONES}")
        self._addresses += 1
        self.machines[address] = machine
        return machine

    def introduce(self) -> None:
        """Let everybody know all machines."""
        present = [m for m in self.machines.values() if not m.removed]
        for operator in self.operators:
            operator.machines = present
        for sidecar in self.sidecars:
            sidecar.machines = present
        self.reader.machines = present

    def note(self, what: str) -> None:
        self.trace.append(f"{self.timeline.now:.2f} {what}")

    def answered(self, answer: ChangeResult[Any]) -> None:
        answer.caller.order.operator.told(answer.caller, answer)

    # --- what must hold ---

    def leaders(self) -> list[Process]:
        """Processes that may answer as the primary now."""
        found = []
        for machine in self.machines.values():
            process = machine.process
            if process is not None and process.replica.role is Role.PRIMARY:
                if process.replica.leads(machine.now):
                    found.append(process)
        return found

    def stepped(self, process: Process) -> None:
        """A primary has done something."""
        replica = process.replica
        known = self._leaders.setdefault(replica.epoch, process.identity)
        if known != process.identity:
            raise Broken(f"{known} and {process.identity} are primaries of epoch {replica.epoch}")
        leaders = self.leaders()
        if len(leaders) > 1:
            raise Broken(f"{leaders[0].identity} and {leaders[1].identity} lead at once")
        if process in leaders:
            if process.loaded_epoch != replica.epoch:
                process.loaded_epoch = replica.epoch
                self.history.shown(process.machine.disk)
            self._check_acknowledged(process)

    def _check_acknowledged(self, process: Process) -> None:
        """A primary's state has every change that was acknowledged."""
        for generation in self.history.unseen(process):
            raise Broken(f"{process.identity} leads without the acknowledged generation {generation}")

    def handed_out(self, process: Process, generation: int) -> None:
        self.history.handed_out(process.machine.address, generation, self.timeline.now)

    def check_states(self) -> None:
        """Replicas at one position have one state."""
        for machine in self.machines.values():
            process = machine.process
            if process is None:
                continue
            self._check_format(process)
            position, data = process.replica.position, machine.disk.data
            other = self._states.setdefault(position, dict(data))
            if other != data:
                raise Broken(f"{process.identity} differs from another replica at {position}")

    @staticmethod
    def _check_format(process: Process) -> None:
        """Nobody's disk holds a state in a format that the program there does not read."""
        record_format = decode_format(process.machine.disk.data.get(FORMAT_KEY))
        if record_format > process.machine.formats.reads:
            raise Broken(
                f"{process.identity} has records of format {record_format}, which its program does not read"
            )

    def settled(self) -> bool:
        """Whether one replica leads, its group is as large as it should be, and all have its state."""
        leaders = self.leaders()
        if len(leaders) != 1:
            return False
        replica = leaders[0].replica
        running = {m.identity for m in self.machines.values() if m.process is not None}
        wanted = len(running - replica.barred)
        if self.size.target is not None:
            wanted = min(wanted, self.size.target)
        members = replica.members & running
        return len(members) >= wanted and all(replica.synced(member) for member in members)

    # --- retirement: what the control plane does for the storage group ---

    def retire(self, machine: Machine) -> None:
        self.retiring.setdefault(machine.name, RetireOrder([machine.identity]))
        self.note(f"retire {machine.identity}")

    def _report(self) -> None:
        for process in self.leaders():
            names = frozenset(name for name, order in self.retiring.items() if not order.done)
            process.roster.retired_nodes = names
            process.roster.retired = frozenset(i for o in self.retiring.values() for i in o.identities)
            replica = process.replica
            if not process.machine.frozen and replica.membership_committed(process.machine.now):
                members = sorted(replica.members)
                synced = all(replica.synced(member) for member in members)
                report = StorageReport(members, sorted(replica.barred), synced)
                self.timeline.after(self.rng.uniform(0.0, 0.4), partial(self._judge, report))
        self.timeline.after(REPORT_S, self._report)

    def _judge(self, report: StorageReport) -> None:
        nodes = [
            NodeRecord(m.name, "storage", m.zone, m.identity)
            for m in self.machines.values()
            if m.process is not None
        ]
        for name, order in list(self.retiring.items()):
            state = retirement.next_state(name, order, nodes, report)
            self.retiring[name] = state
            if state.done and not order.done:
                machine = next(m for m in self.machines.values() if m.name == name)
                self.note(f"{machine.identity} is empty and taken away")
                machine.remove()
                self.introduce()

    # --- time ---

    def run(self, seconds: float) -> None:
        end = self.timeline.now + seconds
        while self.timeline.now < end:
            self.timeline.run_until(min(end, self.timeline.now + 0.5))
            self.check_states()

    def run_until(self, found: Callable[[], bool], bound_s: float, what: str) -> None:
        """Let time pass until something holds."""
        end = self.timeline.now + bound_s
        while not found():
            if self.timeline.now >= end:
                raise Broken(f"not within {bound_s:g} s: {what}")
            self.run(0.1)

    def quiet(self) -> None:
        """All machines are there and connected."""
        self.network.heal()
        for machine in self.machines.values():
            machine.disk.full = False
            machine.wake()
            machine.start()

    def leader(self) -> Machine | None:
        found = self.leaders()
        return found[0].machine if found else None

    def replace(self, machine: Machine) -> Machine:
        """A machine is gone for good; an empty one is added at another address."""
        machine.remove()
        made = self.add_machine()
        self.introduce()
        return made
