"""A follower: keeps a core like the main service's, by its feed, and serves on when that is away."""

from __future__ import annotations

import asyncio
import random

import structlog

from eiderhub.address import parse_host_port
from eiderhub.http1 import NoReplyError
from eiderhub.registry import calls
from eiderhub.registry.belief import Pace, Sizes, Sources
from eiderhub.registry.client import DOUBT_S, PATIENCE_S, Line, Refused, now_us, read
from eiderhub.registry.core import Core, is_ready
from eiderhub.registry.server import Service

WAIT_MS = 1000  # a list is known to be no older than the last call that was answered, so calls are short
log = structlog.get_logger()


class Following:
    """Feeds a service that has no store."""

    def __init__(self, service: Service, addresses: list[str], rng: random.Random) -> None:
        self._service = service
        self._rng = rng
        self._lines = [Line(parse_host_port(address)) for address in addresses]
        self._sources = Sources(len(self._lines))
        self._pace = Pace(rng)
        self._sizes = Sizes()
        self._failing = ""
        self._odd = ""

    async def run(self) -> None:
        try:
            while True:
                if wait_s := await self._once():
                    await asyncio.sleep(wait_s)
        finally:
            for line in self._lines:
                line.close()

    async def _once(self) -> float:
        core, line = self._service.core, self._lines[self._sources.index]
        has = self._service.as_of_us is not None
        asked_us = now_us()
        headers = [f"Registry-Branch: {core.identity}/{core.branch}"] if has else []
        try:
            query = {"after": core.version, "wait_ms": WAIT_MS} if has else {}
            reply = await line.get(calls.FEED, query, WAIT_MS / 1000 + PATIENCE_S, *headers)
            feed = read(reply, calls.Feed)
        except (NoReplyError, Refused) as error:
            if str(error) != self._failing:
                self._failing = str(error)
                log.warning("the main service does not answer", address=str(line.address), reason=str(error))
            self._sources.failed(now_us())
            return self._pace.failed() / 1e6
        if self._failing:
            log.info("the main service answers", address=str(line.address))
            self._failing = ""
        self._pace.answered(None)
        self._sources.answered(now_us())
        self._service.main = str(line.address)
        refusal = self._take(core, feed, str(line.address))
        if refusal:
            if refusal != self._odd:
                log.warning("the main service's list was not adopted; ours is served on", reason=refusal)
            self._odd = refusal
            return DOUBT_S * self._rng.uniform(0.5, 1.5)
        self._odd = ""
        self._service.as_of_us = asked_us
        return 0.0

    def _take(self, core: Core, feed: calls.Feed, source: str) -> str:
        """Carry out what the main service told; or why not."""
        now = now_us()
        if feed.image is None:
            first = feed.changes[0].version if feed.changes else core.version + 1
            if feed.identity != core.identity or first <= core.version:
                return "changes to a list that we do not have"
            ready = core.ready_after(feed.changes)
            if not self._sizes.believed(now, ready, feed.identity, source):
                return f"{ready} ready endpoints where {self._sizes.reference(now)} were in use"
            self._service.apply(feed.changes)
        else:
            if feed.identity == core.identity and feed.version < core.version:
                return f"version {feed.version} is older than {core.version}, which is in use"
            ready = sum(map(is_ready, feed.image.records))
            if not self._sizes.believed(now, ready, feed.identity, source):
                return f"{ready} ready endpoints where {self._sizes.reference(now)} were in use"
            core.restore(now, feed.image)
            self._service.replaced()
        self._sizes.taken(now, core.ready)
        return ""
