"""Follower: replicates the core of the main service through its feed.

The follower keeps serving lists while the main service is unavailable.
"""

from __future__ import annotations

import asyncio
import random

import structlog

from eiderhub.address import parse_host_port
from eiderhub.http1 import NoReplyError
from eiderhub.registry import api
from eiderhub.registry.adoption import AddressSelector, FleetBackoff, ShrinkGuard
from eiderhub.registry.client import (
    UNCONFIRMED_RETRY_S,
    WATCH_GRACE_S,
    RegistryClient,
    RequestRefusedError,
    decode_reply,
    now_us,
)
from eiderhub.registry.core import Core, is_ready
from eiderhub.registry.server import RegistryServer

FEED_WAIT_MS = 1000  # short, because the age of the list is bounded by the time of the last answered request
log = structlog.get_logger()


class Follower:
    """Updates the core of a server that has no store."""

    def __init__(self, server: RegistryServer, addresses: list[str], rng: random.Random) -> None:
        self._server = server
        self._rng = rng
        self._clients = [RegistryClient(parse_host_port(address)) for address in addresses]
        self._address_selector = AddressSelector(len(self._clients))
        self._backoff = FleetBackoff(rng)
        self._shrink_guard = ShrinkGuard()
        self._last_error = ""
        self._last_refusal = ""

    async def run(self) -> None:
        try:
            while True:
                if delay_s := await self._fetch_feed():
                    await asyncio.sleep(delay_s)
        finally:
            for client in self._clients:
                client.close()

    async def _fetch_feed(self) -> float:
        core, client = self._server.core, self._clients[self._address_selector.index]
        has_list = self._server.as_of_us is not None
        sent_us = now_us()
        headers = [f"Registry-Branch: {core.identity}/{core.branch}"] if has_list else []
        try:
            query = {"after": core.version, "wait_ms": FEED_WAIT_MS} if has_list else {}
            reply = await client.get(api.FEED_PATH, query, FEED_WAIT_MS / 1000 + WATCH_GRACE_S, *headers)
            feed = decode_reply(reply, api.FeedResponse)
        except (NoReplyError, RequestRefusedError) as error:
            if str(error) != self._last_error:
                self._last_error = str(error)
                log.warning(
                    "the main service does not answer", address=str(client.address), reason=str(error)
                )
            self._address_selector.record_failure(now_us())
            return self._backoff.record_failure() / 1e6
        if self._last_error:
            log.info("the main service answers", address=str(client.address))
            self._last_error = ""
        self._backoff.record_answer(None)
        self._address_selector.record_answer(now_us())
        self._server.main_address = str(client.address)
        refusal = self._adopt(core, feed, str(client.address))
        if refusal:
            if refusal != self._last_refusal:
                log.warning(
                    "list of the main service not adopted; the previous list is still served", reason=refusal
                )
            self._last_refusal = refusal
            return UNCONFIRMED_RETRY_S * self._rng.uniform(0.5, 1.5)
        self._last_refusal = ""
        self._server.as_of_us = sent_us
        return 0.0

    def _adopt(self, core: Core, feed: api.FeedResponse, source: str) -> str:
        """Apply the feed to the core; returns the reason if it is not adopted, else an empty string."""
        now = now_us()
        if feed.image is None:
            first_version = feed.changes[0].version if feed.changes else core.version + 1
            if feed.identity != core.identity or first_version <= core.version:
                return "the changes do not continue the list in use"
            ready_count = core.ready_count_after(feed.changes)
            if not self._shrink_guard.accepts(now, ready_count, feed.identity, source):
                return (
                    f"{ready_count} ready endpoints where "
                    f"{self._shrink_guard.recent_maximum(now)} were in use"
                )
            self._server.apply(feed.changes)
        else:
            if feed.identity == core.identity and feed.version < core.version:
                return f"version {feed.version} is older than {core.version}, which is in use"
            ready_count = sum(map(is_ready, feed.image.records))
            if not self._shrink_guard.accepts(now, ready_count, feed.identity, source):
                return (
                    f"{ready_count} ready endpoints where "
                    f"{self._shrink_guard.recent_maximum(now)} were in use"
                )
            core.restore(now, feed.image)
            self._server.image_restored()
        self._shrink_guard.record_adopted(now, core.ready_count)
        return ""
