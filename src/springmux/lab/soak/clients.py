"""Clients of a soak: each keeps its connection to one node open until the node closes it."""

from __future__ import annotations

import asyncio
import random
import time

from springmux.lab.soak.configurations import FIRST_KEY, HOST, MOVING_PATH, numbered_path
from springmux.lab.soak.consistency_checker import IN_FORCE_S, ConsistencyChecker, SentRequest
from springmux.lab.soak.engine_pool import SoakEngines
from springmux.lab.soak.fleet import FRONT_PORT, SoakNode
from springmux.lab.soak.history import ConfigurationHistory
from springmux.lab.soak.http_connection import ConnectionClosedError, HttpConnection

CONNECT_TIMEOUT_S = 1.0
RECONNECT_S = 0.1
DEADLINE_S = 6.0
"""Several times the duration of the longest request at an engine."""
NEWEST_KEY_SHARE = 0.85
"""Share of requests with the newest key; the others use the first key, which is soon revoked."""
PAUSE_S = (0.03, 0.18)
"""Range of the pause between two requests on a connection."""


class SoakClient:
    """Sends requests to one node, over one connection at a time."""

    def __init__(
        self,
        name: str,
        node: SoakNode,
        history: ConfigurationHistory,
        checker: ConsistencyChecker,
        engines: SoakEngines,
        source: random.Random,
    ) -> None:
        self._name = name
        self._node = node
        self._history = history
        self._checker = checker
        self._engines = engines
        self._random = source
        self._requests = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            try:
                connection = await HttpConnection.open(self._node.host, FRONT_PORT, CONNECT_TIMEOUT_S)
            except OSError:
                self._checker.check_unreachable(self._node, time.monotonic())
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._send_requests(connection)
            finally:
                connection.close()

    async def _send_requests(self, connection: HttpConnection) -> None:
        """Send requests one after another until the connection closes."""
        while True:
            request = self._next_request()
            if request is None:
                await asyncio.sleep(RECONNECT_S)
                return
            headers = {
                "host": HOST,
                "x-request-id": request.request_id,
                "x-api-key": request.key,
                "x-deadline-ms": f"{DEADLINE_S * 1000:.0f}",
            }
            try:
                response = await connection.request("POST", request.path, headers, b"soak", DEADLINE_S)
            except (ConnectionClosedError, TimeoutError):
                self._checker.check_missing_response(
                    request, self._engines.runs(request.request_id), time.monotonic()
                )
                await asyncio.sleep(RECONNECT_S)
                return
            self._checker.check_response(request, response, time.monotonic())
            if response.closes:
                return
            await asyncio.sleep(self._random.uniform(*PAUSE_S))

    def _next_request(self) -> SentRequest | None:
        now = time.monotonic()
        newest = self._history.newest_acknowledged(now)
        if newest is None:
            return None
        self._requests += 1
        key = newest.keys[-1] if self._random.random() < NEWEST_KEY_SHARE else FIRST_KEY
        path = self._path(newest.number, now)
        return self._checker.record_sent(f"{self._name}-{self._requests}", self._node, path, key, now)

    def _path(self, newest: int, now: float) -> str:
        """Return the path of a recently added route, the moving route, an old route, or a future route."""
        draw = self._random.random()
        if draw < 0.45:
            return numbered_path(self._history.newest_acknowledged_number(now - IN_FORCE_S) or newest)
        if draw < 0.6:
            return numbered_path(newest)
        if draw < 0.9:
            return MOVING_PATH
        return numbered_path(self._random.randint(1, newest + 3))
