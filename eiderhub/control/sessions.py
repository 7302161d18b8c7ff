"""The session table: which processes there are, by the sessions that they keep with control nodes.

Pure. The primary merges the sessions of its own with those that other control nodes hold and report.
"""

from __future__ import annotations

from collections import Counter

from eiderhub.control.messages import NodeRecord

SILENT_S = 1.5  # a session that says nothing for so long has ended
SIDECAR = "edge"  # the role of those that are counted, not named
RESTORED = "restored"  # stands for the reporter of what another primary knew


class SessionTable:
    def __init__(self) -> None:
        self._own: dict[tuple[str, str], tuple[NodeRecord, float]] = {}  # by name and role; time heard
        self._restored_sidecars = 0
        self._reported: dict[str, tuple[list[NodeRecord], float]] = {}  # by the control node that reports

    def heard(self, now: float, node: NodeRecord) -> None:
        self._own[node.name, node.role] = (node, now)

    def report(self, now: float, reporter: str, nodes: list[NodeRecord]) -> None:
        self._reported[reporter] = (nodes, now)

    def restore(self, now: float, nodes: list[NodeRecord], sidecars: int) -> None:
        """What another primary knew: it stands until its nodes would have said something."""
        self._reported[RESTORED] = (nodes, now)
        self._restored_sidecars = sidecars

    def ended(self, node: NodeRecord) -> None:
        self._own.pop((node.name, node.role), None)

    def own(self, now: float) -> list[NodeRecord]:
        """The nodes whose sessions end here."""
        return [node for node, heard in self._own.values() if now - heard < SILENT_S]

    def named(self, now: float) -> list[NodeRecord]:
        """The control and storage nodes."""
        return [node for node in self.all(now) if node.role != SIDECAR]

    def sidecars(self, now: float) -> int:
        """How many sidecars there are."""
        count = sum(node.role == SIDECAR for node in self.all(now))
        restored_at = self._reported.get(RESTORED, ([], -SILENT_S))[1]
        return max(count, self._restored_sidecars) if now - restored_at < SILENT_S else count

    def wire_versions(self, now: float, own: NodeRecord) -> dict[str, int]:
        """How many processes speak each version, the primary's own among them."""
        known = {(n.name, n.role): n for n in [*self.all(now), own]}
        counts = Counter(node.wire_version for node in known.values())
        return {str(version): counts[version] for version in sorted(counts)}

    def all(self, now: float) -> list[NodeRecord]:
        """Every node, in one order."""
        found = {(n.name, n.role): n for n in self.own(now)}
        for nodes, heard in self._reported.values():
            if now - heard < SILENT_S:
                found.update(((n.name, n.role), n) for n in nodes)
        return [found[key] for key in sorted(found)]
