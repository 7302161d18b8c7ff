"""State machine of the list service: records, versions, history and leases. No I/O and no clock of its own.

A write is first decided, and applied once its change is durable. Changes are applied in decision order:

    decision = core.put(now_us, record)      # the state is unchanged
    ...                                      # the change is appended to the log and synced
    core.apply(now_us, decision.change)      # readers see it; watches can be answered

Times are microseconds of a monotonic clock with any origin. `docs/registry-design.md` lists the invariants.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

from eiderhub.interface import Readiness
from eiderhub.registry.records import (
    Branch,
    Change,
    Entry,
    Forgotten,
    Gone,
    Group,
    Image,
    Key,
    Opened,
    Order,
    Ordered,
    OrderOver,
    Put,
    Record,
    RemovalReason,
    Tombstone,
    zone_key,
)
from eiderhub.registry.zone_orders import ZoneOrders

US_PER_S = 1_000_000
SILENT_LEASE_FRACTION = 0.5  # of a lease without renewal; owners renew after each third of it
# More silent leases than this share of a zone's leases, or of all, have a common cause such as a partition.
MASS_EXPIRY_FRACTION = 0.2
MASS_EXPIRY_MIN_COUNT = 3  # fewer silent leases are never a mass expiry
# After a longer gap between two ticks the process was suspended, and no owner could renew.
MAX_TICK_GAP_US = 1 * US_PER_S
# If a larger share of all leases is silent, this service itself is isolated and expires nothing.
ISOLATION_FRACTION = 0.75
MAX_ISOLATION_US = 600 * US_PER_S  # after this long, leases expire in spite of it
MAX_REGISTRATIONS = 6  # of one id within the window
REGISTRATION_WINDOW_US = 60 * US_PER_S
MAX_HISTORY_CHANGES = 4096  # changes kept for watches and followers
MAX_TOMBSTONES = 4096
# After a loss of versions, processes get at least this long to register again before versions skip the loss.
MIN_CATCH_UP_DELAY_US = 10 * US_PER_S
MAX_VERSION_GAP = 1 << 32  # a client's claim of a higher version is ignored
TOMBSTONE_RETENTION_US = 3600 * US_PER_S  # a removed process can't register for at least this long


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a call was rejected: an HTTP status and a message."""

    status: int
    reason: str
    retry_us: int = 0
    version: int = 0  # current version of the record


@dataclass(frozen=True, slots=True)
class Decision:
    """Result of a write: a change to make durable and to apply, a refusal, or neither if nothing changes."""

    change: Change | None = None
    refusal: Refusal | None = None
    version: int = 0  # of the record after the write


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """Items of a group for a client: those that changed since its version, or all records."""

    version: int
    is_full: bool
    items: tuple[Record | Tombstone, ...]


@dataclass(slots=True)
class _Lease:
    duration_us: int
    renewed_us: int
    extended_until_us: int = 0  # set if a mass expiry was delayed: no expiry before this

    @property
    def expires_us(self) -> int:
        return max(self.renewed_us + self.duration_us, self.extended_until_us)


@dataclass(frozen=True, slots=True)
class LogEvent:
    """An event for the log of the process, such as a lease that expired or why it did not."""

    event: str
    fields: dict[str, str | int | float]


