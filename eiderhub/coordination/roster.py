"""Which replicas a group can be made of: who is there, who came in whose place, who must leave.

Pure. A replica is told apart by its identity, which is made with its disk: `name@host:port`. One that lost
its disk comes back at its address under another identity.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from eiderhub.coordination.replication import Replica, Role


def address_of(identity: str) -> str:
    """Where the replica of this identity listens."""
    return identity.partition("@")[2]


class Roster:
    """What a replica's driver knows of the other replicas."""

    def __init__(self, identity: str, zone: str) -> None:
        self.retired: frozenset[str] = frozenset()  # identities that must leave for good
        self.retired_names: frozenset[str] = frozenset()  # machines that must leave for good
        self.gathers = False  # whether members are wanted in few zones; else in many
        self.informed = True  # whether the names above are known to be all
        self._present: dict[str, str] = {}  # identities by address, of those that have greeted us
        self._names: dict[str, str] = {}  # machines' names by identity
        self._zones = {identity: zone}

    def greeted(self, identity: str, name: str, zone: str) -> None:
        """Another replica is there; whoever was at its address before is gone."""
        self._present[address_of(identity)] = identity
        self._names[identity] = name
        self._zones[identity] = zone

    def lost(self, identity: str) -> None:
        """Its connection has ended."""
        if self._present.get(address_of(identity)) == identity:
            del self._present[address_of(identity)]

    def retiring(self, members: Collection[str]) -> frozenset[str]:
        """Identities that must leave for good: those named, and whatever runs on a machine that retires."""
        known = set(members) | set(self._present.values())
        return self.retired | {i for i in known if self._names.get(i, "") in self.retired_names}

    def tend(self, replica: Replica) -> None:
        """Tell a primary who wants to belong, and who must not."""
        if replica.role is not Role.PRIMARY:
            return
        retiring = self.retiring(replica.members)
        for identity in retiring:
            replica.retire(identity)
        for member in replica.members:
            if self._present.get(address_of(member), member) != member:
                replica.expel(member)
        replica.candidates = self.candidates(replica, retiring)

    def candidates(self, replica: Replica, retiring: Collection[str]) -> list[str]:
        """Those that could become members; from zones that have no member first, or that have some.

        Danger: what came in the place of a barred replica may be on a machine that is about to be taken away.
        """
        closed = set() if self.informed else {address_of(identity) for identity in replica.barred}
        wanting: Iterable[str] = (
            identity
            for address, identity in self._present.items()
            if identity not in retiring and identity not in replica.members and address not in closed
        )
        covered = {self._zones.get(member, "") for member in replica.members - set(retiring)}
        return sorted(wanting, key=lambda i: ((self._zones.get(i, "") in covered) != self.gathers, i))
