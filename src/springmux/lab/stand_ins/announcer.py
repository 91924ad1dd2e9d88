"""A stand-in's side of the engine interface: announce, heartbeat, drain, leave (docs/API.md)."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

import aiohttp
import msgspec

HEARTBEAT_PERIOD_S = 1.0
"""About once a second, as the interface asks."""

REPORT_TIMEOUT_S = 1.0
"""A node that takes longer is passed over, so that a frozen one costs one heartbeat."""

ANNOUNCE_PAUSE_S = 0.2
"""Between rounds over all nodes, while none answers (a fleet that is still starting)."""


class EngineIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine says of itself when it announces."""

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
    """Reports one engine to the fleet, going on to the next node when one doesn't answer.

    :param lateness_s: extra delay of each heartbeat, to stand for engines that report late.
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
        self.silent = False
        """While set nothing is reported, as by an engine that hangs."""
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to announce; returns at once."""
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        self._task = asyncio.create_task(self._report_forever())

    async def stop(self) -> None:
        """Fall silent without a word, as a crash does."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        if self._session is not None:
            await self._session.close()

    async def drain(self) -> bool:
        """Say that no new request may come; ``True`` once a node took it."""
        return await self._report("drain", self._identity_body())

    async def leave(self) -> bool:
        """Say that the engine is gone for good."""
        return await self._report("leave", self._identity_body())

    def _identity_body(self) -> dict[str, object]:
        return {"engine": self.identity.engine, "incarnation": self.identity.incarnation}

    async def _report_forever(self) -> None:
        announcement = msgspec.to_builtins(self.identity)
        while self.silent or not await self._report("announce", announcement):
            await asyncio.sleep(ANNOUNCE_PAUSE_S)
        while True:
            await asyncio.sleep(HEARTBEAT_PERIOD_S * (0.9 + 0.2 * self._random.random()))
            body = self._heartbeat()
            if self._lateness_s > 0.0:
                await asyncio.sleep(self._lateness_s * self._random.random())
            if not self.silent:
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
