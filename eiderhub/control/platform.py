"""Reads the complete endpoint list from the platform's HTTP API.

The calls block; callers run them in a separate thread.
"""

from __future__ import annotations

from typing import Any

import msgspec

from eiderhub.control.messages import EndpointRecord

REQUEST_TIMEOUT_S = 0.6  # per page


class Instance(msgspec.Struct):
    id: str
    backend: str
    address: str
    zone: str
    state: str
    capacity: int = 1


class Page(msgspec.Struct):
    instances: list[Instance]
    next_token: str | None = None


class PlatformUnavailable(Exception):
    """The endpoint list could not be read completely."""


class PlatformReader:
    def __init__(self, target: str) -> None:
        self._url = f"http://{target}/instances"
        self._pool: Any = None
        self._decode = msgspec.json.Decoder(Page).decode

    def read(self) -> list[EndpointRecord]:
        """All pages of the list.

        Raises:
            PlatformUnavailable: a page could not be read.
        """
        import urllib3  # only the primary needs it; other nodes start faster without it

        if self._pool is None:
            timeout = urllib3.Timeout(connect=REQUEST_TIMEOUT_S, read=REQUEST_TIMEOUT_S)
            self._pool = urllib3.PoolManager(num_pools=1, maxsize=1, timeout=timeout, retries=False)
        endpoints: dict[str, EndpointRecord] = {}
        token: str | None = None
        while True:
            fields = {"page_token": token} if token else None
            try:
                response = self._pool.request("GET", self._url, fields=fields)
                if response.status != 200:
                    raise PlatformUnavailable(f"platform answered with status {response.status}")
                page = self._decode(response.data)
            except (urllib3.exceptions.HTTPError, OSError, msgspec.DecodeError) as error:
                raise PlatformUnavailable(str(error)) from error
            for instance in page.instances:
                ready = instance.state == "ready"
                endpoints[instance.id] = EndpointRecord(
                    instance.id, instance.backend, instance.address, instance.zone, ready, instance.capacity
                )
            token = page.next_token
            if not token:
                return [endpoints[key] for key in sorted(endpoints)]
