"""Schedules that bring about what the operators keep meeting, by name.

Each takes a world that has just begun.
"""

from __future__ import annotations

import random

from eiderhub.coordination.replication import Role
from tests.model.actors import Sidecar
from tests.model.history import Broken
from tests.model.members import Machine
from tests.model.schedules import CATCH_UP_S, LEADS_WITHIN_S, recover, serve
from tests.model.world import World

CUT_S = 20.0
CONFIRMATIONS = 4
TOLD_WITHIN_S = 4.0  # a confirmed change, to every sidecar, though the primary that confirmed it is lost


def _leader(world: World) -> Machine:
    world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader")
    leader = world.leader()
    assert leader is not None
    return leader


def _backup(world: World) -> Machine:
    leader = _leader(world)
    return next(m for m in world.machines.values() if m.process is not None and m is not leader)


def cut_off_for_twenty_seconds(world: World) -> None:
    """The primary loses the others, while operators, readers and sidecars reach all machines."""
    world.run(2.0)
    leader = _leader(world)
    world.network.cut({leader.address}, set(world.machines) - {leader.address})
    world.run(CUT_S)
    serve(world)  # the others go on
    recover(world)
    serve(world)


def frozen_successor(world: World) -> None:
    """The primary hands over to a machine that is frozen; that one wakes with the word to lead.

    By then the primary has gone on, and the two can't reach each other at once.
    """
    world.run(2.0)
    for _ in range(6):
        leader = _leader(world)
        assert leader.process is not None
        others = [m for m in world.machines.values() if m is not leader and m.process is not None]
        for other in others:
            other.freeze()
        leader.process.replica.transfer_leadership(leader.now)
        leader.process.after_step()
        for other in others[1:]:
            world.timeline.after(0.05, other.wake)
        world.timeline.after(world.timing.transfer_timeout + world.rng.uniform(0.05, 0.5), others[0].wake)
        world.run(0.5)
        world.network.cut({others[0].address}, {leader.address})
        world.run(3.5)
        world.network.heal()
        world.run(1.0)
    recover(world)


def woken_backup(world: World) -> None:
    """A backup wakes with answers in its buffers; a sidecar that has just started asks it first."""
    world.run(2.0)
    for _ in range(8):
        backup = _backup(world)
        backup.freeze()
        world.run(1.6 + world.rng.uniform(0.0, 1.0))
        for sidecar in world.sidecars:
            _start_at(sidecar, backup)
        backup.wake()
        world.run(1.0)


def _start_at(sidecar: Sidecar, machine: Machine) -> None:
    everybody, sidecar.machines = sidecar.machines, [machine]
    sidecar.restart()
    sidecar.look_for_a_session()
    sidecar.machines = everybody


def races_with_lost_answers(world: World) -> None:
    """Two operators choose the same numbers; most answers are lost, primaries change, old orders return."""
    for operator in world.operators:
        operator.patience = 0.1
    world.run(1.0)
    for _ in range(5):
        leader = _leader(world)
        world.network.cut({leader.address}, set(world.machines) - {leader.address})
        world.run(world.rng.uniform(0.1, 0.6))
        leader.kill()
        world.network.heal()
        world.timeline.after(0.3, leader.start)
        world.run(3.0)
    recover(world)
    serve(world)


def restarted_witnesses(world: World) -> None:
    """The primary is cut off, and all others are started again within its lease."""
    world.run(2.0)
    for _ in range(6):
        leader = _leader(world)
        others = [m for m in world.machines.values() if m is not leader]
        world.network.cut({leader.address}, {m.address for m in others})
        world.run(world.rng.uniform(0.0, 0.05))
        for other in others:
            other.kill()
            world.timeline.after(world.rng.uniform(0.005, 0.05), other.start)
        world.run(1.0)
        world.network.heal()
        world.run(2.0)
    recover(world)


def restarted_between(world: World) -> None:
    """The primary and one backup lose each other; the machine between them is started again, many times."""
    world.run(2.0)
    for _ in range(8):
        leader = _leader(world)
        others = [m for m in world.machines.values() if m is not leader and m.process is not None]
        apart, between = others[0], others[1]
        world.network.cut({leader.address}, {apart.address})
        world.run(world.rng.uniform(0.6, 1.6))
        world.network.cut({leader.address}, {between.address})
        between.kill()
        world.timeline.after(world.rng.uniform(0.005, 0.03), between.start)
        world.run(0.5)
        world.network.heal()
        world.run(2.0)
    recover(world)


def late_answers(world: World) -> None:
    """The primary is cut off until the others have elected; then answers that a backup had sent it come in.

    The one that was elected stays out of its reach for some time more.
    """
    world.run(2.0)
    for _ in range(8):
        before = _leader(world)
        others = {machine.address for machine in world.machines.values()} - {before.address}
        world.network.cut({before.address}, others)
        world.run(world.rng.uniform(0.6, 1.2))
        world.network.heal()
        world.network.cut({before.address}, {m.address for m in world.machines.values() if _leads(m)})
        world.run(0.5)
        world.network.heal()
        world.run(2.0)
    recover(world)


def _leads(machine: Machine) -> bool:
    return machine.process is not None and machine.process.replica.role is Role.PRIMARY


