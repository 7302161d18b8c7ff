"""What the repair of a group takes, against the time that its deployment allows for it.

A machine that came in the place of a lost one counts `catch_up_s` after its start: by then it must belong,
with all of the state, and the lost one must have left, or the next loss would leave no majority.
"""

from __future__ import annotations

from typing import NamedTuple

from eiderhub.coordination.timing import Timing

SILENCE_SHARE = 0.32  # of the time allowed, that a member may be silent before it is replaced
LEAST_ELECTIONS_SILENT = 2.0  # a member that is silent through a whole election has not gone yet
START_S = 0.5  # from the start of a program until it answers
CONNECT_S = 0.3  # until the primary has tried it again
TICK_S = 0.05  # between looks at the members
CHANGES = 2  # one member comes, one goes
COPY_BYTES_PER_S = 80e6  # measured: 200 MB in 2.5 s, stores and link on one machine


def timing_for(catch_up_s: float) -> Timing:
    """The times of a group whose repairs must be over within so long; never slower than the usual ones."""
    usual = Timing()
    least = LEAST_ELECTIONS_SILENT * usual.election_least
    silence = max(least, min(usual.replace_after, SILENCE_SHARE * catch_up_s))
    return usual._replace(replace_after=silence)


class RepairTime(NamedTuple):
    """Seconds, from the start of the machine that comes in a lost one's place."""

    silence: float  # until the lost one is known to have gone
    arrival: float  # until the new one is connected
    changes: float  # of the group's members

    def total(self, state_bytes: float, bytes_per_s: float) -> float:
        """With so large a state to be sent."""
        return max(self.silence, self.arrival + state_bytes / bytes_per_s) + self.changes

    def largest_state(self, allowed_s: float, bytes_per_s: float) -> float:
        """Bytes of the largest state with which a repair is over in time; below 0: with none."""
        if self.silence + self.changes > allowed_s:
            return -1.0
        return (allowed_s - self.changes - self.arrival) * bytes_per_s


def repair_time(timing: Timing) -> RepairTime:
    return RepairTime(
        silence=timing.replace_after,
        arrival=START_S + CONNECT_S,
        changes=CHANGES * (TICK_S + timing.heartbeat),
    )


def copy_speed(link_mbps: float) -> float:
    """Bytes a second at which a state reaches another machine."""
    return min(COPY_BYTES_PER_S, link_mbps * 1e6 / 8) if link_mbps > 0 else COPY_BYTES_PER_S


def judge(catch_up_s: float, timing: Timing, link_mbps: float, state_bytes: int) -> tuple[bool, str]:
    """Whether a repair with the present state is over in time, and one line that says up to what state."""
    time, speed = repair_time(timing), copy_speed(link_mbps)
    largest = time.largest_state(catch_up_s, speed)
    if largest < 0:
        least = time.total(0, speed)
        return False, f"bounds.catch_up_s {catch_up_s:g} is not kept: a repair takes {least:.1f} s at least"
    if state_bytes > largest:
        taken = time.total(state_bytes, speed)
        return False, (
            f"bounds.catch_up_s {catch_up_s:g} is not kept: a repair takes {taken:.1f} s with a state of "
            f"{state_bytes / 1e6:.0f} MB, and is in time up to {largest / 1e6:.0f} MB"
        )
    return True, f"repairs keep bounds.catch_up_s {catch_up_s:g} up to a state of {largest / 1e6:.0f} MB"
