"""Client of the engine interface: announce, heartbeat, drain, leave (docs/API.md)."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

import aiohttp
import msgspec

HEARTBEAT_PERIOD_S = 1.0
"""As the interface specifies."""

REPORT_TIMEOUT_S = 1.0
"""After it the next node is tried, so that a frozen node costs one heartbeat."""

ANNOUNCE_PAUSE_S = 0.2
"""Between attempts at all nodes while none responds, as in a starting fleet."""


class EngineIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """The identity that an engine announces."""

    engine: str
    service: str
    version: str
    address: str
    capacity: int
    incarnation: int
    zone: str = ""


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load at one moment, for a heartbeat."""

    running: int
    queued: int
    cache_used: float
    draining: bool


class Announcer:
    """Reports one engine to the fleet, trying the next node when one does not respond.

    :param lateness_s: upper bound of a random delay of each heartbeat, as of engines that report late.
    """

    def __init__(
        self,
        identity: EngineIdentity,
        admin_addresses: list[str],
        figures: Callable[[], LoadReport],
        source: random.Random,
        lateness_s: float = 0.0,
    ) -> None:
        self.identity = identity
        self._addresses = list(admin_addresses)
        source.shuffle(self._addresses)
        self._current_load = figures
        self._random = source
        self._lateness_s = lateness_s
        self._sequence = 0
        self.paused = False
        """While set no report is sent, as by an engine that hangs."""
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to announce in the background."""
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        self._task = asyncio.create_task(self._report_forever())

    async def stop(self) -> None:
        """Stop without deregistering, as a crash does."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        if self._session is not None:
            await self._session.close()

    async def drain(self) -> bool:
        """Report that the engine drains; return whether a node acknowledged it."""
        return await self._report("drain", self._identity_body())

    async def leave(self) -> bool:
        """Deregister the engine; return whether a node acknowledged it."""
        return await self._report("leave", self._identity_body())

    def _identity_body(self) -> dict[str, object]:
        return {"engine": self.identity.engine, "incarnation": self.identity.incarnation}

    async def _report_forever(self) -> None:
        announcement = msgspec.to_builtins(self.identity)
        while self.paused or not await self._report("announce", announcement):
            await asyncio.sleep(ANNOUNCE_PAUSE_S)
        while True:
            await asyncio.sleep(HEARTBEAT_PERIOD_S * (0.9 + 0.2 * self._random.random()))
            body = self._heartbeat()
            if self._lateness_s > 0.0:
                await asyncio.sleep(self._lateness_s * self._random.random())
            if not self.paused:
                await self._report("heartbeat", body)

    def _heartbeat(self) -> dict[str, object]:
        figures = self._current_load()
        self._sequence += 1
        body: dict[str, object] = msgspec.to_builtins(self.identity)
        body["sequence"] = self._sequence
        body["status"] = "draining" if figures.draining else "ready"
        body["running"] = figures.running
        body["queued"] = figures.queued
        body["cache_used"] = round(figures.cache_used, 3)
        return body

    async def _report(self, action: str, body: dict[str, object]) -> bool:
        assert self._session is not None
        for _ in range(len(self._addresses)):
            url = f"http://{self._addresses[0]}/v1/engines/{action}"
            try:
                async with self._session.post(url, json=body) as response:
                    if response.status < 300:
                        return True
            except (aiohttp.ClientError, TimeoutError):
                pass
            self._addresses.append(self._addresses.pop(0))
        return False
