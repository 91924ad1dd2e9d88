"""Gate at which requests wait right after a node's start, until it can serve them.

Clients are sent to a node as soon as it listens, some tenths of a second before it has the configuration and
the engines. Refused then, a client retries after a second or gives up.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

STARTUP_S = 2.0
"""How long after its start a node lets requests wait."""
MAX_WAITING = 256
"""Requests that wait at once; the queue is bounded, and longer than a start needs."""
POLL_INTERVAL_S = 0.02
"""Well below the duration of a request."""


class StartupGate:
    """Lets requests wait until ``open_at``, in seconds of the event loop's clock."""

    def __init__(self, open_at: float) -> None:
        self._open_at = open_at
        self._waiting = 0

    async def wait_for(self, condition: Callable[[], bool]) -> bool:
        """Wait until ``condition`` holds or the startup is over, unless too many wait.

        Returns the condition.
        """
        loop = asyncio.get_running_loop()
        if condition() or self._waiting >= MAX_WAITING:
            return condition()
        self._waiting += 1
        try:
            while not condition() and loop.time() < self._open_at:
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            self._waiting -= 1
        return condition()


def open_gate() -> StartupGate:
    """Return a gate at which nothing waits."""
    return StartupGate(0.0)
