"""Schedules of faults drawn from a seed: within the guarantees of the deployment, and beyond them."""

from __future__ import annotations

from collections.abc import Callable

from tests.model.disk import Disk
from tests.model.history import InvariantViolation
from tests.model.members import Machine
from tests.model.world import SHAPES, STORAGE, Shape, World

CATCH_UP_S = 4.7  # after this time a returned or new machine counts as available, and the next may fail
LEADS_WITHIN_S = 4.0  # time to a leader after a loss that the group tolerates
RECOVERY_TIMEOUT_S = 8.0
SERVICE_TIMEOUT_S = 10.0


def choose_machine(world: World) -> Machine:
    """Choose the leader in half of the cases, since its faults matter most; else any running machine."""
    machines = [m for m in world.machines.values() if m.process is not None]
    leader = world.leader()
    return leader if leader is not None and world.rng.random() < 0.5 else world.rng.choice(machines)


# --- losses of one machine; each returns the time in seconds until the machine is available again ---


def kill(world: World, machine: Machine) -> float:
    """Kill the process or cut the power, and restart after a short or a long time."""
    if world.rng.random() < 0.5:
        machine.kill()
    else:
        machine.lose_power()
    duration_s = world.rng.choice((world.rng.uniform(0.02, 0.1), world.rng.uniform(0.3, 3.0)))
    world.timeline.after(duration_s, machine.start)
    return duration_s


def wipe(world: World, machine: Machine) -> float:
    """Lose the disk, and restart with an empty one."""
    machine.wipe()
    duration_s = world.rng.uniform(0.3, 2.0)
    world.timeline.after(duration_s, machine.start)
    return duration_s


def freeze(world: World, machine: Machine) -> float:
    """Suspend the process for some time."""
    machine.freeze()
    duration_s = world.rng.uniform(0.2, 3.0)
    world.timeline.after(duration_s, machine.resume)
    return duration_s


def cut(world: World, machine: Machine) -> float:
    """Cut one machine off from all others, in one or both directions."""
    others = {address for address in world.machines if address != machine.address}
    one_way = world.rng.random() < 0.4
    if world.rng.random() < 0.5:
        world.network.cut({machine.address}, others, one_way)
    else:
        for other in others:
            world.network.cut({other}, {machine.address}, one_way)
    duration_s = world.rng.uniform(0.3, 4.0)
    world.timeline.after(duration_s, world.network.heal)
    return duration_s


def cut_pair(world: World, machine: Machine) -> float:
    """Cut the connection between two machines; all others reach both."""
    others = [address for address in world.machines if address != machine.address]
    other = world.rng.choice(others)
    sides = [{machine.address}, {other}]
    world.rng.shuffle(sides)
    world.network.cut(sides[0], sides[1], one_way=world.rng.random() < 0.5)
    duration_s = world.rng.uniform(0.3, 3.0)
    world.timeline.after(duration_s, world.network.heal)
    return duration_s


def fill_disk(world: World, machine: Machine) -> float:
    """Let all writes to the disk fail for some time."""
    machine.disk.full = True
    duration_s = world.rng.uniform(0.5, 3.0)

    def free_space() -> None:
        machine.disk.full = False

    world.timeline.after(duration_s, free_space)
    return duration_s


def replace(world: World, machine: Machine) -> float:
    """Replace the machine by an empty one at another address."""
    replacement = world.replace(machine)
    duration_s = world.rng.uniform(0.3, 2.0)
    world.timeline.after(duration_s, replacement.start)
    return duration_s


def transfer_leadership(world: World, machine: Machine) -> float:
    """Transfer leadership as at a planned stop; a possible successor may be frozen at that time."""
    if machine.process is not None and machine.process.replica.transfer_leadership(machine.now):
        machine.process.after_step()
    freezes = world.rng.random() < 0.6
    others = [m for m in world.machines.values() if m is not machine and m.process is not None]
    duration_s = world.rng.uniform(1.0, 2.5)
    if freezes and others:
        victim = world.rng.choice(others)
        victim.freeze()
        world.timeline.after(duration_s, victim.resume)
    return duration_s


def lose_all_power(world: World) -> float:
    """All machines lose power at once and restart with their disks."""
    for machine in world.machines.values():
        if not machine.removed:
            machine.lose_power()
            world.timeline.after(world.rng.uniform(0.2, 1.0), machine.start)
    return 1.0


def lose_all_power_and_one_disk(world: World, machine: Machine) -> float:
    """All machines lose power at once, and one of them its disk."""
    lose_all_power(world)
    machine.wipe()
    return 1.0


LOSSES: list[Callable[[World, Machine], float]] = [
    kill, wipe, freeze, cut, cut_pair, fill_disk, replace, transfer_leadership, lose_all_power_and_one_disk,
]  # fmt: skip


def partition_in_halves(world: World) -> float:
    """Partition the machines into two halves."""
    addresses = [address for address, machine in world.machines.items() if not machine.removed]
    world.rng.shuffle(addresses)
    middle = len(addresses) // 2
    world.network.cut(set(addresses[:middle]), set(addresses[middle:]))
    duration_s = world.rng.uniform(0.5, 4.0)
    world.timeline.after(duration_s, world.network.heal)
    return duration_s


def retire_one(world: World, machine: Machine) -> float:
    """Retire a machine; its disk, or that of another machine, may be lost in the meantime."""
    remaining = [m for m in world.machines.values() if not m.removed]
    if len(remaining) <= world.size.min_live:
        return 0.0
    world.retire(machine)
    if world.rng.random() < 0.4:
        victim = machine if world.rng.random() < 0.5 else world.rng.choice(remaining)
        world.timeline.after(world.rng.uniform(0.0, 1.0), lambda: wipe_and_restart(world, victim))
    return 3.0


