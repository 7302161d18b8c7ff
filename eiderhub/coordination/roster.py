"""The replicas that may form a group: which are connected, which replace another, and which must leave.

Performs no I/O. A replica is identified by `name@host:port`, generated when its disk is initialized. A
replica that lost its disk returns at the same address with a new identity.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from eiderhub.coordination.replication import Replica, Role

RECRUIT_INTERVAL_S = 1.0  # after which one more auxiliary replica is tried, if the group still lacks one


def address_of(identity: str) -> str:
    """The address at which the replica with this identity listens."""
    return identity.partition("@")[2]


def host_of(identity: str) -> str:
    """The host on which the replica with this identity runs."""
    return address_of(identity).rpartition(":")[0]


class Roster:
    """What a replica's driver knows about the other replicas."""

    def __init__(self, identity: str, zone: str) -> None:
        self.retired: frozenset[str] = frozenset()  # identities that must leave permanently
        self.retired_nodes: frozenset[str] = frozenset()  # machines that must leave permanently
        self.prefers_same_zones = False  # whether to place members in few zones rather than in many
        self.retirements_known = True  # whether the retirements above are known to be complete
        self.offers: Mapping[str, str] = {}  # auxiliary replicas that may be recruited, with their zones
        self.withdrawn: frozenset[str] = frozenset()  # auxiliary members that their machines no longer run
        self._short_since: float | None = None  # when the group began to lack auxiliary replicas
        self._without_auxiliary: set[str] = set()  # whose programs do not know auxiliary replicas
        self._identity_at: dict[str, str] = {}  # connected identities by address
        self._node_names: dict[str, str] = {}  # by identity
        self._zones = {identity: zone}

    def forget_auxiliaries(self) -> None:
        """Discard what an earlier epoch knew of auxiliary replicas, which is too old to act on."""
        self.offers, self.withdrawn, self._short_since = {}, frozenset(), None

    def add_replica(self, identity: str, name: str, zone: str, supports_auxiliary: bool = True) -> None:
        """Another replica has introduced itself; it replaces any earlier replica at its address."""
        if supports_auxiliary:
            self._without_auxiliary.discard(identity)
        else:
            self._without_auxiliary.add(identity)
        self._identity_at[address_of(identity)] = identity
        self._node_names[identity] = name
        self._zones[identity] = zone

    def remove_replica(self, identity: str) -> None:
        """The connection to a replica has ended."""
        if self._identity_at.get(address_of(identity)) == identity:
            del self._identity_at[address_of(identity)]

    def retiring(self, members: Collection[str]) -> frozenset[str]:
        """Identities that must leave permanently: those listed, and all on machines being retired."""
        identities = set(members) | set(self._identity_at.values())
        return self.retired | {i for i in identities if self._node_names.get(i, "") in self.retired_nodes}

    def update_replica(self, replica: Replica) -> None:
        """Pass a primary the replicas that may join and those that must leave."""
        if replica.role is not Role.PRIMARY:
            return
        replica.withdrawn = self.withdrawn
        replica.allows_auxiliary = self._without_auxiliary.isdisjoint(self._identity_at.values())
        retiring = self.retiring(replica.members)
        for identity in retiring:
            replica.mark_retiring(identity)
        for member in replica.members:
            if self._identity_at.get(address_of(member), member) != member:
                replica.mark_replaced(member)
        replica.join_candidates = self.join_candidates(replica, retiring)

    def join_candidates(self, replica: Replica, retiring: Collection[str]) -> list[str]:
        """Replicas that could become members, ordered by preference.

        Those in zones without a member come first, or those in zones with one if few zones are preferred.
        While the retirements may be incomplete, replicas at the address of a barred one are excluded: they
        may run on a machine that is about to be removed.
        """
        excluded_addresses = (
            set() if self.retirements_known else {address_of(identity) for identity in replica.barred}
        )
        eligible: Iterable[str] = (
            identity
            for address, identity in self._identity_at.items()
            if identity not in retiring
            and identity not in replica.members
            and address not in excluded_addresses
        )
        covered_zones = {self._zones.get(member, "") for member in replica.members - set(retiring)}
        return sorted(
            eligible, key=lambda i: ((self._zones.get(i, "") in covered_zones) != self.prefers_same_zones, i)
        )

    def recruits(self, now: float, replica: Replica) -> list[str]:
        """The auxiliary replicas to connect to, so that they can join the group of this primary.

        Those in zones with the fewest members come first. Some may be out of reach or full, so more are tried
        as time passes.
        """
        lacking = replica.auxiliary_shortage(now)
        if not lacking:
            self._short_since = None
            return []
        if self._short_since is None:
            self._short_since = now
        lacking += int((now - self._short_since) / RECRUIT_INTERVAL_S)
        members_in = Counter(self._zones.get(member, "") for member in replica.members)
        outsiders = [identity for identity in self.offers if identity not in replica.members]
        return sorted(outsiders, key=lambda i: members_in[self.offers[i]])[:lacking]
