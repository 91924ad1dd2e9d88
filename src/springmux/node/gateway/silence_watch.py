"""Ends an attempt whose engine is silent for too long, by cancelling its task at a safe place."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from springmux.gateway.attempt_timeouts import AttemptTimeouts

LOOK_AGAIN_S = 0.1


class SilenceWatch:
    """One timer an attempt. ``may_give_up`` is called only after the timeout, and takes the retry."""

    def __init__(
        self, timeouts: AttemptTimeouts, engine_dark: Callable[[float], bool], may_give_up: Callable[[], bool]
    ) -> None:
        """:param engine_dark: says whether the engine has sent this node nothing since a given time."""
        self._timeouts = timeouts
        self._engine_dark = engine_dark
        self._may_give_up = may_give_up
        self._loop = asyncio.get_running_loop()
        self._task = asyncio.current_task()
        self._first = True
        self._since = self._loop.time()
        self.expired = False
        self._timer = self._loop.call_later(timeouts.shortest_s(True), self._look)

    def progress(self, now: float) -> None:
        """Note a piece of the answer."""
        self._first = False
        self._since = now

    def resume(self) -> None:
        """Watch again after a pause that was not the engine's."""
        self.progress(self._loop.time())
        self._timer = self._loop.call_later(self._timeouts.shortest_s(False), self._look)

    def stop(self) -> None:
        """Stop watching."""
        self._timer.cancel()

    def _look(self) -> None:
        now = self._loop.time()
        silent_s = now - self._since
        dark = self._engine_dark(self._since)
        if self._timeouts.is_over(silent_s, self._first, dark) and self._may_give_up():
            self.expired = True
            if self._task is not None:
                self._task.cancel()
            return
        wait_s = max(LOOK_AGAIN_S, self._timeouts.shortest_s(self._first) - silent_s)
        self._timer = self._loop.call_later(wait_s, self._look)
