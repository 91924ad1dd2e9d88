"""Holds requests right after a node's start until the node can serve them.

Clients are sent to a node as soon as it listens, which is some tenths of a second before it has the
configuration and the engines. If it refused them, they would retry after a second or give up.
"""

from __future__ import annotations

from collections.abc import Callable

from springmux.node.gateway.polling import wait_until

STARTUP_S = 2.0
"""Time after a node's start in which it holds requests. After a loss of power of all machines a node knew the
configuration 0.2 to 1.2 s after its start."""
MAX_WAITING = 256
"""Limit on the number of held requests. A start needs fewer."""


class StartupGate:
    """Holds requests until ``open_at`` at the latest, in seconds of the event loop's clock."""

    def __init__(self, open_at: float) -> None:
        self._open_at = open_at
        self._waiting = 0

    async def wait_for(self, condition: Callable[[], bool]) -> bool:
        """Wait until ``condition`` holds or the startup is over, and return whether it holds.

        Returns immediately if ``MAX_WAITING`` requests are waiting.
        """
        if condition() or self._waiting >= MAX_WAITING:
            return condition()
        self._waiting += 1
        try:
            return await wait_until(condition, self._open_at)
        finally:
            self._waiting -= 1


def open_gate() -> StartupGate:
    """Return a gate that holds no requests."""
    return StartupGate(0.0)
