"""The history of one run as its clients observe it, and the invariants checked on it."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

from eiderhub.control.configuration import CHANGE_DIGEST_PREFIX, CURRENT_KEY, Change, generation_of
from eiderhub.control.errors import Refusal
from eiderhub.control.freshness import MAX_TABLE_AGE_S

if TYPE_CHECKING:
    from tests.model.disk import Disk
    from tests.model.members import Process

MAX_CLOCK_RATE_RATIO = 1.03  # between the clocks of two machines


class InvariantViolation(AssertionError):
    """An invariant of the model does not hold."""


class History:
    """Changes sent, acknowledged and refused, and the generations that readers and sidecars observe."""

    def __init__(self) -> None:
        self.newest_acknowledged = 0  # generation
        self.acknowledgements: dict[int, Change] = {}  # by generation
        self._acknowledgement_times: list[float] = []
        self._newest_by_time: list[int] = []  # the highest generation acknowledged by each of these times
        self._acknowledged_at: dict[bytes, float] = {}
        self._refused: dict[bytes, str] = {}
        self._sent_at: dict[bytes, float] = {}  # time of the latest send of a change
        self._served_generations: dict[str, int] = {}
        self._loaded_digests: dict[int, bytes] = {}  # of changes in primaries' loaded states, by generation
        self.reads = 0

    def record_send(self, change: Change, now: float) -> None:
        """Record a send of a change, the first one or a repeat."""
        self._sent_at[change.digest] = now

    def record_acknowledgement(self, change: Change, generation: int, now: float) -> None:
        """Record an acknowledged change, and check it against all others."""
        if change.digest in self._refused:
            raise InvariantViolation(
                f"generation {generation} was refused ({self._refused[change.digest]}), then acknowledged"
            )
        other = self.acknowledgements.setdefault(generation, change)
        if other.digest != change.digest:
            raise InvariantViolation(f"two changes were acknowledged as generation {generation}")
        if change.digest in self._acknowledged_at:
            return
        self._acknowledged_at[change.digest] = now
        for other_generation, other_change in self.acknowledgements.items():
            if other_generation != generation and other_change.base_generation == change.base_generation:
                raise InvariantViolation(
                    f"generations {other_generation} and {generation} were both acknowledged "
                    f"with base generation {change.base_generation}"
                )
        order = sorted(self.acknowledgements)
        rank = order.index(generation)
        if rank and change.base_generation < order[rank - 1]:
            raise InvariantViolation(
                f"generation {generation} with base {change.base_generation} skips {order[rank - 1]}"
            )
        if rank + 1 < len(order) and self.acknowledgements[order[rank + 1]].base_generation < generation:
            raise InvariantViolation(f"generation {order[rank + 1]} skips {generation}")
        self.newest_acknowledged = max(self.newest_acknowledged, generation)
        self._acknowledgement_times.append(now)
        self._newest_by_time.append(self.newest_acknowledged)

    def record_refusal(self, change: Change, now: float, refusal: Refusal | None) -> None:
        """Record a refused change; one acknowledged before its latest send must not be refused."""
        reason = refusal.reason if refusal is not None else ""
        acknowledged_at = self._acknowledged_at.get(change.digest)
        if acknowledged_at is not None and acknowledged_at < self._sent_at[change.digest]:
            raise InvariantViolation(f"an acknowledged change was refused when sent again: {reason}")
        if acknowledged_at is None:
            self._refused[change.digest] = reason

    def missing_changes(self, process: Process) -> list[int]:
        """Return the acknowledged or loaded generations that are missing from a primary's state."""
        if process.checked_acknowledgements == len(self._acknowledgement_times):
            return []
        disk = process.machine.disk
        missing = [
            generation
            for generation, digest in self._loaded_digests.items()
            if not self._has_change(disk, generation, digest)
        ]
        missing += [
            generation
            for generation, change in self.acknowledgements.items()
            if not self._has_change(disk, generation, change.digest)
        ]
        process.checked_acknowledgements = len(self._acknowledgement_times)
        return missing

    @staticmethod
    def _has_change(disk: Disk, generation: int, digest: bytes) -> bool:
        return disk.get(f"{CHANGE_DIGEST_PREFIX}{generation}") == digest

    def record_loaded_state(self, disk: Disk) -> None:
        """Record the newest change in the state that a new primary loaded, which readers may observe."""
        body = disk.get(CURRENT_KEY)
        if body is not None:
            generation = generation_of(body)
            self._loaded_digests.setdefault(
                generation, disk.get(f"{CHANGE_DIGEST_PREFIX}{generation}") or b""
            )

    def record_read(self, address: str, generation: int, floor: int) -> None:
        """Check that a read is not older than `floor`, the newest generation acknowledged before it."""
        self.reads += 1
        if generation < floor:
            raise InvariantViolation(
                f"{address} returned generation {generation} after {floor} was acknowledged"
            )

    def newest_acknowledged_by(self, when: float) -> int:
        """Return the highest generation acknowledged by a time."""
        index = bisect_right(self._acknowledgement_times, when)
        return self._newest_by_time[index - 1] if index else 0

    def check_reported_generation(self, node: str, generation: int, now: float) -> None:
        """Check that a generation which a node reports as current is not older than the age limit."""
        floor = self.newest_acknowledged_by(now - MAX_TABLE_AGE_S * MAX_CLOCK_RATE_RATIO)
        if generation < floor:
            raise InvariantViolation(
                f"{node} reports {generation}, but {floor} was acknowledged over {MAX_TABLE_AGE_S} s ago"
            )

    def record_served(self, sidecar: str, generation: int, now: float) -> None:
        """Check the generation that a sidecar with fresh tables serves: current, and never decreasing."""
        self.check_reported_generation(sidecar, generation, now)
        if generation < self._served_generations.get(sidecar, 0):
            raise InvariantViolation(
                f"{sidecar} went back from generation {self._served_generations[sidecar]} to {generation}"
            )
        self._served_generations[sidecar] = generation

    def record_restart(self, sidecar: str) -> None:
        """Forget the generation that a sidecar served before it restarted."""
        self._served_generations.pop(sidecar, None)
