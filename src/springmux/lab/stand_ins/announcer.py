"""Client of the engine interface: announce, heartbeat, drain, leave (docs/API.md)."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

import aiohttp
import msgspec

HEARTBEAT_PERIOD_S = 1.0
"""Mean period, as the engine interface specifies."""

REPORT_TIMEOUT_S = 1.0
"""Timeout of a report to one node; the next node is tried after it, so a frozen node costs one heartbeat."""

ANNOUNCE_PAUSE_S = 0.2
"""Delay between announcements to all nodes while none accepts one, as in a starting fleet."""


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
    """Current load of an engine, as its heartbeat reports it."""

    running: int
    queued: int
    cache_used: float
    draining: bool


class Announcer:
    """Reports one engine to the fleet; a report that a node does not accept goes to the next node.

    :param current_load: returns the load for each heartbeat.
    :param lateness_s: upper bound of a random delay of each heartbeat, which imitates a late report.
    """

    def __init__(
        self,
        identity: EngineIdentity,
        admin_addresses: list[str],
        current_load: Callable[[], LoadReport],
        source: random.Random,
        lateness_s: float = 0.0,
    ) -> None:
        self.identity = identity
        self._addresses = list(admin_addresses)
        source.shuffle(self._addresses)
        self._current_load = current_load
        self._random = source
        self._lateness_s = lateness_s
        self._sequence = 0
        self.paused = False
        """While true, no report is sent, as by an engine that hangs."""
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the background task that announces the engine and then sends heartbeats."""
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        self._task = asyncio.create_task(self._announce_and_heartbeat())

    async def stop(self) -> None:
        """Stop reporting without deregistering, as in a crash."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        if self._session is not None:
            await self._session.close()

    async def drain(self) -> bool:
        """Report that the engine drains; return whether a node acknowledged the report."""
        return await self._report("drain", self._identity_body())

    async def leave(self) -> bool:
        """Deregister the engine; return whether a node acknowledged it."""
        return await self._report("leave", self._identity_body())

    def _identity_body(self) -> dict[str, object]:
        return {"engine": self.identity.engine, "incarnation": self.identity.incarnation}

    async def _announce_and_heartbeat(self) -> None:
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
        load = self._current_load()
        self._sequence += 1
        body: dict[str, object] = msgspec.to_builtins(self.identity)
        body["sequence"] = self._sequence
        body["status"] = "draining" if load.draining else "ready"
        body["running"] = load.running
        body["queued"] = load.queued
        body["cache_used"] = round(load.cache_used, 3)
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
