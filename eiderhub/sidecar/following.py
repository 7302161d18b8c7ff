"""Lists from the project's own list service, where `[registry]` names one."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from eiderhub.interface import ListForm
from eiderhub.registry.belief import Verdict
from eiderhub.registry.client import Watch
from eiderhub.registry.records import Entry
from eiderhub.registry.settings import Follow
from eiderhub.sidecar.discovery import Instance, Listed

log = structlog.get_logger()


class Following:
    """Stands where the watch on the platform's discovery does. It rides out failures by itself."""

    def __init__(self, follow: Follow, deliver: Callable[[ListForm, list[Listed]], None]) -> None:
        self._deliver = deliver
        self._recalling = False
        self.watch = Watch(follow, self._changed)

    def recall(self) -> bool:
        """Start from the list that was kept on disk, where there is one."""
        self._recalling = True
        try:
            return self.watch.recall()
        finally:
            self._recalling = False

    def turn(self, on: bool) -> None:
        """It goes on until the process ends: whoever turns it off would only lose what it knows."""
        if on:
            self.watch.start()

    def move(self, follow: Follow) -> None:
        """Other addresses from now on, and what has been learned stays."""
        self.watch.move(follow)

    def figures(self) -> list[str]:
        age_us = self.watch.age_us()
        return [] if age_us is None else [f"svc.list_age_ms={age_us // 1000}"]

    def _changed(self, verdict: Verdict) -> None:
        form = ListForm.DELTA
        if verdict.whole:
            form = ListForm.CACHED if self._recalling else ListForm.FULL
        self._deliver(form, [_listed(entry) for entry in verdict.entries])


def _listed(entry: Entry) -> Listed:
    return Instance(
        instance_id=entry.instance_id,
        host_port=entry.host_port,
        lifecycle=entry.lifecycle,
        zone=entry.zone,
        machine_type=entry.machine_type,
        cell=entry.cell,
        weight=entry.weight,
        started_at_ms=entry.started_at_ms,
    ).listed()
