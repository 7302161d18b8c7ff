"""Named schedules that reproduce the failures that operators have reported.

Each takes a world at time zero.
"""

from __future__ import annotations

import random

from eiderhub.coordination.replication import Role
from tests.model.actors import Sidecar
from tests.model.history import InvariantViolation
from tests.model.members import Machine
from tests.model.schedules import CATCH_UP_S, LEADS_WITHIN_S, recover, serve
from tests.model.world import World

CUT_DURATION_S = 20.0
CONFIRMATIONS = 4
DELIVERY_BOUND_S = 4.0  # an acknowledged change reaches every sidecar, also if its primary is lost


def _leader(world: World) -> Machine:
    world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader")
    leader = world.leader()
    assert leader is not None
    return leader


def _backup(world: World) -> Machine:
    leader = _leader(world)
    return next(m for m in world.machines.values() if m.process is not None and m is not leader)


def cut_off_for_twenty_seconds(world: World) -> None:
    """The primary is cut off from the others, while operators, readers and sidecars reach all machines."""
    world.run(2.0)
    leader = _leader(world)
    world.network.cut({leader.address}, set(world.machines) - {leader.address})
    world.run(CUT_DURATION_S)
    serve(world)  # the others have elected a new primary
    recover(world)
    serve(world)


def frozen_successor(world: World) -> None:
    """The primary transfers leadership to a frozen machine, which reads the message only when it resumes.

    By then the primary has abandoned the transfer, and the two cannot reach each other for some seconds.
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
            world.timeline.after(0.05, other.resume)
        world.timeline.after(world.timing.transfer_timeout + world.rng.uniform(0.05, 0.5), others[0].resume)
        world.run(0.5)
        world.network.cut({others[0].address}, {leader.address})
        world.run(3.5)
        world.network.heal()
        world.run(1.0)
    recover(world)


def woken_backup(world: World) -> None:
    """A backup resumes with old answers in its buffer; a sidecar that has just started uses it first."""
    world.run(2.0)
    for _ in range(8):
        backup = _backup(world)
        backup.freeze()
        world.run(1.6 + world.rng.uniform(0.0, 1.0))
        for sidecar in world.sidecars:
            _restart_at(sidecar, backup)
        backup.resume()
        world.run(1.0)


def _restart_at(sidecar: Sidecar, machine: Machine) -> None:
    all_machines, sidecar.machines = sidecar.machines, [machine]
    sidecar.restart()
    sidecar.ping_control()
    sidecar.machines = all_machines


def races_with_lost_answers(world: World) -> None:
    """Two operators use the same generations; answers are lost, primaries change, old orders are repeated."""
    for operator in world.operators:
        operator.answer_timeout_s = 0.1
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
    """The primary is cut off, and all others restart within its lease."""
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
    """The primary and one backup cannot reach each other; the machine that both reach restarts repeatedly."""
    world.run(2.0)
    for _ in range(8):
        leader = _leader(world)
        others = [m for m in world.machines.values() if m is not leader and m.process is not None]
        unreachable, between = others[0], others[1]
        world.network.cut({leader.address}, {unreachable.address})
        world.run(world.rng.uniform(0.6, 1.6))
        world.network.cut({leader.address}, {between.address})
        between.kill()
        world.timeline.after(world.rng.uniform(0.005, 0.03), between.start)
        world.run(0.5)
        world.network.heal()
        world.run(2.0)
    recover(world)


def late_answers(world: World) -> None:
    """The primary is cut off until the others have elected; then delayed answers of a backup reach it.

    The new primary stays unreachable from the old one for some time more.
    """
    world.run(2.0)
    for _ in range(8):
        before = _leader(world)
        others = {machine.address for machine in world.machines.values()} - {before.address}
        world.network.cut({before.address}, others)
        world.run(world.rng.uniform(0.6, 1.2))
        world.network.heal()
        world.network.cut({before.address}, {m.address for m in world.machines.values() if _is_primary(m)})
        world.run(0.5)
        world.network.heal()
        world.run(2.0)
    recover(world)


def _is_primary(machine: Machine) -> bool:
    return machine.process is not None and machine.process.replica.role is Role.PRIMARY


def loss_right_after_replacement(world: World) -> None:
    """A machine is replaced, and the next one is lost as soon as the new one counts as available."""
    world.run(2.0)
    replacement = world.replace(_leader(world))
    world.run(1.0)
    replacement.start()
    world.run(CATCH_UP_S)
    world.replace(_leader(world))
    world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader after the second loss")
    serve(world)


def loss_right_after_repair(world: World) -> None:
    """A machine restarts with an empty disk; then another disk is lost while all machines lose power."""
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


def disks_lost_in_turn(world: World) -> None:
    """Machines lose their disks one at a time, each after the one before counts as available again."""
    world.run(2.0)
    for _ in range(5):
        lost = _leader(world) if world.rng.random() < 0.7 else _backup(world)
        lost.wipe()
        world.run(world.rng.uniform(0.3, 3.0))
        lost.start()
        world.run(CATCH_UP_S)
        _leader(world)
    serve(world)


def retiring_machine_loses_its_disk(world: World) -> None:
    """A retiring machine restarts with an empty disk; it is removed, and another disk is lost."""
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
    """Lose the leader's disk and all power: a retired machine is no loss, so a loss may follow at once."""
    victim = _leader(world)
    for machine in world.machines.values():
        machine.lose_power()
    victim.remove()
    for machine in world.machines.values():
        machine.start()


