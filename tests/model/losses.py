"""Schedules of losses in turn and of several losses at once, each as soon as the deployment may have it.

They run with the shapes that deployments have, up to two losses at once among them. `tolerated` machines may
be lost together; the next are lost `CATCH_UP_S` after all of these are back.
"""

from __future__ import annotations

from collections.abc import Callable

from eiderhub.coordination.timing import tolerated_losses
from tests.model.disk import Disk
from tests.model.history import InvariantViolation
from tests.model.members import Machine
from tests.model.schedules import (
    CATCH_UP_S,
    LEADS_WITHIN_S,
    cut,
    fill_disk,
    freeze,
    kill,
    lose_all_power,
    recover,
    replace,
    serve,
    transfer_leadership,
    wipe,
)
from tests.model.world import LARGER_SHAPES, Shape, World

FOUNDING_S = 4.0  # the group has been formed, auxiliary replicas included
LOSSES: list[Callable[[World, Machine], float]] = [wipe, wipe, kill, freeze, cut, replace, fill_disk]
RETURN_SPREAD_S = 0.1


def tolerated(world: World) -> int:
    return tolerated_losses(world.size.min_live)


def choose_machines(world: World, count: int) -> list[Machine]:
    """Choose running machines: the leader first in most cases, often control nodes before auxiliary ones."""
    running = [m for m in world.machines.values() if m.process is not None and not m.frozen]
    world.rng.shuffle(running)
    if world.rng.random() < 0.5:
        running.sort(key=lambda machine: machine.auxiliary)
    leader = world.leader()
    if leader is not None and world.rng.random() < 0.67:
        running.sort(key=lambda machine: machine is not leader)
    return running[:count]


def lose(world: World, machines: list[Machine]) -> None:
    """Lose machines at the same moment; return once all of them are available again."""
    longest_s = 0.0
    for machine in machines:
        loss = world.rng.choice(LOSSES)
        world.note(f"{loss.__name__} {machine.identity}")
        longest_s = max(longest_s, loss(world, machine))
    lost_at = world.timeline.now
    world.run(0.1)
    expect_leader(world, "a leader after a loss")
    world.run(max(0.0, lost_at + longest_s - world.timeline.now))
    world.run(CATCH_UP_S - world.rng.uniform(0.0, RETURN_SPREAD_S))


def expect_leader(world: World, description: str) -> None:
    world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, description)


def lose_disks_for_good(world: World) -> None:
    """As many disks as are to be borne are lost; in half of the cases all others lose power with them."""
    machines = choose_machines(world, tolerated(world))
    together = world.rng.random() < 0.5
    names = " ".join(machine.identity for machine in machines)
    world.note(f"{names} lose their disks" + (", all others lose power" if together else ""))
    if together:
        lose_all_power(world)
    for machine in machines:
        machine.remove()
    world.update_machine_lists()
    world.run(1.0)
    expect_leader(world, "a leader after the last loss")
    serve(world)


def losses_in_turn(world: World) -> None:
    """One machine after the other is lost, most with their disks; then as many disks as are to be borne."""
    world.run(FOUNDING_S)
    for _ in range(world.rng.randint(3, 6)):
        lose(world, choose_machines(world, 1))
    lose_disks_for_good(world)


def losses_together(world: World) -> None:
    """As many machines as are to be borne are lost at once, again and again."""
    world.run(FOUNDING_S)
    for _ in range(world.rng.randint(1, 3)):
        lose(world, choose_machines(world, tolerated(world)))
    lose_disks_for_good(world)


def replacements_in_turn(world: World) -> None:
    """Control machines are replaced as planned, at other addresses, while others are lost."""
    world.run(FOUNDING_S)
    for _ in range(world.rng.randint(2, 4)):
        machine = choose_machines(world, 1)[0]
        world.note(f"planned replacement of {machine.identity}")
        if machine.process is not None and machine.process.replica.transfer_leadership(machine.now):
            machine.process.after_step()
        world.run(0.4)
        duration_s = replace(world, machine)
        world.run(duration_s + CATCH_UP_S)
        if world.rng.random() < 0.5:
            lose(world, choose_machines(world, tolerated(world)))
    lose_disks_for_good(world)


def more_than_tolerated(world: World) -> None:
    """More machines are away than are to be borne, in overlapping faults; service may rest, and comes back.

    At most as many disks are lost as are to be borne.
    """
    world.run(FOUNDING_S)
    disks_to_lose = tolerated(world)
    for _ in range(world.rng.randint(3, 8)):
        for machine in choose_machines(world, world.rng.randint(1, tolerated(world) + 1)):
            choices = [kill, freeze, cut, transfer_leadership] + [wipe] * (disks_to_lose > 0)
            fault = world.rng.choice(choices)
            disks_to_lose -= fault is wipe
            world.note(f"{fault.__name__} {machine.identity}")
            fault(world, machine)
        world.run(world.rng.expovariate(1.5))
    recover(world)
    serve(world)


LOSS_SCHEDULES: tuple[Callable[[World], None], ...] = (
    losses_in_turn,
    losses_together,
    replacements_in_turn,
    more_than_tolerated,
)


def play(
    seed: int, schedule: Callable[[World], None], shape: Shape | None = None, disk: Callable[[], Disk] = Disk
) -> World:
    """Play one schedule with one seed, by default with one of the larger shapes.

    Raises:
        InvariantViolation: with the seed, the violation and the events before it.
    """
    shape = shape or LARGER_SHAPES[seed % len(LARGER_SHAPES)]
    world = World(seed, shape, disk=disk)
    try:
        schedule(world)
    except InvariantViolation as error:
        trace = "; ".join(world.trace)
        raise InvariantViolation(
            f"{schedule.__name__} --seed {seed} {shape}: {error}. Before: {trace}"
        ) from error
    return world
