"""A steady stream of writes, and changes of members that must come though it never rests."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from eiderhub.coordination.messages import Write
from eiderhub.coordination.store import StoreFailed
from tests.model.history import Broken
from tests.model.members import Machine
from tests.model.schedules import CATCH_UP_S, LEADS_WITHIN_S, recover, serve
from tests.model.world import World

WRITES_PER_S = 200
KEYS = 64
REPLACED_WITHIN_S = 4.2  # from the loss of a member until the one that came in its place belongs
CUT_S = 1.0
SLOW_S = 0.05
START_S = 0.3  # of the machine that comes in its place


class Writer:
    """Writes at whoever leads, and waits for nothing."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.written = 0
        self.stopped = False
        self._write()

    def _write(self) -> None:
        if self.stopped:
            return
        for process in self._world.leaders():
            if not process.machine.frozen:
                self.written += 1
                value = str(self.written).encode()
                try:
                    process.replica.propose(process.machine.now, [Write(f"w/{self.written % KEYS}", value)])
                except StoreFailed:
                    continue
                process.after_step()
        self._world.timeline.after(1 / WRITES_PER_S, self._write)


def _leader(world: World) -> Machine:
    world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader")
    leader = world.leader()
    assert leader is not None
    return leader


def _member(world: World, machine: Machine) -> bool:
    leader = world.leader()
    process = leader.process if leader is not None else None
    return process is not None and bool(machine.identity) and machine.identity in process.replica.members


def _seconds_until(found: Callable[[], bool], world: World, writer: Writer, what: str) -> float:
    """Let time pass until something holds; how long that took.

    Raises:
        Broken: longer than the bound.
    """
    began = world.timeline.now
    while not found():
        if world.timeline.now - began > REPLACED_WITHIN_S:
            raise Broken(f"not within {REPLACED_WITHIN_S:g} s: {what}; {writer.written} writes on")
        world.timeline.run_until(world.timeline.now + 0.02)
    return world.timeline.now - began


def _end(world: World, writer: Writer) -> None:
    """No more writes; everybody catches up, and orders are taken again."""
    writer.stopped = True
    recover(world)
    serve(world)


def replaced_under_writes(world: World) -> float:
    """A backup is replaced by an empty machine while another is cut off, under a steady stream of writes.

    Returns the seconds from the loss until the new machine belongs.
    """
    world.run(2.0)
    writer = Writer(world)
    world.run(1.0)
    leader = _leader(world)
    lost, apart = (m for m in world.machines.values() if m is not leader)
    world.network.cut({apart.address}, {m.address for m in world.machines.values() if m is not apart})
    world.timeline.after(CUT_S, world.network.heal)
    made = world.replace(lost)
    world.timeline.after(START_S, made.start)
    took = _seconds_until(partial(_member, world, made), world, writer, "it belongs")
    world.run(2.0)
    _end(world, writer)
    return took


def slow_machine_joins_under_writes(world: World) -> float:
    """A machine that everything reaches late joins under a steady stream of writes.

    Returns the seconds until it belongs: it never has the newest write.
    """
    world.run(2.0)
    writer = Writer(world)
    world.run(1.0)
    made = world.add_machine()
    world.network.slow_down(made.address, SLOW_S)
    world.introduce()
    made.start()
    took = _seconds_until(partial(_member, world, made), world, writer, "it belongs")
    _end(world, writer)
    return took


def retired_under_writes(world: World) -> float:
    """The primary itself retires under a steady stream of writes; its machine is empty within the bound."""
    world.run(2.0)
    writer = Writer(world)
    world.run(1.0)
    leader = _leader(world)
    world.retire(leader)
    took = _seconds_until(lambda: leader.removed, world, writer, "it is empty")
    _end(world, writer)
    return took


def drawn_under_writes(world: World) -> None:
    """Members come, go and lose their disks as drawn, each as soon as the last one counts, under writes."""
    world.run(1.0)
    writer = Writer(world)
    for _ in range(3):
        world.run(world.rng.uniform(0.5, 1.5))
        machines = [m for m in world.machines.values() if m.process is not None]
        machine = world.rng.choice(machines)
        if world.rng.random() < 0.5:
            made = world.replace(machine)
            world.note(f"{machine.address} is replaced by {made.address}")
        else:
            machine.wipe()
            made = machine
            world.note(f"{machine.address} loses its disk")
        world.timeline.after(START_S, made.start)
        world.run(START_S + CATCH_UP_S)
        world.run_until(partial(_member, world, made), LEADS_WITHIN_S, "it belongs")
    _end(world, writer)