def loss_right_after_replacement(world: World) -> None:
    """A machine is replaced, and the next one is lost as soon as the new one counts."""
    world.run(2.0)
    made = world.replace(_leader(world))
    world.run(1.0)
    made.start()
    world.run(CATCH_UP_S)
    world.replace(_leader(world))
    world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader after the second loss")
    serve(world)


def loss_right_after_repair(world: World) -> None:
    """A machine comes back with an empty disk, and the next disk is lost with the power of all others."""
    world.run(2.0)
    backup = _backup(world)
    backup.wipe()
    world.run(0.5)
    backup.start()
    world.run(CATCH_UP_S)
    victim = next(m for m in world.machines.values() if m is not backup)
    for machine in world.machines.values():
        machine.lose_power()
    victim.remove()
    for machine in world.machines.values():
        machine.start()
    world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader after the second loss")
    serve(world)


def retiring_machine_loses_its_disk(world: World) -> None:
    """A machine that retires comes back with an empty disk; it is taken away, and another disk is lost."""
    world.run(2.0)
    machine = _backup(world)
    world.retire(machine)
    world.run(world.rng.uniform(0.0, 0.6))
    if not machine.removed:
        machine.wipe()
        world.timeline.after(0.3, machine.start)
    world.run_until(lambda: machine.removed, CATCH_UP_S + LEADS_WITHIN_S, "the machine is empty")
    _lose_a_disk_and_all_power(world)
    world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader after the loss")
    serve(world)


def _lose_a_disk_and_all_power(world: World) -> None:
    """What is taken away at the end of a retirement is no loss: the next one may come at once."""
    victim = _leader(world)
    for machine in world.machines.values():
        machine.lose_power()
    victim.remove()
    for machine in world.machines.values():
        machine.start()


def restarted_after_many_changes(world: World) -> None:
    """A backup misses many changes, and is killed again and again while it catches up; then it must lead."""
    for _ in range(4):
        world.run(1.0)
        backup = _backup(world)
        backup.kill()
        world.run(4.0)
        backup.start()
        for _ in range(3):
            world.run(world.rng.uniform(0.15, 0.3))
            backup.kill()
            backup.start()
        world.run_until(world.settled, LEADS_WITHIN_S, "the restarted machine has caught up")
    recover(world)
    serve(world)


def two_join_while_cut(world: World) -> None:
    """Two machines join as the primary loses the two members that it has."""
    world.run(2.0)
    leader = _leader(world)
    founders = set(world.machines)
    joining = [world.add_machine(), world.add_machine()]
    world.introduce()
    for machine in joining:
        machine.start()
    world.run(world.rng.uniform(0.1, 0.35))
    world.network.cut(founders - {leader.address}, {leader.address, *(m.address for m in joining)})
    world.run(4.0)
    recover(world)
    serve(world)


def disk_lost_while_another_is_down(world: World) -> None:
    """One machine is down for some seconds with its disk; meanwhile another one loses its own."""
    world.run(2.0)
    down = _backup(world)
    down.kill()
    world.run(3.0)
    wiped = next(m for m in world.machines.values() if m is not down)
    wiped.wipe()
    world.run(0.5)
    recover(world)
    serve(world)


def learner_with_full_disk(world: World) -> None:
    """A machine is replaced by one whose disk is full."""
    world.run(2.0)
    made = world.replace(_backup(world))
    made.disk.full = True
    made.start()
    world.run(4.0)
    world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader without the full disk")
    serve(world)


def empty_disk_votes(world: World) -> None:
    """One backup misses changes, the other one loses its disk, the primary its power."""
    world.run(2.0)
    leader = _leader(world)
    behind, wiped = (m for m in world.machines.values() if m is not leader)
    world.network.cut({behind.address}, set(world.machines) - {behind.address})
    world.run(2.0)
    leader.lose_power()
    wiped.wipe()
    wiped.start()
    world.network.heal()
    world.run(2.0)
    leader.start()
    recover(world)
    serve(world)


def _next_change(world: World) -> None:
    """Let time pass until another change has been acknowledged."""
    newest = world.history.newest
    world.run_until(lambda: world.history.newest > newest, LEADS_WITHIN_S, "a change")


def confirmed_and_lost(world: World, sidecars: int = 30) -> float:
    """Again and again the primary loses its power right after a change was acknowledged.

    Returns the longest time until every sidecar had such a change, the sidecars that it had served included.
    """
    for number in range(sidecars - len(world.sidecars)):
        made = Sidecar(world.network, random.Random(world.rng.random()), f"t{number}", world.history)
        world.sidecars.append(made)
    world.introduce()
    longest = 0.0
    for _ in range(CONFIRMATIONS):
        leader = _leader(world)
        _next_change(world)
        leader.lose_power()
        lost_at, wanted = world.timeline.now, world.history.newest
        while min(s.tables.configuration.generation for s in world.sidecars) < wanted:
            if world.timeline.now - lost_at > TOLD_WITHIN_S:
                raise Broken(f"change {wanted} is not told {TOLD_WITHIN_S:g} s after its primary was lost")
            world.timeline.run_until(world.timeline.now + 0.02)
        longest = max(longest, world.timeline.now - lost_at)
        leader.start()
        world.run(CATCH_UP_S)
    recover(world)
    return longest
