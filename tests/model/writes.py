"""Membership changes under continuous writes, which must finish within a bound."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from eiderhub.coordination.messages import Write
from eiderhub.coordination.store import StoreFailed
from tests.model.history import InvariantViolation
from tests.model.members import Machine
from tests.model.schedules import CATCH_UP_S, LEADS_WITHIN_S, recover, serve
from tests.model.world import World

WRITES_PER_S = 200
KEY_COUNT = 64
REPLACEMENT_BOUND_S = 4.2  # from the loss of a member until its replacement is a member
CUT_DURATION_S = 1.0
ADDED_DELAY_S = 0.05
START_DELAY_S = 0.3  # until the replacement starts


class Writer:
    """Writes at the leader at a constant rate, without waiting for commits."""

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
                    process.replica.propose(
                        process.machine.now, [Write(f"w/{self.written % KEY_COUNT}", value)]
                    )
                except StoreFailed:
                    continue
                process.after_step()
        self._world.timeline.after(1 / WRITES_PER_S, self._write)


def _leader(world: World) -> Machine:
    world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader")
    leader = world.leader()
    assert leader is not None
    return leader


def _is_member(world: World, machine: Machine) -> bool:
    leader = world.leader()
    process = leader.process if leader is not None else None
    return process is not None and bool(machine.identity) and machine.identity in process.replica.members


def _seconds_until(condition: Callable[[], bool], world: World, writer: Writer, description: str) -> float:
    """Advance time until a condition holds; return the seconds that this took.

    Raises:
        InvariantViolation: it took longer than the bound.
    """
    started_at = world.timeline.now
    while not condition():
        if world.timeline.now - started_at > REPLACEMENT_BOUND_S:
            raise InvariantViolation(
                f"not within {REPLACEMENT_BOUND_S:g} s: {description}; {writer.written} writes were made"
            )
        world.timeline.run_until(world.timeline.now + 0.02)
    return world.timeline.now - started_at


def _finish(world: World, writer: Writer) -> None:
    """Stop the writes; check that all replicas catch up and orders are acknowledged again."""
    writer.stopped = True
    recover(world)
    serve(world)


def replaced_under_writes(world: World) -> float:
    """A backup is replaced by an empty machine while another is cut off, under continuous writes.

    Returns the seconds from the loss until the new machine is a member.
    """
    world.run(2.0)
    writer = Writer(world)
    world.run(1.0)
    leader = _leader(world)
    lost, cut_off = (m for m in world.machines.values() if m is not leader)
    world.network.cut({cut_off.address}, {m.address for m in world.machines.values() if m is not cut_off})
    world.timeline.after(CUT_DURATION_S, world.network.heal)
    replacement = world.replace(lost)
    world.timeline.after(START_DELAY_S, replacement.start)
    duration_s = _seconds_until(partial(_is_member, world, replacement), world, writer, "it is a member")
    world.run(2.0)
    _finish(world, writer)
    return duration_s


def slow_machine_joins_under_writes(world: World) -> float:
    """A machine with slow connections joins under continuous writes; it never has the newest write.

    Returns the seconds until it is a member.
    """
    world.run(2.0)
    writer = Writer(world)
    world.run(1.0)
    joining = world.add_machine()
    world.network.slow_down(joining.address, ADDED_DELAY_S)
    world.update_machine_lists()
    joining.start()
    duration_s = _seconds_until(partial(_is_member, world, joining), world, writer, "it is a member")
    _finish(world, writer)
    return duration_s


def retired_under_writes(world: World) -> float:
    """The primary retires under continuous writes; its machine is empty within the bound."""
    world.run(2.0)
    writer = Writer(world)
    world.run(1.0)
    leader = _leader(world)
    world.retire(leader)
    duration_s = _seconds_until(lambda: leader.removed, world, writer, "it is empty")
    _finish(world, writer)
    return duration_s


def random_changes_under_writes(world: World) -> None:
    """Members are replaced or lose their disks at random under writes, one after the other."""
    world.run(1.0)
    writer = Writer(world)
    for _ in range(3):
        world.run(world.rng.uniform(0.5, 1.5))
        machines = [m for m in world.machines.values() if m.process is not None]
        machine = world.rng.choice(machines)
        if world.rng.random() < 0.5:
            joining = world.replace(machine)
            world.note(f"{machine.address} is replaced by {joining.address}")
        else:
            machine.wipe()
            joining = machine
            world.note(f"{machine.address} loses its disk")
        world.timeline.after(START_DELAY_S, joining.start)
        world.run(START_DELAY_S + CATCH_UP_S)
        world.run_until(partial(_is_member, world, joining), LEADS_WITHIN_S, "it is a member")
    _finish(world, writer)
