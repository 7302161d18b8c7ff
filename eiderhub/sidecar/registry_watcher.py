"""Endpoint lists from the project's own registry service, where `[registry]` is configured."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

import structlog

from eiderhub.interface import ListForm
from eiderhub.registry.adoption import AdoptionResult
from eiderhub.registry.client import ListWatch
from eiderhub.registry.records import Entry
from eiderhub.registry.settings import FollowSettings
from eiderhub.sidecar.discovery import Instance, ListedEndpoint

MAX_RECHECK_DELAY_S = 3600.0  # orders are re-evaluated at least this often, since the system clock may be set
log = structlog.get_logger()


class RegistryWatcher:
    """Takes the place of the platform's discovery watcher. The registry client handles failures itself."""

    def __init__(
        self,
        follow: FollowSettings,
        on_list: Callable[[ListForm, list[ListedEndpoint]], None],
        on_steering: Callable[[Mapping[str, float], Mapping[str, str]], None],
    ) -> None:
        """`on_steering` is called with the operators' shares by zone, and with regions by zone."""
        self._on_list = on_list
        self._on_steering = on_steering
        self._order_end_timer: asyncio.TimerHandle | None = None
        self._restoring = False
        self.watch = ListWatch(follow, self._on_verdict)

    def restore(self) -> bool:
        """Start from the list cached on disk; return whether there is one."""
        self._restoring = True
        try:
            return self.watch.load_stored_list()
        finally:
            self._restoring = False

    def set_enabled(self, on: bool) -> None:
        """Start watching. Turning it off has no effect, since that would only discard the current list."""
        if on:
            self.watch.start()

    def set_registry(self, follow: FollowSettings) -> None:
        """Switch to other registry addresses, keeping the current list."""
        self.watch.update_settings(follow)

    def metric_lines(self) -> list[str]:
        age_us = self.watch.age_us()
        return [] if age_us is None else [f"svc.list_age_ms={age_us // 1000}"]

    def _on_verdict(self, verdict: AdoptionResult) -> None:
        form = ListForm.DELTA
        if verdict.is_full:
            form = ListForm.CACHED if self._restoring else ListForm.FULL
        if verdict.entries or verdict.is_full:
            self._on_list(form, [_to_listed_endpoint(entry) for entry in verdict.entries])
        if verdict.zone_data_changed:
            self._apply_orders()

    def _apply_orders(self) -> None:
        """Apply the current orders; each is ended locally, since the registry may be down at that time."""
        steering, unix_ms = self.watch.adopted_list.zone_data, time.time_ns() // 1_000_000
        shares = steering.shares_at(unix_ms)
        shares_text = ", ".join(f"{zone} {share:g}" for zone, share in sorted(shares.items())) or "none"
        log.info("operators' orders on zones", shares=shares_text)
        self._on_steering(shares, steering.regions)
        if self._order_end_timer is not None:
            self._order_end_timer.cancel()
            self._order_end_timer = None
        next_change_ms = steering.next_expiry_ms(unix_ms)
        if next_change_ms is not None:
            delay_s = min((next_change_ms - unix_ms) / 1000 + 0.001, MAX_RECHECK_DELAY_S)
            self._order_end_timer = asyncio.get_running_loop().call_later(delay_s, self._apply_orders)


def _to_listed_endpoint(entry: Entry) -> ListedEndpoint:
    return Instance(
        instance_id=entry.instance_id,
        host_port=entry.host_port,
        lifecycle=entry.lifecycle,
        zone=entry.zone,
        machine_type=entry.machine_type,
        cell=entry.cell,
        weight=entry.weight,
        started_at_ms=entry.started_at_ms,
    ).to_listed_endpoint()
