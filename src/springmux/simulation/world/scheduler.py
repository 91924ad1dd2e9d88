"""Event queue: callbacks ordered by virtual time, ties by the order of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from springmux.simulation.world.clock import VirtualClock

Action = Callable[[], None]


class Scheduler:
    """Runs actions at their virtual time. The order depends only on the calls, not on the machine."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Action]] = []
        self._count = 0
        self.executed = 0

    def at(self, time: float, action: Action) -> None:
        """Schedule ``action`` for ``time``, or for now if ``time`` has passed."""
        self._count += 1
        heapq.heappush(self._heap, (max(time, self._clock.now), self._count, action))

    def after(self, delay_s: float, action: Action) -> None:
        """Schedule ``action`` for ``delay_s`` seconds from now."""
        self.at(self._clock.now + delay_s, action)

    def run_until(self, end: float) -> None:
        """Run all actions due up to ``end``, and set the clock to ``end``."""
        heap, clock = self._heap, self._clock
        while heap and heap[0][0] <= end:
            clock.now, _, action = heapq.heappop(heap)
            self.executed += 1
            action()
        clock.now = max(clock.now, end)

    def pending(self) -> int:
        """Return the number of scheduled actions."""
        return len(self._heap)