class Core:
    """State of one list service. `rng` generates its identity and the names of new branches."""

    def __init__(
        self,
        rng: random.Random,
        max_history: int = MAX_HISTORY_CHANGES,
        max_records: int = 100_000,
        unix_offset_us: int = 0,
    ) -> None:
        self._rng = rng
        self._max_history = max_history
        self.max_records = max_records
        self.identity = f"{rng.getrandbits(64):016x}"
        self.version = 0
        self.lineage: list[Branch] = []
        self.records: dict[Key, Record] = {}
        self.tombstones: dict[Key, Tombstone] = {}  # oldest first
        self.pending: dict[Key, int] = {}  # version of the change that is decided but not yet applied
        self.groups: dict[Group, dict[Key, Record]] = {}
        self._decided_version = 0  # the last version assigned
        self._history: deque[Change] = deque()
        self._group_versions: dict[Group, int] = {}
        self.orders = ZoneOrders(unix_offset_us)
        self.regions: dict[str, dict[str, str]] = {}  # by service, then zone
        self._history_start = 0  # the history holds every change after this version
        self._leases: dict[Key, _Lease] = {}
        self._registration_times: dict[Key, deque[int]] = {}  # recent ones of each id
        self._tombstone_times: deque[tuple[int, int]] = deque()  # (time, version) of each tombstone
        self._last_tick_us: int | None = None
        self._opened_us = 0
        self._isolated_since_us: int | None = None  # since when too few owners renew
        self.ready_count = 0  # number of ready records
        self._lost_version = 0  # highest version that a client has and the store lost

    # --- restoring from a store or from the main service; branches ---

    def restore(self, now_us: int, image: Image) -> None:
        """Replace all state by an image. Every lease starts again with its full duration."""
        self.identity, self.version = image.identity, image.version
        self._decided_version = self._history_start = image.version
        self.lineage = list(image.lineage)
        self.records = {record.key: record for record in image.records}
        self.tombstones = {tombstone.key: tombstone for tombstone in image.tombstones}
        self.ready_count = sum(map(is_ready, image.records))
        self.groups = {}
        self.regions = {}
        for key, record in self.records.items():
            self.groups.setdefault(key.group, {})[key] = record
            self._update_region(record)
        self.orders.restore(now_us, image.orders)
        self.pending.clear()
        self._history.clear()
        self._group_versions = {}
        versioned_items: list[Record | Tombstone] = [*image.records, *image.tombstones]
        for order in image.orders:
            self._group_versions[order.key.group] = max(
                order.version, self._group_versions.get(order.key.group, 0)
            )
        for item in versioned_items:
            self._group_versions[item.key.group] = max(
                item.version, self._group_versions.get(item.key.group, 0)
            )
        self._tombstone_times = deque((now_us, tombstone.version) for tombstone in image.tombstones)
        self._leases = {}
        for key, record in self.records.items():
            if record.lease_ms is not None:
                self._leases[key] = _Lease(record.lease_ms * 1000, now_us)

    def image(self) -> Image:
        return Image(
            identity=self.identity,
            version=self.version,
            lineage=list(self.lineage),
            records=list(self.records.values()),
            tombstones=list(self.tombstones.values()),
            orders=self.orders.all(),
        )

    def open_branch(self, now_us: int) -> Change:
        """Start a branch: later versions belong to this opening of the store."""
        self._opened_us = now_us
        self._decided_version += 1
        name = f"{self._rng.getrandbits(48):012x}"
        return Opened(version=self._decided_version, branch=Branch(name=name, after=self.version))

    @property
    def branch(self) -> str:
        return self.lineage[-1].name if self.lineage else ""

    def contains_version(self, branch: str, version: int) -> bool:
        """Whether this version of this branch is part of our history."""
        for candidate, next_branch in zip(self.lineage, [*self.lineage[1:], None], strict=True):
            if candidate.name == branch:
                return (
                    candidate.after <= version <= (self.version if next_branch is None else next_branch.after)
                )
        return False

    def report_lost_version(self, identity: str, version: int) -> None:
        """A client has a version of this service that we do not have: the store lost it."""
        if identity == self.identity and version < self.version + MAX_VERSION_GAP:
            self._lost_version = max(self._lost_version, version)

    def _skip_lost_versions(self, now_us: int) -> list[Change]:
        """Skip the versions that the store has lost, once live processes have had time to register again.

        Clients never adopt an older version, so until then they keep the lists that they have.
        """
        longest_lease_us = max((lease.duration_us for lease in self._leases.values()), default=0)
        if self._lost_version <= self._decided_version or now_us - self._opened_us < max(
            longest_lease_us, MIN_CATCH_UP_DELAY_US
        ):
            return []
        self._decided_version = self._lost_version + 1
        name = f"{self._rng.getrandbits(48):012x}"
        return [Opened(version=self._decided_version, branch=Branch(name=name, after=self._lost_version))]

    # --- writes ---

    def put(self, now_us: int, record: Record, if_version: int | None = None) -> Decision:
        """Register a process, or change its record."""
        key, entry = record.key, record.entry
        if entry.lifecycle is Readiness.GONE:
            return _refuse(400, "entry.lifecycle: gone is told by a removal")
        if record.lease_ms is not None and not record.owner:
            return _refuse(400, "owner: a lease needs one")
        current = self.records.get(key)
        refusal = self._check_version(key, if_version) or self._check_region(record)
        if refusal is None and current is not None:
            refusal = self._check_takeover(current, record)
        elif refusal is None:
            refusal = self._check_tombstone(key, record)
        if refusal is None and current is None:
            if len(self.records) + len(self.pending) >= self.max_records:
                refusal = Refusal(503, f"the limit of {self.max_records} records is reached", US_PER_S)
            else:
                refusal = self._limit_registrations(now_us, key)
        if refusal is not None:
            return Decision(refusal=refusal)
        previous = current or self.tombstones.get(key)
        if previous is not None and previous.drained and previous.owner == record.owner:
            entry = msgspec.structs.replace(entry, lifecycle=Readiness.DRAINING)
            record = msgspec.structs.replace(record, entry=entry, drained=True)
        else:
            record = msgspec.structs.replace(record, drained=False)
        if current is not None and msgspec.structs.replace(record, version=current.version) == current:
            self._extend_lease(now_us, key)
            return Decision(version=current.version)
        version = self._next_version(key)
        return Decision(
            Put(version=version, record=msgspec.structs.replace(record, version=version)), version=version
        )

    def drain(
        self, now_us: int, key: Key, owner: str | None, if_version: int | None = None, undo: bool = False
    ) -> Decision:
        """Mark a record as draining, or with `undo` as ready again.

        Without an owner the call is an operator's, and the owner can't undo it.
        """
        current = self.records.get(key)
        refusal = self._check_version(key, if_version) or self._check_owner(key, current, owner)
        if refusal is not None or current is None:
            return Decision(refusal=refusal)
        if owner is not None and current.drained:
            return Decision(version=current.version)
        lifecycle = Readiness.READY if undo else Readiness.DRAINING
        entry = msgspec.structs.replace(current.entry, lifecycle=lifecycle)
        record = msgspec.structs.replace(current, entry=entry, drained=owner is None and not undo)
        if record == current:
            return Decision(version=current.version)
        version = self._next_version(key)
        return Decision(
            Put(version=version, record=msgspec.structs.replace(record, version=version)), version=version
        )

    def remove(self, now_us: int, key: Key, owner: str | None, if_version: int | None = None) -> Decision:
        """Remove a record for good: that process can't register again.

        Without an owner the call is an operator's.
        """
        current = self.records.get(key)
        refusal = self._check_version(key, if_version) or self._check_owner(key, current, owner)
        if refusal is not None:
            tombstone = self.tombstones.get(key)
            if (
                tombstone is not None
                and current is None
                and owner in (None, tombstone.owner)
                and if_version is None
            ):
                return Decision(version=tombstone.version)  # already removed
            return Decision(refusal=refusal)
        return self._decide_removal(key, RemovalReason.REMOVED)

    def _decide_removal(self, key: Key, reason: RemovalReason) -> Decision:
        version = self._next_version(key)
        return Decision(
            Gone(version=version, service=key.service, tier=key.tier, id=key.id, why=reason), version=version
        )

    def _next_version(self, key: Key) -> int:
        self._decided_version += 1
        self.pending[key] = self._decided_version
        return self._decided_version

    def _check_version(self, key: Key, if_version: int | None) -> Refusal | None:
        current = self.records.get(key)
        version = current.version if current is not None else 0
        if if_version is None or if_version == version:
            return None
        return Refusal(409, f"the record is at version {version}, not {if_version}", version=version)

    def _check_owner(self, key: Key, current: Record | None, owner: str | None) -> Refusal | None:
        if current is None:
            tombstone = self.tombstones.get(key)
            if tombstone is None:
                return Refusal(404, "no such record")
            return Refusal(
                410 if tombstone.why is RemovalReason.REMOVED else 404,
                f"the record has been {tombstone.why.value}",
            )
        if owner is not None and owner != current.owner:
            return Refusal(409, "the record belongs to another process", version=current.version)
        return None

    def _check_takeover(self, current: Record, record: Record) -> Refusal | None:
        """An id passes to a process that started later, or at the same time if the record has no lease."""
        if record.owner == current.owner:
            return None
        start_difference_ms = record.entry.started_at_ms - current.entry.started_at_ms
        if start_difference_ms > 0 or (current.lease_ms is None and start_difference_ms == 0):
            return None
        relation = (
            "started later" if start_difference_ms < 0 else "started at the same time and holds the record"
        )
        return Refusal(409, f"another process with this id {relation}", version=current.version)

    def _check_tombstone(self, key: Key, record: Record) -> Refusal | None:
        tombstone = self.tombstones.get(key)
        if tombstone is None:
            return None
        start_ms = record.entry.started_at_ms
        if record.owner and record.owner == tombstone.owner:
            if tombstone.why is RemovalReason.EXPIRED or start_ms > tombstone.entry.started_at_ms:
                return None
            return Refusal(410, "this process has been removed")
        if start_ms and start_ms < tombstone.entry.started_at_ms:
            return Refusal(410, "a process with this id and a later start has been registered")
        return None

    def _limit_registrations(self, now_us: int, key: Key) -> Refusal | None:
        """Bounds the load that a flapping record puts on all clients of the list."""
        registration_times = self._registration_times.setdefault(key, deque())
        while registration_times and registration_times[0] <= now_us - REGISTRATION_WINDOW_US:
            registration_times.popleft()
        if len(registration_times) >= MAX_REGISTRATIONS:
            retry_us = registration_times[0] + REGISTRATION_WINDOW_US - now_us
            return Refusal(
                429,
                f"registered {MAX_REGISTRATIONS} times within {REGISTRATION_WINDOW_US // US_PER_S} s",
                retry_us,
            )
        registration_times.append(now_us)
        return None

    def _check_region(self, record: Record) -> Refusal | None:
        """A zone is in one region; it can change once no other record names the old region."""
        zone, region = record.entry.zone, record.region
        current_region = self.regions.get(record.service, {}).get(zone, region)
        if not region or current_region == region:
            return None
        others = (r for r in self.records.values() if r.entry.zone == zone and r.key != record.key)
        if any(r.service == record.service and r.region == current_region for r in others):
            return Refusal(409, f"region: zone {zone} is in region {current_region}")
        return None

    # --- operators' zone orders ---

    def set_order(self, now_us: int, order: Order, force: bool = False) -> Decision:
        """Limit a zone to a share of its calls for a time. `force`: even if a tier is left unserved."""
        zones = {r.entry.zone for r in self.records.values() if r.service == order.service}
        if order.zone not in zones:
            zone_list = ", ".join(sorted(zones)) or "none"
            return _refuse(
                404, f"no record of service {order.service} is in zone {order.zone}; zones: {zone_list}"
            )
        unserved_tiers = [] if force else self.orders.unserved_tiers(order, self.groups)
        if unserved_tiers:
            return _refuse(
                409, f"no other zone would serve {', '.join(unserved_tiers)}; use force to override"
            )
        version = self._next_version(order.key)
        until_ms = self.orders.unix_ms(now_us) + order.for_ms
        stored_order = msgspec.structs.replace(order, until_ms=until_ms, version=version)
        return Decision(Ordered(version=version, order=stored_order), version=version)

    def end_order(self, service: str, zone: str) -> Decision:
        if self.orders.find(zone_key(service, zone)) is None:
            return _refuse(404, f"no order on zone {zone} of service {service}")
        version = self._next_version(zone_key(service, zone))
        return Decision(OrderOver(version=version, service=service, zone=zone), version=version)

    # --- leases ---

    def renew(self, now_us: int, key: Key, owner: str) -> Refusal | None:
        """Renew a lease. Renewals are not stored: after a restart every lease starts again."""
        current = self.records.get(key)
        refusal = self._check_owner(key, current, owner)
        if refusal is None:
            self._extend_lease(now_us, key)
        return refusal

    def _extend_lease(self, now_us: int, key: Key) -> None:
        lease = self._leases.get(key)
        if lease is not None:
            lease.renewed_us, lease.extended_until_us = now_us, 0

    def detect_pause(self, now_us: int) -> list[LogEvent]:
        """Detect that the process was suspended, and extend leases by the pause. Call it twice a second."""
        events: list[LogEvent] = []
        last_tick_us, self._last_tick_us = self._last_tick_us, now_us
        if last_tick_us is not None and now_us - last_tick_us > MAX_TICK_GAP_US:
            pause_us = now_us - last_tick_us
            for lease in self._leases.values():
                # A lease renewed after the pause, before this check, starts no later than now.
                lease.renewed_us = min(now_us, lease.renewed_us + pause_us)
            if self._leases:
                fields: dict[str, str | int | float] = {
                    "stood_ms": pause_us // 1000,
                    "leases": len(self._leases),
                }
                events.append(LogEvent("the process stood still; leases extended by the pause", fields))
        return events

    def decide_expiries(self, now_us: int) -> tuple[list[Change], list[LogEvent]]:
        """Decide which leases, zone orders and tombstones end now. The changes are not applied yet."""
        events = self.detect_pause(now_us)  # first: after a pause all leases seem to have expired
        changes = self._skip_lost_versions(now_us)
        if changes:
            events.append(
                LogEvent("the store has lost versions; skipping past them", {"to": self._decided_version})
            )
        due_keys = [
            key
            for key, lease in self._leases.items()
            if lease.expires_us <= now_us and key not in self.pending
        ]
        changes += self._forget_tombstones(now_us)
        for service, _, zone in (key for key in self.orders.expired(now_us) if key not in self.pending):
            order_end = self.end_order(service, zone).change
            assert order_end is not None
            changes.append(order_end)
            events.append(LogEvent("zone order ended", {"service": service, "zone": zone}))
        if not due_keys:
            return changes, events
        silent_by_scope = self._mass_silence(now_us)
        if self._is_isolated(now_us, silent_by_scope, events):
            return changes, events
        for key in due_keys:
            zone = self.records[key].entry.zone
            lease = self._leases[key]
            if not lease.extended_until_us:
                scopes = [scope for scope in (None, zone) if scope in silent_by_scope]
                if scopes:
                    events.append(self._delay_expiry(now_us, silent_by_scope, scopes[0]))
            if lease.expires_us > now_us:
                continue
            silence_ms = (now_us - lease.renewed_us) // 1000
            decision = self._decide_removal(key, RemovalReason.EXPIRED)
            assert decision.change is not None
            changes.append(decision.change)
            reason = (
                "still silent after the delay of a mass expiry"
                if lease.extended_until_us
                else "lease expired"
            )
            fields: dict[str, str | int | float] = {
                **key._asdict(),
                "zone": zone,
                "reason": reason,
                "silent_ms": silence_ms,
            }
            events.append(LogEvent("expired", fields))
        return changes, events

    def _mass_silence(self, now_us: int) -> dict[str | None, list[Key]]:
        """Silent leases of each scope, a zone or all (None), that has too many to be independent failures."""
        lease_counts: dict[str | None, int] = {}
        silent_by_scope: dict[str | None, list[Key]] = {}
        for key, lease in self._leases.items():
            zone = self.records[key].entry.zone
            is_silent = now_us - lease.renewed_us > SILENT_LEASE_FRACTION * lease.duration_us
            for scope in (None, zone):
                lease_counts[scope] = lease_counts.get(scope, 0) + 1
                if is_silent:
                    silent_by_scope.setdefault(scope, []).append(key)
        return {
            scope: keys
            for scope, keys in silent_by_scope.items()
            if len(keys) >= MASS_EXPIRY_MIN_COUNT and len(keys) > MASS_EXPIRY_FRACTION * lease_counts[scope]
        }

    def _is_isolated(
        self, now_us: int, silent_by_scope: dict[str | None, list[Key]], events: list[LogEvent]
    ) -> bool:
        """Whether so many leases are silent that this service must be isolated; then none expires."""
        silent_count = len(silent_by_scope.get(None, ()))
        if silent_count <= ISOLATION_FRACTION * len(self._leases):
            if self._isolated_since_us is not None:
                events.append(
                    LogEvent(
                        "renewals arrive again", {"blind_ms": (now_us - self._isolated_since_us) // 1000}
                    )
                )
                # Leases that are still silent get one more lease duration.
                self._delay_expiry(
                    now_us, {None: [key for keys in silent_by_scope.values() for key in keys]}, None
                )
            self._isolated_since_us = None
            return False
        if self._isolated_since_us is None:
            self._isolated_since_us = now_us
            fields: dict[str, str | int | float] = {
                "silent": silent_count,
                "leases": len(self._leases),
                "reason": f"more than {ISOLATION_FRACTION:.0%} of all leases are silent: we are isolated",
            }
            events.append(LogEvent("lease expiry suspended", fields))
        return now_us - self._isolated_since_us < MAX_ISOLATION_US

    def _delay_expiry(
        self, now_us: int, silent_by_scope: dict[str | None, list[Key]], scope: str | None
    ) -> LogEvent:
        """Extend leases that fell silent together by one lease duration: their renewals may be on the way."""
        leases = [self._leases[key] for key in silent_by_scope[scope]]
        not_yet_extended = [lease for lease in leases if not lease.extended_until_us]
        until_us = now_us + max((lease.duration_us for lease in not_yet_extended), default=0)
        for lease in not_yet_extended:
            lease.extended_until_us = until_us
        fields: dict[str, str | int | float] = {
            "zone": scope if scope is not None else "(all)",
            "silent": len(leases),
            "hold_ms": (until_us - now_us) // 1000,
            "reason": f"more than {MASS_EXPIRY_FRACTION:.0%} of the leases fell silent together",
        }
        return LogEvent("mass expiry delayed", fields)

    def _forget_tombstones(self, now_us: int) -> list[Change]:
        """Drop tombstones past their retention time, and the oldest ones beyond the maximum number."""
        up_to = 0
        excess = len(self.tombstones) - MAX_TOMBSTONES
        while self._tombstone_times and (
            excess > 0 or self._tombstone_times[0][0] <= now_us - TOMBSTONE_RETENTION_US
        ):
            up_to = self._tombstone_times.popleft()[1]
            excess -= 1
        if not up_to:
            return []
        self._decided_version += 1
        return [Forgotten(version=self._decided_version, up_to=up_to)]

    def next_expiry_us(self) -> int | None:
        """When the next lease expires if none is renewed."""
        return min((lease.expires_us for lease in self._leases.values()), default=None)

    # --- applying durable changes ---

    def apply(self, now_us: int, change: Change) -> None:
        """Apply a change. Changes must come in the order of their versions, without gaps.

        Raises:
            ValueError: if a version was left out or applied already.
        """
        skips_versions = isinstance(change, Opened) and change.version > self.version + 1
        if change.version != self.version + 1 and not skips_versions:
            raise ValueError(f"version {change.version} does not follow {self.version}")
        self.version = change.version
        if skips_versions:  # the history has no changes for the lost versions
            self._history.clear()
            self._history_start = change.version
        self._history.append(change)
        while len(self._history) > self._max_history:
            self._history_start = self._history.popleft().version
        self._decided_version = max(self._decided_version, change.version)
        if isinstance(change, Opened):
            self.lineage.append(change.branch)
        elif isinstance(change, Forgotten):
            self.tombstones = {k: s for k, s in self.tombstones.items() if s.version > change.up_to}
        elif isinstance(change, Put):
            self._apply_put(now_us, change.record)
        elif isinstance(change, Ordered | OrderOver):
            self._mark_applied(change.key, change.version)
            self.orders.apply(now_us, change)
        else:
            self._apply_removal(now_us, change)

    def _apply_put(self, now_us: int, record: Record) -> None:
        key = record.key
        self._mark_applied(key, record.version)
        self.tombstones.pop(key, None)
        self._update_ready_count(self.records.get(key), record)
        self.records[key] = record
        self.groups.setdefault(key.group, {})[key] = record
        self._update_region(record)
        if record.lease_ms is not None:
            self._leases[key] = _Lease(record.lease_ms * 1000, now_us)
        else:
            self._leases.pop(key, None)

    def _apply_removal(self, now_us: int, change: Gone) -> None:
        key = change.key
        self._mark_applied(key, change.version)
        removed = self.records.pop(key, None)
        if removed is None:
            return
        self._update_ready_count(removed, None)
        del self.groups[key.group][key]
        self._leases.pop(key, None)
        entry = msgspec.structs.replace(removed.entry, lifecycle=Readiness.GONE)
        self.tombstones.pop(key, None)
        self.tombstones[key] = Tombstone(
            service=key.service,
            tier=key.tier,
            entry=entry,
            owner=removed.owner,
            why=change.why,
            version=change.version,
            drained=removed.drained,
        )
        self._tombstone_times.append((now_us, change.version))

    def _update_region(self, record: Record) -> None:
        """A changed region concerns all tiers of the service, as zone orders do."""
        region_by_zone = self.regions.setdefault(record.service, {})
        if record.region and region_by_zone.get(record.entry.zone) != record.region:
            region_by_zone[record.entry.zone] = record.region
            group = zone_key(record.service, "").group
            self._group_versions[group] = max(record.version, self._group_versions.get(group, 0))

    def _update_ready_count(self, before: Record | None, after: Record | None) -> None:
        self.ready_count += is_ready(after) - is_ready(before)

    def ready_count_after(self, changes: Iterable[Change]) -> int:
        """How many records would be ready after these changes."""
        record_after: dict[Key, Record | None] = {}
        for change in changes:
            if isinstance(change, Put):
                record_after[change.record.key] = change.record
            elif isinstance(change, Gone):
                record_after[change.key] = None
        differences = (
            is_ready(after) - is_ready(self.records.get(key)) for key, after in record_after.items()
        )
        return self.ready_count + sum(differences)

    def _mark_applied(self, key: Key, version: int) -> None:
        if self.pending.get(key, version + 1) <= version:
            del self.pending[key]
        self._group_versions[key.group] = version

    def discard_pending(self, changes: Iterable[Change]) -> None:
        """Undo all decisions that are not applied, since they could not be made durable."""
        for change in changes:
            if isinstance(change, Forgotten):
                self._tombstone_times.extendleft([(0, change.up_to)])
        self.pending.clear()
        self._decided_version = self.version

    # --- reads ---

    def latest_version(self, group: Group) -> int:
        """Version of the last change that concerns the group; 0 if none is known."""
        return max(
            self._group_versions.get(each_group, 0)
            for each_group in (group, zone_key(group.service, "").group)
        )

    def changes_after(self, after: int) -> list[Change] | None:
        """The changes after this version, for a follower; None if the history does not reach back so far."""
        if not self._history_start <= after <= self.version:
            return None
        return list(self._changes_newest_first(after))[::-1]

    def _changes_newest_first(self, after: int) -> Iterator[Change]:
        for change in reversed(self._history):
            if change.version <= after:
                return
            yield change

    def update_since(self, group: Group, after: int | None) -> ListUpdate:
        """What changed after this version; all records if it is None, unknown or older than the history."""
        if after is None or after < max(1, self._history_start) or after > self.version:
            group_records = tuple(self.groups.get(group, {}).values())
            return ListUpdate(self.version, True, group_records)
        changed: dict[Key, None] = {}
        for change in self._changes_newest_first(after):
            key = change.record.key if isinstance(change, Put) else getattr(change, "key", None)
            if key is not None and key.group == group:
                changed[key] = None
        items: list[Record | Tombstone] = []
        for key in reversed(changed):
            item = self.records.get(key) or self.tombstones.get(key)
            if item is None:  # its tombstone was dropped, so only the full list shows that it is gone
                return self.update_since(group, None)
            items.append(item)
        return ListUpdate(self.version, False, tuple(items))


def entry_in_view(item: Record | Tombstone, view: str) -> Entry:
    """The entry of a record with its address in this view, if it has one there."""
    address = item.views.get(view) if isinstance(item, Record) else None
    return item.entry if address is None else msgspec.structs.replace(item.entry, host_port=address)


def is_ready(record: Record | None) -> bool:
    return record is not None and record.entry.lifecycle is Readiness.READY


def _refuse(status: int, reason: str) -> Decision:
    return Decision(refusal=Refusal(status, reason))
