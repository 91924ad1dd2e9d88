"""Stand-in call service: executes JSON calls and records each execution with the id of its action."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from aiohttp import web

from springmux.lab.records import Arrival, BackEndEvent, Ending, Execution
from springmux.lab.stand_ins.announcer import Announcer, EngineIdentity, LoadReport
from springmux.simulation.engine_model import VersionBehaviour

LEAVE_POLL_S = 0.05


class CallService:
    """One service on one port. An action's effect happens before its response.

    :param record_event: receives each arrival, execution and ending.
    """

    def __init__(
        self,
        identity: EngineIdentity,
        behaviour: VersionBehaviour,
        admin_addresses: list[str],
        record_event: Callable[[BackEndEvent], None],
        seed: int,
        work_s: float = 0.015,
    ) -> None:
        self.identity = identity
        self.behaviour = behaviour
        self.unresponsive = False
        self._record_event = record_event
        self.draining = False
        self.served = 0
        self._random = random.Random(seed)
        self._running = 0
        self._work_s = work_s
        self._runner: web.AppRunner | None = None
        self.announcer = Announcer(identity, admin_addresses, self._current_load, self._random)

    async def start(self) -> None:
        """Listen on the identity's address and start the announcer."""
        application = web.Application()
        application.router.add_post("/v1/calls/{route}", self._handle_call)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.05)
        await self._runner.setup()
        host, port = self.identity.address.rsplit(":", 1)
        await web.TCPSite(self._runner, host, int(port), reuse_address=True).start()
        await self.announcer.start()

    async def crash(self) -> None:
        """Close every connection without deregistering."""
        await self.announcer.stop()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    @property
    def running(self) -> int:
        """Return the number of calls in flight."""
        return self._running

    def set_unresponsive(self, unresponsive: bool) -> None:
        """Stop or resume responses and reports; connections are accepted in both states."""
        self.unresponsive = unresponsive
        self.announcer.paused = unresponsive

    def set_behaviour(self, behaviour: VersionBehaviour) -> None:
        """Switch to another version behaviour."""
        self.behaviour = behaviour

    async def drain(self) -> bool:
        """Report that the engine drains and may get no new request; return whether a node acknowledged it.

        The engine continues to serve what it gets.
        """
        self.draining = True
        return await self.announcer.drain()

    async def leave(self, grace_s: float = 0.0) -> None:
        """Let running calls finish within ``grace_s``, deregister, stop."""
        deadline = time.monotonic() + grace_s
        while self._running and time.monotonic() < deadline:
            await asyncio.sleep(LEAVE_POLL_S)
        await self.announcer.leave()
        await self.crash()

    def _current_load(self) -> LoadReport:
        return LoadReport(running=self._running, queued=0, cache_used=0.0, draining=self.draining)

    async def _handle_call(self, http_request: web.Request) -> web.StreamResponse:
        if self.unresponsive:
            await asyncio.Event().wait()
        await http_request.read()
        request_id = http_request.headers.get("X-Request-Id", "")
        action = http_request.headers.get("X-Idempotency-Key", request_id)
        identity = self.identity
        route = http_request.match_info["route"]
        arrival = Arrival(
            time.monotonic(), identity.engine, identity.service, identity.version, route, request_id
        )
        self._record_event(arrival)
        if self._random.random() < self.behaviour.error_share:
            self._record_end(request_id, bad=True)
            answer = {"error": {"message": "service failed"}}
            return web.json_response(answer, status=500, headers=self._headers(request_id))
        await self._execute(action)
        if self._random.random() < self.behaviour.silent_share:
            self._record_end(request_id, bad=True)
            await asyncio.Event().wait()
        self._record_end(request_id, bad=False)
        done = {"action": action, "done": True, "at": time.time()}
        return web.json_response(done, headers=self._headers(request_id))

    async def _execute(self, action: str) -> None:
        self._running += 1
        self.served += 1
        identity = self.identity
        try:
            await asyncio.sleep(self._work_s * (0.5 + self._random.random()))
            self._record_event(Execution(time.monotonic(), identity.engine, identity.service, action))
            await asyncio.sleep(self._work_s * 0.2)
        finally:
            self._running -= 1

    def _record_end(self, request_id: str, bad: bool) -> None:
        identity = self.identity
        now = time.monotonic()
        self._record_event(Ending(now, identity.engine, identity.service, identity.version, request_id, bad))

    def _headers(self, request_id: str) -> dict[str, str]:
        return {
            "X-Request-Id": request_id,
            "X-Engine-Id": self.identity.engine,
            "X-Engine-Version": self.identity.version,
        }
