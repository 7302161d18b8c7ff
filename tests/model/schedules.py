"""Schedules of trouble, drawn from a seed: within what the deployment promises, and beyond it."""

from __future__ import annotations

from collections.abc import Callable

from tests.model.disk import Disk
from tests.model.history import Broken
from tests.model.members import Machine
from tests.model.world import SHAPES, STORAGE, Shape, World

CATCH_UP_S = 4.7  # after so long a machine that is back, or new, counts as there: the next may be lost
LEADS_WITHIN_S = 4.0  # a leader is there so long after a loss that the group bears
RECOVERY_S = 8.0
SERVES_S = 10.0


def leader_or_any(world: World) -> Machine:
    """Mostly the machine that leads: what befalls it matters most."""
    machines = [m for m in world.machines.values() if m.process is not None]
    leader = world.leader()
    return leader if leader is not None and world.rng.random() < 0.5 else world.rng.choice(machines)


# --- losses of one machine; each returns the time after which it is there again ---


def kill(world: World, machine: Machine) -> float:
    if world.rng.random() < 0.5:
        machine.kill()
    else:
        machine.lose_power()
    back = world.rng.choice((world.rng.uniform(0.02, 0.1), world.rng.uniform(0.3, 3.0)))
    world.timeline.after(back, machine.start)
    return back


def wipe(world: World, machine: Machine) -> float:
    machine.wipe()
    back = world.rng.uniform(0.3, 2.0)
    world.timeline.after(back, machine.start)
    return back


def freeze(world: World, machine: Machine) -> float:
    machine.freeze()
    back = world.rng.uniform(0.2, 3.0)
    world.timeline.after(back, machine.wake)
    return back


def cut(world: World, machine: Machine) -> float:
    others = {address for address in world.machines if address != machine.address}
    one_way = world.rng.random() < 0.4
    if world.rng.random() < 0.5:
        world.network.cut({machine.address}, others, one_way)
    else:
        for other in others:
            world.network.cut({other}, {machine.address}, one_way)
    back = world.rng.uniform(0.3, 4.0)
    world.timeline.after(back, world.network.heal)
    return back


def cut_pair(world: World, machine: Machine) -> float:
    """Two machines lose each other; all others reach both."""
    others = [address for address in world.machines if address != machine.address]
    other = world.rng.choice(others)
    sides = [{machine.address}, {other}]
    world.rng.shuffle(sides)
    world.network.cut(sides[0], sides[1], one_way=world.rng.random() < 0.5)
    back = world.rng.uniform(0.3, 3.0)
    world.timeline.after(back, world.network.heal)
    return back


def fill(world: World, machine: Machine) -> float:
    machine.disk.full = True
    back = world.rng.uniform(0.5, 3.0)

    def room() -> None:
        machine.disk.full = False

    world.timeline.after(back, room)
    return back


def replace(world: World, machine: Machine) -> float:
    made = world.replace(machine)
    back = world.rng.uniform(0.3, 2.0)
    world.timeline.after(back, made.start)
    return back


def hand_over(world: World, machine: Machine) -> float:
    """The primary hands over as at a planned stop; whoever is to follow may be frozen meanwhile."""
    if machine.process is not None and machine.process.replica.transfer_leadership(machine.now):
        machine.process.after_step()
    freezes = world.rng.random() < 0.6
    others = [m for m in world.machines.values() if m is not machine and m.process is not None]
    back = world.rng.uniform(1.0, 2.5)
    if freezes and others:
        victim = world.rng.choice(others)
        victim.freeze()
        world.timeline.after(back, victim.wake)
    return back


def everybody_keeps_disks(world: World) -> float:
    for machine in world.machines.values():
        if not machine.removed:
            machine.lose_power()
            world.timeline.after(world.rng.uniform(0.2, 1.0), machine.start)
    return 1.0


def everybody(world: World, machine: Machine) -> float:
    """All lose power at once, and one of them its disk."""
    everybody_keeps_disks(world)
    machine.wipe()
    return 1.0


LOSSES: list[Callable[[World, Machine], float]] = [
    kill, wipe, freeze, cut, cut_pair, fill, replace, hand_over, everybody,
]  # fmt: skip


def halves(world: World) -> float:
    """The machines are cut in two."""
    addresses = [address for address, machine in world.machines.items() if not machine.removed]
    world.rng.shuffle(addresses)
    middle = len(addresses) // 2
    world.network.cut(set(addresses[:middle]), set(addresses[middle:]))
    back = world.rng.uniform(0.5, 4.0)
    world.timeline.after(back, world.network.heal)
    return back


def retire_one(world: World, machine: Machine) -> float:
    """A machine is to be emptied; its disk, or another's, may be lost meanwhile."""
    left = [m for m in world.machines.values() if not m.removed]
    if len(left) <= world.size.min_live:
        return 0.0
    world.retire(machine)
    if world.rng.random() < 0.4:
        victim = machine if world.rng.random() < 0.5 else world.rng.choice(left)
        world.timeline.after(world.rng.uniform(0.0, 1.0), lambda: again(world, victim))
    return 3.0


