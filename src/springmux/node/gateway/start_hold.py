"""Requests that come right after a node's start wait until it knows what it needs to serve them.

Callers are sent to a node as soon as it listens, some tenths of a second before it has fetched the
configuration and heard of the engines. Refused then, a caller comes back after a second or gives up.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

HOLD_S = 2.0
"""How long after its start a node holds requests. In trials of a loss of power of all machines it knew the
configuration 0.2 to 1.2 s after its start."""
MOST_HELD = 256
"""Requests held at once; more than come in that time, and bounded like any queue."""
LOOK_S = 0.02
"""How often is looked: well below the time that a request takes."""


class StartHold:
    """Holds requests until a time of the loop's clock."""

    def __init__(self, until: float) -> None:
        self._until = until
        self._held = 0

    async def until_true(self, condition: Callable[[], bool]) -> bool:
        """Wait until ``condition`` holds, the start is over, or too many wait. Returns the condition."""
        loop = asyncio.get_running_loop()
        if condition() or self._held >= MOST_HELD:
            return condition()
        self._held += 1
        try:
            while not condition() and loop.time() < self._until:
                await asyncio.sleep(LOOK_S)
        finally:
            self._held -= 1
        return condition()


def no_hold() -> StartHold:
    """Return a hold that is over."""
    return StartHold(0.0)