def restarted_after_many_changes(world: World) -> None:
    """A backup misses many changes, and is killed several times while it catches up."""
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
        world.run_until(world.has_converged, LEADS_WITHIN_S, "the restarted machine has caught up")
    recover(world)
    serve(world)


def two_join_while_cut(world: World) -> None:
    """Two machines join while the primary is cut off from the other two members."""
    world.run(2.0)
    leader = _leader(world)
    founders = set(world.machines)
    joining = [world.add_machine(), world.add_machine()]
    world.update_machine_lists()
    for machine in joining:
        machine.start()
    world.run(world.rng.uniform(0.1, 0.35))
    world.network.cut(founders - {leader.address}, {leader.address, *(m.address for m in joining)})
    world.run(4.0)
    recover(world)
    serve(world)


def disk_lost_while_another_is_down(world: World) -> None:
    """One machine is down for some seconds and retains its disk; in that time another one loses its disk."""
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
    """A machine is replaced by one with a full disk."""
    world.run(2.0)
    replacement = world.replace(_backup(world))
    replacement.disk.full = True
    replacement.start()
    world.run(4.0)
    world.run_until(lambda: world.leader() is not None, LEADS_WITHIN_S, "a leader without the full disk")
    serve(world)


def empty_disk_votes(world: World) -> None:
    """One backup misses changes, the other one loses its disk, and the primary loses power."""
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


def _wait_for_change(world: World) -> None:
    """Advance time until another change is acknowledged."""
    newest = world.history.newest_acknowledged
    world.run_until(lambda: world.history.newest_acknowledged > newest, LEADS_WITHIN_S, "a change")


def confirmed_and_lost(world: World, sidecars: int = 30) -> float:
    """The primary loses power several times, each time right after it acknowledged a change.

    Returns the longest time in seconds until every sidecar had such a change, those that had a session with
    the lost primary included.
    """
    for number in range(sidecars - len(world.sidecars)):
        sidecar = Sidecar(world.network, random.Random(world.rng.random()), f"t{number}", world.history)
        world.sidecars.append(sidecar)
    world.update_machine_lists()
    longest = 0.0
    for _ in range(CONFIRMATIONS):
        leader = _leader(world)
        _wait_for_change(world)
        leader.lose_power()
        lost_at, wanted = world.timeline.now, world.history.newest_acknowledged
        while min(s.tables.configuration.generation for s in world.sidecars) < wanted:
            if world.timeline.now - lost_at > DELIVERY_BOUND_S:
                raise InvariantViolation(
                    f"change {wanted} is not at all sidecars {DELIVERY_BOUND_S:g} s after the primary's loss"
                )
            world.timeline.run_until(world.timeline.now + 0.02)
        longest = max(longest, world.timeline.now - lost_at)
        leader.start()
        world.run(CATCH_UP_S)
    recover(world)
    return longest
