"""Estimates how long a group takes to replace a lost member, against the time that its deployment allows.

A replacement machine is expected to count as a member `catch_up_s` after its start. By then it must have
joined with the full state and the lost member must have been removed; otherwise the next loss would leave
no majority.
"""

from __future__ import annotations

from typing import NamedTuple

from eiderhub.coordination.timing import Timing

SILENCE_FRACTION = 0.32  # of the allowed time that a member may be silent before it is replaced
MIN_SILENT_ELECTIONS = 2.0  # a member may stay silent through an entire election without being lost
PROCESS_START_S = 0.5  # from the start of a process until it replies
RECONNECT_S = 0.3  # until the primary has retried the connection
MEMBERSHIP_CHECK_S = 0.05  # interval between checks of the members
MEMBERSHIP_CHANGES = 2  # one member is added, one removed
MAX_COPY_BYTES_PER_S = 80e6  # 200 MB in 2.5 s with both stores and the link on one machine


def timing_for(catch_up_s: float) -> Timing:
    """The timing of a group whose repairs must finish within `catch_up_s`; never slower than the default."""
    default = Timing()
    shortest = MIN_SILENT_ELECTIONS * default.election_timeout_min
    silence = max(shortest, min(default.replace_after, SILENCE_FRACTION * catch_up_s))
    return default._replace(replace_after=silence)


class RepairTime(NamedTuple):
    """Durations in seconds, from the start of the machine that replaces a lost one."""

    detection_s: float  # until the loss of the member is detected
    arrival_s: float  # until the replacement is connected
    changes_s: float  # to commit the membership changes

    def total_s(self, state_bytes: float, bytes_per_s: float) -> float:
        """The total repair time for a state of this size."""
        return max(self.detection_s, self.arrival_s + state_bytes / bytes_per_s) + self.changes_s

    def max_state_bytes(self, allowed_s: float, bytes_per_s: float) -> float:
        """The largest state with which a repair finishes in time; negative if no state is small enough."""
        if self.detection_s + self.changes_s > allowed_s:
            return -1.0
        return (allowed_s - self.changes_s - self.arrival_s) * bytes_per_s


def repair_time(timing: Timing) -> RepairTime:
    return RepairTime(
        detection_s=timing.replace_after,
        arrival_s=PROCESS_START_S + RECONNECT_S,
        changes_s=MEMBERSHIP_CHANGES * (MEMBERSHIP_CHECK_S + timing.heartbeat),
    )


def copy_bytes_per_s(link_mbps: float) -> float:
    """The rate at which a state is copied to another machine."""
    return min(MAX_COPY_BYTES_PER_S, link_mbps * 1e6 / 8) if link_mbps > 0 else MAX_COPY_BYTES_PER_S


def check_catch_up_bound(
    catch_up_s: float, timing: Timing, link_mbps: float, state_bytes: int
) -> tuple[bool, str]:
    """Whether a repair with the current state finishes in time, and a line with the largest such state."""
    repair, bytes_per_s = repair_time(timing), copy_bytes_per_s(link_mbps)
    max_bytes = repair.max_state_bytes(catch_up_s, bytes_per_s)
    if max_bytes < 0:
        min_s = repair.total_s(0, bytes_per_s)
        return False, f"bounds.catch_up_s {catch_up_s:g} is not kept: a repair takes {min_s:.1f} s at least"
    if state_bytes > max_bytes:
        needed_s = repair.total_s(state_bytes, bytes_per_s)
        return False, (
            f"bounds.catch_up_s {catch_up_s:g} is not kept: a repair takes {needed_s:.1f} s with a state of "
            f"{state_bytes / 1e6:.0f} MB, and is in time up to {max_bytes / 1e6:.0f} MB"
        )
    return True, f"repairs keep bounds.catch_up_s {catch_up_s:g} up to a state of {max_bytes / 1e6:.0f} MB"