def wipe_and_restart(world: World, machine: Machine) -> None:
    """Lose the disk of a running machine, and restart it with an empty one."""
    if not machine.removed and machine.process is not None:
        machine.wipe()
        world.timeline.after(world.rng.uniform(0.3, 1.0), machine.start)


# --- schedules ---


def single_losses(world: World) -> None:
    """Lose one machine at a time, each as soon as the documented guarantees allow it."""
    world.run(world.rng.uniform(1.0, 2.0))
    for _ in range(2):
        machine = choose_machine(world)
        loss = world.rng.choice(LOSSES)
        world.note(f"{loss.__name__} {machine.identity}")
        duration_s = loss(world, machine)
        if world.rng.random() < 0.3:
            world.run(min(duration_s, 0.3))
            world.note("all machines lose power")
            lose_all_power(world)
            world.run(1.0)
        world.run(duration_s)
        world.run(CATCH_UP_S - world.rng.uniform(0.0, 0.1))
        world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader")
    lose_last_disk(world)


def lose_last_disk(world: World) -> None:
    """Lose one more disk as soon as that is tolerated; all other machines may lose power with it."""
    machine = choose_machine(world)
    together = world.rng.random() < 0.5
    world.note(
        f"{machine.identity} loses its disk permanently" + (", all others lose power" if together else "")
    )
    if together:
        for other in world.machines.values():
            if other is not machine and not other.removed:
                other.lose_power()
                world.timeline.after(world.rng.uniform(0.2, 1.0), other.start)
    machine.remove()
    world.run(1.0)
    world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader after the last loss")


def overlapping_faults(world: World) -> None:
    """Faults overlap at random; at most one disk is lost."""
    world.run(world.rng.uniform(1.0, 2.0))
    wiped = False
    for _ in range(4):
        machine = choose_machine(world) if any(m.process for m in world.machines.values()) else None
        choices: list[Callable[[World, Machine], float]] = [
            kill,
            freeze,
            cut,
            cut_pair,
            fill_disk,
            transfer_leadership,
        ]
        if machine is None or world.rng.random() < 0.3:
            loss = world.rng.choice((partition_in_halves, lose_all_power))
            world.note(loss.__name__)
            duration_s = loss(world)
        else:
            choices += [] if wiped else [wipe, replace]
            chosen = world.rng.choice(choices)
            wiped |= chosen in (wipe, replace)
            world.note(f"{chosen.__name__} {machine.identity}")
            duration_s = chosen(world, machine)
        world.run(world.rng.uniform(0.0, duration_s))
    world.run(0.5)
    recover(world)


def retirements(world: World) -> None:
    """Retire one machine after the other while disks are lost."""
    world.run(world.rng.uniform(1.0, 2.0))
    for _ in range(2):
        machine = choose_machine(world)
        retire_one(world, machine)
        world.run(world.rng.uniform(0.2, 3.0))
        if world.rng.random() < 0.3:
            world.note("all machines lose power")
            lose_all_power(world)
        added = world.add_machine()
        added.start()
        world.update_machine_lists()
        world.run(CATCH_UP_S + 1.5)
        world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader")
    lose_last_disk(world)


def concurrent_short_faults(world: World) -> None:
    """Many concurrent short faults without loss of disks, during elections, transfers and answers."""
    world.run(world.rng.uniform(0.8, 1.5))
    faults: list[Callable[[World, Machine], float]] = [
        kill,
        freeze,
        cut,
        cut_pair,
        cut_pair,
        transfer_leadership,
    ]
    for _ in range(world.rng.randint(4, 12)):
        if any(machine.process for machine in world.machines.values()):
            machine = choose_machine(world)
            fault = world.rng.choice(faults)
            world.note(f"{fault.__name__} {machine.identity}")
            fault(world, machine)
        world.run(world.rng.expovariate(3.0))
    recover(world)


def recover(world: World) -> None:
    """Restore all machines; check that a leader is elected and all replicas catch up."""
    world.restore_all()
    world.note("all machines are restored")
    world.run_until(
        lambda: world.leader() is not None, RECOVERY_TIMEOUT_S, "a leader after all machines are restored"
    )
    for operator in world.operators:
        operator.paused = True
    world.run_until(world.has_converged, RECOVERY_TIMEOUT_S, "all replicas have caught up")


def serve(world: World) -> None:
    """Check that orders are acknowledged and the configuration is read again."""
    for operator in world.operators:
        operator.paused = False
    acknowledged, reads = len(world.history.acknowledgements), world.history.reads
    world.run_until(
        lambda: len(world.history.acknowledgements) > acknowledged,
        SERVICE_TIMEOUT_S,
        "an order is acknowledged",
    )
    world.run_until(lambda: world.history.reads > reads, SERVICE_TIMEOUT_S, "the configuration is read")


SCHEDULES: tuple[Callable[[World], None], ...] = (
    single_losses,
    overlapping_faults,
    concurrent_short_faults,
    retirements,
)


def shape_of(seed: int, schedule: Callable[[World], None]) -> Shape:
    """Return the group that a schedule runs with: retirements need a storage group."""
    return STORAGE if schedule is retirements else SHAPES[seed % len(SHAPES)]


def play(seed: int, schedule: Callable[[World], None], disk: Callable[[], Disk] = Disk) -> World:
    """Play one schedule with one seed.

    Raises:
        InvariantViolation: with the seed, the violation and the events before it.
    """
    world = World(seed, shape_of(seed, schedule), disk=disk)
    try:
        schedule(world)
        serve(world)
    except InvariantViolation as error:
        trace = "; ".join(world.trace)
        raise InvariantViolation(f"{schedule.__name__} --seed {seed}: {error}. Before: {trace}") from error
    return world
