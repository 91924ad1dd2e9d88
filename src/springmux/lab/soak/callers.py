"""Callers of a soak: each keeps its connection to one node open until that ends it."""

from __future__ import annotations

import asyncio
import random
import time

from springmux.lab.soak.configurations import FIRST_KEY, HOST, MOVING_PATH, numbered_path
from springmux.lab.soak.engines import SoakEngines
from springmux.lab.soak.history import ConfigurationHistory
from springmux.lab.soak.judge import IN_FORCE_S, AskedRequest, Judge
from springmux.lab.soak.nodes import FRONT_PORT, SoakNode
from springmux.lab.soak.wire import CallerConnection, ConnectionClosedError

CONNECT_TIMEOUT_S = 1.0
RECONNECT_S = 0.1
DEADLINE_S = 6.0
"""Several times what the longest request takes at an engine."""
PRESENT_KEY_SHARE = 0.85
"""Requests with the newest key; the others have the first one, which is soon taken away."""
PAUSE_S = (0.03, 0.18)
"""Between two requests on a connection."""


class SoakCaller:
    """One connection to one node at a time."""

    def __init__(
        self,
        name: str,
        node: SoakNode,
        history: ConfigurationHistory,
        judge: Judge,
        engines: SoakEngines,
        source: random.Random,
    ) -> None:
        self._name = name
        self._node = node
        self._history = history
        self._judge = judge
        self._engines = engines
        self._random = source
        self._requests = 0

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            try:
                connection = await CallerConnection.open(self._node.host, FRONT_PORT, CONNECT_TIMEOUT_S)
            except OSError:
                self._judge.unreachable(self._node, time.monotonic())
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._use(connection)
            finally:
                connection.close()

    async def _use(self, connection: CallerConnection) -> None:
        """Send one request after another until the connection ends."""
        while True:
            asked = self._next_request()
            if asked is None:
                await asyncio.sleep(RECONNECT_S)
                return
            headers = {
                "host": HOST,
                "x-request-id": asked.request,
                "x-api-key": asked.key,
                "x-deadline-ms": f"{DEADLINE_S * 1000:.0f}",
            }
            try:
                answer = await connection.ask("POST", asked.path, headers, b"soak", DEADLINE_S)
            except (ConnectionClosedError, TimeoutError):
                self._judge.unanswered(asked, self._engines.runs(asked.request), time.monotonic())
                await asyncio.sleep(RECONNECT_S)
                return
            self._judge.answered(asked, answer, time.monotonic())
            if answer.closes:
                return
            await asyncio.sleep(self._random.uniform(*PAUSE_S))

    def _next_request(self) -> AskedRequest | None:
        now = time.monotonic()
        newest = self._history.newest(now)
        if newest is None:
            return None
        self._requests += 1
        key = newest.keys[-1] if self._random.random() < PRESENT_KEY_SHARE else FIRST_KEY
        path = self._path(newest.number, now)
        return self._judge.asked(f"{self._name}-{self._requests}", self._node, path, key, now)

    def _path(self, newest: int, now: float) -> str:
        """Return a path: of a route added lately, the moving one, an old one, or one to come."""
        draw = self._random.random()
        if draw < 0.45:
            return numbered_path(self._history.newest_acknowledged(now - IN_FORCE_S) or newest)
        if draw < 0.6:
            return numbered_path(newest)
        if draw < 0.9:
            return MOVING_PATH
        return numbered_path(self._random.randint(1, newest + 3))
