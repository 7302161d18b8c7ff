"""The world of one run: machines, network and actors, and the invariants checked at every step."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from eiderhub.control import retirement
from eiderhub.control.change_processor import ChangeResult
from eiderhub.control.messages import NodeRecord, StorageReport
from eiderhub.control.retirement import RetireOrder
from eiderhub.coordination.auxiliary import is_auxiliary
from eiderhub.coordination.forms import FORMAT_KEY, OWN_FORMATS, decode_format
from eiderhub.coordination.messages import Position
from eiderhub.coordination.replication import Role
from eiderhub.coordination.timing import GroupSize, Timing
from tests.model.actors import ConfigurationReader, Operator, Sidecar
from tests.model.clock import Timeline
from tests.model.disk import Disk
from tests.model.history import History, InvariantViolation
from tests.model.members import Machine, Process
from tests.model.network import Network

ZONES = 4
REPORT_INTERVAL_S = 0.25
BOOT_S = 0.4


class Shape(NamedTuple):
    """The number of machines and the group size of a run."""

    machines: int
    members: int  # number of initial members
    size: GroupSize
    auxiliaries: int = 0  # number of further machines that offer an auxiliary replica


CONTROL = Shape(4, 3, GroupSize(None, 3))  # a control group: every machine becomes a member
CONTROL_OF_THREE = Shape(3, 3, GroupSize(None, 3))
STORAGE = Shape(4, 3, GroupSize(3, 3))  # a storage group of three with a spare
SHAPES = (CONTROL, STORAGE, CONTROL_OF_THREE)
# Groups that are smaller than the two losses to be borne ask for.
CONTROL_TOO_SMALL = Shape(4, 3, GroupSize(None, 5))
SMALLEST_CONTROL_TOO_SMALL = Shape(3, 3, GroupSize(None, 5))
STORAGE_TOO_SMALL = Shape(4, 4, GroupSize(5, 5))
# Two losses at once are to be borne: three, four, five and seven zones with a control node each.
CONTROL_OF_THREE_FOR_TWO = Shape(3, 3, GroupSize(None, 5), 6)
CONTROL_OF_FOUR_FOR_TWO = Shape(4, 3, GroupSize(None, 5), 5)
CONTROL_OF_FIVE_FOR_TWO = Shape(5, 3, GroupSize(None, 5), 5)
CONTROL_OF_SEVEN_FOR_TWO = Shape(7, 3, GroupSize(None, 5), 5)
CONTROL_OF_TWO = Shape(2, 2, GroupSize(None, 3), 4)  # one loss, two zones
STORAGE_FOR_TWO = Shape(7, 5, GroupSize(5, 5))  # two spares
STORAGE_WITHOUT_SPARES = Shape(5, 5, GroupSize(5, 5))
LARGER_SHAPES = (
    CONTROL_OF_THREE_FOR_TWO, CONTROL_OF_FOUR_FOR_TWO, CONTROL_OF_FIVE_FOR_TWO, CONTROL_OF_SEVEN_FOR_TWO,
    CONTROL_OF_TWO, STORAGE_FOR_TWO, STORAGE_WITHOUT_SPARES,
)  # fmt: skip


class World:
    """One run; `answer_loss_rate` is the share of answers to operators that are lost."""

    def __init__(
        self,
        seed: int,
        shape: Shape = CONTROL,
        answer_loss_rate: float = 0.3,
        disk: Callable[[], Disk] = Disk,
        timing: Timing | None = None,
    ) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.timeline = Timeline()
        self.network = Network(self.timeline, self.rng)
        self.size = shape.size
        self.timing = timing or Timing()
        self.installed = OWN_FORMATS  # record formats of the program on new machines
        self.make_disk = disk
        self.history = History()
        self.trace: list[str] = []
        self.machines: dict[str, Machine] = {}
        self._leaders: dict[int, str] = {}  # by epoch
        self._states: dict[Position, dict[str, bytes]] = {}
        self.retiring: dict[str, RetireOrder] = {}  # by machine name
        self._addresses = 0
        for _ in range(shape.machines):
            self.add_machine()
        for _ in range(shape.auxiliaries):
            self.add_machine(auxiliary=True)
        for machine in self.machines.values():
            machine.start()
        founders = [m.identity for m in list(self.machines.values())[: shape.members]]
        for machine in self.machines.values():
            if machine.identity in founders and machine.process is not None:
                machine.process.replica.bootstrap(founders)
        self.operators = [
            Operator(self.network, random.Random(self.rng.random()), name, self.history, answer_loss_rate)
            for name in ("ann", "ben")
        ]
        self.reader = ConfigurationReader(self.network, random.Random(self.rng.random()), self.history)
        self.sidecars = [
            Sidecar(self.network, random.Random(self.rng.random()), name, self.history)
            for name in ("s1", "s2")
        ]
        self.update_machine_lists()
        self.timeline.after(REPORT_INTERVAL_S, self._report)
        if shape.auxiliaries:
            self._offer_auxiliaries()

    def add_machine(self, auxiliary: bool = False) -> Machine:
        """Add a machine that is not started yet, at a new address and in the next zone."""
        address = f"m{self._addresses}"
        machine = Machine(self, address, f"z{self._addresses % ZONES}", auxiliary)
        self._addresses += 1
        self.machines[address] = machine
        return machine

    def update_machine_lists(self) -> None:
        """Give operators, sidecars and the reader the current list of machines."""
        present = [m for m in self.machines.values() if not m.removed and not m.auxiliary]
        for operator in self.operators:
            operator.machines = present
        for sidecar in self.sidecars:
            sidecar.machines = present
        self.reader.machines = present

    def note(self, event: str) -> None:
        """Add an event to the trace that errors show."""
        self.trace.append(f"{self.timeline.now:.2f} {event}")

    def on_answer(self, answer: ChangeResult[Any]) -> None:
        answer.caller.order.operator.on_answer(answer.caller, answer)

    # --- invariants ---

    def leaders(self) -> list[Process]:
        """Return the processes that lead now; an auxiliary one answers nobody."""
        leaders = []
        for machine in self.machines.values():
            process = machine.process
            if process is not None and process.replica.role is Role.PRIMARY:
                if process.replica.leads(machine.now):
                    leaders.append(process)
        return leaders

    def on_primary_step(self, process: Process) -> None:
        """Check the invariants of primaries after a step of one."""
        replica = process.replica
        first_primary = self._leaders.setdefault(replica.epoch, process.identity)
        if first_primary != process.identity:
            raise InvariantViolation(
                f"{first_primary} and {process.identity} are primaries of epoch {replica.epoch}"
            )
        leaders = self.leaders()
        if len(leaders) > 1:
            raise InvariantViolation(f"{leaders[0].identity} and {leaders[1].identity} lead at once")
        if process in leaders:
            if process.loaded_epoch != replica.epoch:
                process.loaded_epoch = replica.epoch
                self.history.record_loaded_state(process.machine.disk)
            self._check_acknowledged(process)

    def _check_acknowledged(self, process: Process) -> None:
        """Check that a primary's state has every acknowledged change."""
        for generation in self.history.missing_changes(process):
            raise InvariantViolation(
                f"{process.identity} leads without the acknowledged generation {generation}"
            )

    def on_generation_reported(self, process: Process, generation: int) -> None:
        """Check a generation that a process reports as current."""
        self.history.check_reported_generation(process.machine.address, generation, self.timeline.now)

    def check_states(self) -> None:
        """Check that replicas at the same position have the same state, in a format that they read."""
        for machine in self.machines.values():
            process = machine.process
            if process is None:
                continue
            self._check_format(process)
            position, data = process.replica.position, machine.disk.data
            other = self._states.setdefault(position, dict(data))
            if other != data:
                raise InvariantViolation(f"{process.identity} differs from another replica at {position}")

    @staticmethod
    def _check_format(process: Process) -> None:
        """Check that a disk has no state in a format that the machine's program does not read."""
        record_format = decode_format(process.machine.disk.data.get(FORMAT_KEY))
        if record_format > process.machine.formats.reads:
            raise InvariantViolation(
                f"{process.identity} has records of format {record_format}, which its program does not read"
            )

    def has_converged(self) -> bool:
        """Whether exactly one replica leads, its group has the target size and all members have its state."""
        leaders = self.leaders()
        if len(leaders) != 1:
            return False
        replica = leaders[0].replica
        running = {m.identity for m in self.machines.values() if m.process is not None}
        wanted = len({i for i in running if not is_auxiliary(i)} - replica.barred)
        if len(running) > wanted:
            wanted = max(wanted, min(len(running), self.size.min_live))
        if self.size.target is not None:
            wanted = min(wanted, self.size.target)
        members = replica.members & running
        return len(members) >= wanted and all(replica.synced(member) for member in members)

    # --- retirement, which the control plane manages for the storage group ---

    def retire(self, machine: Machine) -> None:
        """Order the retirement of a machine."""
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
                self.timeline.after(self.rng.uniform(0.0, 0.4), partial(self._apply_report, report))
        self.timeline.after(REPORT_INTERVAL_S, self._report)

    def _offer_auxiliaries(self) -> None:
        """Tell leaders which auxiliary replicas run, as the sessions of their machines do."""
        offers = {m.identity: m.zone for m in self.machines.values() if m.auxiliary and m.process is not None}
        for process in self.leaders():
            process.roster.offers = offers
        self.timeline.after(REPORT_INTERVAL_S, self._offer_auxiliaries)

    def _apply_report(self, report: StorageReport) -> None:
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
                self.note(f"{machine.identity} is empty and removed")
                machine.remove()
                self.update_machine_lists()

    # --- time ---

    def run(self, seconds: float) -> None:
        """Advance time, and check the replicas' states every 0.5 s."""
        end = self.timeline.now + seconds
        while self.timeline.now < end:
            self.timeline.run_until(min(end, self.timeline.now + 0.5))
            self.check_states()

    def run_until(self, condition: Callable[[], bool], bound_s: float, description: str) -> None:
        """Advance time until a condition holds.

        Raises:
            InvariantViolation: the condition does not hold within the bound.
        """
        end = self.timeline.now + bound_s
        while not condition():
            if self.timeline.now >= end:
                raise InvariantViolation(f"not within {bound_s:g} s: {description}")
            self.run(0.1)

    def restore_all(self) -> None:
        """Heal the network and start or resume all machines."""
        self.network.heal()
        for machine in self.machines.values():
            machine.disk.full = False
            machine.resume()
            machine.start()

    def leader(self) -> Machine | None:
        """Return the control node that leads, or None."""
        serving = [process.machine for process in self.leaders() if not process.machine.auxiliary]
        return serving[0] if serving else None

    def replace(self, machine: Machine) -> Machine:
        """Remove a machine permanently; add an empty one at another address."""
        machine.remove()
        replacement = self.add_machine(machine.auxiliary)
        self.update_machine_lists()
        return replacement
