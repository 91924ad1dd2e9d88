"""Work that is too long for one iteration of the event loop: it is done in steps, a few in each iteration."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

ITERATION_S = 0.002
"""Time in one iteration of the event loop. A step that has begun is finished."""


class DeferredWork:
    """Steps of all connections of a process, in the order of their arrival."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._steps: deque[Callable[[], None]] = deque()
        self._scheduled = False

    def add(self, step: Callable[[], None]) -> None:
        """Run ``step`` in a later iteration, after the steps added before it."""
        self._steps.append(step)
        self._schedule()

    def _schedule(self) -> None:
        if self._steps and not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        ends_at = self._loop.time() + ITERATION_S
        while self._steps:
            step = self._steps.popleft()
            step()
            if self._loop.time() >= ends_at:
                break
        self._schedule()
