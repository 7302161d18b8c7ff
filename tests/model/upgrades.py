"""Schedules in which machines run programs of two landings, one after the other, with losses in between."""

from __future__ import annotations

from collections.abc import Callable

from eiderhub.coordination.forms import FIRST_FORMAT, RecordFormats
from tests.model.history import Broken
from tests.model.members import Machine
from tests.model.schedules import (
    CATCH_UP_S,
    LEADS_WITHIN_S,
    LOSSES,
    cut,
    cut_pair,
    freeze,
    hand_over,
    recover,
    serve,
)
from tests.model.world import World

NEXT_FORMAT = FIRST_FORMAT + 1
# Three landings: one that knows the first format alone, one that reads the next format, one that writes it.
FIRST = RecordFormats(FIRST_FORMAT, FIRST_FORMAT)
READS = RecordFormats(NEXT_FORMAT, FIRST_FORMAT)
WRITES = RecordFormats(NEXT_FORMAT, NEXT_FORMAT)
RAISED_WITHIN_S = 3.0  # the format, once all members read it and are there
BACK_SHARE = 0.3  # of machines that are put back at first

Between = Callable[[World, Machine], float]


def _start_again(world: World, machine: Machine, formats: RecordFormats) -> None:
    """Stop a program as planned, and start another landing's on the same disk."""
    if machine.process is not None and machine.process.replica.transfer_leadership(machine.now):
        machine.process.after_step()
        world.run(0.4)
    machine.kill()
    machine.formats = formats
    world.run(world.rng.uniform(0.05, 0.3))
    machine.start()


def _upgrade_all(world: World, before: RecordFormats, after: RecordFormats, troubles: list[Between]) -> None:
    """One machine after the other; some are put back first, and something may befall one meanwhile."""
    world.installed = after
    machines = [m for m in world.machines.values() if not m.removed]
    world.rng.shuffle(machines)
    for machine in machines:
        if machine.removed:
            continue
        _start_again(world, machine, after)
        world.note(f"{machine.identity} runs {after}")
        if world.rng.random() < BACK_SHARE:
            world.run(world.rng.uniform(0.0, 1.0))
            _start_again(world, machine, before)
            world.note(f"{machine.identity} is put back to {before}")
            world.run(world.rng.uniform(0.0, 1.0))
            _start_again(world, machine, after)
        if troubles and world.rng.random() < 0.5:
            trouble = world.rng.choice(troubles)
            victim = world.rng.choice([m for m in machines if not m.removed])
            world.note(f"{trouble.__name__} {victim.identity}")
            world.run(trouble(world, victim))
            world.run(CATCH_UP_S)
        world.run(world.rng.uniform(0.0, 2.0))


def _formats(world: World) -> set[int]:
    """That the group writes, as its running members have it; a spare has no state, or an old one."""
    replicas = [m.process.replica for m in world.machines.values() if m.process is not None]
    members = {member for leader in world.leaders() for member in leader.replica.members}
    return {replica.record_format for replica in replicas if replica.identity in members}


def upgraded_over_two_landings(world: World) -> None:
    """The format stays until the landing that writes it, and rises once all members run that."""
    world.run(1.0)
    troubles = [cut, cut_pair, freeze, hand_over]
    _upgrade_all(world, FIRST, READS, list(troubles))
    recover(world)
    world.run_until(
        lambda: _formats(world) == {FIRST_FORMAT}, LEADS_WITHIN_S, "the first format is still written"
    )
    _upgrade_all(world, READS, WRITES, list(troubles))
    recover(world)
    world.run_until(lambda: _formats(world) == {NEXT_FORMAT}, RAISED_WITHIN_S, "the next format is written")
    serve(world)


def upgraded_at_once(world: World) -> None:
    """Against the rule of two landings: one that reads and writes the next format at once, never put back.

    The format must wait for the last member all the same.
    """
    world.run(1.0)
    machines = list(world.machines.values())
    world.rng.shuffle(machines)
    for machine in machines:
        raised = any(
            m.process is not None and m.process.replica.record_format != FIRST_FORMAT for m in machines
        )
        if raised and world.size.target is None:  # else the last may be a spare, which is no member
            raise Broken("the next format is written before each machine reads it")
        _start_again(world, machine, WRITES)
        world.run(world.rng.uniform(0.5, 2.0))
    recover(world)
    world.run_until(lambda: _formats(world) == {NEXT_FORMAT}, RAISED_WITHIN_S, "the next format is written")
    serve(world)


def stale_program_joins(world: World) -> None:
    """A group writes the next format; a machine comes with a program that does not read it."""
    world.run(1.0)
    for machine in world.machines.values():
        _start_again(world, machine, WRITES)
    recover(world)
    world.run_until(lambda: _formats(world) == {NEXT_FORMAT}, RAISED_WITHIN_S, "the next format is written")
    made = world.add_machine()
    made.formats = FIRST
    world.introduce()
    made.start()
    world.run(4.0)
    if world.size.target is None:  # a group that wants no more members teaches it nothing
        assert made.process is not None and made.process.replica.unreadable_format == NEXT_FORMAT
    assert all(made.identity not in m.process.replica.members
               for m in world.machines.values() if m.process is not None)  # fmt: skip
    made.remove()
    world.introduce()
    recover(world)
    serve(world)


def upgrades(world: World) -> None:
    """As drawn: two landings, losses of every kind between their steps."""
    world.run(world.rng.uniform(0.5, 1.5))
    _upgrade_all(world, FIRST, READS, list(LOSSES))
    recover(world)
    world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader")
    for operator in world.operators:
        operator.resting = False
    _upgrade_all(world, READS, WRITES, list(LOSSES))
    recover(world)
