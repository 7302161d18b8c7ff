"""Schedules that upgrade machines over two releases, one machine after the other, with faults in between."""

from __future__ import annotations

from collections.abc import Callable

from eiderhub.coordination.forms import FIRST_FORMAT, RecordFormats
from tests.model.history import InvariantViolation
from tests.model.members import Machine
from tests.model.schedules import (
    CATCH_UP_S,
    LEADS_WITHIN_S,
    LOSSES,
    cut,
    cut_pair,
    freeze,
    recover,
    serve,
    transfer_leadership,
)
from tests.model.world import World

NEXT_FORMAT = FIRST_FORMAT + 1
# Three releases: one that knows only the first format, one that reads the next format, one that writes it.
FIRST_RELEASE = RecordFormats(FIRST_FORMAT, FIRST_FORMAT)
READING_RELEASE = RecordFormats(NEXT_FORMAT, FIRST_FORMAT)
WRITING_RELEASE = RecordFormats(NEXT_FORMAT, NEXT_FORMAT)
FORMAT_RAISE_BOUND_S = 3.0  # until the next format is written, once all members run and can write it
ROLLBACK_SHARE = 0.3  # of machines that are rolled back once during an upgrade

Fault = Callable[[World, Machine], float]


def _restart(world: World, machine: Machine, formats: RecordFormats) -> None:
    """Stop a program as planned, and start that of another release on the same disk."""
    if machine.process is not None and machine.process.replica.transfer_leadership(machine.now):
        machine.process.after_step()
        world.run(0.4)
    machine.kill()
    machine.formats = formats
    world.run(world.rng.uniform(0.05, 0.3))
    machine.start()


def _upgrade_all(world: World, before: RecordFormats, after: RecordFormats, faults: list[Fault]) -> None:
    """Upgrade one machine after the other; some are rolled back once, and faults occur at random."""
    world.installed = after
    machines = [m for m in world.machines.values() if not m.removed]
    world.rng.shuffle(machines)
    for machine in machines:
        if machine.removed:
            continue
        _restart(world, machine, after)
        world.note(f"{machine.identity} runs {after}")
        if world.rng.random() < ROLLBACK_SHARE:
            world.run(world.rng.uniform(0.0, 1.0))
            _restart(world, machine, before)
            world.note(f"{machine.identity} is rolled back to {before}")
            world.run(world.rng.uniform(0.0, 1.0))
            _restart(world, machine, after)
        if faults and world.rng.random() < 0.5:
            fault = world.rng.choice(faults)
            victim = world.rng.choice([m for m in machines if not m.removed])
            world.note(f"{fault.__name__} {victim.identity}")
            world.run(fault(world, victim))
            world.run(CATCH_UP_S)
        world.run(world.rng.uniform(0.0, 2.0))


def _written_formats(world: World) -> set[int]:
    """Return the formats that running members write; a spare has no state, or an old one."""
    replicas = [m.process.replica for m in world.machines.values() if m.process is not None]
    members = {member for leader in world.leaders() for member in leader.replica.members}
    return {replica.record_format for replica in replicas if replica.identity in members}


def upgraded_over_two_releases(world: World) -> None:
    """The first format is written until the second release, the next one once all members run it."""
    world.run(1.0)
    faults = [cut, cut_pair, freeze, transfer_leadership]
    _upgrade_all(world, FIRST_RELEASE, READING_RELEASE, list(faults))
    recover(world)
    world.run_until(
        lambda: _written_formats(world) == {FIRST_FORMAT}, LEADS_WITHIN_S, "the first format is still written"
    )
    _upgrade_all(world, READING_RELEASE, WRITING_RELEASE, list(faults))
    recover(world)
    world.run_until(
        lambda: _written_formats(world) == {NEXT_FORMAT}, FORMAT_RAISE_BOUND_S, "the next format is written"
    )
    serve(world)


def upgraded_at_once(world: World) -> None:
    """Against the rule of two releases: one release reads and writes the next format, without a rollback.

    The next format must still not be written before the last member reads it.
    """
    world.run(1.0)
    machines = list(world.machines.values())
    world.rng.shuffle(machines)
    for machine in machines:
        raised = any(
            m.process is not None and m.process.replica.record_format != FIRST_FORMAT for m in machines
        )
        if raised and world.size.target is None:  # else the last one may be a spare, not a member
            raise InvariantViolation("the next format is written before each machine reads it")
        _restart(world, machine, WRITING_RELEASE)
        world.run(world.rng.uniform(0.5, 2.0))
    recover(world)
    world.run_until(
        lambda: _written_formats(world) == {NEXT_FORMAT}, FORMAT_RAISE_BOUND_S, "the next format is written"
    )
    serve(world)


def stale_program_joins(world: World) -> None:
    """A group writes the next format; a machine joins whose program does not read it."""
    world.run(1.0)
    for machine in world.machines.values():
        _restart(world, machine, WRITING_RELEASE)
    recover(world)
    world.run_until(
        lambda: _written_formats(world) == {NEXT_FORMAT}, FORMAT_RAISE_BOUND_S, "the next format is written"
    )
    joining = world.add_machine()
    joining.formats = FIRST_RELEASE
    world.update_machine_lists()
    joining.start()
    world.run(4.0)
    if world.size.target is None:  # a group at its target size sends the machine no state
        assert joining.process is not None and joining.process.replica.unreadable_format == NEXT_FORMAT
    assert all(joining.identity not in m.process.replica.members
               for m in world.machines.values() if m.process is not None)  # fmt: skip
    joining.remove()
    world.update_machine_lists()
    recover(world)
    serve(world)


def random_upgrades(world: World) -> None:
    """Two releases, with random losses of every kind between the steps."""
    world.run(world.rng.uniform(0.5, 1.5))
    _upgrade_all(world, FIRST_RELEASE, READING_RELEASE, list(LOSSES))
    recover(world)
    world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader")
    for operator in world.operators:
        operator.paused = False
    _upgrade_all(world, READING_RELEASE, WRITING_RELEASE, list(LOSSES))
    recover(world)
