"""The session table: the running processes, known by their sessions with control nodes.

Performs no I/O. The primary merges its own sessions with those that other control nodes report.
"""

from __future__ import annotations

from collections import Counter

from eiderhub.control.messages import NodeRecord

SESSION_TIMEOUT_S = 1.5  # a session without a ping for longer has ended
SIDECAR_ROLE = "edge"  # role of sidecars, which are published as a count, not by name
RESTORED_REPORTER = "restored"  # reporter name of the nodes restored from an earlier primary


class SessionTable:
    def __init__(self) -> None:
        # By name and role, with the time when the node was last seen.
        self._local: dict[tuple[str, str], tuple[NodeRecord, float]] = {}
        self._restored_sidecars = 0
        # By reporting control node, with the time of the report.
        self._reported: dict[str, tuple[list[NodeRecord], float]] = {}

    def refresh(self, now: float, node: NodeRecord) -> None:
        self._local[node.name, node.role] = (node, now)

    def report(self, now: float, reporter: str, nodes: list[NodeRecord]) -> None:
        self._reported[reporter] = (nodes, now)

    def restore(self, now: float, nodes: list[NodeRecord], sidecars: int) -> None:
        """Restore the nodes known to an earlier primary; they expire like the report of a control node."""
        self._reported[RESTORED_REPORTER] = (nodes, now)
        self._restored_sidecars = sidecars

    def remove(self, node: NodeRecord) -> None:
        self._local.pop((node.name, node.role), None)

    def local_nodes(self, now: float) -> list[NodeRecord]:
        """The nodes that have a session with this control node."""
        return [node for node, last_seen in self._local.values() if now - last_seen < SESSION_TIMEOUT_S]

    def named_nodes(self, now: float) -> list[NodeRecord]:
        """All control and storage nodes."""
        return [node for node in self.all_nodes(now) if node.role != SIDECAR_ROLE]

    def sidecar_count(self, now: float) -> int:
        """The number of sidecars, at least the restored number until that expires."""
        count = sum(node.role == SIDECAR_ROLE for node in self.all_nodes(now))
        restored_at = self._reported.get(RESTORED_REPORTER, ([], -SESSION_TIMEOUT_S))[1]
        return max(count, self._restored_sidecars) if now - restored_at < SESSION_TIMEOUT_S else count

    def wire_versions(self, now: float, primary: NodeRecord) -> dict[str, int]:
        """The number of processes by wire version, including the primary."""
        processes = {(n.name, n.role): n for n in [*self.all_nodes(now), primary]}
        counts = Counter(node.wire_version for node in processes.values())
        return {str(version): counts[version] for version in sorted(counts)}

    def all_nodes(self, now: float) -> list[NodeRecord]:
        """All nodes, ordered by name and role."""
        by_key = {(n.name, n.role): n for n in self.local_nodes(now)}
        for nodes, last_seen in self._reported.values():
            if now - last_seen < SESSION_TIMEOUT_S:
                by_key.update(((n.name, n.role), n) for n in nodes)
        return [by_key[key] for key in sorted(by_key)]
