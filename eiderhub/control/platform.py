"""Reads the platform's list of endpoints, whole, by urllib3 in a thread of its own."""

from __future__ import annotations

from typing import Any

import msgspec

from eiderhub.control.messages import EndpointRecord

READ_S = 0.6  # for one page


class Listed(msgspec.Struct):
    id: str
    backend: str
    address: str
    zone: str
    state: str
    capacity: int = 1


class Page(msgspec.Struct):
    instances: list[Listed]
    next_token: str | None = None


class PlatformUnavailable(Exception):
    """The list could not be read whole."""


class PlatformReader:
    def __init__(self, target: str) -> None:
        self._base = f"http://{target}/instances"
        self._pool: Any = None
        self._decode = msgspec.json.Decoder(Page).decode

    def read(self) -> list[EndpointRecord]:
        """All pages of the list.

        Raises:
            PlatformUnavailable: a page did not come.
        """
        import urllib3  # only a primary reads the list; the others come up sooner without it

        if self._pool is None:
            timeout = urllib3.Timeout(connect=READ_S, read=READ_S)
            self._pool = urllib3.PoolManager(num_pools=1, maxsize=1, timeout=timeout, retries=False)
        found: dict[str, EndpointRecord] = {}
        token: str | None = None
        while True:
            fields = {"page_token": token} if token else None
            try:
                answer = self._pool.request("GET", self._base, fields=fields)
                if answer.status != 200:
                    raise PlatformUnavailable(f"status {answer.status}")
                page = self._decode(answer.data)
            except (urllib3.exceptions.HTTPError, OSError, msgspec.DecodeError) as error:
                raise PlatformUnavailable(str(error)) from error
            for each in page.instances:
                ready = each.state == "ready"
                found[each.id] = EndpointRecord(
                    each.id, each.backend, each.address, each.zone, ready, each.capacity
                )
            token = page.next_token
            if not token:
                return [found[key] for key in sorted(found)]
