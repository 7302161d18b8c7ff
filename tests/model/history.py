"""The history of one run, as the clients saw it, and what must hold of it."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

from eiderhub.control.configuration import CHANGE_DIGEST_PREFIX, CURRENT_KEY, Change, generation_of
from eiderhub.control.errors import Refusal
from eiderhub.control.freshness import MAX_TABLE_AGE_S

if TYPE_CHECKING:
    from tests.model.disk import Disk
    from tests.model.members import Process

CLOCK_SLACK = 1.03  # clocks run at different rates


class Broken(AssertionError):
    """Something that must hold does not."""


class History:
    def __init__(self) -> None:
        self.newest = 0  # the highest generation acknowledged
        self.acknowledgements: dict[int, Change] = {}  # by generation
        self._times: list[float] = []
        self._newest_at: list[int] = []  # the highest generation acknowledged by each of the times
        self._acknowledged_at: dict[bytes, float] = {}
        self._refused: dict[bytes, str] = {}
        self._sent_at: dict[bytes, float] = {}  # the latest send of an order
        self._rising: dict[str, int] = {}
        self._shown: dict[int, bytes] = {}  # changes that somebody was shown as the state, by generation
        self.reads = 0

    def sent(self, change: Change, now: float) -> None:
        """An order goes out, for the first time or again."""
        self._sent_at[change.digest] = now

    def acknowledged(self, change: Change, generation: int, now: float) -> None:
        if change.digest in self._refused:
            raise Broken(f"generation {generation} was refused ({self._refused[change.digest]}), then taken")
        other = self.acknowledgements.setdefault(generation, change)
        if other.digest != change.digest:
            raise Broken(f"two changes were acknowledged as generation {generation}")
        if change.digest in self._acknowledged_at:
            return
        self._acknowledged_at[change.digest] = now
        for number, each in self.acknowledgements.items():
            if number != generation and each.base_generation == change.base_generation:
                raise Broken(
                    f"generations {number} and {generation} were both taken "
                    f"on top of {change.base_generation}"
                )
        order = sorted(self.acknowledgements)
        place = order.index(generation)
        if place and change.base_generation < order[place - 1]:
            raise Broken(f"generation {generation} on {change.base_generation} skips {order[place - 1]}")
        if place + 1 < len(order) and self.acknowledgements[order[place + 1]].base_generation < generation:
            raise Broken(f"generation {order[place + 1]} skips {generation}")
        self.newest = max(self.newest, generation)
        self._times.append(now)
        self._newest_at.append(self.newest)

    def refused(self, change: Change, now: float, refusal: Refusal | None) -> None:
        why = refusal.reason if refusal is not None else ""
        acknowledged_at = self._acknowledged_at.get(change.digest)
        if acknowledged_at is not None and acknowledged_at < self._sent_at[change.digest]:
            raise Broken(f"a change that was acknowledged is refused when it is sent again: {why}")
        if acknowledged_at is None:
            self._refused[change.digest] = why

    def unseen(self, process: Process) -> list[int]:
        """Acknowledged generations that a primary's state lacks."""
        if process.seen_acknowledged == len(self._times):
            return []
        disk = process.machine.disk
        missing = [
            generation
            for generation, digest in self._shown.items()
            if not self._has(disk, generation, digest)
        ]
        missing += [
            generation
            for generation, change in self.acknowledgements.items()
            if not self._has(disk, generation, change.digest)
        ]
        process.seen_acknowledged = len(self._times)
        return missing

    @staticmethod
    def _has(disk: Disk, generation: int, digest: bytes) -> bool:
        return disk.get(f"{CHANGE_DIGEST_PREFIX}{generation}") == digest

    def shown(self, disk: Disk) -> None:
        """A replica that leads has loaded its whole state: what readers may be shown from then on."""
        body = disk.get(CURRENT_KEY)
        if body is not None:
            generation = generation_of(body)
            self._shown.setdefault(generation, disk.get(f"{CHANGE_DIGEST_PREFIX}{generation}") or b"")

    def read(self, address: str, generation: int, floor: int) -> None:
        self.reads += 1
        if generation < floor:
            raise Broken(f"{address} answers generation {generation}, {floor} was acknowledged before")

    def acknowledged_by(self, when: float) -> int:
        """The highest generation acknowledged by then."""
        place = bisect_right(self._times, when)
        return self._newest_at[place - 1] if place else 0

    def handed_out(self, who: str, generation: int, now: float) -> None:
        """A control machine vouches for a generation as current."""
        floor = self.acknowledged_by(now - MAX_TABLE_AGE_S * CLOCK_SLACK)
        if generation < floor:
            raise Broken(
                f"{who} hands out {generation}, {floor} was acknowledged over {MAX_TABLE_AGE_S} s ago"
            )

    def believed(self, who: str, generation: int, now: float) -> None:
        """A sidecar takes itself to be fresh."""
        self.handed_out(who, generation, now)
        if generation < self._rising.get(who, 0):
            raise Broken(f"{who} goes back from {self._rising[who]} to {generation}")
        self._rising[who] = generation

    def restarted(self, who: str) -> None:
        """A sidecar has begun anew, and knows nothing."""
        self._rising.pop(who, None)
