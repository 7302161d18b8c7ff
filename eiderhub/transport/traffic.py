"""Counts the bytes that this process exchanges with peers in other zones, by kind of message.

There is one instance per process, shared by all connections, so that counts survive the end of a connection.
"""

from __future__ import annotations

from collections import Counter


class ZoneTraffic:
    """Counts payload bytes, without the overhead of TCP."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Clear the zone and all counts."""
        self.zone = ""  # of this process; empty until it is known
        self._sent: Counter[str] = Counter()
        self._received: Counter[str] = Counter()

    def is_cross_zone(self, peer_zone: str) -> bool:
        """Whether the peer is known to be in another zone."""
        return bool(self.zone and peer_zone) and peer_zone != self.zone

    def count_sent(self, kind: str, size: int) -> None:
        """Add bytes sent to another zone."""
        self._sent[kind] += size

    def count_received(self, kind: str, size: int) -> None:
        """Add bytes received from a peer in another zone that does not count what it sends."""
        self._received[kind] += size

    def metric_lines(self) -> list[str]:
        """The counters as lines of `GET /metrics`."""
        directions = (("sent", self._sent), ("received", self._received))
        return [
            f'cross_zone_bytes{{direction="{direction}",kind="{kind}"}} {size}'
            for direction, counts in directions
            for kind, size in sorted(counts.items())
        ]


TRAFFIC = ZoneTraffic()
