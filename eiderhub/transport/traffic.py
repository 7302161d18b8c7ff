"""Bytes that this process exchanges with peers in other zones, by kind of message.

One instance for the whole process: connections of every kind count into it, and it outlives them.
"""

from __future__ import annotations

from collections import Counter


class ZoneTraffic:
    """Counts payload bytes; what TCP adds is not seen here."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget the zone and all counts."""
        self.zone = ""  # of this process; empty: not told yet
        self._sent: Counter[str] = Counter()
        self._received: Counter[str] = Counter()

    def crosses(self, peer_zone: str) -> bool:
        """Whether a peer is known to be in another zone."""
        return bool(self.zone and peer_zone) and peer_zone != self.zone

    def sent(self, kind: str, size: int) -> None:
        """So many bytes of a message of this kind have gone to another zone."""
        self._sent[kind] += size

    def received(self, kind: str, size: int) -> None:
        """So many bytes of this kind have come from a peer that does not count them itself."""
        self._received[kind] += size

    def lines(self) -> list[str]:
        """The figures, one a line, for `GET /metrics`."""
        directions = (("sent", self._sent), ("received", self._received))
        return [
            f'cross_zone_bytes{{direction="{direction}",kind="{kind}"}} {size}'
            for direction, counts in directions
            for kind, size in sorted(counts.items())
        ]


TRAFFIC = ZoneTraffic()
