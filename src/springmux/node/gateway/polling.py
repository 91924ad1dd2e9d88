"""Waiting for a condition of the node's state, which no event reports to a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

POLL_INTERVAL_S = 0.02
"""Well below the duration of a request."""


async def wait_until(
    condition: Callable[[], bool], deadline: float, poll_interval_s: float = POLL_INTERVAL_S
) -> bool:
    """Wait until ``condition`` holds or ``deadline`` has passed, and return whether it holds.

    :param deadline: in seconds of the event loop's clock.
    """
    loop = asyncio.get_running_loop()
    while not condition():
        if loop.time() >= deadline:
            return False
        await asyncio.sleep(poll_interval_s)
    return True
