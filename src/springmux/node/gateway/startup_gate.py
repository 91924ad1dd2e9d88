"""Holds requests right after a node's start until the node can serve them.

Clients are sent to a node as soon as it listens, which is some tenths of a second before it has the
configuration and the engines. If it refused them, they would retry after a second or give up.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

STARTUP_S = 2.0
"""Time after a node's start in which it holds requests. After a loss of power of all machines a node knew the
configuration 0.2 to 1.2 s after its start."""
MAX_WAITING = 256
"""Limit on the number of held requests. A start needs fewer."""
POLL_INTERVAL_S = 0.02
"""Interval at which a held request checks its condition; well below the duration of a request."""


class StartupGate:
    """Holds requests until ``open_at`` at the latest, in seconds of the event loop's clock."""

    def __init__(self, open_at: float) -> None:
        self._open_at = open_at
        self._waiting = 0

    async def wait_for(self, condition: Callable[[], bool]) -> bool:
        """Wait until ``condition`` holds or the startup is over, and return whether it holds.

        Returns immediately if ``MAX_WAITING`` requests are waiting.
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
    """Return a gate that holds no requests."""
    return StartupGate(0.0)