def again(world: World, machine: Machine) -> None:
    if not machine.removed and machine.process is not None:
        machine.wipe()
        world.timeline.after(world.rng.uniform(0.3, 1.0), machine.start)


# --- schedules ---


def within(world: World) -> None:
    """One counted machine is lost at a time, and the next one as soon as the pages allow it."""
    world.run(world.rng.uniform(1.0, 2.0))
    for _ in range(2):
        machine = leader_or_any(world)
        loss = world.rng.choice(LOSSES)
        world.note(f"{loss.__name__} {machine.identity}")
        back = loss(world, machine)
        if world.rng.random() < 0.3:
            world.run(min(back, 0.3))
            world.note("everybody loses power")
            everybody_keeps_disks(world)
            world.run(1.0)
        world.run(back)
        world.run(CATCH_UP_S - world.rng.uniform(0.0, 0.1))
        world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader")
    last_loss(world)


def last_loss(world: World) -> None:
    """One more disk, at the very moment from which it may be lost; all others may lose power with it."""
    machine = leader_or_any(world)
    together = world.rng.random() < 0.5
    world.note(f"{machine.identity} loses its disk for good" + (", all others power" if together else ""))
    if together:
        for other in world.machines.values():
            if other is not machine and not other.removed:
                other.lose_power()
                world.timeline.after(world.rng.uniform(0.2, 1.0), other.start)
    machine.remove()
    world.run(1.0)
    world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader after the last loss")


def beyond(world: World) -> None:
    """Losses overlap as they come; no more disks are lost than may be."""
    world.run(world.rng.uniform(1.0, 2.0))
    wiped = False
    for _ in range(4):
        machine = leader_or_any(world) if any(m.process for m in world.machines.values()) else None
        choices: list[Callable[[World, Machine], float]] = [kill, freeze, cut, cut_pair, fill, hand_over]
        if machine is None or world.rng.random() < 0.3:
            loss = world.rng.choice((halves, everybody_keeps_disks))
            world.note(loss.__name__)
            back = loss(world)
        else:
            choices += [] if wiped else [wipe, replace]
            chosen = world.rng.choice(choices)
            wiped |= chosen in (wipe, replace)
            world.note(f"{chosen.__name__} {machine.identity}")
            back = chosen(world, machine)
        world.run(world.rng.uniform(0.0, back))
    world.run(0.5)
    recover(world)


def retirements(world: World) -> None:
    """Machines retire one after the other while disks are lost."""
    world.run(world.rng.uniform(1.0, 2.0))
    for _ in range(2):
        machine = leader_or_any(world)
        retire_one(world, machine)
        world.run(world.rng.uniform(0.2, 3.0))
        if world.rng.random() < 0.3:
            world.note("everybody loses power")
            everybody_keeps_disks(world)
        added = world.add_machine()
        added.start()
        world.introduce()
        world.run(CATCH_UP_S + 1.5)
        world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader")
    last_loss(world)


def crossings(world: World) -> None:
    """Short troubles without loss of disks, many at once: they cross elections, transfers and answers."""
    world.run(world.rng.uniform(0.8, 1.5))
    troubles: list[Callable[[World, Machine], float]] = [kill, freeze, cut, cut_pair, cut_pair, hand_over]
    for _ in range(world.rng.randint(4, 12)):
        if any(machine.process for machine in world.machines.values()):
            machine = leader_or_any(world)
            trouble = world.rng.choice(troubles)
            world.note(f"{trouble.__name__} {machine.identity}")
            trouble(world, machine)
        world.run(world.rng.expovariate(3.0))
    recover(world)


def recover(world: World) -> None:
    """All come back; service must too, and everybody must catch up."""
    world.quiet()
    world.note("all are back")
    world.run_until(lambda: world.leader() is not None, RECOVERY_S, "a leader once all are back")
    for operator in world.operators:
        operator.resting = True
    world.run_until(world.settled, RECOVERY_S, "everybody has caught up")


def serve(world: World) -> None:
    """Orders are taken again, and read."""
    for operator in world.operators:
        operator.resting = False
    taken, reads = len(world.history.acknowledgements), world.history.reads
    world.run_until(lambda: len(world.history.acknowledgements) > taken, SERVES_S, "an order is taken")
    world.run_until(lambda: world.history.reads > reads, SERVES_S, "the configuration is read")


SCHEDULES: tuple[Callable[[World], None], ...] = (within, beyond, crossings, retirements)


def shape_of(seed: int, schedule: Callable[[World], None]) -> Shape:
    return STORAGE if schedule is retirements else SHAPES[seed % len(SHAPES)]


def play(seed: int, schedule: Callable[[World], None], disk: Callable[[], Disk] = Disk) -> World:
    """One run.

    Raises:
        Broken: says which seed, what is broken, and what happened before.
    """
    world = World(seed, shape_of(seed, schedule), disk=disk)
    try:
        schedule(world)
        serve(world)
    except Broken as error:
        trace = "; ".join(world.trace)
        raise Broken(f"{schedule.__name__} --seed {seed}: {error}. Before: {trace}") from error
    return world
