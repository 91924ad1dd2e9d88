"""Timeout of an attempt whose engine sends nothing. Cancels the attempt's task at its next await."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from springmux.gateway.attempt_timeouts import AttemptTimeouts

CHECK_INTERVAL_S = 0.1


class ResponseWatchdog:
    """Monitors the time since the last event of a response, with one timer per attempt."""

    def __init__(
        self,
        timeouts: AttemptTimeouts,
        engine_unresponsive: Callable[[float], bool],
        reserve_retry: Callable[[], bool],
    ) -> None:
        """Start the timeout of the first event. Must be called from the task that is to be cancelled.

        :param engine_unresponsive: returns whether the engine has sent this node nothing since a given time.
        :param reserve_retry: reserves a retry and returns whether it could; called only after the timeout.
        """
        self._timeouts = timeouts
        self._engine_unresponsive = engine_unresponsive
        self._reserve_retry = reserve_retry
        self._loop = asyncio.get_running_loop()
        self._task = asyncio.current_task()
        self._awaiting_first = True
        self._last_event_at = self._loop.time()
        self.expired = False
        self._timer = self._loop.call_later(timeouts.shortest_s(True), self._check)

    def record_event(self, now: float) -> None:
        """Record the arrival of response bytes."""
        self._awaiting_first = False
        self._last_event_at = now

    def resume(self) -> None:
        """Restart the timeout after a pause that the engine did not cause."""
        self.record_event(self._loop.time())
        self._timer = self._loop.call_later(self._timeouts.shortest_s(False), self._check)

    def stop(self) -> None:
        """Stop the timeout."""
        self._timer.cancel()

    def _check(self) -> None:
        elapsed_s = self._loop.time() - self._last_event_at
        unresponsive = self._engine_unresponsive(self._last_event_at)
        if self._timeouts.is_over(elapsed_s, self._awaiting_first, unresponsive) and self._reserve_retry():
            self.expired = True
            if self._task is not None:
                self._task.cancel()
            return
        wait_s = max(CHECK_INTERVAL_S, self._timeouts.shortest_s(self._awaiting_first) - elapsed_s)
        self._timer = self._loop.call_later(wait_s, self._check)
